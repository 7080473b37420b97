#include "common/alloc.h"
#include "common/error.h"
#include "core/key.h"
#include "net/http_exchange.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum
{
  SMALL_BODY_MAX_BYTES = 1024, /* of bodies like {"value":N} */
  SERVER_VALUES_SIZE = 160,    /* digits of the server's own metrics */
  PATH_LEVELS_MAX = 3          /* of the settings tree: service, data centre, job */
};

#define JSON_TYPE "application/json"
#define TEXT_TYPE "text/plain; charset=utf-8"

static const dks_reducer_t *
exchange_reducer (const dks_http_exchange_t *exchange)
{
  const dks_http_server_callbacks_t *callbacks = &exchange->server->callbacks;

  return callbacks->reducer (callbacks->context);
}

static void
exchange_emit (dks_http_exchange_t *exchange, dks_event_t *event)
{
  const dks_http_server_callbacks_t *callbacks = &exchange->server->callbacks;

  callbacks->event (callbacks->context, event);
}

/* Whether the comma-separated list of a Prefer header contains "respond-async" (RFC 7240). */
static bool
prefers_async (const char *header)
{
  static const char name[] = "respond-async";

  while (header != NULL && *header != '\0')
    {
      size_t len = strcspn (header, ",");
      size_t start = strspn (header, " \t");
      size_t end = start + strcspn (header + start, ",; \t");

      if (end - start == sizeof (name) - 1 && strncasecmp (header + start, name, end - start) == 0)
        return true;
      header += len;
      header += *header == ',';
    }
  return false;
}

static void
emit_submission (dks_http_exchange_t *exchange, bool single)
{
  const dks_http_json_context_t context = {
    .single = single,
    .arrival_wall_ms = dks_loop_now ().wall_ms,
    .deadline_default_ms = exchange->server->config.deadline_default_ms,
  };
  dks_event_t event = { .type = DKS_EVENT_SUBMIT };
  dks_submission_t *submission = NULL;
  char detail[DKS_TEXT_SIZE] = "";
  int error = dks_http_json_decode_submission (exchange->body, exchange->body_len, &context,
                                               &submission, detail);

  if (error != DKS_OK)
    {
      bool too_large = error == DKS_ERR_TOO_LARGE;
      dks_http_exchange_reject (exchange, too_large ? 413 : 400,
                                too_large ? "too-large" : "bad-request", detail);
      return;
    }
  memcpy (submission->key, exchange->key, sizeof (submission->key));
  submission->issued_ms = exchange->issued_ms;
  submission->respond_async = prefers_async (dks_http_exchange_request_header (exchange, "Prefer"));
  event.u.submit.caller = dks_http_exchange_register_caller (exchange);
  event.u.submit.submission = submission;
  exchange_emit (exchange, &event);
  dks_submission_unref (submission);
}

static void
handle_post_jobs (dks_http_exchange_t *exchange)
{
  emit_submission (exchange, false);
}

static void
handle_post_requests (dks_http_exchange_t *exchange)
{
  emit_submission (exchange, true);
}

static void
emit_key_event (dks_http_exchange_t *exchange, dks_event_type_t type)
{
  dks_event_t event = { .type = type };
  dks_key_t key;

  if (dks_key_parse (exchange->subpath, &key) != DKS_OK)
    {
      dks_http_exchange_reject (exchange, 400, "bad-request",
                                "the path has no valid key: expected a UUIDv7 or "
                                "<13 digit Unix ms>-<name>, with an optional <data centre>~");
      return;
    }
  dks_strcpy (exchange->key, sizeof (exchange->key), exchange->subpath);
  event.u.key.caller = dks_http_exchange_register_caller (exchange);
  event.u.key.key = exchange->key;
  exchange_emit (exchange, &event);
}

static void
handle_get_job (dks_http_exchange_t *exchange)
{
  emit_key_event (exchange, DKS_EVENT_QUERY);
}

static void
handle_delete_job (dks_http_exchange_t *exchange)
{
  emit_key_event (exchange, DKS_EVENT_CANCEL);
}

