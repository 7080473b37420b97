#include "damaskshored/host.h"

#include "common/alloc.h"
#include "common/error.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/loop.h"
#include "net/peer.h"
#include "net/store_client.h"
#include "net/target_client.h"
#include "platform/executor.h"
#include "platform/front.h"
#include "platform/store.h"

#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <sys/sysinfo.h>
#include <unistd.h>

enum
{
  STORE_TIMEOUT_MS = 2000,
  STORE_WATCH_WAIT_MS = 10000,
  /* A target that leaves must get no new work after 3 s. The platform's list may lag by 2 s, which
   * leaves 1 s between two reads. */
  STORE_LIST_INTERVAL_MS = 1000,
  /* Longest delay of the exit by callers that do not read their answer. */
  EXIT_TIMEOUT_US = 30 * 1000000,
  /* Time between the end of the drain and the exit, so that requests that are in transit when the
   * drain ends still arrive and are answered. */
  EXIT_LINGER_US = 100000,
  RESERVED_DESCRIPTORS = 512, /* for refused callers, peers, the platform and some targets */
  CONNECTIONS_DEFAULT_MAX = 4096,
  /* Maximum of connections to the readiness check, and with leased targets also to the own
   * interface, which then serves operators only. */
  SERVICE_CONNECTIONS = 64,
  SERVICE_MEMORY_SHARE = 32, /* part of the memory limit that these connections may take */
  /* Part of the memory that belongs to no client which a reply of the platform's store may have. It
     is held once as it arrives, twice while it is decoded, and what it decodes to once more. */
  STORE_REPLY_MEMORY_SHARE = 8,
  SETTINGS_CHECK_INTERVAL_US = 2000000, /* between two checks of the settings file */
  /* Per leased target: a long poll that waits, a poll, and starts that are answered within
   * milliseconds. */
  LEASED_TARGET_CONNECTIONS = 6
};

/* The two HTTP servers that accept submissions share the reducer, so their ranges of caller ids
 * must not overlap. */
#define FRONT_CALLER_ID_BASE (UINT64_C (1) << 62)

struct dks_host_t
{
  dks_loop_t *loop;
  dks_memory_account_t *memory;
  dks_reducer_t *reducer;
  dks_peers_t *peers;
  dks_store_client_t *store;
  dks_http_client_t *target_http;
  dks_target_client_t *targets;
  dks_http_server_t *server;
  dks_http_server_t *front; /* only with leased targets, as are the next three members */
  dks_http_server_t *readiness;
  dks_http_client_t *leased_http;
  char platform_url[DKS_URL_SIZE];
  dks_timer_t tick_timer;
  dks_effects_t effects;
  bool executing_effects; /* `effects` is being executed; nested calls append to it */
  int signal_fd;
  bool draining;
  int64_t drained_us;     /* monotonic time of DKS_EFFECT_EXIT; 0 before it */
  dks_timer_t exit_timer; /* wakes the loop when EXIT_LINGER_US has passed */
  int exit_status;
  dks_options_t options;
  dks_host_reload_t reload_func; /* NULL: options are never reloaded */
  void *reload_context;
  struct stat settings_stat; /* of the settings file at its last check */
  dks_timer_t settings_timer;
};

static void handle_leased_event (void *context, dks_event_t *event);

/* Called when the instance has drained: closes the listening sockets and schedules the exit.
 * Requests that are still in transit are answered before the exit. */
static void
handle_drained (dks_host_t *host)
{
  if (host->drained_us > 0)
    return;
  host->drained_us = dks_loop_now ().mono_us;
  dks_http_server_stop_listening (host->server);
  if (host->front != NULL)
    dks_http_server_stop_listening (host->front);
  dks_timer_set (dks_loop_timers (host->loop), &host->exit_timer,
                 host->drained_us + EXIT_LINGER_US);
}

/* Only wakes the loop: handle_turn_end() checks after each turn whether the exit is due. */
static void
handle_exit_timer (void *context, int64_t now_us)
{
}

static void apply_event (dks_host_t *host, dks_event_t *event);

static void
check_callers (dks_host_t *host)
{
  dks_event_t event = { .type = DKS_EVENT_CALLERS_CHECKED };

  event.u.callers_checked.checked_us = dks_loop_now ().mono_us;
  if (host->front != NULL)
    dks_http_server_check_callers (host->front);
  apply_event (host, &event);
}

