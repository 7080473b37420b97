// Rolling restarts of a data centre whose instances differ in processor time. The world is without
// a network; where the tests say so, what instances do takes processor time (leased_processor.h).

#include "leased_processor.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>

using leased::count_logged;
using leased::got_answer;
using leased::ms;
using leased::Processors;
using leased::World;

namespace
{

constexpr uint32_t large_milli = 500; // processor time, thousandths of a core
constexpr uint32_t small_milli = 120;
constexpr int64_t exit_linger_us = 100 * ms; // from the end of a drain to that of the process
constexpr int64_t start_us = 600 * ms;       // from there to the next process at work
constexpr int64_t grace_us = 6000 * ms;      // from the beginning of a drain to the kill
constexpr int64_t caller_ms = 1500;

struct Outcome
{
  int in_aim = 0;
  int late = 0;
  int refused = 0;
  int unanswered = 0; // lost, failed, or without an answer
};

// A data centre under a steady load of short jobs.
class DataCentre
{
public:
  DataCentre (int large, int small, int targets, int64_t in_gap_us);
  void run_for (int64_t us);
  // Asks the instance to shut down, and starts it again when it has, as a rolling restart does.
  void roll (size_t instance);
  bool
  is_rolling (size_t instance) const
  {
    return rolling.count (instance) > 0;
  }
  size_t leader (); // the latest instance to begin to lead
  int64_t
  led_by_small_us () const
  {
    return small_us;
  }
  // From the first job on; callers that still wait count as unanswered.
  Outcome outcome () const;

  World world;
  bool submits = true;
  bool was_killed = false; // an instance had not ended in its grace period

private:
  void
  after (int64_t us, std::function<void ()> func)
  {
    actions.insert ({ world.now_us + us, std::move (func) });
  }
  void submit ();

  struct Job
  {
    int64_t sent_us;
    int64_t objective_us;
  };
  std::mt19937_64 random{ 1 };
  std::multimap<int64_t, std::function<void ()>> actions;
  std::map<uint64_t, Job> jobs; // by number of the caller
  int64_t gap_us;               // between two jobs
  int64_t next_job_us;
  int64_t small_us = 0; // for which no large instance led
  uint64_t next_id = 0;
  size_t lines_read = 0; // of the log
  size_t latest_leader = SIZE_MAX;
  std::set<size_t> rolling; // instances that are asked to shut down and are not back yet
};

DataCentre::DataCentre (int large, int small, int targets, int64_t in_gap_us) : gap_us (in_gap_us)
{
  for (int i = 0; i < large + small; i++)
    world.add_instance ("a", false, i < large ? large_milli : small_milli);
  for (int i = 0; i < targets; i++)
    world.add_target ("a", i % 2 == 0 ? 16000 : 24000);
  world.start_all ();
  world.run_for (3000 * ms);
  next_job_us = world.now_us;
}

size_t
DataCentre::leader ()
{
  for (; lines_read < world.log.size (); lines_read++)
    {
      const std::string &line = world.log[lines_read];

      if (line.find ("event=leader-start") != std::string::npos)
        latest_leader = world.find (line.substr (0, line.find (' ')));
    }
  return latest_leader;
}

// At an instance that accepts jobs: callers leave those that shut down.
void
DataCentre::submit ()
{
  std::vector<size_t> ready;
  char id[17];
  bool is_short = next_id % 4 > 0;
  uint32_t run_ms = static_cast<uint32_t> ((is_short ? 60 : 200) * (70 + random () % 60) / 100);

  for (size_t i = 0; i < world.instances.size (); i++)
    {
      if (world.instances[i]->up && dks_reducer_is_ready (world.instances[i]->reducer))
        ready.push_back (i);
    }
  snprintf (id, sizeof (id), "%016llx", static_cast<unsigned long long> (++next_id));
  if (ready.empty ())
    return;
  uint64_t caller = world.submit (ready[random () % ready.size ()], id,
                                  { { is_short ? 2U : 6U, 6800, run_ms, run_ms } }, caller_ms);
  jobs[caller] = { world.now_us,
                   (world.objective_extra_ms + run_ms * world.objective_factor_milli / 1000) * ms };
}

void
DataCentre::run_for (int64_t us)
{
  int64_t until_us = world.now_us + us;

  while (world.now_us < until_us)
    {
      size_t leads;

      while (!actions.empty () && actions.begin ()->first <= world.now_us)
        {
          auto func = actions.begin ()->second;

          actions.erase (actions.begin ());
          func ();
        }
      for (; submits && next_job_us <= world.now_us; next_job_us += gap_us)
        submit ();
      world.run_for (ms);
      leads = leader ();
      if (leads != SIZE_MAX && world.instances[leads]->processor_milli < large_milli)
        small_us += ms;
    }
}

void
DataCentre::roll (size_t instance)
{
  auto look = std::make_shared<std::function<void ()>> ();
  int64_t kill_us = world.now_us + grace_us;

  rolling.insert (instance);
  world.drain (instance);
  *look = [this, instance, kill_us, weak = std::weak_ptr (look)] {
    auto again = weak.lock ();

    if (!world.instances[instance]->exited && world.now_us < kill_us)
      {
        after (10 * ms, [again] { (*again) (); });
        return;
      }
    was_killed |= !world.instances[instance]->exited;
    after (exit_linger_us, [this, instance] {
      world.kill (instance);
      after (start_us, [this, instance] {
        world.restart (instance);
        rolling.erase (instance);
      });
    });
  };
  (*look) ();
}

Outcome
DataCentre::outcome () const
{
  Outcome outcome;

  for (auto &[caller, job] : jobs)
    {
      auto found = world.answers.find (caller);

      if (found == world.answers.end ())
        outcome.unanswered++;
      else if (found->second.answer == DKS_BATCH_REFUSED)
        outcome.refused++;
      else if (found->second.answer != DKS_BATCH_COMPLETED)
        outcome.unanswered++;
      else if (found->second.at_us - job.sent_us <= job.objective_us)
        outcome.in_aim++;
      else
        outcome.late++;
    }
  return outcome;
}

void
PrintTo (const Outcome &outcome, std::ostream *out)
{
  *out << outcome.in_aim << " in the objective, " << outcome.late << " late, " << outcome.refused
       << " refused, " << outcome.unanswered << " unanswered";
}

// All callers are served, 97% of them in the objective.
void
expect_served (DataCentre &dc)
{
  Outcome outcome;

  dc.submits = false;
  dc.run_for (2000 * ms);
  outcome = dc.outcome ();
  EXPECT_FALSE (dc.was_killed);
  EXPECT_EQ (outcome.refused + outcome.unanswered, 0) << testing::PrintToString (outcome);
  EXPECT_GT (outcome.in_aim, 97 * (outcome.in_aim + outcome.late) / 100)
      << testing::PrintToString (outcome);
  EXPECT_EQ (dc.world.double_runs, 0);
}

}

