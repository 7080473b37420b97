#include <gtest/gtest.h>

extern "C"
{
#include "common/counters.h"
#include "common/error.h"
#include "core/key.h"
#include "core/settings.h"
#include "damaskshore/answer.h"
#include "damaskshore/cli.h"
#include "damaskshore/commands.h"
}

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <microhttpd.h>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

// Raw strings are not used because the formatter, set to an earlier C++ standard, breaks them.
std::string
json (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

struct Request
{
  std::string method;
  std::string url;
  std::string query_name;
  std::string key;
  std::string prefer;
  std::string actor;
  std::string body;
};

struct Reply
{
  unsigned status = 200;
  std::string body = "";
  std::string retry_after = "";
  bool lost = false; // close the connection without a reply after the request was received
};

// HTTP server on a free loopback port that records requests and answers each with `answer`.
class Server
{
public:
  explicit Server (std::function<Reply (const Request &)> answer) : answer_ (std::move (answer))
  {
    sockaddr_in address = {};

    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    daemon_ = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr, handle, this,
                                MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
    EXPECT_NE (daemon_, nullptr);
  }
  ~Server ()
  {
    MHD_stop_daemon (daemon_);
  }
  Server (const Server &) = delete;
  Server &operator= (const Server &) = delete;

  std::string
  url () const
  {
    return "http://127.0.0.1:"
           + std::to_string (MHD_get_daemon_info (daemon_, MHD_DAEMON_INFO_BIND_PORT)->port);
  }

  std::vector<Request>
  requests ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return requests_;
  }

private:
  static std::string
  value (MHD_Connection *connection, MHD_ValueKind kind, const char *name)
  {
    const char *text = MHD_lookup_connection_value (connection, kind, name);
    return text != nullptr ? text : "";
  }

  static MHD_Result
  handle (void *context, MHD_Connection *connection, const char *url, const char *method,
          const char *version, const char *data, size_t *len, void **state)
  {
    auto *server = static_cast<Server *> (context);
    auto *request = static_cast<Request *> (*state);

    if (request == nullptr)
      {
        *state = new Request{ method,
                              url,
                              value (connection, MHD_GET_ARGUMENT_KIND, "name"),
                              value (connection, MHD_HEADER_KIND, "Idempotency-Key"),
                              value (connection, MHD_HEADER_KIND, "Prefer"),
                              value (connection, MHD_HEADER_KIND, "Damaskshore-Actor"),
                              "" };
        return MHD_YES;
      }
    if (*len > 0)
      {
        request->body.append (data, *len);
        *len = 0;
        return MHD_YES;
      }
    Request received = *request;
    delete request;
    *state = nullptr;
    {
      std::lock_guard<std::mutex> lock (server->mutex_);
      server->requests_.push_back (received);
    }
    Reply reply = server->answer_ (received);
    if (reply.lost)
      return MHD_NO;
    MHD_Response *response = MHD_create_response_from_buffer (
        reply.body.size (), const_cast<char *> (reply.body.data ()), MHD_RESPMEM_MUST_COPY);
    if (!reply.retry_after.empty ())
      MHD_add_response_header (response, "Retry-After", reply.retry_after.c_str ());
    MHD_Result result = MHD_queue_response (connection, reply.status, response);
    MHD_destroy_response (response);
    return result;
  }

  std::function<Reply (const Request &)> answer_;
  std::mutex mutex_;
  std::vector<Request> requests_;
  MHD_Daemon *daemon_;
};

// URL of a loopback port that nothing listens on.
std::string
closed_url ()
{
  sockaddr_in address = {};
  socklen_t len = sizeof (address);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  EXPECT_EQ (bind (fd, reinterpret_cast<sockaddr *> (&address), len), 0);
  EXPECT_EQ (getsockname (fd, reinterpret_cast<sockaddr *> (&address), &len), 0);
  close (fd);
  return "http://127.0.0.1:" + std::to_string (ntohs (address.sin_port));
}

struct Output
{
  int exit_code;
  std::string out;
  std::string err;
};

Output
run (std::vector<std::string> args, const char *env_server = nullptr, bool progress = false)
{
  dks_cli_t cli = {};
  std::vector<char *> argv;
  char *out = nullptr;
  char *err = nullptr;
  size_t out_len = 0;
  size_t err_len = 0;
  Output result;

  args.insert (args.begin (), "damaskshore");
  for (auto &arg : args)
    argv.push_back (&arg[0]);
  argv.push_back (nullptr);
  cli.out = open_memstream (&out, &out_len);
  cli.err = open_memstream (&err, &err_len);
  cli.env_server = env_server;
  cli.env_actor = "alice";
  cli.progress = progress;
  result.exit_code = dks_cli_run (&cli, static_cast<int> (args.size ()), argv.data ());
  fclose (cli.out);
  fclose (cli.err);
  result.out.assign (out, out_len);
  result.err.assign (err, err_len);
  free (out);
  free (err);
  return result;
}

std::vector<std::string>
submit (const std::vector<std::string> &more)
{
  std::vector<std::string> args = { "submit", "--service", "words", "--team", "blue" };

  args.insert (args.end (), more.begin (), more.end ());
  return args;
}

