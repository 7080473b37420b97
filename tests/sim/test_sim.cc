#include <gtest/gtest.h>

extern "C"
{
#include "sim.h"
}

#include <cstring>
#include <vector>

namespace
{

/* A check that never reports a violation would let each seed pass. Each test violates one
 * requirement by hand and expects that its check, and no other one, reports it. */
class Checks : public testing::Test
{
protected:
  sim_t *sim;
  uint32_t key;

  void
  SetUp () override
  {
    sim_config_t config = {};
    config.seed = 1;
    config.data_centres = 1;
    config.instances[0] = 2;
    config.targets[0] = 2;
    config.slots = 8;
    config.client_latency_us = SIM_MS;
    sim = sim_create (&config);
    key = sim_key_add (sim, 2, false, nullptr);
    sim_chain_add (sim, SIM_REQUEST_SUBMIT, key, 0);
    sim->keys[key].submit_count = 1;
    sim->had_fault = true;
  }

  void
  TearDown () override
  {
    sim_destroy (sim);
  }

  void
  expect (std::vector<sim_check_t> fired)
  {
    std::vector<uint64_t> expected (SIM_CHECK_COUNT, 0);
    for (auto check : fired)
      expected[check]++;
    for (int i = 0; i < SIM_CHECK_COUNT; i++)
      EXPECT_EQ (sim->violations[i], expected[i]) << sim_check_name (static_cast<sim_check_t> (i));
  }

  sim_attempt_t
  send (uint32_t index, uint32_t target = 0)
  {
    sim_attempt_t attempt = {};
    attempt.key = key;
    attempt.index = index;
    attempt.target = target;
    sim_check_send (sim, &attempt);
    return attempt;
  }

  void
  start (uint32_t index)
  {
    sim_attempt_t attempt = send (index);
    sim_check_start (sim, &attempt);
  }

