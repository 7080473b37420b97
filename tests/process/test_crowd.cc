/* Crowds of clients that nobody controls: however many connect, and whatever they hold open, the
 * process lives, stays within its memory and descriptors, and answers an ordinary request. Nothing
 * here depends on the speed of the machine. */
#include "../platform/front_names.h"
#include "cluster.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace process;

namespace
{

constexpr int MEMORY_MB = 64;          /* of the machine, as the instance is told */
constexpr int CONNECTIONS = 400;       /* limit of the instance */
constexpr int MANY_CONNECTIONS = 2000; /* the same where each holds little */
constexpr int FEW_CONNECTIONS = 100;   /* the same where the crowd is larger than the limit */
constexpr int OTHER_DESCRIPTORS =
    128; /* refused callers, peers, the platform, the process itself */
constexpr size_t LARGE_BODY = 8388000; /* the largest of the own interface has 8,388,608 bytes */
constexpr size_t FRONT_BODY = 262000;  /* the largest of the users' front address has 262,144 */
constexpr size_t SMALL_BODY = 250000;
constexpr size_t FRAME_SIZE = 15 << 20; /* the largest between instances has 16 MiB */
constexpr int SMALL_BUFFER = 4096;      /* bytes that wait at a client that reads nothing */
/* Requests one after the other: the server reads on from all connections between them, so that it
 * has read what the crowd has sent. */
constexpr int TURNS = 300;
constexpr int QUIET_MS = 3000; /* a crowd that can send nothing for this long is held up for good */

/* What one client of a crowd sends, one block after the other; an empty block is the end. */
using source_t = std::function<std::string ()>;

std::string
post_head (const std::string &path, const std::string &framing)
{
  return "POST " + path + " HTTP/1.1\r\nHost: crowd\r\nContent-Type: application/json\r\n" + framing
         + "\r\n\r\n";
}

/* A body of `size` bytes in pieces of `piece`, without its last byte. */
source_t
stated_body (const std::string &path, size_t size, size_t piece)
{
  size_t left = size - 1;
  bool started = false;

  return [=] () mutable {
    if (!started)
      {
        started = true;
        return post_head (path, "Content-Length: " + std::to_string (size));
      }
    size_t n = std::min (left, piece);
    left -= n;
    return std::string (n, 'x');
  };
}

/* A body of `size` bytes in chunks of `chunk`, without the last byte of the message. */
source_t
chunked_body (const std::string &path, size_t size, size_t chunk)
{
  size_t left = size;
  bool started = false;
  bool ended = false;

  return [=] () mutable {
    std::string block;
    char length[32];

    if (!started)
      {
        started = true;
        return post_head (path, "Transfer-Encoding: chunked");
      }
    while (left > 0 && block.size () < 4096)
      {
        size_t n = std::min (left, chunk);
        snprintf (length, sizeof (length), "%zx\r\n", n);
        block += length + std::string (n, 'x') + "\r\n";
        left -= n;
      }
    if (left == 0 && !ended)
      {
        ended = true;
        block += "0\r\n\r";
      }
    return block;
  };
}

source_t
text (const std::string &content)
{
  auto shared = std::make_shared<std::string> (content);

  return [shared, at = size_t (0)] () mutable {
    std::string block = shared->substr (at, 65536);
    at += block.size ();
    return block;
  };
}

class Crowd
{
public:
  Crowd (int port, int count, const std::function<source_t (int)> &source, bool reads = true)
      : reads_ (reads)
  {
    sockaddr_in address = {};

    signal (SIGPIPE, SIG_IGN);
    address.sin_family = AF_INET;
    address.sin_port = htons (static_cast<uint16_t> (port));
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    for (int i = 0; i < count; i++)
      {
        Client client;
        client.fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (!reads)
          setsockopt (client.fd, SOL_SOCKET, SO_RCVBUF, &SMALL_BUFFER, sizeof (SMALL_BUFFER));
        int result = connect (client.fd, reinterpret_cast<sockaddr *> (&address), sizeof (address));
        EXPECT_TRUE (result == 0 || errno == EINPROGRESS) << strerror (errno);
        client.source = source (i);
        clients_.push_back (client);
      }
  }

