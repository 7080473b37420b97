#include "core/leased.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Between two statuses of instances that need each other: a leader and its data centre, two
     leaders, and all instances of a data centre without a leader. Six are missed before
     SILENCE_TIMEOUT_US has passed. */
  FAST_INTERVAL_US = 100000,
  LOCAL_INTERVAL_US = 200000,    /* of other instances of one data centre */
  REMOTE_INTERVAL_US = 1000000,  /* of other instances of two data centres */
  STATUS_MIN_INTERVAL_US = 5000, /* least time between two statuses about changes */
  /* A change of the free capacity by less tasks than this, and by less than a quarter, waits for
     the next status that is due anyway. */
  CAPACITY_CHANGE_MIN_TASKS = 4,
  /* An instance without a message for this long counts as lost. Shorter than a lease, so that a
     successor can adopt the runs of a lost leader. */
  SILENCE_TIMEOUT_US = 600000,
  /* Intervals without a status after which an instance counts as lost that sends them rarely. */
  SILENT_INTERVALS = 3,
  SILENCE_MARGIN_US = 200000, /* added to SILENT_INTERVALS for delay on the way */
  /* Time for which jobs of an instance are kept that is not known to have run since, although
   * messages of it arrive. Their runs are stopped before their leases end. */
  UNPROVEN_TIMEOUT_US = 900000,
  /* From the loss of an instance to the end of its connection, which may stay silent for ever while
     new ones work. */
  CLOSE_DELAY_US = 900000,
  CLOCK_DRIFT_PART = 1000, /* steady clocks drift apart by less than this part of the time */
  LOST_PEER_RETENTION_US = 20000000 /* a lost instance is forgotten after this */
};

dks_leased_peer_t *
dks_leased_peer_find (const dks_leased_t *leased, const char *id)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (strcmp (peer->id, id) == 0)
        return peer;
    }
  return NULL;
}

bool
dks_leased_peer_sends_fast (const dks_leased_peer_t *peer)
{
  return peer->interval_us <= FAST_INTERVAL_US;
}

/* Time without a message after which the peer counts as lost. */
static int64_t
silence_timeout_us (const dks_leased_peer_t *peer)
{
  return dks_leased_peer_sends_fast (peer)
             ? SILENCE_TIMEOUT_US
             : SILENT_INTERVALS * peer->interval_us + SILENCE_MARGIN_US;
}

bool
dks_leased_peer_is_alive (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return peer->connected && peer->status_received
         && leased->r->now.mono_us - peer->last_message_us < silence_timeout_us (peer);
}

bool
dks_leased_peer_may_be_present (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return leased->r->now.mono_us < peer->unproven_until_us;
}

bool
dks_leased_members_has_local_peer (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (dks_leased_peer_is_local (leased, peer))
        return true;
    }
  return false;
}

uint32_t
dks_leased_members_count_alive (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  uint32_t count = 0;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    count += dks_leased_peer_is_alive (leased, peer);
  return count;
}

/* Status */

/* Whether an instance leads, or led so lately that a new leader has to hear from it before it may
 * take the runs of the former one for ended. */
static bool
has_lately_led (const dks_leased_t *leased, uint64_t term, int64_t last_leading_us)
{
  return term > 0
         || (last_leading_us > 0
             && leased->r->now.mono_us - last_leading_us < DKS_LEASED_ORPHAN_LIFETIME_MAX_US);
}

/* Longest time between two statuses to the peer. */
static int64_t
status_interval_us (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  bool is_local = dks_leased_peer_is_local (leased, peer);

  /* A peer that has stated no interval takes the silence of a few fast ones for a loss. */
  if (peer->interval_us == 0)
    return FAST_INTERVAL_US;
  if (!is_local)
    return has_lately_led (leased, leased->term, leased->last_leading_us)
                   && has_lately_led (leased, peer->term, peer->last_leading_us)
               ? FAST_INTERVAL_US
               : REMOTE_INTERVAL_US;
  return leased->term > 0 || peer->term > 0 || !leased->leader_known ? FAST_INTERVAL_US
                                                                     : LOCAL_INTERVAL_US;
}

