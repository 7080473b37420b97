/**
 * Functions that the parts of an owner's and backup's work offer to each other. Internal, like
 * core/state.h, which declares what the rest of the reducer uses.
 */
#ifndef DKS_CORE_OWNER_H
#define DKS_CORE_OWNER_H

#include "core/state.h"

enum
{
  DKS_CLAIM_RETRY_US = 100000, /**< a claim or confirm without acknowledgement is sent again */
  DKS_RETRY_AFTER_MS = 1000
};

/* reply.c: answers to waiters */
/** Gives one answer to all waiters and empties the ring. */
void dks_reply_all (dks_reducer_t *r, dks_waiter_ring_t *waiters, dks_answer_t *answer);
/** Answers and removes all waiters, those that submitted other content with KEY_REUSED. `digest` is
 * that of the content which was run, 0 if it is not known. */
void dks_reply_all_with_digest (dks_reducer_t *r, dks_waiter_ring_t *waiters, dks_answer_t *answer,
                                uint64_t digest);
/** Answers a waiter that submitted other content than `digest` with KEY_REUSED and returns true. */
bool dks_reply_if_key_reused (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key,
                              uint64_t digest);
void dks_reply_key_reused (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key);
/** Gives an answer that needs no confirmation by the backup. */
void dks_reply_unconfirmed (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key,
                            dks_outcome_t outcome, dks_problem_t problem, const char *detail);
/** Tells the entry instance to ask the present owner. */
void dks_reply_moved (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key);
/** Creates a "not run" answer. It needs a confirmation before it is given. */
dks_answer_t *dks_reply_create_refusal (const char *key, dks_problem_t problem,
                                        uint32_t retry_after_ms, const char *detail);

/* confirm.c: answers that wait for the backup's confirmation */
/** Sends all waiting answers back as moved, after the shard was lost. */
void dks_confirm_move_all (dks_reducer_t *r, dks_shard_state_t *st);
/** Asks again for all waiting answers, after a change of those who must agree. */
void dks_confirm_restart (dks_reducer_t *r, uint32_t shard);
/** Repeats a confirm message that was not acknowledged. */
void dks_confirm_review (dks_reducer_t *r, uint32_t shard);
/** Frees the waiting answers. */
void dks_confirm_clear (dks_shard_state_t *st);
/** Gives an answer once the backup has confirmed that we are the owner. Takes over the caller's
 * reference to `answer`. */
void dks_confirm_answer (dks_reducer_t *r, uint32_t shard, const dks_waiter_t *waiter,
                         dks_answer_t *answer);
/** Acknowledgement of the confirm message under way. */
void dks_confirm_handle_ack (dks_reducer_t *r, const char *peer, uint32_t shard, bool ok);

/* admission.c: issue time, estimates and limits */
/** Keys issued before this, in Unix ms, may have lost their claims in our table. */
int64_t dks_admission_table_floor_ms (const dks_reducer_t *r, uint32_t shard);
/** Returns false after it has answered a key whose issue time the shard does not accept. */
bool dks_admission_check_issue_time (dks_reducer_t *r, const char *key, int64_t issued_ms,
                                     uint32_t shard, const dks_waiter_t *waiter);
/** Returns false after it has refused the submission. */
bool dks_admission_check_work (dks_reducer_t *r, dks_submission_t *s, uint32_t shard,
                               const dks_waiter_t *waiter);

/* claim_ops.c: claims at the owner */
/** Sends a claim, with its answer if it has one, to another instance. An empty `peer` or our own
 * id is ignored. */
void dks_claim_ops_send_result (dks_reducer_t *r, uint32_t shard, const char *peer,
                                const dks_claim_item_t *item);
/** Tells the owner and backup that a claim of ours was never started and never will be. */
void dks_claim_ops_release (dks_reducer_t *r, dks_job_t *job);
/** Ends the wait for the acknowledgement of a claim. Later acknowledgements are ignored. */
void dks_claim_ops_forget_id (dks_reducer_t *r, dks_job_t *job);
/** Repeats all claims and confirms under way with those who must agree now. */
void dks_claim_ops_resend_all (dks_reducer_t *r, uint32_t shard);

/* runner.c: results, and claims that another instance runs */
/** Looks after unfinished claims that have no job here. */
void dks_runner_review (dks_reducer_t *r, uint32_t shard);

/* recovery.c: copies of the claims for new backups and owners */
/** Sends the claims of a former owner or backup to a new owner that lacks them. */
void dks_recovery_review_handback (dks_reducer_t *r, uint32_t shard);
/** Starts, repeats or stops the copy of the claims for the next backup. */
void dks_recovery_review_sync (dks_reducer_t *r, uint32_t shard, const dks_view_inputs_t *inputs);

/* owner.c: shards, submissions, questions and cancels */
/** Entry of the shard in the own view. */
const dks_view_shard_t *dks_owner_view_shard (const dks_reducer_t *r, uint32_t shard);
/** Whether this member is the backup of the shard. */
bool dks_owner_is_backup (const dks_reducer_t *r, uint32_t shard);
/** Whether claims also need the acknowledgement of the next backup. */
bool dks_owner_needs_sync_ack (const dks_shard_state_t *st);
/** Attaches a waiter to work that is known already; a query of work under way is answered at
 * once. Returns false if the key is new. */
bool dks_owner_attach_waiter (dks_reducer_t *r, const char *key, const dks_waiter_t *waiter);

#endif
