#include "net/peer.h"

#include "common/alloc.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"
#include "net/codec.h"
#include "net/socket.h"

#include <apr_network_io.h>
#include <apr_portable.h>
#include <apr_ring.h>
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  LENGTH_PREFIX_SIZE = 4,     /* bytes */
  HELLO_MAX_BYTES = 512,      /* size of a hello frame; a larger first frame cannot be a hello */
  HELLO_TIMEOUT_US = 5000000, /* bound of the time until a new connection has sent its hello */
  /* A SYN packet to a host that is switched off is lost, and the kernel retransmits it only after
   * 1 s, when the host may have been up for a while. A new attempt reaches it sooner. */
  CONNECT_TIMEOUT_US = 300000,
  BACKOFF_MIN_US = 100000,
  BACKOFF_MAX_US = 2000000,
  STABLE_CONNECTION_US = 2000000,   /* a connection that was up for this long resets the backoff */
  RECONNECT_DEADLINE_US = 60000000, /* an address whose attempts failed for this long is dropped */
  ACCEPT_PAUSE_US = 100000,         /* delay after an error of accept(), e.g. no free descriptor */
  PENDING_HELLOS_MAX = 256,         /* accepted connections that have sent no hello yet */
  READ_CHUNK_BYTES = 32 << 10,
  READ_PER_TURN_BYTES = 1 << 20,        /* bound of the reads from one connection in one turn */
  BUFFER_DOUBLING_MAX_BYTES = 64 << 10, /* a larger buffer grows by a quarter */
  BUFFER_KEEP_BYTES = 64 << 10,         /* an empty buffer with a larger capacity is freed */
  /* Each of the two buffers of a connection in the kernel, before its hello and after it. Only that
   * for input is in the account: output is there as backlog. */
  HELLO_SOCKET_BUFFER_BYTES = 8 << 10,
  SOCKET_BUFFER_BYTES = 32 << 10,
  LISTEN_BACKLOG = 64,
  MEMBER_BUCKETS = 64,
  /* TCP_USER_TIMEOUT: without it, a connection that broke during a network partition is detected
   * only at the next retransmission, up to 2 min after the end of the partition. */
  UNACKED_TIMEOUT_MS = 5000
};

typedef struct link_t link_t;
typedef struct endpoint_t endpoint_t;

typedef struct
{
  uint8_t *data;
  size_t start;
  size_t end;
  size_t capacity;
} buffer_t;

/* A TCP connection to another instance, opened by either side. */
struct link_t
{
  dks_memory_claim_t claim; /* of `in`; INCOMPLETE while a large frame arrives */
  APR_RING_ENTRY (link_t) all_link;
  APR_RING_ENTRY (link_t) dirty_link; /* in `dirty` of dks_peers_t, while `dirty` */
  link_t *next;                       /* next in the bucket of `member`, while `up` */
  dks_peers_t *peers;
  apr_pool_t *pool;
  apr_socket_t *socket;
  int fd;
  endpoint_t *endpoint; /* NULL if the other side opened the connection */
  bool outgoing;
  bool connecting;
  bool up;
  bool dirty;           /* has output that dks_peers_flush() has yet to write */
  bool awaits_writable; /* output is left until the descriptor is writable */
  const char *close_reason;
  int64_t up_us;
  dks_timer_t timer; /* timeout of the connect or the hello, or deferred close */
  buffer_t in;
  buffer_t out;
  char member[DKS_NAME_SIZE];
  char data_centre[DKS_NAME_SIZE];
  char address[DKS_ADDRESS_SIZE]; /* address of the other side, for logs */
};

/* An address to which a connection is kept, with reconnects after a failure. */
struct endpoint_t
{
  APR_RING_ENTRY (endpoint_t) link;
  dks_peers_t *peers;
  link_t *connection;
  dks_timer_t timer;
  int64_t backoff_us;
  int64_t failing_since_us;   /* start of the current series of failures, or 0 if none */
  bool is_self;               /* the address reaches this instance itself */
  char member[DKS_NAME_SIZE]; /* member id in the last hello from this address, or empty */
  char address[DKS_ADDRESS_SIZE];
};

struct dks_peers_t
{
  dks_loop_t *loop;
  dks_peer_callbacks_t callbacks;
  char member[DKS_NAME_SIZE];
  char data_centre[DKS_NAME_SIZE];
  apr_pool_t *pool;
  apr_socket_t *listener;
  int listener_fd;
  dks_timer_t accept_timer;
  int pending_hellos;
  APR_RING_HEAD (link_ring_t, link_t) links;
  APR_RING_HEAD (dirty_ring_t, link_t) dirty;
  APR_RING_HEAD (endpoint_ring_t, endpoint_t) endpoints;
  link_t *members[MEMBER_BUCKETS];
  size_t backlog; /* unsent bytes of all connections */
  size_t backlog_max;
  size_t link_backlog_max;
  dks_memory_account_t *own_memory; /* when the configuration gave none, or NULL */
  dks_memory_group_t memory_group;
  dks_memory_claim_t backlog_claim;
};