/* Computes the free capacity that statuses state. A draining leader that is alone, or at the end of
 * its time, states none, so that it gets no more lent tasks and can finish. */
static void
update_capacity (dks_leased_t *leased)
{
  double slowness;

  leased->capacity = (dks_leased_capacity_t){ 0 };
  if (leased->term == 0 || !dks_leased_handover_takes_lent (leased))
    return;
  leased->capacity.free_tasks = dks_leased_targets_free_tasks (leased);
  leased->capacity.free_fast_tasks = dks_leased_targets_free_fast_tasks (leased, &slowness);
  if (leased->capacity.free_fast_tasks > 0)
    leased->capacity.fast_slowness_milli = (uint32_t)(1000 * slowness);
}

static bool
is_clear_change (uint32_t before, uint32_t after)
{
  uint32_t change = before > after ? before - after : after - before;

  if ((before == 0) != (after == 0))
    return true;
  return change >= CAPACITY_CHANGE_MIN_TASKS && 4 * change >= before;
}

/* Whether other leaders would lend other tasks if they knew the present free capacity. */
static bool
capacity_has_changed (const dks_leased_t *leased)
{
  return is_clear_change (leased->stated_capacity.free_tasks, leased->capacity.free_tasks)
         || is_clear_change (leased->stated_capacity.free_fast_tasks,
                             leased->capacity.free_fast_tasks);
}

/* A status that states the capacity that update_capacity() has computed. */
static dks_msg_t *
create_status (dks_leased_t *leased, dks_leased_peer_t *peer)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_LEASED_STATUS);
  int64_t interval_us = status_interval_us (leased, peer);

  msg->u.leased_status.term = leased->term;
  msg->u.leased_status.started_ms = leased->started_ms;
  msg->u.leased_status.catalog_version = leased->catalog != NULL ? leased->catalog->version : 0;
  msg->u.leased_status.free_tasks = leased->capacity.free_tasks;
  msg->u.leased_status.free_fast_tasks = leased->capacity.free_fast_tasks;
  msg->u.leased_status.fast_slowness_milli = leased->capacity.fast_slowness_milli;
  msg->u.leased_status.sent_us = leased->r->now.mono_us;
  msg->u.leased_status.waiting_tasks = leased->waiting_tasks;
  msg->u.leased_status.processor_milli = dks_leased_leader_rank_milli (leased);
  msg->u.leased_status.draining = leased->drain_start_us > 0;
  msg->u.leased_status.handover_ms =
      (uint32_t)((dks_leased_entry_handover_left_us (leased) + 999) / 1000);
  msg->u.leased_status.yields_leadership = leased->term > 0 && leased->yields_leadership;
  msg->u.leased_status.knows_targets = dks_leased_feed_knows_targets (leased);
  msg->u.leased_status.interval_ms = (uint32_t)(interval_us / 1000);
  msg->u.leased_status.address_digest = leased->address_digest;
  msg->u.leased_status.states_prior_jobs = !dks_leased_targets_may_be_unknown (leased);
  msg->u.leased_status.heard_us = peer->last_sent_us;
  msg->u.leased_status.leader_term = dks_leased_leader_term (leased);
  msg->u.leased_status.targets_digest = leased->targets_digest;
  dks_leased_evacuation_state (leased, msg);
  if (msg->u.leased_status.knows_targets && leased->targets_stated_us == 0)
    leased->targets_stated_us = leased->r->now.mono_us;
  peer->next_status_us = leased->r->now.mono_us + interval_us;
  peer->stated_interval_us = interval_us;
  return msg;
}

static void
send_status (dks_leased_t *leased, dks_leased_peer_t *peer)
{
  dks_emit_peer (leased->r, peer->id, create_status (leased, peer));
}

