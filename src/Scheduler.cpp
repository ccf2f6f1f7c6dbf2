#include "Scheduler.h"

#include "EventNumbers.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kListenTime = milliseconds(100);
constexpr Duration kExpiryMargin = seconds(1);
constexpr Duration kScanInterval = milliseconds(20);
constexpr Duration kQueryGrace = milliseconds(30);
/** A query, or the report that answers it, may be lost. */
constexpr Duration kQueryAgainInterval = milliseconds(150);
constexpr Duration kShortestOverdue = milliseconds(10);
constexpr Duration kShortestSilence = milliseconds(250);
constexpr int kSilenceFactor = 5;
/** Of the route's mean: work of a well target takes longer in 3 of 100. */
constexpr int kSlowFactor = 3;
constexpr Duration kViewInterval = seconds(5);
constexpr Duration kClientMemory = seconds(10);
constexpr Duration kActiveZoneMemory = seconds(5);
constexpr int kPatiencePercent = 9;
/** A request whose intent is written needs time to have it ended. */
constexpr int kIntentPatiencePercent = 6;
/** Work that may not be repeated waits so much of its patience for a target
 * that is trusted. */
constexpr int kTrustPatiencePercent = 50;
constexpr Duration kLatelyHalfLife = seconds(1);
/** Targets must be spread over where a tenth is not served. */
constexpr double kManyUnserved = 0.07;
/** Up to a third of the targets may be gray at a time: their trials take about
 * a tenth of the requests. */
constexpr int kRequestsPerTrial = 40;
constexpr int kGapSamples = 32;
constexpr double kDemandStep = 0.01;
constexpr double kReserveSpread = 0.6;
constexpr double kMeanStep = 0.02;
constexpr std::size_t kLookahead = 4;
constexpr int kEpochShift = 32;

/** Counts a request of the service that was, or was not, served. */
void
CountLately(SchedulerState& aState, TimePoint aNow, bool aIsServed)
{
  double halves = static_cast<double>((aNow - aState.mLatelyAt).count()) /
                  static_cast<double>(kLatelyHalfLife.count());
  double kept = std::exp2(-halves);
  aState.mServedLately = kept * aState.mServedLately + (aIsServed ? 1 : 0);
  aState.mUnservedLately = kept * aState.mUnservedLately + (aIsServed ? 0 : 1);
  aState.mLatelyAt = aNow;
}

bool
AreManyUnserved(const SchedulerState& aState)
{
  return aState.mUnservedLately >
         kManyUnserved * (aState.mServedLately + aState.mUnservedLately);
}

/** Spaces the requests that try doubted targets by the rate of requests, so
 * that a busy service learns fast and a quiet one does not spend its requests
 * on them. */
void
NoteArrival(SchedulerState& aState, TimePoint aNow)
{
  Duration gap = aNow - aState.mArrivedAt;
  aState.mArrivalGap += (gap - aState.mArrivalGap) / kGapSamples;
  aState.mArrivedAt = aNow;
  aState.mPool.mTrialPause =
    std::min(aState.mArrivalGap * kRequestsPerTrial, kLongestTrialPause);
}

const char*
ReasonName(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::Overload:
      return "overload";
    case RefusalReason::DeadlineTooShort:
      return "deadline-too-short";
    case RefusalReason::AccountLimit:
      return "account-limit";
    case RefusalReason::HarmfulRequest:
      return "harmful-request";
    case RefusalReason::RetryBudget:
      return "retry-budget";
    case RefusalReason::NoTarget:
      return "no-target";
  }
  return "unknown";
}

