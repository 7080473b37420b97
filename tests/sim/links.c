#include "sim.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define BACKOFF_FIRST_US (100 * SIM_MS)
#define BACKOFF_MAX_US (2 * SIM_SECOND)

static sim_link_t *
link_of (sim_t *sim, uint32_t i, uint32_t j)
{
  return i < j ? &sim->links[i * sim->instance_count + j]
               : &sim->links[j * sim->instance_count + i];
}

static int
side_of (uint32_t self, uint32_t other)
{
  return self < other ? 0 : 1;
}

bool
sim_is_cut (const sim_t *sim, uint32_t i, uint32_t j)
{
  const sim_instance_t *a = &sim->instances[i];
  const sim_instance_t *b = &sim->instances[j];

  return a->isolation_count > 0 || b->isolation_count > 0
         || sim->cut_counts[a->data_centre][b->data_centre] > 0;
}

bool
sim_reaches_platform (const sim_t *sim, uint32_t index)
{
  const sim_instance_t *instance = &sim->instances[index];

  return instance->isolation_count == 0
         && sim->cut_counts[instance->data_centre][sim->config.data_centres] == 0;
}

int64_t
sim_latency (sim_t *sim, uint32_t a, uint32_t b)
{
  int64_t base = a == b ? sim->config.local_latency_us : sim->config.remote_latency_us;

  return base + sim_range (sim, 0, sim->config.jitter_max_us);
}

static int64_t
latency_between (sim_t *sim, uint32_t i, uint32_t j)
{
  return sim_latency (sim, sim->instances[i].data_centre, sim->instances[j].data_centre);
}

/* Time after which TCP closes the connection to an unreachable peer (TCP_USER_TIMEOUT). */
static int64_t
tcp_timeout (sim_t *sim)
{
  return sim_range (sim, 2 * SIM_SECOND, 6 * SIM_SECOND);
}

static bool
is_established (const sim_link_t *link)
{
  return link->newest_conn > 0 && !link->broken[0] && !link->broken[1];
}

static void
schedule_connect (sim_t *sim, uint32_t i, uint32_t j, int64_t after_us)
{
  sim_link_t *link = link_of (sim, i, j);

  if (link->connect_scheduled)
    return;
  link->connect_scheduled = true;
  sim_push (sim, sim->now_us + after_us, SIM_LINK_TRY, i < j ? i : j, i < j ? j : i, 0, NULL);
}

static void
schedule_retry (sim_t *sim, uint32_t i, uint32_t j)
{
  sim_link_t *link = link_of (sim, i, j);

  if (link->backoff_us == 0)
    link->backoff_us = BACKOFF_FIRST_US;
  schedule_connect (sim, i, j, link->backoff_us);
  link->backoff_us = link->backoff_us * 2 < BACKOFF_MAX_US ? link->backoff_us * 2 : BACKOFF_MAX_US;
}

/* Schedules for `at_us` that the process at `self` sees the end of its connection to `other`.
 * Messages that arrive later on that connection are lost. */
static void
close_side (sim_t *sim, uint32_t self, uint32_t other, int64_t at_us)
{
  sim_link_t *link = link_of (sim, self, other);
  int side = side_of (self, other);

  if (link->newest_conn == 0 || link->broken[side])
    return;
  link->broken[side] = true;
  sim_push (sim, at_us, SIM_PEER_DOWN, self, sim->instances[self].incarnation, link->newest_conn,
            &sim->instances[other]);
  schedule_retry (sim, self, other);
}

void
sim_link_break (sim_t *sim, uint32_t i, uint32_t j)
{
  sim_trace (sim, "connection %s-%s is broken", sim->instances[i].id, sim->instances[j].id);
  close_side (sim, i, j, sim->now_us + sim_range (sim, 0, 2 * SIM_MS));
  close_side (sim, j, i, sim->now_us + sim_range (sim, 0, 2 * SIM_MS));
}

void
sim_link_connect (sim_t *sim, uint32_t self, const char *address)
{
  const char *colon = strrchr (address, ':');
  uint32_t other = colon != NULL ? (uint32_t)atoi (colon + 1) - 7000 : UINT32_MAX;
  sim_link_t *link;

  if (other >= sim->instance_count || other == self)
    return;
  link = link_of (sim, self, other);
  if (is_established (link))
    {
      link->wanted[side_of (self, other)] = true;
      return;
    }
  /* The first connection attempt of a process is made at once, without the backoff of the other
   * side. */
  if (!link->wanted[side_of (self, other)])
    link->connect_scheduled = false;
  link->wanted[side_of (self, other)] = true;
  schedule_connect (sim, self, other, sim_range (sim, 0, SIM_MS));
}

