// Overload of one data centre in virtual time: more work than its targets can run, from callers
// that come back after Retry-After. Which requests are served in time, and how the others are told.

#include "leased_world.h"

#include <cmath>
#include <gtest/gtest.h>
#include <random>

using leased::ms;
using leased::World;

namespace
{

constexpr int target_count = 12;
constexpr int slots_per_target = 2; // tasks of 6.8 processors on targets of 16
constexpr int64_t caller_ms = 3000; // time that each caller waits
constexpr int64_t warm_up_ms = 3000;
constexpr int64_t crowd_ms = 8000;
constexpr int64_t after_ms = 4000;
constexpr double base_load = 0.8; // of the capacity, before and after the crowd
constexpr int returns_max = 2;    // times that a refused caller comes back
// A slot that has been free for less is on its way to the next task.
constexpr int64_t room_min_us = 10 * ms;
constexpr int64_t refusal_max_us = 50 * ms;

// Kind of job: tasks of one step.
struct Kind
{
  const char *queue_prefix;
  uint32_t tasks;
  uint32_t run_ms; // mean
  double share;    // of all jobs
};

const std::vector<Kind> one_kind = { { "q", 2, 200, 1 } };
// As on the sites: many small jobs, wide ones of short tasks first, a few long ones last.
const std::vector<Kind> site_mix = { { "q", 8, 60, 0.245 },
                                     { "middle", 2, 200, 0.71 },
                                     { "low", 4, 900, 0.045 } };

struct Attempt
{
  const Kind *kind;
  std::string id;
  size_t entry;
  uint32_t real_ms;
  uint32_t declared_ms;
  int64_t sent_us;
  int returns;
  bool in_crowd;
};

// What callers saw; unless named otherwise, of attempts during the crowd.
struct Figures
{
  int attempts = 0;
  int in_aim = 0;
  int late = 0;
  int refused = 0;
  int refused_with_room = 0;
  int refused_slowly = 0; // later than `refusal_max_us`
  int unanswered = 0;     // no answer at all, or 504
  int64_t slowest_refusal_us = 0;
  double in_aim_work = 0; // run time of tasks that were answered in time, over the capacity
  // Likewise of the work that new callers brought from 2 s after the crowd on.
  double after_in_aim = 0;
  std::set<uint32_t> retry_after_s;
};

class Crowd
{
public:
  Crowd (const std::vector<Kind> &given_kinds, double given_factor)
      : kinds (given_kinds), factor (given_factor), random (7)
  {
    for (auto &kind : kinds)
      job_work_ms += kind.share * kind.tasks * kind.run_ms;
  }

  Figures play ();

private:
  // Uniform, 0 to 1; the same on each platform.
  double
  draw ()
  {
    return static_cast<double> (random () >> 11) / static_cast<double> (1ULL << 53);
  }
  void submit (Attempt attempt);
  void arrive ();
  void update_room ();
  void handle_answers ();
  void handle_answer (Attempt &attempt, const leased::Answer &answer);

