/**
 * Asynchronous HTTP client: libcurl's multi-socket interface on the event loop.
 */
#ifndef DKS_NET_HTTP_CLIENT_H
#define DKS_NET_HTTP_CLIENT_H

#include "common/blob.h"
#include "net/loop.h"

typedef struct dks_http_client_t dks_http_client_t;

/** Result of one request; valid only during the callback. */
typedef struct
{
  int error;    /**< 0, or DKS_ERR_UNAVAILABLE: no byte of the request was sent; DKS_ERR_TIMEOUT and
                     DKS_ERR_IO: the peer may have received the request; DKS_ERR_TOO_LARGE: the reply
                     has a body above the maximum of the client or header lines above 64 KiB */
  bool refused; /**< `error` is DKS_ERR_UNAVAILABLE because nothing listens at the address */
  int status;   /**< HTTP status code when `error` is 0 */
  uint64_t announced_bytes; /**< length of the body as the reply announces, 0: it does not */
  bool not_run;             /**< header Damaskshore-Not-Run: 1 */
  bool leaving;     /**< header Damaskshore-Leaving: 1, or Connection: close with status 503 */
  dks_blob_t *body; /**< never NULL when `error` is 0; take a reference to keep it */
} dks_http_result_t;

/** Called exactly once for each request that is not cancelled, never from within
 * dks_http_client_send(). */
typedef void (*dks_http_func_t) (void *context, uint64_t id, const dks_http_result_t *result);

typedef struct
{
  const char *method; /**< "GET", "PUT", "POST" or "DELETE" */
  const char *url;
  const char *const *headers; /**< "Name: value" lines, NULL-terminated; may be NULL */
  dks_blob_t *body;           /**< may be NULL; a reference is taken */
  int64_t timeout_ms;         /**< counted from dks_http_client_send(); 1 or more */
  bool extends_timeout;       /**< it is counted anew from each receipt of a part of the body */
  dks_http_func_t func;
  void *context;
  /** Called with `context` for a request that is cancelled, in place of `func`; may be NULL. */
  void (*context_free) (void *context);
} dks_http_request_t;

/** Opens at most `max_connections_per_host` connections to one address; further requests wait until
 * one of them is free. */
dks_http_client_t *dks_http_client_create (dks_loop_t *loop, int max_connections_per_host);
/** Sets the largest body of a reply that is received, by default 2 MiB. */
void dks_http_client_set_reply_max (dks_http_client_t *client, size_t bytes);
/** Cancels the open requests without a callback. */
void dks_http_client_destroy (dks_http_client_t *client);
/** Starts a request and returns its id, never reused. */
uint64_t dks_http_client_send (dks_http_client_t *client, const dks_http_request_t *request);
/** Cancels a request without a callback. No effect for an unknown id. */
void dks_http_client_abort (dks_http_client_t *client, uint64_t id);

#endif
