#include "core/catalog.h"

#include "common/alloc.h"
#include "common/error.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <yajl/yajl_gen.h>

dks_catalog_t *
dks_catalog_create (int64_t version)
{
  dks_catalog_t *catalog = dks_alloc (sizeof (*catalog));

  catalog->refs = 1;
  catalog->version = version;
  return catalog;
}

/* Capacity of an array that `count` elements fill: at least one more. */
static uint32_t
grown_capacity (uint32_t count)
{
  DKS_INVARIANT (count < UINT32_MAX / 2);
  return count + count / 2 + 4;
}

/* Copies `text` to `*to`, and moves `*to` behind it. */
static const char *
append_text (char **to, const char *text)
{
  size_t size = strlen (text) + 1;
  const char *copy = memcpy (*to, text, size);

  *to += size;
  return copy;
}

void
dks_catalog_add_queue (dks_catalog_t *catalog, const dks_queue_entry_t *queue)
{
  size_t size = strlen (queue->name) + strlen (queue->host) + strlen (queue->prefix)
                + strlen (queue->service) + 4;
  char *texts = dks_alloc (size);
  dks_queue_entry_t *added;

  if (catalog->queue_count == catalog->queue_capacity)
    {
      catalog->queue_capacity = grown_capacity (catalog->queue_count);
      catalog->queues =
          dks_realloc (catalog->queues, catalog->queue_capacity * sizeof (catalog->queues[0]));
    }
  added = &catalog->queues[catalog->queue_count++];
  *added = *queue;
  /* The name is the first, and so the address to be freed. */
  added->name = append_text (&texts, queue->name);
  added->host = append_text (&texts, queue->host);
  added->prefix = append_text (&texts, queue->prefix);
  added->service = append_text (&texts, queue->service);
}

void
dks_catalog_add_service (dks_catalog_t *catalog, const dks_service_entry_t *service)
{
  dks_service_entry_t *added;

  if (catalog->service_count == catalog->service_capacity)
    {
      catalog->service_capacity = grown_capacity (catalog->service_count);
      catalog->services = dks_realloc (catalog->services,
                                       catalog->service_capacity * sizeof (catalog->services[0]));
    }
  added = &catalog->services[catalog->service_count++];
  *added = *service;
  added->name = dks_strdup (service->name);
}

dks_catalog_t *
dks_catalog_ref (dks_catalog_t *catalog)
{
  catalog->refs++;
  return catalog;
}

void
dks_catalog_unref (dks_catalog_t *catalog)
{
  if (catalog == NULL || --catalog->refs > 0)
    return;
  for (uint32_t i = 0; i < catalog->queue_count; i++)
    free ((char *)catalog->queues[i].name);
  for (uint32_t i = 0; i < catalog->service_count; i++)
    free ((char *)catalog->services[i].name);
  free (catalog->queues);
  free (catalog->services);
  free (catalog);
}

static bool
host_matches (const char *entry_host, const char *host)
{
  size_t len = strcspn (host, ":");

  return strlen (entry_host) == len && strncasecmp (entry_host, host, len) == 0;
}

const dks_queue_entry_t *
dks_catalog_match_queue (const dks_catalog_t *catalog, const char *host, const char *path,
                         const char **rest)
{
  const dks_queue_entry_t *best = NULL;
  size_t best_len = 0;

  for (uint32_t i = 0; i < catalog->queue_count; i++)
    {
      const dks_queue_entry_t *queue = &catalog->queues[i];
      size_t len = strlen (queue->prefix);

      if ((best != NULL && len <= best_len) || strncmp (queue->prefix, path, len) != 0
          || !host_matches (queue->host, host))
        continue;
      best = queue;
      best_len = len;
    }
  if (best != NULL)
    *rest = path + best_len;
  return best;
}

const dks_queue_entry_t *
dks_catalog_queue (const dks_catalog_t *catalog, const char *name)
{
  for (uint32_t i = 0; i < catalog->queue_count; i++)
    {
      if (strcmp (catalog->queues[i].name, name) == 0)
        return &catalog->queues[i];
    }
  return NULL;
}

const dks_service_entry_t *
dks_catalog_service (const dks_catalog_t *catalog, const char *name)
{
  for (uint32_t i = 0; i < catalog->service_count; i++)
    {
      if (strcmp (catalog->services[i].name, name) == 0)
        return &catalog->services[i];
    }
  return NULL;
}

/* The JSON record in which instances send the catalog to each other */

