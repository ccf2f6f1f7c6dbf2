#include "TargetConcentration.h"

#include "TargetArrivals.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The time constant with which the demand of a zone falls. Waves of the load
 * last several seconds. */
constexpr Duration kDemandFallTime = seconds(3);
/** The reserve of a zone, in units of the square root of its demand, which is
 * the standard deviation of the slots in use at random arrivals. */
constexpr double kReserveStdDevs = 1.0;
/** The reserve of a zone with little demand, in slots. */
constexpr double kMinReserve = 1.0;
/** Above this share requests are not concentrated: all targets are full, and
 * probes cost little. */
constexpr double kMaxConcentratedShare = 1.5;
/** The probes of targets outside of the warm set, as a share of the idempotent
 * requests: while the other targets have as many slots as the warm set, and
 * while they have none. */
constexpr double kMinProbeShare = 0.01;
constexpr double kMaxProbeShare = 0.05;
/** The probes that the budget holds at most. More would be sent at once. */
constexpr double kMaxProbeTokens = 3;
/** Requests beyond the warm set use up the budget of this many probes at most.
 */
constexpr double kMinProbeTokens = -10;
/** A target whose latest answer is a failure ranks last for this time. Gray
 * periods last up to 9 s, most of them less. */
constexpr Duration kFailureMemory = seconds(6);
/** Targets of the warm set keep their place unless another target has answered
 * this much later. */
constexpr Duration kWarmBonus = seconds(1);
/** A target is new for this time. */
constexpr Duration kNewTargetTime = seconds(4);
/** While a target is new or warms up, it is probed after this time. */
constexpr Duration kWarmUpIdleTime = milliseconds(1500);
/** The same by requests that must not be repeated, if no other comes. */
constexpr Duration kWarmUpIdleTimeIfNotIdempotent = milliseconds(2500);
/** Targets used within this time are equal to requests that may be probes. It
 * bounds the time in which a gray period goes unnoticed by them. */
constexpr Duration kEqualUseTime = milliseconds(500);
/** Targets that answered within this time are equal to other requests. */
constexpr Duration kEqualSuccessTime = milliseconds(100);
/** Mixes the hashes of a node and a target: 2^64 divided by the golden ratio.
 */
constexpr std::uint64_t kHashFactor = 0x9E3779B97F4A7C15;
/** Leaves 10 bits, so that a rank is below kMaxRank. */
constexpr unsigned kRankShift = 54;
constexpr Duration kMaxRank{ 1024 };
/** The usual number of slots of a target. */
constexpr unsigned kUsualSlots = 2;

bool
HasFailedRecently(const PooledTarget& aTarget, TimePoint aNow)
{
  const FailurePenalty& penalty = aTarget.mPenalty;
  return penalty.mLastFailureAt > penalty.mLastSuccessAt &&
         aNow - penalty.mLastFailureAt < kFailureMemory;
}

/** A target that may be in the warm set. */
struct Candidate
{
  PooledTarget* mTarget = nullptr;
  unsigned mSlots = 0;
  bool mHasFailed = false;
  /** The latest success, later for targets that are in the warm set. */
  TimePoint mAnsweredAt{};
};

/** The targets and the demand of one zone. */
struct ZoneRoom
{
  std::vector<Candidate> mCandidates;
  double mSlots = 0;
  /** The slots that the zone's part of the warm set should have. */
  double mWanted = 0;
  unsigned mBusySlots = 0;
};

using ZoneRooms = std::map<ZoneName, ZoneRoom>;

