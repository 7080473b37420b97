#include "workload.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  LONG_ORDER_PERCENT = 2, /* of the orders; these run 2 to 4 s */
  FULL_JOB_PERCENT = 5,   /* of the validation jobs; these have DKS_TASKS_MAX tasks */
  DUPLICATE_PERCENT = 3,  /* of the submissions */
  GIVE_UP_PERCENT = 20,   /* of the submissions */
  WARM_UP_RUN_MS = 50
};

/* What the submissions of each class look like; run times and numbers of tasks are distributed
 * uniformly between their bounds. */
static const struct
{
  const char *name;
  const char *service;
  const char *team;
  double slot_share; /* part of the busy slots that the class takes, 0 to 1 */
  uint32_t min_tasks;
  uint32_t max_tasks;
  uint32_t min_ms;
  uint32_t max_ms;
} profiles[DKS_WORK_CLASSES] = {
  { "warm-up", "lexicon", "warm-up", 0, 1, 1, WARM_UP_RUN_MS, WARM_UP_RUN_MS },
  { "challenge", "lexicon", "challenges", 0.25, 1, 1, 50, 250 },
  { "validation", "lexicon", "validation", 0.30, 10, 160, 50, 150 },
  { "order", "roasting", "orders", 0.20, 1, 1, 100, 1000 },
  { "pricing", "roasting", "pricing", 0.25, 5, 120, 100, 600 },
};

const char *
dks_work_class_name (dks_work_class_t class)
{
  return profiles[class].name;
}

static uint32_t
random_between (uint64_t *random, uint32_t min, uint32_t max)
{
  return min + (uint32_t)(dks_random_next (random) % (max - min + 1));
}

static bool
random_percent (uint64_t *random, uint32_t percent)
{
  return random_between (random, 0, 99) < percent;
}

static double
random_exponential (uint64_t *random)
{
  double uniform = ((double)(dks_random_next (random) >> 11) + 1) / ((double)(1LL << 53) + 1);

  return -log (uniform);
}

static void
work_init (dks_work_t *work, dks_work_class_t class, uint64_t *random)
{
  uint32_t min_ms = profiles[class].min_ms;
  uint32_t max_ms = profiles[class].max_ms;

  work->class = class;
  work->single = profiles[class].max_tasks == 1;
  work->repeatable = class == DKS_WORK_CHALLENGE && random_percent (random, 50);
  work->duplicate = class != DKS_WORK_WARM_UP && random_percent (random, DUPLICATE_PERCENT);
  work->gives_up_if_refused = class != DKS_WORK_WARM_UP && random_percent (random, GIVE_UP_PERCENT);
  work->task_count = random_between (random, profiles[class].min_tasks, profiles[class].max_tasks);
  if (class == DKS_WORK_VALIDATION && random_percent (random, FULL_JOB_PERCENT))
    work->task_count = DKS_TASKS_MAX;
  if (class == DKS_WORK_ORDER && random_percent (random, LONG_ORDER_PERCENT))
    {
      min_ms = 2000;
      max_ms = 4000;
    }
  work->run_ms = dks_alloc (work->task_count * sizeof (work->run_ms[0]));
  for (uint32_t i = 0; i < work->task_count; i++)
    work->run_ms[i] = random_between (random, min_ms, max_ms);
}

void
dks_workload_warm_up (uint32_t count, dks_work_t **items, size_t *item_count)
{
  uint64_t random = 0;

  *items = dks_alloc (count * sizeof (**items));
  *item_count = count;
  for (uint32_t i = 0; i < count; i++)
    work_init (&(*items)[i], DKS_WORK_WARM_UP, &random);
}

static int
compare_arrival (const void *a, const void *b)
{
  int64_t first = ((const dks_work_t *)a)->arrival_us;
  int64_t second = ((const dks_work_t *)b)->arrival_us;

  return first < second ? -1 : first > second;
}

