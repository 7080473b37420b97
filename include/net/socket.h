/**
 * Sockets whose buffers in the kernel are bounded. What a client sends waits there while the
 * process does not read it, and counts as memory of the machine.
 */
#ifndef DKS_NET_SOCKET_H
#define DKS_NET_SOCKET_H

#include "net/address.h"

#include <stddef.h>
#include <stdint.h>

/** Bounds the memory that the kernel uses for what the socket has received and the process has not
 * read, and for what the process has sent and the other side has not acknowledged. Connections that
 * a listening socket accepts inherit the bounds. The kernel may raise a bound to its minimum. */
void dks_socket_bound_buffers (int fd, size_t receive_bytes, size_t send_bytes);
/** Opens a non-blocking socket that listens on `address`, with buffers as above. Returns the
 * descriptor, or DKS_ERR_IO. */
int dks_socket_listen (const dks_address_t *address, size_t receive_bytes, size_t send_bytes,
                       int backlog);
/** Bytes that the other side has acknowledged since the connection was opened; 0 when the kernel
 * does not tell. */
uint64_t dks_socket_acknowledged (int fd);

#endif
