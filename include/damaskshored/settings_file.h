/**
 * The settings file of the daemon: one "option = value" a line, with the names of the command line
 * without the dashes. Blank lines and lines that begin with "#" are skipped.
 */
#ifndef DKS_DAMASKSHORED_SETTINGS_FILE_H
#define DKS_DAMASKSHORED_SETTINGS_FILE_H

#include <stddef.h>

enum
{
  DKS_SETTINGS_FILE_MAX = 64 << 10, /**< maximum size of the file in bytes */
  DKS_SETTINGS_ERROR_SIZE = 256     /**< bytes of an error message with NUL */
};

typedef struct dks_settings_file_t dks_settings_file_t;

/** Reads the file. DKS_ERR_IO when it cannot be read, DKS_ERR_TOO_LARGE, or DKS_ERR_INVALID when a
 * line is not of the form above or repeats an option; `error` then names the line. */
int dks_settings_file_read (const char *path, dks_settings_file_t **file,
                            char error[DKS_SETTINGS_ERROR_SIZE]);
/** Accepts NULL. */
void dks_settings_file_destroy (dks_settings_file_t *file);
size_t dks_settings_file_count (const dks_settings_file_t *file);
/** Name of option `i` of the file, in the order of the lines. */
const char *dks_settings_file_name (const dks_settings_file_t *file, size_t i);
/** Value of an option, NULL when the file does not have it; `file` may be NULL. */
const char *dks_settings_file_value (const dks_settings_file_t *file, const char *name);

#endif
