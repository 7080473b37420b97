#include "core/leased.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* For callers that do not say how long they wait, at queues without a time-out. */
  DEFAULT_BUDGET_MS = 30000,
  MAX_BUDGET_MS = 600000,
  NO_LEADER_RETRY_AFTER_MS = 1000, /* a leader election takes less */
  NO_CATALOG_RETRY_AFTER_MS = 1000,
  /* Wait beyond a request's budget, in which its leader ends the request by itself. */
  LEADER_ANSWER_MARGIN_US = 50000,
  /* Age of a check of the callers above which it is made again: the process may have stood still
   * since. Less than the time after which a caller that left submits its job again. */
  CALLERS_CHECK_AGE_MAX_US = 500000,
  /* Times after the start of the drain. The instance serves until DRAIN_MIN_US at least: the load
     balancer needs two failed checks to send callers elsewhere. */
  DRAIN_MIN_US = 2500000,
  DRAIN_ACCEPT_MAX_US = 3800000, /* requests that arrive later are refused */
  /* A leader hands over by then: its successor needs some 0.3 s at an eighth of a core until it can
     answer what the callers here wait for. */
  DRAIN_HANDOVER_US = 4800000,
  DRAIN_ANSWER_MAX_US = 5300000, /* open requests are answered by then, which takes some ms */
  DRAIN_MAX_US = 5500000         /* the platform's grace period is 6 s */
};

static const char shutdown_reason[] = "the instance shuts down";
static const char malformed_reason[] = "the job is malformed";

static void
reply (dks_leased_t *leased, uint64_t caller, dks_batch_answer_t answer, uint32_t retry_after_ms,
       const char *detail)
{
  dks_effect_t *effect = dks_effects_add (leased->r->effects, DKS_EFFECT_BATCH_REPLY);

  effect->u.batch_reply.caller = caller;
  effect->u.batch_reply.answer = answer;
  effect->u.batch_reply.retry_after_ms = retry_after_ms;
  dks_strcpy (effect->u.batch_reply.detail, sizeof (effect->u.batch_reply.detail), detail);
}

/* Requests */

static void
caller_free (dks_leased_caller_t *caller)
{
  dks_leased_t *leased = caller->request->leased;

  apr_hash_set (leased->callers_by_id, &caller->id, sizeof (caller->id), NULL);
  APR_RING_REMOVE (caller, link);
  free (caller);
}

static void
request_free (dks_leased_request_t *request)
{
  dks_leased_t *leased = request->leased;

  while (!APR_RING_EMPTY (&request->callers, dks_leased_caller_t, link))
    caller_free (APR_RING_FIRST (&request->callers));
  dks_timer_cancel (leased->r->timers, &request->timer);
  APR_RING_REMOVE (request, link);
  leased->request_count--;
  dks_batch_unref (request->batch);
  free (request);
}

static void
count_answer (dks_leased_t *leased, const char *queue, dks_batch_answer_t answer,
              const char *detail)
{
  static const dks_counter_t counters[] = {
    [DKS_BATCH_COMPLETED] = DKS_COUNTER_ANSWERS_COMPLETE,
    [DKS_BATCH_FAILED] = DKS_COUNTER_ANSWERS_FAILED,
    [DKS_BATCH_CANCELLED] = DKS_COUNTER_ANSWERS_CANCELLED,
    [DKS_BATCH_REFUSED] = DKS_COUNTER_ANSWERS_REFUSED,
    [DKS_BATCH_LOST] = DKS_COUNTER_ANSWERS_UNKNOWN,
  };

  dks_metrics_increment (leased->metrics, DKS_LABELLED_JOBS, queue, dks_batch_answer_name (answer));
  if (answer == DKS_BATCH_REFUSED)
    dks_metrics_increment (leased->metrics, DKS_LABELLED_REFUSALS, detail, "");
  if ((size_t)answer < sizeof (counters) / sizeof (counters[0]))
    dks_counter_increment (&leased->r->counters, counters[answer]);
}

