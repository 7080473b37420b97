#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"
#include "common/hash.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HOLD_WAIT_MS = 300, /* time that a hold waits for a run end; three holds fit into a lease */
  /* A target whose clock falls back by more than this is taken for a new incarnation. */
  CLOCK_JUMP_MS = 500,
  /* Time between two holds of a target that does not answer or rejects them, and between two checks
   * whether an unlisted target still has runs. */
  RETRY_DELAY_US = 200000,
  /* Time for which an instance that does not lead remembers a target that is not listed any more:
     its leader may have runs there, which a successor has to find. */
  UNLISTED_RETENTION_US = 5000000,
  /* Targets of this data centre that are remembered although the platform does not list them, on
   * an instance that does not lead: one that the platform does not answer drops none by age. */
  UNLISTED_TARGETS_MAX = 1024,
  /* Time without an answer to the call that is to confirm the term, after which all other targets
   * are called as well. */
  CONFIRMATION_OVERDUE_US = 40000,
  /* A start without an answer is taken for lost if the call that returned a list without its run
   * was sent at least this long after the start. */
  START_LOST_AFTER_US = 20000,
};

/* Mean size of a task until the first one is known, thousandths of a processor. */
#define INITIAL_MEAN_CPU_MILLI 4000.0
#define INITIAL_MEAN_RUN_US 200000.0 /* mean run time of a task until the first one is known */

/* Calls */

dks_effect_t *
dks_leased_target_call (dks_leased_target_t *target, dks_effect_type_t type, int64_t timeout_ms)
{
  dks_effect_t *effect = dks_effects_add (target->leased->r->effects, type);

  effect->u.lease.op = dks_next_id (target->leased->r);
  effect->u.lease.fencing_token = (int64_t)target->fencing_token;
  effect->u.lease.timeout_ms = timeout_ms;
  dks_strcpy (effect->u.lease.address, sizeof (effect->u.lease.address), target->info.address);
  dks_strcpy (effect->u.lease.target, sizeof (effect->u.lease.target), target->info.id);
  return effect;
}

/* Time by which all runs of a target that does not answer have ended. */
static int64_t
target_expiry_us (const dks_leased_target_t *target)
{
  return dks_leased_lease_end_us (target->lease_extended_us);
}

/* Whether a call may extend the lease. Runs of an earlier leader that no job has claimed end with
 * the lease that it gave them: the callers whose connection was lost with it submit their jobs
 * again. */
static bool
may_extend_lease (const dks_leased_target_t *target)
{
  const dks_leased_run_t *run;

  if (!target->clock_known || !target->synced
      || target->unanswered_calls >= DKS_LEASED_UNANSWERED_CALLS_MAX)
    return false;
  APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
    {
      if (run->job != NULL)
        return true;
    }
  return false;
}

static void
send_hold (dks_leased_target_t *target, int64_t wait_ms, uint64_t *op, int64_t *sent_us,
           int64_t *last_end_seen)
{
  dks_leased_t *leased = target->leased;
  dks_effect_t *effect = dks_leased_target_call (target, DKS_EFFECT_LEASE_HOLD,
                                                 wait_ms + DKS_LEASED_ANSWER_TIMEOUT_MS);

  *op = effect->u.lease.op;
  *sent_us = dks_leased_now_us (leased);
  *last_end_seen = target->last_end_number;
  effect->u.lease.last_end_seen = *last_end_seen;
  effect->u.lease.wait_ms = wait_ms;
  if (may_extend_lease (target))
    {
      effect->u.lease.deadline_ms = dks_leased_target_deadline (target, DKS_LEASED_LEASE_MS);
      target->lease_extended_us = dks_leased_now_us (leased);
    }
  apr_hash_set (leased->targets_by_op, op, sizeof (*op), target);
}

void
dks_leased_target_hold (dks_leased_target_t *target)
{
  bool is_up_to_date = target->synced && target->unanswered_calls == 0;

  if (!target->held || target->hold_op != 0 || dks_timer_is_armed (&target->hold_timer))
    return;
  if (is_up_to_date && target->run_count == 0)
    return;
  send_hold (target, is_up_to_date ? HOLD_WAIT_MS : 0, &target->hold_op, &target->hold_sent_us,
             &target->hold_last_end_seen);
}

