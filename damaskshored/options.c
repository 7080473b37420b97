#include "damaskshored/options.h"

#include "common/alloc.h"
#include "common/error.h"
#include "core/key.h"
#include "damaskshored/settings_file.h"
#include "net/address.h"

#include <argtable2.h>
#include <ctype.h>
#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define ENV_PREFIX "DAMASKSHORE_"

enum
{
  FLAG_SIZE = 40, /* maximum bytes of a flag without the dashes */
  HELP_SIZE = 192 /* bytes of the help text of an option with NUL */
};

typedef struct option_t option_t;

/* Stores `value` in the field of the option; returns false when it is not allowed. */
typedef bool (*option_set_t) (const option_t *option, const char *value, dks_options_t *options);

struct option_t
{
  const char *flag;        /* without the dashes */
  const char *placeholder; /* of the value in the help text */
  option_set_t set;
  const char *default_value; /* when the value is not given; NULL: see `required` */
  bool required; /* an error when not given; else the field keeps the value of dks_config_init() */
  int64_t min;   /* numbers only */
  int64_t max;
  int64_t scale; /* numbers only: the field holds the number times `scale`, 1000 for ms in us */
  size_t offset; /* of the field in dks_options_t */
  size_t size;   /* of the field */
  const char *allowed; /* allowed values of options that are not numbers */
  const char *help;
  bool reloadable; /* a reload applies a new value; other options need a restart */
};

#define NAME_ALLOWED "1 to 30 letters, digits, '-', '_' or '.'"
#define DATA_CENTRE_ALLOWED "1 to 47 letters, digits, '-', '_' or '.'"

static bool
is_name (const char *text, size_t len, size_t max)
{
  if (len < 1 || len > max)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      if (!isalnum ((unsigned char)text[i]) && strchr ("-_.", text[i]) == NULL)
        return false;
    }
  return true;
}

static char *
option_text_field (const option_t *option, dks_options_t *options)
{
  return (char *)options + option->offset;
}

static bool
set_id (const option_t *option, const char *value, dks_options_t *options)
{
  /* The member id, ID "#" 16 hexadecimal digits, must fit in DKS_NAME_SIZE. */
  return is_name (value, strlen (value), DKS_NAME_SIZE - 18)
         && dks_strcpy (option_text_field (option, options), option->size, value) == DKS_OK;
}

static bool
set_data_centre (const option_t *option, const char *value, dks_options_t *options)
{
  return is_name (value, strlen (value), DKS_NAME_SIZE - 1)
         && dks_strcpy (option_text_field (option, options), option->size, value) == DKS_OK;
}

static bool
set_data_centres (const option_t *option, const char *value, dks_options_t *options)
{
  dks_config_t *config = &options->config;

  config->data_centre_count = 0;
  for (;;)
    {
      size_t len = strcspn (value, ",");
      size_t count = config->data_centre_count;

      if (count == DKS_DATA_CENTRES_MAX || !is_name (value, len, DKS_NAME_SIZE - 1))
        return false;
      memcpy (config->data_centres[count], value, len);
      config->data_centres[count][len] = '\0';
      for (size_t i = 0; i < count; i++)
        {
          if (strcmp (config->data_centres[i], config->data_centres[count]) == 0)
            return false;
        }
      config->data_centre_count++;
      if (value[len] == '\0')
        return true;
      value += len + 1;
    }
}

static bool
set_listen_address (const option_t *option, const char *value, dks_options_t *options)
{
  dks_address_t address;

  return dks_address_parse (value, &address) == DKS_OK
         && dks_strcpy (option_text_field (option, options), option->size, value) == DKS_OK;
}

/* Other instances connect to this address, so it cannot be a wildcard. */
static bool
set_peer_address (const option_t *option, const char *value, dks_options_t *options)
{
  dks_address_t address;

  return dks_address_parse (value, &address) == DKS_OK && !dks_address_is_wildcard (&address)
         && dks_strcpy (option_text_field (option, options), option->size, value) == DKS_OK;
}

