/**
 * State of the reducer, and the functions that its source files share. Internal: hosts use
 * core/reducer.h.
 *
 * apr_hash tables are used for look-ups only: their order of iteration differs between program
 * runs. Everything that is iterated is kept in a ring, so that a run can be repeated from its seed.
 */
#ifndef DKS_CORE_STATE_H
#define DKS_CORE_STATE_H

#include "common/timer.h"
#include "core/claim.h"
#include "core/job.h"
#include "core/queue.h"
#include "core/reducer.h"
#include "core/retry.h"
#include "core/view.h"

#include <apr_hash.h>
#include <apr_ring.h>

typedef struct dks_peer_t dks_peer_t;
typedef struct dks_request_t dks_request_t;
typedef struct dks_unconfirmed_answer_t dks_unconfirmed_answer_t;
typedef struct dks_edit_t dks_edit_t;

/** Another instance. */
struct dks_peer_t
{
  APR_RING_ENTRY (dks_peer_t) link;
  char id[DKS_NAME_SIZE]; /**< member id */
  char data_centre[DKS_NAME_SIZE];
  bool up;               /**< a connection to the instance is open */
  int64_t last_heard_us; /**< monotonic time of the latest message from the instance */
  bool draining;
  uint32_t free_slots; /**< as last reported by the peer, less the slots demanded from it since */
  uint32_t capacity;   /**< usable slots, as last reported by the peer */
  uint32_t queued_tasks;
  int64_t settings_version;
  int64_t view_version;
  /* As borrower. Demands and grants are cumulative counts since the connection came up, so that a
   * demand and a grant that cross on the way are not counted twice. */
  uint32_t demand_sent;     /**< `demand_total` as last sent to the peer */
  uint32_t demand_total;    /**< slots demanded from the peer since the connection came up */
  uint32_t grants_received; /**< slots granted by the peer since the connection came up */
  uint32_t credits;         /**< slots granted by the peer that have not been used yet */
  /* As lender. */
  uint32_t demand_received;         /**< slots demanded by the peer since the connection came up */
  uint32_t grants_total;            /**< slots granted to the peer since the connection came up */
  int64_t demand_oldest_arrival_ms; /**< arrival of the peer's oldest waiting task, Unix ms */
  uint32_t grants_unused;           /**< slots granted to the peer that it has not used yet */
  int64_t last_grant_us;            /**< monotonic time of the latest grant to the peer */
  uint32_t grants_unsent; /**< slots granted while the current event is applied; their GRANT message
                             has not been sent */
};

typedef enum
{
  DKS_REQUEST_SUBMIT = 1,
  DKS_REQUEST_CANCEL,
  DKS_REQUEST_QUERY,
} dks_request_kind_t;

/** A caller's request at its entry instance. */
struct dks_request_t
{
  APR_RING_ENTRY (dks_request_t) link;
  struct dks_reducer_t *reducer;
  uint64_t id;
  dks_request_kind_t kind;
  uint64_t caller; /**< 0 when the caller has disconnected or has been answered ACCEPTED */
  dks_submission_t *submission;
  char key[DKS_KEY_SIZE];
  int home_data_centre; /**< index in config.data_centres */
  uint32_t shard;
  char sent_to[DKS_NAME_SIZE]; /**< member id of the owner that the request was sent to, or empty */
  int64_t routing_deadline_us; /**< monotonic time at which the search for an owner is given up
                                  while `sent_to` is empty */
  dks_timer_t timer;
};

/** A "not run" or ACCEPTED answer that is sent once the backup has confirmed the ownership of the
 * shard. */
struct dks_unconfirmed_answer_t
{
  APR_RING_ENTRY (dks_unconfirmed_answer_t) link;
  dks_waiter_t waiter;
  dks_answer_t *answer;
  int64_t created_us;  /**< monotonic time at which the answer was created */
  uint64_t confirm_id; /**< confirm message that covers this answer, 0 if not sent yet */
};

/** An operator's edit of the settings tree that has not been answered yet. */
struct dks_edit_t
{
  APR_RING_ENTRY (dks_edit_t) link;
  uint64_t caller;
  dks_settings_edit_t request;
  int64_t deadline_us;
  int64_t accepted_version; /**< version of the tree that contains the edit, 0 until the store has
                               accepted it */
};

