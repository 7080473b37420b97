#include <gtest/gtest.h>

extern "C"
{
#include "core/reducer.h"
}

#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace
{

constexpr int64_t wall_start_ms = 1764800000000;

/** One reducer with a working store, and targets whose replies the test sends. */
class ReducerTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    dks_config_t config;
    char detail[DKS_TEXT_SIZE];

    dks_config_init (&config);
    strcpy (config.id, "e1");
    strcpy (config.address, "127.0.0.1:7000");
    strcpy (config.data_centre, "dc1");
    strcpy (config.data_centres[0], "dc1");
    config.data_centre_count = 1;
    config.incarnation = 1;
    config.seed = 1;
    ASSERT_EQ (dks_config_validate (&config, detail), 0) << detail;
    reducer = dks_reducer_create (&config, now ());
    list_targets (1);
    advance (1000000);
  }

  void
  TearDown () override
  {
    for (auto &[caller, answer] : answers)
      dks_answer_unref (answer);
    dks_effects_destroy (&effects);
    dks_reducer_destroy (reducer);
  }

  dks_time_t
  now () const
  {
    return { mono_us, wall_start_ms + mono_us / 1000 };
  }

  void
  apply (dks_event_t event)
  {
    std::vector<dks_event_t> replies;
    std::vector<dks_blob_t *> blobs;

    event.now = now ();
    dks_reducer_apply (reducer, &event, &effects);
    for (size_t i = 0; i < effects.count; i++)
      handle_effect (effects.items[i], replies, blobs);
    dks_effects_clear (&effects);
    for (auto &reply : replies)
      apply (reply);
    for (auto *blob : blobs)
      dks_blob_unref (blob);
  }

  void
  handle_effect (const dks_effect_t &effect, std::vector<dks_event_t> &replies,
                 std::vector<dks_blob_t *> &blobs)
  {
    dks_event_t reply = {};

    reply.type = DKS_EVENT_STORE_REPLY;
    reply.u.store_reply.op = effect.u.store.op;
    switch (effect.type)
      {
      case DKS_EFFECT_REPLY:
        EXPECT_EQ (answers.count (effect.u.reply.caller), 0u) << "second answer to one caller";
        answers[effect.u.reply.caller] = dks_answer_ref (effect.u.reply.answer);
        break;
      case DKS_EFFECT_TARGET_SEND:
        starts[std::string (effect.u.target_send.key) + "/"
               + std::to_string (effect.u.target_send.index)]++;
        attempts.push_back (effect.u.target_send.attempt);
        break;
      case DKS_EFFECT_STORE_GET:
        {
          auto found = store.find (effect.u.store.key);
          if (found == store.end ())
            reply.u.store_reply.status = DKS_STORE_NOT_FOUND;
          else
            {
              reply.u.store_reply.status = DKS_STORE_OK;
              reply.u.store_reply.version = found->second.first;
              reply.u.store_reply.value = dks_blob_create_text (found->second.second.c_str ());
              blobs.push_back (reply.u.store_reply.value);
            }
          replies.push_back (reply);
          break;
        }
      case DKS_EFFECT_STORE_CAS:
        if (store_is_down)
          {
            reply.u.store_reply.status = DKS_STORE_UNKNOWN;
            replies.push_back (reply);
            break;
          }
        EXPECT_EQ (store[effect.u.store.key].first, effect.u.store.version);
        store[effect.u.store.key] = { ++revision,
                                      reinterpret_cast<const char *> (effect.u.store.value->data) };
        reply.u.store_reply.status = lose_cas_replies ? DKS_STORE_UNKNOWN : DKS_STORE_OK;
        reply.u.store_reply.version = lose_cas_replies ? 0 : revision;
        replies.push_back (reply);
        break;
      case DKS_EFFECT_EDIT_REPLY:
        edit_errors[effect.u.edit_reply.caller] = effect.u.edit_reply.error;
        break;
      case DKS_EFFECT_EXIT:
        exited = true;
        break;
      default:
        break;
      }
  }

  void
  list_targets (size_t count)
  {
    std::vector<dks_listed_instance_t> items (count);
    dks_event_t event = {};

    for (size_t i = 0; i < count; i++)
      {
        snprintf (items[i].id, sizeof (items[i].id), "t%zu", i);
        snprintf (items[i].address, sizeof (items[i].address), "127.0.0.1:%zu", 9000 + i);
        strcpy (items[i].data_centre, "dc1");
        items[i].is_target = true;
        items[i].slots = 2;
        items[i].cpus = 16;
        items[i].memory_mb = 32768;
      }
    event.type = DKS_EVENT_INSTANCE_LIST;
    event.u.instance_list = { items.data (), items.size () };
    apply (event);
  }

  void
  advance (int64_t us)
  {
    int64_t end = mono_us + us;

    while (mono_us < end)
      {
        int64_t next = dks_reducer_next_us (reducer);
        mono_us = next < end ? (next > mono_us ? next : mono_us) : end;
        dks_event_t event = {};
        event.type = DKS_EVENT_TICK;
        apply (event);
      }
  }

  std::string
  fresh_key (const std::string &name)
  {
    return std::to_string (wall_start_ms + mono_us / 1000) + "-" + name;
  }

  dks_submission_t *
  submission (const std::string &key, uint32_t tasks)
  {
    dks_submission_t *s = dks_submission_create (tasks);

    strcpy (s->key, key.c_str ());
    strcpy (s->service, "words");
    strcpy (s->team, "league");
    s->issued_ms = std::stoll (key);
    s->deadline_ms = now ().wall_ms + 60000;
    for (uint32_t i = 0; i < tasks; i++)
      s->tasks[i].payload = dks_blob_create_text (std::to_string (i).c_str ());
    dks_submission_set_digest (s);
    return s;
  }

  void
  submit (uint64_t caller, dks_submission_t *s)
  {
    dks_event_t event = {};

    event.type = DKS_EVENT_SUBMIT;
    event.u.submit = { caller, s };
    apply (event);
    dks_submission_unref (s);
  }

  void
  apply_key_event (dks_event_type_t type, uint64_t caller, const std::string &key)
  {
    dks_event_t event = {};

    event.type = type;
    event.u.key = { caller, key.c_str () };
    apply (event);
  }

  void
  finish_attempt (uint64_t attempt, dks_attempt_status_t status, const char *body)
  {
    dks_event_t event = {};

    event.type = DKS_EVENT_TARGET_REPLY;
    event.u.target_reply.attempt = attempt;
    event.u.target_reply.status = status;
    event.u.target_reply.body = dks_blob_create_text (body);
    apply (event);
    dks_blob_unref (event.u.target_reply.body);
  }

  void
  finish_all_attempts ()
  {
    while (!attempts.empty ())
      {
        uint64_t attempt = attempts.front ();
        attempts.erase (attempts.begin ());
        finish_attempt (attempt, DKS_ATTEMPT_OK, "ok");
      }
  }

  dks_reducer_t *reducer = nullptr;
  dks_effects_t effects = {};
  int64_t mono_us = 1000000;
  int64_t revision = 0;
  bool exited = false;
  bool lose_cas_replies = false; /* a CAS takes effect, but its reply is UNKNOWN */
  bool store_is_down = false;    /* a CAS takes no effect, and its reply is UNKNOWN */
  std::map<uint64_t, int> edit_errors;
  std::map<std::string, std::pair<int64_t, std::string>> store;
  std::map<uint64_t, dks_answer_t *> answers;
  std::map<std::string, int> starts;
  std::vector<uint64_t> attempts;
};

