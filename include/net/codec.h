/**
 * Conversion between dks_msg_t and protobuf frames.
 */
#ifndef DKS_NET_CODEC_H
#define DKS_NET_CODEC_H

#include "core/msg.h"

/** Serializes `msg` as one frame with its 4-byte big-endian length; `frame` is malloc'ed. */
void dks_codec_encode (const dks_msg_t *msg, uint8_t **frame, size_t *len);
/** Decodes a frame without its length. Checks every bound of core/types.h, so that the reducer may
 * trust the message. Returns DKS_ERR_INVALID or DKS_ERR_TOO_LARGE for anything else. */
int dks_codec_decode (const uint8_t *data, size_t len, dks_msg_t **msg);
/** Frame of the first message on a connection; `frame` is malloc'ed. `duplicate` refuses the
 * connection because the sender keeps an earlier one. */
void dks_codec_encode_hello (const char *member, const char *data_centre, bool duplicate,
                             uint8_t **frame, size_t *len);
/** Decodes a hello frame without its length; DKS_ERR_INVALID for anything else. */
int dks_codec_decode_hello (const uint8_t *data, size_t len, char member[DKS_NAME_SIZE],
                            char data_centre[DKS_NAME_SIZE], bool *duplicate);

#endif
