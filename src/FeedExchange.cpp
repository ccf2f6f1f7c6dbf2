#include "FeedComparison.h"
#include "FeedContent.h"
#include "FeedProgress.h"
#include "FeedRequests.h"
#include "FeedTree.h"

#include <algorithm>

/** The exchange of copies and changes between nodes. */
namespace vanillascale {

namespace {

/** Forwards a push that is sent along a tree, unless it was forwarded before.
 */
void
Forward(KeyedFeedState& aState,
        const FeedContext& aContext,
        const FeedPush& aPush)
{
  auto& seeds = aState.mForwardedSeeds;
  bool isKnown =
    std::find(seeds.begin(), seeds.end(), aPush.mTreeSeed) != seeds.end();
  if (aPush.mTreeSeed == 0 || isKnown) {
    return;
  }
  seeds[aState.mForwardedCount++ % seeds.size()] = aPush.mTreeSeed;
  for (const NodeId& it : TreeChildren(aContext.mMembers, aPush)) {
    aContext.mEffects.push_back(SendToPeer{ it, aPush });
  }
}

/** Returns whether a push without all entries connects to this node's copy. */
bool
IsContiguous(const KeyedFeedState& aState, const FeedPush& aPush)
{
  bool hasWholeRecords = aState.mSettings.mHasWholeRecords;
  return aState.mIsLoaded &&
         (Connects(hasWholeRecords, aPush.mAfter, aState.mEnd) ||
          (!hasWholeRecords && aPush.mEnd == aState.mEnd));
}

/** Processes a push of this node's own revision, which has nothing to apply:
 * it confirms the copy if its sender has the same entries. */
void
ReceiveSameRevision(KeyedFeedState& aState,
                    const FeedContext& aContext,
                    const NodeId& aFrom,
                    const FeedPush& aPush)
{
  if (aPush.mIsSnapshot) {
    aState.mCopy.reset();
  }
  if (aPush.mDigest != 0 && aPush.mDigest != aState.mDigest) {
    HandleConflict(aState, aContext, aFrom, aPush);
    return;
  }
  RecordFreshness(aState, aContext.mNow, aContext.mNow - aPush.mAge, aFrom);
  AddDelta(aState, { aState.mEnd, aPush.mEnd, {} });
  MoveEnd(aState, aContext, aPush.mEnd, 0);
}

/** Returns whether a copy of an earlier era has a later revision than this
 * node's: one that was served and that the restored store has lost. A build
 * without eras may have read it from the restored store as well. */
bool
HasLostRevision(const KeyedFeedState& aState,
                const StorePosition& aEnd,
                std::uint64_t aRevision)
{
  return aState.mIsLoaded && aState.mSettings.mHasWholeRecords &&
         aEnd.mEra > 0 && aEnd.mEra < aState.mEnd.mEra &&
         aRevision > aState.mRevision;
}

/** Sends a push to the node that has sent an older revision, so that it
 * requests this node's. One that has only forwarded the push need not have it.
 */
void
AnswerOlderRevision(const KeyedFeedState& aState,
                    const FeedContext& aContext,
                    const NodeId& aFrom,
                    const FeedPush& aPush)
{
  bool isForwarded =
    !aPush.mTreeRoot.mValue.empty() && aPush.mTreeRoot != aFrom;
  if (!aState.mIsLoaded || aPush.mIsSnapshot || isForwarded) {
    return;
  }
  FeedPush push = MakePush(aState, aContext.mNow);
  push.mAfter = aState.mEnd;
  aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(push) });
}

/** Adds a page to the copy that is being received and requests the next one.
 * When the copy is complete, replaces the entries by it. */
void
ReceivePage(KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPush& aPage)
{
  bool isSecondCopy = aState.mCopy && aState.mCopy->mSource != aFrom &&
                      aContext.mNow < aState.mNextPullAt;
  if (isSecondCopy) {
    return;
  }
  if (!AddPage(aState.mCopy, aContext.mNow, aFrom, aPage)) {
    if (aState.mCopy && aState.mCopy->mSource == aFrom) {
      aState.mNextPullAt = aContext.mNow + kPullInterval;
      FeedPull pull = MakePull(aState);
      pull.mPageAfter = aState.mCopy->mLastKey;
      aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(pull) });
    }
    return;
  }
  FeedCopy copy = std::move(*aState.mCopy);
  aState.mCopy.reset();
  bool isLostRevision = HasLostRevision(aState, copy.mEnd, copy.mRevision);
  bool isOlder = copy.mEnd < aState.mEnd && !isLostRevision;
  if (isOlder || copy.mRevision < aState.mRevision || !HasStatedContent(copy)) {
    return;
  }
  DeferRemovalsInNewEra(aState, aContext.mNow, copy.mEnd);
  if (!isLostRevision) {
    RecordFreshness(aState, aContext.mNow, copy.mFreshAt, aFrom);
    aState.mNeedsFullRead = false;
  }
  ApplySnapshot(
    aState, aContext.mNow, copy.mEnd, copy.mEntries, EntrySource::Peer);
  aState.mRecentDeltas.clear();
  MoveEnd(aState, aContext, std::max(aState.mEnd, copy.mEnd), 0);
  aState.mRevision = copy.mRevision;
  aState.mIsLoaded = true;
}

} // namespace

