#include "core/target.h"

#include "common/alloc.h"
#include "core/view.h"

#include <stdlib.h>
#include <string.h>

#define TARGET_HASH_SEED UINT64_C (0x746172)

enum
{
  EJECT_MIN_US = 1000000,  /* first ejection, without jitter; each further one is twice as long */
  EJECT_MAX_US = 60000000, /* longest ejection, without jitter */
  PAUSE_MAX_US = 3000000,  /* longest wait for two target lists after this process was paused */
  /* Time without new attempts after a refusal, which shows that a slot is in use that this instance
   * does not know of. Most tasks take longer to end. */
  FULL_PAUSE_US = 50000
};

dks_targets_t *
dks_targets_create (void)
{
  dks_targets_t *targets = dks_alloc (sizeof (*targets));

  APR_RING_INIT (&targets->ring, dks_target_t, link);
  return targets;
}

dks_target_t *
dks_target_ref (dks_target_t *target)
{
  target->refs++;
  return target;
}

void
dks_target_unref (dks_target_t *target)
{
  if (target != NULL && --target->refs == 0)
    free (target);
}

static void
targets_remove (dks_targets_t *targets, dks_target_t *target)
{
  APR_RING_REMOVE (target, link);
  targets->count--;
  dks_target_unref (target);
}

void
dks_targets_destroy (dks_targets_t *targets)
{
  if (targets == NULL)
    return;
  while (!APR_RING_EMPTY (&targets->ring, dks_target_t, link))
    targets_remove (targets, APR_RING_FIRST (&targets->ring));
  free (targets);
}

static dks_target_t *
targets_find (dks_targets_t *targets, const char *id)
{
  dks_target_t *target;

  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      if (strcmp (target->listed.id, id) == 0)
        return target;
    }
  return NULL;
}

void
dks_targets_pause (dks_targets_t *targets, int64_t now_us)
{
  targets->paused_until_us = now_us + PAUSE_MAX_US;
  targets->paused_lists = 2;
}

void
dks_targets_update (dks_targets_t *targets, const dks_listed_instance_t *items, size_t count,
                    const char *data_centre)
{
  dks_target_t *target;
  dks_target_t *next;

  if (targets->paused_lists > 0 && --targets->paused_lists == 0)
    targets->paused_until_us = 0;
  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      target->is_listed = false;
    }
  for (size_t i = 0; i < count; i++)
    {
      if (!items[i].is_target || strcmp (items[i].data_centre, data_centre) != 0)
        continue;
      target = targets_find (targets, items[i].id);
      /* A target that returns under its old id at another address is a new process. */
      if (target != NULL && strcmp (target->listed.address, items[i].address) != 0)
        {
          targets_remove (targets, target);
          target = NULL;
        }
      if (target == NULL)
        {
          target = dks_alloc (sizeof (*target));
          target->refs = 1;
          APR_RING_INSERT_TAIL (&targets->ring, target, dks_target_t, link);
          targets->count++;
        }
      target->listed = items[i];
      target->is_listed = true;
      if (target->listed_leaving && !items[i].leaving)
        target->is_leaving = false;
      target->listed_leaving = items[i].leaving;
      target->is_leaving = target->is_leaving || items[i].leaving;
    }
  for (target = APR_RING_FIRST (&targets->ring);
       target != APR_RING_SENTINEL (&targets->ring, dks_target_t, link); target = next)
    {
      next = APR_RING_NEXT (target, link);
      if (!target->is_listed && target->used_slots == 0)
        targets_remove (targets, target);
    }
}

void
dks_targets_assign (dks_targets_t *targets, const char *self, const char *const *members,
                    size_t member_count)
{
  dks_target_t *target;

  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      uint64_t hash = dks_view_score (target->listed.id, TARGET_HASH_SEED);
      uint64_t best_score = 0;
      const char *best = NULL;

      for (size_t i = 0; i < member_count; i++)
        {
          uint64_t score = dks_view_score (members[i], hash);
          if (best == NULL || score > best_score)
            {
              best = members[i];
              best_score = score;
            }
        }
      target->is_own = best != NULL && strcmp (best, self) == 0;
    }
}

static bool
is_usable (const dks_target_t *target)
{
  return target->is_own && target->is_listed && !target->is_leaving;
}

/* Slots that may be used at `now_us`, including those that attempts under way use. */
static uint32_t
usable_slots (const dks_targets_t *targets, const dks_target_t *target, int64_t now_us)
{
  if (!is_usable (target) || targets->paused_until_us > now_us || target->ejected_until_us > now_us)
    return 0;
  if (target->full_until_us > now_us)
    return target->used_slots;
  if (target->ejected_until_us > 0)
    return 1; /* the ejection has ended: one attempt at a time until one succeeds */
  return target->listed.slots;
}

