#include "codec_leased.h"

#include "common/alloc.h"
#include "common/error.h"
#include "core/event.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MSG_ADDRESSES_MAX = 4096, /* addresses in one message */
  /* A longer interval would keep a lost instance from being noticed. */
  STATUS_INTERVAL_MAX_MS = 10000,
  HANDOVER_MAX_MS = 600000,
  MSG_TARGETS_MAX = 8192,    /* targets in one message; queues and tasks in one DKS_MSG_SPEEDS */
  MSG_PRIOR_JOBS_MAX = 65536 /* jobs in one status */
};

/* Latest monotonic time in a message that is accepted, in microseconds: a sum with a duration
 * cannot overflow an int64_t. */
#define MONOTONIC_MAX_US (INT64_MAX / 2)

/* Encoding */

void
dks_encode_leased_status (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame,
                          size_t *len)
{
  Dks__LeasedStatus body = DKS__LEASED_STATUS__INIT;
  char *evacuated[DKS_EVACUATIONS_MAX];

  body.term = msg->u.leased_status.term;
  body.started_ms = msg->u.leased_status.started_ms;
  body.catalog_version = msg->u.leased_status.catalog_version;
  body.free_tasks = msg->u.leased_status.free_tasks;
  body.free_fast_tasks = msg->u.leased_status.free_fast_tasks;
  body.fast_slowness_milli = msg->u.leased_status.fast_slowness_milli;
  body.waiting_tasks = msg->u.leased_status.waiting_tasks;
  body.processor_milli = msg->u.leased_status.processor_milli;
  body.draining = msg->u.leased_status.draining;
  body.knows_targets = msg->u.leased_status.knows_targets;
  body.yields = msg->u.leased_status.yields_leadership;
  body.sent_us = msg->u.leased_status.sent_us;
  body.interval_ms = msg->u.leased_status.interval_ms;
  body.address_digest = msg->u.leased_status.address_digest;
  body.states_prior_jobs = msg->u.leased_status.states_prior_jobs;
  body.prior_jobs_term = msg->u.leased_status.prior_jobs_term;
  body.n_prior_jobs = msg->u.leased_status.prior_job_count;
  body.prior_jobs = msg->u.leased_status.prior_jobs;
  body.heard_us = msg->u.leased_status.heard_us;
  body.leader_term = msg->u.leased_status.leader_term;
  body.targets_digest = msg->u.leased_status.targets_digest;
  body.evacuations_revision = msg->u.leased_status.evacuations_revision;
  for (uint32_t i = 0; i < msg->u.leased_status.evacuated_count; i++)
    evacuated[i] = msg->u.leased_status.evacuated[i];
  body.n_evacuated = msg->u.leased_status.evacuated_count;
  body.evacuated = evacuated;
  body.handover_ms = msg->u.leased_status.handover_ms;
  wire->leased_status = &body;
  dks_codec_pack (wire, frame, len);
}

void
dks_encode_addresses (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Addresses body = DKS__ADDRESSES__INIT;
  uint32_t count = msg->u.addresses.count;

  body.n_items = count;
  body.items = dks_alloc ((count + 1) * sizeof (body.items[0]));
  body.n_unseen_s = count;
  body.unseen_s = dks_alloc ((count + 1) * sizeof (body.unseen_s[0]));
  for (uint32_t i = 0; i < count; i++)
    {
      body.items[i] = msg->u.addresses.items[i].text;
      body.unseen_s[i] = msg->u.addresses.items[i].unseen_s;
    }
  wire->addresses = &body;
  dks_codec_pack (wire, frame, len);
  free (body.unseen_s);
  free (body.items);
}

static void
wire_target (Dks__TargetInfo *to, char **labels, const dks_target_info_t *from)
{
  dks__target_info__init (to);
  to->id = (char *)from->id;
  to->service = (char *)from->service;
  to->address = (char *)from->address;
  to->data_centre = (char *)from->data_centre;
  to->leaving = from->leaving;
  to->cpu_milli = from->cpu_milli;
  to->memory_mb = from->memory_mb;
  to->accelerators = from->accelerators;
  to->born_ms = from->incarnation_ms;
  for (uint32_t i = 0; i < from->label_count; i++)
    labels[i] = (char *)from->labels[i];
  to->n_labels = from->label_count;
  to->labels = labels;
}

