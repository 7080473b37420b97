#include "core/owner.h"

#include "common/alloc.h"

#include <string.h>

static void
handle_ownership_lost (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];
  dks_job_t *job = APR_RING_FIRST (&st->jobs);
  dks_claim_t *claim;

  st->sync_peer[0] = '\0';
  st->sync_acked = false;
  while (job != APR_RING_SENTINEL (&st->jobs, dks_job_t, shard_link))
    {
      dks_job_t *next = APR_RING_NEXT (job, shard_link);

      if (job->state == DKS_JOB_QUEUED || job->state == DKS_JOB_CLAIMING)
        {
          dks_answer_t *moved =
              dks_answer_create (job->submission->key, DKS_OUTCOME_REFUSED, DKS_PROBLEM_MOVED, 0);

          if (job->state == DKS_JOB_CLAIMING)
            dks_claim_ops_release (r, job);
          else
            dks_queue_remove (r->queue, job);
          dks_reply_all (r, &job->waiters, moved);
          dks_answer_unref (moved);
          dks_claim_ops_stop_waiting (r, job);
          dks_job_discard (r, job);
        }
      job = next;
    }
  APR_RING_FOREACH (claim, &st->claims->unfinished_ring, dks_claim_t, unfinished_link)
    {
      dks_answer_t *moved =
          dks_answer_create (claim->key, DKS_OUTCOME_REFUSED, DKS_PROBLEM_MOVED, 0);

      dks_reply_all (r, &claim->waiters, moved);
      dks_answer_unref (moved);
    }
  dks_confirm_move_all (r, st);
}

static bool
has_role (const dks_view_shard_t *shard, const char *member)
{
  return strcmp (shard->owner, member) == 0 || strcmp (shard->backup, member) == 0;
}

/* This member has become the owner of the shard. If it was neither owner nor backup in the old
 * view, the claims are at other members or lost. */
static void
handle_ownership_gained (dks_reducer_t *r, uint32_t shard, const dks_view_t *old,
                         bool has_earlier_claims)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_view_shard_t *old_vs = &old->shards[shard];
  bool had_role = has_role (old_vs, r->self);
  dks_claim_t *claim;

  st->recovered = false;
  dks_strcpy (st->former_holders[0], sizeof (st->former_holders[0]), had_role ? "" : old_vs->owner);
  dks_strcpy (st->former_holders[1], sizeof (st->former_holders[1]),
              had_role ? "" : old_vs->backup);
  /* If this member still has the claims from before the previous owner's time, only those that the
   * previous owner made are missing. */
  st->former_floor_ms = has_earlier_claims ? st->own_floor_ms : old_vs->floor_ms;
  APR_RING_FOREACH (claim, &st->claims->unfinished_ring, dks_claim_t, unfinished_link)
    {
      claim->runner_queried = false;
    }
  dks_runner_review (r, shard);
}

/* This member is neither owner nor backup of the shard in the new view. If it was one in the old
 * view, it hands the claims back to a new owner that lacks them. */
static void
handle_role_lost (dks_reducer_t *r, uint32_t shard, const dks_view_shard_t *old_vs)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_view_shard_t *vs = dks_owner_view_shard (r, shard);

  st->recovered = false;
  st->former_holders[0][0] = '\0';
  st->former_holders[1][0] = '\0';
  if (vs->owner[0] == '\0' || has_role (old_vs, vs->owner) || !has_role (old_vs, r->self))
    return;
  dks_strcpy (st->handback_to, sizeof (st->handback_to), vs->owner);
  st->handback_sent_us = 0;
  st->handback_floor_ms = st->claims->floor_ms;
  st->own_floor_ms =
      old_vs->floor_ms > st->claims->floor_ms ? old_vs->floor_ms : st->claims->floor_ms;
}

/* Ends the fencing, handback, copy to the next backup and floor recovery that the new owner, backup
 * or floor of the shard has made unnecessary. */
static void
end_transfers (dks_shard_state_t *st, const dks_view_shard_t *vs)
{
  st->fenced = false;
  if (strcmp (st->handback_to, vs->owner) != 0)
    st->handback_to[0] = '\0';
  if (strcmp (st->sync_peer, vs->backup) == 0)
    st->sync_peer[0] = '\0';
  if (st->recovered && vs->floor_ms <= st->recovered_floor_ms)
    st->recovered = false;
}

static void
apply_shard (dks_reducer_t *r, uint32_t shard, const dks_view_t *old)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_view_shard_t *old_vs = &old->shards[shard];
  const dks_view_shard_t *vs = dks_owner_view_shard (r, shard);
  bool was_owner = strcmp (old_vs->owner, r->self) == 0;
  bool is_owner = dks_owner_is_self (r, shard);
  bool has_earlier_claims =
      old_vs->owner[0] != '\0' && strcmp (st->handback_to, old_vs->owner) == 0;

  if (vs->epoch == old_vs->epoch && strcmp (vs->owner, old_vs->owner) == 0)
    {
      if (was_owner)
        dks_claim_ops_resend_all (r, shard);
      return;
    }
  end_transfers (st, vs);
  if (was_owner && !is_owner)
    handle_ownership_lost (r, shard);
  if (dks_owner_is_backup (r, shard) || strcmp (st->sync_from, vs->owner) != 0)
    st->sync_from[0] = '\0';
  if (!is_owner && !dks_owner_is_backup (r, shard))
    {
      handle_role_lost (r, shard, old_vs);
      if (st->sync_from[0] == '\0' && st->handback_to[0] == '\0')
        dks_claims_clear (st->claims);
    }
  if (!is_owner)
    return;
  if (!was_owner)
    handle_ownership_gained (r, shard, old, has_earlier_claims);
  dks_claim_ops_resend_all (r, shard);
}

void
dks_owner_handle_view (dks_reducer_t *r, const dks_view_t *old)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    apply_shard (r, i, old);
}
