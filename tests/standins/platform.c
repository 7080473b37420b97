#include "common/alloc.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"
#include "httpd.h"

#include <apr_ring.h>
#include <argtable2.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  VALUE_MAX_BYTES = 1 << 20,
  WATCH_WAIT_MAX_MS = 60000,
  VERSION_INVALID = -1
};

typedef enum
{
  CALL_GET = 0,
  CALL_PUT,
  CALL_WATCH,
  CALL_LEASE,
  CALL_INSTANCES,
  CALL_KINDS
} call_kind_t;

static const char *const call_names[CALL_KINDS] = { "get", "put", "watch", "lease", "instances" };

typedef struct platform_t platform_t;

typedef struct
{
  char *key;
  char *value;
  size_t len;
  int64_t version;
} record_t;

/* One request of a client to the platform, from its arrival to its reply. */
typedef struct call_t call_t;
struct call_t
{
  APR_RING_ENTRY (call_t) link;
  platform_t *platform;
  dks_exchange_t *exchange;
  dks_timer_t timer; /* end of the watch, or of the delay before the reply */
  char *prefix;      /* watched prefix of keys; NULL when the call does not wait for a change */
  int64_t since_revision; /* a watch reports records with a newer version */
  unsigned status;
  char *reply;
};
APR_RING_HEAD (call_ring, call_t);

typedef struct lease_t lease_t;
struct lease_t
{
  APR_RING_ENTRY (lease_t) link;
  platform_t *platform;
  dks_timer_t timer; /* expiry; armed while the lease is held */
  char *id;
};
APR_RING_HEAD (lease_ring, lease_t);

/* State of the list of instances from `valid_from_us` on; clients see it `lag_ms` later. */
typedef struct instance_list_t instance_list_t;
struct instance_list_t
{
  APR_RING_ENTRY (instance_list_t) link;
  int64_t valid_from_us;
  char *text;
};
APR_RING_HEAD (instance_list_ring, instance_list_t);

struct platform_t
{
  dks_loop_t *loop;
  dks_timers_t *timers;
  record_t *records;
  size_t record_count;
  int64_t revision;
  struct call_ring calls;
  struct lease_ring leases;
  json_t *instances;
  struct instance_list_ring lists; /* oldest first */
  bool down;
  int64_t slow_ms;       /* delay of each reply */
  int64_t lag_ms;        /* until clients see a change of the list of instances */
  int64_t lost_percent;  /* of the writes and lease renewals, whose reply is lost */
  uint64_t random_state; /* chooses the replies that are lost */
  uint64_t call_counts[CALL_KINDS];
  uint64_t conflicts;
  uint64_t lost_replies; /* number of writes and lease renewals that took effect and whose reply was
                            lost */
  uint64_t dropped_calls; /* calls whose connection was closed without a reply */
};

static void
call_destroy (call_t *call)
{
  dks_timer_cancel (call->platform->timers, &call->timer);
  APR_RING_REMOVE (call, link);
  free (call->prefix);
  free (call->reply);
  free (call);
}

static void
call_drop (call_t *call)
{
  call->platform->dropped_calls++;
  dks_exchange_drop (call->exchange);
  call_destroy (call);
}

static void
call_send (call_t *call)
{
  static const char *const json[] = { "Content-Type", "application/json", NULL };

  dks_exchange_reply (call->exchange, call->status, json, call->reply, strlen (call->reply));
  call_destroy (call);
}

/* Takes ownership of `reply`. A delay (`slow_ms`) holds back only the reply: a write has already
 * taken effect. */
static void
call_finish (call_t *call, unsigned status, char *reply)
{
  platform_t *platform = call->platform;

  call->status = status;
  call->reply = reply;
  free (call->prefix);
  call->prefix = NULL;
  if (platform->slow_ms > 0)
    dks_timer_set (platform->timers, &call->timer,
                   dks_loop_now ().mono_us + platform->slow_ms * 1000);
  else
    call_send (call);
}

static void
call_finish_json (call_t *call, unsigned status, json_t *reply)
{
  call_finish (call, status, json_dumps (reply, JSON_COMPACT));
  json_decref (reply);
}

static void
call_fail (call_t *call, unsigned status, const char *detail)
{
  call_finish_json (call, status, json_pack ("{s:s}", "error", detail));
}

