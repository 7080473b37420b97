#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "core/key.h"
#include "net/http_json.h"
#include "net/http_server.h"
}

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <functional>
#include <jansson.h>
#include <map>
#include <netinet/in.h>
#include <random>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

const char key_a[] = "1700000000000-a";
const char key_b[] = "dc1~1700000000000-b";
const char job_body[] = "{'service':'s','team':'t','deadline_ms':1000,'tasks':[{'payload':'x'}]}";
const char single_body[] = "{'service':'s','team':'t','task':{'payload':'x'}}";

/* The JSON in this file is written with single quotes. */
std::string
with_double_quotes (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

int
free_port ()
{
  sockaddr_in address = {};
  socklen_t size = sizeof (address);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  EXPECT_EQ (bind (fd, reinterpret_cast<sockaddr *> (&address), size), 0);
  EXPECT_EQ (getsockname (fd, reinterpret_cast<sockaddr *> (&address), &size), 0);
  close (fd);
  return ntohs (address.sin_port);
}

struct Response
{
  int status = 0; /* 0: the connection was closed without a reply */
  std::map<std::string, std::string> headers;
  std::string body;

  std::string
  header (const char *name) const
  {
    for (const auto &row : headers)
      {
        if (strcasecmp (row.first.c_str (), name) == 0)
          return row.second;
      }
    return "";
  }

  /* Member of the JSON body as text; strings without quotes; empty when absent. */
  std::string
  field (const char *name) const
  {
    json_t *root = json_loadb (body.data (), body.size (), 0, nullptr);
    json_t *value = json_object_get (root, name);
    std::string text;

    if (json_is_string (value))
      text = std::string (json_string_value (value), json_string_length (value));
    else if (value != nullptr)
      {
        char *dump = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
        text = dump;
        free (dump);
      }
    json_decref (root);
    return text;
  }
};

struct Event
{
  dks_event_type_t type;
  uint64_t caller = 0;
  std::string key;
  std::string payload;
  bool single = false;
  bool respond_async = false;
  int64_t deadline_ms = 0;
  dks_settings_edit_t edit = {};
};

/* A caller's connection. Non-blocking, so that the test can run the loop while it waits. */
class Client
{
public:
  explicit Client (int port)
  {
    sockaddr_in address = {};

    fd = socket (AF_INET, SOCK_STREAM, 0);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    address.sin_port = htons (static_cast<uint16_t> (port));
    EXPECT_EQ (connect (fd, reinterpret_cast<sockaddr *> (&address), sizeof (address)), 0);
    fcntl (fd, F_SETFL, O_NONBLOCK);
  }
  Client (const Client &) = delete;
  Client (Client &&other) noexcept : fd (other.fd), received (std::move (other.received))
  {
    other.fd = -1;
  }
  ~Client ()
  {
    disconnect ();
  }

  void
  disconnect ()
  {
    if (fd >= 0)
      close (fd);
    fd = -1;
  }

  void
  read_available ()
  {
    char buffer[65536];
    ssize_t len;

    while (!closed && (len = recv (fd, buffer, sizeof (buffer), 0)) >= 0)
      {
        if (len == 0)
          closed = true;
        received.append (buffer, static_cast<size_t> (len));
      }
    if (!closed && errno != EAGAIN)
      closed = true;
  }

  /* Removes the first final reply from the received bytes; false when it is not complete yet. */
  bool
  take_response (Response &response)
  {
    size_t end = received.find ("\r\n\r\n");
    size_t line;

    if (end == std::string::npos)
      return false;
    response = Response ();
    response.status = atoi (received.c_str () + strlen ("HTTP/1.1 "));
    line = received.find ("\r\n") + 2;
    while (line < end + 2)
      {
        size_t next = received.find ("\r\n", line);
        size_t colon = received.find (':', line);
        response.headers[received.substr (line, colon - line)] =
            received.substr (colon + 2, next - colon - 2);
        line = next + 2;
      }
    if (response.status == 100)
      {
        received.erase (0, end + 4);
        return take_response (response);
      }
    size_t len = strtoul (response.header ("Content-Length").c_str (), nullptr, 10);
    if (received.size () < end + 4 + len)
      return false;
    response.body = received.substr (end + 4, len);
    received.erase (0, end + 4 + len);
    return true;
  }

  int fd;
  std::string received;
  bool closed = false;
};

class HttpServer : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    loop = dks_loop_create ();
    port = free_port ();
    address = "127.0.0.1:" + std::to_string (port);
    config.address = address.c_str ();
    config.max_connections = 100;
    config.idle_timeout_s = 30;
    config.data_centre = "dc1";
    config.deadline_default_ms = 7000;
    config.key_seed = 1;
  }

  void
  TearDown () override
  {
    stop ();
    dks_reducer_destroy (reducer);
    dks_loop_destroy (loop);
  }

  void
  stop ()
  {
    dks_http_server_destroy (server);
    server = nullptr;
  }

  void
  start ()
  {
    dks_http_server_callbacks_t callbacks = {};
    dks_config_t reducer_config;

    dks_config_init (&reducer_config);
    snprintf (reducer_config.id, sizeof (reducer_config.id), "e1");
    snprintf (reducer_config.address, sizeof (reducer_config.address), "127.0.0.1:1");
    snprintf (reducer_config.data_centre, sizeof (reducer_config.data_centre), "dc1");
    snprintf (reducer_config.data_centres[0], sizeof (reducer_config.data_centres[0]), "dc1");
    reducer_config.data_centre_count = 1;
    reducer_config.incarnation = 1;
    reducer = dks_reducer_create (&reducer_config, dks_loop_now ());
    callbacks.event = handle_event;
    callbacks.reducer = [] (void *context) -> const dks_reducer_t * {
      return static_cast<HttpServer *> (context)->reducer;
    };
    callbacks.context = this;
    ASSERT_EQ (dks_http_server_create (loop, &config, &callbacks, &server), DKS_OK);
  }

  static void
  handle_event (void *context, dks_event_t *event)
  {
    auto *self = static_cast<HttpServer *> (context);
    Event copy;

    copy.type = event->type;
    switch (event->type)
      {
      case DKS_EVENT_SUBMIT:
        copy.caller = event->u.submit.caller;
        copy.key = event->u.submit.submission->key;
        copy.single = event->u.submit.submission->single;
        copy.respond_async = event->u.submit.submission->respond_async;
        copy.deadline_ms = event->u.submit.submission->deadline_ms;
        copy.payload = std::string (
            reinterpret_cast<char *> (event->u.submit.submission->tasks[0].payload->data),
            event->u.submit.submission->tasks[0].payload->len);
        break;
      case DKS_EVENT_CANCEL:
      case DKS_EVENT_QUERY:
        copy.caller = event->u.key.caller;
        copy.key = event->u.key.key;
        break;
      case DKS_EVENT_CALLER_GONE:
        copy.caller = event->u.caller_gone.caller;
        break;
      case DKS_EVENT_SETTINGS_EDIT:
        copy.caller = event->u.settings_edit.caller;
        copy.edit = event->u.settings_edit.edit;
        break;
      default:
        break;
      }
    self->events.push_back (copy);
    if (self->on_event)
      self->on_event (copy);
  }

  /* Replies with `results`, one for each task. */
  void
  reply_complete (uint64_t caller, const std::vector<std::string> &results)
  {
    dks_effect_t effect = {};

    effect.type = DKS_EFFECT_REPLY;
    effect.u.reply.caller = caller;
    effect.u.reply.answer = dks_answer_create (key_a, DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE,
                                               static_cast<uint32_t> (results.size ()));
    for (size_t i = 0; i < results.size (); i++)
      {
        effect.u.reply.answer->tasks[i].ok = true;
        effect.u.reply.answer->tasks[i].body =
            dks_blob_create (results[i].data (), results[i].size ());
      }
    dks_http_server_reply (server, &effect);
    dks_answer_unref (effect.u.reply.answer);
  }

  void
  reply_problem (uint64_t caller, dks_outcome_t outcome, dks_problem_t problem,
                 uint32_t retry_after_ms)
  {
    dks_effect_t effect = {};

    effect.type = DKS_EFFECT_REPLY;
    effect.u.reply.caller = caller;
    effect.u.reply.answer = dks_answer_create (key_a, outcome, problem, 0);
    effect.u.reply.answer->retry_after_ms = retry_after_ms;
    dks_http_server_reply (server, &effect);
    dks_answer_unref (effect.u.reply.answer);
  }

  void
  turn ()
  {
    dks_loop_turn (loop, 2000);
  }

  bool
  run_until (const std::function<bool ()> &done, int64_t limit_us = 10000000)
  {
    int64_t end = dks_loop_now ().mono_us + limit_us;

    while (!done ())
      {
        if (dks_loop_now ().mono_us > end)
          return false;
        turn ();
      }
    return true;
  }

  void
  send_text (Client &client, const std::string &text)
  {
    size_t sent = 0;

    run_until ([&] {
      ssize_t len = send (client.fd, text.data () + sent, text.size () - sent, MSG_NOSIGNAL);
      if (len < 0 && errno != EAGAIN)
        return true;
      sent += len > 0 ? static_cast<size_t> (len) : 0;
      return sent == text.size ();
    });
  }

  Response
  receive (Client &client)
  {
    Response response;

    run_until ([&] {
      client.read_available ();
      return client.take_response (response) || client.closed;
    });
    return response;
  }

  static std::string
  request (const std::string &method, const std::string &path, const std::string &body = "",
           const std::string &headers = "")
  {
    return method + " " + path + " HTTP/1.1\r\nHost: localhost\r\n" + headers + "Content-Length: "
           + std::to_string (body.size ()) + "\r\n\r\n" + with_double_quotes (body);
  }

  Response
  call (const std::string &method, const std::string &path, const std::string &body = "",
        const std::string &headers = "")
  {
    Client client (port);

    send_text (client, request (method, path, body, headers));
    return receive (client);
  }

  dks_loop_t *loop = nullptr;
  int port = 0;
  std::string address;
  dks_http_server_config_t config = {};
  dks_http_server_t *server = nullptr;
  dks_reducer_t *reducer = nullptr;
  std::vector<Event> events;
  std::function<void (const Event &)> on_event;
};

