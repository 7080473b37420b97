#include "core/state.h"

#include "common/alloc.h"
#include "core/key.h"

#include <stdlib.h>
#include <string.h>

enum
{
  /* Time after the start of a drain in which new requests are accepted. Load balancers need some
   * seconds to direct callers to another instance; without a limit, requests would keep a draining
   * instance open as long as callers send. */
  DRAIN_ACCEPT_US = 5000000,
  /* Longest wait of a request for a reachable owner; a takeover takes 2 s. */
  ROUTE_TIMEOUT_US = 6000000,
  /* Delay before a request whose owner is unreachable or has changed is routed again. */
  REROUTE_DELAY_US = 50000,
  ANSWER_GRACE_US = 2000000,   /* longest wait for the owner's answer after the deadline */
  ANSWER_TIMEOUT_US = 5000000, /* longest wait for the answer to a cancel or query */
  RETRY_AFTER_MS = 1000
};

static void
request_destroy (dks_reducer_t *r, dks_request_t *request)
{
  apr_hash_set (r->requests_by_id, &request->id, sizeof (request->id), NULL);
  if (request->caller != 0)
    apr_hash_set (r->requests_by_caller, &request->caller, sizeof (request->caller), NULL);
  APR_RING_REMOVE (request, link);
  r->request_count--;
  dks_timer_cancel (r->timers, &request->timer);
  dks_submission_unref (request->submission);
  free (request);
}

static void
reply (dks_reducer_t *r, uint64_t caller, dks_answer_t *answer)
{
  dks_effect_t *effect;

  if (caller == 0)
    return;
  if (answer->outcome == DKS_OUTCOME_REFUSED)
    dks_counter_increment (&r->counters, DKS_COUNTER_ANSWERS_REFUSED);
  if (answer->outcome == DKS_OUTCOME_UNKNOWN)
    dks_counter_increment (&r->counters, DKS_COUNTER_ANSWERS_UNKNOWN);
  effect = dks_effects_add (r->effects, DKS_EFFECT_REPLY);
  effect->u.reply.caller = caller;
  effect->u.reply.answer = dks_answer_ref (answer);
}

static void
reply_with_detail (dks_reducer_t *r, uint64_t caller, const char *key, dks_outcome_t outcome,
                   dks_problem_t problem, const char *detail)
{
  dks_answer_t *answer = dks_answer_create (key, outcome, problem, 0);

  if (outcome == DKS_OUTCOME_UNKNOWN)
    answer->retry_after_ms = RETRY_AFTER_MS;
  dks_strcpy (answer->detail, sizeof (answer->detail), detail);
  reply (r, caller, answer);
  dks_answer_unref (answer);
}

/* Answers UNKNOWN and drops the request: the entry instance does not know whether an earlier
 * submission of the key has run. */
static void
give_up_request (dks_reducer_t *r, dks_request_t *request, dks_problem_t problem,
                 const char *detail)
{
  reply_with_detail (r, request->caller, request->key, DKS_OUTCOME_UNKNOWN, problem, detail);
  request_destroy (r, request);
}

static bool
data_centre_is_reachable (const dks_reducer_t *r, const char *data_centre)
{
  const dks_peer_t *peer;

  if (strcmp (data_centre, r->config.data_centre) == 0)
    return true;
  /* For the failure timeout after the start, connections to peers are still being made. */
  if (r->now.mono_us - r->running_since_us < r->config.failure_timeout_us)
    return true;
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (strcmp (peer->data_centre, data_centre) == 0 && dks_member_is_alive (r, peer->id))
        return true;
    }
  return false;
}

static void
send_to_owner (dks_reducer_t *r, dks_request_t *request, const char *owner)
{
  dks_msg_t *msg;

  dks_strcpy (request->sent_to, sizeof (request->sent_to), owner);
  if (request->kind == DKS_REQUEST_SUBMIT)
    {
      msg = dks_msg_create (DKS_MSG_FORWARD);
      msg->u.forward.request = request->id;
      msg->u.forward.submission = dks_submission_ref (request->submission);
      dks_counter_increment (&r->counters, DKS_COUNTER_FORWARDS);
    }
  else
    {
      msg = dks_msg_create (DKS_MSG_ASK);
      msg->u.ask.request = request->id;
      msg->u.ask.cancel = request->kind == DKS_REQUEST_CANCEL;
      dks_strcpy (msg->u.ask.key, sizeof (msg->u.ask.key), request->key);
    }
  dks_emit_peer (r, owner, msg);
}

