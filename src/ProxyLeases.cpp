#include "ProxyLeases.h"

#include "Duties.h"
#include "EventNumbers.h"
#include "Hash.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

constexpr Duration kLeaseRequestRetryInterval = milliseconds(60);
/** Once the scheduler has said that a request waits, asking only serves to find
 * out that the scheduler, or its answer, is gone. */
constexpr Duration kQueuedRequestRetryInterval = milliseconds(500);
constexpr Duration kSchedulerTimeout = milliseconds(150);
/** Members notice a death in less; one that was only slow is soon back. */
constexpr Duration kSchedulerExclusionTime = milliseconds(2000);
constexpr Duration kFallbackProbeInterval = milliseconds(100);
constexpr double kLocalRetryRatio = 0.1;
constexpr double kMaxLocalRetryTokens = 5;
constexpr LeaseId kLocalLeaseBit = LeaseId(1) << 63;

/** The owner of a service's schedule among the members that answer. */
NodeId
PickScheduler(const ProxyContext& aContext,
              const ServiceName& aService,
              SchedulerLink& aLink)
{
  std::vector<NodeId> members = LiveMembers(aContext.mMembers);
  aLink.mNextExclusionEndsAt = TimePoint::max();
  for (auto it = aLink.mExcludedUntil.begin();
       it != aLink.mExcludedUntil.end();) {
    if (aContext.mNow >= it->second) {
      it = aLink.mExcludedUntil.erase(it);
      continue;
    }
    aLink.mNextExclusionEndsAt =
      std::min(aLink.mNextExclusionEndsAt, it->second);
    if (members.size() > 1) {
      members.erase(std::remove(members.begin(), members.end(), it->first),
                    members.end());
    }
    ++it;
  }
  auto owners =
    PickForDuty(aContext.mMembers, members, SchedulerDuty(aService), 1);
  return owners.empty() ? NodeId() : owners.front();
}

/** Tells a new link the targets of its service. */
void
InitLocalTargets(const ProxyContext& aContext,
                 const ServiceName& aService,
                 SchedulerLink& aLink)
{
  const auto& services = aContext.mConfig.mDocument.mServices;
  auto it = services.find(aService);
  if (it != services.end()) {
    UpdateLocalTargets(aLink.mLocalChoice, it->second.mVmGroup, aContext.mVms);
  }
}

SchedulerLink&
UpdateSchedulerLink(ProxyState& aState,
                    const ProxyContext& aContext,
                    const ServiceName& aService)
{
  auto [entry, isNew] = aState.mSchedulerLinks.try_emplace(aService);
  SchedulerLink& link = entry->second;
  if (isNew) {
    InitLocalTargets(aContext, aService, link);
    link.mIsInFallback = aState.mChoosesAlone;
  }
  if (aState.mChoosesAlone) {
    return link;
  }
  bool isOutdated = link.mMembersVersion != aContext.mMembers.mVersion ||
                    aContext.mNow >= link.mNextExclusionEndsAt;
  if (isOutdated) {
    link.mMembersVersion = aContext.mMembers.mVersion;
    NodeId owner = PickScheduler(aContext, aService, link);
    if (owner != link.mScheduler) {
      link.mScheduler = owner;
      link.mLastMessageAt = aContext.mNow;
      LeaseSync sync;
      sync.mService = aService;
      for (const auto& [id, request] : aState.mRequests) {
        bool isHeld =
          request.mStage == RequestStage::Sent && request.mService == aService;
        if (isHeld) {
          sync.mLeases.push_back({ request.mLease,
                                   request.mTarget,
                                   request.mIsLong,
                                   request.mDeadlineAt - aContext.mNow });
        }
      }
      if (!sync.mLeases.empty()) {
        aContext.mEffects.push_back(SendPeer{ owner, std::move(sync) });
      }
    }
  }
  return link;
}

