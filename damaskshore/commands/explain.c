#include "common/alloc.h"
#include "common/error.h"
#include "damaskshore/commands.h"

#include <stdlib.h>
#include <string.h>

enum
{
  LOG_MAX = 256 << 20 /* bytes of one log */
};

/* A line of a log that names the request. */
typedef struct
{
  double time_s;
  size_t order; /* keeps the order of lines with the same time */
  char *text;
} log_line_t;

typedef struct
{
  log_line_t *lines;
  size_t count;
  size_t capacity;
} story_t;

static void
story_add (story_t *story, const char *line, size_t len)
{
  const char *time;
  log_line_t *added;

  if (story->count == story->capacity)
    {
      story->capacity = story->capacity > 0 ? 2 * story->capacity : 64;
      story->lines = dks_realloc (story->lines, story->capacity * sizeof (story->lines[0]));
    }
  added = &story->lines[story->count];
  added->order = story->count++;
  added->text = dks_alloc (len + 1);
  memcpy (added->text, line, len);
  time = strstr (added->text, "time=");
  added->time_s = time != NULL ? strtod (time + strlen ("time="), NULL) : 0;
}

static void
story_clear (story_t *story)
{
  for (size_t i = 0; i < story->count; i++)
    free (story->lines[i].text);
  free (story->lines);
}

static void
story_read (story_t *story, const char *text, const char *id)
{
  const char *found;

  while ((found = strstr (text, id)) != NULL)
    {
      const char *start = found;
      size_t len;

      while (start > text && start[-1] != '\n')
        start--;
      len = strcspn (start, "\n");
      story_add (story, start, len);
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

/* The line that decided the end: the earliest one of the strongest kind. */
static const log_line_t *
story_decision (const story_t *story)
{
  static const char *const kinds[] = {
    "event=job-refused",   "event=job-failed",   "event=job-lost", "event=caller-gone",
    "event=job-cancelled", "event=job-orphaned", "event=answer",   "event=job-completed",
  };

  for (size_t kind = 0; kind < sizeof (kinds) / sizeof (kinds[0]); kind++)
    {
      for (size_t i = 0; i < story->count; i++)
        {
          if (strstr (story->lines[i].text, kinds[kind]) != NULL)
            return &story->lines[i];
        }
    }
  return NULL;
}

static void
story_print (dks_cli_t *cli, story_t *story)
{
  const log_line_t *decision;

  qsort (story->lines, story->count, sizeof (story->lines[0]), compare_lines);
  decision = story_decision (story);
  fprintf (cli->out, "decision: %s\n",
           decision != NULL ? decision->text
                            : "none is in these logs; the answer may still be due");
  for (size_t i = 0; i < story->count; i++)
    fprintf (cli->out, "%s\n", story->lines[i].text);
}

dks_exit_t
dks_command_explain (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of the job, as its caller sent it");
  struct arg_str *files =
      arg_strn (NULL, NULL, "FILE", 0, 64, "logs of the instances, or - for standard input");
  story_t story = { 0 };
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
      int error =
          dks_cli_read_file (cli, files->count > 0 ? files->sval[i] : "-", LOG_MAX, &text, &len);

      if (error != DKS_OK)
        {
          exit_code = DKS_EXIT_FAILED;
          goto out;
        }
      story_read (&story, text, id->sval[0]);
      free (text);
    }
  if (story.count > 0)
    story_print (cli, &story);
  else
    {
      dks_cli_error (cli, "no line names \"%s\"", id->sval[0]);
      exit_code = DKS_EXIT_NOT_FOUND;
    }
out:
  story_clear (&story);
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
