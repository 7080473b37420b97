#include "damaskshore/answer.h"

#include "common/error.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PROBLEM_PREFIX "urn:damaskshore:problem:"

dks_exit_t
dks_reply_exit (int status)
{
  if (status >= 200 && status < 300)
    return status == 202 ? DKS_EXIT_PENDING : DKS_EXIT_OK;
  switch (status)
    {
    case 404:
      return DKS_EXIT_NOT_FOUND;
    case 410:
    case 504:
      return DKS_EXIT_UNKNOWN;
    case 400:
    case 405:
    case 409:
    case 413:
    case 422:
    case 429:
    case 503:
      return DKS_EXIT_REFUSED;
    default:
      return DKS_EXIT_FAILED;
    }
}

/* Name of the problem that an instance reports in `body`, or NULL when `body` has none. */
static const char *
reply_problem (const json_t *body)
{
  const char *type = json_string_value (json_object_get (body, "type"));
  size_t len = strlen (PROBLEM_PREFIX);

  return type != NULL && strncmp (type, PROBLEM_PREFIX, len) == 0 ? type + len : NULL;
}

bool
dks_reply_is_from_instance (const json_t *body)
{
  return json_is_string (json_object_get (body, "outcome")) || reply_problem (body) != NULL;
}

static bool
outcome_exit (const char *outcome, dks_exit_t *exit_code)
{
  static const struct
  {
    dks_outcome_t outcome;
    dks_exit_t exit_code;
  } outcomes[] = {
    { DKS_OUTCOME_COMPLETE, DKS_EXIT_OK },         { DKS_OUTCOME_FAILED, DKS_EXIT_FAILED },
    { DKS_OUTCOME_REFUSED, DKS_EXIT_REFUSED },     { DKS_OUTCOME_UNKNOWN, DKS_EXIT_UNKNOWN },
    { DKS_OUTCOME_CANCELLED, DKS_EXIT_CANCELLED }, { DKS_OUTCOME_ACCEPTED, DKS_EXIT_PENDING },
  };

  for (size_t i = 0; i < sizeof (outcomes) / sizeof (outcomes[0]); i++)
    {
      if (strcmp (outcome, dks_outcome_name (outcomes[i].outcome)) == 0)
        {
          *exit_code = outcomes[i].exit_code;
          return true;
        }
    }
  return false;
}

dks_exit_t
dks_answer_exit (int status, const json_t *body)
{
  const char *outcome = json_string_value (json_object_get (body, "outcome"));
  const char *problem = reply_problem (body);
  dks_exit_t exit_code;

  if (outcome != NULL && outcome_exit (outcome, &exit_code))
    {
      /* A key without a record also has the outcome "unknown", but scripts must be able to
       * distinguish it from work that may have run. */
      if (problem != NULL && strcmp (problem, dks_problem_name (DKS_PROBLEM_NOT_FOUND)) == 0)
        return DKS_EXIT_NOT_FOUND;
      return exit_code;
    }
  /* A reply without an outcome proves nothing about the work, except that an instance rejected this
   * request as invalid. */
  if (problem != NULL && (status == 400 || status == 405 || status == 413))
    return DKS_EXIT_REFUSED;
  return DKS_EXIT_UNKNOWN;
}

json_t *
dks_reply_json (dks_cli_t *cli, const dks_client_reply_t *reply)
{
  json_error_t error;
  json_t *value = json_loadb (reply->body, reply->len, JSON_ALLOW_NUL, &error);

  if (value == NULL)
    dks_cli_error (cli, "HTTP status %d with a body that is not JSON: %s", reply->status,
                   error.text);
  return value;
}

void
dks_json_print (dks_cli_t *cli, const json_t *value)
{
  json_dumpf (value, cli->out, JSON_COMPACT | JSON_ENCODE_ANY);
  fputc ('\n', cli->out);
}

/* Writes a text of the server with control characters replaced, since the output may be a
 * terminal. */
static void
print_safe (FILE *file, const char *text)
{
  for (; *text != '\0'; text++)
    fputc (iscntrl ((unsigned char)*text) ? '?' : *text, file);
}

static void
print_problem (dks_cli_t *cli, const dks_client_reply_t *reply, const json_t *body)
{
  const char *outcome = json_string_value (json_object_get (body, "outcome"));
  const char *problem = reply_problem (body);
  const char *detail = json_string_value (json_object_get (body, "detail"));
  const json_t *task;
  size_t i;

  fputs ("damaskshore: ", cli->err);
  if (outcome != NULL)
    print_safe (cli->err, outcome);
  else
    fprintf (cli->err, "HTTP status %d", reply->status);
  if (problem != NULL)
    {
      fputs (": ", cli->err);
      print_safe (cli->err, problem);
    }
  if (detail != NULL && detail[0] != '\0')
    {
      fputs (": ", cli->err);
      print_safe (cli->err, detail);
    }
  if (reply->retry_after_s >= 0)
    fprintf (cli->err, " (retry after %lld s)", (long long)reply->retry_after_s);
  fputc ('\n', cli->err);
  json_array_foreach (json_object_get (body, "failed_tasks"), i, task)
  {
    const char *reason = json_string_value (json_object_get (task, "problem"));

    fprintf (cli->err, "damaskshore: task %lld: ",
             (long long)json_integer_value (json_object_get (task, "index")));
    print_safe (cli->err, reason != NULL ? reason : "failed");
    fputc ('\n', cli->err);
  }
}

