/**
 * Dispatch to targets that run tasks under leases. Internal to the reducer: hosts use
 * core/reducer.h.
 *
 * Every instance takes requests of callers (leased_entry.c) and passes them to the leader of its
 * data centre (leased_leader.c, leased_members.c). The leader controls the targets of its data
 * centre (leased_targets.c, leased_runs.c, leased_lease.c) and places the tasks of jobs
 * (leased_jobs.c) on them (leased_starts.c). It lends tasks to leaders of other data centres that
 * have free capacity, and runs tasks that they lend to it (leased_lend.c). leased_feed.c follows
 * the platform's configuration and its list of targets, leased_crashes.c counts the crashes of
 * targets under each task, leased_prior_runs.c finds out where tasks run that an earlier leader
 * lent, leased_prior_jobs.c which jobs run in other data centres at all, leased_share.c tells a
 * successor of targets that it may not know. leased_evacuation.c keeps which data centres get no
 * work, leased_handover.c decides who follows a leader that drains. leased_load.c counts what keeps
 * an instance busy. leased_plan.c places tasks by plans (plan.h), where the settings ask for it.
 *
 * A lent task has a home leader, which has the job, and a remote leader, whose targets run it.
 *
 * Hash tables are for look-ups only. Code that iterates uses rings, whose order is deterministic,
 * so that a simulation can be repeated.
 */
#ifndef DKS_CORE_LEASED_H
#define DKS_CORE_LEASED_H

#include "common/metrics.h"
#include "core/state.h"

#include <stdio.h>
#include <string.h>

enum
{
  /** Successive calls without an answer after which no call extends a target's lease. */
  DKS_LEASED_UNANSWERED_CALLS_MAX = 2,
  /** Time-out of a call, beyond the time that the target is asked to wait. A target answers within
   * some ms, but this instance may be stalled for 100 ms. */
  DKS_LEASED_ANSWER_TIMEOUT_MS = 200,
  /** Length of a lease, the longest that the platform allows. */
  DKS_LEASED_LEASE_MS = 1000,
  /** Time after which a target that the platform does not list any more gets no more work. Entries
   * that expired while the platform's store was unavailable return within 2 s. */
  DKS_LEASED_UNLISTED_GRACE_US = 2500000,
  /** Time for which a target counts as possibly in use since a leader last stated so. Leaders
   * repeat it once a second while they have runs on a target that is not listed. */
  DKS_LEASED_NOTED_RETENTION_US = 3000000,
  /** Well over the time for which runs continue after the leader of their target is lost. */
  DKS_LEASED_ORPHAN_LIFETIME_MAX_US = 2000000,
  /** Between two look-ups of the leader of a data centre while none is known. */
  DKS_LEASED_LOOK_UP_INTERVAL_US = 20000
};

#define DKS_LEASED_MEAN_WEIGHT 0.02  /**< of a new sample in the moving averages of all targets */
#define DKS_LEASED_SLOWNESS_MAX 20.0 /**< limit of one sample of a target's slowness */
/** Factor on expected run times, to allow for their error: declared run times are off by 40%, their
 * mean with the queue's average by less. */
#define DKS_LEASED_RUN_TIME_MARGIN 1.5

typedef struct dks_leased_t dks_leased_t;
typedef struct dks_leased_peer_t dks_leased_peer_t;
typedef struct dks_leased_target_t dks_leased_target_t;
typedef struct dks_leased_run_t dks_leased_run_t;
typedef struct dks_leased_job_t dks_leased_job_t;
typedef struct dks_leased_caller_t dks_leased_caller_t;
typedef struct dks_leased_request_t dks_leased_request_t;
typedef struct dks_leased_plan_t dks_leased_plan_t;

/** A task under which targets have crashed. */
typedef struct dks_leased_task_crashes_t dks_leased_task_crashes_t;
APR_RING_HEAD (dks_leased_task_crashes_ring_t, dks_leased_task_crashes_t);

/** An address at which another instance is or was, or a seed. */
typedef struct dks_leased_address_t dks_leased_address_t;

struct dks_leased_address_t
{
  APR_RING_ENTRY (dks_leased_address_t) link;
  char text[DKS_ADDRESS_SIZE];
  bool is_seed;      /**< from the settings; it is never dropped */
  uint64_t sequence; /**< rises with each address that becomes known to be that of an instance; 0:
                        a seed that no instance has confirmed yet */
  uint32_t connections; /**< peers that are connected and have stated this address */
  int64_t last_seen_us; /**< when an instance there was last known to be connected */
  int64_t next_dial_us;
};
APR_RING_HEAD (dks_leased_address_ring_t, dks_leased_address_t);

/** Another instance. */
struct dks_leased_peer_t
{
  APR_RING_ENTRY (dks_leased_peer_t) link;
  char id[DKS_NAME_SIZE]; /**< member id */
  char data_centre[DKS_NAME_SIZE];
  bool connected;          /**< there is a connection */
  bool status_received;    /**< a status was received on this connection, with no silence since */
  int64_t last_message_us; /**< when the latest message was received */
  uint64_t term;           /**< of its leadership of its data centre, 0: it does not lead */
  uint64_t highest_term;   /**< highest term with which it is known to have led */
  int64_t highest_term_us; /**< when it was last known to lead with that term */
  uint64_t leader_term; /**< of the leader of its data centre that it hears, by its latest status */
  int64_t started_ms;   /**< start of its process, Unix ms */
  int64_t catalog_version;
  uint32_t processor_milli; /**< by which it ranks for leadership, thousandths of a processor */
  int64_t last_leading_us;  /**< when a status last said that it leads, 0: never */
  int64_t term_received_us; /**< when a status last changed `term` */
  int64_t connected_us;     /**< when the connection began */
  /** Before this its process counts as running though the connection has closed: it may return. 0:
   * it is connected, or its process has ended. */
  int64_t unproven_until_us;
  bool led_at_loss;                    /**< it led when the connection closed */
  char lost_address[DKS_ADDRESS_SIZE]; /**< its address when the connection closed, if it was known
                                        */
  int64_t min_clock_diff_us;           /**< least receipt time less sending time of its statuses */
  /** Greatest time at which this instance sent a status, less the time at which the peer, having
   * handled it, sent one: a bound for the difference of the two clocks. */
  int64_t max_echo_diff_us;
  bool echo_known; /**< `max_echo_diff_us` is known */
  /** Time by the clock of this instance at which the peer was certainly still running: it sent a
   * message then or later; 0: not known. */
  int64_t proven_running_us;
  int64_t heard_since_us; /**< when its first status after a silence was received */
  int64_t last_status_us; /**< when its latest status was received, 0: none yet */
  int64_t lag_us; /**< delay of its latest status in transit and in the queue of this instance */
  int64_t
      late_since_us; /**< first of its late statuses that followed each other closely, 0: none */
  int64_t late_until_us; /**< when its latest late status was handled, 0: never */
  bool draining;
  /** Time for which it can lead while it drains, as its latest status states; 0: none, or it hands
   * over at once. */
  int64_t handover_left_us;
  int64_t handover_end_us; /**< when that time ends, 0: none */
  bool yields_leadership;  /**< leads, and offers to hand over to a larger instance */
  bool knows_targets;
  uint64_t targets_digest;       /**< of the targets that the platform lists to it, 0: not stated */
  dks_leased_address_t *address; /**< as it has stated, NULL: not yet */
  bool addresses_received;       /**< it has sent the addresses that it knows, or knows the same */
  uint64_t address_digest;       /**< of the addresses that it knows, by its latest status */
  uint64_t addresses_sent;       /**< `sequence` up to which addresses were sent to it */
  int64_t last_sent_us;          /**< its own time at which it sent its latest status */
  int64_t heard_us; /**< when this instance sent the latest status that the peer had handled, by its
                       own latest status; 0: none on this connection */
  bool states_prior_jobs;    /**< it states the jobs that have runs on its targets */
  int64_t prior_jobs_due_us; /**< since when this leader owes it a statement of its jobs, 0: not */
  int64_t interval_us;       /**< within which it sends its next status, as stated; 0: not stated */
  int64_t stated_interval_us; /**< interval that the latest status to it stated */
  int64_t next_status_us;     /**< when the next status to it is due */
  uint32_t free_tasks;        /**< tasks that fit there: latest status, less what was lent since */
  uint32_t free_fast_tasks;   /**< likewise, on about its fastest targets with free capacity */
  double fast_slowness; /**< of its fastest targets with free capacity, by the latest status */

  uint32_t waiting_tasks; /**< tasks that wait there for free capacity, by the latest status */
};
APR_RING_HEAD (dks_leased_peer_ring_t, dks_leased_peer_t);

typedef enum
{
  DKS_LEASED_RUN_STARTING = 1, /**< the start has not been answered yet */
  DKS_LEASED_RUN_UNCONFIRMED, /**< a start or stop got no answer; settled by a run list or a stop */
  DKS_LEASED_RUN_RUNNING,
  DKS_LEASED_RUN_STOPPING, /**< keeps its resources until the target lists its end */
} dks_leased_run_state_t;

