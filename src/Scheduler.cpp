#include "Scheduler.h"

#include "SchedulerAdmission.h"
#include "SchedulerEvidence.h"
#include "SchedulerHedges.h"
#include "SchedulerPlacement.h"
#include "TargetConcentration.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStartupListenTime = milliseconds(100);
constexpr Duration kScanInterval = milliseconds(20);
constexpr Duration kTargetViewInterval = seconds(5);
/** A client that has sent no LeaseRequest or LeaseSync for this time is
 * removed. */
constexpr Duration kClientExpiry = seconds(10);
/** A zone counts as active this long after a message of one of its proxies. */
constexpr Duration kActiveZoneWindow = seconds(5);
/** The interval between probes of a target with a failure penalty, in mean
 * interarrival times. Up to a third of the targets may be gray at a time; their
 * probes then take about a tenth of the requests. */
constexpr int kRequestsPerProbe = 40;
/** Divisor of the exponential moving average of the interarrival time. */
constexpr int kInterarrivalSamples = 32;
/** Factor of the exponential moving average of the slots needed, per tick. */
constexpr double kDemandSmoothing = 0.01;

/** Records the arrival of a request and sets the probe interval in proportion
 * to the mean interarrival time. A service with many requests then detects the
 * recovery of a target fast, and one with few does not spend them on probes. */
void
RecordArrival(SchedulerState& aState, TimePoint aNow)
{
  Duration gap = aNow - aState.mArrivedAt;
  aState.mMeanInterarrivalTime +=
    (gap - aState.mMeanInterarrivalTime) / kInterarrivalSamples;
  aState.mArrivedAt = aNow;
  aState.mPool.mProbeInterval = std::min(
    aState.mMeanInterarrivalTime * kRequestsPerProbe, kMaxProbeInterval);
}

/** Returns the number of zones whose proxies use the scheduler, at least 1. */
std::size_t
CountActiveZones(const SchedulerState& aState, TimePoint aNow)
{
  std::set<ZoneName> zones;
  for (const auto& [node, client] : aState.mClients) {
    if (aNow - client.mLastMessageAt < kActiveZoneWindow) {
      zones.insert(client.mZone);
    }
  }
  return std::max<std::size_t>(zones.size(), 1);
}

/** Sends the targets that are out of use to the clients that have sent a
 * message since their last view, and removes expired clients. A client needs
 * the view when no scheduler answers and it chooses targets by itself; it has
 * the list of targets from the VM list. */
void
SendTargetViews(SchedulerState& aState, TimePoint aNow, Effects& aEffects)
{
  TargetView view{ aState.mService, TargetsOutOfUse(aState.mPool, aNow) };
  for (auto it = aState.mClients.begin(); it != aState.mClients.end();) {
    SchedulerClient& client = it->second;
    if (aNow - client.mLastMessageAt > kClientExpiry) {
      it = aState.mClients.erase(it);
      continue;
    }
    bool isActive = client.mLastMessageAt > client.mViewSentAt;
    if (isActive && !view.mOutOfUse.empty() &&
        aNow - client.mViewSentAt >= kTargetViewInterval) {
      client.mViewSentAt = aNow;
      aEffects.push_back(SendToPeer{ it->first, view });
    }
    ++it;
  }
}

/** Records that a proxy has sent a LeaseRequest or a LeaseSync. */
void
RecordClient(SchedulerState& aState,
             TimePoint aNow,
             const NodeId& aNode,
             const ZoneName& aZone)
{
  SchedulerClient& client = aState.mClients[aNode];
  client.mZone = aZone;
  client.mLastMessageAt = aNow;
  aState.mLastClientMessageAt = aNow;
}

/** Returns the number of slots in use, and of queued requests, by the zone of
 * the proxy. */
std::map<ZoneName, unsigned>
CountSlotsInUse(const SchedulerState& aState)
{
  std::map<ZoneName, unsigned> counts;
  for (const auto& it : aState.mLeases) {
    ++counts[it.second.mZone];
  }
  for (const auto& it : aState.mQueue.mEntries) {
    ++counts[it.second.mZone];
  }
  return counts;
}

} // namespace

