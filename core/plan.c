#include "core/plan.h"

#include <math.h>

enum
{
  /* A task is started in the order of service once its latest start is this near. */
  URGENT_US = 20000,
  HOLD_MIN_US = 5000 /* least time before a hold lapses */
};

#define LARGE_SHARE 0.25     /* of a target; several smaller tasks fill any gap */
#define SIZES_DIFFER 1.1     /* largest task over smallest one */
#define SIMILAR_SHARE 0.02   /* of a target: among tasks that fit about as well, the first goes */
#define LEFT_OVER_WEIGHT 0.1 /* in the cost of a target, by the share of it that is left over */
#define RUN_TIME_MARGIN 1.5  /* on expected run times, which are wrong by 40% */
#define OVERDUE_FACTOR 0.5   /* of the time for which an overdue run has run */

static bool
fits (const dks_plan_room_t *room, const dks_plan_room_t *free)
{
  for (int i = 0; i < DKS_PLAN_RESOURCES; i++)
    {
      if (room->amount[i] > free->amount[i])
        return false;
    }
  return true;
}

static void
take (dks_plan_room_t *free, const dks_plan_room_t *room)
{
  for (int i = 0; i < DKS_PLAN_RESOURCES; i++)
    free->amount[i] -= room->amount[i];
}

static void
release (dks_plan_room_t *free, const dks_plan_room_t *room)
{
  for (int i = 0; i < DKS_PLAN_RESOURCES; i++)
    free->amount[i] += room->amount[i];
}

/* Greatest share of the target that the task takes of any resource. */
static double
share_of (const dks_plan_room_t *room, const dks_plan_room_t *total)
{
  double share = 0;

  for (int i = 0; i < DKS_PLAN_RESOURCES; i++)
    {
      if (total->amount[i] > 0 && (double)room->amount[i] / total->amount[i] > share)
        share = (double)room->amount[i] / total->amount[i];
    }
  return share;
}

/* Share of the binding resource, that of which least is left, once the task has started there. */
static double
left_over (const dks_plan_target_t *target, const dks_plan_room_t *room)
{
  double least = 1;

  for (int i = 0; i < DKS_PLAN_RESOURCES; i++)
    {
      double left;

      if (target->total.amount[i] == 0 || room->amount[i] == 0)
        continue;
      left = ((double)target->free.amount[i] - room->amount[i]) / target->total.amount[i];
      if (left < least)
        least = left;
    }
  return least;
}

uint32_t
dks_plan_overtaken_max (uint32_t target_count)
{
  uint32_t max = DKS_PLAN_OVERTAKEN_PER_TARGET * target_count;

  return max > DKS_PLAN_OVERTAKEN_MIN ? max : DKS_PLAN_OVERTAKEN_MIN;
}

bool
dks_plan_is_worthwhile (const dks_plan_t *plan, const dks_plan_room_t *largest_target)
{
  double largest = 0;
  double smallest = HUGE_VAL;

  for (uint32_t i = 0; i < plan->task_count; i++)
    {
      double share = share_of (&plan->tasks[i].room, largest_target);

      largest = share > largest ? share : largest;
      smallest = share < smallest ? share : smallest;
    }
  return largest > LARGE_SHARE && largest > SIZES_DIFFER * smallest;
}

/* Whether room is to be kept for the task: it was overtaken so often, or at all and its latest
 * start is no further ahead than the time in which targets turn over. */
static bool
is_overdue (const dks_plan_t *plan, const dks_plan_task_t *task)
{
  return task->overtaken >= dks_plan_overtaken_max (plan->pool_count)
         || (task->overtaken > 0
             && (double)(task->latest_start_us - plan->now_us) < plan->mean_run_us);
}

bool
dks_plan_wants_holds (const dks_plan_t *plan)
{
  for (uint32_t i = 0; i < plan->task_count; i++)
    {
      if (plan->tasks[i].hold >= 0 || is_overdue (plan, &plan->tasks[i]))
        return true;
    }
  return false;
}

int64_t
dks_plan_expected_end_us (int64_t start_us, double expected_us, int64_t now_us)
{
  int64_t end_us = start_us + (int64_t)expected_us;
  int64_t overdue_end_us = now_us + (int64_t)(OVERDUE_FACTOR * (double)(now_us - start_us));

  return end_us > now_us ? end_us : overdue_end_us;
}

bool
dks_plan_may_use_held (const dks_plan_task_t *holder, int64_t until_us, uint32_t priority,
                       double run_us, int64_t now_us)
{
  if (priority < holder->priority)
    return true;
  return holder->lapses < DKS_PLAN_LAPSES_MAX
         && now_us + (int64_t)(RUN_TIME_MARGIN * run_us) <= until_us;
}

