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
  REVIEW_MIN_US = 250000,    /* the progress of shorter runs is not read: each look is a call */
};

/* Parts of a run's expected time after which its end is projected: soon enough to start anew on a
 * faster target, and once more when the progress tells more exactly. */
static const double review_parts[] = { 0.33, 0.67 };

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
  double observed_us = run->job->tasks[run->task].observed_us;
  double left_us;

  if (run->percent == 0)
    return dks_lnow_us (run->leased) - run->progress_us > STALLED_US;
  if (dks_lnow_us (run->leased) - run->progress_us > STALLED_US)
    return true;
  left_us = (double)ran_us * (100 - run->percent) / run->percent;
  return left_us > RESTART_GAIN * (observed_us > 0 ? observed_us : run->expected_us);
}

/* The least run time on its target by the progress that the target reported, 0: not known. */
static double
run_least_us (const dks_lrun_t *run)
{
  if (run->reported_us == 0 || run->percent < MIN_PERCENT)
    return 0;
  return (double)(run->reported_us - run->started_us) * 100 / (run->percent + 1);
}

/* Whether the progress has to be read now: a moment of review has passed since it was last read. */
static bool
run_needs_review (const dks_lrun_t *run)
{
  double expected_us = run->expected_us * dks_ltarget_slowness (run->target);

  for (size_t i = 0; i < sizeof (review_parts) / sizeof (review_parts[0]); i++)
    {
      int64_t after_us = (int64_t)(review_parts[i] * expected_us);
      int64_t at_us = run->started_us + (after_us > REVIEW_MIN_US ? after_us : REVIEW_MIN_US);

      if (dks_lnow_us (run->leased) >= at_us && run->reported_us < at_us
          && run->target->look_us < at_us)
        return true;
    }
  return false;
}

/* Time that the task takes when it starts anew on the best target that is free; HUGE_VAL: none. */
static double
task_anew_us (dks_ljob_t *job, const dks_ltask_t *task, double on_average_us)
{
  double elsewhere = dks_llend_fastest (job->leased);
  dks_lchoice_t choice;

  dks_ltargets_measure_room (job->leased);
  dks_ltargets_choose (job->leased, job, task, &choice);
  if (elsewhere < choice.slowness)
    choice.slowness = elsewhere;
  return MOVE_US + choice.slowness * on_average_us;
}

/* Run time of the run's task on an average target, by its progress. */
static double
run_observe (dks_lrun_t *run, double least_us)
{
  const dks_batch_step_t *step = &run->job->batch->steps[run->job->tasks[run->task].batch_step];
  double declared_us = 1000.0 * step->estimate_ms;
  double likely_us = declared_us > run->expected_us ? declared_us : run->expected_us;
  double on_average_us = least_us / dks_ltarget_slowness (run->target);

  if (on_average_us <= WRONG_MAX * likely_us)
    {
      run->job->tasks[run->task].observed_us = on_average_us;
      return on_average_us;
    }
  /* No declaration is that wrong: it is the target that has become slow. */
  if (!run->noted_slow)
    dks_ltarget_note_speed (run->target, least_us / run->expected_us);
  run->noted_slow = true;
  return run->expected_us;
}

/* Projects the end of a run by its latest progress. One that misses the objective goes on elsewhere
 * when it ends clearly sooner there; the job is given up when its caller will have left. Returns
 * whether the run has been stopped, with its job or without. */
static bool
run_review (dks_lrun_t *run)
{
  dks_ljob_t *job = run->job;
  dks_ltask_t *task = &job->tasks[run->task];
  int64_t now_us = dks_lnow_us (run->leased);
  double least_us = run_least_us (run);
  int64_t end_us = run->started_us + (int64_t)least_us;
  bool is_lost = end_us > job->give_up_us;
  double anew_us;
  bool move;

  if (least_us <= 0 || (!is_lost && end_us <= job->objective_end_us))
    return false;
  dks_strcpy (task->avoid, sizeof (task->avoid), run->target->info.id);
  anew_us = task_anew_us (job, task, run_observe (run, least_us));
  move = !job->lent && !task->was_moved && (double)now_us + anew_us < (double)job->give_up_us
         && (is_lost || RESTART_GAIN * anew_us < (double)(end_us - now_us));
  if (!move && !is_lost)
    return false;

  dks_emit_log (run->leased->r, DKS_LOG_INFO,
                "event=run-too-late task=%s target=%s slowness=%.2f percent=%u ran_ms=%" PRId64
                " expected_ms=%.0f wait_ms=%" PRId64 " left_ms=%" PRId64 " fastest=%.2f action=%s",
                run->name, run->target->info.id, run->target->slowness, run->percent,
                (run->reported_us - run->started_us) / 1000, run->expected_us / 1000,
                (run->started_us - job->arrival_us) / 1000,
                (job->give_up_us - run->reported_us) / 1000, dks_ltargets_fastest (run->leased),
                move ? "move" : "give-up");
  if (!move)
    {
      dks_ljobs_give_up (job, run->task);
      return true;
    }
  task->was_moved = true;
  dks_metrics_increment (run->leased->metrics, DKS_LABELLED_RUNS_MOVED, "too late", "");
  dks_lrun_fence (run);
  return true;
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
  if (run_review (run))
    return;
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
      if (!run->noted_slow)
        dks_ltarget_note_speed (target, (double)ran_us / (run->expected_us + 1)
                                            * (run->percent > 0 ? 100.0 / run->percent : 2));
      run->noted_slow = true;
      dks_metrics_increment (run->leased->metrics, DKS_LABELLED_RUNS_MOVED,
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
