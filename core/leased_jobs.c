#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Delay of a message, in transit and in the queue of this instance, above which a job or lent
   * task is refused: some ms are usual, 100 ms occur on an instance that uses all its processor
   * time. */
  WORK_LAG_MAX_US = 200000,
  /* Greatest age that the message may have, above which the job or lent task is refused. It
   * includes the interval between the statuses of a leader, 100 ms. */
  WORK_AGE_MAX_US = 500000,
  /* Least time from the receipt of a job to its refusal because no task could start; a new leader
   * has read the run lists of its targets by then. */
  PLACEMENT_WAIT_MIN_US = 100000,
  RETRY_DELAY_US = 5000 /* from the failure of a task to its next start */
};

/* Least run time of a task, that on the fastest target, as a part of its observed run time on an
 * average target. */
#define OBSERVED_RUN_FACTOR_MIN 0.7
/* Least run time of a task, that on the fastest target, as a part of its expected run time on an
 * average target, which may be wrong by 40%. */
#define EXPECTED_RUN_FACTOR_MIN 0.45

static const char crash_reason[] = "targets crashed while they ran a task";
static const char outdated_reason[] = "the job arrived too late";

static int64_t
min_us (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
max_us (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Answers */

static void
send_done (dks_leased_t *leased, const char *origin, uint64_t request, dks_batch_answer_t answer,
           uint32_t retry_after_ms, const char *detail)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_WORK_DONE);

  msg->u.work_done.request = request;
  msg->u.work_done.answer = (uint32_t)answer;
  msg->u.work_done.retry_after_ms = retry_after_ms;
  dks_strcpy (msg->u.work_done.detail, sizeof (msg->u.work_done.detail), detail);
  if (strcmp (origin, leased->r->self) != 0)
    {
      dks_emit_peer (leased->r, origin, msg);
      return;
    }
  dks_leased_entry_handle_done (leased, origin, msg);
  dks_msg_unref (msg);
}

void
dks_leased_job_send_lent_done (dks_leased_t *leased, const char *peer, uint64_t request,
                               uint32_t index, uint32_t run_number, dks_lent_result_t result)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_LENT_DONE);

  msg->u.lent_done.request = request;
  msg->u.lent_done.index = index;
  msg->u.lent_done.run = run_number;
  msg->u.lent_done.result = (uint32_t)result;
  dks_emit_peer (leased->r, peer, msg);
}

static void
send_cancel (dks_leased_t *leased, const char *peer, uint64_t request)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_WORK_CANCEL);

  msg->u.work_cancel.request = request;
  dks_emit_peer (leased->r, peer, msg);
}

/* Jobs */

static dks_leased_job_t *
job_find_by_batch_id (dks_leased_t *leased, const char *id)
{
  leased->load.counts.jobs_compared++;
  return apr_hash_get (leased->jobs_by_batch_id, id, APR_HASH_KEY_STRING);
}

static void
job_add_to_request (dks_leased_job_t *job)
{
  apr_hash_t *by_request = job->leased->jobs_by_request;
  dks_leased_job_t *last = apr_hash_get (by_request, &job->request_id, sizeof (job->request_id));

  job->next_of_request = NULL;
  if (last == NULL)
    {
      apr_hash_set (by_request, &job->request_id, sizeof (job->request_id), job);
      return;
    }
  while (last->next_of_request != NULL)
    last = last->next_of_request;
  last->next_of_request = job;
}

static void
job_remove_from_request (dks_leased_job_t *job)
{
  apr_hash_t *by_request = job->leased->jobs_by_request;
  dks_leased_job_t *next = job->next_of_request;
  dks_leased_job_t *other = apr_hash_get (by_request, &job->request_id, sizeof (job->request_id));

  if (other == job)
    {
      /* The entry is removed first, as its key is stored in the job. */
      apr_hash_set (by_request, &job->request_id, sizeof (job->request_id), NULL);
      if (next != NULL)
        apr_hash_set (by_request, &next->request_id, sizeof (next->request_id), next);
      return;
    }
  while (other->next_of_request != job)
    other = other->next_of_request;
  other->next_of_request = next;
}

