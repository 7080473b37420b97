// Whether deployments serve again after trouble that is over, in virtual time, with instances that
// take processor time for what they do (leased_processor.h). Callers that got no answer come back,
// so that work which is late makes more work.
//
// DKS_RECOVERY_TRACE prints goodput, log lines by kind and where the leaders' processor time went,
// for each 2 s. DKS_RECOVERY_SITES names the sites to run, e.g. "7,37small,37,97".

#include "leased_processor.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <gtest/gtest.h>
#include <random>

using leased::ms;
using leased::Processors;
using leased::World;

namespace
{

constexpr int64_t caller_ms = 1500;          // that the leader is told
constexpr int64_t caller_patience_ms = 2000; // longest wait of a caller, the shortest is caller_ms
constexpr int64_t resend_ms = 1300;          // after no answer
constexpr int sends_max = 4;                 // of one job
constexpr int64_t warm_up_ms = 5000;
constexpr int64_t window_ms = 2000;
constexpr int baseline_windows = 2;
constexpr int64_t settle_ms = 5000; // from the end of the last trigger to the first window checked
constexpr int checked_windows = 3;
constexpr double goodput_min = 0.9; // of that before the trigger
constexpr double slow_factor = 8;
constexpr int64_t slow_ms = 4000;
constexpr int64_t roll_delay_ms = 500;    // from the beginning of the slow time to the first stop
constexpr int64_t roll_interval_ms = 400; // between two stops
constexpr int64_t grace_ms = 6000;        // from a stop to the kill of an instance that still runs
constexpr int64_t exit_linger_ms = 100;   // from the end of a drain to that of the process
constexpr int64_t restart_ms = 300;       // from the end of a process to the next one
constexpr double process_start_ms = 10;   // processor time from there to the first event
constexpr int64_t cut_ms = 1400;
constexpr int64_t readiness_interval_ms = 1000; // of the load balancer's checks

// Kind of job: tasks of one step.
struct Kind
{
  const char *queue_prefix;
  uint32_t tasks;
  uint32_t run_ms; // mean
  double per_s;    // in proportion to the others
};

const std::vector<Kind> kinds = { { "q", 8, 60, 206 },
                                  { "middle", 2, 200, 600 },
                                  { "low", 4, 900, 37.5 } };

struct DataCentre
{
  int large; // instances
  int small;
  int targets;
  double jobs_per_s;
};

struct Site
{
  const char *name;
  int instances;
  uint32_t large_milli; // processor time, thousandths of a core
  uint32_t small_milli;
  std::vector<DataCentre> data_centres;
};

// For the names of the tests in reports.
void
PrintTo (const Site &site, std::ostream *out)
{
  *out << site.name;
}

const std::vector<Site> sites = {
  { "7", 7, 250, 250, { { 3, 0, 16, 44.8 }, { 2, 0, 16, 50.6 }, { 2, 0, 16, 45.3 } } },
  // As the next one, with small instances only.
  { "37small", 37, 120, 120, { { 13, 0, 45, 62 }, { 12, 0, 45, 70 }, { 12, 0, 45, 63 } } },
  { "37", 37, 500, 120, { { 2, 11, 117, 268 }, { 2, 10, 117, 304 }, { 2, 10, 116, 271 } } },
  { "97",
    97,
    500,
    120,
    { { 3, 15, 120, 283 },
      { 3, 20, 105, 239 },
      { 3, 18, 120, 283 },
      { 3, 15, 105, 239 },
      { 3, 14, 100, 222 } } },
};

struct Job
{
  const Kind *kind;
  std::string id;
  size_t data_centre; // of its caller
  uint32_t declared_ms;
  uint32_t real_ms;
  int64_t first_sent_us;
  int sends;
  size_t entry;     // of the latest send
  int64_t sent_us;  // likewise
  int64_t leave_us; // when the caller gives up waiting
};

struct Window
{
  int in_aim = 0;
  int late = 0;
  int refused = 0;
  int lost = 0;
  int left = 0;   // callers that waited in vain
  int broken = 0; // connections
  std::map<size_t, std::map<std::string, leased::Use>> uses;
};

class Play
{
public:
  Play (const Site &given_site, uint64_t given_seed);
  // Callers and what has been scheduled go on for this long.
  void run_for (int64_t us);
  // Goodput in the checked windows, from `settle_ms` from now on.
  void check ();

