#include "cluster.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <curl/curl.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace process
{

namespace
{

using clock = std::chrono::steady_clock;

const char *
program_path (const char *variable)
{
  const char *path = getenv (variable);

  if (path == nullptr)
    {
      fprintf (stderr, "%s is not set; run this test with meson\n", variable);
      abort ();
    }
  return path;
}

void
sleep_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

size_t
handle_body (char *data, size_t size, size_t count, void *context)
{
  static_cast<Reply *> (context)->body.append (data, size * count);
  return size * count;
}

size_t
handle_header (char *data, size_t size, size_t count, void *context)
{
  std::string line (data, size * count);
  size_t colon = line.find (':');

  if (colon != std::string::npos)
    {
      std::string name = line.substr (0, colon);
      std::string value = line.substr (colon + 1);
      std::transform (name.begin (), name.end (), name.begin (), ::tolower);
      value.erase (0, value.find_first_not_of (" \t"));
      value.erase (value.find_last_not_of (" \t\r\n") + 1);
      static_cast<Reply *> (context)->headers[name] = value;
    }
  return size * count;
}

bool
port_is_free (int port)
{
  sockaddr_in address = {};
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  bool ok;

  address.sin_family = AF_INET;
  address.sin_port = htons (static_cast<uint16_t> (port));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on));
  ok = bind (fd, reinterpret_cast<sockaddr *> (&address), sizeof (address)) == 0;
  close (fd);
  return ok;
}

int64_t
get_stat (const std::string &url, const char *name)
{
  Reply reply = http ("GET", url);
  json_ptr stats = reply.json ();

  EXPECT_EQ (200, reply.status) << url;
  return json_integer_value (json_object_get (stats.get (), name));
}

std::string
loopback_url (int port, const std::string &path)
{
  return "http://127.0.0.1:" + std::to_string (port) + path;
}

std::string
payload (const std::string &key, int run_ms, int index)
{
  return "{\"run_ms\":" + std::to_string (run_ms) + ",\"echo\":\"" + key + "/"
         + std::to_string (index) + "\"}";
}

json_t *
task (const std::string &key, int run_ms, int index)
{
  return json_pack ("{s:s,s:i}", "payload", payload (key, run_ms, index).c_str (), "run_ms",
                    run_ms);
}

std::string
dump_json (json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  std::string result = text;

  free (text);
  json_decref (value);
  return result;
}

}

json_ptr
Reply::json () const
{
  return json_ptr (json_loadb (body.data (), body.size (), 0, nullptr), json_decref);
}

std::string
Reply::field (const char *name) const
{
  json_ptr object = json ();
  const json_t *value = json_object_get (object.get (), name);

  if (json_is_string (value))
    return json_string_value (value);
  if (json_is_integer (value))
    return std::to_string (json_integer_value (value));
  return json_is_true (value) ? "true" : "";
}

Reply
http (const std::string &method, const std::string &url, const std::string &body,
      const std::vector<std::string> &headers, std::chrono::milliseconds timeout)
{
  static const CURLcode initialized = curl_global_init (CURL_GLOBAL_DEFAULT);
  Reply reply;
  CURL *easy = curl_easy_init ();
  curl_slist *list = curl_slist_append (nullptr, "Expect:");
  long status = 0;
  CURLcode code;

  EXPECT_EQ (CURLE_OK, initialized);
  for (const std::string &header : headers)
    list = curl_slist_append (list, header.c_str ());
  curl_easy_setopt (easy, CURLOPT_URL, url.c_str ());
  if (method != "GET")
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, static_cast<long> (body.size ()));
      curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, body.c_str ());
      curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method.c_str ());
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, handle_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &reply);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, handle_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &reply);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, static_cast<long> (timeout.count ()));
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  code = curl_easy_perform (easy);
  if (code == CURLE_OK)
    {
      curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
      reply.status = static_cast<int> (status);
    }
  reply.lost = code != CURLE_OK && code != CURLE_COULDNT_CONNECT;
  curl_slist_free_all (list);
  curl_easy_cleanup (easy);
  return reply;
}