// Guards against a data centre that an instance of an eighth of a core leads for the whole drain of
// the only large one.
TEST (LeasedRoll, LargeLeaderLeadsOnWhileOnlySmallOnesAreLeft)
{
  DataCentre dc (1, 4, 12, 20 * ms);
  size_t large = dc.leader ();
  int64_t drain_us;

  ASSERT_EQ (large, 0U);
  dc.run_for (2000 * ms);
  drain_us = dc.world.now_us;
  dc.roll (large);
  dc.run_for (4000 * ms);
  EXPECT_EQ (dc.leader (), large);
  EXPECT_FALSE (dc.world.instances[large]->exited);
  // It hands over in time for the answers to its own callers.
  dc.run_for (drain_us + 5000 * ms - dc.world.now_us);
  EXPECT_NE (dc.leader (), large);
  dc.run_for (5000 * ms);
  EXPECT_EQ (dc.leader (), large);
  dc.submits = false;
  dc.run_for (2000 * ms);
  EXPECT_EQ (dc.outcome ().refused + dc.outcome ().unanswered, 0)
      << testing::PrintToString (dc.outcome ());
  EXPECT_EQ (dc.world.double_runs, 0);
}

// The same for a leader that has nothing to do: it does not leave before its time.
TEST (LeasedRoll, IdleLargeLeaderLeadsOn)
{
  DataCentre dc (1, 4, 12, 20 * ms);
  size_t large = dc.leader ();

  dc.submits = false;
  dc.roll (large);
  dc.run_for (4000 * ms);
  EXPECT_EQ (dc.leader (), large);
  EXPECT_FALSE (dc.world.instances[large]->exited);
  dc.run_for (1200 * ms);
  EXPECT_TRUE (dc.world.instances[large]->exited);
}

