#include "core/state.h"

#include "common/alloc.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Tasks claimed beyond the free slots, so that a slot that becomes free does not wait for the
   * acknowledgement of a claim. */
  CLAIM_AHEAD_TASKS = 4,
  /* Bound on the tasks claimed for slots that were demanded from peers and are not granted. */
  BORROW_AHEAD_TASKS = 64,
  /* Refused attempts of a task that are followed by one on another target without a delay. */
  IMMEDIATE_RETRIES_MAX = 2,
  /* A task fails when its attempt with this number, or a later one, is refused. */
  ATTEMPTS_MAX = 10,
  /* A repeatable task that fails is retried up to this number of attempts. */
  REPEATABLE_ATTEMPTS_MAX = 3,
  /* Time for which an answer is kept for the new owner of its shard, which may query it. */
  ANSWER_RETENTION_US = 30000000,
  /* Time without acknowledgement after which a claim is given up. A takeover takes 2 s; a longer
   * wait means that the platform is down too. */
  CLAIM_TIMEOUT_US = 6000000,
  RETRY_AFTER_MS = 1000
};

#define MEAN_RUN_WEIGHT 0.05 /* weight of the newest run time in the moving average */

/* Jobs */

static void
handle_deadline (void *context, int64_t now_us)
{
  dks_job_t *job = context;
  dks_reducer_t *r = job->reducer;

  if (job->state == DKS_JOB_ACTIVE)
    {
      dks_job_finish (r, job, DKS_OUTCOME_FAILED, DKS_PROBLEM_DEADLINE,
                      "the deadline passed while tasks were running");
      return;
    }
  if (job->state == DKS_JOB_QUEUED)
    dks_queue_remove (r->queue, job);
  dks_owner_refuse_job (r, job, DKS_PROBLEM_DEADLINE, RETRY_AFTER_MS,
                        "the deadline passed in the queue");
}

static void
handle_claim_timer (void *context, int64_t now_us)
{
  dks_job_t *job = context;

  if (job->state != DKS_JOB_CLAIMING)
    return;
  if (now_us - job->claim_sent_us >= CLAIM_TIMEOUT_US)
    dks_owner_give_up_job (job->reducer, job);
  else
    dks_owner_claim (job->reducer, job);
}

static void handle_hedge_timer (void *context, int64_t now_us);

static void
handle_retention_timer (void *context, int64_t now_us)
{
  dks_job_t *job = context;

  apr_hash_set (job->reducer->jobs_by_key, job->submission->key, APR_HASH_KEY_STRING, NULL);
  dks_job_unref (job);
}

/* This instance's share of a team's quota in the data centre, in tasks. Shares are rounded up, so
 * their sum exceeds the quota by less than one slot for each member. */
static uint32_t
quota_share (const dks_reducer_t *r, int64_t quota)
{
  uint32_t members = dks_own_view (r)->member_count;

  return members > 1 ? (uint32_t)((quota + members - 1) / members) : (uint32_t)quota;
}

dks_job_t *
dks_job_create (dks_reducer_t *r, dks_submission_t *submission, uint32_t shard)
{
  uint32_t count = submission->task_count;
  dks_job_t *job = dks_alloc (sizeof (*job) + count * sizeof (job->tasks[0]));
  dks_settings_values_t values;

  job->reducer = r;
  job->refs = 1;
  job->state = DKS_JOB_QUEUED;
  job->submission = dks_submission_ref (submission);
  job->shard = shard;
  job->arrived_ms = r->now.wall_ms;
  job->deadline_us = r->now.mono_us + (submission->deadline_ms - r->now.wall_ms) * 1000;
  job->retry_tasks = dks_alloc (count * sizeof (job->retry_tasks[0]));
  job->team = dks_queue_team (r->queue, submission->team);
  dks_settings_values (r, submission->service, submission->team, &values);
  job->team->weight = (uint32_t)values.team_weight;
  job->team->quota = quota_share (r, values.team_quota);
  APR_RING_ELEM_INIT (job, link);
  APR_RING_INIT (&job->waiters, dks_waiter_t, link);
  dks_timer_init (&job->deadline_timer, handle_deadline, job);
  dks_timer_init (&job->claim_timer, handle_claim_timer, job);
  dks_timer_init (&job->hedge_timer, handle_hedge_timer, job);
  dks_timer_init (&job->retention_timer, handle_retention_timer, job);
  dks_timer_set (r->timers, &job->deadline_timer, job->deadline_us);
  apr_hash_set (r->jobs_by_key, submission->key, APR_HASH_KEY_STRING, job);
  APR_RING_INSERT_TAIL (&r->shards[shard].jobs, job, dks_job_t, shard_link);
  return job;
}