void
dks_leased_target_poll (dks_leased_target_t *target)
{
  if (!target->held)
    return;
  if (target->poll_op != 0)
    {
      target->poll_again = true;
      return;
    }
  target->poll_again = false;
  send_hold (target, 0, &target->poll_op, &target->poll_sent_us, &target->poll_last_end_seen);
}

static void
target_forget_ops (dks_leased_target_t *target)
{
  apr_hash_t *by_op = target->leased->targets_by_op;

  if (target->hold_op != 0)
    apr_hash_set (by_op, &target->hold_op, sizeof (target->hold_op), NULL);
  if (target->poll_op != 0)
    apr_hash_set (by_op, &target->poll_op, sizeof (target->poll_op), NULL);
  target->hold_op = 0;
  target->poll_op = 0;
}

static void
run_lose (dks_leased_run_t *run, const char *reason)
{
  dks_leased_t *leased = run->leased;

  dks_metrics_increment (leased->metrics, DKS_LABELLED_RUNS_LOST, reason, "");
  dks_emit_log (leased->r, DKS_LOG_INFO,
                "event=run-lost task=%s run=%u target=%s reason=%s ran_ms=%" PRId64, run->task_name,
                run->number, run->target->info.id, reason,
                (dks_leased_now_us (leased) - run->start_sent_us) / 1000);
  dks_leased_run_end (run, false, false);
}

/* Ends all runs of the target as lost, since they have certainly ended without a result. */
static void
target_end_all_runs (dks_leased_target_t *target, const char *reason)
{
  if (!APR_RING_EMPTY (&target->runs, dks_leased_run_t, link))
    dks_emit_log (target->leased->r, DKS_LOG_NOTICE, "event=runs-lost target=%s runs=%u reason=%s",
                  target->info.id, target->run_count, reason);
  while (!APR_RING_EMPTY (&target->runs, dks_leased_run_t, link))
    run_lose (APR_RING_FIRST (&target->runs), reason);
}

static void
target_release_control (dks_leased_target_t *target)
{
  dks_timers_t *timers = target->leased->r->timers;

  target_forget_ops (target);
  dks_timer_cancel (timers, &target->hold_timer);
  dks_timer_cancel (timers, &target->expiry_timer);
  target->held = false;
  target->synced = false;
  target->clock_awaited = false;
}

static void
handle_hold_timer (void *context, int64_t time_us)
{
  dks_leased_target_hold (context);
}

static void
target_free (dks_leased_target_t *target)
{
  dks_leased_t *leased = target->leased;

  while (!APR_RING_EMPTY (&target->runs, dks_leased_run_t, link))
    dks_leased_run_free (APR_RING_FIRST (&target->runs));
  dks_leased_crashes_confirm (target);
  target_release_control (target);
  apr_hash_set (leased->targets_by_id, target->info.id, APR_HASH_KEY_STRING, NULL);
  APR_RING_REMOVE (target, link);
  free (target);
}

/* Whether a target that is not listed is of no use any more. */
static bool
may_drop (const dks_leased_target_t *target)
{
  const dks_leased_t *leased = target->leased;
  int64_t now_us = dks_leased_now_us (leased);

  if (target->listed || target->run_count > 0)
    return false;
  /* An earlier leader may have runs there until their leases have expired. */
  if (target->held)
    return target->synced || now_us - leased->term_start_us >= DKS_LEASED_ORPHAN_LIFETIME_MAX_US;
  /* The platform may list it, but has not answered since a leader stated that it is in use. */
  return target->noted_us == 0
         || (now_us - target->noted_us >= DKS_LEASED_NOTED_RETENTION_US
             && leased->feeds[DKS_FEED_TARGETS].last_answer_us > target->noted_us);
}

/* Drops the target, which is not listed any more, after a while. */
static void
target_schedule_drop (dks_leased_target_t *target)
{
  dks_timer_set (
      target->leased->r->timers, &target->expiry_timer,
      target->unlisted_us
          + (target->held ? (int64_t)DKS_LEASED_UNLISTED_GRACE_US : UNLISTED_RETENTION_US));
}

