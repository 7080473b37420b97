#include "common/alloc.h"
#include "common/error.h"
#include "common/log.h"
#include "httpd.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_ring.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/timerfd.h>
#include <unistd.h>

enum
{
  REPEATED_NAMES_MAX = 100 /* names of tasks in the member "repeated" of GET /stats */
};

typedef enum
{
  MODE_CRASH = 0,      /* has no listening port and no connections */
  MODE_FAIL,           /* answers every task with status 500 at once */
  MODE_FREEZE,         /* accepts tasks and never answers */
  MODE_LEAVING,        /* answers new tasks as not run, and that the target is leaving */
  MODE_LEAVING_SILENT, /* runs new tasks, and counts those that arrive in this mode */
  MODE_NORMAL,
  MODE_REFUSE, /* answers new tasks as not run */
  MODE_SLOW,   /* runs tasks `slow_factor` times as long */
  MODE_COUNT
} target_mode_t;

static const char *const mode_names[MODE_COUNT] = { "crash",          "fail",   "freeze", "leaving",
                                                    "leaving-silent", "normal", "refuse", "slow" };

static const char *const plain_headers[] = { "Content-Type", "text/plain", NULL };
static const char *const not_run_headers[] = { "Damaskshore-Not-Run", "1", NULL };
static const char *const leaving_headers[] = { "Damaskshore-Not-Run", "1", "Damaskshore-Leaving",
                                               "1", NULL };

typedef struct standin_t standin_t;
typedef struct port_t port_t;

/* A task that holds a slot. */
typedef struct run_t run_t;
struct run_t
{
  APR_RING_ENTRY (run_t) link;
  port_t *port;
  dks_exchange_t *exchange;
  dks_timer_t timer;
  json_t *payload;
  bool frozen;
};
APR_RING_HEAD (run_ring, run_t);

/* One target: a listening port with its own slots, mode and counts. */
struct port_t
{
  standin_t *standin;
  uint16_t port_number;
  dks_httpd_t *httpd; /* NULL while crashed */
  target_mode_t mode;
  int64_t slow_factor;
  int64_t leaving_at_us;
  uint32_t busy;
  struct run_ring runs;
  uint64_t started;
  uint64_t completed;
  uint64_t failed;
  uint64_t aborted; /* tasks whose connection ended early: closed by the caller, or by a change of
                       the mode */
  uint64_t refused;
  uint64_t leaving_attempts;
  uint64_t leaving_starts;
  int64_t leaving_last_ms; /* time of the last attempt, from the start of the leaving mode */
};

typedef struct
{
  uint32_t starts;
  uint32_t refusals;
} task_t;

struct standin_t
{
  dks_loop_t *loop;
  apr_pool_t *pool;
  apr_hash_t *tasks; /* task_t by the value of the header Damaskshore-Task */
  /* Timers of the run times. They use a timerfd, because the event loop rounds its timeouts up to
   * whole milliseconds. */
  dks_timers_t *timers;
  int timer_fd;
  char ip[DKS_ADDRESS_SIZE];
  port_t *ports;
  uint32_t port_count;
  uint32_t slots_per_port;
  int64_t requested_run_ms; /* sum of the requested run times of all started tasks */
};

static task_t *
task_get (standin_t *standin, const char *name)
{
  task_t *task = apr_hash_get (standin->tasks, name, APR_HASH_KEY_STRING);

  if (task != NULL)
    return task;
  task = apr_pcalloc (standin->pool, sizeof (*task));
  apr_hash_set (standin->tasks, apr_pstrdup (standin->pool, name), APR_HASH_KEY_STRING, task);
  return task;
}

static void
run_destroy (run_t *run)
{
  dks_timer_cancel (run->port->standin->timers, &run->timer);
  run->port->busy--;
  APR_RING_REMOVE (run, link);
  json_decref (run->payload);
  free (run);
}

static void
handle_run_cancelled (void *context)
{
  run_t *run = context;

  run->port->aborted++;
  run_destroy (run);
}

static void
handle_run_timer (void *context, int64_t now_us)
{
  run_t *run = context;
  const char *echo = json_string_value (json_object_get (run->payload, "echo"));

  if (run->port->mode == MODE_FREEZE)
    {
      run->frozen = true;
      return;
    }
  echo = echo != NULL ? echo : "";
  dks_exchange_reply (run->exchange, 200, plain_headers, echo, strlen (echo));
  run->port->completed++;
  run_destroy (run);
}

