#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "core/event.h"
#include "net/codec.h"
}

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

const char *const key = "dc1~1764800000123-order-77";
const int64_t issued_ms = 1764800000123;

void
set_text (char *to, size_t size, const char *from)
{
  snprintf (to, size, "%s", from);
}

dks_answer_t *
make_answer (dks_outcome_t outcome, uint32_t tasks)
{
  dks_answer_t *answer = dks_answer_create (
      key, outcome, outcome == DKS_OUTCOME_FAILED ? DKS_PROBLEM_TASK_FAILED : DKS_PROBLEM_NONE,
      tasks);

  answer->retry_after_ms = 77;
  set_text (answer->detail, sizeof (answer->detail), "it ist \xc3\xa9tabli");
  for (uint32_t i = 0; i < tasks; i++)
    {
      answer->tasks[i].ok = i != 1;
      answer->tasks[i].problem = i != 1 ? DKS_PROBLEM_NONE : DKS_PROBLEM_TARGET_LOST;
      answer->tasks[i].body = i != 1 ? dks_blob_create ("a\0b", 3) : nullptr;
    }
  return answer;
}

void
fill_item (dks_claim_item_t *item, dks_answer_t *answer)
{
  set_text (item->key, sizeof (item->key), key);
  set_text (item->runner, sizeof (item->runner), "entry-1#17");
  item->issued_ms = issued_ms;
  item->digest = UINT64_C (0xfedcba9876543210);
  item->answer = answer;
}

dks_submission_t *
make_submission (uint32_t tasks)
{
  dks_submission_t *submission = dks_submission_create (tasks);

  set_text (submission->key, sizeof (submission->key), key);
  set_text (submission->service, sizeof (submission->service), "lexicon");
  set_text (submission->team, sizeof (submission->team), "team-a");
  submission->issued_ms = issued_ms;
  submission->deadline_ms = issued_ms + 5000;
  submission->single = tasks == 1;
  submission->repeatable = true;
  submission->respond_async = true;
  for (uint32_t i = 0; i < tasks; i++)
    {
      submission->tasks[i].payload = dks_blob_create ("pay\0load", i % 9);
      submission->tasks[i].run_ms = 50 + i;
      submission->tasks[i].cpus = 2;
      submission->tasks[i].memory_mb = UINT32_MAX;
      submission->tasks[i].accelerators = 1;
    }
  dks_submission_set_digest (submission);
  return submission;
}

dks_batch_t *
make_batch ()
{
  dks_batch_t *batch = dks_batch_create (1);
  dks_batch_step_t *step = &batch->steps[0];

  set_text (batch->id, sizeof (batch->id), "416ebc495da185d0");
  set_text (batch->service, sizeof (batch->service), "lexicon");
  set_text (batch->queue, sizeof (batch->queue), "word-check");
  batch->priority = 2;
  batch->max_attempts = 3;
  batch->spec = dks_blob_create ("spec", 4);
  *step = { 480, 6800, 64, 1, 900, 0, 2, "a", "r1-3" };
  EXPECT_EQ (dks_batch_validate (batch), DKS_OK);
  return batch;
}

