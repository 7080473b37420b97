/**
 * The reducer: the state of one instance and the function that applies an event to it. It does no
 * I/O, reads no clock and draws no random number, so any host can drive it in real or virtual time.
 */
#ifndef DKS_CORE_REDUCER_H
#define DKS_CORE_REDUCER_H

#include "common/counters.h"
#include "core/event.h"

typedef struct dks_reducer_t dks_reducer_t;

enum
{
  DKS_SEEDS_MAX = 8 /**< seed addresses of one instance */
};

/** Configuration of one instance. */
typedef struct dks_config_t
{
  char id[DKS_NAME_SIZE];         /**< instance id, e.g. "e1" */
  uint64_t incarnation;           /**< differs at every start of the process */
  char address[DKS_ADDRESS_SIZE]; /**< IP:port of the peer port */
  char data_centre[DKS_NAME_SIZE];
  char data_centres[DKS_DATA_CENTRES_MAX][DKS_NAME_SIZE]; /**< all data centres, own included */
  size_t data_centre_count;
  uint64_t seed;        /**< seed of all random choices */
  int64_t heartbeat_us; /**< heartbeat interval within a data centre; five times this between data
                           centres */
  int64_t failure_timeout_us; /**< silence after which a peer counts as failed */
  int64_t ceiling_ms;    /**< how far beyond now a member sets its ceiling, the latest issue time of
                            keys that it accepts */
  int64_t retention_ms;  /**< how long after its issue time a key's record is kept */
  int64_t clock_skew_ms; /**< largest assumed difference between clocks */
  uint32_t claims_max;   /**< claims kept per shard */
  bool leased_targets;   /**< targets run tasks under leases; false: as HTTP requests. See
                            docs/platform.md */
  uint32_t processor_milli; /**< leased targets: processor time that the instance may use, in
                             thousandths of a processor; the largest instance leads */
  double remote_factor; /**< leased targets: run time on a rack without the task's data, relative to
                           one with it */
  bool fill_gaps; /**< leased targets: starts are chosen by a plan (core/plan.h) where the sizes of
                     tasks call for it; false: in the order of service */
  size_t seed_address_count; /**< leased targets: instances to connect to at the start */
  char seed_addresses[DKS_SEEDS_MAX][DKS_ADDRESS_SIZE]; /**< their peer ports, IP:port */
} dks_config_t;

/** Fills `config` with the default values of docs/design.md. */
void dks_config_init (dks_config_t *config);
/** Checks all values; on DKS_ERR_INVALID `detail` names the field and its allowed range. */
int dks_config_validate (const dks_config_t *config, char detail[DKS_TEXT_SIZE]);

/** New state. `config` must be valid and is copied. */
dks_reducer_t *dks_reducer_create (const dks_config_t *config, dks_time_t now);
void dks_reducer_destroy (dks_reducer_t *reducer);
/** Applies one event and appends effects. Time must not run backwards on the monotonic clock. */
void dks_reducer_apply (dks_reducer_t *reducer, const dks_event_t *event, dks_effects_t *effects);
/** Monotonic time in microseconds at which the host must send the next DKS_EVENT_TICK. */
int64_t dks_reducer_next_us (const dks_reducer_t *reducer);

/** Whether callers of batches can be served; false unless targets run tasks under leases. */
bool dks_reducer_is_ready (const dks_reducer_t *reducer);
/** Member id "ID#INCARNATION" of this instance. */
const char *dks_reducer_member_id (const dks_reducer_t *reducer);
const dks_counters_t *dks_reducer_counters (const dks_reducer_t *reducer);
/** Settings tree in force; never NULL. */
const dks_settings_t *dks_reducer_settings (const dks_reducer_t *reducer);
/** Metrics of leased targets in the Prometheus text format; malloc'ed, NULL when targets are not
 * leased. */
char *dks_reducer_metrics (const dks_reducer_t *reducer);
/** How many targets were examined to place tasks; measures the work of a leader. */
uint64_t dks_reducer_targets_scanned (const dks_reducer_t *reducer);
/** Jobs that were compared to find those which messages are about, in all; for tests of the cost.
 */
uint64_t dks_reducer_jobs_compared (const dks_reducer_t *r);
/** Checks of tasks for runs that earlier leaders started, in all; for tests of the cost. */
uint64_t dks_reducer_prior_run_checks (const dks_reducer_t *r);
/** State for operators as a JSON object: members, shards, targets, queue; malloc'ed. */
char *dks_reducer_status (const dks_reducer_t *reducer);

#endif
