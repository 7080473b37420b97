#include "net/address.h"

#include "common/alloc.h"
#include "common/error.h"
#include "core/types.h"

#include <arpa/inet.h>
#include <string.h>

static bool
parse_port (const char *text, in_port_t *port)
{
  unsigned value = 0;

  if (*text == '\0' || strlen (text) > 5)
    return false;
  for (; *text != '\0'; text++)
    {
      if (*text < '0' || *text > '9')
        return false;
      value = value * 10 + (unsigned)(*text - '0');
    }
  *port = htons ((uint16_t)value);
  return value >= 1 && value <= UINT16_MAX;
}

int
dks_address_parse (const char *text, dks_address_t *address)
{
  char host[DKS_ADDRESS_SIZE];
  const char *colon = strrchr (text, ':');
  size_t len;
  in_port_t port;

  memset (address, 0, sizeof (*address));
  if (colon == NULL || !parse_port (colon + 1, &port))
    return DKS_ERR_INVALID;
  len = (size_t)(colon - text);
  if (len == 0 || len >= sizeof (host))
    return DKS_ERR_INVALID;
  memcpy (host, text, len);
  host[len] = '\0';
  if (host[0] == '[' && host[len - 1] == ']')
    {
      host[len - 1] = '\0';
      address->ip6.sin6_family = AF_INET6;
      address->ip6.sin6_port = port;
      return inet_pton (AF_INET6, host + 1, &address->ip6.sin6_addr) == 1 ? DKS_OK
                                                                          : DKS_ERR_INVALID;
    }
  address->ip4.sin_family = AF_INET;
  address->ip4.sin_port = port;
  return inet_pton (AF_INET, host, &address->ip4.sin_addr) == 1 ? DKS_OK : DKS_ERR_INVALID;
}

socklen_t
dks_address_size (const dks_address_t *address)
{
  return address->any.sa_family == AF_INET6 ? sizeof (address->ip6) : sizeof (address->ip4);
}

bool
dks_address_is_wildcard (const dks_address_t *address)
{
  if (address->any.sa_family == AF_INET6)
    return IN6_IS_ADDR_UNSPECIFIED (&address->ip6.sin6_addr);
  return address->ip4.sin_addr.s_addr == htonl (INADDR_ANY);
}
