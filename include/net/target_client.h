/**
 * Sends tasks to targets over HTTP, as described in docs/design.md.
 */
#ifndef DKS_NET_TARGET_CLIENT_H
#define DKS_NET_TARGET_CLIENT_H

#include "core/event.h"
#include "net/http_client.h"

typedef struct dks_target_client_t dks_target_client_t;

/** Called exactly once for each attempt that was not aborted. `leaving`: the target's reply
 * announced that it is leaving. `body` is NULL unless `status` is DKS_ATTEMPT_OK. */
typedef void (*dks_target_func_t) (void *context, uint64_t attempt, dks_attempt_status_t status,
                                   bool leaving, dks_blob_t *body);

dks_target_client_t *
dks_target_client_create (dks_http_client_t *http, dks_target_func_t func, void *context);
void dks_target_client_destroy (dks_target_client_t *client);
/** Sends the task of a DKS_EFFECT_TARGET_SEND to its target. `wall_ms` is the current Unix time,
 * from which the remaining time until the deadline is computed. */
void
dks_target_client_send (dks_target_client_t *client, const dks_effect_t *effect, int64_t wall_ms);
/** Aborts the request of `attempt`, which then gets no callback. */
void dks_target_client_abort (dks_target_client_t *client, uint64_t attempt);

#endif
