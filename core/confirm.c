#include "core/owner.h"

#include "common/alloc.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Longest wait for the confirmation of a refusal. A takeover takes 2 s; a longer wait means that
   * the platform is down too. */
  CONFIRM_TIMEOUT_US = 6000000
};

static void
deliver_refusals (dks_reducer_t *r, dks_shard_state_t *st, uint64_t confirm_id)
{
  dks_refusal_t *refusal = APR_RING_FIRST (&st->refusals);

  while (refusal != APR_RING_SENTINEL (&st->refusals, dks_refusal_t, link))
    {
      dks_refusal_t *next = APR_RING_NEXT (refusal, link);

      if (refusal->confirm_id == confirm_id)
        {
          APR_RING_REMOVE (refusal, link);
          /* The key may have been submitted again before the confirmation arrived; the waiter is
           * then attached to that work. */
          if (refusal->answer->outcome == DKS_OUTCOME_ACCEPTED
              || !dks_owner_attach_waiter (r, refusal->answer->key, &refusal->waiter))
            dks_waiter_answer (r, &refusal->waiter, refusal->answer);
          dks_answer_unref (refusal->answer);
          free (refusal);
        }
      refusal = next;
    }
}

void
dks_confirm_move_all (dks_reducer_t *r, dks_shard_state_t *st)
{
  while (!APR_RING_EMPTY (&st->refusals, dks_refusal_t, link))
    {
      dks_refusal_t *refusal = APR_RING_FIRST (&st->refusals);

      APR_RING_REMOVE (refusal, link);
      dks_reply_moved (r, &refusal->waiter, refusal->answer->key);
      dks_answer_unref (refusal->answer);
      free (refusal);
    }
  st->confirm_id = 0;
}

static void
send_confirm (dks_reducer_t *r, uint32_t shard, const char *peer)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_CONFIRM);

  msg->u.confirm.shard = shard;
  msg->u.confirm.epoch = dks_owner_view_shard (r, shard)->epoch;
  msg->u.confirm.id = r->shards[shard].confirm_id;
  dks_emit_peer (r, peer, msg);
}

/* Sends a confirm message for all refusals that are waiting now, unless an earlier confirm message
 * is still without acknowledgement. */
static void
request_confirmation (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_view_shard_t *vs = dks_owner_view_shard (r, shard);
  dks_refusal_t *refusal;

  if (st->confirm_id != 0 || APR_RING_EMPTY (&st->refusals, dks_refusal_t, link))
    return;
  st->confirm_id = dks_next_id (r);
  st->confirm_sent_us = r->now.mono_us;
  st->confirm_backup_ok = vs->backup[0] == '\0';
  st->confirm_sync_ok = !dks_owner_needs_sync_ack (st);
  APR_RING_FOREACH (refusal, &st->refusals, dks_refusal_t, link)
    {
      refusal->confirm_id = st->confirm_id;
    }
  if (!st->confirm_backup_ok)
    send_confirm (r, shard, vs->backup);
  if (!st->confirm_sync_ok)
    send_confirm (r, shard, st->sync_peer);
  if (st->confirm_backup_ok && st->confirm_sync_ok)
    {
      uint64_t id = st->confirm_id;

      st->confirm_id = 0;
      deliver_refusals (r, st, id);
    }
}

void
dks_confirm_restart (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];

  st->confirm_id = 0;
  request_confirmation (r, shard);
}

/* Answers UNKNOWN in place of refusals that were not confirmed in time: without the backup's
 * confirmation it is not known whether the key was run elsewhere. */
static void
time_out_refusals (dks_reducer_t *r, dks_shard_state_t *st)
{
  while (!APR_RING_EMPTY (&st->refusals, dks_refusal_t, link))
    {
      dks_refusal_t *refusal = APR_RING_FIRST (&st->refusals);

      if (r->now.mono_us - refusal->created_us < CONFIRM_TIMEOUT_US)
        return;
      APR_RING_REMOVE (refusal, link);
      dks_reply_unconfirmed (r, &refusal->waiter, refusal->answer->key, DKS_OUTCOME_UNKNOWN,
                             DKS_PROBLEM_NO_OWNER,
                             "the backup of this key's owner cannot be reached");
      dks_answer_unref (refusal->answer);
      free (refusal);
    }
}

void
dks_confirm_review (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];

  time_out_refusals (r, st);
  if (st->confirm_id != 0 && r->now.mono_us - st->confirm_sent_us > DKS_CLAIM_RETRY_US)
    dks_confirm_restart (r, shard);
}

void
dks_confirm_clear (dks_shard_state_t *st)
{
  while (!APR_RING_EMPTY (&st->refusals, dks_refusal_t, link))
    {
      dks_refusal_t *refusal = APR_RING_FIRST (&st->refusals);

      APR_RING_REMOVE (refusal, link);
      dks_answer_unref (refusal->answer);
      free (refusal);
    }
}

void
dks_confirm_answer (dks_reducer_t *r, uint32_t shard, const dks_waiter_t *waiter,
                    dks_answer_t *answer)
{
  dks_refusal_t *refusal = dks_alloc (sizeof (*refusal));

  refusal->waiter = *waiter;
  refusal->answer = answer;
  refusal->created_us = r->now.mono_us;
  APR_RING_INSERT_TAIL (&r->shards[shard].refusals, refusal, dks_refusal_t, link);
  request_confirmation (r, shard);
}

void
dks_confirm_handle_ack (dks_reducer_t *r, const char *peer, uint32_t shard, bool ok)
{
  dks_shard_state_t *st = &r->shards[shard];
  uint64_t id = st->confirm_id;

  if (!ok)
    return; /* the confirm message is resent by dks_owner_review() */
  if (strcmp (peer, dks_owner_view_shard (r, shard)->backup) == 0)
    st->confirm_backup_ok = true;
  if (strcmp (peer, st->sync_peer) == 0)
    st->confirm_sync_ok = true;
  if (!st->confirm_backup_ok || !st->confirm_sync_ok)
    return;
  st->confirm_id = 0;
  deliver_refusals (r, st, id);
  request_confirmation (r, shard);
}