void
dks_job_unref (dks_job_t *job)
{
  dks_waiter_t *waiter;

  if (--job->refs > 0)
    return;
  while ((waiter = dks_waiters_take (&job->waiters)) != NULL)
    free (waiter);
  for (uint32_t i = 0; i < job->submission->task_count; i++)
    dks_blob_unref (job->tasks[i].result.body);
  dks_submission_unref (job->submission);
  dks_answer_unref (job->answer);
  free (job->retry_tasks);
  free (job);
}

dks_job_t *
dks_job_find (const dks_reducer_t *r, const char *key)
{
  return apr_hash_get (r->jobs_by_key, key, APR_HASH_KEY_STRING);
}

void
dks_job_add_waiter (dks_job_t *job, const dks_waiter_t *waiter)
{
  dks_waiters_add (&job->waiters, waiter);
}

void
dks_job_answer_waiters (dks_reducer_t *r, dks_job_t *job, dks_answer_t *answer)
{
  dks_waiter_t *waiter;

  while ((waiter = dks_waiters_take (&job->waiters)) != NULL)
    {
      dks_waiter_answer (r, waiter, answer);
      free (waiter);
    }
}

static uint32_t
tasks_to_start (const dks_job_t *job)
{
  return job->submission->task_count - job->next_task + job->retry_count;
}

static void
ready_add (dks_reducer_t *r, dks_job_t *job, bool at_head)
{
  if (job->in_ready_list)
    return;
  job->in_ready_list = true;
  if (at_head)
    APR_RING_INSERT_HEAD (&r->ready, job, dks_job_t, link);
  else
    APR_RING_INSERT_TAIL (&r->ready, job, dks_job_t, link);
}

static void
ready_remove (dks_job_t *job)
{
  if (!job->in_ready_list)
    return;
  job->in_ready_list = false;
  APR_RING_REMOVE (job, link);
  APR_RING_ELEM_INIT (job, link);
}

/* Removes a job from all lists of jobs under way. Its entry in `jobs_by_key` and the reference of
 * that entry stay. */
static void
job_detach (dks_reducer_t *r, dks_job_t *job)
{
  if (job->state == DKS_JOB_CLAIMING && !job->is_cancel)
    {
      r->claiming_tasks -= job->submission->task_count;
      job->team->in_use -= job->submission->task_count;
    }
  if (job->state == DKS_JOB_ACTIVE)
    {
      r->ready_tasks -= tasks_to_start (job);
      job->team->in_use -= job->submission->task_count;
      ready_remove (job);
    }
  APR_RING_REMOVE (job, shard_link);
  dks_timer_cancel (r->timers, &job->deadline_timer);
  dks_timer_cancel (r->timers, &job->claim_timer);
  dks_timer_cancel (r->timers, &job->hedge_timer);
  job->state = DKS_JOB_DONE;
}

void
dks_job_discard (dks_reducer_t *r, dks_job_t *job)
{
  job_detach (r, job);
  apr_hash_set (r->jobs_by_key, job->submission->key, APR_HASH_KEY_STRING, NULL);
  dks_job_unref (job);
}

