#include "core/catalog.h"

#include "common/alloc.h"
#include "common/error.h"

#include <errno.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yajl/yajl_parse.h>

enum
{
  /* Open arrays and objects around a value: of the root object, of a list in it, and of an entry of
     that. */
  ROOT_DEPTH = 1,
  LIST_DEPTH = 2,
  ENTRY_DEPTH = 3,
  NUMBER_SIZE = 64, /* bytes of the text of a number with NUL */
  /* No job has a use for more, and the objective must not overflow. */
  OBJECTIVE_FACTOR_MAX_MILLI = 1000000
};

typedef enum
{
  LIST_NONE = 0,
  LIST_QUEUES,
  LIST_SERVICES
} list_t;

typedef struct
{
  char *data;
  size_t capacity;
} text_t;

typedef struct
{
  const dks_catalog_format_t *format;
  dks_catalog_t *catalog;
  dks_catalog_rejection_t *rejection;
  uint32_t depth;              /* open arrays and objects */
  list_t list;                 /* that is being read */
  list_t next_list;            /* whose key was read last */
  bool next_is_version;        /* its key was read last */
  dks_catalog_member_t member; /* whose key was read last; DKS_CATALOG_MEMBERS: none that is used */
  bool has_list[LIST_SERVICES + 1];
  /* Of the entry that is being read. */
  text_t texts[DKS_CATALOG_TEXT_MEMBERS];
  bool has_text[DKS_CATALOG_TEXT_MEMBERS];
  dks_queue_entry_t queue;
  dks_service_entry_t service;
} parser_t;

/* Results of the callbacks of the parser. */
enum
{
  STOP = 0,
  GO_ON = 1
};

__attribute__ ((format (printf, 2, 3))) static int
reject (parser_t *parser, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (parser->rejection->reason, sizeof (parser->rejection->reason), format, args);
  va_end (args);
  return STOP;
}

static int
reject_member (parser_t *parser, const char *problem)
{
  bool is_queue = parser->list == LIST_QUEUES;

  return reject (parser, "%s[%u].%s: %s",
                 is_queue ? parser->format->queues : parser->format->services,
                 is_queue ? parser->catalog->queue_count : parser->catalog->service_count,
                 parser->format->members[parser->member], problem);
}

/* Whether the value that comes next is that of a member. */
static bool
is_member_value (const parser_t *parser)
{
  return parser->depth == ENTRY_DEPTH && parser->list != LIST_NONE
         && parser->member != DKS_CATALOG_MEMBERS;
}

static bool
is_name (const char *name, const unsigned char *key, size_t len)
{
  return strlen (name) == len && memcmp (name, key, len) == 0;
}

static void
handle_root_key (parser_t *parser, const unsigned char *key, size_t len)
{
  parser->next_is_version = is_name ("version", key, len);
  parser->next_list = LIST_NONE;
  if (is_name (parser->format->queues, key, len))
    parser->next_list = LIST_QUEUES;
  else if (is_name (parser->format->services, key, len))
    parser->next_list = LIST_SERVICES;
}

/* Members of queues and of services of the same name mean different things, or nothing here. */
static bool
list_has_member (list_t list, dks_catalog_member_t member)
{
  bool is_of_service = member >= DKS_CATALOG_REJECTS_EXCESS_RUNS;

  return member == DKS_CATALOG_NAME || is_of_service == (list == LIST_SERVICES);
}

static int
handle_key (void *context, const unsigned char *key, size_t len)
{
  parser_t *parser = context;

  if (parser->depth == ROOT_DEPTH)
    handle_root_key (parser, key, len);
  if (parser->depth != ENTRY_DEPTH || parser->list == LIST_NONE)
    return GO_ON;
  parser->member = DKS_CATALOG_NAME;
  while (parser->member < DKS_CATALOG_MEMBERS
         && !(list_has_member (parser->list, parser->member)
              && is_name (parser->format->members[parser->member], key, len)))
    parser->member++;
  return GO_ON;
}

/* Checks the place of a value that is no object. */
static int
check_place (parser_t *parser)
{
  if (parser->depth == LIST_DEPTH && parser->list != LIST_NONE)
    return reject (parser, "an entry of %s is not an object",
                   parser->list == LIST_QUEUES ? parser->format->queues : parser->format->services);
  return GO_ON;
}

/* Texts stand in messages, headers and log lines. */
static bool
is_usable_text (const unsigned char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      if (text[i] < ' ' || text[i] == 0x7f)
        return false;
    }
  return len > 0;
}

