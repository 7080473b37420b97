/**
 * Messages between instances. The wire format is protobuf (proto/peer.proto); this is the form in
 * memory that the reducer reads and writes. Messages are reference-counted and immutable once sent.
 */
#ifndef DKS_CORE_MSG_H
#define DKS_CORE_MSG_H

#include "core/lease.h"
#include "core/submission.h"

typedef enum
{
  DKS_MSG_HEARTBEAT = 1,
  DKS_MSG_FORWARD,       /**< entry -> owner: a submission */
  DKS_MSG_ASK,           /**< entry -> owner: cancel or query a key */
  DKS_MSG_ANSWER,        /**< owner -> entry: answer to FORWARD or ASK */
  DKS_MSG_CLAIM,         /**< owner -> backup: permission to start a key */
  DKS_MSG_CONFIRM,       /**< owner -> backup: am I still the owner? needed before "not run" */
  DKS_MSG_CLAIM_ACK,     /**< backup -> owner: verdict on CLAIM or CONFIRM */
  DKS_MSG_RESULT,        /**< runner -> owner and backup: final answer of a claimed key */
  DKS_MSG_SNAPSHOT,      /**< owner -> next backup, or former owner -> owner: part of the claims */
  DKS_MSG_SNAPSHOT_ACK,  /**< answer to SNAPSHOT: all parts have been stored */
  DKS_MSG_DEMAND,        /**< borrower -> lender: wanted slots */
  DKS_MSG_GRANT,         /**< lender -> borrower: reserved slots */
  DKS_MSG_GRANT_RETURN,  /**< borrower -> lender: slots that are not needed */
  DKS_MSG_RUN,           /**< borrower -> lender: one task for a granted slot */
  DKS_MSG_RUN_DONE,      /**< lender -> borrower: outcome of RUN */
  DKS_MSG_RUN_ABORT,     /**< borrower -> lender: the result is not needed any more */
  DKS_MSG_RECORD,        /**< a platform record (settings or a view) with its version */
  DKS_MSG_RECORD_ASK,    /**< asks a peer for all its records */
  DKS_MSG_LEASED_STATUS, /**< heartbeat of instances whose targets run under leases */
  DKS_MSG_ADDRESSES,     /**< peer addresses of other instances that the sender knows */
  DKS_MSG_WORK,          /**< entry -> leader: a batch; leader -> leader: tasks to run at once */
  DKS_MSG_WORK_DONE,     /**< answer to WORK; none follows for lent tasks */
  DKS_MSG_WORK_CANCEL,   /**< nobody waits for this WORK any more */
  DKS_MSG_LENT_DONE,     /**< outcome of one lent task */
  DKS_MSG_TARGETS, /**< all targets that the sender knows, for one that cannot read the list */
  DKS_MSG_SPEEDS,  /**< leader -> its data centre: what it has learned of targets and queues */

  DKS_MSG_TYPE_COUNT
} dks_msg_type_t;

/** Outcome of a lent task. */
typedef enum
{
  DKS_LENT_OK = 1,
  DKS_LENT_FAILED,      /**< the task ended badly */
  DKS_LENT_REFUSED,     /**< no room; it was not started */
  DKS_LENT_INTERRUPTED, /**< it ended without a result by no fault of its own; nothing of it runs */
  DKS_LENT_LATE,        /**< it runs, and will end after the caller's time */

} dks_lent_result_t;

/** What a leader has learned of a target. */
typedef struct
{
  char id[DKS_NAME_SIZE];
  int64_t incarnation_ms;  /**< life of the target that it is about, Unix ms, 0: not known */
  uint32_t slowness_milli; /**< run time over the expected one, thousandths */
  uint32_t samples;        /**< runs that it was learned from */
} dks_target_speed_t;

/** What a leader has learned of a queue's tasks. */
typedef struct
{
  char name[DKS_NAME_SIZE];
  int64_t mean_run_us; /**< run time on an average target, geometric mean */
  uint32_t samples;    /**< runs that it was learned from */
} dks_queue_run_time_t;

const char *dks_lent_result_name (dks_lent_result_t result);

/** Outcome of one attempt to run a task at a target. */
typedef enum
{
  DKS_ATTEMPT_OK = 1,
  DKS_ATTEMPT_NOT_STARTED, /**< the target or lender certainly did not start it */
  DKS_ATTEMPT_FAILED,      /**< the target answered with an error after the start */
  DKS_ATTEMPT_LOST,        /**< no answer; it may have run */
} dks_attempt_status_t;

/** One claim as it stands in SNAPSHOT and RESULT messages. */
typedef struct
{
  char key[DKS_KEY_SIZE];
  int64_t issued_ms;
  uint64_t digest;
  char runner[DKS_NAME_SIZE]; /**< instance that executes it */
  dks_answer_t *answer;       /**< NULL while not finished */
} dks_claim_item_t;

