/**
 * Timer service. A component embeds a dks_timer_t, gives it a callback and arms it. The event loop
 * asks for the next deadline and passes the current time to dks_timers_run(). The service reads no
 * clock itself, so it also works in virtual time.
 */
#ifndef DKS_COMMON_TIMER_H
#define DKS_COMMON_TIMER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct dks_timer_t dks_timer_t;
typedef struct dks_timers_t dks_timers_t;

/** Called once when the timer expires; the timer is disarmed before the call. */
typedef void (*dks_timer_func_t) (void *context, int64_t now_us);

struct dks_timer_t
{
  dks_timer_func_t func;
  void *context;
  int64_t deadline_us;  /**< expiry on the event loop's monotonic clock, microseconds */
  uint64_t order;       /**< breaks ties: timers with equal deadlines expire in arming order */
  size_t heap_position; /**< index in the heap plus 1; 0 when disarmed */
};

dks_timers_t *dks_timers_create (void);
/** Frees the service without running callbacks. Timers that are still armed never expire and must
 * not be set or cancelled afterwards. Accepts NULL. */
void dks_timers_destroy (dks_timers_t *timers);
/** Prepares a disarmed timer. */
void dks_timer_init (dks_timer_t *timer, dks_timer_func_t func, void *context);
/** Arms or re-arms `timer` to expire at `deadline_us`. */
void dks_timer_set (dks_timers_t *timers, dks_timer_t *timer, int64_t deadline_us);
/** Disarms `timer`; no effect when it is not armed. */
void dks_timer_cancel (dks_timers_t *timers, dks_timer_t *timer);
bool dks_timer_is_armed (const dks_timer_t *timer);
/** Earliest deadline in microseconds, or INT64_MAX when no timer is armed. */
int64_t dks_timers_next_us (const dks_timers_t *timers);
/** Runs the callbacks of all timers with a deadline at or before `now_us`. */
void dks_timers_run (dks_timers_t *timers, int64_t now_us);

#endif
