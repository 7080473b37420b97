#include "core/leased.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <inttypes.h>
#include <string.h>

enum
{
  /* Wait before a choice of the leader, after the start and after each instance that joins:
     time enough to receive the status of a present leader. */
  JOIN_QUIET_US = 250000,
  /* Wait while statuses of less than half of the other instances have been received: after a power
     loss the instances come back one by one. */
  MINORITY_WAIT_US = 700000,
  DISCOVERY_MAX_US = 2000000, /* longest wait for other instances, however many still join */
  FENCED_PAUSE_US = 500000, /* before an instance whose fencing token was rejected may lead again */
  /* Pause in place of FENCED_PAUSE_US while no other instance of the data centre can be reached:
     the leader with the higher fencing token is at work among them. */
  FENCED_ISOLATED_PAUSE_US = 5000000,
  TERMS_PER_MS = 4096, /* keeps terms below 2^53, up to which JSON numbers are exact */
  /* Added to the term on each attempt to lead after a rejected fencing token: makes up for a clock
     that is behind. */
  FENCED_TERM_STEP_MS = 5000,
  LAG_MAX_US = 400000, /* lag of all peers' statuses at which a leader stops leading; less than the
                          silence after which peers count an instance as lost */
  /* Lag of a status that counts as late. 100 ms occur on an instance that uses all its processor
     time; a leader refuses work above 200 ms, which keeps its lag from rising further. */
  LATE_LAG_US = 150000,
  LATE_GAP_MAX_US = 1200000, /* between two late statuses of a peer that belong together */
  /* Time from the first to the last of them that shows that this instance cannot keep up. A single
     stall delays statuses that are then handled together. */
  LATE_MIN_US = 400000,
  /* Time after its latest late statuses for which an instance does not begin to lead. */
  LATE_VIEW_US = 1000000,
  /* Intervals, and a margin for delay, without a message after which a status is overdue. Less than
     the silence that shows the loss of a leader, so that all are overdue when this instance is. */
  OVERDUE_INTERVALS = 2,
  OVERDUE_MARGIN_US = 50000,
  /* Silence of a peer that stays connected, which is taken for lateness when all peers are silent.
   */
  LATE_SILENCE_US = 1000000,
  /* Time without lateness after which an instance that could not keep up ranks as before. */
  SLOW_CALM_US = 3000000,
  /* Greatest interval of the statuses whose lag is used: that of two instances of one data centre.
   */
  LATE_INTERVAL_MAX_US = 200000,
  /* Least number of peers whose lag is known: a single one may be slow to send. */
  LATE_PEERS_MIN = 2,
  /* By this an instance that cannot keep up is smaller to others. Well above the ratio of the sizes
     of instances, so that it is the last choice. */
  SLOW_RANK_DIVISOR = 16,
  /* A leader that cannot keep up stops only for an instance with its processor time divided by
     this, or more: a smaller one would not keep up either. */
  SUCCESSOR_SIZE_DIVISOR = 2,
  /* Least age of a leadership that is handed over when the leader was late from its beginning on:
     then its data centre has more work than one instance can do, and each change only adds to it.
   */
  LATE_TERM_MIN_AGE_US = 10000000,
  /* Least age of a leadership that is handed over, and of the connection to its successor: each
     change costs running jobs some ms, so two must not follow in a row. */
  YIELD_MIN_AGE_US = 2000000,
  /* The same for a leader that succeeded one that drained: a larger one is about to be back. Time
     for a process that has just started to connect and to read the lists of the platform. */
  STOPGAP_MIN_AGE_US = 500000,
  /* Least ratio of the successor's processor time to the leader's: makes up for the cost of the
     change. */
  YIELD_PROCESSOR_RATIO = 2
};

/* Whether leadership A takes precedence over leadership B: the higher term, then the lower id. */
static bool
leadership_precedes (uint64_t term_a, const char *id_a, uint64_t term_b, const char *id_b)
{
  return term_a != term_b ? term_a > term_b : strcmp (id_a, id_b) < 0;
}

