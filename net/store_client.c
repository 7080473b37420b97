#include "net/store_client.h"

#include "common/alloc.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"

#include <apr_ring.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  GET_CAS_CONNECTIONS = 4, /* besides one connection per watch and one for the list */
  BACKOFF_MIN_US = 100000,
  /* Bounds the delay of the first read after an outage of the store: well below the 9 s within
   * which a change must be in force. */
  BACKOFF_MAX_US = 2000000,
  KEY_SIZE = DKS_NAME_SIZE + 8 /* bytes, as for the key of a DKS_MSG_RECORD in dks_msg_t */
};

/* A get or CAS call without a reply. */
typedef struct store_call_t store_call_t;

struct store_call_t
{
  APR_RING_ENTRY (store_call_t) link;
  dks_store_client_t *client;
  uint64_t op;
  int64_t version; /* version that a CAS expects the key to have */
  bool is_cas;
};

/* A read that the client repeats as long as it exists: a watch, which is a long poll, or the read
 * of the list of instances. */
typedef struct
{
  dks_store_client_t *client;
  char *prefix;           /* key prefix of a watch, or NULL for the list of instances */
  int64_t since_revision; /* up to which a watch has all changes; 0 reads everything */
  int64_t sent_us;
  int64_t backoff_us;
  dks_timer_t timer;
  bool failing;
  size_t invalid_rows; /* number of rows left out of the last list of instances */
} poll_t;

struct dks_store_client_t
{
  dks_loop_t *loop;
  dks_http_client_t *http;
  dks_store_callbacks_t callbacks;
  char *base_url;
  int64_t timeout_ms;
  int64_t watch_wait_ms;
  int64_t list_interval_ms;
  uint64_t jitter_state; /* state of the random numbers for the jitter of the backoff */
  APR_RING_HEAD (store_call_ring_t, store_call_t) calls;
  poll_t list;
  poll_t *watches;
  size_t watch_count;
};

/* Writes `text` to `to` with all characters percent-encoded but slashes and the unreserved
 * characters of RFC 3986. */
static void
percent_encode (char *to, const char *text)
{
  static const char unescaped[] =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~/";
  static const char hex_digits[] = "0123456789ABCDEF";

  for (; *text != '\0'; text++)
    {
      if (strchr (unescaped, *text) != NULL)
        {
          *to++ = *text;
          continue;
        }
      *to++ = '%';
      *to++ = hex_digits[(unsigned char)*text >> 4];
      *to++ = hex_digits[(unsigned char)*text & 15];
    }
  *to = '\0';
}

/* Returns the base URL, followed by `path`, the percent-encoded `text` and `query`; release with
 * free(). */
static char *
url_create (const dks_store_client_t *client, const char *path, const char *text, const char *query)
{
  char *escaped = dks_alloc (3 * strlen (text) + 1);
  size_t size = strlen (client->base_url) + strlen (path) + 3 * strlen (text) + strlen (query) + 1;
  char *url = dks_alloc (size);

  percent_encode (escaped, text);
  snprintf (url, size, "%s%s%s%s", client->base_url, path, escaped, query);
  free (escaped);
  return url;
}

static json_t *
load_json (const dks_http_result_t *result)
{
  return json_loadb ((const char *)result->body->data, result->body->len, JSON_REJECT_DUPLICATES,
                     NULL);
}

/* Returns the member `name` as a positive integer, or 0. */
static int64_t
get_version (json_t *object, const char *name)
{
  int64_t version = json_integer_value (json_object_get (object, name));

  return version > 0 ? version : 0;
}

/* Returns the member "value", or NULL if it is missing or too large for a message between
 * instances. */
static dks_blob_t *
get_value (json_t *object)
{
  const json_t *value = json_object_get (object, "value");

  if (!json_is_string (value) || json_string_length (value) > DKS_PAYLOAD_MAX)
    return NULL;
  return dks_blob_create (json_string_value (value), json_string_length (value));
}

/* Get and CAS */

static void
finish_get (const store_call_t *call, const dks_http_result_t *result)
{
  const dks_store_callbacks_t *callbacks = &call->client->callbacks;
  dks_store_status_t status = DKS_STORE_UNKNOWN;
  int64_t version = 0;
  dks_blob_t *value = NULL;
  json_t *json = NULL;

  if (result->error == DKS_OK && result->status == 404)
    status = DKS_STORE_NOT_FOUND;
  else if (result->error == DKS_OK && result->status == 200)
    {
      json = load_json (result);
      version = get_version (json, "version");
      value = get_value (json);
      if (version > 0 && value != NULL)
        status = DKS_STORE_OK;
      else
        dks_log (DKS_LOG_WARNING, "event=store-bad-reply call=get");
    }
  if (status != DKS_STORE_OK)
    version = 0;
  callbacks->reply (callbacks->context, call->op, status, version,
                    status == DKS_STORE_OK ? value : NULL);
  dks_blob_unref (value);
  json_decref (json);
}

