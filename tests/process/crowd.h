/**
 * Crowds of clients that nobody controls, and instances with lowered limits for them.
 */
#ifndef DKS_TESTS_PROCESS_CROWD_H
#define DKS_TESTS_PROCESS_CROWD_H

#include "cluster.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace process
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

constexpr char JOBS[] = "/v1/jobs";
constexpr char QUEUE[] = "/words/00000000000000aa";

/** What one client of a crowd sends, one block after the other; an empty block is the end. */
using source_t = std::function<std::string ()>;

std::string post_head (const std::string &path, const std::string &framing);
/** A body of `size` bytes in pieces of `piece`, without its last byte. */
source_t stated_body (const std::string &path, size_t size, size_t piece);
/** A body of `size` bytes in chunks of `chunk`, without the last byte of the message. */
source_t chunked_body (const std::string &path, size_t size, size_t chunk);
source_t text (const std::string &content);
/** The connection of instance `i`, with a frame of FRAME_SIZE bytes that lacks its last byte. */
source_t large_frame (int i);

class Crowd
{
public:
  Crowd (int port, int count, const std::function<source_t (int)> &source, bool reads = true);
  ~Crowd ();
  Crowd (const Crowd &) = delete;
  Crowd &operator= (const Crowd &) = delete;

  /** Sends until every client has sent all it has, was closed, or can send no more. */
  void send_all ();
  /** The same, until `ended` returns true. */
  void send_until (const std::function<bool ()> &ended);
  /** Waits until every client has had an answer or was closed. */
  bool await_answers ();

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

  static void step (Client &client, short events);

  std::vector<Client> clients_;
  bool reads_;
};

/** A client that sends one request and takes its answer in small pieces. */
class SlowReader
{
public:
  SlowReader (int port, const std::string &request);
  ~SlowReader ();
  SlowReader (const SlowReader &) = delete;
  SlowReader &operator= (const SlowReader &) = delete;

  /** Waits for the next piece; returns false at the end of the connection. */
  bool read_some ();
  const std::string &
  received () const
  {
    return received_;
  }

private:
  int fd_;
  std::string received_;
};

/** Stops a process and lets it continue in turns, as on a machine with a tenth of a processor, and
 * watches its memory together with what its sockets have received and it has not read yet. */
class Slowdown
{
public:
  /** `port` is that of the sockets on the side of the process. */
  Slowdown (pid_t pid, int port);
  /** Waits for the end of the last turn. */
  ~Slowdown ();
  Slowdown (const Slowdown &) = delete;
  Slowdown &operator= (const Slowdown &) = delete;

  bool
  ended () const
  {
    return ended_;
  }
  /** Waits for the end of the last turn; the sum must have stayed within the memory of the machine.
   */
  void expect_within_memory ();

private:
  void run (pid_t pid, int port);

  std::atomic<bool> ended_ = false;
  int resident_kb_ = 0; /* the next two at the moment of the largest sum */
  int unread_kb_ = 0;
  std::thread thread_;
};

/** Memory in kB of /proc/PID/status, by its name there; 0 when the process has ended. */
int memory_kb (pid_t pid, const std::string &name);
/** Sets the limits of the instances that are started from now on. */
void set_limits (int connections);
void expect_within_limits (pid_t pid, int connections);

/** One instance with its own interface, a platform and a target. */
class OwnInterface : public testing::Test
{
protected:
  void start (int connections = CONNECTIONS);
  void expect_bears (Crowd &crowd);
  /** The same for a crowd at `port` while the instance is slow. */
  void expect_bears_slowed (Crowd &crowd, int port);
  /** A request is answered once those that are in its way have given way. */
  void expect_serves_again ();

  std::unique_ptr<Cluster> cluster_;
  int connections_ = 0;
};

/** One instance with the users' front address. Its platform holds no configuration, so a job is
 * answered as not run, by the reducer. */
class FrontAddress : public testing::Test
{
protected:
  void start (int connections = CONNECTIONS);
  Reply ask_job () const;
  void expect_bears (Crowd &crowd);
  /** The same for a crowd at `port` while the instance is slow. */
  void expect_bears_slowed (Crowd &crowd, int port);

  std::unique_ptr<Platform> platform_;
  std::unique_ptr<Process> instance_;
  Reply calm_;
  int port_ = 0;
  int connections_ = 0;
};

}

#endif
