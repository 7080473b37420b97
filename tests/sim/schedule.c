/* damaskshore-schedule: runs a random schedule of requests and faults for each seed and reports
 * violated requirements. */
#include "sim.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <getopt.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/** X(identifier, name). inject_fault() lists those that never justify an answer "unknown". */
#define FAULTS(X)                                                                                  \
  X (KILL, "kill")                                                                                 \
  X (FREEZE, "freeze")                                                                             \
  X (CUT, "cut")                                                                                   \
  X (STORE_DOWN, "store-down")                                                                     \
  X (STORE_SLOW, "store-slow")                                                                     \
  X (STORE_LOST, "store-lost")                                                                     \
  X (TARGET_FAIL, "target-fail")                                                                   \
  X (TARGET_FREEZE, "target-freeze")                                                               \
  X (TARGET_SLOW, "target-slow")                                                                   \
  X (TARGET_LEAVE, "target-leave")                                                                 \
  X (DRAIN, "drain")                                                                               \
  X (RESTART, "restart")                                                                           \
  X (CANCEL, "cancel")                                                                             \
  X (BURST, "burst")                                                                               \
  X (EDIT, "edit")

typedef enum
{
#define FAULT_ENUM(id, name) FAULT_##id,
  FAULTS (FAULT_ENUM)
#undef FAULT_ENUM
      FAULT_COUNT
} fault_t;

static const char *const fault_names[FAULT_COUNT] = {
#define FAULT_NAME(id, name) name,
  FAULTS (FAULT_NAME)
#undef FAULT_NAME
};

/* Phases of a run, in virtual time since its start. */
#define LOAD_END_US (30 * SIM_SECOND)        /* end of new work; faults begin until 1 s before */
#define HEAL_US (34 * SIM_SECOND)            /* heal() ends all faults that are left */
#define PROBE_US (HEAL_US + 25 * SIM_SECOND) /* new work must complete from here on */
#define END_US (HEAL_US + 60 * SIM_SECOND)   /* each request must have its final answer */

typedef struct
{
  uint64_t seeds;
  uint64_t events;
  uint64_t failed_seeds;
  uint64_t faults[FAULT_COUNT];
  uint64_t outcomes[DKS_OUTCOME_ACCEPTED + 1];
  uint64_t violations[SIM_CHECK_COUNT];
  uint64_t first_seed;
  char first_violation[256];
} report_t;

static report_t report;
static char abort_text[64]; /* message of handle_abort() with the current seed */
static size_t abort_length;
static bool is_counting; /* false in the second run of a replay, which only compares hashes */

/* Active faults that may delay settings: only cuts and an unreachable store. */
static uint32_t settings_fault_count;

static void
settings_fault_begin (sim_t *sim)
{
  settings_fault_count++;
  sim->settings_fault_us = INT64_MAX;
}

static void
settings_fault_end (sim_t *sim)
{
  if (--settings_fault_count == 0)
    sim->settings_fault_us = sim->now_us;
}

static int64_t
fault_end_us (sim_t *sim, int64_t low_ms, int64_t high_ms)
{
  int64_t at = sim->now_us + sim_range (sim, low_ms, high_ms) * SIM_MS;

  return at < HEAL_US ? at : HEAL_US;
}

static uint32_t
random_instance (sim_t *sim)
{
  return (uint32_t)(sim_random (sim) % sim->instance_count);
}

static uint32_t
random_target (sim_t *sim)
{
  return (uint32_t)(sim_random (sim) % sim->target_count);
}

static uint32_t
neighbour (const sim_t *sim, uint32_t index)
{
  uint32_t next = index + 1 < sim->instance_count ? index + 1 : index;

  if (sim->instances[next].data_centre != sim->instances[index].data_centre || next == index)
    next = index > 0 ? index - 1 : index;
  return next;
}

static void
start_process (sim_t *sim, uint32_t index, uint32_t unused)
{
  sim_process_start (sim, index);
}

