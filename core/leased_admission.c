#include "core/leased.h"

#include "common/hash.h"

#include <inttypes.h>
#include <string.h>

enum
{
  /* A job of which nothing has started is refused after its caller's time divided by this, so that
   * the caller can still go elsewhere. */
  WAIT_BUDGET_DIVISOR = 4,
  RETRY_AFTER_MIN_MS = 1000, /* the Retry-After header has whole seconds */
  RETRY_AFTER_MAX_MS = 30000,
  /* Refused callers are spread over the time after which they may return, divided by this, or over
   * the time for which the overload has lasted: as many of them have been refused since. */
  RETRY_SPREAD_DIVISOR = 2,
};

/* Factor on the measured time in which the tasks ahead start: requests of a higher priority and run
 * times that are declared wrong make it longer, and a short queue keeps the targets as busy as a
 * long one. */
#define WAIT_MARGIN 2
/* Part of the expected run time of the job's tasks that is kept for targets of less than average
 * speed. */
#define SLOW_TARGET_MARGIN 0.2

static int64_t
min_i64 (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
max_i64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Whether A is served before B. Jobs that miss their objective come after those that can reach
 * theirs: else each of them would make the next job miss its objective as well. */
static bool
comes_before (const dks_leased_job_t *a, const dks_leased_job_t *b)
{
  if (a->batch->priority != b->batch->priority)
    return a->batch->priority < b->batch->priority;
  if (a->objective_missed != b->objective_missed)
    return b->objective_missed;
  return a->objective_missed ? a->deadline_us < b->deadline_us
                             : a->latest_start_us < b->latest_start_us;
}

void
dks_leased_admission_insert (dks_leased_job_t *job)
{
  dks_leased_t *leased = job->leased;
  dks_leased_job_t *other;

  APR_RING_FOREACH (other, &leased->jobs, dks_leased_job_t, link)
    {
      job->leased->load.counts.job_visits++;
      if (comes_before (job, other))
        break;
    }
  if (other == APR_RING_SENTINEL (&leased->jobs, dks_leased_job_t, link))
    APR_RING_INSERT_TAIL (&leased->jobs, job, dks_leased_job_t, link);
  else
    APR_RING_INSERT_BEFORE (other, job, link);
}

int64_t
dks_leased_admission_wait_us (const dks_queue_entry_t *queue, int64_t budget_us,
                              int64_t critical_path_us)
{
  int64_t wait_max_us = min_i64 (budget_us / WAIT_BUDGET_DIVISOR, budget_us - critical_path_us);

  if (queue != NULL && queue->timeout_ms > 0)
    wait_max_us = min_i64 (wait_max_us, INT64_C (1000) * queue->timeout_ms);
  return wait_max_us;
}

/* Whether the data centre is evacuated and leaders of others are present that may run its tasks. */
static bool
lends_all_tasks (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  if (!dks_leased_evacuation_covers (leased, leased->r->config.data_centre))
    return false;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->term > 0 && dks_leased_peer_is_alive (leased, peer)
          && !dks_leased_evacuation_covers (leased, peer->data_centre))
        return true;
    }
  return false;
}

/* Time in which the usable targets complete tasks whose run times add up to `run_us`. */
static int64_t
work_time_us (const dks_leased_t *leased, double run_us)
{
  uint32_t capacity = dks_leased_targets_capacity (leased);

  /* The capacity of other data centres is not known. Once jobs have had to wait, the measured rate
   * of starts tells how fast they take tasks. */
  if (lends_all_tasks (leased))
    return 0;
  if (capacity == 0)
    return INT64_C (1000) * RETRY_AFTER_MAX_MS;
  return (int64_t)(run_us / capacity);
}

static uint32_t
remote_free_tasks (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  uint32_t count = 0;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->term > 0 && dks_leased_peer_is_alive (leased, peer)
          && strcmp (peer->data_centre, leased->r->config.data_centre) != 0)
        count += peer->free_tasks;
    }
  return count;
}

/* Expected time until there is free capacity for the job after the waiting tasks of the jobs that
 * come before it; with `after_miss`, of those that may once the job has missed its objective. */
static int64_t
expected_wait_us (const dks_leased_job_t *job, bool after_miss)
{
  const dks_leased_t *leased = job->leased;
  const dks_leased_job_t *other;
  uint32_t free_tasks = dks_leased_targets_free_tasks (leased) + remote_free_tasks (leased);
  uint32_t waiting_tasks = job->waiting_count;
  /* Capacity for the job's own tasks becomes free as present runs end. */
  double run_us = job->waiting_count * dks_leased_targets_mean_run_us (leased);

  APR_RING_FOREACH (other, &leased->jobs, dks_leased_job_t, link)
    {
      job->leased->load.counts.job_visits++;
      if (other == job
          || !(after_miss ? other->batch->priority <= job->batch->priority
                          : comes_before (other, job)))
        continue;
      waiting_tasks += other->waiting_count;
      run_us += other->waiting_count * other->expected_run_us;
    }
  if (waiting_tasks <= free_tasks)
    return 0;
  return work_time_us (leased, run_us * (waiting_tasks - free_tasks) / waiting_tasks);
}