/* Starts of the task's group on the target by this plan. */
static uint32_t
count_planned (const dks_plan_t *plan, uint32_t group, uint32_t target)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->start_count; i++)
    {
      const dks_plan_task_t *started = &plan->tasks[plan->starts[i]];

      count += started->group == group && started->target == (int32_t)target;
    }
  return count;
}

/* Cost of starting the task on the target now; HUGE_VAL: it does not fit or must not run there. */
static double
start_cost (const dks_plan_t *plan, uint32_t index, uint32_t target_index)
{
  const dks_plan_task_t *task = &plan->tasks[index];
  const dks_plan_target_t *target = &plan->targets[target_index];

  if (!fits (&task->room, &target->free))
    return HUGE_VAL;
  if (target->held_for >= 0 && target->held_for != (int32_t)index
      && !dks_plan_may_use_held (&plan->tasks[target->held_for], target->held_until_us,
                                 task->priority, task->run_us, plan->now_us))
    return HUGE_VAL;
  return plan->cost (plan->context, index, target_index,
                     count_planned (plan, task->group, target_index))
         + LEFT_OVER_WEIGHT * left_over (target, &task->room);
}

static int32_t
choose_target (const dks_plan_t *plan, uint32_t index)
{
  int32_t best = -1;
  double best_cost = HUGE_VAL;

  for (uint32_t i = 0; i < plan->target_count; i++)
    {
      double cost = start_cost (plan, index, i);

      if (cost >= best_cost)
        continue;
      best = (int32_t)i;
      best_cost = cost;
    }
  return best;
}

static bool
must_go_first (const dks_plan_t *plan, const dks_plan_task_t *task)
{
  return task->overtaken >= dks_plan_overtaken_max (plan->pool_count)
         || task->latest_start_us - plan->now_us < URGENT_US;
}

/* Whether another waiting task fits behind the task on the target. */
static bool
leaves_usable_room (const dks_plan_t *plan, uint32_t index, uint32_t target_index)
{
  dks_plan_room_t left = plan->targets[target_index].free;

  take (&left, &plan->tasks[index].room);
  for (uint32_t i = 0; i < plan->task_count; i++)
    {
      if (i != index && plan->tasks[i].target < 0 && fits (&plan->tasks[i].room, &left)
          && plan->cost (plan->context, i, target_index, 0) < HUGE_VAL)
        return true;
    }
  return false;
}

/* The task that goes into the gap on the target instead of the first one that fits there. */
static uint32_t
choose_for_gap (const dks_plan_t *plan, uint32_t first, uint32_t target_index)
{
  const dks_plan_target_t *target = &plan->targets[target_index];
  uint32_t best = first;
  double best_left = left_over (target, &plan->tasks[first].room);

  if (must_go_first (plan, &plan->tasks[first]) || leaves_usable_room (plan, first, target_index))
    return first;
  for (uint32_t i = first + 1; i < plan->task_count; i++)
    {
      const dks_plan_task_t *task = &plan->tasks[i];

      if (task->target >= 0 || task->priority != plan->tasks[first].priority
          || !fits (&task->room, &target->free)
          || left_over (target, &task->room) >= best_left - SIMILAR_SHARE
          || start_cost (plan, i, target_index) == HUGE_VAL)
        continue;
      best = i;
      best_left = left_over (target, &task->room);
    }
  return best;
}

static void
end_hold (dks_plan_t *plan, dks_plan_task_t *task)
{
  if (task->hold >= 0)
    plan->targets[task->hold].held_for = -1;
  task->hold = -1;
}

static void
start (dks_plan_t *plan, uint32_t index, uint32_t target, bool fills_gap)
{
  dks_plan_task_t *task = &plan->tasks[index];

  end_hold (plan, task);
  task->target = (int32_t)target;
  task->filled_gap = fills_gap;
  plan->gap_starts += fills_gap;
  take (&plan->targets[target].free, &task->room);
  plan->starts[plan->start_count++] = index;
  for (uint32_t i = 0; i < index; i++)
    plan->tasks[i].overtaken += plan->tasks[i].target < 0;
}

