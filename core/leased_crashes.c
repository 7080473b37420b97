#include "core/leased.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A task is not started again once its crashes weigh as much as two proven ones. A single one may
     be the fault of the target, or of another task on it. A crash is proven when the run had been
     confirmed and was not being stopped; else it may have come before the start, or after the end.
   */
  PROVEN_WEIGHT = 2,
  POSSIBLE_WEIGHT = 1,
  WEIGHT_MAX = 2 * PROVEN_WEIGHT,
  TASKS_MAX = 1024,       /* tasks that are remembered */
  RETENTION_US = 60000000 /* callers wait less, and submit a job again within this time */
};

/* A task under which targets have crashed. */
struct dks_leased_task_crashes_t
{
  APR_RING_ENTRY (dks_leased_task_crashes_t) link; /* in the order of the latest crash */
  char task_name[DKS_TASK_NAME_SIZE];
  uint32_t weight; /* of its crashes */
  int64_t last_crash_us;
  struct
  {
    char target[DKS_NAME_SIZE];
    uint32_t weight;
  } supposed[WEIGHT_MAX]; /* parts of `weight`: targets that refused connections */
  uint32_t supposed_count;
};

static void
entry_free (dks_leased_t *leased, dks_leased_task_crashes_t *entry)
{
  apr_hash_set (leased->task_crashes_by_name, entry->task_name, APR_HASH_KEY_STRING, NULL);
  APR_RING_REMOVE (entry, link);
  leased->task_crashes_count--;
  free (entry);
}

static dks_leased_task_crashes_t *
entry_find (const dks_leased_t *leased, const char *task_name)
{
  return apr_hash_get (leased->task_crashes_by_name, task_name, APR_HASH_KEY_STRING);
}

/* Sets the weight of the task's crashes, which never falls, and ends its job when it is too high.
 */
static dks_leased_task_crashes_t *
entry_put (dks_leased_t *leased, const char *task_name, uint32_t weight)
{
  int64_t now_us = leased->r->now.mono_us;
  dks_leased_task_crashes_t *entry = entry_find (leased, task_name);

  while (leased->task_crashes_count > 0
         && (leased->task_crashes_count >= TASKS_MAX
             || APR_RING_FIRST (&leased->task_crashes)->last_crash_us + RETENTION_US < now_us))
    {
      if (APR_RING_FIRST (&leased->task_crashes) == entry)
        break;
      entry_free (leased, APR_RING_FIRST (&leased->task_crashes));
    }
  if (entry == NULL)
    {
      entry = dks_alloc (sizeof (*entry));
      dks_strcpy (entry->task_name, sizeof (entry->task_name), task_name);
      apr_hash_set (leased->task_crashes_by_name, entry->task_name, APR_HASH_KEY_STRING, entry);
      leased->task_crashes_count++;
    }
  else
    APR_RING_REMOVE (entry, link);
  APR_RING_INSERT_TAIL (&leased->task_crashes, entry, dks_leased_task_crashes_t, link);
  entry->last_crash_us = now_us;
  if (weight > entry->weight)
    entry->weight = weight;
  if (entry->weight >= WEIGHT_MAX)
    dks_leased_jobs_handle_crashes (leased, task_name);
  return entry;
}

/* Takes off what another leader has withdrawn, which left `weight` there. Where the weight here was
 * another one, it is not known to contain what is withdrawn. */
static void
entry_withdraw (dks_leased_t *leased, const char *task_name, uint32_t weight, uint32_t withdrawn)
{
  dks_leased_task_crashes_t *entry = entry_find (leased, task_name);

  if (entry != NULL && entry->weight == weight + withdrawn)
    entry->weight = weight;
}

/* Notes that `weight` was counted for a target that may not have crashed. */
static void
entry_suppose (dks_leased_task_crashes_t *entry, const char *target, uint32_t weight)
{
  if (entry->supposed_count == WEIGHT_MAX)
    return;
  dks_strcpy (entry->supposed[entry->supposed_count].target, DKS_NAME_SIZE, target);
  entry->supposed[entry->supposed_count++].weight = weight;
}

/* Weight that was counted for the target by supposition, which is forgotten. */
static uint32_t
entry_take_supposed (dks_leased_task_crashes_t *entry, const char *target)
{
  uint32_t weight = 0;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < entry->supposed_count; i++)
    {
      if (strcmp (entry->supposed[i].target, target) == 0)
        weight += entry->supposed[i].weight;
      else
        entry->supposed[kept++] = entry->supposed[i];
    }
  entry->supposed_count = kept;
  return weight;
}

/* Messages */

/* Message with room for `count` tasks. */
static dks_msg_t *
create_msg (uint32_t count)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_SPEEDS);

  msg->u.speeds.targets = dks_alloc (sizeof (msg->u.speeds.targets[0]));
  msg->u.speeds.queues = dks_alloc (sizeof (msg->u.speeds.queues[0]));
  msg->u.speeds.task_crashes = dks_alloc ((count + 1) * sizeof (msg->u.speeds.task_crashes[0]));
  return msg;
}

