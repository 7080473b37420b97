/* Starts of tasks: which waiting tasks may start, and the passes that start or lend them. */
#include "core/leased.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <string.h>

enum
{
  /* Between two checks of a resent job for runs that earlier leaders may have started: each answer
   * of another leader about one of its tasks causes a pass over all jobs. */
  PRIOR_RUNS_CHECK_INTERVAL_US = 20000,
  /* A pass over the waiting tasks takes some us for each of them, and nearly every event makes one
     due. Above this many, passes are made at most once in PLACEMENT_TASK_US for each waiting task,
     and in PLACEMENT_PAUSE_MAX_US in all, so that a backlog does not take all processor time. */
  LARGE_BACKLOG_TASKS = 100,
  PLACEMENT_TASK_US = 20,
  PLACEMENT_PAUSE_MAX_US = 20000,
  /* Number of the first run that this leader starts for a task of a resent job: above the numbers
   * of runs of earlier leaders that are not known here. */
  SUCCESSOR_FIRST_RUN = 8
};

static int64_t
min_us (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

bool
dks_leased_task_is_due (const dks_leased_job_t *job, const dks_leased_task_t *task)
{
  uint32_t after = job->batch->steps[task->batch_step].after_mask;

  if (task->state != DKS_LEASED_TASK_WAITING
      || task->retry_not_before_us > dks_leased_now_us (job->leased))
    return false;
  for (uint32_t step = 0; after != 0 && !job->is_lent; step++, after >>= 1)
    {
      if ((after & 1) != 0 && job->step_unfinished[step] > 0)
        return false;
    }
  return true;
}

uint32_t
dks_leased_task_next_run_number (const dks_leased_job_t *job, const dks_leased_task_t *task)
{
  return job->resent && task->run_number == 0 ? SUCCESSOR_FIRST_RUN : task->run_number + 1;
}

void
dks_leased_task_leave_waiting (dks_leased_job_t *job, dks_leased_task_t *task,
                               dks_leased_task_state_t state)
{
  task->state = state;
  job->waiting_count--;
  job->leased->waiting_tasks--;
  job->last_start_us = dks_leased_now_us (job->leased);
  if (state != DKS_LEASED_TASK_DONE)
    dks_leased_drain_record_start (job->leased);
  if (job->started)
    return;
  dks_leased_drain_record_first_start (job);
  if (!job->is_lent)
    dks_metrics_observe (job->leased->metrics, DKS_HISTOGRAM_QUEUE_WAIT, job->batch->queue,
                         dks_leased_now_us (job->leased) - job->arrival_us);
  job->started = true;
  dks_leased_job_arm_timer (job);
}

/* Assigns a run that an earlier leader started to its task. */
static void
task_adopt_run (dks_leased_job_t *job, uint32_t index, dks_leased_run_t *run)
{
  dks_leased_task_t *task = &job->tasks[index];

  dks_leased_run_set_resources (run, &job->batch->steps[task->batch_step]);
  run->job = job;
  run->released_us = 0;
  run->task_index = index;
  run->expected_us = dks_leased_estimate_run_us (job->leased, job->batch, task->batch_step);
  task->current_run = run;
  task->run_number = run->number;
  dks_leased_task_leave_waiting (job, task, DKS_LEASED_TASK_PLACED);
  /* The call under way was sent when no job had the run, and extends no lease. */
  dks_leased_target_poll (run->target);
  dks_emit_log (job->leased->r, DKS_LOG_INFO, "event=run-adopted task=%s run=%u", run->task_name,
                run->number);
}

/* Whether the run is one of a lent task whose home leader was superseded by the sender of `job`. */
static bool
is_lent_by_earlier_leader (const dks_leased_run_t *run, const dks_leased_job_t *job)
{
  const dks_leased_t *leased = job->leased;
  const dks_leased_peer_t *earlier;
  const dks_leased_peer_t *later = dks_leased_peer_find (leased, job->origin);

  if (run->job == NULL || !run->job->is_lent || strcmp (run->job->origin, job->origin) == 0)
    return false;
  earlier = dks_leased_peer_find (leased, run->job->origin);
  return earlier != NULL && later != NULL && earlier->highest_term < later->highest_term
         && strcmp (earlier->data_centre, later->data_centre) == 0;
}

/* Has the run of a lent task go on for the successor of its home leader, which asks for it. */
static void
task_take_over_run (dks_leased_job_t *job, uint32_t index, dks_leased_run_t *run)
{
  dks_leased_task_t *task = &job->tasks[index];
  dks_leased_job_t *earlier = run->job;

  DKS_INVARIANT (earlier != NULL);
  dks_emit_log (job->leased->r, DKS_LOG_INFO, "event=run-taken-over task=%s run=%u from=%s to=%s",
                run->task_name, run->number, earlier->origin, job->origin);
  /* The earlier job stays until its sender cancels it or is lost, or its time is over. */
  earlier->tasks[run->task_index].state = DKS_LEASED_TASK_DONE;
  earlier->tasks[run->task_index].current_run = NULL;
  earlier->done_count++;
  run->job = job;
  run->task_index = index;
  task->current_run = run;
  task->run_number = run->number;
  dks_leased_task_leave_waiting (job, task, DKS_LEASED_TASK_PLACED);
}

/* Tells the successor of a home leader that the task does not run here. */
static void
task_answer_no_run (dks_leased_job_t *job, dks_leased_task_t *task)
{
  dks_leased_task_leave_waiting (job, task, DKS_LEASED_TASK_DONE);
  job->done_count++;
  dks_leased_job_send_lent_done (job->leased, job->origin, job->request_id, task->index,
                                 task->lent_run_number, DKS_LENT_INTERRUPTED);
}

/* Whether a run that an earlier sender or leader started may be active for the task. Adopts the run
 * if a target of this leader is running it. */
static bool
task_has_prior_run (dks_leased_job_t *job, uint32_t index)
{
  dks_leased_task_t *task = &job->tasks[index];
  char name[DKS_TASK_NAME_SIZE];
  dks_leased_run_t *run;

  job->leased->prior_run_checks++;
  dks_batch_task_name (job->batch->id, task->step, task->index, name);
  run = dks_leased_run_find (job->leased, name);
  if (run != NULL && run->job == NULL && run->state == DKS_LEASED_RUN_RUNNING)
    task_adopt_run (job, index, run);
  else if (run != NULL && job->is_lent && job->resent && is_lent_by_earlier_leader (run, job))
    task_take_over_run (job, index, run);
  if (run != NULL)
    return true; /* a run that is being stopped has to end first */
  if (!job->resent)
    return false;
  if (dks_leased_targets_may_be_unknown (job->leased))
    return true;
  if (!job->is_lent)
    return !dks_leased_prior_runs_exclude (job, task);
  /* The run lists of all targets have been read without the run, and a start of an earlier leader
   * that arrives now is rejected for its fencing token. */
  task_answer_no_run (job, task);
  return true;
}

/* Whether the task may start, as far as runs of earlier leaders are concerned. */
static bool
task_is_free_of_prior_runs (dks_leased_job_t *job, uint32_t index)
{
  dks_leased_t *leased = job->leased;
  dks_leased_task_t *task = &job->tasks[index];

  if (!task->no_prior_run && task_has_prior_run (job, index))
    return false;
  if (!task->no_prior_run && job->resent)
    dks_emit_log (leased->r, DKS_LOG_DEBUG,
                  "event=no-prior-run job=%s task=%u.%u waited_ms=%" PRId64 " term_age_ms=%" PRId64,
                  job->batch->id, task->step, task->index,
                  (dks_leased_now_us (leased) - job->received_us) / 1000,
                  (dks_leased_now_us (leased) - leased->term_start_us) / 1000);
  task->no_prior_run = true;
  return true;
}

static void
task_start (dks_leased_job_t *job, uint32_t index, dks_leased_target_t *target)
{
  dks_leased_task_t *task = &job->tasks[index];

  /* The run number of a lent task was chosen by its home leader. */
  if (!job->is_lent)
    task->run_number = dks_leased_task_next_run_number (job, task);
  dks_leased_run_start (job->leased, target, job, index);
  dks_leased_targets_update_free_cpu (job->leased);
  dks_leased_task_leave_waiting (job, task, DKS_LEASED_TASK_PLACED);
}

bool
dks_leased_job_start_on (dks_leased_job_t *job, uint32_t index, dks_leased_target_t *target)
{
  if (!task_is_free_of_prior_runs (job, index) || !dks_leased_targets_can_start (target, job, index)
      || !dks_leased_target_ensure_clock (target))
    return false;
  task_start (job, index, target);
  return true;
}

/* With `in_time_only`, a task that would end late on every target here keeps waiting, to be lent to
 * another data centre; a task of a resent job is placed all the same. */
static bool
task_place (dks_leased_job_t *job, uint32_t index, bool in_time_only)
{
  dks_leased_t *leased = job->leased;
  dks_leased_task_t *task = &job->tasks[index];
  dks_leased_target_t *target;
  dks_leased_choice_t choice;

  if (!task_is_free_of_prior_runs (job, index))
    return true;
  target = dks_leased_targets_choose (leased, job, task, &choice);
  task->wants_faster_target = !choice.in_time;
  task->best_slowness = choice.slowness;
  task->awaits_clock = false;

  if (target == NULL || (in_time_only && task->wants_faster_target && !job->resent))
    return false;
  if (!dks_leased_target_ensure_clock (target))
    {
      task->awaits_clock = true;
      dks_leased_target_reserve (target, &job->batch->steps[task->batch_step]);
      return true;
    }
  task_start (job, index, target);
  dks_leased_plan_count_start (leased, task);
  return true;
}

bool
dks_leased_job_may_start_first_time (dks_leased_job_t *job)
{
  dks_leased_t *leased = job->leased;

  if (dks_leased_prior_jobs_are_awaited (leased))
    {
      leased->prior_check_due = true;
      return false;
    }
  if (dks_leased_prior_jobs_contain (leased, job->batch->id))
    {
      job->resent = true;
      job->started = true;
      dks_leased_job_arm_timer (job);
    }
  return true;
}

/* Starts due tasks for which targets of this leader have free capacity; with `can_lend`, which says
 * that other leaders reported free capacity, lends tasks to leaders of other data centres. */
static void
job_place (dks_leased_job_t *job, bool can_lend)
{
  bool some_waiting = false;

  if (!job->started && !job->is_lent && !dks_leased_job_may_start_first_time (job))
    return;
  job->next_prior_check_us = dks_leased_now_us (job->leased) + PRIOR_RUNS_CHECK_INTERVAL_US;
  if (job->resent && !dks_leased_targets_are_synced (job->leased, job->received_us))
    return;
  if (job->resent && job->is_lent
      && !dks_leased_targets_confirm_term (job->leased, job->received_us))
    return;
  for (uint32_t i = 0; i < job->task_count && job->waiting_count > 0; i++)
    {
      if (dks_leased_task_is_due (job, &job->tasks[i]) && !task_place (job, i, !job->is_lent))
        some_waiting = true;
    }
  if (!some_waiting || job->is_lent)
    return;
  if (can_lend)
    dks_leased_lend_waiting (job, true);
  for (uint32_t i = 0; i < job->task_count && job->waiting_count > 0; i++)
    {
      if (job->tasks[i].wants_faster_target && dks_leased_task_is_due (job, &job->tasks[i]))
        task_place (job, i, false);
    }
  if (can_lend && job->waiting_count > 0)
    dks_leased_lend_waiting (job, false);
}

/* Refuses the lent tasks that found no room, so that the home leader lends them elsewhere. A resent
 * task, which was lent before to an earlier leader, waits until the run lists of the targets have
 * been read. */
static void
refuse_unplaced_lent (dks_leased_job_t *job)
{
  for (uint32_t i = 0; i < job->task_count && !job->resent; i++)
    {
      dks_leased_task_t *task = &job->tasks[i];

      if (task->state != DKS_LEASED_TASK_WAITING || task->awaits_clock)
        continue;
      dks_leased_task_leave_waiting (job, task, DKS_LEASED_TASK_DONE);
      job->done_count++;
      dks_leased_job_send_lent_done (job->leased, job->origin, job->request_id, task->index,
                                     task->lent_run_number, DKS_LENT_REFUSED);
    }
}

/* Refuses the jobs that found no room and would only end late, before they cost anything. */
static void
refuse_hopeless (dks_leased_t *leased)
{
  dks_leased_job_t *job;
  dks_leased_job_t *next;

  APR_RING_FOREACH_SAFE (job, next, &leased->jobs, dks_leased_job_t, link)
    {
      leased->load.counts.job_visits++;
      if (dks_leased_admission_is_hopeless (job))
        dks_leased_job_refuse_by_estimate (job, "the objective cannot be met any more");
    }
}

void
dks_leased_starts_place_waiting (dks_leased_t *leased)
{
  bool can_lend = dks_leased_lend_has_capacity (leased);
  dks_leased_job_t *job;
  dks_leased_job_t *next;

  if (leased->waiting_tasks > LARGE_BACKLOG_TASKS
      && dks_leased_now_us (leased) < leased->next_placement_us)
    return; /* it stays due, and checks on runs cause an event every 20 ms */
  leased->placement_due = false;
  dks_leased_prior_jobs_send_due (leased);
  leased->prior_check_due = leased->prior_jobs_due;
  leased->next_placement_us =
      dks_leased_now_us (leased)
      + min_us ((int64_t)PLACEMENT_TASK_US * leased->waiting_tasks, PLACEMENT_PAUSE_MAX_US);
  leased->load.counts.passes++;
  if (leased->term > 0 && leased->remote_lost_tasks > 0)
    dks_leased_lend_query_successors (leased);
  if (leased->term == 0 || leased->waiting_tasks == 0)
    {
      dks_leased_plan_keep_nothing (leased);
      return;
    }
  dks_leased_targets_update_free_cpu (leased);
  dks_leased_plan_place (leased, can_lend);
  APR_RING_FOREACH_SAFE (job, next, &leased->jobs, dks_leased_job_t, link)
    {
      leased->load.counts.job_visits++;
      if (job->resent && dks_leased_now_us (leased) < job->next_prior_check_us)
        {
          leased->prior_check_due = true;
          continue;
        }
      if (job->waiting_count == 0
          || (job->prior_runs_checked && !can_lend
              && job->min_cpu_milli > leased->max_free_cpu_milli))
        continue;
      job->prior_runs_checked = !job->resent && !job->is_lent;
      job_place (job, can_lend);
      if (job->is_lent)
        refuse_unplaced_lent (job);
      if (job->is_lent && job->done_count == job->task_count)
        dks_leased_job_free (job);
    }
  dks_leased_plan_end_pass (leased);
  dks_leased_targets_end_reservations (leased);
  refuse_hopeless (leased);
}

void
dks_leased_starts_place_lent (dks_leased_job_t *job)
{
  dks_leased_t *leased = job->leased;

  dks_leased_targets_update_free_cpu (leased);
  job_place (job, false);
  dks_leased_targets_end_reservations (leased);
  refuse_unplaced_lent (job);
  if (job->done_count == job->task_count)
    dks_leased_job_free (job);
  else
    dks_leased_job_arm_timer (job);
}
