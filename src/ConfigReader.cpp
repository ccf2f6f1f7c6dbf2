#include "ConfigReader.h"

#include "Duties.h"
#include "EventNumbers.h"
#include "Rendezvous.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kReadersPerZone = 2;
constexpr Duration kReadInterval = milliseconds(250);
constexpr Duration kReadTimeout = seconds(5);
constexpr Duration kPullInterval = milliseconds(200);
constexpr Duration kDirectReadDelay = seconds(2);
constexpr Duration kStartupGracePeriod = seconds(10);
constexpr Duration kMaxServingLag = seconds(5);
constexpr std::size_t kMaxRecentRecords = 1000;
constexpr std::size_t kMaxRecordsPerPush = 200;
constexpr std::size_t kStartupPeers = 3;
constexpr LogOffset kRecordsPerCheckpoint = 500;
constexpr Duration kCheckpointInterval = minutes(10);

/** The readers of this node's zone. */
std::vector<NodeId>
ZoneReaders(const MembershipState& aMembers)
{
  return DutyOwnersInZone(aMembers, "config-reader", kReadersPerZone);
}

bool
IsZoneReader(const MembershipState& aMembers)
{
  auto readers = ZoneReaders(aMembers);
  return std::find(readers.begin(), readers.end(), aMembers.mSelf) !=
         readers.end();
}

std::vector<NodeId>
ExcludeSelf(const std::vector<NodeId>& aMembers, const NodeId& aSelf)
{
  std::vector<NodeId> peers = aMembers;
  peers.erase(std::remove(peers.begin(), peers.end(), aSelf), peers.end());
  return peers;
}

void
PublishOwnOffset(const ConfigReaderState& aState, const ConfigContext& aContext)
{
  MembershipState& members = aContext.mMembers;
  members.mOwnConfigOffset = aState.mConfig.mOffset;
  members.mHeardConfigOffset =
    std::max(members.mHeardConfigOffset, aState.mConfig.mOffset);
}

/** Folds the records that come next; returns those that were new. */
std::vector<LogRecord>
FoldConsecutive(ConfigReaderState& aState,
                const ConfigContext& aContext,
                const std::vector<LogRecord>& aRecords)
{
  std::vector<LogRecord> fresh;
  for (const LogRecord& it : aRecords) {
    if (it.mOffset != aState.mConfig.mOffset + 1) {
      continue;
    }
    RecordVerdict verdict = FoldRecord(aState.mConfig, it);
    if (std::holds_alternative<CheckpointSkipped>(verdict)) {
      aState.mLastCheckpointOffset = it.mOffset;
      aState.mLastCheckpointAt = aContext.mNow;
    }
    aContext.mEffects.push_back(
      WriteEvent{ kEventChangeFolded,
                  "offset=" + std::to_string(it.mOffset) + " verdict=\"" +
                    DescribeVerdict(verdict) + "\"" });
    aState.mRecentRecords.push_back(it);
    fresh.push_back(it);
  }
  while (aState.mRecentRecords.size() > kMaxRecentRecords) {
    aState.mRecentRecords.pop_front();
  }
  PublishOwnOffset(aState, aContext);
  return fresh;
}

/** Takes over a folded state, if it is newer than this node's own. */
bool
AdoptCheckpoint(ConfigReaderState& aState,
                const ConfigContext& aContext,
                const std::string& aCheckpoint)
{
  auto state = ParseCheckpoint(aCheckpoint);
  if (!state || state->mOffset <= aState.mConfig.mOffset) {
    return false;
  }
  aState.mConfig = std::move(*state);
  aState.mRecentRecords.clear();
  PublishOwnOffset(aState, aContext);
  return true;
}

void
StartLogRead(ConfigReaderState& aState, const ConfigContext& aContext)
{
  aState.mIsReading = true;
  aState.mNextReadAt = aContext.mNow + kReadTimeout;
  LogOffset after =
    std::max(aState.mConfig.mOffset, aState.mCheckpointSearchOffset);
  aContext.mEffects.push_back(ReadLog{ aState.mStream, after });
}

/** Looks for a checkpoint from which the fold can go on, where the platform no
 * longer keeps the records that come next. */