static void
count_outcome (dks_reducer_t *r, dks_outcome_t outcome)
{
  if (outcome == DKS_OUTCOME_COMPLETE)
    dks_counter_increment (&r->counters, DKS_COUNTER_ANSWERS_COMPLETE);
  else if (outcome == DKS_OUTCOME_FAILED)
    dks_counter_increment (&r->counters, DKS_COUNTER_ANSWERS_FAILED);
  else if (outcome == DKS_OUTCOME_CANCELLED)
    dks_counter_increment (&r->counters, DKS_COUNTER_ANSWERS_CANCELLED);
}

static dks_answer_t *
job_answer (const dks_job_t *job, dks_outcome_t outcome, dks_problem_t problem, const char *detail)
{
  bool has_results = outcome == DKS_OUTCOME_COMPLETE || outcome == DKS_OUTCOME_FAILED;
  uint32_t count = has_results ? job->submission->task_count : 0;
  dks_answer_t *answer = dks_answer_create (job->submission->key, outcome, problem, count);

  dks_strcpy (answer->detail, sizeof (answer->detail), detail);
  for (uint32_t i = 0; i < count; i++)
    {
      answer->tasks[i] = job->tasks[i].result;
      dks_blob_ref (answer->tasks[i].body);
      /* A passed deadline is the problem of every unfinished task; any other problem belongs only
       * to the task that failed. */
      if (!answer->tasks[i].ok && problem == DKS_PROBLEM_DEADLINE)
        answer->tasks[i].problem = problem;
    }
  return answer;
}

void
dks_job_finish (dks_reducer_t *r, dks_job_t *job, dks_outcome_t outcome, dks_problem_t problem,
                const char *detail)
{
  job_detach (r, job);
  job->answer = job_answer (job, outcome, problem, detail);
  count_outcome (r, outcome);
  dks_owner_record_answer (r, job);
  dks_job_answer_waiters (r, job, job->answer);
  if (dks_owner_is_self (r, job->shard))
    {
      apr_hash_set (r->jobs_by_key, job->submission->key, APR_HASH_KEY_STRING, NULL);
      dks_job_unref (job);
    }
  else
    dks_timer_set (r->timers, &job->retention_timer, r->now.mono_us + ANSWER_RETENTION_US);
}

void
dks_job_activate (dks_reducer_t *r, dks_job_t *job)
{
  uint32_t count = job->submission->task_count;

  if (job->is_cancel)
    {
      dks_job_finish (r, job, DKS_OUTCOME_CANCELLED, DKS_PROBLEM_CANCELLED_NOT_RUN,
                      "cancelled before it was started");
      return;
    }
  job->state = DKS_JOB_ACTIVE;
  r->claiming_tasks -= count;
  r->ready_tasks += count;
  ready_add (r, job, false);
}

uint32_t
dks_jobs_backlog (const dks_reducer_t *r)
{
  return r->queue->queued_tasks + r->claiming_tasks + r->ready_tasks;
}

int64_t
dks_jobs_oldest_ready_arrival_ms (const dks_reducer_t *r)
{
  if (APR_RING_EMPTY (&r->ready, dks_job_t, link))
    return INT64_MAX;
  return APR_RING_FIRST (&r->ready)->arrived_ms;
}

/* Attempts */

static void handle_attempt_timeout (void *context, int64_t now_us);

static dks_attempt_t *
attempt_create (dks_reducer_t *r, dks_attempt_kind_t kind)
{
  dks_attempt_t *attempt = dks_alloc (sizeof (*attempt));

  attempt->reducer = r;
  attempt->id = dks_next_id (r);
  attempt->kind = kind;
  attempt->started_us = r->now.mono_us;
  dks_timer_init (&attempt->timer, handle_attempt_timeout, attempt);
  apr_hash_set (r->attempts_by_id, &attempt->id, sizeof (attempt->id), attempt);
  APR_RING_INSERT_TAIL (&r->attempts, attempt, dks_attempt_t, link);
  r->attempt_count++;
  return attempt;
}

static void
attempt_destroy (dks_reducer_t *r, dks_attempt_t *attempt)
{
  apr_hash_set (r->attempts_by_id, &attempt->id, sizeof (attempt->id), NULL);
  APR_RING_REMOVE (attempt, link);
  r->attempt_count--;
  dks_timer_cancel (r->timers, &attempt->timer);
  if (attempt->job != NULL)
    dks_job_unref (attempt->job);
  dks_target_unref (attempt->target);
  free (attempt);
}