/* The other instance that leads the local data centre, by the highest term; NULL: none. */
static const dks_leased_peer_t *
find_leading_peer (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  const dks_leased_peer_t *leader = NULL;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->term > 0 && dks_leased_peer_is_local (leased, peer)
          && dks_leased_peer_is_alive (leased, peer)
          && (leader == NULL
              || leadership_precedes (peer->term, peer->id, leader->term, leader->id)))
        leader = peer;
    }
  return leader;
}

uint64_t
dks_leased_leader_term (const dks_leased_t *leased)
{
  const dks_leased_peer_t *leader = find_leading_peer (leased);

  return leader != NULL && leader->term > leased->term ? leader->term : leased->term;
}

const char *
dks_leased_leader_id (const dks_leased_t *leased)
{
  const dks_leased_peer_t *leader = find_leading_peer (leased);

  if (leased->term > 0
      && (leader == NULL
          || leadership_precedes (leased->term, leased->r->self, leader->term, leader->id)))
    return leased->r->self;
  return leader != NULL ? leader->id : NULL;
}

bool
dks_leased_peer_is_leader (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  const dks_leased_peer_t *other;

  if (peer == NULL || peer->term == 0)
    return false;
  APR_RING_FOREACH (other, &leased->peers, dks_leased_peer_t, link)
    {
      /* Its runs have ended some time after the last sign of its leadership, and a leader that it
       * has superseded has been fenced by then. */
      if (other->highest_term > peer->term && strcmp (other->data_centre, peer->data_centre) == 0
          && dks_leased_now_us (leased) - other->highest_term_us
                 < DKS_LEASED_ORPHAN_LIFETIME_MAX_US)
        return false;
    }
  return true;
}

void
dks_leased_leader_note_term (dks_leased_t *leased, const char *id, uint64_t term)
{
  dks_leased_peer_t *peer = dks_leased_peer_find (leased, id);

  if (peer == NULL || term == 0 || term < peer->highest_term)
    return;
  peer->highest_term = term;
  peer->highest_term_us = dks_leased_now_us (leased);
}

void
dks_leased_leader_note_local_terms (dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  if (!dks_leased_peer_is_local (leased, peer))
    return;
  if (peer->term > leased->heard_term)
    leased->heard_term = peer->term;
  if (peer->term > leased->highest_term)
    leased->highest_term = peer->term;
  if (peer->leader_term > leased->highest_term)
    leased->highest_term = peer->leader_term;
}

/* Whether an instance of the data centre hears a leader with a higher term than any that this one
 * has heard itself: the two leaders, or this instance and that leader, do not reach each other.
 * Statements tell what their sender hears, not what others state, so they end with the leader that
 * they are about. */
static bool
is_superseded_unheard (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->leader_term > leased->heard_term && dks_leased_peer_is_local (leased, peer)
          && dks_leased_peer_is_alive (leased, peer))
        return true;
    }
  return false;
}

bool
dks_leased_leader_has_told_targets (const dks_leased_t *leased, const dks_leased_peer_t *leader)
{
  return leased->targets_stated_us > 0 && leader->heard_us >= leased->targets_stated_us
         && leader->heard_us >= leader->connected_us;
}

int64_t
dks_leased_leader_rival_until_us (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  int64_t latest_us = 0;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (!dks_leased_peer_is_local (leased, peer))
        continue;
      if (peer->term > 0 || !dks_leased_peer_is_alive (leased, peer))
        return dks_leased_now_us (leased);
      if (peer->last_leading_us > 0 && peer->term_received_us > latest_us)
        latest_us = peer->term_received_us;
      /* It may have led unheard until then. */
      if (peer->heard_since_us > latest_us)
        latest_us = peer->heard_since_us;
    }
  return latest_us;
}

/* Terms */

