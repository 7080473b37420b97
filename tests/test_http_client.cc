#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "net/http_client.h"
}

#include "net_server.h"

#include <map>

namespace
{

struct Reply
{
  int count = 0;
  int error = 1;
  int status = 0;
  bool not_run = false;
  bool leaving = false;
  std::string body;
};

class HttpClient : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    loop = dks_loop_create ();
    client = dks_http_client_create (loop, 2);
  }

  void
  TearDown () override
  {
    dks_http_client_destroy (client);
    dks_loop_destroy (loop);
  }

  static void
  handle_reply (void *context, uint64_t id, const dks_http_result_t *result)
  {
    auto *self = static_cast<HttpClient *> (context);
    Reply &reply = self->replies[id];

    EXPECT_FALSE (self->sending) << "callback from within send";
    self->reply_total++;
    reply.count++;
    reply.error = result->error;
    reply.status = result->status;
    reply.not_run = result->not_run;
    reply.leaving = result->leaving;
    if (result->body != nullptr)
      reply.body.assign (reinterpret_cast<char *> (result->body->data), result->body->len);
  }

  uint64_t
  send (const char *method, const std::string &url, const char *body = nullptr,
        int64_t timeout_ms = 5000, bool extends_timeout = false)
  {
    static const char *const headers[] = { "Damaskshore-Task: k/1", nullptr };
    dks_blob_t *blob = body != nullptr ? dks_blob_create_text (body) : nullptr;
    dks_http_request_t request = {};
    uint64_t id;

    request.method = method;
    request.url = url.c_str ();
    request.headers = headers;
    request.body = blob;
    request.timeout_ms = timeout_ms;
    request.extends_timeout = extends_timeout;
    request.func = handle_reply;
    request.context = this;
    sending = true;
    id = dks_http_client_send (client, &request);
    sending = false;
    dks_blob_unref (blob);
    return id;
  }

  void
  turn_for (int64_t us)
  {
    int64_t end = dks_loop_now ().mono_us + us;

    while (dks_loop_now ().mono_us < end)
      dks_loop_turn (loop, 1000);
  }

  // Runs the loop until `count` replies have arrived in total.
  void
  run_until (int count)
  {
    int64_t end = dks_loop_now ().mono_us + 20000000;

    while (reply_total < count && dks_loop_now ().mono_us < end)
      dks_loop_turn (loop, 10000);
    ASSERT_EQ (reply_total, count);
  }

  dks_loop_t *loop = nullptr;
  dks_http_client_t *client = nullptr;
  std::map<uint64_t, Reply> replies;
  int reply_total = 0;
  bool sending = false;
};

TEST_F (HttpClient, KeepsConnectionAndSendsRequestAsGiven)
{
  std::atomic<int> connections (0);
  std::mutex mutex;
  std::vector<HttpRequest> requests;
  NetServer server ([&] (int fd, int) {
    HttpRequest request;
    connections++;
    while (http_read (fd, &request))
      {
        std::lock_guard<std::mutex> lock (mutex);
        requests.push_back (request);
        net_write (fd, http_reply (200, "got " + request.body));
      }
  });

  uint64_t first = send ("POST", server.url ("/run"), "abc");
  run_until (1);
  uint64_t second = send ("PUT", server.url ("/kv/a?version=1"), "");
  run_until (2);
  uint64_t third = send ("GET", server.url ("/x"));
  run_until (3);
  EXPECT_EQ (replies[first].error, DKS_OK);
  EXPECT_EQ (replies[first].status, 200);
  EXPECT_EQ (replies[first].body, "got abc");
  EXPECT_EQ (replies[second].body, "got ");
  EXPECT_EQ (replies[third].body, "got ");
  EXPECT_EQ (connections, 1);
  std::lock_guard<std::mutex> lock (mutex);
  ASSERT_EQ (requests.size (), 3U);
  EXPECT_EQ (requests[0].line, "POST /run HTTP/1.1");
  EXPECT_NE (requests[0].head.find ("Damaskshore-Task: k/1"), std::string::npos);
  EXPECT_EQ (requests[0].head.find ("Content-Type"), std::string::npos);
  EXPECT_EQ (requests[1].line, "PUT /kv/a?version=1 HTTP/1.1");
  EXPECT_EQ (requests[2].line, "GET /x HTTP/1.1");
}

