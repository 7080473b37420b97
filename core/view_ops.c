#include "core/state.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <string.h>

enum
{
  STORE_RETRY_US = 200000, /* pause after a failed store operation, plus a random part of as much */
  STORE_OP_TIMEOUT_US = 5000000 /* a store operation without a reply is abandoned after this time */
};

const dks_view_t *
dks_own_view (const dks_reducer_t *r)
{
  return &r->views[r->own_data_centre];
}

static bool
input_is_alive (void *context, const char *member)
{
  return !dks_members_can_detect_failures (context) || dks_member_is_alive (context, member);
}

static bool
input_is_dead (void *context, const dks_view_member_t *member)
{
  return dks_member_is_dead (context, member);
}

void
dks_view_inputs (dks_reducer_t *r, dks_view_inputs_t *inputs)
{
  *inputs = (dks_view_inputs_t){
    .self = r->self,
    .address = r->config.address,
    .draining = r->draining,
    .may_join =
        r->joined_us == 0 || r->now.mono_us - r->joined_us > 2 * r->config.failure_timeout_us,
    .may_leave =
        r->draining && r->request_count == 0 && r->attempt_count == 0 && dks_jobs_backlog (r) == 0,
    .wall_ms = r->now.wall_ms,
    .ceiling_ahead_ms = r->config.ceiling_ms,
    .clock_skew_ms = r->config.clock_skew_ms,
    .is_alive = input_is_alive,
    .is_dead = input_is_dead,
    .context = r,
  };
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      const dks_shard_state_t *shard = &r->shards[i];

      inputs->fenced[i] = shard->fenced;
      inputs->next_floor_ms[i] = shard->claims->latest_issued_ms + 1;
      if (inputs->next_floor_ms[i] < shard->claims->floor_ms)
        inputs->next_floor_ms[i] = shard->claims->floor_ms;
      if (shard->sync_acked)
        dks_strcpy (inputs->synced_member[i], sizeof (inputs->synced_member[i]), shard->sync_peer);
      inputs->is_recovering[i] =
          shard->recovered
          || (dks_own_view (r)->former_count > 0
              && (shard->former_holders[0][0] != '\0' || shard->former_holders[1][0] != '\0'));
      inputs->may_lower_floor[i] = dks_owner_can_lower_floor (r, i);
      inputs->recovered_floor_ms[i] = shard->recovered_floor_ms;
    }
}

static void
view_key (const dks_reducer_t *r, char *key, size_t size)
{
  dks_strcpy (key, size, "view/");
  dks_strcpy (key + strlen (key), size - strlen (key), r->config.data_centre);
}

static dks_effect_t *
start_op (dks_reducer_t *r, dks_effect_type_t type)
{
  dks_effect_t *effect = dks_effects_add (r->effects, type);

  r->view_op = dks_next_id (r);
  r->view_op_is_cas = type == DKS_EFFECT_STORE_CAS;
  effect->u.store.op = r->view_op;
  view_key (r, effect->u.store.key, sizeof (effect->u.store.key));
  dks_timer_set (r->timers, &r->view_timer, r->now.mono_us + STORE_OP_TIMEOUT_US);
  return effect;
}

static void
start_get (dks_reducer_t *r)
{
  dks_counter_increment (&r->counters, DKS_COUNTER_STORE_READS);
  start_op (r, DKS_EFFECT_STORE_GET);
}

static void
start_cas (dks_reducer_t *r)
{
  dks_effect_t *effect;

  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      dks_shard_state_t *shard = &r->shards[i];

      if (shard->sync_acked && strcmp (r->view_proposed.shards[i].backup, shard->sync_peer) == 0)
        shard->sync_cas_pending = true;
      if (dks_owner_is_self (r, i) && r->view_proposed.shards[i].owner[0] == '\0')
        shard->release_cas_pending = true;
    }
  dks_counter_increment (&r->counters, DKS_COUNTER_STORE_WRITES);
  effect = start_op (r, DKS_EFFECT_STORE_CAS);
  effect->u.store.version = dks_own_view (r)->version;
  effect->u.store.value = dks_view_format (&r->view_proposed);
}

static void
log_takeovers (dks_reducer_t *r, const dks_view_t *old, const dks_view_t *view)
{
  uint32_t takeover_count = 0;

  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      const dks_view_shard_t *before = &old->shards[i];

      if (strcmp (view->shards[i].owner, r->self) == 0 && strcmp (before->owner, r->self) != 0
          && before->owner[0] != '\0' && !dks_member_is_alive (r, before->owner))
        takeover_count++;
    }
  if (takeover_count == 0)
    return;
  r->counters.values[DKS_COUNTER_TAKEOVERS] += takeover_count;
  dks_emit_log (r, DKS_LOG_NOTICE, "event=takeover shards=%u view_version=%" PRId64, takeover_count,
                view->version);
}

/* A compare-and-swap can only take effect while the record has the version that the operation was
 * based on. Once a newer version is known, no earlier proposal is pending any more. */
static void
clear_pending_proposals (dks_reducer_t *r)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      r->shards[i].sync_cas_pending = false;
      r->shards[i].release_cas_pending = false;
    }
}

static bool
has_pending_proposals (const dks_reducer_t *r)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      if (r->shards[i].sync_cas_pending || r->shards[i].release_cas_pending)
        return true;
    }
  return false;
}

static void
set_view (dks_reducer_t *r, size_t data_centre_index, const dks_view_t *view, dks_blob_t *value)
{
  r->views[data_centre_index] = *view;
  dks_blob_ref (value);
  dks_blob_unref (r->view_records[data_centre_index]);
  r->view_records[data_centre_index] = value;
}

