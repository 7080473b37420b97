#include "core/state.h"

#include <string.h>

enum
{
  /* The unused grants of a peer are taken back this long after the latest of them. */
  GRANT_TIMEOUT_US = 1000000,
  /* Slots up to which dks_lend_update() raises the open demand to all peers together. */
  DEMAND_MAX = 256,
  /* Open demand, in slots, at which no more is demanded from a peer that has no free slot. */
  PEER_DEMAND_MAX = 32,
  /* A peer's task is served before an own task only if the peer's is older by more than this. */
  AGE_MARGIN_MS = 5
};

static int32_t
open_demand_to (const dks_peer_t *peer)
{
  return (int32_t)(peer->demand_total - peer->grants_received);
}

static int32_t
open_demand_from (const dks_peer_t *peer)
{
  return (int32_t)(peer->demand_received - peer->grants_total);
}

uint32_t
dks_lend_free_slots (const dks_reducer_t *r)
{
  uint32_t slots = dks_targets_free_slots (r->targets, r->now.mono_us);

  return slots > r->grants_unused_total ? slots - r->grants_unused_total : 0;
}

uint32_t
dks_lend_credits (const dks_reducer_t *r)
{
  return r->credits_total;
}

uint32_t
dks_lend_open_demand (const dks_reducer_t *r)
{
  const dks_peer_t *peer;
  uint32_t sum = 0;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->up && open_demand_to (peer) > 0)
        sum += (uint32_t)open_demand_to (peer);
    }
  return sum;
}

bool
dks_lend_grant_one (dks_reducer_t *r, int64_t own_oldest_ms)
{
  dks_peer_t *peer;
  dks_peer_t *best = NULL;

  if (dks_drain_is_final (r))
    return false;
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (!peer->up || open_demand_from (peer) <= 0)
        continue;
      if (best == NULL || peer->demand_oldest_arrival_ms < best->demand_oldest_arrival_ms)
        best = peer;
    }
  if (best == NULL
      || (own_oldest_ms != INT64_MAX
          && best->demand_oldest_arrival_ms + AGE_MARGIN_MS >= own_oldest_ms))
    return false;
  best->grants_total++;
  best->grants_unsent++;
  best->grants_unused++;
  best->last_grant_us = r->now.mono_us;
  r->grants_unused_total++;
  dks_counter_increment (&r->counters, DKS_COUNTER_SLOT_GRANTS);
  return true;
}

/* Sends a GRANT or GRANT_RETURN of `count` slots. */
static void
send_count (dks_reducer_t *r, const dks_peer_t *peer, dks_msg_type_t type, uint32_t count)
{
  dks_msg_t *msg = dks_msg_create (type);

  msg->u.grant.count = count;
  dks_emit_peer (r, peer->id, msg);
}

static void
send_grants (dks_reducer_t *r)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->grants_unsent == 0)
        continue;
      send_count (r, peer, DKS_MSG_GRANT, peer->grants_unsent);
      peer->grants_unsent = 0;
    }
}

static void
return_credits (dks_reducer_t *r)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->credits == 0)
        continue;
      send_count (r, peer, DKS_MSG_GRANT_RETURN, peer->credits);
      r->credits_total -= peer->credits;
      peer->credits = 0;
    }
}

static bool
can_borrow_from (const dks_reducer_t *r, const dks_peer_t *peer)
{
  return dks_peer_is_usable (r, peer) && !peer->draining;
}

static void
add_demand (dks_peer_t *peer, uint32_t count)
{
  /* Grants that crossed a withdrawal on the way can exceed the demand. The excess does not count
   * against new demand. */
  if (open_demand_to (peer) < 0)
    peer->demand_total = peer->grants_received;
  peer->demand_total += count;
}

/* Raises the demand to peers that have free slots: to those of the own data centre if `local` is
 * set, else to those of other data centres. Returns the number of slots that are still missing. */
static uint32_t
demand_from_free_peers (dks_reducer_t *r, uint32_t missing_slots, bool local)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      bool is_local = strcmp (peer->data_centre, r->config.data_centre) == 0;
      uint32_t count = peer->free_slots < missing_slots ? peer->free_slots : missing_slots;

      if (is_local != local || count == 0 || !can_borrow_from (r, peer))
        continue;
      add_demand (peer, count);
      peer->free_slots -= count;
      missing_slots -= count;
    }
  return missing_slots;
}

