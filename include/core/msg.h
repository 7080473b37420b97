/**
 * Messages between instances. The wire format is protobuf (proto/peer.proto); these structures are
 * the form in memory that the reducer reads and writes. Messages are reference-counted and
 * immutable once sent.
 */
#ifndef DKS_CORE_MSG_H
#define DKS_CORE_MSG_H

#include "core/lease.h"
#include "core/submission.h"

typedef enum
{
  DKS_MSG_HEARTBEAT = 1,
  DKS_MSG_FORWARD,   /**< entry -> owner: a submission */
  DKS_MSG_ASK,       /**< entry -> owner: cancel or query a key */
  DKS_MSG_ANSWER,    /**< owner -> entry: answer to FORWARD or ASK */
  DKS_MSG_CLAIM,     /**< owner -> backup: requests permission to start the work of a key */
  DKS_MSG_CONFIRM,   /**< owner -> backup: asks whether the sender is still the owner, before a "not
                        run" answer */
  DKS_MSG_CLAIM_ACK, /**< backup -> owner: accepts or rejects a CLAIM or CONFIRM */
  DKS_MSG_RESULT,    /**< runner -> owner and backup: final answer of a claimed key */
  DKS_MSG_SNAPSHOT,  /**< owner -> next backup, or former owner or backup -> owner: part of the
                        claims */
  DKS_MSG_SNAPSHOT_ACK,  /**< answer to the last SNAPSHOT: all parts have been stored */
  DKS_MSG_DEMAND,        /**< borrower -> lender: how many slots it needs */
  DKS_MSG_GRANT,         /**< lender -> borrower: slots that are reserved for the borrower */
  DKS_MSG_GRANT_RETURN,  /**< borrower -> lender: granted slots that it does not need */
  DKS_MSG_RUN,           /**< borrower -> lender: one task to run on a granted slot */
  DKS_MSG_RUN_DONE,      /**< lender -> borrower: outcome of RUN */
  DKS_MSG_RUN_ABORT,     /**< borrower -> lender: the result of RUN is no longer needed */
  DKS_MSG_RECORD,        /**< a platform record (settings or a view) with its version */
  DKS_MSG_RECORD_ASK,    /**< requests one record of a peer, or all */
  DKS_MSG_LEASED_STATUS, /**< heartbeat of instances whose targets run under leases */
  DKS_MSG_ADDRESSES,     /**< peer addresses of other instances that the sender knows */
  DKS_MSG_WORK, /**< entry -> leader: a batch; leader -> leader: lent tasks that are to start at
                   once */
  DKS_MSG_WORK_DONE,   /**< answer to WORK with a whole batch; for lent tasks LENT_DONE follows */
  DKS_MSG_WORK_CANCEL, /**< the answer to this WORK is no longer needed */
  DKS_MSG_LENT_DONE,   /**< outcome of one lent task */
  DKS_MSG_TARGETS, /**< all targets that the sender knows, for an instance that cannot read the list
                      from the platform */
  DKS_MSG_SPEEDS,  /**< leader -> instances of its data centre: measured speeds of targets and run
                      times of queues; also to other leaders: tasks under which targets crashed */

  DKS_MSG_TYPE_COUNT
} dks_msg_type_t;

/** Outcome of a lent task. */
typedef enum
{
  DKS_LENT_OK = 1,
  DKS_LENT_FAILED,      /**< the task failed */
  DKS_LENT_REFUSED,     /**< no target had free capacity; the task was not started */
  DKS_LENT_INTERRUPTED, /**< the task ended without a result, but did not fail; it does not run any
                           more */
  DKS_LENT_LATE, /**< the task runs, and will end after the time until which the caller waits */

} dks_lent_result_t;

/** Address of an instance, as another one knows it. */
typedef struct
{
  char text[DKS_ADDRESS_SIZE]; /**< IP:port */
  uint32_t unseen_s; /**< time since an instance there was last known to be connected, seconds */
} dks_member_address_t;

