// Blocking TCP server on 127.0.0.1 for tests of clients; one thread for each connection.
#ifndef DKS_TESTS_NET_SERVER_H
#define DKS_TESTS_NET_SERVER_H

#include <arpa/inet.h>
#include <atomic>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

// Binds 127.0.0.1 with a free port; returns the socket.
inline int
net_bind_free_port (int *port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = {};
  socklen_t size = sizeof (address);

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, reinterpret_cast<struct sockaddr *> (&address), size) != 0)
    abort ();
  getsockname (fd, reinterpret_cast<struct sockaddr *> (&address), &size);
  *port = ntohs (address.sin_port);
  return fd;
}

// Connects to a port on 127.0.0.1; returns the socket.
inline int
net_connect (int port)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in address = {};

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (static_cast<uint16_t> (port));
  if (connect (fd, reinterpret_cast<struct sockaddr *> (&address), sizeof (address)) != 0)
    abort ();
  return fd;
}

// A port on which nothing listens.
inline int
net_free_port ()
{
  int port;
  int fd = net_bind_free_port (&port);

  close (fd);
  return port;
}

class NetServer
{
public:
  // Calls `handler` for each connection with its descriptor and its number, which counts from 0.
  // The descriptor is closed when `handler` returns.
  explicit NetServer (std::function<void (int, int)> handler) : handler_ (std::move (handler))
  {
    listen_fd_ = net_bind_free_port (&port_);
    if (listen (listen_fd_, 64) != 0)
      abort ();
    accept_thread_ = std::thread ([this] { run (); });
  }

  ~NetServer ()
  {
    shutdown (listen_fd_, SHUT_RDWR);
    accept_thread_.join ();
    {
      std::lock_guard<std::mutex> lock (mutex_);
      for (int fd : open_fds_)
        shutdown (fd, SHUT_RDWR);
    }
    for (auto &thread : connection_threads_)
      thread.join ();
    close (listen_fd_);
  }

  int
  port () const
  {
    return port_;
  }

  std::string
  url (const std::string &path) const
  {
    return "http://127.0.0.1:" + std::to_string (port_) + path;
  }

private:
  void
  run ()
  {
    for (int number = 0;; number++)
      {
        int fd = accept4 (listen_fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
          return;
        std::lock_guard<std::mutex> lock (mutex_);
        open_fds_.push_back (fd);
        connection_threads_.emplace_back ([this, fd, number] {
          handler_ (fd, number);
          std::lock_guard<std::mutex> inner (mutex_);
          for (size_t i = 0; i < open_fds_.size (); i++)
            {
              if (open_fds_[i] == fd)
                {
                  open_fds_.erase (open_fds_.begin () + static_cast<long> (i));
                  break;
                }
            }
          close (fd);
        });
      }
  }

  std::function<void (int, int)> handler_;
  int listen_fd_ = -1;
  int port_ = 0;
  std::thread accept_thread_;
  std::mutex mutex_;
  std::vector<int> open_fds_;
  std::vector<std::thread> connection_threads_;
};

inline void
net_write (int fd, const std::string &text)
{
  size_t done = 0;

  while (done < text.size ())
    {
      ssize_t n = send (fd, text.data () + done, text.size () - done, MSG_NOSIGNAL);
      if (n <= 0)
        return;
      done += static_cast<size_t> (n);
    }
}

struct HttpRequest
{
  std::string line; // request line without CRLF
  std::string head; // request line and headers, up to the empty line
  std::string body;
};

// Reads one request with a Content-Length; false at the end of the connection.
inline bool
http_read (int fd, HttpRequest *request)
{
  std::string data;
  size_t end;
  size_t length = 0;
  char buffer[16384];

  while ((end = data.find ("\r\n\r\n")) == std::string::npos)
    {
      // Byte by byte, so that no byte of the next request is consumed.
      if (recv (fd, buffer, 1, 0) != 1)
        return false;
      data.push_back (buffer[0]);
    }
  request->head = data;
  request->line = data.substr (0, data.find ("\r\n"));
  const char *header = strcasestr (data.c_str (), "\r\nContent-Length:");
  if (header != nullptr)
    length = strtoul (header + 17, nullptr, 10);
  request->body.clear ();
  while (request->body.size () < length)
    {
      size_t want = std::min (sizeof (buffer), length - request->body.size ());
      ssize_t n = recv (fd, buffer, want, 0);
      if (n <= 0)
        return false;
      request->body.append (buffer, static_cast<size_t> (n));
    }
  return true;
}

inline std::string
http_reply (int status, const std::string &body, const std::string &headers = "")
{
  return "HTTP/1.1 " + std::to_string (status) + " X\r\n" + headers
         + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

#endif
