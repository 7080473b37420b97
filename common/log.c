#include "common/log.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum
{
  TEXT_SIZE = 1024,           /* bytes of the text of a line with NUL; longer text is truncated */
  LINE_SIZE = TEXT_SIZE + 128 /* bytes of a line: text, prefix, time and instance; below PIPE_BUF,
                                 so that a write to a pipe is atomic */
};

static dks_log_level_t max_level = DKS_LOG_INFO;
static int output_fd = STDERR_FILENO;
static char instance_name[48];
static uint64_t dropped_lines;
static uint64_t reported_drops; /* dropped lines that event=log-dropped has reported */

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
dks_log_set_output (int fd, const char *instance)
{
  output_fd = fd;
  dks_strcpy (instance_name, sizeof (instance_name), instance);
}

uint64_t
dks_log_dropped (void)
{
  return dropped_lines;
}

/* Whether a line can be written without blocking: a pipe that polls as writable takes PIPE_BUF
 * bytes. */
static bool
is_writable (void)
{
  struct pollfd pollfd = { .fd = output_fd, .events = POLLOUT };

  return poll (&pollfd, 1, 0) == 1 && (pollfd.revents & (POLLERR | POLLHUP | POLLNVAL)) == 0;
}

static void
write_line (dks_log_level_t level, const char *text)
{
  char line[LINE_SIZE];
  struct timespec now;
  int len;

  if (!is_writable ())
    {
      dropped_lines++;
      return;
    }
  clock_gettime (CLOCK_REALTIME, &now);
  len = snprintf (line, sizeof (line), "<%d>damaskshore: time=%lld.%06ld %s%s%s%s\n", (int)level,
                  (long long)now.tv_sec, now.tv_nsec / 1000,
                  instance_name[0] != '\0' ? "instance=" : "", instance_name,
                  instance_name[0] != '\0' ? " " : "", text);
  if (len >= (int)sizeof (line))
    {
      len = sizeof (line) - 1;
      line[len - 1] = '\n';
    }
  /* One write per line, so that lines of several processes on one terminal do not interleave. */
  if (write (output_fd, line, (size_t)len) != len)
    dropped_lines++;
}

void
dks_log (dks_log_level_t level, const char *format, ...)
{
  char text[TEXT_SIZE];
  va_list args;

  if (level > max_level)
    return;
  if (dropped_lines > reported_drops && is_writable ())
    {
      snprintf (text, sizeof (text), "event=log-dropped lines=%" PRIu64,
                dropped_lines - reported_drops);
      reported_drops = dropped_lines;
      write_line (DKS_LOG_WARNING, text);
    }
  va_start (args, format);
  vsnprintf (text, sizeof (text), format, args);
  va_end (args);
  write_line (level, text);
}
