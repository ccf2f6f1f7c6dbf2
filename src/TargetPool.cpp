#include "TargetPool.h"

#include "EventNumbers.h"

#include <algorithm>
#include <tuple>

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
constexpr unsigned kSettlingRequests = 2;
constexpr Duration kColdStep = seconds(1);
constexpr Duration kColdTime = seconds(4);

bool
IsOut(const PooledTarget& aTarget, TimePoint aNow)
{
  return aTarget.mIsLeaving || aNow < aTarget.mDrainingUntil;
}

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
OpenSlotsOf(const PooledTarget& aTarget, TimePoint aNow)
{
  if (!IsCold(aTarget, aNow)) {
    return aTarget.mSlots;
  }
  auto steps = static_cast<unsigned>((aNow - aTarget.mSeenAt) / kColdStep);
  return std::min(aTarget.mSlots, steps + 1);
}

unsigned
Busy(const PooledTarget& aTarget)
{
  return aTarget.mBusyShort + aTarget.mBusyLong;
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
IsAvoidedFrom(const PooledTarget& aTarget,
              TimePoint aNow,
              const ZoneName& aZone)
{
  auto it = aTarget.mAvoided.find(aZone);
  return it != aTarget.mAvoided.end() && aNow < it->second.mUntil;
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
  aTarget.mEvidence.mByZone.clear();
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
  aTarget.mEvidence.mByZone.erase(aZone);
  aTarget.mEvidence.mIsSuspect = false;
}

std::vector<PoolChange>
ActOnEvidence(TargetPool& aPool,
              TimePoint aNow,
              const TargetId& aId,
              PooledTarget& aTarget)
{
  std::vector<PoolChange> changes;
  Judgement judgement = Judge(aTarget.mEvidence, aPool.mActiveZones);
  if (judgement == Judgement::Sick &&
      FloorAllowsEjection(aPool, aNow, aTarget)) {
    Eject(aTarget, aNow);
    changes.push_back(
      { aId,
        kEventTargetEjected,
        "pause_ms=" + std::to_string(aTarget.mPause / milliseconds(1)) });
  } else if (judgement == Judgement::PathSick) {
    ZoneName zone = aTarget.mEvidence.mAccuser;
    AvoidPath(aTarget, aNow, zone);
    changes.push_back({ aId, kEventPathAvoided, "zone=" + zone.mValue });
  }
  return changes;
}

std::vector<PoolChange>
ActOnTrial(PooledTarget& aTarget, TimePoint aNow, const TargetId& aId)
{
  const SequentialTest& trial = aTarget.mTrial;
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

/** The order in which targets are preferred; smaller goes first. */
struct Preference
{
  /** Doubt or a bad path, in steps. */
  unsigned mRisk = 0;
  bool mIsSuspect = false;
  unsigned mBusyLong = 0;
  /** Its last slot would be used: targets slow down when they are full. */
  bool mIsFilledUp = false;
  bool mIsElsewhere = false;
  unsigned mLoad = 0;
  /** Among equals: the latest proof first for work that may not be repeated,
   * the longest unused first for work that may. */
  Duration mOrder{ 0 };

  bool operator<(const Preference& aOther) const
  {
    auto tie = [](const Preference& aIt) {
      return std::tie(aIt.mRisk,
                      aIt.mIsSuspect,
                      aIt.mBusyLong,
                      aIt.mIsFilledUp,
                      aIt.mIsElsewhere,
                      aIt.mLoad,
                      aIt.mOrder);
    };
    return tie(*this) < tie(aOther);
  }
};

/** How long a node's failure to connect counts: paths are cut for seconds. */
constexpr Duration kUnreachedTime = seconds(4);
/** Without a request for so long, a target may have turned gray unnoticed. */
constexpr Duration kNeglectTime = milliseconds(900);
/** Sound targets must not be left out for two seconds while others fail. */
constexpr Duration kSpreadTime = milliseconds(1300);
constexpr unsigned kRiskDoubted = 1;
constexpr unsigned kRiskUnreached = 2;

bool
IsUnreachedFrom(const PooledTarget& aTarget,
                TimePoint aNow,
                const NodeId& aNode)
{
  auto it = aTarget.mUnreachedFrom.find(aNode);
  return it != aTarget.mUnreachedFrom.end() && aNow < it->second;
}

/** Whether a request should go to a target to settle whether it is well. One or
 * two at a time do, that can bear a failure; for a suspect they come from zones
 * other than the one that raised the suspicion. */
bool
Settles(const TargetPool& aPool,
        const PooledTarget& aTarget,
        TimePoint aNow,
        unsigned aOpen,
        const SlotDemand& aDemand)
{
  unsigned active = Busy(aTarget) - std::min(Busy(aTarget), aTarget.mSilent);
  // Silent requests may never have reached the target, so that they must not
  // keep the question open: a few go beyond the slots that they hold.
  unsigned most = aOpen + std::min(aTarget.mSilent, kSettlingRequests);
  if (!aDemand.mMaySuffer || Busy(aTarget) >= most ||
      IsPausing(aTarget.mTrust, aNow, aPool.mTrialPause)) {
    return false;
  }
  if (aTarget.mState == TargetState::Trial) {
    return active == 0;
  }
  bool isHeard =
    aPool.mActiveZones < 2 || aDemand.mZone != aTarget.mEvidence.mAccuser;
  return aTarget.mState == TargetState::Serving &&
         aTarget.mEvidence.mIsSuspect && isHeard && active < kSettlingRequests;
}

/** Whether a target that answers well again may be found out by a request. */
bool
IsOnTrial(const TargetPool& aPool,
          const PooledTarget& aTarget,
          TimePoint aNow,
          const SlotDemand& aDemand)
{
  return aDemand.mMaySuffer && Busy(aTarget) == 0 &&
         IsTrialDue(aTarget.mTrust, aNow, aPool.mTrialPause);
}

/** Whether nobody knows any more how a target does: it gets a request that may
 * be repeated, also from another zone. While many requests are not served,
 * doubted targets and those on trial get one too, and trusted ones also work
 * that may not be repeated. */
bool
IsNeglected(const TargetPool& aPool,
            const PooledTarget& aTarget,
            TimePoint aNow,
            const SlotDemand& aDemand)
{
  bool isOpen = aTarget.mState != TargetState::Ejected && Busy(aTarget) == 0 &&
                !IsUnreachedFrom(aTarget, aNow, aDemand.mNode);
  bool isTrusted =
    aTarget.mState == TargetState::Serving && !IsDoubted(aTarget.mTrust, aNow);
  Duration unused = aNow - aTarget.mUsedAt;
  bool isUnknown = isTrusted && aDemand.mMaySuffer && unused >= kNeglectTime;
  bool isLeftOut = aPool.mAreManyUnserved && unused >= kSpreadTime &&
                   (isTrusted || aDemand.mMaySuffer);
  return isOpen && (isUnknown || isLeftOut);
}

std::optional<Preference>
Prefer(const TargetPool& aPool,
       const PooledTarget& aTarget,
       TimePoint aNow,
       const SlotDemand& aDemand)
{
  unsigned open = OpenSlotsOf(aTarget, aNow);
  if (Settles(aPool, aTarget, aNow, open, aDemand) ||
      IsNeglected(aPool, aTarget, aNow, aDemand)) {
    // The longest unused first: where many are in question, each gets its turn.
    Preference preference;
    preference.mOrder = aTarget.mUsedAt.time_since_epoch();
    return preference;
  }
  if (aTarget.mState != TargetState::Serving || open == 0) {
    return std::nullopt;
  }
  bool isDoubted = IsDoubted(aTarget.mTrust, aNow);
  if (isDoubted && aDemand.mNeedsTrust) {
    return std::nullopt;
  }
  Preference preference;
  preference.mRisk =
    isDoubted && !IsOnTrial(aPool, aTarget, aNow, aDemand) ? kRiskDoubted : 0;
  if (IsUnreachedFrom(aTarget, aNow, aDemand.mNode)) {
    preference.mRisk = kRiskUnreached;
  }
  preference.mIsSuspect = aTarget.mEvidence.mIsSuspect;
  preference.mIsElsewhere = aTarget.mZone != aDemand.mZone;
  if (aDemand.mMayQueueAhead) {
    bool hasTurnover = 2 * aTarget.mBusyLong < open;
    bool fits = hasTurnover && Busy(aTarget) < open + 1;
    preference.mBusyLong = aTarget.mBusyLong;
    return fits ? std::make_optional(preference) : std::nullopt;
  }
  if (Busy(aTarget) >= open) {
    return std::nullopt;
  }
  preference.mBusyLong = aDemand.mIsLong ? aTarget.mBusyLong : 0;
  preference.mIsFilledUp = open > 1 && Busy(aTarget) + 1 >= open;
  preference.mLoad = 100 * Busy(aTarget) / open;
  preference.mOrder = aDemand.mMaySuffer
                        ? aTarget.mUsedAt.time_since_epoch()
                        : -aTarget.mTrust.mProvedAt.time_since_epoch();
  return preference;
}

} // namespace

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
HasTrusted(const TargetPool& aPool, TimePoint aNow)
{
  return std::any_of(
    aPool.mTargets.begin(), aPool.mTargets.end(), [&](const auto& aEntry) {
      return IsUsable(aEntry.second, aNow) &&
             !IsDoubted(aEntry.second.mTrust, aNow);
    });
}

std::optional<TargetId>
PickTarget(const TargetPool& aPool, TimePoint aNow, const SlotDemand& aDemand)
{
  const TargetId* best = nullptr;
  Preference bestPreference;
  for (const auto& [id, target] : aPool.mTargets) {
    bool isBarred = IsOut(target, aNow) || id == aDemand.mAvoid ||
                    IsAvoidedFrom(target, aNow, aDemand.mZone);
    if (isBarred) {
      continue;
    }
    auto preference = Prefer(aPool, target, aNow, aDemand);
    if (preference && (!best || *preference < bestPreference)) {
      best = &id;
      bestPreference = *preference;
    }
  }
  return best ? std::make_optional(*best) : std::nullopt;
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
    isSeenByOthers = isSeenByOthers ||
                     (aNow < entry->second && entry->first != aNode &&
                      target.mTrust.mProvedAt < entry->second - kUnreachedTime);
    entry = aNow >= entry->second ? target.mUnreachedFrom.erase(entry)
                                  : std::next(entry);
  }
  target.mUnreachedFrom[aNode] = aNow + kUnreachedTime;
  if (isSeenByOthers) {
    NoteFailure(target.mTrust, aNow, 2 * kFailureDoubt);
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
    SequentialTest weight = Weigh(observation, aPool.mBaseFailureRate);
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
  AddSilence(target.mEvidence, aZone);
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
