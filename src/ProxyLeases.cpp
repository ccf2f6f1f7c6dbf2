#include "ProxyLeases.h"

#include "Duties.h"
#include "EventNumbers.h"
#include "Hash.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

constexpr Duration kAskAgainInterval = milliseconds(60);
/** Once the scheduler has said that a request waits, asking only serves to find
 * out that the scheduler, or its answer, is gone. */
constexpr Duration kAskQueuedInterval = milliseconds(500);
constexpr Duration kSchedulerSilence = milliseconds(150);
/** Members notice a death in less; one that was only slow is soon back. */
constexpr Duration kPassOverTime = milliseconds(2000);
constexpr Duration kFallbackProbeInterval = milliseconds(100);
constexpr double kLocalRetryShare = 0.1;
constexpr double kMostLocalRetries = 5;
constexpr LeaseId kLocalLeaseBit = LeaseId(1) << 63;

/** The owner of a service's schedule among the members that answer. */
NodeId
PickScheduler(const ProxyContext& aContext,
              const ServiceName& aService,
              SchedulerLink& aLink)
{
  std::vector<NodeId> members = LiveMembers(aContext.mMembers);
  aLink.mPassOverEndsAt = TimePoint::max();
  for (auto it = aLink.mPassedOver.begin(); it != aLink.mPassedOver.end();) {
    if (aContext.mNow >= it->second) {
      it = aLink.mPassedOver.erase(it);
      continue;
    }
    aLink.mPassOverEndsAt = std::min(aLink.mPassOverEndsAt, it->second);
    if (members.size() > 1) {
      members.erase(std::remove(members.begin(), members.end(), it->first),
                    members.end());
    }
    ++it;
  }
  auto owners =
    OrderForDuty(aContext.mMembers, members, SchedulerDuty(aService), 1);
  return owners.empty() ? NodeId() : owners.front();
}

/** Tells a new link the targets of its service. */
void
SeedLink(const ProxyContext& aContext,
         const ServiceName& aService,
         SchedulerLink& aLink)
{
  const auto& services = aContext.mConfig.mDocument.mServices;
  auto it = services.find(aService);
  if (it != services.end()) {
    UpdateLocalTargets(aLink.mLocal, it->second.mVmGroup, aContext.mVms);
  }
}

