// Tasks under which targets crash: such a task is given up after two crashes, whoever starts it.

#include "leased_world.h"

#include <algorithm>
#include <gtest/gtest.h>

using leased::count_logged;
using leased::got_answer;
using leased::ms;
using leased::World;

namespace
{

const char *const job = "0000000000000001";
const char *const deadly_task = "0000000000000001.0.0.0";

// A data centre with targets that can run two tasks each.
void
add_data_centre (World &world, const std::string &name, int instances, int targets)
{
  for (int i = 0; i < instances; i++)
    world.add_instance (name);
  for (int i = 0; i < targets; i++)
    world.add_target (name);
}

void
start (World &world)
{
  world.deadly_tasks[deadly_task] = 0;
  world.start_all ();
  world.run_for (2000 * ms);
}

// Index of the instance that was the last to become leader of the data centre.
size_t
leader_of (const World &world, const std::string &data_centre)
{
  size_t leader = SIZE_MAX;

  for (auto &line : world.log)
    {
      if (line.find ("event=leader-start data_centre=" + data_centre) != std::string::npos)
        leader = world.find (line.substr (0, line.find (' ')));
    }
  return leader;
}

// Guards against a task that takes down target after target for as long as its caller waits.
TEST (LeasedCrashes, TaskIsGivenUpOnceTwoTargetsHaveCrashedUnderIt)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);

  uint64_t caller = world.submit (0, job, { { 2, 6800, 100, 100 } }, 12000);
  uint64_t other = world.submit (0, "0000000000000002", { { 8, 6800, 300, 300 } }, 12000);
  world.run_for (12000 * ms);
  EXPECT_EQ (world.deadly_tasks[deadly_task], 2);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_FAILED));
  // It is told at the second crash, which comes once the lease of the first target has expired.
  EXPECT_LT (world.answers[caller].at_us, 1000 * ms + 2000 * ms + 1300 * ms);
  EXPECT_TRUE (got_answer (world, other, DKS_BATCH_COMPLETED));
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against a count that starts anew with each leader of the data centre.
TEST (LeasedCrashes, SuccessorOfALostLeaderKnowsOfTheCrashes)
{
  World world;
  add_data_centre (world, "a", 4, 8);
  start (world);
  size_t leader = leader_of (world, "a");
  size_t entry = leader == 0 ? 1 : 0;

  uint64_t caller = world.submit (entry, job, { { 1, 6800, 100, 100 } }, 12000);
  world.run_for (500 * ms);
  ASSERT_EQ (world.deadly_tasks[deadly_task], 1);
  world.kill (leader);
  world.run_for (10000 * ms);
  EXPECT_EQ (world.deadly_tasks[deadly_task], 2);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_FAILED));
}

// Guards against a count that starts anew with an instance that joins and leads at once.
TEST (LeasedCrashes, LeaderThatHasJoinedLaterKnowsOfTheCrashes)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  size_t leader = leader_of (world, "a");
  size_t other = 1 - leader;

  world.kill (other);
  world.run_for (2000 * ms);
  world.submit (leader, job, { { 1, 6800, 100, 100 } }, 12000);
  world.run_for (3000 * ms);
  ASSERT_EQ (world.deadly_tasks[deadly_task], 2);
  world.restart (other);
  world.run_for (2000 * ms);
  world.kill (leader);
  world.run_for (2000 * ms);
  uint64_t caller = world.submit (other, job, { { 1, 6800, 100, 100 } }, 12000);
  world.run_for (5000 * ms);
  EXPECT_EQ (world.deadly_tasks[deadly_task], 2);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_FAILED));
}

// Guards against work that has crashed its targets being run again because the answer to it was
// lost and the caller sent it again, in another data centre.
TEST (LeasedCrashes, JobThatIsSubmittedAgainElsewhereIsNotStarted)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  add_data_centre (world, "b", 2, 8);
  start (world);

  uint64_t caller = world.submit (world.find ("a-1"), job, { { 1, 6800, 100, 100 } }, 12000);
  world.run_for (4000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_FAILED));
  uint64_t again = world.submit (world.find ("b-1"), job, { { 1, 6800, 100, 100 } }, 12000);
  world.run_for (100 * ms);
  EXPECT_TRUE (got_answer (world, again, DKS_BATCH_FAILED));
  EXPECT_EQ (world.deadly_tasks[deadly_task], 2);
}

