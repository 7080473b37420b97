#include "core/leased.h"

#include "common/alloc.h"
#include "core/plan.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A waiting task in the plan. */
typedef struct
{
  dks_leased_job_t *job;
  uint32_t index;          /* in the job's tasks */
  dks_leased_task_t *task; /* compared only, once the pass has ended: the job may be gone */
  double limit;            /* greatest slowness with which it ends in time, NAN: not computed */
} entry_t;

struct dks_leased_plan_t
{
  dks_plan_t plan;
  dks_plan_task_t tasks[DKS_PLAN_TASKS_MAX];
  entry_t entries[DKS_PLAN_TASKS_MAX];
  bool allow_late; /* no other data centre has room where tasks would end in time */
  bool in_pass;    /* `entries` are those of the present pass */
  dks_plan_target_t *targets;
  dks_leased_target_t **target_entries;
  uint32_t target_size;
  dks_plan_run_t *runs;
  uint32_t run_size;
};

static dks_plan_room_t
room (uint32_t cpu_milli, uint32_t memory_mb, uint32_t accelerators)
{
  return (dks_plan_room_t){ { cpu_milli, memory_mb, accelerators } };
}

static dks_plan_room_t
total_room (const dks_leased_target_t *target)
{
  return room (target->info.cpu_milli, target->info.memory_mb, target->info.accelerators);
}

static uint32_t
subtract (uint32_t total, uint32_t used)
{
  return total > used ? total - used : 0;
}

static dks_plan_room_t
free_room (const dks_leased_target_t *target)
{
  return room (subtract (target->info.cpu_milli, target->cpu_used),
               subtract (target->info.memory_mb, target->memory_used),
               subtract (target->info.accelerators, target->accelerators_used));
}

static dks_leased_plan_t *
plan_get (dks_leased_t *leased)
{
  if (leased->plan == NULL)
    leased->plan = dks_alloc (sizeof (*leased->plan));
  return leased->plan;
}

void
dks_leased_plan_clear (dks_leased_t *leased)
{
  if (leased->plan == NULL)
    return;
  free (leased->plan->targets);
  free (leased->plan->target_entries);
  free (leased->plan->runs);
  free (leased->plan);
  leased->plan = NULL;
}

/* Waiting tasks that may start, in the order of service. */
static void
add_tasks (dks_leased_plan_t *p, dks_leased_job_t *job)
{
  for (uint32_t i = 0; i < job->task_count && p->plan.task_count < DKS_PLAN_TASKS_MAX; i++)
    {
      dks_leased_task_t *task = &job->tasks[i];
      const dks_batch_step_t *step = &job->batch->steps[task->batch_step];

      if (!dks_leased_task_is_due (job, task))
        continue;
      p->entries[p->plan.task_count] =
          (entry_t){ .job = job, .index = i, .task = task, .limit = NAN };
      p->tasks[p->plan.task_count++] = (dks_plan_task_t){
        .room = room (step->cpu_milli, step->memory_mb, step->accelerators),
        .priority = job->batch->priority,
        .group = (uint32_t)job->id_hash + task->batch_step,
        /* Jobs that miss their objective come after the others; they have no start to lose. */
        .latest_start_us = job->objective_missed ? INT64_MAX : job->latest_start_us,
        .run_us = job->expected_run_us,
        .overtaken = task->overtaken,
        .hold = -1,
        .hold_until_us = task->hold_until_us,
        .lapses = task->lapses,
      };
    }
}

static uint32_t
collect_tasks (dks_leased_t *leased)
{
  dks_leased_plan_t *p = leased->plan;
  dks_leased_job_t *job;
  uint32_t smallest_milli = UINT32_MAX;

  p->plan.tasks = p->tasks;
  p->plan.task_count = 0;
  APR_RING_FOREACH (job, &leased->jobs, dks_leased_job_t, link)
    {
      leased->load.counts.job_visits++;
      if (p->plan.task_count == DKS_PLAN_TASKS_MAX)
        break;
      if (job->waiting_count > 0 && !job->is_lent && !job->resent
          && (job->started || dks_leased_job_may_start_first_time (job)) && !job->resent)
        add_tasks (p, job);
    }
  for (uint32_t i = 0; i < p->plan.task_count; i++)
    {
      if (p->tasks[i].room.amount[0] < smallest_milli)
        smallest_milli = p->tasks[i].room.amount[0];
    }
  return smallest_milli;
}

