#include "net/codec.h"

#include "codec_leased.h"
#include "common/alloc.h"
#include "common/error.h"
#include "core/key.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Sent in the hello; raised by a change that instances of the previous version cannot decode.
   * Instances with different versions refuse each other's connections. */
  PROTOCOL_VERSION = 1,
  LENGTH_PREFIX_SIZE = 4, /* bytes */
  /* A decoded frame takes at most DECODE_BASE_BYTES + DECODE_FACTOR * length bytes of memory. A
   * frame of 16 MiB of empty sub-messages, two bytes each, would otherwise take 600 MB. The base
   * allows a snapshot of 256 claims with 480 empty results each (a result takes 56 bytes of memory
   * and 4 bytes in the frame). */
  DECODE_FACTOR = 8,
  DECODE_BASE_BYTES = 16 << 20
};

/* Largest absolute value of a time that check_time() accepts, in Unix ms: sums of a few such times
 * cannot overflow an int64_t. */
#define TIME_MAX_MS (INT64_C (1) << 53)

/* Encoding */

static void
put_length (uint8_t *frame, size_t len)
{
  DKS_INVARIANT (len <= UINT32_MAX);
  frame[0] = (uint8_t)(len >> 24);
  frame[1] = (uint8_t)(len >> 16);
  frame[2] = (uint8_t)(len >> 8);
  frame[3] = (uint8_t)len;
}

void
dks_codec_pack (const Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  size_t size = dks__peer_message__get_packed_size (wire);

  *frame = dks_alloc (LENGTH_PREFIX_SIZE + size);
  put_length (*frame, size);
  dks__peer_message__pack (wire, *frame + LENGTH_PREFIX_SIZE);
  *len = LENGTH_PREFIX_SIZE + size;
}

static ProtobufCBinaryData
wire_blob (dks_blob_t *blob)
{
  if (blob == NULL)
    return (ProtobufCBinaryData){ 0 };
  return (ProtobufCBinaryData){ .len = blob->len, .data = blob->data };
}

static void
wire_spec (Dks__TaskSpec *to, const dks_task_spec_t *from)
{
  dks__task_spec__init (to);
  to->payload = wire_blob (from->payload);
  to->run_ms = from->run_ms;
  to->cpus = from->cpus;
  to->memory_mb = from->memory_mb;
  to->accelerators = from->accelerators;
}

/* Allocates one block with `count` pointers, followed by the `count` elements of `size` bytes to
 * which they point. */
static void *
alloc_pointer_list (size_t count, size_t size)
{
  char *list = dks_alloc (count * (sizeof (void *) + size));

  for (size_t i = 0; i < count; i++)
    ((void **)list)[i] = list + count * sizeof (void *) + i * size;
  return list;
}

static void
wire_submission (Dks__Submission *to, dks_submission_t *from)
{
  dks__submission__init (to);
  to->key = from->key;
  to->service = from->service;
  to->team = from->team;
  to->issued_ms = from->issued_ms;
  to->deadline_ms = from->deadline_ms;
  to->single = from->single;
  to->repeatable = from->repeatable;
  to->respond_async = from->respond_async;
  to->digest = from->digest;
  to->n_tasks = from->task_count;
  to->tasks = alloc_pointer_list (from->task_count, sizeof (Dks__TaskSpec));
  for (uint32_t i = 0; i < from->task_count; i++)
    wire_spec (to->tasks[i], &from->tasks[i]);
}

static void
wire_answer (Dks__Answer *to, dks_answer_t *from)
{
  dks__answer__init (to);
  to->key = from->key;
  to->outcome = (uint32_t)from->outcome;
  to->problem = (uint32_t)from->problem;
  to->retry_after_ms = from->retry_after_ms;
  to->detail = from->detail;
  to->n_tasks = from->task_count;
  to->tasks = alloc_pointer_list (from->task_count, sizeof (Dks__TaskResult));
  for (uint32_t i = 0; i < from->task_count; i++)
    {
      dks__task_result__init (to->tasks[i]);
      to->tasks[i]->ok = from->tasks[i].ok;
      to->tasks[i]->problem = (uint32_t)from->tasks[i].problem;
      to->tasks[i]->body = wire_blob (from->tasks[i].body);
    }
}