/** A run on a target that this leader controls. */
struct dks_leased_run_t
{
  APR_RING_ENTRY (dks_leased_run_t) link; /**< in the target's list of runs */
  dks_leased_t *leased;
  dks_leased_target_t *target;
  char task_name[DKS_TASK_NAME_SIZE];
  uint32_t number;
  dks_leased_run_state_t state;
  dks_leased_job_t *job; /**< NULL: no job waits for it (adopted, or stopped) */
  uint32_t task_index;   /**< in the job's tasks */
  uint32_t cpu_milli;
  uint32_t memory_mb;
  uint32_t accelerators;
  double expected_us;    /**< run time on an average target, 0: not known */
  int64_t start_sent_us; /**< when the start was sent */
  int64_t acked_us;      /**< when an answer or a list confirmed the start or the stop, 0 before */
  int64_t last_list_sent_us; /**< sending time of the latest call whose list contained the run */
  uint32_t progress_percent; /**< part of its work that is done, as last reported */
  int64_t last_report_us;    /**< when the target last reported the progress, 0: never */
  int64_t last_progress_us;  /**< when `progress_percent` last rose */
  int64_t adopted_us;        /**< when it was found in a target's list, 0: started by this leader */
  int64_t stop_sent_us;      /**< when the stop was last sent */
  bool stop_failed;          /**< the latest stop was rejected or got no answer; it is sent again */
  int64_t released_us;       /**< when it was first stopped without a job that waits, 0: not */
  int64_t lease_limit_us;    /**< of a released run: latest time at which its lease may end */
  uint64_t op;               /**< id of the start or stop under way, 0 for none */
  bool crash_recorded;       /**< the crash of its target was counted */
  bool slowness_recorded;    /**< its run time was counted as a sample of its target's slowness */
};
APR_RING_HEAD (dks_leased_run_ring_t, dks_leased_run_t);

/** An average as it was last published to the other instances of the data centre. */
typedef struct
{
  double value;
  uint32_t samples; /**< number of samples in `value`, 0: not published yet */
} dks_leased_published_t;

/** A target of any data centre, and the calls to it when this leader controls it. */
struct dks_leased_target_t
{
  APR_RING_ENTRY (dks_leased_target_t) link;
  dks_leased_t *leased;
  dks_target_info_t info;
  bool listed;         /**< the platform lists it; else it is dropped once its runs have ended */
  int64_t unlisted_us; /**< when it left the platform's list */
  int64_t noted_us;    /**< when a leader last stated that it may have runs there, 0: never */
  bool share_due;      /**< the other instances of the data centre have to be told of it */
  uint32_t feed_generation; /**< of the latest read of the feed that contained it */
  bool held;              /**< controlled by this instance, as leader of the target's data centre */
  bool synced;            /**< its run lists have been read under `fencing_token` */
  uint64_t fencing_token; /**< fencing token of the calls: the term of this leader */
  int64_t incarnation_ms; /**< start of the incarnation that the members below describe, Unix ms; 0:
                             not known */
  int64_t restart_seen_us; /**< when a list last showed another incarnation, 0: never */
  int64_t last_end_number; /**< number of the latest run end in its list that was handled */
  int64_t clock_offset_ms; /**< target's clock less the local monotonic clock, rounded down, as of
                              `clock_read_us` */
  int64_t clock_read_us;   /**< when an answer last told the target's clock */
  bool clock_known;
  bool clock_awaited; /**< a task waits for the poll under way, which reads the target's clock */
  uint64_t hold_op; /**< id of the hold under way, a long poll that extends the lease; 0 for none */
  int64_t hold_sent_us;       /**< when the hold was sent */
  int64_t hold_last_end_seen; /**< `last_end_number` that the hold named */
  uint64_t poll_op;     /**< id of the poll under way, a hold that does not wait; 0 for none */
  int64_t poll_sent_us; /**< when the poll was sent */
  int64_t poll_last_end_seen; /**< `last_end_number` that the poll named */
  bool poll_again;            /**< another poll is wanted after the one under way */
  int64_t last_answer_us;     /**< when the latest answer was received */
  int64_t lease_extended_us;  /**< when the latest call was sent that may have extended the lease */
  uint32_t unanswered_calls;  /**< calls without an answer since the latest answer */
  bool connection_refused;    /**< a call sent since the latest answer: its process is gone */
  bool crash_supposed; /**< crashes were counted because it refused connections, with no sign yet of
                          another incarnation */
  dks_timer_t hold_timer;
  dks_timer_t expiry_timer; /**< armed while the target does not answer or is not listed */
  struct dks_leased_run_ring_t runs;
  uint32_t run_count;
  uint32_t failed_stops; /**< runs with `stop_failed` */
  uint32_t cpu_used;
  uint32_t memory_used;
  uint32_t accelerators_used;
  /** Parts of the above that waiting tasks take during a placement pass. */
  uint32_t cpu_reserved;
  uint32_t memory_reserved;
  uint32_t accelerators_reserved;
  double slowness; /**< run time over expected run time, moving average */
  uint32_t slowness_samples;
  uint32_t slow_run_ends; /**< latest runs in a row that were much slower than `slowness` */
  dks_leased_published_t published_slowness; /**< `slowness` as it was last published */

  double failure_rate;      /**< moving average over run ends, 0 to 1 */
  int64_t ejected_until_us; /**< gets no work before this */
  uint32_t ejections;
  int64_t full_until_us; /**< no start is sent before this: it rejected one for lack of resources,
                            or its clock could not be read */
  bool kept;             /**< the latest plan keeps its room for a waiting task */
  uint32_t kept_for;     /**< position of that task in the latest plan */
  int64_t kept_until_us; /**< when that task is expected to fit */
};
APR_RING_HEAD (dks_leased_target_ring_t, dks_leased_target_t);

typedef enum
{
  DKS_LEASED_TASK_WAITING = 1,
  DKS_LEASED_TASK_PLACED, /**< has a run on a target of this data centre */
  DKS_LEASED_TASK_LENT,   /**< has been passed to a remote leader */
  DKS_LEASED_TASK_DONE,
} dks_leased_task_state_t;

/** Another data centre, and what its leader has stated to this leader. */
typedef struct dks_leased_data_centre_t dks_leased_data_centre_t;

struct dks_leased_data_centre_t
{
  APR_RING_ENTRY (dks_leased_data_centre_t) link;
  char name[DKS_NAME_SIZE];
  char leader[DKS_NAME_SIZE]; /**< member id of the leader that has stated the jobs, empty: none on
                                 its present connection */
  uint64_t leader_term;       /**< its term then */
  uint64_t home_term;         /**< term of this leader for which they were stated, 0: none were */
  uint32_t job_count;
  uint64_t *jobs; /**< hashes of the ids of the jobs that had runs there, in ascending order */
  int64_t valid_until_us;    /**< until then its leader refuses what earlier leaders lend */
  bool is_gone;              /**< no instance and no target of it is known any more */
  bool leader_is_present;    /**< `leader` is the present leader there, as last looked up */
  uint64_t peers_generation; /**< state of the peers in which it was last looked up */
  int64_t next_look_up_us;   /**< while it is not present */
};
APR_RING_HEAD (dks_leased_data_centre_ring_t, dks_leased_data_centre_t);

/** What the leader of another data centre has stated about a job of an earlier leader. */
typedef enum
{
  DKS_LEASED_PRIOR_JOBS_NOT_COVERED = 1, /**< its statement does not hold for the job */
  DKS_LEASED_PRIOR_JOBS_NOT_STATED,      /**< nothing yet */
  DKS_LEASED_PRIOR_JOBS_RUNNING,         /**< the job had a run there */
  DKS_LEASED_PRIOR_JOBS_ABSENT           /**< it has no run there, and will have none */
} dks_leased_prior_jobs_answer_t;

typedef struct
{
  uint32_t step;       /**< position of its step in the whole job */
  uint32_t index;      /**< position in its step */
  uint32_t batch_step; /**< position of its step in `batch` of the job; a lent batch has one step */
  dks_leased_task_state_t state;
  uint32_t failed_attempts; /**< runs in which the task itself failed */
  bool wants_faster_target; /**< would end late on every target with free capacity here */
  double best_slowness;     /**< of the best target with free capacity here, HUGE_VAL: none */
  double observed_run_us;   /**< on an average target, projected from progress; 0: not known */
  bool was_moved;     /**< to another target, because it would have ended too late or was slow */
  bool late_reported; /**< the home leader knows that this lent task will end too late */

  bool awaits_clock;        /**< the clock of the target that was chosen for it is being read */
  bool no_prior_run;        /**< no run that an earlier leader started is active */
  uint32_t run_number;      /**< of the latest run */
  uint32_t lent_run_number; /**< of a task lent to this leader: number that the home leader sent */
  dks_leased_run_t *current_run;     /**< PLACED: its run */
  char remote_leader[DKS_NAME_SIZE]; /**< LENT: member id of the leader that has it */
  uint64_t remote_term;              /**< LENT: term of that leader */
  bool remote_lost; /**< LENT: that leader is lost, its successor has to be queried */
  char remote_data_centre[DKS_NAME_SIZE]; /**< LENT: data centre of the targets that run it */
  int64_t retry_not_before_us;            /**< time before which the task is not started again */
  char avoid_target[DKS_NAME_SIZE];       /**< target on which it failed last */
  uint32_t overtaken;              /**< later tasks that started before it while plans were made */
  char hold_target[DKS_NAME_SIZE]; /**< target that is kept for it, empty: none */
  int64_t hold_until_us;           /**< when that lapses */
  uint32_t lapses;                 /**< holds that have lapsed */
} dks_leased_task_t;

