/**
 * Targets that run tasks under leases: what the platform tells of them, and the calls to them. A
 * run is one start of a task. It lasts until it ends, is stopped, or its target's deadline passes.
 */
#ifndef DKS_CORE_LEASE_H
#define DKS_CORE_LEASE_H

#include "core/batch.h"

enum
{
  DKS_LABELS_MAX = 8 /**< labels of one target that are read */
};

/** One target as it reported itself to the platform. */
typedef struct
{
  char id[DKS_NAME_SIZE];
  char service[DKS_NAME_SIZE];
  char address[DKS_ADDRESS_SIZE]; /**< IP:port */
  char data_centre[DKS_NAME_SIZE];
  bool leaving;
  uint32_t cpu_milli; /**< room in all, thousandths of a processor */
  uint32_t memory_mb;
  uint32_t accelerators;
  uint32_t label_count;
  char labels[DKS_LABELS_MAX][DKS_LABEL_SIZE];
  int64_t incarnation_ms; /**< start of this life of the target, Unix ms; 0: not told */
} dks_target_info_t;

/** What became of a call to a target. */
typedef enum
{
  DKS_LEASE_OK = 1,
  DKS_LEASE_FENCED,  /**< another instance has ordered it with a higher fence; nothing was done */
  DKS_LEASE_OLD_RUN, /**< this or a later run was stopped or has ended there */
  DKS_LEASE_LATE,    /**< the deadline had passed */
  DKS_LEASE_NO_ROOM,
  DKS_LEASE_INVALID,           /**< the target does not accept the call; nothing was done */
  DKS_LEASE_UNHEALTHY,         /**< the target is not healthy; nothing was done */
  DKS_LEASE_OTHER_INCARNATION, /**< the target has started anew since; nothing was done */
  DKS_LEASE_NOT_SENT,          /**< no connection */
  DKS_LEASE_UNANSWERED,        /**< may have been carried out, and may still be */
} dks_lease_status_t;

/** How a run ended. */
typedef enum
{
  DKS_RUN_DONE = 1,
  DKS_RUN_FAILED,
  DKS_RUN_STOPPED,       /**< on order */
  DKS_RUN_LEASE_EXPIRED, /**< the lease ran out */
  DKS_RUN_INTERRUPTED,   /**< other reasons that are not the task's fault */
} dks_run_end_t;

/** A run at work. */
typedef struct
{
  char task[DKS_TASK_NAME_SIZE];
  uint32_t run;
  uint32_t percent_done; /**< of its work, 0 to 100 */
} dks_active_run_t;

/** A run that ended. */
typedef struct
{
  int64_t number; /**< position in the target's list, rises from 1 */
  char task[DKS_TASK_NAME_SIZE];
  uint32_t run;
  dks_run_end_t end;
} dks_ended_run_t;

/** A target's lists of runs. */
typedef struct
{
  int64_t incarnation_ms; /**< start of this life, 0: not told */
  size_t running_count;
  const dks_active_run_t *running;
  size_t ended_count;
  const dks_ended_run_t *ended;
} dks_run_lists_t;

/** Stable name for logs. */
const char *dks_lease_status_name (dks_lease_status_t status);
const char *dks_run_end_name (dks_run_end_t end);

#endif
