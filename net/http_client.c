#include "net/http_client.h"

#include "common/alloc.h"
#include "common/error.h"

#include <apr_ring.h>
#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  REPLY_BODY_MAX_BYTES = 2 << 20,     /* by default; fits a result of DKS_PAYLOAD_MAX bytes and its
                                         envelope */
  BODY_DOUBLING_MAX_BYTES = 64 << 10, /* a larger body grows by a quarter */
  REPLY_HEAD_MAX_BYTES = 64 << 10,    /* all header lines of one reply */
  /* TCP retransmits a lost SYN after 1 s, so this allows for one lost SYN. */
  CONNECT_TIMEOUT_MS = 2000,
  IDLE_CONNECTIONS_MAX = 4096, /* that libcurl keeps open, over all hosts */
  HASH_BUCKETS = 1024
};

typedef struct http_request_t http_request_t;
typedef struct http_host_t http_host_t;
typedef struct http_connection_t http_connection_t;

APR_RING_HEAD (http_ring_t, http_request_t);

/* Requests to one origin. The limit of connections is enforced here and not by libcurl
 * (CURLMOPT_MAX_HOST_CONNECTIONS): libcurl has a single list of waiting requests for all hosts and
 * wakes one request at a time, and when the host of that request is busy, it tries no other. */
struct http_host_t
{
  http_host_t *next; /* in the bucket */
  struct http_ring_t waiting;
  size_t bucket;
  int active_count; /* requests handed to libcurl */
  char origin[];
};

struct http_request_t
{
  APR_RING_ENTRY (http_request_t) link; /* in host->waiting, or in the list of active requests */
  http_request_t *next;                 /* in the bucket of its id */
  dks_http_client_t *client;
  http_host_t *host;
  uint64_t id;
  CURL *easy;
  struct curl_slist *headers;
  dks_blob_t *body;
  dks_timer_t timeout;
  int64_t extension_us; /* of the timeout from each receipt of a part of the body, 0: none */
  dks_http_func_t func;
  void *context;
  void (*context_free) (void *context); /* may be NULL */
  uint8_t *reply_body;
  size_t reply_body_len;
  size_t reply_body_capacity;
  size_t reply_head_len;
  int64_t start_us;              /* when it was handed to libcurl */
  http_connection_t *connection; /* over which it is sent; valid while the connection is open */
  int opened_fd;                 /* socket that libcurl opened last for this request, or -1 */
  bool active;                   /* handed to libcurl */
  bool before_send_called;       /* a connection was ready for the request at least once */
  bool restart_pending;          /* to be started once more, on a new connection */
  bool restarted;
  bool too_large; /* the reply exceeds reply_max_bytes or REPLY_HEAD_MAX_BYTES */
  bool framed;    /* the reply has a Content-Length or is chunked */
  bool not_run;
  bool leaving;
  bool connection_close; /* the reply has the header Connection: close */
};

/* An open connection, by which its socket is found: before a request is sent, libcurl gives the two
 * endpoints of the connection but not the socket. */
struct http_connection_t
{
  http_connection_t *next; /* in the bucket of the local port */
  int fd;
  int64_t last_reply_us; /* when it was opened, or a reply over it last began */
  bool suspect;        /* a later request to the same server got no reply, so it may be dead too */
  char endpoints[128]; /* LOCAL_IP:PORT-REMOTE_IP:PORT */
};

struct dks_http_client_t
{
  dks_loop_t *loop;
  CURLM *multi;
  dks_timer_t curl_timer; /* next timeout of libcurl */
  int max_connections_per_host;
  size_t reply_max_bytes; /* of a body */
  uint64_t next_id;
  struct http_ring_t active;
  http_request_t *requests[HASH_BUCKETS];
  http_host_t *hosts[HASH_BUCKETS];
  http_connection_t *connections[HASH_BUCKETS];
};