// Returns a message of `type` in which every field is set.
dks_msg_t *
make_msg (dks_msg_type_t type)
{
  dks_msg_t *msg = dks_msg_create (type);

  switch (type)
    {
    case DKS_MSG_HEARTBEAT:
      msg->u.heartbeat = { issued_ms, 5, INT64_MAX, 7, 9, 8, true, 10, issued_ms };
      break;
    case DKS_MSG_FORWARD:
      msg->u.forward.request = UINT64_MAX;
      msg->u.forward.submission = make_submission (3);
      break;
    case DKS_MSG_ASK:
      msg->u.ask.request = 5;
      set_text (msg->u.ask.key, sizeof (msg->u.ask.key), key);
      msg->u.ask.cancel = true;
      break;
    case DKS_MSG_ANSWER:
      msg->u.answer.request = 6;
      msg->u.answer.answer = make_answer (DKS_OUTCOME_FAILED, 3);
      break;
    case DKS_MSG_CLAIM:
      msg->u.claim.shard = 15;
      msg->u.claim.epoch = 3;
      msg->u.claim.id = 4;
      fill_item (&msg->u.claim.item, nullptr);
      break;
    case DKS_MSG_CONFIRM:
      msg->u.confirm = { 1, 2, 3 };
      break;
    case DKS_MSG_CLAIM_ACK:
      msg->u.claim_ack = { 1, 2, 3, true };
      break;
    case DKS_MSG_RESULT:
      msg->u.result.shard = 2;
      fill_item (&msg->u.result.item, make_answer (DKS_OUTCOME_COMPLETE, 1));
      break;
    case DKS_MSG_SNAPSHOT:
      msg->u.snapshot = { 4, 5, 6, 7, true, true, 3, nullptr };
      msg->u.snapshot.items =
          static_cast<dks_claim_item_t *> (calloc (3, sizeof (dks_claim_item_t)));
      fill_item (&msg->u.snapshot.items[0], make_answer (DKS_OUTCOME_COMPLETE, 1));
      fill_item (&msg->u.snapshot.items[1], nullptr);
      fill_item (&msg->u.snapshot.items[2], make_answer (DKS_OUTCOME_CANCELLED, 0));
      break;
    case DKS_MSG_SNAPSHOT_ACK:
      msg->u.snapshot_ack = { 4, 5 };
      break;
    case DKS_MSG_DEMAND:
      msg->u.demand = { 4, INT64_MAX };
      break;
    case DKS_MSG_GRANT:
    case DKS_MSG_GRANT_RETURN:
      msg->u.grant.count = 9;
      break;
    case DKS_MSG_RUN:
      msg->u.run.attempt = 11;
      set_text (msg->u.run.key, sizeof (msg->u.run.key), key);
      set_text (msg->u.run.service, sizeof (msg->u.run.service), "lexicon");
      msg->u.run.index = DKS_TASKS_MAX - 1;
      msg->u.run.attempt_number = 2;
      msg->u.run.deadline_ms = issued_ms;
      msg->u.run.spec = { dks_blob_create_text ("payload"), 1, 2, 3, 4 };
      break;
    case DKS_MSG_RUN_DONE:
      msg->u.run_done.attempt = 11;
      msg->u.run_done.status = DKS_ATTEMPT_LOST;
      msg->u.run_done.body = dks_blob_create_text ("result");
      break;
    case DKS_MSG_RUN_ABORT:
      msg->u.run_done.attempt = 12;
      break;
    case DKS_MSG_RECORD:
      set_text (msg->u.record.key, sizeof (msg->u.record.key), "view/dc1");
      msg->u.record.version = 99;
      msg->u.record.value = dks_blob_create_text ("{}");
      break;
    case DKS_MSG_RECORD_ASK:
      set_text (msg->u.record_ask.key, sizeof (msg->u.record_ask.key), "catalog");
      break;
    case DKS_MSG_LEASED_STATUS:
      msg->u.leased_status = {
        INT64_MAX,     issued_ms,      17, 40,  11,         870,  3,  120, true,    4800,
        true,          true,           77, 200, UINT64_MAX, true, 78, 2,   nullptr, 79,
        INT64_MAX - 1, UINT64_MAX - 2, 0,  0,   nullptr
      };
      msg->u.leased_status.prior_jobs = static_cast<uint64_t *> (calloc (2, sizeof (uint64_t)));
      msg->u.leased_status.prior_jobs[1] = UINT64_MAX;
      msg->u.leased_status.evacuations_revision = INT64_MAX - 3;
      msg->u.leased_status.evacuated_count = 2;
      msg->u.leased_status.evacuated =
          static_cast<char (*)[DKS_NAME_SIZE]> (calloc (2, DKS_NAME_SIZE));
      set_text (msg->u.leased_status.evacuated[0], DKS_NAME_SIZE, "dc1");
      set_text (msg->u.leased_status.evacuated[1], DKS_NAME_SIZE,
                std::string (DKS_NAME_SIZE - 1, 'd').c_str ());
      break;
    case DKS_MSG_TARGETS:
      msg->u.targets.may_have_runs = true;
      msg->u.targets.count = 2;
      msg->u.targets.items =
          static_cast<dks_target_info_t *> (calloc (2, sizeof (dks_target_info_t)));
      msg->u.targets.items[0] = { "i-1", "lexicon", "10.0.0.1:1",    "dc1",    true, 16000, 32768,
                                  1,     2,         { "a", "r1-2" }, issued_ms };
      msg->u.targets.items[1] = { "i-2", "lexicon", "10.0.0.2:1", "dc2", false, 24000, 1,
                                  0,     0,         {},           0 };
      break;
    case DKS_MSG_SPEEDS:
      msg->u.speeds.target_count = 1;
      msg->u.speeds.targets =
          static_cast<dks_target_speed_t *> (calloc (1, sizeof (dks_target_speed_t)));
      msg->u.speeds.targets[0] = { "i-1", issued_ms, 870, 31 };
      msg->u.speeds.queue_count = 2;
      msg->u.speeds.queues =
          static_cast<dks_queue_run_time_t *> (calloc (2, sizeof (dks_queue_run_time_t)));
      msg->u.speeds.queues[0] = { "words", 60000, 400 };
      msg->u.speeds.queues[1] = { "rulings", 900000, 7 };
      msg->u.speeds.task_crashes_count = 1;
      msg->u.speeds.task_crashes =
          static_cast<dks_task_crashes_t *> (calloc (1, sizeof (dks_task_crashes_t)));
      msg->u.speeds.task_crashes[0] = { "5c0e7a21d94b36f8.0.1.17", 2, 1 };
      break;
    case DKS_MSG_ADDRESSES:
      msg->u.addresses.count = 2;
      msg->u.addresses.items =
          static_cast<dks_member_address_t *> (calloc (2, sizeof (dks_member_address_t)));
      msg->u.addresses.items[0] = { "10.0.0.1:7000", 0 };
      msg->u.addresses.items[1] = { "10.0.0.2:7000", 7200 };
      break;
    case DKS_MSG_WORK:
      msg->u.work = { 7,       make_batch (), 1500, 60000, 1500000, true, 3,  2,
                      nullptr, nullptr,       78,   82,    79,      80,   81, false };
      msg->u.work.lent_tasks = static_cast<uint32_t *> (calloc (2, sizeof (uint32_t)));
      msg->u.work.lent_runs = static_cast<uint32_t *> (calloc (2, sizeof (uint32_t)));
      msg->u.work.lent_tasks[1] = 479;
      msg->u.work.lent_runs[0] = 1;
      msg->u.work.lent_runs[1] = 9;
      break;
    case DKS_MSG_WORK_DONE:
      msg->u.work_done.request = 7;
      msg->u.work_done.answer = DKS_BATCH_REFUSED;
      msg->u.work_done.retry_after_ms = 1000;
      set_text (msg->u.work_done.detail, sizeof (msg->u.work_done.detail), "no room in time");
      break;
    case DKS_MSG_WORK_CANCEL:
      msg->u.work_cancel.request = 7;
      break;
    case DKS_MSG_LENT_DONE:
      msg->u.lent_done = { 7, 479, 3, DKS_LENT_INTERRUPTED };
      break;
    default:
      break;
    }
  return msg;
}

