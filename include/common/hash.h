/**
 * Hash functions for placement: keys to data centres and shards, targets to instances.
 */
#ifndef DKS_COMMON_HASH_H
#define DKS_COMMON_HASH_H

#include <stddef.h>
#include <stdint.h>

/** 64-bit XXH3 of `len` bytes at `data`. Must never change: all instances have to compute the same
 * hash of the same bytes. */
uint64_t dks_hash_bytes (const void *data, size_t len, uint64_t seed);
/** dks_hash_bytes() of a C string without its NUL. */
uint64_t dks_hash_text (const char *text, uint64_t seed);
/** Next value of a splitmix64 generator with state `*state`; for jitter and tie-breaking. */
uint64_t dks_random_next (uint64_t *state);

#endif
