#include <gtest/gtest.h>

extern "C"
{
#include "common/metrics.h"
}

#include <cstdlib>
#include <string>

namespace
{

class Metrics : public ::testing::Test
{
protected:
  void
  TearDown () override
  {
    dks_metrics_destroy (metrics);
  }

  bool
  has_line (const std::string &line) const
  {
    char *text = dks_metrics_format (metrics);
    bool found = ("\n" + std::string (text)).find ("\n" + line + "\n") != std::string::npos;

    free (text);
    return found;
  }

  dks_metrics_t *metrics = dks_metrics_create ();
};

TEST_F (Metrics, CountsByLabel)
{
  dks_metrics_increment (metrics, DKS_LABELLED_JOBS, "words", "completed");
  dks_metrics_increment (metrics, DKS_LABELLED_JOBS, "words", "completed");
  dks_metrics_increment (metrics, DKS_LABELLED_JOBS, "words", "refused");
  EXPECT_EQ (dks_metrics_value (metrics, DKS_LABELLED_JOBS, "words", "completed"), 2U);
  EXPECT_EQ (dks_metrics_value (metrics, DKS_LABELLED_JOBS, "lists", "completed"), 0U);
  EXPECT_TRUE (has_line ("damaskshore_jobs_total{queue=\"words\",answer=\"completed\"} 2"));
  EXPECT_TRUE (has_line ("damaskshore_jobs_total{queue=\"words\",answer=\"refused\"} 1"));
}

// Label values such as queue names are set by the operator. An unescaped quote in one of them would
// make the whole text unreadable to a scraper.
TEST_F (Metrics, EscapesLabelValues)
{
  dks_metrics_increment (metrics, DKS_LABELLED_REFUSALS, "a \"b\"\\\n", "");
  EXPECT_TRUE (has_line ("damaskshore_refusals_total{reason=\"a \\\"b\\\"\\\\\\n\"} 1"));
}

// Guards against memory that grows without bound with the number of different label values.
TEST_F (Metrics, FurtherLabelValuesAreCountedAsOther)
{
  for (int i = 0; i < 1000; i++)
    dks_metrics_increment (metrics, DKS_LABELLED_JOBS, std::to_string (i).c_str (), "completed");
  EXPECT_EQ (dks_metrics_value (metrics, DKS_LABELLED_JOBS, "0", "completed"), 1U);
  EXPECT_EQ (dks_metrics_value (metrics, DKS_LABELLED_JOBS, "999", "completed"), 0U);
  EXPECT_EQ (dks_metrics_value (metrics, DKS_LABELLED_JOBS, "other", "other"), 744U);
}

TEST_F (Metrics, BucketsCountAllSamplesUpToTheirBound)
{
  for (int64_t time_us : { 500, 1000, 1001, 60000, 20000000 })
    dks_metrics_observe (metrics, DKS_HISTOGRAM_RUN, "words", time_us);
  EXPECT_TRUE (has_line ("damaskshore_run_seconds_bucket{queue=\"words\",le=\"0.001\"} 2"));
  EXPECT_TRUE (has_line ("damaskshore_run_seconds_bucket{queue=\"words\",le=\"0.002\"} 3"));
  EXPECT_TRUE (has_line ("damaskshore_run_seconds_bucket{queue=\"words\",le=\"10\"} 4"));
  EXPECT_TRUE (has_line ("damaskshore_run_seconds_bucket{queue=\"words\",le=\"+Inf\"} 5"));
  EXPECT_TRUE (has_line ("damaskshore_run_seconds_sum{queue=\"words\"} 20.062501"));
  EXPECT_TRUE (has_line ("damaskshore_run_seconds_count{queue=\"words\"} 5"));
}

} // namespace