/* Guards against lost, shortened or wrongly encoded results. */
TEST_F (HttpServer, ReturnsEveryResultOfAJob)
{
  start ();
  on_event = [&] (const Event &event) {
    reply_complete (event.caller, { "one", "gr\xc3\xb6n", "\xff\xfe" });
  };
  Response response =
      call ("POST", "/v1/jobs", job_body, std::string ("Idempotency-Key: ") + key_a + "\r\n");
  EXPECT_EQ (response.status, 200);
  EXPECT_EQ (response.field ("outcome"), "complete");
  EXPECT_EQ (response.field ("results"), "[\"one\",\"gr\xc3\xb6n\",{\"result_base64\":\"//4=\"}]");
  EXPECT_EQ (response.header ("Idempotency-Key"), key_a);
  ASSERT_EQ (events.size (), 1u);
  EXPECT_EQ (events[0].key, key_a);
  EXPECT_EQ (events[0].payload, "x");
  EXPECT_FALSE (events[0].single);
  EXPECT_EQ (dks_http_server_open_requests (server), 0u);
}

TEST_F (HttpServer, ReturnsTheResultOfASingleRequest)
{
  start ();
  int64_t before_ms = dks_loop_now ().wall_ms;
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "one" }); };
  EXPECT_EQ (call ("POST", "/v1/requests", single_body).field ("result"), "one");
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "\xff" }); };
  EXPECT_EQ (call ("POST", "/v1/requests", single_body).field ("result_base64"), "/w==");
  EXPECT_TRUE (events[0].single);
  /* The default deadline applies when the body gives none. */
  EXPECT_GE (events[0].deadline_ms, before_ms + 7000);
  EXPECT_LE (events[0].deadline_ms, dks_loop_now ().wall_ms + 7000);
}

/* Guards against a reply that is not sent until other traffic wakes the server: the reducer replies
 * some turns of the loop after the request. */
TEST_F (HttpServer, DeliversALateReply)
{
  start ();
  Client client (port);
  send_text (client, request ("POST", "/v1/jobs", job_body));
  ASSERT_TRUE (run_until ([&] { return !events.empty (); }));
  for (int i = 0; i < 5; i++)
    turn ();
  EXPECT_EQ (dks_http_server_open_requests (server), 1u);
  reply_complete (events[0].caller, { "late" });
  int64_t start_us = dks_loop_now ().mono_us;
  EXPECT_EQ (receive (client).field ("results"), "[\"late\"]");
  EXPECT_LT (dks_loop_now ().mono_us - start_us, 1000000);
}

/* Guards against invalid bodies that are accepted, and against errors that do not say the cause. */
TEST_F (HttpServer, RejectsInvalidBodiesAndNamesTheField)
{
  static const struct
  {
    const char *path;
    const char *body;
    const char *named;
  } rows[] = {
    { "/v1/jobs", "", "malformed" },
    { "/v1/jobs", "{", "malformed" },
    { "/v1/jobs", "[]", "object" },
    { "/v1/jobs", "{'a':1,'a':1}", "malformed" },
    { "/v1/jobs", "{'team':'t','tasks':[{'payload':'x'}]}", "\"service\" is missing" },
    { "/v1/jobs", "{'service':'s','tasks':[{'payload':'x'}]}", "\"team\" is missing" },
    { "/v1/jobs", "{'service':'s','team':'t'}", "\"tasks\" is missing" },
    { "/v1/jobs", "{'service':'s','team':'t','tasks':[]}", "\"tasks\"" },
    { "/v1/jobs", "{'service':'s','team':'t','tasks':{}}", "\"tasks\"" },
    { "/v1/jobs", "{'service':'s','team':'t','tasks':[1]}", "\"tasks[0]\"" },
    { "/v1/jobs", "{'service':'s','team':'t','tasks':[{}]}", "\"tasks[0].payload\"" },
    { "/v1/jobs", "{'service':'s','team':'t','tasks':[{'payload':1}]}", "\"tasks[0].payload\"" },
    { "/v1/jobs", "{'service':'s','team':'t','tasks':[{'payload':'x','runms':1}]}",
      "unknown field \"tasks[0].runms\"" },
    { "/v1/jobs", "{'service':'s','team':'t','tasks':[{'payload':'x','cpus':-1}]}",
      "\"tasks[0].cpus\"" },
    { "/v1/jobs", "{'service':'s','team':'t','tasks':[{'payload':'x','run_ms':1.5}]}",
      "\"tasks[0].run_ms\"" },
    { "/v1/jobs", "{'service':'s','team':'t','deadlinems':1,'tasks':[{'payload':'x'}]}",
      "unknown field \"deadlinems\"" },
    { "/v1/jobs", "{'service':'s/t','team':'t','tasks':[{'payload':'x'}]}", "\"service\"" },
    { "/v1/jobs", "{'service':'s','team':'a\\u0000b','tasks':[{'payload':'x'}]}", "\"team\"" },
    { "/v1/jobs", "{'service':'s','team':'t','repeatable':1,'tasks':[{'payload':'x'}]}",
      "\"repeatable\"" },
    { "/v1/jobs", "{'service':'s','team':'t','task':{'payload':'x'}}", "\"task\"" },
    { "/v1/requests", "{'service':'s','team':'t','tasks':[{'payload':'x'}]}", "\"tasks\"" },
    { "/v1/requests", "{'service':'s','team':'t','task':[]}", "\"task\"" },
  };

  start ();
  for (const auto &row : rows)
    {
      Response response = call ("POST", row.path, row.body);
      EXPECT_EQ (response.status, 400) << row.body;
      EXPECT_EQ (response.header ("Content-Type"), "application/problem+json");
      EXPECT_EQ (response.field ("type"), "urn:damaskshore:problem:bad-request");
      EXPECT_NE (response.field ("title"), "");
      EXPECT_EQ (response.field ("status"), "400");
      EXPECT_NE (response.field ("detail").find (row.named), std::string::npos)
          << row.body << ": " << response.field ("detail");
    }
  EXPECT_TRUE (events.empty ());
  EXPECT_EQ (dks_http_server_bad_input_total (server), sizeof (rows) / sizeof (rows[0]));
}

