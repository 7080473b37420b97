/**
 * The operator's configuration in force: queues that callers submit to, and the services that run
 * their tasks. A catalog does not change once it is in force, and is reference-counted; a newer
 * version replaces it as a whole.
 */
#ifndef DKS_CORE_CATALOG_H
#define DKS_CORE_CATALOG_H

#include "common/blob.h"
#include "core/types.h"

typedef struct
{
  const char *name;
  const char *host;      /**< host in the request's Host header */
  const char *prefix;    /**< prefix of the request's path; the queue with the longest matching
                            prefix is used */
  const char *service;   /**< service whose targets run the tasks */
  uint32_t priority;     /**< 0 is served first */
  uint32_t max_attempts; /**< how often one task may be started, 1 or more */
  uint32_t timeout_ms;   /**< wait of callers whose request gives none, and longest time that a job
                            is kept without a started task; 0 for no bound */
  uint32_t objective_factor_milli; /**< latency objective of a job: its run time times this,
                                      thousandths, plus `objective_extra_ms` */
  uint32_t objective_extra_ms;     /**< constant part of the latency objective */
  bool needs_advice;               /**< another service decides which targets may run a step */
} dks_queue_entry_t;

typedef struct
{
  const char *name;
  bool rejects_excess_runs; /**< targets reject runs that do not fit; false: they start all runs */
  bool standby;             /**< its workers are switched off */
} dks_service_entry_t;

typedef struct
{
  uint32_t refs;
  int64_t version; /**< rises with every change, 1 or more */
  uint32_t queue_count;
  uint32_t queue_capacity;
  dks_queue_entry_t *queues;
  uint32_t service_count;
  uint32_t service_capacity;
  dks_service_entry_t *services;
} dks_catalog_t;

/** Why a configuration cannot be put in force. */
typedef struct
{
  int64_t version; /**< as the configuration states, 0: it states none that can be read */
  char reason[DKS_TEXT_SIZE];
} dks_catalog_rejection_t;

/** Members of the objects that describe queues and services. Both have a name. */
typedef enum
{
  DKS_CATALOG_NAME = 0,
  DKS_CATALOG_HOST,
  DKS_CATALOG_PREFIX,
  DKS_CATALOG_SERVICE,
  DKS_CATALOG_PRIORITY,
  DKS_CATALOG_MAX_ATTEMPTS,
  DKS_CATALOG_TIMEOUT,
  DKS_CATALOG_OBJECTIVE_FACTOR,
  DKS_CATALOG_OBJECTIVE_EXTRA,
  DKS_CATALOG_ADVICE,
  DKS_CATALOG_REJECTS_EXCESS_RUNS,
  DKS_CATALOG_STANDBY,
  DKS_CATALOG_MEMBERS,
  DKS_CATALOG_TEXT_MEMBERS = DKS_CATALOG_SERVICE + 1 /**< the first members are texts */
} dks_catalog_member_t;

/** Names in a JSON form of the catalog. */
typedef struct
{
  const char *queues;
  const char *services;
  const char *members[DKS_CATALOG_MEMBERS];
  double objective_factor_milli; /**< thousandths that 1 stands for as the objective's factor */
} dks_catalog_format_t;

/** New catalog without entries, with one reference. */
dks_catalog_t *dks_catalog_create (int64_t version);
/** Adds a copy of the entry, texts included. */
void dks_catalog_add_queue (dks_catalog_t *catalog, const dks_queue_entry_t *queue);
void dks_catalog_add_service (dks_catalog_t *catalog, const dks_service_entry_t *service);
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
/** Parses JSON text of the given format. Returns DKS_ERR_INVALID, and sets `rejection`, if it
 * cannot be put in force. Numbers above the range of their members count as its end. */
int dks_catalog_parse (const dks_catalog_format_t *format, const void *text, size_t len,
                       dks_catalog_t **catalog, dks_catalog_rejection_t *rejection);
/** Serializes the catalog to a JSON record for other instances. */
dks_blob_t *dks_catalog_encode (const dks_catalog_t *catalog);
/** Parses a record that dks_catalog_encode() wrote; returns as dks_catalog_parse(). */
int dks_catalog_decode (const dks_blob_t *record, dks_catalog_t **catalog,
                        dks_catalog_rejection_t *rejection);

#endif
