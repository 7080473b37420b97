#include "core/leased.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* Known addresses at most. A full list drops the one that has been unseen for longest. */
  ADDRESSES_MAX = 1024,
  /* An address whose instance was seen within this time is not dropped from a full list. */
  REPLACEABLE_AFTER_US = 60000000,
  /* Regions lose each other for an hour at times. */
  RETENTION_S = 7200,
  /* Time in which an instance returns that was stopped, or cut off for a moment. */
  RECENT_US = 20000000,
  /* The host tries to connect for a while on its own after each request. */
  DIAL_INTERVAL_US = 10000000,
  DIAL_INTERVAL_GONE_US = 300000000, /* for an address that has not been seen for this long */
  /* From the first address that peers may lack until all are sent: many are learned together, and a
     peer's status may say meanwhile that it lacks none. */
  ANNOUNCE_DELAY_US = 100000,
  /* Likewise after the start: instances that start together have to find each other before one of
     them may lead. */
  START_ANNOUNCE_DELAY_US = 20000,
  START_PERIOD_US = 3000000,
  /* Between two repairs, in which one peer is sent all addresses again. */
  REPAIR_INTERVAL_US = 1000000,
  REJECT_LOG_INTERVAL_US = 60000000
};

static uint64_t
digest_of (const char *text)
{
  return dks_hash_text (text, 0);
}

static void
dial (dks_leased_t *leased, dks_leased_address_t *address)
{
  dks_effect_t *effect = dks_effects_add (leased->r->effects, DKS_EFFECT_PEER_CONNECT);
  bool gone = dks_leased_now_us (leased) - address->last_seen_us >= DIAL_INTERVAL_GONE_US;

  dks_strcpy (effect->u.peer_connect.address, sizeof (effect->u.peer_connect.address),
              address->text);
  address->next_dial_us = dks_leased_now_us (leased)
                          + (gone && !address->is_seed ? DIAL_INTERVAL_GONE_US : DIAL_INTERVAL_US);
}

static void
address_free (dks_leased_t *leased, dks_leased_address_t *address)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->address == address)
        peer->address = NULL;
    }
  if (address->sequence != 0)
    leased->address_digest ^= digest_of (address->text);
  apr_hash_set (leased->addresses_by_text, address->text, APR_HASH_KEY_STRING, NULL);
  APR_RING_REMOVE (address, link);
  leased->address_count--;
  free (address);
}

/* Makes room for one more address. Returns false if all addresses are in use. */
static bool
make_room (dks_leased_t *leased, const char *rejected)
{
  int64_t now_us = dks_leased_now_us (leased);
  dks_leased_address_t *address;
  dks_leased_address_t *oldest = NULL;

  if (leased->address_count < ADDRESSES_MAX)
    return true;
  APR_RING_FOREACH (address, &leased->addresses, dks_leased_address_t, link)
    {
      if (!address->is_seed && address->connections == 0
          && (oldest == NULL || address->last_seen_us < oldest->last_seen_us))
        oldest = address;
    }
  if (oldest != NULL && now_us - oldest->last_seen_us >= REPLACEABLE_AFTER_US)
    {
      address_free (leased, oldest);
      return true;
    }
  if (leased->last_address_reject_us == 0
      || now_us - leased->last_address_reject_us >= REJECT_LOG_INTERVAL_US)
    {
      leased->last_address_reject_us = now_us;
      dks_emit_log (leased->r, DKS_LOG_WARNING,
                    "event=address-rejected address=%s known=%u reason=\"the list is full\"",
                    rejected, leased->address_count);
    }
  return false;
}

/* The address, which is added if it was not known; NULL if the list is full. */
static dks_leased_address_t *
find_or_add (dks_leased_t *leased, const char *text, int64_t last_seen_us)
{
  dks_leased_address_t *address =
      apr_hash_get (leased->addresses_by_text, text, APR_HASH_KEY_STRING);

  if (address != NULL || !make_room (leased, text))
    return address;
  address = dks_alloc (sizeof (*address));
  dks_strcpy (address->text, sizeof (address->text), text);
  address->last_seen_us = last_seen_us;
  APR_RING_INSERT_TAIL (&leased->addresses, address, dks_leased_address_t, link);
  apr_hash_set (leased->addresses_by_text, address->text, APR_HASH_KEY_STRING, address);
  leased->address_count++;
  return address;
}

/* Records that the address is, or lately was, that of an instance. */
static void
confirm (dks_leased_t *leased, dks_leased_address_t *address)
{
  int64_t now_us = dks_leased_now_us (leased);

  if (address->sequence != 0)
    return;
  address->sequence = ++leased->address_sequence;
  leased->address_digest ^= digest_of (address->text);
  if (!dks_timer_is_armed (&leased->announce_timer))
    dks_timer_set (leased->r->timers, &leased->announce_timer,
                   now_us
                       + (now_us - leased->start_us < START_PERIOD_US ? START_ANNOUNCE_DELAY_US
                                                                      : ANNOUNCE_DELAY_US));
}

static bool
is_usable (const dks_leased_t *leased, const char *text)
{
  return text[0] != '\0' && strcmp (text, leased->r->config.address) != 0;
}

/* Messages */

