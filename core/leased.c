#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Time between two events that shows that this process has stalled: the status timer causes an
     event every 100 ms. */
  PAUSE_MIN_US = 500000
};

dks_leased_t *
dks_leased_create (dks_reducer_t *r)
{
  dks_leased_t *leased = dks_alloc (sizeof (*leased));

  leased->r = r;
  leased->metrics = dks_metrics_create ();
  dks_leased_prior_jobs_init (leased);
  dks_leased_addresses_init (leased);
  dks_leased_members_init (leased);
  dks_leased_estimate_init (leased);
  dks_leased_speeds_init (leased);
  dks_leased_crashes_init (leased);
  dks_leased_targets_init (leased);
  dks_leased_watch_init (leased);
  dks_leased_jobs_init (leased);
  dks_leased_entry_init (leased);
  dks_leased_feed_init (leased);
  return leased;
}

void
dks_leased_destroy (dks_leased_t *leased)
{
  if (leased == NULL)
    return;
  dks_leased_entry_clear (leased);
  dks_leased_jobs_clear (leased);
  dks_leased_plan_clear (leased);
  dks_leased_watch_clear (leased);
  dks_leased_targets_clear (leased);
  dks_leased_crashes_clear (leased);
  dks_leased_speeds_clear (leased);
  dks_leased_estimate_clear (leased);
  dks_leased_feed_clear (leased);
  dks_leased_members_clear (leased);
  dks_leased_addresses_clear (leased);
  dks_leased_prior_jobs_clear (leased);
  dks_metrics_destroy (leased->metrics);
  free (leased);
}

static void
handle_catalog_record (dks_leased_t *leased, const char *from, const dks_msg_t *msg)
{
  dks_catalog_t *catalog = NULL;
  dks_catalog_rejection_t rejection;

  /* The platform has delivered it since this instance asked for it. */
  if (leased->catalog != NULL && msg->u.record.version <= leased->catalog->version)
    return;
  if (dks_catalog_decode (msg->u.record.value, &catalog, &rejection) != DKS_OK)
    {
      dks_leased_feed_reject_catalog (leased, &rejection, from);
      return;
    }
  dks_leased_feed_apply_catalog (leased, catalog, from);
  dks_catalog_unref (catalog);
}

static void
handle_peer_msg (dks_leased_t *leased, const char *from, const dks_msg_t *msg)
{
  dks_leased_peer_t *peer = dks_leased_peer_find (leased, from);

  if (peer == NULL || !peer->connected)
    return;
  peer->last_message_us = leased->r->now.mono_us;
  switch (msg->type)
    {
    case DKS_MSG_LEASED_STATUS:
      dks_leased_members_handle_status (leased, peer, msg);
      break;
    case DKS_MSG_ADDRESSES:
      dks_leased_addresses_handle_msg (leased, peer, msg);
      dks_leased_leader_update (leased);
      break;
    case DKS_MSG_WORK:
      dks_leased_jobs_handle_work (leased, from, msg);
      break;
    case DKS_MSG_WORK_DONE:
      dks_leased_entry_handle_done (leased, from, msg);
      break;
    case DKS_MSG_WORK_CANCEL:
      dks_leased_jobs_handle_cancel (leased, from, msg->u.work_cancel.request);
      break;
    case DKS_MSG_LENT_DONE:
      dks_leased_jobs_handle_lent_done (leased, from, msg);
      break;
    case DKS_MSG_TARGETS:
      if (msg->u.targets.may_have_runs)
        dks_leased_share_handle_msg (leased, peer, msg);
      else
        dks_leased_feed_handle_targets (leased, from, msg);
      break;
    case DKS_MSG_SPEEDS:
      dks_leased_speeds_handle_msg (leased, msg);
      dks_leased_crashes_handle_msg (leased, msg);
      break;
    case DKS_MSG_RECORD:
      handle_catalog_record (leased, from, msg);
      break;
    case DKS_MSG_RECORD_ASK:
      dks_leased_feed_handle_record_ask (leased, from, msg);
      break;
    default:
      dks_emit_log (leased->r, DKS_LOG_WARNING, "event=unexpected-message peer=%s type=%s", from,
                    dks_msg_name (msg->type));
      break;
    }
}

/* Submissions through this project's own API have a payload for each task. Targets under lease do
 * not accept one. */
static void
refuse_submission (dks_leased_t *leased, uint64_t caller, const char *key)
{
  dks_effect_t *effect = dks_effects_add (leased->r->effects, DKS_EFFECT_REPLY);
  dks_answer_t *answer = dks_answer_create (key, DKS_OUTCOME_REFUSED, DKS_PROBLEM_NO_TARGET, 0);

  dks_strcpy (answer->detail, sizeof (answer->detail),
              "this instance serves batches for targets under lease only");
  effect->u.reply.caller = caller;
  effect->u.reply.answer = answer;
}

