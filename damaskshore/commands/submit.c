#include "common/alloc.h"
#include "common/error.h"
#include "core/key.h"
#include "damaskshore/answer.h"
#include "damaskshore/commands.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

enum
{
  DEADLINE_MIN_MS = 10,
  DEADLINE_MAX_MS = 3600000,
  ANSWER_MARGIN_MS = 10000, /* after the deadline, for an answer that is sent at the deadline */
  SERVER_LIST_PASSES = 3,   /* attempts at each server of the list */
  PASS_BACKOFF_MS = 200     /* pause after the first pass; doubles with each pass */
};

typedef struct
{
  struct arg_str *service;
  struct arg_str *team;
  struct arg_str *key;
  struct arg_str *data_centre;
  struct arg_str *deadline_ms;
  struct arg_str *run_ms;
  struct arg_str *cpus;
  struct arg_str *memory_mb;
  struct arg_str *accelerators;
  struct arg_lit *request;
  struct arg_lit *repeatable;
  struct arg_lit *async;
  struct arg_str *tasks;
  struct arg_str *lines;
  struct arg_str *payloads;
} submit_args_t;

typedef struct
{
  char key[DKS_KEY_SIZE];
  bool is_key_given;
  bool is_request;
  bool is_async;
  int64_t deadline_ms; /* relative to the first attempt; 0: not given */
  json_t *tasks;
  json_t *body;
} submission_t;

static void
sleep_ms (int64_t ms)
{
  const struct timespec pause = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };

  nanosleep (&pause, NULL);
}