static void handle_link (void *context, int fd, int events);
static void endpoint_schedule_connect (endpoint_t *endpoint);
static void endpoint_connect_now (endpoint_t *endpoint);

/* Buffers */

static size_t
buffer_len (const buffer_t *buffer)
{
  return buffer->end - buffer->start;
}

/* Returns space for `size` bytes after the content. */
static uint8_t *
buffer_reserve (buffer_t *buffer, size_t size)
{
  /* The content moves only when it is less than half of the capacity, which keeps the cost per byte
   * constant. */
  if (buffer->start > buffer->capacity / 2 && buffer->end + size > buffer->capacity)
    {
      memmove (buffer->data, buffer->data + buffer->start, buffer_len (buffer));
      buffer->end -= buffer->start;
      buffer->start = 0;
    }
  if (buffer->end + size > buffer->capacity)
    {
      size_t capacity = buffer->capacity > 0 ? buffer->capacity : READ_CHUNK_BYTES;

      while (capacity < buffer->end + size)
        capacity += capacity < BUFFER_DOUBLING_MAX_BYTES ? capacity : capacity / 4;
      buffer->data = dks_realloc (buffer->data, capacity);
      buffer->capacity = capacity;
    }
  return buffer->data + buffer->end;
}

static void
buffer_consume (buffer_t *buffer, size_t size)
{
  buffer->start += size;
  if (buffer->start < buffer->end)
    return;
  buffer->start = buffer->end = 0;
  if (buffer->capacity <= BUFFER_KEEP_BYTES)
    return;
  free (buffer->data);
  *buffer = (buffer_t){ 0 };
}

/* Addresses */

/* Accepts only numeric addresses, because the lookup of a host name would block the loop. */
static int
address_parse (const char *text, apr_pool_t *pool, apr_sockaddr_t **address)
{
  struct in6_addr number;
  char *host = NULL;
  char *scope = NULL;
  apr_port_t port = 0;

  if (apr_parse_addr_port (&host, &scope, &port, text, pool) != APR_SUCCESS || host == NULL
      || scope != NULL)
    return DKS_ERR_INVALID;
  if (inet_pton (AF_INET, host, &number) != 1 && inet_pton (AF_INET6, host, &number) != 1)
    return DKS_ERR_INVALID;
  if (apr_sockaddr_info_get (address, host, APR_UNSPEC, port, 0, pool) != APR_SUCCESS)
    return DKS_ERR_INVALID;
  return DKS_OK;
}

/* Connections */

static link_t **
members_bucket (dks_peers_t *peers, const char *member)
{
  return &peers->members[dks_hash_text (member, 0) % MEMBER_BUCKETS];
}

static link_t *
members_find (dks_peers_t *peers, const char *member)
{
  link_t *link = *members_bucket (peers, member);

  while (link != NULL && strcmp (link->member, member) != 0)
    link = link->next;
  return link;
}

static void
members_remove (link_t *link)
{
  link_t **at = members_bucket (link->peers, link->member);

  while (*at != link)
    at = &(*at)->next;
  *at = link->next;
}

/* Closes and frees the connection without a callback. */
static void
link_free (link_t *link)
{
  dks_peers_t *peers = link->peers;

  dks_timer_cancel (dks_loop_timers (peers->loop), &link->timer);
  dks_loop_watch (peers->loop, link->fd, 0, NULL, NULL);
  APR_RING_REMOVE (link, all_link);
  if (link->dirty)
    APR_RING_REMOVE (link, dirty_link);
  if (!link->outgoing && !link->up)
    peers->pending_hellos--;
  if (link->up)
    members_remove (link);
  if (link->endpoint != NULL)
    link->endpoint->connection = NULL;
  peers->backlog -= buffer_len (&link->out);
  dks_memory_claim_remove (&link->claim);
  apr_pool_destroy (link->pool);
  free (link->in.data);
  free (link->out.data);
  free (link);
}