SchedulerLink&
LinkOf(ProxyState& aState,
       const ProxyContext& aContext,
       const ServiceName& aService)
{
  auto [entry, isNew] = aState.mLinks.try_emplace(aService);
  SchedulerLink& link = entry->second;
  if (isNew) {
    SeedLink(aContext, aService, link);
    link.mIsFallback = aState.mChoosesAlone;
  }
  if (aState.mChoosesAlone) {
    return link;
  }
  bool isOutdated = link.mMembersVersion != aContext.mMembers.mVersion ||
                    aContext.mNow >= link.mPassOverEndsAt;
  if (isOutdated) {
    link.mMembersVersion = aContext.mMembers.mVersion;
    NodeId owner = PickScheduler(aContext, aService, link);
    if (owner != link.mScheduler) {
      link.mScheduler = owner;
      link.mHeardAt = aContext.mNow;
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
  bool isOther = aRequest.mAskedNode != aLink.mScheduler;
  if (isOther) {
    // The one that was asked before may hold a slot for it, in words that did
    // not get through.
    WithdrawLease(aContext, aRequest);
  }
  aRequest.mIsQueued = aRequest.mIsQueued && !isOther;
  aRequest.mAskedNode = aLink.mScheduler;
  aRequest.mAskedAt = aContext.mNow;
  aContext.mEffects.push_back(SendPeer{ aLink.mScheduler, std::move(message) });
}

bool
TryLocally(ProxyState& aState,
           const ProxyContext& aContext,
           SchedulerLink& aLink,
           ProxyRequest& aRequest)
{
  if (aRequest.mIsRetry && aLink.mRetryTokens < 1) {
    return false;
  }
  std::size_t proxies = LiveMembers(aContext.mMembers).size();
  auto target = PickLocally(
    aLink.mLocal, aContext.mNow, proxies, aRequest.mAvoid, aContext.mRandom);
  if (!target) {
    return false;
  }
  aLink.mRetryTokens =
    aRequest.mIsRetry
      ? aLink.mRetryTokens - 1
      : std::min(aLink.mRetryTokens + kLocalRetryShare, kMostLocalRetries);
  ++aState.mCounters.mFallbackSends;
  // The scheduler may have granted what was asked, in words that do not get
  // through: it must not hold the slot for a request that is sent elsewhere.
  WithdrawLease(aContext, aRequest);
  aRequest.mAskedNode = NodeId();
  LeaseId lease = kLocalLeaseBit |
                  Hash64(aState.mSelf.mValue,
                         aState.mIncarnation + aRequest.mId + aRequest.mSends);
  SendUnderLease(aState, aContext, aRequest, lease, *target);
  return true;
}

using WaitingByService = std::map<ServiceName, std::vector<ProxyRequest*>>;

/** All requests that wait for a slot, each service's in order of urgency. */
WaitingByService
CollectWaiting(ProxyState& aState)
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
  aLink.mIsFallback = true;
  aLink.mNextProbeAt = aContext.mNow + kFallbackProbeInterval;
  aContext.mEffects.push_back(WriteEvent{
    kEventFallbackEntered,
    "service=" + aService.mValue + " scheduler=" + aLink.mScheduler.mValue });
}

/** Turns to the next member in line: the silent one may be dead, frozen or out
 * of reach, and the others notice the same as soon as they ask it. */
void
PassOver(const ProxyContext& aContext,
         const ServiceName& aService,
         SchedulerLink& aLink)
{
  aContext.mEffects.push_back(WriteEvent{
    kEventSchedulerPassedOver,
    "service=" + aService.mValue + " scheduler=" + aLink.mScheduler.mValue });
  aLink.mPassedOver[aLink.mScheduler] = aContext.mNow + kPassOverTime;
  aLink.mPassOverEndsAt = TimePoint{};
}

void
ServeFallback(ProxyState& aState,
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
    } else if (!TryLocally(aState, aContext, aLink, *it)) {
      break;
    }
  }
}

void
ServeScheduled(const ProxyContext& aContext,
               const ServiceName& aService,
               SchedulerLink& aLink,
               const std::vector<ProxyRequest*>& aWaiting)
{
  bool isSilent = false;
  for (ProxyRequest* it : aWaiting) {
    bool isMoved = it->mAskedNode != aLink.mScheduler;
    Duration interval = it->mIsQueued ? kAskQueuedInterval : kAskAgainInterval;
    if (isMoved || aContext.mNow - it->mAskedAt >= interval) {
      SendLeaseRequest(aContext, aLink, *it);
    }
    // Silence counts from the first question that was not answered.
    TimePoint since = std::max(aLink.mHeardAt, it->mStageSince);
    Duration allowed = it->mIsQueued ? kAskQueuedInterval + kSchedulerSilence
                                     : kSchedulerSilence;
    isSilent = isSilent || aContext.mNow - since >= allowed;
  }
  if (!isSilent) {
    return;
  }
  bool isFirst = aLink.mPassedOver.empty();
  if (aLink.mScheduler != aContext.mMembers.mSelf) {
    PassOver(aContext, aService, aLink);
  }
  if (!isFirst) {
    EnterFallback(aContext, aService, aLink);
  }
}

/** Sends what may be sent locally, the most urgent first. */
void
ServeLocally(ProxyState& aState,
             const ProxyContext& aContext,
             const ServiceName& aService,
             SchedulerLink& aLink)
{
  WaitingByService waiting = CollectWaiting(aState);
  auto it = waiting.find(aService);
  if (it != waiting.end()) {
    ServeFallback(aState, aContext, aLink, it->second);
  }
}

} // namespace

