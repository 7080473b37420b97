#include "core/state.h"

#include "common/alloc.h"

#include <stdlib.h>
#include <string.h>

enum
{
  REMOTE_HEARTBEAT_DIVISOR = 5,   /* peers in other data centres get one heartbeat in this many */
  RECONNECT_TIMEOUT_US = 300000,  /* a connection that stays closed this long is a failure */
  LIST_READ_GAP_MAX_US = 3000000, /* three reads of the list; a longer gap is an outage */
  UNLISTED_TIMEOUT_US = 10000000, /* absence from the list that proves an instance has ended */
  FORGET_PEER_AFTER_US = 60000000 /* silence of a closed peer outside the view */
};

dks_peer_t *
dks_peer_find (const dks_reducer_t *r, const char *id)
{
  return apr_hash_get (r->peers_by_id, id, APR_HASH_KEY_STRING);
}

bool
dks_peer_is_usable (const dks_reducer_t *r, const dks_peer_t *peer)
{
  return peer->up && r->now.mono_us - peer->last_heard_us < r->config.failure_timeout_us * 2;
}

static bool
is_silent (const dks_reducer_t *r, const dks_peer_t *peer)
{
  int64_t timeout_us = r->config.failure_timeout_us;

  if (strcmp (peer->data_centre, r->config.data_centre) != 0)
    timeout_us += REMOTE_HEARTBEAT_DIVISOR * r->config.heartbeat_us;
  return r->now.mono_us - peer->last_heard_us >= timeout_us;
}

bool
dks_member_is_alive (const dks_reducer_t *r, const char *id)
{
  const dks_peer_t *peer = dks_peer_find (r, id);

  if (strcmp (id, r->self) == 0)
    return true;
  /* A member that has sent no message yet counts as alive until the failure timeout has passed
   * since the start or the latest pause of this instance. */
  if (peer == NULL)
    return r->now.mono_us - r->running_since_us < r->config.failure_timeout_us;
  return !is_silent (r, peer);
}

bool
dks_members_can_detect_failures (const dks_reducer_t *r)
{
  int64_t now_us = r->now.mono_us;

  return now_us - r->list_read_us <= LIST_READ_GAP_MAX_US
         && now_us - r->platform_available_us >= r->config.failure_timeout_us;
}

/* Whether a newer incarnation of the same instance has the address of `member`. The newer one has
 * bound the port of `member`, whose process has therefore ended. */
static bool
is_replaced (const dks_reducer_t *r, const dks_view_member_t *member)
{
  const dks_view_t *view = dks_own_view (r);
  const dks_view_member_t *member_in_view = dks_view_member (view, member->id);

  if (strcmp (member->id, r->self) != 0 && dks_view_same_instance (member->id, r->self)
      && strcmp (member->address, r->config.address) == 0)
    return true;
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      const dks_view_member_t *other = &view->members[i];

      /* A member that joins is appended to the array, so later entries are newer. */
      if ((member_in_view == NULL || other > member_in_view)
          && dks_view_same_instance (other->id, member->id) && strcmp (other->id, member->id) != 0
          && strcmp (other->address, member->address) == 0)
        return true;
    }
  return false;
}

static void
copy_instance_id (const char *member_id, char instance[DKS_NAME_SIZE])
{
  dks_strcpy (instance, DKS_NAME_SIZE, member_id);
  instance[strcspn (instance, "#")] = '\0';
}

bool
dks_member_is_dead (const dks_reducer_t *r, const dks_view_member_t *member)
{
  char instance[DKS_NAME_SIZE];
  const int64_t *unlisted_since_us;

  if (is_replaced (r, member))
    return true;
  copy_instance_id (member->id, instance);
  unlisted_since_us = apr_hash_get (r->unlisted_since, instance, APR_HASH_KEY_STRING);
  return unlisted_since_us != NULL && r->list_read_us - *unlisted_since_us >= UNLISTED_TIMEOUT_US
         && !dks_member_is_alive (r, member->id);
}

static dks_peer_t *
peer_create (dks_reducer_t *r, const char *id, const char *data_centre)
{
  dks_peer_t *peer = dks_alloc (sizeof (*peer));

  dks_strcpy (peer->id, sizeof (peer->id), id);
  dks_strcpy (peer->data_centre, sizeof (peer->data_centre), data_centre);
  apr_hash_set (r->peers_by_id, peer->id, APR_HASH_KEY_STRING, peer);
  APR_RING_INSERT_TAIL (&r->peers, peer, dks_peer_t, link);
  return peer;
}

static void
peer_remove (dks_reducer_t *r, dks_peer_t *peer)
{
  apr_hash_set (r->peers_by_id, peer->id, APR_HASH_KEY_STRING, NULL);
  APR_RING_REMOVE (peer, link);
  free (peer);
}

