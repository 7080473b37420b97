// Searches for two runs of one task at once: schedules of jobs and faults are drawn from seeds.
// DKS_OVERLAP_SEEDS=FIRST-LAST sets the seeds, LEASED_TRACE prints the log.

#include "leased_world.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>

using leased::ms;
using leased::Target;
using leased::World;

namespace
{

constexpr int64_t start_ms = 4000;  // until the leaders have learned of each other and of targets
constexpr int64_t fault_ms = 9000;  // period in which faults begin
constexpr int64_t settle_ms = 9000; // from the last fault until all callers have an answer
constexpr int64_t retransmit_ms = 1300; // from the loss of an answer to the next submission
constexpr int64_t budget_ms = 6000;
// Time for which an impatient caller waits for the answer to one submission.
constexpr int64_t patience_ms = 1500;

// SplitMix64.
class Random
{
public:
  explicit Random (uint64_t seed) : state (seed)
  {
  }
  uint64_t
  next ()
  {
    state += 0x9e3779b97f4a7c15;
    uint64_t z = state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
    z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
    return z ^ (z >> 31);
  }
  // A number from `low` to `high`.
  int64_t
  between (int64_t low, int64_t high)
  {
    return low + static_cast<int64_t> (next () % static_cast<uint64_t> (high - low + 1));
  }
  bool
  chance (int percent)
  {
    return between (1, 100) <= percent;
  }

private:
  uint64_t state;
};

// A caller that submits its job again when its connection breaks or its job is lost.
struct Client
{
  std::string job;
  std::vector<leased::Step> steps;
  int64_t gives_up_us;
  uint64_t caller = 0; // 0: waits to submit again
  size_t entry = 0;
  bool ended = false;
  int64_t leaves_us = INT64_MAX; // closes its present connection then, and submits again later
};

struct Options
{
  // Callers leave before their job has ended, some of them right after they submitted it, and
  // submit it again.
  bool callers_are_impatient = false;
  // A quarter of the targets reject part of the calls, of which they do nothing.
  bool targets_reject_calls = false;
  // Targets that go on working leave the platform's list and come back, which instances learn at
  // different times.
  bool targets_are_unlisted = false;
  // The operator evacuates data centres and takes them back.
  bool data_centres_are_evacuated = false;
};

class Schedule
{
public:
  Schedule (uint64_t seed, const Options &options)
      : random (seed), patience (seed), rejections (seed), listings (seed), evacuations (seed),
        clocks (seed), options (options)
  {
  }

  void
  run ()
  {
    int data_centres = static_cast<int> (random.between (3, 4));

    world.call_delay_us = random.between (200, 1500);
    for (int i = 0; i < data_centres; i++)
      {
        std::string name (1, static_cast<char> ('a' + i));
        int64_t instances = random.between (1, 4);

        names.push_back (name);
        for (int64_t j = 0; j < instances; j++)
          world.add_instance (name);
      }
    for (auto &name : names)
      {
        int64_t targets = random.between (4, 8);

        for (int64_t j = 0; j < targets; j++)
          world.add_target (name);
      }
    for (auto &target : world.targets)
      target->clock_rate = static_cast<double> (clocks.between (980, 1000)) / 1000;
    if (options.targets_reject_calls)
      make_targets_reject_calls ();
    home = names[static_cast<size_t> (random.between (0, data_centres - 1))];
    world.start_all ();
    world.run_for (start_ms * ms);

    int64_t end_us = world.now_us + fault_ms * ms;
    next_job_us = world.now_us;
    next_fault_us = world.now_us + 500 * ms;
    while (world.now_us < end_us + settle_ms * ms)
      {
        if (world.now_us < end_us && world.now_us >= next_job_us)
          submit_job ();
        if (world.now_us < end_us && world.now_us >= next_fault_us)
          start_faults ();
        run_due_actions ();
        update_clients ();
        world.run_for (step_us);
      }
  }

  World world;

  // Callers that are still connected and without an answer.
  int
  count_unanswered () const
  {
    int count = 0;

    for (auto &client : clients)
      count += !client.ended && client.caller != 0;
    return count;
  }

private:
  static constexpr int64_t step_us = 10 * ms;

  struct Action
  {
    int64_t at_us;
    std::function<void ()> func;
  };

  void
  after (int64_t us, std::function<void ()> func)
  {
    actions.push_back ({ world.now_us + us, std::move (func) });
  }

  void
  run_due_actions ()
  {
    for (size_t i = 0; i < actions.size ();)
      {
        if (actions[i].at_us > world.now_us)
          {
            i++;
            continue;
          }
        auto func = std::move (actions[i].func);

        actions.erase (actions.begin () + static_cast<long> (i));
        func ();
      }
  }

  void
  make_targets_reject_calls ()
  {
    for (auto &target : world.targets)
      {
        if (!rejections.chance (25))
          continue;
        int share = static_cast<int> (rejections.between (5, 60));

        target->rejection = [this, share] (const dks_effect_t &call) {
          return rejections.chance (share) ? DKS_LEASE_UNHEALTHY : DKS_LEASE_OK;
        };
      }
  }