bool
eventually (const std::function<bool ()> &condition)
{
  clock::time_point until = clock::now () + DEADLINE;

  while (!condition ())
    {
      if (clock::now () > until)
        return false;
      sleep_ms (20);
    }
  return true;
}

Process::Process (const std::vector<std::string> &arguments) : name_ (arguments[0])
{
  std::vector<char *> argv;

  for (const std::string &argument : arguments)
    argv.push_back (const_cast<char *> (argument.c_str ()));
  argv.push_back (nullptr);
  if (posix_spawn (&pid_, argv[0], nullptr, nullptr, argv.data (), environ) != 0)
    {
      fprintf (stderr, "cannot start %s\n", argv[0]);
      abort ();
    }
}

Process::~Process ()
{
  int status = 0;

  if (ended_)
    return;
  if (!signalled_ && waitpid (pid_, &status, WNOHANG) == pid_)
    {
      ADD_FAILURE () << name_ << " ended by itself with wait status " << status;
      return;
    }
  kill (pid_, SIGKILL);
  waitpid (pid_, nullptr, 0);
}

void
Process::signal (int number)
{
  signalled_ = true;
  if (!ended_)
    kill (pid_, number);
}

int
Process::wait ()
{
  int status = 0;

  if (!ended_)
    {
      ended_ = eventually ([&] { return waitpid (pid_, &status, WNOHANG) == pid_; });
      if (!ended_)
        return -1;
      status_ = WIFSIGNALED (status) ? 128 + WTERMSIG (status) : WEXITSTATUS (status);
    }
  return status_;
}

int
free_ports (int count)
{
  /* These ports are below the range that the kernel gives to outgoing connections. The search
   * starts at a port that depends on the process id, so that tests that run at the same time rarely
   * meet. */
  static int next = 20000 + getpid () % 110 * 100;

  for (int tries = 0; tries < 1000; tries++)
    {
      int first = next;
      int i = 0;
      next = next + count < 31000 ? next + count : 20000;
      while (i < count && port_is_free (first + i))
        i++;
      if (i == count)
        return first;
    }
  fprintf (stderr, "no %d free ports\n", count);
  abort ();
}

Platform::Platform (const std::string &instances, const std::vector<std::string> &flags)
    : port_ (free_ports (1))
{
  char name[] = "/tmp/damaskshore-test-XXXXXX";
  int fd = mkstemp (name);
  std::vector<std::string> arguments = { program_path ("PLATFORM_STANDIN"), "--address",
                                         "127.0.0.1:" + std::to_string (port_), "--instances",
                                         name };

  file_ = name;
  EXPECT_EQ (static_cast<ssize_t> (instances.size ()),
             write (fd, instances.data (), instances.size ()));
  close (fd);
  arguments.insert (arguments.end (), flags.begin (), flags.end ());
  process_ = std::make_unique<Process> (arguments);
  EXPECT_TRUE (eventually ([&] { return http ("GET", url ("/stats")).status == 200; }));
}

Platform::~Platform ()
{
  unlink (file_.c_str ());
}

std::string
Platform::url (const std::string &path) const
{
  return loopback_url (port_, path);
}

void
Platform::control (const std::string &query) const
{
  EXPECT_EQ (200, http ("POST", url ("/control?" + query)).status) << query;
}

int64_t
Platform::stat (const char *name) const
{
  return get_stat (url ("/stats"), name);
}

Targets::Targets (int count, int slots)
    : first_port_ (free_ports (count + 1)), control_port_ (first_port_ + count)
{
  process_ = std::make_unique<Process> (std::vector<std::string>{
      program_path ("TARGET_STANDIN"), "--first-port", std::to_string (first_port_), "--count",
      std::to_string (count), "--slots", std::to_string (slots), "--control-port",
      std::to_string (control_port_) });
  EXPECT_TRUE (eventually ([&] { return http ("GET", url ("/stats")).status == 200; }));
}

int
Targets::port (int i) const
{
  return first_port_ + i;
}

std::string
Targets::url (const std::string &path) const
{
  return loopback_url (control_port_, path);
}

void
Targets::control (const std::string &query) const
{
  EXPECT_EQ (200, http ("POST", url ("/control?" + query)).status) << query;
}

