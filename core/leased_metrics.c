#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <stdio.h>
#include <stdlib.h>

typedef struct
{
  const char *name;
  const char *help;
  double value;
} gauge_t;

static double
age_s (const dks_leased_t *leased, int64_t since_us)
{
  return since_us > 0 ? (double)(dks_leased_now_us (leased) - since_us) / 1e6 : -1;
}

static void
count_targets (const dks_leased_t *leased, uint32_t *held, uint32_t *runs, uint32_t *ejected)
{
  const dks_leased_target_t *target;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      *held += target->held;
      *runs += target->run_count;
      *ejected += target->held && target->ejected_until_us > dks_leased_now_us (leased);
    }
}

/* Tasks by the place where they wait. */
typedef struct
{
  uint32_t at_entry;     /* jobs for which no leader is known */
  uint32_t lent_to_here; /* for the run lists of targets, or for room */
  uint32_t lent_away;
  uint32_t starting; /* their targets have not answered the start yet */
} waiting_t;

static waiting_t
count_waiting (const dks_leased_t *leased)
{
  const dks_leased_request_t *request;
  const dks_leased_job_t *job;
  const dks_leased_target_t *target;
  const dks_leased_run_t *run;
  waiting_t waiting = { 0 };

  APR_RING_FOREACH (request, &leased->requests, dks_leased_request_t, link)
    waiting.at_entry += request->send_count == 0;
  APR_RING_FOREACH (job, &leased->jobs, dks_leased_job_t, link)
    {
      waiting.lent_to_here += job->is_lent ? job->waiting_count : 0;
      for (uint32_t i = 0; i < job->task_count; i++)
        waiting.lent_away += job->tasks[i].state == DKS_LEASED_TASK_LENT;
    }
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      APR_RING_FOREACH (run, &target->runs, dks_leased_run_t, link)
        waiting.starting += run->state == DKS_LEASED_RUN_STARTING;
    }
  return waiting;
}

static void
write_gauges (FILE *stream, const dks_leased_t *leased)
{
  uint32_t held = 0;
  uint32_t runs = 0;
  uint32_t ejected = 0;

  count_targets (leased, &held, &runs, &ejected);
  const waiting_t waiting = count_waiting (leased);
  double kept_share;
  const uint32_t kept_targets = dks_leased_plan_kept_targets (leased, &kept_share);
  const gauge_t gauges[] = {
    { "leading", "Whether this instance leads its data centre.", leased->term > 0 },
    { "peers_alive", "Other instances that were heard of lately.",
      dks_leased_members_count_alive (leased) },
    { "catalog_version", "Version of the configuration in force, 0 for none.",
      leased->catalog != NULL ? (double)leased->catalog->version : 0 },
    { "catalog_newest_version", "Highest version of the configuration that is known to exist.",
      (double)leased->newest_catalog.version },
    { "catalog_behind_seconds", "Time for which a newer configuration is known, 0: none is.",
      (double)dks_leased_feed_behind_us (leased) / 1e6 },
    { "catalog_rejected", "Whether the platform's latest configuration cannot be put in force.",
      leased->newest_catalog.is_rejected },
    { "catalog_heard_seconds", "Time since the store last answered about the configuration.",
      age_s (leased, leased->feeds[DKS_FEED_CATALOG].last_answer_us) },
    { "targets_heard_seconds", "Time since the store last answered about the list of targets.",
      age_s (leased, leased->feeds[DKS_FEED_TARGETS].last_answer_us) },
    { "requests", "Jobs that callers of this instance wait for.", leased->request_count },
    { "jobs", "Jobs and lent tasks that this instance places.", leased->job_count },
    { "waiting_tasks", "Tasks that found no room yet.", leased->waiting_tasks },
    { "requests_without_leader", "Jobs at this entry instance that no leader has yet.",
      waiting.at_entry },
    { "lent_tasks_waiting", "Tasks lent to this leader that have not started.",
      waiting.lent_to_here },
    { "tasks_lent_away", "Tasks that leaders of other data centres have.", waiting.lent_away },
    { "runs_starting", "Runs whose target has not answered the start.", waiting.starting },
    { "overload_seconds", "Time for which jobs have had to wait in overload, 0: no overload.",
      (double)dks_leased_drain_overload_us (leased) / 1e6 },
    { "lag_seconds", "Delay with which messages of other instances are handled.",
      (double)dks_leased_leader_lag_us (leased) / 1e6 },
    { "evacuated_data_centres", "Data centres whose targets get no new tasks.",
      leased->evacuations.count },
    { "targets_held", "Targets that this instance orders.", held },
    { "targets_ejected", "Held targets that get no work for a while.", ejected },
    { "runs", "Runs on held targets.", runs },
    { "targets_kept", "Targets whose room is kept for a waiting task.", kept_targets },
    { "kept_room", "Free room on them over the room of all held targets.", kept_share },
    { "free_tasks", "Tasks of the usual size that fit on held targets now.",
      dks_leased_targets_free_tasks (leased) },
  };

  for (size_t i = 0; i < sizeof (gauges) / sizeof (gauges[0]); i++)
    fprintf (stream,
             "# HELP damaskshore_%s %s\n# TYPE damaskshore_%s gauge\ndamaskshore_%s %.15g\n",
             gauges[i].name, gauges[i].help, gauges[i].name, gauges[i].name, gauges[i].value);
}

char *
dks_leased_metrics_format (const dks_leased_t *leased)
{
  char *labelled = dks_metrics_format (leased->metrics);
  char *text = NULL;
  size_t size = 0;
  FILE *stream = open_memstream (&text, &size);

  DKS_INVARIANT (stream != NULL);
  write_gauges (stream, leased);
  dks_leased_load_write (stream, leased);
  fputs (labelled, stream);
  DKS_INVARIANT (fclose (stream) == 0);
  free (labelled);
  return text;
}
