/* Targets on which a leader may have runs, which it tells to the instances of its data centre: its
 * successor has to read their lists, although the platform may not list them to it, or not yet. */
#include "core/leased.h"

#include "common/alloc.h"

#include <stdlib.h>
#include <string.h>

/* Which of its targets a leader tells. */
typedef bool (*target_filter_t) (const dks_leased_target_t *target);

static bool
is_held (const dks_leased_target_t *target)
{
  return target->held;
}

static bool
is_due (const dks_leased_target_t *target)
{
  return target->held && target->share_due;
}

/* Whether the target is not listed but has runs, or may get some before the next message. */
static bool
is_unlisted_in_use (const dks_leased_target_t *target)
{
  return target->held && !target->listed
         && (target->run_count > 0 || !target->synced
             || dks_leased_target_is_in_unlisted_grace (target));
}

/* Whether a successor that has started lately may not know of the target. */
static bool
is_lately_noted_or_unlisted (const dks_leased_target_t *target)
{
  const dks_leased_t *leased = target->leased;

  if (strcmp (target->info.data_centre, leased->r->config.data_centre) != 0)
    return false;
  return !target->listed
         || (target->noted_us > 0
             && dks_leased_now_us (leased) - target->noted_us < DKS_LEASED_NOTED_RETENTION_US);
}

/* New message with the targets that pass the filter, or NULL: there are none. */
static dks_msg_t *
create_msg (const dks_leased_t *leased, target_filter_t filter)
{
  const dks_leased_target_t *target;
  uint32_t count = 0;
  dks_msg_t *msg;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    count += filter (target);
  if (count == 0)
    return NULL;
  msg = dks_msg_create (DKS_MSG_TARGETS);
  msg->u.targets.may_have_runs = true;
  msg->u.targets.items = dks_alloc (count * sizeof (msg->u.targets.items[0]));
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (filter (target))
        msg->u.targets.items[msg->u.targets.count++] = target->info;
    }
  return msg;
}

/* An instance without a list of targets cannot lead, and an earlier version of this program would
 * take the message for the whole list. */
static bool
is_receiver (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return dks_leased_peer_is_local (leased, peer) && dks_leased_peer_is_alive (leased, peer)
         && peer->knows_targets;
}

static void
send_to_all (dks_leased_t *leased, target_filter_t filter)
{
  dks_msg_t *msg = leased->term > 0 ? create_msg (leased, filter) : NULL;
  const dks_leased_peer_t *peer;

  if (msg == NULL)
    return;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (is_receiver (leased, peer))
        dks_emit_peer (leased->r, peer->id, dks_msg_ref (msg));
    }
  dks_msg_unref (msg);
}

void
dks_leased_share_new (dks_leased_t *leased)
{
  dks_leased_target_t *target;

  if (!leased->targets_share_due)
    return;
  leased->targets_share_due = false;
  send_to_all (leased, is_due);
  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (target->share_due)
        target->noted_us = dks_leased_now_us (leased);
      target->share_due = false;
    }
}

void
dks_leased_share_all (dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    dks_leased_share_with (leased, peer);
}

void
dks_leased_share_with (dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  bool is_same_list = peer->targets_digest == 0 || peer->targets_digest == leased->targets_digest;
  dks_msg_t *msg;

  if (leased->term == 0 || !is_receiver (leased, peer))
    return;
  msg = create_msg (leased, is_same_list ? is_unlisted_in_use : is_held);
  if (msg != NULL)
    dks_emit_peer (leased->r, peer->id, msg);
}

void
dks_leased_share_lately_known (dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  dks_msg_t *msg =
      is_receiver (leased, peer) ? create_msg (leased, is_lately_noted_or_unlisted) : NULL;

  if (msg != NULL)
    dks_emit_peer (leased->r, peer->id, msg);
}

void
dks_leased_share_handle_msg (dks_leased_t *leased, const dks_leased_peer_t *peer,
                             const dks_msg_t *msg)
{
  if (!dks_leased_peer_is_local (leased, peer))
    return;
  for (uint32_t i = 0; i < msg->u.targets.count; i++)
    dks_leased_targets_note (leased, &msg->u.targets.items[i]);
}
