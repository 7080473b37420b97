/* Tests that the stand-ins behave as docs/design.md says, so that a failure of a test that uses
 * them is a fault of the instances and not of the stand-ins. */
#include "cluster.h"

#include <gtest/gtest.h>
#include <thread>

using namespace process;

namespace
{

const char *const one_target_list =
    "[{\"id\":\"t1\",\"address\":\"127.0.0.1:1\",\"data_centre\":\"north\",\"state\":\"live\","
    "\"kind\":\"target\",\"slots\":8,\"cpus\":16,\"memory_mb\":32768,\"accelerators\":0}]";

Reply
run (int port, const std::string &task, int run_ms, std::chrono::milliseconds timeout = DEADLINE)
{
  return http ("POST", "http://127.0.0.1:" + std::to_string (port) + "/run",
               "{\"run_ms\":" + std::to_string (run_ms) + ",\"echo\":\"echo of " + task + "\"}",
               { "Damaskshore-Task: " + task }, timeout);
}

std::string
mode_query (const Targets &targets, const char *name)
{
  return "port=" + std::to_string (targets.port (0)) + "&mode=" + name;
}

}

/* Guards against a store that accepts two writes at one version, or whose versions decrease. */
TEST (PlatformStandin, WritesOnlyAtTheExpectedVersion)
{
  Platform platform ("[]");

  EXPECT_EQ (404, http ("GET", platform.url ("/kv/view/north")).status);
  EXPECT_EQ ("1", http ("PUT", platform.url ("/kv/view/north?version=0"), "one").field ("version"));
  Reply conflict = http ("PUT", platform.url ("/kv/view/north?version=0"), "two");
  EXPECT_EQ (409, conflict.status);
  EXPECT_EQ ("1", conflict.field ("version"));
  EXPECT_EQ ("2", http ("PUT", platform.url ("/kv/settings?version=0"), "{}").field ("version"));
  EXPECT_EQ ("3", http ("PUT", platform.url ("/kv/view/north?version=1"), "two").field ("version"));
  EXPECT_EQ ("two", http ("GET", platform.url ("/kv/view/north")).field ("value"));
  EXPECT_EQ (
      413, http ("PUT", platform.url ("/kv/view/north?version=3"), std::string ((1 << 20) + 1, 'x'))
               .status);
  EXPECT_EQ (1, platform.stat ("conflicts"));
}

/* Guards against a watch that misses a change, or that reports keys with other prefixes. */
TEST (PlatformStandin, WatchAnswersWhenARecordChanges)
{
  Platform platform ("[]");
  Reply changed;

  http ("PUT", platform.url ("/kv/settings?version=0"), "{}");
  std::thread watch (
      [&] { changed = http ("GET", platform.url ("/watch?prefix=view/&since=1&wait_ms=60000")); });
  EXPECT_TRUE (eventually ([&] { return platform.stat ("waiting") == 1; }));
  http ("PUT", platform.url ("/kv/settings?version=1"), "{}");
  EXPECT_EQ (1, platform.stat ("waiting"));
  http ("PUT", platform.url ("/kv/view/north?version=0"), "members");
  watch.join ();
  json_ptr reply = changed.json ();
  const json_t *items = json_object_get (reply.get (), "items");
  ASSERT_EQ (1u, json_array_size (items));
  EXPECT_STREQ ("view/north",
                json_string_value (json_object_get (json_array_get (items, 0), "key")));
  EXPECT_EQ ("3", changed.field ("revision"));
  EXPECT_EQ (1, platform.stat ("watch"));
}

/* Guards against an injected fault that drops the write together with its reply. */
TEST (PlatformStandin, LostReplyTakesEffect)
{
  Platform platform ("[]", { "--lost-percent", "100" });

  EXPECT_TRUE (http ("PUT", platform.url ("/kv/settings?version=0"), "kept").lost);
  EXPECT_EQ ("kept", http ("GET", platform.url ("/kv/settings")).field ("value"));
  EXPECT_EQ (1, platform.stat ("lost"));
  platform.control ("lost_percent=0");
  EXPECT_EQ (200, http ("PUT", platform.url ("/kv/settings?version=1"), "new").status);
}

/* Guards against an injected outage in which calls are still served, or watches keep waiting. */
TEST (PlatformStandin, OutageClosesConnections)
{
  Platform platform ("[]");
  Reply watched;

  std::thread watch (
      [&] { watched = http ("GET", platform.url ("/watch?prefix=&since=0&wait_ms=60000")); });
  EXPECT_TRUE (eventually ([&] { return platform.stat ("waiting") == 1; }));
  platform.control ("down=1");
  watch.join ();
  EXPECT_TRUE (watched.lost);
  EXPECT_TRUE (http ("GET", platform.url ("/kv/settings")).lost);
  EXPECT_TRUE (http ("PUT", platform.url ("/kv/settings?version=0"), "{}").lost);
  platform.control ("down=0");
  EXPECT_EQ (404, http ("GET", platform.url ("/kv/settings")).status);
}