/** Speed of a target, as a leader has measured it from runs. */
typedef struct
{
  char id[DKS_NAME_SIZE];
  int64_t incarnation_ms;  /**< incarnation of the target that was measured: its start, Unix ms, 0
                              when unknown */
  uint32_t slowness_milli; /**< run time divided by the expected run time, thousandths */
  uint32_t samples;        /**< number of runs behind the value */
} dks_target_speed_t;

/** Run time of the tasks of a queue, as a leader has measured it. */
typedef struct
{
  char name[DKS_NAME_SIZE];
  int64_t mean_run_us; /**< geometric mean of the run time on an average target */
  uint32_t samples;    /**< number of runs behind the value */
} dks_queue_run_time_t;

/** A task under which targets have crashed. */
typedef struct
{
  char task_name[DKS_TASK_NAME_SIZE];
  uint32_t weight;    /**< 2 for each crash under a confirmed run, 1 for each other one */
  uint32_t withdrawn; /**< weight of supposed crashes that turned out to be none; `weight` is what
                         is left */
} dks_task_crashes_t;

const char *dks_lent_result_name (dks_lent_result_t result);

/** Outcome of one attempt to run a task at a target. */
typedef enum
{
  DKS_ATTEMPT_OK = 1,
  DKS_ATTEMPT_NOT_STARTED, /**< the target or lender certainly did not start it */
  DKS_ATTEMPT_FAILED,      /**< the target started the task and answered with an error */
  DKS_ATTEMPT_LOST,        /**< no answer; the task may have run */
} dks_attempt_status_t;

