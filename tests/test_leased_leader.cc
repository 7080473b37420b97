// Leadership of a data centre while instances are slow.

#include "leased_world.h"

#include <gtest/gtest.h>

using leased::count_logged;
using leased::ms;
using leased::World;

namespace
{

const int64_t gap_us = 10 * ms; // between two jobs of a load
// A leader has some 900 events a second under this load, and fewer when timers are handled
// together. Up to this cost of each it keeps up.
const int64_t keeps_up_cost_us = 1300;

void
start_data_centre (World &world, int instances, uint32_t processor_milli = 1000)
{
  for (int i = 0; i < instances; i++)
    world.add_instance ("a", false, i == 0 ? 1000 : processor_milli);
  for (int i = 0; i < 24; i++)
    world.add_target ("a");
  world.start_all ();
  world.run_for (2000 * ms);
}

// Index of the instance that was the last to become leader.
size_t
leader_of (const World &world)
{
  size_t leader = SIZE_MAX;

  for (auto &line : world.log)
    {
      if (line.find ("event=leader-start") != std::string::npos)
        leader = world.find (line.substr (0, line.find (' ')));
    }
  return leader;
}

// Submits jobs of two tasks through all instances in turn for this long, and lets them end.
std::vector<uint64_t>
submit_for (World &world, int64_t us)
{
  std::vector<uint64_t> callers;
  int64_t end_us = world.now_us + us;

  while (world.now_us < end_us)
    {
      char id[17];

      snprintf (id, sizeof (id), "%016llx", static_cast<unsigned long long> (world.now_us));
      callers.push_back (
          world.submit (callers.size () % world.instances.size (), id, { { 2, 6800, 100, 100 } }));
      world.run_for (gap_us);
    }
  world.run_for (300 * ms);
  return callers;
}

// Share of the callers that have the result of their job.
double
completed_share (const World &world, const std::vector<uint64_t> &callers)
{
  size_t completed = 0;

  for (uint64_t caller : callers)
    {
      auto found = world.answers.find (caller);

      completed += found != world.answers.end () && found->second.answer == DKS_BATCH_COMPLETED;
    }
  return static_cast<double> (completed) / static_cast<double> (callers.size ());
}

// Starts of a leadership while all instances take this long for each event, for 10 s.
size_t
count_starts_where_all_are_slow (int64_t cost_us)
{
  World world;
  start_data_centre (world, 4);
  submit_for (world, 1000 * ms);

  for (size_t i = 0; i < world.instances.size (); i++)
    world.set_event_cost (i, cost_us);
  submit_for (world, 10000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  return count_logged (world, "event=leader-start");
}

}

// Guards against a data centre that refuses most of its jobs for as long as its leader is slow: the
// leader keeps its lag below the one at which it stops leading by refusing jobs.
TEST (LeasedLeader, LeaderThatCannotKeepUpHandsOver)
{
  for (int64_t cost_us : { 300, 600, 1000, 1300, 1500, 2000, 3000 })
    {
      World world;
      start_data_centre (world, 4);
      submit_for (world, 3000 * ms);
      size_t slow = leader_of (world);

      world.set_event_cost (slow, cost_us);
      submit_for (world, 2000 * ms);
      if (cost_us > keeps_up_cost_us)
        EXPECT_NE (leader_of (world), slow) << "cost " << cost_us;
      else
        EXPECT_EQ (count_logged (world, "event=leader-start"), 1U) << "cost " << cost_us;
      EXPECT_GT (completed_share (world, submit_for (world, 3000 * ms)), 0.6) << "cost " << cost_us;
      EXPECT_EQ (world.double_runs, 0);
    }
}

// Guards against a leadership that moves back and forth: the instance that was slow is the
// preferred one by its age.
TEST (LeasedLeader, SuccessorOfASlowLeaderStays)
{
  World world;
  start_data_centre (world, 4);
  submit_for (world, 1000 * ms);
  size_t slow = leader_of (world);

  for (int i = 0; i < 3; i++)
    {
      world.set_event_cost (slow, 1500);
      submit_for (world, 2000 * ms);
      world.set_event_cost (slow, 0);
      submit_for (world, 5000 * ms);
    }
  EXPECT_EQ (count_logged (world, "event=leader-start"), 2U);
  EXPECT_GT (completed_share (world, submit_for (world, 1000 * ms)), 0.95);
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against several leaders of one data centre: an instance so slow that it takes its peers
// for silent, because their messages wait in its own queue, led again and again beside its
// successor.
TEST (LeasedLeader, VerySlowInstanceDoesNotLeadAgain)
{
  for (int64_t cost_us : { 3000, 5000, 8000, 12000, 20000 })
    {
      World world;
      start_data_centre (world, 4);
      submit_for (world, 3000 * ms);

      world.set_event_cost (leader_of (world), cost_us);
      submit_for (world, 8000 * ms);
      EXPECT_EQ (count_logged (world, "event=leader-start"), 2U) << "cost " << cost_us;
      EXPECT_EQ (world.double_runs, 0);
    }
}

// Guards against an instance that becomes slow, and takes over from a sound leader whose messages
// wait in its own queue: they are handled 0.3 s late first, and then 1 s late, with a gap between.
TEST (LeasedLeader, SlowInstanceDoesNotTakeOverFromASoundLeader)
{
  World world;
  start_data_centre (world, 6);
  submit_for (world, 1000 * ms);
  size_t leader = leader_of (world);
  size_t slow = (leader + 1) % 6;

  for (int64_t delay_us : { 300 * ms, 1000 * ms })
    {
      for (size_t i = 0; i < world.instances.size (); i++)
        world.link_delay_us[{ i, slow }] = delay_us;
      world.run_for (300 * ms);
    }
  world.run_for (2000 * ms);
  EXPECT_EQ (count_logged (world, "event=leader-start"), 1U);
  EXPECT_EQ (leader_of (world), leader);
}

// Guards against an instance that takes over from a sound leader because it becomes so slow at once
// that it handles no status for 0.7 s.
TEST (LeasedLeader, SuddenlySlowInstanceDoesNotTakeOverFromASoundLeader)
{
  World world;
  start_data_centre (world, 6);
  submit_for (world, 1000 * ms);
  size_t leader = leader_of (world);
  size_t slow = (leader + 1) % 6;

  for (size_t i = 0; i < world.instances.size (); i++)
    world.link_delay_us[{ i, slow }] = 700 * ms;
  world.run_for (3000 * ms);
  EXPECT_EQ (count_logged (world, "event=leader-start"), 1U);
  EXPECT_EQ (leader_of (world), leader);
}

// Guards against a handover to an instance that is as slow.
TEST (LeasedLeader, SlowInstanceDoesNotSucceedASlowLeader)
{
  World world;
  start_data_centre (world, 4);
  submit_for (world, 1000 * ms);
  size_t slow = leader_of (world);
  size_t next_oldest = (slow + 1) % 4;

  // So slow that it cannot keep up with its own callers either.
  world.set_event_cost (next_oldest, 30 * ms);
  submit_for (world, 2000 * ms);
  world.set_event_cost (slow, 3000);
  submit_for (world, 2000 * ms);
  EXPECT_NE (leader_of (world), slow);
  EXPECT_NE (leader_of (world), next_oldest);
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against a handover to instances that would keep up even less.
TEST (LeasedLeader, SlowLeaderStaysAmongMuchSmallerInstances)
{
  World world;
  start_data_centre (world, 4, 200);
  submit_for (world, 1000 * ms);
  size_t slow = leader_of (world);

  world.set_event_cost (slow, 1500);
  submit_for (world, 3000 * ms);
  EXPECT_EQ (leader_of (world), slow);
}

// Guards against a leadership that goes round while every instance is slow.
TEST (LeasedLeader, LeadershipStaysWhereAllInstancesAreSlow)
{
  for (int64_t cost_us : { 1000, 1500 })
    EXPECT_LE (count_starts_where_all_are_slow (cost_us), 4U) << "cost " << cost_us;
}

// The same for instances that could do less than half of the work.
TEST (LeasedLeader, LeadershipStaysWhereAllInstancesAreMuchTooSlow)
{
  for (int64_t cost_us : { 2000, 3000 })
    EXPECT_LE (count_starts_where_all_are_slow (cost_us), 4U) << "cost " << cost_us;
}

// Resets the connections between all instances at the same moment.
static void
reset_all_connections (World &world)
{
  for (size_t a = 0; a < world.instances.size (); a++)
    {
      for (size_t b = a + 1; b < world.instances.size (); b++)
        world.reset_connection (a, b);
    }
}

static void
start_by_address (World &world, int instances)
{
  world.connects_by_address = true;
  start_data_centre (world, instances);
  world.run_for (3000 * ms);
}

// Guards against many leaders at once: each instance whose connections were closed took all others
// for gone, and began to lead before it could connect again.
TEST (LeasedLeader, ResetOfAllConnectionsStartsNoLeadership)
{
  World world;
  start_by_address (world, 13);
  size_t starts = count_logged (world, "event=leader-start");

  for (int i = 0; i < 4; i++)
    {
      reset_all_connections (world);
      world.run_for (2000 * ms);
    }
  EXPECT_EQ (count_logged (world, "event=leader-start"), starts);
  EXPECT_EQ (count_logged (world, "event=leader-stop"), 0U);
  submit_for (world, 1000 * ms);
  EXPECT_EQ (world.double_runs, 0);
}

// The leader ends at that moment: its address refuses connections, so only one takes over, at once.
TEST (LeasedLeader, OneInstanceSucceedsALeaderThatEndsWhenAllConnectionsAreReset)
{
  World world;
  start_by_address (world, 13);
  size_t leader = leader_of (world);
  size_t starts = count_logged (world, "event=leader-start");

  reset_all_connections (world);
  world.kill (leader);
  world.run_for (10 * ms);
  EXPECT_EQ (count_logged (world, "event=leader-start"), starts + 1);
  EXPECT_NE (leader_of (world), leader);
  world.run_for (3000 * ms);
  EXPECT_EQ (count_logged (world, "event=leader-start"), starts + 1);
  EXPECT_EQ (count_logged (world, "event=leader-stop"), 0U);
}

// Most instances restart together, among them the leader and those that come next.
TEST (LeasedLeader, RestartOfMostInstancesStartsOneLeadership)
{
  World world;
  start_by_address (world, 13);
  size_t starts = count_logged (world, "event=leader-start");

  for (size_t i = 0; i < 9; i++)
    world.kill (i);
  reset_all_connections (world);
  world.run_for (300 * ms);
  for (size_t i = 0; i < 9; i++)
    world.restart (i);
  world.run_for (5000 * ms);
  EXPECT_EQ (count_logged (world, "event=leader-start"), starts + 1);
  EXPECT_EQ (count_logged (world, "event=leader-stop"), 0U);
}

// A leader whose process does not end, but which no connection reaches any more, is gone after the
// time of missed heartbeats.
TEST (LeasedLeader, LeaderThatDoesNotReturnIsSucceededAfterItsSilence)
{
  World world;
  start_by_address (world, 5);
  size_t leader = leader_of (world);

  for (size_t i = 0; i < world.instances.size (); i++)
    {
      if (i != leader)
        world.set_partitioned (i, leader, true);
    }
  world.run_for (400 * ms);
  EXPECT_EQ (leader_of (world), leader);
  world.run_for (300 * ms);
  EXPECT_NE (leader_of (world), leader);
}
