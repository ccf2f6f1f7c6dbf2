#include "KeyedFeed.h"

#include "Duties.h"
#include "EventNumbers.h"

#include <algorithm>
#include <set>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** The number of readers of a zone with a rank of their own: the reader and the
 * nodes that replace it one after the other. All other nodes share the rank
 * after these. */
constexpr std::size_t kRankedReaders = 4;
/** The delay between the takeovers of consecutive ranks. A read takes less
 * time, so that one successor's read can succeed before the next one starts its
 * own. */
constexpr Duration kTakeoverDelayPerRank = milliseconds(120);
constexpr Duration kPullInterval = milliseconds(200);
/** The interval of requests to other zones while the store does not answer. */
constexpr Duration kOtherZonePullInterval = milliseconds(1000);
/** The upper limit of the exponential backoff between reads that fail. */
constexpr Duration kMaxRetryDelay = milliseconds(1600);
constexpr Duration kInitialRetryDelay = milliseconds(200);
constexpr unsigned kMaxRetryDoublings = 3;
/** If the copy was not confirmed for longer than this, the store is assumed to
 * have been unavailable. The threshold is below the time after which entries
 * expire at the earliest, which is some seconds. */
constexpr Duration kOutageThreshold = milliseconds(1500);
/** Limits of KeyedFeedState::mRecentDeltas. */
constexpr std::size_t kMaxRecentDeltas = 32;
constexpr std::size_t kMaxRecentEntries = 4096;

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

/** Returns aMembers without this node. */
std::vector<NodeId>
WithoutSelf(std::vector<NodeId> aMembers, const NodeId& aSelf)
{
  aMembers.erase(std::remove(aMembers.begin(), aMembers.end(), aSelf),
                 aMembers.end());
  return aMembers;
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
    return aContext.mNow - aState.mStartedAt >=
           aState.mSettings.mPeerLoadTimeout;
  }
  std::size_t rank = ReaderRank(aState, aContext.mMembers);
  Duration age = aContext.mNow - aState.mFreshAt;
  return rank == 0 ||
         age >= aState.mSettings.mStaleAfter +
                  kTakeoverDelayPerRank * static_cast<int>(rank - 1);
}

/** Requests a full copy from a random peer if this node has none, from a peer
 * of its own zone if there is one. */
void
RequestCopyIfNotLoaded(KeyedFeedState& aState, const FeedContext& aContext)
{
  if (aState.mIsLoaded || aContext.mNow < aState.mNextPullAt) {
    return;
  }
  const MembershipState& members = aContext.mMembers;
  std::vector<NodeId> peers =
    WithoutSelf(LiveMembersInZone(members, members.mZone), members.mSelf);
  if (peers.empty()) {
    peers = WithoutSelf(LiveMembers(members), members.mSelf);
  }
  if (!peers.empty()) {
    aState.mNextPullAt = aContext.mNow + kPullInterval;
    const NodeId& peer = peers[RandomBelow(aContext.mRandom, peers.size())];
    aContext.mEffects.push_back(
      SendToPeer{ peer, FeedPull{ aState.mSettings.mTopic, aState.mEnd } });
  }
}

/** Requests the changes from a random node of another zone if the store does
 * not answer this node and its zone has not read it either: the store may
 * answer the nodes of other zones. Only for topics with whole records, which
 * change so rarely that the answer is mostly empty. */
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
  if (!isDue) {
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
    aState.mNextPullAt = aContext.mNow + kOtherZonePullInterval;
    const NodeId& peer = peers[RandomBelow(aContext.mRandom, peers.size())];
    aContext.mEffects.push_back(
      SendToPeer{ peer, FeedPull{ aState.mSettings.mTopic, aState.mEnd } });
  }
}

/** Removes an entry at once. */
void
RemoveEntry(KeyedFeedState& aState, const std::string& aKey)
{
  if (aState.mEntries.erase(aKey) > 0) {
    ++aState.mVersion;
    aState.mChangedKeys.push_back(aKey);
  }
  aState.mPendingRemovals.erase(aKey);
}

