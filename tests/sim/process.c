#include "sim.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

void
sim_process_start (sim_t *sim, uint32_t index)
{
  sim_instance_t *instance = &sim->instances[index];
  dks_config_t config;
  char detail[DKS_TEXT_SIZE];

  if (instance->alive)
    return;
  instance->incarnation++;
  instance->alive = true;
  instance->frozen = false;
  instance->draining = false;
  instance->alive_since_us = sim->now_us;
  instance->settings_version = 0;
  instance->watch_revision = 0;
  instance->list_state_us = 0;
  instance->lease_renewed_us = sim->now_us;
  instance->next_tick_us = INT64_MAX;
  instance->mono_offset_us = sim_range (sim, 1, 1000) * SIM_SECOND;
  if (instance->known_leaving_words > 0)
    memset (instance->known_leaving, 0,
            instance->known_leaving_words * sizeof (instance->known_leaving[0]));

  dks_config_init (&config);
  dks_strcpy (config.id, sizeof (config.id), instance->id);
  dks_strcpy (config.address, sizeof (config.address), instance->address);
  dks_strcpy (config.data_centre, sizeof (config.data_centre),
              sim->data_centres[instance->data_centre]);
  config.incarnation = 1000 + instance->incarnation;
  config.data_centre_count = sim->config.data_centres;
  for (uint32_t d = 0; d < sim->config.data_centres; d++)
    dks_strcpy (config.data_centres[d], DKS_NAME_SIZE, sim->data_centres[d]);
  config.seed = sim_random (sim);
  DKS_INVARIANT (dks_config_validate (&config, detail) == 0);

  instance->reducer = dks_reducer_create (&config, sim_time (sim, instance));
  sim_trace (sim, "%s start %s", instance->id, dks_reducer_member_id (instance->reducer));
  sim_row_set (&instance->row, sim->now_us, SIM_ROW_LIVE);
  sim_push (sim, sim->now_us, SIM_LIST_READ, index, instance->incarnation, 0, NULL);
  sim_push (sim, sim->now_us, SIM_WATCH, index, instance->incarnation, 0, NULL);
  sim_push (sim, sim->now_us, SIM_LEASE_EXPIRE, index, instance->incarnation, 0, NULL);
  sim_apply (sim, index, &(dks_event_t){ .type = DKS_EVENT_TICK });
}

static void
process_end (sim_t *sim, uint32_t index, bool silent, bool graceful)
{
  sim_instance_t *instance = &sim->instances[index];

  instance->alive = false;
  instance->frozen = false;
  for (size_t i = 0; i < instance->deferred.count; i++)
    sim_item_release (sim, &instance->deferred.items[i]);
  instance->deferred.count = 0;
  dks_reducer_destroy (instance->reducer);
  instance->reducer = NULL;
  sim_links_process_end (sim, index, silent, graceful);
  sim_callers_process_end (sim, index);
}

void
sim_process_kill (sim_t *sim, uint32_t index, bool silent)
{
  if (!sim->instances[index].alive)
    return;
  sim_trace (sim, "%s killed%s", sim->instances[index].id, silent ? " with its host" : "");
  process_end (sim, index, silent, false);
}

void
sim_process_exit (sim_t *sim, uint32_t index)
{
  sim_trace (sim, "%s exits", sim->instances[index].id);
  sim_check_exit (sim, index);
  sim_row_set (&sim->instances[index].row, sim->now_us, SIM_ROW_UNLISTED);
  process_end (sim, index, false, true);
}

void
sim_process_freeze (sim_t *sim, uint32_t index, int64_t for_us)
{
  sim_instance_t *instance = &sim->instances[index];

  if (!instance->alive || instance->frozen)
    return;
  sim_trace (sim, "%s frozen for %.3f s", instance->id, (double)for_us / SIM_SECOND);
  instance->frozen = true;
  sim_push (sim, sim->now_us + for_us, SIM_PROCESS_RESUME, index, instance->incarnation, 0, NULL);
}

void
sim_process_resume (sim_t *sim, uint32_t index)
{
  sim_instance_t *instance = &sim->instances[index];
  bool timers_first = sim_chance (sim, 50);
  sim_items_t list = instance->deferred;

  if (!instance->alive || !instance->frozen)
    return;
  sim_trace (sim, "%s resumes with %zu events waiting", instance->id, list.count);
  instance->frozen = false;
  instance->resumed_us = sim->now_us;
  instance->deferred = (sim_items_t){ 0 };
  /* After a freeze, the event loop may handle its expired timers before or after the events that
   * arrived meanwhile. */
  if (timers_first)
    sim_apply (sim, index, &(dks_event_t){ .type = DKS_EVENT_TICK });
  for (size_t i = 0; i < list.count; i++)
    {
      list.items[i].at_us = sim->now_us;
      list.items[i].order = sim->order++;
      sim_heap_push (&sim->heap, &list.items[i]);
    }
  free (list.items);
}

void
sim_process_drain (sim_t *sim, uint32_t index)
{
  sim_instance_t *instance = &sim->instances[index];

  if (instance->draining)
    return;
  sim_trace (sim, "%s drain", instance->id);
  instance->draining = true;
  sim_row_set (&instance->row, sim->now_us, SIM_ROW_LEAVING);
  sim_apply (sim, index, &(dks_event_t){ .type = DKS_EVENT_DRAIN });
}