void
dks_encode_targets (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Targets body = DKS__TARGETS__INIT;
  uint32_t count = msg->u.targets.count;
  Dks__TargetInfo *infos = dks_alloc ((count + 1) * sizeof (*infos));
  Dks__TargetInfo **list = dks_alloc ((count + 1) * sizeof (Dks__TargetInfo *));
  char **labels = dks_alloc (((size_t)count + 1) * DKS_LABELS_MAX * sizeof (char *));

  for (uint32_t i = 0; i < count; i++)
    {
      wire_target (&infos[i], labels + (size_t)i * DKS_LABELS_MAX, &msg->u.targets.items[i]);
      list[i] = &infos[i];
    }
  body.n_items = count;
  body.items = list;
  body.may_have_runs = msg->u.targets.may_have_runs;
  wire->targets = &body;
  dks_codec_pack (wire, frame, len);
  free (labels);
  free (list);
  free (infos);
}

void
dks_encode_speeds (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Speeds body = DKS__SPEEDS__INIT;
  uint32_t target_count = msg->u.speeds.target_count;
  uint32_t queue_count = msg->u.speeds.queue_count;
  Dks__TargetSpeed *targets = dks_alloc ((target_count + 1) * sizeof (*targets));
  Dks__TargetSpeed **target_list = dks_alloc ((target_count + 1) * sizeof (Dks__TargetSpeed *));
  Dks__QueueRunTime *queues = dks_alloc ((queue_count + 1) * sizeof (*queues));
  Dks__QueueRunTime **queue_list = dks_alloc ((queue_count + 1) * sizeof (Dks__QueueRunTime *));
  uint32_t task_count = msg->u.speeds.task_crashes_count;
  Dks__TaskCrashes *tasks = dks_alloc ((task_count + 1) * sizeof (*tasks));
  Dks__TaskCrashes **task_list = dks_alloc ((task_count + 1) * sizeof (Dks__TaskCrashes *));

  for (uint32_t i = 0; i < target_count; i++)
    {
      dks__target_speed__init (&targets[i]);
      targets[i].id = msg->u.speeds.targets[i].id;
      targets[i].born_ms = msg->u.speeds.targets[i].incarnation_ms;
      targets[i].slowness_milli = msg->u.speeds.targets[i].slowness_milli;
      targets[i].samples = msg->u.speeds.targets[i].samples;
      target_list[i] = &targets[i];
    }
  for (uint32_t i = 0; i < queue_count; i++)
    {
      dks__queue_run_time__init (&queues[i]);
      queues[i].name = msg->u.speeds.queues[i].name;
      queues[i].run_us = msg->u.speeds.queues[i].mean_run_us;
      queues[i].samples = msg->u.speeds.queues[i].samples;
      queue_list[i] = &queues[i];
    }
  for (uint32_t i = 0; i < task_count; i++)
    {
      dks__task_crashes__init (&tasks[i]);
      tasks[i].task = msg->u.speeds.task_crashes[i].task_name;
      tasks[i].weight = msg->u.speeds.task_crashes[i].weight;
      tasks[i].withdrawn = msg->u.speeds.task_crashes[i].withdrawn;
      task_list[i] = &tasks[i];
    }
  body.n_targets = target_count;
  body.targets = target_list;
  body.n_queues = queue_count;
  body.queues = queue_list;
  body.n_task_crashes = task_count;
  body.task_crashes = task_list;
  wire->speeds = &body;
  dks_codec_pack (wire, frame, len);
  free (task_list);
  free (tasks);
  free (queue_list);
  free (queues);
  free (target_list);
  free (targets);
}

static void
wire_step (Dks__BatchStep *to, const dks_batch_step_t *from)
{
  dks__batch_step__init (to);
  to->count = from->count;
  to->cpu_milli = from->cpu_milli;
  to->memory_mb = from->memory_mb;
  to->accelerators = from->accelerators;
  to->estimate_ms = from->estimate_ms;
  to->after = from->after_mask;
  to->max_per_target = from->max_per_target;
  to->required_label = (char *)from->required_label;
  to->near_label = (char *)from->preferred_label;
}