  void
  answer (dks_outcome_t outcome, dks_problem_t problem, int results = 0, bool wrong_content = false,
          const char *text = nullptr)
  {
    sim_request_t request = {};
    request.kind = SIM_REQUEST_SUBMIT;
    dks_answer_t *answer = dks_answer_create (text != nullptr ? text : sim->keys[key].text, outcome,
                                              problem, static_cast<uint32_t> (results));
    for (int i = 0; i < results; i++)
      {
        dks_blob_t *payload = sim_payload (key, static_cast<uint32_t> (i), wrong_content);
        answer->tasks[i].ok = true;
        answer->tasks[i].body = sim_result (payload);
        dks_blob_unref (payload);
      }
    sim_check_answer (sim, &request, answer);
    dks_answer_unref (answer);
  }
};

TEST_F (Checks, AcceptAWholeCorrectRun)
{
  start (0);
  start (1);
  answer (DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE, 2);
  expect ({});
}

TEST_F (Checks, FindASecondStartOfATask)
{
  start (0);
  start (0);
  expect ({ SIM_CHECK_DOUBLE_START });
}

TEST_F (Checks, AllowASecondStartOnlyOfRepeatableSingleRequests)
{
  sim->keys[key].repeatable = true;
  start (0);
  start (0);
  expect ({ SIM_CHECK_DOUBLE_START });
  sim->keys[key].single = true;
  start (0);
  expect ({ SIM_CHECK_DOUBLE_START });
}

TEST_F (Checks, FindNotRunAfterAStart)
{
  start (0);
  answer (DKS_OUTCOME_REFUSED, DKS_PROBLEM_DRAINING);
  expect ({ SIM_CHECK_FALSE_NOT_RUN });
}

/* A query reads the state at some moment after its arrival, so "not found" is a violation only if a
 * task started before the query arrived. */
TEST_F (Checks, FindNotFoundForAQueryAfterAStart)
{
  sim_request_t request = {};
  dks_answer_t *answer =
      dks_answer_create (sim->keys[key].text, DKS_OUTCOME_REFUSED, DKS_PROBLEM_NOT_FOUND, 0);
  request.kind = SIM_REQUEST_QUERY;
  request.arrived_position = ++sim->position;
  start (0);
  sim_check_answer (sim, &request, answer);
  expect ({});
  request.arrived_position = ++sim->position;
  sim_check_answer (sim, &request, answer);
  expect ({ SIM_CHECK_FALSE_NOT_RUN });
  dks_answer_unref (answer);
}

/* An attempt was sent before the answer "not run" and reaches the target after it. */
TEST_F (Checks, FindNotRunWhileAStartIsUnderWay)
{
  sim_attempt_t attempt = send (0);
  answer (DKS_OUTCOME_REFUSED, DKS_PROBLEM_DRAINING);
  sim_check_start (sim, &attempt);
  expect ({ SIM_CHECK_FALSE_NOT_RUN });
}

TEST_F (Checks, FindAStartAfterNotRunWithoutANewSubmission)
{
  answer (DKS_OUTCOME_REFUSED, DKS_PROBLEM_QUEUE_FULL);
  start (0);
  expect ({ SIM_CHECK_REFUSED_STARTED });
}

TEST_F (Checks, AllowAStartAfterNotRunAndANewSubmission)
{
  answer (DKS_OUTCOME_REFUSED, DKS_PROBLEM_QUEUE_FULL);
  sim->keys[key].submit_count++;
  start (0);
  expect ({});
}

TEST_F (Checks, FindAStartAfterACancelOfUnstartedWork)
{
  answer (DKS_OUTCOME_CANCELLED, DKS_PROBLEM_CANCELLED_NOT_RUN);
  start (0);
  expect ({ SIM_CHECK_CANCELLED_STARTED });
}

TEST_F (Checks, FindPartialAndWrongAnswers)
{
  answer (DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE, 1);
  expect ({ SIM_CHECK_PARTIAL });
  answer (DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE, 2, true);
  expect ({ SIM_CHECK_PARTIAL, SIM_CHECK_WRONG_ANSWER, SIM_CHECK_WRONG_ANSWER });
  answer (DKS_OUTCOME_FAILED, DKS_PROBLEM_TASK_FAILED, 0, false, "1800000000000-other");
  expect ({ SIM_CHECK_PARTIAL, SIM_CHECK_WRONG_ANSWER, SIM_CHECK_WRONG_ANSWER,
            SIM_CHECK_WRONG_ANSWER });
}

TEST_F (Checks, FindTwoAnswersAndAnswersToTheWrongCaller)
{
  dks_effect_t effect = {};
  sim_run (sim, 0);
  ASSERT_EQ (sim->request_count, 1U);
  sim->requests[0].arrived = true;
  uint32_t instance = sim->requests[0].instance;
  effect.u.reply.answer =
      dks_answer_create (sim->keys[key].text, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_NO_OWNER, 0);
  effect.u.reply.caller = 1;
  sim_callers_reply (sim, 1 - instance, &effect);
  expect ({ SIM_CHECK_WRONG_ANSWER });
  sim_callers_reply (sim, instance, &effect);
  sim_callers_reply (sim, instance, &effect);
  expect ({ SIM_CHECK_WRONG_ANSWER, SIM_CHECK_TWO_ANSWERS });
  dks_answer_unref (effect.u.reply.answer);
}

TEST_F (Checks, FindASendToALeavingTargetAfterThreeSeconds)
{
  sim_target_leave (sim, 0);
  sim->now_us += 3 * SIM_SECOND;
  send (0, 0);
  expect ({});
  sim->now_us++;
  send (0, 1);
  expect ({});
  send (0, 0);
  expect ({ SIM_CHECK_LEAVING_SEND });
}

TEST_F (Checks, FindAnExitThatCutsACallerOrAnAttempt)
{
  sim_run (sim, 0);
  uint32_t instance = sim->requests[0].instance;
  sim_check_exit (sim, instance);
  expect ({});
  sim->requests[0].arrived = true;
  sim_check_exit (sim, instance);
  expect ({ SIM_CHECK_DRAIN_CUT });
  sim_check_exit (sim, 1 - instance);
  expect ({ SIM_CHECK_DRAIN_CUT });
}

TEST_F (Checks, FindRequestsWithoutAFinalAnswer)
{
  sim_check_end (sim);
  expect ({ SIM_CHECK_NO_ANSWER });
}

TEST_F (Checks, FindUnknownWithoutAFault)
{
  answer (DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_OWNER_LOST);
  expect ({});
  sim->had_fault = false;
  answer (DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_OWNER_LOST);
  expect ({ SIM_CHECK_CALM_UNKNOWN });
}

TEST_F (Checks, FindLateAndLostSettings)
{
  dks_settings_edit_t edit = {};
  strcpy (edit.id, "edit-1");
  sim_edit_add (sim, &edit, 0);
  sim_run (sim, 2 * SIM_SECOND);
  sim->edits[0].accepted_us = sim->now_us;
  sim->edits[0].answered = true;
  sim->edits[0].version = 100;
  sim_check_edit (sim, 0, 0);
  EXPECT_EQ (sim->violations[SIM_CHECK_SETTINGS_LATE], 2U);
  sim->settings_fault_us = sim->now_us;
  sim_check_edit (sim, 0, 0);
  EXPECT_EQ (sim->violations[SIM_CHECK_SETTINGS_LATE], 2U);
  sim->edits[0].version = 0;
  strcpy (sim->edits[0].edit.id, "edit-2");
  sim_check_end (sim);
  EXPECT_EQ (sim->violations[SIM_CHECK_SETTINGS_LOST], 1U);
}

TEST_F (Checks, FindSettingsThatGoBack)
{
  sim_run (sim, SIM_SECOND);
  sim->instances[0].settings_version = 7;
  sim_check_settings (sim, 0);
  EXPECT_EQ (sim->violations[SIM_CHECK_SETTINGS_BACK], 1U);
}

/* TCP delivers in order, also after a cut has held messages back, and the reducers rely on that.
 * The queue must therefore not reorder events that have the same time. */
TEST (Queue, RunsEqualTimesInTheOrderOfInsertion)
{
  sim_items_t heap = {};
  for (uint32_t i = 0; i < 1000; i++)
    {
      sim_item_t item = {};
      item.at_us = i * 7919 % 10;
      item.order = i;
      sim_heap_push (&heap, &item);
    }
  sim_item_t last = sim_heap_pop (&heap);
  while (heap.count > 0)
    {
      sim_item_t next = sim_heap_pop (&heap);
      ASSERT_TRUE (last.at_us < next.at_us
                   || (last.at_us == next.at_us && last.order < next.order));
      last = next;
    }
  free (heap.items);
}

} // namespace
