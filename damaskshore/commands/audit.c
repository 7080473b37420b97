#include "common/error.h"
#include "damaskshore/answer.h"
#include "damaskshore/commands.h"

dks_exit_t
dks_command_audit (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  dks_client_reply_t reply;
  json_t *body = NULL;
  json_t *changes;
  dks_exit_t exit_code;
  int error;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Lists the accepted changes of the settings, oldest first: version, time, "
                      "actor, path,\nname, earlier and new value.",
                      &exit_code))
    goto out;
  error = dks_client_get (cli, "/v1/audit", &reply);
  if (error != DKS_OK)
    {
      exit_code = dks_client_exit (error);
      goto out;
    }
  exit_code = dks_reply_exit (reply.status);
  if (exit_code != DKS_EXIT_OK)
    exit_code = dks_problem_print (cli, &reply);
  else
    {
      body = dks_reply_json (cli, &reply);
      changes = json_object_get (body, "history");
      if (json_is_array (changes))
        dks_changes_print (cli, changes, NULL);
      else
        {
          dks_cli_error (cli, "the answer has no list of changes");
          exit_code = DKS_EXIT_FAILED;
        }
    }
  json_decref (body);
  dks_client_reply_clear (&reply);
out:
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
