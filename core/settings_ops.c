#include "core/state.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EDIT_TIMEOUT_US = 8000000,    /* until accepted; below the 9 s in which it must be in force */
  IN_FORCE_WAIT_US = 2000000,   /* longest wait for other instances after acceptance */
  STORE_RETRY_US = 200000,      /* pause after a store operation that failed */
  STORE_OP_TIMEOUT_US = 5000000 /* a store operation without a reply is abandoned after this time */
};

static void
apply_settings (dks_reducer_t *r, dks_settings_t *settings, int64_t revision, dks_blob_t *value)
{
  dks_peer_t *peer;

  dks_settings_unref (r->settings);
  r->settings = dks_settings_ref (settings);
  dks_blob_ref (value);
  dks_blob_unref (r->settings_record);
  r->settings_record = value;
  r->settings_revision = revision;
  dks_counter_increment (&r->counters, DKS_COUNTER_SETTINGS_APPLIED);
  dks_emit_log (r, DKS_LOG_NOTICE, "event=settings-applied version=%" PRId64,
                dks_settings_version (settings));
  if (r->edits.next == APR_RING_SENTINEL (&r->edits, dks_edit_t, link))
    return;
  /* Only an instance with pending edits, such as the instance that made the change, sends the
   * record to its peers; the other instances read the record from the store. */
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->up)
        dks_members_send_records (r, peer->id);
    }
}

void
dks_settings_ops_handle_record (dks_reducer_t *r, int64_t revision, dks_blob_t *value)
{
  dks_settings_t *settings = NULL;
  char detail[DKS_TEXT_SIZE];

  if (revision <= r->settings_revision)
    return;
  if (dks_settings_parse ((const char *)value->data, value->len, &settings, detail) != DKS_OK)
    {
      dks_emit_log (r, DKS_LOG_ERROR, "event=bad-settings detail=\"%s\"", detail);
      dks_counter_increment (&r->counters, DKS_COUNTER_BAD_INPUT);
      return;
    }
  if (dks_settings_version (settings) > dks_settings_version (r->settings))
    apply_settings (r, settings, revision, value);
  dks_settings_unref (settings);
}

static void
edit_destroy (dks_edit_t *edit)
{
  APR_RING_REMOVE (edit, link);
  free (edit);
}

static void
fill_in_force_status (const dks_reducer_t *r, int64_t version, dks_effect_t *effect)
{
  const dks_peer_t *peer;

  effect->u.edit_reply.instances_total = 1;
  effect->u.edit_reply.instances_in_force = dks_settings_version (r->settings) >= version;
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      char *missing = effect->u.edit_reply.missing_data_centres;
      size_t len = strlen (missing);

      if (!dks_member_is_alive (r, peer->id) && peer->settings_version >= version)
        continue;
      effect->u.edit_reply.instances_total++;
      if (dks_member_is_alive (r, peer->id) && peer->settings_version >= version)
        {
          effect->u.edit_reply.instances_in_force++;
          continue;
        }
      if (strstr (missing, peer->data_centre) == NULL)
        snprintf (missing + len, DKS_TEXT_SIZE - len, "%s%s", len > 0 ? "," : "",
                  peer->data_centre);
    }
}

static void
reply_edit (dks_reducer_t *r, dks_edit_t *edit, int error, const char *detail)
{
  dks_effect_t *effect = dks_effects_add (r->effects, DKS_EFFECT_EDIT_REPLY);

  effect->u.edit_reply.caller = edit->caller;
  effect->u.edit_reply.error = error;
  effect->u.edit_reply.version = edit->accepted_version;
  dks_strcpy (effect->u.edit_reply.detail, sizeof (effect->u.edit_reply.detail), detail);
  if (error == DKS_OK)
    fill_in_force_status (r, edit->accepted_version, effect);
  edit_destroy (edit);
}

