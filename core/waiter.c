#include "core/waiter.h"

#include "common/alloc.h"

void
dks_waiters_add (dks_waiter_ring_t *ring, const dks_waiter_t *waiter)
{
  dks_waiter_t *copy = dks_alloc (sizeof (*copy));

  *copy = *waiter;
  APR_RING_INSERT_TAIL (ring, copy, dks_waiter_t, link);
}

dks_waiter_t *
dks_waiters_take (dks_waiter_ring_t *ring)
{
  dks_waiter_t *waiter;

  if (APR_RING_EMPTY (ring, dks_waiter_t, link))
    return NULL;
  waiter = APR_RING_FIRST (ring);
  APR_RING_REMOVE (waiter, link);
  return waiter;
}