static int
handle_text (void *context, const unsigned char *data, size_t len)
{
  parser_t *parser = context;
  text_t *text;

  if (!is_member_value (parser))
    return check_place (parser);
  if (parser->member == DKS_CATALOG_ADVICE)
    parser->queue.needs_advice = true;
  if (parser->member >= DKS_CATALOG_ADVICE)
    return GO_ON;
  if (parser->member >= DKS_CATALOG_TEXT_MEMBERS)
    return reject_member (parser, "not a number");
  if (!is_usable_text (data, len))
    return reject_member (parser, "empty, or has control characters");
  text = &parser->texts[parser->member];
  if (len >= text->capacity)
    {
      text->capacity = 2 * len + 1;
      text->data = dks_realloc (text->data, text->capacity);
    }
  memcpy (text->data, data, len);
  text->data[len] = '\0';
  parser->has_text[parser->member] = true;
  return GO_ON;
}

/* Reads a whole number from 0; larger ones than UINT32_MAX are limited to that. */
static int
read_count (parser_t *parser, const char *text, uint32_t *to)
{
  char *end;
  long long value = strtoll (text, &end, 10);

  if (*end != '\0' || value < 0)
    return reject_member (parser, "not a whole number from 0");
  *to = value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
  return GO_ON;
}

static int
read_objective_factor (parser_t *parser, const char *text)
{
  double milli = strtod (text, NULL) * parser->format->objective_factor_milli;

  if (!(milli >= 0))
    return reject_member (parser, "negative");
  parser->queue.objective_factor_milli =
      milli < OBJECTIVE_FACTOR_MAX_MILLI ? (uint32_t)lround (milli) : OBJECTIVE_FACTOR_MAX_MILLI;
  return GO_ON;
}

static int
read_version (parser_t *parser, const char *text)
{
  char *end;
  long long value;

  errno = 0;
  value = strtoll (text, &end, 10);
  if (*end != '\0' || errno != 0 || value < 1)
    return reject (parser, "version: not a whole number from 1 to %lld", (long long)INT64_MAX);
  parser->catalog->version = value;
  parser->rejection->version = value;
  return GO_ON;
}

static int
handle_number (void *context, const char *data, size_t len)
{
  parser_t *parser = context;
  char text[NUMBER_SIZE];

  if (!is_member_value (parser) && !(parser->depth == ROOT_DEPTH && parser->next_is_version))
    return check_place (parser);
  if (len >= sizeof (text))
    return reject (parser, "a number of %zu digits", len);
  memcpy (text, data, len);
  text[len] = '\0';
  if (parser->depth == ROOT_DEPTH)
    return read_version (parser, text);
  switch (parser->member)
    {
    case DKS_CATALOG_PRIORITY:
      return read_count (parser, text, &parser->queue.priority);
    case DKS_CATALOG_MAX_ATTEMPTS:
      return read_count (parser, text, &parser->queue.max_attempts);
    case DKS_CATALOG_TIMEOUT:
      return read_count (parser, text, &parser->queue.timeout_ms);
    case DKS_CATALOG_OBJECTIVE_EXTRA:
      return read_count (parser, text, &parser->queue.objective_extra_ms);
    case DKS_CATALOG_OBJECTIVE_FACTOR:
      return read_objective_factor (parser, text);
    case DKS_CATALOG_ADVICE:
      parser->queue.needs_advice = true;
      return GO_ON;
    case DKS_CATALOG_REJECTS_EXCESS_RUNS:
    case DKS_CATALOG_STANDBY:
      return GO_ON;
    default:
      return reject_member (parser, "not a text");
    }
}

static int
handle_bool (void *context, int value)
{
  parser_t *parser = context;

  if (!is_member_value (parser))
    return check_place (parser);
  if (parser->member == DKS_CATALOG_ADVICE)
    parser->queue.needs_advice = value != 0;
  else if (parser->member == DKS_CATALOG_REJECTS_EXCESS_RUNS)
    parser->service.rejects_excess_runs = value != 0;
  else if (parser->member == DKS_CATALOG_STANDBY)
    parser->service.standby = value != 0;
  else
    return reject_member (parser, "true or false");
  return GO_ON;
}

static int
handle_null (void *context)
{
  parser_t *parser = context;

  if (!is_member_value (parser))
    return check_place (parser);
  return parser->member >= DKS_CATALOG_ADVICE ? GO_ON : reject_member (parser, "null");
}

/* Begins an array or an object that is the value of a member. */
static int
begin_member_value (parser_t *parser)
{
  if (!is_member_value (parser))
    return GO_ON;
  if (parser->member == DKS_CATALOG_ADVICE)
    parser->queue.needs_advice = true;
  return parser->member >= DKS_CATALOG_ADVICE ? GO_ON
                                              : reject_member (parser, "an array or an object");
}