/** A question to the leader of another data centre about tasks that an earlier leader may have lent
 * to it. */
typedef struct dks_leased_inquiry_t dks_leased_inquiry_t;
APR_RING_HEAD (dks_leased_inquiry_ring_t, dks_leased_inquiry_t);

/** A job that this leader places: from an entry instance, or tasks lent by another leader. */
struct dks_leased_job_t
{
  APR_RING_ENTRY (dks_leased_job_t) link; /**< in the order of service */
  dks_leased_t *leased;
  char origin[DKS_NAME_SIZE]; /**< member id of the sender: an entry instance or a home leader */
  uint64_t request_id;        /**< id of the request at the sender */
  dks_leased_job_t *next_of_request; /**< next job with this `request_id`, of any sender */
  bool is_lent; /**< tasks that another leader lent: placed at once or refused */
  dks_batch_t *batch;
  int64_t arrival_us;       /**< when the caller's request reached its entry instance */
  int64_t received_us;      /**< when this leader received the job */
  int64_t objective_end_us; /**< an answer by then meets the queue's objective */

  int64_t latest_start_us; /**< a later start misses the objective, or an earlier deadline */
  bool objective_missed;   /**< `latest_start_us` passed before the first start */
  int64_t refuse_at_us;    /**< the job is refused if none of its tasks has started by then */
  int64_t deadline_us;     /**< the caller wants no answer after this */
  uint32_t min_cpu_milli;  /**< least of its tasks, thousandths of a processor */
  double expected_run_us;  /**< mean expected run time of its tasks */
  bool prior_runs_checked; /**< runs that earlier leaders may have started for it were looked for */
  bool resent;             /**< sent to another leader before, which may have started tasks */
  bool sent_to_earlier_terms;  /**< resent, and all leaders that had it before had lower terms */
  bool prior_lends_excluded;   /**< no other data centre runs a task of it for an earlier leader */
  uint64_t id_hash;            /**< of its id, as in statements of other leaders */
  int64_t next_prior_check_us; /**< a resent job is not placed before this */
  struct dks_leased_inquiry_ring_t inquiries; /**< of a resent job */
  uint32_t inquired_steps;                    /**< mask of the steps that have inquiries */
  bool started;          /**< a task was started or lent, or another leader may have done so */
  int64_t last_start_us; /**< when a task was last started or lent, 0 for never */
  uint32_t task_count;
  uint32_t waiting_count;
  uint32_t done_count;
  uint64_t step_lend_id[DKS_BATCH_STEPS_MAX];    /**< request id in messages that lend its tasks */
  uint32_t step_unfinished[DKS_BATCH_STEPS_MAX]; /**< tasks that have not ended */
  int64_t step_tail_us[DKS_BATCH_STEPS_MAX];     /**< expected time of the steps that follow */

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
  int64_t leader_wait_us;     /**< the request is refused after this time without a leader */
  int64_t caller_timeout_ms;  /**< how long the caller says that it waits, 0: not said */
  uint32_t queue_timeout_ms;  /**< time-out of its queue, 0: none */
  char leader[DKS_NAME_SIZE]; /**< member id of the leader that has the request, empty for none */
  uint64_t leader_term;       /**< its term when it got the request; it drops its jobs with it */
  uint64_t highest_term;      /**< of all leaders that have got the request */
  uint32_t send_count;        /**< times that the request was sent to a leader */
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
  dks_leased_published_t published_run_us; /**< run time as it was last published */
};
APR_RING_HEAD (dks_leased_queue_ring_t, dks_leased_queue_t);

typedef struct
{
  uint64_t op;     /**< id of the read or watch under way, 0 for none */
  int64_t sent_us; /**< when it was sent */
  bool is_watch;
  int64_t revision;
  bool is_loaded; /**< the feed has been read to its end, or a peer has sent its items */
  char after_key[DKS_FEED_KEY_SIZE]; /**< key after which a read in several parts goes on */
  uint32_t generation;    /**< number of the latest read; targets not contained in it are removed */
  int64_t last_answer_us; /**< when the platform's store last answered, 0: never */
  uint32_t failures;
  dks_timer_t timer;
} dks_leased_feed_t;

/** Free capacity of the targets of this leader; all 0 when this instance does not lead. */
typedef struct
{
  uint32_t free_tasks;      /**< tasks of mean size that fit now */
  uint32_t free_fast_tasks; /**< likewise, on about the fastest targets that have free capacity */
  uint32_t fast_slowness_milli; /**< slowness of those, thousandths */
} dks_leased_capacity_t;

/** The evacuated data centres, whose targets get no new tasks. */
typedef struct
{
  int64_t revision; /**< of the platform's store, up to which all changes are contained; 0: not
                       known yet */
  uint32_t count;
  char names[DKS_EVACUATIONS_MAX][DKS_NAME_SIZE];
} dks_leased_evacuations_t;

/** Request of a record from a peer that has it, while the platform has not delivered it. */
typedef struct
{
  int64_t missing_since_us; /**< when a peer was first known to have it, 0: it is not missing */
  int64_t asked_us;         /**< when a peer was last asked, 0: not yet */
  char asked_peer[DKS_NAME_SIZE];
} dks_leased_fetch_t;

enum
{
  DKS_LEASED_LEVELS = 8 /**< priorities that are told apart; those below count as the last one */
};

/** Rate at which tasks of one priority have been admitted, tasks/us at `updated_us`. */
typedef struct
{
  double rate;
  int64_t updated_us;
} dks_leased_inflow_t;

/** Who may take over from this leader, which drains. */
typedef enum
{
  DKS_LEASED_HANDOVER_NONE,     /**< it does not lead, or does not drain, or is alone */
  DKS_LEASED_HANDOVER_ABLE,     /**< an instance of half its processor time that does not drain */
  DKS_LEASED_HANDOVER_DRAINING, /**< also one that drains and can lead for longer */
  DKS_LEASED_HANDOVER_ANY       /**< any that does not drain: its time is over */
} dks_leased_handover_t;

/** How fast this leader's queue drains, as measured. */
typedef struct
{
  int64_t queue_since_us; /**< since when jobs have had to wait without a pause */
  int64_t last_wait_us;   /**< when a job was last started or refused that had to wait, 0: never */
  dks_leased_inflow_t inflow[DKS_LEASED_LEVELS];
  int64_t window_start_us;
  uint32_t window_starts; /**< tasks started since `window_start_us` */
  double start_rate;      /**< tasks/us while jobs wait, moving average; 0: not known */
} dks_leased_drain_t;

enum
{
  DKS_LEASED_EVENT_TYPES = DKS_EVENT_CALLERS_CHECKED + 1 /**< size of a table by event type */
};

/** What an instance has handled and sent since its start. */
typedef struct
{
  uint64_t events[DKS_LEASED_EVENT_TYPES];
  uint64_t received[DKS_MSG_TYPE_COUNT]; /**< messages of other instances, by type */
  uint64_t sent[DKS_MSG_TYPE_COUNT];     /**< messages to other instances, by type */
  uint64_t passes;                       /**< over all jobs, to place waiting tasks */
  uint64_t job_visits;                   /**< jobs that were looked at one by one */
  uint64_t jobs_compared;                /**< to find those that a message is about */
  uint64_t target_scans;                 /**< targets that were examined to place tasks */
} dks_leased_counts_t;

typedef struct
{
  dks_leased_counts_t counts;
  int64_t max_lag_us;           /**< delay with which messages were handled since `reported_us` */
  int64_t reported_us;          /**< when `reported` was taken */
  dks_leased_counts_t reported; /**< `counts` at the latest report */
} dks_leased_load_t;

/** What is known of the newest configuration, which need not be in force here. */
typedef struct
{
  int64_t version;               /**< highest known to exist, 0: none */
  bool is_rejected;              /**< the latest of the platform cannot be put in force here */
  char rejection[DKS_TEXT_SIZE]; /**< why */
  int64_t missing_since_us;      /**< when it became known, 0: it is in force */
} dks_leased_newest_catalog_t;

struct dks_leased_t
{
  dks_reducer_t *r;
  dks_metrics_t *metrics;
  dks_leased_load_t load; /* leased_load.c */

