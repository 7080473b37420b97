// What instances follow of the platform's store: the configuration and the list of targets.

#include "leased_world.h"

#include <gtest/gtest.h>
#include <jansson.h>

using leased::count_logged;
using leased::got_answer;
using leased::ms;
using leased::World;

namespace
{

// Instances that have put this version of the configuration in force.
size_t
count_applied (const World &world, int64_t version)
{
  return count_logged (world, "event=catalog-applied version=" + std::to_string (version) + " ");
}

// Number in the status of an instance.
int64_t
status_number (const World &world, size_t instance, const char *name)
{
  char *text = dks_reducer_status (world.instances[instance]->reducer);
  json_t *json = json_loads (text, 0, nullptr);
  json_t *member = json_object_get (json, name);

  EXPECT_TRUE (json_is_integer (member)) << name;
  int64_t number = json_integer_value (member);
  json_decref (json);
  free (text);
  return number;
}

// Gauge in the metrics of an instance, by its name without prefix.
double
gauge (const World &world, size_t instance, const std::string &name)
{
  char *text = dks_reducer_metrics (world.instances[instance]->reducer);
  std::string metrics = text;
  size_t at = metrics.find ("\ndamaskshore_" + name + " ");

  free (text);
  EXPECT_NE (at, std::string::npos) << name;
  return at != std::string::npos ? std::stod (metrics.substr (metrics.find (' ', at) + 1)) : 0;
}

// Guards against a confirmed configuration that is not in force in time because the connections to
// the store have gone silent without a reset. After a change the watches of all instances begin at
// the same moment, so that no peer can help. Instances have to be up to date 3 s after the fault,
// and 2 s after the change.
TEST (LeasedFeed, ChangeIsInForceInTimeAfterConnectionsToTheStoreHaveGoneSilent)
{
  World world;

  for (size_t i = 0; i < 7; i++)
    world.add_instance (i % 2 == 0 ? "a" : "b");
  world.start_all ();
  world.run_for (5000 * ms);
  world.change_catalog ();
  world.run_for (10 * ms);
  ASSERT_EQ (count_applied (world, 2), 7U);
  world.silence_feed_calls ();
  world.run_for (900 * ms);
  world.change_catalog ();
  world.run_for (2000 * ms);
  EXPECT_EQ (count_applied (world, 3), 7U);
}

// Guards against instances that stay at an old configuration and do not say so.
TEST (LeasedFeed, InstanceThatRejectsAConfigurationReportsThatItIsBehind)
{
  World world;

  for (size_t i = 0; i < 3; i++)
    world.add_instance ("a");
  world.start_all ();
  world.run_for (3000 * ms);
  for (auto &instance : world.instances)
    instance->catalog_rejection = "too long";
  world.change_catalog ();
  world.run_for (2000 * ms);
  for (size_t i = 0; i < 3; i++)
    {
      EXPECT_EQ (status_number (world, i, "catalog_version"), 1);
      EXPECT_EQ (status_number (world, i, "catalog_newest_version"), 2);
      EXPECT_GT (status_number (world, i, "catalog_behind_ms"), 1900);
      EXPECT_EQ (gauge (world, i, "catalog_rejected"), 1);
      EXPECT_GT (gauge (world, i, "catalog_behind_seconds"), 1.9);
    }
  EXPECT_EQ (count_logged (world, "event=catalog-rejected version=2 in_force=1 source=platform "
                                  "reason=\"too long\""),
             3U);

  for (auto &instance : world.instances)
    instance->catalog_rejection.clear ();
  world.change_catalog ();
  world.run_for (100 * ms);
  for (size_t i = 0; i < 3; i++)
    {
      EXPECT_EQ (status_number (world, i, "catalog_version"), 3);
      EXPECT_EQ (status_number (world, i, "catalog_behind_ms"), 0);
      EXPECT_EQ (gauge (world, i, "catalog_rejected"), 0);
    }
}

}