TEST_F (HttpServer, RejectsInvalidDeadlines)
{
  static const char *const values[] = { "-1",
                                        "0",
                                        "9",
                                        "3600001",
                                        "9223372036854775807",
                                        "9223372036854775808",
                                        "-9223372036854775808",
                                        "1e3",
                                        "\"1000\"",
                                        "null" };
  start ();
  for (const char *value : values)
    {
      std::string body = std::string ("{'service':'s','team':'t','deadline_ms':") + value
                         + ",'tasks':[{'payload':'x'}]}";
      Response response = call ("POST", "/v1/jobs", body);
      EXPECT_EQ (response.status, 400) << value;
      if (strlen (value) < 19)
        {
          EXPECT_NE (response.field ("detail").find ("10 to 3600000"), std::string::npos)
              << response.field ("detail");
        }
    }
  EXPECT_TRUE (events.empty ());
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "" }); };
  for (const char *value : { "10", "3600000" })
    {
      std::string body = std::string ("{'service':'s','team':'t','deadline_ms':") + value
                         + ",'tasks':[{'payload':'x'}]}";
      EXPECT_EQ (call ("POST", "/v1/jobs", body).status, 200) << value;
    }
}

/* Guards against unbounded memory use, and against the loss of the reply by a reset: closing a
 * connection with unread data resets it. */
TEST_F (HttpServer, RejectsOversizedBodies)
{
  std::string body (DKS_SUBMISSION_MAX + 1, ' ');
  std::string chunked = "POST /v1/jobs HTTP/1.1\r\nHost: localhost\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
  char chunk_head[32];

  start ();
  Response response = call ("POST", "/v1/jobs", body);
  EXPECT_EQ (response.status, 413);
  EXPECT_EQ (response.field ("type"), "urn:damaskshore:problem:too-large");

  snprintf (chunk_head, sizeof (chunk_head), "%zx\r\n", body.size ());
  chunked += chunk_head + body + "\r\n0\r\n\r\n";
  Client chunk_client (port);
  send_text (chunk_client, chunked);
  EXPECT_EQ (receive (chunk_client).status, 413);

  Client expecting (port);
  send_text (expecting, "POST /v1/jobs HTTP/1.1\r\nHost: localhost\r\nExpect: 100-continue\r\n"
                        "Content-Length: 9000000\r\n\r\n");
  EXPECT_EQ (receive (expecting).status, 413);

  Client huge (port);
  send_text (huge, "POST /v1/jobs HTTP/1.1\r\nHost: localhost\r\n"
                   "Content-Length: 900000000000\r\n\r\n");
  EXPECT_EQ (receive (huge).status, 413);

  std::string payload (DKS_PAYLOAD_MAX + 1, 'x');
  response = call ("POST", "/v1/requests",
                   "{'service':'s','team':'t','task':{'payload':'" + payload + "\"}}");
  EXPECT_EQ (response.status, 413);
  EXPECT_NE (response.field ("detail").find ("task.payload"), std::string::npos);

  std::string tasks;
  for (int i = 0; i < DKS_TASKS_MAX + 1; i++)
    tasks += std::string (i > 0 ? "," : "") + "{'payload':''}";
  response = call ("POST", "/v1/jobs", "{'service':'s','team':'t','tasks':[" + tasks + "]}");
  EXPECT_EQ (response.status, 413);
  EXPECT_TRUE (events.empty ());
  EXPECT_EQ (dks_http_server_open_requests (server), 0u);
}

/* Guards against refusing or truncating a body of the largest allowed size. */
TEST_F (HttpServer, AcceptsTheLargestBody)
{
  std::string body = "{'service':'s','team':'t','tasks':[{'payload':'"
                     + std::string (DKS_PAYLOAD_MAX, 'y') + "\"}]}";

  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { event.payload }); };
  body.resize (DKS_SUBMISSION_MAX, ' ');
  Response response = call ("POST", "/v1/jobs", body);
  EXPECT_EQ (response.status, 200);
  EXPECT_EQ (response.field ("results").size (), DKS_PAYLOAD_MAX + strlen ("[\"\"]"));
}

TEST_F (HttpServer, GeneratesMissingKeysAndRejectsBadOnes)
{
  static const char *const bad[] = {
    "abc",
    "~1700000000000-a",
    "1700000000000-",
    "170000000000-a",
    "1700000000000-a b",
    "01234567-89ab-4cde-8f01-23456789abcd",
  };

  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "" }); };
  Response first = call ("POST", "/v1/jobs", job_body);
  Response second = call ("POST", "/v1/requests", single_body);
  dks_key_t key;
  ASSERT_EQ (dks_key_parse (first.header ("Idempotency-Key").c_str (), &key), DKS_OK);
  EXPECT_STREQ (key.data_centre, "dc1");
  EXPECT_NEAR (static_cast<double> (key.issued_ms), static_cast<double> (dks_loop_now ().wall_ms),
               10000);
  EXPECT_EQ (events[0].key, first.header ("Idempotency-Key"));
  EXPECT_NE (first.header ("Idempotency-Key"), second.header ("Idempotency-Key"));

  events.clear ();
  for (const char *value : bad)
    {
      Response response =
          call ("POST", "/v1/jobs", job_body, std::string ("Idempotency-Key: ") + value + "\r\n");
      EXPECT_EQ (response.status, 400) << value;
      EXPECT_NE (response.field ("detail").find ("Idempotency-Key"), std::string::npos);
      EXPECT_EQ (response.field ("not_run"), "") << value;
    }
  EXPECT_EQ (call ("POST", "/v1/jobs", job_body,
                   "Idempotency-Key: 1700000000000-" + std::string (200, 'a') + "\r\n")
                 .status,
             400);
  EXPECT_EQ (call ("GET", "/v1/jobs/abc").status, 400);
  EXPECT_EQ (call ("DELETE", "/v1/jobs/").status, 400);
  EXPECT_TRUE (events.empty ());
}

/* Guards against a false "not run", which an answer may say only if it is true: after a malformed
 * resubmission the first submission of the key may have run. */