static void
handle_expiry_timer (void *context, int64_t time_us)
{
  dks_leased_target_t *target = context;
  dks_leased_t *leased = target->leased;
  char data_centre[DKS_NAME_SIZE];

  if (target->unanswered_calls >= DKS_LEASED_UNANSWERED_CALLS_MAX
      && time_us >= target_expiry_us (target))
    target_end_all_runs (target, target->connection_refused ? "crashed" : "silent");
  if (may_drop (target))
    {
      dks_strcpy (data_centre, sizeof (data_centre), target->info.data_centre);
      target_free (target);
      dks_leased_data_centre_check (leased, data_centre);
    }
  else if (!target->listed)
    dks_timer_set (target->leased->r->timers, &target->expiry_timer, time_us + RETRY_DELAY_US);
}

void
dks_leased_target_handle_no_answer (dks_leased_target_t *target)
{
  dks_timers_t *timers = target->leased->r->timers;

  target->unanswered_calls++;
  if (target->unanswered_calls == DKS_LEASED_UNANSWERED_CALLS_MAX)
    dks_emit_log (target->leased->r, DKS_LOG_NOTICE, "event=target-silent target=%s runs=%u",
                  target->info.id, target->run_count);
  if (target->unanswered_calls >= DKS_LEASED_UNANSWERED_CALLS_MAX && target->connection_refused)
    dks_leased_crashes_record (target, NULL, true);
  if (target->unanswered_calls >= DKS_LEASED_UNANSWERED_CALLS_MAX
      && !dks_timer_is_armed (&target->expiry_timer))
    dks_timer_set (timers, &target->expiry_timer, target_expiry_us (target));
  if (target->unanswered_calls > 1)
    dks_timer_set (timers, &target->hold_timer,
                   dks_leased_now_us (target->leased) + RETRY_DELAY_US);
}

void
dks_leased_target_handle_refused (dks_leased_target_t *target, int64_t sent_us)
{
  /* Replies on different connections may overtake each other: the refusal of a call that was sent
   * before the latest answer was received may be older than that answer. */
  if (sent_us > target->last_answer_us)
    target->connection_refused = true;
  dks_leased_target_handle_no_answer (target);
}

void
dks_leased_target_handle_answer (dks_leased_target_t *target, int64_t sent_us, int64_t clock_ms)
{
  int64_t idle_ms = (dks_leased_now_us (target->leased) - target->last_answer_us) / 1000;
  int64_t offset_ms;

  if (target->unanswered_calls >= DKS_LEASED_UNANSWERED_CALLS_MAX)
    dks_emit_log (target->leased->r, DKS_LOG_NOTICE, "event=target-back target=%s",
                  target->info.id);
  target->unanswered_calls = 0;
  target->connection_refused = false;
  target->last_answer_us = dks_leased_now_us (target->leased);
  if (target->listed)
    dks_timer_cancel (target->leased->r->timers, &target->expiry_timer);
  /* The answer to a call that was sent before a restart was seen may tell the clock of the earlier
   * incarnation, by which deadlines would be far ahead. */
  if (clock_ms == 0 || sent_us < target->restart_seen_us)
    return;
  /* The answer was written before it was received, so a time of the target's clock that is computed
   * with this offset is never ahead of that clock. */
  offset_ms = clock_ms - dks_leased_now_us (target->leased) / 1000 - 1;
  /* A new incarnation of the target numbers its run ends from 1 again. */
  if (target->clock_known && target->clock_offset_ms - offset_ms > CLOCK_JUMP_MS + idle_ms / 20)
    target->last_end_number = 0;
  target->clock_offset_ms = offset_ms;
  target->clock_read_us = dks_leased_now_us (target->leased);
  target->clock_known = true;
}

/* Resets what is known of the target, since it has begun a new incarnation, which has not seen the
 * fencing token either. */
static void
target_begin_incarnation (dks_leased_target_t *target, int64_t incarnation_ms)
{
  dks_leased_crashes_confirm (target);
  target->incarnation_ms = incarnation_ms;
  target->last_end_number = 0;
  target->clock_known = false;
  target->synced = false;
  target->slowness = 0;
  target->slowness_samples = 0;
  target->failure_rate = 0;
  target->ejected_until_us = 0;
  target->ejections = 0;
}

void
dks_leased_target_handle_replaced (dks_leased_target_t *target)
{
  dks_leased_crashes_record (target, NULL, false);
  target_end_all_runs (target, "replaced");
  target_begin_incarnation (target, 0);
}

/* Run lists */

