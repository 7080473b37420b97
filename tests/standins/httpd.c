#include "httpd.h"

#include "common/alloc.h"
#include "common/error.h"

#include <apr_ring.h>
#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  BODY_MAX_BYTES = 4 << 20, /* of a request; above the largest value and the largest payload */
  CONNECTION_MEMORY_BYTES = 32 << 10 /* libmicrohttpd's buffer for each connection */
};

struct dks_exchange_t
{
  APR_RING_ENTRY (dks_exchange_t) link;
  dks_httpd_t *httpd;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  char *body;
  size_t len;
  size_t capacity;
  void (*on_cancel) (void *context);
  void *cancel_context;
  struct MHD_Response *response;
  unsigned status;
  int watched_fd; /* -1 when the connection is not watched */
  bool delivered;
  bool finished;
  bool suspended;
};

APR_RING_HEAD (exchange_ring, dks_exchange_t);

struct dks_httpd_t
{
  dks_loop_t *loop;
  struct MHD_Daemon *daemon;
  int epoll_fd;
  dks_timer_t timer;
  dks_exchange_func_t func;
  void *context;
  struct exchange_ring exchanges;
};

static void
httpd_wake (dks_httpd_t *httpd)
{
  dks_timer_set (dks_loop_timers (httpd->loop), &httpd->timer, dks_loop_now ().mono_us);
}

static void
httpd_run (dks_httpd_t *httpd)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;

  MHD_run (httpd->daemon);
  if (MHD_get_timeout (httpd->daemon, &wait_ms) == MHD_YES)
    dks_timer_set (dks_loop_timers (httpd->loop), &httpd->timer,
                   dks_loop_now ().mono_us + (int64_t)wait_ms * 1000);
}

static void
handle_timer (void *context, int64_t now_us)
{
  httpd_run (context);
}

static void
handle_ready (void *context, int fd, int events)
{
  httpd_run (context);
}

static void
exchange_unwatch (dks_exchange_t *exchange)
{
  if (exchange->watched_fd < 0)
    return;
  dks_loop_watch (exchange->httpd->loop, exchange->watched_fd, 0, NULL, NULL);
  exchange->watched_fd = -1;
}

static void
exchange_finish (dks_exchange_t *exchange)
{
  exchange->finished = true;
  exchange->on_cancel = NULL;
  exchange_unwatch (exchange);
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  MHD_resume_connection (exchange->connection);
  httpd_wake (exchange->httpd);
}

static void
exchange_cancel (dks_exchange_t *exchange)
{
  void (*on_cancel) (void *) = exchange->on_cancel;
  void *context = exchange->cancel_context;

  exchange_finish (exchange);
  if (on_cancel != NULL)
    on_cancel (context);
}

/* libmicrohttpd does not read from a suspended connection, so this handler detects that the client
 * has closed it. */
static void
handle_suspended_readable (void *context, int fd, int events)
{
  dks_exchange_t *exchange = context;
  char byte;
  ssize_t got = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  if (got > 0)
    {
      exchange_unwatch (exchange);
      return;
    }
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  exchange_cancel (exchange);
}

static void
exchange_suspend (dks_exchange_t *exchange)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  MHD_suspend_connection (exchange->connection);
  exchange->suspended = true;
  if (info != NULL
      && dks_loop_watch (exchange->httpd->loop, info->connect_fd, DKS_LOOP_READ,
                         handle_suspended_readable, exchange)
             == DKS_OK)
    exchange->watched_fd = info->connect_fd;
}

static dks_exchange_t *
exchange_create (dks_httpd_t *httpd, struct MHD_Connection *connection, const char *method,
                 const char *path)
{
  dks_exchange_t *exchange = dks_alloc (sizeof (*exchange));

  exchange->httpd = httpd;
  exchange->connection = connection;
  exchange->method = dks_strdup (method);
  exchange->path = dks_strdup (path);
  exchange->capacity = 256;
  exchange->body = dks_alloc (exchange->capacity);
  exchange->watched_fd = -1;
  APR_RING_INSERT_TAIL (&httpd->exchanges, exchange, dks_exchange_t, link);
  return exchange;
}

static bool
exchange_append (dks_exchange_t *exchange, const char *data, size_t len)
{
  if (exchange->len + len > BODY_MAX_BYTES)
    return false;
  while (exchange->len + len + 1 > exchange->capacity)
    {
      exchange->capacity *= 2;
      exchange->body = dks_realloc (exchange->body, exchange->capacity);
    }
  memcpy (exchange->body + exchange->len, data, len);
  exchange->len += len;
  exchange->body[exchange->len] = '\0';
  return true;
}

static enum MHD_Result
handle_access (void *context, struct MHD_Connection *connection, const char *url,
               const char *method, const char *version, const char *data, size_t *data_len,
               void **request_context)
{
  dks_httpd_t *httpd = context;
  dks_exchange_t *exchange = *request_context;
  struct MHD_Response *response;
  enum MHD_Result result;

  if (exchange == NULL)
    {
      *request_context = exchange_create (httpd, connection, method, url);
      return MHD_YES;
    }
  if (*data_len > 0)
    {
      if (!exchange_append (exchange, data, *data_len))
        return MHD_NO;
      *data_len = 0;
      return MHD_YES;
    }
  if (!exchange->delivered)
    {
      exchange->delivered = true;
      httpd->func (httpd->context, exchange);
    }
  if (!exchange->finished)
    {
      exchange_suspend (exchange);
      return MHD_YES;
    }
  response = exchange->response;
  if (response == NULL)
    return MHD_NO;
  result = MHD_queue_response (connection, exchange->status, response);
  MHD_destroy_response (response);
  exchange->response = NULL;
  return result;
}

