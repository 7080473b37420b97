/**
 * Dispatch to targets that run tasks under leases. Internal to the reducer: hosts use
 * core/reducer.h.
 *
 * Every instance takes requests of callers (leased_entry.c) and passes them to the leader of its
 * data centre (leased_leader.c, leased_members.c). The leader orders the targets of its data centre
 * (leased_targets.c, leased_runs.c), places the tasks of jobs on them (leased_jobs.c) and lends
 * room to the leaders of other data centres. What the platform lists is followed in leased_feed.c.
 *
 * Hash tables serve look-ups only. Whatever is iterated stands in a ring, which keeps a run
 * repeatable.
 */
#ifndef DKS_CORE_LEASED_H
#define DKS_CORE_LEASED_H

#include "common/metrics.h"
#include "core/state.h"

#include <string.h>

enum
{
  /** Calls without an answer after which no call extends a target's lease any more. */
  DKS_LEASED_UNANSWERED_CALLS_MAX = 2,
  /** An answer of a target takes some ms; an instance may stand still for 100 ms. */
  DKS_LEASED_ANSWER_TIMEOUT_MS = 200,
  /** Entries that lapsed while the platform's store was away return within 2 s. */
  DKS_LEASED_UNLISTED_GRACE_US = 2500000
};

#define DKS_LEASED_MEAN_WEIGHT 0.02  /**< of a new sample in the moving averages of all targets */
#define DKS_LEASED_SLOWNESS_MAX 20.0 /**< bound of one sample of a target's slowness */
/** Of expected run times: declared ones are off by 40%, the middle with the queue's average by
 * less.
 */
#define DKS_LEASED_RUN_TIME_MARGIN 1.5

typedef struct dks_leased_t dks_leased_t;
typedef struct dks_leased_peer_t dks_leased_peer_t;
typedef struct dks_leased_target_t dks_leased_target_t;
typedef struct dks_leased_run_t dks_leased_run_t;
typedef struct dks_leased_job_t dks_leased_job_t;
typedef struct dks_leased_caller_t dks_leased_caller_t;
typedef struct dks_leased_request_t dks_leased_request_t;

/** Another instance. */
struct dks_leased_peer_t
{
  APR_RING_ENTRY (dks_leased_peer_t) link;
  char id[DKS_NAME_SIZE]; /**< member id */
  char data_centre[DKS_NAME_SIZE];
  bool connected;          /**< there is a connection */
  bool status_received;    /**< its state has been received on this connection */
  int64_t last_message_us; /**< latest message */
  uint64_t term;           /**< as leader of its data centre, 0: it does not lead */
  int64_t started_ms;
  int64_t catalog_version;
  int64_t catalog_sent_version; /**< version that was sent to it on this connection */
  uint32_t processor_milli;     /**< processor time that it may use, thousandths of a processor */
  int64_t last_leading_us;      /**< when it last told that it leads, 0: never */
  int64_t term_received_us;     /**< when its term was first told */
  int64_t connected_us;         /**< when the connection began */
  int64_t min_clock_diff_us;    /**< least difference between our clock and its sending times */
  int64_t lag_us;               /**< how long its latest state waited on the way and in our queue */
  bool draining;
  bool yields; /**< leads, and gives way to a larger instance */
  bool knows_targets;
  bool targets_sent;        /**< on this connection */
  uint32_t free_tasks;      /**< as last told, less what was lent since */
  uint32_t free_fast_tasks; /**< the same */
  double fast_slowness;     /**< of the fastest targets with room, as last told */

  uint32_t waiting_tasks;
};
APR_RING_HEAD (dks_leased_peer_ring_t, dks_leased_peer_t);

typedef enum
{
  DKS_LEASED_RUN_STARTING = 1, /**< the start has no answer yet */
  DKS_LEASED_RUN_UNCONFIRMED,  /**< the start got no answer; the target's lists or a stop will tell
                                */
  DKS_LEASED_RUN_RUNNING,
  DKS_LEASED_RUN_STOPPING, /**< takes room until the target lists its end */
} dks_leased_run_state_t;