static dks_attempt_t *
attempt_find (const dks_reducer_t *r, uint64_t id)
{
  return apr_hash_get (r->attempts_by_id, &id, sizeof (id));
}

static void
send_to_target (dks_reducer_t *r, dks_attempt_t *attempt, dks_target_t *target, const char *key,
                uint32_t index, uint32_t attempt_number, int64_t deadline_ms, dks_blob_t *payload)
{
  dks_effect_t *effect = dks_effects_add (r->effects, DKS_EFFECT_TARGET_SEND);

  attempt->target = dks_target_ref (target);
  dks_target_start_attempt (target);
  dks_counter_increment (&r->counters, DKS_COUNTER_TASK_STARTS);
  effect->u.target_send.attempt = attempt->id;
  dks_strcpy (effect->u.target_send.address, sizeof (effect->u.target_send.address),
              target->listed.address);
  dks_strcpy (effect->u.target_send.key, sizeof (effect->u.target_send.key), key);
  effect->u.target_send.index = index;
  effect->u.target_send.attempt_number = attempt_number;
  effect->u.target_send.deadline_ms = deadline_ms;
  effect->u.target_send.payload = dks_blob_ref (payload);
}

static void
send_run (dks_reducer_t *r, const dks_attempt_t *attempt, uint32_t attempt_number)
{
  const dks_submission_t *s = attempt->job->submission;
  dks_msg_t *msg = dks_msg_create (DKS_MSG_RUN);

  msg->u.run.attempt = attempt->id;
  dks_strcpy (msg->u.run.key, sizeof (msg->u.run.key), s->key);
  dks_strcpy (msg->u.run.service, sizeof (msg->u.run.service), s->service);
  msg->u.run.index = attempt->task_index;
  msg->u.run.attempt_number = attempt_number;
  msg->u.run.deadline_ms = s->deadline_ms;
  msg->u.run.spec = s->tasks[attempt->task_index];
  dks_blob_ref (msg->u.run.spec.payload);
  dks_emit_peer (r, attempt->peer, msg);
}

/* Starts an attempt on `target`, or if that is NULL on a slot that `lender` has granted. */
static void
start_attempt (dks_reducer_t *r, dks_job_t *job, uint32_t index, dks_target_t *target,
               dks_peer_t *lender)
{
  dks_attempt_t *attempt =
      attempt_create (r, target != NULL ? DKS_ATTEMPT_OWN : DKS_ATTEMPT_BORROWED);
  dks_task_t *task = &job->tasks[index];
  dks_settings_values_t values;

  dks_settings_values (r, job->submission->service, job->submission->team, &values);
  job->refs++;
  attempt->job = job;
  attempt->task_index = index;
  task->attempts++;
  task->running++;
  dks_retry_credit (&r->retry_budget, values.retry_percent);
  dks_retry_credit (&r->hedge_budget, values.hedge_percent);
  dks_timer_set (r->timers, &attempt->timer, r->now.mono_us + values.attempt_timeout_ms * 1000);
  if (target != NULL)
    send_to_target (r, attempt, target, job->submission->key, index, task->attempts,
                    job->submission->deadline_ms, job->submission->tasks[index].payload);
  else
    {
      dks_strcpy (attempt->peer, sizeof (attempt->peer), lender->id);
      lender->credits--;
      r->credits_total--;
      send_run (r, attempt, task->attempts);
    }
  if (job->submission->single && job->submission->repeatable && values.hedge_percent > 0
      && task->attempts == 1)
    dks_timer_set (r->timers, &job->hedge_timer, r->now.mono_us + values.hedge_after_ms * 1000);
}

static uint32_t
peek_task (const dks_job_t *job)
{
  return job->retry_count > 0 ? job->retry_tasks[0] : job->next_task;
}

