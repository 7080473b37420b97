#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  LEASE_MS = 1000,         /* the platform's longest lease */
  HOLD_WAIT_MS = 300,      /* a hold waits this long for an end; three fit into a lease */
  CLOCK_JUMP_MS = 500,     /* a clock that is this much behind belongs to a new life */
  LAPSE_MARGIN_US = 60000, /* network and rounding, beyond the error of the target's clock */
  CLOCK_ERROR_PERCENT = 2, /* a target's clock may be slow by this much */
  RETRY_US = 200000,       /* between two looks at a silent target */
  OVERDUE_US =
      20000, /* a start sent this long before a list that lacks its run is taken for lost */
};

#define FIRST_CPU_MILLI 4000.0 /* size of a task before the first is known */
#define FIRST_RUN_US 200000.0  /* run time of a task before the first is known */

/* Calls */

dks_effect_t *
dks_ltarget_call (dks_ltarget_t *target, dks_effect_type_t type, int64_t timeout_ms)
{
  dks_effect_t *effect = dks_effects_add (target->leased->r->effects, type);

  effect->u.lease.op = dks_next_id (target->leased->r);
  effect->u.lease.fencing_token = (int64_t)target->fence;
  effect->u.lease.timeout_ms = timeout_ms;
  dks_strcpy (effect->u.lease.address, sizeof (effect->u.lease.address), target->info.address);
  dks_strcpy (effect->u.lease.target, sizeof (effect->u.lease.target), target->info.id);
  return effect;
}

int64_t
dks_ltarget_deadline (const dks_ltarget_t *target, int64_t ahead_ms)
{
  return dks_lnow_us (target->leased) / 1000 + target->clock_offset_ms + ahead_ms;
}

/* Longest time after `extended_us` in which a run may last although nobody hears of it. */
static int64_t
target_lapse_us (const dks_ltarget_t *target)
{
  return target->extended_us + INT64_C (1000) * LEASE_MS * (100 + CLOCK_ERROR_PERCENT) / 100
         + LAPSE_MARGIN_US;
}

static bool
may_extend (const dks_ltarget_t *target)
{
  return target->clock_known && target->adopted && target->silent_calls < DKS_LSILENT_CALLS_MAX;
}

static void
send_hold (dks_ltarget_t *target, int64_t wait_ms, uint64_t *op, int64_t *sent_us)
{
  dks_leased_t *leased = target->leased;
  dks_effect_t *effect =
      dks_ltarget_call (target, DKS_EFFECT_LEASE_HOLD, wait_ms + DKS_LANSWER_TIMEOUT_MS);

  *op = effect->u.lease.op;
  *sent_us = dks_lnow_us (leased);
  effect->u.lease.last_end_seen = target->last_seen;
  effect->u.lease.wait_ms = wait_ms;
  if (may_extend (target) && target->run_count > 0)
    {
      effect->u.lease.deadline_ms = dks_ltarget_deadline (target, LEASE_MS);
      target->extended_us = dks_lnow_us (leased);
    }
  apr_hash_set (leased->targets_by_op, op, sizeof (*op), target);
}

void
dks_ltarget_hold (dks_ltarget_t *target)
{
  bool settled = target->adopted && target->silent_calls == 0;

  if (!target->held || target->hold_op != 0 || dks_timer_is_armed (&target->hold_timer))
    return;
  if (settled && target->run_count == 0)
    return;
  send_hold (target, settled ? HOLD_WAIT_MS : 0, &target->hold_op, &target->hold_us);
}

void
dks_ltarget_look (dks_ltarget_t *target)
{
  if (!target->held)
    return;
  if (target->look_op != 0)
    {
      target->look_again = true;
      return;
    }
  target->look_again = false;
  send_hold (target, 0, &target->look_op, &target->look_us);
}

static void
target_forget_ops (dks_ltarget_t *target)
{
  apr_hash_t *by_op = target->leased->targets_by_op;

  if (target->hold_op != 0)
    apr_hash_set (by_op, &target->hold_op, sizeof (target->hold_op), NULL);
  if (target->look_op != 0)
    apr_hash_set (by_op, &target->look_op, sizeof (target->look_op), NULL);
  target->hold_op = 0;
  target->look_op = 0;
}