TEST_F (HttpServer, SaysNotRunOnlyForGeneratedKeys)
{
  start ();
  Response given =
      call ("POST", "/v1/jobs", "{", std::string ("Idempotency-Key: ") + key_a + "\r\n");
  EXPECT_EQ (given.header ("Idempotency-Key"), key_a);
  EXPECT_EQ (given.field ("outcome"), "");
  EXPECT_EQ (given.field ("not_run"), "");
  Response generated = call ("POST", "/v1/jobs", "{");
  EXPECT_NE (generated.header ("Idempotency-Key"), "");
  EXPECT_EQ (generated.field ("outcome"), "refused");
  EXPECT_EQ (generated.field ("not_run"), "true");
}

TEST_F (HttpServer, MapsOutcomesToStatusCodes)
{
  static const struct
  {
    dks_outcome_t outcome;
    dks_problem_t problem;
    int status;
  } rows[] = {
    { DKS_OUTCOME_FAILED, DKS_PROBLEM_TASK_FAILED, 502 },
    { DKS_OUTCOME_FAILED, DKS_PROBLEM_TARGET_LOST, 502 },
    { DKS_OUTCOME_REFUSED, DKS_PROBLEM_QUEUE_FULL, 503 },
    { DKS_OUTCOME_REFUSED, DKS_PROBLEM_DRAINING, 503 },
    { DKS_OUTCOME_REFUSED, DKS_PROBLEM_INFEASIBLE, 503 },
    { DKS_OUTCOME_REFUSED, DKS_PROBLEM_QUOTA, 429 },
    { DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_OWNER_LOST, 504 },
    { DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_NO_OWNER, 504 },
    { DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_KEY_EXPIRED, 410 },
    { DKS_OUTCOME_CANCELLED, DKS_PROBLEM_CANCELLED, 409 },
    { DKS_OUTCOME_REFUSED, DKS_PROBLEM_BAD_REQUEST, 400 },
    { DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_KEY_REUSED, 422 },
    { DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_NOT_FOUND, 404 },
  };

  start ();
  for (const auto &row : rows)
    {
      on_event = [&] (const Event &event) {
        reply_problem (event.caller, row.outcome, row.problem, 1001);
      };
      Response response =
          call ("POST", "/v1/jobs", job_body, std::string ("Idempotency-Key: ") + key_a + "\r\n");
      EXPECT_EQ (response.status, row.status) << dks_problem_name (row.problem);
      EXPECT_EQ (response.field ("type"),
                 std::string ("urn:damaskshore:problem:") + dks_problem_name (row.problem));
      EXPECT_EQ (response.field ("outcome"), dks_outcome_name (row.outcome));
      EXPECT_EQ (response.field ("not_run"), row.outcome == DKS_OUTCOME_REFUSED ? "true" : "");
      EXPECT_EQ (response.field ("retry_after_ms"), "1001");
      EXPECT_EQ (response.header ("Retry-After"), "2");
      EXPECT_EQ (response.header ("Idempotency-Key"), key_a);
    }
  on_event = [&] (const Event &event) {
    reply_problem (event.caller, DKS_OUTCOME_FAILED, DKS_PROBLEM_TASK_FAILED, 0);
  };
  Response response = call ("POST", "/v1/jobs", job_body);
  EXPECT_EQ (response.header ("Retry-After"), "");
  EXPECT_EQ (response.field ("retry_after_ms"), "");
}

/* An answer is complete or failed, never partial: a failed job names its failed tasks and gives no
 * result of the others. */
TEST_F (HttpServer, ListsFailedTasksWithoutResults)
{
  start ();
  on_event = [&] (const Event &event) {
    dks_effect_t effect = {};
    effect.type = DKS_EFFECT_REPLY;
    effect.u.reply.caller = event.caller;
    effect.u.reply.answer =
        dks_answer_create (key_a, DKS_OUTCOME_FAILED, DKS_PROBLEM_TASK_FAILED, 2);
    effect.u.reply.answer->tasks[0].ok = true;
    effect.u.reply.answer->tasks[0].body = dks_blob_create_text ("partial");
    effect.u.reply.answer->tasks[1].problem = DKS_PROBLEM_TARGET_LOST;
    dks_http_server_reply (server, &effect);
    dks_answer_unref (effect.u.reply.answer);
  };
  Response response = call ("POST", "/v1/jobs", job_body);
  EXPECT_EQ (response.status, 502);
  EXPECT_EQ (response.field ("failed_tasks"),
             with_double_quotes ("[{'index':1,'problem':'target-lost'}]"));
  EXPECT_EQ (response.body.find ("partial"), std::string::npos);
}

TEST_F (HttpServer, AnswersAsynchronousSubmissionsAtOnce)
{
  start ();
  on_event = [&] (const Event &event) {
    reply_problem (event.caller, DKS_OUTCOME_ACCEPTED, DKS_PROBLEM_NONE, 0);
  };
  for (const char *prefer : { "respond-async", "wait=10, Respond-Async; x=1", " respond-async " })
    {
      Response response =
          call ("POST", "/v1/jobs", job_body,
                std::string ("Idempotency-Key: ") + key_b + "\r\nPrefer: " + prefer + "\r\n");
      EXPECT_TRUE (events.back ().respond_async) << prefer;
      EXPECT_EQ (response.status, 202);
      EXPECT_EQ (response.header ("Location"), std::string ("/v1/jobs/") + key_b);
      EXPECT_EQ (response.field ("outcome"), "accepted");
    }
  call ("POST", "/v1/jobs", job_body, "Prefer: respond-asynchronous\r\n");
  EXPECT_FALSE (events.back ().respond_async);
}

TEST_F (HttpServer, QueriesAndCancelsByKey)
{
  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "r" }); };
  Response response = call ("GET", std::string ("/v1/jobs/") + key_b);
  EXPECT_EQ (response.field ("results"), "[\"r\"]");
  EXPECT_EQ (events.back ().type, DKS_EVENT_QUERY);
  EXPECT_EQ (events.back ().key, key_b);
  on_event = [&] (const Event &event) {
    reply_problem (event.caller, DKS_OUTCOME_CANCELLED, DKS_PROBLEM_CANCELLED, 0);
  };
  /* '~' may be sent percent-encoded. */
  response = call ("DELETE", "/v1/jobs/dc1%7E1700000000000-b");
  EXPECT_EQ (response.status, 200);
  EXPECT_EQ (response.field ("outcome"), "cancelled");
  EXPECT_EQ (response.field ("not_run"), "");
  EXPECT_EQ (events.back ().type, DKS_EVENT_CANCEL);
  EXPECT_EQ (events.back ().key, key_b);
  EXPECT_EQ (call ("GET", std::string ("/v1/jobs/") + key_b).status, 409);
  on_event = [&] (const Event &event) {
    reply_problem (event.caller, DKS_OUTCOME_CANCELLED, DKS_PROBLEM_CANCELLED_NOT_RUN, 0);
  };
  response = call ("DELETE", std::string ("/v1/jobs/") + key_b);
  EXPECT_EQ (response.status, 200);
  EXPECT_EQ (response.field ("not_run"), "true");
}

TEST_F (HttpServer, RejectsUnknownPathsAndMethods)
{
  start ();
  EXPECT_EQ (call ("GET", "/").status, 404);
  EXPECT_EQ (call ("GET", "/v1/job").status, 404);
  EXPECT_EQ (call ("GET", "/v1/jobsx").status, 404);
  Response response = call ("PUT", "/v1/jobs", job_body);
  EXPECT_EQ (response.status, 405);
  EXPECT_EQ (response.header ("Allow"), "POST");
  EXPECT_EQ (call ("POST", "/v1/settings/x", "{}").header ("Allow"), "DELETE, GET, PUT");
  EXPECT_TRUE (events.empty ());
}

