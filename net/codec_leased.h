/**
 * Encoders and decoders of the messages between instances whose targets run under leases, for the
 * table of messages in net/codec.c. A decoder returns DKS_OK or an error of common/error.h.
 */
#ifndef DKS_NET_CODEC_LEASED_H
#define DKS_NET_CODEC_LEASED_H

#include "core/msg.h"
#include "peer.pb-c.h"

typedef void (*dks_encode_func_t) (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame,
                                   size_t *len);
typedef int (*dks_decode_func_t) (const Dks__PeerMessage *wire, dks_msg_t *msg);

/** Packs `wire` with the length prefix into a new frame of `*len` bytes; release it with free(). */
void dks_codec_pack (const Dks__PeerMessage *wire, uint8_t **frame, size_t *len);

void dks_encode_leased_status (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame,
                               size_t *len);
void
dks_encode_addresses (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len);
void dks_encode_work (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len);
void
dks_encode_work_done (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len);
void
dks_encode_work_cancel (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len);
void
dks_encode_lent_done (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len);
void
dks_encode_targets (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len);
int dks_decode_targets (const Dks__PeerMessage *wire, dks_msg_t *msg);
void dks_encode_speeds (const dks_msg_t *msg, Dks__PeerMessage *wire, uint8_t **frame, size_t *len);
int dks_decode_speeds (const Dks__PeerMessage *wire, dks_msg_t *msg);
int dks_decode_leased_status (const Dks__PeerMessage *wire, dks_msg_t *msg);
int dks_decode_addresses (const Dks__PeerMessage *wire, dks_msg_t *msg);
int dks_decode_work (const Dks__PeerMessage *wire, dks_msg_t *msg);
int dks_decode_work_done (const Dks__PeerMessage *wire, dks_msg_t *msg);
int dks_decode_work_cancel (const Dks__PeerMessage *wire, dks_msg_t *msg);
int dks_decode_lent_done (const Dks__PeerMessage *wire, dks_msg_t *msg);

#endif
