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
  /* Connections accepted above max_connections, only to answer them with 503: otherwise their
   * callers would wait in the listen queue without any reply. */
  OVER_LIMIT_CONNECTIONS_MAX = 64,
  OVER_LIMIT_TIMEOUT_S = 2, /* idle time until such a connection is closed */
  OVERLOAD_RETRY_MS = 1000, /* Retry-After when there are too many connections or bodies */
  /* A body longer than its route allows is read and dropped up to this length, because closing a
   * connection with unread data resets it, and the caller may lose the reply. */
  BODY_READ_MAX_BYTES = 4 * DKS_SUBMISSION_MAX,
  BODY_INITIAL_CAPACITY = 4096, /* bytes */
  SMALL_ANSWER_BYTES = 1024,    /* answers up to this size are always given */
  BODY_PAGE_BYTES = 4096,
  /* Up to this capacity a body doubles its buffer, above it the buffer grows by a quarter. */
  BODY_DOUBLING_MAX_BYTES = 64 << 10,
  /* Values of a JSON text. No submission needs as many; a parser takes up to 50 times the length of
   * a text of small values. */
  VALUES_MAX = 131072,
  /* Allocated by the parser for one object, array, and member or value of another kind. */
  OBJECT_BYTES = 256,
  ARRAY_BYTES = 136,
  VALUE_BYTES = 64,
  /* What libmicrohttpd holds for one connection: headers and unread input. */
  POOL_MIN_BYTES = 8 << 10,
  POOL_MAX_BYTES = 32 << 10,
  /* In the kernel, for the input of one connection. Half of it is for data, the rest for the
   * structures of the kernel; the window is then at most the product of 25 Mbit/s and a round trip
   * of 2.6 ms. */
  RECEIVE_MIN_BYTES = 4 << 10,
  RECEIVE_MAX_BYTES = 16 << 10,
  SEND_BYTES = 16 << 10, /* in the kernel for output, which is in the account as an answer */
  /* Connections that wait to be accepted may take this part of the limit. */
  LISTEN_QUEUE_SHARE = 16,
  LISTEN_QUEUE_MIN = 64,
  LISTEN_QUEUE_MAX = 1024,
  YIELD_LOG_INTERVAL_US = 1000000,
  ANSWERS_CHECK_INTERVAL_US = 500000, /* between two looks for progress of answers */
  /* Work is counted in units of about 20 ns of a processor. */
  WORK_PER_TURN = 1000000, /* of a whole processor: about 20 ms */
  WORK_REQUEST = 2000,
  WORK_VALUE = 64,   /* of a JSON text, including the task that is made of it */
  WORK_PER_BYTE = 1, /* of a body */
  /* Deferred work of more turns is refused. */
  DEFERRED_TURNS_MAX = 50,
  /* Between two checks of waiting callers whose connections have unread input: the input hides the
   * end of the stream from the event loop. */
  CALLERS_CHECK_INTERVAL_US = 100000,
  MS_PER_S = 1000
};

/* ---- Memory ---- */

static size_t
sizes_total (const dks_http_connection_sizes_t *sizes)
{
  return sizes->pool_bytes + sizes->receive_bytes;
}

static size_t
clamp_size (size_t bytes, size_t min, size_t max)
{
  if (bytes < min)
    return min;
  return bytes < max ? bytes / BODY_PAGE_BYTES * BODY_PAGE_BYTES : max;
}

dks_http_connection_sizes_t
dks_http_connection_sizes (size_t connections_bytes, uint32_t max_connections)
{
  size_t bytes = connections_bytes / (max_connections + OVER_LIMIT_CONNECTIONS_MAX);
  size_t receive_bytes = clamp_size (bytes / 3 * 2, RECEIVE_MIN_BYTES, RECEIVE_MAX_BYTES);
  size_t rest = bytes > receive_bytes ? bytes - receive_bytes : 0;

  return (dks_http_connection_sizes_t){
    .pool_bytes = clamp_size (rest, POOL_MIN_BYTES, POOL_MAX_BYTES),
    .receive_bytes = receive_bytes,
  };
}