void
dks_encode_work (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__Work body = DKS__WORK__INIT;
  const dks_batch_t *batch = msg->u.work.batch;
  Dks__BatchStep steps[DKS_BATCH_STEPS_MAX];
  Dks__BatchStep *list[DKS_BATCH_STEPS_MAX];

  for (uint32_t i = 0; i < batch->step_count; i++)
    {
      wire_step (&steps[i], &batch->steps[i]);
      list[i] = &steps[i];
    }
  body.request = msg->u.work.request;
  body.id = (char *)batch->id;
  body.service = (char *)batch->service;
  body.queue = (char *)batch->queue;
  body.priority = batch->priority;
  body.max_attempts = batch->max_attempts;
  body.spec.len = batch->spec->len;
  body.spec.data = batch->spec->data;
  body.n_steps = batch->step_count;
  body.steps = list;
  body.age_us = msg->u.work.age_us;
  body.objective_us = msg->u.work.objective_us;
  body.sent_us = msg->u.work.sent_us;
  body.heard_us = msg->u.work.heard_us;
  body.budget_us = msg->u.work.budget_us;
  body.resent = msg->u.work.resent;
  body.step = msg->u.work.step;
  body.n_lent = msg->u.work.lent_count;
  body.lent = msg->u.work.lent_tasks;
  body.n_runs = msg->u.work.lent_count;
  body.runs = msg->u.work.lent_runs;
  body.home_term = msg->u.work.home_term;
  body.remote_term = msg->u.work.remote_term;
  body.sent_term = msg->u.work.sent_term;
  wire->work = &body;
  dks_codec_pack (wire, frame, len);
}

void
dks_encode_work_done (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__WorkDone body = DKS__WORK_DONE__INIT;

  body.request = msg->u.work_done.request;
  body.answer = msg->u.work_done.answer;
  body.retry_after_ms = msg->u.work_done.retry_after_ms;
  body.detail = (char *)msg->u.work_done.detail;
  wire->work_done = &body;
  dks_codec_pack (wire, frame, len);
}

void
dks_encode_work_cancel (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__WorkCancel body = DKS__WORK_CANCEL__INIT;

  body.request = msg->u.work_cancel.request;
  wire->work_cancel = &body;
  dks_codec_pack (wire, frame, len);
}

void
dks_encode_lent_done (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len)
{
  Dks__LentDone body = DKS__LENT_DONE__INIT;

  body.request = msg->u.lent_done.request;
  body.index = msg->u.lent_done.index;
  body.result = msg->u.lent_done.result;
  body.run = msg->u.lent_done.run;
  wire->lent_done = &body;
  dks_codec_pack (wire, frame, len);
}

/* Decoding */

static int
read_evacuated (const Dks__LeasedStatus *body, dks_msg_t *msg)
{
  size_t count = body->n_evacuated;

  msg->u.leased_status.evacuations_revision = body->evacuations_revision;
  if (count > DKS_EVACUATIONS_MAX)
    return DKS_ERR_TOO_LARGE;
  if (body->evacuations_revision < 0)
    return DKS_ERR_INVALID;
  if (count == 0)
    return DKS_OK;
  msg->u.leased_status.evacuated = dks_alloc (count * sizeof (msg->u.leased_status.evacuated[0]));
  msg->u.leased_status.evacuated_count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      if (dks_copy_text (msg->u.leased_status.evacuated[i], DKS_NAME_SIZE, body->evacuated[i])
          != DKS_OK)
        return DKS_ERR_INVALID;
    }
  return DKS_OK;
}

