/* Until when leases on targets may last, and their deadlines on the targets' clocks. */
#include "core/leased.h"

enum
{
  /* Longest time from the sending of the latest message of the instance that a run works for to the
   * end of the run's lease: this leader may lose the target before it notices that the instance is
   * lost, and a caller submits its job again 1.3 s after it left. */
  LEASE_AFTER_MESSAGE_MAX_MS = 1100,
  /* Longest time from the stop of a run, of which its caller has been told or has left, to the end
   * of its lease: the target may reject every stop, and the caller submits its job again after 1.3
   * s. */
  LEASE_AFTER_STOP_MAX_MS = 1100,
  /* Added to a lease, besides the error of the target's clock, for network delay and rounding. */
  EXPIRY_MARGIN_US = 60000,
  CLOCK_ERROR_PERCENT = 2, /* by which a target's clock may be slow at most */
  /* Age of a reading of a target's clock above which the clock is read again before a start: the
   * allowance for its error shortens the lease of the start. */
  CLOCK_READING_AGE_MAX_US = 10000000,
};

static int64_t
min_us (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Latest time at which a lease for the run may end. */
static int64_t
lease_limit_us (const dks_leased_run_t *run)
{
  const dks_leased_peer_t *origin =
      run->job != NULL ? dks_leased_peer_find (run->leased, run->job->origin) : NULL;

  if (origin != NULL)
    return origin->proven_running_us + INT64_C (1000) * LEASE_AFTER_MESSAGE_MAX_MS;
  if (run->job == NULL && run->released_us > 0)
    return run->lease_limit_us;
  return INT64_MAX; /* adopted, or for this instance itself */
}

void
dks_leased_run_release (dks_leased_run_t *run)
{
  int64_t now_us = dks_leased_now_us (run->leased);
  int64_t limit_us = lease_limit_us (run);

  if (run->released_us == 0)
    {
      run->lease_limit_us = min_us (limit_us, now_us + INT64_C (1000) * LEASE_AFTER_STOP_MAX_MS);
      run->released_us = now_us;
    }
  run->job = NULL;
}

static int64_t
clock_reading_age_us (const dks_leased_target_t *target)
{
  return dks_leased_now_us (target->leased) - target->clock_read_us;
}

/* Earliest time that the target's clock can show now, if it has been slow since it was read. */
static int64_t
target_clock_min_ms (const dks_leased_target_t *target)
{
  int64_t error_ms = clock_reading_age_us (target) * CLOCK_ERROR_PERCENT / 100 / 1000 + 1;

  return dks_leased_now_us (target->leased) / 1000 + target->clock_offset_ms - error_ms;
}

int64_t
dks_leased_target_deadline (const dks_leased_target_t *target, int64_t ahead_ms)
{
  int64_t now_us = dks_leased_now_us (target->leased);
  int64_t end_us = now_us + 1000 * ahead_ms;
  const dks_leased_run_t *run;

  APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
    end_us = min_us (end_us, lease_limit_us (run));
  return target_clock_min_ms (target) + (end_us > now_us ? (end_us - now_us) / 1000 : 0);
}

bool
dks_leased_target_clock_is_recent (const dks_leased_target_t *target)
{
  return clock_reading_age_us (target) <= CLOCK_READING_AGE_MAX_US;
}

bool
dks_leased_target_ensure_clock (dks_leased_target_t *target)
{
  if (dks_leased_target_clock_is_recent (target))
    return true;
  if (target->poll_op == 0)
    dks_leased_target_poll (target);
  target->clock_awaited = true;
  return false;
}

void
dks_leased_target_discard_clock (dks_leased_target_t *target)
{
  target->clock_read_us = dks_leased_now_us (target->leased) - CLOCK_READING_AGE_MAX_US - 1;
}

int64_t
dks_leased_lease_end_us (int64_t extended_us)
{
  return extended_us + INT64_C (1000) * DKS_LEASED_LEASE_MS * (100 + CLOCK_ERROR_PERCENT) / 100
         + EXPIRY_MARGIN_US;
}
