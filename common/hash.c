#include "common/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t
dks_hash_bytes (const void *data, size_t len, uint64_t seed)
{
  return XXH3_64bits_withSeed (data, len, seed);
}

uint64_t
dks_hash_text (const char *text, uint64_t seed)
{
  return dks_hash_bytes (text, strlen (text), seed);
}

uint64_t
dks_random_next (uint64_t *state)
{
  uint64_t z = (*state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}