std::string
text_of (const dks_blob_t *blob)
{
  return blob != nullptr ? std::string (reinterpret_cast<const char *> (blob->data), blob->len)
                         : "(none)";
}

std::string
text_of (const dks_task_spec_t &spec)
{
  return text_of (spec.payload) + "," + std::to_string (spec.run_ms) + ","
         + std::to_string (spec.cpus) + "," + std::to_string (spec.memory_mb) + ","
         + std::to_string (spec.accelerators) + ";";
}

std::string
text_of (const dks_answer_t *answer)
{
  std::string text;

  if (answer == nullptr)
    return "(none)";
  text = std::string (answer->key) + "," + std::to_string (answer->outcome) + ","
         + std::to_string (answer->problem) + "," + std::to_string (answer->retry_after_ms) + ","
         + answer->detail;
  for (uint32_t i = 0; i < answer->task_count; i++)
    text += "," + std::to_string (answer->tasks[i].ok) + std::to_string (answer->tasks[i].problem)
            + text_of (answer->tasks[i].body);
  return text;
}

std::string
text_of (const dks_claim_item_t &item)
{
  return std::string (item.key) + "," + std::to_string (item.issued_ms) + ","
         + std::to_string (item.digest) + "," + item.runner + "," + text_of (item.answer) + ";";
}