static int64_t
now_ms (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static dks_exit_t
set_key (dks_cli_t *cli, const submit_args_t *args, submission_t *submission)
{
  uint64_t random[2];
  dks_key_t parsed;

  if (args->key->count > 0 && args->data_centre->count > 0)
    return dks_cli_usage (cli, "submit", "--key and --data-centre exclude each other");
  if (args->key->count > 0)
    {
      if (dks_key_parse (args->key->sval[0], &parsed) != DKS_OK)
        return dks_cli_usage (cli, "submit", "bad key %s", args->key->sval[0]);
      submission->is_key_given = true;
      dks_strcpy (submission->key, sizeof (submission->key), args->key->sval[0]);
      return DKS_EXIT_OK;
    }
  DKS_INVARIANT (getrandom (random, sizeof (random), 0) == sizeof (random));
  dks_key_generate (args->data_centre->count > 0 ? args->data_centre->sval[0] : NULL,
                    now_ms (CLOCK_REALTIME), random, submission->key);
  if (dks_key_parse (submission->key, &parsed) != DKS_OK)
    return dks_cli_usage (cli, "submit", "bad data centre %s", args->data_centre->sval[0]);
  return DKS_EXIT_OK;
}

static dks_exit_t
add_payload (dks_cli_t *cli, json_t *tasks, const char *text, size_t len)
{
  json_t *payload = json_stringn (text, len);

  if (payload == NULL)
    return dks_cli_usage (cli, "submit", "payload %zu is not UTF-8 text",
                          json_array_size (tasks) + 1);
  json_array_append_new (tasks, json_pack ("{s:o}", "payload", payload));
  return DKS_EXIT_OK;
}

static dks_exit_t
add_lines (dks_cli_t *cli, json_t *tasks, const char *file)
{
  dks_exit_t exit_code = DKS_EXIT_OK;
  char *text;
  size_t len;

  if (dks_cli_read_file (cli, file, DKS_SUBMISSION_MAX, &text, &len) != DKS_OK)
    return DKS_EXIT_USAGE;
  for (size_t offset = 0; offset < len && exit_code == DKS_EXIT_OK;)
    {
      const char *end = memchr (text + offset, '\n', len - offset);
      size_t line_len = end != NULL ? (size_t)(end - text) - offset : len - offset;

      exit_code = add_payload (cli, tasks, text + offset, line_len);
      offset += line_len + 1;
    }
  free (text);
  return exit_code;
}

static dks_exit_t
add_tasks (dks_cli_t *cli, json_t *tasks, const char *file)
{
  json_error_t json_error;
  json_t *list;
  json_t *item;
  size_t i;
  char *text;
  size_t len;

  if (dks_cli_read_file (cli, file, DKS_SUBMISSION_MAX, &text, &len) != DKS_OK)
    return DKS_EXIT_USAGE;
  list = json_loadb (text, len, JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &json_error);
  free (text);
  if (list == NULL)
    return dks_cli_usage (cli, "submit", "%s: line %d column %d: %s", file, json_error.line,
                          json_error.column, json_error.text);
  json_array_foreach (list, i, item)
  {
    if (!json_is_string (json_object_get (item, "payload")))
      {
        json_decref (list);
        return dks_cli_usage (cli, "submit", "%s: task %zu has no string \"payload\"", file, i);
      }
  }
  if (!json_is_array (list))
    {
      json_decref (list);
      return dks_cli_usage (cli, "submit", "%s: must be an array of tasks", file);
    }
  json_array_extend (tasks, list);
  json_decref (list);
  return DKS_EXIT_OK;
}

static dks_exit_t
set_tasks (dks_cli_t *cli, const submit_args_t *args, submission_t *submission)
{
  dks_exit_t exit_code = DKS_EXIT_OK;
  size_t count;

  if ((args->tasks->count > 0) + (args->lines->count > 0) + (args->payloads->count > 0) != 1)
    return dks_cli_usage (cli, "submit", "give payloads, --lines or --tasks, and only one of them");
  if (args->tasks->count > 0)
    exit_code = add_tasks (cli, submission->tasks, args->tasks->sval[0]);
  else if (args->lines->count > 0)
    exit_code = add_lines (cli, submission->tasks, args->lines->sval[0]);
  for (int i = 0; i < args->payloads->count && exit_code == DKS_EXIT_OK; i++)
    exit_code = add_payload (cli, submission->tasks, args->payloads->sval[i],
                             strlen (args->payloads->sval[i]));
  if (exit_code != DKS_EXIT_OK)
    return exit_code;
  count = json_array_size (submission->tasks);
  if (count == 0 || count > DKS_TASKS_MAX)
    return dks_cli_usage (cli, "submit", "a job has 1 to %d tasks, not %zu", DKS_TASKS_MAX, count);
  if (submission->is_request && count != 1)
    return dks_cli_usage (cli, "submit", "a request has 1 task, not %zu", count);
  return DKS_EXIT_OK;
}

/* Sets the sizes given as options in every task that does not declare its own. */
static dks_exit_t
set_sizes (dks_cli_t *cli, const submit_args_t *args, submission_t *submission)
{
  const struct
  {
    const struct arg_str *arg;
    const char *flag;
    const char *name;
  } sizes[] = {
    { args->run_ms, "--run-ms", "run_ms" },
    { args->cpus, "--cpus", "cpus" },
    { args->memory_mb, "--memory-mb", "memory_mb" },
    { args->accelerators, "--accelerators", "accelerators" },
  };
  json_t *task;
  size_t i;

  for (size_t k = 0; k < sizeof (sizes) / sizeof (sizes[0]); k++)
    {
      int64_t value;

      if (sizes[k].arg->count == 0)
        continue;
      if (dks_cli_parse_integer (sizes[k].arg->sval[0], 0, INT32_MAX, &value) != DKS_OK)
        return dks_cli_usage (cli, "submit", "%s needs an integer from 0 to %d", sizes[k].flag,
                              INT32_MAX);
      json_array_foreach (submission->tasks, i, task)
      {
        if (json_object_get (task, sizes[k].name) == NULL)
          json_object_set_new (task, sizes[k].name, json_integer (value));
      }
    }
  return DKS_EXIT_OK;
}

static dks_exit_t
set_body (dks_cli_t *cli, const submit_args_t *args, submission_t *submission)
{
  submission->body =
      json_pack ("{s:s,s:s}", "service", args->service->sval[0], "team", args->team->sval[0]);
  if (submission->body == NULL)
    return dks_cli_usage (cli, "submit", "service and team must be UTF-8 text");
  if (args->repeatable->count > 0)
    json_object_set_new (submission->body, "repeatable", json_true ());
  if (submission->is_request)
    json_object_set (submission->body, "task", json_array_get (submission->tasks, 0));
  else
    json_object_set (submission->body, "tasks", submission->tasks);
  return DKS_EXIT_OK;
}

static dks_exit_t
prepare (dks_cli_t *cli, const submit_args_t *args, submission_t *submission)
{
  dks_exit_t exit_code;

  submission->is_request = args->request->count > 0;
  submission->is_async = args->async->count > 0;
  if (args->repeatable->count > 0 && !submission->is_request)
    return dks_cli_usage (cli, "submit", "--repeatable has an effect only with --request");
  if (args->deadline_ms->count > 0
      && dks_cli_parse_integer (args->deadline_ms->sval[0], DEADLINE_MIN_MS, DEADLINE_MAX_MS,
                                &submission->deadline_ms)
             != DKS_OK)
    return dks_cli_usage (cli, "submit", "--deadline-ms needs an integer from %d to %d",
                          DEADLINE_MIN_MS, DEADLINE_MAX_MS);
  exit_code = set_key (cli, args, submission);
  if (exit_code == DKS_EXIT_OK)
    exit_code = set_tasks (cli, args, submission);
  if (exit_code == DKS_EXIT_OK)
    exit_code = set_sizes (cli, args, submission);
  if (exit_code == DKS_EXIT_OK)
    exit_code = set_body (cli, args, submission);
  return exit_code;
}

/* What is known about the submission after one attempt to send it. */
typedef enum
{
  SENT_ANSWERED,     /* the reply is final */
  SENT_NOT_ACCEPTED, /* rejected by the instance, for example because of overload */
  SENT_UNREACHABLE,  /* nothing was sent */
  SENT_UNCERTAIN,    /* an instance may have received the request */
} send_result_t;

/* A 503 of an instance without an outcome means that the instance did not accept the request. Any
 * other server error without an outcome, also one of a load balancer, proves nothing: the load
 * balancer may have forwarded the request to an instance that failed. */
static send_result_t
classify_reply (const dks_client_reply_t *reply)
{
  json_t *body;
  send_result_t sent = SENT_ANSWERED;

  if (reply->status < 500)
    return SENT_ANSWERED;
  body = json_loadb (reply->body, reply->len, JSON_ALLOW_NUL, NULL);
  if (!dks_reply_is_from_instance (body))
    sent = SENT_UNCERTAIN;
  else if (json_object_get (body, "outcome") == NULL)
    sent = reply->status == 503 ? SENT_NOT_ACCEPTED : SENT_UNCERTAIN;
  json_decref (body);
  return sent;
}

static send_result_t
send_once (dks_cli_t *cli, const char *server, const submission_t *submission, int64_t remaining_ms,
           dks_client_reply_t *reply)
{
  char key_header[DKS_KEY_SIZE + 32];
  const char *const headers[] = { key_header, submission->is_async ? "Prefer: respond-async" : NULL,
                                  NULL };
  char *body;
  int error;
  send_result_t sent;

  snprintf (key_header, sizeof (key_header), "Idempotency-Key: %s", submission->key);
  /* The deadline is relative to the arrival of the request, so each attempt sends the time that
   * remains. */
  if (submission->deadline_ms > 0)
    json_object_set_new (submission->body, "deadline_ms", json_integer (remaining_ms));
  body = json_dumps (submission->body, JSON_COMPACT);
  DKS_INVARIANT (body != NULL);
  const dks_client_request_t request = {
    .method = "POST",
    .path = submission->is_request ? "/v1/requests" : "/v1/jobs",
    .headers = headers,
    .body = body,
    .timeout_ms = remaining_ms + ANSWER_MARGIN_MS,
    .progress = submission->key,
  };
  error = dks_client_call_server (cli, server, &request, reply);
  free (body);
  if (error != DKS_OK)
    return error == DKS_ERR_UNAVAILABLE ? SENT_UNREACHABLE : SENT_UNCERTAIN;
  sent = classify_reply (reply);
  if (sent != SENT_ANSWERED)
    {
      dks_cli_error (cli, "%s: HTTP status %d without an outcome", server, reply->status);
      dks_client_reply_clear (reply);
    }
  return sent;
}

static dks_exit_t
finish_answered (dks_cli_t *cli, const submission_t *submission, dks_client_reply_t *reply,
                 bool may_have_run)
{
  json_t *body = json_loadb (reply->body, reply->len, JSON_ALLOW_NUL, NULL);
  bool has_outcome = json_object_get (body, "outcome") != NULL;
  dks_exit_t exit_code =
      dks_answer_print (cli, submission->key, reply, (uint32_t)json_array_size (submission->tasks));

  json_decref (body);
  dks_client_reply_clear (reply);
  if (submission->is_async && exit_code == DKS_EXIT_PENDING)
    return DKS_EXIT_OK;
  /* A reply without an outcome says nothing about an earlier attempt, whose work may be running. */
  return !has_outcome && may_have_run ? DKS_EXIT_UNKNOWN : exit_code;
}

static dks_exit_t
finish_unanswered (dks_cli_t *cli, const submission_t *submission, bool may_have_run,
                   bool is_refused)
{
  if (may_have_run || (is_refused && submission->is_key_given))
    {
      dks_cli_error (cli, "no answer; the work may have run: ask with 'damaskshore status %s'",
                     submission->key);
      return DKS_EXIT_UNKNOWN;
    }
  if (is_refused)
    {
      dks_cli_error (cli, "refused: no instance took the submission; nothing was run");
      return DKS_EXIT_REFUSED;
    }
  dks_cli_error (cli, "no server could be reached; nothing was sent");
  return DKS_EXIT_UNREACHABLE;
}

/* Sends the submission until an attempt is answered, the deadline passes or all passes over the
 * list of servers are used up. Retrying with the same key is safe, because an instance starts the
 * tasks of a key at most once. */
static dks_exit_t
send_submission (dks_cli_t *cli, const submission_t *submission)
{
  int64_t limit_ms = submission->deadline_ms > 0 ? submission->deadline_ms : DEADLINE_MAX_MS;
  int64_t start_ms = now_ms (CLOCK_MONOTONIC);
  bool may_have_run = false;
  bool is_refused = false;
  dks_client_reply_t reply;

  for (int pass = 0; pass < SERVER_LIST_PASSES; pass++)
    {
      if (pass > 0)
        sleep_ms ((int64_t)PASS_BACKOFF_MS << (pass - 1));
      for (size_t i = 0; i < cli->server_count; i++)
        {
          int64_t remaining_ms = limit_ms - (now_ms (CLOCK_MONOTONIC) - start_ms);

          if (remaining_ms < DEADLINE_MIN_MS)
            return finish_unanswered (cli, submission, may_have_run, is_refused);
          switch (send_once (cli, cli->servers[i], submission, remaining_ms, &reply))
            {
            case SENT_ANSWERED:
              return finish_answered (cli, submission, &reply, may_have_run);
            case SENT_UNCERTAIN:
              may_have_run = true;
              break;
            case SENT_NOT_ACCEPTED:
              is_refused = true;
              break;
            case SENT_UNREACHABLE:
              break;
            }
        }
    }
  return finish_unanswered (cli, submission, may_have_run, is_refused);
}

dks_exit_t
dks_command_submit (dks_cli_t *cli, int argc, char **argv)
{
  dks_cli_common_t common;
  submit_args_t args = {
    .service = arg_str1 (NULL, "service", "NAME", "service that the work belongs to"),
    .team = arg_str1 (NULL, "team", "NAME", "team whose quota and weight apply"),
    .key = arg_str0 (NULL, "key", "KEY", "idempotency key (default: a new one)"),
    .data_centre = arg_str0 (NULL, "data-centre", "NAME", "home data centre of a new key"),
    .deadline_ms = arg_str0 (NULL, "deadline-ms", "N", "latest answer, from now"),
    .run_ms = arg_str0 (NULL, "run-ms", "N", "declared run time of each task"),
    .cpus = arg_str0 (NULL, "cpus", "N", "declared processors of each task"),
    .memory_mb = arg_str0 (NULL, "memory-mb", "N", "declared memory of each task"),
    .accelerators = arg_str0 (NULL, "accelerators", "N", "declared accelerators of each task"),
    .request = arg_lit0 (NULL, "request", "submit a single request, not a job"),
    .repeatable = arg_lit0 (NULL, "repeatable", "the request may be attempted more than once"),
    .async = arg_lit0 (NULL, "async", "return as soon as the work is accepted"),
    .tasks = arg_str0 (NULL, "tasks", "FILE", "JSON array of tasks, - for standard input"),
    .lines = arg_str0 (NULL, "lines", "FILE", "one payload per line, - for standard input"),
    .payloads = arg_strn (NULL, NULL, "PAYLOAD", 0, DKS_TASKS_MAX, "payload of one task"),
  };
  submission_t submission = { .tasks = json_array () };
  dks_exit_t exit_code;

  dks_cli_common_create (&common);
  void *table[] = { DKS_CLI_COMMON (common),
                    args.service,
                    args.team,
                    args.key,
                    args.data_centre,
                    args.deadline_ms,
                    args.run_ms,
                    args.cpus,
                    args.memory_mb,
                    args.accelerators,
                    args.request,
                    args.repeatable,
                    args.async,
                    args.tasks,
                    args.lines,
                    args.payloads,
                    common.end };
  if (!dks_cli_parse (cli, argc, argv, table, &common,
                      "Submits a job, or with --request a single request, and waits for its "
                      "answer. The results are\nwritten to standard output, one per line in the "
                      "order of the tasks; the key is written to\nstandard error first.",
                      &exit_code))
    goto out;
  exit_code = prepare (cli, &args, &submission);
  if (exit_code != DKS_EXIT_OK)
    goto out;
  fprintf (cli->err, "key: %s\n", submission.key);
  fflush (cli->err);
  exit_code = send_submission (cli, &submission);
out:
  json_decref (submission.tasks);
  json_decref (submission.body);
  arg_freetable (table, sizeof (table) / sizeof (table[0]));
  return exit_code;
}
