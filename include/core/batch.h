/**
 * A batch is a job for targets under lease: steps of equal tasks that share one specification. It
 * is dropped when the connection of its caller closes. Reference-counted and immutable once shared.
 */
#ifndef DKS_CORE_BATCH_H
#define DKS_CORE_BATCH_H

#include "common/blob.h"
#include "core/types.h"

enum
{
  DKS_BATCH_ID_SIZE = 40,                     /**< bytes of a job's id with NUL */
  DKS_BATCH_SPEC_MAX = 16384,                 /**< bytes of a specification */
  DKS_BATCH_STEPS_MAX = 32,                   /**< steps of one job; a mask of steps has 32 bits */
  DKS_BATCH_SPAN_MAX_S = 86400,               /**< longest age, objective or time of its caller */
  DKS_LABEL_SIZE = 32,                        /**< bytes of a label with NUL */
  DKS_TASK_NAME_SIZE = DKS_BATCH_ID_SIZE + 40 /**< "ID.OCCURRENCE.STEP.INDEX" with NUL */
};

typedef struct
{
  uint32_t count;          /**< tasks, 1 or more */
  uint32_t cpu_milli;      /**< thousandths of a processor, each task */
  uint32_t memory_mb;      /**< each task */
  uint32_t accelerators;   /**< each task */
  uint32_t estimate_ms;    /**< declared run time of one task; only a rough estimate */
  uint32_t after_mask;     /**< bit mask of earlier steps that must end before this step starts */
  uint32_t max_per_target; /**< tasks of this step on one target, 0 for no bound */
  char required_label[DKS_LABEL_SIZE];  /**< label that the target must have, or empty */
  char preferred_label[DKS_LABEL_SIZE]; /**< label of the rack with the data, or empty */
} dks_batch_step_t;

typedef struct
{
  uint32_t refs;
  char id[DKS_BATCH_ID_SIZE];
  char service[DKS_NAME_SIZE];
  char queue[DKS_NAME_SIZE]; /**< queue of the job; jobs of one queue are similar */
  uint32_t priority;         /**< priority of its queue; 0 is served first */
  uint32_t max_attempts;     /**< how often one task may be started */
  dks_blob_t *spec;          /**< specification, passed to the targets unchanged */
  uint32_t task_count;       /**< tasks of all steps */
  uint32_t step_count;
  dks_batch_step_t steps[];
} dks_batch_t;

/** New job with `step_count` empty steps and one reference. */
dks_batch_t *dks_batch_create (uint32_t step_count);
dks_batch_t *dks_batch_ref (dks_batch_t *batch);
/** Drops a reference; accepts NULL. */
void dks_batch_unref (dks_batch_t *batch);
/** Whether `id` may name a job: 1 to DKS_BATCH_ID_SIZE - 1 letters, digits, '-' and '_' (ASCII).
 * The names of tasks, log lines and messages to targets contain it. */
bool dks_batch_id_is_valid (const char *id);
/** Checks the bounds of all steps and sets `task_count`. Returns DKS_ERR_INVALID or
 * DKS_ERR_TOO_LARGE. */
int dks_batch_validate (dks_batch_t *batch);
/** Limits a duration in microseconds to 0 to DKS_BATCH_SPAN_MAX_S, as messages require. */
int64_t dks_batch_limit_span_us (int64_t us);
/** Critical path: sum of the declared run times on the longest chain of dependent steps, ms;
 * UINT32_MAX when it is longer than that. */
uint32_t dks_batch_critical_path_ms (const dks_batch_t *batch);
/** Name of a task, "ID.0.STEP.INDEX". */
void
dks_batch_task_name (const char *id, uint32_t step, uint32_t index, char name[DKS_TASK_NAME_SIZE]);

#endif