/* Makes the job known to look-ups by the ids in messages. */
static void
job_add_to_tables (dks_leased_job_t *job)
{
  dks_leased_t *leased = job->leased;

  if (!job->is_lent)
    apr_hash_set (leased->jobs_by_batch_id, job->batch->id, APR_HASH_KEY_STRING, job);
  for (uint32_t i = 0; i < job->batch->step_count; i++)
    apr_hash_set (leased->jobs_by_lend_id, &job->step_lend_id[i], sizeof (job->step_lend_id[i]),
                  job);
  job_add_to_request (job);
}

static void
job_remove_from_tables (dks_leased_job_t *job)
{
  dks_leased_t *leased = job->leased;

  if (!job->is_lent)
    apr_hash_set (leased->jobs_by_batch_id, job->batch->id, APR_HASH_KEY_STRING, NULL);
  for (uint32_t i = 0; i < job->batch->step_count; i++)
    apr_hash_set (leased->jobs_by_lend_id, &job->step_lend_id[i], sizeof (job->step_lend_id[i]),
                  NULL);
  job_remove_from_request (job);
}

void
dks_leased_job_free (dks_leased_job_t *job)
{
  dks_leased_t *leased = job->leased;

  dks_timer_cancel (leased->r->timers, &job->timer);
  leased->waiting_tasks -= job->waiting_count;
  leased->job_count--;
  job_remove_from_tables (job);
  APR_RING_REMOVE (job, link);
  dks_leased_prior_runs_clear (job);
  dks_batch_unref (job->batch);
  free (job);
  leased->placement_due = true;
}

static void
task_cancel_lent (dks_leased_job_t *job, dks_leased_task_t *task)
{
  if (task->remote_lost)
    job->leased->remote_lost_tasks--;
  /* A leader that counts as lost here may still run the task. */
  send_cancel (job->leased, task->remote_leader, job->step_lend_id[task->batch_step]);
}

/* Stops the job's runs on targets of this leader, cancels its tasks at remote leaders, and frees
 * the job. */
static void
job_stop (dks_leased_job_t *job)
{
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      dks_leased_task_t *task = &job->tasks[i];

      if (task->state == DKS_LEASED_TASK_PLACED)
        dks_leased_run_stop (task->current_run);
      else if (task->state == DKS_LEASED_TASK_LENT)
        task_cancel_lent (job, task);
    }
  dks_leased_prior_runs_cancel (job);
  dks_leased_job_free (job);
}

static void
job_answer (dks_leased_job_t *job, dks_batch_answer_t answer, uint32_t retry_after_ms,
            const char *detail)
{
  dks_leased_t *leased = job->leased;
  char origin[DKS_NAME_SIZE];
  uint64_t request = job->request_id;

  if (answer == DKS_BATCH_COMPLETED)
    dks_emit_log (leased->r, DKS_LOG_DEBUG,
                  "event=job-completed job=%s age_ms=%" PRId64 " tasks=%u estimate_ms=%u",
                  job->batch->id, (dks_leased_now_us (leased) - job->arrival_us) / 1000,
                  job->task_count, dks_batch_critical_path_ms (job->batch));
  else
    dks_emit_log (
        leased->r, DKS_LOG_INFO,
        "event=job-%s job=%s age_ms=%" PRId64
        " tasks=%u done=%u waiting=%u backlog=%u estimate_ms=%u last_start_ms=%" PRId64
        " reason=\"%s\"",
        dks_batch_answer_name (answer), job->batch->id,
        (dks_leased_now_us (leased) - job->arrival_us) / 1000, job->task_count, job->done_count,
        job->waiting_count, leased->waiting_tasks, dks_batch_critical_path_ms (job->batch),
        job->last_start_us > 0 ? (job->last_start_us - job->arrival_us) / 1000 : -1, detail);
  dks_strcpy (origin, sizeof (origin), job->origin);
  job_stop (job);
  send_done (leased, origin, request, answer, retry_after_ms, detail);
}

static void
job_refuse (dks_leased_job_t *job, const char *detail)
{
  /* A refusal states that nothing was run, which is not known of a job that an earlier leader may
   * have started. */
  job_answer (job, job->resent ? DKS_BATCH_LOST : DKS_BATCH_REFUSED,
              dks_leased_admission_retry_after_ms (job), detail);
}

