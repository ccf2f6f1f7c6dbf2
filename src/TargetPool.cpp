#include "TargetPool.h"

#include "EventNumbers.h"
#include "Hash.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInitialEjectionTime = seconds(5);
/** Upper limit of the length of an ejection or a path avoidance. */
constexpr Duration kMaxExclusionTime = seconds(60);
constexpr int kEjectionTimeFactor = 4;
/** Within this time after its last ejection or return, the next ejection of a
 * target is kEjectionTimeFactor times as long. */
constexpr Duration kEjectionMemory = seconds(180);
constexpr Duration kInitialPathAvoidanceTime = seconds(5);
/** A trial fails when one of its scores reaches this value. */
constexpr double kTrialFailThreshold = 4.5;
/** A trial passes when both of its scores have fallen to this value. */
constexpr double kTrialPassThreshold = -4;
/** During its warm-up, a target opens one more slot after each step. */
constexpr Duration kWarmUpStep = seconds(1);
constexpr Duration kWarmUpTime = seconds(4);

bool
IsUsable(const PooledTarget& aTarget, TimePoint aNow)
{
  return !IsLeavingOrDraining(aTarget, aNow) &&
         aTarget.mState == TargetState::Serving;
}

bool
IsWarmingUp(const PooledTarget& aTarget, TimePoint aNow)
{
  return aTarget.mNeedsWarmUp && aNow - aTarget.mFirstSeenAt < kWarmUpTime;
}

/** Returns the number of slots of all targets that are neither leaving nor
 * draining. */
unsigned
TotalSlots(const TargetPool& aPool, TimePoint aNow)
{
  unsigned n = 0;
  for (const auto& [id, target] : aPool.mTargets) {
    n += IsLeavingOrDraining(target, aNow) ? 0 : target.mSlots;
  }
  return n;
}

bool
FloorAllowsEjection(const TargetPool& aPool,
                    TimePoint aNow,
                    const PooledTarget& aTarget)
{
  unsigned left = UsableSlots(aPool, aNow) - aTarget.mSlots;
  return left * 100 >= TotalSlots(aPool, aNow) * aPool.mFloorPercent;
}

void
Eject(PooledTarget& aTarget, TimePoint aNow)
{
  bool isRepeated = aTarget.mExclusionTime > Duration(0) &&
                    aNow - aTarget.mLastTransitionAt < kEjectionMemory;
  aTarget.mExclusionTime =
    isRepeated
      ? std::min<Duration>(aTarget.mExclusionTime * kEjectionTimeFactor,
                           kMaxExclusionTime)
      : kInitialEjectionTime;
  aTarget.mState = TargetState::Ejected;
  aTarget.mTrialDueAt = aNow + aTarget.mExclusionTime;
  aTarget.mLastTransitionAt = aNow;
  aTarget.mEvidence.mScoresByZone.clear();
  aTarget.mEvidence.mIsSuspect = false;
}

void
ReturnToService(PooledTarget& aTarget, TimePoint aNow)
{
  aTarget.mState = TargetState::Serving;
  aTarget.mLastTransitionAt = aNow;
  aTarget.mEvidence = {};
  aTarget.mTrialScores = {};
}

void
AvoidPath(PooledTarget& aTarget, TimePoint aNow, const ZoneName& aZone)
{
  AvoidedPath& path = aTarget.mAvoidedPaths[aZone];
  path.mExclusionTime =
    path.mExclusionTime == Duration(0)
      ? kInitialPathAvoidanceTime
      : std::min<Duration>(2 * path.mExclusionTime, kMaxExclusionTime);
  path.mUntil = aNow + path.mExclusionTime;
  // The zone collects new evidence once the path is in use again.
  aTarget.mEvidence.mScoresByZone.erase(aZone);
  aTarget.mEvidence.mIsSuspect = false;
}

/** Ejects the target or avoids a path to it if the evidence shows a fault. A
 * target is not ejected if the floor forbids it. */