void
SearchForCheckpoint(ConfigReaderState& aState,
                    const ConfigContext& aContext,
                    const LogReadResult& aRead)
{
  bool isFound = false;
  for (const LogRecord& it : aRead.mRecords) {
    auto checkpoint = ParseCheckpoint(it.mPayload);
    bool isUsable = checkpoint && checkpoint->mOffset + 1 >= aRead.mFirst;
    isFound =
      (isUsable && AdoptCheckpoint(aState, aContext, it.mPayload)) || isFound;
    aState.mCheckpointSearchOffset = it.mOffset;
  }
  if (isFound) {
    aState.mCheckpointSearchOffset = 0;
  }
  if (isFound || aState.mCheckpointSearchOffset < aRead.mEnd) {
    StartLogRead(aState, aContext);
    return;
  }
  // None yet; a peer may have the state, or a checkpoint may still come.
  aState.mCheckpointSearchOffset = 0;
}

void
PushToZone(const ConfigReaderState& aState,
           const ConfigContext& aContext,
           LogOffset aAfter,
           const std::vector<LogRecord>& aRecords)
{
  ConfigPush push{ aAfter, aState.mConfig.mOffset, "", aRecords };
  const MembershipState& members = aContext.mMembers;
  auto readers = ZoneReaders(members);
  for (const NodeId& it :
       ExcludeSelf(LiveMembersInZone(members, members.mZone), members.mSelf)) {
    // The zone's readers share its nodes. One whose reader is cut off from the
    // log hears of the offset on probes and pulls.
    if (PickOwner(readers, it.mValue) == members.mSelf) {
      aContext.mEffects.push_back(SendToPeer{ it, push });
    }
  }
}

void
PullFrom(const ConfigReaderState& aState,
         const ConfigContext& aContext,
         std::vector<NodeId> aPeers,
         std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount && !aPeers.empty(); ++i) {
    std::size_t n = RandomBelow(aContext.mRandom, aPeers.size());
    aContext.mEffects.push_back(
      SendToPeer{ aPeers[n], ConfigPull{ aState.mConfig.mOffset } });
    aPeers.erase(aPeers.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

void
PullIfBehind(ConfigReaderState& aState, const ConfigContext& aContext)
{
  const MembershipState& members = aContext.mMembers;
  bool isBehind = members.mHeardConfigOffset > aState.mConfig.mOffset;
  if (!isBehind) {
    aState.mBehindSince = TimePoint{};
  } else if (aState.mBehindSince == TimePoint{}) {
    aState.mBehindSince = aContext.mNow;
  }
  bool isNeeded = isBehind || !aState.mIsLoaded;
  if (!isNeeded || aContext.mNow < aState.mNextPullAt) {
    return;
  }
  aState.mNextPullAt = aContext.mNow + kPullInterval;
  std::vector<NodeId> readers = ZoneReaders(members);
  std::vector<NodeId> all = ExcludeSelf(LiveMembers(members), members.mSelf);
  std::vector<NodeId> near = ExcludeSelf(readers, members.mSelf);
  if (aState.mIsLoaded && !near.empty()) {
    PullFrom(aState, aContext, near, 1);
  }
  // Readers may be cut off from the log themselves.
  bool isLong =
    isBehind && aContext.mNow - aState.mBehindSince > 2 * kPullInterval;
  if (!aState.mIsLoaded || near.empty() || isLong) {
    PullFrom(aState, aContext, all, kStartupPeers);
  }
}

void
WriteCheckpointIfDue(ConfigReaderState& aState, const ConfigContext& aContext)
{
  LogOffset since = aState.mConfig.mOffset - aState.mLastCheckpointOffset;
  bool isDue = since >= kRecordsPerCheckpoint ||
               (since > 0 && aContext.mNow - aState.mLastCheckpointAt >=
                               kCheckpointInterval);
  if (!isDue || aState.mIsAppending || !aState.mIsLoaded) {
    return;
  }
  NodeId writer = DutyOwner(aContext.mMembers, "config-checkpoint");
  if (writer != aContext.mMembers.mSelf) {
    return;
  }
  aState.mIsAppending = true;
  aState.mLastCheckpointAt = aContext.mNow;
  aContext.mEffects.push_back(AppendLog{
    aState.mStream, ++aState.mToken, FormatCheckpoint(aState.mConfig) });
  aContext.mEffects.push_back(
    WriteEvent{ kEventCheckpointWritten,
                "covers=" + std::to_string(aState.mConfig.mOffset) });
}

} // namespace

ConfigReaderState
ConfigReaderState::Make(const std::string& aEnvironment, TimePoint aNow)
{
  ConfigReaderState state;
  state.mStream = aEnvironment + ".config";
  state.mStartedAt = aNow;
  state.mLastCheckpointAt = aNow;
  return state;
}

void
ConfigTick(ConfigReaderState& aState, const ConfigContext& aContext)
{
  PullIfBehind(aState, aContext);
  bool isLate = aContext.mNow >= aState.mNextReadAt;
  if (isLate) {
    // A read whose answer never came back is given up.
    aState.mIsReading = false;
    bool isStuck = aState.mBehindSince != TimePoint{} &&
                   aContext.mNow - aState.mBehindSince > kDirectReadDelay;
    bool mustRead =
      !aState.mIsLoaded || isStuck || IsZoneReader(aContext.mMembers);
    aState.mNextReadAt = aContext.mNow + kReadInterval;
    if (mustRead) {
      StartLogRead(aState, aContext);
    }
  }
  WriteCheckpointIfDue(aState, aContext);
}

void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const LogReadResult& aRead)
{
  aState.mIsReading = false;
  aState.mNextReadAt = aContext.mNow + kReadInterval;
  if (!aRead.mIsSuccessful) {
    return;
  }
  if (aRead.mFirst > aState.mConfig.mOffset + 1) {
    SearchForCheckpoint(aState, aContext, aRead);
    return;
  }
  LogOffset before = aState.mConfig.mOffset;
  auto fresh = FoldConsecutive(aState, aContext, aRead.mRecords);
  if (!fresh.empty() && IsZoneReader(aContext.mMembers)) {
    PushToZone(aState, aContext, before, fresh);
  }
  if (aState.mConfig.mOffset >= aRead.mEnd) {
    aState.mIsLoaded = true;
  } else {
    StartLogRead(aState, aContext);
  }
}