uint32_t
dks_http_connections_fitting (size_t connections_bytes, bool ample)
{
  size_t bytes = POOL_MIN_BYTES + (size_t)(ample ? RECEIVE_MAX_BYTES : RECEIVE_MIN_BYTES);
  size_t count = connections_bytes / bytes;

  if (count <= OVER_LIMIT_CONNECTIONS_MAX)
    return 1;
  count -= OVER_LIMIT_CONNECTIONS_MAX;
  return count < UINT32_MAX ? (uint32_t)count : UINT32_MAX;
}

/* States what the connection holds. A connection that had to give way counts as freed. */
static size_t
connection_bytes (const dks_http_connection_t *client)
{
  const dks_http_exchange_t *exchange = client->exchange;
  size_t bytes = client->claim.base_bytes;

  if (client->closing)
    return 0;
  if (exchange != NULL)
    bytes += exchange->body_capacity + exchange->decode_bytes + exchange->answer_bytes;
  return bytes;
}

static void
connection_account (dks_http_connection_t *client)
{
  dks_memory_claim_set (&client->claim, connection_bytes (client));
}

static void
connection_set_state (dks_http_connection_t *client, dks_memory_state_t state)
{
  if (!client->closing)
    dks_memory_claim_set_state (&client->claim, state, dks_loop_now ().mono_us);
}

/* Connections that libmicrohttpd accepts. */
static uint32_t
server_connection_limit (const dks_http_server_t *server)
{
  return server->config.max_connections + OVER_LIMIT_CONNECTIONS_MAX;
}

/* ---- Replies ---- */

const char *
dks_http_exchange_request_header (const dks_http_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND, name);
}

void
dks_http_exchange_add_header (dks_http_exchange_t *exchange, const char *name, const char *value)
{
  MHD_add_response_header (exchange->response, name, value);
}

void
dks_http_exchange_reply (dks_http_exchange_t *exchange, int status, const char *type, char *body)
{
  if (exchange->response != NULL)
    {
      free (body);
      return;
    }
  exchange->status = (unsigned)status;
  exchange->answer_bytes = strlen (body);
  exchange->response =
      MHD_create_response_from_buffer (exchange->answer_bytes, body, MHD_RESPMEM_MUST_FREE);
  DKS_INVARIANT (exchange->response != NULL);
  connection_account (exchange->client);
  dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  if (exchange->key[0] != '\0')
    dks_http_exchange_add_header (exchange, "Idempotency-Key", exchange->key);
  if (exchange->server->draining || exchange->over_limit)
    dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_CONNECTION, "close");
}

void
dks_http_exchange_add_retry_after (dks_http_exchange_t *exchange, uint32_t retry_after_ms)
{
  char seconds[16];

  if (retry_after_ms == 0)
    return;
  snprintf (seconds, sizeof (seconds), "%" PRIu32,
            retry_after_ms / MS_PER_S + (retry_after_ms % MS_PER_S != 0));
  dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
}

void
dks_http_exchange_reply_problem (dks_http_exchange_t *exchange, const dks_http_problem_t *problem)
{
  if (exchange->response != NULL)
    return;
  dks_http_exchange_reply (exchange, problem->status, "application/problem+json",
                           dks_http_json_encode_problem (problem));
  dks_http_exchange_add_retry_after (exchange, problem->retry_after_ms);
}

/* Returns the problem of a request that the reducer has not received. The server does not know
 * whether an earlier submission with the caller's key has run, so the reply says "not_run" only
 * when the key has just been generated. */
static dks_http_problem_t
exchange_problem (const dks_http_exchange_t *exchange, int status, const char *name,
                  const char *detail, uint32_t retry_after_ms)
{
  return (dks_http_problem_t){
    .name = name,
    .status = status,
    .detail = detail,
    .key = exchange->key,
    .outcome = exchange->key[0] != '\0' && !exchange->key_given && exchange->route != NULL
                       && exchange->route->submits
                   ? DKS_OUTCOME_REFUSED
                   : 0,
    .retry_after_ms = retry_after_ms,
  };
}