/* Mean of the total run time of all tasks of one submission of the class, in milliseconds. */
static double
profile_work_ms (dks_work_class_t class)
{
  double tasks = (profiles[class].min_tasks + profiles[class].max_tasks) / 2.0;
  double run_ms = (profiles[class].min_ms + profiles[class].max_ms) / 2.0;

  if (class == DKS_WORK_VALIDATION)
    tasks += (DKS_TASKS_MAX - tasks) * FULL_JOB_PERCENT / 100;
  if (class == DKS_WORK_ORDER)
    run_ms += (3000 - run_ms) * LONG_ORDER_PERCENT / 100;
  return tasks * run_ms;
}

void
dks_workload_generate (uint64_t seed, int64_t duration_ms, double busy_slots, dks_work_t **items,
                       size_t *item_count)
{
  uint64_t random = seed;
  size_t capacity = 1024;
  size_t count = 0;

  *items = dks_alloc (capacity * sizeof (**items));
  for (int class = DKS_WORK_CHALLENGE; class < DKS_WORK_CLASSES; class ++)
    {
      double gap_ms = profile_work_ms (class) / (busy_slots * profiles[class].slot_share);
      double at_ms = random_exponential (&random) * gap_ms;
      while (at_ms < (double)duration_ms)
        {
          if (count == capacity)
            {
              capacity *= 2;
              *items = dks_realloc (*items, capacity * sizeof (**items));
            }
          (*items)[count] = (dks_work_t){ .arrival_us = (int64_t)(at_ms * 1000) };
          work_init (&(*items)[count++], class, &random);
          at_ms += random_exponential (&random) * gap_ms;
        }
    }
  qsort (*items, count, sizeof (**items), compare_arrival);
  *item_count = count;
}

void
dks_workload_destroy (dks_work_t *items, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (items[i].run_ms);
  free (items);
}

/* Restores the order of a binary min-heap after its first element has grown. */
static void
heap_sift_down (int64_t *heap, uint32_t count)
{
  uint32_t i = 0;

  for (;;)
    {
      uint32_t child = 2 * i + 1;
      int64_t value = heap[i];
      if (child >= count)
        return;
      if (child + 1 < count && heap[child + 1] < heap[child])
        child++;
      if (heap[child] >= value)
        return;
      heap[i] = heap[child];
      heap[child] = value;
      i = child;
    }
}

void
dks_workload_ideal (const dks_work_t *items, size_t count, uint32_t slots, int64_t *response_us)
{
  int64_t *free_at = dks_alloc (slots * sizeof (free_at[0]));

  for (size_t i = 0; i < count; i++)
    {
      int64_t end = 0;
      for (uint32_t j = 0; j < items[i].task_count; j++)
        {
          int64_t start = free_at[0] > items[i].arrival_us ? free_at[0] : items[i].arrival_us;
          free_at[0] = start + (int64_t)items[i].run_ms[j] * 1000;
          end = free_at[0] > end ? free_at[0] : end;
          heap_sift_down (free_at, slots);
        }
      response_us[i] = end - items[i].arrival_us;
    }
  free (free_at);
}

static json_t *
task_json (const dks_work_t *work, const char *key, uint32_t index, uint64_t *random)
{
  char payload[DKS_KEY_SIZE + 64];
  uint32_t run_ms = work->run_ms[index];

  snprintf (payload, sizeof (payload), "{\"run_ms\":%" PRIu32 ",\"echo\":\"%s/%" PRIu32 "\"}",
            run_ms, key, index);
  /* Callers often declare run times that are far from the actual ones. */
  return json_pack ("{s:s,s:i}", "payload", payload, "run_ms",
                    (int)random_between (random, run_ms / 2, run_ms * 2));
}

char *
dks_work_body (const dks_work_t *work, const char *key, int64_t deadline_ms, uint64_t *random)
{
  json_t *body = json_pack ("{s:s,s:s,s:I,s:b}", "service", profiles[work->class].service, "team",
                            profiles[work->class].team, "deadline_ms", (json_int_t)deadline_ms,
                            "repeatable", (int)work->repeatable);
  json_t *tasks;
  char *text;

  if (work->single)
    {
      json_object_set_new (body, "task", task_json (work, key, 0, random));
    }
  else
    {
      tasks = json_array ();
      for (uint32_t i = 0; i < work->task_count; i++)
        json_array_append_new (tasks, task_json (work, key, i, random));
      json_object_set_new (body, "tasks", tasks);
    }
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}