  /* leased_members.c */
  struct dks_leased_peer_ring_t peers;
  uint64_t peers_generation;  /**< changes with the leaders that are known and alive */
  int64_t started_ms;         /**< start of this process, Unix ms */
  int64_t start_us;           /**< start of this process */
  int64_t listening_since_us; /**< start of the wait for other instances: own start, stall or lag */
  int64_t last_join_us;       /**< when an instance last became known by its first status */
  int64_t last_event_us;      /**< time of the latest event */
  uint64_t term;              /**< of the leadership of this instance, 0: it does not lead */
  bool leader_known; /**< a leader of the data centre is known, which may be this instance */
  dks_leased_handover_t handover;
  bool is_stopgap; /**< its present or latest term succeeded that of an instance that drained */
  bool yields_leadership;  /**< this instance leads, and offers to hand over to a larger one */
  int64_t late_until_us;   /**< when messages of most peers were last handled late, 0: never */
  int64_t term_late_us;    /**< when they were first handled late in the present term, 0: not yet */
  int64_t timer_late_us;   /**< when the timer of statuses was last handled late, 0: never */
  bool is_slow;            /**< handles messages late for some time, or did lately */
  int64_t last_leading_us; /**< when this instance last stopped to lead, 0: never */
  uint64_t highest_term;   /**< highest term known, raised when fenced; a new term is above it */
  uint64_t heard_term;     /**< highest term of this instance or heard from a leader of its data
                              centre itself */
  int64_t last_fenced_us;  /**< when a target last rejected the fencing token, 0 for never */
  bool status_due_to_leaders; /**< a status is due to other leaders, as free capacity changed */
  bool status_due_to_all;     /**< a status is due to all peers */
  int64_t last_status_us;     /**< when a status was last sent to any peer */
  int64_t targets_stated_us;  /**< when a status first said that this instance knows the targets */
  dks_leased_capacity_t capacity;        /**< as last computed, for statuses */
  dks_leased_capacity_t stated_capacity; /**< as last sent to all other leaders at once */
  dks_timer_t status_timer;
  int64_t status_due_us; /**< when `status_timer` is due */

  /* leased_addresses.c */
  struct dks_leased_address_ring_t addresses;
  apr_hash_t *addresses_by_text;
  uint32_t address_count;
  uint64_t address_sequence;      /**< of the latest address */
  uint64_t address_digest;        /**< of the own address and those with a sequence */
  int64_t last_address_reject_us; /**< when an address was last rejected in the log, 0: never */
  int64_t last_address_repair_us; /**< when a peer was last sent all addresses again */
  dks_timer_t announce_timer;     /**< armed while peers may lack addresses */

  /* leased_feed.c */
  dks_leased_feed_t feeds[DKS_FEED_COUNT];
  dks_catalog_t *catalog;           /**< in force, NULL before the first */
  dks_blob_t *catalog_record;       /**< `catalog` encoded for peers, NULL: not asked for yet */
  dks_leased_fetch_t catalog_fetch; /**< of a newer configuration from a peer */
  dks_leased_newest_catalog_t newest_catalog;
  dks_leased_fetch_t targets_fetch; /**< of the list of targets from a peer */

  /* leased_evacuation.c */
  dks_leased_evacuations_t evacuations;       /**< as they are known */
  dks_leased_evacuations_t evacuations_draft; /**< of a read or watch that is being handled */

  /* leased_targets.c */
  struct dks_leased_target_ring_t targets;
  apr_hash_t *targets_by_id;
  apr_hash_t *targets_by_op;     /**< id of a hold or poll under way -> target */
  apr_hash_t *runs_by_op;        /**< id of a start or stop under way -> run */
  apr_hash_t *runs_by_task_name; /**< task name -> its latest run on a controlled target */
  uint32_t max_free_cpu_milli;   /**< most free on one usable target, as last updated */
  bool has_reservations;         /**< some target has reservations of the present placement pass */
  uint64_t prior_run_checks;     /**< checks of tasks for runs of earlier leaders, in all */
  uint64_t targets_digest;       /**< of the listed targets of the data centre */
  int64_t targets_told_us; /**< when this instance last led, or heard a leader that had told it of
                              all targets in use; 0: never */
  int64_t unknown_runs_until_us; /**< runs of earlier leaders may go on until then on targets that
                                    this leader does not know; 0: it knows all */
  bool targets_share_due;        /**< some target has `share_due` */
  int64_t term_start_us;         /**< when the latest leadership of this instance began */
  int64_t term_confirmed_us;     /**< when the latest call that a target answered was sent */
  bool term_confirmation_due;    /**< a leader of another data centre waits for a later one */
  double mean_cpu_milli;         /**< of a task, thousandths of a processor, moving average */
  double mean_run_us;            /**< run time of a task, moving average */
  double mean_slowness; /**< run time over expected run time, moving average over all targets */
  dks_timer_t run_watch_timer;   /**< next check for slow and orphaned runs */
  dks_timer_t start_check_timer; /**< next check for starts without an answer */

  /* leased_prior_jobs.c */
  struct dks_leased_data_centre_ring_t data_centres; /**< all others that are known */
  bool prior_jobs_due; /**< this leader owes a statement to some leader of another data centre */

  /* leased_speeds.c */
  dks_timer_t publish_timer;

  /* leased_crashes.c */
  struct dks_leased_task_crashes_ring_t task_crashes; /**< tasks under which targets crashed */
  apr_hash_t *task_crashes_by_name;
  uint32_t task_crashes_count;

  /* leased_estimate.c */
  struct dks_leased_queue_ring_t queues;
  uint32_t queue_count;

  dks_leased_drain_t drain; /* leased_drain.c */

  dks_leased_plan_t *plan; /**< leased_plan.c; NULL: starts go in the order of service */

  /* leased_jobs.c */
  struct dks_leased_job_ring_t jobs; /**< in the order of service */
  apr_hash_t *jobs_by_batch_id;      /**< without lent tasks */
  apr_hash_t *jobs_by_lend_id;       /**< id of each step in messages that lend its tasks -> job */
  apr_hash_t *jobs_by_request;       /**< `request_id` -> first job with it, see next_of_request */
  uint32_t job_count;
  uint32_t waiting_tasks;
  uint32_t remote_lost_tasks; /**< lent tasks whose remote leader is lost */
  bool placement_due;
  int64_t next_placement_us; /**< no pass over many waiting tasks is made before this */
  bool prior_check_due; /**< a pass has left out a resent job, or an answer about one has arrived */

  /* leased_entry.c */
  struct dks_leased_request_ring_t requests;
  uint32_t request_count;
  apr_hash_t *callers_by_id;
  bool callers_check_pending; /**< requests wait for the outcome of a CALLERS_CHECK */
  int64_t drain_start_us;     /**< when the drain began, 0 before */
};

static inline int64_t
dks_leased_now_us (const dks_leased_t *leased)
{
  return leased->r->now.mono_us;
}

/** Expected speed of a task on the target that was chosen for it. */
typedef struct
{
  double slowness; /**< for the task, with the factor for remote data; HUGE_VAL: no target */
  bool in_time;    /**< the task is expected to end in time there */
} dks_leased_choice_t;

/** Whether the peer is in the data centre of this instance. */
static inline bool
dks_leased_peer_is_local (const dks_leased_t *leased, const dks_leased_peer_t *peer)
{
  return strcmp (peer->data_centre, leased->r->config.data_centre) == 0;
}

/* leased.c */
dks_leased_t *dks_leased_create (dks_reducer_t *r);
void dks_leased_destroy (dks_leased_t *leased);
void dks_leased_handle_event (dks_leased_t *leased, const dks_event_t *event);
/** Whether this instance can serve callers: it does not drain, has a configuration and a leader. */
bool dks_leased_is_ready (const dks_leased_t *leased);
/** State for operators, a JSON object; malloc'ed. */
char *dks_leased_status_json (const dks_leased_t *leased);

/* leased_load.c */
void dks_leased_load_record_event (dks_leased_t *leased, const dks_event_t *event);
void dks_leased_load_record_sent (dks_leased_t *leased, const dks_msg_t *msg);
/** Once a second, logs what was handled and sent meanwhile if this instance was late. */
void dks_leased_load_tick (dks_leased_t *leased);
/** Writes the counts in the Prometheus text format. */
void dks_leased_load_write (FILE *stream, const dks_leased_t *leased);

/* leased_metrics.c */
/** Counters, histograms and gauges in the Prometheus text format; malloc'ed. */
char *dks_leased_metrics_format (const dks_leased_t *leased);

/* leased_members.c */
void dks_leased_members_init (dks_leased_t *leased);
void dks_leased_members_clear (dks_leased_t *leased);
dks_leased_peer_t *dks_leased_peer_find (const dks_leased_t *leased, const char *id);
/** Whether the peer sends a status as often as any two instances do that need each other. */
bool dks_leased_peer_sends_fast (const dks_leased_peer_t *peer);
/** Number of other instances that are alive. */
uint32_t dks_leased_members_count_alive (const dks_leased_t *leased);
/** Whether another instance of this data centre is known, alive or not. */
bool dks_leased_members_has_local_peer (const dks_leased_t *leased);
/** Whether the peer is connected, has sent a status, and its last message is recent. */
bool dks_leased_peer_is_alive (const dks_leased_t *leased, const dks_leased_peer_t *peer);
/** Whether the connection to the peer has closed, or has opened again without a status so far, and
 * nothing shows that its process has ended. */