  ~Crowd ()
  {
    for (const Client &client : clients_)
      close (client.fd);
  }
  Crowd (const Crowd &) = delete;
  Crowd &operator= (const Crowd &) = delete;

  /* Sends until every client has sent all it has, was closed, or can send no more. */
  void
  send_all ()
  {
    std::vector<pollfd> descriptors;

    for (;;)
      {
        descriptors.clear ();
        for (const Client &client : clients_)
          descriptors.push_back (
              { client.done && !reads_ ? -1
                : client.closed        ? -1
                                       : client.fd,
                static_cast<short> ((client.done ? 0 : POLLOUT) | (reads_ ? POLLIN : 0)), 0 });
        if (std::all_of (clients_.begin (), clients_.end (),
                         [] (const Client &client) { return client.done || client.closed; })
            || poll (descriptors.data (), descriptors.size (), QUIET_MS) <= 0)
          return;
        for (size_t i = 0; i < clients_.size (); i++)
          if (descriptors[i].revents != 0)
            step (clients_[i], descriptors[i].revents);
      }
  }

  /* Waits until every client has had an answer or was closed. */
  bool
  await_answers ()
  {
    return eventually ([this] {
      return std::all_of (clients_.begin (), clients_.end (), [] (Client &client) {
        step (client, POLLIN);
        return client.answered || client.closed;
      });
    });
  }

private:
  struct Client
  {
    int fd = -1;
    source_t source;
    std::string block;
    size_t sent = 0;
    bool done = false;
    bool closed = false;
    bool answered = false;
  };

  static void
  step (Client &client, short events)
  {
    char dropped[65536];

    if (events & POLLIN)
      {
        ssize_t n = recv (client.fd, dropped, sizeof (dropped), MSG_DONTWAIT);
        client.closed = n == 0 || (n < 0 && errno != EAGAIN);
        client.answered = client.answered || n > 0;
      }
    if (events & (POLLERR | POLLHUP))
      client.closed = true;
    if (client.closed || client.done || !(events & POLLOUT))
      return;
    if (client.sent == client.block.size ())
      {
        client.block = client.source ();
        client.sent = 0;
        client.done = client.block.empty ();
        if (client.done)
          return;
      }
    ssize_t n = send (client.fd, client.block.data () + client.sent,
                      client.block.size () - client.sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (n > 0)
      client.sent += static_cast<size_t> (n);
    else if (errno != EAGAIN)
      client.closed = true;
  }

  std::vector<Client> clients_;
  bool reads_;
};

int
peak_memory_kb (pid_t pid)
{
  std::ifstream status ("/proc/" + std::to_string (pid) + "/status");
  std::string word;

  while (status >> word)
    {
      int kb;
      if (word == "VmHWM:" && status >> kb)
        return kb;
    }
  return 0;
}

int
descriptors (pid_t pid)
{
  int count = 0;
  DIR *folder = opendir (("/proc/" + std::to_string (pid) + "/fd").c_str ());

  while (folder != nullptr && readdir (folder) != nullptr)
    count++;
  if (folder != nullptr)
    closedir (folder);
  return count;
}

/* Sets the limits of the instances that are started from now on. */
void
set_limits (int connections)
{
  setenv ("DAMASKSHORE_MEMORY_MB", std::to_string (MEMORY_MB).c_str (), 1);
  setenv ("DAMASKSHORE_HTTP_CONNECTIONS", std::to_string (connections).c_str (), 1);
}

void
expect_within_limits (pid_t pid, int connections)
{
  int kb = peak_memory_kb (pid);

  printf ("peak memory %d kB, descriptors %d\n", kb, descriptors (pid));
  EXPECT_GT (kb, 0) << "the process has ended";
#ifndef __SANITIZE_ADDRESS__ /* the memory of a sanitizer is not that of the product */
  EXPECT_LT (kb, MEMORY_MB * 1024);
#endif
  EXPECT_LT (descriptors (pid), connections + OTHER_DESCRIPTORS);
}

/* One instance with its own interface, a platform and a target. */
class OwnInterface : public testing::Test
{
protected:
  void
  start (int connections = CONNECTIONS)
  {
    connections_ = connections;
    set_limits (connections);
    cluster_ = std::make_unique<Cluster> (1, 1);
    cluster_->wait_until_ready ();
  }

