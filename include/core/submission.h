/**
 * Submissions of callers, and the answers to them. Both are reference-counted and
 * immutable once shared.
 */
#ifndef DKS_CORE_SUBMISSION_H
#define DKS_CORE_SUBMISSION_H

#include "common/blob.h"
#include "core/types.h"

/** One task as declared by the caller. */
typedef struct
{
  dks_blob_t *payload;
  uint32_t run_ms;       /**< declared run time, 0 when not given */
  uint32_t cpus;         /**< 0 when not given */
  uint32_t memory_mb;    /**< 0 when not given */
  uint32_t accelerators; /**< 0 when not given */
} dks_task_spec_t;

typedef struct
{
  uint32_t refs;
  char key[DKS_KEY_SIZE];
  char service[DKS_NAME_SIZE];
  char team[DKS_NAME_SIZE];
  int64_t issued_ms;   /**< issue time taken from the key, Unix ms */
  int64_t deadline_ms; /**< Unix ms */
  bool single;         /**< a single request rather than a job */
  bool repeatable;     /**< a task may be attempted more than once; applies only when `single` */
  bool respond_async;  /**< answer ACCEPTED at once */
  uint64_t digest; /**< hash of the content, to detect a key that is reused with other content */
  uint32_t task_count; /**< 1 to DKS_TASKS_MAX */
  dks_task_spec_t tasks[];
} dks_submission_t;

/** New submission with `task_count` empty tasks and one reference. */
dks_submission_t *dks_submission_create (uint32_t task_count);
dks_submission_t *dks_submission_ref (dks_submission_t *submission);
void dks_submission_unref (dks_submission_t *submission);
/** Computes `digest` from service, team, flags and tasks. The deadline is left out, since a
 * resubmission may extend it. */
void dks_submission_set_digest (dks_submission_t *submission);

/** Result of one task. */
typedef struct
{
  bool ok;
  dks_problem_t problem; /**< cause of the failure when `ok` is false */
  dks_blob_t *body;      /**< result bytes, or NULL */
} dks_task_result_t;

typedef struct
{
  uint32_t refs;
  char key[DKS_KEY_SIZE];
  dks_outcome_t outcome;
  dks_problem_t problem;
  uint32_t retry_after_ms;    /**< 0: the answer has no retry advice */
  char detail[DKS_TEXT_SIZE]; /**< human-readable */
  uint32_t task_count;        /**< number of results; 0 unless the outcome is COMPLETE or FAILED */
  dks_task_result_t tasks[];
} dks_answer_t;

/** New answer with `task_count` empty results and one reference. */
dks_answer_t *dks_answer_create (const char *key, dks_outcome_t outcome, dks_problem_t problem,
                                 uint32_t task_count);
dks_answer_t *dks_answer_ref (dks_answer_t *answer);
void dks_answer_unref (dks_answer_t *answer);

#endif
