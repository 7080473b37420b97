#include "sim.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define STORE_TIMEOUT_US (2 * SIM_SECOND)
#define WATCH_RETRY_US (500 * SIM_MS)
#define LIST_INTERVAL_US (SIM_SECOND)
#define LEASE_TTL_US (5 * SIM_SECOND)

void
sim_row_set (sim_row_history_t *row, int64_t at_us, sim_row_state_t state)
{
  if (row->count > 0 && row->items[row->count - 1].state == state)
    return;
  if (row->count == row->capacity)
    {
      row->capacity = row->capacity > 0 ? 2 * row->capacity : 4;
      row->items = dks_realloc (row->items, row->capacity * sizeof (row->items[0]));
    }
  row->items[row->count].at_us = at_us;
  row->items[row->count++].state = state;
}

static sim_row_state_t
row_state_at (const sim_row_history_t *row, int64_t at_us)
{
  for (size_t i = row->count; i > 0; i--)
    {
      if (row->items[i - 1].at_us <= at_us)
        return row->items[i - 1].state;
    }
  return SIM_ROW_UNLISTED;
}

/* Renews the platform lease of a reachable process, or removes the instance from the list when the
 * lease has expired: the platform lists an instance only while its lease is valid. */
static void
handle_lease_check (sim_t *sim, const sim_item_t *item)
{
  sim_instance_t *instance = &sim->instances[item->a];

  /* Only the newest process has the lease, but it may have ended by now. */
  if (item->b != instance->incarnation || instance->row.count == 0
      || instance->row.items[instance->row.count - 1].state == SIM_ROW_UNLISTED)
    return;
  if (instance->alive && !instance->frozen && sim_reaches_platform (sim, item->a))
    instance->lease_renewed_us = sim->now_us;
  if (sim->now_us - instance->lease_renewed_us > LEASE_TTL_US)
    {
      sim_trace (sim, "%s lease expires", instance->id);
      sim_row_set (&instance->row, sim->now_us, SIM_ROW_UNLISTED);
      if (!instance->alive)
        return;
    }
  sim_push (sim, sim->now_us + SIM_SECOND, SIM_LEASE_EXPIRE, item->a, item->b, 0, NULL);
}

static void
renew_lease (sim_t *sim, uint32_t index)
{
  sim_instance_t *instance = &sim->instances[index];
  bool expired = instance->row.items[instance->row.count - 1].state == SIM_ROW_UNLISTED;

  instance->lease_renewed_us = sim->now_us;
  sim_row_set (&instance->row, sim->now_us, instance->draining ? SIM_ROW_LEAVING : SIM_ROW_LIVE);
  if (expired)
    sim_push (sim, sim->now_us + SIM_SECOND, SIM_LEASE_EXPIRE, index, instance->incarnation, 0,
              NULL);
}

static void
handle_list_read (sim_t *sim, const sim_item_t *item)
{
  sim_instance_t *instance = &sim->instances[item->a];
  int64_t list_state_us = sim->now_us - sim_range (sim, 0, sim->config.list_lag_max_us);

  if (!sim_reaches_platform (sim, item->a))
    {
      instance->platform_unreachable_us = sim->now_us;
      sim_push (sim, sim->now_us + LIST_INTERVAL_US, SIM_LIST_READ, item->a, item->b, 0, NULL);
      return;
    }
  renew_lease (sim, item->a);
  if (list_state_us < instance->list_state_us)
    list_state_us = instance->list_state_us;
  instance->list_state_us = list_state_us;
  sim_push (sim, sim->now_us + 2 * sim->config.local_latency_us + SIM_MS, SIM_LIST_REPLY, item->a,
            item->b, (uint64_t)list_state_us, NULL);
}