// Guards against libcurl's automatic retry: a server that reads a request on a kept-alive
// connection and closes it without a reply may have run the request, so the client must not send it
// again.
TEST_F (HttpClient, NeverSendsARequestTwiceOnADeadReusedConnection)
{
  for (const char *body : { "x", "" })
    {
      std::atomic<int> count (0);
      NetServer server ([&] (int fd, int) {
        HttpRequest request;
        for (int i = 0; i < 2 && http_read (fd, &request); i++)
          {
            count++;
            if (i == 0)
              net_write (fd, http_reply (200, "ok"));
          }
      });
      int before = reply_total;

      send ("POST", server.url ("/run"), body);
      run_until (before + 1);
      uint64_t second = send ("POST", server.url ("/run"), body);
      run_until (before + 2);
      EXPECT_EQ (replies[second].error, DKS_ERR_IO);
      turn_for (100000);
      EXPECT_EQ (count, 2);
    }
}

// Guards against libcurl's automatic retry on a second kept-alive connection, which needs no new
// connect. The server resets the connection that carried the request instead of closing it.
TEST_F (HttpClient, NeverSendsARequestTwiceOverAnotherKeptConnection)
{
  std::atomic<int> count (0);
  std::atomic<int> waiting (0);
  NetServer server ([&] (int fd, int) {
    HttpRequest request;
    if (!http_read (fd, &request))
      return;
    count++;
    waiting++;
    while (waiting < 2)
      usleep (1000);
    net_write (fd, http_reply (200, "ok"));
    if (!http_read (fd, &request))
      return;
    count++;
    struct linger reset = { 1, 0 };
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof (reset));
  });

  send ("POST", server.url ("/run"), "a");
  send ("POST", server.url ("/run"), "b");
  run_until (2);
  uint64_t third = send ("POST", server.url ("/run"), "c");
  run_until (3);
  turn_for (100000);
  EXPECT_EQ (replies[third].error, DKS_ERR_IO);
  EXPECT_EQ (count, 3);
}

// A request must not fail because the server closed the kept-alive connection while it was idle.
TEST_F (HttpClient, OpensNewConnectionAfterAnIdleClose)
{
  std::atomic<int> connections (0);
  NetServer server ([&] (int fd, int) {
    HttpRequest request;
    connections++;
    if (http_read (fd, &request))
      net_write (fd, http_reply (200, "ok"));
  });

  send ("POST", server.url ("/run"), "a");
  run_until (1);
  turn_for (50000);
  uint64_t second = send ("POST", server.url ("/run"), "b");
  run_until (2);
  EXPECT_EQ (replies[second].error, DKS_OK);
  EXPECT_EQ (connections, 2);
}

// Guards against taking a second reply to one request for the reply to the next request on the same
// connection: every caller must get the whole answer to its own request.
TEST_F (HttpClient, IgnoresSecondReplyToTheSameRequest)
{
  std::atomic<int> connections (0);
  NetServer server ([&] (int fd, int number) {
    HttpRequest request;
    connections++;
    if (number == 0)
      {
        http_read (fd, &request);
        net_write (fd, http_reply (200, request.body));
        usleep (30000);
        net_write (fd, http_reply (200, request.body));
      }
    while (http_read (fd, &request))
      net_write (fd, http_reply (200, request.body));
  });

  send ("POST", server.url ("/run"), "first");
  run_until (1);
  turn_for (100000);
  uint64_t second = send ("POST", server.url ("/run"), "second");
  run_until (2);
  EXPECT_EQ (replies[second].error, DKS_OK);
  EXPECT_EQ (replies[second].body, "second");
  EXPECT_EQ (connections, 2);
}

TEST_F (HttpClient, RefusedConnectionIsUnavailable)
{
  uint64_t id =
      send ("POST", "http://127.0.0.1:" + std::to_string (net_free_port ()) + "/run", "a");

  run_until (1);
  EXPECT_EQ (replies[id].error, DKS_ERR_UNAVAILABLE);
}

