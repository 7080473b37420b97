// Starts and stops of runs on targets that reject calls or answer them late.

#include "leased_world.h"

#include <gtest/gtest.h>

using leased::count_runs;
using leased::got_answer;
using leased::ms;
using leased::Target;
using leased::World;

namespace
{

const char *const job_id = "0000000000000002";
const char *const neighbour_id = "0000000000000003";
constexpr int64_t retransmit_ms = 1300; // from the loss of an answer to the next submission

// Data centre "a" has `targets` targets, "b" has four.
void
start_data_centres (World &world, int targets)
{
  world.add_instance ("a");
  world.add_instance ("b");
  for (int i = 0; i < targets; i++)
    world.add_target ("a");
  for (int i = 0; i < 4; i++)
    world.add_target ("b");
  world.start_all ();
  world.run_for (4000 * ms);
}

// Rejects the first `count` stops of runs of the job.
void
reject_stops (Target &target, const std::string &id, dks_lease_status_t status, int count)
{
  target.rejection = [id, status, count] (const dks_effect_t &call) mutable {
    if (call.type != DKS_EFFECT_LEASE_STOP || std::string (call.u.lease.task).find (id) != 0
        || count == 0)
      return DKS_LEASE_OK;
    count--;
    return status;
  };
}

// A caller leaves, the stop of its run is rejected `rejections` times, and the caller submits its
// job again in the other data centre. A run of another job on the same target keeps its lease.
void
resubmit_after_rejected_stops (World &world, dks_lease_status_t status, int rejections)
{
  start_data_centres (world, 1);
  uint64_t caller = world.submit (0, job_id, { { 1, 6800, 4000, 4000 } }, 8000);
  world.submit (0, neighbour_id, { { 1, 6800, 6000, 6000 } }, 20000);
  world.run_for (500 * ms);
  ASSERT_EQ (count_runs (world, job_id, "a"), 1U);
  ASSERT_EQ (count_runs (world, neighbour_id, "a"), 1U);
  reject_stops (*world.targets[0], job_id, status, rejections);
  world.leave (0, caller);
  world.run_for (retransmit_ms * ms);
  world.submit (1, job_id, { { 1, 6800, 4000, 4000 } }, 8000);
  world.run_for (500 * ms);
}

}

// Guards against two runs of one task: a stop that the target rejected counted as carried out and
// was never sent again, and the holds for other runs extended the lease (review/7).
TEST (LeasedRuns, StopThatATargetRejectsIsSentAgain)
{
  for (dks_lease_status_t status : { DKS_LEASE_UNHEALTHY, DKS_LEASE_INVALID, DKS_LEASE_LATE })
    {
      World world;
      resubmit_after_rejected_stops (world, status, 3);
      EXPECT_EQ (world.double_runs, 0) << "status " << status;
      EXPECT_EQ (count_runs (world, job_id, "a"), 0U) << "status " << status;
      EXPECT_EQ (count_runs (world, job_id, "b"), 1U) << "status " << status;
      EXPECT_EQ (count_runs (world, neighbour_id, "a"), 1U) << "status " << status;
    }
}

// Guards against two runs of one task where no stop succeeds: the run has to end with its lease
// before its caller submits the job again, although other runs share the lease.
TEST (LeasedRuns, RunThatCannotBeStoppedEndsWithItsLease)
{
  World world;
  resubmit_after_rejected_stops (world, DKS_LEASE_UNHEALTHY, -1);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_EQ (count_runs (world, job_id, "b"), 1U);
  world.targets[0]->rejection = nullptr;
  world.run_for (500 * ms);
  EXPECT_EQ (count_runs (world, neighbour_id, "a"), 1U);
}

// Guards against a task that stays on a slow target: the stop for its move was rejected, so that
// neither its run ended nor another one began.
TEST (LeasedRuns, TaskIsMovedAlthoughItsStopIsRejected)
{
  World world;
  world.add_instance ("a");
  world.add_target ("a");
  world.start_all ();
  world.run_for (3000 * ms);
  world.targets[0]->stalled = true;
  reject_stops (*world.targets[0], job_id, DKS_LEASE_UNHEALTHY, 3);
  uint64_t caller = world.submit (0, job_id, { { 1, 6800, 200, 200 } }, 5000);
  world.run_for (50 * ms);
  ASSERT_EQ (count_runs (world, job_id, "a"), 1U);
  world.add_target ("a");
  world.announce_targets ();
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against capacity that is lost for good: a start without an answer was not carried out, and
// the target rejects every stop of it.
TEST (LeasedRuns, RunThatNeverBeganIsForgottenAlthoughItsStopsAreRejected)
{
  World world;
  start_data_centres (world, 1);
  Target &target = *world.targets[0];
  target.rejection = [lost = false] (const dks_effect_t &call) mutable {
    if (call.type == DKS_EFFECT_LEASE_START && !lost)
      {
        lost = true;
        return DKS_LEASE_UNANSWERED;
      }
    return call.type == DKS_EFFECT_LEASE_STOP ? DKS_LEASE_UNHEALTHY : DKS_LEASE_OK;
  };
  uint64_t caller = world.submit (0, job_id, { { 1, 16000, 200, 200 } }, 5000);
  world.run_for (100 * ms);
  world.leave (0, caller);
  world.run_for (2500 * ms);
  world.submit (0, neighbour_id, { { 1, 16000, 2000, 2000 } }, 8000);
  world.run_for (200 * ms);
  EXPECT_EQ (count_runs (world, neighbour_id, "a"), 1U);
}

// Guards against a stop and a poll that follow each other without a pause: a target that answers
// starts and stops with server errors lists no run, which shows nothing.
TEST (LeasedRuns, StopsThatFailAtOnceAreNotRepeatedWithoutAPause)
{
  World world;
  int stops = 0;
  start_data_centres (world, 1);
  world.targets[0]->rejection = [&] (const dks_effect_t &call) {
    stops += call.type == DKS_EFFECT_LEASE_STOP;
    return call.type == DKS_EFFECT_LEASE_HOLD ? DKS_LEASE_OK : DKS_LEASE_UNANSWERED;
  };
  world.submit (0, job_id, { { 1, 6800, 900, 900 } }, 5000);
  world.run_for (1000 * ms);
  EXPECT_GE (stops, 1);
  EXPECT_LE (stops, 25);
}