typedef struct
{
  Dks__ClaimItem item;
  Dks__Answer answer;
} wire_item_t;

static void
wire_item (wire_item_t *to, const dks_claim_item_t *from)
{
  dks__claim_item__init (&to->item);
  to->item.key = (char *)from->key;
  to->item.issued_ms = from->issued_ms;
  to->item.digest = from->digest;
  to->item.runner = (char *)from->runner;
  if (from->answer == NULL)
    return;
  wire_answer (&to->answer, from->answer);
  to->item.answer = &to->answer;
}

static void
wire_item_release (wire_item_t *item)
{
  if (item->item.answer != NULL)
    free (item->answer.tasks);
}

static void
encode_heartbeat (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Heartbeat body = DKS__HEARTBEAT__INIT;

  body.wall_ms = msg->u.heartbeat.wall_ms;
  body.settings_version = msg->u.heartbeat.settings_version;
  body.view_version = msg->u.heartbeat.view_version;
  body.free_slots = msg->u.heartbeat.free_slots;
  body.queued_tasks = msg->u.heartbeat.queued_tasks;
  body.draining = msg->u.heartbeat.draining;
  body.capacity = msg->u.heartbeat.capacity;
  body.want = msg->u.heartbeat.demand_total;
  body.oldest_ms = msg->u.heartbeat.oldest_arrival_ms;
  wire->heartbeat = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_forward (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Forward body = DKS__FORWARD__INIT;
  Dks__Submission submission;

  wire_submission (&submission, msg->u.forward.submission);
  body.request = msg->u.forward.request;
  body.submission = &submission;
  wire->forward = &body;
  dks_codec_pack (wire, frame, len);
  free (submission.tasks);
}

static void
encode_ask (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Ask body = DKS__ASK__INIT;

  body.request = msg->u.ask.request;
  body.key = (char *)msg->u.ask.key;
  body.cancel = msg->u.ask.cancel;
  wire->ask = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_answer (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__AnswerTo body = DKS__ANSWER_TO__INIT;
  Dks__Answer answer;

  wire_answer (&answer, msg->u.answer.answer);
  body.request = msg->u.answer.request;
  body.answer = &answer;
  wire->answer = &body;
  dks_codec_pack (wire, frame, len);
  free (answer.tasks);
}

static void
encode_claim (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Claim body = DKS__CLAIM__INIT;
  wire_item_t item;

  wire_item (&item, &msg->u.claim.item);
  body.shard = msg->u.claim.shard;
  body.epoch = msg->u.claim.epoch;
  body.id = msg->u.claim.id;
  body.item = &item.item;
  wire->claim = &body;
  dks_codec_pack (wire, frame, len);
  wire_item_release (&item);
}

static void
encode_confirm (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Confirm body = DKS__CONFIRM__INIT;

  body.shard = msg->u.confirm.shard;
  body.epoch = msg->u.confirm.epoch;
  body.id = msg->u.confirm.id;
  wire->confirm = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_claim_ack (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__ClaimAck body = DKS__CLAIM_ACK__INIT;

  body.shard = msg->u.claim_ack.shard;
  body.epoch = msg->u.claim_ack.epoch;
  body.id = msg->u.claim_ack.id;
  body.ok = msg->u.claim_ack.ok;
  wire->claim_ack = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_result (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Result body = DKS__RESULT__INIT;
  wire_item_t item;

  wire_item (&item, &msg->u.result.item);
  body.shard = msg->u.result.shard;
  body.item = &item.item;
  wire->result = &body;
  dks_codec_pack (wire, frame, len);
  wire_item_release (&item);
}

static void
encode_snapshot (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Snapshot body = DKS__SNAPSHOT__INIT;
  uint32_t count = msg->u.snapshot.count;
  wire_item_t **items = alloc_pointer_list (count, sizeof (wire_item_t));

  for (uint32_t i = 0; i < count; i++)
    wire_item (items[i], &msg->u.snapshot.items[i]);
  body.shard = msg->u.snapshot.shard;
  body.epoch = msg->u.snapshot.epoch;
  body.id = msg->u.snapshot.id;
  body.floor_ms = msg->u.snapshot.floor_ms;
  body.first = msg->u.snapshot.first;
  body.last = msg->u.snapshot.last;
  body.n_items = count;
  body.items = (Dks__ClaimItem **)items; /* valid as `item` is the first member of wire_item_t */
  wire->snapshot = &body;
  dks_codec_pack (wire, frame, len);
  for (uint32_t i = 0; i < count; i++)
    wire_item_release (items[i]);
  free (items);
}

static void
encode_snapshot_ack (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__SnapshotAck body = DKS__SNAPSHOT_ACK__INIT;

  body.shard = msg->u.snapshot_ack.shard;
  body.id = msg->u.snapshot_ack.id;
  wire->snapshot_ack = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_demand (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Demand body = DKS__DEMAND__INIT;

  body.want = msg->u.demand.demand_total;
  body.oldest_ms = msg->u.demand.oldest_arrival_ms;
  wire->demand = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_grant (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Grant body = DKS__GRANT__INIT;

  body.count = msg->u.grant.count;
  if (msg->type == DKS_MSG_GRANT)
    wire->grant = &body;
  else
    wire->grant_return = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_run (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Run body = DKS__RUN__INIT;
  Dks__TaskSpec spec;

  wire_spec (&spec, &msg->u.run.spec);
  body.attempt = msg->u.run.attempt;
  body.key = (char *)msg->u.run.key;
  body.service = (char *)msg->u.run.service;
  body.index = msg->u.run.index;
  body.number = msg->u.run.attempt_number;
  body.deadline_ms = msg->u.run.deadline_ms;
  body.spec = &spec;
  wire->run = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_run_done (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__RunDone body = DKS__RUN_DONE__INIT;

  body.attempt = msg->u.run_done.attempt;
  if (msg->type == DKS_MSG_RUN_DONE)
    {
      body.status = (uint32_t)msg->u.run_done.status;
      body.body = wire_blob (msg->u.run_done.body);
      wire->run_done = &body;
    }
  else
    wire->run_abort = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_record (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Record body = DKS__RECORD__INIT;

  body.key = (char *)msg->u.record.key;
  body.version = msg->u.record.version;
  body.value = wire_blob (msg->u.record.value);
  wire->record = &body;
  dks_codec_pack (wire, frame, len);
}

static void
encode_record_ask (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__RecordAsk body = DKS__RECORD_ASK__INIT;

  body.key = (char *)msg->u.record_ask.key;
  wire->record_ask = &body;
  dks_codec_pack (wire, frame, len);
}

/* Decoding */

/* Copies `from` if it is a valid idempotency key whose issue time is `issued_ms`. */
static int
copy_key_issued_at (char to[DKS_KEY_SIZE], const char *from, int64_t issued_ms)
{
  dks_key_t key;
  int error = dks_key_parse (from, &key);

  if (error != DKS_OK)
    return error;
  if (key.issued_ms != issued_ms)
    return DKS_ERR_INVALID;
  return dks_strcpy (to, DKS_KEY_SIZE, from);
}

static int
copy_key (char to[DKS_KEY_SIZE], const char *from)
{
  dks_key_t key;
  int error = dks_key_parse (from, &key);

  return error != DKS_OK ? error : dks_strcpy (to, DKS_KEY_SIZE, from);
}

static int
check_shard (uint32_t shard)
{
  return shard < DKS_SHARDS ? DKS_OK : DKS_ERR_INVALID;
}

static int
check_time (int64_t ms)
{
  return ms >= -TIME_MAX_MS && ms <= TIME_MAX_MS ? DKS_OK : DKS_ERR_INVALID;
}

static int
check_version (int64_t version)
{
  return version >= 0 ? DKS_OK : DKS_ERR_INVALID;
}

static int
read_blob (dks_blob_t **to, const ProtobufCBinaryData *from)
{
  if (from->len > DKS_PAYLOAD_MAX)
    return DKS_ERR_TOO_LARGE;
  *to = dks_blob_create (from->data, from->len);
  return DKS_OK;
}

static int
read_spec (dks_task_spec_t *to, const Dks__TaskSpec *from)
{
  to->run_ms = from->run_ms;
  to->cpus = from->cpus;
  to->memory_mb = from->memory_mb;
  to->accelerators = from->accelerators;
  return read_blob (&to->payload, &from->payload);
}

static int
read_submission (dks_submission_t **out, const Dks__Submission *from)
{
  dks_submission_t *to;
  size_t total = 0;
  int error = DKS_OK;

  if (from == NULL || from->n_tasks == 0 || (from->single && from->n_tasks != 1))
    return DKS_ERR_INVALID;
  if (from->n_tasks > DKS_TASKS_MAX)
    return DKS_ERR_TOO_LARGE;
  to = dks_submission_create ((uint32_t)from->n_tasks);
  *out = to;
  to->issued_ms = from->issued_ms;
  to->deadline_ms = from->deadline_ms;
  to->single = from->single;
  to->repeatable = from->repeatable;
  to->respond_async = from->respond_async;
  to->digest = from->digest;
  if ((error = copy_key_issued_at (to->key, from->key, from->issued_ms)) != DKS_OK
      || (error = dks_copy_text (to->service, sizeof (to->service), from->service)) != DKS_OK
      || (error = dks_copy_text (to->team, sizeof (to->team), from->team)) != DKS_OK
      || (error = check_time (from->deadline_ms)) != DKS_OK)
    return error;
  for (uint32_t i = 0; i < to->task_count && error == DKS_OK; i++)
    {
      total += from->tasks[i]->payload.len;
      error = total > DKS_SUBMISSION_MAX ? DKS_ERR_TOO_LARGE
                                         : read_spec (&to->tasks[i], from->tasks[i]);
    }
  return error;
}

static int
read_result (dks_task_result_t *to, const Dks__TaskResult *from)
{
  if (from->problem >= DKS_PROBLEM_COUNT)
    return DKS_ERR_INVALID;
  to->ok = from->ok;
  to->problem = (dks_problem_t)from->problem;
  /* In proto3 an empty field and a missing one look the same, so that an empty body counts as
   * present if the task succeeded, and as missing otherwise. */
  return to->ok || from->body.len > 0 ? read_blob (&to->body, &from->body) : DKS_OK;
}

static int
read_answer (dks_answer_t **out, const Dks__Answer *from)
{
  char key[DKS_KEY_SIZE];
  dks_answer_t *to;
  int error;

  if (from == NULL || from->outcome < DKS_OUTCOME_COMPLETE || from->outcome > DKS_OUTCOME_ACCEPTED
      || from->problem >= DKS_PROBLEM_COUNT)
    return DKS_ERR_INVALID;
  if (from->n_tasks > DKS_TASKS_MAX)
    return DKS_ERR_TOO_LARGE;
  if (from->n_tasks > 0 && from->outcome != DKS_OUTCOME_COMPLETE
      && from->outcome != DKS_OUTCOME_FAILED)
    return DKS_ERR_INVALID;
  if ((error = copy_key (key, from->key)) != DKS_OK)
    return error;
  to = dks_answer_create (key, (dks_outcome_t)from->outcome, (dks_problem_t)from->problem,
                          (uint32_t)from->n_tasks);
  *out = to;
  to->retry_after_ms = from->retry_after_ms;
  error = dks_copy_text (to->detail, sizeof (to->detail), from->detail);
  for (uint32_t i = 0; i < to->task_count && error == DKS_OK; i++)
    error = read_result (&to->tasks[i], from->tasks[i]);
  return error;
}

static int
read_item (dks_claim_item_t *to, const Dks__ClaimItem *from)
{
  int error;

  if (from == NULL)
    return DKS_ERR_INVALID;
  to->issued_ms = from->issued_ms;
  to->digest = from->digest;
  if ((error = copy_key_issued_at (to->key, from->key, from->issued_ms)) != DKS_OK
      || (error = dks_copy_text (to->runner, sizeof (to->runner), from->runner)) != DKS_OK)
    return error;
  if (from->answer == NULL)
    return DKS_OK;
  if ((error = read_answer (&to->answer, from->answer)) != DKS_OK)
    return error;
  return strcmp (to->answer->key, to->key) == 0 ? DKS_OK : DKS_ERR_INVALID;
}

static int
decode_heartbeat (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__Heartbeat *body = wire->heartbeat;
  int error;

  msg->u.heartbeat.wall_ms = body->wall_ms;
  msg->u.heartbeat.settings_version = body->settings_version;
  msg->u.heartbeat.view_version = body->view_version;
  msg->u.heartbeat.free_slots = body->free_slots;
  msg->u.heartbeat.queued_tasks = body->queued_tasks;
  msg->u.heartbeat.draining = body->draining;
  msg->u.heartbeat.capacity = body->capacity;
  msg->u.heartbeat.demand_total = body->want;
  msg->u.heartbeat.oldest_arrival_ms = body->oldest_ms;
  if ((error = check_version (body->settings_version)) != DKS_OK
      || (error = check_version (body->view_version)) != DKS_OK)
    return error;
  return check_time (body->wall_ms);
}

static int
decode_forward (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  msg->u.forward.request = wire->forward->request;
  return read_submission (&msg->u.forward.submission, wire->forward->submission);
}

static int
decode_ask (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  msg->u.ask.request = wire->ask->request;
  msg->u.ask.cancel = wire->ask->cancel;
  return copy_key (msg->u.ask.key, wire->ask->key);
}

static int
decode_answer (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  msg->u.answer.request = wire->answer->request;
  return read_answer (&msg->u.answer.answer, wire->answer->answer);
}

static int
decode_claim (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  int error = check_shard (wire->claim->shard);

  msg->u.claim.shard = wire->claim->shard;
  msg->u.claim.epoch = wire->claim->epoch;
  msg->u.claim.id = wire->claim->id;
  return error != DKS_OK ? error : read_item (&msg->u.claim.item, wire->claim->item);
}

static int
decode_confirm (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  msg->u.confirm.shard = wire->confirm->shard;
  msg->u.confirm.epoch = wire->confirm->epoch;
  msg->u.confirm.id = wire->confirm->id;
  return check_shard (wire->confirm->shard);
}

static int
decode_claim_ack (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  msg->u.claim_ack.shard = wire->claim_ack->shard;
  msg->u.claim_ack.epoch = wire->claim_ack->epoch;
  msg->u.claim_ack.id = wire->claim_ack->id;
  msg->u.claim_ack.ok = wire->claim_ack->ok;
  return check_shard (wire->claim_ack->shard);
}

static int
decode_result (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  int error = check_shard (wire->result->shard);

  msg->u.result.shard = wire->result->shard;
  return error != DKS_OK ? error : read_item (&msg->u.result.item, wire->result->item);
}

static int
decode_snapshot (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__Snapshot *body = wire->snapshot;
  int error;

  if ((error = check_shard (body->shard)) != DKS_OK
      || (error = check_time (body->floor_ms)) != DKS_OK)
    return error;
  msg->u.snapshot.shard = body->shard;
  msg->u.snapshot.epoch = body->epoch;
  msg->u.snapshot.id = body->id;
  msg->u.snapshot.floor_ms = body->floor_ms;
  msg->u.snapshot.first = body->first;
  msg->u.snapshot.last = body->last;
  msg->u.snapshot.items = dks_alloc (body->n_items * sizeof (msg->u.snapshot.items[0]));
  for (size_t i = 0; i < body->n_items && error == DKS_OK; i++)
    {
      msg->u.snapshot.count++;
      error = read_item (&msg->u.snapshot.items[i], body->items[i]);
    }
  return error;
}

static int
decode_snapshot_ack (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  msg->u.snapshot_ack.shard = wire->snapshot_ack->shard;
  msg->u.snapshot_ack.id = wire->snapshot_ack->id;
  return check_shard (wire->snapshot_ack->shard);
}

static int
decode_demand (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  /* No check_time(), since INT64_MAX stands for an empty queue. The reducer only compares this time
   * and adds nothing to it, so that it cannot overflow. */
  msg->u.demand.demand_total = wire->demand->want;
  msg->u.demand.oldest_arrival_ms = wire->demand->oldest_ms;
  return DKS_OK;
}

static int
decode_grant (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  msg->u.grant.count = msg->type == DKS_MSG_GRANT ? wire->grant->count : wire->grant_return->count;
  return DKS_OK;
}

static int
decode_run (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__Run *body = wire->run;
  int error;

  msg->u.run.attempt = body->attempt;
  msg->u.run.index = body->index;
  msg->u.run.attempt_number = body->number;
  msg->u.run.deadline_ms = body->deadline_ms;
  if (body->index >= DKS_TASKS_MAX || body->number == 0 || body->spec == NULL)
    return DKS_ERR_INVALID;
  if ((error = copy_key (msg->u.run.key, body->key)) != DKS_OK
      || (error = dks_copy_text (msg->u.run.service, sizeof (msg->u.run.service), body->service))
             != DKS_OK
      || (error = check_time (body->deadline_ms)) != DKS_OK)
    return error;
  return read_spec (&msg->u.run.spec, body->spec);
}

static int
decode_run_done (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__RunDone *body = msg->type == DKS_MSG_RUN_DONE ? wire->run_done : wire->run_abort;

  msg->u.run_done.attempt = body->attempt;
  if (msg->type == DKS_MSG_RUN_ABORT)
    return body->status == 0 && body->body.len == 0 ? DKS_OK : DKS_ERR_INVALID;
  if (body->status < DKS_ATTEMPT_OK || body->status > DKS_ATTEMPT_LOST)
    return DKS_ERR_INVALID;
  msg->u.run_done.status = (dks_attempt_status_t)body->status;
  if (body->status != DKS_ATTEMPT_OK && body->body.len == 0)
    return DKS_OK;
  return read_blob (&msg->u.run_done.body, &body->body);
}

static int
decode_record (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__Record *body = wire->record;
  int error;

  msg->u.record.version = body->version;
  if ((error = dks_copy_text (msg->u.record.key, sizeof (msg->u.record.key), body->key)) != DKS_OK
      || (error = check_version (body->version)) != DKS_OK)
    return error;
  return msg->u.record.key[0] != '\0' ? read_blob (&msg->u.record.value, &body->value)
                                      : DKS_ERR_INVALID;
}

static int
decode_record_ask (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  return dks_copy_text (msg->u.record_ask.key, sizeof (msg->u.record_ask.key),
                        wire->record_ask->key);
}

/* Codecs of all messages but the hello, indexed by dks_msg_type_t. */
static const struct
{
  Dks__PeerMessage__BodyCase body_case;
  dks_encode_func_t encode;
  dks_decode_func_t decode;
} codecs[DKS_MSG_TYPE_COUNT] = {
  [DKS_MSG_HEARTBEAT] = { DKS__PEER_MESSAGE__BODY_HEARTBEAT, encode_heartbeat, decode_heartbeat },
  [DKS_MSG_FORWARD] = { DKS__PEER_MESSAGE__BODY_FORWARD, encode_forward, decode_forward },
  [DKS_MSG_ASK] = { DKS__PEER_MESSAGE__BODY_ASK, encode_ask, decode_ask },
  [DKS_MSG_ANSWER] = { DKS__PEER_MESSAGE__BODY_ANSWER, encode_answer, decode_answer },
  [DKS_MSG_CLAIM] = { DKS__PEER_MESSAGE__BODY_CLAIM, encode_claim, decode_claim },
  [DKS_MSG_CONFIRM] = { DKS__PEER_MESSAGE__BODY_CONFIRM, encode_confirm, decode_confirm },
  [DKS_MSG_CLAIM_ACK] = { DKS__PEER_MESSAGE__BODY_CLAIM_ACK, encode_claim_ack, decode_claim_ack },
  [DKS_MSG_RESULT] = { DKS__PEER_MESSAGE__BODY_RESULT, encode_result, decode_result },
  [DKS_MSG_SNAPSHOT] = { DKS__PEER_MESSAGE__BODY_SNAPSHOT, encode_snapshot, decode_snapshot },
  [DKS_MSG_SNAPSHOT_ACK] = { DKS__PEER_MESSAGE__BODY_SNAPSHOT_ACK, encode_snapshot_ack,
                             decode_snapshot_ack },
  [DKS_MSG_DEMAND] = { DKS__PEER_MESSAGE__BODY_DEMAND, encode_demand, decode_demand },
  [DKS_MSG_GRANT] = { DKS__PEER_MESSAGE__BODY_GRANT, encode_grant, decode_grant },
  [DKS_MSG_GRANT_RETURN] = { DKS__PEER_MESSAGE__BODY_GRANT_RETURN, encode_grant, decode_grant },
  [DKS_MSG_RUN] = { DKS__PEER_MESSAGE__BODY_RUN, encode_run, decode_run },
  [DKS_MSG_RUN_DONE] = { DKS__PEER_MESSAGE__BODY_RUN_DONE, encode_run_done, decode_run_done },
  [DKS_MSG_RUN_ABORT] = { DKS__PEER_MESSAGE__BODY_RUN_ABORT, encode_run_done, decode_run_done },
  [DKS_MSG_RECORD] = { DKS__PEER_MESSAGE__BODY_RECORD, encode_record, decode_record },
  [DKS_MSG_RECORD_ASK] = { DKS__PEER_MESSAGE__BODY_RECORD_ASK, encode_record_ask,
                           decode_record_ask },
  [DKS_MSG_LEASED_STATUS] = { DKS__PEER_MESSAGE__BODY_LEASED_STATUS, dks_encode_leased_status,
                              dks_decode_leased_status },
  [DKS_MSG_ADDRESSES] = { DKS__PEER_MESSAGE__BODY_ADDRESSES, dks_encode_addresses,
                          dks_decode_addresses },
  [DKS_MSG_WORK] = { DKS__PEER_MESSAGE__BODY_WORK, dks_encode_work, dks_decode_work },
  [DKS_MSG_WORK_DONE] = { DKS__PEER_MESSAGE__BODY_WORK_DONE, dks_encode_work_done,
                          dks_decode_work_done },
  [DKS_MSG_WORK_CANCEL] = { DKS__PEER_MESSAGE__BODY_WORK_CANCEL, dks_encode_work_cancel,
                            dks_decode_work_cancel },
  [DKS_MSG_LENT_DONE] = { DKS__PEER_MESSAGE__BODY_LENT_DONE, dks_encode_lent_done,
                          dks_decode_lent_done },
  [DKS_MSG_TARGETS] = { DKS__PEER_MESSAGE__BODY_TARGETS, dks_encode_targets, dks_decode_targets },
  [DKS_MSG_SPEEDS] = { DKS__PEER_MESSAGE__BODY_SPEEDS, dks_encode_speeds, dks_decode_speeds },
};

void
dks_codec_encode (const dks_msg_t *msg, uint8_t **frame, size_t *len)
{
  Dks__PeerMessage wire = DKS__PEER_MESSAGE__INIT;

  DKS_INVARIANT ((unsigned)msg->type < DKS_MSG_TYPE_COUNT && codecs[msg->type].encode != NULL);
  wire.body_case = codecs[msg->type].body_case;
  codecs[msg->type].encode (msg, &wire, frame, len);
}

static void *
budget_alloc (void *context, size_t size)
{
  size_t *bytes_left = context;

  if (size > *bytes_left)
    return NULL;
  *bytes_left -= size;
  return malloc (size);
}

static void
budget_free (void *context, void *data)
{
  free (data);
}

static Dks__PeerMessage *
unpack_bounded (const uint8_t *data, size_t len)
{
  size_t bytes_left = DECODE_BASE_BYTES + DECODE_FACTOR * len;
  ProtobufCAllocator allocator = { budget_alloc, budget_free, &bytes_left };

  return dks__peer_message__unpack (&allocator, len, data);
}

static void
free_unpacked (Dks__PeerMessage *wire)
{
  ProtobufCAllocator allocator = { budget_alloc, budget_free, NULL };

  dks__peer_message__free_unpacked (wire, &allocator);
}

int
dks_codec_decode (const uint8_t *data, size_t len, dks_msg_t **msg)
{
  Dks__PeerMessage *wire = unpack_bounded (data, len);
  int error = DKS_ERR_INVALID;

  *msg = NULL;
  if (wire == NULL)
    return DKS_ERR_INVALID;
  for (int type = 1; type < DKS_MSG_TYPE_COUNT; type++)
    {
      if (codecs[type].body_case != wire->body_case)
        continue;
      *msg = dks_msg_create ((dks_msg_type_t)type);
      error = codecs[type].decode (wire, *msg);
      break;
    }
  free_unpacked (wire);
  if (error != DKS_OK)
    {
      dks_msg_unref (*msg);
      *msg = NULL;
    }
  return error;
}

void
dks_codec_encode_hello (const char *member, const char *data_centre, bool duplicate,
                        uint8_t **frame, size_t *len)
{
  Dks__PeerMessage wire = DKS__PEER_MESSAGE__INIT;
  Dks__Hello body = DKS__HELLO__INIT;

  body.member = (char *)member;
  body.data_centre = (char *)data_centre;
  body.protocol = PROTOCOL_VERSION;
  body.duplicate = duplicate;
  wire.body_case = DKS__PEER_MESSAGE__BODY_HELLO;
  wire.hello = &body;
  dks_codec_pack (&wire, frame, len);
}

int
dks_codec_decode_hello (const uint8_t *data, size_t len, char member[DKS_NAME_SIZE],
                        char data_centre[DKS_NAME_SIZE], bool *duplicate)
{
  Dks__PeerMessage *wire = unpack_bounded (data, len);
  int error = DKS_ERR_INVALID;

  if (wire == NULL)
    return DKS_ERR_INVALID;
  if (wire->body_case == DKS__PEER_MESSAGE__BODY_HELLO && wire->hello->protocol == PROTOCOL_VERSION
      && wire->hello->member[0] != '\0' && wire->hello->data_centre[0] != '\0'
      && dks_copy_text (member, DKS_NAME_SIZE, wire->hello->member) == DKS_OK
      && dks_copy_text (data_centre, DKS_NAME_SIZE, wire->hello->data_centre) == DKS_OK)
    error = DKS_OK;
  if (error == DKS_OK)
    *duplicate = wire->hello->duplicate;
  free_unpacked (wire);
  return error;
}
