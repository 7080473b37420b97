// Measures the processor time that an instance takes for its calls to targets, its messages, its
// callers and its log lines, on loopback against a process of its own. Prints microseconds of
// processor time, one figure a line. Not a test: the figures are those of the machine.

extern "C"
{
#include "common/log.h"
#include "damaskshored/host.h"
#include "net/http_server.h"
#include "net/peer.h"
#include "platform/executor.h"
#include "platform/front.h"
}

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace
{

constexpr int first_port = 18900;
constexpr int target_count = 32;
constexpr int calls = 6000;
constexpr int calls_in_flight = 48;
constexpr int messages = 40000;
constexpr int messages_per_turn = 8;
constexpr int submissions = 4000;
constexpr int callers = 24;
constexpr int lines = 40000;

void
copy_text (char *to, size_t size, const char *text)
{
  snprintf (to, size, "%s", text);
}

double
cpu_us ()
{
  timespec now;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double> (now.tv_sec) * 1e6 + static_cast<double> (now.tv_nsec) / 1e3;
}

void
print (const char *name, double us)
{
  printf ("%-28s %8.2f us\n", name, us);
  fflush (stdout);
}

pid_t
start_process (const std::function<void ()> &func)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      func ();
      _exit (0);
    }
  return pid;
}

void
end_process (pid_t pid)
{
  kill (pid, SIGKILL);
  waitpid (pid, nullptr, 0);
}

int
listen_at (int port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  sockaddr_in address = {};

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
  address.sin_family = AF_INET;
  address.sin_port = htons (static_cast<uint16_t> (port));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, reinterpret_cast<sockaddr *> (&address), sizeof (address)) != 0
      || listen (fd, 512) != 0)
    {
      perror ("listen");
      _exit (1);
    }
  return fd;
}

int
connect_to (int port)
{
  sockaddr_in address = {};
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  address.sin_family = AF_INET;
  address.sin_port = htons (static_cast<uint16_t> (port));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  while (connect (fd, reinterpret_cast<sockaddr *> (&address), sizeof (address)) != 0)
    {
      close (fd);
      fd = socket (AF_INET, SOCK_STREAM, 0);
      usleep (10000);
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
  return fd;
}

// Answers each request with the body.
void
serve_targets (const std::string &body)
{
  std::string reply = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                      + std::to_string (body.size ()) + "\r\n\r\n" + body;
  std::vector<pollfd> fds;
  std::map<int, std::string> input;
  char chunk[16384];

  for (int i = 0; i < target_count; i++)
    fds.push_back ({ listen_at (first_port + i), POLLIN, 0 });
  for (;;)
    {
      poll (fds.data (), fds.size (), -1);
      for (size_t i = fds.size (); i-- > 0;)
        {
          if (fds[i].revents == 0)
            continue;
          if (i < target_count)
            {
              int fd = accept (fds[i].fd, nullptr, nullptr);
              int on = 1;

              setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof (on));
              fds.push_back ({ fd, POLLIN, 0 });
              continue;
            }
          ssize_t n = read (fds[i].fd, chunk, sizeof (chunk));
          if (n <= 0)
            {
              close (fds[i].fd);
              input.erase (fds[i].fd);
              fds.erase (fds.begin () + static_cast<long> (i));
              continue;
            }
          std::string &text = input[fds[i].fd];
          text.append (chunk, static_cast<size_t> (n));
          size_t head = text.find ("\r\n\r\n");
          size_t at = text.find ("Content-Length: ");
          if (head == std::string::npos
              || text.size () < head + 4 + strtoul (text.c_str () + at + 16, nullptr, 10))
            continue;
          text.clear ();
          if (write (fds[i].fd, reply.data (), reply.size ()) < 0)
            _exit (1);
        }
    }
}

struct Calls
{
  dks_http_client_t *client;
  dks_effect_t effect;
  int sent = 0;
  int answered = 0;
  int good = 0;
  double sent_us = 0;
};

void
send_call (Calls &state)
{
  double start_us = cpu_us ();
  int target = state.sent % target_count;

  snprintf (state.effect.u.lease.address, sizeof (state.effect.u.lease.address), "127.0.0.1:%d",
            first_port + target);
  snprintf (state.effect.u.lease.target, sizeof (state.effect.u.lease.target), "server-%d", target);
  state.effect.u.lease.op++;
  state.sent++;
  dks_executor_call (
      state.client, &state.effect,
      [] (void *context, dks_event_t *event) {
        auto *self = static_cast<Calls *> (context);

        self->answered++;
        self->good += event->u.lease_reply.status == DKS_LEASE_OK;
      },
      &state);
  state.sent_us += cpu_us () - start_us;
}

