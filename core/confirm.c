#include "core/owner.h"

#include "common/alloc.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Longest wait for the confirmation of an answer. A takeover takes 2 s; a longer wait means that
   * the platform is down too. */
  CONFIRM_TIMEOUT_US = 6000000
};

static void
deliver_confirmed_answers (dks_reducer_t *r, dks_shard_state_t *st, uint64_t confirm_id)
{
  dks_unconfirmed_answer_t *unconfirmed = APR_RING_FIRST (&st->unconfirmed_answers);

  while (unconfirmed
         != APR_RING_SENTINEL (&st->unconfirmed_answers, dks_unconfirmed_answer_t, link))
    {
      dks_unconfirmed_answer_t *next = APR_RING_NEXT (unconfirmed, link);

      if (unconfirmed->confirm_id == confirm_id)
        {
          APR_RING_REMOVE (unconfirmed, link);
          /* The key may have been submitted again before the confirmation arrived; the waiter is
           * then attached to that work. */
          if (unconfirmed->answer->outcome == DKS_OUTCOME_ACCEPTED
              || !dks_owner_attach_waiter (r, unconfirmed->answer->key, &unconfirmed->waiter))
            dks_waiter_answer (r, &unconfirmed->waiter, unconfirmed->answer);
          dks_answer_unref (unconfirmed->answer);
          free (unconfirmed);
        }
      unconfirmed = next;
    }
}

void
dks_confirm_move_all (dks_reducer_t *r, dks_shard_state_t *st)
{
  while (!APR_RING_EMPTY (&st->unconfirmed_answers, dks_unconfirmed_answer_t, link))
    {
      dks_unconfirmed_answer_t *unconfirmed = APR_RING_FIRST (&st->unconfirmed_answers);

      APR_RING_REMOVE (unconfirmed, link);
      dks_reply_moved (r, &unconfirmed->waiter, unconfirmed->answer->key);
      dks_answer_unref (unconfirmed->answer);
      free (unconfirmed);
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

/* Sends a confirm message for all answers that wait for one now, unless an earlier confirm message
 * is still without acknowledgement. */
static void
request_confirmation (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_view_shard_t *vs = dks_owner_view_shard (r, shard);
  dks_unconfirmed_answer_t *unconfirmed;

  if (st->confirm_id != 0
      || APR_RING_EMPTY (&st->unconfirmed_answers, dks_unconfirmed_answer_t, link))
    return;
  st->confirm_id = dks_next_id (r);
  st->confirm_sent_us = r->now.mono_us;
  st->confirm_backup_ok = vs->backup[0] == '\0';
  st->confirm_sync_ok = !dks_owner_needs_sync_ack (st);
  APR_RING_FOREACH (unconfirmed, &st->unconfirmed_answers, dks_unconfirmed_answer_t, link)
    {
      unconfirmed->confirm_id = st->confirm_id;
    }
  if (!st->confirm_backup_ok)
    send_confirm (r, shard, vs->backup);
  if (!st->confirm_sync_ok)
    send_confirm (r, shard, st->sync_peer);
  if (st->confirm_backup_ok && st->confirm_sync_ok)
    {
      uint64_t id = st->confirm_id;

      st->confirm_id = 0;
      deliver_confirmed_answers (r, st, id);
    }
}

void
dks_confirm_restart (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];

  st->confirm_id = 0;
  request_confirmation (r, shard);
}

/* Answers UNKNOWN in place of answers that were not confirmed in time: without the backup's
 * confirmation it is not known whether the key was run elsewhere. */
static void
time_out_unconfirmed_answers (dks_reducer_t *r, dks_shard_state_t *st)
{
  while (!APR_RING_EMPTY (&st->unconfirmed_answers, dks_unconfirmed_answer_t, link))
    {
      dks_unconfirmed_answer_t *unconfirmed = APR_RING_FIRST (&st->unconfirmed_answers);

      if (r->now.mono_us - unconfirmed->created_us < CONFIRM_TIMEOUT_US)
        return;
      APR_RING_REMOVE (unconfirmed, link);
      dks_reply_unconfirmed (r, &unconfirmed->waiter, unconfirmed->answer->key, DKS_OUTCOME_UNKNOWN,
                             DKS_PROBLEM_NO_OWNER,
                             "the backup of this key's owner cannot be reached");
      dks_answer_unref (unconfirmed->answer);
      free (unconfirmed);
    }
}

void
dks_confirm_review (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];

  time_out_unconfirmed_answers (r, st);
  if (st->confirm_id != 0 && r->now.mono_us - st->confirm_sent_us > DKS_CLAIM_RETRY_US)
    dks_confirm_restart (r, shard);
}

void
dks_confirm_clear (dks_shard_state_t *st)
{
  while (!APR_RING_EMPTY (&st->unconfirmed_answers, dks_unconfirmed_answer_t, link))
    {
      dks_unconfirmed_answer_t *unconfirmed = APR_RING_FIRST (&st->unconfirmed_answers);

      APR_RING_REMOVE (unconfirmed, link);
      dks_answer_unref (unconfirmed->answer);
      free (unconfirmed);
    }
}

void
dks_confirm_answer (dks_reducer_t *r, uint32_t shard, const dks_waiter_t *waiter,
                    dks_answer_t *answer)
{
  dks_unconfirmed_answer_t *unconfirmed = dks_alloc (sizeof (*unconfirmed));

  unconfirmed->waiter = *waiter;
  unconfirmed->answer = answer;
  unconfirmed->created_us = r->now.mono_us;
  APR_RING_INSERT_TAIL (&r->shards[shard].unconfirmed_answers, unconfirmed,
                        dks_unconfirmed_answer_t, link);
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
  deliver_confirmed_answers (r, st, id);
  request_confirmation (r, shard);
}