static void
handle_list_reply (sim_t *sim, const sim_item_t *item)
{
  dks_listed_instance_t *rows =
      dks_alloc ((sim->instance_count + sim->target_count) * sizeof (rows[0]));
  size_t count = 0;
  dks_event_t event = { .type = DKS_EVENT_INSTANCE_LIST };

  sim_push (sim, sim->now_us + LIST_INTERVAL_US, SIM_LIST_READ, item->a, item->b, 0, NULL);
  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      const sim_instance_t *instance = &sim->instances[i];
      sim_row_state_t state = row_state_at (&instance->row, (int64_t)item->c);

      if (state == SIM_ROW_UNLISTED)
        continue;
      dks_strcpy (rows[count].id, DKS_NAME_SIZE, instance->id);
      dks_strcpy (rows[count].address, DKS_ADDRESS_SIZE, instance->address);
      dks_strcpy (rows[count].data_centre, DKS_NAME_SIZE, sim->data_centres[instance->data_centre]);
      rows[count++].leaving = state == SIM_ROW_LEAVING;
    }
  for (uint32_t t = 0; t < sim->target_count; t++)
    {
      const sim_target_t *target = &sim->targets[t];
      sim_row_state_t state = row_state_at (&target->row, (int64_t)item->c);

      if (state == SIM_ROW_UNLISTED)
        continue;
      dks_strcpy (rows[count].id, DKS_NAME_SIZE, target->id);
      dks_strcpy (rows[count].address, DKS_ADDRESS_SIZE, target->address);
      dks_strcpy (rows[count].data_centre, DKS_NAME_SIZE, sim->data_centres[target->data_centre]);
      rows[count].is_target = true;
      rows[count].slots = target->slots;
      rows[count].cpus = 16;
      rows[count].memory_mb = 32768;
      rows[count++].leaving = state == SIM_ROW_LEAVING;
    }
  event.u.instance_list.items = rows;
  event.u.instance_list.count = count;
  sim_apply (sim, item->a, &event);
  free (rows);
}

static sim_record_t *
record_find (sim_t *sim, const char *key)
{
  for (size_t i = 0; i < sim->store.count; i++)
    {
      if (strcmp (sim->store.records[i].key, key) == 0)
        return &sim->store.records[i];
    }
  return NULL;
}

const sim_record_t *
sim_store_find (const sim_t *sim, const char *key)
{
  return record_find ((sim_t *)sim, key);
}

void
sim_store_op_unref (sim_store_op_t *op)
{
  if (--op->refs > 0)
    return;
  dks_blob_unref (op->value);
  free (op);
}

/* The reducer gets a reply or a timeout for a request, whichever comes first; a write that arrives
 * after the timeout still takes effect. */
void
sim_store_request (sim_t *sim, uint32_t index, const dks_effect_t *effect)
{
  sim_store_op_t *op = dks_alloc (sizeof (*op));
  bool is_cas = effect->type == DKS_EFFECT_STORE_CAS;
  int64_t delay = sim_range (sim, SIM_MS, is_cas ? 8 * SIM_MS : 3 * SIM_MS);
  int64_t timeout = STORE_TIMEOUT_US;

  sim_trace (sim, "%s store %s %s version %" PRId64, sim->instances[index].id,
             is_cas ? "cas" : "get", effect->u.store.key, effect->u.store.version);
  op->instance = index;
  op->incarnation = sim->instances[index].incarnation;
  op->id = effect->u.store.op;
  op->is_cas = is_cas;
  op->version = effect->u.store.version;
  dks_strcpy (op->key, sizeof (op->key), effect->u.store.key);
  if (is_cas)
    op->value = dks_blob_ref (effect->u.store.value);
  if (sim->store.slow_faults > 0)
    delay += sim_range (sim, 100 * SIM_MS, 4 * SIM_SECOND);
  if (sim_reaches_platform (sim, index) && sim->store.down_faults == 0)
    {
      op->refs++;
      sim_push (sim, sim->now_us + delay, SIM_STORE_ARRIVE, index, op->incarnation, 0, op);
    }
  else if (sim_chance (sim, 50))
    timeout = SIM_MS; /* connection refused */
  op->refs++;
  sim_push (sim, sim->now_us + timeout, SIM_STORE_TIMEOUT, index, op->incarnation, 0, op);
}

static void
notify_watches (sim_t *sim)
{
  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      int64_t delay = sim_range (sim, SIM_MS, 10 * SIM_MS);

      if (sim->store.slow_faults > 0)
        delay += sim_range (sim, 100 * SIM_MS, 4 * SIM_SECOND);
      if (sim->instances[i].alive)
        sim_push (sim, sim->now_us + delay, SIM_WATCH, i, sim->instances[i].incarnation, 1, NULL);
    }
}

