#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "net/store_client.h"
}

#include "net_server.h"

#include <algorithm>
#include <map>
#include <memory>
#include <tuple>

namespace
{

struct Reply
{
  dks_store_status_t status;
  int64_t version;
  std::string value;
};

class StoreClient : public ::testing::Test
{
protected:
  // Returns the reply to a request; an empty text closes the connection without a reply. The
  // function is called until TearDown, so that it must not refer to variables of the test body.
  using Answer = std::function<std::string (const HttpRequest &)>;

  void
  start (Answer answer, std::vector<const char *> prefixes = {}, int64_t wait_ms = 300)
  {
    answer_ = std::move (answer);
    server = std::make_unique<NetServer> ([this] (int fd, int) {
      HttpRequest request;
      while (http_read (fd, &request))
        {
          {
            std::lock_guard<std::mutex> lock (mutex);
            requests.push_back (request);
          }
          std::string text = answer_ (request);
          if (text.empty ())
            return;
          net_write (fd, text);
        }
    });
    create (server->url ("/"), prefixes, wait_ms);
  }

  void
  create (const std::string &url, std::vector<const char *> prefixes = {}, int64_t wait_ms = 300)
  {
    dks_store_callbacks_t callbacks = { handle_reply, handle_record, handle_instances, this };
    dks_store_config_t config = {};

    prefixes.push_back (nullptr);
    config.base_url = url.c_str ();
    config.timeout_ms = 300;
    config.watch_wait_ms = wait_ms;
    config.list_interval_ms = 50;
    config.prefixes = prefixes.data ();
    loop = dks_loop_create ();
    client = dks_store_client_create (loop, &config, &callbacks);
  }

  void
  TearDown () override
  {
    dks_store_client_destroy (client);
    dks_loop_destroy (loop);
    server.reset ();
  }

  static void
  handle_reply (void *context, uint64_t op, dks_store_status_t status, int64_t version,
                dks_blob_t *value)
  {
    auto *self = static_cast<StoreClient *> (context);
    EXPECT_FALSE (self->in_client_call) << "callback from within a call";
    EXPECT_EQ (self->replies.count (op), 0U) << "second reply";
    EXPECT_EQ (value != nullptr, status == DKS_STORE_OK && op < 100);
    self->replies[op] = { status, version, text_of (value) };
  }

  static void
  handle_record (void *context, const char *key, int64_t version, dks_blob_t *value)
  {
    static_cast<StoreClient *> (context)->records.emplace_back (key, version, text_of (value));
  }

  static void
  handle_instances (void *context, const dks_listed_instance_t *items, size_t count)
  {
    auto *self = static_cast<StoreClient *> (context);
    self->lists_received++;
    self->instances.assign (items, items + count);
  }

  static std::string
  text_of (const dks_blob_t *blob)
  {
    return blob != nullptr ? std::string (reinterpret_cast<const char *> (blob->data), blob->len)
                           : "";
  }

  // `op` is below 100 for a get and 100 or more for a CAS; handle_reply() relies on it.
  void
  get (uint64_t op, const char *key)
  {
    in_client_call = true;
    dks_store_client_get (client, op, key);
    in_client_call = false;
  }

