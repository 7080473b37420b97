#include "core/msg.h"

#include "common/alloc.h"

#include <stdlib.h>

dks_msg_t *
dks_msg_create (dks_msg_type_t type)
{
  dks_msg_t *msg = dks_alloc (sizeof (*msg));

  msg->refs = 1;
  msg->type = type;
  return msg;
}

dks_msg_t *
dks_msg_ref (dks_msg_t *msg)
{
  msg->refs++;
  return msg;
}

static void
msg_release_content (dks_msg_t *msg)
{
  switch (msg->type)
    {
    case DKS_MSG_FORWARD:
      dks_submission_unref (msg->u.forward.submission);
      break;
    case DKS_MSG_ANSWER:
      dks_answer_unref (msg->u.answer.answer);
      break;
    case DKS_MSG_CLAIM:
      dks_answer_unref (msg->u.claim.item.answer);
      break;
    case DKS_MSG_RESULT:
      dks_answer_unref (msg->u.result.item.answer);
      break;
    case DKS_MSG_SNAPSHOT:
      for (uint32_t i = 0; i < msg->u.snapshot.count; i++)
        dks_answer_unref (msg->u.snapshot.items[i].answer);
      free (msg->u.snapshot.items);
      break;
    case DKS_MSG_RUN:
      dks_blob_unref (msg->u.run.spec.payload);
      break;
    case DKS_MSG_RUN_DONE:
      dks_blob_unref (msg->u.run_done.body);
      break;
    case DKS_MSG_RECORD:
      dks_blob_unref (msg->u.record.value);
      break;
    case DKS_MSG_LEASED_STATUS:
      free (msg->u.leased_status.prior_jobs);
      free (msg->u.leased_status.evacuated);
      break;
    case DKS_MSG_ADDRESSES:
      free (msg->u.addresses.items);
      break;
    case DKS_MSG_TARGETS:
      free (msg->u.targets.items);
      break;
    case DKS_MSG_SPEEDS:
      free (msg->u.speeds.targets);
      free (msg->u.speeds.queues);
      free (msg->u.speeds.task_crashes);
      break;
    case DKS_MSG_WORK:
      dks_batch_unref (msg->u.work.batch);
      free (msg->u.work.lent_tasks);
      free (msg->u.work.lent_runs);
      break;
    default:
      break;
    }
}

void
dks_msg_unref (dks_msg_t *msg)
{
  if (msg == NULL)
    return;
  DKS_INVARIANT (msg->refs > 0);
  if (--msg->refs > 0)
    return;
  msg_release_content (msg);
  free (msg);
}

const char *
dks_msg_name (dks_msg_type_t type)
{
  static const char *const names[DKS_MSG_TYPE_COUNT] = {
    [DKS_MSG_HEARTBEAT] = "heartbeat",
    [DKS_MSG_FORWARD] = "forward",
    [DKS_MSG_ASK] = "ask",
    [DKS_MSG_ANSWER] = "answer",
    [DKS_MSG_CLAIM] = "claim",
    [DKS_MSG_CONFIRM] = "confirm",
    [DKS_MSG_CLAIM_ACK] = "claim_ack",
    [DKS_MSG_RESULT] = "result",
    [DKS_MSG_SNAPSHOT] = "snapshot",
    [DKS_MSG_SNAPSHOT_ACK] = "snapshot_ack",
    [DKS_MSG_DEMAND] = "demand",
    [DKS_MSG_GRANT] = "grant",
    [DKS_MSG_GRANT_RETURN] = "grant_return",
    [DKS_MSG_RUN] = "run",
    [DKS_MSG_RUN_DONE] = "run_done",
    [DKS_MSG_RUN_ABORT] = "run_abort",
    [DKS_MSG_RECORD] = "record",
    [DKS_MSG_RECORD_ASK] = "record_ask",
    [DKS_MSG_LEASED_STATUS] = "leased_status",
    [DKS_MSG_ADDRESSES] = "addresses",
    [DKS_MSG_WORK] = "work",
    [DKS_MSG_WORK_DONE] = "work_done",
    [DKS_MSG_WORK_CANCEL] = "work_cancel",
    [DKS_MSG_LENT_DONE] = "lent_done",
    [DKS_MSG_TARGETS] = "targets",
    [DKS_MSG_SPEEDS] = "speeds",
  };

  return (unsigned)type < DKS_MSG_TYPE_COUNT && names[type] != NULL ? names[type] : "invalid";
}

const char *
dks_lent_result_name (dks_lent_result_t result)
{
  static const char *const names[] = {
    [DKS_LENT_OK] = "ok",           [DKS_LENT_FAILED] = "failed",
    [DKS_LENT_REFUSED] = "refused", [DKS_LENT_INTERRUPTED] = "ended",
    [DKS_LENT_LATE] = "late",
  };

  return (size_t)result < sizeof (names) / sizeof (names[0]) && names[result] != NULL
             ? names[result]
             : "invalid";
}