/** State of one shard of the own data centre, as its owner, backup or former owner or backup. */
typedef struct
{
  dks_claims_t *claims;
  bool fenced;                   /**< as backup: claims of the owner are rejected */
  dks_job_ring_t jobs;           /**< all jobs of this shard that run here */
  char sync_peer[DKS_NAME_SIZE]; /**< as owner: member that receives a copy of the claims (the next
                                    backup), or empty */
  uint64_t sync_id;              /**< snapshot id of the copy for `sync_peer` */
  int64_t sync_started_us;       /**< monotonic time at which the copy was started */
  bool sync_acked;               /**< `sync_peer` has acknowledged the complete copy */
  bool sync_cas_pending;         /**< a CAS that adds `sync_peer` may still take effect */
  bool release_cas_pending; /**< a CAS that gives up the shard may still take effect; no new claims
                               are made */
  char sync_from[DKS_NAME_SIZE]; /**< owner that is copying its claims to this instance, or empty */
  uint64_t confirm_id;     /**< id of the confirm message without acknowledgement, 0 for none */
  int64_t confirm_sent_us; /**< monotonic time at which the confirm message was sent */
  bool confirm_backup_ok;  /**< acknowledged by the backup, or there is no backup */
  bool confirm_sync_ok;    /**< acknowledged by `sync_peer`, or that is not needed */
  APR_RING_HEAD (dks_unconfirmed_answer_ring_t, dks_unconfirmed_answer_t) unconfirmed_answers;
  /* As an owner that took over without the claims: the floor was raised, and is lowered again once
   * the claims have been recovered from the members that hold them. */
  char former_holders[2][DKS_NAME_SIZE]; /**< owner and backup before the takeover, which hold the
                                            claims; empty when they are not needed */
  int64_t former_floor_ms;               /**< floor before the takeover, Unix ms */
  bool recovered; /**< the claims have been recovered: `recovered_floor_ms` may replace the floor in
                     the view */
  int64_t recovered_floor_ms;
  uint64_t recovered_sync_id; /**< copies of the claims with a higher `sync_id` contain the
                                 recovered claims */
  /* As a former owner or backup: the claims that the new owner lacks are sent to it. */
  char handback_to[DKS_NAME_SIZE]; /**< the new owner, or empty */
  uint64_t handback_id;            /**< snapshot id */
  int64_t handback_sent_us;  /**< monotonic time at which the claims were last sent, 0 for never */
  int64_t handback_floor_ms; /**< claims of keys issued before this have been dropped from the
                                table, Unix ms */
  int64_t own_floor_ms; /**< the table has all claims that were made before the shard was lost for
                           keys issued at or after this, Unix ms */
} dks_shard_state_t;

struct dks_reducer_t
{
  dks_config_t config;
  char self[DKS_NAME_SIZE];
  int own_data_centre; /**< index of the own data centre in config.data_centres */
  dks_time_t now;
  int64_t running_since_us; /**< monotonic time of the start of this instance, or of the end of its
                               latest pause */
  int64_t last_event_us;    /**< monotonic time of the latest event */
  dks_effects_t *effects;   /**< output of the event that is being applied */
  uint64_t random;          /**< state of the random number generator */
  uint64_t next_id;         /**< next id for requests, attempts, operations and claims */
  apr_pool_t *pool;
  dks_timers_t *timers;
  dks_counters_t counters;

  /* members.c */
  APR_RING_HEAD (dks_peer_ring_t, dks_peer_t) peers;
  apr_hash_t *peers_by_id;
  dks_view_t views[DKS_DATA_CENTRES_MAX];
  dks_blob_t
      *view_records[DKS_DATA_CENTRES_MAX]; /**< `views` in the form of records, NULL when unknown */
  dks_timer_t heartbeat_timer;
  uint32_t heartbeat_count;
  int64_t list_read_us;          /**< monotonic time of the latest instance list, 0 for none */
  int64_t platform_available_us; /**< monotonic time since which the instance list has been read
                                    without a long gap */
  apr_hash_t *unlisted_since;    /**< instance id -> int64_t, monotonic us since when the list lacks
                                    it; no entry while listed */

  /* view_ops.c */
  uint64_t view_op; /**< id of the store operation under way, 0 for none */
  bool view_op_is_cas;
  dks_view_t view_proposed;
  dks_timer_t view_timer;
  int64_t joined_us; /**< monotonic time at which this member last joined the view, 0 for never */
  bool view_known;   /**< the own view has been read from the store or a peer */

  /* owner.c */
  dks_shard_state_t shards[DKS_SHARDS];
  apr_hash_t *jobs_by_key;
  apr_hash_t *pending_claims; /**< claim id -> job, for claims without acknowledgement */