// Returns all fields of a message as text, to compare two messages.
std::string
text_of (const dks_msg_t *msg)
{
  std::string text = dks_msg_name (msg->type);
  auto add = [&text] (auto value) { text += "," + std::to_string (value); };

  switch (msg->type)
    {
    case DKS_MSG_FORWARD:
      {
        const dks_submission_t *s = msg->u.forward.submission;
        add (msg->u.forward.request);
        text += std::string (s->key) + "," + s->service + "," + s->team;
        add (s->issued_ms);
        add (s->deadline_ms);
        add (s->single);
        add (s->repeatable);
        add (s->respond_async);
        add (s->digest);
        for (uint32_t i = 0; i < s->task_count; i++)
          text += text_of (s->tasks[i]);
        break;
      }
    case DKS_MSG_ANSWER:
      add (msg->u.answer.request);
      text += text_of (msg->u.answer.answer);
      break;
    case DKS_MSG_CLAIM:
      add (msg->u.claim.shard);
      add (msg->u.claim.epoch);
      add (msg->u.claim.id);
      text += text_of (msg->u.claim.item);
      break;
    case DKS_MSG_RESULT:
      add (msg->u.result.shard);
      text += text_of (msg->u.result.item);
      break;
    case DKS_MSG_SNAPSHOT:
      add (msg->u.snapshot.shard);
      add (msg->u.snapshot.epoch);
      add (msg->u.snapshot.id);
      add (msg->u.snapshot.floor_ms);
      add (msg->u.snapshot.first);
      add (msg->u.snapshot.last);
      for (uint32_t i = 0; i < msg->u.snapshot.count; i++)
        text += text_of (msg->u.snapshot.items[i]);
      break;
    case DKS_MSG_RUN:
      add (msg->u.run.attempt);
      text += std::string (msg->u.run.key) + "," + msg->u.run.service;
      add (msg->u.run.index);
      add (msg->u.run.attempt_number);
      add (msg->u.run.deadline_ms);
      text += text_of (msg->u.run.spec);
      break;
    case DKS_MSG_RUN_DONE:
    case DKS_MSG_RUN_ABORT:
      add (msg->u.run_done.attempt);
      add (msg->u.run_done.status);
      text += text_of (msg->u.run_done.body);
      break;
    case DKS_MSG_RECORD:
      text += msg->u.record.key;
      add (msg->u.record.version);
      text += text_of (msg->u.record.value);
      break;
    case DKS_MSG_HEARTBEAT:
      add (msg->u.heartbeat.wall_ms);
      add (msg->u.heartbeat.settings_version);
      add (msg->u.heartbeat.view_version);
      add (msg->u.heartbeat.free_slots);
      add (msg->u.heartbeat.capacity);
      add (msg->u.heartbeat.demand_total);
      add (msg->u.heartbeat.oldest_arrival_ms);
      add (msg->u.heartbeat.queued_tasks);
      add (msg->u.heartbeat.draining);
      break;
    case DKS_MSG_ASK:
      add (msg->u.ask.request);
      text += msg->u.ask.key;
      add (msg->u.ask.cancel);
      break;
    case DKS_MSG_CONFIRM:
      add (msg->u.confirm.shard);
      add (msg->u.confirm.epoch);
      add (msg->u.confirm.id);
      break;
    case DKS_MSG_CLAIM_ACK:
      add (msg->u.claim_ack.shard);
      add (msg->u.claim_ack.epoch);
      add (msg->u.claim_ack.id);
      add (msg->u.claim_ack.ok);
      break;
    case DKS_MSG_LEASED_STATUS:
      add (msg->u.leased_status.term);
      add (msg->u.leased_status.started_ms);
      add (msg->u.leased_status.catalog_version);
      add (msg->u.leased_status.free_tasks);
      add (msg->u.leased_status.free_fast_tasks);
      add (msg->u.leased_status.fast_slowness_milli);
      add (msg->u.leased_status.waiting_tasks);
      add (msg->u.leased_status.processor_milli);
      add (msg->u.leased_status.draining);
      add (msg->u.leased_status.knows_targets);
      add (msg->u.leased_status.yields_leadership);
      add (msg->u.leased_status.sent_us);
      add (msg->u.leased_status.interval_ms);
      add (msg->u.leased_status.address_digest);
      add (msg->u.leased_status.states_prior_jobs);
      add (msg->u.leased_status.prior_jobs_term);
      for (uint32_t i = 0; i < msg->u.leased_status.prior_job_count; i++)
        add (msg->u.leased_status.prior_jobs[i]);
      add (msg->u.leased_status.heard_us);
      add (msg->u.leased_status.leader_term);
      add (msg->u.leased_status.targets_digest);
      add (msg->u.leased_status.evacuations_revision);
      for (uint32_t i = 0; i < msg->u.leased_status.evacuated_count; i++)
        text += std::string (",") + msg->u.leased_status.evacuated[i];
      add (msg->u.leased_status.handover_ms);
      break;
    case DKS_MSG_SPEEDS:
      for (uint32_t i = 0; i < msg->u.speeds.target_count; i++)
        {
          text += std::string (",") + msg->u.speeds.targets[i].id;
          add (msg->u.speeds.targets[i].incarnation_ms);
          add (msg->u.speeds.targets[i].slowness_milli);
          add (msg->u.speeds.targets[i].samples);
        }
      for (uint32_t i = 0; i < msg->u.speeds.queue_count; i++)
        {
          text += std::string (",") + msg->u.speeds.queues[i].name;
          add (msg->u.speeds.queues[i].mean_run_us);
          add (msg->u.speeds.queues[i].samples);
        }
      for (uint32_t i = 0; i < msg->u.speeds.task_crashes_count; i++)
        {
          text += std::string (",") + msg->u.speeds.task_crashes[i].task_name;
          add (msg->u.speeds.task_crashes[i].weight);
          add (msg->u.speeds.task_crashes[i].withdrawn);
        }
      break;
    case DKS_MSG_TARGETS:
      add (msg->u.targets.may_have_runs);
      for (uint32_t i = 0; i < msg->u.targets.count; i++)
        {
          const dks_target_info_t *info = &msg->u.targets.items[i];
          text += std::string (",") + info->id + "," + info->service + "," + info->address + ","
                  + info->data_centre;
          add (info->leaving);
          add (info->cpu_milli);
          add (info->memory_mb);
          add (info->accelerators);
          add (info->incarnation_ms);
          for (uint32_t j = 0; j < info->label_count; j++)
            text += std::string (",") + info->labels[j];
        }
      break;
    case DKS_MSG_ADDRESSES:
      for (uint32_t i = 0; i < msg->u.addresses.count; i++)
        {
          text += std::string (",") + msg->u.addresses.items[i].text;
          add (msg->u.addresses.items[i].unseen_s);
        }
      break;
    case DKS_MSG_WORK:
      {
        const dks_batch_t *batch = msg->u.work.batch;
        add (msg->u.work.request);
        text += std::string (batch->id) + "," + batch->service + "," + batch->queue + ",";
        text += text_of (batch->spec);
        add (batch->priority);
        add (batch->max_attempts);
        add (batch->task_count);
        for (uint32_t i = 0; i < batch->step_count; i++)
          {
            const dks_batch_step_t *step = &batch->steps[i];
            add (step->count);
            add (step->cpu_milli);
            add (step->memory_mb);
            add (step->accelerators);
            add (step->estimate_ms);
            add (step->after_mask);
            add (step->max_per_target);
            text += std::string (step->required_label) + "," + step->preferred_label;
          }
        add (msg->u.work.age_us);
        add (msg->u.work.objective_us);
        add (msg->u.work.sent_us);
        add (msg->u.work.heard_us);
        add (msg->u.work.budget_us);
        add (msg->u.work.resent);
        add (msg->u.work.step);
        add (msg->u.work.home_term);
        add (msg->u.work.remote_term);
        add (msg->u.work.sent_term);
        for (uint32_t i = 0; i < msg->u.work.lent_count; i++)
          {
            add (msg->u.work.lent_tasks[i]);
            add (msg->u.work.lent_runs[i]);
          }
        break;
      }
    case DKS_MSG_WORK_DONE:
      add (msg->u.work_done.request);
      add (msg->u.work_done.answer);
      add (msg->u.work_done.retry_after_ms);
      text += msg->u.work_done.detail;
      break;
    case DKS_MSG_WORK_CANCEL:
      add (msg->u.work_cancel.request);
      break;
    case DKS_MSG_LENT_DONE:
      add (msg->u.lent_done.request);
      add (msg->u.lent_done.index);
      add (msg->u.lent_done.run);
      add (msg->u.lent_done.result);
      break;
    case DKS_MSG_SNAPSHOT_ACK:
      add (msg->u.snapshot_ack.shard);
      add (msg->u.snapshot_ack.id);
      break;
    case DKS_MSG_DEMAND:
      add (msg->u.demand.demand_total);
      add (msg->u.demand.oldest_arrival_ms);
      break;
    case DKS_MSG_GRANT:
    case DKS_MSG_GRANT_RETURN:
      add (msg->u.grant.count);
      break;
    case DKS_MSG_RECORD_ASK:
      text += std::string (",") + msg->u.record_ask.key;
      break;
    case DKS_MSG_TYPE_COUNT:
      break;
    }
  return text;
}