void
AskForLease(ProxyState& aState,
            const ProxyContext& aContext,
            ProxyRequest& aRequest)
{
  aRequest.mStage = RequestStage::AwaitingLease;
  aRequest.mStageSince = aContext.mNow;
  aRequest.mIsQueued = false;
  SchedulerLink& link = LinkOf(aState, aContext, aRequest.mService);
  if (link.mIsFallback) {
    ServeLocally(aState, aContext, aRequest.mService, link);
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
  Record(aState.mCounters.mSlotWait, aContext.mNow - aRequest.mStageSince);
  aRequest.mStage = RequestStage::Sent;
  aRequest.mStageSince = aContext.mNow;
  aRequest.mSentAt = aContext.mNow;
  aRequest.mLease = aLease;
  aRequest.mTarget = aTarget;
  ++aRequest.mSends;
  ++aState.mCounters.mSends;
  aState.mCounters.mRetries += aRequest.mIsRetry ? 1 : 0;
  NoteSent(aState.mLinks.at(aRequest.mService).mLocal, aTarget);
  aContext.mEffects.push_back(SendToTarget{
    aRequest.mId, aTarget, aRequest.mDeadlineAt, aRequest.mIsIdempotent });
}

void
ReturnLease(ProxyState& aState,
            const ProxyContext& aContext,
            ProxyRequest& aRequest,
            TargetOutcome aOutcome)
{
  SchedulerLink& link = LinkOf(aState, aContext, aRequest.mService);
  NoteEnded(
    link.mLocal, aContext.mNow, aRequest.mTarget, aRequest.mSentAt, aOutcome);
  LeaseReport report;
  report.mService = aRequest.mService;
  report.mLease = aRequest.mLease;
  report.mOutcome = aOutcome;
  report.mLatency = aContext.mNow - aRequest.mSentAt;
  Record(aState.mCounters.mTargetTime, report.mLatency);
  aRequest.mEndedLease = aRequest.mLease;
  if (!aState.mChoosesAlone) {
    aContext.mEffects.push_back(SendPeer{ link.mScheduler, std::move(report) });
  }
  if (link.mIsFallback) {
    ServeLocally(aState, aContext, aRequest.mService, link);
  }
}

void
ReturnUnused(const ProxyContext& aContext,
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
WithdrawLease(const ProxyContext& aContext, const ProxyRequest& aRequest)
{
  if (!aRequest.mAskedNode.mValue.empty()) {
    aContext.mEffects.push_back(
      SendPeer{ aRequest.mAskedNode,
                LeaseWithdrawal{ aRequest.mService, aRequest.mId } });
  }
}

void
NoteSchedulerAlive(ProxyState& aState,
                   const ProxyContext& aContext,
                   const ServiceName& aService,
                   const NodeId& aFrom)
{
  SchedulerLink& link = LinkOf(aState, aContext, aService);
  if (link.mPassedOver.erase(aFrom) > 0) {
    // It was only slow, or its words were lost.
    link.mPassOverEndsAt = TimePoint{};
    return;
  }
  if (link.mScheduler != aFrom) {
    return;
  }
  link.mHeardAt = aContext.mNow;
  if (link.mIsFallback) {
    link.mIsFallback = false;
    aContext.mEffects.push_back(
      WriteEvent{ kEventFallbackLeft, "service=" + aService.mValue });
  }
}

void
LeaseTick(ProxyState& aState, const ProxyContext& aContext)
{
  for (const auto& [service, waiting] : CollectWaiting(aState)) {
    SchedulerLink& link = LinkOf(aState, aContext, service);
    if (!link.mIsFallback) {
      ServeScheduled(aContext, service, link, waiting);
    }
    if (link.mIsFallback) {
      ServeFallback(aState, aContext, link, waiting);
    }
  }
}

} // namespace vanillascale
