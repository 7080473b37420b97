#include "common/alloc.h"
#include "common/error.h"
#include "core/reducer.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

void
dks_config_init (dks_config_t *config)
{
  *config = (dks_config_t){
    .heartbeat_us = 200000,
    .failure_timeout_us = 1500000,
    .ceiling_ms = 3600000,
    .retention_ms = 600000,
    .clock_skew_ms = 500,
    .claims_max = 4096,
  };
}

static int
check_range (const char *name, int64_t value, int64_t min, int64_t max, char detail[DKS_TEXT_SIZE])
{
  if (value >= min && value <= max)
    return DKS_OK;
  snprintf (detail, DKS_TEXT_SIZE, "%s is %" PRId64 ", allowed are %" PRId64 " to %" PRId64, name,
            value, min, max);
  return DKS_ERR_INVALID;
}

static int
check_name (const char *name, const char *value, char detail[DKS_TEXT_SIZE])
{
  if (value[0] != '\0' && strcspn (value, "#~/ \"\\") == strlen (value))
    return DKS_OK;
  snprintf (detail, DKS_TEXT_SIZE, "%s is \"%s\", it must not be empty or contain # ~ / space",
            name, value);
  return DKS_ERR_INVALID;
}

static int
check_data_centres (const dks_config_t *config, char detail[DKS_TEXT_SIZE])
{
  bool has_own = false;

  if (check_range ("number of data centres", (int64_t)config->data_centre_count, 1,
                   DKS_DATA_CENTRES_MAX, detail)
      != DKS_OK)
    return DKS_ERR_INVALID;
  for (size_t i = 0; i < config->data_centre_count; i++)
    {
      if (check_name ("data centre", config->data_centres[i], detail) != DKS_OK)
        return DKS_ERR_INVALID;
      for (size_t j = 0; j < i; j++)
        {
          if (strcmp (config->data_centres[i], config->data_centres[j]) == 0)
            {
              snprintf (detail, DKS_TEXT_SIZE, "data centre \"%s\" is listed twice",
                        config->data_centres[i]);
              return DKS_ERR_INVALID;
            }
        }
      has_own = has_own || strcmp (config->data_centres[i], config->data_centre) == 0;
    }
  if (has_own)
    return DKS_OK;
  snprintf (detail, DKS_TEXT_SIZE, "own data centre \"%s\" is not in the list of data centres",
            config->data_centre);
  return DKS_ERR_INVALID;
}

int
dks_config_validate (const dks_config_t *config, char detail[DKS_TEXT_SIZE])
{
  const struct
  {
    const char *name;
    int64_t value;
    int64_t min;
    int64_t max;
  } ranges[] = {
    { "heartbeat_us", config->heartbeat_us, 10000, 10000000 },
    { "failure_timeout_us", config->failure_timeout_us, 3 * config->heartbeat_us, 60000000 },
    { "ceiling_ms", config->ceiling_ms, 60000, 86400000 },
    { "retention_ms", config->retention_ms, 10000, 86400000 },
    { "clock_skew_ms", config->clock_skew_ms, 1, 60000 },
    { "claims_max", config->claims_max, 16, 1000000 },
  };

  if (check_name ("instance id", config->id, detail) != DKS_OK
      || check_name ("data centre", config->data_centre, detail) != DKS_OK
      || check_data_centres (config, detail) != DKS_OK)
    return DKS_ERR_INVALID;
  /* The member id is the instance id, "#" and 16 hexadecimal digits. */
  if (strlen (config->id) + 17 >= DKS_NAME_SIZE)
    {
      snprintf (detail, DKS_TEXT_SIZE, "instance id is longer than %d bytes", DKS_NAME_SIZE - 18);
      return DKS_ERR_INVALID;
    }
  for (size_t i = 0; i < sizeof (ranges) / sizeof (ranges[0]); i++)
    {
      if (check_range (ranges[i].name, ranges[i].value, ranges[i].min, ranges[i].max, detail)
          != DKS_OK)
        return DKS_ERR_INVALID;
    }
  return DKS_OK;
}