  size_t
  any_instance ()
  {
    return static_cast<size_t> (
        random.between (0, static_cast<int64_t> (world.instances.size ()) - 1));
  }

  // The latest instance of the data centre that began to lead.
  size_t
  leader_of (const std::string &data_centre) const
  {
    std::string text = "event=leader-start data_centre=" + data_centre + " ";

    for (size_t i = world.log.size (); i-- > 0;)
      {
        if (world.log[i].find (text) != std::string::npos)
          return world.find (world.log[i].substr (0, world.log[i].find (' ')));
      }
    return world.find (data_centre + "-1");
  }

  std::string
  any_data_centre ()
  {
    return names[static_cast<size_t> (
        random.between (0, static_cast<int64_t> (names.size ()) - 1))];
  }

  // An instance to which a fault happens: mostly the home leader or another leader.
  size_t
  choose_victim ()
  {
    int64_t kind = random.between (1, 10);

    if (kind <= 4)
      return leader_of (home);
    return kind <= 8 ? leader_of (any_data_centre ()) : any_instance ();
  }

  void
  submit_job ()
  {
    Client client;
    char id[32];
    static const uint32_t run_times_ms[] = { 60, 200, 900, 2000 };
    uint32_t run_ms = run_times_ms[static_cast<size_t> (random.between (0, 3))];

    snprintf (id, sizeof (id), "%016zx", clients.size () + 1);
    client.job = id;
    client.steps = { { static_cast<uint32_t> (random.between (1, 8)), 6800, run_ms, run_ms } };
    client.gives_up_us = world.now_us + budget_ms * ms;
    client.entry = choose_entry ();
    clients.push_back (client);
    submit (clients.back ());
    next_job_us = world.now_us + random.between (20, 250) * ms;
  }

  size_t
  choose_entry ()
  {
    std::string data_centre = random.chance (65) ? home : any_data_centre ();
    std::vector<size_t> candidates;

    for (size_t i = 0; i < world.instances.size (); i++)
      {
        if (world.instances[i]->data_centre == data_centre)
          candidates.push_back (i);
      }
    return candidates[static_cast<size_t> (
        random.between (0, static_cast<int64_t> (candidates.size ()) - 1))];
  }

  void
  submit (Client &client)
  {
    if (!world.instances[client.entry]->up)
      {
        client.caller = 0;
        submit_later (client);
        return;
      }
    if (options.callers_are_impatient)
      client.leaves_us =
          world.now_us + (patience.chance (30) ? patience.between (10, 400) : patience_ms) * ms;
    client.caller = world.submit (
        client.entry, client.job, client.steps,
        options.callers_are_impatient ? patience_ms : (client.gives_up_us - world.now_us) / ms);
  }

  void
  submit_later (const Client &client)
  {
    auto index = static_cast<size_t> (&client - clients.data ());

    after (retransmit_ms * ms, [this, index] {
      if (clients[index].ended || clients[index].gives_up_us <= world.now_us)
        return;
      clients[index].entry = choose_entry ();
      submit (clients[index]);
    });
  }

  void
  update_clients ()
  {
    for (auto &client : clients)
      {
        if (client.ended || client.caller == 0)
          continue;
        if (!world.answered (client.caller) && world.now_us < client.leaves_us)
          continue;
        if (!world.answered (client.caller))
          {
            if (world.instances[client.entry]->up)
              world.leave (client.entry, client.caller);
            client.caller = 0;
            submit_later (client);
            continue;
          }
        client.ended = world.answers[client.caller].answer != DKS_BATCH_LOST;
        client.caller = 0;
        if (!client.ended)
          submit_later (client);
      }
  }

  // The connections of the callers of an instance break.
  void
  break_callers (size_t instance)
  {
    for (auto &client : clients)
      {
        if (client.ended || client.caller == 0 || client.entry != instance
            || world.answered (client.caller))
          continue;
        if (world.instances[instance]->up)
          world.leave (instance, client.caller);
        client.caller = 0;
        submit_later (client);
      }
  }

  // Faults

  void
  kill (size_t instance, int64_t down_us)
  {
    if (!world.instances[instance]->up)
      return;
    world.kill (instance);
    break_callers (instance);
    after (down_us, [this, instance] { world.restart (instance); });
  }

  void
  drain (size_t instance)
  {
    dks_reducer_t *reducer = world.instances[instance]->reducer;

    if (!world.instances[instance]->up)
      return;
    world.drain (instance);
    after (6000 * ms, [this, instance, reducer] {
      if (world.instances[instance]->reducer == reducer)
        kill (instance, 300 * ms);
    });
  }

  void
  freeze (size_t instance, int64_t us)
  {
    world.set_frozen (instance, true);
    frozen_until_us[instance] = std::max (frozen_until_us[instance], world.now_us + us);
    after (us, [this, instance] {
      if (frozen_until_us[instance] <= world.now_us)
        world.set_frozen (instance, false);
    });
  }

  void
  slow (size_t instance, int64_t us)
  {
    world.set_event_cost (instance, random.between (1, 60) * ms);
    after (us, [this, instance] { world.set_event_cost (instance, 0); });
  }

