/**
 * Decoders of the platform's JSON bodies into the types of core/. Their input is not trusted. Field
 * names of the platform appear only in platform/.
 */
#ifndef DKS_PLATFORM_WIRE_H
#define DKS_PLATFORM_WIRE_H

#include "core/event.h"

#include <jansson.h>

/** Decodes the operator's configuration. Returns DKS_ERR_INVALID, and sets `rejection`, when it
 * cannot be put in force. */
int dks_wire_decode_catalog (const void *text, size_t len, dks_catalog_t **catalog,
                             dks_catalog_rejection_t *rejection);
/** Decodes the record of target `id`; DKS_ERR_INVALID when it is malformed, or when the target is
 * neither ready nor draining. */
int dks_wire_decode_target (const char *id, const json_t *json, dks_target_info_t *info);
/** Decodes the body of a job, which has neither the id nor the queue of the job. `refusal` is set
 * to a static text about a feature that the job needs and this product does not support, or to
 * NULL. */
int dks_wire_decode_batch (const void *body, size_t len, dks_batch_t **batch, const char **refusal);
/** Decodes a target's lists of running and ended runs; release them with dks_wire_lists_clear(). */
int dks_wire_decode_lists (const json_t *json, dks_run_lists_t *lists);
void dks_wire_lists_clear (dks_run_lists_t *lists);

#endif
