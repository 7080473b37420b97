#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "net/target_client.h"
}

#include "net_server.h"

#include <map>

namespace
{

struct Reply
{
  int count = 0;
  dks_attempt_status_t status = DKS_ATTEMPT_LOST;
  bool leaving = false;
  std::string body;
};

class TargetClient : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    loop = dks_loop_create ();
    http = dks_http_client_create (loop, 2);
    client = dks_target_client_create (http, handle_reply, this);
  }

  void
  TearDown () override
  {
    dks_target_client_destroy (client);
    dks_http_client_destroy (http);
    dks_loop_destroy (loop);
  }

  static void
  handle_reply (void *context, uint64_t attempt, dks_attempt_status_t status, bool leaving,
                dks_blob_t *body)
  {
    auto *self = static_cast<TargetClient *> (context);
    Reply &reply = self->replies[attempt];

    EXPECT_FALSE (self->sending) << "callback from within send";
    self->reply_count++;
    reply.count++;
    reply.status = status;
    reply.leaving = leaving;
    if (body != nullptr)
      reply.body.assign (reinterpret_cast<char *> (body->data), body->len);
  }

  void
  send (uint64_t attempt, int port, int64_t deadline_ms = 5000)
  {
    dks_effect_t effect = {};

    effect.type = DKS_EFFECT_TARGET_SEND;
    effect.u.target_send.attempt = attempt;
    snprintf (effect.u.target_send.address, sizeof (effect.u.target_send.address), "127.0.0.1:%d",
              port);
    snprintf (effect.u.target_send.key, sizeof (effect.u.target_send.key), "dc1~1700000000000-a");
    effect.u.target_send.index = 7;
    effect.u.target_send.attempt_number = 2;
    effect.u.target_send.deadline_ms = 1000000 + deadline_ms;
    effect.u.target_send.payload = dks_blob_create_text ("payload");
    sending = true;
    dks_target_client_send (client, &effect, 1000000);
    sending = false;
    dks_blob_unref (effect.u.target_send.payload);
  }

  void
  run (int count, int64_t limit_us = 10000000)
  {
    int64_t end = dks_loop_now ().mono_us + limit_us;

    while (reply_count < count && dks_loop_now ().mono_us < end)
      dks_loop_turn (loop, 2000);
  }

  // Sends one task to an HTTP server that answers with `reply` and closes the connection. Returns
  // the result that the client reported.
  Reply
  attempt (const std::string &reply)
  {
    NetServer server ([&] (int fd, int number) {
      HttpRequest request;
      if (http_read (fd, &request))
        net_write (fd, reply);
    });

    reply_count = 0;
    send (++last_attempt, server.port ());
    run (1);
    EXPECT_EQ (replies[last_attempt].count, 1);
    return replies[last_attempt];
  }

  dks_loop_t *loop = nullptr;
  dks_http_client_t *http = nullptr;
  dks_target_client_t *client = nullptr;
  std::map<uint64_t, Reply> replies;
  uint64_t last_attempt = 0;
  int reply_count = 0;
  bool sending = false;
};

// Guards against missing or wrong headers, by which a target identifies the task and its attempt.
TEST_F (TargetClient, SendsTheTaskAndItsHeaders)
{
  HttpRequest seen;
  NetServer server ([&] (int fd, int number) {
    if (http_read (fd, &seen))
      net_write (fd, http_reply (200, "result"));
  });

  send (1, server.port (), 1234);
  run (1);
  EXPECT_EQ (replies[1].status, DKS_ATTEMPT_OK);
  EXPECT_EQ (replies[1].body, "result");
  EXPECT_FALSE (replies[1].leaving);
  EXPECT_EQ (seen.line, "POST /run HTTP/1.1");
  EXPECT_EQ (seen.body, "payload");
  EXPECT_NE (seen.head.find ("\r\nDamaskshore-Task: dc1~1700000000000-a/7\r\n"), std::string::npos);
  EXPECT_NE (seen.head.find ("\r\nDamaskshore-Attempt: 2\r\n"), std::string::npos);
  EXPECT_NE (seen.head.find ("\r\nDamaskshore-Deadline-Ms: 1234\r\n"), std::string::npos);
}

// Guards against an attempt that is reported as not started although the target may have started
// it: the task would be sent again and start twice.
TEST_F (TargetClient, MapsRepliesToTheStatusOfTheAttempt)
{
  EXPECT_EQ (attempt (http_reply (503, "", "Damaskshore-Not-Run: 1\r\n")).status,
             DKS_ATTEMPT_NOT_STARTED);
  EXPECT_EQ (attempt (http_reply (503, "")).status, DKS_ATTEMPT_FAILED);
  EXPECT_EQ (attempt (http_reply (500, "", "Damaskshore-Not-Run: 1\r\n")).status,
             DKS_ATTEMPT_FAILED);
  EXPECT_EQ (attempt (http_reply (429, "")).status, DKS_ATTEMPT_FAILED);
  EXPECT_EQ (attempt (http_reply (201, "x")).status, DKS_ATTEMPT_FAILED);
  EXPECT_EQ (attempt (http_reply (302, "", "Location: http://127.0.0.1:1/\r\n")).status,
             DKS_ATTEMPT_FAILED);
  EXPECT_EQ (attempt ("").status, DKS_ATTEMPT_LOST);
  EXPECT_EQ (attempt ("nonsense\r\n\r\n").status, DKS_ATTEMPT_LOST);
  EXPECT_EQ (attempt ("HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nhalf").status, DKS_ATTEMPT_LOST);
}

