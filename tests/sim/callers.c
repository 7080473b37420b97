#include "sim.h"

#include "common/alloc.h"
#include "core/key.h"

#include <inttypes.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

enum
{
  KEY_INDEX_DIGITS =
      12 /* hexadecimal digits at the end of a key that are its index in sim_t.keys */
};

dks_blob_t *
sim_payload (uint32_t key, uint32_t index, bool other)
{
  char text[64];

  snprintf (text, sizeof (text), "%x/%u%s", key, index, other ? "/other" : "");
  return dks_blob_create_text (text);
}

dks_blob_t *
sim_result (const dks_blob_t *payload)
{
  char text[80];

  snprintf (text, sizeof (text), "result of %s", (const char *)payload->data);
  return dks_blob_create_text (text);
}

uint32_t
sim_key_find (const sim_t *sim, const char *text)
{
  size_t len = strlen (text);
  unsigned long index =
      len > KEY_INDEX_DIGITS ? strtoul (text + len - KEY_INDEX_DIGITS, NULL, 16) : ULONG_MAX;

  DKS_INVARIANT (index < sim->key_count && strcmp (sim->keys[index].text, text) == 0);
  return (uint32_t)index;
}

uint32_t
sim_key_add (sim_t *sim, uint32_t task_count, bool single, const char *data_centre)
{
  uint32_t index = sim->key_count;
  int64_t wall_ms = sim->wall_base_ms + sim->now_us / SIM_MS
                    + sim_range (sim, -sim->skew_max_ms / 2, sim->skew_max_ms / 2);
  sim_key_t *key;

  if (sim->key_count == sim->key_capacity)
    {
      sim->key_capacity = sim->key_capacity > 0 ? 2 * sim->key_capacity : 128;
      sim->keys = dks_realloc (sim->keys, sim->key_capacity * sizeof (sim->keys[0]));
    }
  key = &sim->keys[sim->key_count++];
  *key = (sim_key_t){ .task_count = task_count, .single = single, .deadline_ms = 20000 };
  key->service_us = dks_alloc (task_count * sizeof (key->service_us[0]));
  key->starts = dks_alloc (task_count);
  if (sim_chance (sim, 50))
    {
      uint64_t bits[2] = { sim_random (sim), index };
      dks_key_generate (data_centre, wall_ms, bits, key->text);
    }
  else
    snprintf (key->text, sizeof (key->text), "%s%s%013" PRId64 "-%0*x",
              data_centre != NULL ? data_centre : "", data_centre != NULL ? "~" : "", wall_ms,
              KEY_INDEX_DIGITS, index);
  return index;
}

static dks_submission_t *
submission_create (sim_t *sim, const sim_chain_t *chain)
{
  const sim_key_t *key = &sim->keys[chain->key];
  dks_submission_t *submission = dks_submission_create (key->task_count);
  dks_key_t parsed;

  DKS_INVARIANT (dks_key_parse (key->text, &parsed) == 0);
  dks_strcpy (submission->key, sizeof (submission->key), key->text);
  dks_strcpy (submission->service, sizeof (submission->service), "words");
  snprintf (submission->team, sizeof (submission->team), "team%u", key->team);
  submission->issued_ms = parsed.issued_ms;
  submission->deadline_ms = sim->wall_base_ms + sim->now_us / SIM_MS + key->deadline_ms;
  submission->single = key->single;
  submission->repeatable = key->repeatable;
  submission->respond_async = key->async;
  for (uint32_t i = 0; i < key->task_count; i++)
    {
      submission->tasks[i].payload = sim_payload (chain->key, i, chain->other_content);
      submission->tasks[i].run_ms = key->service_us[i] / SIM_MS;
      submission->tasks[i].cpus = key->cpus;
    }
  dks_submission_set_digest (submission);
  return submission;
}

sim_chain_t *
sim_chain_add (sim_t *sim, sim_request_kind_t kind, uint32_t key, int64_t at_us)
{
  sim_chain_t *chain;

  if (sim->chain_count == sim->chain_capacity)
    {
      sim->chain_capacity = sim->chain_capacity > 0 ? 2 * sim->chain_capacity : 128;
      sim->chains = dks_realloc (sim->chains, sim->chain_capacity * sizeof (sim->chains[0]));
    }
  sim_push (sim, at_us, SIM_CALLER_SEND, sim->chain_count, 0, 0, NULL);
  chain = &sim->chains[sim->chain_count++];
  *chain = (sim_chain_t){ .kind = kind, .key = key, .tries_max = 3, .first_arrival_us = -1 };
  sim->chains_open++;
  return chain;
}