/** One claim, as CLAIM, RESULT and SNAPSHOT messages carry it. */
typedef struct
{
  char key[DKS_KEY_SIZE];
  int64_t issued_ms;
  uint64_t digest;
  char runner[DKS_NAME_SIZE]; /**< instance that runs the work of the key */
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
      int64_t wall_ms;          /**< Unix ms by the sender's clock */
      int64_t settings_version; /**< version of the settings tree in force, 0 for none */
      int64_t view_version;     /**< store revision of the sender's own data centre's view */
      uint32_t free_slots;      /**< slots that the sender could lend now */
      uint32_t capacity;        /**< usable slots, free or not */
      uint32_t queued_tasks;
      bool draining;         /**< shutting down, and lends no more slots */
      uint32_t demand_total; /**< as in DEMAND; repeated here so that the receiver knows the current
                                demand */
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
      bool cancel; /**< false: query */
    } ask;
    struct
    {
      uint64_t request;
      dks_answer_t *answer; /**< with problem MOVED the request must be sent to the new owner */
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
      bool first;       /**< first part: the receiver drops the parts of an earlier snapshot */
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
      uint32_t demand_total; /**< slots demanded since the connection came up, modulo 2^32; a lower
                                value than before withdraws demand */
      int64_t oldest_arrival_ms; /**< arrival of the sender's oldest waiting task, Unix ms */
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
      char key[DKS_NAME_SIZE + 8]; /**< store key; empty: all records */
    } record_ask;
    struct
    {
      uint64_t term;      /**< term of the sender as leader of its data centre, 0: not the leader */
      int64_t started_ms; /**< start of the sender's process, Unix ms */
      int64_t catalog_version; /**< version of the catalog in force, 0 for none */
      uint32_t free_tasks; /**< leader: how many tasks of the usual size fit on its targets now */
      uint32_t free_fast_tasks; /**< leader: how many of `free_tasks` fit on targets about as fast
                                   as its fastest target with free capacity */
      uint32_t fast_slowness_milli; /**< slowness of its fastest target with free capacity,
                                       thousandths */

      uint32_t waiting_tasks;   /**< leader: tasks for which there is no free capacity yet */
      uint32_t processor_milli; /**< processor time of the sender, thousandths of a processor */
      bool draining;            /**< shutting down; the sender is no candidate for leader */
      uint32_t handover_ms; /**< draining: time for which the sender can lead on, 0: none. While a
                               leader states some, only able instances take over from it */
      bool knows_targets;   /**< the sender knows the list of targets; otherwise it is no candidate
                               for leader */
      bool yields_leadership;  /**< leader: it will hand leadership to a clearly larger instance */
      int64_t sent_us;         /**< monotonic time of the sender */
      uint32_t interval_ms;    /**< the next status follows within this time, 0: not stated */
      uint64_t address_digest; /**< of the addresses that the sender knows */
      bool states_prior_jobs;  /**< the sender states, when it leads, the jobs that have runs on its
                                  targets to leaders of other data centres */
      uint64_t prior_jobs_term; /**< term of the receiver for which `prior_jobs` is stated, 0: none
                                   is stated */
      uint32_t prior_job_count;
      uint64_t *prior_jobs; /**< hashes of the ids of the jobs that have runs on its targets */
      int64_t heard_us;     /**< `sent_us` of the latest status of the receiver that the sender has
                               handled, 0: none, or not stated */
      uint64_t leader_term; /**< of the leader of its data centre that the sender hears itself,
                               or is; 0: not stated */
      uint64_t targets_digest; /**< of the targets of its data centre that the platform lists to the
                                  sender, 0: not stated */
      int64_t evacuations_revision; /**< of the store, up to which `evacuated` contains all changes;
                                       0: the sender does not know the evacuations */
      uint32_t evacuated_count;
      char (*evacuated)[DKS_NAME_SIZE]; /**< evacuated data centres */
    } leased_status;
    struct
    {
      uint32_t count;
      dks_member_address_t *items; /**< the first one is that of the sender */
    } addresses;
    struct
    {
      uint32_t count;
      dks_target_info_t *items;
      bool may_have_runs; /**< not the whole list: targets on which the sender may have runs */
    } targets;
    struct
    {
      uint32_t target_count;
      dks_target_speed_t *targets;
      uint32_t queue_count;
      dks_queue_run_time_t *queues;
      uint32_t task_crashes_count;
      dks_task_crashes_t *task_crashes;
    } speeds;
    struct
    {
      uint64_t request; /**< chosen by the sender, never reused by one instance */
      dks_batch_t *batch;
      int64_t age_us;       /**< time since the caller's request arrived */
      int64_t objective_us; /**< latency objective: the answer should come within this time after
                               the arrival */
      int64_t budget_us; /**< time budget: an answer later than this after the arrival is of no use
                            to the caller */
      bool resent;   /**< the work was sent to another leader before; runs of its tasks may exist */
      uint32_t step; /**< lent tasks: index of their step; `batch` has only this step */
      uint32_t lent_count;  /**< number of lent tasks, 0 for the whole batch */
      uint32_t *lent_tasks; /**< indices of lent tasks */
      uint32_t *lent_runs;  /**< run number of each lent task */
      int64_t sent_us;      /**< monotonic time of the sender */
      int64_t heard_us;     /**< `sent_us` of the latest status of the receiver that the sender has
                               handled, 0: none, or not stated */
      uint64_t home_term;   /**< lent tasks: term of the sender, 0: not stated */
      uint64_t remote_term; /**< term of the receiver, as the sender knows it; 0: not stated */
      uint64_t sent_term;   /**< highest term of the leaders to which the sender has sent the work
                               before, 0: not stated */
      bool malformed; /**< broke a bound when it was received: `batch` is empty, nothing is started
                       */
    } work;
    struct
    {
      uint64_t request;
      uint32_t answer;         /**< dks_batch_answer_t */
      uint32_t retry_after_ms; /**< 0: the answer has no retry advice */
      char detail[DKS_TEXT_SIZE];
    } work_done;
    struct
    {
      uint64_t request;
    } work_cancel;
    struct
    {
      uint64_t request;
      uint32_t index; /**< index of the task in its step */
      uint32_t run; /**< run number chosen by the home leader; answers about earlier runs may arrive
                       late */
      uint32_t result; /**< dks_lent_result_t */
    } lent_done;
  } u;
} dks_msg_t;

/** New message with zeroed content and one reference. */
dks_msg_t *dks_msg_create (dks_msg_type_t type);
dks_msg_t *dks_msg_ref (dks_msg_t *msg);
/** Drops a reference and with the last one everything that the message refers to. */
void dks_msg_unref (dks_msg_t *msg);
/** Stable name of a message type, e.g. "claim", used in log lines. */
const char *dks_msg_name (dks_msg_type_t type);

#endif