  std::vector<Kind> kinds;
  double factor;
  std::mt19937_64 random;
  double job_work_ms = 0; // mean run time of all tasks of a job
  World world;
  std::map<uint64_t, Attempt> open; // by number of the caller
  std::multimap<int64_t, Attempt> returning;
  std::vector<int64_t> free_since_us = std::vector<int64_t> (target_count, 0);
  int64_t start_us = 0;
  int64_t next_arrival_us = 0;
  int next_id = 0;
  double after_work_ms = 0;
  double after_in_aim_work_ms = 0;
  Figures figures;
};

void
Crowd::submit (Attempt attempt)
{
  int64_t at_ms = (world.now_us - start_us) / ms;

  attempt.sent_us = world.now_us;
  attempt.in_crowd = at_ms >= warm_up_ms && at_ms < warm_up_ms + crowd_ms;
  figures.attempts += attempt.in_crowd;
  uint64_t caller =
      world.submit (attempt.entry, attempt.id,
                    { { attempt.kind->tasks, 6800, attempt.declared_ms, attempt.real_ms } },
                    caller_ms, attempt.kind->queue_prefix);
  open[caller] = attempt;
}

void
Crowd::arrive ()
{
  int64_t at_ms = (world.now_us - start_us) / ms;
  bool in_crowd = at_ms >= warm_up_ms && at_ms < warm_up_ms + crowd_ms;
  double capacity_ms = 0; // run time that the targets complete in 1 ms
  double pick = draw ();
  const Kind *kind = &kinds[0];
  Attempt attempt = {};
  char id[17];

  for (auto &target : world.targets)
    capacity_ms += slots_per_target / target->slowness;
  for (auto &other : kinds)
    {
      kind = &other;
      if ((pick -= other.share) < 0)
        break;
    }
  snprintf (id, sizeof (id), "%016x", ++next_id);
  attempt.kind = kind;
  attempt.id = id;
  attempt.entry = draw () < 0.5 ? 0 : 1;
  attempt.real_ms = static_cast<uint32_t> (kind->run_ms * (0.7 + 0.6 * draw ()));
  attempt.declared_ms = static_cast<uint32_t> (attempt.real_ms * (0.6 + 0.8 * draw ()));
  submit (attempt);
  next_arrival_us += static_cast<int64_t> (-std::log (1 - draw ()) * 1000 * job_work_ms
                                           / (capacity_ms * (in_crowd ? factor : base_load)));
}

void
Crowd::update_room ()
{
  for (size_t i = 0; i < world.targets.size (); i++)
    {
      if (world.targets[i]->runs.size () >= slots_per_target)
        free_since_us[i] = world.now_us;
    }
}

void
Crowd::handle_answer (Attempt &attempt, const leased::Answer &answer)
{
  int64_t age_us = answer.at_us - attempt.sent_us;
  int64_t objective_us =
      (world.objective_extra_ms + attempt.real_ms * world.objective_factor_milli / 1000) * ms;
  bool in_aim = answer.answer == DKS_BATCH_COMPLETED && age_us <= objective_us;
  int64_t longest_free_us = 0;

  if (attempt.sent_us - start_us > (warm_up_ms + crowd_ms + 2000) * ms)
    {
      double work_ms = attempt.real_ms * attempt.kind->tasks;

      after_work_ms += attempt.returns == 0 ? work_ms : 0;
      after_in_aim_work_ms += in_aim ? work_ms : 0;
    }
  if (answer.answer == DKS_BATCH_REFUSED && attempt.returns < returns_max)
    {
      Attempt again = attempt;
      // The Retry-After header has whole seconds.
      int64_t at_us = answer.at_us + (answer.retry_after_ms + 999) / 1000 * 1000 * ms;

      again.returns++;
      returning.insert ({ at_us, again });
    }
  if (!attempt.in_crowd)
    return;
  if (in_aim)
    {
      figures.in_aim++;
      figures.in_aim_work += attempt.real_ms * attempt.kind->tasks;
    }
  else if (answer.answer == DKS_BATCH_COMPLETED)
    figures.late++;
  else if (answer.answer == DKS_BATCH_REFUSED)
    {
      for (int64_t since_us : free_since_us)
        longest_free_us = std::max (longest_free_us, answer.at_us - since_us);
      figures.refused++;
      figures.retry_after_s.insert ((answer.retry_after_ms + 999) / 1000);
      figures.refused_with_room += longest_free_us >= room_min_us;
      figures.refused_slowly += age_us > refusal_max_us;
      figures.slowest_refusal_us = std::max (figures.slowest_refusal_us, age_us);
    }
  else
    figures.unanswered++;
}

void
Crowd::handle_answers ()
{
  for (auto it = open.begin (); it != open.end ();)
    {
      auto answer = world.answers.find (it->first);

      if (answer == world.answers.end ())
        {
          ++it;
          continue;
        }
      handle_answer (it->second, answer->second);
      it = open.erase (it);
    }
}

Figures
Crowd::play ()
{
  double capacity_ms = 0;

  world.further_queues = { { "middle", 1 }, { "low", 2 } };
  world.add_instance ("a");
  world.add_instance ("a");
  for (int i = 0; i < target_count; i++)
    {
      world.add_target ("a");
      world.targets.back ()->slowness = kinds.size () > 1 && i % 3 == 2 ? 1.3 : 1;
      capacity_ms += slots_per_target / world.targets.back ()->slowness;
    }
  world.start_all ();
  world.run_for (2000 * ms);
  start_us = world.now_us;
  next_arrival_us = start_us;
  while (world.now_us < start_us + (warm_up_ms + crowd_ms + after_ms + caller_ms) * ms)
    {
      while (next_arrival_us <= world.now_us
             && world.now_us < start_us + (warm_up_ms + crowd_ms + after_ms) * ms)
        arrive ();
      while (!returning.empty () && returning.begin ()->first <= world.now_us)
        {
          Attempt attempt = returning.begin ()->second;

          returning.erase (returning.begin ());
          submit (attempt);
        }
      world.run_for (ms);
      update_room ();
      handle_answers ();
    }
  for (auto &[caller, attempt] : open)
    figures.unanswered += attempt.in_crowd;
  figures.in_aim_work /= capacity_ms * crowd_ms;
  figures.after_in_aim = after_in_aim_work_ms / after_work_ms;
  EXPECT_EQ (world.double_runs, 0);
  return figures;
}

constexpr double factors[] = { 1.2, 1.5, 2, 2.5, 4 };

// Figures of the play, which runs once for all tests of this program.
const Figures &
play (const std::vector<Kind> &kinds, double factor)
{
  static std::map<std::pair<size_t, double>, Figures> plays;
  std::pair<size_t, double> key = { kinds.size (), factor };

  if (plays.count (key) == 0)
    {
      Figures f = Crowd (kinds, factor).play ();

      printf ("kinds=%zu factor=%.1f attempts=%d in_aim=%d late=%d refused=%d with_room=%d "
              "slowly=%d slowest_ms=%d unanswered=%d goodput=%.3f after=%.3f "
              "retry_times=%zu\n",
              kinds.size (), factor, f.attempts, f.in_aim, f.late, f.refused, f.refused_with_room,
              f.refused_slowly, static_cast<int> (f.slowest_refusal_us / ms), f.unanswered,
              f.in_aim_work, f.after_in_aim, f.retry_after_s.size ());
      plays[key] = f;
    }
  return plays[key];
}

}

