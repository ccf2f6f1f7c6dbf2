#ifndef VANILLASCALE_LATENCYHISTOGRAM_H
#define VANILLASCALE_LATENCYHISTOGRAM_H

#include "Clock.h"

#include <array>
#include <cstdint>

namespace vanillascale {

/** Inclusive upper bounds of the buckets, in ms: three buckets a decade, from
 * the latency that the proxy itself adds (1 ms) to the longest deadlines. */
constexpr std::array<int, 13> kLatencyBucketBoundsMs{
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000
};

/** Histogram of durations. A value type; not thread safe. */
struct LatencyHistogram
{
  /** One count for each bound; the last counts durations above all bounds. */
  std::array<std::uint64_t, kLatencyBucketBoundsMs.size() + 1> mCounts{};
  Duration mSum{ 0 };
};

/** Adds a duration to the histogram. A duration equal to a bound is counted in
 * the bucket of that bound. */
void
RecordLatency(LatencyHistogram& aHistogram, Duration aTime);

} // namespace vanillascale

#endif
