#include "Scheduler.h"

#include "SchedulerAdmission.h"
#include "SchedulerEvidence.h"
#include "SchedulerPlacement.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kListenTime = milliseconds(100);
constexpr Duration kScanInterval = milliseconds(20);
constexpr Duration kViewInterval = seconds(5);
constexpr Duration kClientMemory = seconds(10);
constexpr Duration kActiveZoneMemory = seconds(5);
/** Up to a third of the targets may be gray at a time: their trials take about
 * a tenth of the requests. */
constexpr int kRequestsPerTrial = 40;
constexpr int kGapSamples = 32;
constexpr double kDemandStep = 0.01;

/** Spaces the requests that try doubted targets by the rate of requests, so
 * that a busy service learns fast and a quiet one does not spend its requests
 * on them. */
void
NoteArrival(SchedulerState& aState, TimePoint aNow)
{
  Duration gap = aNow - aState.mArrivedAt;
  aState.mArrivalGap += (gap - aState.mArrivalGap) / kGapSamples;
  aState.mArrivedAt = aNow;
  aState.mPool.mProbeInterval =
    std::min(aState.mArrivalGap * kRequestsPerTrial, kMaxProbeInterval);
}

std::size_t
ActiveZones(const SchedulerState& aState, TimePoint aNow)
{
  std::set<ZoneName> zones;
  for (const auto& [node, client] : aState.mClients) {
    if (aNow - client.mLastAt < kActiveZoneMemory) {
      zones.insert(client.mZone);
    }
  }
  return std::max<std::size_t>(zones.size(), 1);
}

/** Tells clients which targets are out of use, for the time when they may have
 * to choose alone. They know the targets themselves from the VM list. */
void
SendViews(SchedulerState& aState, TimePoint aNow, Effects& aEffects)
{
  TargetView view{ aState.mService, TargetsOutOfUse(aState.mPool, aNow) };
  for (auto it = aState.mClients.begin(); it != aState.mClients.end();) {
    SchedulerClient& client = it->second;
    if (aNow - client.mLastAt > kClientMemory) {
      it = aState.mClients.erase(it);
      continue;
    }
    bool hasAsked = client.mLastAt > client.mViewAt;
    if (hasAsked && !view.mOutOfUse.empty() &&
        aNow - client.mViewAt >= kViewInterval) {
      client.mViewAt = aNow;
      aEffects.push_back(SendPeer{ it->first, view });
    }
    ++it;
  }
}

void
MeetClient(SchedulerState& aState,
           TimePoint aNow,
           const NodeId& aNode,
           const ZoneName& aZone)
{
  SchedulerClient& client = aState.mClients[aNode];
  client.mZone = aZone;
  client.mLastAt = aNow;
  aState.mLastAskedAt = aNow;
}

} // namespace