static void
send_record (dks_reducer_t *r, const char *peer_id, const char *key, int64_t version,
             dks_blob_t *value)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_RECORD);

  dks_strcpy (msg->u.record.key, sizeof (msg->u.record.key), key);
  msg->u.record.version = version;
  msg->u.record.value = value;
  dks_emit_peer (r, peer_id, msg);
}

void
dks_members_send_view (dks_reducer_t *r, const char *peer, size_t data_centre_index)
{
  char key[sizeof (((dks_msg_t *)0)->u.record.key)] = "view/";

  dks_strcpy (key + strlen (key), sizeof (key) - strlen (key),
              r->config.data_centres[data_centre_index]);
  send_record (r, peer, key, r->views[data_centre_index].version,
               dks_blob_ref (r->view_records[data_centre_index]));
}

void
dks_members_send_records (dks_reducer_t *r, const char *peer)
{
  if (r->settings_record != NULL)
    send_record (r, peer, "settings", r->settings_revision, dks_blob_ref (r->settings_record));
  for (size_t i = 0; i < r->config.data_centre_count; i++)
    {
      if (r->view_records[i] != NULL)
        dks_members_send_view (r, peer, i);
    }
}

void
dks_members_handle_up (dks_reducer_t *r, const char *id, const char *data_centre)
{
  dks_peer_t *peer = dks_peer_find (r, id);

  if (peer == NULL)
    peer = peer_create (r, id, data_centre);
  peer->up = true;
  peer->last_heard_us = r->now.mono_us;
  peer->demand_sent = peer->demand_total = peer->grants_received = 0;
  peer->demand_received = peer->grants_total = 0;
  dks_emit_log (r, DKS_LOG_INFO, "event=peer-up peer=%s data_centre=%s", id, data_centre);
  dks_members_send_records (r, id);
}

void
dks_members_handle_down (dks_reducer_t *r, const char *id)
{
  dks_peer_t *peer = dks_peer_find (r, id);
  int64_t last_heard_max_us;

  if (peer == NULL)
    return;
  peer->up = false;
  /* A process that dies closes its connections, so a closed connection is an early sign of a
   * failure: at most RECONNECT_TIMEOUT_US of the failure timeout is left. */
  last_heard_max_us = r->now.mono_us - r->config.failure_timeout_us + RECONNECT_TIMEOUT_US;
  if (peer->last_heard_us > last_heard_max_us)
    peer->last_heard_us = last_heard_max_us;
  dks_emit_log (r, DKS_LOG_INFO, "event=peer-down peer=%s", id);
  dks_lend_forget_peer (r, peer);
}

void
dks_members_handle_heartbeat (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  peer->draining = msg->u.heartbeat.draining;
  peer->free_slots = msg->u.heartbeat.free_slots;
  peer->capacity = msg->u.heartbeat.capacity;
  dks_lend_set_demand (peer, msg->u.heartbeat.demand_total, msg->u.heartbeat.oldest_arrival_ms);
  peer->queued_tasks = msg->u.heartbeat.queued_tasks;
  peer->view_version = msg->u.heartbeat.view_version;
  peer->settings_version = msg->u.heartbeat.settings_version;
  if (peer->settings_version < dks_settings_version (r->settings) && r->settings_record != NULL)
    send_record (r, peer->id, "settings", r->settings_revision, dks_blob_ref (r->settings_record));
}

/* Updates the time since which the instance of a member has been missing from the list. */
static void
update_unlisted_member (dks_reducer_t *r, const char *member_id, const dks_listed_instance_t *items,
                        size_t count)
{
  char instance[DKS_NAME_SIZE];
  bool listed = false;
  int64_t *since_us;

  copy_instance_id (member_id, instance);
  for (size_t i = 0; i < count && !listed; i++)
    listed = !items[i].is_target && strcmp (items[i].id, instance) == 0;
  since_us = apr_hash_get (r->unlisted_since, instance, APR_HASH_KEY_STRING);
  if (listed && since_us != NULL)
    {
      apr_hash_set (r->unlisted_since, instance, APR_HASH_KEY_STRING, NULL);
      free (since_us);
    }
  if (!listed && since_us == NULL)
    {
      /* The key is allocated in the same block as the value, and freed with it. */
      char *key;

      since_us = dks_alloc (sizeof (*since_us) + sizeof (instance));
      *since_us = r->now.mono_us;
      key = (char *)(since_us + 1);
      dks_strcpy (key, sizeof (instance), instance);
      apr_hash_set (r->unlisted_since, key, APR_HASH_KEY_STRING, since_us);
    }
}

static void
update_unlisted_members (dks_reducer_t *r, const dks_listed_instance_t *items, size_t count)
{
  const dks_view_t *view = dks_own_view (r);

  for (uint32_t i = 0; i < view->member_count; i++)
    update_unlisted_member (r, view->members[i].id, items, count);
  for (uint32_t i = 0; i < view->former_count; i++)
    update_unlisted_member (r, view->former[i].id, items, count);
}