class File
{
public:
  explicit File (const std::string &content)
  {
    int fd = mkstemp (name_);
    EXPECT_EQ (write (fd, content.data (), content.size ()),
               static_cast<ssize_t> (content.size ()));
    close (fd);
  }
  ~File ()
  {
    unlink (name_);
  }
  std::string
  name () const
  {
    return name_;
  }

private:
  char name_[32] = "/tmp/test_cli.XXXXXX";
};

const char key_text[] = "1764800000123-order-77";

// Guards against an unsorted table of commands, in which the binary search does not find some of
// them.
TEST (Cli, TableIsSortedAndComplete)
{
  size_t count;
  const dks_command_t *commands = dks_commands (&count);

  for (size_t i = 0; i < count; i++)
    {
      if (i > 0)
        {
          EXPECT_LT (std::string (commands[i - 1].name), std::string (commands[i].name));
        }
      EXPECT_EQ (dks_command_find (commands[i].name), &commands[i]);
    }
  for (const char *name : { "audit", "cancel", "counters", "drain", "explain", "settings diff",
                            "settings get", "settings history", "settings set", "settings unset",
                            "settings validate", "status", "submit", "version" })
    EXPECT_NE (dks_command_find (name), nullptr) << name;
  EXPECT_EQ (dks_command_find ("settings"), nullptr);
}

TEST (Cli, EveryCommandHasHelpAndRefusesUnknownOptions)
{
  size_t count;
  const dks_command_t *commands = dks_commands (&count);

  for (size_t i = 0; i < count; i++)
    {
      std::string name = commands[i].name;
      size_t space = name.find (' ');
      std::vector<std::string> args = { name.substr (0, space) };

      if (space != std::string::npos)
        args.push_back (name.substr (space + 1));
      args.push_back ("--help");
      Output help = run (args);
      EXPECT_EQ (help.exit_code, DKS_EXIT_OK) << name;
      EXPECT_EQ (help.out.rfind ("Usage: damaskshore " + name, 0), 0u) << help.out;
      args.back () = "--no-such-option";
      Output bad = run (args);
      EXPECT_EQ (bad.exit_code, DKS_EXIT_USAGE) << name;
      EXPECT_EQ (bad.out, "");
    }
}

std::string
read_source (const std::string &name)
{
  const char *root = getenv ("DKS_SOURCE_ROOT");
  std::ifstream file (std::string (root != nullptr ? root : ".") + "/" + name);
  std::stringstream text;

  EXPECT_TRUE (file.good ()) << name << " not found; set DKS_SOURCE_ROOT";
  text << file.rdbuf ();
  return text.str ();
}

