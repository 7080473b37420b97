#include "core/owner.h"

#include <stdio.h>

enum
{
  /* Time for which the expected wait must exceed queue_wait_target_ms to count as an overload. */
  OVERLOAD_AFTER_US = 2000000,
  RETRY_AFTER_MIN_MS = 200
};

int64_t
dks_admission_table_floor_ms (const dks_reducer_t *r, uint32_t shard)
{
  int64_t floor_ms = r->shards[shard].claims->floor_ms;
  int64_t expired_ms = r->now.wall_ms - r->config.retention_ms;

  return floor_ms > expired_ms ? floor_ms : expired_ms;
}

static int64_t
effective_floor_ms (const dks_reducer_t *r, uint32_t shard)
{
  int64_t floor_ms = dks_admission_table_floor_ms (r, shard);

  return floor_ms > dks_owner_view_shard (r, shard)->floor_ms
             ? floor_ms
             : dks_owner_view_shard (r, shard)->floor_ms;
}

bool
dks_admission_check_issue_time (dks_reducer_t *r, const char *key, int64_t issued_ms,
                                uint32_t shard, const dks_waiter_t *waiter)
{
  const dks_view_member_t *self = dks_view_member (dks_own_view (r), r->self);

  if (issued_ms < effective_floor_ms (r, shard))
    {
      dks_reply_unconfirmed (
          r, waiter, key, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_KEY_EXPIRED,
          "the record of keys issued at this time is gone; use a new key for new work");
      return false;
    }
  if (self == NULL || issued_ms >= self->ceiling_ms)
    {
      dks_reply_unconfirmed (r, waiter, key, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_NO_OWNER,
                             "the owner may not accept keys issued at this time");
      return false;
    }
  if (issued_ms > r->now.wall_ms + r->config.clock_skew_ms)
    {
      dks_confirm_answer (r, shard, waiter,
                          dks_reply_create_refusal (key, DKS_PROBLEM_BAD_REQUEST, 0,
                                                    "the issue time of the key is in the future"));
      return false;
    }
  return true;
}

typedef struct
{
  int64_t wait_ms; /**< expected time until a new task starts */
  int64_t run_ms;  /**< expected time from then on until the last task of the submission ends */
} estimate_t;

/* Slots are lent between instances, so a long local queue counts only if the queues of all
 * instances are long. Queue lengths reported by peers may be a second old; a short local queue
 * drains quickly in any case. The run time is the measured mean, because declared run times are
 * often far off. */
static estimate_t
estimate_times (const dks_reducer_t *r, uint32_t task_count)
{
  double own_backlog = dks_jobs_backlog (r);
  double own_slots = dks_targets_capacity (r->targets, r->now.mono_us);
  double total_backlog = own_backlog;
  double total_slots = own_slots;
  double mean_run_ms = r->mean_run_us / 1000;
  double wait_ms;
  estimate_t result = { 0 };
  const dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (!peer->up || peer->draining)
        continue;
      total_backlog += peer->queued_tasks;
      total_slots += peer->capacity;
    }
  if (total_slots <= 0)
    return result;
  result.run_ms = (int64_t)(mean_run_ms * (1 + task_count / total_slots));
  wait_ms = mean_run_ms * total_backlog / total_slots;
  if (own_slots > 0 && own_backlog / own_slots < total_backlog / total_slots)
    wait_ms = mean_run_ms * own_backlog / own_slots;
  if (dks_lend_free_slots (r) + dks_lend_credits (r) == 0)
    result.wait_ms = (int64_t)wait_ms;
  return result;
}

/* Half of the expected wait: by then half of the present queue has drained if no other work
 * arrives. */
static uint32_t
retry_after_ms (const estimate_t *expected)
{
  return (uint32_t)(expected->wait_ms / 2 > RETRY_AFTER_MIN_MS ? expected->wait_ms / 2
                                                               : RETRY_AFTER_MIN_MS);
}