/** A run on one of our targets. */
struct dks_leased_run_t
{
  APR_RING_ENTRY (dks_leased_run_t) link; /**< in the target's list */
  dks_leased_t *leased;
  dks_leased_target_t *target;
  char task_name[DKS_TASK_NAME_SIZE];
  uint32_t number;
  dks_leased_run_state_t state;
  dks_leased_job_t *job; /**< NULL: nobody waits for it (adopted, or stopped) */
  uint32_t task_index;   /**< index in the job's tasks */
  uint32_t cpu_milli;
  uint32_t memory_mb;
  uint32_t accelerators;
  double expected_us;        /**< on an average target, 0: not known */
  int64_t start_sent_us;     /**< when the start was sent */
  int64_t acked_us;          /**< when the start or the stop was answered, 0 before */
  int64_t last_list_sent_us; /**< sending time of the latest call whose list had it */
  uint32_t progress_percent; /**< of its work, as last reported */
  int64_t last_report_us;    /**< when the target last reported it, 0: never */
  int64_t last_progress_us;  /**< when `percent` last rose */
  int64_t adopted_us;        /**< when it was found in a target's list, 0: started here */
  int64_t stop_sent_us;      /**< when the stop was last sent */
  uint64_t op;               /**< start or stop under way, 0 for none */
  bool slowness_recorded;    /**< its target was noted as slow because of it */
};
APR_RING_HEAD (dks_leased_run_ring_t, dks_leased_run_t);

/** A learned value as it was last told to the other instances of the data centre. */
typedef struct
{
  double value;
  uint32_t samples; /**< that it was learned from then, 0: not told yet */
} dks_leased_published_t;

/** A target of any data centre, and the orders to it when we hold it. */
struct dks_leased_target_t
{
  APR_RING_ENTRY (dks_leased_target_t) link;
  dks_leased_t *leased;
  dks_target_info_t info;
  bool listed;              /**< in the platform's list; else it ends with its runs */
  int64_t unlisted_us;      /**< when it left the list */
  uint32_t feed_generation; /**< read of the list that contained it last */
  bool held;                /**< we order it */
  bool synced;              /**< its lists have been read under our fence */
  uint64_t fence;           /**< of our orders */
  int64_t born_ms;          /**< life that our knowledge is about */
  int64_t last_end_number;  /**< number of the last end that was handled */
  int64_t clock_offset_ms;  /**< target's clock less our monotonic clock, rounded down */
  bool clock_known;
  uint64_t hold_op;          /**< waiting hold under way, 0 for none */
  int64_t hold_sent_us;      /**< when it was sent */
  uint64_t poll_op;          /**< hold that does not wait, 0 for none */
  int64_t poll_sent_us;      /**< when it was sent */
  bool poll_again;           /**< another look is wanted after the present one */
  int64_t last_answer_us;    /**< latest answer */
  int64_t lease_extended_us; /**< latest call that may have extended the lease */
  uint32_t unanswered_calls; /**< calls without an answer since the latest one */
  dks_timer_t hold_timer;
  dks_timer_t expiry_timer; /**< armed while the target is silent */
  struct dks_leased_run_ring_t runs;
  uint32_t run_count;
  uint32_t cpu_used;
  uint32_t memory_used;
  uint32_t accelerators_used;
  double slowness; /**< run time over estimate, moving average */
  uint32_t slowness_samples;
  uint32_t slow_run_ends; /**< latest ends in a row that took much longer than its slowness tells */
  dks_leased_published_t published_slowness; /**< slowness */

  double failure_rate;      /**< moving average of failed ends, 0 to 1 */
  int64_t ejected_until_us; /**< gets no work before this */
  uint32_t ejections;
  int64_t full_until_us; /**< rejected a start for want of room */
};
APR_RING_HEAD (dks_leased_target_ring_t, dks_leased_target_t);

typedef enum
{
  DKS_LEASED_TASK_WAITING = 1,
  DKS_LEASED_TASK_PLACED, /**< has a run on one of our targets */
  DKS_LEASED_TASK_LENT,   /**< runs at another leader */
  DKS_LEASED_TASK_DONE,
} dks_leased_task_state_t;