void
dks_leased_job_refuse_by_estimate (dks_leased_job_t *job, const char *detail)
{
  dks_leased_drain_record_refusal (job->leased);
  dks_leased_admission_log_estimate (job);
  job_refuse (job, detail);
}

void
dks_leased_jobs_give_up (dks_leased_job_t *job, uint32_t task_index)
{
  dks_leased_task_t *lent_task = &job->tasks[task_index];

  if (!job->is_lent)
    job_answer (job, DKS_BATCH_LOST, 0, "it cannot end before the caller leaves");
  else if (!lent_task->late_reported)
    {
      /* The home leader decides whether to cancel the task. */
      lent_task->late_reported = true;
      dks_leased_job_send_lent_done (job->leased, job->origin, job->request_id, lent_task->index,
                                     lent_task->lent_run_number, DKS_LENT_LATE);
    }
}

void
dks_leased_job_arm_timer (dks_leased_job_t *job)
{
  int64_t at_us = job->deadline_us;

  if (!job->started && !job->is_lent)
    at_us = job->objective_missed ? job->refuse_at_us
                                  : min_us (job->latest_start_us, job->refuse_at_us);
  dks_timer_set (job->leased->r->timers, &job->timer, at_us);
}

static void
handle_job_timer (void *context, int64_t time_us)
{
  dks_leased_job_t *job = context;

  if (job->is_lent)
    job_stop (job);
  else if (!job->started && time_us >= job->refuse_at_us)
    dks_leased_job_refuse_by_estimate (job, "no room in time");
  else if (job->started && time_us >= job->deadline_us)
    job_answer (job, DKS_BATCH_LOST, 0, "the caller's time is over");
  else
    {
      job->objective_missed = job->objective_missed || !job->started;
      APR_RING_REMOVE (job, link);
      dks_leased_admission_insert (job);
      dks_leased_job_arm_timer (job);
      job->leased->placement_due = true;
    }
}

/* Time from the arrival of a job to the end of its queue's objective. The objective in the message
 * is based on declared run times, the only ones that the entry instance knows; this leader also
 * knows the run times of the queue's jobs. */
static int64_t
objective_us (const dks_queue_entry_t *queue, const dks_msg_t *msg, int64_t critical_path_us)
{
  if (queue == NULL)
    return msg->u.work.objective_us;
  return dks_batch_limit_span_us (INT64_C (1000) * queue->objective_extra_ms
                                  + critical_path_us * queue->objective_factor_milli / 1000);
}

/* Whether a whole job was sent to an earlier term of this leader. Its sender sends it again once it
 * knows of the present term, and may have sent it to another leader meanwhile. */
static bool
is_for_earlier_term (const dks_leased_t *leased, const dks_msg_t *msg)
{
  return msg->u.work.lent_count == 0 && msg->u.work.remote_term != 0
         && msg->u.work.remote_term < leased->term;
}

