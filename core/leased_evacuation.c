#include "core/leased.h"

#include "common/alloc.h"

#include <inttypes.h>
#include <string.h>

/* Position of the data centre; `count` when it is not contained. */
static uint32_t
find (const dks_leased_evacuations_t *evacuations, const char *data_centre)
{
  uint32_t i = 0;

  while (i < evacuations->count && strcmp (evacuations->names[i], data_centre) != 0)
    i++;
  return i;
}

static bool
contains (const dks_leased_evacuations_t *evacuations, const char *data_centre)
{
  return find (evacuations, data_centre) < evacuations->count;
}

static void
add (dks_leased_t *leased, dks_leased_evacuations_t *evacuations, const char *data_centre)
{
  if (contains (evacuations, data_centre))
    return;
  if (evacuations->count == DKS_EVACUATIONS_MAX)
    {
      dks_emit_log (leased->r, DKS_LOG_WARNING, "event=evacuation-ignored data_centre=%s max=%d",
                    data_centre, DKS_EVACUATIONS_MAX);
      return;
    }
  dks_strcpy (evacuations->names[evacuations->count], DKS_NAME_SIZE, data_centre);
  evacuations->count++;
}

static void
remove_name (dks_leased_evacuations_t *evacuations, const char *data_centre)
{
  uint32_t i = find (evacuations, data_centre);

  if (i == evacuations->count)
    return;
  evacuations->count--;
  memmove (evacuations->names[i], evacuations->names[i + 1],
           (evacuations->count - i) * sizeof (evacuations->names[0]));
}

bool
dks_leased_evacuation_is_known (const dks_leased_t *leased)
{
  return leased->evacuations.revision > 0;
}

bool
dks_leased_evacuation_covers (const dks_leased_t *leased, const char *data_centre)
{
  return contains (&leased->evacuations, data_centre);
}

/* Leaders of the data centre report free capacity until they know of its evacuation. */
static void
forget_free_capacity (dks_leased_t *leased, const char *data_centre)
{
  dks_leased_peer_t *peer;

  APR_RING_FOREACH (peer, &leased->peers, dks_leased_peer_t, link)
    {
      if (strcmp (peer->data_centre, data_centre) != 0)
        continue;
      peer->free_tasks = 0;
      peer->free_fast_tasks = 0;
    }
}

/* The targets may have been restarted, so that they are slow at first. */
static void
forget_slowness (dks_leased_t *leased, const char *data_centre)
{
  dks_leased_target_t *target;

  APR_RING_FOREACH (target, &leased->targets, dks_leased_target_t, link)
    {
      if (strcmp (target->info.data_centre, data_centre) == 0)
        dks_leased_target_forget_slowness (target);
    }
}

/* Puts the evacuations in force if they are newer than those in force. */
static void
apply (dks_leased_t *leased, const dks_leased_evacuations_t *evacuations, const char *source)
{
  const dks_leased_evacuations_t earlier = leased->evacuations;
  bool has_changed = false;

  if (evacuations->revision <= earlier.revision)
    return;
  leased->evacuations = *evacuations;
  for (uint32_t i = 0; i < evacuations->count; i++)
    {
      if (contains (&earlier, evacuations->names[i]))
        continue;
      dks_emit_log (leased->r, DKS_LOG_NOTICE,
                    "event=evacuation-began data_centre=%s revision=%" PRId64 " source=%s",
                    evacuations->names[i], evacuations->revision, source);
      forget_free_capacity (leased, evacuations->names[i]);
      has_changed = true;
    }
  for (uint32_t i = 0; i < earlier.count; i++)
    {
      if (contains (evacuations, earlier.names[i]))
        continue;
      dks_emit_log (leased->r, DKS_LOG_NOTICE,
                    "event=evacuation-ended data_centre=%s revision=%" PRId64 " source=%s",
                    earlier.names[i], evacuations->revision, source);
      forget_slowness (leased, earlier.names[i]);
      has_changed = true;
    }
  if (!has_changed)
    return;
  leased->placement_due = true;
  dks_leased_members_notify_leaders (leased);
}

void
dks_leased_evacuation_begin_read (dks_leased_t *leased)
{
  leased->evacuations_draft = (dks_leased_evacuations_t){ 0 };
}

void
dks_leased_evacuation_begin_changes (dks_leased_t *leased)
{
  leased->evacuations_draft = leased->evacuations;
}

void
dks_leased_evacuation_add_item (dks_leased_t *leased, const dks_feed_item_t *item)
{
  if (item->deleted)
    remove_name (&leased->evacuations_draft, item->data_centre);
  else
    add (leased, &leased->evacuations_draft, item->data_centre);
}

void
dks_leased_evacuation_apply_items (dks_leased_t *leased, int64_t revision)
{
  leased->evacuations_draft.revision = revision;
  apply (leased, &leased->evacuations_draft, "platform");
}

void
dks_leased_evacuation_handle_status (dks_leased_t *leased, const dks_leased_peer_t *peer,
                                     const dks_msg_t *msg)
{
  int64_t revision = msg->u.leased_status.evacuations_revision;
  dks_leased_evacuations_t stated = { 0 };

  if (revision <= leased->evacuations.revision)
    return;
  /* The revision rises with each report of a target. */
  if (msg->u.leased_status.evacuated_count == 0 && leased->evacuations.count == 0)
    {
      leased->evacuations.revision = revision;
      return;
    }
  stated.revision = revision;
  for (uint32_t i = 0; i < msg->u.leased_status.evacuated_count; i++)
    add (leased, &stated, msg->u.leased_status.evacuated[i]);
  apply (leased, &stated, peer->id);
}

void
dks_leased_evacuation_state (const dks_leased_t *leased, dks_msg_t *msg)
{
  const dks_leased_evacuations_t *evacuations = &leased->evacuations;

  msg->u.leased_status.evacuations_revision = evacuations->revision;
  if (evacuations->count == 0)
    return;
  msg->u.leased_status.evacuated_count = evacuations->count;
  msg->u.leased_status.evacuated = dks_alloc (evacuations->count * sizeof (evacuations->names[0]));
  memcpy (msg->u.leased_status.evacuated, evacuations->names,
          evacuations->count * sizeof (evacuations->names[0]));
}
