#include "net/http_server.h"

#include "common/alloc.h"
#include "common/error.h"
#include "common/hash.h"
#include "core/key.h"
#include "net/address.h"
#include "net/http_exchange.h"
#include "net/socket.h"

#include <apr_pools.h>
#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

enum
{
  OVER_LIMIT_TIMEOUT_S = 2, /* idle time until such a connection is closed */
  /* A body longer than its route allows is read and dropped up to this length, because closing a
   * connection with unread data resets it, and the caller may lose the reply. */
  BODY_READ_MAX_BYTES = 4 * DKS_SUBMISSION_MAX,
  BODY_INITIAL_CAPACITY = 4096, /* bytes */
  BODY_PAGE_BYTES = 4096,
  SMALL_ANSWER_BYTES = 1024, /* answers up to this size are always given */
  /* Up to this capacity a body doubles its buffer, above it the buffer grows by a quarter. */
  BODY_DOUBLING_MAX_BYTES = 64 << 10,
  SEND_BYTES = 16 << 10, /* in the kernel for output, which is in the account as an answer */
  /* Connections that wait to be accepted may take this part of the limit. */
  LISTEN_QUEUE_SHARE = 16,
  LISTEN_QUEUE_MIN = 64,
  LISTEN_QUEUE_MAX = 1024,
  ANSWERS_CHECK_INTERVAL_US = 500000, /* between two looks for progress of answers */
  /* Between two checks of waiting callers whose connections have unread input: the input hides the
   * end of the stream from the event loop. */
  CALLERS_CHECK_INTERVAL_US = 100000
};

/* ---- Waiting callers ---- */

static void
server_schedule_run (dks_http_server_t *server)
{
  server->run_pending = true;
  if (!server->in_mhd_run)
    dks_timer_set (dks_loop_timers (server->loop), &server->run_timer, dks_loop_now ().mono_us);
}

