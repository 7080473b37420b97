#include "damaskshore/commands.h"
#include "damaskshore/record.h"

dks_exit_t
dks_command_settings_unset (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *actor = arg_str0 (NULL, "actor", "NAME", "who makes the change, for the audit");
  struct arg_str *path = arg_str1 (NULL, NULL, "PATH", "/, /SERVICE, ... to /SERVICE/DC/JOB");
  struct arg_str *name = arg_str1 (NULL, NULL, "NAME", "name of the setting");
  dks_exit_t exit_code;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), actor, path, name, common.end };
  if (dks_cli_parse (cli, argc, argv, table, &common,
                     "Removes an override, so that the value of the level above applies.",
                     &exit_code))
    exit_code = dks_record_edit (cli, argv[0], actor->count > 0 ? actor->sval[0] : NULL,
                                 path->sval[0], name->sval[0], NULL);
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
