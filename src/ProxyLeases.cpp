#include "ProxyLeases.h"

#include "Duties.h"
#include "EventNumbers.h"
#include "Hash.h"
#include "ProxyHedges.h"
#include "ProxyLog.h"
#include "ProxyQuota.h"
#include "ProxyVerdicts.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Interval between repeats of a lease request that was not answered. */
constexpr Duration kLeaseRequestRetryInterval = milliseconds(60);
/** Once the scheduler has confirmed that a request is queued, a repeated lease
 * request serves only to detect that the scheduler has failed or that its reply
 * was lost. */
constexpr Duration kQueuedRequestRetryInterval = milliseconds(500);
/** A scheduler that sends no message for this time while requests wait is
 * excluded. If another one is excluded already, the service enters fallback. */
constexpr Duration kSchedulerTimeout = milliseconds(150);
/** Longer than the membership protocol needs to detect a dead member, and short
 * enough that a scheduler that was only slow is soon used again. */
constexpr Duration kSchedulerExclusionTime = milliseconds(2000);
/** Interval between the lease requests by which a service in fallback detects
 * that a scheduler answers again. */
constexpr Duration kFallbackProbeInterval = milliseconds(100);
/** Retry tokens gained by each first attempt that is sent locally. */
constexpr double kLocalRetryRatio = 0.1;
constexpr double kMaxLocalRetryTokens = 5;
/** Marks leases that no scheduler granted. */
constexpr LeaseId kLocalLeaseBit = LeaseId(1) << 63;

/** Returns the owner of a service's scheduling duty among the live members that
 * are not excluded, and drops expired exclusions from aLink. */
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
    OrderForDuty(aContext.mMembers, members, SchedulerDuty(aService), 1);
  return owners.empty() ? NodeId() : owners.front();
}

/** Fills a new link's local targets from the VM list. */
void
InitLocalTargets(const ProxyContext& aContext,
                 const ServiceName& aService,
                 SchedulerLink& aLink)
{
  const auto& services = aContext.mConfig.mDocument.mServices;
  auto it = services.find(aService);
  if (it != services.end()) {
    UpdateLocalBalancer(
      aLink.mLocalChoice, it->second.mVmGroup, ValuesOf(aContext.mVms));
  }
}

/** Returns a service's link after picking its scheduler again if the members or
 * the exclusions have changed. Tells a new scheduler which leases of the
 * service this proxy holds. */