/* Whether the URL has the scheme http, a numeric host and nothing after the port but a slash. */
static bool
is_base_url (CURLU *url, const char *value)
{
  static const CURLUPart disallowed_parts[] = { CURLUPART_USER, CURLUPART_QUERY,
                                                CURLUPART_FRAGMENT };
  char *scheme = NULL;
  char *host = NULL;
  char *port = NULL;
  char *path = NULL;
  char *part = NULL;
  char authority[DKS_ADDRESS_SIZE];
  dks_address_t address;
  bool ok = false;

  if (curl_url_set (url, CURLUPART_URL, value, 0) != CURLUE_OK
      || curl_url_get (url, CURLUPART_SCHEME, &scheme, 0) != CURLUE_OK
      || curl_url_get (url, CURLUPART_HOST, &host, 0) != CURLUE_OK
      || curl_url_get (url, CURLUPART_PORT, &port, CURLU_DEFAULT_PORT) != CURLUE_OK
      || curl_url_get (url, CURLUPART_PATH, &path, 0) != CURLUE_OK)
    goto out;
  snprintf (authority, sizeof (authority), "%s:%s", host, port);
  ok = strcmp (scheme, "http") == 0 && strcmp (path, "/") == 0
       && dks_address_parse (authority, &address) == DKS_OK;
  for (size_t i = 0; i < sizeof (disallowed_parts) / sizeof (disallowed_parts[0]); i++)
    {
      if (curl_url_get (url, disallowed_parts[i], &part, 0) == CURLUE_OK)
        {
          curl_free (part);
          ok = false;
        }
    }
out:
  curl_free (scheme);
  curl_free (host);
  curl_free (port);
  curl_free (path);
  return ok;
}

static bool
set_url (const option_t *option, const char *value, dks_options_t *options)
{
  char *field = option_text_field (option, options);
  CURLU *url = curl_url ();
  size_t len;
  bool ok;

  DKS_INVARIANT (url != NULL);
  ok = is_base_url (url, value) && dks_strcpy (field, option->size, value) == DKS_OK;
  curl_url_cleanup (url);
  len = strlen (field);
  if (ok && len > 0 && field[len - 1] == '/')
    field[len - 1] = '\0';
  return ok;
}

static bool
set_text (const option_t *option, const char *value, dks_options_t *options)
{
  return dks_strcpy (option_text_field (option, options), option->size, value) == DKS_OK;
}

static bool
set_factor (const option_t *option, const char *value, dks_options_t *options)
{
  char *end = NULL;
  double factor = strtod (value, &end);

  if (end == value || *end != '\0' || !(factor >= 1 && factor <= 100))
    return false;
  options->config.remote_factor = factor;
  return true;
}

static bool
set_placement (const option_t *option, const char *value, dks_options_t *options)
{
  options->config.fill_gaps = strcmp (value, "fill") == 0;
  return options->config.fill_gaps || strcmp (value, "order") == 0;
}

static bool
set_processors (const option_t *option, const char *value, dks_options_t *options)
{
  char *end = NULL;
  double processors = strtod (value, &end);

  if (end == value || *end != '\0' || !(processors > 0 && processors <= 1024))
    return false;
  options->config.processor_milli = (uint32_t)(1000 * processors + 0.5);
  return true;
}

static bool
set_targets (const option_t *option, const char *value, dks_options_t *options)
{
  options->config.leased_targets = strcmp (value, "leased") == 0;
  return options->config.leased_targets || strcmp (value, "http") == 0;
}

static bool
set_log_level (const option_t *option, const char *value, dks_options_t *options)
{
  return dks_log_parse_level (value, &options->log_level) == DKS_OK;
}

static bool
set_number (const option_t *option, const char *value, dks_options_t *options)
{
  char *field = option_text_field (option, options);
  char *end = NULL;
  long long number;
  int64_t scaled;

  if (!isdigit ((unsigned char)value[0]))
    return false;
  errno = 0;
  number = strtoll (value, &end, 10);
  if (errno != 0 || *end != '\0' || number < option->min || number > option->max)
    return false;
  scaled = number * option->scale;
  if (option->size == sizeof (uint32_t))
    *(uint32_t *)field = (uint32_t)scaled;
  else
    *(int64_t *)field = scaled;
  return true;
}

#define FIELD(field) offsetof (dks_options_t, field), sizeof (((dks_options_t *)0)->field)

/* Sorted by flag. The seed and the incarnation are unsigned 64-bit fields, but their options are
 * limited to the positive range of a signed number. */