void
FeedReceive(KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPush& aPush)
{
  Forward(aState, aContext, aPush);
  if (aPush.mRevision < aState.mRevision) {
    AnswerOlderRevision(aState, aContext, aFrom, aPush);
    return;
  }
  bool isLostRevision = HasLostRevision(aState, aPush.mEnd, aPush.mRevision);
  if (aPush.mEnd < aState.mEnd && !isLostRevision) {
    return;
  }
  bool hasWholeRecords = aState.mSettings.mHasWholeRecords;
  bool isSameRevision =
    hasWholeRecords && aState.mIsLoaded && aPush.mRevision == aState.mRevision;
  if (isSameRevision) {
    ReceiveSameRevision(aState, aContext, aFrom, aPush);
    return;
  }
  if (aPush.mIsSnapshot) {
    ReceivePage(aState, aContext, aFrom, aPush);
    return;
  }
  bool isOfLaterEra =
    aState.mIsLoaded && !hasWholeRecords && aPush.mEnd.mEra > aState.mEnd.mEra;
  if (isOfLaterEra) {
    aState.mLaterEraPeer = aFrom;
    aState.mLaterEra = { aPush.mEnd.mEra, 0 };
    RequestCopyOfLaterEra(aState, aContext);
    return;
  }
  // Nodes at one end have different revisions if one has read only the record
  // of a restored store.
  bool needsCopy = isLostRevision || (hasWholeRecords && aState.mIsLoaded &&
                                      aPush.mEnd == aState.mEnd);
  if (needsCopy) {
    RequestChanges(aState, aContext, aFrom, StorePosition());
    return;
  }
  if (!IsContiguous(aState, aPush)) {
    RequestChanges(aState, aContext, aFrom, aState.mEnd);
    return;
  }
  if (hasWholeRecords && !LeadsToSendersContent(aState, aPush)) {
    if (RequestChanges(aState, aContext, aFrom, StorePosition())) {
      ReportDifference(aState, aContext, aFrom, aPush);
    }
    return;
  }
  RecordFreshness(aState, aContext.mNow, aContext.mNow - aPush.mAge, aFrom);
  if (Connects(hasWholeRecords, aPush.mAfter, aState.mEnd)) {
    ApplyEntries(aState, aContext.mNow, aPush.mEntries, EntrySource::Peer);
    AddDelta(aState, { aPush.mAfter, aPush.mEnd, aPush.mEntries });
  }
  MoveEnd(aState, aContext, aPush.mEnd, 0);
  aState.mRevision = aPush.mRevision;
}

void
FeedReceive(const KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPull& aPull)
{
  bool hasLaterRevision =
    aState.mSettings.mHasWholeRecords && aState.mRevision > aPull.mRevision;
  bool isBehind = aState.mEnd < aPull.mEnd;
  if (!aState.mIsLoaded || (isBehind && !hasLaterRevision)) {
    return;
  }
  FeedPush push = MakePush(aState, aContext.mNow);
  bool isPageRequest = !aPull.mPageAfter.empty();
  // The start of an era stands for no copy of it.
  bool hasCopy = aPull.mEnd.mOffset > 0;
  if (!isPageRequest && hasCopy && aPull.mEnd >= aState.mEnd) {
    push.mAfter = aState.mEnd;
    aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(push) });
    return;
  }
  auto delta = FirstDeltaAfter(
    aState.mRecentDeltas, aState.mSettings.mHasWholeRecords, aPull.mEnd);
  if (isPageRequest || !hasCopy || delta == aState.mRecentDeltas.end()) {
    FeedPush page = MakePage(aState.mEntries,
                             aState.mPendingRemovals,
                             aPull.mPageAfter,
                             aPull.mAcceptsPages ? kMaxPageBytes : SIZE_MAX);
    push.mIsSnapshot = true;
    push.mPageAfter = std::move(page.mPageAfter);
    push.mHasMore = page.mHasMore;
    push.mEntries = std::move(page.mEntries);
  } else {
    push.mAfter = delta->mAfter;
    for (; delta != aState.mRecentDeltas.end(); ++delta) {
      push.mEntries.insert(
        push.mEntries.end(), delta->mEntries.begin(), delta->mEntries.end());
    }
  }
  aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(push) });
}

} // namespace vanillascale
