// Evacuation of a data centre: its targets get no new tasks until the operator takes it back.

#include "leased_world.h"

#include <cstring>
#include <gtest/gtest.h>

using leased::count_logged;
using leased::got_answer;
using leased::ms;
using leased::Target;
using leased::World;

namespace
{

constexpr const char *job_id = "5c0e7a21d94b36f8";
constexpr const char *other_job_id = "00000000000000a1";

// Data centres "a" and "b" with two instances each, and with two targets each, of 16 processors.
// Instances 0 and 1 are in "a", targets 0 and 1 as well.
void
start_two (World &world)
{
  for (const char *data_centre : { "a", "b" })
    {
      world.add_instance (data_centre);
      world.add_instance (data_centre);
      world.add_target (data_centre);
      world.add_target (data_centre);
    }
  world.start_all ();
  world.run_for (3000 * ms);
}

uint32_t
count_starts (const World &world, const std::string &data_centre)
{
  uint32_t starts = 0;

  for (auto &target : world.targets)
    starts += target->info.data_centre == data_centre ? target->starts : 0;
  return starts;
}

// A job of short tasks, one on each target of a data centre.
std::vector<leased::Step>
short_tasks ()
{
  return { { 2, 10000, 100, 100 } };
}

void
evacuate (World &world, const std::string &data_centre)
{
  world.set_evacuated (data_centre, true);
  world.run_for (50 * ms);
}

// Has the instance handle a status of the peer that states these evacuations.
void
apply_status (World &world, size_t instance, size_t peer, int64_t revision,
              const std::vector<std::string> &evacuated)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_LEASED_STATUS);
  dks_event_t event = {};

  msg->u.leased_status.sent_us = world.now_us;
  msg->u.leased_status.interval_ms = 200;
  msg->u.leased_status.evacuations_revision = revision;
  msg->u.leased_status.evacuated_count = static_cast<uint32_t> (evacuated.size ());
  msg->u.leased_status.evacuated =
      static_cast<char (*)[DKS_NAME_SIZE]> (calloc (evacuated.size () + 1, DKS_NAME_SIZE));
  for (size_t i = 0; i < evacuated.size (); i++)
    snprintf (msg->u.leased_status.evacuated[i], DKS_NAME_SIZE, "%s", evacuated[i].c_str ());
  event.type = DKS_EVENT_PEER_MSG;
  event.u.peer_msg.peer = world.instances[peer]->member_id.c_str ();
  event.u.peer_msg.msg = msg;
  world.apply (instance, &event);
  dks_msg_unref (msg);
}

}