static void
fault_kill (sim_t *sim)
{
  uint32_t index = random_instance (sim);
  bool silent = sim_chance (sim, 30);
  bool both = sim_chance (sim, 25);

  sim_process_kill (sim, index, silent);
  sim_call_at (sim, fault_end_us (sim, 2000, 12000), start_process, index, 0);
  if (both)
    {
      sim_process_kill (sim, neighbour (sim, index), silent);
      sim_call_at (sim, fault_end_us (sim, 2000, 12000), start_process, neighbour (sim, index), 0);
    }
}

static void
fault_restart (sim_t *sim)
{
  uint32_t index = random_instance (sim);

  sim_process_kill (sim, index, false);
  sim_call_at (sim, fault_end_us (sim, 10, 500), start_process, index, 0);
}

static void
fault_freeze (sim_t *sim)
{
  uint32_t index = random_instance (sim);
  bool is_long = sim_chance (sim, 25);
  int64_t end = is_long ? fault_end_us (sim, 8000, 25000) : fault_end_us (sim, 200, 5000);

  sim_process_freeze (sim, index, end - sim->now_us);
  if (sim_chance (sim, 30))
    {
      end += sim_range (sim, 0, 100) * SIM_MS;
      sim_process_freeze (sim, neighbour (sim, index), end - sim->now_us);
    }
}

static void
cut_change (sim_t *sim, uint32_t a, uint32_t b, uint32_t delta)
{
  sim->cut_counts[a][b] += delta;
  sim->cut_counts[b][a] += delta;
}

static void
cut_end (sim_t *sim, uint32_t a, uint32_t b)
{
  sim_trace (sim, "cut between data centres %u-%u ends", a, b);
  cut_change (sim, a, b, (uint32_t)-1);
  settings_fault_end (sim);
  sim_links_cut_changed (sim);
}

static void
cut_begin (sim_t *sim, uint32_t a, uint32_t b, int64_t end)
{
  sim_trace (sim, "cut between data centres %u-%u (%u is the platform)", a, b,
             sim->config.data_centres);
  cut_change (sim, a, b, 1);
  settings_fault_begin (sim);
  sim_links_cut_changed (sim);
  sim_call_at (sim, end, cut_end, a, b);
}

static void
isolation_end (sim_t *sim, uint32_t index, uint32_t unused)
{
  sim_trace (sim, "%s is no longer isolated", sim->instances[index].id);
  sim->instances[index].isolation_count--;
  settings_fault_end (sim);
  sim_links_cut_changed (sim);
}

static void
fault_cut (sim_t *sim)
{
  uint32_t n = sim->config.data_centres;
  uint32_t a = (uint32_t)(sim_random (sim) % n);
  int64_t end =
      sim_chance (sim, 20) ? fault_end_us (sim, 12000, 20000) : fault_end_us (sim, 300, 8000);
  uint32_t index;

  switch (sim_random (sim) % 6)
    {
    case 0:
      cut_begin (sim, a, (a + 1) % n, end);
      break;
    case 1:
      cut_begin (sim, a, n, end);
      break;
    case 2:
      for (uint32_t b = 0; b <= n; b++)
        {
          if (b != a)
            cut_begin (sim, a, b, end);
        }
      break;
    case 3:
      index = random_instance (sim);
      sim_trace (sim, "%s is isolated", sim->instances[index].id);
      sim->instances[index].isolation_count++;
      settings_fault_begin (sim);
      sim_links_cut_changed (sim);
      sim_call_at (sim, end, isolation_end, index, 0);
      break;
    case 4:
      for (int i = 0; i < 3; i++)
        {
          index = random_instance (sim);
          if (neighbour (sim, index) != index)
            sim_link_break (sim, index, neighbour (sim, index));
        }
      break;
    default:
      sim_targets_reset (sim, random_instance (sim));
      break;
    }
}

static void
store_down_end (sim_t *sim, uint32_t unused_a, uint32_t unused_b)
{
  sim_trace (sim, "store up");
  sim->store.down_faults--;
  settings_fault_end (sim);
}

