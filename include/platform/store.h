/**
 * Reads and watches of the platform's key-value store, in the platform's format. Keeps no state but
 * the calls in flight.
 */
#ifndef DKS_PLATFORM_STORE_H
#define DKS_PLATFORM_STORE_H

#include "core/event.h"
#include "net/http_client.h"

/** Makes the call for an effect FEED_READ or FEED_WATCH. `base_url` has no trailing slash.
 * `event_func` is called exactly once with the FEED event, whose `now` is not set, and never from
 * within this function. */
void dks_platform_feed_call (dks_http_client_t *client, const char *base_url,
                             const dks_effect_t *effect,
                             void (*event_func) (void *context, dks_event_t *event), void *context);

#endif
