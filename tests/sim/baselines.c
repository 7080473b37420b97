#include "bench.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_FIRST_US (2 * SIM_MS)
#define RETRY_MAX_US (128 * SIM_MS)

typedef enum
{
  MODEL_ARRIVE = 1,    /* a request arrives at its entry instance */
  MODEL_PICK_TARGET,   /* an instance picks a target for a task, again after a refusal */
  MODEL_TARGET_ARRIVE, /* a task arrives at a target */
  MODEL_FINISH,        /* the target ends a task */
  MODEL_REPLY,         /* the result arrives at the instance */
} model_event_t;

typedef struct
{
  uint32_t request;
  uint32_t index;
  uint32_t target;
  uint32_t tries;
} model_task_t;

typedef struct
{
  const bench_shape_t *shape;
  const bench_request_t *requests;
  bench_policy_t policy;
  uint64_t random;
  uint32_t instance_count;
  uint32_t target_count;
  uint32_t instance_dc[64];
  uint32_t *target_dc;
  uint32_t *target_owner;  /* per target: the only instance that uses it; BENCH_ALONE only */
  uint32_t *running;       /* per target: tasks that run */
  uint32_t *open_attempts; /* per instance and target: attempts of the instance without a reply */
  uint32_t *pick_count;    /* per instance: number of picks, for BENCH_ROUND_ROBIN */
  sim_items_t heap;
  sim_items_t *queues; /* per instance: tasks that wait for a slot; BENCH_ALONE only */
  size_t *queue_heads;
  uint64_t order;
  int64_t now_us;
  model_task_t *tasks;
  uint32_t *tasks_left; /* per request: tasks without a result */
  bench_result_t *result;
} model_t;

const char *
bench_policy_name (bench_policy_t policy)
{
  static const char *const names[BENCH_POLICY_COUNT] = {
    [BENCH_RANDOM] = "random",
    [BENCH_ROUND_ROBIN] = "round_robin",
    [BENCH_TWO_CHOICES] = "two_choices",
    [BENCH_ALONE] = "alone",
  };

  return names[policy];
}

void
bench_ideal (const bench_shape_t *shape, const bench_request_t *requests, size_t count,
             int64_t *done_us)
{
  sim_items_t free_slots = { 0 };
  uint64_t order = 0;

  for (uint32_t d = 0; d < shape->data_centres; d++)
    {
      for (uint32_t s = 0; s < shape->targets[d] * shape->slots; s++)
        sim_heap_push (&free_slots, &(sim_item_t){ .order = order++ });
    }
  for (size_t i = 0; i < count; i++)
    {
      done_us[i] = 0;
      for (uint32_t t = 0; t < requests[i].task_count; t++)
        {
          sim_item_t slot = sim_heap_pop (&free_slots);

          if (slot.at_us < requests[i].arrival_us)
            slot.at_us = requests[i].arrival_us;
          slot.at_us += requests[i].service_us[t];
          slot.order = order++;
          if (slot.at_us > done_us[i])
            done_us[i] = slot.at_us;
          sim_heap_push (&free_slots, &slot);
        }
    }
  free (free_slots.items);
}

static void
model_push (model_t *model, int64_t after_us, model_event_t type, uint32_t id)
{
  sim_heap_push (&model->heap, &(sim_item_t){ .at_us = model->now_us + after_us,
                                              .order = model->order++,
                                              .a = type,
                                              .b = id });
}

static uint32_t
entry_of (const model_t *model, const model_task_t *task)
{
  return model->requests[task->request].entry;
}

static uint32_t *
open_attempts_of (model_t *model, uint32_t instance, uint32_t target)
{
  return &model->open_attempts[(size_t)instance * model->target_count + target];
}

static int64_t
latency (const model_t *model, const model_task_t *task)
{
  return model->instance_dc[entry_of (model, task)] == model->target_dc[task->target]
             ? model->shape->local_latency_us
             : model->shape->remote_latency_us;
}

/* Returns a target, or -1 if the task must wait until a target of the instance has a free slot. */
static int
pick_target (model_t *model, uint32_t instance)
{
  uint32_t a = (uint32_t)(dks_random_next (&model->random) % model->target_count);
  uint32_t b;

  switch (model->policy)
    {
    case BENCH_ROUND_ROBIN:
      return (int)(model->pick_count[instance]++ % model->target_count);
    case BENCH_TWO_CHOICES:
      b = (uint32_t)(dks_random_next (&model->random) % model->target_count);
      return (int)(*open_attempts_of (model, instance, a) <= *open_attempts_of (model, instance, b)
                       ? a
                       : b);
    case BENCH_ALONE:
      for (uint32_t t = 0; t < model->target_count; t++)
        {
          if (model->target_owner[t] == instance
              && *open_attempts_of (model, instance, t) < model->shape->slots)
            return (int)t;
        }
      return -1;
    default:
      return (int)a;
    }
}

static void
handle_pick_target (model_t *model, uint32_t id)
{
  model_task_t *task = &model->tasks[id];
  const bench_request_t *request = &model->requests[task->request];
  int target;

  if (model->now_us > request->deadline_us)
    {
      model->result->done_us[task->request] = -1;
      return;
    }
  target = pick_target (model, request->entry);
  if (target < 0)
    {
      sim_items_add (&model->queues[request->entry], &(sim_item_t){ .b = id });
      return;
    }
  task->target = (uint32_t)target;
  ++*open_attempts_of (model, request->entry, task->target);
  model_push (model, latency (model, task), MODEL_TARGET_ARRIVE, id);
}