/* Closes and frees the connection, schedules reconnects and reports a member that is down. */
static void
link_close (link_t *link, const char *reason)
{
  dks_peers_t *peers = link->peers;
  endpoint_t *own_endpoint = link->endpoint;
  bool was_up = link->up;
  bool was_stable = was_up && dks_loop_now ().mono_us - link->up_us >= STABLE_CONNECTION_US;
  char member[DKS_NAME_SIZE];
  endpoint_t *endpoint;

  dks_strcpy (member, sizeof (member), link->member);
  /* A failed attempt to connect is logged only at debug level: attempts are repeated, and fail, as
   * long as the other instance is down. */
  dks_log (was_up || !link->outgoing ? DKS_LOG_NOTICE : DKS_LOG_DEBUG,
           "event=peer-closed address=%s member=%s up=%d reason=\"%s\"", link->address,
           member[0] != '\0' ? member : "-", was_up, reason);
  if (own_endpoint != NULL && was_stable)
    own_endpoint->backoff_us = BACKOFF_MIN_US;
  link_free (link);
  if (own_endpoint != NULL && was_stable)
    endpoint_connect_now (own_endpoint);
  else if (own_endpoint != NULL)
    endpoint_schedule_connect (own_endpoint);
  if (!was_up)
    return;
  APR_RING_FOREACH (endpoint, &peers->endpoints, endpoint_t, link)
    {
      if (strcmp (endpoint->member, member) == 0 && was_stable)
        endpoint_connect_now (endpoint);
      else if (strcmp (endpoint->member, member) == 0)
        endpoint_schedule_connect (endpoint);
    }
  peers->callbacks.down (peers->callbacks.context, member);
}

static void
handle_link_timer (void *context, int64_t now_us)
{
  link_t *link = context;

  if (link->close_reason != NULL)
    link_close (link, link->close_reason);
  else if (link->connecting)
    link_close (link, "connect timed out");
  else
    link_close (link, "no hello in time");
}

/* Closes the connection in the next turn, for functions of the public interface, during which no
 * callback may be called. */
static void
link_close_later (link_t *link, const char *reason)
{
  if (link->close_reason != NULL)
    return;
  link->close_reason = reason;
  dks_timer_set (dks_loop_timers (link->peers->loop), &link->timer, dks_loop_now ().mono_us);
}

/* Closes a connection over which a large frame has stopped, for want of memory. */
static bool
handle_yield (void *context, dks_memory_claim_t *claim)
{
  link_t *link = (link_t *)claim;

  dks_memory_claim_set_state (claim, DKS_MEMORY_HELD, dks_loop_now ().mono_us);
  dks_memory_claim_set (claim, 0);
  free (link->in.data);
  link->in = (buffer_t){ 0 };
  link_close_later (link, "no progress while memory is short");
  return true;
}

/* Accounts for the input buffer after it may have changed. Returns false if there is no memory. */
static bool
link_account (link_t *link)
{
  size_t bytes = link->claim.base_bytes + link->in.capacity;
  dks_memory_state_t state =
      buffer_len (&link->in) > DKS_MEMORY_SMALL_BYTES ? DKS_MEMORY_INCOMPLETE : DKS_MEMORY_HELD;

  if (link->claim.state != state)
    dks_memory_claim_set_state (&link->claim, state, dks_loop_now ().mono_us);
  if (bytes > link->claim.bytes)
    return link->up ? dks_memory_claim_grow_preferred (&link->claim, bytes, dks_loop_now ().mono_us)
                    : dks_memory_claim_grow (&link->claim, bytes, dks_loop_now ().mono_us);
  dks_memory_claim_set (&link->claim, bytes);
  return true;
}

static int
link_watch (link_t *link)
{
  int events = link->connecting || link->awaits_writable ? DKS_LOOP_WRITE : 0;

  if (!link->connecting)
    events |= DKS_LOOP_READ;
  return dks_loop_watch (link->peers->loop, link->fd, events, handle_link, link);
}

/* Timeout of the next attempt, until the hello has arrived. It grows with the backoff, because a
 * route can have a longer round trip than usual. */
static int64_t
endpoint_timeout_us (const endpoint_t *endpoint)
{
  int64_t timeout_us = CONNECT_TIMEOUT_US + 2 * endpoint->backoff_us;

  return timeout_us < HELLO_TIMEOUT_US ? timeout_us : HELLO_TIMEOUT_US;
}

/* Takes ownership of `pool` and of its `socket`. Returns NULL if the socket cannot be watched; the
 * pool is destroyed then. */