static dks_leased_job_t *
job_create (dks_leased_t *leased, const char *origin, const dks_msg_t *msg, int64_t lag_us)
{
  dks_batch_t *batch = msg->u.work.batch;
  bool lent = msg->u.work.lent_count > 0;
  uint32_t count = lent ? msg->u.work.lent_count : batch->task_count;
  dks_leased_job_t *job = dks_alloc (sizeof (*job) + count * sizeof (job->tasks[0]));
  const dks_queue_entry_t *queue =
      leased->catalog != NULL ? dks_catalog_queue (leased->catalog, batch->queue) : NULL;
  int64_t critical_path_us = (int64_t)dks_leased_estimate_critical_path_us (leased, batch);

  job->leased = leased;
  job->batch = dks_batch_ref (batch);
  job->is_lent = lent;
  job->request_id = msg->u.work.request;
  job->id_hash = dks_leased_prior_jobs_hash (batch->id);
  job->resent = msg->u.work.resent || (!lent && dks_leased_prior_jobs_contain (leased, batch->id));
  job->sent_to_earlier_terms =
      msg->u.work.resent && msg->u.work.sent_term > 0 && msg->u.work.sent_term < leased->term;
  dks_leased_prior_runs_init (job);
  job->started = job->resent;
  job->task_count = count;
  job->waiting_count = count;
  job->arrival_us = dks_leased_now_us (leased) - msg->u.work.age_us - lag_us;
  job->received_us = dks_leased_now_us (leased);
  job->objective_end_us =
      job->arrival_us
      + (lent ? msg->u.work.objective_us : objective_us (queue, msg, critical_path_us));
  job->deadline_us = job->arrival_us + msg->u.work.budget_us;
  job->latest_start_us = min_us (job->objective_end_us, job->deadline_us) - critical_path_us;
  job->objective_missed = job->latest_start_us <= dks_leased_now_us (leased);
  job->refuse_at_us =
      max_us (job->arrival_us
                  + dks_leased_admission_wait_us (queue, msg->u.work.budget_us, critical_path_us),
              job->received_us + PLACEMENT_WAIT_MIN_US);
  dks_leased_estimate_tails_us (leased, batch, job->step_tail_us);

  job->min_cpu_milli = UINT32_MAX;
  for (uint32_t i = 0; i < batch->step_count; i++)
    {
      const dks_batch_step_t *step = &batch->steps[i];

      /* An answer to a lent task names its index but not its step. */
      job->step_lend_id[i] = dks_next_id (leased->r);
      job->min_cpu_milli =
          step->cpu_milli < job->min_cpu_milli ? step->cpu_milli : job->min_cpu_milli;
      job->expected_run_us +=
          dks_leased_estimate_run_us (leased, batch, i) * step->count / batch->task_count;
    }
  dks_strcpy (job->origin, sizeof (job->origin), origin);
  dks_timer_init (&job->timer, handle_job_timer, job);
  leased->waiting_tasks += count;
  leased->job_count++;
  job_add_to_tables (job);
  dks_leased_admission_insert (job);
  return job;
}

static void
job_init_tasks (dks_leased_job_t *job, const dks_msg_t *msg)
{
  uint32_t next = 0;

  if (job->is_lent)
    {
      for (uint32_t i = 0; i < job->task_count; i++)
        job->tasks[i] = (dks_leased_task_t){ .step = msg->u.work.step,
                                             .index = msg->u.work.lent_tasks[i],
                                             .run_number = msg->u.work.lent_runs[i],
                                             .lent_run_number = msg->u.work.lent_runs[i],
                                             .state = DKS_LEASED_TASK_WAITING };
      job->step_unfinished[0] = job->task_count;
      return;
    }
  for (uint32_t step = 0; step < job->batch->step_count; step++)
    {
      job->step_unfinished[step] = job->batch->steps[step].count;
      for (uint32_t i = 0; i < job->batch->steps[step].count; i++)
        job->tasks[next++] = (dks_leased_task_t){
          .step = step, .batch_step = step, .index = i, .state = DKS_LEASED_TASK_WAITING
        };
    }
}

/* Admission */

static bool
has_unplaceable_step (const dks_leased_job_t *job)
{
  for (uint32_t i = 0; i < job->batch->step_count; i++)
    {
      if (!dks_leased_targets_can_ever_run (job->leased, job->batch, &job->batch->steps[i]))
        return true;
    }
  return false;
}

static bool
has_forbidden_task (const dks_leased_job_t *job)
{
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      if (dks_leased_crashes_forbid_start (job, &job->tasks[i]))
        return true;
    }
  return false;
}

/* The caller submitted the job again, through another instance: the new request replaces the
 * earlier one. An outdated request may itself be the earlier one. */
static void
job_change_origin (dks_leased_job_t *job, const char *origin, const dks_msg_t *msg,
                   bool is_outdated)
{
  bool is_same_request =
      strcmp (job->origin, origin) == 0 && job->request_id == msg->u.work.request;

  if (is_outdated && !is_same_request)
    send_done (job->leased, origin, msg->u.work.request, DKS_BATCH_LOST, 0, outdated_reason);
  if (is_outdated)
    return;
  dks_emit_log (job->leased->r, DKS_LOG_INFO, "event=job-joined job=%s from=%s to=%s",
                job->batch->id, job->origin, origin);
  if (!is_same_request)
    send_done (job->leased, job->origin, job->request_id, DKS_BATCH_LOST, 0, "submitted again");
  dks_strcpy (job->origin, sizeof (job->origin), origin);
  job_remove_from_request (job);
  job->request_id = msg->u.work.request;
  job_add_to_request (job);
  job->deadline_us = dks_leased_now_us (job->leased) - msg->u.work.age_us + msg->u.work.budget_us;
  dks_leased_job_arm_timer (job);
}