TEST_F (ReducerTest, JobIsCompleteOnlyWithAllResults)
{
  std::string key = fresh_key ("job");

  submit (1, submission (key, 5));
  EXPECT_EQ (attempts.size (), 2u) << "one target with two slots";
  finish_all_attempts ();
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->outcome, DKS_OUTCOME_COMPLETE);
  EXPECT_EQ (answers[1]->task_count, 5u);
  EXPECT_EQ (starts.size (), 5u);
}

TEST_F (ReducerTest, ResubmissionStartsNothingAndGetsTheSameAnswer)
{
  std::string key = fresh_key ("job");

  submit (1, submission (key, 2));
  submit (2, submission (key, 2));
  finish_all_attempts ();
  submit (3, submission (key, 2));
  for (uint64_t caller : { 1, 2, 3 })
    {
      ASSERT_EQ (answers.count (caller), 1u);
      EXPECT_EQ (answers[caller]->outcome, DKS_OUTCOME_COMPLETE);
    }
  for (auto &[task, count] : starts)
    EXPECT_EQ (count, 1) << task;
}

TEST_F (ReducerTest, KeyOlderThanTheRetentionIsNeverStarted)
{
  submit (1, submission (std::to_string (wall_start_ms - 700000) + "-old", 1));
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->outcome, DKS_OUTCOME_UNKNOWN);
  EXPECT_EQ (answers[1]->problem, DKS_PROBLEM_KEY_EXPIRED);
  EXPECT_TRUE (starts.empty ());
}