  /* jobs.c */
  dks_queue_t *queue;
  dks_job_ring_t ready; /**< active jobs with tasks to start, in order of their claims */
  uint32_t ready_tasks;
  uint32_t claiming_tasks;
  apr_hash_t *attempts_by_id;
  dks_attempt_ring_t attempts;
  uint32_t attempt_count;
  dks_targets_t *targets;
  dks_retry_budget_t retry_budget;
  dks_retry_budget_t hedge_budget;
  int64_t queue_wait_ok_us; /**< monotonic time at which the expected wait in the queue was last
                               within queue_wait_target_ms */
  double mean_run_us;       /**< moving average of the run time of a task at a target */
  dks_timer_t dispatch_timer;

  /* lend.c */
  uint32_t grants_unused_total; /**< as lender: slots granted to peers and not used yet */
  dks_timer_t credit_timer;     /**< returns credits for which no task was found */
  uint32_t credits_total;       /**< as borrower: slots granted by peers and not used yet */

  /* entry.c */
  apr_hash_t *requests_by_id;
  apr_hash_t *requests_by_caller;
  APR_RING_HEAD (dks_request_ring_t, dks_request_t) requests;
  uint32_t request_count;

  /* settings_ops.c */
  dks_settings_t *settings;
  dks_blob_t *settings_record; /**< record of the tree in force, to be sent to peers */
  int64_t settings_revision;   /**< store revision of `settings_record` */
  APR_RING_HEAD (dks_edit_ring_t, dks_edit_t) edits;
  uint64_t settings_op;
  bool settings_op_is_cas;
  dks_settings_t *settings_proposed;
  dks_timer_t settings_timer;

  bool draining;
  int64_t drain_start_us; /**< monotonic time at which the drain began */
  int64_t work_done_us;   /**< the same of the end of the last work while draining, 0 before */
  bool exit_sent;

  struct dks_leased_t *leased; /**< state of targets that run tasks under leases; NULL when tasks
                                  are sent as HTTP requests */
};

