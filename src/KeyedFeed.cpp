#include "KeyedFeed.h"

#include "Duties.h"
#include "EventNumbers.h"
#include "FeedContent.h"
#include "FeedProgress.h"
#include "FeedRequests.h"
#include "FeedTree.h"
#include "Hash.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxReportedAdjustments = 20;

/** The delay after a failed read of a node without a rank of its own: it would
 * receive a push if the ranked ones could read, and together these nodes would
 * press a store that is down with the more calls the larger the fleet is. */
constexpr Duration kUnrankedRetryDelay = milliseconds(4000);
/** The number of nodes of other zones that a node asks for a later revision
 * after its first read; one of them may have started as well. */
constexpr unsigned kRevisionChecks = 2;
constexpr Duration kInitialRetryDelay = milliseconds(200);
/** Limits the exponential backoff between reads that fail. */
constexpr unsigned kMaxRetryDoublings = 3;
/** In a zone with more nodes, pushes are sent along a tree. */
constexpr std::size_t kMaxDirectPushes = 16;
/** The nodes without a rank of their own replace the reader after different
 * delays of up to this time. The first of them pushes what it has read to the
 * others, so that few nodes read the store. */
constexpr Duration kUnrankedSpread = milliseconds(500);

/** Returns this node's rank among the readers of its zone. The rank is cached
 * and computed again only after the membership has changed. */
std::size_t
ReaderRank(KeyedFeedState& aState, const MembershipState& aMembers)
{
  if (aState.mRankedMembersVersion != aMembers.mVersion) {
    aState.mRankedMembersVersion = aMembers.mVersion;
    auto readers = DutyOwnersInZone(
      aMembers, "feed/" + aState.mSettings.mTopic, kRankedReaders);
    auto it = std::find(readers.begin(), readers.end(), aMembers.mSelf);
    aState.mReaderRank = static_cast<std::size_t>(it - readers.begin());
  }
  return aState.mReaderRank;
}

/** Starts a full read or a read of the changes since the last one. */
void
StartRead(KeyedFeedState& aState, const FeedContext& aContext)
{
  aState.mIsReading = true;
  ++aState.mReads;
  ReadFeed read;
  read.mTopic = aState.mSettings.mTopic;
  read.mIsSnapshot = aState.mNeedsFullRead;
  read.mFrom = aState.mEnd;
  aState.mIsFullRead = read.mIsSnapshot;
  aState.mReadFrom = read.mFrom;
  // A read without new records confirms the copy at the end of its wait, so the
  // wait is shorter the older the copy is.
  Duration age = aContext.mNow - aState.mFreshAt;
  if (!aState.mNeedsFullRead) {
    read.mWait = std::max(aState.mSettings.mWait - age, Duration(0));
  }
  aState.mReadStartedAt = aContext.mNow;
  aState.mReadWait = read.mWait;
  aContext.mEffects.push_back(std::move(read));
}

/** Returns whether this node has to read the store now. Without a copy it does
 * so after mPeerLoadTimeout. With a copy it does so if it is the reader of its
 * zone, or if the copy is older than the limit for this node's rank. */
bool
IsReadDue(KeyedFeedState& aState, const FeedContext& aContext)
{
  if (aState.mIsReading || aContext.mNow < aState.mNextReadAt) {
    return false;
  }
  if (!aState.mIsLoaded) {
    bool isReceivingCopy = aState.mCopy && aContext.mNow < aState.mNextPullAt;
    return !isReceivingCopy && aContext.mNow - aState.mStartedAt >=
                                 aState.mSettings.mPeerLoadTimeout;
  }
  std::size_t rank = ReaderRank(aState, aContext.mMembers);
  Duration age = aContext.mNow - aState.mFreshAt;
  bool isReader = rank == 0 && aContext.mNow - aState.mStartedAt >=
                                 aState.mSettings.mViewSettleTime;
  Duration takeoverDelay = kTakeoverDelayPerRank *
                           static_cast<int>(std::max<std::size_t>(rank, 1) - 1);
  if (rank >= kRankedReaders) {
    std::uint64_t hash =
      Hash64(aContext.mMembers.mSelf.mValue, aState.mRankedMembersVersion);
    takeoverDelay +=
      Duration(static_cast<Duration::rep>(hash % kUnrankedSpread.count()));
  }
  return isReader || aState.mHasConflict ||
         age >= aState.mSettings.mStaleAfter + takeoverDelay;
}

