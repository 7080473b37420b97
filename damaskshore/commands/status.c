#include "common/error.h"
#include "core/key.h"
#include "damaskshore/answer.h"
#include "damaskshore/commands.h"

#include <stdlib.h>

static dks_exit_t
print_instance (dks_cli_t *cli, const dks_client_reply_t *reply)
{
  dks_exit_t exit_code = dks_reply_exit (reply->status);
  json_t *body;

  if (exit_code != DKS_EXIT_OK)
    return dks_problem_print (cli, reply);
  body = dks_reply_json (cli, reply);
  if (body == NULL)
    return DKS_EXIT_FAILED;
  if (cli->json)
    dks_json_print (cli, body);
  else
    {
      json_dumpf (body, cli->out, JSON_INDENT (2) | JSON_ENCODE_ANY);
      fputc ('\n', cli->out);
    }
  json_decref (body);
  return DKS_EXIT_OK;
}

dks_exit_t
dks_command_status (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *key = arg_str0 (NULL, NULL, "KEY", "key of a submission");
  dks_client_reply_t reply;
  dks_key_t parsed;
  dks_exit_t exit_code;
  char *path = NULL;
  int error;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), key, common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Shows the state of the first instance that can be reached or, with KEY, the "
                      "answer of a\nsubmission.",
                      &exit_code))
    goto out;
  if (key->count > 0 && dks_key_parse (key->sval[0], &parsed) != DKS_OK)
    {
      exit_code = dks_cli_usage (cli, argv[0], "bad key %s", key->sval[0]);
      goto out;
    }
  path = key->count > 0 ? dks_client_path ("/v1/jobs/", key->sval[0])
                        : dks_client_path ("/v1/status", "");
  error = dks_client_get (cli, path, &reply);
  if (error != DKS_OK)
    {
      exit_code = dks_client_exit (error);
      goto out;
    }
  exit_code = key->count > 0 ? dks_answer_print (cli, key->sval[0], &reply, 0)
                             : print_instance (cli, &reply);
  dks_client_reply_clear (&reply);
out:
  free (path);
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
