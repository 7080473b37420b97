#include "sim.h"

#include "common/alloc.h"

void
sim_items_add (sim_items_t *list, const sim_item_t *item)
{
  if (list->count == list->capacity)
    {
      list->capacity = list->capacity > 0 ? 2 * list->capacity : 16;
      list->items = dks_realloc (list->items, list->capacity * sizeof (list->items[0]));
    }
  list->items[list->count++] = *item;
}

static bool
item_before (const sim_item_t *a, const sim_item_t *b)
{
  if (a->at_us != b->at_us)
    return a->at_us < b->at_us;
  return a->order < b->order;
}

void
sim_heap_push (sim_items_t *heap, const sim_item_t *item)
{
  size_t i = heap->count;

  sim_items_add (heap, item);
  while (i > 0 && item_before (item, &heap->items[(i - 1) / 2]))
    {
      heap->items[i] = heap->items[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  heap->items[i] = *item;
}

sim_item_t
sim_heap_pop (sim_items_t *heap)
{
  sim_item_t result = heap->items[0];
  sim_item_t last = heap->items[--heap->count];
  size_t i = 0;

  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= heap->count)
        break;
      if (child + 1 < heap->count && item_before (&heap->items[child + 1], &heap->items[child]))
        child++;
      if (!item_before (&heap->items[child], &last))
        break;
      heap->items[i] = heap->items[child];
      i = child;
    }
  if (heap->count > 0)
    heap->items[i] = last;
  return result;
}