// It hands over as soon as a large one is back, and never to a small one.
TEST (LeasedRoll, DrainingLeaderHandsOverToALargeOneThatIsBack)
{
  DataCentre dc (2, 4, 12, 20 * ms);
  size_t first = dc.leader ();
  size_t second = 1 - first;

  dc.run_for (2000 * ms);
  dc.world.kill (second);
  dc.run_for (500 * ms);
  dc.roll (first);
  dc.run_for (1500 * ms);
  EXPECT_EQ (dc.leader (), first);
  dc.world.restart (second);
  dc.run_for (1500 * ms);
  EXPECT_EQ (dc.leader (), second);
  dc.run_for (6000 * ms);
  EXPECT_EQ (dc.leader (), second);
  EXPECT_EQ (count_logged (dc.world, "event=leader-start"), 2U);
  EXPECT_EQ (dc.world.double_runs, 0);
}

// Where an equal instance is there, leadership changes at once, as the leader may not live to the
// end of its drain.
TEST (LeasedRoll, DrainingLeaderHandsOverAtOnceToAnEqual)
{
  for (int large : { 0, 2 })
    {
      DataCentre dc (large, 4, 12, 20 * ms);
      size_t first = dc.leader ();

      dc.run_for (2000 * ms);
      dc.roll (first);
      dc.run_for (100 * ms);
      EXPECT_NE (dc.leader (), first) << large << " large";
      dc.submits = false;
      dc.run_for (2000 * ms);
      EXPECT_EQ (dc.outcome ().refused + dc.outcome ().unanswered, 0)
          << testing::PrintToString (dc.outcome ());
      EXPECT_EQ (dc.world.double_runs, 0);
    }
}

// Both large instances shut down, one some time after the other: leadership goes from the one that
// drains to the other that drains, until the first is back.
TEST (LeasedRoll, TwoLargeInstancesThatDrainOneAfterTheOtherKeepLeadership)
{
  for (int64_t apart_ms : { 1000, 1500, 2000, 3000, 4000 })
    {
      for (bool leader_first : { false, true })
        {
          DataCentre dc (2, 8, 24, 10 * ms);
          size_t first = leader_first ? dc.leader () : 1 - dc.leader ();

          dc.run_for (2000 * ms);
          dc.roll (first);
          dc.run_for (apart_ms * ms);
          dc.roll (1 - first);
          dc.run_for (10000 * ms);
          EXPECT_EQ (dc.led_by_small_us (), 0)
              << apart_ms << " ms apart, " << (leader_first ? "leader" : "other") << " first";
          EXPECT_EQ (dc.world.double_runs, 0);
          dc.submits = false;
          dc.run_for (2000 * ms);
          EXPECT_EQ (dc.outcome ().refused + dc.outcome ().unanswered, 0)
              << apart_ms << " ms apart, " << testing::PrintToString (dc.outcome ());
        }
    }
}

// Both at the same time: the one that does not lead has less to wait for, and is back in time.
TEST (LeasedRoll, TwoLargeInstancesThatDrainTogetherKeepLeadership)
{
  DataCentre dc (2, 8, 24, 10 * ms);

  dc.run_for (2000 * ms);
  dc.roll (0);
  dc.roll (1);
  dc.run_for (12000 * ms);
  EXPECT_EQ (dc.led_by_small_us (), 0);
  EXPECT_LT (dc.leader (), 2U);
  EXPECT_EQ (dc.world.double_runs, 0);
  dc.submits = false;
  dc.run_for (2000 * ms);
  EXPECT_EQ (dc.outcome ().refused + dc.outcome ().unanswered, 0)
      << testing::PrintToString (dc.outcome ());
}

// A leader that is killed before it has handed over costs no more than one that does not drain.
TEST (LeasedRoll, LeaderKilledWhileItLeadsOnIsSucceededAtOnce)
{
  DataCentre dc (1, 4, 12, 20 * ms);
  size_t large = dc.leader ();

  dc.run_for (2000 * ms);
  dc.world.drain (large);
  dc.run_for (4000 * ms);
  ASSERT_EQ (dc.leader (), large);
  dc.world.kill (large);
  dc.run_for (50 * ms);
  EXPECT_NE (dc.leader (), large);
  dc.submits = false;
  dc.run_for (3000 * ms);
  EXPECT_LE (dc.outcome ().refused + dc.outcome ().unanswered, 5)
      << testing::PrintToString (dc.outcome ());
  EXPECT_EQ (dc.world.double_runs, 0);
}

// Load: 250 jobs a second of 3 tasks in the mean on 117 targets, where an instance of 0.12 of a
// core can start about half of them. The large ones drain 2 s apart, the leader last.
TEST (LeasedRoll, CallersAreServedWhileTwoLargeInstancesDrain)
{
  DataCentre dc (2, 8, 117, 4 * ms);
  Processors processors (dc.world);
  size_t leader = dc.leader ();

  dc.run_for (3000 * ms);
  dc.roll (1 - leader);
  dc.run_for (2000 * ms);
  dc.roll (leader);
  dc.run_for (9000 * ms);
  expect_served (dc);
}

