// Seeded mutations of all that reaches an instance from outside as JSON: jobs of callers, the
// configuration, entries of targets, answers of targets. DKS_FUZZ_INPUTS sets how many inputs each
// test plays. Messages between instances are mutated in test_codec.cc.

#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "core/msg.h"
#include "net/codec.h"
#include "platform/wire.h"
}

#include <cctype>
#include <jansson.h>
#include <random>

namespace
{

int
input_count ()
{
  const char *text = getenv ("DKS_FUZZ_INPUTS");

  return text != nullptr ? atoi (text) : 20000;
}

const std::string job = R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
                        R"("estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
                        R"("mem_mb":1024,"estimate_ms":7000,"after":[0],"required_label":"a",)"
                        R"("max_per_server":2}],"best_effort":true})";
const std::string catalog = R"({"version":7,"routes":[{"name":"q","host":"h","prefix":"/q/",)"
                            R"("service":"s","priority":1,"max_attempts":3,"timeout_ms":1500,)"
                            R"("target_latency_ms":60,"target_factor":1.6}],)"
                            R"("services":[{"name":"s","enforces_capacity":true}]})";
const std::string target = R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":8,)"
                           R"("state":"ready","seq":3,"capacity":{"cpu":16000,"mem_mb":32768,)"
                           R"("gpu":0},"labels":["a","rack-1"],"born":1786365244000})";
const std::string lists = R"({"clock_ms":482113,"born":1786365244000,)"
                          R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00",41,7]],)"
                          R"("ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

// Values that take the place of another one.
const char *const odd_values[] = { "0",
                                   "-1",
                                   "1e308",
                                   "18446744073709551616",
                                   "4294967295",
                                   "4294967296",
                                   "9223372036854775807",
                                   "null",
                                   "true",
                                   "{}",
                                   "[]",
                                   "\"\"",
                                   "\"\\u0000\"",
                                   "\"\\ud800\"",
                                   "\"\\r\\nX: y\"",
                                   "0.5",
                                   "[[[[[[]]]]]]",
                                   "\"\xc3\xa9\"",
                                   "\"\xff\"" };

class Fuzz : public ::testing::Test
{
protected:
  std::string
  mutate (std::string text)
  {
    for (unsigned n = 1 + random () % 3; n > 0 && !text.empty (); n--)
      {
        size_t at = random () % text.size ();

        switch (random () % 6)
          {
          case 0:
            text[at] = static_cast<char> (random ());
            break;
          case 1:
            text.resize (at);
            break;
          case 2:
            text.insert (at, 1, static_cast<char> (random ()));
            break;
          case 3:
            text.insert (at, text.substr (at, random () % 64));
            break;
          default:
            replace_value (text, at);
            break;
          }
      }
    return text;
  }

  std::mt19937 random{ 1 };

private:
  // Replaces the next value after a colon.
  void
  replace_value (std::string &text, size_t at)
  {
    size_t start = text.find (':', at);
    size_t end = start != std::string::npos ? text.find_first_of (",}", start) : start;

    if (end != std::string::npos)
      text.replace (start + 1, end - start - 1,
                    odd_values[random () % (sizeof (odd_values) / sizeof (odd_values[0]))]);
  }
};

// Whether another instance accepts the list of targets with this one.
bool
passes_codec (const dks_target_info_t &info)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_TARGETS);
  dks_msg_t *decoded = nullptr;
  uint8_t *frame = nullptr;
  size_t len = 0;

  msg->u.targets.count = 1;
  msg->u.targets.items = static_cast<dks_target_info_t *> (malloc (sizeof (info)));
  msg->u.targets.items[0] = info;
  dks_codec_encode (msg, &frame, &len);
  dks_msg_unref (msg);
  int error = dks_codec_decode (frame + 4, len - 4, &decoded);
  free (frame);
  if (error == DKS_OK)
    dks_msg_unref (decoded);
  return error == DKS_OK;
}

bool
is_printable (const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (isgraph (static_cast<unsigned char> (*text)) == 0)
        return false;
    }
  return true;
}

}

// A job that an entry instance accepts is one that its leader accepts.
TEST_F (Fuzz, AcceptedJobsPassTheCodec)
{
  int accepted = 0;

  for (int i = 0; i < input_count (); i++)
    {
      std::string text = mutate (job);
      dks_batch_t *batch = nullptr;
      const char *refusal = nullptr;
      uint8_t *frame = nullptr;
      size_t len = 0;

      if (dks_wire_decode_batch (text.data (), text.size (), &batch, &refusal) != DKS_OK)
        continue;
      dks_msg_t *msg = dks_msg_create (DKS_MSG_WORK);
      dks_msg_t *decoded = nullptr;
      msg->u.work.batch = batch;
      snprintf (batch->id, sizeof (batch->id), "5c0e7a21d94b36f8");
      msg->u.work.objective_us = dks_batch_limit_span_us (
          static_cast<int64_t> (dks_batch_critical_path_ms (batch)) * 1000 * 1000);
      dks_codec_encode (msg, &frame, &len);
      ASSERT_EQ (dks_codec_decode (frame + 4, len - 4, &decoded), DKS_OK) << text;
      EXPECT_FALSE (decoded->u.work.malformed) << text;
      free (frame);
      dks_msg_unref (decoded);
      dks_msg_unref (msg);
      accepted++;
    }
  EXPECT_GT (accepted, input_count () / 20);
}

TEST_F (Fuzz, OddConfigurationsAreRejectedOrUsable)
{
  for (int i = 0; i < input_count (); i++)
    {
      std::string text = mutate (catalog);
      dks_catalog_t *decoded = nullptr;
      dks_catalog_t *again = nullptr;
      dks_catalog_rejection_t rejection;

      if (dks_wire_decode_catalog (text.data (), text.size (), &decoded, &rejection) == DKS_OK)
        {
          dks_blob_t *record = dks_catalog_encode (decoded);
          EXPECT_EQ (dks_catalog_decode (record, &again, &rejection), DKS_OK) << text;
          dks_blob_unref (record);
          dks_catalog_unref (again);
        }
      else
        {
          EXPECT_NE (rejection.reason[0], '\0') << text;
          EXPECT_EQ (decoded, nullptr);
        }
      dks_catalog_unref (decoded);
    }
}

// Ids and addresses of targets stand in headers and URLs.
TEST_F (Fuzz, OddTargetsAreSkippedOrUsable)
{
  for (int i = 0; i < input_count (); i++)
    {
      std::string text = mutate (target);
      std::string id = mutate ("i-7f3a91c2");
      json_t *json = json_loadb (text.data (), text.size (), 0, nullptr);
      dks_target_info_t info;

      if (dks_wire_decode_target (id.c_str (), json, &info) == DKS_OK)
        {
          EXPECT_TRUE (is_printable (info.id)) << text;
          EXPECT_TRUE (is_printable (info.address)) << text;
          EXPECT_TRUE (passes_codec (info)) << text;
        }
      json_decref (json);
    }
}

TEST_F (Fuzz, OddListsOfRunsAreRejectedOrUsable)
{
  for (int i = 0; i < input_count (); i++)
    {
      std::string text = mutate (lists);
      json_t *json = json_loadb (text.data (), text.size (), 0, nullptr);
      dks_run_lists_t decoded;

      if (dks_wire_decode_lists (json, &decoded) == DKS_OK)
        {
          for (size_t j = 0; j < decoded.running_count; j++)
            EXPECT_LE (decoded.running[j].percent_done, 100U);
          dks_wire_lists_clear (&decoded);
        }
      json_decref (json);
    }
}
