#include "FeedProgress.h"

#include "EventNumbers.h"

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** If the copy was not confirmed for longer than this, the store is assumed to
 * have been unavailable. The threshold is below the time after which entries
 * expire at the earliest, which is some seconds. */
constexpr Duration kOutageThreshold = milliseconds(1500);

} // namespace

void
AddDelta(KeyedFeedState& aState, FeedDelta aDelta)
{
  RecordDelta(aState.mRecentDeltas,
              std::move(aDelta),
              aState.mSettings.mHasWholeRecords,
              aState.mSettings.mMaxRecentEntries);
}

void
RecordFreshness(KeyedFeedState& aState,
                TimePoint aNow,
                TimePoint aFreshAt,
                const NodeId& aSource)
{
  aState.mConfirmedBy = aSource;
  bool hadOutage =
    aState.mIsLoaded && aFreshAt - aState.mFreshAt > kOutageThreshold;
  if (hadOutage) {
    aState.mOutageEndedAt = aNow;
  }
  // Before the first copy mFreshAt is the time of the start.
  aState.mFreshAt =
    aState.mIsLoaded ? std::max(aState.mFreshAt, aFreshAt) : aFreshAt;
}

void
MoveEnd(KeyedFeedState& aState,
        const FeedContext& aContext,
        const StorePosition& aEnd,
        std::uint64_t aStoreRevision)
{
  if (aState.mIsLoaded && aEnd.mEra != aState.mEnd.mEra) {
    aContext.mEffects.push_back(WriteEvent{
      kEventStoreRestored,
      "topic=" + aState.mSettings.mTopic +
        " from=" + FormatPosition(aState.mEnd) + " to=" + FormatPosition(aEnd) +
        " revision=" + std::to_string(aState.mRevision) +
        " store_revision=" + std::to_string(aStoreRevision) +
        " entries=" + std::to_string(aState.mEntries.size()) +
        " missing=" + std::to_string(aState.mPendingRemovals.size()) });
  }
  aState.mEnd = aEnd;
}

void
DeferRemovalsInNewEra(KeyedFeedState& aState,
                      TimePoint aNow,
                      const StorePosition& aEnd)
{
  if (aState.mIsLoaded && aEnd.mEra > aState.mEnd.mEra) {
    aState.mOutageEndedAt = aNow;
    for (auto& [key, until] : aState.mPendingRemovals) {
      until = aNow + aState.mSettings.mOutageGracePeriod;
    }
  }
}

} // namespace vanillascale