void
sim_edit_add (sim_t *sim, const dks_settings_edit_t *edit, int64_t at_us)
{
  if (sim->edit_count == sim->edit_capacity)
    {
      sim->edit_capacity = sim->edit_capacity > 0 ? 2 * sim->edit_capacity : 16;
      sim->edits = dks_realloc (sim->edits, sim->edit_capacity * sizeof (sim->edits[0]));
    }
  sim_chain_add (sim, SIM_REQUEST_EDIT, 0, at_us)->edit = sim->edit_count;
  sim->edits[sim->edit_count++] = (sim_edit_t){ .edit = *edit, .accepted_us = -1 };
}

static void
chain_end (sim_t *sim, sim_chain_t *chain, dks_outcome_t outcome, dks_problem_t problem)
{
  chain->done = true;
  chain->outcome = outcome;
  chain->problem = problem;
  if (chain->kind == SIM_REQUEST_SUBMIT && outcome <= DKS_OUTCOME_ACCEPTED)
    sim->outcomes[outcome]++;
  sim->chains_open--;
}

/* Picks as a load balancer does: it avoids instances that are down or draining, but not always. */
static uint32_t
pick_instance (sim_t *sim)
{
  uint32_t index = 0;

  for (int i = 0; i < 16; i++)
    {
      index = (uint32_t)(sim_random (sim) % sim->instance_count);
      if ((sim->instances[index].alive && !sim->instances[index].draining) || sim_chance (sim, 5))
        break;
    }
  return index;
}

void
sim_requests_reserve (sim_t *sim, uint32_t count)
{
  sim->request_capacity = count;
  sim->requests = dks_realloc (sim->requests, count * sizeof (sim->requests[0]));
}

static void
handle_send (sim_t *sim, uint32_t index)
{
  sim_chain_t *chain = &sim->chains[index];
  sim_request_t *request;
  uint32_t instance = pick_instance (sim);

  if (chain->entry_plus_one > 0 && sim->instances[chain->entry_plus_one - 1].alive
      && !sim->instances[chain->entry_plus_one - 1].draining)
    instance = chain->entry_plus_one - 1;
  if (sim->request_count == sim->request_capacity)
    sim_requests_reserve (sim, sim->request_capacity > 0 ? 2 * sim->request_capacity : 128);
  sim_push (sim,
            sim->now_us + sim->config.client_latency_us
                + sim_range (sim, 0, sim->config.jitter_max_us),
            SIM_CALLER_ARRIVE, instance, 0, sim->request_count, NULL);
  if (chain->caller_timeout_us > 0)
    sim_push (sim, sim->now_us + chain->caller_timeout_us, SIM_CALLER_GONE, index, 0,
              sim->request_count, NULL);
  request = &sim->requests[sim->request_count++];
  *request = (sim_request_t){ .chain = index,
                              .instance = instance,
                              .kind = chain->querying ? SIM_REQUEST_QUERY : chain->kind,
                              .state = SIM_REQUEST_WAITING };
}

static void
send_after (sim_t *sim, uint32_t chain, int64_t delay_us)
{
  sim_push (sim, sim->now_us + delay_us, SIM_CALLER_SEND, chain, 0, 0, NULL);
}

static void
request_broken (sim_t *sim, uint32_t index)
{
  sim->requests[index].state = SIM_REQUEST_BROKEN;
  sim_push (sim, sim->now_us + sim->config.client_latency_us, SIM_CALLER_BROKEN,
            sim->requests[index].chain, 0, index, NULL);
}