/* Every caller gets the whole answer to its own request. Guards against answers that reach the
 * wrong request of a connection: the second request is sent before the first is answered. */
TEST_F (HttpServer, TwoRequestsOnOneConnectionGetTheirOwnAnswers)
{
  start ();
  Client client (port);
  send_text (
      client,
      request ("POST", "/v1/requests", "{'service':'s','team':'t','task':{'payload':'p1'}}")
          + request ("POST", "/v1/requests", "{'service':'s','team':'t','task':{'payload':'p2'}}"));
  ASSERT_TRUE (run_until ([&] { return events.size () == 1; }));
  for (int i = 0; i < 5; i++)
    turn ();
  ASSERT_EQ (events.size (), 1u);
  uint64_t first = events[0].caller;
  reply_complete (first, { "answer of " + events[0].payload });
  ASSERT_TRUE (run_until ([&] { return events.size () == 2; }));
  EXPECT_NE (events[1].caller, first);
  /* A late second reply to the first caller must not reach the second caller. */
  reply_complete (first, { "late" });
  reply_complete (events[1].caller, { "answer of " + events[1].payload });
  EXPECT_EQ (receive (client).field ("result"), "answer of p1");
  EXPECT_EQ (receive (client).field ("result"), "answer of p2");
  send_text (client, request ("POST", "/v1/requests", single_body));
  ASSERT_TRUE (run_until ([&] { return events.size () == 3; }));
  reply_complete (events[2].caller, { "third" });
  EXPECT_EQ (receive (client).field ("result"), "third");
}

TEST_F (HttpServer, RepliesInReverseOrderReachTheirCallers)
{
  std::vector<Client> clients;

  start ();
  for (int i = 0; i < 50; i++)
    {
      clients.emplace_back (port);
      send_text (clients.back (), request ("POST", "/v1/requests",
                                           "{'service':'s','team':'t','task':{'payload':'"
                                               + std::to_string (i) + "\"}}"));
    }
  ASSERT_TRUE (run_until ([&] { return events.size () == 50; }));
  for (size_t i = events.size (); i-- > 0;)
    reply_complete (events[i].caller, { events[i].payload });
  for (int i = 0; i < 50; i++)
    EXPECT_EQ (receive (clients[static_cast<size_t> (i)]).field ("result"), std::to_string (i));
}

/* Guards against a caller that waits in the listen queue without any reply while all connections
 * are in use. */
TEST_F (HttpServer, AnswersCallersAboveTheConnectionBound)
{
  std::vector<Client> idle;
  Client *waiting;

  config.max_connections = 50;
  start ();
  for (int i = 0; i < 50; i++)
    idle.emplace_back (port);
  waiting = &idle.back ();
  send_text (*waiting, request ("POST", "/v1/jobs", job_body));
  ASSERT_TRUE (run_until ([&] { return events.size () == 1; }));
  for (int i = 0; i < 5; i++)
    {
      Response response =
          call ("POST", "/v1/jobs", job_body, std::string ("Idempotency-Key: ") + key_a + "\r\n");
      EXPECT_EQ (response.status, 503);
      EXPECT_EQ (response.field ("type"), "urn:damaskshore:problem:too-many-connections");
      EXPECT_EQ (response.header ("Retry-After"), "1");
      EXPECT_EQ (response.header ("Connection"), "close");
      EXPECT_EQ (response.field ("not_run"), "");
    }
  EXPECT_EQ (call ("POST", "/v1/jobs", job_body).field ("not_run"), "true");
  EXPECT_EQ (events.size (), 1u);
  /* The callers within max_connections are still served. */
  reply_complete (events[0].caller, { "served" });
  EXPECT_EQ (receive (*waiting).status, 200);
  idle.pop_back ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "" }); };
  EXPECT_TRUE (
      run_until ([&] { return call ("POST", "/v1/jobs", job_body).status == 200; }, 5000000));
}

/* Guards against a new connection that replaces one whose request has arrived and was not read yet:
 * its client would be told that the request did not run, or nothing. */
TEST_F (HttpServer, ConnectionWhoseRequestHasArrivedIsNotReplaced)
{
  config.max_connections = 1;
  config.replaces_waiting = true;
  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "served" }); };
  Client first (port);
  turn ();
  Client second (port);
  send_text (first, request ("POST", "/v1/jobs", job_body));
  EXPECT_EQ (receive (first).status, 200);
  send_text (second, request ("POST", "/v1/jobs", job_body));
  EXPECT_EQ (receive (second).status, 503);
}

TEST_F (HttpServer, NewConnectionReplacesOneThatWaits)
{
  config.max_connections = 1;
  config.replaces_waiting = true;
  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "served" }); };
  Client idle (port);
  turn ();
  EXPECT_EQ (call ("POST", "/v1/jobs", job_body).status, 200);
  EXPECT_EQ (receive (idle).status, 0);
  EXPECT_TRUE (idle.closed);
}

/* Guards against connections above max_connections that send no request, and so use up the ones
 * that the server reserves for replies with 503. */
TEST_F (HttpServer, ClosesSilentConnectionsAboveTheBound)
{
  config.max_connections = 1;
  start ();
  Client held (port);
  turn ();
  Client silent (port);
  int64_t start_us = dks_loop_now ().mono_us;
  EXPECT_EQ (receive (silent).status, 0);
  EXPECT_TRUE (silent.closed);
  EXPECT_LT (dks_loop_now ().mono_us - start_us, 6000000);
  EXPECT_FALSE (held.closed);
}

/* A crowd whose clients send as fast as the server reads. */
class Senders
{
public:
  Senders (int port, size_t count, std::string text) : text_ (std::move (text)), sent_ (count)
  {
    for (size_t i = 0; i < count; i++)
      clients.emplace_back (port);
  }

  void
  send_some ()
  {
    for (size_t i = 0; i < clients.size (); i++)
      {
        ssize_t n =
            send (clients[i].fd, text_.data () + sent_[i], text_.size () - sent_[i], MSG_NOSIGNAL);
        sent_[i] += n > 0 ? static_cast<size_t> (n) : 0;
      }
  }

  std::vector<Client> clients;

private:
  std::string text_;
  std::vector<size_t> sent_;
};

std::string
job_of_480_tasks ()
{
  std::string body = "{'service':'s','team':'t','deadline_ms':1000,'tasks':[";

  for (int i = 0; i < 480; i++)
    body += std::string (i > 0 ? "," : "") + "{'payload':'x'}";
  return body + "]}";
}

/* Guards against a process that sends no status and renews no lease while it handles the requests
 * that have arrived at once. */
TEST_F (HttpServer, CrowdOfLargeJobsLeavesTurnsToOthers)
{
  const size_t turn_max = 10; /* jobs of 480 tasks that one turn handles */
  size_t count = 0;
  size_t most = 0;
  int timer_runs = 0;
  dks_timer_t timer;

  config.max_connections = 400;
  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "" }); };
  Senders crowd (port, 300, request ("POST", "/v1/jobs", job_of_480_tasks ()));
  for (int i = 0; i < 100; i++)
    turn (); /* accepts all connections before they send */
  dks_timer_init (
      &timer, [] (void *context, int64_t now_us) { ++*static_cast<int *> (context); }, &timer_runs);
  for (int turns = 1; events.size () < 300 && turns < 10000; turns++)
    {
      crowd.send_some ();
      dks_timer_set (dks_loop_timers (loop), &timer, dks_loop_now ().mono_us);
      turn ();
      EXPECT_EQ (timer_runs, turns);
      most = std::max (most, events.size () - count);
      count = events.size ();
    }
  EXPECT_EQ (events.size (), 300u);
  EXPECT_LE (most, turn_max);
  for (Client &client : crowd.clients)
    EXPECT_EQ (receive (client).status, 200);
}

