// The names and formats of the platform: requests that are sent to the platform and its targets,
// and events that their replies are decoded to. A server on loopback with fixed replies stands in
// for both.

#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "net/loop.h"
#include "platform/executor.h"
#include "platform/front.h"
#include "platform/store.h"
#include "platform/wire.h"
}

#include "../net_server.h"

#include <deque>

namespace
{

// Answers each request with the next queued reply, and records the requests.
class PlatformServer
{
public:
  PlatformServer () : server ([this] (int fd, int number) { serve (fd); })
  {
  }

  void
  queue_reply (int status, const std::string &body)
  {
    std::lock_guard<std::mutex> lock (mutex);
    replies.push_back (http_reply (status, body));
  }

  std::string
  take_request ()
  {
    std::lock_guard<std::mutex> lock (mutex);
    if (requests.empty ())
      return "";
    std::string first = requests.front ();
    requests.pop_front ();
    return first;
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (server.port ());
  }

private:
  void
  serve (int fd)
  {
    HttpRequest request;

    while (http_read (fd, &request))
      {
        std::lock_guard<std::mutex> lock (mutex);

        requests.push_back (request.head + request.body);
        if (replies.empty ())
          return;
        net_write (fd, replies.front ());
        replies.pop_front ();
      }
  }

  std::mutex mutex;
  std::deque<std::string> replies;
  std::deque<std::string> requests;
  NetServer server; // declared last, destroyed first: its threads use the members above
};

class Adapter : public ::testing::Test
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
  handle_event (void *context, dks_event_t *event)
  {
    auto *self = static_cast<Adapter *> (context);

    self->event_count++;
    self->status = event->u.lease_reply.status;
    if (event->type == DKS_EVENT_LEASE_REPLY)
      {
        const dks_run_lists_t *lists = event->u.lease_reply.lists;

        self->op = event->u.lease_reply.op;
        self->clock_ms = event->u.lease_reply.target_clock_ms;
        if (lists != nullptr)
          {
            self->running.assign (lists->running, lists->running + lists->running_count);
            self->ended.assign (lists->ended, lists->ended + lists->ended_count);
            self->born_ms = lists->incarnation_ms;
          }
        return;
      }
    self->op = event->u.feed.op;
    self->feed_status = event->u.feed.status;
    self->revision = event->u.feed.revision;
    self->more = event->u.feed.more_items_follow;
    for (size_t i = 0; i < event->u.feed.count; i++)
      {
        const dks_feed_item_t &item = event->u.feed.items[i];

        self->keys.push_back (item.key);
        self->deleted.push_back (item.deleted);
        if (item.target != nullptr)
          self->targets.push_back (*item.target);
        if (item.catalog != nullptr)
          self->versions.push_back (item.catalog->version);
        if (item.rejection != nullptr)
          self->rejections.push_back (std::to_string (item.rejection->version) + " "
                                      + item.rejection->reason);
        if (item.data_centre != nullptr)
          self->evacuations.push_back ((item.deleted ? "-" : "+") + std::string (item.data_centre));
      }
    self->last_key = event->u.feed.last_key != nullptr ? event->u.feed.last_key : "";
  }

  void
  wait_for_event ()
  {
    int before = event_count;

    for (int i = 0; i < 500 && event_count == before; i++)
      dks_loop_turn (loop, 10000);
    ASSERT_EQ (event_count, before + 1);
  }

  // Reads the configuration from a platform that replies with this body.
  void
  read_catalog (const std::string &body)
  {
    dks_effect_t effect = {};

    effect.type = DKS_EFFECT_FEED_READ;
    effect.u.feed.feed = DKS_FEED_CATALOG;
    effect.u.feed.timeout_ms = 4000;
    platform.queue_reply (200, body);
    dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect,
                            handle_event, this);
    wait_for_event ();
  }

  dks_effect_t
  lease_effect (dks_effect_type_t type)
  {
    dks_effect_t effect = {};

    effect.type = type;
    effect.u.lease.op = 7;
    snprintf (effect.u.lease.address, sizeof (effect.u.lease.address), "%s",
              platform.address ().c_str ());
    snprintf (effect.u.lease.target, sizeof (effect.u.lease.target), "i-7f3a91c2");
    snprintf (effect.u.lease.task, sizeof (effect.u.lease.task), "5c0e7a21d94b36f8.0.1.17");
    effect.u.lease.run = 2;
    effect.u.lease.fencing_token = 7256700000000123;
    effect.u.lease.deadline_ms = 486000;
    effect.u.lease.timeout_ms = 2000;
    return effect;
  }

  dks_loop_t *loop;
  dks_http_client_t *client;
  PlatformServer platform;
  int event_count = 0;
  uint64_t op = 0;
  dks_lease_status_t status = DKS_LEASE_OK;
  int64_t clock_ms = 0;
  int64_t born_ms = 0;
  std::vector<dks_active_run_t> running;
  std::vector<dks_ended_run_t> ended;
  dks_feed_status_t feed_status = DKS_FEED_OK;
  int64_t revision = 0;
  bool more = false;
  std::vector<std::string> keys;
  std::vector<bool> deleted;
  std::vector<dks_target_info_t> targets;
  std::vector<int64_t> versions;
  std::vector<std::string> rejections;  // "VERSION REASON"
  std::vector<std::string> evacuations; // "+NAME", or "-NAME" for an end
  std::string last_key;
};

std::string
body_of (const std::string &request)
{
  return request.substr (request.find ("\r\n\r\n") + 4);
}

