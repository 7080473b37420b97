#include "core/leased.h"

#include <math.h>
#include <string.h>

/* A target counts as impaired when its slowness is above the mean of all targets times this. */
#define ACCEPTABLE_SLOWNESS_FACTOR 1.7
/* Cost of each unit of slowness by which a target is faster than the task needs. */
#define SPARE_SPEED_WEIGHT 0.5
/* Added to the slowness of a target on which the task would end late, to give its cost; above the
 * cost of any target on which the task would end in time. */
#define LATE_COST 4.0
/* Free capacity counts as fast on targets with a slowness of up to this many times the least one
 * among the targets that have free capacity. */
#define FAST_SLOWNESS_FACTOR 1.1
/* Factor on run times that were observed or are compared with the objective. The objective follows
 * from the job's true run time, so that only the uneven speed of the targets on which it runs
 * remains as an error. The caller's deadline does not follow from the run time. */
#define OBJECTIVE_RUN_TIME_MARGIN 1.1
/* An objective that only a target of less slowness could meet counts as missed. */
#define OBJECTIVE_SLOWNESS_MIN 0.5

bool
dks_leased_target_is_in_unlisted_grace (const dks_leased_target_t *target)
{
  return !target->listed
         && dks_leased_now_us (target->leased) - target->unlisted_us < DKS_LEASED_UNLISTED_GRACE_US;
}

static bool
is_usable (const dks_leased_target_t *target)
{
  const dks_leased_t *leased = target->leased;
  int64_t time_us = dks_leased_now_us (leased);

  return target->held && target->synced && target->clock_known && !target->info.leaving
         && target->unanswered_calls == 0 && target->failed_stops == 0
         && (target->listed || dks_leased_target_is_in_unlisted_grace (target))
         && target->ejected_until_us <= time_us && target->full_until_us <= time_us
         && !dks_leased_evacuation_covers (leased, target->info.data_centre);
}

static bool
has_label (const dks_leased_target_t *target, const char *label)
{
  for (uint32_t i = 0; i < target->info.label_count; i++)
    {
      if (strcmp (target->info.labels[i], label) == 0)
        return true;
    }
  return false;
}

/* Whether a task of the step would fit on the target if that were idle. */
static bool
fits_when_idle (const dks_leased_target_t *target, const dks_batch_t *batch,
                const dks_batch_step_t *step)
{
  return strcmp (target->info.service, batch->service) == 0
         && step->cpu_milli <= target->info.cpu_milli && step->memory_mb <= target->info.memory_mb
         && step->accelerators <= target->info.accelerators
         && (step->required_label[0] == '\0' || has_label (target, step->required_label));
}

static bool
has_free_capacity (const dks_leased_target_t *target, const dks_batch_step_t *step)
{
  return target->cpu_used + step->cpu_milli <= target->info.cpu_milli
         && target->memory_used + step->memory_mb <= target->info.memory_mb
         && target->accelerators_used + step->accelerators <= target->info.accelerators;
}

void
dks_leased_target_reserve (dks_leased_target_t *target, const dks_batch_step_t *step)
{
  target->cpu_used += step->cpu_milli;
  target->memory_used += step->memory_mb;
  target->accelerators_used += step->accelerators;
  target->cpu_reserved += step->cpu_milli;
  target->memory_reserved += step->memory_mb;
  target->accelerators_reserved += step->accelerators;
  target->leased->has_reservations = true;
}

void
dks_leased_targets_end_reservations (dks_leased_t *leased)
{
  dks_leased_target_t *target;

  if (!leased->has_reservations)
    return;
  leased->has_reservations = false;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      target->cpu_used -= target->cpu_reserved;
      target->memory_used -= target->memory_reserved;
      target->accelerators_used -= target->accelerators_reserved;
      target->cpu_reserved = 0;
      target->memory_reserved = 0;
      target->accelerators_reserved = 0;
    }
}

bool
dks_leased_targets_can_start (const dks_leased_target_t *target, const dks_leased_job_t *job,
                              uint32_t index)
{
  const dks_batch_step_t *step = &job->batch->steps[job->tasks[index].batch_step];

  return is_usable (target) && has_free_capacity (target, step);
}

/* Number of runs of the task's step on the target, including those that an earlier sender of the
 * job started and those of tasks that were lent in other messages. */
