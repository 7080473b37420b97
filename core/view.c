#include "core/view.h"

#include "common/alloc.h"
#include "common/error.h"
#include "common/hash.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define SHARD_HASH_SEED UINT64_C (0x7368617264)

static json_t *
member_to_json (const dks_view_member_t *member)
{
  return json_pack ("{s:s, s:s, s:I, s:b}", "id", member->id, "address", member->address,
                    "ceiling_ms", (json_int_t)member->ceiling_ms, "leaving", (int)member->leaving);
}

static json_t *
shard_to_json (const dks_view_shard_t *shard)
{
  return json_pack ("{s:I, s:s, s:s, s:I}", "epoch", (json_int_t)shard->epoch, "owner",
                    shard->owner, "backup", shard->backup, "floor_ms", (json_int_t)shard->floor_ms);
}

dks_blob_t *
dks_view_format (const dks_view_t *view)
{
  json_t *members = json_array ();
  json_t *former = json_array ();
  json_t *shards = json_array ();
  json_t *root;
  char *text;
  dks_blob_t *blob;

  for (uint32_t i = 0; i < view->member_count; i++)
    json_array_append_new (members, member_to_json (&view->members[i]));
  for (uint32_t i = 0; i < view->former_count; i++)
    json_array_append_new (former, member_to_json (&view->former[i]));
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    json_array_append_new (shards, shard_to_json (&view->shards[i]));
  root = json_pack ("{s:o, s:o, s:o}", "members", members, "former", former, "shards", shards);
  text = json_dumps (root, JSON_COMPACT);
  DKS_INVARIANT (text != NULL);
  blob = dks_blob_create_text (text);
  free (text);
  json_decref (root);
  return blob;
}

static int
member_from_json (json_t *json, dks_view_member_t *member)
{
  const char *id;
  const char *address;
  json_int_t ceiling_ms;
  int leaving;

  if (json_unpack (json, "{s:s, s:s, s:I, s:b !}", "id", &id, "address", &address, "ceiling_ms",
                   &ceiling_ms, "leaving", &leaving)
      != 0)
    return DKS_ERR_INVALID;
  if (dks_strcpy (member->id, sizeof (member->id), id) != DKS_OK
      || dks_strcpy (member->address, sizeof (member->address), address) != DKS_OK)
    return DKS_ERR_INVALID;
  member->ceiling_ms = ceiling_ms;
  member->leaving = leaving != 0;
  return DKS_OK;
}

static int
shard_from_json (json_t *json, dks_view_shard_t *shard)
{
  const char *owner;
  const char *backup;
  json_int_t epoch;
  json_int_t floor_ms;

  if (json_unpack (json, "{s:I, s:s, s:s, s:I !}", "epoch", &epoch, "owner", &owner, "backup",
                   &backup, "floor_ms", &floor_ms)
      != 0)
    return DKS_ERR_INVALID;
  if (dks_strcpy (shard->owner, sizeof (shard->owner), owner) != DKS_OK
      || dks_strcpy (shard->backup, sizeof (shard->backup), backup) != DKS_OK)
    return DKS_ERR_INVALID;
  shard->epoch = (uint64_t)epoch;
  shard->floor_ms = floor_ms;
  return DKS_OK;
}

static int
members_from_json (json_t *json, dks_view_member_t *members, size_t max, uint32_t *count)
{
  if (!json_is_array (json) || json_array_size (json) > max)
    return DKS_ERR_INVALID;
  for (size_t i = 0; i < json_array_size (json); i++)
    {
      if (member_from_json (json_array_get (json, i), &members[i]) != DKS_OK)
        return DKS_ERR_INVALID;
    }
  *count = (uint32_t)json_array_size (json);
  return DKS_OK;
}

static int
shards_from_json (json_t *json, dks_view_shard_t *shards)
{
  if (!json_is_array (json) || json_array_size (json) != DKS_SHARDS)
    return DKS_ERR_INVALID;
  for (size_t i = 0; i < DKS_SHARDS; i++)
    {
      if (shard_from_json (json_array_get (json, i), &shards[i]) != DKS_OK)
        return DKS_ERR_INVALID;
    }
  return DKS_OK;
}

