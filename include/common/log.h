/**
 * Log lines with a syslog-style level prefix ("<6>") and key=value fields. Writing never blocks: a
 * line is dropped and counted when the output cannot take it at once.
 */
#ifndef DKS_COMMON_LOG_H
#define DKS_COMMON_LOG_H

#include <stdint.h>

typedef enum
{
  DKS_LOG_ERROR = 3,
  DKS_LOG_WARNING = 4,
  DKS_LOG_NOTICE = 5,
  DKS_LOG_INFO = 6,
  DKS_LOG_DEBUG = 7,
} dks_log_level_t;

/** Lines with a level numerically above `level` are not written, and not counted as dropped. The
 * default is DKS_LOG_INFO. */
void dks_log_set_level (dks_log_level_t level);
/** Parses "error", "warning", "notice", "info" or "debug"; returns DKS_ERR_INVALID otherwise. */
int dks_log_parse_level (const char *text, dks_log_level_t *level);
/** Writes to descriptor `fd` instead of standard error, and adds "instance=NAME" to each line
 * unless `instance` is empty. */
void dks_log_set_output (int fd, const char *instance);
/** Number of lines that were dropped because the reader of the output was slow or gone. */
uint64_t dks_log_dropped (void);
/** Writes one line: "<LEVEL>damaskshore: time=UNIX_SECONDS " and the formatted text, e.g.
 * `event=start port=80`. */
void dks_log (dks_log_level_t level, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