static void
execute_effect (dks_host_t *host, const dks_effect_t *effect)
{
  switch (effect->type)
    {
    case DKS_EFFECT_BATCH_REPLY:
      dks_http_server_reply (host->front, effect);
      break;
    case DKS_EFFECT_FEED_READ:
    case DKS_EFFECT_FEED_WATCH:
      dks_platform_feed_call (host->leased_http, host->platform_url, effect, handle_leased_event,
                              host);
      break;
    case DKS_EFFECT_LEASE_START:
    case DKS_EFFECT_LEASE_STOP:
    case DKS_EFFECT_LEASE_HOLD:
      dks_executor_call (host->leased_http, effect, handle_leased_event, host);
      break;
    case DKS_EFFECT_REPLY:
    case DKS_EFFECT_EDIT_REPLY:
      dks_http_server_reply (host->server, effect);
      break;
    case DKS_EFFECT_PEER_SEND:
      dks_peers_send (host->peers, effect->u.peer_send.peer, effect->u.peer_send.msg);
      break;
    case DKS_EFFECT_PEER_CONNECT:
      dks_peers_connect (host->peers, effect->u.peer_connect.address);
      break;
    case DKS_EFFECT_PEER_CLOSE:
      dks_peers_close (host->peers, effect->u.peer_close.peer);
      break;
    case DKS_EFFECT_TARGET_SEND:
      dks_target_client_send (host->targets, effect, dks_loop_now ().wall_ms);
      break;
    case DKS_EFFECT_TARGET_ABORT:
      dks_target_client_abort (host->targets, effect->u.target_abort.attempt);
      break;
    case DKS_EFFECT_STORE_GET:
      dks_store_client_get (host->store, effect->u.store.op, effect->u.store.key);
      break;
    case DKS_EFFECT_STORE_CAS:
      dks_store_client_cas (host->store, effect->u.store.op, effect->u.store.key,
                            effect->u.store.version, effect->u.store.value);
      break;
    case DKS_EFFECT_LOG:
      dks_log (effect->u.log.level, "%s", effect->u.log.text);
      break;
    case DKS_EFFECT_CALLERS_CHECK:
      check_callers (host);
      break;
    case DKS_EFFECT_EXIT:
      handle_drained (host);
      break;
    }
}

static void
apply_event (dks_host_t *host, dks_event_t *event)
{
  event->now = dks_loop_now ();
  dks_reducer_apply (host->reducer, event, &host->effects);
  /* A transport may report an event while an effect is executed. The effects of that event are
   * executed after those that are already in the list, so that messages keep their order. */
  if (host->executing_effects)
    return;
  host->executing_effects = true;
  for (size_t i = 0; i < host->effects.count; i++)
    {
      /* A copy, since a nested call may reallocate the list. */
      dks_effect_t effect = host->effects.items[i];

      execute_effect (host, &effect);
    }
  dks_effects_clear (&host->effects);
  host->executing_effects = false;
}

static void
handle_leased_event (void *context, dks_event_t *event)
{
  apply_event (context, event);
}

static void
start_drain (dks_host_t *host)
{
  dks_event_t event = { .type = DKS_EVENT_DRAIN };

  if (host->draining)
    return;
  host->draining = true;
  dks_log (DKS_LOG_NOTICE, "event=drain");
  dks_http_server_set_draining (host->server);
  if (host->front != NULL)
    dks_http_server_set_draining (host->front);
  apply_event (host, &event);
}

static void
handle_http_event (void *context, dks_event_t *event)
{
  dks_host_t *host = context;

  if (event->type == DKS_EVENT_DRAIN)
    start_drain (host);
  else
    apply_event (host, event);
}

static const dks_reducer_t *
get_reducer (void *context)
{
  return ((dks_host_t *)context)->reducer;
}

static void
handle_peer_up (void *context, const char *member, const char *data_centre)
{
  dks_event_t event = { .type = DKS_EVENT_PEER_UP };

  event.u.peer.peer = member;
  event.u.peer.data_centre = data_centre;
  apply_event (context, &event);
}

static void
handle_peer_down (void *context, const char *member)
{
  dks_event_t event = { .type = DKS_EVENT_PEER_DOWN };

  event.u.peer.peer = member;
  apply_event (context, &event);
}

