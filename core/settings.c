#include "core/settings.h"

#include "common/alloc.h"
#include "common/error.h"

#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
#define FIELD_INDEX(field, name, value, min, max, help) FIELD_##field,
  DKS_SETTINGS (FIELD_INDEX)
#undef FIELD_INDEX
      FIELD_COUNT,
  PATH_SEGMENTS_MAX = 3,
  QUOTED_TEXT_MAX = 64 /* bytes of outside text in a detail, so that the reason still fits */
};

/* Largest version, and largest time in Unix ms. JSON readers outside this program hold numbers as
 * doubles, which are exact up to 2^53. */
#define JSON_INTEGER_MAX (INT64_C (1) << 53)

_Static_assert(FIELD_COUNT <= 32, "node_t.set_fields has 32 bits");

static const struct
{
  const char *name;
  size_t offset;
  int64_t default_value;
  int64_t min;
  int64_t max;
} fields[FIELD_COUNT] = {
#define FIELD_ROW(field, name, value, min, max, help)                                              \
  { name, offsetof (dks_settings_values_t, field), value, min, max },
  DKS_SETTINGS (FIELD_ROW)
#undef FIELD_ROW
};

/* Overrides of one path. */
typedef struct
{
  char path[DKS_TEXT_SIZE];
  uint32_t set_fields; /* bit i is set when `fields[i]` is overridden */
  int64_t values[FIELD_COUNT];
} node_t;

struct dks_settings_t
{
  uint32_t refs;
  int64_t version;
  node_t *nodes; /* ascending by path, each with at least one override */
  size_t node_count;
  dks_settings_change_t *changes; /* oldest first */
  size_t change_count;
};

__attribute__ ((format (printf, 2, 3))) static void
set_detail (char detail[DKS_TEXT_SIZE], const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (detail, DKS_TEXT_SIZE, format, args);
  va_end (args);
  /* Details are written to logs and terminals, and may quote text from outside this process, so
   * bytes that are not printable are replaced. */
  for (char *c = detail; *c != '\0'; c++)
    {
      if (!isprint ((unsigned char)*c))
        *c = '?';
    }
}

static int
field_find (const char *name)
{
  for (int i = 0; i < FIELD_COUNT; i++)
    {
      if (strcmp (fields[i].name, name) == 0)
        return i;
    }
  return DKS_ERR_NOT_FOUND;
}

static bool
is_segment (const char *text, size_t len)
{
  if (len == 0 || len >= DKS_NAME_SIZE)
    return false;
  /* URL libraries remove the segments "." and "..", so no client could address such a path. */
  if ((len == 1 && text[0] == '.') || (len == 2 && memcmp (text, "..", 2) == 0))
    return false;
  for (size_t i = 0; i < len; i++)
    {
      if (!isalnum ((unsigned char)text[i]) && text[i] != '-' && text[i] != '_' && text[i] != '.')
        return false;
    }
  return true;
}

static int
path_check (const char *path, char detail[DKS_TEXT_SIZE])
{
  const char *segment = path;
  int count = 0;

  if (strcmp (path, "/") == 0)
    return DKS_OK;
  while (*segment == '/')
    {
      size_t len = strcspn (segment + 1, "/");

      if (!is_segment (segment + 1, len))
        break;
      count++;
      segment += 1 + len;
    }
  if (*segment != '\0' || count == 0)
    {
      set_detail (detail, "%.*s: bad path; segments have 1 to %d letters, digits, '-', '_' or '.'",
                  QUOTED_TEXT_MAX, path, DKS_NAME_SIZE - 1);
      return DKS_ERR_INVALID;
    }
  if (count > PATH_SEGMENTS_MAX)
    {
      set_detail (detail, "%.*s: bad path; at most %d segments are allowed", QUOTED_TEXT_MAX, path,
                  PATH_SEGMENTS_MAX);
      return DKS_ERR_INVALID;
    }
  return DKS_OK;
}