static void
start_leading (dks_leased_t *leased)
{
  /* Targets remember the highest term even after all instances have been restarted, so terms follow
   * the clock. Instances that start to lead in the same millisecond get different terms. */
  uint64_t unique = dks_hash_text (leased->r->self, 0) % TERMS_PER_MS;
  uint64_t term = (uint64_t)leased->r->now.wall_ms * TERMS_PER_MS + unique;

  if (term <= leased->highest_term)
    term = (leased->highest_term / TERMS_PER_MS + 1) * TERMS_PER_MS + unique;
  leased->term = term;
  leased->highest_term = term;
  leased->heard_term = term;
  leased->term_start_us = leased->r->now.mono_us;
  leased->term_confirmed_us = 0;
  leased->term_late_us = 0;
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=leader-start data_centre=%s term=%" PRIu64,
                leased->r->config.data_centre, term);
  dks_leased_targets_handle_leadership (leased);
  dks_leased_prior_jobs_request_all (leased);
  dks_leased_share_all (leased);
  dks_leased_members_notify_all (leased);
}

static void
stop_leading (dks_leased_t *leased, const char *reason, bool is_superseded)
{
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=leader-stop term=%" PRIu64 " reason=%s",
                leased->term, reason);
  dks_metrics_increment (leased->metrics, DKS_LABELLED_LEADER_ENDS, reason, "");
  leased->term = 0;
  leased->last_leading_us = leased->r->now.mono_us;
  /* A leader that it did not hear may have used further targets. */
  if (!is_superseded && !dks_leased_targets_may_be_unknown (leased))
    leased->targets_told_us = leased->r->now.mono_us;
  dks_leased_jobs_drop_all (leased);
  dks_leased_targets_handle_leadership (leased);
  dks_leased_members_notify_all (leased);
}

/* Lag */

void
dks_leased_leader_record_lag (dks_leased_t *leased, dks_leased_peer_t *peer)
{
  int64_t now_us = leased->r->now.mono_us;

  if (peer->lag_us <= LATE_LAG_US)
    return;
  if (peer->late_until_us == 0 || now_us - peer->late_until_us > LATE_GAP_MAX_US)
    peer->late_since_us = now_us;
  peer->late_until_us = now_us;
}

/* Whether statuses of the peer are handled late again and again. One that waited shortly may come
 * between them: the statuses of a peer are read together, the latest of them in time. */
static bool
peer_is_late (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return peer->late_until_us > 0 && peer->late_until_us - peer->late_since_us >= LATE_MIN_US
         && leased->r->now.mono_us - peer->late_until_us <= LATE_GAP_MAX_US;
}

/* Whether the messages of more than half of the peers that send often are handled late; or none in
 * time, and the timers of this instance late as well: those of peers that seem silent may wait in
 * its own queue then. One peer that is slow to send, or whose connection is so new that its usual
 * delay is not known, says nothing. */
static bool
handles_late (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  uint32_t known = 0;
  uint32_t late = 0;
  uint32_t silent = 0;
  bool timers_are_late = leased->timer_late_us > 0
                         && leased->r->now.mono_us - leased->timer_late_us <= LATE_GAP_MAX_US;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (!peer->connected || peer->interval_us == 0 || peer->interval_us > LATE_INTERVAL_MAX_US)
        continue;
      known++;
      if (peer_is_late (leased, peer))
        late++;
      else if (leased->r->now.mono_us - peer->last_message_us >= LATE_SILENCE_US)
        silent++;
    }
  return known >= LATE_PEERS_MIN
         && (2 * late > known || (timers_are_late && late + silent == known));
}

/* Whether the peer's next status waits for longer than usual, or its latest one has. */
static bool
peer_is_overdue (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return peer->lag_us > LATE_LAG_US
         || leased->r->now.mono_us - peer->last_message_us
                >= OVERDUE_INTERVALS * peer->interval_us + OVERDUE_MARGIN_US;
}