/* Expected ends of the runs on the target, appended to the runs of the plan. */
static uint32_t
add_runs (dks_leased_plan_t *p, const dks_leased_target_t *target, uint32_t first)
{
  const dks_leased_t *leased = target->leased;
  const dks_leased_run_t *run;

  APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
    {
      double expected_us = run->expected_us > 0 ? run->expected_us : leased->mean_run_us;

      if (run->job != NULL && run->job->tasks[run->task_index].observed_run_us > 0)
        expected_us = run->job->tasks[run->task_index].observed_run_us;
      p->runs[first++] = (dks_plan_run_t){
        .room = room (run->cpu_milli, run->memory_mb, run->accelerators),
        .end_us = dks_plan_expected_end_us (run->start_sent_us,
                                            expected_us * dks_leased_target_slowness (target),
                                            dks_leased_now_us (leased)),
      };
    }
  return first;
}

/* Number of held targets, and of the runs on them; grows the arrays. */
static void
reserve (dks_leased_t *leased, dks_plan_room_t *largest)
{
  dks_leased_plan_t *p = leased->plan;
  const dks_leased_target_t *target;
  uint32_t runs = 0;

  p->plan.pool_count = 0;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (!target->held)
        continue;
      p->plan.pool_count++;
      runs += target->run_count;
      if (target->info.cpu_milli > largest->amount[0])
        *largest = total_room (target);
    }
  if (p->plan.pool_count > p->target_size)
    {
      free (p->targets);
      free (p->target_entries);
      p->target_size = 2 * p->plan.pool_count;
      p->targets = dks_alloc (p->target_size * sizeof (p->targets[0]));
      p->target_entries = dks_alloc (p->target_size * sizeof (dks_leased_target_t *));
    }
  if (runs > p->run_size)
    {
      free (p->runs);
      p->run_size = 2 * runs;
      p->runs = dks_alloc (p->run_size * sizeof (p->runs[0]));
    }
}

/* The targets that matter: without holds, those with room for the smallest task. */
static void
collect_targets (dks_leased_t *leased, uint32_t smallest_milli, bool with_holds)
{
  dks_leased_plan_t *p = leased->plan;
  dks_leased_target_t *target;
  uint32_t run_count = 0;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      uint32_t first_run = run_count;

      leased->load.counts.target_scans++;
      if (!target->held
          || (!with_holds && subtract (target->info.cpu_milli, target->cpu_used) < smallest_milli))
        continue;
      if (with_holds)
        run_count = add_runs (p, target, run_count);
      p->target_entries[count] = target;
      p->targets[count++] = (dks_plan_target_t){
        .total = total_room (target),
        .free = free_room (target),
        .runs = &p->runs[first_run],
        .run_count = run_count - first_run,
      };
    }
  p->plan.targets = p->targets;
  p->plan.target_count = count;
}

/* The target that earlier plans keep for each task. */
static void
find_holds (dks_leased_plan_t *p)
{
  for (uint32_t i = 0; i < p->plan.task_count; i++)
    {
      const char *id = p->entries[i].task->hold_target;

      for (uint32_t j = 0; id[0] != '\0' && j < p->plan.target_count; j++)
        {
          if (strcmp (p->target_entries[j]->info.id, id) == 0)
            p->tasks[i].hold = (int32_t)j;
        }
    }
}

static bool
has_holds (const dks_leased_plan_t *p)
{
  for (uint32_t i = 0; i < p->plan.task_count; i++)
    {
      if (p->entries[i].task->hold_target[0] != '\0')
        return true;
    }
  return false;
}

static double
cost (void *context, uint32_t task, uint32_t target, uint32_t planned)
{
  dks_leased_plan_t *p = context;
  entry_t *entry = &p->entries[task];

  if (isnan (entry->limit))
    entry->limit = dks_leased_targets_slowness_limit (entry->job, entry->task);
  return dks_leased_targets_cost (p->target_entries[target], entry->job, entry->task, entry->limit,
                                  p->allow_late, planned);
}

static void
keep_room (dks_leased_plan_t *p)
{
  for (uint32_t i = 0; i < p->plan.target_count; i++)
    {
      dks_leased_target_t *target = p->target_entries[i];

      target->kept = p->targets[i].held_for >= 0;
      if (!target->kept)
        continue;
      target->kept_for = (uint32_t)p->targets[i].held_for;
      target->kept_until_us = p->targets[i].held_until_us;
    }
}

