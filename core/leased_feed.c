#include "core/leased.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <string.h>

enum
{
  /* Bounds the time until a dead connection to the store is noticed. A change has to be in force
     within 2 s, and the watches of all instances can be on dead connections. */
  WATCH_TIMEOUT_MS = 1500,
  /* Pause between two watches of the list of targets. Each target reports every 1.5 s, so a watch
     is answered at once; after a pause the answer has many reports. A leaving target can take work
     for another 2 s. */
  TARGETS_WATCH_PAUSE_US = 400000,
  READ_TIMEOUT_MS = 1500, /* answers take some ms, and some hundred ms while the store is slow */
  RETRY_DELAY_MIN_US = 150000,
  RETRY_DELAY_MAX_US = 1200000,
  /* From the moment at which a peer has a newer record until it is asked for: the platform delivers
     it to most instances by then. */
  FETCH_DELAY_US = 250000,
  FETCH_INTERVAL_US = 700000, /* until another peer is asked */
  /* Small instances need up to 2 s to put a large configuration in force. */
  OUTDATED_AFTER_US = 3000000,
  LOGGED_FAILURES_MAX = 3 /* failed calls in a row that are logged */
};

static const char platform_source[] = "platform"; /* else the source is a peer */

static const char *
feed_name (dks_feed_t feed)
{
  return feed == DKS_FEED_CATALOG ? "catalog" : "targets";
}

static const char *
status_name (dks_feed_status_t status)
{
  switch (status)
    {
    case DKS_FEED_OK:
      return "ok";
    case DKS_FEED_HISTORY_GONE:
      return "history_gone";
    case DKS_FEED_REJECTED:
      return "rejected";
    case DKS_FEED_UNREACHABLE:
      return "unreachable";
    case DKS_FEED_UNANSWERED:
      return "unanswered";
    case DKS_FEED_TOO_LARGE:
      return "too_large";
    }
  return "unknown";
}

static void
send_call (dks_leased_t *leased, dks_feed_t which)
{
  dks_leased_feed_t *feed = &leased->feeds[which];
  dks_effect_t *effect = dks_effects_add (
      leased->r->effects, feed->is_watch ? DKS_EFFECT_FEED_WATCH : DKS_EFFECT_FEED_READ);

  feed->op = dks_next_id (leased->r);
  feed->sent_us = leased->r->now.mono_us;
  effect->u.feed.op = feed->op;
  effect->u.feed.feed = which;
  effect->u.feed.revision = feed->revision;
  effect->u.feed.timeout_ms = feed->is_watch ? WATCH_TIMEOUT_MS : READ_TIMEOUT_MS;
  dks_strcpy (effect->u.feed.after_key, sizeof (effect->u.feed.after_key), feed->after_key);
  dks_counter_increment (&leased->r->counters, DKS_COUNTER_STORE_READS);
}

static void
begin_read (dks_leased_t *leased, dks_feed_t which)
{
  dks_leased_feed_t *feed = &leased->feeds[which];

  feed->is_watch = false;
  feed->after_key[0] = '\0';
  feed->generation++;
  feed->revision = 0;
  if (which == DKS_FEED_CATALOG)
    dks_leased_evacuation_begin_read (leased);
  send_call (leased, which);
}

static void
begin_watch (dks_leased_t *leased, dks_feed_t which)
{
  leased->feeds[which].is_watch = true;
  send_call (leased, which);
}

static void
schedule_retry (dks_leased_t *leased, dks_feed_t which)
{
  dks_leased_feed_t *feed = &leased->feeds[which];
  int64_t wait_us = RETRY_DELAY_MIN_US << (feed->failures < 4 ? feed->failures : 4);

  if (wait_us > RETRY_DELAY_MAX_US)
    wait_us = RETRY_DELAY_MAX_US;
  wait_us = wait_us / 2 + (int64_t)(dks_random (leased->r) % (uint64_t)wait_us) / 2;
  feed->failures++;
  dks_timer_set (leased->r->timers, &feed->timer, leased->r->now.mono_us + wait_us);
}

static void
handle_retry (dks_leased_t *leased, dks_feed_t which)
{
  dks_leased_feed_t *feed = &leased->feeds[which];

  if (feed->is_watch)
    begin_watch (leased, which);
  else
    begin_read (leased, which);
}

static void
handle_catalog_timer (void *context, int64_t now_us)
{
  handle_retry (context, DKS_FEED_CATALOG);
}

static void
handle_targets_timer (void *context, int64_t now_us)
{
  handle_retry (context, DKS_FEED_TARGETS);
}

/* Items */