  void
  cut (size_t from, size_t to, int64_t us)
  {
    if (cuts[{ from, to }]++ == 0)
      world.set_cut (from, to, true);
    after (us, [this, from, to] {
      if (--cuts[{ from, to }] == 0)
        world.set_cut (from, to, false);
    });
  }

  void
  cut_both_ways (size_t a, size_t b, int64_t us)
  {
    if (a == b)
      return;
    cut (a, b, us);
    cut (b, a, us);
  }

  void
  cut_off (size_t instance, int64_t us)
  {
    for (size_t other = 0; other < world.instances.size (); other++)
      cut_both_ways (instance, other, us);
    if (random.chance (50))
      cut_targets (instance, us);
  }

  void
  cut_targets (size_t instance, int64_t us)
  {
    for (auto &target : world.targets)
      {
        const Target *key = target.get ();

        if (target->info.data_centre != world.instances[instance]->data_centre
            || !random.chance (60))
          continue;
        target_cuts[{ instance, key }]++;
        world.target_cuts.insert ({ instance, key });
        after (us, [this, instance, key] {
          if (--target_cuts[{ instance, key }] == 0)
            world.target_cuts.erase ({ instance, key });
        });
      }
  }

  void
  cut_data_centre (const std::string &name, int64_t us)
  {
    for (size_t a = 0; a < world.instances.size (); a++)
      {
        for (size_t b = 0; b < world.instances.size (); b++)
          {
            if (world.instances[a]->data_centre == name && world.instances[b]->data_centre != name)
              cut_both_ways (a, b, us);
          }
      }
  }

  void
  start_fault ()
  {
    size_t victim = choose_victim ();
    size_t other = random.chance (50) ? leader_of (any_data_centre ()) : any_instance ();
    int64_t us = random.between (200, 3000) * ms;

    int64_t kind = random.between (1, 13);

    if (world.trace)
      printf ("%9.3f fault %d at %s, other instance %s, for %d ms\n",
              static_cast<double> (world.now_us) / 1e6, static_cast<int> (kind),
              world.instances[victim]->id.c_str (), world.instances[other]->id.c_str (),
              static_cast<int> (us / ms));
    switch (kind)
      {
      case 1:
        drain (victim);
        break;
      case 2:
        kill (victim, random.between (50, 1500) * ms);
        break;
      case 3:
        freeze (victim, us);
        break;
      case 4:
        slow (victim, us);
        break;
      case 5:
        cut_off (victim, us);
        break;
      case 6:
        cut_both_ways (victim, other, us);
        break;
      case 7:
        if (victim != other)
          cut (victim, other, us);
        break;
      case 8:
        cut_data_centre (any_data_centre (), us);
        break;
      case 9:
        world.link_delay_us[{ victim, other }] = random.between (0, 2000) * ms;
        after (us, [this, victim, other] { world.link_delay_us[{ victim, other }] = 0; });
        break;
      case 10:
        for (size_t i = 0; i < world.instances.size (); i++)
          {
            if (i != victim && random.chance (60))
              world.reset_connection (i, victim);
          }
        break;
      case 11:
        cut_targets (victim, us);
        break;
      case 12:
        disturb_targets (us);
        break;
      case 13:
        break_callers (victim);
        break;
      }
  }

  void
  disturb_targets (int64_t us)
  {
    std::string name = any_data_centre ();
    int64_t kind = random.between (1, 3);

    for (auto &target : world.targets)
      {
        Target *disturbed = target.get ();

        if (target->info.data_centre != name || !random.chance (40))
          continue;
        if (kind == 1)
          {
            target->silent = true;
            after (us, [disturbed] { disturbed->silent = false; });
          }
        else if (kind == 2)
          {
            target->start_delay_us = random.between (100, 2500) * ms;
            target->starts_late_until_us = world.now_us + us;
          }
        else
          {
            world.crash (*target, random.between (50, 2000) * ms);
            world.announce_targets ();
          }
      }
  }

  // Tells the instances of the data centre, each after a delay of its own.
  void
  announce (Target *target, bool is_listed)
  {
    target->listed = is_listed;
    for (size_t i = 0; i < world.instances.size (); i++)
      {
        if (world.instances[i]->data_centre != target->info.data_centre)
          continue;
        // Some are turned away by the platform's store for long.
        int64_t delay_ms = listings.between (0, listings.chance (20) ? 7000 : 600);

        after (delay_ms * ms, [this, i, target, is_listed] {
          if (world.instances[i]->up && target->listed == is_listed)
            world.tell_of_target (i, *target, is_listed);
        });
      }
  }

  void
  evacuate ()
  {
    std::string name = evacuations.chance (65) ? home
                                               : names[static_cast<size_t> (evacuations.between (
                                                   0, static_cast<int64_t> (names.size ()) - 1))];

    world.set_evacuated (name, true);
    after (evacuations.between (300, 5000) * ms,
           [this, name] { world.set_evacuated (name, false); });
  }

  void
  unlist_targets ()
  {
    std::string name = listings.chance (65) ? home : any_data_centre_of_list ();
    int64_t us = listings.between (300, 6000) * ms;

    for (auto &one : world.targets)
      {
        Target *target = one.get ();

        if (target->info.data_centre != name || !target->listed || !listings.chance (40))
          continue;
        announce (target, false);
        after (us, [this, target] { announce (target, true); });
      }
  }