  // Triggers. Each returns at its end, when nothing is wrong any more.
  void slow_then_rolled ();
  void slow_half ();
  void reset_connections ();
  void kill_leaders ();
  void cut_data_centre ();

  World world;

private:
  // Uniform, 0 to 1; the same on each platform.
  double
  draw ()
  {
    return static_cast<double> (random () >> 11) / static_cast<double> (1ULL << 53);
  }
  void
  after (int64_t us, std::function<void ()> func)
  {
    actions.insert ({ world.now_us + us, std::move (func) });
  }
  Window &
  window ()
  {
    size_t i = static_cast<size_t> ((world.now_us - start_us) / (window_ms * ms));

    if (windows.size () <= i)
      windows.resize (i + 1);
    return windows[i];
  }
  bool leads (size_t instance) const;
  std::vector<size_t> leaders () const;
  size_t choose_entry (size_t data_centre);
  void arrive (size_t data_centre);
  void submit (Job job);
  void send_again (const Job &job, int64_t us);
  void handle_answer (uint64_t caller, const leased::Answer &answer);
  void give_up_waiting ();
  void check_readiness ();
  void stop (size_t instance);
  void end_process (size_t instance, std::function<void ()> then);
  void end_window ();
  size_t
  windows_ended () const
  {
    return static_cast<size_t> ((next_window_us - start_us) / (window_ms * ms)) - 1;
  }
  void print_window (size_t i);
  void print_log ();

