#include "TargetChoice.h"

#include "Hash.h"
#include "TargetArrivals.h"
#include "TargetConcentration.h"

#include <algorithm>
#include <tuple>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** The number of concurrent probes of a suspect target. */
constexpr unsigned kMaxProbesPerTarget = 2;
/** A target without requests for this time may have turned gray undetected. */
constexpr Duration kMaxIdleTime = milliseconds(900);
/** While the failure rate is high, requests that must not be repeated go to
 * targets that may be faulty this much later than others. Idempotent requests
 * then reach most of these targets first. */
constexpr Duration kExtraIdleTimeIfNotIdempotent = milliseconds(500);
/** A target on trial that no idempotent request has reached for this time
 * receives one that must not be repeated. Otherwise the trial would never end
 * at a service without idempotent requests. */
constexpr Duration kMaxTrialIdleTime = milliseconds(2000);
/** The loads of zones are compared in steps of this many percent. */
constexpr unsigned kZoneLoadStep = 10;
constexpr unsigned kRiskPenalized = 1;
constexpr unsigned kRiskUnreachable = 2;

/** The order in which targets are preferred; the smallest is chosen. */
struct Preference
{
  /** 0, kRiskPenalized or kRiskUnreachable. */
  unsigned mRisk = 0;
  bool mIsSuspect = false;
  /** kRankWarm unless requests are concentrated. */
  unsigned mWarmRank = 0;
  unsigned mBusyLongSlots = 0;
  /** The request would use the target's last free slot. Full targets are
   * slower. */
  bool mTakesLastSlot = false;
  /** 0 for the request's own zone. */
  unsigned mZoneRank = 0;
  unsigned mLoadPercent = 0;
  /** For requests that may be probes, the time of the target's last request, so
   * that the least recently used goes first. For others, the negated time of
   * its last success, so that the most recent success goes first. */
  Duration mTieBreak{ 0 };

  bool operator<(const Preference& aOther) const
  {
    auto tie = [](const Preference& aIt) {
      return std::tie(aIt.mRisk,
                      aIt.mIsSuspect,
                      aIt.mWarmRank,
                      aIt.mBusyLongSlots,
                      aIt.mTakesLastSlot,
                      aIt.mZoneRank,
                      aIt.mLoadPercent,
                      aIt.mTieBreak);
    };
    return tie(*this) < tie(aOther);
  }
};

/** Returns the number of busy slots whose requests have not stalled. */
unsigned
ActiveSlotsOf(const PooledTarget& aTarget)
{
  unsigned busy = BusySlotsOf(aTarget);
  return busy - std::min(busy, aTarget.mStalledSlots);
}

/** Returns whether a request should probe a target that is on trial or suspect.
 * A target on trial receives one probe at a time, a suspect target up to
 * kMaxProbesPerTarget, from zones other than the suspecting zone if there are
 * any. */
bool
IsProbeNeeded(const TargetPool& aPool,
              const PooledTarget& aTarget,
              TimePoint aNow,
              unsigned aOpen,
              const SlotDemand& aDemand)
{
  unsigned active = ActiveSlotsOf(aTarget);
  // Stalled requests may never have reached the target and must not block its
  // probes, so a few probes may exceed its slots.
  unsigned maxBusy =
    aOpen + std::min(aTarget.mStalledSlots, kMaxProbesPerTarget);
  bool isTrialIdle = aTarget.mState == TargetState::Trial &&
                     IsArrivalOverdue(aTarget, aNow, kMaxTrialIdleTime);
  bool mayProbe = (aDemand.mMayProbe && HasProbeBudget(aPool)) || isTrialIdle;
  if (!mayProbe || BusySlotsOf(aTarget) >= maxBusy ||
      IsInBackoff(aTarget.mPenalty, aNow, aPool.mProbeInterval)) {
    return false;
  }
  if (aTarget.mState == TargetState::Trial) {
    return active == 0;
  }
  bool isIndependent = aPool.mActiveZoneCount < 2 ||
                       aDemand.mZone != aTarget.mEvidence.mSuspectingZone;
  return aTarget.mState == TargetState::Serving &&
         aTarget.mEvidence.mIsSuspect && isIndependent &&
         active < kMaxProbesPerTarget;
}

