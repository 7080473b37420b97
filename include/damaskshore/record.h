/**
 * Records and edits of the settings tree.
 */
#ifndef DKS_DAMASKSHORE_RECORD_H
#define DKS_DAMASKSHORE_RECORD_H

#include "core/settings.h"
#include "damaskshore/answer.h"

/** Reads and checks a record file; on error reports it to `err` and returns NULL. */
dks_settings_t *dks_record_read (dks_cli_t *cli, const char *file, dks_exit_t *exit_code);
/** Reads and checks the record of the server; on error reports it and returns NULL. */
dks_settings_t *dks_record_fetch (dks_cli_t *cli, dks_exit_t *exit_code);
/** The record as a JSON object; release with json_decref(). */
json_t *dks_record_json (const dks_settings_t *settings);
/** Sends an edit and reports its outcome. `value` is NULL to remove the override; `actor` is NULL
 * for the one of the environment. `command` is the name used in messages. */
dks_exit_t dks_record_edit (dks_cli_t *cli, const char *command, const char *actor,
                            const char *path, const char *name, const int64_t *value);

#endif