bool dks_leased_peer_may_be_present (const dks_leased_t *leased, const dks_leased_peer_t *peer);
/** Whether it is certain that a message which the peer sent at `sent_us` has been on its way and in
 * this instance's queue for less than `age_us`. Unlike the delay below, this also holds for a
 * connection on which all messages so far have been delayed. */
bool dks_leased_peer_sent_within (const dks_leased_t *leased, const dks_leased_peer_t *peer,
                                  int64_t sent_us, int64_t age_us);
/** Records that the peer sent a message at `sent_us`, by its own clock, after it had handled the
 * status which this instance sent at `heard_us`; 0: it had handled none. */
void dks_leased_peer_record_echo (dks_leased_peer_t *peer, int64_t sent_us, int64_t heard_us);
/** Delay of a message, sent at `sent_us` by the peer, in transit and in this instance's queue,
 * beyond that of the fastest message so far. */
int64_t
dks_leased_peer_lag_us (const dks_leased_t *leased, const dks_leased_peer_t *peer, int64_t sent_us);
void dks_leased_members_handle_up (dks_leased_t *leased, const char *id, const char *data_centre);
void dks_leased_members_handle_down (dks_leased_t *leased, const char *id);
/** No process listens at the address. */
void dks_leased_members_handle_refused (dks_leased_t *leased, const char *address);
/** Sends the peer a status that states the hashes of jobs, which it takes over. */
void dks_leased_members_send_prior_jobs (dks_leased_t *leased, dks_leased_peer_t *peer,
                                         uint64_t *jobs, uint32_t count);
void dks_leased_members_handle_status (dks_leased_t *leased, dks_leased_peer_t *peer,
                                       const dks_msg_t *msg);
/** Sends a status to the other leaders soon, since the free capacity has changed. */
void dks_leased_members_notify_leaders (dks_leased_t *leased);
/** Sends a status to all peers soon, since this instance begins or stops to lead, or drains. */
void dks_leased_members_notify_all (dks_leased_t *leased);
/** Sends the list of targets to a peer that cannot read it. */
void dks_leased_targets_send_list (dks_leased_t *leased, const char *peer);

/* leased_addresses.c */
void dks_leased_addresses_init (dks_leased_t *leased);
void dks_leased_addresses_clear (dks_leased_t *leased);
/** Adds the seed addresses in `config` that were not known yet. */
void dks_leased_addresses_add_seeds (dks_leased_t *leased, const dks_config_t *config);
/** Sends the own address to a peer that has connected. */
void dks_leased_addresses_handle_up (dks_leased_t *leased, dks_leased_peer_t *peer);
/** Forgets which address the peer has stated, since its connection has ended. */
void dks_leased_addresses_handle_down (dks_leased_t *leased, dks_leased_peer_t *peer);
void dks_leased_addresses_handle_msg (dks_leased_t *leased, dks_leased_peer_t *peer,
                                      const dks_msg_t *msg);
/** Sends the peer all addresses when its latest status shows that it knows others; after the first
 * status on a connection at once, later as a repair. */
void
dks_leased_addresses_handle_status (dks_leased_t *leased, dks_leased_peer_t *peer, bool is_first);
/** Whether all peers that have sent a status have also sent the addresses that they know, or know
 * the same ones. */
bool dks_leased_addresses_are_exchanged (const dks_leased_t *leased);
/** Connects to known addresses, and drops those of instances that are gone. */
void dks_leased_addresses_tick (dks_leased_t *leased);
/** Number of other instances that are likely to run: seen lately, or seeds not yet heard of. */
uint32_t dks_leased_addresses_count_recent (const dks_leased_t *leased);

/* leased_leader.c */
/** Member id of the leader of the data centre, which may be this instance; NULL: none is known. */
const char *dks_leased_leader_id (const dks_leased_t *leased);
/** Term of that leader, 0: none is known. */
uint64_t dks_leased_leader_term (const dks_leased_t *leased);
/** Whether the peer leads its data centre, where no instance is known to have a higher term. */
bool dks_leased_peer_is_leader (const dks_leased_t *leased, const dks_leased_peer_t *peer);
/** Records the terms that the latest status of an instance of the data centre names. */
void dks_leased_leader_note_local_terms (dks_leased_t *leased, const dks_leased_peer_t *peer);
/** Whether the leader has told this instance of the targets on which it has runs, which the
 * platform may not list: it does so when it handles the first status on a connection that says that
 * this instance knows the targets. */
bool
dks_leased_leader_has_told_targets (const dks_leased_t *leased, const dks_leased_peer_t *leader);
/** Time until which another instance of the data centre may have led as well, as far as is known:
 * now for one that this instance does not hear, or that has not learned yet that it was superseded.
 */
int64_t dks_leased_leader_rival_until_us (const dks_leased_t *leased);
/** Records that the instance has led its data centre with this term. */
void dks_leased_leader_note_term (dks_leased_t *leased, const char *id, uint64_t term);
/** Stops leading after a stall of this process, as its knowledge of the others is outdated. */
void dks_leased_leader_handle_pause (dks_leased_t *leased, int64_t pause_us);
/** Stops leading, since a target has seen a higher fencing token than that of this leader. */
void dks_leased_leader_handle_fenced (dks_leased_t *leased);
/** Begins or stops to lead, as the known state of the other instances requires. */
void dks_leased_leader_update (dks_leased_t *leased);
/** Least lag of the latest statuses of the peers that send them fast: the delay with which this
 * instance handles its messages; 0 when there are none. */
int64_t dks_leased_leader_lag_us (const dks_leased_t *leased);
/** Stops leading when the messages of all peers are handled too late, or those of most for some
 * time and another instance can lead. */
void dks_leased_leader_check_lag (dks_leased_t *leased);
/** Records that a status of the peer was handled late, if it was, by its `lag_us`. */
void dks_leased_leader_record_lag (dks_leased_t *leased, dks_leased_peer_t *peer);
/** Records that a timer that was due at `due_us` is handled now, if that is late. */
void dks_leased_leader_record_timer (dks_leased_t *leased, int64_t due_us);
/** Processor time by which this instance ranks among the candidates for leadership, thousandths of
 * a processor: less than it may use while it cannot keep up. */
uint32_t dks_leased_leader_rank_milli (const dks_leased_t *leased);

/* leased_evacuation.c */
/** Whether it is known which data centres are evacuated. */
bool dks_leased_evacuation_is_known (const dks_leased_t *leased);
/** Whether targets of the data centre get no new tasks. */
bool dks_leased_evacuation_covers (const dks_leased_t *leased, const char *data_centre);
/** Begins to collect the items of a read. */
void dks_leased_evacuation_begin_read (dks_leased_t *leased);
/** Begins to collect the items of an answer to a watch. */
void dks_leased_evacuation_begin_changes (dks_leased_t *leased);
/** Adds an item to what is collected. */
void dks_leased_evacuation_add_item (dks_leased_t *leased, const dks_feed_item_t *item);
/** Puts what was collected in force: all that has changed up to the revision of the store. Without
 * effect when changes after this revision are in force already. */
void dks_leased_evacuation_apply_items (dks_leased_t *leased, int64_t revision);
/** Puts the evacuations in force that the status of a peer states, if they are newer. */
void dks_leased_evacuation_handle_status (dks_leased_t *leased, const dks_leased_peer_t *peer,
                                          const dks_msg_t *msg);
/** States the evacuations in a status. */
void dks_leased_evacuation_state (const dks_leased_t *leased, dks_msg_t *msg);

/* leased_feed.c */
void dks_leased_feed_init (dks_leased_t *leased);
void dks_leased_feed_clear (dks_leased_t *leased);
void dks_leased_feed_handle_event (dks_leased_t *leased, const dks_event_t *event);
/** Whether the list of targets is known, from the platform or from a peer, and which data centres
 * are evacuated: what a leader has to know. */
bool dks_leased_feed_knows_targets (const dks_leased_t *leased);
/** Asks peers for what they have and the platform has not delivered for a while. */
void dks_leased_feed_fetch_from_peers (dks_leased_t *leased);
/** Sends a peer the records that it asks for. */
void
dks_leased_feed_handle_record_ask (dks_leased_t *leased, const char *from, const dks_msg_t *msg);
/** Uses a peer's list of targets as long as the platform's has not been read. */
void dks_leased_feed_handle_targets (dks_leased_t *leased, const char *from, const dks_msg_t *msg);
/** Reports a version of the configuration that is in force at another instance. */
void dks_leased_feed_note_version (dks_leased_t *leased, int64_t version);
/** Whether a newer configuration is known than the one in force. */
bool dks_leased_feed_is_behind (const dks_leased_t *leased);
/** Time for which a newer configuration has been known than the one in force, 0: there is none. */
int64_t dks_leased_feed_behind_us (const dks_leased_t *leased);
/** Whether a newer configuration has been known for long that is in force at other instances, so
 * that callers are better served there. */
bool dks_leased_feed_is_outdated (const dks_leased_t *leased);
/** Reports a configuration that cannot be put in force. `source` is "platform" or a peer. */
void dks_leased_feed_reject_catalog (dks_leased_t *leased, const dks_catalog_rejection_t *rejection,
                                     const char *source);