static void
handle_arrive (sim_t *sim, const sim_item_t *item)
{
  uint32_t index = (uint32_t)item->c;
  sim_request_t *request = &sim->requests[index];
  sim_chain_t *chain = &sim->chains[request->chain];
  dks_event_t event = { 0 };

  if (request->state != SIM_REQUEST_WAITING)
    return;
  if (!sim->instances[item->a].alive)
    {
      request_broken (sim, index);
      return;
    }
  request->arrived = true;
  request->arrived_us = sim->now_us;
  request->arrived_position = ++sim->position;
  if (chain->first_arrival_us < 0)
    chain->first_arrival_us = sim->now_us;
  switch (request->kind)
    {
    case SIM_REQUEST_SUBMIT:
      sim_trace (sim, "%s submit %s caller %u%s", sim->instances[item->a].id,
                 sim->keys[chain->key].text, index + 1,
                 chain->other_content ? " with other content" : "");
      sim->keys[chain->key].submit_count++;
      event.type = DKS_EVENT_SUBMIT;
      event.u.submit.caller = index + 1;
      event.u.submit.submission = submission_create (sim, chain);
      sim_apply (sim, item->a, &event);
      dks_submission_unref (event.u.submit.submission);
      return;
    case SIM_REQUEST_EDIT:
      sim_trace (sim, "%s edit %s caller %u", sim->instances[item->a].id,
                 sim->edits[chain->edit].edit.id, index + 1);
      event.type = DKS_EVENT_SETTINGS_EDIT;
      event.u.settings_edit.caller = index + 1;
      event.u.settings_edit.edit = sim->edits[chain->edit].edit;
      break;
    default:
      sim_trace (sim, "%s %s %s caller %u", sim->instances[item->a].id,
                 request->kind == SIM_REQUEST_CANCEL ? "cancel" : "query",
                 sim->keys[chain->key].text, index + 1);
      event.type = request->kind == SIM_REQUEST_CANCEL ? DKS_EVENT_CANCEL : DKS_EVENT_QUERY;
      event.u.key.caller = index + 1;
      event.u.key.key = sim->keys[chain->key].text;
      break;
    }
  sim_apply (sim, item->a, &event);
}

/* Marks the request of the caller as answered and returns it, if this instance may answer it now.
 * Returns NULL if the caller has gone or if the answer is a violation, which is reported. */
static sim_request_t *
accept_answer (sim_t *sim, uint32_t instance, uint64_t caller, bool edit)
{
  sim_request_t *request;

  if (caller == 0 || caller > sim->request_count)
    {
      sim_violation (sim, SIM_CHECK_WRONG_ANSWER, "%s answers unknown caller %" PRIu64,
                     sim->instances[instance].id, caller);
      return NULL;
    }
  request = &sim->requests[caller - 1];
  if (request->state == SIM_REQUEST_GONE && request->instance == instance)
    return NULL;
  if (request->state == SIM_REQUEST_ANSWERED)
    {
      sim_violation (sim, SIM_CHECK_TWO_ANSWERS, "%s answers caller %" PRIu64 " twice",
                     sim->instances[instance].id, caller);
      return NULL;
    }
  if (request->instance != instance || !request->arrived || request->state != SIM_REQUEST_WAITING
      || (request->kind == SIM_REQUEST_EDIT) != edit)
    {
      sim_violation (sim, SIM_CHECK_WRONG_ANSWER,
                     "%s answers caller %" PRIu64 " of another request",
                     sim->instances[instance].id, caller);
      return NULL;
    }
  request->state = SIM_REQUEST_ANSWERED;
  sim->chains[request->chain].answered_us = sim->now_us;
  return request;
}

void
sim_callers_reply (sim_t *sim, uint32_t instance, const dks_effect_t *effect)
{
  dks_answer_t *answer = effect->u.reply.answer;
  sim_request_t *request = accept_answer (sim, instance, effect->u.reply.caller, false);

  sim_trace (sim, "%s answers caller %" PRIu64 " %s %s %s", sim->instances[instance].id,
             effect->u.reply.caller, answer->key, dks_outcome_name (answer->outcome),
             dks_problem_name (answer->problem));
  if (request == NULL)
    return;
  sim_check_answer (sim, request, answer);
  sim_push (sim, sim->now_us + sim->config.client_latency_us, SIM_CALLER_REPLY, request->chain, 0,
            effect->u.reply.caller - 1, dks_answer_ref (answer));
}

void
sim_callers_edit_reply (sim_t *sim, uint32_t instance, const dks_effect_t *effect)
{
  sim_request_t *request = accept_answer (sim, instance, effect->u.edit_reply.caller, true);
  sim_edit_t *edit;

  sim_trace (sim, "%s answers edit of caller %" PRIu64 " error %d version %" PRId64,
             sim->instances[instance].id, effect->u.edit_reply.caller, effect->u.edit_reply.error,
             effect->u.edit_reply.version);
  if (request == NULL)
    return;
  edit = &sim->edits[sim->chains[request->chain].edit];
  edit->answered = true;
  edit->error = effect->u.edit_reply.error;
  edit->version = effect->u.edit_reply.version;
  if (edit->error == 0)
    {
      edit->accepted_us = sim->now_us;
      sim_call_at (sim, sim->now_us + 9 * SIM_SECOND, sim_check_edit,
                   sim->chains[request->chain].edit, 0);
    }
  chain_end (sim, &sim->chains[request->chain], 0, 0);
}