static void
adopt_run (dks_leased_target_t *target, const dks_active_run_t *row)
{
  dks_leased_t *leased = target->leased;
  dks_leased_run_t *run = dks_leased_run_create (target, row->task, row->run);
  const dks_service_entry_t *service =
      leased->catalog != NULL ? dks_catalog_service (leased->catalog, target->info.service) : NULL;

  run->state = DKS_LEASED_RUN_RUNNING;
  /* The size of the run is not known. A target that enforces its capacity rejects starts that do
   * not fit; any other target gets no start until the run has ended or been assigned to its job. */
  run->cpu_milli = service != NULL && service->rejects_excess_runs
                       ? (uint32_t)leased->mean_cpu_milli
                       : target->info.cpu_milli;
  run->start_sent_us = dks_leased_now_us (leased);
  run->acked_us = dks_leased_now_us (leased);
  run->adopted_us = dks_leased_now_us (leased);
  run->last_progress_us = dks_leased_now_us (leased);
  run->progress_percent = row->percent_done;
  dks_leased_run_reserve_resources (run);
}

/* Whether a run has ended that is missing in the list which a call sent at `sent_us` returned. */
static bool
unlisted_run_has_ended (const dks_leased_run_t *run, int64_t sent_us)
{
  /* Its start was answered before the call was sent; or its stop was, after which it cannot start.
   */
  if ((run->state == DKS_LEASED_RUN_RUNNING || run->state == DKS_LEASED_RUN_STOPPING)
      && run->acked_us > 0 && run->acked_us <= sent_us)
    return true;
  /* No stop was carried out, but a start that did not arrive by now is too late. */
  return run->stop_failed && sent_us >= dks_leased_lease_end_us (run->start_sent_us);
}

/* Updates the known runs of the target by the list of running ones that a call sent at `sent_us`
 * returned. */
static void
handle_running_list (dks_leased_target_t *target, const dks_run_lists_t *lists, int64_t sent_us)
{
  dks_leased_run_t *run;
  dks_leased_run_t *next;

  for (size_t i = 0; i < lists->running_count; i++)
    {
      const dks_active_run_t *row = &lists->running[i];

      run = dks_leased_target_find_run (target, row->task, row->run);
      if (run == NULL)
        {
          adopt_run (target, row);
          continue;
        }
      if (run->state == DKS_LEASED_RUN_UNCONFIRMED)
        run->state = DKS_LEASED_RUN_RUNNING;
      if (run->acked_us == 0)
        run->acked_us = dks_leased_now_us (target->leased);
      if (row->percent_done > run->progress_percent)
        run->last_progress_us = dks_leased_now_us (target->leased);
      run->progress_percent = row->percent_done;
      run->last_report_us = dks_leased_now_us (target->leased);
      run->last_list_sent_us = sent_us;
    }
  APR_RING_FOREACH_SAFE (run, next, &target->runs, dks_leased_run_t, link)
    {
      if (run->last_list_sent_us == sent_us
          || run->adopted_us == dks_leased_now_us (target->leased))
        continue;
      if (unlisted_run_has_ended (run, sent_us))
        dks_leased_run_end (run, false, false);
      else if (run->state == DKS_LEASED_RUN_STARTING
               && sent_us - run->start_sent_us >= START_LOST_AFTER_US)
        {
          dks_leased_run_log_unanswered (run);
          dks_leased_run_stop_for_retry (run);
        }
      else if (run->state == DKS_LEASED_RUN_UNCONFIRMED && run->op == 0
               && run->start_sent_us < sent_us)
        dks_leased_run_stop_for_retry (run);
    }
}

/* Whether an earlier incarnation of the target may have written the lists, and another one has been
 * seen since the call for them was sent. */
static bool
lists_are_outdated (const dks_leased_target_t *target, const dks_run_lists_t *lists,
                    int64_t sent_us)
{
  return lists->incarnation_ms != 0 && target->incarnation_ms != 0
         && lists->incarnation_ms != target->incarnation_ms && sent_us < target->restart_seen_us;
}

