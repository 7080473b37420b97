#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "net/codec.h"
#include "net/peer.h"
}

#include "net_server.h"

#include <deque>
#include <memory>

namespace
{

// The connections of one instance. `events` records the callbacks: "+MEMBER" for up, "-MEMBER" for
// down.
struct Instance
{
  Instance (dks_loop_t *loop, const std::string &name, int listen_port)
      : member (name), port (listen_port), address ("127.0.0.1:" + std::to_string (listen_port))
  {
    dks_peer_callbacks_t callbacks = { handle_up, handle_down, handle_message, handle_refused,
                                       this };
    dks_peer_config_t config = { member.c_str (), "dc1", address.c_str (), nullptr };

    error = dks_peers_create (loop, &config, &callbacks, &peers);
  }

  ~Instance ()
  {
    dks_peers_destroy (peers);
  }

  Instance (const Instance &) = delete;

  static void
  handle_up (void *context, const char *peer, const char *data_centre)
  {
    auto *self = static_cast<Instance *> (context);
    EXPECT_FALSE (self->in_peers_call) << "callback from within a call";
    EXPECT_STREQ (data_centre, "dc1");
    self->events.push_back (std::string ("+") + peer);
  }

  static void
  handle_down (void *context, const char *peer)
  {
    auto *self = static_cast<Instance *> (context);
    EXPECT_FALSE (self->in_peers_call) << "callback from within a call";
    self->events.push_back (std::string ("-") + peer);
  }

  static void
  handle_refused (void *context, const char *peer_address)
  {
    auto *self = static_cast<Instance *> (context);
    EXPECT_FALSE (self->in_peers_call) << "callback from within a call";
    self->refusals.emplace_back (peer_address);
  }

  static void
  handle_message (void *context, const char *peer, dks_msg_t *msg)
  {
    auto *self = static_cast<Instance *> (context);
    EXPECT_FALSE (self->in_peers_call) << "callback from within a call";
    EXPECT_TRUE (self->is_up (peer)) << "message without up";
    self->messages.emplace_back (peer, msg->type == DKS_MSG_GRANT ? msg->u.grant.count : 0);
  }

  // Whether the last event of `peer` is up. Also checks that up and down alternate.
  bool
  is_up (const std::string &peer) const
  {
    bool up = false;

    for (const std::string &event : events)
      {
        if (event.substr (1) != peer)
          continue;
        EXPECT_NE (up, event[0] == '+') << "up or down repeated for " << peer;
        up = event[0] == '+';
      }
    return up;
  }

  void
  connect (const std::string &to)
  {
    in_peers_call = true;
    dks_peers_connect (peers, to.c_str ());
    in_peers_call = false;
  }

  void
  grant (const std::string &peer, uint32_t count)
  {
    dks_msg_t *msg = dks_msg_create (DKS_MSG_GRANT);

    msg->u.grant.count = count;
    send (peer, msg);
  }

  void
  send (const std::string &peer, dks_msg_t *msg)
  {
    in_peers_call = true;
    dks_peers_send (peers, peer.c_str (), msg);
    in_peers_call = false;
    dks_msg_unref (msg);
  }

