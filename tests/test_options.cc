#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "damaskshored/options.h"
#include "net/address.h"
}

#include <map>
#include <string>
#include <vector>

namespace
{

std::map<std::string, std::string> environment;

const char *
read_environment (const char *name)
{
  auto found = environment.find (name);

  return found != environment.end () ? found->second.c_str () : nullptr;
}

class Options : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    environment.clear ();
  }

  int
  parse (std::vector<std::string> args)
  {
    std::vector<char *> argv;

    args.insert (args.begin (), "damaskshored");
    for (auto &arg : args)
      argv.push_back (&arg[0]);
    argv.push_back (nullptr);
    return dks_options_parse (static_cast<int> (args.size ()), argv.data (), read_environment,
                              &options, error);
  }

  int
  parse_with (const std::vector<std::string> &more)
  {
    std::vector<std::string> args = { "--id",           "e1",
                                      "--data-centre",  "dc1",
                                      "--platform-url", "http://127.0.0.1:8500" };

    args.insert (args.end (), more.begin (), more.end ());
    return parse (args);
  }

  dks_options_t options;
  char error[DKS_OPTIONS_ERROR_SIZE];
};

TEST_F (Options, FillsInDefaults)
{
  dks_config_t defaults;

  dks_config_init (&defaults);
  ASSERT_EQ (parse_with ({}), DKS_OK) << error;
  EXPECT_EQ (options.mode, DKS_MODE_RUN);
  EXPECT_STREQ (options.config.id, "e1");
  EXPECT_STREQ (options.config.data_centre, "dc1");
  ASSERT_EQ (options.config.data_centre_count, 1u);
  EXPECT_STREQ (options.config.data_centres[0], "dc1");
  EXPECT_STREQ (options.config.address, "127.0.0.1:8081");
  EXPECT_STREQ (options.http_address, "127.0.0.1:8080");
  EXPECT_STREQ (options.platform_url, "http://127.0.0.1:8500");
  EXPECT_EQ (options.target_connections, 60u);
  EXPECT_EQ (options.config.heartbeat_us, defaults.heartbeat_us);
  EXPECT_EQ (options.config.ceiling_ms, defaults.ceiling_ms);
  EXPECT_EQ (options.log_level, DKS_LOG_INFO);
  EXPECT_NE (options.config.incarnation, 0u);
  EXPECT_NE (options.config.seed, 0u);
}

// Guards against a value that is written to the wrong field or in the wrong unit.
TEST_F (Options, SetsEveryField)
{
  ASSERT_EQ (parse_with ({ "--http-address",
                           "0.0.0.0:80",
                           "--peer-address",
                           "[::1]:81",
                           "--data-centres",
                           "dc0,dc1",
                           "--target-connections",
                           "1",
                           "--http-connections",
                           "2",
                           "--http-idle-timeout-s",
                           "3",
                           "--deadline-default-ms",
                           "400",
                           "--heartbeat-ms",
                           "50",
                           "--failure-timeout-ms",
                           "600",
                           "--ceiling-ms",
                           "70000",
                           "--retention-ms",
                           "80000",
                           "--clock-skew-ms",
                           "9",
                           "--claims-max",
                           "16",
                           "--incarnation",
                           "17",
                           "--seed",
                           "18",
                           "--log-level",
                           "debug",
                           "--validate" }),
             DKS_OK)
      << error;
  EXPECT_EQ (options.mode, DKS_MODE_VALIDATE);
  EXPECT_STREQ (options.http_address, "0.0.0.0:80");
  EXPECT_STREQ (options.config.address, "[::1]:81");
  ASSERT_EQ (options.config.data_centre_count, 2u);
  EXPECT_STREQ (options.config.data_centres[0], "dc0");
  EXPECT_EQ (options.target_connections, 1u);
  EXPECT_EQ (options.http_connections, 2u);
  EXPECT_EQ (options.http_idle_timeout_s, 3u);
  EXPECT_EQ (options.deadline_default_ms, 400);
  EXPECT_EQ (options.config.heartbeat_us, 50000);
  EXPECT_EQ (options.config.failure_timeout_us, 600000);
  EXPECT_EQ (options.config.ceiling_ms, 70000);
  EXPECT_EQ (options.config.retention_ms, 80000);
  EXPECT_EQ (options.config.clock_skew_ms, 9);
  EXPECT_EQ (options.config.claims_max, 16u);
  EXPECT_EQ (options.config.incarnation, 17u);
  EXPECT_EQ (options.config.seed, 18u);
  EXPECT_EQ (options.log_level, DKS_LOG_DEBUG);
}

