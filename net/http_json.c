#include "net/http_json.h"

#include "common/alloc.h"
#include "common/error.h"

#include <apr_encode.h>
#include <ctype.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Largest values of the fields of a task. */
enum
{
  RUN_MS_MAX = 3600000,
  CPUS_MAX = 65536,
  MEMORY_MB_MAX = 1 << 30,
  ACCELERATORS_MAX = 65536
};

/* Formats an error text into `detail` and returns `error`. */
static int __attribute__ ((format (printf, 3, 4)))
fail (int error, char detail[DKS_TEXT_SIZE], const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (detail, DKS_TEXT_SIZE, format, args);
  va_end (args);
  return error;
}

/* Text from outside may be truncated within a UTF-8 character, and then is not valid; all bytes
 * that are not ASCII are then replaced by '?'. */
static json_t *
text_json (const char *text)
{
  json_t *value = json_string (text);
  char *copy;

  if (value != NULL)
    return value;
  copy = dks_strdup (text);
  for (char *c = copy; *c != '\0'; c++)
    {
      if ((unsigned char)*c >= 0x80)
        *c = '?';
    }
  value = json_string (copy);
  free (copy);
  return value;
}

static void
set_text (json_t *object, const char *name, const char *text)
{
  json_object_set_new (object, name, text_json (text));
}

static void
set_integer (json_t *object, const char *name, int64_t value)
{
  json_object_set_new (object, name, json_integer (value));
}

static char *
dump_and_decref (json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);

  DKS_INVARIANT (text != NULL);
  json_decref (value);
  return text;
}

static int
load_object (const void *body, size_t len, json_t **root, char detail[DKS_TEXT_SIZE])
{
  json_error_t error;

  *root = json_loadb (len > 0 ? body : "", len, JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &error);
  if (*root == NULL)
    return fail (DKS_ERR_INVALID, detail, "malformed JSON at line %d, column %d: %.80s", error.line,
                 error.column, error.text);
  if (json_is_object (*root))
    return DKS_OK;
  json_decref (*root);
  *root = NULL;
  return fail (DKS_ERR_INVALID, detail, "the body must be a JSON object");
}

/* Decodes the value of a field into `target`. `where` is the path of the field, for error texts. */
typedef int (*field_func_t) (void *target, const char *where, const json_t *value,
                             char detail[DKS_TEXT_SIZE]);

/* An allowed field of an object. */
typedef struct
{
  const char *name;
  field_func_t func;
} field_t;

/* Decodes each member of `object` with the function of its field; a member without a field is an
 * error. `where` is the path of the object with a trailing dot, or empty. */
static int
decode_fields (const field_t *fields, size_t count, void *target, const char *where, json_t *object,
               char detail[DKS_TEXT_SIZE])
{
  const char *name;
  json_t *value;

  json_object_foreach (object, name, value)
  {
    char path[64];
    size_t i = 0;
    int error;

    while (i < count && strcmp (fields[i].name, name) != 0)
      i++;
    if (i == count)
      return fail (DKS_ERR_INVALID, detail, "unknown field \"%s%.64s\"", where, name);
    snprintf (path, sizeof (path), "%s%s", where, name);
    error = fields[i].func (target, path, value, detail);
    if (error != DKS_OK)
      return error;
  }
  return DKS_OK;
}

static int
decode_integer (const char *where, const json_t *value, int64_t min, int64_t max, int64_t *out,
                char detail[DKS_TEXT_SIZE])
{
  if (!json_is_integer (value))
    return fail (DKS_ERR_INVALID, detail,
                 "field \"%s\" must be a whole number from %" PRId64 " to %" PRId64, where, min,
                 max);
  *out = json_integer_value (value);
  if (*out < min || *out > max)
    return fail (DKS_ERR_INVALID, detail,
                 "field \"%s\" is %" PRId64 ", allowed is %" PRId64 " to %" PRId64, where, *out,
                 min, max);
  return DKS_OK;
}

static int
decode_uint32 (const char *where, const json_t *value, int64_t max, uint32_t *out,
               char detail[DKS_TEXT_SIZE])
{
  int64_t number = 0;
  int error = decode_integer (where, value, 0, max, &number, detail);

  if (error == DKS_OK)
    *out = (uint32_t)number;
  return error;
}