/* Guards against pieces of a body that are lost or read twice when its connection waits for its
 * turn between them. */
TEST_F (HttpServer, BodyInChunksArrivesWholeWhenEachTurnReadsLittle)
{
  std::string payload;
  std::string message =
      "POST /v1/jobs HTTP/1.1\r\nHost: localhost\r\nTransfer-Encoding: chunked\r\n\r\n";

  for (int i = 0; i < 5000; i++)
    payload += std::to_string (i);
  std::string body = with_double_quotes (job_body);
  body.replace (body.find ("\"x\""), 3, "\"" + payload + "\"");
  for (size_t at = 0; at < body.size (); at += 16)
    {
      std::string chunk = body.substr (at, 16);
      char length[16];
      snprintf (length, sizeof (length), "%zx\r\n", chunk.size ());
      message += length + chunk + "\r\n";
    }
  message += "0\r\n\r\n";
  config.processor_milli = 10;
  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "" }); };
  Senders crowd (port, 10, message);
  EXPECT_TRUE (run_until ([&] {
    crowd.send_some ();
    return events.size () == 10;
  }));
  for (const Event &event : events)
    EXPECT_EQ (event.payload, payload);
  for (Client &client : crowd.clients)
    EXPECT_EQ (receive (client).status, 200);
  EXPECT_EQ (dks_http_server_open_requests (server), 0u);
}

/* Requests that would wait too long for a turn are refused, and have not run. */
TEST_F (HttpServer, RefusesRequestsWhenTooManyWaitForATurn)
{
  size_t refused = 0;

  config.max_connections = 400;
  config.processor_milli = 10;
  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "" }); };
  Senders crowd (port, 300, request ("POST", "/v1/jobs", job_of_480_tasks ()));
  EXPECT_TRUE (run_until ([&] {
    crowd.send_some ();
    return dks_http_server_open_requests (server) > 0;
  }));
  for (Client &client : crowd.clients)
    {
      Response response;
      EXPECT_TRUE (run_until ([&] {
        crowd.send_some ();
        client.read_available ();
        return client.take_response (response);
      }));
      if (response.status == 200)
        continue;
      refused++;
      EXPECT_EQ (response.status, 503);
      EXPECT_EQ (response.field ("type"), "urn:damaskshore:problem:overloaded");
      EXPECT_EQ (response.field ("not_run"), "true");
      EXPECT_EQ (response.header ("Retry-After"), "1");
    }
  EXPECT_GT (refused, 0u);
  EXPECT_EQ (events.size (), 300 - refused);
  EXPECT_EQ (call ("POST", "/v1/jobs", job_body).status, 200);
}

/* A request that no other waits with is served, however little a turn may do. */
TEST_F (HttpServer, ServesALargeJobThatIsAloneInManyTurns)
{
  config.processor_milli = 1;
  start ();
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "" }); };
  EXPECT_EQ (call ("POST", "/v1/jobs", job_of_480_tasks ()).status, 200);
}

/* A server can be destroyed while requests wait for a turn. */
TEST_F (HttpServer, StopsWhileRequestsWaitForATurn)
{
  config.processor_milli = 10;
  start ();
  Senders crowd (port, 50, request ("POST", "/v1/jobs", job_of_480_tasks ()));
  EXPECT_TRUE (run_until ([&] {
    crowd.send_some ();
    return !events.empty ();
  }));
  stop ();
}

/* Guards against a server that, once it was full, accepts nothing before a connection is idle for
 * too long. */
TEST_F (HttpServer, AcceptsAgainAfterAllConnectionsWereInUse)
{
  config.max_connections = 1;
  start ();
  {
    std::vector<Client> crowd;
    for (int i = 0; i < 100; i++)
      crowd.emplace_back (port);
    for (int i = 0; i < 100; i++)
      turn ();
  }
  EXPECT_TRUE (run_until ([&] { return call ("GET", "/healthz").status == 200; }));
}

TEST_F (HttpServer, ClosesIdleConnections)
{
  config.idle_timeout_s = 1;
  start ();
  Client client (port);
  send_text (client, request ("GET", "/healthz"));
  EXPECT_EQ (receive (client).status, 200);
  EXPECT_EQ (receive (client).status, 0);
  EXPECT_TRUE (client.closed);
}

/* A waiting caller is not idle: its answer may take longer than the idle timeout. */
TEST_F (HttpServer, KeepsWaitingCallersBeyondTheIdleTimeout)
{
  config.idle_timeout_s = 1;
  start ();
  Client client (port);
  send_text (client, request ("POST", "/v1/jobs", job_body));
  ASSERT_TRUE (run_until ([&] { return !events.empty (); }));
  int64_t end = dks_loop_now ().mono_us + 2500000;
  run_until ([&] { return dks_loop_now ().mono_us > end; });
  EXPECT_EQ (events.size (), 1u);
  reply_complete (events[0].caller, { "" });
  EXPECT_EQ (receive (client).status, 200);
}

/* Guards against work that continues for callers that have disconnected, and against a late reply
 * that is sent on a reused connection. */
TEST_F (HttpServer, ReportsCallersThatDisconnect)
{
  start ();
  Client client (port);
  send_text (client, request ("POST", "/v1/jobs", job_body));
  ASSERT_TRUE (run_until ([&] { return events.size () == 1; }));
  client.disconnect ();
  ASSERT_TRUE (run_until ([&] { return events.size () == 2; }));
  EXPECT_EQ (events[1].type, DKS_EVENT_CALLER_GONE);
  EXPECT_EQ (events[1].caller, events[0].caller);
  reply_complete (events[0].caller, { "" });
  EXPECT_TRUE (run_until ([&] { return dks_http_server_open_requests (server) == 0; }));
  on_event = [&] (const Event &event) { reply_complete (event.caller, { "" }); };
  EXPECT_EQ (call ("POST", "/v1/jobs", job_body).status, 200);
  EXPECT_EQ (events.size (), 3u);
}

/* Guards against a run that goes on for a caller that sent its next request early and then left. */
TEST_F (HttpServer, ReportsCallersThatDisconnectAfterAFurtherRequest)
{
  start ();
  Client client (port);
  send_text (client, request ("POST", "/v1/jobs", job_body));
  ASSERT_TRUE (run_until ([&] { return events.size () == 1; }));
  send_text (client, request ("POST", "/v1/jobs", job_body));
  for (int i = 0; i < 5; i++)
    turn ();
  client.disconnect ();
  ASSERT_TRUE (run_until ([&] { return events.size () == 2; }, 2000000));
  EXPECT_EQ (events[1].type, DKS_EVENT_CALLER_GONE);
  EXPECT_EQ (events[1].caller, events[0].caller);
  EXPECT_TRUE (run_until ([&] { return dks_http_server_open_requests (server) == 0; }));
}