static link_t *
link_create (dks_peers_t *peers, apr_pool_t *pool, apr_socket_t *socket, endpoint_t *endpoint,
             const char *address)
{
  link_t *link = dks_alloc (sizeof (*link));
  int on = 1;
  int timeout_ms = UNACKED_TIMEOUT_MS;

  link->peers = peers;
  link->pool = pool;
  link->socket = socket;
  link->endpoint = endpoint;
  link->outgoing = endpoint != NULL;
  link->connecting = endpoint != NULL;
  dks_strcpy (link->address, sizeof (link->address), address);
  dks_timer_init (&link->timer, handle_link_timer, link);
  apr_os_sock_get (&link->fd, socket);
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  setsockopt (link->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  setsockopt (link->fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof (on));
  setsockopt (link->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof (timeout_ms));
  dks_socket_bound_buffers (link->fd, HELLO_SOCKET_BUFFER_BYTES, HELLO_SOCKET_BUFFER_BYTES);
  if (link_watch (link) != DKS_OK)
    {
      apr_pool_destroy (pool);
      free (link);
      return NULL;
    }
  APR_RING_INSERT_TAIL (&peers->links, link, link_t, all_link);
  dks_memory_claim_add (&link->claim, &peers->memory_group, dks_loop_now ().mono_us);
  dks_memory_claim_set_state (&link->claim, DKS_MEMORY_HELD, dks_loop_now ().mono_us);
  link->claim.base_bytes = HELLO_SOCKET_BUFFER_BYTES;
  dks_memory_claim_set (&link->claim, link->claim.base_bytes);
  if (endpoint != NULL)
    endpoint->connection = link;
  else
    peers->pending_hellos++;
  dks_timer_set (
      dks_loop_timers (peers->loop), &link->timer,
      dks_loop_now ().mono_us
          + (endpoint != NULL ? endpoint_timeout_us (endpoint) : (int64_t)HELLO_TIMEOUT_US));
  return link;
}

/* Writes as many bytes as the kernel accepts without blocking. Returns false on an error. */
static bool
link_write (link_t *link)
{
  while (buffer_len (&link->out) > 0)
    {
      ssize_t n = send (link->fd, link->out.data + link->out.start, buffer_len (&link->out),
                        MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno != EAGAIN)
        return false;
      if (n < 0)
        break;
      buffer_consume (&link->out, (size_t)n);
      link->peers->backlog -= (size_t)n;
    }
  if (link->awaits_writable != (buffer_len (&link->out) > 0))
    {
      link->awaits_writable = !link->awaits_writable;
      return link_watch (link) == DKS_OK;
    }
  return true;
}

static void
link_append (link_t *link, const uint8_t *frame, size_t len)
{
  memcpy (buffer_reserve (&link->out, len), frame, len);
  link->out.end += len;
  link->peers->backlog += len;
}

static bool
link_send_hello (link_t *link, bool duplicate)
{
  dks_peers_t *peers = link->peers;
  uint8_t *frame;
  size_t len;

  dks_codec_encode_hello (peers->member, peers->data_centre, duplicate, &frame, &len);
  link_append (link, frame, len);
  free (frame);
  return link_write (link);
}

/* Enlarges the buffers in the kernel when there is memory for them; otherwise the connection goes
 * on with small ones. */
static void
link_enlarge_buffers (link_t *link)
{
  if (!dks_memory_claim_grow_preferred (&link->claim, SOCKET_BUFFER_BYTES + link->in.capacity,
                                        dks_loop_now ().mono_us))
    return;
  link->claim.base_bytes = SOCKET_BUFFER_BYTES;
  dks_socket_bound_buffers (link->fd, SOCKET_BUFFER_BYTES, SOCKET_BUFFER_BYTES);
}

static void
link_set_up (link_t *link)
{
  dks_peers_t *peers = link->peers;
  link_t **bucket = members_bucket (peers, link->member);

  dks_timer_cancel (dks_loop_timers (peers->loop), &link->timer);
  if (!link->outgoing)
    peers->pending_hellos--;
  link->up = true;
  link->up_us = dks_loop_now ().mono_us;
  link->next = *bucket;
  *bucket = link;
  link_enlarge_buffers (link);
  if (link->endpoint != NULL)
    link->endpoint->failing_since_us = 0;
  dks_log (DKS_LOG_NOTICE, "event=peer-up address=%s member=%s data_centre=%s outgoing=%d",
           link->address, link->member, link->data_centre, link->outgoing);
  peers->callbacks.up (peers->callbacks.context, link->member, link->data_centre);
}

/* Handles the hello of the instance that opened the connection. The side that accepted the
 * connection decides whether it is used: it refuses a duplicate of a connection that it has opened
 * itself. A second connection from the same opener means that the opener has lost the first one. */
static bool
link_handle_opener_hello (link_t *link)
{
  link_t *other = members_find (link->peers, link->member);

  if (other != NULL && other->outgoing)
    {
      link_send_hello (link, true);
      link_close (link, "duplicate");
      return false;
    }
  if (other != NULL)
    link_close (other, "replaced by a new connection");
  if (!link_send_hello (link, false))
    {
      link_close (link, "write error");
      return false;
    }
  link_set_up (link);
  return true;
}

/* Handles the hello with which the other side accepts or refuses this connection. In the meantime
 * this instance may have accepted a connection that the other side opened. Both sides then know
 * both connections, and both keep the one opened by the instance with the smaller member id. */
static bool
link_handle_hello_reply (link_t *link, bool duplicate)
{
  dks_peers_t *peers = link->peers;
  link_t *other = members_find (peers, link->member);

  dks_strcpy (link->endpoint->member, sizeof (link->endpoint->member), link->member);
  if (duplicate)
    {
      link_close (link, "duplicate");
      return false;
    }
  if (other != NULL && !other->outgoing && strcmp (peers->member, link->member) > 0)
    {
      link_close (link, "duplicate");
      return false;
    }
  if (other != NULL)
    link_close (other, "replaced by a new connection");
  link_set_up (link);
  return true;
}

static bool
link_handle_hello (link_t *link, const uint8_t *data, size_t len)
{
  bool duplicate;

  if (dks_codec_decode_hello (data, len, link->member, link->data_centre, &duplicate) != DKS_OK)
    {
      link->member[0] = '\0';
      link_close (link, "bad hello");
      return false;
    }
  if (strcmp (link->member, link->peers->member) == 0)
    {
      if (link->endpoint != NULL)
        link->endpoint->is_self = true;
      else
        link_send_hello (link, true);
      link_close (link, "connection to self");
      return false;
    }
  return link->outgoing ? link_handle_hello_reply (link, duplicate)
                        : link_handle_opener_hello (link);
}

static bool
link_handle_message (link_t *link, const uint8_t *data, size_t len)
{
  dks_peers_t *peers = link->peers;
  dks_msg_t *msg;
  int error = dks_codec_decode (data, len, &msg);

  if (error != DKS_OK)
    {
      link_close (link, "bad message");
      return false;
    }
  peers->callbacks.message (peers->callbacks.context, link->member, msg);
  dks_msg_unref (msg);
  return link->close_reason == NULL;
}

/* Handles all complete frames in the input buffer. Returns false if the connection has been freed
 * or is about to be closed. */
static bool
link_handle_frames (link_t *link)
{
  while (buffer_len (&link->in) >= LENGTH_PREFIX_SIZE)
    {
      const uint8_t *data = link->in.data + link->in.start;
      size_t len = (size_t)data[0] << 24 | (size_t)data[1] << 16 | (size_t)data[2] << 8 | data[3];

      if (len > (link->up ? DKS_FRAME_MAX : HELLO_MAX_BYTES))
        {
          link_close (link, "frame too large");
          return false;
        }
      if (buffer_len (&link->in) < LENGTH_PREFIX_SIZE + len)
        break;
      if (!(link->up ? link_handle_message (link, data + LENGTH_PREFIX_SIZE, len)
                     : link_handle_hello (link, data + LENGTH_PREFIX_SIZE, len)))
        return false;
      buffer_consume (&link->in, LENGTH_PREFIX_SIZE + len);
    }
  return true;
}

static void
link_read (link_t *link)
{
  for (size_t total = 0; total < READ_PER_TURN_BYTES;)
    {
      uint8_t *space = buffer_reserve (&link->in, READ_CHUNK_BYTES);
      ssize_t n;

      if (!link_account (link))
        {
          link_close (link, "memory is short");
          return;
        }
      n = recv (link->fd, space, READ_CHUNK_BYTES, MSG_DONTWAIT);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        return;
      if (n <= 0)
        {
          link_close (link, n == 0 ? "closed by the other side" : "read error");
          return;
        }
      link->in.end += (size_t)n;
      total += (size_t)n;
      dks_memory_claim_progress (&link->claim, (size_t)n, dks_loop_polled_us (link->peers->loop));
      if (!link_handle_frames (link))
        return;
      if (n < READ_CHUNK_BYTES)
        {
          link_account (link);
          return;
        }
    }
}

static void
endpoint_report_refused (const endpoint_t *endpoint)
{
  const dks_peer_callbacks_t *callbacks = &endpoint->peers->callbacks;

  if (callbacks->refused != NULL)
    callbacks->refused (callbacks->context, endpoint->address);
}

static void
link_handle_connected (link_t *link)
{
  struct sockaddr_storage address;
  socklen_t size = sizeof (address);
  int error = 0;
  socklen_t error_size = sizeof (error);

  getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &error_size);
  if (error != 0)
    {
      endpoint_t *endpoint = link->endpoint;

      link_close (link, strerror (error));
      if (error == ECONNREFUSED)
        endpoint_report_refused (endpoint);
      return;
    }
  /* Not connected yet: the event can be one of an earlier connection with the same descriptor. */
  if (getpeername (link->fd, (struct sockaddr *)&address, &size) != 0)
    return;
  link->connecting = false;
  if (link_watch (link) != DKS_OK || !link_send_hello (link, false))
    link_close (link, "write error");
}