int
dks_view_parse (const char *json, size_t len, int64_t version, dks_view_t *view)
{
  json_t *root = json_loadb (json, len, JSON_REJECT_DUPLICATES, NULL);
  int result;

  memset (view, 0, sizeof (*view));
  view->version = version;
  result = members_from_json (json_object_get (root, "members"), view->members, DKS_MEMBERS_MAX,
                              &view->member_count);
  if (result == DKS_OK)
    result = members_from_json (json_object_get (root, "former"), view->former, DKS_FORMER_MAX,
                                &view->former_count);
  if (result == DKS_OK)
    result = shards_from_json (json_object_get (root, "shards"), view->shards);
  json_decref (root);
  return result;
}

const dks_view_member_t *
dks_view_member (const dks_view_t *view, const char *id)
{
  for (uint32_t i = 0; i < view->member_count; i++)
    {
      if (strcmp (view->members[i].id, id) == 0)
        return &view->members[i];
    }
  return NULL;
}

bool
dks_view_has_role (const dks_view_t *view, const char *id)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      if (strcmp (view->shards[i].owner, id) == 0 || strcmp (view->shards[i].backup, id) == 0)
        return true;
    }
  return false;
}

bool
dks_view_same_instance (const char *a, const char *b)
{
  size_t len = strcspn (a, "#");

  return len == strcspn (b, "#") && strncmp (a, b, len) == 0;
}

uint64_t
dks_view_score (const char *member, uint64_t item)
{
  return dks_hash_text (member, item);
}

/* Rendezvous hash of the instance and the shard. The incarnation is left out, so that a restarted
 * instance gets the shards of its previous incarnation back. */
static uint64_t
shard_score (const char *id, uint32_t shard)
{
  return dks_hash_bytes (id, strcspn (id, "#"), SHARD_HASH_SEED + shard);
}

static bool
is_self (const dks_view_inputs_t *in, const char *id)
{
  return strcmp (in->self, id) == 0;
}

static bool
is_alive (const dks_view_inputs_t *in, const char *id)
{
  return is_self (in, id) || in->is_alive (in->context, id);
}

static bool
can_take_role (const dks_view_inputs_t *in, const dks_view_member_t *member)
{
  return !member->leaving && is_alive (in, member->id) && !in->is_dead (in->context, member);
}

/* Among the members that can take a role, the one with the highest score for the shard, or NULL.
 * The member `except_id` is left out; `except_id` may be NULL. */
static const dks_view_member_t *
best_member (const dks_view_t *view, const dks_view_inputs_t *in, uint32_t shard,
             const char *except_id)
{
  const dks_view_member_t *best = NULL;
  uint64_t best_score = 0;

  for (uint32_t i = 0; i < view->member_count; i++)
    {
      const dks_view_member_t *member = &view->members[i];
      uint64_t score = shard_score (member->id, shard);

      if ((except_id != NULL && strcmp (member->id, except_id) == 0) || !can_take_role (in, member))
        continue;
      if (best == NULL || score > best_score)
        {
          best = member;
          best_score = score;
        }
    }
  return best;
}

const char *
dks_view_best_backup (const dks_view_t *view, const dks_view_inputs_t *inputs, uint32_t shard)
{
  const dks_view_member_t *member = best_member (view, inputs, shard, view->shards[shard].owner);

  return member != NULL ? member->id : NULL;
}

static void
set_shard_roles (dks_view_shard_t *shard, const char *owner, const char *backup)
{
  char owner_copy[DKS_NAME_SIZE];
  char backup_copy[DKS_NAME_SIZE];

  dks_strcpy (owner_copy, sizeof (owner_copy), owner);
  dks_strcpy (backup_copy, sizeof (backup_copy), backup);
  dks_strcpy (shard->owner, sizeof (shard->owner), owner_copy);
  dks_strcpy (shard->backup, sizeof (shard->backup), backup_copy);
  shard->epoch++;
}