static void
finish_cas (const store_call_t *call, const dks_http_result_t *result)
{
  const dks_store_callbacks_t *callbacks = &call->client->callbacks;
  dks_store_status_t status = DKS_STORE_UNKNOWN;
  int64_t version = 0;
  json_t *json = NULL;
  const json_t *member;

  if (result->error == DKS_OK && (result->status == 200 || result->status == 409))
    {
      json = load_json (result);
      member = json_object_get (json, "version");
      version = json_integer_value (member);
      if (result->status == 200 && version > call->version)
        status = DKS_STORE_OK;
      else if (result->status == 409 && json_is_integer (member) && version >= 0
               && version != call->version)
        status = DKS_STORE_CONFLICT;
      else
        dks_log (DKS_LOG_WARNING, "event=store-bad-reply call=cas");
    }
  callbacks->reply (callbacks->context, call->op, status, status != DKS_STORE_UNKNOWN ? version : 0,
                    NULL);
  json_decref (json);
}

static void
handle_call_reply (void *context, uint64_t id, const dks_http_result_t *result)
{
  store_call_t *call = context;

  APR_RING_REMOVE (call, link);
  if (call->is_cas)
    finish_cas (call, result);
  else
    finish_get (call, result);
  free (call);
}

static store_call_t *
call_create (dks_store_client_t *client, uint64_t op)
{
  store_call_t *call = dks_alloc (sizeof (*call));

  call->client = client;
  call->op = op;
  APR_RING_INSERT_TAIL (&client->calls, call, store_call_t, link);
  return call;
}

void
dks_store_client_get (dks_store_client_t *client, uint64_t op, const char *key)
{
  char *url = url_create (client, "/kv/", key, "");
  dks_http_request_t request = {
    .method = "GET",
    .url = url,
    .timeout_ms = client->timeout_ms,
    .func = handle_call_reply,
    .context = call_create (client, op),
  };

  dks_http_client_send (client->http, &request);
  free (url);
}

void
dks_store_client_cas (dks_store_client_t *client, uint64_t op, const char *key, int64_t version,
                      dks_blob_t *value)
{
  static const char *const headers[] = { "Content-Type: application/octet-stream", NULL };
  store_call_t *call = call_create (client, op);
  char query[40];
  char *url;

  snprintf (query, sizeof (query), "?version=%" PRId64, version);
  url = url_create (client, "/kv/", key, query);
  call->is_cas = true;
  call->version = version;
  dks_http_client_send (client->http, &(dks_http_request_t){
                                          .method = "PUT",
                                          .url = url,
                                          .headers = headers,
                                          .body = value,
                                          .timeout_ms = client->timeout_ms,
                                          .func = handle_call_reply,
                                          .context = call,
                                      });
  free (url);
}

/* Watches and the list of instances */

static void
poll_schedule (poll_t *poll, int64_t delay_us)
{
  dks_timer_set (dks_loop_timers (poll->client->loop), &poll->timer,
                 dks_loop_now ().mono_us + delay_us);
}

static void
poll_succeeded (poll_t *poll)
{
  if (poll->failing)
    dks_log (DKS_LOG_NOTICE, "event=store-recovered read=%s",
             poll->prefix != NULL ? poll->prefix : "instances");
  poll->failing = false;
  poll->backoff_us = BACKOFF_MIN_US;
}

/* Schedules a read of everything after the backoff, because changes may have been missed. */
static void
poll_failed (poll_t *poll, const char *reason)
{
  uint64_t jitter = dks_random_next (&poll->client->jitter_state);

  if (!poll->failing)
    dks_log (DKS_LOG_WARNING, "event=store-failed read=%s reason=\"%s\"",
             poll->prefix != NULL ? poll->prefix : "instances", reason);
  poll->failing = true;
  poll->since_revision = 0;
  /* Jitter: instances whose reads failed at the same time must not all retry at the same time. */
  poll_schedule (poll, poll->backoff_us / 2 + (int64_t)(jitter % (uint64_t)poll->backoff_us) / 2);
  poll->backoff_us = 2 * poll->backoff_us < BACKOFF_MAX_US ? 2 * poll->backoff_us : BACKOFF_MAX_US;
}

static bool
item_is_valid (json_t *item)
{
  return json_is_string (json_object_get (item, "key")) && get_version (item, "version") > 0
         && json_is_string (json_object_get (item, "value"));
}