static void
port_start_run (port_t *port, dks_exchange_t *exchange, json_t *payload)
{
  standin_t *standin = port->standin;
  int64_t run_ms = json_integer_value (json_object_get (payload, "run_ms"));
  int64_t factor = port->mode == MODE_SLOW ? port->slow_factor : 1;
  run_t *run = dks_alloc (sizeof (*run));

  run->port = port;
  run->exchange = exchange;
  run->payload = payload;
  dks_timer_init (&run->timer, handle_run_timer, run);
  APR_RING_INSERT_TAIL (&port->runs, run, run_t, link);
  dks_exchange_set_on_cancel (exchange, handle_run_cancelled, run);
  port->busy++;
  standin->requested_run_ms += run_ms;
  if (port->mode == MODE_FREEZE)
    run->frozen = true;
  else
    dks_timer_set (standin->timers, &run->timer, dks_loop_now ().mono_us + run_ms * factor * 1000);
}

static void
port_refuse (port_t *port, dks_exchange_t *exchange, task_t *task)
{
  port->refused++;
  task->refusals++;
  dks_exchange_reply (exchange, 503, port->mode == MODE_LEAVING ? leaving_headers : not_run_headers,
                      "", 0);
}

static void
handle_run (void *context, dks_exchange_t *exchange)
{
  port_t *port = context;
  const char *name = dks_exchange_header (exchange, "Damaskshore-Task");
  size_t len;
  const char *body = dks_exchange_body (exchange, &len);
  bool leaving = port->mode == MODE_LEAVING || port->mode == MODE_LEAVING_SILENT;
  task_t *task;
  json_t *payload;

  if (strcmp (dks_exchange_path (exchange), "/run") != 0
      || strcmp (dks_exchange_method (exchange), "POST") != 0 || name == NULL)
    {
      dks_exchange_reply_text (exchange, 400, "needs POST /run with Damaskshore-Task\n");
      return;
    }
  task = task_get (port->standin, name);
  if (leaving)
    {
      port->leaving_attempts++;
      port->leaving_last_ms = (dks_loop_now ().mono_us - port->leaving_at_us) / 1000;
    }
  if (port->mode == MODE_LEAVING || port->mode == MODE_REFUSE
      || port->busy >= port->standin->slots_per_port)
    {
      port_refuse (port, exchange, task);
      return;
    }
  port->started++;
  port->leaving_starts += leaving;
  task->starts++;
  payload = json_loadb (body, len, 0, NULL);
  if (!json_is_object (payload) || port->mode == MODE_FAIL)
    {
      port->failed++;
      json_decref (payload);
      dks_exchange_reply_text (exchange, 500, "task failed\n");
      return;
    }
  port_start_run (port, exchange, payload);
}

static int
port_open (port_t *port)
{
  char address[128];
  int error;

  snprintf (address, sizeof (address), "%s:%u", port->standin->ip, port->port_number);
  error = dks_httpd_create (port->standin->loop, address, handle_run, port, &port->httpd);
  if (error != DKS_OK)
    dks_log (DKS_LOG_ERROR, "event=listen-failed address=%s error=\"%s\"", address,
             dks_strerror (error));
  return error;
}

static int
port_set_mode (port_t *port, target_mode_t mode, int64_t factor)
{
  run_t *run;
  run_t *next;

  /* Frozen tasks have no running timer that would answer them, so their connections are closed. */
  APR_RING_FOREACH_SAFE (run, next, &port->runs, run_t, link)
    {
      if (!run->frozen || mode == MODE_FREEZE)
        continue;
      port->aborted++;
      dks_exchange_drop (run->exchange);
      run_destroy (run);
    }
  if (mode == MODE_CRASH)
    {
      dks_httpd_destroy (port->httpd);
      port->httpd = NULL;
    }
  if (mode == MODE_LEAVING || mode == MODE_LEAVING_SILENT)
    port->leaving_at_us = dks_loop_now ().mono_us;
  port->mode = mode;
  port->slow_factor = factor;
  return mode != MODE_CRASH && port->httpd == NULL ? port_open (port) : DKS_OK;
}