/* Adds the task with the weight of its crashes, and with what was just taken off it. */
static void
add_to_msg (dks_msg_t *msg, const dks_leased_task_crashes_t *entry, uint32_t withdrawn)
{
  dks_task_crashes_t *to = &msg->u.speeds.task_crashes[msg->u.speeds.task_crashes_count++];

  dks_strcpy (to->task_name, sizeof (to->task_name), entry->task_name);
  to->weight = entry->weight;
  to->withdrawn = withdrawn;
}

void
dks_leased_crashes_send_all (dks_leased_t *leased, const char *peer)
{
  dks_leased_task_crashes_t *entry;
  dks_msg_t *msg;

  if (leased->term == 0 || leased->task_crashes_count == 0)
    return;
  msg = create_msg (leased->task_crashes_count);
  APR_RING_FOREACH (entry, &leased->task_crashes, dks_leased_task_crashes_t, link)
    add_to_msg (msg, entry, 0);
  dks_emit_peer (leased->r, peer, msg);
}

void
dks_leased_crashes_handle_msg (dks_leased_t *leased, const dks_msg_t *msg)
{
  for (uint32_t i = 0; i < msg->u.speeds.task_crashes_count; i++)
    {
      const dks_task_crashes_t *task = &msg->u.speeds.task_crashes[i];

      if (task->withdrawn > 0)
        entry_withdraw (leased, task->task_name, task->weight, task->withdrawn);
      else
        entry_put (leased, task->task_name, task->weight);
    }
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
dks_leased_crashes_record (dks_leased_target_t *target, const dks_run_lists_t *new_lists,
                           bool is_supposed)
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
      dks_leased_task_crashes_t *entry = entry_find (leased, run->task_name);
      uint32_t weight;
      bool proven;

      /* A start without an answer yet may be refused, as it came after the crash. */
      if (run->crash_recorded || run->state == DKS_LEASED_RUN_STARTING
          || is_in_list (run, new_lists))
        continue;
      run->crash_recorded = true;
      proven = run->state == DKS_LEASED_RUN_RUNNING && run->acked_us > 0;
      weight = proven ? PROVEN_WEIGHT : POSSIBLE_WEIGHT;
      entry = entry_put (leased, run->task_name, (entry != NULL ? entry->weight : 0) + weight);
      if (is_supposed)
        entry_suppose (entry, target->info.id, weight);
      dks_emit_log (leased->r, DKS_LOG_NOTICE,
                    "event=target-crashed target=%s task=%s run=%u proven=%d weight=%u",
                    target->info.id, run->task_name, run->number, proven, entry->weight);
      add_to_msg (msg, entry, 0);
    }
  if (msg->u.speeds.task_crashes_count > 0)
    {
      target->crash_supposed = target->crash_supposed || is_supposed;
      send_to_starters (leased, msg);
    }
  dks_msg_unref (msg);
}

void
dks_leased_crashes_withdraw (dks_leased_target_t *target)
{
  dks_leased_t *leased = target->leased;
  dks_leased_task_crashes_t *entry;
  dks_leased_run_t *run;
  dks_msg_t *msg;

  if (!target->crash_supposed)
    return;
  target->crash_supposed = false;
  APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
    run->crash_recorded = false;
  msg = create_msg (leased->task_crashes_count);
  APR_RING_FOREACH (entry, &leased->task_crashes, dks_leased_task_crashes_t, link)
    {
      uint32_t weight = entry_take_supposed (entry, target->info.id);

      if (weight == 0)
        continue;
      entry->weight -= weight < entry->weight ? weight : entry->weight;
      dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=crash-withdrawn target=%s task=%s weight=%u",
                    target->info.id, entry->task_name, entry->weight);
      add_to_msg (msg, entry, weight);
    }
  if (msg->u.speeds.task_crashes_count > 0)
    send_to_starters (leased, msg);
  dks_msg_unref (msg);
}

void
dks_leased_crashes_confirm (dks_leased_target_t *target)
{
  dks_leased_task_crashes_t *entry;

  if (!target->crash_supposed)
    return;
  target->crash_supposed = false;
  APR_RING_FOREACH (entry, &target->leased->task_crashes, dks_leased_task_crashes_t, link)
    entry_take_supposed (entry, target->info.id);
}

bool
dks_leased_crashes_forbid_start (const dks_leased_job_t *job, const dks_leased_task_t *task)
{
  const dks_leased_task_crashes_t *entry;
  char name[DKS_TASK_NAME_SIZE];

  if (job->leased->task_crashes_count == 0)
    return false;
  dks_batch_task_name (job->batch->id, task->step, task->index, name);
  entry = entry_find (job->leased, name);
  return entry != NULL && entry->weight >= WEIGHT_MAX;
}

void
dks_leased_crashes_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->task_crashes, dks_leased_task_crashes_t, link);
  leased->task_crashes_by_name = apr_hash_make (leased->r->pool);
}

void
dks_leased_crashes_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->task_crashes, dks_leased_task_crashes_t, link))
    entry_free (leased, APR_RING_FIRST (&leased->task_crashes));
}
