#include "net/loop.h"

#include "common/alloc.h"
#include "common/error.h"

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <errno.h>
#include <stdlib.h>
#include <time.h>

enum
{
  POLLSET_SIZE = 16384, /* descriptors: connections of one process to callers, targets and peers */
  TURN_WAIT_MAX_US = 1000000, /* longest wait of one turn */
  /* Ready descriptors after which the end of the turn is due, which passes messages to other
   * instances on: on a slow machine they must not wait for the work on all connections. */
  TURN_DESCRIPTORS_MAX = 16
};

/* A watched descriptor. Each watch is allocated on its own, because the pollset keeps the address
 * of `pollfd`: with APR_POLLSET_NOCOPY the cost of a removal does not depend on the number of
 * descriptors. */
typedef struct
{
  apr_pollfd_t pollfd;
  dks_loop_func_t func;
  void *context;
  int events;
} watch_t;

struct dks_loop_t
{
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  dks_timers_t *timers;
  watch_t **watches; /* indexed by descriptor; NULL for one that was never watched */
  int watch_count;
  void (*turn_end) (void *context);
  void *turn_end_context;
  int64_t polled_us;
  uint64_t turn_number;
  bool running;
};

dks_loop_t *
dks_loop_create (void)
{
  dks_loop_t *loop = dks_alloc (sizeof (*loop));
  apr_status_t status;

  status = apr_initialize ();
  DKS_INVARIANT (status == APR_SUCCESS);
  status = apr_pool_create (&loop->pool, NULL);
  DKS_INVARIANT (status == APR_SUCCESS);
  status = apr_pollset_create (&loop->pollset, POLLSET_SIZE, loop->pool,
                               APR_POLLSET_NOCOPY | APR_POLLSET_NODEFAULT);
  DKS_INVARIANT (status == APR_SUCCESS);
  loop->timers = dks_timers_create ();
  return loop;
}

void
dks_loop_destroy (dks_loop_t *loop)
{
  if (loop == NULL)
    return;
  apr_pollset_destroy (loop->pollset);
  for (int i = 0; i < loop->watch_count; i++)
    free (loop->watches[i]);
  apr_pool_destroy (loop->pool);
  dks_timers_destroy (loop->timers);
  free (loop->watches);
  free (loop);
  apr_terminate ();
}

static watch_t *
watch_get (dks_loop_t *loop, int fd)
{
  int count = loop->watch_count > 0 ? loop->watch_count : 64;
  watch_t *watch;

  if (fd >= loop->watch_count)
    {
      while (count <= fd)
        count *= 2;
      loop->watches = dks_realloc (loop->watches, (size_t)count * sizeof (*loop->watches));
      for (int i = loop->watch_count; i < count; i++)
        loop->watches[i] = NULL;
      loop->watch_count = count;
    }
  if (loop->watches[fd] != NULL)
    return loop->watches[fd];
  /* The watch and its APR socket are kept and reused for the next descriptor with the same number,
   * since APR frees the socket only with the pool. */
  watch = dks_alloc (sizeof (*watch));
  watch->pollfd = (apr_pollfd_t){ .p = loop->pool, .desc_type = APR_POLL_SOCKET };
  watch->pollfd.client_data = (void *)(intptr_t)fd; // NOLINT(performance-no-int-to-ptr)
  if (apr_os_sock_put (&watch->pollfd.desc.s, &fd, loop->pool) != APR_SUCCESS)
    {
      free (watch);
      return NULL;
    }
  loop->watches[fd] = watch;
  return watch;
}