static void
handle_control (standin_t *standin, dks_exchange_t *exchange)
{
  const char *name = dks_exchange_query (exchange, "mode");
  int64_t number = dks_exchange_query_int (exchange, "port", 0);
  int64_t factor = dks_exchange_query_int (exchange, "factor", 10);
  int mode = 0;
  uint32_t found = 0;

  while (mode < MODE_COUNT && (name == NULL || strcmp (name, mode_names[mode]) != 0))
    mode++;
  for (uint32_t i = 0; i < standin->port_count && mode < MODE_COUNT; i++)
    {
      port_t *port = &standin->ports[i];
      if (number != 0 && number != port->port_number)
        continue;
      found++;
      if (port_set_mode (port, (target_mode_t)mode, factor) != DKS_OK)
        {
          dks_exchange_reply_text (exchange, 500, "cannot listen\n");
          return;
        }
    }
  if (found == 0)
    dks_exchange_reply_text (exchange, 400, "no such mode or port\n");
  else
    dks_exchange_reply_text (exchange, 200, "{}");
}

static json_t *
port_stats (const port_t *port)
{
  return json_pack (
      "{s:i,s:s,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "port", (int)port->port_number, "mode",
      mode_names[port->mode], "busy", (int)port->busy, "started", (json_int_t)port->started,
      "completed", (json_int_t)port->completed, "failed", (json_int_t)port->failed, "aborted",
      (json_int_t)port->aborted, "refused", (json_int_t)port->refused, "leaving_attempts",
      (json_int_t)port->leaving_attempts, "leaving_starts", (json_int_t)port->leaving_starts,
      "leaving_last_ms", (json_int_t)port->leaving_last_ms);
}

static void
handle_stats (standin_t *standin, dks_exchange_t *exchange)
{
  static const char *const summed_fields[] = {
    "busy",    "started", "completed",        "failed",
    "aborted", "refused", "leaving_attempts", "leaving_starts"
  };
  json_t *reply = json_object ();
  json_t *ports = json_array ();
  json_t *repeated = json_object ();
  json_int_t repeats = 0;
  char *text;

  for (uint32_t i = 0; i < standin->port_count; i++)
    json_array_append_new (ports, port_stats (&standin->ports[i]));
  for (size_t i = 0; i < sizeof (summed_fields) / sizeof (summed_fields[0]); i++)
    {
      json_int_t sum = 0;
      size_t j;
      json_t *port;
      json_array_foreach (ports, j, port)
      {
        sum += json_integer_value (json_object_get (port, summed_fields[i]));
      }
      json_object_set_new (reply, summed_fields[i], json_integer (sum));
    }
  for (apr_hash_index_t *hi = apr_hash_first (NULL, standin->tasks); hi != NULL;
       hi = apr_hash_next (hi))
    {
      const task_t *task = apr_hash_this_val (hi);
      if (task->starts < 2)
        continue;
      repeats += task->starts - 1;
      if (json_object_size (repeated) < REPEATED_NAMES_MAX)
        json_object_set_new (repeated, apr_hash_this_key (hi), json_integer (task->starts));
    }
  json_object_set_new (reply, "slots",
                       json_integer ((json_int_t)standin->slots_per_port * standin->port_count));
  json_object_set_new (reply, "work_ms", json_integer (standin->requested_run_ms));
  json_object_set_new (reply, "tasks", json_integer (apr_hash_count (standin->tasks)));
  json_object_set_new (reply, "repeated_starts", json_integer (repeats));
  json_object_set_new (reply, "repeated", repeated);
  json_object_set_new (reply, "ports", ports);
  text = json_dumps (reply, JSON_COMPACT);
  json_decref (reply);
  dks_exchange_reply_text (exchange, 200, text);
  free (text);
}

/* One line per task: value of the header Damaskshore-Task, number of starts, number of refusals. */
static void
handle_tasks (standin_t *standin, dks_exchange_t *exchange)
{
  char *text = NULL;
  size_t len = 0;
  FILE *out = open_memstream (&text, &len);

  DKS_INVARIANT (out != NULL);
  for (apr_hash_index_t *hi = apr_hash_first (NULL, standin->tasks); hi != NULL;
       hi = apr_hash_next (hi))
    {
      const task_t *task = apr_hash_this_val (hi);
      fprintf (out, "%s %" PRIu32 " %" PRIu32 "\n", (const char *)apr_hash_this_key (hi),
               task->starts, task->refusals);
    }
  fclose (out);
  dks_exchange_reply (exchange, 200, plain_headers, text, len);
  free (text);
}

