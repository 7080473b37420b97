#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

enum
{
  ORPHAN_GRACE_US = 250000, /* an adopted run that no job has claimed is stopped after this */
  WATCH_INTERVAL_US = 50000,
  START_CHECK_INTERVAL_US = 20000,
  /* A start without an answer for this long makes the target's run lists be read. Answers usually
     take a few ms. */
  START_OVERDUE_US = 40000,
  /* A run does not count as slow before this much more than SLOW_FACTOR times its expected time. */
  SLOW_MIN_EXCESS_US = 120000,
  SLOW_POLL_INTERVAL_US = 250000, /* between two polls of a target with slow runs */
  STALL_TIMEOUT_US = 400000,      /* a run without progress for this long has stalled */
  PROGRESS_MIN_PERCENT = 8, /* reported in whole percent, so lower progress is too coarse to use */
  MOVE_COST_US = 60000,     /* to move a run: a stop takes 50 ms at most, a start some more */
  REVIEW_MIN_AGE_US = 250000, /* progress is not read before this age: each poll is a call */
};

/* Fractions of a run's expected time after which its end is projected: early enough for a restart
 * on a faster target, and again when its progress allows a more exact projection. */
static const double review_fractions[] = { 0.33, 0.67 };

#define ESTIMATE_ERROR_MAX 2.2 /* largest error of an expected run time, as a factor */
/* Remaining time of a run over the time of a restart, above which the run is restarted. */
#define RESTART_MIN_GAIN 1.3
#define SLOW_FACTOR 2.2 /* a run is slow after this many times its expected time */

/* Whether a target other than the run's has free capacity for its task and is the best choice.
 * Makes the task avoid the target of the run. */
static bool
has_better_target (dks_leased_run_t *run)
{
  dks_leased_task_t *task = &run->job->tasks[run->task_index];
  dks_leased_target_t *other;
  dks_leased_choice_t choice;

  dks_strcpy (task->avoid_target, sizeof (task->avoid_target), run->target->info.id);
  dks_leased_targets_update_free_cpu (run->leased);
  other = dks_leased_targets_choose (run->leased, run->job, task, &choice);
  return other != NULL && other != run->target;
}

/* Whether the run has stalled, or a restart on another target would clearly end sooner. */
static bool
run_should_restart (const dks_leased_run_t *run)
{
  int64_t elapsed_us = dks_leased_now_us (run->leased) - run->start_sent_us;
  double observed_us = run->job->tasks[run->task_index].observed_run_us;
  double remaining_us;

  if (run->progress_percent == 0)
    return dks_leased_now_us (run->leased) - run->last_progress_us > STALL_TIMEOUT_US;
  if (dks_leased_now_us (run->leased) - run->last_progress_us > STALL_TIMEOUT_US)
    return true;
  remaining_us = (double)elapsed_us * (100 - run->progress_percent) / run->progress_percent;
  return remaining_us > RESTART_MIN_GAIN * (observed_us > 0 ? observed_us : run->expected_us);
}

/* Least total run time on its target that the reported progress allows, 0: not known. */
static double
run_min_duration_us (const dks_leased_run_t *run)
{
  if (run->last_report_us == 0 || run->progress_percent < PROGRESS_MIN_PERCENT)
    return 0;
  return (double)(run->last_report_us - run->start_sent_us) * 100 / (run->progress_percent + 1);
}

/* Whether the progress has to be read now: a time of review has passed since the latest report and
 * the latest poll. */
static bool
run_needs_review (const dks_leased_run_t *run)
{
  double expected_us = run->expected_us * dks_leased_target_slowness (run->target);

  for (size_t i = 0; i < sizeof (review_fractions) / sizeof (review_fractions[0]); i++)
    {
      int64_t after_us = (int64_t)(review_fractions[i] * expected_us);
      int64_t at_us =
          run->start_sent_us + (after_us > REVIEW_MIN_AGE_US ? after_us : REVIEW_MIN_AGE_US);

      if (dks_leased_now_us (run->leased) >= at_us && run->last_report_us < at_us
          && run->target->poll_sent_us < at_us)
        return true;
    }
  return false;
}

/* Time that a restart of the task takes on the best target with free capacity, local or remote;
 * HUGE_VAL: there is none. */
