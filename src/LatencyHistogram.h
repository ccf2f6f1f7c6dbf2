#ifndef VANILLASCALE_LATENCYHISTOGRAM_H
#define VANILLASCALE_LATENCYHISTOGRAM_H

#include "Clock.h"

#include <array>
#include <cstdint>

namespace vanillascale {

/** Upper bounds of the buckets, in ms: some steps a decade from what the proxy
 * adds itself (1 ms) to the longest deadlines. */
constexpr std::array<int, 13> kLatencyBucketBoundsMs{
  1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000
};

/** Counts times by size. A plain value; not thread safe. */
struct LatencyHistogram
{
  /** One count for each bound, and the last for all that is longer. */
  std::array<std::uint64_t, kLatencyBucketBoundsMs.size() + 1> mCounts{};
  Duration mSum{ 0 };
};

/** Counts a time. A bound belongs to its bucket. */
void
RecordLatency(LatencyHistogram& aHistogram, Duration aTime);

} // namespace vanillascale

#endif
