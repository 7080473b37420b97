#include "sim.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Run time of a task on a target that fails all tasks. */
#define FAILED_TASK_US (2 * SIM_MS)

enum
{
  PORT_BASE = 10000,
  ID_BITS = 40
};

/* A SIM_TARGET_LOST event carries the table index of the attempt and the low bits of its id, as the
 * table entry may have been reused when the event is handled. */
#define ID_MASK ((UINT64_C (1) << ID_BITS) - 1)

uint32_t
sim_target_add (sim_t *sim, uint32_t data_centre)
{
  uint32_t index = sim->target_count;
  sim_target_t *target;

  if (sim->target_count == sim->target_capacity)
    {
      sim->target_capacity = sim->target_capacity > 0 ? 2 * sim->target_capacity : 16;
      sim->targets = dks_realloc (sim->targets, sim->target_capacity * sizeof (sim->targets[0]));
    }
  target = &sim->targets[sim->target_count++];
  *target = (sim_target_t){ .data_centre = data_centre, .up = true, .slow_factor = 1 };
  target->slots = sim->config.slots;
  snprintf (target->id, sizeof (target->id), "t%u", index);
  snprintf (target->address, sizeof (target->address), "10.%u.1.1:%u", data_centre,
            PORT_BASE + index);
  sim_row_set (&target->row, sim->now_us, SIM_ROW_LIVE);
  return index;
}

static uint32_t
attempt_allocate (sim_t *sim)
{
  if (sim->attempt_free_count > 0)
    return sim->attempt_free[--sim->attempt_free_count];
  if (sim->attempt_count == sim->attempt_capacity)
    {
      sim->attempt_capacity = sim->attempt_capacity > 0 ? 2 * sim->attempt_capacity : 64;
      sim->attempts =
          dks_realloc (sim->attempts, sim->attempt_capacity * sizeof (sim->attempts[0]));
      sim->attempt_free =
          dks_realloc (sim->attempt_free, sim->attempt_capacity * sizeof (sim->attempt_free[0]));
    }
  return sim->attempt_count++;
}

void
sim_attempt_free (sim_t *sim, uint32_t index)
{
  dks_blob_unref (sim->attempts[index].payload);
  sim->attempts[index].payload = NULL;
  sim->attempts[index].used = false;
  sim->attempt_free[sim->attempt_free_count++] = index;
}

static int64_t
target_latency (sim_t *sim, const sim_attempt_t *attempt)
{
  return sim_latency (sim, sim->instances[attempt->instance].data_centre,
                      sim->targets[attempt->target].data_centre);
}

void
sim_target_send (sim_t *sim, uint32_t index, const dks_effect_t *effect)
{
  const char *colon = strrchr (effect->u.target_send.address, ':');
  uint32_t slot = attempt_allocate (sim);
  sim_attempt_t *attempt = &sim->attempts[slot];

  *attempt = (sim_attempt_t){ .used = true,
                              .instance = index,
                              .incarnation = sim->instances[index].incarnation,
                              .id = effect->u.target_send.attempt,
                              .index = effect->u.target_send.index,
                              .payload = dks_blob_ref (effect->u.target_send.payload) };
  attempt->target = (uint32_t)atoi (colon + 1) - PORT_BASE;
  attempt->key = sim_key_find (sim, effect->u.target_send.key);
  DKS_INVARIANT (attempt->target < sim->target_count);
  DKS_INVARIANT (attempt->index < sim->keys[attempt->key].task_count);
  sim_trace (sim, "%s -> %s run %s/%u attempt %u", sim->instances[index].id,
             sim->targets[attempt->target].id, effect->u.target_send.key, attempt->index,
             effect->u.target_send.attempt_number);
  sim->messages.attempts_sent++;
  sim_check_send (sim, attempt);
  sim_push (sim, sim->now_us + target_latency (sim, attempt), SIM_TARGET_ARRIVE, index,
            attempt->incarnation, slot, NULL);
}

