/**
 * Conversion between dks_msg_t and protobuf frames.
 */
#ifndef DKS_NET_CODEC_H
#define DKS_NET_CODEC_H

#include "core/msg.h"

/** Serializes `msg` as one frame, preceded by its length as 4 bytes in big-endian order. `frame` is
 * malloc'ed; `len` is its size in bytes with the length prefix. */
void dks_codec_encode (const dks_msg_t *msg, uint8_t **frame, size_t *len);
/** Decodes a frame of `len` bytes, given without its length prefix. Checks every bound of
 * core/types.h, so that the reducer may rely on them. Returns DKS_ERR_INVALID or
 * DKS_ERR_TOO_LARGE, with `msg` NULL, for a frame that is malformed or exceeds a bound. */
int dks_codec_decode (const uint8_t *data, size_t len, dks_msg_t **msg);
/** Serializes a hello, the first message of each side on a connection; `frame` is malloc'ed.
 * `duplicate` refuses the connection because the sender keeps an earlier connection to the same
 * instance. */
void dks_codec_encode_hello (const char *member, const char *data_centre, bool duplicate,
                             uint8_t **frame, size_t *len);
/** Decodes a hello frame, given without its length prefix. Returns DKS_ERR_INVALID for any other
 * message and for a hello of another protocol version. */
int dks_codec_decode_hello (const uint8_t *data, size_t len, char member[DKS_NAME_SIZE],
                            char data_centre[DKS_NAME_SIZE], bool *duplicate);

#endif