static void
refuse_edit (dks_leased_t *leased, uint64_t caller)
{
  dks_effect_t *effect = dks_effects_add (leased->r->effects, DKS_EFFECT_EDIT_REPLY);

  effect->u.edit_reply.caller = caller;
  effect->u.edit_reply.error = DKS_ERR_UNAVAILABLE;
  dks_strcpy (effect->u.edit_reply.detail, sizeof (effect->u.edit_reply.detail),
              "the configuration is changed at the platform");
}

void
dks_leased_handle_event (dks_leased_t *leased, const dks_event_t *event)
{
  int64_t pause_us = event->now.mono_us - leased->last_event_us;

  if (leased->last_event_us > 0 && pause_us > PAUSE_MIN_US)
    {
      dks_leased_leader_handle_pause (leased, pause_us);
      dks_leased_entry_handle_pause (leased);
    }
  leased->last_event_us = event->now.mono_us;
  dks_leased_load_record_event (leased, event);
  switch (event->type)
    {
    case DKS_EVENT_BATCH:
      dks_leased_entry_handle_batch (leased, event);
      break;
    case DKS_EVENT_CALLER_GONE:
      dks_leased_entry_handle_caller_gone (leased, event->u.caller_gone.caller);
      break;
    case DKS_EVENT_CALLERS_CHECKED:
      dks_leased_entry_handle_callers_checked (leased, event->u.callers_checked.checked_us);
      break;
    case DKS_EVENT_FEED:
      dks_leased_feed_handle_event (leased, event);
      break;
    case DKS_EVENT_LEASE_REPLY:
      dks_leased_targets_handle_reply (leased, event);
      break;
    case DKS_EVENT_PEER_UP:
      dks_leased_members_handle_up (leased, event->u.peer.peer, event->u.peer.data_centre);
      break;
    case DKS_EVENT_PEER_DOWN:
      dks_leased_members_handle_down (leased, event->u.peer.peer);
      break;
    case DKS_EVENT_PEER_REFUSED:
      dks_leased_members_handle_refused (leased, event->u.peer_refused.address);
      break;
    case DKS_EVENT_PEER_MSG:
      handle_peer_msg (leased, event->u.peer_msg.peer, event->u.peer_msg.msg);
      break;
    case DKS_EVENT_DRAIN:
      dks_leased_entry_handle_drain (leased);
      break;
    case DKS_EVENT_CONFIG:
      leased->r->config.remote_factor = event->u.config.config->remote_factor;
      leased->r->config.fill_gaps = event->u.config.config->fill_gaps;
      dks_leased_addresses_add_seeds (leased, event->u.config.config);
      break;
    case DKS_EVENT_SUBMIT:
      refuse_submission (leased, event->u.submit.caller, event->u.submit.submission->key);
      break;
    case DKS_EVENT_CANCEL:
    case DKS_EVENT_QUERY:
      refuse_submission (leased, event->u.key.caller, event->u.key.key);
      break;
    case DKS_EVENT_SETTINGS_EDIT:
      refuse_edit (leased, event->u.settings_edit.caller);
      break;
    default:
      break;
    }
}

bool
dks_leased_is_ready (const dks_leased_t *leased)
{
  return leased->drain_start_us == 0 && leased->catalog != NULL
         && dks_leased_leader_id (leased) != NULL && !dks_leased_feed_is_outdated (leased);
}

char *
dks_leased_status_json (const dks_leased_t *leased)
{
  const char *leader = dks_leased_leader_id (leased);
  json_t *evacuated = json_array ();
  json_t *json;
  char *text;

  for (uint32_t i = 0; i < leased->evacuations.count; i++)
    json_array_append_new (evacuated, json_string (leased->evacuations.names[i]));
  json = json_pack (
      "{s:s,s:s,s:I,s:I,s:I,s:I,s:s,s:b,s:I,s:I,s:I,s:I,s:o}", "member", leased->r->self, "leader",
      leader != NULL ? leader : "", "term", (json_int_t)leased->term, "catalog_version",
      (json_int_t)(leased->catalog != NULL ? leased->catalog->version : 0),
      "catalog_newest_version", (json_int_t)leased->newest_catalog.version, "catalog_behind_ms",
      (json_int_t)(dks_leased_feed_behind_us (leased) / 1000), "catalog_rejection",
      leased->newest_catalog.is_rejected ? leased->newest_catalog.rejection : "", "ready",
      (int)dks_leased_is_ready (leased), "requests", (json_int_t)leased->request_count, "jobs",
      (json_int_t)leased->job_count, "waiting_tasks", (json_int_t)leased->waiting_tasks,
      "free_tasks", (json_int_t)dks_leased_targets_free_tasks (leased), "evacuated", evacuated);
  text = json_dumps (json, JSON_COMPACT);
  DKS_INVARIANT (text != NULL);
  json_decref (json);
  return text;
}