dks_batch_t *
decode_batch (const std::string &body, const char **refusal)
{
  dks_batch_t *batch = nullptr;

  dks_wire_decode_batch (body.data (), body.size (), &batch, refusal);
  return batch;
}

}

TEST_F (Adapter, StartSendsTaskFenceAndIntendedTarget)
{
  dks_effect_t effect = lease_effect (DKS_EFFECT_LEASE_START);

  effect.u.lease.spec = dks_blob_create ("a\"b", 3);
  platform.queue_reply (200, R"({"clock_ms":482113})");
  dks_executor_call (client, &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (op, 7U);
  EXPECT_EQ (status, DKS_LEASE_OK);
  EXPECT_EQ (clock_ms, 482113);
  std::string request = platform.take_request ();
  EXPECT_EQ (request.rfind ("POST /api/run-start HTTP/1.1\r\n", 0), 0U) << request;
  EXPECT_NE (request.find ("Expect-Instance: i-7f3a91c2\r\n"), std::string::npos) << request;
  EXPECT_EQ (body_of (request),
             R"({"task":"5c0e7a21d94b36f8.0.1.17","run":2,"spec":"a\"b","deadline_ms":486000,)"
             R"("fence":7256700000000123})");
  dks_blob_unref (effect.u.lease.spec);
}

// Guards against the end of the process for a task name or a specification that is no UTF-8.
TEST_F (Adapter, CallThatCannotBeEncodedIsAFailedCall)
{
  for (bool bad_spec : { false, true })
    {
      dks_effect_t effect = lease_effect (DKS_EFFECT_LEASE_START);
      int before = event_count;

      effect.u.lease.spec = dks_blob_create (bad_spec ? "\xff" : "x", 1);
      if (!bad_spec)
        snprintf (effect.u.lease.task, sizeof (effect.u.lease.task), "\xff\xfe.0.0.0");
      dks_executor_call (client, &effect, handle_event, this);
      EXPECT_EQ (event_count, before + 1);
      EXPECT_EQ (op, 7U);
      EXPECT_EQ (status, DKS_LEASE_INVALID);
      dks_blob_unref (effect.u.lease.spec);
    }
  EXPECT_EQ (platform.take_request (), "");
}