/* Returns the longest expected wait with which a submission is admitted. A burst may wait for up to
 * queue_wait_max_ms, because its queue drains again. In an overload the queue would stay at that
 * bound: every task would wait that long, and more tasks would miss their deadlines after they have
 * used a slot. As in CoDel (controlled delay) queue management, a queue whose wait has been above
 * its target for OVERLOAD_AFTER_US is overloaded. */
static int64_t
current_wait_limit_ms (dks_reducer_t *r, const estimate_t *expected,
                       const dks_settings_values_t *values)
{
  if (expected->wait_ms <= values->queue_wait_target_ms)
    r->queue_wait_ok_us = r->now.mono_us;
  if (r->now.mono_us - r->queue_wait_ok_us < OVERLOAD_AFTER_US)
    return values->queue_wait_max_ms;
  return values->queue_wait_target_ms;
}

/* Returns a refusal if no target could ever run one of the tasks. */
static dks_answer_t *
check_tasks (const dks_reducer_t *r, const dks_submission_t *s)
{
  char detail[DKS_TEXT_SIZE];

  for (uint32_t i = 0; i < s->task_count; i++)
    {
      const char *resource;

      if (dks_targets_can_fit (r->targets, &s->tasks[i], &resource))
        continue;
      snprintf (detail, sizeof (detail), "task %u needs more %s than any target has", i, resource);
      return dks_reply_create_refusal (s->key, DKS_PROBLEM_INFEASIBLE, 0, detail);
    }
  return NULL;
}

static dks_answer_t *
check_deadline_and_quota (const dks_reducer_t *r, const dks_submission_t *s,
                          const dks_settings_values_t *values)
{
  if (s->deadline_ms <= r->now.wall_ms)
    return dks_reply_create_refusal (s->key, DKS_PROBLEM_DEADLINE, 0, "the deadline has passed");
  if (s->deadline_ms > r->now.wall_ms + values->deadline_max_ms)
    return dks_reply_create_refusal (s->key, DKS_PROBLEM_BAD_REQUEST, 0,
                                     "the deadline is later than deadline_max_ms allows");
  if (values->team_quota == 0)
    return dks_reply_create_refusal (s->key, DKS_PROBLEM_QUOTA, 0, "the team's quota is 0");
  return NULL;
}

static dks_answer_t *
check_queue (const dks_reducer_t *r, const dks_submission_t *s, const dks_settings_values_t *values,
             const estimate_t *expected, int64_t wait_limit_ms)
{
  int64_t end_ms = r->now.wall_ms + expected->wait_ms + expected->run_ms;

  if (dks_jobs_backlog (r) + s->task_count > values->queue_limit)
    return dks_reply_create_refusal (s->key, DKS_PROBLEM_QUEUE_FULL, retry_after_ms (expected),
                                     "the queue is full");
  if (expected->wait_ms > wait_limit_ms)
    return dks_reply_create_refusal (s->key, DKS_PROBLEM_QUEUE_FULL, retry_after_ms (expected),
                                     "the wait in the queue is too long");
  if (expected->wait_ms > 0 && end_ms > s->deadline_ms)
    return dks_reply_create_refusal (s->key, DKS_PROBLEM_DEADLINE, retry_after_ms (expected),
                                     "the queue is too long for the deadline");
  return NULL;
}

bool
dks_admission_check_work (dks_reducer_t *r, dks_submission_t *s, uint32_t shard,
                          const dks_waiter_t *waiter)
{
  dks_settings_values_t values;
  estimate_t expected = estimate_times (r, s->task_count);
  int64_t wait_limit_ms;
  dks_answer_t *answer;

  dks_settings_values (r, s->service, s->team, &values);
  /* Called for submissions that are refused below too, because the call also records when the
   * expected wait was last within its target. */
  wait_limit_ms = current_wait_limit_ms (r, &expected, &values);
  answer = check_tasks (r, s);
  if (answer == NULL)
    answer = check_deadline_and_quota (r, s, &values);
  if (answer == NULL)
    answer = check_queue (r, s, &values, &expected, wait_limit_ms);
  if (answer == NULL)
    return true;
  dks_confirm_answer (r, shard, waiter, answer);
  return false;
}
