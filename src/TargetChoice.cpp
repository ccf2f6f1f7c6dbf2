#include "TargetChoice.h"

#include <algorithm>
#include <tuple>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kSettlingRequests = 2;
/** Without a request for so long, a target may have turned gray unnoticed. */
constexpr Duration kNeglectTime = milliseconds(900);
constexpr unsigned kRiskPenalized = 1;
constexpr unsigned kRiskUnreached = 2;

/** The order in which targets are preferred; smaller goes first. */
struct Preference
{
  /** Doubt or a bad path, in steps. */
  unsigned mRisk = 0;
  bool mIsSuspect = false;
  unsigned mBusyLongSlots = 0;
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
                      aIt.mBusyLongSlots,
                      aIt.mIsFilledUp,
                      aIt.mIsElsewhere,
                      aIt.mLoad,
                      aIt.mOrder);
    };
    return tie(*this) < tie(aOther);
  }
};

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
  unsigned active = BusySlotsOf(aTarget) -
                    std::min(BusySlotsOf(aTarget), aTarget.mStalledSlots);
  // Silent requests may never have reached the target, so that they must not
  // keep the question open: a few go beyond the slots that they hold.
  unsigned most = aOpen + std::min(aTarget.mStalledSlots, kSettlingRequests);
  if (!aDemand.mMaySuffer || BusySlotsOf(aTarget) >= most ||
      IsInBackoff(aTarget.mPenalty, aNow, aPool.mProbeInterval)) {
    return false;
  }
  if (aTarget.mState == TargetState::Trial) {
    return active == 0;
  }
  bool isHeard = aPool.mActiveZoneCount < 2 ||
                 aDemand.mZone != aTarget.mEvidence.mSuspectingZone;
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
  return aDemand.mMaySuffer && BusySlotsOf(aTarget) == 0 &&
         IsProbeDue(aTarget.mPenalty, aNow, aPool.mProbeInterval);
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
  bool isOpen = aTarget.mState != TargetState::Ejected &&
                BusySlotsOf(aTarget) == 0 &&
                !IsUnreachableFrom(aTarget, aNow, aDemand.mNode);
  bool isTrusted = aTarget.mState == TargetState::Serving &&
                   !IsPenalized(aTarget.mPenalty, aNow);
  Duration unused = aNow - aTarget.mLastRequestAt;
  bool isUnknown = isTrusted && aDemand.mMaySuffer && unused >= kNeglectTime;
  bool isLeftOut = aPool.mHasHighFailureRate &&
                   unused >= kMaxIdleTimeAtHighFailureRate &&
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
    preference.mOrder = aTarget.mLastRequestAt.time_since_epoch();
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
    isDoubted && !IsOnTrial(aPool, aTarget, aNow, aDemand) ? kRiskPenalized : 0;
  if (IsUnreachableFrom(aTarget, aNow, aDemand.mNode)) {
    preference.mRisk = kRiskUnreached;
  }
  preference.mIsSuspect = aTarget.mEvidence.mIsSuspect;
  preference.mIsElsewhere = aTarget.mZone != aDemand.mZone;
  if (aDemand.mMayQueueAhead) {
    bool hasTurnover = 2 * aTarget.mBusyLongSlots < open;
    bool fits = hasTurnover && BusySlotsOf(aTarget) < open + 1;
    preference.mBusyLongSlots = aTarget.mBusyLongSlots;
    return fits ? std::make_optional(preference) : std::nullopt;
  }
  if (BusySlotsOf(aTarget) >= open) {
    return std::nullopt;
  }
  preference.mBusyLongSlots = aDemand.mIsLong ? aTarget.mBusyLongSlots : 0;
  preference.mIsFilledUp = open > 1 && BusySlotsOf(aTarget) + 1 >= open;
  preference.mLoad = 100 * BusySlotsOf(aTarget) / open;
  preference.mOrder = aDemand.mMaySuffer
                        ? aTarget.mLastRequestAt.time_since_epoch()
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
    auto preference = Prefer(aPool, target, aNow, aDemand);
    if (preference && (!best || *preference < bestPreference)) {
      best = &id;
      bestPreference = *preference;
    }
  }
  return best ? std::make_optional(*best) : std::nullopt;
}

} // namespace vanillascale
