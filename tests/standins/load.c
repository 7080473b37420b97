#include "common/alloc.h"
#include "common/counters.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/timer.h"
#include "net/loop.h"
#include "workload.h"

#include <argtable2.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  ENTRIES_MAX = 32,
  WARM_UP_COUNT = 200,            /* requests; enough to reach every shard of every data centre */
  WARM_UP_TIMEOUT_US = 20000000,  /* within which the instances must be ready */
  SUBMISSION_DEADLINE_MS = 10000, /* of each submission */
  ATTEMPT_TIMEOUT_MS = 15000,     /* an instance that has not answered by then is at fault */
  SETTLE_TIMEOUT_US = 20000000,   /* to wait for the last answers */
  ENTRY_AVOID_US = 2000000,       /* without attempts at an instance that is down or draining */
  RETRY_MIN_MS = 100,             /* shortest delay of a resubmission */
  RETRY_MAX_MS = 1000,            /* longest delay, also when the refusal asks for a longer one */
  RESUBMISSIONS_MAX = 10, /* after refusals; resubmissions after lost connections are not limited */
  DUPLICATE_AFTER_MAX_MS = 500 /* long enough that some duplicates arrive after the answer */
};

/* Result of a submission: its latest answer, except that a complete answer is never replaced. */
typedef enum
{
  STATE_NONE = 0,
  STATE_COMPLETE,
  STATE_FAILED,
  STATE_REFUSED,
  STATE_UNKNOWN,
  STATE_COUNT
} answer_state_t;

static const char *const state_names[STATE_COUNT] = { "none", "complete", "failed", "refused",
                                                      "unknown" };

typedef struct
{
  const char *address;
  int64_t avoid_until_us;
  bool killed;  /* named by --killed: broken and refused connections are no violation */
  bool drained; /* named by --drained: refused connections are no violation */
  uint32_t broken_connections;
} entry_t;

typedef struct load_t load_t;

typedef struct
{
  load_t *load;
  const dks_work_t *work;
  size_t index;
  char key[DKS_KEY_SIZE];
  char *body;
  int64_t due_us;       /* time of arrival on the monotonic clock */
  int64_t completed_us; /* time of the first complete answer, on the monotonic clock */
  dks_timer_t arrival;
  dks_timer_t retry;
  dks_timer_t duplicate;
  uint32_t open_attempts; /* attempts that wait for an answer */
  uint32_t attempts;
  uint32_t refusals;
  uint32_t unknown_answers;
  uint32_t lost_attempts; /* attempts that ended without an answer after the connection was made */
  int last_entry;
  answer_state_t state;
  bool settled;
  uint8_t *task_starts; /* starts of each task, as counted by the targets */
} submission_t;

typedef struct
{
  submission_t *submission;
  int entry;
  CURL *easy;
  struct curl_slist *headers;
  char *reply;
  size_t len;
} attempt_t;

struct load_t
{
  CURLM *multi;
  dks_timers_t *timers;
  entry_t entries[ENTRIES_MAX];
  int entry_count;
  uint64_t random;
  uint64_t seed;
  submission_t *submissions;
  size_t submission_count;
  size_t unsettled;
  int64_t resubmit_until_us; /* no resubmission after this moment */
  uint64_t attempts;
  uint64_t duplicates;
  uint64_t resubmissions;
  uint32_t violations;
};

