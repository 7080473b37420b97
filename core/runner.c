#include "core/owner.h"

#include "common/alloc.h"
#include "core/key.h"

#include <string.h>

static void
finish_foreign_claim (dks_reducer_t *r, dks_shard_state_t *st, dks_claim_t *claim,
                      dks_answer_t *answer)
{
  dks_waiter_ring_t waiters;
  uint64_t digest = claim->digest;
  bool never_started = answer->problem == DKS_PROBLEM_MOVED;

  APR_RING_INIT (&waiters, dks_waiter_t, link);
  APR_RING_CONCAT (&waiters, &claim->waiters, dks_waiter_t, link);
  if (never_started)
    dks_claims_remove (st->claims, claim);
  else
    dks_claims_finish (st->claims, claim, answer);
  dks_reply_all_with_digest (r, &waiters, answer, digest);
}

static void
finish_unknown (dks_reducer_t *r, dks_shard_state_t *st, dks_claim_t *claim)
{
  dks_answer_t *answer =
      dks_answer_create (claim->key, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_OWNER_LOST, 0);

  dks_strcpy (answer->detail, sizeof (answer->detail),
              "the instance that ran this work failed; the work may have run");
  finish_foreign_claim (r, st, claim, answer);
  dks_answer_unref (answer);
}

/* The backup of this owner has a claim that the owner lacked, so the work may have been started
 * elsewhere: the owner's job for this key must not start. The waiters of the job get the answer of
 * the claim. */
static void
discard_duplicate_job (dks_reducer_t *r, const dks_claim_item_t *item)
{
  dks_job_t *job = dks_job_find (r, item->key);
  dks_claim_t *claim;

  if (job == NULL || (job->state != DKS_JOB_QUEUED && job->state != DKS_JOB_CLAIMING))
    return;
  claim = dks_claims_find (r->shards[job->shard].claims, item->key);
  if (claim == NULL)
    return;
  if (claim->answer != NULL)
    dks_reply_all_with_digest (r, &job->waiters, claim->answer, claim->digest);
  else
    APR_RING_CONCAT (&claim->waiters, &job->waiters, dks_waiter_t, link);
  if (job->state == DKS_JOB_QUEUED)
    dks_queue_remove (r->queue, job);
  dks_claim_ops_stop_waiting (r, job);
  dks_job_discard (r, job);
}

void
dks_owner_handle_result (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  uint32_t shard = msg->u.result.shard;
  const dks_claim_item_t *item = &msg->u.result.item;
  dks_shard_state_t *st = &r->shards[shard];
  dks_claim_t *claim = dks_claims_find (st->claims, item->key);

  if (!dks_owner_is_self (r, shard) && !dks_owner_is_backup (r, shard)
      && strcmp (st->sync_from, peer) != 0)
    return;
  if (item->answer != NULL && item->answer->problem == DKS_PROBLEM_MOVED)
    {
      if (claim != NULL && claim->answer == NULL && strcmp (claim->runner, peer) == 0)
        finish_foreign_claim (r, st, claim, item->answer);
      return;
    }
  if (claim != NULL && item->answer != NULL)
    finish_foreign_claim (r, st, claim, item->answer);
  else
    dks_claims_put (st->claims, item);
  if (dks_owner_is_self (r, shard))
    discard_duplicate_job (r, item);
}

void
dks_owner_handle_runner_answer (dks_reducer_t *r, const char *key, dks_answer_t *answer)
{
  uint32_t shard = dks_key_shard (key);
  dks_shard_state_t *st = &r->shards[shard];
  dks_claim_t *claim = dks_claims_find (st->claims, key);

  if (claim == NULL || claim->answer != NULL || !dks_owner_is_self (r, shard))
    return;
  if (answer->problem == DKS_PROBLEM_NOT_FOUND)
    finish_unknown (r, st, claim);
  else
    finish_foreign_claim (r, st, claim, answer);
}

static void
query_runner (dks_reducer_t *r, dks_claim_t *claim)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_ASK);

  dks_strcpy (msg->u.ask.key, sizeof (msg->u.ask.key), claim->key);
  claim->runner_queried = true;
  dks_emit_peer (r, claim->runner, msg);
}

/* Resolves a claim of this instance that came back with a copy of the claims, after the message
 * with its answer was lost. */
static void
review_own_claim (dks_reducer_t *r, dks_shard_state_t *st, dks_claim_t *claim)
{
  const dks_job_t *job = dks_job_find (r, claim->key);

  if (job == NULL)
    finish_unknown (r, st, claim);
  else if (job->state == DKS_JOB_DONE)
    finish_foreign_claim (r, st, claim, job->answer);
}

void
dks_runner_review (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];
  dks_claim_t *claim = APR_RING_FIRST (&st->claims->unfinished_ring);

  while (claim != APR_RING_SENTINEL (&st->claims->unfinished_ring, dks_claim_t, unfinished_link))
    {
      dks_claim_t *next = APR_RING_NEXT (claim, unfinished_link);

      if (strcmp (claim->runner, r->self) == 0)
        review_own_claim (r, st, claim);
      else
        {
          const dks_peer_t *peer = dks_peer_find (r, claim->runner);

          if (!dks_member_is_alive (r, claim->runner))
            finish_unknown (r, st, claim);
          else if (!claim->runner_queried && peer != NULL && peer->up)
            query_runner (r, claim);
        }
      claim = next;
    }
}