static void
store_execute (sim_t *sim, sim_store_op_t *op)
{
  sim_record_t *record = record_find (sim, op->key);
  int64_t version = record != NULL ? record->version : 0;

  if (!op->is_cas)
    {
      op->status = record != NULL ? DKS_STORE_OK : DKS_STORE_NOT_FOUND;
      op->version = version;
      op->value = record != NULL ? dks_blob_ref (record->value) : NULL;
      return;
    }
  if (version != op->version)
    {
      op->status = DKS_STORE_CONFLICT;
      op->version = version;
      return;
    }
  if (record == NULL)
    {
      sim->store.records =
          dks_realloc (sim->store.records, (sim->store.count + 1) * sizeof (sim_record_t));
      record = &sim->store.records[sim->store.count++];
      *record = (sim_record_t){ 0 };
      dks_strcpy (record->key, sizeof (record->key), op->key);
    }
  dks_blob_unref (record->value);
  record->value = op->value;
  record->version = ++sim->store.revision;
  op->value = NULL;
  op->status = DKS_STORE_OK;
  op->version = record->version;
  sim_trace (sim, "store %s is at version %" PRId64 ": %.400s", op->key, op->version,
             (const char *)record->value->data);
  notify_watches (sim);
}

static void
handle_store_arrive (sim_t *sim, sim_store_op_t *op)
{
  /* A request that was in transit when the fault began is lost before it takes effect. */
  if (sim->store.down_faults > 0 || !sim_reaches_platform (sim, op->instance))
    {
      sim_store_op_unref (op);
      return;
    }
  store_execute (sim, op);
  if (sim->store.lost_percent > 0 && sim_chance (sim, sim->store.lost_percent))
    {
      sim_trace (sim, "store reply to %s lost", sim->instances[op->instance].id);
      sim_store_op_unref (op);
      return;
    }
  sim_push (sim, sim->now_us + sim->config.local_latency_us, SIM_STORE_REPLY, op->instance,
            op->incarnation, 0, op);
}

static void
handle_store_reply (sim_t *sim, sim_store_op_t *op, bool timeout)
{
  dks_event_t event = { .type = DKS_EVENT_STORE_REPLY };

  if (!op->answered)
    {
      op->answered = true;
      event.u.store_reply.op = op->id;
      event.u.store_reply.status = timeout ? DKS_STORE_UNKNOWN : op->status;
      event.u.store_reply.version = timeout ? 0 : op->version;
      event.u.store_reply.value = timeout || op->is_cas ? NULL : op->value;
      sim_trace (sim, "%s store reply %s status %d version %" PRId64,
                 sim->instances[op->instance].id, op->key, (int)event.u.store_reply.status,
                 event.u.store_reply.version);
      sim_apply (sim, op->instance, &event);
    }
  sim_store_op_unref (op);
}

/* The long poll delivers each record that changed after the last revision it delivered. */
static void
handle_watch (sim_t *sim, const sim_item_t *item)
{
  sim_instance_t *instance = &sim->instances[item->a];
  int64_t revision = instance->watch_revision;

  if (sim->store.down_faults > 0 || !sim_reaches_platform (sim, item->a))
    {
      sim_push (sim, sim->now_us + WATCH_RETRY_US, SIM_WATCH, item->a, item->b, 0, NULL);
      return;
    }
  instance->watch_revision = sim->store.revision;
  for (size_t i = 0; i < sim->store.count; i++)
    {
      sim_record_t *record = &sim->store.records[i];
      dks_event_t event = { .type = DKS_EVENT_STORE_RECORD };

      if (record->version <= revision)
        continue;
      event.u.store_record.key = record->key;
      event.u.store_record.version = record->version;
      event.u.store_record.value = record->value;
      sim_apply (sim, item->a, &event);
      if (!instance->alive)
        return;
    }
}

void
sim_platform_handle (sim_t *sim, sim_item_t *item)
{
  switch (item->type)
    {
    case SIM_STORE_ARRIVE:
      handle_store_arrive (sim, item->u.ptr);
      break;
    case SIM_STORE_REPLY:
      handle_store_reply (sim, item->u.ptr, false);
      break;
    case SIM_STORE_TIMEOUT:
      handle_store_reply (sim, item->u.ptr, true);
      break;
    case SIM_WATCH:
      handle_watch (sim, item);
      break;
    case SIM_LIST_READ:
      handle_list_read (sim, item);
      break;
    case SIM_LIST_REPLY:
      handle_list_reply (sim, item);
      break;
    default:
      handle_lease_check (sim, item);
      break;
    }
}