static void __attribute__ ((format (printf, 2, 3)))
report_violation (load_t *load, const char *format, ...)
{
  va_list args;

  if (++load->violations > 20)
    return;
  printf ("violation: ");
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

static int64_t
now_us (void)
{
  return dks_loop_now ().mono_us;
}

static int
choose_entry (load_t *load, int avoid)
{
  int64_t now = now_us ();
  int best = -1;
  uint32_t candidates = 0;

  for (int pass = 0; best < 0 && pass < 3; pass++)
    {
      for (int i = 0; i < load->entry_count; i++)
        {
          if ((pass < 2 && load->entries[i].avoid_until_us > now) || (pass < 1 && i == avoid))
            continue;
          if (dks_random_next (&load->random) % ++candidates == 0)
            best = i;
        }
    }
  return best;
}

static size_t
handle_reply_data (char *data, size_t size, size_t count, void *context)
{
  attempt_t *attempt = context;

  attempt->reply = dks_realloc (attempt->reply, attempt->len + count + 1);
  memcpy (attempt->reply + attempt->len, data, count);
  attempt->len += count;
  attempt->reply[attempt->len] = '\0';
  return size * count;
}

static void
attempt_start (submission_t *submission)
{
  load_t *load = submission->load;
  attempt_t *attempt = dks_alloc (sizeof (*attempt));
  char text[DKS_KEY_SIZE + 32];

  attempt->submission = submission;
  attempt->entry = choose_entry (load, submission->last_entry);
  attempt->easy = curl_easy_init ();
  submission->last_entry = attempt->entry;
  submission->open_attempts++;
  submission->attempts++;
  load->attempts++;
  snprintf (text, sizeof (text), "Idempotency-Key: %s", submission->key);
  attempt->headers = curl_slist_append (NULL, text);
  attempt->headers = curl_slist_append (attempt->headers, "Content-Type: application/json");
  attempt->headers = curl_slist_append (attempt->headers, "Expect:");
  snprintf (text, sizeof (text), "http://%s/v1/%s", load->entries[attempt->entry].address,
            submission->work->single ? "requests" : "jobs");
  curl_easy_setopt (attempt->easy, CURLOPT_URL, text);
  curl_easy_setopt (attempt->easy, CURLOPT_HTTPHEADER, attempt->headers);
  curl_easy_setopt (attempt->easy, CURLOPT_POSTFIELDS, submission->body);
  curl_easy_setopt (attempt->easy, CURLOPT_WRITEFUNCTION, handle_reply_data);
  curl_easy_setopt (attempt->easy, CURLOPT_WRITEDATA, attempt);
  curl_easy_setopt (attempt->easy, CURLOPT_PRIVATE, attempt);
  curl_easy_setopt (attempt->easy, CURLOPT_TIMEOUT_MS, (long)ATTEMPT_TIMEOUT_MS);
  curl_easy_setopt (attempt->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (attempt->easy, CURLOPT_PROXY, "");
  /* When a reused connection breaks, libcurl resends the request by itself. That would hide a
   * request that an instance has cut off, so each attempt has its own connection. */
  curl_easy_setopt (attempt->easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (attempt->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle (load->multi, attempt->easy);
}

static void
attempt_destroy (attempt_t *attempt)
{
  curl_multi_remove_handle (attempt->submission->load->multi, attempt->easy);
  curl_easy_cleanup (attempt->easy);
  curl_slist_free_all (attempt->headers);
  free (attempt->reply);
  free (attempt);
}

static void
submission_settle (submission_t *submission)
{
  if (submission->settled || submission->open_attempts > 0
      || dks_timer_is_armed (&submission->retry) || dks_timer_is_armed (&submission->duplicate))
    return;
  submission->settled = true;
  submission->load->unsettled--;
  free (submission->body);
  submission->body = NULL;
}

static void
submission_retry (submission_t *submission, int64_t delay_ms)
{
  load_t *load = submission->load;
  int64_t now = now_us ();

  if (submission->state == STATE_COMPLETE || submission->open_attempts > 0
      || now > load->resubmit_until_us)
    return;
  delay_ms = delay_ms < RETRY_MIN_MS ? RETRY_MIN_MS : delay_ms;
  delay_ms = delay_ms > RETRY_MAX_MS ? RETRY_MAX_MS : delay_ms;
  load->resubmissions++;
  dks_timer_set (load->timers, &submission->retry, now + delay_ms * 1000);
}

static void
handle_arrival (void *context, int64_t at_us)
{
  submission_t *submission = context;
  const dks_work_t *work = submission->work;
  load_t *load = submission->load;

  snprintf (submission->key, sizeof (submission->key), "%013" PRId64 "-load-%" PRIx64 "-%zu",
            dks_loop_now ().wall_ms, load->seed, submission->index);
  submission->body = dks_work_body (work, submission->key, SUBMISSION_DEADLINE_MS, &load->random);
  if (work->duplicate)
    {
      int64_t after_ms = (int64_t)(dks_random_next (&load->random) % DUPLICATE_AFTER_MAX_MS);
      dks_timer_set (load->timers, &submission->duplicate, at_us + after_ms * 1000);
    }
  attempt_start (submission);
}

static void
handle_retry (void *context, int64_t at_us)
{
  attempt_start (context);
}

static void
handle_duplicate (void *context, int64_t at_us)
{
  submission_t *submission = context;

  submission->load->duplicates++;
  attempt_start (submission);
}

static bool
result_matches (const submission_t *submission, const json_t *result, uint32_t index)
{
  const char *text = json_string_value (result);
  char expected[DKS_KEY_SIZE + 16];

  snprintf (expected, sizeof (expected), "%s/%" PRIu32, submission->key, index);
  return text != NULL && strcmp (text, expected) == 0;
}

/* Requirements R2 and R3: a complete answer has the results of all tasks, and each result is that
 * of this submission's own task. */
static void
check_complete (submission_t *submission, const json_t *answer)
{
  load_t *load = submission->load;
  const dks_work_t *work = submission->work;
  const char *key = json_string_value (json_object_get (answer, "key"));
  const json_t *results = json_object_get (answer, "results");
  bool is_valid = key != NULL && strcmp (key, submission->key) == 0;

  if (work->single)
    is_valid = is_valid && result_matches (submission, json_object_get (answer, "result"), 0);
  else
    is_valid = is_valid && json_array_size (results) == work->task_count;
  for (uint32_t i = 0; !work->single && is_valid && i < work->task_count; i++)
    is_valid = result_matches (submission, json_array_get (results, i), i);
  if (!is_valid)
    report_violation (load, "answer for %s is not whole or not its own", submission->key);
  if (submission->state != STATE_COMPLETE)
    submission->completed_us = now_us ();
  submission->state = STATE_COMPLETE;
}

static void
handle_refused (submission_t *submission, int entry, const json_t *answer)
{
  load_t *load = submission->load;
  const char *type = json_string_value (json_object_get (answer, "type"));
  uint32_t limit = submission->work->class == DKS_WORK_WARM_UP ? UINT32_MAX : RESUBMISSIONS_MAX;

  if (submission->state != STATE_COMPLETE)
    submission->state = STATE_REFUSED;
  submission->refusals++;
  if (type != NULL && strcmp (type, "urn:damaskshore:problem:draining") == 0)
    load->entries[entry].avoid_until_us = now_us () + ENTRY_AVOID_US;
  if (submission->work->gives_up_if_refused || submission->refusals > limit)
    return;
  submission_retry (submission, json_integer_value (json_object_get (answer, "retry_after_ms")));
}

static void
handle_answer (submission_t *submission, int entry, long status, const char *reply, size_t len)
{
  json_t *answer = json_loadb (reply != NULL ? reply : "", len, 0, NULL);
  const char *outcome = json_string_value (json_object_get (answer, "outcome"));
  bool not_run = json_is_true (json_object_get (answer, "not_run"));
  int64_t retry_ms = json_integer_value (json_object_get (answer, "retry_after_ms"));

  if (status == 200 && outcome != NULL && strcmp (outcome, "complete") == 0)
    check_complete (submission, answer);
  else if ((status == 503 || status == 429) && not_run)
    handle_refused (submission, entry, answer);
  else if (status == 502 || status == 504 || status == 410)
    {
      if (submission->state != STATE_COMPLETE)
        submission->state = status == 502 ? STATE_FAILED : STATE_UNKNOWN;
      if (status == 504 && retry_ms > 0 && ++submission->unknown_answers <= RESUBMISSIONS_MAX)
        submission_retry (submission, retry_ms);
    }
  else
    report_violation (submission->load, "unexpected answer for %s: HTTP status %ld, %.200s",
                      submission->key, status, reply != NULL ? reply : "no body");
  json_decref (answer);
}

static void
handle_attempt_done (attempt_t *attempt, CURLcode code)
{
  submission_t *submission = attempt->submission;
  load_t *load = submission->load;
  entry_t *entry = &load->entries[attempt->entry];
  long status = 0;

  submission->open_attempts--;
  curl_easy_getinfo (attempt->easy, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK)
    handle_answer (submission, attempt->entry, status, attempt->reply, attempt->len);
  else
    {
      if (code == CURLE_COULDNT_CONNECT)
        entry->avoid_until_us = now_us () + ENTRY_AVOID_US;
      else
        {
          submission->lost_attempts++;
          entry->broken_connections++;
        }
      if (!entry->killed && !(entry->drained && code == CURLE_COULDNT_CONNECT))
        report_violation (load, "instance %s%s did not answer %s (%s, attempt %" PRIu32 "): %s",
                          entry->address, entry->drained ? " (drained)" : "", submission->key,
                          dks_work_class_name (submission->work->class), submission->attempts,
                          curl_easy_strerror (code));
      submission_retry (submission, 0);
    }
  attempt_destroy (attempt);
  submission_settle (submission);
}

static void
load_poll (load_t *load)
{
  int64_t wait_us;
  int running;
  int left;
  CURLMsg *msg;

  dks_timers_run (load->timers, now_us ());
  curl_multi_perform (load->multi, &running);
  while ((msg = curl_multi_info_read (load->multi, &left)) != NULL)
    {
      attempt_t *attempt = NULL;
      if (msg->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &attempt);
      handle_attempt_done (attempt, msg->data.result);
    }
  wait_us = dks_timers_next_us (load->timers);
  wait_us = wait_us == INT64_MAX ? 100000 : wait_us - now_us ();
  /* The timeout is rounded down to whole milliseconds, so that rounding never delays an arrival. */
  curl_multi_poll (load->multi, NULL, 0,
                   wait_us > 100000 ? 100 : (int)(wait_us > 0 ? wait_us / 1000 : 0), NULL);
}

static void
load_schedule (load_t *load, const dks_work_t *items, size_t first, size_t count, int64_t start_us)
{
  for (size_t i = 0; i < count; i++)
    {
      submission_t *submission = &load->submissions[first + i];
      submission->load = load;
      submission->work = &items[i];
      submission->index = first + i;
      submission->last_entry = -1;
      submission->due_us = start_us + items[i].arrival_us;
      submission->task_starts = dks_alloc (items[i].task_count);
      dks_timer_init (&submission->arrival, handle_arrival, submission);
      dks_timer_init (&submission->retry, handle_retry, submission);
      dks_timer_init (&submission->duplicate, handle_duplicate, submission);
      dks_timer_set (load->timers, &submission->arrival, submission->due_us);
    }
  load->submission_count += count;
  load->unsettled += count;
}

/* Sends a GET and returns the body of the reply, or NULL without a reply with status 200. Release
 * with free(). */
static char *
http_get (const char *address, const char *path)
{
  attempt_t reply = { .easy = curl_easy_init () };
  char url[DKS_ADDRESS_SIZE + 64];
  long status = 0;

  snprintf (url, sizeof (url), "http://%s%s", address, path);
  curl_easy_setopt (reply.easy, CURLOPT_URL, url);
  curl_easy_setopt (reply.easy, CURLOPT_WRITEFUNCTION, handle_reply_data);
  curl_easy_setopt (reply.easy, CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt (reply.easy, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt (reply.easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (reply.easy, CURLOPT_PROXY, "");
  if (curl_easy_perform (reply.easy) == CURLE_OK)
    curl_easy_getinfo (reply.easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (reply.easy);
  if (status == 200)
    return reply.reply;
  free (reply.reply);
  return NULL;
}

static bool
load_warm_up (load_t *load)
{
  int64_t until_us = now_us () + WARM_UP_TIMEOUT_US;

  for (int i = 0; i < load->entry_count; i++)
    {
      char *reply;
      while ((reply = http_get (load->entries[i].address, "/healthz")) == NULL)
        {
          if (now_us () > until_us)
            {
              report_violation (load, "instance %s does not answer /healthz",
                                load->entries[i].address);
              return false;
            }
          usleep (50000);
        }
      free (reply);
    }
  load->resubmit_until_us = until_us;
  while (load->unsettled > 0 && now_us () < until_us + SETTLE_TIMEOUT_US)
    load_poll (load);
  for (size_t i = 0; i < load->submission_count; i++)
    {
      if (load->submissions[i].state != STATE_COMPLETE)
        {
          report_violation (load, "not ready: %s ended as %s", load->submissions[i].key,
                            state_names[load->submissions[i].state]);
          return false;
        }
    }
  return true;
}

/* Parses the reply of GET /tasks into the starts of each task. */
static void
count_starts (load_t *load, char *tasks)
{
  char *save = NULL;

  for (char *line = strtok_r (tasks, "\n", &save); line != NULL;
       line = strtok_r (NULL, "\n", &save))
    {
      char *slash = strchr (line, '/');
      char *space = slash != NULL ? strchr (slash, ' ') : NULL;
      char *dash;
      submission_t *submission;
      size_t index;
      unsigned long task;

      if (space == NULL)
        continue;
      *slash = '\0';
      dash = strrchr (line, '-');
      index = dash != NULL ? strtoul (dash + 1, NULL, 10) : SIZE_MAX;
      task = strtoul (slash + 1, NULL, 10);
      submission = index < load->submission_count ? &load->submissions[index] : NULL;
      if (submission == NULL || strcmp (submission->key, line) != 0
          || task >= submission->work->task_count)
        {
          report_violation (load, "a target got a task that was not submitted: %s/%lu", line, task);
          continue;
        }
      submission->task_starts[task] = (uint8_t)strtoul (space + 1, NULL, 10);
    }
}

static void
check_starts (load_t *load, const submission_t *submission)
{
  const dks_work_t *work = submission->work;
  uint32_t started = 0;
  uint32_t max_starts = 0;

  for (uint32_t i = 0; i < work->task_count; i++)
    {
      started += submission->task_starts[i] > 0;
      max_starts =
          submission->task_starts[i] > max_starts ? submission->task_starts[i] : max_starts;
    }
  /* Requirements R1 and R5: a task that is not repeatable starts at most once. */
  if (max_starts > 1 && !work->repeatable)
    report_violation (load, "%s started a task %" PRIu32 " times", submission->key, max_starts);
  /* Requirement R2: a complete answer means that every task has started. */
  if (submission->state == STATE_COMPLETE && started != work->task_count)
    report_violation (load, "%s is complete but started %" PRIu32 " of %" PRIu32 " tasks",
                      submission->key, started, work->task_count);
  /* Requirement R4: no task has started when the last answer says that none has run. */
  if (submission->state == STATE_REFUSED && started > 0)
    report_violation (load,
                      "%s was refused as not run (attempts %" PRIu32 ", lost %" PRIu32
                      ") but started %" PRIu32 " of %" PRIu32 " tasks",
                      submission->key, submission->attempts, submission->lost_attempts, started,
                      work->task_count);
  if (submission->state == STATE_NONE)
    report_violation (load, "%s (%s) has no final answer after %" PRIu32 " attempts",
                      submission->key, dks_work_class_name (work->class), submission->attempts);
}

static int
compare_int64 (const void *a, const void *b)
{
  int64_t first = *(const int64_t *)a;
  int64_t second = *(const int64_t *)b;

  return first < second ? -1 : first > second;
}

static double
percentile_ms (const int64_t *sorted_us, size_t count, size_t percent)
{
  size_t index = count > 0 ? (count - 1) * percent / 100 : 0;

  return count > 0 ? (double)sorted_us[index] / 1000 : 0;
}

/* Prints a row for the submissions of a class (DKS_WORK_CLASSES: of all classes) that arrived
 * before `until_us`. `ideal_us` has the ideal response times of the submissions after the warm-up.
 */
static void
print_row (const load_t *load, const char *name, int class, int64_t until_us,
           const int64_t *ideal_us)
{
  int64_t *actual = dks_alloc (load->submission_count * sizeof (actual[0]));
  int64_t *ideal = dks_alloc (load->submission_count * sizeof (ideal[0]));
  uint32_t states[STATE_COUNT] = { 0 };
  size_t count = 0;

  for (size_t i = WARM_UP_COUNT; i < load->submission_count; i++)
    {
      const submission_t *submission = &load->submissions[i];
      if ((class != DKS_WORK_CLASSES && (int)submission->work->class != class)
          || submission->work->arrival_us >= until_us)
        continue;
      states[submission->state]++;
      if (submission->state != STATE_COMPLETE)
        continue;
      actual[count] = submission->completed_us - submission->due_us;
      ideal[count++] = ideal_us[i - WARM_UP_COUNT];
    }
  qsort (actual, count, sizeof (actual[0]), compare_int64);
  qsort (ideal, count, sizeof (ideal[0]), compare_int64);
  printf ("%-12s %8u %7u %7u %7u %5u %9.1f %9.1f %9.1f %9.1f\n", name, states[STATE_COMPLETE],
          states[STATE_FAILED], states[STATE_REFUSED], states[STATE_UNKNOWN], states[STATE_NONE],
          percentile_ms (actual, count, 50), percentile_ms (ideal, count, 50),
          percentile_ms (actual, count, 99), percentile_ms (ideal, count, 99));
  free (actual);
  free (ideal);
}

static uint64_t
metric_value (const char *metrics, const char *name)
{
  size_t len = strlen (name);
  const char *line = metrics;

  while (line != NULL)
    {
      if (strncmp (line, name, len) == 0 && line[len] == ' ')
        return strtoull (line + len, NULL, 10);
      line = strchr (line, '\n');
      line = line != NULL ? line + 1 : NULL;
    }
  return 0;
}

/* Prints the counters, added up over the instances that answer; returns the number of unused slot
 * grants. */
static uint64_t
print_metrics (const load_t *load)
{
  static const dks_counter_t shown[] = { DKS_COUNTER_TASK_STARTS,
                                         DKS_COUNTER_ATTEMPTS_REFUSED,
                                         DKS_COUNTER_ATTEMPTS_FAILED,
                                         DKS_COUNTER_RETRIES,
                                         DKS_COUNTER_HEDGES,
                                         DKS_COUNTER_FORWARDS,
                                         DKS_COUNTER_CLAIMS,
                                         DKS_COUNTER_CLAIMS_REJECTED,
                                         DKS_COUNTER_TAKEOVERS,
                                         DKS_COUNTER_SLOT_GRANTS,
                                         DKS_COUNTER_SLOT_GRANTS_UNUSED,
                                         DKS_COUNTER_TARGET_EJECTIONS,
                                         DKS_COUNTER_STORE_CONFLICTS,
                                         DKS_COUNTER_HEARTBEATS,
                                         DKS_COUNTER_PEER_MESSAGES };
  uint64_t sums[sizeof (shown) / sizeof (shown[0])] = { 0 };
  uint64_t unused = 0;
  int reached = 0;

  for (int i = 0; i < load->entry_count; i++)
    {
      char *metrics = http_get (load->entries[i].address, "/metrics");
      reached += metrics != NULL;
      for (size_t j = 0; metrics != NULL && j < sizeof (shown) / sizeof (shown[0]); j++)
        sums[j] += metric_value (metrics, dks_counter_name (shown[j]));
      free (metrics);
    }
  printf ("\ncounters of the %d instances that still run:\n", reached);
  for (size_t j = 0; j < sizeof (shown) / sizeof (shown[0]); j++)
    {
      printf ("  %-44s %10" PRIu64 "\n", dks_counter_name (shown[j]), sums[j]);
      if (shown[j] == DKS_COUNTER_SLOT_GRANTS_UNUSED)
        unused = sums[j];
    }
  return unused;
}

static void
print_waste (const load_t *load, const char *stats, uint64_t unused)
{
  json_t *targets = json_loads (stats, 0, NULL);
  json_int_t refused = json_integer_value (json_object_get (targets, "refused"));
  json_int_t repeated = json_integer_value (json_object_get (targets, "repeated_starts"));

  printf ("\nmessages: %" PRIu64 " submissions of the load driver, of these %" PRIu64
          " duplicates and %" PRIu64 " resubmissions\n",
          load->attempts, load->duplicates, load->resubmissions);
  printf ("targets: started %" JSON_INTEGER_FORMAT ", completed %" JSON_INTEGER_FORMAT
          ", aborted %" JSON_INTEGER_FORMAT ", work %.1f s\n",
          json_integer_value (json_object_get (targets, "started")),
          json_integer_value (json_object_get (targets, "completed")),
          json_integer_value (json_object_get (targets, "aborted")),
          (double)json_integer_value (json_object_get (targets, "work_ms")) / 1000);
  printf ("wasted messages: refused attempts %" JSON_INTEGER_FORMAT
          ", repeated starts %" JSON_INTEGER_FORMAT ", unused slot grants %" PRIu64
          ", per 1000 submissions %.2f\n",
          refused, repeated, unused,
          (double)(refused + repeated + (json_int_t)unused) * 1000
              / (double)load->submission_count);
  json_decref (targets);
}

static void
load_report (load_t *load, const dks_work_t *items, size_t count, uint32_t slots,
             const char *targets, int64_t calm_us)
{
  int64_t *ideal_us = dks_alloc (count * sizeof (ideal_us[0]));
  char *tasks = http_get (targets, "/tasks");
  char *stats = http_get (targets, "/stats");

  if (tasks == NULL || stats == NULL)
    {
      report_violation (load, "the targets do not answer /tasks and /stats");
      goto out;
    }
  count_starts (load, tasks);
  for (size_t i = 0; i < load->submission_count; i++)
    check_starts (load, &load->submissions[i]);
  dks_workload_ideal (items, count, slots, ideal_us);
  printf ("\n%-12s %8s %7s %7s %7s %5s %9s %9s %9s %9s\n", "class", "complete", "failed", "refused",
          "unknown", "none", "p50 ms", "ideal", "p99 ms", "ideal");
  for (int class = DKS_WORK_CHALLENGE; class < DKS_WORK_CLASSES; class ++)
    print_row (load, dks_work_class_name ((dks_work_class_t) class), class, INT64_MAX, ideal_us);
  print_row (load, "all", DKS_WORK_CLASSES, INT64_MAX, ideal_us);
  if (calm_us > 0)
    print_row (load, "before fault", DKS_WORK_CLASSES, calm_us, ideal_us);
  for (int i = 0; i < load->entry_count; i++)
    {
      if (load->entries[i].killed || load->entries[i].drained)
        printf ("instance %s (%s): %" PRIu32 " connections broken\n", load->entries[i].address,
                load->entries[i].killed ? "killed" : "drained",
                load->entries[i].broken_connections);
    }
  print_waste (load, stats, print_metrics (load));
out:
  free (tasks);
  free (stats);
  free (ideal_us);
}

/* Marks the instance with `address` as killed or drained; returns false when no entry has it.
 * Without an address it marks none and returns true. */
static bool
mark_entry (load_t *load, const struct arg_str *address, bool killed)
{
  for (int i = 0; address->count > 0 && i < load->entry_count; i++)
    {
      if (strcmp (load->entries[i].address, address->sval[0]) != 0)
        continue;
      load->entries[i].killed = load->entries[i].killed || killed;
      load->entries[i].drained = load->entries[i].drained || !killed;
      return true;
    }
  return address->count == 0;
}

int
main (int argc, char **argv)
{
  struct arg_str *entries =
      arg_strn (NULL, "entry", "IP:PORT", 1, ENTRIES_MAX, "HTTP address of an instance");
  struct arg_str *targets = arg_str1 (NULL, "targets", "IP:PORT", "control port of the targets");
  struct arg_str *killed = arg_str0 (NULL, "killed", "IP:PORT", "instance that is killed");
  struct arg_str *drained = arg_str0 (NULL, "drained", "IP:PORT", "instance that is drained");
  struct arg_int *duration = arg_int0 (NULL, "duration-s", "N", "length of the load");
  struct arg_int *calm = arg_int0 (NULL, "calm-s", "N", "start of the first fault");
  struct arg_int *percent = arg_int0 (NULL, "load-percent", "N", "busy slots");
  struct arg_int *slots = arg_int1 (NULL, "slots", "N", "slots of all targets");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of the work");
  struct arg_end *end = arg_end (8);
  void *table[] = { entries, targets, killed, drained, duration, calm, percent, slots, seed, end };
  load_t load = { 0 };
  dks_work_t *warm_up;
  dks_work_t *items;
  size_t warm_up_count;
  size_t count;
  int64_t start_us;

  duration->ival[0] = 20;
  calm->ival[0] = 0;
  percent->ival[0] = 60;
  seed->ival[0] = 1;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "damaskshore-load");
      arg_print_glossary (stderr, table, "  %-25s %s\n");
      return 2;
    }
  for (int i = 0; i < entries->count; i++)
    load.entries[load.entry_count++].address = entries->sval[i];
  if (!mark_entry (&load, killed, true) || !mark_entry (&load, drained, false))
    {
      fprintf (stderr, "damaskshore-load: --killed and --drained must name an --entry\n");
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  load.multi = curl_multi_init ();
  load.timers = dks_timers_create ();
  load.seed = (uint64_t)seed->ival[0];
  load.random = load.seed;
  dks_workload_warm_up (WARM_UP_COUNT, &warm_up, &warm_up_count);
  dks_workload_generate (load.seed, (int64_t)duration->ival[0] * 1000,
                         (double)slots->ival[0] * percent->ival[0] / 100, &items, &count);
  load.submissions = dks_alloc ((warm_up_count + count) * sizeof (load.submissions[0]));
  setvbuf (stdout, NULL, _IOLBF, 0);
  printf ("work: seed %d, %zu submissions in %d s on %d slots at %d%% load\n", seed->ival[0], count,
          duration->ival[0], slots->ival[0], percent->ival[0]);
  load_schedule (&load, warm_up, 0, warm_up_count, now_us ());
  if (!load_warm_up (&load))
    return 1;
  start_us = now_us ();
  load.resubmit_until_us = start_us + (int64_t)duration->ival[0] * 1000000 + SETTLE_TIMEOUT_US / 2;
  load_schedule (&load, items, warm_up_count, count, start_us);
  printf ("load started\n");
  while (load.unsettled > 0
         && now_us () < start_us + (int64_t)duration->ival[0] * 1000000 + SETTLE_TIMEOUT_US)
    load_poll (&load);
  load_report (&load, items, count, (uint32_t)slots->ival[0], targets->sval[0],
               (int64_t)calm->ival[0] * 1000000);
  printf ("\n%s: %" PRIu32 " violations\n", load.violations == 0 ? "passed" : "FAILED",
          load.violations);
  return load.violations == 0 ? 0 : 1;
}
