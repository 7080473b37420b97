/**
 * Processes for tests: starts the stand-ins and instances on loopback ports, sends HTTP requests to
 * them and ends them by their process id.
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

/** Timeout of every wait for a condition or reply that must come. It is long because machines are
 * busy and the sanitizers are slow; no test passes or fails by a shorter timeout. */
constexpr std::chrono::seconds DEADLINE (60);

using json_ptr = std::unique_ptr<json_t, void (*) (json_t *)>;

struct Reply
{
  int status = 0;    /**< HTTP status code; 0 when there was no reply */
  bool lost = false; /**< the connection was made, but broke or timed out before a reply */
  std::string body;
  std::map<std::string, std::string> headers; /**< names in lower case */

  json_ptr json () const;
  /** Member of the JSON body as text: a string as it is, an integer in decimal, true as "true", and
   * anything else, or a missing member, as "". */
  std::string field (const char *name) const;
};

Reply http (const std::string &method, const std::string &url, const std::string &body = "",
            const std::vector<std::string> &headers = {},
            std::chrono::milliseconds timeout = DEADLINE);

/** Polls `condition` until it is true; returns false when it is still false after DEADLINE. */
bool eventually (const std::function<bool ()> &condition);

/** A child process. The destructor kills it and waits for it; it fails the test when the process
 * has ended although the test sent it no signal. */
class Process
{
public:
  explicit Process (const std::vector<std::string> &arguments);
  ~Process ();
  Process (const Process &) = delete;
  Process &operator= (const Process &) = delete;

  void signal (int number);
  /** Waits for the end of the process. Returns its exit status, or 128 + the signal that ended it,
   * or -1 when it still runs after DEADLINE. */
  int wait ();
  pid_t
  pid () const
  {
    return pid_;
  }

private:
  std::string name_;
  pid_t pid_;
  bool signalled_ = false;
  bool ended_ = false;
  int status_ = 0;
};

/** Returns the first of `count` consecutive free ports. */
int free_ports (int count);

class Platform
{
public:
  Platform (const std::string &instances, const std::vector<std::string> &flags = {});

  std::string url (const std::string &path = "") const;
  void control (const std::string &query) const;
  int64_t stat (const char *name) const;
  /** Ends the platform without a warning. */
  void
  kill ()
  {
    process_->signal (9);
  }

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
  /** Number of starts of each task, by the value of the header Damaskshore-Task. */
  std::map<std::string, int> starts () const;

private:
  int first_port_;
  int control_port_;
  std::unique_ptr<Process> process_;
};

/** One data centre with `instances` instances and `targets` targets of `slots` slots each. */
class Cluster
{
public:
  Cluster (int instances, int targets, int slots = 8,
           const std::vector<std::string> &platform_flags = {});

  /** Whether the view has exactly these instances, each shard has one of them as its owner and,
   * with more than one instance, each shard has one of them as its backup. */
  bool is_settled (const std::vector<int> &instances) const;
  /** Waits until the view is settled and every instance answers requests; fails the test when this
   * takes longer than DEADLINE. */
  void wait_until_ready () const;
  std::string url (int instance, const std::string &path) const;
  int
  http_port (int instance) const
  {
    return http_port_ + instance;
  }
  int
  peer_port (int instance) const
  {
    return http_port_ + instance_count () + instance;
  }
  /** Value of a counter of an instance; `name` is without the prefix "damaskshore_". */
  int64_t metric (int instance, const std::string &name) const;
  Process &
  instance (int i)
  {
    return *instances_[static_cast<size_t> (i)];
  }
  /** Numbers of all instances, from 0. */
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

/** New idempotency key, unique on this host. */
std::string new_key ();
/** JSON body of a submission; task i runs for `run_ms` and its result is "KEY/i". */
std::string request_body (const std::string &key, int run_ms, int deadline_ms = 30000);
std::string job_body (const std::string &key, int run_ms, int tasks);
/** Whether `reply` is the complete answer of the submission: it has `tasks` results, and the result
 * of task i is "KEY/i". */
bool is_complete_answer (const Reply &reply, const std::string &key, int tasks);

/** Result of one submission that was resubmitted until an answer was final. */
struct Outcome
{
  std::string key;
  std::string outcome; /**< "" when no instance gave a final answer in time */
  Reply last;
  int refusals = 0;
};

/** Submits a request through the instances `entries` in turn until an answer is final, or DEADLINE
 * has passed. After a refusal (not run) or a lost connection it resubmits with the same key. */
Outcome submit (const Cluster &cluster, const std::vector<int> &entries, const std::string &key,
                int run_ms, int deadline_ms = 30000);
/** Calls submit() for `count` new keys at the same time, in a thread for each key. */
class Batch
{
public:
  Batch (const Cluster &cluster, const std::vector<int> &entries, int count, int run_ms,
         int deadline_ms = 30000);
  /** Waits until every submission has its outcome. */
  const std::vector<Outcome> &outcomes ();
  ~Batch ();

private:
  struct Threads;
  std::vector<Outcome> outcomes_;
  std::unique_ptr<Threads> threads_;
};

}

#endif
