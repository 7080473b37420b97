#include "core/reducer.h"

#include "common/alloc.h"
#include "common/hash.h"
#include "core/leased.h"
#include "core/state.h"

#include <apr_general.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Longest wait of an instance without work until it has left the view, which the platform may
   * hold up. After it, the others treat the instance as failed. */
  LEAVE_MAX_US = 20000000
};

#define VIEW_KEY_PREFIX "view/"

/* Functions used by the other source files of the reducer */

uint64_t
dks_next_id (dks_reducer_t *r)
{
  return ++r->next_id;
}

uint64_t
dks_random (dks_reducer_t *r)
{
  return dks_random_next (&r->random);
}

void
dks_emit_log (dks_reducer_t *r, dks_log_level_t level, const char *format, ...)
{
  dks_effect_t *effect = dks_effects_add (r->effects, DKS_EFFECT_LOG);
  va_list args;

  effect->u.log.level = level;
  va_start (args, format);
  vsnprintf (effect->u.log.text, sizeof (effect->u.log.text), format, args);
  va_end (args);
}

void
dks_emit_peer (dks_reducer_t *r, const char *peer, dks_msg_t *msg)
{
  dks_effect_t *effect = dks_effects_add (r->effects, DKS_EFFECT_PEER_SEND);

  dks_strcpy (effect->u.peer_send.peer, sizeof (effect->u.peer_send.peer), peer);
  effect->u.peer_send.msg = msg;
  if (r->leased != NULL)
    dks_leased_load_record_sent (r->leased, msg);
  if (msg->type != DKS_MSG_HEARTBEAT)
    dks_counter_increment (&r->counters, DKS_COUNTER_PEER_MESSAGES);
}

void
dks_settings_values (dks_reducer_t *r, const char *service, const char *team,
                     dks_settings_values_t *values)
{
  dks_settings_resolve (r->settings, service, r->config.data_centre, team, values);
}

/* Events */

static void
handle_peer_down (dks_reducer_t *r, const char *peer)
{
  dks_members_handle_down (r, peer);
  dks_jobs_handle_peer_down (r, peer);
  dks_owner_handle_peer_down (r, peer);
  dks_entry_route_all (r);
}

static void
handle_peer_up (dks_reducer_t *r, const char *peer, const char *data_centre)
{
  dks_members_handle_up (r, peer, data_centre);
  dks_owner_review (r);
  dks_entry_route_all (r);
}

static void
handle_record (dks_reducer_t *r, const char *key, int64_t version, dks_blob_t *value)
{
  if (strcmp (key, "settings") == 0)
    dks_settings_ops_handle_record (r, version, value);
  else if (strncmp (key, VIEW_KEY_PREFIX, strlen (VIEW_KEY_PREFIX)) == 0)
    dks_view_handle_record (r, key + strlen (VIEW_KEY_PREFIX), version, value);
}

static void
handle_forward (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  dks_waiter_t waiter = { .request = msg->u.forward.request,
                          .digest = msg->u.forward.submission->digest };

  dks_strcpy (waiter.peer, sizeof (waiter.peer), peer->id);
  dks_owner_submit (r, msg->u.forward.submission, &waiter);
}

static void
handle_ask (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  /* Request id 0 is an owner's query to the runner of a claim; it waits for the final answer. */
  dks_waiter_t waiter = { .request = msg->u.ask.request,
                          .is_query = !msg->u.ask.cancel && msg->u.ask.request != 0 };

  dks_strcpy (waiter.peer, sizeof (waiter.peer), peer->id);
  dks_owner_query_or_cancel (r, msg->u.ask.key, msg->u.ask.cancel, &waiter);
}

static void
handle_answer (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  /* Request id 0 is an owner's query to the runner of a claim. */
  if (msg->u.answer.request == 0)
    dks_owner_handle_runner_answer (r, msg->u.answer.answer->key, msg->u.answer.answer);
  else
    dks_entry_handle_answer (r, peer->id, msg->u.answer.request, msg->u.answer.answer);
}