  const Site &site;
  uint64_t seed;
  std::mt19937_64 random;
  Processors processors;
  std::vector<std::vector<size_t>> instances; // by data centre
  std::vector<int> missed_checks;             // by instance, in a row
  std::map<uint64_t, Job> open;               // by number of the caller
  std::multimap<int64_t, uint64_t> waits;     // callers by the end of their wait
  std::multimap<int64_t, std::function<void ()>> actions;
  std::vector<double> next_arrival_us;  // by data centre
  std::vector<std::vector<double>> due; // by data centre and kind
  int64_t start_us = 0;
  int64_t next_readiness_us = 0;
  int64_t next_window_us = 0;
  int next_id = 0;
  int stopping = 0; // instances
  std::vector<Window> windows;
  bool trace = getenv ("DKS_RECOVERY_TRACE") != nullptr;
};

Play::Play (const Site &given_site, uint64_t given_seed)
    : site (given_site), seed (given_seed), random (given_seed), processors (world)
{
  instances.resize (site.data_centres.size ());
  next_arrival_us.resize (site.data_centres.size ());
  due.resize (site.data_centres.size (), std::vector<double> (kinds.size ()));
  world.further_queues = { { "middle", 1 }, { "low", 2 } };
  // Instances of the data centres in turns, the large ones first.
  for (int i = 0, added = 0; added < site.instances; i++)
    {
      for (size_t d = 0; d < site.data_centres.size (); d++)
        {
          const DataCentre &dc = site.data_centres[d];

          if (i >= dc.large + dc.small)
            continue;
          instances[d].push_back (
              world.add_instance (std::string (1, static_cast<char> ('a' + d)), false,
                                  i < dc.large ? site.large_milli : site.small_milli));
          added++;
        }
    }
  // Tasks take 6.8 processors, so that two and three run at once.
  for (size_t d = 0; d < site.data_centres.size (); d++)
    {
      for (int i = 0; i < site.data_centres[d].targets; i++)
        world.add_target (std::string (1, static_cast<char> ('a' + d)), i % 2 == 0 ? 16000 : 24000);
    }
  missed_checks.resize (world.instances.size ());
  world.on_answer = [this] (uint64_t caller, const leased::Answer &answer) {
    handle_answer (caller, answer);
  };
  world.start_all ();
  world.run_for (2000 * ms);
  start_us = world.now_us;
  next_readiness_us = start_us;
  next_window_us = start_us + window_ms * ms;
  for (size_t d = 0; d < next_arrival_us.size (); d++)
    next_arrival_us[d] = static_cast<double> (start_us);
}

bool
Play::leads (size_t instance) const
{
  char *status;
  const char *term;
  bool result;

  if (!world.instances[instance]->up)
    return false;
  status = dks_reducer_status (world.instances[instance]->reducer);
  term = strstr (status, "\"term\":");
  result = term != nullptr && strtoll (term + strlen ("\"term\":"), nullptr, 10) > 0;
  free (status);
  return result;
}

std::vector<size_t>
Play::leaders () const
{
  std::vector<size_t> found;

  for (size_t i = 0; i < world.instances.size (); i++)
    {
      if (leads (i))
        found.push_back (i);
    }
  return found;
}

void
Play::check_readiness ()
{
  for (size_t i = 0; i < world.instances.size (); i++)
    {
      auto &instance = *world.instances[i];

      if (instance.up && dks_reducer_is_ready (instance.reducer))
        missed_checks[i] = 0;
      else
        missed_checks[i]++;
    }
}

// An instance that the load balancer has in rotation; any one that is up when there are too few.
size_t
Play::choose_entry (size_t data_centre)
{
  std::vector<size_t> ready;

  for (size_t i : instances[data_centre])
    {
      if (missed_checks[i] < 2)
        ready.push_back (i);
    }
  if (2 * ready.size () < instances[data_centre].size ())
    ready = instances[data_centre];
  return ready[static_cast<size_t> (draw () * static_cast<double> (ready.size ()))];
}

void
Play::submit (Job job)
{
  job.entry = choose_entry (job.data_centre);
  job.sent_us = world.now_us;
  job.sends++;
  if (!world.instances[job.entry]->up)
    {
      window ().broken++;
      send_again (job, resend_ms * ms);
      return;
    }
  job.leave_us =
      world.now_us
      + (caller_ms
         + static_cast<int64_t> (draw () * static_cast<double> (caller_patience_ms - caller_ms)))
            * ms;
  uint64_t caller =
      world.submit (job.entry, job.id, { { job.kind->tasks, 6800, job.declared_ms, job.real_ms } },
                    caller_ms, job.kind->queue_prefix);
  waits.insert ({ job.leave_us, caller });
  open[caller] = job;
}

void
Play::send_again (const Job &job, int64_t us)
{
  if (job.sends < sends_max)
    after (us, [this, job] { submit (job); });
}

// The kind that is most overdue by its proportion.
void
Play::arrive (size_t data_centre)
{
  double all = 0;
  size_t chosen = 0;
  Job job = {};
  char id[17];

  for (size_t i = 0; i < kinds.size (); i++)
    {
      due[data_centre][i] += kinds[i].per_s;
      all += kinds[i].per_s;
      if (due[data_centre][i] > due[data_centre][chosen])
        chosen = i;
    }
  due[data_centre][chosen] -= all;
  snprintf (id, sizeof (id), "%016x", ++next_id);
  job.kind = &kinds[chosen];
  job.id = id;
  job.data_centre = data_centre;
  job.real_ms = static_cast<uint32_t> (job.kind->run_ms * (0.7 + 0.6 * draw ()));
  job.declared_ms = static_cast<uint32_t> (job.real_ms * (0.8 + 0.4 * draw ()));
  job.first_sent_us = world.now_us;
  submit (job);
}

void
Play::handle_answer (uint64_t caller, const leased::Answer &answer)
{
  auto found = open.find (caller);

  if (found == open.end ())
    return;
  Job job = found->second;
  int64_t objective_us =
      (world.objective_extra_ms + job.real_ms * world.objective_factor_milli / 1000) * ms;
  open.erase (found);
  switch (answer.answer)
    {
    case DKS_BATCH_COMPLETED:
      if (answer.at_us - job.first_sent_us <= objective_us)
        window ().in_aim++;
      else
        window ().late++;
      break;
    case DKS_BATCH_REFUSED:
      window ().refused++;
      // The Retry-After header has whole seconds.
      send_again (job, (answer.retry_after_ms + 999) / 1000 * 1000 * ms);
      break;
    default:
      window ().lost++;
      send_again (job, resend_ms * ms);
      break;
    }
}

void
Play::give_up_waiting ()
{
  while (!waits.empty () && waits.begin ()->first <= world.now_us)
    {
      auto found = open.find (waits.begin ()->second);

      waits.erase (waits.begin ());
      if (found == open.end ())
        continue;
      Job job = found->second;
      window ().left++;
      world.leave (job.entry, found->first);
      open.erase (found);
      send_again (job, resend_ms * ms);
    }
}

void
Play::run_for (int64_t us)
{
  int64_t until_us = world.now_us + us;

  while (world.now_us < until_us)
    {
      while (!actions.empty () && actions.begin ()->first <= world.now_us)
        {
          auto func = actions.begin ()->second;

          actions.erase (actions.begin ());
          func ();
        }
      for (size_t d = 0; d < instances.size (); d++)
        {
          while (next_arrival_us[d] <= static_cast<double> (world.now_us))
            {
              arrive (d);
              next_arrival_us[d] += 1e6 / site.data_centres[d].jobs_per_s;
            }
        }
      give_up_waiting ();
      if (world.now_us >= next_readiness_us)
        {
          check_readiness ();
          next_readiness_us += readiness_interval_ms * ms;
        }
      world.run_for (ms);
      if (world.now_us >= next_window_us)
        {
          end_window ();
          next_window_us += window_ms * ms;
        }
    }
}

// Ends the process at once, and starts another one.
void
Play::end_process (size_t instance, std::function<void ()> then)
{
  int64_t start =
      restart_ms * ms
      + static_cast<int64_t> (process_start_ms * 1e6 / world.instances[instance]->processor_milli);

  world.kill (instance);
  for (auto it = open.begin (); it != open.end ();)
    {
      if (it->second.entry != instance)
        {
          ++it;
          continue;
        }
      window ().broken++;
      send_again (it->second, resend_ms * ms);
      it = open.erase (it);
    }
  after (start, [this, instance, then] {
    world.restart (instance);
    then ();
  });
}

// Asks the instance to shut down, and starts it again when it has.
void
Play::stop (size_t instance)
{
  auto look = std::make_shared<std::function<void ()>> ();
  int64_t kill_us = world.now_us + grace_ms * ms;

  stopping++;
  world.drain (instance);
  *look = [this, instance, kill_us, weak = std::weak_ptr (look)] {
    auto again = weak.lock ();

    if (!world.instances[instance]->exited && world.now_us < kill_us)
      {
        after (10 * ms, [again] { (*again) (); });
        return;
      }
    after (world.instances[instance]->exited ? exit_linger_ms * ms : 0,
           [this, instance] { end_process (instance, [this] { stopping--; }); });
  };
  (*look) ();
}

void
Play::slow_then_rolled ()
{
  std::vector<size_t> slow = leaders ();

  for (size_t i : slow)
    {
      processors.set_slow (i, slow_factor);
      after (slow_ms * ms, [this, i] { processors.set_slow (i, 1); });
    }
  for (size_t i = 0; i < world.instances.size (); i++)
    after ((roll_delay_ms + static_cast<int64_t> (i) * roll_interval_ms) * ms,
           [this, i] { stop (i); });
  run_for (
      std::max (slow_ms,
                roll_delay_ms + static_cast<int64_t> (world.instances.size ()) * roll_interval_ms)
      * ms);
  while (stopping > 0)
    run_for (10 * ms);
}

// The leaders and others, half of all instances, with no roll.
void
Play::slow_half ()
{
  std::vector<size_t> slow = leaders ();

  for (size_t i = 0; i < world.instances.size () && 2 * slow.size () < world.instances.size (); i++)
    {
      if (std::find (slow.begin (), slow.end (), i) == slow.end () && draw () < 0.5)
        slow.push_back (i);
    }
  for (size_t i : slow)
    processors.set_slow (i, slow_factor);
  run_for (slow_ms * ms);
  for (size_t i : slow)
    processors.set_slow (i, 1);
}

void
Play::reset_connections ()
{
  for (size_t a = 0; a < world.instances.size (); a++)
    {
      for (size_t b = 0; b < a; b++)
        world.reset_connection (a, b);
    }
}

void
Play::kill_leaders ()
{
  for (size_t i : leaders ())
    {
      stopping++;
      end_process (i, [this] { stopping--; });
    }
  while (stopping > 0)
    run_for (10 * ms);
}

void
Play::cut_data_centre ()
{
  for (bool is_cut : { true, false })
    {
      for (size_t i : instances[1])
        {
          for (size_t other = 0; other < world.instances.size (); other++)
            {
              if (world.instances[other]->data_centre != world.instances[i]->data_centre)
                world.set_cut_both_ways (i, other, is_cut);
            }
        }
      if (is_cut)
        run_for (cut_ms * ms);
    }
}

// What was seen

void
Play::end_window ()
{
  size_t i = static_cast<size_t> ((world.now_us - start_us) / (window_ms * ms)) - 1;

  if (windows.size () <= i)
    windows.resize (i + 1);
  windows[i].uses = std::move (processors.uses);
  processors.uses.clear ();
  if (trace)
    print_window (i);
}

void
Play::print_window (size_t i)
{
  const Window &w = windows[i];

  printf ("%3zu s: in_aim=%d late=%d refused=%d lost=%d left=%d broken=%d open=%zu\n",
          i * window_ms / 1000, w.in_aim, w.late, w.refused, w.lost, w.left, w.broken,
          open.size ());
  for (size_t d = 0; d < instances.size (); d++)
    {
      for (size_t instance : instances[d])
        {
          auto found = w.uses.find (instance);
          double us = 0;
          std::vector<std::pair<double, std::string>> rows;
          double available_us =
              static_cast<double> (window_ms) * world.instances[instance]->processor_milli;

          if (found == w.uses.end ()
              || (!leads (instance) && instance != instances[d][0] && instance != instances[d][1]))
            continue;
          for (auto &[kind, use] : found->second)
            {
              us += use.us;
              rows.push_back ({ use.us, kind + " " + std::to_string (use.count) });
            }
          std::sort (rows.rbegin (), rows.rend ());
          printf ("      %s%s busy %.0f%%:", world.instances[instance]->id.c_str (),
                  leads (instance) ? " (leads)" : "", 100 * us / available_us);
          for (size_t row = 0; row < rows.size () && row < 8; row++)
            printf (" %s %.0f%%,", rows[row].second.c_str (), 100 * rows[row].first / us);
          printf ("\n");
        }
    }
}

void
Play::print_log ()
{
  std::map<int64_t, std::map<std::string, int>> counts;
  std::map<std::string, int> all;

  for (size_t i = 0; i < world.log.size (); i++)
    {
      size_t at = world.log[i].find ("event=");
      std::string kind = at == std::string::npos ? "?" : world.log[i].substr (at + 6);

      if (kind.find ("leader-stop") == 0)
        {
          size_t reason = kind.find ("reason=");
          kind = "leader-stop " + kind.substr (reason);
        }
      else
        kind = kind.substr (0, kind.find (' '));
      counts[(world.log_times_us[i] - start_us) / (window_ms * ms)][kind]++;
      all[kind]++;
    }
  std::vector<std::pair<int, std::string>> order;
  for (auto &[kind, count] : all)
    order.push_back ({ count, kind });
  std::sort (order.rbegin (), order.rend ());
  for (auto &[window_index, kinds_of_it] : counts)
    {
      printf ("%3d s:", static_cast<int> (window_index * window_ms / 1000));
      for (size_t i = 0; i < order.size () && i < 24; i++)
        printf (" %s %d,", order[i].second.c_str (), kinds_of_it[order[i].second]);
      printf ("\n");
    }
}

void
Play::check ()
{
  size_t first = static_cast<size_t> ((world.now_us - start_us + (settle_ms + window_ms) * ms - 1)
                                      / (window_ms * ms));
  double before = 0;
  std::string text;

  for (int i = 0; i < baseline_windows; i++)
    before += windows[static_cast<size_t> (warm_up_ms / window_ms + 1 + i)].in_aim;
  before /= baseline_windows;
  // One window that misses the bound decides, and what follows takes long.
  for (size_t i = first; i < first + checked_windows; i++)
    {
      run_for (next_window_us + static_cast<int64_t> (i + 1 - windows_ended ()) * window_ms * ms
               - window_ms * ms - world.now_us);
      if (windows[i].in_aim < goodput_min * before && !trace)
        break;
    }
  for (size_t i = 0; i < windows.size (); i++)
    text += " " + std::to_string (windows[i].in_aim);
  for (size_t i = first; i < std::min (first + checked_windows, windows_ended ()); i++)
    EXPECT_GE (windows[i].in_aim, goodput_min * before)
        << "site " << site.name << ", seed " << seed << ", window " << i
        << ", answered in the objective in each 2 s:" << text;
  EXPECT_EQ (world.double_runs, 0);
  for (auto &line : world.double_run_reports)
    printf ("%s\n", line.c_str ());
  printf ("site=%s seed=%d before=%.0f goodput:%s\n", site.name, static_cast<int> (seed), before,
          text.c_str ());
  if (trace)
    print_log ();
}

// The sites that DKS_RECOVERY_SITES names; else the one whose plays end soon.
std::vector<Site>
chosen_sites ()
{
  const char *names = getenv ("DKS_RECOVERY_SITES");
  std::string wanted = names != nullptr ? names : "7";
  std::vector<Site> chosen;

  for (auto &site : sites)
    {
      if (("," + wanted + ",").find ("," + std::string (site.name) + ",") != std::string::npos)
        chosen.push_back (site);
    }
  return chosen;
}

Site
find_site (const std::string &name)
{
  for (auto &site : sites)
    {
      if (site.name == name)
        return site;
    }
  abort ();
}

void
play (const Site &site, uint64_t seed, const std::function<void (Play &)> &trigger)
{
  Play play (site, seed);

  play.run_for ((warm_up_ms / window_ms + 1 + baseline_windows) * window_ms * ms);
  trigger (play);
  play.check ();
}

class LeasedRecovery : public testing::TestWithParam<Site>
{
};

}

