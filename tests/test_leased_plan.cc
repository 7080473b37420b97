// Starts by a plan on the targets of a leader, beside starts in the order of service. Loads are
// drawn from fixed seeds in virtual time.

#include "leased_world.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>

using leased::ms;
using leased::World;

namespace
{

// A kind of job of one task, its size drawn evenly.
struct Kind
{
  uint32_t cpu_min;
  uint32_t cpu_max;
  double share; // of all jobs
  uint32_t max_per_target = 0;
};

struct Result
{
  // In the order of `kinds`: jobs, those that were answered in time, and the times of answers.
  std::vector<int> jobs;
  std::vector<int> in_aim;
  std::vector<int64_t> answered_us;
  int double_runs = 0;
  uint32_t rejected_starts = 0;
  size_t kept = 0;
  int unanswered = 0;
  uint32_t most_on_one_target = 0; // of tasks of one job
};

// Jobs of `tasks` tasks each for 10 s on 12 targets of 16 and 24 processors, at `load` of their
// capacity.
Result
play (bool fills_gaps, const std::vector<Kind> &kinds, double load, int tasks = 1,
      const std::function<void (World &, int)> &on_ms = nullptr)
{
  constexpr int run_ms = 100;
  World world;
  Result result;
  std::mt19937_64 random (11);
  std::map<uint64_t, std::pair<size_t, int64_t>> callers;
  double mean_cpu = 0;
  double capacity = 0;
  std::vector<double> shares;

  world.fills_gaps = fills_gaps;
  world.rejects_excess_runs = true;
  world.add_instance ("dc1");
  for (int i = 0; i < 12; i++)
    {
      uint32_t cpu = i % 3 == 2 ? 24000 : 16000;

      world.add_target ("dc1", cpu);
      capacity += cpu;
    }
  world.start_all ();
  world.run_for (2000 * ms);
  for (const Kind &kind : kinds)
    {
      shares.push_back (kind.share);
      mean_cpu += kind.share * (kind.cpu_min + kind.cpu_max) / 2;
    }
  result.jobs.resize (kinds.size ());
  result.in_aim.resize (kinds.size ());
  std::discrete_distribution<size_t> draw_kind (shares.begin (), shares.end ());
  std::exponential_distribution<double> interval (load * capacity / (mean_cpu * run_ms * tasks));
  double next_ms = 0;
  for (int time_ms = 0; time_ms < 10000; time_ms++)
    {
      for (; next_ms <= time_ms; next_ms += interval (random))
        {
          size_t k = draw_kind (random);
          std::uniform_int_distribution<uint32_t> size (kinds[k].cpu_min, kinds[k].cpu_max);
          std::uniform_int_distribution<uint32_t> real (run_ms / 2, 3 * run_ms / 2);
          leased::Step step = { static_cast<uint32_t> (tasks), size (random), run_ms,
                                real (random) };

          step.max_per_target = kinds[k].max_per_target;
          uint64_t caller = world.submit (
              0, std::string ("j").append (std::to_string (callers.size ())), { step });
          callers[caller] = { k, world.now_us };
          result.jobs[k]++;
        }
      if (on_ms)
        on_ms (world, time_ms);
      world.run_for (ms);
      for (const auto &target : world.targets)
        {
          std::map<std::string, uint32_t> runs_of_job;

          for (const auto &run : target->runs)
            result.most_on_one_target = std::max (
                result.most_on_one_target, ++runs_of_job[run.task.substr (0, run.task.find ('.'))]);
        }
    }
  world.run_for (4000 * ms);
  for (auto &[caller, sent] : callers)
    {
      auto found = world.answers.find (caller);

      if (found == world.answers.end ())
        {
          result.unanswered++;
          continue;
        }
      result.answered_us.push_back (found->second.at_us);
      result.in_aim[sent.first] += found->second.answer == DKS_BATCH_COMPLETED
                                   && found->second.at_us - sent.second <= 220 * ms;
    }
  result.double_runs = world.double_runs;
  for (const auto &target : world.targets)
    result.rejected_starts += target->rejected_starts;
  result.kept = leased::count_logged (world, "event=room-kept");
  return result;
}

double
share (const Result &result, size_t kind)
{
  return static_cast<double> (result.in_aim[kind]) / result.jobs[kind];
}

void
show (const char *name, const Result &order, const Result &fill)
{
  for (size_t k = 0; k < order.jobs.size (); k++)
    printf ("%s, kind %zu of %d jobs: in aim %.3f in order, %.3f by plans\n", name, k,
            order.jobs[k], share (order, k), share (fill, k));
  printf ("%s: rooms kept %zu, starts rejected %u in order, %u by plans\n", name, fill.kept,
          order.rejected_starts, fill.rejected_starts);
}

}