/* Names are levels of paths in the settings tree, so they cannot contain a slash. */
static int
decode_name (const char *where, const json_t *value, char out[DKS_NAME_SIZE],
             char detail[DKS_TEXT_SIZE])
{
  const char *text = json_string_value (value);
  size_t len = json_string_length (value);
  bool ok = text != NULL && len >= 1 && len < DKS_NAME_SIZE;

  for (size_t i = 0; ok && i < len; i++)
    ok = isalnum ((unsigned char)text[i]) || (text[i] != '\0' && strchr ("-_.:", text[i]) != NULL);
  if (!ok)
    return fail (DKS_ERR_INVALID, detail,
                 "field \"%s\" must be a string of 1 to %d letters, digits, '-', '_', '.' or ':'",
                 where, DKS_NAME_SIZE - 1);
  memcpy (out, text, len);
  out[len] = '\0';
  return DKS_OK;
}

static int
decode_payload (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  dks_task_spec_t *task = target;

  if (!json_is_string (value))
    return fail (DKS_ERR_INVALID, detail, "field \"%s\" must be a string", where);
  if (json_string_length (value) > DKS_PAYLOAD_MAX)
    return fail (DKS_ERR_TOO_LARGE, detail, "field \"%s\" has %zu bytes, allowed are %d", where,
                 json_string_length (value), DKS_PAYLOAD_MAX);
  task->payload = dks_blob_create (json_string_value (value), json_string_length (value));
  return DKS_OK;
}

static int
decode_run_ms (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  return decode_uint32 (where, value, RUN_MS_MAX, &((dks_task_spec_t *)target)->run_ms, detail);
}

static int
decode_cpus (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  return decode_uint32 (where, value, CPUS_MAX, &((dks_task_spec_t *)target)->cpus, detail);
}

static int
decode_memory_mb (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  return decode_uint32 (where, value, MEMORY_MB_MAX, &((dks_task_spec_t *)target)->memory_mb,
                        detail);
}

static int
decode_accelerators (void *target, const char *where, const json_t *value,
                     char detail[DKS_TEXT_SIZE])
{
  return decode_uint32 (where, value, ACCELERATORS_MAX, &((dks_task_spec_t *)target)->accelerators,
                        detail);
}

static int
decode_task (const char *where, json_t *value, dks_task_spec_t *task, char detail[DKS_TEXT_SIZE])
{
  static const field_t fields[] = {
    { "accelerators", decode_accelerators },
    { "cpus", decode_cpus },
    { "memory_mb", decode_memory_mb },
    { "payload", decode_payload },
    { "run_ms", decode_run_ms },
  };
  char prefix[32];
  int error;

  if (!json_is_object (value))
    return fail (DKS_ERR_INVALID, detail, "field \"%s\" must be an object", where);
  snprintf (prefix, sizeof (prefix), "%s.", where);
  error = decode_fields (fields, sizeof (fields) / sizeof (fields[0]), task, prefix, value, detail);
  if (error != DKS_OK)
    return error;
  if (task->payload == NULL)
    return fail (DKS_ERR_INVALID, detail, "field \"%s.payload\" is missing", where);
  return DKS_OK;
}

/* The top-level fields of a submission, which are decoded before the tasks: the submission cannot
 * be allocated until their number is known. */
typedef struct
{
  char service[DKS_NAME_SIZE];
  char team[DKS_NAME_SIZE];
  int64_t deadline_ms;
  bool repeatable;
  const json_t *tasks; /* the array of tasks, or the only task of a single request */
} toplevel_t;

static int
decode_service (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  return decode_name (where, value, ((toplevel_t *)target)->service, detail);
}

static int
decode_team (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  return decode_name (where, value, ((toplevel_t *)target)->team, detail);
}

static int
decode_deadline (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  return decode_integer (where, value, DKS_DEADLINE_MIN_MS, DKS_DEADLINE_MAX_MS,
                         &((toplevel_t *)target)->deadline_ms, detail);
}

static int
decode_repeatable (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  if (!json_is_boolean (value))
    return fail (DKS_ERR_INVALID, detail, "field \"%s\" must be true or false", where);
  ((toplevel_t *)target)->repeatable = json_is_true (value);
  return DKS_OK;
}

static int
decode_tasks (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  if (!json_is_array (value) || json_array_size (value) == 0)
    return fail (DKS_ERR_INVALID, detail, "field \"%s\" must be an array of 1 to %d tasks", where,
                 DKS_TASKS_MAX);
  if (json_array_size (value) > DKS_TASKS_MAX)
    return fail (DKS_ERR_TOO_LARGE, detail, "field \"%s\" has %zu tasks, allowed are 1 to %d",
                 where, json_array_size (value), DKS_TASKS_MAX);
  ((toplevel_t *)target)->tasks = value;
  return DKS_OK;
}