static void
handle_target_arrive (model_t *model, uint32_t id)
{
  model_task_t *task = &model->tasks[id];
  int64_t retry_delay_us = (int64_t)RETRY_FIRST_US << (task->tries < 6 ? task->tries : 6);

  if (model->running[task->target] < model->shape->slots)
    {
      model->running[task->target]++;
      model_push (model, model->requests[task->request].service_us[task->index], MODEL_FINISH, id);
      return;
    }
  /* The attempt and its refusal are two messages beyond the minimum. */
  model->result->wasted[task->request] += 2;
  --*open_attempts_of (model, entry_of (model, task), task->target);
  task->tries++;
  if (retry_delay_us > RETRY_MAX_US)
    retry_delay_us = RETRY_MAX_US;
  retry_delay_us =
      retry_delay_us / 2 + (int64_t)(dks_random_next (&model->random) % (uint64_t)retry_delay_us);
  model_push (model, latency (model, task) + retry_delay_us, MODEL_PICK_TARGET, id);
}

static void
handle_reply (model_t *model, uint32_t id)
{
  model_task_t *task = &model->tasks[id];
  uint32_t instance = entry_of (model, task);
  sim_items_t *queue = &model->queues[instance];

  --*open_attempts_of (model, instance, task->target);
  if (--model->tasks_left[task->request] == 0 && model->result->done_us[task->request] == 0)
    model->result->done_us[task->request] =
        model->now_us <= model->requests[task->request].deadline_us ? model->now_us : -1;
  while (model->queue_heads[instance] < queue->count)
    {
      uint32_t next = queue->items[model->queue_heads[instance]++].b;

      if (model->now_us > model->requests[model->tasks[next].request].deadline_us)
        {
          model->result->done_us[model->tasks[next].request] = -1;
          continue;
        }
      handle_pick_target (model, next);
      break;
    }
}

static void
model_event (model_t *model, const sim_item_t *item, uint32_t *task_count)
{
  const bench_request_t *request;

  switch ((model_event_t)item->a)
    {
    case MODEL_ARRIVE:
      request = &model->requests[item->b];
      for (uint32_t t = 0; t < request->task_count; t++)
        {
          model->tasks[*task_count] = (model_task_t){ .request = item->b, .index = t };
          handle_pick_target (model, (*task_count)++);
        }
      break;
    case MODEL_PICK_TARGET:
      handle_pick_target (model, item->b);
      break;
    case MODEL_TARGET_ARRIVE:
      handle_target_arrive (model, item->b);
      break;
    case MODEL_FINISH:
      model->running[model->tasks[item->b].target]--;
      model_push (model, latency (model, &model->tasks[item->b]), MODEL_REPLY, item->b);
      break;
    case MODEL_REPLY:
      handle_reply (model, item->b);
      break;
    }
}

static void
model_assign_targets (model_t *model)
{
  const bench_shape_t *shape = model->shape;
  uint32_t target = 0;
  uint32_t instance = 0;

  for (uint32_t d = 0; d < shape->data_centres; d++)
    {
      DKS_INVARIANT (shape->instances[d] > 0);
      for (uint32_t n = 0; n < shape->instances[d]; n++)
        model->instance_dc[instance + n] = d;
      for (uint32_t t = 0; t < shape->targets[d]; t++, target++)
        {
          model->target_dc[target] = d;
          model->target_owner[target] = instance + t % shape->instances[d];
        }
      instance += shape->instances[d];
    }
}

void
bench_baseline (const bench_shape_t *shape, bench_policy_t policy, uint64_t seed,
                const bench_request_t *requests, size_t count, bench_result_t *result)
{
  model_t model = {
    .shape = shape, .requests = requests, .policy = policy, .random = seed, .result = result
  };
  size_t tasks = 0;
  uint32_t task_count = 0;

  for (uint32_t d = 0; d < shape->data_centres; d++)
    {
      model.instance_count += shape->instances[d];
      model.target_count += shape->targets[d];
    }
  model.target_dc = dks_alloc (model.target_count * sizeof (uint32_t));
  model.target_owner = dks_alloc (model.target_count * sizeof (uint32_t));
  model.running = dks_alloc (model.target_count * sizeof (uint32_t));
  model.open_attempts =
      dks_alloc ((size_t)model.instance_count * model.target_count * sizeof (uint32_t));
  model.pick_count = dks_alloc (model.instance_count * sizeof (uint32_t));
  model.queues = dks_alloc (model.instance_count * sizeof (sim_items_t));
  model.queue_heads = dks_alloc (model.instance_count * sizeof (size_t));
  model.tasks_left = dks_alloc (count * sizeof (uint32_t));
  for (size_t i = 0; i < count; i++)
    {
      tasks += requests[i].task_count;
      model.tasks_left[i] = requests[i].task_count;
      result->done_us[i] = 0;
      result->wasted[i] = 0;
      sim_heap_push (&model.heap, &(sim_item_t){ .at_us = requests[i].arrival_us,
                                                 .order = model.order++,
                                                 .a = MODEL_ARRIVE,
                                                 .b = (uint32_t)i });
    }
  model.tasks = dks_alloc (tasks * sizeof (model.tasks[0]));
  model_assign_targets (&model);
  while (model.heap.count > 0)
    {
      sim_item_t item = sim_heap_pop (&model.heap);

      model.now_us = item.at_us;
      model_event (&model, &item, &task_count);
    }
  for (uint32_t i = 0; i < model.instance_count; i++)
    free (model.queues[i].items);
  free (model.target_dc);
  free (model.target_owner);
  free (model.running);
  free (model.open_attempts);
  free (model.pick_count);
  free (model.queues);
  free (model.queue_heads);
  free (model.tasks_left);
  free (model.tasks);
  free (model.heap.items);
}
