// Jobs and runs around a hand-over of leaders, while data centres, targets or single links are
// lost.

#include "leased_world.h"

#include <cstdio>
#include <gtest/gtest.h>

using leased::count_logged;
using leased::count_runs;
using leased::got_answer;
using leased::ms;
using leased::Target;
using leased::World;

namespace
{

const char *const job_id = "0000000000000002";

void
start_data_centres (World &world, const std::vector<std::pair<int, int>> &instances_and_targets)
{
  std::string name = "a";

  for (auto [instances, targets] : instances_and_targets)
    {
      for (int i = 0; i < instances; i++)
        world.add_instance (name);
      for (int i = 0; i < targets; i++)
        world.add_target (name);
      name[0]++;
    }
  world.start_all ();
  world.run_for (4000 * ms);
}

std::string
reports (const World &world)
{
  std::string text;

  for (auto &line : world.double_run_reports)
    text += line + "\n";
  for (auto &line : world.double_run_log)
    text += line + "\n";
  return text;
}

int64_t
first_logged_us (const World &world, const std::string &text)
{
  for (size_t i = 0; i < world.log.size (); i++)
    {
      if (world.log[i].find (text) != std::string::npos)
        return world.log_times_us[i];
    }
  return -1;
}

}

// Guards against a second run of a task on a target that the successor has not been told of: it is
// cut off from the platform's store, or its watch is late.
TEST (LeasedHandover, SuccessorThatDoesNotKnowATargetYetDoesNotStartItsTaskAgain)
{
  World world;
  start_data_centres (world, { { 2, 1 } });
  world.submit (0, "0000000000000001", { { 2, 6800, 150, 150 } }, 12000);
  world.run_for (20 * ms);
  size_t added = world.add_target ("a");
  world.tell_of_target (0, *world.targets[added], true);
  world.run_for (20 * ms);
  uint64_t caller = world.submit (1, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
  world.run_for (200 * ms);
  ASSERT_EQ (world.targets[added]->runs.size (), 1U);
  world.drain (0);
  world.run_for (6000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// The same for a target that its leader knew before it led.
TEST (LeasedHandover, SuccessorIsToldOfATargetThatOnlyItsPredecessorKnew)
{
  World world;
  start_data_centres (world, { { 3, 1 } });
  size_t added = world.add_target ("a");
  world.tell_of_target (1, *world.targets[added], true);
  world.run_for (300 * ms);
  world.drain (0);
  world.run_for (300 * ms);
  ASSERT_EQ (count_logged (world, "a-2 event=leader-start"), 1U);
  world.submit (1, "0000000000000001", { { 2, 6800, 150, 150 } }, 12000);
  world.run_for (20 * ms);
  uint64_t caller = world.submit (2, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
  world.run_for (200 * ms);
  ASSERT_EQ (world.targets[added]->runs.size (), 1U);
  world.drain (1);
  world.run_for (6000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// The same for one of which a cut keeps the leader from telling its successor, but not others.
TEST (LeasedHandover, SuccessorThatItsPredecessorCouldNotTellOfATargetIsToldByOthers)
{
  World world;
  start_data_centres (world, { { 3, 1 } });
  world.set_cut_both_ways (0, 1, true);
  world.run_for (50 * ms);
  size_t added = world.add_target ("a");
  world.tell_of_target (0, *world.targets[added], true);
  world.submit (2, "0000000000000001", { { 2, 6800, 150, 150 } }, 12000);
  world.run_for (20 * ms);
  uint64_t caller = world.submit (2, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
  world.run_for (100 * ms);
  ASSERT_EQ (world.targets[added]->runs.size (), 1U);
  world.run_for (6000 * ms);
  ASSERT_EQ (count_logged (world, "a-2 event=leader-start"), 1U);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a target that is used although the platform does not list it to the leader, which
// was only told of it by its predecessor, and against one that is gone and remembered for ever.
TEST (LeasedHandover, TargetThatOnlyThePredecessorKnewGetsNoWorkAndIsForgotten)
{
  World world;
  start_data_centres (world, { { 2, 1 } });
  size_t added = world.add_target ("a");
  world.tell_of_target (0, *world.targets[added], true);
  world.run_for (100 * ms);
  ASSERT_EQ (count_logged (world, "a-2 event=target-noted"), 1U);
  world.targets[added]->silent = true;
  world.run_for (200 * ms);
  world.kill (0);
  world.run_for (100 * ms);
  world.submit (1, "0000000000000001", { { 2, 6800, 150, 150 } }, 12000);
  uint64_t caller = world.submit (1, job_id, { { 2, 6800, 150, 150 } }, 12000);
  world.run_for (2000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (world.targets[added]->starts, 0U);
  world.run_for (8000 * ms);
  size_t calls = count_logged (world, "event=target-silent");
  world.targets[added]->silent = false;
  world.run_for (2000 * ms);
  EXPECT_EQ (count_logged (world, "event=target-silent"), calls);
  EXPECT_EQ (count_logged (world, "event=target-back"), 0U);
}

// Guards against a job that waits until its caller leaves for the answer of a data centre without
// targets: no target there can confirm the term of its leader.
TEST (LeasedHandover, LeaderWithoutTargetsAnswersQuestions)
{
  World world;
  start_data_centres (world, { { 2, 2 }, { 1, 0 } });
  uint64_t caller =
      world.submit (1, job_id, { { 2, 6800, 200, 200 }, { 1, 6800, 200, 200, 1 } }, 1500);
  world.run_for (100 * ms);
  world.drain (0);
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// The same, where the targets of the data centre have all crashed.
TEST (LeasedHandover, LeaderWhoseTargetsAreAllDownAnswersQuestions)
{
  World world;
  start_data_centres (world, { { 2, 2 }, { 1, 2 } });
  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "b")
        world.crash (*target, 60000 * ms);
    }
  world.run_for (100 * ms);
  uint64_t caller =
      world.submit (1, job_id, { { 2, 6800, 200, 200 }, { 1, 6800, 200, 200, 1 } }, 1500);
  world.run_for (100 * ms);
  world.drain (0);
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against an answer that waits for one silent target after the other: the leader calls the
// first one that has not missed a call yet, 200 ms each, although other targets would answer.
TEST (LeasedHandover, SilentIdleTargetsDoNotHoldUpTheAnswerToAQuestion)
{
  World world;
  start_data_centres (world, { { 2, 2 }, { 1, 8 } });
  int silent = 0;
  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "b" && silent++ < 6)
        target->silent = true;
    }
  world.run_for (100 * ms);
  uint64_t caller =
      world.submit (1, job_id, { { 2, 6800, 200, 200 }, { 1, 6800, 200, 200, 1 } }, 1500);
  world.run_for (100 * ms);
  world.drain (0);
  world.run_for (3000 * ms);
  int64_t leads_us = first_logged_us (world, "a-2 event=leader-start");
  int64_t known_us = first_logged_us (world, std::string ("event=no-prior-run job=") + job_id);
  ASSERT_GT (leads_us, 0);
  ASSERT_GT (known_us, 0);
  EXPECT_LT (known_us - leads_us, 300 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against an orphaned run that outlives the resubmission of its job: a lease is that of a
// target, and another run there that a job has claimed extends it.
TEST (LeasedHandover, OrphanBesideAClaimedRunEndsBeforeTheResubmission)
{
  for (int64_t down_ms = 100; down_ms <= 1000; down_ms += 50)
    {
      World world;
      start_data_centres (world, { { 1, 1 }, { 1, 1 }, { 1, 4 } });
      world.submit (world.find ("a-1"), job_id, { { 1, 6800, 3000, 3000 } }, 12000);
      world.run_for (20 * ms);
      ASSERT_EQ (count_runs (world, job_id, "a"), 1U);
      for (auto &target : world.targets)
        target->slowness = std::string (target->info.data_centre) == "c" ? 1.6 : 1;
      world.set_cut_both_ways (world.find ("b-1"), world.find ("c-1"), true);
      world.run_for (1000 * ms);
      world.submit (world.find ("b-1"), "0000000000000001", { { 3, 6800, 3000, 3000 } }, 12000);
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, "0000000000000001", "a"), 1U);
      world.kill (world.find ("a-1"));
      world.run_for (down_ms * ms);
      world.restart (world.find ("a-1"));
      world.run_for ((1300 - down_ms) * ms);
      world.submit (world.find ("c-1"), job_id, { { 1, 6800, 3000, 3000 } }, 8000);
      world.run_for (1000 * ms);
      EXPECT_EQ (world.double_runs, 0) << "down for " << down_ms << " ms\n" << reports (world);
    }
}

// Guards against a job that waits until its caller leaves after a short cut: the remote leader took
// the home leader for lost and stopped the lent task, and the home leader heard of nothing.
TEST (LeasedHandover, LentTaskThatOnlyTheRemoteLeaderGaveUpIsKnownToTheHomeLeader)
{
  for (int64_t cut_ms = 500; cut_ms <= 800; cut_ms += 5)
    {
      World world;
      start_data_centres (world, { { 1, 1 }, { 1, 4 } });
      world.run_for (cut_ms * 7 % 100 * ms); // another phase of the statuses
      world.submit (0, "0000000000000001", { { 2, 6800, 300, 300 } }, 12000);
      world.run_for (20 * ms);
      uint64_t caller = world.submit (0, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
      world.set_cut (0, 1, true);
      world.run_for (cut_ms * ms);
      world.set_cut (0, 1, false);
      world.run_for (6000 * ms);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED))
          << "cut for " << cut_ms << " ms";
      EXPECT_EQ (world.double_runs, 0);
    }
}

// The same after a cut of both directions, of instances that look for silent ones at other times.
TEST (LeasedHandover, LentTaskThatOnlyTheRemoteLeaderGaveUpAfterACutOfBothDirections)
{
  for (int64_t cut_ms = 560; cut_ms <= 760; cut_ms += 2)
    {
      World world;
      start_data_centres (world, { { 1, 1 }, { 1, 4 } });
      world.kill (1);
      world.run_for (250 * ms + cut_ms * 7 % 100 * ms);
      world.restart (1);
      world.run_for (3000 * ms);
      world.submit (0, "0000000000000001", { { 2, 6800, 300, 300 } }, 12000);
      world.run_for (20 * ms);
      uint64_t caller = world.submit (0, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
      world.set_cut_both_ways (0, 1, true);
      world.run_for (cut_ms * ms);
      world.set_cut_both_ways (0, 1, false);
      world.run_for (6000 * ms);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED))
          << "cut for " << cut_ms << " ms";
      EXPECT_EQ (world.double_runs, 0);
    }
}

// The same for a question of a successor, for which a run goes on.
TEST (LeasedHandover, QuestionThatOnlyTheRemoteLeaderForgotIsAskedAgain)
{
  for (int64_t cut_ms = 500; cut_ms <= 800; cut_ms += 10)
    {
      World world;
      start_data_centres (world, { { 2, 2 }, { 1, 4 } });
      world.submit (1, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
      world.run_for (20 * ms);
      uint64_t caller = world.submit (1, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
      world.set_cut (0, 2, true);
      world.drain (0);
      world.run_for (100 * ms);
      world.set_cut (1, 2, true);
      world.run_for (cut_ms * ms);
      world.set_cut (1, 2, false);
      world.set_cut (0, 2, false);
      world.run_for (6000 * ms);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED))
          << "cut for " << cut_ms << " ms";
      EXPECT_EQ (world.double_runs, 0);
    }
}

// Guards against a second run of a lent task whose home leader goes on, since neither its successor
// nor its targets reach it; the successor cannot reach the remote leader, and waits for 2 s.
TEST (LeasedHandover, HomeLeaderThatIsCutOffFromItsDataCentreOnlyKeepsItsLentTask)
{
  World world;
  start_data_centres (world, { { 2, 2 }, { 1, 4 } });
  world.submit (1, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
  world.run_for (20 * ms);
  world.submit (1, job_id, { { 1, 6800, 5000, 5000 } }, 20000);
  world.run_for (100 * ms);
  ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
  world.set_cut_both_ways (0, 1, true);
  world.set_cut_both_ways (1, 2, true);
  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "a")
        world.target_cuts.insert ({ 0, target.get () });
    }
  world.run_for (5000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
}

// Guards against refusals to callers of a data centre for the tasks in questions to its leader,
// which need no capacity.
TEST (LeasedHandover, QuestionsDoNotCountAsWaitingTasks)
{
  bool with_handover = getenv ("CONTROL") == nullptr;
  World world;
  start_data_centres (world, { { 2, 8 }, { 1, 8 } });
  int silent = 0;
  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "b" && silent++ < 2)
        target->silent = true;
    }
  char id[32];
  for (int i = 0; i < 30; i++)
    {
      snprintf (id, sizeof (id), "%016x", 0x100 + i);
      world.submit (1, id, { { 8, 6800, 60, 60 } }, 1500);
    }
  world.run_for (10 * ms);
  if (with_handover)
    world.drain (0);
  world.run_for (60 * ms);
  uint64_t caller = world.submit (2, job_id, { { 2, 6800, 60, 60 } }, 1500);
  world.run_for (3000 * ms);
  ASSERT_TRUE (world.answered (caller));
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a second run of a job that is submitted through a second entry instance around a
// hand-over, before the first one has sent it to the successor.
TEST (LeasedHandover, SecondSubmissionAroundAHandOverStartsNothingAgain)
{
  World world;
  start_data_centres (world, { { 3, 2 }, { 1, 4 } });
  size_t home = world.find ("a-1");
  size_t remote = world.find ("b-1");
  world.submit (1, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
  world.run_for (20 * ms);
  world.submit (2, job_id, { { 1, 6800, 3000, 3000 } }, 12000);
  world.run_for (400 * ms);
  ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
  world.set_cut_both_ways (home, remote, true);
  world.set_cut_both_ways (2, 1, true);
  world.drain (home);
  world.run_for (100 * ms);
  world.submit (1, job_id, { { 1, 6800, 3000, 3000 } }, 12000);
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
}

// Guards against a second run of a task that lasts on a target for longer than a successor
// remembers the target after the platform has ceased to list it.
TEST (LeasedHandover, SuccessorFindsALongRunOnATargetThatWasUnlistedLongBefore)
{
  World world;
  start_data_centres (world, { { 2, 3 } });
  uint64_t caller = world.submit (1, job_id, { { 1, 6800, 8000, 8000 } }, 20000);
  world.run_for (50 * ms);
  for (auto &target : world.targets)
    {
      if (target->runs.empty ())
        continue;
      for (size_t i = 0; i < world.instances.size (); i++)
        world.tell_of_target (i, *target, false);
    }
  world.run_for (5200 * ms);
  ASSERT_EQ (count_runs (world, job_id, "a"), 1U);
  world.drain (0);
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
  world.run_for (9000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against jobs that a target which is gone for good holds up for longer than a lease from
// the election, and against one that is passed on from leader to leader for ever.
TEST (LeasedHandover, UnlistedTargetThatIsGoneHoldsUpJobsForALeaseOnly)
{
  World world;
  start_data_centres (world, { { 3, 3 } });
  uint64_t caller = world.submit (2, job_id, { { 1, 6800, 8000, 8000 } }, 30000);
  world.run_for (50 * ms);
  Target *gone = nullptr;
  for (auto &target : world.targets)
    {
      if (!target->runs.empty ())
        gone = target.get ();
    }
  ASSERT_NE (gone, nullptr);
  for (size_t i = 0; i < 3; i++)
    world.tell_of_target (i, *gone, false);
  world.run_for (5200 * ms);
  ASSERT_EQ (gone->runs.size (), 1U);
  gone->silent = true;
  world.drain (0);
  world.run_for (3000 * ms);
  int64_t led_us = first_logged_us (world, "a-2 event=leader-start");
  int64_t known_us = first_logged_us (world, std::string ("event=no-prior-run job=") + job_id);
  ASSERT_GT (led_us, 0);
  ASSERT_GT (known_us, led_us);
  EXPECT_LT (known_us - led_us, 1200 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
  world.run_for (5000 * ms);
  size_t noted = count_logged (world, "event=target-noted");
  world.drain (1);
  world.run_for (300 * ms);
  EXPECT_TRUE (world.instances[2]->up);
  EXPECT_EQ (count_logged (world, "a-3 event=leader-start"), 1U);
  EXPECT_EQ (count_logged (world, "event=target-noted"), noted);
  world.run_for (9000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a table that grows without a bound: an instance that the platform does not answer
// keeps the targets of which leaders tell it.
TEST (LeasedHandover, TargetsThatLeadersTellOfAreBounded)
{
  World world;
  start_data_centres (world, { { 2, 2 } });
  dks_msg_t *msg = dks_msg_create (DKS_MSG_TARGETS);
  dks_event_t event = {};
  msg->u.targets.may_have_runs = true;
  msg->u.targets.count = 1500;
  msg->u.targets.items =
      static_cast<dks_target_info_t *> (calloc (1500, sizeof (dks_target_info_t)));
  for (uint32_t i = 0; i < 1500; i++)
    {
      msg->u.targets.items[i] = world.targets[0]->info;
      snprintf (msg->u.targets.items[i].id, sizeof (msg->u.targets.items[i].id), "gone-%u", i);
      snprintf (msg->u.targets.items[i].address, sizeof (msg->u.targets.items[i].address),
                "gone-%u", i);
    }
  event.type = DKS_EVENT_PEER_MSG;
  event.u.peer_msg.peer = world.instances[0]->member_id.c_str ();
  event.u.peer_msg.msg = msg;
  world.apply (1, &event);
  dks_msg_unref (msg);
  world.kill (0);
  world.run_for (100 * ms);
  ASSERT_EQ (count_logged (world, "a-2 event=leader-start"), 1U);
  char *text = dks_reducer_metrics (world.instances[1]->reducer);
  EXPECT_NE (std::string (text).find ("targets_held 1026\n"), std::string::npos);
  free (text);
}

// Guards against runs that end with their lease although a job has claimed them: the call that is
// under way when they are claimed extends no lease, and is waited for.
TEST (LeasedHandover, LeaseOfAnAdoptedRunIsExtendedOnceAJobHasClaimedIt)
{
  for (int64_t phase_ms = 0; phase_ms < 300; phase_ms += 20)
    {
      World world;
      start_data_centres (world, { { 2, 2 } });
      uint64_t caller = world.submit (1, job_id, { { 1, 6800, 2500, 2500 } }, 8000);
      world.run_for (400 * ms + phase_ms * ms);
      world.set_frozen (0, true);
      world.run_for (6000 * ms);
      EXPECT_EQ (count_logged (world, "event=run-adopted"), 1U) << "phase " << phase_ms;
      EXPECT_EQ (count_logged (world, "end=lapsed"), 0U) << "phase " << phase_ms;
      EXPECT_EQ (world.double_runs, 0);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
    }
}

// Guards against an orphaned run that outlives the resubmission of its job: a lease is that of a
// target, and the start of another task there extends it.
TEST (LeasedHandover, OrphanBesideANewRunEndsBeforeTheResubmission)
{
  for (int64_t down_ms = 100; down_ms <= 1000; down_ms += 50)
    {
      World world;
      world.rejects_excess_runs = true;
      start_data_centres (world, { { 1, 1 }, { 1, 4 } });
      world.submit (world.find ("a-1"), job_id, { { 1, 6800, 3000, 3000 } }, 12000);
      world.run_for (1000 * ms);
      ASSERT_EQ (count_runs (world, job_id, "a"), 1U);
      world.kill (world.find ("a-1"));
      world.run_for (down_ms * ms);
      world.restart (world.find ("a-1"));
      world.run_for (10 * ms);
      world.submit (world.find ("a-1"), "0000000000000001", { { 1, 6800, 1000, 1000 } }, 6000);
      world.run_for ((1290 - down_ms) * ms);
      world.submit (world.find ("b-1"), job_id, { { 1, 6800, 3000, 3000 } }, 8000);
      world.run_for (1000 * ms);
      EXPECT_EQ (world.double_runs, 0) << "down for " << down_ms << " ms\n" << reports (world);
    }
}

// Guards against jobs that are lost at a hand-over while another data centre is out of reach, as it
// has been for seconds: callers wait for 1.5 s, the successor for 2 s.
TEST (LeasedHandover, DataCentreThatIsLongOutOfReachDoesNotHoldUpJobs)
{
  World world;
  start_data_centres (world, { { 2, 2 }, { 1, 2 }, { 1, 2 } });
  for (size_t other : { 0, 1, 2 })
    world.set_cut_both_ways (3, other, true);
  world.run_for (5000 * ms);
  uint64_t caller =
      world.submit (1, job_id, { { 2, 6800, 200, 200 }, { 1, 6800, 200, 200, 1 } }, 1500);
  world.run_for (100 * ms);
  world.drain (0);
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a second run of a lent task whose home leader goes on for an entry instance that
// reaches both it and its successor, which reaches neither it nor the remote leader.
TEST (LeasedHandover, HomeLeaderThatOnlyTheEntryInstanceReachesDropsAJobSentToTheSuccessor)
{
  World world;
  start_data_centres (world, { { 3, 2 }, { 1, 4 } });
  world.submit (1, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
  world.run_for (20 * ms);
  world.submit (2, job_id, { { 1, 6800, 5000, 5000 } }, 20000);
  world.run_for (100 * ms);
  ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
  world.set_cut_both_ways (0, 1, true);
  world.set_cut_both_ways (1, 3, true);
  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "a")
        world.target_cuts.insert ({ 0, target.get () });
    }
  world.run_for (5000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
}

// Guards against a leader that is kept busy by the answers about the tasks of its earlier leader:
// each of them caused a check of all tasks of all such jobs.
TEST (LeasedHandover, ChecksForPriorRunsGrowWithTheTasks)
{
  for (int jobs : { 50, 200 })
    {
      World world;
      start_data_centres (world, { { 2, 2 }, { 1, 2 }, { 1, 2 }, { 1, 2 }, { 1, 2 } });
      char id[32];
      for (int i = 0; i < jobs; i++)
        {
          snprintf (id, sizeof (id), "%016x", 0x100 + i);
          world.submit (1, id, { { 8, 6800, 100, 100 } }, 600000);
        }
      world.run_for (50 * ms);
      world.drain (0);
      world.run_for (100 * ms);
      uint64_t checks = 0;
      for (auto &instance : world.instances)
        checks += dks_reducer_prior_run_checks (instance->reducer);
      // Five data centres check each task once in 20 ms, and twice when the job is new.
      EXPECT_LE (checks, static_cast<uint64_t> (8 * jobs * 5 * 7)) << jobs << " jobs";
    }
}

// Guards against a leader whose lent tasks are refused everywhere: an instance of its data centre
// led with a higher term while it was cut off, and is gone.
TEST (LeasedHandover, LeaderLendsTasksAfterARivalIsGone)
{
  World world;
  start_data_centres (world, { { 1, 4 }, { 2, 1 } });
  size_t leader = world.find ("b-1");
  size_t rival = world.find ("b-2");

  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "b")
        world.target_cuts.insert ({ rival, target.get () });
    }
  world.set_cut_both_ways (leader, rival, true);
  world.run_for (1000 * ms);
  ASSERT_EQ (count_logged (world, "b-2 event=leader-start"), 1U);
  world.kill (rival);
  world.run_for (3000 * ms);
  world.submit (leader, "0000000000000001", { { 2, 6800, 2000, 2000 } }, 12000);
  world.run_for (20 * ms);
  uint64_t caller = world.submit (leader, job_id, { { 2, 6800, 200, 200 } }, 1500);
  world.run_for (1500 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (count_logged (world, "event=lend-refused"), 0U);
}

// Guards against two leaders of a data centre that do not hear each other and take the leadership
// from each other again and again, while a third instance hears both.
TEST (LeasedHandover, LeadersThatDoNotHearEachOtherSettle)
{
  for (bool targets_are_cut : { false, true })
    {
      World world;
      start_data_centres (world, { { 4, 2 }, { 1, 1 } });
      size_t starts = count_logged (world, "event=leader-start data_centre=a");
      world.set_cut_both_ways (0, 1, true);
      if (targets_are_cut)
        world.target_cuts.insert ({ 0, world.targets[0].get () });
      for (int i = 0; i < 100; i++)
        {
          char id[32];
          snprintf (id, sizeof (id), "%016x", 0x100 + i);
          world.submit (i % 4, id, { { 1, 6800, 50, 50 } }, 1500);
          world.run_for (150 * ms);
        }
      EXPECT_EQ (count_logged (world, "event=leader-start data_centre=a"), starts + 1);
      EXPECT_EQ (count_logged (world, "event=leader-stop"), 1U);
      uint64_t caller = world.submit (2, job_id, { { 2, 6800, 200, 200 } }, 1500);
      world.run_for (1000 * ms);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
      world.set_cut_both_ways (0, 1, false);
      world.run_for (5000 * ms);
      EXPECT_EQ (count_logged (world, "event=leader-start data_centre=a"), starts + 1);
    }
}

// Guards against a data centre without a leader: the one that superseded the other is gone, and the
// instances that heard it stated its term until they noticed.
TEST (LeasedHandover, LeaderThatWasSupersededUnheardLeadsOnceItsSuccessorIsGone)
{
  for (bool is_silent : { false, true })
    {
      World world;
      start_data_centres (world, { { 3, 2 } });
      world.set_cut_both_ways (0, 1, true);
      world.run_for (3000 * ms);
      size_t starts = count_logged (world, "event=leader-start");
      ASSERT_EQ (count_logged (world, "a-1 event=leader-stop"), 1U);
      int64_t lost_us = world.now_us;
      if (is_silent)
        world.set_frozen (1, true);
      else
        world.kill (1);
      world.run_for (3000 * ms);
      ASSERT_EQ (count_logged (world, "event=leader-start"), starts + 1);
      int64_t led_us = 0;
      for (size_t i = 0; i < world.log.size (); i++)
        {
          if (world.log[i].find ("a-1 event=leader-start") != std::string::npos)
            led_us = world.log_times_us[i];
        }
      EXPECT_GT (led_us, lost_us);
      EXPECT_LT (led_us - lost_us, 900 * ms);
      uint64_t caller = world.submit (0, job_id, { { 1, 6800, 200, 200 } }, 1500);
      world.run_for (1000 * ms);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
    }
}

// Guards against a second run of a job whose first submission at the successor comes before the
// other leaders have stated which jobs run there.
TEST (LeasedHandover, SecondSubmissionBeforeTheStatementsStartsNothingAgain)
{
  for (int64_t after_ms = 0; after_ms <= 30; after_ms++)
    {
      World world;
      start_data_centres (world, { { 3, 2 }, { 1, 4 } });
      size_t home = world.find ("a-1");
      size_t remote = world.find ("b-1");
      world.submit (1, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
      world.run_for (20 * ms);
      world.submit (2, job_id, { { 1, 6800, 3000, 3000 } }, 12000);
      world.run_for (400 * ms);
      ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
      world.set_cut_both_ways (home, remote, true);
      world.set_cut_both_ways (2, 1, true);
      world.drain (home);
      world.run_for (after_ms * ms);
      world.submit (1, job_id, { { 1, 6800, 3000, 3000 } }, 12000);
      world.run_for (3000 * ms);
      EXPECT_EQ (world.double_runs, 0) << "after " << after_ms << " ms\n" << reports (world);
    }
}

// Guards against jobs that wait for a statement which has been received, and counted for nothing as
// its sender was not yet known to be the only leader.
TEST (LeasedHandover, StatementHoldsOnceARivalOfItsSenderIsLongGone)
{
  World world;
  start_data_centres (world, { { 2, 4 }, { 2, 2 } });
  size_t remote = world.find ("b-1");
  size_t rival = world.find ("b-2");

  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "b")
        world.target_cuts.insert ({ rival, target.get () });
    }
  world.set_cut_both_ways (remote, rival, true);
  world.set_cut_both_ways (0, rival, true);
  world.run_for (1000 * ms);
  ASSERT_EQ (count_logged (world, "b-2 event=leader-start"), 1U);
  uint64_t caller =
      world.submit (1, job_id, { { 2, 6800, 300, 300 }, { 1, 6800, 300, 300, 1 } }, 6000);
  world.run_for (50 * ms);
  world.kill (rival);
  world.drain (0);
  world.run_for (7000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a second run of a lent task of whose data centre a superseded leader states the
// jobs, which has lost all its targets and does not hear its successor.
TEST (LeasedHandover, LeaderThatHasLostAllTargetsDoesNotStateWhichJobsRun)
{
  World world;
  start_data_centres (world, { { 2, 2 }, { 2, 4 } });
  size_t superseded = world.find ("b-1");
  size_t remote = world.find ("b-2");

  world.set_cut_both_ways (1, remote, true);
  world.set_cut_both_ways (superseded, remote, true);
  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "b")
        world.target_cuts.insert ({ superseded, target.get () });
    }
  world.run_for (15000 * ms);
  ASSERT_EQ (count_logged (world, "b-2 event=leader-start"), 1U);
  // The leader that has lost its targets is not told of tasks before it notices.
  world.submit (superseded, "0000000000000003", { { 8, 6800, 300, 300 } }, 12000);
  world.run_for (1000 * ms);
  world.submit (1, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
  world.run_for (20 * ms);
  world.submit (1, job_id, { { 1, 6800, 3000, 3000 } }, 12000);
  world.run_for (400 * ms);
  ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
  world.set_cut_both_ways (0, remote, true);
  world.drain (0);
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
}

// Guards against a second run of a lent task whose home leader is superseded by an instance that
// led alone while it was cut off from everything, and has not heard of the remote leader for long.
TEST (LeasedHandover, LeaderThatComesBackFromALongCutWaitsForLentTasks)
{
  for (int64_t after_ms = 0; after_ms <= 300; after_ms += 5)
    {
      World world;
      start_data_centres (world, { { 3, 2 }, { 1, 4 } });

      for (auto &target : world.targets)
        world.target_cuts.insert ({ 1, target.get () });
      for (size_t other : { 0, 2, 3 })
        world.set_cut_both_ways (1, other, true);
      world.run_for (5000 * ms);
      ASSERT_EQ (count_logged (world, "a-2 event=leader-start"), 1U);
      world.submit (2, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
      world.run_for (20 * ms);
      world.submit (2, job_id, { { 1, 6800, 3000, 3000 } }, 12000);
      world.run_for (400 * ms);
      ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
      world.target_cuts.clear ();
      world.run_for (after_ms * ms);
      world.set_cut_both_ways (1, 2, false);
      world.run_for (300 * ms);
      for (size_t other : { 0, 3 })
        world.set_cut_both_ways (1, other, false);
      world.run_for (4000 * ms);
      EXPECT_EQ (world.double_runs, 0) << "after " << after_ms << " ms\n" << reports (world);
    }
}

// Guards against statements that are put off by each further leader of any data centre: a leader
// that cannot read a target waits for 2 s before it states its jobs.
TEST (LeasedHandover, FurtherHandOversDoNotPutOffAStatement)
{
  World world;
  start_data_centres (world, { { 2, 4 }, { 2, 2 }, { 1, 1 }, { 1, 1 } });
  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "b")
        {
          target->silent = true;
          break;
        }
    }
  world.run_for (500 * ms);
  world.kill (world.find ("b-1"));
  world.run_for (4000 * ms);
  ASSERT_EQ (count_logged (world, "b-2 event=leader-start"), 1U);
  uint64_t caller =
      world.submit (1, job_id, { { 2, 6800, 300, 300 }, { 1, 6800, 300, 300, 1 } }, 6000);
  world.run_for (50 * ms);
  world.drain (0);
  for (int i = 0; i < 8; i++)
    {
      size_t restarted = world.find (i % 2 == 0 ? "c-1" : "d-1");

      world.kill (restarted);
      world.run_for (100 * ms);
      world.restart (restarted);
      world.run_for (700 * ms);
    }
  EXPECT_EQ (world.double_runs, 0) << reports (world);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a statement that is trusted on a later connection: its sender has not heard of
// this leader for long, and has taken tasks of an earlier one meanwhile.
TEST (LeasedHandover, StatementEndsWithItsConnection)
{
  for (int64_t after_ms = 0; after_ms <= 300; after_ms += 5)
    {
      World world;
      start_data_centres (world, { { 3, 2 }, { 1, 4 } });
      size_t remote = world.find ("b-1");

      // "a-2" leads without targets, and at first only "b-1" hears it.
      for (auto &target : world.targets)
        world.target_cuts.insert ({ 1, target.get () });
      world.set_cut_both_ways (0, 1, true);
      world.set_cut_both_ways (1, 2, true);
      world.run_for (2500 * ms);
      ASSERT_EQ (count_logged (world, "a-2 event=leader-start"), 1U);
      ASSERT_EQ (count_logged (world, "b-1 event=prior-jobs-stated to=a-2"), 1U);
      world.set_cut_both_ways (1, remote, true);
      world.run_for (4000 * ms);
      world.submit (2, "0000000000000001", { { 4, 6800, 300, 300 } }, 12000);
      world.run_for (20 * ms);
      world.submit (2, job_id, { { 1, 6800, 3000, 3000 } }, 12000);
      world.run_for (400 * ms);
      ASSERT_EQ (count_runs (world, job_id, "b"), 1U);
      world.target_cuts.clear ();
      world.run_for (400 * ms);
      // The targets of "b" hold up the next statement, but not the run.
      world.call_delay_us = 10 * ms;
      world.set_cut_both_ways (1, remote, false);
      world.run_for (after_ms * ms);
      world.set_cut_both_ways (1, 2, false);
      world.run_for (4000 * ms);
      EXPECT_EQ (world.double_runs, 0) << "after " << after_ms << " ms\n" << reports (world);
    }
}

// Guards against jobs that are lost at each hand-over for a data centre that has been gone for
// long, with all its instances and targets.
TEST (LeasedHandover, DataCentreThatIsGoneDoesNotHoldUpJobs)
{
  World world;
  start_data_centres (world, { { 2, 2 }, { 1, 2 }, { 1, 0 } });
  world.kill (3);
  world.run_for (40000 * ms);
  uint64_t caller =
      world.submit (1, job_id, { { 2, 6800, 200, 200 }, { 1, 6800, 200, 200, 1 } }, 1500);
  world.run_for (100 * ms);
  world.drain (0);
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

namespace
{

// Fills the first target of data centre "a" for 150 ms and has a job of 2 s start on the second
// one. Returns the job's caller, at the instance `entry`.
uint64_t
start_on_second_target (World &world, size_t leader, size_t entry)
{
  world.submit (leader, "0000000000000001", { { 2, 6800, 150, 150 } }, 12000);
  world.run_for (20 * ms);
  uint64_t caller = world.submit (entry, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
  world.run_for (10 * ms);
  EXPECT_EQ (world.targets[1]->runs.size (), 1U);
  world.run_for (150 * ms);
  return caller;
}

}

// Guards against a second run of a task on a target that has just left the platform's list: the
// leader may still use it, a successor that started afterwards has not read of it, and is told only
// of targets with runs (review/8).
TEST (LeasedHandover, SuccessorIsToldOfATargetThatWasUnlistedBeforeItStarted)
{
  for (int64_t joined_ms : { 300, 500, 900, 1400 })
    {
      World world;
      start_data_centres (world, { { 2, 2 } });
      world.kill (1);
      world.targets[1]->listed = false;
      world.tell_of_target (0, *world.targets[1], false);
      world.run_for (100 * ms);
      world.restart (1);
      world.run_for (joined_ms * ms);
      uint64_t caller = start_on_second_target (world, 0, 1);
      world.drain (0);
      world.run_for (6000 * ms);
      EXPECT_EQ (world.double_runs, 0) << joined_ms << " ms\n" << reports (world);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED)) << joined_ms << " ms";
    }
}

// The same where the platform's store turns the leader away, which therefore goes on using a target
// that all others have seen leave.
TEST (LeasedHandover, SuccessorIsToldOfATargetThatOnlyItsPredecessorStillLists)
{
  World world;
  start_data_centres (world, { { 2, 2 } });
  world.targets[1]->listed = false;
  world.tell_of_target (1, *world.targets[1], false);
  world.run_for (9000 * ms);
  uint64_t caller = start_on_second_target (world, 0, 1);
  world.drain (0);
  world.run_for (6000 * ms);
  EXPECT_EQ (world.double_runs, 0) << reports (world);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// The same where a successor that has just started can lead before its predecessor, to which the
// connection is slow, tells it of the targets in use; another instance sends it the job.
TEST (LeasedHandover, InstanceThatStartsDuringADrainIsToldOfTheTargetsInUse)
{
  for (int64_t joining_ms = 0; joining_ms <= 400; joining_ms += 10)
    {
      World world;
      world.add_instance ("a");
      world.add_instance ("a", false, 2000);
      world.add_instance ("a");
      start_data_centres (world, { { 0, 2 } });
      world.kill (1);
      world.run_for (1500 * ms);
      ASSERT_EQ (count_logged (world, "a-1 event=leader-start"), 1U);
      world.targets[1]->listed = false;
      for (size_t i : { 0, 2 })
        world.tell_of_target (i, *world.targets[1], false);
      uint64_t caller = start_on_second_target (world, 0, 2);
      world.link_delay_us[{ 1, 0 }] = 100 * ms;
      world.restart (1);
      world.run_for (joining_ms * ms);
      world.drain (0);
      world.run_for (6000 * ms);
      EXPECT_EQ (world.double_runs, 0) << joining_ms << " ms\n" << reports (world);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED)) << joining_ms << " ms";
    }
}

// The same for a job of the successor's own, which it sent to its predecessor before it had read
// any list of targets.
TEST (LeasedHandover, InstanceThatReadsTheTargetsDuringADrainIsToldOfThoseInUse)
{
  for (int64_t drain_ms = 106; drain_ms <= 200; drain_ms += 2)
    {
      World world;
      start_data_centres (world, { { 2, 2 } });
      world.kill (1);
      world.targets[1]->listed = false;
      world.tell_of_target (0, *world.targets[1], false);
      world.instances[1]->targets_feed_down = true;
      world.link_delay_us[{ 1, 0 }] = 100 * ms;
      world.submit (0, "0000000000000001", { { 2, 6800, 150, 150 } }, 12000);
      world.run_for (30 * ms);
      world.restart (1);
      world.run_for (2 * ms);
      uint64_t caller = world.submit (1, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
      world.run_for (drain_ms * ms);
      ASSERT_EQ (world.targets[1]->runs.size (), 1U);
      world.drain (0);
      world.run_for (6000 * ms);
      EXPECT_EQ (world.double_runs, 0) << drain_ms << " ms\n" << reports (world);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED)) << drain_ms << " ms";
    }
}

// Guards against a second run of a lent task: the only instance of its data centre was restarted,
// the platform did not list the task's target at that moment, and the instance said that the task
// does not run there.
TEST (LeasedHandover, RestartedInstanceDoesNotAnswerForTargetsItMayNotKnow)
{
  for (int64_t down_ms : { 50, 200, 500, 800 })
    {
      World world;
      start_data_centres (world, { { 1, 1 }, { 1, 2 }, { 1, 2 } });
      size_t remote = world.find ("b-1");
      Target &target = *world.targets[1];
      for (size_t i : { 3, 4 })
        world.targets[i]->slowness = 1.2;
      world.targets[2]->info.leaving = true;
      world.tell_of_target (remote, *world.targets[2], true);
      world.submit (0, "0000000000000001", { { 2, 6800, 4000, 4000 } }, 12000);
      world.run_for (100 * ms);
      uint64_t caller = world.submit (0, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
      world.run_for (500 * ms);
      bool is_lent_to_b = target.runs.size () == 1;
      EXPECT_TRUE (is_lent_to_b);
      target.listed = false;
      world.tell_of_target (remote, target, false);
      world.run_for (100 * ms);
      world.kill (remote);
      world.run_for (down_ms * ms);
      world.restart (remote);
      world.run_for (8000 * ms);
      EXPECT_EQ (world.double_runs, 0) << "down for " << down_ms << " ms\n" << reports (world);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
    }
}

// The same where a further instance takes over from the restarted one, which cannot tell it of all
// targets.
TEST (LeasedHandover, SuccessorOfARestartedInstanceDoesNotKnowAllTargetsEither)
{
  for (int64_t drain_ms : { 100, 200, 300 })
    {
      World world;
      start_data_centres (world, { { 1, 1 }, { 2, 2 }, { 1, 2 } });
      Target &target = *world.targets[1];
      for (size_t i : { 3, 4 })
        world.targets[i]->slowness = 1.2;
      world.targets[2]->info.leaving = true;
      for (const char *remote : { "b-1", "b-2" })
        world.tell_of_target (world.find (remote), *world.targets[2], true);
      world.submit (0, "0000000000000001", { { 2, 6800, 4000, 4000 } }, 12000);
      world.run_for (100 * ms);
      uint64_t caller = world.submit (0, job_id, { { 1, 6800, 2000, 2000 } }, 12000);
      world.run_for (500 * ms);
      EXPECT_EQ (target.runs.size (), 1U);
      target.listed = false;
      for (const char *remote : { "b-1", "b-2" })
        world.kill (world.find (remote));
      world.run_for (20 * ms);
      for (const char *remote : { "b-1", "b-2" })
        world.restart (world.find (remote));
      world.run_for (drain_ms * ms);
      world.drain (world.find (count_logged (world, "b-2 event=leader-start") > 0 ? "b-2" : "b-1"));
      world.run_for (8000 * ms);
      EXPECT_EQ (world.double_runs, 0) << drain_ms << " ms\n" << reports (world);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
    }
}