/* Whether lent tasks must not be started: they were lent to another leadership than the present one
 * of this instance, for whose tasks the home leader has asked a successor; or by a home leader that
 * was superseded; or possibly so long ago that it has given them up, with its cancellation still on
 * the way. */
static bool
is_lend_outdated (const dks_leased_t *leased, const dks_leased_peer_t *peer, const dks_msg_t *msg,
                  int64_t lag_us)
{
  return (msg->u.work.remote_term != 0 && msg->u.work.remote_term != leased->term)
         || lag_us > WORK_LAG_MAX_US || !dks_leased_peer_is_leader (leased, peer)
         || !dks_leased_peer_sent_within (leased, peer, msg->u.work.sent_us, WORK_AGE_MAX_US);
}

/* Whether a job may have been under way for so long that its caller has left meanwhile, and has
 * submitted it elsewhere. */
static bool
is_job_outdated (const dks_leased_t *leased, const dks_leased_peer_t *peer, const dks_msg_t *msg)
{
  return peer != NULL
         && !dks_leased_peer_sent_within (leased, peer, msg->u.work.sent_us, WORK_AGE_MAX_US);
}

/* Answers that the lent tasks of a message were not started. */
static void
refuse_lent (dks_leased_t *leased, const char *origin, const dks_msg_t *msg)
{
  for (uint32_t i = 0; i < msg->u.work.lent_count; i++)
    dks_leased_job_send_lent_done (leased, origin, msg->u.work.request, msg->u.work.lent_tasks[i],
                                   msg->u.work.lent_runs[i], DKS_LENT_REFUSED);
}

static void
refuse_malformed (dks_leased_t *leased, const char *origin, const dks_msg_t *msg)
{
  dks_emit_log (leased->r, DKS_LOG_WARNING, "event=work-malformed from=%s lent=%u", origin,
                msg->u.work.lent_count);
  if (msg->u.work.lent_count == 0)
    send_done (leased, origin, msg->u.work.request, DKS_BATCH_INVALID, 0, "the job is malformed");
  else if (!msg->u.work.resent)
    refuse_lent (leased, origin, msg);
}

void
dks_leased_jobs_handle_work (dks_leased_t *leased, const char *origin, const dks_msg_t *msg)
{
  bool lent = msg->u.work.lent_count > 0;
  dks_leased_job_t *job = lent ? NULL : job_find_by_batch_id (leased, msg->u.work.batch->id);
  dks_leased_peer_t *peer = dks_leased_peer_find (leased, origin);
  int64_t lag_us = peer != NULL ? dks_leased_peer_lag_us (leased, peer, msg->u.work.sent_us) : 0;
  bool outdated;

  if (msg->u.work.malformed)
    {
      refuse_malformed (leased, origin, msg);
      return;
    }
  if (peer != NULL)
    dks_leased_peer_record_echo (peer, msg->u.work.sent_us, msg->u.work.heard_us);
  if (lent)
    dks_leased_leader_note_term (leased, origin, msg->u.work.home_term);
  outdated = lent && !msg->u.work.resent && is_lend_outdated (leased, peer, msg, lag_us);
  outdated = outdated || is_for_earlier_term (leased, msg);
  if (leased->term == 0 || outdated
      || (lent && !dks_leased_handover_takes_lent (leased) && !msg->u.work.resent))
    {
      if (lent)
        dks_emit_log (leased->r, DKS_LOG_INFO,
                      "event=lend-refused job=%s from=%s query=%d term=%" PRIu64 " lag_ms=%" PRId64,
                      msg->u.work.batch->id, origin, msg->u.work.resent, leased->term,
                      lag_us / 1000);
      /* Only a leader knows whether a task runs here. The home leader asks the next one. */
      if (msg->u.work.resent)
        return;
      /* An entry instance learns of the change of leader and resubmits the job to the next one; a
       * home leader lends the refused tasks elsewhere. */
      refuse_lent (leased, origin, msg);
      return;
    }
  if (job != NULL)
    {
      job_change_origin (job, origin, msg, is_job_outdated (leased, peer, msg));
      return;
    }
  dks_emit_log (leased->r, DKS_LOG_DEBUG,
                "event=work job=%s from=%s lent=%u resent=%d age_ms=%" PRId64,
                msg->u.work.batch->id, origin, msg->u.work.lent_count, msg->u.work.resent,
                (msg->u.work.age_us + lag_us) / 1000);
  job = job_create (leased, origin, msg, lag_us);
  job_init_tasks (job, msg);
  if (lent)
    {
      dks_leased_starts_place_lent (job);
      return;
    }
  if (is_job_outdated (leased, peer, msg))
    job_refuse (job, outdated_reason);
  else if (!job->resent && lag_us > WORK_LAG_MAX_US)
    job_refuse (job, "the leader cannot keep up");
  else if (has_forbidden_task (job))
    job_answer (job, DKS_BATCH_FAILED, 0, crash_reason);
  else if (has_unplaceable_step (job))
    job_refuse (job, "no target can run it");
  else if (!job->resent && dks_leased_admission_wait_is_too_long (job))
    dks_leased_job_refuse_by_estimate (job, "the wait would be too long");
  else
    {
      dks_leased_drain_record_admission (job);
      dks_leased_job_arm_timer (job);
      leased->placement_due = true;
    }
}

