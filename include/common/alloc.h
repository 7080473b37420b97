/**
 * Allocation that cannot fail: running out of memory is a broken invariant and stops the process.
 */
#ifndef DKS_COMMON_ALLOC_H
#define DKS_COMMON_ALLOC_H

#include <stddef.h>

/** Returns `size` zeroed bytes; release with free(). */
void *dks_alloc (size_t size);
/** Resizes `ptr` to `size` bytes; new bytes are not zeroed. */
void *dks_realloc (void *ptr, size_t size);
/** Returns a copy of `text`; release with free(). */
char *dks_strdup (const char *text);
/** Copies `src` into `dst` of `size` bytes, always terminated. Returns DKS_ERR_TOO_LARGE if it was
 * cut. */
int dks_strcpy (char *dst, size_t size, const char *src);

/** Stops the process with a log line when `condition` does not hold. */
#define DKS_INVARIANT(condition)                                                                   \
  do                                                                                               \
    {                                                                                              \
      if (!(condition))                                                                            \
        dks_invariant_failed (#condition, __FILE__, __LINE__);                                     \
    }                                                                                              \
  while (0)

/** Logs the broken invariant and calls abort(). */
_Noreturn void dks_invariant_failed (const char *condition, const char *file, int line);

#endif