void
dks_leased_members_send_prior_jobs (dks_leased_t *leased, dks_leased_peer_t *peer, uint64_t *jobs,
                                    uint32_t count)
{
  dks_msg_t *msg;

  update_capacity (leased);
  msg = create_status (leased, peer);
  msg->u.leased_status.prior_jobs_term = peer->term;
  msg->u.leased_status.prior_jobs = jobs;
  msg->u.leased_status.prior_job_count = count;
  dks_emit_peer (leased->r, peer->id, msg);
}

/* Sends the statuses that are due. Clear changes of the free capacity make those to other leaders
 * due. */
static void
send_status_to_peers (dks_leased_t *leased)
{
  int64_t time_us = leased->r->now.mono_us;
  bool to_all = leased->status_due_to_all;
  bool to_leaders;
  dks_leased_peer_t *peer;

  update_capacity (leased);
  to_leaders = leased->status_due_to_leaders && capacity_has_changed (leased);
  if (to_leaders || to_all)
    leased->stated_capacity = leased->capacity;
  leased->status_due_to_leaders = false;
  leased->status_due_to_all = false;
  leased->last_status_us = time_us;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->connected
          && (to_all || (to_leaders && peer->term > 0) || time_us >= peer->next_status_us))
        send_status (leased, peer);
    }
}

static void
schedule_status (dks_leased_t *leased)
{
  int64_t at_us = leased->last_status_us + FAST_INTERVAL_US;

  if ((leased->status_due_to_leaders || leased->status_due_to_all)
      && leased->last_status_us + STATUS_MIN_INTERVAL_US < at_us)
    at_us = leased->last_status_us + STATUS_MIN_INTERVAL_US;
  leased->status_due_us = at_us;
  dks_timer_set (leased->r->timers, &leased->status_timer, at_us);
}

static void
drop_lost_peers (dks_leased_t *leased)
{
  dks_leased_peer_t *peer;
  dks_leased_peer_t *next;

  APR_RING_FOREACH_SAFE (peer, next, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->connected
          || leased->r->now.mono_us - peer->last_message_us < LOST_PEER_RETENTION_US)
        continue;
      APR_RING_REMOVE (peer, link);
      dks_leased_data_centre_check (leased, peer->data_centre);
      free (peer);
    }
}

/* Ends the jobs of a peer whose messages have been under way for so long that it may stand still
 * since, with callers that have left it. */
static void
check_unproven (dks_leased_t *leased, dks_leased_peer_t *peer)
{
  if (leased->term == 0 || !dks_leased_peer_sends_fast (peer)
      || leased->r->now.mono_us - peer->proven_running_us < UNPROVEN_TIMEOUT_US)
    return;
  dks_leased_jobs_handle_peer_unproven (leased, peer->id);
}

static void
check_silent_peers (dks_leased_t *leased)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->connected
          && leased->r->now.mono_us - peer->last_message_us
                 >= silence_timeout_us (peer) + CLOSE_DELAY_US)
        {
          dks_effect_t *effect = dks_effects_add (leased->r->effects, DKS_EFFECT_PEER_CLOSE);

          dks_strcpy (effect->u.peer_close.peer, sizeof (effect->u.peer_close.peer), peer->id);
        }
      if (!peer->connected || !peer->status_received)
        continue;
      if (dks_leased_peer_is_alive (leased, peer))
        {
          check_unproven (leased, peer);
          continue;
        }
      dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=peer-silent peer=%s", peer->id);
      peer->status_received = false;
      peer->term = 0;
      leased->peers_generation++;
      dks_leased_jobs_handle_peer_lost (leased, peer->id);
    }
}

static void
handle_status_timer (void *context, int64_t now_us)
{
  dks_leased_t *leased = context;

  dks_leased_load_tick (leased);
  dks_leased_addresses_tick (leased);
  check_silent_peers (leased);
  dks_leased_leader_record_timer (leased, leased->status_due_us);
  dks_leased_leader_check_lag (leased);
  drop_lost_peers (leased);
  dks_leased_leader_update (leased);
  dks_leased_feed_fetch_from_peers (leased);
  send_status_to_peers (leased);
  schedule_status (leased);
}

