/**
 * Targets that run tasks under leases: what the platform reports about them, and the results of
 * calls to them. A run is one start of a task. It lasts until it ends or is stopped, or until the
 * lease of its target expires.
 */
#ifndef DKS_CORE_LEASE_H
#define DKS_CORE_LEASE_H

#include "core/batch.h"

enum
{
  DKS_LABELS_MAX = 8 /**< labels of one target that are read */
};

/** One target, as it is registered at the platform. */
typedef struct
{
  char id[DKS_NAME_SIZE];
  char service[DKS_NAME_SIZE];
  char address[DKS_ADDRESS_SIZE]; /**< IP:port */
  char data_centre[DKS_NAME_SIZE];
  bool leaving;
  uint32_t cpu_milli;    /**< total capacity, thousandths of a processor */
  uint32_t memory_mb;    /**< total capacity */
  uint32_t accelerators; /**< total capacity */
  uint32_t label_count;
  char labels[DKS_LABELS_MAX][DKS_LABEL_SIZE];
  int64_t incarnation_ms; /**< start of this incarnation, Unix ms; 0 when not reported */
} dks_target_info_t;

/** Result of a call to a target. */
typedef enum
{
  DKS_LEASE_OK = 1,
  DKS_LEASE_FENCED,  /**< the target has seen a higher fencing token, from another instance; nothing
                        was done */
  DKS_LEASE_OLD_RUN, /**< this or a later run of the task was stopped or has ended at the target */
  DKS_LEASE_LATE,    /**< the deadline in the call had passed */
  DKS_LEASE_NO_CAPACITY,       /**< the target has no free capacity for the run */
  DKS_LEASE_INVALID,           /**< the target rejects the content of the call; nothing was done */
  DKS_LEASE_UNHEALTHY,         /**< the target is not healthy; nothing was done */
  DKS_LEASE_OTHER_INCARNATION, /**< the target has restarted: it is another incarnation; nothing was
                                  done */
  DKS_LEASE_NOT_SENT,          /**< there was no connection; the call was not sent */
  DKS_LEASE_REFUSED,    /**< nothing listens at the target's address; the call was not sent */
  DKS_LEASE_UNANSWERED, /**< no answer: the call may have been carried out, or may be later */
} dks_lease_status_t;

/** How a run ended. */
typedef enum
{
  DKS_RUN_DONE = 1,
  DKS_RUN_FAILED,
  DKS_RUN_STOPPED,       /**< stopped by a call */
  DKS_RUN_LEASE_EXPIRED, /**< the lease of the target expired */
  DKS_RUN_INTERRUPTED,   /**< ended for another reason that is not a fault of the task */
} dks_run_end_t;

/** A run that is under way. */
typedef struct
{
  char task[DKS_TASK_NAME_SIZE];
  uint32_t run;
  uint32_t percent_done; /**< progress, 0 to 100 */
} dks_active_run_t;

/** A run that ended. */
typedef struct
{
  int64_t number; /**< position in the target's list of ended runs, rises from 1 */
  char task[DKS_TASK_NAME_SIZE];
  uint32_t run;
  dks_run_end_t end;
} dks_ended_run_t;

/** A target's lists of active and ended runs. */
typedef struct
{
  int64_t incarnation_ms; /**< start of the target's incarnation, Unix ms; 0: unknown */
  size_t running_count;
  const dks_active_run_t *running;
  size_t ended_count;
  const dks_ended_run_t *ended;
} dks_run_lists_t;

/** Stable name of a status, used in log lines. */
const char *dks_lease_status_name (dks_lease_status_t status);
/** Stable name of an end, used in log lines. */
const char *dks_run_end_name (dks_run_end_t end);

#endif