void
dks_leased_jobs_handle_cancel (dks_leased_t *leased, const char *origin, uint64_t request)
{
  dks_leased_job_t *job;
  dks_leased_job_t *next;

  /* Several messages of one request may have lent tasks, or asked for them. */
  for (job = apr_hash_get (leased->jobs_by_request, &request, sizeof (request)); job != NULL;
       job = next)
    {
      leased->load.counts.jobs_compared++;
      next = job->next_of_request;
      if (strcmp (job->origin, origin) != 0)
        continue;
      if (!job->is_lent)
        dks_emit_log (leased->r, DKS_LOG_INFO, "event=job-cancelled job=%s done=%u tasks=%u",
                      job->batch->id, job->done_count, job->task_count);
      job_stop (job);
    }
}

/* Outcomes */

static void
task_requeue (dks_leased_job_t *job, dks_leased_task_t *task)
{
  task->state = DKS_LEASED_TASK_WAITING;
  task->current_run = NULL;
  job->waiting_count++;
  job->leased->waiting_tasks++;
  job->leased->placement_due = true;
}

static void
task_finish (dks_leased_job_t *job, dks_leased_task_t *task)
{
  task->state = DKS_LEASED_TASK_DONE;
  task->current_run = NULL;
  job->done_count++;
  job->step_unfinished[task->batch_step]--;
  if (job->done_count == job->task_count)
    job_answer (job, DKS_BATCH_COMPLETED, 0, "");
  else
    job->leased->placement_due = true;
}

/* Whether the task could not end before the job's deadline even on the fastest target. */
static bool
has_no_time_left (const dks_leased_job_t *job, const dks_leased_task_t *task)
{
  double min_run_us =
      task->observed_run_us > 0
          ? OBSERVED_RUN_FACTOR_MIN * task->observed_run_us
          : EXPECTED_RUN_FACTOR_MIN
                * dks_leased_estimate_run_us (job->leased, job->batch, task->batch_step);

  return dks_leased_now_us (job->leased) + (int64_t)min_run_us > job->deadline_us;
}

/* A run of the task ended without a result. The task starts again unless it has failed too often,
 * or would end too late. */
static void
task_retry (dks_leased_job_t *job, dks_leased_task_t *task, bool is_fault)
{
  dks_counter_increment (&job->leased->r->counters, DKS_COUNTER_RETRIES);

  if (is_fault && ++task->failed_attempts >= job->batch->max_attempts)
    {
      task->state = DKS_LEASED_TASK_DONE;
      job_answer (job, DKS_BATCH_FAILED, 0, "a task failed as often as it may");
      return;
    }
  if (has_no_time_left (job, task))
    {
      task->state = DKS_LEASED_TASK_DONE;
      job_answer (job, DKS_BATCH_LOST, 0, "a task cannot run again before the caller leaves");
      return;
    }
  task->retry_not_before_us = is_fault ? dks_leased_now_us (job->leased) + RETRY_DELAY_US : 0;

  task_requeue (job, task);
}