std::vector<PoolChange>
ActOnEvidence(TargetPool& aPool,
              TimePoint aNow,
              const TargetId& aId,
              PooledTarget& aTarget)
{
  std::vector<PoolChange> changes;
  Diagnosis diagnosis = Diagnose(aTarget.mEvidence, aPool.mActiveZoneCount);
  if (diagnosis == Diagnosis::TargetFaulty &&
      FloorAllowsEjection(aPool, aNow, aTarget)) {
    Eject(aTarget, aNow);
    changes.push_back({ aId,
                        kEventTargetEjected,
                        "pause_ms=" + std::to_string(aTarget.mExclusionTime /
                                                     milliseconds(1)) });
  } else if (diagnosis == Diagnosis::PathFaulty) {
    ZoneName zone = aTarget.mEvidence.mSuspectingZone;
    AvoidPath(aTarget, aNow, zone);
    changes.push_back({ aId, kEventPathAvoided, "zone=" + zone.mValue });
  }
  return changes;
}

/** Ejects the target again or returns it to service if the trial is decided. */
std::vector<PoolChange>
ActOnTrial(PooledTarget& aTarget, TimePoint aNow, const TargetId& aId)
{
  const LikelihoodScores& trial = aTarget.mTrialScores;
  if (trial.mFailure >= kTrialFailThreshold ||
      trial.mSlowness >= kTrialFailThreshold) {
    Eject(aTarget, aNow);
    return { { aId,
               kEventTrialFailed,
               "pause_ms=" +
                 std::to_string(aTarget.mExclusionTime / milliseconds(1)) } };
  }
  bool hasPassed = trial.mFailure <= kTrialPassThreshold &&
                   trial.mSlowness <= kTrialPassThreshold;
  if (hasPassed) {
    ReturnToService(aTarget, aNow);
    return { { aId, kEventTargetReturned, "" } };
  }
  return {};
}

/** Returns the median of the targets' failure rates. The median stays
 * representative while fewer than half of the targets are faulty. */
double
MedianFailureRate(const TargetPool& aPool)
{
  std::vector<double> rates;
  for (const auto& [id, target] : aPool.mTargets) {
    rates.push_back(target.mEvidence.mFailureRate);
  }
  if (rates.empty()) {
    return 0;
  }
  auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

void
RemoveIdleLeavingTargets(TargetPool& aPool)
{
  for (auto it = aPool.mTargets.begin(); it != aPool.mTargets.end();) {
    bool isGone = it->second.mIsLeaving && BusySlotsOf(it->second) == 0;
    it = isGone ? aPool.mTargets.erase(it) : std::next(it);
  }
}

/** Returns targets to service, the longest excluded first, until usable
 * capacity reaches the floor. */
void
RestoreFloor(TargetPool& aPool,
             TimePoint aNow,
             std::vector<PoolChange>& aChanges)
{
  unsigned total = TotalSlots(aPool, aNow);
  while (UsableSlots(aPool, aNow) * 100 < total * aPool.mFloorPercent) {
    PooledTarget* earliest = nullptr;
    const TargetId* earliestId = nullptr;
    for (auto& [id, target] : aPool.mTargets) {
      bool isCandidate = !IsLeavingOrDraining(target, aNow) &&
                         target.mState != TargetState::Serving;
      if (isCandidate && (!earliest || target.mLastTransitionAt <
                                         earliest->mLastTransitionAt)) {
        earliest = &target;
        earliestId = &id;
      }
    }
    if (!earliest) {
      return;
    }
    ReturnToService(*earliest, aNow);
    aChanges.push_back({ *earliestId, kEventReturnedForFloor, "" });
  }
}

/** How long a node's failure to connect counts. Network paths fail for seconds
 * at a time. */
constexpr Duration kUnreachableTime = seconds(4);

} // namespace

bool
IsLeavingOrDraining(const PooledTarget& aTarget, TimePoint aNow)
{
  return aTarget.mIsLeaving || aTarget.mStatesLeaving ||
         aNow < aTarget.mDrainingUntil || aNow < aTarget.mDeclinedUntil;
}

unsigned
BusySlotsOf(const PooledTarget& aTarget)
{
  return aTarget.mBusyShortSlots + aTarget.mBusyLongSlots;
}

unsigned
OpenSlotsOf(const PooledTarget& aTarget, TimePoint aNow)
{
  if (!IsWarmingUp(aTarget, aNow)) {
    return aTarget.mSlots;
  }
  auto steps =
    static_cast<unsigned>((aNow - aTarget.mFirstSeenAt) / kWarmUpStep);
  return std::min(aTarget.mSlots, steps + 1);
}

