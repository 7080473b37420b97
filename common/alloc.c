#include "common/alloc.h"

#include "common/error.h"
#include "common/log.h"

#include <stdlib.h>
#include <string.h>

void *
dks_alloc (size_t size)
{
  void *ptr = calloc (1, size > 0 ? size : 1);
  DKS_INVARIANT (ptr != NULL);
  return ptr;
}

void *
dks_realloc (void *ptr, size_t size)
{
  void *result = realloc (ptr, size > 0 ? size : 1);
  DKS_INVARIANT (result != NULL);
  return result;
}

char *
dks_strdup (const char *text)
{
  size_t size = strlen (text) + 1;
  char *copy = dks_alloc (size);
  memcpy (copy, text, size);
  return copy;
}

int
dks_strcpy (char *dst, size_t size, const char *src)
{
  size_t len = strnlen (src, size);
  size_t copied = len < size ? len : size - 1;

  memmove (dst, src, copied);
  dst[copied] = '\0';
  return len < size ? DKS_OK : DKS_ERR_TOO_LARGE;
}

int
dks_copy_text (char *dst, size_t size, const char *src)
{
  for (const char *c = src; *c != '\0'; c++)
    {
      if ((unsigned char)*c < ' ' || *c == 0x7f)
        return DKS_ERR_INVALID;
    }
  return dks_strcpy (dst, size, src);
}

void
dks_invariant_failed (const char *condition, const char *file, int line)
{
  dks_log (DKS_LOG_ERROR, "event=invariant-broken condition=\"%s\" file=%s line=%d", condition,
           file, line);
  abort ();
}
