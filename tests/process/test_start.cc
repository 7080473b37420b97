/* Tests of the first moments of an instance as a process. */
#include "cluster.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace process;

namespace
{

/* An instance that waits, as it reads its options, for the text of its settings file: the file is a
 * named pipe until the text is written. */
class StartingInstance
{
public:
  StartingInstance ()
  {
    signal (SIGPIPE, SIG_IGN); /* an instance that has ended fails the test, not the write */
    char name[] = "/tmp/damaskshore-test-XXXXXX";

    EXPECT_NE (nullptr, mkdtemp (name));
    folder_ = name;
    EXPECT_EQ (0, mkfifo (settings ().c_str (), 0600));
    std::string port = std::to_string (port_);
    std::string peer_port = std::to_string (port_ + 1);
    std::string platform_port = std::to_string (port_ + 2); /* nothing listens there */
    process_ = std::make_unique<Process> (std::vector<std::string>{
        getenv ("DAMASKSHORED"), "--id", "entry-0", "--data-centre", "north", "--http-address",
        "127.0.0.1:" + port, "--peer-address", "127.0.0.1:" + peer_port, "--platform-url",
        "http://127.0.0.1:" + platform_port, "--settings", settings () });
    EXPECT_TRUE (eventually ([&] {
      pipe_ = open (settings ().c_str (), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return pipe_ >= 0;
    }));
  }

  ~StartingInstance ()
  {
    unlink (settings ().c_str ());
    rmdir (folder_.c_str ());
  }

  Process &
  process ()
  {
    return *process_;
  }

  /* Lets the instance go on. A later read of the settings finds a regular file. */
  void
  write_settings ()
  {
    std::string text = "log-level = warning\n";
    std::string file = folder_ + "/new";
    int fd = open (file.c_str (), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);

    EXPECT_EQ (static_cast<ssize_t> (text.size ()), write (fd, text.data (), text.size ()));
    close (fd);
    EXPECT_EQ (0, rename (file.c_str (), settings ().c_str ()));
    EXPECT_EQ (static_cast<ssize_t> (text.size ()), write (pipe_, text.data (), text.size ()));
    close (pipe_);
  }

  bool
  answers () const
  {
    return http ("GET", "http://127.0.0.1:" + std::to_string (port_) + "/metrics").status == 200;
  }

private:
  std::string
  settings () const
  {
    return folder_ + "/settings";
  }

  int port_ = free_ports (3);
  std::string folder_;
  std::unique_ptr<Process> process_;
  int pipe_ = -1;
};

/* Guards against an instance that ends because its settings file changes as it starts. Soak, seed
 * 215. */
TEST (Start, ReloadSignalThatComesBeforeTheOptionsAreReadDoesNotEndTheInstance)
{
  StartingInstance instance;

  instance.process ().signal (SIGHUP);
  instance.write_settings ();
  EXPECT_TRUE (eventually ([&] { return instance.answers (); }));
  instance.process ().signal (SIGTERM);
  EXPECT_EQ (0, instance.process ().wait ());
}

/* Guards against a stop that looks like a crash because it comes as the instance starts. */
TEST (Start, StopThatComesBeforeTheOptionsAreReadEndsTheInstanceInOrder)
{
  StartingInstance instance;

  instance.process ().signal (SIGTERM);
  instance.write_settings ();
  EXPECT_EQ (0, instance.process ().wait ());
}

}
