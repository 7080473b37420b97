/**
 * Connections between instances: framed TCP with protobuf messages. One connection per pair of
 * instances is used; when both sides connect at once, the one opened by the smaller member id wins.
 */
#ifndef DKS_NET_PEER_H
#define DKS_NET_PEER_H

#include "core/msg.h"
#include "net/loop.h"

typedef struct dks_peers_t dks_peers_t;

enum
{
  DKS_FRAME_MAX = 16 << 20, /**< bytes of one frame without its length */
  DKS_PEER_BACKLOG_MAX =
      64 << 20 /**< unsent bytes to one peer; above this the connection is closed */
};

typedef struct
{
  void (*up) (void *context, const char *member, const char *data_centre);
  void (*down) (void *context, const char *member);
  void (*message) (void *context, const char *member, dks_msg_t *msg);
  void *context;
} dks_peer_callbacks_t;

typedef struct
{
  const char *member;      /**< own member id "INSTANCE#INCARNATION" */
  const char *data_centre; /**< own data centre */
  const char *address;     /**< IP:port to listen on */
} dks_peer_config_t;

/** Starts to listen. Returns 0, DKS_ERR_INVALID for a bad address or DKS_ERR_IO if it is in use. */
int dks_peers_create (dks_loop_t *loop, const dks_peer_config_t *config,
                      const dks_peer_callbacks_t *callbacks, dks_peers_t **peers);
void dks_peers_destroy (dks_peers_t *peers);
/** Keeps a connection to the instance at `address`, with reconnects after 100 ms doubling to 2 s.
 * Repeated calls with the same address have no effect. A refused connection is given up after 60 s
 * unless the address is named again. */
void dks_peers_connect (dks_peers_t *peers, const char *address);
/** Closes the connection to a member in the next turn, since nothing comes over it. An address that
 * is kept gets a new one. */
void dks_peers_close (dks_peers_t *peers, const char *member);
/** Queues a message; dropped when there is no connection to `member`. All messages of one turn are
 * written together by dks_peers_flush(). */
void dks_peers_send (dks_peers_t *peers, const char *member, const dks_msg_t *msg);
/** Writes what the last turn queued; call it at the end of each turn of the loop. */
void dks_peers_flush (dks_peers_t *peers);

#endif
