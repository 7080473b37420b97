#include "damaskshore/cli.h"

#include "common/alloc.h"
#include "common/error.h"
#include "damaskshore/commands.h"

#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ERRORS_SHOWN_MAX = 8 /* usage errors reported per run */
};

/* Default HTTP address of damaskshored. */
static const char default_server[] = "http://127.0.0.1:8080";

void
dks_cli_common_create (dks_cli_common_t *common)
{
  common->server =
      arg_strn (NULL, "server", "URL", 0, DKS_CLI_SERVERS_MAX,
                "base URL of an instance, repeatable (default: http://127.0.0.1:8080)");
  common->json = arg_lit0 (NULL, "json", "write JSON to standard output");
  common->help = arg_lit0 ("h", "help", "show this text and exit");
  common->end = arg_end (ERRORS_SHOWN_MAX);
  DKS_INVARIANT (common->server != NULL && common->json != NULL && common->help != NULL
                 && common->end != NULL);
}

static void
write_line (dks_cli_t *cli, const char *format, va_list args)
{
  fputs ("damaskshore: ", cli->err);
  vfprintf (cli->err, format, args);
  fputc ('\n', cli->err);
}

void
dks_cli_error (dks_cli_t *cli, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  write_line (cli, format, args);
  va_end (args);
}

dks_exit_t
dks_cli_usage (dks_cli_t *cli, const char *name, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  write_line (cli, format, args);
  va_end (args);
  fprintf (cli->err, "Try 'damaskshore %s --help'.\n", name);
  return DKS_EXIT_USAGE;
}

static void
servers_clear (dks_cli_t *cli)
{
  for (size_t i = 0; i < cli->server_count; i++)
    free (cli->servers[i]);
  cli->server_count = 0;
}

static int
server_add (dks_cli_t *cli, const char *url, size_t len)
{
  char *copy;

  if (cli->server_count == DKS_CLI_SERVERS_MAX)
    return DKS_ERR_TOO_LARGE;
  while (len > 0 && url[len - 1] == '/')
    len--;
  copy = strndup (url, len);
  DKS_INVARIANT (copy != NULL);
  cli->servers[cli->server_count++] = copy;
  if (strncmp (copy, "http://", 7) != 0 && strncmp (copy, "https://", 8) != 0)
    return DKS_ERR_INVALID;
  return DKS_OK;
}

static int
servers_set (dks_cli_t *cli, const dks_cli_common_t *common)
{
  static const char separators[] = ", ";
  int error = DKS_OK;

  servers_clear (cli);
  for (int i = 0; i < common->server->count && error == DKS_OK; i++)
    error = server_add (cli, common->server->sval[i], strlen (common->server->sval[i]));
  for (const char *c = cli->env_server;
       common->server->count == 0 && c != NULL && *c != '\0' && error == DKS_OK;)
    {
      size_t len = strcspn (c, separators);

      if (len > 0)
        error = server_add (cli, c, len);
      c += len;
      c += strspn (c, separators);
    }
  if (error == DKS_OK && cli->server_count == 0)
    error = server_add (cli, default_server, strlen (default_server));
  return error;
}

static void
print_help (dks_cli_t *cli, const char *name, void **table, const char *help)
{
  fprintf (cli->out, "Usage: damaskshore %s", name);
  arg_print_syntax (cli->out, table, "\n\n");
  fprintf (cli->out, "%s\n\n", help);
  arg_print_glossary (cli->out, table, "  %-24s %s\n");
}

bool
dks_cli_parse (dks_cli_t *cli, int argc, char **argv, void **table, const dks_cli_common_t *common,
               const char *help, dks_exit_t *exit_code)
{
  int errors;

  DKS_INVARIANT (arg_nullcheck (table) == 0);
  errors = arg_parse (argc, argv, table);
  if (common->help->count > 0)
    {
      print_help (cli, argv[0], table, help);
      *exit_code = DKS_EXIT_OK;
      return false;
    }
  if (errors > 0)
    {
      arg_print_errors (cli->err, common->end, "damaskshore");
      fprintf (cli->err, "Try 'damaskshore %s --help'.\n", argv[0]);
      *exit_code = DKS_EXIT_USAGE;
      return false;
    }
  cli->json = common->json->count > 0;
  if (servers_set (cli, common) != DKS_OK)
    {
      *exit_code = dks_cli_usage (cli, argv[0],
                                  "a server must be a URL like http://127.0.0.1:8080, at most %d",
                                  DKS_CLI_SERVERS_MAX);
      return false;
    }
  return true;
}

