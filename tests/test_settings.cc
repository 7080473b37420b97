#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "core/settings.h"
}

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

using Settings = std::unique_ptr<dks_settings_t, decltype (&dks_settings_unref)>;

Settings
own (dks_settings_t *settings)
{
  return Settings (settings, dks_settings_unref);
}

// Returns `text`, JSON in which single quotes stand for double quotes. Raw strings are not used
// because the formatter, set to an earlier C++ standard, breaks them.
std::string
json (std::string text)
{
  std::replace (text.begin (), text.end (), '\'', '"');
  return text;
}

std::string
format (const dks_settings_t *settings)
{
  dks_blob_t *blob = dks_settings_format (settings);
  std::string text (reinterpret_cast<const char *> (blob->data), blob->len);

  dks_blob_unref (blob);
  return text;
}

int
parse (const std::string &json, Settings *settings, std::string *detail)
{
  dks_settings_t *parsed = nullptr;
  char buffer[DKS_TEXT_SIZE];
  int error = dks_settings_parse (json.data (), json.size (), &parsed, buffer);

  *settings = own (parsed);
  *detail = buffer;
  return error;
}

dks_settings_edit_t
edit (const std::string &path, const std::string &name, int64_t value, bool unset = false)
{
  static int serial = 0;
  dks_settings_edit_t result = {};

  snprintf (result.id, sizeof (result.id), "change-%d", ++serial);
  snprintf (result.actor, sizeof (result.actor), "alice");
  snprintf (result.path, sizeof (result.path), "%s", path.c_str ());
  snprintf (result.name, sizeof (result.name), "%s", name.c_str ());
  result.value = value;
  result.unset = unset;
  return result;
}

int
apply (const Settings &settings, const dks_settings_edit_t &change, Settings *result,
       std::string *detail)
{
  dks_settings_t *applied = nullptr;
  char buffer[DKS_TEXT_SIZE];
  int error = dks_settings_apply (settings.get (), &change, 1764800000123, &applied, buffer);

  *result = own (applied);
  *detail = buffer;
  return error;
}

Settings
with_override (const Settings &settings, const std::string &path, const std::string &name,
               int64_t value)
{
  Settings result = own (nullptr);
  std::string detail;

  EXPECT_EQ (apply (settings, edit (path, name, value), &result, &detail), DKS_OK) << detail;
  return result;
}

TEST (Settings, EmptyTreeHasDefaults)
{
  Settings settings = own (dks_settings_create ());
  dks_settings_values_t values;

  dks_settings_resolve (settings.get (), "words", "dc1", "", &values);
#define EXPECT_DEFAULT(field, name, value, min, max, help) EXPECT_EQ (values.field, value) << name;
  DKS_SETTINGS (EXPECT_DEFAULT)
#undef EXPECT_DEFAULT
  EXPECT_EQ (dks_settings_version (settings.get ()), 0);
  EXPECT_EQ (format (settings.get ()), json ("{'version':0,'overrides':{},'history':[]}"));
}

// With a default out of range, an operator could not set that value, and a record that contains it
// would be refused.
TEST (Settings, DefaultsAreInRange)
{
#define EXPECT_IN_RANGE(field, name, value, min, max, help)                                        \
  EXPECT_GE (value, min) << name;                                                                  \
  EXPECT_LE (value, max) << name;
  DKS_SETTINGS (EXPECT_IN_RANGE)
#undef EXPECT_IN_RANGE
}

TEST (Settings, LowerLevelsOverrideAndInherit)
{
  Settings settings = own (dks_settings_create ());
  dks_settings_values_t values;

  settings = with_override (settings, "/", "team_weight", 2);
  settings = with_override (settings, "/", "queue_limit", 20);
  settings = with_override (settings, "/words", "team_weight", 3);
  settings = with_override (settings, "/words/dc1", "team_weight", 4);
  settings = with_override (settings, "/words/dc1/job", "team_weight", 5);
  dks_settings_resolve (settings.get (), "", "", "", &values);
  EXPECT_EQ (values.team_weight, 2);
  dks_settings_resolve (settings.get (), "words", "", "job", &values);
  EXPECT_EQ (values.team_weight, 3);
  dks_settings_resolve (settings.get (), "words", "dc1", "other", &values);
  EXPECT_EQ (values.team_weight, 4);
  dks_settings_resolve (settings.get (), "words", "dc1", "job", &values);
  EXPECT_EQ (values.team_weight, 5);
  EXPECT_EQ (values.queue_limit, 20);
  dks_settings_resolve (settings.get (), "roast", "dc1", "job", &values);
  EXPECT_EQ (values.team_weight, 2);
}

