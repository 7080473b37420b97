#include "common/error.h"
#include "damaskshore/answer.h"
#include "damaskshore/commands.h"

#include <stdlib.h>
#include <string.h>

/* Prints `text`, which is in the Prometheus text format without timestamps: lines "NAME[{LABELS}]
 * VALUE" and comments. */
static void
print_counters (dks_cli_t *cli, char *text)
{
  json_t *values = json_object ();
  const char *name;
  json_t *value;
  char *rest = NULL;

  for (char *line = strtok_r (text, "\r\n", &rest); line != NULL;
       line = strtok_r (NULL, "\r\n", &rest))
    {
      char *space = strrchr (line, ' ');
      int64_t number;

      if (line[0] == '#' || space == NULL)
        continue;
      *space = '\0';
      if (dks_cli_parse_integer (space + 1, INT64_MIN, INT64_MAX, &number) == DKS_OK)
        json_object_set_new (values, line, json_integer (number));
      else
        json_object_set_new (values, line, json_string (space + 1));
    }
  if (cli->json)
    dks_json_print (cli, values);
  else
    {
      json_object_foreach (values, name, value)
      {
        if (json_is_integer (value))
          fprintf (cli->out, "%-56s %lld\n", name, (long long)json_integer_value (value));
        else
          fprintf (cli->out, "%-56s %s\n", name, json_string_value (value));
      }
    }
  json_decref (values);
}

dks_exit_t
dks_command_counters (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  dks_client_reply_t reply;
  dks_exit_t exit_code;
  int error;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Shows the counters of the first instance that can be reached.", &exit_code))
    goto out;
  error = dks_client_get (cli, "/metrics", &reply);
  if (error != DKS_OK)
    {
      exit_code = dks_client_exit (error);
      goto out;
    }
  exit_code = dks_reply_exit (reply.status);
  if (exit_code == DKS_EXIT_OK)
    print_counters (cli, reply.body);
  else
    exit_code = dks_problem_print (cli, &reply);
  dks_client_reply_clear (&reply);
out:
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
