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
  DKS_HOST_SIZE = 128,  /**< bytes of a host name with NUL */
  DKS_PREFIX_SIZE = 256 /**< bytes of a path prefix with NUL */
};

typedef struct
{
  char name[DKS_NAME_SIZE];
  char host[DKS_HOST_SIZE];     /**< host in the request's Host header */
  char prefix[DKS_PREFIX_SIZE]; /**< prefix of the request's path; the queue with the longest
                                   matching prefix is used */
  char service[DKS_NAME_SIZE];  /**< service whose targets run the tasks */
  uint32_t priority;            /**< 0 is served first */
  uint32_t max_attempts;        /**< how often one task may be started, 1 or more */
  uint32_t timeout_ms; /**< wait of callers whose request gives none, and longest time that a job is
                          kept without a started task; 0 for no bound */
  uint32_t objective_factor_milli; /**< latency objective of a job: its run time times this,
                                      thousandths, plus `objective_extra_ms` */
  uint32_t objective_extra_ms;     /**< constant part of the latency objective */
  bool needs_advice;               /**< another service decides which targets may run a step */
} dks_queue_entry_t;

typedef struct
{
  char name[DKS_NAME_SIZE];
  bool rejects_excess_runs; /**< targets reject runs that do not fit; false: they start all runs */
  bool standby;             /**< its workers are switched off */
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

/** Why a configuration cannot be put in force. */
typedef struct
{
  int64_t version; /**< as the configuration states, 0: it states none that can be read */
  char reason[DKS_TEXT_SIZE];
} dks_catalog_rejection_t;

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
/** Serializes the catalog to a JSON record for other instances. */
dks_blob_t *dks_catalog_encode (const dks_catalog_t *catalog);
/** Parses a record that dks_catalog_encode() wrote. Returns DKS_ERR_INVALID, and sets `rejection`,
 * if it cannot be put in force. */
int dks_catalog_decode (const dks_blob_t *record, dks_catalog_t **catalog,
                        dks_catalog_rejection_t *rejection);
/** Sets the reason of the rejection, with printf() formatting, and returns DKS_ERR_INVALID. */
int dks_catalog_reject (dks_catalog_rejection_t *rejection, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