  std::string
  any_data_centre_of_list ()
  {
    return names[static_cast<size_t> (
        listings.between (0, static_cast<int64_t> (names.size ()) - 1))];
  }

  // Faults come alone or in series, so that they overlap.
  void
  start_faults ()
  {
    start_fault ();
    if (options.data_centres_are_evacuated && evacuations.chance (40))
      evacuate ();
    if (options.targets_are_unlisted && listings.chance (40))
      unlist_targets ();
    if (random.chance (60))
      next_fault_us = world.now_us + random.between (20, 600) * ms;
    else
      next_fault_us = world.now_us + random.between (1000, 3000) * ms;
  }

  Random random;
  Random patience;   // of the callers
  Random rejections; // of calls, by targets
  Random listings;   // of targets
  Random evacuations;
  Random clocks; // of the targets
  Options options;
  std::vector<std::string> names; // of the data centres
  std::string home;               // data centre that gets most of the jobs
  std::vector<Client> clients;
  std::vector<Action> actions;
  std::map<size_t, int64_t> frozen_until_us;
  std::map<std::pair<size_t, size_t>, int> cuts;
  std::map<std::pair<size_t, const Target *>, int> target_cuts;
  int64_t next_job_us = 0;
  int64_t next_fault_us = 0;
};

}

namespace
{

void
play_schedules (const Options &options)
{
  const char *range = getenv ("DKS_OVERLAP_SEEDS");
  unsigned long long first = 1;
  unsigned long long last = 100;

  if (range != nullptr)
    {
      ASSERT_EQ (sscanf (range, "%llu-%llu", &first, &last), 2) << "FIRST-LAST expected";
    }
  for (unsigned long long seed = first; seed <= last; seed++)
    {
      Schedule schedule (seed, options);

      schedule.run ();
      std::string text;
      for (auto &line : schedule.world.double_run_log)
        text += line + "\n";
      for (auto &line : schedule.world.double_run_reports)
        text += line + "\n";
      EXPECT_EQ (schedule.world.double_runs, 0) << "seed " << seed << "\n" << text;
      EXPECT_EQ (schedule.count_unanswered (), 0) << "seed " << seed;
    }
}

}

// Guards against two runs of one task at once, over overlapping faults while tasks are lent.
TEST (LeasedOverlap, NoTaskHasTwoRunsOnAnySchedule)
{
  play_schedules ({});
}

// The same while callers leave early and submit their jobs again, also to instances that stand
// still meanwhile.
TEST (LeasedOverlap, NoTaskHasTwoRunsWhenCallersLeaveEarly)
{
  play_schedules ({ .callers_are_impatient = true });
}

// The same while targets reject starts, stops and holds.
TEST (LeasedOverlap, NoTaskHasTwoRunsWhileTargetsRejectCalls)
{
  play_schedules ({ .callers_are_impatient = true, .targets_reject_calls = true });
}

// The same while targets that go on working leave the platform's list.
TEST (LeasedOverlap, NoTaskHasTwoRunsWhileTargetsAreUnlisted)
{
  play_schedules ({ .targets_are_unlisted = true });
}

// Guards against a task of a job that an earlier leader had, which is lent although it may run: in
// an evacuated data centre such tasks are lent.
TEST (LeasedOverlap, NoTaskHasTwoRunsWhileDataCentresAreEvacuated)
{
  play_schedules ({ .data_centres_are_evacuated = true });
}

namespace
{

const char *const task_id = "0000000000000001";

// Data centres with the instances "a-1", "a-2", ..., whose leaders know their targets.
void
start_data_centres (World &world, const std::vector<std::pair<int, int>> &instances_and_targets)
{
  std::string name = "a";

  for (auto [instances, targets] : instances_and_targets)
    {
      for (int i = 0; i < instances; i++)
        world.add_instance (name);
      for (int i = 0; i < targets; i++)
        world.add_target (name);
      name[0]++;
    }
  world.start_all ();
  world.run_for (4000 * ms);
}

// Keeps the only target of data centre "a" busy, so that "a-1" lends the tasks that come next.
void
fill_home (World &world)
{
  world.submit (world.find ("a-1"), "00000000000000ff", { { 2, 6800, 4000, 4000 } }, 12000);
  world.run_for (20 * ms);
}

uint64_t
submit_long_task (World &world, const std::string &instance)
{
  return world.submit (world.find (instance), task_id, { { 1, 6800, 2000, 2000 } }, 6000);
}

// Runs of the long task's job on targets of the data centre.
size_t
count_runs (const World &world, const std::string &data_centre)
{
  return leased::count_runs (world, task_id, data_centre);
}

// The caller closes its connection and submits its job again in another data centre, which starts
// it.
void
submit_elsewhere (World &world, size_t instance, uint64_t caller, const std::string &data_centre)
{
  world.leave (instance, caller);
  world.run_for (retransmit_ms * ms);
  submit_long_task (world, data_centre + "-1");
  world.run_for (10 * ms);
  ASSERT_EQ (count_runs (world, data_centre), 1U);
}

testing::AssertionResult
has_no_double_run (const World &world)
{
  std::string text;

  for (auto &line : world.double_run_reports)
    text += line + "\n";
  return world.double_runs == 0 ? testing::AssertionSuccess ()
                                : testing::AssertionFailure () << text;
}

}