static const option_t option_table[] = {
  { "ceiling-ms", "MS", set_number, NULL, false, 60000, 86400000, 1, FIELD (config.ceiling_ms),
    NULL, "how far beyond now this instance may accept keys" },
  { "claims-max", "N", set_number, NULL, false, 16, 1000000, 1, FIELD (config.claims_max), NULL,
    "claims kept per shard" },
  { "clock-skew-ms", "MS", set_number, NULL, false, 1, 60000, 1, FIELD (config.clock_skew_ms), NULL,
    "largest assumed difference between clocks" },
  { "data-centre", "NAME", set_data_centre, NULL, true, 0, 0, 0, FIELD (config.data_centre),
    DATA_CENTRE_ALLOWED, "data centre of this instance" },
  { "data-centres", "NAME,...", set_data_centres, NULL, false, 0, 0, 0, 0, 0,
    "1 to 16 different names, each of " DATA_CENTRE_ALLOWED,
    "all data centres, the same list everywhere (default: only the own one)" },
  { "deadline-default-ms", "MS", set_number, "30000", false, 10, 3600000, 1,
    FIELD (deadline_default_ms), NULL, "deadline of submissions that give none" },
  { "failure-timeout-ms", "MS", set_number, NULL, false, 30, 60000, 1000,
    FIELD (config.failure_timeout_us), NULL, "silence after which another instance has failed" },
  { "front-address", "IP:PORT", set_listen_address, NULL, false, 0, 0, 0, FIELD (front_address),
    "a numeric IP address and a port from 1 to 65535",
    "address for callers' batches; required with --targets leased" },
  { "heartbeat-ms", "MS", set_number, NULL, false, 10, 10000, 1000, FIELD (config.heartbeat_us),
    NULL, "interval of heartbeats within the data centre" },
  { "http-address", "IP:PORT", set_listen_address, "127.0.0.1:8080", false, 0, 0, 0,
    FIELD (http_address), "a numeric IP address and a port from 1 to 65535",
    "address of the HTTP server" },
  { "http-connections", "N", set_number, NULL, false, 1, 60000, 1, FIELD (http_connections), NULL,
    "connections of callers held at once; by default as many as memory and descriptors allow, up "
    "to 4096" },
  { "http-idle-timeout-s", "S", set_number, "60", false, 1, 3600, 1, FIELD (http_idle_timeout_s),
    NULL, "time after which an idle connection of a caller is closed" },
  { "id", "NAME", set_id, NULL, true, 0, 0, 0, FIELD (config.id), NAME_ALLOWED,
    "name of this instance, unique among all instances" },
  { "incarnation", "N", set_number, "0", false, 0, INT64_MAX, 1, FIELD (config.incarnation), NULL,
    "number that differs at every start; 0: take the time of the start" },
  { "log-level", "LEVEL", set_log_level, "info", false, 0, 0, 0, FIELD (log_level),
    "error, warning, notice, info or debug", "least important log lines to write", true },
  { "memory-mb", "MB", set_number, "0", false, 0, 1 << 20, 1, FIELD (memory_mb), NULL,
    "memory in MiB that the process may use; 0: that of the machine" },
  { "peer-address", "IP:PORT", set_peer_address, "127.0.0.1:8081", false, 0, 0, 0,
    FIELD (config.address),
    "a numeric IP address that is not a wildcard, and a port from 1 to 65535",
    "address for connections from other instances" },
  { "peer-listen-address", "IP:PORT", set_listen_address, NULL, false, 0, 0, 0,
    FIELD (peer_listen_address), "a numeric IP address and a port from 1 to 65535",
    "address to listen on when the other instances reach it at --peer-address by way of a "
    "forwarder" },
  { "placement", "RULE", set_placement, "order", false, 0, 0, 0, FIELD (config.fill_gaps),
    "order or fill",
    "which waiting task starts first: by the order of service, or the one that fills a gap", true },
  { "platform-url", "URL", set_url, NULL, true, 0, 0, 0, FIELD (platform_url),
    "http://IP[:PORT] with a numeric IP address, no path and at most 255 characters",
    "base URL of the platform" },
  { "processors", "P", set_processors, "1", false, 0, 0, 0, FIELD (config.processor_milli),
    "a number above 0, up to 1024",
    "processors that this instance may use; with --targets leased the largest instance leads" },
  { "ready-address", "IP:PORT", set_listen_address, NULL, false, 0, 0, 0, FIELD (ready_address),
    "a numeric IP address and a port from 1 to 65535",
    "address of the readiness check; required with --targets leased" },
  { "remote-factor", "F", set_factor, "1", false, 0, 0, 0, FIELD (config.remote_factor),
    "a number from 1 to 100",
    "run time of a task on a rack without its data, relative to one on the rack with it", true },
  { "retention-ms", "MS", set_number, NULL, false, 10000, 86400000, 1, FIELD (config.retention_ms),
    NULL, "how long after its issue time the record of a key is kept" },
  { "seed", "N", set_number, "0", false, 0, INT64_MAX, 1, FIELD (config.seed), NULL,
    "seed of random choices; 0: take one from the system" },
  { "seeds", "IP[:PORT],...", set_text, NULL, false, 0, 0, 0, FIELD (seeds),
    "up to 8 numeric IP addresses",
    "instances to connect to at the start; the port is by default that of --peer-address", true },
  { "settings", "FILE", set_text, NULL, false, 0, 0, 0, FIELD (settings_path),
    "at most 255 characters",
    "file with \"option = value\" lines; read again when it changes and with SIGHUP" },
  { "target-connections", "N", set_number, "60", false, 1, 1024, 1, FIELD (target_connections),
    NULL, "connections to one target held at once" },
  { "targets", "KIND", set_targets, "http", false, 0, 0, 0, FIELD (config.leased_targets),
    "http or leased", "how targets get their tasks: as HTTP requests, or as runs under leases" },
};