static void
handle_peer_refused (void *context, const char *address)
{
  dks_event_t event = { .type = DKS_EVENT_PEER_REFUSED };

  event.u.peer_refused.address = address;
  apply_event (context, &event);
}

static void
handle_peer_message (void *context, const char *member, dks_msg_t *msg)
{
  dks_event_t event = { .type = DKS_EVENT_PEER_MSG };

  event.u.peer_msg.peer = member;
  event.u.peer_msg.msg = msg;
  apply_event (context, &event);
}

static void
handle_target_reply (void *context, uint64_t attempt, dks_attempt_status_t status, bool leaving,
                     dks_blob_t *body)
{
  dks_event_t event = { .type = DKS_EVENT_TARGET_REPLY };

  event.u.target_reply.attempt = attempt;
  event.u.target_reply.status = status;
  event.u.target_reply.leaving = leaving;
  event.u.target_reply.body = body;
  apply_event (context, &event);
}

static void
handle_store_reply (void *context, uint64_t op, dks_store_status_t status, int64_t version,
                    dks_blob_t *value)
{
  dks_event_t event = { .type = DKS_EVENT_STORE_REPLY };

  event.u.store_reply.op = op;
  event.u.store_reply.status = status;
  event.u.store_reply.version = version;
  event.u.store_reply.value = value;
  apply_event (context, &event);
}

static void
handle_store_record (void *context, const char *key, int64_t version, dks_blob_t *value)
{
  dks_event_t event = { .type = DKS_EVENT_STORE_RECORD };

  event.u.store_record.key = key;
  event.u.store_record.version = version;
  event.u.store_record.value = value;
  apply_event (context, &event);
}

static void
handle_instance_list (void *context, const dks_listed_instance_t *items, size_t count)
{
  dks_event_t event = { .type = DKS_EVENT_INSTANCE_LIST };

  event.u.instance_list.items = items;
  event.u.instance_list.count = count;
  apply_event (context, &event);
}

static void
handle_tick (void *context, int64_t now_us)
{
  dks_event_t event = { .type = DKS_EVENT_TICK };

  apply_event (context, &event);
}

/* Options that are reloaded while the instance runs */

/* Records the state of the settings file and returns whether it has changed since the last call. */
static bool
update_settings_stat (dks_host_t *host)
{
  struct stat now = { 0 };
  bool changed;

  if (host->options.settings_path[0] == '\0')
    return false;
  /* A file that is missing while it is being replaced is found by the next check. */
  if (stat (host->options.settings_path, &now) != 0)
    return false;
  changed = now.st_ino != host->settings_stat.st_ino || now.st_size != host->settings_stat.st_size
            || now.st_mtim.tv_sec != host->settings_stat.st_mtim.tv_sec
            || now.st_mtim.tv_nsec != host->settings_stat.st_mtim.tv_nsec;
  host->settings_stat = now;
  return changed;
}

static void
reload_options (dks_host_t *host, const char *cause)
{
  dks_event_t event = { .type = DKS_EVENT_CONFIG };
  dks_options_t options;
  char error[DKS_OPTIONS_ERROR_SIZE] = "";
  const char *restart_flag;

  if (host->reload_func == NULL)
    return;
  if (host->reload_func (host->reload_context, &options, error) != DKS_OK)
    {
      dks_log (DKS_LOG_ERROR, "event=reload cause=%s result=rejected reason=\"%s\"", cause, error);
      return;
    }
  restart_flag = dks_options_needs_restart (&host->options, &options);
  dks_log (restart_flag != NULL ? DKS_LOG_WARNING : DKS_LOG_NOTICE,
           "event=reload cause=%s result=applied needs_restart=%s", cause,
           restart_flag != NULL ? restart_flag : "");
  host->options.log_level = options.log_level;
  dks_log_set_level (options.log_level);
  event.u.config.config = &options.config;
  apply_event (host, &event);
}

static void
handle_settings_timer (void *context, int64_t now_us)
{
  dks_host_t *host = context;

  dks_timer_set (dks_loop_timers (host->loop), &host->settings_timer,
                 now_us + SETTINGS_CHECK_INTERVAL_US);
  if (update_settings_stat (host))
    reload_options (host, "file");
}