typedef struct
{
  uint32_t step;       /**< in the whole job */
  uint32_t index;      /**< in its step */
  uint32_t batch_step; /**< position of its step in the batch at hand */
  dks_leased_task_state_t state;
  uint32_t failed_attempts; /**< that failed */
  bool wants_faster_target; /**< ends late on every target that is free here */
  double best_slowness;     /**< of the best of these, HUGE_VAL: none */
  double observed_run_us;   /**< run time on an average target by its progress, 0: not known */
  bool was_moved;           /**< to another target, because it would have ended too late */
  bool late_reported;       /**< the borrower knows that it ends too late */

  bool no_prior_run;                 /**< nothing that an earlier leader started is at work */
  uint32_t run_number;               /**< number of the latest run */
  uint32_t lent_run_number;          /**< of a task lent to us: the number that its borrower gave */
  dks_leased_run_t *current_run;     /**< PLACED */
  char remote_leader[DKS_NAME_SIZE]; /**< LENT: member that has it */
  uint64_t remote_term;              /**< LENT: its term */
  bool remote_lost;                  /**< LENT: its successor has to be asked */
  char remote_data_centre[DKS_NAME_SIZE]; /**< LENT: data centre of the targets that run it */
  int64_t not_before_us;
  char avoid_target[DKS_NAME_SIZE]; /**< target on which it failed last */
} dks_leased_task_t;

/** A job that we place: of an entry instance, or tasks that another leader lent us. */
struct dks_leased_job_t
{
  APR_RING_ENTRY (dks_leased_job_t) link; /**< in the order of service */
  dks_leased_t *leased;
  char origin[DKS_NAME_SIZE]; /**< member id of the sender */
  uint64_t request_id;        /**< its number there */
  uint64_t lend_id;           /**< number of our own WORK messages for it */
  bool is_lent;               /**< tasks that another leader lent us: placed at once or refused */
  dks_batch_t *batch;
  int64_t arrival_us;       /**< of the caller's request */
  int64_t received_us;      /**< when it came to us */
  int64_t objective_end_us; /**< of a good answer */

  int64_t latest_start_us; /**< a start after this misses the objective */
  bool objective_missed;   /**< it has missed the objective before its first start */
  int64_t refuse_at_us;    /**< refused if nothing of it has started by then */
  int64_t deadline_us;     /**< no answer is wanted after this */
  uint32_t min_cpu_milli;  /**< least processor time that one of its tasks takes */
  double expected_run_us;  /**< expected run time of one of its tasks, in the mean */
  bool prior_runs_checked; /**< what earlier leaders may have started of it has been looked for */
  bool resent;
  bool started;          /**< a task was started or lent */
  int64_t last_start_us; /**< when a task was last started or lent, 0 for never */
  uint32_t task_count;
  uint32_t waiting_count;
  uint32_t done_count;
  uint32_t
      step_unfinished[DKS_BATCH_STEPS_MAX];  /**< tasks that have not ended, by step of the batch */
  int64_t step_tail_us[DKS_BATCH_STEPS_MAX]; /**< expected time of the steps that follow a step */

  dks_timer_t timer;
  dks_leased_task_t tasks[];
};
APR_RING_HEAD (dks_leased_job_ring_t, dks_leased_job_t);

/** One caller that waits for a request. */
struct dks_leased_caller_t
{
  APR_RING_ENTRY (dks_leased_caller_t) link;
  uint64_t id;
  dks_leased_request_t *request;
};
APR_RING_HEAD (dks_leased_caller_ring_t, dks_leased_caller_t);

/** A job that callers of this instance wait for. */
struct dks_leased_request_t
{
  APR_RING_ENTRY (dks_leased_request_t) link;
  dks_leased_t *leased;
  uint64_t id;
  dks_batch_t *batch;
  struct dks_leased_caller_ring_t callers;
  int64_t arrival_us;
  int64_t objective_us;
  int64_t budget_us;
  int64_t leader_wait_us;     /**< longest time without a leader */
  int64_t caller_timeout_ms;  /**< how long the caller says it waits, 0: not said */
  uint32_t queue_timeout_ms;  /**< time-out of its queue, 0: none */
  char leader[DKS_NAME_SIZE]; /**< member that has it, empty for none */
  uint32_t send_count;        /**< messages to leaders about it */
  dks_timer_t timer;
};
APR_RING_HEAD (dks_leased_request_ring_t, dks_leased_request_t);

