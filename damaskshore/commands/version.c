#include "damaskshore/commands.h"

dks_exit_t
dks_command_version (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  dks_exit_t exit_code;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), common.end };
  if (dks_cli_parse (cli, argc, argv, table, &common, "Shows the version of this program.",
                     &exit_code))
    {
      fprintf (cli->out, cli->json ? "{\"version\":\"%s\"}\n" : "damaskshore %s\n", DKS_VERSION);
      exit_code = DKS_EXIT_OK;
    }
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