static void
print_result (dks_cli_t *cli, const json_t *result)
{
  if (json_is_string (result))
    {
      fwrite (json_string_value (result), 1, json_string_length (result), cli->out);
      fputc ('\n', cli->out);
      return;
    }
  dks_json_print (cli, result);
}

/* Result of a single request. A result that is not UTF-8 is in the field "result_base64" and is
 * shown as an object with that field, the form that it has within the results of a job. */
static json_t *
single_result (const json_t *body)
{
  json_t *result = json_object_get (body, "result");
  json_t *encoded = json_object_get (body, "result_base64");

  if (result != NULL)
    return json_incref (result);
  return encoded != NULL ? json_pack ("{s:O}", "result_base64", encoded) : NULL;
}

static void
print_results (dks_cli_t *cli, const json_t *body)
{
  const json_t *results = json_object_get (body, "results");
  json_t *item;
  size_t i;

  if (json_is_array (results))
    {
      json_array_foreach (results, i, item) print_result (cli, item);
      return;
    }
  item = single_result (body);
  print_result (cli, item);
  json_decref (item);
}

/* Checks that an answer with the outcome complete has the result of every task: an answer must
 * never be partial. */
static bool
has_all_results (dks_cli_t *cli, const json_t *body, uint32_t task_count)
{
  const json_t *results = json_object_get (body, "results");
  size_t count = json_is_array (results) ? json_array_size (results)
                                         : json_object_get (body, "result") != NULL
                                               || json_object_get (body, "result_base64") != NULL;

  if (count == 0 || (task_count > 0 && count != task_count))
    {
      dks_cli_error (cli, "the answer has %zu results for %u tasks", count, task_count);
      return false;
    }
  return true;
}

dks_exit_t
dks_answer_print (dks_cli_t *cli, const char *key, const dks_client_reply_t *reply,
                  uint32_t task_count)
{
  json_t *body = dks_reply_json (cli, reply);
  dks_exit_t exit_code = dks_answer_exit (reply->status, body);
  bool is_complete = exit_code == DKS_EXIT_OK;

  if (!json_is_object (body))
    {
      if (body != NULL)
        dks_cli_error (cli, "HTTP status %d with a body that is not an object", reply->status);
      json_decref (body);
      return exit_code;
    }
  if (is_complete && !has_all_results (cli, body, task_count))
    exit_code = DKS_EXIT_UNKNOWN;
  if (cli->json)
    {
      if (json_object_get (body, "key") == NULL)
        json_object_set_new (body, "key", json_string (key));
      if (json_object_get (body, "retry_after_s") == NULL && reply->retry_after_s >= 0)
        json_object_set_new (body, "retry_after_s", json_integer (reply->retry_after_s));
      dks_json_print (cli, body);
    }
  else if (exit_code == DKS_EXIT_OK)
    print_results (cli, body);
  else if (!is_complete)
    print_problem (cli, reply, body);
  json_decref (body);
  return exit_code;
}

static void
print_change (dks_cli_t *cli, const json_t *change)
{
  const char *const names[] = { "actor", "path", "name", "from", "to" };
  const char *texts[sizeof (names) / sizeof (names[0])];
  time_t at_s = (time_t)(json_integer_value (json_object_get (change, "at_ms")) / 1000);
  char at[32] = "?";
  struct tm tm;

  if (gmtime_r (&at_s, &tm) != NULL)
    strftime (at, sizeof (at), "%Y-%m-%dT%H:%M:%SZ", &tm);
  fprintf (cli->out, "%lld %s", (long long)json_integer_value (json_object_get (change, "version")),
           at);
  for (size_t i = 0; i < sizeof (names) / sizeof (names[0]); i++)
    {
      texts[i] = json_string_value (json_object_get (change, names[i]));
      /* An empty `from` or `to` means that there is no override. */
      if (texts[i] == NULL || texts[i][0] == '\0')
        texts[i] = "-";
      fputc (' ', cli->out);
      print_safe (cli->out, texts[i]);
    }
  fputc ('\n', cli->out);
}

void
dks_changes_print (dks_cli_t *cli, const json_t *changes, const char *path)
{
  json_t *shown = json_array ();
  json_t *change;
  size_t i;

  json_array_foreach (changes, i, change)
  {
    const char *changed_path = json_string_value (json_object_get (change, "path"));
    if (path == NULL || (changed_path != NULL && strcmp (changed_path, path) == 0))
      json_array_append (shown, change);
  }
  if (cli->json)
    dks_json_print (cli, shown);
  else
    {
      json_array_foreach (shown, i, change) print_change (cli, change);
    }
  json_decref (shown);
}

dks_exit_t
dks_problem_print (dks_cli_t *cli, const dks_client_reply_t *reply)
{
  json_t *body = dks_reply_json (cli, reply);

  if (body != NULL && cli->json)
    dks_json_print (cli, body);
  else if (body != NULL)
    print_problem (cli, reply, body);
  json_decref (body);
  return dks_reply_exit (reply->status);
}