static int
decode_one_task (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  ((toplevel_t *)target)->tasks = value;
  return DKS_OK;
}

static int
decode_toplevel (json_t *root, bool single, toplevel_t *toplevel, char detail[DKS_TEXT_SIZE])
{
  const field_t fields[] = {
    { "deadline_ms", decode_deadline },
    { "repeatable", decode_repeatable },
    { "service", decode_service },
    { "team", decode_team },
    { single ? "task" : "tasks", single ? decode_one_task : decode_tasks },
  };
  int error =
      decode_fields (fields, sizeof (fields) / sizeof (fields[0]), toplevel, "", root, detail);

  if (error != DKS_OK)
    return error;
  if (toplevel->service[0] == '\0')
    return fail (DKS_ERR_INVALID, detail, "field \"service\" is missing");
  if (toplevel->team[0] == '\0')
    return fail (DKS_ERR_INVALID, detail, "field \"team\" is missing");
  if (toplevel->tasks == NULL)
    return fail (DKS_ERR_INVALID, detail, "field \"%s\" is missing", single ? "task" : "tasks");
  return DKS_OK;
}

static int
decode_task_list (const toplevel_t *toplevel, bool single, dks_submission_t *submission,
                  char detail[DKS_TEXT_SIZE])
{
  if (single)
    return decode_task ("task", (json_t *)toplevel->tasks, &submission->tasks[0], detail);
  for (uint32_t i = 0; i < submission->task_count; i++)
    {
      char where[24];
      int error;

      snprintf (where, sizeof (where), "tasks[%" PRIu32 "]", i);
      error =
          decode_task (where, json_array_get (toplevel->tasks, i), &submission->tasks[i], detail);
      if (error != DKS_OK)
        return error;
    }
  return DKS_OK;
}

int
dks_http_json_decode_submission (const void *body, size_t len,
                                 const dks_http_json_context_t *context,
                                 dks_submission_t **submission, char detail[DKS_TEXT_SIZE])
{
  toplevel_t toplevel = { .deadline_ms = context->deadline_default_ms };
  dks_submission_t *decoded = NULL;
  json_t *root = NULL;
  int error = load_object (body, len, &root, detail);

  if (error != DKS_OK)
    return error;
  error = decode_toplevel (root, context->single, &toplevel, detail);
  if (error != DKS_OK)
    goto out;
  decoded =
      dks_submission_create (context->single ? 1 : (uint32_t)json_array_size (toplevel.tasks));
  error = decode_task_list (&toplevel, context->single, decoded, detail);
  if (error != DKS_OK)
    goto out;
  memcpy (decoded->service, toplevel.service, sizeof (toplevel.service));
  memcpy (decoded->team, toplevel.team, sizeof (toplevel.team));
  decoded->deadline_ms = context->arrival_wall_ms + toplevel.deadline_ms;
  decoded->single = context->single;
  decoded->repeatable = toplevel.repeatable;
  dks_submission_set_digest (decoded);
  *submission = dks_submission_ref (decoded);
out:
  dks_submission_unref (decoded);
  json_decref (root);
  return error;
}

/* The body of a settings edit. */
typedef struct
{
  char *name; /* DKS_NAME_SIZE bytes */
  int64_t value;
  bool has_value;
} edit_t;

static int
decode_edit_name (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  return decode_name (where, value, ((edit_t *)target)->name, detail);
}

static int
decode_edit_value (void *target, const char *where, const json_t *value, char detail[DKS_TEXT_SIZE])
{
  edit_t *edit = target;

  edit->has_value = true;
  return decode_integer (where, value, INT64_MIN, INT64_MAX, &edit->value, detail);
}

int
dks_http_json_decode_edit (const void *body, size_t len, char name[DKS_NAME_SIZE], int64_t *value,
                           char detail[DKS_TEXT_SIZE])
{
  static const field_t fields[] = { { "name", decode_edit_name }, { "value", decode_edit_value } };
  edit_t edit = { .name = name };
  json_t *root = NULL;
  int error = load_object (body, len, &root, detail);

  name[0] = '\0';
  if (error != DKS_OK)
    return error;
  error = decode_fields (fields, sizeof (fields) / sizeof (fields[0]), &edit, "", root, detail);
  if (error == DKS_OK && !edit.has_value)
    error = fail (DKS_ERR_INVALID, detail, "field \"value\" is missing");
  *value = edit.value;
  json_decref (root);
  return error;
}

