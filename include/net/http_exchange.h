/**
 * Internals of the HTTP server, shared by http_server.c (bodies, waiting callers),
 * http_connection.c (what connections take), http_work.c (what a turn of the loop begins),
 * http_reply.c, and the interfaces that it serves: http_routes.c, and others that define a
 * dks_http_interface_t.
 */
#ifndef DKS_NET_HTTP_EXCHANGE_H
#define DKS_NET_HTTP_EXCHANGE_H

#include "net/http_json.h"
#include "net/http_server.h"

#include <apr_hash.h>
#include <apr_ring.h>
#include <microhttpd.h>

enum
{
  /** Connections accepted above max_connections, only to answer them with 503: otherwise their
   * callers would wait in the listen queue without any reply. */
  DKS_HTTP_OVER_LIMIT_MAX = 64,
  /** Retry-After, in ms, when there are too many connections, bodies or requests. */
  DKS_HTTP_OVERLOAD_RETRY_MS = 1000
};

typedef struct dks_http_exchange_t dks_http_exchange_t;
typedef struct dks_http_connection_t dks_http_connection_t;

typedef struct
{
  const char *path; /**< a path that ends in a slash also matches everything below it */
  const char *method;
  void (*handle) (dks_http_exchange_t *exchange);
  size_t body_max_bytes; /**< a longer body is answered with 413 */
  bool submits;          /**< submits work: takes the caller's idempotency key or generates one */
  /** The request is void once its caller has left: it is dropped if the caller has closed the
   * connection before it is handled. */
  bool needs_caller;
} dks_http_route_t;

/** The interface of a server: its routes, and how it turns effects of the reducer into replies. */
struct dks_http_interface_t
{
  /** Finds the route of a request; see dks_http_route_find(). */
  const dks_http_route_t *(*find_route) (const char *method, const char *path, const char **subpath,
                                         char allow[64]);
  /** Prepares the reply to the caller that `effect` answers. */
  void (*prepare_reply) (dks_http_exchange_t *exchange, const dks_effect_t *effect);
};

struct dks_http_server_t
{
  dks_loop_t *loop;
  dks_http_server_config_t config;
  dks_http_server_callbacks_t callbacks;
  char data_centre[DKS_NAME_SIZE];
  struct MHD_Daemon *daemon;
  int epoll_fd;
  dks_timer_t run_timer;
  bool in_mhd_run;  /**< within a call of MHD_run() */
  bool run_pending; /**< a connection was resumed, so MHD_run() must be called */
  bool stopping;
  bool draining;
  apr_pool_t *pool;
  apr_hash_t *callers; /**< caller id -> exchange that waits for the reducer's reply */
  uint64_t last_caller_id;
  uint64_t random_state;
  uint32_t connection_count;
  uint32_t open_requests;
  dks_timer_t callers_timer; /**< looks for callers that left behind unread input */
  dks_memory_account_t *memory;
  dks_memory_account_t *own_memory; /**< `memory` when the configuration gave none, or NULL */
  dks_memory_group_t memory_group;
  dks_memory_claim_t queue_claim; /**< of connections that wait to be accepted */
  dks_http_connection_sizes_t sizes;
  uint32_t closing_count;   /**< connections that had to give way and are not closed yet */
  uint64_t yielded_total;   /**< connections that had to give way */
  int64_t yield_logged_us;  /**< monotonic time of the last log line about them */
  uint64_t bad_input_total; /**< requests that could not be decoded */
  uint64_t work_turn;       /**< turn of the loop in which `work_left` was last set */
  int64_t work_left;        /**< units of work that may begin in that turn */
  uint64_t deferred_work;   /**< units of all deferred requests */
  APR_RING_HEAD (dks_deferred_ring_t, dks_http_exchange_t) deferred; /**< the next one first */
  dks_timer_t deferred_timer;
  dks_timer_t answers_timer; /**< looks for progress of answers while others may need the room */
};

/** A connection of a client. */
struct dks_http_connection_t
{
  dks_memory_claim_t claim; /**< INCOMPLETE while the server waits for the client */
  dks_http_server_t *server;
  struct MHD_Connection *connection;
  dks_http_exchange_t *exchange; /**< the present request, once its headers have arrived */
  bool over_limit;               /**< above max_connections; closed after the reply */
  bool closing;                  /**< had to give way */
  uint64_t acknowledged; /**< bytes of replies, when it was last considered for giving way */
};

/** One request and its reply. */
struct dks_http_exchange_t
{
  dks_http_server_t *server;
  struct MHD_Connection *connection;
  dks_http_connection_t *client;
  const dks_http_route_t *route;
  char *subpath;          /**< path below the route, without a leading slash */
  char key[DKS_KEY_SIZE]; /**< given by the caller or generated; empty when there is none */
  int64_t issued_ms;      /**< issue time of `key`, Unix ms */
  bool key_given;         /**< `key` was given by the caller */
  uint8_t *body;
  size_t body_len;
  size_t body_capacity;
  size_t body_stated;         /**< length that the caller has stated; 0 when it has not */
  size_t decode_needed_bytes; /**< estimate of what decoding takes */
  size_t decode_bytes;        /**< the same while it is under way */
  size_t answer_bytes;        /**< of the reply */
  size_t body_received;       /**< bytes received of the body, those that were dropped included */
  APR_RING_ENTRY (dks_http_exchange_t) deferred_link; /**< in `deferred` of the server */
  bool complete;                                      /**< all of the request has arrived */
  bool handled;                                       /**< the route has handled the request */
  size_t granted_bytes;  /**< of the body that may still be read without another look at the work */
  uint32_t work;         /**< units of work of the request, once it is complete */
  uint64_t caller_id;    /**< identifies the caller to the reducer; 0 before it is registered */
  bool waiting;          /**< registered, and the reducer has not replied yet */
  bool suspended;        /**< the connection is suspended in libmicrohttpd */
  bool caller_gone;      /**< the caller closed the connection */
  bool has_unread_input; /**< the caller has sent more than this request */
  bool over_limit;       /**< the connection is above max_connections; closed after the reply */
  struct MHD_Response *response;
  unsigned status;
};

