#include "FeedDeltas.h"

#include <algorithm>

namespace vanillascale {

namespace {

constexpr std::size_t kMaxDeltas = 32;

} // namespace

bool
Connects(bool aHasWholeRecords,
         const StorePosition& aAfter,
         const StorePosition& aEnd)
{
  return aHasWholeRecords ? aAfter == aEnd
                          : aAfter.mEra == aEnd.mEra && aAfter <= aEnd;
}

void
RecordDelta(FeedDeltas& aDeltas,
            FeedDelta aDelta,
            bool aHasWholeRecords,
            std::size_t aMaxEntries)
{
  if (aDelta.mAfter == aDelta.mEnd) {
    return;
  }
  if (!aDeltas.empty() &&
      !Connects(aHasWholeRecords, aDelta.mAfter, aDeltas.back().mEnd)) {
    aDeltas.clear();
  }
  aDeltas.push_back(std::move(aDelta));
  std::size_t entries = 0;
  std::size_t kept = 0;
  for (auto it = aDeltas.rbegin(); it != aDeltas.rend(); ++it, ++kept) {
    entries += it->mEntries.size();
    if (entries > aMaxEntries || kept == kMaxDeltas) {
      break;
    }
  }
  aDeltas.erase(aDeltas.begin(),
                aDeltas.end() - static_cast<std::ptrdiff_t>(kept));
}

FeedDeltas::const_iterator
FirstDeltaAfter(const FeedDeltas& aDeltas,
                bool aHasWholeRecords,
                const StorePosition& aEnd)
{
  auto it =
    std::find_if(aDeltas.begin(), aDeltas.end(), [&](const FeedDelta& aDelta) {
      return aDelta.mEnd > aEnd;
    });
  bool isKnown = aEnd != StorePosition() && it != aDeltas.end() &&
                 Connects(aHasWholeRecords, it->mAfter, aEnd);
  return isKnown ? it : aDeltas.end();
}

} // namespace vanillascale