enum
{
  OPTION_COUNT = sizeof (option_table) / sizeof (option_table[0]),
  ARG_HELP = OPTION_COUNT,
  ARG_VALIDATE,
  ARG_VERSION,
  ARG_END,
  ARG_COUNT
};

typedef struct
{
  void *args[ARG_COUNT];
  char help[OPTION_COUNT][HELP_SIZE];
} arguments_t;

static struct arg_str *
arguments_value (const arguments_t *arguments, int i)
{
  return arguments->args[i];
}

static bool
arguments_has (const arguments_t *arguments, int i)
{
  return ((struct arg_lit *)arguments->args[i])->count > 0;
}

/* Writes the default of a number that dks_config_init() sets. */
static void
format_default (const option_t *option, char *text, size_t size)
{
  dks_options_t defaults = { 0 };
  const char *field = option_text_field (option, &defaults);
  int64_t value;

  dks_config_init (&defaults.config);
  value = option->size == sizeof (uint32_t) ? *(const uint32_t *)field : *(const int64_t *)field;
  snprintf (text, size, "%" PRId64, value / option->scale);
}

static void
format_help (const option_t *option, char help[HELP_SIZE])
{
  int len = snprintf (help, HELP_SIZE, "%s", option->help);
  char *end = help + len;
  size_t size = HELP_SIZE - (size_t)len;
  char number[24];

  if (option->required)
    snprintf (end, size, " (required)");
  else if (option->set == set_number)
    {
      if (option->default_value == NULL)
        format_default (option, number, sizeof (number));
      snprintf (end, size, " (%" PRId64 " to %" PRId64 ", default: %s)", option->min, option->max,
                option->default_value != NULL ? option->default_value : number);
    }
  else if (option->default_value != NULL)
    snprintf (end, size, " (default: %s)", option->default_value);
}

static void
arguments_init (arguments_t *arguments)
{
  for (int i = 0; i < OPTION_COUNT; i++)
    {
      const option_t *option = &option_table[i];

      format_help (option, arguments->help[i]);
      arguments->args[i] = arg_str0 (NULL, option->flag, option->placeholder, arguments->help[i]);
    }
  arguments->args[ARG_HELP] = arg_lit0 (NULL, "help", "print this text and exit");
  arguments->args[ARG_VALIDATE] =
      arg_lit0 (NULL, "validate", "check the options and exit with status 0 or 2");
  arguments->args[ARG_VERSION] = arg_lit0 (NULL, "version", "print the version and exit");
  arguments->args[ARG_END] = arg_end (1);
  DKS_INVARIANT (arg_nullcheck (arguments->args) == 0);
}

static void
option_env_name (const option_t *option, char name[FLAG_SIZE + sizeof (ENV_PREFIX)])
{
  size_t len = sizeof (ENV_PREFIX) - 1;

  memcpy (name, ENV_PREFIX, len);
  for (const char *c = option->flag; *c != '\0'; c++)
    name[len++] = (char)(*c == '-' ? '_' : toupper ((unsigned char)*c));
  name[len] = '\0';
}

