/**
 * Functions that the source files for the roles of owner and backup share. Internal, like
 * core/state.h, which declares the functions that the rest of the reducer uses.
 */
#ifndef DKS_CORE_OWNER_H
#define DKS_CORE_OWNER_H

#include "core/state.h"

enum
{
  DKS_CLAIM_RETRY_US = 100000, /**< a claim or confirm without acknowledgement is sent again */
  /** Retry advice in an UNKNOWN answer while the owner of a key or its backup cannot be reached. */
  DKS_RETRY_AFTER_MS = 1000
};

/* reply.c: answers to waiters */
/** Sends one answer to all waiters and empties the ring. */
void dks_reply_all (dks_reducer_t *r, dks_waiter_ring_t *waiters, dks_answer_t *answer);
/** Answers and removes all waiters; those that submitted other content are answered KEY_REUSED.
 * `digest` is the digest of the content that was run, 0 if it is not known. */
void dks_reply_all_with_digest (dks_reducer_t *r, dks_waiter_ring_t *waiters, dks_answer_t *answer,
                                uint64_t digest);
/** Answers KEY_REUSED if the content that the waiter submitted does not match `digest`. Returns
 * true if it did so. */
bool dks_reply_if_key_reused (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key,
                              uint64_t digest);
void dks_reply_key_reused (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key);
/** Sends an answer that needs no confirmation by the backup. */
void dks_reply_unconfirmed (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key,
                            dks_outcome_t outcome, dks_problem_t problem, const char *detail);
/** Answers MOVED: the entry instance must send the request to the present owner. */
void dks_reply_moved (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key);
/** Creates a "not run" answer. The backup must confirm it before it is sent; see
 * dks_confirm_answer(). */
dks_answer_t *dks_reply_create_refusal (const char *key, dks_problem_t problem,
                                        uint32_t retry_after_ms, const char *detail);

/* confirm.c: "not run" and ACCEPTED answers, which need the backup's confirmation */
/** Answers MOVED in place of all unconfirmed answers, after another instance became the owner. */
void dks_confirm_move_all (dks_reducer_t *r, dks_shard_state_t *st);
/** Requests the confirmation of all unconfirmed answers again, after the backup or the next backup
 * has changed. */
void dks_confirm_restart (dks_reducer_t *r, uint32_t shard);
/** Resends a confirm message that was not acknowledged, and gives up answers that have waited too
 * long for it. */
void dks_confirm_review (dks_reducer_t *r, uint32_t shard);
/** Frees the unconfirmed answers. */
void dks_confirm_clear (dks_shard_state_t *st);
/** Sends an answer once the backup has confirmed that this instance is the owner. Takes over the
 * caller's reference to `answer`. */
void dks_confirm_answer (dks_reducer_t *r, uint32_t shard, const dks_waiter_t *waiter,
                         dks_answer_t *answer);
/** Handles the acknowledgement of the confirm message under way. */
void dks_confirm_handle_ack (dks_reducer_t *r, const char *peer, uint32_t shard, bool ok);

/* admission.c: issue time, estimates and limits */
/** Earliest issue time, Unix ms, for which the claim table is complete: claims of keys issued
 * before it may have been dropped. */
int64_t dks_admission_table_floor_ms (const dks_reducer_t *r, uint32_t shard);
/** Whether the shard accepts the issue time of a key. If not, the waiter is answered and false
 * returned. */
bool dks_admission_check_issue_time (dks_reducer_t *r, const char *key, int64_t issued_ms,
                                     uint32_t shard, const dks_waiter_t *waiter);
/** Whether a submission is admitted. If not, it is refused and false returned. */
bool dks_admission_check_work (dks_reducer_t *r, dks_submission_t *s, uint32_t shard,
                               const dks_waiter_t *waiter);

/* claim_ops.c: claims at the owner */
/** Sends a claim, with its answer if it has one, to another instance. Does nothing if `peer` is
 * empty or this instance. */
void dks_claim_ops_send_result (dks_reducer_t *r, uint32_t shard, const char *peer,
                                const dks_claim_item_t *item);
/** Notifies the owner and backup that the work of a claim made here was never started and never
 * will be. */
void dks_claim_ops_release (dks_reducer_t *r, dks_job_t *job);
/** Stops waiting for the acknowledgement of a claim. Later acknowledgements are ignored. */
void dks_claim_ops_stop_waiting (dks_reducer_t *r, dks_job_t *job);
/** Resends all unacknowledged claims and confirms to the present backup and next backup. */
void dks_claim_ops_resend_all (dks_reducer_t *r, uint32_t shard);

/* runner.c: results, and claims that another instance runs */
/** Periodic work on unfinished claims without a job here: queries their runner, resolves those
 * whose runner has failed. */
void dks_runner_review (dks_reducer_t *r, uint32_t shard);

/* recovery.c: copies of the claims for new backups and owners */
/** As former owner or backup, sends the claims to a new owner that lacks them. */
void dks_recovery_review_handback (dks_reducer_t *r, uint32_t shard);
/** Starts, restarts or stops copying the claims to the next backup. */
void dks_recovery_review_sync (dks_reducer_t *r, uint32_t shard, const dks_view_inputs_t *inputs);

/* owner.c: shards, submissions, queries and cancels */
/** Entry of the shard in the own view. */
const dks_view_shard_t *dks_owner_view_shard (const dks_reducer_t *r, uint32_t shard);
/** Whether this member is the backup of the shard. */
bool dks_owner_is_backup (const dks_reducer_t *r, uint32_t shard);
/** Whether claims also need the acknowledgement of the next backup. */
bool dks_owner_needs_sync_ack (const dks_shard_state_t *st);
/** Attaches a waiter to the known work of a key; a query of work under way is answered at once.
 * Returns false if the key is new. */
bool dks_owner_attach_waiter (dks_reducer_t *r, const char *key, const dks_waiter_t *waiter);

#endif
