/**
 * Account of the memory that clients and other instances make a process hold: bodies and frames
 * that arrive piece by piece, what decoding them takes, answers that are not taken, buffers of
 * connections. It does no I/O. It decides who may take how much, and who gives way.
 *
 * - The larger a claim, the smaller the share of the limit that may be in use after it has grown:
 *   small requests still fit when large ones do not.
 * - When memory is short, a claim that has made no progress for DKS_MEMORY_STALL_US gives way: the
 *   largest of those whose request is incomplete, or else of those whose answer is not taken. A
 *   claim that makes progress never gives way to a later one, so that what has begun ends.
 */
#ifndef DKS_COMMON_MEMORY_ACCOUNT_H
#define DKS_COMMON_MEMORY_ACCOUNT_H

/* apr_ring.h takes the macro offsetof when it is there. */
#include <stddef.h>

#include <apr_ring.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  DKS_MEMORY_STALL_US = 1000000, /**< without progress for this long, a claim may have to yield */
  DKS_MEMORY_PROGRESS_BYTES = 4096,   /**< received bytes that count as progress */
  DKS_MEMORY_TINY_BYTES = 16 << 10,   /**< claims up to this size may use 15/16 of the limit */
  DKS_MEMORY_SMALL_BYTES = 64 << 10,  /**< claims up to this size may use 7/8 of the limit */
  DKS_MEMORY_MEDIUM_BYTES = 512 << 10 /**< up to this size 6/8; larger ones 5/8 */
};

typedef struct dks_memory_account_t dks_memory_account_t;
typedef struct dks_memory_group_t dks_memory_group_t;
typedef struct dks_memory_claim_t dks_memory_claim_t;

typedef enum
{
  DKS_MEMORY_HELD = 0,   /**< does not give way: the request is being worked on */
  DKS_MEMORY_INCOMPLETE, /**< waits for its client: idle, or the request has not arrived */
  DKS_MEMORY_UNTAKEN,    /**< the answer has not been taken completely */
  DKS_MEMORY_STATES
} dks_memory_state_t;

/** Called when a claim has to give way; it must reduce or remove the claim before it returns.
 * Returns false when the claim is to stay: its client has done its part, and this process has not
 * seen it yet, or has taken some of the answer. */
typedef bool (*dks_memory_yield_t) (void *context, dks_memory_claim_t *claim);

/** What one connection holds. */
struct dks_memory_claim_t
{
  APR_RING_ENTRY (dks_memory_claim_t) link;
  dks_memory_group_t *group; /**< NULL before it is added */
  dks_memory_state_t state;
  size_t bytes;
  size_t base_bytes;     /**< of `bytes`, what the connection itself takes: no part of the size by
                              which a claim may use more or less of the limit */
  size_t progress_bytes; /**< received since `progress_us` */
  int64_t progress_us;   /**< monotonic time of the last progress */
  int64_t received_us;   /**< monotonic time at which bytes were last received, 0: none yet */
};

APR_RING_HEAD (dks_memory_ring_t, dks_memory_claim_t);

/** The claims of one way in. Each ring has the oldest progress first. */
struct dks_memory_group_t
{
  APR_RING_ENTRY (dks_memory_group_t) link;
  dks_memory_account_t *account;
  dks_memory_yield_t yield;
  void *context;
  struct dks_memory_ring_t rings[DKS_MEMORY_STATES];
};

/** Bytes that clients may make a process hold which may use `memory_bytes` in all. */
size_t dks_memory_limit (uint64_t memory_bytes);

/** Bytes that such a process may use for all else. */
size_t dks_memory_rest (uint64_t memory_bytes);

dks_memory_account_t *dks_memory_account_create (size_t limit);
/** All groups must have been removed. Accepts NULL. */
void dks_memory_account_destroy (dks_memory_account_t *account);
size_t dks_memory_account_limit (const dks_memory_account_t *account);
/** Bytes of all claims, and of all blobs of the process. */
size_t dks_memory_account_used (const dks_memory_account_t *account);
/** Number of requests to grow that were refused. */
uint64_t dks_memory_account_refused_total (const dks_memory_account_t *account);
/** Number of claims that had to give way. */
uint64_t dks_memory_account_yielded_total (const dks_memory_account_t *account);

void dks_memory_group_init (dks_memory_group_t *group, dks_memory_account_t *account,
                            dks_memory_yield_t yield, void *context);
/** The group must have no claims left. */
void dks_memory_group_remove (dks_memory_group_t *group);

/** Adds a claim of 0 bytes, as INCOMPLETE. */
void dks_memory_claim_add (dks_memory_claim_t *claim, dks_memory_group_t *group, int64_t now_us);
/** Removes the claim with all its bytes. */
void dks_memory_claim_remove (dks_memory_claim_t *claim);
/** Changes the state; this counts as progress. */
void
dks_memory_claim_set_state (dks_memory_claim_t *claim, dks_memory_state_t state, int64_t now_us);
/** Reports `bytes` received. */
void dks_memory_claim_progress (dks_memory_claim_t *claim, size_t bytes, int64_t now_us);
/** Grows the claim to `bytes` if it may, after others have given way if needed. */
bool dks_memory_claim_grow (dks_memory_claim_t *claim, size_t bytes, int64_t now_us);
/** Likewise for another instance: however large, the claim may use what one of
 * DKS_MEMORY_MEDIUM_BYTES may, so that large requests of clients leave room for it. */
bool dks_memory_claim_grow_preferred (dks_memory_claim_t *claim, size_t bytes, int64_t now_us);
/** Grows a claim whose request is complete, and needs the memory only while it is decoded: the
 * whole limit may be in use. */
bool dks_memory_claim_finish (dks_memory_claim_t *claim, size_t bytes);
/** Sets the bytes of a claim that are in use in any case. */
void dks_memory_claim_set (dks_memory_claim_t *claim, size_t bytes);
/** Lets the INCOMPLETE claim of the group with the oldest progress give way, or else the UNTAKEN
 * one that has stalled for longest, for want of something else than memory. Returns false when
 * there is none but `claim`. */
bool dks_memory_group_yield_oldest (dks_memory_group_t *group, const dks_memory_claim_t *claim,
                                    int64_t now_us);

#endif
