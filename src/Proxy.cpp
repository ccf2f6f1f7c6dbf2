#include "Proxy.h"

#include "ProxyAdmission.h"
#include "ProxyEndings.h"
#include "ProxyIntents.h"
#include "ProxyLeases.h"
#include "ProxyLog.h"
#include "ProxyVerdicts.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** Each costs a connect timeout; after so many it is this node's network. */
constexpr unsigned kMostFailedConnects = 5;
/** A local wait is cut where a scheduler would cut it. */
constexpr int kLocalPatiencePercent = 9;
/** Where the route states a goal: the other half is left for the work. */
constexpr int kLocalGoalDivisor = 2;

bool
MayRetry(const ProxyContext& aContext, const ProxyRequest& aRequest)
{
  return aRequest.mSends < aRequest.mAttempts &&
         aRequest.mFailedConnects < kMostFailedConnects &&
         !aRequest.mIsCallerGone && aContext.mNow < aRequest.mDeadlineAt;
}

void
Retry(ProxyState& aState, const ProxyContext& aContext, ProxyRequest& aRequest)
{
  // Where no connection came about no target has seen it: that is no repeat.
  aRequest.mIsRetry = aRequest.mSends > 0;
  aRequest.mAvoid = aRequest.mTarget;
  AskForLease(aState, aContext, aRequest);
}

/** Handles a send that the target surely did not run. */
void
HandleNotRun(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest)
{
  if (MayRetry(aContext, aRequest)) {
    Retry(aState, aContext, aRequest);
    return;
  }
  EndUnserved(aState,
              aContext,
              aRequest,
              { kStatusUnavailable, RunOutcome::NotRun, kReasonNoTarget });
}

/** Handles a send that the target may have run. */
void
HandleMaybeRun(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest)
{
  aRequest.mMayHaveRun = true;
  if (aRequest.mIsIdempotent && MayRetry(aContext, aRequest)) {
    Retry(aState, aContext, aRequest);
    return;
  }
  EndUnserved(aState, aContext, aRequest, {});
}

/** Ends a request whose deadline has passed in the stage it is in. */
void
EndLate(ProxyState& aState,
        const ProxyContext& aContext,
        ProxyRequest& aRequest)
{
  switch (aRequest.mStage) {
    case RequestStage::AwaitingIntent:
    case RequestStage::EndingIntent:
      AbandonIntent(aState, aContext, aRequest);
      Finish(aState,
             aContext,
             aRequest.mId,
             { kStatusTimeout, RunOutcome::Unknown, kReasonUnsettled });
      return;
    case RequestStage::AwaitingKeptAnswer:
      Finish(aState,
             aContext,
             aRequest.mId,
             { kStatusTimeout, RunOutcome::Unknown, kReasonStillRunning });
      return;
    case RequestStage::AwaitingLease:
      WithdrawLease(aContext, aRequest);
      EndUnserved(aState,
                  aContext,
                  aRequest,
                  { kStatusTimeout, RunOutcome::NotRun, kReasonDeadline });
      return;
    case RequestStage::Sent:
      // The shell ends the send at the deadline and says how.
      return;
  }
}

/** Whether a request waits for the word of a proxy that has died: then nobody
 * knows what became of its key. */
bool
IsOrphaned(const ProxyContext& aContext, const ProxyRequest& aRequest)
{
  const NodeId& owner = aRequest.mKeyOwner.mProxy;
  return aRequest.mStage == RequestStage::AwaitingKeptAnswer &&
         owner != aContext.mMembers.mSelf &&
         !IsReachable(aContext.mMembers, owner);
}

