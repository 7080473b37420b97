// A world of instances, targets under lease and callers in virtual time, for tests of the dispatch
// to leased targets. There is no network and no process. The fake targets keep the rules of the
// platform's protocol, and the world counts any moment at which two runs of one task are at work.
#ifndef DKS_TESTS_LEASED_WORLD_H
#define DKS_TESTS_LEASED_WORLD_H

extern "C"
{
#include "core/reducer.h"
}

#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace leased
{

constexpr int64_t ms = 1000; // us

struct Run
{
  std::string task;
  uint32_t run_number;
  int64_t started_us;
  int64_t ends_us; // INT64_MAX: stands still
  bool stopping = false;
};

struct EndedRun
{
  int64_t number;
  std::string task;
  uint32_t run_number;
  dks_run_end_t end;
};

struct Call
{
  size_t instance;
  dks_effect_t effect; // strings only
  int64_t expires_us;
};

struct Target
{
  dks_target_info_t info;
  double slowness = 1;
  bool silent = false;    // gets no calls and answers none
  bool stalled = false;   // runs make no progress
  bool runs_fail = false; // runs end badly
  int delayed_starts = 0; // so many starts get no answer and are carried out `start_delay_us` later
  int64_t start_delay_us = 0;
  int64_t highest_fence = 0;
  int64_t lease_end_us = 0;
  int64_t next_end_number = 1;
  int64_t stop_duration_us = 20 * ms; // time that a stop takes
  std::vector<Run> runs;
  std::vector<EndedRun> ended;
  std::map<std::string, uint32_t> highest_ended_run;
  std::vector<Call> waiting_holds;
  uint32_t starts = 0;
  uint32_t rejected_starts = 0;
};

struct Instance
{
  std::string id;
  std::string data_centre;
  dks_reducer_t *reducer = nullptr;
  bool up = false;
  bool frozen = false;
  std::vector<std::function<void ()>> pending_events; // events of a frozen instance
  bool feed_down = false;
  uint32_t processor_milli = 1000;
  uint64_t feed_op[DKS_FEED_COUNT] = {};
  std::string member_id;
  bool exited = false;
};

struct Answer
{
  dks_batch_answer_t answer;
  uint32_t retry_after_ms;
  int64_t at_us;
};

struct Step
{
  uint32_t count;
  uint32_t cpu_milli;
  uint32_t estimate_ms;
  uint32_t real_ms;
  uint32_t after = 0;
  uint32_t max_per_target = 0;
};

class World
{
public:
  ~World ();
  // Instances of a data centre are named "DC-1", ...; targets "DC-t1", ...
  size_t add_instance (const std::string &data_centre, bool feed_down = false,
                       uint32_t processor_milli = 1000);
  size_t add_target (const std::string &data_centre, uint32_t cpu_milli = 16000);
  void start_all ();
  void kill (size_t instance);
  void restart (size_t instance);
  void drain (size_t instance);
  void set_partitioned (size_t a, size_t b, bool is_partitioned);
  // A frozen instance handles nothing; what was sent to it waits.
  void set_frozen (size_t instance, bool is_frozen);
  void run_for (int64_t us);
  // Submits a job and returns the number of the caller.
  uint64_t submit (size_t instance, const std::string &id, const std::vector<Step> &steps,
                   int64_t budget_ms = 1500);
  void leave (size_t instance, uint64_t caller);
  bool
  answered (uint64_t caller) const
  {
    return answers.count (caller) > 0;
  }
  size_t find (const std::string &instance) const;
  void apply (size_t instance, dks_event_t *event);

  int64_t now_us = 1000 * ms;
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Target>> targets;
  std::map<uint64_t, Answer> answers;
  std::map<std::string, int64_t> real_ms; // task name prefix "ID.0.STEP" -> run time
  int double_runs = 0;
  dks_msg_t *last_lend_msg = nullptr; // latest message that lends tasks
  int objective_extra_ms = 60;
  int objective_factor_milli = 1600;
  uint32_t queue_timeout_ms = 0; // of the queue, 0: none
  int64_t call_delay_us = 300;   // one way to a target or the platform
  std::vector<std::string> log;
  bool trace = getenv ("LEASED_TRACE") != nullptr; // prints the log lines

private:
  struct ScheduledAction
  {
    int64_t at_us;
    uint64_t sequence;
    std::function<void ()> func;
  };
  struct IsLater
  {
    bool
    operator() (const ScheduledAction &a, const ScheduledAction &b) const
    {
      return a.at_us != b.at_us ? a.at_us > b.at_us : a.sequence > b.sequence;
    }
  };

  void schedule_at (int64_t us, std::function<void ()> func);
  void deliver (int64_t us, size_t instance, std::function<void ()> func);
  void start_instance (size_t instance);
  void execute_effect (size_t instance, const dks_effect_t &effect);
  void schedule_tick (size_t instance);
  void link (size_t a, size_t b);
  void unlink (size_t a, size_t b);
  bool
  is_linked (size_t a, size_t b) const
  {
    return links.count (std::minmax (a, b)) > 0;
  }
  void answer_feed_call (size_t instance, const dks_effect_t &effect);
  void send_lease_call (size_t instance, const dks_effect_t &effect);
  void handle_lease_call (Target &target, const Call &call, bool is_answered);
  void send_lease_reply (size_t instance, uint64_t op, dks_lease_status_t status,
                         const Target *target, const Call *call);
  dks_lease_status_t start_run (Target &target, const dks_effect_t &effect);
  void end_due_runs (Target &target);
  void answer_waiting_holds (Target &target);
  void end_run (Target &target, size_t i, dks_run_end_t end);
  int64_t task_run_ms (const std::string &task) const;
  void check_double_runs (const std::string &task);
  dks_time_t time () const;

  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, IsLater> queue;
  std::set<std::pair<size_t, size_t>> links;
  std::set<std::pair<size_t, size_t>> partitions;
  uint64_t sequence = 0;
  uint64_t next_caller = 1;
  std::map<size_t, int64_t> next_tick_us;
  std::map<std::string, int> incarnations;
};

}

#endif