static void
handle_as_owner (dks_reducer_t *r, dks_request_t *request)
{
  dks_waiter_t waiter = { .request = request->id, .is_query = request->kind == DKS_REQUEST_QUERY };

  if (request->submission != NULL)
    waiter.digest = request->submission->digest;

  dks_strcpy (request->sent_to, sizeof (request->sent_to), r->self);
  /* The calls below may answer at once and destroy the request, so they get a reference to its
   * submission or a copy of its key. */
  if (request->kind == DKS_REQUEST_SUBMIT)
    {
      dks_submission_t *submission = dks_submission_ref (request->submission);

      dks_owner_submit (r, submission, &waiter);
      dks_submission_unref (submission);
    }
  else
    {
      char key[DKS_KEY_SIZE];

      dks_strcpy (key, sizeof (key), request->key);
      dks_owner_query_or_cancel (r, key, request->kind == DKS_REQUEST_CANCEL, &waiter);
    }
}

static int64_t
answer_deadline_us (const dks_reducer_t *r, const dks_request_t *request)
{
  if (request->kind != DKS_REQUEST_SUBMIT)
    return r->now.mono_us + ANSWER_TIMEOUT_US;
  return r->now.mono_us + (request->submission->deadline_ms - r->now.wall_ms) * 1000
         + ANSWER_GRACE_US;
}

static void
route (dks_reducer_t *r, dks_request_t *request)
{
  const char *data_centre = r->config.data_centres[request->home_data_centre];
  const char *owner = r->views[request->home_data_centre].shards[request->shard].owner;
  const dks_peer_t *peer = owner[0] != '\0' ? dks_peer_find (r, owner) : NULL;
  bool is_self = strcmp (owner, r->self) == 0;

  request->sent_to[0] = '\0';
  if (is_self || (peer != NULL && peer->up && dks_member_is_alive (r, owner)))
    {
      dks_timer_set (r->timers, &request->timer, answer_deadline_us (r, request));
      if (is_self)
        handle_as_owner (r, request);
      else
        send_to_owner (r, request, owner);
      return;
    }
  if (!data_centre_is_reachable (r, data_centre))
    give_up_request (
        r, request, DKS_PROBLEM_NO_OWNER,
        "the data centre of this key cannot be reached; an earlier submission may have run");
  else if (r->now.mono_us >= request->routing_deadline_us)
    give_up_request (r, request, DKS_PROBLEM_NO_OWNER,
                     "the owner of this key cannot be reached; an earlier submission may have run");
  else
    dks_timer_set (r->timers, &request->timer, r->now.mono_us + REROUTE_DELAY_US);
}

static void
handle_request_timer (void *context, int64_t now_us)
{
  dks_request_t *request = context;
  dks_reducer_t *r = request->reducer;

  if (request->sent_to[0] == '\0')
    route (r, request);
  else
    give_up_request (r, request, DKS_PROBLEM_DEADLINE,
                     "no answer from the owner of this key in time");
}

void
dks_entry_route_all (dks_reducer_t *r)
{
  dks_request_t *request = APR_RING_FIRST (&r->requests);

  while (request != APR_RING_SENTINEL (&r->requests, dks_request_t, link))
    {
      dks_request_t *next = APR_RING_NEXT (request, link);
      const char *owner = r->views[request->home_data_centre].shards[request->shard].owner;
      const dks_peer_t *peer = dks_peer_find (r, request->sent_to);
      bool is_sent_to_self = strcmp (request->sent_to, r->self) == 0;

      if (request->sent_to[0] == '\0'
          || (!is_sent_to_self
              && (peer == NULL || !peer->up || strcmp (owner, request->sent_to) != 0)))
        route (r, request);
      request = next;
    }
}