void
dks_host_set_reload (dks_host_t *host, dks_host_reload_t func, void *context)
{
  host->reload_func = func;
  host->reload_context = context;
  if (host->options.settings_path[0] == '\0')
    return;
  update_settings_stat (host);
  dks_timer_set (dks_loop_timers (host->loop), &host->settings_timer,
                 dks_loop_now ().mono_us + SETTINGS_CHECK_INTERVAL_US);
}

static void
handle_signal (void *context, int fd, int events)
{
  dks_host_t *host = context;
  struct signalfd_siginfo info;

  while (read (fd, &info, sizeof (info)) == sizeof (info))
    {
      if (info.ssi_signo == SIGHUP)
        {
          update_settings_stat (host);
          reload_options (host, "signal");
          continue;
        }
      if (host->draining)
        {
          dks_log (DKS_LOG_WARNING, "event=exit reason=second-signal open_requests=%u",
                   dks_http_server_open_requests (host->server));
          host->exit_status = EXIT_FAILURE;
          dks_loop_stop (host->loop);
          return;
        }
      start_drain (host);
    }
}

static void
schedule_tick (dks_host_t *host)
{
  int64_t next_us = dks_reducer_next_us (host->reducer);

  if (next_us == INT64_MAX)
    dks_timer_cancel (dks_loop_timers (host->loop), &host->tick_timer);
  else if (!dks_timer_is_armed (&host->tick_timer) || host->tick_timer.deadline_us != next_us)
    dks_timer_set (dks_loop_timers (host->loop), &host->tick_timer, next_us);
}

static void
handle_turn_end (void *context)
{
  dks_host_t *host = context;
  int64_t now_us = dks_loop_now ().mono_us;
  uint32_t open_requests;

  dks_peers_flush (host->peers);
  schedule_tick (host);
  if (host->drained_us == 0 || now_us < host->drained_us + EXIT_LINGER_US)
    return;
  open_requests = dks_http_server_active_requests (host->server);
  if (host->front != NULL)
    open_requests += dks_http_server_active_requests (host->front);
  if (open_requests > 0 && now_us < host->drained_us + EXIT_TIMEOUT_US)
    return;
  dks_log (DKS_LOG_NOTICE, "event=exit reason=drained open_requests=%u", open_requests);
  dks_loop_stop (host->loop);
}

/* Raises the limit of open descriptors to the hard limit: one is needed per caller, target
 * connection and peer. Returns the limit, or 0. */
static uint64_t
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return 0;
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    return 0;
  return limit.rlim_max != RLIM_INFINITY ? limit.rlim_max : UINT64_MAX;
}

/* Sets `http_connections` where it is not given, and lowers it where memory, or with leased targets
 * descriptors, are too few for it. */
static int
limit_connections (dks_options_t *options, size_t memory_limit)
{
  uint64_t descriptors = raise_descriptor_limit ();
  uint32_t wanted = options->http_connections;
  uint32_t most = wanted == 0 ? dks_http_connections_fitting (memory_limit / 2, true)
                              : dks_http_connections_fitting (memory_limit / 4 * 3, false);
  uint32_t connections = wanted > 0 ? wanted : CONNECTIONS_DEFAULT_MAX;

  if (connections > most)
    connections = most;
  if (descriptors < (uint64_t)connections + RESERVED_DESCRIPTORS
      && (options->config.leased_targets || wanted == 0)
      && descriptors > 2 * (uint64_t)RESERVED_DESCRIPTORS)
    connections = (uint32_t)(descriptors - RESERVED_DESCRIPTORS);
  if (descriptors < (uint64_t)connections + RESERVED_DESCRIPTORS)
    {
      dks_log (
          DKS_LOG_ERROR,
          "event=start-failed reason=\"--http-connections %u needs %u descriptors, the limit is "
          "%" PRIu64 "\"",
          connections, connections + RESERVED_DESCRIPTORS, descriptors);
      return DKS_ERR_UNAVAILABLE;
    }
  if (wanted > connections)
    dks_log (DKS_LOG_NOTICE,
             "event=connections-limited connections=%u descriptors=%" PRIu64
             " memory_limit_bytes=%zu",
             connections, descriptors, memory_limit);
  options->http_connections = connections;
  return DKS_OK;
}

