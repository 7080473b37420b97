/**
 * HTTP server of the stand-ins: libmicrohttpd on the event loop of the process. An exchange can be
 * answered at any time after its request was delivered.
 */
#ifndef DKS_STANDINS_HTTPD_H
#define DKS_STANDINS_HTTPD_H

#include "net/loop.h"

typedef struct dks_httpd_t dks_httpd_t;
typedef struct dks_exchange_t dks_exchange_t;

/** Called once per request, when its body is complete. */
typedef void (*dks_exchange_func_t) (void *context, dks_exchange_t *exchange);

/** Listens on `address` ("IP:port", IPv4). Returns 0, DKS_ERR_INVALID or DKS_ERR_IO. */
int dks_httpd_create (dks_loop_t *loop, const char *address, dks_exchange_func_t func,
                      void *context, dks_httpd_t **httpd);
/** Closes the listening port and all connections; open exchanges get their `gone` callback. */
void dks_httpd_destroy (dks_httpd_t *httpd);

const char *dks_exchange_method (const dks_exchange_t *exchange);
/** Path without the query. */
const char *dks_exchange_path (const dks_exchange_t *exchange);
/** Value of a query argument or header, or NULL. */
const char *dks_exchange_query (const dks_exchange_t *exchange, const char *name);
const char *dks_exchange_header (const dks_exchange_t *exchange, const char *name);
/** Query argument as a number; `fallback` when it is missing or no number. */
int64_t dks_exchange_query_int (const dks_exchange_t *exchange, const char *name, int64_t fallback);
/** Body, always terminated by a NUL byte. */
const char *dks_exchange_body (const dks_exchange_t *exchange, size_t *len);

/** Called instead of an answer when the client closes the connection or the server is destroyed.
 * The exchange must not be used afterwards. */
void dks_exchange_set_on_cancel (dks_exchange_t *exchange, void (*on_cancel) (void *context),
                                 void *context);
/** Answers. `headers` holds names and values in turn, NULL-terminated; may be NULL. The exchange
 * must not be used afterwards. */
void dks_exchange_reply (dks_exchange_t *exchange, unsigned status, const char *const *headers,
                         const char *body, size_t len);
/** Answers with a C string and no further headers. */
void dks_exchange_reply_text (dks_exchange_t *exchange, unsigned status, const char *text);
/** Closes the connection without an answer. */
void dks_exchange_drop (dks_exchange_t *exchange);

#endif