// Guards against a man page that is out of date: it repeats the tables of the code.
TEST (Cli, ManPageHasEveryCommandSettingAndExitCode)
{
  std::string page = read_source ("damaskshore/damaskshore.1.scd");
  size_t count;
  const dks_command_t *commands = dks_commands (&count);

  for (size_t i = 0; i < count; i++)
    EXPECT_NE (page.find ("\n*" + std::string (commands[i].name) + "*"), std::string::npos)
        << commands[i].name;
  for (int code = DKS_EXIT_OK; code <= DKS_EXIT_DIFFERENT; code++)
    EXPECT_NE (page.find ("\n*" + std::to_string (code) + "*\n"), std::string::npos) << code;
#define EXPECT_ROW(field, name, value, min, max, help)                                             \
  EXPECT_NE (page.find ("|  " name "\n:  " #value "\n:  " #min " to " #max "\n"),                  \
             std::string::npos)                                                                    \
      << name;
  DKS_SETTINGS (EXPECT_ROW)
#undef EXPECT_ROW
}

// Guards against names that operators cannot look up in the operations page.
TEST (Cli, OperationsPageHasEveryProblemSettingAndCounter)
{
  std::string page = read_source ("docs/OPERATIONS.md");

  for (int i = DKS_PROBLEM_NONE + 1; i < DKS_PROBLEM_COUNT; i++)
    EXPECT_NE (
        page.find (std::string ("`") + dks_problem_name (static_cast<dks_problem_t> (i)) + "`"),
        std::string::npos)
        << dks_problem_name (static_cast<dks_problem_t> (i));
  for (int i = 0; i < DKS_COUNTER_COUNT; i++)
    EXPECT_NE (
        page.find (std::string ("`") + dks_counter_name (static_cast<dks_counter_t> (i)) + "`"),
        std::string::npos)
        << dks_counter_name (static_cast<dks_counter_t> (i));
#define EXPECT_SETTING(field, name, value, min, max, help)                                         \
  EXPECT_NE (page.find ("| `" name "` | " #value " | " #min " to " #max " |"), std::string::npos)  \
      << name;
  DKS_SETTINGS (EXPECT_SETTING)
#undef EXPECT_SETTING
}

TEST (Cli, UsageErrorsHaveTheirExitCodeAndSendNothing)
{
  Server server ([] (const Request &) { return Reply{}; });
  std::string url = server.url ();
  std::vector<std::string> too_many (DKS_TASKS_MAX + 1, "x");
  std::string lines;
  for (int i = 0; i <= DKS_TASKS_MAX; i++)
    lines += "x\n";
  File too_many_lines (lines);
  File no_payload (json ("[{'run_ms':3}]"));
  File no_array (json ("{'payload':'x'}"));
  File no_utf8 ("\xff\n");
  File empty ("");
  const std::vector<std::vector<std::string>> cases = {
    {},
    { "no-such-command" },
    { "settings" },
    { "settings", "no-such-command" },
    { "submit" },
    { "submit", "--service", "words", "x" },
    submit ({}),
    submit ({ "--key", "order-77", "x" }),
    submit ({ "--key", key_text, "--data-centre", "dc1", "x" }),
    submit ({ "--data-centre", "d c", "x" }),
    submit ({ "--data-centre", std::string (48, 'd'), "x" }),
    submit ({ "--deadline-ms", "9", "x" }),
    submit ({ "--deadline-ms", "3600001", "x" }),
    submit ({ "--deadline-ms", "1e3", "x" }),
    submit ({ "--deadline-ms", "", "x" }),
    submit ({ "--run-ms", "-1", "x" }),
    submit ({ "--cpus", "99999999999999999999", "x" }),
    submit ({ "--repeatable", "x" }),
    submit ({ "--request", "x", "y" }),
    submit ({ "--lines", empty.name () }),
    submit ({ "--lines", empty.name (), "x" }),
    submit ({ "--lines", too_many_lines.name () }),
    submit ({ "--lines", no_utf8.name () }),
    submit ({ "--lines", "/nonexistent/file" }),
    submit ({ "--tasks", no_payload.name () }),
    submit ({ "--tasks", no_array.name () }),
    submit ({ "--tasks", empty.name () }),
    submit ({ "\xff" }),
    submit (too_many),
    { "status", "order-77" },
    { "cancel" },
    { "cancel", "order-77" },
    { "settings", "set", "/", "team_weight" },
    { "settings", "set", "/", "team_weight", "x" },
    { "settings", "set", "words", "team_weight", "3" },
    { "settings", "set", "--actor", "", "/", "team_weight", "3" },
    { "settings", "set", "--actor", std::string (48, 'a'), "/", "team_weight", "3" },
    { "settings", "set", "--actor", "a\r\nb: c", "/", "team_weight", "3" },
    { "settings", "unset", "/" },
    { "settings", "get", "words" },
    { "settings", "validate" },
    { "counters", "--server", "127.0.0.1:8080" },
  };

  for (const auto &args : cases)
    {
      std::string shown;
      for (const auto &arg : args)
        shown += arg + " ";
      Output result = run (args, url.c_str ());
      EXPECT_EQ (result.exit_code, DKS_EXIT_USAGE) << shown;
      EXPECT_NE (result.err, "") << shown;
      EXPECT_EQ (result.out, "") << shown;
    }
  EXPECT_TRUE (server.requests ().empty ());
}

TEST (Cli, ExitCodeFollowsTheAnswer)
{
  const struct
  {
    unsigned status;
    const char *body;
    int exit_code;
  } cases[] = {
    { 200, "{'outcome':'complete','results':['r']}", DKS_EXIT_OK },
    { 200, "{'outcome':'complete','result':'r'}", DKS_EXIT_OK },
    { 202, "{'outcome':'accepted'}", DKS_EXIT_PENDING },
    { 502, "{'outcome':'failed','type':'urn:damaskshore:problem:task-failed'}", DKS_EXIT_FAILED },
    { 422, "{'outcome':'failed','type':'urn:damaskshore:problem:key-reused'}", DKS_EXIT_FAILED },
    { 503, "{'outcome':'refused','type':'urn:damaskshore:problem:queue-full'}", DKS_EXIT_REFUSED },
    { 429, "{'outcome':'refused','type':'urn:damaskshore:problem:quota-exceeded'}",
      DKS_EXIT_REFUSED },
    { 504, "{'outcome':'unknown','type':'urn:damaskshore:problem:owner-lost'}", DKS_EXIT_UNKNOWN },
    { 410, "{'outcome':'unknown','type':'urn:damaskshore:problem:key-expired'}", DKS_EXIT_UNKNOWN },
    { 409, "{'outcome':'cancelled','type':'urn:damaskshore:problem:cancelled'}",
      DKS_EXIT_CANCELLED },
    { 200, "{'outcome':'cancelled'}", DKS_EXIT_CANCELLED },
    { 404, "{'outcome':'unknown','type':'urn:damaskshore:problem:not-found'}", DKS_EXIT_NOT_FOUND },
    // Without an outcome, only the rejection of an invalid request is certain.
    { 400, "{'type':'urn:damaskshore:problem:bad-request'}", DKS_EXIT_REFUSED },
    { 413, "{'type':'urn:damaskshore:problem:too-large'}", DKS_EXIT_REFUSED },
    { 404, "{'type':'urn:damaskshore:problem:not-found'}", DKS_EXIT_UNKNOWN },
    { 200, "{'results':['r']}", DKS_EXIT_UNKNOWN },
    { 200, "{'outcome':'no-such-outcome','results':['r']}", DKS_EXIT_UNKNOWN },
    // Replies that are not an instance's answer prove nothing about the work.
    { 400, "{'error':'no route'}", DKS_EXIT_UNKNOWN },
    { 404, "not found", DKS_EXIT_UNKNOWN },
    { 200, "not JSON", DKS_EXIT_UNKNOWN },
    { 200, "['r']", DKS_EXIT_UNKNOWN },
    { 200, "{}", DKS_EXIT_UNKNOWN },
  };

  for (const auto &one : cases)
    {
      Server server ([&one] (const Request &) { return Reply{ one.status, json (one.body) }; });
      for (bool as_json : { false, true })
        {
          std::vector<std::string> args = submit ({ "--server", server.url (), "x" });
          if (as_json)
            args.push_back ("--json");
          Output result = run (args);
          EXPECT_EQ (result.exit_code, one.exit_code) << one.status << " " << one.body;
          if (!as_json)
            {
              EXPECT_EQ (result.out, one.exit_code == DKS_EXIT_OK ? "r\n" : "") << one.body;
            }
        }
      EXPECT_EQ (run ({ "status", key_text, "--server", server.url () }).exit_code, one.exit_code);
      EXPECT_EQ (run ({ "cancel", key_text, "--server", server.url () }).exit_code, one.exit_code);
    }
}

// Guards against a partial answer that is taken for complete: an answer of a job must be complete
// or failed.
TEST (Cli, AnswerWithMissingResultsIsNotComplete)
{
  Server server ([] (const Request &) {
    return Reply{ 200, json ("{'outcome':'complete','results':['a']}") };
  });
  Output result = run (submit ({ "--server", server.url (), "x", "y" }));

  EXPECT_EQ (result.exit_code, DKS_EXIT_UNKNOWN);
  EXPECT_EQ (result.out, "");
  EXPECT_NE (result.err.find ("1 results for 2 tasks"), std::string::npos) << result.err;
}

TEST (Cli, SubmitSendsTheDocumentedRequest)
{
  Server server ([] (const Request &request) {
    return Reply{ 200, request.url == "/v1/jobs"
                           ? json ("{'outcome':'complete','results':['1','two\\nlines',{'a':3}]}")
                           : json ("{'outcome':'complete','result':'1'}") };
  });
  File tasks (json ("[{'payload':'a','run_ms':7},{'payload':'b'},{'payload':'c'}]"));
  Output job = run (submit ({ "--server", server.url () + "/", "--tasks", tasks.name (), "--run-ms",
                              "50", "--deadline-ms", "5000", "--data-centre", "dc1" }));
  Output request = run (submit ({ "--server", server.url (), "--request", "--repeatable", "--async",
                                  "--key", key_text, "payload" }));
  std::vector<Request> got = server.requests ();
  dks_key_t key;

  EXPECT_EQ (job.exit_code, DKS_EXIT_OK) << job.err;
  EXPECT_EQ (job.out, json ("1\ntwo\nlines\n{'a':3}\n"));
  EXPECT_EQ (request.exit_code, DKS_EXIT_OK) << request.err;
  ASSERT_EQ (got.size (), 2u);
  EXPECT_EQ (got[0].method, "POST");
  EXPECT_EQ (got[0].url, "/v1/jobs");
  EXPECT_EQ (got[0].prefer, "");
  ASSERT_EQ (dks_key_parse (got[0].key.c_str (), &key), DKS_OK) << got[0].key;
  EXPECT_STREQ (key.data_centre, "dc1");
  EXPECT_EQ (job.err, "key: " + got[0].key + "\n");
  json_t *body = json_loads (got[0].body.c_str (), 0, nullptr);
  int64_t deadline_ms = json_integer_value (json_object_get (body, "deadline_ms"));
  EXPECT_GT (deadline_ms, 4000);
  EXPECT_LE (deadline_ms, 5000);
  json_object_del (body, "deadline_ms");
  char *text = json_dumps (body, JSON_COMPACT | JSON_SORT_KEYS);
  EXPECT_EQ (text, json ("{'service':'words','tasks':[{'payload':'a','run_ms':7},"
                         "{'payload':'b','run_ms':50},{'payload':'c','run_ms':50}],"
                         "'team':'blue'}"));
  free (text);
  json_decref (body);
  EXPECT_EQ (got[1].url, "/v1/requests");
  EXPECT_EQ (got[1].key, key_text);
  EXPECT_EQ (got[1].prefer, "respond-async");
  EXPECT_EQ (got[1].body, json ("{'service':'words','team':'blue','repeatable':true,"
                                "'task':{'payload':'payload'}}"));
}

TEST (Cli, AsyncSubmitIsDoneWhenAccepted)
{
  Server server ([] (const Request &) {
    return Reply{ 202, json ("{'outcome':'accepted','key':'k'}") };
  });

  EXPECT_EQ (run (submit ({ "--server", server.url (), "--async", "x" })).exit_code, DKS_EXIT_OK);
}

TEST (Cli, LinesAreTasksInOrder)
{
  Server server ([] (const Request &) {
    return Reply{ 200, json ("{'outcome':'complete','results':['1','2','3']}") };
  });
  File lines ("a\n\nc \"d\"");
  Output result = run (submit ({ "--server", server.url (), "--lines", lines.name (), "--json" }));

  EXPECT_EQ (result.exit_code, DKS_EXIT_OK) << result.err;
  EXPECT_NE (server.requests ()[0].body.find (
                 json ("[{'payload':'a'},{'payload':''},{'payload':'c \\'d\\''}]")),
             std::string::npos)
      << server.requests ()[0].body;
  EXPECT_EQ (result.out, json ("{'outcome':'complete','results':['1','2','3'],'key':'"
                               + server.requests ()[0].key + "'}\n"));
}

// Guards against a retry with a new key: after a lost connection the work may be running, and a new
// key would run it twice.
TEST (Cli, LostConnectionIsRetriedWithTheSameKeyAtTheNextServer)
{
  Server first ([] (const Request &) { return Reply{ 0, "", "", true }; });
  Server second ([] (const Request &) {
    return Reply{ 200, json ("{'outcome':'complete','results':['r']}") };
  });
  Output result = run (submit ({ "--server", first.url (), "--server", second.url (), "x" }));

  EXPECT_EQ (result.exit_code, DKS_EXIT_OK) << result.err;
  EXPECT_EQ (result.out, "r\n");
  ASSERT_EQ (first.requests ().size (), 1u);
  ASSERT_EQ (second.requests ().size (), 1u);
  EXPECT_EQ (first.requests ()[0].key, second.requests ()[0].key);
}

TEST (Cli, UnansweredSubmissionIsUnknownOnlyIfItWasSent)
{
  Server lost ([] (const Request &) { return Reply{ 0, "", "", true }; });
  Output sent = run (submit ({ "--server", closed_url (), "--server", lost.url (), "x" }));
  Output unsent = run (submit ({ "--server", closed_url (), "--server", closed_url (), "x" }));

  EXPECT_EQ (sent.exit_code, DKS_EXIT_UNKNOWN) << sent.err;
  EXPECT_NE (sent.err.find ("may have run"), std::string::npos);
  EXPECT_EQ (lost.requests ().size (), 3u);
  EXPECT_EQ (unsent.exit_code, DKS_EXIT_UNREACHABLE) << unsent.err;
  EXPECT_NE (unsent.err.find ("nothing was sent"), std::string::npos);
}

// Guards against a reply of a load balancer that is taken for a refusal: a load balancer answers
// 503 or 502 also when an instance fails after it was sent the request, so the work may have run.
TEST (Cli, ServerErrorOfALoadBalancerIsNoRefusal)
{
  Server balancer ([] (const Request &) { return Reply{ 503, "<html>no server</html>" }; });
  Server instance ([] (const Request &) {
    return Reply{ 200, json ("{'outcome':'complete','results':['r']}") };
  });
  Output alone = run (submit ({ "--server", balancer.url (), "x" }));
  Output both = run (submit ({ "--server", balancer.url (), "--server", instance.url (), "x" }));

  EXPECT_EQ (alone.exit_code, DKS_EXIT_UNKNOWN) << alone.err;
  EXPECT_EQ (both.exit_code, DKS_EXIT_OK) << both.err;
  EXPECT_EQ (
      run ({ "settings", "set", "/", "team_weight", "3", "--server", balancer.url () }).exit_code,
      DKS_EXIT_UNKNOWN);
}

// Guards against a false refusal: an overloaded instance has not accepted the request, so it may be
// sent to another one. But the overloaded instance does not know of an earlier submission with the
// same key, whose work may be running.
TEST (Cli, OverloadedInstanceIsRefusalOnlyForWorkThatWasNotSentBefore)
{
  Server overloaded ([] (const Request &) {
    return Reply{ 503, json ("{'type':'urn:damaskshore:problem:overloaded'}") };
  });
  Server lost ([] (const Request &) { return Reply{ 0, "", "", true }; });
  Server bad ([] (const Request &) {
    return Reply{ 400, json ("{'type':'urn:damaskshore:problem:bad-request'}") };
  });
  Server instance ([] (const Request &) {
    return Reply{ 200, json ("{'outcome':'complete','results':['r']}") };
  });

  EXPECT_EQ (run (submit ({ "--server", overloaded.url (), "x" })).exit_code, DKS_EXIT_REFUSED);
  EXPECT_EQ (run (submit ({ "--server", overloaded.url (), "--key", key_text, "x" })).exit_code,
             DKS_EXIT_UNKNOWN);
  EXPECT_EQ (
      run (submit ({ "--server", lost.url (), "--server", overloaded.url (), "x" })).exit_code,
      DKS_EXIT_UNKNOWN);
  EXPECT_EQ (run (submit ({ "--server", lost.url (), "--server", bad.url (), "x" })).exit_code,
             DKS_EXIT_UNKNOWN);
  EXPECT_EQ (
      run (submit ({ "--server", overloaded.url (), "--server", instance.url (), "x" })).exit_code,
      DKS_EXIT_OK);
  EXPECT_EQ (run ({ "status", key_text, "--server", overloaded.url () }).exit_code,
             DKS_EXIT_UNKNOWN);
}

TEST (Cli, BinaryResultsAreShownEncoded)
{
  Server server ([] (const Request &request) {
    return Reply{ 200, request.url == "/v1/requests"
                           ? json ("{'outcome':'complete','result_base64':'/w=='}")
                           : json ("{'outcome':'complete','results':[{'result_base64':'/w=='}]}") };
  });

  EXPECT_EQ (run (submit ({ "--server", server.url (), "x" })).out,
             json ("{'result_base64':'/w=='}\n"));
  EXPECT_EQ (run (submit ({ "--server", server.url (), "--request", "x" })).out,
             json ("{'result_base64':'/w=='}\n"));
}

TEST (Cli, FailedTasksAreListed)
{
  Server server ([] (const Request &) {
    return Reply{ 502, json ("{'outcome':'failed','type':'urn:damaskshore:problem:task-failed',"
                             "'failed_tasks':[{'index':1,'problem':'task-failed'}]}") };
  });

  EXPECT_EQ (run ({ "status", key_text, "--server", server.url () }).err,
             "damaskshore: failed: task-failed\ndamaskshore: task 1: task-failed\n");
}

// Guards against a retry that extends the deadline: the deadline is relative to the arrival of the
// request, so a retry must send the time that remains.
TEST (Cli, RepeatedSubmissionHasLessTimeLeft)
{
  Server lost ([] (const Request &) {
    std::this_thread::sleep_for (std::chrono::milliseconds (120));
    return Reply{ 0, "", "", true };
  });
  Output result = run (submit ({ "--server", lost.url (), "--deadline-ms", "2000", "x" }));
  std::vector<int64_t> deadlines;

  EXPECT_EQ (result.exit_code, DKS_EXIT_UNKNOWN);
  for (const auto &request : lost.requests ())
    {
      json_t *body = json_loads (request.body.c_str (), 0, nullptr);
      deadlines.push_back (json_integer_value (json_object_get (body, "deadline_ms")));
      json_decref (body);
    }
  ASSERT_EQ (deadlines.size (), 3u);
  EXPECT_LE (deadlines[1], deadlines[0] - 100);
  EXPECT_LE (deadlines[2], deadlines[1] - 100);
}

TEST (Cli, RefusalShowsReasonAndRetryTimeWithoutControlCharacters)
{
  Server server ([] (const Request &) {
    return Reply{ 503,
                  json ("{'type':'urn:damaskshore:problem:queue-full','outcome':'refused',"
                        "'detail':'full\\u001b[2J'}"),
                  "2" };
  });
  Output text = run (submit ({ "--server", server.url (), "--key", key_text, "x" }));
  Output as_json = run (submit ({ "--server", server.url (), "--key", key_text, "--json", "x" }));

  EXPECT_EQ (text.exit_code, DKS_EXIT_REFUSED);
  EXPECT_EQ (text.err, std::string ("key: ") + key_text
                           + "\ndamaskshore: refused: queue-full: full?[2J (retry after 2 s)\n");
  EXPECT_EQ (as_json.exit_code, DKS_EXIT_REFUSED);
  json_t *body = json_loads (as_json.out.c_str (), 0, nullptr);
  EXPECT_STREQ (json_string_value (json_object_get (body, "key")), key_text);
  EXPECT_EQ (json_integer_value (json_object_get (body, "retry_after_s")), 2);
  json_decref (body);
}

// Guards against a progress line in standard error when it is not a terminal, where scripts read
// it.
TEST (Cli, ProgressLineOnlyOnATerminal)
{
  Server server ([] (const Request &) {
    std::this_thread::sleep_for (std::chrono::milliseconds (2200));
    return Reply{ 200, json ("{'outcome':'complete','results':['r']}") };
  });
  Output terminal;
  Output file;
  std::thread other ([&] { file = run (submit ({ "--server", server.url (), "x" })); });

  terminal = run (submit ({ "--server", server.url (), "x" }), nullptr, true);
  other.join ();
  EXPECT_EQ (terminal.exit_code, DKS_EXIT_OK);
  EXPECT_NE (terminal.err.find ("waiting for"), std::string::npos) << terminal.err;
  EXPECT_EQ (terminal.out, "r\n");
  EXPECT_EQ (file.exit_code, DKS_EXIT_OK);
  EXPECT_EQ (file.err.find ("waiting for"), std::string::npos) << file.err;
}

TEST (Cli, ServersOfTheEnvironmentAreUsedUnlessGiven)
{
  Server a ([] (const Request &) { return Reply{ 200, "a 1\n" }; });
  Server b ([] (const Request &) { return Reply{ 200, "b 2\n" }; });
  std::string list = closed_url () + ", " + b.url ();

  Output from_env = run ({ "counters", "--json" }, list.c_str ());
  EXPECT_EQ (from_env.exit_code, DKS_EXIT_OK) << from_env.err;
  EXPECT_EQ (from_env.out, json ("{'b':2}\n"));
  Output given = run ({ "counters", "--json", "--server", a.url () }, list.c_str ());
  EXPECT_EQ (given.out, json ("{'a':1}\n"));
}

TEST (Cli, CountersReadsThePrometheusFormat)
{
  Server server ([] (const Request &request) {
    return Reply{ 200, request.url == "/metrics"
                           ? "# HELP a_total Help 3\n# TYPE a_total counter\na_total 3\n"
                             "b{x=\"y z\"} 1.5\n"
                           : "" };
  });
  Output result = run ({ "counters", "--json", "--server", server.url () });

  EXPECT_EQ (result.exit_code, DKS_EXIT_OK);
  EXPECT_EQ (result.out, "{\"a_total\":3,\"b{x=\\\"y z\\\"}\":\"1.5\"}\n");
}

// Guards against the drain of a second instance: with a list of servers, a request whose connection
// is lost could be sent again to the next server.
TEST (Cli, DrainNeedsExactlyOneServer)
{
  Server a ([] (const Request &) { return Reply{ 202, "{}" }; });
  Server b ([] (const Request &) { return Reply{ 202, "{}" }; });

  EXPECT_EQ (run ({ "drain", "--server", a.url (), "--server", b.url () }).exit_code,
             DKS_EXIT_USAGE);
  EXPECT_TRUE (a.requests ().empty ());
  EXPECT_TRUE (b.requests ().empty ());
  EXPECT_EQ (run ({ "drain", "--server", a.url () }).exit_code, DKS_EXIT_OK);
  ASSERT_EQ (a.requests ().size (), 1u);
  EXPECT_EQ (a.requests ()[0].method + a.requests ()[0].url, "POST/v1/drain");
}

TEST (Cli, EditsSendTheDocumentedRequest)
{
  Server server ([] (const Request &) {
    return Reply{ 200, json ("{'version':4,'instances_total':3,'instances_in_force':2,"
                             "'missing':'dc2'}") };
  });
  Output set =
      run ({ "settings", "set", "/words/dc1", "team_weight", "3", "--server", server.url () });
  Output unset = run (
      { "settings", "unset", "--actor", "bob", "/", "team weight&x", "--server", server.url () });
  std::vector<Request> got = server.requests ();

  EXPECT_EQ (set.exit_code, DKS_EXIT_OK) << set.err;
  EXPECT_EQ (set.out, "version 4 accepted, in force at 2 of 3 instances\n");
  EXPECT_NE (set.err.find ("dc2"), std::string::npos);
  EXPECT_EQ (unset.exit_code, DKS_EXIT_OK) << unset.err;
  ASSERT_EQ (got.size (), 2u);
  EXPECT_EQ (got[0].method + got[0].url, "PUT/v1/settings/words/dc1");
  EXPECT_EQ (got[0].actor, "alice");
  EXPECT_EQ (got[0].body, json ("{'name':'team_weight','value':3}"));
  EXPECT_EQ (got[1].method + got[1].url, "DELETE/v1/settings/");
  EXPECT_EQ (got[1].actor, "bob");
  EXPECT_EQ (got[1].query_name, "team weight&x");
}

TEST (Cli, ExitCodesOfEdits)
{
  const struct
  {
    unsigned status;
    const char *type;
    int exit_code;
  } cases[] = {
    { 400, "bad-request", DKS_EXIT_REFUSED }, { 409, "conflict", DKS_EXIT_REFUSED },
    { 404, "not-found", DKS_EXIT_NOT_FOUND }, { 503, "unavailable", DKS_EXIT_REFUSED },
    { 504, "timeout", DKS_EXIT_UNKNOWN },
  };

  for (const auto &one : cases)
    {
      Server server ([&one] (const Request &) {
        return Reply{ one.status,
                      json (std::string ("{'type':'urn:damaskshore:problem:") + one.type + "'}") };
      });
      EXPECT_EQ (
          run ({ "settings", "set", "/", "team_weight", "3", "--server", server.url () }).exit_code,
          one.exit_code)
          << one.status;
    }
}

// Guards against an edit that is sent twice: the second copy could undo a change that was made in
// between.
TEST (Cli, EditIsNotRepeatedAfterALostConnection)
{
  Server lost ([] (const Request &) { return Reply{ 0, "", "", true }; });
  Server next ([] (const Request &) { return Reply{ 200, json ("{'version':4}") }; });
  Output result = run ({ "settings", "set", "/", "team_weight", "3", "--server", lost.url (),
                         "--server", next.url () });

  EXPECT_EQ (result.exit_code, DKS_EXIT_UNKNOWN);
  EXPECT_EQ (lost.requests ().size (), 1u);
  EXPECT_TRUE (next.requests ().empty ());
  // Nothing was sent to a server that cannot be reached, so the next one may get the edit.
  EXPECT_EQ (run ({ "settings", "set", "/", "team_weight", "3", "--server", closed_url (),
                    "--server", next.url () })
                 .exit_code,
             DKS_EXIT_OK);
  EXPECT_EQ (next.requests ().size (), 1u);
}

const char record_text[] = "{'version':2,'overrides':{'/':{'team_weight':3},"
                           "'/words':{'queue_limit':5,'team_weight':4}},'history':["
                           "{'version':1,'at_ms':1764800000123,'id':'i1','actor':'alice',"
                           "'path':'/','name':'team_weight','from':'','to':'3'},"
                           "{'version':2,'at_ms':1764800001123,'id':'i2','actor':'bob',"
                           "'path':'/words','name':'team_weight','from':'','to':'4'}]}";

TEST (Cli, ValidateNamesPathAndReason)
{
  File good (json (record_text));
  File bad (json ("{'version':1,'overrides':{'/words':{'team_weight':0}},'history':[]}"));
  Output valid = run ({ "settings", "validate", good.name () });
  Output invalid = run ({ "settings", "validate", bad.name () });

  EXPECT_EQ (valid.exit_code, DKS_EXIT_OK) << valid.err;
  EXPECT_EQ (valid.out, good.name () + ": valid, version 2\n");
  EXPECT_EQ (invalid.exit_code, DKS_EXIT_FAILED);
  EXPECT_NE (invalid.err.find ("/words: team_weight must be 1 to 10000, not 0"), std::string::npos)
      << invalid.err;
  EXPECT_EQ (run ({ "settings", "validate", "/nonexistent/file" }).exit_code, DKS_EXIT_FAILED);
}

TEST (Cli, DiffComparesWithTheServerOrAnotherFile)
{
  Server server ([] (const Request &request) {
    return Reply{ request.url == "/v1/settings" ? 200u : 404u, json (record_text) };
  });
  File same (json (record_text));
  File other (json ("{'version':9,'overrides':{'/':{'team_weight':3,'team_quota':8},"
                    "'/words':{'team_weight':5}},'history':[]}"));
  Output equal = run ({ "settings", "diff", same.name (), "--server", server.url () });
  Output different = run ({ "settings", "diff", other.name (), "--server", server.url () });
  Output offline =
      run ({ "settings", "diff", "--json", other.name (), same.name () }, closed_url ().c_str ());

  EXPECT_EQ (equal.exit_code, DKS_EXIT_OK) << equal.err;
  EXPECT_EQ (equal.out, "");
  EXPECT_EQ (different.exit_code, DKS_EXIT_DIFFERENT) << different.err;
  EXPECT_EQ (different.out, "/words queue_limit 5 -> -\n/words team_weight 4 -> 5\n"
                            "/ team_quota - -> 8\n");
  EXPECT_EQ (offline.exit_code, DKS_EXIT_DIFFERENT) << offline.err;
  EXPECT_NE (offline.out.find (json ("{'path':'/','name':'team_quota','from':8,'to':null}")),
             std::string::npos)
      << offline.out;
}

TEST (Cli, GetShowsOverridesOrEffectiveValues)
{
  Server server ([] (const Request &request) {
    if (request.url == "/v1/settings")
      return Reply{ 200, json (record_text) };
    return Reply{ request.url == "/v1/settings/words" ? 200u : 404u,
                  json ("{'path':'/words','version':2,'values':{'team_weight':4}}") };
  });

  EXPECT_EQ (run ({ "settings", "get", "--server", server.url () }).out,
             "version 2\n/ team_weight = 3\n/words queue_limit = 5\n/words team_weight = 4\n");
  EXPECT_EQ (run ({ "settings", "get", "/words", "--server", server.url () }).out,
             "team_weight = 4\n");
  EXPECT_EQ (run ({ "settings", "get", "/roast", "--server", server.url () }).exit_code,
             DKS_EXIT_NOT_FOUND);
}

// Guards against a damaged record of the server that is shown as if it were valid; it must be
// checked as a record file is.
TEST (Cli, DamagedRecordOfTheServerIsReported)
{
  Server server ([] (const Request &) { return Reply{ 200, json ("{'version':2}") }; });
  Output result = run ({ "settings", "history", "--server", server.url () });

  EXPECT_EQ (result.exit_code, DKS_EXIT_FAILED);
  EXPECT_EQ (result.out, "");
  EXPECT_NE (result.err.find ("overrides is missing"), std::string::npos) << result.err;
}

TEST (Cli, HistoryAndAuditListChanges)
{
  Server server ([] (const Request &request) {
    std::string record = json (record_text);
    if (request.url == "/v1/settings")
      return Reply{ 200, record };
    size_t at = record.find ('[');
    return Reply{ 200, json ("{'version':2,'history':")
                           + record.substr (at, record.size () - 1 - at) + "}" };
  });
  const std::string first = "1 2025-12-03T22:13:20Z alice / team_weight - 3\n";
  const std::string second = "2 2025-12-03T22:13:21Z bob /words team_weight - 4\n";

  EXPECT_EQ (run ({ "settings", "history", "--server", server.url () }).out, first + second);
  EXPECT_EQ (run ({ "settings", "history", "/words", "--server", server.url () }).out, second);
  EXPECT_EQ (run ({ "audit", "--server", server.url () }).out, first + second);
}

} // namespace

// The output begins with the decision that ended the job; the lines of all logs that contain the id
// of the job follow in the order of time.
TEST (Cli, ExplainPrintsTheDecisionThenAllLinesInOrder)
{
  File entry ("<6>damaskshore: time=5.200000 instance=a-1 event=answer job=77aa answer=9\n"
              "<6>damaskshore: time=5.300000 instance=a-1 event=answer job=99cc answer=9\n");
  File leader ("<5>damaskshore: time=5.000000 instance=a-2 event=start-rejected task=77aa.0.0.1\n"
               "<6>damaskshore: time=5.100000 instance=a-2 event=job-refused job=77aa "
               "reason=\"no room in time\"\n");
  Output result = run ({ "explain", "77aa", entry.name (), leader.name () });

  EXPECT_EQ (result.exit_code, DKS_EXIT_OK);
  EXPECT_EQ (result.out.rfind ("decision: <6>damaskshore: time=5.100000 instance=a-2 "
                               "event=job-refused",
                               0),
             0U)
      << result.out;
  EXPECT_LT (result.out.find ("event=start-rejected"), result.out.find ("event=answer"));
  EXPECT_EQ (result.out.find ("99cc"), std::string::npos);
  EXPECT_EQ (run ({ "explain", "1234", entry.name () }).exit_code, DKS_EXIT_NOT_FOUND);
  EXPECT_NE (run ({ "explain", "1234", "/nonexistent" }).exit_code, DKS_EXIT_OK);
}
