#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

enum
{
  LEND_MESSAGES_MAX = 32, /* messages that lend tasks of one job, in one pass over its tasks */
};

/* A remote target is clearly faster if its slowness is below this part of that of the best local
 * target. */
#define FASTER_SLOWNESS_FACTOR 0.95

/* Whether the peer has free capacity for the task; with `fast`, on a target that is clearly faster
 * than the best one with free capacity in this data centre. */
static bool
has_capacity_for (const dks_leased_peer_t *peer, const dks_leased_task_t *task, bool fast)
{
  if (!fast)
    return peer->free_tasks > 0;
  return task->wants_faster_target && peer->free_fast_tasks > 0
         && peer->fast_slowness < FASTER_SLOWNESS_FACTOR * task->best_slowness;
}

/* Whether the free capacity at A suits a task better than that at B. */
static bool
is_better_remote_leader (const dks_leased_peer_t *a, const dks_leased_peer_t *b, bool fast)
{
  return fast ? a->fast_slowness < b->fast_slowness : a->free_tasks > b->free_tasks;
}

static dks_leased_peer_t *
choose_remote_leader (dks_leased_t *leased, const dks_leased_task_t *task, bool fast)
{
  dks_leased_peer_t *peer;
  dks_leased_peer_t *best = NULL;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->term == 0 || !has_capacity_for (peer, task, fast)
          || !dks_leased_peer_is_alive (leased, peer)
          || strcmp (peer->data_centre, leased->r->config.data_centre) == 0)
        continue;
      if (best == NULL || is_better_remote_leader (peer, best, fast))
        best = peer;
    }
  return best;
}

bool
dks_leased_lend_has_capacity (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->term > 0 && peer->free_tasks > 0)
        return true;
    }
  return false;
}

double
dks_leased_lend_min_slowness (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  double slowness = HUGE_VAL;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->term > 0 && peer->free_fast_tasks > 0 && dks_leased_peer_is_alive (leased, peer)
          && strcmp (peer->data_centre, leased->r->config.data_centre) != 0
          && peer->fast_slowness < slowness)
        slowness = peer->fast_slowness;
    }
  return slowness;
}

static dks_batch_t *
single_step_batch (const dks_batch_t *batch, uint32_t step, dks_blob_t *spec)
{
  dks_batch_t *single = dks_batch_create (1);

  dks_strcpy (single->id, sizeof (single->id), batch->id);
  dks_strcpy (single->service, sizeof (single->service), batch->service);
  dks_strcpy (single->queue, sizeof (single->queue), batch->queue);
  single->priority = batch->priority;
  single->max_attempts = batch->max_attempts;
  single->spec = dks_blob_ref (spec);
  single->steps[0] = batch->steps[step];
  single->steps[0].after_mask = 0;
  dks_batch_validate (single);
  return single;
}

dks_msg_t *
dks_leased_lend_create_msg (const dks_leased_job_t *job, uint32_t batch_step, dks_blob_t *spec,
                            const dks_leased_peer_t *peer)
{
  const dks_leased_t *leased = job->leased;
  dks_msg_t *msg = dks_msg_create (DKS_MSG_WORK);
  int64_t objective_us = job->objective_end_us - job->step_tail_us[batch_step] - job->arrival_us;

  msg->u.work.lent_tasks = dks_alloc (job->task_count * sizeof (msg->u.work.lent_tasks[0]));
  msg->u.work.lent_runs = dks_alloc (job->task_count * sizeof (msg->u.work.lent_runs[0]));
  msg->u.work.request = job->step_lend_id[batch_step];
  msg->u.work.batch = single_step_batch (job->batch, batch_step, spec);
  msg->u.work.sent_us = dks_leased_now_us (leased);
  msg->u.work.heard_us = peer->last_sent_us;
  msg->u.work.age_us = dks_leased_now_us (leased) - job->arrival_us;
  msg->u.work.objective_us = dks_batch_limit_span_us (objective_us);
  msg->u.work.budget_us = job->deadline_us - job->arrival_us;
  msg->u.work.step = batch_step;
  msg->u.work.home_term = leased->term;
  msg->u.work.remote_term = peer->term;
  return msg;
}

static void
task_set_remote_leader (dks_leased_task_t *task, const dks_leased_peer_t *peer)
{
  dks_strcpy (task->remote_leader, sizeof (task->remote_leader), peer->id);
  task->remote_term = peer->term;
  task->remote_lost = false;
}

/* Whether the task may be lent: a run of it that is being stopped here has to end first. */
static bool
may_lend (const dks_leased_job_t *job, const dks_leased_task_t *task)
{
  return task->no_prior_run && dks_leased_task_is_due (job, task);
}