static void
take_task (dks_reducer_t *r, dks_job_t *job)
{
  r->ready_tasks--;
  if (job->retry_count > 0)
    {
      job->retry_count--;
      memmove (job->retry_tasks, job->retry_tasks + 1,
               job->retry_count * sizeof (job->retry_tasks[0]));
    }
  else
    job->next_task++;
  if (tasks_to_start (job) == 0)
    ready_remove (job);
}

bool
dks_job_start_next (dks_reducer_t *r, dks_peer_t *lender)
{
  dks_job_t *job;

  APR_RING_FOREACH (job, &r->ready, dks_job_t, link)
    {
      uint32_t index = peek_task (job);
      dks_target_t *target = NULL;

      if (job->not_before_us > r->now.mono_us)
        continue;
      if (lender == NULL)
        {
          target =
              dks_targets_pick (r->targets, &job->submission->tasks[index], NULL, r->now.mono_us);
          if (target == NULL)
            continue;
        }
      take_task (r, job);
      start_attempt (r, job, index, target, lender);
      return true;
    }
  return false;
}

/* Results */

static void
retry_task (dks_reducer_t *r, dks_job_t *job, uint32_t index, bool with_delay)
{
  job->retry_tasks[job->retry_count++] = (uint16_t)index;
  r->ready_tasks++;
  dks_counter_increment (&r->counters, DKS_COUNTER_RETRIES);
  if (with_delay)
    job->not_before_us =
        r->now.mono_us + dks_retry_delay_us (job->tasks[index].attempts + 1, dks_random (r));
  ready_add (r, job, true);
}

static void
fail_task (dks_reducer_t *r, dks_job_t *job, uint32_t index, dks_problem_t problem,
           dks_blob_t *body)
{
  dks_task_result_t *result = &job->tasks[index].result;
  const char *detail = "a task failed";

  if (problem == DKS_PROBLEM_TARGET_LOST)
    detail = "a target stopped answering; the task may have run";
  else if (problem == DKS_PROBLEM_RESULT_TOO_LARGE)
    detail = "the results exceed 8 MiB in all";
  result->ok = false;
  result->problem = problem;
  result->body = dks_blob_ref (body);
  dks_job_finish (r, job, DKS_OUTCOME_FAILED, problem, detail);
}

static void
handle_not_started (dks_reducer_t *r, dks_job_t *job, uint32_t index)
{
  const dks_task_t *task = &job->tasks[index];
  bool immediate = task->attempts <= IMMEDIATE_RETRIES_MAX && dks_retry_take (&r->retry_budget);

  dks_counter_increment (&r->counters, DKS_COUNTER_ATTEMPTS_REFUSED);
  if (task->attempts >= ATTEMPTS_MAX)
    fail_task (r, job, index, DKS_PROBLEM_NO_TARGET, NULL);
  else
    retry_task (r, job, index, !immediate);
}

static void
handle_task_end (dks_reducer_t *r, dks_job_t *job, uint32_t index, dks_attempt_status_t status,
                 dks_blob_t *body)
{
  dks_task_t *task = &job->tasks[index];
  bool may_repeat = job->submission->single && job->submission->repeatable;

  task->running--;
  if (job->state != DKS_JOB_ACTIVE || task->finished)
    return;
  if (status == DKS_ATTEMPT_OK)
    {
      job->result_bytes += body != NULL ? body->len : 0;
      if (job->result_bytes > DKS_RESULTS_MAX)
        {
          fail_task (r, job, index, DKS_PROBLEM_RESULT_TOO_LARGE, NULL);
          return;
        }
      task->finished = true;
      task->result.ok = true;
      task->result.body = dks_blob_ref (body);
      if (++job->finished == job->submission->task_count)
        dks_job_finish (r, job, DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE, "");
      return;
    }
  if (status != DKS_ATTEMPT_NOT_STARTED)
    dks_counter_increment (&r->counters, DKS_COUNTER_ATTEMPTS_FAILED);
  if (task->running > 0)
    return; /* a second attempt is still under way */
  if (status == DKS_ATTEMPT_NOT_STARTED)
    handle_not_started (r, job, index);
  else if (may_repeat && task->attempts < REPEATABLE_ATTEMPTS_MAX
           && dks_retry_take (&r->retry_budget))
    retry_task (r, job, index, true);
  else
    fail_task (r, job, index,
               status == DKS_ATTEMPT_LOST ? DKS_PROBLEM_TARGET_LOST : DKS_PROBLEM_TASK_FAILED,
               body);
}