bool
dks_http_json_is_text (const char *text)
{
  json_t *value = json_string (text);
  bool ok = value != NULL;

  json_decref (value);
  for (; ok && *text != '\0'; text++)
    ok = !iscntrl ((unsigned char)*text);
  return ok;
}

static json_t *
base64_json (const dks_blob_t *blob)
{
  apr_size_t size = 0;
  char *text;
  json_t *value;

  apr_encode_base64_binary (NULL, blob->data, (apr_ssize_t)blob->len, APR_ENCODE_NONE, &size);
  text = dks_alloc (size);
  apr_encode_base64_binary (text, blob->data, (apr_ssize_t)blob->len, APR_ENCODE_NONE, NULL);
  value = json_string (text);
  free (text);
  return value;
}

/* The result of a task as a JSON string, or NULL when it is not valid UTF-8. */
static json_t *
result_json (const dks_blob_t *blob)
{
  return blob != NULL ? json_stringn ((const char *)blob->data, blob->len) : json_string ("");
}

static void
set_single_result (json_t *object, const dks_answer_t *answer)
{
  const dks_blob_t *body = answer->task_count > 0 ? answer->tasks[0].body : NULL;
  json_t *value = result_json (body);

  if (value == NULL && body != NULL)
    json_object_set_new (object, "result_base64", base64_json (body));
  else
    json_object_set_new (object, "result", value);
}

static void
set_results (json_t *object, const dks_answer_t *answer)
{
  json_t *results = json_array ();

  for (uint32_t i = 0; i < answer->task_count; i++)
    {
      json_t *value = result_json (answer->tasks[i].body);

      if (value == NULL)
        {
          value = json_object ();
          json_object_set_new (value, "result_base64", base64_json (answer->tasks[i].body));
        }
      json_array_append_new (results, value);
    }
  json_object_set_new (object, "results", results);
}

char *
dks_http_json_encode_answer (const dks_answer_t *answer, bool single)
{
  json_t *object = json_object ();

  set_text (object, "key", answer->key);
  set_text (object, "outcome", dks_outcome_name (answer->outcome));
  if (answer->detail[0] != '\0')
    set_text (object, "detail", answer->detail);
  if (answer->problem == DKS_PROBLEM_CANCELLED_NOT_RUN)
    json_object_set_new (object, "not_run", json_true ());
  if (answer->outcome == DKS_OUTCOME_COMPLETE)
    {
      if (single)
        set_single_result (object, answer);
      else
        set_results (object, answer);
    }
  return dump_and_decref (object);
}

static const char *
problem_title (const char *name)
{
  static const struct
  {
    const char *name;
    const char *title;
  } titles[] = {
    { "bad-request", "The request is not valid" },
    { "cancelled", "The work was cancelled" },
    { "cancelled-not-run", "The work was cancelled before it started" },
    { "conflict", "The setting was changed at the same time" },
    { "deadline", "The deadline cannot be met" },
    { "draining", "The instance is shutting down" },
    { "infeasible", "No target is large enough" },
    { "key-expired", "The record of this key is gone" },
    { "key-reused", "The key was used with other content" },
    { "method-not-allowed", "The method is not allowed here" },
    { "no-owner", "The owner of the key cannot be reached" },
    { "no-target", "No target can be used" },
    { "not-found", "Not found" },
    { "overloaded", "The instance is overloaded" },
    { "owner-lost", "The instance that ran the work is lost" },
    { "platform-unavailable", "The platform cannot be reached" },
    { "queue-full", "The queue is full" },
    { "quota-exceeded", "The quota of the team is used up" },
    { "result-too-large", "The results are too large" },
    { "target-lost", "A target is lost" },
    { "task-failed", "A task failed" },
    { "timeout", "No answer in time" },
    { "too-large", "The request is too large" },
    { "too-many-connections", "Too many connections" },
  };

  for (size_t i = 0; i < sizeof (titles) / sizeof (titles[0]); i++)
    {
      if (strcmp (titles[i].name, name) == 0)
        return titles[i].title;
    }
  return "The work is not complete";
}

