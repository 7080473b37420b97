#include "damaskshore/commands.h"
#include "damaskshore/record.h"

dks_exit_t
dks_command_settings_history (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *path = arg_str0 (NULL, NULL, "PATH", "show only changes of this path");
  dks_settings_t *settings;
  json_t *record;
  dks_exit_t exit_code = DKS_EXIT_OK;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), path, common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Lists the changes in the record of settings, oldest first: version, time, "
                      "actor, path,\nname, earlier and new value.",
                      &exit_code))
    goto out;
  settings = dks_record_fetch (cli, &exit_code);
  if (settings == NULL)
    goto out;
  record = dks_record_json (settings);
  dks_changes_print (cli, json_object_get (record, "history"),
                     path->count > 0 ? path->sval[0] : NULL);
  exit_code = DKS_EXIT_OK;
  json_decref (record);
  dks_settings_unref (settings);
out:
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
