#include "damaskshore/commands.h"
#include "damaskshore/record.h"

dks_exit_t
dks_command_settings_validate (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *file = arg_str1 (NULL, NULL, "FILE", "record file, or - for standard input");
  dks_settings_t *settings;
  dks_exit_t exit_code = DKS_EXIT_OK;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), file, common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Checks a record of settings without a server.", &exit_code))
    goto out;
  settings = dks_record_read (cli, file->sval[0], &exit_code);
  if (settings == NULL)
    goto out;
  if (cli->json)
    fprintf (cli->out, "{\"valid\":true,\"version\":%lld}\n",
             (long long)dks_settings_version (settings));
  else
    fprintf (cli->out, "%s: valid, version %lld\n", file->sval[0],
             (long long)dks_settings_version (settings));
  exit_code = DKS_EXIT_OK;
  dks_settings_unref (settings);
out:
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