/* Handles the lists that a call returned which was sent at `sent_us` and named `last_end_seen`. */
static void
handle_run_lists (dks_leased_target_t *target, const dks_event_t *event, int64_t sent_us,
                  int64_t last_end_seen)
{
  const dks_run_lists_t *lists = event->u.lease_reply.lists;

  if (lists->incarnation_ms != 0 && target->incarnation_ms != 0
      && lists->incarnation_ms != target->incarnation_ms)
    {
      dks_emit_log (target->leased->r, DKS_LOG_NOTICE, "event=target-restarted target=%s runs=%u",
                    target->info.id, target->run_count);
      /* A start may have reached the new incarnation before this leader knew of it, so the run
       * lists decide which of the runs are gone. */
      dks_leased_crashes_record (target, lists, false);
      target_begin_incarnation (target, lists->incarnation_ms);
      target->restart_seen_us = dks_leased_now_us (target->leased);
      target->clock_known = event->u.lease_reply.target_clock_ms != 0;
      last_end_seen = 0;
    }
  else if (lists->incarnation_ms != 0 && target->incarnation_ms != 0)
    dks_leased_crashes_withdraw (target);
  if (lists->incarnation_ms != 0)
    target->incarnation_ms = lists->incarnation_ms;
  for (size_t i = 0; i < lists->ended_count; i++)
    {
      const dks_ended_run_t *row = &lists->ended[i];
      dks_leased_run_t *run;

      last_end_seen = row->number;
      if (row->number <= target->last_end_number)
        continue;
      target->last_end_number = row->number;
      run = dks_leased_target_find_run (target, row->task, row->run);
      if (run != NULL)
        dks_leased_run_handle_end (run, row->end);
    }
  /* Lists that lack a known end were written before it, and may show its run as running. */
  if (last_end_seen < target->last_end_number)
    target->poll_again = true;
  else
    handle_running_list (target, lists, sent_us);
}

static void
handle_hold_reply (dks_leased_target_t *target, const dks_event_t *event, bool is_poll)
{
  dks_leased_t *leased = target->leased;
  int64_t sent_us = is_poll ? target->poll_sent_us : target->hold_sent_us;
  int64_t last_end_seen = is_poll ? target->poll_last_end_seen : target->hold_last_end_seen;
  bool was_synced = target->synced;
  bool clock_was_awaited = is_poll && target->clock_awaited;

  dks_metrics_increment (leased->metrics, DKS_LABELLED_HOLDS,
                         dks_lease_status_name (event->u.lease_reply.status), "");
  if (is_poll)
    target->poll_op = 0;
  else
    target->hold_op = 0;
  if (clock_was_awaited)
    {
      target->clock_awaited = false;
      leased->placement_due = true;
    }
  switch (event->u.lease_reply.status)
    {
    case DKS_LEASE_OK:
      if (lists_are_outdated (target, event->u.lease_reply.lists, sent_us))
        {
          dks_emit_log (leased->r, DKS_LOG_INFO, "event=target-lists-outdated target=%s",
                        target->info.id);
          dks_leased_target_handle_answer (target, sent_us, 0);
          target->poll_again = true;
          break;
        }
      dks_leased_target_handle_answer (target, sent_us, event->u.lease_reply.target_clock_ms);
      handle_run_lists (target, event, sent_us, last_end_seen);
      target->synced = true;
      if (sent_us > leased->term_confirmed_us)
        leased->term_confirmed_us = sent_us;
      if (!was_synced || leased->term_confirmation_due)
        leased->placement_due = true;
      /* Who still waits for a later answer says so again. */
      leased->term_confirmation_due = false;
      break;
    case DKS_LEASE_FENCED:
      dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=fenced target=%s fence=%" PRIu64,
                    target->info.id, target->fencing_token);
      dks_leased_leader_handle_fenced (leased);
      return;
    case DKS_LEASE_OTHER_INCARNATION:
      dks_leased_target_handle_replaced (target);
      dks_timer_set (leased->r->timers, &target->hold_timer,
                     dks_leased_now_us (leased) + RETRY_DELAY_US);
      break;
    case DKS_LEASE_REFUSED:
      dks_leased_target_handle_refused (target, sent_us);
      break;
    case DKS_LEASE_NOT_SENT:
    case DKS_LEASE_UNANSWERED:
      dks_leased_target_handle_no_answer (target);
      break;
    default:
      dks_emit_log (leased->r, DKS_LOG_WARNING, "event=hold-rejected target=%s status=%s",
                    target->info.id, dks_lease_status_name (event->u.lease_reply.status));
      dks_timer_set (leased->r->timers, &target->hold_timer,
                     dks_leased_now_us (leased) + RETRY_DELAY_US);
      break;
    }
  if (clock_was_awaited && !dks_leased_target_clock_is_recent (target))
    target->full_until_us = dks_leased_now_us (leased) + RETRY_DELAY_US;
  if (target->poll_again && target->poll_op == 0)
    dks_leased_target_poll (target);
  dks_leased_target_hold (target);
}