void
sim_target_abort (sim_t *sim, uint32_t index, uint64_t id)
{
  sim->messages.aborts++;
  for (uint32_t i = 0; i < sim->attempt_count; i++)
    {
      sim_attempt_t *attempt = &sim->attempts[i];

      /* The target does not notice that the connection was closed and keeps running the task. */
      if (attempt->used && attempt->instance == index && attempt->id == id
          && attempt->incarnation == sim->instances[index].incarnation)
        {
          sim_trace (sim, "%s aborts %s/%u", sim->instances[index].id, sim->keys[attempt->key].text,
                     attempt->index);
          attempt->closed = true;
        }
    }
}

static void
send_reply (sim_t *sim, uint32_t slot, dks_attempt_status_t status)
{
  sim_attempt_t *attempt = &sim->attempts[slot];

  attempt->status = status;
  attempt->leaving = sim->targets[attempt->target].leaving;
  sim_push (sim, sim->now_us + target_latency (sim, attempt), SIM_TARGET_REPLY, attempt->instance,
            attempt->incarnation, slot, NULL);
}

static void
handle_arrive (sim_t *sim, uint32_t slot)
{
  sim_attempt_t *attempt = &sim->attempts[slot];
  sim_target_t *target = &sim->targets[attempt->target];
  int64_t service = sim->keys[attempt->key].service_us[attempt->index];

  if (!target->up || target->running >= target->slots)
    {
      sim_trace (sim, "%s refuses %s/%u", target->id, sim->keys[attempt->key].text, attempt->index);
      sim->messages.refused_attempts++;
      send_reply (sim, slot, DKS_ATTEMPT_NOT_STARTED);
      /* A target that is down refuses the connection, so no reply can say that it is leaving. */
      attempt->leaving = attempt->leaving && target->up;
      return;
    }
  attempt->accepted = true;
  attempt->target_incarnation = target->incarnation;
  target->running++;
  sim_check_start (sim, attempt);
  attempt->status = target->fails_all ? DKS_ATTEMPT_FAILED : DKS_ATTEMPT_OK;
  sim_push (sim, sim->now_us + (target->fails_all ? FAILED_TASK_US : service * target->slow_factor),
            SIM_TARGET_FINISH, attempt->target, 0, slot, NULL);
}

static void
handle_finish (sim_t *sim, uint32_t slot)
{
  sim_attempt_t *attempt = &sim->attempts[slot];
  sim_target_t *target = &sim->targets[attempt->target];

  /* The target has stopped since the task began: the connection is reset. */
  if (attempt->target_incarnation != target->incarnation)
    {
      send_reply (sim, slot, DKS_ATTEMPT_LOST);
      return;
    }
  target->running--;
  send_reply (sim, slot, attempt->status);
}

static void
deliver_reply (sim_t *sim, sim_attempt_t *attempt, dks_attempt_status_t status, bool leaving)
{
  sim_instance_t *instance = &sim->instances[attempt->instance];
  dks_event_t event = { .type = DKS_EVENT_TARGET_REPLY };
  dks_blob_t *body = status == DKS_ATTEMPT_OK ? sim_result (attempt->payload) : NULL;

  if (leaving)
    {
      size_t word = attempt->target / 64;

      if (word >= instance->known_leaving_words)
        {
          size_t words = sim->target_capacity / 64 + 1;
          instance->known_leaving =
              dks_realloc (instance->known_leaving, words * sizeof (instance->known_leaving[0]));
          memset (instance->known_leaving + instance->known_leaving_words, 0,
                  (words - instance->known_leaving_words) * sizeof (instance->known_leaving[0]));
          instance->known_leaving_words = words;
        }
      instance->known_leaving[word] |= UINT64_C (1) << attempt->target % 64;
    }
  event.u.target_reply.attempt = attempt->id;
  event.u.target_reply.status = status;
  event.u.target_reply.leaving = leaving;
  event.u.target_reply.body = body;
  sim_trace (sim, "%s -> %s reply %s/%u status %d%s", sim->targets[attempt->target].id,
             instance->id, sim->keys[attempt->key].text, attempt->index, (int)status,
             leaving ? " leaving" : "");
  attempt->closed = true;
  sim_apply (sim, attempt->instance, &event);
  dks_blob_unref (body);
}

