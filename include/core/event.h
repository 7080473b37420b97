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
  DKS_STORE_UNKNOWN,   /**< no reply: a write may have taken effect */
} dks_store_status_t;

/** Lists that the platform keeps and that instances follow. */
typedef enum
{
  DKS_FEED_CATALOG = 1, /**< the operator's configuration: at most one item */
  DKS_FEED_TARGETS,     /**< targets under lease */
  DKS_FEED_COUNT
} dks_feed_t;

typedef enum
{
  DKS_FEED_OK = 1,
  DKS_FEED_HISTORY_GONE, /**< watch only: changes may have been missed */
  DKS_FEED_UNAVAILABLE,  /**< refused, or no answer */
} dks_feed_status_t;

/** One item of a feed. */
typedef struct
{
  const char *key; /**< identifies the item within its feed */
  bool deleted;
  /** Catalog only; NULL when deleted or not readable. */
  dks_catalog_t *catalog;
  /** Target only; NULL when deleted or not readable. */
  const dks_target_info_t *target;
} dks_feed_item_t;

/** What a caller of a batch asks for. */
typedef enum
{
  DKS_BATCH_SUBMIT = 1,
  DKS_BATCH_QUERY, /**< state of a job, or of a queue when no id is given */
  DKS_BATCH_CANCEL,
} dks_batch_verb_t;

/** Answer to the caller of a batch. */
typedef enum
{
  DKS_BATCH_COMPLETED = 1, /**< all tasks have ended well */
  DKS_BATCH_FAILED,        /**< a task failed as often as it may */
  DKS_BATCH_RUNNING,       /**< query only */
  DKS_BATCH_CANCELLED,     /**< as asked for by this caller */
  DKS_BATCH_UNKNOWN_JOB,   /**< query or cancel: no such job is known */
  DKS_BATCH_PENDING,       /**< query of a queue */
  DKS_BATCH_NO_QUEUE,      /**< the configuration has no such queue */
  DKS_BATCH_INVALID,       /**< malformed */
  DKS_BATCH_REFUSED,       /**< not run and never will be */
  DKS_BATCH_LOST,          /**< tasks may have run; the caller may submit the job again */
} dks_batch_answer_t;

/** Stable name of an answer, for logs. */
const char *dks_batch_answer_name (dks_batch_answer_t answer);

/** One row of the platform's list of instances. */
typedef struct
{
  char id[DKS_NAME_SIZE];
  char address[DKS_ADDRESS_SIZE]; /**< IP:port; of the HTTP server for targets, of the peer port for
                                     entry instances */
  char data_centre[DKS_NAME_SIZE];
  bool is_target; /**< else an entry instance */
  bool leaving;
  uint32_t slots; /**< targets only, as are the three below */
  uint32_t cpus;
  uint32_t memory_mb;
  uint32_t accelerators;
} dks_listed_instance_t;

typedef enum
{
  DKS_EVENT_TICK = 1,    /**< time passed; sent at dks_reducer_next_us() at the latest */
  DKS_EVENT_SUBMIT,      /**< a caller submitted work */
  DKS_EVENT_CANCEL,      /**< a caller cancels a key */
  DKS_EVENT_QUERY,       /**< a caller asks for the answer of a key */
  DKS_EVENT_CALLER_GONE, /**< the caller's connection closed; no answer can be delivered */
  DKS_EVENT_PEER_UP,     /**< a connection to an instance is ready for messages */
  DKS_EVENT_PEER_DOWN,   /**< the connection closed */
  DKS_EVENT_PEER_MSG,
  DKS_EVENT_TARGET_REPLY,  /**< outcome of a TARGET_SEND */
  DKS_EVENT_STORE_REPLY,   /**< outcome of a STORE_GET or STORE_CAS */
  DKS_EVENT_STORE_RECORD,  /**< a watch delivered a record */
  DKS_EVENT_INSTANCE_LIST, /**< the platform's list was read */
  DKS_EVENT_SETTINGS_EDIT, /**< an operator edits the settings tree */
  DKS_EVENT_DRAIN,         /**< shut down gracefully */
  DKS_EVENT_CONFIG,        /**< settings of the instance were read again */
  DKS_EVENT_BATCH,         /**< a caller's request about a batch */
  DKS_EVENT_FEED,          /**< outcome of a FEED_READ or FEED_WATCH */
  DKS_EVENT_LEASE_REPLY,   /**< outcome of a LEASE_START, LEASE_STOP or LEASE_HOLD */
} dks_event_type_t;