static void
send_run_done (dks_reducer_t *r, const char *peer, uint64_t attempt, dks_attempt_status_t status,
               dks_blob_t *body)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_RUN_DONE);

  msg->u.run_done.attempt = attempt;
  msg->u.run_done.status = status;
  msg->u.run_done.body = dks_blob_ref (body);
  dks_emit_peer (r, peer, msg);
}

static void
release_target (dks_reducer_t *r, dks_attempt_t *attempt, dks_attempt_status_t status)
{
  dks_settings_values_t values;
  dks_target_t *target = attempt->target;

  dks_settings_values (r, attempt->job != NULL ? attempt->job->submission->service : "", "",
                       &values);
  if (status == DKS_ATTEMPT_OK)
    {
      double run_us = (double)(r->now.mono_us - attempt->started_us);

      r->mean_run_us += r->mean_run_us > 0 ? MEAN_RUN_WEIGHT * (run_us - r->mean_run_us) : run_us;
    }
  if (dks_target_finish_attempt (r->targets, target, status, (uint32_t)values.eject_failures,
                                 r->now.mono_us, dks_random (r))
      == DKS_TARGET_EJECTED)
    {
      dks_counter_increment (&r->counters, DKS_COUNTER_TARGET_EJECTIONS);
      dks_emit_log (r, DKS_LOG_WARNING, "event=target-ejected target=%s failures=%u",
                    target->listed.id, target->failures);
    }
}

static void
end_attempt (dks_reducer_t *r, dks_attempt_t *attempt, dks_attempt_status_t status,
             dks_blob_t *body)
{
  if (attempt->target != NULL)
    release_target (r, attempt, status);
  if (attempt->kind == DKS_ATTEMPT_LENT)
    send_run_done (r, attempt->peer, attempt->peer_attempt, status, body);
  else
    handle_task_end (r, attempt->job, attempt->task_index, status, body);
  attempt_destroy (r, attempt);
}

static void
handle_attempt_timeout (void *context, int64_t now_us)
{
  dks_attempt_t *attempt = context;
  dks_reducer_t *r = attempt->reducer;

  if (attempt->kind == DKS_ATTEMPT_BORROWED)
    {
      dks_msg_t *msg = dks_msg_create (DKS_MSG_RUN_ABORT);

      msg->u.run_done.attempt = attempt->id;
      dks_emit_peer (r, attempt->peer, msg);
    }
  else
    dks_effects_add (r->effects, DKS_EFFECT_TARGET_ABORT)->u.target_abort.attempt = attempt->id;
  end_attempt (r, attempt, DKS_ATTEMPT_LOST, NULL);
}

static void
handle_hedge_timer (void *context, int64_t now_us)
{
  dks_job_t *job = context;
  dks_reducer_t *r = job->reducer;
  const dks_attempt_t *attempt;
  const dks_target_t *first = NULL;
  dks_target_t *second;

  if (job->state != DKS_JOB_ACTIVE || job->tasks[0].running != 1)
    return;
  APR_RING_FOREACH (attempt, &r->attempts, dks_attempt_t, link)
    {
      if (attempt->job == job)
        first = attempt->target;
    }
  second = dks_lend_free_slots (r) > 0
               ? dks_targets_pick (r->targets, &job->submission->tasks[0], first, r->now.mono_us)
               : NULL;
  if (second == NULL || !dks_retry_take (&r->hedge_budget))
    return;
  dks_counter_increment (&r->counters, DKS_COUNTER_HEDGES);
  start_attempt (r, job, 0, second, NULL);
}