static int
value_check (const char *path, int field, int64_t value, char detail[DKS_TEXT_SIZE])
{
  if (value >= fields[field].min && value <= fields[field].max)
    return DKS_OK;
  set_detail (detail, "%.*s: %s must be %" PRId64 " to %" PRId64 ", not %" PRId64, QUOTED_TEXT_MAX,
              path, fields[field].name, fields[field].min, fields[field].max, value);
  return DKS_ERR_INVALID;
}

/* Whether the text is a valid actor or id: not empty, printable ASCII only. */
static bool
is_label (const char *text, size_t size)
{
  size_t len = strnlen (text, size);

  if (len == 0 || len >= size)
    return false;
  for (size_t i = 0; i < len; i++)
    {
      if (text[i] < 0x20 || text[i] > 0x7e)
        return false;
    }
  return true;
}

/* Whether the text is the canonical decimal of an int64_t, as dks_settings_apply() writes it. */
static bool
is_decimal (const char *text)
{
  char canonical[32];

  snprintf (canonical, sizeof (canonical), "%lld", strtoll (text, NULL, 10));
  return strcmp (text, canonical) == 0;
}

static int
node_compare (const void *a, const void *b)
{
  return strcmp (((const node_t *)a)->path, ((const node_t *)b)->path);
}