void
SendLeaseRequest(const ProxyContext& aContext,
                 const SchedulerLink& aLink,
                 ProxyRequest& aRequest)
{
  LeaseRequest message;
  message.mService = aRequest.mService;
  message.mRequest = aRequest.mId;
  message.mRoute = aRequest.mRoute;
  message.mPriority = aRequest.mPriority;
  message.mIsLong = aRequest.mIsLong;
  message.mIsIdempotent = aRequest.mIsIdempotent;
  message.mIsRetry = aRequest.mIsRetry;
  message.mDeadline = aRequest.mDeadlineAt - aContext.mNow;
  message.mFingerprint = aRequest.mFingerprint;
  message.mAccount = aRequest.mAccount;
  message.mAvoid = aRequest.mAvoid;
  if (aRequest.mGoal > Duration(0)) {
    Duration left = aRequest.mReceivedAt + aRequest.mGoal - aContext.mNow;
    message.mGoal = std::max(left, Duration(1));
  }
  message.mName = aRequest.mName;
  bool isOther = aRequest.mQueriedNode != aLink.mScheduler;
  if (isOther) {
    // The one that was asked before may hold a slot for it, in words that did
    // not get through.
    WithdrawLeaseRequest(aContext, aRequest);
  }
  aRequest.mIsQueued = aRequest.mIsQueued && !isOther;
  aRequest.mQueriedNode = aLink.mScheduler;
  aRequest.mQueriedAt = aContext.mNow;
  aContext.mEffects.push_back(SendPeer{ aLink.mScheduler, std::move(message) });
}

bool
TrySendLocally(ProxyState& aState,
               const ProxyContext& aContext,
               SchedulerLink& aLink,
               ProxyRequest& aRequest)
{
  if (aRequest.mIsRetry && aLink.mRetryTokens < 1) {
    return false;
  }
  std::size_t proxies = LiveMembers(aContext.mMembers).size();
  auto target = PickLocally(aLink.mLocalChoice,
                            aContext.mNow,
                            proxies,
                            aRequest.mAvoid,
                            aContext.mRandom);
  if (!target) {
    return false;
  }
  aLink.mRetryTokens =
    aRequest.mIsRetry
      ? aLink.mRetryTokens - 1
      : std::min(aLink.mRetryTokens + kLocalRetryRatio, kMaxLocalRetryTokens);
  ++aState.mCounters.mFallbackSends;
  // The scheduler may have granted what was asked, in words that do not get
  // through: it must not hold the slot for a request that is sent elsewhere.
  WithdrawLeaseRequest(aContext, aRequest);
  aRequest.mQueriedNode = NodeId();
  LeaseId lease = kLocalLeaseBit |
                  Hash64(aState.mSelf.mValue,
                         aState.mIncarnation + aRequest.mId + aRequest.mSends);
  SendUnderLease(aState, aContext, aRequest, lease, *target);
  return true;
}

using WaitingByService = std::map<ServiceName, std::vector<ProxyRequest*>>;

/** All requests that wait for a slot, each service's in order of urgency. */
WaitingByService
CollectWaitingRequests(ProxyState& aState)
{
  WaitingByService waiting;
  for (auto& [id, request] : aState.mRequests) {
    if (request.mStage == RequestStage::AwaitingLease) {
      waiting[request.mService].push_back(&request);
    }
  }
  for (auto& [service, requests] : waiting) {
    std::sort(
      requests.begin(),
      requests.end(),
      [](const ProxyRequest* aLeft, const ProxyRequest* aRight) {
        return std::tie(aLeft->mPriority, aLeft->mDeadlineAt, aLeft->mId) <
               std::tie(aRight->mPriority, aRight->mDeadlineAt, aRight->mId);
      });
  }
  return waiting;
}

void
EnterFallback(const ProxyContext& aContext,
              const ServiceName& aService,
              SchedulerLink& aLink)
{
  aLink.mIsInFallback = true;
  aLink.mNextProbeAt = aContext.mNow + kFallbackProbeInterval;
  aContext.mEffects.push_back(WriteEvent{
    kEventFallbackEntered,
    "service=" + aService.mValue + " scheduler=" + aLink.mScheduler.mValue });
}