static void
request_answer (dks_leased_request_t *request, dks_batch_answer_t answer, uint32_t retry_after_ms,
                const char *detail)
{
  dks_leased_t *leased = request->leased;
  dks_leased_caller_t *caller;

  count_answer (leased, request->batch->queue, answer, detail);
  dks_metrics_observe (leased->metrics, DKS_HISTOGRAM_ANSWER, request->batch->queue,
                       dks_leased_now_us (leased) - request->arrival_us);
  if (answer != DKS_BATCH_COMPLETED)
    dks_emit_log (leased->r, DKS_LOG_INFO,
                  "event=answer job=%s answer=%s age_ms=%" PRId64 " caller_ms=%" PRId64
                  " queue_ms=%u leader=%s catalog=%" PRId64 " reason=\"%s\"",
                  request->batch->id, dks_batch_answer_name (answer),
                  (dks_leased_now_us (leased) - request->arrival_us) / 1000,
                  request->caller_timeout_ms, request->queue_timeout_ms, request->leader,
                  leased->catalog != NULL ? leased->catalog->version : 0, detail);
  APR_RING_FOREACH (caller, &request->callers, dks_leased_caller_t, link)
    reply (leased, caller->id, answer, retry_after_ms, detail);
  request_free (request);
}

static void
request_cancel (dks_leased_request_t *request)
{
  dks_leased_t *leased = request->leased;
  dks_msg_t *msg;

  if (strcmp (request->leader, leased->r->self) == 0)
    dks_leased_jobs_handle_cancel (leased, leased->r->self, request->id);
  else if (request->leader[0] != '\0')
    {
      msg = dks_msg_create (DKS_MSG_WORK_CANCEL);
      msg->u.work_cancel.request = request->id;
      dks_emit_peer (leased->r, request->leader, msg);
    }
}

/* Time by which all open requests are answered, since this instance shuts down; INT64_MAX while it
 * does not shut down. */
static int64_t
answer_deadline_us (const dks_leased_t *leased)
{
  return leased->drain_start_us > 0 ? leased->drain_start_us + DRAIN_ANSWER_MAX_US : INT64_MAX;
}

static void
request_schedule_timer (dks_leased_request_t *request)
{
  dks_leased_t *leased = request->leased;
  int64_t at_us = request->arrival_us
                  + (request->send_count > 0 ? request->budget_us + LEADER_ANSWER_MARGIN_US
                                             : request->leader_wait_us);

  dks_timer_set (leased->r->timers, &request->timer,
                 at_us < answer_deadline_us (leased) ? at_us : answer_deadline_us (leased));
}

static void
request_send (dks_leased_request_t *request, const char *leader)
{
  dks_leased_t *leased = request->leased;
  const dks_leased_peer_t *peer = dks_leased_peer_find (leased, leader);
  dks_msg_t *msg = dks_msg_create (DKS_MSG_WORK);

  msg->u.work.request = request->id;
  msg->u.work.batch = dks_batch_ref (request->batch);
  msg->u.work.sent_us = dks_leased_now_us (leased);
  msg->u.work.heard_us = peer != NULL ? peer->last_sent_us : 0;
  msg->u.work.age_us = dks_leased_now_us (leased) - request->arrival_us;
  msg->u.work.objective_us = request->objective_us;
  msg->u.work.budget_us = request->budget_us;
  msg->u.work.resent = request->send_count > 0;
  msg->u.work.remote_term = dks_leased_leader_term (leased);
  msg->u.work.sent_term = request->highest_term;
  dks_strcpy (request->leader, sizeof (request->leader), leader);
  request->leader_term = dks_leased_leader_term (leased);
  if (request->leader_term > request->highest_term)
    request->highest_term = request->leader_term;
  request->send_count++;
  request_schedule_timer (request);
  dks_counter_increment (&leased->r->counters, DKS_COUNTER_FORWARDS);
  if (strcmp (leader, leased->r->self) != 0)
    {
      dks_emit_peer (leased->r, leader, msg);
      return;
    }
  /* This may answer at once, and thereby free the request. */
  dks_leased_jobs_handle_work (leased, leader, msg);
  dks_msg_unref (msg);
}