static void
set_failed_tasks (json_t *object, const dks_answer_t *answer)
{
  json_t *tasks = json_array ();

  for (uint32_t i = 0; i < answer->task_count; i++)
    {
      json_t *task;

      if (answer->tasks[i].ok || answer->tasks[i].problem == DKS_PROBLEM_NONE)
        continue;
      task = json_object ();
      set_integer (task, "index", i);
      set_text (task, "problem", dks_problem_name (answer->tasks[i].problem));
      json_array_append_new (tasks, task);
    }
  json_object_set_new (object, "failed_tasks", tasks);
}

static bool
is_cancelled_not_run (const dks_http_problem_t *problem)
{
  return strcmp (problem->name, dks_problem_name (DKS_PROBLEM_CANCELLED_NOT_RUN)) == 0;
}

char *
dks_http_json_encode_problem (const dks_http_problem_t *problem)
{
  json_t *object = json_object ();
  char type[96];

  snprintf (type, sizeof (type), "urn:damaskshore:problem:%s", problem->name);
  set_text (object, "type", type);
  set_text (object, "title", problem_title (problem->name));
  set_integer (object, "status", problem->status);
  if (problem->detail != NULL && problem->detail[0] != '\0')
    set_text (object, "detail", problem->detail);
  if (problem->key != NULL && problem->key[0] != '\0')
    set_text (object, "key", problem->key);
  if (problem->outcome != 0)
    set_text (object, "outcome", dks_outcome_name (problem->outcome));
  if (problem->outcome == DKS_OUTCOME_REFUSED || is_cancelled_not_run (problem))
    json_object_set_new (object, "not_run", json_true ());
  if (problem->retry_after_ms > 0)
    set_integer (object, "retry_after_ms", problem->retry_after_ms);
  if (problem->answer != NULL && problem->answer->task_count > 0)
    set_failed_tasks (object, problem->answer);
  return dump_and_decref (object);
}

char *
dks_http_json_encode_edit_reply (const dks_effect_t *effect)
{
  json_t *object = json_object ();

  set_integer (object, "version", effect->u.edit_reply.version);
  set_integer (object, "instances_total", effect->u.edit_reply.instances_total);
  set_integer (object, "instances_in_force", effect->u.edit_reply.instances_in_force);
  set_text (object, "missing", effect->u.edit_reply.missing_data_centres);
  if (effect->u.edit_reply.detail[0] != '\0')
    set_text (object, "detail", effect->u.edit_reply.detail);
  return dump_and_decref (object);
}

char *
dks_http_json_encode_effective (const char *path, const char *name, int64_t version,
                                const dks_settings_values_t *values)
{
  json_t *object = json_object ();
  json_t *list = json_object ();

  set_text (object, "path", path);
  set_integer (object, "version", version);
#define EFFECTIVE_VALUE(field, json_name, value, min, max, help)                                   \
  if (name == NULL || strcmp (name, json_name) == 0)                                               \
    set_integer (list, json_name, values->field);
  DKS_SETTINGS (EFFECTIVE_VALUE)
#undef EFFECTIVE_VALUE
  json_object_set_new (object, "values", list);
  return dump_and_decref (object);
}

char *
dks_http_json_encode_audit (const dks_settings_t *settings)
{
  json_t *object = json_object ();
  json_t *changes = json_array ();

  for (size_t i = 0; i < dks_settings_change_count (settings); i++)
    {
      const dks_settings_change_t *change = dks_settings_change (settings, i);
      json_t *item = json_object ();

      set_integer (item, "version", change->version);
      set_integer (item, "at_ms", change->at_ms);
      set_text (item, "id", change->id);
      set_text (item, "actor", change->actor);
      set_text (item, "path", change->path);
      set_text (item, "name", change->name);
      set_text (item, "from", change->from);
      set_text (item, "to", change->to);
      json_array_append_new (changes, item);
    }
  set_integer (object, "version", dks_settings_version (settings));
  json_object_set_new (object, "history", changes);
  return dump_and_decref (object);
}

bool
dks_http_json_is_setting (const char *name)
{
  static const char *const names[] = {
#define SETTING_NAME(field, json_name, value, min, max, help) json_name,
    DKS_SETTINGS (SETTING_NAME)
#undef SETTING_NAME
  };

  for (size_t i = 0; i < sizeof (names) / sizeof (names[0]); i++)
    {
      if (strcmp (names[i], name) == 0)
        return true;
    }
  return false;
}