bool
IsAvoidedFrom(const PooledTarget& aTarget,
              TimePoint aNow,
              const ZoneName& aZone)
{
  auto it = aTarget.mAvoidedPaths.find(aZone);
  return it != aTarget.mAvoidedPaths.end() && aNow < it->second.mUntil;
}

bool
IsUnreachableFrom(const PooledTarget& aTarget,
                  TimePoint aNow,
                  const NodeId& aNode)
{
  auto it = aTarget.mUnreachableFrom.find(aNode);
  return it != aTarget.mUnreachableFrom.end() && aNow < it->second;
}

void
UpdatePool(TargetPool& aPool,
           TimePoint aNow,
           const std::string& aVmGroup,
           const std::vector<Vm>& aVms)
{
  for (auto& [id, target] : aPool.mTargets) {
    target.mIsLeaving = true;
  }
  for (const Vm& it : aVms) {
    if (it.mGroup == aVmGroup) {
      UpdateTarget(aPool, aNow, it);
    }
  }
  aPool.mHasVmList = true;
  RemoveIdleLeavingTargets(aPool);
}

void
UpdateTarget(TargetPool& aPool, TimePoint aNow, const Vm& aVm)
{
  auto [entry, isNew] = aPool.mTargets.try_emplace(TargetId(aVm.mAddress));
  PooledTarget& target = entry->second;
  target.mZone = aVm.mZone;
  target.mSlots = aVm.mSlots;
  target.mIsLeaving = aVm.mIsLeaving;
  if (target.mIncarnation != aVm.mIncarnation) {
    target.mIncarnation = aVm.mIncarnation;
    target.mLimit = {};
    target.mStatesLeaving = false;
    target.mPausedFor.clear();
  }
  if (aVm.mWarmupLeft > Duration(0)) {
    target.mReportedWarmUpUntil =
      std::max(target.mReportedWarmUpUntil, aNow + aVm.mWarmupLeft);
  }
  if (isNew) {
    target.mIdHash = Hash64(aVm.mAddress);
    target.mFirstSeenAt = aNow;
    target.mNeedsWarmUp = aPool.mHasVmList;
  }
}

void
RemoveTarget(TargetPool& aPool, const TargetId& aTarget)
{
  auto it = aPool.mTargets.find(aTarget);
  if (it != aPool.mTargets.end()) {
    it->second.mIsLeaving = true;
  }
}

unsigned
UsableSlots(const TargetPool& aPool, TimePoint aNow)
{
  unsigned n = 0;
  for (const auto& [id, target] : aPool.mTargets) {
    n += IsUsable(target, aNow) ? target.mSlots : 0;
  }
  return n;
}

unsigned
OpenSlots(const TargetPool& aPool, TimePoint aNow)
{
  unsigned n = 0;
  for (const auto& [id, target] : aPool.mTargets) {
    n += IsUsable(target, aNow) ? OpenSlotsOf(target, aNow) : 0;
  }
  return n;
}

double
ServiceRate(const TargetPool& aPool, TimePoint aNow, Duration aSlotTime)
{
  double perSlot = 1 / std::chrono::duration<double>(aSlotTime).count();
  double rate = 0;
  for (const auto& [id, target] : aPool.mTargets) {
    if (IsUsable(target, aNow)) {
      double bySlots = perSlot * OpenSlotsOf(target, aNow);
      rate += std::min(bySlots, target.mLimit.mPerSecond.value_or(bySlots));
    }
  }
  return rate;
}

std::size_t
CountLimitedTargets(const TargetPool& aPool)
{
  return static_cast<std::size_t>(std::count_if(
    aPool.mTargets.begin(), aPool.mTargets.end(), [](const auto& aEntry) {
      return aEntry.second.mLimit.mPerSecond.has_value();
    }));
}

std::size_t
CountLeavingTargets(const TargetPool& aPool)
{
  return static_cast<std::size_t>(std::count_if(
    aPool.mTargets.begin(), aPool.mTargets.end(), [](const auto& aEntry) {
      return aEntry.second.mStatesLeaving;
    }));
}