static size_t
origin_bucket (const char *text, size_t len)
{
  size_t hash = 5381;

  for (size_t i = 0; i < len; i++)
    hash = hash * 33 + (unsigned char)text[i];
  return hash % HASH_BUCKETS;
}

/* Hosts are identified by their origin, which is the URL up to the path. */
static http_host_t *
host_find_or_add (dks_http_client_t *client, const char *url)
{
  const char *start = strstr (url, "://");
  size_t len;
  size_t bucket;
  http_host_t *host;

  start = start != NULL ? start + 3 : url;
  len = (size_t)(start - url) + strcspn (start, "/?#");
  bucket = origin_bucket (url, len);
  for (host = client->hosts[bucket]; host != NULL; host = host->next)
    {
      if (strncmp (host->origin, url, len) == 0 && host->origin[len] == '\0')
        return host;
    }
  host = dks_alloc (sizeof (*host) + len + 1);
  memcpy (host->origin, url, len);
  APR_RING_INIT (&host->waiting, http_request_t, link);
  host->bucket = bucket;
  host->next = client->hosts[bucket];
  client->hosts[bucket] = host;
  return host;
}

static void
host_free_if_unused (dks_http_client_t *client, http_host_t *host)
{
  http_host_t **at = &client->hosts[host->bucket];

  if (host->active_count > 0 || !APR_RING_EMPTY (&host->waiting, http_request_t, link))
    return;
  while (*at != host)
    at = &(*at)->next;
  *at = host->next;
  free (host);
}

static http_request_t *
request_find (dks_http_client_t *client, uint64_t id)
{
  http_request_t *request = client->requests[id % HASH_BUCKETS];

  while (request != NULL && request->id != id)
    request = request->next;
  return request;
}

/* Whether any byte of the request was passed to the kernel, in any of libcurl's attempts. */
static bool
request_is_sent (const http_request_t *request)
{
  long size = 0;

  curl_easy_getinfo (request->easy, CURLINFO_REQUEST_SIZE, &size);
  return size > 0;
}

static void
request_start (http_request_t *request)
{
  dks_http_client_t *client = request->client;
  CURLMcode code;

  request->active = true;
  request->start_us = dks_loop_now ().mono_us;
  request->host->active_count++;
  APR_RING_INSERT_TAIL (&client->active, request, http_request_t, link);
  code = curl_multi_add_handle (client->multi, request->easy);
  DKS_INVARIANT (code == CURLM_OK);
}

/* Removes the request from libcurl and all lists, and starts requests that wait for its host. */
static void
request_detach (http_request_t *request)
{
  dks_http_client_t *client = request->client;
  http_host_t *host = request->host;
  http_request_t **at = &client->requests[request->id % HASH_BUCKETS];

  while (*at != request)
    at = &(*at)->next;
  *at = request->next;
  dks_timer_cancel (dks_loop_timers (client->loop), &request->timeout);
  APR_RING_REMOVE (request, link);
  if (request->active)
    {
      curl_multi_remove_handle (client->multi, request->easy);
      host->active_count--;
    }
  while (host->active_count < client->max_connections_per_host
         && !APR_RING_EMPTY (&host->waiting, http_request_t, link))
    {
      http_request_t *next = APR_RING_FIRST (&host->waiting);

      APR_RING_REMOVE (next, link);
      request_start (next);
    }
  host_free_if_unused (client, host);
}

static void
request_free (http_request_t *request)
{
  curl_easy_cleanup (request->easy);
  curl_slist_free_all (request->headers);
  dks_blob_unref (request->body);
  free (request->reply_body);
  free (request);
}

