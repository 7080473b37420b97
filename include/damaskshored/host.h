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
/** Runs until the instance has drained (returns 0) or a second signal asks for an immediate exit
 * (returns 1). SIGTERM and SIGINT must be blocked by the caller. */
int dks_host_run (dks_host_t *host);

#endif