static double
task_restart_us (dks_leased_job_t *job, const dks_leased_task_t *task, double average_target_us)
{
  double remote_slowness = dks_leased_lend_min_slowness (job->leased);
  dks_leased_choice_t choice;

  dks_leased_targets_update_free_cpu (job->leased);
  dks_leased_targets_choose (job->leased, job, task, &choice);
  if (remote_slowness < choice.slowness)
    choice.slowness = remote_slowness;
  return MOVE_COST_US + choice.slowness * average_target_us;
}

/* Records and returns the run time of the task on an average target, projected from its progress.
 * When that is implausible, records the target as slow and returns the expected run time. */
static double
run_record_observed_us (dks_leased_run_t *run, double min_duration_us)
{
  const dks_batch_step_t *step =
      &run->job->batch->steps[run->job->tasks[run->task_index].batch_step];
  double declared_us = 1000.0 * step->estimate_ms;
  double reference_us = declared_us > run->expected_us ? declared_us : run->expected_us;
  double average_target_us = min_duration_us / dks_leased_target_slowness (run->target);

  if (average_target_us <= ESTIMATE_ERROR_MAX * reference_us)
    {
      run->job->tasks[run->task_index].observed_run_us = average_target_us;
      return average_target_us;
    }
  /* No declared run time is wrong by that much, so the target has become slow. */
  if (!run->slowness_recorded)
    dks_leased_target_record_slowness (run->target, min_duration_us / run->expected_us);
  run->slowness_recorded = true;
  return run->expected_us;
}

/* Projects the end of a run from its latest progress. A task whose run will miss the objective is
 * moved to another target when it will clearly end sooner there; the job is given up when the run
 * will end only after its caller has left. Returns whether one of the two was done. */
static bool
run_review (dks_leased_run_t *run)
{
  dks_leased_job_t *job = run->job;
  dks_leased_task_t *task = &job->tasks[run->task_index];
  int64_t now_us = dks_leased_now_us (run->leased);
  double min_duration_us = run_min_duration_us (run);
  int64_t end_us = run->start_sent_us + (int64_t)min_duration_us;
  bool misses_deadline = end_us > job->deadline_us;
  double restart_us;
  bool should_move;

  if (min_duration_us <= 0 || (!misses_deadline && end_us <= job->objective_end_us))
    return false;
  dks_strcpy (task->avoid_target, sizeof (task->avoid_target), run->target->info.id);
  restart_us = task_restart_us (job, task, run_record_observed_us (run, min_duration_us));
  should_move = !job->is_lent && !task->was_moved
                && (double)now_us + restart_us < (double)job->deadline_us
                && (misses_deadline || RESTART_MIN_GAIN * restart_us < (double)(end_us - now_us));
  if (!should_move && !misses_deadline)
    return false;

  dks_emit_log (run->leased->r, DKS_LOG_INFO,
                "event=run-too-late task=%s target=%s slowness=%.2f percent=%u ran_ms=%" PRId64
                " expected_ms=%.0f wait_ms=%" PRId64 " left_ms=%" PRId64 " fastest=%.2f action=%s",
                run->task_name, run->target->info.id, run->target->slowness, run->progress_percent,
                (run->last_report_us - run->start_sent_us) / 1000, run->expected_us / 1000,
                (run->start_sent_us - job->arrival_us) / 1000,
                (job->deadline_us - run->last_report_us) / 1000,
                dks_leased_targets_min_slowness (run->leased), should_move ? "move" : "give-up");
  if (!should_move)
    {
      dks_leased_jobs_give_up (job, run->task_index);
      return true;
    }
  task->was_moved = true;
  dks_metrics_increment (run->leased->metrics, DKS_LABELLED_RUNS_MOVED, "too late", "");
  dks_leased_run_stop_for_retry (run);
  return true;
}

