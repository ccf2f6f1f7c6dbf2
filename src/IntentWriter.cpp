#include "IntentWriter.h"

#include "EventNumbers.h"
#include "Hash.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The minimum interval between the appends of one writer. */
constexpr Duration kAppendInterval =
  seconds(1) * static_cast<int>(kIntentShardCount) / kMaxIntentAppendsPerSecond;
constexpr Duration kReadRetryInterval = milliseconds(200);
constexpr Duration kPendingIntentTimeout = seconds(30);
constexpr Duration kKeyCleanupInterval = seconds(10);
constexpr std::size_t kMaxIntentsPerAppend = 2000;

/** Returns the name of the stream of a shard. */
std::string
StreamOfShard(const std::string& aEnvironment, std::size_t aShard)
{
  return aEnvironment + ".intents-" + std::to_string(aShard);
}

/** Starts a read from the fold's offset on, unless one is in progress. */
void
StartRead(IntentWriterState& aState, TimePoint aNow, Effects& aEffects)
{
  if (aState.mIsReading) {
    return;
  }
  aState.mIsReading = true;
  aState.mNextReadAt = aNow + kReadRetryInterval;
  aEffects.push_back(ReadLog{ aState.mStream, aState.mFold.mOffset });
}

/** Appends pending intents as one batch if an append is due and neither an
 * append nor a read is in progress. */
void
StartAppend(IntentWriterState& aState, TimePoint aNow, Effects& aEffects)
{
  bool isDue = aNow >= aState.mNextAppendAt && !aState.mIsAppending &&
               !aState.mIsReading && aState.mIsCaughtUp;
  if (!isDue || aState.mPending.empty()) {
    return;
  }
  std::vector<IntentRequest> batch;
  aState.mBatchOwners.clear();
  for (const auto& [owner, pending] : aState.mPending) {
    if (batch.size() >= kMaxIntentsPerAppend) {
      break;
    }
    batch.push_back(pending.mRequest);
    aState.mBatchOwners.push_back(owner);
  }
  aState.mIsAppending = true;
  aState.mNextAppendAt = aNow + kAppendInterval;
  ++aState.mAppends;
  aEffects.push_back(
    AppendLog{ aState.mStream, ++aState.mToken, SerializeIntents(batch) });
}

/** Sends the decided pending intents' decisions to their requesters, and
 * removes these intents. */
void
SendDecisions(IntentWriterState& aState, Effects& aEffects)
{
  for (auto it = aState.mPending.begin(); it != aState.mPending.end();) {
    auto decision = DecideIntent(aState.mFold, it->second.mRequest);
    if (decision) {
      aEffects.push_back(SendToPeer{ it->second.mRequester, *decision });
    }
    it = decision ? aState.mPending.erase(it) : std::next(it);
  }
}

/** Records whether the log is available, and writes an event on a change. */
void
RecordLogAvailability(IntentWriterState& aState,
                      bool aIsUnavailable,
                      Effects& aEffects)
{
  if (aState.mIsLogUnavailable == aIsUnavailable) {
    return;
  }
  aState.mIsLogUnavailable = aIsUnavailable;
  aEffects.push_back(WriteEvent{ aIsUnavailable ? kEventLogAway : kEventLogBack,
                                 "stream=" + aState.mStream });
}

/** Answers the requests of the refused batch whose intents are certainly not in
 * the log. Kills and intents that an earlier append may have written stay
 * pending. */
void
SendRefusals(IntentWriterState& aState, Effects& aEffects)
{
  for (const IntentOwner& it : aState.mBatchOwners) {
    auto pending = aState.mPending.find(it);
    if (pending == aState.mPending.end() || pending->second.mMayBeWritten ||
        pending->second.mRequest.mIsRevocation) {
      continue;
    }
    IntentDecision decision;
    decision.mRequest = it.mRequest;
    decision.mState = IntentState::LogUnavailable;
    aEffects.push_back(SendToPeer{ pending->second.mRequester, decision });
    aState.mPending.erase(pending);
  }
}

