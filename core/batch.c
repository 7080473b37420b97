#include "core/batch.h"

#include "common/alloc.h"
#include "common/error.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SPAN_MAX_US (INT64_C (1000000) * DKS_BATCH_SPAN_MAX_S)

dks_batch_t *
dks_batch_create (uint32_t step_count)
{
  dks_batch_t *batch = dks_alloc (sizeof (*batch) + step_count * sizeof (batch->steps[0]));

  batch->refs = 1;
  batch->step_count = step_count;
  return batch;
}

dks_batch_t *
dks_batch_ref (dks_batch_t *batch)
{
  batch->refs++;
  return batch;
}

void
dks_batch_unref (dks_batch_t *batch)
{
  if (batch == NULL || --batch->refs > 0)
    return;
  dks_blob_unref (batch->spec);
  free (batch);
}

bool
dks_batch_id_is_valid (const char *id)
{
  static const char allowed[] = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";
  size_t len = strspn (id, allowed);

  return len > 0 && len < DKS_BATCH_ID_SIZE && id[len] == '\0';
}

int
dks_batch_validate (dks_batch_t *batch)
{
  uint64_t tasks = 0;

  if (batch->step_count == 0)
    return DKS_ERR_INVALID;
  if (batch->step_count > DKS_BATCH_STEPS_MAX)
    return DKS_ERR_TOO_LARGE;
  for (uint32_t i = 0; i < batch->step_count; i++)
    {
      const dks_batch_step_t *step = &batch->steps[i];

      if (step->count == 0 || (step->after_mask >> i) != 0)
        return DKS_ERR_INVALID;
      tasks += step->count;
    }
  if (tasks > DKS_TASKS_MAX)
    return DKS_ERR_TOO_LARGE;
  batch->task_count = (uint32_t)tasks;
  return DKS_OK;
}

int64_t
dks_batch_limit_span_us (int64_t us)
{
  if (us < 0)
    return 0;
  return us < SPAN_MAX_US ? us : SPAN_MAX_US;
}

uint32_t
dks_batch_critical_path_ms (const dks_batch_t *batch)
{
  uint32_t ends_ms[DKS_BATCH_STEPS_MAX] = { 0 };
  uint32_t longest_ms = 0;

  for (uint32_t i = 0; i < batch->step_count; i++)
    {
      for (uint32_t j = 0; j < i; j++)
        {
          if ((batch->steps[i].after_mask >> j & 1) != 0 && ends_ms[j] > ends_ms[i])
            ends_ms[i] = ends_ms[j];
        }
      ends_ms[i] = ends_ms[i] > UINT32_MAX - batch->steps[i].estimate_ms
                       ? UINT32_MAX
                       : ends_ms[i] + batch->steps[i].estimate_ms;
      if (ends_ms[i] > longest_ms)
        longest_ms = ends_ms[i];
    }
  return longest_ms;
}

void
dks_batch_task_name (const char *id, uint32_t step, uint32_t index, char name[DKS_TASK_NAME_SIZE])
{
  snprintf (name, DKS_TASK_NAME_SIZE, "%s.0.%" PRIu32 ".%" PRIu32, id, step, index);
}