std::size_t
CountPausedTargets(const TargetPool& aPool, TimePoint aNow)
{
  return static_cast<std::size_t>(std::count_if(
    aPool.mTargets.begin(), aPool.mTargets.end(), [&](const auto& aEntry) {
      const auto& paused = aEntry.second.mPausedFor;
      return std::any_of(paused.begin(), paused.end(), [&](const auto& aPause) {
        return aNow < aPause.second;
      });
    }));
}

bool
IsPausedFor(const PooledTarget& aTarget, TimePoint aNow, const NodeId& aNode)
{
  auto it = aTarget.mPausedFor.find(aNode);
  return it != aTarget.mPausedFor.end() && aNow < it->second;
}

bool
AreAllPausedFor(const TargetPool& aPool,
                TimePoint aNow,
                const NodeId& aNode,
                TimePoint aUntil)
{
  bool hasUsable = false;
  for (const auto& [id, target] : aPool.mTargets) {
    if (IsUsable(target, aNow)) {
      hasUsable = true;
      auto it = target.mPausedFor.find(aNode);
      if (it == target.mPausedFor.end() || it->second < aUntil) {
        return false;
      }
    }
  }
  return hasUsable;
}

std::vector<PoolChange>
RecordStatements(TargetPool& aPool,
                 TimePoint aNow,
                 const TargetId& aTarget,
                 const NodeId& aNode,
                 TimePoint aSentAt,
                 const TargetStatements& aStatements)
{
  auto it = aPool.mTargets.find(aTarget);
  if (it == aPool.mTargets.end()) {
    return {};
  }
  PooledTarget& target = it->second;
  std::string heardBy = "heard_by=" + aNode.mValue;
  std::vector<PoolChange> changes;
  if (ApplyStatements(target.mLimit, aNow, aSentAt, aStatements)) {
    bool isLimited = target.mLimit.mPerSecond.has_value();
    changes.push_back(
      { aTarget,
        isLimited ? kEventTargetLimited : kEventTargetUnlimited,
        isLimited ? "per_second=" + std::to_string(*target.mLimit.mPerSecond) +
                      " " + heardBy
                  : "reason=stated " + heardBy });
  }
  if (aStatements.mIsLeaving && !target.mStatesLeaving) {
    target.mStatesLeaving = true;
    changes.push_back({ aTarget, kEventTargetLeaving, heardBy });
  }
  if (aStatements.mPause > Duration(0)) {
    TimePoint& until = target.mPausedFor[aNode];
    until = std::max(until, aNow + aStatements.mPause);
    changes.push_back(
      { aTarget,
        kEventTargetPaused,
        "pause_ms=" + std::to_string(aStatements.mPause / milliseconds(1)) +
          " " + heardBy });
  }
  return changes;
}

std::vector<TargetId>
TargetsOutOfUse(const TargetPool& aPool, TimePoint aNow)
{
  std::vector<TargetId> out;
  for (const auto& [id, target] : aPool.mTargets) {
    if (!target.mIsLeaving && !IsUsable(target, aNow)) {
      out.push_back(id);
    }
  }
  return out;
}

unsigned
BusyLongSlots(const TargetPool& aPool)
{
  unsigned n = 0;
  for (const auto& [id, target] : aPool.mTargets) {
    n += target.mBusyLongSlots;
  }
  return n;
}

unsigned
BusyShortSlots(const TargetPool& aPool)
{
  unsigned n = 0;
  for (const auto& [id, target] : aPool.mTargets) {
    n += target.mBusyShortSlots;
  }
  return n;
}

bool
HasUnpenalizedTarget(const TargetPool& aPool, TimePoint aNow)
{
  return std::any_of(
    aPool.mTargets.begin(), aPool.mTargets.end(), [&](const auto& aEntry) {
      return IsUsable(aEntry.second, aNow) &&
             !IsPenalized(aEntry.second.mPenalty, aNow) &&
             AllowsRequest(aEntry.second.mLimit, aNow);
    });
}

