#include "common/alloc.h"
#include "common/error.h"
#include "damaskshore/commands.h"

#include <stdlib.h>
#include <string.h>

enum
{
  LOG_SIZE_MAX = 256 << 20 /* bytes of one log file */
};

/* A log line that contains the id of the job. */
typedef struct
{
  double time_s;
  size_t order; /* position before sorting; keeps the order of lines with equal times */
  char *text;
} log_line_t;

typedef struct
{
  log_line_t *lines;
  size_t count;
  size_t capacity;
} job_log_t;

static void
job_log_add (job_log_t *job_log, const char *line, size_t len)
{
  const char *time;
  log_line_t *added;

  if (job_log->count == job_log->capacity)
    {
      job_log->capacity = job_log->capacity > 0 ? 2 * job_log->capacity : 64;
      job_log->lines = dks_realloc (job_log->lines, job_log->capacity * sizeof (job_log->lines[0]));
    }
  added = &job_log->lines[job_log->count];
  added->order = job_log->count++;
  added->text = dks_alloc (len + 1);
  memcpy (added->text, line, len);
  time = strstr (added->text, "time=");
  added->time_s = time != NULL ? strtod (time + strlen ("time="), NULL) : 0;
}

static void
job_log_clear (job_log_t *job_log)
{
  for (size_t i = 0; i < job_log->count; i++)
    free (job_log->lines[i].text);
  free (job_log->lines);
}

static void
job_log_read (job_log_t *job_log, const char *text, const char *id)
{
  const char *found;

  while ((found = strstr (text, id)) != NULL)
    {
      const char *start = found;
      size_t len;

      while (start > text && start[-1] != '\n')
        start--;
      len = strcspn (start, "\n");
      job_log_add (job_log, start, len);
      text = start + len;
    }
}

static int
compare_lines (const void *a, const void *b)
{
  const log_line_t *first = a;
  const log_line_t *second = b;

  if (first->time_s != second->time_s)
    return first->time_s < second->time_s ? -1 : 1;
  return first->order < second->order ? -1 : first->order > second->order;
}

/* Returns the line of the decision that ended the job: the earliest of the lines with
 * the event that comes first in `events_by_precedence`. NULL when there is none. */
static const log_line_t *
job_log_decision (const job_log_t *job_log)
{
  static const char *const events_by_precedence[] = {
    "event=job-refused",   "event=job-failed",   "event=job-lost", "event=caller-gone",
    "event=job-cancelled", "event=job-orphaned", "event=answer",   "event=job-completed",
  };

  for (size_t precedence = 0;
       precedence < sizeof (events_by_precedence) / sizeof (events_by_precedence[0]); precedence++)
    {
      for (size_t i = 0; i < job_log->count; i++)
        {
          if (strstr (job_log->lines[i].text, events_by_precedence[precedence]) != NULL)
            return &job_log->lines[i];
        }
    }
  return NULL;
}

static void
job_log_print (dks_cli_t *cli, job_log_t *job_log)
{
  const log_line_t *decision;

  qsort (job_log->lines, job_log->count, sizeof (job_log->lines[0]), compare_lines);
  decision = job_log_decision (job_log);
  fprintf (cli->out, "decision: %s\n",
           decision != NULL ? decision->text
                            : "none is in these logs; the answer may still be due");
  for (size_t i = 0; i < job_log->count; i++)
    fprintf (cli->out, "%s\n", job_log->lines[i].text);
}

dks_exit_t
dks_command_explain (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of the job, as its caller sent it");
  struct arg_str *files =
      arg_strn (NULL, NULL, "FILE", 0, 64, "logs of the instances, or - for standard input");
  job_log_t job_log = { 0 };
  dks_exit_t exit_code = DKS_EXIT_OK;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common), id, files, common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Prints what the logs of all instances say of a job: the decision that ended "
                      "it first, then\nevery line in the order of time. Reads standard input "
                      "without FILE.",
                      &exit_code))
    goto out;
  for (int i = 0; i < (files->count > 0 ? files->count : 1); i++)
    {
      char *text = NULL;
      size_t len = 0;
      int error = dks_cli_read_file (cli, files->count > 0 ? files->sval[i] : "-", LOG_SIZE_MAX,
                                     &text, &len);

      if (error != DKS_OK)
        {
          exit_code = DKS_EXIT_FAILED;
          goto out;
        }
      job_log_read (&job_log, text, id->sval[0]);
      free (text);
    }
  if (job_log.count > 0)
    job_log_print (cli, &job_log);
  else
    {
      dks_cli_error (cli, "no line names \"%s\"", id->sval[0]);
      exit_code = DKS_EXIT_NOT_FOUND;
    }
out:
  job_log_clear (&job_log);
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
