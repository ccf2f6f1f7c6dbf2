#include "FeedRequests.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Shorter for a node without a copy, or without one of the latest era: most
 * peers may not have one either. */
constexpr Duration kFirstPullInterval = milliseconds(50);
/** The interval of requests to other zones while the store does not answer. */
constexpr Duration kOtherZonePullInterval = milliseconds(1000);
} // namespace

std::vector<NodeId>
WithoutSelf(std::vector<NodeId> aMembers, const NodeId& aSelf)
{
  aMembers.erase(std::remove(aMembers.begin(), aMembers.end(), aSelf),
                 aMembers.end());
  return aMembers;
}

FeedPull
MakePull(const KeyedFeedState& aState)
{
  return { aState.mSettings.mTopic, aState.mEnd, true, "", aState.mRevision };
}

FeedPush
MakePush(const KeyedFeedState& aState, TimePoint aNow)
{
  FeedPush push;
  push.mTopic = aState.mSettings.mTopic;
  push.mEnd = aState.mEnd;
  push.mAge = aNow - aState.mFreshAt;
  push.mRevision = aState.mRevision;
  push.mDigest = aState.mSettings.mHasWholeRecords ? aState.mDigest : 0;
  return push;
}

void
RequestCopyIfNotLoaded(KeyedFeedState& aState, const FeedContext& aContext)
{
  if (aState.mIsLoaded || aContext.mNow < aState.mNextPullAt) {
    return;
  }
  aState.mCopy.reset();
  const MembershipState& members = aContext.mMembers;
  std::vector<NodeId> peers =
    WithoutSelf(LiveMembersInZone(members, members.mZone), members.mSelf);
  if (peers.empty()) {
    peers = WithoutSelf(LiveMembers(members), members.mSelf);
  }
  std::vector<NodeId> seeds =
    WithoutSelf(aState.mSettings.mSeeds, members.mSelf);
  bool isSeedsTurn = aState.mCopyPulls++ % 2 == 0;
  if (!seeds.empty() && (isSeedsTurn || peers.empty())) {
    peers = std::move(seeds);
  }
  if (!peers.empty()) {
    aState.mNextPullAt = aContext.mNow + kFirstPullInterval;
    const NodeId& peer = peers[RandomBelow(aContext.mRandom, peers.size())];
    aContext.mEffects.push_back(SendToPeer{ peer, MakePull(aState) });
  }
}

bool
RequestChanges(KeyedFeedState& aState,
               const FeedContext& aContext,
               const NodeId& aFrom,
               const StorePosition& aEnd)
{
  if (aContext.mNow < aState.mNextPullAt) {
    return false;
  }
  aState.mNextPullAt = aContext.mNow + kPullInterval;
  FeedPull pull = MakePull(aState);
  pull.mEnd = aEnd;
  aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(pull) });
  return true;
}

void
RequestCopyOfLaterEra(KeyedFeedState& aState, const FeedContext& aContext)
{
  bool isBehind = aState.mIsLoaded && aState.mEnd.mEra < aState.mLaterEra.mEra;
  if (!isBehind || aContext.mNow < aState.mNextPullAt) {
    return;
  }
  // The next page of a copy is late. Its source may have stopped, and the first
  // page of another source is ignored as long as the copy is being received.
  aState.mCopy.reset();
  RequestChanges(aState, aContext, aState.mLaterEraPeer, aState.mLaterEra);
  // In a large zone most peers receive their own copies at this moment. With
  // kPullInterval, each level of the tree would wait for that long.
  aState.mNextPullAt = aContext.mNow + kFirstPullInterval;
}

void
RequestChangesFromOtherZone(KeyedFeedState& aState, const FeedContext& aContext)
{
  Duration waitForZone =
    aState.mSettings.mStaleAfter +
    kTakeoverDelayPerRank * static_cast<int>(kRankedReaders);
  bool isDue = aState.mIsLoaded && aState.mSettings.mHasWholeRecords &&
               aState.mConsecutiveFailures > 0 &&
               aContext.mNow - aState.mFreshAt >= waitForZone &&
               aContext.mNow >= aState.mNextPullAt;
  bool isFirstCheck = aState.mIsLoaded && aState.mRevisionChecks > 0 &&
                      aContext.mNow >= aState.mNextPullAt;
  if (!isDue && !isFirstCheck) {
    return;
  }
  const MembershipState& members = aContext.mMembers;
  std::vector<NodeId> peers;
  for (const NodeId& it : LiveMembers(members)) {
    auto member = members.mMembers.find(it);
    bool isOtherZone =
      member != members.mMembers.end() && member->second.mZone != members.mZone;
    if (isOtherZone) {
      peers.push_back(it);
    }
  }
  if (!peers.empty()) {
    aState.mNextPullAt =
      aContext.mNow + (isDue ? kOtherZonePullInterval : kPullInterval);
    aState.mRevisionChecks -= isFirstCheck ? 1 : 0;
    const NodeId& peer = peers[RandomBelow(aContext.mRandom, peers.size())];
    aContext.mEffects.push_back(SendToPeer{ peer, MakePull(aState) });
  }
}

} // namespace vanillascale
