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
  POLLSET_SIZE = 16384, /* callers, targets and peers of one process */
  MAX_WAIT_US = 1000000
};

typedef struct
{
  apr_socket_t *socket;
  dks_loop_func_t func;
  void *context;
  int events;
} watch_t;

struct dks_loop_t
{
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  dks_timers_t *timers;
  watch_t *watches; /* indexed by descriptor */
  int watch_count;
  void (*turn_end) (void *context);
  void *turn_end_context;
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
  if (status != APR_SUCCESS)
    status = apr_pollset_create (&loop->pollset, POLLSET_SIZE, loop->pool, 0);
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
  apr_pool_destroy (loop->pool);
  dks_timers_destroy (loop->timers);
  free (loop->watches);
  free (loop);
  apr_terminate ();
}

static void
watches_reserve (dks_loop_t *loop, int fd)
{
  int count = loop->watch_count > 0 ? loop->watch_count : 64;

  if (fd < loop->watch_count)
    return;
  while (count <= fd)
    count *= 2;
  loop->watches = dks_realloc (loop->watches, (size_t)count * sizeof (loop->watches[0]));
  for (int i = loop->watch_count; i < count; i++)
    loop->watches[i] = (watch_t){ 0 };
  loop->watch_count = count;
}

static apr_pollfd_t
watch_pollfd (dks_loop_t *loop, int fd, int events)
{
  apr_pollfd_t pollfd = { .p = loop->pool, .desc_type = APR_POLL_SOCKET };

  pollfd.reqevents = (apr_int16_t)((events & DKS_LOOP_READ ? APR_POLLIN : 0)
                                   | (events & DKS_LOOP_WRITE ? APR_POLLOUT : 0));
  pollfd.desc.s = loop->watches[fd].socket;
  pollfd.client_data = (void *)(intptr_t)fd; // NOLINT(performance-no-int-to-ptr)
  return pollfd;
}

int
dks_loop_watch (dks_loop_t *loop, int fd, int events, dks_loop_func_t func, void *context)
{
  watch_t *watch;
  apr_pollfd_t pollfd;

  watches_reserve (loop, fd);
  watch = &loop->watches[fd];
  /* The APR wrapper of a descriptor is kept for the next descriptor with the same number: APR
   * frees it only with the pool. */
  if (watch->socket == NULL && apr_os_sock_put (&watch->socket, &fd, loop->pool) != APR_SUCCESS)
    return DKS_ERR_IO;
  if (watch->events != 0 && watch->events != events)
    {
      pollfd = watch_pollfd (loop, fd, watch->events);
      apr_pollset_remove (loop->pollset, &pollfd);
    }
  if (events != 0 && watch->events != events)
    {
      pollfd = watch_pollfd (loop, fd, events);
      if (apr_pollset_add (loop->pollset, &pollfd) != APR_SUCCESS)
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

  /* CLOCK_BOOTTIME includes suspension, so that a paused process sees the pause. */
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
loop_events (apr_int16_t rtnevents)
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
  const watch_t *watch = &loop->watches[fd];

  /* An earlier callback of this turn may have stopped the watch. */
  if (watch->events == 0)
    return;
  watch->func (watch->context, fd, loop_events (ready->rtnevents));
}

void
dks_loop_turn (dks_loop_t *loop, int64_t wait_us)
{
  int64_t until_timer = dks_timers_next (loop->timers);
  const apr_pollfd_t *ready = NULL;
  apr_int32_t count = 0;

  if (until_timer != INT64_MAX)
    until_timer -= dks_loop_now ().mono_us;
  if (until_timer < wait_us)
    wait_us = until_timer > 0 ? until_timer : 0;
  /* APR rounds the wait down to milliseconds; rounding up avoids spinning before a deadline. */
  wait_us = (wait_us + 999) / 1000 * 1000;
  if (apr_pollset_poll (loop->pollset, wait_us, &count, &ready) == APR_SUCCESS)
    {
      for (apr_int32_t i = 0; i < count; i++)
        dispatch (loop, &ready[i]);
    }
  dks_timers_run (loop->timers, dks_loop_now ().mono_us);
  if (loop->turn_end != NULL)
    loop->turn_end (loop->turn_end_context);
}

void
dks_loop_run (dks_loop_t *loop)
{
  loop->running = true;
  while (loop->running)
    dks_loop_turn (loop, MAX_WAIT_US);
}

void
dks_loop_stop (dks_loop_t *loop)
{
  loop->running = false;
}