/* reducer.c */
uint64_t dks_next_id (dks_reducer_t *r);
uint64_t dks_random (dks_reducer_t *r);
void dks_emit_log (dks_reducer_t *r, dks_log_level_t level, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/** Whether a draining instance waits only for attempts to end. Until then it keeps lending its
 * slots: other instances may need them for tasks of the requests that it waits for. */
bool dks_drain_is_final (const dks_reducer_t *r);
/** Sends a message and drops the caller's reference to it. */
void dks_emit_peer (dks_reducer_t *r, const char *peer, dks_msg_t *msg);
void dks_settings_values (dks_reducer_t *r, const char *service, const char *team,
                          dks_settings_values_t *values);

/* members.c */
void dks_members_init (dks_reducer_t *r);
void dks_members_clear (dks_reducer_t *r);
dks_peer_t *dks_peer_find (const dks_reducer_t *r, const char *id);
/** Whether the peer is connected and a message from it has arrived within twice the failure
 * timeout. */
bool dks_peer_is_usable (const dks_reducer_t *r, const dks_peer_t *peer);
/** Whether the member is not known to have been silent for the failure timeout. */
bool dks_member_is_alive (const dks_reducer_t *r, const char *id);
/** Whether the silence of other members is evidence that they have failed. An instance that was cut
 * off from the network has received no message from any peer, and may reach the platform again
 * before it reaches its peers; it must not remove the peers for that silence. */
bool dks_members_can_detect_failures (const dks_reducer_t *r);
/** Whether the process of `member` is proved to have ended. `member` may be a former member. */
bool dks_member_is_dead (const dks_reducer_t *r, const dks_view_member_t *member);
void dks_members_handle_up (dks_reducer_t *r, const char *id, const char *data_centre);
void dks_members_handle_down (dks_reducer_t *r, const char *id);
void dks_members_handle_heartbeat (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg);
void dks_members_handle_list (dks_reducer_t *r, const dks_listed_instance_t *items, size_t count);
/** Registers a member of the own view. A new member counts as alive for the failure timeout, in
 * which connections are made; otherwise it would be removed as soon as it has joined. */
void dks_members_register (dks_reducer_t *r, const char *id);
/** Restarts the failure timeout of all peers after this process has been paused. */
void dks_members_reset_silence (dks_reducer_t *r);
/** Sends the known settings and views to the member `peer`. */
void dks_members_send_records (dks_reducer_t *r, const char *peer);
/** Sends the view of the data centre with this index to the member `peer`. */
void dks_members_send_view (dks_reducer_t *r, const char *peer, size_t data_centre_index);

/* view_ops.c */
void dks_view_ops_init (dks_reducer_t *r);
/** The view of the own data centre. */
const dks_view_t *dks_own_view (const dks_reducer_t *r);
/** Applies a view record if it is newer than the known view of its data centre. */
void dks_view_handle_record (dks_reducer_t *r, const char *data_centre, int64_t version,
                             dks_blob_t *value);
void dks_view_handle_reply (dks_reducer_t *r, dks_store_status_t status, int64_t version,
                            dks_blob_t *value);
/** Plans changes of the own view and proposes them to the store, unless a store operation is under
 * way. */
void dks_view_review (dks_reducer_t *r);
void dks_view_inputs (dks_reducer_t *r, dks_view_inputs_t *inputs);

/* owner.c */
void dks_owner_init (dks_reducer_t *r);
void dks_owner_clear (dks_reducer_t *r);
bool dks_owner_is_self (const dks_reducer_t *r, uint32_t shard);
void dks_owner_submit (dks_reducer_t *r, dks_submission_t *submission, const dks_waiter_t *waiter);
void dks_owner_query_or_cancel (dks_reducer_t *r, const char *key, bool cancel,
                                const dks_waiter_t *waiter);
/** Gives a "not run" answer to all waiters of a job that was never started, and drops the job. */
void dks_owner_refuse_job (dks_reducer_t *r, dks_job_t *job, dks_problem_t problem,
                           uint32_t retry_after_ms, const char *detail);
/** Periodic work on all shards: fences failed owners, copies claims to new backups, resolves claims
 * whose runner has failed. */
void dks_owner_review (dks_reducer_t *r);
/** Drops expired claims. */
void dks_owner_expire (dks_reducer_t *r);

/* reply.c */
void dks_waiter_answer (dks_reducer_t *r, const dks_waiter_t *waiter, dks_answer_t *answer);

/* claim_ops.c */
/** Sends or resends the claim of a job in state CLAIMING; activates the job at once if no
 * acknowledgement is needed. */
void dks_owner_claim (dks_reducer_t *r, dks_job_t *job);
/** Answers UNKNOWN to the callers of a job whose claim is not acknowledged in time, and drops the
 * job. */
void dks_owner_give_up_job (dks_reducer_t *r, dks_job_t *job);
/** Records the final answer of a job at the owner and backup of its shard. */
void dks_owner_record_answer (dks_reducer_t *r, dks_job_t *job);
void dks_owner_handle_ack (dks_reducer_t *r, const char *peer, const dks_msg_t *msg);

/* backup.c */
void dks_owner_handle_claim (dks_reducer_t *r, const char *peer, const dks_msg_t *msg);
void dks_owner_handle_confirm (dks_reducer_t *r, const char *peer, const dks_msg_t *msg);

/* runner.c */
void dks_owner_handle_result (dks_reducer_t *r, const char *peer, const dks_msg_t *msg);
/** Handles the answer of the instance that runs a claim to a query of its result. */
void dks_owner_handle_runner_answer (dks_reducer_t *r, const char *key, dks_answer_t *answer);

/* recovery.c */
/** Whether the claims that were missing at a takeover have been recovered, also at the backup. */
bool dks_owner_can_lower_floor (const dks_reducer_t *r, uint32_t shard);
void dks_owner_handle_snapshot (dks_reducer_t *r, const char *peer, const dks_msg_t *msg);
void dks_owner_handle_snapshot_ack (dks_reducer_t *r, const char *peer, const dks_msg_t *msg);
void dks_owner_handle_peer_down (dks_reducer_t *r, const char *peer);

/* takeover.c */
void dks_owner_handle_view (dks_reducer_t *r, const dks_view_t *old);

/* jobs.c */
void dks_jobs_init (dks_reducer_t *r);
void dks_jobs_clear (dks_reducer_t *r);
dks_job_t *dks_job_create (dks_reducer_t *r, dks_submission_t *submission, uint32_t shard);
void dks_job_unref (dks_job_t *job);
dks_job_t *dks_job_find (const dks_reducer_t *r, const char *key);
void dks_job_add_waiter (dks_job_t *job, const dks_waiter_t *waiter);
void dks_job_answer_waiters (dks_reducer_t *r, dks_job_t *job, dks_answer_t *answer);
/** Starts to work on a job whose claim was granted. */
void dks_job_activate (dks_reducer_t *r, dks_job_t *job);
/** Removes a job that was never started from all lists and drops it. */
void dks_job_discard (dks_reducer_t *r, dks_job_t *job);
/** Ends a job with its final answer. Attempts under way may finish; their results are ignored. */
void dks_job_finish (dks_reducer_t *r, dks_job_t *job, dks_outcome_t outcome, dks_problem_t problem,
                     const char *detail);
/** Claims queued jobs and starts ready tasks as far as slots allow. */
void dks_jobs_dispatch (dks_reducer_t *r);
void dks_jobs_handle_target_reply (dks_reducer_t *r, uint64_t id, dks_attempt_status_t status,
                                   bool leaving, dks_blob_t *body);
void dks_jobs_handle_run (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg);
void dks_jobs_handle_run_done (dks_reducer_t *r, const char *peer, const dks_msg_t *msg);
void dks_jobs_handle_run_abort (dks_reducer_t *r, const char *peer, const dks_msg_t *msg);
void dks_jobs_handle_peer_down (dks_reducer_t *r, const char *peer);
void dks_jobs_handle_targets_changed (dks_reducer_t *r);
/** Number of tasks that are admitted and not started. */
uint32_t dks_jobs_backlog (const dks_reducer_t *r);
/** Starts one ready task of this instance: on an own target if `lender` is NULL, else on a slot
 * lent by `lender`. */
bool dks_job_start_next (dks_reducer_t *r, dks_peer_t *lender);
/** Arrival time of the oldest ready task in Unix ms, or INT64_MAX when there is none. */
int64_t dks_jobs_oldest_ready_arrival_ms (const dks_reducer_t *r);

/* lend.c */
void dks_lend_init (dks_reducer_t *r);
/** Free slots of own targets that are not granted to peers. */
uint32_t dks_lend_free_slots (const dks_reducer_t *r);
/** Slots granted by peers that have not been used yet. */
uint32_t dks_lend_credits (const dks_reducer_t *r);
/** Slots demanded from connected peers that have not been granted yet. */
uint32_t dks_lend_open_demand (const dks_reducer_t *r);
/** Grants one free slot to the peer whose oldest task has waited longest, if that task arrived
 * before `own_oldest_ms` (Unix ms, INT64_MAX when no own task waits). Returns false if no slot was
 * granted. */
bool dks_lend_grant_one (dks_reducer_t *r, int64_t own_oldest_ms);
/** Sends the grants made during this event, and raises demands to match the backlog. */
void dks_lend_update (dks_reducer_t *r);
/** Called with each heartbeat: takes back grants that were not used in time, and adjusts the open
 * demands to the backlog and to the peers with free slots. */
void dks_lend_review (dks_reducer_t *r);
/** Writes the demand to `peer` into a heartbeat. */
void dks_lend_fill_heartbeat (const dks_reducer_t *r, dks_peer_t *peer, dks_msg_t *msg);
/** Records the demand of `peer`: cumulative slots, and arrival of its oldest task in Unix ms. */
void dks_lend_set_demand (dks_peer_t *peer, uint32_t demand_total, int64_t oldest_arrival_ms);
void dks_lend_handle_demand (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg);
void dks_lend_handle_grant (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg);
void dks_lend_handle_return (dks_reducer_t *r, dks_peer_t *peer, const dks_msg_t *msg);
void dks_lend_forget_peer (dks_reducer_t *r, dks_peer_t *peer);

/* entry.c */
void dks_entry_init (dks_reducer_t *r);
void dks_entry_clear (dks_reducer_t *r);
void dks_entry_handle_submit (dks_reducer_t *r, uint64_t caller, dks_submission_t *submission);
void
dks_entry_handle_query_or_cancel (dks_reducer_t *r, uint64_t caller, const char *key, bool cancel);
void dks_entry_handle_caller_gone (dks_reducer_t *r, uint64_t caller);
/** Handles the answer of the owner `peer` (empty: this instance) to a request of this entry
 * instance. */
void
dks_entry_handle_answer (dks_reducer_t *r, const char *peer, uint64_t id, dks_answer_t *answer);
/** Sends all requests that no owner has, or whose owner is no longer the owner, to the present
 * owners. */
void dks_entry_route_all (dks_reducer_t *r);

/* settings_ops.c */
void dks_settings_ops_init (dks_reducer_t *r);
void dks_settings_ops_clear (dks_reducer_t *r);
void dks_settings_ops_handle_record (dks_reducer_t *r, int64_t revision, dks_blob_t *value);
void dks_settings_ops_handle_reply (dks_reducer_t *r, dks_store_status_t status, int64_t revision,
                                    dks_blob_t *value);
void
dks_settings_ops_handle_edit (dks_reducer_t *r, uint64_t caller, const dks_settings_edit_t *edit);
/** Answers edits whose version is in force at all live instances, or whose deadline has passed. */
void dks_settings_ops_review (dks_reducer_t *r);

#endif
