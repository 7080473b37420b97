/**
 * Events that the host gives to the reducer, and effects that it gets back. The host owns all I/O,
 * clocks and randomness; the reducer owns all decisions.
 */
#ifndef DKS_CORE_EVENT_H
#define DKS_CORE_EVENT_H

#include "common/log.h"
#include "core/catalog.h"
#include "core/lease.h"
#include "core/msg.h"
#include "core/settings.h"

/** Result of a call to the platform's key-value service. */
typedef enum
{
  DKS_STORE_OK = 1,
  DKS_STORE_NOT_FOUND, /**< GET only */
  DKS_STORE_CONFLICT,  /**< CAS only: the version did not match */
  DKS_STORE_UNKNOWN,   /**< no reply: a CAS may have taken effect */
} dks_store_status_t;

/** Lists kept by the platform that instances read and then watch for changes. */
typedef enum
{
  DKS_FEED_CATALOG = 1, /**< what the operator writes: the configuration, in at most one item, and
                           the evacuated data centres */
  DKS_FEED_TARGETS,     /**< targets under lease */
  DKS_FEED_COUNT
} dks_feed_t;

/** Result of reading or watching a feed. */
typedef enum
{
  DKS_FEED_OK = 1,
  DKS_FEED_HISTORY_GONE, /**< watch only: the platform no longer has all changes since the revision;
                            the feed must be read again */
  DKS_FEED_REJECTED,     /**< the platform answered with an error, or unreadably */
  DKS_FEED_UNREACHABLE,  /**< the call was not sent, or its connection broke */
  DKS_FEED_UNANSWERED,   /**< no answer within the timeout */
  DKS_FEED_TOO_LARGE,    /**< read only: the answer is larger than this instance can receive */
} dks_feed_status_t;

/** One item of a feed. */
typedef struct
{
  const char *key; /**< identifies the item within its feed */
  bool deleted;
  /** Configuration only; NULL when deleted or rejected. */
  dks_catalog_t *catalog;
  /** Target only; NULL when deleted or not readable. */
  const dks_target_info_t *target;
  /** Evacuation only, else NULL: name of the data centre, which is taken back when deleted. */
  const char *data_centre;
  /** Configuration that cannot be put in force, else NULL. */
  const dks_catalog_rejection_t *rejection;
} dks_feed_item_t;

/** Operation that a caller requests for a batch. */
typedef enum
{
  DKS_BATCH_SUBMIT = 1,
  DKS_BATCH_QUERY, /**< state of a job, or of a queue when no id is given */
  DKS_BATCH_CANCEL,
} dks_batch_verb_t;

/** Answer to a caller of the batch interface. */
typedef enum
{
  DKS_BATCH_COMPLETED = 1, /**< all tasks have succeeded */
  DKS_BATCH_FAILED,        /**< a task failed in each of its permitted attempts */
  DKS_BATCH_RUNNING,       /**< query only */
  DKS_BATCH_CANCELLED,     /**< this caller cancelled the job */
  DKS_BATCH_UNKNOWN_JOB,   /**< query or cancel: no such job is known */
  DKS_BATCH_PENDING,       /**< query of a queue */
  DKS_BATCH_NO_QUEUE,      /**< the configuration has no such queue */
  DKS_BATCH_INVALID,       /**< malformed */
  DKS_BATCH_REFUSED,       /**< no task was started, and none will be */
  DKS_BATCH_LOST,          /**< tasks may have run; the caller may submit the job again */
} dks_batch_answer_t;

/** Stable name of an answer, used in log lines. */
const char *dks_batch_answer_name (dks_batch_answer_t answer);

/** One entry of the platform's list of instances. */
typedef struct
{
  char id[DKS_NAME_SIZE];
  char address[DKS_ADDRESS_SIZE]; /**< IP:port: the HTTP server of a target, the peer port of an
                                     entry instance */
  char data_centre[DKS_NAME_SIZE];
  bool is_target; /**< false: an entry instance */
  bool leaving;
  uint32_t slots;        /**< targets only: tasks that run at the same time */
  uint32_t cpus;         /**< targets only */
  uint32_t memory_mb;    /**< targets only */
  uint32_t accelerators; /**< targets only */
} dks_listed_instance_t;