// A service named "words/dc1" must not get the values of data centre dc1 of service "words".
TEST (Settings, NameWithSlashMatchesNoOtherLevel)
{
  Settings settings = own (dks_settings_create ());
  dks_settings_values_t values;

  settings = with_override (settings, "/words/dc1", "team_weight", 4);
  dks_settings_resolve (settings.get (), "words/dc1", "", "", &values);
  EXPECT_EQ (values.team_weight, 100);
  dks_settings_resolve (settings.get (), std::string (1000, 'a').c_str (), "b", "c", &values);
  EXPECT_EQ (values.team_weight, 100);
}

// The old tree stays in use while the new one is being written to the store, so an edit must not
// change the old tree.
TEST (Settings, ApplyLeavesOldTreeUntouched)
{
  Settings old = with_override (own (dks_settings_create ()), "/words", "team_weight", 3);
  std::string before = format (old.get ());
  Settings next = own (nullptr);
  std::string detail;

  next = with_override (old, "/words", "team_weight", 4);
  EXPECT_EQ (dks_settings_version (next.get ()), 2);
  ASSERT_EQ (apply (old, edit ("/words", "team_weight", 0, true), &next, &detail), DKS_OK);
  EXPECT_EQ (format (old.get ()), before);
}

TEST (Settings, UnsetRestoresInheritedValue)
{
  Settings settings = own (dks_settings_create ());
  Settings result = own (nullptr);
  std::string detail;
  dks_settings_values_t values;

  settings = with_override (settings, "/", "team_weight", 2);
  settings = with_override (settings, "/words", "team_weight", 3);
  ASSERT_EQ (apply (settings, edit ("/words", "team_weight", 0, true), &result, &detail), DKS_OK);
  dks_settings_resolve (result.get (), "words", "", "", &values);
  EXPECT_EQ (values.team_weight, 2);
  EXPECT_EQ (format (result.get ()).find (json ("'/words':")), std::string::npos);
  const dks_settings_change_t *change = dks_settings_change (result.get (), 2);
  EXPECT_STREQ (change->from, "3");
  EXPECT_STREQ (change->to, "");

  settings = std::move (result);
  EXPECT_EQ (apply (settings, edit ("/words", "team_weight", 0, true), &result, &detail),
             DKS_ERR_NOT_FOUND);
  EXPECT_EQ (detail, "/words: team_weight is not overridden here");
  EXPECT_EQ (result, nullptr);
}

TEST (Settings, ApplyRefusesBadEdits)
{
  Settings settings = own (dks_settings_create ());
  Settings result = own (nullptr);
  std::string detail;
  dks_settings_edit_t bad;

  for (const char *path : { "", "words", "//", "/words/", "/a//b", "/a/b/c/d", "/a b", "/..", "/.",
                            "/a/../b", "/\xc3\xa9", "/a\nb" })
    {
      EXPECT_EQ (apply (settings, edit (path, "team_weight", 3), &result, &detail), DKS_ERR_INVALID)
          << path;
      EXPECT_NE (detail.find ("bad path"), std::string::npos) << detail;
      EXPECT_EQ (detail.find ('\n'), std::string::npos);
    }
  EXPECT_EQ (
      apply (settings, edit ("/" + std::string (48, 'a'), "team_weight", 3), &result, &detail),
      DKS_ERR_INVALID);
  EXPECT_EQ (apply (settings, edit ("/a", "colour", 3), &result, &detail), DKS_ERR_INVALID);
  EXPECT_EQ (detail, "/a: unknown setting colour");
  EXPECT_EQ (apply (settings, edit ("/a", "team_weight", 0), &result, &detail), DKS_ERR_INVALID);
  EXPECT_EQ (detail, "/a: team_weight must be 1 to 10000, not 0");
  bad = edit ("/a", "team_weight", 3);
  bad.actor[0] = '\0';
  EXPECT_EQ (apply (settings, bad, &result, &detail), DKS_ERR_INVALID);
  bad = edit ("/a", "team_weight", 3);
  bad.id[0] = '\0';
  EXPECT_EQ (apply (settings, bad, &result, &detail), DKS_ERR_INVALID);
  bad = edit ("/a", "team_weight", 3);
  bad.actor[0] = '\xff';
  EXPECT_EQ (apply (settings, bad, &result, &detail), DKS_ERR_INVALID);
}

