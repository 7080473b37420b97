/**
 * Numeric socket addresses, "IPv4:port" or "[IPv6]:port". Host names are never resolved.
 */
#ifndef DKS_NET_ADDRESS_H
#define DKS_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>

typedef union
{
  struct sockaddr any;
  struct sockaddr_in ip4;
  struct sockaddr_in6 ip6;
} dks_address_t;

/** Parses `text`. Returns DKS_ERR_INVALID unless it is a numeric address with a port from 1 to
 * 65535. */
int dks_address_parse (const char *text, dks_address_t *address);
/** Size of the address in bytes, to pass to bind() or connect(). */
socklen_t dks_address_size (const dks_address_t *address);
/** Whether the address is 0.0.0.0 or [::], on which a process can listen but at which no
 * other process can reach it. */
bool dks_address_is_wildcard (const dks_address_t *address);

#endif