/* A path below /v1/settings/: up to three levels and, when `name` is not empty, a setting. */
typedef struct
{
  char path[DKS_TEXT_SIZE]; /* the levels, as in the settings tree: "/", "/SERVICE", ... */
  char levels[PATH_LEVELS_MAX][DKS_NAME_SIZE];
  char name[DKS_NAME_SIZE];
} settings_path_t;

/* Whether the last part of a path is the name of a setting. */
typedef enum
{
  NAME_ABSENT,
  NAME_OPTIONAL, /* it is a name if the settings tree has such a setting */
  NAME_REQUIRED
} name_mode_t;

static bool
is_level (const char *text, size_t len)
{
  if (len < 1 || len >= DKS_NAME_SIZE)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      if (!isalnum ((unsigned char)text[i]) && strchr ("-_.:", text[i]) == NULL)
        return false;
    }
  return true;
}

static bool
parse_settings_path (const char *subpath, name_mode_t mode, settings_path_t *out)
{
  char parts[PATH_LEVELS_MAX + 1][DKS_NAME_SIZE] = { "" };
  size_t count = 0;
  size_t len = 0;

  memset (out, 0, sizeof (*out));
  while (*subpath != '\0')
    {
      size_t part = strcspn (subpath, "/");

      if (count == PATH_LEVELS_MAX + 1 || !is_level (subpath, part))
        return false;
      memcpy (parts[count++], subpath, part);
      subpath += part;
      if (*subpath == '/' && *++subpath == '\0')
        return false;
    }
  if (count > 0
      && (mode == NAME_REQUIRED
          || (mode == NAME_OPTIONAL && dks_http_json_is_setting (parts[count - 1]))))
    memcpy (out->name, parts[--count], DKS_NAME_SIZE);
  if (count > PATH_LEVELS_MAX || (mode == NAME_REQUIRED && out->name[0] == '\0'))
    return false;
  out->path[0] = '/';
  for (size_t i = 0; i < count; i++)
    {
      memcpy (out->levels[i], parts[i], DKS_NAME_SIZE);
      len += (size_t)snprintf (out->path + len, sizeof (out->path) - len, "/%s", parts[i]);
    }
  return true;
}

static void
reject_settings_path (dks_http_exchange_t *exchange, const char *form)
{
  char detail[DKS_TEXT_SIZE];

  snprintf (detail, sizeof (detail),
            "expected /v1/settings/%s with names of letters, digits, '-', '_', '.' or ':'", form);
  dks_http_exchange_reject (exchange, 400, "bad-request", detail);
}

static void
handle_get_settings (dks_http_exchange_t *exchange)
{
  dks_blob_t *blob = dks_settings_format (dks_reducer_settings (exchange_reducer (exchange)));

  dks_http_exchange_reply (exchange, 200, JSON_TYPE, dks_strdup ((const char *)blob->data));
  dks_blob_unref (blob);
}

static void
handle_get_setting (dks_http_exchange_t *exchange)
{
  const dks_settings_t *settings = dks_reducer_settings (exchange_reducer (exchange));
  dks_settings_values_t values;
  settings_path_t path;

  if (!parse_settings_path (exchange->subpath, NAME_OPTIONAL, &path))
    {
      reject_settings_path (exchange, "[SERVICE[/DATA_CENTRE[/JOB]]][/NAME]");
      return;
    }
  dks_settings_resolve (settings, path.levels[0], path.levels[1], path.levels[2], &values);
  dks_http_exchange_reply (
      exchange, 200, JSON_TYPE,
      dks_http_json_encode_effective (path.path, path.name[0] != '\0' ? path.name : NULL,
                                      dks_settings_version (settings), &values));
}

/* Whether `text` is a valid name of an operator, as written to the audit trail. */
static bool
is_actor (const char *text)
{
  size_t len = text != NULL ? strlen (text) : 0;

  return len >= 1 && len < DKS_NAME_SIZE && dks_http_json_is_text (text);
}

/* Passes a settings edit to the reducer. The name of the setting is `name`, or the last part of the
 * path when `name` is NULL or empty. */