/* All runs have surely ended without a result. */
static void
target_end_all (dks_ltarget_t *target, const char *reason)
{
  if (!APR_RING_EMPTY (&target->runs, dks_lrun_t, link))
    dks_emit_log (target->leased->r, DKS_LOG_NOTICE, "event=runs-lost target=%s runs=%u reason=%s",
                  target->info.id, target->run_count, reason);
  while (!APR_RING_EMPTY (&target->runs, dks_lrun_t, link))
    {
      dks_metrics_count (target->leased->metrics, DKS_LABELLED_RUNS_LOST, reason, "");
      dks_lrun_end (APR_RING_FIRST (&target->runs), false, false);
    }
}

static void
target_release (dks_ltarget_t *target)
{
  dks_timers_t *timers = target->leased->r->timers;

  target_forget_ops (target);
  dks_timer_cancel (timers, &target->hold_timer);
  dks_timer_cancel (timers, &target->lapse_timer);
  target->held = false;
  target->adopted = false;
}

static void
handle_hold_timer (void *context, int64_t time_us)
{
  dks_ltarget_hold (context);
}

static void
target_free (dks_ltarget_t *target)
{
  dks_leased_t *leased = target->leased;

  while (!APR_RING_EMPTY (&target->runs, dks_lrun_t, link))
    dks_lrun_free (APR_RING_FIRST (&target->runs));
  target_release (target);
  apr_hash_set (leased->targets_by_id, target->info.id, APR_HASH_KEY_STRING, NULL);
  APR_RING_REMOVE (target, link);
  free (target);
}

static void
handle_lapse_timer (void *context, int64_t time_us)
{
  dks_ltarget_t *target = context;

  if (target->silent_calls >= DKS_LSILENT_CALLS_MAX && time_us >= target_lapse_us (target))
    target_end_all (target, "silent");
  if (!target->listed && target->run_count == 0)
    target_free (target);
  else if (!target->listed)
    dks_timer_set (target->leased->r->timers, &target->lapse_timer, time_us + RETRY_US);
}

void
dks_ltarget_note_silence (dks_ltarget_t *target)
{
  dks_timers_t *timers = target->leased->r->timers;

  target->silent_calls++;
  if (target->silent_calls == DKS_LSILENT_CALLS_MAX)
    dks_emit_log (target->leased->r, DKS_LOG_NOTICE, "event=target-silent target=%s runs=%u",
                  target->info.id, target->run_count);
  if (target->silent_calls >= DKS_LSILENT_CALLS_MAX && !dks_timer_is_armed (&target->lapse_timer))
    dks_timer_set (timers, &target->lapse_timer, target_lapse_us (target));
  if (target->silent_calls > 1)
    dks_timer_set (timers, &target->hold_timer, dks_lnow_us (target->leased) + RETRY_US);
}

void
dks_ltarget_note_answer (dks_ltarget_t *target, int64_t clock_ms)
{
  int64_t idle_ms = (dks_lnow_us (target->leased) - target->heard_us) / 1000;
  int64_t offset_ms;

  if (target->silent_calls >= DKS_LSILENT_CALLS_MAX)
    dks_emit_log (target->leased->r, DKS_LOG_NOTICE, "event=target-back target=%s",
                  target->info.id);
  target->silent_calls = 0;
  target->heard_us = dks_lnow_us (target->leased);
  if (target->listed)
    dks_timer_cancel (target->leased->r->timers, &target->lapse_timer);
  if (clock_ms == 0)
    return;
  /* The answer was written before now, so this never gives a later time than the target's. */
  offset_ms = clock_ms - dks_lnow_us (target->leased) / 1000 - 1;
  /* A target that has started anew counts its ends from 1 again. */
  if (target->clock_known && target->clock_offset_ms - offset_ms > CLOCK_JUMP_MS + idle_ms / 20)
    target->last_seen = 0;
  target->clock_offset_ms = offset_ms;
  target->clock_known = true;
}