static uint32_t
count_tasks_ahead (const dks_leased_job_t *job)
{
  const dks_leased_job_t *other;
  uint32_t count = 0;

  APR_RING_FOREACH (other, &job->leased->jobs, dks_leased_job_t, link)
    {
      job->leased->load.counts.job_visits++;
      if (other != job && comes_before (other, job))
        count += other->waiting_count;
    }
  return count;
}

/* Whether targets have room for all of the job's tasks now, or for some while no task waits ahead
 * of it. Tasks ahead that fit there have been placed before. */
static bool
has_room (const dks_leased_job_t *job, uint32_t tasks_ahead)
{
  uint32_t room = dks_leased_targets_free_for (job->leased, job) + remote_free_tasks (job->leased);

  return room >= job->waiting_count || (room > 0 && tasks_ahead == 0);
}

/* Time until the last of the job's tasks has started, by the measured rate of starts. */
static int64_t
measured_wait_us (const dks_leased_job_t *job, uint32_t tasks_ahead)
{
  return (int64_t)((WAIT_MARGIN * tasks_ahead + job->waiting_count) / dks_leased_drain_rate (job)
                   + SLOW_TARGET_MARGIN * job->expected_run_us);
}

bool
dks_leased_admission_wait_is_too_long (const dks_leased_job_t *job)
{
  const dks_leased_t *leased = job->leased;
  int64_t start_us;

  /* A leader whose term has just begun does not know the free capacity of its targets yet. */
  if (!dks_leased_targets_are_synced (leased, 0))
    return false;
  if (dks_leased_drain_is_overloaded (leased))
    {
      uint32_t tasks_ahead = count_tasks_ahead (job);

      return !has_room (job, tasks_ahead)
             && dks_leased_now_us (leased) + measured_wait_us (job, tasks_ahead)
                    > job->latest_start_us;
    }
  start_us = dks_leased_now_us (leased) + expected_wait_us (job, job->objective_missed);
  if (start_us > job->latest_start_us && !job->objective_missed)
    start_us = dks_leased_now_us (leased) + expected_wait_us (job, true);
  return start_us > job->refuse_at_us;
}

void
dks_leased_admission_log_estimate (const dks_leased_job_t *job)
{
  const dks_leased_t *leased = job->leased;
  uint32_t tasks_ahead = count_tasks_ahead (job);
  bool overloaded = dks_leased_drain_is_overloaded (leased);

  dks_emit_log (
      leased->r, DKS_LOG_INFO,
      "event=estimate job=%s by=%s ahead=%u starts_per_s=%.0f wait_ms=%" PRId64 " left_ms=%" PRId64
      " room=%u remote_room=%u",
      job->batch->id, overloaded ? "measured-starts" : "expected-run-times", tasks_ahead,
      1e6 * dks_leased_drain_rate (job),
      (overloaded ? measured_wait_us (job, tasks_ahead)
                  : expected_wait_us (job, job->objective_missed))
          / 1000,
      ((overloaded ? job->latest_start_us : job->refuse_at_us) - dks_leased_now_us (leased)) / 1000,
      dks_leased_targets_free_for (leased, job), remote_free_tasks (leased));
}

bool
dks_leased_admission_is_hopeless (const dks_leased_job_t *job)
{
  return !job->started && !job->is_lent && job->objective_missed
         && dks_leased_drain_is_overloaded (job->leased);
}

uint32_t
dks_leased_admission_retry_after_ms (const dks_leased_job_t *job)
{
  const dks_leased_t *leased = job->leased;
  const dks_leased_job_t *other;
  double run_us = 0;
  int64_t wait_ms;
  int64_t spread_ms;

  APR_RING_FOREACH (other, &leased->jobs, dks_leased_job_t, link)
    {
      job->leased->load.counts.job_visits++;
      run_us += other->waiting_count * other->expected_run_us;
    }
  wait_ms = min_i64 (work_time_us (leased, run_us) / 1000, RETRY_AFTER_MAX_MS);
  if (wait_ms < RETRY_AFTER_MIN_MS)
    wait_ms = RETRY_AFTER_MIN_MS;
  spread_ms = max_i64 (wait_ms / RETRY_SPREAD_DIVISOR,
                       min_i64 (dks_leased_drain_overload_us (leased) / 1000, RETRY_AFTER_MAX_MS));
  return (uint32_t)wait_ms + (uint32_t)(dks_hash_text (job->batch->id, 0) % (uint64_t)spread_ms);
}