static void
emit_settings_edit (dks_http_exchange_t *exchange, const char *name, bool unset, int64_t value)
{
  dks_event_t event = { .type = DKS_EVENT_SETTINGS_EDIT };
  dks_settings_edit_t *change = &event.u.settings_edit.edit;
  const char *actor = dks_http_exchange_request_header (exchange, "Damaskshore-Actor");
  bool named = name != NULL && name[0] != '\0';
  settings_path_t path;

  if (!is_actor (actor))
    {
      dks_http_exchange_reject (exchange, 400, "bad-request",
                                "the header Damaskshore-Actor must have 1 to 47 bytes of UTF-8 "
                                "without control characters");
      return;
    }
  if (!parse_settings_path (exchange->subpath, named ? NAME_ABSENT : NAME_REQUIRED, &path)
      || (named && dks_strcpy (path.name, sizeof (path.name), name) != DKS_OK))
    {
      reject_settings_path (exchange, "[SERVICE/[DATA_CENTRE/[JOB/]]]NAME");
      return;
    }
  dks_strcpy (change->actor, sizeof (change->actor), actor);
  memcpy (change->path, path.path, sizeof (change->path));
  memcpy (change->name, path.name, sizeof (change->name));
  change->unset = unset;
  change->value = value;
  event.u.settings_edit.caller = dks_http_exchange_register_caller (exchange);
  exchange_emit (exchange, &event);
}

static void
handle_put_setting (dks_http_exchange_t *exchange)
{
  char name[DKS_NAME_SIZE];
  char detail[DKS_TEXT_SIZE] = "";
  int64_t value = 0;

  if (dks_http_json_decode_edit (exchange->body, exchange->body_len, name, &value, detail)
      != DKS_OK)
    dks_http_exchange_reject (exchange, 400, "bad-request", detail);
  else
    emit_settings_edit (exchange, name, false, value);
}

static void
handle_delete_setting (dks_http_exchange_t *exchange)
{
  const char *name =
      MHD_lookup_connection_value (exchange->connection, MHD_GET_ARGUMENT_KIND, "name");

  emit_settings_edit (exchange, name, true, 0);
}

static void
handle_get_audit (dks_http_exchange_t *exchange)
{
  dks_http_exchange_reply (
      exchange, 200, JSON_TYPE,
      dks_http_json_encode_audit (dks_reducer_settings (exchange_reducer (exchange))));
}

static void
handle_post_drain (dks_http_exchange_t *exchange)
{
  dks_event_t event = { .type = DKS_EVENT_DRAIN };

  exchange_emit (exchange, &event);
  dks_http_exchange_reply (exchange, 202, JSON_TYPE, dks_strdup ("{\"draining\":true}"));
}

static void
handle_get_status (dks_http_exchange_t *exchange)
{
  dks_http_exchange_reply (exchange, 200, JSON_TYPE,
                           dks_reducer_status (exchange_reducer (exchange)));
}

static void
handle_get_metrics (dks_http_exchange_t *exchange)
{
  static const char server_metrics[] =
      "# HELP damaskshore_http_connections Connections of callers.\n"
      "# TYPE damaskshore_http_connections gauge\n"
      "damaskshore_http_connections %" PRIu32 "\n"
      "# HELP damaskshore_http_open_requests Requests without a complete reply.\n"
      "# TYPE damaskshore_http_open_requests gauge\n"
      "damaskshore_http_open_requests %" PRIu32 "\n"
      "# HELP damaskshore_log_lines_dropped_total Log lines that the reader had no room for.\n"
      "# TYPE damaskshore_log_lines_dropped_total counter\n"
      "damaskshore_log_lines_dropped_total %" PRIu64 "\n"
      "# HELP damaskshore_memory_held_bytes Memory held for clients and other instances.\n"
      "# TYPE damaskshore_memory_held_bytes gauge\n"
      "damaskshore_memory_held_bytes %zu\n"
      "# HELP damaskshore_memory_limit_bytes Limit of the memory held.\n"
      "# TYPE damaskshore_memory_limit_bytes gauge\n"
      "damaskshore_memory_limit_bytes %zu\n"
      "# HELP damaskshore_memory_refused_total Requests and frames refused for want of memory.\n"
      "# TYPE damaskshore_memory_refused_total counter\n"
      "damaskshore_memory_refused_total %" PRIu64 "\n"
      "# HELP damaskshore_connections_yielded_total Connections that made no progress and were "
      "closed, for want of memory or connections.\n"
      "# TYPE damaskshore_connections_yielded_total counter\n"
      "damaskshore_connections_yielded_total %" PRIu64 "\n";
  const dks_http_server_t *server = exchange->server;
  char *reducer_metrics = dks_reducer_metrics (exchange_reducer (exchange));
  dks_counters_t counters = *dks_reducer_counters (exchange_reducer (exchange));
  char *text;
  size_t len;
  size_t size;

  counters.values[DKS_COUNTER_BAD_INPUT] += server->bad_input_total;
  text = dks_counters_format (&counters);
  len = strlen (text);
  size = len + sizeof (server_metrics) + SERVER_VALUES_SIZE
         + (reducer_metrics != NULL ? strlen (reducer_metrics) : 0);
  text = dks_realloc (text, size);
  len += (size_t)snprintf (
      text + len, size - len, server_metrics, server->connection_count, server->open_requests,
      dks_log_dropped (), dks_memory_account_used (server->memory),
      dks_memory_account_limit (server->memory), dks_memory_account_refused_total (server->memory),
      dks_memory_account_yielded_total (server->memory));
  if (reducer_metrics != NULL)
    dks_strcpy (text + len, size - len, reducer_metrics);
  free (reducer_metrics);

  dks_http_exchange_reply (exchange, 200, TEXT_TYPE, text);
}