/* The target has begun a new life: what was learned of it is void, and no fence is left. */
static void
target_begin_life (dks_ltarget_t *target, int64_t born_ms)
{
  target->born_ms = born_ms;
  target->last_seen = 0;
  target->clock_known = false;
  target->adopted = false;
  target->slowness = 0;
  target->samples = 0;
  target->failure_rate = 0;
  target->ejected_until_us = 0;
  target->ejections = 0;
}

void
dks_ltarget_note_replaced (dks_ltarget_t *target)
{
  target_end_all (target, "replaced");
  target_begin_life (target, 0);
}

/* Lists of runs */

static void
adopt_run (dks_ltarget_t *target, const dks_active_run_t *row)
{
  dks_leased_t *leased = target->leased;
  dks_lrun_t *run = dks_lrun_create (target, row->task, row->run);
  const dks_service_entry_t *service =
      leased->catalog != NULL ? dks_catalog_service (leased->catalog, target->info.service) : NULL;

  run->state = DKS_LRUN_RUNNING;
  /* Its size is not known. A target that guards its room rejects what does not fit; another one
   * gets nothing more until the run has ended or been claimed. */
  run->cpu_milli = service != NULL && service->enforces_capacity ? (uint32_t)leased->cpu_mean
                                                                 : target->info.cpu_milli;
  run->started_us = dks_lnow_us (leased);
  run->acked_us = dks_lnow_us (leased);
  run->adopted_us = dks_lnow_us (leased);
  run->progress_us = dks_lnow_us (leased);
  run->percent = row->percent_done;
  dks_lrun_take_room (run);
}

/* Brings what we know of the runs in line with the list of a call sent at `sent_us`. */
static void
handle_running (dks_ltarget_t *target, const dks_run_lists_t *lists, int64_t sent_us)
{
  dks_lrun_t *run;
  dks_lrun_t *next;

  for (size_t i = 0; i < lists->running_count; i++)
    {
      const dks_active_run_t *row = &lists->running[i];

      run = dks_ltarget_find_run (target, row->task, row->run);
      if (run == NULL)
        {
          adopt_run (target, row);
          continue;
        }
      if (run->state == DKS_LRUN_UNSURE)
        run->state = DKS_LRUN_RUNNING;
      if (run->acked_us == 0)
        run->acked_us = dks_lnow_us (target->leased);
      if (row->percent_done > run->percent)
        run->progress_us = dks_lnow_us (target->leased);
      run->percent = row->percent_done;
      run->reported_us = dks_lnow_us (target->leased);
      run->seen_us = sent_us;
    }
  APR_RING_FOREACH_SAFE (run, next, &target->runs, dks_lrun_t, link)
    {
      if (run->seen_us == sent_us || run->adopted_us == dks_lnow_us (target->leased))
        continue;
      /* Not in the list although the start was answered before the list was asked for; or the
       * stop was, which fences the run off. */
      if ((run->state == DKS_LRUN_RUNNING || run->state == DKS_LRUN_STOPPING) && run->acked_us > 0
          && run->acked_us <= sent_us)
        dks_lrun_end (run, false, false);
      else if (run->state == DKS_LRUN_STARTING && sent_us - run->started_us >= OVERDUE_US)
        {
          dks_lrun_log_unanswered (run);
          dks_lrun_fence (run);
        }
      else if (run->state == DKS_LRUN_UNSURE && run->op == 0 && run->started_us < sent_us)
        dks_lrun_fence (run);
    }
}

static void
handle_lists (dks_ltarget_t *target, const dks_run_lists_t *lists, int64_t sent_us)
{
  if (lists->incarnation_ms != 0 && target->born_ms != 0
      && lists->incarnation_ms != target->born_ms)
    {
      dks_emit_log (target->leased->r, DKS_LOG_NOTICE, "event=target-restarted target=%s runs=%u",
                    target->info.id, target->run_count);
      /* A start may have reached the new life before we heard of it, so the lists decide which of
       * the runs are gone. */
      target_begin_life (target, lists->incarnation_ms);
      target->clock_known = true; /* by the answer that brought the lists */
    }
  if (lists->incarnation_ms != 0)
    target->born_ms = lists->incarnation_ms;
  for (size_t i = 0; i < lists->ended_count; i++)
    {
      const dks_ended_run_t *row = &lists->ended[i];
      dks_lrun_t *run;

      if (row->number <= target->last_seen)
        continue;
      target->last_seen = row->number;
      run = dks_ltarget_find_run (target, row->task, row->run);
      if (run != NULL)
        dks_lrun_handle_end (run, row->end);
    }
  handle_running (target, lists, sent_us);
}

