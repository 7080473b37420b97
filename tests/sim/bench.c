/* damaskshore-bench: measures response times, relative to an ideal queue, and wasted messages in
 * virtual time. All figures except those of bench_micro() are the same in each run of one seed. */
#include "bench.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <getopt.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#define WARM_UP_US (5 * SIM_SECOND)         /* the instances connect to each other; no load */
#define SETTLE_US (10 * SIM_SECOND)         /* load before and after the measured window */
#define DRAIN_TIMEOUT_US (90 * SIM_SECOND)  /* time for the open requests after the window */
#define FAULT_DURATION_US (10 * SIM_SECOND) /* time from the begin of a fault to its end */

typedef enum
{
  FAULT_NONE,
  FAULT_INSTANCE_KILL,
  FAULT_INSTANCE_DRAIN,
  FAULT_TARGET_STOP,
  FAULT_TARGET_FAIL,
  FAULT_TARGET_SLOW,
  FAULT_TARGET_LEAVE,
  FAULT_STORE_DOWN,
  FAULT_CUT,
  FAULT_COUNT
} fault_t;

static const char *const fault_names[FAULT_COUNT] = {
  [FAULT_NONE] = "calm",
  [FAULT_INSTANCE_KILL] = "instance_kill",
  [FAULT_INSTANCE_DRAIN] = "instance_drain",
  [FAULT_TARGET_STOP] = "target_stop",
  [FAULT_TARGET_FAIL] = "target_fail",
  [FAULT_TARGET_SLOW] = "target_slow",
  [FAULT_TARGET_LEAVE] = "target_leave",
  [FAULT_STORE_DOWN] = "store_down",
  [FAULT_CUT] = "cut",
};

static const struct
{
  const char *name;
  bool gates_response; /* each bound of docs/design.md 1.8 is for one deployment */
  bool gates_wasted;
  bench_shape_t shape;
} deployments[] = {
  { "lexicon", true, false, { 3, { 3, 2, 2 }, { 17, 17, 16 }, 8, 200, 1500, 3000 } },
  { "consortium", false, true, { 4, { 2, 2, 2, 1 }, { 13, 13, 12, 12 }, 8, 200, 500, 1000 } },
};

static const uint32_t loads[] = { 50, 80, 95, 120 };

/* The workload of one run. Request `i` gets key `i` and chain `i` of the simulation. */
typedef struct
{
  bench_request_t *requests;
  uint32_t *services;
  size_t count;
  int64_t begin_us; /* measured window of arrivals, from begin_us until before end_us */
  int64_t end_us;
} workload_t;

static struct
{
  uint64_t seed;
  int64_t window_us;
  FILE *response_data;
  FILE *wasted_data;
  bool failed;
} bench;

static void
print_value (const char *name, double value, const char *unit, double bound, bool is_minimum)
{
  bool ok = isnan (bound) || (is_minimum ? value >= bound : value <= bound);

  printf ("{\"name\": \"%s\", \"value\": ", name);
  if (isnan (value))
    printf ("null");
  else
    printf ("%.6g", value);
  printf (", \"unit\": \"%s\"", unit);
  if (!isnan (bound))
    printf (", \"bound\": %g, \"ok\": %s", bound, ok ? "true" : "false");
  printf ("}\n");
  bench.failed = bench.failed || !ok;
}

static double
uniform (uint64_t *random)
{
  return (double)(dks_random_next (random) >> 11) * 0x1.0p-53;
}

static uint32_t
service_time (uint64_t *random)
{
  if (uniform (random) < 0.03)
    return (uint32_t)((2000 + uniform (random) * 3000) * SIM_MS);
  return (uint32_t)((50 + uniform (random) * 950) * SIM_MS);
}

/* Mean of service_time (). */
#define MEAN_SERVICE_US ((0.97 * 525 + 0.03 * 3500) * SIM_MS)

static uint32_t
task_count (uint64_t *random)
{
  double kind = uniform (random);

  if (kind < 0.70)
    return 1;
  if (kind < 0.99)
    return 2 + (uint32_t)(uniform (random) * 19);
  return 50 + (uint32_t)(uniform (random) * 151);
}

/* Mean of task_count (). */
#define MEAN_TASKS (0.70 + 0.29 * 11 + 0.01 * 125)

