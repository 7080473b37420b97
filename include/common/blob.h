/**
 * Immutable byte strings with a reference count. Payloads and results are shared between jobs,
 * messages and effects without copying. Not thread-safe: the daemon has one event loop.
 */
#ifndef DKS_COMMON_BLOB_H
#define DKS_COMMON_BLOB_H

#include <stddef.h>
#include <stdint.h>

typedef struct dks_blob_t dks_blob_t;

struct dks_blob_t
{
  uint32_t refs;
  size_t len;     /**< bytes in `data`, without the final NUL */
  uint8_t data[]; /**< always followed by a NUL byte, so that text can be used as a C string */
};

/** Copies `len` bytes into a new blob with one reference. `data` may be NULL when `len` is 0. */
dks_blob_t *dks_blob_create (const void *data, size_t len);
/** Copies a C string into a new blob. */
dks_blob_t *dks_blob_create_text (const char *text);
/** Adds a reference; accepts and returns NULL. */
dks_blob_t *dks_blob_ref (dks_blob_t *blob);
/** Drops a reference; accepts NULL. */
void dks_blob_unref (dks_blob_t *blob);
/** Bytes of all blobs of the process. */
size_t dks_blob_bytes (void);

#endif