static void
exchange_fail (dks_http_exchange_t *exchange, int status, const char *name, const char *detail,
               uint32_t retry_after_ms)
{
  const dks_http_problem_t problem =
      exchange_problem (exchange, status, name, detail, retry_after_ms);

  dks_http_exchange_reply_problem (exchange, &problem);
}

/* Refuses a request for want of memory or processor time. Where the status itself says that a job
 * never runs, as of a job that may have been sent before, it says that the outcome is unknown. */
static void
exchange_fail_overloaded (dks_http_exchange_t *exchange, const char *detail)
{
  exchange_fail (exchange, exchange->route->needs_caller ? 504 : 503, "overloaded", detail,
                 OVERLOAD_RETRY_MS);
}

void
dks_http_exchange_reject (dks_http_exchange_t *exchange, int status, const char *name,
                          const char *detail)
{
  exchange->server->bad_input_total++;
  exchange_fail (exchange, status, name, detail, 0);
}

static int
answer_status (const dks_answer_t *answer)
{
  switch (answer->problem)
    {
    case DKS_PROBLEM_BAD_REQUEST:
      return 400;
    case DKS_PROBLEM_KEY_REUSED:
      return 422;
    case DKS_PROBLEM_KEY_EXPIRED:
      return 410;
    case DKS_PROBLEM_NOT_FOUND:
      return 404;
    case DKS_PROBLEM_QUOTA:
      return 429;
    default:
      break;
    }
  switch (answer->outcome)
    {
    case DKS_OUTCOME_COMPLETE:
      return 200;
    case DKS_OUTCOME_ACCEPTED:
      return 202;
    case DKS_OUTCOME_FAILED:
      return 502;
    case DKS_OUTCOME_REFUSED:
      return 503;
    case DKS_OUTCOME_CANCELLED:
      return 409;
    case DKS_OUTCOME_UNKNOWN:
      break;
    }
  return 504;
}

void
dks_http_exchange_reply_answer (dks_http_exchange_t *exchange, const dks_answer_t *answer)
{
  const dks_http_route_t *route = exchange->route;
  int status = answer_status (answer);
  dks_http_problem_t problem;
  char location[DKS_KEY_SIZE + 16];

  /* DELETE asks for this outcome, so it has succeeded; for other requests it is a conflict. */
  if (answer->outcome == DKS_OUTCOME_CANCELLED && strcmp (route->method, "DELETE") == 0)
    status = 200;
  if (status < 300)
    {
      bool single = strcmp (route->path, "/v1/requests") == 0;
      dks_http_exchange_reply (exchange, status, "application/json",
                               dks_http_json_encode_answer (answer, single));
      if (status == 202)
        {
          snprintf (location, sizeof (location), "/v1/jobs/%s", exchange->key);
          dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_LOCATION, location);
        }
      return;
    }
  problem = (dks_http_problem_t){
    .name = dks_problem_name (answer->problem),
    .status = status,
    .detail = answer->detail,
    .key = exchange->key,
    .outcome = answer->outcome,
    .retry_after_ms = answer->retry_after_ms,
    .answer = answer,
  };
  dks_http_exchange_reply_problem (exchange, &problem);
}

void
dks_http_exchange_reply_edit (dks_http_exchange_t *exchange, const dks_effect_t *effect)
{
  static const struct
  {
    int error;
    int status;
    const char *name;
  } rows[] = {
    { DKS_ERR_INVALID, 400, "bad-request" }, { DKS_ERR_NOT_FOUND, 404, "not-found" },
    { DKS_ERR_CONFLICT, 409, "conflict" },   { DKS_ERR_TOO_LARGE, 400, "too-large" },
    { DKS_ERR_TIMEOUT, 504, "timeout" },     { DKS_ERR_UNAVAILABLE, 503, "platform-unavailable" },
  };
  dks_http_problem_t problem = {
    .name = "timeout",
    .status = 504,
    .detail = effect->u.edit_reply.detail,
  };

  if (effect->u.edit_reply.error == DKS_OK)
    {
      dks_http_exchange_reply (exchange, 200, "application/json",
                               dks_http_json_encode_edit_reply (effect));
      return;
    }
  for (size_t i = 0; i < sizeof (rows) / sizeof (rows[0]); i++)
    {
      if (rows[i].error == effect->u.edit_reply.error)
        {
          problem.name = rows[i].name;
          problem.status = rows[i].status;
        }
    }
  dks_http_exchange_reply_problem (exchange, &problem);
}

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