static void
run_check (dks_leased_run_t *run)
{
  dks_leased_target_t *target = run->target;
  int64_t elapsed_us = dks_leased_now_us (run->leased) - run->start_sent_us;
  dks_leased_task_t *task;

  dks_leased_run_retry_stop (run);
  if (run->job == NULL)
    {
      if (run->state != DKS_LEASED_RUN_STOPPING && run->adopted_us > 0
          && dks_leased_now_us (run->leased) - run->adopted_us > ORPHAN_GRACE_US)
        {
          dks_emit_log (run->leased->r, DKS_LOG_INFO, "event=orphan-stopped task=%s run=%u",
                        run->task_name, run->number);
          dks_leased_run_stop (run);
        }
      return;
    }
  if (run->state != DKS_LEASED_RUN_RUNNING || run->adopted_us > 0)
    return;
  task = &run->job->tasks[run->task_index];
  if (run_review (run))
    return;
  if (run_needs_review (run))
    dks_leased_target_poll (target);

  if (elapsed_us < (int64_t)(SLOW_FACTOR * run->expected_us) + SLOW_MIN_EXCESS_US)
    return;
  /* A task that was moved and is slow again has a long run time itself. It is moved again only when
   * it has made no progress. */
  if (run->last_report_us > run->start_sent_us + SLOW_MIN_EXCESS_US && run_should_restart (run)
      && (run->progress_percent == 0 || !task->was_moved) && has_better_target (run))
    {
      task->was_moved = true;
      dks_emit_log (run->leased->r, DKS_LOG_INFO,
                    "event=run-moved task=%s run=%u target=%s percent=%u ran_ms=%" PRId64,
                    run->task_name, run->number, target->info.id, run->progress_percent,
                    elapsed_us / 1000);
      if (!run->slowness_recorded)
        dks_leased_target_record_slowness (
            target, (double)elapsed_us / (run->expected_us + 1)
                        * (run->progress_percent > 0 ? 100.0 / run->progress_percent : 2));
      run->slowness_recorded = true;
      dks_metrics_increment (run->leased->metrics, DKS_LABELLED_RUNS_MOVED,
                             run->progress_percent == 0 ? "stalled" : "slow", "");
      if (run->progress_percent == 0)
        dks_leased_target_eject (target, "stalled");
      dks_leased_run_stop_for_retry (run);
      return;
    }
  if (dks_leased_now_us (run->leased) - target->poll_sent_us > SLOW_POLL_INTERVAL_US)
    dks_leased_target_poll (target);
}

/* Reads the run lists of targets that have not answered a start in time. When the list lacks the
 * run, a stop keeps its run number from being started later, and the task starts on another target.
 * The call of the start stays open: an answer that was only slow still counts. */
static void
handle_start_check_timer (void *context, int64_t time_us)
{
  dks_leased_t *leased = context;
  dks_leased_target_t *target;

  dks_timer_set (leased->r->timers, &leased->start_check_timer, time_us + START_CHECK_INTERVAL_US);
  if (leased->term == 0)
    return;
  leased->placement_due = leased->placement_due || leased->prior_check_due;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      const dks_leased_run_t *run;

      if (!target->held || target->unanswered_calls > 0)
        continue;
      APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
        {
          if (run->state != DKS_LEASED_RUN_STARTING
              || time_us - run->start_sent_us < START_OVERDUE_US
              || target->poll_sent_us > run->start_sent_us)
            continue;
          dks_leased_target_poll (target);
          break;
        }
    }
}

static void
handle_watch_timer (void *context, int64_t time_us)
{
  dks_leased_t *leased = context;
  dks_leased_target_t *target;

  dks_timer_set (leased->r->timers, &leased->run_watch_timer, time_us + WATCH_INTERVAL_US);
  if (leased->term == 0)
    return;
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      dks_leased_run_t *run;
      dks_leased_run_t *next;

      if (!target->held || target->unanswered_calls >= DKS_LEASED_UNANSWERED_CALLS_MAX)
        continue;
      APR_RING_FOREACH_SAFE (run, next, &target->runs, dks_leased_run_t, link)
        run_check (run);
    }
  leased->placement_due = true;
}

void
dks_leased_watch_init (dks_leased_t *leased)
{
  dks_timer_init (&leased->run_watch_timer, handle_watch_timer, leased);
  dks_timer_set (leased->r->timers, &leased->run_watch_timer,
                 dks_leased_now_us (leased) + WATCH_INTERVAL_US);
  dks_timer_init (&leased->start_check_timer, handle_start_check_timer, leased);
  dks_timer_set (leased->r->timers, &leased->start_check_timer,
                 dks_leased_now_us (leased) + START_CHECK_INTERVAL_US);
}

void
dks_leased_watch_clear (dks_leased_t *leased)
{
  dks_timer_cancel (leased->r->timers, &leased->run_watch_timer);
  dks_timer_cancel (leased->r->timers, &leased->start_check_timer);
}