void
measure_calls (const char *name, dks_effect_type_t type, const std::string &body)
{
  pid_t server = start_process ([&] { serve_targets (body); });
  dks_loop_t *loop = dks_loop_create ();
  Calls state = {};
  std::string spec (150, 'x');
  double start_us = 0;
  double probe_us = cpu_us ();
  char text[64];

  for (int i = 0; i < 10000; i++)
    cpu_us ();
  probe_us = (cpu_us () - probe_us) / 10000;
  usleep (300000);
  state.client = dks_http_client_create (loop, 6);
  state.effect.type = type;
  snprintf (state.effect.u.lease.task, sizeof (state.effect.u.lease.task), "%s",
            "0123456789abcdef.0.0.0");
  state.effect.u.lease.run = 1;
  state.effect.u.lease.spec = dks_blob_create (spec.data (), spec.size ());
  state.effect.u.lease.fencing_token = 7316952040494193;
  state.effect.u.lease.deadline_ms = 1786365244023;
  state.effect.u.lease.wait_ms = 500;
  state.effect.u.lease.timeout_ms = 20000;
  // The first calls open the connections.
  while (state.answered < 2 * calls)
    {
      if (state.answered >= calls && start_us == 0)
        {
          state.sent_us = 0;
          start_us = cpu_us ();
        }
      while (state.sent < 2 * calls && state.sent - state.answered < calls_in_flight)
        send_call (state);
      dks_loop_turn (loop, 10000);
    }
  double all_us = (cpu_us () - start_us) / calls - probe_us;
  snprintf (text, sizeof (text), "%s sent", name);
  print (text, state.sent_us / calls - probe_us);
  snprintf (text, sizeof (text), "%s, whole call", name);
  print (text, all_us);
  if (state.good != state.answered)
    printf ("%d of %d calls failed\n", state.answered - state.good, state.answered);
  dks_blob_unref (state.effect.u.lease.spec);
  dks_http_client_destroy (state.client);
  dks_loop_destroy (loop);
  end_process (server);
}

struct Peers
{
  dks_loop_t *loop;
  dks_peers_t *peers;
  bool is_up = false;
  int received = 0;
  double start_us = 0;
};

Peers *
open_peers (int self, int other)
{
  auto *state = new Peers;
  char member[32];
  char address[32];
  dks_peer_config_t config = { member, "dc1", address, nullptr };
  dks_peer_callbacks_t callbacks = {};

  snprintf (member, sizeof (member), "e%d#0000000000000001", self);
  snprintf (address, sizeof (address), "127.0.0.1:%d", first_port + 100 + self);
  callbacks.up = [] (void *context, const char *, const char *) {
    static_cast<Peers *> (context)->is_up = true;
  };
  callbacks.down = [] (void *, const char *) {};
  callbacks.message = [] (void *context, const char *, dks_msg_t *) {
    auto *state_of = static_cast<Peers *> (context);

    if (state_of->received++ == 0)
      state_of->start_us = cpu_us ();
  };
  callbacks.context = state;
  state->loop = dks_loop_create ();
  if (dks_peers_create (state->loop, &config, &callbacks, &state->peers) != 0)
    _exit (1);
  snprintf (address, sizeof (address), "127.0.0.1:%d", first_port + 100 + other);
  if (self < other)
    dks_peers_connect (state->peers, address);
  return state;
}

dks_msg_t *
create_status ()
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_LEASED_STATUS);

  msg->u.leased_status.term = 7316952040494193;
  msg->u.leased_status.started_ms = 1786365244023;
  msg->u.leased_status.free_tasks = 120;
  msg->u.leased_status.sent_us = 123456789012;
  msg->u.leased_status.interval_ms = 100;
  msg->u.leased_status.address_digest = 0x123456789abcdef0;
  return msg;
}

dks_msg_t *
create_work (uint32_t lent_count)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_WORK);
  std::string spec (lent_count > 0 ? 0 : 150, 'x');

  msg->u.work.request = 12345;
  msg->u.work.batch = dks_batch_create (1);
  msg->u.work.batch->spec = dks_blob_create (spec.data (), spec.size ());
  msg->u.work.batch->steps[0].count = 8;
  msg->u.work.batch->steps[0].cpu_milli = 8000;
  msg->u.work.batch->steps[0].memory_mb = 64;
  msg->u.work.batch->steps[0].estimate_ms = 60;
  copy_text (msg->u.work.batch->id, sizeof (msg->u.work.batch->id), "0123456789abcdef");
  copy_text (msg->u.work.batch->queue, sizeof (msg->u.work.batch->queue), "word-check");
  copy_text (msg->u.work.batch->service, sizeof (msg->u.work.batch->service), "lexicon-judge");
  msg->u.work.batch->max_attempts = 3;
  dks_batch_validate (msg->u.work.batch);
  msg->u.work.budget_us = 1500000;
  msg->u.work.objective_us = 156000;
  msg->u.work.sent_us = 123456789012;
  msg->u.work.lent_count = lent_count;
  if (lent_count > 0)
    {
      msg->u.work.lent_tasks = static_cast<uint32_t *> (calloc (lent_count, sizeof (uint32_t)));
      msg->u.work.lent_runs = static_cast<uint32_t *> (calloc (lent_count, sizeof (uint32_t)));
      for (uint32_t i = 0; i < lent_count; i++)
        msg->u.work.lent_tasks[i] = i;
    }
  return msg;
}