static uint32_t
free_slots (const dks_targets_t *targets, const dks_target_t *target, int64_t now_us)
{
  uint32_t slots = usable_slots (targets, target, now_us);

  return slots > target->used_slots ? slots - target->used_slots : 0;
}

uint32_t
dks_targets_free_slots (const dks_targets_t *targets, int64_t now_us)
{
  const dks_target_t *target;
  uint32_t sum = 0;

  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      sum += free_slots (targets, target, now_us);
    }
  return sum;
}

uint32_t
dks_targets_capacity (const dks_targets_t *targets, int64_t now_us)
{
  const dks_target_t *target;
  uint32_t sum = 0;

  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      sum += usable_slots (targets, target, now_us);
    }
  return sum;
}

static const char *
lacking_resource (const dks_listed_instance_t *listed, const dks_task_spec_t *spec)
{
  if (spec->cpus > listed->cpus)
    return "cpus";
  if (spec->memory_mb > listed->memory_mb)
    return "memory_mb";
  if (spec->accelerators > listed->accelerators)
    return "accelerators";
  return NULL;
}

dks_target_t *
dks_targets_pick (dks_targets_t *targets, const dks_task_spec_t *spec, const dks_target_t *except,
                  int64_t now_us)
{
  dks_target_t *target;
  dks_target_t *best = NULL;
  uint32_t best_free = 0;

  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      uint32_t slots = free_slots (targets, target, now_us);

      if (slots == 0 || target == except || lacking_resource (&target->listed, spec) != NULL)
        continue;
      /* A target whose ejection has ended is probed first; at low load it would otherwise never get
       * the attempt that returns it to rotation. */
      if (target->ejected_until_us > 0)
        return target;
      if (slots > best_free)
        {
          best = target;
          best_free = slots;
        }
    }
  return best;
}

bool
dks_targets_can_fit (const dks_targets_t *targets, const dks_task_spec_t *spec,
                     const char **resource)
{
  const dks_target_t *target;

  *resource = NULL;
  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      const char *lacking = lacking_resource (&target->listed, spec);
      if (lacking == NULL)
        return true;
      *resource = lacking;
    }
  return *resource == NULL;
}

void
dks_target_start_attempt (dks_target_t *target)
{
  target->used_slots++;
}

static bool
may_eject (const dks_targets_t *targets, int64_t now_us)
{
  const dks_target_t *target;
  uint32_t usable = 0;
  uint32_t ejected = 0;

  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      if (!is_usable (target))
        continue;
      usable++;
      if (target->ejected_until_us > now_us)
        ejected++;
    }
  return 2 * (ejected + 1) <= usable;
}

dks_target_change_t
dks_target_finish_attempt (dks_targets_t *targets, dks_target_t *target,
                           dks_attempt_status_t status, uint32_t eject_failures, int64_t now_us,
                           uint64_t random)
{
  bool was_ejected = target->ejected_until_us > 0;

  target->used_slots--;
  if (status == DKS_ATTEMPT_OK)
    {
      target->failures = 0;
      target->ejected_until_us = 0;
      target->backoff_us = 0;
      return DKS_TARGET_UNCHANGED;
    }
  if (status == DKS_ATTEMPT_NOT_STARTED)
    target->full_until_us = now_us + FULL_PAUSE_US;
  target->failures++;
  if (status != DKS_ATTEMPT_LOST && target->failures < eject_failures && !was_ejected)
    return DKS_TARGET_UNCHANGED;
  if (target->ejected_until_us > now_us || (!was_ejected && !may_eject (targets, now_us)))
    return DKS_TARGET_UNCHANGED;
  target->backoff_us = target->backoff_us > 0 ? 2 * target->backoff_us : EJECT_MIN_US;
  if (target->backoff_us > EJECT_MAX_US)
    target->backoff_us = EJECT_MAX_US;
  target->ejected_until_us =
      now_us + target->backoff_us + (int64_t)(random % (uint64_t)(target->backoff_us / 4));
  return DKS_TARGET_EJECTED;
}

int64_t
dks_targets_next_return_us (const dks_targets_t *targets, int64_t now_us)
{
  const dks_target_t *target;
  int64_t next_us = targets->paused_until_us > now_us ? targets->paused_until_us : INT64_MAX;

  APR_RING_FOREACH (target, &targets->ring, dks_target_t, link)
    {
      if (!is_usable (target))
        continue;
      if (target->ejected_until_us > now_us && target->ejected_until_us < next_us)
        next_us = target->ejected_until_us;
      if (target->full_until_us > now_us && target->full_until_us < next_us)
        next_us = target->full_until_us;
    }
  return next_us;
}
