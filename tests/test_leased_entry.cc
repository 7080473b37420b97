// Requests of callers at an entry instance whose process stands still for a while.

#include "leased_world.h"

#include <gtest/gtest.h>

using leased::count_logged;
using leased::got_answer;
using leased::ms;
using leased::World;

namespace
{

const char *const job_id = "0000000000000001";
constexpr int64_t retransmit_us = 1300 * ms; // from when a caller leaves to its next submission
constexpr int64_t budget_ms = 12000;         // how long a caller that stays waits for its answer

// Data centre "a" with the instances 0 to 2, of which the first leads, and "b" with instance 3.
void
start_data_centres (World &world)
{
  for (int i = 0; i < 3; i++)
    world.add_instance ("a");
  world.add_instance ("b");
  for (int i = 0; i < 2; i++)
    {
      world.add_target ("a");
      world.add_target ("b");
    }
  world.start_all ();
  world.run_for (4000 * ms);
}

bool
knows_leader (const World &world, size_t instance)
{
  return dks_reducer_is_ready (world.instances[instance]->reducer);
}

}

// Guards against a job that runs twice: its request waits for a leader at an instance that stands
// still, its caller leaves and submits the job elsewhere, and the instance learns of a leader
// before it learns that the caller has left.
TEST (LeasedEntry, RequestOfACallerThatLeftDuringAPauseIsNotSent)
{
  World world;
  start_data_centres (world);
  world.kill (0);
  for (int i = 0; i < 1000 && knows_leader (world, 2); i++)
    world.run_for (ms);
  ASSERT_FALSE (knows_leader (world, 2));
  uint64_t first = world.submit (2, job_id, { { 1, 6800, 900, 900 } }, budget_ms);
  world.set_frozen (2, true);
  for (int i = 0; i < 1000 && !knows_leader (world, 1); i++)
    world.run_for (ms);
  ASSERT_TRUE (knows_leader (world, 1));
  world.run_for (10 * ms);
  world.leave (2, first);
  world.run_for (retransmit_us);
  uint64_t second = world.submit (3, job_id, { { 1, 6800, 900, 900 } }, budget_ms);
  world.run_for (20 * ms);
  world.set_frozen (2, false);
  world.run_for (3000 * ms);
  EXPECT_EQ (world.double_runs, 0);
  EXPECT_EQ (count_logged (world, "event=caller-gone"), 1U);
  EXPECT_TRUE (got_answer (world, second, DKS_BATCH_COMPLETED));
}

// Guards against an id that ends the leader, or forges a line of its log or a name of a task.
TEST (LeasedEntry, IdsThatCannotNameAJobAreRefused)
{
  World world;
  start_data_centres (world);
  for (const char *id : { "\xff\xfe", "a b", "a.0.0.1", "a\nevent=x", "a/b", "a\"", "\xc3\xa9", "",
                          "0123456789012345678901234567890123456789" })
    {
      uint64_t caller = world.submit (1, id, { { 1, 6800, 60, 60 } });

      world.run_for (100 * ms);
      EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_INVALID)) << id;
    }
  EXPECT_EQ (world.sent (DKS_MSG_WORK), 0U);
  uint64_t caller =
      world.submit (1, "012345678901234567890123456789-_abcDEFG", { { 1, 6800, 60, 60 } });
  world.run_for (200 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a job whose times the leader rejects: its declared run times are refused where
// they enter, with the bound.
TEST (LeasedEntry, RunTimesBeyondTheBoundAreRefused)
{
  World world;
  start_data_centres (world);
  const uint32_t day_ms = 86400 * 1000;
  uint64_t longest = world.submit (1, "longest", { { 1, 6800, day_ms, 60 } });
  uint64_t beyond = world.submit (1, "beyond", { { 1, 6800, day_ms + 1, 60 } });
  uint64_t chain =
      world.submit (1, "chain", { { 1, 6800, UINT32_MAX, 60 }, { 1, 6800, UINT32_MAX, 60, 1 } });
  world.run_for (2000 * ms);
  EXPECT_TRUE (world.answered (longest));
  EXPECT_NE (world.answers[longest].answer, DKS_BATCH_INVALID);
  EXPECT_TRUE (got_answer (world, beyond, DKS_BATCH_INVALID));
  EXPECT_TRUE (got_answer (world, chain, DKS_BATCH_INVALID));
}

// Guards against an entry instance of another version: a job that broke a bound on the way is
// answered alone, and others of the connection go on.
TEST (LeasedEntry, MalformedJobOfAPeerIsRefusedAlone)
{
  World world;
  start_data_centres (world);
  uint64_t caller = world.submit (1, job_id, { { 1, 6800, 200, 200 } });
  world.run_for (20 * ms);
  dks_event_t event = {};
  event.type = DKS_EVENT_PEER_MSG;
  event.u.peer_msg.peer = world.instances[1]->member_id.c_str ();
  event.u.peer_msg.msg = dks_msg_create (DKS_MSG_WORK);
  event.u.peer_msg.msg->u.work.batch = dks_batch_create (0);
  event.u.peer_msg.msg->u.work.request = 12345;
  event.u.peer_msg.msg->u.work.malformed = true;
  uint64_t answers = world.sent (DKS_MSG_WORK_DONE);
  world.apply (0, &event);
  dks_msg_unref (event.u.peer_msg.msg);
  EXPECT_EQ (world.sent (DKS_MSG_WORK_DONE), answers + 1);
  EXPECT_EQ (count_logged (world, "event=work-malformed"), 1U);
  world.run_for (500 * ms);
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED));
}

// Guards against a mean size of tasks that decays to 0: no capacity can be counted in tasks of that
// size, and a leader takes idle targets for full.
TEST (LeasedEntry, TasksWithoutProcessorsDoNotMakeIdleTargetsFull)
{
  World world;
  world.add_instance ("a");
  world.add_target ("a");
  world.start_all ();
  world.run_for (4000 * ms);
  for (int i = 0; i < 2500; i++)
    {
      uint64_t caller = world.submit (0, "without-" + std::to_string (i), { { 1, 0, 1, 1 } });
      world.run_for (5 * ms);
      ASSERT_TRUE (got_answer (world, caller, DKS_BATCH_COMPLETED)) << "job " << i;
    }
}