SchedulerLink&
UpdateSchedulerLink(ProxyState& aState,
                    const ProxyContext& aContext,
                    const ServiceName& aService)
{
  auto [entry, isNew] = aState.mSchedulerLinks.try_emplace(aService);
  SchedulerLink& link = entry->second;
  if (isNew) {
    InitLocalTargets(aContext, aService, link);
    link.mIsInFallback = aState.mChoosesLocally;
  }
  if (aState.mChoosesLocally) {
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
        bool isLeaseHeld =
          request.mStage == RequestStage::Sent && request.mService == aService;
        if (isLeaseHeld) {
          sync.mLeases.push_back({ request.mLease,
                                   request.mTarget,
                                   request.mIsLong,
                                   request.mDeadlineAt - aContext.mNow });
        }
      }
      for (HeldLease& it : LeasesOfSecondSends(aState, aContext, &aService)) {
        sync.mLeases.push_back(std::move(it));
      }
      sync.mStatements = StatementsOf(link.mLocalChoice, aContext.mNow);
      if (!sync.mLeases.empty() || !sync.mStatements.empty()) {
        aContext.mEffects.push_back(SendToPeer{ owner, std::move(sync) });
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
  message.mRequest = aRequest.mPeerId;
  message.mRoute = aRequest.mRoute;
  message.mPriority = aRequest.mPriority;
  message.mIsLong = aRequest.mIsLong;
  message.mIsIdempotent = aRequest.mIsIdempotent;
  message.mIsRetry = aRequest.mIsRetry;
  message.mDeadline = aRequest.mDeadlineAt - aContext.mNow;
  message.mFingerprint = aRequest.mFingerprint;
  message.mAccount = aRequest.mAccount;
  message.mAvoidedTarget = aRequest.mAvoidedTarget;
  if (aRequest.mGoal > Duration(0)) {
    Duration left = aRequest.mReceivedAt + aRequest.mGoal - aContext.mNow;
    message.mGoal = std::max(left, Duration(1));
  }
  message.mName = aRequest.mName;
  bool isOtherScheduler = aRequest.mQueriedNode != aLink.mScheduler;
  if (isOtherScheduler) {
    // The scheduler that was queried before may hold a slot for the request,
    // granted in a message that was lost.
    WithdrawLeaseRequest(aContext, aRequest);
  }
  aRequest.mIsQueued = aRequest.mIsQueued && !isOtherScheduler;
  aRequest.mQueriedNode = aLink.mScheduler;
  aRequest.mQueriedAt = aContext.mNow;
  aContext.mEffects.push_back(
    SendToPeer{ aLink.mScheduler, std::move(message) });
}

/** The result of the attempt to send a request without a scheduler. */
enum class LocalSend
{
  Sent,
  /** A retry has no token left, or no target has a free slot in this proxy's
   * share. */
  NoSlot,
  /** The request waits for the level of its account's quota. */
  WaitsForQuota,
  /** The quota of the request's account is used up; the request is ended. */
  Refused
};

/** Sends a request to a locally chosen target, if its account has a token. */
LocalSend
TrySendLocally(ProxyState& aState,
               const ProxyContext& aContext,
               SchedulerLink& aLink,
               ProxyRequest& aRequest)
{
  if (aRequest.mIsRetry && aLink.mRetryTokens < 1) {
    return LocalSend::NoSlot;
  }
  std::size_t proxyCount = LiveMembers(aContext.mMembers).size();
  auto target = PickLocalTarget(aLink.mLocalChoice,
                                aContext.mNow,
                                proxyCount,
                                aRequest.mAvoidedTarget,
                                aContext.mRandom);
  if (!target) {
    return LocalSend::NoSlot;
  }
  QuotaDecision quota = TakeLocalQuota(aContext, aRequest);
  if (quota == QuotaDecision::Unknown) {
    return LocalSend::WaitsForQuota;
  }
  if (quota == QuotaDecision::Refused) {
    RefuseForQuota(aState, aContext, aRequest);
    return LocalSend::Refused;
  }
  aLink.mRetryTokens =
    aRequest.mIsRetry
      ? aLink.mRetryTokens - 1
      : std::min(aLink.mRetryTokens + kLocalRetryRatio, kMaxLocalRetryTokens);
  ++aState.mCounters.mFallbackSends;
  TakeLocalToken(aLink.mLocalChoice, aContext.mNow, proxyCount, *target);
  // The scheduler may have granted the lease in a message that was lost. It
  // must not hold the slot for a request that is sent elsewhere.
  WithdrawLeaseRequest(aContext, aRequest, aRequest.mIsQueued);
  aRequest.mQueriedNode = NodeId();
  LeaseId lease = kLocalLeaseBit |
                  Hash64(aState.mSelf.mValue,
                         aState.mIncarnation + aRequest.mId + aRequest.mSends);
  SendUnderLease(aState, aContext, aRequest, lease, *target);
  return LocalSend::Sent;
}

using WaitingByService = std::map<ServiceName, std::vector<ProxyRequest*>>;

/** Returns all requests that wait for a lease, by service. Each service's
 * requests are ordered by priority, deadline and id. */
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

/** Excludes the scheduler that timed out, so that the next member in the duty's
 * order is queried. The scheduler may be dead, paused or unreachable. The other
 * proxyCount detect the same as soon as they query it. */
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

/** Sends a service's waiting requests to locally chosen targets until one can't
 * be sent. */
void
SendWaitingLocally(ProxyState& aState,
                   const ProxyContext& aContext,
                   SchedulerLink& aLink,
                   const std::vector<ProxyRequest*>& aWaiting)
{
  bool isProbeDue =
    !aState.mChoosesLocally && aContext.mNow >= aLink.mNextProbeAt;
  for (ProxyRequest* it : aWaiting) {
    if (isProbeDue) {
      // One request per probe interval is sent to the scheduler to detect that
      // it answers again.
      isProbeDue = false;
      aLink.mNextProbeAt = aContext.mNow + kFallbackProbeInterval;
      SendLeaseRequest(aContext, aLink, *it);
    } else if (TrySendLocally(aState, aContext, aLink, *it) ==
               LocalSend::NoSlot) {
      break;
    }
  }
}

/** Sends the lease requests that are due, to a new scheduler or as a repeat.
 * When the scheduler has timed out, excludes it, unless it is this node. Enters
 * fallback if another scheduler was already excluded. */
void
SendDueLeaseRequests(const ProxyContext& aContext,
                     const ServiceName& aService,
                     SchedulerLink& aLink,
                     const std::vector<ProxyRequest*>& aWaiting)
{
  bool hasTimedOut = false;
  for (ProxyRequest* it : aWaiting) {
    bool isNewScheduler = it->mQueriedNode != aLink.mScheduler;
    Duration interval =
      it->mIsQueued ? kQueuedRequestRetryInterval : kLeaseRequestRetryInterval;
    if (isNewScheduler || aContext.mNow - it->mQueriedAt >= interval) {
      SendLeaseRequest(aContext, aLink, *it);
    }
    // The timeout runs from the scheduler's last message or from the start of
    // the request's wait, whichever is later.
    TimePoint since = std::max(aLink.mLastMessageAt, it->mStageStartedAt);
    Duration timeout = it->mIsQueued
                         ? kQueuedRequestRetryInterval + kSchedulerTimeout
                         : kSchedulerTimeout;
    hasTimedOut = hasTimedOut || aContext.mNow - since >= timeout;
  }
  if (!hasTimedOut) {
    return;
  }
  bool isFirstTimeout = aLink.mExcludedUntil.empty();
  if (aLink.mScheduler != aContext.mMembers.mSelf) {
    ExcludeScheduler(aContext, aService, aLink);
  }
  if (!isFirstTimeout) {
    EnterFallback(aContext, aService, aLink);
  }
}

/** Returns whether the target of a grant is leaving or gone by this node's
 * target list. A target that is missing from the list may be a new one, unless
 * the list is at least as new as the scheduler's at the grant. */
bool
IsLeavingOrGone(const ProxyContext& aContext,
                const LocalBalancer& aTargets,
                const LeaseGrant& aGrant)
{
  TargetListing listing = ListingOf(aTargets, aGrant.mTarget);
  bool isListNewer = aGrant.mTargetListEnd != StorePosition() &&
                     Reaches(aContext.mTargetListEnd, aGrant.mTargetListEnd);
  return listing == TargetListing::Leaving ||
         (listing == TargetListing::Unlisted && isListNewer);
}

/** Sends a service's waiting requests to locally chosen targets, as far as the
 * local limits allow, the most urgent first. */
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
  RecordLatency(aState.mCounters.mSlotWait,
                aContext.mNow - aRequest.mStageStartedAt);
  aRequest.mStage = RequestStage::Sent;
  aRequest.mStageStartedAt = aContext.mNow;
  aRequest.mSentAt = aContext.mNow;
  aRequest.mLease = aLease;
  aRequest.mTarget = aTarget;
  aRequest.mIsHedge = false;
  ++aRequest.mSends;
  ++aState.mCounters.mSends;
  aState.mCounters.mRetries += aRequest.mIsRetry ? 1 : 0;
  RecordSent(aState.mSchedulerLinks.at(aRequest.mService).mLocalChoice,
             aTarget);
  aContext.mEffects.push_back(SendToTarget{ aRequest.mId,
                                            aTarget,
                                            aRequest.mDeadlineAt,
                                            aRequest.mIsIdempotent,
                                            aRequest.mAccountName });
}