void
Refuse(SchedulerState& aState,
       TimePoint aNow,
       const NodeId& aProxy,
       const LeaseRequest& aRequest,
       RefusalReason aReason,
       Effects& aEffects)
{
  ++aState.mCounters.mRefusals[static_cast<std::size_t>(aReason)];
  if (aReason == RefusalReason::Overload ||
      aReason == RefusalReason::NoTarget) {
    CountLately(aState, aNow, false);
  }
  aEffects.push_back(WriteEvent{
    kEventSlotRefused,
    "request=" + aRequest.mName + " service=" + aState.mService.mValue +
      " reason=" + ReasonName(aReason) + " asked_by=" + aProxy.mValue +
      " queued=" + std::to_string(aState.mQueue.mEntries.size()) +
      " open_slots=" + std::to_string(OpenSlots(aState.mPool, aNow)) +
      " leases=" + std::to_string(aState.mLeases.size()) +
      " retry_tokens=" + std::to_string(aState.mRetryTokens) });
  aEffects.push_back(
    SendPeer{ aProxy, LeaseRefusal{ aRequest.mRequest, aReason } });
}

std::size_t
ActiveZones(const SchedulerState& aState, TimePoint aNow)
{
  std::set<ZoneName> zones;
  for (const auto& [node, client] : aState.mClients) {
    if (aNow - client.mLastAt < kActiveZoneMemory) {
      zones.insert(client.mZone);
    }
  }
  return std::max<std::size_t>(zones.size(), 1);
}

void
ReportChanges(SchedulerState& aState,
              const std::vector<PoolChange>& aChanges,
              Effects& aEffects)
{
  for (const PoolChange& it : aChanges) {
    std::string text = "service=" + aState.mService.mValue +
                       " target=" + it.mTarget.mValue + " " + it.mDetail;
    aEffects.push_back(WriteEvent{ it.mEvent, std::move(text) });
  }
}

Duration
ExpectedTime(const SchedulerState& aState)
{
  return std::max(aState.mMeanShort, Duration(1));
}

/** Whether a request could not be served in time even if nothing more came in
 * ahead of it. */
bool
IsHopeless(const SchedulerState& aState,
           TimePoint aNow,
           const LeaseRequest& aRequest,
           Duration aPatience)
{
  if (aRequest.mIsLong) {
    return false;
  }
  unsigned slots = std::max(OpenSlots(aState.mPool, aNow), 1U);
  std::size_t ahead = CountUpTo(aState.mQueue, false, aRequest.mPriority);
  Duration wait =
    ExpectedTime(aState) * static_cast<int>(ahead) / static_cast<int>(slots);
  return wait > aPatience;
}

Duration
MeanTimeOf(const SchedulerState& aState, std::uint32_t aRoute)
{
  auto it = aState.mBaselines.find(aRoute);
  return it == aState.mBaselines.end() ? Duration(0) : it->second.mMean;
}

/** How long a request may wait for a slot. Where its route states a goal: as
 * long as an answer can still come within it. */
Duration
PatienceFor(const SchedulerState& aState, const LeaseRequest& aRequest)
{
  int percent =
    aRequest.mIsIdempotent ? kPatiencePercent : kIntentPatiencePercent;
  Duration least = aRequest.mDeadline * percent / 100;
  if (aRequest.mGoal == Duration(0)) {
    return least;
  }
  Duration work = MeanTimeOf(aState, aRequest.mRoute);
  return std::max(std::min(aRequest.mGoal, aRequest.mDeadline) - work, least);
}

std::optional<RefusalReason>
FindRefusal(SchedulerState& aState,
            TimePoint aNow,
            const Service& aSettings,
            const LeaseRequest& aRequest)
{
  if (IsHarmful(aState.mHarmful, aNow, aRequest.mFingerprint)) {
    return RefusalReason::HarmfulRequest;
  }
  if (aRequest.mDeadline <= Duration(0)) {
    return RefusalReason::DeadlineTooShort;
  }
  if (aRequest.mIsRetry) {
    if (aState.mRetryTokens < 1) {
      return RefusalReason::RetryBudget;
    }
    aState.mRetryTokens -= 1;
    ++aState.mCounters.mRetries;
    return std::nullopt;
  }
  if (!TakeAccountToken(
        aState.mAccounts, aNow, aRequest.mAccount, aSettings.mAccountLimit)) {
    return RefusalReason::AccountLimit;
  }
  if (IsHopeless(aState, aNow, aRequest, PatienceFor(aState, aRequest))) {
    return RefusalReason::Overload;
  }
  return std::nullopt;
}

