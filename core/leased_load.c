/* What keeps this instance busy: counts of events and messages, and how late events are handled. */
#include "core/leased.h"

#include <inttypes.h>
#include <stdio.h>

enum
{
  REPORT_INTERVAL_US = 1000000, /* between two log lines of an instance that is late */
  /* Delay of messages above which an instance counts as late: some ms are usual. */
  LATE_MIN_US = 100000,
  LINE_SIZE = 200 /* of the counts in one log line, bytes */
};

static const char *
event_name (dks_event_type_t type)
{
  static const char *const names[DKS_LEASED_EVENT_TYPES] = {
    [DKS_EVENT_TICK] = "tick",
    [DKS_EVENT_CALLER_GONE] = "caller_gone",
    [DKS_EVENT_PEER_UP] = "peer_up",
    [DKS_EVENT_PEER_DOWN] = "peer_down",
    [DKS_EVENT_PEER_MSG] = "peer_message",
    [DKS_EVENT_DRAIN] = "drain",
    [DKS_EVENT_CONFIG] = "config",
    [DKS_EVENT_BATCH] = "batch",
    [DKS_EVENT_FEED] = "feed",
    [DKS_EVENT_LEASE_REPLY] = "lease_reply",
    [DKS_EVENT_CALLERS_CHECKED] = "callers_checked",
  };

  return names[type] != NULL ? names[type] : "other";
}

void
dks_leased_load_record_event (dks_leased_t *leased, const dks_event_t *event)
{
  dks_leased_counts_t *counts = &leased->load.counts;

  counts->events[event->type]++;
  if (event->type == DKS_EVENT_PEER_MSG)
    counts->received[event->u.peer_msg.msg->type]++;
}

void
dks_leased_load_record_sent (dks_leased_t *leased, const dks_msg_t *msg)
{
  leased->load.counts.sent[msg->type]++;
}

static void
log_events (dks_leased_t *leased, const dks_leased_counts_t *before)
{
  const dks_leased_counts_t *now = &leased->load.counts;
  char text[LINE_SIZE] = "";
  size_t len = 0;

  for (int i = 0; i < DKS_LEASED_EVENT_TYPES && len < sizeof (text); i++)
    {
      if (now->events[i] > before->events[i])
        len +=
            (size_t)snprintf (text + len, sizeof (text) - len, " %s=%" PRIu64,
                              event_name ((dks_event_type_t)i), now->events[i] - before->events[i]);
    }
  dks_emit_log (leased->r, DKS_LOG_INFO, "event=late-events%s", text);
}

static void
log_messages (dks_leased_t *leased, const char *name, const uint64_t *now, const uint64_t *before)
{
  char text[LINE_SIZE] = "";
  size_t len = 0;

  for (int i = 0; i < DKS_MSG_TYPE_COUNT && len < sizeof (text); i++)
    {
      if (now[i] > before[i])
        len += (size_t)snprintf (text + len, sizeof (text) - len, " %s=%" PRIu64,
                                 dks_msg_name ((dks_msg_type_t)i), now[i] - before[i]);
    }
  dks_emit_log (leased->r, DKS_LOG_INFO, "event=%s%s", name, text);
}

static void
log_report (dks_leased_t *leased, const dks_leased_counts_t *before)
{
  const dks_leased_load_t *load = &leased->load;
  const dks_leased_counts_t *now = &load->counts;

  dks_emit_log (leased->r, DKS_LOG_INFO,
                "event=late lag_ms=%" PRId64 " leads=%d jobs=%u waiting=%u requests=%u"
                " passes=%" PRIu64 " job_visits=%" PRIu64 " target_scans=%" PRIu64,
                load->max_lag_us / 1000, leased->term > 0, leased->job_count, leased->waiting_tasks,
                leased->request_count, now->passes - before->passes,
                now->job_visits - before->job_visits, now->target_scans - before->target_scans);
  log_events (leased, before);
  log_messages (leased, "late-received", now->received, before->received);
  log_messages (leased, "late-sent", now->sent, before->sent);
}

void
dks_leased_load_tick (dks_leased_t *leased)
{
  dks_leased_load_t *load = &leased->load;
  int64_t lag_us = dks_leased_leader_lag_us (leased);

  if (lag_us > load->max_lag_us)
    load->max_lag_us = lag_us;
  if (dks_leased_now_us (leased) - load->reported_us < REPORT_INTERVAL_US)
    return;
  if (load->max_lag_us >= LATE_MIN_US)
    log_report (leased, &load->reported);
  load->reported_us = dks_leased_now_us (leased);
  load->reported = load->counts;
  load->max_lag_us = 0;
}

static void
write_header (FILE *stream, const char *name, const char *help)
{
  fprintf (stream, "# HELP damaskshore_%s %s\n# TYPE damaskshore_%s counter\n", name, help, name);
}

void
dks_leased_load_write (FILE *stream, const dks_leased_t *leased)
{
  const dks_leased_counts_t *counts = &leased->load.counts;

  write_header (stream, "events_by_kind_total", "Events handled, by kind.");
  for (int i = 0; i < DKS_LEASED_EVENT_TYPES; i++)
    {
      if (counts->events[i] > 0)
        fprintf (stream, "damaskshore_events_by_kind_total{kind=\"%s\"} %" PRIu64 "\n",
                 event_name ((dks_event_type_t)i), counts->events[i]);
    }
  write_header (stream, "messages_received_total", "Messages of other instances, by type.");
  for (int i = 0; i < DKS_MSG_TYPE_COUNT; i++)
    {
      if (counts->received[i] > 0)
        fprintf (stream, "damaskshore_messages_received_total{type=\"%s\"} %" PRIu64 "\n",
                 dks_msg_name ((dks_msg_type_t)i), counts->received[i]);
    }
  write_header (stream, "messages_sent_total", "Messages to other instances, by type.");
  for (int i = 0; i < DKS_MSG_TYPE_COUNT; i++)
    {
      if (counts->sent[i] > 0)
        fprintf (stream, "damaskshore_messages_sent_total{type=\"%s\"} %" PRIu64 "\n",
                 dks_msg_name ((dks_msg_type_t)i), counts->sent[i]);
    }
  write_header (stream, "placement_passes_total", "Passes over the jobs to start waiting tasks.");
  fprintf (stream, "damaskshore_placement_passes_total %" PRIu64 "\n", counts->passes);
  write_header (stream, "job_visits_total", "Jobs looked at one by one, in passes and estimates.");
  fprintf (stream, "damaskshore_job_visits_total %" PRIu64 "\n", counts->job_visits);
  write_header (stream, "target_scans_total", "Targets looked at one by one to place tasks.");
  fprintf (stream, "damaskshore_target_scans_total %" PRIu64 "\n", counts->target_scans);
}