static int
open_signals (dks_host_t *host)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  host->signal_fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (host->signal_fd < 0)
    return DKS_ERR_IO;
  return dks_loop_watch (host->loop, host->signal_fd, DKS_LOOP_READ, handle_signal, host);
}

static int
open_peers (dks_host_t *host, const dks_options_t *options)
{
  const dks_peer_config_t config = {
    .member = dks_reducer_member_id (host->reducer),
    .data_centre = options->config.data_centre,
    .address = options->peer_listen_address[0] != '\0' ? options->peer_listen_address
                                                       : options->config.address,
    .memory = host->memory,
  };
  const dks_peer_callbacks_t callbacks = {
    .up = handle_peer_up,
    .down = handle_peer_down,
    .message = handle_peer_message,
    .refused = handle_peer_refused,
    .context = host,
  };
  int error = dks_peers_create (host->loop, &config, &callbacks, &host->peers);

  if (error != DKS_OK)
    dks_log (DKS_LOG_ERROR, "event=start-failed part=peers address=%s reason=\"%s\"",
             config.address, dks_strerror (error));
  return error;
}

static size_t
service_connections_bytes (const dks_host_t *host)
{
  return dks_memory_account_limit (host->memory) / SERVICE_MEMORY_SHARE;
}

static int
open_server (dks_host_t *host, const dks_options_t *options)
{
  bool is_service = options->config.leased_targets;
  const dks_http_server_config_t config = {
    .address = options->http_address,
    .max_connections = is_service ? (uint32_t)SERVICE_CONNECTIONS : options->http_connections,
    .connections_bytes = is_service ? service_connections_bytes (host) : 0,
    .idle_timeout_s = options->http_idle_timeout_s,
    .data_centre = options->config.data_centre,
    .deadline_default_ms = options->deadline_default_ms,
    .memory = host->memory,
    .replaces_waiting = true,
    /* Instances with the same --seed must not generate the same keys. */
    .processor_milli = options->config.processor_milli,
    .key_seed = options->config.seed ^ options->config.incarnation,
  };
  const dks_http_server_callbacks_t callbacks = {
    .event = handle_http_event,
    .reducer = get_reducer,
    .context = host,
  };
  int error = dks_http_server_create (host->loop, &config, &callbacks, &host->server);

  if (error != DKS_OK)
    dks_log (DKS_LOG_ERROR, "event=start-failed part=http address=%s reason=\"%s\"", config.address,
             dks_strerror (error));
  return error;
}

static int
open_platform_server (dks_host_t *host, const dks_options_t *options, const char *address,
                      const dks_http_interface_t *interface, dks_http_server_t **server)
{
  bool is_front = interface == &dks_platform_front;
  const dks_http_server_config_t config = {
    .address = address,
    .max_connections = is_front ? options->http_connections : (uint32_t)SERVICE_CONNECTIONS,
    .connections_bytes = is_front ? 0 : service_connections_bytes (host),
    .idle_timeout_s = options->http_idle_timeout_s,
    .data_centre = options->config.data_centre,
    .processor_milli = options->config.processor_milli,
    .caller_id_base = is_front ? FRONT_CALLER_ID_BASE : 0,
    .memory = host->memory,
    .replaces_waiting = true,
    .interface = interface,
  };
  const dks_http_server_callbacks_t callbacks = {
    .event = handle_http_event,
    .reducer = get_reducer,
    .context = host,
  };
  int error = dks_http_server_create (host->loop, &config, &callbacks, server);

  if (error != DKS_OK)
    dks_log (DKS_LOG_ERROR, "event=start-failed part=platform address=%s reason=\"%s\"", address,
             dks_strerror (error));
  return error;
}

static uint64_t
memory_bytes (const dks_options_t *options)
{
  struct sysinfo info;

  if (options->memory_mb > 0)
    return (uint64_t)options->memory_mb << 20;
  return sysinfo (&info) == 0 ? (uint64_t)info.totalram * info.mem_unit : UINT64_MAX;
}

/* Opens the servers for callers' batches and for the readiness check, and the HTTP client that
 * controls leased targets. */
