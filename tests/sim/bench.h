/**
 * Workload, ideal and baselines of damaskshore-bench.
 */
#ifndef DKS_TESTS_SIM_BENCH_H
#define DKS_TESTS_SIM_BENCH_H

#include "sim.h"

/** One submission of the workload. Times are in microseconds of virtual time. */
typedef struct
{
  int64_t arrival_us;  /**< at the entry instance */
  int64_t deadline_us; /**< moment, not a span */
  uint32_t entry;      /**< index of the entry instance */
  uint32_t team;
  uint32_t task_count;
  bool single;
  const uint32_t *service_us; /**< per task */
} bench_request_t;

typedef struct
{
  uint32_t data_centres;
  uint32_t instances[SIM_DATA_CENTRES_MAX];
  uint32_t targets[SIM_DATA_CENTRES_MAX];
  uint32_t slots;
  int64_t local_latency_us;
  int64_t remote_latency_us;
  int64_t client_latency_us;
} bench_shape_t;

typedef enum
{
  BENCH_RANDOM,      /**< a uniformly random target */
  BENCH_ROUND_ROBIN, /**< each instance cycles through all targets */
  BENCH_TWO_CHOICES, /**< of two random targets, the one with fewer open attempts of this instance
                      */
  BENCH_ALONE,       /**< each instance has a queue and targets that no other instance uses */
  BENCH_POLICY_COUNT
} bench_policy_t;

/** Result of a baseline: completion times and the messages beyond the minimum. */
typedef struct
{
  int64_t *done_us; /**< completion time per request; -1 if the deadline was missed */
  uint64_t *wasted; /**< messages beyond the minimum, per request */
} bench_result_t;

const char *bench_policy_name (bench_policy_t policy);
/** Completion times of one central FIFO queue for all slots, without latency or messages. */
void bench_ideal (const bench_shape_t *shape, const bench_request_t *requests, size_t count,
                  int64_t *done_us);
void bench_baseline (const bench_shape_t *shape, bench_policy_t policy, uint64_t seed,
                     const bench_request_t *requests, size_t count, bench_result_t *result);
/** Prints the time per event and the memory of the reducer as JSON lines. */
void bench_micro (void);

#endif