void
dks_leased_members_notify_leaders (dks_leased_t *leased)
{
  if (leased->status_due_to_leaders)
    return;
  leased->status_due_to_leaders = true;
  schedule_status (leased);
}

void
dks_leased_members_notify_all (dks_leased_t *leased)
{
  leased->status_due_to_all = true;
  schedule_status (leased);
}

/* Connections */

/* Whether both member ids "INSTANCE#INCARNATION" are of one instance. */
static bool
is_same_instance (const char *id_a, const char *id_b)
{
  size_t len = strcspn (id_a, "#");

  return strncmp (id_a, id_b, len + 1) == 0;
}

/* A new process of an instance shows that its earlier one has ended. */
static void
end_earlier_process (dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  dks_leased_peer_t *other;

  APR_RING_FOREACH (other, &leased->peers, dks_leased_peer_t, link)
    {
      if (other != peer && !other->connected && is_same_instance (other->id, peer->id))
        other->unproven_until_us = 0;
    }
}

void
dks_leased_members_handle_up (dks_leased_t *leased, const char *id, const char *data_centre)
{
  dks_leased_peer_t *peer = dks_leased_peer_find (leased, id);

  if (peer == NULL)
    {
      peer = dks_alloc (sizeof (*peer));
      dks_strcpy (peer->id, sizeof (peer->id), id);
      APR_RING_INSERT_TAIL (&leased->peers, peer, dks_leased_peer_t, link);
    }
  dks_strcpy (peer->data_centre, sizeof (peer->data_centre), data_centre);
  dks_leased_data_centre_add (leased, data_centre);
  dks_leased_prior_jobs_handle_up (leased, id);
  peer->connected = true;
  peer->status_received = false;
  peer->term = 0;
  peer->interval_us = 0;
  peer->last_message_us = leased->r->now.mono_us;
  peer->connected_us = leased->r->now.mono_us;
  end_earlier_process (leased, peer);
  dks_emit_log (leased->r, DKS_LOG_INFO, "event=peer-up peer=%s data_centre=%s", id, data_centre);
  dks_leased_addresses_handle_up (leased, peer);
  update_capacity (leased);
  send_status (leased, peer);
}

/* Records that the connection to the peer has closed, which does not show that its process has
 * ended. One that shuts down has said so. */
static void
note_unproven_loss (const dks_leased_t *leased, dks_leased_peer_t *peer)
{
  if (peer->address != NULL)
    dks_strcpy (peer->lost_address, sizeof (peer->lost_address), peer->address->text);
  if (!dks_leased_peer_is_alive (leased, peer))
    return;
  peer->unproven_until_us = peer->draining ? 0 : peer->last_message_us + SILENCE_TIMEOUT_US;
  peer->led_at_loss = peer->term > 0;
}

void
dks_leased_members_handle_down (dks_leased_t *leased, const char *id)
{
  dks_leased_peer_t *peer = dks_leased_peer_find (leased, id);

  if (peer == NULL)
    return;
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=peer-down peer=%s", id);
  note_unproven_loss (leased, peer);
  peer->connected = false;
  peer->status_received = false;
  peer->term = 0;
  leased->peers_generation++;
  dks_leased_addresses_handle_down (leased, peer);
  dks_leased_jobs_handle_peer_lost (leased, id);
  dks_leased_leader_update (leased);
}

void
dks_leased_members_handle_refused (dks_leased_t *leased, const char *address)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->connected || !dks_leased_peer_may_be_present (leased, peer)
          || strcmp (peer->lost_address, address) != 0)
        continue;
      dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=peer-gone peer=%s", peer->id);
      peer->unproven_until_us = 0;
      dks_leased_leader_update (leased);
    }
}

