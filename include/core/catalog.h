/**
 * The operator's configuration in force: queues that callers submit to, and the services that run
 * their tasks. A catalog is immutable and reference-counted; a newer version replaces it as a
 * whole.
 */
#ifndef DKS_CORE_CATALOG_H
#define DKS_CORE_CATALOG_H

#include "common/blob.h"
#include "core/types.h"

enum
{
  DKS_HOST_SIZE = 128,           /**< bytes of a host name with NUL */
  DKS_PREFIX_SIZE = 256,         /**< bytes of a path prefix with NUL */
  DKS_CATALOG_ENTRIES_MAX = 4096 /**< queues, and as many services */
};

typedef struct
{
  char name[DKS_NAME_SIZE];
  char host[DKS_HOST_SIZE];     /**< of the request's Host header */
  char prefix[DKS_PREFIX_SIZE]; /**< of the request's path; the longest one that fits counts */
  char service[DKS_NAME_SIZE];  /**< whose targets run the tasks */
  uint32_t priority;            /**< 0 comes first */
  uint32_t max_attempts;        /**< starts of one task at most, 1 or more */
  uint32_t timeout_ms;          /**< how long callers wait that do not say so, and how long a job is
                                   held of which nothing has run; 0: no bound */
  uint32_t
      objective_factor_milli;  /**< objective: this part of a job's run time, in thousandths ... */
  uint32_t objective_extra_ms; /**< ... and this */
  bool needs_advice;           /**< another service decides which targets may run a step */
} dks_queue_entry_t;

typedef struct
{
  char name[DKS_NAME_SIZE];
  bool enforces_capacity; /**< its targets reject what does not fit; else they start everything */
  bool standby;           /**< its workers are switched off */
} dks_service_entry_t;

typedef struct
{
  uint32_t refs;
  int64_t version; /**< rises with every change, 1 or more */
  uint32_t queue_count;
  dks_queue_entry_t *queues;
  uint32_t service_count;
  dks_service_entry_t *services;
} dks_catalog_t;

/** New catalog with empty entries and one reference. */
dks_catalog_t *dks_catalog_create (uint32_t queue_count, uint32_t service_count);
dks_catalog_t *dks_catalog_ref (dks_catalog_t *catalog);
/** Drops a reference; accepts NULL. */
void dks_catalog_unref (dks_catalog_t *catalog);
/** Queue of a request, or NULL. `rest` becomes the path below the prefix. A port in `host` is
 * ignored. */
const dks_queue_entry_t *dks_catalog_match_queue (const dks_catalog_t *catalog, const char *host,
                                                  const char *path, const char **rest);
/** Queue by its name, or NULL. */
const dks_queue_entry_t *dks_catalog_queue (const dks_catalog_t *catalog, const char *name);
/** Service by its name, or NULL. */
const dks_service_entry_t *dks_catalog_service (const dks_catalog_t *catalog, const char *name);
/** The catalog as a record for other instances (JSON). */
dks_blob_t *dks_catalog_encode (const dks_catalog_t *catalog);
/** Reads such a record; DKS_ERR_INVALID when it is none. */
int dks_catalog_decode (const dks_blob_t *record, dks_catalog_t **catalog);

#endif