/** Run times of the tasks of one queue. */
typedef struct dks_leased_queue_t dks_leased_queue_t;

struct dks_leased_queue_t
{
  APR_RING_ENTRY (dks_leased_queue_t) link;
  char name[DKS_NAME_SIZE];
  uint32_t samples;
  double mean_log_run_us; /**< moving average of the logarithm of the run time in us */
  dks_leased_published_t published_run_us; /**< run time, us */
};
APR_RING_HEAD (dks_leased_queue_ring_t, dks_leased_queue_t);

typedef struct
{
  uint64_t op; /**< under way, 0 for none */
  bool is_watch;
  int64_t revision;
  bool is_loaded;           /**< the whole feed has been read, or a peer has sent it */
  char after[DKS_KEY_SIZE]; /**< position of a read in parts */
  uint32_t generation;      /**< of the read under way; items not seen in it are gone */
  int64_t last_answer_us;   /**< latest answer of the store, 0: none yet */
  uint32_t failures;
  dks_timer_t timer;
} dks_leased_feed_t;

struct dks_leased_t
{
  dks_reducer_t *r;
  dks_metrics_t *metrics;

  /* leased_members.c */
  struct dks_leased_peer_ring_t peers;
  int64_t started_ms;
  int64_t listening_since_us;
  int64_t last_join_us;  /**< when an instance was last heard of for the first time */
  int64_t last_event_us; /**< time of the latest event */
  uint64_t term;         /**< of our leadership, 0: we do not lead */
  bool yields;           /**< we lead, and give way to a larger instance */
  uint64_t highest_term;
  int64_t last_fenced_us;     /**< when a target last rejected our fence, 0 for never */
  bool status_due_to_leaders; /**< other leaders have to be told of the room soon */
  bool status_due_to_all;     /**< all peers have to be told soon */
  int64_t last_status_us;     /**< when any peer was last told */
  int64_t last_heartbeat_us;  /**< when all were */
  dks_timer_t status_timer;
  char addresses[DKS_MEMBERS_MAX][DKS_ADDRESS_SIZE]; /**< peer addresses that we dial */
  uint32_t address_count;
  int64_t last_dial_us; /**< when all of them were last named to the host */

  /* leased_feed.c */
  dks_leased_feed_t feeds[DKS_FEED_COUNT];
  dks_catalog_t *catalog; /**< in force, NULL before the first */
  dks_blob_t *catalog_record;

  /* leased_targets.c */
  struct dks_leased_target_ring_t targets;
  apr_hash_t *targets_by_id;
  apr_hash_t *targets_by_op;     /**< hold or look under way -> target */
  apr_hash_t *runs_by_op;        /**< start or stop under way -> run */
  apr_hash_t *runs_by_task_name; /**< task -> its latest run here */
  uint32_t max_free_cpu_milli; /**< most processor time free on a usable target, as last measured */
  uint64_t target_scans;       /**< targets that were looked at to place tasks */
  int64_t term_start_us;       /**< when our leadership began */
  bool planned_handover;       /**< the leader before us was shutting down, and still alive */
  double mean_cpu_milli;       /**< processors of a task, thousandths, moving average */
  double mean_run_us;          /**< run time of a task, moving average */
  double mean_slowness;        /**< run time over estimate, moving average of all targets */
  dks_timer_t run_watch_timer; /**< looks after slow and orphaned runs */
  dks_timer_t start_check_timer; /**< looks after starts without an answer */

  /* leased_speeds.c */
  dks_timer_t publish_timer;

  /* leased_estimate.c */
  struct dks_leased_queue_ring_t queues;
  uint32_t queue_count;

  /* leased_jobs.c */
  struct dks_leased_job_ring_t jobs; /**< in the order of service */
  uint32_t job_count;
  uint32_t waiting_tasks;
  uint32_t remote_lost_tasks; /**< lent tasks whose lender is lost */
  bool placement_due;

