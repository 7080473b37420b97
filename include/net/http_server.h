/**
 * HTTP interface for callers and operators (libmicrohttpd), as described in docs/design.md. It
 * turns requests into events of the reducer and answers into replies.
 */
#ifndef DKS_NET_HTTP_SERVER_H
#define DKS_NET_HTTP_SERVER_H

#include "core/event.h"
#include "core/reducer.h"
#include "net/loop.h"

typedef struct dks_http_server_t dks_http_server_t;
typedef struct dks_http_interface_t dks_http_interface_t; /**< see net/http_exchange.h */

typedef struct
{
  /** A decoded request as an event without `now`: SUBMIT, CANCEL, QUERY, CALLER_GONE,
   * SETTINGS_EDIT, DRAIN or BATCH. */
  void (*event) (void *context, dks_event_t *event);
  /** State for GET requests that the server answers itself. */
  const dks_reducer_t *(*reducer) (void *context);
  void *context;
} dks_http_server_callbacks_t;

typedef struct
{
  const char *address;         /**< IP:port to listen on */
  uint32_t max_connections;    /**< connections held at most */
  uint32_t idle_timeout_s;     /**< an idle connection is closed after this */
  const char *data_centre;     /**< own data centre, for generated keys */
  int64_t deadline_default_ms; /**< used when a submission gives no deadline */
  uint64_t key_seed;           /**< of generated keys */
  uint64_t caller_id_base;     /**< caller ids follow this; several servers of a host need ranges */
  const dks_http_interface_t *interface; /**< NULL: the product's own, docs/design.md section 7 */
} dks_http_server_config_t;

int dks_http_server_create (dks_loop_t *loop, const dks_http_server_config_t *config,
                            const dks_http_server_callbacks_t *callbacks,
                            dks_http_server_t **server);
void dks_http_server_destroy (dks_http_server_t *server);
/** Sends the reply of a DKS_EFFECT_REPLY, EDIT_REPLY or BATCH_REPLY; ignored when the caller is
 * gone. */
void dks_http_server_reply (dks_http_server_t *server, const dks_effect_t *effect);
/** From now on every reply closes its connection and /healthz reports that the instance drains. */
void dks_http_server_set_draining (dks_http_server_t *server);
/** Takes the connections that wait to be accepted and refuses further ones. Requests on open
 * connections are still answered. */
void dks_http_server_stop_listening (dks_http_server_t *server);
/** Requests whose reply has not been sent yet. */
uint32_t dks_http_server_open_requests (const dks_http_server_t *server);
/** Number of requests that could not be decoded. */
uint64_t dks_http_server_bad_input_total (const dks_http_server_t *server);

#endif
