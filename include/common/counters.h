/**
 * Counters of one instance, exported in the Prometheus text format.
 */
#ifndef DKS_COMMON_COUNTERS_H
#define DKS_COMMON_COUNTERS_H

#include <stddef.h>
#include <stdint.h>

/** X(identifier, metric name without prefix, help text) */
#define DKS_COUNTERS(X)                                                                            \
  X (SUBMISSIONS, "submissions_total", "Submissions received from callers.")                       \
  X (ANSWERS_COMPLETE, "answers_complete_total", "Answers with outcome complete.")                 \
  X (ANSWERS_FAILED, "answers_failed_total", "Answers with outcome failed.")                       \
  X (ANSWERS_REFUSED, "answers_refused_total", "Answers with outcome refused (not run).")          \
  X (ANSWERS_UNKNOWN, "answers_unknown_total", "Answers with outcome unknown.")                    \
  X (ANSWERS_CANCELLED, "answers_cancelled_total", "Answers with outcome cancelled.")              \
  X (TASK_STARTS, "task_starts_total", "Task requests sent to targets.")                           \
  X (ATTEMPTS_REFUSED, "attempts_refused_total", "Attempts that a target refused before start.")   \
  X (ATTEMPTS_FAILED, "attempts_failed_total", "Attempts that failed after start.")                \
  X (RETRIES, "retries_total", "Further attempts of a task.")                                      \
  X (HEDGES, "hedges_total", "Second attempts made because the first was slow.")                   \
  X (TARGET_EJECTIONS, "target_ejections_total", "Targets taken out of rotation.")                 \
  X (FORWARDS, "forwards_total", "Submissions forwarded to their owner.")                          \
  X (CLAIMS, "claims_total", "Claims sent to a backup.")                                           \
  X (CLAIMS_REJECTED, "claims_rejected_total", "Claims that a backup rejected.")                   \
  X (TAKEOVERS, "takeovers_total", "Shards taken over from a failed owner.")                       \
  X (SLOT_GRANTS, "slot_grants_total", "Slots lent to other instances.")                           \
  X (SLOT_GRANTS_UNUSED, "slot_grants_unused_total", "Lent slots that were returned unused.")      \
  X (HEARTBEATS, "heartbeats_total", "Heartbeats sent.")                                           \
  X (PEER_MESSAGES, "peer_messages_total",                                                         \
     "Messages sent to other instances, without heartbeats.")                                      \
  X (STORE_READS, "store_reads_total", "Reads of the platform's key-value service.")               \
  X (STORE_WRITES, "store_writes_total", "Writes to the platform's key-value service.")            \
  X (STORE_CONFLICTS, "store_conflicts_total",                                                     \
     "Compare-and-swap writes rejected because the record had changed.")                           \
  X (SETTINGS_APPLIED, "settings_applied_total", "Versions of the settings tree put in force.")    \
  X (EVENTS, "events_total", "Events handled by the reducer.")                                     \
  X (BAD_INPUT, "bad_input_total", "Requests, frames and messages that could not be decoded.")

typedef enum
{
#define DKS_COUNTER_ENUM(id, name, help) DKS_COUNTER_##id,
  DKS_COUNTERS (DKS_COUNTER_ENUM)
#undef DKS_COUNTER_ENUM
      DKS_COUNTER_COUNT
} dks_counter_t;

typedef struct
{
  uint64_t values[DKS_COUNTER_COUNT];
} dks_counters_t;

/** Adds 1 to a counter. */
static inline void
dks_counter_increment (dks_counters_t *counters, dks_counter_t counter)
{
  counters->values[counter]++;
}

/** Metric name of a counter, with the prefix "damaskshore_". */
const char *dks_counter_name (dks_counter_t counter);
/** Returns all counters in the Prometheus text format, as a malloc'ed string. */
char *dks_counters_format (const dks_counters_t *counters);

#endif