void
UpdateDemand(WarmSet& aWarmSet,
             TimePoint aNow,
             const std::map<ZoneName, unsigned>& aSlotsInUse)
{
  double elapsed = static_cast<double>((aNow - aWarmSet.mUpdatedAt).count()) /
                   static_cast<double>(kDemandFallTime.count());
  double kept = std::exp(-elapsed);
  aWarmSet.mUpdatedAt = aNow;
  for (const auto& it : aSlotsInUse) {
    aWarmSet.mDemand.try_emplace(it.first, 0);
  }
  for (auto it = aWarmSet.mDemand.begin(); it != aWarmSet.mDemand.end();) {
    auto used = aSlotsInUse.find(it->first);
    double n = used == aSlotsInUse.end() ? 0 : used->second;
    it->second = std::max(n, n + (it->second - n) * kept);
    bool isUnused = n == 0 && it->second < 0.01;
    it = isUnused ? aWarmSet.mDemand.erase(it) : std::next(it);
  }
}

/** Returns the candidates for the warm set by zone, and sets the load of each
 * target's zone. */
ZoneRooms
CollectCandidates(TargetPool& aPool, TimePoint aNow)
{
  ZoneRooms rooms;
  for (auto& it : aPool.mTargets) {
    PooledTarget& target = it.second;
    ZoneRoom& room = rooms[target.mZone];
    room.mBusySlots += BusySlotsOf(target);
    unsigned open = OpenSlotsOf(target, aNow);
    bool isCandidate =
      target.mState == TargetState::Serving && open > 0 &&
      !IsLeavingOrDraining(target, aNow) && !target.mEvidence.mIsSuspect &&
      !IsPenalized(target.mPenalty, aNow) && AllowsRequest(target.mLimit, aNow);
    if (isCandidate) {
      TimePoint answeredAt = target.mPenalty.mLastSuccessAt +
                             (target.mIsWarm ? kWarmBonus : Duration(0));
      room.mCandidates.push_back(
        { &target, open, HasFailedRecently(target, aNow), answeredAt });
      room.mSlots += open;
    }
  }
  for (auto& it : aPool.mTargets) {
    const ZoneRoom& room = rooms[it.second.mZone];
    it.second.mZoneLoadPercent =
      100 * room.mBusySlots / std::max(1U, static_cast<unsigned>(room.mSlots));
    it.second.mIsWarm = false;
  }
  return rooms;
}

/** Sets the slots that each zone's part of the warm set should have. What a
 * zone lacks is taken evenly from the others. Returns the slots that all zones
 * want. */
double
DistributeDemand(const WarmSet& aWarmSet, ZoneRooms& aRooms)
{
  double total = 0;
  double lacking = 0;
  for (const auto& [zone, demand] : aWarmSet.mDemand) {
    double wanted = demand + kReserveStdDevs * std::sqrt(demand) + kMinReserve;
    auto it = aRooms.find(zone);
    double own = it == aRooms.end() ? 0 : std::min(wanted, it->second.mSlots);
    if (it != aRooms.end()) {
      it->second.mWanted = own;
    }
    lacking += wanted - own;
    total += wanted;
  }
  // Each pass fills at least one zone or ends.
  for (std::size_t n = 0; n < aRooms.size() && lacking > 0; ++n) {
    auto isFree = [](const auto& aEntry) {
      return aEntry.second.mWanted < aEntry.second.mSlots;
    };
    auto count = std::count_if(aRooms.begin(), aRooms.end(), isFree);
    double each = count > 0 ? lacking / static_cast<double>(count) : 0;
    for (auto& it : aRooms) {
      double taken = std::min(each, it.second.mSlots - it.second.mWanted);
      it.second.mWanted += taken;
      lacking -= taken;
    }
  }
  return total;
}

/** Puts the targets that answered last into the warm set, as many as the zone
 * wants. */
void
ChooseWarmTargets(ZoneRoom& aRoom)
{
  std::sort(aRoom.mCandidates.begin(),
            aRoom.mCandidates.end(),
            [](const Candidate& aLeft, const Candidate& aRight) {
              return aLeft.mHasFailed != aRight.mHasFailed
                       ? !aLeft.mHasFailed
                       : aLeft.mAnsweredAt > aRight.mAnsweredAt;
            });
  double slots = 0;
  for (const Candidate& it : aRoom.mCandidates) {
    if (slots >= aRoom.mWanted) {
      return;
    }
    it.mTarget->mIsWarm = true;
    slots += it.mSlots;
  }
}

} // namespace