void
dks_leased_targets_handle_reply (dks_leased_t *leased, const dks_event_t *event)
{
  uint64_t op = event->u.lease_reply.op;
  dks_leased_target_t *target = apr_hash_get (leased->targets_by_op, &op, sizeof (op));
  dks_leased_run_t *run = apr_hash_get (leased->runs_by_op, &op, sizeof (op));

  if (target != NULL)
    {
      apr_hash_set (leased->targets_by_op,
                    op == target->hold_op ? &target->hold_op : &target->poll_op, sizeof (op), NULL);
      handle_hold_reply (target, event, op == target->poll_op);
    }
  else if (run != NULL)
    dks_leased_run_handle_reply (run, event);
}

/* The list of targets */

static bool
is_local (const dks_leased_t *leased, const dks_leased_target_t *target)
{
  return strcmp (target->info.data_centre, leased->r->config.data_centre) == 0;
}

/* Adds the target to the digest of the listed ones, or removes it. */
static void
toggle_in_digest (const dks_leased_target_t *target)
{
  if (is_local (target->leased, target))
    target->leased->targets_digest ^=
        dks_hash_text (target->info.id, (uint64_t)target->info.incarnation_ms);
}

static void
target_take_control (dks_leased_target_t *target)
{
  dks_leased_t *leased = target->leased;

  target->held = true;
  target->synced = false;
  target->fencing_token = leased->term;
  target->last_end_number = 0;
  target->unanswered_calls = 0;
  target->hold_op = 0;
  target->poll_op = 0;
  /* Until the run lists have been read, the previous leader may have extended the lease of runs on
   * the target just now. */
  target->lease_extended_us = dks_leased_now_us (leased);
  dks_leased_target_hold (target);
}

static dks_leased_target_t *
target_create (dks_leased_t *leased, const dks_target_info_t *info)
{
  dks_leased_target_t *target = dks_alloc (sizeof (*target));

  target->leased = leased;
  target->info = *info;
  APR_RING_INIT (&target->runs, dks_leased_run_t, link);
  dks_timer_init (&target->hold_timer, handle_hold_timer, target);
  dks_timer_init (&target->expiry_timer, handle_expiry_timer, target);
  APR_RING_INSERT_TAIL (&leased->targets, target, dks_leased_target_t, link);
  apr_hash_set (leased->targets_by_id, target->info.id, APR_HASH_KEY_STRING, target);
  return target;
}

/* The platform lists a new incarnation of the target under the same id. */
static void
handle_new_incarnation (dks_leased_target_t *target)
{
  if (!target->held)
    {
      target_begin_incarnation (target, target->info.incarnation_ms);
      return;
    }
  /* The target's run lists show which runs of this leader are left; until they have been read, the
   * target gets no start. */
  target->synced = false;
  dks_leased_target_poll (target);
}

/* Whether a successor may not find the runs that this leader will start on the target. */
static bool
is_new_to_others (const dks_leased_t *leased, const dks_leased_target_t *target,
                  const dks_target_info_t *info)
{
  if (leased->term == 0 || strcmp (info->data_centre, leased->r->config.data_centre) != 0)
    return false;
  return target == NULL || !target->listed || info->incarnation_ms > target->info.incarnation_ms
         || strcmp (info->address, target->info.address) != 0;
}