void
ReturnLease(ProxyState& aState,
            const ProxyContext& aContext,
            ProxyRequest& aRequest,
            TargetOutcome aOutcome,
            const std::optional<TargetStatements>& aStatements)
{
  SchedulerLink& link =
    UpdateSchedulerLink(aState, aContext, aRequest.mService);
  RecordEnded(link.mLocalChoice,
              aContext.mNow,
              aRequest.mTarget,
              aRequest.mSentAt,
              aOutcome);
  if (aStatements) {
    RecordStatements(link.mLocalChoice,
                     aContext.mNow,
                     aRequest.mTarget,
                     aRequest.mSentAt,
                     *aStatements,
                     aContext.mRandom);
  }
  LeaseReport report;
  report.mService = aRequest.mService;
  report.mLease = aRequest.mLease;
  report.mOutcome = aOutcome;
  report.mStatements = aStatements;
  report.mLatency = aContext.mNow - aRequest.mSentAt;
  RecordLatency(aState.mCounters.mTargetTime, report.mLatency);
  aRequest.mReportedLease = aRequest.mLease;
  if (!aState.mChoosesLocally) {
    aContext.mEffects.push_back(
      SendToPeer{ link.mScheduler, std::move(report) });
  }
  if (link.mIsInFallback) {
    SendServiceRequestsLocally(aState, aContext, aRequest.mService, link);
  }
}

