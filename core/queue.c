#include "core/queue.h"

#include "common/alloc.h"

#include <stdlib.h>

dks_queue_t *
dks_queue_create (void)
{
  dks_queue_t *queue = dks_alloc (sizeof (*queue));

  apr_pool_create (&queue->pool, NULL);
  queue->by_name = apr_hash_make (queue->pool);
  APR_RING_INIT (&queue->active, dks_team_t, link);
  return queue;
}

void
dks_queue_destroy (dks_queue_t *queue)
{
  if (queue == NULL)
    return;
  for (apr_hash_index_t *i = apr_hash_first (queue->pool, queue->by_name); i != NULL;
       i = apr_hash_next (i))
    free (apr_hash_this_val (i));
  apr_pool_destroy (queue->pool);
  free (queue);
}

dks_team_t *
dks_queue_team (dks_queue_t *queue, const char *name)
{
  dks_team_t *team = apr_hash_get (queue->by_name, name, APR_HASH_KEY_STRING);

  if (team != NULL)
    return team;
  team = dks_alloc (sizeof (*team));
  dks_strcpy (team->name, sizeof (team->name), name);
  team->weight = 1;
  team->quota = UINT32_MAX;
  APR_RING_INIT (&team->jobs, dks_job_t, link);
  apr_hash_set (queue->by_name, team->name, APR_HASH_KEY_STRING, team);
  return team;
}

static uint32_t
job_cost (const dks_job_t *job)
{
  return job->submission->task_count;
}

static void
team_activate (dks_queue_t *queue, dks_team_t *team)
{
  if (team->is_active)
    return;
  /* A team that was idle gets no credit for the time without work. */
  if (team->virtual_time < queue->virtual_time)
    team->virtual_time = queue->virtual_time;
  APR_RING_INSERT_TAIL (&queue->active, team, dks_team_t, link);
  team->is_active = true;
}

static void
count_queued_job (dks_queue_t *queue, dks_job_t *job)
{
  job->team->queued_tasks += job_cost (job);
  queue->queued_tasks += job_cost (job);
  queue->queued_jobs++;
}

void
dks_queue_push (dks_queue_t *queue, dks_job_t *job)
{
  team_activate (queue, job->team);
  APR_RING_INSERT_TAIL (&job->team->jobs, job, dks_job_t, link);
  count_queued_job (queue, job);
}

void
dks_queue_push_front (dks_queue_t *queue, dks_job_t *job)
{
  team_activate (queue, job->team);
  APR_RING_INSERT_HEAD (&job->team->jobs, job, dks_job_t, link);
  job->team->virtual_time -= (double)job_cost (job) / job->team->weight;
  count_queued_job (queue, job);
}

void
dks_queue_remove (dks_queue_t *queue, dks_job_t *job)
{
  dks_team_t *team = job->team;

  APR_RING_REMOVE (job, link);
  APR_RING_ELEM_INIT (job, link);
  team->queued_tasks -= job_cost (job);
  queue->queued_tasks -= job_cost (job);
  queue->queued_jobs--;
  if (APR_RING_EMPTY (&team->jobs, dks_job_t, link))
    {
      APR_RING_REMOVE (team, link);
      team->is_active = false;
    }
}

dks_job_t *
dks_queue_pop (dks_queue_t *queue)
{
  dks_team_t *team;
  dks_team_t *best = NULL;
  dks_job_t *job;

  APR_RING_FOREACH (team, &queue->active, dks_team_t, link)
    {
      uint32_t cost = job_cost (APR_RING_FIRST (&team->jobs));

      /* A job larger than the whole quota runs alone rather than never. */
      if (team->in_use > 0 && (uint64_t)team->in_use + cost > team->quota)
        continue;
      if (best == NULL || team->virtual_time < best->virtual_time)
        best = team;
    }
  if (best == NULL)
    return NULL;
  job = APR_RING_FIRST (&best->jobs);
  queue->virtual_time = best->virtual_time;
  best->virtual_time += (double)job_cost (job) / best->weight;
  dks_queue_remove (queue, job);
  return job;
}

int64_t
dks_queue_oldest_arrival_ms (const dks_queue_t *queue)
{
  const dks_team_t *team;
  int64_t oldest_ms = INT64_MAX;

  APR_RING_FOREACH (team, &queue->active, dks_team_t, link)
    {
      const dks_job_t *job = APR_RING_FIRST (&team->jobs);
      if (job->arrived_ms < oldest_ms)
        oldest_ms = job->arrived_ms;
    }
  return oldest_ms;
}