/** Removes an entry, or defers the removal to the end of the grace period after
 * an outage: the entry may have expired only because its owner could not reach
 * the store. */
void
RemoveOrDefer(KeyedFeedState& aState, TimePoint aNow, const std::string& aKey)
{
  TimePoint until = aState.mOutageEndedAt + aState.mSettings.mOutageGracePeriod;
  bool isAfterOutage = aState.mOutageEndedAt != TimePoint{} && aNow < until;
  if (isAfterOutage && aState.mEntries.count(aKey) > 0) {
    aState.mPendingRemovals.emplace(aKey, until);
  } else {
    RemoveEntry(aState, aKey);
  }
}

/** Applies one entry, unless the copy has one that is as new. Returns whether
 * the entry changes the copy. */
bool
ApplyEntry(KeyedFeedState& aState, TimePoint aNow, const FeedEntry& aEntry)
{
  auto it = aState.mEntries.find(aEntry.mKey);
  if (it != aState.mEntries.end() && it->second.mOffset >= aEntry.mOffset) {
    return false;
  }
  if (aEntry.mValue.empty()) {
    bool isKnown = it != aState.mEntries.end();
    RemoveOrDefer(aState, aNow, aEntry.mKey);
    return isKnown;
  }
  bool isRestored = aState.mPendingRemovals.erase(aEntry.mKey) > 0;
  bool isNew =
    it == aState.mEntries.end() || it->second.mValue != aEntry.mValue;
  aState.mEntries[aEntry.mKey] = aEntry;
  if (isNew) {
    ++aState.mVersion;
    aState.mChangedKeys.push_back(aEntry.mKey);
  }
  return isNew || isRestored;
}

/** Applies entries in their order and returns those that changed the copy. */
std::vector<FeedEntry>
ApplyEntries(KeyedFeedState& aState,
             TimePoint aNow,
             const std::vector<FeedEntry>& aEntries)
{
  std::vector<FeedEntry> changes;
  for (const FeedEntry& it : aEntries) {
    if (ApplyEntry(aState, aNow, it)) {
      changes.push_back(it);
    }
  }
  return changes;
}

/** Applies the entries of a full copy that ends at aEnd, and removes older
 * entries that it does not contain. Returns the changes to the copy. */
std::vector<FeedEntry>
ApplySnapshot(KeyedFeedState& aState,
              TimePoint aNow,
              LogOffset aEnd,
              const std::vector<FeedEntry>& aEntries)
{
  std::set<std::string> present;
  for (const FeedEntry& it : aEntries) {
    present.insert(it.mKey);
  }
  std::vector<FeedEntry> changes = ApplyEntries(aState, aNow, aEntries);
  std::vector<std::string> absent;
  for (const auto& [key, entry] : aState.mEntries) {
    if (present.count(key) == 0 && entry.mOffset < aEnd) {
      absent.push_back(key);
    }
  }
  for (const std::string& it : absent) {
    RemoveOrDefer(aState, aNow, it);
    changes.push_back({ it, aEnd, "" });
  }
  return changes;
}

/** Appends changes to the recent ones, and drops the oldest ones beyond the
 * limits. */
void
RecordDelta(KeyedFeedState& aState, FeedDelta aDelta)
{
  if (!aState.mSettings.mHasWholeRecords || aDelta.mAfter == aDelta.mEnd) {
    return;
  }
  auto& deltas = aState.mRecentDeltas;
  if (!deltas.empty() && deltas.back().mEnd != aDelta.mAfter) {
    deltas.clear();
  }
  deltas.push_back(std::move(aDelta));
  std::size_t entries = 0;
  std::size_t kept = 0;
  for (auto it = deltas.rbegin(); it != deltas.rend(); ++it, ++kept) {
    entries += it->mEntries.size();
    if (entries > kMaxRecentEntries || kept == kMaxRecentDeltas) {
      break;
    }
  }
  deltas.erase(deltas.begin(),
               deltas.end() - static_cast<std::ptrdiff_t>(kept));
}

