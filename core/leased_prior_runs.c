/* Runs of a job that earlier leaders of this data centre may have lent to other data centres. */
#include "core/leased.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A question to the leader of another data centre: do tasks of one step of a job run there? */
struct dks_leased_inquiry_t
{
  APR_RING_ENTRY (dks_leased_inquiry_t) link; /* in the job's list */
  uint64_t request;                           /* id of the question in messages */
  uint32_t step;                              /* index of the step in the job */
  dks_leased_data_centre_t *data_centre;
  char leader[DKS_NAME_SIZE]; /* member id of the leader that was asked, empty: none yet */
  uint64_t term;              /* of that leader */
  uint64_t peers_generation;  /* state of the peers in which the leader was last looked up */
  int64_t next_look_up_us;    /* of the leader, while none is known */
  bool excluded[];            /* by index of the task in its step: it does not run there */
};

/* Latest time at which an instance was known to lead the data centre; 0: never. */
static int64_t
last_leading_us (const dks_leased_t *leased, const char *data_centre)
{
  const dks_leased_peer_t *peer;
  int64_t latest_us = 0;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (strcmp (peer->data_centre, data_centre) == 0 && peer->last_leading_us > latest_us)
        latest_us = peer->last_leading_us;
    }
  return latest_us;
}

/* Whether all runs that an earlier leader had lent to the data centre have certainly ended without
 * an answer from there. A leader there that cannot be asked stops them when it loses the earlier
 * leader, which is fenced by its own targets at the latest; else they end with their leases. */
static bool
leases_have_expired (const dks_leased_job_t *job, const char *data_centre)
{
  const dks_leased_t *leased = job->leased;
  int64_t latest_us = last_leading_us (leased, data_centre);

  if (latest_us < leased->term_start_us)
    latest_us = leased->term_start_us;
  /* The earlier leader may not have known of this one until the sender of the job did. */
  if (latest_us < job->received_us)
    latest_us = job->received_us;
  return dks_leased_now_us (leased) - latest_us >= DKS_LEASED_ORPHAN_LIFETIME_MAX_US;
}

const dks_leased_peer_t *
dks_leased_data_centre_leader (const dks_leased_t *leased, const char *data_centre)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (strcmp (peer->data_centre, data_centre) == 0 && dks_leased_peer_is_alive (leased, peer)
          && dks_leased_peer_is_leader (leased, peer))
        return peer;
    }
  return NULL;
}

static void
add_inquiry (dks_leased_job_t *job, uint32_t step, dks_leased_data_centre_t *data_centre)
{
  uint32_t count = job->batch->steps[step].count;
  dks_leased_inquiry_t *inquiry =
      dks_alloc (sizeof (*inquiry) + count * sizeof (inquiry->excluded[0]));

  inquiry->request = dks_next_id (job->leased->r);
  inquiry->step = step;
  inquiry->data_centre = data_centre;
  APR_RING_INSERT_TAIL (&job->inquiries, inquiry, dks_leased_inquiry_t, link);
}

/* Adds an inquiry for each other data centre that is known. */
static void
add_inquiries (dks_leased_job_t *job, uint32_t step)
{
  dks_leased_data_centre_t *data_centre;

  APR_RING_FOREACH (data_centre, &job->leased->data_centres, dks_leased_data_centre_t, link)
    {
      if (!data_centre->is_gone)
        add_inquiry (job, step, data_centre);
    }
  job->inquired_steps |= UINT64_C (1) << step;
}

/* Asks the leader for all tasks of the step that wait here and are not excluded there. */
static void
send_inquiry (dks_leased_job_t *job, dks_leased_inquiry_t *inquiry, const dks_leased_peer_t *leader)
{
  dks_leased_t *leased = job->leased;
  dks_blob_t *no_spec = dks_blob_create ("", 0); /* a question starts nothing */
  dks_msg_t *msg = dks_leased_lend_create_msg (job, inquiry->step, no_spec, leader);
  uint32_t count = 0;

  for (uint32_t i = 0; i < job->task_count; i++)
    {
      const dks_leased_task_t *task = &job->tasks[i];

      if (task->step != inquiry->step || task->state != DKS_LEASED_TASK_WAITING
          || task->no_prior_run || inquiry->excluded[task->index])
        continue;
      msg->u.work.lent_tasks[count] = task->index;
      msg->u.work.lent_runs[count] = task->run_number;
      count++;
    }
  msg->u.work.lent_count = count;
  msg->u.work.request = inquiry->request;
  msg->u.work.resent = true;
  dks_strcpy (inquiry->leader, sizeof (inquiry->leader), leader->id);
  inquiry->term = leader->term;
  dks_emit_log (leased->r, DKS_LOG_INFO,
                "event=prior-runs-query job=%s step=%u tasks=%u to=%s term=%" PRIu64
                " term_age_ms=%" PRId64,
                job->batch->id, inquiry->step, count, leader->id, leader->term,
                (dks_leased_now_us (leased) - leased->term_start_us) / 1000);
  dks_emit_peer (leased->r, leader->id, msg);
  dks_blob_unref (no_spec);
}

