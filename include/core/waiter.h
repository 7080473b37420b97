/**
 * Requests that wait for the answer of a key.
 */
#ifndef DKS_CORE_WAITER_H
#define DKS_CORE_WAITER_H

#include "core/types.h"

#include <apr_ring.h>

typedef struct dks_waiter_t dks_waiter_t;

/** A request that waits for an answer, at this or another entry instance. */
struct dks_waiter_t
{
  APR_RING_ENTRY (dks_waiter_t) link;
  char peer[DKS_NAME_SIZE]; /**< member id, or empty for this instance */
  uint64_t request;         /**< request id at that instance */
  uint64_t digest;          /**< digest of the submitted content; 0 for queries and cancels */
  bool is_query; /**< requests the present state and does not wait for the final answer */
};

APR_RING_HEAD (dks_waiter_ring_t, dks_waiter_t);
typedef struct dks_waiter_ring_t dks_waiter_ring_t;

/** Appends a copy of `waiter`. */
void dks_waiters_add (dks_waiter_ring_t *ring, const dks_waiter_t *waiter);
/** Removes and returns the first waiter, to be released with free(); NULL when there is none. */
dks_waiter_t *dks_waiters_take (dks_waiter_ring_t *ring);

#endif