/* When the task will fit on the target by the expected ends of runs; INT64_MAX: never. */
static int64_t
fit_time_us (const dks_plan_t *plan, const dks_plan_task_t *task, const dks_plan_target_t *target)
{
  dks_plan_room_t free = target->free;
  int64_t time_us = INT64_MIN;

  while (!fits (&task->room, &free))
    {
      int64_t next_us = INT64_MAX;

      for (uint32_t i = 0; i < target->run_count; i++)
        {
          if (target->runs[i].end_us > time_us && target->runs[i].end_us < next_us)
            next_us = target->runs[i].end_us;
        }
      if (next_us == INT64_MAX)
        return INT64_MAX;
      for (uint32_t i = 0; i < target->run_count; i++)
        {
          if (target->runs[i].end_us == next_us)
            release (&free, &target->runs[i].room);
        }
      time_us = next_us;
    }
  return time_us > plan->now_us ? time_us : plan->now_us;
}

/* Keeps the target for the task on which it is expected to fit first. */
static bool
hold (dks_plan_t *plan, uint32_t index)
{
  dks_plan_task_t *task = &plan->tasks[index];
  int32_t best = -1;
  int64_t best_us = INT64_MAX;

  for (uint32_t i = 0; i < plan->target_count; i++)
    {
      int64_t time_us;

      if (plan->targets[i].held_for >= 0 || !fits (&task->room, &plan->targets[i].total))
        continue;
      time_us = fit_time_us (plan, task, &plan->targets[i]);
      if (time_us >= best_us || plan->cost (plan->context, index, i, 0) == HUGE_VAL)
        continue;
      best = (int32_t)i;
      best_us = time_us;
    }
  if (best < 0)
    return false;
  task->hold = best;
  task->hold_until_us =
      plan->now_us + (int64_t)(RUN_TIME_MARGIN * (double)(best_us - plan->now_us));
  if (task->hold_until_us < plan->now_us + HOLD_MIN_US)
    task->hold_until_us = plan->now_us + HOLD_MIN_US;
  plan->targets[best].held_for = (int32_t)index;
  plan->targets[best].held_until_us = best_us;
  return true;
}

/* Puts the holds of earlier plans in force, except those that have lapsed. */
static uint32_t
renew_holds (dks_plan_t *plan)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < plan->task_count; i++)
    {
      dks_plan_task_t *task = &plan->tasks[i];
      int64_t fit_us;

      if (task->hold < 0)
        continue;
      fit_us = fit_time_us (plan, task, &plan->targets[task->hold]);
      if ((task->lapses < DKS_PLAN_LAPSES_MAX && plan->now_us >= task->hold_until_us)
          || plan->targets[task->hold].held_for >= 0 || fit_us == INT64_MAX
          || plan->cost (plan->context, i, (uint32_t)task->hold, 0) == HUGE_VAL)
        {
          task->lapses += plan->now_us >= task->hold_until_us;
          task->hold = -1;
          continue;
        }
      plan->targets[task->hold].held_for = (int32_t)i;
      plan->targets[task->hold].held_until_us =
          fit_us < task->hold_until_us ? fit_us : task->hold_until_us;
      count++;
    }
  return count;
}

static bool
is_due_for_hold (const dks_plan_t *plan, const dks_plan_task_t *task, uint32_t held)
{
  return task->target < 0 && task->hold < 0 && is_overdue (plan, task)
         && held < 1 + plan->pool_count / DKS_PLAN_TARGETS_PER_HOLD;
}

void
dks_plan_make (dks_plan_t *plan)
{
  uint32_t held;

  plan->start_count = 0;
  plan->gap_starts = 0;
  for (uint32_t i = 0; i < plan->target_count; i++)
    plan->targets[i].held_for = -1;
  for (uint32_t i = 0; i < plan->task_count; i++)
    {
      plan->tasks[i].target = -1;
      plan->tasks[i].filled_gap = false;
    }
  held = renew_holds (plan);
  for (uint32_t i = 0; i < plan->task_count;)
    {
      int32_t target = plan->tasks[i].target < 0 ? choose_target (plan, i) : -1;
      uint32_t chosen;

      if (target < 0)
        {
          /* Keeping room before later tasks are looked at is what ends the overtaking. */
          if (is_due_for_hold (plan, &plan->tasks[i], held))
            held += hold (plan, i);
          i++;
          continue;
        }
      chosen = choose_for_gap (plan, i, (uint32_t)target);
      held -= plan->tasks[chosen].hold >= 0;
      start (plan, chosen, (uint32_t)target, chosen != i);
      i += chosen == i;
    }
  /* Those that became due for one after they were looked at. */
  for (uint32_t i = 0; i < plan->task_count; i++)
    {
      if (is_due_for_hold (plan, &plan->tasks[i], held))
        held += hold (plan, i);
    }
}

void
dks_plan_count_later_start (dks_plan_t *plan)
{
  for (uint32_t i = 0; i < plan->task_count; i++)
    plan->tasks[i].overtaken += plan->tasks[i].target < 0;
}
