/**
 * The platform's form of callers' requests and of the readiness check, for dks_http_server_t.
 */
#ifndef DKS_PLATFORM_FRONT_H
#define DKS_PLATFORM_FRONT_H

#include "net/http_exchange.h"

/** Requests about jobs. */
extern const dks_http_interface_t dks_platform_front;
/** The readiness check. */
extern const dks_http_interface_t dks_platform_readiness;

#endif
