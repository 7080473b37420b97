#include <gtest/gtest.h>

extern "C"
{
#include "core/queue.h"
#include "core/retry.h"

#include <apr_general.h>
}

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace
{

class QueueTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    apr_initialize ();
    queue = dks_queue_create ();
  }

  void
  TearDown () override
  {
    while (dks_queue_pop (queue) != nullptr)
      ;
    for (dks_job_t *job : jobs)
      {
        dks_submission_unref (job->submission);
        free (job);
      }
    dks_queue_destroy (queue);
    apr_terminate ();
  }

  void
  push (const char *team, uint32_t tasks, int64_t arrived_ms = 0)
  {
    auto *job = static_cast<dks_job_t *> (calloc (1, sizeof (dks_job_t)));

    job->submission = dks_submission_create (tasks);
    job->team = dks_queue_team (queue, team);
    job->arrived_ms = arrived_ms;
    jobs.push_back (job);
    dks_queue_push (queue, job);
  }

  dks_queue_t *queue = nullptr;
  std::vector<dks_job_t *> jobs;
};

// One team's burst must not delay another team by the length of the burst.
TEST_F (QueueTest, BurstOfOneTeamDoesNotDelayAnother)
{
  for (int i = 0; i < 100; i++)
    push ("burst", 10);
  push ("quiet", 1);
  int position = 0;
  while (std::string (dks_queue_pop (queue)->team->name) != "quiet")
    position++;
  EXPECT_LE (position, 1);
}

TEST_F (QueueTest, SharesFollowWeights)
{
  std::map<std::string, int> tasks;

  dks_queue_team (queue, "a")->weight = 300;
  dks_queue_team (queue, "b")->weight = 100;
  for (int i = 0; i < 400; i++)
    {
      push ("a", 1);
      push ("b", 1);
    }
  for (int i = 0; i < 400; i++)
    tasks[dks_queue_pop (queue)->team->name]++;
  EXPECT_NEAR (tasks["a"], 300, 2);
}

TEST_F (QueueTest, TeamAtItsQuotaWaits)
{
  dks_team_t *team = dks_queue_team (queue, "a");

  team->quota = 5;
  push ("a", 4);
  push ("a", 4);
  team->in_use += dks_queue_pop (queue)->submission->task_count;
  EXPECT_EQ (dks_queue_pop (queue), nullptr);
  team->in_use = 0;
  EXPECT_NE (dks_queue_pop (queue), nullptr);
}

TEST_F (QueueTest, JobLargerThanTheQuotaRunsAlone)
{
  dks_queue_team (queue, "a")->quota = 5;
  push ("a", 480);
  EXPECT_NE (dks_queue_pop (queue), nullptr);
}

TEST_F (QueueTest, CountsFollowPushAndPop)
{
  push ("a", 3, 20);
  push ("b", 4, 10);
  EXPECT_EQ (queue->queued_tasks, 7u);
  EXPECT_EQ (dks_queue_oldest_arrival_ms (queue), 10);
  dks_queue_pop (queue);
  dks_queue_pop (queue);
  EXPECT_EQ (queue->queued_tasks, 0u);
  EXPECT_EQ (dks_queue_oldest_arrival_ms (queue), INT64_MAX);
}

// Without a budget, retries multiply the load exactly when targets fail.
TEST (Retry, BudgetBoundsAmplification)
{
  dks_retry_budget_t budget;
  int retries = 0;

  dks_retry_init (&budget);
  for (int i = 0; i < 1000; i++)
    {
      dks_retry_credit (&budget, 10);
      retries += dks_retry_take (&budget);
    }
  EXPECT_LE (retries, 110);
  EXPECT_GE (retries, 100);
}

TEST (Retry, DelayGrowsAndIsBounded)
{
  EXPECT_LE (dks_retry_delay_us (2, UINT64_MAX - 5), 20000);
  EXPECT_LE (dks_retry_delay_us (50, UINT64_MAX - 5), 1000000);
  EXPECT_GT (dks_retry_delay_us (2, 0), 0);
}

} // namespace