typedef enum
{
  DKS_EVENT_TICK = 1,    /**< time passed; sent at dks_reducer_next_us() at the latest */
  DKS_EVENT_SUBMIT,      /**< a caller submitted work */
  DKS_EVENT_CANCEL,      /**< a caller cancels a key */
  DKS_EVENT_QUERY,       /**< a caller requests the answer of a key */
  DKS_EVENT_CALLER_GONE, /**< the caller closed its connection; no answer can be delivered */
  DKS_EVENT_PEER_UP,     /**< a connection to an instance is ready for messages */
  DKS_EVENT_PEER_DOWN,   /**< the connection to an instance closed */
  DKS_EVENT_PEER_MSG,
  DKS_EVENT_PEER_REFUSED,    /**< an address refused a connection: no process listens there */
  DKS_EVENT_TARGET_REPLY,    /**< outcome of a TARGET_SEND */
  DKS_EVENT_STORE_REPLY,     /**< outcome of a STORE_GET or STORE_CAS */
  DKS_EVENT_STORE_RECORD,    /**< a watch delivered a record */
  DKS_EVENT_INSTANCE_LIST,   /**< the platform's list was read */
  DKS_EVENT_SETTINGS_EDIT,   /**< an operator edits the settings tree */
  DKS_EVENT_DRAIN,           /**< shut down gracefully */
  DKS_EVENT_CONFIG,          /**< the configuration of this instance was reloaded */
  DKS_EVENT_BATCH,           /**< a caller submits, queries or cancels a batch */
  DKS_EVENT_FEED,            /**< outcome of a FEED_READ or FEED_WATCH */
  DKS_EVENT_LEASE_REPLY,     /**< outcome of a LEASE_START, LEASE_STOP or LEASE_HOLD */
  DKS_EVENT_CALLERS_CHECKED, /**< outcome of a CALLERS_CHECK: a CALLER_GONE has come for each caller
                                that had left by then */
} dks_event_type_t;

/** Input to dks_reducer_apply(). The reducer takes its own references to what it keeps; the
 * references in the event stay with the caller of dks_reducer_apply(). */
typedef struct
{
  dks_event_type_t type;
  dks_time_t now;
  union
  {
    struct
    {
      const struct dks_config_t *config; /**< remote factor and seed addresses apply */
    } config;
    struct
    {
      uint64_t caller; /**< id of the caller's request, chosen by the host, never reused */
      dks_submission_t *submission;
    } submit;
    struct
    {
      uint64_t caller;
      const char *key;
    } key; /**< CANCEL and QUERY */
    struct
    {
      uint64_t caller;
    } caller_gone;
    struct
    {
      const char *peer;        /**< member id: "INSTANCE#INCARNATION" */
      const char *data_centre; /**< PEER_UP only */
    } peer;
    struct
    {
      const char *address;
    } peer_refused;
    struct
    {
      const char *peer;
      dks_msg_t *msg;
    } peer_msg;
    struct
    {
      uint64_t attempt;
      dks_attempt_status_t status;
      bool leaving; /**< the target's reply announced that it is leaving */
      dks_blob_t *body;
    } target_reply;
    struct
    {
      uint64_t op;
      dks_store_status_t status;
      int64_t version;   /**< store revision of the record; on CONFLICT the current revision, 0 if
                            unknown */
      dks_blob_t *value; /**< GET only */
    } store_reply;
    struct
    {
      const char *key;
      int64_t version;
      dks_blob_t *value;
    } store_record;
    struct
    {
      const dks_listed_instance_t *items;
      size_t count;
    } instance_list;
    struct
    {
      uint64_t caller;
      dks_settings_edit_t edit; /**< `edit.id` may be empty; the reducer then generates an id */
    } settings_edit;
    struct
    {
      uint64_t caller;
      dks_batch_verb_t verb;
      const char *host;   /**< Host header of the request, may include a port */
      const char *path;   /**< path of the request: prefix of the queue, then the id of the job */
      dks_batch_t *batch; /**< SUBMIT only: steps and specification; NULL when malformed */
      const char *unsupported; /**< SUBMIT only: feature that the job needs and this instance lacks,
                                  or NULL */
      int64_t budget_ms; /**< how long the caller waits for the answer, 0 when the request does not
                            say */
    } batch;
    struct
    {
      int64_t checked_us; /**< monotonic time at which the check began */
    } callers_checked;
    struct
    {
      uint64_t op;
      dks_feed_status_t status;
      int64_t revision;       /**< revision after which to watch for changes */
      bool more_items_follow; /**< FEED_READ only: further items follow after `last_key` */
      const char *last_key;   /**< FEED_READ only, key of the last item, also of one that was left
                                 out;   NULL: none */
      size_t count;
      const dks_feed_item_t *items;
    } feed;
    struct
    {
      uint64_t op;
      dks_lease_status_t status;
      int64_t target_clock_ms; /**< Unix ms by the target's clock, 0 when the reply has no time */
      const dks_run_lists_t *lists; /**< LEASE_HOLD with status OK, else NULL */
    } lease_reply;
  } u;
} dks_event_t;