static void
handle_control_port (void *context, dks_exchange_t *exchange)
{
  standin_t *standin = context;
  const char *path = dks_exchange_path (exchange);

  if (strcmp (path, "/stats") == 0)
    handle_stats (standin, exchange);
  else if (strcmp (path, "/tasks") == 0)
    handle_tasks (standin, exchange);
  else if (strcmp (path, "/control") == 0)
    handle_control (standin, exchange);
  else
    dks_exchange_reply_text (exchange, 404, "no such path\n");
}

static void
handle_timer_fd (void *context, int fd, int events)
{
  standin_t *standin = context;
  uint64_t expirations;

  if (read (fd, &expirations, sizeof (expirations)) < 0)
    return;
  dks_timers_run (standin->timers, dks_loop_now ().mono_us);
}

static void
handle_turn_end (void *context)
{
  standin_t *standin = context;
  int64_t next_us = dks_timers_next_us (standin->timers);
  struct itimerspec spec = { 0 };

  if (next_us != INT64_MAX)
    {
      spec.it_value.tv_sec = next_us / 1000000;
      spec.it_value.tv_nsec = next_us % 1000000 * 1000;
    }
  timerfd_settime (standin->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

int
main (int argc, char **argv)
{
  struct arg_str *ip = arg_str0 (NULL, "ip", "IP", "listen here; default 127.0.0.1");
  struct arg_int *first_port = arg_int1 (NULL, "first-port", "N", "port of the first target");
  struct arg_int *count = arg_int0 (NULL, "count", "N", "targets, on consecutive ports");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "slots of each target; default 8");
  struct arg_int *control_port = arg_int1 (NULL, "control-port", "N", "port of /control, /stats");
  struct arg_end *end = arg_end (8);
  void *table[] = { ip, first_port, count, slots, control_port, end };
  standin_t standin = { 0 };
  char control[DKS_ADDRESS_SIZE + 8];
  dks_httpd_t *httpd;

  ip->sval[0] = "127.0.0.1";
  count->ival[0] = 1;
  slots->ival[0] = 8;
  if (arg_parse (argc, argv, table) > 0 || count->ival[0] < 1 || slots->ival[0] < 1)
    {
      arg_print_errors (stderr, end, "target-standin");
      arg_print_glossary (stderr, table, "  %-25s %s\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  raise_descriptor_limit ();
  dks_strcpy (standin.ip, sizeof (standin.ip), ip->sval[0]);
  standin.loop = dks_loop_create ();
  apr_pool_create (&standin.pool, NULL);
  standin.tasks = apr_hash_make (standin.pool);
  standin.timers = dks_timers_create ();
  standin.timer_fd = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  DKS_INVARIANT (standin.timer_fd >= 0);
  dks_loop_watch (standin.loop, standin.timer_fd, DKS_LOOP_READ, handle_timer_fd, &standin);
  dks_loop_set_turn_end (standin.loop, handle_turn_end, &standin);
  standin.slots_per_port = (uint32_t)slots->ival[0];
  standin.port_count = (uint32_t)count->ival[0];
  standin.ports = dks_alloc (standin.port_count * sizeof (standin.ports[0]));
  for (uint32_t i = 0; i < standin.port_count; i++)
    {
      port_t *port = &standin.ports[i];
      *port = (port_t){ .standin = &standin, .mode = MODE_NORMAL, .slow_factor = 1 };
      port->port_number = (uint16_t)((uint32_t)first_port->ival[0] + i);
      APR_RING_INIT (&port->runs, run_t, link);
      if (port_open (port) != DKS_OK)
        return 1;
    }
  snprintf (control, sizeof (control), "%s:%d", standin.ip, control_port->ival[0]);
  if (dks_httpd_create (standin.loop, control, handle_control_port, &standin, &httpd) != DKS_OK)
    {
      dks_log (DKS_LOG_ERROR, "event=listen-failed address=%s", control);
      return 1;
    }
  dks_loop_run (standin.loop);
  return 0;
}