void
dks_leased_targets_put (dks_leased_t *leased, const dks_target_info_t *info)
{
  dks_leased_target_t *target = apr_hash_get (leased->targets_by_id, info->id, APR_HASH_KEY_STRING);
  bool share_due = is_new_to_others (leased, target, info);

  if (target == NULL)
    target = target_create (leased, info);
  else
    {
      if (target->listed)
        toggle_in_digest (target);
      if (info->leaving && !target->info.leaving)
        dks_emit_log (leased->r, DKS_LOG_INFO, "event=target-leaving target=%s", info->id);
      target->info = *info;
      if (info->incarnation_ms != 0 && target->incarnation_ms != 0
          && info->incarnation_ms > target->incarnation_ms)
        handle_new_incarnation (target);
    }
  dks_leased_data_centre_add (leased, info->data_centre);
  if (!target->listed && target->unanswered_calls < DKS_LEASED_UNANSWERED_CALLS_MAX)
    dks_timer_cancel (leased->r->timers, &target->expiry_timer);
  target->listed = true;
  toggle_in_digest (target);
  target->share_due = target->share_due || share_due;
  leased->targets_share_due = leased->targets_share_due || share_due;
  target->feed_generation = leased->feeds[DKS_FEED_TARGETS].generation;
  if (!target->held && leased->term > 0 && is_local (leased, target))
    target_take_control (target);
  leased->placement_due = true;
}

/* Drops the target of which no leader has stated for the longest time that it may have runs there,
 * when there are too many that are not listed. */
static void
make_room_for_unlisted (dks_leased_t *leased)
{
  dks_leased_target_t *target;
  dks_leased_target_t *oldest = NULL;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (target->listed || target->held || !is_local (leased, target))
        continue;
      count++;
      if (oldest == NULL || target->noted_us < oldest->noted_us)
        oldest = target;
    }
  if (count >= UNLISTED_TARGETS_MAX)
    target_free (oldest);
}

void
dks_leased_targets_note (dks_leased_t *leased, const dks_target_info_t *info)
{
  dks_leased_target_t *target = apr_hash_get (leased->targets_by_id, info->id, APR_HASH_KEY_STRING);

  if (strcmp (info->data_centre, leased->r->config.data_centre) != 0)
    return;
  if (target == NULL)
    {
      dks_emit_log (leased->r, DKS_LOG_INFO, "event=target-noted target=%s", info->id);
      make_room_for_unlisted (leased);
      target = target_create (leased, info);
      target->unlisted_us = dks_leased_now_us (leased) - DKS_LEASED_UNLISTED_GRACE_US;
      dks_timer_set (leased->r->timers, &target->expiry_timer,
                     dks_leased_now_us (leased) + UNLISTED_RETENTION_US);
      if (leased->term > 0)
        target_take_control (target);
    }
  else if (info->incarnation_ms > target->info.incarnation_ms)
    {
      if (target->listed)
        toggle_in_digest (target);
      target->info = *info;
      if (target->listed)
        toggle_in_digest (target);
      if (target->incarnation_ms != 0 && info->incarnation_ms > target->incarnation_ms)
        handle_new_incarnation (target);
    }
  target->noted_us = dks_leased_now_us (leased);
}

void
dks_leased_targets_remove (dks_leased_t *leased, const char *id)
{
  dks_leased_target_t *target = apr_hash_get (leased->targets_by_id, id, APR_HASH_KEY_STRING);

  if (target == NULL || !target->listed)
    return;
  dks_emit_log (leased->r, DKS_LOG_INFO, "event=target-unlisted target=%s runs=%u", id,
                target->run_count);
  target->listed = false;
  toggle_in_digest (target);
  target->unlisted_us = dks_leased_now_us (leased);
  if (!dks_timer_is_armed (&target->expiry_timer))
    target_schedule_drop (target);
}

/* Until when runs of earlier leaders may go on unknown to this one, whose term begins. The earlier
 * leader may have been this instance before it was restarted. Any other one that was lost before it
 * could tell of its targets, or that is not heard, extends leases until one of its calls is
 * rejected for its fencing token. */
static int64_t
unknown_runs_until_us (const dks_leased_t *leased)
{
  int64_t now_us = dks_leased_now_us (leased);

  if (leased->targets_told_us > 0
      && now_us - leased->targets_told_us < DKS_LEASED_NOTED_RETENTION_US)
    return 0;
  if (!dks_leased_members_has_local_peer (leased))
    return dks_leased_lease_end_us (leased->start_us);
  return dks_leased_lease_end_us (now_us + INT64_C (1000) * HOLD_WAIT_MS);
}

bool
dks_leased_targets_may_be_unknown (const dks_leased_t *leased)
{
  return dks_leased_now_us (leased) < leased->unknown_runs_until_us;
}