void
sim_link_send (sim_t *sim, uint32_t self, const char *member, dks_msg_t *msg)
{
  uint32_t other = (uint32_t)atoi (member + 1);
  sim_link_t *link;
  int to;
  int64_t at;

  if (other >= sim->instance_count || other == self)
    return;
  link = link_of (sim, self, other);
  to = side_of (other, self);
  /* The host drops a message to a process to which it has no connection. */
  if (link->current_conn[side_of (self, other)] == 0 || strcmp (member, link->member[1 - to]) != 0)
    return;
  sim_check_message (sim, self, other, msg);
  if (sim->config.trace != NULL && msg->type != DKS_MSG_HEARTBEAT)
    sim_trace (sim, "%s -> %s %s", sim->instances[self].id, sim->instances[other].id,
               dks_msg_name (msg->type));
  at = sim->now_us + latency_between (sim, self, other);
  if (at < link->last_arrival_us[to])
    at = link->last_arrival_us[to];
  link->last_arrival_us[to] = at;
  sim_push (sim, at, SIM_PEER_MSG, other, link->incarnation[1 - to],
            link->current_conn[side_of (self, other)] << 16 | self, dks_msg_ref (msg));
}

void
sim_links_process_end (sim_t *sim, uint32_t self, bool silent, bool graceful)
{
  for (uint32_t other = 0; other < sim->instance_count; other++)
    {
      sim_link_t *link;
      int64_t at;

      if (other == self)
        continue;
      link = link_of (sim, self, other);
      link->wanted[side_of (self, other)] = false;
      link->current_conn[side_of (self, other)] = 0;
      if (silent || sim_is_cut (sim, self, other))
        at = sim->now_us + tcp_timeout (sim);
      else if (graceful)
        at = link->last_arrival_us[side_of (other, self)] + 1;
      else
        at = sim->now_us + sim_range (sim, 0, 2 * latency_between (sim, self, other));
      link->broken[side_of (self, other)] = true;
      if (sim->instances[other].alive)
        close_side (sim, other, self, at);
      else
        link->broken[side_of (other, self)] = true;
    }
}

static void
establish (sim_t *sim, uint32_t i, uint32_t j)
{
  sim_link_t *link = link_of (sim, i, j);
  int64_t connected_us = sim->now_us + 2 * latency_between (sim, i, j);

  /* A side that has not noticed the end of the previous connection closes it before the new one. */
  close_side (sim, i, j, connected_us - 1);
  close_side (sim, j, i, connected_us - 1);
  link->newest_conn++;
  link->broken[0] = link->broken[1] = false;
  link->backoff_us = 0;
  for (int side = 0; side < 2; side++)
    {
      uint32_t self = side == 0 ? i : j;
      int64_t at = connected_us + latency_between (sim, i, j);

      if (at < link->last_arrival_us[side])
        at = link->last_arrival_us[side];
      link->last_arrival_us[side] = at;
      sim_push (sim, at, SIM_PEER_UP, self, sim->instances[self].incarnation, link->newest_conn,
                &sim->instances[side == 0 ? j : i]);
    }
}

static void
handle_try (sim_t *sim, uint32_t i, uint32_t j)
{
  sim_link_t *link = link_of (sim, i, j);
  const sim_instance_t *a = &sim->instances[i];
  const sim_instance_t *b = &sim->instances[j];

  link->connect_scheduled = false;
  if (is_established (link) || !((a->alive && link->wanted[0]) || (b->alive && link->wanted[1])))
    return;
  if (!a->alive || !b->alive || a->frozen || b->frozen || sim_is_cut (sim, i, j))
    schedule_retry (sim, i, j);
  else
    establish (sim, i, j);
}

static void
handle_up (sim_t *sim, const sim_item_t *item)
{
  const sim_instance_t *other = item->u.ptr;
  uint32_t index = (uint32_t)(other - sim->instances);
  sim_link_t *link = link_of (sim, item->a, index);
  int side = side_of (item->a, index);
  dks_event_t event = { .type = DKS_EVENT_PEER_UP };

  /* The connection may have ended before this side learned that it was established; the process at
   * the other end may then be gone. */
  if (item->c != link->newest_conn || link->broken[side] || !other->alive)
    return;
  link->current_conn[side] = item->c;
  link->incarnation[side] = other->incarnation;
  dks_strcpy (link->member[side], DKS_NAME_SIZE, dks_reducer_member_id (other->reducer));
  event.u.peer.peer = link->member[side];
  event.u.peer.data_centre = sim->data_centres[other->data_centre];
  sim_apply (sim, item->a, &event);
}

