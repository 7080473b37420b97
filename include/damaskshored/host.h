/**
 * The host of the reducer: owns the event loop, the transports and the clock, turns what the
 * transports report into events and carries out the effects.
 */
#ifndef DKS_DAMASKSHORED_HOST_H
#define DKS_DAMASKSHORED_HOST_H

#include "damaskshored/options.h"

typedef struct dks_host_t dks_host_t;

/** Opens the listening sockets. Returns 0 or a negative error number after logging the reason. */
int dks_host_create (const dks_options_t *options, dks_host_t **host_out);
void dks_host_destroy (dks_host_t *host);
/** Parses the options anew; DKS_ERR_INVALID with `error` filled in when a value is not allowed. */
typedef int (*dks_host_reload_t) (void *context, dks_options_t *options,
                                  char error[DKS_OPTIONS_ERROR_SIZE]);
/** Calls `func` on SIGHUP and when the settings file has changed, and puts what may change while
 * the instance runs in force: log level, seeds and remote factor. */
void dks_host_set_reload (dks_host_t *host, dks_host_reload_t func, void *context);
/** Runs until the instance has drained (returns 0) or a second signal asks for an immediate exit
 * (returns 1). SIGTERM, SIGINT and SIGHUP must be blocked by the caller. */
int dks_host_run (dks_host_t *host);

#endif