static void
handle_completed (void *context, struct MHD_Connection *connection, void **request_context,
                  enum MHD_RequestTerminationCode code)
{
  dks_exchange_t *exchange = *request_context;

  if (exchange == NULL)
    return;
  *request_context = NULL;
  if (!exchange->finished)
    exchange_cancel (exchange);
  APR_RING_REMOVE (exchange, link);
  if (exchange->response != NULL)
    MHD_destroy_response (exchange->response);
  free (exchange->method);
  free (exchange->path);
  free (exchange->body);
  free (exchange);
}

static int
parse_address (const char *text, struct sockaddr_in *address)
{
  char ip[DKS_ADDRESS_SIZE];
  const char *colon = strrchr (text, ':');
  char *end;
  long port;

  if (colon == NULL || (size_t)(colon - text) >= sizeof (ip))
    return DKS_ERR_INVALID;
  memcpy (ip, text, (size_t)(colon - text));
  ip[colon - text] = '\0';
  port = strtol (colon + 1, &end, 10);
  if (end == colon + 1 || *end != '\0' || port <= 0 || port > 65535)
    return DKS_ERR_INVALID;
  *address = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1 ? DKS_OK : DKS_ERR_INVALID;
}

int
dks_httpd_create (dks_loop_t *loop, const char *address, dks_exchange_func_t func, void *context,
                  dks_httpd_t **httpd)
{
  struct sockaddr_in listen_on;
  dks_httpd_t *created;
  int error = parse_address (address, &listen_on);

  if (error != DKS_OK)
    return error;
  created = dks_alloc (sizeof (*created));
  created->loop = loop;
  created->func = func;
  created->context = context;
  APR_RING_INIT (&created->exchanges, dks_exchange_t, link);
  dks_timer_init (&created->timer, handle_timer, created);
  created->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_access, created,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&listen_on, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_NOTIFY_COMPLETED, handle_completed, created, MHD_OPTION_END);
  if (created->daemon == NULL)
    {
      free (created);
      return DKS_ERR_IO;
    }
  created->epoll_fd = MHD_get_daemon_info (created->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  dks_loop_watch (loop, created->epoll_fd, DKS_LOOP_READ, handle_ready, created);
  *httpd = created;
  return DKS_OK;
}

void
dks_httpd_destroy (dks_httpd_t *httpd)
{
  dks_exchange_t *exchange;
  dks_exchange_t *next;

  if (httpd == NULL)
    return;
  /* MHD_stop_daemon() must not be called while connections are suspended. */
  APR_RING_FOREACH_SAFE (exchange, next, &httpd->exchanges, dks_exchange_t, link)
    {
      if (!exchange->finished)
        exchange_cancel (exchange);
    }
  dks_loop_watch (httpd->loop, httpd->epoll_fd, 0, NULL, NULL);
  MHD_stop_daemon (httpd->daemon);
  dks_timer_cancel (dks_loop_timers (httpd->loop), &httpd->timer);
  free (httpd);
}

const char *
dks_exchange_method (const dks_exchange_t *exchange)
{
  return exchange->method;
}

const char *
dks_exchange_path (const dks_exchange_t *exchange)
{
  return exchange->path;
}

const char *
dks_exchange_query (const dks_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char *
dks_exchange_header (const dks_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND, name);
}

int64_t
dks_exchange_query_int (const dks_exchange_t *exchange, const char *name, int64_t fallback)
{
  const char *text = dks_exchange_query (exchange, name);
  char *end;
  long long value;

  if (text == NULL)
    return fallback;
  value = strtoll (text, &end, 10);
  return end != text && *end == '\0' ? value : fallback;
}

const char *
dks_exchange_body (const dks_exchange_t *exchange, size_t *len)
{
  *len = exchange->len;
  return exchange->body;
}

void
dks_exchange_set_on_cancel (dks_exchange_t *exchange, void (*on_cancel) (void *context),
                            void *context)
{
  exchange->on_cancel = on_cancel;
  exchange->cancel_context = context;
}

void
dks_exchange_reply (dks_exchange_t *exchange, unsigned status, const char *const *headers,
                    const char *body, size_t len)
{
  exchange->status = status;
  exchange->response = MHD_create_response_from_buffer (len, (void *)body, MHD_RESPMEM_MUST_COPY);
  DKS_INVARIANT (exchange->response != NULL);
  for (; headers != NULL && headers[0] != NULL; headers += 2)
    MHD_add_response_header (exchange->response, headers[0], headers[1]);
  exchange_finish (exchange);
}

void
dks_exchange_reply_text (dks_exchange_t *exchange, unsigned status, const char *text)
{
  dks_exchange_reply (exchange, status, NULL, text, strlen (text));
}

void
dks_exchange_drop (dks_exchange_t *exchange)
{
  exchange_finish (exchange);
}