/* The edit whose write to the store is under way, or the next edit to write, or NULL. Accepted
 * edits are skipped: they only wait until they are in force. */
static dks_edit_t *
current_edit (const dks_reducer_t *r)
{
  dks_edit_t *edit;

  APR_RING_FOREACH (edit, &r->edits, dks_edit_t, link)
    {
      if (edit->accepted_version == 0)
        return edit;
    }
  return NULL;
}

static dks_effect_t *
start_op (dks_reducer_t *r, dks_effect_type_t type)
{
  dks_effect_t *effect = dks_effects_add (r->effects, type);

  r->settings_op = dks_next_id (r);
  r->settings_op_is_cas = type == DKS_EFFECT_STORE_CAS;
  effect->u.store.op = r->settings_op;
  dks_strcpy (effect->u.store.key, sizeof (effect->u.store.key), "settings");
  dks_timer_set (r->timers, &r->settings_timer, r->now.mono_us + STORE_OP_TIMEOUT_US);
  return effect;
}

static void
start_get (dks_reducer_t *r)
{
  dks_counter_increment (&r->counters, DKS_COUNTER_STORE_READS);
  start_op (r, DKS_EFFECT_STORE_GET);
}

static void
start_next_edit (dks_reducer_t *r)
{
  if (r->settings_op == 0 && !dks_timer_is_armed (&r->settings_timer) && current_edit (r) != NULL)
    start_get (r);
}

static void
accept_edit (dks_reducer_t *r, dks_edit_t *edit, int64_t version)
{
  edit->accepted_version = version;
  edit->deadline_us = r->now.mono_us + IN_FORCE_WAIT_US;
  dks_emit_log (r, DKS_LOG_NOTICE,
                "event=settings-changed version=%" PRId64 " actor=%s path=%s name=%s change=%s",
                version, edit->request.actor, edit->request.path, edit->request.name,
                edit->request.id);
}

static int64_t
version_of_change (const dks_settings_t *settings, const char *id)
{
  for (size_t i = dks_settings_change_count (settings); i-- > 0;)
    {
      if (strcmp (dks_settings_change (settings, i)->id, id) == 0)
        return dks_settings_change (settings, i)->version;
    }
  return 0;
}

/* Continues an edit with the record that was read from the store. If the record contains the edit,
 * an earlier write took effect and the edit is accepted; otherwise a write of the edit is started.
 */
static void
continue_edit (dks_reducer_t *r, dks_edit_t *edit, int64_t revision, dks_blob_t *value)
{
  dks_settings_t *current = NULL;
  dks_effect_t *effect;
  char detail[DKS_TEXT_SIZE] = "";
  int error = DKS_OK;

  if (value == NULL)
    current = dks_settings_create ();
  else
    error = dks_settings_parse ((const char *)value->data, value->len, &current, detail);
  if (error == DKS_OK && dks_settings_has_change (current, edit->request.id))
    {
      accept_edit (r, edit, version_of_change (current, edit->request.id));
      dks_settings_unref (current);
      return;
    }
  dks_settings_unref (r->settings_proposed);
  r->settings_proposed = NULL;
  if (error == DKS_OK)
    error =
        dks_settings_apply (current, &edit->request, r->now.wall_ms, &r->settings_proposed, detail);
  dks_settings_unref (current);
  if (error != DKS_OK)
    {
      reply_edit (r, edit, error, detail);
      return;
    }
  dks_counter_increment (&r->counters, DKS_COUNTER_STORE_WRITES);
  effect = start_op (r, DKS_EFFECT_STORE_CAS);
  effect->u.store.version = revision;
  effect->u.store.value = dks_settings_format (r->settings_proposed);
}

