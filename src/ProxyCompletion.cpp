#include "ProxyCompletion.h"

#include "PeerRequestId.h"
#include "ProxyHedges.h"
#include "ProxyIntents.h"
#include "ProxyLog.h"
#include "ProxyVerdicts.h"

namespace vanillascale {

ProxyRequest*
FindRequest(ProxyState& aState, RequestId aId)
{
  auto it = aState.mRequests.find(aId);
  return it == aState.mRequests.end() ? nullptr : &it->second;
}

ProxyRequest*
FindRequestOfPeer(ProxyState& aState, RequestId aPeerId)
{
  return FindRequest(aState, FromPeerRequestId(aState.mIncarnation, aPeerId));
}

void
CountOutcome(ProxyState& aState, RunOutcome aOutcome)
{
  switch (aOutcome) {
    case RunOutcome::NotRun:
      ++aState.mCounters.mNotRun;
      return;
    case RunOutcome::Ran:
      ++aState.mCounters.mAnswered;
      return;
    case RunOutcome::Unknown:
      ++aState.mCounters.mUnknown;
      return;
  }
}

void
FinishRequest(ProxyState& aState,
              const ProxyContext& aContext,
              RequestId aId,
              const Verdict& aVerdict,
              std::shared_ptr<const Answer> aAnswer)
{
  auto it = aState.mRequests.find(aId);
  FinishHedge(aState, aContext, it->second, aVerdict.mOutcome);
  const ProxyRequest& request = it->second;
  auto running = aState.mRunningKeys.find(request.mKey);
  if (running != aState.mRunningKeys.end() && running->second == aId) {
    aState.mRunningKeys.erase(running);
  }
  if (!request.mIsCallerGone) {
    CountOutcome(aState, aVerdict.mOutcome);
    RecordLatency(
      aState.mCounters.mDurations[static_cast<std::size_t>(aVerdict.mOutcome)],
      aContext.mNow - request.mReceivedAt);
  }
  LogRequestEnd(aContext, request, aVerdict, aAnswer.get());
  // Also done for a caller that has disconnected: the answer releases the
  // resources that the runtime holds for the request.
  aContext.mEffects.push_back(
    AnswerCaller{ aId, aVerdict, std::move(aAnswer) });
  aState.mRequests.erase(it);
}

void
FinishUnserved(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest,
               Verdict aVerdict)
{
  if (aRequest.mMayHaveRun) {
    if (aRequest.mServerErrorAnswer) {
      FinishRequest(aState,
                    aContext,
                    aRequest.mId,
                    { aRequest.mServerErrorAnswer->mStatus,
                      RunOutcome::Unknown,
                      kReasonTargetError },
                    aRequest.mServerErrorAnswer);
      return;
    }
    FinishRequest(
      aState,
      aContext,
      aRequest.mId,
      { kStatusBadGateway, RunOutcome::Unknown, kReasonTargetBroke });
    return;
  }
  if (!aRequest.mNeedsIntent) {
    FinishRequest(aState, aContext, aRequest.mId, aVerdict);
    return;
  }
  if (aRequest.mIsIntentRequested && aContext.mNow < aRequest.mDeadlineAt) {
    RevokeIntent(aState, aContext, aRequest, aVerdict);
    return;
  }
  if (aRequest.mIsIntentRequested) {
    AbandonIntent(aState, aContext, aRequest);
    aVerdict.mOutcome = RunOutcome::Unknown;
  } else if (!aRequest.mIsFirstAttempt) {
    // An earlier send of the key may have run, and the log was not consulted.
    aVerdict.mOutcome = RunOutcome::Unknown;
  }
  FinishRequest(aState, aContext, aRequest.mId, aVerdict);
}

void
FinishAnswered(ProxyState& aState,
               const ProxyContext& aContext,
               const ProxyRequest& aRequest,
               const std::shared_ptr<const Answer>& aAnswer)
{
  if (!aRequest.mKey.mValue.empty()) {
    CacheAnswer(aState.mAnswerCache, aRequest.mKey, aAnswer);
  }
  FinishRequest(aState,
                aContext,
                aRequest.mId,
                { aAnswer->mStatus, RunOutcome::Ran, kReasonAnswered },
                aAnswer);
}

} // namespace vanillascale