void
Grant(SchedulerState& aState,
      TimePoint aNow,
      const Service& aSettings,
      const QueueKey& aKey,
      const TargetId& aTarget,
      Effects& aEffects)
{
  WaitingLease waiting = Dequeue(aState.mQueue, aKey);
  const LeaseRequest& request = waiting.mRequest;
  SettleShares(aState.mQueue,
               request.mIsLong,
               aKey.mPriority,
               ExpectedTime(aState),
               aSettings.mGuaranteedPercent);
  PooledTarget& target = aState.mPool.mTargets[aTarget];
  ++(request.mIsLong ? target.mBusyLong : target.mBusyShort);
  target.mUsedAt = aNow;
  LeaseId id = (aState.mEpoch << kEpochShift) | ++aState.mLeaseCount;
  ActiveLease lease;
  lease.mHolder = waiting.mProxy;
  lease.mZone = waiting.mZone;
  lease.mTarget = aTarget;
  lease.mRequest = request.mRequest;
  lease.mRoute = request.mRoute;
  lease.mIsLong = request.mIsLong;
  lease.mPriority = aKey.mPriority;
  lease.mExpected = ExpectedTime(aState);
  lease.mFingerprint = request.mFingerprint;
  lease.mGrantedAt = aNow;
  lease.mExpiresAt = waiting.mDeadlineAt + kExpiryMargin;
  aState.mGranted[{ lease.mHolder, lease.mRequest }] = id;
  aEffects.push_back(SendPeer{
    lease.mHolder,
    LeaseGrant{ lease.mRequest, id, aTarget, waiting.mDeadlineAt - aNow } });
  aState.mLeases.emplace(id, std::move(lease));
  ++aState.mCounters.mGrants;
  if (!request.mIsRetry) {
    aState.mRetryTokens =
      std::min<double>(aState.mRetryTokens + aSettings.mRetryPercent / 100.0,
                       aSettings.mRetryBurst);
  }
}

SlotDemand
DemandOf(const WaitingLease& aWaiting, TimePoint aNow)
{
  const LeaseRequest& request = aWaiting.mRequest;
  SlotDemand demand;
  demand.mNode = aWaiting.mProxy;
  demand.mZone = aWaiting.mZone;
  Duration patience = aWaiting.mPatienceUntil - aWaiting.mArrivedAt;
  // A repeat is often the last send that its route allows.
  bool isLastChance = !request.mIsIdempotent || request.mIsRetry;
  demand.mNeedsTrust = isLastChance && aNow - aWaiting.mArrivedAt <
                                         patience * kTrustPatiencePercent / 100;
  demand.mAvoid = request.mAvoid;
  demand.mIsLong = request.mIsLong;
  demand.mMaySuffer =
    request.mIsIdempotent && !request.mIsRetry && !request.mIsLong;
  return demand;
}

/** What came of trying to place the waiting requests of one priority. */
enum class Placement
{
  Granted,
  /** No target has room for it. */
  NoRoom,
  /** There is room, but only at targets that it must not be risked at. */
  NoTrusted
};