// The same load when both are stopped at the same moment.
TEST (LeasedRoll, CallersAreServedWhileTwoLargeInstancesDrainTogether)
{
  DataCentre dc (2, 8, 117, 4 * ms);
  Processors processors (dc.world);

  dc.run_for (3000 * ms);
  dc.roll (0);
  dc.roll (1);
  dc.run_for (9000 * ms);
  expect_served (dc);
}

// The only large one drains under this load: a small one leads from the end of its drain until it
// is back, and refuses what it cannot do meanwhile. One in twenty may have to try again.
TEST (LeasedRoll, FewAreRefusedWhileTheOnlyLargeInstanceRestarts)
{
  DataCentre dc (1, 8, 117, 4 * ms);
  Processors processors (dc.world);
  Outcome outcome;

  dc.run_for (3000 * ms);
  dc.roll (0);
  dc.run_for (12000 * ms);
  dc.submits = false;
  dc.run_for (2000 * ms);
  outcome = dc.outcome ();
  EXPECT_LT (dc.led_by_small_us (), 2000 * ms);
  EXPECT_LT (20 * (outcome.refused + outcome.unanswered), outcome.in_aim + outcome.late)
      << testing::PrintToString (outcome);
  EXPECT_EQ (dc.world.double_runs, 0);
}

// Guards against a data centre that lends no room for the whole drain of its leader: another leader
// goes on lending tasks to one that leads on, and no task is lost or run twice when that hands
// over.
TEST (LeasedRoll, LeaderThatLeadsOnTakesLentTasks)
{
  World world;
  std::vector<uint64_t> callers;
  uint32_t starts_before = 0;
  uint32_t starts_while_draining = 0;
  size_t lender = world.add_instance ("a", false, large_milli);
  size_t large = world.add_instance ("b", false, large_milli);

  for (int i = 0; i < 3; i++)
    world.add_instance ("b", false, small_milli);
  world.add_target ("a");
  for (int i = 0; i < 20; i++)
    world.add_target ("b");
  world.start_all ();
  world.run_for (3000 * ms);
  for (auto &target : world.targets)
    starts_before += target->info.data_centre == std::string ("b") ? target->starts : 0;
  world.drain (large);
  for (int i = 0; i < 160; i++)
    {
      char id[17];

      snprintf (id, sizeof (id), "%016x", i + 1);
      callers.push_back (world.submit (lender, id, { { 6, 6800, 200, 200 } }));
      world.run_for (50 * ms);
      if (i == 79)
        {
          EXPECT_EQ (count_logged (world, "b-1 event=leader-stop"), 0U);
          for (auto &target : world.targets)
            starts_while_draining +=
                target->info.data_centre == std::string ("b") ? target->starts : 0;
        }
    }
  EXPECT_GT (starts_while_draining, starts_before + 80);
  EXPECT_EQ (count_logged (world, "b-1 event=leader-stop"), 1U);
  EXPECT_TRUE (world.instances[large]->exited);
  world.run_for (2000 * ms);
  for (uint64_t caller : callers)
    EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (world.double_runs, 0);
}

// No task runs twice, whatever happens while leaders lead on: seeded rolls, kills, freezes and cuts
// between instances, one upon the other.
TEST (LeasedRoll, NoTaskRunsTwiceAmidRollsAndFaults)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      DataCentre dc (2, 3, 8, 10 * ms);
      std::mt19937_64 random (seed);
      size_t count = dc.world.instances.size ();

      for (int i = 0; i < 12; i++)
        {
          size_t a = random () % count;
          size_t b = (a + 1 + random () % (count - 1)) % count;
          bool is_up = dc.world.instances[a]->up && !dc.is_rolling (a);

          switch (random () % 4)
            {
            case 0:
            case 1:
              if (is_up)
                dc.roll (a);
              break;
            case 2:
              dc.world.set_cut_both_ways (a, b, true);
              dc.run_for (static_cast<int64_t> (random () % 900) * ms);
              dc.world.set_cut_both_ways (a, b, false);
              break;
            default:
              dc.world.set_frozen (a, true);
              dc.run_for (static_cast<int64_t> (random () % 700) * ms);
              dc.world.set_frozen (a, false);
              break;
            }
          dc.run_for (static_cast<int64_t> (random () % 1500) * ms);
        }
      EXPECT_EQ (dc.world.double_runs, 0) << "seed " << seed;
    }
}
