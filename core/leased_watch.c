#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

enum
{
  ORPHAN_US = 400000, /* an adopted run that no job claims is stopped after this */
  WATCH_INTERVAL_US = 50000,
  START_CHECK_INTERVAL_US = 20000,
  START_OVERDUE_US = 40000,  /* a start is answered within a few ms */
  SLOW_FLOOR_US = 120000,    /* a run is not looked at before this much over its estimate */
  LOOK_INTERVAL_US = 250000, /* between two looks at a target because of slow runs */
  STALLED_US = 400000,       /* a run without any progress for this long stands still */
  MIN_PERCENT = 8,           /* progress below this says little, since it comes in whole percent */
  MOVE_US = 60000,           /* a stop takes 50 ms at most, a start some more */
};

/* Parts of the caller's time after which the ends of a job's runs are projected: soon enough to
 * start anew on a faster target, and once more when the progress tells more exactly. */
static const double review_parts[] = { 0.2, 0.4 };

#define WRONG_MAX 2.2 /* an expected run time is not wrong by more than this factor */
#define RESTART_GAIN                                                                               \
  1.3 /* a run starts anew when it would take this many times as long to its end */
#define SLOW_FACTOR 2.2 /* a run is looked at after this many times its expected time */

static bool
has_better_place (dks_lrun_t *run)
{
  dks_ltask_t *task = &run->job->tasks[run->task];
  dks_ltarget_t *other;
  dks_lchoice_t choice;

  dks_strcpy (task->avoid, sizeof (task->avoid), run->target->info.id);
  dks_ltargets_measure_room (run->leased);
  other = dks_ltargets_choose (run->leased, run->job, task, &choice);
  return other != NULL && other != run->target;
}

/* Whether starting anew elsewhere would end sooner than this run. */
static bool
run_is_hopeless (const dks_lrun_t *run)
{
  int64_t ran_us = dks_lnow_us (run->leased) - run->started_us;
  double left_us;

  if (run->percent == 0)
    return dks_lnow_us (run->leased) - run->progress_us > STALLED_US;
  if (dks_lnow_us (run->leased) - run->progress_us > STALLED_US)
    return true;
  left_us = (double)ran_us * (100 - run->percent) / run->percent;
  return left_us > RESTART_GAIN * run->expected_us;
}

/* The least run time on its target by the progress that the target reported, 0: not known. */
static double
run_least_us (const dks_lrun_t *run)
{
  if (run->reported_us == 0 || run->percent < MIN_PERCENT)
    return 0;
  return (double)(run->reported_us - run->started_us) * 100 / (run->percent + 1);
}

/* Whether the run cannot end before its caller leaves. */
static bool
run_ends_too_late (const dks_lrun_t *run)
{
  return run->started_us + (int64_t)run_least_us (run) > run->job->give_up_us;
}

/* Whether the progress has to be read now: a moment of review has passed since it was last read. */
static bool
run_needs_review (const dks_lrun_t *run)
{
  int64_t budget_us = run->job->give_up_us - run->job->arrival_us;

  for (size_t i = 0; i < sizeof (review_parts) / sizeof (review_parts[0]); i++)
    {
      int64_t at_us = run->job->arrival_us + (int64_t)(review_parts[i] * (double)budget_us);

      if (dks_lnow_us (run->leased) >= at_us && run->reported_us < at_us
          && run->target->look_us < at_us)
        return true;
    }
  return false;
}

/* Whether a task would end in time if it started anew on the best target that is free. */
static bool
task_has_time (dks_ljob_t *job, const dks_ltask_t *task, double on_average_us)
{
  double elsewhere = dks_llend_fastest (job->leased);
  dks_lchoice_t choice;

  dks_ltargets_measure_room (job->leased);
  dks_ltargets_choose (job->leased, job, task, &choice);
  if (elsewhere < choice.slowness)
    choice.slowness = elsewhere;
  if (isinf (choice.slowness))
    return false;
  return dks_lnow_us (job->leased) + MOVE_US + (int64_t)(choice.slowness * on_average_us)
         < job->give_up_us;
}

/* The run goes on elsewhere, or nobody waits for its job any more. */
static void
run_handle_too_late (dks_lrun_t *run)
{
  dks_ltask_t *task = &run->job->tasks[run->task];
  double least_us = run_least_us (run);
  double on_average_us = least_us / dks_ltarget_slowness (run->target);
  bool by_target = on_average_us > WRONG_MAX * run->expected_us;
  bool move;

  /* No declaration is that wrong: it is the target that has become slow. */
  if (by_target)
    {
      dks_ltarget_note_speed (run->target, least_us / run->expected_us);
      on_average_us = run->expected_us;
    }
  else
    task->observed_us = on_average_us;
  dks_strcpy (task->avoid, sizeof (task->avoid), run->target->info.id);
  move = !run->job->lent && !task->was_moved && task_has_time (run->job, task, on_average_us);

  dks_emit_log (run->leased->r, DKS_LOG_INFO,
                "event=run-too-late task=%s target=%s slowness=%.2f percent=%u ran_ms=%" PRId64
                " expected_ms=%.0f wait_ms=%" PRId64 " left_ms=%" PRId64 " fastest=%.2f action=%s",
                run->name, run->target->info.id, run->target->slowness, run->percent,
                (run->reported_us - run->started_us) / 1000, run->expected_us / 1000,
                (run->started_us - run->job->arrival_us) / 1000,
                (run->job->give_up_us - run->reported_us) / 1000,
                dks_ltargets_fastest (run->leased), move ? "move" : "give-up");
  if (!move)
    {
      dks_ljobs_give_up (run->job, run->task);
      return;
    }
  task->was_moved = true;
  dks_metrics_count (run->leased->metrics, DKS_LABELLED_RUNS_MOVED, "too late", "");
  dks_lrun_fence (run);
}