/** Lends a slot to one of the first waiting requests of a priority. */
Placement
GrantFrom(SchedulerState& aState,
          TimePoint aNow,
          const Service& aSettings,
          bool aIsLong,
          std::uint8_t aPriority,
          Effects& aEffects)
{
  // A queue longer than the targets are many shows an overload: then a target
  // may have one more request at hand for the moment a slot falls free.
  std::size_t waiting = CountUpTo(aState.mQueue, false, kPriorityLevels - 1);
  bool isOverload = !aIsLong && waiting > aState.mPool.mTargets.size();
  bool hasTrusted = HasTrusted(aState.mPool, aNow);
  Placement placement = Placement::NoRoom;
  auto it = FirstOf(aState.mQueue, aIsLong, aPriority);
  for (std::size_t n = 0; n < kLookahead && it != aState.mQueue.mEntries.end();
       ++n, ++it) {
    if (it->first.mPriority != aPriority || it->first.mIsLong != aIsLong) {
      break;
    }
    SlotDemand demand = DemandOf(it->second, aNow);
    demand.mNeedsTrust = demand.mNeedsTrust && hasTrusted;
    auto target = PickTarget(aState.mPool, aNow, demand);
    if (!target && isOverload) {
      demand.mMayQueueAhead = true;
      target = PickTarget(aState.mPool, aNow, demand);
      aState.mCounters.mGrantsAhead += target ? 1 : 0;
    }
    if (target) {
      QueueKey key = it->first;
      Grant(aState, aNow, aSettings, key, *target, aEffects);
      return Placement::Granted;
    }
    placement = demand.mNeedsTrust ? Placement::NoTrusted : placement;
  }
  return placement;
}

/** Lends one slot. Where urgent work waits for a trusted target, less urgent
 * work that may be repeated takes the slots of the others meanwhile. */
bool
GrantOne(SchedulerState& aState,
         TimePoint aNow,
         const Service& aSettings,
         bool aIsLong,
         Effects& aEffects)
{
  std::uint8_t first =
    NextPriority(aState.mQueue, aIsLong, ExpectedTime(aState));
  for (std::uint8_t it = first; it > 0 && it < kPriorityLevels; ++it) {
    Placement placement =
      GrantFrom(aState, aNow, aSettings, aIsLong, it, aEffects);
    if (placement == Placement::Granted) {
      return true;
    }
    bool isEmpty = aState.mQueue.mCounts[aIsLong ? 1 : 0][it] == 0;
    if (placement == Placement::NoRoom && !isEmpty) {
      return false;
    }
  }
  return false;
}

bool
LongMayStart(const SchedulerState& aState,
             TimePoint aNow,
             const Service& aSettings)
{
  unsigned open = OpenSlots(aState.mPool, aNow);
  unsigned reserved = ReservedForShort(aState, aNow);
  unsigned guaranteed = std::max(1U, open * aSettings.mGuaranteedPercent / 100);
  unsigned most = std::max(guaranteed, open - std::min(open, reserved));
  return BusyLongSlots(aState.mPool) < most;
}

void
LendSlots(SchedulerState& aState,
          TimePoint aNow,
          const Service& aSettings,
          Effects& aEffects)
{
  if (aNow < aState.mGrantsFrom) {
    return;
  }
  while (GrantOne(aState, aNow, aSettings, false, aEffects)) {
  }
  while (LongMayStart(aState, aNow, aSettings) &&
         GrantOne(aState, aNow, aSettings, true, aEffects)) {
  }
}

ActiveLease
EndLease(SchedulerState& aState,
         std::unordered_map<LeaseId, ActiveLease>::iterator aIt)
{
  ActiveLease lease = std::move(aIt->second);
  auto granted = aState.mGranted.find({ lease.mHolder, lease.mRequest });
  if (granted != aState.mGranted.end() && granted->second == aIt->first) {
    aState.mGranted.erase(granted);
  }
  aState.mLeases.erase(aIt);
  auto target = aState.mPool.mTargets.find(lease.mTarget);
  if (target != aState.mPool.mTargets.end()) {
    unsigned& busy =
      lease.mIsLong ? target->second.mBusyLong : target->second.mBusyShort;
    busy -= busy > 0 ? 1 : 0;
    unsigned& silent = target->second.mSilent;
    silent -= lease.mSilences > 0 && silent > 0 ? 1 : 0;
  }
  return lease;
}