static record_t *
record_find (platform_t *platform, const char *key)
{
  for (size_t i = 0; i < platform->record_count; i++)
    {
      if (strcmp (platform->records[i].key, key) == 0)
        return &platform->records[i];
    }
  return NULL;
}

static record_t *
record_add (platform_t *platform, const char *key)
{
  size_t size = (platform->record_count + 1) * sizeof (platform->records[0]);
  record_t *record;

  platform->records = dks_realloc (platform->records, size);
  record = &platform->records[platform->record_count++];
  *record = (record_t){ .key = dks_strdup (key) };
  return record;
}

/* Reply of a watch. Without a record under `prefix` that is newer than `since` it is NULL, or an
 * empty list with `allow_empty`. */
static char *
watch_reply (const platform_t *platform, const char *prefix, int64_t since, bool allow_empty)
{
  json_t *items = json_array ();
  json_t *reply = NULL;
  char *text = NULL;

  for (size_t i = 0; i < platform->record_count; i++)
    {
      const record_t *record = &platform->records[i];
      if (record->version > since && strncmp (record->key, prefix, strlen (prefix)) == 0)
        json_array_append_new (items, json_pack ("{s:s,s:I,s:s%}", "key", record->key, "version",
                                                 (json_int_t)record->version, "value",
                                                 record->value, record->len));
    }
  if (json_array_size (items) > 0 || allow_empty)
    {
      reply = json_pack ("{s:I,s:O}", "revision", (json_int_t)platform->revision, "items", items);
      text = json_dumps (reply, JSON_COMPACT);
    }
  json_decref (reply);
  json_decref (items);
  return text;
}

static void
notify_watches (platform_t *platform)
{
  call_t *call;
  call_t *next;

  APR_RING_FOREACH_SAFE (call, next, &platform->calls, call_t, link)
    {
      char *reply;
      if (call->prefix == NULL)
        continue;
      reply = watch_reply (platform, call->prefix, call->since_revision, false);
      if (reply == NULL)
        continue;
      dks_timer_cancel (platform->timers, &call->timer);
      call_finish (call, 200, reply);
    }
}

static void
handle_call_timer (void *context, int64_t now_us)
{
  call_t *call = context;
  char *reply;

  if (call->prefix == NULL)
    {
      call_send (call);
      return;
    }
  reply = watch_reply (call->platform, call->prefix, call->since_revision, true);
  call_finish (call, 200, reply);
}

static void
handle_call_cancelled (void *context)
{
  call_destroy (context);
}

static void
handle_get (call_t *call, const char *key)
{
  const record_t *record = record_find (call->platform, key);

  if (record == NULL)
    {
      call_fail (call, 404, "no such key");
      return;
    }
  call_finish_json (call, 200,
                    json_pack ("{s:I,s:s%}", "version", (json_int_t)record->version, "value",
                               record->value, record->len));
}

static bool
reply_is_lost (platform_t *platform)
{
  if (platform->lost_percent <= 0
      || (int64_t)(dks_random_next (&platform->random_state) % 100) >= platform->lost_percent)
    return false;
  platform->lost_replies++;
  return true;
}

static void
handle_put (call_t *call, const char *key)
{
  platform_t *platform = call->platform;
  int64_t version = dks_exchange_query_int (call->exchange, "version", VERSION_INVALID);
  record_t *record = record_find (platform, key);
  int64_t current = record != NULL ? record->version : 0;
  size_t len;
  const char *body = dks_exchange_body (call->exchange, &len);
  json_t *valid;

  valid = json_stringn (body, len);
  json_decref (valid);
  if (version < 0 || valid == NULL || key[0] == '\0')
    {
      call_fail (call, 400, "needs a key, a version and a value in UTF-8");
      return;
    }
  if (len > VALUE_MAX_BYTES)
    {
      call_fail (call, 413, "value above 1 MB");
      return;
    }
  if (version != current)
    {
      platform->conflicts++;
      call_finish_json (call, 409, json_pack ("{s:I}", "version", (json_int_t)current));
      return;
    }
  if (record == NULL)
    record = record_add (platform, key);
  free (record->value);
  record->value = dks_alloc (len + 1);
  memcpy (record->value, body, len);
  record->len = len;
  record->version = ++platform->revision;
  if (reply_is_lost (platform))
    call_drop (call);
  else
    call_finish_json (call, 200, json_pack ("{s:I}", "version", (json_int_t)record->version));
  notify_watches (platform);
}