typedef struct
{
  uint32_t refs;
  dks_msg_type_t type;
  union
  {
    struct
    {
      int64_t wall_ms;          /**< sender's clock */
      int64_t settings_version; /**< version of the settings tree in force, 0 for none */
      int64_t view_version;     /**< store revision of the sender's own data centre's view */
      uint32_t free_slots;      /**< slots that could be lent now */
      uint32_t capacity;        /**< usable slots, free or not */
      uint32_t queued_tasks;
      bool draining;             /**< shutting down, and lends no more slots */
      uint32_t demand_total;     /**< as in DEMAND; keeps the receiver's demand up to date */
      int64_t oldest_arrival_ms; /**< as in DEMAND */
    } heartbeat;
    struct
    {
      uint64_t request; /**< chosen by the entry, never reused by one instance */
      dks_submission_t *submission;
    } forward;
    struct
    {
      uint64_t request;
      char key[DKS_KEY_SIZE];
      bool cancel; /**< else only query */
    } ask;
    struct
    {
      uint64_t request;
      dks_answer_t *answer; /**< problem MOVED: ask the new owner */
    } answer;
    struct
    {
      uint32_t shard;
      uint64_t epoch; /**< shard epoch under which the owner acts */
      uint64_t id;    /**< echoed by CLAIM_ACK */
      dks_claim_item_t item;
    } claim;
    struct
    {
      uint32_t shard;
      uint64_t epoch;
      uint64_t id;
    } confirm;
    struct
    {
      uint32_t shard;
      uint64_t epoch; /**< epoch known to the backup */
      uint64_t id;
      bool ok;
    } claim_ack;
    struct
    {
      uint32_t shard;
      dks_claim_item_t item;
    } result;
    struct
    {
      uint32_t shard;
      uint64_t epoch;
      uint64_t id;      /**< snapshot id, echoed by SNAPSHOT_ACK */
      int64_t floor_ms; /**< keys issued before this have no record */
      bool first;       /**< first part: drop earlier content */
      bool last;        /**< last part */
      uint32_t count;
      dks_claim_item_t *items;
    } snapshot;
    struct
    {
      uint32_t shard;
      uint64_t id;
    } snapshot_ack;
    struct
    {
      uint32_t demand_total; /**< slots wanted in all since the connection came up, modulo 2^32; a
                          lower value than before withdraws */
      int64_t oldest_arrival_ms; /**< arrival of the oldest waiting task, Unix ms */
    } demand;
    struct
    {
      uint32_t count;
    } grant; /**< GRANT and GRANT_RETURN */
    struct
    {
      uint64_t attempt; /**< chosen by the borrower, never reused by one instance */
      char key[DKS_KEY_SIZE];
      char service[DKS_NAME_SIZE];
      uint32_t index;
      uint32_t attempt_number; /**< attempt number of this task, from 1 */
      int64_t deadline_ms;     /**< Unix ms */
      dks_task_spec_t spec;
    } run;
    struct
    {
      uint64_t attempt; /**< RUN_DONE and RUN_ABORT */
      dks_attempt_status_t status;
      dks_blob_t *body;
    } run_done;
    struct
    {
      char key[DKS_NAME_SIZE + 8]; /**< store key, e.g. "settings" or "view/dc1" */
      int64_t version;             /**< store revision */
      dks_blob_t *value;
    } record;
    struct
    {
      uint64_t term;      /**< of the sender as leader of its data centre, 0: it does not lead */
      int64_t started_ms; /**< start of the sender's process, Unix ms */
      int64_t catalog_version;      /**< in force, 0 for none */
      uint32_t free_tasks;          /**< leader: how many tasks of the usual size fit now */
      uint32_t free_fast_tasks;     /**< leader: how many of these on about its fastest targets */
      uint32_t fast_slowness_milli; /**< slowness of the fastest target with room, thousandths */

      uint32_t waiting_tasks;   /**< leader: tasks that found no room */
      uint32_t processor_milli; /**< processor time of the sender, thousandths of a processor */
      bool draining;            /**< shutting down; is no candidate for leader */
      bool knows_targets;       /**< without it, it is no candidate either */
      bool yields_leadership;   /**< leader: gives way to a clearly larger instance */
      int64_t sent_us;          /**< monotonic time of the sender */
    } leased_status;
    struct
    {
      uint32_t count;
      char (*items)[DKS_ADDRESS_SIZE];
    } addresses;
    struct
    {
      uint32_t count;
      dks_target_info_t *items;
    } targets;
    struct
    {
      uint32_t target_count;
      dks_target_speed_t *targets;
      uint32_t queue_count;
      dks_queue_run_time_t *queues;
    } speeds;
    struct
    {
      uint64_t request; /**< chosen by the sender, never reused by one instance */
      dks_batch_t *batch;
      int64_t age_us;       /**< time since the caller's request arrived */
      int64_t objective_us; /**< a good answer is that long after the arrival at most */
      int64_t budget_us;    /**< no answer is wanted later than this after the arrival */
      bool resent;          /**< another leader has had it; runs of its tasks may exist */
      uint32_t step;        /**< lent tasks: their step; the batch has just this one */
      uint32_t lent_count;  /**< 0: the whole batch */
      uint32_t *lent_tasks; /**< indices of lent tasks */
      uint32_t *lent_runs;  /**< numbers of their runs */
      int64_t sent_us;      /**< monotonic time of the sender */
    } work;
    struct
    {
      uint64_t request;
      uint32_t answer;         /**< dks_batch_answer_t */
      uint32_t retry_after_ms; /**< 0: no advice */
      char detail[DKS_TEXT_SIZE];
    } work_done;
    struct
    {
      uint64_t request;
    } work_cancel;
    struct
    {
      uint64_t request;
      uint32_t index;  /**< of the task in its step */
      uint32_t run;    /**< that the borrower gave it; answers to earlier ones may arrive late */
      uint32_t result; /**< dks_lent_result_t */
    } lent_done;
  } u;
} dks_msg_t;

/** New message with zeroed content and one reference. */
dks_msg_t *dks_msg_create (dks_msg_type_t type);
dks_msg_t *dks_msg_ref (dks_msg_t *msg);
/** Drops a reference and with the last one everything that the message refers to. */
void dks_msg_unref (dks_msg_t *msg);
/** Stable name of a message type, e.g. "claim". */
const char *dks_msg_name (dks_msg_type_t type);

#endif