/* Guards against a list of instances that shows changes without the lag, or never shows them. */
TEST (PlatformStandin, ListLagsAndDropsExpiredLeases)
{
  Platform platform (one_target_list, { "--lag-ms", "3600000" });
  auto list = [&] { return http ("GET", platform.url ("/instances")).body; };

  platform.control ("instance=t1&state=leaving");
  EXPECT_NE (std::string::npos, list ().find ("\"live\""));
  platform.control ("lag_ms=0");
  EXPECT_NE (std::string::npos, list ().find ("\"leaving\""));
  EXPECT_EQ (200, http ("POST", platform.url ("/lease?id=t1&ttl_ms=1")).status);
  EXPECT_TRUE (eventually ([&] { return list () == "[]"; }));
}

/* Guards against a target that runs more tasks than it has slots or miscounts starts. */
TEST (TargetStandin, RefusesBeyondItsSlots)
{
  Targets targets (2, 1);
  Reply first;

  std::thread running ([&] { first = run (targets.port (0), "a/0", 600000); });
  EXPECT_TRUE (eventually ([&] { return targets.stat ("busy") == 1; }));
  Reply refused = run (targets.port (0), "b/0", 1);
  EXPECT_EQ (503, refused.status);
  EXPECT_EQ ("1", refused.headers["damaskshore-not-run"]);
  Reply other = run (targets.port (1), "b/0", 1);
  EXPECT_EQ (200, other.status);
  EXPECT_EQ ("echo of b/0", other.body);
  run (targets.port (1), "b/0", 1);
  targets.control (mode_query (targets, "crash"));
  running.join ();
  EXPECT_TRUE (first.lost);
  std::map<std::string, int> starts = targets.starts ();
  EXPECT_EQ (1, starts["a/0"]);
  EXPECT_EQ (2, starts["b/0"]);
  EXPECT_EQ (1, targets.stat ("refused"));
  EXPECT_EQ (1, targets.stat ("repeated_starts"));
}

/* Guards against a slot that stays busy after the caller has closed the connection. */
TEST (TargetStandin, ClosedConnectionFreesTheSlot)
{
  Targets targets (1, 1);

  EXPECT_TRUE (run (targets.port (0), "a/0", 600000, std::chrono::milliseconds (300)).lost);
  EXPECT_TRUE (eventually ([&] { return targets.stat ("busy") == 0; }));
  EXPECT_EQ (1, targets.stat ("aborted"));
}

/* Guards against a mode that does not behave as its name says. */
TEST (TargetStandin, Modes)
{
  Targets targets (1, 8);
  int port = targets.port (0);

  targets.control (mode_query (targets, "fail"));
  EXPECT_EQ (500, run (port, "fail/0", 1).status);
  targets.control (mode_query (targets, "refuse"));
  EXPECT_EQ ("1", run (port, "refuse/0", 1).headers["damaskshore-not-run"]);
  targets.control (mode_query (targets, "leaving"));
  Reply leaving = run (port, "leaving/0", 1);
  EXPECT_EQ (503, leaving.status);
  EXPECT_EQ ("1", leaving.headers["damaskshore-not-run"]);
  EXPECT_EQ ("1", leaving.headers["damaskshore-leaving"]);
  EXPECT_EQ (1, targets.stat ("leaving_attempts"));
  EXPECT_EQ (0, targets.stat ("leaving_starts"));
  targets.control (mode_query (targets, "leaving-silent"));
  EXPECT_EQ (200, run (port, "silent/0", 1).status);
  EXPECT_EQ (1, targets.stat ("leaving_starts"));
  targets.control (mode_query (targets, "freeze"));
  EXPECT_TRUE (run (port, "freeze/0", 1, std::chrono::milliseconds (300)).lost);
  targets.control (mode_query (targets, "crash"));
  Reply closed = run (port, "crash/0", 1);
  EXPECT_EQ (0, closed.status);
  EXPECT_FALSE (closed.lost);
  targets.control (mode_query (targets, "slow") + "&factor=3");
  EXPECT_EQ (200, run (port, "slow/0", 1).status);
  targets.control (mode_query (targets, "normal"));
  EXPECT_EQ (200, run (port, "normal/0", 1).status);
}
