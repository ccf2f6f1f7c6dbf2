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
/** A node that is behind for longer than this reads the log itself. */
constexpr Duration kDirectReadDelay = seconds(2);
/** Time after the start during which dead members count as expected peers. */
constexpr Duration kStartupGracePeriod = seconds(10);
/** A node that is behind for longer than this is not ready for callers. */
constexpr Duration kMaxServingLag = seconds(5);
constexpr std::size_t kMaxRecentRecords = 1000;
constexpr std::size_t kMaxRecordsPerPush = 200;
/** Peers to pull from at startup and when pulls from the zone's readers fail.
 * Also the number of peers that must respond before a node counts as loaded,
 * unless it reads the log itself. */
constexpr std::size_t kStartupPeers = 3;
constexpr LogOffset kRecordsPerCheckpoint = 500;
constexpr Duration kCheckpointInterval = minutes(10);

/** Returns the nodes of this node's zone that read the log. */
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

/** Returns aMembers without aSelf. */
std::vector<NodeId>
ExcludeSelf(const std::vector<NodeId>& aMembers, const NodeId& aSelf)
{
  std::vector<NodeId> peers = aMembers;
  peers.erase(std::remove(peers.begin(), peers.end(), aSelf), peers.end());
  return peers;
}

/** Records this node's offset in the membership state, which sends it to peers
 * with probes. */
void
PublishOwnOffset(const ConfigReaderState& aState, const ConfigContext& aContext)
{
  MembershipState& members = aContext.mMembers;
  members.mOwnConfigOffset = aState.mConfig.mOffset;
  members.mHeardConfigOffset =
    std::max(members.mHeardConfigOffset, aState.mConfig.mOffset);
}

/** Folds the records that follow this node's offset without a gap and skips all
 * others. Returns the folded records. */
std::vector<LogRecord>
FoldConsecutive(ConfigReaderState& aState,
                const ConfigContext& aContext,
                const std::vector<LogRecord>& aRecords)
{
  std::vector<LogRecord> folded;
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
    folded.push_back(it);
  }
  while (aState.mRecentRecords.size() > kMaxRecentRecords) {
    aState.mRecentRecords.pop_front();
  }
  PublishOwnOffset(aState, aContext);
  return folded;
}

/** Replaces the configuration by that of a checkpoint if the checkpoint is
 * valid and newer. Returns whether it was replaced. */
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

/** Requests a read of the log after this node's offset or, while a checkpoint
 * is searched for, after the last record searched. */
void
StartLogRead(ConfigReaderState& aState, const ConfigContext& aContext)
{
  aState.mIsReading = true;
  aState.mNextReadAt = aContext.mNow + kReadTimeout;
  LogOffset after =
    std::max(aState.mConfig.mOffset, aState.mCheckpointSearchOffset);
  aContext.mEffects.push_back(ReadLog{ aState.mStream, after });
}

/** Searches the records read for a checkpoint that covers the records that the
 * platform no longer keeps, so that the fold can continue from it. */
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
  // The log holds no usable checkpoint. A peer may send the state, or a
  // checkpoint may be appended later, so the next read searches again.
  aState.mCheckpointSearchOffset = 0;
}

/** Pushes new records to the nodes of the zone that are assigned to this reader
 * by rendezvous hashing. */
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
    // Each node of the zone is assigned to one reader. A node whose reader
    // cannot reach the log learns of the new offset from probes and pulls.
    if (PickOwner(readers, it.mValue) == members.mSelf) {
      aContext.mEffects.push_back(SendToPeer{ it, push });
    }
  }
}

/** Sends a pull to each of aCount peers chosen at random, or to all peers if
 * there are fewer. */
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

/** Updates mBehindSince, and sends pulls, at most once per kPullInterval, while
 * the node is behind or not loaded. */
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
  bool isPullNeeded = isBehind || !aState.mIsLoaded;
  if (!isPullNeeded || aContext.mNow < aState.mNextPullAt) {
    return;
  }
  aState.mNextPullAt = aContext.mNow + kPullInterval;
  std::vector<NodeId> readers = ZoneReaders(members);
  std::vector<NodeId> livePeers =
    ExcludeSelf(LiveMembers(members), members.mSelf);
  std::vector<NodeId> otherReaders = ExcludeSelf(readers, members.mSelf);
  if (aState.mIsLoaded && !otherReaders.empty()) {
    PullFrom(aState, aContext, otherReaders, 1);
  }
  // The zone's readers may be cut off from the log as well, so a node that
  // stays behind also pulls from random peers of all zones.
  bool isPullOverdue =
    isBehind && aContext.mNow - aState.mBehindSince > 2 * kPullInterval;
  if (!aState.mIsLoaded || otherReaders.empty() || isPullOverdue) {
    PullFrom(aState, aContext, livePeers, kStartupPeers);
  }
}

/** Appends a checkpoint if one is due and this node owns the duty of writing
 * checkpoints. */
void
WriteCheckpointIfDue(ConfigReaderState& aState, const ConfigContext& aContext)
{
  LogOffset recordsSinceCheckpoint =
    aState.mConfig.mOffset - aState.mLastCheckpointOffset;
  bool isDue =
    recordsSinceCheckpoint >= kRecordsPerCheckpoint ||
    (recordsSinceCheckpoint > 0 &&
     aContext.mNow - aState.mLastCheckpointAt >= kCheckpointInterval);
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
  bool isReadDue = aContext.mNow >= aState.mNextReadAt;
  if (isReadDue) {
    // A read without a result within kReadTimeout is abandoned.
    aState.mIsReading = false;
    bool isPullFailing = aState.mBehindSince != TimePoint{} &&
                         aContext.mNow - aState.mBehindSince > kDirectReadDelay;
    bool isReadNeeded =
      !aState.mIsLoaded || isPullFailing || IsZoneReader(aContext.mMembers);
    aState.mNextReadAt = aContext.mNow + kReadInterval;
    if (isReadNeeded) {
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
  LogOffset previousOffset = aState.mConfig.mOffset;
  auto folded = FoldConsecutive(aState, aContext, aRead.mRecords);
  if (!folded.empty() && IsZoneReader(aContext.mMembers)) {
    PushToZone(aState, aContext, previousOffset, folded);
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
    // If the result is lost, a second checkpoint may be appended, which
    // changes no state.
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
  bool hasRecords = aPull.mAfter >= aState.mConfig.mOffset ||
                    (!aState.mRecentRecords.empty() &&
                     aState.mRecentRecords.front().mOffset <= aPull.mAfter + 1);
  if (hasRecords) {
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
  // During the grace period members that are reported dead count as well: a
  // stale peer that was cut off from the fleet reports all others as dead.
  bool isInGracePeriod =
    aContext.mNow - aState.mStartedAt < kStartupGracePeriod;
  std::size_t expectedPeers = 0;
  for (const auto& [node, member] : members.mMembers) {
    expectedPeers +=
      isInGracePeriod || member.mStatus != MemberStatus::Dead ? 1 : 0;
  }
  bool hasEnoughPeers =
    aState.mRespondedPeers.size() >= std::min(kStartupPeers, expectedPeers);
  bool isUpToDate = aState.mConfig.mOffset >= members.mHeardConfigOffset;
  if (hasEnoughPeers && isUpToDate && aState.mConfig.mOffset > 0) {
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
