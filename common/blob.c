#include "common/blob.h"

#include "common/alloc.h"

#include <stdlib.h>
#include <string.h>

dks_blob_t *
dks_blob_create (const void *data, size_t len)
{
  dks_blob_t *blob = dks_alloc (sizeof (*blob) + len + 1);

  blob->refs = 1;
  blob->len = len;
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
  if (--blob->refs == 0)
    free (blob);
}
