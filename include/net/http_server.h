/**
 * HTTP interface for callers and operators (libmicrohttpd), as described in docs/design.md. It
 * turns requests into events for the reducer, and the reducer's answers into HTTP replies.
 */
#ifndef DKS_NET_HTTP_SERVER_H
#define DKS_NET_HTTP_SERVER_H

#include "common/memory_account.h"
#include "core/event.h"
#include "core/reducer.h"
#include "net/loop.h"

typedef struct dks_http_server_t dks_http_server_t;
typedef struct dks_http_interface_t dks_http_interface_t; /**< see net/http_exchange.h */

typedef struct
{
  /** Called with an event for a decoded request or a caller that disconnected: SUBMIT, CANCEL,
   * QUERY, CALLER_GONE, SETTINGS_EDIT, DRAIN or BATCH. `now` of the event is not set. */
  void (*event) (void *context, dks_event_t *event);
  /** Returns the reducer, whose state answers GET requests that need no event. */
  const dks_reducer_t *(*reducer) (void *context);
  void *context;
} dks_http_server_callbacks_t;

typedef struct
{
  const char *address;          /**< IP:port to listen on */
  uint32_t max_connections;     /**< further connections are answered with 503 and closed */
  uint32_t idle_timeout_s;      /**< idle connections are closed after this time */
  const char *data_centre;      /**< own data centre, for generated keys */
  int64_t deadline_default_ms;  /**< used when a submission gives no deadline */
  uint64_t key_seed;            /**< seed of the generator of idempotency keys */
  uint64_t caller_id_base;      /**< caller ids start one above this; servers that share a reducer
                                     need disjoint ranges */
  dks_memory_account_t *memory; /**< of the process; NULL: an own one of the largest limit */
  size_t connections_bytes;     /**< that all connections together may take, whatever they are used
                                     for; 0: half of the limit of the memory account */
  uint32_t processor_milli; /**< thousandths of a processor that this process may use, from which
                               the work that may begin in a turn of the loop follows; 0: 1000 */
  /** A connection above max_connections takes the place of the one whose client has kept the server
   * waiting for longest, if there is one, instead of being answered with 503. */
  bool replaces_waiting;
  const dks_http_interface_t *interface; /**< NULL: the default, docs/design.md section 7 */
} dks_http_server_config_t;

/** What one connection takes. */
typedef struct
{
  size_t pool_bytes;    /**< headers and unread input in this process */
  size_t receive_bytes; /**< received input in the kernel */
} dks_http_connection_sizes_t;

/** Sizes for `max_connections` that may take `connections_bytes` together. */
dks_http_connection_sizes_t
dks_http_connection_sizes (size_t connections_bytes, uint32_t max_connections);
/** The most connections that fit into `connections_bytes`; with `ample`, those of a size at which a
 * client on a link of 25 Mbit/s sends at full speed. */
uint32_t dks_http_connections_fitting (size_t connections_bytes, bool ample);

/** Starts to listen. Returns DKS_ERR_INVALID for an address that is not a numeric IP:port,
 * DKS_ERR_IO when the server cannot listen there. */
int dks_http_server_create (dks_loop_t *loop, const dks_http_server_config_t *config,
                            const dks_http_server_callbacks_t *callbacks,
                            dks_http_server_t **server);
void dks_http_server_destroy (dks_http_server_t *server);
/** Sends the reply of a DKS_EFFECT_REPLY, EDIT_REPLY or BATCH_REPLY; ignored when the caller has
 * disconnected. */
void dks_http_server_reply (dks_http_server_t *server, const dks_effect_t *effect);
/** Emits CALLER_GONE for each waiting caller that has closed its connection by now. */
void dks_http_server_check_callers (dks_http_server_t *server);
/** From now on every reply closes its connection, and /healthz reports that the instance is
 * draining. */
void dks_http_server_set_draining (dks_http_server_t *server);
/** Accepts the connections in the listen queue, then closes the listening socket. Requests on open
 * connections are still answered. */
void dks_http_server_stop_listening (dks_http_server_t *server);
/** Number of requests whose reply has not been sent completely. */
uint32_t dks_http_server_open_requests (const dks_http_server_t *server);
/** The same without those whose clients have kept the server waiting for DKS_MEMORY_STALL_US. */
uint32_t dks_http_server_active_requests (const dks_http_server_t *server);
/** Number of requests that could not be decoded. */
uint64_t dks_http_server_bad_input_total (const dks_http_server_t *server);

#endif
