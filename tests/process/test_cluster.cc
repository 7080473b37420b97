/* Tests of instances that run as processes on loopback, with stand-ins for the platform and the
 * targets. The tests check counts and invariants, never times. */
#include "cluster.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace process;

namespace
{

/* Requirements R1, R2, R4 and R5, which hold for every submission under any fault: its task starts
 * at most once, a complete answer has the result of a started task, and a refusal as not run means
 * that the task has not started. */
void
expect_consistent (const std::vector<Outcome> &outcomes, const std::map<std::string, int> &starts)
{
  for (const Outcome &outcome : outcomes)
    {
      auto found = starts.find (outcome.key + "/0");
      int started = found != starts.end () ? found->second : 0;

      EXPECT_LE (started, 1) << outcome.key << " started more than once";
      if (outcome.outcome == "complete")
        {
          EXPECT_EQ (1, started) << outcome.key << " is complete without a start";
          EXPECT_TRUE (is_complete_answer (outcome.last, outcome.key, 1)) << outcome.last.body;
        }
      /* Without a final answer, the last answer of an instance was a refusal as not run. */
      if (outcome.outcome.empty () && outcome.last.status != 0)
        {
          EXPECT_EQ (0, started) << outcome.key << " ran but was refused: " << outcome.last.body;
        }
    }
}

/* Count and one example of each kind of answer, for the message of a failed check. */
std::string
describe_outcomes (const std::vector<Outcome> &outcomes)
{
  std::map<std::string, std::pair<int, std::string>> kinds;
  std::string text;

  for (const Outcome &outcome : outcomes)
    {
      auto &kind = kinds[outcome.outcome + " " + outcome.last.field ("type")];
      kind.first++;
      kind.second = std::to_string (outcome.last.status) + " " + outcome.last.body;
    }
  for (const auto &kind : kinds)
    text += "\n" + std::to_string (kind.second.first) + " x " + kind.second.second;
  return text;
}

int
count_outcomes (const std::vector<Outcome> &outcomes, const char *name)
{
  int count = 0;

  for (const Outcome &outcome : outcomes)
    count += outcome.outcome == name;
  return count;
}

Reply
submit_job (const Cluster &cluster, int instance, const std::string &key, int run_ms, int tasks)
{
  return http ("POST", cluster.url (instance, "/v1/jobs"), job_body (key, run_ms, tasks),
               { "Idempotency-Key: " + key });
}

}

/* Guards against an error anywhere on the path of one request from the caller to the owner, its
 * backup and the target and back, and against a second start when the request is resubmitted. */
TEST (Cluster, RunsOneRequestOnce)
{
  Cluster cluster (2, 2);
  std::string key = new_key ();
  std::string body = request_body (key, 50);
  std::vector<std::string> headers = { "Idempotency-Key: " + key };

  cluster.wait_until_ready ();
  Reply first = http ("POST", cluster.url (0, "/v1/requests"), body, headers);
  EXPECT_TRUE (is_complete_answer (first, key, 1)) << first.status << " " << first.body;
  Reply again = http ("POST", cluster.url (1, "/v1/requests"), body, headers);
  EXPECT_TRUE (is_complete_answer (again, key, 1)) << again.status << " " << again.body;
  for (int i = 0; i < 2; i++)
    {
      Reply queried = http ("GET", cluster.url (i, "/v1/jobs/" + key));
      EXPECT_EQ (200, queried.status) << queried.body;
      EXPECT_EQ ("complete", queried.field ("outcome")) << queried.body;
    }
  Reply reused = http ("POST", cluster.url (1, "/v1/requests"), request_body (key, 51), headers);
  EXPECT_EQ (422, reused.status) << reused.body;
  EXPECT_EQ (1, cluster.targets ().starts ()[key + "/0"]);
}

/* Guards against a job that misses results, mixes up their order or starts a task twice when it is
 * larger than all slots and is submitted to two instances at the same time. */
TEST (Cluster, RunsEveryTaskOfALargeJobOnce)
{
  Cluster cluster (2, 3);
  std::string key = new_key ();
  constexpr int tasks = 480;

  cluster.wait_until_ready ();
  Reply first = http ("POST", cluster.url (0, "/v1/jobs"), job_body (key, 10, tasks),
                      { "Idempotency-Key: " + key, "Prefer: respond-async" });
  EXPECT_EQ (202, first.status) << first.body;
  Reply second = submit_job (cluster, 1, key, 10, tasks);
  EXPECT_TRUE (is_complete_answer (second, key, tasks))
      << second.status << " " << second.body.substr (0, 300);
  std::map<std::string, int> starts = cluster.targets ().starts ();
  for (int i = 0; i < tasks; i++)
    EXPECT_EQ (1, starts[key + "/" + std::to_string (i)]) << "task " << i;
}

/* Guards against double starts, lost requests and false refusals when an instance is killed while
 * it owns and runs work, and against shards that no other instance takes over. */
