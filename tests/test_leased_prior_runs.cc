// Tasks of a job that an earlier leader may have lent to other data centres: when its successor may
// start them.

#include "leased_world.h"

#include <cstdio>
#include <gtest/gtest.h>

using leased::count_logged;
using leased::got_answer;
using leased::ms;
using leased::World;

namespace
{

const char *const job_id = "0000000000000002";

// Data centre "a" with two instances and two targets, of which "a-1" leads, and "b" with one
// instance and four targets.
void
start (World &world)
{
  world.add_instance ("a");
  world.add_instance ("a");
  world.add_instance ("b");
  for (const char *data_centre : { "a", "a", "b", "b", "b", "b" })
    world.add_target (data_centre);
  world.start_all ();
  world.run_for (4000 * ms);
}

// Submits a job of one long task at "a-2" whose task "a-1" lends to "b-1", as the targets of "a"
// are busy for `busy_ms`.
uint64_t
submit_lent_job (World &world, uint32_t busy_ms)
{
  world.submit (1, "0000000000000001", { { 4, 6800, busy_ms, busy_ms } }, 12000);
  world.run_for (20 * ms);
  uint64_t caller = world.submit (1, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
  world.run_for (100 * ms);
  EXPECT_NE (world.last_lend_msg, nullptr);
  return caller;
}

}

// Guards against a hand-over that interrupts lent tasks whose former leader cannot tell their
// remote leader about it: the run goes on for the successor.
TEST (LeasedPriorRuns, RunOfALentTaskGoesOnForTheSuccessor)
{
  World world;
  start (world);
  uint64_t caller = submit_lent_job (world, 300);
  world.set_cut (0, 2, true);
  world.drain (0);
  world.run_for (3000 * ms);
  EXPECT_EQ (count_logged (world, "event=run-taken-over"), 1U);
  EXPECT_EQ (count_logged (world, std::string ("event=run-sent task=") + job_id), 1U);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a wait that costs callers time although all leaders have answered.
TEST (LeasedPriorRuns, TaskStartsOnceAllOtherLeadersHaveAnswered)
{
  World world;
  start (world);
  world.submit (1, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
  world.submit (2, "0000000000000003", { { 8, 6800, 300, 300 } }, 12000);
  world.run_for (20 * ms);
  uint64_t caller = world.submit (1, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
  world.run_for (20 * ms);
  world.drain (0);
  world.run_for (50 * ms);
  EXPECT_EQ (count_logged (world, std::string ("event=no-prior-run job=") + job_id), 1U);
  world.run_for (4000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a second run of a lent task whose data centre is cut off from that of its job
// around a hand-over: its remote leader cannot be asked, and learns of the loss after 0.6 s.
TEST (LeasedPriorRuns, TaskOfADataCentreThatIsCutOffWaitsForTheEndOfItsLeases)
{
  for (int64_t after_ms = -400; after_ms <= 400; after_ms += 50)
    {
      World world;
      start (world);
      uint64_t caller = submit_lent_job (world, 300);
      if (after_ms < 0)
        world.drain (0);
      world.run_for (std::abs (after_ms) * ms);
      world.set_cut_both_ways (0, 2, true);
      world.set_cut_both_ways (1, 2, true);
      if (after_ms >= 0)
        world.drain (0);
      world.run_for (6000 * ms);
      EXPECT_EQ (world.double_runs, 0) << "cut " << -after_ms << " ms after the hand-over";
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
    }
}

// Guards against questions that are lost with the connection to the leader that was asked.
TEST (LeasedPriorRuns, LeaderIsAskedAgainOnANewConnection)
{
  World world;
  start (world);
  // The run that the lost connection ends is still there when the question is repeated.
  for (auto &target : world.targets)
    target->stop_duration_us = 1000 * ms;
  uint64_t caller = submit_lent_job (world, 300);
  world.drain (0);
  for (int i = 0; i < 500 && count_logged (world, "event=prior-runs-query") == 0; i++)
    world.run_for (ms / 10);
  world.set_cut (2, 1, true);
  world.run_for (50 * ms);
  EXPECT_EQ (count_logged (world, "event=prior-runs-query"), 1U);
  world.set_cut (2, 1, false);
  world.reset_connection (1, 2);
  world.run_for (500 * ms);
  EXPECT_EQ (count_logged (world, "event=prior-runs-query"), 2U);
  world.run_for (4000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against jobs that wait for a statement which was lost with its connection.
TEST (LeasedPriorRuns, LeaderStatesItsJobsAgainOnANewConnection)
{
  World world;
  start (world);
  uint64_t caller = submit_lent_job (world, 300);
  std::string stated = "event=prior-jobs-stated to=" + world.instances[1]->member_id;
  world.set_cut (2, 1, true);
  world.drain (0);
  world.run_for (50 * ms);
  EXPECT_EQ (count_logged (world, stated), 1U);
  EXPECT_EQ (count_logged (world, "event=prior-runs-query"), 0U);
  world.set_cut (2, 1, false);
  world.reset_connection (1, 2);
  world.run_for (500 * ms);
  EXPECT_EQ (count_logged (world, stated), 2U);
  world.run_for (4000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a successor that asks the leaders of all other data centres about each of its
// jobs: it is busy with that for so long that it is replaced in turn.
TEST (LeasedPriorRuns, SuccessorAsksOnlyAboutJobsThatRunInAnotherDataCentre)
{
  World world;
  char id[32];

  for (const char *data_centre : { "a", "a", "b", "c", "d" })
    world.add_instance (data_centre);
  for (const char *data_centre : { "a", "a", "b", "b", "c", "c", "d", "d" })
    world.add_target (data_centre);
  world.start_all ();
  world.run_for (4000 * ms);
  for (int i = 0; i < 200; i++)
    {
      snprintf (id, sizeof (id), "%016x", 0x100 + i);
      world.submit (1, id, { { 2, 6800, 200, 200 } }, 60000);
    }
  world.run_for (50 * ms);
  world.drain (0);
  world.run_for (500 * ms);
  EXPECT_GE (count_logged (world, "event=request-moved"), 180U);
  // Six targets of other data centres run two tasks each.
  EXPECT_LE (count_logged (world, "event=prior-runs-query"), 12U);
  world.run_for (20000 * ms);
  EXPECT_EQ (world.double_runs, 0);
}