/** Returns whether a peer has moved the copy past the end of a read since it
 * was started. The copy then has applied all that the answer contains, and the
 * removals that the answer does not contain. */
bool
IsCoveredByCopy(const KeyedFeedState& aState, const FeedReadResult& aRead)
{
  return aState.mIsLoaded && !aState.mSettings.mHasWholeRecords &&
         aState.mReadFrom < aState.mEnd && aRead.mEnd < aState.mEnd;
}

/** Applies the entries of a read and returns the changes to the copy. Entries
 * of a revision below the copy's, and those before its end, are skipped. */
std::vector<FeedEntry>
ApplyRead(KeyedFeedState& aState,
          const FeedContext& aContext,
          const FeedReadResult& aRead)
{
  if (IsCoveredByCopy(aState, aRead)) {
    return {};
  }
  if (!aRead.mIsSnapshot) {
    return ApplyEntries(
      aState, aContext.mNow, aRead.mEntries, EntrySource::Store);
  }
  bool isOldRevision = aState.mIsLoaded && aState.mSettings.mHasWholeRecords &&
                       aRead.mRevision < aState.mRevision;
  if (isOldRevision) {
    aContext.mEffects.push_back(WriteEvent{
      kEventRecordSkipped,
      "topic=" + aState.mSettings.mTopic +
        " end=" + FormatPosition(aRead.mEnd) +
        " outcome=older revision=" + std::to_string(aRead.mRevision) +
        " kept=" + std::to_string(aState.mRevision) });
    return {};
  }
  aState.mRevision = aRead.mRevision;
  return ApplySnapshot(
    aState, aContext.mNow, aRead.mEnd, aRead.mEntries, EntrySource::Store);
}

/** Returns the latest time at which the store is known to have held what a read
 * returned. The answer may be much older than its arrival, if this node was
 * slow or suspended or the answer was delayed. */
TimePoint
ConfirmedAt(const KeyedFeedState& aState,
            TimePoint aNow,
            const FeedReadResult& aRead)
{
  bool hasWaited = !aRead.mIsSnapshot && aRead.mEnd == aState.mEnd &&
                   aNow - aState.mReadStartedAt >= aState.mReadWait;
  return aState.mReadStartedAt + (hasWaited ? aState.mReadWait : Duration(0));
}

/** Sends a push to the other live members of this node's zone; in a large zone
 * along a tree, so that the cost for a node does not grow with the zone. */
void
PushToZone(const FeedContext& aContext, FeedPush aPush)
{
  const MembershipState& members = aContext.mMembers;
  std::vector<NodeId> peers =
    WithoutSelf(LiveMembersInZone(members, members.mZone), members.mSelf);
  if (peers.size() > kMaxDirectPushes) {
    aPush.mTreeRoot = members.mSelf;
    aPush.mTreeSeed =
      (std::uint64_t(aContext.mRandom()) << 32 | aContext.mRandom()) | 1;
    peers = TreeChildren(members, aPush);
  }
  for (const NodeId& it : peers) {
    aContext.mEffects.push_back(SendToPeer{ it, aPush });
  }
}

/** Counts a failed read, writes an event for the first one of a series, and
 * schedules the next read with exponential backoff and jitter. The reader of
 * the zone backs off less than the other nodes. */