/* ---- Requests ---- */

static void
exchange_drop_body (dks_http_exchange_t *exchange)
{
  free (exchange->body);
  exchange->body = NULL;
  exchange->body_len = 0;
  exchange->body_capacity = 0;
  connection_account (exchange->client);
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
      exchange_drop_body (exchange);
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
          exchange_drop_body (exchange);
          exchange_fail_overloaded (exchange, "too many bytes of requests are held");
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
  connection_set_state (exchange->client, DKS_MEMORY_INCOMPLETE);
  server->open_requests++;
  exchange_set_route (exchange, method, url);
  if (exchange->over_limit)
    exchange_fail (exchange, 503, "too-many-connections",
                   "this instance holds as many connections as it may", OVERLOAD_RETRY_MS);
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
  exchange_drop_body (exchange);
  client->exchange = NULL;
  connection_set_state (client, DKS_MEMORY_INCOMPLETE);
  connection_account (client);
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

  connection_set_state (exchange->client, DKS_MEMORY_UNTAKEN);
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

/* ---- Work ---- */

/* Units of work that may begin in one turn of the loop, so that timers, other instances, targets
 * and the platform are not kept waiting by the requests of clients. */
static int64_t
server_work_per_turn (const dks_http_server_t *server)
{
  uint32_t processor_milli =
      server->config.processor_milli > 0 ? server->config.processor_milli : 1000;

  return (int64_t)WORK_PER_TURN * processor_milli / 1000;
}

static int64_t
server_work_left (dks_http_server_t *server)
{
  uint64_t turn = dks_loop_turn_number (server->loop);

  if (server->work_turn != turn)
    {
      server->work_turn = turn;
      server->work_left = server_work_per_turn (server);
    }
  return server->work_left;
}

static void
server_spend_work (dks_http_server_t *server, size_t work)
{
  server->work_left = server_work_left (server) - (int64_t)work;
}

/* Whether a request may go on at once. Those that wait go first. */
static bool
server_admits_work (dks_http_server_t *server)
{
  return APR_RING_EMPTY (&server->deferred, dks_http_exchange_t, deferred_link)
         && server_work_left (server) > 0;
}

/* Suspends the connection until its turn; to be called from within the access handler. */
static void
exchange_defer (dks_http_exchange_t *exchange)
{
  dks_http_server_t *server = exchange->server;

  MHD_suspend_connection (exchange->connection);
  server->deferred_work += exchange->work;
  connection_set_state (exchange->client, DKS_MEMORY_HELD);
  APR_RING_INSERT_TAIL (&server->deferred, exchange, dks_http_exchange_t, deferred_link);
  if (!dks_timer_is_armed (&server->deferred_timer))
    dks_timer_set (dks_loop_timers (server->loop), &server->deferred_timer,
                   dks_loop_now ().mono_us);
}

static void
exchange_undefer (dks_http_exchange_t *exchange)
{
  exchange->server->deferred_work -= exchange->work;
  APR_RING_REMOVE (exchange, deferred_link);
}

static void
exchange_resume_deferred (dks_http_exchange_t *exchange)
{
  MHD_resume_connection (exchange->connection);
  server_schedule_run (exchange->server);
}

/* Counts what the body holds: sets the memory that decoding takes, as far as the text shows it, and
 * the work. Decoding takes the text itself as values and again as the request that is made of it,
 * and the structures of the parser. */
static void
exchange_measure (dks_http_exchange_t *exchange)
{
  const uint8_t *end = exchange->body + exchange->body_len;
  size_t bytes = 2 * exchange->body_len;
  size_t values = 0;
  bool quoted = false;

  for (const uint8_t *c = exchange->body; c < end; c++)
    {
      if (*c == '"')
        quoted = !quoted;
      else if (*c == '\\' && quoted)
        c++;
      else if (!quoted && (*c == ',' || *c == ':' || *c == '[' || *c == '{'))
        {
          values++;
          bytes += *c == '{' ? OBJECT_BYTES : *c == '[' ? ARRAY_BYTES : VALUE_BYTES;
        }
    }
  exchange->work =
      (uint32_t)(WORK_REQUEST + WORK_PER_BYTE * exchange->body_len + WORK_VALUE * values);
  exchange->decode_needed_bytes = bytes;
  if (values > VALUES_MAX)
    dks_http_exchange_reject (exchange, 413, "too-large", "the body has too many values");
}

/* Takes the memory for decoding the body. Refuses the request when there is not enough. */
static void
exchange_reserve_decoding (dks_http_exchange_t *exchange)
{
  size_t bytes = exchange->decode_needed_bytes;

  if (dks_memory_claim_finish (&exchange->client->claim,
                               connection_bytes (exchange->client) + bytes))
    exchange->decode_bytes = bytes;
  else
    exchange_fail_overloaded (exchange, "too many bytes of requests are held");
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
  server_spend_work (exchange->server, exchange->work);
  connection_set_state (exchange->client, DKS_MEMORY_HELD);
  if (exchange->body_len > 0)
    exchange_reserve_decoding (exchange);
  if (exchange->response == NULL)
    exchange->route->handle (exchange);
  if (exchange->response != NULL && !exchange_has_room_for_answer (exchange))
    {
      exchange_drop_response (exchange);
      exchange_fail_overloaded (exchange, "too many bytes of answers are held");
    }
  exchange->decode_bytes = 0;
  exchange_drop_body (exchange);
}

static bool
exchange_awaits_reply (const dks_http_exchange_t *exchange)
{
  return exchange->response == NULL && !exchange->caller_gone;
}

/* Whether the request may wait for its turn. One that waits alone always may, however large. */
static bool
exchange_may_wait (const dks_http_exchange_t *exchange)
{
  const dks_http_server_t *server = exchange->server;

  return server->deferred_work == 0
         || server->deferred_work + exchange->work
                <= (uint64_t)server_work_per_turn (server) * DEFERRED_TURNS_MAX;
}

/* Lets the connection read as much of the body as it holds unread. */
static void
exchange_grant_read (dks_http_exchange_t *exchange)
{
  dks_http_server_t *server = exchange->server;

  exchange->granted_bytes = server->sizes.pool_bytes;
  server_spend_work (server, WORK_PER_BYTE * exchange->granted_bytes);
}

/* Whether `size` bytes of the body that have arrived may be read in this turn. */
static bool
exchange_may_read (dks_http_exchange_t *exchange, size_t size)
{
  dks_http_server_t *server = exchange->server;

  if (exchange->granted_bytes > 0)
    {
      exchange->granted_bytes -= size < exchange->granted_bytes ? size : exchange->granted_bytes;
      return true;
    }
  if (!server_admits_work (server))
    return false;
  server_spend_work (server, WORK_PER_BYTE * size + WORK_VALUE);
  return true;
}

/* Handles a request that has arrived completely, now or in a later turn. */
static enum MHD_Result
exchange_process (dks_http_exchange_t *exchange)
{
  if (!exchange->complete && exchange->response == NULL)
    exchange_measure (exchange);
  exchange->complete = true;
  if (exchange->response == NULL && !exchange->handled && !server_admits_work (exchange->server))
    {
      if (exchange_may_wait (exchange))
        {
          exchange_defer (exchange);
          return MHD_YES;
        }
      exchange_drop_body (exchange);
      exchange_fail_overloaded (exchange, "too many requests wait to be handled");
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
  exchange_undefer (exchange);
  if (!exchange->complete)
    {
      exchange_grant_read (exchange);
      connection_set_state (exchange->client, DKS_MEMORY_INCOMPLETE);
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
         && server_work_left (server) > 0)
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
  if (!exchange_may_read (exchange, *upload_data_size))
    {
      exchange_defer (exchange);
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
  client->claim.base_bytes = sizes_total (&server->sizes);
  connection_account (client);
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

/* Answers a request whose body has not arrived completely. libmicrohttpd can answer only complete
 * ones, and nothing has been written for this one. Callers of the platform know no 408, and send a
 * job again after a 504. */
static void
exchange_send_timeout (const dks_http_exchange_t *exchange, int fd)
{
  bool is_platform_job = exchange->route != NULL && exchange->route->needs_caller;
  const dks_http_problem_t problem =
      exchange_problem (exchange, is_platform_job ? 504 : 408, "request-timeout",
                        "the request did not arrive while others waited", OVERLOAD_RETRY_MS);
  char *body = dks_http_json_encode_problem (&problem);
  char reply[1024];
  int len = snprintf (reply, sizeof (reply),
                      "HTTP/1.1 %s\r\nConnection: close\r\nRetry-After: %d\r\n"
                      "Content-Type: application/problem+json\r\nContent-Length: %zu\r\n\r\n%s",
                      is_platform_job ? "504 Gateway Timeout" : "408 Request Timeout",
                      OVERLOAD_RETRY_MS / MS_PER_S, strlen (body), body);

  if (len < (int)sizeof (reply) && send (fd, reply, (size_t)len, MSG_NOSIGNAL | MSG_DONTWAIT) < 0)
    dks_log (DKS_LOG_DEBUG, "event=request-timeout sent=0 errno=%d", errno);
  free (body);
}

/* Whether the client has sent what this server has not read yet. */
static bool
has_unread_input (int fd)
{
  struct pollfd connection = { .fd = fd, .events = POLLIN | POLLRDHUP };

  return poll (&connection, 1, 0) > 0 && connection.revents == POLLIN;
}

static int
connection_fd (const dks_http_connection_t *client)
{
  return MHD_get_connection_info (client->connection, MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

/* Whether the client has taken some of its answer since the last call. */
static bool
connection_answer_progressed (dks_http_connection_t *client)
{
  uint64_t acknowledged = dks_socket_acknowledged (connection_fd (client));
  bool progressed = acknowledged != client->acknowledged;

  client->acknowledged = acknowledged;
  return progressed;
}

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
      if (connection_answer_progressed (client))
        connection_set_state (client, DKS_MEMORY_UNTAKEN);
    }
  dks_timer_set (dks_loop_timers (server->loop), &server->answers_timer,
                 now_us + ANSWERS_CHECK_INTERVAL_US);
}

/* Closes a connection whose client keeps the server waiting, and frees what it holds. One above the
 * limit of connections is answered at once and stays for that. */
static bool
handle_yield (void *context, dks_memory_claim_t *claim)
{
  dks_http_server_t *server = context;
  dks_http_connection_t *client = (dks_http_connection_t *)claim;
  int fd = connection_fd (client);
  bool incomplete = claim->state == DKS_MEMORY_INCOMPLETE;
  int64_t now_us = dks_loop_now ().mono_us;

  if (client->over_limit)
    return false;
  if (incomplete ? has_unread_input (fd) : connection_answer_progressed (client))
    return false;
  connection_set_state (client, DKS_MEMORY_HELD);
  client->closing = true;
  server->closing_count++;
  server->yielded_total++;
  if (incomplete && client->exchange != NULL)
    {
      exchange_send_timeout (client->exchange, fd);
      exchange_drop_body (client->exchange);
    }
  connection_account (client);
  /* libmicrohttpd notices the end of the stream and closes the connection. */
  shutdown (fd, SHUT_RDWR);
  if (now_us - server->yield_logged_us < YIELD_LOG_INTERVAL_US)
    return true;
  server->yield_logged_us = now_us;
  dks_log (DKS_LOG_WARNING,
           "event=connections-yielded total=%" PRIu64 " connections=%" PRIu32
           " memory_bytes=%zu memory_limit_bytes=%zu",
           server->yielded_total, server->connection_count,
           dks_memory_account_used (server->memory), dks_memory_account_limit (server->memory));
  return true;
}

/* ---- Server ---- */

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
  dks_memory_group_init (&created->memory_group, created->memory, handle_yield, created);
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

      exchange_undefer (exchange);
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