int
dks_decode_leased_status (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__LeasedStatus *body = wire->leased_status;
  int error;

  msg->u.leased_status.term = body->term;
  msg->u.leased_status.started_ms = body->started_ms;
  msg->u.leased_status.catalog_version = body->catalog_version;
  msg->u.leased_status.free_tasks = body->free_tasks;
  msg->u.leased_status.free_fast_tasks = body->free_fast_tasks;
  msg->u.leased_status.fast_slowness_milli = body->fast_slowness_milli;
  msg->u.leased_status.waiting_tasks = body->waiting_tasks;
  msg->u.leased_status.processor_milli = body->processor_milli;
  msg->u.leased_status.draining = body->draining;
  msg->u.leased_status.knows_targets = body->knows_targets;
  msg->u.leased_status.yields_leadership = body->yields;
  msg->u.leased_status.sent_us = body->sent_us;
  msg->u.leased_status.interval_ms = body->interval_ms;
  msg->u.leased_status.address_digest = body->address_digest;
  msg->u.leased_status.states_prior_jobs = body->states_prior_jobs;
  msg->u.leased_status.prior_jobs_term = body->prior_jobs_term;
  msg->u.leased_status.heard_us = body->heard_us;
  msg->u.leased_status.leader_term = body->leader_term;
  msg->u.leased_status.targets_digest = body->targets_digest;
  msg->u.leased_status.handover_ms = body->handover_ms;
  if (body->n_prior_jobs > MSG_PRIOR_JOBS_MAX)
    return DKS_ERR_TOO_LARGE;
  if (body->term > INT64_MAX || body->prior_jobs_term > INT64_MAX || body->leader_term > INT64_MAX
      || body->interval_ms > STATUS_INTERVAL_MAX_MS || body->handover_ms > HANDOVER_MAX_MS
      || body->heard_us < 0 || body->heard_us > MONOTONIC_MAX_US)
    return DKS_ERR_INVALID;
  if ((error = read_evacuated (body, msg)) != DKS_OK || body->n_prior_jobs == 0)
    return error;
  msg->u.leased_status.prior_job_count = (uint32_t)body->n_prior_jobs;
  msg->u.leased_status.prior_jobs =
      dks_alloc (body->n_prior_jobs * sizeof (msg->u.leased_status.prior_jobs[0]));
  memcpy (msg->u.leased_status.prior_jobs, body->prior_jobs,
          body->n_prior_jobs * sizeof (msg->u.leased_status.prior_jobs[0]));
  return DKS_OK;
}

int
dks_decode_addresses (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__Addresses *body = wire->addresses;
  int error = DKS_OK;

  if (body->n_items > MSG_ADDRESSES_MAX)
    return DKS_ERR_TOO_LARGE;
  if (body->n_unseen_s != 0 && body->n_unseen_s != body->n_items)
    return DKS_ERR_INVALID;
  msg->u.addresses.count = (uint32_t)body->n_items;
  msg->u.addresses.items = dks_alloc ((body->n_items + 1) * sizeof (msg->u.addresses.items[0]));
  for (size_t i = 0; i < body->n_items && error == DKS_OK; i++)
    {
      dks_member_address_t *to = &msg->u.addresses.items[i];

      to->unseen_s = i < body->n_unseen_s ? body->unseen_s[i] : 0;
      error = dks_copy_text (to->text, sizeof (to->text), body->items[i]);
    }
  return error;
}

static int
read_target (dks_target_info_t *to, const Dks__TargetInfo *from)
{
  int error;

  to->leaving = from->leaving;
  to->cpu_milli = from->cpu_milli;
  to->memory_mb = from->memory_mb;
  to->accelerators = from->accelerators;
  to->incarnation_ms = from->born_ms;
  if (from->n_labels > DKS_LABELS_MAX || from->id[0] == '\0')
    return DKS_ERR_INVALID;
  to->label_count = (uint32_t)from->n_labels;
  for (size_t i = 0; i < from->n_labels; i++)
    {
      error = dks_copy_text (to->labels[i], sizeof (to->labels[i]), from->labels[i]);
      if (error != DKS_OK)
        return error;
    }
  if ((error = dks_copy_text (to->id, sizeof (to->id), from->id)) != DKS_OK
      || (error = dks_copy_text (to->service, sizeof (to->service), from->service)) != DKS_OK
      || (error = dks_copy_text (to->address, sizeof (to->address), from->address)) != DKS_OK)
    return error;
  return dks_copy_text (to->data_centre, sizeof (to->data_centre), from->data_centre);
}

