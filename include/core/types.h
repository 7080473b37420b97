/**
 * Basic types, bounds and outcomes shared by all parts of the reducer.
 */
#ifndef DKS_CORE_TYPES_H
#define DKS_CORE_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  DKS_NAME_SIZE = 48,       /**< bytes of an instance, data centre, team or service name with NUL */
  DKS_KEY_SIZE = 160,       /**< bytes of an idempotency key with NUL */
  DKS_FEED_KEY_SIZE = 208,  /**< bytes of a key in the platform's store, 200 at most, with NUL */
  DKS_EVACUATIONS_MAX = 64, /**< data centres that can be evacuated at the same time */
  DKS_ADDRESS_SIZE = 64,    /**< bytes of "IP:port" with NUL */
  DKS_TEXT_SIZE = 160,      /**< bytes of a human-readable detail with NUL */
  DKS_TASKS_MAX = 480,      /**< tasks of one submission */
  DKS_DATA_CENTRES_MAX = 16,
  DKS_MEMBERS_MAX = 64,         /**< instances of one data centre */
  DKS_FORMER_MAX = 32,          /**< former members in one view */
  DKS_SHARDS = 16,              /**< shards of the keys of one data centre */
  DKS_PAYLOAD_MAX = 1 << 20,    /**< bytes of one task's payload or result */
  DKS_SUBMISSION_MAX = 8 << 20, /**< bytes of one submission's body */
  DKS_RESULTS_MAX = 8 << 20     /**< bytes of all results of one submission; sent in one frame */
};

/** A point in time as the host sees it. */
typedef struct
{
  int64_t mono_us; /**< monotonic clock, microseconds */
  int64_t wall_ms; /**< Unix time, milliseconds; may step */
} dks_time_t;

/** Outcome of a submission. */
typedef enum
{
  DKS_OUTCOME_COMPLETE = 1,  /**< every task has a result */
  DKS_OUTCOME_FAILED = 2,    /**< at least one task has no result; others may have run */
  DKS_OUTCOME_REFUSED = 3,   /**< no task was started */
  DKS_OUTCOME_UNKNOWN = 4,   /**< tasks may have been started; their outcome is lost */
  DKS_OUTCOME_CANCELLED = 5, /**< cancelled by the caller */
  DKS_OUTCOME_ACCEPTED = 6,  /**< not final: the work is queued or running */
} dks_outcome_t;

/** Why an outcome is not complete. The names are part of the HTTP interface. */
typedef enum
{
  DKS_PROBLEM_NONE = 0,
  DKS_PROBLEM_BAD_REQUEST, /**< malformed submission or key */
  DKS_PROBLEM_KEY_REUSED,  /**< the key was used before with other content */
  DKS_PROBLEM_KEY_EXPIRED, /**< the record of this key has been dropped; its work is never started
                              again */
  DKS_PROBLEM_QUEUE_FULL,
  DKS_PROBLEM_QUOTA,      /**< the team's quota is used up */
  DKS_PROBLEM_DEADLINE,   /**< cannot be met, or has passed */
  DKS_PROBLEM_INFEASIBLE, /**< needs more than any target has */
  DKS_PROBLEM_DRAINING,
  DKS_PROBLEM_NO_OWNER,   /**< the owner of the key cannot be reached */
  DKS_PROBLEM_OWNER_LOST, /**< the instance that ran the work failed */
  DKS_PROBLEM_TASK_FAILED,
  DKS_PROBLEM_TARGET_LOST, /**< the target or the connection to it failed after the start */
  DKS_PROBLEM_CANCELLED,   /**< cancelled; tasks may have run or be running */
  DKS_PROBLEM_NOT_FOUND,
  DKS_PROBLEM_NO_TARGET,         /**< no usable target */
  DKS_PROBLEM_MOVED,             /**< internal: the request must be sent to the new owner */
  DKS_PROBLEM_RESULT_TOO_LARGE,  /**< the results exceed DKS_RESULTS_MAX */
  DKS_PROBLEM_CANCELLED_NOT_RUN, /**< cancelled, and no task was or will be started */
  DKS_PROBLEM_COUNT
} dks_problem_t;

/** Stable name of a problem, e.g. "queue-full"; used as urn:damaskshore:problem:NAME. */
const char *dks_problem_name (dks_problem_t problem);
/** Stable name of an outcome, e.g. "complete". */
const char *dks_outcome_name (dks_outcome_t outcome);

#endif