  /* leased_entry.c */
  struct dks_leased_request_ring_t requests;
  uint32_t request_count;
  apr_hash_t *callers_by_id;
  int64_t drain_start_us; /**< when the drain began, 0 before */
};

static inline int64_t
dks_leased_now_us (const dks_leased_t *leased)
{
  return leased->r->now.mono_us;
}

/** What is known of a chosen target. */
typedef struct
{
  double slowness; /**< for the task, with the distance to its data; HUGE_VAL: no target */
  bool in_time;    /**< the task is expected to end in time there */
} dks_leased_choice_t;

/** Whether the peer is an instance of our data centre. */
static inline bool
dks_leased_peer_is_local (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return strcmp (peer->data_centre, leased->r->config.data_centre) == 0;
}

/* leased.c */
dks_leased_t *dks_leased_create (dks_reducer_t *r);
void dks_leased_destroy (dks_leased_t *leased);
void dks_leased_handle_event (dks_leased_t *leased, const dks_event_t *event);
/** Whether callers can be served here: a configuration is known and a leader is reachable. */
bool dks_leased_is_ready (const dks_leased_t *leased);
/** State for operators, a JSON object; malloc'ed. */
char *dks_leased_status_json (const dks_leased_t *leased);

/* leased_metrics.c */
/** Counters, histograms and gauges in the Prometheus text format; malloc'ed. */
char *dks_leased_metrics_format (const dks_leased_t *leased);

/* leased_members.c */
void dks_leased_members_init (dks_leased_t *leased);
void dks_leased_members_clear (dks_leased_t *leased);
dks_leased_peer_t *dks_leased_peer_find (const dks_leased_t *leased, const char *id);
/** Other instances that are connected and were heard from lately. */
uint32_t dks_leased_members_count_alive (const dks_leased_t *leased);
/** Connected and heard from lately. */
bool dks_leased_peer_is_alive (const dks_leased_t *leased, const dks_leased_peer_t *peer);
/** How long a message that the peer sent at `sent_us` has waited on the way and in our queue. */
int64_t
dks_leased_peer_lag_us (const dks_leased_t *leased, const dks_leased_peer_t *peer, int64_t sent_us);
void dks_leased_members_handle_up (dks_leased_t *leased, const char *id, const char *data_centre);
void dks_leased_members_handle_down (dks_leased_t *leased, const char *id);
void dks_leased_members_handle_status (dks_leased_t *leased, dks_leased_peer_t *peer,
                                       const dks_msg_t *msg);
void dks_leased_members_handle_addresses (dks_leased_t *leased, const dks_msg_t *msg);
/** Connects to seeds that were not known yet. */
void dks_leased_members_add_seeds (dks_leased_t *leased, const dks_config_t *config);
/** Tells the other leaders about our room soon. */
void dks_leased_members_notify_leaders (dks_leased_t *leased);
/** Tells all peers soon that we lead, do not lead any more, or shut down. */
void dks_leased_members_notify_all (dks_leased_t *leased);
/** Sends the configuration in force to peers that have an older one. */
void dks_leased_members_send_catalog (dks_leased_t *leased);
/** Sends the list of targets to a peer that cannot read it. */
void dks_leased_targets_send_list (dks_leased_t *leased, const char *peer);

/* leased_leader.c */
/** Member id of the leader of our data centre, ourselves included; NULL when there is none. */
const char *dks_leased_leader_id (const dks_leased_t *leased);
/** Whether the peer leads its data centre, as far as is known: nobody there has a higher term. */
bool dks_leased_peer_is_leader (const dks_leased_t *leased, const dks_leased_peer_t *peer);
/** This process has stood still: what it knows of the others is old. */
void dks_leased_leader_handle_pause (dks_leased_t *leased, int64_t pause_us);
/** A target has been ordered with a higher fence than ours. */
void dks_leased_leader_handle_fenced (dks_leased_t *leased);
/** Elects, or stops to lead, as what is known of the others demands. */
void dks_leased_leader_update (dks_leased_t *leased);
/** Whether every leader of another data centre, which may run tasks of our predecessor, has been
 * heard of since we took over, and had led for long before. */
