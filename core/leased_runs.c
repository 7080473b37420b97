#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time-out of a start. The run lists are then read to see whether the run exists. */
  START_TIMEOUT_MS = 150,
  /* Lease that a start sets, from when it is sent; a target rejects a start that arrives later. */
  START_LEASE_MS = 700,
  /* Time without starts for a target that rejected one for lack of resources. */
  FULL_PAUSE_US = 30000,
  /* Run numbers that a task skips when a target answers that one has been used before. */
  OLD_RUN_SKIP = 8,
};

void
dks_leased_run_reserve_resources (dks_leased_run_t *run)
{
  dks_leased_target_t *target = run->target;

  target->run_count++;
  target->cpu_used += run->cpu_milli;
  target->memory_used += run->memory_mb;
  target->accelerators_used += run->accelerators;
}

dks_leased_run_t *
dks_leased_run_create (dks_leased_target_t *target, const char *name, uint32_t number)
{
  dks_leased_run_t *run = dks_alloc (sizeof (*run));

  run->leased = target->leased;
  run->target = target;
  run->number = number;
  dks_strcpy (run->task_name, sizeof (run->task_name), name);
  APR_RING_INSERT_TAIL (&target->runs, run, dks_leased_run_t, link);
  /* An earlier entry is removed first: setting a value only would keep the key, which is stored in
   * the earlier run. */
  apr_hash_set (run->leased->runs_by_task_name, run->task_name, APR_HASH_KEY_STRING, NULL);
  apr_hash_set (run->leased->runs_by_task_name, run->task_name, APR_HASH_KEY_STRING, run);
  return run;
}

static void
run_set_stop_failed (dks_leased_run_t *run, bool is_failed)
{
  if (run->stop_failed == is_failed)
    return;
  run->stop_failed = is_failed;
  if (is_failed)
    run->target->failed_stops++;
  else
    run->target->failed_stops--;
}

void
dks_leased_run_free (dks_leased_run_t *run)
{
  dks_leased_target_t *target = run->target;
  dks_leased_t *leased = run->leased;

  if (run->op != 0)
    apr_hash_set (leased->runs_by_op, &run->op, sizeof (run->op), NULL);
  if (apr_hash_get (leased->runs_by_task_name, run->task_name, APR_HASH_KEY_STRING) == run)
    apr_hash_set (leased->runs_by_task_name, run->task_name, APR_HASH_KEY_STRING, NULL);
  run_set_stop_failed (run, false);
  target->run_count--;
  target->cpu_used -= run->cpu_milli;
  target->memory_used -= run->memory_mb;
  target->accelerators_used -= run->accelerators;
  APR_RING_REMOVE (run, link);
  free (run);
  leased->placement_due = true;
  dks_leased_members_notify_leaders (leased);
}

void
dks_leased_run_set_resources (dks_leased_run_t *run, const dks_batch_step_t *step)
{
  dks_leased_target_t *target = run->target;

  target->cpu_used += step->cpu_milli - run->cpu_milli;
  target->memory_used += step->memory_mb - run->memory_mb;
  target->accelerators_used += step->accelerators - run->accelerators;
  run->cpu_milli = step->cpu_milli;
  run->memory_mb = step->memory_mb;
  run->accelerators = step->accelerators;
}

void
dks_leased_run_end (dks_leased_run_t *run, bool ok, bool is_fault)
{
  if (run->job != NULL)
    dks_leased_jobs_handle_run_end (run->leased, run, ok, is_fault);
  run->job = NULL;
  dks_leased_run_free (run);
}

dks_leased_run_t *
dks_leased_target_find_run (dks_leased_target_t *target, const char *name, uint32_t number)
{
  dks_leased_run_t *run;

  APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
    {
      if (run->number == number && strcmp (run->task_name, name) == 0)
        return run;
    }
  return NULL;
}