TEST_F (ReducerTest, CancelledKeyIsNotStartedByALateSubmission)
{
  std::string key = fresh_key ("late");

  apply_key_event (DKS_EVENT_CANCEL, 1, key);
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->outcome, DKS_OUTCOME_CANCELLED);
  submit (2, submission (key, 1));
  ASSERT_EQ (answers.count (2), 1u);
  EXPECT_EQ (answers[2]->outcome, DKS_OUTCOME_CANCELLED);
  EXPECT_TRUE (starts.empty ());
}

TEST_F (ReducerTest, FailedTaskOfAJobIsNotRepeated)
{
  std::string key = fresh_key ("fails");

  submit (1, submission (key, 1));
  ASSERT_EQ (attempts.size (), 1u);
  finish_attempt (attempts[0], DKS_ATTEMPT_FAILED, "broken");
  advance (2000000);
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->outcome, DKS_OUTCOME_FAILED);
  EXPECT_EQ (starts[key + "/0"], 1);
}

// Results that do not fit into one frame between instances would never reach the entry instance, so
// the job must fail instead.
TEST_F (ReducerTest, ResultsThatAreTooLargeFailTheJob)
{
  std::string body (1 << 20, 'x');

  submit (1, submission (fresh_key ("large"), 10));
  while (!attempts.empty ())
    {
      uint64_t attempt = attempts.front ();
      attempts.erase (attempts.begin ());
      finish_attempt (attempt, DKS_ATTEMPT_OK, body.c_str ());
    }
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->outcome, DKS_OUTCOME_FAILED);
  EXPECT_EQ (answers[1]->problem, DKS_PROBLEM_RESULT_TOO_LARGE);
}

TEST_F (ReducerTest, RepeatableRequestIsTriedAgain)
{
  std::string key = fresh_key ("again");
  dks_submission_t *s = submission (key, 1);

  s->single = s->repeatable = true;
  submit (1, s);
  ASSERT_EQ (attempts.size (), 1u);
  finish_attempt (attempts[0], DKS_ATTEMPT_FAILED, "broken");
  advance (200000);
  ASSERT_EQ (attempts.size (), 2u);
  finish_attempt (attempts[1], DKS_ATTEMPT_OK, "ok");
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->outcome, DKS_OUTCOME_COMPLETE);
}

TEST_F (ReducerTest, JobThatNoTargetCanRunIsRefusedWithTheReason)
{
  dks_submission_t *s = submission (fresh_key ("large"), 1);

  s->tasks[0].memory_mb = 1 << 20;
  submit (1, s);
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->problem, DKS_PROBLEM_INFEASIBLE);
  EXPECT_NE (strstr (answers[1]->detail, "memory_mb"), nullptr);
  EXPECT_TRUE (starts.empty ());
}

TEST_F (ReducerTest, QueuedJobIsRefusedAsNotRunAtItsDeadline)
{
  dks_submission_t *s;

  submit (1, submission (fresh_key ("busy"), 30));
  s = submission (fresh_key ("waits"), 1);
  s->deadline_ms = now ().wall_ms + 500;
  submit (2, s);
  advance (1000000);
  ASSERT_EQ (answers.count (2), 1u);
  EXPECT_EQ (answers[2]->outcome, DKS_OUTCOME_REFUSED);
}

// The store makes the write of an edit, but its reply is lost. If the retry did not recognise the
// change by its id, the edit would be made and recorded a second time.
TEST_F (ReducerTest, EditWithALostReplyIsMadeOnce)
{
  dks_event_t event = {};

  event.type = DKS_EVENT_SETTINGS_EDIT;
  event.u.settings_edit.caller = 1;
  strcpy (event.u.settings_edit.edit.actor, "alice");
  strcpy (event.u.settings_edit.edit.path, "/words");
  strcpy (event.u.settings_edit.edit.name, "team_weight");
  event.u.settings_edit.edit.value = 50;
  lose_cas_replies = true;
  apply (event);
  lose_cas_replies = false;
  advance (3000000);
  ASSERT_EQ (edit_errors.count (1), 1u);
  EXPECT_EQ (edit_errors[1], 0);
  EXPECT_EQ (dks_settings_version (dks_reducer_settings (reducer)), 1);
  EXPECT_EQ (dks_settings_change_count (dks_reducer_settings (reducer)), 1u);
}