static void
handle_down (sim_t *sim, const sim_item_t *item)
{
  const sim_instance_t *other = item->u.ptr;
  uint32_t index = (uint32_t)(other - sim->instances);
  sim_link_t *link = link_of (sim, item->a, index);
  int side = side_of (item->a, index);
  dks_event_t event = { .type = DKS_EVENT_PEER_DOWN };

  if (link->current_conn[side] != item->c)
    return;
  link->current_conn[side] = 0;
  event.u.peer.peer = link->member[side];
  sim_apply (sim, item->a, &event);
}

static void
handle_msg (sim_t *sim, sim_item_t *item)
{
  uint32_t from = (uint32_t)(item->c & 0xffff);
  uint64_t conn = item->c >> 16;
  sim_link_t *link = link_of (sim, item->a, from);
  int side = side_of (item->a, from);
  dks_msg_t *msg = item->u.ptr;
  dks_event_t event = { .type = DKS_EVENT_PEER_MSG };

  if (link->current_conn[side] == conn)
    {
      event.u.peer_msg.peer = link->member[side];
      event.u.peer_msg.msg = msg;
      sim_apply (sim, item->a, &event);
    }
  dks_msg_unref (msg);
}

bool
sim_links_hold (sim_t *sim, const sim_item_t *item)
{
  uint32_t from = (uint32_t)(item->c & 0xffff);
  sim_link_t *link = link_of (sim, item->a, from);

  if (!link->is_cut)
    return false;
  sim_items_add (&link->held_messages[side_of (item->a, from)], item);
  return true;
}

/* Delivers the held messages in order, when the next retransmission timer of TCP expires. */
static void
release_held (sim_t *sim, sim_link_t *link)
{
  for (int side = 0; side < 2; side++)
    {
      int64_t at = sim->now_us + sim_range (sim, SIM_MS, 400 * SIM_MS);

      if (at > link->last_arrival_us[side])
        link->last_arrival_us[side] = at;
      for (size_t k = 0; k < link->held_messages[side].count; k++)
        {
          link->held_messages[side].items[k].at_us = link->last_arrival_us[side];
          link->held_messages[side].items[k].order = sim->order++;
          sim_heap_push (&sim->heap, &link->held_messages[side].items[k]);
        }
      link->held_messages[side].count = 0;
    }
}

void
sim_links_cut_changed (sim_t *sim)
{
  for (uint32_t i = 0; i < sim->instance_count; i++)
    {
      for (uint32_t j = i + 1; j < sim->instance_count; j++)
        {
          sim_link_t *link = link_of (sim, i, j);
          bool is_cut = sim_is_cut (sim, i, j);

          if (is_cut == link->is_cut)
            continue;
          link->is_cut = is_cut;
          if (is_cut)
            {
              link->cut_count++;
              sim_push (sim, sim->now_us + tcp_timeout (sim), SIM_LINK_TIMEOUT, i, j,
                        link->cut_count, NULL);
              sim_push (sim, sim->now_us + tcp_timeout (sim), SIM_LINK_TIMEOUT, j, i,
                        link->cut_count, NULL);
              continue;
            }
          release_held (sim, link);
          /* If only one side has closed the connection by a timeout, the other side now gets a
           * reset. */
          if (link->newest_conn > 0 && link->broken[0] != link->broken[1])
            {
              uint32_t self = link->broken[0] ? j : i;
              if (sim->instances[self].alive)
                close_side (sim, self, self == i ? j : i, sim->now_us + SIM_MS);
            }
        }
    }
}

static void
handle_timeout (sim_t *sim, const sim_item_t *item)
{
  sim_link_t *link = link_of (sim, item->a, item->b);

  if (link->is_cut && link->cut_count == item->c && sim->instances[item->a].alive)
    close_side (sim, item->a, item->b, sim->now_us);
}

void
sim_links_handle (sim_t *sim, sim_item_t *item)
{
  switch (item->type)
    {
    case SIM_LINK_TRY:
      handle_try (sim, item->a, item->b);
      break;
    case SIM_LINK_TIMEOUT:
      handle_timeout (sim, item);
      break;
    case SIM_PEER_UP:
      handle_up (sim, item);
      break;
    case SIM_PEER_DOWN:
      handle_down (sim, item);
      break;
    default:
      handle_msg (sim, item);
      break;
    }
}