ActiveLease
EndLease(SchedulerState& aState,
         std::unordered_map<LeaseId, ActiveLease>::iterator aIt)
{
  ActiveLease lease = std::move(aIt->second);
  auto granted = aState.mLeaseByRequest.find({ lease.mHolder, lease.mRequest });
  if (granted != aState.mLeaseByRequest.end() &&
      granted->second == aIt->first) {
    aState.mLeaseByRequest.erase(granted);
  }
  aState.mLeases.erase(aIt);
  auto target = aState.mPool.mTargets.find(lease.mTarget);
  if (target != aState.mPool.mTargets.end()) {
    unsigned& busy = lease.mIsLong ? target->second.mBusyLongSlots
                                   : target->second.mBusyShortSlots;
    busy -= busy > 0 ? 1 : 0;
    unsigned& stalled = target->second.mStalledSlots;
    stalled -= lease.mStallCount > 0 && stalled > 0 ? 1 : 0;
  }
  return lease;
}

SchedulerState
SchedulerState::Make(ServiceName aService,
                     NodeId aSelf,
                     std::uint32_t aEpoch,
                     TimePoint aNow)
{
  SchedulerState state;
  state.mService = std::move(aService);
  state.mSelf = std::move(aSelf);
  state.mEpoch = aEpoch;
  state.mGrantsStartAt = aNow + kStartupListenTime;
  state.mLastClientMessageAt = aNow;
  return state;
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseRequest& aRequest,
                 Effects& aEffects)
{
  RecordClient(aState, aNow, aFrom, aZone);
  auto granted = aState.mLeaseByRequest.find({ aFrom, aRequest.mRequest });
  if (granted != aState.mLeaseByRequest.end()) {
    const ActiveLease& lease = aState.mLeases.at(granted->second);
    aEffects.push_back(SendToPeer{ aFrom,
                                   LeaseGrant{ aRequest.mRequest,
                                               granted->second,
                                               lease.mTarget,
                                               aRequest.mDeadline,
                                               lease.mTargetListEnd } });
    return;
  }
  if (FindQueued(aState.mQueue, aFrom, aRequest.mRequest)) {
    aEffects.push_back(SendToPeer{ aFrom, LeaseQueued{ aRequest.mRequest } });
    return;
  }
  RecordArrival(aState, aNow);
  auto refusal = CheckAdmission(aState, aNow, aSettings, aFrom, aRequest);
  if (refusal) {
    Refuse(aState, aNow, aFrom, aRequest, *refusal, aEffects);
    return;
  }
  QueuedRequest queued;
  queued.mProxy = aFrom;
  queued.mZone = aZone;
  queued.mRequest = aRequest;
  queued.mArrivedAt = aNow;
  queued.mDeadlineAt = aNow + aRequest.mDeadline;
  queued.mWaitDeadlineAt = aNow + MaxQueueWait(aState, aRequest);
  Enqueue(aState.mQueue, std::move(queued));
  GrantSlots(aState, aNow, aSettings, aEffects);
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 const NodeId& aFrom,
                 const LeaseReport& aReport,
                 Effects& aEffects)
{
  auto it = aState.mLeases.find(aReport.mLease);
  if (it == aState.mLeases.end() || it->second.mHolder != aFrom) {
    return;
  }
  ActiveLease lease = EndLease(aState, it);
  if (aReport.mOutcome == TargetOutcome::Unused && aState.mQuota) {
    ReturnQuotaToken(*aState.mQuota, aNow, lease.mAccount);
  }
  UpdateCredits(aState.mQueue,
                lease.mIsLong,
                lease.mPriority,
                aReport.mLatency - lease.mChargedTime,
                aSettings.mGuaranteedPercent);
  RecordHedgeReport(aState, aNow, aSettings, lease, aReport);
  ProcessReport(aState, aNow, lease, aReport, aEffects);
  GrantSlots(aState, aNow, aSettings, aEffects);
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const NodeId& aFrom,
                 const LeaseWithdrawal& aWithdrawal)
{
  if (auto key = FindQueued(aState.mQueue, aFrom, aWithdrawal.mRequest)) {
    QueuedRequest queued = Dequeue(aState.mQueue, *key);
    if (!aWithdrawal.mKeepsToken) {
      ReturnQuota(aState, aNow, queued.mRequest);
    }
    return;
  }
  // The grant and the withdrawal were in flight at the same time, or the grant
  // was lost.
  auto granted = aState.mLeaseByRequest.find({ aFrom, aWithdrawal.mRequest });
  if (granted != aState.mLeaseByRequest.end()) {
    ActiveLease lease = EndLease(aState, aState.mLeases.find(granted->second));
    if (!aWithdrawal.mKeepsToken && aState.mQuota) {
      ReturnQuotaToken(*aState.mQuota, aNow, lease.mAccount);
    }
  }
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseSync& aSync,
                 Effects& aEffects)
{
  RecordClient(aState, aNow, aFrom, aZone);
  for (const StatedTarget& it : aSync.mStatements) {
    // The sender's knowledge may be old: it sets limits, but lifts none.
    LogTargetChanges(
      aState,
      RecordStatements(
        aState.mPool, aNow, it.mTarget, aFrom, TimePoint{}, it.mStatements),
      aEffects);
  }
  for (const HeldLease& it : aSync.mLeases) {
    auto target = aState.mPool.mTargets.find(it.mTarget);
    bool isKnown = aState.mLeases.count(it.mLease) > 0;
    if (isKnown || target == aState.mPool.mTargets.end()) {
      continue;
    }
    ActiveLease lease;
    lease.mHolder = aFrom;
    lease.mZone = aZone;
    lease.mTarget = it.mTarget;
    lease.mIsLong = it.mIsLong;
    lease.mGrantedAt = aNow;
    lease.mExpiresAt = aNow + it.mDeadline + kLeaseExpiryMargin;
    ++(it.mIsLong ? target->second.mBusyLongSlots
                  : target->second.mBusyShortSlots);
    aState.mLeases.emplace(it.mLease, std::move(lease));
  }
}

