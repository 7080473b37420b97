#include "common/error.h"
#include "damaskshore/commands.h"
#include "damaskshore/record.h"

dks_exit_t
dks_command_settings_set (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *actor = arg_str0 (NULL, "actor", "NAME", "who makes the change, for the audit");
  struct arg_str *path = arg_str1 (NULL, NULL, "PATH", "/, /SERVICE, ... to /SERVICE/DC/JOB");
  struct arg_str *name = arg_str1 (NULL, NULL, "NAME", "name of the setting");
  struct arg_str *text = arg_str1 (NULL, NULL, "VALUE", "new value, an integer");
  dks_exit_t exit_code;
  int64_t value;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), actor, path, name, text, common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Overrides a setting at a path and everything below it.", &exit_code))
    goto out;
  if (dks_cli_parse_integer (text->sval[0], INT64_MIN, INT64_MAX, &value) != DKS_OK)
    {
      exit_code = dks_cli_usage (cli, argv[0], "%s is not an integer", text->sval[0]);
      goto out;
    }
  exit_code = dks_record_edit (cli, argv[0], actor->count > 0 ? actor->sval[0] : NULL,
                               path->sval[0], name->sval[0], &value);
out:
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
