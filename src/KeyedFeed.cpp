#include "KeyedFeed.h"

#include "Duties.h"
#include "EventNumbers.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Nodes that take over from the reader one after the other; all others come
 * last, at random. */
constexpr std::size_t kRankedReaders = 4;
/** A successor's read takes less. */
constexpr Duration kTakeoverDelayPerRank = milliseconds(120);
constexpr Duration kPullInterval = milliseconds(200);
/** Pauses between reads while the store fails grow up to this. */
constexpr Duration kMaxRetryDelay = milliseconds(1600);
constexpr Duration kInitialRetryDelay = milliseconds(200);
constexpr unsigned kMaxRetryDoublings = 3;
/** Without news for longer, the store counts as having been away: entries lapse
 * after some seconds at the earliest. */
constexpr Duration kOutageThreshold = milliseconds(1500);

/** This node's place among the readers of its zone; worked out anew only when
 * the members have changed. */
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

std::vector<NodeId>
WithoutSelf(std::vector<NodeId> aMembers, const NodeId& aSelf)
{
  aMembers.erase(std::remove(aMembers.begin(), aMembers.end(), aSelf),
                 aMembers.end());
  return aMembers;
}

void
StartRead(KeyedFeedState& aState, const FeedContext& aContext)
{
  aState.mIsReading = true;
  ++aState.mReads;
  ReadFeed read;
  read.mTopic = aState.mSettings.mTopic;
  read.mIsWhole = aState.mNeedsFullRead;
  read.mFrom = aState.mEnd;
  read.mWait = aState.mNeedsFullRead ? Duration(0) : aState.mSettings.mWait;
  aContext.mEffects.push_back(std::move(read));
}

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
  Duration stale = aContext.mNow - aState.mFreshAt;
  return rank == 0 ||
         stale >= aState.mSettings.mStaleAfter +
                    kTakeoverDelayPerRank * static_cast<int>(rank - 1);
}

/** Asks a peer, of the same zone if there is one, while the node has no copy.
 */
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
      SendPeer{ peer, FeedPull{ aState.mSettings.mTopic, aState.mEnd } });
  }
}

void
RemoveEntry(KeyedFeedState& aState, const std::string& aKey)
{
  aState.mVersion += aState.mEntries.erase(aKey);
  aState.mPendingRemovals.erase(aKey);
}

/** Removes an entry, or lets it stay for a while where it may only have lapsed
 * because its owner could not reach the store. */
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

/** Takes in one entry; returns whether it changes anything. */
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
  bool isBack = aState.mPendingRemovals.erase(aEntry.mKey) > 0;
  bool isNew =
    it == aState.mEntries.end() || it->second.mValue != aEntry.mValue;
  aState.mEntries[aEntry.mKey] = aEntry;
  aState.mVersion += isNew ? 1 : 0;
  return isNew || isBack;
}

/** Takes all entries of a whole copy, and drops those that it lacks. */
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

void
RecordFreshness(KeyedFeedState& aState, TimePoint aNow, TimePoint aFreshAt)
{
  bool wasAway =
    aState.mIsLoaded && aFreshAt - aState.mFreshAt > kOutageThreshold;
  if (wasAway) {
    aState.mOutageEndedAt = aNow;
  }
  aState.mFreshAt = std::max(aState.mFreshAt, aFreshAt);
}

FeedPush
MakePush(const KeyedFeedState& aState, TimePoint aNow)
{
  FeedPush push;
  push.mTopic = aState.mSettings.mTopic;
  push.mEnd = aState.mEnd;
  push.mAge = aNow - aState.mFreshAt;
  return push;
}

/** All entries; those that are vanishing are not passed on. */
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

void
PushToZone(const FeedContext& aContext, const FeedPush& aPush)
{
  const MembershipState& members = aContext.mMembers;
  for (const NodeId& it : LiveMembersInZone(members, members.mZone)) {
    if (it != members.mSelf) {
      aContext.mEffects.push_back(SendPeer{ it, aPush });
    }
  }
}

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
  Duration pause = kInitialRetryDelay * (1 << doublings);
  bool isFirst = ReaderRank(aState, aContext.mMembers) == 0;
  pause = isFirst ? std::max(kInitialRetryDelay, pause / 2)
                  : std::min(pause, kMaxRetryDelay);
  auto jitter = static_cast<Duration::rep>(
    RandomBelow(aContext.mRandom, static_cast<std::size_t>(pause.count())));
  aState.mNextReadAt = aContext.mNow + pause / 2 + Duration(jitter);
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
  std::vector<std::string> gone;
  for (const auto& [key, until] : aState.mPendingRemovals) {
    if (aContext.mNow >= until) {
      gone.push_back(key);
    }
  }
  for (const std::string& it : gone) {
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
            const FeedRead& aRead)
{
  aState.mIsReading = false;
  if (!aRead.mIsDone) {
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
  RecordFreshness(aState, aContext.mNow, aContext.mNow);
  FeedPush push;
  if (aRead.mIsWhole) {
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
  // All nodes read for themselves as they start: there is nothing to pass on.
  if (!wasLoaded) {
    return;
  }
  auto entries = std::move(push.mEntries);
  push = MakePush(aState, aContext.mNow);
  push.mIsWhole = aRead.mIsWhole;
  push.mAfter = after;
  push.mEntries = aRead.mIsWhole ? CopyEntries(aState) : std::move(entries);
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
  bool fits = aPush.mIsWhole || aPush.mAfter <= aState.mEnd;
  if (!fits || (!aState.mIsLoaded && !aPush.mIsWhole)) {
    aContext.mEffects.push_back(
      SendPeer{ aFrom, FeedPull{ aState.mSettings.mTopic, aState.mEnd } });
    return;
  }
  RecordFreshness(aState, aContext.mNow, aContext.mNow - aPush.mAge);
  if (aPush.mIsWhole) {
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
  push.mIsWhole = true;
  push.mEntries = CopyEntries(aState);
  aContext.mEffects.push_back(SendPeer{ aFrom, std::move(push) });
}

} // namespace vanillascale