  void
  expect_bears (Crowd &crowd)
  {
    crowd.send_all ();
    Outcome outcome = submit (*cluster_, { 0 }, new_key (), 1);
    EXPECT_EQ ("complete", outcome.outcome) << outcome.last.body;
    for (int i = 0; i < TURNS; i++)
      EXPECT_EQ (200, http ("GET", cluster_->url (0, "/healthz")).status);
    expect_within_limits (cluster_->instance (0).pid (), connections_);
  }

  std::unique_ptr<Cluster> cluster_;
  int connections_ = 0;
};

/* One instance with the users' front address. Its platform holds no configuration, so a job is
 * answered as not run, by the reducer. */
class FrontAddress : public testing::Test
{
protected:
  void
  start (int connections = CONNECTIONS)
  {
    int port = free_ports (4);
    auto address = [port] (int i) { return "127.0.0.1:" + std::to_string (port + i); };

    connections_ = connections;
    port_ = port;
    set_limits (connections);
    platform_ = std::make_unique<Platform> ("[]");
    instance_ = std::make_unique<Process> (std::vector<std::string>{
        getenv ("DAMASKSHORED"), "--id=front-0", "--data-centre=north", "--targets=leased",
        "--front-address=" + address (0), "--ready-address=" + address (1),
        "--http-address=" + address (2), "--peer-address=" + address (3),
        "--platform-url=" + platform_->url (), "--log-level=warning" });
    EXPECT_TRUE (eventually ([&] { return ask_job ().status != 0; }));
    calm_ = ask_job ();
  }

  Reply
  ask_job () const
  {
    return http ("POST", "http://127.0.0.1:" + std::to_string (port_) + "/words/0123456789abcdef",
                 FRONT_JOB_BODY, { FRONT_DEADLINE_HEADER });
  }

  void
  expect_bears (Crowd &crowd)
  {
    crowd.send_all ();
    EXPECT_TRUE (eventually ([&] {
      Reply reply = ask_job ();
      return reply.status == calm_.status && reply.field ("detail") == calm_.field ("detail");
    }));
    for (int i = 0; i < TURNS; i++)
      EXPECT_NE (
          0,
          http ("GET", "http://127.0.0.1:" + std::to_string (port_ + 1) + FRONT_READY_PATH).status);
    expect_within_limits (instance_->pid (), connections_);
  }

  std::unique_ptr<Platform> platform_;
  std::unique_ptr<Process> instance_;
  Reply calm_;
  int port_ = 0;
  int connections_ = 0;
};

const char JOBS[] = "/v1/jobs";
const char QUEUE[] = "/words/00000000000000aa";

/* A job of eight tasks, and of nearly the largest size. */
std::string
large_job ()
{
  std::string payload = R"({\"run_ms\":1,\"echo\":\"x\",\"pad\":\")" + std::string (1000000, 'x');
  std::string task = R"({"run_ms":1,"payload":")" + payload + R"(\"}"})";
  std::string body = R"({"service":"roasting","team":"pricing","deadline_ms":30000,"tasks":[)";

  for (int i = 0; i < 8; i++)
    body += (i > 0 ? "," : "") + task;
  return body + "]}";
}

TEST_F (OwnInterface, LargeBodiesThatStopShort)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 40,
               [] (int) { return stated_body (JOBS, LARGE_BODY, 65536); });
  expect_bears (crowd);
}

TEST_F (OwnInterface, LargeBodiesPieceByPiece)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 40,
               [] (int) { return stated_body (JOBS, LARGE_BODY, 1400); });
  expect_bears (crowd);
}

TEST_F (OwnInterface, BodiesInLargeChunks)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 40,
               [] (int) { return chunked_body (JOBS, LARGE_BODY, 1 << 20); });
  expect_bears (crowd);
}

TEST_F (OwnInterface, BodiesInChunksOfAPage)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 40,
               [] (int) { return chunked_body (JOBS, LARGE_BODY, 4096); });
  expect_bears (crowd);
}