/* Spreads the demand for slots that no peer has free over all peers in proportion to their
 * capacity. The peers grant the slots as they become free. */
static void
demand_from_busy_peers (dks_reducer_t *r, uint32_t missing_slots)
{
  dks_peer_t *peer;
  uint64_t capacity = 0;
  uint64_t capacity_before = 0;
  uint64_t offset;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      capacity += can_borrow_from (r, peer) ? peer->capacity : 0;
    }
  if (capacity == 0)
    return;
  /* Shares are differences of a rounded running sum, so that they add up to `missing_slots`. A
   * random offset spreads the demands of single tasks over the peers. */
  offset = dks_random (r) % capacity;
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      uint64_t capacity_after;
      uint32_t count;

      if (!can_borrow_from (r, peer) || peer->capacity == 0)
        continue;
      capacity_after = capacity_before + peer->capacity;
      count = (uint32_t)((capacity_after * missing_slots + offset) / capacity
                         - (capacity_before * missing_slots + offset) / capacity);
      capacity_before = capacity_after;
      if (count > 0 && open_demand_to (peer) < PEER_DEMAND_MAX)
        add_demand (peer, count);
    }
}

static void
withdraw_from_peer (dks_peer_t *peer, uint32_t *surplus_slots)
{
  int32_t open_slots = open_demand_to (peer);
  uint32_t count;

  if (open_slots <= 0)
    return;
  count = (uint32_t)open_slots < *surplus_slots ? (uint32_t)open_slots : *surplus_slots;
  peer->demand_total -= count;
  *surplus_slots -= count;
}

static void
withdraw_from_all (dks_reducer_t *r, uint32_t surplus_slots)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      withdraw_from_peer (peer, &surplus_slots);
    }
}

/* Withdraws demand first from peers that last reported no free slots, which are those whose demand
 * has not been raised since it was sent, then from the others. */
static void
withdraw_from_busy (dks_reducer_t *r, uint32_t surplus_slots)
{
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if ((int32_t)(peer->demand_total - peer->demand_sent) <= 0)
        withdraw_from_peer (peer, &surplus_slots);
    }
  withdraw_from_all (r, surplus_slots);
}

static int64_t
oldest_waiting_ms (const dks_reducer_t *r)
{
  int64_t queued_ms = dks_queue_oldest_arrival_ms (r->queue);
  int64_t ready_ms = dks_jobs_oldest_ready_arrival_ms (r);
  int64_t oldest_arrival_ms = queued_ms < ready_ms ? queued_ms : ready_ms;

  return oldest_arrival_ms != INT64_MAX ? oldest_arrival_ms : r->now.wall_ms;
}

/* Only an increased demand is sent at once, in a message of its own; a reduced one goes out with
 * the next heartbeat. */
static void
send_demands (dks_reducer_t *r)
{
  dks_peer_t *peer;
  int64_t oldest_arrival_ms = oldest_waiting_ms (r);

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      dks_msg_t *msg;

      if (!peer->up || (int32_t)(peer->demand_total - peer->demand_sent) <= 0)
        continue;
      peer->demand_sent = peer->demand_total;
      msg = dks_msg_create (DKS_MSG_DEMAND);
      msg->u.demand.demand_total = peer->demand_sent;
      msg->u.demand.oldest_arrival_ms = oldest_arrival_ms;
      dks_emit_peer (r, peer->id, msg);
    }
}

/* Number of tasks that the slots of own targets are expected to start within `borrow_after_ms`,
 * without borrowing. */
static uint32_t
tasks_starting_soon (dks_reducer_t *r)
{
  dks_settings_values_t values;
  uint32_t slots = dks_targets_capacity (r->targets, r->now.mono_us);

  dks_settings_values (r, "", "", &values);
  if (r->mean_run_us <= 0)
    return 0;
  return (uint32_t)((double)values.borrow_after_ms * 1000 * slots / r->mean_run_us);
}

/* Arms the timer that returns unused credits when no task waits, and cancels it otherwise. A slot
 * whose task has started elsewhere is kept for `credit_hold_ms` for the next task, because
 * returning it costs two messages. */
static void
update_credit_timer (dks_reducer_t *r, uint32_t backlog)
{
  dks_settings_values_t values;

  if (r->credits_total == 0 || backlog > 0)
    {
      dks_timer_cancel (r->timers, &r->credit_timer);
      return;
    }
  if (dks_timer_is_armed (&r->credit_timer))
    return;
  dks_settings_values (r, "", "", &values);
  dks_timer_set (r->timers, &r->credit_timer, r->now.mono_us + values.credit_hold_ms * 1000);
}

