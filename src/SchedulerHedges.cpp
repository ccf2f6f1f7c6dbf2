#include "SchedulerHedges.h"

#include "EventNumbers.h"
#include "Hash.h"
#include "SchedulerEvidence.h"
#include "TargetArrivals.h"
#include "TargetChoice.h"

#include <algorithm>
#include <tuple>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Routes whose times are learned: 1 MB for each service. Requests of further
 * routes are not hedged. */
constexpr std::size_t kMaxHedgeRoutes = 4096;
/** Routes need two targets for a hedge. */
constexpr unsigned kMinAttempts = 2;
constexpr int kEpochShift = 32;
/** Each choice looks at all targets of the service; a scan makes no more than
 * these, as many as a burst of hedges needs. */
constexpr unsigned kMaxChoicesPerScan = 10;
/** A target that failed a request within this time is suspect. */
constexpr Duration kRecentFailureTime = milliseconds(1000);

/** Returns the hedge budget of a route, in percent of its requests. */
unsigned
PercentOf(const HedgeState& aHedges,
          const Service& aSettings,
          std::uint32_t aRoute)
{
  auto it = aHedges.mRoutePercents.find(aRoute);
  return it == aHedges.mRoutePercents.end()
           ? aSettings.mHedgePercent
           : std::min(it->second, aSettings.mHedgePercent);
}

/** Returns the learned times of a route, or null if there is no room for them.
 */
RouteWork*
FindOrAddWork(HedgeState& aHedges, std::uint32_t aRoute)
{
  auto it = aHedges.mWork.find(aRoute);
  if (it != aHedges.mWork.end()) {
    return &it->second;
  }
  return aHedges.mWork.size() < kMaxHedgeRoutes ? &aHedges.mWork[aRoute]
                                                : nullptr;
}

bool
IsZoneSlow(const HedgeState& aHedges, const ZoneName& aZone)
{
  auto overdue = aHedges.mOverdue.find(aZone);
  auto late = aHedges.mLate.find(aZone);
  return (overdue != aHedges.mOverdue.end() &&
          IsSlowAsAWhole(overdue->second)) ||
         (late != aHedges.mLate.end() && IsLateAsAWhole(late->second));
}

/** Returns whether most zones are slow, so that no hedge is sent to any. */
bool
IsServiceSlow(const HedgeState& aHedges)
{
  auto slow = std::count_if(
    aHedges.mOverdue.begin(), aHedges.mOverdue.end(), [&](const auto& aIt) {
      return IsZoneSlow(aHedges, aIt.first);
    });
  return 2 * static_cast<std::size_t>(slow) > aHedges.mOverdue.size();
}

/** Returns whether there is evidence against the target of a lease other than
 * that this very request is slow, which it may be as long work. */
bool
IsTargetSuspect(const TargetPool& aPool,
                TimePoint aNow,
                const ActiveLease& aLease)
{
  auto it = aPool.mTargets.find(aLease.mTarget);
  if (it == aPool.mTargets.end() || it->second.mState != TargetState::Serving) {
    return true;
  }
  // Slow requests are penalized as well, but most of them are long work.
  const FailurePenalty& penalty = it->second.mPenalty;
  bool hasFailed = IsPenalized(penalty, aNow) &&
                   aNow - penalty.mLastFailureAt < kRecentFailureTime;
  bool isSuspect = it->second.mEvidence.mIsSuspect && aLease.mStallCount == 0;
  return hasFailed || isSuspect;
}

bool
IsFitForHedge(const SchedulerState& aState,
              TimePoint aNow,
              const ActiveLease& aLease,
              const TargetId& aTarget)
{
  const PooledTarget& target = aState.mPool.mTargets.at(aTarget);
  return target.mState == TargetState::Serving &&
         !target.mEvidence.mIsSuspect && !IsPenalized(target.mPenalty, aNow) &&
         BusySlotsOf(target) < OpenSlotsOf(target, aNow) &&
         !IsAvoidedFrom(target, aNow, aLease.mZone) &&
         !IsUnreachableFrom(target, aNow, aLease.mHolder) &&
         !IsZoneSlow(aState.mHedges, target.mZone);
}

/** Returns a healthy target with a free slot for a hedge: in the holder's zone
 * if that is not slow. */
