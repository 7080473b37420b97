#include "core/owner.h"

#include "common/alloc.h"

#include <stdlib.h>

void
dks_waiter_answer (dks_reducer_t *r, const dks_waiter_t *waiter, dks_answer_t *answer)
{
  dks_msg_t *msg;

  if (waiter->peer[0] == '\0')
    {
      dks_entry_handle_answer (r, "", waiter->request, answer);
      return;
    }
  msg = dks_msg_create (DKS_MSG_ANSWER);
  msg->u.answer.request = waiter->request;
  msg->u.answer.answer = dks_answer_ref (answer);
  dks_emit_peer (r, waiter->peer, msg);
}

void
dks_reply_all (dks_reducer_t *r, dks_waiter_ring_t *waiters, dks_answer_t *answer)
{
  dks_waiter_t *waiter;

  while ((waiter = dks_waiters_take (waiters)) != NULL)
    {
      dks_waiter_answer (r, waiter, answer);
      free (waiter);
    }
}

static bool
is_other_content (uint64_t a, uint64_t b)
{
  return a != 0 && b != 0 && a != b;
}

void
dks_reply_key_reused (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key)
{
  dks_reply_unconfirmed (r, waiter, key, DKS_OUTCOME_FAILED, DKS_PROBLEM_KEY_REUSED,
                         "the key was used for other content");
}

void
dks_reply_all_with_digest (dks_reducer_t *r, dks_waiter_ring_t *waiters, dks_answer_t *answer,
                           uint64_t digest)
{
  dks_waiter_t *waiter;

  while ((waiter = dks_waiters_take (waiters)) != NULL)
    {
      if (is_other_content (waiter->digest, digest) && answer->problem != DKS_PROBLEM_MOVED)
        dks_reply_key_reused (r, waiter, answer->key);
      else
        dks_waiter_answer (r, waiter, answer);
      free (waiter);
    }
}

bool
dks_reply_if_key_reused (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key,
                         uint64_t digest)
{
  if (!is_other_content (waiter->digest, digest))
    return false;
  dks_reply_key_reused (r, waiter, key);
  return true;
}

void
dks_reply_unconfirmed (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key,
                       dks_outcome_t outcome, dks_problem_t problem, const char *detail)
{
  dks_answer_t *answer = dks_answer_create (key, outcome, problem, 0);

  dks_strcpy (answer->detail, sizeof (answer->detail), detail);
  if (outcome == DKS_OUTCOME_UNKNOWN && problem == DKS_PROBLEM_NO_OWNER)
    answer->retry_after_ms = DKS_RETRY_AFTER_MS;
  dks_waiter_answer (r, waiter, answer);
  dks_answer_unref (answer);
}

void
dks_reply_moved (dks_reducer_t *r, const dks_waiter_t *waiter, const char *key)
{
  dks_reply_unconfirmed (r, waiter, key, DKS_OUTCOME_REFUSED, DKS_PROBLEM_MOVED, "");
}

dks_answer_t *
dks_reply_create_refusal (const char *key, dks_problem_t problem, uint32_t retry_after_ms,
                          const char *detail)
{
  dks_answer_t *answer = dks_answer_create (key, DKS_OUTCOME_REFUSED, problem, 0);

  answer->retry_after_ms = retry_after_ms;
  dks_strcpy (answer->detail, sizeof (answer->detail), detail);
  return answer;
}
