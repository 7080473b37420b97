/**
 * Counters and histograms with labels, in the Prometheus text format. Each metric keeps a bounded
 * number of series; samples with further label values are counted under the value "other".
 */
#ifndef DKS_COMMON_METRICS_H
#define DKS_COMMON_METRICS_H

#include <stdint.h>

/** X(identifier, metric name without prefix, first label, second label or "", help text) */
#define DKS_LABELLED_COUNTERS(X)                                                                   \
  X (JOBS, "jobs_total", "queue", "answer", "Jobs submitted to this instance, by answer.")         \
  X (REFUSALS, "refusals_total", "reason", "", "Jobs refused without being run, by reason.")       \
  X (LEASED_STARTS, "leased_starts_total", "result", "",                                           \
     "Starts of runs, by the target's answer.")                                                    \
  X (STOPS_FAILED, "stops_failed_total", "reason", "",                                             \
     "Stops of runs that targets rejected or did not answer, by the reason.")                      \
  X (RUN_ENDS, "run_ends_total", "queue", "end", "Ends of runs, as reported by their targets.")    \
  X (RUNS_MOVED, "runs_moved_total", "reason", "",                                                 \
     "Runs stopped to run their task on another target, by reason.")                               \
  X (RUNS_LOST, "runs_lost_total", "reason", "",                                                   \
     "Runs lost because their target restarted or stopped answering.")                             \
  X (HOLDS, "holds_total", "result", "",                                                           \
     "Calls that extend a target's lease or read its lists of runs.")                              \
  X (TASKS_LENT, "tasks_lent_total", "data_centre", "result",                                      \
     "Tasks lent to other data centres, by result.")                                               \
  X (PLANNED_STARTS, "planned_starts_total", "kind", "",                                           \
     "Starts by a plan: in-order, gap (before an earlier task that would fit less well) or "       \
     "in-kept-room; room-kept: targets that were kept for a task.")                                \
  X (LEADER_ENDS, "leader_ends_total", "reason", "",                                               \
     "Leadership terms of this instance that ended, by reason.")                                   \
  X (FEED_CALLS, "feed_calls_total", "feed", "result", "Calls to the platform's store.")           \
  X (CATALOGS, "catalogs_total", "source", "result",                                               \
     "Versions of the configuration received, by source (platform or peer) and result (applied, "  \
     "known or rejected).")

/** X(identifier, metric name without prefix and unit, label, help text) */
#define DKS_HISTOGRAMS(X)                                                                          \
  X (ANSWER, "answer", "queue", "Time from a job's arrival to its answer, in seconds.")            \
  X (CALLER_TIME, "caller_time", "queue",                                                          \
     "Waiting time that a job's caller announces, in seconds.")                                    \
  X (QUEUE_WAIT, "queue_wait", "queue",                                                            \
     "Time from a job's arrival to the first start of a task, in seconds.")                        \
  X (RUN, "run", "queue", "Time from the start of a run to its successful end, in seconds.")

typedef enum
{
#define DKS_LABELLED_COUNTER_ENUM(id, name, label1, label2, help) DKS_LABELLED_##id,
  DKS_LABELLED_COUNTERS (DKS_LABELLED_COUNTER_ENUM)
#undef DKS_LABELLED_COUNTER_ENUM
      DKS_LABELLED_COUNT
} dks_labelled_counter_t;

typedef enum
{
#define DKS_HISTOGRAM_ENUM(id, name, label, help) DKS_HISTOGRAM_##id,
  DKS_HISTOGRAMS (DKS_HISTOGRAM_ENUM)
#undef DKS_HISTOGRAM_ENUM
      DKS_HISTOGRAM_COUNT
} dks_histogram_t;

typedef struct dks_metrics_t dks_metrics_t;

dks_metrics_t *dks_metrics_create (void);
/** Accepts NULL. */
void dks_metrics_destroy (dks_metrics_t *metrics);
/** Adds 1 to the counter with these label values; `value2` is "" for counters with one label. */
void dks_metrics_increment (dks_metrics_t *metrics, dks_labelled_counter_t counter,
                            const char *value1, const char *value2);
/** Adds a sample of `time_us` microseconds to the histogram with this label value. */
void dks_metrics_observe (dks_metrics_t *metrics, dks_histogram_t histogram, const char *value,
                          int64_t time_us);
/** Value of the counter with these label values; 0 when it was never incremented. */
uint64_t dks_metrics_value (const dks_metrics_t *metrics, dks_labelled_counter_t counter,
                            const char *value1, const char *value2);
/** Returns all metrics in the Prometheus text format, as a malloc'ed string. */
char *dks_metrics_format (const dks_metrics_t *metrics);

#endif