static uint32_t
count_step_runs (const dks_leased_target_t *target, const dks_leased_job_t *job,
                 const dks_leased_task_t *task)
{
  const dks_leased_run_t *run;
  char prefix[DKS_TASK_NAME_SIZE];
  size_t len;
  uint32_t count = 0;

  dks_batch_task_name (job->batch->id, task->step, 0, prefix);
  len = strlen (prefix) - 1; /* without the index 0 at its end */
  APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
    count += strncmp (run->task_name, prefix, len) == 0;
  return count;
}

double
dks_leased_targets_slowness_limit (const dks_leased_job_t *job, const dks_leased_task_t *task)
{
  const dks_leased_t *leased = job->leased;
  bool observed = task->observed_run_us > 0;
  double expected_us = observed ? task->observed_run_us
                                : dks_leased_estimate_run_us (leased, job->batch, task->batch_step);
  double margin = observed ? OBJECTIVE_RUN_TIME_MARGIN : DKS_LEASED_RUN_TIME_MARGIN;
  int64_t end_us = dks_leased_now_us (leased) + job->step_tail_us[task->batch_step];
  double limit_by_deadline = (double)(job->deadline_us - end_us) / (margin * expected_us);
  double limit_by_objective =
      (double)(job->objective_end_us - end_us) / (OBJECTIVE_RUN_TIME_MARGIN * expected_us);
  double acceptable_max = ACCEPTABLE_SLOWNESS_FACTOR * leased->mean_slowness;
  double limit = limit_by_deadline < acceptable_max ? limit_by_deadline : acceptable_max;

  return limit_by_objective < limit && limit_by_objective > OBJECTIVE_SLOWNESS_MIN
             ? limit_by_objective
             : limit;
}

/* Expected run time on the target over that on an average one, with the factor for remote data. */
static double
step_slowness (const dks_leased_target_t *target, const dks_batch_step_t *step)
{
  double slowness = dks_leased_target_slowness (target);

  if (step->preferred_label[0] != '\0' && !has_label (target, step->preferred_label))
    slowness *= target->leased->r->config.remote_factor;
  return slowness;
}

/* Cost of placing the task on the target, without regard to its free capacity. Fast targets are
 * kept for tasks that need them: a task goes to the slowest target on which it ends in time, near
 * its data; when there is none, to the fastest. */
static double
speed_cost (const dks_leased_target_t *target, const dks_leased_task_t *task,
            const dks_batch_step_t *step, double limit)
{
  double slowness = step_slowness (target, step);
  double base_slowness = dks_leased_target_slowness (target);
  double cost = slowness <= limit
                    ? slowness - base_slowness + SPARE_SPEED_WEIGHT * (limit - base_slowness)
                    : LATE_COST + slowness;

  if (strcmp (task->avoid_target, target->info.id) == 0)
    cost += DKS_LEASED_SLOWNESS_MAX;
  return cost + target->failure_rate;
}

/* Cost of placing the task on the target; the least is chosen. Of equal targets, the one that has
 * the least capacity left over is chosen. */
static double
placement_cost (const dks_leased_target_t *target, const dks_leased_task_t *task,
                const dks_batch_step_t *step, double limit)
{
  uint32_t left_milli = target->info.cpu_milli - target->cpu_used - step->cpu_milli;

  return speed_cost (target, task, step, limit) + 0.1 * left_milli / (target->info.cpu_milli + 1.0);
}

double
dks_leased_targets_cost (const dks_leased_target_t *target, const dks_leased_job_t *job,
                         const dks_leased_task_t *task, double limit, bool allow_late,
                         uint32_t planned)
{
  const dks_batch_step_t *step = &job->batch->steps[task->batch_step];

  target->leased->load.counts.target_scans++;
  if (!is_usable (target) || !fits_when_idle (target, job->batch, step)
      || (!allow_late && step_slowness (target, step) > limit))
    return HUGE_VAL;
  if (step->max_per_target > 0
      && count_step_runs (target, job, task) + planned >= step->max_per_target)
    return HUGE_VAL;
  return speed_cost (target, task, step, limit);
}

