#include "core/owner.h"

#include "common/alloc.h"

#include <string.h>

enum
{
  SYNC_TIMEOUT_US = 3000000, /* a copy of the claims not acknowledged within this time is resent */
  SNAPSHOT_ITEMS = 256       /* largest number of claims in one snapshot message */
};

bool
dks_owner_can_lower_floor (const dks_reducer_t *r, uint32_t shard)
{
  const dks_shard_state_t *st = &r->shards[shard];
  const char *backup = dks_owner_view_shard (r, shard)->backup;

  if (!st->recovered || !dks_owner_is_self (r, shard))
    return false;
  if (backup[0] == '\0')
    return st->sync_peer[0] == '\0' || st->sync_id > st->recovered_sync_id;
  return strcmp (st->sync_peer, backup) == 0 && st->sync_acked
         && st->sync_id > st->recovered_sync_id;
}

static void
send_snapshot_part (dks_reducer_t *r, uint32_t shard, const char *peer, uint64_t id,
                    int64_t floor_ms, dks_claim_t **cursor)
{
  dks_shard_state_t *st = &r->shards[shard];
  dks_msg_t *msg = dks_msg_create (DKS_MSG_SNAPSHOT);
  uint32_t count = 0;

  msg->u.snapshot.first = *cursor == APR_RING_FIRST (&st->claims->ring);
  msg->u.snapshot.items = dks_alloc (SNAPSHOT_ITEMS * sizeof (dks_claim_item_t));
  while (*cursor != APR_RING_SENTINEL (&st->claims->ring, dks_claim_t, link)
         && count < SNAPSHOT_ITEMS)
    {
      dks_claim_to_item (*cursor, &msg->u.snapshot.items[count++]);
      *cursor = APR_RING_NEXT (*cursor, link);
    }
  msg->u.snapshot.shard = shard;
  msg->u.snapshot.epoch = dks_owner_view_shard (r, shard)->epoch;
  msg->u.snapshot.id = id;
  msg->u.snapshot.floor_ms = floor_ms;
  msg->u.snapshot.last = *cursor == APR_RING_SENTINEL (&st->claims->ring, dks_claim_t, link);
  msg->u.snapshot.count = count;
  dks_emit_peer (r, peer, msg);
}

static void
send_snapshot (dks_reducer_t *r, uint32_t shard, const char *peer, uint64_t id, int64_t floor_ms)
{
  dks_shard_state_t *st = &r->shards[shard];
  dks_claim_t *cursor = APR_RING_FIRST (&st->claims->ring);

  do
    send_snapshot_part (r, shard, peer, id, floor_ms, &cursor);
  while (cursor != APR_RING_SENTINEL (&st->claims->ring, dks_claim_t, link));
}

/* Starts to copy the claims to `peer`, the next backup. From now on, every claim also needs the
 * acknowledgement of `peer`. */
static void
start_sync (dks_reducer_t *r, uint32_t shard, const char *peer)
{
  dks_shard_state_t *st = &r->shards[shard];

  dks_strcpy (st->sync_peer, sizeof (st->sync_peer), peer);
  st->sync_id = dks_next_id (r);
  st->sync_started_us = r->now.mono_us;
  st->sync_acked = false;
  /* The floor in the view is not part of the copy, because it may be lowered later. */
  send_snapshot (r, shard, peer, st->sync_id, dks_admission_table_floor_ms (r, shard));
  dks_claim_ops_resend_all (r, shard);
}

static void
stop_sync (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];

  if (st->sync_peer[0] == '\0')
    return;
  st->sync_peer[0] = '\0';
  st->sync_acked = false;
  if (dks_owner_is_self (r, shard))
    dks_claim_ops_resend_all (r, shard);
}

/* Called when a former holder has sent all its claims. The floor may be lowered once the backup has
 * the recovered claims too. */
static void
finish_recovery (dks_reducer_t *r, uint32_t shard, int64_t floor_ms)
{
  dks_shard_state_t *st = &r->shards[shard];

  st->recovered = true;
  st->recovered_floor_ms = floor_ms > st->former_floor_ms ? floor_ms : st->former_floor_ms;
  st->recovered_sync_id = dks_next_id (r);
  st->former_holders[0][0] = '\0';
  st->former_holders[1][0] = '\0';
  /* A copy to the next backup that is under way may lack the recovered claims, so it is stopped;
   * dks_recovery_review_sync() starts another. */
  if (!st->sync_cas_pending)
    stop_sync (r, shard);
  dks_emit_log (r, DKS_LOG_NOTICE, "event=claims-recovered shard=%u", shard);
}