ActiveLease
EndLease(SchedulerState& aState,
         std::unordered_map<LeaseId, ActiveLease>::iterator aIt)
{
  ActiveLease lease = std::move(aIt->second);
  auto granted = aState.mGranted.find({ lease.mHolder, lease.mRequest });
  if (granted != aState.mGranted.end() && granted->second == aIt->first) {
    aState.mGranted.erase(granted);
  }
  aState.mLeases.erase(aIt);
  auto target = aState.mPool.mTargets.find(lease.mTarget);
  if (target != aState.mPool.mTargets.end()) {
    unsigned& busy = lease.mIsLong ? target->second.mBusyLongSlots
                                   : target->second.mBusyShortSlots;
    busy -= busy > 0 ? 1 : 0;
    unsigned& silent = target->second.mStalledSlots;
    silent -= lease.mSilences > 0 && silent > 0 ? 1 : 0;
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
  state.mGrantsFrom = aNow + kListenTime;
  state.mLastAskedAt = aNow;
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
  MeetClient(aState, aNow, aFrom, aZone);
  auto granted = aState.mGranted.find({ aFrom, aRequest.mRequest });
  if (granted != aState.mGranted.end()) {
    const ActiveLease& lease = aState.mLeases.at(granted->second);
    aEffects.push_back(SendPeer{ aFrom,
                                 LeaseGrant{ aRequest.mRequest,
                                             granted->second,
                                             lease.mTarget,
                                             aRequest.mDeadline } });
    return;
  }
  if (FindWaiting(aState.mQueue, aFrom, aRequest.mRequest)) {
    aEffects.push_back(SendPeer{ aFrom, LeaseQueued{ aRequest.mRequest } });
    return;
  }
  NoteArrival(aState, aNow);
  auto refusal = FindRefusal(aState, aNow, aSettings, aRequest);
  if (refusal) {
    Refuse(aState, aNow, aFrom, aRequest, *refusal, aEffects);
    return;
  }
  WaitingLease waiting;
  waiting.mProxy = aFrom;
  waiting.mZone = aZone;
  waiting.mRequest = aRequest;
  waiting.mArrivedAt = aNow;
  waiting.mDeadlineAt = aNow + aRequest.mDeadline;
  waiting.mPatienceUntil = aNow + PatienceFor(aState, aRequest);
  Enqueue(aState.mQueue, std::move(waiting));
  LendSlots(aState, aNow, aSettings, aEffects);
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
  SettleShares(aState.mQueue,
               lease.mIsLong,
               lease.mPriority,
               aReport.mLatency - lease.mExpected,
               aSettings.mGuaranteedPercent);
  Learn(aState, aNow, lease, aReport, aEffects);
  LendSlots(aState, aNow, aSettings, aEffects);
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint /*aNow*/,
                 const NodeId& aFrom,
                 const LeaseWithdrawal& aWithdrawal)
{
  if (auto key = FindWaiting(aState.mQueue, aFrom, aWithdrawal.mRequest)) {
    Dequeue(aState.mQueue, *key);
    return;
  }
  // A grant that crossed the withdrawal, or never reached its proxy.
  auto granted = aState.mGranted.find({ aFrom, aWithdrawal.mRequest });
  if (granted != aState.mGranted.end()) {
    EndLease(aState, aState.mLeases.find(granted->second));
  }
}

void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseSync& aSync)
{
  MeetClient(aState, aNow, aFrom, aZone);
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
    lease.mExpiresAt = aNow + it.mDeadline + kExpiryMargin;
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
  double waiting =
    static_cast<double>(CountUpTo(aState.mQueue, false, kPriorityLevels - 1));
  double open = OpenSlots(aState.mPool, aNow);
  double needed = BusyShortSlots(aState.mPool) + std::min(waiting, open);
  aState.mShortDemand += kDemandStep * (needed - aState.mShortDemand);
  RefuseImpatient(aState, aNow, aEffects);
  aState.mPool.mActiveZoneCount = ActiveZones(aState, aNow);
  aState.mPool.mHasHighFailureRate = AreManyUnserved(aState);
  ReportChanges(aState, PoolTick(aState.mPool, aNow), aEffects);
  if (aNow >= aState.mNextScanAt) {
    aState.mNextScanAt = aNow + kScanInterval;
    ScanLeases(aState, aNow, aEffects);
    ForgetOldCrashes(aState.mHarmful, aNow);
    ForgetFullBuckets(aState.mAccounts, aNow);
    SendViews(aState, aNow, aEffects);
  }
  LendSlots(aState, aNow, aSettings, aEffects);
}

void
ForgetHolder(SchedulerState& aState, const NodeId& aNode)
{
  for (auto it = aState.mLeases.begin(); it != aState.mLeases.end();) {
    auto here = it++;
    if (here->second.mHolder == aNode) {
      EndLease(aState, here);
    }
  }
  std::vector<QueueKey> keys;
  for (const auto& [key, waiting] : aState.mQueue.mEntries) {
    if (waiting.mProxy == aNode) {
      keys.push_back(key);
    }
  }
  for (const QueueKey& it : keys) {
    Dequeue(aState.mQueue, it);
  }
  aState.mClients.erase(aNode);
}

} // namespace vanillascale