  std::string member;
  int port;
  std::string address;
  dks_peers_t *peers = nullptr;
  int error = 0;
  bool in_peers_call = false;
  std::vector<std::string> events;
  std::vector<std::string> refusals;
  std::vector<std::pair<std::string, uint32_t>> messages;
};

class Peer : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    loop = dks_loop_create ();
    dks_loop_set_turn_end (loop, flush, this);
  }

  void
  TearDown () override
  {
    instances.clear ();
    for (int fd : sockets)
      close (fd);
    dks_loop_destroy (loop);
  }

  static void
  flush (void *context)
  {
    for (auto &instance : static_cast<Peer *> (context)->instances)
      {
        if (instance != nullptr)
          dks_peers_flush (instance->peers);
      }
  }

  // Adds an instance that listens on `port`. If `port` is 0, the instance takes a free port, and
  // another one if a different process has taken that port in the meantime.
  Instance &
  add (const std::string &member, int port = 0)
  {
    for (int tries = 0; tries < 10; tries++)
      {
        auto instance =
            std::make_unique<Instance> (loop, member, port != 0 ? port : net_free_port ());
        if (instance->error != DKS_OK && port == 0)
          continue;
        instances.push_back (std::move (instance));
        break;
      }
    EXPECT_EQ (instances.back ()->error, DKS_OK);
    return *instances.back ();
  }

  void
  remove (Instance &instance)
  {
    for (auto &entry : instances)
      {
        if (entry.get () == &instance)
          entry.reset ();
      }
  }

  void
  run_for (int64_t ms)
  {
    int64_t end = dks_loop_now ().mono_us + ms * 1000;

    while (dks_loop_now ().mono_us < end)
      dks_loop_turn (loop, 1000);
  }

  template <typename Condition>
  bool
  run_until (Condition condition, int64_t ms = 10000)
  {
    int64_t end = dks_loop_now ().mono_us + ms * 1000;

    while (!condition () && dks_loop_now ().mono_us < end)
      dks_loop_turn (loop, 10000);
    return condition ();
  }

  // Opens a TCP connection to an instance, without a hello.
  int
  open_socket (const Instance &to)
  {
    struct sockaddr_in address = {};
    int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    address.sin_port = htons (static_cast<uint16_t> (to.port));
    EXPECT_EQ (connect (fd, reinterpret_cast<struct sockaddr *> (&address), sizeof (address)), 0);
    sockets.push_back (fd);
    return fd;
  }

  static std::string
  hello (const std::string &member)
  {
    uint8_t *frame;
    size_t len;

    dks_codec_encode_hello (member.c_str (), "dc1", false, &frame, &len);
    std::string text (reinterpret_cast<char *> (frame), len);
    free (frame);
    return text;
  }

  static std::string
  grant_frame (uint32_t count)
  {
    dks_msg_t *msg = dks_msg_create (DKS_MSG_GRANT);
    uint8_t *frame;
    size_t len;

    msg->u.grant.count = count;
    dks_codec_encode (msg, &frame, &len);
    std::string text (reinterpret_cast<char *> (frame), len);
    free (frame);
    dks_msg_unref (msg);
    return text;
  }

  // Whether the instance has closed the connection. Reads and discards all data that has arrived.
  static bool
  is_closed (int fd)
  {
    char buffer[4096];
    ssize_t n;

    while ((n = recv (fd, buffer, sizeof (buffer), MSG_DONTWAIT)) > 0)
      continue;
    return n == 0 || errno != EAGAIN;
  }

  dks_loop_t *loop = nullptr;
  std::deque<std::unique_ptr<Instance>> instances;
  std::vector<int> sockets;
};

TEST_F (Peer, DeliversMessagesInOrderBothWays)
{
  Instance &a = add ("a#1");
  Instance &b = add ("b#1");

  a.connect (b.address);
  a.connect (b.address);
  ASSERT_TRUE (run_until ([&] { return a.is_up ("b#1") && b.is_up ("a#1"); }));
  for (uint32_t i = 0; i < 1000; i++)
    {
      a.grant ("b#1", i);
      b.grant ("a#1", i);
      a.grant ("nobody#1", i);
    }
  ASSERT_TRUE (
      run_until ([&] { return a.messages.size () == 1000 && b.messages.size () == 1000; }));
  for (uint32_t i = 0; i < 1000; i++)
    {
      EXPECT_EQ (a.messages[i], std::make_pair (std::string ("b#1"), i));
      EXPECT_EQ (b.messages[i], std::make_pair (std::string ("a#1"), i));
    }
  EXPECT_EQ (a.events.size (), 1U);
  EXPECT_EQ (b.events.size (), 1U);
}

TEST_F (Peer, MessagesOfOneTurnShareAWrite)
{
  Instance &a = add ("a#1");
  int fd = open_socket (a);
  char buffer[65536];
  ssize_t n;

  net_write (fd, hello ("raw#1"));
  ASSERT_TRUE (run_until ([&] { return a.is_up ("raw#1"); }));
  EXPECT_FALSE (is_closed (fd));
  for (uint32_t i = 0; i < 100; i++)
    a.grant ("raw#1", i + 1);
  EXPECT_EQ (recv (fd, buffer, sizeof (buffer), MSG_DONTWAIT), -1);
  dks_peers_flush (a.peers);
  n = recv (fd, buffer, sizeof (buffer), MSG_DONTWAIT);
  EXPECT_EQ (n, static_cast<ssize_t> (100 * grant_frame (1).size ()));
}