int64_t
Targets::stat (const char *name) const
{
  return get_stat (url ("/stats"), name);
}

std::map<std::string, int>
Targets::starts () const
{
  std::istringstream lines (http ("GET", url ("/tasks")).body);
  std::map<std::string, int> result;
  std::string name;
  int starts;
  int refusals;

  while (lines >> name >> starts >> refusals)
    result[name] = starts;
  return result;
}

Cluster::Cluster (int instances, int targets, int slots,
                  const std::vector<std::string> &platform_flags)
    : http_port_ (free_ports (2 * instances)), targets_ (std::make_unique<Targets> (targets, slots))
{
  json_t *list = json_array ();

  for (int i = 0; i < targets; i++)
    json_array_append_new (
        list, json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "id",
                         ("target-" + std::to_string (i)).c_str (), "address",
                         ("127.0.0.1:" + std::to_string (targets_->port (i))).c_str (),
                         "data_centre", "north", "state", "live", "kind", "target", "slots", slots,
                         "cpus", 16, "memory_mb", 32768, "accelerators", 0));
  for (int i = 0; i < instances; i++)
    json_array_append_new (
        list,
        json_pack ("{s:s,s:s,s:s,s:s,s:s}", "id", ("entry-" + std::to_string (i)).c_str (),
                   "address", ("127.0.0.1:" + std::to_string (http_port_ + instances + i)).c_str (),
                   "data_centre", "north", "state", "live", "kind", "entry"));
  platform_ = std::make_unique<Platform> (dump_json (list), platform_flags);
  for (int i = 0; i < instances; i++)
    instances_.push_back (std::make_unique<Process> (std::vector<std::string>{
        program_path ("DAMASKSHORED"), "--id", "entry-" + std::to_string (i), "--data-centre",
        "north", "--http-address", "127.0.0.1:" + std::to_string (http_port_ + i), "--peer-address",
        "127.0.0.1:" + std::to_string (http_port_ + instances + i), "--platform-url",
        platform_->url (), "--log-level", "warning" }));
}

std::string
Cluster::url (int instance, const std::string &path) const
{
  return loopback_url (http_port_ + instance, path);
}

int64_t
Cluster::metric (int instance, const std::string &name) const
{
  std::string line = "\ndamaskshore_" + name + " ";
  std::string metrics = http ("GET", url (instance, "/metrics")).body;
  size_t found = metrics.find (line);

  EXPECT_NE (std::string::npos, found) << name;
  return found != std::string::npos ? atoll (metrics.c_str () + found + line.size ()) : 0;
}

std::vector<int>
Cluster::all () const
{
  std::vector<int> result;

  for (int i = 0; i < instance_count (); i++)
    result.push_back (i);
  return result;
}

bool
Cluster::is_settled (const std::vector<int> &instances) const
{
  json_ptr view (
      json_loads (http ("GET", platform_->url ("/kv/view/north")).field ("value").c_str (), 0,
                  nullptr),
      json_decref);
  const json_t *members = json_object_get (view.get (), "members");
  const json_t *shards = json_object_get (view.get (), "shards");
  /* The id of a member of the view is "ID#INCARNATION". */
  auto is_live = [&] (const char *member) {
    return std::any_of (instances.begin (), instances.end (), [&] (int i) {
      std::string id = "entry-" + std::to_string (i) + "#";
      return member != nullptr && strncmp (member, id.c_str (), id.size ()) == 0;
    });
  };
  size_t i;
  json_t *item;

  if (json_array_size (members) != instances.size () || json_array_size (shards) == 0)
    return false;
  json_array_foreach (members, i, item)
  {
    if (!is_live (json_string_value (json_object_get (item, "id"))))
      return false;
  }
  json_array_foreach (shards, i, item)
  {
    if (!is_live (json_string_value (json_object_get (item, "owner")))
        || (instances.size () > 1
            && !is_live (json_string_value (json_object_get (item, "backup")))))
      return false;
  }
  return true;
}