// Guards against an instance that fails to read a configuration again and again, as it is too
// large, and does not say that it is behind.
TEST (LeasedFeed, InstanceThatCannotReceiveAConfigurationReportsThatItIsBehind)
{
  World world;

  world.add_instance ("a");
  world.start_all ();
  world.run_for (3000 * ms);
  world.instances[0]->history_gone = true;
  world.instances[0]->catalog_too_large = true;
  world.change_catalog ();
  world.run_for (5000 * ms);
  EXPECT_EQ (status_number (world, 0, "catalog_version"), 1);
  EXPECT_GT (status_number (world, 0, "catalog_behind_ms"), 4900);
  EXPECT_EQ (gauge (world, 0, "catalog_rejected"), 1);
  EXPECT_EQ (count_logged (world, "event=catalog-rejected version=0 in_force=1 "), 1U);

  world.instances[0]->catalog_too_large = false;
  world.run_for (2000 * ms);
  EXPECT_EQ (status_number (world, 0, "catalog_version"), 2);
  EXPECT_EQ (status_number (world, 0, "catalog_behind_ms"), 0);
  EXPECT_EQ (gauge (world, 0, "catalog_rejected"), 0);
}

// Guards against a caller that is told that a queue does not exist by an instance that knows of a
// newer configuration, in which the queue may be.
TEST (LeasedFeed, UnknownQueueIsRefusedWhileANewerConfigurationIsNotInForce)
{
  World world;

  world.add_instance ("a");
  world.start_all ();
  world.run_for (3000 * ms);
  uint64_t caller = world.submit (0, "0000000000000001", { { 1, 100, 100, 100 } }, 1500, "new");
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_NO_QUEUE));
  world.instances[0]->catalog_rejection = "too long";
  world.further_queues.push_back ({ "new", 0 });
  world.change_catalog ();
  world.run_for (10 * ms);
  caller = world.submit (0, "0000000000000002", { { 1, 100, 100, 100 } }, 1500, "new");
  EXPECT_TRUE (got_answer (world, caller, DKS_BATCH_REFUSED));
  EXPECT_GT (world.answers[caller].retry_after_ms, 0U);
}

// Guards against an instance that takes new callers although it stays at an old configuration that
// others have replaced.
TEST (LeasedFeed, InstanceThatStaysAtAnOldConfigurationIsNotReadyIfOthersHaveTheNewOne)
{
  World world;
  std::vector<bool> ready;
  auto read_ready = [&] {
    ready.clear ();
    for (auto &instance : world.instances)
      ready.push_back (instance->up && dks_reducer_is_ready (instance->reducer));
  };

  for (size_t i = 0; i < 3; i++)
    world.add_instance ("a");
  world.start_all ();
  world.run_for (3000 * ms);
  world.instances[0]->catalog_rejection = "too long";
  world.change_catalog ();
  world.run_for (2500 * ms);
  read_ready ();
  EXPECT_EQ (ready, std::vector<bool> ({ true, true, true }));
  world.run_for (1000 * ms);
  read_ready ();
  EXPECT_EQ (ready, std::vector<bool> ({ false, true, true }));
  // With no instance that has the newer one, each is as good as the others.
  world.kill (1);
  world.kill (2);
  world.run_for (5000 * ms);
  read_ready ();
  EXPECT_TRUE (ready[0]);
}

// Guards against a job that runs under a cut name of its queue or service.
TEST (LeasedFeed, JobOfAQueueWhoseNameIsTooLongIsRefused)
{
  World world;
  std::string name (DKS_NAME_SIZE, 'n');

  world.add_instance ("a");
  world.add_target ("a");
  world.further_queues.push_back ({ name, 0 });
  world.start_all ();
  world.run_for (3000 * ms);
  uint64_t refused = world.submit (0, "0000000000000001", { { 1, 100, 100, 100 } }, 1500, name);
  uint64_t served = world.submit (0, "0000000000000002", { { 1, 100, 100, 100 } });
  world.run_for (1000 * ms);
  EXPECT_TRUE (got_answer (world, refused, DKS_BATCH_REFUSED));
  EXPECT_TRUE (got_answer (world, served, DKS_BATCH_COMPLETED));
}