static int
option_error (const option_t *option, const char *source, const char *value,
              char error[DKS_OPTIONS_ERROR_SIZE])
{
  int len = snprintf (error, DKS_OPTIONS_ERROR_SIZE, "--%s%s: ", option->flag, source);

  if (value == NULL)
    len += snprintf (error + len, DKS_OPTIONS_ERROR_SIZE - (size_t)len, "no value given");
  else
    len += snprintf (error + len, DKS_OPTIONS_ERROR_SIZE - (size_t)len,
                     "value \"%.100s\" is not allowed", value);
  if (option->allowed != NULL)
    snprintf (error + len, DKS_OPTIONS_ERROR_SIZE - (size_t)len, "; allowed: %s", option->allowed);
  else
    snprintf (error + len, DKS_OPTIONS_ERROR_SIZE - (size_t)len,
              "; allowed: a whole number from %" PRId64 " to %" PRId64, option->min, option->max);
  return DKS_ERR_INVALID;
}

static int
option_apply (const option_t *option, const struct arg_str *arg, dks_options_getenv_t getenv_func,
              const dks_settings_file_t *file, dks_options_t *options,
              char error[DKS_OPTIONS_ERROR_SIZE])
{
  char env_name[FLAG_SIZE + sizeof (ENV_PREFIX)];
  char source[sizeof (env_name) + 32] = "";
  const char *value = option->default_value;

  option_env_name (option, env_name);
  if (arg->count > 0)
    value = arg->sval[0];
  else if (getenv_func (env_name) != NULL)
    {
      value = getenv_func (env_name);
      snprintf (source, sizeof (source), " (from %s)", env_name);
    }
  else if (dks_settings_file_value (file, option->flag) != NULL)
    {
      value = dks_settings_file_value (file, option->flag);
      snprintf (source, sizeof (source), " (from the settings file)");
    }

  if (value == NULL)
    return option->required ? option_error (option, source, NULL, error) : DKS_OK;
  return option->set (option, value, options) ? DKS_OK
                                              : option_error (option, source, value, error);
}

static const option_t *
find_option (const char *flag)
{
  for (int i = 0; i < OPTION_COUNT; i++)
    {
      if (strcmp (option_table[i].flag, flag) == 0)
        return &option_table[i];
    }
  return NULL;
}

/* Reads the file that --settings names; `file` stays NULL without the option. */
static int
read_settings (const char *path, dks_settings_file_t **file, char error[DKS_OPTIONS_ERROR_SIZE])
{
  char detail[DKS_SETTINGS_ERROR_SIZE] = "";

  if (path[0] == '\0')
    return DKS_OK;
  if (dks_settings_file_read (path, file, detail) != DKS_OK)
    {
      snprintf (error, DKS_OPTIONS_ERROR_SIZE, "--settings: %s", detail);
      return DKS_ERR_INVALID;
    }
  for (size_t i = 0; i < dks_settings_file_count (*file); i++)
    {
      const char *name = dks_settings_file_name (*file, i);

      if (find_option (name) != NULL && strcmp (name, "settings") != 0)
        continue;
      snprintf (error, DKS_OPTIONS_ERROR_SIZE,
                "--settings: \"%.40s\" is not allowed; allowed: the options of --help but settings",
                name);
      return DKS_ERR_INVALID;
    }
  return DKS_OK;
}

static uint64_t
random_seed (void)
{
  uint64_t seed = 0;

  DKS_INVARIANT (getrandom (&seed, sizeof (seed), 0) == sizeof (seed));
  return seed;
}

static uint64_t
start_time_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

/* Splits --seeds into addresses; a seed without a port gets the port of --peer-address. */
static int
split_seeds (dks_options_t *options)
{
  dks_config_t *config = &options->config;
  const char *port = strrchr (config->address, ':');
  const char *seed = options->seeds;

  while (*seed != '\0')
    {
      size_t len = strcspn (seed, ",");
      size_t host_len = strcspn (seed, ":,");
      bool has_port = host_len < len;
      size_t address_len = has_port ? len : host_len + (port != NULL ? strlen (port) : 0);
      dks_address_t address;
      char *address_text = config->seed_addresses[config->seed_address_count];

      if (config->seed_address_count == DKS_SEEDS_MAX || port == NULL
          || address_len >= DKS_ADDRESS_SIZE)
        return DKS_ERR_INVALID;
      snprintf (address_text, DKS_ADDRESS_SIZE, "%.*s%s", (int)len, seed, has_port ? "" : port);

      if (dks_address_parse (address_text, &address) != DKS_OK)
        return DKS_ERR_INVALID;
      config->seed_address_count++;
      seed += len;
      seed += *seed == ',';
    }
  return DKS_OK;
}

