// A simulation of instances, targets under lease and callers in virtual time, for tests of the
// dispatch to leased targets. It uses no network and no processes. The fake targets follow the
// rules of the platform's protocol. The simulation counts the starts of tasks that already have a
// run on some target, since no task may ever have two runs at once.
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
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace leased
{

constexpr int64_t ms = 1000; // microseconds in a millisecond: 5 * ms is a time in us

// A run that a fake target executes.
struct Run
{
  std::string task;
  uint32_t run_number;
  int64_t started_us;
  int64_t ends_us;       // INT64_MAX: never, its target is stalled
  bool stopping = false; // a stop has arrived; the run ends at `ends_us`
  std::string starter;   // id of the instance that sent the start
  uint32_t cpu_milli;    // thousandths of a processor
};

struct EndedRun
{
  int64_t number; // position in the target's list of ended runs, from 1
  std::string task;
  uint32_t run_number;
  dks_run_end_t end;
};

// A call of an instance to a target.
struct Call
{
  size_t instance;
  dks_effect_t effect; // a copy without the task's `spec`, which belongs to the original
  int64_t expires_us;  // when a waiting hold is answered although no run has ended
};

// A fake target.
struct Target
{
  dks_target_info_t info;
  bool listed = true;  // by the platform, to an instance that reads its list
  double slowness = 1; // run time over that on a target of usual speed
  bool silent = false; // receives no calls and answers none
  // The next start is not carried out but makes the target crash, for this long; 0: it does not.
  int64_t crash_at_start_us = 0;
  int64_t refuses_until_us = 0; // its process is gone until then, and connections are refused
  int refused_calls = 0; // next calls that are refused, as those just before its process is back
  // Status with which it rejects a call, of which it does nothing; DKS_LEASE_OK: none.
  std::function<dks_lease_status_t (const dks_effect_t &call)> rejection;
  bool stalled = false;   // its runs make no progress and never end
  bool runs_fail = false; // its runs end as DKS_RUN_FAILED
  // The next `delayed_starts` starts are carried out `start_delay_us` after they were sent, and get
  // no answer.
  int delayed_starts = 0;
  int64_t start_delay_us = 0;
  int64_t starts_late_until_us = 0; // starts that are sent before are delayed in the same way
  int64_t highest_fence = 0;        // fencing token of the latest call; lower ones are rejected
  int64_t clock_start_us = 0;       // its clock read 0 then; a new process begins at 0 again
  double clock_rate = 1;            // of its clock, below 1 when that is slow
  int64_t lease_end_us = 0;         // runs that have not ended by then end as DKS_RUN_LEASE_EXPIRED
  int64_t next_end_number = 1;
  int64_t stop_duration_us = 20 * ms; // from the arrival of a stop to the end of the run
  std::vector<Run> runs;
  std::vector<EndedRun> ended;
  // By task, the highest number of a run that has ended or that a stop named. A start with this
  // number or a lower one is rejected.
  std::map<std::string, uint32_t> highest_ended_run;
  std::vector<Call> waiting_holds; // long polls for the next end of a run
  uint32_t starts = 0;             // accepted
  uint32_t rejected_starts = 0;    // for lack of free processor capacity
};

// An event that has reached an instance.
struct PendingEvent
{
  std::function<void ()> func;
  size_t peer;  // instance that sent it over their connection, SIZE_MAX: not a message
  size_t bytes; // length of the message
};

// A message that leaves at the end of the turn in which it was sent.
struct OutgoingMsg
{
  size_t to;
  uint64_t connection;
  std::shared_ptr<dks_msg_t> msg;
};

struct Instance
{
  std::string id;
  std::string data_centre;
  dks_reducer_t *reducer = nullptr;
  bool up = false;
  bool frozen = false;
  int64_t event_cost_us = 0; // time that the handling of an event takes, on a slow instance
  int64_t busy_until_us = 0; // end of the handling of the latest event
  // Have reached the instance and wait until it is no longer frozen or busy.
  std::deque<PendingEvent> pending_events;
  // With World::work_us: what the loop has read in its present turn, the timers that are due at the
  // end of it, and the messages that leave then.
  std::deque<PendingEvent> turn_events;
  std::function<void ()> turn_tick;
  std::vector<OutgoingMsg> turn_output;
  bool in_turn = false;
  size_t peers_read = 0;          // connections read in this turn
  uint64_t generation = 0;        // rises with each end of its process
  bool event_scheduled = false;   // the handling of the first pending event
  bool tick_pending = false;      // a tick is among the pending events
  bool feed_down = false;         // the platform's feeds are unavailable to it
  bool targets_feed_down = false; // that of targets is
  bool catalog_feed_down = false; // that of the operator's configuration is
  bool catalog_too_large = false; // what it reads of that is more than it can receive
  // Why it cannot put a configuration in force, whoever delivers it; empty: it can.
  std::string catalog_rejection;
  bool history_gone = false;             // the history that its next watch of that needs is gone
  uint32_t processor_milli = 1000;       // processor time it may use, thousandths of a processor
  uint64_t feed_op[DKS_FEED_COUNT] = {}; // operation number of its latest call for each feed
  std::string member_id;
  bool exited = false; // it has asked its host to exit, at the end of its drain
};

// What a caller received.
struct Answer
{
  dks_batch_answer_t answer;
  uint32_t retry_after_ms;
  int64_t at_us;
};

// A step of a job.
struct Step
{
  uint32_t count;              // of tasks
  uint32_t cpu_milli;          // of each task, thousandths of a processor
  uint32_t estimate_ms;        // declared run time of each task
  uint32_t real_ms;            // run time of each task on a target of slowness 1
  uint32_t after = 0;          // bit set of the steps that must end before this one starts
  uint32_t max_per_target = 0; // tasks that may run on one target at once, 0: any number
};

class World
{
public:
  ~World ();
  // Both return the index of what they add. Instances of data centre DC get the ids "DC-1", "DC-2",
  // ...; targets get "DC-tN", where N counts the targets of all data centres.
  size_t add_instance (const std::string &data_centre, bool feed_down = false,
                       uint32_t processor_milli = 1000);
  size_t add_target (const std::string &data_centre, uint32_t cpu_milli = 16000);
  void start_all ();
  // Ends the instance at once, as a crash does.
  void kill (size_t instance);
  // Starts a killed instance anew, with the next incarnation.
  void restart (size_t instance);
  void drain (size_t instance);
  // Closes the connection between two instances, and keeps it closed over restarts; or opens it.
  void set_partitioned (size_t a, size_t b, bool is_partitioned);
  // A frozen instance handles no events; those that reach it wait until it is no longer frozen.
  void set_frozen (size_t instance, bool is_frozen);
  // Each event takes the instance so long to handle that those which follow wait, by up to 2 s in
  // all; 0: no time.
  void set_event_cost (size_t instance, int64_t us);
  // Holds the messages from one instance to another, as a cut of the network does: they arrive in
  // order once it ends, unless their connection is closed meanwhile. No side is told of the cut,
  // and there are no new connections between the two until it ends.
  void set_cut (size_t from, size_t to, bool is_cut);
  void set_cut_both_ways (size_t a, size_t b, bool is_cut);
  // Ends the connection between two instances, which open a new one within 300 ms.
  void reset_connection (size_t a, size_t b);
  // The process of the target ends at once, and a new incarnation starts after `down_us`.
  void crash (Target &target, int64_t down_us);
  // The platform's list of targets has changed: watches of it are answered.
  void announce_targets ();
  // The platform tells one instance that it lists the target, or lists it no more; whether it does
  // so for instances that read the list is up to the target.
  void tell_of_target (size_t instance, const Target &target, bool is_listed);
  // Puts a new version of the configuration into the platform's store.
  void change_catalog ();
  // The operator evacuates a data centre, or takes it back.
  void set_evacuated (const std::string &data_centre, bool is_evacuated);
  // The open connections to the platform's store go silent: calls under way get no answer.
  void silence_feed_calls ();
  void run_for (int64_t us);
  // Submits a job whose caller waits `budget_ms` (0: the caller states no time); returns the number
  // of the caller.
  uint64_t submit (size_t instance, const std::string &id, const std::vector<Step> &steps,
                   int64_t budget_ms = 1500, const std::string &queue_prefix = "q");
  // Closes the connection of a caller.
  void leave (size_t instance, uint64_t caller);
  bool
  answered (uint64_t caller) const
  {
    return answers.count (caller) > 0;
  }
  // Index of the instance with this id.
  size_t find (const std::string &instance) const;
  // Applies the event to the instance now, and executes its effects.
  void apply (size_t instance, dks_event_t *event);

  // Messages of the type that instances have sent to each other.
  uint64_t
  sent (dks_msg_type_t type) const
  {
    auto found = sent_msgs.find (type);

    return found != sent_msgs.end () ? found->second : 0;
  }

  int64_t now_us = 1000 * ms;
  int64_t catalog_version = 1;
  // Evacuations and their ends in the platform's store, in order.
  struct EvacuationChange
  {
    int64_t revision;
    std::string data_centre;
    bool is_evacuated;
  };
  std::vector<EvacuationChange> evacuation_changes;
  // Time that an instance takes for an event and the effects that came of it. When set, each
  // instance works through its events one after the other in turns, as the loop of the real one
  // does: a turn takes from each connection what was there at its beginning, up to `window_bytes`,
  // then runs the timers and then sends the messages to peers. Effects leave when the work for them
  // is done. Nothing is lost for being late.
  std::function<int64_t (size_t instance, const dks_event_t &event, const dks_effects_t &effects)>
      work_us;
  // Time that a turn takes besides, by the connections to peers that it reads and writes.
  std::function<int64_t (size_t instance, size_t read, size_t written)> turn_us;
  size_t window_bytes = 64 << 10;
  size_t backlog_max_bytes = 24 << 20; // held by a sender before it closes the connection
  // Instances connect only to the addresses to which their reducers ask to connect, and know three
  // seeds at the start; else all are connected to each other.
  bool connects_by_address = false;
  // Delay of the messages from one instance to another, beyond the usual one: a busy link.
  std::map<std::pair<size_t, size_t>, int64_t> link_delay_us;
  // Instances and targets between which calls and answers are lost.
  std::set<std::pair<size_t, const Target *>> target_cuts;
  // Delay of the reply to a call to a target, beyond the usual one: replies on different
  // connections may overtake each other.
  std::function<int64_t (const dks_effect_t &call, dks_lease_status_t status)> reply_delay_us;
  std::map<dks_msg_type_t, uint64_t> sent_msgs;
  size_t count_statuses_of = SIZE_MAX; // instance whose statuses are counted
  uint64_t statuses_to_other_data_centres = 0;
  std::set<std::string> dialled_addresses; // addresses to which some instance tried to connect
  uint64_t sent_addresses = 0;             // in all messages of type DKS_MSG_ADDRESSES
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<std::unique_ptr<Target>> targets;
  std::map<uint64_t, Answer> answers;                                    // by number of the caller
  std::function<void (uint64_t caller, const Answer &answer)> on_answer; // called for each
  // Run time of a task on a target of slowness 1, by the task's name without its index:
  // "ID.0.STEP".
  std::map<std::string, int64_t> real_ms;
  // Size of a task in thousandths of a processor, likewise.
  std::map<std::string, uint32_t> cpu_milli;
  // Tasks that crash a target 10 ms after it has started them, and the crashes of each.
  std::map<std::string, int> deadly_tasks;
  int double_runs = 0; // starts of a task that already had a run on some target
  std::vector<std::string> double_run_reports; // one line for each
  std::vector<std::string> double_run_log;     // log lines about the job of the first one
  dks_msg_t *last_lend_msg = nullptr; // latest message by which one leader lends tasks to another
  // Further queues, each below the prefix "/NAME/", with their priorities; 0 is served first.
  std::vector<std::pair<std::string, uint32_t>> further_queues;
  // Settings of all queues; the first has the prefix "/q/" and priority 0. The objective of a job
  // is `objective_extra_ms` plus its declared run time times `objective_factor_milli` / 1000.
  int objective_extra_ms = 60;
  int objective_factor_milli = 1600;
  uint32_t queue_timeout_ms = 0;                   // 0: none
  bool fills_gaps = false;                         // setting of instances that start
  bool rejects_excess_runs = false;                // targets of the only service guard their size
  int64_t call_delay_us = 300;                     // one way to a target or the platform
  std::vector<std::string> log;                    // "INSTANCE TEXT" of each line
  std::vector<int64_t> log_times_us;               // of each line
  bool trace = getenv ("LEASED_TRACE") != nullptr; // prints the log lines

private:
  struct ScheduledAction
  {
    int64_t at_us;
    uint64_t sequence; // actions of the same time run in the order in which they were scheduled
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
  // Calls `func` at that time, or when the instance is no longer frozen.
  void deliver (int64_t us, size_t instance, std::function<void ()> func);
  // Calls `func` now, or once the instance has handled the events that wait there.
  void deliver_now (size_t instance, const std::function<void ()> &func, size_t peer = SIZE_MAX,
                    size_t bytes = 0);
  void schedule_turn (size_t instance, int64_t us);
  void continue_turn (size_t instance);
  void begin_turn (Instance &instance);
  void end_turn (size_t instance);
  void execute_effects_at (int64_t us, size_t instance, std::shared_ptr<dks_effects_t> effects);
  void limit_backlog (size_t from, size_t to);
  void schedule_pending_event (size_t instance, int64_t us);
  void start_instance (size_t instance);
  void execute_effect (size_t instance, const dks_effect_t &effect);
  void schedule_tick (size_t instance);
  void report_caller_gone (size_t instance, uint64_t caller);
  void check_callers (size_t instance);
  void link (size_t a, size_t b);
  void connect (size_t instance, const std::string &address);
  void unlink (size_t a, size_t b);
  bool is_linked (size_t a, size_t b) const;
  bool
  is_cut (size_t a, size_t b) const
  {
    return cuts.count ({ a, b }) > 0 || cuts.count ({ b, a }) > 0;
  }
  bool is_open (size_t self, size_t peer, uint64_t connection) const;
  void close_side (size_t self, size_t peer);
  void notify_closed (size_t self, size_t peer);
  void refuse_later (size_t self, size_t peer);
  void reconnect_later (size_t a, size_t b);
  void close_connection (size_t instance, const std::string &peer);
  void send_msg (size_t from, size_t to, uint64_t connection, std::shared_ptr<dks_msg_t> msg);
  // One side of a connection between two instances, until this side knows that it has ended.
  struct Side
  {
    uint64_t connection;
    std::string peer_member_id;
  };
  // A read or watch of a feed that has not ended.
  struct FeedCall
  {
    size_t instance;
    dks_reducer_t *reducer; // of the incarnation that sent it
    dks_feed_t feed;
    bool is_watch;
    int64_t after_revision;
    bool is_answered;         // the connection is up
    bool has_targets = false; // the list of targets has changed since
  };

  void send_feed_call (size_t instance, const dks_effect_t &effect);
  void end_feed_call (size_t instance, uint64_t op);
  bool has_change (const FeedCall &call) const;
  int64_t feed_revision () const;
  void answer_catalog_watches ();
  void add_evacuations (const FeedCall &call, std::vector<dks_feed_item_t> *items) const;
  dks_catalog_t *create_catalog () const;
  void send_lease_call (size_t instance, const dks_effect_t &effect);
  void handle_lease_call (Target &target, const Call &call, bool is_answered);
  void send_lease_reply (size_t instance, uint64_t op, dks_lease_status_t status,
                         const Target *target, const Call *call);
  dks_lease_status_t start_run (Target &target, const dks_effect_t &effect, size_t starter);
  void end_due_runs (Target &target);
  void answer_waiting_holds (Target &target);
  void end_run (Target &target, size_t i, dks_run_end_t end);
  int64_t task_run_ms (const std::string &task) const;
  uint32_t task_cpu_milli (const std::string &task) const;
  void check_double_runs (const std::string &task);
  dks_time_t time () const;

  std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, IsLater> queue;
  std::map<std::pair<size_t, size_t>, Side> sides; // by instance and its peer
  uint64_t next_connection = 0;
  // By sender and receiver: cuts, the messages that they hold, and the latest arrival of a message.
  std::set<std::pair<size_t, size_t>> cuts;
  struct HeldMsg
  {
    std::function<void ()> func;
    size_t bytes;
  };
  std::map<std::pair<size_t, size_t>, std::vector<HeldMsg>> held_msgs;
  std::map<std::pair<size_t, size_t>, int64_t> last_arrival_us;
  std::map<std::pair<size_t, size_t>, size_t> unread_bytes; // by sender and receiver
  std::set<std::pair<size_t, uint64_t>> open_calls;         // to targets, by instance and operation
  std::map<std::string, Target *> targets_by_address;
  std::map<std::string, int> listed_runs; // by task: entries in the lists of active runs
  // Pairs of instances, the lower index first, that may not be connected.
  std::set<std::pair<size_t, size_t>> partitions;
  // With `connects_by_address`: instances and the addresses to which they try to connect.
  std::set<std::pair<size_t, std::string>> dialled;
  std::map<std::pair<size_t, uint64_t>, FeedCall> feed_calls; // by instance and operation
  uint64_t sequence = 0;
  uint64_t next_caller = 1;
  std::set<uint64_t> left_callers; // have closed their connections
  // Those of them of which their instance does not know yet.
  std::set<std::pair<size_t, uint64_t>> unreported_callers;
  std::map<size_t, int64_t> next_tick_us;  // by index of the instance, INT64_MAX: none scheduled
  std::map<std::string, int> incarnations; // starts so far, by id of the instance
};

testing::AssertionResult
got_answer (const World &world, uint64_t caller, dks_batch_answer_t answer);
// Runs of the job on targets of the data centre.
size_t count_runs (const World &world, const std::string &id, const std::string &data_centre);
// Lines of the log that contain the text.
size_t count_logged (const World &world, const std::string &text);

}

#endif