std::optional<TargetId>
PickHedgeTarget(const SchedulerState& aState,
                TimePoint aNow,
                const ActiveLease& aLease)
{
  SlotDemand demand;
  demand.mNode = aLease.mHolder;
  demand.mAvoidedTarget = aLease.mTarget;
  demand.mNeedsUnpenalized = true;
  std::vector<ZoneName> zones{ aLease.mZone };
  for (const auto& [zone, share] : aState.mHedges.mOverdue) {
    if (zone != aLease.mZone && !IsZoneSlow(aState.mHedges, zone)) {
      zones.push_back(zone);
    }
  }
  for (const ZoneName& it : zones) {
    demand.mZone = it;
    auto target = PickTarget(aState.mPool, aNow, demand);
    if (target && IsFitForHedge(aState, aNow, aLease, *target)) {
      return target;
    }
  }
  return std::nullopt;
}

/** Returns the part of the situation that is the same for all requests. */
HedgeSituation
DescribeService(const SchedulerState& aState,
                TimePoint aNow,
                const Service& aSettings)
{
  HedgeSituation situation;
  situation.mIsServiceSlow = IsServiceSlow(aState.mHedges);
  situation.mIsServiceFailing =
    HasHighFailureRate(aState) || IsRefusing(aState.mHedges.mRefused);
  situation.mQueuedRequests = aState.mQueue.mEntries.size();
  situation.mOpenSlots = OpenSlots(aState.mPool, aNow);
  situation.mBusySlots =
    BusyShortSlots(aState.mPool) + BusyLongSlots(aState.mPool);
  situation.mRetryBurst = aSettings.mRetryBurst;
  return situation;
}

/** Adds what differs between requests, or changes with each offer. */
HedgeSituation
DescribeRequest(HedgeSituation aSituation,
                const SchedulerState& aState,
                TimePoint aNow,
                const ActiveLease& aLease,
                HedgeCause aCause)
{
  const HedgeState& hedges = aState.mHedges;
  aSituation.mTimeLeft = aLease.mExpiresAt - kLeaseExpiryMargin - aNow;
  aSituation.mCause = aCause;
  aSituation.mHedgeTokens = hedges.mTokens.mTokens;
  if (hedges.mRoutePercents.count(aLease.mRoute) > 0) {
    auto tokens = hedges.mRouteTokens.find(aLease.mRoute);
    aSituation.mRouteTokens =
      tokens == hedges.mRouteTokens.end() ? 0 : tokens->second.mTokens;
  }
  aSituation.mRetryTokens = aState.mRetryTokens;
  return aSituation;
}

/** Grants the second lease, takes the tokens and sends the offer. */
void
Offer(SchedulerState& aState,
      TimePoint aNow,
      LeaseId aFirst,
      const TargetId& aTarget,
      HedgeCause aCause,
      Effects& aEffects)
{
  HedgeState& hedges = aState.mHedges;
  aState.mRetryTokens -= 1;
  hedges.mTokens.mTokens -= 1;
  ActiveLease& first = aState.mLeases.at(aFirst);
  auto routeTokens = hedges.mRouteTokens.find(first.mRoute);
  if (routeTokens != hedges.mRouteTokens.end()) {
    routeTokens->second.mTokens -= 1;
  }
  hedges.mWork.at(first.mRoute).mOverdueSinceHedge = 0;
  ++hedges.mOffered;
  PooledTarget& target = aState.mPool.mTargets.at(aTarget);
  ++target.mBusyShortSlots;
  RecordGrant(target, aNow);
  TakeToken(target.mLimit, aNow);
  LeaseId id = (aState.mEpoch << kEpochShift) | ++aState.mLeaseCount;
  ActiveLease second;
  second.mHolder = first.mHolder;
  second.mZone = first.mZone;
  second.mTarget = aTarget;
  second.mTargetListEnd = aState.mTargetListEnd;
  second.mRequest = first.mRequest;
  second.mRoute = first.mRoute;
  second.mPriority = first.mPriority;
  second.mFingerprint = first.mFingerprint;
  second.mGrantedAt = aNow;
  second.mExpiresAt = first.mExpiresAt;
  second.mOtherLease = aFirst;
  second.mIsHedge = true;
  first.mOtherLease = id;
  aEffects.push_back(SendToPeer{
    first.mHolder,
    HedgeOffer{ first.mRequest, aFirst, id, aTarget, aState.mTargetListEnd } });
  aEffects.push_back(WriteEvent{
    kEventHedgeOffered,
    "service=" + aState.mService.mValue + " cause=" + HedgeCauseName(aCause) +
      " holder=" + first.mHolder.mValue + " first=" + first.mTarget.mValue +
      " target=" + aTarget.mValue +
      " age_ms=" + std::to_string((aNow - first.mGrantedAt) / milliseconds(1)) +
      " hedge_tokens=" + std::to_string(hedges.mTokens.mTokens) +
      " retry_tokens=" + std::to_string(aState.mRetryTokens) });
  aState.mLeases.emplace(id, std::move(second));
}

