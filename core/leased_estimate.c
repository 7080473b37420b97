#include "core/leased.h"

#include "common/alloc.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  SAMPLES_MIN = 5, /* run times of a queue before their average is used */
  /* Queues of a configuration that get an average; tasks of further queues are estimated by
   * their declared run time. */
  QUEUES_MAX = 4096
};

#define QUEUE_SAMPLE_WEIGHT 0.03 /* of a new run time in the average of its queue */
/* Weight of the declared run time against the average of the queue, both as logarithms. Declared
 * times are about as far off as the run times of a queue differ, so that their mean is the best
 * estimate. */
#define DECLARED_TIME_WEIGHT 0.5

static dks_leased_queue_t *
queue_find (const dks_leased_t *leased, const char *name)
{
  dks_leased_queue_t *queue;

  APR_RING_FOREACH (queue, &leased->queues, dks_leased_queue_t, link)
    {
      if (strcmp (queue->name, name) == 0)
        return queue;
    }
  return NULL;
}

double
dks_leased_estimate_run_us (const dks_leased_t *leased, const dks_batch_t *batch, uint32_t step)
{
  const dks_leased_queue_t *queue = queue_find (leased, batch->queue);
  double declared_us = 1000.0 * batch->steps[step].estimate_ms;

  if (queue == NULL || queue->samples < SAMPLES_MIN)
    return declared_us > 0 ? declared_us : leased->mean_run_us;
  if (declared_us <= 0)
    return exp (queue->mean_log_run_us);
  return exp (DECLARED_TIME_WEIGHT * log (declared_us)
              + (1 - DECLARED_TIME_WEIGHT) * queue->mean_log_run_us);
}

double
dks_leased_estimate_critical_path_us (const dks_leased_t *leased, const dks_batch_t *batch)
{
  double ends_us[DKS_BATCH_STEPS_MAX] = { 0 };
  double longest_us = 0;

  for (uint32_t i = 0; i < batch->step_count; i++)
    {
      for (uint32_t j = 0; j < i; j++)
        {
          if ((batch->steps[i].after_mask >> j & 1) != 0 && ends_us[j] > ends_us[i])
            ends_us[i] = ends_us[j];
        }
      ends_us[i] += dks_leased_estimate_run_us (leased, batch, i);
      if (ends_us[i] > longest_us)
        longest_us = ends_us[i];
    }
  return longest_us;
}

void
dks_leased_estimate_tails_us (const dks_leased_t *leased, const dks_batch_t *batch,
                              int64_t tails_us[DKS_BATCH_STEPS_MAX])
{
  for (uint32_t i = batch->step_count; i-- > 0;)
    {
      tails_us[i] = 0;
      for (uint32_t j = i + 1; j < batch->step_count; j++)
        {
          int64_t tail_us = (int64_t)dks_leased_estimate_run_us (leased, batch, j) + tails_us[j];

          if ((batch->steps[j].after_mask >> i & 1) != 0 && tail_us > tails_us[i])
            tails_us[i] = tail_us;
        }
    }
}

/* Run times of the queue, created if there are none; NULL when there are QUEUES_MAX queues. */
static dks_leased_queue_t *
queue_find_or_create (dks_leased_t *leased, const char *name)
{
  dks_leased_queue_t *queue = queue_find (leased, name);

  if (queue != NULL || leased->queue_count >= QUEUES_MAX)
    return queue;
  queue = dks_alloc (sizeof (*queue));
  dks_strcpy (queue->name, sizeof (queue->name), name);
  APR_RING_INSERT_TAIL (&leased->queues, queue, dks_leased_queue_t, link);
  leased->queue_count++;
  return queue;
}

void
dks_leased_estimate_put (dks_leased_t *leased, const char *name, double mean_log_run_us,
                         uint32_t samples)
{
  dks_leased_queue_t *queue = queue_find_or_create (leased, name);

  if (queue == NULL)
    return;
  queue->mean_log_run_us = mean_log_run_us;
  queue->samples = samples;
}

void
dks_leased_estimate_record (dks_leased_t *leased, const dks_batch_t *batch, double run_us)
{
  dks_leased_queue_t *queue = queue_find_or_create (leased, batch->queue);
  double log_run_us = log (run_us > 1 ? run_us : 1);

  if (queue == NULL)
    return;
  queue->samples++;
  /* The first samples have equal weight. */
  queue->mean_log_run_us +=
      (log_run_us - queue->mean_log_run_us)
      * (queue->samples * QUEUE_SAMPLE_WEIGHT < 1 ? 1.0 / queue->samples : QUEUE_SAMPLE_WEIGHT);
}

void
dks_leased_estimate_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->queues, dks_leased_queue_t, link);
}

void
dks_leased_estimate_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->queues, dks_leased_queue_t, link))
    {
      dks_leased_queue_t *queue = APR_RING_FIRST (&leased->queues);

      APR_RING_REMOVE (queue, link);
      free (queue);
    }
}