static void
deliver_item (const poll_t *poll, json_t *item)
{
  const dks_store_callbacks_t *callbacks = &poll->client->callbacks;
  const char *key = json_string_value (json_object_get (item, "key"));
  dks_blob_t *value = get_value (item);

  if (value != NULL && strlen (key) < KEY_SIZE)
    callbacks->record (callbacks->context, key, get_version (item, "version"), value);
  else
    dks_log (DKS_LOG_WARNING, "event=store-record-ignored key=\"%.64s\" reason=\"too large\"", key);
  dks_blob_unref (value);
}

/* Delivers the records of a reply to a watch. Returns NULL, or the reason why the reply cannot be
 * used; no record is delivered then. */
static const char *
watch_process_reply (poll_t *poll, const dks_http_result_t *result)
{
  int64_t waited_us = dks_loop_now ().mono_us - poll->sent_us;
  json_t *json = load_json (result);
  json_t *items = json_object_get (json, "items");
  int64_t revision = json_integer_value (json_object_get (json, "revision"));
  const char *reason = NULL;
  json_t *item;
  size_t i;

  if (!json_is_array (items) || !json_is_integer (json_object_get (json, "revision")))
    reason = "bad reply";
  else if (revision < poll->since_revision)
    reason = "revision went back";
  else if (revision == poll->since_revision && json_array_size (items) > 0)
    reason = "revision stands still";
  json_array_foreach (items, i, item)
  {
    if (!item_is_valid (item))
      reason = "bad record";
  }
  /* An empty reply before half of the wait is an error, so that the backoff applies: a store that
   * does not hold the long poll would otherwise be read in a busy loop. */
  if (reason == NULL && json_array_size (items) == 0
      && waited_us < poll->client->watch_wait_ms * 1000 / 2)
    reason = "empty reply too early";
  if (reason == NULL)
    {
      poll->since_revision = revision;
      json_array_foreach (items, i, item)
      {
        deliver_item (poll, item);
      }
    }
  json_decref (json);
  return reason;
}

static void watch_start (poll_t *poll);

static void
handle_watch_reply (void *context, uint64_t id, const dks_http_result_t *result)
{
  poll_t *poll = context;
  const char *reason;

  if (result->error != DKS_OK)
    reason = dks_strerror (result->error);
  else if (result->status != 200)
    reason = "HTTP status";
  else
    reason = watch_process_reply (poll, result);
  if (reason != NULL)
    {
      poll_failed (poll, reason);
      return;
    }
  poll_succeeded (poll);
  watch_start (poll);
}

static void
watch_start (poll_t *poll)
{
  dks_store_client_t *client = poll->client;
  char query[80];
  char *url;

  snprintf (query, sizeof (query), "&since=%" PRId64 "&wait_ms=%" PRId64, poll->since_revision,
            client->watch_wait_ms);
  url = url_create (client, "/watch?prefix=", poll->prefix, query);
  poll->sent_us = dks_loop_now ().mono_us;
  dks_http_client_send (client->http, &(dks_http_request_t){
                                          .method = "GET",
                                          .url = url,
                                          .timeout_ms = client->watch_wait_ms + client->timeout_ms,
                                          .func = handle_watch_reply,
                                          .context = poll,
                                      });
  free (url);
}

/* Copies the member `name`. Returns false unless it is printable ASCII text without spaces, of at
 * least one character, that fits `size`. */
static bool
read_name (json_t *row, const char *name, char *to, size_t size)
{
  const char *text = json_string_value (json_object_get (row, name));

  if (text == NULL || text[0] == '\0')
    return false;
  for (const char *c = text; *c != '\0'; c++)
    {
      if (*c <= ' ' || *c > '~')
        return false;
    }
  return dks_strcpy (to, size, text) == DKS_OK;
}

/* Reads the member `name` as a number; a missing member is 0. */
static bool
read_number (json_t *row, const char *name, uint32_t *to)
{
  const json_t *member = json_object_get (row, name);
  json_int_t value = json_integer_value (member);

  if ((member != NULL && !json_is_integer (member)) || value < 0 || value > UINT32_MAX)
    return false;
  *to = (uint32_t)value;
  return true;
}

static bool
read_choice (json_t *row, const char *name, const char *false_text, const char *true_text, bool *to)
{
  const char *text = json_string_value (json_object_get (row, name));

  if (text == NULL || (strcmp (text, false_text) != 0 && strcmp (text, true_text) != 0))
    return false;
  *to = strcmp (text, true_text) == 0;
  return true;
}

static bool
read_instance (json_t *row, dks_listed_instance_t *to)
{
  return read_name (row, "id", to->id, sizeof (to->id))
         && read_name (row, "address", to->address, sizeof (to->address))
         && read_name (row, "data_centre", to->data_centre, sizeof (to->data_centre))
         && read_choice (row, "kind", "entry", "target", &to->is_target)
         && read_choice (row, "state", "live", "leaving", &to->leaving)
         && read_number (row, "slots", &to->slots) && read_number (row, "cpus", &to->cpus)
         && read_number (row, "memory_mb", &to->memory_mb)
         && read_number (row, "accelerators", &to->accelerators);
}

