#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "core/key.h"
}

#include <string>

namespace
{

TEST (Key, ReadsIssueTimeOfUuid7)
{
  dks_key_t key;

  ASSERT_EQ (dks_key_parse ("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", &key), DKS_OK);
  EXPECT_EQ (key.issued_ms, 1645557742000);
  EXPECT_STREQ (key.data_centre, "");
}

TEST (Key, ReadsMillisecondsAndDataCentre)
{
  dks_key_t key;

  ASSERT_EQ (dks_key_parse ("dc2~1764800000123-order-77", &key), DKS_OK);
  EXPECT_EQ (key.issued_ms, 1764800000123);
  EXPECT_STREQ (key.data_centre, "dc2");
}

// A key without an issue time could be started again after its record is dropped.
TEST (Key, RejectsKeysWithoutIssueTime)
{
  dks_key_t key;

  EXPECT_EQ (dks_key_parse ("order-77", &key), DKS_ERR_INVALID);
  EXPECT_EQ (dks_key_parse ("", &key), DKS_ERR_INVALID);
  EXPECT_EQ (dks_key_parse ("~1764800000123-a", &key), DKS_ERR_INVALID);
  EXPECT_EQ (dks_key_parse ("1764800000123-", &key), DKS_ERR_INVALID);
  EXPECT_EQ (dks_key_parse ("1764800000123-a b", &key), DKS_ERR_INVALID);
  EXPECT_EQ (dks_key_parse ("017f22e2-79b0-4cc3-98c4-dc0c0c07398f", &key), DKS_ERR_INVALID);
  EXPECT_EQ (dks_key_parse (std::string (400, '1').c_str (), &key), DKS_ERR_TOO_LARGE);
}

TEST (Key, GeneratedKeyParses)
{
  const uint64_t random[2] = { UINT64_MAX, 12345 };
  char text[DKS_KEY_SIZE];
  dks_key_t key;

  dks_key_generate ("dc1", 1764800000123, random, text);
  ASSERT_EQ (dks_key_parse (text, &key), DKS_OK) << text;
  EXPECT_EQ (key.issued_ms, 1764800000123);
  EXPECT_STREQ (key.data_centre, "dc1");
}

TEST (Key, HomeFollowsPrefixAndIsStable)
{
  const char names[3][DKS_NAME_SIZE] = { "dc1", "dc2", "dc3" };
  int counts[3] = { 0, 0, 0 };
  dks_key_t key;

  ASSERT_EQ (dks_key_parse ("dc3~1764800000123-a", &key), DKS_OK);
  EXPECT_EQ (dks_key_home ("dc3~1764800000123-a", &key, names, 3), 2);
  ASSERT_EQ (dks_key_parse ("dc9~1764800000123-a", &key), DKS_OK);
  EXPECT_EQ (dks_key_home ("dc9~1764800000123-a", &key, names, 3), DKS_ERR_NOT_FOUND);
  for (int i = 0; i < 3000; i++)
    {
      std::string text = "1764800000123-" + std::to_string (i);
      ASSERT_EQ (dks_key_parse (text.c_str (), &key), DKS_OK);
      counts[dks_key_home (text.c_str (), &key, names, 3)]++;
    }
  for (int count : counts)
    EXPECT_NEAR (count, 1000, 120);
}

} // namespace