static void
handle_hold_reply (dks_ltarget_t *target, const dks_event_t *event, bool is_look)
{
  dks_leased_t *leased = target->leased;
  int64_t sent_us = is_look ? target->look_us : target->hold_us;
  bool was_adopted = target->adopted;

  dks_metrics_count (leased->metrics, DKS_LABELLED_HOLDS,
                     dks_lease_status_name (event->u.lease_reply.status), "");
  if (is_look)
    target->look_op = 0;
  else
    target->hold_op = 0;
  switch (event->u.lease_reply.status)
    {
    case DKS_LEASE_OK:
      dks_ltarget_note_answer (target, event->u.lease_reply.target_clock_ms);
      handle_lists (target, event->u.lease_reply.lists, sent_us);
      target->adopted = true;
      if (!was_adopted)
        leased->pump_wanted = true;
      break;
    case DKS_LEASE_FENCED:
      dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=fenced target=%s fence=%" PRIu64,
                    target->info.id, target->fence);
      dks_lleader_handle_fenced (leased);
      return;
    case DKS_LEASE_OTHER_INCARNATION:
      dks_ltarget_note_replaced (target);
      dks_timer_set (leased->r->timers, &target->hold_timer, dks_lnow_us (leased) + RETRY_US);
      break;
    case DKS_LEASE_NOT_SENT:
    case DKS_LEASE_UNANSWERED:
      dks_ltarget_note_silence (target);
      break;
    default:
      dks_emit_log (leased->r, DKS_LOG_WARNING, "event=hold-rejected target=%s status=%s",
                    target->info.id, dks_lease_status_name (event->u.lease_reply.status));
      dks_timer_set (leased->r->timers, &target->hold_timer, dks_lnow_us (leased) + RETRY_US);
      break;
    }
  if (target->look_again && target->look_op == 0)
    dks_ltarget_look (target);
  dks_ltarget_hold (target);
}

void
dks_ltargets_handle_reply (dks_leased_t *leased, const dks_event_t *event)
{
  uint64_t op = event->u.lease_reply.op;
  dks_ltarget_t *target = apr_hash_get (leased->targets_by_op, &op, sizeof (op));
  dks_lrun_t *run = apr_hash_get (leased->runs_by_op, &op, sizeof (op));

  if (target != NULL)
    {
      apr_hash_set (leased->targets_by_op,
                    op == target->hold_op ? &target->hold_op : &target->look_op, sizeof (op), NULL);
      handle_hold_reply (target, event, op == target->look_op);
    }
  else if (run != NULL)
    dks_lrun_handle_reply (run, event);
}

/* The list of targets */

static bool
is_ours (const dks_leased_t *leased, const dks_ltarget_t *target)
{
  return strcmp (target->info.data_centre, leased->r->config.data_centre) == 0;
}

static void
target_take (dks_ltarget_t *target)
{
  dks_leased_t *leased = target->leased;

  target->held = true;
  target->adopted = false;
  target->fence = leased->term;
  target->last_seen = 0;
  target->silent_calls = 0;
  target->hold_op = 0;
  target->look_op = 0;
  /* Until the lists have been read, whatever ran there may have been extended just now. */
  target->extended_us = dks_lnow_us (leased);
  dks_ltarget_hold (target);
}

static dks_ltarget_t *
target_create (dks_leased_t *leased, const dks_target_info_t *info)
{
  dks_ltarget_t *target = dks_alloc (sizeof (*target));

  target->leased = leased;
  target->info = *info;
  APR_RING_INIT (&target->runs, dks_lrun_t, link);
  dks_timer_init (&target->hold_timer, handle_hold_timer, target);
  dks_timer_init (&target->lapse_timer, handle_lapse_timer, target);
  APR_RING_INSERT_TAIL (&leased->targets, target, dks_ltarget_t, link);
  apr_hash_set (leased->targets_by_id, target->info.id, APR_HASH_KEY_STRING, target);
  return target;
}