/* Delivers the list of instances. An invalid row is left out, so that the valid rows can still be
 * used. Returns false if the reply is not a list. */
static bool
list_process_reply (poll_t *poll, const dks_http_result_t *result)
{
  const dks_store_callbacks_t *callbacks = &poll->client->callbacks;
  json_t *json = load_json (result);
  dks_listed_instance_t *items;
  size_t count = 0;
  size_t invalid_rows;
  json_t *row;
  size_t i;

  if (!json_is_array (json))
    {
      json_decref (json);
      return false;
    }
  items = dks_alloc (json_array_size (json) * sizeof (items[0]));
  json_array_foreach (json, i, row)
  {
    if (read_instance (row, &items[count]))
      count++;
  }
  invalid_rows = json_array_size (json) - count;
  if (invalid_rows != poll->invalid_rows)
    dks_log (DKS_LOG_WARNING, "event=store-bad-instances ignored=%zu", invalid_rows);
  poll->invalid_rows = invalid_rows;
  json_decref (json);
  callbacks->instances (callbacks->context, items, count);
  free (items);
  return true;
}

static void
handle_list_reply (void *context, uint64_t id, const dks_http_result_t *result)
{
  poll_t *poll = context;

  if (result->error != DKS_OK)
    poll_failed (poll, dks_strerror (result->error));
  else if (result->status != 200)
    poll_failed (poll, "HTTP status");
  else if (!list_process_reply (poll, result))
    poll_failed (poll, "bad reply");
  else
    {
      poll_succeeded (poll);
      poll_schedule (poll, poll->client->list_interval_ms * 1000);
    }
}

static void
list_start (poll_t *poll)
{
  dks_store_client_t *client = poll->client;
  char *url = url_create (client, "/instances", "", "");

  dks_http_client_send (client->http, &(dks_http_request_t){
                                          .method = "GET",
                                          .url = url,
                                          .timeout_ms = client->timeout_ms,
                                          .func = handle_list_reply,
                                          .context = poll,
                                      });
  free (url);
}

static void
handle_poll_timer (void *context, int64_t now_us)
{
  poll_t *poll = context;

  if (poll->prefix != NULL)
    watch_start (poll);
  else
    list_start (poll);
}

static void
poll_init (dks_store_client_t *client, poll_t *poll, const char *prefix)
{
  poll->client = client;
  poll->prefix = prefix != NULL ? dks_strdup (prefix) : NULL;
  poll->backoff_us = BACKOFF_MIN_US;
  dks_timer_init (&poll->timer, handle_poll_timer, poll);
  poll_schedule (poll, 0);
}

static void
poll_release (poll_t *poll)
{
  dks_timer_cancel (dks_loop_timers (poll->client->loop), &poll->timer);
  free (poll->prefix);
}

dks_store_client_t *
dks_store_client_create (dks_loop_t *loop, const dks_store_config_t *config,
                         const dks_store_callbacks_t *callbacks)
{
  dks_store_client_t *client = dks_alloc (sizeof (*client));
  size_t len;

  client->loop = loop;
  client->callbacks = *callbacks;
  client->base_url = dks_strdup (config->base_url);
  len = strlen (client->base_url);
  if (len > 0 && client->base_url[len - 1] == '/')
    client->base_url[len - 1] = '\0';
  client->timeout_ms = config->timeout_ms;
  client->watch_wait_ms = config->watch_wait_ms;
  client->list_interval_ms = config->list_interval_ms;
  client->jitter_state = (uint64_t)dks_loop_now ().mono_us ^ (uint64_t)getpid () << 32;
  APR_RING_INIT (&client->calls, store_call_t, link);
  while (config->prefixes != NULL && config->prefixes[client->watch_count] != NULL)
    client->watch_count++;
  client->http = dks_http_client_create (loop, (int)client->watch_count + 1 + GET_CAS_CONNECTIONS);
  client->watches = dks_alloc (client->watch_count * sizeof (client->watches[0]));
  for (size_t i = 0; config->prefixes != NULL && i < client->watch_count; i++)
    poll_init (client, &client->watches[i], config->prefixes[i]);
  poll_init (client, &client->list, NULL);
  return client;
}

void
dks_store_client_destroy (dks_store_client_t *client)
{
  store_call_t *call;
  store_call_t *next;

  if (client == NULL)
    return;
  dks_http_client_destroy (client->http);
  APR_RING_FOREACH_SAFE (call, next, &client->calls, store_call_t, link)
    {
      free (call);
    }
  poll_release (&client->list);
  for (size_t i = 0; i < client->watch_count; i++)
    poll_release (&client->watches[i]);
  free (client->watches);
  free (client->base_url);
  free (client);
}