static int
complete_leased_options (dks_options_t *options, char error[DKS_OPTIONS_ERROR_SIZE])
{
  const char *missing = options->front_address[0] == '\0'   ? "front-address"
                        : options->ready_address[0] == '\0' ? "ready-address"
                                                            : NULL;

  if (missing != NULL)
    {
      snprintf (error, DKS_OPTIONS_ERROR_SIZE,
                "--%s: no value given; required with --targets "
                "leased",
                missing);
      return DKS_ERR_INVALID;
    }
  if (split_seeds (options) == DKS_OK)
    return DKS_OK;
  snprintf (error, DKS_OPTIONS_ERROR_SIZE,
            "--seeds: value \"%.100s\" is not allowed; allowed: up to 8 numeric IP addresses",
            options->seeds);
  return DKS_ERR_INVALID;
}

/* Checks and fills in the values that depend on other options. */
static int
complete_options (dks_options_t *options, char error[DKS_OPTIONS_ERROR_SIZE])
{
  dks_config_t *config = &options->config;
  char detail[DKS_TEXT_SIZE] = "";
  bool listed = false;

  if (config->data_centre_count == 0)
    {
      config->data_centre_count = 1;
      dks_strcpy (config->data_centres[0], sizeof (config->data_centres[0]), config->data_centre);
    }
  for (size_t i = 0; i < config->data_centre_count; i++)
    listed = listed || strcmp (config->data_centres[i], config->data_centre) == 0;
  if (!listed)
    {
      snprintf (error, DKS_OPTIONS_ERROR_SIZE,
                "--data-centre: value \"%s\" is not allowed; allowed: a name in --data-centres",
                config->data_centre);
      return DKS_ERR_INVALID;
    }
  if (strcmp (options->http_address, config->address) == 0)
    {
      snprintf (error, DKS_OPTIONS_ERROR_SIZE,
                "--peer-address: value \"%s\" is not allowed; allowed: an address that differs "
                "from --http-address",
                config->address);
      return DKS_ERR_INVALID;
    }
  if (config->failure_timeout_us < 3 * config->heartbeat_us)
    {
      snprintf (error, DKS_OPTIONS_ERROR_SIZE,
                "--failure-timeout-ms: value \"%" PRId64 "\" is not allowed; allowed: at least "
                "three times --heartbeat-ms, here %" PRId64,
                config->failure_timeout_us / 1000, 3 * config->heartbeat_us / 1000);
      return DKS_ERR_INVALID;
    }
  if (config->leased_targets && complete_leased_options (options, error) != DKS_OK)
    return DKS_ERR_INVALID;
  if (config->incarnation == 0)
    config->incarnation = start_time_us ();
  if (config->seed == 0)
    config->seed = random_seed ();
  if (dks_config_validate (config, detail) != DKS_OK)
    {
      snprintf (error, DKS_OPTIONS_ERROR_SIZE, "%s", detail);
      return DKS_ERR_INVALID;
    }
  return DKS_OK;
}

/* Returns the first option with an empty value, or NULL. The error messages of argtable2 do not
 * name its flag. */
static const option_t *
find_empty_value (int argc, char **argv)
{
  for (int i = 1; i < argc; i++)
    {
      for (int j = 0; j < OPTION_COUNT; j++)
        {
          size_t len = strlen (option_table[j].flag);

          if (strncmp (argv[i], "--", 2) != 0
              || strncmp (argv[i] + 2, option_table[j].flag, len) != 0)
            continue;
          if (strcmp (argv[i] + 2 + len, "=") == 0
              || (argv[i][2 + len] == '\0' && i + 1 < argc && argv[i + 1][0] == '\0'))
            return &option_table[j];
        }
    }
  return NULL;
}