/* Creates Poisson arrivals whose mean work is `percent` of the capacity of all slots. */
static void
load_create (const bench_shape_t *shape, uint32_t percent, uint64_t seed, workload_t *load)
{
  uint32_t slots = 0;
  uint32_t instances = 0;
  int64_t last = WARM_UP_US + SETTLE_US + bench.window_us + SETTLE_US;
  double now = WARM_UP_US;
  double gap;
  size_t capacity;
  size_t tasks = 0;

  for (uint32_t d = 0; d < shape->data_centres; d++)
    {
      slots += shape->targets[d] * shape->slots;
      instances += shape->instances[d];
    }
  DKS_INVARIANT (slots > 0 && instances > 0);
  gap = MEAN_SERVICE_US * MEAN_TASKS / slots * 100 / percent;
  capacity = (size_t)((double)(last - WARM_UP_US) / gap * 1.2) + 100;
  load->requests = dks_alloc (capacity * sizeof (load->requests[0]));
  load->begin_us = WARM_UP_US + SETTLE_US;
  load->end_us = load->begin_us + bench.window_us;
  load->count = 0;
  for (;;)
    {
      bench_request_t *request = &load->requests[load->count];

      now -= log (1 - uniform (&seed)) * gap;
      if (now >= (double)last || load->count == capacity)
        break;
      request->arrival_us = (int64_t)now;
      request->deadline_us = request->arrival_us + (percent > 100 ? 5 : 30) * SIM_SECOND;
      request->entry = (uint32_t)(dks_random_next (&seed) % instances);
      request->team = (uint32_t)(dks_random_next (&seed) % 4);
      request->task_count = task_count (&seed);
      request->single = request->task_count == 1;
      tasks += request->task_count;
      load->count++;
    }
  load->services = dks_alloc (tasks * sizeof (load->services[0]));
  tasks = 0;
  for (size_t i = 0; i < load->count; i++)
    {
      load->requests[i].service_us = &load->services[tasks];
      for (uint32_t t = 0; t < load->requests[i].task_count; t++)
        load->services[tasks++] = service_time (&seed);
    }
}

static void
load_destroy (workload_t *load)
{
  free (load->requests);
  free (load->services);
}

static bool
in_window (const workload_t *load, size_t i)
{
  return load->requests[i].arrival_us >= load->begin_us
         && load->requests[i].arrival_us < load->end_us;
}