// Guards against a remote leader that starts a lent task which a cut held up for over a second: the
// first status after the cut, held up as long, became the reference for the delay of messages.
TEST (LeasedOverlap, LentTaskHeldUpByACutIsNotStarted)
{
  World world;
  start_data_centres (world, { { 1, 1 }, { 1, 4 }, { 1, 4 } });
  fill_home (world);
  world.set_cut_both_ways (world.find ("a-1"), world.find ("b-1"), true);
  world.set_cut_both_ways (world.find ("a-1"), world.find ("c-1"), true);
  world.run_for (110 * ms); // a status is held as well
  uint64_t caller = submit_long_task (world, "a-1");
  world.run_for (20 * ms);
  ASSERT_NE (world.last_lend_msg, nullptr);
  submit_elsewhere (world, world.find ("a-1"), caller, "c");
  world.set_cut_both_ways (world.find ("a-1"), world.find ("b-1"), false);
  world.set_cut_both_ways (world.find ("a-1"), world.find ("c-1"), false);
  world.run_for (500 * ms);
  EXPECT_TRUE (has_no_double_run (world));
}

// Guards against the same start by the leader to which an entry instance sent the job: the caller
// has left it since, and submitted the job again in another data centre.
TEST (LeasedOverlap, JobHeldUpByACutIsNotStarted)
{
  World world;
  start_data_centres (world, { { 2, 4 }, { 1, 4 } });
  size_t leader = world.find ("a-1");
  size_t entry = world.find ("a-2");

  world.set_cut (entry, leader, true);
  world.run_for (110 * ms); // a status is held as well
  uint64_t caller = submit_long_task (world, "a-2");
  world.run_for (20 * ms);
  submit_elsewhere (world, entry, caller, "b");
  world.set_cut (entry, leader, false);
  world.run_for (500 * ms);
  EXPECT_TRUE (has_no_double_run (world));
}

// Guards against the same start by a remote leader that was frozen: after a pause the first status,
// which waited as long as the lent task, became the reference for the delay of messages.
TEST (LeasedOverlap, LentTaskThatWaitedAtAFrozenLeaderIsNotStarted)
{
  World world;
  start_data_centres (world, { { 1, 1 }, { 1, 4 }, { 1, 4 } });
  fill_home (world);

  world.set_frozen (world.find ("b-1"), true);
  world.run_for (110 * ms); // a status waits as well
  uint64_t caller = submit_long_task (world, "a-1");
  world.run_for (20 * ms);
  ASSERT_NE (world.last_lend_msg, nullptr);
  submit_elsewhere (world, world.find ("a-1"), caller, "c");
  world.set_frozen (world.find ("b-1"), false);
  world.run_for (500 * ms);
  EXPECT_TRUE (has_no_double_run (world));
}

// Guards against a second run when the home leader and the remote leader are both lost: the
// successor of the remote leader extends the lease of the run until it takes it for orphaned, which
// is longer than the home leader's successor waits.
TEST (LeasedOverlap, RunIsNotStartedAgainWhileTheRemoteSuccessorKeepsIt)
{
  for (int64_t gap_ms = 500; gap_ms <= 900; gap_ms += 50)
    {
      World world;
      start_data_centres (world, { { 2, 1 }, { 2, 4 } });
      fill_home (world);
      world.submit (world.find ("a-2"), task_id, { { 1, 6800, 3000, 3000 } }, 8000);
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, "b"), 1U);
      world.link_delay_us[{ world.find ("a-1"), world.find ("b-1") }] = 400 * ms;
      world.run_for (300 * ms);
      world.set_frozen (world.find ("a-1"), true);
      world.run_for (gap_ms * ms);
      world.set_frozen (world.find ("b-1"), true);
      world.run_for (4000 * ms);
      EXPECT_TRUE (has_no_double_run (world)) << "gap of " << gap_ms << " ms";
    }
}

// Guards against a successor that says "does not run here" of a task on a target that it has not
// reached yet, while its predecessor still reaches the target.
TEST (LeasedOverlap, SuccessorDoesNotAnswerForATargetItHasNotRead)
{
  World world;
  start_data_centres (world, { { 1, 1 }, { 2, 4 }, { 1, 4 } });
  fill_home (world);
  size_t former = world.find ("b-1");
  size_t successor = world.find ("b-2");

  for (auto &target : world.targets)
    {
      if (std::string (target->info.data_centre) == "b")
        world.target_cuts.insert ({ successor, target.get () });
      if (std::string (target->info.data_centre) == "c")
        target->slowness = 1.1;
    }
  world.set_cut_both_ways (former, successor, true);
  world.run_for (900 * ms);
  world.set_frozen (world.find ("c-1"), true);
  submit_long_task (world, "a-1");
  world.run_for (100 * ms);
  world.set_frozen (world.find ("c-1"), false);
  EXPECT_EQ (count_runs (world, "b"), 1U);
  world.set_cut_both_ways (former, successor, false);
  world.run_for (2000 * ms);
  EXPECT_TRUE (has_no_double_run (world));
}