/* Ends the request with its callback; `error` as in dks_http_result_t. */
static void
request_finish (http_request_t *request, int error)
{
  dks_http_result_t result = { .error = error };
  long os_error = 0;
  curl_off_t announced_bytes = 0;

  curl_easy_getinfo (request->easy, CURLINFO_OS_ERRNO, &os_error);
  curl_easy_getinfo (request->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &announced_bytes);
  result.announced_bytes = announced_bytes > 0 ? (uint64_t)announced_bytes : 0;
  result.refused = error == DKS_ERR_UNAVAILABLE && os_error == ECONNREFUSED;
  if (error == DKS_OK)
    {
      long status = 0;

      curl_easy_getinfo (request->easy, CURLINFO_RESPONSE_CODE, &status);
      result.status = (int)status;
      result.not_run = request->not_run;
      result.leaving = request->leaving || (request->connection_close && status == 503);
      result.body = dks_blob_create (request->reply_body, request->reply_body_len);
      free (request->reply_body);
      request->reply_body = NULL;
    }
  request_detach (request);
  request->func (request->context, request->id, &result);
  dks_blob_unref (result.body);
  request_free (request);
}

static int
request_error (const http_request_t *request, CURLcode code)
{
  long status = 0;

  if (code == CURLE_OK)
    {
      /* A reply that ends with its connection cannot be distinguished from a truncated one. */
      curl_easy_getinfo (request->easy, CURLINFO_RESPONSE_CODE, &status);
      return request->framed || status == 204 || status == 304 ? DKS_OK : DKS_ERR_IO;
    }
  if (request->too_large)
    return DKS_ERR_TOO_LARGE;
  return request_is_sent (request) ? DKS_ERR_IO : DKS_ERR_UNAVAILABLE;
}

/* Sends the request on a new connection. No byte of it has been sent, and its first connection has
 * been closed. */
static void
request_restart (http_request_t *request)
{
  CURLM *multi = request->client->multi;
  CURLMcode code;

  request->restart_pending = false;
  request->restarted = true;
  curl_multi_remove_handle (multi, request->easy);
  curl_easy_setopt (request->easy, CURLOPT_FRESH_CONNECT, 1L);
  code = curl_multi_add_handle (multi, request->easy);
  DKS_INVARIANT (code == CURLM_OK);
}

static void
finish_completed_requests (dks_http_client_t *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      http_request_t *request = NULL;
      CURLcode code = message->data.result;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&request);
      if (request->restart_pending)
        request_restart (request);
      else
        request_finish (request, request_error (request, code));
    }
}

static void
handle_socket (void *context, int fd, int events)
{
  dks_http_client_t *client = context;
  int running;
  int mask = 0;

  if (events & DKS_LOOP_READ)
    mask |= CURL_CSELECT_IN;
  if (events & DKS_LOOP_WRITE)
    mask |= CURL_CSELECT_OUT;
  /* DKS_LOOP_ERROR is not passed on: with a mask of 0 libcurl polls the descriptor itself, whereas
   * CURL_CSELECT_ERR would make it drop a reply that has not been read yet. */
  curl_multi_socket_action (client->multi, fd, mask, &running);
  finish_completed_requests (client);
}

static void
handle_curl_timer (void *context, int64_t now_us)
{
  dks_http_client_t *client = context;
  int running;

  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed_requests (client);
}

/* Connections to the server of the request over which nothing was received since the request was
 * sent are not used any more: when a path fails without a reset, all connections over it go silent,
 * and each further request would have to time out on one of them. */
static void
suspect_idle_connections (const http_request_t *request)
{
  char remote[80];
  char *ip = NULL;
  long port = 0;

  if (curl_easy_getinfo (request->easy, CURLINFO_PRIMARY_IP, &ip) != CURLE_OK || ip == NULL
      || curl_easy_getinfo (request->easy, CURLINFO_PRIMARY_PORT, &port) != CURLE_OK)
    return;
  snprintf (remote, sizeof (remote), "-%s:%ld", ip, port);
  for (int i = 0; i < HASH_BUCKETS; i++)
    {
      for (http_connection_t *connection = request->client->connections[i]; connection != NULL;
           connection = connection->next)
        {
          const char *end = strchr (connection->endpoints, '-');

          if (connection->last_reply_us < request->start_us && end != NULL
              && strcmp (end, remote) == 0)
            connection->suspect = true;
        }
    }
}