dks_leased_target_t *
dks_leased_targets_choose (dks_leased_t *leased, const dks_leased_job_t *job,
                           const dks_leased_task_t *task, dks_leased_choice_t *choice)
{
  const dks_batch_step_t *step = &job->batch->steps[task->batch_step];
  double limit;
  dks_leased_target_t *target;
  dks_leased_target_t *best = NULL;
  double best_cost = 0;

  choice->slowness = HUGE_VAL;
  choice->in_time = false;
  /* Without this check, each of many waiting tasks would scan all full targets again and again. */
  if (step->cpu_milli > leased->max_free_cpu_milli)
    return NULL;
  limit = dks_leased_targets_slowness_limit (job, task);

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      double cost;

      leased->load.counts.target_scans++;
      if (!is_usable (target) || !fits_when_idle (target, job->batch, step)
          || !has_free_capacity (target, step) || !dks_leased_plan_may_use (target, job, task))
        continue;
      if (step->max_per_target > 0 && count_step_runs (target, job, task) >= step->max_per_target)
        continue;
      cost = placement_cost (target, task, step, limit);
      if (best != NULL && cost >= best_cost)
        continue;
      best = target;
      best_cost = cost;
    }
  if (best == NULL)
    return NULL;
  choice->slowness = step_slowness (best, step);
  choice->in_time = choice->slowness <= limit;
  return best;
}

void
dks_leased_targets_update_free_cpu (dks_leased_t *leased)
{
  const dks_leased_target_t *target;

  leased->max_free_cpu_milli = 0;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      uint32_t used = target->cpu_used;

      leased->load.counts.target_scans++;
      if (used < target->info.cpu_milli
          && target->info.cpu_milli - used > leased->max_free_cpu_milli && is_usable (target))
        leased->max_free_cpu_milli = target->info.cpu_milli - used;
    }
}

double
dks_leased_targets_min_slowness (const dks_leased_t *leased)
{
  const dks_leased_target_t *target;
  double slowness = HUGE_VAL;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (is_usable (target) && dks_leased_target_slowness (target) < slowness)
        slowness = dks_leased_target_slowness (target);
    }
  return slowness;
}

bool
dks_leased_targets_can_ever_run (const dks_leased_t *leased, const dks_batch_t *batch,
                                 const dks_batch_step_t *step)
{
  const dks_leased_target_t *target;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (!target->info.leaving && fits_when_idle (target, batch, step))
        return true;
    }
  return false;
}

static uint32_t
count_tasks_of_mean_size (uint32_t cpu_milli, const dks_leased_t *leased)
{
  return (uint32_t)(cpu_milli / leased->mean_cpu_milli);
}

/* Tasks of mean size that fit now on usable targets with a slowness of up to `slowness_max`. */
static uint32_t
count_free_tasks (const dks_leased_t *leased, double slowness_max)
{
  const dks_leased_target_t *target;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (is_usable (target) && !target->kept && target->info.cpu_milli > target->cpu_used
          && dks_leased_target_slowness (target) <= slowness_max)
        count += count_tasks_of_mean_size (target->info.cpu_milli - target->cpu_used, leased);
    }
  return count;
}

uint32_t
dks_leased_targets_free_tasks (const dks_leased_t *leased)
{
  return count_free_tasks (leased, HUGE_VAL);
}

uint32_t
dks_leased_targets_free_for (const dks_leased_t *leased, const dks_leased_job_t *job)
{
  const dks_leased_target_t *target;
  const dks_batch_step_t *step = &job->batch->steps[0];
  uint32_t count = 0;

  if (step->cpu_milli == 0)
    return dks_leased_targets_free_tasks (leased);
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (is_usable (target) && target->info.cpu_milli > target->cpu_used
          && fits_when_idle (target, job->batch, step))
        count += (target->info.cpu_milli - target->cpu_used) / step->cpu_milli;
    }
  return count;
}

uint32_t
dks_leased_targets_free_fast_tasks (const dks_leased_t *leased, double *slowness)
{
  const dks_leased_target_t *target;

  *slowness = HUGE_VAL;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (is_usable (target) && !target->kept && target->info.cpu_milli > target->cpu_used
          && count_tasks_of_mean_size (target->info.cpu_milli - target->cpu_used, leased) > 0
          && dks_leased_target_slowness (target) < *slowness)
        *slowness = dks_leased_target_slowness (target);
    }
  return *slowness < HUGE_VAL ? count_free_tasks (leased, FAST_SLOWNESS_FACTOR * *slowness) : 0;
}

double
dks_leased_targets_mean_run_us (const dks_leased_t *leased)
{
  const dks_leased_target_t *target;
  double sum_us = 0;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      const dks_leased_run_t *run;

      APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
        {
          sum_us += run->expected_us;
          count += run->expected_us > 0;
        }
    }
  return count > 0 ? sum_us / count : leased->mean_run_us;
}

uint32_t
dks_leased_targets_capacity (const dks_leased_t *leased)
{
  const dks_leased_target_t *target;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (is_usable (target))
        count += count_tasks_of_mean_size (target->info.cpu_milli, leased);
    }
  return count;
}