static void
handle_peer_msg (dks_reducer_t *r, const char *from, const dks_msg_t *msg)
{
  dks_peer_t *peer = dks_peer_find (r, from);

  if (peer == NULL || !peer->up)
    return;
  peer->last_heard_us = r->now.mono_us;
  switch (msg->type)
    {
    case DKS_MSG_HEARTBEAT:
      dks_members_handle_heartbeat (r, peer, msg);
      break;
    case DKS_MSG_FORWARD:
      handle_forward (r, peer, msg);
      break;
    case DKS_MSG_ASK:
      handle_ask (r, peer, msg);
      break;
    case DKS_MSG_ANSWER:
      handle_answer (r, peer, msg);
      break;
    case DKS_MSG_CLAIM:
      dks_owner_handle_claim (r, from, msg);
      break;
    case DKS_MSG_CONFIRM:
      dks_owner_handle_confirm (r, from, msg);
      break;
    case DKS_MSG_CLAIM_ACK:
      dks_owner_handle_ack (r, from, msg);
      break;
    case DKS_MSG_RESULT:
      dks_owner_handle_result (r, from, msg);
      break;
    case DKS_MSG_SNAPSHOT:
      dks_owner_handle_snapshot (r, from, msg);
      break;
    case DKS_MSG_SNAPSHOT_ACK:
      dks_owner_handle_snapshot_ack (r, from, msg);
      break;
    case DKS_MSG_DEMAND:
      dks_lend_handle_demand (r, peer, msg);
      break;
    case DKS_MSG_GRANT:
      dks_lend_handle_grant (r, peer, msg);
      break;
    case DKS_MSG_GRANT_RETURN:
      dks_lend_handle_return (r, peer, msg);
      break;
    case DKS_MSG_RUN:
      dks_jobs_handle_run (r, peer, msg);
      break;
    case DKS_MSG_RUN_DONE:
      dks_jobs_handle_run_done (r, from, msg);
      break;
    case DKS_MSG_RUN_ABORT:
      dks_jobs_handle_run_abort (r, from, msg);
      break;
    case DKS_MSG_RECORD:
      handle_record (r, msg->u.record.key, msg->u.record.version, msg->u.record.value);
      break;
    case DKS_MSG_RECORD_ASK:
      dks_members_send_records (r, from);
      break;
    case DKS_MSG_LEASED_STATUS:
    case DKS_MSG_ADDRESSES:
    case DKS_MSG_WORK:
    case DKS_MSG_WORK_DONE:
    case DKS_MSG_WORK_CANCEL:
    case DKS_MSG_LENT_DONE:
    case DKS_MSG_TARGETS:
    case DKS_MSG_SPEEDS:
      /* Sent only by instances whose targets run tasks under leases. */
    case DKS_MSG_TYPE_COUNT:
      break;
    }
}

static void
handle_store_reply (dks_reducer_t *r, const dks_event_t *event)
{
  uint64_t op = event->u.store_reply.op;

  if (op == 0)
    return;
  if (op == r->view_op)
    dks_view_handle_reply (r, event->u.store_reply.status, event->u.store_reply.version,
                           event->u.store_reply.value);
  else if (op == r->settings_op)
    dks_settings_ops_handle_reply (r, event->u.store_reply.status, event->u.store_reply.version,
                                   event->u.store_reply.value);
}

static void
handle_drain (dks_reducer_t *r)
{
  if (r->draining)
    return;
  r->draining = true;
  r->drain_start_us = r->now.mono_us;
  dks_emit_log (r, DKS_LOG_NOTICE, "event=drain-start");
  dks_view_review (r);
}

bool
dks_drain_is_final (const dks_reducer_t *r)
{
  return r->draining && r->request_count == 0 && dks_jobs_backlog (r) == 0
         && !dks_view_has_role (dks_own_view (r), r->self);
}

static void
exit_if_drained (dks_reducer_t *r)
{
  bool is_member = dks_view_member (dks_own_view (r), r->self) != NULL;

  if (!r->draining || r->exit_sent)
    return;
  if (r->request_count > 0 || r->attempt_count > 0 || dks_jobs_backlog (r) > 0
      || !APR_RING_EMPTY (&r->edits, dks_edit_t, link))
    {
      r->work_done_us = 0;
      return;
    }
  if (r->work_done_us == 0)
    r->work_done_us = r->now.mono_us;
  if (is_member && r->now.mono_us - r->work_done_us < LEAVE_MAX_US)
    return;
  if (is_member)
    dks_emit_log (r, DKS_LOG_WARNING, "event=drain-end reason=\"the view cannot be left\"");
  r->exit_sent = true;
  dks_emit_log (r, DKS_LOG_NOTICE, "event=drain-end");
  dks_effects_add (r->effects, DKS_EFFECT_EXIT);
}

static void
handle_event (dks_reducer_t *r, const dks_event_t *event)
{
  switch (event->type)
    {
    case DKS_EVENT_TICK:
      break;
    case DKS_EVENT_SUBMIT:
      dks_entry_handle_submit (r, event->u.submit.caller, event->u.submit.submission);
      break;
    case DKS_EVENT_CANCEL:
    case DKS_EVENT_QUERY:
      dks_entry_handle_query_or_cancel (r, event->u.key.caller, event->u.key.key,
                                        event->type == DKS_EVENT_CANCEL);
      break;
    case DKS_EVENT_CALLER_GONE:
      dks_entry_handle_caller_gone (r, event->u.caller_gone.caller);
      break;
    case DKS_EVENT_PEER_UP:
      handle_peer_up (r, event->u.peer.peer, event->u.peer.data_centre);
      break;
    case DKS_EVENT_PEER_DOWN:
      handle_peer_down (r, event->u.peer.peer);
      break;
    case DKS_EVENT_PEER_MSG:
      handle_peer_msg (r, event->u.peer_msg.peer, event->u.peer_msg.msg);
      break;
    case DKS_EVENT_TARGET_REPLY:
      dks_jobs_handle_target_reply (r, event->u.target_reply.attempt, event->u.target_reply.status,
                                    event->u.target_reply.leaving, event->u.target_reply.body);
      break;
    case DKS_EVENT_STORE_REPLY:
      handle_store_reply (r, event);
      break;
    case DKS_EVENT_STORE_RECORD:
      handle_record (r, event->u.store_record.key, event->u.store_record.version,
                     event->u.store_record.value);
      break;
    case DKS_EVENT_INSTANCE_LIST:
      dks_members_handle_list (r, event->u.instance_list.items, event->u.instance_list.count);
      break;
    case DKS_EVENT_SETTINGS_EDIT:
      dks_settings_ops_handle_edit (r, event->u.settings_edit.caller, &event->u.settings_edit.edit);
      break;
    case DKS_EVENT_DRAIN:
      handle_drain (r);
      break;
    case DKS_EVENT_CONFIG: /* only leased targets have configuration that may change at run time */
    case DKS_EVENT_BATCH:
    case DKS_EVENT_PEER_REFUSED: /* other members are known by the platform's list */
    case DKS_EVENT_FEED:
    case DKS_EVENT_LEASE_REPLY:
    case DKS_EVENT_CALLERS_CHECKED:
      /* Sent only by hosts of leased targets. */
      break;
    }
}