TEST_F (Options, FlagsOverrideTheEnvironment)
{
  environment["DAMASKSHORE_ID"] = "env-id";
  environment["DAMASKSHORE_DATA_CENTRE"] = "env-dc";
  environment["DAMASKSHORE_PLATFORM_URL"] = "http://10.0.0.1:1/";
  environment["DAMASKSHORE_HTTP_CONNECTIONS"] = "7";
  ASSERT_EQ (parse ({ "--data-centre", "dc1" }), DKS_OK) << error;
  EXPECT_STREQ (options.config.id, "env-id");
  EXPECT_STREQ (options.config.data_centre, "dc1");
  EXPECT_STREQ (options.platform_url, "http://10.0.0.1:1");
  EXPECT_EQ (options.http_connections, 7u);
}

// Guards against invalid values that are accepted and fail later, and against error messages that
// do not name the flag, the value or the allowed values.
TEST_F (Options, RejectsInvalidValues)
{
  static const struct
  {
    const char *flag;
    const char *value;
    const char *allowed;
  } rows[] = {
    { "--id", "", "1 to 30" },
    { "--id", "a#b", "1 to 30" },
    { "--id", "1234567890123456789012345678901", "1 to 30" },
    { "--data-centre", "a b", "1 to 47" },
    { "--data-centre", "a/b", "1 to 47" },
    { "--data-centre", "dc9", "--data-centres" },
    { "--data-centres", "", "1 to 16" },
    { "--data-centres", "dc1,", "1 to 16" },
    { "--data-centres", "dc1,dc1", "1 to 16" },
    { "--data-centres", "1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,dc1", "1 to 16" },
    { "--http-address", "localhost:80", "numeric" },
    { "--http-address", "127.0.0.1", "numeric" },
    { "--http-address", "127.0.0.1:0", "numeric" },
    { "--http-address", "127.0.0.1:65536", "numeric" },
    { "--http-address", "127.0.0.1:+80", "numeric" },
    { "--http-address", "::1:80", "numeric" },
    { "--peer-address", "0.0.0.0:81", "wildcard" },
    { "--peer-address", "[::]:81", "wildcard" },
    { "--peer-address", "127.0.0.1:8080", "--http-address" },
    { "--platform-url", "127.0.0.1:8500", "http://" },
    { "--platform-url", "https://127.0.0.1", "http://" },
    { "--platform-url", "http://platform:8500", "http://" },
    { "--platform-url", "http://127.0.0.1/kv", "http://" },
    { "--platform-url", "http://127.0.0.1/?a", "http://" },
    { "--platform-url", "http://u@127.0.0.1/", "http://" },
    { "--target-connections", "0", "1 to 1024" },
    { "--target-connections", "1025", "1 to 1024" },
    { "--target-connections", "1x", "1 to 1024" },
    { "--target-connections", "-1", "1 to 1024" },
    { "--target-connections", " 1", "1 to 1024" },
    { "--target-connections", "", "1 to 1024" },
    { "--target-connections", "99999999999999999999", "1 to 1024" },
    { "--http-connections", "0", "1 to 60000" },
    { "--http-idle-timeout-s", "0", "1 to 3600" },
    { "--deadline-default-ms", "9", "10 to 3600000" },
    { "--heartbeat-ms", "9", "10 to 10000" },
    { "--failure-timeout-ms", "60001", "30 to 60000" },
    { "--failure-timeout-ms", "599", "600" },
    { "--ceiling-ms", "59999", "60000 to" },
    { "--retention-ms", "9999", "10000 to" },
    { "--clock-skew-ms", "0", "1 to 60000" },
    { "--claims-max", "15", "16 to" },
    { "--seed", "-1", "0 to" },
    { "--log-level", "verbose", "debug" },
  };

  for (const auto &row : rows)
    {
      std::vector<std::string> args;
      std::map<std::string, std::string> values = { { "--id", "e1" },
                                                    { "--data-centre", "dc1" },
                                                    { "--platform-url", "http://127.0.0.1:1" } };
      std::string name = "DAMASKSHORE_";

      if (strcmp (row.value, "dc9") == 0)
        values["--data-centres"] = "dc1,dc2";
      values[row.flag] = row.value;
      for (const auto &value : values)
        {
          args.push_back (value.first);
          args.push_back (value.second);
        }
      EXPECT_EQ (parse (args), DKS_ERR_INVALID) << row.flag << " " << row.value;
      EXPECT_NE (std::string (error).find (row.flag), std::string::npos) << error;
      EXPECT_NE (std::string (error).find (std::string ("\"") + row.value + "\""),
                 std::string::npos)
          << error;
      EXPECT_NE (std::string (error).find (row.allowed), std::string::npos) << error;

      /* The same value from the environment must be rejected too, with an error that names the
       * flag. */
      args.clear ();
      environment.clear ();
      values.erase (row.flag);
      for (const auto &value : values)
        {
          args.push_back (value.first);
          args.push_back (value.second);
        }
      for (const char *c = row.flag + 2; *c != '\0'; c++)
        name += static_cast<char> (*c == '-' ? '_' : toupper (*c));
      environment[name] = row.value;
      EXPECT_EQ (parse (args), DKS_ERR_INVALID) << name << " " << row.value;
      EXPECT_NE (std::string (error).find (row.flag), std::string::npos) << error;
      environment.clear ();
    }
}

