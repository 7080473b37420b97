// What instances with targets under lease tell each other: addresses, heartbeats, the configuration
// and the list of targets, in deployments of a hundred instances.

#include "leased_world.h"

#include <gtest/gtest.h>

using leased::count_logged;
using leased::ms;
using leased::World;

namespace
{

constexpr size_t data_centres = 5;

// Starts `count` instances in five data centres, and lets them find each other from three seeds.
void
start_instances (World &world, size_t count)
{
  world.connects_by_address = true;
  for (size_t i = 0; i < count; i++)
    world.add_instance (std::string (1, static_cast<char> ('a' + i % data_centres)));
  world.start_all ();
  world.run_for (3000 * ms);
}

}

// Guards against lists of addresses that instances send each other without end. It came about with
// more instances than a fixed table had room for: each list that was received replaced entries,
// which were then new again in the next list.
TEST (LeasedMembers, AddressesAreSentOnlyWhileTheyAreNew)
{
  World world;
  const size_t count = 97;

  start_instances (world, count);
  EXPECT_EQ (count_logged (world, "event=peer-up"), count * (count - 1));
  /* Each instance tells each other one of each address at most once. */
  EXPECT_LE (world.sent_addresses, count * count * (count - 1));
  uint64_t before = world.sent_addresses;
  world.run_for (5000 * ms);
  EXPECT_EQ (world.sent_addresses, before);
}

// Guards against an instance that the others learn of only after seconds: it joins by a seed.
TEST (LeasedMembers, InstanceThatJoinsIsConnectedToAllWithinASecond)
{
  World world;
  const size_t count = 40;

  start_instances (world, count);
  uint64_t before = world.sent_addresses;
  size_t up_before = count_logged (world, "event=peer-up");
  world.restart (world.add_instance ("a"));
  world.run_for (1000 * ms);
  EXPECT_EQ (count_logged (world, "event=peer-up") - up_before, 2 * count);
  /* Once each: own addresses, a list of all in either direction, and the new address among the
     others, in a message that begins with the sender's. */
  EXPECT_LE (world.sent_addresses - before,
             2 * count + 2 * count * (count + 1) + 2 * count * (count - 1));
}

// Guards against addresses that are dropped during the loss of a region, and against those of
// instances that are gone for good, which would be tried for ever.
TEST (LeasedMembers, AddressesOfInstancesThatAreGoneAreDroppedInTheEnd)
{
  World world;
  start_instances (world, 5);
  world.kill (4);
  world.run_for (3600 * 1000 * ms);
  world.dialled_addresses.clear ();
  world.run_for (600 * 1000 * ms);
  EXPECT_GT (world.dialled_addresses.count (world.instances[4]->id), 0U);
  world.run_for (3600 * 1000 * ms);
  world.dialled_addresses.clear ();
  world.run_for (1200 * 1000 * ms);
  EXPECT_EQ (world.dialled_addresses.count (world.instances[4]->id), 0U);
}

// Guards against a list that replaces entries without end when it is full, and against one that
// keeps room for addresses that nobody answers at.
TEST (LeasedMembers, FullListRejectsAddressesOnceInTheLog)
{
  World world;
  start_instances (world, 5);
  uint64_t before = world.sent_addresses;
  uint64_t msgs_before = world.sent (DKS_MSG_ADDRESSES);

  for (int round = 0; round < 3; round++)
    {
      dks_msg_t *msg = dks_msg_create (DKS_MSG_ADDRESSES);
      dks_event_t event = {};

      msg->u.addresses.count = 1500;
      msg->u.addresses.items = static_cast<dks_member_address_t *> (
          calloc (msg->u.addresses.count, sizeof (dks_member_address_t)));
      for (uint32_t i = 0; i < msg->u.addresses.count; i++)
        snprintf (msg->u.addresses.items[i].text, DKS_ADDRESS_SIZE, "10.1.%u.%u:7000", i / 250,
                  i % 250 + 1);
      snprintf (msg->u.addresses.items[0].text, DKS_ADDRESS_SIZE, "%s",
                world.instances[1]->id.c_str ());
      event.type = DKS_EVENT_PEER_MSG;
      event.u.peer_msg.peer = world.instances[1]->member_id.c_str ();
      event.u.peer_msg.msg = msg;
      world.apply (0, &event);
      dks_msg_unref (msg);
      world.run_for (1000 * ms);
    }
  EXPECT_EQ (count_logged (world, world.instances[0]->id + " event=address-rejected"), 1U);
  EXPECT_EQ (count_logged (world, "event=peer-down"), 0U);
  /* Each of the five instances tells each other one, and repairs are bounded in time. */
  EXPECT_LE (world.sent_addresses - before, 2 * 5 * 4 * 1024U);
  EXPECT_LE (world.sent (DKS_MSG_ADDRESSES) - msgs_before, 5 * 4 + 5 * 3 + 5U);
}

