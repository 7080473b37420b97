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
  /* Least age of a leadership that is handed over, and of the connection to its successor: each
     change costs running jobs some ms, so two must not follow in a row. */
  YIELD_MIN_AGE_US = 2000000,
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
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=leader-start data_centre=%s term=%" PRIu64,
                leased->r->config.data_centre, term);
  dks_leased_targets_handle_leadership (leased);
  dks_leased_share_all (leased);
  dks_leased_members_notify_all (leased);
}

static void
stop_leading (dks_leased_t *leased, const char *reason)
{
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=leader-stop term=%" PRIu64 " reason=%s",
                leased->term, reason);
  dks_metrics_increment (leased->metrics, DKS_LABELLED_LEADER_ENDS, reason, "");
  leased->term = 0;
  leased->last_leading_us = leased->r->now.mono_us;
  dks_leased_jobs_drop_all (leased);
  dks_leased_targets_handle_leadership (leased);
  dks_leased_members_notify_all (leased);
}

/* The other instances count a leader that handles all messages this late as lost, and it does not
 * learn in time of the successor that they choose. */
void
dks_leased_leader_check_lag (dks_leased_t *leased)
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
  if (leased->term > 0 && min_lag_us != INT64_MAX && min_lag_us > LAG_MAX_US)
    {
      leased->listening_since_us = leased->r->now.mono_us;
      stop_leading (leased, "lagging");
    }
}

/* Whether the peer is to lead rather than this instance: the one with more processor time is
 * preferred, then the one that has run longer. */
static bool
peer_is_preferred (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  uint32_t local_milli = leased->r->config.processor_milli;

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
      if (!dks_leased_peer_is_local (leased, peer) || !dks_leased_peer_is_alive (leased, peer)
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

static bool
may_lead (const dks_leased_t *leased)
{
  int64_t now_us = leased->r->now.mono_us;
  int64_t pause_us = is_isolated (leased) ? FENCED_ISOLATED_PAUSE_US : FENCED_PAUSE_US;

  if (!dks_leased_feed_knows_targets (leased) || !is_discovery_complete (leased))
    return false;
  if (leased->last_fenced_us > 0 && now_us - leased->last_fenced_us < pause_us)
    return false;
  return !has_better_candidate (leased, true);
}

/* Offers the leadership to an instance that has clearly more processor time, and has been connected
 * for a while. */
static void
update_yielding (dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;
  bool yields = false;

  if (leased->term > 0 && leased->r->now.mono_us - leased->term_start_us >= YIELD_MIN_AGE_US)
    {
      APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
        yields =
            yields
            || (dks_leased_peer_is_local (leased, peer) && dks_leased_peer_is_alive (leased, peer)
                && !peer->draining && peer->knows_targets
                && leased->r->now.mono_us - peer->connected_us >= YIELD_MIN_AGE_US
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
  if (leased->drain_start_us > 0)
    return false;
  return leader->draining
         || (leader->yields_leadership
             && leased->r->config.processor_milli
                    >= YIELD_PROCESSOR_RATIO * leader->processor_milli);
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
    stop_leading (leased, "higher-term");
  update_yielding (leased);
  if (leased->term == 0 && (leader == NULL || may_take_over_from (leased, leader))
      && !superseded_unheard && may_lead (leased))
    start_leading (leased);
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
    stop_leading (leased, "paused");
}

void
dks_leased_leader_handle_fenced (dks_leased_t *leased)
{
  if (leased->term == 0)
    return;
  leased->last_fenced_us = leased->r->now.mono_us;
  leased->highest_term = leased->term + (uint64_t)FENCED_TERM_STEP_MS * TERMS_PER_MS;
  stop_leading (leased, "fenced");
  dks_leased_entry_resubmit (leased);
}
