#include "TargetChoice.h"

#include <algorithm>
#include <tuple>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kMaxProbesPerTarget = 2;
/** Without a request for so long, a target may have turned gray unnoticed. */
constexpr Duration kMaxIdleTime = milliseconds(900);
constexpr unsigned kRiskPenalized = 1;
constexpr unsigned kRiskUnreachable = 2;

/** The order in which targets are preferred; smaller goes first. */
struct Preference
{
  /** Doubt or a bad path, in steps. */
  unsigned mRisk = 0;
  bool mIsSuspect = false;
  unsigned mBusyLongSlots = 0;
  /** Its last slot would be used: targets slow down when they are full. */
  bool mTakesLastSlot = false;
  bool mIsOtherZone = false;
  unsigned mLoadPercent = 0;
  /** Among equals: the latest proof first for work that may not be repeated,
   * the longest unused first for work that may. */
  Duration mTieBreak{ 0 };

  bool operator<(const Preference& aOther) const
  {
    auto tie = [](const Preference& aIt) {
      return std::tie(aIt.mRisk,
                      aIt.mIsSuspect,
                      aIt.mBusyLongSlots,
                      aIt.mTakesLastSlot,
                      aIt.mIsOtherZone,
                      aIt.mLoadPercent,
                      aIt.mTieBreak);
    };
    return tie(*this) < tie(aOther);
  }
};

/** Whether a request should go to a target to settle whether it is well. One or
 * two at a time do, that can bear a failure; for a suspect they come from zones
 * other than the one that raised the suspicion. */
bool
IsProbeNeeded(const TargetPool& aPool,
              const PooledTarget& aTarget,
              TimePoint aNow,
              unsigned aOpen,
              const SlotDemand& aDemand)
{
  unsigned active = BusySlotsOf(aTarget) -
                    std::min(BusySlotsOf(aTarget), aTarget.mStalledSlots);
  // Silent requests may never have reached the target, so that they must not
  // keep the question open: a few go beyond the slots that they hold.
  unsigned most = aOpen + std::min(aTarget.mStalledSlots, kMaxProbesPerTarget);
  if (!aDemand.mMayProbe || BusySlotsOf(aTarget) >= most ||
      IsInBackoff(aTarget.mPenalty, aNow, aPool.mProbeInterval)) {
    return false;
  }
  if (aTarget.mState == TargetState::Trial) {
    return active == 0;
  }
  bool isHeard = aPool.mActiveZoneCount < 2 ||
                 aDemand.mZone != aTarget.mEvidence.mSuspectingZone;
  return aTarget.mState == TargetState::Serving &&
         aTarget.mEvidence.mIsSuspect && isHeard &&
         active < kMaxProbesPerTarget;
}

/** Whether a target that answers well again may be found out by a request. */
bool
IsPenaltyProbeDue(const TargetPool& aPool,
                  const PooledTarget& aTarget,
                  TimePoint aNow,
                  const SlotDemand& aDemand)
{
  return aDemand.mMayProbe && BusySlotsOf(aTarget) == 0 &&
         IsProbeDue(aTarget.mPenalty, aNow, aPool.mProbeInterval);
}

/** Whether nobody knows any more how a target does: it gets a request that may
 * be repeated, also from another zone. While many requests are not served,
 * doubted targets and those on trial get one too, and trusted ones also work
 * that may not be repeated. */
bool
IsIdleTooLong(const TargetPool& aPool,
              const PooledTarget& aTarget,
              TimePoint aNow,
              const SlotDemand& aDemand)
{
  bool isOpen = aTarget.mState != TargetState::Ejected &&
                BusySlotsOf(aTarget) == 0 &&
                !IsUnreachableFrom(aTarget, aNow, aDemand.mNode);
  bool isTrusted = aTarget.mState == TargetState::Serving &&
                   !IsPenalized(aTarget.mPenalty, aNow);
  Duration unused = aNow - aTarget.mLastRequestAt;
  bool isUnknown = isTrusted && aDemand.mMayProbe && unused >= kMaxIdleTime;
  bool isLeftOut = aPool.mHasHighFailureRate &&
                   unused >= kMaxIdleTimeAtHighFailureRate &&
                   (isTrusted || aDemand.mMayProbe);
  return isOpen && (isUnknown || isLeftOut);
}

std::optional<Preference>
PreferenceFor(const TargetPool& aPool,
              const PooledTarget& aTarget,
              TimePoint aNow,
              const SlotDemand& aDemand)
{
  unsigned open = OpenSlotsOf(aTarget, aNow);
  if (IsProbeNeeded(aPool, aTarget, aNow, open, aDemand) ||
      IsIdleTooLong(aPool, aTarget, aNow, aDemand)) {
    // The longest unused first: where many are in question, each gets its turn.
    Preference preference;
    preference.mTieBreak = aTarget.mLastRequestAt.time_since_epoch();
    return preference;
  }
  if (aTarget.mState != TargetState::Serving || open == 0) {
    return std::nullopt;
  }
  bool isDoubted = IsPenalized(aTarget.mPenalty, aNow);
  if (isDoubted && aDemand.mNeedsUnpenalized) {
    return std::nullopt;
  }
  Preference preference;
  preference.mRisk =
    isDoubted && !IsPenaltyProbeDue(aPool, aTarget, aNow, aDemand)
      ? kRiskPenalized
      : 0;
  if (IsUnreachableFrom(aTarget, aNow, aDemand.mNode)) {
    preference.mRisk = kRiskUnreachable;
  }
  preference.mIsSuspect = aTarget.mEvidence.mIsSuspect;
  preference.mIsOtherZone = aTarget.mZone != aDemand.mZone;
  if (aDemand.mMayQueueAtTarget) {
    bool hasTurnover = 2 * aTarget.mBusyLongSlots < open;
    bool fits = hasTurnover && BusySlotsOf(aTarget) < open + 1;
    preference.mBusyLongSlots = aTarget.mBusyLongSlots;
    return fits ? std::make_optional(preference) : std::nullopt;
  }
  if (BusySlotsOf(aTarget) >= open) {
    return std::nullopt;
  }
  preference.mBusyLongSlots = aDemand.mIsLong ? aTarget.mBusyLongSlots : 0;
  preference.mTakesLastSlot = open > 1 && BusySlotsOf(aTarget) + 1 >= open;
  preference.mLoadPercent = 100 * BusySlotsOf(aTarget) / open;
  preference.mTieBreak =
    aDemand.mMayProbe ? aTarget.mLastRequestAt.time_since_epoch()
                      : -aTarget.mPenalty.mLastSuccessAt.time_since_epoch();
  return preference;
}

} // namespace

std::optional<TargetId>
PickTarget(const TargetPool& aPool, TimePoint aNow, const SlotDemand& aDemand)
{
  const TargetId* best = nullptr;
  Preference bestPreference;
  for (const auto& [id, target] : aPool.mTargets) {
    bool isBarred = IsLeavingOrDraining(target, aNow) || id == aDemand.mAvoid ||
                    IsAvoidedFrom(target, aNow, aDemand.mZone);
    if (isBarred) {
      continue;
    }
    auto preference = PreferenceFor(aPool, target, aNow, aDemand);
    if (preference && (!best || *preference < bestPreference)) {
      best = &id;
      bestPreference = *preference;
    }
  }
  return best ? std::make_optional(*best) : std::nullopt;
}

} // namespace vanillascale