void
RecordReadFailure(KeyedFeedState& aState, const FeedContext& aContext)
{
  ++aState.mFailedReads;
  if (++aState.mConsecutiveFailures == 1) {
    aContext.mEffects.push_back(
      WriteEvent{ kEventStoreLost, "topic=" + aState.mSettings.mTopic });
  }
  unsigned doublings =
    std::min(aState.mConsecutiveFailures - 1, kMaxRetryDoublings);
  Duration delay = kInitialRetryDelay * (1 << doublings);
  std::size_t rank = ReaderRank(aState, aContext.mMembers);
  if (rank == 0) {
    delay = std::max(kInitialRetryDelay, delay / 2);
  } else if (rank >= kRankedReaders && aState.mIsLoaded) {
    delay = kUnrankedRetryDelay;
  }
  auto jitter = static_cast<Duration::rep>(
    RandomBelow(aContext.mRandom, static_cast<std::size_t>(delay.count())));
  aState.mNextReadAt = aContext.mNow + delay / 2 + Duration(jitter);
}

/** Returns whether the answer of a read tells nothing of the records after the
 * copy's end, and schedules another read then. Offsets of one era do not exist
 * in another one: the answer is either late, or the store was restored since.
 */
bool
IsOfOtherEra(KeyedFeedState& aState,
             const FeedContext& aContext,
             const FeedReadResult& aRead)
{
  std::uint64_t era = aRead.mEnd.mEra;
  if (era < aState.mEnd.mEra) {
    aContext.mEffects.push_back(WriteEvent{
      kEventStoreEraIgnored,
      "topic=" + aState.mSettings.mTopic + " era=" + std::to_string(era) +
        " end=" + FormatPosition(aState.mEnd) });
    // One answer may be late. More of them come from a part of the store that
    // has not been restored, which is of no more use than one that fails.
    if (++aState.mEarlierAnswers > 1) {
      RecordReadFailure(aState, aContext);
    } else {
      aState.mNextReadAt = aContext.mNow + kInitialRetryDelay;
    }
    return true;
  }
  aState.mEarlierAnswers = 0;
  bool isUsable =
    !aState.mIsLoaded || aState.mIsFullRead || era == aState.mReadFrom.mEra;
  if (!isUsable) {
    aState.mNeedsFullRead = aState.mNeedsFullRead || era > aState.mEnd.mEra;
    aState.mNextReadAt = aContext.mNow;
  }
  return !isUsable;
}

/** Writes the first adjustments of the record that a read brought. */
void
RecordAdjustments(KeyedFeedState& aState,
                  const FeedContext& aContext,
                  const FeedReadResult& aRead)
{
  if (aRead.mIsSnapshot) {
    aState.mAdjustedEntries = aRead.mAdjustments.size();
  }
  std::size_t n = std::min(aRead.mAdjustments.size(), kMaxReportedAdjustments);
  for (std::size_t i = 0; i < n; ++i) {
    aContext.mEffects.push_back(
      WriteEvent{ kEventEntryAdjusted,
                  "topic=" + aState.mSettings.mTopic +
                    " revision=" + std::to_string(aRead.mRevision) +
                    " entries=" + std::to_string(aRead.mAdjustments.size()) +
                    " " + aRead.mAdjustments[i] });
  }
}

} // namespace

KeyedFeedState
KeyedFeedState::Make(FeedSettings aSettings, TimePoint aNow)
{
  KeyedFeedState state;
  state.mSettings = std::move(aSettings);
  state.mStartedAt = aNow;
  state.mFreshAt = aNow;
  return state;
}

void
FeedTick(KeyedFeedState& aState, const FeedContext& aContext)
{
  RemoveExpiredEntries(aState, aContext.mNow);
  ForgetOldOrders(aState.mOrders, aContext.mNow);
  RequestCopyIfNotLoaded(aState, aContext);
  RequestCopyOfLaterEra(aState, aContext);
  RequestChangesFromOtherZone(aState, aContext);
  if (IsReadDue(aState, aContext)) {
    StartRead(aState, aContext);
  }
}