/* The platform lists a new life of the target under its old name. */
static void
handle_new_life (dks_ltarget_t *target)
{
  if (!target->held)
    {
      target_begin_life (target, target->info.incarnation_ms);
      return;
    }
  /* Its lists tell what is left of our runs; until then it gets nothing. */
  target->adopted = false;
  dks_ltarget_look (target);
}

void
dks_ltargets_put (dks_leased_t *leased, const dks_target_info_t *info)
{
  dks_ltarget_t *target = apr_hash_get (leased->targets_by_id, info->id, APR_HASH_KEY_STRING);

  if (target == NULL)
    target = target_create (leased, info);
  else
    {
      if (info->leaving && !target->info.leaving)
        dks_emit_log (leased->r, DKS_LOG_INFO, "event=target-leaving target=%s", info->id);
      target->info = *info;
      if (info->incarnation_ms != 0 && target->born_ms != 0
          && info->incarnation_ms > target->born_ms)
        handle_new_life (target);
    }
  target->listed = true;
  target->generation = leased->feeds[DKS_FEED_TARGETS].generation;
  if (!target->held && leased->term > 0 && is_ours (leased, target))
    target_take (target);
  leased->pump_wanted = true;
}

void
dks_ltargets_remove (dks_leased_t *leased, const char *id)
{
  dks_ltarget_t *target = apr_hash_get (leased->targets_by_id, id, APR_HASH_KEY_STRING);

  if (target == NULL || !target->listed)
    return;
  dks_emit_log (leased->r, DKS_LOG_INFO, "event=target-unlisted target=%s runs=%u", id,
                target->run_count);
  target->listed = false;
  target->unlisted_us = dks_lnow_us (leased);
  if (!target->held)
    target_free (target);
  else if (!dks_timer_is_armed (&target->lapse_timer))
    dks_timer_set (leased->r->timers, &target->lapse_timer,
                   dks_lnow_us (leased) + DKS_LUNLISTED_GRACE_US);
}

void
dks_ltargets_handle_leadership (dks_leased_t *leased)
{
  dks_ltarget_t *target;
  dks_ltarget_t *next;

  APR_RING_FOREACH_SAFE (target, next, &leased->targets, dks_ltarget_t, link)
    {
      if (leased->term > 0 && !target->held && is_ours (leased, target))
        target_take (target);
      else if (leased->term == 0 && target->held)
        {
          while (!APR_RING_EMPTY (&target->runs, dks_lrun_t, link))
            dks_lrun_free (APR_RING_FIRST (&target->runs));
          target_release (target);
          if (!target->listed)
            target_free (target);
        }
    }
}

bool
dks_ltargets_are_adopted (const dks_leased_t *leased)
{
  const dks_ltarget_t *target;

  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    {
      if (target->held && !target->adopted && dks_lnow_us (leased) < target_lapse_us (target))
        return false;
    }
  return leased->term > 0 && dks_lfeed_knows_targets (leased);
}

void
dks_ltargets_send (dks_leased_t *leased, const char *peer)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_TARGETS);
  const dks_ltarget_t *target;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    count += target->listed;
  msg->u.targets.items = dks_alloc ((count + 1) * sizeof (msg->u.targets.items[0]));
  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    {
      if (target->listed)
        msg->u.targets.items[msg->u.targets.count++] = target->info;
    }
  dks_emit_peer (leased->r, peer, msg);
}

void
dks_ltargets_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->targets, dks_ltarget_t, link);
  leased->targets_by_id = apr_hash_make (leased->r->pool);
  leased->targets_by_op = apr_hash_make (leased->r->pool);
  leased->runs_by_op = apr_hash_make (leased->r->pool);
  leased->runs_by_name = apr_hash_make (leased->r->pool);
  leased->cpu_mean = FIRST_CPU_MILLI;
  leased->run_mean_us = FIRST_RUN_US;
  leased->slowness_mean = 1;
}

void
dks_ltargets_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->targets, dks_ltarget_t, link))
    target_free (APR_RING_FIRST (&leased->targets));
}
