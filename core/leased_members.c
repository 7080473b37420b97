#include "core/leased.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  HEARTBEAT_INTERVAL_US = 100000, /* six are missed before SILENCE_TIMEOUT_US has passed */
  STATUS_MIN_INTERVAL_US = 5000,  /* least time between two statuses about changes */
  /* An instance without a message for this long counts as lost. Shorter than a lease, so that a
     successor can adopt the runs of a lost leader. */
  SILENCE_TIMEOUT_US = 600000,
  /* A connection without a message for this long is closed: it may stay silent for ever while new
     ones work. */
  CLOSE_TIMEOUT_US = 1500000,
  DIAL_INTERVAL_US = 10000000,      /* between two attempts to connect to all known addresses */
  LOST_PEER_RETENTION_US = 20000000 /* a lost instance is forgotten after this */
};

dks_leased_peer_t *
dks_leased_peer_find (const dks_leased_t *leased, const char *id)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (strcmp (peer->id, id) == 0)
        return peer;
    }
  return NULL;
}

bool
dks_leased_peer_is_alive (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return peer->connected && peer->status_received
         && leased->r->now.mono_us - peer->last_message_us < SILENCE_TIMEOUT_US;
}

uint32_t
dks_leased_members_count_alive (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  uint32_t count = 0;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    count += dks_leased_peer_is_alive (leased, peer);
  return count;
}

/* Status */

static void
send_status (dks_leased_t *leased, const char *peer)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_LEASED_STATUS);
  double slowness;

  msg->u.leased_status.term = leased->term;
  msg->u.leased_status.started_ms = leased->started_ms;
  msg->u.leased_status.catalog_version = leased->catalog != NULL ? leased->catalog->version : 0;
  /* A draining leader without a successor reports no free capacity, so that it gets no more lent
   * tasks and can finish. */
  if (leased->term > 0 && leased->drain_start_us == 0)
    {
      msg->u.leased_status.free_tasks = dks_leased_targets_free_tasks (leased);
      msg->u.leased_status.free_fast_tasks = dks_leased_targets_free_fast_tasks (leased, &slowness);
      if (msg->u.leased_status.free_fast_tasks > 0)
        msg->u.leased_status.fast_slowness_milli = (uint32_t)(1000 * slowness);
    }
  msg->u.leased_status.sent_us = leased->r->now.mono_us;
  msg->u.leased_status.waiting_tasks = leased->waiting_tasks;
  msg->u.leased_status.processor_milli = leased->r->config.processor_milli;
  msg->u.leased_status.draining = leased->drain_start_us > 0;
  msg->u.leased_status.yields_leadership = leased->term > 0 && leased->yields_leadership;
  msg->u.leased_status.knows_targets = dks_leased_feed_knows_targets (leased);
  dks_emit_peer (leased->r, peer, msg);
}

/* Between two heartbeats, changes of the free capacity are sent to other leaders only. */
static void
send_status_to_peers (dks_leased_t *leased)
{
  int64_t time_us = leased->r->now.mono_us;
  bool to_all =
      leased->status_due_to_all || time_us - leased->last_heartbeat_us >= HEARTBEAT_INTERVAL_US;
  dks_leased_peer_t *peer;

  leased->status_due_to_leaders = false;
  leased->status_due_to_all = false;
  leased->last_status_us = time_us;
  if (to_all)
    leased->last_heartbeat_us = time_us;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->connected && (to_all || peer->term > 0))
        send_status (leased, peer->id);
    }
}

static void
schedule_status (dks_leased_t *leased)
{
  int64_t at_us = leased->last_heartbeat_us + HEARTBEAT_INTERVAL_US;

  if ((leased->status_due_to_leaders || leased->status_due_to_all)
      && leased->last_status_us + STATUS_MIN_INTERVAL_US < at_us)
    at_us = leased->last_status_us + STATUS_MIN_INTERVAL_US;
  dks_timer_set (leased->r->timers, &leased->status_timer, at_us);
}

static void
drop_lost_peers (dks_leased_t *leased)
{
  dks_leased_peer_t *peer;
  dks_leased_peer_t *next;

  APR_RING_FOREACH_SAFE (peer, next, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->connected
          || leased->r->now.mono_us - peer->last_message_us < LOST_PEER_RETENTION_US)
        continue;
      APR_RING_REMOVE (peer, link);
      free (peer);
    }
}

static void
check_silent_peers (dks_leased_t *leased)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->connected && leased->r->now.mono_us - peer->last_message_us >= CLOSE_TIMEOUT_US)
        {
          dks_effect_t *effect = dks_effects_add (leased->r->effects, DKS_EFFECT_PEER_CLOSE);

          dks_strcpy (effect->u.peer_close.peer, sizeof (effect->u.peer_close.peer), peer->id);
        }
      if (!peer->connected || !peer->status_received || dks_leased_peer_is_alive (leased, peer))
        continue;
      dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=peer-silent peer=%s", peer->id);
      peer->status_received = false;
      peer->term = 0;
      dks_leased_jobs_handle_peer_lost (leased, peer->id);
    }
}