static void
handle_request_timer (void *context, int64_t time_us)
{
  dks_leased_request_t *request = context;

  if (request->send_count == 0)
    {
      request_answer (request, DKS_BATCH_REFUSED, NO_LEADER_RETRY_AFTER_MS,
                      "no leader of the data centre is known");
      return;
    }
  request_cancel (request);
  request_answer (request, DKS_BATCH_LOST, 0,
                  time_us >= answer_deadline_us (request->leased) ? shutdown_reason
                                                                  : "no answer in time");
}

/* Whether the request has not been sent to the present leader in its present term. */
static bool
request_is_unsent (const dks_leased_request_t *request)
{
  const char *leader = dks_leased_leader_id (request->leased);

  return leader != NULL
         && (strcmp (request->leader, leader) != 0
             || request->leader_term != dks_leased_leader_term (request->leased));
}

/* A request that has waited is sent only once it is known that its caller still does: one that left
 * may have submitted the job elsewhere, and its departure may be among the events that wait. */
static void
check_callers (dks_leased_t *leased)
{
  if (leased->callers_check_pending)
    return;
  leased->callers_check_pending = true;
  dks_effects_add (leased->r->effects, DKS_EFFECT_CALLERS_CHECK);
}

void
dks_leased_entry_handle_pause (dks_leased_t *leased)
{
  /* A check that is under way may have looked before the pause. */
  leased->callers_check_pending = false;
  check_callers (leased);
}

void
dks_leased_entry_resubmit (dks_leased_t *leased)
{
  dks_leased_request_t *request;

  APR_RING_FOREACH (request, &leased->requests, dks_leased_request_t, link)
    {
      if (request_is_unsent (request))
        {
          check_callers (leased);
          return;
        }
    }
}

void
dks_leased_entry_handle_callers_checked (dks_leased_t *leased, int64_t checked_us)
{
  const char *leader = dks_leased_leader_id (leased);
  uint64_t term = dks_leased_leader_term (leased);
  dks_leased_request_t *request;
  dks_leased_request_t *next;

  leased->callers_check_pending = false;
  if (dks_leased_now_us (leased) - checked_us > CALLERS_CHECK_AGE_MAX_US)
    {
      check_callers (leased);
      return;
    }
  APR_RING_FOREACH_SAFE (request, next, &leased->requests, dks_leased_request_t, link)
    {
      if (!request_is_unsent (request))
        continue;
      if (request->send_count > 0)
        dks_emit_log (leased->r, DKS_LOG_INFO,
                      "event=request-moved job=%s from=%s to=%s term=%" PRIu64, request->batch->id,
                      request->leader, leader, term);
      request_send (request, leader);
    }
}

static dks_leased_request_t *
request_find (const dks_leased_t *leased, const char *id)
{
  dks_leased_request_t *request;

  APR_RING_FOREACH (request, &leased->requests, dks_leased_request_t, link)
    {
      if (strcmp (request->batch->id, id) == 0)
        return request;
    }
  return NULL;
}

static void
request_add_caller (dks_leased_request_t *request, uint64_t id)
{
  dks_leased_caller_t *caller = dks_alloc (sizeof (*caller));

  caller->id = id;
  caller->request = request;
  APR_RING_INSERT_TAIL (&request->callers, caller, dks_leased_caller_t, link);
  apr_hash_set (request->leased->callers_by_id, &caller->id, sizeof (caller->id), caller);
}

/* Whether this instance is expected to shut down before it could answer a job that arrives now. */
static bool
ends_after_drain (const dks_leased_t *leased, const dks_batch_t *batch)
{
  double expected_us =
      DKS_LEASED_RUN_TIME_MARGIN * dks_leased_estimate_critical_path_us (leased, batch);

  if (leased->drain_start_us == 0)
    return false;
  return leased->r->exit_sent
         || dks_leased_now_us (leased) - leased->drain_start_us > DRAIN_ACCEPT_MAX_US
         || dks_leased_now_us (leased) + (int64_t)expected_us > answer_deadline_us (leased);
}

