/**
 * Retry budget: a token bucket that first attempts fill, so that retries stay below a share of the
 * work even if every attempt fails.
 */
#ifndef DKS_CORE_RETRY_H
#define DKS_CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t tokens; /**< hundredths of an attempt */
} dks_retry_budget_t;

/** Sets the bucket to full. */
void dks_retry_init (dks_retry_budget_t *budget);
/** Adds `percent` hundredths of an attempt, for the start of one task. */
void dks_retry_credit (dks_retry_budget_t *budget, int64_t percent);
/** Takes one attempt from the budget; false when it is used up. */
bool dks_retry_take (dks_retry_budget_t *budget);
/** Delay before attempt `attempt_number` (from 2): 20 ms doubling to 1 s, with full jitter from
 * `random`.
 */
int64_t dks_retry_delay_us (uint32_t attempt_number, uint64_t random);

#endif