/** What an ended request says of its target; nothing where it says nothing. */
std::optional<Observation>
Interpret(const SchedulerState& aState,
          const ActiveLease& aLease,
          const LeaseReport& aReport)
{
  auto it = aState.mBaselines.find(aLease.mRoute);
  bool isComparable = it != aState.mBaselines.end() && IsMature(it->second) &&
                      !aLease.mIsCountedSlow;
  bool isSlow = isComparable && aReport.mLatency > it->second.mNinetieth;
  Observation observation;
  switch (aReport.mOutcome) {
    case TargetOutcome::Answered:
      observation.mHasLatency = isComparable;
      observation.mIsSlow = isSlow;
      return observation;
    case TargetOutcome::ServerError:
    case TargetOutcome::Shed:
    case TargetOutcome::Broken:
      observation.mIsFailure = true;
      return observation;
    case TargetOutcome::ConnectFailed:
      observation.mIsFailure = true;
      observation.mIsConnectFailure = true;
      return observation;
    case TargetOutcome::TimedOut:
      // A caller's short deadline is not the target's fault.
      observation.mIsFailure = isSlow || aLease.mIsCountedSlow;
      return observation.mIsFailure ? std::make_optional(observation)
                                    : std::nullopt;
    case TargetOutcome::Draining:
    case TargetOutcome::Cancelled:
    case TargetOutcome::Unused:
      return std::nullopt;
  }
  return std::nullopt;
}

/** Adjusts the trust in a target by how a request ended. */
void
AdjustTrust(SchedulerState& aState,
            TimePoint aNow,
            const ActiveLease& aLease,
            const LeaseReport& aReport)
{
  auto it = aState.mPool.mTargets.find(aLease.mTarget);
  if (it == aState.mPool.mTargets.end()) {
    return;
  }
  if (aReport.mOutcome == TargetOutcome::ConnectFailed) {
    NoteUnreached(aState.mPool, aNow, aLease.mTarget, aLease.mHolder);
    return;
  }
  bool isLateProof =
    aReport.mOutcome == TargetOutcome::Answered && aLease.mIsDoubted;
  if (!isLateProof) {
    NoteOutcome(it->second.mTrust, aNow, aLease.mGrantedAt, aReport.mOutcome);
  }
}

void
Learn(SchedulerState& aState,
      TimePoint aNow,
      const ActiveLease& aLease,
      const LeaseReport& aReport,
      Effects& aEffects)
{
  AdjustTrust(aState, aNow, aLease, aReport);
  bool isServed = aReport.mOutcome == TargetOutcome::Answered;
  bool isUnserved = aReport.mOutcome == TargetOutcome::ServerError ||
                    aReport.mOutcome == TargetOutcome::Broken ||
                    aReport.mOutcome == TargetOutcome::TimedOut;
  if (isServed || isUnserved) {
    CountLately(aState, aNow, isServed);
  }
  if (aReport.mOutcome == TargetOutcome::Answered) {
    NoteServed(aState.mHarmful, aNow, aLease.mFingerprint);
  }
  if (aReport.mOutcome == TargetOutcome::Draining) {
    auto it = aState.mPool.mTargets.find(aLease.mTarget);
    if (it != aState.mPool.mTargets.end()) {
      it->second.mDrainingUntil = aNow + seconds(15);
    }
  }
  if (aReport.mOutcome == TargetOutcome::Broken) {
    bool isHarmful = NoteCrash(aState.mHarmful,
                               aNow,
                               aLease.mFingerprint,
                               aLease.mTarget,
                               aState.mPool.mTargets.size());
    if (isHarmful) {
      aEffects.push_back(
        WriteEvent{ kEventRequestQuarantined,
                    "service=" + aState.mService.mValue +
                      " fingerprint=" + std::to_string(aLease.mFingerprint) });
    }
  }
  auto observation = Interpret(aState, aLease, aReport);
  if (aReport.mOutcome == TargetOutcome::Answered) {
    AddSample(aState.mBaselines[aLease.mRoute], aReport.mLatency);
    if (!aLease.mIsLong) {
      double mean = static_cast<double>(aState.mMeanShort.count());
      double latency = static_cast<double>(aReport.mLatency.count());
      mean = mean == 0 ? latency : mean + kMeanStep * (latency - mean);
      aState.mMeanShort = Duration(std::llround(mean));
    }
  }
  if (observation) {
    auto changes =
      Observe(aState.mPool, aNow, aLease.mTarget, aLease.mZone, *observation);
    ReportChanges(aState, changes, aEffects);
  }
}

