/**
 * The tree of settings that operators edit. Paths are "/" (root), "/SERVICE",
 * "/SERVICE/DATA_CENTRE" and "/SERVICE/DATA_CENTRE/JOB"; each level inherits every value it does
 * not override. The whole tree is one JSON record of the platform's key-value service, at most 1
 * MB.
 */
#ifndef DKS_CORE_SETTINGS_H
#define DKS_CORE_SETTINGS_H

#include "common/blob.h"
#include "core/types.h"

/** X(field, JSON name, default, minimum, maximum, help) */
#define DKS_SETTINGS(X)                                                                            \
  X (queue_limit, "queue_limit", 4096, 0, 1000000, "Tasks that an instance may queue.")            \
  X (attempt_timeout_ms, "attempt_timeout_ms", 15000, 10, 600000, "Longest run of one attempt.")   \
  X (deadline_max_ms, "deadline_max_ms", 300000, 10, 3600000, "Latest deadline after arrival.")    \
  X (retry_percent, "retry_percent", 10, 0, 100, "Retries per 100 starts.")                        \
  X (hedge_percent, "hedge_percent", 0, 0, 50, "Second attempts per 100 starts.")                  \
  X (hedge_after_ms, "hedge_after_ms", 1000, 10, 60000, "Run time before a second attempt.")       \
  X (queue_wait_max_ms, "queue_wait_max_ms", 1000, 1, 600000, "Longest wait in a burst.")          \
  X (queue_wait_target_ms, "queue_wait_target_ms", 100, 1, 600000, "Longest wait in an overload.") \
  X (borrow_after_ms, "borrow_after_ms", 200, 0, 60000, "Own wait before asking busy instances.")  \
  X (credit_hold_ms, "credit_hold_ms", 500, 0, 900, "How long a borrowed slot may wait for work.") \
  X (team_weight, "team_weight", 100, 1, 10000, "Share of a team in the fair queue.")              \
  X (team_quota, "team_quota", 1000000, 0, 1000000, "Slots that a team may use per data centre.")  \
  X (eject_failures, "eject_failures", 5, 1, 1000, "Failures in a row that eject a target.")

typedef struct
{
#define DKS_SETTINGS_FIELD(field, name, value, min, max, help) int64_t field;
  DKS_SETTINGS (DKS_SETTINGS_FIELD)
#undef DKS_SETTINGS_FIELD
} dks_settings_values_t;

typedef struct dks_settings_t dks_settings_t;

/** One accepted change of the tree. */
typedef struct
{
  int64_t version; /**< version of the tree that this change produced, from 1 */
  int64_t at_ms;   /**< Unix ms */
  char id[40];     /**< unique id; shows whether a write whose reply was lost took effect */
  char actor[DKS_NAME_SIZE];
  char path[DKS_TEXT_SIZE];
  char name[DKS_NAME_SIZE];
  char from[32]; /**< earlier override as a decimal number, or empty if there was none */
  char to[32];   /**< new override as a decimal number, or empty if it was removed */
} dks_settings_change_t;

/** An edit: sets `name` at `path` to `value`, or removes the override when `unset`. */
typedef struct
{
  char id[40];
  char actor[DKS_NAME_SIZE];
  char path[DKS_TEXT_SIZE];
  char name[DKS_NAME_SIZE];
  bool unset;
  int64_t value;
} dks_settings_edit_t;

enum
{
  DKS_SETTINGS_HISTORY_MAX = 200,   /**< changes kept in the record, oldest dropped first */
  DKS_SETTINGS_RECORD_MAX = 1000000 /**< bytes of the record; the platform stores at most 1 MB */
};

/** An empty tree at version 0: every value has its default. */
dks_settings_t *dks_settings_create (void);
dks_settings_t *dks_settings_ref (dks_settings_t *settings);
void dks_settings_unref (dks_settings_t *settings);
/** Parses and validates a record: {"version":N,"overrides":{PATH:{NAME:N}},"history":[CHANGE]}. On
 * error `detail` has the path and the reason. */
int dks_settings_parse (const char *json, size_t len, dks_settings_t **settings,
                        char detail[DKS_TEXT_SIZE]);
/** Serializes to JSON in a stable order, so that equal trees give equal bytes. */
dks_blob_t *dks_settings_format (const dks_settings_t *settings);
int64_t dks_settings_version (const dks_settings_t *settings);
/** Returns a new tree with `edit` applied, version + 1 and the change recorded; the old tree is not
 * touched. DKS_ERR_INVALID with `detail` when path, name or value is not allowed;
 * DKS_ERR_NOT_FOUND when an override to be removed does not exist; DKS_ERR_TOO_LARGE when the
 * record would exceed DKS_SETTINGS_RECORD_MAX. `edit` needs an id and an actor. */
int dks_settings_apply (const dks_settings_t *settings, const dks_settings_edit_t *edit,
                        int64_t wall_ms, dks_settings_t **result, char detail[DKS_TEXT_SIZE]);
/** Effective values for a service, data centre and job. An empty name ends the path: only the
 * levels above it apply. */
void dks_settings_resolve (const dks_settings_t *settings, const char *service,
                           const char *data_centre, const char *job, dks_settings_values_t *values);
/** Whether the change with `id` is in the recorded history. */
bool dks_settings_has_change (const dks_settings_t *settings, const char *id);
/** Number of changes in the recorded history, and the i-th, oldest first. */
size_t dks_settings_change_count (const dks_settings_t *settings);
const dks_settings_change_t *dks_settings_change (const dks_settings_t *settings, size_t i);

#endif