/* Whether it is certain that the task does not run in the data centre of the inquiry. */
static bool
inquiry_excludes (dks_leased_job_t *job, dks_leased_inquiry_t *inquiry,
                  const dks_leased_task_t *task)
{
  const dks_leased_t *leased = job->leased;
  dks_leased_prior_jobs_answer_t stated;
  const dks_leased_peer_t *leader;

  if (inquiry->excluded[task->index])
    return true;
  stated = dks_leased_prior_jobs_ask (job, inquiry->data_centre);
  if (stated == DKS_LEASED_PRIOR_JOBS_ABSENT)
    {
      memset (inquiry->excluded, true, job->batch->steps[inquiry->step].count);
      return true;
    }
  if (inquiry->leader[0] != '\0' && inquiry->peers_generation == leased->peers_generation)
    return false;
  if (inquiry->leader[0] == '\0' && dks_leased_now_us (leased) < inquiry->next_look_up_us)
    return false;
  leader = dks_leased_data_centre_leader (leased, inquiry->data_centre->name);
  if (leader == NULL && leases_have_expired (job, inquiry->data_centre->name))
    {
      memset (inquiry->excluded, true, job->batch->steps[inquiry->step].count);
      return true;
    }
  inquiry->peers_generation = leased->peers_generation;
  inquiry->next_look_up_us = dks_leased_now_us (leased) + DKS_LEASED_LOOK_UP_INTERVAL_US;
  if (leader == NULL)
    {
      inquiry->leader[0] = '\0';
      return false;
    }
  /* Its statement is on the way, and tells which jobs it has to be asked about. */
  if (stated == DKS_LEASED_PRIOR_JOBS_NOT_STATED && leader->states_prior_jobs)
    {
      inquiry->leader[0] = '\0';
      return false;
    }
  if (leader->term != inquiry->term || inquiry->leader[0] == '\0'
      || strcmp (leader->id, inquiry->leader) != 0)
    send_inquiry (job, inquiry, leader);
  return false;
}

bool
dks_leased_prior_runs_exclude (dks_leased_job_t *job, const dks_leased_task_t *task)
{
  dks_leased_inquiry_t *inquiry;
  bool excluded = true;

  job->prior_lends_excluded = job->prior_lends_excluded || dks_leased_prior_jobs_exclude_all (job);
  if (job->prior_lends_excluded)
    return true;
  if ((job->inquired_steps >> task->step & 1) == 0)
    add_inquiries (job, task->step);
  APR_RING_FOREACH (inquiry, &job->inquiries, dks_leased_inquiry_t, link)
    {
      if (inquiry->step == task->step)
        excluded = inquiry_excludes (job, inquiry, task) && excluded;
    }
  return excluded;
}

dks_leased_task_t *
dks_leased_prior_runs_handle_answer (dks_leased_job_t *job, const char *peer, const dks_msg_t *msg)
{
  dks_leased_inquiry_t *inquiry;

  APR_RING_FOREACH (inquiry, &job->inquiries, dks_leased_inquiry_t, link)
    {
      if (inquiry->request != msg->u.lent_done.request || strcmp (inquiry->leader, peer) != 0)
        continue;
      for (uint32_t i = 0; i < job->task_count; i++)
        {
          dks_leased_task_t *task = &job->tasks[i];

          if (task->step != inquiry->step || task->index != msg->u.lent_done.index)
            continue;
          /* A refusal says only that nothing was started for the question itself. */
          if (msg->u.lent_done.result == DKS_LENT_INTERRUPTED
              || msg->u.lent_done.result == DKS_LENT_FAILED)
            inquiry->excluded[task->index] = true;
          return task->state == DKS_LEASED_TASK_WAITING ? task : NULL;
        }
    }
  return NULL;
}

void
dks_leased_prior_runs_handle_peer_lost (dks_leased_t *leased, const char *peer)
{
  dks_leased_job_t *job;
  dks_leased_inquiry_t *inquiry;

  APR_RING_FOREACH (job, &leased->jobs, dks_leased_job_t, link)
    {
      APR_RING_FOREACH (inquiry, &job->inquiries, dks_leased_inquiry_t, link)
        {
          if (strcmp (inquiry->leader, peer) == 0)
            inquiry->leader[0] = '\0';
        }
    }
}

void
dks_leased_prior_runs_cancel (dks_leased_job_t *job)
{
  dks_leased_inquiry_t *inquiry;

  APR_RING_FOREACH (inquiry, &job->inquiries, dks_leased_inquiry_t, link)
    {
      dks_msg_t *msg;

      if (inquiry->leader[0] == '\0')
        continue;
      msg = dks_msg_create (DKS_MSG_WORK_CANCEL);
      msg->u.work_cancel.request = inquiry->request;
      dks_emit_peer (job->leased->r, inquiry->leader, msg);
    }
}

void
dks_leased_prior_runs_init (dks_leased_job_t *job)
{
  APR_RING_INIT (&job->inquiries, dks_leased_inquiry_t, link);
}

void
dks_leased_prior_runs_clear (dks_leased_job_t *job)
{
  while (!APR_RING_EMPTY (&job->inquiries, dks_leased_inquiry_t, link))
    {
      dks_leased_inquiry_t *inquiry = APR_RING_FIRST (&job->inquiries);

      APR_RING_REMOVE (inquiry, link);
      free (inquiry);
    }
}