static int
exchange_fd (const dks_http_exchange_t *exchange)
{
  return MHD_get_connection_info (exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

static void
exchange_resume (dks_http_exchange_t *exchange)
{
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  dks_loop_watch (exchange->server->loop, exchange_fd (exchange), 0, NULL, NULL);
  MHD_resume_connection (exchange->connection);
  server_schedule_run (exchange->server);
}

uint64_t
dks_http_exchange_register_caller (dks_http_exchange_t *exchange)
{
  dks_http_server_t *server = exchange->server;

  exchange->caller_id = ++server->last_caller_id;
  exchange->waiting = true;
  apr_hash_set (server->callers, &exchange->caller_id, sizeof (exchange->caller_id), exchange);
  return exchange->caller_id;
}

static void
exchange_unregister_caller (dks_http_exchange_t *exchange)
{
  if (!exchange->waiting)
    return;
  exchange->waiting = false;
  apr_hash_set (exchange->server->callers, &exchange->caller_id, sizeof (exchange->caller_id),
                NULL);
}

/* Tells the reducer that the caller closed its connection before the reply. */
static void
exchange_report_caller_gone (dks_http_exchange_t *exchange)
{
  const dks_http_server_callbacks_t *callbacks = &exchange->server->callbacks;
  dks_event_t event = { .type = DKS_EVENT_CALLER_GONE };

  if (!exchange->waiting)
    return;
  exchange_unregister_caller (exchange);
  exchange->caller_gone = true;
  event.u.caller_gone.caller = exchange->caller_id;
  callbacks->event (callbacks->context, &event);
}

/* Whether the caller has closed its connection, also when there is unread input before the end of
 * the stream. */
static bool
exchange_is_caller_gone (const dks_http_exchange_t *exchange)
{
  struct pollfd connection = { .fd = exchange_fd (exchange), .events = POLLRDHUP };

  return poll (&connection, 1, 0) > 0;
}

static void
exchange_drop_caller (dks_http_exchange_t *exchange)
{
  exchange_report_caller_gone (exchange);
  exchange_resume (exchange);
}

static void
server_schedule_callers_check (dks_http_server_t *server)
{
  if (!dks_timer_is_armed (&server->callers_timer))
    dks_timer_set (dks_loop_timers (server->loop), &server->callers_timer,
                   dks_loop_now ().mono_us + CALLERS_CHECK_INTERVAL_US);
}

/* Reports the waiting callers that have left; with `unread_only`, looks only at those whose
 * connections are not watched because of unread input. Returns how many of these are left. */
static uint32_t
server_check_callers (dks_http_server_t *server, bool unread_only)
{
  uint64_t *gone = dks_alloc ((apr_hash_count (server->callers) + 1) * sizeof (gone[0]));
  uint32_t gone_count = 0;
  uint32_t unread_count = 0;

  for (apr_hash_index_t *i = apr_hash_first (server->pool, server->callers); i != NULL;
       i = apr_hash_next (i))
    {
      const dks_http_exchange_t *exchange = apr_hash_this_val (i);

      if (unread_only && !exchange->has_unread_input)
        continue;
      if (exchange_is_caller_gone (exchange))
        gone[gone_count++] = exchange->caller_id;
      else
        unread_count += exchange->has_unread_input;
    }
  /* Each report may end further requests. */
  for (uint32_t i = 0; i < gone_count; i++)
    {
      dks_http_exchange_t *exchange = apr_hash_get (server->callers, &gone[i], sizeof (gone[i]));

      if (exchange != NULL)
        exchange_drop_caller (exchange);
    }
  free (gone);
  return unread_count;
}

void
dks_http_server_check_callers (dks_http_server_t *server)
{
  server_check_callers (server, false);
}

static void
handle_callers_timer (void *context, int64_t now_us)
{
  dks_http_server_t *server = context;

  if (server_check_callers (server, true) > 0)
    server_schedule_callers_check (server);
}

/* Notices that a waiting caller disconnects; libmicrohttpd does not watch suspended connections. */
static void
handle_caller_readable (void *context, int fd, int events)
{
  dks_http_exchange_t *exchange = context;

  if (exchange_is_caller_gone (exchange) || events & DKS_LOOP_ERROR)
    {
      exchange_drop_caller (exchange);
      return;
    }
  /* The caller has already sent its next request, which is read after the reply. The descriptor
   * is no longer watched, since the unread data would wake the loop continuously. */
  dks_loop_watch (exchange->server->loop, fd, 0, NULL, NULL);
  exchange->has_unread_input = true;
  server_schedule_callers_check (exchange->server);
}

/* Waits for the reply of the reducer on a connection that is suspended in libmicrohttpd. */
static void
exchange_await_reply (dks_http_exchange_t *exchange)
{
  exchange->suspended = true;
  dks_loop_watch (exchange->server->loop, exchange_fd (exchange), DKS_LOOP_READ,
                  handle_caller_readable, exchange);
}

static uint64_t
effect_caller_id (const dks_effect_t *effect)
{
  switch (effect->type)
    {
    case DKS_EFFECT_EDIT_REPLY:
      return effect->u.edit_reply.caller;
    case DKS_EFFECT_BATCH_REPLY:
      return effect->u.batch_reply.caller;
    default:
      return effect->u.reply.caller;
    }
}

static void
default_prepare_reply (dks_http_exchange_t *exchange, const dks_effect_t *effect)
{
  if (effect->type == DKS_EFFECT_EDIT_REPLY)
    dks_http_exchange_reply_edit (exchange, effect);
  else
    dks_http_exchange_reply_answer (exchange, effect->u.reply.answer);
}

static const dks_http_interface_t default_interface = { dks_http_default_route_find,
                                                        default_prepare_reply };

void
dks_http_server_reply (dks_http_server_t *server, const dks_effect_t *effect)
{
  uint64_t caller_id = effect_caller_id (effect);
  dks_http_exchange_t *exchange = apr_hash_get (server->callers, &caller_id, sizeof (caller_id));

  if (exchange == NULL)
    return;
  exchange_unregister_caller (exchange);
  server->config.interface->prepare_reply (exchange, effect);
  exchange_resume (exchange);
}

/* Connections that libmicrohttpd accepts. */
static uint32_t
server_connection_limit (const dks_http_server_t *server)
{
  return server->config.max_connections + DKS_HTTP_OVER_LIMIT_MAX;
}

/* ---- Requests ---- */

void
dks_http_exchange_drop_body (dks_http_exchange_t *exchange)
{
  free (exchange->body);
  exchange->body = NULL;
  exchange->body_len = 0;
  exchange->body_capacity = 0;
  dks_http_connection_account (exchange->client);
}

/* Returns the capacity for a body of `needed` bytes or more. Nothing is allocated for bytes that
 * have only been announced. */
static size_t
exchange_body_capacity (const dks_http_exchange_t *exchange, size_t needed)
{
  size_t capacity = exchange->body_capacity;
  size_t most = exchange->body_stated > 0 ? exchange->body_stated : exchange->route->body_max_bytes;

  if (needed <= capacity)
    return capacity;
  if (capacity < BODY_DOUBLING_MAX_BYTES)
    capacity = capacity > 0 ? 2 * capacity : (size_t)BODY_INITIAL_CAPACITY;
  else
    capacity += capacity / 4;
  if (capacity < needed)
    capacity = needed;
  capacity = (capacity + BODY_PAGE_BYTES - 1) / BODY_PAGE_BYTES * BODY_PAGE_BYTES;
  return capacity > most && most >= needed ? most : capacity;
}

static void
exchange_append_body (dks_http_exchange_t *exchange, const char *data, size_t len)
{
  size_t capacity;

  if (exchange->response != NULL)
    return;
  if (exchange->body_received > exchange->route->body_max_bytes)
    {
      char detail[DKS_TEXT_SIZE];

      snprintf (detail, sizeof (detail), "the body is larger than %zu bytes",
                exchange->route->body_max_bytes);
      dks_http_exchange_drop_body (exchange);
      dks_http_exchange_reject (exchange, 413, "too-large", detail);
      return;
    }
  capacity = exchange_body_capacity (exchange, exchange->body_len + len);
  if (capacity != exchange->body_capacity)
    {
      if (!dks_memory_claim_grow (&exchange->client->claim,
                                  exchange->client->claim.base_bytes + capacity,
                                  dks_loop_now ().mono_us))
        {
          dks_http_exchange_drop_body (exchange);
          dks_http_exchange_fail_overloaded (exchange, "too many bytes of requests are held");
          return;
        }
      exchange->body = dks_realloc (exchange->body, capacity);
      exchange->body_capacity = capacity;
    }
  memcpy (exchange->body + exchange->body_len, data, len);
  exchange->body_len += len;
}

/* Takes the idempotency key from the header of the request, or generates one. */
static void
exchange_set_key (dks_http_exchange_t *exchange)
{
  dks_http_server_t *server = exchange->server;
  const char *given = dks_http_exchange_request_header (exchange, "Idempotency-Key");
  dks_key_t key;

  if (given == NULL)
    {
      const uint64_t random[2] = { dks_random_next (&server->random_state),
                                   dks_random_next (&server->random_state) };

      exchange->issued_ms = dks_loop_now ().wall_ms;
      dks_key_generate (server->data_centre, exchange->issued_ms, random, exchange->key);
      return;
    }
  exchange->key_given = true;
  if (dks_key_parse (given, &key) != DKS_OK)
    {
      dks_http_exchange_reject (exchange, 400, "bad-request",
                                "the header Idempotency-Key is not valid: expected a UUIDv7 or "
                                "<13 digit Unix ms>-<name>, with an optional <data centre>~");
      return;
    }
  dks_strcpy (exchange->key, sizeof (exchange->key), given);
  exchange->issued_ms = key.issued_ms;
}

static void
exchange_set_route (dks_http_exchange_t *exchange, const char *method, const char *url)
{
  const char *subpath = "";
  char allow[64];

  exchange->route = exchange->server->config.interface->find_route (method, url, &subpath, allow);
  if (exchange->route != NULL)
    {
      exchange->subpath = dks_strdup (subpath);
      if (exchange->route->submits)
        exchange_set_key (exchange);
    }
  else if (allow[0] != '\0')
    {
      dks_http_exchange_reject (exchange, 405, "method-not-allowed", allow);
      dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_ALLOW, allow);
    }
  else
    dks_http_exchange_reject (exchange, 404, "not-found", "there is nothing at this path");
}

static dks_http_connection_t *
connection_client (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

static dks_http_exchange_t *
exchange_create (dks_http_server_t *server, struct MHD_Connection *connection, const char *method,
                 const char *url)
{
  dks_http_exchange_t *exchange = dks_alloc (sizeof (*exchange));

  exchange->server = server;
  exchange->connection = connection;
  exchange->client = connection_client (connection);
  exchange->client->exchange = exchange;
  exchange->over_limit = exchange->client->over_limit;
  dks_http_connection_set_state (exchange->client, DKS_MEMORY_INCOMPLETE);
  server->open_requests++;
  exchange_set_route (exchange, method, url);
  if (exchange->over_limit)
    dks_http_exchange_fail (exchange, 503, "too-many-connections",
                            "this instance holds as many connections as it may",
                            DKS_HTTP_OVERLOAD_RETRY_MS);
  return exchange;
}

static void
exchange_drop_response (dks_http_exchange_t *exchange)
{
  MHD_destroy_response (exchange->response);
  exchange->response = NULL;
  exchange->answer_bytes = 0;
}

static void
exchange_destroy (dks_http_exchange_t *exchange)
{
  dks_http_connection_t *client = exchange->client;

  exchange->server->open_requests--;
  dks_http_exchange_drop_body (exchange);
  client->exchange = NULL;
  dks_http_connection_set_state (client, DKS_MEMORY_INCOMPLETE);
  dks_http_connection_account (client);
  if (exchange->response != NULL)
    MHD_destroy_response (exchange->response);
  free (exchange->subpath);
  free (exchange);
}

/* Whether connections may soon have to give way. */
static bool
server_is_under_pressure (const dks_http_server_t *server)
{
  return server->connection_count > server->config.max_connections / 2
         || dks_memory_account_used (server->memory)
                > dks_memory_account_limit (server->memory) / 2;
}

static enum MHD_Result
exchange_queue_response (dks_http_exchange_t *exchange)
{
  dks_http_server_t *server = exchange->server;

  dks_http_connection_set_state (exchange->client, DKS_MEMORY_UNTAKEN);
  if (server_is_under_pressure (server) && !dks_timer_is_armed (&server->answers_timer))
    dks_timer_set (dks_loop_timers (server->loop), &server->answers_timer,
                   dks_loop_now ().mono_us + ANSWERS_CHECK_INTERVAL_US);
  return MHD_queue_response (exchange->connection, exchange->status, exchange->response);
}

/* Whether the request is answered with an error without reading its body. Decided by its headers,
 * before the body arrives. */
static bool
exchange_refuses_body (dks_http_exchange_t *exchange)
{
  const char *length = dks_http_exchange_request_header (exchange, MHD_HTTP_HEADER_CONTENT_LENGTH);
  const char *expect = dks_http_exchange_request_header (exchange, MHD_HTTP_HEADER_EXPECT);
  uint64_t size = length != NULL ? strtoull (length, NULL, 10) : 0;

  exchange->body_stated = (size_t)size;
  if (exchange->response == NULL && size > exchange->route->body_max_bytes
      && exchange->route->body_max_bytes > 0)
    {
      char detail[DKS_TEXT_SIZE];

      snprintf (detail, sizeof (detail), "the body has %" PRIu64 " bytes, allowed are %zu", size,
                exchange->route->body_max_bytes);
      dks_http_exchange_reject (exchange, 413, "too-large", detail);
    }
  if (exchange->response == NULL)
    return false;
  /* A caller that waits for "100 Continue" sends no body after an error. */
  return size > BODY_READ_MAX_BYTES || (expect != NULL && strcasecmp (expect, "100-continue") == 0);
}

/* ---- Deferred requests ---- */

static void
exchange_resume_deferred (dks_http_exchange_t *exchange)
{
  MHD_resume_connection (exchange->connection);
  server_schedule_run (exchange->server);
}

/* Takes the memory for decoding the body. Refuses the request when there is not enough. */
static void
exchange_reserve_decoding (dks_http_exchange_t *exchange)
{
  size_t bytes = exchange->decode_needed_bytes;

  if (dks_memory_claim_finish (&exchange->client->claim,
                               dks_http_connection_bytes (exchange->client) + bytes))
    exchange->decode_bytes = bytes;
  else
    dks_http_exchange_fail_overloaded (exchange, "too many bytes of requests are held");
}

/* Answers that come from this instance's own state must leave room for small requests when clients
 * do not take them. */
static bool
exchange_has_room_for_answer (const dks_http_exchange_t *exchange)
{
  const dks_memory_account_t *memory = exchange->server->memory;

  return exchange->caller_id != 0 || strcmp (exchange->route->method, MHD_HTTP_METHOD_GET) != 0
         || exchange->answer_bytes <= SMALL_ANSWER_BYTES
         || dks_memory_account_used (memory) <= dks_memory_account_limit (memory) / 4 * 3;
}

/* Lets the route handle the request. Afterwards it has a reply, or its caller waits or is gone. */
static void
exchange_handle (dks_http_exchange_t *exchange)
{
  exchange->handled = true;
  /* The request may have waited for longer than its caller did, in the socket while this process
   * stood still, and the caller may have sent it again elsewhere. */
  if (exchange->route->needs_caller && exchange_is_caller_gone (exchange))
    {
      dks_log (DKS_LOG_INFO, "event=request-abandoned method=%s", exchange->route->method);
      exchange->caller_gone = true;
      return;
    }
  dks_http_server_spend_work (exchange->server, exchange->work);
  dks_http_connection_set_state (exchange->client, DKS_MEMORY_HELD);
  if (exchange->body_len > 0)
    exchange_reserve_decoding (exchange);
  if (exchange->response == NULL)
    exchange->route->handle (exchange);
  if (exchange->response != NULL && !exchange_has_room_for_answer (exchange))
    {
      exchange_drop_response (exchange);
      dks_http_exchange_fail_overloaded (exchange, "too many bytes of answers are held");
    }
  exchange->decode_bytes = 0;
  dks_http_exchange_drop_body (exchange);
}

static bool
exchange_awaits_reply (const dks_http_exchange_t *exchange)
{
  return exchange->response == NULL && !exchange->caller_gone;
}

/* Handles a request that has arrived completely, now or in a later turn. */
static enum MHD_Result
exchange_process (dks_http_exchange_t *exchange)
{
  if (!exchange->complete && exchange->response == NULL)
    dks_http_exchange_measure (exchange);
  exchange->complete = true;
  if (exchange->response == NULL && !exchange->handled
      && !dks_http_server_admits_work (exchange->server))
    {
      if (dks_http_exchange_may_wait (exchange))
        {
          dks_http_exchange_defer (exchange);
          return MHD_YES;
        }
      dks_http_exchange_drop_body (exchange);
      dks_http_exchange_fail_overloaded (exchange, "too many requests wait to be handled");
    }
  if (exchange->response == NULL && !exchange->handled)
    {
      exchange_handle (exchange);
      if (exchange_awaits_reply (exchange))
        {
          MHD_suspend_connection (exchange->connection);
          exchange_await_reply (exchange);
          return MHD_YES;
        }
    }
  if (exchange->response == NULL)
    return MHD_NO; /* the caller has disconnected */
  return exchange_queue_response (exchange);
}

/* Goes on with a deferred request. */
static void
exchange_continue (dks_http_exchange_t *exchange)
{
  dks_http_exchange_undefer (exchange);
  if (!exchange->complete)
    {
      dks_http_exchange_grant_read (exchange);
      dks_http_connection_set_state (exchange->client, DKS_MEMORY_INCOMPLETE);
      exchange_resume_deferred (exchange);
      return;
    }
  exchange_handle (exchange);
  if (exchange_awaits_reply (exchange))
    exchange_await_reply (exchange);
  else
    exchange_resume_deferred (exchange);
}

static void
handle_deferred_timer (void *context, int64_t now_us)
{
  dks_http_server_t *server = context;

  while (!APR_RING_EMPTY (&server->deferred, dks_http_exchange_t, deferred_link)
         && dks_http_server_work_left (server) > 0)
    exchange_continue (APR_RING_FIRST (&server->deferred));
  if (!APR_RING_EMPTY (&server->deferred, dks_http_exchange_t, deferred_link))
    dks_timer_set (dks_loop_timers (server->loop), &server->deferred_timer, now_us);
}

static enum MHD_Result
handle_access (void *context, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *upload_data,
               size_t *upload_data_size, void **connection_context)
{
  dks_http_exchange_t *exchange = *connection_context;

  /* The request was told that it does not run, but libmicrohttpd may still read what had arrived.
   */
  if (connection_client (connection)->closing)
    return MHD_NO;
  if (exchange == NULL)
    {
      exchange = exchange_create (context, connection, method, url);
      *connection_context = exchange;
      return exchange_refuses_body (exchange) ? exchange_queue_response (exchange) : MHD_YES;
    }
  if (*upload_data_size == 0)
    return exchange_process (exchange);
  if (!dks_http_exchange_may_read (exchange, *upload_data_size))
    {
      dks_http_exchange_defer (exchange);
      return MHD_YES;
    }
  exchange->body_received += *upload_data_size;
  dks_memory_claim_progress (&exchange->client->claim, *upload_data_size, dks_loop_now ().mono_us);
  if (exchange->body_received > BODY_READ_MAX_BYTES)
    return MHD_NO;
  exchange_append_body (exchange, upload_data, *upload_data_size);
  *upload_data_size = 0;
  return MHD_YES;
}

static void
handle_completed (void *context, struct MHD_Connection *connection, void **connection_context,
                  enum MHD_RequestTerminationCode code)
{
  dks_http_exchange_t *exchange = *connection_context;

  if (exchange == NULL)
    return;
  *connection_context = NULL;
  if (!exchange->server->stopping)
    exchange_report_caller_gone (exchange);
  exchange_destroy (exchange);
}

static void
handle_connection (void *context, struct MHD_Connection *connection, void **socket_context,
                   enum MHD_ConnectionNotificationCode code)
{
  dks_http_server_t *server = context;
  dks_http_connection_t *client = *socket_context;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      /* libmicrohttpd accepts nothing at its limit, and notices only when it runs again that there
       * is room. */
      if (server->connection_count >= server_connection_limit (server))
        server_schedule_run (server);
      server->connection_count--;
      server->closing_count -= client->closing;
      dks_memory_claim_remove (&client->claim);
      free (client);
      *socket_context = NULL;
      return;
    }
  client = dks_alloc (sizeof (*client));
  client->server = server;
  client->connection = connection;
  dks_memory_claim_add (&client->claim, &server->memory_group, dks_loop_now ().mono_us);
  client->claim.base_bytes = dks_http_connection_sizes_total (&server->sizes);
  dks_http_connection_account (client);
  *socket_context = client;
  server->connection_count++;
  if (server->connection_count - server->closing_count <= server->config.max_connections)
    return;
  if (!server->config.replaces_waiting
      || !dks_memory_group_yield_oldest (&server->memory_group, &client->claim,
                                         dks_loop_now ().mono_us))
    {
      client->over_limit = true;
      MHD_set_connection_option (connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                 (unsigned)OVER_LIMIT_TIMEOUT_S);
    }
}

/* ---- Server ---- */

/* Looks for progress of the answers that have not been taken, so that it is known when connections
 * have to give way. */
static void
handle_answers_timer (void *context, int64_t now_us)
{
  dks_http_server_t *server = context;
  struct dks_memory_ring_t *ring = &server->memory_group.rings[DKS_MEMORY_UNTAKEN];
  dks_memory_claim_t *claim;
  dks_memory_claim_t *next;

  if (APR_RING_EMPTY (ring, dks_memory_claim_t, link) || !server_is_under_pressure (server))
    return;
  APR_RING_FOREACH_SAFE (claim, next, ring, dks_memory_claim_t, link)
    {
      dks_http_connection_t *client = (dks_http_connection_t *)claim;

      if (now_us - claim->progress_us < ANSWERS_CHECK_INTERVAL_US)
        break;
      if (dks_http_connection_answer_progressed (client))
        dks_http_connection_set_state (client, DKS_MEMORY_UNTAKEN);
    }
  dks_timer_set (dks_loop_timers (server->loop), &server->answers_timer,
                 now_us + ANSWERS_CHECK_INTERVAL_US);
}

static void
server_run (dks_http_server_t *server)
{
  int64_t now_us;
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

  server->in_mhd_run = true;
  server->run_pending = false;
  MHD_run (server->daemon);
  server->in_mhd_run = false;
  now_us = dks_loop_now ().mono_us;
  if (server->run_pending)
    dks_timer_set (dks_loop_timers (server->loop), &server->run_timer, now_us);
  else if (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES)
    dks_timer_set (dks_loop_timers (server->loop), &server->run_timer,
                   now_us + (int64_t)timeout_ms * 1000);
  else
    dks_timer_cancel (dks_loop_timers (server->loop), &server->run_timer);
}

static void
handle_epoll (void *context, int fd, int events)
{
  server_run (context);
}

static void
handle_run_timer (void *context, int64_t now_us)
{
  server_run (context);
}

static void __attribute__ ((format (printf, 2, 0)))
handle_log (void *context, const char *format, va_list args)
{
  char text[256];

  vsnprintf (text, sizeof (text), format, args);
  text[strcspn (text, "\n")] = '\0';
  dks_log (DKS_LOG_DEBUG, "event=http-server text=\"%s\"", text);
}

static int
server_listen_queue (const dks_http_server_t *server)
{
  size_t length =
      dks_memory_account_limit (server->memory) / LISTEN_QUEUE_SHARE / server->sizes.receive_bytes;

  if (length < LISTEN_QUEUE_MIN)
    return LISTEN_QUEUE_MIN;
  return length < LISTEN_QUEUE_MAX ? (int)length : LISTEN_QUEUE_MAX;
}

/* Takes ownership of the listening socket. */
static struct MHD_Daemon *
start_daemon (dks_http_server_t *server, const dks_address_t *address, int listen_fd)
{
  struct MHD_Daemon *daemon;
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;
  const struct MHD_OptionItem options[] = {
    /* The logger must come first to get the messages about later options. */
    { MHD_OPTION_EXTERNAL_LOGGER, (intptr_t)handle_log, server },
    { MHD_OPTION_LISTEN_SOCKET, listen_fd, NULL },
    { MHD_OPTION_CONNECTION_LIMIT, (intptr_t)server_connection_limit (server), NULL },
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT, (intptr_t)server->sizes.pool_bytes, NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, server->config.idle_timeout_s, NULL },
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)handle_completed, server },
    { MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)handle_connection, server },
    { MHD_OPTION_END, 0, NULL },
  };

  if (address->any.sa_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  daemon = MHD_start_daemon (flags, 0, NULL, NULL, handle_access, server, MHD_OPTION_ARRAY, options,
                             MHD_OPTION_END);
  if (daemon == NULL)
    close (listen_fd);
  return daemon;
}

