#include "core/types.h"

const char *
dks_problem_name (dks_problem_t problem)
{
  static const char *const names[DKS_PROBLEM_COUNT] = {
    [DKS_PROBLEM_NONE] = "none",
    [DKS_PROBLEM_BAD_REQUEST] = "bad-request",
    [DKS_PROBLEM_KEY_REUSED] = "key-reused",
    [DKS_PROBLEM_KEY_EXPIRED] = "key-expired",
    [DKS_PROBLEM_QUEUE_FULL] = "queue-full",
    [DKS_PROBLEM_QUOTA] = "quota-exceeded",
    [DKS_PROBLEM_DEADLINE] = "deadline",
    [DKS_PROBLEM_INFEASIBLE] = "infeasible",
    [DKS_PROBLEM_DRAINING] = "draining",
    [DKS_PROBLEM_NO_OWNER] = "no-owner",
    [DKS_PROBLEM_OWNER_LOST] = "owner-lost",
    [DKS_PROBLEM_TASK_FAILED] = "task-failed",
    [DKS_PROBLEM_TARGET_LOST] = "target-lost",
    [DKS_PROBLEM_CANCELLED] = "cancelled",
    [DKS_PROBLEM_NOT_FOUND] = "not-found",
    [DKS_PROBLEM_NO_TARGET] = "no-target",
    [DKS_PROBLEM_RESULT_TOO_LARGE] = "result-too-large",
    [DKS_PROBLEM_CANCELLED_NOT_RUN] = "cancelled-not-run",
    [DKS_PROBLEM_MOVED] = "moved",
  };

  return (unsigned)problem < DKS_PROBLEM_COUNT ? names[problem] : "invalid";
}

const char *
dks_outcome_name (dks_outcome_t outcome)
{
  switch (outcome)
    {
    case DKS_OUTCOME_COMPLETE:
      return "complete";
    case DKS_OUTCOME_FAILED:
      return "failed";
    case DKS_OUTCOME_REFUSED:
      return "refused";
    case DKS_OUTCOME_UNKNOWN:
      return "unknown";
    case DKS_OUTCOME_CANCELLED:
      return "cancelled";
    case DKS_OUTCOME_ACCEPTED:
      return "accepted";
    }
  return "invalid";
}
