/**
 * Idempotency keys: "[DATA_CENTRE~]UUIDv7" or "[DATA_CENTRE~]MILLISECONDS-NAME". By the issue time
 * in the key, an owner can distinguish a new key from one whose record has been dropped.
 */
#ifndef DKS_CORE_KEY_H
#define DKS_CORE_KEY_H

#include "core/types.h"

typedef struct
{
  char data_centre[DKS_NAME_SIZE]; /**< prefix, or empty */
  int64_t issued_ms;               /**< Unix ms */
} dks_key_t;

/** Parses `text`; returns DKS_ERR_INVALID or DKS_ERR_TOO_LARGE when it is no valid key. */
int dks_key_parse (const char *text, dks_key_t *key);
/** Writes a new key "[data_centre~]UUIDv7" to `out`; 74 bits are taken from `random`. */
void dks_key_generate (const char *data_centre, int64_t wall_ms, const uint64_t random[2],
                       char out[DKS_KEY_SIZE]);
/** Home data centre of a key: its prefix when that is one of `names`, else the highest rendezvous
 * hash. Returns the index in `names`, or DKS_ERR_NOT_FOUND for an unknown prefix. */
int dks_key_home (const char *text, const dks_key_t *key, const char (*names)[DKS_NAME_SIZE],
                  size_t count);
/** Shard of a key, 0 to DKS_SHARDS - 1. */
uint32_t dks_key_shard (const char *text);

#endif
