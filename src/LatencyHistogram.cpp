#include "LatencyHistogram.h"

#include <algorithm>

namespace vanillascale {

void
RecordLatency(LatencyHistogram& aHistogram, Duration aTime)
{
  auto isBelow = [](int aBoundMs, Duration aValue) {
    return std::chrono::milliseconds(aBoundMs) < aValue;
  };
  auto it = std::lower_bound(kLatencyBucketBoundsMs.begin(),
                             kLatencyBucketBoundsMs.end(),
                             aTime,
                             isBelow);
  ++aHistogram
      .mCounts[static_cast<std::size_t>(it - kLatencyBucketBoundsMs.begin())];
  aHistogram.mSum += aTime;
}

} // namespace vanillascale
