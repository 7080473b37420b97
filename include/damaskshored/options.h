/**
 * Options of the daemon: command-line flags, environment variables and the settings file. The flag
 * --data-centre has the variable DAMASKSHORE_DATA_CENTRE, and so on. A flag overrides its variable,
 * and the variable overrides the settings file.
 */
#ifndef DKS_DAMASKSHORED_OPTIONS_H
#define DKS_DAMASKSHORED_OPTIONS_H

#include "common/log.h"
#include "core/reducer.h"

enum
{
  DKS_URL_SIZE = 256,          /**< bytes of a URL, a file path or the list of seeds, with NUL */
  DKS_OPTIONS_ERROR_SIZE = 512 /**< bytes of an error message with NUL */
};

typedef enum
{
  DKS_MODE_RUN = 1,
  DKS_MODE_VALIDATE, /**< check the options and exit */
  DKS_MODE_HELP,
  DKS_MODE_VERSION,
} dks_mode_t;

typedef struct
{
  dks_mode_t mode;
  dks_config_t config;
  char http_address[DKS_ADDRESS_SIZE];        /**< IP:port of the HTTP server */
  char peer_listen_address[DKS_ADDRESS_SIZE]; /**< IP:port; empty: `config.address` */
  char platform_url[DKS_URL_SIZE];            /**< without a trailing slash */
  uint32_t target_connections;                /**< maximum of connections to one target */
  uint32_t http_connections;                  /**< maximum of connections of callers */
  uint32_t http_idle_timeout_s; /**< idle connections of callers are closed after this time */
  uint32_t memory_mb;           /**< MiB that the process may use; 0: all of the machine */
  int64_t deadline_default_ms;  /**< deadline of submissions that give none */
  char front_address[DKS_ADDRESS_SIZE]; /**< leased targets: IP:port for callers' batches */
  char ready_address[DKS_ADDRESS_SIZE]; /**< leased targets: IP:port of the readiness check */
  char seeds[DKS_URL_SIZE]; /**< leased targets: addresses of instances, separated by commas */
  dks_log_level_t log_level;
  char settings_path[DKS_URL_SIZE]; /**< file with further options, empty for none */
} dks_options_t;

/** Reads one environment variable; NULL when it is not set. */
typedef const char *(*dks_options_getenv_t) (const char *name);

/** Fills `options` from the flags, the environment and the settings file. DKS_ERR_INVALID when a
 * value is missing or not allowed; `error` then names the flag, the value and the allowed values.
 * In the modes HELP and VERSION no other value is checked. `config.incarnation` and `config.seed`
 * are generated when they are 0 or not given. */
int dks_options_parse (int argc, char **argv, dks_options_getenv_t getenv_func,
                       dks_options_t *options, char error[DKS_OPTIONS_ERROR_SIZE]);
/** Returns the flag, without dashes, of the first option that differs between `a` and `b` and takes
 * effect only with a restart; NULL when there is none. */
const char *dks_options_needs_restart (const dks_options_t *a, const dks_options_t *b);
/** Prints the help text on standard output. */
void dks_options_print_help (const char *program);

#endif