void
RefuseImpatient(SchedulerState& aState, TimePoint aNow, Effects& aEffects)
{
  bool hasTargets = UsableSlots(aState.mPool, aNow) > 0;
  for (const QueueKey& it : Impatient(aState.mQueue, aNow)) {
    WaitingLease waiting = Dequeue(aState.mQueue, it);
    Refuse(aState,
           aNow,
           waiting.mProxy,
           waiting.mRequest,
           hasTargets ? RefusalReason::Overload : RefusalReason::NoTarget,
           aEffects);
  }
}

/** A request that takes long may be long work, or stuck at a gray target. */
void
DoubtSlow(SchedulerState& aState, TimePoint aNow, const TargetId& aTarget)
{
  auto it = aState.mPool.mTargets.find(aTarget);
  if (it != aState.mPool.mTargets.end()) {
    NoteSlow(it->second.mTrust, aNow);
  }
}

/** Looks at the leases that last long: asks their holders, then holds them
 * against their targets. */
void
ScanLeases(SchedulerState& aState, TimePoint aNow, Effects& aEffects)
{
  std::map<NodeId, std::vector<LeaseId>> queries;
  std::vector<LeaseId> expired;
  for (auto& [id, lease] : aState.mLeases) {
    if (aNow >= lease.mExpiresAt) {
      expired.push_back(id);
      continue;
    }
    auto it = aState.mBaselines.find(lease.mRoute);
    if (it == aState.mBaselines.end() || !IsMature(it->second)) {
      continue;
    }
    Duration age = aNow - lease.mGrantedAt;
    Duration overdue = std::max(it->second.mNinetieth, kShortestOverdue);
    bool isUnanswered =
      lease.mIsQueried && aNow - lease.mQueriedAt >= kQueryAgainInterval;
    if (age > overdue && (!lease.mIsQueried || isUnanswered)) {
      lease.mIsQueried = true;
      lease.mQueriedAt = aNow;
      queries[lease.mHolder].push_back(id);
    }
    // Only a holder that was asked, and did not say that it no longer has the
    // lease, shows that the target is slow.
    bool isConfirmed = lease.mIsQueried && age > overdue + kQueryGrace;
    if (isConfirmed && !lease.mIsDoubted &&
        age > it->second.mMean * kSlowFactor) {
      lease.mIsDoubted = true;
      DoubtSlow(aState, aNow, lease.mTarget);
    }
    if (!lease.mIsCountedSlow && age > overdue + kQueryGrace) {
      lease.mIsCountedSlow = true;
      Observation slow;
      slow.mHasLatency = true;
      slow.mIsSlow = true;
      auto changes =
        Observe(aState.mPool, aNow, lease.mTarget, lease.mZone, slow);
      ReportChanges(aState, changes, aEffects);
    }
    Duration silence = std::max(overdue * kSilenceFactor, kShortestSilence);
    if (age > silence * (1 << std::min(lease.mSilences, 16U))) {
      ++lease.mSilences;
      auto target = aState.mPool.mTargets.find(lease.mTarget);
      if (target != aState.mPool.mTargets.end() && lease.mSilences == 1) {
        ++target->second.mSilent;
      }
      auto changes =
        ObserveSilence(aState.mPool, aNow, lease.mTarget, lease.mZone);
      ReportChanges(aState, changes, aEffects);
    }
  }
  for (LeaseId it : expired) {
    EndLease(aState, aState.mLeases.find(it));
    ++aState.mCounters.mExpired;
  }
  for (auto& [node, leases] : queries) {
    aEffects.push_back(
      SendPeer{ node, LeaseQuery{ aState.mService, std::move(leases) } });
  }
}

