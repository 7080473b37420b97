#include "net/http_exchange.h"

enum
{
  /* Work is counted in units of about 20 ns of a processor. */
  WORK_PER_TURN = 1000000, /* of a whole processor: about 20 ms */
  WORK_REQUEST = 2000,
  WORK_VALUE = 64,   /* of a JSON text, including the task that is made of it */
  WORK_PER_BYTE = 1, /* of a body */
  /* Deferred work of more turns is refused. */
  DEFERRED_TURNS_MAX = 50,
  /* Values of a JSON text. No submission needs as many; a parser takes up to 50 times the length of
   * a text of small values. */
  VALUES_MAX = 131072,
  /* Allocated by the parser for one object, array, and member or value of another kind. */
  OBJECT_BYTES = 256,
  ARRAY_BYTES = 136,
  VALUE_BYTES = 64
};

/* ---- Work ---- */

/* Units of work that may begin in one turn of the loop, so that timers, other instances, targets
 * and the platform are not kept waiting by the requests of clients. */
static int64_t
server_work_per_turn (const dks_http_server_t *server)
{
  uint32_t processor_milli =
      server->config.processor_milli > 0 ? server->config.processor_milli : 1000;

  return (int64_t)WORK_PER_TURN * processor_milli / 1000;
}

int64_t
dks_http_server_work_left (dks_http_server_t *server)
{
  uint64_t turn = dks_loop_turn_number (server->loop);

  if (server->work_turn != turn)
    {
      server->work_turn = turn;
      server->work_left = server_work_per_turn (server);
    }
  return server->work_left;
}

void
dks_http_server_spend_work (dks_http_server_t *server, size_t work)
{
  server->work_left = dks_http_server_work_left (server) - (int64_t)work;
}

bool
dks_http_server_admits_work (dks_http_server_t *server)
{
  return APR_RING_EMPTY (&server->deferred, dks_http_exchange_t, deferred_link)
         && dks_http_server_work_left (server) > 0;
}

void
dks_http_exchange_defer (dks_http_exchange_t *exchange)
{
  dks_http_server_t *server = exchange->server;

  MHD_suspend_connection (exchange->connection);
  server->deferred_work += exchange->work;
  dks_http_connection_set_state (exchange->client, DKS_MEMORY_HELD);
  APR_RING_INSERT_TAIL (&server->deferred, exchange, dks_http_exchange_t, deferred_link);
  if (!dks_timer_is_armed (&server->deferred_timer))
    dks_timer_set (dks_loop_timers (server->loop), &server->deferred_timer,
                   dks_loop_now ().mono_us);
}

void
dks_http_exchange_undefer (dks_http_exchange_t *exchange)
{
  exchange->server->deferred_work -= exchange->work;
  APR_RING_REMOVE (exchange, deferred_link);
}

/* Counts what the body holds: sets the memory that decoding takes, as far as the text shows it, and
 * the work. Decoding takes the text itself as values and again as the request that is made of it,
 * and the structures of the parser. */
void
dks_http_exchange_measure (dks_http_exchange_t *exchange)
{
  const uint8_t *end = exchange->body + exchange->body_len;
  size_t bytes = 2 * exchange->body_len;
  size_t values = 0;
  bool quoted = false;

  for (const uint8_t *c = exchange->body; c < end; c++)
    {
      if (*c == '"')
        quoted = !quoted;
      else if (*c == '\\' && quoted)
        c++;
      else if (!quoted && (*c == ',' || *c == ':' || *c == '[' || *c == '{'))
        {
          values++;
          bytes += *c == '{' ? OBJECT_BYTES : *c == '[' ? ARRAY_BYTES : VALUE_BYTES;
        }
    }
  exchange->work =
      (uint32_t)(WORK_REQUEST + WORK_PER_BYTE * exchange->body_len + WORK_VALUE * values);
  exchange->decode_needed_bytes = bytes;
  if (values > VALUES_MAX)
    dks_http_exchange_reject (exchange, 413, "too-large", "the body has too many values");
}

bool
dks_http_exchange_may_wait (const dks_http_exchange_t *exchange)
{
  const dks_http_server_t *server = exchange->server;

  return server->deferred_work == 0
         || server->deferred_work + exchange->work
                <= (uint64_t)server_work_per_turn (server) * DEFERRED_TURNS_MAX;
}

void
dks_http_exchange_grant_read (dks_http_exchange_t *exchange)
{
  dks_http_server_t *server = exchange->server;

  exchange->granted_bytes = server->sizes.pool_bytes;
  dks_http_server_spend_work (server, WORK_PER_BYTE * exchange->granted_bytes);
}

bool
dks_http_exchange_may_read (dks_http_exchange_t *exchange, size_t size)
{
  dks_http_server_t *server = exchange->server;

  if (exchange->granted_bytes > 0)
    {
      exchange->granted_bytes -= size < exchange->granted_bytes ? size : exchange->granted_bytes;
      return true;
    }
  if (!dks_http_server_admits_work (server))
    return false;
  dks_http_server_spend_work (server, WORK_PER_BYTE * size + WORK_VALUE);
  return true;
}
