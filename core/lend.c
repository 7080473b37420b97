#include "core/state.h"

#include <string.h>

enum
{
  GRANT_TIMEOUT_US = 1000000, /* a granted slot without a task is taken back */
  ASK_MAX = 256,              /* slots that may be asked for at the same time */
  ASK_PEER_MAX = 32,          /* slots asked of one peer that has none free */
  AGE_MARGIN_MS = 5           /* a peer's task must be older by this to go before an own one */
};

static int32_t
outstanding_ask (const dks_peer_t *peer)
{
  return (int32_t)(peer->asked_next - peer->received);
}

static int32_t
outstanding_want (const dks_peer_t *peer)
{
  return (int32_t)(peer->wanted - peer->given);
}

uint32_t
dks_lend_free (const dks_reducer_t *r)
{
  uint32_t slots = dks_targets_free (r->targets, r->now.mono_us);

  return slots > r->granted_total ? slots - r->granted_total : 0;
}

uint32_t
dks_lend_credits (const dks_reducer_t *r)
{
  return r->credits_total;
}

uint32_t
dks_lend_asked (const dks_reducer_t *r)
{
  const dks_peer_t *peer;
  uint32_t sum = 0;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->up && outstanding_ask (peer) > 0)
        sum += (uint32_t)outstanding_ask (peer);
    }
  return sum;
}

bool
dks_lend_grant_one (dks_reducer_t *r, int64_t own_oldest_ms)
{
  dks_peer_t *peer;
  dks_peer_t *best = NULL;

  if (r->draining)
    return false;
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (!peer->up || outstanding_want (peer) <= 0)
        continue;
      if (best == NULL || peer->want_oldest_ms < best->want_oldest_ms)
        best = peer;
    }
  if (best == NULL
      || (own_oldest_ms != INT64_MAX && best->want_oldest_ms + AGE_MARGIN_MS >= own_oldest_ms))
    return false;
  best->given++;
  best->granting++;
  best->granted++;
  best->granted_us = r->now.mono_us;
  r->granted_total++;
  dks_count (&r->counters, DKS_COUNTER_GRANTS);
  return true;
}

static void
send_grants (dks_reducer_t *r)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      dks_msg_t *msg;

      if (peer->granting == 0)
        continue;
      msg = dks_msg_create (DKS_MSG_GRANT);
      msg->u.grant.count = peer->granting;
      peer->granting = 0;
      dks_emit_peer (r, peer->id, msg);
    }
}

static void
return_credits (dks_reducer_t *r)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      dks_msg_t *msg;

      if (peer->credits == 0)
        continue;
      msg = dks_msg_create (DKS_MSG_GRANT_RETURN);
      msg->u.grant.count = peer->credits;
      r->credits_total -= peer->credits;
      peer->credits = 0;
      dks_emit_peer (r, peer->id, msg);
    }
}

static bool
can_ask (const dks_reducer_t *r, const dks_peer_t *peer)
{
  return dks_peer_is_usable (r, peer) && !peer->draining;
}

static void
ask (dks_peer_t *peer, uint32_t count)
{
  /* Grants beyond the demand, after a withdrawal that crossed them, do not count against it. */
  if (outstanding_ask (peer) < 0)
    peer->asked_next = peer->received;
  peer->asked_next += count;
}

/* Asks peers that have free slots, those of our data centre first. Returns what is still missing.
 */
static uint32_t
ask_free_peers (dks_reducer_t *r, uint32_t missing, bool local)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      bool is_local = strcmp (peer->data_centre, r->config.data_centre) == 0;
      uint32_t count = peer->free_slots < missing ? peer->free_slots : missing;

      if (is_local != local || count == 0 || !can_ask (r, peer))
        continue;
      ask (peer, count);
      peer->free_slots -= count;
      missing -= count;
    }
  return missing;
}

/* Spreads what no peer has free over all peers by their capacity; it is granted as slots become
 * free. */
