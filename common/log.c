#include "common/log.h"

#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static dks_log_level_t max_level = DKS_LOG_INFO;

void
dks_log_set_level (dks_log_level_t level)
{
  max_level = level;
}

int
dks_log_parse_level (const char *text, dks_log_level_t *level)
{
  static const struct
  {
    const char *name;
    dks_log_level_t level;
  } names[] = {
    { "debug", DKS_LOG_DEBUG },   { "error", DKS_LOG_ERROR },     { "info", DKS_LOG_INFO },
    { "notice", DKS_LOG_NOTICE }, { "warning", DKS_LOG_WARNING },
  };

  for (size_t i = 0; i < sizeof (names) / sizeof (names[0]); i++)
    {
      if (strcmp (text, names[i].name) == 0)
        {
          *level = names[i].level;
          return DKS_OK;
        }
    }
  return DKS_ERR_INVALID;
}

void
dks_log (dks_log_level_t level, const char *format, ...)
{
  char line[1024];
  va_list args;

  if (level > max_level)
    return;
  va_start (args, format);
  vsnprintf (line, sizeof (line), format, args);
  va_end (args);
  /* One write per line, so that lines of several processes on one terminal do not mix. */
  fprintf (stderr, "<%d>damaskshore: %s\n", (int)level, line);
}