static void
finish_lent (dks_leased_job_t *job, dks_leased_task_t *task, dks_lent_result_t result)
{
  task->state = DKS_LEASED_TASK_DONE;
  task->current_run = NULL;
  job->done_count++;
  dks_leased_job_send_lent_done (job->leased, job->origin, job->request_id, task->index,
                                 task->lent_run_number, result);
  if (job->done_count == job->task_count)
    dks_leased_job_free (job);
}

void
dks_leased_jobs_handle_crashes (dks_leased_t *leased, const char *task_name)
{
  char id[DKS_BATCH_ID_SIZE];
  dks_leased_job_t *job;

  snprintf (id, sizeof (id), "%.*s", (int)strcspn (task_name, "."), task_name);
  job = job_find_by_batch_id (leased, id);
  if (job != NULL)
    job_answer (job, DKS_BATCH_FAILED, 0, crash_reason);
}

void
dks_leased_jobs_handle_run_end (dks_leased_t *leased, dks_leased_run_t *run, bool ok, bool is_fault)
{
  dks_leased_job_t *job = run->job;
  dks_leased_task_t *task = &job->tasks[run->task_index];

  dks_strcpy (task->avoid_target, sizeof (task->avoid_target), ok ? "" : run->target->info.id);
  if (job->is_lent)
    finish_lent (job, task, ok ? DKS_LENT_OK : is_fault ? DKS_LENT_FAILED : DKS_LENT_INTERRUPTED);
  else if (ok)
    task_finish (job, task);
  else
    task_retry (job, task, is_fault);
}

/* Another leader has answered about a waiting task that an earlier leader may have lent to it. */
static void
handle_prior_run_end (dks_leased_job_t *job, dks_leased_task_t *task, dks_lent_result_t result)
{
  job->leased->prior_check_due = true;
  switch (result)
    {
    case DKS_LENT_OK:
      dks_leased_task_leave_waiting (job, task, DKS_LEASED_TASK_DONE);
      task_finish (job, task);
      break;
    case DKS_LENT_FAILED:
      dks_leased_task_leave_waiting (job, task, DKS_LEASED_TASK_DONE);
      task_retry (job, task, true);
      break;
    case DKS_LENT_LATE:
      dks_leased_jobs_give_up (job, (uint32_t)(task - job->tasks));
      break;
    case DKS_LENT_REFUSED:
    case DKS_LENT_INTERRUPTED:
      break;
    }
}

static void
handle_prior_runs_answer (dks_leased_t *leased, const char *peer, const dks_msg_t *msg)
{
  dks_leased_job_t *job;

  APR_RING_FOREACH (job, &leased->jobs, dks_leased_job_t, link)
    {
      leased->load.counts.job_visits++;
      dks_leased_task_t *task = dks_leased_prior_runs_handle_answer (job, peer, msg);

      if (task != NULL)
        {
          handle_prior_run_end (job, task, (dks_lent_result_t)msg->u.lent_done.result);
          return;
        }
    }
}

/* The job with the step that has this lend id, or NULL. */
static dks_leased_job_t *
job_find_by_lend_id (dks_leased_t *leased, uint64_t lend_id, uint32_t *step)
{
  dks_leased_job_t *job = apr_hash_get (leased->jobs_by_lend_id, &lend_id, sizeof (lend_id));

  leased->load.counts.jobs_compared++;
  for (*step = 0; job != NULL && job->step_lend_id[*step] != lend_id; ++*step)
    continue;
  return job;
}