int
dks_decode_targets (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__Targets *body = wire->targets;
  int error = DKS_OK;

  if (body->n_items > MSG_TARGETS_MAX)
    return DKS_ERR_TOO_LARGE;
  msg->u.targets.may_have_runs = body->may_have_runs;
  msg->u.targets.count = (uint32_t)body->n_items;
  msg->u.targets.items = dks_alloc ((body->n_items + 1) * sizeof (msg->u.targets.items[0]));
  for (size_t i = 0; i < body->n_items && error == DKS_OK; i++)
    error = read_target (&msg->u.targets.items[i], body->items[i]);
  return error;
}

int
dks_decode_speeds (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__Speeds *body = wire->speeds;
  int error = DKS_OK;

  if (body->n_targets > MSG_TARGETS_MAX || body->n_queues > MSG_TARGETS_MAX
      || body->n_task_crashes > MSG_TARGETS_MAX)
    return DKS_ERR_TOO_LARGE;
  msg->u.speeds.target_count = (uint32_t)body->n_targets;
  msg->u.speeds.queue_count = (uint32_t)body->n_queues;
  msg->u.speeds.targets = dks_alloc ((body->n_targets + 1) * sizeof (msg->u.speeds.targets[0]));
  msg->u.speeds.queues = dks_alloc ((body->n_queues + 1) * sizeof (msg->u.speeds.queues[0]));
  for (size_t i = 0; i < body->n_targets && error == DKS_OK; i++)
    {
      dks_target_speed_t *to = &msg->u.speeds.targets[i];

      to->incarnation_ms = body->targets[i]->born_ms;
      to->slowness_milli = body->targets[i]->slowness_milli;
      to->samples = body->targets[i]->samples;
      error = dks_copy_text (to->id, sizeof (to->id), body->targets[i]->id);
    }
  for (size_t i = 0; i < body->n_queues && error == DKS_OK; i++)
    {
      dks_queue_run_time_t *to = &msg->u.speeds.queues[i];

      to->mean_run_us = body->queues[i]->run_us;
      to->samples = body->queues[i]->samples;
      error = to->mean_run_us > 0
                  ? dks_copy_text (to->name, sizeof (to->name), body->queues[i]->name)
                  : DKS_ERR_INVALID;
    }
  msg->u.speeds.task_crashes_count = (uint32_t)body->n_task_crashes;
  msg->u.speeds.task_crashes =
      dks_alloc ((body->n_task_crashes + 1) * sizeof (msg->u.speeds.task_crashes[0]));
  for (size_t i = 0; i < body->n_task_crashes && error == DKS_OK; i++)
    {
      dks_task_crashes_t *to = &msg->u.speeds.task_crashes[i];

      to->weight = body->task_crashes[i]->weight;
      to->withdrawn = body->task_crashes[i]->withdrawn;
      error = dks_copy_text (to->task_name, sizeof (to->task_name), body->task_crashes[i]->task);
    }
  return error;
}

static int
read_step (dks_batch_step_t *to, const Dks__BatchStep *from)
{
  to->count = from->count;
  to->cpu_milli = from->cpu_milli;
  to->memory_mb = from->memory_mb;
  to->accelerators = from->accelerators;
  to->estimate_ms = from->estimate_ms;
  to->after_mask = from->after;
  to->max_per_target = from->max_per_target;
  if (dks_copy_text (to->required_label, sizeof (to->required_label), from->required_label)
      != DKS_OK)
    return DKS_ERR_INVALID;
  return dks_copy_text (to->preferred_label, sizeof (to->preferred_label), from->near_label);
}

static int
read_batch (dks_batch_t **batch, const Dks__Work *body)
{
  dks_batch_t *created;
  int error;

  if (body->n_steps == 0 || body->n_steps > DKS_BATCH_STEPS_MAX
      || body->spec.len > DKS_BATCH_SPEC_MAX)
    return DKS_ERR_INVALID;
  created = dks_batch_create ((uint32_t)body->n_steps);
  *batch = created; /* owned by the message, which releases it also after an error */
  created->priority = body->priority;
  created->max_attempts = body->max_attempts;
  created->spec = dks_blob_create (body->spec.data, body->spec.len);
  for (size_t i = 0; i < body->n_steps; i++)
    {
      if ((error = read_step (&created->steps[i], body->steps[i])) != DKS_OK)
        return error;
    }
  if ((error = dks_copy_text (created->id, sizeof (created->id), body->id)) != DKS_OK
      || (error = dks_copy_text (created->service, sizeof (created->service), body->service))
             != DKS_OK
      || (error = dks_copy_text (created->queue, sizeof (created->queue), body->queue)) != DKS_OK)
    return error;
  return dks_batch_validate (created);
}

