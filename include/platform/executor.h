/**
 * HTTP calls to targets that run tasks under leases, in the platform's format. Keeps no state but
 * the calls in flight.
 */
#ifndef DKS_PLATFORM_EXECUTOR_H
#define DKS_PLATFORM_EXECUTOR_H

#include "core/event.h"
#include "net/http_client.h"

/** Makes the call for an effect LEASE_START, LEASE_STOP or LEASE_HOLD. `event_func` is called
 * exactly once with the LEASE_REPLY event, whose `now` is not set, and never from within this
 * function. */
void dks_executor_call (dks_http_client_t *client, const dks_effect_t *effect,
                        void (*event_func) (void *context, dks_event_t *event), void *context);

#endif