/* Whether the peer has what this instance lacks. */
static bool
peer_has (const dks_leased_t *leased, const dks_leased_peer_t *peer, dks_feed_t which)
{
  int64_t version = leased->catalog != NULL ? leased->catalog->version : 0;

  return which == DKS_FEED_CATALOG ? peer->catalog_version > version
                                   : peer->knows_targets && !leased->feeds[which].is_loaded;
}

bool
dks_leased_feed_is_behind (const dks_leased_t *leased)
{
  return leased->catalog != NULL
         && (leased->newest_catalog.is_rejected
             || leased->newest_catalog.version > leased->catalog->version);
}

static void
update_behind (dks_leased_t *leased)
{
  if (!dks_leased_feed_is_behind (leased))
    leased->newest_catalog.missing_since_us = 0;
  else if (leased->newest_catalog.missing_since_us == 0)
    leased->newest_catalog.missing_since_us = leased->r->now.mono_us;
}

void
dks_leased_feed_note_version (dks_leased_t *leased, int64_t version)
{
  if (version > leased->newest_catalog.version)
    leased->newest_catalog.version = version;
  update_behind (leased);
}

int64_t
dks_leased_feed_behind_us (const dks_leased_t *leased)
{
  int64_t since_us = leased->newest_catalog.missing_since_us;

  return since_us > 0 ? leased->r->now.mono_us - since_us : 0;
}

bool
dks_leased_feed_is_outdated (const dks_leased_t *leased)
{
  const dks_leased_peer_t *peer;

  if (dks_leased_feed_behind_us (leased) < OUTDATED_AFTER_US)
    return false;
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (dks_leased_peer_is_alive (leased, peer) && peer_has (leased, peer, DKS_FEED_CATALOG))
        return true;
    }
  return false;
}

static void
count_catalog (dks_leased_t *leased, const char *source, const char *result)
{
  dks_metrics_increment (leased->metrics, DKS_LABELLED_CATALOGS,
                         strcmp (source, platform_source) == 0 ? source : "peer", result);
}

void
dks_leased_feed_reject_catalog (dks_leased_t *leased, const dks_catalog_rejection_t *rejection,
                                const char *source)
{
  dks_emit_log (leased->r, DKS_LOG_ERROR,
                "event=catalog-rejected version=%" PRId64 " in_force=%" PRId64
                " source=%s reason=\"%s\"",
                rejection->version, leased->catalog != NULL ? leased->catalog->version : 0, source,
                rejection->reason);
  count_catalog (leased, source, "rejected");
  if (strcmp (source, platform_source) == 0)
    {
      leased->newest_catalog.is_rejected = true;
      dks_strcpy (leased->newest_catalog.rejection, sizeof (leased->newest_catalog.rejection),
                  rejection->reason);
    }
  dks_leased_feed_note_version (leased, rejection->version);
}

void
dks_leased_feed_apply_catalog (dks_leased_t *leased, dks_catalog_t *catalog, const char *source)
{
  if (strcmp (source, platform_source) == 0)
    leased->newest_catalog.is_rejected = false;
  if (leased->catalog != NULL && leased->catalog->version >= catalog->version)
    {
      count_catalog (leased, source, "known");
      update_behind (leased);
      return;
    }
  count_catalog (leased, source, "applied");
  dks_emit_log (leased->r, DKS_LOG_NOTICE,
                "event=catalog-applied version=%" PRId64 " previous=%" PRId64
                " queues=%u source=%s",
                catalog->version, leased->catalog != NULL ? leased->catalog->version : 0,
                catalog->queue_count, source);
  dks_catalog_unref (leased->catalog);
  dks_blob_unref (leased->catalog_record);
  leased->catalog = dks_catalog_ref (catalog);
  leased->catalog_record = NULL;
  if (catalog->version >= leased->newest_catalog.version)
    leased->newest_catalog.is_rejected = false;
  dks_leased_feed_note_version (leased, catalog->version);
  dks_counter_increment (&leased->r->counters, DKS_COUNTER_SETTINGS_APPLIED);
  dks_leased_members_notify_all (leased);
}

bool
dks_leased_feed_knows_targets (const dks_leased_t *leased)
{
  return leased->feeds[DKS_FEED_TARGETS].is_loaded && dks_leased_evacuation_is_known (leased);
}

void
dks_leased_feed_handle_targets (dks_leased_t *leased, const char *from, const dks_msg_t *msg)
{
  dks_leased_feed_t *feed = &leased->feeds[DKS_FEED_TARGETS];

  if (feed->is_loaded)
    return;
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=targets-from-peer peer=%s targets=%u", from,
                msg->u.targets.count);
  for (uint32_t i = 0; i < msg->u.targets.count; i++)
    dks_leased_targets_put (leased, &msg->u.targets.items[i]);
  feed->is_loaded = true;
  dks_leased_leader_update (leased);
}

/* Records of peers */