/* Guards against an event for a request whose body was cut off by a disconnect. */
TEST_F (HttpServer, IgnoresRequestsThatAreCutOff)
{
  start ();
  Client client (port);
  std::string text = request ("POST", "/v1/jobs", job_body);
  send_text (client, text.substr (0, text.size () - 5));
  for (int i = 0; i < 5; i++)
    turn ();
  EXPECT_EQ (dks_http_server_open_requests (server), 1u);
  client.disconnect ();
  EXPECT_TRUE (run_until ([&] { return dks_http_server_open_requests (server) == 0; }));
  EXPECT_TRUE (events.empty ());
}

TEST_F (HttpServer, StopsWithWaitingCallers)
{
  std::vector<Client> clients;

  start ();
  for (int i = 0; i < 10; i++)
    {
      clients.emplace_back (port);
      send_text (clients.back (), request ("POST", "/v1/jobs", job_body));
    }
  ASSERT_TRUE (run_until ([&] { return events.size () == 10; }));
  stop ();
  EXPECT_EQ (events.size (), 10u);
}

TEST_F (HttpServer, PassesEditsOfTheSettingsTree)
{
  start ();
  on_event = [&] (const Event &event) {
    dks_effect_t effect = {};
    effect.type = DKS_EFFECT_EDIT_REPLY;
    effect.u.edit_reply.caller = event.caller;
    effect.u.edit_reply.version = 7;
    effect.u.edit_reply.instances_total = 3;
    effect.u.edit_reply.instances_in_force = 2;
    snprintf (effect.u.edit_reply.missing_data_centres,
              sizeof (effect.u.edit_reply.missing_data_centres), "dc2");
    dks_http_server_reply (server, &effect);
  };
  Response response = call ("PUT", "/v1/settings/s/dc1/queue_limit", "{'value':12}",
                            "Damaskshore-Actor: ann@example\r\n");
  EXPECT_EQ (response.status, 200);
  EXPECT_EQ (response.body,
             with_double_quotes (
                 "{'version':7,'instances_total':3,'instances_in_force':2,'missing':'dc2'}"));
  ASSERT_EQ (events.size (), 1u);
  EXPECT_STREQ (events[0].edit.actor, "ann@example");
  EXPECT_STREQ (events[0].edit.path, "/s/dc1");
  EXPECT_STREQ (events[0].edit.name, "queue_limit");
  EXPECT_EQ (events[0].edit.value, 12);
  EXPECT_FALSE (events[0].edit.unset);
  call ("DELETE", "/v1/settings/queue_limit", "", "Damaskshore-Actor: ann\r\n");
  EXPECT_STREQ (events[1].edit.path, "/");
  EXPECT_TRUE (events[1].edit.unset);
  /* The command-line tool sends the name of the setting separately from the path. */
  call ("PUT", "/v1/settings/s/dc1/j", "{'name':'queue_limit','value':-3}",
        "Damaskshore-Actor: J\xc3\xb6rg\r\n");
  EXPECT_STREQ (events[2].edit.path, "/s/dc1/j");
  EXPECT_STREQ (events[2].edit.name, "queue_limit");
  EXPECT_EQ (events[2].edit.value, -3);
  EXPECT_STREQ (events[2].edit.actor, "J\xc3\xb6rg");
  call ("DELETE", "/v1/settings/?name=queue_limit", "", "Damaskshore-Actor: ann\r\n");
  EXPECT_STREQ (events[3].edit.path, "/");
  EXPECT_STREQ (events[3].edit.name, "queue_limit");
}

TEST_F (HttpServer, RejectsInvalidEdits)
{
  const std::string actor = "Damaskshore-Actor: ann\r\n";
  const std::string body = "{'value':12}";

  start ();
  EXPECT_NE (call ("PUT", "/v1/settings/queue_limit", body).field ("detail").find ("-Actor"),
             std::string::npos);
  EXPECT_EQ (call ("DELETE", "/v1/settings/queue_limit").status, 400);
  EXPECT_EQ (call ("PUT", "/v1/settings/queue_limit", body,
                   "Damaskshore-Actor: " + std::string (48, 'a') + "\r\n")
                 .status,
             400);
  for (const char *value : { "\xff", "a\tb", "a\x01" })
    EXPECT_EQ (call ("PUT", "/v1/settings/queue_limit", body,
                     std::string ("Damaskshore-Actor: ") + value + "\r\n")
                   .status,
               400)
        << value;
  for (const char *path : { "", "a//queue_limit", "/queue_limit", "queue_limit/", "a/b/c/d/e",
                            "a%2f%00/x%0A", "a/b%20c/queue_limit" })
    EXPECT_EQ (call ("PUT", std::string ("/v1/settings/") + path, body, actor).status, 400) << path;
  for (const char *value : { "", "12", "{}", "{'value':'12'}", "{'value':1.5}", "{'value':1,'x':2}",
                             "{'val':1}", "{'name':'queue_limit'}", "{'name':1,'value':1}" })
    EXPECT_EQ (call ("PUT", "/v1/settings/queue_limit", value, actor).status, 400) << value;
  EXPECT_EQ (call ("PUT", "/v1/settings/queue_limit", std::string (2000, ' '), actor).status, 413);
  EXPECT_TRUE (events.empty ());
}

TEST_F (HttpServer, MapsEditErrorsToStatusCodes)
{
  static const struct
  {
    int error;
    int status;
  } rows[] = {
    { DKS_ERR_INVALID, 400 }, { DKS_ERR_NOT_FOUND, 404 },   { DKS_ERR_CONFLICT, 409 },
    { DKS_ERR_TIMEOUT, 504 }, { DKS_ERR_UNAVAILABLE, 503 }, { DKS_ERR_IO, 504 },
  };

  start ();
  for (const auto &row : rows)
    {
      on_event = [&] (const Event &event) {
        dks_effect_t effect = {};
        effect.type = DKS_EFFECT_EDIT_REPLY;
        effect.u.edit_reply.caller = event.caller;
        effect.u.edit_reply.error = row.error;
        snprintf (effect.u.edit_reply.detail, sizeof (effect.u.edit_reply.detail), "why");
        dks_http_server_reply (server, &effect);
      };
      Response response =
          call ("PUT", "/v1/settings/queue_limit", "{'value':1}", "Damaskshore-Actor: ann\r\n");
      EXPECT_EQ (response.status, row.status) << row.error;
      EXPECT_EQ (response.field ("detail"), "why");
      /* An edit is no submission: it has no outcome that could be taken for "not run". */
      EXPECT_EQ (response.field ("outcome"), "");
    }
}

TEST_F (HttpServer, ServesTheStateOfTheInstance)
{
  start ();
  EXPECT_EQ (call ("GET", "/healthz").body, "ok\n");
  EXPECT_NE (call ("GET", "/metrics").body.find ("\ndamaskshore_http_open_requests 1\n"),
             std::string::npos);
  EXPECT_NE (call ("GET", "/metrics").body.find ("damaskshore_submissions_total 0"),
             std::string::npos);
  EXPECT_EQ (call ("GET", "/v1/status").header ("Content-Type"), "application/json");
  EXPECT_EQ (call ("GET", "/v1/audit").field ("history"), "[]");
  EXPECT_EQ (call ("GET", "/v1/settings").status, 200);
  Response response = call ("GET", "/v1/settings/s/dc1");
  EXPECT_EQ (response.field ("path"), "/s/dc1");
  EXPECT_NE (response.field ("values").find ("\"queue_limit\":4096"), std::string::npos);
  EXPECT_EQ (call ("GET", "/v1/settings/s/queue_limit").field ("values"), "{\"queue_limit\":4096}");
  EXPECT_EQ (call ("GET", "/v1/settings/").field ("path"), "/");
  EXPECT_EQ (call ("GET", "/v1/settings/a/b/c/d").status, 400);
  Client head (port);
  send_text (head, request ("HEAD", "/healthz"));
  EXPECT_TRUE (run_until ([&] {
    head.read_available ();
    return head.received.find ("\r\n\r\n") != std::string::npos;
  }));
  EXPECT_EQ (head.received.find ("HTTP/1.1 200"), 0u);
  EXPECT_TRUE (events.empty ());
}