TEST_F (Options, RejectsMissingAndUnknownFlags)
{
  EXPECT_EQ (parse ({ "--data-centre", "dc1", "--platform-url", "http://127.0.0.1:1" }),
             DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("--id"), std::string::npos) << error;
  EXPECT_EQ (parse ({ "--id", "e1", "--data-centre", "dc1" }), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("--platform-url"), std::string::npos) << error;
  EXPECT_EQ (parse_with ({ "--no-such-flag" }), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("no-such-flag"), std::string::npos) << error;
  EXPECT_EQ (std::string (error).find ("damaskshored"), std::string::npos) << error;
  EXPECT_EQ (parse_with ({ "--seed", "1", "--seed", "2" }), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("--seed"), std::string::npos) << error;
  EXPECT_EQ (parse_with ({ "extra" }), DKS_ERR_INVALID);
  EXPECT_NE (error[0], '\0');
}

TEST_F (Options, HelpAndVersionNeedNoOtherValue)
{
  EXPECT_EQ (parse ({ "--help" }), DKS_OK);
  EXPECT_EQ (options.mode, DKS_MODE_HELP);
  EXPECT_EQ (parse ({ "--version" }), DKS_OK);
  EXPECT_EQ (options.mode, DKS_MODE_VERSION);
}

TEST_F (Options, SeedsHaveTheirOwnPortOrThatOfThePeerAddress)
{
  const std::vector<std::string> leased = { "--targets=leased", "--front-address=127.0.0.1:1",
                                            "--ready-address=127.0.0.1:2",
                                            "--peer-address=127.0.0.1:3" };
  std::vector<std::string> args = leased;

  args.push_back ("--seeds=127.0.0.2,127.0.0.3:4");
  ASSERT_EQ (parse_with (args), DKS_OK) << error;
  ASSERT_EQ (options.config.seed_address_count, 2U);
  EXPECT_STREQ (options.config.seed_addresses[0], "127.0.0.2:3");
  EXPECT_STREQ (options.config.seed_addresses[1], "127.0.0.3:4");
  args.back () = "--seeds=127.0.0.2,host:4";
  EXPECT_EQ (parse_with (args), DKS_ERR_INVALID);
}

// Guards against two starts with the same incarnation: the instance would take claims of its
// earlier start for its own.
TEST_F (Options, IncarnationAndSeedDifferBetweenStarts)
{
  ASSERT_EQ (parse_with ({}), DKS_OK);
  uint64_t incarnation = options.config.incarnation;
  uint64_t seed = options.config.seed;
  usleep (10);
  ASSERT_EQ (parse_with ({}), DKS_OK);
  EXPECT_GT (options.config.incarnation, incarnation);
  EXPECT_NE (options.config.seed, seed);
}