TEST_P (LeasedRecovery, ServesWithoutTrouble)
{
  play (GetParam (), 1, [] (Play &) {});
}

TEST_P (LeasedRecovery, ServesAgainAfterSlowLeadersAndARoll)
{
  play (GetParam (), 1, [] (Play &p) { p.slow_then_rolled (); });
}

TEST_P (LeasedRecovery, ServesAgainAfterHalfOfTheInstancesWereSlow)
{
  play (GetParam (), 6, [] (Play &p) { p.slow_half (); });
}

TEST_P (LeasedRecovery, ServesAgainAfterAResetOfAllConnections)
{
  play (GetParam (), 2, [] (Play &p) { p.reset_connections (); });
}

TEST_P (LeasedRecovery, ServesAgainAfterTheKillOfAllLeaders)
{
  play (GetParam (), 3, [] (Play &p) { p.kill_leaders (); });
}

TEST_P (LeasedRecovery, ServesAgainAfterTheCutOfADataCentre)
{
  play (GetParam (), 4, [] (Play &p) { p.cut_data_centre (); });
}

TEST_P (LeasedRecovery, ServesAgainAfterThreeSlowTimesAndRolls)
{
  play (GetParam (), 5, [] (Play &p) {
    for (int i = 0; i < 3; i++)
      p.slow_then_rolled ();
  });
}

INSTANTIATE_TEST_SUITE_P (Site, LeasedRecovery, testing::ValuesIn (chosen_sites ()),
                          [] (const testing::TestParamInfo<Site> &info) {
                            return std::string ("Of") + info.param.name;
                          });

// The grown site, on which service did not come back.

TEST (LeasedRecoveryOf37, ServesAgainAfterSlowLeadersAndARoll)
{
  play (find_site ("37"), 1, [] (Play &p) { p.slow_then_rolled (); });
}

TEST (LeasedRecoveryOf37, ServesAgainAfterHalfOfTheInstancesWereSlow)
{
  play (find_site ("37"), 6, [] (Play &p) { p.slow_half (); });
}