static void
handle_request_timeout (void *context, int64_t now_us)
{
  http_request_t *request = context;
  dks_loop_t *loop = request->client->loop;

  /* The reply may have arrived in time, and wait in its socket since. */
  if (dks_loop_polled_us (loop) < request->timeout.deadline_us)
    {
      dks_timer_set (dks_loop_timers (loop), &request->timeout, request->timeout.deadline_us);
      return;
    }
  if (request->active && request_is_sent (request))
    suspect_idle_connections (request);
  request_finish (request, request->active && request_is_sent (request) ? DKS_ERR_TIMEOUT
                                                                        : DKS_ERR_UNAVAILABLE);
}

static int
handle_socket_change (CURL *easy, curl_socket_t fd, int what, void *context, void *socket_context)
{
  dks_http_client_t *client = context;
  int events = 0;

  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= DKS_LOOP_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= DKS_LOOP_WRITE;
  return dks_loop_watch (client->loop, fd, events, handle_socket, client) == DKS_OK ? 0 : -1;
}

static int
handle_timer_change (CURLM *multi, long timeout_ms, void *context)
{
  dks_http_client_t *client = context;
  dks_timers_t *timers = dks_loop_timers (client->loop);

  if (timeout_ms < 0)
    dks_timer_cancel (timers, &client->curl_timer);
  else
    dks_timer_set (timers, &client->curl_timer,
                   dks_loop_now ().mono_us + (int64_t)timeout_ms * 1000);
  return 0;
}

static curl_socket_t
open_socket (void *context, curlsocktype purpose, struct curl_sockaddr *address)
{
  http_request_t *request = context;

  request->opened_fd =
      socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  return request->opened_fd;
}

static int
close_socket (void *context, curl_socket_t fd)
{
  dks_http_client_t *client = context;

  for (int i = 0; i < HASH_BUCKETS; i++)
    {
      http_connection_t **at = &client->connections[i];

      while (*at != NULL && (*at)->fd != fd)
        at = &(*at)->next;
      if (*at != NULL)
        {
          http_connection_t *connection = *at;

          *at = connection->next;
          free (connection);
          break;
        }
    }
  return close (fd);
}

/* Returns the connection with these endpoints. One that is not known yet is the one that `request`
 * opened last; NULL if `request` opened none. */
static http_connection_t *
connection_find_or_add (http_request_t *request, const char *endpoints, int local_port)
{
  http_connection_t **bucket = &request->client->connections[local_port % HASH_BUCKETS];
  http_connection_t *connection = *bucket;

  while (connection != NULL && strcmp (connection->endpoints, endpoints) != 0)
    connection = connection->next;
  if (connection != NULL)
    return connection;
  if (request->opened_fd < 0)
    return NULL;
  connection = dks_alloc (sizeof (*connection));
  dks_strcpy (connection->endpoints, sizeof (connection->endpoints), endpoints);
  connection->fd = request->opened_fd;
  connection->last_reply_us = dks_loop_now ().mono_us;
  connection->next = *bucket;
  *bucket = connection;
  return connection;
}

/* libcurl calls this each time before it sends the request. When a reused connection was closed
 * without a byte of reply, libcurl sends the request again, whatever its method (Curl_retry_request
 * in 7.88). The peer may have received the first copy, so the second must not be sent. */