static void
ask_busy_peers (dks_reducer_t *r, uint32_t missing)
{
  dks_peer_t *peer;
  uint64_t capacity = 0;
  uint64_t before = 0;
  uint64_t offset;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      capacity += can_ask (r, peer) ? peer->capacity : 0;
    }
  if (capacity == 0)
    return;
  /* Shares are rounded against a running sum, so that they add up to `missing`; a random offset
   * spreads single tasks. */
  offset = dks_random (r) % capacity;
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      uint64_t after;
      uint32_t count;

      if (!can_ask (r, peer) || peer->capacity == 0)
        continue;
      after = before + peer->capacity;
      count = (uint32_t)((after * missing + offset) / capacity
                         - (before * missing + offset) / capacity);
      before = after;
      if (count > 0 && outstanding_ask (peer) < ASK_PEER_MAX)
        ask (peer, count);
    }
}

static void
withdraw (dks_reducer_t *r, uint32_t surplus)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      int32_t open = outstanding_ask (peer);
      uint32_t count;

      if (open <= 0)
        continue;
      count = (uint32_t)open < surplus ? (uint32_t)open : surplus;
      peer->asked_next -= count;
      surplus -= count;
    }
}

static int64_t
oldest_waiting_ms (const dks_reducer_t *r)
{
  int64_t queued_ms = dks_queue_oldest_ms (r->queue);
  int64_t ready_ms = dks_jobs_oldest_ready_ms (r);
  int64_t oldest_ms = queued_ms < ready_ms ? queued_ms : ready_ms;

  return oldest_ms != INT64_MAX ? oldest_ms : r->now.wall_ms;
}

static void
send_demands (dks_reducer_t *r, bool repeat)
{
  dks_peer_t *peer;
  int64_t oldest_ms = oldest_waiting_ms (r);

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      dks_msg_t *msg;

      if (!peer->up || (peer->asked == peer->asked_next && !(repeat && outstanding_ask (peer) > 0)))
        continue;
      peer->asked = peer->asked_next;
      msg = dks_msg_create (DKS_MSG_DEMAND);
      msg->u.demand.want = peer->asked;
      msg->u.demand.oldest_ms = oldest_ms;
      dks_emit_peer (r, peer->id, msg);
    }
}

void
dks_lend_update (dks_reducer_t *r)
{
  uint32_t backlog = dks_jobs_backlog (r);
  uint32_t have = dks_lend_free (r) + r->credits_total;
  uint32_t missing = backlog > have ? backlog - have : 0;
  uint32_t asked = dks_lend_asked (r);

  if (missing > ASK_MAX)
    missing = ASK_MAX;
  send_grants (r);
  if (backlog == 0 && r->credits_total > 0)
    return_credits (r);
  if (missing > asked)
    {
      uint32_t rest = ask_free_peers (r, missing - asked, true);

      rest = ask_free_peers (r, rest, false);
      if (rest > 0)
        ask_busy_peers (r, rest);
    }
  else if (asked > missing)
    withdraw (r, asked - missing);
  send_demands (r, false);
}

void
dks_lend_review (dks_reducer_t *r)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->granted == 0 || r->now.mono_us - peer->granted_us < GRANT_TIMEOUT_US)
        continue;
      r->granted_total -= peer->granted;
      peer->granted = 0;
    }
  /* Demands are placed anew, so that none waits at a busy peer while another has free slots. */
  withdraw (r, dks_lend_asked (r));
  dks_lend_update (r);
  send_demands (r, true);
}

void
dks_lend_handle_demand (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  peer->wanted = msg->u.demand.want;
  peer->want_oldest_ms = msg->u.demand.oldest_ms;
}

void
dks_lend_handle_grant (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  peer->received += msg->u.grant.count;
  peer->credits += msg->u.grant.count;
  r->credits_total += msg->u.grant.count;
}

void
dks_lend_handle_return (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  uint32_t count = msg->u.grant.count < peer->granted ? msg->u.grant.count : peer->granted;

  peer->granted -= count;
  r->granted_total -= count;
  r->counters.values[DKS_COUNTER_GRANTS_UNUSED] += count;
}

void
dks_lend_forget_peer (dks_reducer_t *r, dks_peer_t *peer)
{
  r->credits_total -= peer->credits;
  r->granted_total -= peer->granted;
  peer->credits = 0;
  peer->granted = 0;
  peer->granting = 0;
  peer->asked = peer->asked_next = peer->received = 0;
  peer->wanted = peer->given = 0;
  peer->free_slots = 0;
  peer->capacity = 0;
}