static void
dial (dks_leased_t *leased, const char *address)
{
  dks_effect_t *effect = dks_effects_add (leased->r->effects, DKS_EFFECT_PEER_CONNECT);

  dks_strcpy (effect->u.peer_connect.address, sizeof (effect->u.peer_connect.address), address);
}

/* Asks the host to connect to all known addresses again, since it gives up those that do not
 * answer. */
static void
dial_all (dks_leased_t *leased, int64_t now_us)
{
  if (leased->last_dial_us > 0 && now_us - leased->last_dial_us < DIAL_INTERVAL_US)
    return;
  leased->last_dial_us = now_us;
  for (uint32_t i = 0; i < leased->address_count && i < DKS_MEMBERS_MAX; i++)
    dial (leased, leased->addresses[i]);
}

static void
handle_status_timer (void *context, int64_t now_us)
{
  dks_leased_t *leased = context;

  dial_all (leased, now_us);
  check_silent_peers (leased);
  dks_leased_leader_check_lag (leased);
  drop_lost_peers (leased);
  dks_leased_leader_update (leased);
  send_status_to_peers (leased);
  schedule_status (leased);
}

void
dks_leased_members_notify_leaders (dks_leased_t *leased)
{
  if (leased->status_due_to_leaders)
    return;
  leased->status_due_to_leaders = true;
  schedule_status (leased);
}

void
dks_leased_members_notify_all (dks_leased_t *leased)
{
  leased->status_due_to_all = true;
  schedule_status (leased);
}

void
dks_leased_members_send_catalog (dks_leased_t *leased)
{
  dks_leased_peer_t *peer;

  if (leased->catalog == NULL)
    return;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      dks_msg_t *msg;

      if (!peer->connected || !peer->status_received
          || peer->catalog_version >= leased->catalog->version
          || peer->catalog_sent_version >= leased->catalog->version)
        continue;
      peer->catalog_sent_version = leased->catalog->version;
      msg = dks_msg_create (DKS_MSG_RECORD);
      dks_strcpy (msg->u.record.key, sizeof (msg->u.record.key), "catalog");
      msg->u.record.version = leased->catalog->version;
      msg->u.record.value = dks_blob_ref (leased->catalog_record);
      dks_emit_peer (leased->r, peer->id, msg);
    }
}

/* Addresses */

static bool
add_address (dks_leased_t *leased, const char *address)
{
  if (strcmp (address, leased->r->config.address) == 0)
    return false;
  for (uint32_t i = 0; i < leased->address_count && i < DKS_MEMBERS_MAX; i++)
    {
      if (strcmp (leased->addresses[i], address) == 0)
        return false;
    }
  /* When the list is full, the oldest entry is overwritten; the host gives up an address that does
   * not answer by itself. */
  dks_strcpy (leased->addresses[leased->address_count % DKS_MEMBERS_MAX], DKS_ADDRESS_SIZE,
              address);
  leased->address_count++;
  dial (leased, address);
  return true;
}

static void
send_addresses (dks_leased_t *leased, const char *peer)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_ADDRESSES);
  uint32_t count =
      leased->address_count < DKS_MEMBERS_MAX ? leased->address_count : (uint32_t)DKS_MEMBERS_MAX;

  msg->u.addresses.count = count + 1;
  msg->u.addresses.items = dks_alloc ((count + 1) * sizeof (msg->u.addresses.items[0]));
  dks_strcpy (msg->u.addresses.items[0], DKS_ADDRESS_SIZE, leased->r->config.address);
  for (uint32_t i = 0; i < count; i++)
    dks_strcpy (msg->u.addresses.items[i + 1], DKS_ADDRESS_SIZE, leased->addresses[i]);
  dks_emit_peer (leased->r, peer, msg);
}

void
dks_leased_members_handle_addresses (dks_leased_t *leased, const dks_msg_t *msg)
{
  bool added = false;
  dks_leased_peer_t *peer;

  for (uint32_t i = 0; i < msg->u.addresses.count; i++)
    added |= add_address (leased, msg->u.addresses.items[i]);
  if (!added)
    return;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->connected)
        send_addresses (leased, peer->id);
    }
}

void
dks_leased_members_add_seeds (dks_leased_t *leased, const dks_config_t *config)
{
  for (size_t i = 0; i < config->seed_address_count; i++)
    add_address (leased, config->seed_addresses[i]);
}

/* Connections */

void
dks_leased_members_handle_up (dks_leased_t *leased, const char *id, const char *data_centre)
{
  dks_leased_peer_t *peer = dks_leased_peer_find (leased, id);

  if (peer == NULL)
    {
      peer = dks_alloc (sizeof (*peer));
      dks_strcpy (peer->id, sizeof (peer->id), id);
      APR_RING_INSERT_TAIL (&leased->peers, peer, dks_leased_peer_t, link);
    }
  dks_strcpy (peer->data_centre, sizeof (peer->data_centre), data_centre);
  peer->connected = true;
  peer->status_received = false;
  peer->term = 0;
  peer->catalog_sent_version = 0;
  peer->targets_sent = false;
  peer->last_message_us = leased->r->now.mono_us;
  peer->connected_us = leased->r->now.mono_us;
  dks_emit_log (leased->r, DKS_LOG_INFO, "event=peer-up peer=%s data_centre=%s", id, data_centre);
  send_status (leased, id);
  send_addresses (leased, id);
}

