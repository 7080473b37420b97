/* The decisions of the memory account: who may take how much, and who gives way. */
#include <gtest/gtest.h>

extern "C"
{
#include "common/blob.h"
#include "common/memory_account.h"
}

#include <algorithm>
#include <random>
#include <vector>

namespace
{

constexpr size_t MB = 1 << 20;
constexpr size_t LIMIT = 32 * MB;

class MemoryAccount : public testing::Test
{
protected:
  MemoryAccount ()
  {
    dks_memory_group_init (&group, account, handle_yield, this);
    dks_memory_group_init (&other, account, handle_yield, this);
  }

  ~MemoryAccount () override
  {
    for (dks_memory_claim_t &claim : claims)
      dks_memory_claim_remove (&claim);
    EXPECT_EQ (dks_memory_account_used (account), 0u);
    dks_memory_group_remove (&group);
    dks_memory_group_remove (&other);
    dks_memory_account_destroy (account);
  }

  static bool
  handle_yield (void *context, dks_memory_claim_t *claim)
  {
    auto *self = static_cast<MemoryAccount *> (context);

    if (claim - self->claims.data () == self->stays)
      return false;
    self->yielded.push_back (claim - self->claims.data ());
    dks_memory_claim_set_state (claim, DKS_MEMORY_HELD, self->now_us);
    dks_memory_claim_set (claim, 0);
    return true;
  }

  void
  add (size_t i, dks_memory_group_t *to = nullptr)
  {
    dks_memory_claim_add (&claims[i], to != nullptr ? to : &group, now_us);
  }

  bool
  grow (size_t i, size_t bytes)
  {
    return dks_memory_claim_grow (&claims[i], bytes, now_us);
  }

