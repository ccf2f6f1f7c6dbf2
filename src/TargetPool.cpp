#include "TargetPool.h"

#include "EventNumbers.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFirstPause = seconds(5);
constexpr Duration kLongestPause = seconds(60);
constexpr int kPauseGrowth = 4;
constexpr Duration kPauseMemory = seconds(180);
constexpr Duration kPathPause = seconds(5);
constexpr double kTrialFailed = 4.5;
constexpr double kTrialPassed = -4;
constexpr Duration kColdStep = seconds(1);
constexpr Duration kColdTime = seconds(4);

bool
IsUsable(const PooledTarget& aTarget, TimePoint aNow)
{
  return !IsOut(aTarget, aNow) && aTarget.mState == TargetState::Serving;
}

bool
IsCold(const PooledTarget& aTarget, TimePoint aNow)
{
  return aTarget.mWasCold && aNow - aTarget.mSeenAt < kColdTime;
}

unsigned
TotalSlots(const TargetPool& aPool, TimePoint aNow)
{
  unsigned n = 0;
  for (const auto& [id, target] : aPool.mTargets) {
    n += IsOut(target, aNow) ? 0 : target.mSlots;
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
  bool isRemembered =
    aTarget.mPause > Duration(0) && aNow - aTarget.mReturnedAt < kPauseMemory;
  aTarget.mPause =
    isRemembered
      ? std::min<Duration>(aTarget.mPause * kPauseGrowth, kLongestPause)
      : kFirstPause;
  aTarget.mState = TargetState::Ejected;
  aTarget.mRetryAt = aNow + aTarget.mPause;
  aTarget.mReturnedAt = aNow;
  aTarget.mEvidence.mScoresByZone.clear();
  aTarget.mEvidence.mIsSuspect = false;
}

void
Return(PooledTarget& aTarget, TimePoint aNow)
{
  aTarget.mState = TargetState::Serving;
  aTarget.mReturnedAt = aNow;
  aTarget.mEvidence = {};
  aTarget.mTrial = {};
}

void
AvoidPath(PooledTarget& aTarget, TimePoint aNow, const ZoneName& aZone)
{
  AvoidedPath& path = aTarget.mAvoided[aZone];
  path.mPause = path.mPause == Duration(0)
                  ? kPathPause
                  : std::min<Duration>(2 * path.mPause, kLongestPause);
  path.mUntil = aNow + path.mPause;
  // The zone starts afresh when the pause is over.
  aTarget.mEvidence.mScoresByZone.erase(aZone);
  aTarget.mEvidence.mIsSuspect = false;
}

std::vector<PoolChange>
ActOnEvidence(TargetPool& aPool,
              TimePoint aNow,
              const TargetId& aId,
              PooledTarget& aTarget)
{
  std::vector<PoolChange> changes;
  Diagnosis judgement = Diagnose(aTarget.mEvidence, aPool.mActiveZones);
  if (judgement == Diagnosis::TargetFaulty &&
      FloorAllowsEjection(aPool, aNow, aTarget)) {
    Eject(aTarget, aNow);
    changes.push_back(
      { aId,
        kEventTargetEjected,
        "pause_ms=" + std::to_string(aTarget.mPause / milliseconds(1)) });
  } else if (judgement == Diagnosis::PathFaulty) {
    ZoneName zone = aTarget.mEvidence.mSuspectingZone;
    AvoidPath(aTarget, aNow, zone);
    changes.push_back({ aId, kEventPathAvoided, "zone=" + zone.mValue });
  }
  return changes;
}

std::vector<PoolChange>
ActOnTrial(PooledTarget& aTarget, TimePoint aNow, const TargetId& aId)
{
  const LikelihoodScores& trial = aTarget.mTrial;
  if (trial.mFailure >= kTrialFailed || trial.mSlowness >= kTrialFailed) {
    Eject(aTarget, aNow);
    return { { aId,
               kEventTrialFailed,
               "pause_ms=" +
                 std::to_string(aTarget.mPause / milliseconds(1)) } };
  }
  bool hasPassed =
    trial.mFailure <= kTrialPassed && trial.mSlowness <= kTrialPassed;
  if (hasPassed) {
    Return(aTarget, aNow);
    return { { aId, kEventTargetReturned, "" } };
  }
  return {};
}

/** The median of the targets' failure rates: half of them may be sick before it
 * follows the sick ones. */
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
RestoreFloor(TargetPool& aPool,
             TimePoint aNow,
             std::vector<PoolChange>& aChanges)
{
  unsigned total = TotalSlots(aPool, aNow);
  while (UsableSlots(aPool, aNow) * 100 < total * aPool.mFloorPercent) {
    PooledTarget* oldest = nullptr;
    const TargetId* oldestId = nullptr;
    for (auto& [id, target] : aPool.mTargets) {
      bool isCandidate =
        !IsOut(target, aNow) && target.mState != TargetState::Serving;
      if (isCandidate &&
          (!oldest || target.mReturnedAt < oldest->mReturnedAt)) {
        oldest = &target;
        oldestId = &id;
      }
    }
    if (!oldest) {
      return;
    }
    Return(*oldest, aNow);
    aChanges.push_back({ *oldestId, kEventReturnedForFloor, "" });
  }
}

/** How long a node's failure to connect counts: paths are cut for seconds. */
constexpr Duration kUnreachedTime = seconds(4);

} // namespace