static void
handle_link (void *context, int fd, int events)
{
  link_t *link = context;

  if (link->close_reason != NULL)
    return;
  if (link->connecting)
    {
      link_handle_connected (link);
      return;
    }
  if ((events & DKS_LOOP_WRITE) && !link_write (link))
    {
      link_close (link, "write error");
      return;
    }
  if (events & (DKS_LOOP_READ | DKS_LOOP_ERROR))
    link_read (link);
}

/* Endpoints */

static void
endpoint_free (endpoint_t *endpoint)
{
  dks_timer_cancel (dks_loop_timers (endpoint->peers->loop), &endpoint->timer);
  APR_RING_REMOVE (endpoint, link);
  free (endpoint);
}

/* Whether any connection to the member at this address is up, also one opened by that member. */
static bool
endpoint_is_connected (const endpoint_t *endpoint)
{
  return endpoint->member[0] != '\0' && members_find (endpoint->peers, endpoint->member) != NULL;
}

static void
endpoint_connect (endpoint_t *endpoint)
{
  dks_peers_t *peers = endpoint->peers;
  apr_pool_t *pool = NULL;
  apr_sockaddr_t *address;
  apr_socket_t *socket;
  apr_status_t status;

  apr_pool_create (&pool, peers->pool);
  if (address_parse (endpoint->address, pool, &address) != DKS_OK
      || apr_socket_create (&socket, address->family, SOCK_STREAM, APR_PROTO_TCP, pool)
             != APR_SUCCESS)
    {
      apr_pool_destroy (pool);
      endpoint_schedule_connect (endpoint);
      return;
    }
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  status = apr_socket_connect (socket, address);
  if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS (status))
    {
      apr_pool_destroy (pool);
      endpoint_schedule_connect (endpoint);
      if (APR_STATUS_IS_ECONNREFUSED (status))
        endpoint_report_refused (endpoint);
      return;
    }
  if (link_create (peers, pool, socket, endpoint, endpoint->address) == NULL)
    endpoint_schedule_connect (endpoint);
}