static int
begin_object (void *context)
{
  parser_t *parser = context;

  if (begin_member_value (parser) == STOP)
    return STOP;
  parser->depth++;
  if (parser->depth != ENTRY_DEPTH || parser->list == LIST_NONE)
    return GO_ON;
  memset (parser->has_text, 0, sizeof (parser->has_text));
  parser->queue = (dks_queue_entry_t){ 0 };
  parser->service = (dks_service_entry_t){ 0 };
  return GO_ON;
}

static int
end_queue (parser_t *parser)
{
  for (parser->member = DKS_CATALOG_NAME; parser->member < DKS_CATALOG_TEXT_MEMBERS;
       parser->member++)
    {
      if (!parser->has_text[parser->member])
        return reject_member (parser, "missing");
    }
  parser->queue.name = parser->texts[DKS_CATALOG_NAME].data;
  parser->queue.host = parser->texts[DKS_CATALOG_HOST].data;
  parser->queue.prefix = parser->texts[DKS_CATALOG_PREFIX].data;
  parser->queue.service = parser->texts[DKS_CATALOG_SERVICE].data;
  if (parser->queue.max_attempts == 0)
    parser->queue.max_attempts = 1;
  dks_catalog_add_queue (parser->catalog, &parser->queue);
  return GO_ON;
}

static int
end_service (parser_t *parser)
{
  parser->member = DKS_CATALOG_NAME;
  if (!parser->has_text[DKS_CATALOG_NAME])
    return reject_member (parser, "missing");
  parser->service.name = parser->texts[DKS_CATALOG_NAME].data;
  dks_catalog_add_service (parser->catalog, &parser->service);
  return GO_ON;
}

static int
end_object (void *context)
{
  parser_t *parser = context;

  parser->depth--;
  if (parser->depth != LIST_DEPTH || parser->list == LIST_NONE)
    return GO_ON;
  return parser->list == LIST_QUEUES ? end_queue (parser) : end_service (parser);
}

static int
begin_array (void *context)
{
  parser_t *parser = context;

  if (check_place (parser) == STOP || begin_member_value (parser) == STOP)
    return STOP;
  if (parser->depth == ROOT_DEPTH)
    {
      parser->list = parser->next_list;
      parser->has_list[parser->list] = true;
    }
  parser->depth++;
  return GO_ON;
}

static int
end_array (void *context)
{
  parser_t *parser = context;

  parser->depth--;
  if (parser->depth == ROOT_DEPTH)
    parser->list = LIST_NONE;
  return GO_ON;
}

static const yajl_callbacks callbacks = {
  .yajl_null = handle_null,
  .yajl_boolean = handle_bool,
  .yajl_number = handle_number,
  .yajl_string = handle_text,
  .yajl_start_map = begin_object,
  .yajl_map_key = handle_key,
  .yajl_end_map = end_object,
  .yajl_start_array = begin_array,
  .yajl_end_array = end_array,
};

/* Checks what is known only at the end of the text. */
static int
check_completeness (parser_t *parser)
{
  if (parser->catalog->version == 0)
    return reject (parser, "no version");
  if (!parser->has_list[LIST_QUEUES] || !parser->has_list[LIST_SERVICES])
    return reject (parser, "no list of %s",
                   parser->has_list[LIST_QUEUES] ? parser->format->services
                                                 : parser->format->queues);
  return GO_ON;
}

int
dks_catalog_parse (const dks_catalog_format_t *format, const void *text, size_t len,
                   dks_catalog_t **catalog, dks_catalog_rejection_t *rejection)
{
  parser_t parser = {
    .format = format,
    .catalog = dks_catalog_create (0),
    .rejection = rejection,
    .member = DKS_CATALOG_MEMBERS,
  };
  yajl_handle handle = yajl_alloc (&callbacks, NULL, &parser);
  yajl_status status;
  bool is_valid;

  DKS_INVARIANT (handle != NULL);
  *rejection = (dks_catalog_rejection_t){ 0 };
  status = yajl_parse (handle, text, len);
  if (status == yajl_status_ok)
    status = yajl_complete_parse (handle);
  if (status == yajl_status_error)
    reject (&parser, "not JSON, at byte %zu of %zu", yajl_get_bytes_consumed (handle), len);
  is_valid = status == yajl_status_ok && check_completeness (&parser) == GO_ON;
  yajl_free (handle);
  for (size_t i = 0; i < DKS_CATALOG_TEXT_MEMBERS; i++)
    free (parser.texts[i].data);
  *catalog = is_valid ? parser.catalog : NULL;
  if (!is_valid)
    dks_catalog_unref (parser.catalog);
  return is_valid ? DKS_OK : DKS_ERR_INVALID;
}