// A server that does not accept the connection cannot have read the request, so the error must say
// that the request was not sent.
TEST_F (HttpClient, ConnectTimeoutIsUnavailable)
{
  int port;
  int fd = net_bind_free_port (&port);
  struct sockaddr_in address = {};
  std::vector<int> fillers;

  // A full listen queue drops further SYNs.
  ASSERT_EQ (listen (fd, 0), 0);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (static_cast<uint16_t> (port));
  for (int i = 0; i < 4; i++)
    {
      fillers.push_back (socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      (void)connect (fillers.back (), reinterpret_cast<struct sockaddr *> (&address),
                     sizeof (address));
    }
  turn_for (50000);
  uint64_t id = send ("POST", "http://127.0.0.1:" + std::to_string (port) + "/run", "a", 300);
  run_until (1);
  EXPECT_EQ (replies[id].error, DKS_ERR_UNAVAILABLE);
  for (int filler : fillers)
    close (filler);
  close (fd);
}

TEST_F (HttpClient, NoReplyAfterTheRequestIsTimeout)
{
  NetServer server ([&] (int fd, int) {
    HttpRequest request;
    while (http_read (fd, &request))
      continue;
  });
  uint64_t id = send ("POST", server.url ("/run"), "a", 200);

  run_until (1);
  EXPECT_EQ (replies[id].error, DKS_ERR_TIMEOUT);
}

// Guards against a large reply over a slow link that can never arrive, as its length and not a
// silence ends it. The server sends a part every 300 ms, or stops after the first one.
TEST_F (HttpClient, ReplyThatKeepsArrivingIsNoTimeout)
{
  NetServer server ([] (int fd, int) {
    HttpRequest request;

    if (!http_read (fd, &request))
      return;
    net_write (fd, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n");
    for (int i = 0; i < 6; i++)
      {
        net_write (fd, "x");
        if (request.line.find ("/stops") != std::string::npos)
          break;
        std::this_thread::sleep_for (std::chrono::milliseconds (300));
      }
    http_read (fd, &request);
  });

  uint64_t slow = send ("GET", server.url ("/slow"), nullptr, 1000, true);
  uint64_t stops = send ("GET", server.url ("/stops"), nullptr, 1000, true);
  run_until (2);
  EXPECT_EQ (replies[slow].error, DKS_OK);
  EXPECT_EQ (replies[slow].body, "xxxxxx");
  EXPECT_EQ (replies[stops].error, DKS_ERR_TIMEOUT);
}

// Guards against time-outs of requests whose replies have arrived but were not read yet, because
// this process was busy: each of them closes a connection and is taken for a silent server.
TEST_F (HttpClient, ReplyThatArrivedWhileTheLoopWasBusyIsNoTimeout)
{
  std::atomic<int> answered (0);
  NetServer server ([&] (int fd, int) {
    HttpRequest request;
    while (http_read (fd, &request))
      {
        net_write (fd, http_reply (200, "ok"));
        answered++;
      }
  });
  int wake[2];
  ASSERT_EQ (pipe (wake), 0);
  // Handles its event until the reply has arrived and the time-out is over.
  struct Busy
  {
    std::atomic<int> *answered;
    int64_t end_us;
  } busy = { &answered, 0 };
  auto handle_wake = [] (void *context, int fd, int) {
    auto *self = static_cast<Busy *> (context);
    char byte;

    EXPECT_EQ (read (fd, &byte, 1), 1);
    for (int i = 0; i < 10000 && (*self->answered < 2 || dks_loop_now ().mono_us < self->end_us);
         i++)
      usleep (1000);
    usleep (20000); // the reply is on its way over loopback
  };
  dks_loop_watch (loop, wake[0], DKS_LOOP_READ, handle_wake, &busy);

  send ("GET", server.url ("/first"));
  run_until (1);
  uint64_t id = send ("GET", server.url ("/second"), nullptr, 50);
  busy.end_us = dks_loop_now ().mono_us + 60000;
  dks_loop_turn (loop, 0); // sends the request
  ASSERT_EQ (write (wake[1], "x", 1), 1);
  run_until (2);
  EXPECT_EQ (replies[id].error, DKS_OK);
  dks_loop_watch (loop, wake[0], 0, nullptr, nullptr);
  close (wake[0]);
  close (wake[1]);
}

// Guards against an outage that goes on for as many time-outs as there are idle connections: when
// connections to a server have gone silent without a reset, a request that times out on one of them
// must not be followed by one on another.
TEST_F (HttpClient, RequestAfterATimeOutUsesNoConnectionThatWasIdleMeanwhile)
{
  std::atomic<int> connections (0);
  std::atomic<bool> silent (false);
  NetServer server ([&] (int fd, int number) {
    HttpRequest request;
    connections++;
    while (http_read (fd, &request))
      {
        if (silent && number < 2)
          continue;
        // The first two requests are sent at the same time, and so over two connections.
        while (connections < 2)
          usleep (1000);
        net_write (fd, http_reply (200, "ok"));
      }
  });

  send ("GET", server.url ("/a"));
  send ("GET", server.url ("/b"));
  run_until (2);
  ASSERT_EQ (connections, 2);
  silent = true;
  uint64_t unanswered = send ("GET", server.url ("/c"), nullptr, 200);
  run_until (3);
  EXPECT_EQ (replies[unanswered].error, DKS_ERR_TIMEOUT);
  uint64_t next = send ("GET", server.url ("/d"), nullptr, 1000);
  run_until (4);
  EXPECT_EQ (replies[next].error, DKS_OK);
  EXPECT_EQ (connections, 3);
}

TEST_F (HttpClient, BoundsConnectionsAndTimesOutWaitingRequests)
{
  std::atomic<int> connections (0);
  std::atomic<int> count (0);
  NetServer busy ([&] (int fd, int) {
    HttpRequest request;
    connections++;
    while (http_read (fd, &request))
      count++;
  });
  NetServer quick ([&] (int fd, int) {
    HttpRequest request;
    while (http_read (fd, &request))
      net_write (fd, http_reply (200, "ok"));
  });
  uint64_t first = send ("POST", busy.url ("/run"), "a", 3000);
  uint64_t second = send ("POST", busy.url ("/run"), "b", 3000);
  uint64_t waiting = send ("POST", busy.url ("/run"), "c", 200);
  // Requests to another host do not wait behind those to the busy one.
  std::vector<uint64_t> others;
  others.reserve (10);
  for (int i = 0; i < 10; i++)
    others.push_back (send ("POST", quick.url ("/run"), "d", 1000));

  run_until (11);
  for (uint64_t id : others)
    EXPECT_EQ (replies[id].error, DKS_OK);
  EXPECT_EQ (replies[waiting].error, DKS_ERR_UNAVAILABLE);
  // The threads of the server, which do the counting, may start late on a loaded machine.
  for (int i = 0; i < 100 && count < 2; i++)
    turn_for (10000);
  turn_for (50000);
  EXPECT_EQ (connections, 2);
  EXPECT_EQ (count, 2);
  dks_http_client_abort (client, first);
  dks_http_client_abort (client, second);
  turn_for (50000);
  EXPECT_EQ (reply_total, 11);
}

TEST_F (HttpClient, AbortedRequestHasNoCallbackAndFreesItsConnection)
{
  NetServer server ([&] (int fd, int number) {
    HttpRequest request;
    while (http_read (fd, &request))
      {
        if (request.body == "last")
          net_write (fd, http_reply (200, "ok"));
      }
  });
  uint64_t first = send ("POST", server.url ("/run"), "a");
  uint64_t second = send ("POST", server.url ("/run"), "b");
  uint64_t third = send ("POST", server.url ("/run"), "last");

  turn_for (50000);
  dks_http_client_abort (client, first);
  dks_http_client_abort (client, second);
  dks_http_client_abort (client, second);
  dks_http_client_abort (client, 999);
  run_until (1);
  EXPECT_EQ (replies[third].error, DKS_OK);
  EXPECT_EQ (replies.count (first), 0U);
}

// Guards against contexts that leak: those of requests that were open when their client was
// destroyed, or were cancelled.
TEST_F (HttpClient, ContextOfACancelledRequestIsFreedOnce)
{
  NetServer server ([&] (int fd, int number) {
    HttpRequest request;
    while (http_read (fd, &request))
      continue;
  });
  dks_http_client_t *other = dks_http_client_create (loop, 1);
  int freed = 0;
  uint64_t ids[3];

  for (auto &id : ids)
    {
      std::string url = server.url ("/run");
      dks_http_request_t request = {};
      request.method = "POST";
      request.url = url.c_str ();
      request.timeout_ms = 5000;
      request.func = handle_reply;
      request.context = &freed;
      request.context_free = [] (void *context) { ++*static_cast<int *> (context); };
      id = dks_http_client_send (other, &request);
    }
  turn_for (20000);
  dks_http_client_abort (other, ids[1]);
  dks_http_client_abort (other, ids[1]);
  EXPECT_EQ (freed, 1);
  dks_http_client_destroy (other);
  EXPECT_EQ (freed, 3);
}

TEST_F (HttpClient, ReadsHeadersAndDoesNotFollowRedirects)
{
  NetServer server ([&] (int fd, int) {
    HttpRequest request;
    while (http_read (fd, &request))
      {
        if (request.line.find ("/redirect") != std::string::npos)
          net_write (fd, http_reply (302, "", "Location: /other\r\n"));
        else if (request.line.find ("/not-run") != std::string::npos)
          net_write (fd, http_reply (503, "", "damaskshore-not-run:  1 \r\n"));
        else if (request.line.find ("/closing") != std::string::npos)
          net_write (fd, http_reply (503, "", "Connection: close\r\n"));
        else
          net_write (fd, "HTTP/1.1 100 X\r\nDamaskshore-Not-Run: 1\r\n\r\n"
                             + http_reply (200, "", "Damaskshore-Leaving: 1\r\n"));
      }
  });
  uint64_t redirect = send ("GET", server.url ("/redirect"));
  uint64_t not_run = send ("POST", server.url ("/not-run"));
  uint64_t closing = send ("POST", server.url ("/closing"));
  uint64_t leaving = send ("POST", server.url ("/leaving"));

  run_until (4);
  EXPECT_EQ (replies[redirect].status, 302);
  EXPECT_FALSE (replies[redirect].not_run);
  EXPECT_EQ (replies[not_run].status, 503);
  EXPECT_TRUE (replies[not_run].not_run);
  EXPECT_FALSE (replies[not_run].leaving);
  EXPECT_TRUE (replies[closing].leaving);
  EXPECT_FALSE (replies[closing].not_run);
  EXPECT_EQ (replies[leaving].status, 200);
  EXPECT_TRUE (replies[leaving].leaving);
  EXPECT_FALSE (replies[leaving].not_run);
}

// Guards against taking a truncated reply for a complete one, and against unbounded memory use by
// an endless reply.
TEST_F (HttpClient, RejectsTruncatedAndOversizedReplies)
{
  NetServer server ([&] (int fd, int) {
    HttpRequest request;
    if (!http_read (fd, &request))
      return;
    if (request.line.find ("/cut") != std::string::npos)
      net_write (fd, "HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nabc");
    else if (request.line.find ("/unframed") != std::string::npos)
      net_write (fd, "HTTP/1.1 200 X\r\n\r\nabc");
    else if (request.line.find ("/head") != std::string::npos)
      net_write (fd, "HTTP/1.1 200 X\r\n" + std::string (70000, 'a') + ": b\r\n\r\n");
    else if (request.line.find ("/garbage") != std::string::npos)
      net_write (fd, "SSH-2.0-x\r\n");
    else
      net_write (fd, http_reply (200, std::string ((2 << 20) + 1, 'a')));
  });
  uint64_t cut = send ("GET", server.url ("/cut"));
  uint64_t unframed = send ("GET", server.url ("/unframed"));
  uint64_t head = send ("GET", server.url ("/head"));
  uint64_t garbage = send ("GET", server.url ("/garbage"));
  uint64_t large = send ("GET", server.url ("/large"));

  run_until (5);
  EXPECT_EQ (replies[cut].error, DKS_ERR_IO);
  EXPECT_EQ (replies[unframed].error, DKS_ERR_IO);
  EXPECT_EQ (replies[head].error, DKS_ERR_TOO_LARGE);
  EXPECT_EQ (replies[garbage].error, DKS_ERR_IO);
  EXPECT_EQ (replies[large].error, DKS_ERR_TOO_LARGE);
}

TEST_F (HttpClient, LargeBodiesBothWaysAndDestroyWithOpenRequests)
{
  std::string body (1 << 20, 'p');
  NetServer server ([&] (int fd, int) {
    HttpRequest request;
    while (http_read (fd, &request))
      net_write (fd, http_reply (200, request.body));
  });
  uint64_t id = send ("POST", server.url ("/run"), body.c_str ());

  run_until (1);
  EXPECT_EQ (replies[id].body, body);
  for (int i = 0; i < 5; i++)
    send ("POST", server.url ("/run"), body.c_str ());
  dks_loop_turn (loop, 1000);
}

} // namespace
