#include "SchedulerPlacement.h"

#include "SchedulerEvidence.h"
#include "TargetChoice.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

/** Work that may not be repeated waits so much of its patience for a target
 * that is trusted. */
constexpr int kTrustPatiencePercent = 50;
constexpr double kReserveSpread = 0.6;
constexpr std::size_t kLookahead = 4;
constexpr int kEpochShift = 32;

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
  ++(request.mIsLong ? target.mBusyLongSlots : target.mBusyShortSlots);
  target.mLastRequestAt = aNow;
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
  demand.mNeedsUnpenalized =
    isLastChance &&
    aNow - aWaiting.mArrivedAt < patience * kTrustPatiencePercent / 100;
  demand.mAvoid = request.mAvoid;
  demand.mIsLong = request.mIsLong;
  demand.mMayProbe =
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
  bool hasTrusted = HasUnpenalizedTarget(aState.mPool, aNow);
  Placement placement = Placement::NoRoom;
  auto it = FirstOf(aState.mQueue, aIsLong, aPriority);
  for (std::size_t n = 0; n < kLookahead && it != aState.mQueue.mEntries.end();
       ++n, ++it) {
    if (it->first.mPriority != aPriority || it->first.mIsLong != aIsLong) {
      break;
    }
    SlotDemand demand = DemandOf(it->second, aNow);
    demand.mNeedsUnpenalized = demand.mNeedsUnpenalized && hasTrusted;
    auto target = PickTarget(aState.mPool, aNow, demand);
    if (!target && isOverload) {
      demand.mMayQueueAtTarget = true;
      target = PickTarget(aState.mPool, aNow, demand);
      aState.mCounters.mGrantsAhead += target ? 1 : 0;
    }
    if (target) {
      QueueKey key = it->first;
      Grant(aState, aNow, aSettings, key, *target, aEffects);
      return Placement::Granted;
    }
    placement = demand.mNeedsUnpenalized ? Placement::NoTrusted : placement;
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

} // namespace

Duration
ExpectedTime(const SchedulerState& aState)
{
  return std::max(aState.mMeanShort, Duration(1));
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

unsigned
ReservedForShort(const SchedulerState& aState, TimePoint aNow)
{
  double demand = aState.mShortDemand;
  double reserve = demand + kReserveSpread * std::sqrt(demand);
  auto open = static_cast<double>(OpenSlots(aState.mPool, aNow));
  return static_cast<unsigned>(std::lround(std::min(reserve, open)));
}

} // namespace vanillascale