/** Applies the entries of a read and returns the changes to the copy. Entries
 * of a revision that is not above the copy's are skipped. */
std::vector<FeedEntry>
ApplyRead(KeyedFeedState& aState, TimePoint aNow, const FeedReadResult& aRead)
{
  if (!aRead.mIsSnapshot) {
    return ApplyEntries(aState, aNow, aRead.mEntries);
  }
  bool isOldRevision = aState.mIsLoaded && aState.mSettings.mHasWholeRecords &&
                       aRead.mRevision <= aState.mRevision;
  if (isOldRevision) {
    return {};
  }
  aState.mRevision = aRead.mRevision;
  return ApplySnapshot(aState, aNow, aRead.mEnd, aRead.mEntries);
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

/** Records that aSource has confirmed that the copy matched the store at
 * aFreshAt, and detects the end of an outage. An empty aSource is the store. */
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
  aState.mFreshAt = std::max(aState.mFreshAt, aFreshAt);
}

/** Returns a push of this node's copy without entries. */
FeedPush
MakePush(const KeyedFeedState& aState, TimePoint aNow)
{
  FeedPush push;
  push.mTopic = aState.mSettings.mTopic;
  push.mEnd = aState.mEnd;
  push.mAge = aNow - aState.mFreshAt;
  push.mRevision = aState.mRevision;
  return push;
}

/** Returns all entries except those whose removal is deferred. */
std::vector<FeedEntry>
CopyEntries(const KeyedFeedState& aState)
{
  std::vector<FeedEntry> entries;
  for (const auto& [key, entry] : aState.mEntries) {
    if (aState.mPendingRemovals.count(key) == 0) {
      entries.push_back(entry);
    }
  }
  return entries;
}

/** Sends a push to the other live members of this node's zone. */
void
PushToZone(const FeedContext& aContext, const FeedPush& aPush)
{
  const MembershipState& members = aContext.mMembers;
  for (const NodeId& it : LiveMembersInZone(members, members.mZone)) {
    if (it != members.mSelf) {
      aContext.mEffects.push_back(SendToPeer{ it, aPush });
    }
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
  bool isReader = ReaderRank(aState, aContext.mMembers) == 0;
  delay = isReader ? std::max(kInitialRetryDelay, delay / 2)
                   : std::min(delay, kMaxRetryDelay);
  auto jitter = static_cast<Duration::rep>(
    RandomBelow(aContext.mRandom, static_cast<std::size_t>(delay.count())));
  aState.mNextReadAt = aContext.mNow + delay / 2 + Duration(jitter);
}

/** Returns whether a push without all entries connects to this node's copy. */
bool
IsContiguous(const KeyedFeedState& aState, const FeedPush& aPush)
{
  if (!aState.mIsLoaded) {
    return false;
  }
  return aState.mSettings.mHasWholeRecords
           ? aPush.mAfter == aState.mEnd || aPush.mEnd == aState.mEnd
           : aPush.mAfter <= aState.mEnd;
}

/** Requests the changes since this node's end from a peer, unless a request was
 * sent a moment ago: its answer may be large and under way. */
void
RequestChanges(KeyedFeedState& aState,
               const FeedContext& aContext,
               const NodeId& aFrom)
{
  if (aContext.mNow < aState.mNextPullAt) {
    return;
  }
  aState.mNextPullAt = aContext.mNow + kPullInterval;
  aContext.mEffects.push_back(
    SendToPeer{ aFrom, FeedPull{ aState.mSettings.mTopic, aState.mEnd } });
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
  std::vector<std::string> expired;
  for (const auto& [key, until] : aState.mPendingRemovals) {
    if (aContext.mNow >= until) {
      expired.push_back(key);
    }
  }
  for (const std::string& it : expired) {
    RemoveEntry(aState, it);
  }
  RequestCopyIfNotLoaded(aState, aContext);
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
        " end=" + std::to_string(aRead.mEnd) + " " + aRead.mFault });
    if (!aState.mIsLoaded && aRead.mEntries.empty()) {
      // The entries in force are those of an earlier record, which a peer has.
      RecordReadFailure(aState, aContext);
      return;
    }
  }
  LogOffset after = aState.mEnd;
  RecordFreshness(
    aState, aContext.mNow, ConfirmedAt(aState, aContext.mNow, aRead), NodeId());
  std::vector<FeedEntry> changes = ApplyRead(aState, aContext.mNow, aRead);
  aState.mEnd = std::max(aState.mEnd, aRead.mEnd);
  bool wasLoaded = aState.mIsLoaded;
  aState.mIsLoaded = true;
  bool hasWholeRecords = aState.mSettings.mHasWholeRecords;
  // Records that replace each other need not be read one by one.
  aState.mNeedsFullRead = hasWholeRecords && aRead.mHasMore;
  // The first read of a node is not pushed: the other nodes load a copy of
  // their own when they start.
  if (!wasLoaded) {
    return;
  }
  RecordDelta(aState, { after, aState.mEnd, changes });
  FeedPush push = MakePush(aState, aContext.mNow);
  push.mIsSnapshot = aRead.mIsSnapshot && !hasWholeRecords;
  push.mAfter = after;
  push.mEntries = push.mIsSnapshot ? CopyEntries(aState) : std::move(changes);
  PushToZone(aContext, push);
}

