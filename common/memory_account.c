#include "common/memory_account.h"

#include "common/alloc.h"
#include "common/blob.h"

#include <stdlib.h>

enum
{
  PROCESS_BYTES = 20 << 20, /* of a process that serves no client */
  LIMIT_MIN_BYTES = 8 << 20,
  LIMIT_MAX_BYTES = 512 << 20,
  /* A claim gives way only to one up to this many times as large: closing many idle connections for
   * one large body would not help. */
  YIELD_RATIO_MAX = 64,
  YIELD_ATTEMPTS_MAX = 256 /* claims asked to make room for one connection */
};

struct dks_memory_account_t
{
  APR_RING_HEAD (dks_memory_groups_t, dks_memory_group_t) groups;
  size_t limit;
  size_t claimed;
  uint64_t refused_total;
  uint64_t yielded_total;
};

/* A quarter of the rest is for what the allocator wastes and what belongs to no client. */
size_t
dks_memory_limit (uint64_t memory_bytes)
{
  uint64_t limit = memory_bytes > PROCESS_BYTES ? (memory_bytes - PROCESS_BYTES) / 4 * 3 : 0;

  if (limit < LIMIT_MIN_BYTES)
    return LIMIT_MIN_BYTES;
  return limit < LIMIT_MAX_BYTES ? (size_t)limit : (size_t)LIMIT_MAX_BYTES;
}

size_t
dks_memory_rest (uint64_t memory_bytes)
{
  uint64_t rest_max = PROCESS_BYTES + LIMIT_MAX_BYTES / 3; /* where the limit is reached */
  size_t limit = dks_memory_limit (memory_bytes);
  uint64_t rest = memory_bytes > limit ? memory_bytes - limit : 0;

  if (rest < PROCESS_BYTES)
    return PROCESS_BYTES;
  return rest < rest_max ? (size_t)rest : (size_t)rest_max;
}

dks_memory_account_t *
dks_memory_account_create (size_t limit)
{
  dks_memory_account_t *account = dks_alloc (sizeof (*account));

  APR_RING_INIT (&account->groups, dks_memory_group_t, link);
  account->limit = limit;
  return account;
}

void
dks_memory_account_destroy (dks_memory_account_t *account)
{
  if (account == NULL)
    return;
  DKS_INVARIANT (APR_RING_EMPTY (&account->groups, dks_memory_group_t, link));
  DKS_INVARIANT (account->claimed == 0);
  free (account);
}

size_t
dks_memory_account_limit (const dks_memory_account_t *account)
{
  return account->limit;
}

size_t
dks_memory_account_used (const dks_memory_account_t *account)
{
  return account->claimed + dks_blob_bytes ();
}

uint64_t
dks_memory_account_refused_total (const dks_memory_account_t *account)
{
  return account->refused_total;
}

uint64_t
dks_memory_account_yielded_total (const dks_memory_account_t *account)
{
  return account->yielded_total;
}

void
dks_memory_group_init (dks_memory_group_t *group, dks_memory_account_t *account,
                       dks_memory_yield_t yield, void *context)
{
  group->account = account;
  group->yield = yield;
  group->context = context;
  for (int i = 0; i < DKS_MEMORY_STATES; i++)
    APR_RING_INIT (&group->rings[i], dks_memory_claim_t, link);
  APR_RING_INSERT_TAIL (&account->groups, group, dks_memory_group_t, link);
}

void
dks_memory_group_remove (dks_memory_group_t *group)
{
  for (int i = 0; i < DKS_MEMORY_STATES; i++)
    DKS_INVARIANT (APR_RING_EMPTY (&group->rings[i], dks_memory_claim_t, link));
  APR_RING_REMOVE (group, link);
}

static void
claim_insert (dks_memory_claim_t *claim, int64_t now_us)
{
  claim->progress_us = now_us;
  claim->progress_bytes = 0;
  APR_RING_INSERT_TAIL (&claim->group->rings[claim->state], claim, dks_memory_claim_t, link);
}

void
dks_memory_claim_add (dks_memory_claim_t *claim, dks_memory_group_t *group, int64_t now_us)
{
  claim->group = group;
  claim->state = DKS_MEMORY_INCOMPLETE;
  claim->bytes = 0;
  claim->base_bytes = 0;
  claim_insert (claim, now_us);
}

void
dks_memory_claim_remove (dks_memory_claim_t *claim)
{
  if (claim->group == NULL)
    return;
  dks_memory_claim_set (claim, 0);
  APR_RING_REMOVE (claim, link);
  claim->group = NULL;
}

void
dks_memory_claim_set_state (dks_memory_claim_t *claim, dks_memory_state_t state, int64_t now_us)
{
  APR_RING_REMOVE (claim, link);
  claim->state = state;
  claim_insert (claim, now_us);
}

void
dks_memory_claim_progress (dks_memory_claim_t *claim, size_t bytes, int64_t now_us)
{
  claim->progress_bytes += bytes;
  claim->received_us = now_us;
  if (claim->progress_bytes >= DKS_MEMORY_PROGRESS_BYTES)
    dks_memory_claim_set_state (claim, claim->state, now_us);
}

void
dks_memory_claim_set (dks_memory_claim_t *claim, size_t bytes)
{
  claim->group->account->claimed += bytes - claim->bytes;
  claim->bytes = bytes;
}

/* The largest claim in `state` that has stalled and holds more than `min_bytes`, other than
 * `asking`. Adds the bytes of all of these to `sum`. */