/* How long the caller waits for the answer: as the request says, else the time-out of the queue,
 * else DEFAULT_BUDGET_MS. */
static int64_t
compute_budget_us (const dks_queue_entry_t *queue, int64_t caller_ms)
{
  int64_t budget_ms = caller_ms;

  if (budget_ms <= 0)
    budget_ms = queue->timeout_ms > 0 ? queue->timeout_ms : DEFAULT_BUDGET_MS;
  return 1000 * (budget_ms < MAX_BUDGET_MS ? budget_ms : MAX_BUDGET_MS);
}

static void
submit (dks_leased_t *leased, const dks_event_t *event, const dks_queue_entry_t *queue,
        const char *id)
{
  dks_batch_t *batch = event->u.batch.batch;
  dks_leased_request_t *request = request_find (leased, id);
  const char *leader = dks_leased_leader_id (leased);

  if (request != NULL)
    {
      request_add_caller (request, event->u.batch.caller);
      return;
    }
  request = dks_alloc (sizeof (*request));
  request->leased = leased;
  request->id = dks_next_id (leased->r);
  request->batch = dks_batch_ref (batch);
  request->arrival_us = dks_leased_now_us (leased);
  request->objective_us = dks_batch_limit_span_us (INT64_C (1000) * queue->objective_extra_ms
                                                   + (int64_t)dks_batch_critical_path_ms (batch)
                                                         * queue->objective_factor_milli);
  request->budget_us = compute_budget_us (queue, event->u.batch.budget_ms);
  if (request->arrival_us + request->budget_us > answer_deadline_us (leased))
    request->budget_us = answer_deadline_us (leased) - request->arrival_us;
  request->leader_wait_us = dks_leased_admission_wait_us (
      queue, request->budget_us, INT64_C (1000) * dks_batch_critical_path_ms (batch));
  request->caller_timeout_ms = event->u.batch.budget_ms;
  request->queue_timeout_ms = queue->timeout_ms;
  dks_metrics_observe (leased->metrics, DKS_HISTOGRAM_CALLER_TIME, batch->queue,
                       INT64_C (1000) * event->u.batch.budget_ms);
  APR_RING_INIT (&request->callers, dks_leased_caller_t, link);
  dks_timer_init (&request->timer, handle_request_timer, request);
  APR_RING_INSERT_TAIL (&leased->requests, request, dks_leased_request_t, link);
  leased->request_count++;
  request_add_caller (request, event->u.batch.caller);
  request_schedule_timer (request);
  if (leader != NULL && !leased->callers_check_pending)
    request_send (request, leader);
}

/* Answers a request for which no state is kept. */
static void
answer_at_once (dks_leased_t *leased, const dks_event_t *event, const char *queue, const char *id,
                dks_batch_answer_t answer, uint32_t retry_after_ms, const char *reason)
{
  dks_emit_log (leased->r, DKS_LOG_INFO, "event=answer job=%.*s answer=%s reason=\"%s\"",
                DKS_BATCH_ID_SIZE, id, dks_batch_answer_name (answer), reason);
  count_answer (leased, queue, answer, reason);
  reply (leased, event->u.batch.caller, answer, retry_after_ms, reason);
}

