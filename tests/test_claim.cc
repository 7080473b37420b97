#include <gtest/gtest.h>

extern "C"
{
#include "core/claim.h"

#include <apr_general.h>
}

#include <cstring>
#include <string>

namespace
{

class ClaimTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    apr_initialize ();
    claims = dks_claims_create (10);
  }

  void
  TearDown () override
  {
    dks_claims_destroy (claims);
    apr_terminate ();
  }

  void
  put (int64_t issued_ms, bool finished, size_t body_size = 0)
  {
    dks_claim_item_t item = {};
    std::string key = std::to_string (issued_ms) + "-k";

    strcpy (item.key, key.c_str ());
    strcpy (item.runner, "a#1");
    item.issued_ms = issued_ms;
    if (finished)
      {
        item.answer = dks_answer_create (item.key, DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE, 1);
        item.answer->tasks[0].body =
            dks_blob_create (std::string (body_size, 'x').data (), body_size);
      }
    dks_claims_put (claims, &item);
    dks_answer_unref (item.answer);
  }

  dks_claim_t *
  find (int64_t issued_ms)
  {
    return dks_claims_find (claims, (std::to_string (issued_ms) + "-k").c_str ());
  }

  dks_claims_t *claims = nullptr;
};

// If the floor did not rise above the issue time of a dropped claim, its key would look new and its
// work would be started again.
TEST_F (ClaimTest, DroppedClaimsRaiseTheFloor)
{
  for (int64_t i = 1; i <= 25; i++)
    put (1000 + i, true);
  EXPECT_EQ (claims->count, 10u);
  EXPECT_EQ (find (1015), nullptr);
  EXPECT_NE (find (1016), nullptr);
  EXPECT_EQ (claims->floor_ms, 1016);
}

TEST_F (ClaimTest, UnfinishedClaimsAreNeverDropped)
{
  for (int64_t i = 1; i <= 25; i++)
    put (1000 + i, false);
  dks_claims_expire (claims, 5000);
  EXPECT_EQ (claims->count, 25u);
  EXPECT_EQ (claims->unfinished_count, 25u);
}

TEST_F (ClaimTest, ResultsAreBoundedInBytes)
{
  for (int64_t i = 1; i <= 8; i++)
    put (1000 + i, true, 100 << 10);
  EXPECT_LE (claims->answer_bytes, static_cast<size_t> (DKS_CLAIM_ANSWER_BYTES_PER_SHARD_MAX));
  EXPECT_GT (claims->floor_ms, 1000);
}

// One large answer must not push the claims of other keys out of the table.
TEST_F (ClaimTest, LargeAnswerIsDroppedButItsClaimStays)
{
  put (1001, true, 10);
  put (1002, true, 1 << 20);
  ASSERT_NE (find (1001), nullptr);
  ASSERT_NE (find (1002), nullptr);
  EXPECT_EQ (find (1001)->answer->outcome, DKS_OUTCOME_COMPLETE);
  EXPECT_EQ (find (1002)->answer->outcome, DKS_OUTCOME_UNKNOWN);
  EXPECT_EQ (claims->floor_ms, 0);
}

TEST_F (ClaimTest, RealAnswerReplacesUnknownButNotTheReverse)
{
  dks_answer_t *unknown = dks_answer_create ("k", DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_OWNER_LOST, 0);
  dks_answer_t *complete = dks_answer_create ("k", DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE, 0);

  put (1001, false);
  dks_claims_finish (claims, find (1001), unknown);
  dks_claims_finish (claims, find (1001), complete);
  dks_claims_finish (claims, find (1001), unknown);
  EXPECT_EQ (find (1001)->answer, complete);
  dks_answer_unref (unknown);
  dks_answer_unref (complete);
}

TEST_F (ClaimTest, ExpiryDropsOldFinishedClaims)
{
  put (1001, true);
  put (1002, false);
  put (1003, true);
  dks_claims_expire (claims, 1003);
  EXPECT_EQ (find (1001), nullptr);
  EXPECT_NE (find (1002), nullptr);
  EXPECT_NE (find (1003), nullptr);
  EXPECT_EQ (claims->floor_ms, 1003);
}

} // namespace