void
dks_owner_handle_snapshot (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  uint32_t shard = msg->u.snapshot.shard;
  dks_shard_state_t *st = &r->shards[shard];
  bool from_owner = strcmp (dks_owner_view_shard (r, shard)->owner, peer) == 0;
  bool from_former_holder =
      dks_owner_is_self (r, shard)
      && (strcmp (st->former_holders[0], peer) == 0 || strcmp (st->former_holders[1], peer) == 0);
  dks_msg_t *ack;

  if (!from_owner && !from_former_holder)
    return;
  if (from_owner)
    dks_strcpy (st->sync_from, sizeof (st->sync_from), peer);
  for (uint32_t i = 0; i < msg->u.snapshot.count; i++)
    dks_claims_put (st->claims, &msg->u.snapshot.items[i]);
  if (st->claims->floor_ms < msg->u.snapshot.floor_ms)
    st->claims->floor_ms = msg->u.snapshot.floor_ms;
  if (!msg->u.snapshot.last)
    return;
  if (from_former_holder)
    finish_recovery (r, shard, msg->u.snapshot.floor_ms);
  ack = dks_msg_create (DKS_MSG_SNAPSHOT_ACK);
  ack->u.snapshot_ack.shard = shard;
  ack->u.snapshot_ack.id = msg->u.snapshot.id;
  dks_emit_peer (r, peer, ack);
}

static void
end_handback (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];

  st->handback_to[0] = '\0';
  if (!dks_owner_is_self (r, shard) && !dks_owner_is_backup (r, shard) && st->sync_from[0] == '\0')
    dks_claims_clear (st->claims);
}

void
dks_owner_handle_snapshot_ack (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  uint32_t shard = msg->u.snapshot_ack.shard;
  dks_shard_state_t *st = &r->shards[shard];
  uint64_t id = msg->u.snapshot_ack.id;

  if (strcmp (st->handback_to, peer) == 0 && st->handback_id == id)
    end_handback (r, shard);
  if (st->sync_id != id || strcmp (st->sync_peer, peer) != 0)
    return;
  st->sync_acked = true;
  dks_view_review (r);
}

void
dks_recovery_review_handback (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_peer_t *peer = dks_peer_find (r, st->handback_to);

  if (st->handback_to[0] == '\0' || peer == NULL || !peer->up
      || r->now.mono_us - st->handback_sent_us < SYNC_TIMEOUT_US)
    return;
  st->handback_sent_us = r->now.mono_us;
  st->handback_id = dks_next_id (r);
  send_snapshot (r, shard, st->handback_to, st->handback_id, st->handback_floor_ms);
}

void
dks_owner_handle_peer_down (dks_reducer_t *r, const char *peer)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      dks_shard_state_t *st = &r->shards[i];
      dks_claim_t *claim;

      /* Claims sent to the peer may have been lost with the connection, so its copy is started
       * again. While the peer may still become the backup by the CAS that is under way, claims
       * still need its acknowledgement. */
      st->sync_acked = st->sync_acked && strcmp (st->sync_peer, peer) != 0;
      if (strcmp (st->sync_peer, peer) == 0 && !st->sync_cas_pending)
        stop_sync (r, i);
      if (strcmp (st->sync_from, peer) == 0)
        st->sync_from[0] = '\0';
      APR_RING_FOREACH (claim, &st->claims->unfinished_ring, dks_claim_t, unfinished_link)
        {
          if (strcmp (claim->runner, peer) == 0)
            claim->runner_queried = false;
        }
    }
}

void
dks_recovery_review_sync (dks_reducer_t *r, uint32_t shard, const dks_view_inputs_t *inputs)
{
  dks_shard_state_t *st = &r->shards[shard];
  const char *backup = dks_view_best_backup (dks_own_view (r), inputs, shard);
  const dks_peer_t *peer;

  if (st->sync_cas_pending)
    return;
  /* The floor in the view may have been lowered for another reason since the recovery. */
  if (st->recovered && dks_owner_view_shard (r, shard)->floor_ms <= st->recovered_floor_ms)
    st->recovered = false;
  if (st->recovered && dks_owner_view_shard (r, shard)->backup[0] != '\0')
    backup = dks_owner_view_shard (r, shard)->backup;
  if (st->sync_peer[0] != '\0'
      && (backup == NULL || strcmp (backup, st->sync_peer) != 0
          || (!st->sync_acked && r->now.mono_us - st->sync_started_us > SYNC_TIMEOUT_US)))
    stop_sync (r, shard);
  peer = backup != NULL ? dks_peer_find (r, backup) : NULL;
  if (st->sync_peer[0] == '\0' && peer != NULL && peer->up
      && (st->recovered || strcmp (backup, dks_owner_view_shard (r, shard)->backup) != 0))
    start_sync (r, shard, backup);
}