// Guards against an instance that passes a configuration on to all others while they read it from
// the platform: 300 KB for each of 96 peers fill a small link for seconds.
TEST (LeasedMembers, RecordsArePassedOnOnlyToInstancesThatLackThem)
{
  World world;
  const size_t count = 30;

  world.connects_by_address = true;
  for (size_t i = 0; i < count; i++)
    world.add_instance (i % 2 == 0 ? "a" : "b", i >= count - 4);
  world.add_target ("a");
  world.add_target ("b");
  world.start_all ();
  world.run_for (5000 * ms);
  EXPECT_EQ (count_logged (world, "event=catalog-applied"), count);
  /* Four instances cannot read from the platform. */
  EXPECT_LE (world.sent (DKS_MSG_RECORD), 8U);
  EXPECT_LE (world.sent (DKS_MSG_TARGETS), 8U);
  EXPECT_EQ (count_logged (world, "event=targets-from-peer"), 4U);
}

// Guards against a cost that grows with the square of the instances.
TEST (LeasedMembers, StatusesOfIdleInstancesGrowSlowly)
{
  uint64_t per_second[2];
  const size_t counts[] = { 30, 97 };

  for (int i = 0; i < 2; i++)
    {
      World world;

      start_instances (world, counts[i]);
      uint64_t before = world.sent (DKS_MSG_LEASED_STATUS);
      world.run_for (5000 * ms);
      per_second[i] = (world.sent (DKS_MSG_LEASED_STATUS) - before) / 5 / counts[i];
    }
  RecordProperty ("statuses_per_second_30", static_cast<int> (per_second[0]));
  RecordProperty ("statuses_per_second_97", static_cast<int> (per_second[1]));
  /* A status to each other instance every 100 ms would be 960 a second. */
  EXPECT_LE (per_second[1], 240U);
}

// Guards against callers that wait longer for their answer while leaders hand over in turn: a new
// leader keeps tasks of resent jobs back until the former leaders of other data centres, which may
// have lent or borrowed them, have sent a message.
TEST (LeasedMembers, InstanceThatHasStoppedToLeadGoesOnToReportOften)
{
  World world;
  start_instances (world, 20);
  std::string former_leader;
  for (auto &line : world.log)
    {
      if (line.find ("event=leader-start data_centre=a") != std::string::npos)
        former_leader = line.substr (0, line.find (' '));
    }
  size_t former = world.find (former_leader);
  world.statuses_to_other_data_centres = 0;
  world.count_statuses_of = former;
  world.run_for (500 * ms);
  uint64_t as_leader = world.statuses_to_other_data_centres;
  world.drain (former);
  world.run_for (500 * ms);
  world.statuses_to_other_data_centres = 0;
  world.run_for (500 * ms);
  EXPECT_GE (world.statuses_to_other_data_centres, as_leader / 2);
}

// Guards against two leaders of one data centre: an instance that has started knows its seeds only,
// and leads when none of them is of its data centre and all of them have reported.
TEST (LeasedMembers, NewInstanceDoesNotLeadBesideALeaderThatItHasNotHeardOfYet)
{
  World world;
  start_instances (world, 20);
  size_t leaders = count_logged (world, "event=leader-start");
  world.restart (world.add_instance ("d", false, 4000));
  world.run_for (1000 * ms);
  EXPECT_EQ (count_logged (world, "event=leader-start"), leaders);
}