int
dks_loop_watch (dks_loop_t *loop, int fd, int events, dks_loop_func_t func, void *context)
{
  watch_t *watch = watch_get (loop, fd);

  if (watch == NULL)
    return DKS_ERR_IO;
  if (watch->events != 0 && watch->events != events)
    apr_pollset_remove (loop->pollset, &watch->pollfd);
  if (events != 0 && watch->events != events)
    {
      watch->pollfd.reqevents = (apr_int16_t)((events & DKS_LOOP_READ ? APR_POLLIN : 0)
                                              | (events & DKS_LOOP_WRITE ? APR_POLLOUT : 0));
      if (apr_pollset_add (loop->pollset, &watch->pollfd) != APR_SUCCESS)
        {
          watch->events = 0;
          return DKS_ERR_IO;
        }
    }
  watch->events = events;
  watch->func = func;
  watch->context = context;
  return DKS_OK;
}

dks_timers_t *
dks_loop_timers (dks_loop_t *loop)
{
  return loop->timers;
}

dks_time_t
dks_loop_now (void)
{
  struct timespec mono;
  struct timespec wall;

  /* CLOCK_BOOTTIME advances during suspension, so that the process detects that it was paused. */
  clock_gettime (CLOCK_BOOTTIME, &mono);
  clock_gettime (CLOCK_REALTIME, &wall);
  return (dks_time_t){
    .mono_us = (int64_t)mono.tv_sec * 1000000 + mono.tv_nsec / 1000,
    .wall_ms = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000,
  };
}

void
dks_loop_set_turn_end (dks_loop_t *loop, void (*func) (void *context), void *context)
{
  loop->turn_end = func;
  loop->turn_end_context = context;
}

static int
events_from_apr (apr_int16_t rtnevents)
{
  int events = 0;

  if (rtnevents & APR_POLLIN)
    events |= DKS_LOOP_READ;
  if (rtnevents & APR_POLLOUT)
    events |= DKS_LOOP_WRITE;
  if (rtnevents & (APR_POLLERR | APR_POLLHUP | APR_POLLNVAL))
    events |= DKS_LOOP_ERROR;
  return events;
}

static void
dispatch (dks_loop_t *loop, const apr_pollfd_t *ready)
{
  int fd = (int)(intptr_t)ready->client_data;
  const watch_t *watch = loop->watches[fd];

  /* An earlier callback of this turn may have stopped the watch. */
  if (watch->events == 0)
    return;
  watch->func (watch->context, fd, events_from_apr (ready->rtnevents));
}

static void
call_turn_end (dks_loop_t *loop)
{
  if (loop->turn_end != NULL)
    loop->turn_end (loop->turn_end_context);
}

void
dks_loop_turn (dks_loop_t *loop, int64_t wait_us)
{
  int64_t until_timer_us = dks_timers_next_us (loop->timers);
  const apr_pollfd_t *ready = NULL;
  apr_int32_t count = 0;
  apr_status_t status;

  loop->turn_number++;
  if (until_timer_us != INT64_MAX)
    until_timer_us -= dks_loop_now ().mono_us;
  if (until_timer_us < wait_us)
    wait_us = until_timer_us > 0 ? until_timer_us : 0;
  /* APR rounds the wait down to milliseconds. Rounding up avoids a busy loop in the last
   * millisecond before a timer is due. */
  wait_us = (wait_us + 999) / 1000 * 1000;
  status = apr_pollset_poll (loop->pollset, wait_us, &count, &ready);
  loop->polled_us = dks_loop_now ().mono_us;
  if (status == APR_SUCCESS)
    {
      for (apr_int32_t i = 0; i < count; i++)
        {
          dispatch (loop, &ready[i]);
          if ((i + 1) % TURN_DESCRIPTORS_MAX == 0)
            call_turn_end (loop);
        }
    }
  dks_timers_run (loop->timers, dks_loop_now ().mono_us);
  call_turn_end (loop);
}

int64_t
dks_loop_polled_us (const dks_loop_t *loop)
{
  return loop->polled_us;
}

uint64_t
dks_loop_turn_number (const dks_loop_t *loop)
{
  return loop->turn_number;
}

void
dks_loop_run (dks_loop_t *loop)
{
  loop->running = true;
  while (loop->running)
    dks_loop_turn (loop, TURN_WAIT_MAX_US);
}

void
dks_loop_stop (dks_loop_t *loop)
{
  loop->running = false;
}