/** Turns to the next member in line: the silent one may be dead, frozen or out
 * of reach, and the others notice the same as soon as they ask it. */
void
ExcludeScheduler(const ProxyContext& aContext,
                 const ServiceName& aService,
                 SchedulerLink& aLink)
{
  aContext.mEffects.push_back(WriteEvent{
    kEventSchedulerPassedOver,
    "service=" + aService.mValue + " scheduler=" + aLink.mScheduler.mValue });
  aLink.mExcludedUntil[aLink.mScheduler] =
    aContext.mNow + kSchedulerExclusionTime;
  aLink.mNextExclusionEndsAt = TimePoint{};
}

void
SendWaitingLocally(ProxyState& aState,
                   const ProxyContext& aContext,
                   SchedulerLink& aLink,
                   const std::vector<ProxyRequest*>& aWaiting)
{
  bool mayProbe = !aState.mChoosesAlone && aContext.mNow >= aLink.mNextProbeAt;
  for (ProxyRequest* it : aWaiting) {
    if (mayProbe) {
      // One request at a time goes to ask whether a scheduler is back.
      mayProbe = false;
      aLink.mNextProbeAt = aContext.mNow + kFallbackProbeInterval;
      SendLeaseRequest(aContext, aLink, *it);
    } else if (!TrySendLocally(aState, aContext, aLink, *it)) {
      break;
    }
  }
}

void
RequestWaitingLeases(const ProxyContext& aContext,
                     const ServiceName& aService,
                     SchedulerLink& aLink,
                     const std::vector<ProxyRequest*>& aWaiting)
{
  bool isSilent = false;
  for (ProxyRequest* it : aWaiting) {
    bool isMoved = it->mQueriedNode != aLink.mScheduler;
    Duration interval =
      it->mIsQueued ? kQueuedRequestRetryInterval : kLeaseRequestRetryInterval;
    if (isMoved || aContext.mNow - it->mQueriedAt >= interval) {
      SendLeaseRequest(aContext, aLink, *it);
    }
    // Silence counts from the first question that was not answered.
    TimePoint since = std::max(aLink.mLastMessageAt, it->mStageStartedAt);
    Duration allowed = it->mIsQueued
                         ? kQueuedRequestRetryInterval + kSchedulerTimeout
                         : kSchedulerTimeout;
    isSilent = isSilent || aContext.mNow - since >= allowed;
  }
  if (!isSilent) {
    return;
  }
  bool isFirst = aLink.mExcludedUntil.empty();
  if (aLink.mScheduler != aContext.mMembers.mSelf) {
    ExcludeScheduler(aContext, aService, aLink);
  }
  if (!isFirst) {
    EnterFallback(aContext, aService, aLink);
  }
}

/** Sends what may be sent locally, the most urgent first. */
void
SendServiceRequestsLocally(ProxyState& aState,
                           const ProxyContext& aContext,
                           const ServiceName& aService,
                           SchedulerLink& aLink)
{
  WaitingByService waiting = CollectWaitingRequests(aState);
  auto it = waiting.find(aService);
  if (it != waiting.end()) {
    SendWaitingLocally(aState, aContext, aLink, it->second);
  }
}

} // namespace

void
RequestLease(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest)
{
  aRequest.mStage = RequestStage::AwaitingLease;
  aRequest.mStageStartedAt = aContext.mNow;
  aRequest.mIsQueued = false;
  SchedulerLink& link =
    UpdateSchedulerLink(aState, aContext, aRequest.mService);
  if (link.mIsInFallback) {
    SendServiceRequestsLocally(aState, aContext, aRequest.mService, link);
    return;
  }
  SendLeaseRequest(aContext, link, aRequest);
}

