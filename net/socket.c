#include "net/socket.h"

#include "common/error.h"
#include "common/log.h"

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

static void
bound_buffer (int fd, int option, size_t bytes)
{
  /* Linux doubles the value, to have room for its own structures. */
  int value = (int)(bytes / 2);

  if (setsockopt (fd, SOL_SOCKET, option, &value, sizeof (value)) != 0)
    dks_log (DKS_LOG_WARNING, "event=socket-buffer-failed option=%d errno=%d", option, errno);
}

void
dks_socket_bound_buffers (int fd, size_t receive_bytes, size_t send_bytes)
{
  bound_buffer (fd, SO_RCVBUF, receive_bytes);
  bound_buffer (fd, SO_SNDBUF, send_bytes);
}

int
dks_socket_listen (const dks_address_t *address, size_t receive_bytes, size_t send_bytes,
                   int backlog)
{
  int fd = socket (address->any.sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int on = 1;

  if (fd < 0)
    return DKS_ERR_IO;
  dks_socket_bound_buffers (fd, receive_bytes, send_bytes);
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof (on)) == 0
      && bind (fd, &address->any, dks_address_size (address)) == 0 && listen (fd, backlog) == 0)
    return fd;
  close (fd);
  return DKS_ERR_IO;
}

uint64_t
dks_socket_acknowledged (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof (info);

  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_bytes_acked : 0;
}