bool dks_leased_leader_remotes_reported (const dks_leased_t *leased);
/** Stops to lead when all messages are handled too late. */
void dks_leased_leader_check_lag (dks_leased_t *leased);

/* leased_feed.c */
void dks_leased_feed_init (dks_leased_t *leased);
void dks_leased_feed_clear (dks_leased_t *leased);
void dks_leased_feed_handle_event (dks_leased_t *leased, const dks_event_t *event);
/** Whether the list of targets is known, be it from a peer. */
bool dks_leased_feed_knows_targets (const dks_leased_t *leased);
/** Takes over the list of a peer while the platform's cannot be read. */
void dks_leased_feed_handle_targets (dks_leased_t *leased, const char *from, const dks_msg_t *msg);
/** Puts a catalog in force unless a newer one is. */
void
dks_leased_feed_apply_catalog (dks_leased_t *leased, dks_catalog_t *catalog, const char *source);

/* leased_targets.c */
void dks_leased_targets_init (dks_leased_t *leased);
void dks_leased_targets_clear (dks_leased_t *leased);
/** A target was listed or has changed. */
void dks_leased_targets_put (dks_leased_t *leased, const dks_target_info_t *info);
/** A target is not listed any more. */
void dks_leased_targets_remove (dks_leased_t *leased, const char *id);
/** Begins to order the targets of our data centre, or stops, after a change of leadership. */
void dks_leased_targets_handle_leadership (dks_leased_t *leased);
void dks_leased_targets_handle_reply (dks_leased_t *leased, const dks_event_t *event);
/** Whether the lists of all reachable targets have been read since our leadership began. */
bool dks_leased_targets_are_synced (const dks_leased_t *leased);
/** Reads a target's lists at once. */
void dks_leased_target_poll (dks_leased_target_t *target);

/** New call to a target under our fence; the caller of this fills in the rest. */
dks_effect_t *
dks_leased_target_call (dks_leased_target_t *target, dks_effect_type_t type, int64_t timeout_ms);
/** Time on the target's clock, `ahead_ms` from now. */
int64_t dks_leased_target_deadline (const dks_leased_target_t *target, int64_t ahead_ms);
/** Keeps a hold waiting while anything runs there, and asks until the lists have been read. */
void dks_leased_target_hold (dks_leased_target_t *target);
void dks_leased_target_handle_answer (dks_leased_target_t *target, int64_t clock_ms);
/** A call got no answer. The target's runs end at the latest when its lease does. */
void dks_leased_target_handle_no_answer (dks_leased_target_t *target);
/** Another target answers at the address: nothing of the one that we ordered is left. */
void dks_leased_target_handle_replaced (dks_leased_target_t *target);

/* leased_runs.c */
/** New run on the target, in the state 0 and without a size. */
dks_leased_run_t *
dks_leased_run_create (dks_leased_target_t *target, const char *name, uint32_t number);
void dks_leased_run_free (dks_leased_run_t *run);
/** Adds the run's size to what its target has in use. */
void dks_leased_run_reserve_resources (dks_leased_run_t *run);
/** Tells the job, and frees the room. */
void dks_leased_run_end (dks_leased_run_t *run, bool ok, bool is_fault);
/** The target lists the run's end. */
void dks_leased_run_handle_end (dks_leased_run_t *run, dks_run_end_t end);
/** Logs that the run's start got no answer. */
void dks_leased_run_log_unanswered (const dks_leased_run_t *run);
/** Answer to the start or stop under way. */
void dks_leased_run_handle_reply (dks_leased_run_t *run, const dks_event_t *event);
/** Run of the target with this number, or NULL. */
dks_leased_run_t *
dks_leased_target_find_run (dks_leased_target_t *target, const char *name, uint32_t number);
/** Starts a run of the task. */
void dks_leased_run_start (dks_leased_t *leased, dks_leased_target_t *target, dks_leased_job_t *job,
                           uint32_t task);
/** The size of an adopted run has become known. */
void dks_leased_run_set_size (dks_leased_run_t *run, const dks_batch_step_t *step);
/** Stops a run whose result nobody needs; it keeps its room until the target lists its end. */
void dks_leased_run_stop (dks_leased_run_t *run);
/** Stops a run, but keeps its job: the task starts elsewhere once the run has surely ended. */
void dks_leased_run_stop_for_retry (dks_leased_run_t *run);
/** Latest run of a task on our targets that has not surely ended; NULL if there is none. */
dks_leased_run_t *dks_leased_run_find (dks_leased_t *leased, const char *name);

