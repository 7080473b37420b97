/**
 * Context of one run of the command-line tool: arguments, output and exit codes.
 */
#ifndef DKS_DAMASKSHORE_CLI_H
#define DKS_DAMASKSHORE_CLI_H

#include "core/types.h"

#include <argtable2.h>
#include <stdio.h>

/** Exit codes, part of the interface for scripts and described in damaskshore(1). */
typedef enum
{
  DKS_EXIT_OK = 0, /**< outcome complete, or the command succeeded */
  DKS_EXIT_USAGE = 1,
  DKS_EXIT_FAILED = 2,
  DKS_EXIT_REFUSED = 3, /**< the work was not run, or the edit was not made */
  DKS_EXIT_UNKNOWN = 4, /**< the work may have run, or the edit may have been made */
  DKS_EXIT_CANCELLED = 5,
  DKS_EXIT_UNREACHABLE = 6, /**< nothing was sent to any server */
  DKS_EXIT_NOT_FOUND = 7,
  DKS_EXIT_PENDING = 8, /**< the work is queued or running */
  DKS_EXIT_DIFFERENT = 9,
} dks_exit_t;

enum
{
  DKS_CLI_SERVERS_MAX = 16
};

typedef struct
{
  FILE *out;
  FILE *err;
  bool progress;          /**< show progress on `err`, which is a terminal */
  const char *env_server; /**< DAMASKSHORE_SERVER or NULL */
  const char *env_actor;  /**< DAMASKSHORE_ACTOR, else USER, or NULL */
  /* Set by dks_cli_parse(). */
  bool json;
  char *servers[DKS_CLI_SERVERS_MAX]; /**< base URLs without a final '/' */
  size_t server_count;
} dks_cli_t;

/** Options of every command; the first entries of each argument table. */
typedef struct
{
  struct arg_str *server;
  struct arg_lit *json;
  struct arg_lit *help;
  struct arg_end *end;
} dks_cli_common_t;

#define DKS_CLI_COMMON(common) (common).server, (common).json, (common).help

/** Creates the common options. They are freed with the argument table that holds them. */
void dks_cli_common_create (dks_cli_common_t *common);
/** Parses the arguments of a command into `table`, which ends with `common->end`, and sets `json`
 * and the servers. Returns true when the command is to be run, else sets `exit_code`. Usage errors
 * are written to `err`, the text for --help to `out`. */
bool dks_cli_parse (dks_cli_t *cli, int argc, char **argv, void **table,
                    const dks_cli_common_t *common, const char *help, dks_exit_t *exit_code);
/** Reports a usage error for the command `name` and returns DKS_EXIT_USAGE. */
dks_exit_t dks_cli_usage (dks_cli_t *cli, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/** Writes "damaskshore: " and the formatted text as one line to `err`. */
void dks_cli_error (dks_cli_t *cli, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Parses a whole decimal integer; DKS_ERR_INVALID for anything else or out of range. */
int dks_cli_parse_integer (const char *text, int64_t min, int64_t max, int64_t *value);
/** Reads a file, or standard input for "-", of at most `max` bytes into a malloc'ed string.
 * DKS_ERR_IO or DKS_ERR_TOO_LARGE; reports the error to `err`. */
int dks_cli_read_file (dks_cli_t *cli, const char *name, size_t max, char **text, size_t *len);
/** Runs the command in `argv[1]` and following. Frees the servers before it returns. */
dks_exit_t dks_cli_run (dks_cli_t *cli, int argc, char **argv);

#endif