/* Schedules the next attempt to connect, after a connection ended or an attempt failed. */
static void
endpoint_schedule_connect (endpoint_t *endpoint)
{
  int64_t now_us = dks_loop_now ().mono_us;

  if (endpoint->connection != NULL || dks_timer_is_armed (&endpoint->timer))
    return;
  if (endpoint->failing_since_us == 0)
    endpoint->failing_since_us = now_us;
  dks_timer_set (dks_loop_timers (endpoint->peers->loop), &endpoint->timer,
                 now_us + endpoint->backoff_us);
  endpoint->backoff_us =
      2 * endpoint->backoff_us < BACKOFF_MAX_US ? 2 * endpoint->backoff_us : BACKOFF_MAX_US;
}

/* Connects in the next turn, after the end of a connection that had been up for a while: a refusal
 * shows that the other process has ended. */
static void
endpoint_connect_now (endpoint_t *endpoint)
{
  int64_t now_us = dks_loop_now ().mono_us;

  if (endpoint->connection != NULL || dks_timer_is_armed (&endpoint->timer))
    return;
  if (endpoint->failing_since_us == 0)
    endpoint->failing_since_us = now_us;
  dks_timer_set (dks_loop_timers (endpoint->peers->loop), &endpoint->timer, now_us);
}

static void
handle_endpoint_timer (void *context, int64_t now_us)
{
  endpoint_t *endpoint = context;

  if (endpoint->is_self)
    return;
  if (endpoint_is_connected (endpoint))
    {
      endpoint->failing_since_us = 0;
      endpoint->backoff_us = BACKOFF_MIN_US;
      return;
    }
  if (endpoint->failing_since_us != 0
      && now_us - endpoint->failing_since_us >= RECONNECT_DEADLINE_US)
    {
      dks_log (DKS_LOG_NOTICE, "event=peer-given-up address=%s", endpoint->address);
      endpoint_free (endpoint);
      return;
    }
  endpoint_connect (endpoint);
}

void
dks_peers_connect (dks_peers_t *peers, const char *address)
{
  endpoint_t *endpoint;
  apr_sockaddr_t *parsed;
  apr_pool_t *pool = NULL;
  int error;

  APR_RING_FOREACH (endpoint, &peers->endpoints, endpoint_t, link)
    {
      if (strcmp (endpoint->address, address) != 0)
        continue;
      if (endpoint->failing_since_us != 0)
        endpoint->failing_since_us = dks_loop_now ().mono_us;
      return;
    }
  apr_pool_create (&pool, peers->pool);
  error = address_parse (address, pool, &parsed);
  if (error == DKS_OK && (parsed->port == 0 || strlen (address) >= DKS_ADDRESS_SIZE))
    error = DKS_ERR_INVALID;
  apr_pool_destroy (pool);
  if (error != DKS_OK)
    {
      dks_log (DKS_LOG_WARNING, "event=peer-bad-address address=\"%.64s\"", address);
      return;
    }
  endpoint = dks_alloc (sizeof (*endpoint));
  endpoint->peers = peers;
  endpoint->backoff_us = BACKOFF_MIN_US;
  dks_strcpy (endpoint->address, sizeof (endpoint->address), address);
  dks_timer_init (&endpoint->timer, handle_endpoint_timer, endpoint);
  APR_RING_INSERT_TAIL (&peers->endpoints, endpoint, endpoint_t, link);
  /* Connects in the next turn, as no callback may be called from within this function. */
  dks_timer_set (dks_loop_timers (peers->loop), &endpoint->timer, dks_loop_now ().mono_us);
}

