#include "common/error.h"
#include "damaskshore/commands.h"
#include "damaskshore/record.h"

#include <stdlib.h>
#include <string.h>

static void
print_values (dks_cli_t *cli, const char *path, json_t *values)
{
  const char *name;
  json_t *value;

  json_object_foreach (values, name, value)
  {
    if (path != NULL)
      fprintf (cli->out, "%s ", path);
    fprintf (cli->out, "%s = %lld\n", name, (long long)json_integer_value (value));
  }
}

static dks_exit_t
print_record (dks_cli_t *cli)
{
  dks_exit_t exit_code = DKS_EXIT_OK;
  dks_settings_t *settings = dks_record_fetch (cli, &exit_code);
  json_t *record;
  const char *path;
  json_t *values;

  if (settings == NULL)
    return exit_code;
  record = dks_record_json (settings);
  if (cli->json)
    dks_json_print (cli, record);
  else
    {
      fprintf (cli->out, "version %lld\n", (long long)dks_settings_version (settings));
      json_object_foreach (json_object_get (record, "overrides"), path, values)
          print_values (cli, path, values);
    }
  json_decref (record);
  dks_settings_unref (settings);
  return DKS_EXIT_OK;
}

static dks_exit_t
print_effective (dks_cli_t *cli, const char *path)
{
  char *url_path = dks_client_path ("/v1/settings", path);
  dks_client_reply_t reply;
  json_t *body;
  json_t *values;
  int error = dks_client_get (cli, url_path, &reply);
  dks_exit_t exit_code;

  free (url_path);
  if (error != DKS_OK)
    return dks_client_exit (error);
  exit_code = dks_reply_exit (reply.status);
  if (exit_code != DKS_EXIT_OK)
    {
      exit_code = dks_problem_print (cli, &reply);
      dks_client_reply_clear (&reply);
      return exit_code;
    }
  body = dks_reply_json (cli, &reply);
  dks_client_reply_clear (&reply);
  values = json_object_get (body, "values");
  if (!json_is_object (values))
    {
      dks_cli_error (cli, "the answer has no values");
      exit_code = DKS_EXIT_FAILED;
    }
  else if (cli->json)
    dks_json_print (cli, body);
  else
    print_values (cli, NULL, values);
  json_decref (body);
  return exit_code;
}

dks_exit_t
dks_command_settings_get (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *path = arg_str0 (NULL, NULL, "PATH", "/, /SERVICE, ... to /SERVICE/DC/JOB");
  dks_exit_t exit_code;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), path, common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Shows the values that are in force at PATH. Without PATH, shows the version "
                      "and all\noverrides; with --json the whole record.",
                      &exit_code))
    goto out;
  if (path->count == 0)
    exit_code = print_record (cli);
  else if (path->sval[0][0] != '/')
    exit_code = dks_cli_usage (cli, argv[0], "a path begins with '/'");
  else
    exit_code = print_effective (cli, path->sval[0]);
out:
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