/** Puts the catalog in force, unless the version in force is as new or newer. */
void
dks_leased_feed_apply_catalog (dks_leased_t *leased, dks_catalog_t *catalog, const char *source);

/* leased_targets.c */
void dks_leased_targets_init (dks_leased_t *leased);
void dks_leased_targets_clear (dks_leased_t *leased);
/** Adds or updates a target that the platform lists. */
void dks_leased_targets_put (dks_leased_t *leased, const dks_target_info_t *info);
/** Marks a target as not listed any more, and drops it unless this leader controls it. */
void dks_leased_targets_remove (dks_leased_t *leased, const char *id);
/** Remembers a target on which a leader of the data centre may have runs. It gets no work unless
 * the platform lists it. */
void dks_leased_targets_note (dks_leased_t *leased, const dks_target_info_t *info);
/** Begins or stops to control the targets of the data centre, after a change of leadership. */
void dks_leased_targets_handle_leadership (dks_leased_t *leased);
/** Whether earlier leaders may have runs on targets that this leader does not know: the platform
 * does not list them, and no leader has told of them. */
bool dks_leased_targets_may_be_unknown (const dks_leased_t *leased);
void dks_leased_targets_handle_reply (dks_leased_t *leased, const dks_event_t *event);
/** Whether the run lists of all targets that may have runs of a job, which was received at
 * `job_received_us`, were read under the present term. */
bool dks_leased_targets_are_synced (const dks_leased_t *leased, int64_t job_received_us);
/** Whether a target has answered a call under the present term that was sent at `since_us` or
 * later: by then no later leader of the data centre has started a run. Else calls a target. */
bool dks_leased_targets_confirm_term (dks_leased_t *leased, int64_t since_us);
/** Reads a target's run lists at once. */
void dks_leased_target_poll (dks_leased_target_t *target);

/** Adds a call to the target with its fencing token; the calling code sets the other fields. */
dks_effect_t *
dks_leased_target_call (dks_leased_target_t *target, dks_effect_type_t type, int64_t timeout_ms);
/** Keeps a hold open while the target has runs, or sends a short one until its lists were read. */
void dks_leased_target_hold (dks_leased_target_t *target);
/** Handles an answer to a call that was sent at `sent_us`; `clock_ms` is 0 when it tells no clock.
 */
void
dks_leased_target_handle_answer (dks_leased_target_t *target, int64_t sent_us, int64_t clock_ms);
/** Handles a call without an answer. The target's runs end at the latest when its lease does. */
void dks_leased_target_handle_no_answer (dks_leased_target_t *target);
/** Handles a call, sent at `sent_us`, whose connection the target's address has refused. */
void dks_leased_target_handle_refused (dks_leased_target_t *target, int64_t sent_us);
/** Ends all runs, since another target answers at the address and none of the runs are left. */
void dks_leased_target_handle_replaced (dks_leased_target_t *target);

/* leased_lease.c */
/** Detaches the run from its job, whose caller has been answered or has left. Its lease ends no
 * later for that. */
void dks_leased_run_release (dks_leased_run_t *run);
/** Time on the target's clock, `ahead_ms` from now at the latest: the clock may have been slow
 * since it was read. */
int64_t dks_leased_target_deadline (const dks_leased_target_t *target, int64_t ahead_ms);
/** Time by which a lease that was extended at `extended_us` has expired, by the slowest clock
 * allowed, plus a margin. */
int64_t dks_leased_lease_end_us (int64_t extended_us);
/** Whether the latest reading of the target's clock is recent enough for a start. */
bool dks_leased_target_clock_is_recent (const dks_leased_target_t *target);
/** Whether the latest reading of the target's clock is recent enough for a start. Sends a call that
 * reads the clock if not; its answer makes a placement due. */
bool dks_leased_target_ensure_clock (dks_leased_target_t *target);
/** Has the target's clock read again before the next start. */
void dks_leased_target_discard_clock (dks_leased_target_t *target);

/* leased_runs.c */
/** New run on the target, with state 0 and without resources. */
dks_leased_run_t *
dks_leased_run_create (dks_leased_target_t *target, const char *name, uint32_t number);
void dks_leased_run_free (dks_leased_run_t *run);
/** Adds the run's resources to those in use on its target. */
void dks_leased_run_reserve_resources (dks_leased_run_t *run);
/** Passes the outcome to the job, and frees the run and its resources. */
void dks_leased_run_end (dks_leased_run_t *run, bool ok, bool is_fault);
/** Handles an end that the target lists for the run. */
void dks_leased_run_handle_end (dks_leased_run_t *run, dks_run_end_t end);
/** Logs that the run's start got no answer. */
void dks_leased_run_log_unanswered (const dks_leased_run_t *run);
/** Handles the answer to the start or stop under way. */
void dks_leased_run_handle_reply (dks_leased_run_t *run, const dks_event_t *event);
/** Run of the target with this number, or NULL. */
dks_leased_run_t *
dks_leased_target_find_run (dks_leased_target_t *target, const char *name, uint32_t number);
/** Starts a run of the task. */
void dks_leased_run_start (dks_leased_t *leased, dks_leased_target_t *target, dks_leased_job_t *job,
                           uint32_t task_index);
/** Sets the resources of an adopted run, which become known with its job. */
void dks_leased_run_set_resources (dks_leased_run_t *run, const dks_batch_step_t *step);
/** Stops a run without a job; its resources stay in use until the target lists its end. */
void dks_leased_run_stop (dks_leased_run_t *run);
/** Stops a run but keeps its job: the task starts elsewhere once the run has certainly ended. */
void dks_leased_run_stop_for_retry (dks_leased_run_t *run);
/** Sends the stop of the run again if the latest one failed. */
void dks_leased_run_retry_stop (dks_leased_run_t *run);
/** Latest run of the task here that has not certainly ended, or NULL. */
dks_leased_run_t *dks_leased_run_find (dks_leased_t *leased, const char *name);

/* leased_place.c */
/** Whether the platform does not list the target any more, but it may still get work. */
bool dks_leased_target_is_in_unlisted_grace (const dks_leased_target_t *target);
/** Updates `max_free_cpu_milli`. */
void dks_leased_targets_update_free_cpu (dks_leased_t *leased);
/** Reserves capacity for a task that waits for the target, so that the others of this placement
 * pass wait for other targets at the same time. */
void dks_leased_target_reserve (dks_leased_target_t *target, const dks_batch_step_t *step);
void dks_leased_targets_end_reservations (dks_leased_t *leased);
/** Whether the task fits on the target now, whatever its speed and labels. */
bool dks_leased_targets_can_start (const dks_leased_target_t *target, const dks_leased_job_t *job,
                                   uint32_t index);
/** Best target with free capacity for the task now, or NULL. */
dks_leased_target_t *dks_leased_targets_choose (dks_leased_t *leased, const dks_leased_job_t *job,
                                                const dks_leased_task_t *task,
                                                dks_leased_choice_t *choice);
/** Greatest slowness of a target on which the task is expected to end in time. */
double
dks_leased_targets_slowness_limit (const dks_leased_job_t *job, const dks_leased_task_t *task);
/** Cost of the task on the target without regard to its free room; HUGE_VAL: it must not start
 * there, or would end late and `allow_late` is not set. `planned`: starts of its step there that
 * are not among its runs yet. */
double dks_leased_targets_cost (const dks_leased_target_t *target, const dks_leased_job_t *job,
                                const dks_leased_task_t *task, double limit, bool allow_late,
                                uint32_t planned);
/** Slowness of the fastest usable target of the data centre, also of a full one; HUGE_VAL: none. */
double dks_leased_targets_min_slowness (const dks_leased_t *leased);
/** Whether any known target could run a task of the step if it were idle. */
bool dks_leased_targets_can_ever_run (const dks_leased_t *leased, const dks_batch_t *batch,
                                      const dks_batch_step_t *step);
/** Free capacity on usable targets, in tasks of mean size. */
uint32_t dks_leased_targets_free_tasks (const dks_leased_t *leased);
/** Free capacity on usable targets that may run the job, in tasks of its first step. */
uint32_t dks_leased_targets_free_for (const dks_leased_t *leased, const dks_leased_job_t *job);
/** Free capacity on about the fastest targets that have any, in tasks of mean size; sets `slowness`
 * to that of the fastest, HUGE_VAL: none. */
uint32_t dks_leased_targets_free_fast_tasks (const dks_leased_t *leased, double *slowness);

/** Mean expected run time of the runs on controlled targets, us; when there are none, the moving
 * average over past runs. */
double dks_leased_targets_mean_run_us (const dks_leased_t *leased);
/** Capacity of the usable targets when idle, in tasks of mean size. */
uint32_t dks_leased_targets_capacity (const dks_leased_t *leased);

/* leased_plan.c */
void dks_leased_plan_clear (dks_leased_t *leased);
/** Starts waiting tasks by a plan (core/plan.h) if the settings ask for it and the sizes of the
 * tasks call for it; else does nothing. What it leaves waiting is placed in the order of service.
 */