void
dks_peers_close (dks_peers_t *peers, const char *member)
{
  link_t *link = members_find (peers, member);

  if (link != NULL)
    link_close_later (link, "silent");
}

/* Listening */

static void
handle_listener (void *context, int fd, int events)
{
  dks_peers_t *peers = context;

  for (;;)
    {
      apr_pool_t *pool = NULL;
      apr_socket_t *socket = NULL;
      apr_sockaddr_t *from = NULL;
      apr_status_t status;
      char host[48] = "";
      char address[DKS_ADDRESS_SIZE];

      apr_pool_create (&pool, peers->pool);
      status = apr_socket_accept (&socket, peers->listener, pool);
      if (status != APR_SUCCESS)
        {
          apr_pool_destroy (pool);
          if (APR_STATUS_IS_EAGAIN (status))
            return;
          if (status == ECONNABORTED || APR_STATUS_IS_EINTR (status))
            continue;
          dks_log (DKS_LOG_ERROR, "event=peer-accept-failed errno=%d", (int)status);
          dks_loop_watch (peers->loop, fd, 0, NULL, NULL);
          dks_timer_set (dks_loop_timers (peers->loop), &peers->accept_timer,
                         dks_loop_now ().mono_us + ACCEPT_PAUSE_US);
          return;
        }
      if (apr_socket_addr_get (&from, APR_REMOTE, socket) == APR_SUCCESS)
        apr_sockaddr_ip_getbuf (host, sizeof (host), from);
      snprintf (address, sizeof (address), "%s:%u", host, from != NULL ? from->port : 0U);
      if (peers->pending_hellos >= PENDING_HELLOS_MAX)
        {
          dks_log (DKS_LOG_WARNING, "event=peer-refused address=%s reason=\"too many connections\"",
                   address);
          apr_pool_destroy (pool);
          continue;
        }
      link_create (peers, pool, socket, NULL, address);
    }
}

static void
handle_accept_timer (void *context, int64_t now_us)
{
  dks_peers_t *peers = context;

  if (dks_loop_watch (peers->loop, peers->listener_fd, DKS_LOOP_READ, handle_listener, peers)
      != DKS_OK)
    dks_timer_set (dks_loop_timers (peers->loop), &peers->accept_timer, now_us + ACCEPT_PAUSE_US);
}