  void
  cas (uint64_t op, const char *key, int64_t version, const char *value)
  {
    dks_blob_t *blob = dks_blob_create_text (value);

    in_client_call = true;
    dks_store_client_cas (client, op, key, version, blob);
    in_client_call = false;
    dks_blob_unref (blob);
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
  run_until (Condition condition)
  {
    int64_t end = dks_loop_now ().mono_us + 10000000;

    while (!condition () && dks_loop_now ().mono_us < end)
      dks_loop_turn (loop, 10000);
    return condition ();
  }

  // Returns the received requests whose request line contains `part`.
  std::vector<HttpRequest>
  requests_with (const std::string &part)
  {
    std::lock_guard<std::mutex> lock (mutex);
    std::vector<HttpRequest> result;

    for (const HttpRequest &request : requests)
      {
        if (request.line.find (part) != std::string::npos)
          result.push_back (request);
      }
    return result;
  }

  Answer answer_;
  std::unique_ptr<NetServer> server;
  dks_loop_t *loop = nullptr;
  dks_store_client_t *client = nullptr;
  std::mutex mutex;
  std::vector<HttpRequest> requests;
  std::map<uint64_t, Reply> replies;
  std::vector<std::tuple<std::string, int64_t, std::string>> records;
  std::vector<dks_listed_instance_t> instances;
  int lists_received = 0;
  bool in_client_call = false;
};

// Replaces single quotes by double quotes, so that JSON needs no escapes in this file.
std::string
json (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

// Returns a reply with status 200 and the body json (text).
std::string
ok (const std::string &text)
{
  return http_reply (200, json (text));
}

std::string
conflict (const std::string &text)
{
  return http_reply (409, json (text));
}

std::string
item (const std::string &key, int version, const std::string &value)
{
  return "{'key':'" + key + "','version':" + std::to_string (version) + ",'value':'" + value + "'}";
}

bool
line_contains (const HttpRequest &request, const std::string &part)
{
  return request.line.find (part) != std::string::npos;
}

TEST_F (StoreClient, GetReportsEachOutcome)
{
  start ([] (const HttpRequest &request) -> std::string {
    if (line_contains (request, "GET /kv/view/dc1 "))
      return ok ("{'version':12,'value':'{\\'a\\':\\'\\u00e9\\n\\'}'}");
    if (line_contains (request, "/kv/none "))
      return http_reply (404, "{}");
    if (line_contains (request, "/kv/broken "))
      return http_reply (500, "{}");
    if (line_contains (request, "/kv/text "))
      return ok ("{'version':12,'value':'x'");
    if (line_contains (request, "/kv/type "))
      return ok ("{'version':'12','value':'x'}");
    if (line_contains (request, "/kv/null "))
      return ok ("{'version':12,'value':null}");
    if (line_contains (request, "/kv/zero "))
      return ok ("{'version':0,'value':'x'}");
    if (line_contains (request, "/kv/large "))
      return ok ("{'version':1,'value':'" + std::string (1100000, 'x') + "'}");
    if (line_contains (request, "/kv/a%20b%3F%25 "))
      return ok ("{'version':1,'value':''}");
    return "";
  });
  get (1, "view/dc1");
  get (2, "none");
  get (3, "broken");
  get (4, "text");
  get (5, "type");
  get (6, "null");
  get (7, "zero");
  get (8, "lost");
  get (9, "large");
  get (10, "a b?%");
  ASSERT_TRUE (run_until ([&] { return replies.size () == 10; }));
  EXPECT_EQ (replies[1].status, DKS_STORE_OK);
  EXPECT_EQ (replies[1].version, 12);
  EXPECT_EQ (replies[1].value, "{\"a\":\"\xc3\xa9\n\"}");
  EXPECT_EQ (replies[2].status, DKS_STORE_NOT_FOUND);
  for (uint64_t op = 3; op < 10; op++)
    EXPECT_EQ (replies[op].status, DKS_STORE_UNKNOWN) << op;
  EXPECT_EQ (replies[10].status, DKS_STORE_OK);
}

// Guards against a CAS that is reported as OK or CONFLICT although its reply is lost or malformed:
// the write may have taken effect or not, so that only UNKNOWN is true.
TEST_F (StoreClient, CasReportsEachOutcomeAndIsSentOnce)
{
  start ([] (const HttpRequest &request) -> std::string {
    if (line_contains (request, "/kv/ok?"))
      return ok ("{'version':8}");
    if (line_contains (request, "/kv/conflict?"))
      return conflict ("{'version':9}");
    if (line_contains (request, "/kv/gone?"))
      return conflict ("{'version':0}");
    if (line_contains (request, "/kv/text?"))
      return http_reply (200, "done");
    if (line_contains (request, "/kv/old?"))
      return ok ("{'version':7}");
    if (line_contains (request, "/kv/odd?"))
      return http_reply (409, "{}");
    if (line_contains (request, "/kv/same?"))
      return conflict ("{'version':7}");
    if (line_contains (request, "/kv/busy?"))
      return http_reply (503, "{}");
    if (line_contains (request, "/kv/silent?"))
      usleep (500000);
    return "";
  });
  // Leaves an idle connection, so that the client could retry the next call on a new connection.
  cas (100, "ok", 7, "{\"x\":\"\\u0041\"}");
  ASSERT_TRUE (run_until ([&] { return replies.size () == 1; }));
  cas (108, "lost", 7, "v");
  ASSERT_TRUE (run_until ([&] { return replies.size () == 2; }));
  cas (101, "conflict", 7, "v");
  cas (102, "gone", 7, "v");
  cas (103, "text", 7, "v");
  cas (104, "old", 7, "v");
  cas (105, "odd", 7, "v");
  cas (106, "same", 7, "v");
  cas (107, "busy", 7, "v");
  cas (109, "silent", 7, "v");
  ASSERT_TRUE (run_until ([&] { return replies.size () == 10; }));
  EXPECT_EQ (replies[100].status, DKS_STORE_OK);
  EXPECT_EQ (replies[100].version, 8);
  EXPECT_EQ (replies[101].status, DKS_STORE_CONFLICT);
  EXPECT_EQ (replies[101].version, 9);
  EXPECT_EQ (replies[102].status, DKS_STORE_CONFLICT);
  EXPECT_EQ (replies[102].version, 0);
  for (uint64_t op = 103; op < 110; op++)
    EXPECT_EQ (replies[op].status, DKS_STORE_UNKNOWN) << op;
  EXPECT_EQ (requests_with ("PUT ").size (), 10U);
  EXPECT_EQ (requests_with ("PUT /kv/ok?version=7 ")[0].body, "{\"x\":\"\\u0041\"}");
}

TEST_F (StoreClient, UnreachableStoreIsUnknown)
{
  create ("http://127.0.0.1:" + std::to_string (net_free_port ()));
  get (1, "a");
  cas (100, "a", 0, "v");
  ASSERT_TRUE (run_until ([&] { return replies.size () == 2; }));
  EXPECT_EQ (replies[1].status, DKS_STORE_UNKNOWN);
  EXPECT_EQ (replies[100].status, DKS_STORE_UNKNOWN);
}

TEST_F (StoreClient, WatchFollowsRevisions)
{
  auto changed = std::make_shared<std::atomic<bool>> (false);

  start (
      [=] (const HttpRequest &request) -> std::string {
        if (!line_contains (request, "GET /watch?prefix=view/&"))
          return http_reply (200, "[]");
        EXPECT_TRUE (line_contains (request, "&wait_ms=300 "));
        if (line_contains (request, "since=0&"))
          return ok ("{'revision':20,'items':[" + item ("view/dc1", 12, "one") + ","
                     + item ("view/dc2", 20, "two") + "]}");
        if (line_contains (request, "since=20&") && *changed)
          return ok ("{'revision':31,'items':[" + item ("view/dc1", 30, "three") + "]}");
        usleep (300000);
        return ok (line_contains (request, "since=20&") ? "{'revision':20,'items':[]}"
                                                        : "{'revision':31,'items':[]}");
      },
      { "view/" });
  ASSERT_TRUE (run_until ([&] { return records.size () == 2; }));
  EXPECT_EQ (records[0], std::make_tuple (std::string ("view/dc1"), 12L, std::string ("one")));
  EXPECT_EQ (records[1], std::make_tuple (std::string ("view/dc2"), 20L, std::string ("two")));
  *changed = true;
  ASSERT_TRUE (run_until ([&] { return records.size () == 3; }));
  EXPECT_EQ (records[2], std::make_tuple (std::string ("view/dc1"), 30L, std::string ("three")));
  run_for (400);
  EXPECT_EQ (records.size (), 3U);
  EXPECT_FALSE (requests_with ("since=31&").empty ());
}

// Guards against a change that is missed after an error of a watch: only a read from revision 0 is
// sure to return the change.
TEST_F (StoreClient, WatchReadsAllAgainAfterEachKindOfError)
{
  auto errors = std::make_shared<std::atomic<int>> (0);
  const std::vector<std::string> bad = {
    "",
    http_reply (500, "{}"),
    http_reply (200, "not json"),
    ok ("{'items':[]}"),
    ok ("{'revision':21,'items':[{'key':'a','value':'x'}]}"),
    ok ("{'revision':21,'items':[{'key':'a','version':21}]}"),
    ok ("{'revision':19,'items':[" + item ("a", 19, "x") + "]}"),
    ok ("{'revision':20,'items':[" + item ("a", 20, "x") + "]}"),
    ok ("{'revision':20,'items':[]}"),
  };

  start (
      [=] (const HttpRequest &request) -> std::string {
        if (!line_contains (request, "GET /watch?prefix=&"))
          return http_reply (200, "[]");
        if (line_contains (request, "since=0&"))
          return ok ("{'revision':20,'items':[" + item ("a", 20, "x") + "]}");
        if (*errors < static_cast<int> (bad.size ()))
          return bad[static_cast<size_t> ((*errors)++)];
        usleep (300000);
        return ok ("{'revision':20,'items':[]}");
      },
      { "" });
  ASSERT_TRUE (run_until ([&] { return records.size () == bad.size () + 1; }));
  for (const auto &record : records)
    EXPECT_EQ (record, std::make_tuple (std::string ("a"), 20L, std::string ("x")));
  EXPECT_EQ (requests_with ("since=0&").size (), bad.size () + 1);
}

// Guards against calls to a store in an outage without a delay between them, and against a delay
// that grows without bound.
TEST_F (StoreClient, BacksOffWhileTheStoreFails)
{
  auto down = std::make_shared<std::atomic<bool>> (true);

  start (
      [=] (const HttpRequest &request) -> std::string {
        if (*down)
          return "";
        if (line_contains (request, "since=0&"))
          return ok ("{'revision':20,'items':[" + item ("settings", 20, "x") + "]}");
        if (line_contains (request, "/instances"))
          return http_reply (200, "[]");
        usleep (300000);
        return ok ("{'revision':20,'items':[]}");
      },
      { "settings" });
  run_for (5000);
  // The delays begin at 50 to 100 ms and double up to 1 to 2 s.
  EXPECT_GE (requests_with ("/watch").size (), 4U);
  EXPECT_LE (requests_with ("/watch").size (), 11U);
  EXPECT_GE (requests_with ("/instances").size (), 4U);
  EXPECT_LE (requests_with ("/instances").size (), 11U);
  EXPECT_EQ (lists_received, 0);
  *down = false;
  run_for (2500);
  EXPECT_EQ (records.size (), 1U);
  EXPECT_GE (lists_received, 1);
}

TEST_F (StoreClient, RecordsThatNoMessageCanCarryAreIgnored)
{
  start (
      [=] (const HttpRequest &request) -> std::string {
        if (line_contains (request, "since=0&"))
          return ok ("{'revision':3,'items':[" + item (std::string (60, 'k'), 1, "x") + ","
                     + item ("large", 2, std::string (1100000, 'x')) + "," + item ("good", 3, "x")
                     + "]}");
        usleep (300000);
        return ok ("{'revision':3,'items':[]}");
      },
      { "" });
  run_for (600);
  ASSERT_EQ (records.size (), 1U);
  EXPECT_EQ (std::get<0> (records[0]), "good");
}

TEST_F (StoreClient, ListIsReadAgainAndBadRowsAreLeftOut)
{
  auto row = [] (const std::string &id, const std::string &state, const std::string &kind,
                 const std::string &more) {
    return "{'id':'" + id + "','address':'127.0.0.1:9000','data_centre':'dc1','state':'" + state
           + "','kind':'" + kind + "'" + more + "}";
  };
  std::string list =
      "["
      + row ("t1", "leaving", "target", ",'slots':8,'cpus':16,'memory_mb':32768,'accelerators':2")
      + "," + row ("e1", "live", "entry", "") + "," + row ("x1", "?", "entry", "") + ","
      + row ("x2", "live", "worker", "") + "," + row ("", "live", "entry", "") + ","
      + row ("x\\n4", "live", "entry", "") + "," + row ("x5", "live", "target", ",'slots':-1") + ","
      + row ("x6", "live", "target", ",'slots':4294967296") + ","
      + row ("x7", "live", "target", ",'slots':'8'") + ","
      + row (std::string (48, 'x'), "live", "entry", "")
      + ",{'id':'x8','state':'live','kind':'entry'},null,[],'x']";

  start ([=] (const HttpRequest &request) -> std::string { return ok (list); });
  ASSERT_TRUE (run_until ([&] { return lists_received == 3; }));
  ASSERT_EQ (instances.size (), 2U);
  EXPECT_STREQ (instances[0].id, "t1");
  EXPECT_STREQ (instances[0].address, "127.0.0.1:9000");
  EXPECT_STREQ (instances[0].data_centre, "dc1");
  EXPECT_TRUE (instances[0].is_target);
  EXPECT_TRUE (instances[0].leaving);
  EXPECT_EQ (instances[0].slots, 8U);
  EXPECT_EQ (instances[0].cpus, 16U);
  EXPECT_EQ (instances[0].memory_mb, 32768U);
  EXPECT_EQ (instances[0].accelerators, 2U);
  EXPECT_FALSE (instances[1].is_target);
  EXPECT_FALSE (instances[1].leaving);
  EXPECT_EQ (instances[1].slots, 0U);
}

TEST_F (StoreClient, OpenWatchesDoNotDelayCalls)
{
  start (
      [=] (const HttpRequest &request) -> std::string {
        if (line_contains (request, "/kv/"))
          return ok ("{'version':1,'value':'x'}");
        if (line_contains (request, "/watch"))
          usleep (1500000);
        return line_contains (request, "/watch") ? "" : http_reply (200, "[]");
      },
      { "a", "b", "c", "d", "e", "f" }, 2000);
  run_for (100);
  int64_t start_us = dks_loop_now ().mono_us;
  for (uint64_t op = 1; op <= 20; op++)
    get (op, "x");
  ASSERT_TRUE (run_until ([&] { return replies.size () == 20; }));
  EXPECT_LT (dks_loop_now ().mono_us - start_us, 1000000);
  // TearDown destroys the client while its watches are open.
}

} // namespace
