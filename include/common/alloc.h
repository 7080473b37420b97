/**
 * Allocation functions that never return NULL: running out of memory is a broken invariant and
 * aborts the process.
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
/** Copies `src` into `dst` of `size` bytes and always terminates it with NUL. Returns
 * DKS_ERR_TOO_LARGE if `src` was truncated. */
int dks_strcpy (char *dst, size_t size, const char *src);
/** The same for text from outside, which may contain no control characters: it stands in messages,
 * headers and log lines. Returns DKS_ERR_INVALID if it does. */
int dks_copy_text (char *dst, size_t size, const char *src);

/** Logs `condition` and aborts the process when it does not hold. */
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
