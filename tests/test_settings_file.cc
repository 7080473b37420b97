#include <gtest/gtest.h>

extern "C"
{
#include "common/error.h"
#include "damaskshored/settings_file.h"
}

#include <cstdio>
#include <string>
#include <unistd.h>

namespace
{

class SettingsFile : public ::testing::Test
{
protected:
  void
  TearDown () override
  {
    dks_settings_file_destroy (file);
    unlink (path.c_str ());
  }

  int
  read (const std::string &text)
  {
    FILE *stream = fopen (path.c_str (), "w");

    fwrite (text.data (), 1, text.size (), stream);
    fclose (stream);
    return dks_settings_file_read (path.c_str (), &file, error);
  }

  const std::string path = "settings-file-" + std::to_string (getpid ());
  dks_settings_file_t *file = nullptr;
  char error[DKS_SETTINGS_ERROR_SIZE] = "";
};

TEST_F (SettingsFile, ReadsOptionsInAnyForm)
{
  ASSERT_EQ (read ("# comment\n\nlog-level = debug\r\n  id=e1  \nseeds =\n"), DKS_OK) << error;
  EXPECT_EQ (dks_settings_file_count (file), 3U);
  EXPECT_STREQ (dks_settings_file_name (file, 1), "id");
  EXPECT_STREQ (dks_settings_file_value (file, "log-level"), "debug");
  EXPECT_STREQ (dks_settings_file_value (file, "id"), "e1");
  EXPECT_STREQ (dks_settings_file_value (file, "seeds"), "");
  EXPECT_EQ (dks_settings_file_value (file, "targets"), nullptr);
  EXPECT_EQ (dks_settings_file_value (nullptr, "targets"), nullptr);
}

// Guards against a file that is read while it is being written and accepted as a shorter valid one.
TEST_F (SettingsFile, NamesTheLineThatIsWrong)
{
  EXPECT_EQ (read ("id = e1\nlog-le"), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("line 2"), std::string::npos) << error;
}

TEST_F (SettingsFile, RejectsAnOptionInTwoLines)
{
  EXPECT_EQ (read ("id = e1\nid = e2\n"), DKS_ERR_INVALID);
  EXPECT_NE (std::string (error).find ("\"id\" is given twice"), std::string::npos) << error;
}

TEST_F (SettingsFile, RejectsAFileThatIsTooLargeOrMissing)
{
  EXPECT_EQ (read (std::string (DKS_SETTINGS_FILE_MAX + 1, '#')), DKS_ERR_TOO_LARGE);
  unlink (path.c_str ());
  EXPECT_EQ (dks_settings_file_read (path.c_str (), &file, error), DKS_ERR_IO);
  EXPECT_NE (std::string (error).find (path), std::string::npos) << error;
}

} // namespace