// Guards against a refusal by an instance that has stopped leading, taken for "does not run" in
// answer to a query for a lent task.
TEST (LeasedOverlap, RefusedQueryDoesNotShowThatATaskHasNoRun)
{
  for (int64_t drain_ms = 0; drain_ms <= 40; drain_ms++)
    {
      World world;
      start_data_centres (world, { { 1, 1 }, { 2, 4 }, { 1, 4 } });
      for (auto &target : world.targets)
        target->slowness = std::string (target->info.data_centre) == "c" ? 1.3 : 1;
      fill_home (world);
      submit_long_task (world, "a-1");
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, "b"), 1U);
      size_t home = world.find ("a-1");
      size_t remote = world.find ("b-1");
      world.set_cut (remote, home, true);
      world.set_cut_both_ways (home, world.find ("b-2"), true);
      world.run_for (800 * ms);
      world.link_delay_us[{ home, remote }] = 20 * ms;
      world.set_cut (remote, home, false);
      world.run_for (drain_ms * ms);
      world.drain (remote);
      world.run_for (2000 * ms);
      EXPECT_TRUE (has_no_double_run (world)) << "drained after " << drain_ms << " ms";
    }
}

// Guards against an orphaned run that outlives the resubmission of its job: the successor extended
// its lease, and the stop did not reach the target.
TEST (LeasedOverlap, OrphanWhoseStopIsLostEndsBeforeTheResubmission)
{
  for (int64_t silent_after_ms = 650; silent_after_ms <= 1250; silent_after_ms += 50)
    {
      World world;
      start_data_centres (world, { { 2, 4 }, { 1, 4 } });
      submit_long_task (world, "a-1");
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, "a"), 1U);
      for (const char *other : { "a-2", "b-1" })
        world.set_cut_both_ways (world.find ("a-1"), world.find (other), true);
      world.kill (world.find ("a-1"));
      world.run_for (silent_after_ms * ms);
      for (auto &target : world.targets)
        target->silent = std::string (target->info.data_centre) == "a";
      world.run_for ((1300 - silent_after_ms) * ms);
      submit_long_task (world, "b-1");
      world.run_for (1000 * ms);
      EXPECT_TRUE (has_no_double_run (world)) << "silent after " << silent_after_ms << " ms";
    }
}

// Guards against orphaned runs of a data centre with one instance: after its restart it extended
// their leases before it stopped them, by when the job ran in another data centre.
TEST (LeasedOverlap, OrphanOfASingleInstanceEndsBeforeTheResubmission)
{
  for (int64_t down_ms = 100; down_ms <= 900; down_ms += 50)
    {
      World world;
      start_data_centres (world, { { 1, 4 }, { 1, 4 } });
      submit_long_task (world, "a-1");
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, "a"), 1U);
      world.kill (world.find ("a-1"));
      world.run_for (down_ms * ms);
      world.restart (world.find ("a-1"));
      world.run_for ((1300 - down_ms) * ms);
      submit_long_task (world, "b-1");
      world.run_for (1000 * ms);
      EXPECT_TRUE (has_no_double_run (world)) << "down for " << down_ms << " ms";
    }
}

// Guards against a cancelled task that runs on: each message that lends tasks or queries for them
// adds an entry at the remote leader, and each cancellation ends only one of those of the job.
TEST (LeasedOverlap, CancellationStopsAllLentTasksOfAJob)
{
  World world;
  start_data_centres (world, { { 1, 1 }, { 1, 1 }, { 1, 4 } });
  fill_home (world);
  size_t home = world.find ("a-1");
  size_t remote = world.find ("b-1");
  world.set_cut_both_ways (home, world.find ("c-1"), true);
  world.run_for (800 * ms);

  world.set_cut (remote, home, true); // the refusal of the second task is held
  world.submit (remote, "00000000000000fe", { { 1, 6800, 300, 300 } });
  // The second lend is late for the objective, and comes after the queries in the order of jobs.
  uint64_t caller = world.submit (home, task_id, { { 2, 6800, 1000, 3000 } }, 8000);
  world.run_for (800 * ms);
  ASSERT_EQ (count_runs (world, "b"), 1U);
  world.set_cut (remote, home, false);
  world.run_for (100 * ms);
  ASSERT_EQ (count_runs (world, "b"), 2U);
  world.leave (home, caller);
  world.run_for (1300 * ms);
  EXPECT_EQ (count_runs (world, "b"), 0U);
  world.submit (world.find ("c-1"), task_id, { { 2, 6800, 3000, 3000 } }, 6000);
  world.run_for (200 * ms);
  EXPECT_TRUE (has_no_double_run (world));
}

