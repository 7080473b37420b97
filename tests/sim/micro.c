/* Measures the time per event and the memory of the reducer. Memory per object is the difference of
 * the heap between a small and a large number of objects, divided by the difference of these
 * numbers, so that fixed costs cancel out. */
#include "bench.h"

#include "common/alloc.h"

#include <malloc.h>
#include <string.h>

#define START_US (5 * SIM_SECOND)
#define MEASURE_END_US (30 * SIM_SECOND)

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

static sim_t *
create_world (uint32_t instances, uint32_t targets, uint32_t slots)
{
  sim_config_t config = { .seed = 7,
                          .data_centres = 1,
                          .instances = { instances },
                          .targets = { targets },
                          .slots = slots,
                          .local_latency_us = 200,
                          .remote_latency_us = 500,
                          .client_latency_us = 1000,
                          .measure_reducer = true };

  return sim_create (&config);
}

static void
print_figure (const char *name, double value, const char *unit)
{
  printf ("{\"name\": \"micro.%s\", \"value\": %.1f, \"unit\": \"%s\"}\n", name, value, unit);
}

/* Returns the bytes of heap that `count` single requests add, while they are queued or, if `done`,
 * after they have ended. `event_ns` gets the mean time per event of the reducers. */
static double
bytes_of_requests (uint32_t count, bool done, double *event_ns)
{
  sim_t *sim = create_world (2, 1, done ? 64 : 1);
  double before;
  double after;

  sim_requests_reserve (sim, count + 16);
  /* Unless `done`, the first request occupies the only slot, so that the others stay queued. */
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t key = sim_key_add (sim, 1, true, NULL);

      sim->keys[key].service_us[0] = (done ? 1 : 200 * SIM_MS) * SIM_MS;
      sim->keys[key].deadline_ms = 290000;
      sim_chain_add (sim, SIM_REQUEST_SUBMIT, key, START_US + (int64_t)i * 5 * SIM_MS);
    }
  sim_run (sim, START_US - SIM_MS);
  before = heap_bytes ();
  sim_run (sim, MEASURE_END_US);
  after = heap_bytes ();
  if (!done && sim->chains_open != count)
    fprintf (stderr, "micro: %u of %u requests were answered and not queued\n",
             count - sim->chains_open, count);
  if (done && sim->chains_open > 0)
    fprintf (stderr, "micro: %u requests were not answered\n", sim->chains_open);
  *event_ns = (double)sim->reducer_ns / (double)sim->reducer_events;
  sim_destroy (sim);
  return after - before;
}

static double
bytes_of_world (uint32_t instances, uint32_t targets)
{
  sim_t *sim = create_world (instances, targets, 8);
  double before = heap_bytes ();
  double after;

  sim_run (sim, START_US);
  after = heap_bytes ();
  sim_destroy (sim);
  return after - before;
}

void
bench_micro (void)
{
  enum
  {
    FEW = 500,
    MANY = 2500,
    TARGETS = 1000,
    INSTANCES = 16
  };
  double few_ns;
  double many_ns;
  double few;
  double many;

  few = bytes_of_requests (FEW, false, &few_ns);
  many = bytes_of_requests (MANY, false, &many_ns);
  print_figure ("queued_job", (many - few) / (MANY - FEW), "bytes");
  print_figure ("event_time.queue_500", few_ns, "ns");
  print_figure ("event_time.queue_2500", many_ns, "ns");
  few = bytes_of_requests (FEW, true, &few_ns);
  many = bytes_of_requests (MANY, true, &many_ns);
  /* Divided by 2, as the owner and the backup each have one record of a claim. */
  print_figure ("claim", (many - few) / (MANY - FEW) / 2, "bytes");
  print_figure ("event_time.claims_500", few_ns, "ns");
  print_figure ("event_time.claims_2500", many_ns, "ns");
  few = bytes_of_world (2, 50);
  many = bytes_of_world (2, 50 + TARGETS);
  print_figure ("target", (many - few) / TARGETS / 2, "bytes");
  few = bytes_of_world (4, 8);
  many = bytes_of_world (4 + INSTANCES, 8);
  print_figure ("instance", (many / (4 + INSTANCES) - few / 4) / INSTANCES, "bytes");
}
