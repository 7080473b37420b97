#include "core/leased.h"

#include <math.h>

enum
{
  /* A job that waited less than this for its first start found no queue before it. */
  QUEUE_WAIT_MIN_US = 20000,
  /* A queue that has stood for this long is no burst that passes. */
  OVERLOAD_MIN_US = 400000,
  /* Time in which no job had to wait after which there is no queue any more. */
  PAUSE_MIN_US = 300000,
  RATE_WINDOW_US = 100000, /* of one sample of the start rate */
  /* Time without a start after which the start rate is taken to be lower than it was. */
  RATE_SILENCE_US = 300000,
  INFLOW_DECAY_US = 500000 /* time constant of the rate at which tasks arrive */
};

#define RATE_SAMPLE_WEIGHT 0.3 /* of a new sample in the start rate */
/* Least part of the start rate that is taken to be left over by higher priorities. */
#define RATE_LEFT_MIN 0.1

static uint32_t
level_of (const dks_leased_job_t *job)
{
  return job->batch->priority < DKS_LEASED_LEVELS ? job->batch->priority : DKS_LEASED_LEVELS - 1;
}

/* A job had to wait, or was refused because it would have had to. */
static void
record_wait (dks_leased_t *leased)
{
  dks_leased_drain_t *drain = &leased->drain;

  if (dks_leased_now_us (leased) - drain->last_wait_us > PAUSE_MIN_US)
    drain->queue_since_us = dks_leased_now_us (leased);
  drain->last_wait_us = dks_leased_now_us (leased);
}

static bool
has_queue (const dks_leased_t *leased)
{
  return leased->drain.last_wait_us > 0
         && dks_leased_now_us (leased) - leased->drain.last_wait_us <= PAUSE_MIN_US;
}

void
dks_leased_drain_record_first_start (const dks_leased_job_t *job)
{
  if (!job->is_lent && dks_leased_now_us (job->leased) - job->received_us >= QUEUE_WAIT_MIN_US)
    record_wait (job->leased);
}

void
dks_leased_drain_record_refusal (dks_leased_t *leased)
{
  record_wait (leased);
}

void
dks_leased_drain_record_start (dks_leased_t *leased)
{
  dks_leased_drain_t *drain = &leased->drain;
  int64_t elapsed_us = dks_leased_now_us (leased) - drain->window_start_us;
  double rate;

  if (!has_queue (leased))
    {
      drain->window_start_us = dks_leased_now_us (leased);
      drain->window_starts = 0;
      return;
    }
  drain->window_starts++;
  if (elapsed_us < RATE_WINDOW_US)
    return;
  rate = (double)drain->window_starts / (double)elapsed_us;
  drain->start_rate +=
      (drain->start_rate > 0 ? RATE_SAMPLE_WEIGHT : 1) * (rate - drain->start_rate);
  drain->window_start_us = dks_leased_now_us (leased);
  drain->window_starts = 0;
}

static double
decayed_inflow (const dks_leased_t *leased, uint32_t level)
{
  const dks_leased_inflow_t *inflow = &leased->drain.inflow[level];

  return inflow->rate
         * exp ((double)(inflow->updated_us - dks_leased_now_us (leased)) / INFLOW_DECAY_US);
}

void
dks_leased_drain_record_admission (const dks_leased_job_t *job)
{
  dks_leased_t *leased = job->leased;
  uint32_t level = level_of (job);
  double rate = decayed_inflow (leased, level) + (double)job->task_count / INFLOW_DECAY_US;

  leased->drain.inflow[level] =
      (dks_leased_inflow_t){ .rate = rate, .updated_us = dks_leased_now_us (leased) };
}

int64_t
dks_leased_drain_overload_us (const dks_leased_t *leased)
{
  int64_t age_us = dks_leased_now_us (leased) - leased->drain.queue_since_us;

  return has_queue (leased) && age_us >= OVERLOAD_MIN_US ? age_us : 0;
}

bool
dks_leased_drain_is_overloaded (const dks_leased_t *leased)
{
  return dks_leased_drain_overload_us (leased) > 0;
}

double
dks_leased_drain_rate (const dks_leased_job_t *job)
{
  const dks_leased_t *leased = job->leased;
  const dks_leased_drain_t *drain = &leased->drain;
  int64_t silence_us = dks_leased_now_us (leased) - drain->window_start_us;
  double rate = drain->start_rate;
  double left;

  if (rate <= 0)
    rate = dks_leased_targets_capacity (leased) / dks_leased_targets_mean_run_us (leased);
  else if (silence_us > RATE_SILENCE_US && (drain->window_starts + 1.0) / (double)silence_us < rate)
    rate = (drain->window_starts + 1.0) / (double)silence_us;
  left = rate;
  for (uint32_t i = 0; i < level_of (job); i++)
    left -= decayed_inflow (leased, i);
  return left > RATE_LEFT_MIN * rate ? left : RATE_LEFT_MIN * rate;
}
