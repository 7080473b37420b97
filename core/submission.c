#include "core/submission.h"

#include "common/alloc.h"
#include "common/hash.h"

#include <stdlib.h>

dks_submission_t *
dks_submission_create (uint32_t task_count)
{
  dks_submission_t *submission =
      dks_alloc (sizeof (*submission) + task_count * sizeof (submission->tasks[0]));

  submission->refs = 1;
  submission->task_count = task_count;
  return submission;
}

dks_submission_t *
dks_submission_ref (dks_submission_t *submission)
{
  submission->refs++;
  return submission;
}

void
dks_submission_unref (dks_submission_t *submission)
{
  if (submission == NULL)
    return;
  DKS_INVARIANT (submission->refs > 0);
  if (--submission->refs > 0)
    return;
  for (uint32_t i = 0; i < submission->task_count; i++)
    dks_blob_unref (submission->tasks[i].payload);
  free (submission);
}

void
dks_submission_set_digest (dks_submission_t *submission)
{
  uint64_t digest = dks_hash_text (submission->service, submission->task_count);

  digest = dks_hash_text (submission->team, digest);
  digest ^= (uint64_t)submission->single << 1 | (uint64_t)submission->repeatable;
  for (uint32_t i = 0; i < submission->task_count; i++)
    {
      const dks_task_spec_t *task = &submission->tasks[i];
      const uint32_t resources[] = { task->cpus, task->memory_mb, task->accelerators };

      if (task->payload != NULL)
        digest = dks_hash_bytes (task->payload->data, task->payload->len, digest);
      digest = dks_hash_bytes (resources, sizeof (resources), digest);
    }
  submission->digest = digest;
}

dks_answer_t *
dks_answer_create (const char *key, dks_outcome_t outcome, dks_problem_t problem,
                   uint32_t task_count)
{
  dks_answer_t *answer = dks_alloc (sizeof (*answer) + task_count * sizeof (answer->tasks[0]));

  answer->refs = 1;
  answer->outcome = outcome;
  answer->problem = problem;
  answer->task_count = task_count;
  dks_strcpy (answer->key, sizeof (answer->key), key);
  return answer;
}

dks_answer_t *
dks_answer_ref (dks_answer_t *answer)
{
  if (answer != NULL)
    answer->refs++;
  return answer;
}

void
dks_answer_unref (dks_answer_t *answer)
{
  if (answer == NULL)
    return;
  DKS_INVARIANT (answer->refs > 0);
  if (--answer->refs > 0)
    return;
  for (uint32_t i = 0; i < answer->task_count; i++)
    dks_blob_unref (answer->tasks[i].body);
  free (answer);
}
