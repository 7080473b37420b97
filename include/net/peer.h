/**
 * Connections between instances: framed TCP with protobuf messages. Each pair of instances uses one
 * connection; when both sides connect at once, the connection opened by the instance with the
 * smaller member id is kept.
 */
#ifndef DKS_NET_PEER_H
#define DKS_NET_PEER_H

#include "common/memory_account.h"
#include "core/msg.h"
#include "net/loop.h"

typedef struct dks_peers_t dks_peers_t;

enum
{
  DKS_FRAME_MAX = 16 << 20, /**< bytes of one frame without its length prefix */
  /** Unsent bytes queued for one peer; its connection is closed above this, or above half of the
   * limit of the memory account. Room for one frame of the largest size and what follows it. */
  DKS_PEER_BACKLOG_MAX = 24 << 20,
  /** Unsent bytes queued for all peers; above this, or three quarters of the limit of the memory
   * account, the connection with the most is closed. */
  DKS_PEERS_BACKLOG_MAX = 48 << 20
};

/** Never called from within a function of this header. `up` and `down` of a member alternate, and
 * its messages arrive between them. */
typedef struct
{
  void (*up) (void *context, const char *member, const char *data_centre);
  void (*down) (void *context, const char *member);
  void (*message) (void *context, const char *member, dks_msg_t *msg);
  /** The address refused an attempt to connect: no process listens there. */
  void (*refused) (void *context, const char *address);
  void *context;
} dks_peer_callbacks_t;

typedef struct
{
  const char *member;           /**< own member id "INSTANCE#INCARNATION" */
  const char *data_centre;      /**< own data centre */
  const char *address;          /**< IP:port to listen on */
  dks_memory_account_t *memory; /**< of the process; NULL: an own one of the largest limit */
} dks_peer_config_t;

/** Starts to listen. Returns 0, DKS_ERR_INVALID for a malformed address, member id or data centre,
 * or DKS_ERR_IO if the socket cannot listen, e.g. because the address is in use. */
int dks_peers_create (dks_loop_t *loop, const dks_peer_config_t *config,
                      const dks_peer_callbacks_t *callbacks, dks_peers_t **peers);
void dks_peers_destroy (dks_peers_t *peers);
/** Keeps a connection to the instance at `address`, with reconnects after 100 ms doubling to 2 s;
 * the first one at once, when the connection was up for 2 s. The attempts end when they have failed
 * for 60 s; a call with the same address restarts the 60 s or the attempts, and has no other
 * effect. */
void dks_peers_connect (dks_peers_t *peers, const char *address);
/** Closes the connection to `member` in the next turn; for a member that sends nothing any more. If
 * its address was passed to dks_peers_connect(), a new connection is opened. */
void dks_peers_close (dks_peers_t *peers, const char *member);
/** Queues `msg`, or drops it if there is no connection to `member`. dks_peers_flush() writes all
 * messages of one turn together. */
void dks_peers_send (dks_peers_t *peers, const char *member, const dks_msg_t *msg);
/** Unsent bytes queued for all peers. */
size_t dks_peers_backlog (const dks_peers_t *peers);
/** Writes the queued messages of all connections; call it at the end of each turn of the loop. */
void dks_peers_flush (dks_peers_t *peers);

#endif
