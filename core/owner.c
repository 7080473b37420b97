#include "core/owner.h"

#include "common/alloc.h"
#include "core/key.h"

#include <stdlib.h>
#include <string.h>

enum
{
  SYNC_TIMEOUT_US = 3000000, /* a copy of the claims that is not acknowledged is started again */
  SNAPSHOT_ITEMS = 256       /* claims in one snapshot message */
};

const dks_view_shard_t *
dks_owner_view_shard (const dks_reducer_t *r, uint32_t shard)
{
  return &dks_own_view (r)->shards[shard];
}

bool
dks_owner_is_self (const dks_reducer_t *r, uint32_t shard)
{
  return strcmp (dks_owner_view_shard (r, shard)->owner, r->self) == 0;
}

bool
dks_owner_is_backup (const dks_reducer_t *r, uint32_t shard)
{
  return strcmp (dks_owner_view_shard (r, shard)->backup, r->self) == 0;
}

bool
dks_owner_can_lower_floor (const dks_reducer_t *r, uint32_t shard)
{
  const dks_shard_state_t *st = &r->shards[shard];
  const char *backup = dks_owner_view_shard (r, shard)->backup;

  if (!st->recover_ready || !dks_owner_is_self (r, shard))
    return false;
  if (backup[0] == '\0')
    return st->sync_peer[0] == '\0' || st->sync_id > st->recover_id;
  return strcmp (st->sync_peer, backup) == 0 && st->sync_acked && st->sync_id > st->recover_id;
}

bool
dks_owner_needs_sync_ack (const dks_shard_state_t *st)
{
  return st->sync_peer[0] != '\0';
}

/* Confirmed like a refusal: a former owner could accept a key that was used for other content. */
static void
answer_accepted (dks_reducer_t *r, const dks_waiter_t *waiter, const dks_submission_t *s)
{
  if (s->respond_async)
    dks_confirm_answer (r, dks_key_shard (s->key), waiter,
                        dks_answer_create (s->key, DKS_OUTCOME_ACCEPTED, DKS_PROBLEM_NONE, 0));
}

static void
answer_reused (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key)
{
  dks_reply_now (r, waiter, key, DKS_OUTCOME_FAILED, DKS_PROBLEM_KEY_REUSED,
                 "the key was used for other content");
}

/* Attaches a waiter to work that is known already. Returns false if the key is new. */
static bool
attach (dks_reducer_t *r, const char *key, uint32_t shard, const dks_waiter_t *waiter)
{
  uint64_t digest = waiter->digest;
  dks_claim_t *claim = dks_claims_find (r->shards[shard].claims, key);
  dks_job_t *job = dks_job_find (r, key);

  if (claim != NULL && claim->answer != NULL)
    {
      if (digest != 0 && claim->digest != 0 && claim->digest != digest)
        answer_reused (r, waiter, key);
      else
        dks_waiter_answer (r, waiter, claim->answer);
      return true;
    }
  if (job != NULL)
    {
      if (digest != 0 && job->submission->digest != 0 && job->submission->digest != digest)
        answer_reused (r, waiter, key);
      else
        dks_job_add_waiter (job, waiter);
      return true;
    }
  if (claim != NULL)
    {
      dks_waiters_add (&claim->waiters, waiter);
      return true;
    }
  return false;
}

static bool
is_under_way (const dks_reducer_t *r, const char *key, uint32_t shard)
{
  const dks_claim_t *claim = dks_claims_find (r->shards[shard].claims, key);

  return claim != NULL ? claim->answer == NULL : dks_job_find (r, key) != NULL;
}

bool
dks_owner_attach_known (dks_reducer_t *r, const char *key, const dks_waiter_t *waiter)
{
  uint32_t shard = dks_key_shard (key);

  if (!waiter->is_query || !is_under_way (r, key, shard))
    return attach (r, key, shard, waiter);
  dks_reply_now (r, waiter, key, DKS_OUTCOME_ACCEPTED, DKS_PROBLEM_NONE, "");
  return true;
}