/** Finds the route of a request in `table`. NULL when the path is unknown, or when the method is
 * not allowed for it; `allow` then lists the allowed methods, and is empty for an unknown path.
 * `subpath` is set to the path below the route. */
const dks_http_route_t *dks_http_route_find (const dks_http_route_t *table, size_t count,
                                             const char *method, const char *path,
                                             const char **subpath, char allow[64]);
/** Finds the route of a request in the default interface, as dks_http_route_find() does. */
const dks_http_route_t *dks_http_default_route_find (const char *method, const char *path,
                                                     const char **subpath, char allow[64]);
/** Adds a header to the prepared reply. */
void
dks_http_exchange_add_header (dks_http_exchange_t *exchange, const char *name, const char *value);
/** Adds a Retry-After header to the prepared reply, rounded up to whole seconds; none for 0. */
void dks_http_exchange_add_retry_after (dks_http_exchange_t *exchange, uint32_t retry_after_ms);

/** Prepares the reply and takes ownership of the malloc'ed `body`. Ignored when the exchange has a
 * reply already. */
void
dks_http_exchange_reply (dks_http_exchange_t *exchange, int status, const char *type, char *body);
/** Prepares an error reply with an application/problem+json body. */
void
dks_http_exchange_reply_problem (dks_http_exchange_t *exchange, const dks_http_problem_t *problem);
/** Prepares an error reply to a request that could not be decoded, and counts the request. `name`
 * is the name of the problem, as in dks_http_problem_t. */
void dks_http_exchange_reject (dks_http_exchange_t *exchange, int status, const char *name,
                               const char *detail);
/** Registers the exchange as a waiting caller and returns the caller id for an event. */
uint64_t dks_http_exchange_register_caller (dks_http_exchange_t *exchange);
/** Value of a request header, or NULL. */
const char *
dks_http_exchange_request_header (const dks_http_exchange_t *exchange, const char *name);
/** Prepares the reply for the answer to a submission, query or cancellation. */
void dks_http_exchange_reply_answer (dks_http_exchange_t *exchange, const dks_answer_t *answer);
/** Prepares the reply for the outcome of a settings edit. */
void dks_http_exchange_reply_edit (dks_http_exchange_t *exchange, const dks_effect_t *effect);

/* ---- Replies ---- */

/** Returns the problem of a request that the reducer has not received. The server does not know
 * whether an earlier submission with the caller's key has run, so the reply says "not_run" only
 * when the key has just been generated. */
dks_http_problem_t dks_http_exchange_problem (const dks_http_exchange_t *exchange, int status,
                                              const char *name, const char *detail,
                                              uint32_t retry_after_ms);
void dks_http_exchange_fail (dks_http_exchange_t *exchange, int status, const char *name,
                             const char *detail, uint32_t retry_after_ms);
/** Refuses a request for want of memory or processor time. */
void dks_http_exchange_fail_overloaded (dks_http_exchange_t *exchange, const char *detail);

/* ---- Connections ---- */

/** Whether the client has taken some of its answer since the last call. */
bool dks_http_connection_answer_progressed (dks_http_connection_t *client);
size_t dks_http_connection_sizes_total (const dks_http_connection_sizes_t *sizes);
/** What the connection holds. One that had to give way counts as freed. */
size_t dks_http_connection_bytes (const dks_http_connection_t *client);
/** States what the connection holds in the memory account. */
void dks_http_connection_account (dks_http_connection_t *client);
void dks_http_connection_set_state (dks_http_connection_t *client, dks_memory_state_t state);
/** Closes a connection whose client keeps the server waiting, and frees what it holds. One above
 * the limit of connections is answered at once and stays for that. */
bool dks_http_connection_yield (void *context, dks_memory_claim_t *claim);
void dks_http_exchange_drop_body (dks_http_exchange_t *exchange);

/* ---- Work of a turn ---- */

/** Units of work that may still begin in this turn of the loop; negative when more has begun. */
int64_t dks_http_server_work_left (dks_http_server_t *server);
void dks_http_server_spend_work (dks_http_server_t *server, size_t work);
/** Whether a request may go on at once. Those that wait go first. */
bool dks_http_server_admits_work (dks_http_server_t *server);
/** Sets the memory and the work that a complete body takes; rejects one of too many values. */
void dks_http_exchange_measure (dks_http_exchange_t *exchange);
/** Whether the request may wait for its turn. One that waits alone always may, however large. */
bool dks_http_exchange_may_wait (const dks_http_exchange_t *exchange);
/** Whether `size` bytes of the body that have arrived may be read in this turn. */
bool dks_http_exchange_may_read (dks_http_exchange_t *exchange, size_t size);
/** Lets the connection read as much of the body as it holds unread. */
void dks_http_exchange_grant_read (dks_http_exchange_t *exchange);
/** Suspends the connection until its turn; to be called from within the access handler. */
void dks_http_exchange_defer (dks_http_exchange_t *exchange);
/** Takes the exchange out of the queue of deferred ones. */
void dks_http_exchange_undefer (dks_http_exchange_t *exchange);

#endif
