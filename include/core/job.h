/**
 * Jobs at the instance that owns their keys: their tasks, attempts and waiting callers.
 */
#ifndef DKS_CORE_JOB_H
#define DKS_CORE_JOB_H

#include "common/timer.h"
#include "core/msg.h"
#include "core/target.h"
#include "core/waiter.h"

#include <apr_ring.h>

typedef struct dks_job_t dks_job_t;
typedef struct dks_attempt_t dks_attempt_t;
typedef struct dks_team_t dks_team_t;
struct dks_reducer_t;

typedef enum
{
  DKS_JOB_QUEUED = 1, /**< admitted; there is no claim, so no task has been started */
  DKS_JOB_CLAIMING,   /**< the claim has been sent and is not acknowledged */
  DKS_JOB_ACTIVE,     /**< claimed; tasks may start */
  DKS_JOB_DONE,       /**< the answer is final; attempts may still be under way */
} dks_job_state_t;

typedef struct
{
  uint32_t attempts; /**< attempts started so far */
  uint32_t running;  /**< attempts under way */
  bool finished;
  dks_task_result_t result;
} dks_task_t;

struct dks_job_t
{
  APR_RING_ENTRY (dks_job_t) link;       /**< in the team's queue or the ready list */
  APR_RING_ENTRY (dks_job_t) shard_link; /**< in the list of jobs of its shard */
  struct dks_reducer_t *reducer;
  uint32_t refs;
  dks_job_state_t state;
  bool is_cancel; /**< claims a cancelled key, so that it is not run later; has no task to run */
  dks_submission_t *submission;
  uint32_t shard;
  dks_team_t *team;
  int64_t arrived_ms;    /**< Unix ms */
  int64_t deadline_us;   /**< monotonic */
  uint64_t claim_id;     /**< id of the claim message that waits for acknowledgement, 0 for none */
  int64_t claim_sent_us; /**< monotonic time at which the claim was first sent */
  bool backup_acked;
  bool sync_acked;
  uint32_t next_task;    /**< tasks from here on have never been started */
  uint32_t retry_count;  /**< entries in `retry_tasks` */
  uint16_t *retry_tasks; /**< indices of tasks to be attempted again; allocated for all tasks */
  int64_t not_before_us; /**< backoff: no attempt is started before this monotonic time */
  size_t result_bytes;   /**< bytes of all results so far */
  uint32_t finished;     /**< number of tasks with a result */
  bool in_ready_list;
  dks_answer_t *answer;
  dks_waiter_ring_t waiters;
  dks_timer_t deadline_timer;
  dks_timer_t claim_timer;
  dks_timer_t hedge_timer;
  dks_timer_t retention_timer;
  dks_task_t tasks[];
};

APR_RING_HEAD (dks_job_ring_t, dks_job_t);
typedef struct dks_job_ring_t dks_job_ring_t;

typedef enum
{
  DKS_ATTEMPT_OWN = 1,  /**< task of this instance on an own target */
  DKS_ATTEMPT_LENT,     /**< task of a peer on an own target */
  DKS_ATTEMPT_BORROWED, /**< task of this instance on a target of a peer */
} dks_attempt_kind_t;

struct dks_attempt_t
{
  APR_RING_ENTRY (dks_attempt_t) link;
  struct dks_reducer_t *reducer;
  uint64_t id;
  dks_attempt_kind_t kind;
  dks_job_t *job;           /**< OWN and BORROWED only; holds a reference */
  uint32_t task_index;      /**< index in the job */
  dks_target_t *target;     /**< OWN and LENT only; holds a reference */
  char peer[DKS_NAME_SIZE]; /**< LENT: borrower; BORROWED: lender */
  uint64_t peer_attempt;    /**< LENT: the borrower's attempt id */
  int64_t started_us;
  dks_timer_t timer;
};

APR_RING_HEAD (dks_attempt_ring_t, dks_attempt_t);
typedef struct dks_attempt_ring_t dks_attempt_ring_t;

#endif