static int
before_send (void *context, char *primary_ip, char *local_ip, int primary_port, int local_port)
{
  http_request_t *request = context;
  http_connection_t *connection;
  char endpoints[128];
  char byte;

  if (request->before_send_called && request_is_sent (request))
    return CURL_PREREQFUNC_ABORT;
  request->before_send_called = true;
  /* Bytes that arrived before the request was sent are not its reply, but libcurl would take them
   * for it; a new connection is used instead, and also in place of one that may be dead. */
  snprintf (endpoints, sizeof (endpoints), "%s:%d-%s:%d", local_ip, local_port, primary_ip,
            primary_port);
  connection = connection_find_or_add (request, endpoints, local_port);
  request->connection = connection;
  if (connection == NULL || connection->suspect
      || recv (connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
    {
      request->restart_pending = !request->restarted;
      return CURL_PREREQFUNC_ABORT;
    }
  return CURL_PREREQFUNC_OK;
}

static size_t
receive_body (char *data, size_t size, size_t count, void *context)
{
  http_request_t *request = context;
  size_t len = size * count;

  if (len > request->client->reply_max_bytes - request->reply_body_len)
    {
      request->too_large = true;
      return 0;
    }
  if (request->reply_body_len + len > request->reply_body_capacity)
    {
      size_t capacity = request->reply_body_capacity > 0 ? request->reply_body_capacity : 1024;

      while (capacity < request->reply_body_len + len)
        capacity += capacity < BODY_DOUBLING_MAX_BYTES ? capacity : capacity / 4;
      request->reply_body = dks_realloc (request->reply_body, capacity);
      request->reply_body_capacity = capacity;
    }
  if (request->extension_us > 0)
    dks_timer_set (dks_loop_timers (request->client->loop), &request->timeout,
                   dks_loop_now ().mono_us + request->extension_us);
  memcpy (request->reply_body + request->reply_body_len, data, len);
  request->reply_body_len += len;
  return len;
}

/* Whether the header line is `name` with `value`; NULL matches any value. */
static bool
header_is (const char *line, size_t len, const char *name, const char *value)
{
  size_t name_len = strlen (name);

  if (len <= name_len || line[name_len] != ':' || strncasecmp (line, name, name_len) != 0)
    return false;
  if (value == NULL)
    return true;
  line += name_len + 1;
  len -= name_len + 1;
  while (len > 0 && (*line == ' ' || *line == '\t'))
    line++, len--;
  while (len > 0 && strchr (" \t\r\n", line[len - 1]) != NULL)
    len--;
  return len == strlen (value) && strncasecmp (line, value, len) == 0;
}

static size_t
receive_header (char *data, size_t size, size_t count, void *context)
{
  http_request_t *request = context;
  size_t len = size * count;

  request->reply_head_len += len;
  if (request->reply_head_len > REPLY_HEAD_MAX_BYTES)
    {
      request->too_large = true;
      return 0;
    }
  if (len >= 5 && memcmp (data, "HTTP/", 5) == 0)
    {
      /* A status line starts a new reply: headers of an interim reply (1xx) do not count. */
      request->framed = false;
      request->not_run = false;
      request->leaving = false;
      request->connection_close = false;
      if (request->connection != NULL)
        request->connection->last_reply_us = dks_loop_now ().mono_us;
    }
  else if (header_is (data, len, "Content-Length", NULL)
           || header_is (data, len, "Transfer-Encoding", "chunked"))
    request->framed = true;
  else if (header_is (data, len, "Damaskshore-Not-Run", "1"))
    request->not_run = true;
  else if (header_is (data, len, "Damaskshore-Leaving", "1"))
    request->leaving = true;
  else if (header_is (data, len, "Connection", "close"))
    request->connection_close = true;
  return len;
}

dks_http_client_t *
dks_http_client_create (dks_loop_t *loop, int max_connections_per_host)
{
  dks_http_client_t *client = dks_alloc (sizeof (*client));

  DKS_INVARIANT (max_connections_per_host > 0);
  DKS_INVARIANT (curl_global_init (CURL_GLOBAL_DEFAULT) == CURLE_OK);
  client->loop = loop;
  client->max_connections_per_host = max_connections_per_host;
  client->reply_max_bytes = REPLY_BODY_MAX_BYTES;
  client->next_id = 1;
  APR_RING_INIT (&client->active, http_request_t, link);
  dks_timer_init (&client->curl_timer, handle_curl_timer, client);
  client->multi = curl_multi_init ();
  DKS_INVARIANT (client->multi != NULL);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, handle_socket_change);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, handle_timer_change);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  /* By default libcurl keeps four connections for each open request, and so closes idle connections
   * when few requests are open. */
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNECTIONS_MAX);
  return client;
}