// Guards against tasks of callers of the data centre that are started there, and against callers
// that are refused although another data centre has free capacity.
TEST (LeasedEvacuation, JobsOfItsCallersRunElsewhere)
{
  World world;
  start_two (world);
  evacuate (world, "a");
  uint64_t caller = world.submit (0, job_id, short_tasks ());
  world.run_for (500 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (count_starts (world, "a"), 0U);
  EXPECT_EQ (count_starts (world, "b"), 2U);
}

TEST (LeasedEvacuation, TasksOfOtherDataCentresAreNotLentThere)
{
  World world;
  start_two (world);
  evacuate (world, "a");
  for (int i = 0; i < 4; i++)
    world.submit (2, "00000000000000b" + std::to_string (i), { { 2, 10000, 400, 400 } });
  world.run_for (1000 * ms);
  EXPECT_GT (count_starts (world, "b"), 0U);
  EXPECT_EQ (count_starts (world, "a"), 0U);
}

// Guards against tasks that are lent to a leader that does not know of the evacuation yet.
TEST (LeasedEvacuation, NothingIsLentToALeaderThatDoesNotKnowOfItYet)
{
  World world;
  start_two (world);
  world.set_frozen (0, true);
  world.set_frozen (1, true);
  world.set_evacuated ("a", true);
  world.run_for (10 * ms);
  uint64_t before = world.sent (DKS_MSG_WORK);
  world.submit (2, job_id, { { 6, 10000, 400, 400 } });
  world.run_for (100 * ms);
  ASSERT_EQ (count_starts (world, "b"), 2U);
  EXPECT_EQ (world.sent (DKS_MSG_WORK), before);
}

// Guards against lent tasks that are started there: their home leader does not know of the
// evacuation yet.
TEST (LeasedEvacuation, LentTasksOfALeaderThatDoesNotKnowOfItYetAreRefused)
{
  World world;
  start_two (world);
  world.submit (2, other_job_id, { { 2, 10000, 300, 300 } });
  world.run_for (20 * ms);
  for (size_t from : { 0, 1 })
    {
      for (size_t to : { 2, 3 })
        world.link_delay_us[{ from, to }] = 250 * ms;
    }
  apply_status (world, 0, 1, 50, { "a" });
  uint64_t before = world.sent (DKS_MSG_WORK);
  uint64_t caller = world.submit (2, job_id, { { 2, 10000, 100, 100 } }, 4000);
  world.run_for (1500 * ms);
  ASSERT_GT (world.sent (DKS_MSG_WORK), before);
  EXPECT_EQ (count_starts (world, "a"), 0U);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

TEST (LeasedEvacuation, PresentRunsGoOnToTheirEnd)
{
  World world;
  start_two (world);
  uint64_t caller = world.submit (0, job_id, { { 2, 10000, 500, 500 } });
  world.run_for (50 * ms);
  ASSERT_EQ (leased::count_runs (world, job_id, "a"), 2U);
  evacuate (world, "a");
  world.run_for (600 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (count_starts (world, "a"), 2U);
  EXPECT_EQ (count_starts (world, "b"), 0U);
}

TEST (LeasedEvacuation, TaskThatFailsThereRunsAgainElsewhere)
{
  World world;
  start_two (world);
  uint64_t caller = world.submit (0, job_id, { { 1, 10000, 200, 200 } }, 4000);
  world.run_for (50 * ms);
  ASSERT_EQ (leased::count_runs (world, job_id, "a"), 1U);
  world.targets[0]->runs_fail = true;
  world.targets[1]->runs_fail = true;
  evacuate (world, "a");
  world.run_for (1000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (count_starts (world, "a"), 1U);
}

// Guards against a slow run that is moved to another target of the data centre.
TEST (LeasedEvacuation, RunThatHasStalledIsNotMovedWithinTheDataCentre)
{
  World world;
  start_two (world);
  world.targets[0]->stalled = true;
  world.targets[1]->stalled = true;
  uint64_t caller = world.submit (0, job_id, { { 1, 10000, 200, 200 } }, 8000);
  world.run_for (50 * ms);
  ASSERT_EQ (leased::count_runs (world, job_id, "a"), 1U);
  evacuate (world, "a");
  world.run_for (8000 * ms);
  EXPECT_TRUE (world.answered (caller));
  EXPECT_EQ (count_starts (world, "a"), 1U);
}

// Guards against callers that wait although nobody can serve them, and against the wrong reason:
// targets could run the job.
TEST (LeasedEvacuation, JobIsRefusedAtOnceWhenNoOtherDataCentreIsPresent)
{
  World world;
  world.add_instance ("a");
  world.add_target ("a");
  world.start_all ();
  world.run_for (3000 * ms);
  evacuate (world, "a");
  uint64_t caller = world.submit (0, job_id, short_tasks ());
  world.run_for (20 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_REFUSED));
  EXPECT_EQ (count_logged (world, "no target can run it"), 0U);
}

// Guards against callers that are refused for a moment without free capacity elsewhere, since the
// data centre has no capacity of its own by which the wait is estimated.
TEST (LeasedEvacuation, JobWaitsForAMomentForCapacityElsewhere)
{
  World world;
  start_two (world);
  world.submit (2, other_job_id, { { 2, 16000, 150, 150 } });
  evacuate (world, "a");
  uint64_t caller = world.submit (0, job_id, short_tasks ());
  world.run_for (500 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

TEST (LeasedEvacuation, TargetsGetTasksAgainOnceItIsTakenBack)
{
  World world;
  start_two (world);
  evacuate (world, "a");
  world.set_evacuated ("a", false);
  world.run_for (10 * ms);
  uint64_t caller = world.submit (0, job_id, short_tasks ());
  world.run_for (300 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (count_starts (world, "a"), 2U);
}

// Guards against a leader that trusts how fast the targets were before: they may have restarted.
// The slowest target that is fast enough is chosen, of targets with unknown speeds the first one.
TEST (LeasedEvacuation, SpeedsFromBeforeAreForgotten)
{
  World world;
  world.add_instance ("a");
  world.add_target ("a");
  world.add_target ("a");
  world.start_all ();
  world.run_for (3000 * ms);
  world.targets[1]->slowness = 1.6;
  for (int i = 0; i < 8; i++)
    {
      world.submit (0, "00000000000000c" + std::to_string (i), short_tasks (), 4000);
      world.run_for (600 * ms);
    }
  ASSERT_GE (world.targets[0]->starts, 4U);
  ASSERT_GE (world.targets[1]->starts, 4U);
  uint32_t before = world.targets[0]->starts;
  world.submit (0, other_job_id, { { 1, 10000, 100, 100 } }, 4000);
  world.run_for (600 * ms);
  ASSERT_EQ (world.targets[0]->starts, before);
  evacuate (world, "a");
  world.set_evacuated ("a", false);
  world.run_for (10 * ms);
  world.submit (0, job_id, { { 1, 10000, 100, 100 } }, 4000);
  world.run_for (600 * ms);
  EXPECT_EQ (world.targets[0]->starts, before + 1);
}

TEST (LeasedEvacuation, LeaderThatTheStoreTurnsAwayIsToldByPeers)
{
  World world;
  start_two (world);
  world.instances[0]->feed_down = true;
  world.instances[1]->feed_down = true;
  world.silence_feed_calls ();
  world.run_for (2000 * ms);
  world.set_evacuated ("a", true);
  world.run_for (3000 * ms);
  ASSERT_EQ (count_logged (world, "a-1 event=evacuation-began data_centre=a revision=2 source=b-"),
             1U);
  world.submit (0, job_id, short_tasks ());
  world.run_for (500 * ms);
  EXPECT_EQ (count_starts (world, "a"), 0U);
  world.set_evacuated ("a", false);
  world.run_for (3000 * ms);
  world.submit (0, other_job_id, short_tasks ());
  world.run_for (500 * ms);
  EXPECT_EQ (count_starts (world, "a"), 2U);
}

TEST (LeasedEvacuation, NewLeaderKnowsOfIt)
{
  World world;
  start_two (world);
  evacuate (world, "a");
  world.kill (0);
  world.run_for (2000 * ms);
  ASSERT_EQ (count_logged (world, "a-2 event=leader-start"), 1U);
  uint64_t caller = world.submit (1, job_id, short_tasks ());
  world.run_for (500 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (count_starts (world, "a"), 0U);
}

// Guards against jobs that nobody runs after their leader was lost: the tasks of a job that an
// earlier leader had are otherwise not lent.
TEST (LeasedEvacuation, JobOfALostLeaderRunsElsewhere)
{
  World world;
  start_two (world);
  evacuate (world, "a");
  uint64_t caller = world.submit (1, job_id, { { 2, 10000, 300, 300 } }, 6000);
  world.run_for (50 * ms);
  ASSERT_EQ (leased::count_runs (world, job_id, "b"), 2U);
  world.kill (0);
  world.run_for (3000 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (count_starts (world, "a"), 0U);
  EXPECT_EQ (world.double_runs, 0);
}

// Guards against instances that start while the store turns them away, and lead without knowing.
TEST (LeasedEvacuation, InstancesThatStartWithoutTheStoreAreToldByPeers)
{
  World world;
  start_two (world);
  evacuate (world, "a");
  for (size_t i : { 0, 1 })
    {
      world.kill (i);
      world.instances[i]->feed_down = true;
    }
  world.run_for (1000 * ms);
  world.restart (0);
  world.restart (1);
  world.run_for (3000 * ms);
  uint64_t caller = world.submit (0, job_id, short_tasks ());
  world.run_for (500 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
  EXPECT_EQ (count_starts (world, "a"), 0U);
}

// Guards against a leader that starts tasks before it has read which data centres are evacuated.
TEST (LeasedEvacuation, NoInstanceLeadsBeforeItKnowsWhichDataCentresAreEvacuated)
{
  World world;
  world.add_instance ("a");
  world.add_target ("a");
  world.instances[0]->catalog_feed_down = true;
  world.start_all ();
  world.run_for (5000 * ms);
  EXPECT_EQ (count_logged (world, "event=leader-start"), 0U);
  world.instances[0]->catalog_feed_down = false;
  world.run_for (3000 * ms);
  EXPECT_EQ (count_logged (world, "event=leader-start"), 1U);
}

// Guards against an evacuation that ends since a peer, which has heard nothing of it, states what
// it knows.
TEST (LeasedEvacuation, OlderStatementOfAPeerDoesNotEndIt)
{
  World world;
  start_two (world);
  evacuate (world, "a");
  apply_status (world, 0, 1, 1, {});
  world.submit (0, job_id, short_tasks ());
  world.run_for (500 * ms);
  EXPECT_EQ (count_starts (world, "a"), 0U);
}

TEST (LeasedEvacuation, OlderAnswerOfTheStoreDoesNotBeginItAgain)
{
  World world;
  start_two (world);
  dks_feed_item_t item = { "evacuation", false, nullptr, nullptr, "a", nullptr };
  dks_event_t event = {};

  apply_status (world, 0, 1, 50, {});
  event.type = DKS_EVENT_FEED;
  event.u.feed.op = world.instances[0]->feed_op[DKS_FEED_CATALOG];
  event.u.feed.status = DKS_FEED_OK;
  event.u.feed.revision = 40;
  event.u.feed.count = 1;
  event.u.feed.items = &item;
  world.apply (0, &event);
  EXPECT_EQ (count_logged (world, "a-1 event=evacuation-began"), 0U);
  apply_status (world, 0, 1, 60, { "a" });
  EXPECT_EQ (count_logged (world, "a-1 event=evacuation-began"), 1U);
}

// Guards against an evacuation that goes on for ever after its end was in a lost part of the
// store's history.
TEST (LeasedEvacuation, ReadThatLacksItEndsIt)
{
  World world;
  start_two (world);
  evacuate (world, "a");
  for (auto &instance : world.instances)
    instance->feed_down = true;
  world.silence_feed_calls ();
  world.set_evacuated ("a", false);
  world.run_for (500 * ms);
  ASSERT_EQ (count_logged (world, "event=evacuation-ended"), 0U);
  for (auto &instance : world.instances)
    {
      instance->feed_down = false;
      instance->history_gone = true;
    }
  world.run_for (5000 * ms);
  EXPECT_EQ (count_logged (world, "event=feed-history-gone feed=catalog"), 4U);
  EXPECT_EQ (count_logged (world, "event=evacuation-ended"), 4U);
}

TEST (LeasedEvacuation, OperatorsSeeItInTheStatusAndTheMetrics)
{
  World world;
  start_two (world);
  evacuate (world, "b");
  char *status = dks_reducer_status (world.instances[0]->reducer);
  char *metrics = dks_reducer_metrics (world.instances[0]->reducer);
  EXPECT_NE (strstr (status, "\"evacuated\":[\"b\"]"), nullptr) << status;
  EXPECT_NE (strstr (metrics, "damaskshore_evacuated_data_centres 1\n"), nullptr);
  free (metrics);
  free (status);
}
