#include "damaskshore/commands.h"

#include <stdlib.h>
#include <string.h>

/* Sorted by name, because dks_command_find() uses a binary search. */
static const dks_command_t commands[] = {
  { "audit", "list the accepted changes of the settings", dks_command_audit },
  { "cancel", "cancel a submission", dks_command_cancel },
  { "counters", "show the counters of an instance", dks_command_counters },
  { "drain", "shut an instance down gracefully", dks_command_drain },
  { "explain", "tell from logs what became of a job and why", dks_command_explain },
  { "settings diff", "compare a record file with the server or another file",
    dks_command_settings_diff },
  { "settings get", "show the settings of a path, or the whole record", dks_command_settings_get },
  { "settings history", "list the recorded changes of a path", dks_command_settings_history },
  { "settings set", "override a setting", dks_command_settings_set },
  { "settings unset", "remove an override", dks_command_settings_unset },
  { "settings validate", "check a record file", dks_command_settings_validate },
  { "status", "show an instance, or the answer of a submission", dks_command_status },
  { "submit", "submit a job or a request and wait for the answer", dks_command_submit },
  { "version", "show the version of this program", dks_command_version },
};

static int
compare_name (const void *name, const void *command)
{
  return strcmp (name, ((const dks_command_t *)command)->name);
}

const dks_command_t *
dks_commands (size_t *count)
{
  *count = sizeof (commands) / sizeof (commands[0]);
  return commands;
}

const dks_command_t *
dks_command_find (const char *name)
{
  return bsearch (name, commands, sizeof (commands) / sizeof (commands[0]), sizeof (commands[0]),
                  compare_name);
}