/* Whether statuses of more than half of the peers that send often were handled late just now, or
 * those of all wait for longer than usual: peers that fall silent together are rarely all lost.
 * What this instance takes for the silence of a leader is likely its own delay then. Peers that are
 * lost count until their connections are closed. */
static bool
has_late_view (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  uint32_t known = 0;
  uint32_t late = 0;
  uint32_t overdue = 0;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (!peer->connected || peer->interval_us == 0 || peer->interval_us > LATE_INTERVAL_MAX_US)
        continue;
      known++;
      late +=
          peer->late_until_us > 0 && leased->r->now.mono_us - peer->late_until_us < LATE_VIEW_US;
      overdue += peer_is_overdue (leased, peer);
    }
  return known >= LATE_PEERS_MIN && (2 * late > known || overdue == known);
}

static void
set_slow (dks_leased_t *leased, bool is_slow)
{
  if (is_slow == leased->is_slow)
    return;
  leased->is_slow = is_slow;
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=instance-slow slow=%d leads=%d", is_slow,
                leased->term > 0);
  dks_leased_members_notify_all (leased);
}

static void
update_slow (dks_leased_t *leased)
{
  int64_t now_us = leased->r->now.mono_us;

  if (handles_late (leased))
    {
      leased->late_until_us = now_us;
      if (leased->term_late_us == 0)
        leased->term_late_us = now_us;
      set_slow (leased, true);
    }
  else if (now_us - leased->late_until_us >= SLOW_CALM_US)
    set_slow (leased, false);
}

uint32_t
dks_leased_leader_rank_milli (const dks_leased_t *leased)
{
  return leased->is_slow ? leased->r->config.processor_milli / SLOW_RANK_DIVISOR
                         : leased->r->config.processor_milli;
}

/* Whether the peer counts as present. An instance that cannot keep up may take peers for silent
 * whose messages wait in its own queue, so for it those that are connected count. */
static bool
peer_is_present (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return leased->is_slow ? peer->connected : dks_leased_peer_is_alive (leased, peer);
}

/* Whether another instance could take over from this leader, which cannot keep up. */
static bool
has_able_successor (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (dks_leased_peer_is_local (leased, peer) && peer_is_present (leased, peer)
          && !peer->draining && peer->knows_targets
          && leased->r->now.mono_us - peer->connected_us >= YIELD_MIN_AGE_US
          && SUCCESSOR_SIZE_DIVISOR * peer->processor_milli >= leased->r->config.processor_milli)
        return true;
    }
  return false;
}

/* Whether this leader has led for long enough to hand over because it cannot keep up. */
static bool
may_hand_over_slow (const dks_leased_t *leased)
{
  bool late_from_start = leased->term_late_us - leased->term_start_us < YIELD_MIN_AGE_US;

  return leased->r->now.mono_us - leased->term_start_us
         >= (late_from_start ? LATE_TERM_MIN_AGE_US : YIELD_MIN_AGE_US);
}

int64_t
dks_leased_leader_lag_us (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  int64_t min_lag_us = INT64_MAX;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      /* The lag of a status that is sent rarely may be outdated. */
      if (dks_leased_peer_is_alive (leased, peer) && dks_leased_peer_sends_fast (peer)
          && peer->lag_us < min_lag_us)
        min_lag_us = peer->lag_us;
    }
  return min_lag_us != INT64_MAX ? min_lag_us : 0;
}

void
dks_leased_leader_record_timer (dks_leased_t *leased, int64_t due_us)
{
  if (leased->r->now.mono_us - due_us > LATE_LAG_US)
    leased->timer_late_us = leased->r->now.mono_us;
}

