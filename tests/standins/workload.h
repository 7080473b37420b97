/**
 * Work of the load driver: arrivals with the shapes of both users, and the response times of the
 * ideal dispatcher for the same arrivals.
 */
#ifndef DKS_STANDINS_WORKLOAD_H
#define DKS_STANDINS_WORKLOAD_H

#include "core/types.h"

typedef enum
{
  DKS_WORK_WARM_UP = 0, /**< requests that show that the instances are ready */
  DKS_WORK_CHALLENGE,   /**< Lexicon: a player waits */
  DKS_WORK_VALIDATION,  /**< Lexicon: job of up to 480 short tasks */
  DKS_WORK_ORDER,       /**< Consortium: unrepeatable request, a few take several seconds */
  DKS_WORK_PRICING,     /**< Consortium: job of up to 120 tasks */
  DKS_WORK_CLASSES
} dks_work_class_t;

typedef struct
{
  dks_work_class_t class;
  int64_t at_us; /**< arrival after the start of the load */
  bool single;
  bool repeatable;
  bool duplicate; /**< submitted a second time to another instance while the first is open */
  bool gives_up_if_refused; /**< not resubmitted after a refusal */
  uint32_t task_count;
  uint32_t *run_ms;
} dks_work_t;

const char *dks_work_class_name (dks_work_class_t class);
/** Requests of 50 ms, all at time 0. */
void dks_workload_warm_up (uint32_t count, dks_work_t **items, size_t *item_count);
/** Poisson arrivals over `duration_ms` that keep `busy_slots` slots busy on average, in the order
 * of arrival. */
void dks_workload_generate (uint64_t seed, int64_t duration_ms, double busy_slots,
                            dks_work_t **items, size_t *item_count);
void dks_workload_destroy (dks_work_t *items, size_t count);
/** Response times, in microseconds, of one central first-come-first-served queue over all slots
 * without any cost of dispatch or network. */
void
dks_workload_ideal (const dks_work_t *items, size_t count, uint32_t slots, int64_t *response_us);
/** Body of the submission; every payload asks for the echo "KEY/INDEX". Release with free(). */
char *
dks_work_body (const dks_work_t *work, const char *key, int64_t deadline_ms, uint64_t *random);

#endif
