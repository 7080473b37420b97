#include "damaskshore/cli.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <unistd.h>

int
main (int argc, char **argv)
{
  const char *actor = getenv ("DAMASKSHORE_ACTOR");
  dks_cli_t cli = {
    .out = stdout,
    .err = stderr,
    .progress = isatty (STDERR_FILENO) != 0,
    .env_server = getenv ("DAMASKSHORE_SERVER"),
    .env_actor = actor != NULL ? actor : getenv ("USER"),
  };
  dks_exit_t exit_code;

  curl_global_init (CURL_GLOBAL_DEFAULT);
  exit_code = dks_cli_run (&cli, argc, argv);
  curl_global_cleanup ();
  /* Output that was lost to a full disk or a closed pipe must not end with exit code 0. */
  if (fflush (stdout) != 0 && exit_code == DKS_EXIT_OK)
    {
      perror ("damaskshore: standard output");
      exit_code = DKS_EXIT_FAILED;
    }
  return (int)exit_code;
}