static dks_memory_claim_t *
account_find_stalled (dks_memory_account_t *account, dks_memory_state_t state,
                      const dks_memory_claim_t *asking, size_t min_bytes, int64_t now_us,
                      size_t *sum)
{
  dks_memory_claim_t *largest = NULL;
  dks_memory_group_t *group;
  dks_memory_claim_t *claim;

  APR_RING_FOREACH (group, &account->groups, dks_memory_group_t, link)
    {
      APR_RING_FOREACH (claim, &group->rings[state], dks_memory_claim_t, link)
        {
          if (now_us - claim->progress_us < DKS_MEMORY_STALL_US)
            break;
          if (claim == asking || claim->bytes <= min_bytes)
            continue;
          *sum += claim->bytes;
          if (largest == NULL || claim->bytes > largest->bytes)
            largest = claim;
        }
    }
  return largest;
}

static bool
claim_yield (dks_memory_claim_t *claim)
{
  dks_memory_account_t *account = claim->group->account;

  if (!claim->group->yield (claim->group->context, claim))
    return false;
  account->yielded_total++;
  return true;
}

/* Bytes that may be in use after the claim has grown to `bytes`. */
static size_t
claim_allowance (const dks_memory_claim_t *claim, size_t bytes)
{
  size_t eighth = claim->group->account->limit / 8;

  if (bytes <= claim->base_bytes + DKS_MEMORY_TINY_BYTES)
    return 7 * eighth + eighth / 2;
  if (bytes <= claim->base_bytes + DKS_MEMORY_SMALL_BYTES)
    return 7 * eighth;
  return bytes <= claim->base_bytes + DKS_MEMORY_MEDIUM_BYTES ? 6 * eighth : 5 * eighth;
}

/* Grows the claim to `bytes` if no more than `allowance` is in use then, after others have given
 * way if needed. */
static bool
claim_grow_within (dks_memory_claim_t *claim, size_t bytes, size_t allowance, int64_t now_us)
{
  dks_memory_account_t *account = claim->group->account;
  size_t min_bytes = bytes / YIELD_RATIO_MAX;
  size_t growth = bytes > claim->bytes ? bytes - claim->bytes : 0;

  while (growth > 0 && dks_memory_account_used (account) + growth > allowance)
    {
      size_t stalled_bytes = 0;
      dks_memory_claim_t *incomplete = account_find_stalled (account, DKS_MEMORY_INCOMPLETE, claim,
                                                             min_bytes, now_us, &stalled_bytes);
      dks_memory_claim_t *untaken = account_find_stalled (account, DKS_MEMORY_UNTAKEN, claim,
                                                          min_bytes, now_us, &stalled_bytes);
      dks_memory_claim_t *stalled = incomplete != NULL ? incomplete : untaken;

      /* No claim gives way where all of them would not be enough. */
      if (dks_memory_account_used (account) + growth > allowance + stalled_bytes)
        {
          account->refused_total++;
          return false;
        }
      if (!claim_yield (stalled))
        dks_memory_claim_set_state (stalled, stalled->state, now_us);
    }
  dks_memory_claim_set (claim, bytes);
  return true;
}

bool
dks_memory_claim_grow (dks_memory_claim_t *claim, size_t bytes, int64_t now_us)
{
  return claim_grow_within (claim, bytes, claim_allowance (claim, bytes), now_us);
}

bool
dks_memory_claim_grow_preferred (dks_memory_claim_t *claim, size_t bytes, int64_t now_us)
{
  size_t rank_bytes = bytes < DKS_MEMORY_MEDIUM_BYTES ? bytes : (size_t)DKS_MEMORY_MEDIUM_BYTES;

  return claim_grow_within (claim, bytes, claim_allowance (claim, rank_bytes), now_us);
}

bool
dks_memory_claim_finish (dks_memory_claim_t *claim, size_t bytes)
{
  dks_memory_account_t *account = claim->group->account;

  if (bytes > claim->bytes
      && dks_memory_account_used (account) + (bytes - claim->bytes) > account->limit)
    {
      account->refused_total++;
      return false;
    }
  dks_memory_claim_set (claim, bytes);
  return true;
}

/* Lets the claim in `state` with the oldest progress give way, if that is `min_age_us` ago. One
 * that is to stay counts as having made progress. */
static bool
group_yield_from (dks_memory_group_t *group, dks_memory_state_t state, int64_t min_age_us,
                  const dks_memory_claim_t *asking, int64_t now_us)
{
  struct dks_memory_ring_t *ring = &group->rings[state];

  for (int i = 0; i < YIELD_ATTEMPTS_MAX && !APR_RING_EMPTY (ring, dks_memory_claim_t, link); i++)
    {
      dks_memory_claim_t *oldest = APR_RING_FIRST (ring);

      if (oldest == asking || now_us - oldest->progress_us < min_age_us)
        return false;
      if (claim_yield (oldest))
        return true;
      dks_memory_claim_set_state (oldest, state, now_us);
    }
  return false;
}

bool
dks_memory_group_yield_oldest (dks_memory_group_t *group, const dks_memory_claim_t *claim,
                               int64_t now_us)
{
  return group_yield_from (group, DKS_MEMORY_INCOMPLETE, 0, claim, now_us)
         || group_yield_from (group, DKS_MEMORY_UNTAKEN, DKS_MEMORY_STALL_US, claim, now_us);
}