void
dks_leased_leader_check_lag (dks_leased_t *leased)
{
  update_slow (leased);
  if (leased->term == 0)
    return;
  /* The other instances count a leader that handles all messages this late as lost, and it does not
   * learn in time of the successor that they choose. */
  if (dks_leased_leader_lag_us (leased) > LAG_MAX_US)
    {
      leased->listening_since_us = leased->r->now.mono_us;
      /* Else it would be the first candidate again. */
      set_slow (leased, true);
      leased->late_until_us = leased->r->now.mono_us;
      stop_leading (leased, "lagging", false);
    }
  /* Leadership ends before a successor begins: one that cannot keep up may learn late of it. */
  else if (leased->is_slow && may_hand_over_slow (leased) && has_able_successor (leased))
    {
      leased->listening_since_us = leased->r->now.mono_us;
      stop_leading (leased, "slow", false);
    }
}

/* Whether the peer is to lead rather than this instance: the one with more processor time is
 * preferred, then the one that has run longer. */
static bool
peer_is_preferred (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  uint32_t local_milli = dks_leased_leader_rank_milli (leased);

  if (peer->processor_milli != local_milli)
    return peer->processor_milli > local_milli;
  if (peer->started_ms != leased->started_ms)
    return peer->started_ms < leased->started_ms;
  return strcmp (peer->id, leased->r->self) < 0;
}

/* Whether another instance of the local data centre is the better candidate for leadership: it is
 * not draining, and it is preferred or this instance is draining. With `must_know_targets`, only
 * instances that know the list of targets count. */
static bool
has_better_candidate (const dks_leased_t *leased, bool must_know_targets)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (!dks_leased_peer_is_local (leased, peer)
          || (!peer_is_present (leased, peer) && !dks_leased_peer_may_be_present (leased, peer))
          || peer->draining || (must_know_targets && !peer->knows_targets))
        continue;
      if (leased->drain_start_us > 0 || peer_is_preferred (leased, peer))
        return true;
    }
  return false;
}

/* Whether other instances of the local data centre are known but none of them is alive. */
static bool
is_isolated (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  bool has_local_peers = false;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (!dks_leased_peer_is_local (leased, peer))
        continue;
      if (dks_leased_peer_is_alive (leased, peer))
        return false;
      has_local_peers = true;
    }
  return has_local_peers;
}

/* Whether enough other instances have sent a status since the start for a choice of the leader.
 * When all instances start together, each learns of the others one by one; those that lead too
 * early fence each other off. */
static bool
is_discovery_complete (const dks_leased_t *leased)
{
  int64_t now_us = leased->r->now.mono_us;
  uint32_t alive_count = dks_leased_members_count_alive (leased);
  uint32_t address_count = dks_leased_addresses_count_recent (leased);
  int64_t quiet_since_us = leased->last_join_us > leased->listening_since_us
                               ? leased->last_join_us
                               : leased->listening_since_us;

  if (now_us - leased->listening_since_us >= DISCOVERY_MAX_US)
    return true;
  /* All other instances have reported that they do not lead, so no leader's status is awaited. One
     that has not sent its addresses yet may know of more. */
  if (address_count > 0 && alive_count >= address_count
      && dks_leased_addresses_are_exchanged (leased) && !has_better_candidate (leased, false))
    return true;
  if (2 * alive_count < address_count && now_us - leased->listening_since_us < MINORITY_WAIT_US)
    return false;
  return now_us - quiet_since_us >= JOIN_QUIET_US;
}

/* Whether the leader is disconnected for the moment only, as far as is known. */
static bool
leader_may_return (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (dks_leased_peer_is_local (leased, peer) && peer->led_at_loss
          && dks_leased_peer_may_be_present (leased, peer))
        return true;
    }
  return false;
}

