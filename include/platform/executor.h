/**
 * Calls to targets that run tasks under leases, in the platform's form. Keeps nothing but calls
 * under way.
 */
#ifndef DKS_PLATFORM_EXECUTOR_H
#define DKS_PLATFORM_EXECUTOR_H

#include "core/event.h"
#include "net/http_client.h"

/** Makes the call of an effect LEASE_START, LEASE_STOP or LEASE_HOLD. `event_func` is called once
 * with the LEASE_REPLY, without `now`, never from within this function. */
void dks_executor_call (dks_http_client_t *client, const dks_effect_t *effect,
                        void (*event_func) (void *context, dks_event_t *event), void *context);

#endif