TEST (Cluster, SurvivesTheKillOfAnOwner)
{
  Cluster cluster (3, 4);
  constexpr int count = 60;

  cluster.wait_until_ready ();
  int64_t before = cluster.targets ().stat ("started");
  Batch batch (cluster, { 1, 2 }, count, 400);
  ASSERT_TRUE (
      eventually ([&] { return cluster.targets ().stat ("started") >= before + count / 3; }));
  cluster.instance (0).signal (SIGKILL);
  EXPECT_EQ (128 + SIGKILL, cluster.instance (0).wait ());
  const std::vector<Outcome> &outcomes = batch.outcomes ();
  expect_consistent (outcomes, cluster.targets ().starts ());
  /* Submissions that the killed instance ran, or that used slots which it had lent, may end as
   * unknown or failed. */
  EXPECT_EQ (count, count_outcomes (outcomes, "complete") + count_outcomes (outcomes, "unknown")
                        + count_outcomes (outcomes, "failed"))
      << describe_outcomes (outcomes);
  EXPECT_GT (count_outcomes (outcomes, "complete"), 0);
  ASSERT_TRUE (eventually ([&] { return cluster.is_settled ({ 1, 2 }); }));
  Batch later (cluster, { 1, 2 }, count, 10);
  EXPECT_EQ (count, count_outcomes (later.outcomes (), "complete"))
      << describe_outcomes (later.outcomes ());
  expect_consistent (later.outcomes (), cluster.targets ().starts ());
}

/* Guards against an instance that needs the platform for each submission, or that gives up its
 * shards during an outage of the platform. */
TEST (Cluster, ServesDuringAPlatformOutage)
{
  Cluster cluster (2, 2);
  constexpr int count = 30;

  cluster.wait_until_ready ();
  cluster.platform ().control ("down=1");
  int64_t dropped = cluster.platform ().stat ("dropped");
  /* More than 20 calls of the instances to the platform fail before the submissions. */
  EXPECT_TRUE (eventually ([&] { return cluster.platform ().stat ("dropped") > dropped + 20; }));
  Batch batch (cluster, { 0, 1 }, count, 10);
  EXPECT_EQ (count, count_outcomes (batch.outcomes (), "complete"))
      << describe_outcomes (batch.outcomes ());
  std::string key = new_key ();
  EXPECT_TRUE (is_complete_answer (submit_job (cluster, 0, key, 10, 100), key, 100));
  expect_consistent (batch.outcomes (), cluster.targets ().starts ());
  cluster.platform ().control ("down=0");
  Batch later (cluster, { 0, 1 }, count, 10);
  EXPECT_EQ (count, count_outcomes (later.outcomes (), "complete"))
      << describe_outcomes (later.outcomes ());
  expect_consistent (later.outcomes (), cluster.targets ().starts ());
}

/* The platform is down when one of two instances is killed. Guards against a takeover without the
 * compare-and-swap, against false refusals while no instance can know whether a key has run, and
 * against shards that stay without an owner after the outage. */
TEST (Cluster, AnswersStayCorrectWhenAnOwnerDiesInAPlatformOutage)
{
  Cluster cluster (2, 2);
  constexpr int count = 30;
  constexpr int deadline_ms = 3000;
  auto answers = [&] {
    return cluster.metric (1, "answers_complete_total") + cluster.metric (1, "answers_failed_total")
           + cluster.metric (1, "answers_refused_total")
           + cluster.metric (1, "answers_unknown_total");
  };

  cluster.wait_until_ready ();
  cluster.platform ().control ("down=1");
  cluster.instance (0).signal (SIGKILL);
  EXPECT_EQ (128 + SIGKILL, cluster.instance (0).wait ());
  int64_t answers_before = answers ();
  int64_t started_before = cluster.targets ().stat ("started");
  Batch batch (cluster, { 1 }, count, 10, deadline_ms);
  EXPECT_TRUE (eventually ([&] { return answers () >= answers_before + count; }));
  /* Every shard has lost its owner or its backup, which cannot be replaced while the platform is
   * down: no task may start. */
  EXPECT_EQ (started_before, cluster.targets ().stat ("started"));
  cluster.platform ().control ("down=0");
  ASSERT_TRUE (eventually ([&] { return cluster.is_settled ({ 1 }); }))
      << http ("GET", cluster.platform ().url ("/kv/view/north")).body;
  expect_consistent (batch.outcomes (), cluster.targets ().starts ());
  Batch later (cluster, { 1 }, count, 10);
  EXPECT_EQ (count, count_outcomes (later.outcomes (), "complete"))
      << describe_outcomes (later.outcomes ());
  expect_consistent (later.outcomes (), cluster.targets ().starts ());
}

/* Guards against a wrong view or claim after a write to the platform took effect but its reply was
 * lost, as half of these replies are here. */
