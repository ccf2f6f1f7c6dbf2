#include "NodeReport.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::microseconds;
using std::chrono::milliseconds;

TEST_GROUP(Latencies){};

TEST(Latencies, AreCountedInTheirBuckets)
{
  LatencyHistogram histogram;
  RecordLatency(histogram, microseconds(10));
  RecordLatency(histogram, milliseconds(1));
  RecordLatency(histogram, microseconds(1001));
  RecordLatency(histogram, milliseconds(10000));
  RecordLatency(histogram, milliseconds(10001));
  LONGS_EQUAL(2, histogram.mCounts[0]);
  LONGS_EQUAL(1, histogram.mCounts[1]);
  LONGS_EQUAL(1, histogram.mCounts[kLatencyBucketBoundsMs.size() - 1]);
  LONGS_EQUAL(1, histogram.mCounts[kLatencyBucketBoundsMs.size()]);
  CHECK(histogram.mSum == microseconds(10 + 1000 + 1001 + 10000000 + 10001000));
}

TEST(Latencies, AreReportedAsCumulativeBucketsInSeconds)
{
  NodeState node = NodeState::Make({}, TimePoint(std::chrono::hours(1)));
  ProxyCounters& counters = node.mProxy.mCounters;
  RecordLatency(counters.mDurations[static_cast<std::size_t>(RunOutcome::Ran)],
                milliseconds(150));
  RecordLatency(counters.mDurations[static_cast<std::size_t>(RunOutcome::Ran)],
                milliseconds(30));
  RecordLatency(counters.mSlotWait, milliseconds(2));
  std::string text =
    ReportMetrics(node, {}, {}, TimePoint(std::chrono::hours(1)));
  for (const char* metricLine :
       { "vanillascale_request_duration_seconds_bucket{outcome=\"ran\",le=\"0."
         "05\"} 1",
         "vanillascale_request_duration_seconds_bucket{outcome=\"ran\",le=\"0."
         "2\"} 2",
         "vanillascale_request_duration_seconds_sum{outcome=\"ran\"} 0.18",
         "vanillascale_slot_wait_seconds_count 1",
         "vanillascale_target_duration_seconds_count 0" }) {
    CHECK_TEXT(text.find(metricLine) != std::string::npos, metricLine);
  }
}