static void
handle_watch (call_t *call)
{
  platform_t *platform = call->platform;
  const char *prefix = dks_exchange_query (call->exchange, "prefix");
  int64_t wait_ms = dks_exchange_query_int (call->exchange, "wait_ms", 0);
  char *reply;

  prefix = prefix != NULL ? prefix : "";
  wait_ms = wait_ms < WATCH_WAIT_MAX_MS ? wait_ms : WATCH_WAIT_MAX_MS;
  call->since_revision = dks_exchange_query_int (call->exchange, "since", 0);
  reply = watch_reply (platform, prefix, call->since_revision, wait_ms <= 0);
  if (reply != NULL)
    {
      call_finish (call, 200, reply);
      return;
    }
  call->prefix = dks_strdup (prefix);
  dks_timer_set (platform->timers, &call->timer, dks_loop_now ().mono_us + wait_ms * 1000);
}

/* An instance that has never taken a lease is listed as in the file; an instance whose lease has
 * expired is not listed until it renews the lease. */
static bool
instance_is_listed (const platform_t *platform, const char *id)
{
  const lease_t *lease;

  APR_RING_FOREACH (lease, &platform->leases, lease_t, link)
    {
      if (strcmp (lease->id, id) == 0)
        return dks_timer_is_armed (&lease->timer);
    }
  return true;
}

/* Records the current list of instances and drops the old lists that clients no longer see. */
static void
list_publish (platform_t *platform)
{
  json_t *listed = json_array ();
  instance_list_t *list = dks_alloc (sizeof (*list));
  int64_t visible_us;
  size_t i;
  json_t *instance;

  json_array_foreach (platform->instances, i, instance)
  {
    const char *id = json_string_value (json_object_get (instance, "id"));
    if (id == NULL || instance_is_listed (platform, id))
      json_array_append (listed, instance);
  }
  list->valid_from_us = dks_loop_now ().mono_us;
  list->text = json_dumps (listed, JSON_COMPACT);
  json_decref (listed);
  APR_RING_INSERT_TAIL (&platform->lists, list, instance_list_t, link);
  visible_us = list->valid_from_us - platform->lag_ms * 1000;
  for (;;)
    {
      instance_list_t *first = APR_RING_FIRST (&platform->lists);
      const instance_list_t *second = APR_RING_NEXT (first, link);
      if (second == APR_RING_SENTINEL (&platform->lists, instance_list_t, link)
          || second->valid_from_us > visible_us)
        break;
      APR_RING_REMOVE (first, link);
      free (first->text);
      free (first);
    }
}

static void
handle_instances (call_t *call)
{
  platform_t *platform = call->platform;
  int64_t visible_us = dks_loop_now ().mono_us - platform->lag_ms * 1000;
  const instance_list_t *visible = APR_RING_FIRST (&platform->lists);
  const instance_list_t *list;

  APR_RING_FOREACH (list, &platform->lists, instance_list_t, link)
    {
      if (list->valid_from_us <= visible_us)
        visible = list;
    }
  call_finish (call, 200, dks_strdup (visible->text));
}

static void
handle_lease_expired (void *context, int64_t now_us)
{
  lease_t *lease = context;

  list_publish (lease->platform);
}

static void
handle_lease (call_t *call)
{
  platform_t *platform = call->platform;
  const char *id = dks_exchange_query (call->exchange, "id");
  int64_t ttl_ms = dks_exchange_query_int (call->exchange, "ttl_ms", 0);
  bool was_held;
  lease_t *found = NULL;
  lease_t *lease;

  if (id == NULL || ttl_ms <= 0)
    {
      call_fail (call, 400, "needs id and ttl_ms");
      return;
    }
  APR_RING_FOREACH (lease, &platform->leases, lease_t, link)
    {
      if (strcmp (lease->id, id) == 0)
        found = lease;
    }
  if (found == NULL)
    {
      found = dks_alloc (sizeof (*found));
      found->platform = platform;
      found->id = dks_strdup (id);
      dks_timer_init (&found->timer, handle_lease_expired, found);
      APR_RING_INSERT_TAIL (&platform->leases, found, lease_t, link);
    }
  was_held = dks_timer_is_armed (&found->timer);
  dks_timer_set (platform->timers, &found->timer, dks_loop_now ().mono_us + ttl_ms * 1000);
  if (!was_held)
    list_publish (platform);
  if (reply_is_lost (platform))
    call_drop (call);
  else
    call_finish_json (call, 200, json_pack ("{s:I}", "ttl_ms", (json_int_t)ttl_ms));
}