TEST_F (TargetClient, ReportsThatTheTargetIsLeaving)
{
  Reply reply = attempt (http_reply (200, "r", "Damaskshore-Leaving: 1\r\n"));
  EXPECT_EQ (reply.status, DKS_ATTEMPT_OK);
  EXPECT_TRUE (reply.leaving);
  EXPECT_EQ (reply.body, "r");
  reply = attempt (http_reply (503, "", "Connection: close\r\nDamaskshore-Not-Run: 1\r\n"));
  EXPECT_EQ (reply.status, DKS_ATTEMPT_NOT_STARTED);
  EXPECT_TRUE (reply.leaving);
}

// Guards against a result of more than DKS_PAYLOAD_MAX bytes, which no message between instances
// can carry.
TEST_F (TargetClient, ReportsTooLargeResultsAsFailed)
{
  EXPECT_EQ (attempt (http_reply (200, std::string (DKS_PAYLOAD_MAX, 'x'))).body.size (),
             static_cast<size_t> (DKS_PAYLOAD_MAX));
  Reply reply = attempt (http_reply (200, std::string (DKS_PAYLOAD_MAX + 1, 'x')));
  EXPECT_EQ (reply.status, DKS_ATTEMPT_FAILED);
  EXPECT_EQ (reply.body, "");
  EXPECT_EQ (attempt (http_reply (200, std::string (3 << 20, 'x'))).status, DKS_ATTEMPT_LOST);
}

TEST_F (TargetClient, ReportsARefusedConnectionAsNotStarted)
{
  send (1, net_free_port ());
  run (1);
  EXPECT_EQ (replies[1].count, 1);
  EXPECT_EQ (replies[1].status, DKS_ATTEMPT_NOT_STARTED);
}

// Guards against an attempt that never ends because its target does not answer.
TEST_F (TargetClient, ReportsAnAttemptAsLostAtItsDeadline)
{
  NetServer server ([&] (int fd, int number) {
    HttpRequest request;
    char byte;
    http_read (fd, &request);
    recv (fd, &byte, 1, 0);
  });
  int64_t start_us = dks_loop_now ().mono_us;

  send (1, server.port (), 300);
  send (2, server.port (), -5);
  run (2);
  EXPECT_EQ (replies[1].status, DKS_ATTEMPT_LOST);
  EXPECT_EQ (replies[2].count, 1);
  EXPECT_NE (replies[2].status, DKS_ATTEMPT_OK);
  EXPECT_GE (dks_loop_now ().mono_us - start_us, 290000);
  EXPECT_LT (dks_loop_now ().mono_us - start_us, 5000000);
}

TEST_F (TargetClient, AbortedAttemptsGetNoReply)
{
  NetServer server ([&] (int fd, int number) {
    HttpRequest request;
    while (http_read (fd, &request))
      net_write (fd, http_reply (200, "r"));
  });

  send (1, server.port ());
  send (2, server.port ());
  dks_target_client_abort (client, 1);
  dks_target_client_abort (client, 1);
  dks_target_client_abort (client, 99);
  run (1);
  EXPECT_EQ (replies[2].status, DKS_ATTEMPT_OK);
  run (2, 100000);
  EXPECT_EQ (replies.count (1), 0u);
  // TearDown destroys the client while this attempt is open.
  send (3, server.port ());
}

// Guards against replies that are reported for the wrong attempt, and against more connections to a
// target than the bound of 2.
TEST_F (TargetClient, KeepsTheConnectionBoundAndMatchesReplies)
{
  std::atomic<int> connections{ 0 };
  std::atomic<int> max_connections{ 0 };
  std::atomic<int> count{ 0 };
  NetServer server ([&] (int fd, int number) {
    HttpRequest request;
    int open_connections = ++connections;
    if (open_connections > max_connections)
      max_connections = open_connections;
    while (http_read (fd, &request))
      {
        count++;
        usleep (2000);
        net_write (fd, http_reply (200, "r"));
      }
    connections--;
  });

  for (uint64_t i = 1; i <= 20; i++)
    send (i, server.port ());
  run (20);
  for (uint64_t i = 1; i <= 20; i++)
    {
      EXPECT_EQ (replies[i].count, 1);
      EXPECT_EQ (replies[i].status, DKS_ATTEMPT_OK);
    }
  EXPECT_EQ (count, 20);
  EXPECT_LE (max_connections, 2);
}

} // namespace