/** Tells clients which targets are out of use, for the time when they may have
 * to choose alone. They know the targets themselves from the VM list. */
void
SendViews(SchedulerState& aState, TimePoint aNow, Effects& aEffects)
{
  TargetView view{ aState.mService, TargetsOutOfUse(aState.mPool, aNow) };
  for (auto it = aState.mClients.begin(); it != aState.mClients.end();) {
    SchedulerClient& client = it->second;
    if (aNow - client.mLastAt > kClientMemory) {
      it = aState.mClients.erase(it);
      continue;
    }
    bool hasAsked = client.mLastAt > client.mViewAt;
    if (hasAsked && !view.mOutOfUse.empty() &&
        aNow - client.mViewAt >= kViewInterval) {
      client.mViewAt = aNow;
      aEffects.push_back(SendPeer{ it->first, view });
    }
    ++it;
  }
}

void
MeetClient(SchedulerState& aState,
           TimePoint aNow,
           const NodeId& aNode,
           const ZoneName& aZone)
{
  SchedulerClient& client = aState.mClients[aNode];
  client.mZone = aZone;
  client.mLastAt = aNow;
  aState.mLastAskedAt = aNow;
}

} // namespace

SchedulerState
SchedulerState::Make(ServiceName aService,
                     NodeId aSelf,
                     std::uint32_t aEpoch,
                     TimePoint aNow)
{
  SchedulerState state;
  state.mService = std::move(aService);
  state.mSelf = std::move(aSelf);
  state.mEpoch = aEpoch;
  state.mGrantsFrom = aNow + kListenTime;
  state.mLastAskedAt = aNow;
  return state;
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseRequest& aRequest,
                 Effects& aEffects)
{
  MeetClient(aState, aNow, aFrom, aZone);
  auto granted = aState.mGranted.find({ aFrom, aRequest.mRequest });
  if (granted != aState.mGranted.end()) {
    const ActiveLease& lease = aState.mLeases.at(granted->second);
    aEffects.push_back(SendPeer{ aFrom,
                                 LeaseGrant{ aRequest.mRequest,
                                             granted->second,
                                             lease.mTarget,
                                             aRequest.mDeadline } });
    return;
  }
  if (FindWaiting(aState.mQueue, aFrom, aRequest.mRequest)) {
    aEffects.push_back(SendPeer{ aFrom, LeaseQueued{ aRequest.mRequest } });
    return;
  }
  NoteArrival(aState, aNow);
  auto refusal = FindRefusal(aState, aNow, aSettings, aRequest);
  if (refusal) {
    Refuse(aState, aNow, aFrom, aRequest, *refusal, aEffects);
    return;
  }
  WaitingLease waiting;
  waiting.mProxy = aFrom;
  waiting.mZone = aZone;
  waiting.mRequest = aRequest;
  waiting.mArrivedAt = aNow;
  waiting.mDeadlineAt = aNow + aRequest.mDeadline;
  waiting.mPatienceUntil = aNow + PatienceFor(aState, aRequest);
  Enqueue(aState.mQueue, std::move(waiting));
  LendSlots(aState, aNow, aSettings, aEffects);
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 const NodeId& aFrom,
                 const LeaseReport& aReport,
                 Effects& aEffects)
{
  auto it = aState.mLeases.find(aReport.mLease);
  if (it == aState.mLeases.end() || it->second.mHolder != aFrom) {
    return;
  }
  ActiveLease lease = EndLease(aState, it);
  SettleShares(aState.mQueue,
               lease.mIsLong,
               lease.mPriority,
               aReport.mLatency - lease.mExpected,
               aSettings.mGuaranteedPercent);
  Learn(aState, aNow, lease, aReport, aEffects);
  LendSlots(aState, aNow, aSettings, aEffects);
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint /*aNow*/,
                 const NodeId& aFrom,
                 const LeaseWithdrawal& aWithdrawal)
{
  if (auto key = FindWaiting(aState.mQueue, aFrom, aWithdrawal.mRequest)) {
    Dequeue(aState.mQueue, *key);
    return;
  }
  // A grant that crossed the withdrawal, or never reached its proxy.
  auto granted = aState.mGranted.find({ aFrom, aWithdrawal.mRequest });
  if (granted != aState.mGranted.end()) {
    EndLease(aState, aState.mLeases.find(granted->second));
  }
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseSync& aSync)
{
  MeetClient(aState, aNow, aFrom, aZone);
  for (const HeldLease& it : aSync.mLeases) {
    auto target = aState.mPool.mTargets.find(it.mTarget);
    bool isKnown = aState.mLeases.count(it.mLease) > 0;
    if (isKnown || target == aState.mPool.mTargets.end()) {
      continue;
    }
    ActiveLease lease;
    lease.mHolder = aFrom;
    lease.mZone = aZone;
    lease.mTarget = it.mTarget;
    lease.mIsLong = it.mIsLong;
    lease.mGrantedAt = aNow;
    lease.mExpiresAt = aNow + it.mDeadline + kExpiryMargin;
    ++(it.mIsLong ? target->second.mBusyLong : target->second.mBusyShort);
    aState.mLeases.emplace(it.mLease, std::move(lease));
  }
}