/* The peer to ask: one that was not asked last, then one of the own data centre, then its leader,
 * which is the most likely to be up to date. NULL: no peer has it. */
static const dks_leased_peer_t *
choose_source (const dks_leased_t *leased, dks_feed_t which, const char *asked_peer)
{
  const dks_leased_peer_t *peer;
  const dks_leased_peer_t *best = NULL;
  int best_rank = -1;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      int rank = 4 * (strcmp (peer->id, asked_peer) != 0)
                 + 2 * dks_leased_peer_is_local (leased, peer) + (peer->term > 0);

      if (rank <= best_rank || !dks_leased_peer_is_alive (leased, peer)
          || !peer_has (leased, peer, which))
        continue;
      best = peer;
      best_rank = rank;
    }
  return best;
}

static void
fetch_from_peer (dks_leased_t *leased, dks_feed_t which, dks_leased_fetch_t *fetch)
{
  const dks_leased_peer_t *peer = choose_source (leased, which, fetch->asked_peer);
  bool has_any = which == DKS_FEED_CATALOG && leased->catalog != NULL;
  int64_t now_us = leased->r->now.mono_us;
  dks_msg_t *msg;

  if (peer == NULL)
    {
      *fetch = (dks_leased_fetch_t){ 0 };
      return;
    }
  if (fetch->missing_since_us == 0)
    fetch->missing_since_us = now_us;
  if ((has_any && now_us - fetch->missing_since_us < FETCH_DELAY_US)
      || (fetch->asked_us > 0 && now_us - fetch->asked_us < FETCH_INTERVAL_US))
    return;
  fetch->asked_us = now_us;
  dks_strcpy (fetch->asked_peer, sizeof (fetch->asked_peer), peer->id);
  msg = dks_msg_create (DKS_MSG_RECORD_ASK);
  dks_strcpy (msg->u.record_ask.key, sizeof (msg->u.record_ask.key), feed_name (which));
  dks_emit_peer (leased->r, peer->id, msg);
}

void
dks_leased_feed_fetch_from_peers (dks_leased_t *leased)
{
  fetch_from_peer (leased, DKS_FEED_CATALOG, &leased->catalog_fetch);
  fetch_from_peer (leased, DKS_FEED_TARGETS, &leased->targets_fetch);
}

static void
send_catalog (dks_leased_t *leased, const char *peer)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_RECORD);

  if (leased->catalog_record == NULL)
    leased->catalog_record = dks_catalog_encode (leased->catalog);
  dks_strcpy (msg->u.record.key, sizeof (msg->u.record.key), feed_name (DKS_FEED_CATALOG));
  msg->u.record.version = leased->catalog->version;
  msg->u.record.value = dks_blob_ref (leased->catalog_record);
  dks_emit_peer (leased->r, peer, msg);
}

void
dks_leased_feed_handle_record_ask (dks_leased_t *leased, const char *from, const dks_msg_t *msg)
{
  const char *key = msg->u.record_ask.key;

  if (leased->catalog != NULL && strcmp (key, feed_name (DKS_FEED_TARGETS)) != 0)
    send_catalog (leased, from);
  if (dks_leased_feed_knows_targets (leased) && strcmp (key, feed_name (DKS_FEED_CATALOG)) != 0)
    dks_leased_targets_send_list (leased, from);
}

/* Items of the platform */

static void
handle_item (dks_leased_t *leased, dks_feed_t which, const dks_feed_item_t *item)
{
  if (which == DKS_FEED_CATALOG)
    {
      if (item->data_centre != NULL)
        dks_leased_evacuation_add_item (leased, item);
      else if (item->catalog != NULL)
        dks_leased_feed_apply_catalog (leased, item->catalog, platform_source);
      else if (item->rejection != NULL)
        dks_leased_feed_reject_catalog (leased, item->rejection, platform_source);
      else
        dks_emit_log (leased->r, DKS_LOG_WARNING, "event=catalog-deleted key=%s", item->key);
      return;
    }
  if (item->target != NULL)
    dks_leased_targets_put (leased, item->target);
  else
    dks_leased_targets_remove (leased, item->key);
}

/* Removes the targets that a complete read did not contain. */
static void
remove_unlisted (dks_leased_t *leased, uint32_t generation)
{
  dks_leased_target_t *target;
  dks_leased_target_t *next;

  APR_RING_FOREACH_SAFE (target, next, &leased->targets, dks_leased_target_t, link)
    {
      if (target->listed && target->feed_generation != generation)
        dks_leased_targets_remove (leased, target->info.id);
    }
}