// Guards against taking a target that is only cut off for one that has crashed: only the address of
// the latter refuses connections.
TEST_F (Adapter, RefusedConnectionIsToldFromATargetThatDoesNotAnswer)
{
  dks_effect_t effect = lease_effect (DKS_EFFECT_LEASE_HOLD);
  NetServer silent_target ([&] (int fd, int) {
    HttpRequest request;
    while (http_read (fd, &request))
      continue;
  });

  effect.u.lease.timeout_ms = 200;
  snprintf (effect.u.lease.address, sizeof (effect.u.lease.address), "127.0.0.1:%d",
            silent_target.port ());
  dks_executor_call (client, &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (status, DKS_LEASE_UNANSWERED);
  snprintf (effect.u.lease.address, sizeof (effect.u.lease.address), "127.0.0.1:%d",
            net_free_port ());
  dks_executor_call (client, &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (status, DKS_LEASE_REFUSED);
}

// Guards against mixing up two reasons for which a target rejects a call: the dispatcher acts
// differently on each.
TEST_F (Adapter, RejectionsMapToDistinctStatuses)
{
  const struct
  {
    int status;
    const char *body;
    dks_lease_status_t expected;
  } rows[] = {
    { 409, R"({"clock_ms":1,"reason":"fence"})", DKS_LEASE_FENCED },
    { 409, R"({"clock_ms":1,"reason":"old"})", DKS_LEASE_OLD_RUN },
    { 409, R"({"clock_ms":1,"reason":"late"})", DKS_LEASE_LATE },
    { 409, R"({"clock_ms":1,"reason":"room"})", DKS_LEASE_NO_CAPACITY },
    { 409, R"({"clock_ms":1,"reason":"new one"})", DKS_LEASE_INVALID },
    { 400, "", DKS_LEASE_INVALID },
    { 404, "", DKS_LEASE_INVALID },
    { 421, "", DKS_LEASE_OTHER_INCARNATION },
    { 429, "", DKS_LEASE_UNHEALTHY },
    { 503, "", DKS_LEASE_UNHEALTHY },
  };

  for (auto &row : rows)
    {
      dks_effect_t effect = lease_effect (DKS_EFFECT_LEASE_STOP);

      platform.queue_reply (row.status, row.body);
      dks_executor_call (client, &effect, handle_event, this);
      wait_for_event ();
      EXPECT_EQ (status, row.expected) << row.status << " " << row.body;
      EXPECT_EQ (platform.take_request ().rfind ("POST /api/run-stop ", 0), 0U);
    }
}

// Guards against a second run of a task: a start that was answered with a server error may have
// been carried out, and a stop with one may not, so both count as calls without an answer.
TEST_F (Adapter, ServerErrorDoesNotShowThatNothingWasDone)
{
  for (dks_effect_type_t type : { DKS_EFFECT_LEASE_START, DKS_EFFECT_LEASE_STOP })
    {
      for (int code : { 202, 204, 500, 502, 504 })
        {
          dks_effect_t effect = lease_effect (type);

          if (type == DKS_EFFECT_LEASE_START)
            effect.u.lease.spec = dks_blob_create ("x", 1);
          platform.queue_reply (code, "");
          dks_executor_call (client, &effect, handle_event, this);
          wait_for_event ();
          EXPECT_EQ (status, DKS_LEASE_UNANSWERED) << code;
          dks_blob_unref (effect.u.lease.spec);
        }
    }
}

// Guards against an instance that ends with status 1 under the address sanitizer: the calls that
// were under way when it shut down were not freed.
TEST_F (Adapter, OpenCallsAreFreedWithTheClient)
{
  dks_http_client_t *closed = dks_http_client_create (loop, 4);
  dks_effect_t hold = lease_effect (DKS_EFFECT_LEASE_HOLD);
  dks_effect_t watch = {};

  watch.type = DKS_EFFECT_FEED_WATCH;
  watch.u.feed.timeout_ms = 1500;
  dks_executor_call (closed, &hold, handle_event, this);
  dks_platform_feed_call (closed, ("http://" + platform.address ()).c_str (), &watch, handle_event,
                          this);
  dks_http_client_destroy (closed);
  EXPECT_EQ (event_count, 0);
}

TEST_F (Adapter, HoldDecodesRunningAndEndedRuns)
{
  dks_effect_t effect = lease_effect (DKS_EFFECT_LEASE_HOLD);

  effect.u.lease.last_end_seen = 57;
  effect.u.lease.wait_ms = 300;
  platform.queue_reply (200, R"({"born":1700000000123,"clock_ms":482113,)"
                             R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41,0.5]],)"
                             R"("ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
                             R"([59,"5c0e7a21d94b36f8.0.1.8",3,"lapsed",""]]})");
  dks_executor_call (client, &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (body_of (platform.take_request ()),
             R"({"fence":7256700000000123,"last_seen":57,"deadline_ms":486000,"wait_ms":300})");
  EXPECT_EQ (born_ms, 1700000000123);
  ASSERT_EQ (running.size (), 1U);
  EXPECT_STREQ (running[0].task, "5c0e7a21d94b36f8.0.1.17");
  EXPECT_EQ (running[0].run, 2U);
  EXPECT_EQ (running[0].percent_done, 41U);
  ASSERT_EQ (ended.size (), 2U);
  EXPECT_EQ (ended[0].number, 58);
  EXPECT_EQ (ended[0].end, DKS_RUN_DONE);
  EXPECT_EQ (ended[1].end, DKS_RUN_LEASE_EXPIRED);

  // A HOLD without a deadline leaves the target's lease unchanged.
  effect.u.lease.deadline_ms = 0;
  effect.u.lease.wait_ms = 0;
  platform.queue_reply (200, R"({"clock_ms":1,"running":[["x"]],"ended_runs":[]})");
  dks_executor_call (client, &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (body_of (platform.take_request ()), R"({"fence":7256700000000123,"last_seen":57})");
  EXPECT_EQ (status, DKS_LEASE_OK);

  platform.queue_reply (200, R"({"clock_ms":1,"running":[[7]],"ended_runs":[]})");
  dks_executor_call (client, &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (status, DKS_LEASE_UNANSWERED)
      << "lists that cannot be decoded must count as no answer";
}

// Guards against progress that is taken for another number: it decides whether a run is moved.
TEST_F (Adapter, ProgressIsLimitedToPercent)
{
  dks_effect_t effect = lease_effect (DKS_EFFECT_LEASE_HOLD);

  platform.queue_reply (200, R"({"clock_ms":1,"running":[["a",1,"",-1],["b",1,"",250],)"
                             R"(["c",1,"",1e300],["d",1,"",99.9]],"ended_runs":[]})");
  dks_executor_call (client, &effect, handle_event, this);
  wait_for_event ();
  ASSERT_EQ (running.size (), 4U);
  EXPECT_EQ (running[0].percent_done, 0U);
  EXPECT_EQ (running[1].percent_done, 100U);
  EXPECT_EQ (running[2].percent_done, 100U);
  EXPECT_EQ (running[3].percent_done, 99U);
}

// Guards against the end of another run that is taken for that of run 1.
TEST_F (Adapter, RunNumbersThatAreTooLargeAreNotCutOff)
{
  dks_effect_t effect = lease_effect (DKS_EFFECT_LEASE_HOLD);

  for (const char *lists : { R"("running":[["a",4294967297,"",1]],"ended_runs":[])",
                             R"("running":[],"ended_runs":[[1,"a",4294967297,"done",""]])" })
    {
      platform.queue_reply (200, std::string (R"({"clock_ms":1,)") + lists + "}");
      dks_executor_call (client, &effect, handle_event, this);
      wait_for_event ();
      EXPECT_EQ (status, DKS_LEASE_UNANSWERED);
    }
}

// Guards against targets that are dropped because a list that is too long was read only in part.
TEST_F (Adapter, ListOfTooManyItemsIsReadInParts)
{
  dks_effect_t effect = {};
  std::string body = R"({"items":[)";

  for (int i = 0; i < 10050; i++)
    body += (i > 0 ? "," : "") + (R"({"key":"servers/)" + std::to_string (i) + R"(","value":""})");
  effect.type = DKS_EFFECT_FEED_READ;
  effect.u.feed.feed = DKS_FEED_TARGETS;
  effect.u.feed.timeout_ms = 2000;
  platform.queue_reply (200, body + R"(],"store_revision":530})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_EQ (feed_status, DKS_FEED_OK);
  EXPECT_TRUE (more);
  ASSERT_FALSE (keys.empty ());
  EXPECT_EQ (keys.back (), std::to_string (keys.size () - 1));
}

// Guards against an instance that never gets past a long series of large configurations: the answer
// to its watch is larger than what is read, each time.
TEST_F (Adapter, WatchWithTooMuchHistoryIsReplacedByARead)
{
  dks_effect_t effect = {};
  std::string url = "http://" + platform.address ();
  std::string events = R"({"events":[)";

  effect.type = DKS_EFFECT_FEED_WATCH;
  effect.u.feed.feed = DKS_FEED_CATALOG;
  effect.u.feed.timeout_ms = 4000;
  platform.queue_reply (200, events + std::string (3 << 20, ' ') + R"(],"store_revision":4})");
  dks_platform_feed_call (client, url.c_str (), &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (feed_status, DKS_FEED_HISTORY_GONE);
  for (int i = 0; i < 10050; i++)
    events += (i > 0 ? "," : "") + std::string (R"({"key":"servers/i","rev":1,"deleted":true})");
  platform.queue_reply (200, events + R"(],"store_revision":4})");
  effect.u.feed.feed = DKS_FEED_TARGETS;
  dks_platform_feed_call (client, url.c_str (), &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (feed_status, DKS_FEED_HISTORY_GONE);
}

// Guards against a key that is cut where it is encoded, so that a read goes on at another one.
TEST_F (Adapter, KeyOfEscapedCharactersIsSentWhole)
{
  dks_effect_t effect = {};
  std::string key (DKS_KEY_SIZE - 1, '+');

  effect.type = DKS_EFFECT_FEED_READ;
  effect.u.feed.feed = DKS_FEED_TARGETS;
  effect.u.feed.timeout_ms = 2000;
  snprintf (effect.u.feed.after_key, sizeof (effect.u.feed.after_key), "%s", key.c_str ());
  platform.queue_reply (200, R"({"items":[],"store_revision":1})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  std::string request = platform.take_request ();
  size_t count = 0;
  for (size_t at = request.find ("%2B"); at != std::string::npos; at = request.find ("%2B", at + 1))
    count++;
  EXPECT_EQ (count, key.size ());
}

// Guards against versions of the configuration that are decoded although a newer one came with
// them: a series of large ones takes a small instance seconds.
TEST_F (Adapter, OnlyTheNewestConfigurationOfAWatchIsDecoded)
{
  dks_effect_t effect = {};

  effect.type = DKS_EFFECT_FEED_WATCH;
  effect.u.feed.feed = DKS_FEED_CATALOG;
  effect.u.feed.timeout_ms = 4000;
  // {"version":3,"routes":[],"services":[]} and {"version":4,"routes":[],"services":[]}
  platform.queue_reply (
      200,
      R"({"events":[{"key":"op/config","rev":1,"value":"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"},)"
      R"({"key":"op/config","rev":2,"value":"eyJ2ZXJzaW9uIjo0LCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"},)"
      R"({"key":"op/config2","rev":3,"value":"e30="}],"store_revision":3})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_EQ (versions, std::vector<int64_t> ({ 4 }));
  EXPECT_EQ (keys.size (), 1U);
}

// Guards against a configuration that is rejected without its version and the reason.
TEST_F (Adapter, RejectedConfigurationHasItsVersionAndAReason)
{
  // {"version":3,"routes":[],"services":{}}
  read_catalog (
      R"({"items":[{"key":"op/config","rev":1,"value":"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6e319"}],)"
      R"("store_revision":9})");
  EXPECT_EQ (feed_status, DKS_FEED_OK);
  EXPECT_EQ (versions.size (), 0U);
  ASSERT_EQ (rejections.size (), 1U);
  EXPECT_EQ (rejections[0].find ("3 no list of"), 0U) << rejections[0];
}

// Guards against an answer that this instance cannot receive, but takes for an error of the store.
TEST_F (Adapter, ReadThatIsTooLargeIsToldFromARejectedOne)
{
  read_catalog (R"({"items":[)" + std::string (3 << 20, ' ') + R"(],"store_revision":4})");
  EXPECT_EQ (feed_status, DKS_FEED_TOO_LARGE);
}

// Guards against instances that cannot receive the configuration although they have the memory.
TEST_F (Adapter, ReadMayBeAsLargeAsTheClientAllows)
{
  // {"version":3,"routes":[],"services":[]}
  std::string body =
      R"({"items":[{"key":"op/config","rev":1,"value":"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"}],)"
      R"("store_revision":9})";

  body += std::string ((5 << 20) - body.size (), ' ');
  dks_http_client_set_reply_max (client, 5 << 20);
  read_catalog (body);
  EXPECT_EQ (versions, std::vector<int64_t> ({ 3 }));
  read_catalog (body + " ");
  EXPECT_EQ (feed_status, DKS_FEED_TOO_LARGE);
}

// One call each reads and watches all that the operator writes.
TEST_F (Adapter, ReadHasTheConfigurationAndTheEvacuations)
{
  dks_effect_t effect = {};

  effect.type = DKS_EFFECT_FEED_READ;
  effect.u.feed.feed = DKS_FEED_CATALOG;
  effect.u.feed.timeout_ms = 4000;
  platform.queue_reply (
      200,
      R"({"items":[{"key":"op/config","rev":1,"value":"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOltdLCJzZXJ2aWNlcyI6W119"},)"
      R"({"key":"op/evacuate/dc-a","rev":2,"value":"e30="},)"
      R"({"key":"op/evacuate/dc-b","rev":2,"value":"e30="},)"
      R"({"key":"op/wave/3","rev":4,"value":"e30="}],"store_revision":9})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_EQ (platform.take_request ().find ("GET /api/kv-range?prefix=op/ HTTP"), 0U);
  EXPECT_EQ (versions, std::vector<int64_t> ({ 3 }));
  EXPECT_EQ (evacuations, std::vector<std::string> ({ "+dc-a", "+dc-b" }));
  EXPECT_EQ (revision, 9);
}

TEST_F (Adapter, WatchHasEvacuationsAndTheirEndsInOrder)
{
  dks_effect_t effect = {};

  effect.type = DKS_EFFECT_FEED_WATCH;
  effect.u.feed.feed = DKS_FEED_CATALOG;
  effect.u.feed.revision = 4;
  effect.u.feed.timeout_ms = 1500;
  platform.queue_reply (200, R"({"events":[{"key":"op/evacuate/dc-a","rev":5,"value":"e30="},)"
                             R"({"key":"op/evacuate/dc-a","rev":6,"deleted":true},)"
                             R"({"key":"op/evacuate/dc-b","rev":7,"value":"e30="}],)"
                             R"("store_revision":8})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_EQ (
      platform.take_request ().find ("GET /api/kv-watch?prefix=op/&after=4&wait_ms=1000 HTTP"), 0U);
  EXPECT_EQ (evacuations, std::vector<std::string> ({ "+dc-a", "-dc-a", "+dc-b" }));
}

// Guards against an evacuation that is ignored for its value: the key alone counts.
TEST_F (Adapter, ValueOfAnEvacuationMayBeAnything)
{
  dks_effect_t effect = {};

  effect.type = DKS_EFFECT_FEED_WATCH;
  effect.u.feed.feed = DKS_FEED_CATALOG;
  effect.u.feed.timeout_ms = 1500;
  platform.queue_reply (200, R"({"events":[{"key":"op/evacuate/dc-a","rev":5,"value":""},)"
                             R"({"key":"op/evacuate/dc-b","rev":6,"value":"////"},)"
                             R"({"key":"op/evacuate/dc-c","rev":6,"value":"!"},)"
                             R"({"key":"op/evacuate/dc-d","rev":6,"value":7},)"
                             R"({"key":"op/evacuate/dc-e","rev":7}],"store_revision":8})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_EQ (evacuations,
             std::vector<std::string> ({ "+dc-a", "+dc-b", "+dc-c", "+dc-d", "+dc-e" }));
}

// Guards against names that no data centre has and that cannot stand in a log line.
TEST_F (Adapter, KeysThatNameNoDataCentreAreNoEvacuations)
{
  dks_effect_t effect = {};

  effect.type = DKS_EFFECT_FEED_WATCH;
  effect.u.feed.feed = DKS_FEED_CATALOG;
  effect.u.feed.timeout_ms = 1500;
  platform.queue_reply (200, R"({"events":[{"key":"op/evacuate/","rev":5,"value":"e30="},)"
                             R"({"key":"op/evacuate/)"
                                 + std::string (DKS_NAME_SIZE, 'a')
                                 + R"(","rev":6,"value":"e30="},)"
                                   R"({"key":"op/evacuate/dc\na","rev":6,"value":"e30="},)"
                                   R"({"key":"op/evacuated","rev":6,"value":"e30="},)"
                                   R"({"rev":6},7],"store_revision":8})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_EQ (feed_status, DKS_FEED_OK);
  EXPECT_TRUE (keys.empty ());
}

// Guards against a read that ends, or begins again, at a page of keys that are not used here.
TEST_F (Adapter, ReadGoesOnAfterAPageOfOtherKeysOfTheOperator)
{
  dks_effect_t effect = {};
  std::string longest = "op/wave/" + std::string (192, '7');

  effect.type = DKS_EFFECT_FEED_READ;
  effect.u.feed.feed = DKS_FEED_CATALOG;
  effect.u.feed.timeout_ms = 4000;
  platform.queue_reply (200, R"({"items":[{"key":"op/wave/1","rev":4,"value":"e30="},{"key":")"
                                 + longest
                                 + R"(","rev":4,"value":"e30="}],)"
                                   R"("store_revision":9,"has_more":true})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_TRUE (more);
  EXPECT_EQ (last_key, longest);
  platform.take_request ();
  snprintf (effect.u.feed.after_key, sizeof (effect.u.feed.after_key), "%s", last_key.c_str ());
  platform.queue_reply (200, R"({"items":[],"store_revision":9})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_EQ (
      platform.take_request ().find ("GET /api/kv-range?prefix=op/&after=" + longest + " HTTP"),
      0U);
}

TEST_F (Adapter, TargetRecordsThatCannotBeDecodedAreSkipped)
{
  dks_effect_t effect = {};

  effect.type = DKS_EFFECT_FEED_READ;
  effect.u.feed.op = 9;
  effect.u.feed.feed = DKS_FEED_TARGETS;
  effect.u.feed.timeout_ms = 2000;
  snprintf (effect.u.feed.after_key, sizeof (effect.u.feed.after_key), "i-0");
  // {"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1","slots":8,"state":"draining",
  //  "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"born":5,"seq":4}
  platform.queue_reply (
      200,
      R"({"items":[{"key":"servers/i-1","rev":3,"value":"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJ6IiwidmVyc2lvbiI6InYxIiwic2xvdHMiOjgsInN0YXRlIjoiZHJhaW5pbmciLCJjYXBhY2l0eSI6eyJjcHUiOjE2MDAwLCJtZW1fbWIiOjMyNzY4LCJncHUiOjB9LCJsYWJlbHMiOlsiYSIsInIxLTMiXSwiYm9ybiI6NSwic2VxIjo0fQ=="},)"
      R"({"key":"servers/i-2","rev":4,"value":"bm9uZQ=="}],"has_more":true,"store_revision":530})");
  dks_platform_feed_call (client, ("http://" + platform.address ()).c_str (), &effect, handle_event,
                          this);
  wait_for_event ();
  EXPECT_EQ (platform.take_request ().rfind (
                 "GET /api/kv-range?prefix=servers/&after=servers/i-0 HTTP/1.1", 0),
             0U);
  EXPECT_EQ (feed_status, DKS_FEED_OK);
  EXPECT_EQ (revision, 530);
  EXPECT_TRUE (more);
  ASSERT_EQ (keys.size (), 2U);
  EXPECT_EQ (keys[1], "i-2");
  ASSERT_EQ (targets.size (), 1U);
  EXPECT_STREQ (targets[0].id, "i-1");
  EXPECT_STREQ (targets[0].address, "10.0.0.9:80");
  EXPECT_TRUE (targets[0].leaving);
  EXPECT_EQ (targets[0].cpu_milli, 16000U);
  EXPECT_EQ (targets[0].memory_mb, 32768U);
  EXPECT_EQ (targets[0].incarnation_ms, 5);
  ASSERT_EQ (targets[0].label_count, 2U);
  EXPECT_STREQ (targets[0].labels[1], "r1-3");
}

TEST_F (Adapter, WatchDistinguishesLostHistoryFromAnOutage)
{
  dks_effect_t effect = {};
  std::string url = "http://" + platform.address ();

  effect.type = DKS_EFFECT_FEED_WATCH;
  effect.u.feed.feed = DKS_FEED_TARGETS;
  effect.u.feed.revision = 411;
  effect.u.feed.timeout_ms = 4000;
  platform.queue_reply (200, R"({"events":[{"key":"servers/i-1","rev":413,"deleted":true}],)"
                             R"("store_revision":413})");
  dks_platform_feed_call (client, url.c_str (), &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (platform.take_request ().rfind (
                 "GET /api/kv-watch?prefix=servers/&after=411&wait_ms=3500 HTTP/1.1", 0),
             0U);
  ASSERT_EQ (deleted.size (), 1U);
  EXPECT_TRUE (deleted[0]);
  EXPECT_EQ (revision, 413);
  platform.queue_reply (410, "{}");
  dks_platform_feed_call (client, url.c_str (), &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (feed_status, DKS_FEED_HISTORY_GONE);
  for (int code : { 429, 503, 500 })
    {
      platform.queue_reply (code, "{}");
      dks_platform_feed_call (client, url.c_str (), &effect, handle_event, this);
      wait_for_event ();
      EXPECT_EQ (feed_status, DKS_FEED_REJECTED);
    }
  platform.queue_reply (200, "not JSON");
  dks_platform_feed_call (client, url.c_str (), &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (feed_status, DKS_FEED_REJECTED);
}

TEST_F (Adapter, WatchWithoutAnAnswerIsToldFromOneThatWasNotSent)
{
  dks_effect_t effect = {};
  std::atomic<int> connections (0);
  NetServer silent_store ([&] (int fd, int) {
    HttpRequest request;
    connections++;
    while (http_read (fd, &request))
      continue;
  });

  effect.type = DKS_EFFECT_FEED_WATCH;
  effect.u.feed.feed = DKS_FEED_CATALOG;
  effect.u.feed.timeout_ms = 1100;
  dks_platform_feed_call (client, silent_store.url ("").c_str (), &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (feed_status, DKS_FEED_UNANSWERED);
  EXPECT_EQ (connections, 1);
  dks_platform_feed_call (client,
                          ("http://127.0.0.1:" + std::to_string (net_free_port ())).c_str (),
                          &effect, handle_event, this);
  wait_for_event ();
  EXPECT_EQ (feed_status, DKS_FEED_UNREACHABLE);
}

// A configuration with so many queues.
std::string
catalog_text (size_t queues)
{
  std::string text = R"({"version":7,"services":[{"name":"s"}],"routes":[)";

  for (size_t i = 0; i < queues; i++)
    {
      std::string id = std::to_string (i);

      text += (i > 0 ? "," : "") + (R"({"name":"r-)" + id + R"(","host":"h.example","prefix":"/p)")
              + id + R"(/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,)"
              + R"("service":"s","max_attempts":2,"target_factor":1.6})";
    }
  return text + "]}";
}

// Guards against instances that stay at an old configuration because a newer one has more queues
// than a limit of their own.
TEST (Wire, CatalogsOfAnyNumberOfQueuesAreDecoded)
{
  for (size_t count : { 4095, 4096, 4097, 20000 })
    {
      std::string text = catalog_text (count);
      dks_catalog_t *catalog = nullptr;
      dks_catalog_t *copy = nullptr;
      dks_catalog_rejection_t rejection;

      ASSERT_EQ (dks_wire_decode_catalog (text.data (), text.size (), &catalog, &rejection), DKS_OK)
          << rejection.reason;
      EXPECT_EQ (catalog->queue_count, count);
      dks_blob_t *record = dks_catalog_encode (catalog);
      ASSERT_EQ (dks_catalog_decode (record, &copy, &rejection), DKS_OK) << rejection.reason;
      EXPECT_EQ (copy->queue_count, count);
      EXPECT_STREQ (copy->queues[count - 1].prefix, catalog->queues[count - 1].prefix);
      dks_blob_unref (record);
      dks_catalog_unref (copy);
      dks_catalog_unref (catalog);
    }
}

dks_catalog_t *
decode_catalog (const std::string &text, dks_catalog_rejection_t *rejection)
{
  dks_catalog_t *catalog = nullptr;

  dks_wire_decode_catalog (text.data (), text.size (), &catalog, rejection);
  return catalog;
}

TEST (Wire, CatalogDecodesQueuesAndServices)
{
  dks_catalog_rejection_t rejection;
  dks_catalog_t *catalog = decode_catalog (
      R"({"version":7,"routes":[{"name":"r-1","host":"h.example","prefix":"/l/","kind":"unsafe",)"
      R"("timeout_ms":1500,"target_latency_ms":60,"priority":2,"service":"s","max_attempts":3,)"
      R"("target_factor":1.6}],"services":[{"name":"s","enforces_capacity":true}],"limits":{}})",
      &rejection);
  const char *rest = nullptr;

  ASSERT_NE (catalog, nullptr) << rejection.reason;
  EXPECT_EQ (catalog->version, 7);
  const dks_queue_entry_t *queue =
      dks_catalog_match_queue (catalog, "H.example:80", "/l/ab", &rest);
  ASSERT_NE (queue, nullptr);
  EXPECT_STREQ (rest, "ab");
  EXPECT_STREQ (queue->name, "r-1");
  EXPECT_STREQ (queue->service, "s");
  EXPECT_EQ (queue->objective_factor_milli, 1600U);
  EXPECT_EQ (queue->objective_extra_ms, 60U);
  EXPECT_EQ (queue->priority, 2U);
  EXPECT_EQ (queue->max_attempts, 3U);
  EXPECT_EQ (queue->timeout_ms, 1500U);
  EXPECT_FALSE (queue->needs_advice);
  EXPECT_TRUE (dks_catalog_service (catalog, "s")->rejects_excess_runs);
  EXPECT_EQ (dks_catalog_match_queue (catalog, "other", "/l/ab", &rest), nullptr);

  // The record that other instances get decodes to the same catalog.
  dks_blob_t *record = dks_catalog_encode (catalog);
  dks_catalog_t *copy = nullptr;
  ASSERT_EQ (dks_catalog_decode (record, &copy, &rejection), DKS_OK) << rejection.reason;
  EXPECT_EQ (copy->version, 7);
  ASSERT_EQ (copy->queue_count, 1U);
  EXPECT_STREQ (copy->queues[0].name, queue->name);
  EXPECT_STREQ (copy->queues[0].host, queue->host);
  EXPECT_STREQ (copy->queues[0].prefix, queue->prefix);
  EXPECT_STREQ (copy->queues[0].service, queue->service);
  EXPECT_EQ (copy->queues[0].priority, queue->priority);
  EXPECT_EQ (copy->queues[0].max_attempts, queue->max_attempts);
  EXPECT_EQ (copy->queues[0].timeout_ms, queue->timeout_ms);
  EXPECT_EQ (copy->queues[0].objective_factor_milli, queue->objective_factor_milli);
  EXPECT_EQ (copy->queues[0].objective_extra_ms, queue->objective_extra_ms);
  EXPECT_EQ (copy->queues[0].needs_advice, queue->needs_advice);
  EXPECT_TRUE (dks_catalog_service (copy, "s")->rejects_excess_runs);
  dks_blob_unref (record);
  dks_catalog_unref (copy);
  dks_catalog_unref (catalog);
}

// Guards against instances that stay at an old configuration because a value in a newer one is
// larger than they can represent.
TEST (Wire, CatalogsOfLargeValuesAreDecoded)
{
  const std::string long_text (5000, 'x');
  dks_catalog_rejection_t rejection;
  dks_catalog_t *catalog = decode_catalog (
      R"({"limits":{"a":[[{"name":1}]]},"services":[{"host":1,"priority":"x","name":")" + long_text
          + R"("}],"routes":[{"name":")" + long_text + R"(","host":")" + long_text
          + R"(","prefix":"/)" + long_text + R"(","service":")" + long_text
          + R"(","priority":99999999999999999999,"timeout_ms":4294967296,"max_attempts":0,)"
          + R"("target_factor":1e9,"advice":{"name":"x"}}],"version":9223372036854775807})",
      &rejection);

  ASSERT_NE (catalog, nullptr) << rejection.reason;
  EXPECT_EQ (catalog->version, INT64_MAX);
  EXPECT_EQ (catalog->queues[0].name, long_text);
  EXPECT_EQ (catalog->queues[0].host, long_text);
  EXPECT_EQ (catalog->queues[0].prefix, "/" + long_text);
  EXPECT_EQ (catalog->queues[0].service, long_text);
  EXPECT_EQ (catalog->queues[0].priority, UINT32_MAX);
  EXPECT_EQ (catalog->queues[0].timeout_ms, UINT32_MAX);
  EXPECT_EQ (catalog->queues[0].max_attempts, 1U);
  EXPECT_EQ (catalog->queues[0].objective_factor_milli, 1000000U);
  EXPECT_TRUE (catalog->queues[0].needs_advice);
  EXPECT_EQ (catalog->services[0].name, long_text);
  dks_catalog_unref (catalog);
}

// Guards against a malformed configuration that is put in force in part, or rejected without saying
// what is at fault.
TEST (Wire, MalformedCatalogsAreRejectedWithTheirVersionAndFault)
{
  const std::string queue = R"({"name":"q","host":"h","prefix":"/q/","service":"s"})";
  const struct
  {
    std::string text;
    int64_t version;
    const char *fault;
  } rows[] = {
    { "", 0, "not JSON" },
    { R"({"version":7,"routes":[)", 7, "not JSON" },
    { R"({"version":7,"routes":[],"services":[]} x)", 7, "not JSON" },
    { "[]", 0, "no version" },
    { R"({"routes":[],"services":[]})", 0, "no version" },
    { R"({"version":"7","routes":[],"services":[]})", 0, "no version" },
    { R"({"version":0,"routes":[],"services":[]})", 0, "version: " },
    { R"({"version":7.5,"routes":[],"services":[]})", 0, "version: " },
    { R"({"version":9223372036854775808,"routes":[],"services":[]})", 0, "version: " },
    { R"({"version":7,"services":[]})", 7, "no list of routes" },
    { R"({"version":7,"routes":{"x":[]},"services":[]})", 7, "no list of routes" },
    { R"({"version":7,"routes":[]})", 7, "no list of services" },
    { R"({"version":7,"routes":[)" + queue + R"(,5],"services":[]})", 7, "an entry of routes" },
    { R"({"version":7,"routes":[[)" + queue + R"(]],"services":[]})", 7, "an entry of routes" },
    { R"({"version":7,"routes":[],"services":["s"]})", 7, "an entry of services" },
    { R"({"version":7,"routes":[],"services":[{}]})", 7, "services[0].name: missing" },
    { R"({"version":7,"routes":[)" + queue + R"(,{"name":"r","prefix":"/","service":"s"}],)"
          + R"("services":[]})",
      7, "routes[1].host: missing" },
    { R"({"version":7,"routes":[{"name":""}],"services":[]})", 7, "routes[0].name: empty" },
    { R"({"version":7,"routes":[{"name":"a\u0000b"}],"services":[]})", 7, "routes[0].name: " },
    { R"({"version":7,"routes":[{"name":null}],"services":[]})", 7, "routes[0].name: null" },
    { R"({"version":7,"routes":[{"host":{}}],"services":[]})", 7, "routes[0].host: an array" },
    { R"({"version":7,"routes":[{"host":5}],"services":[]})", 7, "routes[0].host: not a text" },
    { R"({"version":7,"routes":[{"priority":-1}],"services":[]})", 7, "routes[0].priority: " },
    { R"({"version":7,"routes":[{"priority":1.5}],"services":[]})", 7, "routes[0].priority: " },
    { R"({"version":7,"routes":[{"priority":"1"}],"services":[]})", 7, "routes[0].priority: " },
    { R"({"version":7,"routes":[{"priority":true}],"services":[]})", 7, "routes[0].priority: " },
    { R"({"version":7,"routes":[{"target_factor":-1}],"services":[]})", 7,
      "routes[0].target_factor: " },
  };

  for (auto &row : rows)
    {
      dks_catalog_rejection_t rejection;

      EXPECT_EQ (decode_catalog (row.text, &rejection), nullptr) << row.text;
      EXPECT_EQ (rejection.version, row.version) << row.text;
      EXPECT_EQ (std::string (rejection.reason).find (row.fault), 0U)
          << row.text << ": " << rejection.reason;
    }
}

// Guards against running a job without a feature that it asks for, such as all its tasks at once.
TEST (Wire, JobsThatNeedUnsupportedFeaturesAreRefused)
{
  const char *refusal = nullptr;
  dks_batch_t *batch =
      decode_batch (R"({"spec":"x","best_effort":true,"steps":[{"count":4,"cpu":500,"mem_mb":256,)"
                    R"("estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,"after":[0]}]})",
                    &refusal);

  ASSERT_NE (batch, nullptr);
  EXPECT_EQ (refusal, nullptr);
  EXPECT_EQ (batch->task_count, 24U);
  EXPECT_EQ (batch->steps[0].cpu_milli, 500U);
  EXPECT_STREQ (batch->steps[0].preferred_label, "r1-3");
  EXPECT_EQ (batch->steps[1].after_mask, 1U);
  dks_batch_unref (batch);

  const char *unsupported[] = {
    R"({"spec":"x","steps":[{"count":1}]})",
    R"({"spec":"x","best_effort":true,"times":3,"steps":[{"count":1}]})",
    R"({"spec":"x","best_effort":true,"steps":[{"count":1,"gang":true}]})",
    R"({"spec":"x","best_effort":true,"steps":[{"count":1,"persistent":true}]})",
    R"({"spec":"x","best_effort":true,"steps":[{"count":1,"fills":true}]})",
  };
  for (const char *body : unsupported)
    {
      batch = decode_batch (body, &refusal);
      EXPECT_NE (batch, nullptr) << body;
      EXPECT_NE (refusal, nullptr) << body;
      dks_batch_unref (batch);
    }
  const char *malformed[] = {
    "",
    "[]",
    R"({"spec":"x","best_effort":true})",
    R"({"spec":"x","best_effort":true,"steps":[]})",
    R"({"spec":"x","best_effort":true,"steps":[{"count":0}]})",
    R"({"spec":"x","best_effort":true,"steps":[{"count":481}]})",
    R"({"spec":"x","best_effort":true,"steps":[{"count":1,"after":[0]}]})",
    R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":-1}]})",
    R"({"spec":5,"best_effort":true,"steps":[{"count":1}]})",
  };
  for (const char *body : malformed)
    EXPECT_EQ (decode_batch (body, &refusal), nullptr) << body;
}