static bool
is_leaving (const dks_view_t *view, const char *id)
{
  const dks_view_member_t *member = dks_view_member (view, id);

  return member != NULL && member->leaving;
}

static void
plan_own_shard (dks_view_t *view, const dks_view_inputs_t *in, uint32_t i)
{
  dks_view_shard_t *shard = &view->shards[i];
  const dks_view_member_t *best = best_member (view, in, i, NULL);
  const char *backup = dks_view_best_backup (view, in, i);

  if (in->may_lower_floor[i] && in->recovered_floor_ms[i] < shard->floor_ms)
    {
      shard->floor_ms = in->recovered_floor_ms[i];
      shard->epoch++;
      return;
    }
  if (shard->backup[0] != '\0' && !is_alive (in, shard->backup))
    {
      set_shard_roles (shard, shard->owner, "");
      return;
    }
  if (backup == NULL && !in->draining && is_leaving (view, shard->backup))
    {
      /* No other member can be the backup, and keeping the leaving member as backup would
       * delay its shutdown. */
      set_shard_roles (shard, shard->owner, "");
      return;
    }
  /* While missing claims may still be recovered, only a draining owner hands the shard over: the
   * next owner would not know which members hold these claims. */
  if (best != NULL && strcmp (best->id, shard->backup) == 0
      && (!in->is_recovering[i] || in->draining))
    {
      set_shard_roles (shard, best->id, in->self);
      return;
    }
  if (backup != NULL && strcmp (backup, shard->backup) != 0
      && strcmp (backup, in->synced_member[i]) == 0)
    {
      set_shard_roles (shard, shard->owner, backup);
      return;
    }
  if (in->may_leave && backup == NULL)
    {
      /* No member is left to take over. The next member that joins must not start an accepted key
       * again, so the floor is raised above all accepted keys. */
      if (shard->floor_ms < in->next_floor_ms[i])
        shard->floor_ms = in->next_floor_ms[i];
      set_shard_roles (shard, "", "");
    }
}

static dks_view_member_t *
find_former (dks_view_t *view, const char *id)
{
  for (uint32_t i = 0; i < view->former_count; i++)
    {
      if (strcmp (view->former[i].id, id) == 0)
        return &view->former[i];
    }
  return NULL;
}

/* Floor in Unix ms above the issue time of every key that the lost member `id` can have accepted or
 * can still accept. A lost member that is not proved dead is added to the former members. */
static int64_t
floor_for_lost_member (dks_view_t *view, const dks_view_inputs_t *in, const char *id)
{
  const dks_view_member_t *member = dks_view_member (view, id);

  if (member == NULL)
    return 0;
  if (in->is_dead (in->context, member))
    return in->wall_ms + 2 * in->clock_skew_ms;
  if (find_former (view, id) == NULL)
    view->former[view->former_count++] = *member;
  return member->ceiling_ms;
}

/* Takes over a shard without a live owner or backup, whose claims are lost, if this member is the
 * best one for the shard. */
static void
plan_lost_shard (dks_view_t *view, const dks_view_inputs_t *in, uint32_t i)
{
  dks_view_shard_t *shard = &view->shards[i];
  const dks_view_member_t *best = best_member (view, in, i, NULL);
  const char *holders[] = { shard->owner, shard->backup };

  if (best == NULL || !is_self (in, best->id) || view->former_count + 2 > DKS_FORMER_MAX)
    return;
  for (size_t j = 0; j < 2; j++)
    {
      if (holders[j][0] != '\0' && is_alive (in, holders[j]))
        return;
    }
  for (size_t j = 0; j < 2; j++)
    {
      int64_t floor_ms = floor_for_lost_member (view, in, holders[j]);

      if (floor_ms > shard->floor_ms)
        shard->floor_ms = floor_ms;
    }
  set_shard_roles (shard, in->self, "");
}