static void
handle_submit (dks_leased_t *leased, const dks_event_t *event, const dks_queue_entry_t *queue,
               const char *id)
{
  dks_batch_t *batch = event->u.batch.batch;

  dks_counter_increment (&leased->r->counters, DKS_COUNTER_SUBMISSIONS);
  if (!dks_batch_id_is_valid (id))
    {
      answer_at_once (leased, event, queue->name, "", DKS_BATCH_INVALID, 0, malformed_reason);
      return;
    }
  if (event->u.batch.unsupported != NULL || queue->needs_advice)
    {
      answer_at_once (leased, event, queue->name, id, DKS_BATCH_REFUSED, 0,
                      event->u.batch.unsupported != NULL ? event->u.batch.unsupported
                                                         : "queues with advice");
      return;
    }
  if (batch == NULL || dks_strcpy (batch->id, sizeof (batch->id), id) != DKS_OK)
    {
      answer_at_once (leased, event, queue->name, id, DKS_BATCH_INVALID, 0, malformed_reason);
      return;
    }
  if (dks_batch_critical_path_ms (batch) > DKS_BATCH_SPAN_MAX_S * UINT32_C (1000))
    {
      answer_at_once (leased, event, queue->name, id, DKS_BATCH_INVALID, 0,
                      "estimate_ms: the longest chain of steps is above 86400 s");
      return;
    }
  if (dks_strcpy (batch->service, sizeof (batch->service), queue->service) != DKS_OK
      || dks_strcpy (batch->queue, sizeof (batch->queue), queue->name) != DKS_OK)
    {
      answer_at_once (leased, event, queue->name, id, DKS_BATCH_REFUSED, 0,
                      "the name of the queue or of its service is too long");
      return;
    }
  batch->priority = queue->priority;
  batch->max_attempts = queue->max_attempts;
  if (ends_after_drain (leased, batch))
    {
      answer_at_once (leased, event, queue->name, id, DKS_BATCH_REFUSED, NO_LEADER_RETRY_AFTER_MS,
                      shutdown_reason);
      return;
    }
  submit (leased, event, queue, id);
}

static void
handle_cancel (dks_leased_t *leased, uint64_t caller, const char *id)
{
  dks_leased_request_t *request = request_find (leased, id);

  if (request == NULL)
    {
      reply (leased, caller, DKS_BATCH_UNKNOWN_JOB, 0, "");
      return;
    }
  request_cancel (request);
  request_answer (request, DKS_BATCH_FAILED, 0, "cancelled");
  reply (leased, caller, DKS_BATCH_CANCELLED, 0, "");
}

static void
handle_query (dks_leased_t *leased, uint64_t caller, const dks_queue_entry_t *queue, const char *id)
{
  dks_effect_t *effect;

  if (id[0] != '\0')
    {
      reply (leased, caller,
             request_find (leased, id) != NULL ? DKS_BATCH_RUNNING : DKS_BATCH_UNKNOWN_JOB, 0, "");
      return;
    }
  /* Only stored jobs count as pending, and this instance stores none. */
  effect = dks_effects_add (leased->r->effects, DKS_EFFECT_BATCH_REPLY);
  effect->u.batch_reply.caller = caller;
  effect->u.batch_reply.answer = DKS_BATCH_PENDING;
}

void
dks_leased_entry_handle_batch (dks_leased_t *leased, const dks_event_t *event)
{
  uint64_t caller = event->u.batch.caller;
  const dks_queue_entry_t *queue;
  const char *id = "";

  if (leased->catalog == NULL)
    {
      answer_at_once (leased, event, "", "", DKS_BATCH_REFUSED, NO_CATALOG_RETRY_AFTER_MS,
                      "no configuration is known yet");
      return;
    }
  queue = dks_catalog_match_queue (leased->catalog, event->u.batch.host, event->u.batch.path, &id);
  if (queue == NULL && dks_leased_feed_is_behind (leased))
    {
      answer_at_once (leased, event, "", "", DKS_BATCH_REFUSED, NO_CATALOG_RETRY_AFTER_MS,
                      "a newer configuration is not in force here yet");
      return;
    }
  if (queue == NULL)
    {
      reply (leased, caller, DKS_BATCH_NO_QUEUE, 0, "no such queue");
      return;
    }
  switch (event->u.batch.verb)
    {
    case DKS_BATCH_SUBMIT:
      handle_submit (leased, event, queue, id);
      break;
    case DKS_BATCH_QUERY:
      handle_query (leased, caller, queue, id);
      break;
    case DKS_BATCH_CANCEL:
      handle_cancel (leased, caller, id);
      break;
    }
}