void
FeedReceive(KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPush& aPush)
{
  if (aPush.mEnd < aState.mEnd || aPush.mRevision < aState.mRevision) {
    return;
  }
  if (!aPush.mIsSnapshot && !IsContiguous(aState, aPush)) {
    RequestChanges(aState, aContext, aFrom);
    return;
  }
  RecordFreshness(aState, aContext.mNow, aContext.mNow - aPush.mAge, aFrom);
  if (aPush.mIsSnapshot) {
    ApplySnapshot(aState, aContext.mNow, aPush.mEnd, aPush.mEntries);
    aState.mRecentDeltas.clear();
  } else if (!aState.mSettings.mHasWholeRecords ||
             aPush.mAfter == aState.mEnd) {
    ApplyEntries(aState, aContext.mNow, aPush.mEntries);
    RecordDelta(aState, { aPush.mAfter, aPush.mEnd, aPush.mEntries });
  }
  aState.mEnd = aPush.mEnd;
  aState.mRevision = aPush.mRevision;
  aState.mIsLoaded = true;
  aState.mNeedsFullRead = false;
}

void
FeedReceive(const KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPull& aPull)
{
  if (!aState.mIsLoaded || aState.mEnd < aPull.mEnd) {
    return;
  }
  FeedPush push = MakePush(aState, aContext.mNow);
  if (aPull.mEnd > 0 && aPull.mEnd == aState.mEnd) {
    push.mAfter = aState.mEnd;
    aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(push) });
    return;
  }
  auto delta = std::find_if(
    aState.mRecentDeltas.begin(),
    aState.mRecentDeltas.end(),
    [&](const FeedDelta& aDelta) { return aDelta.mAfter == aPull.mEnd; });
  if (delta == aState.mRecentDeltas.end()) {
    push.mIsSnapshot = true;
    push.mEntries = CopyEntries(aState);
  } else {
    push.mAfter = aPull.mEnd;
    for (; delta != aState.mRecentDeltas.end(); ++delta) {
      push.mEntries.insert(
        push.mEntries.end(), delta->mEntries.begin(), delta->mEntries.end());
    }
  }
  aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(push) });
}

} // namespace vanillascale