dks_msg_t *
create_lent_done ()
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_LENT_DONE);

  msg->u.lent_done.request = 12345;
  msg->u.lent_done.index = 3;
  msg->u.lent_done.run = 1;
  msg->u.lent_done.result = 1;
  return msg;
}

void
measure_messages (const char *name, dks_msg_t *msg)
{
  int report[2];
  double received_us = 0;
  char text[64];

  if (pipe (report) != 0)
    _exit (1);
  pid_t receiver = start_process ([&] {
    Peers *state = open_peers (2, 1);

    while (state->received < messages)
      dks_loop_turn (state->loop, 10000);
    double us = (cpu_us () - state->start_us) / messages;
    if (write (report[1], &us, sizeof (us)) < 0)
      _exit (1);
  });
  Peers *state = open_peers (1, 2);
  while (!state->is_up)
    dks_loop_turn (state->loop, 1000);
  double start_us = cpu_us ();
  for (int i = 0; i < messages; i += messages_per_turn)
    {
      for (int k = 0; k < messages_per_turn; k++)
        dks_peers_send (state->peers, "e2#0000000000000001", msg);
      dks_peers_flush (state->peers);
      dks_loop_turn (state->loop, 0);
    }
  double sent_us = (cpu_us () - start_us) / messages;
  while (dks_peers_backlog (state->peers) > 0)
    {
      dks_peers_flush (state->peers);
      dks_loop_turn (state->loop, 1000);
    }
  if (read (report[0], &received_us, sizeof (received_us)) < 0)
    _exit (1);
  snprintf (text, sizeof (text), "%s sent", name);
  print (text, sent_us);
  snprintf (text, sizeof (text), "%s received", name);
  print (text, received_us);
  end_process (receiver);
  dks_peers_destroy (state->peers);
  dks_loop_destroy (state->loop);
  dks_msg_unref (msg);
  close (report[0]);
  close (report[1]);
}

struct Front
{
  dks_http_server_t *server = nullptr;
  dks_reducer_t *reducer = nullptr;
  int answered = 0;
  int gone = 0;
  double answer_us = 0;
};

