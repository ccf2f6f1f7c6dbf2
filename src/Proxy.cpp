#include "Proxy.h"

#include "PeerRequestId.h"
#include "ProxyAdmission.h"
#include "ProxyCompletion.h"
#include "ProxyHedges.h"
#include "ProxyIntents.h"
#include "ProxyLeases.h"
#include "ProxyLog.h"
#include "ProxyVerdicts.h"
#include "ReturnTime.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** Each failed connect costs a connect timeout. At this count the fault is more
 * likely in this node's network than in the targets. */
constexpr unsigned kMaxFailedConnects = 5;
/** Maximum wait in fallback, as a share of the time to the deadline; equals the
 * schedulers' limit for idempotent requests. */
constexpr int kLocalMaxWaitPercent = 9;
/** Where the route states a latency goal, the maximum wait in fallback is at
 * least the goal divided by this: half of the goal, so that the other half is
 * left for the work at the target. */
constexpr int kLocalMaxWaitGoalDivisor = 2;

/** Returns whether a request may be sent again: its caller is connected, its
 * deadline has not passed and the limits on sends and failed connects permit
 * it. */
bool
IsRetryAllowed(const ProxyContext& aContext, const ProxyRequest& aRequest)
{
  return aRequest.mSends < aRequest.mAttempts &&
         aRequest.mFailedConnects < kMaxFailedConnects &&
         !aRequest.mIsCallerGone && aContext.mNow < aRequest.mDeadlineAt;
}

void
RetryRequest(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest)
{
  // mSends does not count failed connects: they reached no target, so a send
  // after them alone is not a retry.
  aRequest.mIsRetry = aRequest.mSends > 0;
  aRequest.mAvoidedTarget = aRequest.mTarget;
  RequestLease(aState, aContext, aRequest);
}

/** Handles a send that the target certainly did not run. */
void
HandleNotRun(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest)
{
  if (IsRetryAllowed(aContext, aRequest)) {
    RetryRequest(aState, aContext, aRequest);
    return;
  }
  Duration left = aRequest.mDeadlineAt - aContext.mNow;
  FinishUnserved(
    aState,
    aContext,
    aRequest,
    { kStatusUnavailable,
      RunOutcome::NotRun,
      kReasonNoTarget,
      ReturnDelay(ReturnCause::RefusedByTargets, left, aContext.mRandom) });
}

/** Handles a send that the target may have run. */
void
HandlePossiblyRun(ProxyState& aState,
                  const ProxyContext& aContext,
                  ProxyRequest& aRequest)
{
  aRequest.mMayHaveRun = true;
  if (aRequest.mIsIdempotent && IsRetryAllowed(aContext, aRequest)) {
    RetryRequest(aState, aContext, aRequest);
    return;
  }
  FinishUnserved(aState, aContext, aRequest, {});
}

/** Ends a request whose deadline has passed, with the verdict for its stage. */
void
EndExpiredRequest(ProxyState& aState,
                  const ProxyContext& aContext,
                  ProxyRequest& aRequest)
{
  switch (aRequest.mStage) {
    case RequestStage::AwaitingIntent:
    case RequestStage::RevokingIntent:
      AbandonIntent(aState, aContext, aRequest);
      FinishRequest(
        aState,
        aContext,
        aRequest.mId,
        { kStatusGatewayTimeout, RunOutcome::Unknown, kReasonIntentUnsettled });
      return;
    case RequestStage::AwaitingCachedAnswer:
      FinishRequest(
        aState,
        aContext,
        aRequest.mId,
        { kStatusGatewayTimeout, RunOutcome::Unknown, kReasonStillRunning });
      return;
    case RequestStage::AwaitingLease:
      WithdrawLeaseRequest(aContext, aRequest);
      FinishUnserved(
        aState,
        aContext,
        aRequest,
        { kStatusGatewayTimeout, RunOutcome::NotRun, kReasonDeadlinePassed });
      return;
    case RequestStage::Sent:
      // The runtime ends the send at the deadline and reports a
      // TargetRequestEnded event.
      return;
  }
}