void
dks_leased_jobs_handle_lent_done (dks_leased_t *leased, const char *peer, const dks_msg_t *msg)
{
  uint32_t step;
  dks_leased_job_t *job = job_find_by_lend_id (leased, msg->u.lent_done.request, &step);
  dks_leased_peer_t *remote_peer = dks_leased_peer_find (leased, peer);

  if (job == NULL)
    {
      handle_prior_runs_answer (leased, peer, msg);
      return;
    }
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      dks_leased_task_t *task = &job->tasks[i];

      if (task->state != DKS_LEASED_TASK_LENT || task->batch_step != step
          || task->index != msg->u.lent_done.index || task->run_number != msg->u.lent_done.run
          || task->remote_lost || strcmp (task->remote_leader, peer) != 0)
        continue;
      dks_metrics_increment (leased->metrics, DKS_LABELLED_TASKS_LENT, task->remote_data_centre,
                             dks_lent_result_name ((dks_lent_result_t)msg->u.lent_done.result));
      if (msg->u.lent_done.result == DKS_LENT_REFUSED && remote_peer != NULL)
        remote_peer->free_tasks = 0;
      if (msg->u.lent_done.result == DKS_LENT_LATE)
        dks_leased_jobs_give_up (job, i);
      else if (msg->u.lent_done.result == DKS_LENT_OK)
        task_finish (job, task);
      else if (msg->u.lent_done.result == DKS_LENT_REFUSED)
        task_requeue (job, task);
      else
        task_retry (job, task, msg->u.lent_done.result == DKS_LENT_FAILED);
      return;
    }
}

/* Stops the runs of lent tasks whose home leader is silent but connected. It may not have noticed,
 * so it is told once they have ended. */
static void
interrupt_lent (dks_leased_job_t *job)
{
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      if (job->tasks[i].state == DKS_LEASED_TASK_PLACED)
        dks_leased_run_stop_for_retry (job->tasks[i].current_run);
    }
}

void
dks_leased_jobs_handle_peer_unproven (dks_leased_t *leased, const char *peer)
{
  dks_leased_job_t *job;
  dks_leased_job_t *next;

  APR_RING_FOREACH_SAFE (job, next, &leased->jobs, dks_leased_job_t, link)
    {
      leased->load.counts.job_visits++;
      if (strcmp (job->origin, peer) != 0)
        continue;
      if (job->is_lent)
        interrupt_lent (job);
      else
        job_answer (job, DKS_BATCH_LOST, 0, "the messages of the instance arrive too late");
    }
}

void
dks_leased_jobs_handle_peer_lost (dks_leased_t *leased, const char *peer)
{
  const dks_leased_peer_t *lost = dks_leased_peer_find (leased, peer);
  bool is_connected = lost != NULL && lost->connected;
  dks_leased_job_t *job;
  dks_leased_job_t *next;

  dks_leased_lend_handle_remote_lost (leased, peer);
  dks_leased_prior_runs_handle_peer_lost (leased, peer);
  APR_RING_FOREACH_SAFE (job, next, &leased->jobs, dks_leased_job_t, link)
    {
      leased->load.counts.job_visits++;
      if (strcmp (job->origin, peer) != 0)
        continue;
      dks_emit_log (leased->r, DKS_LOG_INFO, "event=job-orphaned job=%s lent=%d sender=%s",
                    job->batch->id, job->is_lent, peer);
      if (job->is_lent && is_connected)
        interrupt_lent (job);
      else
        job_stop (job);
    }
}

void
dks_leased_jobs_drop_all (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->jobs, dks_leased_job_t, link))
    {
      dks_leased_job_t *job = APR_RING_FIRST (&leased->jobs);

      for (uint32_t i = 0; i < job->task_count; i++)
        {
          dks_leased_task_t *task = &job->tasks[i];

          if (task->state == DKS_LEASED_TASK_PLACED)
            task->current_run->job = NULL;
          else if (task->state == DKS_LEASED_TASK_LENT)
            task_cancel_lent (job, task);
        }
      dks_leased_prior_runs_cancel (job);
      dks_leased_job_free (job);
    }
}

void
dks_leased_jobs_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->jobs, dks_leased_job_t, link);
  leased->jobs_by_batch_id = apr_hash_make (leased->r->pool);
  leased->jobs_by_lend_id = apr_hash_make (leased->r->pool);
  leased->jobs_by_request = apr_hash_make (leased->r->pool);
}

void
dks_leased_jobs_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->jobs, dks_leased_job_t, link))
    dks_leased_job_free (APR_RING_FIRST (&leased->jobs));
}