// A store that was restored from an old copy has old settings at a new revision. They must not
// replace the newer settings in force.
TEST_F (ReducerTest, OlderSettingsAreNeverPutInForce)
{
  const char *old = "{\"version\":0,\"overrides\":{},\"history\":[]}";
  dks_settings_t *settings = dks_settings_create ();
  dks_settings_t *newer = nullptr;
  dks_settings_edit_t edit = {};
  char detail[DKS_TEXT_SIZE];
  dks_event_t event = {};

  strcpy (edit.id, "1");
  strcpy (edit.actor, "alice");
  strcpy (edit.path, "/words");
  strcpy (edit.name, "team_weight");
  edit.value = 50;
  ASSERT_EQ (dks_settings_apply (settings, &edit, wall_start_ms, &newer, detail), 0) << detail;
  event.type = DKS_EVENT_STORE_RECORD;
  event.u.store_record.key = "settings";
  event.u.store_record.version = 100;
  event.u.store_record.value = dks_settings_format (newer);
  apply (event);
  dks_blob_unref (event.u.store_record.value);
  event.u.store_record.version = 101;
  event.u.store_record.value = dks_blob_create_text (old);
  apply (event);
  dks_blob_unref (event.u.store_record.value);
  EXPECT_EQ (dks_settings_version (dks_reducer_settings (reducer)), 1);
  dks_settings_unref (newer);
  dks_settings_unref (settings);
}

// A target may have left while this process was paused, and the first instance list that arrives
// after the pause may date from before the pause. Work must wait for the second list.
TEST_F (ReducerTest, AfterAPauseTheListIsReadTwiceBeforeWorkIsSent)
{
  mono_us += 5000000;
  submit (1, submission (fresh_key ("resumed"), 1));
  EXPECT_TRUE (attempts.empty ());
  list_targets (1);
  EXPECT_TRUE (attempts.empty ());
  list_targets (1);
  EXPECT_EQ (attempts.size (), 1u);
}

TEST_F (ReducerTest, DrainFinishesRunningWorkBeforeExit)
{
  dks_event_t event = {};

  submit (1, submission (fresh_key ("last"), 3));
  event.type = DKS_EVENT_DRAIN;
  apply (event);
  advance (3000000);
  EXPECT_FALSE (exited);
  finish_all_attempts ();
  advance (3000000);
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->outcome, DKS_OUTCOME_COMPLETE);
  EXPECT_TRUE (exited);
}

// Callers that go on sending requests must not keep a draining instance open for ever; scripts/demo
// then fails with "the drained instance has not ended".
TEST_F (ReducerTest, DrainingInstanceTakesNewRequestsForALimitedTime)
{
  dks_event_t event = {};

  submit (1, submission (fresh_key ("first"), 3));
  event.type = DKS_EVENT_DRAIN;
  apply (event);
  advance (2000000);
  submit (2, submission (fresh_key ("second"), 1));
  EXPECT_EQ (answers.count (2), 0u);
  advance (3100000);
  submit (3, submission (fresh_key ("third"), 1));
  ASSERT_EQ (answers.count (3), 1u);
  EXPECT_EQ (answers[3]->outcome, DKS_OUTCOME_UNKNOWN);
  EXPECT_EQ (answers[3]->problem, DKS_PROBLEM_DRAINING);
  EXPECT_GT (answers[3]->retry_after_ms, 0u);
  finish_all_attempts ();
  advance (3000000);
  finish_all_attempts ();
  advance (3000000);
  EXPECT_TRUE (exited);
}

// A platform that is gone must not keep an instance without work running: it was still there 10 min
// after SIGTERM.
TEST_F (ReducerTest, DrainEndsWhileThePlatformIsDown)
{
  dks_event_t event = {};

  store_is_down = true;
  submit (1, submission (fresh_key ("last"), 3));
  event.type = DKS_EVENT_DRAIN;
  apply (event);
  advance (3000000);
  EXPECT_FALSE (exited);
  finish_all_attempts ();
  advance (15000000);
  EXPECT_FALSE (exited);
  advance (10000000);
  ASSERT_EQ (answers.count (1), 1u);
  EXPECT_EQ (answers[1]->outcome, DKS_OUTCOME_COMPLETE);
  EXPECT_TRUE (exited);
}

} // namespace
