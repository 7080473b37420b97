#include "common/timer.h"

#include "common/alloc.h"

#include <stdlib.h>

struct dks_timers_t
{
  dks_timer_t **heap; /* binary heap, earliest deadline first */
  size_t count;
  size_t capacity;
  uint64_t next_order;
};

static bool
timer_is_before (const dks_timer_t *a, const dks_timer_t *b)
{
  if (a->deadline_us != b->deadline_us)
    return a->deadline_us < b->deadline_us;
  return a->order < b->order;
}

static void
heap_place (dks_timers_t *timers, size_t i, dks_timer_t *timer)
{
  timers->heap[i] = timer;
  timer->heap_position = i + 1;
}

static void
heap_sift_up (dks_timers_t *timers, size_t i)
{
  dks_timer_t *timer = timers->heap[i];

  while (i > 0)
    {
      size_t parent = (i - 1) / 2;
      if (!timer_is_before (timer, timers->heap[parent]))
        break;
      heap_place (timers, i, timers->heap[parent]);
      i = parent;
    }
  heap_place (timers, i, timer);
}

static void
heap_sift_down (dks_timers_t *timers, size_t i)
{
  dks_timer_t *timer = timers->heap[i];

  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= timers->count)
        break;
      if (child + 1 < timers->count
          && timer_is_before (timers->heap[child + 1], timers->heap[child]))
        child++;
      if (!timer_is_before (timers->heap[child], timer))
        break;
      heap_place (timers, i, timers->heap[child]);
      i = child;
    }
  heap_place (timers, i, timer);
}

dks_timers_t *
dks_timers_create (void)
{
  return dks_alloc (sizeof (dks_timers_t));
}

void
dks_timers_destroy (dks_timers_t *timers)
{
  if (timers == NULL)
    return;
  free (timers->heap);
  free (timers);
}

void
dks_timer_init (dks_timer_t *timer, dks_timer_func_t func, void *context)
{
  *timer = (dks_timer_t){ .func = func, .context = context };
}

void
dks_timer_set (dks_timers_t *timers, dks_timer_t *timer, int64_t deadline_us)
{
  dks_timer_cancel (timers, timer);
  timer->deadline_us = deadline_us;
  timer->order = timers->next_order++;
  if (timers->count == timers->capacity)
    {
      timers->capacity = timers->capacity > 0 ? 2 * timers->capacity : 16;
      timers->heap = dks_realloc (timers->heap, timers->capacity * sizeof (timers->heap[0]));
    }
  heap_place (timers, timers->count, timer);
  heap_sift_up (timers, timers->count++);
}

void
dks_timer_cancel (dks_timers_t *timers, dks_timer_t *timer)
{
  size_t i;
  dks_timer_t *last;

  if (timer->heap_position == 0)
    return;
  i = timer->heap_position - 1;
  timer->heap_position = 0;
  last = timers->heap[--timers->count];
  if (last == timer)
    return;
  heap_place (timers, i, last);
  heap_sift_up (timers, i);
  heap_sift_down (timers, last->heap_position - 1);
}

bool
dks_timer_is_armed (const dks_timer_t *timer)
{
  return timer->heap_position != 0;
}

int64_t
dks_timers_next_us (const dks_timers_t *timers)
{
  return timers->count > 0 ? timers->heap[0]->deadline_us : INT64_MAX;
}

void
dks_timers_run (dks_timers_t *timers, int64_t now_us)
{
  /* A timer that a callback arms expires in the next call at the earliest. Otherwise a callback
   * that re-arms its timer for `now_us` would loop here forever. */
  uint64_t end_order = timers->next_order;

  while (timers->count > 0)
    {
      dks_timer_t *timer = timers->heap[0];
      if (timer->deadline_us > now_us || timer->order >= end_order)
        break;
      dks_timer_cancel (timers, timer);
      timer->func (timer->context, now_us);
    }
}
