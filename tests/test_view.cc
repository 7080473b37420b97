#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "core/view.h"
}

#include <cstring>
#include <random>
#include <set>
#include <string>

namespace
{

constexpr int64_t now_ms = 1764800000000;
constexpr int64_t ceiling_span_ms = 3600000;

class ViewTest : public testing::Test
{
protected:
  dks_view_inputs_t
  inputs (const char *self)
  {
    dks_view_inputs_t in = {};

    in.self = self;
    in.may_join = true;
    in.address = "127.0.0.1:1";
    in.wall_ms = now_ms;
    in.ceiling_ahead_ms = ceiling_span_ms;
    in.clock_skew_ms = 500;
    in.context = this;
    in.is_alive = [] (void *context, const char *id) {
      return static_cast<ViewTest *> (context)->silent.count (id) == 0;
    };
    in.is_dead = [] (void *context, const dks_view_member_t *member) {
      return static_cast<ViewTest *> (context)->dead.count (member->id) > 0;
    };
    return in;
  }

  bool
  plan (const dks_view_inputs_t &in)
  {
    dks_view_t next;
    bool changed = dks_view_plan (&view, &in, &next);

    view = next;
    view.version++;
    return changed;
  }

  /** Makes members a#1 and b#1 join, and plans until they share the shards. */
  void
  join_two_members ()
  {
    dks_view_inputs_t a = inputs ("a#1");
    dks_view_inputs_t b = inputs ("b#1");

    plan (a);
    plan (b);
    for (auto &synced : a.synced_member)
      strcpy (synced, "b#1");
    for (int i = 0; i < 4; i++)
      {
        plan (a);
        plan (b);
      }
  }

