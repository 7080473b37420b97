/**
 * Targets that run tasks as HTTP requests: slots, health, choice of a target. Every target is
 * dispatched to by one instance, whose count of used slots is therefore exact.
 */
#ifndef DKS_CORE_TARGET_H
#define DKS_CORE_TARGET_H

#include "core/event.h"

#include <apr_ring.h>

typedef struct dks_target_t dks_target_t;

struct dks_target_t
{
  APR_RING_ENTRY (dks_target_t) link;
  uint32_t refs;
  dks_listed_instance_t listed;
  bool is_listed;      /**< still in the platform's list */
  bool is_own;         /**< this instance dispatches to it */
  bool is_leaving;     /**< as reported by the target's replies or the list */
  bool listed_leaving; /**< the list has shown the target as leaving; if the list shows it as live
                          later, it is a new process */
  uint32_t used_slots; /**< attempts under way */
  uint32_t failures;   /**< failed attempts in a row */
  int64_t ejected_until_us; /**< monotonic time until which the target gets no work, 0 while in
                               rotation */
  int64_t backoff_us;       /**< length of the latest ejection */
  int64_t full_until_us; /**< the target refused an attempt; it gets no work before this monotonic
                            time */
};

typedef struct
{
  APR_RING_HEAD (dks_target_ring_t, dks_target_t) ring; /**< in order of first appearance */
  uint32_t count;
  int64_t paused_until_us; /**< no target gets work before this monotonic time */
  uint32_t paused_lists;   /**< lists that must still be read to end the pause early */
} dks_targets_t;

typedef enum
{
  DKS_TARGET_UNCHANGED = 0, /**< the result did not eject the target */
  DKS_TARGET_EJECTED,       /**< taken out of rotation by this result */
} dks_target_change_t;

dks_targets_t *dks_targets_create (void);
void dks_targets_destroy (dks_targets_t *targets);
dks_target_t *dks_target_ref (dks_target_t *target);
void dks_target_unref (dks_target_t *target);
/** Stops using targets until two lists have been read, for at most 3 s. Called after this process
 * was paused: targets may have left long ago, and the first list may have been sent before the
 * pause. */
void dks_targets_pause (dks_targets_t *targets, int64_t now_us);
/** Updates the targets from the entries of `data_centre` in the platform's list. */
void dks_targets_update (dks_targets_t *targets, const dks_listed_instance_t *items, size_t count,
                         const char *data_centre);
/** Sets which targets this instance dispatches to, by rendezvous hashing over `members` (member
 * ids). */
void dks_targets_assign (dks_targets_t *targets, const char *self, const char *const *members,
                         size_t member_count);
/** Free slots of usable own targets at `now_us`. */
uint32_t dks_targets_free_slots (const dks_targets_t *targets, int64_t now_us);
/** All slots of usable own targets, used or not. */
uint32_t dks_targets_capacity (const dks_targets_t *targets, int64_t now_us);
/** Least loaded usable own target other than `except` on which `spec` fits, or NULL. */
dks_target_t *dks_targets_pick (dks_targets_t *targets, const dks_task_spec_t *spec,
                                const dks_target_t *except, int64_t now_us);
/** Whether any listed target is large enough to run `spec`. If none is, `resource` is set
 * to the name of the resource that is too small. */
bool dks_targets_can_fit (const dks_targets_t *targets, const dks_task_spec_t *spec,
                          const char **resource);
/** Records that an attempt starts. */
void dks_target_start_attempt (dks_target_t *target);
/** Records the end of an attempt. Ejects after `eject_failures` failures in a row or one lost
 * attempt, unless that would leave fewer than half of the own targets in rotation. `random` is the
 * source of the jitter. */
dks_target_change_t dks_target_finish_attempt (dks_targets_t *targets, dks_target_t *target,
                                               dks_attempt_status_t status, uint32_t eject_failures,
                                               int64_t now_us, uint64_t random);
/** Earliest time after `now_us` at which a target returns to rotation, or INT64_MAX. */
int64_t dks_targets_next_return_us (const dks_targets_t *targets, int64_t now_us);

#endif
