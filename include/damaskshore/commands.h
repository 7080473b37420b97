/**
 * Table of the commands of the command-line tool.
 */
#ifndef DKS_DAMASKSHORE_COMMANDS_H
#define DKS_DAMASKSHORE_COMMANDS_H

#include "damaskshore/cli.h"

typedef struct
{
  const char *name; /**< one or two words, e.g. "settings get" */
  const char *help;
  /** `argv[0]` is the name of the command, the arguments follow. */
  dks_exit_t (*run) (dks_cli_t *cli, int argc, char **argv);
} dks_command_t;

dks_exit_t dks_command_audit (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_cancel (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_counters (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_drain (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_explain (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_settings_diff (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_settings_get (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_settings_history (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_settings_set (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_settings_unset (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_settings_validate (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_status (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_submit (dks_cli_t *cli, int argc, char **argv);
dks_exit_t dks_command_version (dks_cli_t *cli, int argc, char **argv);

/** All commands, ascending by name. */
const dks_command_t *dks_commands (size_t *count);
/** Finds a command by its name, or NULL. */
const dks_command_t *dks_command_find (const char *name);

#endif