/* Sums of a few valid durations cannot overflow an int64_t. */
static bool
is_span_valid (int64_t us)
{
  return us == dks_batch_limit_span_us (us);
}

static uint32_t *
copy_u32_array (const uint32_t *from, size_t count)
{
  uint32_t *to = dks_alloc ((count + 1) * sizeof (*to));

  if (count > 0)
    memcpy (to, from, count * sizeof (*to));
  return to;
}

/* Whether the job and its times are within their bounds. */
static bool
is_work_valid (const Dks__Work *body, const dks_batch_t *batch)
{
  return dks_batch_id_is_valid (batch->id) && is_span_valid (body->age_us)
         && is_span_valid (body->objective_us) && is_span_valid (body->budget_us)
         && body->sent_us >= 0 && body->sent_us <= MONOTONIC_MAX_US && body->heard_us >= 0
         && body->heard_us <= MONOTONIC_MAX_US && (body->n_lent == 0 || body->n_steps == 1);
}

int
dks_decode_work (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__Work *body = wire->work;

  if (body->n_lent != body->n_runs || body->n_lent > DKS_TASKS_MAX || body->home_term > INT64_MAX
      || body->remote_term > INT64_MAX || body->sent_term > INT64_MAX)
    return DKS_ERR_INVALID;
  /* A job that breaks a bound is refused for itself: the connection carries other jobs. */
  if (read_batch (&msg->u.work.batch, body) != DKS_OK || !is_work_valid (body, msg->u.work.batch))
    {
      dks_batch_unref (msg->u.work.batch);
      msg->u.work.batch = dks_batch_create (0);
      msg->u.work.batch->spec = dks_blob_create ("", 0);
      msg->u.work.malformed = true;
    }
  msg->u.work.request = body->request;
  msg->u.work.age_us = body->age_us;
  msg->u.work.objective_us = body->objective_us;
  msg->u.work.sent_us = body->sent_us;
  msg->u.work.heard_us = body->heard_us;
  msg->u.work.budget_us = body->budget_us;
  msg->u.work.resent = body->resent;
  msg->u.work.step = body->step;
  msg->u.work.home_term = body->home_term;
  msg->u.work.remote_term = body->remote_term;
  msg->u.work.sent_term = body->sent_term;
  msg->u.work.lent_count = (uint32_t)body->n_lent;
  msg->u.work.lent_tasks = copy_u32_array (body->lent, body->n_lent);
  msg->u.work.lent_runs = copy_u32_array (body->runs, body->n_runs);
  return DKS_OK;
}

int
dks_decode_work_done (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__WorkDone *body = wire->work_done;

  if (body->answer < DKS_BATCH_COMPLETED || body->answer > DKS_BATCH_LOST)
    return DKS_ERR_INVALID;
  msg->u.work_done.request = body->request;
  msg->u.work_done.answer = body->answer;
  msg->u.work_done.retry_after_ms = body->retry_after_ms;
  return dks_copy_text (msg->u.work_done.detail, sizeof (msg->u.work_done.detail), body->detail);
}

int
dks_decode_work_cancel (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  msg->u.work_cancel.request = wire->work_cancel->request;
  return DKS_OK;
}

int
dks_decode_lent_done (const Dks__PeerMessage *wire, dks_msg_t *msg)
{
  const Dks__LentDone *body = wire->lent_done;

  msg->u.lent_done.request = body->request;
  msg->u.lent_done.index = body->index;
  msg->u.lent_done.result = body->result;
  msg->u.lent_done.run = body->run;
  return body->result >= DKS_LENT_OK && body->result <= DKS_LENT_LATE ? DKS_OK : DKS_ERR_INVALID;
}
