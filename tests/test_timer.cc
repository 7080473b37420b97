#include <gtest/gtest.h>

extern "C"
{
#include "common/timer.h"
}

#include <random>
#include <vector>

namespace
{

std::vector<int64_t> fired;

void
record_time (void *context, int64_t now_us)
{
  fired.push_back (static_cast<dks_timer_t *> (context)->deadline_us);
}

TEST (Timer, RunsInOrderOfDeadlineAfterRandomChanges)
{
  std::mt19937 random (1);
  std::vector<dks_timer_t> list (500);
  dks_timers_t *timers = dks_timers_create ();
  size_t armed = 0;

  fired.clear ();
  for (auto &timer : list)
    dks_timer_init (&timer, record_time, &timer);
  for (int i = 0; i < 5000; i++)
    {
      dks_timer_t *timer = &list[random () % list.size ()];
      if (random () % 3 == 0)
        dks_timer_cancel (timers, timer);
      else
        dks_timer_set (timers, timer, static_cast<int64_t> (random () % 1000));
    }
  for (auto &timer : list)
    armed += dks_timer_is_armed (&timer);
  dks_timers_run (timers, 1000);
  EXPECT_EQ (fired.size (), armed);
  EXPECT_TRUE (std::is_sorted (fired.begin (), fired.end ()));
  EXPECT_EQ (dks_timers_next_us (timers), INT64_MAX);
  dks_timers_destroy (timers);
}

} // namespace