void
dks_leased_peer_record_echo (dks_leased_peer_t *peer, int64_t sent_us, int64_t heard_us)
{
  if (heard_us > 0 && (!peer->echo_known || heard_us - sent_us > peer->max_echo_diff_us))
    {
      peer->max_echo_diff_us = heard_us - sent_us;
      peer->echo_known = true;
    }
  if (peer->echo_known && sent_us + peer->max_echo_diff_us > peer->proven_running_us)
    peer->proven_running_us = sent_us + peer->max_echo_diff_us;
}

/* Records how much later than usual a status was handled. The least difference of the two clocks is
 * that of a status which was not delayed. It outlasts silence and connections: the first status
 * after a cut has been held up as long as the messages that follow it. */
static void
record_lag (dks_leased_t *leased, dks_leased_peer_t *peer, int64_t sent_us, int64_t heard_us)
{
  int64_t clock_diff_us = leased->r->now.mono_us - sent_us;
  int64_t drift_us = peer->last_status_us > 0
                         ? (leased->r->now.mono_us - peer->last_status_us) / CLOCK_DRIFT_PART
                         : 0;

  peer->min_clock_diff_us += drift_us;
  peer->max_echo_diff_us -= drift_us;
  dks_leased_peer_record_echo (peer, sent_us, heard_us);
  if (peer->last_status_us == 0 || clock_diff_us < peer->min_clock_diff_us)
    peer->min_clock_diff_us = clock_diff_us;
  peer->last_status_us = leased->r->now.mono_us;
  peer->lag_us = clock_diff_us - peer->min_clock_diff_us;
  dks_leased_leader_record_lag (leased, peer);
}

bool
dks_leased_peer_sent_within (const dks_leased_t *leased, const dks_leased_peer_t *peer,
                             int64_t sent_us, int64_t age_us)
{
  return peer->echo_known && leased->r->now.mono_us - sent_us - peer->max_echo_diff_us < age_us;
}

int64_t
dks_leased_peer_lag_us (const dks_leased_t *leased, const dks_leased_peer_t *peer, int64_t sent_us)
{
  int64_t lag_us = leased->r->now.mono_us - sent_us - peer->min_clock_diff_us;

  return peer->last_status_us > 0 && lag_us > 0 ? lag_us : 0;
}

