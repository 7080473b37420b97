/**
 * The host of the reducer: owns the event loop, the transports and the clock, passes their reports
 * to the reducer as events and executes the effects that the reducer returns.
 */
#ifndef DKS_DAMASKSHORED_HOST_H
#define DKS_DAMASKSHORED_HOST_H

#include "damaskshored/options.h"

typedef struct dks_host_t dks_host_t;

/** Creates the host and opens its listening sockets. Returns DKS_OK, or a negative error number
 * after logging the reason. */
int dks_host_create (const dks_options_t *options, dks_host_t **host_out);
void dks_host_destroy (dks_host_t *host);
/** Parses the command line, the environment and the settings file again. Returns DKS_ERR_INVALID
 * and fills in `error` when a value is not allowed. */
typedef int (*dks_host_reload_t) (void *context, dks_options_t *options,
                                  char error[DKS_OPTIONS_ERROR_SIZE]);
/** Makes the host call `func` on SIGHUP and when the settings file has changed, and apply the
 * options that need no restart: log level, seeds, placement and remote factor. */
void dks_host_set_reload (dks_host_t *host, dks_host_reload_t func, void *context);
/** Runs the event loop. SIGTERM or SIGINT starts the drain; returns 0 when the instance has
 * drained, 1 when such a signal arrives during the drain and asks for an immediate exit. The caller
 * must have blocked SIGTERM, SIGINT and SIGHUP. */
int dks_host_run (dks_host_t *host);

#endif