  dks_view_t view = {};
  std::set<std::string> silent;
  std::set<std::string> dead;
};

TEST_F (ViewTest, FirstMemberOwnsEverythingAlone)
{
  dks_view_inputs_t in = inputs ("a#1");

  EXPECT_TRUE (plan (in));
  for (const auto &shard : view.shards)
    {
      EXPECT_STREQ (shard.owner, "a#1");
      EXPECT_STREQ (shard.backup, "");
    }
  EXPECT_EQ (view.members[0].ceiling_ms, now_ms + ceiling_span_ms);
  EXPECT_FALSE (plan (in)) << "a plan without changes must not write the view";
}

TEST_F (ViewTest, TwoMembersShareShardsAndBackEachOtherUp)
{
  std::set<std::string> owners;

  join_two_members ();
  for (const auto &shard : view.shards)
    {
      owners.insert (shard.owner);
      EXPECT_NE (std::string (shard.owner), shard.backup);
      EXPECT_STRNE (shard.backup, "");
    }
  EXPECT_EQ (owners.size (), 2u);
}

// A backup that has not copied the claims would start keys a second time after a takeover.
TEST_F (ViewTest, BackupIsAddedOnlyAfterItHasAllClaims)
{
  dks_view_inputs_t a = inputs ("a#1");
  dks_view_inputs_t b = inputs ("b#1");

  plan (a);
  plan (b);
  plan (a);
  for (const auto &shard : view.shards)
    EXPECT_STREQ (shard.backup, "");
}

TEST_F (ViewTest, BackupTakesOverOnlyAfterItHasFencedTheOwner)
{
  join_two_members ();
  dks_view_t before = view;
  dks_view_inputs_t b = inputs ("b#1");

  silent.insert ("a#1");
  plan (b);
  for (int i = 0; i < DKS_SHARDS; i++)
    {
      EXPECT_STREQ (view.shards[i].owner, before.shards[i].owner);
    }
  for (bool &fenced : b.fenced)
    fenced = true;
  plan (b);
  for (int i = 0; i < DKS_SHARDS; i++)
    {
      EXPECT_STREQ (view.shards[i].owner, "b#1");
      EXPECT_EQ (view.shards[i].floor_ms, before.shards[i].floor_ms)
          << "the backup knows every claim, so no key is lost";
    }
}

// Owner and backup are silent, but may only be paused: keys that they can still accept must not be
// started by the new owner.
TEST_F (ViewTest, LostPairLeavesAFloorAtItsCeiling)
{
  join_two_members ();
  dks_view_inputs_t c = inputs ("c#1");

  silent = { "a#1", "b#1" };
  plan (c);
  for (const auto &shard : view.shards)
    {
      EXPECT_STREQ (shard.owner, "c#1");
      EXPECT_EQ (shard.floor_ms, now_ms + ceiling_span_ms);
    }
}

TEST_F (ViewTest, PairThatIsProvedDeadLeavesALowFloor)
{
  join_two_members ();
  dks_view_inputs_t c = inputs ("c#1");

  silent = dead = { "a#1", "b#1" };
  plan (c);
  for (const auto &shard : view.shards)
    EXPECT_EQ (shard.floor_ms, now_ms + 1000);
}

// Once the former owner and backup have read the newer view or have ended, no other member accepts
// keys of the shard, and a high floor would only make the owner refuse callers.
TEST_F (ViewTest, FloorIsLoweredWhenNoFormerMemberIsLeft)
{
  join_two_members ();
  dks_view_inputs_t a = inputs ("a#1");
  dks_view_inputs_t c = inputs ("c#1");

  silent = { "a#1", "b#1" };
  plan (c);
  EXPECT_EQ (view.former_count, 2u);
  plan (c);
  EXPECT_EQ (view.shards[0].floor_ms, now_ms + ceiling_span_ms);
  dead = { "b#1" };
  plan (c);
  EXPECT_EQ (view.shards[0].floor_ms, now_ms + ceiling_span_ms)
      << "a#1 is silent, but not proved dead";
  silent = { "b#1" };
  plan (a);
  plan (c);
  EXPECT_EQ (view.former_count, 0u);
  EXPECT_EQ (view.shards[0].floor_ms, now_ms + 1000);
}

// The claims are gone when the last member has left: a member that joins later must not start any
// of the claimed keys again.
TEST_F (ViewTest, LastMemberLeavesAFloorAboveItsClaims)
{
  dks_view_inputs_t a = inputs ("a#1");

  plan (a);
  a.draining = a.may_leave = true;
  for (auto &floor_ms : a.next_floor_ms)
    floor_ms = now_ms + 7;
  plan (a);
  EXPECT_EQ (view.member_count, 0u);
  for (const auto &shard : view.shards)
    {
      EXPECT_STREQ (shard.owner, "");
      EXPECT_EQ (shard.floor_ms, now_ms + 7);
    }
}

TEST_F (ViewTest, RecordSurvivesARoundTripAndRejectsDamage)
{
  dks_view_t parsed;

  join_two_members ();
  dks_blob_t *blob = dks_view_format (&view);
  const char *text = reinterpret_cast<const char *> (blob->data);
  ASSERT_EQ (dks_view_parse (text, blob->len, view.version, &parsed), DKS_OK);
  EXPECT_STREQ (parsed.shards[3].owner, view.shards[3].owner);
  EXPECT_EQ (parsed.member_count, 2u);
  EXPECT_EQ (dks_view_parse (text, blob->len - 1, 1, &parsed), DKS_ERR_INVALID);
  std::string empty = "{\"members\":[],\"former\":[],\"shards\":[]}";
  EXPECT_EQ (dks_view_parse (empty.data (), empty.size (), 1, &parsed), DKS_ERR_INVALID);
  dks_blob_unref (blob);
}

// The record comes from the platform: a damaged one must be rejected or parsed within the bounds of
// the view, and must never crash an instance.
TEST_F (ViewTest, DamagedRecordsNeverCrash)
{
  std::mt19937 random (1);
  dks_view_t parsed;
  int accepted = 0;

  join_two_members ();
  dks_blob_t *blob = dks_view_format (&view);
  std::string good (reinterpret_cast<const char *> (blob->data), blob->len);
  dks_blob_unref (blob);
  for (int i = 0; i < 5000; i++)
    {
      std::string bad = good;
      for (unsigned n = 1 + random () % 4; n > 0; n--)
        bad[random () % bad.size ()] = static_cast<char> (random () % 256);
      if (random () % 4 == 0)
        bad.resize (random () % bad.size ());
      if (dks_view_parse (bad.data (), bad.size (), 1, &parsed) != DKS_OK)
        continue;
      accepted++;
      ASSERT_LE (parsed.member_count, static_cast<uint32_t> (DKS_MEMBERS_MAX));
      for (const auto &shard : parsed.shards)
        ASSERT_LT (strlen (shard.owner), sizeof (shard.owner));
    }
  EXPECT_LT (accepted, 5000);
}

} // namespace