std::vector<uint8_t>
encode (const dks_msg_t *msg)
{
  uint8_t *frame;
  size_t len;

  dks_codec_encode (msg, &frame, &len);
  std::vector<uint8_t> bytes (frame, frame + len);
  free (frame);
  return bytes;
}

// Encodes `msg`, decodes the frame and returns the decoder's result. Releases `msg`; `text` gets
// all fields of the decoded message.
int
round_trip (dks_msg_t *msg, std::string *text = nullptr)
{
  std::vector<uint8_t> frame = encode (msg);
  dks_msg_t *copy = nullptr;
  int error = dks_codec_decode (frame.data () + 4, frame.size () - 4, &copy);

  if (text != nullptr && error == DKS_OK)
    *text = text_of (copy);
  EXPECT_EQ (copy != nullptr, error == DKS_OK);
  dks_msg_unref (copy);
  dks_msg_unref (msg);
  return error;
}

TEST (Codec, RoundTripOfEveryType)
{
  for (int type = 1; type < DKS_MSG_TYPE_COUNT; type++)
    {
      dks_msg_t *msg = make_msg (static_cast<dks_msg_type_t> (type));
      std::vector<uint8_t> frame = encode (msg);
      std::string expected = text_of (msg);
      std::string text;
      size_t len = static_cast<size_t> (frame[0]) << 24 | static_cast<size_t> (frame[1]) << 16
                   | static_cast<size_t> (frame[2]) << 8 | frame[3];

      EXPECT_EQ (len, frame.size () - 4);
      ASSERT_EQ (round_trip (msg, &text), DKS_OK)
          << dks_msg_name (static_cast<dks_msg_type_t> (type));
      EXPECT_EQ (text, expected);
    }
}

// Guards against an empty payload or result that is decoded as a missing one, because proto3 does
// not tell the two apart: a target would get a request without a body.
TEST (Codec, EmptyPayloadsAndResultsStay)
{
  dks_msg_t *msg = make_msg (DKS_MSG_RUN);
  std::string expected;
  std::string text;

  dks_blob_unref (msg->u.run.spec.payload);
  msg->u.run.spec.payload = dks_blob_create (nullptr, 0);
  expected = text_of (msg);
  ASSERT_EQ (round_trip (msg, &text), DKS_OK);
  EXPECT_EQ (text, expected);
  msg = dks_msg_create (DKS_MSG_RUN_DONE);
  msg->u.run_done.status = DKS_ATTEMPT_OK;
  msg->u.run_done.body = dks_blob_create (nullptr, 0);
  expected = text_of (msg);
  ASSERT_EQ (round_trip (msg, &text), DKS_OK);
  EXPECT_EQ (text, expected);
}

TEST (Codec, LargestJobAndSnapshotPass)
{
  dks_msg_t *msg = dks_msg_create (DKS_MSG_FORWARD);

  msg->u.forward.submission = make_submission (DKS_TASKS_MAX);
  EXPECT_EQ (round_trip (msg), DKS_OK);
  // Tasks without any content take the most memory for their size in the frame.
  msg = dks_msg_create (DKS_MSG_FORWARD);
  msg->u.forward.submission = make_submission (DKS_TASKS_MAX);
  for (uint32_t i = 0; i < DKS_TASKS_MAX; i++)
    {
      dks_blob_unref (msg->u.forward.submission->tasks[i].payload);
      msg->u.forward.submission->tasks[i] = {};
    }
  EXPECT_EQ (round_trip (msg), DKS_OK);
  msg = dks_msg_create (DKS_MSG_SNAPSHOT);
  msg->u.snapshot.count = 256;
  msg->u.snapshot.items = static_cast<dks_claim_item_t *> (calloc (256, sizeof (dks_claim_item_t)));
  for (uint32_t i = 0; i < 256; i++)
    {
      dks_answer_t *answer = dks_answer_create (key, DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE, 480);
      for (uint32_t t = 0; t < 480; t++)
        answer->tasks[t].ok = true;
      fill_item (&msg->u.snapshot.items[i], answer);
    }
  EXPECT_EQ (round_trip (msg), DKS_OK);
}

