/**
 * Log lines on standard error with a syslog-style level prefix ("<6>") and key=value fields.
 */
#ifndef DKS_COMMON_LOG_H
#define DKS_COMMON_LOG_H

typedef enum
{
  DKS_LOG_ERROR = 3,
  DKS_LOG_WARNING = 4,
  DKS_LOG_NOTICE = 5,
  DKS_LOG_INFO = 6,
  DKS_LOG_DEBUG = 7,
} dks_log_level_t;

/** Lines with a level above `level` are dropped. The default is DKS_LOG_INFO. */
void dks_log_set_level (dks_log_level_t level);
/** Parses "error", "warning", "notice", "info" or "debug"; returns DKS_ERR_INVALID otherwise. */
int dks_log_parse_level (const char *text, dks_log_level_t *level);
/** Writes one line: "<LEVEL>damaskshore: " and the formatted text, e.g. `event=start port=80`. */
void dks_log (dks_log_level_t level, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