void
dks_leased_run_log_unanswered (const dks_leased_run_t *run)
{
  dks_emit_log (run->leased->r, DKS_LOG_INFO,
                "event=start-unanswered task=%s run=%u target=%s waited_ms=%" PRId64,
                run->task_name, run->number, run->target->info.id,
                (dks_leased_now_us (run->leased) - run->start_sent_us) / 1000);
}

static void
run_record_run_time (dks_leased_run_t *run)
{
  dks_leased_t *leased = run->leased;
  double time_us = (double)(dks_leased_now_us (leased) - run->start_sent_us);

  if (run->adopted_us > 0 || run->expected_us <= 0 || run->job == NULL)
    return;
  dks_leased_target_record_slowness (run->target, time_us / run->expected_us);
  dks_metrics_observe (leased->metrics, DKS_HISTOGRAM_RUN, run->job->batch->queue,
                       (int64_t)time_us);
  dks_leased_estimate_record (leased, run->job->batch,
                              time_us * leased->mean_slowness
                                  / dks_leased_target_slowness (run->target));
  dks_leased_update_mean (&leased->mean_run_us, time_us, DKS_LEASED_MEAN_WEIGHT);
}

void
dks_leased_run_handle_end (dks_leased_run_t *run, dks_run_end_t end)
{
  bool is_task_fault = end == DKS_RUN_FAILED;

  if (run->job != NULL)
    dks_metrics_increment (run->leased->metrics, DKS_LABELLED_RUN_ENDS, run->job->batch->queue,
                           dks_run_end_name (end));

  if (end == DKS_RUN_DONE)
    run_record_run_time (run);
  if (end == DKS_RUN_DONE || is_task_fault)
    dks_leased_target_record_run_end (run->target, is_task_fault);
  if (end != DKS_RUN_DONE && run->job != NULL)
    {
      dks_counter_increment (&run->leased->r->counters, DKS_COUNTER_ATTEMPTS_FAILED);
      dks_emit_log (run->leased->r, DKS_LOG_INFO,
                    "event=run-ended task=%s run=%u target=%s end=%s ran_ms=%" PRId64,
                    run->task_name, run->number, run->target->info.id, dks_run_end_name (end),
                    (dks_leased_now_us (run->leased) - run->start_sent_us) / 1000);
    }
  dks_leased_run_end (run, end == DKS_RUN_DONE, is_task_fault);
}

/* Starts and stops */

void
dks_leased_run_start (dks_leased_t *leased, dks_leased_target_t *target, dks_leased_job_t *job,
                      uint32_t task_index)
{
  dks_leased_task_t *task = &job->tasks[task_index];
  const dks_batch_step_t *step = &job->batch->steps[task->batch_step];
  dks_effect_t *effect = dks_leased_target_call (target, DKS_EFFECT_LEASE_START, START_TIMEOUT_MS);
  char name[DKS_TASK_NAME_SIZE];
  dks_leased_run_t *run;

  dks_batch_task_name (job->batch->id, task->step, task->index, name);
  run = dks_leased_run_create (target, name, task->run_number);
  run->state = DKS_LEASED_RUN_STARTING;
  run->job = job;
  run->task_index = task_index;
  run->cpu_milli = step->cpu_milli;
  run->memory_mb = step->memory_mb;
  run->accelerators = step->accelerators;
  run->expected_us = dks_leased_estimate_run_us (leased, job->batch, task->batch_step);
  run->start_sent_us = dks_leased_now_us (leased);
  run->last_progress_us = dks_leased_now_us (leased);
  run->op = effect->u.lease.op;
  dks_leased_run_reserve_resources (run);
  task->current_run = run;
  apr_hash_set (leased->runs_by_op, &run->op, sizeof (run->op), run);
  dks_strcpy (effect->u.lease.task, sizeof (effect->u.lease.task), name);
  effect->u.lease.run = run->number;
  effect->u.lease.spec = dks_blob_ref (job->batch->spec);
  effect->u.lease.deadline_ms = dks_leased_target_deadline (target, START_LEASE_MS);
  target->lease_extended_us = dks_leased_now_us (leased);
  /* Capacity is counted in tasks of this size, so those that take none are left out. */
  if (step->cpu_milli > 0)
    dks_leased_update_mean (&leased->mean_cpu_milli, step->cpu_milli, DKS_LEASED_MEAN_WEIGHT);
  dks_counter_increment (&leased->r->counters, DKS_COUNTER_TASK_STARTS);
  dks_emit_log (leased->r, DKS_LOG_DEBUG, "event=run-sent task=%s run=%u target=%s", name,
                run->number, target->info.id);
  dks_leased_members_notify_leaders (leased);
}