static void
handle_read (dks_leased_t *leased, dks_feed_t which, const dks_event_t *event)
{
  dks_leased_feed_t *feed = &leased->feeds[which];

  /* The watch starts at the revision of the first part, since from a later one it would miss
   * changes made between two parts. */
  if (feed->revision == 0)
    feed->revision = event->u.feed.revision;
  if (event->u.feed.more_items_follow && event->u.feed.last_key != NULL)
    {
      dks_strcpy (feed->after_key, sizeof (feed->after_key), event->u.feed.last_key);
      send_call (leased, which);
      return;
    }
  feed->is_loaded = true;
  if (which == DKS_FEED_TARGETS)
    remove_unlisted (leased, feed->generation);
  else
    dks_leased_evacuation_apply_items (leased, feed->revision);
  begin_watch (leased, which);
}

static void
log_failure (dks_leased_t *leased, dks_feed_t which, dks_feed_status_t status)
{
  const dks_leased_feed_t *feed = &leased->feeds[which];
  bool is_history_gone = status == DKS_FEED_HISTORY_GONE;

  dks_emit_log (leased->r, DKS_LOG_NOTICE,
                "event=feed-%s feed=%s call=%s reason=%s waited_ms=%" PRId64 " failures=%u",
                is_history_gone ? "history-gone" : "unavailable", feed_name (which),
                feed->is_watch ? "watch" : "read", status_name (status),
                (leased->r->now.mono_us - feed->sent_us) / 1000, feed->failures);
}

/* The version is not known, as nothing of the answer was read. */
static void
reject_unread_catalog (dks_leased_t *leased)
{
  const dks_catalog_rejection_t rejection = { 0, "the answer of the store is too large" };

  dks_leased_feed_reject_catalog (leased, &rejection, platform_source);
}

void
dks_leased_feed_handle_event (dks_leased_t *leased, const dks_event_t *event)
{
  dks_feed_t which = DKS_FEED_CATALOG;
  dks_leased_feed_t *feed;

  while (which < DKS_FEED_COUNT && leased->feeds[which].op != event->u.feed.op)
    which++;
  if (which == DKS_FEED_COUNT)
    return;
  feed = &leased->feeds[which];
  feed->op = 0;
  dks_metrics_increment (leased->metrics, DKS_LABELLED_FEED_CALLS, feed_name (which),
                         status_name (event->u.feed.status));

  if (event->u.feed.status != DKS_FEED_OK)
    {
      if (feed->failures < LOGGED_FAILURES_MAX || event->u.feed.status == DKS_FEED_HISTORY_GONE)
        log_failure (leased, which, event->u.feed.status);
      if (which == DKS_FEED_CATALOG && event->u.feed.status == DKS_FEED_TOO_LARGE
          && feed->failures == 0)
        reject_unread_catalog (leased);
      if (event->u.feed.status == DKS_FEED_HISTORY_GONE)
        begin_read (leased, which);
      else
        schedule_retry (leased, which);
      return;
    }
  if (feed->failures > 0)
    dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=feed-back feed=%s", feed_name (which));
  feed->failures = 0;
  feed->last_answer_us = leased->r->now.mono_us;
  if (which == DKS_FEED_CATALOG && feed->is_watch)
    dks_leased_evacuation_begin_changes (leased);
  for (size_t i = 0; i < event->u.feed.count; i++)
    handle_item (leased, which, &event->u.feed.items[i]);
  dks_leased_share_new (leased);
  if (!feed->is_watch)
    {
      handle_read (leased, which, event);
      return;
    }
  if (event->u.feed.revision > feed->revision)
    feed->revision = event->u.feed.revision;
  if (which == DKS_FEED_CATALOG)
    dks_leased_evacuation_apply_items (leased, event->u.feed.revision);
  if (which == DKS_FEED_TARGETS && event->u.feed.count > 0)
    dks_timer_set (leased->r->timers, &feed->timer,
                   leased->r->now.mono_us + TARGETS_WATCH_PAUSE_US);
  else
    begin_watch (leased, which);
}

void
dks_leased_feed_init (dks_leased_t *leased)
{
  dks_timer_init (&leased->feeds[DKS_FEED_CATALOG].timer, handle_catalog_timer, leased);
  dks_timer_init (&leased->feeds[DKS_FEED_TARGETS].timer, handle_targets_timer, leased);
  for (dks_feed_t which = DKS_FEED_CATALOG; which < DKS_FEED_COUNT; which++)
    dks_timer_set (leased->r->timers, &leased->feeds[which].timer, leased->r->now.mono_us);
}

void
dks_leased_feed_clear (dks_leased_t *leased)
{
  for (dks_feed_t which = DKS_FEED_CATALOG; which < DKS_FEED_COUNT; which++)
    dks_timer_cancel (leased->r->timers, &leased->feeds[which].timer);
  dks_catalog_unref (leased->catalog);
  dks_blob_unref (leased->catalog_record);
}