static int
open_leased (dks_host_t *host, const dks_options_t *options)
{
  int error;

  dks_strcpy (host->platform_url, sizeof (host->platform_url), options->platform_url);
  host->leased_http = dks_http_client_create (host->loop, LEASED_TARGET_CONNECTIONS);
  dks_http_client_set_reply_max (host->leased_http, dks_memory_rest (memory_bytes (options))
                                                        / STORE_REPLY_MEMORY_SHARE);
  error = open_platform_server (host, options, options->front_address, &dks_platform_front,
                                &host->front);
  if (error != DKS_OK)
    return error;
  return open_platform_server (host, options, options->ready_address, &dks_platform_readiness,
                               &host->readiness);
}

static void
open_clients (dks_host_t *host, const dks_options_t *options)
{
  static const char *const prefixes[] = { "settings", "view/", NULL };
  const dks_store_config_t config = {
    .base_url = options->platform_url,
    .timeout_ms = STORE_TIMEOUT_MS,
    .watch_wait_ms = STORE_WATCH_WAIT_MS,
    .list_interval_ms = STORE_LIST_INTERVAL_MS,
    .prefixes = prefixes,
  };
  const dks_store_callbacks_t callbacks = {
    .reply = handle_store_reply,
    .record = handle_store_record,
    .instances = handle_instance_list,
    .context = host,
  };

  host->target_http = dks_http_client_create (host->loop, (int)options->target_connections);
  host->targets = dks_target_client_create (host->target_http, handle_target_reply, host);
  host->store = dks_store_client_create (host->loop, &config, &callbacks);
}

int
dks_host_create (const dks_options_t *options, dks_host_t **host_out)
{
  dks_host_t *host = dks_alloc (sizeof (*host));
  dks_options_t limited_options = *options;
  int error;

  host->options = *options;
  options = &limited_options;

  host->signal_fd = -1;
  host->loop = dks_loop_create ();
  host->memory = dks_memory_account_create (dks_memory_limit (memory_bytes (options)));
  error = limit_connections (&limited_options, dks_memory_account_limit (host->memory));
  dks_timer_init (&host->tick_timer, handle_tick, host);
  dks_timer_init (&host->settings_timer, handle_settings_timer, host);
  dks_timer_init (&host->exit_timer, handle_exit_timer, host);
  host->reducer = dks_reducer_create (&options->config, dks_loop_now ());
  if (error == DKS_OK)
    error = open_signals (host);
  if (error == DKS_OK)
    error = open_peers (host, options);
  if (error == DKS_OK)
    error = open_server (host, options);
  if (error == DKS_OK && options->config.leased_targets)
    error = open_leased (host, options);
  if (error != DKS_OK)
    {
      dks_host_destroy (host);
      return error;
    }
  if (!options->config.leased_targets)
    open_clients (host, options);
  dks_loop_set_turn_end (host->loop, handle_turn_end, host);
  schedule_tick (host);
  dks_log (DKS_LOG_NOTICE, "event=start version=%s member=%s data_centre=%s http=%s peer=%s",
           DKS_VERSION, dks_reducer_member_id (host->reducer), options->config.data_centre,
           options->http_address, options->config.address);
  *host_out = host;
  return DKS_OK;
}

void
dks_host_destroy (dks_host_t *host)
{
  if (host == NULL)
    return;
  dks_http_server_destroy (host->server);
  dks_http_server_destroy (host->front);
  dks_http_server_destroy (host->readiness);
  dks_http_client_destroy (host->leased_http);
  if (host->store != NULL)
    dks_store_client_destroy (host->store);
  if (host->targets != NULL)
    dks_target_client_destroy (host->targets);
  if (host->target_http != NULL)
    dks_http_client_destroy (host->target_http);
  if (host->peers != NULL)
    dks_peers_destroy (host->peers);
  if (host->signal_fd >= 0)
    {
      dks_loop_watch (host->loop, host->signal_fd, 0, NULL, NULL);
      close (host->signal_fd);
    }
  dks_timer_cancel (dks_loop_timers (host->loop), &host->tick_timer);
  dks_timer_cancel (dks_loop_timers (host->loop), &host->settings_timer);
  dks_timer_cancel (dks_loop_timers (host->loop), &host->exit_timer);
  dks_effects_destroy (&host->effects);
  dks_reducer_destroy (host->reducer);
  dks_loop_destroy (host->loop);
  dks_memory_account_destroy (host->memory);
  free (host);
}

int
dks_host_run (dks_host_t *host)
{
  dks_loop_run (host->loop);
  return host->exit_status;
}