void
dks_owner_submit (dks_reducer_t *r, dks_submission_t *submission, const dks_waiter_t *waiter)
{
  uint32_t shard = dks_key_shard (submission->key);
  dks_job_t *job;

  if (!dks_owner_is_self (r, shard))
    {
      dks_reply_moved (r, waiter, submission->key);
      return;
    }
  if (attach (r, submission->key, shard, waiter))
    {
      answer_accepted (r, waiter, submission);
      return;
    }
  if (!dks_admission_check_issue_time (r, submission->key, submission->issued_ms, shard, waiter)
      || !dks_admission_check_work (r, submission, shard, waiter))
    return;
  job = dks_job_create (r, submission, shard);
  dks_job_add_waiter (job, waiter);
  answer_accepted (r, waiter, submission);
  dks_queue_push (r->queue, job);
}

static void
cancel_job (dks_reducer_t *r, dks_job_t *job)
{
  switch (job->state)
    {
    case DKS_JOB_QUEUED:
      dks_queue_remove (r->queue, job);
      job->is_cancel = true;
      dks_owner_claim (r, job);
      break;
    case DKS_JOB_CLAIMING:
      if (!job->is_cancel)
        {
          r->claiming_tasks -= job->submission->task_count;
          job->team->in_use -= job->submission->task_count;
        }
      job->is_cancel = true;
      break;
    case DKS_JOB_ACTIVE:
      dks_job_finish (r, job, DKS_OUTCOME_CANCELLED, DKS_PROBLEM_CANCELLED,
                      "cancelled by the caller");
      break;
    case DKS_JOB_DONE:
      break;
    }
}

/* Claims a key that was never submitted, so that a late submission of it does not start. */
static void
cancel_unknown_key (dks_reducer_t *r, const char *key, const dks_key_t *parsed, uint32_t shard,
                    const dks_waiter_t *waiter)
{
  dks_submission_t *submission;
  dks_job_t *job;

  submission = dks_submission_create (0);
  dks_strcpy (submission->key, sizeof (submission->key), key);
  submission->issued_ms = parsed->issued_ms;
  submission->deadline_ms = r->now.wall_ms + (int64_t)5 * DKS_RETRY_AFTER_MS;
  job = dks_job_create (r, submission, shard);
  dks_submission_unref (submission);
  job->is_cancel = true;
  dks_job_add_waiter (job, waiter);
  dks_owner_claim (r, job);
}

/* A question about a claim that this instance runs although it does not own the shard any more. */
static void
ask_runner (dks_reducer_t *r, const char *key, bool cancel, const dks_waiter_t *waiter)
{
  dks_job_t *job = dks_job_find (r, key);
  bool is_entry = waiter->request != 0;

  if (job == NULL || job->state == DKS_JOB_QUEUED || job->state == DKS_JOB_CLAIMING)
    {
      if (is_entry)
        dks_reply_moved (r, waiter, key);
      else
        dks_reply_now (r, waiter, key, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_NOT_FOUND, "");
      return;
    }
  dks_job_add_waiter (job, waiter);
  if (job->state == DKS_JOB_DONE)
    dks_job_answer_waiters (r, job, job->answer);
  else if (cancel)
    cancel_job (r, job);
}

void
dks_owner_ask (dks_reducer_t *r, const char *key, bool cancel, const dks_waiter_t *waiter)
{
  uint32_t shard = dks_key_shard (key);
  dks_job_t *job;
  dks_key_t parsed;

  if (!dks_owner_is_self (r, shard))
    {
      ask_runner (r, key, cancel, waiter);
      return;
    }
  job = dks_job_find (r, key);
  if (dks_owner_attach_known (r, key, waiter))
    {
      if (cancel && job != NULL)
        cancel_job (r, job);
      return;
    }
  if (dks_key_parse (key, &parsed) != 0
      || !dks_admission_check_issue_time (r, key, parsed.issued_ms, shard, waiter))
    return;
  if (cancel)
    cancel_unknown_key (r, key, &parsed, shard, waiter);
  else
    dks_confirm_answer (
        r, shard, waiter,
        dks_reply_create_refusal (key, DKS_PROBLEM_NOT_FOUND, 0, "this key has not been run"));
}