static struct MHD_Daemon *
server_listen (dks_http_server_t *server, const dks_address_t *address)
{
  int listen_fd = dks_socket_listen (address, server->sizes.receive_bytes, SEND_BYTES,
                                     server_listen_queue (server));

  return listen_fd >= 0 ? start_daemon (server, address, listen_fd) : NULL;
}

static void
server_open_account (dks_http_server_t *server)
{
  size_t connections_bytes = server->config.connections_bytes;

  if (connections_bytes == 0)
    connections_bytes = dks_memory_account_limit (server->memory) / 2;
  server->sizes = dks_http_connection_sizes (connections_bytes, server->config.max_connections);
  dks_memory_claim_add (&server->queue_claim, &server->memory_group, 0);
  dks_memory_claim_set_state (&server->queue_claim, DKS_MEMORY_HELD, 0);
  dks_memory_claim_set (&server->queue_claim,
                        (size_t)server_listen_queue (server) * server->sizes.receive_bytes);
}

static void
server_free (dks_http_server_t *server)
{
  dks_memory_claim_remove (&server->queue_claim);
  dks_memory_group_remove (&server->memory_group);
  dks_memory_account_destroy (server->own_memory);
  free (server);
}

int
dks_http_server_create (dks_loop_t *loop, const dks_http_server_config_t *config,
                        const dks_http_server_callbacks_t *callbacks, dks_http_server_t **server)
{
  dks_http_server_t *created;
  dks_address_t address;
  apr_status_t status;

  if (dks_address_parse (config->address, &address) != DKS_OK)
    return DKS_ERR_INVALID;
  created = dks_alloc (sizeof (*created));
  created->loop = loop;
  created->config = *config;
  created->callbacks = *callbacks;
  created->random_state = config->key_seed;
  created->last_caller_id = config->caller_id_base;
  if (config->interface == NULL)
    created->config.interface = &default_interface;
  dks_strcpy (created->data_centre, sizeof (created->data_centre), config->data_centre);
  if (config->memory == NULL)
    created->own_memory = dks_memory_account_create (dks_memory_limit (UINT64_MAX));
  created->memory = config->memory != NULL ? config->memory : created->own_memory;
  APR_RING_INIT (&created->deferred, dks_http_exchange_t, deferred_link);
  dks_memory_group_init (&created->memory_group, created->memory, dks_http_connection_yield,
                         created);
  server_open_account (created);
  created->daemon = server_listen (created, &address);
  if (created->daemon == NULL)
    {
      server_free (created);
      return DKS_ERR_IO;
    }
  status = apr_pool_create (&created->pool, NULL);
  DKS_INVARIANT (status == APR_SUCCESS);
  created->callers = apr_hash_make (created->pool);
  created->epoll_fd = MHD_get_daemon_info (created->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  dks_timer_init (&created->run_timer, handle_run_timer, created);
  dks_timer_init (&created->callers_timer, handle_callers_timer, created);
  dks_timer_init (&created->deferred_timer, handle_deferred_timer, created);
  dks_timer_init (&created->answers_timer, handle_answers_timer, created);
  if (dks_loop_watch (loop, created->epoll_fd, DKS_LOOP_READ, handle_epoll, created) != DKS_OK)
    {
      dks_http_server_destroy (created);
      return DKS_ERR_IO;
    }
  *server = created;
  return DKS_OK;
}

void
dks_http_server_destroy (dks_http_server_t *server)
{
  if (server == NULL)
    return;
  server->stopping = true;
  /* libmicrohttpd does not allow a daemon to be stopped while a connection is suspended. */
  for (apr_hash_index_t *i = apr_hash_first (server->pool, server->callers); i != NULL;
       i = apr_hash_next (i))
    {
      dks_http_exchange_t *exchange = apr_hash_this_val (i);
      exchange_resume (exchange);
    }
  while (!APR_RING_EMPTY (&server->deferred, dks_http_exchange_t, deferred_link))
    {
      dks_http_exchange_t *exchange = APR_RING_FIRST (&server->deferred);

      dks_http_exchange_undefer (exchange);
      MHD_resume_connection (exchange->connection);
    }
  dks_loop_watch (server->loop, server->epoll_fd, 0, NULL, NULL);
  MHD_stop_daemon (server->daemon);
  dks_timer_cancel (dks_loop_timers (server->loop), &server->run_timer);
  dks_timer_cancel (dks_loop_timers (server->loop), &server->callers_timer);
  dks_timer_cancel (dks_loop_timers (server->loop), &server->deferred_timer);
  dks_timer_cancel (dks_loop_timers (server->loop), &server->answers_timer);
  apr_pool_destroy (server->pool);
  server_free (server);
}

void
dks_http_server_set_draining (dks_http_server_t *server)
{
  server->draining = true;
}

void
dks_http_server_stop_listening (dks_http_server_t *server)
{
  int listen_fd = MHD_quiesce_daemon (server->daemon);
  dks_address_t address;
  socklen_t size = sizeof (address);
  int fd;

  if (listen_fd < 0)
    return;
  /* Closing the socket would reset the connections that wait in its listen queue. */
  while ((fd = accept4 (listen_fd, &address.any, &size, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0)
    {
      MHD_add_connection (server->daemon, fd, &address.any, size);
      size = sizeof (address);
    }
  close (listen_fd);
  dks_timer_set (dks_loop_timers (server->loop), &server->run_timer, dks_loop_now ().mono_us);
}

uint32_t
dks_http_server_open_requests (const dks_http_server_t *server)
{
  return server->open_requests;
}

uint32_t
dks_http_server_active_requests (const dks_http_server_t *server)
{
  int64_t stalled_us = dks_loop_now ().mono_us - DKS_MEMORY_STALL_US;
  uint32_t count = server->open_requests;
  const dks_memory_claim_t *claim;

  APR_RING_FOREACH (claim, &server->memory_group.rings[DKS_MEMORY_INCOMPLETE], dks_memory_claim_t,
                    link)
    {
      if (claim->progress_us <= stalled_us && claim->received_us <= stalled_us)
        count -= ((const dks_http_connection_t *)claim)->exchange != NULL;
    }
  return count;
}

uint64_t
dks_http_server_bad_input_total (const dks_http_server_t *server)
{
  return server->bad_input_total;
}
