#include "core/retry.h"

enum
{
  TOKENS_PER_ATTEMPT = 100,
  /* An instance with little work may retry a few failures at once. */
  TOKENS_MAX = 10 * TOKENS_PER_ATTEMPT,
  DELAY_MIN_US = 20000,  /* upper bound of the delay before the second attempt */
  DELAY_MAX_US = 1000000 /* upper bound of every delay */
};

void
dks_retry_init (dks_retry_budget_t *budget)
{
  budget->tokens = TOKENS_MAX;
}

void
dks_retry_credit (dks_retry_budget_t *budget, int64_t percent)
{
  budget->tokens += percent;
  if (budget->tokens > TOKENS_MAX)
    budget->tokens = TOKENS_MAX;
}

bool
dks_retry_take (dks_retry_budget_t *budget)
{
  if (budget->tokens < TOKENS_PER_ATTEMPT)
    return false;
  budget->tokens -= TOKENS_PER_ATTEMPT;
  return true;
}

int64_t
dks_retry_delay_us (uint32_t attempt_number, uint64_t random)
{
  int64_t delay_us = DELAY_MIN_US;

  for (uint32_t i = 2; i < attempt_number && delay_us < DELAY_MAX_US; i++)
    delay_us *= 2;
  if (delay_us > DELAY_MAX_US)
    delay_us = DELAY_MAX_US;
  return (int64_t)(random % (uint64_t)delay_us) + 1;
}