static void
handle_leased_event (dks_reducer_t *r, const dks_event_t *event)
{
  dks_leased_handle_event (r->leased, event);
  dks_timers_run (r->timers, r->now.mono_us);
  if (r->leased->placement_due)
    dks_leased_starts_place_waiting (r->leased);
  if (r->exit_sent || !dks_leased_entry_is_drained (r->leased))
    return;
  r->exit_sent = true;
  dks_emit_log (r, DKS_LOG_NOTICE, "event=drain-end requests=%u", r->leased->request_count);
  dks_effects_add (r->effects, DKS_EFFECT_EXIT);
}

void
dks_reducer_apply (dks_reducer_t *r, const dks_event_t *event, dks_effects_t *effects)
{
  r->effects = effects;
  r->now = event->now;
  dks_counter_increment (&r->counters, DKS_COUNTER_EVENTS);
  if (r->leased != NULL)
    {
      handle_leased_event (r, event);
      r->effects = NULL;
      return;
    }
  /* A gap of half the failure timeout between events means that this process was paused, and not
   * that its peers were silent. */
  if (r->now.mono_us - r->last_event_us > r->config.failure_timeout_us / 2)
    dks_members_reset_silence (r);
  r->last_event_us = r->now.mono_us;
  handle_event (r, event);
  dks_timers_run (r->timers, r->now.mono_us);
  dks_jobs_dispatch (r);
  exit_if_drained (r);
  r->effects = NULL;
}

int64_t
dks_reducer_next_us (const dks_reducer_t *r)
{
  return dks_timers_next_us (r->timers);
}

/* Life cycle and read access */

dks_reducer_t *
dks_reducer_create (const dks_config_t *config, dks_time_t now)
{
  dks_reducer_t *r = dks_alloc (sizeof (*r));
  dks_effects_t effects = { 0 };

  apr_initialize ();
  apr_pool_create (&r->pool, NULL);
  r->config = *config;
  r->now = now;
  r->running_since_us = now.mono_us;
  r->last_event_us = now.mono_us;
  r->random = config->seed;
  r->effects = &effects;
  snprintf (r->self, sizeof (r->self), "%.*s#%016" PRIx64, DKS_NAME_SIZE - 18, config->id,
            config->incarnation);
  for (size_t i = 0; i < config->data_centre_count; i++)
    {
      if (strcmp (config->data_centres[i], config->data_centre) == 0)
        r->own_data_centre = (int)i;
    }
  r->timers = dks_timers_create ();
  if (config->leased_targets)
    {
      r->leased = dks_leased_create (r);
      r->settings = dks_settings_create ();
      dks_effects_destroy (&effects);
      r->effects = NULL;
      return r;
    }
  dks_settings_ops_init (r);
  dks_entry_init (r);
  dks_owner_init (r);
  dks_jobs_init (r);
  dks_lend_init (r);
  dks_members_init (r);
  dks_view_ops_init (r);
  dks_effects_destroy (&effects);
  r->effects = NULL;
  return r;
}

void
dks_reducer_destroy (dks_reducer_t *r)
{
  if (r == NULL)
    return;
  if (r->leased != NULL)
    {
      dks_leased_destroy (r->leased);
      dks_settings_unref (r->settings);
    }
  else
    {
      dks_entry_clear (r);
      dks_jobs_clear (r);
      dks_owner_clear (r);
      dks_members_clear (r);
      dks_settings_ops_clear (r);
    }
  dks_timers_destroy (r->timers);
  apr_pool_destroy (r->pool);
  free (r);
  apr_terminate ();
}

bool
dks_reducer_is_ready (const dks_reducer_t *r)
{
  return r->leased != NULL && dks_leased_is_ready (r->leased);
}

const char *
dks_reducer_member_id (const dks_reducer_t *r)
{
  return r->self;
}

const dks_counters_t *
dks_reducer_counters (const dks_reducer_t *r)
{
  return &r->counters;
}

const dks_settings_t *
dks_reducer_settings (const dks_reducer_t *r)
{
  return r->settings;
}
