/**
 * Processes for tests: starts the stand-ins and instances on loopback ports, talks HTTP to them and
 * ends them by their process id.
 */
#ifndef DKS_TESTS_PROCESS_CLUSTER_H
#define DKS_TESTS_PROCESS_CLUSTER_H

#include <chrono>
#include <functional>
#include <jansson.h>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace process
{

/** Deadline of everything that must happen in the end. Generous, because machines are busy and the
 * sanitizers are slow; no test passes or fails by a shorter time. */
constexpr std::chrono::seconds DEADLINE (60);

using json_ptr = std::unique_ptr<json_t, void (*) (json_t *)>;

struct Reply
{
  int status = 0;    /**< HTTP status code; 0 when there was no reply */
  bool lost = false; /**< the connection was made and broke, or timed out */
  std::string body;
  std::map<std::string, std::string> headers; /**< names in lower case */

  json_ptr json () const;
  /** Member of the body as text; empty when it is missing. Numbers and marks are formatted. */
  std::string field (const char *name) const;
};

Reply http (const std::string &method, const std::string &url, const std::string &body = "",
            const std::vector<std::string> &headers = {},
            std::chrono::milliseconds timeout = DEADLINE);

/** Calls `condition` until it is true; returns false after DEADLINE. */
bool eventually (const std::function<bool ()> &condition);

/** A child process; killed and waited for by the destructor, which fails the test when the process
 * has ended without a signal of the test. */
class Process
{
public:
  explicit Process (const std::vector<std::string> &arguments);
  ~Process ();
  Process (const Process &) = delete;
  Process &operator= (const Process &) = delete;

  void signal (int number);
  /** Waits for the end; returns the exit status, 128 + signal, or -1 after DEADLINE. */
  int wait ();

private:
  std::string name_;
  pid_t pid_;
  bool signalled_ = false;
  bool ended_ = false;
  int status_ = 0;
};

/** First of `count` free consecutive ports. */
int free_ports (int count);

class Platform
{
public:
  Platform (const std::string &instances, const std::vector<std::string> &flags = {});

  std::string url (const std::string &path = "") const;
  void control (const std::string &query) const;
  int64_t stat (const char *name) const;

private:
  int port_;
  std::string file_;
  std::unique_ptr<Process> process_;

public:
  ~Platform ();
};

class Targets
{
public:
  Targets (int count, int slots);

  int port (int i) const;
  std::string url (const std::string &path) const;
  void control (const std::string &query) const;
  int64_t stat (const char *name) const;
  /** Starts of each task, by the header Damaskshore-Task. */
  std::map<std::string, int> starts () const;

private:
  int first_port_;
  int control_port_;
  std::unique_ptr<Process> process_;
};

/** One data centre: `instances` instances and `targets` targets. */
class Cluster
{
public:
  Cluster (int instances, int targets, int slots = 8,
           const std::vector<std::string> &platform_flags = {});

  /** Whether the view has exactly these instances and each shard has an owner and, with more than
   * one instance, a backup among them. */
  bool is_settled (const std::vector<int> &instances) const;
  /** Waits until the view is settled and every instance answers requests; fails the test otherwise.
   */
  void wait_until_ready () const;
  std::string url (int instance, const std::string &path) const;
  /** Counter of an instance, named without the prefix "damaskshore_". */
  int64_t metric (int instance, const std::string &name) const;
  Process &
  instance (int i)
  {
    return *instances_[static_cast<size_t> (i)];
  }
  /** All instances. */
  std::vector<int> all () const;
  int
  instance_count () const
  {
    return static_cast<int> (instances_.size ());
  }
  Platform &
  platform ()
  {
    return *platform_;
  }
  Targets &
  targets ()
  {
    return *targets_;
  }

private:
  int http_port_;
  std::unique_ptr<Targets> targets_;
  std::unique_ptr<Platform> platform_;
  std::vector<std::unique_ptr<Process>> instances_;
};

/** New idempotency key, unique on this machine. */
std::string new_key ();
/** Body of a submission; task i runs `run_ms` and echoes "KEY/i". */
std::string request_body (const std::string &key, int run_ms, int deadline_ms = 30000);
std::string job_body (const std::string &key, int run_ms, int tasks);
/** Whether `reply` is the complete answer of the submission: each result is its own task's echo. */
bool is_complete_answer (const Reply &reply, const std::string &key, int tasks);

/** What became of one submission that was resubmitted until it had a final answer. */
struct Outcome
{
  std::string key;
  std::string outcome; /**< "" when no instance gave a final answer in time */
  Reply last;
  int refusals = 0;
};

/** Submits a request through `entries` in turn until an answer is final. Refusals (not run) and
 * lost connections are followed by a resubmission with the same key. */
Outcome submit (const Cluster &cluster, const std::vector<int> &entries, const std::string &key,
                int run_ms, int deadline_ms = 30000);
/** submit() of `count` new keys at the same time, a thread for each. */
class Batch
{
public:
  Batch (const Cluster &cluster, const std::vector<int> &entries, int count, int run_ms,
         int deadline_ms = 30000);
  /** Waits for all outcomes. */
  const std::vector<Outcome> &outcomes ();
  ~Batch ();

private:
  struct Threads;
  std::vector<Outcome> outcomes_;
  std::unique_ptr<Threads> threads_;
};

}

#endif
