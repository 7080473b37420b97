/**
 * Workload of the load driver: random submissions modelled on the two users, Lexicon and
 * Consortium, and the response times that an ideal dispatcher would have for these submissions.
 */
#ifndef DKS_STANDINS_WORKLOAD_H
#define DKS_STANDINS_WORKLOAD_H

#include "core/types.h"

typedef enum
{
  DKS_WORK_WARM_UP = 0, /**< requests sent before the load, to check that the instances are ready */
  DKS_WORK_CHALLENGE,   /**< Lexicon: single short task whose result a player waits for */
  DKS_WORK_VALIDATION,  /**< Lexicon: job of up to 480 short tasks */
  DKS_WORK_ORDER,   /**< Consortium: single task that must not be repeated; a few take seconds */
  DKS_WORK_PRICING, /**< Consortium: job of up to 120 tasks */
  DKS_WORK_CLASSES
} dks_work_class_t;

typedef struct
{
  dks_work_class_t class;
  int64_t arrival_us; /**< time of arrival, from the start of the load */
  bool single;
  bool repeatable;
  bool duplicate; /**< submitted a second time to another instance while the first is open */
  bool gives_up_if_refused; /**< the caller does not resubmit it after a refusal */
  uint32_t task_count;
  uint32_t *run_ms;
} dks_work_t;

const char *dks_work_class_name (dks_work_class_t class);
/** Allocates `count` requests with a run time of 50 ms that all arrive at time 0. */
void dks_workload_warm_up (uint32_t count, dks_work_t **items, size_t *item_count);
/** Allocates submissions with Poisson arrivals over `duration_ms` that keep `busy_slots` slots busy
 * on average. The items are sorted by time of arrival. */
void dks_workload_generate (uint64_t seed, int64_t duration_ms, double busy_slots,
                            dks_work_t **items, size_t *item_count);
void dks_workload_destroy (dks_work_t *items, size_t count);
/** Computes the response time of each item, in microseconds, with one central
 * first-come-first-served queue for all slots and no cost of dispatch or network. */
void
dks_workload_ideal (const dks_work_t *items, size_t count, uint32_t slots, int64_t *response_us);
/** JSON body of the submission; the payload of each task makes the target return "KEY/INDEX".
 * Release with free(). */
char *
dks_work_body (const dks_work_t *work, const char *key, int64_t deadline_ms, uint64_t *random);

#endif