void
dks_members_handle_list (dks_reducer_t *r, const dks_listed_instance_t *items, size_t count)
{
  if (r->now.mono_us - r->list_read_us > LIST_READ_GAP_MAX_US)
    r->platform_available_us = r->now.mono_us;
  r->list_read_us = r->now.mono_us;
  update_unlisted_members (r, items, count);
  for (size_t i = 0; i < count; i++)
    {
      dks_effect_t *effect;

      if (items[i].is_target || strcmp (items[i].id, r->config.id) == 0)
        continue;
      effect = dks_effects_add (r->effects, DKS_EFFECT_PEER_CONNECT);
      dks_strcpy (effect->u.peer_connect.address, sizeof (effect->u.peer_connect.address),
                  items[i].address);
      dks_strcpy (effect->u.peer_connect.id, sizeof (effect->u.peer_connect.id), items[i].id);
    }
  dks_targets_update (r->targets, items, count, r->config.data_centre);
  dks_jobs_handle_targets_changed (r);
}

void
dks_members_register (dks_reducer_t *r, const char *id)
{
  dks_peer_t *peer;

  if (strcmp (id, r->self) == 0 || dks_peer_find (r, id) != NULL)
    return;
  peer = peer_create (r, id, r->config.data_centre);
  peer->last_heard_us = r->now.mono_us;
}

void
dks_members_reset_silence (dks_reducer_t *r)
{
  dks_peer_t *peer;

  r->running_since_us = r->now.mono_us;
  dks_targets_pause (r->targets, r->now.mono_us);
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->up)
        peer->last_heard_us = r->now.mono_us;
    }
}

static void
forget_old_peers (dks_reducer_t *r)
{
  dks_peer_t *peer = APR_RING_FIRST (&r->peers);

  while (peer != APR_RING_SENTINEL (&r->peers, dks_peer_t, link))
    {
      dks_peer_t *next = APR_RING_NEXT (peer, link);

      /* The peer record of a member of the view is kept, since it shows that the member is silent.
       */
      if (!peer->up && r->now.mono_us - peer->last_heard_us > FORGET_PEER_AFTER_US
          && dks_view_member (dks_own_view (r), peer->id) == NULL)
        peer_remove (r, peer);
      peer = next;
    }
}

static void
send_heartbeats (dks_reducer_t *r)
{
  bool include_remote = r->heartbeat_count % REMOTE_HEARTBEAT_DIVISOR == 0;
  uint32_t free_slots = dks_lend_free_slots (r);
  uint32_t capacity = dks_targets_capacity (r->targets, r->now.mono_us);
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      bool is_local = strcmp (peer->data_centre, r->config.data_centre) == 0;
      dks_msg_t *msg;

      if (!peer->up || (!is_local && !include_remote))
        continue;
      msg = dks_msg_create (DKS_MSG_HEARTBEAT);
      msg->u.heartbeat.wall_ms = r->now.wall_ms;
      msg->u.heartbeat.settings_version = dks_settings_version (r->settings);
      msg->u.heartbeat.view_version = dks_own_view (r)->version;
      msg->u.heartbeat.free_slots = free_slots;
      msg->u.heartbeat.capacity = capacity;
      msg->u.heartbeat.queued_tasks = dks_jobs_backlog (r);
      msg->u.heartbeat.draining = dks_drain_is_final (r);
      dks_lend_fill_heartbeat (r, peer, msg);
      dks_emit_peer (r, peer->id, msg);
      dks_counter_increment (&r->counters, DKS_COUNTER_HEARTBEATS);
    }
}

static void
handle_heartbeat_timer (void *context, int64_t now_us)
{
  dks_reducer_t *r = context;

  dks_lend_review (r);
  send_heartbeats (r);
  if (r->heartbeat_count++ % 64 == 0)
    {
      forget_old_peers (r);
      dks_owner_expire (r);
    }
  dks_owner_review (r);
  dks_view_review (r);
  dks_settings_ops_review (r);
  dks_timer_set (r->timers, &r->heartbeat_timer, now_us + r->config.heartbeat_us);
}

void
dks_members_init (dks_reducer_t *r)
{
  APR_RING_INIT (&r->peers, dks_peer_t, link);
  r->peers_by_id = apr_hash_make (r->pool);
  r->unlisted_since = apr_hash_make (r->pool);
  dks_timer_init (&r->heartbeat_timer, handle_heartbeat_timer, r);
  dks_timer_set (r->timers, &r->heartbeat_timer, r->now.mono_us);
}

void
dks_members_clear (dks_reducer_t *r)
{
  for (size_t i = 0; i < DKS_DATA_CENTRES_MAX; i++)
    dks_blob_unref (r->view_records[i]);
  while (!APR_RING_EMPTY (&r->peers, dks_peer_t, link))
    peer_remove (r, APR_RING_FIRST (&r->peers));
  for (apr_hash_index_t *i = apr_hash_first (r->pool, r->unlisted_since); i != NULL;
       i = apr_hash_next (i))
    free (apr_hash_this_val (i));
}
