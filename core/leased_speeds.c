#include "core/leased.h"

#include "common/alloc.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum
{
  /* A leader publishes averages to its data centre this often; a successor may lack the samples of
     one interval. */
  PUBLISH_INTERVAL_US = 1000000,
  /* Targets, and as many queues, in one message; the rest follow in the next. */
  MESSAGE_ENTRIES_MAX = 512,
};

#define PUBLISH_MIN_CHANGE 0.05 /* least relative change of an average that is published */

/* Whether the average has changed enough, or has twice the samples, since it was last published. */
static bool
needs_publishing (double value, uint32_t samples, const dks_leased_published_t *published)
{
  if (samples == 0)
    return false;
  return samples >= 2 * published->samples
         || fabs (value - published->value) > PUBLISH_MIN_CHANGE * published->value;
}

static void
add_targets (dks_leased_t *leased, dks_msg_t *msg)
{
  dks_leased_target_t *target;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      dks_target_speed_t *to = &msg->u.speeds.targets[msg->u.speeds.target_count];

      if (msg->u.speeds.target_count == MESSAGE_ENTRIES_MAX)
        return;
      if (!target->held
          || !needs_publishing (target->slowness, target->slowness_samples,
                                &target->published_slowness))
        continue;
      target->published_slowness = (dks_leased_published_t){ .value = target->slowness,
                                                             .samples = target->slowness_samples };
      dks_strcpy (to->id, sizeof (to->id), target->info.id);
      to->incarnation_ms = target->incarnation_ms;
      to->slowness_milli = (uint32_t)(1000 * target->slowness);
      to->samples = target->slowness_samples;
      msg->u.speeds.target_count++;
    }
}

static void
add_queues (dks_leased_t *leased, dks_msg_t *msg)
{
  dks_leased_queue_t *queue;

  APR_RING_FOREACH (queue, &leased->queues, dks_leased_queue_t, link)
    {
      dks_queue_run_time_t *to = &msg->u.speeds.queues[msg->u.speeds.queue_count];
      double run_us = exp (queue->mean_log_run_us);

      if (msg->u.speeds.queue_count == MESSAGE_ENTRIES_MAX)
        return;
      if (!needs_publishing (run_us, queue->samples, &queue->published_run_us))
        continue;
      queue->published_run_us =
          (dks_leased_published_t){ .value = run_us, .samples = queue->samples };
      dks_strcpy (to->name, sizeof (to->name), queue->name);
      to->mean_run_us = (int64_t)run_us;
      to->samples = queue->samples;
      msg->u.speeds.queue_count++;
    }
}

static void
handle_publish_timer (void *context, int64_t time_us)
{
  dks_leased_t *leased = context;
  dks_leased_peer_t *peer;
  dks_msg_t *msg;

  dks_timer_set (leased->r->timers, &leased->publish_timer, time_us + PUBLISH_INTERVAL_US);
  if (leased->term == 0)
    return;
  dks_leased_share_all (leased);
  msg = dks_msg_create (DKS_MSG_SPEEDS);
  msg->u.speeds.targets = dks_alloc ((MESSAGE_ENTRIES_MAX + 1) * sizeof (msg->u.speeds.targets[0]));
  msg->u.speeds.queues = dks_alloc ((MESSAGE_ENTRIES_MAX + 1) * sizeof (msg->u.speeds.queues[0]));
  add_targets (leased, msg);
  add_queues (leased, msg);
  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (msg->u.speeds.target_count + msg->u.speeds.queue_count > 0
          && strcmp (peer->data_centre, leased->r->config.data_centre) == 0
          && dks_leased_peer_is_alive (leased, peer))
        dks_emit_peer (leased->r, peer->id, dks_msg_ref (msg));
    }
  dks_msg_unref (msg);
}

void
dks_leased_speeds_publish_all (dks_leased_t *leased)
{
  dks_leased_target_t *target;
  dks_leased_queue_t *queue;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    target->published_slowness.samples = 0;
  APR_RING_FOREACH (queue, &leased->queues, dks_leased_queue_t, link)
    queue->published_run_us.samples = 0;
}

void
dks_leased_speeds_handle_msg (dks_leased_t *leased, const dks_msg_t *msg)
{
  if (leased->term > 0)
    return;
  for (uint32_t i = 0; i < msg->u.speeds.target_count; i++)
    {
      const dks_target_speed_t *from = &msg->u.speeds.targets[i];
      dks_leased_target_t *target =
          apr_hash_get (leased->targets_by_id, from->id, APR_HASH_KEY_STRING);

      if (target == NULL)
        continue;
      target->incarnation_ms = from->incarnation_ms;
      target->slowness = from->slowness_milli / 1000.0;
      target->slowness_samples = from->samples;
    }
  for (uint32_t i = 0; i < msg->u.speeds.queue_count; i++)
    {
      const dks_queue_run_time_t *from = &msg->u.speeds.queues[i];

      dks_leased_estimate_put (leased, from->name, log ((double)from->mean_run_us), from->samples);
    }
}

void
dks_leased_speeds_init (dks_leased_t *leased)
{
  dks_timer_init (&leased->publish_timer, handle_publish_timer, leased);
  dks_timer_set (leased->r->timers, &leased->publish_timer,
                 dks_leased_now_us (leased) + PUBLISH_INTERVAL_US);
}

void
dks_leased_speeds_clear (dks_leased_t *leased)
{
  dks_timer_cancel (leased->r->timers, &leased->publish_timer);
}