/* Copies the first error of argtable2, which prints errors to a stream only, to `error`. */
static int
syntax_error (const arguments_t *arguments, int argc, char **argv,
              char error[DKS_OPTIONS_ERROR_SIZE])
{
  const option_t *empty = find_empty_value (argc, argv);
  size_t name_len = strlen (argv[0]);
  FILE *stream;

  if (empty != NULL)
    return option_error (empty, "", "", error);
  stream = fmemopen (error, DKS_OPTIONS_ERROR_SIZE, "w");
  DKS_INVARIANT (stream != NULL);
  arg_print_errors (stream, arguments->args[ARG_END], argv[0]);
  fclose (stream);
  error[DKS_OPTIONS_ERROR_SIZE - 1] = '\0';
  error[strcspn (error, "\n")] = '\0';
  /* The caller prints the name of the program. */
  if (strncmp (error, argv[0], name_len) == 0 && strncmp (error + name_len, ": ", 2) == 0)
    memmove (error, error + name_len + 2, strlen (error + name_len + 2) + 1);
  return DKS_ERR_INVALID;
}

int
dks_options_parse (int argc, char **argv, dks_options_getenv_t getenv_func, dks_options_t *options,
                   char error[DKS_OPTIONS_ERROR_SIZE])
{
  arguments_t *arguments = dks_alloc (sizeof (*arguments));
  dks_settings_file_t *file = NULL;
  const option_t *settings;
  int syntax_errors;

  int result = DKS_OK;

  memset (options, 0, sizeof (*options));
  error[0] = '\0';
  options->mode = DKS_MODE_RUN;
  dks_config_init (&options->config);
  options->config.data_centre_count = 0;
  arguments_init (arguments);
  syntax_errors = arg_parse (argc, argv, arguments->args);
  if (arguments_has (arguments, ARG_HELP))
    {
      options->mode = DKS_MODE_HELP;
      goto out;
    }
  if (arguments_has (arguments, ARG_VERSION))
    {
      options->mode = DKS_MODE_VERSION;
      goto out;
    }
  if (arguments_has (arguments, ARG_VALIDATE))
    options->mode = DKS_MODE_VALIDATE;
  if (syntax_errors > 0)
    {
      result = syntax_error (arguments, argc, argv, error);
      goto out;
    }
  settings = find_option ("settings");
  result = option_apply (settings, arguments_value (arguments, (int)(settings - option_table)),
                         getenv_func, NULL, options, error);
  if (result == DKS_OK)
    result = read_settings (options->settings_path, &file, error);
  for (int i = 0; i < OPTION_COUNT && result == DKS_OK; i++)
    result = option_apply (&option_table[i], arguments_value (arguments, i), getenv_func, file,
                           options, error);
  if (result == DKS_OK)
    result = complete_options (options, error);
out:
  dks_settings_file_destroy (file);
  arg_freetable (arguments->args, ARG_COUNT);
  free (arguments);
  return result;
}

const char *
dks_options_needs_restart (const dks_options_t *a, const dks_options_t *b)
{
  for (int i = 0; i < OPTION_COUNT; i++)
    {
      const option_t *option = &option_table[i];
      bool generated = option->offset == offsetof (dks_options_t, config.incarnation)
                       || option->offset == offsetof (dks_options_t, config.seed);

      /* The incarnation and the seed are generated at every start when they are not given. */
      if (!option->reloadable && !generated
          && memcmp ((const char *)a + option->offset, (const char *)b + option->offset,
                     option->size)
                 != 0)
        return option->flag;
    }
  if (a->config.data_centre_count != b->config.data_centre_count
      || memcmp (a->config.data_centres, b->config.data_centres, sizeof (a->config.data_centres))
             != 0)
    return "data-centres";
  return NULL;
}

void
dks_options_print_help (const char *program)
{
  arguments_t *arguments = dks_alloc (sizeof (*arguments));

  arguments_init (arguments);
  printf ("Usage: %s", program);
  arg_print_syntax (stdout, arguments->args, "\n");
  printf ("Dispatches short tasks to targets.\n\n");
  arg_print_glossary (stdout, arguments->args, "  %-28s %s\n");
  printf (
      "\nEach option NAME can also be given as the environment variable " ENV_PREFIX
      "NAME,\nin upper case and with underscores, or in the file of --settings; the command line"
      "\noverrides the variable, and that the file.\n");
  arg_freetable (arguments->args, ARG_COUNT);
  free (arguments);
}
