/**
 * Numeric socket addresses, "IP:port" or "[IPv6]:port". Names are never resolved.
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

/** Parses `text`; DKS_ERR_INVALID unless it is a numeric address with a port from 1 to 65535. */
int dks_address_parse (const char *text, dks_address_t *address);
/** Size to pass to bind() or connect(). */
socklen_t dks_address_size (const dks_address_t *address);
/** Whether it is 0.0.0.0 or [::], at which no other process can reach this one. */
bool dks_address_is_wildcard (const dks_address_t *address);

#endif