TEST (LeasedPlan, LargeJobsAmongSmallOnesAreServed)
{
  const std::vector<Kind> kinds = { { 13000, 15000, 0.08 }, { 4000, 6000, 0.92 } };
  Result order = play (false, kinds, 0.95);
  Result fill = play (true, kinds, 0.95);

  show ("13 to 15 among 4 to 6 of 16 and 24", order, fill);
  EXPECT_LT (share (order, 0), 0.9);
  EXPECT_GT (share (fill, 0), share (order, 0) + 0.05);
  EXPECT_GT (share (fill, 1), share (order, 1) - 0.02);
  EXPECT_EQ (fill.double_runs, 0);
  EXPECT_EQ (fill.rejected_starts, 0U);
  EXPECT_EQ (fill.unanswered, 0);
}

TEST (LeasedPlan, HalvesOfATargetAreServedMoreOften)
{
  const std::vector<Kind> kinds = { { 9000, 11000, 0.35 }, { 5000, 9000, 0.65 } };
  Result order = play (false, kinds, 1.1, 2);
  Result fill = play (true, kinds, 1.1, 2);

  show ("5 to 11 of 16 and 24", order, fill);
  EXPECT_GT (share (fill, 0), share (order, 0));
  EXPECT_GT (share (fill, 0) + share (fill, 1), share (order, 0) + share (order, 1));
  EXPECT_EQ (fill.double_runs, 0);
  EXPECT_EQ (fill.rejected_starts, 0U);
  EXPECT_EQ (fill.unanswered, 0);
}

// Where plans are not called for, each job gets the same answer at the same time as without them.
TEST (LeasedPlan, EqualOrSmallTasksStartAsInOrder)
{
  for (const Kind &kind : { Kind{ 8000, 8000, 1 }, Kind{ 2000, 5000, 1 } })
    {
      Result order = play (false, { kind }, 1.1);
      Result fill = play (true, { kind }, 1.1);

      EXPECT_EQ (order.answered_us, fill.answered_us) << kind.cpu_min;
      EXPECT_EQ (fill.kept, 0U);
    }
}

TEST (LeasedPlan, MaxPerTargetHolds)
{
  const std::vector<Kind> kinds = { { 2000, 7000, 1, 1 } };
  Result fill = play (true, kinds, 0.8, 4);

  EXPECT_EQ (fill.most_on_one_target, 1U);
  EXPECT_GT (play (true, { { 2000, 7000, 1, 0 } }, 0.8, 4).most_on_one_target, 1U);
}

// A target that crashes while its room may be kept, and one that leaves the list, cost nothing but
// their own runs.
TEST (LeasedPlan, KeptTargetsMayGo)
{
  const std::vector<Kind> kinds = { { 13000, 15000, 0.1 }, { 4000, 6000, 0.9 } };
  Result fill = play (true, kinds, 0.9, 1, [] (World &world, int time_ms) {
    if (time_ms % 500 == 250)
      world.crash (*world.targets[(size_t)time_ms / 500 % 12], 300 * ms);
  });

  EXPECT_GT (fill.kept, 0U);
  EXPECT_EQ (fill.double_runs, 0);
  EXPECT_EQ (fill.unanswered, 0);
}
