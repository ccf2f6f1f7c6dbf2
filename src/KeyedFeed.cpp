#include "KeyedFeed.h"

#include "Duties.h"
#include "EventNumbers.h"

#include <algorithm>

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
/** The upper limit of the exponential backoff between reads that fail. */
constexpr Duration kMaxRetryDelay = milliseconds(1600);
constexpr Duration kInitialRetryDelay = milliseconds(200);
constexpr unsigned kMaxRetryDoublings = 3;
/** If the copy was not confirmed for longer than this, the store is assumed to
 * have been unavailable. The threshold is below the time after which entries
 * expire at the earliest, which is some seconds. */
constexpr Duration kOutageThreshold = milliseconds(1500);

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
  read.mWait = aState.mNeedsFullRead ? Duration(0) : aState.mSettings.mWait;
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

/** Removes an entry at once. */
void
RemoveEntry(KeyedFeedState& aState, const std::string& aKey)
{
  aState.mVersion += aState.mEntries.erase(aKey);
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
  aState.mVersion += isNew ? 1 : 0;
  return isNew || isRestored;
}

/** Applies the entries of a full copy that ends at aEnd, and removes older
 * entries that it does not contain. */
void
ApplySnapshot(KeyedFeedState& aState,
              TimePoint aNow,
              LogOffset aEnd,
              const std::vector<FeedEntry>& aEntries)
{
  std::map<std::string, bool> present;
  for (const FeedEntry& it : aEntries) {
    present[it.mKey] = true;
    ApplyEntry(aState, aNow, it);
  }
  std::vector<std::string> absent;
  for (const auto& [key, entry] : aState.mEntries) {
    if (present.count(key) == 0 && entry.mOffset < aEnd) {
      absent.push_back(key);
    }
  }
  for (const std::string& it : absent) {
    RemoveOrDefer(aState, aNow, it);
  }
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
  LogOffset after = aState.mEnd;
  RecordFreshness(aState, aContext.mNow, aContext.mNow, NodeId());
  FeedPush push;
  if (aRead.mIsSnapshot) {
    ApplySnapshot(aState, aContext.mNow, aRead.mEnd, aRead.mEntries);
  } else {
    for (const FeedEntry& it : aRead.mEntries) {
      if (ApplyEntry(aState, aContext.mNow, it)) {
        push.mEntries.push_back(it);
      }
    }
  }
  aState.mEnd = std::max(aState.mEnd, aRead.mEnd);
  bool wasLoaded = aState.mIsLoaded;
  aState.mIsLoaded = true;
  aState.mNeedsFullRead = false;
  // The first read of a node is not pushed: the other nodes load a copy of
  // their own when they start.
  if (!wasLoaded) {
    return;
  }
  auto entries = std::move(push.mEntries);
  push = MakePush(aState, aContext.mNow);
  push.mIsSnapshot = aRead.mIsSnapshot;
  push.mAfter = after;
  push.mEntries = aRead.mIsSnapshot ? CopyEntries(aState) : std::move(entries);
  PushToZone(aContext, push);
}

void
FeedReceive(KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPush& aPush)
{
  if (aPush.mEnd < aState.mEnd) {
    return;
  }
  bool isContiguous = aPush.mIsSnapshot || aPush.mAfter <= aState.mEnd;
  if (!isContiguous || (!aState.mIsLoaded && !aPush.mIsSnapshot)) {
    aContext.mEffects.push_back(
      SendToPeer{ aFrom, FeedPull{ aState.mSettings.mTopic, aState.mEnd } });
    return;
  }
  RecordFreshness(aState, aContext.mNow, aContext.mNow - aPush.mAge, aFrom);
  if (aPush.mIsSnapshot) {
    ApplySnapshot(aState, aContext.mNow, aPush.mEnd, aPush.mEntries);
  } else {
    for (const FeedEntry& it : aPush.mEntries) {
      ApplyEntry(aState, aContext.mNow, it);
    }
  }
  aState.mEnd = aPush.mEnd;
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
  push.mIsSnapshot = true;
  push.mEntries = CopyEntries(aState);
  aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(push) });
}

} // namespace vanillascale