void
RecordUnreachable(TargetPool& aPool,
                  TimePoint aNow,
                  const TargetId& aTarget,
                  const NodeId& aNode)
{
  auto it = aPool.mTargets.find(aTarget);
  if (it == aPool.mTargets.end()) {
    return;
  }
  PooledTarget& target = it->second;
  bool hasOtherFailed = false;
  for (auto entry = target.mUnreachableFrom.begin();
       entry != target.mUnreachableFrom.end();) {
    hasOtherFailed =
      hasOtherFailed ||
      (aNow < entry->second && entry->first != aNode &&
       target.mPenalty.mLastSuccessAt < entry->second - kUnreachableTime);
    entry = aNow >= entry->second ? target.mUnreachableFrom.erase(entry)
                                  : std::next(entry);
  }
  target.mUnreachableFrom[aNode] = aNow + kUnreachableTime;
  if (hasOtherFailed) {
    RecordFailure(target.mPenalty, aNow, 2 * kFailureScore);
  }
}

std::vector<PoolChange>
RecordObservation(TargetPool& aPool,
                  TimePoint aNow,
                  const TargetId& aTarget,
                  const ZoneName& aZone,
                  const Observation& aObservation)
{
  auto it = aPool.mTargets.find(aTarget);
  if (it == aPool.mTargets.end()) {
    return {};
  }
  PooledTarget& target = it->second;
  Observation observation = aObservation;
  observation.mHasLatency =
    observation.mHasLatency && !IsWarmingUp(target, aNow);
  if (target.mState == TargetState::Trial) {
    LikelihoodScores weight =
      ScoreObservation(observation, aPool.mBaseFailureRate);
    target.mTrialScores.mFailure += weight.mFailure;
    target.mTrialScores.mSlowness += weight.mSlowness;
    target.mTrialSuccesses =
      observation.mIsFailure ? 0 : target.mTrialSuccesses + 1;
    return ActOnTrial(target, aNow, aTarget);
  }
  if (target.mState == TargetState::Ejected ||
      IsAvoidedFrom(target, aNow, aZone)) {
    // The request was sent before the ejection or avoidance, which its result
    // must not extend.
    return {};
  }
  AddObservation(target.mEvidence, aZone, observation, aPool.mBaseFailureRate);
  return ActOnEvidence(aPool, aNow, aTarget, target);
}

std::vector<PoolChange>
RecordStalledRequest(TargetPool& aPool,
                     TimePoint aNow,
                     const TargetId& aTarget,
                     const ZoneName& aZone)
{
  auto it = aPool.mTargets.find(aTarget);
  if (it == aPool.mTargets.end()) {
    return {};
  }
  PooledTarget& target = it->second;
  if (target.mState == TargetState::Trial) {
    target.mTrialScores.mSlowness += kTrialFailThreshold;
    return ActOnTrial(target, aNow, aTarget);
  }
  if (target.mState == TargetState::Ejected ||
      IsAvoidedFrom(target, aNow, aZone)) {
    return {};
  }
  AddStalledRequest(target.mEvidence, aZone);
  return ActOnEvidence(aPool, aNow, aTarget, target);
}

std::vector<PoolChange>
PoolTick(TargetPool& aPool, TimePoint aNow)
{
  std::vector<PoolChange> changes;
  RemoveIdleLeavingTargets(aPool);
  aPool.mBaseFailureRate = MedianFailureRate(aPool);
  for (auto& [id, target] : aPool.mTargets) {
    bool isIdleTooLong =
      aPool.mHasHighFailureRate &&
      aNow - target.mLastArrivalAt >= kMaxIdleTimeAtHighFailureRate;
    if (target.mState == TargetState::Ejected &&
        (aNow >= target.mTrialDueAt || isIdleTooLong)) {
      target.mState = TargetState::Trial;
      target.mTrialScores = {};
      target.mTrialSuccesses = 0;
      changes.push_back({ id, kEventTrialStarted, "" });
    }
    for (auto it = target.mPausedFor.begin(); it != target.mPausedFor.end();) {
      it = aNow >= it->second ? target.mPausedFor.erase(it) : std::next(it);
    }
    if (ExpireLimit(target.mLimit, aNow)) {
      changes.push_back({ id, kEventTargetUnlimited, "reason=expired" });
    }
  }
  RestoreFloor(aPool, aNow, changes);
  return changes;
}

} // namespace vanillascale