void
Cluster::wait_until_ready () const
{
  ASSERT_TRUE (eventually ([&] { return is_settled (all ()); }))
      << http ("GET", platform_->url ("/kv/view/north")).body;
  /* 40 keys for each instance are enough to reach every shard through every instance. */
  for (int i = 0; i < instance_count (); i++)
    {
      Batch batch (*this, { i }, 40, 1);
      for (const Outcome &outcome : batch.outcomes ())
        ASSERT_EQ ("complete", outcome.outcome) << outcome.key << ": " << outcome.last.body;
    }
}

std::string
new_key ()
{
  static std::atomic<int> next (0);
  char text[64];
  int64_t wall_ms = std::chrono::duration_cast<std::chrono::milliseconds> (
                        std::chrono::system_clock::now ().time_since_epoch ())
                        .count ();

  snprintf (text, sizeof (text), "%013lld-test-%d-%d", static_cast<long long> (wall_ms),
            static_cast<int> (getpid ()), next++);
  return text;
}

std::string
request_body (const std::string &key, int run_ms, int deadline_ms)
{
  return dump_json (json_pack ("{s:s,s:s,s:i,s:o}", "service", "lexicon", "team", "players",
                               "deadline_ms", deadline_ms, "task", task (key, run_ms, 0)));
}

std::string
job_body (const std::string &key, int run_ms, int tasks)
{
  json_t *list = json_array ();

  for (int i = 0; i < tasks; i++)
    json_array_append_new (list, task (key, run_ms, i));
  return dump_json (json_pack ("{s:s,s:s,s:i,s:o}", "service", "roasting", "team", "pricing",
                               "deadline_ms", 30000, "tasks", list));
}

bool
is_complete_answer (const Reply &reply, const std::string &key, int tasks)
{
  json_ptr answer = reply.json ();
  const json_t *results = json_object_get (answer.get (), "results");

  if (reply.status != 200 || reply.field ("key") != key || reply.field ("outcome") != "complete")
    return false;
  if (results == nullptr)
    return tasks == 1 && reply.field ("result") == key + "/0";
  if (json_array_size (results) != static_cast<size_t> (tasks))
    return false;
  for (int i = 0; i < tasks; i++)
    {
      const char *text = json_string_value (json_array_get (results, static_cast<size_t> (i)));
      if (text == nullptr || key + "/" + std::to_string (i) != text)
        return false;
    }
  return true;
}

Outcome
submit (const Cluster &cluster, const std::vector<int> &entries, const std::string &key, int run_ms,
        int deadline_ms)
{
  clock::time_point until = clock::now () + DEADLINE;
  Outcome outcome;

  outcome.key = key;
  for (size_t i = 0; clock::now () < until; i++)
    {
      Reply reply = http ("POST", cluster.url (entries[i % entries.size ()], "/v1/requests"),
                          request_body (key, run_ms, deadline_ms), { "Idempotency-Key: " + key });
      if (reply.status != 0)
        outcome.last = reply;
      if (reply.status != 0 && reply.field ("not_run") != "true")
        {
          outcome.outcome = reply.field ("outcome");
          return outcome;
        }
      outcome.refusals += reply.status != 0;
      sleep_ms (50);
    }
  return outcome;
}

struct Batch::Threads
{
  std::vector<std::thread> list;
};

Batch::Batch (const Cluster &cluster, const std::vector<int> &entries, int count, int run_ms,
              int deadline_ms)
    : outcomes_ (static_cast<size_t> (count)), threads_ (std::make_unique<Threads> ())
{
  for (size_t i = 0; i < outcomes_.size (); i++)
    {
      std::vector<int> order = entries;
      std::rotate (order.begin (), order.begin () + static_cast<long> (i % order.size ()),
                   order.end ());
      threads_->list.emplace_back ([this, &cluster, order, i, run_ms, deadline_ms] {
        outcomes_[i] = submit (cluster, order, new_key (), run_ms, deadline_ms);
      });
    }
}

const std::vector<Outcome> &
Batch::outcomes ()
{
  for (std::thread &thread : threads_->list)
    {
      if (thread.joinable ())
        thread.join ();
    }
  return outcomes_;
}

Batch::~Batch ()
{
  outcomes ();
}

}