void
UpdateWarmSet(TargetPool& aPool,
              TimePoint aNow,
              bool aIsEnabled,
              const std::map<ZoneName, unsigned>& aSlotsInUse)
{
  WarmSet& warmSet = aPool.mWarmSet;
  if (!aIsEnabled) {
    warmSet = {};
    return;
  }
  warmSet.mIsEnabled = true;
  UpdateDemand(warmSet, aNow, aSlotsInUse);
  ZoneRooms rooms = CollectCandidates(aPool, aNow);
  double wanted = DistributeDemand(warmSet, rooms);
  double slots = 0;
  for (const auto& it : rooms) {
    slots += it.second.mSlots;
  }
  warmSet.mIsActive = wanted <= kMaxConcentratedShare * slots;
  double need =
    std::clamp((2 * wanted - slots) / std::max(1.0, wanted), 0., 1.);
  warmSet.mProbeShare =
    kMinProbeShare + need * (kMaxProbeShare - kMinProbeShare);
  for (auto& it : rooms) {
    ChooseWarmTargets(it.second);
  }
}

void
RecordConcentratedGrant(TargetPool& aPool,
                        PooledTarget& aTarget,
                        bool aMayProbe)
{
  WarmSet& warmSet = aPool.mWarmSet;
  if (!warmSet.mIsActive) {
    return;
  }
  if (aMayProbe) {
    double tokens =
      warmSet.mProbeTokens + warmSet.mProbeShare - (aTarget.mIsWarm ? 0 : 1);
    warmSet.mProbeTokens = std::clamp(tokens, kMinProbeTokens, kMaxProbeTokens);
  }
  aTarget.mIsWarm = true;
}

bool
HasProbeBudget(const TargetPool& aPool)
{
  return !aPool.mWarmSet.mIsActive || aPool.mWarmSet.mProbeTokens >= 1;
}

unsigned
WarmRankOf(const PooledTarget& aTarget, TimePoint aNow)
{
  if (HasFailedRecently(aTarget, aNow)) {
    return kRankFailed;
  }
  return aTarget.mIsWarm ? kRankWarm : kRankCold;
}

bool
IsWarmUpProbeDue(const PooledTarget& aTarget, TimePoint aNow, bool aMayProbe)
{
  bool isNew =
    aTarget.mNeedsWarmUp && aNow - aTarget.mFirstSeenAt < kNewTargetTime;
  bool isWarmingUp = isNew || aNow < aTarget.mReportedWarmUpUntil;
  TimePoint since = std::max(aTarget.mFirstSeenAt, aTarget.mLastRequestAt);
  return isWarmingUp &&
         aNow - since >=
           (aMayProbe ? kWarmUpIdleTime : kWarmUpIdleTimeIfNotIdempotent);
}

Duration
WarmOrderOf(const PooledTarget& aTarget,
            TimePoint aNow,
            std::uint64_t aNodeHash,
            bool aMayProbe)
{
  Duration rank((aTarget.mIdHash ^ aNodeHash) * kHashFactor >> kRankShift);
  if (aMayProbe) {
    bool isEqual = aNow - aTarget.mLastRequestAt < kEqualUseTime;
    return isEqual ? aNow.time_since_epoch() + rank
                   : aTarget.mLastRequestAt.time_since_epoch();
  }
  TimePoint success = aTarget.mPenalty.mLastSuccessAt;
  bool isEqual = aNow - success < kEqualSuccessTime;
  return isEqual ? rank - aNow.time_since_epoch() - kMaxRank
                 : -success.time_since_epoch();
}

Duration
ProbeOrderOf(const PooledTarget& aTarget, TimePoint aNow)
{
  // Below the negated time of any success, by which other targets are ordered.
  return -aNow.time_since_epoch() - kMaxRank -
         (aNow - aTarget.mLastRequestAt) * aTarget.mSlots / kUsualSlots;
}

} // namespace vanillascale
