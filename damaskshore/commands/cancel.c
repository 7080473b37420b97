#include "common/error.h"
#include "core/key.h"
#include "damaskshore/answer.h"
#include "damaskshore/commands.h"

#include <stdlib.h>

enum
{
  CANCEL_TIMEOUT_MS = 10000 /* of the exchange with one server */
};

dks_exit_t
dks_command_cancel (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *key = arg_str1 (NULL, NULL, "KEY", "key of the submission");
  dks_client_request_t request = { .method = "DELETE", .timeout_ms = CANCEL_TIMEOUT_MS };
  dks_client_reply_t reply;
  dks_key_t parsed;
  dks_exit_t exit_code;
  char *path = NULL;
  int error = DKS_ERR_UNAVAILABLE;
  bool may_have_been_sent = false;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), key, common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Cancels a submission. A submission that has not started never starts "
                      "afterwards.",
                      &exit_code))
    goto out;
  if (dks_key_parse (key->sval[0], &parsed) != DKS_OK)
    {
      exit_code = dks_cli_usage (cli, argv[0], "bad key %s", key->sval[0]);
      goto out;
    }
  path = dks_client_path ("/v1/jobs/", key->sval[0]);
  request.path = path;
  /* Cancelling is idempotent, so a request without an answer is sent again to the next server. */
  for (size_t i = 0; i < cli->server_count && error != DKS_OK; i++)
    {
      error = dks_client_call_server (cli, cli->servers[i], &request, &reply);
      may_have_been_sent = may_have_been_sent || (error != DKS_OK && error != DKS_ERR_UNAVAILABLE);
    }
  if (error != DKS_OK)
    {
      exit_code = may_have_been_sent ? DKS_EXIT_UNKNOWN : DKS_EXIT_UNREACHABLE;
      goto out;
    }
  exit_code = dks_answer_print (cli, key->sval[0], &reply, 0);
  dks_client_reply_clear (&reply);
out:
  free (path);
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
