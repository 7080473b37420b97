// Starts and stops of runs on targets that reject calls or answer them late.

#include "leased_world.h"

#include <climits>
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

// Guards against the same when the entry instance is lost: the release of the run, 0.6 s after
// that, put off the end of the lease by as much (review/12).
TEST (LeasedRuns, ReleaseOfARunDoesNotPutOffTheEndOfItsLease)
{
  World world;
  world.add_instance ("a");
  start_data_centres (world, 1);
  size_t entry = world.find ("a-2");

  uint64_t caller = world.submit (entry, job_id, { { 1, 6800, 4000, 4000 } }, 8000);
  world.submit (world.find ("a-1"), neighbour_id, { { 1, 6800, 6000, 6000 } }, 20000);
  world.run_for (500 * ms);
  ASSERT_EQ (count_runs (world, job_id, "a"), 1U);
  ASSERT_EQ (count_runs (world, neighbour_id, "a"), 1U);
  reject_stops (*world.targets[0], job_id, DKS_LEASE_UNHEALTHY, INT_MAX);
  world.set_frozen (entry, true);
  world.leave (entry, caller);
  world.run_for (retransmit_ms * ms);
  world.submit (world.find ("b-1"), job_id, { { 1, 6800, 4000, 4000 } }, 8000);
  world.run_for (500 * ms);
  EXPECT_EQ (world.double_runs, 0);
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

namespace
{

// Data centre "a" with one instance and two targets, of which the first is the first choice for a
// task. They are idle for `idle_ms`, and their clocks have the rate `clock_rate`.
void
start_idle_targets (World &world, int64_t idle_ms, double clock_rate)
{
  world.add_instance ("a");
  world.add_target ("a", 8000);
  world.add_target ("a", 16000);
  for (auto &target : world.targets)
    target->clock_rate = clock_rate;
  world.start_all ();
  world.run_for ((4000 + idle_ms) * ms);
}

}

// Guards against a start that is carried out long after it was sent, when its task has started
// elsewhere: the clock of the target was read before the target was idle, and is slow (review/11).
TEST (LeasedRuns, StartHeldUpOnItsWayToATargetThatWasIdleIsRejected)
{
  for (auto [idle_ms, delay_ms] : { std::pair (9000, 800), { 80000, 1700 }, { 600000, 1700 } })
    {
      World world;
      start_idle_targets (world, idle_ms, 0.98);
      Target &target = *world.targets[0];

      target.delayed_starts = 1;
      target.start_delay_us = delay_ms * ms;
      world.submit (0, job_id, { { 1, 6800, 3000, 3000 } }, 9000);
      world.run_for (20 * ms);
      ASSERT_EQ (target.delayed_starts, 0);
      world.target_cuts.insert ({ 0, &target });
      world.run_for (3000 * ms);
      EXPECT_EQ (target.starts, 0U) << "idle for " << idle_ms << " ms";
      EXPECT_EQ (world.targets[1]->starts, 1U) << "idle for " << idle_ms << " ms";
      EXPECT_EQ (world.double_runs, 0) << "idle for " << idle_ms << " ms";
    }
}

// Guards against starts that are rejected as late by targets that were idle, whose clocks may be
// slow or not.
TEST (LeasedRuns, JobOnTargetsThatWereIdleIsServedAtOnce)
{
  for (double clock_rate : { 0.98, 1.0 })
    {
      for (int idle_ms : { 9000, 30000, 600000 })
        {
          World world;
          start_idle_targets (world, idle_ms, clock_rate);
          uint64_t caller = world.submit (0, job_id, { { 2, 6800, 60, 60 } });

          world.run_for (70 * ms);
          EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED)) << idle_ms;
          EXPECT_EQ (leased::count_logged (world, "event=start-rejected"), 0U) << idle_ms;
        }
    }
}

// Guards against a task that waits for a target that was idle and is silent.
TEST (LeasedRuns, TaskDoesNotWaitForASilentTargetThatWasIdle)
{
  World world;
  start_idle_targets (world, 60000, 1);
  world.targets[0]->silent = true;
  uint64_t caller = world.submit (0, job_id, { { 1, 6800, 60, 60 } });

  world.run_for (500 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against calls without a pause to a target that rejects the one that reads its clock.
TEST (LeasedRuns, TargetThatRejectsTheReadingOfItsClockIsNotCalledAgainAndAgain)
{
  World world;
  start_idle_targets (world, 60000, 1);
  int calls = 0;

  for (auto &target : world.targets)
    target->rejection = [&calls] (const dks_effect_t &call) {
      calls += call.type == DKS_EFFECT_LEASE_HOLD;
      return DKS_LEASE_UNHEALTHY;
    };
  world.submit (0, job_id, { { 1, 6800, 60, 60 } });
  world.run_for (1000 * ms);
  EXPECT_GE (calls, 2);
  EXPECT_LE (calls, 12); // one in 200 ms for each target
}

// Guards against lent tasks that are refused by a leader whose targets were idle.
TEST (LeasedRuns, LentTaskStartsOnATargetThatWasIdle)
{
  World world;
  start_data_centres (world, 1);
  world.run_for (60000 * ms);
  world.submit (0, neighbour_id, { { 2, 6800, 4000, 4000 } }, 12000);
  world.run_for (20 * ms);
  ASSERT_EQ (count_runs (world, neighbour_id, "a"), 2U);
  world.submit (0, job_id, { { 1, 6800, 900, 900 } }, 6000);
  world.run_for (20 * ms);
  EXPECT_EQ (count_runs (world, job_id, "b"), 1U);
}

// Guards against a target that gets no more starts: it rejected one as late, and then the call that
// read its clock.
TEST (LeasedRuns, TargetThatRejectedAStartAsLateIsUsedAgain)
{
  World world;
  start_idle_targets (world, 0, 1);
  std::deque<dks_lease_status_t> statuses = { DKS_LEASE_LATE, DKS_LEASE_UNHEALTHY };

  world.targets[1]->silent = true;
  world.targets[0]->rejection = [&statuses] (const dks_effect_t &) {
    if (statuses.empty ())
      return DKS_LEASE_OK;
    dks_lease_status_t status = statuses.front ();
    statuses.pop_front ();
    return status;
  };
  world.submit (0, neighbour_id, { { 1, 6800, 60, 60 } });
  world.run_for (3000 * ms);
  ASSERT_TRUE (statuses.empty ());
  uint64_t caller = world.submit (0, job_id, { { 1, 6800, 60, 60 } });
  world.run_for (500 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against tasks that start one after the other, as each waits for the clock of the same
// target although many are idle.
TEST (LeasedRuns, TasksOnManyIdleTargetsStartTogether)
{
  World world;
  world.add_instance ("a");
  for (int i = 0; i < 50; i++)
    world.add_target ("a");
  world.call_delay_us = 5 * ms;
  world.start_all ();
  world.run_for (60000 * ms);
  for (int i = 0; i < 50; i++)
    {
      char id[17];

      snprintf (id, sizeof (id), "%016x", i + 1);
      world.submit (0, id, { { 2, 6800, 900, 900 } }, 6000);
    }
  world.run_for (20 * ms);
  uint32_t starts = 0;
  for (auto &target : world.targets)
    starts += target->starts;
  EXPECT_EQ (starts, 100U);
}