void dks_leased_plan_place (dks_leased_t *leased, bool can_lend);
/** Lets all tasks use the room that the latest plan keeps. */
void dks_leased_plan_keep_nothing (dks_leased_t *leased);
/** Ends the pass over all jobs that dks_leased_plan_place() began. */
void dks_leased_plan_end_pass (dks_leased_t *leased);
/** Counts the start of a task that the plan did not look at, which overtakes those that wait. */
void dks_leased_plan_count_start (dks_leased_t *leased, const dks_leased_task_t *task);
/** Whether the target's room is not kept for another task. */
bool dks_leased_plan_may_use (const dks_leased_target_t *target, const dks_leased_job_t *job,
                              const dks_leased_task_t *task);
/** Number of targets whose room is kept; sets `share` to that room over all room. */
uint32_t dks_leased_plan_kept_targets (const dks_leased_t *leased, double *share);

/* leased_health.c */
/** Gives the target no work for a while, unless more than half of the targets would be ejected. */
void dks_leased_target_eject (dks_leased_target_t *target, const char *reason);
/** Records a run end in the failure rate, and ejects the target when that is too high. */
void dks_leased_target_record_run_end (dks_leased_target_t *target, bool failed);
/** Records that a run took `slowness` times its expected run time. */
void dks_leased_target_record_slowness (dks_leased_target_t *target, double slowness);
/** Forgets how fast the target was. */
void dks_leased_target_forget_slowness (dks_leased_target_t *target);
/** Mean run time over expected run time; that of all targets while there are too few samples. */
double dks_leased_target_slowness (const dks_leased_target_t *target);
/** Moves `mean` towards `sample` by `weight` (0 to 1) of their difference. */
void dks_leased_update_mean (double *mean, double sample, double weight);

/* leased_handover.c */
/** States to all instances who may take over from this draining leader, when that changes. */
void dks_leased_handover_update (dks_leased_t *leased);
/** Whether this instance may take over from the leader, which drains. */
bool
dks_leased_handover_may_take_over (const dks_leased_t *leased, const dks_leased_peer_t *leader);
/** Whether this leader is not to exit yet although it has drained: an instance of its data centre
 * is to take over first. */
bool dks_leased_handover_is_awaited (const dks_leased_t *leased);
/** Whether this leader takes tasks from other leaders: it does not drain, or leads on for a while.
 */
bool dks_leased_handover_takes_lent (const dks_leased_t *leased);

/* leased_share.c */
/** Tells the data centre of the targets that have become known to this leader; before it uses
 * them, so that the message precedes any other from which a successor learns of the end of its
 * term. */
void dks_leased_share_new (dks_leased_t *leased);
/** Tells each instance of the data centre what it may lack, as the term of this leader begins and
 * once a second: an instance forgets what was not repeated for DKS_LEASED_NOTED_RETENTION_US. */
void dks_leased_share_all (dks_leased_t *leased);
/** Tells an instance of the targets of this leader that it may lack: all if it has another list,
 * else those that the platform does not list any more. */
void dks_leased_share_with (dks_leased_t *leased, const dks_leased_peer_t *peer);
/** Tells an instance that begins to lead of the targets that leaders have lately stated, and of
 * those that have lately left the platform's list: it may have started since. Goes before the jobs
 * that are sent to it. */
void dks_leased_share_lately_known (dks_leased_t *leased, const dks_leased_peer_t *peer);
void dks_leased_share_handle_msg (dks_leased_t *leased, const dks_leased_peer_t *peer,
                                  const dks_msg_t *msg);

/* leased_speeds.c */
void dks_leased_speeds_init (dks_leased_t *leased);
void dks_leased_speeds_clear (dks_leased_t *leased);
/** Stores the average speeds of targets and run times of queues that the leader has published. */
void dks_leased_speeds_handle_msg (dks_leased_t *leased, const dks_msg_t *msg);
/** Has all averages published again, since an instance has joined the data centre. */
void dks_leased_speeds_publish_all (dks_leased_t *leased);

/* leased_crashes.c */
void dks_leased_crashes_init (dks_leased_t *leased);
void dks_leased_crashes_clear (dks_leased_t *leased);
/** Counts a crash of the target for the tasks of its runs, except those that its new incarnation
 * lists, and tells other instances. `new_lists` may be NULL. With `is_supposed` the only sign of it
 * is that connections are refused, as they are also where the network resets them. */
void dks_leased_crashes_record (dks_leased_target_t *target, const dks_run_lists_t *new_lists,
                                bool is_supposed);
/** Takes back the crashes that were counted because the target refused connections: it has answered
 * as the same incarnation, so its process did not end. */
void dks_leased_crashes_withdraw (dks_leased_target_t *target);
/** Keeps the crashes that were counted because the target refused connections: another incarnation
 * has shown that its process ended, or the target is gone. */
void dks_leased_crashes_confirm (dks_leased_target_t *target);
/** Whether so many targets have crashed under the task that it is not started again. */
bool dks_leased_crashes_forbid_start (const dks_leased_job_t *job, const dks_leased_task_t *task);
void dks_leased_crashes_handle_msg (dks_leased_t *leased, const dks_msg_t *msg);
/** Sends the peer, which has joined the data centre of this leader, all crashes. */
void dks_leased_crashes_send_all (dks_leased_t *leased, const char *peer);

/* leased_watch.c */
void dks_leased_watch_init (dks_leased_t *leased);
void dks_leased_watch_clear (dks_leased_t *leased);

/* leased_prior_jobs.c */
void dks_leased_prior_jobs_init (dks_leased_t *leased);
void dks_leased_prior_jobs_clear (dks_leased_t *leased);
/** Hash of a job's id, or of the id in the name of one of its tasks. */
uint64_t dks_leased_prior_jobs_hash (const char *id);
/** The other data centre with the name, which is added when it is new; NULL: it is the local one.
 */
dks_leased_data_centre_t *dks_leased_data_centre_add (dks_leased_t *leased, const char *name);
/** Has the jobs stated to the peer, if that is a leader of another data centre. */
void dks_leased_prior_jobs_request (dks_leased_t *leased, dks_leased_peer_t *peer);
/** Has the jobs stated to all leaders of other data centres, as this instance begins to lead. */
void dks_leased_prior_jobs_request_all (dks_leased_t *leased);
/** Sends the statements that are due, once they hold. */
void dks_leased_prior_jobs_send_due (dks_leased_t *leased);
/** Notes whether the data centre is gone, as one of its instances or targets has been forgotten. */
void dks_leased_data_centre_check (dks_leased_t *leased, const char *name);
/** Ends the statement of the peer, which states its jobs anew on each connection. */
void dks_leased_prior_jobs_handle_up (dks_leased_t *leased, const char *peer);
/** Stores the jobs that the status of a leader of another data centre states. */
void dks_leased_prior_jobs_handle_status (dks_leased_t *leased, const dks_leased_peer_t *peer,
                                          const dks_msg_t *msg);
/** What the leader of the data centre has stated about the job. */
dks_leased_prior_jobs_answer_t
dks_leased_prior_jobs_ask (const dks_leased_job_t *job, dks_leased_data_centre_t *data_centre);
/** Whether the leaders of all other data centres have stated that no task of the job runs there. */
bool dks_leased_prior_jobs_exclude_all (const dks_leased_job_t *job);
/** Whether this leader has begun to lead so lately that other leaders have yet to state which jobs
 * run there. */
bool dks_leased_prior_jobs_are_awaited (const dks_leased_t *leased);
/** Whether a leader of another data centre has stated a run of the job with this id. */
bool dks_leased_prior_jobs_contain (const dks_leased_t *leased, const char *id);

/* leased_prior_runs.c */
/** The leader of another data centre that knows all runs there; NULL: none can be asked now. */
const dks_leased_peer_t *
dks_leased_data_centre_leader (const dks_leased_t *leased, const char *data_centre);
void dks_leased_prior_runs_init (dks_leased_job_t *job);
/** Whether it is certain that no other data centre runs the task for an earlier leader of this one,
 * and that none will: the present leaders there have said so, or their leases have expired. Asks
 * the leaders that were not asked yet. */
bool dks_leased_prior_runs_exclude (dks_leased_job_t *job, const dks_leased_task_t *task);
/** Handles an answer of a leader that was asked; returns the task that it is about if that still
 * waits, else NULL. */
dks_leased_task_t *
dks_leased_prior_runs_handle_answer (dks_leased_job_t *job, const char *peer, const dks_msg_t *msg);
/** Has the questions to a lost instance asked again. */
void dks_leased_prior_runs_handle_peer_lost (dks_leased_t *leased, const char *peer);
/** Tells the leaders that were asked that the job needs their runs no more. */
void dks_leased_prior_runs_cancel (dks_leased_job_t *job);
void dks_leased_prior_runs_clear (dks_leased_job_t *job);

/* leased_lend.c */
/** New message to a remote leader about tasks of one step, without tasks and run numbers, for which
 * it has room. `spec` is what the tasks run. */
dks_msg_t *dks_leased_lend_create_msg (const dks_leased_job_t *job, uint32_t batch_step,
                                       dks_blob_t *spec, const dks_leased_peer_t *peer);
