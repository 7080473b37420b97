#include "core/leased.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Crashes after which a task is not started again. A single one may be the fault of the target,
     or of another task on it. */
  CRASHES_MAX = 2,
  TASKS_MAX = 1024,       /* tasks that are remembered */
  RETENTION_US = 60000000 /* callers wait less, and submit a job again within this time */
};

/* A task under which targets have crashed. */
struct dks_leased_crash_t
{
  APR_RING_ENTRY (dks_leased_crash_t) link; /* in the order of the latest crash */
  char task_name[DKS_TASK_NAME_SIZE];
  uint32_t crashes;
  int64_t last_crash_us;
};

static void
crash_free (dks_leased_t *leased, dks_leased_crash_t *crash)
{
  apr_hash_set (leased->crashes_by_task_name, crash->task_name, APR_HASH_KEY_STRING, NULL);
  APR_RING_REMOVE (crash, link);
  leased->crash_count--;
  free (crash);
}

static dks_leased_crash_t *
crash_find (const dks_leased_t *leased, const char *task_name)
{
  return apr_hash_get (leased->crashes_by_task_name, task_name, APR_HASH_KEY_STRING);
}

/* Sets the number of crashes of the task, which never falls, and ends its job when there were too
 * many. */
static const dks_leased_crash_t *
crash_put (dks_leased_t *leased, const char *task_name, uint32_t crashes)
{
  int64_t now_us = leased->r->now.mono_us;
  dks_leased_crash_t *crash = crash_find (leased, task_name);

  while (leased->crash_count > 0
         && (leased->crash_count >= TASKS_MAX
             || APR_RING_FIRST (&leased->crashes)->last_crash_us + RETENTION_US < now_us))
    {
      if (APR_RING_FIRST (&leased->crashes) == crash)
        break;
      crash_free (leased, APR_RING_FIRST (&leased->crashes));
    }
  if (crash == NULL)
    {
      crash = dks_alloc (sizeof (*crash));
      dks_strcpy (crash->task_name, sizeof (crash->task_name), task_name);
      apr_hash_set (leased->crashes_by_task_name, crash->task_name, APR_HASH_KEY_STRING, crash);
      leased->crash_count++;
    }
  else
    APR_RING_REMOVE (crash, link);
  APR_RING_INSERT_TAIL (&leased->crashes, crash, dks_leased_crash_t, link);
  crash->last_crash_us = now_us;
  if (crashes > crash->crashes)
    crash->crashes = crashes;
  if (crash->crashes >= CRASHES_MAX)
    dks_leased_jobs_handle_crashes (leased, task_name);
  return crash;
}

/* Messages */

/* Message with room for `count` tasks. */
static dks_msg_t *
create_msg (uint32_t count)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_SPEEDS);

  msg->u.speeds.targets = dks_alloc (sizeof (msg->u.speeds.targets[0]));
  msg->u.speeds.queues = dks_alloc (sizeof (msg->u.speeds.queues[0]));
  msg->u.speeds.crashed_tasks = dks_alloc ((count + 1) * sizeof (msg->u.speeds.crashed_tasks[0]));
  return msg;
}

static void
add_to_msg (dks_msg_t *msg, const dks_leased_crash_t *crash)
{
  dks_crashed_task_t *to = &msg->u.speeds.crashed_tasks[msg->u.speeds.crashed_task_count++];

  dks_strcpy (to->task_name, sizeof (to->task_name), crash->task_name);
  to->crashes = crash->crashes;
}

void
dks_leased_crashes_send_all (dks_leased_t *leased, const char *peer)
{
  dks_leased_crash_t *crash;
  dks_msg_t *msg;

  if (leased->term == 0 || leased->crash_count == 0)
    return;
  msg = create_msg (leased->crash_count);
  APR_RING_FOREACH (crash, &leased->crashes, dks_leased_crash_t, link)
    add_to_msg (msg, crash);
  dks_emit_peer (leased->r, peer, msg);
}

void
dks_leased_crashes_handle_msg (dks_leased_t *leased, const dks_msg_t *msg)
{
  for (uint32_t i = 0; i < msg->u.speeds.crashed_task_count; i++)
    crash_put (leased, msg->u.speeds.crashed_tasks[i].task_name,
               msg->u.speeds.crashed_tasks[i].crashes);
}

/* Tells those that may start the task next: the instances of the data centre, one of which succeeds
 * this leader, and the other leaders. */
static void
send_to_starters (dks_leased_t *leased, dks_msg_t *msg)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if ((peer->term > 0 || dks_leased_peer_is_local (leased, peer))
          && dks_leased_peer_is_alive (leased, peer))
        dks_emit_peer (leased->r, peer->id, dks_msg_ref (msg));
    }
}

/* Crashes */

static bool
is_in_list (const dks_leased_run_t *run, const dks_run_lists_t *lists)
{
  for (size_t i = 0; lists != NULL && i < lists->running_count; i++)
    {
      if (lists->running[i].run == run->number
          && strcmp (lists->running[i].task, run->task_name) == 0)
        return true;
    }
  return false;
}

void
dks_leased_crashes_record (dks_leased_target_t *target, const dks_run_lists_t *new_lists)
{
  dks_leased_t *leased = target->leased;
  dks_leased_run_t *run;
  dks_msg_t *msg;

  /* A target that leaves ends what still runs there. */
  if (target->info.leaving || APR_RING_EMPTY (&target->runs, dks_leased_run_t, link))
    return;
  msg = create_msg (target->run_count);
  APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
    {
      const dks_leased_crash_t *crash = crash_find (leased, run->task_name);

      /* A start without an answer yet may be refused, as it came after the crash. */
      if (run->crash_recorded || run->state == DKS_LEASED_RUN_STARTING
          || is_in_list (run, new_lists))
        continue;
      run->crash_recorded = true;
      crash = crash_put (leased, run->task_name, crash != NULL ? crash->crashes + 1 : 1);
      dks_emit_log (leased->r, DKS_LOG_NOTICE,
                    "event=target-crashed target=%s task=%s run=%u crashes=%u", target->info.id,
                    run->task_name, run->number, crash->crashes);
      add_to_msg (msg, crash);
    }
  if (msg->u.speeds.crashed_task_count > 0)
    send_to_starters (leased, msg);
  dks_msg_unref (msg);
}

bool
dks_leased_crashes_forbid_start (const dks_leased_job_t *job, const dks_leased_task_t *task)
{
  const dks_leased_crash_t *crash;
  char name[DKS_TASK_NAME_SIZE];

  if (job->leased->crash_count == 0)
    return false;
  dks_batch_task_name (job->batch->id, task->step, task->index, name);
  crash = crash_find (job->leased, name);
  return crash != NULL && crash->crashes >= CRASHES_MAX;
}

void
dks_leased_crashes_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->crashes, dks_leased_crash_t, link);
  leased->crashes_by_task_name = apr_hash_make (leased->r->pool);
}

void
dks_leased_crashes_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->crashes, dks_leased_crash_t, link))
    crash_free (leased, APR_RING_FIRST (&leased->crashes));
}