static void
send_stop (dks_leased_run_t *run)
{
  dks_effect_t *effect =
      dks_leased_target_call (run->target, DKS_EFFECT_LEASE_STOP, DKS_LEASED_ANSWER_TIMEOUT_MS);

  if (run->op != 0)
    apr_hash_set (run->leased->runs_by_op, &run->op, sizeof (run->op), NULL);
  run->state = DKS_LEASED_RUN_STOPPING;
  run->stop_sent_us = dks_leased_now_us (run->leased);
  run->acked_us = 0;
  run_set_stop_failed (run, false);
  run->op = effect->u.lease.op;
  apr_hash_set (run->leased->runs_by_op, &run->op, sizeof (run->op), run);
  dks_strcpy (effect->u.lease.task, sizeof (effect->u.lease.task), run->task_name);
  effect->u.lease.run = run->number;
}

void
dks_leased_run_stop (dks_leased_run_t *run)
{
  dks_leased_run_release (run);
  if (run->state != DKS_LEASED_RUN_STOPPING)
    send_stop (run);
}

void
dks_leased_run_stop_for_retry (dks_leased_run_t *run)
{
  if (run->state != DKS_LEASED_RUN_STOPPING)
    send_stop (run);
}

void
dks_leased_run_retry_stop (dks_leased_run_t *run)
{
  if (run->stop_failed)
    send_stop (run);
}

/* Ends a run that was certainly not started, so that its task may start elsewhere. */
static void
run_handle_not_started (dks_leased_run_t *run, dks_lease_status_t status)
{
  dks_counter_increment (&run->leased->r->counters, DKS_COUNTER_ATTEMPTS_REFUSED);
  dks_emit_log (run->leased->r, DKS_LOG_INFO,
                "event=start-rejected task=%s run=%u target=%s reason=%s", run->task_name,
                run->number, run->target->info.id, dks_lease_status_name (status));
  dks_leased_run_end (run, false, status == DKS_LEASE_INVALID);
}

static void
handle_start_reply (dks_leased_run_t *run, const dks_event_t *event)
{
  dks_leased_target_t *target = run->target;
  dks_leased_t *leased = run->leased;
  dks_lease_status_t status = event->u.lease_reply.status;
  int64_t sent_us = run->start_sent_us;

  dks_metrics_increment (leased->metrics, DKS_LABELLED_LEASED_STARTS,
                         dks_lease_status_name (status), "");
  switch (status)
    {
    case DKS_LEASE_OK:
      dks_leased_target_handle_answer (target, sent_us, event->u.lease_reply.target_clock_ms);
      if (run->state == DKS_LEASED_RUN_STARTING)
        run->state = DKS_LEASED_RUN_RUNNING;
      run->acked_us = dks_leased_now_us (leased);
      dks_leased_target_hold (target);
      return;
    case DKS_LEASE_FENCED:
      dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=fenced target=%s fence=%" PRIu64,
                    target->info.id, target->fencing_token);
      dks_leased_leader_handle_fenced (leased);
      return;
    case DKS_LEASE_UNANSWERED:
      dks_leased_run_log_unanswered (run);
      /* A run list may have confirmed the run already. */
      run->state = run->acked_us > 0 ? DKS_LEASED_RUN_RUNNING : DKS_LEASED_RUN_UNCONFIRMED;
      dks_leased_target_poll (target);
      return;
    case DKS_LEASE_REFUSED:
      run_handle_not_started (run, status);
      dks_leased_target_handle_refused (target, sent_us);
      dks_leased_target_hold (target);
      return;
    case DKS_LEASE_NOT_SENT:
      dks_leased_target_handle_no_answer (target);
      dks_leased_target_hold (target);
      break;
    case DKS_LEASE_OTHER_INCARNATION:
      run_handle_not_started (run, status);
      dks_leased_target_handle_replaced (target);
      dks_leased_target_hold (target);
      return;
    case DKS_LEASE_NO_CAPACITY:
      target->full_until_us = dks_leased_now_us (leased) + FULL_PAUSE_US;
      dks_leased_target_poll (target);
      break;
    case DKS_LEASE_UNHEALTHY:
      dks_leased_target_record_run_end (target, true);
      dks_leased_target_eject (target, "unhealthy");
      break;
    case DKS_LEASE_LATE:
      dks_leased_target_discard_clock (target);
      break;
    case DKS_LEASE_OLD_RUN:
      /* An earlier sender of the job has started runs of the task there. */
      if (run->job != NULL)
        run->job->tasks[run->task_index].run_number += OLD_RUN_SKIP;
      break;
    case DKS_LEASE_INVALID:
      break;
    }
  run_handle_not_started (run, status);
}