static void
store_slow_end (sim_t *sim, uint32_t unused_a, uint32_t unused_b)
{
  sim_trace (sim, "store is no longer slow");
  sim->store.slow_faults--;
}

static void
store_lost_end (sim_t *sim, uint32_t unused_a, uint32_t unused_b)
{
  sim_trace (sim, "store replies are no longer lost");
  sim->store.lost_percent = 0;
}

static void
fault_store_down (sim_t *sim)
{
  sim_trace (sim, "store down");
  sim->store.down_faults++;
  settings_fault_begin (sim);
  sim_call_at (sim, fault_end_us (sim, 500, 15000), store_down_end, 0, 0);
}

static void
fault_store_slow (sim_t *sim)
{
  sim_trace (sim, "store slow");
  sim->store.slow_faults++;
  sim_call_at (sim, fault_end_us (sim, 1000, 10000), store_slow_end, 0, 0);
}

static void
fault_store_lost (sim_t *sim)
{
  sim_trace (sim, "store replies are lost");
  sim->store.lost_percent = (uint32_t)sim_range (sim, 30, 100);
  sim_call_at (sim, fault_end_us (sim, 2000, 10000), store_lost_end, 0, 0);
}

static void
restart_target (sim_t *sim, uint32_t index, uint32_t unused)
{
  if (!sim->targets[index].leaving)
    sim_target_restart (sim, index);
}

static void
heal_target (sim_t *sim, uint32_t index, uint32_t unused)
{
  sim->targets[index].fails_all = false;
  sim->targets[index].slow_factor = 1;
}

static void
resume_target (sim_t *sim, uint32_t index, uint32_t unused)
{
  sim_target_resume (sim, index);
}

static void
fault_target_fail (sim_t *sim)
{
  uint32_t index = random_target (sim);

  if (sim_chance (sim, 30))
    {
      sim_target_stop (sim, index);
      sim_call_at (sim, fault_end_us (sim, 300, 6000), restart_target, index, 0);
      return;
    }
  sim_trace (sim, "%s fails every task", sim->targets[index].id);
  sim->targets[index].fails_all = true;
  sim_call_at (sim, fault_end_us (sim, 1000, 10000), heal_target, index, 0);
}

static void
fault_target_freeze (sim_t *sim)
{
  uint32_t index = random_target (sim);

  sim_trace (sim, "%s frozen", sim->targets[index].id);
  sim->targets[index].frozen = true;
  sim_call_at (sim, fault_end_us (sim, 500, 20000), resume_target, index, 0);
}

static void
fault_target_slow (sim_t *sim)
{
  uint32_t index = random_target (sim);

  sim->targets[index].slow_factor = (uint32_t)sim_range (sim, 3, 20);
  sim_trace (sim, "%s is slower by a factor of %u", sim->targets[index].id,
             sim->targets[index].slow_factor);
  sim_call_at (sim, fault_end_us (sim, 2000, 10000), heal_target, index, 0);
}

static void
stop_target (sim_t *sim, uint32_t index, uint32_t unused)
{
  sim_target_stop (sim, index);
}

static void
add_target (sim_t *sim, uint32_t data_centre, uint32_t unused)
{
  uint32_t index = sim_target_add (sim, data_centre);

  sim_trace (sim, "%s joins", sim->targets[index].id);
}

static void
fault_target_leave (sim_t *sim)
{
  uint32_t index = random_target (sim);

  /* The platform stops a leaving target only after its tasks: instances may send it new work for
   * 3 s, and the longest task must then end. */
  if (!sim->targets[index].leaving)
    sim_call_at (sim, sim->now_us + 12 * SIM_SECOND, stop_target, index, 0);
  sim_target_leave (sim, index);
  sim_call_at (sim, fault_end_us (sim, 500, 5000), add_target, sim->targets[index].data_centre, 0);
}

static void
replace_drained (sim_t *sim, uint32_t index, uint32_t process)
{
  if (sim->instances[index].incarnation != process)
    return;
  if (!sim->instances[index].alive)
    sim_process_start (sim, index);
  else if (sim->now_us < END_US)
    sim_call_at (sim, sim->now_us + sim_range (sim, 200, 2000) * SIM_MS, replace_drained, index,
                 process);
}

