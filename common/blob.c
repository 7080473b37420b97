#include "common/blob.h"

#include "common/alloc.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

/* Tests have threads that use blobs of their own. */
static atomic_size_t held_bytes;

dks_blob_t *
dks_blob_create (const void *data, size_t len)
{
  dks_blob_t *blob = dks_alloc (sizeof (*blob) + len + 1);

  blob->refs = 1;
  blob->len = len;
  atomic_fetch_add_explicit (&held_bytes, sizeof (*blob) + len + 1, memory_order_relaxed);
  if (len > 0)
    memcpy (blob->data, data, len);
  return blob;
}

dks_blob_t *
dks_blob_create_text (const char *text)
{
  return dks_blob_create (text, strlen (text));
}

dks_blob_t *
dks_blob_ref (dks_blob_t *blob)
{
  if (blob != NULL)
    blob->refs++;
  return blob;
}

void
dks_blob_unref (dks_blob_t *blob)
{
  if (blob == NULL)
    return;
  DKS_INVARIANT (blob->refs > 0);
  if (--blob->refs > 0)
    return;
  atomic_fetch_sub_explicit (&held_bytes, sizeof (*blob) + blob->len + 1, memory_order_relaxed);
  free (blob);
}

size_t
dks_blob_bytes (void)
{
  return atomic_load_explicit (&held_bytes, memory_order_relaxed);
}
