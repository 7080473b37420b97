#include "common/metrics.h"

#include "common/alloc.h"
#include "common/error.h"

#include <apr_ring.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define METRIC_PREFIX "damaskshore_"
#define OTHER_VALUE "other"

enum
{
  LABEL_VALUE_SIZE = 64,       /* bytes of a label value with NUL; longer values are truncated */
  SERIES_PER_FAMILY_MAX = 256, /* further label values are counted in a series "other" */
  BUCKET_COUNT = 13
};

/* Upper bounds of the histogram buckets in microseconds: from a round trip within a data centre to
 * a long job. */
static const int64_t bucket_bounds_us[BUCKET_COUNT] = { 1000,    2000,    5000,    10000,  20000,
                                                        50000,   100000,  200000,  500000, 1000000,
                                                        2000000, 5000000, 10000000 };

typedef struct series_t series_t;

struct series_t
{
  APR_RING_ENTRY (series_t) link;
  char label_values[2][LABEL_VALUE_SIZE];
  uint64_t count;
  int64_t sum_us;                 /* histograms only: sum of all samples */
  uint64_t buckets[BUCKET_COUNT]; /* histograms only: samples above the previous bucket's bound, up
                                     to this one's */
};
APR_RING_HEAD (series_ring_t, series_t);

typedef struct
{
  struct series_ring_t series_list;
  uint32_t series_count;
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
#define ROW(id, name, label1, label2, help) { METRIC_PREFIX name, { label1, label2 }, help },
  DKS_LABELLED_COUNTERS (ROW)
#undef ROW
};

static const struct
{
  const char *name;
  const char *label;
  const char *help;
} histogram_table[DKS_HISTOGRAM_COUNT] = {
#define ROW(id, name, label, help) { METRIC_PREFIX name "_seconds", label, help },
  DKS_HISTOGRAMS (ROW)
#undef ROW
};

static void
family_init (family_t *family)
{
  APR_RING_INIT (&family->series_list, series_t, link);
}

static void
family_clear (family_t *family)
{
  while (!APR_RING_EMPTY (&family->series_list, series_t, link))
    {
      series_t *series = APR_RING_FIRST (&family->series_list);

      APR_RING_REMOVE (series, link);
      free (series);
    }
}

static series_t *
family_find (const family_t *family, const char *value1, const char *value2)
{
  series_t *series;

  APR_RING_FOREACH (series, &family->series_list, series_t, link)
    {
      if (strncmp (series->label_values[0], value1, LABEL_VALUE_SIZE - 1) == 0
          && strncmp (series->label_values[1], value2, LABEL_VALUE_SIZE - 1) == 0)
        return series;
    }
  return NULL;
}

static series_t *
family_get_or_create (family_t *family, const char *value1, const char *value2)
{
  series_t *series = family_find (family, value1, value2);

  if (series != NULL)
    return series;
  if (family->series_count >= SERIES_PER_FAMILY_MAX && strcmp (value1, OTHER_VALUE) != 0)
    return family_get_or_create (family, OTHER_VALUE, value2[0] != '\0' ? OTHER_VALUE : "");
  series = dks_alloc (sizeof (*series));
  snprintf (series->label_values[0], LABEL_VALUE_SIZE, "%s", value1);
  snprintf (series->label_values[1], LABEL_VALUE_SIZE, "%s", value2);
  APR_RING_INSERT_TAIL (&family->series_list, series, series_t, link);
  family->series_count++;
  return series;
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
dks_metrics_increment (dks_metrics_t *metrics, dks_labelled_counter_t counter, const char *value1,
                       const char *value2)
{
  family_get_or_create (&metrics->counters[counter], value1, value2)->count++;
}

void
dks_metrics_observe (dks_metrics_t *metrics, dks_histogram_t histogram, const char *value,
                     int64_t time_us)
{
  series_t *series = family_get_or_create (&metrics->histograms[histogram], value, "");

  series->count++;
  series->sum_us += time_us;
  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      if (time_us > bucket_bounds_us[i])
        continue;
      series->buckets[i]++;
      return;
    }
}

uint64_t
dks_metrics_value (const dks_metrics_t *metrics, dks_labelled_counter_t counter, const char *value1,
                   const char *value2)
{
  const series_t *series = family_find (&metrics->counters[counter], value1, value2);

  return series != NULL ? series->count : 0;
}

/* Text format */

/* Writes a label and its value, with backslashes, quotes and newlines escaped. */
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
write_header (FILE *stream, const char *name, const char *help, const char *type)
{
  fprintf (stream, "# HELP %s %s\n# TYPE %s %s\n", name, help, name, type);
}

static void
write_counter (FILE *stream, const dks_metrics_t *metrics, int i)
{
  const series_t *series;

  write_header (stream, counter_table[i].name, counter_table[i].help, "counter");
  APR_RING_FOREACH (series, &metrics->counters[i].series_list, series_t, link)
    {
      fprintf (stream, "%s{", counter_table[i].name);
      write_label (stream, counter_table[i].labels[0], series->label_values[0]);
      if (counter_table[i].labels[1][0] != '\0')
        {
          fputc (',', stream);
          write_label (stream, counter_table[i].labels[1], series->label_values[1]);
        }
      fprintf (stream, "} %" PRIu64 "\n", series->count);
    }
}

static void
write_sample_start (FILE *stream, int i, const char *suffix, const series_t *series)
{
  fprintf (stream, "%s%s{", histogram_table[i].name, suffix);
  write_label (stream, histogram_table[i].label, series->label_values[0]);
}

static void
write_histogram (FILE *stream, const dks_metrics_t *metrics, int i)
{
  const series_t *series;

  write_header (stream, histogram_table[i].name, histogram_table[i].help, "histogram");
  APR_RING_FOREACH (series, &metrics->histograms[i].series_list, series_t, link)
    {
      uint64_t cumulative = 0;

      for (int j = 0; j < BUCKET_COUNT; j++)
        {
          cumulative += series->buckets[j];
          write_sample_start (stream, i, "_bucket", series);
          fprintf (stream, ",le=\"%g\"} %" PRIu64 "\n", (double)bucket_bounds_us[j] / 1e6,
                   cumulative);
        }
      write_sample_start (stream, i, "_bucket", series);
      fprintf (stream, ",le=\"+Inf\"} %" PRIu64 "\n", series->count);
      write_sample_start (stream, i, "_sum", series);
      fprintf (stream, "} %.6f\n", (double)series->sum_us / 1e6);
      write_sample_start (stream, i, "_count", series);
      fprintf (stream, "} %" PRIu64 "\n", series->count);
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
