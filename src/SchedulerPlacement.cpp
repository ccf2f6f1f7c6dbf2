#include "SchedulerPlacement.h"

#include "SchedulerEvidence.h"
#include "TargetChoice.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

/** Work that may not be repeated waits so much of its patience for a target
 * that is trusted. */
constexpr int kTrustedWaitPercent = 50;
constexpr double kReserveStdDevs = 0.6;
constexpr std::size_t kLookahead = 4;
constexpr int kEpochShift = 32;

void
GrantLease(SchedulerState& aState,
           TimePoint aNow,
           const Service& aSettings,
           const QueueKey& aKey,
           const TargetId& aTarget,
           Effects& aEffects)
{
  QueuedRequest waiting = Dequeue(aState.mQueue, aKey);
  const LeaseRequest& request = waiting.mRequest;
  UpdateCredits(aState.mQueue,
                request.mIsLong,
                aKey.mPriority,
                ExpectedSlotTime(aState),
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
  lease.mChargedTime = ExpectedSlotTime(aState);
  lease.mFingerprint = request.mFingerprint;
  lease.mGrantedAt = aNow;
  lease.mExpiresAt = waiting.mDeadlineAt + kLeaseExpiryMargin;
  aState.mLeaseByRequest[{ lease.mHolder, lease.mRequest }] = id;
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
MakeDemand(const QueuedRequest& aWaiting, TimePoint aNow)
{
  const LeaseRequest& request = aWaiting.mRequest;
  SlotDemand demand;
  demand.mNode = aWaiting.mProxy;
  demand.mZone = aWaiting.mZone;
  Duration patience = aWaiting.mWaitDeadlineAt - aWaiting.mArrivedAt;
  // A repeat is often the last send that its route allows.
  bool isLastChance = !request.mIsIdempotent || request.mIsRetry;
  demand.mNeedsTrust = isLastChance && aNow - aWaiting.mArrivedAt <
                                         patience * kTrustedWaitPercent / 100;
  demand.mAvoid = request.mAvoid;
  demand.mIsLong = request.mIsLong;
  demand.mMaySuffer =
    request.mIsIdempotent && !request.mIsRetry && !request.mIsLong;
  return demand;
}

/** What came of trying to place the waiting requests of one priority. */
enum class PlacementResult
{
  Granted,
  /** No target has room for it. */
  NoFreeSlot,
  /** There is room, but only at targets that it must not be risked at. */
  NoTrustedTarget
};

/** Lends a slot to one of the first waiting requests of a priority. */
PlacementResult
GrantFromPriority(SchedulerState& aState,
                  TimePoint aNow,
                  const Service& aSettings,
                  bool aIsLong,
                  std::uint8_t aPriority,
                  Effects& aEffects)
{
  // A queue longer than the targets are many shows an overload: then a target
  // may have one more request at hand for the moment a slot falls free.
  std::size_t waiting =
    CountUpToPriority(aState.mQueue, false, kPriorityLevels - 1);
  bool isOverload = !aIsLong && waiting > aState.mPool.mTargets.size();
  bool hasTrusted = HasTrusted(aState.mPool, aNow);
  PlacementResult placement = PlacementResult::NoFreeSlot;
  auto it = FirstOfPriority(aState.mQueue, aIsLong, aPriority);
  for (std::size_t n = 0; n < kLookahead && it != aState.mQueue.mEntries.end();
       ++n, ++it) {
    if (it->first.mPriority != aPriority || it->first.mIsLong != aIsLong) {
      break;
    }
    SlotDemand demand = MakeDemand(it->second, aNow);
    demand.mNeedsTrust = demand.mNeedsTrust && hasTrusted;
    auto target = PickTarget(aState.mPool, aNow, demand);
    if (!target && isOverload) {
      demand.mMayQueueAhead = true;
      target = PickTarget(aState.mPool, aNow, demand);
      aState.mCounters.mOvercommittedGrants += target ? 1 : 0;
    }
    if (target) {
      QueueKey key = it->first;
      GrantLease(aState, aNow, aSettings, key, *target, aEffects);
      return PlacementResult::Granted;
    }
    placement =
      demand.mNeedsTrust ? PlacementResult::NoTrustedTarget : placement;
  }
  return placement;
}

/** Lends one slot. Where urgent work waits for a trusted target, less urgent
 * work that may be repeated takes the slots of the others meanwhile. */
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

bool
HasSlotForLong(const SchedulerState& aState,
               TimePoint aNow,
               const Service& aSettings)
{
  unsigned open = OpenSlots(aState.mPool, aNow);
  unsigned reserved = SlotsReservedForShort(aState, aNow);
  unsigned guaranteed = std::max(1U, open * aSettings.mGuaranteedPercent / 100);
  unsigned most = std::max(guaranteed, open - std::min(open, reserved));
  return BusyLongSlots(aState.mPool) < most;
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