// Guards against a value out of bounds that the decoder passes on to the reducer, which does not
// check it. Each case changes one field of a valid message to such a value.
TEST (Codec, RejectsValuesOutOfBounds)
{
  auto msg_with = [] (dks_msg_type_t type, auto change) {
    dks_msg_t *msg = make_msg (type);
    change (msg);
    return msg;
  };
  auto check = [&] (dks_msg_type_t type, int error, auto change) {
    EXPECT_EQ (round_trip (msg_with (type, change)), error) << dks_msg_name (type);
  };

  check (DKS_MSG_CLAIM, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.claim.shard = DKS_SHARDS; });
  check (DKS_MSG_CONFIRM, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.confirm.shard = DKS_SHARDS; });
  check (DKS_MSG_CLAIM_ACK, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.claim_ack.shard = UINT32_MAX; });
  check (DKS_MSG_RESULT, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.result.shard = DKS_SHARDS; });
  check (DKS_MSG_SNAPSHOT, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.snapshot.shard = DKS_SHARDS; });
  check (DKS_MSG_SNAPSHOT, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.snapshot.floor_ms = INT64_MAX; });
  check (DKS_MSG_SNAPSHOT_ACK, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.snapshot_ack.shard = DKS_SHARDS; });
  check (DKS_MSG_LEASED_STATUS, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.leased_status.leader_term = UINT64_MAX; });
  check (DKS_MSG_LEASED_STATUS, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.leased_status.prior_jobs_term = UINT64_MAX; });
  check (DKS_MSG_LEASED_STATUS, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.leased_status.heard_us = -1; });
  check (DKS_MSG_LEASED_STATUS, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.leased_status.evacuations_revision = -1; });
  check (DKS_MSG_LEASED_STATUS, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.leased_status.evacuated[1][0] = '\n'; });
  check (DKS_MSG_LEASED_STATUS, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.leased_status.heard_us = INT64_MAX; });
  check (DKS_MSG_LEASED_STATUS, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.leased_status.handover_ms = UINT32_MAX; });
  check (DKS_MSG_HEARTBEAT, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.heartbeat.wall_ms = INT64_MIN; });
  check (DKS_MSG_HEARTBEAT, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.heartbeat.view_version = -1; });
  check (DKS_MSG_HEARTBEAT, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.heartbeat.settings_version = -1; });
  check (DKS_MSG_ASK, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.ask.key[0] = '\0'; });
  check (DKS_MSG_ASK, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.ask.key[5] = '\n'; });
  check (DKS_MSG_FORWARD, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.forward.submission->issued_ms++; });
  check (DKS_MSG_FORWARD, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.forward.submission->deadline_ms = INT64_MAX; });
  check (DKS_MSG_FORWARD, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.forward.submission->team[0] = '\r'; });
  check (DKS_MSG_FORWARD, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.forward.submission->single = true; });
  check (DKS_MSG_FORWARD, DKS_ERR_TOO_LARGE, [] (dks_msg_t *m) {
    std::string large (DKS_PAYLOAD_MAX + 1, 'x');
    dks_blob_unref (m->u.forward.submission->tasks[2].payload);
    m->u.forward.submission->tasks[2].payload = dks_blob_create_text (large.c_str ());
  });
  check (DKS_MSG_FORWARD, DKS_ERR_INVALID, [] (dks_msg_t *m) {
    dks_submission_unref (m->u.forward.submission);
    m->u.forward.submission = make_submission (0);
  });
  check (DKS_MSG_FORWARD, DKS_ERR_TOO_LARGE, [] (dks_msg_t *m) {
    dks_submission_unref (m->u.forward.submission);
    m->u.forward.submission = make_submission (DKS_TASKS_MAX + 1);
  });
  check (DKS_MSG_FORWARD, DKS_ERR_TOO_LARGE, [] (dks_msg_t *m) {
    std::string large (DKS_PAYLOAD_MAX, 'x');
    dks_submission_unref (m->u.forward.submission);
    m->u.forward.submission = make_submission (9);
    for (int i = 0; i < 9; i++)
      {
        dks_blob_unref (m->u.forward.submission->tasks[i].payload);
        m->u.forward.submission->tasks[i].payload = dks_blob_create_text (large.c_str ());
      }
  });
  check (DKS_MSG_ANSWER, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.answer.answer->outcome = static_cast<dks_outcome_t> (0); });
  check (DKS_MSG_ANSWER, DKS_ERR_INVALID, [] (dks_msg_t *m) {
    m->u.answer.answer->outcome = static_cast<dks_outcome_t> (DKS_OUTCOME_ACCEPTED + 1);
  });
  check (DKS_MSG_ANSWER, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.answer.answer->problem = DKS_PROBLEM_COUNT; });
  check (DKS_MSG_ANSWER, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.answer.answer->tasks[0].problem = DKS_PROBLEM_COUNT; });
  check (DKS_MSG_ANSWER, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.answer.answer->outcome = DKS_OUTCOME_REFUSED; });
  check (DKS_MSG_ANSWER, DKS_ERR_TOO_LARGE, [] (dks_msg_t *m) {
    dks_answer_unref (m->u.answer.answer);
    m->u.answer.answer = make_answer (DKS_OUTCOME_COMPLETE, DKS_TASKS_MAX + 1);
  });
  check (DKS_MSG_RESULT, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.result.item.answer->key[25] = '8'; });
  check (DKS_MSG_CLAIM, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.claim.item.runner[0] = 1; });
  check (DKS_MSG_RUN, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.run.index = DKS_TASKS_MAX; });
  check (DKS_MSG_RUN, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.run.attempt_number = 0; });
  check (DKS_MSG_RUN, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.run.deadline_ms = INT64_MIN; });
  check (DKS_MSG_RUN_DONE, DKS_ERR_INVALID,
         [] (dks_msg_t *m) { m->u.run_done.status = static_cast<dks_attempt_status_t> (0); });
  check (DKS_MSG_RUN_DONE, DKS_ERR_INVALID, [] (dks_msg_t *m) {
    m->u.run_done.status = static_cast<dks_attempt_status_t> (DKS_ATTEMPT_LOST + 1);
  });
  check (DKS_MSG_RUN_DONE, DKS_ERR_TOO_LARGE, [] (dks_msg_t *m) {
    std::string large (DKS_PAYLOAD_MAX + 1, 'x');
    dks_blob_unref (m->u.run_done.body);
    m->u.run_done.body = dks_blob_create_text (large.c_str ());
  });
  check (DKS_MSG_RECORD, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.record.version = -1; });
  check (DKS_MSG_RECORD, DKS_ERR_INVALID, [] (dks_msg_t *m) { m->u.record.key[0] = '\0'; });
}