void
dks_owner_refuse_job (dks_reducer_t *r, dks_job_t *job, dks_problem_t problem,
                      uint32_t retry_after_ms, const char *detail)
{
  uint32_t shard = job->shard;
  char key[DKS_KEY_SIZE];
  dks_waiter_ring_t waiters;
  dks_waiter_t *waiter;

  dks_strcpy (key, sizeof (key), job->submission->key);
  if (job->state == DKS_JOB_CLAIMING)
    dks_claim_ops_release (r, job);
  APR_RING_INIT (&waiters, dks_waiter_t, link);
  APR_RING_CONCAT (&waiters, &job->waiters, dks_waiter_t, link);
  dks_claim_ops_forget_id (r, job);
  /* The job must be gone before its callers are refused: a refusal is withdrawn if its key is
   * known. */
  dks_job_discard (r, job);
  while ((waiter = dks_waiters_take (&waiters)) != NULL)
    {
      dks_confirm_answer (r, shard, waiter,
                          dks_reply_create_refusal (key, problem, retry_after_ms, detail));
      free (waiter);
    }
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

/* From here on every claim also needs the acknowledgement of the next backup. */
static void
start_sync (dks_reducer_t *r, uint32_t shard, const char *peer)
{
  dks_shard_state_t *st = &r->shards[shard];

  dks_strcpy (st->sync_peer, sizeof (st->sync_peer), peer);
  st->sync_id = dks_next_id (r);
  st->sync_us = r->now.mono_us;
  st->sync_acked = false;
  /* The floor of the view is not part of the copy: it may be lowered later. */
  send_snapshot (r, shard, peer, st->sync_id, dks_admission_table_floor_ms (r, shard));
  dks_claim_ops_claim_again (r, shard);
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
    dks_claim_ops_claim_again (r, shard);
}

/* Claims are back: the floor may be lowered once the backup has them too. */
static void
finish_recovery (dks_reducer_t *r, uint32_t shard, int64_t floor_ms)
{
  dks_shard_state_t *st = &r->shards[shard];

  st->recover_ready = true;
  st->recover_floor_ms = floor_ms > st->lost_floor_ms ? floor_ms : st->lost_floor_ms;
  st->recover_id = dks_next_id (r);
  st->lost[0][0] = '\0';
  st->lost[1][0] = '\0';
  /* A copy that is under way may lack the recovered claims. */
  if (!st->sync_proposed)
    stop_sync (r, shard);
  dks_emit_log (r, DKS_LOG_NOTICE, "event=claims-recovered shard=%u", shard);
}

void
dks_owner_handle_snapshot (dks_reducer_t *r, const char *peer, const dks_msg_t *msg)
{
  uint32_t shard = msg->u.snapshot.shard;
  dks_shard_state_t *st = &r->shards[shard];
  bool from_owner = strcmp (dks_owner_view_shard (r, shard)->owner, peer) == 0;
  bool from_lost = dks_owner_is_self (r, shard)
                   && (strcmp (st->lost[0], peer) == 0 || strcmp (st->lost[1], peer) == 0);
  dks_msg_t *ack;

  if (!from_owner && !from_lost)
    return;
  if (from_owner)
    dks_strcpy (st->sync_from, sizeof (st->sync_from), peer);
  for (uint32_t i = 0; i < msg->u.snapshot.count; i++)
    dks_claims_put (st->claims, &msg->u.snapshot.items[i]);
  if (st->claims->floor_ms < msg->u.snapshot.floor_ms)
    st->claims->floor_ms = msg->u.snapshot.floor_ms;
  if (!msg->u.snapshot.last)
    return;
  if (from_lost)
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

/* A former owner or backup sends its claims to a new owner that lacks them. */
static void
review_handback (dks_reducer_t *r, uint32_t shard)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_peer_t *peer = dks_peer_find (r, st->handback_to);

  if (st->handback_to[0] == '\0' || peer == NULL || !peer->up
      || r->now.mono_us - st->handback_us < SYNC_TIMEOUT_US)
    return;
  st->handback_us = r->now.mono_us;
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

      /* Claims sent to a peer may be lost with the connection, so a copy starts again. While it
       * may still become the backup, its acknowledgement stays necessary. */
      st->sync_acked = st->sync_acked && strcmp (st->sync_peer, peer) != 0;
      if (strcmp (st->sync_peer, peer) == 0 && !st->sync_proposed)
        stop_sync (r, i);
      if (strcmp (st->sync_from, peer) == 0)
        st->sync_from[0] = '\0';
      APR_RING_FOREACH (claim, &st->claims->open, dks_claim_t, open_link)
        {
          if (strcmp (claim->runner, peer) == 0)
            claim->asked = false;
        }
    }
}

