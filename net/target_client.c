#include "net/target_client.h"

#include "common/alloc.h"
#include "common/error.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  HEADER_SIZE = DKS_KEY_SIZE + 64 /* bytes of a header line with its terminator */
};

typedef struct
{
  dks_target_client_t *client;
  uint64_t attempt;
  uint64_t request; /* id of the request at the HTTP client */
} call_t;

struct dks_target_client_t
{
  dks_http_client_t *http;
  dks_target_func_t func;
  void *context;
  apr_pool_t *pool;
  apr_hash_t *calls; /* attempt -> call_t, for attempts whose request is open */
};

dks_target_client_t *
dks_target_client_create (dks_http_client_t *http, dks_target_func_t func, void *context)
{
  dks_target_client_t *client = dks_alloc (sizeof (*client));
  apr_status_t status = apr_pool_create (&client->pool, NULL);

  DKS_INVARIANT (status == APR_SUCCESS);
  client->http = http;
  client->func = func;
  client->context = context;
  client->calls = apr_hash_make (client->pool);
  return client;
}

static void
call_remove (call_t *call)
{
  apr_hash_set (call->client->calls, &call->attempt, sizeof (call->attempt), NULL);
  free (call);
}

void
dks_target_client_destroy (dks_target_client_t *client)
{
  apr_hash_index_t *i;

  if (client == NULL)
    return;
  while ((i = apr_hash_first (client->pool, client->calls)) != NULL)
    {
      call_t *call = apr_hash_this_val (i);
      dks_target_client_abort (client, call->attempt);
    }
  apr_pool_destroy (client->pool);
  free (client);
}

static dks_attempt_status_t
result_status (const dks_http_result_t *result)
{
  if (result->error == DKS_ERR_UNAVAILABLE)
    return DKS_ATTEMPT_NOT_STARTED;
  if (result->error != DKS_OK)
    return DKS_ATTEMPT_LOST;
  if (result->status == 503 && result->not_run)
    return DKS_ATTEMPT_NOT_STARTED;
  /* A larger result could not be sent to another instance, so that its attempt has failed. */
  if (result->status == 200 && result->body->len <= DKS_PAYLOAD_MAX)
    return DKS_ATTEMPT_OK;
  return DKS_ATTEMPT_FAILED;
}

static void
handle_result (void *context, uint64_t id, const dks_http_result_t *result)
{
  call_t *call = context;
  dks_target_client_t *client = call->client;
  uint64_t attempt = call->attempt;
  dks_attempt_status_t status = result_status (result);
  bool leaving = result->error == DKS_OK && result->leaving;

  call_remove (call);
  client->func (client->context, attempt, status, leaving,
                status == DKS_ATTEMPT_OK ? result->body : NULL);
}

void
dks_target_client_send (dks_target_client_t *client, const dks_effect_t *effect, int64_t wall_ms)
{
  int64_t remaining_ms = effect->u.target_send.deadline_ms - wall_ms;
  char url[DKS_ADDRESS_SIZE + 16];
  char task[HEADER_SIZE];
  char attempt[HEADER_SIZE];
  char deadline[HEADER_SIZE];
  const char *const headers[] = { "Content-Type: application/octet-stream", task, attempt, deadline,
                                  NULL };
  call_t *call = dks_alloc (sizeof (*call));
  dks_http_request_t request = { .method = "POST", .url = url, .headers = headers };

  if (remaining_ms < 1)
    remaining_ms = 1;
  snprintf (url, sizeof (url), "http://%s/run", effect->u.target_send.address);
  snprintf (task, sizeof (task), "Damaskshore-Task: %s/%" PRIu32, effect->u.target_send.key,
            effect->u.target_send.index);
  snprintf (attempt, sizeof (attempt), "Damaskshore-Attempt: %" PRIu32,
            effect->u.target_send.attempt_number);
  snprintf (deadline, sizeof (deadline), "Damaskshore-Deadline-Ms: %" PRId64, remaining_ms);
  call->client = client;
  call->attempt = effect->u.target_send.attempt;
  request.body = effect->u.target_send.payload;
  request.timeout_ms = remaining_ms;
  request.func = handle_result;
  request.context = call;
  apr_hash_set (client->calls, &call->attempt, sizeof (call->attempt), call);
  call->request = dks_http_client_send (client->http, &request);
}

void
dks_target_client_abort (dks_target_client_t *client, uint64_t attempt)
{
  call_t *call = apr_hash_get (client->calls, &attempt, sizeof (attempt));

  if (call == NULL)
    return;
  dks_http_client_abort (client->http, call->request);
  call_remove (call);
}