// Guards against two lasting connections between a pair of instances, and against connections that
// replace each other without end. Both can occur when both sides connect at the same time.
TEST_F (Peer, OneConnectionRemainsWhenBothSidesConnect)
{
  for (int round = 0; round < 10; round++)
    {
      Instance &a = add ("a#" + std::to_string (round));
      Instance &b = add ("b#" + std::to_string (round));
      size_t a_events;
      size_t b_events;

      a.connect (b.address);
      for (int i = 0; i < round % 5; i++)
        dks_loop_turn (loop, 0);
      b.connect (a.address);
      ASSERT_TRUE (run_until ([&] { return a.is_up (b.member) && b.is_up (a.member); }));
      run_for (50);
      ASSERT_TRUE (a.is_up (b.member) && b.is_up (a.member));
      a_events = a.events.size ();
      b_events = b.events.size ();
      EXPECT_LE (a_events, 3U);
      EXPECT_LE (b_events, 3U);
      a.grant (b.member, 1);
      b.grant (a.member, 2);
      run_for (250);
      EXPECT_EQ (a.messages.size (), 1U);
      EXPECT_EQ (b.messages.size (), 1U);
      EXPECT_EQ (a.events.size (), a_events);
      EXPECT_EQ (b.events.size (), b_events);
      remove (a);
      remove (b);
    }
}

// Guards against a second connection that disturbs the first: dks_peers_connect() is called with
// the address of a member that has already connected to this instance. The instance must keep that
// connection, and connect by itself once the connection ends.
TEST_F (Peer, LateConnectKeepsTheEarlierConnection)
{
  for (const char *first : { "a#1", "z#1" })
    {
      Instance &one = add (first);
      Instance &two = add ("m#1");

      one.connect (two.address);
      ASSERT_TRUE (run_until ([&] { return one.is_up ("m#1") && two.is_up (first); }));
      two.connect (one.address);
      run_for (500);
      EXPECT_EQ (one.events.size (), 1U);
      EXPECT_EQ (two.events.size (), 1U);
      int port = one.port;
      remove (one);
      ASSERT_TRUE (run_until ([&] { return !two.is_up (first); }));
      Instance &again = add (std::string (first) + "1", port);
      ASSERT_TRUE (run_until ([&] { return two.is_up (again.member); }));
      EXPECT_TRUE (run_until ([&] { return again.is_up ("m#1"); }));
      remove (again);
      remove (two);
    }
}

TEST_F (Peer, ReconnectsAfterRefusalAndRestart)
{
  Instance &a = add ("a#1");
  int port = net_free_port ();

  a.connect ("127.0.0.1:" + std::to_string (port));
  run_for (400);
  EXPECT_TRUE (a.events.empty ());
  Instance &b = add ("b#1", port);
  ASSERT_TRUE (run_until ([&] { return a.is_up ("b#1"); }));
  remove (b);
  ASSERT_TRUE (run_until ([&] { return !a.is_up ("b#1"); }));
  run_for (300);
  add ("b#2", port);
  ASSERT_TRUE (run_until ([&] { return a.is_up ("b#2"); }));
  EXPECT_EQ (a.events, (std::vector<std::string>{ "+b#1", "-b#1", "+b#2" }));
}

TEST_F (Peer, ReportsARefusedConnectionOfAnEndedProcess)
{
  Instance &a = add ("a#1");
  Instance &b = add ("b#1");
  std::string address = b.address;

  a.connect (address);
  ASSERT_TRUE (run_until ([&] { return a.is_up ("b#1"); }));
  run_for (300);
  EXPECT_TRUE (a.refusals.empty ());
  remove (b);
  ASSERT_TRUE (run_until ([&] { return !a.refusals.empty (); }));
  EXPECT_EQ (a.refusals.front (), address);
  EXPECT_FALSE (a.is_up ("b#1"));
}

// Guards against invalid bytes on one connection that affect others: a connection with a bad hello,
// frame or message is closed, and all other connections stay up.
TEST_F (Peer, ClosesBadConnectionsOnly)
{
  Instance &a = add ("a#1");
  Instance &b = add ("b#1");
  std::string oversized ("\x7f\xff\xff\xff", 4);
  std::string bad_body ("\x00\x00\x00\x03zzz", 7);
  std::string too_large_hello ("\x00\x01\x00\x00", 4);

  b.connect (a.address);
  ASSERT_TRUE (run_until ([&] { return a.is_up ("b#1") && b.is_up ("a#1"); }));
  for (const std::string &text :
       { std::string ("GET / HTTP/1.1\r\n\r\n"), oversized, bad_body, too_large_hello,
         grant_frame (1), hello ("a#1"), hello (""), hello ("two\nlines") })
    {
      int fd = open_socket (a);
      net_write (fd, text);
      EXPECT_TRUE (run_until ([&] { return is_closed (fd); }, 2000));
    }
  EXPECT_EQ (a.events.size (), 1U);
  for (const std::string &text : { oversized, bad_body, hello ("raw#1"), std::string (4, '\0') })
    {
      int fd = open_socket (a);
      net_write (fd, hello ("raw#1") + grant_frame (7) + text);
      EXPECT_TRUE (run_until ([&] { return is_closed (fd); }, 2000));
      EXPECT_FALSE (a.is_up ("raw#1"));
      ASSERT_FALSE (a.messages.empty ());
      EXPECT_EQ (a.messages.back (), std::make_pair (std::string ("raw#1"), 7U));
    }
  EXPECT_EQ (a.messages.size (), 4U);
  EXPECT_EQ (a.events.size (), 9U);
  a.grant ("b#1", 5);
  EXPECT_TRUE (run_until ([&] { return b.messages.size () == 1; }));
  EXPECT_EQ (b.events.size (), 1U);
}