static void
lose_shard (dks_reducer_t *r, uint32_t shard)
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
          dks_claim_ops_forget_id (r, job);
          dks_job_discard (r, job);
        }
      job = next;
    }
  APR_RING_FOREACH (claim, &st->claims->open, dks_claim_t, open_link)
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

/* We own the shard now. If we had no part in it before, its claims are elsewhere or lost. */
static void
gain_shard (dks_reducer_t *r, uint32_t shard, const dks_view_t *old, bool kept_claims)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_view_shard_t *before = &old->shards[shard];
  bool had_role = has_role (before, r->self);
  dks_claim_t *claim;

  st->recover_ready = false;
  dks_strcpy (st->lost[0], sizeof (st->lost[0]), had_role ? "" : before->owner);
  dks_strcpy (st->lost[1], sizeof (st->lost[1]), had_role ? "" : before->backup);
  /* With the claims from before the last owner's time, only those that it made are missing. */
  st->lost_floor_ms = kept_claims ? st->own_floor_ms : before->floor_ms;
  APR_RING_FOREACH (claim, &st->claims->open, dks_claim_t, open_link)
    {
      claim->asked = false;
    }
  dks_runner_review (r, shard);
}

/* We had a part in the shard and have none now. */
static void
leave_shard (dks_reducer_t *r, uint32_t shard, const dks_view_shard_t *before)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_view_shard_t *vs = dks_owner_view_shard (r, shard);

  st->recover_ready = false;
  st->lost[0][0] = '\0';
  st->lost[1][0] = '\0';
  if (vs->owner[0] == '\0' || has_role (before, vs->owner) || !has_role (before, r->self))
    return;
  dks_strcpy (st->handback_to, sizeof (st->handback_to), vs->owner);
  st->handback_us = 0;
  st->handback_floor_ms = st->claims->floor_ms;
  st->own_floor_ms =
      before->floor_ms > st->claims->floor_ms ? before->floor_ms : st->claims->floor_ms;
}

/* Ends what the new owner, backup or floor has made unnecessary. */
static void
end_transfers (dks_shard_state_t *st, const dks_view_shard_t *vs)
{
  st->fenced = false;
  if (strcmp (st->handback_to, vs->owner) != 0)
    st->handback_to[0] = '\0';
  if (strcmp (st->sync_peer, vs->backup) == 0)
    st->sync_peer[0] = '\0';
  if (st->recover_ready && vs->floor_ms <= st->recover_floor_ms)
    st->recover_ready = false;
}

