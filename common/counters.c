#include "common/counters.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdio.h>

#define DKS_COUNTER_PREFIX "damaskshore_"

static const struct
{
  const char *name;
  const char *help;
} counter_table[DKS_COUNTER_COUNT] = {
#define DKS_COUNTER_ROW(id, name, help) { DKS_COUNTER_PREFIX name, help },
  DKS_COUNTERS (DKS_COUNTER_ROW)
#undef DKS_COUNTER_ROW
};

const char *
dks_counter_name (dks_counter_t counter)
{
  return counter_table[counter].name;
}

char *
dks_counters_format (const dks_counters_t *counters)
{
  size_t capacity = (size_t)DKS_COUNTER_COUNT * 256;
  char *text = dks_alloc (capacity);
  size_t len = 0;

  for (int i = 0; i < DKS_COUNTER_COUNT; i++)
    {
      const char *name = counter_table[i].name;
      len += (size_t)snprintf (text + len, capacity - len,
                               "# HELP %s %s\n# TYPE %s counter\n%s %" PRIu64 "\n", name,
                               counter_table[i].help, name, name, counters->values[i]);
      DKS_INVARIANT (len < capacity);
    }
  return text;
}