/** Lends due tasks to leaders of other data centres that reported free capacity; with `fast`, only
 * tasks that end late here, and only to leaders with free capacity on a faster target. */
void dks_leased_lend_waiting (dks_leased_job_t *job, bool fast);
/** Whether the latest status of any other leader reports free capacity. */
bool dks_leased_lend_has_capacity (const dks_leased_t *leased);
/** Least slowness of free capacity reported by other data centres' leaders; HUGE_VAL: none. */
double dks_leased_lend_min_slowness (const dks_leased_t *leased);
/** For lent tasks whose remote leader is lost, queries its successor whether they run there. */
void dks_leased_lend_query_successors (dks_leased_t *leased);
/** Marks the tasks lent to `peer`, which leads no more; its successor is queried for them. */
void dks_leased_lend_handle_remote_lost (dks_leased_t *leased, const char *peer);

/* leased_starts.c */
/** Whether the task may start now: it waits, and the steps before it have ended. */
bool dks_leased_task_is_due (const dks_leased_job_t *job, const dks_leased_task_t *task);
/** Number of the next run of the task, of a job that was not lent to this leader. */
uint32_t
dks_leased_task_next_run_number (const dks_leased_job_t *job, const dks_leased_task_t *task);
/** Moves a waiting task that was started, lent or ended to `state`. */
void dks_leased_task_leave_waiting (dks_leased_job_t *job, dks_leased_task_t *task,
                                    dks_leased_task_state_t state);
/** Whether a job that came as a first submission may start, as far as other leaders are concerned.
 * An earlier leader may have had it nevertheless: their statements tell. */
bool dks_leased_job_may_start_first_time (dks_leased_job_t *job);
/** Starts a waiting task on the target, unless a run that an earlier leader started may be active.
 */
bool dks_leased_job_start_on (dks_leased_job_t *job, uint32_t index, dks_leased_target_t *target);
/** Starts or lends waiting tasks where there is free capacity. */
void dks_leased_starts_place_waiting (dks_leased_t *leased);
/** Starts tasks that another leader lent, and refuses those that do not fit on a target now. */
void dks_leased_starts_place_lent (dks_leased_job_t *job);

/* leased_jobs.c */
/** Sets the timer to the next moment at which the job may have to be reordered, refused or ended.
 */
void dks_leased_job_arm_timer (dks_leased_job_t *job);
/** Refuses a job for which no capacity is expected to become free in time. */
void dks_leased_job_refuse_by_estimate (dks_leased_job_t *job, const char *detail);
/** Tells a home leader how a run of a task that it lent has ended, or that there was none. */
void dks_leased_job_send_lent_done (dks_leased_t *leased, const char *peer, uint64_t request,
                                    uint32_t index, uint32_t run_number, dks_lent_result_t result);
void dks_leased_job_free (dks_leased_job_t *job);
void dks_leased_jobs_init (dks_leased_t *leased);
void dks_leased_jobs_clear (dks_leased_t *leased);
/** Accepts or refuses a job of an entry instance, which may be this one, or tasks lent to it. */
void dks_leased_jobs_handle_work (dks_leased_t *leased, const char *origin, const dks_msg_t *msg);
void dks_leased_jobs_handle_cancel (dks_leased_t *leased, const char *origin, uint64_t request);
void
dks_leased_jobs_handle_lent_done (dks_leased_t *leased, const char *peer, const dks_msg_t *msg);
/** Ends the jobs and lent tasks of an instance whose messages arrive too late to show that it still
 * runs. */
void dks_leased_jobs_handle_peer_unproven (dks_leased_t *leased, const char *peer);
/** Handles the loss of an instance that sent jobs, lent tasks or runs lent tasks. */
void dks_leased_jobs_handle_peer_lost (dks_leased_t *leased, const char *peer);
/** Drops all jobs after leadership ended; their senders submit them again to the next leader. */
void dks_leased_jobs_drop_all (dks_leased_t *leased);
/** Ends a job that cannot complete before its caller leaves, or reports that for a lent task. */
void dks_leased_jobs_give_up (dks_leased_job_t *job, uint32_t task_index);
/** Ends the job of the task, if this leader has it, since too many targets crashed under the task.
 */
void dks_leased_jobs_handle_crashes (dks_leased_t *leased, const char *task_name);
/** Handles the outcome of a run of a job's task. `is_fault`: the task itself failed. */
void dks_leased_jobs_handle_run_end (dks_leased_t *leased, dks_leased_run_t *run, bool ok,
                                     bool is_fault);

/* leased_admission.c */
/** Inserts the job into the list of jobs, which is in the order of service. */
void dks_leased_admission_insert (dks_leased_job_t *job);
/** How long a job whose critical path takes `critical_path_us` may wait for its first start.
 * Bounded by the time that its caller waits, `budget_us`, and by the time-out of the queue, which
 * limits how long this system may hold a job. `queue` may be NULL. */
int64_t dks_leased_admission_wait_us (const dks_queue_entry_t *queue, int64_t budget_us,
                                      int64_t critical_path_us);
/** Whether the tasks ahead of the job keep it from starting before `refuse_at_us`; in overload,
 * from ending within its objective. */
bool dks_leased_admission_wait_is_too_long (const dks_leased_job_t *job);
/** Logs the estimate by which the job is refused. */
void dks_leased_admission_log_estimate (const dks_leased_job_t *job);
/** Whether the job waits in overload and can no longer end within its objective. */
bool dks_leased_admission_is_hopeless (const dks_leased_job_t *job);
/** Expected time until the waiting tasks have been placed, plus up to half of it or up to the time
 * for which the overload has lasted, by which refused callers are spread: else they would all
 * return at once. */
uint32_t dks_leased_admission_retry_after_ms (const dks_leased_job_t *job);

/* leased_drain.c */
/** Records that a task of some job was started or lent. */
void dks_leased_drain_record_start (dks_leased_t *leased);
/** Records that the first task of the job was started or lent. */
void dks_leased_drain_record_first_start (const dks_leased_job_t *job);
void dks_leased_drain_record_admission (const dks_leased_job_t *job);
/** Records that the job was refused since it would have had to wait for too long. */
void dks_leased_drain_record_refusal (dks_leased_t *leased);
/** For how long jobs have had to wait, when that is longer than a burst that passes; else 0. */
int64_t dks_leased_drain_overload_us (const dks_leased_t *leased);
/** Whether jobs have had to wait for longer than in a burst that passes. */
bool dks_leased_drain_is_overloaded (const dks_leased_t *leased);
/** Tasks/us that start, less those of a higher priority that arrive meanwhile. */
double dks_leased_drain_rate (const dks_leased_job_t *job);

/* leased_estimate.c */
void dks_leased_estimate_init (dks_leased_t *leased);
void dks_leased_estimate_clear (dks_leased_t *leased);
/** Expected run time of a task of the step on an average target, us. */
double
dks_leased_estimate_run_us (const dks_leased_t *leased, const dks_batch_t *batch, uint32_t step);
/** Expected time of the batch's critical path, its longest chain of dependent steps, on average
 * targets, us. */
double dks_leased_estimate_critical_path_us (const dks_leased_t *leased, const dks_batch_t *batch);
/** Expected time of the longest chain of steps that follow each step, us. */
void dks_leased_estimate_tails_us (const dks_leased_t *leased, const dks_batch_t *batch,
                                   int64_t tails_us[DKS_BATCH_STEPS_MAX]);
/** Stores the leader's mean logarithm of a queue's run times in us, over `samples` runs. */
void dks_leased_estimate_put (dks_leased_t *leased, const char *name, double mean_log_run_us,
                              uint32_t samples);
/** Records a task's run time, converted to an average target, in the average of its queue. */
void dks_leased_estimate_record (dks_leased_t *leased, const dks_batch_t *batch, double run_us);

/* leased_entry.c */
void dks_leased_entry_init (dks_leased_t *leased);
void dks_leased_entry_clear (dks_leased_t *leased);
void dks_leased_entry_handle_batch (dks_leased_t *leased, const dks_event_t *event);
void dks_leased_entry_handle_caller_gone (dks_leased_t *leased, uint64_t id);
/** Handles the answer of a leader, which may be this instance. */
void dks_leased_entry_handle_done (dks_leased_t *leased, const char *from, const dks_msg_t *msg);
/** Sends the present leader the requests that were sent to another leader, or to none yet. */
void dks_leased_entry_resubmit (dks_leased_t *leased);
/** The process has stood still: what its callers did meanwhile is not known. */
void dks_leased_entry_handle_pause (dks_leased_t *leased);
/** All callers that had left at `checked_us` have been reported. */
void dks_leased_entry_handle_callers_checked (dks_leased_t *leased, int64_t checked_us);
void dks_leased_entry_handle_drain (dks_leased_t *leased);
/** Time for which this draining instance can lead, 0: its time is over, or it does not drain. */
int64_t dks_leased_entry_handover_left_us (const dks_leased_t *leased);
/** Whether a draining instance has no requests and jobs left, or the time of its drain is over. */
bool dks_leased_entry_is_drained (const dks_leased_t *leased);

#endif