static void
apply_shard (dks_reducer_t *r, uint32_t shard, const dks_view_t *old)
{
  dks_shard_state_t *st = &r->shards[shard];
  const dks_view_shard_t *before = &old->shards[shard];
  const dks_view_shard_t *vs = dks_owner_view_shard (r, shard);
  bool was_owner = strcmp (before->owner, r->self) == 0;
  bool is_owner = dks_owner_is_self (r, shard);
  bool kept_claims = before->owner[0] != '\0' && strcmp (st->handback_to, before->owner) == 0;

  if (vs->epoch == before->epoch && strcmp (vs->owner, before->owner) == 0)
    {
      if (was_owner)
        dks_claim_ops_claim_again (r, shard);
      return;
    }
  end_transfers (st, vs);
  if (was_owner && !is_owner)
    lose_shard (r, shard);
  if (dks_owner_is_backup (r, shard) || strcmp (st->sync_from, vs->owner) != 0)
    st->sync_from[0] = '\0';
  if (!is_owner && !dks_owner_is_backup (r, shard))
    {
      leave_shard (r, shard, before);
      if (st->sync_from[0] == '\0' && st->handback_to[0] == '\0')
        dks_claims_clear (st->claims);
    }
  if (!is_owner)
    return;
  if (!was_owner)
    gain_shard (r, shard, old, kept_claims);
  dks_claim_ops_claim_again (r, shard);
}

void
dks_owner_handle_view (dks_reducer_t *r, const dks_view_t *old)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    apply_shard (r, i, old);
}

static void
review_sync (dks_reducer_t *r, uint32_t shard, const dks_view_inputs_t *inputs)
{
  dks_shard_state_t *st = &r->shards[shard];
  const char *backup = dks_view_best_backup (dks_own_view (r), inputs, shard);
  const dks_peer_t *peer;

  if (st->sync_proposed)
    return;
  if (st->recover_ready && dks_owner_view_shard (r, shard)->backup[0] != '\0')
    backup = dks_owner_view_shard (r, shard)->backup;
  if (st->sync_peer[0] != '\0'
      && (backup == NULL || strcmp (backup, st->sync_peer) != 0
          || (!st->sync_acked && r->now.mono_us - st->sync_us > SYNC_TIMEOUT_US)))
    stop_sync (r, shard);
  peer = backup != NULL ? dks_peer_find (r, backup) : NULL;
  if (st->sync_peer[0] == '\0' && peer != NULL && peer->up
      && (st->recover_ready || strcmp (backup, dks_owner_view_shard (r, shard)->backup) != 0))
    start_sync (r, shard, backup);
}

static void
review_own_shard (dks_reducer_t *r, uint32_t shard, const dks_view_inputs_t *inputs)
{
  dks_confirm_review (r, shard);
  dks_runner_review (r, shard);
  review_sync (r, shard, inputs);
}

void
dks_owner_review (dks_reducer_t *r)
{
  dks_view_inputs_t inputs;

  dks_view_inputs (r, &inputs);
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      if (dks_owner_is_self (r, i))
        review_own_shard (r, i, &inputs);
      else if (dks_owner_is_backup (r, i))
        r->shards[i].fenced = !dks_member_is_alive (r, dks_owner_view_shard (r, i)->owner)
                              || (r->shards[i].fenced && r->view_op != 0);
      review_handback (r, i);
    }
}

void
dks_owner_expire (dks_reducer_t *r)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      if (r->shards[i].claims->count > 0)
        dks_claims_expire (r->shards[i].claims, r->now.wall_ms - r->config.retention_ms);
    }
}

void
dks_owner_init (dks_reducer_t *r)
{
  r->jobs_by_key = apr_hash_make (r->pool);
  r->claims_under_way = apr_hash_make (r->pool);
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      r->shards[i].claims = dks_claims_create (r->config.claims_max);
      APR_RING_INIT (&r->shards[i].jobs, dks_job_t, shard_link);
      APR_RING_INIT (&r->shards[i].refusals, dks_refusal_t, link);
    }
}

void
dks_owner_clear (dks_reducer_t *r)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      dks_confirm_clear (&r->shards[i]);
      dks_claims_destroy (r->shards[i].claims);
    }
}