/* Lends due tasks of the step of task `first` to the peer, as many as fit there. */
static void
lend_tasks (dks_leased_job_t *job, dks_leased_peer_t *peer, uint32_t first, bool fast)
{
  dks_leased_t *leased = job->leased;
  uint32_t step = job->tasks[first].batch_step;
  dks_msg_t *msg = dks_leased_lend_create_msg (job, step, job->batch->spec, peer);
  uint32_t count = 0;

  for (uint32_t i = first; i < job->task_count; i++)
    {
      dks_leased_task_t *task = &job->tasks[i];

      if (task->batch_step != step || !may_lend (job, task) || !has_capacity_for (peer, task, fast))
        continue;
      task->run_number = dks_leased_task_next_run_number (job, task);
      msg->u.work.lent_tasks[count] = task->index;
      msg->u.work.lent_runs[count] = task->run_number;
      count++;
      peer->free_tasks -= peer->free_tasks > 0;
      peer->free_fast_tasks -= peer->free_fast_tasks > 0;
      task_set_remote_leader (task, peer);
      dks_strcpy (task->remote_data_centre, sizeof (task->remote_data_centre), peer->data_centre);
      dks_leased_task_leave_waiting (job, task, DKS_LEASED_TASK_LENT);
    }
  msg->u.work.lent_count = count;
  dks_emit_log (leased->r, DKS_LOG_DEBUG, "event=tasks-lent job=%s step=%u tasks=%u to=%s fast=%d",
                job->batch->id, msg->u.work.step, count, peer->id, fast);
  dks_emit_peer (leased->r, peer->id, msg);
}

void
dks_leased_lend_waiting (dks_leased_job_t *job, bool fast)
{
  dks_leased_t *leased = job->leased;
  uint32_t messages = 0;

  /* A job that another leader had may have runs on any target of this data centre, so its tasks are
   * not lent to further ones. In an evacuated one they would never run, so that those are lent that
   * certainly have no run. */
  if (job->resent && !dks_leased_evacuation_covers (leased, leased->r->config.data_centre))
    return;
  for (uint32_t i = 0; i < job->task_count && messages < LEND_MESSAGES_MAX; i++)
    {
      dks_leased_peer_t *peer;

      if (!may_lend (job, &job->tasks[i]) || (fast && !job->tasks[i].wants_faster_target))
        continue;
      peer = choose_remote_leader (leased, &job->tasks[i], fast);
      if (peer == NULL)
        return;
      lend_tasks (job, peer, i, fast);
      messages++;
    }
}

/* Whether the peer knows which runs the task's lost remote leader has started. A leader that the
 * lost leader superseded does not know them, although it may go on leading for a while. */
static bool
can_answer_for (const dks_leased_peer_t *peer, const dks_leased_task_t *task)
{
  return peer->term > task->remote_term
         || (peer->term == task->remote_term && strcmp (peer->id, task->remote_leader) == 0);
}

/* The present leader of the data centre of the task's lost remote leader; NULL: not known. */
static dks_leased_peer_t *
find_successor (const dks_leased_t *leased, const dks_leased_task_t *task)
{
  dks_leased_peer_t *peer;
  dks_leased_peer_t *best = NULL;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->term > 0 && dks_leased_peer_is_alive (leased, peer)
          && strcmp (peer->data_centre, task->remote_data_centre) == 0
          && can_answer_for (peer, task) && (best == NULL || peer->term > best->term))
        best = peer;
    }
  return best;
}

/* Queries the successor of the task's lost remote leader whether the task runs there. */
static void
task_query_successor (dks_leased_job_t *job, dks_leased_task_t *task)
{
  dks_leased_t *leased = job->leased;
  dks_leased_peer_t *peer = find_successor (leased, task);
  dks_msg_t *msg;

  if (peer == NULL)
    return;
  leased->remote_lost_tasks--;
  dks_emit_log (leased->r, DKS_LOG_INFO,
                "event=lend-query job=%s task=%u.%u run=%u lost=%s lost_term=%" PRIu64
                " to=%s term=%" PRIu64,
                job->batch->id, task->step, task->index, task->run_number, task->remote_leader,
                task->remote_term, peer->id, peer->term);
  task_set_remote_leader (task, peer);
  msg = dks_leased_lend_create_msg (job, task->batch_step, job->batch->spec, peer);
  msg->u.work.lent_tasks[0] = task->index;
  msg->u.work.lent_runs[0] = task->run_number;
  msg->u.work.lent_count = 1;
  msg->u.work.resent = true;
  dks_emit_peer (leased->r, peer->id, msg);
}

void
dks_leased_lend_query_successors (dks_leased_t *leased)
{
  dks_leased_job_t *job;

  APR_RING_FOREACH (job, &leased->jobs, dks_leased_job_t, link)
    {
      for (uint32_t i = 0; i < job->task_count; i++)
        {
          if (job->tasks[i].state == DKS_LEASED_TASK_LENT && job->tasks[i].remote_lost)
            task_query_successor (job, &job->tasks[i]);
        }
    }
}

void
dks_leased_lend_handle_remote_lost (dks_leased_t *leased, const char *peer)
{
  dks_leased_job_t *job;

  APR_RING_FOREACH (job, &leased->jobs, dks_leased_job_t, link)
    {
      for (uint32_t i = 0; i < job->task_count; i++)
        {
          dks_leased_task_t *task = &job->tasks[i];

          if (task->state != DKS_LEASED_TASK_LENT || task->remote_lost
              || strcmp (task->remote_leader, peer) != 0)
            continue;
          task->remote_lost = true;
          leased->remote_lost_tasks++;
        }
    }
}