static void
handle_credit_timer (void *context, int64_t now_us)
{
  return_credits (context);
}

void
dks_lend_init (dks_reducer_t *r)
{
  dks_timer_init (&r->credit_timer, handle_credit_timer, r);
}

void
dks_lend_update (dks_reducer_t *r)
{
  uint32_t backlog = dks_jobs_backlog (r);
  uint32_t available_slots = dks_lend_free_slots (r) + r->credits_total;
  uint32_t missing_slots = backlog > available_slots ? backlog - available_slots : 0;
  uint32_t open_demand;
  uint32_t starting_soon;

  send_grants (r);
  update_credit_timer (r, backlog);
  if (missing_slots == 0)
    return;
  if (missing_slots > DEMAND_MAX)
    missing_slots = DEMAND_MAX;
  open_demand = dks_lend_open_demand (r);
  if (missing_slots <= open_demand)
    return;
  missing_slots = demand_from_free_peers (r, missing_slots - open_demand, true);
  missing_slots = demand_from_free_peers (r, missing_slots, false);
  starting_soon = tasks_starting_soon (r);
  if (missing_slots > starting_soon)
    demand_from_busy_peers (r, missing_slots - starting_soon);
  send_demands (r);
}

void
dks_lend_review (dks_reducer_t *r)
{
  uint32_t backlog = dks_jobs_backlog (r);
  uint32_t available_slots = dks_lend_free_slots (r) + r->credits_total;
  uint32_t missing_slots = backlog > available_slots ? backlog - available_slots : 0;
  uint32_t open_demand = dks_lend_open_demand (r);
  dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->grants_unused == 0 || r->now.mono_us - peer->last_grant_us < GRANT_TIMEOUT_US)
        continue;
      r->grants_unused_total -= peer->grants_unused;
      peer->grants_unused = 0;
    }
  if (missing_slots == 0)
    {
      withdraw_from_all (r, open_demand);
      return;
    }
  /* Demand moves from busy peers to those with free slots, so that no demand waits at a busy peer
   * while another one has a free slot. */
  demand_from_free_peers (r, missing_slots, true);
  demand_from_free_peers (r, missing_slots, false);
  open_demand = dks_lend_open_demand (r);
  if (open_demand > missing_slots)
    withdraw_from_busy (r, open_demand - missing_slots);
  send_demands (r);
}

void
dks_lend_fill_heartbeat (const dks_reducer_t *r, dks_peer_t *peer, dks_msg_t *msg)
{
  peer->demand_sent = peer->demand_total;
  msg->u.heartbeat.demand_total = peer->demand_sent;
  msg->u.heartbeat.oldest_arrival_ms = oldest_waiting_ms (r);
}

void
dks_lend_set_demand (dks_peer_t *peer, uint32_t demand_total, int64_t oldest_arrival_ms)
{
  peer->demand_received = demand_total;
  peer->demand_oldest_arrival_ms = oldest_arrival_ms;
}

void
dks_lend_handle_demand (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  dks_lend_set_demand (peer, msg->u.demand.demand_total, msg->u.demand.oldest_arrival_ms);
}

void
dks_lend_handle_grant (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  peer->grants_received += msg->u.grant.count;
  peer->credits += msg->u.grant.count;
  r->credits_total += msg->u.grant.count;
}

void
dks_lend_handle_return (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg)
{
  uint32_t count =
      msg->u.grant.count < peer->grants_unused ? msg->u.grant.count : peer->grants_unused;

  peer->grants_unused -= count;
  r->grants_unused_total -= count;
  r->counters.values[DKS_COUNTER_SLOT_GRANTS_UNUSED] += count;
}

void
dks_lend_forget_peer (dks_reducer_t *r, dks_peer_t *peer)
{
  r->credits_total -= peer->credits;
  r->grants_unused_total -= peer->grants_unused;
  peer->credits = 0;
  peer->grants_unused = 0;
  peer->grants_unsent = 0;
  peer->demand_sent = peer->demand_total = peer->grants_received = 0;
  peer->demand_received = peer->grants_total = 0;
  peer->free_slots = 0;
  peer->capacity = 0;
}