void
ConfigReceive(ConfigReaderState& aState, const LogAppendResult& aAppended)
{
  if (aAppended.mToken == aState.mToken) {
    // Where the answer was lost another checkpoint may follow: harmless.
    aState.mIsAppending = false;
  }
}

void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const NodeId& aFrom,
              const ConfigPull& aPull)
{
  if (!aState.mIsLoaded) {
    return;
  }
  ConfigPush push;
  push.mAfter = aPull.mAfter;
  push.mEnd = aState.mConfig.mOffset;
  bool isCovered = aPull.mAfter >= aState.mConfig.mOffset ||
                   (!aState.mRecentRecords.empty() &&
                    aState.mRecentRecords.front().mOffset <= aPull.mAfter + 1);
  if (isCovered) {
    for (const LogRecord& it : aState.mRecentRecords) {
      if (it.mOffset > aPull.mAfter &&
          push.mRecords.size() < kMaxRecordsPerPush) {
        push.mRecords.push_back(it);
      }
    }
  } else {
    push.mCheckpoint = FormatCheckpoint(aState.mConfig);
  }
  aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(push) });
}

void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const NodeId& aFrom,
              const ConfigPush& aPush)
{
  MembershipState& members = aContext.mMembers;
  members.mHeardConfigOffset = std::max(members.mHeardConfigOffset, aPush.mEnd);
  if (!aPush.mCheckpoint.empty()) {
    AdoptCheckpoint(aState, aContext, aPush.mCheckpoint);
  }
  FoldConsecutive(aState, aContext, aPush.mRecords);
  aState.mRespondedPeers.insert(aFrom);
  // All members that were ever named count at first, also those that are said
  // to be dead: a stale peer that was cut off says so of all others.
  bool isPatient = aContext.mNow - aState.mStartedAt < kStartupGracePeriod;
  std::size_t others = 0;
  for (const auto& [node, member] : members.mMembers) {
    others += isPatient || member.mStatus != MemberStatus::Dead ? 1 : 0;
  }
  bool isEnough =
    aState.mRespondedPeers.size() >= std::min(kStartupPeers, others);
  bool isUpToDate = aState.mConfig.mOffset >= members.mHeardConfigOffset;
  if (isEnough && isUpToDate && aState.mConfig.mOffset > 0) {
    aState.mIsLoaded = true;
  }
}

bool
IsConfigCurrent(const ConfigReaderState& aState, TimePoint aNow)
{
  bool isLagging = aState.mBehindSince != TimePoint{} &&
                   aNow - aState.mBehindSince > kMaxServingLag;
  return aState.mIsLoaded && !isLagging &&
         !aState.mConfig.mDocument.mEnvironment.empty();
}

} // namespace vanillascale