void
dks_leased_entry_handle_caller_gone (dks_leased_t *leased, uint64_t id)
{
  dks_leased_caller_t *caller = apr_hash_get (leased->callers_by_id, &id, sizeof (id));
  dks_leased_request_t *request;

  if (caller == NULL)
    return;
  request = caller->request;
  caller_free (caller);
  if (!APR_RING_EMPTY (&request->callers, dks_leased_caller_t, link))
    return;
  dks_emit_log (leased->r, DKS_LOG_INFO,
                "event=caller-gone job=%s age_ms=%" PRId64 " caller_ms=%" PRId64,
                request->batch->id, (dks_leased_now_us (leased) - request->arrival_us) / 1000,
                request->caller_timeout_ms);
  request_cancel (request);
  request_free (request);
}

void
dks_leased_entry_handle_done (dks_leased_t *leased, const char *from, const dks_msg_t *msg)
{
  dks_leased_request_t *request;

  APR_RING_FOREACH (request, &leased->requests, dks_leased_request_t, link)
    {
      if (request->id == msg->u.work_done.request)
        break;
    }
  /* A leader does not refuse a request that was sent to an earlier leader as well, so this refusal
   * answers an earlier message. */
  if (request != APR_RING_SENTINEL (&leased->requests, dks_leased_request_t, link)
      && request->send_count > 1 && msg->u.work_done.answer == DKS_BATCH_REFUSED)
    return;
  /* An answer of an earlier leader may arrive after the request was sent to its successor. */
  if (request == APR_RING_SENTINEL (&leased->requests, dks_leased_request_t, link)
      || (strcmp (request->leader, from) != 0 && msg->u.work_done.answer != DKS_BATCH_COMPLETED))
    return;
  if (strcmp (request->leader, from) != 0)
    request_cancel (request);
  request_answer (request, (dks_batch_answer_t)msg->u.work_done.answer,
                  msg->u.work_done.retry_after_ms, msg->u.work_done.detail);
}

/* Shutdown */

void
dks_leased_entry_handle_drain (dks_leased_t *leased)
{
  dks_leased_request_t *request;

  if (leased->drain_start_us > 0)
    return;
  leased->drain_start_us = dks_leased_now_us (leased);
  dks_emit_log (leased->r, DKS_LOG_NOTICE, "event=drain-start requests=%u", leased->request_count);
  APR_RING_FOREACH (request, &leased->requests, dks_leased_request_t, link)
    request_schedule_timer (request);
  dks_leased_members_notify_all (leased);
}

int64_t
dks_leased_entry_handover_left_us (const dks_leased_t *leased)
{
  int64_t end_us = leased->drain_start_us + DRAIN_HANDOVER_US;

  return leased->drain_start_us > 0 && end_us > dks_leased_now_us (leased)
             ? end_us - dks_leased_now_us (leased)
             : 0;
}

bool
dks_leased_entry_is_drained (const dks_leased_t *leased)
{
  int64_t elapsed_us;

  if (leased->drain_start_us == 0)
    return false;
  elapsed_us = dks_leased_now_us (leased) - leased->drain_start_us;
  return elapsed_us >= DRAIN_MAX_US
         || (elapsed_us >= DRAIN_MIN_US && leased->request_count == 0 && leased->job_count == 0
             && !dks_leased_handover_is_awaited (leased));
}

void
dks_leased_entry_init (dks_leased_t *leased)
{
  APR_RING_INIT (&leased->requests, dks_leased_request_t, link);
  leased->callers_by_id = apr_hash_make (leased->r->pool);
}

void
dks_leased_entry_clear (dks_leased_t *leased)
{
  while (!APR_RING_EMPTY (&leased->requests, dks_leased_request_t, link))
    request_free (APR_RING_FIRST (&leased->requests));
}