/* The target has done nothing, or it is not known what it has done. `run_watch_timer` sends the
 * stop again. */
static void
handle_failed_stop (dks_leased_run_t *run, dks_lease_status_t status)
{
  run_set_stop_failed (run, true);
  dks_metrics_increment (run->leased->metrics, DKS_LABELLED_STOPS_FAILED,
                         dks_lease_status_name (status), "");
  dks_emit_log (run->leased->r, DKS_LOG_INFO,
                "event=stop-failed task=%s run=%u target=%s reason=%s", run->task_name, run->number,
                run->target->info.id, dks_lease_status_name (status));
  /* Calls without an answer show a silent target, which gets no further stops. */
  dks_leased_target_poll (run->target);
}

static void
handle_stop_reply (dks_leased_run_t *run, const dks_event_t *event)
{
  dks_leased_target_t *target = run->target;
  dks_lease_status_t status = event->u.lease_reply.status;

  switch (status)
    {
    case DKS_LEASE_FENCED:
      dks_leased_leader_handle_fenced (run->leased);
      return;
    case DKS_LEASE_OTHER_INCARNATION:
      dks_leased_target_handle_replaced (target);
      return;
    case DKS_LEASE_NOT_SENT:
    case DKS_LEASE_REFUSED:
    case DKS_LEASE_UNANSWERED:
    case DKS_LEASE_UNHEALTHY:
    case DKS_LEASE_INVALID:
    case DKS_LEASE_NO_CAPACITY:
    case DKS_LEASE_LATE:
      handle_failed_stop (run, status);
      return;
    case DKS_LEASE_OK:
    case DKS_LEASE_OLD_RUN:
      run->acked_us = dks_leased_now_us (run->leased);
      dks_leased_target_handle_answer (target, run->stop_sent_us,
                                       event->u.lease_reply.target_clock_ms);
      /* If the run was on the target, the run lists show its end; if not, they lack it. */
      if (target->hold_op == 0)
        dks_leased_target_hold (target);
      dks_leased_target_poll (target);
      return;
    }
}

void
dks_leased_run_handle_reply (dks_leased_run_t *run, const dks_event_t *event)
{
  apr_hash_set (run->leased->runs_by_op, &run->op, sizeof (run->op), NULL);
  run->op = 0;
  if (run->state == DKS_LEASED_RUN_STOPPING)
    handle_stop_reply (run, event);
  else
    handle_start_reply (run, event);
}

dks_leased_run_t *
dks_leased_run_find (dks_leased_t *leased, const char *name)
{
  return apr_hash_get (leased->runs_by_task_name, name, APR_HASH_KEY_STRING);
}
