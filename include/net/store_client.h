/**
 * Client of the platform: key-value service, watches and the list of instances (HTTP and JSON, as
 * described in docs/design.md).
 */
#ifndef DKS_NET_STORE_CLIENT_H
#define DKS_NET_STORE_CLIENT_H

#include "core/event.h"
#include "net/http_client.h"

typedef struct dks_store_client_t dks_store_client_t;

typedef struct
{
  void (*reply) (void *context, uint64_t op, dks_store_status_t status, int64_t version,
                 dks_blob_t *value);
  void (*record) (void *context, const char *key, int64_t version, dks_blob_t *value);
  void (*instances) (void *context, const dks_listed_instance_t *items, size_t count);
  void *context;
} dks_store_callbacks_t;

typedef struct
{
  const char *base_url;        /**< e.g. "http://127.0.0.1:8500" */
  int64_t timeout_ms;          /**< timeout of one get or CAS call */
  int64_t watch_wait_ms;       /**< longest time for which the platform may hold one watch call */
  int64_t list_interval_ms;    /**< delay between two reads of the list of instances */
  const char *const *prefixes; /**< watched key prefixes, NULL-terminated */
} dks_store_config_t;

dks_store_client_t *dks_store_client_create (dks_loop_t *loop, const dks_store_config_t *config,
                                             const dks_store_callbacks_t *callbacks);
void dks_store_client_destroy (dks_store_client_t *client);
/** Reads `key`. The reply callback gets the same `op`, which identifies the call. */
void dks_store_client_get (dks_store_client_t *client, uint64_t op, const char *key);
/** Writes `key` if its version is `version` (0: the key does not exist). A call without a usable
 * reply is reported as DKS_STORE_UNKNOWN, since the write may have taken effect. */
void dks_store_client_cas (dks_store_client_t *client, uint64_t op, const char *key,
                           int64_t version, dks_blob_t *value);

#endif
