#include <gtest/gtest.h>

extern "C"
{
#include "core/target.h"
}

#include <cstring>
#include <vector>

namespace
{

constexpr int64_t second_us = 1000000;

class TargetTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    targets = dks_targets_create ();
    update_list ({ "t0", "t1", "t2", "t3" });
  }

  void
  TearDown () override
  {
    dks_targets_destroy (targets);
  }

  void
  update_list (const std::vector<const char *> &ids, const char *leaving = "")
  {
    std::vector<dks_listed_instance_t> items;
    const char *self[] = { "e1#1" };

    for (const char *id : ids)
      {
        dks_listed_instance_t item = {};
        strcpy (item.id, id);
        strcpy (item.address, id);
        strcpy (item.data_centre, "dc1");
        item.is_target = true;
        item.slots = 2;
        item.cpus = 16;
        item.leaving = strcmp (id, leaving) == 0;
        items.push_back (item);
      }
    dks_targets_update (targets, items.data (), items.size (), "dc1");
    dks_targets_assign (targets, "e1#1", self, 1);
  }

  dks_target_t *
  pick (int64_t now_us)
  {
    return dks_targets_pick (targets, &spec, nullptr, now_us);
  }

  dks_target_change_t
  run_attempt (dks_target_t *target, dks_attempt_status_t status, int64_t now_us)
  {
    dks_target_start_attempt (target);
    return dks_target_finish_attempt (targets, target, status, 5, now_us, 0);
  }

  dks_targets_t *targets = nullptr;
  dks_task_spec_t spec = {};
};

TEST_F (TargetTest, SlotsAreNeverOversubscribed)
{
  for (int i = 0; i < 8; i++)
    {
      dks_target_t *target = pick (0);
      ASSERT_NE (target, nullptr);
      dks_target_start_attempt (target);
      EXPECT_LE (target->used_slots, 2u);
    }
  EXPECT_EQ (pick (0), nullptr);
  EXPECT_EQ (dks_targets_free_slots (targets, 0), 0u);
}

TEST_F (TargetTest, FailingTargetIsEjectedAndProbedWithOneTask)
{
  dks_target_t *target = pick (0);

  for (int i = 0; i < 4; i++)
    EXPECT_EQ (run_attempt (target, DKS_ATTEMPT_FAILED, 0), DKS_TARGET_UNCHANGED);
  EXPECT_EQ (run_attempt (target, DKS_ATTEMPT_FAILED, 0), DKS_TARGET_EJECTED);
  EXPECT_EQ (dks_targets_free_slots (targets, 0), 6u);
  EXPECT_EQ (dks_targets_free_slots (targets, 2 * second_us), 7u) << "one slot for the probe";
  EXPECT_EQ (pick (2 * second_us), target);
  EXPECT_EQ (run_attempt (target, DKS_ATTEMPT_OK, 2 * second_us), DKS_TARGET_UNCHANGED);
  EXPECT_EQ (dks_targets_free_slots (targets, 2 * second_us), 8u);
}

// A fault that shows at all targets, such as a bad payload, must not eject all of them.
TEST_F (TargetTest, AtMostHalfOfTheTargetsAreEjected)
{
  int ejected = 0;
  dks_target_t *target;

  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      ejected += run_attempt (target, DKS_ATTEMPT_LOST, 0) == DKS_TARGET_EJECTED;
    }
  EXPECT_EQ (ejected, 2);
}

TEST_F (TargetTest, LeavingTargetGetsNothingUntilItIsReplaced)
{
  update_list ({ "t0" });
  dks_target_t *target = pick (0);

  ASSERT_NE (target, nullptr);
  target->is_leaving = true;
  update_list ({ "t0" });
  EXPECT_EQ (pick (0), nullptr)
      << "the target has reported that it is leaving; the list does not show it yet";
  update_list ({ "t0" }, "t0");
  EXPECT_EQ (pick (0), nullptr);
  update_list ({ "t0" });
  EXPECT_NE (pick (0), nullptr) << "live again after it was listed as leaving: a new process";
}

TEST_F (TargetTest, RefusalPausesATarget)
{
  update_list ({ "t0" });
  dks_target_t *target = pick (0);

  run_attempt (target, DKS_ATTEMPT_NOT_STARTED, 0);
  EXPECT_EQ (pick (0), nullptr);
  EXPECT_EQ (dks_targets_next_return_us (targets, 0), 50000);
  EXPECT_EQ (pick (50000), target);
}

TEST_F (TargetTest, NamesTheResourceThatNoTargetHas)
{
  const char *what;

  spec.accelerators = 1;
  EXPECT_FALSE (dks_targets_can_fit (targets, &spec, &what));
  EXPECT_STREQ (what, "accelerators");
  EXPECT_EQ (pick (0), nullptr);
}

} // namespace
