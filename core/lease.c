#include "core/lease.h"

const char *
dks_lease_status_name (dks_lease_status_t status)
{
  static const char *const names[] = {
    [DKS_LEASE_OK] = "ok",
    [DKS_LEASE_FENCED] = "fenced",
    [DKS_LEASE_OLD_RUN] = "old-run",
    [DKS_LEASE_LATE] = "late",
    [DKS_LEASE_NO_CAPACITY] = "no-room",
    [DKS_LEASE_INVALID] = "invalid",
    [DKS_LEASE_UNHEALTHY] = "busy",
    [DKS_LEASE_OTHER_INCARNATION] = "other-life",
    [DKS_LEASE_NOT_SENT] = "not-sent",
    [DKS_LEASE_REFUSED] = "connection-refused",
    [DKS_LEASE_UNANSWERED] = "unanswered",
  };

  return (unsigned)status < sizeof (names) / sizeof (names[0]) && names[status] != NULL
             ? names[status]
             : "invalid";
}

const char *
dks_run_end_name (dks_run_end_t end)
{
  static const char *const names[] = {
    [DKS_RUN_DONE] = "done",          [DKS_RUN_FAILED] = "failed",
    [DKS_RUN_STOPPED] = "stopped",    [DKS_RUN_LEASE_EXPIRED] = "lapsed",
    [DKS_RUN_INTERRUPTED] = "broken",
  };

  return (unsigned)end < sizeof (names) / sizeof (names[0]) && names[end] != NULL ? names[end]
                                                                                  : "invalid";
}