/* leased_place.c */
/** Brings `free_cpu_max` up to date. */
void dks_leased_targets_update_free_cpu (dks_leased_t *leased);
/** Best target for a task now, or NULL. */
dks_leased_target_t *dks_leased_targets_choose (dks_leased_t *leased, const dks_leased_job_t *job,
                                                const dks_leased_task_t *task,
                                                dks_leased_choice_t *choice);
/** Slowness of the fastest usable target of our data centre, with room or without; HUGE_VAL: none.
 */
double dks_leased_targets_min_slowness (const dks_leased_t *leased);
/** Whether any target could ever run the step. */
bool dks_leased_targets_can_ever_run (const dks_leased_t *leased, const dks_batch_t *batch,
                                      const dks_batch_step_t *step);
/** Tasks of the usual size that fit now. */
uint32_t dks_leased_targets_free_tasks (const dks_leased_t *leased);
/** The same on about the fastest targets that have room; `slowness` is theirs. */
uint32_t dks_leased_targets_free_fast_tasks (const dks_leased_t *leased, double *slowness);

/** Expected run time of what runs on our targets now, in the mean, us; that of all runs so far when
 * nothing runs. */
double dks_leased_targets_mean_run_us (const dks_leased_t *leased);
/** Tasks of the usual size that fit on idle targets. */
uint32_t dks_leased_targets_capacity (const dks_leased_t *leased);

/* leased_health.c */
/** Gives the target no work for a while, unless half of the targets are ejected already. */
void dks_leased_target_eject (dks_leased_target_t *target, const char *reason);
/** A run on the target ended by itself. */
void dks_leased_target_record_run_end (dks_leased_target_t *target, bool failed);
/** A run took `slowness` times as long as expected. */
void dks_leased_target_record_slowness (dks_leased_target_t *target, double slowness);
/** Run time over the expected one; that of all targets while too few runs are known. */
double dks_leased_target_slowness (const dks_leased_target_t *target);
/** Moves `mean` towards `sample` by the part `weight` of their difference. */
void dks_leased_update_mean (double *mean, double sample, double weight);

/* leased_speeds.c */
void dks_leased_speeds_init (dks_leased_t *leased);
void dks_leased_speeds_clear (dks_leased_t *leased);
/** Takes over what the leader of our data centre has learned of its targets and queues. */
void dks_leased_speeds_handle_msg (dks_leased_t *leased, const dks_msg_t *msg);
/** Tells everything again, since an instance of our data centre is new. */
void dks_leased_speeds_publish_all (dks_leased_t *leased);

/* leased_watch.c */
void dks_leased_watch_init (dks_leased_t *leased);
void dks_leased_watch_clear (dks_leased_t *leased);

/* leased_lend.c */
/** Lends due tasks to leaders of other data centres that told of room; with `fast`, only those that
 * end late here, to those that have a faster target free. */
void dks_leased_lend_waiting (dks_leased_job_t *job, bool fast);
/** Whether any leader of another data centre told of room. */
bool dks_leased_lend_has_capacity (const dks_leased_t *leased);
/** Slowness of the fastest free targets that leaders of other data centres told of; HUGE_VAL: none.
 */
double dks_leased_lend_min_slowness (const dks_leased_t *leased);
/** Asks the successors of lost lenders for lent tasks. */
void dks_leased_lend_ask_successors (dks_leased_t *leased);
/** The peer does not lead any more: the next leader of its data centre is asked for lent tasks. */
void dks_leased_lend_handle_remote_lost (dks_leased_t *leased, const char *peer);

/* leased_jobs.c */
/** Whether the task may start now: it waits, and the steps before it have ended. */
bool dks_leased_task_is_due (const dks_leased_job_t *job, const dks_leased_task_t *task);
/** The task was started, lent or ended. */
void dks_leased_task_leave_waiting (dks_leased_job_t *job, dks_leased_task_t *task,
                                    dks_leased_task_state_t state);
