#include "common/metrics.h"

#include "common/alloc.h"
#include "common/error.h"

#include <apr_ring.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PREFIX "damaskshore_"
#define OTHER "other"

enum
{
  VALUE_SIZE = 64, /* bytes of a label value with NUL; longer ones are cut */
  ENTRIES_MAX = 256,
  BUCKET_COUNT = 13
};

/* Upper bounds, us: from a round trip in a data centre to a long job. */
static const int64_t bucket_us[BUCKET_COUNT] = { 1000,    2000,    5000,    10000,  20000,
                                                 50000,   100000,  200000,  500000, 1000000,
                                                 2000000, 5000000, 10000000 };

typedef struct entry_t entry_t;

struct entry_t
{
  APR_RING_ENTRY (entry_t) link;
  char values[2][VALUE_SIZE];
  uint64_t count;
  int64_t sum_us;                 /* histograms only, as is the next */
  uint64_t buckets[BUCKET_COUNT]; /* samples above the bound before and up to the own one */
};
APR_RING_HEAD (entry_ring_t, entry_t);

typedef struct
{
  struct entry_ring_t entries;
  uint32_t entry_count;
} family_t;

struct dks_metrics_t
{
  family_t counters[DKS_LABELLED_COUNT];
  family_t histograms[DKS_HISTOGRAM_COUNT];
};

static const struct
{
  const char *name;
  const char *labels[2];
  const char *help;
} counter_table[DKS_LABELLED_COUNT] = {
#define ROW(id, name, label1, label2, help) { PREFIX name, { label1, label2 }, help },
  DKS_LABELLED_COUNTERS (ROW)
#undef ROW
};

static const struct
{
  const char *name;
  const char *label;
  const char *help;
} histogram_table[DKS_HISTOGRAM_COUNT] = {
#define ROW(id, name, label, help) { PREFIX name "_seconds", label, help },
  DKS_HISTOGRAMS (ROW)
#undef ROW
};

static void
family_init (family_t *family)
{
  APR_RING_INIT (&family->entries, entry_t, link);
}

static void
family_clear (family_t *family)
{
  while (!APR_RING_EMPTY (&family->entries, entry_t, link))
    {
      entry_t *entry = APR_RING_FIRST (&family->entries);

      APR_RING_REMOVE (entry, link);
      free (entry);
    }
}

static entry_t *
family_find (const family_t *family, const char *value1, const char *value2)
{
  entry_t *entry;

  APR_RING_FOREACH (entry, &family->entries, entry_t, link)
    {
      if (strncmp (entry->values[0], value1, VALUE_SIZE - 1) == 0
          && strncmp (entry->values[1], value2, VALUE_SIZE - 1) == 0)
        return entry;
    }
  return NULL;
}

static entry_t *
family_obtain (family_t *family, const char *value1, const char *value2)
{
  entry_t *entry = family_find (family, value1, value2);

  if (entry != NULL)
    return entry;
  if (family->entry_count >= ENTRIES_MAX && strcmp (value1, OTHER) != 0)
    return family_obtain (family, OTHER, value2[0] != '\0' ? OTHER : "");
  entry = dks_alloc (sizeof (*entry));
  snprintf (entry->values[0], VALUE_SIZE, "%s", value1);
  snprintf (entry->values[1], VALUE_SIZE, "%s", value2);
  APR_RING_INSERT_TAIL (&family->entries, entry, entry_t, link);
  family->entry_count++;
  return entry;
}

dks_metrics_t *
dks_metrics_create (void)
{
  dks_metrics_t *metrics = dks_alloc (sizeof (*metrics));

  for (int i = 0; i < DKS_LABELLED_COUNT; i++)
    family_init (&metrics->counters[i]);
  for (int i = 0; i < DKS_HISTOGRAM_COUNT; i++)
    family_init (&metrics->histograms[i]);
  return metrics;
}

void
dks_metrics_destroy (dks_metrics_t *metrics)
{
  if (metrics == NULL)
    return;
  for (int i = 0; i < DKS_LABELLED_COUNT; i++)
    family_clear (&metrics->counters[i]);
  for (int i = 0; i < DKS_HISTOGRAM_COUNT; i++)
    family_clear (&metrics->histograms[i]);
  free (metrics);
}

