// The interface for the platform's clients, over connections on loopback: which requests reach the
// reducer. The event loop runs only when a test says so, as in a process that stands still between.

#include <gtest/gtest.h>

extern "C"
{
#include "net/http_server.h"
#include "platform/front.h"
}

#include "../net_server.h"

namespace
{

const std::string job = "{\"spec\":\"x\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,"
                        "\"estimate_ms\":60}],\"best_effort\":true}";

std::string
request (const std::string &method, const std::string &body)
{
  return method + " /queue/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a.example\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

class Front : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    dks_http_server_config_t config = {};
    dks_http_server_callbacks_t callbacks = {};
    std::string address;

    port = net_free_port ();
    address = "127.0.0.1:" + std::to_string (port);
    loop = dks_loop_create ();
    config.address = address.c_str ();
    config.max_connections = 100;
    config.idle_timeout_s = 30;
    config.data_centre = "dc1";
    config.interface = &dks_platform_front;
    callbacks.event = [] (void *context, dks_event_t *event) {
      static_cast<Front *> (context)->handle_event (*event);
    };
    callbacks.context = this;
    ASSERT_EQ (dks_http_server_create (loop, &config, &callbacks, &server), 0);
  }

  void
  TearDown () override
  {
    dks_http_server_destroy (server);
    dks_loop_destroy (loop);
  }

  void
  handle_event (const dks_event_t &event)
  {
    if (event.type == DKS_EVENT_CALLER_GONE)
      gone.push_back (event.u.caller_gone.caller);
    else
      verbs.push_back (event.u.batch.verb);
  }

  // Sends `text` on a new connection, which the server reads only once the loop runs.
  int
  send_request (const std::string &text) const
  {
    int fd = net_connect (port);

    net_write (fd, text);
    return fd;
  }

  void
  run_turns ()
  {
    for (int i = 0; i < 20; i++)
      dks_loop_turn (loop, 10000);
  }

  int port = 0;
  dks_loop_t *loop = nullptr;
  dks_http_server_t *server = nullptr;
  std::vector<dks_batch_verb_t> verbs;
  std::vector<uint64_t> gone;
};

}

TEST_F (Front, JobOfAWaitingCallerIsSubmitted)
{
  int fd = send_request (request ("POST", job));

  run_turns ();
  EXPECT_EQ (verbs.size (), 1u);
  EXPECT_TRUE (gone.empty ());
  close (fd);
  run_turns ();
  EXPECT_EQ (gone.size (), 1u);
}

// Guards against a job that runs twice: its caller left while this process stood still, and has
// sent it again to another instance.
TEST_F (Front, JobOfACallerThatHasLeftIsNotSubmitted)
{
  close (send_request (request ("POST", job)));
  run_turns ();
  EXPECT_TRUE (verbs.empty ());
  EXPECT_EQ (dks_http_server_open_requests (server), 0u);
}

// The same for a caller that sent its next request before it left.
TEST_F (Front, JobOfACallerThatHasLeftAfterAFurtherRequestIsNotSubmitted)
{
  close (send_request (request ("POST", job) + request ("GET", "")));
  run_turns ();
  EXPECT_TRUE (verbs.empty ());
  EXPECT_EQ (dks_http_server_open_requests (server), 0u);
}

// A cancel takes effect although its caller does not wait for the answer.
TEST_F (Front, CancelOfACallerThatHasLeftIsCarriedOut)
{
  close (send_request (request ("DELETE", "")));
  run_turns ();
  ASSERT_EQ (verbs.size (), 1u);
  EXPECT_EQ (verbs[0], DKS_BATCH_CANCEL);
}