// Guards against a string that overflows its array in the message, and against a missing part. The
// encoder cannot produce such frames, so that the test builds them byte by byte.
TEST (Codec, RejectsLongStringsAndMissingParts)
{
  std::string name (DKS_NAME_SIZE, 'n');
  std::string long_key = "1764800000123-" + std::string (DKS_KEY_SIZE, 'k');
  dks_msg_t *msg;
  auto frame = [] (int field, const std::string &body) {
    EXPECT_LT (body.size (), 16384U);
    std::string text (1, static_cast<char> (field << 3 | 2));
    text += static_cast<char> ((body.size () & 0x7f) | 0x80);
    if (field > 15)
      text = std::string ({ static_cast<char> ((field & 15) << 3 | 2 | 0x80),
                            static_cast<char> (field >> 4),
                            static_cast<char> ((body.size () & 0x7f) | 0x80) });
    text += static_cast<char> (body.size () >> 7);
    return text + body;
  };
  auto decode = [&] (const std::string &text) {
    int error =
        dks_codec_decode (reinterpret_cast<const uint8_t *> (text.data ()), text.size (), &msg);
    EXPECT_EQ (msg, nullptr);
    return error;
  };

  EXPECT_EQ (decode (frame (4, frame (2, long_key))), DKS_ERR_TOO_LARGE); // ask
  EXPECT_EQ (decode (frame (18, frame (1, std::string (DKS_NAME_SIZE + 8, 'n')))),
             DKS_ERR_TOO_LARGE);                         // record
  EXPECT_EQ (decode (frame (3, "")), DKS_ERR_INVALID);   // forward without submission
  EXPECT_EQ (decode (frame (5, "")), DKS_ERR_INVALID);   // answer without answer
  EXPECT_EQ (decode (frame (6, "")), DKS_ERR_INVALID);   // claim without item
  EXPECT_EQ (decode (frame (9, "")), DKS_ERR_INVALID);   // result without item
  EXPECT_EQ (decode (frame (15, "")), DKS_ERR_INVALID);  // run without spec
  EXPECT_EQ (decode (frame (100, "")), DKS_ERR_INVALID); // unknown message
  EXPECT_EQ (decode (""), DKS_ERR_INVALID);

  uint8_t *hello;
  size_t len;
  char member[DKS_NAME_SIZE];
  char data_centre[DKS_NAME_SIZE];
  bool duplicate = false;
  dks_codec_encode_hello (name.c_str (), "dc1", true, &hello, &len);
  EXPECT_EQ (dks_codec_decode_hello (hello + 4, len - 4, member, data_centre, &duplicate),
             DKS_ERR_INVALID);
  free (hello);
  dks_codec_encode_hello ("", "dc1", true, &hello, &len);
  EXPECT_EQ (dks_codec_decode_hello (hello + 4, len - 4, member, data_centre, &duplicate),
             DKS_ERR_INVALID);
  free (hello);
}

TEST (Codec, HelloRoundTripAndNoConfusionWithMessages)
{
  uint8_t *hello;
  size_t len;
  char member[DKS_NAME_SIZE];
  char data_centre[DKS_NAME_SIZE];
  bool duplicate = false;
  dks_msg_t *msg;

  dks_codec_encode_hello ("entry-1#17", "dc1", true, &hello, &len);
  ASSERT_EQ (dks_codec_decode_hello (hello + 4, len - 4, member, data_centre, &duplicate), DKS_OK);
  EXPECT_STREQ (member, "entry-1#17");
  EXPECT_STREQ (data_centre, "dc1");
  EXPECT_TRUE (duplicate);
  EXPECT_EQ (dks_codec_decode (hello + 4, len - 4, &msg), DKS_ERR_INVALID);
  free (hello);
  msg = make_msg (DKS_MSG_RECORD_ASK);
  std::vector<uint8_t> frame = encode (msg);
  dks_msg_unref (msg);
  EXPECT_EQ (dks_codec_decode_hello (frame.data () + 4, frame.size () - 4, member, data_centre,
                                     &duplicate),
             DKS_ERR_INVALID);
}

// Guards against a loss that is never noticed, since the peer promised a status in a far future.
TEST (Codec, StatusWithATooLongIntervalIsRejected)
{
  for (uint32_t interval_ms : { 10000U, 10001U })
    {
      dks_msg_t *msg = make_msg (DKS_MSG_LEASED_STATUS);
      dks_msg_t *decoded = nullptr;

      msg->u.leased_status.interval_ms = interval_ms;
      std::vector<uint8_t> frame = encode (msg);
      dks_msg_unref (msg);
      EXPECT_EQ (dks_codec_decode (frame.data () + 4, frame.size () - 4, &decoded),
                 interval_ms == 10000 ? DKS_OK : DKS_ERR_INVALID);
      if (interval_ms == 10000)
        dks_msg_unref (decoded);
    }
}

