#include "FeedComparison.h"

#include "EventNumbers.h"
#include "FeedDigest.h"

namespace vanillascale {

namespace {

/** The interval of full reads because of conflicts. Nodes whose settings or
 * builds translate the operator's record differently remain in conflict while
 * they run beside each other, which must not become a load on the store. */
constexpr Duration kConflictReadInterval = std::chrono::seconds(30);

/** Returns the digest of this node's copy after the changes of a push. */
std::uint64_t
DigestAfter(const KeyedFeedState& aState,
            const std::vector<FeedEntry>& aChanges)
{
  std::map<std::string_view, const FeedEntry*> latest;
  for (const FeedEntry& it : aChanges) {
    latest[it.mKey] = &it;
  }
  std::uint64_t digest = aState.mDigest;
  for (const auto& [key, change] : latest) {
    auto old = aState.mEntries.find(change->mKey);
    if (old != aState.mEntries.end()) {
      digest -= EntryDigest(old->second);
    }
    if (!change->mValue.empty()) {
      digest += EntryDigest(*change);
    }
  }
  return digest;
}

} // namespace

bool
LeadsToSendersContent(const KeyedFeedState& aState, const FeedPush& aPush)
{
  return aPush.mDigest == 0 ||
         aPush.mDigest == DigestAfter(aState, aPush.mEntries);
}

bool
HasStatedContent(const FeedCopy& aCopy)
{
  std::uint64_t digest = 0;
  for (const FeedEntry& it : aCopy.mEntries) {
    digest += EntryDigest(it);
  }
  return aCopy.mDigest == 0 || aCopy.mDigest == digest;
}

void
ReportDifference(const KeyedFeedState& aState,
                 const FeedContext& aContext,
                 const NodeId& aSender,
                 const FeedPush& aPush)
{
  aContext.mEffects.push_back(WriteEvent{
    kEventContentDiffers,
    "topic=" + aState.mSettings.mTopic +
      " revision=" + std::to_string(aState.mRevision) +
      " digest=" + std::to_string(aState.mDigest) + " peer=" + aSender.mValue +
      " peer_revision=" + std::to_string(aPush.mRevision) +
      " peer_digest=" + std::to_string(aPush.mDigest) });
}

void
HandleConflict(KeyedFeedState& aState,
               const FeedContext& aContext,
               const NodeId& aFrom,
               const FeedPush& aPush)
{
  // A restored store may have the revision with other content.
  bool isOfLaterEra = aPush.mEnd.mEra > aState.mEnd.mEra;
  if (!isOfLaterEra && aContext.mNow < aState.mNextConflictReadAt) {
    return;
  }
  aState.mNextConflictReadAt = aContext.mNow + kConflictReadInterval;
  aState.mHasConflict = true;
  aState.mNeedsFullRead = true;
  const NodeId& sender =
    aPush.mTreeRoot.mValue.empty() ? aFrom : aPush.mTreeRoot;
  ReportDifference(aState, aContext, sender, aPush);
}

} // namespace vanillascale