/** Returns whether a request waits for a cached answer from a proxy that can't
 * be reached. The outcome of its key then can't be found out. */
bool
HasLostKeyOwner(const ProxyContext& aContext, const ProxyRequest& aRequest)
{
  const NodeId& owner = aRequest.mKeyOwner.mProxy;
  return aRequest.mStage == RequestStage::AwaitingCachedAnswer &&
         owner != aContext.mMembers.mSelf &&
         !IsReachable(aContext.mMembers, owner);
}

/** Returns whether a request of a service in fallback has waited for the
 * maximum time. */
bool
HasExceededLocalWait(const ProxyState& aState,
                     const ProxyContext& aContext,
                     const ProxyRequest& aRequest)
{
  if (aRequest.mStage != RequestStage::AwaitingLease) {
    return false;
  }
  auto link = aState.mSchedulerLinks.find(aRequest.mService);
  if (link == aState.mSchedulerLinks.end() || !link->second.mIsInFallback) {
    return false;
  }
  Duration left = aRequest.mDeadlineAt - aRequest.mStageStartedAt;
  Duration maxWait = std::max(left * kLocalMaxWaitPercent / 100,
                              aRequest.mGoal / kLocalMaxWaitGoalDivisor);
  return aContext.mNow - aRequest.mStageStartedAt >= maxWait;
}

} // namespace

