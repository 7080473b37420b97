/* The end of the leadership of an instance that shuts down. One that has much more processor time
 * than the others leads on while it drains, until an able successor is there, which is usually the
 * next process of another large instance; else until shortly before it has to exit. All decide by
 * what the leader's statuses say of the time that it has left. */
#include "core/leased.h"

#include <inttypes.h>
#include <string.h>

enum
{
  /* Least part of the leader's processor time with which an instance is an able successor. */
  ABLE_SIZE_DIVISOR = 2,
  /* Least age of the connection between the leader and an able successor: a process that has just
     started connects to all others and reads the lists of the platform first. */
  ABLE_MIN_AGE_US = 300000,
  /* Time before the handover to any instance in which another large instance that drains may take
     over: more than two statuses and their delay. */
  DRAINING_US = 300000,
  /* Least time for which such a successor can lead longer: each change costs running jobs some ms.
   */
  DRAINING_GAIN_MIN_US = 400000,
  /* Two such successors whose ends differ by less go by their ids. More than the delay of a status
     on an instance that keeps up. */
  DRAINING_TIE_US = 100000,
  /* By this a draining successor has more processor time than the instances that do not drain. */
  DRAINING_SIZE_RATIO = 2
};

static bool
is_able (const dks_leased_peer_t *peer, uint32_t leader_milli)
{
  return peer->knows_targets && ABLE_SIZE_DIVISOR * peer->processor_milli >= leader_milli;
}

static bool
has_local_peer (const dks_leased_t *leased, bool must_not_drain)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (dks_leased_peer_is_local (leased, peer) && dks_leased_peer_is_alive (leased, peer)
          && peer->knows_targets && !(must_not_drain && peer->draining))
        return true;
    }
  return false;
}

static bool
has_able_successor (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (dks_leased_peer_is_local (leased, peer) && dks_leased_peer_is_alive (leased, peer)
          && !peer->draining && is_able (peer, dks_leased_leader_rank_milli (leased))
          && dks_leased_now_us (leased) - peer->connected_us >= ABLE_MIN_AGE_US)
        return true;
    }
  return false;
}

static bool
leads_on (const dks_leased_t *leased)
{
  return leased->term > 0 && dks_leased_entry_handover_left_us (leased) > 0
         && has_local_peer (leased, false);
}

bool
dks_leased_handover_takes_lent (const dks_leased_t *leased)
{
  if (leased->drain_start_us == 0)
    return true;
  return leads_on (leased) && !has_able_successor (leased);
}

bool
dks_leased_handover_is_awaited (const dks_leased_t *leased)
{
  return leads_on (leased) || (leased->term > 0 && has_local_peer (leased, true));
}

/* Whether another instance is to take over from the draining leader rather than this one, which
 * drains as well: one that does not drain and is not much smaller, or one that drains and can lead
 * for longer. */
static bool
has_better_than_draining (const dks_leased_t *leased, const dks_leased_peer_t *leader)
{
  int64_t end_us = dks_leased_now_us (leased) + dks_leased_entry_handover_left_us (leased);
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer == leader || !dks_leased_peer_is_local (leased, peer)
          || !dks_leased_peer_is_alive (leased, peer))
        continue;
      if (!peer->draining && peer->knows_targets
          && DRAINING_SIZE_RATIO * peer->processor_milli >= dks_leased_leader_rank_milli (leased))
        return true;
      if (peer->draining && peer->handover_end_us > 0 && is_able (peer, leader->processor_milli)
          && (peer->handover_end_us > end_us + DRAINING_TIE_US
              || (peer->handover_end_us > end_us - DRAINING_TIE_US
                  && strcmp (peer->id, leased->r->self) < 0)))
        return true;
    }
  return false;
}

bool
dks_leased_handover_may_take_over (const dks_leased_t *leased, const dks_leased_peer_t *leader)
{
  /* It is at the end of its time, or of a version that hands over at once. */
  if (leader->handover_left_us == 0)
    return leased->drain_start_us == 0;
  if (ABLE_SIZE_DIVISOR * dks_leased_leader_rank_milli (leased) < leader->processor_milli)
    return false;
  if (leased->drain_start_us == 0)
    return dks_leased_now_us (leased) - leader->connected_us >= ABLE_MIN_AGE_US;
  return leader->handover_left_us <= DRAINING_US
         && dks_leased_entry_handover_left_us (leased)
                >= leader->handover_left_us + DRAINING_GAIN_MIN_US
         && !has_better_than_draining (leased, leader);
}

void
dks_leased_handover_update (dks_leased_t *leased)
{
  static const char *const receivers[] = {
    [DKS_LEASED_HANDOVER_NONE] = "none",
    [DKS_LEASED_HANDOVER_ABLE] = "able",
    [DKS_LEASED_HANDOVER_DRAINING] = "draining",
    [DKS_LEASED_HANDOVER_ANY] = "any",
  };
  int64_t left_us = dks_leased_entry_handover_left_us (leased);
  dks_leased_handover_t handover = DKS_LEASED_HANDOVER_NONE;

  if (leased->term > 0 && leased->drain_start_us > 0 && has_local_peer (leased, false))
    handover = left_us == 0             ? DKS_LEASED_HANDOVER_ANY
               : left_us <= DRAINING_US ? DKS_LEASED_HANDOVER_DRAINING
                                        : DKS_LEASED_HANDOVER_ABLE;
  if (handover == leased->handover)
    return;
  leased->handover = handover;
  if (handover == DKS_LEASED_HANDOVER_NONE)
    return;
  dks_emit_log (leased->r, DKS_LOG_NOTICE,
                "event=leader-hands-over to=%s term=%" PRIu64 " left_ms=%" PRId64,
                receivers[handover], leased->term, left_us / 1000);
  dks_leased_members_notify_all (leased);
}
