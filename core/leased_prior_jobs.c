/* What the leader of each data centre states once to each leader of another one: the jobs that have
 * runs on its targets. It says for all jobs of an earlier leader at once where they do not run. */
#include "core/leased.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* From the sending of a status that a remote leader has handled to the end of its refusal of what
   * an earlier leader lends, less an allowance for the drift of clocks. */
  STATEMENT_LEASE_US = DKS_LEASED_ORPHAN_LIFETIME_MAX_US / 100 * 95,
  /* Longest time from an election for which first submissions wait for the statements of the other
   * leaders, which take a call to a target and a round trip. */
  STATEMENTS_WAIT_US = 100000
};

uint64_t
dks_leased_prior_jobs_hash (const char *id)
{
  return dks_hash_bytes (id, strcspn (id, "."), 0);
}

static int
compare_hashes (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}

/* The remote leader */

void
dks_leased_prior_jobs_request (dks_leased_t *leased, dks_leased_peer_t *peer)
{
  if (dks_leased_peer_is_local (leased, peer))
    return;
  peer->prior_jobs_due_us = dks_leased_now_us (leased);
  leased->prior_jobs_due = true;
  leased->placement_due = true;
}

void
dks_leased_prior_jobs_request_all (dks_leased_t *leased)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->term > 0)
        dks_leased_prior_jobs_request (leased, peer);
    }
}

static uint32_t
count_runs (const dks_leased_t *leased)
{
  const dks_leased_target_t *target;
  uint32_t count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    count += target->run_count;
  return count;
}

/* Hashes of the jobs that have runs on targets of this leader, without repetitions. */
static uint64_t *
list_jobs (const dks_leased_t *leased, uint32_t *job_count)
{
  uint64_t *jobs = dks_alloc ((count_runs (leased) + 1) * sizeof (jobs[0]));
  const dks_leased_target_t *target;
  uint32_t count = 0;
  uint32_t unique_count = 0;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      const dks_leased_run_t *run;

      APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
        jobs[count++] = dks_leased_prior_jobs_hash (run->task_name);
    }
  qsort (jobs, count, sizeof (jobs[0]), compare_hashes);
  for (uint32_t i = 0; i < count; i++)
    {
      if (i == 0 || jobs[i] != jobs[i - 1])
        jobs[unique_count++] = jobs[i];
    }
  *job_count = unique_count;
  return jobs;
}

static bool
is_due (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return peer->prior_jobs_due_us > 0 && peer->term > 0 && dks_leased_peer_is_alive (leased, peer);
}

/* Whether this leader can state its jobs to a leader that it has known since then: the lists have
 * been read under this term, and a target has confirmed the term after the new leader became known.
 * From then on this leader refuses what an earlier one lends, and no later leader has started
 * anything. */
static bool
can_state_jobs (dks_leased_t *leased, int64_t since_us)
{
  return !dks_leased_targets_may_be_unknown (leased)
         && dks_leased_targets_are_synced (leased, since_us)
         && dks_leased_targets_confirm_term (leased, since_us);
}

static void
state_jobs (dks_leased_t *leased, dks_leased_peer_t *peer)
{
  uint32_t count;
  uint64_t *jobs = list_jobs (leased, &count);

  dks_emit_log (leased->r, DKS_LOG_DEBUG, "event=prior-jobs-stated to=%s term=%" PRIu64 " jobs=%u",
                peer->id, peer->term, count);
  dks_leased_members_send_prior_jobs (leased, peer, jobs, count);
  peer->prior_jobs_due_us = 0;
}

void
dks_leased_prior_jobs_send_due (dks_leased_t *leased)
{
  dks_leased_peer_t *peer;
  int64_t checked_us = 0;
  bool can_state = false;

  if (!leased->prior_jobs_due || leased->term == 0)
    return;
  leased->prior_jobs_due = false;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (!is_due (leased, peer))
        continue;
      /* All that were known at the election are due since then. */
      if (peer->prior_jobs_due_us != checked_us)
        {
          checked_us = peer->prior_jobs_due_us;
          can_state = can_state_jobs (leased, checked_us);
        }
      if (can_state)
        state_jobs (leased, peer);
      else
        leased->prior_jobs_due = true;
    }
}

