#include "net/http_exchange.h"

#include "common/log.h"
#include "net/socket.h"

#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  /* What libmicrohttpd holds for one connection: headers and unread input. */
  POOL_MIN_BYTES = 8 << 10,
  POOL_MAX_BYTES = 32 << 10,
  PAGE_BYTES = 4096,
  /* In the kernel, for the input of one connection. Half of it is for data, the rest for the
   * structures of the kernel; the window is then at most the product of 25 Mbit/s and a round trip
   * of 2.6 ms. */
  RECEIVE_MIN_BYTES = 4 << 10,
  RECEIVE_MAX_BYTES = 16 << 10,
  YIELD_LOG_INTERVAL_US = 1000000,
  MS_PER_S = 1000
};

size_t
dks_http_connection_bytes (const dks_http_connection_t *client)
{
  const dks_http_exchange_t *exchange = client->exchange;
  size_t bytes = client->claim.base_bytes;

  if (client->closing)
    return 0;
  if (exchange != NULL)
    bytes += exchange->body_capacity + exchange->decode_bytes + exchange->answer_bytes;
  return bytes;
}

void
dks_http_connection_account (dks_http_connection_t *client)
{
  dks_memory_claim_set (&client->claim, dks_http_connection_bytes (client));
}

void
dks_http_connection_set_state (dks_http_connection_t *client, dks_memory_state_t state)
{
  if (!client->closing)
    dks_memory_claim_set_state (&client->claim, state, dks_loop_now ().mono_us);
}

size_t
dks_http_connection_sizes_total (const dks_http_connection_sizes_t *sizes)
{
  return sizes->pool_bytes + sizes->receive_bytes;
}

static size_t
clamp_size (size_t bytes, size_t min, size_t max)
{
  if (bytes < min)
    return min;
  return bytes < max ? bytes / PAGE_BYTES * PAGE_BYTES : max;
}

dks_http_connection_sizes_t
dks_http_connection_sizes (size_t connections_bytes, uint32_t max_connections)
{
  size_t bytes = connections_bytes / (max_connections + DKS_HTTP_OVER_LIMIT_MAX);
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

  if (count <= DKS_HTTP_OVER_LIMIT_MAX)
    return 1;
  count -= DKS_HTTP_OVER_LIMIT_MAX;
  return count < UINT32_MAX ? (uint32_t)count : UINT32_MAX;
}

/* Answers a request whose body has not arrived completely. libmicrohttpd can answer only complete
 * ones, and nothing has been written for this one. Callers of the platform know no 408, and send a
 * job again after a 504. */
static void
exchange_send_timeout (const dks_http_exchange_t *exchange, int fd)
{
  bool is_platform_job = exchange->route != NULL && exchange->route->needs_caller;
  const dks_http_problem_t problem = dks_http_exchange_problem (
      exchange, is_platform_job ? 504 : 408, "request-timeout",
      "the request did not arrive while others waited", DKS_HTTP_OVERLOAD_RETRY_MS);
  char *body = dks_http_json_encode_problem (&problem);
  char reply[1024];
  int len = snprintf (reply, sizeof (reply),
                      "HTTP/1.1 %s\r\nConnection: close\r\nRetry-After: %d\r\n"
                      "Content-Type: application/problem+json\r\nContent-Length: %zu\r\n\r\n%s",
                      is_platform_job ? "504 Gateway Timeout" : "408 Request Timeout",
                      DKS_HTTP_OVERLOAD_RETRY_MS / MS_PER_S, strlen (body), body);

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

bool
dks_http_connection_answer_progressed (dks_http_connection_t *client)
{
  uint64_t acknowledged = dks_socket_acknowledged (connection_fd (client));
  bool progressed = acknowledged != client->acknowledged;

  client->acknowledged = acknowledged;
  return progressed;
}

bool
dks_http_connection_yield (void *context, dks_memory_claim_t *claim)
{
  dks_http_server_t *server = context;
  dks_http_connection_t *client = (dks_http_connection_t *)claim;
  int fd = connection_fd (client);
  bool incomplete = claim->state == DKS_MEMORY_INCOMPLETE;
  int64_t now_us = dks_loop_now ().mono_us;

  if (client->over_limit)
    return false;
  if (incomplete ? has_unread_input (fd) : dks_http_connection_answer_progressed (client))
    return false;
  dks_http_connection_set_state (client, DKS_MEMORY_HELD);
  client->closing = true;
  server->closing_count++;
  server->yielded_total++;
  if (incomplete && client->exchange != NULL)
    {
      exchange_send_timeout (client->exchange, fd);
      dks_http_exchange_drop_body (client->exchange);
    }
  dks_http_connection_account (client);
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
