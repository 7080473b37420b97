/**
 * What the kernel tells of sockets.
 */
#ifndef DKS_NET_SOCKET_H
#define DKS_NET_SOCKET_H

#include <stdint.h>

/** Bytes that the other side has acknowledged since the connection was opened; 0 when the kernel
 * does not tell. */
uint64_t dks_socket_acknowledged (int fd);

#endif
