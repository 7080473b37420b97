#include "core/reducer.h"

#include "core/leased.h"
#include "core/state.h"

#include <jansson.h>

static json_t *
peers_to_json (const dks_reducer_t *r)
{
  json_t *peers = json_array ();
  const dks_peer_t *peer;

  APR_RING_FOREACH (peer, &r->peers, dks_peer_t, link)
    {
      json_array_append_new (peers, json_pack ("{s:s, s:s, s:b, s:b, s:I}", "id", peer->id,
                                               "data_centre", peer->data_centre, "alive",
                                               (int)dks_member_is_alive (r, peer->id), "draining",
                                               (int)peer->draining, "settings_version",
                                               (json_int_t)peer->settings_version));
    }
  return peers;
}

static json_t *
targets_to_json (const dks_reducer_t *r)
{
  json_t *targets = json_array ();
  const dks_target_t *target;

  APR_RING_FOREACH (target, &r->targets->ring, dks_target_t, link)
    {
      json_array_append_new (
          targets, json_pack ("{s:s, s:s, s:b, s:b, s:b, s:i, s:i}", "id", target->listed.id,
                              "address", target->listed.address, "own", (int)target->is_own,
                              "leaving", (int)target->is_leaving, "ejected",
                              (int)(target->ejected_until_us > r->now.mono_us), "slots",
                              (int)target->listed.slots, "used", (int)target->used_slots));
    }
  return targets;
}

static json_t *
shards_to_json (const dks_reducer_t *r)
{
  json_t *shards = json_array ();

  for (uint32_t i = 0; i < DKS_SHARDS; i++)
    {
      const dks_view_shard_t *view_shard = &dks_own_view (r)->shards[i];

      json_array_append_new (shards,
                             json_pack ("{s:i, s:s, s:s, s:I, s:I, s:i}", "shard", (int)i, "owner",
                                        view_shard->owner, "backup", view_shard->backup, "epoch",
                                        (json_int_t)view_shard->epoch, "floor_ms",
                                        (json_int_t)view_shard->floor_ms, "claims",
                                        (int)r->shards[i].claims->count));
    }
  return shards;
}

static char *
status_with_http_targets (const dks_reducer_t *r)
{
  json_t *root =
      json_pack ("{s:s, s:s, s:b, s:I, s:I, s:i, s:i, s:i, s:i, s:o, s:o, s:o}", "id", r->self,
                 "data_centre", r->config.data_centre, "draining", (int)r->draining,
                 "settings_version", (json_int_t)dks_settings_version (r->settings), "view_version",
                 (json_int_t)dks_own_view (r)->version, "open_requests", (int)r->request_count,
                 "running_attempts", (int)r->attempt_count, "queued_tasks",
                 (int)dks_jobs_backlog (r), "free_slots", (int)dks_lend_free_slots (r), "peers",
                 peers_to_json (r), "shards", shards_to_json (r), "targets", targets_to_json (r));
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return text;
}

char *
dks_reducer_metrics (const dks_reducer_t *r)
{
  return r->leased != NULL ? dks_leased_metrics_format (r->leased) : NULL;
}

uint64_t
dks_reducer_targets_scanned (const dks_reducer_t *r)
{
  return r->leased != NULL ? r->leased->load.counts.target_scans : 0;
}

uint64_t
dks_reducer_jobs_compared (const dks_reducer_t *r)
{
  return r->leased != NULL ? r->leased->load.counts.jobs_compared : 0;
}

uint64_t
dks_reducer_prior_run_checks (const dks_reducer_t *r)
{
  return r->leased != NULL ? r->leased->prior_run_checks : 0;
}

char *
dks_reducer_status (const dks_reducer_t *r)
{
  return r->leased != NULL ? dks_leased_status_json (r->leased) : status_with_http_targets (r);
}