TEST (Cluster, StartsUpWithLostReplies)
{
  Cluster cluster (3, 2, 8, { "--lost-percent", "50", "--seed", "7" });
  constexpr int count = 30;

  cluster.wait_until_ready ();
  EXPECT_GT (cluster.platform ().stat ("lost"), 0);
  Batch batch (cluster, { 0, 1, 2 }, count, 10);
  EXPECT_EQ (count, count_outcomes (batch.outcomes (), "complete"))
      << describe_outcomes (batch.outcomes ());
  expect_consistent (batch.outcomes (), cluster.targets ().starts ());
}

/* Requirement R7. Guards against a drain that cuts off requests in flight, or that never ends. */
TEST (Cluster, DrainFinishesRequestsInFlight)
{
  Cluster cluster (2, 4);
  constexpr int count = 30;
  constexpr int run_ms = 1000;

  cluster.wait_until_ready ();
  int64_t before = cluster.targets ().stat ("started");
  Batch batch (cluster, { 0 }, count, run_ms);
  ASSERT_TRUE (eventually ([&] { return cluster.targets ().stat ("started") == before + count; }));
  cluster.instance (0).signal (SIGTERM);
  const std::vector<Outcome> &outcomes = batch.outcomes ();
  EXPECT_EQ (count, count_outcomes (outcomes, "complete")) << describe_outcomes (outcomes);
  expect_consistent (outcomes, cluster.targets ().starts ());
  for (const Outcome &outcome : outcomes)
    EXPECT_EQ (0, outcome.refusals) << outcome.key << " was running and was then refused";
  EXPECT_EQ (0, cluster.instance (0).wait ());
  Batch later (cluster, { 1 }, count, 10);
  EXPECT_EQ (count, count_outcomes (later.outcomes (), "complete"))
      << describe_outcomes (later.outcomes ());
}

/* Requirement R6. Guards against new tasks for a leaving target, both when only the platform's list
 * shows that it is leaving and when the target says so in its answers. */
TEST (Cluster, SendsNoNewWorkToLeavingTargets)
{
  Cluster cluster (2, 3);
  constexpr int count = 20;
  std::string first = "port=" + std::to_string (cluster.targets ().port (0));
  std::string second = "port=" + std::to_string (cluster.targets ().port (1));
  auto attempts_of_a_batch = [&] {
    int64_t before = cluster.targets ().stat ("leaving_attempts");
    Batch batch (cluster, { 0, 1 }, count, 10);
    EXPECT_EQ (count, count_outcomes (batch.outcomes (), "complete"))
        << describe_outcomes (batch.outcomes ());
    expect_consistent (batch.outcomes (), cluster.targets ().starts ());
    return cluster.targets ().stat ("leaving_attempts") - before;
  };

  cluster.wait_until_ready ();
  cluster.targets ().control (first + "&mode=leaving-silent");
  EXPECT_GT (attempts_of_a_batch (), 0) << "the target was not in use, so the test shows nothing";
  cluster.platform ().control ("instance=target-0&state=leaving");
  EXPECT_TRUE (eventually ([&] { return attempts_of_a_batch () == 0; }));
  cluster.targets ().control (second + "&mode=leaving");
  EXPECT_TRUE (eventually ([&] { return attempts_of_a_batch () == 0; }));
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (0, attempts_of_a_batch ());
}

/* Guards against a second start of a task whose target crashed, and against a job that does not
 * report the failure. */
TEST (Cluster, DoesNotRepeatTasksOfACrashedTarget)
{
  Cluster cluster (2, 2);
  constexpr int tasks = 16;
  std::string key = new_key ();

  cluster.wait_until_ready ();
  EXPECT_EQ (202, http ("POST", cluster.url (0, "/v1/jobs"), job_body (key, 2000, tasks),
                        { "Idempotency-Key: " + key, "Prefer: respond-async" })
                      .status);
  ASSERT_TRUE (eventually ([&] { return cluster.targets ().stat ("busy") == tasks; }));
  cluster.targets ().control ("port=" + std::to_string (cluster.targets ().port (0))
                              + "&mode=crash");
  Reply answer = submit_job (cluster, 1, key, 2000, tasks);
  EXPECT_EQ (502, answer.status) << answer.body;
  EXPECT_EQ ("failed", answer.field ("outcome")) << answer.body;
  EXPECT_EQ ("urn:damaskshore:problem:target-lost", answer.field ("type")) << answer.body;
  json_ptr body = answer.json ();
  EXPECT_GT (json_array_size (json_object_get (body.get (), "failed_tasks")), 0u) << answer.body;
  EXPECT_EQ (nullptr, json_object_get (body.get (), "results")) << "partial answer";
  /* A resubmission starts no task either. */
  EXPECT_EQ (502, submit_job (cluster, 0, key, 2000, tasks).status);
  std::map<std::string, int> starts = cluster.targets ().starts ();
  for (int i = 0; i < tasks; i++)
    EXPECT_EQ (1, starts[key + "/" + std::to_string (i)]) << "task " << i;
}
