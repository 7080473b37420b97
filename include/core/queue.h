/**
 * Fair queue between teams: start-time fair queueing. Each team's jobs wait in order of arrival.
 * The team with the smallest virtual start time is served next, and its virtual time advances by
 * the number of tasks divided by its weight.
 */
#ifndef DKS_CORE_QUEUE_H
#define DKS_CORE_QUEUE_H

#include "core/job.h"

#include <apr_hash.h>

struct dks_team_t
{
  APR_RING_ENTRY (dks_team_t) link; /**< in the list of teams with queued jobs */
  char name[DKS_NAME_SIZE];
  double virtual_time; /**< start tag of the next job */
  uint32_t weight;
  uint32_t quota;  /**< largest number of tasks claimed and unfinished at the same time */
  uint32_t in_use; /**< number of tasks claimed and unfinished */
  uint32_t queued_tasks;
  bool is_active; /**< has queued jobs, and is in the list of such teams */
  dks_job_ring_t jobs;
};

typedef struct
{
  apr_pool_t *pool;
  apr_hash_t *by_name;
  APR_RING_HEAD (dks_team_ring_t, dks_team_t) active; /**< teams with queued jobs */
  double virtual_time;
  uint32_t queued_jobs;
  uint32_t queued_tasks;
} dks_queue_t;

dks_queue_t *dks_queue_create (void);
/** The queue must be empty. */
void dks_queue_destroy (dks_queue_t *queue);
/** Team with this name; created on first use. */
dks_team_t *dks_queue_team (dks_queue_t *queue, const char *name);
/** Appends a job to its team's queue (`job->team` is set). */
void dks_queue_push (dks_queue_t *queue, dks_job_t *job);
/** Returns a job to the front of its team's queue. The team is not charged for it again. */
void dks_queue_push_front (dks_queue_t *queue, dks_job_t *job);
/** Removes a queued job. */
void dks_queue_remove (dks_queue_t *queue, dks_job_t *job);
/** Takes the next job of a team that is below its quota, or NULL. */
dks_job_t *dks_queue_pop (dks_queue_t *queue);
/** Arrival time of the oldest queued job in Unix ms, or INT64_MAX when there is none. */
int64_t dks_queue_oldest_arrival_ms (const dks_queue_t *queue);

#endif