TEST_F (Peer, ClosesConnectionWithoutHelloAfterFiveSeconds)
{
  Instance &a = add ("a#1");
  int fd = open_socket (a);
  int partial = open_socket (a);
  int64_t start_us = dks_loop_now ().mono_us;

  net_write (partial, hello ("raw#1").substr (0, 6));
  run_for (4500);
  EXPECT_FALSE (is_closed (fd));
  EXPECT_FALSE (is_closed (partial));
  EXPECT_TRUE (run_until ([&] { return is_closed (fd) && is_closed (partial); }, 2000));
  EXPECT_GE (dks_loop_now ().mono_us - start_us, 4900000);
  EXPECT_TRUE (a.events.empty ());
}

TEST_F (Peer, ReadsFramesThatArriveByteByByte)
{
  Instance &a = add ("a#1");
  int fd = open_socket (a);

  for (char c : hello ("raw#1") + grant_frame (300) + grant_frame (301))
    {
      net_write (fd, std::string (1, c));
      dks_loop_turn (loop, 0);
    }
  ASSERT_TRUE (run_until ([&] { return a.messages.size () == 2; }));
  EXPECT_EQ (a.messages[0].second, 300U);
  EXPECT_EQ (a.messages[1].second, 301U);
}

// Guards against a connection that is kept although its opener has lost it: the opener shows that
// when it opens a second connection, which must replace the first.
TEST_F (Peer, SecondConnectionOfTheSameOpenerReplacesTheFirst)
{
  Instance &a = add ("a#1");
  int first = open_socket (a);
  int second;

  net_write (first, hello ("raw#1"));
  ASSERT_TRUE (run_until ([&] { return a.is_up ("raw#1"); }));
  second = open_socket (a);
  net_write (second, hello ("raw#1"));
  ASSERT_TRUE (run_until ([&] { return a.events.size () == 3; }));
  EXPECT_EQ (a.events, (std::vector<std::string>{ "+raw#1", "-raw#1", "+raw#1" }));
  EXPECT_TRUE (is_closed (first));
  EXPECT_FALSE (is_closed (second));
}

TEST_F (Peer, LargeMessagesPassAndOversizedOnesAreDropped)
{
  Instance &a = add ("a#1");
  Instance &b = add ("b#1");
  std::string payload (DKS_PAYLOAD_MAX, 'p');

  a.connect (b.address);
  ASSERT_TRUE (run_until ([&] { return a.is_up ("b#1") && b.is_up ("a#1"); }));
  for (uint32_t tasks : { 8U, 17U })
    {
      dks_msg_t *msg = dks_msg_create (DKS_MSG_ANSWER);
      dks_answer_t *answer =
          dks_answer_create ("1764800000123-a", DKS_OUTCOME_COMPLETE, DKS_PROBLEM_NONE, tasks);
      for (uint32_t i = 0; i < tasks; i++)
        {
          answer->tasks[i].ok = true;
          answer->tasks[i].body = dks_blob_create_text (payload.c_str ());
        }
      msg->u.answer.answer = answer;
      a.send ("b#1", msg);
    }
  a.grant ("b#1", 9);
  ASSERT_TRUE (run_until ([&] { return b.messages.size () == 2; }));
  EXPECT_EQ (b.messages[1].second, 9U);
  EXPECT_TRUE (a.is_up ("b#1"));
}

