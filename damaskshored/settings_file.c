#include "damaskshored/settings_file.h"

#include "common/alloc.h"
#include "common/error.h"

#include <ctype.h>
#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  ENTRIES_MAX = 256 /* exceeds the number of options */
};

typedef struct
{
  const char *name;
  const char *value;
} entry_t;

struct dks_settings_file_t
{
  char *text; /* content of the file; the names and values of the entries point into it */
  size_t count;
  entry_t entries[ENTRIES_MAX];
};

static char *
trim (char *text)
{
  size_t len;

  while (isspace ((unsigned char)*text))
    text++;
  len = strlen (text);
  while (len > 0 && isspace ((unsigned char)text[len - 1]))
    len--;
  text[len] = '\0';
  return text;
}

static int
parse_line (dks_settings_file_t *file, char *line, unsigned number,
            char error[DKS_SETTINGS_ERROR_SIZE])
{
  char *equals = strchr (line, '=');
  entry_t *entry = &file->entries[file->count];

  if (equals == NULL || file->count == ENTRIES_MAX)
    {
      snprintf (error, DKS_SETTINGS_ERROR_SIZE, "line %u: expected \"option = value\"", number);
      return DKS_ERR_INVALID;
    }
  *equals = '\0';
  entry->name = trim (line);
  entry->value = trim (equals + 1);
  if (dks_settings_file_value (file, entry->name) != NULL)
    {
      snprintf (error, DKS_SETTINGS_ERROR_SIZE, "line %u: \"%.40s\" is given twice", number,
                entry->name);
      return DKS_ERR_INVALID;
    }
  file->count++;
  return DKS_OK;
}

static int
parse (dks_settings_file_t *file, char error[DKS_SETTINGS_ERROR_SIZE])
{
  char *rest = file->text;
  unsigned number = 0;

  while (rest != NULL)
    {
      char *line = trim (strsep (&rest, "\n"));
      int result;

      number++;
      if (line[0] == '\0' || line[0] == '#')
        continue;
      result = parse_line (file, line, number, error);
      if (result != DKS_OK)
        return result;
    }
  return DKS_OK;
}

static int
read_text (const char *path, char **text, char error[DKS_SETTINGS_ERROR_SIZE])
{
  FILE *stream = fopen (path, "re");
  size_t len;
  bool read_failed;

  if (stream == NULL)
    {
      snprintf (error, DKS_SETTINGS_ERROR_SIZE, "%s: %s", path, strerror (errno));
      return DKS_ERR_IO;
    }
  *text = dks_alloc (DKS_SETTINGS_FILE_MAX + 2);
  len = fread (*text, 1, DKS_SETTINGS_FILE_MAX + 1, stream);
  read_failed = ferror (stream) != 0;
  fclose (stream);
  if (!read_failed && len <= DKS_SETTINGS_FILE_MAX)
    return DKS_OK;
  snprintf (error, DKS_SETTINGS_ERROR_SIZE, "%s: %s", path,
            read_failed ? "read error" : "larger than 64 KiB");
  free (*text);
  return read_failed ? DKS_ERR_IO : DKS_ERR_TOO_LARGE;
}

int
dks_settings_file_read (const char *path, dks_settings_file_t **file_out,
                        char error[DKS_SETTINGS_ERROR_SIZE])
{
  dks_settings_file_t *file;
  char *text = NULL;
  int result = read_text (path, &text, error);

  if (result != DKS_OK)
    return result;
  file = dks_alloc (sizeof (*file));
  file->text = text;
  result = parse (file, error);
  if (result == DKS_OK)
    *file_out = file;
  else
    dks_settings_file_destroy (file);
  return result;
}

void
dks_settings_file_destroy (dks_settings_file_t *file)
{
  if (file == NULL)
    return;
  free (file->text);
  free (file);
}

size_t
dks_settings_file_count (const dks_settings_file_t *file)
{
  return file->count;
}

const char *
dks_settings_file_name (const dks_settings_file_t *file, size_t i)
{
  return file->entries[i].name;
}

const char *
dks_settings_file_value (const dks_settings_file_t *file, const char *name)
{
  for (size_t i = 0; file != NULL && i < file->count; i++)
    {
      if (strcmp (file->entries[i].name, name) == 0)
        return file->entries[i].value;
    }
  return NULL;
}