void
SchedulerTick(SchedulerState& aState,
              TimePoint aNow,
              const Service& aSettings,
              Effects& aEffects)
{
  aState.mPool.mFloorPercent = aSettings.mFloorPercent;
  double queued = static_cast<double>(
    CountUpToPriority(aState.mQueue, false, kPriorityLevels - 1));
  double open = OpenSlots(aState.mPool, aNow);
  double needed = BusyShortSlots(aState.mPool) + std::min(queued, open);
  aState.mShortDemand += kDemandSmoothing * (needed - aState.mShortDemand);
  RefuseTimedOut(aState, aNow, aEffects);
  aState.mPool.mActiveZoneCount = CountActiveZones(aState, aNow);
  aState.mPool.mHasHighFailureRate = HasHighFailureRate(aState);
  aState.mPool.mHasVeryHighFailureRate = HasVeryHighFailureRate(aState);
  LogTargetChanges(aState, PoolTick(aState.mPool, aNow), aEffects);
  UpdateWarmSet(aState.mPool,
                aNow,
                aSettings.mConcentrate,
                aSettings.mConcentrate ? CountSlotsInUse(aState)
                                       : std::map<ZoneName, unsigned>());
  if (aNow >= aState.mNextScanAt) {
    aState.mNextScanAt = aNow + kScanInterval;
    ScanLeases(aState, aNow, aEffects);
    RemoveExpiredRecords(aState.mHarmful, aNow);
    RemoveFullBuckets(aState.mAccounts, aNow);
    SendTargetViews(aState, aNow, aEffects);
    GrantSlots(aState, aNow, aSettings, aEffects);
    OfferHedges(aState, aNow, aSettings, aEffects);
    return;
  }
  GrantSlots(aState, aNow, aSettings, aEffects);
}

void
RemoveProxy(SchedulerState& aState, const NodeId& aNode)
{
  for (auto it = aState.mLeases.begin(); it != aState.mLeases.end();) {
    auto current = it++;
    if (current->second.mHolder == aNode) {
      EndLease(aState, current);
    }
  }
  std::vector<QueueKey> keys;
  for (const auto& [key, queued] : aState.mQueue.mEntries) {
    if (queued.mProxy == aNode) {
      keys.push_back(key);
    }
  }
  for (const QueueKey& it : keys) {
    Dequeue(aState.mQueue, it);
  }
  aState.mClients.erase(aNode);
}

} // namespace vanillascale