static const dks_catalog_format_t record_format = {
  .queues = "queues",
  .services = "services",
  .members = {
    [DKS_CATALOG_NAME] = "name",
    [DKS_CATALOG_HOST] = "host",
    [DKS_CATALOG_PREFIX] = "prefix",
    [DKS_CATALOG_SERVICE] = "service",
    [DKS_CATALOG_PRIORITY] = "priority",
    [DKS_CATALOG_MAX_ATTEMPTS] = "max_attempts",
    [DKS_CATALOG_TIMEOUT] = "timeout_ms",
    [DKS_CATALOG_OBJECTIVE_FACTOR] = "factor_milli",
    [DKS_CATALOG_OBJECTIVE_EXTRA] = "extra_ms",
    [DKS_CATALOG_ADVICE] = "advice",
    [DKS_CATALOG_REJECTS_EXCESS_RUNS] = "guards",
    [DKS_CATALOG_STANDBY] = "standby",
  },
  .objective_factor_milli = 1,
};

static void
put_key (yajl_gen gen, const char *key)
{
  yajl_gen_string (gen, (const unsigned char *)key, strlen (key));
}

static void
put_text (yajl_gen gen, dks_catalog_member_t member, const char *text)
{
  put_key (gen, record_format.members[member]);
  yajl_gen_string (gen, (const unsigned char *)text, strlen (text));
}

static void
put_number (yajl_gen gen, dks_catalog_member_t member, uint32_t number)
{
  put_key (gen, record_format.members[member]);
  yajl_gen_integer (gen, number);
}

static void
put_bool (yajl_gen gen, dks_catalog_member_t member, bool value)
{
  put_key (gen, record_format.members[member]);
  yajl_gen_bool (gen, value);
}

static void
put_queue (yajl_gen gen, const dks_queue_entry_t *queue)
{
  yajl_gen_map_open (gen);
  put_text (gen, DKS_CATALOG_NAME, queue->name);
  put_text (gen, DKS_CATALOG_HOST, queue->host);
  put_text (gen, DKS_CATALOG_PREFIX, queue->prefix);
  put_text (gen, DKS_CATALOG_SERVICE, queue->service);
  put_number (gen, DKS_CATALOG_PRIORITY, queue->priority);
  put_number (gen, DKS_CATALOG_MAX_ATTEMPTS, queue->max_attempts);
  put_number (gen, DKS_CATALOG_TIMEOUT, queue->timeout_ms);
  put_number (gen, DKS_CATALOG_OBJECTIVE_FACTOR, queue->objective_factor_milli);
  put_number (gen, DKS_CATALOG_OBJECTIVE_EXTRA, queue->objective_extra_ms);
  put_bool (gen, DKS_CATALOG_ADVICE, queue->needs_advice);
  yajl_gen_map_close (gen);
}

static void
put_service (yajl_gen gen, const dks_service_entry_t *service)
{
  yajl_gen_map_open (gen);
  put_text (gen, DKS_CATALOG_NAME, service->name);
  put_bool (gen, DKS_CATALOG_REJECTS_EXCESS_RUNS, service->rejects_excess_runs);
  put_bool (gen, DKS_CATALOG_STANDBY, service->standby);
  yajl_gen_map_close (gen);
}

dks_blob_t *
dks_catalog_encode (const dks_catalog_t *catalog)
{
  yajl_gen gen = yajl_gen_alloc (NULL);
  const unsigned char *text = NULL;
  size_t len = 0;
  dks_blob_t *blob;

  DKS_INVARIANT (gen != NULL);
  yajl_gen_map_open (gen);
  put_key (gen, "version");
  yajl_gen_integer (gen, catalog->version);
  put_key (gen, record_format.queues);
  yajl_gen_array_open (gen);
  for (uint32_t i = 0; i < catalog->queue_count; i++)
    put_queue (gen, &catalog->queues[i]);
  yajl_gen_array_close (gen);
  put_key (gen, record_format.services);
  yajl_gen_array_open (gen);
  for (uint32_t i = 0; i < catalog->service_count; i++)
    put_service (gen, &catalog->services[i]);
  yajl_gen_array_close (gen);
  yajl_gen_map_close (gen);
  DKS_INVARIANT (yajl_gen_get_buf (gen, &text, &len) == yajl_gen_status_ok);
  blob = dks_blob_create (text, len);
  yajl_gen_free (gen);
  return blob;
}

int
dks_catalog_decode (const dks_blob_t *record, dks_catalog_t **catalog,
                    dks_catalog_rejection_t *rejection)
{
  return dks_catalog_parse (&record_format, record->data, record->len, catalog, rejection);
}
