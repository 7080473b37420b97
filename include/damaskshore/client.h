/**
 * Blocking HTTP client of the command-line tool (libcurl easy interface).
 */
#ifndef DKS_DAMASKSHORE_CLIENT_H
#define DKS_DAMASKSHORE_CLIENT_H

#include "damaskshore/cli.h"

typedef struct
{
  const char *method;
  const char *path;           /**< "/v1/...", already escaped */
  const char *const *headers; /**< "Name: value" lines, NULL-terminated; may be NULL */
  const char *body;           /**< may be NULL */
  int64_t timeout_ms;         /**< limit of the whole exchange, including the connection */
  const char *progress;       /**< label of the progress line on a terminal; NULL: no line */
} dks_client_request_t;

typedef struct
{
  int status;
  int64_t retry_after_s; /**< -1 when not given */
  char *body;            /**< malloc'ed, NUL-terminated */
  size_t len;
} dks_client_reply_t;

/** Sends a request to one server. Returns DKS_OK and fills `reply`, DKS_ERR_UNAVAILABLE when the
 * request was certainly not sent, or DKS_ERR_IO, DKS_ERR_TIMEOUT or DKS_ERR_TOO_LARGE when the
 * server may have received the request. Errors are reported to `err`. */
int dks_client_call_server (dks_cli_t *cli, const char *server, const dks_client_request_t *request,
                            dks_client_reply_t *reply);
/** Sends a request to the first server that can be reached. A GET is also sent to the next server
 * when the connection is lost; a request with another method is not, because it may have taken
 * effect. */
int
dks_client_call (dks_cli_t *cli, const dks_client_request_t *request, dks_client_reply_t *reply);
/** Sends a GET for `path`, with a limit of 10 s for the exchange with each server. */
int dks_client_get (dks_cli_t *cli, const char *path, dks_client_reply_t *reply);
void dks_client_reply_clear (dks_client_reply_t *reply);
/** Exit code for an error of dks_client_call() or one of the other calls above. */
dks_exit_t dks_client_exit (int error);
/** Returns `prefix` followed by `text`, malloc'ed. In `text` every byte is percent-encoded except
 * unreserved characters and '/'. */
char *dks_client_path (const char *prefix, const char *text);

#endif