static int
compare_int64 (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

/* Quantiles in microseconds of the response times of requests that arrived in the window and were
 * completed; NAN if there are none. */
static void
quantiles (const workload_t *load, bool single, const int64_t *done_us, double out[3])
{
  static const double levels[3] = { 0.5, 0.99, 0.999 };
  int64_t *times = dks_alloc (load->count * sizeof (times[0]));
  size_t count = 0;

  for (size_t i = 0; i < load->count; i++)
    {
      if (in_window (load, i) && load->requests[i].single == single && done_us[i] > 0)
        times[count++] = done_us[i] - load->requests[i].arrival_us;
    }
  qsort (times, count, sizeof (times[0]), compare_int64);
  for (int q = 0; q < 3; q++)
    out[q] = count > 0 ? (double)times[(size_t)(levels[q] * (double)(count - 1))] : NAN;
  free (times);
}

/* Work of the requests that were completed in the window, as a fraction of the capacity of all
 * slots in the window. */
static double
goodput (const bench_shape_t *shape, const workload_t *load, const int64_t *done_us)
{
  double work = 0;
  double slots = 0;

  for (uint32_t d = 0; d < shape->data_centres; d++)
    slots += shape->targets[d] * shape->slots;
  for (size_t i = 0; i < load->count; i++)
    {
      if (done_us[i] < load->begin_us || done_us[i] >= load->end_us)
        continue;
      for (uint32_t t = 0; t < load->requests[i].task_count; t++)
        work += load->requests[i].service_us[t];
    }
  return work / (slots * (double)bench.window_us);
}

static double
completed_fraction (const workload_t *load, const int64_t *done_us)
{
  size_t all = 0;
  size_t done = 0;

  for (size_t i = 0; i < load->count; i++)
    {
      all += in_window (load, i);
      done += in_window (load, i) && done_us[i] > 0;
    }
  return (double)done / (double)all;
}

/* Sends request `i`; it must be called one client latency before the arrival of the request. */
static void
submit (sim_t *sim, const workload_t *load, size_t i)
{
  const bench_request_t *request = &load->requests[i];
  uint32_t index = sim_key_add (sim, request->task_count, request->single, NULL);
  sim_key_t *key = &sim->keys[index];
  sim_chain_t *chain = sim_chain_add (sim, SIM_REQUEST_SUBMIT, index, sim->now_us);

  DKS_INVARIANT (index == i);
  chain->entry_plus_one = request->entry + 1;
  memcpy (key->service_us, request->service_us, request->task_count * sizeof (uint32_t));
  key->team = request->team;
  key->deadline_ms = (request->deadline_us - request->arrival_us) / SIM_MS;
}

static const workload_t *current_load;

static void
submit_next (sim_t *sim, uint32_t i, uint32_t unused)
{
  submit (sim, current_load, i);
  if (i + 1 < current_load->count)
    sim_call_at (sim, current_load->requests[i + 1].arrival_us - sim->config.client_latency_us,
                 submit_next, i + 1, 0);
}

static void
fault_end (sim_t *sim, uint32_t fault, uint32_t index)
{
  switch ((fault_t)fault)
    {
    case FAULT_INSTANCE_KILL:
    case FAULT_INSTANCE_DRAIN:
      if (!sim->instances[index].alive)
        sim_process_start (sim, index);
      break;
    case FAULT_TARGET_STOP:
      sim_target_restart (sim, index);
      break;
    case FAULT_TARGET_FAIL:
      sim->targets[index].fails_all = false;
      break;
    case FAULT_TARGET_SLOW:
      sim->targets[index].slow_factor = 1;
      break;
    case FAULT_TARGET_LEAVE:
      sim_target_stop (sim, index);
      sim_target_add (sim, sim->targets[index].data_centre);
      break;
    case FAULT_STORE_DOWN:
      sim->store.down_faults--;
      break;
    case FAULT_CUT:
      sim->cut_counts[0][1]--;
      sim->cut_counts[1][0]--;
      sim_links_cut_changed (sim);
      break;
    default:
      break;
    }
}

static void
fault_begin (sim_t *sim, uint32_t fault, uint32_t index)
{
  switch ((fault_t)fault)
    {
    case FAULT_INSTANCE_KILL:
      sim_process_kill (sim, index, false);
      break;
    case FAULT_INSTANCE_DRAIN:
      sim_push (sim, sim->now_us, SIM_DRAIN, index, sim->instances[index].incarnation, 0, NULL);
      break;
    case FAULT_TARGET_STOP:
      sim_target_stop (sim, index);
      break;
    case FAULT_TARGET_FAIL:
      sim->targets[index].fails_all = true;
      break;
    case FAULT_TARGET_SLOW:
      sim->targets[index].slow_factor = 10;
      break;
    case FAULT_TARGET_LEAVE:
      sim_target_leave (sim, index);
      break;
    case FAULT_STORE_DOWN:
      sim->store.down_faults++;
      break;
    case FAULT_CUT:
      sim->cut_counts[0][1]++;
      sim->cut_counts[1][0]++;
      sim_links_cut_changed (sim);
      break;
    default:
      break;
    }
  sim_call_at (sim, sim->now_us + FAULT_DURATION_US, fault_end, fault, index);
}

/* Result of a run. */
typedef struct
{
  int64_t *done_us;          /* completion time per request; -1 if it was not completed */
  sim_messages_t messages;   /* sent during the window */
  double wasted_per_request; /* this and the next two: messages in the window per request that
                                arrived in it */
  double heartbeats_per_request;
  double peer_messages_per_request;
  double window_requests;  /* number that arrived in the window */
  double refusal_ms;       /* longest time from the arrival of a request to its refusal */
  double unknown_fraction; /* fraction of the requests of the window without a known outcome */
  double reducer_ns;
  uint64_t violations;
  char first_violation[256];
} run_result_t;

static uint64_t
wasted_messages (const sim_messages_t *messages)
{
  /* An attempt and its refusal are two messages, and so are a grant of a slot and its return. */
  return 2 * messages->refused_attempts + messages->second_starts + messages->aborts
         + messages->repeated + 2 * messages->returned_slots + messages->ungranted_demands;
}

static void
messages_subtract (sim_messages_t *messages, const sim_messages_t *before)
{
  for (int i = 0; i < DKS_MSG_TYPE_COUNT; i++)
    messages->peer[i] -= before->peer[i];
  messages->refused_attempts -= before->refused_attempts;
  messages->second_starts -= before->second_starts;
  messages->aborts -= before->aborts;
  messages->repeated -= before->repeated;
  messages->returned_slots -= before->returned_slots;
  messages->ungranted_demands -= before->ungranted_demands;
}

static uint64_t
peer_messages (const sim_messages_t *messages)
{
  uint64_t sum = 0;

  for (int i = 0; i < DKS_MSG_TYPE_COUNT; i++)
    sum += i == DKS_MSG_HEARTBEAT ? 0 : messages->peer[i];
  return sum;
}

static void
collect_outcomes (sim_t *sim, const workload_t *load, run_result_t *result)
{
  size_t all = 0;
  size_t unknown = 0;

  for (size_t i = 0; i < load->count; i++)
    {
      const sim_chain_t *chain = &sim->chains[i];
      double ms = (double)(chain->answered_us - chain->first_arrival_us) / SIM_MS;

      result->done_us[i] =
          chain->done && chain->outcome == DKS_OUTCOME_COMPLETE ? chain->answered_us : -1;
      if (!in_window (load, i))
        continue;
      all++;
      unknown += !chain->done || chain->outcome == DKS_OUTCOME_UNKNOWN;
      if (chain->outcome == DKS_OUTCOME_REFUSED && ms > result->refusal_ms)
        result->refusal_ms = ms;
    }
  result->unknown_fraction = (double)unknown / (double)all;
}

static void
run_reducers (size_t deployment, const workload_t *load, fault_t fault, run_result_t *result)
{
  const bench_shape_t *shape = &deployments[deployment].shape;
  sim_config_t config = { .seed = bench.seed,
                          .data_centres = shape->data_centres,
                          .slots = shape->slots,
                          .local_latency_us = shape->local_latency_us,
                          .remote_latency_us = shape->remote_latency_us,
                          .client_latency_us = shape->client_latency_us,
                          .list_lag_max_us = SIM_SECOND,
                          .measure_reducer = true };
  sim_messages_t before;
  sim_t *sim;
  double window;
  size_t requests = 0;

  memcpy (config.instances, shape->instances, sizeof (config.instances));
  memcpy (config.targets, shape->targets, sizeof (config.targets));
  memset (result, 0, sizeof (*result));
  result->done_us = dks_alloc (load->count * sizeof (result->done_us[0]));
  current_load = load;
  sim = sim_create (&config);
  sim->had_fault = fault != FAULT_NONE;
  sim_call_at (sim, load->requests[0].arrival_us - shape->client_latency_us, submit_next, 0, 0);
  if (fault != FAULT_NONE)
    sim_call_at (sim, load->begin_us + bench.window_us / 4, fault_begin, fault, 1);
  sim_run (sim, load->begin_us);
  before = sim->messages;
  sim_run (sim, load->end_us);
  for (size_t i = 0; i < load->count; i++)
    requests += in_window (load, i);
  window = (double)requests;
  result->messages = sim->messages;
  messages_subtract (&result->messages, &before);
  result->wasted_per_request = (double)wasted_messages (&result->messages) / window;
  result->heartbeats_per_request = (double)result->messages.peer[DKS_MSG_HEARTBEAT] / window;
  result->peer_messages_per_request = (double)peer_messages (&result->messages) / window;
  result->window_requests = window;
  for (int64_t end = sim->now_us + DRAIN_TIMEOUT_US; sim->now_us < end && sim->chains_open > 0;)
    sim_run (sim, sim->now_us + SIM_SECOND);
  sim_check_end (sim);
  for (int i = 0; i < SIM_CHECK_COUNT; i++)
    result->violations += sim->violations[i];
  memcpy (result->first_violation, sim->first_violation, sizeof (result->first_violation));
  result->reducer_ns = (double)sim->reducer_ns / (double)sim->reducer_events;
  collect_outcomes (sim, load, result);
  sim_destroy (sim);
}

static void
print_quantiles (const char *prefix, const char *model, const workload_t *load,
                 const int64_t *done_us, const int64_t *ideal_us, bool gated, double ratios[2][3])
{
  static const char *const names[3] = { "p50", "p99", "p99.9" };
  static const double bounds[3] = { 1.03, 1.10, NAN };
  char name[128];

  for (int single = 0; single < 2; single++)
    {
      double measured[3];
      double ideal[3];

      quantiles (load, single != 0, done_us, measured);
      quantiles (load, single != 0, ideal_us, ideal);
      for (int q = 0; q < 3; q++)
        {
          snprintf (name, sizeof (name), "%s.%s.%s.%s", prefix, model, single ? "single" : "job",
                    names[q]);
          ratios[single][q] = measured[q] / ideal[q];
          print_value (name, ratios[single][q], "ratio", gated ? bounds[q] : NAN, false);
        }
    }
}

static void
print_one (const char *prefix, const char *what, double value, const char *unit, double bound,
           bool is_minimum)
{
  char name[192];

  snprintf (name, sizeof (name), "%s.%s", prefix, what);
  print_value (name, value, unit, bound, is_minimum);
}

static void
print_table_row (const char *prefix, const char *model, double ratios[2][3], double done,
                 double wasted)
{
  fprintf (stderr, "%-28s %-12s %7.3f %7.3f %7.3f  %7.3f %7.3f %7.3f  %6.4f %9.5f\n", prefix, model,
           ratios[1][0], ratios[1][1], ratios[1][2], ratios[0][0], ratios[0][1], ratios[0][2], done,
           wasted);
}

static void
run_baselines (size_t deployment, const char *prefix, uint32_t percent, const workload_t *load,
               const int64_t *ideal_us)
{
  bench_result_t result = { dks_alloc (load->count * sizeof (int64_t)),
                            dks_alloc (load->count * sizeof (uint64_t)) };

  for (int policy = 0; policy < BENCH_POLICY_COUNT; policy++)
    {
      const char *name = bench_policy_name ((bench_policy_t)policy);
      double ratios[2][3];
      uint64_t wasted = 0;
      size_t count = 0;
      double each;
      char part[64];

      bench_baseline (&deployments[deployment].shape, (bench_policy_t)policy, bench.seed,
                      load->requests, load->count, &result);
      print_quantiles (prefix, name, load, result.done_us, ideal_us, false, ratios);
      for (size_t i = 0; i < load->count; i++)
        {
          wasted += in_window (load, i) ? result.wasted[i] : 0;
          count += in_window (load, i);
        }
      each = (double)wasted / (double)count;
      snprintf (part, sizeof (part), "%s.wasted", name);
      print_one (prefix, part, each, "messages/request", NAN, false);
      snprintf (part, sizeof (part), "%s.goodput", name);
      print_one (prefix, part, goodput (&deployments[deployment].shape, load, result.done_us),
                 "of capacity", NAN, true);
      print_table_row (prefix, name, ratios, completed_fraction (load, result.done_us), each);
      fprintf (bench.response_data, "%s %s %u %g %g\n", deployments[deployment].name, name, percent,
               ratios[1][1], ratios[0][1]);
      fprintf (bench.wasted_data, "%s %s %u %g\n", deployments[deployment].name, name, percent,
               each);
    }
  free (result.done_us);
  free (result.wasted);
}

/* Prints the wasted messages by their causes. */
static void
print_wasted (const char *prefix, const run_result_t *result)
{
  const struct
  {
    const char *name;
    uint64_t count;
  } parts[] = {
    { "damaskshore.wasted.refused_attempts", 2 * result->messages.refused_attempts },
    { "damaskshore.wasted.second_starts", result->messages.second_starts },
    { "damaskshore.wasted.aborts", result->messages.aborts },
    { "damaskshore.wasted.repeated", result->messages.repeated },
    { "damaskshore.wasted.unused_grants", 2 * result->messages.returned_slots },
    { "damaskshore.wasted.vain_demands", result->messages.ungranted_demands },
  };

  for (size_t i = 0; i < sizeof (parts) / sizeof (parts[0]); i++)
    print_one (prefix, parts[i].name, (double)parts[i].count / result->window_requests,
               "messages/request", NAN, false);
}

static void
run_scenario (size_t deployment, uint32_t percent, fault_t fault)
{
  const bench_shape_t *shape = &deployments[deployment].shape;
  bool overload = percent > 100;
  bool gates_wasted = deployments[deployment].gates_wasted && !overload;
  char prefix[96];
  workload_t load;
  run_result_t result;
  int64_t *ideal_us;
  double ratios[2][3];

  snprintf (prefix, sizeof (prefix), "%s.%s.%u", deployments[deployment].name, fault_names[fault],
            percent);
  load_create (shape, percent, bench.seed + percent, &load);
  run_reducers (deployment, &load, fault, &result);
  ideal_us = dks_alloc (load.count * sizeof (ideal_us[0]));
  bench_ideal (shape, load.requests, load.count, ideal_us);
  print_quantiles (prefix, "damaskshore", &load, result.done_us, ideal_us,
                   deployments[deployment].gates_response && percent == 80 && fault == FAULT_NONE,
                   ratios);
  print_one (prefix, "damaskshore.wasted", result.wasted_per_request, "messages/request",
             gates_wasted ? (fault == FAULT_NONE ? 0.001 : 0.01) : NAN, false);
  print_wasted (prefix, &result);
  print_one (prefix, "damaskshore.peer_messages", result.peer_messages_per_request,
             "messages/request", NAN, false);
  print_one (prefix, "damaskshore.heartbeats", result.heartbeats_per_request, "messages/request",
             NAN, false);
  print_one (prefix, "damaskshore.done", completed_fraction (&load, result.done_us), "of requests",
             NAN, true);
  print_one (prefix, "damaskshore.unknown", result.unknown_fraction, "of requests", NAN, false);
  print_one (prefix, "damaskshore.goodput", goodput (shape, &load, result.done_us), "of capacity",
             overload ? 0.95 : NAN, true);
  print_one (prefix, "damaskshore.refusal_max", result.refusal_ms, "ms", overload ? 10 : NAN,
             false);
  print_one (prefix, "damaskshore.checks", (double)result.violations, "violations", 0, false);
  if (result.violations > 0)
    fprintf (stderr, "%s: %s\n", prefix, result.first_violation);
  print_table_row (prefix, "damaskshore", ratios, completed_fraction (&load, result.done_us),
                   result.wasted_per_request);
  if (fault == FAULT_NONE)
    {
      fprintf (bench.response_data, "%s damaskshore %u %g %g\n", deployments[deployment].name,
               percent, ratios[1][1], ratios[0][1]);
      fprintf (bench.wasted_data, "%s damaskshore %u %g\n", deployments[deployment].name, percent,
               result.wasted_per_request);
      run_baselines (deployment, prefix, percent, &load, ideal_us);
    }
  free (ideal_us);
  free (result.done_us);
  load_destroy (&load);
}

static FILE *
open_data (const char *folder, const char *name)
{
  char path[512];
  FILE *file;

  snprintf (path, sizeof (path), "%s/%s", folder, name);
  file = fopen (path, "w");
  if (file == NULL)
    {
      fprintf (stderr, "cannot write %s\n", path);
      exit (2);
    }
  return file;
}

int
main (int argc, char **argv)
{
  static const struct option options[] = {
    { "seed", required_argument, NULL, 's' }, { "seconds", required_argument, NULL, 'w' },
    { "out", required_argument, NULL, 'o' },  { "load", required_argument, NULL, 'l' },
    { "calm", no_argument, NULL, 'c' },       { "micro", no_argument, NULL, 'm' },
    { "help", no_argument, NULL, 'h' },       { NULL, 0, NULL, 0 },
  };
  const char *out = "out";
  uint32_t only_percent = 0;
  bool calm = false;
  int option;

  bench.seed = 1;
  bench.window_us = 120 * SIM_SECOND;
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    {
      switch (option)
        {
        case 's':
          bench.seed = strtoull (optarg, NULL, 10);
          break;
        case 'w':
          bench.window_us = strtoll (optarg, NULL, 10) * SIM_SECOND;
          break;
        case 'o':
          out = optarg;
          break;
        case 'l':
          only_percent = (uint32_t)strtoul (optarg, NULL, 10);
          break;
        case 'c':
          calm = true;
          break;
        case 'm':
          bench_micro ();
          return 0;
        default:
          fprintf (stderr, "usage: damaskshore-bench [--seed N] [--seconds N] [--load PERCENT] "
                           "[--calm] [--out FOLDER] | --micro\n");
          return option == 'h' ? 0 : 2;
        }
    }
  if (bench.window_us <= 0)
    {
      fprintf (stderr, "bad number of seconds\n");
      return 2;
    }
  mkdir (out, 0777); /* may exist; open_data() reports any other failure */
  bench.response_data = open_data (out, "response.dat");
  bench.wasted_data = open_data (out, "wasted.dat");
  fprintf (stderr, "%-28s %-12s %-23s  %-23s  %6s %9s\n", "response time / ideal", "",
           "single p50, p99, p99.9", "job p50, p99, p99.9", "done", "wasted");
  for (size_t deployment = 0; deployment < sizeof (deployments) / sizeof (deployments[0]);
       deployment++)
    {
      for (size_t l = 0; l < sizeof (loads) / sizeof (loads[0]); l++)
        {
          if (only_percent == 0 || only_percent == loads[l])
            run_scenario (deployment, loads[l], FAULT_NONE);
        }
      for (int fault = FAULT_NONE + 1; fault < FAULT_COUNT && !calm; fault++)
        run_scenario (deployment, 80, (fault_t)fault);
    }
  fclose (bench.response_data);
  fclose (bench.wasted_data);
  return bench.failed ? 1 : 0;
}