  dks_memory_account_t *account = dks_memory_account_create (LIMIT);
  dks_memory_group_t group = {};
  dks_memory_group_t other = {};
  std::vector<dks_memory_claim_t> claims = std::vector<dks_memory_claim_t> (1000);
  std::vector<long> yielded;
  long stays = -1; // claim that does not give way when asked
  int64_t now_us = 1000000000;
};

TEST_F (MemoryAccount, LimitFollowsFromTheMachine)
{
  EXPECT_EQ (dks_memory_limit (64 * MB), 33 * MB);
  EXPECT_EQ (dks_memory_limit (120 * MB), 75 * MB);
  EXPECT_EQ (dks_memory_limit (512 * MB), 369 * MB);
  EXPECT_EQ (dks_memory_limit (1 * MB), 8 * MB);
  EXPECT_EQ (dks_memory_limit (UINT64_MAX), 512 * MB);
}

/* A machine of 120 MB and the largest body of a submission. */
TEST_F (MemoryAccount, TheLargestBodyFitsOnTheSmallestMachine)
{
  dks_memory_account_t *smallest = dks_memory_account_create (dks_memory_limit (120 * MB));
  dks_memory_group_t way_in = {};
  dks_memory_claim_t body = {};

  dks_memory_group_init (&way_in, smallest, handle_yield, this);
  dks_memory_claim_add (&body, &way_in, now_us);
  EXPECT_TRUE (dks_memory_claim_grow (&body, 8 * MB, now_us));
  EXPECT_TRUE (dks_memory_claim_finish (&body, 24 * MB));
  dks_memory_claim_remove (&body);
  dks_memory_group_remove (&way_in);
  dks_memory_account_destroy (smallest);
}

TEST_F (MemoryAccount, SmallRequestsFitWhenLargeOnesDoNot)
{
  for (size_t i = 0; i < 4; i++)
    add (i);
  EXPECT_TRUE (grow (0, 20 * MB));
  EXPECT_FALSE (grow (1, 1 * MB));
  EXPECT_EQ (claims[1].bytes, 0u);
  EXPECT_TRUE (grow (1, 512 << 10));
  EXPECT_TRUE (grow (2, 64 << 10));
  EXPECT_EQ (dks_memory_account_refused_total (account), 1u);
  EXPECT_TRUE (yielded.empty ());
}

TEST_F (MemoryAccount, CrowdOfMediumRequestsLeavesRoomForSmallOnes)
{
  size_t refused = 0;

  for (size_t i = 0; i < 300; i++)
    {
      add (i);
      refused += !grow (i, 256 << 10);
    }
  EXPECT_GT (refused, 0u);
  for (size_t i = 300; i < 350; i++)
    {
      add (i);
      EXPECT_TRUE (grow (i, 64 << 10));
    }
}

TEST_F (MemoryAccount, WhatMakesProgressNeverGivesWay)
{
  add (0);
  add (1);
  EXPECT_TRUE (grow (0, 16 * MB));
  for (int i = 0; i < 100; i++)
    {
      now_us += DKS_MEMORY_STALL_US / 2;
      dks_memory_claim_progress (&claims[0], DKS_MEMORY_PROGRESS_BYTES, now_us);
      EXPECT_FALSE (grow (1, 16 * MB));
    }
  EXPECT_TRUE (yielded.empty ());
}

/* A few bytes at a time are no progress. */
TEST_F (MemoryAccount, LargestStalledClaimGivesWay)
{
  for (size_t i = 0; i < 4; i++)
    add (i, i == 1 ? &other : &group);
  EXPECT_TRUE (grow (0, 4 * MB));
  EXPECT_TRUE (grow (1, 10 * MB));
  EXPECT_TRUE (grow (2, 5 * MB));
  now_us += DKS_MEMORY_STALL_US;
  dks_memory_claim_progress (&claims[1], 1, now_us);
  EXPECT_TRUE (grow (3, 8 * MB));
  EXPECT_EQ (yielded, std::vector<long>{ 1 });
  EXPECT_EQ (dks_memory_account_yielded_total (account), 1u);
}

TEST_F (MemoryAccount, WorkDoesNotGiveWayAndAnswersDoAfterIncompleteRequests)
{
  for (size_t i = 0; i < 4; i++)
    add (i);
  dks_memory_claim_set (&claims[0], 8 * MB);
  dks_memory_claim_set_state (&claims[0], DKS_MEMORY_HELD, now_us);
  dks_memory_claim_set (&claims[1], 7 * MB);
  dks_memory_claim_set_state (&claims[1], DKS_MEMORY_UNTAKEN, now_us);
  dks_memory_claim_set (&claims[2], 5 * MB);
  now_us += DKS_MEMORY_STALL_US;
  EXPECT_TRUE (grow (3, 4 * MB));
  EXPECT_EQ (yielded, std::vector<long>{ 2 });
  EXPECT_TRUE (grow (3, 10 * MB));
  EXPECT_EQ (yielded, (std::vector<long>{ 2, 1 }));
  EXPECT_FALSE (grow (3, 16 * MB));
}

/* Guards against a request that has arrived, and was not read yet, being closed as if it had
 * stalled. */
TEST_F (MemoryAccount, ClaimWithUnreadInputStaysAndTheNextOneGivesWay)
{
  for (size_t i = 0; i < 3; i++)
    add (i);
  EXPECT_TRUE (grow (0, 10 * MB));
  EXPECT_TRUE (grow (1, 8 * MB));
  stays = 0;
  now_us += DKS_MEMORY_STALL_US;
  EXPECT_TRUE (grow (2, 8 * MB));
  EXPECT_EQ (yielded, std::vector<long>{ 1 });
  EXPECT_FALSE (grow (2, 16 * MB));
  EXPECT_EQ (dks_memory_account_yielded_total (account), 1u);
}

/* Guards against large requests of clients that cut off other instances, and against frames of
 * other instances that leave nothing for ordinary requests. */
TEST_F (MemoryAccount, OtherInstancesHaveRoomBesideLargeRequestsAndLeaveSome)
{
  for (size_t i = 0; i < 4; i++)
    add (i);
  EXPECT_TRUE (grow (0, 20 * MB));
  EXPECT_TRUE (dks_memory_claim_grow_preferred (&claims[1], 4 * MB, now_us));
  EXPECT_FALSE (dks_memory_claim_grow_preferred (&claims[2], 1 * MB, now_us));
  EXPECT_TRUE (grow (3, 64 << 10));
}

/* Guards against closing every stalled connection for a request that is refused all the same. */
TEST_F (MemoryAccount, NothingGivesWayInVain)
{
  for (size_t i = 0; i < 3; i++)
    add (i);
  dks_memory_claim_set (&claims[0], 19 * MB);
  dks_memory_claim_set_state (&claims[0], DKS_MEMORY_HELD, now_us);
  EXPECT_TRUE (grow (1, 1 * MB));
  now_us += DKS_MEMORY_STALL_US;
  EXPECT_FALSE (grow (2, 4 * MB));
  EXPECT_TRUE (yielded.empty ());
  EXPECT_EQ (dks_memory_account_refused_total (account), 1u);
}

/* Many idle connections are not closed for one large body. */
TEST_F (MemoryAccount, SmallClaimsDoNotGiveWayToALargeOne)
{
  for (size_t i = 0; i < 1000; i++)
    {
      add (i);
      dks_memory_claim_set (&claims[i], 16 << 10);
    }
  now_us += 10 * DKS_MEMORY_STALL_US;
  EXPECT_FALSE (grow (0, 8 * MB));
  EXPECT_TRUE (yielded.empty ());
}

TEST_F (MemoryAccount, DecodingMayUseTheWholeLimitAndNoMore)
{
  add (0);
  EXPECT_TRUE (grow (0, 20 * MB));
  EXPECT_TRUE (dks_memory_claim_finish (&claims[0], LIMIT));
  dks_memory_claim_set (&claims[0], 20 * MB);
  EXPECT_FALSE (dks_memory_claim_finish (&claims[0], LIMIT + 1));
  EXPECT_EQ (claims[0].bytes, 20 * MB);
}

TEST_F (MemoryAccount, CountsTheBlobsOfTheProcess)
{
  std::vector<uint8_t> data (20 * MB);
  dks_blob_t *blob = dks_blob_create (data.data (), data.size ());

  add (0);
  EXPECT_FALSE (grow (0, 1 * MB));
  dks_blob_unref (blob);
  EXPECT_TRUE (grow (0, 1 * MB));
}

TEST_F (MemoryAccount, OldestWaitingClaimMakesRoomForAConnection)
{
  for (size_t i = 0; i < 3; i++)
    add (i);
  dks_memory_claim_set_state (&claims[0], DKS_MEMORY_HELD, now_us);
  EXPECT_TRUE (dks_memory_group_yield_oldest (&group, &claims[2], now_us));
  EXPECT_EQ (yielded, std::vector<long>{ 1 });
  EXPECT_FALSE (dks_memory_group_yield_oldest (&group, &claims[2], now_us));
}

/* Guards against bodies of up to 64 KiB that leave no room for an ordinary request. */
TEST_F (MemoryAccount, TinyRequestsFitWhenSmallOnesDoNot)
{
  for (size_t i = 0; i < 1000; i++)
    add (i);
  size_t filled = 0;
  while (filled < 999 && grow (filled, 64 << 10))
    filled++;
  EXPECT_LT (filled, 999u);
  EXPECT_FALSE (grow (999, 64 << 10));
  EXPECT_TRUE (grow (999, 16 << 10));
}

/* An answer that is not taken makes room only after it has stalled, whatever the claim has
 * received.
 */
TEST_F (MemoryAccount, StalledAnswerMakesRoomForAConnection)
{
  for (size_t i = 0; i < 3; i++)
    add (i);
  for (size_t i = 0; i < 2; i++)
    dks_memory_claim_set_state (&claims[i], DKS_MEMORY_UNTAKEN, now_us);
  EXPECT_FALSE (dks_memory_group_yield_oldest (&group, &claims[2], now_us));
  now_us += DKS_MEMORY_STALL_US;
  stays = 0;
  EXPECT_TRUE (dks_memory_group_yield_oldest (&group, &claims[2], now_us));
  EXPECT_EQ (yielded, std::vector<long>{ 1 });
  EXPECT_FALSE (dks_memory_group_yield_oldest (&group, &claims[2], now_us));
}

/* Random use never exceeds the limit, and at the end the account is at 0. */
TEST_F (MemoryAccount, RandomUseStaysWithinTheLimit)
{
  std::mt19937 random (1);

  for (size_t i = 0; i < claims.size (); i++)
    add (i, i % 2 == 0 ? &group : &other);
  for (int step = 0; step < 200000; step++)
    {
      size_t i = random () % claims.size ();

      now_us += static_cast<int64_t> (random () % 2000);
      switch (random () % 4)
        {
        case 0:
          dks_memory_claim_set (&claims[i], 0);
          dks_memory_claim_set_state (&claims[i], DKS_MEMORY_INCOMPLETE, now_us);
          break;
        case 1:
          dks_memory_claim_finish (&claims[i], claims[i].bytes + random () % MB);
          break;
        default:
          grow (i, claims[i].bytes + random () % (MB / 4));
          dks_memory_claim_progress (&claims[i], random () % 8192, now_us);
          break;
        }
      ASSERT_LE (dks_memory_account_used (account), LIMIT);
    }
  EXPECT_FALSE (yielded.empty ());
}

// Guards against replies that together with what clients hold take more than the process has.
TEST (MemoryLimit, LimitAndRestAreTheWholeMemory)
{
  for (uint64_t mb : { 60, 120, 512, 600 })
    EXPECT_EQ (dks_memory_limit (mb * MB) + dks_memory_rest (mb * MB), mb * MB) << mb;
  EXPECT_LE (dks_memory_rest (UINT64_MAX), 200 * MB);
  EXPECT_GT (dks_memory_rest (0), 0U);
}

}