static int
peers_listen (dks_peers_t *peers, const char *text)
{
  apr_sockaddr_t *address;
  int error = address_parse (text, peers->pool, &address);

  if (error != DKS_OK)
    return error;
  if (apr_socket_create (&peers->listener, address->family, SOCK_STREAM, APR_PROTO_TCP, peers->pool)
      != APR_SUCCESS)
    return DKS_ERR_IO;
  apr_socket_opt_set (peers->listener, APR_SO_REUSEADDR, 1);
  apr_socket_opt_set (peers->listener, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (peers->listener, 0);
  apr_os_sock_get (&peers->listener_fd, peers->listener);
  dks_socket_bound_buffers (peers->listener_fd, HELLO_SOCKET_BUFFER_BYTES,
                            HELLO_SOCKET_BUFFER_BYTES);
  if (apr_socket_bind (peers->listener, address) != APR_SUCCESS
      || apr_socket_listen (peers->listener, LISTEN_BACKLOG) != APR_SUCCESS)
    return DKS_ERR_IO;
  return dks_loop_watch (peers->loop, peers->listener_fd, DKS_LOOP_READ, handle_listener, peers);
}

static void
peers_open_account (dks_peers_t *peers, dks_memory_account_t *memory)
{
  size_t limit;

  if (memory == NULL)
    memory = peers->own_memory = dks_memory_account_create (dks_memory_limit (UINT64_MAX));
  limit = dks_memory_account_limit (memory);
  peers->link_backlog_max =
      limit / 2 < DKS_PEER_BACKLOG_MAX ? limit / 2 : (size_t)DKS_PEER_BACKLOG_MAX;
  peers->backlog_max =
      limit / 4 * 3 < DKS_PEERS_BACKLOG_MAX ? limit / 4 * 3 : (size_t)DKS_PEERS_BACKLOG_MAX;
  dks_memory_group_init (&peers->memory_group, memory, handle_yield, peers);
  dks_memory_claim_add (&peers->backlog_claim, &peers->memory_group, 0);
  dks_memory_claim_set_state (&peers->backlog_claim, DKS_MEMORY_HELD, 0);
}

static void
peers_free (dks_peers_t *peers)
{
  dks_memory_claim_remove (&peers->backlog_claim);
  dks_memory_group_remove (&peers->memory_group);
  dks_memory_account_destroy (peers->own_memory);
  free (peers);
}

int
dks_peers_create (dks_loop_t *loop, const dks_peer_config_t *config,
                  const dks_peer_callbacks_t *callbacks, dks_peers_t **peers)
{
  dks_peers_t *p = dks_alloc (sizeof (*p));
  int error;

  p->loop = loop;
  p->callbacks = *callbacks;
  p->listener_fd = -1;
  APR_RING_INIT (&p->links, link_t, all_link);
  APR_RING_INIT (&p->dirty, link_t, dirty_link);
  APR_RING_INIT (&p->endpoints, endpoint_t, link);
  dks_timer_init (&p->accept_timer, handle_accept_timer, p);
  DKS_INVARIANT (apr_pool_create (&p->pool, NULL) == APR_SUCCESS);
  peers_open_account (p, config->memory);
  if (config->member[0] == '\0' || config->data_centre[0] == '\0'
      || dks_strcpy (p->member, sizeof (p->member), config->member) != DKS_OK
      || dks_strcpy (p->data_centre, sizeof (p->data_centre), config->data_centre) != DKS_OK)
    error = DKS_ERR_INVALID;
  else
    error = peers_listen (p, config->address);
  if (error != DKS_OK)
    {
      apr_pool_destroy (p->pool);
      peers_free (p);
      return error;
    }
  *peers = p;
  return DKS_OK;
}

void
dks_peers_destroy (dks_peers_t *peers)
{
  link_t *link;
  link_t *next_link;
  endpoint_t *endpoint;
  endpoint_t *next_endpoint;

  if (peers == NULL)
    return;
  APR_RING_FOREACH_SAFE (link, next_link, &peers->links, link_t, all_link)
    {
      link_free (link);
    }
  APR_RING_FOREACH_SAFE (endpoint, next_endpoint, &peers->endpoints, endpoint_t, link)
    {
      endpoint_free (endpoint);
    }
  dks_timer_cancel (dks_loop_timers (peers->loop), &peers->accept_timer);
  dks_loop_watch (peers->loop, peers->listener_fd, 0, NULL, NULL);
  apr_pool_destroy (peers->pool);
  peers_free (peers);
}

/* The bytes of a connection that is about to be closed count until then, so that one is closed for
 * one excess. */
static void
close_largest_backlog (dks_peers_t *peers)
{
  size_t closing_bytes = 0;
  link_t *largest = NULL;
  link_t *link;

  APR_RING_FOREACH (link, &peers->links, link_t, all_link)
    {
      if (link->close_reason != NULL)
        closing_bytes += buffer_len (&link->out);
      else if (largest == NULL || buffer_len (&link->out) > buffer_len (&largest->out))
        largest = link;
    }
  if (largest != NULL && peers->backlog - closing_bytes > peers->backlog_max)
    link_close_later (largest, "largest of too large backlogs");
}

size_t
dks_peers_backlog (const dks_peers_t *peers)
{
  return peers->backlog;
}

void
dks_peers_send (dks_peers_t *peers, const char *member, const dks_msg_t *msg)
{
  link_t *link = members_find (peers, member);
  uint8_t *frame;
  size_t len;

  if (link == NULL || link->close_reason != NULL)
    return;
  dks_codec_encode (msg, &frame, &len);
  if (len - LENGTH_PREFIX_SIZE > DKS_FRAME_MAX)
    {
      /* The other side would close the connection on a frame of this size. */
      dks_log (DKS_LOG_ERROR, "event=peer-message-dropped member=%s type=%s bytes=%zu", member,
               dks_msg_name (msg->type), len);
    }
  else if (buffer_len (&link->out) + len > peers->link_backlog_max)
    link_close_later (link, "backlog too large");
  else
    {
      link_append (link, frame, len);
      if (!link->dirty)
        {
          link->dirty = true;
          APR_RING_INSERT_TAIL (&peers->dirty, link, link_t, dirty_link);
        }
      if (peers->backlog > peers->backlog_max)
        close_largest_backlog (peers);
    }
  free (frame);
}

void
dks_peers_flush (dks_peers_t *peers)
{
  while (!APR_RING_EMPTY (&peers->dirty, link_t, dirty_link))
    {
      link_t *link = APR_RING_FIRST (&peers->dirty);

      APR_RING_REMOVE (link, dirty_link);
      link->dirty = false;
      /* While the descriptor is not writable, send() would fail: a wasted system call. */
      if (link->close_reason == NULL && !link->awaits_writable && !link_write (link))
        link_close_later (link, "write error");
    }
  dks_memory_claim_set (&peers->backlog_claim, peers->backlog);
}
