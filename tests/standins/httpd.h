/**
 * HTTP server of the stand-ins: libmicrohttpd on the event loop of the process. An exchange is one
 * request and its response; the response can be sent at any time after the request was delivered.
 */
#ifndef DKS_STANDINS_HTTPD_H
#define DKS_STANDINS_HTTPD_H

#include "net/loop.h"

typedef struct dks_httpd_t dks_httpd_t;
typedef struct dks_exchange_t dks_exchange_t;

/** Called once per request, when the whole body has been received. */
typedef void (*dks_exchange_func_t) (void *context, dks_exchange_t *exchange);

/** Listens on `address` ("IP:port", IPv4). Returns 0, DKS_ERR_INVALID or DKS_ERR_IO. */
int dks_httpd_create (dks_loop_t *loop, const char *address, dks_exchange_func_t func,
                      void *context, dks_httpd_t **httpd);
/** Closes the listening port and all connections; calls `on_cancel` of every open exchange. */
void dks_httpd_destroy (dks_httpd_t *httpd);

const char *dks_exchange_method (const dks_exchange_t *exchange);
/** Path without the query. */
const char *dks_exchange_path (const dks_exchange_t *exchange);
/** Value of a query argument or of a request header; NULL when it is missing. */
const char *dks_exchange_query (const dks_exchange_t *exchange, const char *name);
const char *dks_exchange_header (const dks_exchange_t *exchange, const char *name);
/** Query argument as a decimal integer; `fallback` when it is missing or not an integer. */
int64_t dks_exchange_query_int (const dks_exchange_t *exchange, const char *name, int64_t fallback);
/** Request body of `*len` bytes, followed by a NUL byte. */
const char *dks_exchange_body (const dks_exchange_t *exchange, size_t *len);

/** Sets the callback for an exchange that ends without a response, because the client closed the
 * connection or the server is destroyed. The callback must not use the exchange. */
void dks_exchange_set_on_cancel (dks_exchange_t *exchange, void (*on_cancel) (void *context),
                                 void *context);
/** Sends the response. `headers` holds names and values in turn, NULL-terminated; may be NULL. The
 * exchange must not be used afterwards. */
void dks_exchange_reply (dks_exchange_t *exchange, unsigned status, const char *const *headers,
                         const char *body, size_t len);
/** Sends a response whose body is a C string, without additional headers. */
void dks_exchange_reply_text (dks_exchange_t *exchange, unsigned status, const char *text);
/** Closes the connection without a response; the exchange must not be used afterwards. */
void dks_exchange_drop (dks_exchange_t *exchange);

#endif