static void
watch_run (dks_lrun_t *run)
{
  dks_ltarget_t *target = run->target;
  int64_t ran_us = dks_lnow_us (run->leased) - run->started_us;
  dks_ltask_t *task;

  if (run->job == NULL)
    {
      if (run->state != DKS_LRUN_STOPPING && run->adopted_us > 0
          && dks_lnow_us (run->leased) - run->adopted_us > ORPHAN_US)
        {
          dks_emit_log (run->leased->r, DKS_LOG_INFO, "event=orphan-stopped task=%s run=%u",
                        run->name, run->run);
          dks_lrun_stop (run);
        }
      return;
    }
  if (run->state != DKS_LRUN_RUNNING || run->adopted_us > 0)
    return;
  task = &run->job->tasks[run->task];
  if (run_ends_too_late (run))
    {
      run_handle_too_late (run);
      return;
    }
  if (run_needs_review (run))
    dks_ltarget_look (target);

  if (ran_us < (int64_t)(SLOW_FACTOR * run->expected_us) + SLOW_FLOOR_US)
    return;
  /* One that was slow elsewhere as well is long itself. */
  if (run->reported_us > run->started_us + SLOW_FLOOR_US && run_is_hopeless (run)
      && (run->percent == 0 || !task->was_moved) && has_better_place (run))
    {
      task->was_moved = true;
      dks_emit_log (run->leased->r, DKS_LOG_INFO,
                    "event=run-moved task=%s run=%u target=%s percent=%u ran_ms=%" PRId64,
                    run->name, run->run, target->info.id, run->percent, ran_us / 1000);
      if (!run->was_restarted)
        dks_ltarget_note_speed (target, (double)ran_us / (run->expected_us + 1)
                                            * (run->percent > 0 ? 100.0 / run->percent : 2));
      run->was_restarted = true;
      dks_metrics_count (run->leased->metrics, DKS_LABELLED_RUNS_MOVED,
                         run->percent == 0 ? "stalled" : "slow", "");
      if (run->percent == 0)
        dks_ltarget_eject (target, "stalled");
      dks_lrun_fence (run);
      return;
    }
  if (dks_lnow_us (run->leased) - target->look_us > LOOK_INTERVAL_US)
    dks_ltarget_look (target);
}

/* Reads the lists of targets that owe the answer to a start. When the list does not have the run,
 * its number is fenced off with a stop, and the task starts elsewhere. The start itself waits on:
 * an answer that was only slow still counts. */
static void
handle_start_timer (void *context, int64_t time_us)
{
  dks_leased_t *leased = context;
  dks_ltarget_t *target;

  dks_timer_set (leased->r->timers, &leased->start_timer, time_us + START_CHECK_INTERVAL_US);
  if (leased->term == 0)
    return;
  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    {
      const dks_lrun_t *run;

      if (!target->held || target->silent_calls > 0)
        continue;
      APR_RING_FOREACH (run, &target->runs, dks_lrun_t, link)
        {
          if (run->state != DKS_LRUN_STARTING || time_us - run->started_us < START_OVERDUE_US
              || target->look_us > run->started_us)
            continue;
          dks_ltarget_look (target);
          break;
        }
    }
}

static void
handle_watch_timer (void *context, int64_t time_us)
{
  dks_leased_t *leased = context;
  dks_ltarget_t *target;

  dks_timer_set (leased->r->timers, &leased->watch_timer, time_us + WATCH_INTERVAL_US);
  if (leased->term == 0)
    return;
  APR_RING_FOREACH (target, &leased->targets, dks_ltarget_t, link)
    {
      dks_lrun_t *run;
      dks_lrun_t *next;

      if (!target->held || target->silent_calls >= DKS_LSILENT_CALLS_MAX)
        continue;
      APR_RING_FOREACH_SAFE (run, next, &target->runs, dks_lrun_t, link)
        watch_run (run);
    }
  leased->pump_wanted = true;
}

void
dks_lwatch_init (dks_leased_t *leased)
{
  dks_timer_init (&leased->watch_timer, handle_watch_timer, leased);
  dks_timer_set (leased->r->timers, &leased->watch_timer, dks_lnow_us (leased) + WATCH_INTERVAL_US);
  dks_timer_init (&leased->start_timer, handle_start_timer, leased);
  dks_timer_set (leased->r->timers, &leased->start_timer,
                 dks_lnow_us (leased) + START_CHECK_INTERVAL_US);
}

void
dks_lwatch_clear (dks_leased_t *leased)
{
  dks_timer_cancel (leased->r->timers, &leased->watch_timer);
  dks_timer_cancel (leased->r->timers, &leased->start_timer);
}
