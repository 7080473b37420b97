// The processor time that instances of the simulation take for what they do. Costs are those of a
// full core; an instance has a share of one, and may be slow for a while.
#ifndef DKS_TESTS_LEASED_PROCESSOR_H
#define DKS_TESTS_LEASED_PROCESSOR_H

#include "leased_world.h"

namespace leased
{

// Microseconds of a full core on the users' platform: what `build/tests/costs` prints, and the
// reducer's own time, with `system_call_us` for each system call. See docs/recovery.md.
constexpr double system_call_us = 8;                // charged for one, beyond the time of the code
constexpr double turn_us = 15;                      // a turn of the loop that finds something to do
constexpr double peer_read_us = 2 + system_call_us; // connection read in a turn
constexpr double peer_write_us = 2 + system_call_us;    // connection written in a turn
constexpr double event_us = 4.6;                        // an event in the reducer, besides the next
constexpr double block_us = 0.00126;                    // basic block that the reducer executes
constexpr double msg_sent_us = 1;                       // encoded
constexpr double msg_received_us = 1;                   // decoded
constexpr double msg_task_us = 0.03;                    // each lent task in a message
constexpr double call_sent_us = 8 + 2 * system_call_us; // request to a target
constexpr double call_answered_us = 40 + 3 * system_call_us; // its answer, read and parsed
constexpr double listed_run_us = 1.5;                        // each run in the lists of an answer
constexpr double submission_us = 42 + 4 * system_call_us;    // connection and job of a caller
constexpr double caller_answer_us = 3 + 2 * system_call_us;  // answer to a caller
constexpr double caller_gone_us = 2 + 2 * system_call_us;    // a caller that closes its connection
constexpr double log_line_us = 2 + system_call_us;           // a line that is written
constexpr double peer_up_us = 10 + 4 * system_call_us;       // connection to another instance
constexpr double feed_us = 50 + 5 * system_call_us;          // call of the platform's feeds

// Where processor time has gone.
struct Use
{
  uint64_t count = 0;
  double us = 0; // of a full core
};

class Processors
{
public:
  // Makes the events of all instances of the world take time from now on.
  explicit Processors (World &in_world);

  // All that the instance does takes `factor` times as long.
  void
  set_slow (size_t instance, double factor)
  {
    slow_factors[instance] = factor;
  }

  // Of one instance since the last reset_uses (), by kind of work.
  std::map<size_t, std::map<std::string, Use>> uses;

private:
  struct Work
  {
    const char *kind;
    double us;
  };
  int64_t scale (size_t instance, double us);
  int64_t work_us (size_t instance, const dks_event_t &event, const dks_effects_t &effects);
  double charge (size_t instance, const std::string &kind, double us);
  double charge_event (size_t instance, const dks_event_t &event);
  double charge_effect (size_t instance, const dks_effect_t &effect);

  World &world;
  std::map<size_t, double> slow_factors;
  uint64_t counted_blocks;        // up to the latest event
  std::map<size_t, double> rests; // of a microsecond, not charged yet
};

}

#endif