static void
handle_stats (platform_t *platform, dks_exchange_t *exchange)
{
  json_t *reply = json_object ();
  json_int_t waiting = 0;
  const call_t *call;
  char *text;

  APR_RING_FOREACH (call, &platform->calls, call_t, link)
    {
      waiting += call->prefix != NULL;
    }
  for (int i = 0; i < CALL_KINDS; i++)
    json_object_set_new (reply, call_names[i], json_integer ((json_int_t)platform->call_counts[i]));
  json_object_set_new (reply, "waiting", json_integer (waiting));
  json_object_set_new (reply, "conflicts", json_integer ((json_int_t)platform->conflicts));
  json_object_set_new (reply, "lost", json_integer ((json_int_t)platform->lost_replies));
  json_object_set_new (reply, "dropped", json_integer ((json_int_t)platform->dropped_calls));
  json_object_set_new (reply, "revision", json_integer (platform->revision));
  text = json_dumps (reply, JSON_COMPACT);
  json_decref (reply);
  dks_exchange_reply_text (exchange, 200, text);
  free (text);
}

/* Sets the state of an instance in the list; the state "gone" removes the instance. Returns whether
 * the list has the instance. */
static bool
instance_set_state (platform_t *platform, const char *id, const char *state)
{
  size_t i;
  json_t *instance;

  json_array_foreach (platform->instances, i, instance)
  {
    const char *other = json_string_value (json_object_get (instance, "id"));
    if (other == NULL || strcmp (other, id) != 0)
      continue;
    if (strcmp (state, "gone") == 0)
      json_array_remove (platform->instances, i);
    else
      json_object_set_new (instance, "state", json_string (state));
    return true;
  }
  return false;
}

static void
handle_control (platform_t *platform, dks_exchange_t *exchange)
{
  const char *id = dks_exchange_query (exchange, "instance");
  const char *state = dks_exchange_query (exchange, "state");
  size_t len;
  const char *body = dks_exchange_body (exchange, &len);

  if (len > 0)
    {
      json_t *instances = json_loadb (body, len, 0, NULL);
      if (!json_is_array (instances))
        {
          json_decref (instances);
          dks_exchange_reply_text (exchange, 400, "the body is not a JSON array\n");
          return;
        }
      json_decref (platform->instances);
      platform->instances = instances;
    }
  if (id != NULL && (state == NULL || !instance_set_state (platform, id, state)))
    {
      dks_exchange_reply_text (exchange, 404, "no such instance, or no state\n");
      return;
    }
  platform->slow_ms = dks_exchange_query_int (exchange, "slow_ms", platform->slow_ms);
  platform->lag_ms = dks_exchange_query_int (exchange, "lag_ms", platform->lag_ms);
  platform->lost_percent =
      dks_exchange_query_int (exchange, "lost_percent", platform->lost_percent);
  platform->random_state =
      (uint64_t)dks_exchange_query_int (exchange, "seed", (int64_t)platform->random_state);
  platform->down = dks_exchange_query_int (exchange, "down", platform->down) != 0;
  if (id != NULL || len > 0)
    list_publish (platform);
  while (platform->down && !APR_RING_EMPTY (&platform->calls, call_t, link))
    call_drop (APR_RING_FIRST (&platform->calls));
  dks_exchange_reply_text (exchange, 200, "{}");
}

static bool
path_has_prefix (const char *path, const char *prefix)
{
  return strncmp (path, prefix, strlen (prefix)) == 0;
}