void
dks_leased_members_handle_status (dks_leased_t *leased, dks_leased_peer_t *peer,
                                  const dks_msg_t *msg)
{
  bool is_new = !peer->status_received;
  bool begins_to_lead = msg->u.leased_status.term > 0 && msg->u.leased_status.term != peer->term;
  bool learns_targets = msg->u.leased_status.knows_targets && (is_new || !peer->knows_targets);
  bool changed = is_new || peer->term != msg->u.leased_status.term
                 || peer->leader_term != msg->u.leased_status.leader_term
                 || peer->draining != msg->u.leased_status.draining
                 || (msg->u.leased_status.draining && msg->u.leased_status.term > 0)
                 || peer->yields_leadership != msg->u.leased_status.yields_leadership
                 || peer->knows_targets != msg->u.leased_status.knows_targets;
  bool peer_is_evacuated;

  if (peer->term > 0 && msg->u.leased_status.term != peer->term)
    dks_leased_lend_handle_remote_lost (leased, peer->id);
  record_lag (leased, peer, msg->u.leased_status.sent_us, msg->u.leased_status.heard_us);
  peer->last_sent_us = msg->u.leased_status.sent_us;
  peer->heard_us = msg->u.leased_status.heard_us;
  /* A leader that may not know all targets itself states no jobs. */
  if (msg->u.leased_status.term > 0 && msg->u.leased_status.states_prior_jobs
      && dks_leased_peer_is_local (leased, peer)
      && dks_leased_leader_has_told_targets (leased, peer))
    leased->targets_told_us = leased->r->now.mono_us;
  peer->status_received = true;
  peer->unproven_until_us = 0;
  if (peer->term != msg->u.leased_status.term)
    peer->term_received_us = leased->r->now.mono_us;
  if (is_new || peer->term != msg->u.leased_status.term)
    leased->peers_generation++;
  if (msg->u.leased_status.term > 0 && (is_new || peer->term != msg->u.leased_status.term))
    dks_leased_prior_jobs_request (leased, peer);
  peer->term = msg->u.leased_status.term;
  peer->states_prior_jobs = msg->u.leased_status.states_prior_jobs;
  peer->leader_term = msg->u.leased_status.leader_term;
  dks_leased_leader_note_term (leased, peer->id, peer->term);
  if (peer->term > 0)
    peer->last_leading_us = leased->r->now.mono_us;
  peer->started_ms = msg->u.leased_status.started_ms;
  peer->catalog_version = msg->u.leased_status.catalog_version;
  dks_leased_feed_note_version (leased, peer->catalog_version);
  dks_leased_evacuation_handle_status (leased, peer, msg);
  /* A leader may not know yet that its data centre is evacuated. */
  peer_is_evacuated = dks_leased_evacuation_covers (leased, peer->data_centre);
  peer->free_tasks = peer_is_evacuated ? 0 : msg->u.leased_status.free_tasks;
  peer->free_fast_tasks = peer_is_evacuated ? 0 : msg->u.leased_status.free_fast_tasks;
  peer->fast_slowness = msg->u.leased_status.fast_slowness_milli / 1000.0;
  peer->waiting_tasks = msg->u.leased_status.waiting_tasks;
  peer->processor_milli = msg->u.leased_status.processor_milli;
  peer->draining = msg->u.leased_status.draining;
  peer->handover_left_us = INT64_C (1000) * msg->u.leased_status.handover_ms;
  peer->handover_end_us =
      peer->handover_left_us > 0 ? leased->r->now.mono_us + peer->handover_left_us : 0;
  peer->yields_leadership = msg->u.leased_status.yields_leadership;
  peer->knows_targets = msg->u.leased_status.knows_targets;
  peer->interval_us = INT64_C (1000) * msg->u.leased_status.interval_ms;
  peer->address_digest = msg->u.leased_status.address_digest;
  dks_leased_prior_jobs_handle_status (leased, peer, msg);
  peer->targets_digest = msg->u.leased_status.targets_digest;
  dks_leased_addresses_handle_status (leased, peer, is_new);
  dks_leased_leader_note_local_terms (leased, peer);
  if (is_new)
    {
      leased->last_join_us = leased->r->now.mono_us;
      peer->heard_since_us = leased->r->now.mono_us;
    }
  if (is_new && dks_leased_peer_is_local (leased, peer))
    {
      dks_leased_speeds_publish_all (leased);
      dks_leased_crashes_send_all (leased, peer->id);
    }
  if (begins_to_lead)
    dks_leased_share_lately_known (leased, peer);
  if (learns_targets)
    dks_leased_share_with (leased, peer);
  if (changed)
    dks_leased_leader_update (leased);
  dks_leased_feed_fetch_from_peers (leased);
  /* The peer takes the interval in the latest status for the time in which silence shows a loss, so
     a shorter one has to be stated before any tasks are lent. */
  if (status_interval_us (leased, peer) < peer->stated_interval_us)
    {
      update_capacity (leased);
      send_status (leased, peer);
    }
  if ((peer->free_tasks > 0 && leased->waiting_tasks > 0) || leased->remote_lost_tasks > 0)
    leased->placement_due = true;
}

void
dks_leased_members_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->peers, dks_leased_peer_t, link);
  leased->started_ms = leased->r->now.wall_ms;
  leased->start_us = leased->r->now.mono_us;
  leased->listening_since_us = leased->r->now.mono_us;
  dks_timer_init (&leased->status_timer, handle_status_timer, leased);
  leased->status_due_us = leased->r->now.mono_us;
  dks_timer_set (leased->r->timers, &leased->status_timer, leased->r->now.mono_us);
}

void
dks_leased_members_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->peers, dks_leased_peer_t, link))
    {
      dks_leased_peer_t *peer = APR_RING_FIRST (&leased->peers);

      APR_RING_REMOVE (peer, link);
      free (peer);
    }
  dks_timer_cancel (leased->r->timers, &leased->status_timer);
}