bool
IsOut(const PooledTarget& aTarget, TimePoint aNow)
{
  return aTarget.mIsLeaving || aNow < aTarget.mDrainingUntil;
}

unsigned
Busy(const PooledTarget& aTarget)
{
  return aTarget.mBusyShort + aTarget.mBusyLong;
}

unsigned
OpenSlotsOf(const PooledTarget& aTarget, TimePoint aNow)
{
  if (!IsCold(aTarget, aNow)) {
    return aTarget.mSlots;
  }
  auto steps = static_cast<unsigned>((aNow - aTarget.mSeenAt) / kColdStep);
  return std::min(aTarget.mSlots, steps + 1);
}

bool
IsAvoidedFrom(const PooledTarget& aTarget,
              TimePoint aNow,
              const ZoneName& aZone)
{
  auto it = aTarget.mAvoided.find(aZone);
  return it != aTarget.mAvoided.end() && aNow < it->second.mUntil;
}

bool
IsUnreachedFrom(const PooledTarget& aTarget,
                TimePoint aNow,
                const NodeId& aNode)
{
  auto it = aTarget.mUnreachedFrom.find(aNode);
  return it != aTarget.mUnreachedFrom.end() && aNow < it->second;
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
    if (it.mGroup != aVmGroup) {
      continue;
    }
    auto [entry, isNew] = aPool.mTargets.try_emplace(TargetId(it.mAddress));
    PooledTarget& target = entry->second;
    target.mZone = it.mZone;
    target.mSlots = it.mSlots;
    target.mIsLeaving = it.mIsLeaving;
    if (it.mColdLeft > Duration(0)) {
      target.mColdUntil = std::max(target.mColdUntil, aNow + it.mColdLeft);
    }
    if (isNew) {
      target.mSeenAt = aNow;
      target.mWasCold = aPool.mHasView;
    }
  }
  aPool.mHasView = true;
  for (auto it = aPool.mTargets.begin(); it != aPool.mTargets.end();) {
    bool isGone = it->second.mIsLeaving && Busy(it->second) == 0;
    it = isGone ? aPool.mTargets.erase(it) : std::next(it);
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
    n += target.mBusyLong;
  }
  return n;
}

unsigned
BusyShortSlots(const TargetPool& aPool)
{
  unsigned n = 0;
  for (const auto& [id, target] : aPool.mTargets) {
    n += target.mBusyShort;
  }
  return n;
}

bool
HasUnpenalizedTarget(const TargetPool& aPool, TimePoint aNow)
{
  return std::any_of(
    aPool.mTargets.begin(), aPool.mTargets.end(), [&](const auto& aEntry) {
      return IsUsable(aEntry.second, aNow) &&
             !IsPenalized(aEntry.second.mPenalty, aNow);
    });
}

void
NoteUnreached(TargetPool& aPool,
              TimePoint aNow,
              const TargetId& aTarget,
              const NodeId& aNode)
{
  auto it = aPool.mTargets.find(aTarget);
  if (it == aPool.mTargets.end()) {
    return;
  }
  PooledTarget& target = it->second;
  bool isSeenByOthers = false;
  for (auto entry = target.mUnreachedFrom.begin();
       entry != target.mUnreachedFrom.end();) {
    isSeenByOthers =
      isSeenByOthers ||
      (aNow < entry->second && entry->first != aNode &&
       target.mPenalty.mLastSuccessAt < entry->second - kUnreachedTime);
    entry = aNow >= entry->second ? target.mUnreachedFrom.erase(entry)
                                  : std::next(entry);
  }
  target.mUnreachedFrom[aNode] = aNow + kUnreachedTime;
  if (isSeenByOthers) {
    RecordFailure(target.mPenalty, aNow, 2 * kFailureScore);
  }
}

std::vector<PoolChange>
Observe(TargetPool& aPool,
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
  observation.mHasLatency = observation.mHasLatency && !IsCold(target, aNow);
  if (target.mState == TargetState::Trial) {
    LikelihoodScores weight =
      ScoreObservation(observation, aPool.mBaseFailureRate);
    target.mTrial.mFailure += weight.mFailure;
    target.mTrial.mSlowness += weight.mSlowness;
    return ActOnTrial(target, aNow, aTarget);
  }
  if (target.mState == TargetState::Ejected ||
      IsAvoidedFrom(target, aNow, aZone)) {
    // Requests sent before the ejection: they tell of what was acted on.
    return {};
  }
  AddObservation(target.mEvidence, aZone, observation, aPool.mBaseFailureRate);
  return ActOnEvidence(aPool, aNow, aTarget, target);
}

std::vector<PoolChange>
ObserveSilence(TargetPool& aPool,
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
    target.mTrial.mSlowness += kTrialFailed;
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
  aPool.mBaseFailureRate = MedianFailureRate(aPool);
  for (auto& [id, target] : aPool.mTargets) {
    bool isLeftOut =
      aPool.mAreManyUnserved && aNow - target.mUsedAt >= kSpreadTime;
    if (target.mState == TargetState::Ejected &&
        (aNow >= target.mRetryAt || isLeftOut)) {
      target.mState = TargetState::Trial;
      target.mTrial = {};
      changes.push_back({ id, kEventTrialStarted, "" });
    }
  }
  RestoreFloor(aPool, aNow, changes);
  return changes;
}

} // namespace vanillascale