// Guards against a run that goes on in another data centre after its job was cancelled: the home
// leader hears nothing of the remote one, which still hears it.
TEST (LeasedOverlap, LentTaskIsCancelledAtALeaderThatCountsAsLost)
{
  World world;
  start_data_centres (world, { { 1, 1 }, { 1, 4 }, { 1, 4 } });
  fill_home (world);
  uint64_t caller = submit_long_task (world, "a-1");
  world.run_for (50 * ms);
  ASSERT_EQ (count_runs (world, "b") + count_runs (world, "c"), 1U);
  std::string remote = count_runs (world, "b") > 0 ? "b" : "c";
  world.set_cut (world.find (remote + "-1"), world.find ("a-1"), true);
  world.run_for (750 * ms);
  ASSERT_EQ (count_runs (world, remote), 1U);
  world.leave (world.find ("a-1"), caller);
  world.run_for (100 * ms);
  EXPECT_EQ (count_runs (world, remote), 0U);
}

// Guards against a remote leader that starts a lent task over a second after it was lent: all
// messages on the connection have been delayed since the home leader's process started, so none
// seems to be late.
TEST (LeasedOverlap, LentTaskOnAConnectionThatWasAlwaysSlowIsNotStarted)
{
  World world;
  start_data_centres (world, { { 1, 1 }, { 1, 4 }, { 1, 4 } });
  size_t home = world.find ("a-1");
  world.kill (home);
  for (auto other : { "b-1", "c-1" })
    world.link_delay_us[{ home, world.find (other) }] = 1400 * ms;
  world.restart (home);
  world.run_for (6000 * ms);
  fill_home (world);
  uint64_t caller = submit_long_task (world, "a-1");
  world.run_for (20 * ms);
  ASSERT_NE (world.last_lend_msg, nullptr);
  std::string other = leased::count_logged (world, "tasks=1 to=b-1") > 0 ? "c" : "b";
  submit_elsewhere (world, home, caller, other);
  world.run_for (500 * ms);
  EXPECT_TRUE (has_no_double_run (world));
}

// The same for a job that an entry instance passes to its leader.
TEST (LeasedOverlap, JobOnAConnectionThatWasAlwaysSlowIsNotStarted)
{
  World world;
  start_data_centres (world, { { 2, 4 }, { 1, 4 } });
  size_t entry = world.find ("a-2");
  world.kill (entry);
  world.link_delay_us[{ entry, world.find ("a-1") }] = 1400 * ms;
  world.restart (entry);
  world.run_for (6000 * ms);
  uint64_t caller = submit_long_task (world, "a-2");
  world.run_for (20 * ms);
  submit_elsewhere (world, entry, caller, "b");
  world.run_for (500 * ms);
  EXPECT_TRUE (has_no_double_run (world));
}

// Guards against a job that a new leader starts over a second after it was sent to it: its entry
// instance had sent it to an earlier leader before (review/13).
TEST (LeasedOverlap, JobHeldUpOnItsWayToASecondLeaderIsNotStarted)
{
  World world;
  start_data_centres (world, { { 3, 4 }, { 1, 4 } });
  size_t entry = world.find ("a-3");

  for (size_t other = 0; other < world.instances.size (); other++)
    {
      if (other != entry)
        world.set_cut (entry, other, true);
    }
  uint64_t caller = submit_long_task (world, "a-3");
  world.run_for (50 * ms);
  world.kill (world.find ("a-1"));
  world.run_for (200 * ms);
  ASSERT_EQ (leased::count_logged (world, "a-2 event=leader-start"), 1U);
  ASSERT_EQ (leased::count_logged (world, "a-3 event=request-moved"), 1U);
  world.set_frozen (entry, true);
  submit_elsewhere (world, entry, caller, "b");
  for (size_t other = 0; other < world.instances.size (); other++)
    world.set_cut (entry, other, false);
  world.run_for (500 * ms);
  EXPECT_EQ (leased::count_logged (world, "a-2 event=job-lost"), 1U);
  EXPECT_TRUE (has_no_double_run (world));
}

// Guards against a job that an earlier request of its caller, held up for over a second, takes over
// from the later one, which is answered as lost.
TEST (LeasedOverlap, RequestHeldUpByACutDoesNotReplaceALaterOne)
{
  World world;
  start_data_centres (world, { { 3, 4 }, { 1, 4 } });
  size_t leader = world.find ("a-1");
  size_t entry = world.find ("a-2");

  world.set_cut (entry, leader, true);
  uint64_t first = submit_long_task (world, "a-2");
  world.run_for (20 * ms);
  world.leave (entry, first);
  world.run_for (retransmit_ms * ms);
  uint64_t second = submit_long_task (world, "a-3");
  world.run_for (20 * ms);
  ASSERT_EQ (count_runs (world, "a"), 1U);
  world.set_cut (entry, leader, false);
  world.run_for (2100 * ms);
  EXPECT_TRUE (leased::got_answer (world, second, DKS_BATCH_COMPLETED));
  EXPECT_TRUE (has_no_double_run (world));
}

// The same for the first job of an entry instance that has just started, which has sent no status
// since it heard the leader.
TEST (LeasedOverlap, FirstJobOnASlowConnectionIsNotStarted)
{
  World world;
  start_data_centres (world, { { 2, 4 }, { 1, 4 } });
  size_t entry = world.find ("a-2");
  world.kill (entry);
  world.run_for (100 * ms);
  world.link_delay_us[{ entry, world.find ("a-1") }] = 1400 * ms;
  world.restart (entry);
  world.run_for (3 * ms);
  uint64_t caller = submit_long_task (world, "a-2");
  world.run_for (1 * ms);
  ASSERT_EQ (world.sent (DKS_MSG_WORK), 1U);
  submit_elsewhere (world, entry, caller, "b");
  world.run_for (500 * ms);
  EXPECT_TRUE (has_no_double_run (world));
}

