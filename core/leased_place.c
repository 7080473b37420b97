#include "core/leased.h"

#include <string.h>

#define SOUND_FACTOR 1.7 /* a target that is slower than the average by this much is not sound */
#define FAST_FACTOR 1.0  /* a target is fast up to this part of the average slowness */
#define SPARE_WEIGHT 0.5 /* of a target's speed for tasks that do not need it */

static bool
is_usable (const dks_ltarget_t *target)
{
  const dks_leased_t *leased = target->leased;
  int64_t time_us = dks_lnow_us (leased);

  return target->held && target->adopted && target->clock_known && !target->info.leaving
         && target->silent_calls == 0
         && (target->listed || time_us - target->unlisted_us < DKS_LUNLISTED_GRACE_US)
         && target->ejected_until_us <= time_us && target->full_until_us <= time_us;
}

static bool
has_label (const dks_ltarget_t *target, const char *label)
{
  for (uint32_t i = 0; i < target->info.label_count; i++)
    {
      if (strcmp (target->info.labels[i], label) == 0)
        return true;
    }
  return false;
}

/* Whether the step fits on the idle target. */
static bool
could_run (const dks_ltarget_t *target, const dks_batch_t *batch, const dks_batch_step_t *step)
{
  return strcmp (target->info.service, batch->service) == 0
         && step->cpu_milli <= target->info.cpu_milli && step->memory_mb <= target->info.memory_mb
         && step->accelerators <= target->info.accelerators
         && (step->required_label[0] == '\0' || has_label (target, step->required_label));
}

static bool
has_room (const dks_ltarget_t *target, const dks_batch_step_t *step)
{
  return target->cpu_used + step->cpu_milli <= target->info.cpu_milli
         && target->memory_used + step->memory_mb <= target->info.memory_mb
         && target->accelerators_used + step->accelerators <= target->info.accelerators;
}

/* Runs of the job's step on the target, also those of an earlier sender, or lent apart. */
static uint32_t
count_step_runs (const dks_ltarget_t *target, const dks_ljob_t *job, const dks_ltask_t *task)
{
  const dks_lrun_t *run;
  char prefix[DKS_TASK_NAME_SIZE];
  size_t len;
  uint32_t count = 0;

  dks_batch_task_name (job->batch->id, task->step, 0, prefix);
  len = strlen (prefix) - 1; /* without the index 0 */
  APR_RING_FOREACH (run, &target->runs, dks_lrun_t, link)
    count += strncmp (run->name, prefix, len) == 0;
  return count;
}

/* Expected relative run time; ties go to the target on which the least room is left over. */
static double
placement_cost (const dks_ltarget_t *target, const dks_ltask_t *task, const dks_batch_step_t *step)
{
  const dks_leased_t *leased = target->leased;
  double slowness = dks_ltarget_slowness (target);
  double cost = slowness;
  uint32_t left = target->info.cpu_milli - target->cpu_used - step->cpu_milli;

  /* Fast targets are kept for tasks that need them: others go to the slowest one that is sound and
   * serves them in time. */
  if (!task->is_tight && slowness < SOUND_FACTOR * leased->slowness_mean)
    cost = SPARE_WEIGHT * (SOUND_FACTOR * leased->slowness_mean - slowness);
  if (step->near_label[0] != '\0' && !has_label (target, step->near_label))
    cost *= leased->r->config.remote_factor;
  if (strcmp (task->avoid, target->info.id) == 0)
    cost += DKS_LSLOWNESS_MAX;
  cost += target->failure_rate;
  return cost + 0.1 * left / (target->info.cpu_milli + 1.0);
}

dks_ltarget_t *
dks_ltargets_choose (dks_leased_t *leased, const dks_ljob_t *job, const dks_ltask_t *task)
{
  const dks_batch_step_t *step = &job->batch->steps[task->batch_step];
  dks_ltarget_t *target;
  dks_ltarget_t *best = NULL;
  double best_cost = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    {
      double cost;

      if (!is_usable (target) || !could_run (target, job->batch, step) || !has_room (target, step))
        continue;
      if (step->max_per_target > 0 && count_step_runs (target, job, task) >= step->max_per_target)
        continue;
      cost = placement_cost (target, task, step);
      if (best != NULL && cost >= best_cost)
        continue;
      best = target;
      best_cost = cost;
    }
  return best;
}

bool
dks_ltargets_can_ever_run (const dks_leased_t *leased, const dks_batch_t *batch,
                           const dks_batch_step_t *step)
{
  const dks_ltarget_t *target;

  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    {
      if (!target->info.leaving && could_run (target, batch, step))
        return true;
    }
  return false;
}

static uint32_t
tasks_in (uint32_t cpu_milli, const dks_leased_t *leased)
{
  return (uint32_t)(cpu_milli / leased->cpu_mean);
}

bool
dks_ltarget_is_fast (const dks_ltarget_t *target)
{
  return dks_ltarget_slowness (target) <= FAST_FACTOR * target->leased->slowness_mean;
}

static uint32_t
count_free (const dks_leased_t *leased, bool fast_only)
{
  const dks_ltarget_t *target;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    {
      if (is_usable (target) && target->info.cpu_milli > target->cpu_used
          && (!fast_only || dks_ltarget_is_fast (target)))
        count += tasks_in (target->info.cpu_milli - target->cpu_used, leased);
    }
  return count;
}

uint32_t
dks_ltargets_free_tasks (const dks_leased_t *leased)
{
  return count_free (leased, false);
}

uint32_t
dks_ltargets_free_fast_tasks (const dks_leased_t *leased)
{
  return count_free (leased, true);
}

uint32_t
dks_ltargets_capacity (const dks_leased_t *leased)
{
  const dks_ltarget_t *target;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    {
      if (is_usable (target))
        count += tasks_in (target->info.cpu_milli, leased);
    }
  return count;
}