static void
apply_own_view (dks_reducer_t *r, const dks_view_t *view, dks_blob_t *value, bool is_local_write)
{
  dks_view_t old = r->views[r->own_data_centre];
  dks_peer_t *peer;

  set_view (r, (size_t)r->own_data_centre, view, value);
  r->view_known = true;
  clear_pending_proposals (r);
  /* A member that was removed waits before it joins again: two members that cannot reach each other
   * would otherwise remove each other and rejoin without a pause. */
  if (dks_view_member (view, r->self) != NULL && dks_view_member (&old, r->self) == NULL)
    r->joined_us = r->now.mono_us;
  for (uint32_t i = 0; i < view->member_count; i++)
    dks_members_register (r, view->members[i].id);
  log_takeovers (r, &old, view);
  /* Peers get the view that this instance wrote before they get any message that depends on that
   * view. */
  if (is_local_write)
    {
      APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
        {
          if (peer->up)
            dks_members_send_view (r, peer->id, (size_t)r->own_data_centre);
        }
    }
  dks_owner_handle_view (r, &old);
  dks_jobs_handle_targets_changed (r);
  dks_entry_route_all (r);
}

static void
connect_members (dks_reducer_t *r, const dks_view_t *view)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      const dks_view_member_t *member = &view->members[i];
      const dks_peer_t *peer = dks_peer_find (r, member->id);
      dks_effect_t *effect;

      if (strcmp (member->id, r->self) == 0 || (peer != NULL && peer->up))
        continue;
      effect = dks_effects_add (r->effects, DKS_EFFECT_PEER_CONNECT);
      dks_strcpy (effect->u.peer_connect.address, sizeof (effect->u.peer_connect.address),
                  member->address);
      dks_strcpy (effect->u.peer_connect.id, sizeof (effect->u.peer_connect.id), member->id);
      effect->u.peer_connect.id[strcspn (effect->u.peer_connect.id, "#")] = '\0';
    }
}

void
dks_view_handle_record (dks_reducer_t *r, const char *data_centre, int64_t version,
                        dks_blob_t *value)
{
  dks_view_t view;

  for (size_t i = 0; i < r->config.data_centre_count; i++)
    {
      if (strcmp (data_centre, r->config.data_centres[i]) != 0 || version <= r->views[i].version)
        continue;
      if (dks_view_parse ((const char *)value->data, value->len, version, &view) != DKS_OK)
        {
          dks_emit_log (r, DKS_LOG_ERROR, "event=bad-view data_centre=%s version=%" PRId64,
                        data_centre, version);
          dks_counter_increment (&r->counters, DKS_COUNTER_BAD_INPUT);
          return;
        }
      if ((int)i == r->own_data_centre)
        {
          apply_own_view (r, &view, value, false);
          dks_view_review (r);
        }
      else
        {
          set_view (r, i, &view, value);
          dks_entry_route_all (r);
        }
      connect_members (r, &view);
      return;
    }
}

static void
schedule_retry (dks_reducer_t *r)
{
  dks_timer_set (r->timers, &r->view_timer,
                 r->now.mono_us + STORE_RETRY_US + (int64_t)(dks_random (r) % STORE_RETRY_US));
}

void
dks_view_handle_reply (dks_reducer_t *r, dks_store_status_t status, int64_t version,
                       dks_blob_t *value)
{
  bool is_cas_reply = r->view_op_is_cas;

  r->view_op = 0;
  r->view_op_is_cas = false;
  dks_timer_cancel (r->timers, &r->view_timer);
  if (status == DKS_STORE_UNKNOWN)
    {
      /* A write may be in effect, which only a read of the record shows. */
      r->view_known = false;
      schedule_retry (r);
      return;
    }
  if (status == DKS_STORE_CONFLICT)
    {
      dks_counter_increment (&r->counters, DKS_COUNTER_STORE_CONFLICTS);
      start_get (r);
      return;
    }
  if (is_cas_reply)
    {
      dks_view_t written = r->view_proposed;
      dks_blob_t *record = dks_view_format (&written);

      written.version = version;
      if (version > dks_own_view (r)->version)
        apply_own_view (r, &written, record, true);
      dks_blob_unref (record);
    }
  else
    {
      r->view_known = true;
      if (status == DKS_STORE_OK)
        dks_view_handle_record (r, r->config.data_centre, version, value);
    }
  dks_view_review (r);
}

void
dks_view_review (dks_reducer_t *r)
{
  dks_view_inputs_t inputs;

  if (r->view_op != 0 || dks_timer_is_armed (&r->view_timer))
    return;
  if (!r->view_known)
    {
      start_get (r);
      return;
    }
  dks_view_inputs (r, &inputs);
  /* A proposal whose reply was lost is settled by another write, also when the plan changes
   * nothing: whichever of the two writes takes effect raises the version, so that the lost one is
   * no longer pending. */
  if (dks_view_plan (dks_own_view (r), &inputs, &r->view_proposed) || has_pending_proposals (r))
    start_cas (r);
}

static void
handle_view_timer (void *context, int64_t now_us)
{
  dks_reducer_t *r = context;

  if (r->view_op != 0)
    {
      r->view_op = 0;
      r->view_known = false;
    }
  dks_view_review (r);
}

void
dks_view_ops_init (dks_reducer_t *r)
{
  dks_timer_init (&r->view_timer, handle_view_timer, r);
}
