#include "common/error.h"
#include "damaskshore/answer.h"
#include "damaskshore/commands.h"

enum
{
  DRAIN_TIMEOUT_MS = 10000 /* of the request, not of the drain */
};

dks_exit_t
dks_command_drain (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  const dks_client_request_t request = {
    .method = "POST", .path = "/v1/drain", .body = "", .timeout_ms = DRAIN_TIMEOUT_MS
  };
  dks_client_reply_t reply;
  dks_exit_t exit_code;
  int error;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Shuts down the instance at --server gracefully: it takes no new work, "
                      "finishes what is\nrunning and exits. Returns when the instance has accepted "
                      "the request.",
                      &exit_code))
    goto out;
  /* With several servers, a request that is sent again to the next server could drain a second
   * instance. */
  if (cli->server_count != 1)
    {
      exit_code = dks_cli_usage (cli, argv[0], "drain needs exactly one --server");
      goto out;
    }
  error = dks_client_call (cli, &request, &reply);
  if (error != DKS_OK)
    {
      exit_code = dks_client_exit (error);
      goto out;
    }
  /* 202 is success here: the instance answers before it drains. */
  exit_code = reply.status == 202 ? DKS_EXIT_OK : dks_reply_exit (reply.status);
  if (exit_code != DKS_EXIT_OK)
    exit_code = dks_problem_print (cli, &reply);
  else if (cli->json)
    fprintf (cli->out, "{\"draining\":true}\n");
  else
    fprintf (cli->out, "%s is draining\n", cli->servers[0]);
  dks_client_reply_clear (&reply);
out:
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
