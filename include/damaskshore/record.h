/**
 * Records and edits of the settings tree.
 */
#ifndef DKS_DAMASKSHORE_RECORD_H
#define DKS_DAMASKSHORE_RECORD_H

#include "core/settings.h"
#include "damaskshore/answer.h"

/** Reads and checks a record file. On failure returns NULL, reports the error to `err` and sets
 * `exit_code`. */
dks_settings_t *dks_record_read (dks_cli_t *cli, const char *file, dks_exit_t *exit_code);
/** Fetches the record from the server and checks it. On failure returns NULL, reports the error to
 * `err` and sets `exit_code`. */
dks_settings_t *dks_record_fetch (dks_cli_t *cli, dks_exit_t *exit_code);
/** The record as a JSON object; release with json_decref(). */
json_t *dks_record_json (const dks_settings_t *settings);
/** Sends an edit and reports its outcome. `value` is NULL to remove the override; `actor` is NULL
 * for the actor that the environment names. `command` is the name used in messages. */
dks_exit_t dks_record_edit (dks_cli_t *cli, const char *command, const char *actor,
                            const char *path, const char *name, const int64_t *value);

#endif