/* Sends the peer the confirmed addresses with a sequence above `after`. */
static void
send_addresses (dks_leased_t *leased, const dks_leased_peer_t *peer, uint64_t after)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_ADDRESSES);
  dks_leased_address_t *address;
  uint32_t count = 0;

  msg->u.addresses.items =
      dks_alloc ((leased->address_count + 1) * sizeof (msg->u.addresses.items[0]));
  dks_strcpy (msg->u.addresses.items[count].text, DKS_ADDRESS_SIZE, leased->r->config.address);
  count++;
  APR_RING_FOREACH (address, &leased->addresses, dks_leased_address_t, link)
    {
      int64_t unseen_us = dks_leased_now_us (leased) - address->last_seen_us;

      if (address->sequence <= after || address == peer->address)
        continue;
      dks_strcpy (msg->u.addresses.items[count].text, DKS_ADDRESS_SIZE, address->text);
      msg->u.addresses.items[count].unseen_s =
          address->connections > 0 ? 0 : (uint32_t)(unseen_us / 1000000);
      count++;
    }
  msg->u.addresses.count = count;
  dks_emit_peer (leased->r, peer->id, msg);
}

/* Sends each peer the addresses that it may lack. A peer whose latest status has the same digest
 * lacks none. */
static void
handle_announce_timer (void *context, int64_t now_us)
{
  dks_leased_t *leased = context;
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (!peer->status_received || peer->addresses_sent == leased->address_sequence)
        continue;
      if (peer->address_digest != leased->address_digest)
        send_addresses (leased, peer, peer->addresses_sent);
      peer->addresses_sent = leased->address_sequence;
    }
}

void
dks_leased_addresses_handle_status (dks_leased_t *leased, dks_leased_peer_t *peer, bool is_first)
{
  int64_t now_us = dks_leased_now_us (leased);

  if (peer->address_digest == leased->address_digest)
    {
      peer->addresses_received = true;
      return;
    }
  if (!is_first)
    {
      if (peer->addresses_sent != leased->address_sequence
          || now_us - leased->last_address_repair_us < REPAIR_INTERVAL_US)
        return;
      leased->last_address_repair_us = now_us;
    }
  peer->addresses_sent = leased->address_sequence;
  send_addresses (leased, peer, 0);
}

void
dks_leased_addresses_handle_up (dks_leased_t *leased, dks_leased_peer_t *peer)
{
  dks_leased_addresses_handle_down (leased, peer);
  peer->address_digest = 0;
  peer->addresses_sent = 0;
  peer->addresses_received = false;
  send_addresses (leased, peer, leased->address_sequence);
}

void
dks_leased_addresses_handle_down (dks_leased_t *leased, dks_leased_peer_t *peer)
{
  if (peer->address == NULL)
    return;
  peer->address->connections--;
  peer->address->last_seen_us = dks_leased_now_us (leased);
  peer->address = NULL;
}

void
dks_leased_addresses_handle_msg (dks_leased_t *leased, dks_leased_peer_t *peer,
                                 const dks_msg_t *msg)
{
  int64_t now_us = dks_leased_now_us (leased);

  /* The first message on a connection has the address of the peer only. */
  peer->addresses_received = peer->addresses_received || peer->address != NULL;
  for (uint32_t i = 0; i < msg->u.addresses.count; i++)
    {
      const dks_member_address_t *item = &msg->u.addresses.items[i];
      int64_t last_seen_us = now_us - INT64_C (1000000) * item->unseen_s;
      dks_leased_address_t *address;

      if (!is_usable (leased, item->text) || item->unseen_s >= RETENTION_S)
        continue;
      address = find_or_add (leased, item->text, last_seen_us);
      if (address == NULL)
        continue;
      if (last_seen_us > address->last_seen_us)
        address->last_seen_us = last_seen_us;
      if (i == 0 && peer->address != address)
        {
          dks_leased_addresses_handle_down (leased, peer);
          peer->address = address;
          address->connections++;
        }
      confirm (leased, address);
      if (address->next_dial_us == 0)
        dial (leased, address);
    }
}

/* Upkeep */

void
dks_leased_addresses_tick (dks_leased_t *leased)
{
  int64_t now_us = dks_leased_now_us (leased);
  dks_leased_address_t *address;
  dks_leased_address_t *next;

  APR_RING_FOREACH_SAFE (address, next, &leased->addresses, dks_leased_address_t, link)
    {
      if (address->connections > 0)
        address->last_seen_us = now_us;
      else if (!address->is_seed
               && now_us - address->last_seen_us >= INT64_C (1000000) * RETENTION_S)
        address_free (leased, address);
      else if (now_us >= address->next_dial_us)
        dial (leased, address);
    }
}

bool
dks_leased_addresses_are_exchanged (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (peer->status_received && !peer->addresses_received)
        return false;
    }
  return true;
}

uint32_t
dks_leased_addresses_count_recent (const dks_leased_t *leased)
{
  const dks_leased_address_t *address;
  uint32_t count = 0;

  APR_RING_FOREACH (address, &leased->addresses, dks_leased_address_t, link)
    count += address->connections > 0 || address->sequence == 0
             || dks_leased_now_us (leased) - address->last_seen_us < RECENT_US;
  return count;
}

void
dks_leased_addresses_add_seeds (dks_leased_t *leased, const dks_config_t *config)
{
  for (size_t i = 0; i < config->seed_address_count; i++)
    {
      dks_leased_address_t *address;

      if (!is_usable (leased, config->seed_addresses[i]))
        continue;
      address = find_or_add (leased, config->seed_addresses[i], dks_leased_now_us (leased));
      if (address != NULL)
        address->is_seed = true;
    }
}

void
dks_leased_addresses_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->addresses, dks_leased_address_t, link);
  leased->addresses_by_text = apr_hash_make (leased->r->pool);
  leased->address_digest = digest_of (leased->r->config.address);
  dks_timer_init (&leased->announce_timer, handle_announce_timer, leased);
  dks_leased_addresses_add_seeds (leased, &leased->r->config);
}

void
dks_leased_addresses_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->addresses, dks_leased_address_t, link))
    address_free (leased, APR_RING_FIRST (&leased->addresses));
  dks_timer_cancel (leased->r->timers, &leased->announce_timer);
}