/* The home leader */

dks_leased_data_centre_t *
dks_leased_data_centre_add (dks_leased_t *leased, const char *name)
{
  dks_leased_data_centre_t *data_centre;

  if (strcmp (name, leased->r->config.data_centre) == 0)
    return NULL;
  APR_RING_FOREACH (data_centre, &leased->data_centres, dks_leased_data_centre_t, link)
    {
      if (strcmp (data_centre->name, name) != 0)
        continue;
      data_centre->is_gone = false;
      return data_centre;
    }
  data_centre = dks_alloc (sizeof (*data_centre));
  dks_strcpy (data_centre->name, sizeof (data_centre->name), name);
  APR_RING_INSERT_TAIL (&leased->data_centres, data_centre, dks_leased_data_centre_t, link);
  return data_centre;
}

void
dks_leased_data_centre_check (dks_leased_t *leased, const char *name)
{
  dks_leased_data_centre_t *data_centre;
  const dks_leased_peer_t *peer;
  const dks_leased_target_t *target;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (strcmp (peer->data_centre, name) == 0)
        return;
    }
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (strcmp (target->info.data_centre, name) == 0)
        return;
    }
  APR_RING_FOREACH (data_centre, &leased->data_centres, dks_leased_data_centre_t, link)
    {
      if (strcmp (data_centre->name, name) == 0)
        data_centre->is_gone = true;
    }
}

void
dks_leased_prior_jobs_handle_up (dks_leased_t *leased, const char *peer)
{
  dks_leased_data_centre_t *data_centre;

  APR_RING_FOREACH (data_centre, &leased->data_centres, dks_leased_data_centre_t, link)
    {
      if (strcmp (data_centre->leader, peer) != 0)
        continue;
      /* The peer may have forgotten this leader meanwhile, and have taken tasks of an earlier one.
       * The jobs stay: a first submission of one of them still counts as resent. */
      data_centre->leader[0] = '\0';
      data_centre->leader_is_present = false;
    }
}

/* Stores the jobs that the status of the leader `peer` states. */
static void
store_jobs (dks_leased_data_centre_t *data_centre, const dks_leased_peer_t *peer,
            const dks_msg_t *msg)
{
  uint32_t count = msg->u.leased_status.prior_job_count;

  dks_strcpy (data_centre->leader, sizeof (data_centre->leader), peer->id);
  data_centre->leader_term = peer->term;
  data_centre->home_term = msg->u.leased_status.prior_jobs_term;
  free (data_centre->jobs);
  data_centre->job_count = count;
  data_centre->jobs = dks_alloc ((count + 1) * sizeof (data_centre->jobs[0]));
  if (count > 0)
    memcpy (data_centre->jobs, msg->u.leased_status.prior_jobs,
            count * sizeof (data_centre->jobs[0]));
  qsort (data_centre->jobs, count, sizeof (data_centre->jobs[0]), compare_hashes);
}

void
dks_leased_prior_jobs_handle_status (dks_leased_t *leased, const dks_leased_peer_t *peer,
                                     const dks_msg_t *msg)
{
  int64_t valid_until_us = msg->u.leased_status.heard_us + STATEMENT_LEASE_US;
  dks_leased_data_centre_t *data_centre;

  if (leased->term == 0 || peer->term == 0 || dks_leased_peer_is_local (leased, peer))
    return;
  data_centre = dks_leased_data_centre_add (leased, peer->data_centre);
  if (msg->u.leased_status.prior_jobs_term == leased->term)
    {
      /* One that was superseded states nothing about its successor's runs. */
      if (data_centre->home_term == leased->term && data_centre->leader_term > peer->term)
        return;
      store_jobs (data_centre, peer, msg);
      data_centre->valid_until_us = valid_until_us;
      leased->peers_generation++;
      leased->placement_due = true;
    }
  /* A lease that has lapsed is not renewed: an earlier leader may have lent tasks meanwhile. */
  else if (data_centre->home_term == leased->term && data_centre->leader_term == peer->term
           && strcmp (data_centre->leader, peer->id) == 0
           && dks_leased_now_us (leased) <= data_centre->valid_until_us
           && valid_until_us > data_centre->valid_until_us)
    data_centre->valid_until_us = valid_until_us;
}