// Guards against work that takes slots and ends too late: the targets are busy but few callers get
// their answer in time.
TEST (LeasedOverload, TargetsServeInTimeWhatTheyCan)
{
  for (double factor : factors)
    EXPECT_GE (play (one_kind, factor).in_aim_work, 0.9) << factor;
}

// Guards against the same when wide jobs come first and long ones last, on targets of uneven speed.
TEST (LeasedOverload, TargetsServeInTimeWhatTheyCanOfAMix)
{
  for (double factor : factors)
    EXPECT_GE (play (site_mix, factor).in_aim_work, 0.9) << factor;
}

// Guards against a queue that admits what it cannot serve in time.
TEST (LeasedOverload, FewAnswersAreLate)
{
  for (double factor : factors)
    {
      const Figures &f = play (one_kind, factor);
      EXPECT_LE (20 * f.late, f.in_aim + f.late) << factor;
    }
}

// Guards against the same where requests of a higher priority pass those that were admitted.
TEST (LeasedOverload, FewAnswersAreLateOfAMix)
{
  for (double factor : factors)
    {
      const Figures &f = play (site_mix, factor);
      EXPECT_LE (20 * f.late, f.in_aim + f.late) << factor;
    }
}

// Guards against callers that are held in the queue and then told that nothing was run.
TEST (LeasedOverload, RefusalsComeAtOnce)
{
  for (double factor : factors)
    EXPECT_EQ (play (one_kind, factor).refused_slowly, 0) << factor;
}

// Guards against the same where requests of a higher priority pass those that were admitted.
TEST (LeasedOverload, RefusalsComeAtOnceInAMix)
{
  for (double factor : factors)
    EXPECT_EQ (play (site_mix, factor).refused_slowly, 0) << factor;
}

// Guards against refusals by an estimate while a target has room.
TEST (LeasedOverload, NothingIsRefusedWhileATargetHasRoom)
{
  for (double factor : factors)
    {
      EXPECT_EQ (play (one_kind, factor).refused_with_room, 0) << factor;
      EXPECT_EQ (play (site_mix, factor).refused_with_room, 0) << factor;
    }
}

// Guards against callers that wait to the end of their time.
TEST (LeasedOverload, EveryCallerGetsAnAnswer)
{
  for (double factor : factors)
    {
      EXPECT_EQ (play (one_kind, factor).unanswered, 0) << factor;
      EXPECT_EQ (play (site_mix, factor).unanswered, 0) << factor;
    }
}

// Guards against callers that are refused over seconds and all come back after the same time.
TEST (LeasedOverload, RefusedCallersComeBackAtDifferentTimes)
{
  for (double factor : factors)
    EXPECT_GE (play (one_kind, factor).retry_after_s.size (), 4U) << factor;
}

// Guards against refused callers that come back together or too early, and keep the system
// overloaded after the crowd has gone.
TEST (LeasedOverload, BaseLevelIsServedSoonAfterTheCrowd)
{
  for (double factor : factors)
    {
      EXPECT_GE (play (one_kind, factor).after_in_aim, 0.95) << factor;
      EXPECT_GE (play (site_mix, factor).after_in_aim, 0.95) << factor;
    }
}

// Guards against a refusal whose estimate cannot be found in the log: `damaskshore explain` prints
// the lines that name the job.
TEST (LeasedOverload, RefusalNamesItsEstimate)
{
  World world;

  world.add_instance ("a");
  world.add_target ("a");
  world.start_all ();
  world.run_for (2000 * ms);
  world.submit (0, "0000000000000001", { { 2, 6800, 900, 900 } });
  world.submit (0, "0000000000000002", { { 2, 6800, 900, 900 } });
  world.run_for (5 * ms);
  uint64_t caller = world.submit (0, "0000000000000003", { { 2, 6800, 900, 900 } });
  world.run_for (5 * ms);
  EXPECT_TRUE (leased::got_answer (world, caller, DKS_BATCH_REFUSED));
  EXPECT_EQ (leased::count_logged (world, "event=estimate job=0000000000000003 "
                                          "by=expected-run-times"),
             1U);
}
