/**
 * Claim table of one shard: the keys whose work may have been started, the instance that runs each,
 * and the answers.
 */
#ifndef DKS_CORE_CLAIM_H
#define DKS_CORE_CLAIM_H

#include "core/msg.h"
#include "core/waiter.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_ring.h>

typedef struct dks_claim_t dks_claim_t;

struct dks_claim_t
{
  APR_RING_ENTRY (dks_claim_t) link;            /**< in the list of all claims */
  APR_RING_ENTRY (dks_claim_t) unfinished_link; /**< in the list of unfinished claims */
  int64_t issued_ms;
  uint64_t digest;
  dks_answer_t *answer;      /**< NULL while not finished */
  bool runner_queried;       /**< the answer has been requested from the runner */
  dks_waiter_ring_t waiters; /**< callers that wait for a claim that another instance runs */
  char runner[DKS_NAME_SIZE];
  char key[]; /**< NUL-terminated */
};

typedef struct
{
  apr_pool_t *pool;
  apr_hash_t *by_key;
  APR_RING_HEAD (dks_claim_ring_t, dks_claim_t) ring; /**< all claims, oldest entry first */
  /** Claims that have no answer yet. */
  APR_RING_HEAD (dks_unfinished_ring_t, dks_claim_t) unfinished_ring;
  uint32_t count;
  uint32_t max;
  uint32_t unfinished_count;
  size_t answer_bytes;      /**< bytes of the answers in the table: structures and results */
  int64_t latest_issued_ms; /**< latest issue time of a claim since the table was cleared */
  int64_t floor_ms; /**< Unix ms; keys issued earlier may have run even if not in the table */
} dks_claims_t;

enum
{
  DKS_CLAIM_ANSWER_BYTES_PER_SHARD_MAX =
      512 << 10, /**< bytes of all answers kept in one shard's table; 8 MB in all 16 shards */
  DKS_CLAIM_ANSWER_BYTES_PER_KEY_MAX =
      128 << 10 /**< bytes of one key's answer; a larger answer is kept without its results */
};

dks_claims_t *dks_claims_create (uint32_t max);
void dks_claims_destroy (dks_claims_t *claims);
/** Drops all claims and resets the floor. */
void dks_claims_clear (dks_claims_t *claims);
dks_claim_t *dks_claims_find (const dks_claims_t *claims, const char *key);
/** Adds the claim of `item`, or fills in the answer if the table has none yet. Finished claims that
 * exceed a bound are dropped, and the floor rises above them. */
void dks_claims_put (dks_claims_t *claims, const dks_claim_item_t *item);
/** Records the final answer, without its results if they are larger than
 * DKS_CLAIM_ANSWER_BYTES_PER_KEY_MAX. A real answer replaces an UNKNOWN one, never the reverse.
 * `claim` may be dropped by this call. */
void dks_claims_finish (dks_claims_t *claims, dks_claim_t *claim, dks_answer_t *answer);
/** Removes a claim whose work certainly was not started. */
void dks_claims_remove (dks_claims_t *claims, dks_claim_t *claim);
/** Drops finished claims issued before `floor_ms` and raises the floor. */
void dks_claims_expire (dks_claims_t *claims, int64_t floor_ms);
/** Copies a claim into a message item; takes a reference to the answer. */
void dks_claim_to_item (const dks_claim_t *claim, dks_claim_item_t *item);

#endif