// Guards against unbounded memory for the unsent messages to a peer that does not read: its
// connection is closed above DKS_PEER_BACKLOG_MAX.
TEST_F (Peer, ClosesConnectionWithTooLargeBacklog)
{
  Instance &a = add ("a#1");
  Instance &b = add ("b#1");
  std::string payload (DKS_PAYLOAD_MAX, 'p');
  int fd = open_socket (a);
  int sent = 0;

  b.connect (a.address);
  net_write (fd, hello ("raw#1"));
  ASSERT_TRUE (run_until ([&] { return a.is_up ("raw#1") && a.is_up ("b#1"); }));
  for (; sent < 200 && a.is_up ("raw#1"); sent++)
    {
      dks_msg_t *msg = dks_msg_create (DKS_MSG_RECORD);
      strcpy (msg->u.record.key, "settings");
      msg->u.record.value = dks_blob_create_text (payload.c_str ());
      a.send ("raw#1", msg);
      dks_loop_turn (loop, 0);
    }
  EXPECT_GE (sent, DKS_PEER_BACKLOG_MAX / DKS_PAYLOAD_MAX);
  EXPECT_LT (sent, DKS_PEER_BACKLOG_MAX / DKS_PAYLOAD_MAX + 36);
  EXPECT_FALSE (a.is_up ("raw#1"));
  a.grant ("b#1", 1);
  EXPECT_TRUE (run_until ([&] { return b.messages.size () == 1; }));
}

// Guards against unbounded memory for the unsent messages to many peers that do not read: each
// alone stays below its bound. The connection with the most of them is closed.
TEST_F (Peer, ClosesTheConnectionWithTheLargestBacklogWhenAllTogetherAreTooLarge)
{
  Instance &a = add ("a#1");
  std::string payload (DKS_PAYLOAD_MAX, 'p');
  const int count = 16;

  for (int i = 0; i < count; i++)
    net_write (open_socket (a), hello ("raw#" + std::to_string (i)));
  ASSERT_TRUE (run_until ([&] { return a.events.size () == count; }));
  size_t sent = 0;
  for (int i = 0; i < 11 * (count + 1); i++)
    {
      // The first one gets two messages in turn, so it has the largest backlog.
      std::string member = "raw#" + std::to_string (i % (count + 1) % count);
      dks_msg_t *msg = dks_msg_create (DKS_MSG_RECORD);

      strcpy (msg->u.record.key, "settings");
      msg->u.record.value = dks_blob_create_text (payload.c_str ());
      sent += a.is_up (member);
      a.send (member, msg);
      dks_loop_turn (loop, 0);
    }
  EXPECT_GT (sent * DKS_PAYLOAD_MAX, static_cast<size_t> (DKS_PEERS_BACKLOG_MAX));
  EXPECT_LE (dks_peers_backlog (a.peers), static_cast<size_t> (DKS_PEERS_BACKLOG_MAX));
  EXPECT_FALSE (a.is_up ("raw#0"));
  EXPECT_TRUE (a.is_up ("raw#15"));
}

TEST_F (Peer, IgnoresOwnAddressAndReportsBadAddresses)
{
  Instance &a = add ("a#1");
  dks_peer_callbacks_t callbacks = {};
  dks_peers_t *peers = nullptr;
  dks_peer_config_t config = { "c#1", "dc1", a.address.c_str (), nullptr };

  a.connect (a.address);
  a.connect ("localhost:80");
  a.connect ("127.0.0.1");
  a.connect ("127.0.0.1:0");
  a.connect ("");
  run_for (500);
  EXPECT_TRUE (a.events.empty ());
  EXPECT_EQ (dks_peers_create (loop, &config, &callbacks, &peers), DKS_ERR_IO);
  config.address = "localhost:80";
  EXPECT_EQ (dks_peers_create (loop, &config, &callbacks, &peers), DKS_ERR_INVALID);
}

TEST_F (Peer, FullMeshOfSevenSettles)
{
  std::vector<Instance *> all;

  for (int i = 0; i < 7; i++)
    all.push_back (&add ("m" + std::to_string (i) + "#1"));
  for (Instance *from : all)
    {
      for (Instance *to : all)
        from->connect (to->address);
    }
  auto settled = [&] {
    for (Instance *from : all)
      {
        for (Instance *to : all)
          {
            if (from != to && !from->is_up (to->member))
              return false;
          }
      }
    return true;
  };
  ASSERT_TRUE (run_until (settled));
  run_for (1000);
  EXPECT_TRUE (settled ());
  size_t events = 0;
  for (Instance *instance : all)
    events += instance->events.size ();
  run_for (1000);
  for (Instance *instance : all)
    events -= instance->events.size ();
  EXPECT_EQ (events, 0U);
}

} // namespace
