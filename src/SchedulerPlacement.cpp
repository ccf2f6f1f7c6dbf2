#include "SchedulerPlacement.h"

#include "SchedulerEvidence.h"
#include "SchedulerHedges.h"
#include "TargetArrivals.h"
#include "TargetChoice.h"
#include "TargetConcentration.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

/** The part of its maximum wait, in percent, for which a request that must not
 * be repeated waits for a target without a failure penalty. */
constexpr int kUnpenalizedWaitPercent = 50;
/** The margin of the slots reserved for short requests, in units of the square
 * root of their mean number. */
constexpr double kReserveStdDevs = 0.6;
/** The number of queued requests of a priority that are tried for placement. */
constexpr std::size_t kLookahead = 4;
constexpr int kEpochShift = 32;

/** Grants a queued request a lease at a target, charges the expected slot time
 * to its priority, and adds to the retry budget if it is not a retry. */
void
GrantLease(SchedulerState& aState,
           TimePoint aNow,
           const Service& aSettings,
           const QueueKey& aKey,
           const TargetId& aTarget,
           Effects& aEffects)
{
  QueuedRequest queued = Dequeue(aState.mQueue, aKey);
  const LeaseRequest& request = queued.mRequest;
  UpdateCredits(aState.mQueue,
                request.mIsLong,
                aKey.mPriority,
                ExpectedSlotTime(aState),
                aSettings.mGuaranteedPercent);
  PooledTarget& target = aState.mPool.mTargets[aTarget];
  ++(request.mIsLong ? target.mBusyLongSlots : target.mBusyShortSlots);
  bool mayProbe =
    request.mIsIdempotent && !request.mIsRetry && !request.mIsLong;
  RecordConcentratedGrant(aState.mPool, target, mayProbe);
  RecordGrant(target, aNow);
  TakeToken(target.mLimit, aNow);
  LeaseId id = (aState.mEpoch << kEpochShift) | ++aState.mLeaseCount;
  ActiveLease lease;
  lease.mHolder = queued.mProxy;
  lease.mZone = queued.mZone;
  lease.mTarget = aTarget;
  lease.mTargetListEnd = aState.mTargetListEnd;
  lease.mRequest = request.mRequest;
  lease.mRoute = request.mRoute;
  lease.mIsLong = request.mIsLong;
  lease.mIsIdempotent = request.mIsIdempotent;
  lease.mIsRetry = request.mIsRetry;
  lease.mPriority = aKey.mPriority;
  lease.mChargedTime = ExpectedSlotTime(aState);
  lease.mFingerprint = request.mFingerprint;
  lease.mAccount = request.mIsRetry ? 0 : request.mAccount;
  lease.mGrantedAt = aNow;
  lease.mExpiresAt = queued.mDeadlineAt + kLeaseExpiryMargin;
  aState.mLeaseByRequest[{ lease.mHolder, lease.mRequest }] = id;
  aEffects.push_back(SendToPeer{ lease.mHolder,
                                 LeaseGrant{ lease.mRequest,
                                             id,
                                             aTarget,
                                             queued.mDeadlineAt - aNow,
                                             lease.mTargetListEnd } });
  aState.mLeases.emplace(id, std::move(lease));
  RecordHedgeGrant(aState, aNow, aSettings, id, request.mIsRetry);
  ++aState.mCounters.mGrants;
  if (!request.mIsRetry) {
    aState.mRetryTokens =
      std::min<double>(aState.mRetryTokens + aSettings.mRetryPercent / 100.0,
                       aSettings.mRetryBurst);
  }
}

SlotDemand
MakeDemand(const QueuedRequest& aQueued, TimePoint aNow)
{
  const LeaseRequest& request = aQueued.mRequest;
  SlotDemand demand;
  demand.mNode = aQueued.mProxy;
  demand.mZone = aQueued.mZone;
  Duration maxWait = aQueued.mWaitDeadlineAt - aQueued.mArrivedAt;
  // A retry is often the last send that its route allows.
  bool isLastAttempt = !request.mIsIdempotent || request.mIsRetry;
  demand.mNeedsUnpenalized =
    isLastAttempt &&
    aNow - aQueued.mArrivedAt < maxWait * kUnpenalizedWaitPercent / 100;
  demand.mAvoidedTarget = request.mAvoidedTarget;
  demand.mIsLong = request.mIsLong;
  demand.mMayProbe =
    request.mIsIdempotent && !request.mIsRetry && !request.mIsLong;
  return demand;
}

/** The result of the attempt to place a queued request of one priority. */
enum class PlacementResult
{
  Granted,
  /** No target has a free slot for it, or none is queued. */
  NoFreeSlot,
  /** The request needs a target without a failure penalty, and none of these
   * has a free slot. */
  NoUnpenalizedTarget
};