void
dks_http_client_set_reply_max (dks_http_client_t *client, size_t bytes)
{
  client->reply_max_bytes = bytes;
}

void
dks_http_client_destroy (dks_http_client_t *client)
{
  if (client == NULL)
    return;
  for (int i = 0; i < HASH_BUCKETS; i++)
    {
      while (client->requests[i] != NULL)
        dks_http_client_abort (client, client->requests[i]->id);
    }
  curl_multi_cleanup (client->multi);
  dks_timer_cancel (dks_loop_timers (client->loop), &client->curl_timer);
  curl_global_cleanup ();
  free (client);
}

static bool
has_header (const char *const *headers, const char *name)
{
  for (; headers != NULL && *headers != NULL; headers++)
    {
      if (header_is (*headers, strlen (*headers), name, NULL))
        return true;
    }
  return false;
}

static void
request_add_header (http_request_t *request, const char *line)
{
  struct curl_slist *headers = curl_slist_append (request->headers, line);

  DKS_INVARIANT (headers != NULL);
  request->headers = headers;
}

static void
request_set_options (http_request_t *request, const dks_http_request_t *from)
{
  CURL *easy = request->easy;

  for (const char *const *line = from->headers; line != NULL && *line != NULL; line++)
    request_add_header (request, *line);
  /* An empty value removes a header that libcurl adds. With "Expect: 100-continue" libcurl would
   * wait up to 1 s for "100 Continue" before it sends the body. */
  request_add_header (request, "Expect:");
  if (!has_header (from->headers, "Content-Type"))
    request_add_header (request, "Content-Type:");
  curl_easy_setopt (easy, CURLOPT_URL, from->url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, request->headers);
  if (request->body != NULL || strcmp (from->method, "POST") == 0
      || strcmp (from->method, "PUT") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)(request->body != NULL ? request->body->len : 0));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        request->body != NULL ? (const char *)request->body->data : "");
    }
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, from->method);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, request);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, request->client);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, request);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, request);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, request);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, request);
}

uint64_t
dks_http_client_send (dks_http_client_t *client, const dks_http_request_t *request)
{
  http_request_t *entry = dks_alloc (sizeof (*entry));
  http_request_t **bucket;

  entry->client = client;
  entry->opened_fd = -1;
  entry->id = client->next_id++;
  entry->func = request->func;
  entry->context = request->context;
  entry->context_free = request->context_free;
  entry->extension_us = request->extends_timeout ? request->timeout_ms * 1000 : 0;
  entry->body = dks_blob_ref (request->body);
  entry->easy = curl_easy_init ();
  DKS_INVARIANT (entry->easy != NULL);
  request_set_options (entry, request);
  bucket = &client->requests[entry->id % HASH_BUCKETS];
  entry->next = *bucket;
  *bucket = entry;
  dks_timer_init (&entry->timeout, handle_request_timeout, entry);
  dks_timer_set (dks_loop_timers (client->loop), &entry->timeout,
                 dks_loop_now ().mono_us + request->timeout_ms * 1000);
  entry->host = host_find_or_add (client, request->url);
  APR_RING_ELEM_INIT (entry, link);
  if (entry->host->active_count < client->max_connections_per_host)
    request_start (entry);
  else
    APR_RING_INSERT_TAIL (&entry->host->waiting, entry, http_request_t, link);
  return entry->id;
}

void
dks_http_client_abort (dks_http_client_t *client, uint64_t id)
{
  http_request_t *request = request_find (client, id);

  if (request == NULL)
    return;
  request_detach (request);
  if (request->context_free != NULL)
    request->context_free (request->context);
  request_free (request);
}