void
dks_metrics_count (dks_metrics_t *metrics, dks_labelled_counter_t counter, const char *value1,
                   const char *value2)
{
  family_obtain (&metrics->counters[counter], value1, value2)->count++;
}

void
dks_metrics_observe (dks_metrics_t *metrics, dks_histogram_t histogram, const char *value,
                     int64_t time_us)
{
  entry_t *entry = family_obtain (&metrics->histograms[histogram], value, "");

  entry->count++;
  entry->sum_us += time_us;
  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      if (time_us > bucket_us[i])
        continue;
      entry->buckets[i]++;
      return;
    }
}

uint64_t
dks_metrics_value (const dks_metrics_t *metrics, dks_labelled_counter_t counter, const char *value1,
                   const char *value2)
{
  const entry_t *entry = family_find (&metrics->counters[counter], value1, value2);

  return entry != NULL ? entry->count : 0;
}

/* Text format */

/* A label with its value: backslashes, quotes and newlines are escaped. */
static void
write_label (FILE *stream, const char *name, const char *value)
{
  fprintf (stream, "%s=\"", name);
  for (; *value != '\0'; value++)
    {
      if (*value == '\n')
        fputs ("\\n", stream);
      else if (*value == '\\' || *value == '"')
        fprintf (stream, "\\%c", *value);
      else
        fputc (*value, stream);
    }
  fputc ('"', stream);
}

static void
write_head (FILE *stream, const char *name, const char *help, const char *type)
{
  fprintf (stream, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
write_counter (FILE *stream, const dks_metrics_t *metrics, int i)
{
  const entry_t *entry;

  write_head (stream, counter_table[i].name, counter_table[i].help, "counter");
  APR_RING_FOREACH (entry, &metrics->counters[i].entries, entry_t, link)
    {
      fprintf (stream, "%s{", counter_table[i].name);
      write_label (stream, counter_table[i].labels[0], entry->values[0]);
      if (counter_table[i].labels[1][0] != '\0')
        {
          fputc (',', stream);
          write_label (stream, counter_table[i].labels[1], entry->values[1]);
        }
      fprintf (stream, "} %" PRIu64 "\n", entry->count);
    }
}

static void
write_sample (FILE *stream, int i, const char *part, const entry_t *entry)
{
  fprintf (stream, "%s%s{", histogram_table[i].name, part);
  write_label (stream, histogram_table[i].label, entry->values[0]);
}

static void
write_histogram (FILE *stream, const dks_metrics_t *metrics, int i)
{
  const entry_t *entry;

  write_head (stream, histogram_table[i].name, histogram_table[i].help, "histogram");
  APR_RING_FOREACH (entry, &metrics->histograms[i].entries, entry_t, link)
    {
      uint64_t below = 0;

      for (int j = 0; j < BUCKET_COUNT; j++)
        {
          below += entry->buckets[j];
          write_sample (stream, i, "_bucket", entry);
          fprintf (stream, ",le=\"%g\"} %" PRIu64 "\n", (double)bucket_us[j] / 1e6, below);
        }
      write_sample (stream, i, "_bucket", entry);
      fprintf (stream, ",le=\"+Inf\"} %" PRIu64 "\n", entry->count);
      write_sample (stream, i, "_sum", entry);
      fprintf (stream, "} %.6f\n", (double)entry->sum_us / 1e6);
      write_sample (stream, i, "_count", entry);
      fprintf (stream, "} %" PRIu64 "\n", entry->count);
    }
}

char *
dks_metrics_format (const dks_metrics_t *metrics)
{
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);

  DKS_INVARIANT (stream != NULL);
  for (int i = 0; i < DKS_LABELLED_COUNT; i++)
    write_counter (stream, metrics, i);
  for (int i = 0; i < DKS_HISTOGRAM_COUNT; i++)
    write_histogram (stream, metrics, i);
  DKS_INVARIANT (fclose (stream) == 0);
  return text;
}
