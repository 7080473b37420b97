#include "net/socket.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

uint64_t
dks_socket_acknowledged (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof (info);

  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_bytes_acked : 0;
}