static void
store_state (dks_leased_t *leased)
{
  dks_leased_plan_t *p = leased->plan;

  for (uint32_t i = 0; i < p->plan.task_count; i++)
    {
      const dks_plan_task_t *planned = &p->tasks[i];
      dks_leased_task_t *task = p->entries[i].task;
      const char *id = planned->hold >= 0 ? p->target_entries[planned->hold]->info.id : "";

      if (planned->hold >= 0 && strcmp (task->hold_target, id) != 0)
        {
          dks_metrics_increment (leased->metrics, DKS_LABELLED_PLANNED_STARTS, "room-kept", "");
          dks_emit_log (leased->r, DKS_LOG_DEBUG,
                        "event=room-kept job=%s task=%u.%u target=%s for_ms=%" PRId64
                        " overtaken=%u lapses=%u",
                        p->entries[i].job->batch->id, task->step, task->index, id,
                        (planned->hold_until_us - dks_leased_now_us (leased)) / 1000,
                        planned->overtaken, planned->lapses);
        }
      dks_strcpy (task->hold_target, sizeof (task->hold_target), id);
      task->hold_until_us = planned->hold_until_us;
      task->overtaken = planned->overtaken;
      task->lapses = planned->lapses;
    }
}

static void
start_tasks (dks_leased_t *leased)
{
  dks_leased_plan_t *p = leased->plan;

  for (uint32_t i = 0; i < p->plan.start_count; i++)
    {
      const dks_plan_task_t *planned = &p->tasks[p->plan.starts[i]];
      const entry_t *entry = &p->entries[p->plan.starts[i]];
      bool was_kept = entry->task->hold_target[0] != '\0';

      if (!dks_leased_job_start_on (entry->job, entry->index, p->target_entries[planned->target]))
        continue;
      dks_metrics_increment (leased->metrics, DKS_LABELLED_PLANNED_STARTS,
                             was_kept              ? "in-kept-room"
                             : planned->filled_gap ? "gap"
                                                   : "in-order",
                             "");
    }
}

void
dks_leased_plan_keep_nothing (dks_leased_t *leased)
{
  dks_leased_target_t *target;

  if (leased->plan == NULL)
    return;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    target->kept = false;
}

void
dks_leased_plan_place (dks_leased_t *leased, bool can_lend)
{
  dks_plan_room_t largest = { { 0 } };
  dks_leased_plan_t *p;
  uint32_t smallest_milli;
  bool with_holds;

  if (!leased->r->config.fill_gaps)
    {
      dks_leased_plan_keep_nothing (leased);
      dks_leased_plan_clear (leased);
      return;
    }
  p = plan_get (leased);
  dks_leased_plan_keep_nothing (leased);
  smallest_milli = collect_tasks (leased);
  reserve (leased, &largest);
  if (p->plan.pool_count == 0 || !dks_plan_is_worthwhile (&p->plan, &largest))
    return;
  p->plan.now_us = dks_leased_now_us (leased);
  p->plan.mean_run_us = leased->mean_run_us;
  with_holds = has_holds (p) || dks_plan_wants_holds (&p->plan);
  if (!with_holds && smallest_milli > leased->max_free_cpu_milli)
    return;
  collect_targets (leased, smallest_milli, with_holds);
  find_holds (p);
  p->allow_late = !can_lend;
  p->plan.cost = cost;
  p->plan.context = p;
  p->in_pass = true;
  dks_plan_make (&p->plan);
  start_tasks (leased);
  store_state (leased);
  keep_room (p);
}

void
dks_leased_plan_end_pass (dks_leased_t *leased)
{
  if (leased->plan != NULL)
    leased->plan->in_pass = false;
}

void
dks_leased_plan_count_start (dks_leased_t *leased, const dks_leased_task_t *task)
{
  dks_leased_plan_t *p = leased->plan;

  if (p == NULL || !p->in_pass)
    return;
  for (uint32_t i = 0; i < p->plan.task_count; i++)
    {
      if (p->entries[i].task == task)
        return;
    }
  for (uint32_t i = 0; i < p->plan.task_count; i++)
    p->entries[i].task->overtaken += p->entries[i].task->state == DKS_LEASED_TASK_WAITING;
}

bool
dks_leased_plan_may_use (const dks_leased_target_t *target, const dks_leased_job_t *job,
                         const dks_leased_task_t *task)
{
  const dks_leased_plan_t *p = target->leased->plan;

  if (!target->kept || p == NULL || p->entries[target->kept_for].task == task)
    return true;
  return dks_plan_may_use_held (&p->tasks[target->kept_for], target->kept_until_us,
                                job->batch->priority, job->expected_run_us,
                                dks_leased_now_us (target->leased));
}

uint32_t
dks_leased_plan_kept_targets (const dks_leased_t *leased, double *share)
{
  const dks_leased_target_t *target;
  uint32_t count = 0;
  double kept = 0;
  double total = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      total += target->held ? target->info.cpu_milli : 0;
      count += target->kept;
      kept += target->kept ? subtract (target->info.cpu_milli, target->cpu_used) : 0;
    }
  *share = total > 0 ? kept / total : 0;
  return count;
}
