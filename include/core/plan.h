/**
 * Plan of starts: which waiting task starts on which target now, and which room is kept free for
 * whom until when. Pure: the caller gives the state and carries out the result.
 *
 * Tasks are in the order of service. The first one that fits anywhere starts on its target of least
 * cost, unless no other task would fit into what it leaves over: then the task of the same priority
 * that leaves least of the target's binding resource goes in its place. Docs:
 * docs/design/placement.md.
 *
 * Bound: at most dks_plan_overtaken_max() tasks that come later in the order start before a task,
 * until it is first, or in turn, among the tasks for which room is kept (one in
 * DKS_PLAN_TARGETS_PER_HOLD targets at a time); fewer if its latest start is less than a mean run
 * time ahead. From then on it starts when the runs end that are
 * present on its target, or earlier elsewhere: of what comes later in the order, only tasks that
 * are expected to end by then start there. A hold lapses when the runs last longer than expected,
 * and another target is kept. After DKS_PLAN_LAPSES_MAX lapses nothing starts on the target before
 * the task, so that its start does not depend on estimates any more. Tasks of a higher priority are
 * outside this bound.
 */
#ifndef DKS_CORE_PLAN_H
#define DKS_CORE_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  DKS_PLAN_RESOURCES = 3,            /**< processor, memory, accelerators */
  DKS_PLAN_TASKS_MAX = 128,          /**< waiting tasks that one plan looks at */
  DKS_PLAN_OVERTAKEN_MIN = 32,       /**< least value of dks_plan_overtaken_max() */
  DKS_PLAN_OVERTAKEN_PER_TARGET = 2, /**< likewise, starts on each target */
  DKS_PLAN_TARGETS_PER_HOLD = 16,    /**< of this many targets, one is kept at a time */
  DKS_PLAN_LAPSES_MAX = 2            /**< holds of a task that lapse */
};

typedef struct
{
  uint32_t amount[DKS_PLAN_RESOURCES]; /**< 1/1000 processors, MB, accelerators */
} dks_plan_room_t;

/** A run that will free room on its target. */
typedef struct
{
  dks_plan_room_t room;
  int64_t end_us; /**< expected, see dks_plan_expected_end_us() */
} dks_plan_run_t;

typedef struct
{
  dks_plan_room_t total;
  dks_plan_room_t free; /**< reduced by the starts of the plan */
  const dks_plan_run_t *runs;
  uint32_t run_count;
  int32_t held_for;      /**< index of the task for which it is kept, -1: none */
  int64_t held_until_us; /**< time at which that task is expected to fit */
} dks_plan_target_t;

typedef struct
{
  dks_plan_room_t room;
  uint32_t priority; /**< 0 is served first */
  uint32_t group;    /**< tasks of a group differ from others in `cost` only by their number */
  int64_t latest_start_us;
  double run_us;         /**< expected on an average target */
  uint32_t overtaken;    /**< later tasks that started before it; updated */
  int32_t hold;          /**< index of the target that is kept for it, -1: none; updated */
  int64_t hold_until_us; /**< when the hold lapses; updated */
  uint32_t lapses;       /**< holds that have lapsed; updated */
  int32_t target;        /**< on which it starts now, -1: it waits on; result */
  bool filled_gap;       /**< it starts before an earlier task that would fit; result */
} dks_plan_task_t;

/** Cost of the task on the target, without regard to free room, HUGE_VAL: it must not run there.
 * `planned`: starts of the task's group there by this plan. */
typedef double (*dks_plan_cost_t) (void *context, uint32_t task, uint32_t target, uint32_t planned);

typedef struct
{
  int64_t now_us;
  dks_plan_target_t *targets; /**< those that have room, and with tasks due for a hold all */
  uint32_t target_count;
  uint32_t pool_count;    /**< targets in all */
  double mean_run_us;     /**< expected run time of tasks */
  dks_plan_task_t *tasks; /**< in the order of service, up to DKS_PLAN_TASKS_MAX */
  uint32_t task_count;
  dks_plan_cost_t cost;
  void *context;
  uint32_t starts[DKS_PLAN_TASKS_MAX]; /**< tasks that start, in this order; result */
  uint32_t start_count;
  uint32_t gap_starts; /**< of those, with `filled_gap` */
} dks_plan_t;

/** Whether the order of starts matters: a task takes more than a quarter of the binding resource of
 * the largest target, and the sizes of the waiting tasks differ by more than a tenth. */
bool dks_plan_is_worthwhile (const dks_plan_t *plan, const dks_plan_room_t *largest_target);
/** Whether some task has a hold, or is due for one: it was overtaken often, or its latest start is
 * less than a run time ahead. */
bool dks_plan_wants_holds (const dks_plan_t *plan);
/** Starts of later tasks before room is kept for a task: so many, or some on each target. */
uint32_t dks_plan_overtaken_max (uint32_t target_count);
/** Makes the plan. */
void dks_plan_make (dks_plan_t *plan);
/** Counts the start of a task that comes after those of the plan in the order of service. */
void dks_plan_count_later_start (dks_plan_t *plan);
/** Whether a task of this expected run time and priority may start on a target that is kept for
 * `holder` until `until_us`. */
bool dks_plan_may_use_held (const dks_plan_task_t *holder, int64_t until_us, uint32_t priority,
                            double run_us, int64_t now_us);
/** Expected end of a run that began at `start_us`. One that is overdue is expected to go on for
 * half of the time for which it has run: a tail that takes 7 times as long is found out so. */
int64_t dks_plan_expected_end_us (int64_t start_us, double expected_us, int64_t now_us);

#endif