// Guards against a lent run that outlasts its caller's next submission: the remote leader was cut
// off, went on extending the lease for as long as it took to notice, and was then superseded by one
// that loses the target at once, so that nobody could stop the run.
TEST (LeasedOverlap, LeaseOfALentRunEndsSoonAfterTheHomeLeaderIsLost)
{
  for (int64_t delay_ms = 0; delay_ms <= 500; delay_ms += 10)
    {
      World world;
      start_data_centres (world, { { 1, 1 }, { 2, 4 }, { 2, 4 } });
      fill_home (world);
      uint64_t caller = submit_long_task (world, "a-1");
      world.run_for (50 * ms);
      ASSERT_EQ (count_runs (world, "b") + count_runs (world, "c"), 1U);
      std::string remote = count_runs (world, "b") > 0 ? "b" : "c";
      size_t leader = world.find (remote + "-1");
      size_t successor = world.find (remote + "-2");
      world.run_for (delay_ms * ms);
      world.set_cut_both_ways (leader, successor, true);
      world.run_for (100 * ms);
      for (size_t other = 0; other < world.instances.size (); other++)
        {
          if (other != leader && other != successor)
            world.set_cut_both_ways (leader, other, true);
        }
      world.leave (world.find ("a-1"), caller);
      int64_t left_us = world.now_us;
      std::string start = remote + "-2 event=leader-start";
      for (int i = 0; i < 1000 && leased::count_logged (world, start) == 0; i++)
        world.run_for (ms);
      for (size_t other = 0; other < world.instances.size (); other++)
        {
          if (other != leader && other != successor)
            world.set_cut_both_ways (successor, other, true);
        }
      for (int i = 0; i < 1000 && leased::count_logged (world, "reason=fenced") == 0; i++)
        world.run_for (ms);
      ASSERT_GT (leased::count_logged (world, "reason=fenced"), 0U);
      for (auto &target : world.targets)
        world.target_cuts.insert ({ successor, target.get () });
      ASSERT_EQ (count_runs (world, remote), 1U);
      world.run_for (left_us + 1300 * ms - world.now_us);
      submit_long_task (world, remote == "b" ? "c-1" : "b-1");
      world.run_for (500 * ms);
      EXPECT_TRUE (has_no_double_run (world)) << delay_ms;
    }
}

// Guards against a run that outlasts its caller's next submission: its lease was extended for
// messages of the entry instance that a cut had held up, so that they arrived long after they were
// sent; then the leader lost the target.
TEST (LeasedOverlap, LeaseEndsSoonAfterTheLatestMessageWasSent)
{
  for (int64_t lost_ms = 550; lost_ms <= 1250; lost_ms += 50)
    {
      World world;
      start_data_centres (world, { { 2, 4 }, { 1, 4 } });
      size_t leader = world.find ("a-1");
      size_t entry = world.find ("a-2");

      uint64_t caller = submit_long_task (world, "a-2");
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, "a"), 1U);
      world.set_cut (entry, leader, true);
      world.run_for (110 * ms); // a status is held as well
      world.set_frozen (entry, true);
      world.leave (entry, caller);
      int64_t left_us = world.now_us;
      world.run_for (400 * ms);
      world.set_cut (entry, leader, false);
      world.run_for (left_us + lost_ms * ms - world.now_us);
      for (auto &target : world.targets)
        world.target_cuts.insert ({ leader, target.get () });
      world.run_for (left_us + retransmit_ms * ms - world.now_us);
      submit_long_task (world, "b-1");
      world.run_for (500 * ms);
      EXPECT_TRUE (has_no_double_run (world)) << "target lost after " << lost_ms << " ms";
    }
}

// Guards against a task that is lent while its earlier run is being stopped here: another task of
// the job, without a run, found no room.
TEST (LeasedOverlap, TaskWhoseRunIsBeingStoppedIsNotLent)
{
  for (int64_t away_ms : { 1, 10, 30 })
    {
      World world;
      start_data_centres (world, { { 1, 1 }, { 1, 4 } });
      size_t home = world.find ("a-1");

      world.targets[0]->stop_duration_us = 50 * ms;
      world.submit (home, "0000000000000003", { { 1, 6800, 4000, 4000 } }, 12000);
      uint64_t caller = world.submit (home, task_id, { { 2, 6800, 2000, 2000 } }, 6000);
      world.run_for (100 * ms);
      ASSERT_EQ (count_runs (world, "a"), 1U);
      ASSERT_EQ (count_runs (world, "b"), 1U);
      world.leave (home, caller);
      world.run_for (away_ms * ms);
      world.submit (home, task_id, { { 2, 6800, 2000, 2000 } }, 6000);
      world.run_for (1000 * ms);
      EXPECT_TRUE (has_no_double_run (world)) << "after " << away_ms << " ms";
      EXPECT_EQ (count_runs (world, "a") + count_runs (world, "b"), 2U);
    }
}