TEST_F (OwnInterface, BodiesInVerySmallChunks)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 300,
               [] (int) { return chunked_body (JOBS, SMALL_BODY, 16); });
  expect_bears (crowd);
}

TEST_F (OwnInterface, WholeLargeJobs)
{
  start ();
  std::string body = large_job ();
  std::string request = post_head (JOBS, "Content-Length: " + std::to_string (body.size ())) + body;
  Crowd crowd (cluster_->http_port (0), 20, [&] (int) { return text (request); });
  crowd.send_all ();
  EXPECT_TRUE (crowd.await_answers ());
  expect_bears (crowd);
}

/* Each pair of brackets of a JSON text is an allocation of its own for the parser. */
TEST_F (OwnInterface, WholeBodiesOfManySmallValues)
{
  start ();
  std::string body = "[[]";
  while (body.size () < LARGE_BODY)
    body += ",[]";
  body += "]";
  std::string request = post_head (JOBS, "Content-Length: " + std::to_string (body.size ())) + body;
  Crowd crowd (cluster_->http_port (0), 4, [&] (int) { return text (request); });
  crowd.send_all ();
  EXPECT_TRUE (crowd.await_answers ());
  expect_bears (crowd);
}

/* In calm the largest legal body is served. */
TEST_F (OwnInterface, OneLargeJobInCalm)
{
  start ();
  std::string key = new_key ();
  Reply reply = http ("POST", cluster_->url (0, JOBS), large_job (), { "Idempotency-Key: " + key });
  EXPECT_EQ (200, reply.status) << reply.body.substr (0, 300);
  expect_within_limits (cluster_->instance (0).pid (), connections_);
}

TEST_F (OwnInterface, HeadersThatStop)
{
  start (MANY_CONNECTIONS);
  Crowd crowd (cluster_->http_port (0), 1900, [] (int) {
    return text ("GET /v1/status HTTP/1.1\r\nHost: crowd\r\nX: " + std::string (30000, 'x'));
  });
  expect_bears (crowd);
}

TEST_F (OwnInterface, AnswersOfPipelinedRequestsThatNobodyReads)
{
  start (MANY_CONNECTIONS);
  std::string request = "GET /metrics HTTP/1.1\r\nHost: crowd\r\n\r\n";
  std::string requests;
  for (int i = 0; i < 200; i++)
    requests += request;
  Crowd crowd (
      cluster_->http_port (0), 1900, [&] (int) { return text (requests); }, false);
  expect_bears (crowd);
}

TEST_F (OwnInterface, MoreIdleConnectionsThanAllowed)
{
  start (FEW_CONNECTIONS);
  Crowd crowd (cluster_->http_port (0), 300, [] (int) { return text (""); });
  expect_bears (crowd);
}

TEST_F (OwnInterface, MoreStoppedHeadersThanAllowed)
{
  start (FEW_CONNECTIONS);
  Crowd crowd (cluster_->http_port (0), 300,
               [] (int) { return text ("GET /v1/status HTTP/1.1\r\nHost: c"); });
  expect_bears (crowd);
}

TEST_F (OwnInterface, MoreStoppedBodiesThanAllowed)
{
  start (FEW_CONNECTIONS);
  Crowd crowd (cluster_->http_port (0), 300, [] (int) { return stated_body (JOBS, 1000, 500); });
  expect_bears (crowd);
}

TEST_F (OwnInterface, GarbageAndPartialFramesOfOtherInstances)
{
  start ();
  Crowd crowd (cluster_->peer_port (0), 300, [] (int i) {
    std::string frame ("\0\0\1\xff", 4); /* a hello of 511 bytes that does not end */
    return i % 2 == 0 ? text (std::string (100000, 'x')) : text (frame + std::string (510, 'x'));
  });
  expect_bears (crowd);
}

std::string
field (int number, const std::string &value)
{
  return std::string (1, static_cast<char> (number << 3 | 2)) + static_cast<char> (value.size ())
         + value;
}

std::string
frame_length (size_t size)
{
  std::string length;

  for (int shift = 24; shift >= 0; shift -= 8)
    length += static_cast<char> (size >> shift);
  return length;
}