/* Whether this instance may lead, where `leader` leads now; NULL: none does. */
static bool
may_lead (const dks_leased_t *leased, const dks_leased_peer_t *leader)
{
  int64_t now_us = leased->r->now.mono_us;
  int64_t pause_us = is_isolated (leased) ? FENCED_ISOLATED_PAUSE_US : FENCED_PAUSE_US;

  if (!dks_leased_feed_knows_targets (leased) || !is_discovery_complete (leased)
      || has_late_view (leased) || leader_may_return (leased))
    return false;
  if (leased->last_fenced_us > 0 && now_us - leased->last_fenced_us < pause_us)
    return false;
  /* A draining instance succeeds only another one, by dks_leased_handover_may_take_over(). */
  return (leased->drain_start_us > 0 && leader != NULL) || !has_better_candidate (leased, true);
}

/* Offers the leadership to an instance that has clearly more processor time, and has been connected
 * for a while. */
static void
update_yielding (dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  int64_t min_age_us = leased->is_stopgap ? STOPGAP_MIN_AGE_US : YIELD_MIN_AGE_US;
  bool yields = false;

  if (leased->term > 0 && leased->r->now.mono_us - leased->term_start_us >= min_age_us)
    {
      APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
        yields =
            yields
            || (dks_leased_peer_is_local (leased, peer) && dks_leased_peer_is_alive (leased, peer)
                && !peer->draining && peer->knows_targets
                && leased->r->now.mono_us - peer->connected_us >= min_age_us
                && peer->processor_milli
                       >= YIELD_PROCESSOR_RATIO * leased->r->config.processor_milli);
    }
  if (yields == leased->yields_leadership)
    return;
  leased->yields_leadership = yields;
  dks_emit_log (leased->r, DKS_LOG_INFO, "event=leader-yields yields=%d", yields);
  dks_leased_members_notify_all (leased);
}

/* Whether this instance may take over from a leader that is alive. */
static bool
may_take_over_from (const dks_leased_t *leased, const dks_leased_peer_t *leader)
{
  if (!dks_leased_leader_has_told_targets (leased, leader))
    return false;
  if (leader->draining)
    return dks_leased_handover_may_take_over (leased, leader);
  return leased->drain_start_us == 0 && leader->yields_leadership
         && leased->r->config.processor_milli >= YIELD_PROCESSOR_RATIO * leader->processor_milli;
}

void
dks_leased_leader_update (dks_leased_t *leased)
{
  const dks_leased_peer_t *leader = find_leading_peer (leased);
  bool superseded_unheard = is_superseded_unheard (leased);

  if (leased->term > 0
      && (superseded_unheard
          || (leader != NULL
              && leadership_precedes (leader->term, leader->id, leased->term, leased->r->self))))
    stop_leading (leased, "higher-term", true);
  update_yielding (leased);
  if (leased->term == 0 && (leader == NULL || may_take_over_from (leased, leader))
      && !superseded_unheard && may_lead (leased, leader))
    {
      leased->is_stopgap = leader != NULL && leader->draining;
      start_leading (leased);
    }
  dks_leased_handover_update (leased);
  leased->leader_known = leased->term > 0 || find_leading_peer (leased) != NULL;
  dks_leased_entry_resubmit (leased);
}

void
dks_leased_leader_handle_pause (dks_leased_t *leased, int64_t pause_us)
{
  dks_leased_peer_t *peer;

  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=paused for_ms=%" PRId64, pause_us / 1000);
  /* Another leader may have begun meanwhile. Its status arrives within JOIN_QUIET_US. */
  leased->listening_since_us = leased->r->now.mono_us;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      /* The silence was that of this instance: messages of the peer have not been handled. */
      peer->status_received = false;
      peer->last_message_us = leased->r->now.mono_us;
    }
  if (leased->term > 0)
    stop_leading (leased, "paused", false);
}

void
dks_leased_leader_handle_fenced (dks_leased_t *leased)
{
  if (leased->term == 0)
    return;
  leased->last_fenced_us = leased->r->now.mono_us;
  leased->highest_term = leased->term + (uint64_t)FENCED_TERM_STEP_MS * TERMS_PER_MS;
  stop_leading (leased, "fenced", true);
  dks_leased_entry_resubmit (leased);
}