/** Returns whether a request should probe a penalized target, which must have
 * no busy slots. */
bool
IsPenaltyProbeDue(const TargetPool& aPool,
                  const PooledTarget& aTarget,
                  TimePoint aNow,
                  const SlotDemand& aDemand)
{
  return aDemand.mMayProbe && HasProbeBudget(aPool) &&
         BusySlotsOf(aTarget) == 0 &&
         IsProbeDue(aTarget.mPenalty, aNow, aPool.mProbeInterval);
}

/** Returns whether a target has been idle for so long that its health is
 * unknown and the request should go to it, from whichever zone. Usually this
 * holds for serving, unpenalized targets and requests that may be probes. While
 * the failure rate is high, it holds for every request and every target that is
 * not ejected: evidence against a target is no reason to leave it idle when
 * other targets do not serve the requests either. */
bool
IsIdleTooLong(const TargetPool& aPool,
              const PooledTarget& aTarget,
              TimePoint aNow,
              unsigned aOpen,
              const SlotDemand& aDemand)
{
  if (aTarget.mState == TargetState::Ejected ||
      IsUnreachableFrom(aTarget, aNow, aDemand.mNode)) {
    return false;
  }
  bool isServingUnpenalized = aTarget.mState == TargetState::Serving &&
                              !IsPenalized(aTarget.mPenalty, aNow);
  bool isStale = isServingUnpenalized && aDemand.mMayProbe &&
                 HasProbeBudget(aPool) && BusySlotsOf(aTarget) == 0 &&
                 aNow - aTarget.mLastRequestAt >= kMaxIdleTime;
  bool isRisk = !isServingUnpenalized && !aDemand.mMayProbe;
  bool isHigh =
    isRisk ? aPool.mHasVeryHighFailureRate : aPool.mHasHighFailureRate;
  Duration maxIdleTime = kMaxIdleTimeAtHighFailureRate +
                         (isRisk ? kExtraIdleTimeIfNotIdempotent : Duration(0));
  bool isOverdue = isHigh && BusySlotsOf(aTarget) < aOpen &&
                   IsArrivalOverdue(aTarget, aNow, maxIdleTime);
  bool isWarmUpDue = aPool.mWarmSet.mIsActive && isServingUnpenalized &&
                     BusySlotsOf(aTarget) < aOpen &&
                     IsWarmUpProbeDue(aTarget, aNow, aDemand.mMayProbe);
  return isStale || isOverdue || isWarmUpDue;
}

/** Returns whether a target on trial may receive another request: as the last
 * choice, for requests that would wait otherwise. */
bool
HasTrialSlot(const PooledTarget& aTarget, const SlotDemand& aDemand)
{
  return !aDemand.mNeedsUnpenalized && !aDemand.mMayQueueAtTarget &&
         ActiveSlotsOf(aTarget) < 1 + aTarget.mTrialSuccesses;
}

/** Sets the order of a target with a free slot while requests are concentrated:
 * the warm set first, then the request's own zone. In the warm set, requests
 * that may be probes go to the least recently used target, so that they find a
 * gray period before others do. Requests that must not be repeated go to the
 * target with the latest success, and so do all outside of the warm set. Other
 * zones are ranked by their load in steps, so that each takes its part. */
void
SetConcentratedOrder(Preference& aPreference,
                     const PooledTarget& aTarget,
                     TimePoint aNow,
                     const SlotDemand& aDemand,
                     std::uint64_t aNodeHash,
                     bool aTakesLastSlot)
{
  aPreference.mWarmRank = WarmRankOf(aTarget, aNow);
  if (aPreference.mZoneRank > 0) {
    aPreference.mZoneRank += aTarget.mZoneLoadPercent / kZoneLoadStep;
  }
  bool isLeastRecentFirst =
    aDemand.mMayProbe && aPreference.mWarmRank == kRankWarm;
  aPreference.mLoadPercent = isLeastRecentFirst && aTakesLastSlot ? 1 : 0;
  aPreference.mTieBreak =
    aPreference.mWarmRank == kRankWarm
      ? WarmOrderOf(aTarget, aNow, aNodeHash, aDemand.mMayProbe)
      : -aTarget.mPenalty.mLastSuccessAt.time_since_epoch();
}