// Equal trees must give equal bytes whatever the order of the edits.
TEST (Settings, OutputIsStable)
{
  Settings a = own (dks_settings_create ());
  Settings b = own (dks_settings_create ());
  auto overrides = [] (const Settings &settings) {
    std::string text = format (settings.get ());
    return text.substr (0, text.find (json (",'history'")));
  };

  for (const char *path : { "/", "/b", "/a/dc2", "/a" })
    a = with_override (with_override (a, path, "team_weight", 7), path, "queue_limit", 9);
  for (const char *path : { "/a", "/a/dc2", "/", "/b" })
    b = with_override (with_override (b, path, "queue_limit", 9), path, "team_weight", 7);
  EXPECT_EQ (overrides (a), overrides (b));
  EXPECT_EQ (overrides (a).find (
                 json ("{'version':8,'overrides':{'/':{'queue_limit':9,'team_weight':7},'/a'")),
             0u);
}

TEST (Settings, RoundTripKeepsEverything)
{
  Settings settings = own (dks_settings_create ());
  Settings parsed = own (nullptr);
  std::string detail;

  settings = with_override (settings, "/", "hedge_percent", 5);
  settings = with_override (settings, "/words/dc-1/a_b.c", "team_quota", 0);
  settings = with_override (settings, "/", "hedge_percent", 6);
  ASSERT_EQ (parse (format (settings.get ()), &parsed, &detail), DKS_OK) << detail;
  EXPECT_EQ (format (parsed.get ()), format (settings.get ()));
  ASSERT_EQ (dks_settings_change_count (parsed.get ()), 3u);
  const dks_settings_change_t *change = dks_settings_change (parsed.get (), 2);
  EXPECT_EQ (change->version, 3);
  EXPECT_EQ (change->at_ms, 1764800000123);
  EXPECT_STREQ (change->actor, "alice");
  EXPECT_STREQ (change->path, "/");
  EXPECT_STREQ (change->name, "hedge_percent");
  EXPECT_STREQ (change->from, "5");
  EXPECT_STREQ (change->to, "6");
  EXPECT_TRUE (dks_settings_has_change (parsed.get (), change->id));
  EXPECT_FALSE (dks_settings_has_change (parsed.get (), "no-such-change"));
}

// The record has a bounded size, so the history must be bounded as well.
TEST (Settings, HistoryIsBounded)
{
  Settings settings = own (dks_settings_create ());
  Settings parsed = own (nullptr);
  std::string detail;

  for (int i = 0; i < DKS_SETTINGS_HISTORY_MAX + 7; i++)
    settings = with_override (settings, "/words", "team_weight", i + 1);
  ASSERT_EQ (dks_settings_change_count (settings.get ()), size_t (DKS_SETTINGS_HISTORY_MAX));
  EXPECT_EQ (dks_settings_change (settings.get (), 0)->version, 8);
  EXPECT_EQ (dks_settings_change (settings.get (), DKS_SETTINGS_HISTORY_MAX - 1)->version,
             DKS_SETTINGS_HISTORY_MAX + 7);
  EXPECT_EQ (parse (format (settings.get ()), &parsed, &detail), DKS_OK) << detail;
}

