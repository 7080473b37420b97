#include "damaskshore/commands.h"
#include "damaskshore/record.h"

static void
add_difference (json_t *list, const char *path, const char *name, const json_t *from,
                const json_t *to)
{
  json_array_append_new (
      list, json_pack ("{s:s,s:s,s:O?,s:O?}", "path", path, "name", name, "from", from, "to", to));
}

/* Appends to `list` the overrides of `from` that `to` removes or changes or, with `additions_only`,
 * the overrides that `to` adds. */
static void
collect_differences (json_t *list, const json_t *from, const json_t *to, bool additions_only)
{
  const json_t *iterated = additions_only ? to : from;
  const json_t *other = additions_only ? from : to;
  const char *path;
  const char *name;
  json_t *values;
  json_t *value;

  json_object_foreach ((json_t *)iterated, path, values)
  {
    json_object_foreach (values, name, value)
    {
      const json_t *match = json_object_get (json_object_get (other, path), name);

      if (additions_only && match == NULL)
        add_difference (list, path, name, NULL, value);
      else if (!additions_only && !json_equal (value, match))
        add_difference (list, path, name, value, match);
    }
  }
}

static void
print_value (dks_cli_t *cli, const json_t *value)
{
  if (json_is_integer (value))
    fprintf (cli->out, "%lld", (long long)json_integer_value (value));
  else
    fputc ('-', cli->out);
}

static dks_exit_t
print_differences (dks_cli_t *cli, const dks_settings_t *from, const dks_settings_t *to)
{
  json_t *from_record = dks_record_json (from);
  json_t *to_record = dks_record_json (to);
  json_t *list = json_array ();
  json_t *item;
  size_t i;
  bool is_different;

  collect_differences (list, json_object_get (from_record, "overrides"),
                       json_object_get (to_record, "overrides"), false);
  collect_differences (list, json_object_get (from_record, "overrides"),
                       json_object_get (to_record, "overrides"), true);
  is_different = json_array_size (list) > 0;
  if (cli->json)
    dks_json_print (cli, list);
  else
    {
      json_array_foreach (list, i, item)
      {
        fprintf (cli->out, "%s %s ", json_string_value (json_object_get (item, "path")),
                 json_string_value (json_object_get (item, "name")));
        print_value (cli, json_object_get (item, "from"));
        fputs (" -> ", cli->out);
        print_value (cli, json_object_get (item, "to"));
        fputc ('\n', cli->out);
      }
    }
  json_decref (list);
  json_decref (from_record);
  json_decref (to_record);
  return is_different ? DKS_EXIT_DIFFERENT : DKS_EXIT_OK;
}

dks_exit_t
dks_command_settings_diff (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *files =
      arg_strn (NULL, NULL, "FILE", 1, 2, "record file, or - for standard input");
  dks_settings_t *from = NULL;
  dks_settings_t *to = NULL;
  dks_exit_t exit_code = DKS_EXIT_OK;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), files, common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Lists the overrides in which FILE differs from the record of the server or, "
                      "with two\nfiles, the second from the first. Versions and histories are not "
                      "compared.",
                      &exit_code))
    goto out;
  to = dks_record_read (cli, files->sval[files->count - 1], &exit_code);
  if (to != NULL)
    from = files->count == 2 ? dks_record_read (cli, files->sval[0], &exit_code)
                             : dks_record_fetch (cli, &exit_code);
  if (from != NULL)
    exit_code = print_differences (cli, from, to);
out:
  dks_settings_unref (from);
  dks_settings_unref (to);
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