static void
handle_get_healthz (dks_http_exchange_t *exchange)
{
  if (exchange->server->draining)
    dks_http_exchange_reply (exchange, 503, TEXT_TYPE, dks_strdup ("draining\n"));
  else
    dks_http_exchange_reply (exchange, 200, TEXT_TYPE, dks_strdup ("ok\n"));
}

/* Sorted by path and method. */
static const dks_http_route_t routes[] = {
  { "/healthz", "GET", handle_get_healthz, 0, false, false },
  { "/metrics", "GET", handle_get_metrics, 0, false, false },
  { "/v1/audit", "GET", handle_get_audit, 0, false, false },
  { "/v1/drain", "POST", handle_post_drain, SMALL_BODY_MAX_BYTES, false, false },
  { "/v1/jobs", "POST", handle_post_jobs, DKS_SUBMISSION_MAX, true, false },
  { "/v1/jobs/", "DELETE", handle_delete_job, 0, false, false },
  { "/v1/jobs/", "GET", handle_get_job, 0, false, false },
  { "/v1/requests", "POST", handle_post_requests, DKS_SUBMISSION_MAX, true, false },
  { "/v1/settings", "GET", handle_get_settings, 0, false, false },
  { "/v1/settings/", "DELETE", handle_delete_setting, 0, false, false },
  { "/v1/settings/", "GET", handle_get_setting, 0, false, false },
  { "/v1/settings/", "PUT", handle_put_setting, SMALL_BODY_MAX_BYTES, false, false },
  { "/v1/status", "GET", handle_get_status, 0, false, false },
};

static bool
route_matches (const dks_http_route_t *route, const char *path, const char **subpath)
{
  size_t len = strlen (route->path);

  if (strncmp (route->path, path, len) != 0)
    return false;
  *subpath = path + len;
  return route->path[len - 1] == '/' || **subpath == '\0';
}

const dks_http_route_t *
dks_http_route_find (const dks_http_route_t *table, size_t count, const char *method,
                     const char *path, const char **subpath, char allow[64])
{
  size_t len = 0;

  allow[0] = '\0';
  if (strcmp (method, MHD_HTTP_METHOD_HEAD) == 0)
    method = MHD_HTTP_METHOD_GET;
  for (size_t i = 0; i < count; i++)
    {
      if (!route_matches (&table[i], path, subpath))
        continue;
      if (strcmp (table[i].method, method) == 0)
        return &table[i];
      len += (size_t)snprintf (allow + len, 64 - len, "%s%s", len > 0 ? ", " : "", table[i].method);
    }
  return NULL;
}

const dks_http_route_t *
dks_http_default_route_find (const char *method, const char *path, const char **subpath,
                             char allow[64])
{
  return dks_http_route_find (routes, sizeof (routes) / sizeof (routes[0]), method, path, subpath,
                              allow);
}