typedef enum
{
  DKS_EFFECT_REPLY = 1,  /**< final answer (or ACCEPTED) to a caller; at most one per caller id */
  DKS_EFFECT_EDIT_REPLY, /**< outcome of SETTINGS_EDIT */
  DKS_EFFECT_PEER_SEND,
  DKS_EFFECT_PEER_CONNECT, /**< connect to the instance at this address, and reconnect when the
                              connection closes */
  DKS_EFFECT_PEER_CLOSE, /**< close a connection over which nothing arrives any more, and open a new
                            one */
  DKS_EFFECT_TARGET_SEND,  /**< run one task at a target */
  DKS_EFFECT_TARGET_ABORT, /**< give up an attempt; a reply event for it may still follow */
  DKS_EFFECT_STORE_GET,
  DKS_EFFECT_STORE_CAS,
  DKS_EFFECT_LOG,
  DKS_EFFECT_EXIT,          /**< drained: nothing is left to do */
  DKS_EFFECT_BATCH_REPLY,   /**< answer to a BATCH event; exactly one per caller id */
  DKS_EFFECT_FEED_READ,     /**< read a part of a feed */
  DKS_EFFECT_FEED_WATCH,    /**< long poll for changes of a feed */
  DKS_EFFECT_LEASE_START,   /**< start a run at a target */
  DKS_EFFECT_LEASE_STOP,    /**< stop a run; if its start arrives after the stop, the target rejects
                               the start */
  DKS_EFFECT_LEASE_HOLD,    /**< read a target's lists of runs; may extend its lease */
  DKS_EFFECT_CALLERS_CHECK, /**< look which waiting callers have left */
} dks_effect_type_t;

/** Output of dks_reducer_apply(). All that an effect refers to stays valid until the effects are
 * cleared. */
typedef struct
{
  dks_effect_type_t type;
  union
  {
    struct
    {
      uint64_t caller;
      dks_answer_t *answer;
    } reply;
    struct
    {
      uint64_t caller;
      int error; /**< 0 or a negative error number; after DKS_ERR_TIMEOUT the edit may still take
                    effect */
      int64_t version;                          /**< version of the tree that contains the edit */
      uint32_t instances_total;                 /**< live instances known when the reply was made */
      uint32_t instances_in_force;              /**< live instances that apply this version */
      char missing_data_centres[DKS_TEXT_SIZE]; /**< data centres in which this version is not known
                                                   to be in force */
      char detail[DKS_TEXT_SIZE];
    } edit_reply;
    struct
    {
      char peer[DKS_NAME_SIZE]; /**< member id */
      dks_msg_t *msg;
    } peer_send;
    struct
    {
      char peer[DKS_NAME_SIZE]; /**< member id */
    } peer_close;
    struct
    {
      char address[DKS_ADDRESS_SIZE];
      char id[DKS_NAME_SIZE]; /**< instance id without incarnation */
    } peer_connect;
    struct
    {
      uint64_t attempt; /**< never reused */
      char address[DKS_ADDRESS_SIZE];
      char key[DKS_KEY_SIZE];
      uint32_t index;
      uint32_t attempt_number;
      int64_t deadline_ms;
      dks_blob_t *payload;
    } target_send;
    struct
    {
      uint64_t attempt;
    } target_abort;
    struct
    {
      uint64_t op; /**< never reused */
      char key[DKS_NAME_SIZE + 8];
      int64_t version; /**< CAS: expected store revision, 0 when the record must not exist */
      dks_blob_t *value;
    } store;
    struct
    {
      dks_log_level_t level;
      char text[256];
    } log;
    struct
    {
      uint64_t caller;
      dks_batch_answer_t answer;
      uint32_t retry_after_ms;    /**< 0: the answer has no retry advice */
      uint32_t pending;           /**< PENDING only */
      char detail[DKS_TEXT_SIZE]; /**< human-readable */
    } batch_reply;
    struct
    {
      uint64_t op; /**< never reused */
      dks_feed_t feed;
      int64_t revision;                  /**< FEED_WATCH: reports changes after this revision */
      char after_key[DKS_FEED_KEY_SIZE]; /**< FEED_READ: returns items after this key; empty: from
                                            the first item */
      int64_t timeout_ms; /**< timeout of the call, extended while its answer arrives; the platform
                             is asked to answer a FEED_WATCH a margin earlier */
    } feed;
    struct
    {
      uint64_t op; /**< never reused */
      char address[DKS_ADDRESS_SIZE];
      char target[DKS_NAME_SIZE]; /**< target id; another target at this address ignores the call */
      char task[DKS_TASK_NAME_SIZE]; /**< START and STOP */
      uint32_t run;                  /**< START and STOP */
      dks_blob_t *spec;              /**< START */
      int64_t fencing_token; /**< the target rejects calls with a lower token than it has seen */
      int64_t deadline_ms; /**< end of the lease, Unix ms by the target's clock; HOLD: 0 leaves the
                              lease unchanged */
      int64_t last_end_seen; /**< HOLD: ended runs up to this list number have been received */
      int64_t wait_ms; /**< HOLD: long poll; the target may wait this long for a run to end before
                          it answers */
      int64_t timeout_ms; /**< after this time without an answer the call ends as UNANSWERED */
    } lease;
  } u;
} dks_effect_t;

typedef struct
{
  dks_effect_t *items;
  size_t count;
  size_t capacity;
} dks_effects_t;

/** Appends a zeroed effect and returns it. The pointer is valid until the next append. */
dks_effect_t *dks_effects_add (dks_effects_t *effects, dks_effect_type_t type);
/** Removes all effects and releases their references; keeps the array for reuse. */
void dks_effects_clear (dks_effects_t *effects);
/** Removes all effects and frees the array. */
void dks_effects_destroy (dks_effects_t *effects);

#endif
