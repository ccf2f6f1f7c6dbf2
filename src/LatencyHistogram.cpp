#include "LatencyHistogram.h"

#include <algorithm>

namespace vanillascale {

void
Record(LatencyHistogram& aHistogram, Duration aTime)
{
  auto isBelow = [](int aBoundMs, Duration aValue) {
    return std::chrono::milliseconds(aBoundMs) < aValue;
  };
  auto it = std::lower_bound(
    kLatencyBoundsMs.begin(), kLatencyBoundsMs.end(), aTime, isBelow);
  ++aHistogram.mCounts[static_cast<std::size_t>(it - kLatencyBoundsMs.begin())];
  aHistogram.mSum += aTime;
}

} // namespace vanillascale