/** Grants a slot to one of the first kLookahead queued requests of a priority.
 */
PlacementResult
GrantFromPriority(SchedulerState& aState,
                  TimePoint aNow,
                  const Service& aSettings,
                  bool aIsLong,
                  std::uint8_t aPriority,
                  Effects& aEffects)
{
  // More queued requests than targets indicate an overload. Then a target may
  // be sent one request beyond its slots, to run as soon as a slot becomes
  // free.
  std::size_t queued =
    CountUpToPriority(aState.mQueue, false, kPriorityLevels - 1);
  bool isOverloaded = !aIsLong && queued > aState.mPool.mTargets.size();
  bool hasUnpenalized = HasUnpenalizedTarget(aState.mPool, aNow);
  PlacementResult placement = PlacementResult::NoFreeSlot;
  auto it = FirstOfPriority(aState.mQueue, aIsLong, aPriority);
  for (std::size_t n = 0; n < kLookahead && it != aState.mQueue.mEntries.end();
       ++n, ++it) {
    if (it->first.mPriority != aPriority || it->first.mIsLong != aIsLong) {
      break;
    }
    SlotDemand demand = MakeDemand(it->second, aNow);
    demand.mNeedsUnpenalized = demand.mNeedsUnpenalized && hasUnpenalized;
    auto target = PickTarget(aState.mPool, aNow, demand);
    if (!target && isOverloaded) {
      demand.mMayQueueAtTarget = true;
      target = PickTarget(aState.mPool, aNow, demand);
      aState.mCounters.mOvercommittedGrants += target ? 1 : 0;
    }
    if (target) {
      QueueKey key = it->first;
      GrantLease(aState, aNow, aSettings, key, *target, aEffects);
      return PlacementResult::Granted;
    }
    placement = demand.mNeedsUnpenalized ? PlacementResult::NoUnpenalizedTarget
                                         : placement;
  }
  return placement;
}

/** Grants one slot and returns whether it did. While requests of a high
 * priority wait for a target without a failure penalty, idempotent requests of
 * lower priorities use the slots of the other targets. */
bool
GrantNext(SchedulerState& aState,
          TimePoint aNow,
          const Service& aSettings,
          bool aIsLong,
          Effects& aEffects)
{
  std::uint8_t first =
    NextPriority(aState.mQueue, aIsLong, ExpectedSlotTime(aState));
  for (std::uint8_t it = first; it > 0 && it < kPriorityLevels; ++it) {
    PlacementResult placement =
      GrantFromPriority(aState, aNow, aSettings, aIsLong, it, aEffects);
    if (placement == PlacementResult::Granted) {
      return true;
    }
    bool isEmpty = aState.mQueue.mCounts[aIsLong ? 1 : 0][it] == 0;
    if (placement == PlacementResult::NoFreeSlot && !isEmpty) {
      return false;
    }
  }
  return false;
}

/** Returns whether another long request may be granted a slot: the number of
 * long requests is limited to the slots not reserved for short ones, but never
 * to less than the guaranteed share. */
bool
HasSlotForLong(const SchedulerState& aState,
               TimePoint aNow,
               const Service& aSettings)
{
  unsigned open = OpenSlots(aState.mPool, aNow);
  unsigned reserved = SlotsReservedForShort(aState, aNow);
  unsigned guaranteed = std::max(1U, open * aSettings.mGuaranteedPercent / 100);
  unsigned maxLong = std::max(guaranteed, open - std::min(open, reserved));
  return BusyLongSlots(aState.mPool) < maxLong;
}

} // namespace

Duration
ExpectedSlotTime(const SchedulerState& aState)
{
  return std::max(aState.mMeanShortLatency, Duration(1));
}

void
GrantSlots(SchedulerState& aState,
           TimePoint aNow,
           const Service& aSettings,
           Effects& aEffects)
{
  if (aNow < aState.mGrantsStartAt) {
    return;
  }
  while (GrantNext(aState, aNow, aSettings, false, aEffects)) {
  }
  while (HasSlotForLong(aState, aNow, aSettings) &&
         GrantNext(aState, aNow, aSettings, true, aEffects)) {
  }
}

unsigned
SlotsReservedForShort(const SchedulerState& aState, TimePoint aNow)
{
  double demand = aState.mShortDemand;
  double reserve = demand + kReserveStdDevs * std::sqrt(demand);
  auto open = static_cast<double>(OpenSlots(aState.mPool, aNow));
  return static_cast<unsigned>(std::lround(std::min(reserve, open)));
}

} // namespace vanillascale