// The platform refuses values above 1 MB, so an edit must not produce a larger record.
TEST (Settings, RecordSizeIsBounded)
{
  std::string record = json ("{'version':0,'overrides':{");
  Settings settings = own (nullptr);
  Settings result = own (nullptr);
  std::string detail;
  int error = DKS_OK;

  for (int i = 0; record.size () < DKS_SETTINGS_RECORD_MAX - 200; i++)
    record += "\"/s" + std::to_string (i) + "\":{\"team_weight\":1},";
  record.back () = '}';
  record += json (",'history':[]}");
  ASSERT_EQ (parse (record, &settings, &detail), DKS_OK) << detail;
  for (int i = 0; i < 3 && error == DKS_OK; i++)
    {
      error =
          apply (settings, edit ("/x" + std::to_string (i), "team_weight", 1), &result, &detail);
      if (error == DKS_OK)
        settings = std::move (result);
    }
  EXPECT_EQ (error, DKS_ERR_TOO_LARGE);
  EXPECT_NE (detail.find ("would exceed"), std::string::npos) << detail;
  EXPECT_EQ (parse (record + std::string (DKS_SETTINGS_RECORD_MAX, ' '), &settings, &detail),
             DKS_ERR_TOO_LARGE);
}

TEST (Settings, ParseRefusesBadRecordsAndNamesTheReason)
{
  const std::string change =
      json ("{'version':1,'at_ms':5,'id':'i','actor':'a','path':'/','name':'team_weight',"
            "'from':'','to':'3'}");
  auto record_with_overrides = [] (const std::string &overrides) {
    return json ("{'version':1,'overrides':") + overrides + json (",'history':[]}");
  };
  auto record_with_change = [&change] (const std::string &from, const std::string &to) {
    std::string text = change;
    size_t at = text.find (from);
    EXPECT_NE (at, std::string::npos) << from;
    return json ("{'version':1,'overrides':{},'history':[") + text.replace (at, from.size (), to)
           + "]}";
  };
  const std::vector<std::pair<std::string, std::string>> cases = {
    { "", "record: line 1" },
    { "[]", "record: must be an object" },
    { "{}", "record: field version is missing" },
    { json ("{'version':1,'overrides':{},'history':[]} x"), "record: line 1" },
    { json ("{'version':1,'version':2,'overrides':{},'history':[]}"), "record: line 1" },
    { json ("{'version':1,'overrides':{},'history':[],'colour':1}"),
      "record: unknown field colour" },
    { json ("{'version':-1,'overrides':{},'history':[]}"), "record: version must be" },
    { json ("{'version':1.0,'overrides':{},'history':[]}"), "record: version must be" },
    { json ("{'version':'1','overrides':{},'history':[]}"), "record: version must be" },
    { json ("{'version':9007199254740993,'overrides':{},'history':[]}"),
      "record: version must be" },
    { json ("{'version':1,'overrides':[],'history':[]}"), "overrides: must be an object" },
    { json ("{'version':1,'overrides':{},'history':{}}"), "history: must be an array" },
    { record_with_overrides (json ("{'words':{}}")), "words: bad path" },
    { record_with_overrides (json ("{'/a/b/c/d':{}}")), "/a/b/c/d: bad path; at most 3" },
    { record_with_overrides (json ("{'/a/':{}}")), "/a/: bad path" },
    { record_with_overrides (json ("{'/a':3}")), "/a: must be an object" },
    { record_with_overrides (json ("{'/a':{'colour':3}}")), "/a: unknown setting colour" },
    { record_with_overrides (json ("{'/a':{'team_weight':'3'}}")),
      "/a: team_weight must be an integer" },
    { record_with_overrides (json ("{'/a':{'team_weight':3.5}}")),
      "/a: team_weight must be an integer" },
    { record_with_overrides (json ("{'/a':{'team_weight':null}}")),
      "/a: team_weight must be an integer" },
    { record_with_overrides (json ("{'/a':{'team_weight':10001}}")),
      "/a: team_weight must be 1 to 10000" },
    { record_with_change (json ("'version':1"), json ("'version':2")),
      "history[0]: versions must rise" },
    { record_with_change (json ("'at_ms':5"), json ("'at_ms':-5")), "history[0]: at_ms must be" },
    { record_with_change (json ("'id':'i'"), json ("'id':''")), "history[0]: id and actor" },
    { record_with_change (json ("'actor':'a'"), json ("'actor':'a\\n'")),
      "history[0]: id and actor" },
    { record_with_change (json ("'actor':'a',"), ""), "history[0]: field actor is missing" },
    { record_with_change (json ("'actor':'a'"), json ("'actor':'a','b':1")),
      "history[0]: unknown field b" },
    { record_with_change (json ("'path':'/'"), json ("'path':'a'")), "a: bad path" },
    { record_with_change (json ("'to':'3'"), json ("'to':3")), "history[0]: to must be a string" },
    { record_with_change (json ("'to':'3'"), json ("'to':'03'")), "history[0]: from and to" },
    { record_with_change (json ("'to':'3'"), json ("'to':''")), "history[0]: from and to" },
  };
  Settings settings = own (nullptr);
  std::string detail;

  EXPECT_EQ (parse (record_with_change ("3", "4"), &settings, &detail), DKS_OK) << detail;
  for (const auto &[record, reason] : cases)
    {
      EXPECT_EQ (parse (record, &settings, &detail), DKS_ERR_INVALID) << record;
      EXPECT_EQ (settings, nullptr);
      EXPECT_EQ (detail.rfind (reason, 0), 0u) << record << "\n" << detail;
    }
  std::string long_history = json ("{'version':201,'overrides':{},'history':[");
  for (int i = 1; i <= 201; i++)
    long_history +=
        (i > 1 ? "," : "")
        + std::string (change).replace (change.find (":1,"), 3, ":" + std::to_string (i) + ",");
  EXPECT_EQ (parse (long_history + "]}", &settings, &detail), DKS_ERR_INVALID);
  EXPECT_EQ (detail, "history: must be an array of at most 200 changes");
}

