#include "core/claim.h"

#include "common/alloc.h"

#include <stdlib.h>
#include <string.h>

dks_claims_t *
dks_claims_create (uint32_t max)
{
  dks_claims_t *claims = dks_alloc (sizeof (*claims));

  apr_pool_create (&claims->pool, NULL);
  claims->by_key = apr_hash_make (claims->pool);
  claims->max = max;
  APR_RING_INIT (&claims->ring, dks_claim_t, link);
  APR_RING_INIT (&claims->unfinished_ring, dks_claim_t, unfinished_link);
  return claims;
}

void
dks_claims_destroy (dks_claims_t *claims)
{
  if (claims == NULL)
    return;
  dks_claims_clear (claims);
  apr_pool_destroy (claims->pool);
  free (claims);
}

void
dks_claims_clear (dks_claims_t *claims)
{
  while (!APR_RING_EMPTY (&claims->ring, dks_claim_t, link))
    dks_claims_remove (claims, APR_RING_FIRST (&claims->ring));
  claims->floor_ms = 0;
  claims->latest_issued_ms = 0;
}

dks_claim_t *
dks_claims_find (const dks_claims_t *claims, const char *key)
{
  return apr_hash_get (claims->by_key, key, APR_HASH_KEY_STRING);
}

static size_t
answer_bytes (const dks_answer_t *answer)
{
  size_t bytes = 0;

  if (answer == NULL)
    return 0;
  for (uint32_t i = 0; i < answer->task_count; i++)
    bytes += sizeof (answer->tasks[i])
             + (answer->tasks[i].body != NULL ? answer->tasks[i].body->len : 0);
  return bytes + sizeof (*answer);
}

/* Drops the oldest finished claims until the table is within its bounds. */
static void
claims_trim (dks_claims_t *claims)
{
  dks_claim_t *claim = APR_RING_FIRST (&claims->ring);

  while (
      (claims->count > claims->max || claims->answer_bytes > DKS_CLAIM_ANSWER_BYTES_PER_SHARD_MAX)
      && claim != APR_RING_SENTINEL (&claims->ring, dks_claim_t, link))
    {
      dks_claim_t *next = APR_RING_NEXT (claim, link);

      if (claim->answer != NULL)
        {
          if (claims->floor_ms <= claim->issued_ms)
            claims->floor_ms = claim->issued_ms + 1;
          dks_claims_remove (claims, claim);
        }
      claim = next;
    }
}

void
dks_claims_put (dks_claims_t *claims, const dks_claim_item_t *item)
{
  dks_claim_t *claim = dks_claims_find (claims, item->key);
  size_t key_size = strlen (item->key) + 1;

  if (claim == NULL)
    {
      claim = dks_alloc (sizeof (*claim) + key_size);
      memcpy (claim->key, item->key, key_size);
      claim->issued_ms = item->issued_ms;
      claim->digest = item->digest;
      dks_strcpy (claim->runner, sizeof (claim->runner), item->runner);
      apr_hash_set (claims->by_key, claim->key, APR_HASH_KEY_STRING, claim);
      APR_RING_INIT (&claim->waiters, dks_waiter_t, link);
      APR_RING_INSERT_TAIL (&claims->ring, claim, dks_claim_t, link);
      APR_RING_INSERT_TAIL (&claims->unfinished_ring, claim, dks_claim_t, unfinished_link);
      claims->count++;
      claims->unfinished_count++;
      if (claims->latest_issued_ms < item->issued_ms)
        claims->latest_issued_ms = item->issued_ms;
    }
  if (item->answer != NULL)
    dks_claims_finish (claims, claim, item->answer);
  else
    claims_trim (claims);
}

static void
claim_remove_from_unfinished (dks_claims_t *claims, dks_claim_t *claim)
{
  claims->unfinished_count--;
  APR_RING_REMOVE (claim, unfinished_link);
}

/* Returns the answer to keep in the table, as a new reference. The results of a large answer would
 * displace the answers of many other keys, so they are dropped; the claim itself must stay. */
static dks_answer_t *
answer_to_keep (dks_answer_t *answer)
{
  dks_answer_t *without_results;

  if (answer_bytes (answer) <= DKS_CLAIM_ANSWER_BYTES_PER_KEY_MAX)
    return dks_answer_ref (answer);
  without_results =
      dks_answer_create (answer->key, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_KEY_EXPIRED, 0);
  dks_strcpy (without_results->detail, sizeof (without_results->detail),
              "the work has ended, but its results are too large to be kept");
  return without_results;
}

void
dks_claims_finish (dks_claims_t *claims, dks_claim_t *claim, dks_answer_t *answer)
{
  if (claim->answer != NULL && claim->answer->outcome != DKS_OUTCOME_UNKNOWN)
    return;
  if (claim->answer == NULL)
    claim_remove_from_unfinished (claims, claim);
  answer = answer_to_keep (answer);
  claims->answer_bytes += answer_bytes (answer);
  claims->answer_bytes -= answer_bytes (claim->answer);
  dks_answer_unref (claim->answer);
  claim->answer = answer;
  claims_trim (claims);
}

void
dks_claims_remove (dks_claims_t *claims, dks_claim_t *claim)
{
  dks_waiter_t *waiter;

  apr_hash_set (claims->by_key, claim->key, APR_HASH_KEY_STRING, NULL);
  APR_RING_REMOVE (claim, link);
  claims->count--;
  if (claim->answer == NULL)
    claim_remove_from_unfinished (claims, claim);
  claims->answer_bytes -= answer_bytes (claim->answer);
  dks_answer_unref (claim->answer);
  while ((waiter = dks_waiters_take (&claim->waiters)) != NULL)
    free (waiter);
  free (claim);
}

void
dks_claims_expire (dks_claims_t *claims, int64_t floor_ms)
{
  dks_claim_t *claim = APR_RING_FIRST (&claims->ring);

  if (floor_ms <= claims->floor_ms)
    return;
  claims->floor_ms = floor_ms;
  /* The claims are only roughly in order of issue time. A claim that is kept too long is harmless,
   * because a claim in the table takes precedence over the floor. */
  while (claim != APR_RING_SENTINEL (&claims->ring, dks_claim_t, link)
         && claim->issued_ms < floor_ms)
    {
      dks_claim_t *next = APR_RING_NEXT (claim, link);

      if (claim->answer != NULL)
        dks_claims_remove (claims, claim);
      claim = next;
    }
}

void
dks_claim_to_item (const dks_claim_t *claim, dks_claim_item_t *item)
{
  memset (item, 0, sizeof (*item));
  dks_strcpy (item->key, sizeof (item->key), claim->key);
  item->issued_ms = claim->issued_ms;
  item->digest = claim->digest;
  dks_strcpy (item->runner, sizeof (item->runner), claim->runner);
  item->answer = dks_answer_ref (claim->answer);
}
