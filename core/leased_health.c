#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <string.h>

enum
{
  EJECT_MIN_US = 1000000, /* first ejection; each further one is twice as long */
  EJECT_MAX_US = 8000000, /* longest ejection */
  EJECT_DOUBLINGS_MAX = 3,
  CHANGE_MIN_RUN_ENDS = 2, /* slow run ends in a row that show a change of the target's speed */
  SLOWNESS_MIN_SAMPLES = 3 /* run ends before a target's own average is used */
};

#define SLOWNESS_WEIGHT 0.04 /* of a new sample in a target's average slowness */
#define CHANGE_FACTOR 2.5    /* samples above this many times the average count as slow run ends */
#define CHANGE_WEIGHT 0.3    /* of a sample that shows a change */
#define FAILURE_WEIGHT 0.3   /* of a run end in a target's failure rate */
#define EJECT_FAILURE_RATE 0.5 /* failure rate above which a target is ejected */

static uint32_t
count_ejected (const dks_leased_t *leased, uint32_t *held)
{
  const dks_leased_target_t *target;
  uint32_t ejected = 0;

  *held = 0;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (!target->held || !target->listed)
        continue;
      (*held)++;
      ejected += target->ejected_until_us > dks_leased_now_us (leased);
    }
  return ejected;
}

double
dks_leased_target_slowness (const dks_leased_target_t *target)
{
  return target->slowness_samples >= SLOWNESS_MIN_SAMPLES ? target->slowness
                                                          : target->leased->mean_slowness;
}

void
dks_leased_target_eject (dks_leased_target_t *target, const char *reason)
{
  dks_leased_t *leased = target->leased;
  int64_t ejection_us = (int64_t)EJECT_MIN_US
                        << (target->ejections < EJECT_DOUBLINGS_MAX ? target->ejections
                                                                    : EJECT_DOUBLINGS_MAX);
  uint32_t held;

  if (target->ejected_until_us > dks_leased_now_us (leased)
      || 2 * (count_ejected (leased, &held) + 1) > held)
    return;
  if (ejection_us > EJECT_MAX_US)
    ejection_us = EJECT_MAX_US;
  target->ejections++;
  target->ejected_until_us = dks_leased_now_us (leased) + ejection_us;
  dks_counter_increment (&leased->r->counters, DKS_COUNTER_TARGET_EJECTIONS);
  dks_emit_log (
      leased->r, DKS_LOG_NOTICE,
      "event=target-ejected target=%s reason=%s failure_rate=%.2f slowness=%.2f for_ms=%" PRId64,
      target->info.id, reason, target->failure_rate, target->slowness, ejection_us / 1000);
}

void
dks_leased_target_record_run_end (dks_leased_target_t *target, bool failed)
{
  target->failure_rate =
      (1 - FAILURE_WEIGHT) * target->failure_rate + (failed ? FAILURE_WEIGHT : 0);
  if (!failed)
    target->ejections = 0;
  else if (target->failure_rate > EJECT_FAILURE_RATE)
    dks_leased_target_eject (target, "failures");
}

void
dks_leased_update_mean (double *mean, double sample, double weight)
{
  *mean += weight * (sample - *mean);
}

void
dks_leased_target_forget_slowness (dks_leased_target_t *target)
{
  target->slowness_samples = 0;
  target->slow_run_ends = 0;
}

void
dks_leased_target_record_slowness (dks_leased_target_t *target, double slowness)
{
  dks_leased_t *leased = target->leased;
  double weight;

  if (slowness > DKS_LEASED_SLOWNESS_MAX)
    slowness = DKS_LEASED_SLOWNESS_MAX;
  /* Run times differ by a third from the expected ones, so a single sample says little. Several run
   * ends in a row that are far off show that the target has just changed; a single one may come
   * from a long task. */
  weight = target->slowness_samples++ * SLOWNESS_WEIGHT < 1 ? 1.0 / target->slowness_samples
                                                            : SLOWNESS_WEIGHT;
  if (slowness <= CHANGE_FACTOR * target->slowness)
    target->slow_run_ends = 0;
  else if (++target->slow_run_ends >= CHANGE_MIN_RUN_ENDS && weight < CHANGE_WEIGHT)
    weight = CHANGE_WEIGHT;

  dks_leased_update_mean (&target->slowness, slowness, weight);
  dks_leased_update_mean (&leased->mean_slowness, slowness, DKS_LEASED_MEAN_WEIGHT);
}