ProxyState
ProxyState::Make(NodeId aSelf,
                 std::uint64_t aIncarnation,
                 std::string aEnvironment)
{
  ProxyState state;
  state.mSelf = std::move(aSelf);
  state.mIncarnation = aIncarnation;
  state.mEnvironment = std::move(aEnvironment);
  return state;
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const CallerRequest& aRequest)
{
  ++aState.mCounters.mRequests;
  const Route* route = FindRoute(
    aContext.mConfig, aRequest.mMethod, aRequest.mPath, aRequest.mHost);
  const ClientAccount* account = AuthenticateRequest(aContext, aRequest);
  if (auto verdict = CheckRequest(aContext, aRequest, route, account)) {
    CountOutcome(aState, verdict->mOutcome);
    LogRefusal(aContext, aRequest, *verdict);
    aContext.mEffects.push_back(
      AnswerCaller{ aRequest.mRequest, *verdict, nullptr });
    return;
  }
  ProxyRequest& request =
    aState.mRequests
      .emplace(aRequest.mRequest,
               MakeRequest(aContext, aRequest, *route, account))
      .first->second;
  request.mPeerId = ToPeerRequestId(aState.mIncarnation, aRequest.mRequest);
  if (!route->mShares.empty()) {
    request.mService = PickService(
      aState.mRouteSpreads[route->mName], route->mShares, aContext.mRandom);
  }
  if (request.mNeedsIntent) {
    RequestIntent(aState, aContext, request);
  } else {
    RequestLease(aState, aContext, request);
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const CallerDisconnected& aGone)
{
  ProxyRequest* request = FindRequest(aState, aGone.mRequest);
  if (!request || request->mIsCallerGone) {
    return;
  }
  request->mIsCallerGone = true;
  if (request->mStage == RequestStage::Sent) {
    if (request->mIsIdempotent) {
      aContext.mEffects.push_back(
        CancelAtTarget{ request->mId, request->mIsHedge });
      CancelSecondSend(aContext, *request);
    }
    return;
  }
  if (request->mStage == RequestStage::AwaitingLease) {
    WithdrawLeaseRequest(aContext, *request);
  }
  if (request->mIsIntentRequested) {
    AbandonIntent(aState, aContext, *request);
  }
  FinishRequest(aState, aContext, request->mId, {});
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const TargetRequestEnded& aEnded)
{
  if (EndSecondSend(aState, aContext, aEnded)) {
    return;
  }
  ProxyRequest* request = FindRequest(aState, aEnded.mRequest);
  if (!request || request->mStage != RequestStage::Sent ||
      request->mIsHedge != aEnded.mIsHedge) {
    return;
  }
  ReturnLease(aState, aContext, *request, aEnded.mOutcome, aEnded.mStatements);
  if (aEnded.mOutcome != TargetOutcome::Answered) {
    LogFailedSend(aContext, *request, aEnded.mOutcome);
  }
  if (ContinueWithSecondSend(aContext, *request, aEnded)) {
    return;
  }
  switch (aEnded.mOutcome) {
    case TargetOutcome::Answered:
      FinishAnswered(aState, aContext, *request, aEnded.mAnswer);
      return;
    case TargetOutcome::ServerError:
      request->mServerErrorAnswer = aEnded.mAnswer;
      HandlePossiblyRun(aState, aContext, *request);
      return;
    case TargetOutcome::Broken:
      HandlePossiblyRun(aState, aContext, *request);
      return;
    case TargetOutcome::ConnectFailed:
      --request->mSends;
      ++request->mFailedConnects;
      HandleNotRun(aState, aContext, *request);
      return;
    case TargetOutcome::Shed:
    case TargetOutcome::Draining:
    case TargetOutcome::Unused:
      if (aEnded.mMayHaveRun) {
        HandlePossiblyRun(aState, aContext, *request);
      } else {
        HandleNotRun(aState, aContext, *request);
      }
      return;
    case TargetOutcome::TimedOut:
    case TargetOutcome::Cancelled:
      FinishRequest(
        aState,
        aContext,
        request->mId,
        { kStatusGatewayTimeout, RunOutcome::Unknown, kReasonTargetTimeout });
      return;
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseGrant& aGrant)
{
  ProxyRequest* request = FindRequestOfPeer(aState, aGrant.mRequest);
  if (!request) {
    // The request has ended or is one of an earlier process, so that its
    // service is not known.
    ++aState.mCounters.mUnmatchedGrants;
    ReturnUnusedLease(aContext, aFrom, ServiceName(), aGrant.mLease);
    return;
  }
  RecordSchedulerMessage(aState, aContext, request->mService, aFrom);
  if (aGrant.mLease == request->mLease &&
      request->mStage == RequestStage::Sent) {
    return;
  }
  bool isUsable = request->mStage == RequestStage::AwaitingLease &&
                  aGrant.mLease != request->mReportedLease &&
                  aContext.mNow < request->mDeadlineAt;
  if (!isUsable) {
    ReturnUnusedLease(aContext, aFrom, request->mService, aGrant.mLease);
    return;
  }
  if (DeclineGrant(aState, aContext, *request, aFrom, aGrant)) {
    return;
  }
  SendUnderLease(aState, aContext, *request, aGrant.mLease, aGrant.mTarget);
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseRefusal& aRefusal)
{
  ProxyRequest* request = FindRequestOfPeer(aState, aRefusal.mRequest);
  if (!request) {
    return;
  }
  RecordSchedulerMessage(aState, aContext, request->mService, aFrom);
  bool isExpected = request->mStage == RequestStage::AwaitingLease &&
                    request->mQueriedNode == aFrom;
  if (isExpected) {
    Duration retryAfter = aRefusal.mRetryAfter;
    if (retryAfter == Duration(0)) {
      retryAfter = ReturnDelay(ReturnCauseOf(aRefusal.mReason),
                               request->mDeadlineAt - aContext.mNow,
                               aContext.mRandom);
    }
    FinishUnserved(aState,
                   aContext,
                   *request,
                   MakeRefusalVerdict(aRefusal.mReason, retryAfter));
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseQueued& aQueued)
{
  if (ProxyRequest* request = FindRequestOfPeer(aState, aQueued.mRequest)) {
    request->mIsQueued = true;
    RecordSchedulerMessage(aState, aContext, request->mService, aFrom);
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseQuery& aQuery)
{
  std::set<LeaseId> held;
  for (const auto& [id, request] : aState.mRequests) {
    if (request.mStage == RequestStage::Sent) {
      held.insert(request.mLease);
    }
  }
  for (const HeldLease& it : LeasesOfSecondSends(aState, aContext, nullptr)) {
    held.insert(it.mLease);
  }
  for (LeaseId it : aQuery.mLeases) {
    if (held.count(it) == 0) {
      ReturnUnusedLease(aContext, aFrom, aQuery.mService, it);
    }
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const TargetView& aView)
{
  auto link = aState.mSchedulerLinks.find(aView.mService);
  if (link != aState.mSchedulerLinks.end() &&
      link->second.mScheduler == aFrom) {
    SetTargetsOutOfUse(
      link->second.mLocalChoice, aContext.mNow, aView.mOutOfUse);
    RecordSchedulerMessage(aState, aContext, aView.mService, aFrom);
  }
}

void
LimitDeadlines(ProxyState& aState, TimePoint aMustEndBy)
{
  for (auto& [id, request] : aState.mRequests) {
    request.mDeadlineAt = std::min(request.mDeadlineAt, aMustEndBy);
  }
}

void
ProxyTick(ProxyState& aState, const ProxyContext& aContext)
{
  std::vector<RequestId> expired;
  std::vector<RequestId> overdue;
  std::vector<RequestId> withLostOwner;
  for (const auto& [id, request] : aState.mRequests) {
    if (aContext.mNow >= request.mDeadlineAt) {
      expired.push_back(id);
    } else if (HasExceededLocalWait(aState, aContext, request)) {
      overdue.push_back(id);
    } else if (HasLostKeyOwner(aContext, request)) {
      withLostOwner.push_back(id);
    }
  }
  for (RequestId it : expired) {
    EndExpiredRequest(aState, aContext, aState.mRequests.at(it));
  }
  for (RequestId it : overdue) {
    WithdrawLeaseRequest(aContext, aState.mRequests.at(it));
    FinishUnserved(aState,
                   aContext,
                   aState.mRequests.at(it),
                   MakeRefusalVerdict(RefusalReason::Overload));
  }
  for (RequestId it : withLostOwner) {
    FinishRequest(
      aState,
      aContext,
      it,
      { kStatusConflict, RunOutcome::Unknown, kReasonOutcomeNotKnown });
  }
  IntentTick(aState, aContext);
  LeaseTick(aState, aContext);
}

void
UpdateServiceTargets(ProxyState& aState,
                     const ConfigState& aConfig,
                     const VmsByKey& aVms)
{
  std::vector<Vm> vms = ValuesOf(aVms);
  for (auto& [service, link] : aState.mSchedulerLinks) {
    auto settings = aConfig.mDocument.mServices.find(service);
    if (settings != aConfig.mDocument.mServices.end()) {
      UpdateLocalBalancer(link.mLocalChoice, settings->second.mVmGroup, vms);
    }
  }
}

void
UpdateServiceTarget(ProxyState& aState,
                    const ConfigState& aConfig,
                    const std::optional<Vm>& aOld,
                    const std::optional<Vm>& aNew)
{
  for (auto& [service, link] : aState.mSchedulerLinks) {
    auto settings = aConfig.mDocument.mServices.find(service);
    if (settings == aConfig.mDocument.mServices.end()) {
      continue;
    }
    const std::string& group = settings->second.mVmGroup;
    bool isSame =
      aOld && aNew && aOld->mAddress == aNew->mAddress && aNew->mGroup == group;
    if (aOld && aOld->mGroup == group && !isSame) {
      link.mLocalChoice.mTargets.erase(TargetId(aOld->mAddress));
    }
    if (aNew && aNew->mGroup == group) {
      UpdateLocalTarget(link.mLocalChoice, *aNew);
    }
  }
}

} // namespace vanillascale