static void
fault_drain (sim_t *sim)
{
  uint32_t index = random_instance (sim);
  uint32_t process = sim->instances[index].incarnation;

  if (!sim->instances[index].alive)
    return;
  sim_push (sim, sim->now_us, SIM_DRAIN, index, process, 0, NULL);
  sim_call_at (sim, sim->now_us + SIM_SECOND, replace_drained, index, process);
}

static void
fault_cancel (sim_t *sim)
{
  int64_t count = sim_range (sim, 3, 12);

  for (int64_t i = 0; i < count && sim->key_count > 0; i++)
    {
      uint32_t back = (uint32_t)(sim_random (sim) % 12);
      uint32_t key = sim->key_count - 1 - (back < sim->key_count ? back : 0);

      sim_chain_add (sim, SIM_REQUEST_CANCEL, key, sim->now_us + sim_range (sim, 0, SIM_SECOND));
    }
}

static void
fault_edit (sim_t *sim)
{
  static const struct
  {
    const char *name;
    int64_t low;
    int64_t high;
  } names[] = {
    { "queue_limit", 1000, 5000 }, { "attempt_timeout_ms", 8000, 20000 },
    { "team_weight", 1, 1000 },    { "retry_percent", 5, 20 },
    { "team_weight", 0, 0 }, /* not an allowed value */
  };
  static const char *const paths[] = { "/", "/words", "/words/dc1", "/words/dc2" };
  int64_t count = sim_range (sim, 1, 3);

  for (int64_t i = 0; i < count; i++)
    {
      size_t n = sim_random (sim) % (sizeof (names) / sizeof (names[0]));
      dks_settings_edit_t edit = { 0 };

      snprintf (edit.id, sizeof (edit.id), "edit-%" PRIu64 "-%u", sim->config.seed,
                sim->edit_count);
      dks_strcpy (edit.actor, sizeof (edit.actor), "operator");
      dks_strcpy (edit.path, sizeof (edit.path), paths[sim_random (sim) % 4]);
      dks_strcpy (edit.name, sizeof (edit.name), names[n].name);
      edit.value = sim_range (sim, names[n].low, names[n].high);
      sim_edit_add (sim, &edit, sim->now_us + sim_range (sim, 0, 5 * SIM_MS));
    }
}

static uint32_t
service_time (sim_t *sim)
{
  if (sim_chance (sim, 4))
    return (uint32_t)sim_range (sim, 1000, 4000) * SIM_MS;
  return (uint32_t)sim_range (sim, 20, 700) * SIM_MS;
}

/* Randomly adds further submissions, a cancel and a query of the key around the time `at`. */
static void
plan_related_requests (sim_t *sim, uint32_t key, int64_t at)
{
  if (sim_chance (sim, 15))
    sim_chain_add (sim, SIM_REQUEST_SUBMIT, key, at + sim_range (sim, 0, 20 * SIM_MS));
  if (sim_chance (sim, 12))
    sim_chain_add (sim, SIM_REQUEST_SUBMIT, key, at + sim_range (sim, 500, 8000) * SIM_MS);
  if (sim_chance (sim, 4))
    sim_chain_add (sim, SIM_REQUEST_SUBMIT, key, at + sim_range (sim, 0, 20 * SIM_MS))
        ->other_content = true;
  if (sim_chance (sim, 8))
    sim_chain_add (sim, SIM_REQUEST_CANCEL, key, at + sim_range (sim, -5, 2000) * SIM_MS);
  if (sim_chance (sim, 8))
    sim_chain_add (sim, SIM_REQUEST_QUERY, key, at + sim_range (sim, 0, 6000) * SIM_MS);
}

