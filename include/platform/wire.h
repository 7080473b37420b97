/**
 * The platform's JSON bodies, decoded into the product's types and encoded from them. Decoders
 * trust nothing. Field names of the platform stand only in platform/.
 */
#ifndef DKS_PLATFORM_WIRE_H
#define DKS_PLATFORM_WIRE_H

#include "core/event.h"

#include <jansson.h>

/** The operator's configuration; DKS_ERR_INVALID when it is malformed. */
int dks_wire_catalog (const json_t *json, dks_catalog_t **catalog);
/** A target's report about itself; DKS_ERR_INVALID when it names no target to use. */
int dks_wire_target (const char *id, const json_t *json, dks_target_info_t *info);
/** A job without its id and queue. `refusal` becomes what it needs and the product lacks, or NULL.
 */
int dks_wire_batch (const void *body, size_t len, dks_batch_t **batch, const char **refusal);
/** A target's lists of runs, to be released with dks_wire_lists_clear(). */
int dks_wire_lists (const json_t *json, dks_run_lists_t *lists);
void dks_wire_lists_clear (dks_run_lists_t *lists);

#endif