void
SendUnderLease(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest,
               LeaseId aLease,
               const TargetId& aTarget)
{
  Record(aState.mCounters.mSlotWait, aContext.mNow - aRequest.mStageStartedAt);
  aRequest.mStage = RequestStage::Sent;
  aRequest.mStageStartedAt = aContext.mNow;
  aRequest.mSentAt = aContext.mNow;
  aRequest.mLease = aLease;
  aRequest.mTarget = aTarget;
  ++aRequest.mSends;
  ++aState.mCounters.mSends;
  aState.mCounters.mRetries += aRequest.mIsRetry ? 1 : 0;
  NoteSent(aState.mSchedulerLinks.at(aRequest.mService).mLocalChoice, aTarget);
  aContext.mEffects.push_back(SendToTarget{
    aRequest.mId, aTarget, aRequest.mDeadlineAt, aRequest.mIsIdempotent });
}

void
ReturnLease(ProxyState& aState,
            const ProxyContext& aContext,
            ProxyRequest& aRequest,
            TargetOutcome aOutcome)
{
  SchedulerLink& link =
    UpdateSchedulerLink(aState, aContext, aRequest.mService);
  NoteEnded(link.mLocalChoice,
            aContext.mNow,
            aRequest.mTarget,
            aRequest.mSentAt,
            aOutcome);
  LeaseReport report;
  report.mService = aRequest.mService;
  report.mLease = aRequest.mLease;
  report.mOutcome = aOutcome;
  report.mLatency = aContext.mNow - aRequest.mSentAt;
  Record(aState.mCounters.mTargetTime, report.mLatency);
  aRequest.mReportedLease = aRequest.mLease;
  if (!aState.mChoosesAlone) {
    aContext.mEffects.push_back(SendPeer{ link.mScheduler, std::move(report) });
  }
  if (link.mIsInFallback) {
    SendServiceRequestsLocally(aState, aContext, aRequest.mService, link);
  }
}

void
ReturnUnusedLease(const ProxyContext& aContext,
                  const NodeId& aScheduler,
                  const ServiceName& aService,
                  LeaseId aLease)
{
  LeaseReport report;
  report.mService = aService;
  report.mLease = aLease;
  report.mOutcome = TargetOutcome::Unused;
  aContext.mEffects.push_back(SendPeer{ aScheduler, std::move(report) });
}

void
WithdrawLeaseRequest(const ProxyContext& aContext, const ProxyRequest& aRequest)
{
  if (!aRequest.mQueriedNode.mValue.empty()) {
    aContext.mEffects.push_back(
      SendPeer{ aRequest.mQueriedNode,
                LeaseWithdrawal{ aRequest.mService, aRequest.mId } });
  }
}

void
RecordSchedulerMessage(ProxyState& aState,
                       const ProxyContext& aContext,
                       const ServiceName& aService,
                       const NodeId& aFrom)
{
  SchedulerLink& link = UpdateSchedulerLink(aState, aContext, aService);
  if (link.mExcludedUntil.erase(aFrom) > 0) {
    // It was only slow, or its words were lost.
    link.mNextExclusionEndsAt = TimePoint{};
    return;
  }
  if (link.mScheduler != aFrom) {
    return;
  }
  link.mLastMessageAt = aContext.mNow;
  if (link.mIsInFallback) {
    link.mIsInFallback = false;
    aContext.mEffects.push_back(
      WriteEvent{ kEventFallbackLeft, "service=" + aService.mValue });
  }
}

void
LeaseTick(ProxyState& aState, const ProxyContext& aContext)
{
  for (const auto& [service, waiting] : CollectWaitingRequests(aState)) {
    SchedulerLink& link = UpdateSchedulerLink(aState, aContext, service);
    if (!link.mIsInFallback) {
      RequestWaitingLeases(aContext, service, link, waiting);
    }
    if (link.mIsInFallback) {
      SendWaitingLocally(aState, aContext, link, waiting);
    }
  }
}

} // namespace vanillascale