static void
submit_random (sim_t *sim, uint32_t tasks_max, uint32_t unused)
{
  bool single = sim_chance (sim, 55);
  uint32_t tasks = single ? 1 : (uint32_t)sim_range (sim, 2, tasks_max);
  uint32_t data_centre = (uint32_t)(sim_random (sim) % sim->config.data_centres);
  const char *prefix = sim_chance (sim, 25) ? sim->data_centres[data_centre] : NULL;
  uint32_t index = sim_key_add (sim, tasks, single, prefix);
  sim_key_t *key = &sim->keys[index];
  sim_chain_t *chain;

  for (uint32_t i = 0; i < tasks; i++)
    key->service_us[i] = service_time (sim);
  key->repeatable = sim_chance (sim, 40);
  key->async = sim_chance (sim, 15);
  key->cpus = sim_chance (sim, 3) ? 64 : 0;
  key->team = (uint32_t)(sim_random (sim) % 3);
  key->deadline_ms = sim_range (sim, 2000, 25000);
  chain = sim_chain_add (sim, SIM_REQUEST_SUBMIT, index, sim->now_us);
  if (sim_chance (sim, 15))
    chain->caller_timeout_us = sim_range (sim, 500, 8000) * SIM_MS;
  plan_related_requests (sim, index, sim->now_us);
}

static void
fault_burst (sim_t *sim)
{
  int64_t count = sim_range (sim, 10, 25);

  for (int64_t i = 0; i < count; i++)
    submit_random (sim, 16, 0);
}

static void
inject_fault (sim_t *sim, uint32_t fault, uint32_t unused)
{
  static void (*const functions[FAULT_COUNT]) (sim_t *) = {
    [FAULT_KILL] = fault_kill,
    [FAULT_FREEZE] = fault_freeze,
    [FAULT_CUT] = fault_cut,
    [FAULT_STORE_DOWN] = fault_store_down,
    [FAULT_STORE_SLOW] = fault_store_slow,
    [FAULT_STORE_LOST] = fault_store_lost,
    [FAULT_TARGET_FAIL] = fault_target_fail,
    [FAULT_TARGET_FREEZE] = fault_target_freeze,
    [FAULT_TARGET_SLOW] = fault_target_slow,
    [FAULT_TARGET_LEAVE] = fault_target_leave,
    [FAULT_DRAIN] = fault_drain,
    [FAULT_RESTART] = fault_restart,
    [FAULT_CANCEL] = fault_cancel,
    [FAULT_BURST] = fault_burst,
    [FAULT_EDIT] = fault_edit,
  };

  sim_trace (sim, "fault %s", fault_names[fault]);
  if (is_counting)
    report.faults[fault]++;
  /* After any other fault, an answer "unknown" may be justified. */
  if (fault != FAULT_DRAIN && fault != FAULT_CANCEL && fault != FAULT_BURST && fault != FAULT_EDIT
      && fault != FAULT_TARGET_LEAVE)
    sim->had_fault = true;
  functions[fault](sim);
}

static void
heal (sim_t *sim, uint32_t unused_a, uint32_t unused_b)
{
  sim_trace (sim, "all faults have healed");
  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      sim_process_resume (sim, i);
      if (!sim->instances[i].alive && !sim->instances[i].draining)
        sim_process_start (sim, i);
    }
  for (uint32_t t = 0; t < sim->target_count; t++)
    {
      heal_target (sim, t, 0);
      sim_target_resume (sim, t);
    }
}

static void
probe (sim_t *sim, uint32_t unused_a, uint32_t unused_b)
{
  uint32_t key = sim_key_add (sim, 1, true, NULL);

  sim->keys[key].service_us[0] = 50 * SIM_MS;
  sim_chain_add (sim, SIM_REQUEST_SUBMIT, key, sim->now_us)->probe = true;
}