/** Counts and logs a denial, once for each request. */
void
Deny(SchedulerState& aState,
     TimePoint aNow,
     ActiveLease& aLease,
     HedgeDenial aDenial,
     Effects& aEffects)
{
  if (aLease.mIsHedgeDenied) {
    return;
  }
  aLease.mIsHedgeDenied = true;
  ++aState.mHedges.mDenied[static_cast<std::size_t>(aDenial)];
  aEffects.push_back(WriteEvent{
    kEventHedgeDenied,
    "service=" + aState.mService.mValue + " cause=" + HedgeDenialName(aDenial) +
      " holder=" + aLease.mHolder.mValue + " first=" + aLease.mTarget.mValue +
      " age_ms=" +
      std::to_string((aNow - aLease.mGrantedAt) / milliseconds(1)) +
      " hedge_tokens=" + std::to_string(aState.mHedges.mTokens.mTokens) +
      " retry_tokens=" + std::to_string(aState.mRetryTokens) });
}

/** An overdue lease without a hedge. */
struct OverdueLease
{
  LeaseId mLease = 0;
  HedgeCause mCause = HedgeCause::Slow;
  std::uint8_t mPriority = 1;
};

/** Returns the overdue leases, the most urgent first, and counts those that
 * were not overdue before. */
std::vector<OverdueLease>
FindOverdue(SchedulerState& aState, TimePoint aNow)
{
  HedgeState& hedges = aState.mHedges;
  std::vector<OverdueLease> overdue;
  for (auto& [id, lease] : aState.mLeases) {
    auto work = hedges.mWork.find(lease.mRoute);
    if (!lease.mMayBeHedged || lease.mOtherLease != 0 ||
        work == hedges.mWork.end()) {
      continue;
    }
    auto cause = FindHedgeCause(work->second,
                                aNow - lease.mGrantedAt,
                                lease.mExpiresAt - kLeaseExpiryMargin - aNow,
                                IsTargetSuspect(aState.mPool, aNow, lease));
    if (!cause) {
      continue;
    }
    if (!lease.mIsOverdue) {
      lease.mIsOverdue = true;
      ++work->second.mOverdueSinceHedge;
      auto target = aState.mPool.mTargets.find(lease.mTarget);
      if (target != aState.mPool.mTargets.end()) {
        RecordShare(hedges.mOverdue[target->second.mZone], aNow, 0, 1);
      }
    }
    overdue.push_back({ id, *cause, lease.mPriority });
  }
  std::sort(overdue.begin(),
            overdue.end(),
            [](const OverdueLease& aLeft, const OverdueLease& aRight) {
              return std::tie(aLeft.mPriority, aLeft.mLease) <
                     std::tie(aRight.mPriority, aRight.mLease);
            });
  return overdue;
}

} // namespace

void
UpdateHedgeRoutes(SchedulerState& aState,
                  const Service& aSettings,
                  const Document& aDocument,
                  const StorePosition& aVersion)
{
  HedgeState& hedges = aState.mHedges;
  if (aSettings.mHedgePercent == 0) {
    hedges.mWork.clear();
    hedges.mRoutePercents.clear();
    hedges.mRouteTokens.clear();
    hedges.mRoutesVersion.reset();
    hedges.mOverdue.clear();
    hedges.mLate.clear();
    return;
  }
  if (hedges.mRoutesVersion == aVersion) {
    return;
  }
  hedges.mRoutesVersion = aVersion;
  hedges.mRoutePercents.clear();
  for (const auto& [name, route] : aDocument.mRoutes) {
    bool isOwn = route.mService == aState.mService ||
                 std::any_of(route.mShares.begin(),
                             route.mShares.end(),
                             [&](const RouteShare& aIt) {
                               return aIt.mService == aState.mService;
                             });
    bool mayBeHedged = route.mIdempotent && route.mAttempts >= kMinAttempts &&
                       route.mWorkClass == WorkClass::Short;
    unsigned percent =
      mayBeHedged ? route.mHedgePercent.value_or(aSettings.mHedgePercent) : 0;
    if (isOwn && percent < aSettings.mHedgePercent) {
      hedges.mRoutePercents[static_cast<std::uint32_t>(Hash64(name.mValue))] =
        percent;
    }
  }
}