/* The first message of an instance, see proto/peer.proto. */
std::string
hello (const std::string &member)
{
  std::string body = field (1, member) + field (2, "north") + std::string ("\x18\x01");
  std::string message = field (1, body);

  return frame_length (message.size ()) + message;
}

TEST_F (OwnInterface, LargeFramesOfOtherInstancesThatStopShort)
{
  start ();
  Crowd crowd (cluster_->peer_port (0), 20, [] (int i) {
    std::string member = "other-" + std::to_string (i) + "#0123456789abcdef";
    std::string start = hello (member) + frame_length (FRAME_SIZE);
    size_t left = FRAME_SIZE - 1;

    return source_t ([=] () mutable {
      std::string block =
          start.empty () ? std::string (std::min<size_t> (left, 65536), 'x') : start;
      left -= start.empty () ? block.size () : 0;
      start.clear ();
      return block;
    });
  });
  expect_bears (crowd);
}

TEST_F (OwnInterface, StopsWithTheCrowdConnectedAndThePlatformGone)
{
  start ();
  Crowd crowd (cluster_->http_port (0), 390, [] (int i) {
    return i % 2 == 0 ? stated_body (JOBS, SMALL_BODY, 65536)
                      : text ("GET /v1/status HTTP/1.1\r\nHost: c");
  });
  crowd.send_all ();
  cluster_->platform ().kill ();
  cluster_->instance (0).signal (SIGTERM);
  EXPECT_EQ (0, cluster_->instance (0).wait ());
}

TEST_F (FrontAddress, BodiesThatStopShort)
{
  start ();
  Crowd crowd (port_, 390, [] (int) { return stated_body (QUEUE, FRONT_BODY, 65536); });
  expect_bears (crowd);
}

TEST_F (FrontAddress, BodiesPieceByPiece)
{
  start ();
  Crowd crowd (port_, 390, [] (int) { return stated_body (QUEUE, FRONT_BODY, 1400); });
  expect_bears (crowd);
}

TEST_F (FrontAddress, BodiesInLargeChunks)
{
  start ();
  Crowd crowd (port_, 390, [] (int) { return chunked_body (QUEUE, FRONT_BODY, 65536); });
  expect_bears (crowd);
}

TEST_F (FrontAddress, BodiesInVerySmallChunks)
{
  start ();
  Crowd crowd (port_, 390, [] (int) { return chunked_body (QUEUE, FRONT_BODY, 16); });
  expect_bears (crowd);
}

TEST_F (FrontAddress, WholeBodiesOfManySmallValues)
{
  start ();
  std::string body = "[[]";
  while (body.size () < FRONT_BODY)
    body += ",[]";
  body += "]";
  std::string request =
      post_head (QUEUE, "Content-Length: " + std::to_string (body.size ())) + body;
  Crowd crowd (port_, 100, [&] (int) { return text (request); });
  crowd.send_all ();
  EXPECT_TRUE (crowd.await_answers ());
  expect_bears (crowd);
}

TEST_F (FrontAddress, HeadersThatStop)
{
  start (MANY_CONNECTIONS);
  Crowd crowd (port_, 1900, [] (int) {
    return text ("GET /words/1 HTTP/1.1\r\nHost: crowd\r\nX: " + std::string (30000, 'x'));
  });
  expect_bears (crowd);
}

TEST_F (FrontAddress, MoreIdleConnectionsThanAllowed)
{
  start (FEW_CONNECTIONS);
  Crowd crowd (port_, 300, [] (int) { return text (""); });
  expect_bears (crowd);
}

TEST_F (FrontAddress, CrowdAtTheReadinessCheck)
{
  start ();
  Crowd crowd (port_ + 1, 300, [] (int i) {
    return i % 2 == 0 ? text ("") : stated_body (FRONT_READY_PATH, 8000000, 65536);
  });
  crowd.send_all ();
  EXPECT_TRUE (eventually ([&] {
    Reply reply = http ("GET", "http://127.0.0.1:" + std::to_string (port_ + 1) + FRONT_READY_PATH);
    return reply.field ("ready") != "" || reply.body.find ("\"ready\"") != std::string::npos;
  }));
  expect_within_limits (instance_->pid (), connections_);
}

}