static void
plan_seed (sim_t *sim, uint32_t fault_mask)
{
  int64_t submissions = sim_range (sim, 60, 100);
  int64_t faults = fault_mask != 0 ? sim_range (sim, 3, 9) : 0;

  for (int64_t i = 0; i < submissions; i++)
    {
      uint32_t tasks_max = sim_chance (sim, 4) ? 50 : 10;
      sim_call_at (sim, sim_range (sim, SIM_SECOND / 2, LOAD_END_US), submit_random, tasks_max, 0);
    }
  for (int64_t i = 0; i < faults; i++)
    {
      uint32_t fault;

      do
        fault = (uint32_t)(sim_random (sim) % FAULT_COUNT);
      while ((fault_mask >> fault & 1) == 0);
      sim_call_at (sim, sim_range (sim, SIM_SECOND, LOAD_END_US - SIM_SECOND), inject_fault, fault,
                   0);
    }
  sim_call_at (sim, HEAL_US, heal, 0, 0);
  for (int64_t i = 0; i < 6; i++)
    sim_call_at (sim, PROBE_US + i * 100 * SIM_MS, probe, 0, 0);
}

static bool
is_idle (const sim_t *sim)
{
  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      if (!sim->instances[i].alive || sim->instances[i].draining)
        return false;
    }
  return sim->chains_open == 0;
}

/* Runs one seed; returns the hash of all events and effects of the run. */
static uint64_t
run_seed (uint64_t seed, uint32_t fault_mask, FILE *trace, bool count)
{
  sim_config_t config = { .seed = seed,
                          .local_latency_us = 200,
                          .remote_latency_us = 1500,
                          .client_latency_us = 1500,
                          .jitter_max_us = 300,
                          .list_lag_max_us = 1900 * SIM_MS,
                          .skew = true,
                          .retry = true,
                          .trace = trace };
  uint64_t random = seed ^ UINT64_C (0x5eed);
  sim_t *sim;
  uint64_t hash;
  bool failed = false;

  abort_length =
      (size_t)snprintf (abort_text, sizeof (abort_text), "aborted in seed %" PRIu64 "\n", seed);
  is_counting = count;
  settings_fault_count = 0;
  config.data_centres = 2 + (uint32_t)(dks_random_next (&random) % 2);
  config.slots = dks_random_next (&random) % 2 == 0 ? 8 : 3;
  for (uint32_t d = 0; d < config.data_centres; d++)
    {
      config.instances[d] = 2 + (uint32_t)(dks_random_next (&random) % 2);
      config.targets[d] = 2 + (uint32_t)(dks_random_next (&random) % 2);
    }
  sim = sim_create (&config);
  plan_seed (sim, fault_mask);
  sim_run (sim, PROBE_US + SIM_SECOND);
  while (sim->now_us < END_US && !is_idle (sim))
    sim_run (sim, sim->now_us + SIM_SECOND);
  sim_check_end (sim);
  hash = sim->hash;
  if (count)
    {
      report.seeds++;
      report.events += sim->events;
      for (int i = 0; i <= DKS_OUTCOME_ACCEPTED; i++)
        report.outcomes[i] += sim->outcomes[i];
      for (int i = 0; i < SIM_CHECK_COUNT; i++)
        {
          report.violations[i] += sim->violations[i];
          failed = failed || sim->violations[i] > 0;
        }
      if (failed)
        fprintf (stderr, "seed %" PRIu64 ": %s\n", seed, sim->first_violation);
      if (failed && report.failed_seeds++ == 0)
        {
          report.first_seed = seed;
          dks_strcpy (report.first_violation, sizeof (report.first_violation),
                      sim->first_violation);
        }
    }
  if (trace != NULL)
    fprintf (trace, "seed %" PRIu64 " hash %016" PRIx64 " events %" PRIu64 " first check: %s\n",
             seed, hash, sim->events,
             sim->first_violation[0] != '\0' ? sim->first_violation : "none");
  sim_destroy (sim);
  return hash;
}