void
dks_jobs_handle_target_reply (dks_reducer_t *r, uint64_t id, dks_attempt_status_t status,
                              bool leaving, dks_blob_t *body)
{
  dks_attempt_t *attempt = attempt_find (r, id);

  if (attempt == NULL || attempt->target == NULL)
    return;
  if (leaving)
    attempt->target->is_leaving = true;
  end_attempt (r, attempt, status, body);
}

/* Lent and borrowed attempts */

void
dks_jobs_handle_run (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  dks_attempt_t *attempt;
  dks_target_t *target;
  dks_settings_values_t values;
  bool was_granted = peer->grants_unused > 0;

  if (was_granted)
    {
      peer->grants_unused--;
      r->grants_unused_total--;
    }
  target = dks_targets_pick (r->targets, &msg->u.run.spec, NULL, r->now.mono_us);
  if (target == NULL || (!was_granted && dks_lend_free_slots (r) == 0))
    {
      send_run_done (r, peer->id, msg->u.run.attempt, DKS_ATTEMPT_NOT_STARTED, NULL);
      return;
    }
  attempt = attempt_create (r, DKS_ATTEMPT_LENT);
  dks_strcpy (attempt->peer, sizeof (attempt->peer), peer->id);
  attempt->peer_attempt = msg->u.run.attempt;
  dks_settings_values (r, msg->u.run.service, "", &values);
  dks_timer_set (r->timers, &attempt->timer, r->now.mono_us + values.attempt_timeout_ms * 1000);
  send_to_target (r, attempt, target, msg->u.run.key, msg->u.run.index, msg->u.run.attempt_number,
                  msg->u.run.deadline_ms, msg->u.run.spec.payload);
}

void
dks_jobs_handle_run_done (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  dks_attempt_t *attempt = attempt_find (r, msg->u.run_done.attempt);

  if (attempt != NULL && attempt->kind == DKS_ATTEMPT_BORROWED && strcmp (attempt->peer, peer) == 0)
    end_attempt (r, attempt, msg->u.run_done.status, msg->u.run_done.body);
}

void
dks_jobs_handle_run_abort (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  dks_attempt_t *attempt;

  APR_RING_FOREACH (attempt, &r->attempts, dks_attempt_t, link)
    {
      if (attempt->kind != DKS_ATTEMPT_LENT || attempt->peer_attempt != msg->u.run_done.attempt
          || strcmp (attempt->peer, peer) != 0)
        continue;
      dks_effects_add (r->effects, DKS_EFFECT_TARGET_ABORT)->u.target_abort.attempt = attempt->id;
      release_target (r, attempt, DKS_ATTEMPT_LOST);
      attempt_destroy (r, attempt);
      return;
    }
}

void
dks_jobs_handle_peer_down (dks_reducer_t *r, const char *peer)
{
  dks_attempt_t *attempt = APR_RING_FIRST (&r->attempts);

  while (attempt != APR_RING_SENTINEL (&r->attempts, dks_attempt_t, link))
    {
      dks_attempt_t *next = APR_RING_NEXT (attempt, link);

      /* Messages under way are lost with the connection, so it is unknown whether the task ran. */
      if (attempt->kind == DKS_ATTEMPT_BORROWED && strcmp (attempt->peer, peer) == 0)
        end_attempt (r, attempt, DKS_ATTEMPT_LOST, NULL);
      attempt = next;
    }
}

/* Scheduling */

void
dks_jobs_handle_targets_changed (dks_reducer_t *r)
{
  const dks_view_t *view = dks_own_view (r);
  const char *members[DKS_MEMBERS_MAX];
  size_t count = 0;

  /* A member that is leaving keeps its targets until it has left. Another member that took them
   * over earlier would not know which of their slots are still in use, and the targets would refuse
   * its attempts. */
  for (uint32_t i = 0; i < view->member_count; i++)
    members[count++] = view->members[i].id;
  dks_targets_assign (r->targets, r->self, members, count);
}