static void
handle_exchange (void *context, dks_exchange_t *exchange)
{
  platform_t *platform = context;
  const char *path = dks_exchange_path (exchange);
  const char *method = dks_exchange_method (exchange);
  const char *key = path + strlen ("/kv/");
  call_kind_t kind = CALL_KINDS;
  call_t *call;

  if (strcmp (path, "/stats") == 0)
    {
      handle_stats (platform, exchange);
      return;
    }
  if (strcmp (path, "/control") == 0)
    {
      handle_control (platform, exchange);
      return;
    }
  if (path_has_prefix (path, "/kv/") && strcmp (method, "GET") == 0)
    kind = CALL_GET;
  else if (path_has_prefix (path, "/kv/") && strcmp (method, "PUT") == 0)
    kind = CALL_PUT;
  else if (strcmp (path, "/watch") == 0 && strcmp (method, "GET") == 0)
    kind = CALL_WATCH;
  else if (strcmp (path, "/lease") == 0 && strcmp (method, "POST") == 0)
    kind = CALL_LEASE;
  else if (strcmp (path, "/instances") == 0 && strcmp (method, "GET") == 0)
    kind = CALL_INSTANCES;
  if (kind == CALL_KINDS)
    {
      dks_exchange_reply_text (exchange, 404, "no such path or method\n");
      return;
    }
  platform->call_counts[kind]++;
  call = dks_alloc (sizeof (*call));
  call->platform = platform;
  call->exchange = exchange;
  dks_timer_init (&call->timer, handle_call_timer, call);
  APR_RING_INSERT_TAIL (&platform->calls, call, call_t, link);
  dks_exchange_set_on_cancel (exchange, handle_call_cancelled, call);
  if (platform->down)
    call_drop (call);
  else if (kind == CALL_GET)
    handle_get (call, key);
  else if (kind == CALL_PUT)
    handle_put (call, key);
  else if (kind == CALL_WATCH)
    handle_watch (call);
  else if (kind == CALL_LEASE)
    handle_lease (call);
  else
    handle_instances (call);
}

int
main (int argc, char **argv)
{
  struct arg_str *address = arg_str1 (NULL, "address", "IP:PORT", "listen here");
  struct arg_file *instances = arg_file0 (NULL, "instances", "FILE", "list of instances, JSON");
  struct arg_int *lag_ms = arg_int0 (NULL, "lag-ms", "N", "lag of the list of instances");
  struct arg_int *slow_ms = arg_int0 (NULL, "slow-ms", "N", "delay of each reply");
  struct arg_int *lost = arg_int0 (NULL, "lost-percent", "N", "writes whose reply is lost");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of the lost replies");
  struct arg_lit *down = arg_lit0 (NULL, "down", "close connections without a reply");
  struct arg_end *end = arg_end (8);
  void *table[] = { address, instances, lag_ms, slow_ms, lost, seed, down, end };
  platform_t platform = { 0 };
  dks_httpd_t *httpd;
  json_error_t json_error = { 0 };
  int error;

  lag_ms->ival[0] = 500;
  slow_ms->ival[0] = 0;
  lost->ival[0] = 0;
  seed->ival[0] = 1;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "platform-standin");
      arg_print_glossary (stderr, table, "  %-25s %s\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  platform.lag_ms = lag_ms->ival[0];
  platform.slow_ms = slow_ms->ival[0];
  platform.lost_percent = lost->ival[0];
  platform.random_state = (uint64_t)seed->ival[0];
  platform.down = down->count > 0;
  platform.instances = instances->count > 0
                           ? json_load_file (instances->filename[0], 0, &json_error)
                           : json_array ();
  if (!json_is_array (platform.instances))
    {
      dks_log (DKS_LOG_ERROR, "event=bad-instances line=%d detail=\"%s\"", json_error.line,
               json_error.text);
      return 2;
    }
  platform.loop = dks_loop_create ();
  platform.timers = dks_loop_timers (platform.loop);
  APR_RING_INIT (&platform.calls, call_t, link);
  APR_RING_INIT (&platform.leases, lease_t, link);
  APR_RING_INIT (&platform.lists, instance_list_t, link);
  list_publish (&platform);
  error = dks_httpd_create (platform.loop, address->sval[0], handle_exchange, &platform, &httpd);
  if (error != DKS_OK)
    {
      dks_log (DKS_LOG_ERROR, "event=listen-failed address=%s error=\"%s\"", address->sval[0],
               dks_strerror (error));
      return 1;
    }
  dks_loop_run (platform.loop);
  return 0;
}