bool
DeclineGrant(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest,
             const NodeId& aScheduler,
             const LeaseGrant& aGrant)
{
  const LocalBalancer& targets =
    aState.mSchedulerLinks.at(aRequest.mService).mLocalChoice;
  bool hasStated = DeclinesRequests(targets, aContext.mNow, aGrant.mTarget);
  bool isLeavingOrGone = IsLeavingOrGone(aContext, targets, aGrant);
  if (!hasStated && !isLeavingOrGone) {
    return false;
  }
  LogDeclinedGrant(aContext, aRequest, aScheduler, aGrant, isLeavingOrGone);
  LeaseReport report;
  report.mService = aRequest.mService;
  report.mLease = aGrant.mLease;
  report.mOutcome = TargetOutcome::Unused;
  if (isLeavingOrGone) {
    report.mDeclinedAtListEnd = aContext.mTargetListEnd;
  }
  for (const StatedTarget& it : StatementsOf(targets, aContext.mNow)) {
    if (it.mTarget == aGrant.mTarget) {
      report.mStatements = it.mStatements;
    }
  }
  aContext.mEffects.push_back(SendToPeer{ aScheduler, std::move(report) });
  ++aState.mCounters.mDeclinedGrants;
  aRequest.mReportedLease = aGrant.mLease;
  aRequest.mAvoidedTarget = aGrant.mTarget;
  RequestLease(aState, aContext, aRequest);
  return true;
}

bool
IsTargetDeclined(const ProxyState& aState,
                 const ProxyContext& aContext,
                 const ServiceName& aService,
                 const TargetId& aTarget,
                 const StorePosition& aListEnd)
{
  const LocalBalancer& targets =
    aState.mSchedulerLinks.at(aService).mLocalChoice;
  LeaseGrant grant;
  grant.mTarget = aTarget;
  grant.mTargetListEnd = aListEnd;
  return DeclinesRequests(targets, aContext.mNow, aTarget) ||
         IsLeavingOrGone(aContext, targets, grant);
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
  aContext.mEffects.push_back(SendToPeer{ aScheduler, std::move(report) });
}

void
WithdrawLeaseRequest(const ProxyContext& aContext,
                     const ProxyRequest& aRequest,
                     bool aKeepsToken)
{
  if (!aRequest.mQueriedNode.mValue.empty()) {
    aContext.mEffects.push_back(SendToPeer{
      aRequest.mQueriedNode,
      LeaseWithdrawal{ aRequest.mService, aRequest.mPeerId, aKeepsToken } });
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
    // It was only slow, or its messages were lost: ends its exclusion.
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
      SendDueLeaseRequests(aContext, service, link, waiting);
    }
    if (link.mIsInFallback) {
      SendWaitingLocally(aState, aContext, link, waiting);
    }
  }
}

} // namespace vanillascale