/** Removes pending intents that were last requested more than
 * kPendingIntentTimeout ago. */
void
ExpirePending(IntentWriterState& aState, TimePoint aNow)
{
  for (auto it = aState.mPending.begin(); it != aState.mPending.end();) {
    bool isOld = aNow - it->second.mRequestedAt > kPendingIntentTimeout;
    it = isOld ? aState.mPending.erase(it) : std::next(it);
  }
}

} // namespace

IntentWriterState
IntentWriterState::Make(std::string aStream)
{
  IntentWriterState state;
  state.mStream = std::move(aStream);
  return state;
}

std::string
IntentStream(const std::string& aEnvironment, const RequestKey& aKey)
{
  return StreamOfShard(aEnvironment, Hash64(aKey.mValue) % kIntentShardCount);
}

std::vector<std::string>
IntentStreams(const std::string& aEnvironment)
{
  std::vector<std::string> streams;
  for (std::size_t i = 0; i < kIntentShardCount; ++i) {
    streams.push_back(StreamOfShard(aEnvironment, i));
  }
  return streams;
}

void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const NodeId& aFrom,
                    const IntentRequest& aRequest,
                    Effects& aEffects)
{
  // A decision of the fold is final, so it can be sent without reading the rest
  // of the log. An undecided intent has to be appended first.
  if (auto decision = DecideIntent(aState.mFold, aRequest)) {
    aEffects.push_back(SendToPeer{ aFrom, *decision });
    return;
  }
  auto [it, isNew] = aState.mPending.try_emplace(aRequest.mOwner);
  PendingIntent& pending = it->second;
  // A kill replaces its owner's pending intent, never the other way round.
  if (isNew || aRequest.mIsRevocation) {
    pending.mRequest = aRequest;
  }
  pending.mRequester = aFrom;
  pending.mRequestedAt = aNow;
  StartAppend(aState, aNow, aEffects);
}

void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const LogAppendResult& aAppended,
                    Effects& aEffects)
{
  if (aAppended.mToken != aState.mToken || !aState.mIsAppending) {
    return;
  }
  aState.mIsAppending = false;
  if (aAppended.mOutcome == AppendOutcome::Refused) {
    RecordLogAvailability(aState, true, aEffects);
    SendRefusals(aState, aEffects);
    return;
  }
  for (const IntentOwner& it : aState.mBatchOwners) {
    auto pending = aState.mPending.find(it);
    if (pending != aState.mPending.end()) {
      pending->second.mMayBeWritten = true;
    }
  }
  RecordLogAvailability(
    aState, aAppended.mOutcome == AppendOutcome::Unknown, aEffects);
  StartRead(aState, aNow, aEffects);
}

void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const LogReadResult& aRead,
                    Effects& aEffects)
{
  aState.mIsReading = false;
  if (!aRead.mIsSuccessful) {
    return;
  }
  for (const LogRecord& it : aRead.mRecords) {
    FoldIntents(aState.mFold, it);
  }
  bool isAtEnd = aState.mFold.mOffset >= aRead.mEnd;
  if (!isAtEnd) {
    StartRead(aState, aNow, aEffects);
    return;
  }
  aState.mIsCaughtUp = true;
  SendDecisions(aState, aEffects);
  StartAppend(aState, aNow, aEffects);
}

void
IntentWriterTick(IntentWriterState& aState, TimePoint aNow, Effects& aEffects)
{
  ExpirePending(aState, aNow);
  if (aNow >= aState.mNextKeyCleanupAt) {
    aState.mNextKeyCleanupAt = aNow + kKeyCleanupInterval;
    RemoveOldKeys(aState.mFold);
  }
  bool mustRead =
    !aState.mIsCaughtUp ||
    std::any_of(aState.mPending.begin(),
                aState.mPending.end(),
                [](const auto& aEntry) { return aEntry.second.mMayBeWritten; });
  if (mustRead && aNow >= aState.mNextReadAt) {
    StartRead(aState, aNow, aEffects);
  }
  StartAppend(aState, aNow, aEffects);
}

} // namespace vanillascale
