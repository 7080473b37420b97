/**
 * The HTTP interfaces that the platform defines: callers' requests about jobs, and the readiness
 * check. Both are served by a dks_http_server_t.
 */
#ifndef DKS_PLATFORM_FRONT_H
#define DKS_PLATFORM_FRONT_H

#include "net/http_exchange.h"

/** Submission, query and cancellation of jobs. */
extern const dks_http_interface_t dks_platform_front;
/** The readiness check: whether this instance is ready to take requests. */
extern const dks_http_interface_t dks_platform_readiness;

#endif