static void
handle_reply (sim_t *sim, uint32_t slot)
{
  /* A copy, as the reducer may send new attempts while it handles the reply, which can reallocate
   * the table. */
  sim_attempt_t attempt = sim->attempts[slot];

  dks_blob_ref (attempt.payload);
  sim_attempt_free (sim, slot);
  if (!attempt.closed)
    deliver_reply (sim, &attempt, attempt.status, attempt.leaving);
  dks_blob_unref (attempt.payload);
}

static void
handle_lost (sim_t *sim, uint32_t instance, uint32_t slot, uint64_t id)
{
  sim_attempt_t attempt = sim->attempts[slot];

  if (!attempt.used || attempt.closed || attempt.instance != instance
      || (attempt.id & ID_MASK) != id)
    return;
  sim->attempts[slot].closed = true;
  deliver_reply (sim, &attempt, DKS_ATTEMPT_LOST, false);
}

void
sim_targets_reset (sim_t *sim, uint32_t index)
{
  sim_trace (sim, "%s loses its connections to targets", sim->instances[index].id);
  for (uint32_t i = 0; i < sim->attempt_count; i++)
    {
      sim_attempt_t *attempt = &sim->attempts[i];

      if (attempt->used && !attempt->closed && attempt->instance == index
          && attempt->incarnation == sim->instances[index].incarnation)
        sim_push (sim, sim->now_us + sim_range (sim, 0, SIM_MS), SIM_TARGET_LOST, index,
                  attempt->incarnation, (uint64_t)i << ID_BITS | (attempt->id & ID_MASK), NULL);
    }
}

void
sim_target_leave (sim_t *sim, uint32_t index)
{
  sim_target_t *target = &sim->targets[index];

  if (!target->up || target->leaving)
    return;
  sim_trace (sim, "%s leaving", target->id);
  target->leaving = true;
  target->leaving_us = sim->now_us;
  sim_row_set (&target->row, sim->now_us, SIM_ROW_LEAVING);
}

void
sim_target_stop (sim_t *sim, uint32_t index)
{
  sim_target_t *target = &sim->targets[index];

  if (!target->up)
    return;
  sim_trace (sim, "%s stops", target->id);
  target->up = false;
  target->running = 0;
  target->incarnation++;
  if (target->leaving)
    sim_row_set (&target->row, sim->now_us, SIM_ROW_UNLISTED);
  /* Its tasks end with the target: their connections are reset now, not at the planned end of each
   * task. */
  for (uint32_t i = 0; i < sim->attempt_count; i++)
    {
      sim_attempt_t *attempt = &sim->attempts[i];

      if (attempt->used && attempt->accepted && attempt->target == index && !attempt->closed)
        sim_push (sim, sim->now_us + target_latency (sim, attempt), SIM_TARGET_LOST,
                  attempt->instance, attempt->incarnation,
                  (uint64_t)i << ID_BITS | (attempt->id & ID_MASK), NULL);
    }
}

void
sim_target_restart (sim_t *sim, uint32_t index)
{
  sim_trace (sim, "%s restarts", sim->targets[index].id);
  sim->targets[index].up = true;
}

void
sim_target_resume (sim_t *sim, uint32_t index)
{
  sim_target_t *target = &sim->targets[index];

  if (!target->frozen)
    return;
  sim_trace (sim, "%s resumes", target->id);
  target->frozen = false;
  for (size_t i = 0; i < target->deferred.count; i++)
    {
      target->deferred.items[i].at_us = sim->now_us;
      target->deferred.items[i].order = sim->order++;
      sim_heap_push (&sim->heap, &target->deferred.items[i]);
    }
  target->deferred.count = 0;
}

void
sim_targets_handle (sim_t *sim, sim_item_t *item)
{
  uint32_t slot = (uint32_t)item->c;

  switch (item->type)
    {
    case SIM_TARGET_ARRIVE:
    case SIM_TARGET_FINISH:
      if (sim->targets[sim->attempts[slot].target].frozen)
        sim_items_add (&sim->targets[sim->attempts[slot].target].deferred, item);
      else if (item->type == SIM_TARGET_ARRIVE)
        handle_arrive (sim, slot);
      else
        handle_finish (sim, slot);
      break;
    case SIM_TARGET_REPLY:
      handle_reply (sim, slot);
      break;
    default:
      handle_lost (sim, item->a, (uint32_t)(item->c >> ID_BITS), item->c & ID_MASK);
      break;
    }
}
