/**
 * Event loop of a process: an APR pollset and a timer service. Single-threaded.
 */
#ifndef DKS_NET_LOOP_H
#define DKS_NET_LOOP_H

#include "common/timer.h"
#include "core/types.h"

typedef struct dks_loop_t dks_loop_t;

enum
{
  DKS_LOOP_READ = 1,
  DKS_LOOP_WRITE = 2,
  DKS_LOOP_ERROR = 4 /**< error or hang-up; reported, but never requested */
};

/** Called when a watched descriptor is ready; `events` is a mask of DKS_LOOP_*. */
typedef void (*dks_loop_func_t) (void *context, int fd, int events);

dks_loop_t *dks_loop_create (void);
void dks_loop_destroy (dks_loop_t *loop);
/** Watches `fd` for `events`; a second call for the same descriptor replaces the first. If `events`
 * is 0, the watch stops, which must happen before the descriptor is closed. Returns 0 or
 * DKS_ERR_IO. */
int dks_loop_watch (dks_loop_t *loop, int fd, int events, dks_loop_func_t func, void *context);
/** Timer service on this loop's monotonic clock. */
dks_timers_t *dks_loop_timers (dks_loop_t *loop);
/** Current time of both clocks. */
dks_time_t dks_loop_now (void);
/** Sets the function that is called at the end of every turn, after all callbacks of descriptors
 * and timers, and in a turn with many ready descriptors now and then between their callbacks. A
 * loop has one such function; a second call replaces it. */
void dks_loop_set_turn_end (dks_loop_t *loop, void (*func) (void *context), void *context);
/** Monotonic time at which the latest turn had the descriptors polled: what arrived before has been
 * handled, or is being handled in this turn. */
int64_t dks_loop_polled_us (const dks_loop_t *loop);
/** Number of the present turn; the first is 1. */
uint64_t dks_loop_turn_number (const dks_loop_t *loop);
/** Runs until dks_loop_stop() is called. */
void dks_loop_run (dks_loop_t *loop);
/** Runs one turn and waits at most `wait_us` microseconds. For tests. */
void dks_loop_turn (dks_loop_t *loop, int64_t wait_us);
void dks_loop_stop (dks_loop_t *loop);

#endif