class OptionsFile : public Options
{
protected:
  void
  TearDown () override
  {
    unlink (path.c_str ());
  }

  int
  parse_file (const std::string &text, std::vector<std::string> more = {})
  {
    FILE *stream = fopen (path.c_str (), "w");

    fputs (text.c_str (), stream);
    fclose (stream);
    more.push_back ("--settings=" + path);
    return parse_with (more);
  }

  const std::string path = "options-file-" + std::to_string (getpid ());
};

TEST_F (OptionsFile, CommandLineGoesBeforeVariableBeforeFile)
{
  environment["DAMASKSHORE_HEARTBEAT_MS"] = "21";
  environment["DAMASKSHORE_CEILING_MS"] = "70001";
  ASSERT_EQ (parse_file ("heartbeat-ms = 22\nceiling-ms = 70002\nlog-level = debug\n",
                         { "--heartbeat-ms", "20" }),
             DKS_OK)
      << error;
  EXPECT_EQ (options.config.heartbeat_us, 20000);
  EXPECT_EQ (options.config.ceiling_ms, 70001);
  EXPECT_EQ (options.log_level, DKS_LOG_DEBUG);
}

TEST_F (OptionsFile, FileIsCheckedAsAWhole)
{
  EXPECT_EQ (parse_file ("log-level = loud\n"), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("--log-level (from the settings file)"), std::string::npos)
      << error;
  EXPECT_EQ (parse_file ("log-level = debug\nno-such = 1\n"), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("\"no-such\""), std::string::npos) << error;
  EXPECT_EQ (parse_file ("settings = other\n"), DKS_ERR_INVALID);
  EXPECT_EQ (parse_with ({ "--settings", "no-such-file" }), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("no-such-file"), std::string::npos) << error;
}

// Guards against a reload that reports a new value as applied although the option needs a restart.
TEST_F (OptionsFile, NamesAChangeThatNeedsARestart)
{
  ASSERT_EQ (parse_file ("log-level = info\n"), DKS_OK) << error;
  dks_options_t before = options;
  ASSERT_EQ (parse_file ("log-level = debug\nremote-factor = 2\n"), DKS_OK) << error;
  EXPECT_EQ (dks_options_needs_restart (&before, &options), nullptr);
  EXPECT_FALSE (options.config.fill_gaps);
  ASSERT_EQ (parse_file ("log-level = debug\nplacement = fill\n"), DKS_OK) << error;
  EXPECT_TRUE (options.config.fill_gaps);
  EXPECT_EQ (dks_options_needs_restart (&before, &options), nullptr);
  EXPECT_EQ (parse_file ("placement = best\n"), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("order or fill"), std::string::npos) << error;
  ASSERT_EQ (parse_file ("http-address = 127.0.0.1:9\n"), DKS_OK) << error;
  EXPECT_STREQ (dks_options_needs_restart (&before, &options), "http-address");
  ASSERT_EQ (parse_file ("data-centres = dc1,dc2\n"), DKS_OK) << error;
  EXPECT_STREQ (dks_options_needs_restart (&before, &options), "data-centres");
}

TEST (Address, ParsesNumericAddressesOnly)
{
  dks_address_t address;

  ASSERT_EQ (dks_address_parse ("127.0.0.1:8080", &address), DKS_OK);
  EXPECT_EQ (ntohs (address.ip4.sin_port), 8080);
  EXPECT_EQ (dks_address_size (&address), sizeof (sockaddr_in));
  EXPECT_FALSE (dks_address_is_wildcard (&address));
  ASSERT_EQ (dks_address_parse ("[::]:1", &address), DKS_OK);
  EXPECT_EQ (dks_address_size (&address), sizeof (sockaddr_in6));
  EXPECT_TRUE (dks_address_is_wildcard (&address));
  for (const char *text : { "", ":", ":80", "[::1]", "[]:80", "[::1:80", "1.2.3:80", "a:80",
                            "127.0.0.1:", "127.0.0.1:000080", "127.0.0.1:8o" })
    EXPECT_EQ (dks_address_parse (text, &address), DKS_ERR_INVALID) << text;
}

} // namespace