static dks_request_t *
request_create (dks_reducer_t *r, dks_request_kind_t kind, uint64_t caller, const char *key,
                dks_submission_t *submission)
{
  dks_request_t *request;
  dks_key_t parsed;
  int home_index;

  if (dks_key_parse (key, &parsed) != 0)
    {
      reply_with_detail (r, caller, key, DKS_OUTCOME_REFUSED, DKS_PROBLEM_BAD_REQUEST,
                         "the idempotency key is not valid");
      return NULL;
    }
  home_index = dks_key_home (key, &parsed, r->config.data_centres, r->config.data_centre_count);
  if (home_index < 0)
    {
      reply_with_detail (r, caller, key, DKS_OUTCOME_REFUSED, DKS_PROBLEM_BAD_REQUEST,
                         "the idempotency key names a data centre that does not exist");
      return NULL;
    }
  request = dks_alloc (sizeof (*request));
  request->reducer = r;
  request->id = dks_next_id (r);
  request->kind = kind;
  request->caller = caller;
  request->submission = submission != NULL ? dks_submission_ref (submission) : NULL;
  dks_strcpy (request->key, sizeof (request->key), key);
  request->home_data_centre = home_index;
  request->shard = dks_key_shard (key);
  request->routing_deadline_us = r->now.mono_us + ROUTE_TIMEOUT_US;
  dks_timer_init (&request->timer, handle_request_timer, request);
  apr_hash_set (r->requests_by_id, &request->id, sizeof (request->id), request);
  apr_hash_set (r->requests_by_caller, &request->caller, sizeof (request->caller), request);
  APR_RING_INSERT_TAIL (&r->requests, request, dks_request_t, link);
  r->request_count++;
  return request;
}

void
dks_entry_handle_submit (dks_reducer_t *r, uint64_t caller, dks_submission_t *submission)
{
  dks_request_t *request;

  dks_counter_increment (&r->counters, DKS_COUNTER_SUBMISSIONS);
  if (r->exit_sent || (r->draining && r->now.mono_us - r->drain_start_us >= DRAIN_ACCEPT_US))
    {
      /* The answer is UNKNOWN, not "not run", because an earlier submission of the key may have
       * run. */
      reply_with_detail (r, caller, submission->key, DKS_OUTCOME_UNKNOWN, DKS_PROBLEM_DRAINING,
                         "the instance shuts down; ask another one");
      return;
    }
  request = request_create (r, DKS_REQUEST_SUBMIT, caller, submission->key, submission);
  if (request != NULL)
    route (r, request);
}

void
dks_entry_handle_query_or_cancel (dks_reducer_t *r, uint64_t caller, const char *key, bool cancel)
{
  dks_request_t *request =
      request_create (r, cancel ? DKS_REQUEST_CANCEL : DKS_REQUEST_QUERY, caller, key, NULL);

  if (request != NULL)
    route (r, request);
}

void
dks_entry_handle_caller_gone (dks_reducer_t *r, uint64_t caller)
{
  dks_request_t *request = apr_hash_get (r->requests_by_caller, &caller, sizeof (caller));

  if (request != NULL)
    request_destroy (r, request);
}

void
dks_entry_handle_answer (dks_reducer_t *r, const char *peer, uint64_t id, dks_answer_t *answer)
{
  dks_request_t *request = apr_hash_get (r->requests_by_id, &id, sizeof (id));
  const char *from = peer[0] != '\0' ? peer : r->self;

  /* An owner that was replaced while it had the request may still answer. Only the answer of the
   * owner that the request was last sent to is accepted. */
  if (request == NULL || strcmp (request->sent_to, from) != 0
      || strcmp (request->key, answer->key) != 0)
    return;
  if (answer->problem == DKS_PROBLEM_MOVED)
    {
      request->sent_to[0] = '\0';
      dks_timer_set (r->timers, &request->timer, r->now.mono_us + REROUTE_DELAY_US);
      return;
    }
  reply (r, request->caller, answer);
  if (answer->outcome != DKS_OUTCOME_ACCEPTED || request->kind != DKS_REQUEST_SUBMIT)
    {
      request_destroy (r, request);
      return;
    }
  /* An accepted request is kept without its caller, so that the work is sent to the next owner if
   * the present owner fails. */
  if (request->caller != 0)
    apr_hash_set (r->requests_by_caller, &request->caller, sizeof (request->caller), NULL);
  request->caller = 0;
}

void
dks_entry_init (dks_reducer_t *r)
{
  APR_RING_INIT (&r->requests, dks_request_t, link);
  r->requests_by_id = apr_hash_make (r->pool);
  r->requests_by_caller = apr_hash_make (r->pool);
}

void
dks_entry_clear (dks_reducer_t *r)
{
  while (!APR_RING_EMPTY (&r->requests, dks_request_t, link))
    request_destroy (r, APR_RING_FIRST (&r->requests));
}