void
dks_settings_ops_handle_reply (dks_reducer_t *r, dks_store_status_t status, int64_t revision,
                               dks_blob_t *value)
{
  dks_edit_t *edit = current_edit (r);
  bool is_cas_reply = r->settings_op_is_cas;

  r->settings_op = 0;
  dks_timer_cancel (r->timers, &r->settings_timer);
  if (status == DKS_STORE_UNKNOWN)
    {
      dks_timer_set (r->timers, &r->settings_timer, r->now.mono_us + STORE_RETRY_US);
      return;
    }
  if (!is_cas_reply && status == DKS_STORE_OK)
    dks_settings_ops_handle_record (r, revision, value);
  if (edit == NULL)
    return;
  if (status == DKS_STORE_CONFLICT)
    {
      dks_counter_increment (&r->counters, DKS_COUNTER_STORE_CONFLICTS);
      start_get (r);
      return;
    }
  if (!is_cas_reply)
    continue_edit (r, edit, status == DKS_STORE_OK ? revision : 0,
                   status == DKS_STORE_OK ? value : NULL);
  else if (!dks_settings_has_change (r->settings_proposed, edit->request.id))
    start_get (r); /* the write was that of an earlier edit, which has timed out */
  else
    {
      dks_blob_t *written_record = dks_settings_format (r->settings_proposed);

      accept_edit (r, edit, dks_settings_version (r->settings_proposed));
      if (dks_settings_version (r->settings_proposed) > dks_settings_version (r->settings))
        apply_settings (r, r->settings_proposed, revision, written_record);
      dks_blob_unref (written_record);
    }
  start_next_edit (r);
}

void
dks_settings_ops_handle_edit (dks_reducer_t *r, uint64_t caller, const dks_settings_edit_t *edit)
{
  dks_edit_t *pending = dks_alloc (sizeof (*pending));

  pending->caller = caller;
  pending->request = *edit;
  pending->deadline_us = r->now.mono_us + EDIT_TIMEOUT_US;
  if (pending->request.id[0] == '\0')
    snprintf (pending->request.id, sizeof (pending->request.id), "%016" PRIx64 "%016" PRIx64,
              dks_random (r), dks_random (r));
  APR_RING_INSERT_TAIL (&r->edits, pending, dks_edit_t, link);
  start_next_edit (r);
}

static bool
is_in_force (const dks_reducer_t *r, int64_t version)
{
  const dks_peer_t *peer;

  if (dks_settings_version (r->settings) < version)
    return false;
  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      if (peer->settings_version < version)
        return false;
    }
  return true;
}

void
dks_settings_ops_review (dks_reducer_t *r)
{
  dks_edit_t *edit = APR_RING_FIRST (&r->edits);

  while (edit != APR_RING_SENTINEL (&r->edits, dks_edit_t, link))
    {
      dks_edit_t *next = APR_RING_NEXT (edit, link);

      if (edit->accepted_version > 0
          && (is_in_force (r, edit->accepted_version) || r->now.mono_us >= edit->deadline_us))
        reply_edit (r, edit, DKS_OK, "");
      else if (edit->accepted_version == 0 && r->now.mono_us >= edit->deadline_us)
        reply_edit (r, edit, DKS_ERR_TIMEOUT,
                    "the configuration store did not confirm the change; it may still take effect");
      edit = next;
    }
}

static void
handle_settings_timer (void *context, int64_t now_us)
{
  dks_reducer_t *r = context;

  r->settings_op = 0;
  start_next_edit (r);
}

void
dks_settings_ops_init (dks_reducer_t *r)
{
  r->settings = dks_settings_create ();
  APR_RING_INIT (&r->edits, dks_edit_t, link);
  dks_timer_init (&r->settings_timer, handle_settings_timer, r);
}

void
dks_settings_ops_clear (dks_reducer_t *r)
{
  while (!APR_RING_EMPTY (&r->edits, dks_edit_t, link))
    edit_destroy (APR_RING_FIRST (&r->edits));
  dks_settings_unref (r->settings);
  dks_settings_unref (r->settings_proposed);
  dks_blob_unref (r->settings_record);
}