void
SchedulerTick(SchedulerState& aState,
              TimePoint aNow,
              const Service& aSettings,
              Effects& aEffects)
{
  aState.mPool.mFloorPercent = aSettings.mFloorPercent;
  double waiting =
    static_cast<double>(CountUpTo(aState.mQueue, false, kPriorityLevels - 1));
  double open = OpenSlots(aState.mPool, aNow);
  double needed = BusyShortSlots(aState.mPool) + std::min(waiting, open);
  aState.mShortDemand += kDemandStep * (needed - aState.mShortDemand);
  RefuseImpatient(aState, aNow, aEffects);
  aState.mPool.mActiveZones = ActiveZones(aState, aNow);
  aState.mPool.mAreManyUnserved = AreManyUnserved(aState);
  ReportChanges(aState, PoolTick(aState.mPool, aNow), aEffects);
  if (aNow >= aState.mNextScanAt) {
    aState.mNextScanAt = aNow + kScanInterval;
    ScanLeases(aState, aNow, aEffects);
    ForgetOldCrashes(aState.mHarmful, aNow);
    ForgetFullBuckets(aState.mAccounts, aNow);
    SendViews(aState, aNow, aEffects);
  }
  LendSlots(aState, aNow, aSettings, aEffects);
}

void
ForgetHolder(SchedulerState& aState, const NodeId& aNode)
{
  for (auto it = aState.mLeases.begin(); it != aState.mLeases.end();) {
    auto here = it++;
    if (here->second.mHolder == aNode) {
      EndLease(aState, here);
    }
  }
  std::vector<QueueKey> keys;
  for (const auto& [key, waiting] : aState.mQueue.mEntries) {
    if (waiting.mProxy == aNode) {
      keys.push_back(key);
    }
  }
  for (const QueueKey& it : keys) {
    Dequeue(aState.mQueue, it);
  }
  aState.mClients.erase(aNode);
}

unsigned
ReservedForShort(const SchedulerState& aState, TimePoint aNow)
{
  double demand = aState.mShortDemand;
  double reserve = demand + kReserveSpread * std::sqrt(demand);
  auto open = static_cast<double>(OpenSlots(aState.mPool, aNow));
  return static_cast<unsigned>(std::lround(std::min(reserve, open)));
}

} // namespace vanillascale