// One job after the other on each connection.
void
send_jobs (bool keeps_connection)
{
  char body[512];
  char request[1024];

  snprintf (body, sizeof (body),
            "{\"spec\":\"%0150d\",\"best_effort\":true,\"steps\":[{\"count\":8,\"cpu\":8000,"
            "\"mem_mb\":64,\"estimate_ms\":60}]}",
            0);
  snprintf (request, sizeof (request),
            "POST /word-check/0123456789abcdef HTTP/1.1\r\nHost: host\r\n"
            "Content-Type: application/json\r\nDeadline-Ms: 1500\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            strlen (body), body);
  std::vector<pollfd> fds;
  char chunk[4096];

  for (int i = 0; i < callers; i++)
    {
      fds.push_back ({ connect_to (first_port + 90), POLLIN, 0 });
      if (write (fds.back ().fd, request, strlen (request)) < 0)
        _exit (1);
    }
  for (;;)
    {
      poll (fds.data (), fds.size (), -1);
      for (auto &fd : fds)
        {
          if (fd.revents == 0 || read (fd.fd, chunk, sizeof (chunk)) <= 0)
            continue;
          if (!keeps_connection)
            {
              close (fd.fd);
              fd.fd = connect_to (first_port + 90);
            }
          if (write (fd.fd, request, strlen (request)) < 0)
            _exit (1);
        }
    }
}

void
measure_front (const char *name, bool keeps_connection)
{
  Front state;
  dks_loop_t *loop = dks_loop_create ();
  dks_http_server_config_t config = {};
  dks_http_server_callbacks_t callbacks = {};
  dks_config_t reducer_config;
  std::string address = "127.0.0.1:" + std::to_string (first_port + 90);
  char text[64];

  dks_config_init (&reducer_config);
  copy_text (reducer_config.id, sizeof (reducer_config.id), "e1");
  copy_text (reducer_config.address, sizeof (reducer_config.address), "127.0.0.1:1");
  copy_text (reducer_config.data_centre, sizeof (reducer_config.data_centre), "dc1");
  copy_text (reducer_config.data_centres[0], sizeof (reducer_config.data_centres[0]), "dc1");
  reducer_config.data_centre_count = 1;
  reducer_config.incarnation = 1;
  reducer_config.leased_targets = true;
  state.reducer = dks_reducer_create (&reducer_config, dks_loop_now ());
  config.address = address.c_str ();
  config.max_connections = 1000;
  config.idle_timeout_s = 60;
  config.data_centre = "dc1";
  config.interface = &dks_platform_front;
  callbacks.event = [] (void *context, dks_event_t *event) {
    auto *self = static_cast<Front *> (context);
    dks_effect_t effect = {};

    if (event->type != DKS_EVENT_BATCH)
      {
        self->gone++;
        return;
      }
    double start_us = cpu_us ();
    effect.type = DKS_EFFECT_BATCH_REPLY;
    effect.u.batch_reply.caller = event->u.batch.caller;
    effect.u.batch_reply.answer = DKS_BATCH_COMPLETED;
    dks_http_server_reply (self->server, &effect);
    self->answer_us += cpu_us () - start_us;
    self->answered++;
  };
  callbacks.reducer = [] (void *context) -> const dks_reducer_t * {
    return static_cast<Front *> (context)->reducer;
  };
  callbacks.context = &state;
  if (dks_http_server_create (loop, &config, &callbacks, &state.server) != 0)
    _exit (1);
  pid_t client = start_process ([&] { send_jobs (keeps_connection); });
  while (state.answered < submissions)
    dks_loop_turn (loop, 10000);
  double start_us = cpu_us ();
  int before = state.answered;
  state.answer_us = 0;
  while (state.answered < before + submissions)
    dks_loop_turn (loop, 10000);
  int count = state.answered - before;
  snprintf (text, sizeof (text), "%s, all", name);
  print (text, (cpu_us () - start_us) / count);
  snprintf (text, sizeof (text), "%s, answer passed on", name);
  print (text, state.answer_us / count);
  end_process (client);
  dks_http_server_destroy (state.server);
  dks_loop_destroy (loop);
  dks_reducer_destroy (state.reducer);
}

void
measure_log ()
{
  int output[2];
  char chunk[65536];

  if (pipe (output) != 0)
    _exit (1);
  pid_t reader = start_process ([&] {
    while (read (output[0], chunk, sizeof (chunk)) > 0)
      ;
  });
  dks_log_set_output (output[1], "front-ne-north-a-1");
  double start_us = cpu_us ();
  for (int i = 0; i < lines; i++)
    dks_log (DKS_LOG_INFO, "event=prior-runs-query job=%s step=%u tasks=%u to=%s term=%llu",
             "0123456789abcdef", 0U, 8U, "front-ne-north-b-1#000658b091cf16e5",
             7316952040494193ULL);
  print ("log line", (cpu_us () - start_us) / lines);
  printf ("%llu of %d lines were dropped\n", static_cast<unsigned long long> (dks_log_dropped ()),
          lines);
  end_process (reader);
}

}

int
main ()
{
  std::string lists = "{\"clock_ms\":1786365244023,\"born\":1786365244000,\"running\":[";

  signal (SIGPIPE, SIG_IGN);
  measure_calls ("start", DKS_EFFECT_LEASE_START, "{\"clock_ms\":1786365244023}");
  measure_calls ("hold", DKS_EFFECT_LEASE_HOLD, lists + "],\"ended\":[]}");
  char row[64];
  for (int i = 0; i < 10; i++)
    {
      snprintf (row, sizeof (row), "%s[\"0123456789abcdef.0.0.%d\",1,0,50]", i > 0 ? "," : "", i);
      lists.append (row);
    }
  lists.append ("],\"ended\":[");
  for (int i = 0; i < 10; i++)
    {
      snprintf (row, sizeof (row), "%s[%d,\"0123456789abcdef.0.0.%d\",1,\"done\",\"\"]",
                i > 0 ? "," : "", i + 1, i);
      lists.append (row);
    }
  measure_calls ("hold, 20 runs", DKS_EFFECT_LEASE_HOLD, lists + "]}");
  measure_messages ("status", create_status ());
  measure_messages ("work", create_work (0));
  measure_messages ("query of 8 tasks", create_work (8));
  measure_messages ("lent-done", create_lent_done ());
  measure_front ("submission", true);
  measure_front ("submission, new connection", false);
  measure_log ();
}