bool
IsOutOfLocalPatience(const ProxyState& aState,
                     const ProxyContext& aContext,
                     const ProxyRequest& aRequest)
{
  if (aRequest.mStage != RequestStage::AwaitingLease) {
    return false;
  }
  auto link = aState.mLinks.find(aRequest.mService);
  if (link == aState.mLinks.end() || !link->second.mIsFallback) {
    return false;
  }
  Duration left = aRequest.mDeadlineAt - aRequest.mStageSince;
  Duration patience = std::max(left * kLocalPatiencePercent / 100,
                               aRequest.mGoal / kLocalGoalDivisor);
  return aContext.mNow - aRequest.mStageSince >= patience;
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
  if (auto verdict = CheckRequest(aContext, aRequest, route)) {
    CountOutcome(aState, verdict->mOutcome);
    LogRefusal(aContext, aRequest, *verdict);
    aContext.mEffects.push_back(
      AnswerCaller{ aRequest.mRequest, *verdict, nullptr });
    return;
  }
  ProxyRequest& request =
    aState.mRequests
      .emplace(aRequest.mRequest, MakeRequest(aContext, aRequest, *route))
      .first->second;
  if (!route->mShares.empty()) {
    request.mService = PickService(
      aState.mSpreads[route->mName], route->mShares, aContext.mRandom);
  }
  if (request.mNeedsIntent) {
    AskForIntent(aState, aContext, request);
  } else {
    AskForLease(aState, aContext, request);
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const CallerGone& aGone)
{
  ProxyRequest* request = FindRequest(aState, aGone.mRequest);
  if (!request || request->mIsCallerGone) {
    return;
  }
  request->mIsCallerGone = true;
  if (request->mStage == RequestStage::Sent) {
    if (request->mIsIdempotent) {
      aContext.mEffects.push_back(CancelAtTarget{ request->mId });
    }
    return;
  }
  if (request->mStage == RequestStage::AwaitingLease) {
    WithdrawLease(aContext, *request);
  }
  if (request->mIsIntentAsked) {
    AbandonIntent(aState, aContext, *request);
  }
  Finish(aState, aContext, request->mId, {});
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const TargetEnded& aEnded)
{
  ProxyRequest* request = FindRequest(aState, aEnded.mRequest);
  if (!request || request->mStage != RequestStage::Sent) {
    return;
  }
  ReturnLease(aState, aContext, *request, aEnded.mOutcome);
  if (aEnded.mOutcome != TargetOutcome::Answered) {
    LogFailedSend(aContext, *request, aEnded.mOutcome);
  }
  switch (aEnded.mOutcome) {
    case TargetOutcome::Answered:
      PassOn(aState, aContext, *request, aEnded.mAnswer);
      return;
    case TargetOutcome::ServerError:
      request->mErrorAnswer = aEnded.mAnswer;
      HandleMaybeRun(aState, aContext, *request);
      return;
    case TargetOutcome::Broken:
      HandleMaybeRun(aState, aContext, *request);
      return;
    case TargetOutcome::ConnectFailed:
      --request->mSends;
      ++request->mFailedConnects;
      HandleNotRun(aState, aContext, *request);
      return;
    case TargetOutcome::Shed:
    case TargetOutcome::Draining:
    case TargetOutcome::Unused:
      HandleNotRun(aState, aContext, *request);
      return;
    case TargetOutcome::TimedOut:
    case TargetOutcome::Cancelled:
      Finish(aState,
             aContext,
             request->mId,
             { kStatusTimeout, RunOutcome::Unknown, kReasonTargetTimeout });
      return;
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseGrant& aGrant)
{
  ProxyRequest* request = FindRequest(aState, aGrant.mRequest);
  if (!request) {
    // The request has ended, and with it what was known of its service.
    ReturnUnused(aContext, aFrom, ServiceName(), aGrant.mLease);
    return;
  }
  NoteSchedulerAlive(aState, aContext, request->mService, aFrom);
  if (aGrant.mLease == request->mLease &&
      request->mStage == RequestStage::Sent) {
    return;
  }
  bool isWanted = request->mStage == RequestStage::AwaitingLease &&
                  aGrant.mLease != request->mEndedLease &&
                  aContext.mNow < request->mDeadlineAt;
  if (!isWanted) {
    ReturnUnused(aContext, aFrom, request->mService, aGrant.mLease);
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
  ProxyRequest* request = FindRequest(aState, aRefusal.mRequest);
  if (!request) {
    return;
  }
  NoteSchedulerAlive(aState, aContext, request->mService, aFrom);
  bool isAwaited = request->mStage == RequestStage::AwaitingLease &&
                   request->mAskedNode == aFrom;
  if (isAwaited) {
    EndUnserved(aState, aContext, *request, VerdictFor(aRefusal.mReason));
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseQueued& aQueued)
{
  if (ProxyRequest* request = FindRequest(aState, aQueued.mRequest)) {
    request->mIsQueued = true;
    NoteSchedulerAlive(aState, aContext, request->mService, aFrom);
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
  for (LeaseId it : aQuery.mLeases) {
    if (held.count(it) == 0) {
      ReturnUnused(aContext, aFrom, aQuery.mService, it);
    }
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const TargetView& aView)
{
  auto link = aState.mLinks.find(aView.mService);
  if (link != aState.mLinks.end() && link->second.mScheduler == aFrom) {
    SetTargetsOutOfUse(link->second.mLocal, aContext.mNow, aView.mOutOfUse);
    NoteSchedulerAlive(aState, aContext, aView.mService, aFrom);
  }
}

void
ProxyTick(ProxyState& aState, const ProxyContext& aContext)
{
  std::vector<RequestId> late;
  std::vector<RequestId> impatient;
  std::vector<RequestId> orphaned;
  for (const auto& [id, request] : aState.mRequests) {
    if (aContext.mNow >= request.mDeadlineAt) {
      late.push_back(id);
    } else if (IsOutOfLocalPatience(aState, aContext, request)) {
      impatient.push_back(id);
    } else if (IsOrphaned(aContext, request)) {
      orphaned.push_back(id);
    }
  }
  for (RequestId it : late) {
    EndLate(aState, aContext, aState.mRequests.at(it));
  }
  for (RequestId it : impatient) {
    WithdrawLease(aContext, aState.mRequests.at(it));
    EndUnserved(aState,
                aContext,
                aState.mRequests.at(it),
                VerdictFor(RefusalReason::Overload));
  }
  for (RequestId it : orphaned) {
    Finish(aState,
           aContext,
           it,
           { kStatusConflict, RunOutcome::Unknown, kReasonOutcomeUnknown });
  }
  IntentTick(aState, aContext);
  LeaseTick(aState, aContext);
}

void
SeedLocalTargets(ProxyState& aState,
                 const ConfigState& aConfig,
                 const std::vector<Vm>& aVms)
{
  for (auto& [service, link] : aState.mLinks) {
    auto settings = aConfig.mDocument.mServices.find(service);
    if (settings != aConfig.mDocument.mServices.end()) {
      UpdateLocalBalancer(link.mLocal, settings->second.mVmGroup, aVms);
    }
  }
}

} // namespace vanillascale