static void
retry_probe (sim_t *sim, uint32_t index, const dks_answer_t *answer)
{
  sim_chain_t *chain = &sim->chains[index];
  uint32_t key;

  chain->querying = false;
  if (++chain->tries >= chain->tries_max)
    {
      sim_violation (sim, SIM_CHECK_NO_RECOVERY, "new work gets %s %s after all faults healed",
                     dks_outcome_name (answer->outcome), dks_problem_name (answer->problem));
      chain_end (sim, chain, answer->outcome, answer->problem);
      return;
    }
  key = sim_key_add (sim, 1, true, NULL);
  sim->keys[key].service_us[0] = 50 * SIM_MS;
  chain->key = key;
  send_after (sim, index, 500 * SIM_MS);
}

static void
handle_reply (sim_t *sim, uint32_t index, const dks_answer_t *answer)
{
  sim_chain_t *chain = &sim->chains[index];
  bool may_retry = sim->config.retry && chain->tries + 1 < chain->tries_max;
  int64_t retry_delay_us = 50 * SIM_MS + (int64_t)answer->retry_after_ms * SIM_MS;

  if (retry_delay_us > 2 * SIM_SECOND)
    retry_delay_us = 2 * SIM_SECOND;
  if (chain->kind == SIM_REQUEST_SUBMIT && answer->outcome == DKS_OUTCOME_ACCEPTED)
    {
      chain->querying = true;
      send_after (sim, index, sim_range (sim, 300 * SIM_MS, 800 * SIM_MS));
    }
  else if (chain->probe && answer->outcome != DKS_OUTCOME_COMPLETE)
    retry_probe (sim, index, answer);
  else if (may_retry
           && (answer->outcome == DKS_OUTCOME_REFUSED || answer->outcome == DKS_OUTCOME_UNKNOWN))
    {
      chain->tries++;
      chain->querying = false;
      send_after (sim, index, retry_delay_us);
    }
  else
    chain_end (sim, chain, answer->outcome, answer->problem);
}

static void
handle_broken (sim_t *sim, uint32_t index)
{
  sim_chain_t *chain = &sim->chains[index];

  /* If the connection breaks, it is unknown whether the edit took effect: the operator reads the
   * audit trail instead of a retry. */
  if (chain->kind == SIM_REQUEST_EDIT)
    chain_end (sim, chain, 0, 0);
  else
    send_after (sim, index, sim_range (sim, 20 * SIM_MS, 300 * SIM_MS));
}

static void
handle_gone (sim_t *sim, const sim_item_t *item)
{
  sim_request_t *request = &sim->requests[item->c];

  if (request->state != SIM_REQUEST_WAITING)
    return;
  request->state = SIM_REQUEST_GONE;
  if (request->arrived)
    sim_push (sim, sim->now_us + sim->config.client_latency_us, SIM_CALLER_CLOSED,
              request->instance, sim->instances[request->instance].incarnation, item->c, NULL);
  send_after (sim, item->a, sim_range (sim, SIM_MS, 100 * SIM_MS));
}

static void
handle_closed (sim_t *sim, const sim_item_t *item)
{
  dks_event_t event = { .type = DKS_EVENT_CALLER_GONE };

  sim_trace (sim, "%s caller %" PRIu64 " gone", sim->instances[item->a].id, item->c + 1);
  event.u.caller_gone.caller = item->c + 1;
  sim_apply (sim, item->a, &event);
}

void
sim_callers_process_end (sim_t *sim, uint32_t instance)
{
  for (uint32_t i = 0; i < sim->request_count; i++)
    {
      if (sim->requests[i].instance == instance && sim->requests[i].state == SIM_REQUEST_WAITING)
        request_broken (sim, i);
    }
}

void
sim_callers_handle (sim_t *sim, sim_item_t *item)
{
  switch (item->type)
    {
    case SIM_CALLER_SEND:
      handle_send (sim, item->a);
      break;
    case SIM_CALLER_ARRIVE:
      handle_arrive (sim, item);
      break;
    case SIM_CALLER_REPLY:
      handle_reply (sim, item->a, item->u.ptr);
      dks_answer_unref (item->u.ptr);
      break;
    case SIM_CALLER_BROKEN:
      handle_broken (sim, item->a);
      break;
    case SIM_CALLER_GONE:
      handle_gone (sim, item);
      break;
    default:
      handle_closed (sim, item);
      break;
    }
}