TEST_F (HttpServer, ClosesConnectionsWhileDraining)
{
  start ();
  on_event = [&] (const Event &event) {
    if (event.type == DKS_EVENT_DRAIN)
      dks_http_server_set_draining (server);
    else
      reply_problem (event.caller, DKS_OUTCOME_REFUSED, DKS_PROBLEM_DRAINING, 1000);
  };
  EXPECT_EQ (call ("POST", "/v1/drain").status, 202);
  ASSERT_EQ (events.size (), 1u);
  EXPECT_EQ (call ("GET", "/healthz").status, 503);
  Client client (port);
  send_text (client, request ("POST", "/v1/jobs", job_body));
  Response response = receive (client);
  EXPECT_EQ (response.status, 503);
  EXPECT_EQ (response.header ("Connection"), "close");
  EXPECT_EQ (receive (client).status, 0);
  EXPECT_TRUE (client.closed);
}

// Guards against connections that are reset at a shutdown because they have not been accepted yet.
TEST_F (HttpServer, AnswersConnectionsNotYetAcceptedWhenItStopsListening)
{
  start ();
  dks_http_server_set_draining (server);
  std::vector<Client> clients;
  for (int i = 0; i < 5; i++)
    {
      clients.emplace_back (port);
      send_text (clients.back (), request ("GET", "/healthz", ""));
    }
  dks_http_server_stop_listening (server);
  for (Client &client : clients)
    EXPECT_EQ (receive (client).status, 503);
  sockaddr_in address = {};
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (static_cast<uint16_t> (port));
  EXPECT_NE (connect (fd, reinterpret_cast<sockaddr *> (&address), sizeof (address)), 0);
  close (fd);
}

TEST_F (HttpServer, RefusesABadOrUsedAddress)
{
  dks_http_server_callbacks_t callbacks = {};
  dks_http_server_t *second = nullptr;

  start ();
  EXPECT_EQ (dks_http_server_create (loop, &config, &callbacks, &second), DKS_ERR_IO);
  config.address = "localhost:80";
  EXPECT_EQ (dks_http_server_create (loop, &config, &callbacks, &second), DKS_ERR_INVALID);
}

std::string
mutate (std::string text, std::mt19937 &random)
{
  static const char *const pieces[] = {
    "\"",          "{",     "}",        "[",       "]",       ",",    ":",
    "null",        "1e999", "-",        "\\u0000", "\\ud800", "\xff", "9999999999999999999999",
    "\"payload\"", "true",  "\"task\"", "0"
  };
  unsigned count = 1 + random () % 4;

  for (unsigned i = 0; i < count && !text.empty (); i++)
    {
      size_t at = random () % text.size ();

      switch (random () % 5)
        {
        case 0:
          text[at] = static_cast<char> (random ());
          break;
        case 1:
          text.erase (at, 1 + random () % 8);
          break;
        case 2:
          text.insert (at, pieces[random () % (sizeof (pieces) / sizeof (pieces[0]))]);
          break;
        case 3:
          text.insert (at, text.substr (random () % text.size (), random () % 40));
          break;
        default:
          text.resize (at);
          break;
        }
    }
  return text;
}

void
check_decoder (const std::string &body, bool is_single, int &accepted)
{
  dks_http_json_context_t context = {};
  dks_submission_t *submission = nullptr;
  char detail[DKS_TEXT_SIZE] = "";

  context.single = is_single;
  context.arrival_wall_ms = 1000;
  context.deadline_default_ms = 50;
  int error =
      dks_http_json_decode_submission (body.data (), body.size (), &context, &submission, detail);
  if (error != DKS_OK)
    {
      ASSERT_EQ (submission, nullptr);
      ASSERT_NE (detail[0], '\0') << body;
      return;
    }
  accepted++;
  ASSERT_GE (submission->task_count, 1u);
  ASSERT_LE (submission->task_count, static_cast<uint32_t> (DKS_TASKS_MAX));
  ASSERT_EQ (submission->single, is_single);
  ASSERT_NE (submission->service[0], '\0');
  ASSERT_NE (submission->team[0], '\0');
  ASSERT_EQ (strchr (submission->service, '/'), nullptr);
  ASSERT_GE (submission->deadline_ms, 1000 + DKS_DEADLINE_MIN_MS);
  ASSERT_LE (submission->deadline_ms, 1000 + DKS_DEADLINE_MAX_MS);
  for (uint32_t i = 0; i < submission->task_count; i++)
    {
      ASSERT_NE (submission->tasks[i].payload, nullptr);
      ASSERT_LE (submission->tasks[i].payload->len, static_cast<size_t> (DKS_PAYLOAD_MAX));
    }
  dks_submission_unref (submission);
}

/* Guards against crashes and unchecked bounds in the decoder; runs seeds 1 to 20. */
TEST (HttpJson, DecoderSurvivesMutatedBodies)
{
  const std::string bodies[] = {
    "{'service':'s','team':'t','deadline_ms':1000,'repeatable':true,'tasks':[{'payload':'x',"
    "'run_ms':5,'cpus':1,'memory_mb':10,'accelerators':0},{'payload':'\\u00e9\\n'}]}",
    "{'service':'s','team':'t','task':{'payload':'x','run_ms':5}}",
  };
  int accepted = 0;

  for (unsigned seed = 1; seed <= 20; seed++)
    {
      std::mt19937 random (seed);
      for (int i = 0; i < 2000; i++)
        {
          bool is_single = random () % 2 == 0;
          check_decoder (mutate (with_double_quotes (bodies[is_single ? 1 : 0]), random), is_single,
                         accepted);
          if (HasFatalFailure ())
            FAIL () << "seed " << seed << ", step " << i;
        }
    }
  /* Some mutations leave a valid body; without those the test would check only errors. */
  EXPECT_GT (accepted, 100);
}

/* Guards against a new problem without a title. */
TEST (HttpJson, EveryProblemHasItsOwnTitle)
{
  for (int i = DKS_PROBLEM_NONE + 1; i < DKS_PROBLEM_COUNT; i++)
    {
      dks_http_problem_t problem = {};
      char *text;

      /* MOVED is sent only between instances. */
      if (i == DKS_PROBLEM_MOVED)
        continue;
      problem.name = dks_problem_name (static_cast<dks_problem_t> (i));
      text = dks_http_json_encode_problem (&problem);
      EXPECT_EQ (std::string (text).find ("The work is not complete"), std::string::npos) << text;
      free (text);
    }
}

/* Guards against a crash when text from outside is truncated within a UTF-8 character. */
TEST (HttpJson, EncodesAnyText)
{
  dks_answer_t *answer = dks_answer_create ("k\xff", DKS_OUTCOME_ACCEPTED, DKS_PROBLEM_NONE, 0);
  char *text;

  snprintf (answer->detail, sizeof (answer->detail), "cut \xc3");
  text = dks_http_json_encode_answer (answer, false);
  EXPECT_STREQ (text,
                with_double_quotes ("{'key':'k?','outcome':'accepted','detail':'cut ?'}").c_str ());
  free (text);
  dks_answer_unref (answer);
}

} // namespace
