#include "common/error.h"
#include "damaskshored/host.h"
#include "damaskshored/options.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

enum
{
  EXIT_USAGE = 2,
  /* A block of this size or more is a mapping of its own, which returns to the system when it is
   * freed, and grows without a copy. The C library raises the threshold on its own unless it is
   * set. */
  MAPPED_BLOCK_BYTES = 128 << 10
};

static const char *
read_env (const char *name)
{
  return getenv (name);
}

typedef struct
{
  int argc;
  char **argv;
} command_line_t;

static int
reparse_options (void *context, dks_options_t *options, char error[DKS_OPTIONS_ERROR_SIZE])
{
  const command_line_t *command_line = context;

  return dks_options_parse (command_line->argc, command_line->argv, read_env, options, error);
}

/* The event loop reads SIGTERM, SIGINT and SIGHUP from a descriptor; those that come before it runs
 * wait for it. SIGPIPE is ignored, so that write() reports a closed connection as an error. */
static void
block_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

int
main (int argc, char **argv)
{
  command_line_t command_line = { argc, argv };
  dks_options_t options;
  dks_host_t *host = NULL;
  char error[DKS_OPTIONS_ERROR_SIZE];
  int status;

  block_signals ();
  mallopt (M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
  if (dks_options_parse (argc, argv, read_env, &options, error) != DKS_OK)
    {
      fprintf (stderr, "%s: %s\n", argv[0], error);
      return EXIT_USAGE;
    }
  switch (options.mode)
    {
    case DKS_MODE_HELP:
      dks_options_print_help (argv[0]);
      return EXIT_SUCCESS;
    case DKS_MODE_VERSION:
      printf ("damaskshored " DKS_VERSION "\n");
      return EXIT_SUCCESS;
    case DKS_MODE_VALIDATE:
      return EXIT_SUCCESS;
    case DKS_MODE_RUN:
      break;
    }
  dks_log_set_level (options.log_level);
  dks_log_set_output (STDOUT_FILENO, options.config.id);
  if (dks_host_create (&options, &host) != DKS_OK)
    return EXIT_FAILURE;
  dks_host_set_reload (host, reparse_options, &command_line);
  status = dks_host_run (host);
  dks_host_destroy (host);
  return status;
}
