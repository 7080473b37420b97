#include "damaskshore/record.h"

#include "common/alloc.h"
#include "common/error.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Limit of the whole exchange. It exceeds the 9 s within which an accepted change must be in
   * force at every instance. */
  EDIT_TIMEOUT_MS = 20000,
  HEADER_SIZE = 128 /* bytes of the header line with the actor, with NUL */
};

dks_settings_t *
dks_record_read (dks_cli_t *cli, const char *file, dks_exit_t *exit_code)
{
  dks_settings_t *settings = NULL;
  char detail[DKS_TEXT_SIZE];
  char *text;
  size_t len;

  if (dks_cli_read_file (cli, file, DKS_SETTINGS_RECORD_MAX, &text, &len) != DKS_OK)
    {
      *exit_code = DKS_EXIT_FAILED;
      return NULL;
    }
  if (dks_settings_parse (text, len, &settings, detail) != DKS_OK)
    {
      dks_cli_error (cli, "%s: %s", file, detail);
      *exit_code = DKS_EXIT_FAILED;
    }
  free (text);
  return settings;
}

dks_settings_t *
dks_record_fetch (dks_cli_t *cli, dks_exit_t *exit_code)
{
  dks_settings_t *settings = NULL;
  dks_client_reply_t reply;
  char detail[DKS_TEXT_SIZE];
  int error = dks_client_get (cli, "/v1/settings", &reply);

  if (error != DKS_OK)
    {
      *exit_code = dks_client_exit (error);
      return NULL;
    }
  if (reply.status != 200)
    {
      *exit_code = dks_problem_print (cli, &reply);
      if (*exit_code == DKS_EXIT_OK)
        *exit_code = DKS_EXIT_FAILED;
    }
  else if (dks_settings_parse (reply.body, reply.len, &settings, detail) != DKS_OK)
    {
      dks_cli_error (cli, "the record of the server: %s", detail);
      *exit_code = DKS_EXIT_FAILED;
    }
  dks_client_reply_clear (&reply);
  return settings;
}

json_t *
dks_record_json (const dks_settings_t *settings)
{
  dks_blob_t *blob = dks_settings_format (settings);
  json_t *record = json_loadb ((const char *)blob->data, blob->len, 0, NULL);

  DKS_INVARIANT (record != NULL);
  dks_blob_unref (blob);
  return record;
}

static dks_exit_t
print_edit_reply (dks_cli_t *cli, const dks_client_reply_t *reply)
{
  json_t *body;
  const json_t *version;
  const json_t *total;
  const json_t *in_force;
  const json_t *missing;
  char *missing_text = NULL;
  bool is_own;

  body = dks_reply_json (cli, reply);
  is_own = dks_reply_is_from_instance (body);
  if (reply->status != 200)
    {
      json_decref (body);
      dks_problem_print (cli, reply);
      /* A server error that does not come from an instance proves nothing about the edit. */
      return reply->status >= 500 && !is_own ? DKS_EXIT_UNKNOWN : dks_reply_exit (reply->status);
    }
  version = json_object_get (body, "version");
  if (!json_is_integer (version))
    {
      dks_cli_error (cli, "the answer to the edit has no version");
      json_decref (body);
      return DKS_EXIT_UNKNOWN;
    }
  total = json_object_get (body, "instances_total");
  in_force = json_object_get (body, "instances_in_force");
  missing = json_object_get (body, "missing");
  if (cli->json)
    dks_json_print (cli, body);
  else
    {
      fprintf (cli->out, "version %lld accepted", (long long)json_integer_value (version));
      if (json_is_integer (total) && json_is_integer (in_force))
        fprintf (cli->out, ", in force at %lld of %lld instances",
                 (long long)json_integer_value (in_force), (long long)json_integer_value (total));
      fputc ('\n', cli->out);
    }
  if (json_array_size (missing) > 0 || json_string_length (missing) > 0)
    {
      missing_text = json_dumps (missing, JSON_COMPACT | JSON_ENCODE_ANY);
      dks_cli_error (cli, "not known to be in force in: %s", missing_text);
      free (missing_text);
    }
  json_decref (body);
  return DKS_EXIT_OK;
}

dks_exit_t
dks_record_edit (dks_cli_t *cli, const char *command, const char *actor, const char *path,
                 const char *name, const int64_t *value)
{
  char header[HEADER_SIZE];
  const char *const headers[] = { header, NULL };
  dks_client_request_t request = { .headers = headers, .timeout_ms = EDIT_TIMEOUT_MS };
  dks_client_reply_t reply;
  char *settings_path = NULL;
  char *query = NULL;
  char *body = NULL;
  json_t *json = NULL;
  dks_exit_t exit_code;
  int error;

  if (actor == NULL)
    actor = cli->env_actor;
  if (actor == NULL || actor[0] == '\0')
    return dks_cli_usage (cli, command, "no actor: give --actor NAME or set DAMASKSHORE_ACTOR");
  if (strlen (actor) >= DKS_NAME_SIZE || strpbrk (actor, "\r\n") != NULL)
    return dks_cli_usage (cli, command, "an actor has at most %d bytes on one line",
                          DKS_NAME_SIZE - 1);
  if (path[0] != '/')
    return dks_cli_usage (cli, command, "a path begins with '/', like /SERVICE/DATA_CENTRE/JOB");
  snprintf (header, sizeof (header), "Damaskshore-Actor: %s", actor);
  settings_path = dks_client_path ("/v1/settings", path);
  if (value != NULL)
    {
      json = json_pack ("{s:s,s:I}", "name", name, "value", (json_int_t)*value);
      if (json == NULL)
        {
          exit_code = dks_cli_usage (cli, command, "the name of the setting is not UTF-8");
          goto out;
        }
      body = json_dumps (json, JSON_COMPACT);
      request.method = "PUT";
      request.path = settings_path;
      request.body = body;
    }
  else
    {
      size_t size = strlen (settings_path) + sizeof ("?name=");
      char *prefix = dks_alloc (size);

      snprintf (prefix, size, "%s?name=", settings_path);
      query = dks_client_path (prefix, name);
      free (prefix);
      request.method = "DELETE";
      request.path = query;
    }
  error = dks_client_call (cli, &request, &reply);
  if (error != DKS_OK)
    {
      exit_code = dks_client_exit (error);
      if (exit_code == DKS_EXIT_UNKNOWN)
        dks_cli_error (cli, "the edit may have been made; see 'damaskshore settings history %s'",
                       path);
      goto out;
    }
  exit_code = print_edit_reply (cli, &reply);
  dks_client_reply_clear (&reply);
out:
  free (settings_path);
  free (query);
  free (body);
  json_decref (json);
  return exit_code;
}