static bool
has_job (const dks_leased_data_centre_t *data_centre, uint64_t hash)
{
  return data_centre->job_count > 0
         && bsearch (&hash, data_centre->jobs, data_centre->job_count,
                     sizeof (data_centre->jobs[0]), compare_hashes)
                != NULL;
}

/* Whether the present leader of the data centre has stated its jobs under this term. */
static bool
is_stated (dks_leased_data_centre_t *data_centre, const dks_leased_t *leased)
{
  const dks_leased_peer_t *leader;

  if (data_centre->home_term != leased->term)
    return false;
  /* A leader that has lost a rival counts as the present one some time after that. */
  if (data_centre->peers_generation != leased->peers_generation
      || (!data_centre->leader_is_present
          && dks_leased_now_us (leased) >= data_centre->next_look_up_us))
    {
      leader = dks_leased_data_centre_leader (leased, data_centre->name);
      data_centre->leader_is_present = leader != NULL && leader->term == data_centre->leader_term
                                       && strcmp (leader->id, data_centre->leader) == 0;
      data_centre->peers_generation = leased->peers_generation;
      data_centre->next_look_up_us = dks_leased_now_us (leased) + DKS_LEASED_LOOK_UP_INTERVAL_US;
    }
  return data_centre->leader_is_present;
}

dks_leased_prior_jobs_answer_t
dks_leased_prior_jobs_ask (const dks_leased_job_t *job, dks_leased_data_centre_t *data_centre)
{
  if (!job->sent_to_earlier_terms)
    return DKS_LEASED_PRIOR_JOBS_NOT_COVERED;
  if (!is_stated (data_centre, job->leased))
    return DKS_LEASED_PRIOR_JOBS_NOT_STATED;
  if (dks_leased_now_us (job->leased) > data_centre->valid_until_us)
    return DKS_LEASED_PRIOR_JOBS_NOT_COVERED;
  return has_job (data_centre, job->id_hash) ? DKS_LEASED_PRIOR_JOBS_RUNNING
                                             : DKS_LEASED_PRIOR_JOBS_ABSENT;
}

bool
dks_leased_prior_jobs_exclude_all (const dks_leased_job_t *job)
{
  dks_leased_data_centre_t *data_centre;

  APR_RING_FOREACH (data_centre, &job->leased->data_centres, dks_leased_data_centre_t, link)
    {
      if (!data_centre->is_gone
          && dks_leased_prior_jobs_ask (job, data_centre) != DKS_LEASED_PRIOR_JOBS_ABSENT)
        return false;
    }
  return job->sent_to_earlier_terms;
}

bool
dks_leased_prior_jobs_are_awaited (const dks_leased_t *leased)
{
  dks_leased_data_centre_t *data_centre;

  if (dks_leased_now_us (leased) - leased->term_start_us >= STATEMENTS_WAIT_US)
    return false;
  APR_RING_FOREACH (data_centre, &leased->data_centres, dks_leased_data_centre_t, link)
    {
      const dks_leased_peer_t *leader;

      if (data_centre->is_gone || is_stated (data_centre, leased))
        continue;
      leader = dks_leased_data_centre_leader (leased, data_centre->name);
      if (leader != NULL && leader->states_prior_jobs)
        return true;
    }
  return false;
}

bool
dks_leased_prior_jobs_contain (const dks_leased_t *leased, const char *id)
{
  const dks_leased_data_centre_t *data_centre;
  uint64_t hash = dks_leased_prior_jobs_hash (id);

  APR_RING_FOREACH (data_centre, &leased->data_centres, dks_leased_data_centre_t, link)
    {
      if (data_centre->home_term == leased->term && has_job (data_centre, hash))
        return true;
    }
  return false;
}

void
dks_leased_prior_jobs_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->data_centres, dks_leased_data_centre_t, link);
}

void
dks_leased_prior_jobs_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->data_centres, dks_leased_data_centre_t, link))
    {
      dks_leased_data_centre_t *data_centre = APR_RING_FIRST (&leased->data_centres);

      APR_RING_REMOVE (data_centre, link);
      free (data_centre->jobs);
      free (data_centre);
    }
}