std::optional<Preference>
PreferenceFor(const TargetPool& aPool,
              const PooledTarget& aTarget,
              TimePoint aNow,
              const SlotDemand& aDemand,
              std::uint64_t aNodeHash)
{
  unsigned open = OpenSlotsOf(aTarget, aNow);
  if (IsProbeNeeded(aPool, aTarget, aNow, open, aDemand) ||
      IsIdleTooLong(aPool, aTarget, aNow, open, aDemand)) {
    // The least recently used target goes first, so that each is probed in
    // turn.
    Preference preference;
    preference.mTieBreak = aPool.mWarmSet.mIsActive
                             ? ProbeOrderOf(aTarget, aNow)
                             : aTarget.mLastRequestAt.time_since_epoch();
    return preference;
  }
  bool isOnTrial = aTarget.mState == TargetState::Trial;
  bool isOpen = aTarget.mState == TargetState::Serving ||
                (isOnTrial && HasTrialSlot(aTarget, aDemand));
  if (!isOpen || open == 0) {
    return std::nullopt;
  }
  bool isPenalized = isOnTrial || IsPenalized(aTarget.mPenalty, aNow);
  if (isPenalized && aDemand.mNeedsUnpenalized) {
    return std::nullopt;
  }
  Preference preference;
  preference.mRisk =
    isPenalized && !IsPenaltyProbeDue(aPool, aTarget, aNow, aDemand)
      ? kRiskPenalized
      : 0;
  if (IsUnreachableFrom(aTarget, aNow, aDemand.mNode)) {
    preference.mRisk = kRiskUnreachable;
  }
  preference.mIsSuspect = aTarget.mEvidence.mIsSuspect;
  bool isOtherZone = aTarget.mZone != aDemand.mZone;
  preference.mZoneRank = isOtherZone ? 1 : 0;
  if (aDemand.mMayQueueAtTarget) {
    bool hasShortWork = 2 * aTarget.mBusyLongSlots < open;
    bool fits = hasShortWork && BusySlotsOf(aTarget) < open + 1;
    preference.mBusyLongSlots = aTarget.mBusyLongSlots;
    return fits ? std::make_optional(preference) : std::nullopt;
  }
  if (BusySlotsOf(aTarget) >= open) {
    return std::nullopt;
  }
  preference.mBusyLongSlots = aDemand.mIsLong ? aTarget.mBusyLongSlots : 0;
  bool takesLastSlot = open > 1 && BusySlotsOf(aTarget) + 1 >= open;
  if (aPool.mWarmSet.mIsActive) {
    SetConcentratedOrder(
      preference, aTarget, aNow, aDemand, aNodeHash, takesLastSlot);
    return preference;
  }
  preference.mTakesLastSlot = takesLastSlot;
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
  std::uint64_t nodeHash =
    aPool.mWarmSet.mIsActive ? Hash64(aDemand.mNode.mValue) : 0;
  const TargetId* best = nullptr;
  Preference bestPreference;
  for (const auto& [id, target] : aPool.mTargets) {
    bool isExcluded = IsLeavingOrDraining(target, aNow) ||
                      id == aDemand.mAvoidedTarget ||
                      IsAvoidedFrom(target, aNow, aDemand.mZone) ||
                      IsPausedFor(target, aNow, aDemand.mNode) ||
                      !AllowsRequest(target.mLimit, aNow);
    if (isExcluded) {
      continue;
    }
    auto preference = PreferenceFor(aPool, target, aNow, aDemand, nodeHash);
    if (preference && (!best || *preference < bestPreference)) {
      best = &id;
      bestPreference = *preference;
    }
  }
  return best ? std::make_optional(*best) : std::nullopt;
}

} // namespace vanillascale