// Guards against the loss of all jobs on a connection for one that breaks a bound: only this job is
// refused.
TEST (Codec, JobThatBreaksABoundIsMalformedAndNoError)
{
  const int64_t day_us = INT64_C (86400) * 1000000;
  std::vector<std::function<void (dks_msg_t *)>> faults = {
    [=] (dks_msg_t *m) { m->u.work.age_us = day_us + 1; },
    [=] (dks_msg_t *m) { m->u.work.objective_us = day_us + 1; },
    [=] (dks_msg_t *m) { m->u.work.budget_us = day_us + 1; },
    [] (dks_msg_t *m) { m->u.work.objective_us = -1; },
    [] (dks_msg_t *m) { m->u.work.sent_us = INT64_MAX; },
    [] (dks_msg_t *m) { m->u.work.sent_us = -1; },
    [] (dks_msg_t *m) { m->u.work.heard_us = INT64_MAX; },
    [] (dks_msg_t *m) { m->u.work.heard_us = -1; },
    [] (dks_msg_t *m) { set_text (m->u.work.batch->id, DKS_BATCH_ID_SIZE, "\xff\xfe"); },
    [] (dks_msg_t *m) { set_text (m->u.work.batch->id, DKS_BATCH_ID_SIZE, ""); },
    [] (dks_msg_t *m) { m->u.work.batch->steps[0].count = 0; },
    [] (dks_msg_t *m) { m->u.work.batch->steps[0].count = DKS_TASKS_MAX + 1; },
  };

  for (auto &fault : faults)
    {
      dks_msg_t *msg = make_msg (DKS_MSG_WORK);
      dks_msg_t *decoded = nullptr;

      msg->u.work.lent_count = 0;
      fault (msg);
      std::vector<uint8_t> frame = encode (msg);
      dks_msg_unref (msg);
      ASSERT_EQ (dks_codec_decode (frame.data () + 4, frame.size () - 4, &decoded), DKS_OK);
      EXPECT_TRUE (decoded->u.work.malformed);
      EXPECT_EQ (decoded->u.work.request, 7U);
      EXPECT_EQ (decoded->u.work.batch->step_count, 0U);
      dks_msg_unref (decoded);
    }
}

// Guards against a frame that takes a large multiple of its size in memory: each empty sub-message
// has two bytes in the frame, but a whole struct when it is unpacked.
TEST (Codec, BoundsMemoryOfNestedEmptyMessages)
{
  size_t items = 7 << 20;
  std::string body;
  std::string text;
  dks_msg_t *msg;

  for (size_t i = 0; i < items; i++)
    body.append ("\x3a\x00", 2); // Snapshot.items
  text += static_cast<char> (10 << 3 | 2);
  for (size_t len = body.size (); len > 0; len >>= 7)
    text += static_cast<char> ((len & 0x7f) | (len > 0x7f ? 0x80 : 0));
  text += body;
  EXPECT_EQ (
      dks_codec_decode (reinterpret_cast<const uint8_t *> (text.data ()), text.size (), &msg),
      DKS_ERR_INVALID);
}

// Guards against a damaged frame that crashes the decoder or decodes to an invalid message. A frame
// must be rejected or decode to a message that can be encoded again; the sanitizers check the
// memory accesses.
TEST (Codec, SurvivesMutationsOfEveryType)
{
  const int mutations = 3000;

  for (int type = 1; type <= DKS_MSG_TYPE_COUNT; type++)
    {
      std::mt19937 random (static_cast<unsigned> (type));
      std::vector<uint8_t> valid;
      int accepted = 0;

      if (type < DKS_MSG_TYPE_COUNT)
        {
          dks_msg_t *msg = make_msg (static_cast<dks_msg_type_t> (type));
          valid = encode (msg);
          dks_msg_unref (msg);
        }
      else
        {
          uint8_t *hello;
          size_t len;
          dks_codec_encode_hello ("entry-1#17", "dc1", true, &hello, &len);
          valid.assign (hello, hello + len);
          free (hello);
        }
      valid.erase (valid.begin (), valid.begin () + 4);
      for (int i = 0; i < mutations; i++)
        {
          std::vector<uint8_t> data = valid;
          char member[DKS_NAME_SIZE];
          char data_centre[DKS_NAME_SIZE];
          bool duplicate = false;
          dks_msg_t *msg = nullptr;

          for (unsigned n = 1 + random () % 4; n > 0 && !data.empty (); n--)
            {
              size_t at = random () % data.size ();
              switch (random () % 5)
                {
                case 0:
                  data[at] ^= static_cast<uint8_t> (1U << random () % 8);
                  break;
                case 1:
                  data[at] = static_cast<uint8_t> (random ());
                  break;
                case 2:
                  data.resize (at);
                  break;
                case 3:
                  data.insert (data.begin () + static_cast<long> (at),
                               static_cast<uint8_t> (random ()));
                  break;
                default:
                  // Repeats the end of the frame, so that fields and whole sub-messages occur
                  // twice.
                  {
                    std::vector<uint8_t> part (data.begin () + static_cast<long> (at), data.end ());
                    data.insert (data.end (), part.begin (), part.end ());
                  }
                  break;
                }
            }
          // In a copy of the exact size, the sanitizer detects a read past the end.
          std::unique_ptr<uint8_t[]> exact (new uint8_t[data.size () + 1]);
          uint8_t *start = exact.get () + 1;
          std::copy (data.begin (), data.end (), start);
          if (dks_codec_decode (start, data.size (), &msg) == DKS_OK)
            {
              accepted++;
              encode (msg);
              text_of (msg);
              dks_msg_unref (msg);
            }
          else
            ASSERT_EQ (msg, nullptr);
          dks_codec_decode_hello (start, data.size (), member, data_centre, &duplicate);
        }
      RecordProperty ("accepted_" + std::to_string (type), accepted);
    }
}

} // namespace
