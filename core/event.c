#include "core/event.h"

#include "common/alloc.h"

#include <stdlib.h>
#include <string.h>

dks_effect_t *
dks_effects_add (dks_effects_t *effects, dks_effect_type_t type)
{
  dks_effect_t *effect;

  if (effects->count == effects->capacity)
    {
      effects->capacity = effects->capacity > 0 ? 2 * effects->capacity : 16;
      effects->items = dks_realloc (effects->items, effects->capacity * sizeof (effects->items[0]));
    }
  effect = &effects->items[effects->count++];
  memset (effect, 0, sizeof (*effect));
  effect->type = type;
  return effect;
}

static void
effect_release (dks_effect_t *effect)
{
  switch (effect->type)
    {
    case DKS_EFFECT_REPLY:
      dks_answer_unref (effect->u.reply.answer);
      break;
    case DKS_EFFECT_PEER_SEND:
      dks_msg_unref (effect->u.peer_send.msg);
      break;
    case DKS_EFFECT_TARGET_SEND:
      dks_blob_unref (effect->u.target_send.payload);
      break;
    case DKS_EFFECT_STORE_CAS:
      dks_blob_unref (effect->u.store.value);
      break;
    case DKS_EFFECT_LEASE_START:
      dks_blob_unref (effect->u.lease.spec);
      break;
    default:
      break;
    }
}

void
dks_effects_clear (dks_effects_t *effects)
{
  for (size_t i = 0; i < effects->count; i++)
    effect_release (&effects->items[i]);
  effects->count = 0;
}

void
dks_effects_destroy (dks_effects_t *effects)
{
  dks_effects_clear (effects);
  free (effects->items);
  *effects = (dks_effects_t){ 0 };
}

const char *
dks_batch_answer_name (dks_batch_answer_t answer)
{
  static const char *const names[] = {
    [DKS_BATCH_COMPLETED] = "completed",     [DKS_BATCH_FAILED] = "failed",
    [DKS_BATCH_RUNNING] = "running",         [DKS_BATCH_CANCELLED] = "cancelled",
    [DKS_BATCH_UNKNOWN_JOB] = "unknown-job", [DKS_BATCH_PENDING] = "pending",
    [DKS_BATCH_NO_QUEUE] = "no-queue",       [DKS_BATCH_INVALID] = "invalid",
    [DKS_BATCH_REFUSED] = "refused",         [DKS_BATCH_LOST] = "lost",
  };

  return (unsigned)answer < sizeof (names) / sizeof (names[0]) && names[answer] != NULL
             ? names[answer]
             : "invalid";
}