void
FeedReceive(KeyedFeedState& aState,
            const FeedContext& aContext,
            const FeedReadResult& aRead)
{
  aState.mIsReading = false;
  if (!aRead.mIsSuccessful) {
    RecordReadFailure(aState, aContext);
    return;
  }
  if (IsOfOtherEra(aState, aContext, aRead)) {
    return;
  }
  if (aState.mConsecutiveFailures > 0) {
    aContext.mEffects.push_back(WriteEvent{
      kEventStoreBack,
      "topic=" + aState.mSettings.mTopic +
        " failed_reads=" + std::to_string(aState.mConsecutiveFailures) });
    aState.mConsecutiveFailures = 0;
  }
  aState.mNextReadAt = aContext.mNow + aState.mSettings.mReadInterval;
  if (aRead.mIsTrimmed) {
    aState.mNeedsFullRead = true;
    aState.mNextReadAt = aContext.mNow;
    return;
  }
  if (!aRead.mFault.empty()) {
    aContext.mEffects.push_back(WriteEvent{
      kEventRecordSkipped,
      "topic=" + aState.mSettings.mTopic +
        " end=" + FormatPosition(aRead.mEnd) + " " + aRead.mFault });
    if (!aState.mIsLoaded && aRead.mEntries.empty()) {
      // The entries in force are those of an earlier record, which a peer has.
      RecordReadFailure(aState, aContext);
      return;
    }
  }
  RecordAdjustments(aState, aContext, aRead);
  StorePosition after = aState.mEnd;
  DeferRemovalsInNewEra(aState, aContext.mNow, aRead.mEnd);
  // Records that the read left out may be older than its start.
  TimePoint confirmedAt = aRead.mHasMore && aState.mIsLoaded
                            ? aState.mFreshAt
                            : ConfirmedAt(aState, aContext.mNow, aRead);
  RecordFreshness(aState, aContext.mNow, confirmedAt, NodeId());
  std::uint64_t outdatedBefore = aState.mOutdatedEntries;
  std::vector<FeedEntry> changes = ApplyRead(aState, aContext, aRead);
  if (aState.mOutdatedEntries > outdatedBefore) {
    aContext.mEffects.push_back(WriteEvent{
      kEventOutdatedEntries,
      "topic=" + aState.mSettings.mTopic +
        " entries=" + std::to_string(aState.mOutdatedEntries - outdatedBefore) +
        " last_key=" + aState.mOutdatedKey +
        " end=" + FormatPosition(aRead.mEnd) });
  }
  MoveEnd(aState, aContext, std::max(aState.mEnd, aRead.mEnd), aRead.mRevision);
  bool wasLoaded = aState.mIsLoaded;
  aState.mIsLoaded = true;
  bool hasWholeRecords = aState.mSettings.mHasWholeRecords;
  aState.mHasConflict = aState.mHasConflict && !aRead.mIsSnapshot;
  // Records that replace each other need not be read one by one.
  aState.mNeedsFullRead =
    hasWholeRecords && (aRead.mHasMore || aState.mHasConflict);
  // The first read of a node is not pushed: the other nodes load a copy of
  // their own when they start.
  if (!wasLoaded) {
    aState.mRevisionChecks = hasWholeRecords ? kRevisionChecks : 0;
    return;
  }
  FeedPush push = MakePush(aState, aContext.mNow);
  push.mAfter = after;
  if (hasWholeRecords || after.mEra == aState.mEnd.mEra) {
    AddDelta(aState, { after, aState.mEnd, changes });
    push.mEntries = std::move(changes);
  } else {
    // The changes do not tell what a peer has and the store has lost; peers
    // request a copy.
    aState.mRecentDeltas.clear();
  }
  PushToZone(aContext, push);
}

} // namespace vanillascale