void
RecordHedgeGrant(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 LeaseId aLease,
                 bool aIsRetry)
{
  if (aSettings.mHedgePercent == 0) {
    return;
  }
  HedgeState& hedges = aState.mHedges;
  ActiveLease& lease = aState.mLeases.at(aLease);
  auto target = aState.mPool.mTargets.find(lease.mTarget);
  if (target != aState.mPool.mTargets.end()) {
    RecordShare(hedges.mOverdue[target->second.mZone], aNow, 1, 0);
  }
  RecordShare(hedges.mRefused, aNow, 1, 0);
  if (aIsRetry) {
    return;
  }
  RecordRequest(hedges.mTokens, aSettings.mHedgePercent);
  unsigned percent = PercentOf(hedges, aSettings, lease.mRoute);
  bool hasOwnBudget = hedges.mRoutePercents.count(lease.mRoute) > 0;
  if (hasOwnBudget && percent > 0) {
    RecordRequest(hedges.mRouteTokens[lease.mRoute], percent);
  }
  lease.mMayBeHedged = percent > 0 && lease.mIsIdempotent && !lease.mIsLong;
}

void
RecordHedgeReport(SchedulerState& aState,
                  TimePoint aNow,
                  const Service& aSettings,
                  const ActiveLease& aLease,
                  const LeaseReport& aReport)
{
  if (aSettings.mHedgePercent == 0) {
    return;
  }
  HedgeState& hedges = aState.mHedges;
  if (aReport.mOutcome == TargetOutcome::Shed) {
    RecordShare(hedges.mRefused, aNow, 0, 1);
  }
  RouteWork* work = FindOrAddWork(hedges, aLease.mRoute);
  if (!work) {
    return;
  }
  bool isAnswered = aReport.mOutcome == TargetOutcome::Answered;
  bool isCancelled = aReport.mOutcome == TargetOutcome::Cancelled;
  if (aLease.mIsHedge) {
    if (isAnswered || (isCancelled && aLease.mIsFirstAnswered)) {
      RecordHedgeResult(*work, isAnswered);
    }
    return;
  }
  if (isAnswered || (isCancelled && aLease.mOtherLease != 0)) {
    Duration time = aNow - aLease.mGrantedAt;
    auto target = aState.mPool.mTargets.find(aLease.mTarget);
    if (IsWorkKnown(*work) && target != aState.mPool.mTargets.end()) {
      RecordShare(
        hedges.mLate[target->second.mZone], aNow, 1, time > work->mQ75 ? 1 : 0);
    }
    RecordWork(*work, time);
  }
  auto other = aState.mLeases.find(aLease.mOtherLease);
  if (other != aState.mLeases.end()) {
    other->second.mIsFirstAnswered = isAnswered;
  }
}

bool
IsOutcomeOfRequest(const ActiveLease& aLease, TargetOutcome aOutcome)
{
  return !aLease.mIsHedge || aOutcome == TargetOutcome::Answered;
}

void
OfferHedges(SchedulerState& aState,
            TimePoint aNow,
            const Service& aSettings,
            Effects& aEffects)
{
  if (aSettings.mHedgePercent == 0) {
    return;
  }
  for (auto& [zone, share] : aState.mHedges.mOverdue) {
    RecordShare(share, aNow, 0, 0);
  }
  for (auto& [zone, share] : aState.mHedges.mLate) {
    RecordShare(share, aNow, 0, 0);
  }
  RecordShare(aState.mHedges.mRefused, aNow, 0, 0);
  std::vector<OverdueLease> overdue = FindOverdue(aState, aNow);
  if (overdue.empty()) {
    return;
  }
  HedgeSituation service = DescribeService(aState, aNow, aSettings);
  unsigned choices = 0;
  for (const OverdueLease& it : overdue) {
    ActiveLease& lease = aState.mLeases.at(it.mLease);
    auto denial =
      CheckHedge(aState.mHedges.mWork.at(lease.mRoute),
                 DescribeRequest(service, aState, aNow, lease, it.mCause));
    if (!denial && ++choices > kMaxChoicesPerScan) {
      return;
    }
    auto target = denial ? std::nullopt : PickHedgeTarget(aState, aNow, lease);
    if (target) {
      ++service.mBusySlots;
      Offer(aState, aNow, it.mLease, *target, it.mCause, aEffects);
    } else {
      Deny(
        aState, aNow, lease, denial.value_or(HedgeDenial::NoTarget), aEffects);
    }
  }
}

} // namespace vanillascale
