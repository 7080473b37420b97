/**
 * The view of one data centre: its members, and the owner and backup of each shard of its keys. It
 * is one record of the platform's key-value service, "view/DATA_CENTRE", changed only by
 * compare-and-swap.
 */
#ifndef DKS_CORE_VIEW_H
#define DKS_CORE_VIEW_H

#include "common/blob.h"
#include "core/types.h"

typedef struct
{
  char id[DKS_NAME_SIZE];         /**< member id "INSTANCE#INCARNATION" */
  char address[DKS_ADDRESS_SIZE]; /**< IP:port for other instances */
  int64_t ceiling_ms;             /**< the member accepts only keys issued before this, Unix ms */
  bool leaving;                   /**< the member is shutting down and takes no new role */
} dks_view_member_t;

typedef struct
{
  uint64_t epoch;             /**< rises with every change of this entry */
  char owner[DKS_NAME_SIZE];  /**< member id, empty when the shard has no owner */
  char backup[DKS_NAME_SIZE]; /**< member id, empty when the shard has no backup */
  int64_t floor_ms;           /**< keys issued before this are never started, Unix ms */
} dks_view_shard_t;

typedef struct
{
  int64_t version; /**< revision of the record in the store; 0 when it does not exist */
  uint32_t member_count;
  dks_view_member_t members[DKS_MEMBERS_MAX];
  /** Members that lost a role while they were silent, and may not know it yet. Floors are raised to
   * their ceilings. */
  uint32_t former_count;
  dks_view_member_t former[DKS_FORMER_MAX];
  dks_view_shard_t shards[DKS_SHARDS];
} dks_view_t;

/** Parses a record. Returns DKS_ERR_INVALID for anything that dks_view_format() cannot write. */
int dks_view_parse (const char *json, size_t len, int64_t version, dks_view_t *view);
/** Serializes to JSON. */
dks_blob_t *dks_view_format (const dks_view_t *view);
/** Member with this id, or NULL. */
const dks_view_member_t *dks_view_member (const dks_view_t *view, const char *id);
/** Whether the member owns or backs up any shard. */
bool dks_view_has_role (const dks_view_t *view, const char *id);
/** Whether two member ids are incarnations of the same instance. */
bool dks_view_same_instance (const char *a, const char *b);
/** Rendezvous hash of a member and an item, for example a shard; the member with the highest score
 * is chosen. */
uint64_t dks_view_score (const char *member, uint64_t item);

/** Input to dks_view_plan(): what the planning member knows about itself and the other members. */
typedef struct
{
  const char *self; /**< own member id */
  const char *address;
  bool draining;
  bool may_join;  /**< this member last joined long enough ago */
  bool may_leave; /**< this member has no work left, and may leave once its roles are handed over */
  int64_t wall_ms;
  int64_t ceiling_ahead_ms; /**< how far the own ceiling is set beyond `wall_ms` */
  int64_t clock_skew_ms;    /**< largest assumed difference between clocks */
  /** Whether a message from the member has arrived within the failure timeout. */
  bool (*is_alive) (void *context, const char *member);
  bool (*is_dead) (void *context, const dks_view_member_t *member); /**< proved to have ended */
  void *context;           /**< passed to `is_alive` and `is_dead` */
  bool fenced[DKS_SHARDS]; /**< as backup: this member rejects claims of the owner */
  char synced_member[DKS_SHARDS][DKS_NAME_SIZE]; /**< as owner: member with all claims, or empty */
  int64_t next_floor_ms[DKS_SHARDS]; /**< as owner: later than the issue time of every accepted key,
                                        Unix ms */
  bool is_recovering[DKS_SHARDS]; /**< as owner: claims that are missing since a takeover may still
                                     be recovered */
  bool may_lower_floor[DKS_SHARDS]; /**< as owner: the claims that were missing since a takeover
                                       have been recovered */
  int64_t recovered_floor_ms[DKS_SHARDS]; /**< floor that the recovered claims allow, Unix ms */
} dks_view_inputs_t;

/** Plans all changes of the view that this member may make. Returns true if `next` differs from
 * `view`. */
bool dks_view_plan (const dks_view_t *view, const dks_view_inputs_t *inputs, dks_view_t *next);
/** Member that the owner of a shard should choose as its backup, or NULL if there is none. */
const char *
dks_view_best_backup (const dks_view_t *view, const dks_view_inputs_t *inputs, uint32_t shard);

#endif