static void
print_report (void)
{
  printf ("{\"seeds\": %" PRIu64 ", \"events\": %" PRIu64 ", \"faults\": {", report.seeds,
          report.events);
  for (int i = 0; i < FAULT_COUNT; i++)
    printf ("%s\"%s\": %" PRIu64, i > 0 ? ", " : "", fault_names[i], report.faults[i]);
  printf ("}, \"outcomes\": {");
  for (int i = DKS_OUTCOME_COMPLETE; i <= DKS_OUTCOME_CANCELLED; i++)
    printf ("%s\"%s\": %" PRIu64, i > DKS_OUTCOME_COMPLETE ? ", " : "",
            dks_outcome_name ((dks_outcome_t)i), report.outcomes[i]);
  printf ("}, \"checks\": {");
  for (int i = 0; i < SIM_CHECK_COUNT; i++)
    printf ("%s\"%s\": %" PRIu64, i > 0 ? ", " : "", sim_check_name ((sim_check_t)i),
            report.violations[i]);
  printf ("}, \"failed_seeds\": %" PRIu64, report.failed_seeds);
  if (report.failed_seeds > 0)
    printf (", \"first_seed\": %" PRIu64 ", \"first_check\": \"%s\"", report.first_seed,
            report.first_violation);
  printf ("}\n");
}

/* Prints the seed in which an invariant of the reducer failed before the process ends. */
static void
handle_abort (int signal_number)
{
  if (write (STDERR_FILENO, abort_text, abort_length) < 0)
    _exit (3);
  signal (signal_number, SIG_DFL);
  raise (signal_number);
}

static bool
parse_faults (char *list, uint32_t *fault_mask)
{
  *fault_mask = 0;
  for (char *name = strtok (list, ","); name != NULL; name = strtok (NULL, ","))
    {
      int fault = 0;

      while (fault < FAULT_COUNT && strcmp (name, fault_names[fault]) != 0)
        fault++;
      if (fault == FAULT_COUNT && strcmp (name, "none") != 0)
        {
          fprintf (stderr, "unknown fault \"%s\"\n", name);
          return false;
        }
      if (fault < FAULT_COUNT)
        *fault_mask |= 1U << fault;
    }
  return true;
}

int
main (int argc, char **argv)
{
  static const struct option options[] = {
    { "seeds", required_argument, NULL, 's' }, { "faults", required_argument, NULL, 'f' },
    { "trace", required_argument, NULL, 't' }, { "replay", no_argument, NULL, 'r' },
    { "help", no_argument, NULL, 'h' },        { NULL, 0, NULL, 0 },
  };
  uint64_t first = 1;
  uint64_t last = 100;
  uint32_t fault_mask = (1U << FAULT_COUNT) - 1;
  bool replay = false;
  bool differs = false;
  FILE *trace = NULL;
  int option;

  signal (SIGABRT, handle_abort);
  signal (SIGSEGV, handle_abort);
  while ((option = getopt_long (argc, argv, "", options, NULL)) != -1)
    {
      char *end = optarg;

      switch (option)
        {
        case 's':
          first = strtoull (optarg, &end, 10);
          last = *end == '-' ? strtoull (end + 1, &end, 10) : first;
          break;
        case 't':
          first = last = strtoull (optarg, &end, 10);
          trace = stdout;
          setvbuf (stdout, NULL, _IOLBF, 0); /* lines before an abort are not lost in the buffer */
          break;
        case 'f':
          if (!parse_faults (optarg, &fault_mask))
            return 2;
          break;
        case 'r':
          replay = true;
          break;
        default:
          fprintf (stderr, "usage: damaskshore-schedule [--seeds A-B] [--faults LIST] [--replay] "
                           "[--trace SEED]\n");
          return option == 'h' ? 0 : 2;
        }
      if ((option == 's' || option == 't') && *end != '\0')
        {
          fprintf (stderr, "bad seeds \"%s\"\n", optarg);
          return 2;
        }
    }
  for (uint64_t seed = first; seed <= last; seed++)
    {
      uint64_t hash = run_seed (seed, fault_mask, trace, true);

      if (replay && run_seed (seed, fault_mask, NULL, false) != hash)
        {
          fprintf (stderr, "seed %" PRIu64 " differs between two runs\n", seed);
          differs = true;
        }
    }
  if (trace == NULL)
    print_report ();
  /* A replay only compares the two runs of a seed; runs without --replay fail on violations. */
  return differs || (report.failed_seeds > 0 && !replay) ? 1 : 0;
}