// The record comes from outside the process: damaged bytes must be refused or give a tree that is
// valid, and must never crash or hang the parser.
TEST (Settings, MutatedRecordsAreRefusedOrValid)
{
  const char alphabet[] = "{}[]\",:/-.0123456789\\abtrue \n\xff";
  Settings settings = own (dks_settings_create ());
  std::string base;
  int accepted = 0;

  settings = with_override (settings, "/", "hedge_percent", 5);
  settings = with_override (settings, "/words/dc1", "team_quota", 50);
  settings = with_override (settings, "/words/dc1/job", "queue_limit", 60);
  base = format (settings.get ());
  for (unsigned seed = 1; seed <= 20000; seed++)
    {
      std::mt19937 random (seed);
      std::string text = base;
      std::string detail;
      Settings parsed = own (nullptr);
      Settings again = own (nullptr);

      for (unsigned i = 0, count = 1 + random () % 3; i < count && !text.empty (); i++)
        {
          size_t at = random () % text.size ();
          char c = alphabet[random () % (sizeof (alphabet) - 1)];

          switch (random () % 5)
            {
            case 0:
              text[at] = c;
              break;
            case 1:
              text.insert (at, 1, c);
              break;
            case 2:
              text.erase (at, 1 + random () % 4);
              break;
            case 3:
              text.insert (at, text.substr (random () % text.size (), random () % 40));
              break;
            default:
              text.resize (at);
              break;
            }
        }
      int error = parse (text, &parsed, &detail);
      if (error != DKS_OK)
        {
          ASSERT_EQ (parsed, nullptr) << "seed " << seed;
          ASSERT_FALSE (detail.empty ()) << "seed " << seed;
          continue;
        }
      accepted++;
      std::string canonical = format (parsed.get ());
      ASSERT_EQ (parse (canonical, &again, &detail), DKS_OK) << "seed " << seed << ": " << detail;
      ASSERT_EQ (format (again.get ()), canonical) << "seed " << seed;
    }
  EXPECT_GT (accepted, 0);
  EXPECT_LT (accepted, 20000);
}

} // namespace