/** The reducer takes its own references; the caller of dks_reducer_apply keeps the event's. */
typedef struct
{
  dks_event_type_t type;
  dks_time_t now;
  union
  {
    struct
    {
      const struct dks_config_t *config; /**< its remote factor and seeds are put in force */
    } config;
    struct
    {
      uint64_t caller; /**< chosen by the host, never reused */
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
      const char *peer;
      dks_msg_t *msg;
    } peer_msg;
    struct
    {
      uint64_t attempt;
      dks_attempt_status_t status;
      bool leaving; /**< the target said that it is leaving */
      dks_blob_t *body;
    } target_reply;
    struct
    {
      uint64_t op;
      dks_store_status_t status;
      int64_t
          version; /**< store revision of the record; on CONFLICT the current one, 0 if unknown */
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
      dks_settings_edit_t edit; /**< `edit.id` may be empty; the reducer then makes one */
    } settings_edit;
    struct
    {
      uint64_t caller;
      dks_batch_verb_t verb;
      const char *host;   /**< of the request, may have a port */
      const char *path;   /**< prefix of the queue and id of the job */
      dks_batch_t *batch; /**< SUBMIT only: steps and specification; NULL when malformed */
      const char
          *unsupported;  /**< SUBMIT only: what the job needs and this product lacks, or NULL */
      int64_t budget_ms; /**< how long the caller waits, 0 when not told */
    } batch;
    struct
    {
      uint64_t op;
      dks_feed_status_t status;
      int64_t revision; /**< watch from here */
      bool has_more;    /**< read only: further items come after the last key */
      size_t count;
      const dks_feed_item_t *items;
    } feed;
    struct
    {
      uint64_t op;
      dks_lease_status_t status;
      int64_t target_clock_ms;      /**< target's clock, 0: not told */
      const dks_run_lists_t *lists; /**< LEASE_HOLD with status OK, else NULL */
    } lease_reply;
  } u;
} dks_event_t;

typedef enum
{
  DKS_EFFECT_REPLY = 1,  /**< final answer (or ACCEPTED) to a caller; at most one a caller id */
  DKS_EFFECT_EDIT_REPLY, /**< outcome of SETTINGS_EDIT */
  DKS_EFFECT_PEER_SEND,
  DKS_EFFECT_PEER_CONNECT, /**< an instance exists at this address; keep a connection to it */
  DKS_EFFECT_PEER_CLOSE,   /**< nothing comes over the connection to an instance; open a new one */
  DKS_EFFECT_TARGET_SEND,  /**< run one task at a target */
  DKS_EFFECT_TARGET_ABORT, /**< drop an attempt; a reply event for it may still follow */
  DKS_EFFECT_STORE_GET,
  DKS_EFFECT_STORE_CAS,
  DKS_EFFECT_LOG,
  DKS_EFFECT_EXIT,        /**< drained: nothing is left to do */
  DKS_EFFECT_BATCH_REPLY, /**< answer to a BATCH event; exactly one a caller id */
  DKS_EFFECT_FEED_READ,   /**< reads a part of a feed */
  DKS_EFFECT_FEED_WATCH,  /**< waits for changes of a feed */
  DKS_EFFECT_LEASE_START, /**< starts a run at a target */
  DKS_EFFECT_LEASE_STOP,  /**< stops a run; one that has not arrived yet is rejected later */
  DKS_EFFECT_LEASE_HOLD,  /**< reads a target's lists of runs and may extend its lease */
} dks_effect_type_t;

/** Everything in an effect lives until the effects are cleared. */
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
      int error;       /**< 0 or a negative error number; DKS_ERR_TIMEOUT: may take effect later */
      int64_t version; /**< version of the tree that contains the edit */
      uint32_t instances_total;                 /**< live instances known when the reply was made */
      uint32_t instances_in_force;              /**< of these, how many apply this version */
      char missing_data_centres[DKS_TEXT_SIZE]; /**< data centres where it is not known to be in
                                                   force */
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
      int64_t version; /**< CAS: expected store revision, 0 for "does not exist" */
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
      uint32_t retry_after_ms;    /**< 0: no advice */
      uint32_t pending;           /**< PENDING only */
      char detail[DKS_TEXT_SIZE]; /**< for people */
    } batch_reply;
    struct
    {
      uint64_t op; /**< never reused */
      dks_feed_t feed;
      int64_t revision;             /**< FEED_WATCH: changes after this */
      char after_key[DKS_KEY_SIZE]; /**< FEED_READ: items after this key, empty: from the start */
      int64_t timeout_ms;           /**< FEED_WATCH answers within this less a margin */
    } feed;
    struct
    {
      uint64_t op; /**< never reused */
      char address[DKS_ADDRESS_SIZE];
      char target[DKS_NAME_SIZE];    /**< id; another one at this address does nothing */
      char task[DKS_TASK_NAME_SIZE]; /**< START and STOP */
      uint32_t run;                  /**< START and STOP */
      dks_blob_t *spec;              /**< START */
      int64_t fencing_token;         /**< a target ignores orders with a lower one */
      int64_t deadline_ms;   /**< target's clock: end of the lease; HOLD: 0 leaves it as it is */
      int64_t last_end_seen; /**< HOLD: ends up to this number are known */
      int64_t wait_ms;       /**< HOLD: the answer may wait this long for an end */
      int64_t timeout_ms;    /**< without an answer the call counts as UNANSWERED */
    } lease;
  } u;
} dks_effect_t;

typedef struct
{
  dks_effect_t *items;
  size_t count;
  size_t capacity;
} dks_effects_t;

/** Appends a zeroed effect and returns it; valid until the next append. */
dks_effect_t *dks_effects_add (dks_effects_t *effects, dks_effect_type_t type);
/** Drops all effects and their references; keeps the memory for reuse. */
void dks_effects_clear (dks_effects_t *effects);
/** Clears and frees the memory. */
void dks_effects_destroy (dks_effects_t *effects);

#endif