/* Index of the first node whose path is not before `path`. */
static size_t
node_lower_bound (const dks_settings_t *settings, const char *path)
{
  size_t low = 0;
  size_t high = settings->node_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (strcmp (settings->nodes[middle].path, path) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static const node_t *
node_find (const dks_settings_t *settings, const char *path)
{
  size_t i = node_lower_bound (settings, path);

  if (i < settings->node_count && strcmp (settings->nodes[i].path, path) == 0)
    return &settings->nodes[i];
  return NULL;
}

dks_settings_t *
dks_settings_create (void)
{
  dks_settings_t *settings = dks_alloc (sizeof (*settings));

  settings->refs = 1;
  return settings;
}

dks_settings_t *
dks_settings_ref (dks_settings_t *settings)
{
  if (settings != NULL)
    settings->refs++;
  return settings;
}

void
dks_settings_unref (dks_settings_t *settings)
{
  if (settings == NULL)
    return;
  DKS_INVARIANT (settings->refs > 0);
  if (--settings->refs > 0)
    return;
  free (settings->nodes);
  free (settings->changes);
  free (settings);
}

/* Checks that `object` is an object with exactly the fields in `names`. */
static int
check_fields (const char *where, const json_t *object, const char *const *names, size_t count,
              char detail[DKS_TEXT_SIZE])
{
  const char *name;
  json_t *item;

  if (!json_is_object (object))
    {
      set_detail (detail, "%s: must be an object", where);
      return DKS_ERR_INVALID;
    }
  json_object_foreach ((json_t *)object, name, item)
  {
    bool known = false;
    for (size_t i = 0; i < count; i++)
      known = known || strcmp (names[i], name) == 0;
    if (!known)
      {
        set_detail (detail, "%s: unknown field %.*s", where, QUOTED_TEXT_MAX, name);
        return DKS_ERR_INVALID;
      }
  }
  for (size_t i = 0; i < count; i++)
    {
      if (json_object_get (object, names[i]) == NULL)
        {
          set_detail (detail, "%s: field %s is missing", where, names[i]);
          return DKS_ERR_INVALID;
        }
    }
  return DKS_OK;
}

static int
read_integer (const char *where, const json_t *object, const char *name, int64_t min, int64_t max,
              int64_t *value, char detail[DKS_TEXT_SIZE])
{
  const json_t *item = json_object_get (object, name);

  if (!json_is_integer (item) || json_integer_value (item) < min || json_integer_value (item) > max)
    {
      set_detail (detail, "%s: %s must be an integer of %" PRId64 " to %" PRId64, where, name, min,
                  max);
      return DKS_ERR_INVALID;
    }
  *value = json_integer_value (item);
  return DKS_OK;
}

static int
read_text (const char *where, const json_t *object, const char *name, char *out, size_t size,
           char detail[DKS_TEXT_SIZE])
{
  const char *text = json_string_value (json_object_get (object, name));

  if (text == NULL || strlen (text) >= size)
    {
      set_detail (detail, "%s: %s must be a string of at most %zu bytes", where, name, size - 1);
      return DKS_ERR_INVALID;
    }
  dks_strcpy (out, size, text);
  return DKS_OK;
}

static int
parse_node (const char *path, const json_t *object, node_t *node, char detail[DKS_TEXT_SIZE])
{
  const char *name;
  json_t *item;
  int error = path_check (path, detail);

  if (error != DKS_OK)
    return error;
  dks_strcpy (node->path, sizeof (node->path), path);
  if (!json_is_object (object))
    {
      set_detail (detail, "%.*s: must be an object", QUOTED_TEXT_MAX, path);
      return DKS_ERR_INVALID;
    }
  json_object_foreach ((json_t *)object, name, item)
  {
    int field = field_find (name);

    if (field < 0)
      {
        set_detail (detail, "%.*s: unknown setting %.*s", QUOTED_TEXT_MAX, path, QUOTED_TEXT_MAX,
                    name);
        return DKS_ERR_INVALID;
      }
    if (!json_is_integer (item))
      {
        set_detail (detail, "%.*s: %s must be an integer", QUOTED_TEXT_MAX, path, name);
        return DKS_ERR_INVALID;
      }
    error = value_check (path, field, json_integer_value (item), detail);
    if (error != DKS_OK)
      return error;
    node->set_fields |= 1U << field;
    node->values[field] = json_integer_value (item);
  }
  return DKS_OK;
}

static int
parse_overrides (const json_t *overrides, dks_settings_t *settings, char detail[DKS_TEXT_SIZE])
{
  const char *path;
  json_t *item;

  if (!json_is_object (overrides))
    {
      set_detail (detail, "overrides: must be an object");
      return DKS_ERR_INVALID;
    }
  settings->nodes = dks_alloc (json_object_size (overrides) * sizeof (node_t));
  json_object_foreach ((json_t *)overrides, path, item)
  {
    node_t *node = &settings->nodes[settings->node_count];
    int error = parse_node (path, item, node, detail);

    if (error != DKS_OK)
      return error;
    /* An object without overrides has no effect; it is dropped so that equal trees have equal
     * nodes. */
    if (node->set_fields != 0)
      settings->node_count++;
    else
      memset (node, 0, sizeof (*node));
  }
  qsort (settings->nodes, settings->node_count, sizeof (node_t), node_compare);
  return DKS_OK;
}

static int
parse_change (size_t index, const json_t *object, dks_settings_change_t *change,
              char detail[DKS_TEXT_SIZE])
{
  static const char *const names[] = { "version", "at_ms", "id",   "actor",
                                       "path",    "name",  "from", "to" };
  char where[32];
  int error;

  snprintf (where, sizeof (where), "history[%zu]", index);
  error = check_fields (where, object, names, sizeof (names) / sizeof (names[0]), detail);
  if (error == DKS_OK)
    error = read_integer (where, object, "version", 1, JSON_INTEGER_MAX, &change->version, detail);
  if (error == DKS_OK)
    error = read_integer (where, object, "at_ms", 0, JSON_INTEGER_MAX, &change->at_ms, detail);
  if (error == DKS_OK)
    error = read_text (where, object, "id", change->id, sizeof (change->id), detail);
  if (error == DKS_OK)
    error = read_text (where, object, "actor", change->actor, sizeof (change->actor), detail);
  if (error == DKS_OK)
    error = read_text (where, object, "path", change->path, sizeof (change->path), detail);
  if (error == DKS_OK)
    error = read_text (where, object, "name", change->name, sizeof (change->name), detail);
  if (error == DKS_OK)
    error = read_text (where, object, "from", change->from, sizeof (change->from), detail);
  if (error == DKS_OK)
    error = read_text (where, object, "to", change->to, sizeof (change->to), detail);
  if (error != DKS_OK)
    return error;
  if (!is_label (change->id, sizeof (change->id))
      || !is_label (change->actor, sizeof (change->actor)))
    {
      set_detail (detail, "%s: id and actor must be printable ASCII and not empty", where);
      return DKS_ERR_INVALID;
    }
  /* The setting may exist only in an earlier or later program version, so only the form of its name
   * is checked. */
  if (!is_segment (change->name, strlen (change->name)))
    {
      set_detail (detail, "%s: bad name", where);
      return DKS_ERR_INVALID;
    }
  if ((change->from[0] != '\0' && !is_decimal (change->from))
      || (change->to[0] != '\0' && !is_decimal (change->to))
      || (change->from[0] == '\0' && change->to[0] == '\0'))
    {
      set_detail (detail, "%s: from and to must be decimals or empty, and not both empty", where);
      return DKS_ERR_INVALID;
    }
  return path_check (change->path, detail);
}

static int
parse_history (const json_t *history, dks_settings_t *settings, char detail[DKS_TEXT_SIZE])
{
  size_t count = json_array_size (history);

  if (!json_is_array (history) || count > DKS_SETTINGS_HISTORY_MAX)
    {
      set_detail (detail, "history: must be an array of at most %d changes",
                  DKS_SETTINGS_HISTORY_MAX);
      return DKS_ERR_INVALID;
    }
  settings->changes = dks_alloc (count * sizeof (settings->changes[0]));
  for (size_t i = 0; i < count; i++)
    {
      dks_settings_change_t *change = &settings->changes[i];
      int error = parse_change (i, json_array_get (history, i), change, detail);

      if (error != DKS_OK)
        return error;
      if (change->version != settings->version - (int64_t)(count - 1 - i))
        {
          set_detail (detail, "history[%zu]: versions must rise by 1 up to the record's version",
                      i);
          return DKS_ERR_INVALID;
        }
    }
  settings->change_count = count;
  return DKS_OK;
}

int
dks_settings_parse (const char *json, size_t len, dks_settings_t **settings,
                    char detail[DKS_TEXT_SIZE])
{
  static const char *const names[] = { "version", "overrides", "history" };
  json_error_t json_error;
  json_t *root = NULL;
  dks_settings_t *parsed = NULL;
  int error = DKS_ERR_INVALID;

  *settings = NULL;
  detail[0] = '\0';
  if (len > DKS_SETTINGS_RECORD_MAX)
    {
      set_detail (detail, "record: %zu bytes are more than the %d allowed", len,
                  DKS_SETTINGS_RECORD_MAX);
      return DKS_ERR_TOO_LARGE;
    }
  root = json_loadb (json, len, JSON_REJECT_DUPLICATES, &json_error);
  if (root == NULL)
    {
      set_detail (detail, "record: line %d column %d: %s", json_error.line, json_error.column,
                  json_error.text);
      return DKS_ERR_INVALID;
    }
  parsed = dks_settings_create ();
  error = check_fields ("record", root, names, sizeof (names) / sizeof (names[0]), detail);
  if (error == DKS_OK)
    error = read_integer ("record", root, "version", 0, JSON_INTEGER_MAX, &parsed->version, detail);
  if (error == DKS_OK)
    error = parse_overrides (json_object_get (root, "overrides"), parsed, detail);
  if (error == DKS_OK)
    error = parse_history (json_object_get (root, "history"), parsed, detail);
  if (error == DKS_OK)
    {
      *settings = parsed;
      parsed = NULL;
    }
  dks_settings_unref (parsed);
  json_decref (root);
  return error;
}

dks_blob_t *
dks_settings_format (const dks_settings_t *settings)
{
  json_t *overrides = json_object ();
  json_t *history = json_array ();
  json_t *root;
  char *text;
  dks_blob_t *blob;

  for (size_t i = 0; i < settings->node_count; i++)
    {
      const node_t *node = &settings->nodes[i];
      json_t *object = json_object ();

      for (int field = 0; field < FIELD_COUNT; field++)
        {
          if (node->set_fields & 1U << field)
            json_object_set_new (object, fields[field].name, json_integer (node->values[field]));
        }
      json_object_set_new (overrides, node->path, object);
    }
  for (size_t i = 0; i < settings->change_count; i++)
    {
      const dks_settings_change_t *change = &settings->changes[i];

      json_array_append_new (
          history, json_pack ("{s:I,s:I,s:s,s:s,s:s,s:s,s:s,s:s}", "version",
                              (json_int_t)change->version, "at_ms", (json_int_t)change->at_ms, "id",
                              change->id, "actor", change->actor, "path", change->path, "name",
                              change->name, "from", change->from, "to", change->to));
    }
  root = json_pack ("{s:I,s:o,s:o}", "version", (json_int_t)settings->version, "overrides",
                    overrides, "history", history);
  DKS_INVARIANT (root != NULL);
  text = json_dumps (root, JSON_COMPACT);
  DKS_INVARIANT (text != NULL);
  blob = dks_blob_create_text (text);
  free (text);
  json_decref (root);
  return blob;
}

int64_t
dks_settings_version (const dks_settings_t *settings)
{
  return settings->version;
}

static int
edit_check (const dks_settings_t *settings, const dks_settings_edit_t *edit, int64_t wall_ms,
            char detail[DKS_TEXT_SIZE])
{
  int error = path_check (edit->path, detail);
  int field = field_find (edit->name);

  if (error != DKS_OK)
    return error;
  if (field < 0)
    {
      set_detail (detail, "%.*s: unknown setting %s", QUOTED_TEXT_MAX, edit->path, edit->name);
      return DKS_ERR_INVALID;
    }
  if (!is_label (edit->id, sizeof (edit->id)) || !is_label (edit->actor, sizeof (edit->actor)))
    {
      set_detail (detail, "%.*s: id and actor must be printable ASCII and not empty",
                  QUOTED_TEXT_MAX, edit->path);
      return DKS_ERR_INVALID;
    }
  if (wall_ms < 0 || wall_ms > JSON_INTEGER_MAX || settings->version >= JSON_INTEGER_MAX)
    {
      set_detail (detail, "%.*s: time or version of the change is out of range", QUOTED_TEXT_MAX,
                  edit->path);
      return DKS_ERR_INVALID;
    }
  if (!edit->unset)
    return value_check (edit->path, field, edit->value, detail);
  return DKS_OK;
}

static dks_settings_t *
copy_for_edit (const dks_settings_t *settings)
{
  dks_settings_t *copy = dks_settings_create ();
  size_t kept_count = settings->change_count;
  size_t skipped_count = 0;

  /* Both arrays get one spare entry for the edit that is applied to the copy; a full history loses
   * its oldest change. */
  if (kept_count >= DKS_SETTINGS_HISTORY_MAX)
    {
      skipped_count = kept_count - (DKS_SETTINGS_HISTORY_MAX - 1);
      kept_count = DKS_SETTINGS_HISTORY_MAX - 1;
    }
  copy->version = settings->version;
  copy->node_count = settings->node_count;
  copy->nodes = dks_alloc ((settings->node_count + 1) * sizeof (node_t));
  if (settings->node_count > 0)
    memcpy (copy->nodes, settings->nodes, settings->node_count * sizeof (node_t));
  copy->change_count = kept_count;
  copy->changes = dks_alloc ((kept_count + 1) * sizeof (copy->changes[0]));
  if (kept_count > 0)
    memcpy (copy->changes, settings->changes + skipped_count,
            kept_count * sizeof (copy->changes[0]));
  return copy;
}

static void
node_set (dks_settings_t *settings, const char *path, int field, int64_t value)
{
  size_t i = node_lower_bound (settings, path);
  node_t *node = &settings->nodes[i];

  if (i == settings->node_count || strcmp (node->path, path) != 0)
    {
      memmove (node + 1, node, (settings->node_count - i) * sizeof (node_t));
      memset (node, 0, sizeof (*node));
      dks_strcpy (node->path, sizeof (node->path), path);
      settings->node_count++;
    }
  node->set_fields |= 1U << field;
  node->values[field] = value;
}

static void
node_unset (dks_settings_t *settings, const char *path, int field)
{
  size_t i = node_lower_bound (settings, path);
  node_t *node = &settings->nodes[i];

  node->set_fields &= ~(1U << field);
  if (node->set_fields != 0)
    return;
  settings->node_count--;
  memmove (node, node + 1, (settings->node_count - i) * sizeof (node_t));
}

int
dks_settings_apply (const dks_settings_t *settings, const dks_settings_edit_t *edit,
                    int64_t wall_ms, dks_settings_t **result, char detail[DKS_TEXT_SIZE])
{
  int error;
  int field;
  const node_t *node;
  bool has_override;
  dks_settings_t *copy;
  dks_settings_change_t *change;
  dks_blob_t *record;
  size_t record_len;

  *result = NULL;
  detail[0] = '\0';
  error = edit_check (settings, edit, wall_ms, detail);
  if (error != DKS_OK)
    return error;
  field = field_find (edit->name);
  node = node_find (settings, edit->path);
  has_override = node != NULL && (node->set_fields & 1U << field) != 0;
  if (edit->unset && !has_override)
    {
      set_detail (detail, "%.*s: %s is not overridden here", QUOTED_TEXT_MAX, edit->path,
                  edit->name);
      return DKS_ERR_NOT_FOUND;
    }

  copy = copy_for_edit (settings);
  copy->version++;
  change = &copy->changes[copy->change_count++];
  change->version = copy->version;
  change->at_ms = wall_ms;
  dks_strcpy (change->id, sizeof (change->id), edit->id);
  dks_strcpy (change->actor, sizeof (change->actor), edit->actor);
  dks_strcpy (change->path, sizeof (change->path), edit->path);
  dks_strcpy (change->name, sizeof (change->name), edit->name);
  if (has_override)
    snprintf (change->from, sizeof (change->from), "%" PRId64, node->values[field]);
  if (edit->unset)
    node_unset (copy, edit->path, field);
  else
    {
      snprintf (change->to, sizeof (change->to), "%" PRId64, edit->value);
      node_set (copy, edit->path, field, edit->value);
    }

  record = dks_settings_format (copy);
  record_len = record->len;
  dks_blob_unref (record);
  if (record_len > DKS_SETTINGS_RECORD_MAX)
    {
      set_detail (detail, "%.*s: the record would exceed %d bytes", QUOTED_TEXT_MAX, edit->path,
                  DKS_SETTINGS_RECORD_MAX);
      dks_settings_unref (copy);
      return DKS_ERR_TOO_LARGE;
    }
  *result = copy;
  return DKS_OK;
}

static void
apply_overrides (const dks_settings_t *settings, const char *path, dks_settings_values_t *values)
{
  const node_t *node = node_find (settings, path);

  if (node == NULL)
    return;
  for (int field = 0; field < FIELD_COUNT; field++)
    {
      if (node->set_fields & 1U << field)
        *(int64_t *)((char *)values + fields[field].offset) = node->values[field];
    }
}

void
dks_settings_resolve (const dks_settings_t *settings, const char *service, const char *data_centre,
                      const char *job, dks_settings_values_t *values)
{
  const char *const segments[PATH_SEGMENTS_MAX] = { service, data_centre, job };
  char path[DKS_TEXT_SIZE] = "";
  size_t len = 0;

  for (int field = 0; field < FIELD_COUNT; field++)
    *(int64_t *)((char *)values + fields[field].offset) = fields[field].default_value;
  if (settings->node_count == 0)
    return;
  apply_overrides (settings, "/", values);
  for (int i = 0; i < PATH_SEGMENTS_MAX; i++)
    {
      size_t segment_len = strnlen (segments[i], DKS_NAME_SIZE);

      /* A name with a '/' must not match the path of another level. */
      if (!is_segment (segments[i], segment_len))
        return;
      path[len++] = '/';
      memcpy (path + len, segments[i], segment_len);
      len += segment_len;
      path[len] = '\0';
      apply_overrides (settings, path, values);
    }
}

bool
dks_settings_has_change (const dks_settings_t *settings, const char *id)
{
  for (size_t i = 0; i < settings->change_count; i++)
    {
      if (strcmp (settings->changes[i].id, id) == 0)
        return true;
    }
  return false;
}

size_t
dks_settings_change_count (const dks_settings_t *settings)
{
  return settings->change_count;
}

const dks_settings_change_t *
dks_settings_change (const dks_settings_t *settings, size_t i)
{
  DKS_INVARIANT (i < settings->change_count);
  return &settings->changes[i];
}
