#include "core/catalog.h"

#include "common/alloc.h"
#include "common/error.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

dks_catalog_t *
dks_catalog_create (uint32_t queue_count, uint32_t service_count)
{
  dks_catalog_t *catalog = dks_alloc (sizeof (*catalog));

  catalog->refs = 1;
  catalog->queue_count = queue_count;
  catalog->service_count = service_count;
  catalog->queues = dks_alloc ((queue_count + 1) * sizeof (catalog->queues[0]));
  catalog->services = dks_alloc ((service_count + 1) * sizeof (catalog->services[0]));
  return catalog;
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

int
dks_catalog_reject (dks_catalog_rejection_t *rejection, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (rejection->reason, sizeof (rejection->reason), format, args);
  va_end (args);
  return DKS_ERR_INVALID;
}

/* The JSON record in which instances send the catalog to each other */

static json_t *
queue_to_json (const dks_queue_entry_t *queue)
{
  return json_pack ("{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:b}", "name", queue->name, "host",
                    queue->host, "prefix", queue->prefix, "service", queue->service, "priority",
                    (json_int_t)queue->priority, "max_attempts", (json_int_t)queue->max_attempts,
                    "timeout_ms", (json_int_t)queue->timeout_ms, "factor_milli",
                    (json_int_t)queue->objective_factor_milli, "extra_ms",
                    (json_int_t)queue->objective_extra_ms, "advice", (int)queue->needs_advice);
}

dks_blob_t *
dks_catalog_encode (const dks_catalog_t *catalog)
{
  json_t *queues = json_array ();
  json_t *services = json_array ();
  json_t *record;
  dks_blob_t *blob;
  char *text;

  for (uint32_t i = 0; i < catalog->queue_count; i++)
    json_array_append_new (queues, queue_to_json (&catalog->queues[i]));
  for (uint32_t i = 0; i < catalog->service_count; i++)
    json_array_append_new (services,
                           json_pack ("{s:s,s:b,s:b}", "name", catalog->services[i].name, "guards",
                                      (int)catalog->services[i].rejects_excess_runs, "standby",
                                      (int)catalog->services[i].standby));
  record = json_pack ("{s:I,s:o,s:o}", "version", (json_int_t)catalog->version, "queues", queues,
                      "services", services);
  text = json_dumps (record, JSON_COMPACT);
  DKS_INVARIANT (text != NULL);
  blob = dks_blob_create_text (text);
  free (text);
  json_decref (record);
  return blob;
}

static int
queue_from_json (json_t *json, dks_queue_entry_t *queue)
{
  const char *name;
  const char *host;
  const char *prefix;
  const char *service;
  json_int_t priority;
  json_int_t max_attempts;
  json_int_t timeout_ms;
  json_int_t factor_milli;
  json_int_t extra_ms;
  int advice;

  if (json_unpack (json, "{s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:b}", "name", &name, "host", &host,
                   "prefix", &prefix, "service", &service, "priority", &priority, "max_attempts",
                   &max_attempts, "timeout_ms", &timeout_ms, "factor_milli", &factor_milli,
                   "extra_ms", &extra_ms, "advice", &advice)
          != 0
      || dks_strcpy (queue->name, sizeof (queue->name), name) != DKS_OK
      || dks_strcpy (queue->host, sizeof (queue->host), host) != DKS_OK
      || dks_strcpy (queue->prefix, sizeof (queue->prefix), prefix) != DKS_OK
      || dks_strcpy (queue->service, sizeof (queue->service), service) != DKS_OK)
    return DKS_ERR_INVALID;
  queue->priority = (uint32_t)priority;
  queue->max_attempts = (uint32_t)max_attempts;
  queue->timeout_ms = (uint32_t)timeout_ms;
  queue->objective_factor_milli = (uint32_t)factor_milli;
  queue->objective_extra_ms = (uint32_t)extra_ms;
  queue->needs_advice = advice != 0;
  return DKS_OK;
}

static int
service_from_json (json_t *json, dks_service_entry_t *service)
{
  const char *name;
  int rejects_excess_runs;
  int standby;

  if (json_unpack (json, "{s:s,s:b,s:b}", "name", &name, "guards", &rejects_excess_runs, "standby",
                   &standby)
          != 0
      || dks_strcpy (service->name, sizeof (service->name), name) != DKS_OK)
    return DKS_ERR_INVALID;
  service->rejects_excess_runs = rejects_excess_runs != 0;
  service->standby = standby != 0;
  return DKS_OK;
}

static int
catalog_from_json (const json_t *json, dks_catalog_t **catalog, dks_catalog_rejection_t *rejection)
{
  const json_t *queues = json_object_get (json, "queues");
  const json_t *services = json_object_get (json, "services");
  dks_catalog_t *created;
  int error = DKS_OK;

  rejection->version = json_integer_value (json_object_get (json, "version"));
  if (rejection->version < 1)
    return dks_catalog_reject (rejection, "no version");
  if (!json_is_array (queues) || !json_is_array (services))
    return dks_catalog_reject (rejection, "no list of queues or services");
  created =
      dks_catalog_create ((uint32_t)json_array_size (queues), (uint32_t)json_array_size (services));
  created->version = rejection->version;
  for (uint32_t i = 0; i < created->queue_count && error == DKS_OK; i++)
    {
      error = queue_from_json (json_array_get (queues, i), &created->queues[i]);
      if (error != DKS_OK)
        dks_catalog_reject (rejection, "queue %u is malformed", i);
    }
  for (uint32_t i = 0; i < created->service_count && error == DKS_OK; i++)
    {
      error = service_from_json (json_array_get (services, i), &created->services[i]);
      if (error != DKS_OK)
        dks_catalog_reject (rejection, "service %u is malformed", i);
    }
  if (error == DKS_OK)
    *catalog = created;
  else
    dks_catalog_unref (created);
  return error;
}

int
dks_catalog_decode (const dks_blob_t *record, dks_catalog_t **catalog,
                    dks_catalog_rejection_t *rejection)
{
  json_t *json = json_loadb ((const char *)record->data, record->len, 0, NULL);
  int error;

  *catalog = NULL;
  *rejection = (dks_catalog_rejection_t){ 0 };
  error = json != NULL ? catalog_from_json (json, catalog, rejection)
                       : dks_catalog_reject (rejection, "not JSON");
  json_decref (json);
  return error;
}
