#include "net/http_exchange.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MS_PER_S = 1000
};

const char *
dks_http_exchange_request_header (const dks_http_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND, name);
}

void
dks_http_exchange_add_header (dks_http_exchange_t *exchange, const char *name, const char *value)
{
  MHD_add_response_header (exchange->response, name, value);
}

void
dks_http_exchange_reply (dks_http_exchange_t *exchange, int status, const char *type, char *body)
{
  if (exchange->response != NULL)
    {
      free (body);
      return;
    }
  exchange->status = (unsigned)status;
  exchange->answer_bytes = strlen (body);
  exchange->response =
      MHD_create_response_from_buffer (exchange->answer_bytes, body, MHD_RESPMEM_MUST_FREE);
  DKS_INVARIANT (exchange->response != NULL);
  dks_http_connection_account (exchange->client);
  dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  if (exchange->key[0] != '\0')
    dks_http_exchange_add_header (exchange, "Idempotency-Key", exchange->key);
  if (exchange->server->draining || exchange->over_limit)
    dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_CONNECTION, "close");
}

void
dks_http_exchange_add_retry_after (dks_http_exchange_t *exchange, uint32_t retry_after_ms)
{
  char seconds[16];

  if (retry_after_ms == 0)
    return;
  snprintf (seconds, sizeof (seconds), "%" PRIu32,
            retry_after_ms / MS_PER_S + (retry_after_ms % MS_PER_S != 0));
  dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_RETRY_AFTER, seconds);
}

void
dks_http_exchange_reply_problem (dks_http_exchange_t *exchange, const dks_http_problem_t *problem)
{
  if (exchange->response != NULL)
    return;
  dks_http_exchange_reply (exchange, problem->status, "application/problem+json",
                           dks_http_json_encode_problem (problem));
  dks_http_exchange_add_retry_after (exchange, problem->retry_after_ms);
}

/* Returns the problem of a request that the reducer has not received. The server does not know
 * whether an earlier submission with the caller's key has run, so the reply says "not_run" only
 * when the key has just been generated. */
dks_http_problem_t
dks_http_exchange_problem (const dks_http_exchange_t *exchange, int status, const char *name,
                           const char *detail, uint32_t retry_after_ms)
{
  return (dks_http_problem_t){
    .name = name,
    .status = status,
    .detail = detail,
    .key = exchange->key,
    .outcome = exchange->key[0] != '\0' && !exchange->key_given && exchange->route != NULL
                       && exchange->route->submits
                   ? DKS_OUTCOME_REFUSED
                   : 0,
    .retry_after_ms = retry_after_ms,
  };
}

void
dks_http_exchange_fail (dks_http_exchange_t *exchange, int status, const char *name,
                        const char *detail, uint32_t retry_after_ms)
{
  const dks_http_problem_t problem =
      dks_http_exchange_problem (exchange, status, name, detail, retry_after_ms);

  dks_http_exchange_reply_problem (exchange, &problem);
}

/* Refuses a request for want of memory or processor time. Where the status itself says that a job
 * never runs, as of a job that may have been sent before, it says that the outcome is unknown. */
void
dks_http_exchange_fail_overloaded (dks_http_exchange_t *exchange, const char *detail)
{
  dks_http_exchange_fail (exchange, exchange->route->needs_caller ? 504 : 503, "overloaded", detail,
                          DKS_HTTP_OVERLOAD_RETRY_MS);
}

void
dks_http_exchange_reject (dks_http_exchange_t *exchange, int status, const char *name,
                          const char *detail)
{
  exchange->server->bad_input_total++;
  dks_http_exchange_fail (exchange, status, name, detail, 0);
}

static int
answer_status (const dks_answer_t *answer)
{
  switch (answer->problem)
    {
    case DKS_PROBLEM_BAD_REQUEST:
      return 400;
    case DKS_PROBLEM_KEY_REUSED:
      return 422;
    case DKS_PROBLEM_KEY_EXPIRED:
      return 410;
    case DKS_PROBLEM_NOT_FOUND:
      return 404;
    case DKS_PROBLEM_QUOTA:
      return 429;
    default:
      break;
    }
  switch (answer->outcome)
    {
    case DKS_OUTCOME_COMPLETE:
      return 200;
    case DKS_OUTCOME_ACCEPTED:
      return 202;
    case DKS_OUTCOME_FAILED:
      return 502;
    case DKS_OUTCOME_REFUSED:
      return 503;
    case DKS_OUTCOME_CANCELLED:
      return 409;
    case DKS_OUTCOME_UNKNOWN:
      break;
    }
  return 504;
}

void
dks_http_exchange_reply_answer (dks_http_exchange_t *exchange, const dks_answer_t *answer)
{
  const dks_http_route_t *route = exchange->route;
  int status = answer_status (answer);
  dks_http_problem_t problem;
  char location[DKS_KEY_SIZE + 16];

  /* DELETE asks for this outcome, so it has succeeded; for other requests it is a conflict. */
  if (answer->outcome == DKS_OUTCOME_CANCELLED && strcmp (route->method, "DELETE") == 0)
    status = 200;
  if (status < 300)
    {
      bool single = strcmp (route->path, "/v1/requests") == 0;
      dks_http_exchange_reply (exchange, status, "application/json",
                               dks_http_json_encode_answer (answer, single));
      if (status == 202)
        {
          snprintf (location, sizeof (location), "/v1/jobs/%s", exchange->key);
          dks_http_exchange_add_header (exchange, MHD_HTTP_HEADER_LOCATION, location);
        }
      return;
    }
  problem = (dks_http_problem_t){
    .name = dks_problem_name (answer->problem),
    .status = status,
    .detail = answer->detail,
    .key = exchange->key,
    .outcome = answer->outcome,
    .retry_after_ms = answer->retry_after_ms,
    .answer = answer,
  };
  dks_http_exchange_reply_problem (exchange, &problem);
}

void
dks_http_exchange_reply_edit (dks_http_exchange_t *exchange, const dks_effect_t *effect)
{
  static const struct
  {
    int error;
    int status;
    const char *name;
  } rows[] = {
    { DKS_ERR_INVALID, 400, "bad-request" }, { DKS_ERR_NOT_FOUND, 404, "not-found" },
    { DKS_ERR_CONFLICT, 409, "conflict" },   { DKS_ERR_TOO_LARGE, 400, "too-large" },
    { DKS_ERR_TIMEOUT, 504, "timeout" },     { DKS_ERR_UNAVAILABLE, 503, "platform-unavailable" },
  };
  dks_http_problem_t problem = {
    .name = "timeout",
    .status = 504,
    .detail = effect->u.edit_reply.detail,
  };

  if (effect->u.edit_reply.error == DKS_OK)
    {
      dks_http_exchange_reply (exchange, 200, "application/json",
                               dks_http_json_encode_edit_reply (effect));
      return;
    }
  for (size_t i = 0; i < sizeof (rows) / sizeof (rows[0]); i++)
    {
      if (rows[i].error == effect->u.edit_reply.error)
        {
          problem.name = rows[i].name;
          problem.status = rows[i].status;
        }
    }
  dks_http_exchange_reply_problem (exchange, &problem);
}