/* Removes the former members that cannot accept another key of a shard that they lost: those that
 * have ended, whose ceiling has passed, or that have read this view (the planning member). */
static void
plan_former_members (dks_view_t *view, const dks_view_inputs_t *in)
{
  for (uint32_t i = view->former_count; i-- > 0;)
    {
      const dks_view_member_t *former = &view->former[i];

      if (!is_self (in, former->id) && !in->is_dead (in->context, former)
          && former->ceiling_ms + 2 * in->clock_skew_ms > in->wall_ms)
        continue;
      view->former_count--;
      memmove (&view->former[i], &view->former[i + 1],
               (view->former_count - i) * sizeof (view->former[0]));
      memset (&view->former[view->former_count], 0, sizeof (view->former[0]));
    }
}

/* Lowers the floor of an owned shard once no former member is left: no member but the owner then
 * accepts keys, and all keys accepted earlier were issued before the new floor. */
static void
plan_floor (dks_view_t *view, const dks_view_inputs_t *in, uint32_t i)
{
  dks_view_shard_t *shard = &view->shards[i];
  int64_t floor_ms = in->wall_ms + 2 * in->clock_skew_ms;

  if (view->former_count > 0 || shard->floor_ms <= floor_ms)
    return;
  shard->floor_ms = floor_ms;
  shard->epoch++;
}

static void
plan_shards (dks_view_t *view, const dks_view_inputs_t *in)
{
  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      dks_view_shard_t *shard = &view->shards[i];

      if (is_self (in, shard->owner))
        {
          plan_floor (view, in, i);
          plan_own_shard (view, in, i);
        }
      else if (is_self (in, shard->backup))
        {
          if (in->fenced[i] && !is_alive (in, shard->owner))
            set_shard_roles (shard, in->self, "");
        }
      else if (!in->draining)
        plan_lost_shard (view, in, i);
    }
}

static void
remove_member (dks_view_t *view, uint32_t i)
{
  memmove (&view->members[i], &view->members[i + 1],
           (view->member_count - i - 1) * sizeof (view->members[0]));
  view->member_count--;
  memset (&view->members[view->member_count], 0, sizeof (view->members[0]));
}

static void
plan_members (dks_view_t *view, const dks_view_inputs_t *in)
{
  for (uint32_t i = view->member_count; i-- > 0;)
    {
      const char *id = view->members[i].id;
      bool is_removable = is_self (in, id)
                              ? in->draining && in->may_leave
                              : !is_alive (in, id) || in->is_dead (in->context, &view->members[i]);

      if (is_removable && !dks_view_has_role (view, id))
        remove_member (view, i);
    }
}

static void
plan_self (dks_view_t *view, const dks_view_inputs_t *in)
{
  dks_view_member_t *self = (dks_view_member_t *)dks_view_member (view, in->self);

  if (self == NULL)
    {
      if (in->draining || !in->may_join || view->member_count == DKS_MEMBERS_MAX)
        return;
      self = &view->members[view->member_count++];
      dks_strcpy (self->id, sizeof (self->id), in->self);
      dks_strcpy (self->address, sizeof (self->address), in->address);
    }
  self->leaving = in->draining;
  if (self->ceiling_ms < in->wall_ms + in->ceiling_ahead_ms * 2 / 3)
    self->ceiling_ms = in->wall_ms + in->ceiling_ahead_ms;
}

bool
dks_view_plan (const dks_view_t *view, const dks_view_inputs_t *inputs, dks_view_t *next)
{
  *next = *view;
  plan_self (next, inputs);
  if (dks_view_member (next, inputs->self) != NULL)
    {
      plan_former_members (next, inputs);
      plan_shards (next, inputs);
      plan_members (next, inputs);
    }
  /* `next` was copied from `view` with its padding, so memcmp() finds only changes of fields. */
  return memcmp (next, view, sizeof (*next)) != 0; // NOLINT(bugprone-suspicious-memory-comparison)
}