// Guards against crashes that are not counted because the task was lent to another data centre.
TEST (LeasedCrashes, CrashesInOtherDataCentresCount)
{
  World world;
  add_data_centre (world, "a", 2, 0);
  world.add_target ("a", 1000);
  add_data_centre (world, "b", 2, 8);
  start (world);

  uint64_t caller = world.submit (world.find ("a-1"), job, { { 1, 6800, 100, 100 } }, 12000);
  world.run_for (12000 * ms);
  EXPECT_EQ (world.deadly_tasks[deadly_task], 2);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_FAILED));
}

// Guards against a target that is back before its lease has expired: its lists lack the runs.
TEST (LeasedCrashes, CrashOfATargetThatIsBackAtOnceCounts)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  world.deadly_tasks.clear ();

  uint64_t caller = world.submit (0, job, { { 1, 6800, 2000, 2000 } }, 12000);
  for (int i = 0; i < 3; i++)
    {
      world.run_for (300 * ms);
      for (auto &target : world.targets)
        {
          if (!target->runs.empty ())
            world.crash (*target, 100 * ms);
        }
      world.run_for (1000 * ms);
    }
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_FAILED));
}

// Guards against taking a start that a crashed target refused for a crash under the task.
TEST (LeasedCrashes, RefusedStartIsNoCrash)
{
  World world;
  add_data_centre (world, "a", 2, 6);
  start (world);
  world.deadly_tasks.clear ();
  for (size_t i = 0; i < 5; i++)
    world.crash (*world.targets[i], 20000 * ms);

  uint64_t caller = world.submit (0, job, { { 2, 6800, 100, 100 } }, 12000);
  world.run_for (3000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against work that is given up although its targets may have crashed before they started
// it: the start got no answer. Hunt of the grown Consortium, deadly, seed 1065391425381.
TEST (LeasedCrashes, StartWithoutAnAnswerIsNoProofOfACrashUnderTheTask)
{
  World world;
  add_data_centre (world, "a", 2, 6);
  start (world);
  world.deadly_tasks.clear ();
  for (size_t i = 0; i < 3; i++)
    world.targets[i]->crash_at_start_us = 3000 * ms;
  for (size_t i = 3; i < 6; i++)
    world.crash (*world.targets[i], 4000 * ms);

  uint64_t caller = world.submit (0, job, { { 1, 6800, 100, 100 } }, 12000);
  world.run_for (8000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a task that is started without end because it crashes its targets before they can
// confirm the start.
TEST (LeasedCrashes, TaskWhoseStartsCrashFourTargetsIsGivenUp)
{
  World world;
  add_data_centre (world, "a", 2, 10);
  start (world);
  world.deadly_tasks.clear ();
  for (auto &target : world.targets)
    target->crash_at_start_us = 20000 * ms;

  uint64_t caller = world.submit (0, job, { { 1, 6800, 100, 100 } }, 12000);
  world.run_for (12000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_FAILED));
  int crashed = 0;
  for (auto &target : world.targets)
    crashed += target->crash_at_start_us == 0;
  EXPECT_EQ (crashed, 4);
}

// Guards against a refused call that is older than an answer of the target's new process being
// taken for a crash of that process, once two later calls get no answer for another reason. Soak,
// seeds 217 and 219.
TEST (LeasedCrashes, RefusalOlderThanAnAnswerIsNoCrash)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  world.deadly_tasks.clear ();

  uint64_t caller = world.submit (0, job, { { 2, 6800, 3000, 3000 } }, 12000);
  world.run_for (100 * ms);
  for (auto &target : world.targets)
    {
      if (!target->runs.empty ())
        world.crash (*target, 20000 * ms);
      else
        target->refused_calls = 1;
    }
  world.reply_delay_us = [] (const dks_effect_t &, dks_lease_status_t status) {
    return status == DKS_LEASE_REFUSED ? 5 * ms : 0;
  };
  leased::Target *accepted = nullptr;
  for (int i = 0; i < 3000 && accepted == nullptr; i++)
    {
      world.run_for (ms);
      for (auto &target : world.targets)
        accepted = target->runs.empty () ? accepted : target.get ();
    }
  ASSERT_NE (accepted, nullptr);
  ASSERT_EQ (accepted->refused_calls, 0);
  for (auto &target : world.targets)
    target->refused_calls = 0;
  world.run_for (20 * ms);
  ASSERT_EQ (count_logged (world, "event=target-crashed"), 2u);
  accepted->silent = true;
  world.run_for (800 * ms);
  accepted->silent = false;
  ASSERT_EQ (count_logged (world, "event=target-silent"), 2u);
  world.run_for (6000 * ms);
  EXPECT_EQ (count_logged (world, "event=target-crashed"), 2u);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against a list of a target's earlier process that arrives after one of its new process:
// the earlier run seems to be back, and the next list seems to show a second crash under the task.
TEST (LeasedCrashes, ListOfAnEarlierProcessIsIgnored)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  world.deadly_tasks.clear ();
  bool polled = false;

  world.reply_delay_us = [&] (const dks_effect_t &call, dks_lease_status_t) {
    if (polled || call.type != DKS_EFFECT_LEASE_HOLD || call.u.lease.wait_ms > 0)
      return int64_t (0);
    polled = true;
    return 150 * ms;
  };
  uint64_t caller = world.submit (0, job, { { 1, 6800, 600, 600 } }, 12000);
  for (int i = 0; i < 600 && !polled; i++)
    world.run_for (ms);
  ASSERT_TRUE (polled);
  for (auto &target : world.targets)
    {
      if (!target->runs.empty ())
        world.crash (*target, 0);
    }
  world.run_for (3000 * ms);
  EXPECT_EQ (count_logged (world, "event=target-crashed"), 1u);
  EXPECT_EQ (count_logged (world, "event=target-restarted"), 1u);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against a list that was written before the end of a run and arrives after the one that
// showed it: the run seems to be back, and a crash of its target seems to be one under its task.
TEST (LeasedCrashes, RunThatHasEndedIsNotTakenBackFromAnOlderList)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  world.deadly_tasks.clear ();
  leased::Target *first = nullptr;
  bool polled = false;

  world.reply_delay_us = [&] (const dks_effect_t &call, dks_lease_status_t) {
    if (polled || call.type != DKS_EFFECT_LEASE_HOLD || call.u.lease.wait_ms > 0)
      return int64_t (0);
    polled = true;
    return 100 * ms;
  };
  uint64_t caller = world.submit (0, job, { { 1, 6800, 600, 600 } }, 12000);
  for (int i = 0; i < 600 && !polled; i++)
    world.run_for (ms);
  ASSERT_TRUE (polled);
  for (auto &target : world.targets)
    {
      if (!target->runs.empty ())
        first = target.get ();
    }
  ASSERT_NE (first, nullptr);
  // The hold under way shows that the run has failed, and the target crashes afterwards.
  first->runs_fail = true;
  first->runs[0].ends_us = world.now_us;
  world.run_for (60 * ms);
  ASSERT_TRUE (first->runs.empty ());
  world.run_for (100 * ms);
  world.crash (*first, 20000 * ms);
  world.run_for (3000 * ms);
  EXPECT_EQ (count_logged (world, "event=target-crashed"), 0u);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against the clock of a target's earlier process being taken for that of its new process:
// it puts deadlines far ahead, so that a start is carried out seconds late, after its task has
// started elsewhere.
TEST (LeasedCrashes, ClockOfAnEarlierProcessIsIgnored)
{
  World world;
  add_data_centre (world, "a", 2, 3);
  start (world);
  world.deadly_tasks.clear ();
  bool start_delayed = false;

  world.submit (0, "0000000000000003", { { 1, 6800, 4000, 4000 } }, 12000);
  world.run_for (100 * ms);
  world.reply_delay_us = [&] (const dks_effect_t &call, dks_lease_status_t) {
    if (start_delayed || call.type != DKS_EFFECT_LEASE_START)
      return int64_t (0);
    start_delayed = true;
    return 30 * ms;
  };
  world.submit (0, "0000000000000002", { { 1, 6800, 4000, 4000 } }, 12000);
  for (int i = 0; i < 100 && !start_delayed; i++)
    world.run_for (ms);
  leased::Target &target = *world.targets[0];
  ASSERT_EQ (target.runs.size (), 2u);
  world.crash (target, 0);
  world.run_for (32 * ms);
  ASSERT_EQ (count_logged (world, "event=target-restarted"), 1u);
  target.delayed_starts = 1;
  target.start_delay_us = 2500 * ms;
  world.submit (0, job, { { 1, 6800, 4000, 4000 } }, 12000);
  world.run_for (5 * ms);
  ASSERT_EQ (target.delayed_starts, 0);
  target.silent = true;
  world.run_for (2400 * ms);
  target.silent = false;
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against work that is given up although its targets were only silent.
TEST (LeasedCrashes, TaskOnTargetsThatWereOnlySilentIsNotGivenUp)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  world.deadly_tasks.clear ();

  uint64_t caller = world.submit (0, job, { { 1, 6800, 600, 600 } }, 12000);
  for (int i = 0; i < 3; i++)
    {
      world.run_for (100 * ms);
      for (auto &target : world.targets)
        target->silent = target->silent || !target->runs.empty ();
      world.run_for (1800 * ms);
    }
  EXPECT_FALSE (world.answered (caller));
  world.run_for (3000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against a cut of the network that resets connections being taken for a crash: the targets
// answer again as the same incarnation.
TEST (LeasedCrashes, TaskOnTargetsWhoseConnectionsWereResetIsNotGivenUp)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  world.deadly_tasks.clear ();

  uint64_t caller = world.submit (0, job, { { 1, 6800, 2000, 2000 } }, 12000);
  for (int i = 0; i < 3; i++)
    {
      world.run_for (100 * ms);
      for (auto &target : world.targets)
        target->refused_calls = target->runs.empty () ? 0 : 1000;
      world.run_for (1500 * ms);
      for (auto &target : world.targets)
        target->refused_calls = 0;
      world.run_for (100 * ms);
    }
  EXPECT_GE (count_logged (world, "event=target-crashed"), 2u);
  EXPECT_FALSE (world.answered (caller));
  world.run_for (3000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against taking back a crash that was proven, when the target is only cut off later.
TEST (LeasedCrashes, ProvenCrashIsNotWithdrawnAfterALaterCut)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  world.deadly_tasks.clear ();
  world.submit (0, job, { { 1, 6800, 3000, 3000 } }, 12000);
  world.run_for (100 * ms);
  auto busy = std::find_if (world.targets.begin (), world.targets.end (),
                            [] (auto &target) { return !target->runs.empty (); });
  ASSERT_NE (busy, world.targets.end ());
  leased::Target &crashed = **busy;
  world.crash (crashed, 1500 * ms);
  world.run_for (2500 * ms);
  ASSERT_EQ (count_logged (world, "event=target-crashed"), 1u);
  for (int i = 0; crashed.runs.empty () && i < 20; i++)
    {
      world.submit (0, "00000000000001" + std::to_string (10 + i), { { 1, 6800, 3000, 3000 } },
                    12000);
      world.run_for (10 * ms);
    }
  ASSERT_FALSE (crashed.runs.empty ());
  crashed.refused_calls = 1000;
  world.run_for (600 * ms);
  crashed.refused_calls = 0;
  world.run_for (600 * ms);
  ASSERT_GE (count_logged (world, "event=target-crashed"), 2u);
  EXPECT_GE (count_logged (world, "event=crash-withdrawn"), 1u);
  EXPECT_EQ (count_logged (world, std::string ("event=crash-withdrawn target=") + crashed.info.id
                                      + " task=" + deadly_task),
             0u);
}

// Guards against runs on a target that leaves and ends its process being taken for crashes.
TEST (LeasedCrashes, EndOfATargetThatLeavesIsNoCrash)
{
  World world;
  add_data_centre (world, "a", 2, 8);
  start (world);
  world.deadly_tasks.clear ();

  uint64_t caller = world.submit (0, job, { { 1, 6800, 600, 600 } }, 12000);
  for (int i = 0; i < 2; i++)
    {
      world.run_for (100 * ms);
      for (auto &target : world.targets)
        {
          if (target->runs.empty ())
            continue;
          target->info.leaving = true;
          world.announce_targets ();
          world.crash (*target, 20000 * ms);
        }
      world.run_for (1800 * ms);
    }
  world.run_for (3000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a table that grows without end, or rejects the latest crashes when it is full.
TEST (LeasedCrashes, FullTableForgetsTheOldestTask)
{
  const uint32_t count = 1100;
  World world;
  add_data_centre (world, "a", 2, 4);
  start (world);
  world.deadly_tasks.clear ();
  size_t leader = leader_of (world, "a");
  dks_msg_t *msg = dks_msg_create (DKS_MSG_SPEEDS);
  dks_event_t event = {};

  msg->u.speeds.task_crashes_count = count;
  msg->u.speeds.task_crashes =
      static_cast<dks_task_crashes_t *> (calloc (count, sizeof (dks_task_crashes_t)));
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (msg->u.speeds.task_crashes[i].task_name, DKS_TASK_NAME_SIZE, "%016x.0.0.0", i);
      msg->u.speeds.task_crashes[i].weight = 4;
    }
  event.type = DKS_EVENT_PEER_MSG;
  event.u.peer_msg.peer = world.instances[1 - leader]->member_id.c_str ();
  event.u.peer_msg.msg = msg;
  world.apply (leader, &event);
  dks_msg_unref (msg);

  uint64_t oldest = world.submit (0, "0000000000000000", { { 1, 6800, 100, 100 } });
  uint64_t latest = world.submit (0, "000000000000044b", { { 1, 6800, 100, 100 } });
  world.run_for (1000 * ms);
  EXPECT_TRUE (got_answer (world, oldest, DKS_BATCH_COMPLETED));
  EXPECT_TRUE (got_answer (world, latest, DKS_BATCH_FAILED));
}

}