void
dks_leased_members_handle_down (dks_leased_t *leased, const char *id)
{
  dks_leased_peer_t *peer = dks_leased_peer_find (leased, id);

  if (peer == NULL)
    return;
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=peer-down peer=%s", id);
  peer->connected = false;
  peer->status_received = false;
  peer->term = 0;
  dks_leased_jobs_handle_peer_lost (leased, id);
  dks_leased_leader_update (leased);
}

/* Records how much later than usual a status was handled. The least difference of the two clocks on
 * a connection is that of a message which was not delayed. */
static void
record_lag (dks_leased_t *leased, dks_leased_peer_t *peer, int64_t sent_us)
{
  int64_t clock_diff_us = leased->r->now.mono_us - sent_us;

  if (!peer->status_received || clock_diff_us < peer->min_clock_diff_us)
    peer->min_clock_diff_us = clock_diff_us;
  peer->lag_us = clock_diff_us - peer->min_clock_diff_us;
}

int64_t
dks_leased_peer_lag_us (const dks_leased_t *leased, const dks_leased_peer_t *peer, int64_t sent_us)
{
  int64_t lag_us = leased->r->now.mono_us - sent_us - peer->min_clock_diff_us;

  return peer->status_received && lag_us > 0 ? lag_us : 0;
}

void
dks_leased_members_handle_status (dks_leased_t *leased, dks_leased_peer_t *peer,
                                  const dks_msg_t *msg)
{
  bool is_new = !peer->status_received;
  bool changed = is_new || peer->term != msg->u.leased_status.term
                 || peer->draining != msg->u.leased_status.draining
                 || peer->yields_leadership != msg->u.leased_status.yields_leadership
                 || peer->knows_targets != msg->u.leased_status.knows_targets;

  if (peer->term > 0 && msg->u.leased_status.term != peer->term)
    dks_leased_lend_handle_remote_lost (leased, peer->id);
  record_lag (leased, peer, msg->u.leased_status.sent_us);
  peer->status_received = true;
  if (peer->term != msg->u.leased_status.term)
    peer->term_received_us = leased->r->now.mono_us;
  peer->term = msg->u.leased_status.term;
  if (peer->term > 0)
    peer->last_leading_us = leased->r->now.mono_us;
  peer->started_ms = msg->u.leased_status.started_ms;
  peer->catalog_version = msg->u.leased_status.catalog_version;
  peer->free_tasks = msg->u.leased_status.free_tasks;
  peer->free_fast_tasks = msg->u.leased_status.free_fast_tasks;
  peer->fast_slowness = msg->u.leased_status.fast_slowness_milli / 1000.0;
  peer->waiting_tasks = msg->u.leased_status.waiting_tasks;
  peer->processor_milli = msg->u.leased_status.processor_milli;
  peer->draining = msg->u.leased_status.draining;
  peer->yields_leadership = msg->u.leased_status.yields_leadership;
  peer->knows_targets = msg->u.leased_status.knows_targets;
  if (!peer->knows_targets && !peer->targets_sent && dks_leased_feed_knows_targets (leased))
    {
      peer->targets_sent = true;
      dks_leased_targets_send_list (leased, peer->id);
    }
  if (dks_leased_peer_is_local (leased, peer) && peer->term > leased->highest_term)
    leased->highest_term = peer->term;
  if (is_new)
    leased->last_join_us = leased->r->now.mono_us;
  if (is_new && dks_leased_peer_is_local (leased, peer))
    dks_leased_speeds_publish_all (leased);
  if (changed)
    dks_leased_leader_update (leased);
  dks_leased_members_send_catalog (leased);
  if ((peer->free_tasks > 0 && leased->waiting_tasks > 0) || leased->remote_lost_tasks > 0)
    leased->placement_due = true;
}

void
dks_leased_members_init (dks_leased_t *leased)
{
  const dks_config_t *config = &leased->r->config;

  APR_RING_INIT (&leased->peers, dks_leased_peer_t, link);
  leased->started_ms = leased->r->now.wall_ms;
  leased->listening_since_us = leased->r->now.mono_us;
  dks_timer_init (&leased->status_timer, handle_status_timer, leased);
  dks_timer_set (leased->r->timers, &leased->status_timer, leased->r->now.mono_us);
  for (size_t i = 0; i < config->seed_address_count; i++)
    if (strcmp (config->seed_addresses[i], config->address) != 0)
      dks_strcpy (leased->addresses[leased->address_count++], DKS_ADDRESS_SIZE,
                  config->seed_addresses[i]);
}

void
dks_leased_members_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->peers, dks_leased_peer_t, link))
    {
      dks_leased_peer_t *peer = APR_RING_FIRST (&leased->peers);

      APR_RING_REMOVE (peer, link);
      free (peer);
    }
  dks_timer_cancel (leased->r->timers, &leased->status_timer);
}
