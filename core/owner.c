#include "core/owner.h"

#include "common/alloc.h"
#include "core/key.h"

#include <stdlib.h>
#include <string.h>

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
dks_owner_needs_sync_ack (const dks_shard_state_t *st)
{
  return st->sync_peer[0] != '\0';
}

/* ACCEPTED needs the backup's confirmation, as a refusal does: without it, a former owner could
 * accept a key that was used for other content. */
static void
answer_accepted_if_async (dks_reducer_t *r, const dks_waiter_t *waiter, const dks_submission_t *s)
{
  if (s->respond_async)
    dks_confirm_answer (r, dks_key_shard (s->key), waiter,
                        dks_answer_create (s->key, DKS_OUTCOME_ACCEPTED, DKS_PROBLEM_NONE, 0));
}

/* Attaches a waiter to the job or claim of `key`, or answers the waiter if the work has ended or
 * its content differs. Returns false if the key is new. */
static bool
attach_to_known_work (dks_reducer_t *r, const char *key, uint32_t shard, const dks_waiter_t *waiter)
{
  dks_claim_t *claim = dks_claims_find (r->shards[shard].claims, key);
  dks_job_t *job = dks_job_find (r, key);

  if (claim == NULL && job == NULL)
    return false;
  if (dks_reply_if_key_reused (r, waiter, key,
                               claim != NULL ? claim->digest : job->submission->digest))
    return true;
  if (claim != NULL && claim->answer != NULL)
    dks_waiter_answer (r, waiter, claim->answer);
  else if (job != NULL)
    dks_job_add_waiter (job, waiter);
  else
    dks_waiters_add (&claim->waiters, waiter);
  return true;
}

static bool
is_under_way (const dks_reducer_t *r, const char *key, uint32_t shard)
{
  const dks_claim_t *claim = dks_claims_find (r->shards[shard].claims, key);

  return claim != NULL ? claim->answer == NULL : dks_job_find (r, key) != NULL;
}

bool
dks_owner_attach_waiter (dks_reducer_t *r, const char *key, const dks_waiter_t *waiter)
{
  uint32_t shard = dks_key_shard (key);

  if (!waiter->is_query || !is_under_way (r, key, shard))
    return attach_to_known_work (r, key, shard, waiter);
  dks_reply_unconfirmed (r, waiter, key, DKS_OUTCOME_ACCEPTED, DKS_PROBLEM_NONE, "");
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
  if (attach_to_known_work (r, submission->key, shard, waiter))
    {
      answer_accepted_if_async (r, waiter, submission);
      return;
    }
  if (!dks_admission_check_issue_time (r, submission->key, submission->issued_ms, shard, waiter)
      || !dks_admission_check_work (r, submission, shard, waiter))
    return;
  job = dks_job_create (r, submission, shard);
  dks_job_add_waiter (job, waiter);
  answer_accepted_if_async (r, waiter, submission);
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

/* Claims a key that was never submitted, so that a submission of it that arrives after the cancel
 * does not start. */
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

/* Handles a query or cancel of a claim that this instance runs although it does not own the shard
 * any more. */
static void
query_or_cancel_as_runner (dks_reducer_t *r, const char *key, bool cancel,
                           const dks_waiter_t *waiter)
{
  dks_job_t *job = dks_job_find (r, key);
  bool is_from_entry = waiter->request != 0; /* request id 0 is a query of the owner */

  if (job == NULL || job->state == DKS_JOB_QUEUED || job->state == DKS_JOB_CLAIMING)
    {
      if (is_from_entry)
        dks_reply_moved (r, waiter, key);
      else
        dks_reply_unconfirmed (r, waiter, key, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_NOT_FOUND, "");
      return;
    }
  dks_job_add_waiter (job, waiter);
  if (job->state == DKS_JOB_DONE)
    dks_job_answer_waiters (r, job, job->answer);
  else if (cancel)
    cancel_job (r, job);
}

void
dks_owner_query_or_cancel (dks_reducer_t *r, const char *key, bool cancel,
                           const dks_waiter_t *waiter)
{
  uint32_t shard = dks_key_shard (key);
  dks_job_t *job;
  dks_key_t parsed;

  if (!dks_owner_is_self (r, shard))
    {
      query_or_cancel_as_runner (r, key, cancel, waiter);
      return;
    }
  job = dks_job_find (r, key);
  if (dks_owner_attach_waiter (r, key, waiter))
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
  dks_claim_ops_stop_waiting (r, job);
  /* The job must be discarded before its callers are refused: if the key has a job or claim,
   * dks_confirm_answer() attaches the caller to it instead of delivering the refusal. */
  dks_job_discard (r, job);
  while ((waiter = dks_waiters_take (&waiters)) != NULL)
    {
      dks_confirm_answer (r, shard, waiter,
                          dks_reply_create_refusal (key, problem, retry_after_ms, detail));
      free (waiter);
    }
}

void
dks_owner_give_up_job (dks_reducer_t *r, dks_job_t *job)
{
  dks_answer_t *answer =
      dks_answer_create (job->submission->key, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_NO_OWNER, 0);

  answer->retry_after_ms = DKS_RETRY_AFTER_MS;
  dks_strcpy (answer->detail, sizeof (answer->detail),
              "the backup of this key's owner cannot be reached");
  dks_claim_ops_release (r, job);
  dks_job_answer_waiters (r, job, answer);
  dks_answer_unref (answer);
  dks_claim_ops_stop_waiting (r, job);
  dks_job_discard (r, job);
}

static void
review_own_shard (dks_reducer_t *r, uint32_t shard, const dks_view_inputs_t *inputs)
{
  dks_confirm_review (r, shard);
  dks_runner_review (r, shard);
  dks_recovery_review_sync (r, shard, inputs);
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
      dks_recovery_review_handback (r, i);
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
  r->pending_claims = apr_hash_make (r->pool);
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      r->shards[i].claims = dks_claims_create (r->config.claims_max);
      APR_RING_INIT (&r->shards[i].jobs, dks_job_t, shard_link);
      APR_RING_INIT (&r->shards[i].unconfirmed_answers, dks_unconfirmed_answer_t, link);
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
