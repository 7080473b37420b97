/**
 * Shared by the two parts of the HTTP server: http_server.c (connections, bodies, waiting callers)
 * and http_routes.c (what each path does). Not used elsewhere.
 */
#ifndef DKS_NET_HTTP_EXCHANGE_H
#define DKS_NET_HTTP_EXCHANGE_H

#include "net/http_json.h"
#include "net/http_server.h"

#include <apr_hash.h>
#include <microhttpd.h>

typedef struct dks_http_exchange_t dks_http_exchange_t;

typedef struct
{
  const char *path; /**< a path that ends in a slash also matches everything below it */
  const char *method;
  void (*handle) (dks_http_exchange_t *exchange);
  size_t body_max_bytes; /**< bytes; a longer body is answered with 413 */
  bool submits;          /**< takes or generates an idempotency key */
} dks_http_route_t;

/** What a server speaks: its paths, and the form of answers of the reducer. */
struct dks_http_interface_t
{
  /** Route of a request; see dks_http_route_find(). */
  const dks_http_route_t *(*find_route) (const char *method, const char *path, const char **subpath,
                                         char allow[64]);
  /** Prepares the reply for an effect that answers a caller. */
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
  bool in_mhd_run;  /**< inside MHD_run() */
  bool run_pending; /**< MHD_run() must be called for a resumed connection */
  bool stopping;
  bool draining;
  apr_pool_t *pool;
  apr_hash_t *callers; /**< caller id -> exchange that waits for a reply */
  uint64_t last_caller_id;
  uint64_t random_state;
  uint32_t connection_count;
  uint32_t open_requests;
  size_t body_bytes_held; /**< of all bodies held */
  uint64_t bad_input_total;
};

/** One request and its reply. */
struct dks_http_exchange_t
{
  dks_http_server_t *server;
  struct MHD_Connection *connection;
  const dks_http_route_t *route;
  char *subpath;          /**< path below the route, without a leading slash */
  char key[DKS_KEY_SIZE]; /**< given or generated; empty when there is none */
  int64_t issued_ms;      /**< issue time of `key` */
  bool key_given;
  uint8_t *body;
  size_t body_len;
  size_t body_capacity;
  size_t body_received; /**< bytes of the body, kept or not */
  uint64_t caller_id;   /**< id for the reducer; 0 before the event */
  bool waiting;         /**< the reducer has not replied yet */
  bool suspended;
  bool caller_gone; /**< the caller closed the connection */
  bool over_limit;  /**< on a connection above the bound; it is closed after the reply */
  struct MHD_Response *response;
  unsigned status;
};

/** Route of `table` for a request; NULL when the path is unknown, or when the method is not
 * allowed, in which case `allow` lists the allowed methods. `subpath` is the path below the route.
 */
const dks_http_route_t *dks_http_route_find (const dks_http_route_t *table, size_t count,
                                             const char *method, const char *path,
                                             const char **subpath, char allow[64]);
/** Paths of the product's own interface. */
const dks_http_route_t *dks_http_default_route_find (const char *method, const char *path,
                                                     const char **subpath, char allow[64]);
/** Adds a header to the prepared reply. */
void
dks_http_exchange_add_header (dks_http_exchange_t *exchange, const char *name, const char *value);
/** Adds Retry-After, rounded up to seconds; no effect for 0. */
void dks_http_exchange_add_retry_after (dks_http_exchange_t *exchange, uint32_t retry_after_ms);

/** Prepares the reply; takes the malloc'ed `body`. Only the first reply counts. */
void
dks_http_exchange_reply (dks_http_exchange_t *exchange, int status, const char *type, char *body);
/** Prepares an error reply. */
void
dks_http_exchange_reply_problem (dks_http_exchange_t *exchange, const dks_http_problem_t *problem);
/** Prepares an error reply to a request that was not understood, and counts it. */
void dks_http_exchange_reject (dks_http_exchange_t *exchange, int status, const char *name,
                               const char *detail);
/** Registers the exchange as a caller and returns its id for an event. */
uint64_t dks_http_exchange_register_caller (dks_http_exchange_t *exchange);
/** Value of a request header, or NULL. */
const char *
dks_http_exchange_request_header (const dks_http_exchange_t *exchange, const char *name);
/** Prepares the reply to an answer or an edit of the reducer. */
void dks_http_exchange_reply_answer (dks_http_exchange_t *exchange, const dks_answer_t *answer);
void dks_http_exchange_reply_edit (dks_http_exchange_t *exchange, const dks_effect_t *effect);

#endif
