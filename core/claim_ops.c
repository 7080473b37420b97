#include "core/owner.h"

#include "common/alloc.h"

#include <string.h>

void
dks_claim_ops_send_result (dks_reducer_t *r, uint32_t shard, const char *peer,
                           const dks_claim_item_t *item)
{
  dks_msg_t *msg;

  if (peer[0] == '\0' || strcmp (peer, r->self) == 0)
    return;
  msg = dks_msg_create (DKS_MSG_RESULT);
  msg->u.result.shard = shard;
  msg->u.result.item = *item;
  dks_answer_ref (item->answer);
  dks_emit_peer (r, peer, msg);
}

static void
job_to_claim_item (const dks_reducer_t *r, const dks_job_t *job, dks_claim_item_t *item)
{
  memset (item, 0, sizeof (*item));
  dks_strcpy (item->key, sizeof (item->key), job->submission->key);
  dks_strcpy (item->runner, sizeof (item->runner), r->self);
  item->issued_ms = job->submission->issued_ms;
  item->digest = job->submission->digest;
}

void
dks_claim_ops_release (dks_reducer_t *r, dks_job_t *job)
{
  const dks_view_shard_t *vs = dks_owner_view_shard (r, job->shard);
  dks_claim_item_t item;

  job_to_claim_item (r, job, &item);
  item.answer = dks_answer_create (item.key, DKS_OUTCOME_REFUSED, DKS_PROBLEM_MOVED, 0);
  dks_claim_ops_send_result (r, job->shard, vs->owner, &item);
  dks_claim_ops_send_result (r, job->shard, vs->backup, &item);
  if (strcmp (r->shards[job->shard].sync_peer, vs->backup) != 0)
    dks_claim_ops_send_result (r, job->shard, r->shards[job->shard].sync_peer, &item);
  dks_answer_unref (item.answer);
}

void
dks_owner_record_answer (dks_reducer_t *r, dks_job_t *job)
{
  const dks_view_shard_t *vs = dks_owner_view_shard (r, job->shard);
  dks_shard_state_t *st = &r->shards[job->shard];
  dks_claim_t *claim = dks_claims_find (st->claims, job->submission->key);
  dks_claim_item_t item;

  if (claim != NULL)
    dks_claims_finish (st->claims, claim, job->answer);
  job_to_claim_item (r, job, &item);
  item.answer = job->answer;
  dks_claim_ops_send_result (r, job->shard, vs->owner, &item);
  dks_claim_ops_send_result (r, job->shard, vs->backup, &item);
  if (strcmp (st->sync_peer, vs->backup) != 0)
    dks_claim_ops_send_result (r, job->shard, st->sync_peer, &item);
}

void
dks_claim_ops_stop_waiting (dks_reducer_t *r, dks_job_t *job)
{
  if (job->claim_id != 0)
    apr_hash_set (r->pending_claims, &job->claim_id, sizeof (job->claim_id), NULL);
  job->claim_id = 0;
  dks_timer_cancel (r->timers, &job->claim_timer);
}

static void
grant_claim (dks_reducer_t *r, dks_job_t *job)
{
  dks_shard_state_t *st = &r->shards[job->shard];
  dks_claim_item_t item;

  dks_claim_ops_stop_waiting (r, job);
  job_to_claim_item (r, job, &item);
  dks_claims_put (st->claims, &item);
  dks_job_activate (r, job);
}

static void
send_claim (dks_reducer_t *r, dks_job_t *job, const char *peer)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_CLAIM);

  msg->u.claim.shard = job->shard;
  msg->u.claim.epoch = dks_owner_view_shard (r, job->shard)->epoch;
  msg->u.claim.id = job->claim_id;
  job_to_claim_item (r, job, &msg->u.claim.item);
  dks_counter_increment (&r->counters, DKS_COUNTER_CLAIMS);
  dks_emit_peer (r, peer, msg);
}

void
dks_owner_claim (dks_reducer_t *r, dks_job_t *job)
{
  dks_shard_state_t *st = &r->shards[job->shard];
  const dks_view_shard_t *vs = dks_owner_view_shard (r, job->shard);

  dks_claim_ops_stop_waiting (r, job);
  if (job->state != DKS_JOB_CLAIMING)
    job->claim_sent_us = r->now.mono_us;
  job->state = DKS_JOB_CLAIMING;
  job->backup_acked = vs->backup[0] == '\0';
  job->sync_acked = !dks_owner_needs_sync_ack (st);
  if (st->release_cas_pending)
    {
      dks_timer_set (r->timers, &job->claim_timer, r->now.mono_us + DKS_CLAIM_RETRY_US);
      return;
    }
  if (job->backup_acked && job->sync_acked)
    {
      grant_claim (r, job);
      return;
    }
  job->claim_id = dks_next_id (r);
  apr_hash_set (r->pending_claims, &job->claim_id, sizeof (job->claim_id), job);
  if (!job->backup_acked)
    send_claim (r, job, vs->backup);
  if (!job->sync_acked)
    send_claim (r, job, st->sync_peer);
  dks_timer_set (r->timers, &job->claim_timer, r->now.mono_us + DKS_CLAIM_RETRY_US);
}

void
dks_owner_handle_ack (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  uint32_t shard = msg->u.claim_ack.shard;
  uint64_t id = msg->u.claim_ack.id;
  dks_job_t *job;

  if (id == r->shards[shard].confirm_id)
    {
      dks_confirm_handle_ack (r, peer, shard, msg->u.claim_ack.ok);
      return;
    }
  job = apr_hash_get (r->pending_claims, &id, sizeof (id));
  if (job == NULL || !msg->u.claim_ack.ok)
    return;
  if (strcmp (peer, dks_owner_view_shard (r, job->shard)->backup) == 0)
    job->backup_acked = true;
  if (strcmp (peer, r->shards[job->shard].sync_peer) == 0)
    job->sync_acked = true;
  if (job->backup_acked && job->sync_acked)
    grant_claim (r, job);
}

void
dks_claim_ops_resend_all (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];
  dks_job_t *job;
  dks_job_t *next;

  for (job = APR_RING_FIRST (&st->jobs);
       job != APR_RING_SENTINEL (&st->jobs, dks_job_t, shard_link); job = next)
    {
      next = APR_RING_NEXT (job, shard_link);
      if (job->state == DKS_JOB_CLAIMING)
        dks_owner_claim (r, job);
    }
  dks_confirm_restart (r, shard);
}