int
dks_cli_parse_integer (const char *text, int64_t min, int64_t max, int64_t *value)
{
  char *end;
  long long parsed;

  if (*text != '-' && (*text < '0' || *text > '9'))
    return DKS_ERR_INVALID;
  errno = 0;
  parsed = strtoll (text, &end, 10);
  if (errno != 0 || end == text || *end != '\0' || parsed < min || parsed > max)
    return DKS_ERR_INVALID;
  *value = parsed;
  return DKS_OK;
}

int
dks_cli_read_file (dks_cli_t *cli, const char *name, size_t max, char **text, size_t *len)
{
  bool is_stdin = strcmp (name, "-") == 0;
  FILE *file = is_stdin ? stdin : fopen (name, "rb");
  size_t capacity = 0;
  size_t read_len = 1;
  int error = DKS_OK;

  *text = NULL;
  *len = 0;
  if (file == NULL)
    {
      dks_cli_error (cli, "%s: %s", name, strerror (errno));
      return DKS_ERR_IO;
    }
  while (read_len > 0 && *len <= max)
    {
      if (*len + 1 >= capacity)
        {
          capacity = capacity > 0 ? 2 * capacity : 65536;
          *text = dks_realloc (*text, capacity);
        }
      read_len = fread (*text + *len, 1, capacity - *len - 1, file);
      *len += read_len;
    }
  if (ferror (file))
    {
      dks_cli_error (cli, "%s: %s", name, strerror (errno));
      error = DKS_ERR_IO;
    }
  else if (*len > max)
    {
      dks_cli_error (cli, "%s: more than %zu bytes", name, max);
      error = DKS_ERR_TOO_LARGE;
    }
  if (!is_stdin)
    fclose (file);
  if (error != DKS_OK)
    {
      free (*text);
      *text = NULL;
      return error;
    }
  (*text)[*len] = '\0';
  return DKS_OK;
}

static void
print_commands (FILE *file)
{
  size_t count;
  const dks_command_t *commands = dks_commands (&count);

  fputs ("Usage: damaskshore COMMAND [OPTION...] [ARGUMENT...]\n\nCommands:\n", file);
  for (size_t i = 0; i < count; i++)
    fprintf (file, "  %-20s %s\n", commands[i].name, commands[i].help);
  fputs ("\n'damaskshore COMMAND --help' describes one command; see also damaskshore(1).\n", file);
}

dks_exit_t
dks_cli_run (dks_cli_t *cli, int argc, char **argv)
{
  const dks_command_t *command = NULL;
  char name[64];
  char *replaced_arg;
  int command_words = 1;
  dks_exit_t exit_code;

  if (argc < 2)
    {
      print_commands (cli->err);
      return DKS_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    {
      print_commands (cli->out);
      return DKS_EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    return dks_command_version (cli, 1, (char *[]){ "version", NULL });
  if (argc > 2)
    {
      snprintf (name, sizeof (name), "%.30s %.30s", argv[1], argv[2]);
      command = dks_command_find (name);
      command_words = 2;
    }
  if (command == NULL)
    {
      command = dks_command_find (argv[1]);
      command_words = 1;
    }
  if (command == NULL)
    {
      dks_cli_error (cli, "unknown command %s", argv[1]);
      print_commands (cli->err);
      return DKS_EXIT_USAGE;
    }
  replaced_arg = argv[command_words];
  argv[command_words] = (char *)command->name;
  exit_code = command->run (cli, argc - command_words, argv + command_words);
  argv[command_words] = replaced_arg;
  servers_clear (cli);
  return exit_code;
}
