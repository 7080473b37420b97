#include "core/owner.h"

#include <string.h>

static bool
accepts_claims_from (const dks_reducer_t *r, uint32_t shard, const char *peer)
{
  const dks_shard_state_t *st = &r->shards[shard];

  return strcmp (dks_owner_view_shard (r, shard)->owner, peer) == 0 && !st->fenced
         && (dks_owner_is_backup (r, shard) || strcmp (st->sync_from, peer) == 0);
}

static void
send_ack (dks_reducer_t *r, const char *peer, uint32_t shard, uint64_t id, bool ok)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_CLAIM_ACK);

  msg->u.claim_ack.shard = shard;
  msg->u.claim_ack.epoch = dks_owner_view_shard (r, shard)->epoch;
  msg->u.claim_ack.id = id;
  msg->u.claim_ack.ok = ok;
  if (!ok)
    dks_counter_increment (&r->counters, DKS_COUNTER_CLAIMS_REJECTED);
  dks_emit_peer (r, peer, msg);
}

void
dks_owner_handle_claim (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  uint32_t shard = msg->u.claim.shard;
  dks_claims_t *claims = r->shards[shard].claims;
  const dks_claim_t *existing = dks_claims_find (claims, msg->u.claim.item.key);
  bool ok = accepts_claims_from (r, shard, peer);

  if (ok && existing != NULL && (existing->answer != NULL || strcmp (existing->runner, peer) != 0))
    {
      /* The owner lacks the existing claim and must not start the key. The existing claim is sent
       * before the rejection, so that the owner knows the reason first. */
      dks_claim_item_t item;

      dks_claim_to_item (existing, &item);
      dks_claim_ops_send_result (r, shard, peer, &item);
      dks_answer_unref (item.answer);
      ok = false;
    }
  if (ok)
    dks_claims_put (claims, &msg->u.claim.item);
  send_ack (r, peer, shard, msg->u.claim.id, ok);
}

void
dks_owner_handle_confirm (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  uint32_t shard = msg->u.confirm.shard;

  send_ack (r, peer, shard, msg->u.confirm.id, accepts_claims_from (r, shard, peer));
}
