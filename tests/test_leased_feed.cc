// What instances follow of the platform's store: the configuration and the list of targets.

#include "leased_world.h"

#include <gtest/gtest.h>

using leased::count_logged;
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

}