void dks_leased_jobs_init (dks_leased_t *leased);
void dks_leased_jobs_clear (dks_leased_t *leased);
/** Takes a job of an entry instance (ourselves included) or lent tasks. */
void dks_leased_jobs_handle_work (dks_leased_t *leased, const char *origin, const dks_msg_t *msg);
void dks_leased_jobs_handle_cancel (dks_leased_t *leased, const char *origin, uint64_t request);
void
dks_leased_jobs_handle_lent_done (dks_leased_t *leased, const char *peer, const dks_msg_t *msg);
/** The sender of jobs, or the borrower or lender of tasks, is gone. */
void dks_leased_jobs_handle_peer_lost (dks_leased_t *leased, const char *peer);
/** We stopped leading: all jobs go, their senders submit them to the next leader. */
void dks_leased_jobs_drop_all (dks_leased_t *leased);
/** Places waiting tasks. */
void dks_leased_jobs_place_waiting (dks_leased_t *leased);
/** Ends a job that cannot be done before its caller leaves. */
void dks_leased_jobs_give_up (dks_leased_job_t *job, uint32_t task);
/** Outcome of a run of a job's task. `is_fault`: the task failed by itself. */
void dks_leased_jobs_handle_run_end (dks_leased_t *leased, dks_leased_run_t *run, bool ok,
                                     bool is_fault);

/* leased_admission.c */
/** Puts a job into the order of service. */
void dks_leased_admission_insert (dks_leased_job_t *job);
/** How long a job that takes `chain_us` may wait for its first start: its caller's time bounds
 * it, and the queue's time-out, since that is how long this system may hold it. `queue` may be
 * NULL. */
int64_t
dks_leased_admission_wait_us (const dks_queue_entry_t *queue, int64_t budget_us, int64_t chain_us);
/** Whether the job cannot start before it is refused anyway, by the tasks that come before it. */
bool dks_leased_admission_wait_is_too_long (const dks_leased_job_t *job);
/** Until the tasks that wait now will have found room. Callers that are refused together return
 * over half of that time, else they would meet each other again. */
uint32_t dks_leased_admission_retry_after_ms (const dks_leased_job_t *job);

/* leased_estimate.c */
void dks_leased_estimate_init (dks_leased_t *leased);
void dks_leased_estimate_clear (dks_leased_t *leased);
/** Expected run time of a task of the step on an average target, us. */
double
dks_leased_estimate_run_us (const dks_leased_t *leased, const dks_batch_t *batch, uint32_t step);
/** The same for the longest chain of steps. */
double dks_leased_estimate_chain_us (const dks_leased_t *leased, const dks_batch_t *batch);
/** Expected time of the longest chain of steps that follow each step. */
void dks_leased_estimate_tails_us (const dks_leased_t *leased, const dks_batch_t *batch,
                                   int64_t tails_us[DKS_BATCH_STEPS_MAX]);
/** Takes over the logarithm of a queue's run time in us, learned from `samples` runs. */
void
dks_leased_estimate_put (dks_leased_t *leased, const char *name, double log_mean, uint32_t samples);
/** A task of the batch took `run_us`, converted to an average target. */
void dks_leased_estimate_record (dks_leased_t *leased, const dks_batch_t *batch, double run_us);

/* leased_entry.c */
void dks_leased_entry_init (dks_leased_t *leased);
void dks_leased_entry_clear (dks_leased_t *leased);
void dks_leased_entry_handle_batch (dks_leased_t *leased, const dks_event_t *event);
void dks_leased_entry_handle_caller_gone (dks_leased_t *leased, uint64_t id);
/** Answer of a leader, or of ourselves as leader. */
void dks_leased_entry_handle_done (dks_leased_t *leased, const char *from, const dks_msg_t *msg);
/** Submits requests again whose leader is gone or has changed. */
void dks_leased_entry_resubmit (dks_leased_t *leased);
void dks_leased_entry_handle_drain (dks_leased_t *leased);
/** Whether a draining instance has nothing left to answer, or may wait no longer. */
bool dks_leased_entry_is_drained (const dks_leased_t *leased);

#endif