void
dks_leased_targets_handle_leadership (dks_leased_t *leased)
{
  dks_leased_target_t *target;
  dks_leased_target_t *next;

  leased->unknown_runs_until_us = leased->term > 0 ? unknown_runs_until_us (leased) : 0;
  APR_RING_FOREACH_SAFE (target, next, &leased->targets, dks_leased_target_t, link)
    {
      if (leased->term > 0 && !target->held && is_local (leased, target))
        target_take_control (target);
      else if (leased->term == 0 && target->held)
        {
          while (!APR_RING_EMPTY (&target->runs, dks_leased_run_t, link))
            dks_leased_run_free (APR_RING_FIRST (&target->runs));
          target_release_control (target);
          if (target->listed)
            continue;
          target->noted_us = dks_leased_now_us (leased);
          target_schedule_drop (target);
        }
    }
}

/* Whether another leader of the data centre may have runs for the sender of a job or question that
 * was received at `since_us`: it extends their leases until it has stopped leading, or has noticed
 * that the sender is lost to it. */
static bool
may_have_rival (const dks_leased_t *leased, int64_t since_us)
{
  int64_t now_us = dks_leased_now_us (leased);

  return now_us < since_us + DKS_LEASED_ORPHAN_LIFETIME_MAX_US
         && now_us < dks_leased_lease_end_us (dks_leased_leader_rival_until_us (leased));
}

bool
dks_leased_targets_are_synced (const dks_leased_t *leased, int64_t job_received_us)
{
  int64_t now_us = dks_leased_now_us (leased);
  bool may_be_used = may_have_rival (leased, job_received_us);
  const dks_leased_target_t *target;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (!target->held || target->synced)
        continue;
      /* An earlier leader may reach the target. */
      if (may_be_used || now_us < target_expiry_us (target))
        return false;
    }
  return leased->term > 0 && dks_leased_feed_knows_targets (leased);
}

/* Whether a call to the target may show that no later leader has taken its place. */
static bool
may_confirm_term (const dks_leased_target_t *target)
{
  return target->held && target->synced
         && target->unanswered_calls < DKS_LEASED_UNANSWERED_CALLS_MAX;
}

bool
dks_leased_targets_confirm_term (dks_leased_t *leased, int64_t since_us)
{
  dks_leased_target_t *target;
  dks_leased_target_t *latest = NULL;
  bool has_synced = false;
  bool is_overdue;

  if (leased->term_confirmed_us >= since_us)
    return true;
  leased->term_confirmation_due = true;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      has_synced = has_synced || (target->held && target->synced);
      if (may_confirm_term (target)
          && (latest == NULL || target->last_answer_us > latest->last_answer_us))
        latest = target;
    }
  /* None was ever reached, and the leases there have expired; or all that were are silent since,
   * and a later leader may reach them, unless all instances that could lead are heard. */
  if (latest == NULL)
    return !has_synced || !may_have_rival (leased, since_us);
  is_overdue = latest->poll_sent_us >= since_us
               && dks_leased_now_us (leased) - latest->poll_sent_us >= CONFIRMATION_OVERDUE_US;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if ((target == latest || (is_overdue && may_confirm_term (target)))
          && target->poll_sent_us < since_us)
        dks_leased_target_poll (target);
    }
  return false;
}

void
dks_leased_targets_send_list (dks_leased_t *leased, const char *peer)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_TARGETS);
  const dks_leased_target_t *target;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    count += target->listed;
  msg->u.targets.items = dks_alloc ((count + 1) * sizeof (msg->u.targets.items[0]));
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (target->listed)
        msg->u.targets.items[msg->u.targets.count++] = target->info;
    }
  dks_emit_peer (leased->r, peer, msg);
}

void
dks_leased_targets_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->targets, dks_leased_target_t, link);
  leased->targets_digest = dks_hash_text (leased->r->config.data_centre, 0) | 1;
  leased->targets_by_id = apr_hash_make (leased->r->pool);
  leased->targets_by_op = apr_hash_make (leased->r->pool);
  leased->runs_by_op = apr_hash_make (leased->r->pool);
  leased->runs_by_task_name = apr_hash_make (leased->r->pool);
  leased->mean_cpu_milli = INITIAL_MEAN_CPU_MILLI;
  leased->mean_run_us = INITIAL_MEAN_RUN_US;
  leased->mean_slowness = 1;
}

void
dks_leased_targets_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->targets, dks_leased_target_t, link))
    target_free (APR_RING_FIRST (&leased->targets));
}
