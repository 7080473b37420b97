#include "core/key.h"

#include "common/alloc.h"
#include "common/error.h"
#include "common/hash.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  UUID_LENGTH = 36,
  UUID_VERSION_OFFSET = 14,
  MILLISECOND_DIGITS = 13
};

#define SHARD_HASH_SEED UINT64_C (0x5348)
#define HOME_HASH_SEED UINT64_C (0x484f)

static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

static bool
is_key_char (char c)
{
  return isalnum ((unsigned char)c) || strchr ("-_.:", c) != NULL;
}

/* RFC 9562: the first 48 bits of a version 7 UUID are the Unix time in milliseconds. */
static bool
parse_uuid7 (const char *text, int64_t *issued_ms)
{
  uint64_t ms = 0;

  if (strlen (text) != UUID_LENGTH)
    return false;
  for (int i = 0; i < UUID_LENGTH; i++)
    {
      bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;
      if (is_dash ? text[i] != '-' : hex_value (text[i]) < 0)
        return false;
      if (i < 13 && !is_dash)
        ms = ms << 4 | (uint64_t)hex_value (text[i]);
    }
  *issued_ms = (int64_t)ms;
  return text[UUID_VERSION_OFFSET] == '7';
}

static bool
parse_milliseconds_name (const char *text, int64_t *issued_ms)
{
  int64_t ms = 0;

  for (int i = 0; i < MILLISECOND_DIGITS; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return false;
      ms = ms * 10 + (text[i] - '0');
    }
  if (text[MILLISECOND_DIGITS] != '-' || text[MILLISECOND_DIGITS + 1] == '\0')
    return false;
  for (const char *c = text + MILLISECOND_DIGITS; *c != '\0'; c++)
    {
      if (!is_key_char (*c))
        return false;
    }
  *issued_ms = ms;
  return true;
}

int
dks_key_parse (const char *text, dks_key_t *key)
{
  const char *separator;

  memset (key, 0, sizeof (*key));
  if (strnlen (text, DKS_KEY_SIZE) >= DKS_KEY_SIZE)
    return DKS_ERR_TOO_LARGE;
  separator = strchr (text, '~');
  if (separator != NULL)
    {
      size_t len = (size_t)(separator - text);
      if (len == 0 || len >= sizeof (key->data_centre))
        return DKS_ERR_INVALID;
      for (size_t i = 0; i < len; i++)
        {
          if (!is_key_char (text[i]))
            return DKS_ERR_INVALID;
        }
      memcpy (key->data_centre, text, len);
      text = separator + 1;
    }
  if (parse_uuid7 (text, &key->issued_ms) || parse_milliseconds_name (text, &key->issued_ms))
    return DKS_OK;
  return DKS_ERR_INVALID;
}

void
dks_key_generate (const char *data_centre, int64_t wall_ms, const uint64_t random[2],
                  char out[DKS_KEY_SIZE])
{
  bool has_prefix = data_centre != NULL && data_centre[0] != '\0';
  uint64_t ms = (uint64_t)wall_ms & UINT64_C (0xffffffffffff);

  snprintf (out, DKS_KEY_SIZE,
            "%s%s%08" PRIx64 "-%04" PRIx64 "-7%03" PRIx64 "-%04" PRIx64 "-%012" PRIx64,
            has_prefix ? data_centre : "", has_prefix ? "~" : "", ms >> 16, ms & 0xffff,
            random[0] & 0xfff, (random[0] >> 12 & 0x3fff) | 0x8000,
            random[1] & UINT64_C (0xffffffffffff));
}

int
dks_key_home (const char *text, const dks_key_t *key, const char (*names)[DKS_NAME_SIZE],
              size_t count)
{
  uint64_t key_hash = dks_hash_text (text, HOME_HASH_SEED);
  uint64_t best_score = 0;
  int best = DKS_ERR_NOT_FOUND;

  for (size_t i = 0; i < count; i++)
    {
      uint64_t score = dks_hash_text (names[i], key_hash);

      if (key->data_centre[0] != '\0')
        {
          if (strcmp (key->data_centre, names[i]) == 0)
            return (int)i;
          continue;
        }
      if (best < 0 || score > best_score)
        {
          best = (int)i;
          best_score = score;
        }
    }
  return best;
}

uint32_t
dks_key_shard (const char *text)
{
  return (uint32_t)(dks_hash_text (text, SHARD_HASH_SEED) % DKS_SHARDS);
}