static void
claim_ahead (dks_reducer_t *r)
{
  uint32_t open_demand = dks_lend_open_demand (r);
  uint32_t task_limit = dks_lend_free_slots (r) + dks_lend_credits (r) + CLAIM_AHEAD_TASKS;
  dks_job_t *job;

  task_limit += open_demand < BORROW_AHEAD_TASKS ? open_demand : BORROW_AHEAD_TASKS;
  while (r->ready_tasks + r->claiming_tasks < task_limit
         && (job = dks_queue_pop (r->queue)) != NULL)
    {
      /* A job that cannot end before its deadline would take slots from jobs that can. */
      if (r->now.mono_us + (int64_t)r->mean_run_us > job->deadline_us)
        {
          dks_owner_refuse_job (r, job, DKS_PROBLEM_DEADLINE, RETRY_AFTER_MS,
                                "the queue was too long for the deadline");
          continue;
        }
      r->claiming_tasks += job->submission->task_count;
      job->team->in_use += job->submission->task_count;
      dks_owner_claim (r, job);
    }
}

/* Fills the free slots of own targets, the oldest waiting task first, of this instance or of a
 * peer. */
static bool
fill_own_slots (dks_reducer_t *r)
{
  bool progress = false;

  while (dks_lend_free_slots (r) > 0)
    {
      int64_t oldest_ms = dks_jobs_oldest_ready_arrival_ms (r);

      if (!dks_lend_grant_one (r, oldest_ms) && !dks_job_start_next (r, NULL))
        break;
      progress = true;
    }
  return progress;
}

static bool
use_credits (dks_reducer_t *r)
{
  dks_peer_t *peer;
  bool progress = false;

  if (r->credits_total == 0)
    return false;
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      while (peer->credits > 0 && peer->up && dks_job_start_next (r, peer))
        progress = true;
    }
  return progress;
}

static void
handle_dispatch_timer (void *context, int64_t now_us)
{
  /* dks_jobs_dispatch() runs after every event; this timer only makes sure that an event occurs. */
}

static void
arm_dispatch_timer (dks_reducer_t *r)
{
  int64_t next_us;
  const dks_job_t *job;

  if (dks_jobs_backlog (r) == 0)
    return;
  next_us = dks_targets_next_return_us (r->targets, r->now.mono_us);
  APR_RING_FOREACH (job, &r->ready, dks_job_t, link)
    {
      if (job->not_before_us > r->now.mono_us && job->not_before_us < next_us)
        next_us = job->not_before_us;
    }
  if (next_us != INT64_MAX)
    dks_timer_set (r->timers, &r->dispatch_timer, next_us);
}

void
dks_jobs_dispatch (dks_reducer_t *r)
{
  bool progress;

  do
    {
      claim_ahead (r);
      progress = fill_own_slots (r);
      progress = use_credits (r) || progress;
    }
  while (progress);
  arm_dispatch_timer (r);
  dks_lend_update (r);
}

void
dks_jobs_init (dks_reducer_t *r)
{
  r->queue = dks_queue_create ();
  r->targets = dks_targets_create ();
  r->attempts_by_id = apr_hash_make (r->pool);
  APR_RING_INIT (&r->ready, dks_job_t, link);
  APR_RING_INIT (&r->attempts, dks_attempt_t, link);
  dks_timer_init (&r->dispatch_timer, handle_dispatch_timer, r);
  dks_retry_init (&r->retry_budget);
  dks_retry_init (&r->hedge_budget);
}

void
dks_jobs_clear (dks_reducer_t *r)
{
  while (!APR_RING_EMPTY (&r->attempts, dks_attempt_t, link))
    attempt_destroy (r, APR_RING_FIRST (&r->attempts));
  for (apr_hash_index_t *i = apr_hash_first (r->pool, r->jobs_by_key); i != NULL;
       i = apr_hash_next (i))
    {
      dks_job_t *job = apr_hash_this_val (i);

      if (job->state == DKS_JOB_QUEUED)
        dks_queue_remove (r->queue, job);
      dks_job_unref (job);
    }
  dks_queue_destroy (r->queue);
  dks_targets_destroy (r->targets);
}
