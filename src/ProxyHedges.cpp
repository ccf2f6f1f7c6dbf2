#include "ProxyHedges.h"

#include "ProxyCompletion.h"
#include "ProxyLeases.h"
#include "ProxyLog.h"

#include <utility>

namespace vanillascale {

namespace {

/** Returns the lease of a send that is not the one in the request's own
 * members. */
void
ReturnSend(ProxyState& aState,
           const ProxyContext& aContext,
           const ServiceName& aService,
           const HedgeSend& aSend,
           TargetOutcome aOutcome,
           const std::optional<TargetStatements>& aStatements)
{
  ProxyRequest send;
  send.mService = aService;
  send.mLease = aSend.mLease;
  send.mTarget = aSend.mTarget;
  send.mSentAt = aSend.mSentAt;
  ReturnLease(aState, aContext, send, aOutcome, aStatements);
}

/** Records what a failed send means for the verdict of its request. */
void
RecordFailedSend(ProxyRequest& aRequest, const TargetRequestEnded& aEnded)
{
  switch (aEnded.mOutcome) {
    case TargetOutcome::ServerError:
      aRequest.mServerErrorAnswer = aEnded.mAnswer;
      aRequest.mMayHaveRun = true;
      return;
    case TargetOutcome::ConnectFailed:
      --aRequest.mSends;
      ++aRequest.mFailedConnects;
      return;
    case TargetOutcome::Shed:
    case TargetOutcome::Draining:
    case TargetOutcome::Unused:
      aRequest.mMayHaveRun = aRequest.mMayHaveRun || aEnded.mMayHaveRun;
      return;
    case TargetOutcome::Answered:
    case TargetOutcome::Broken:
    case TargetOutcome::TimedOut:
    case TargetOutcome::Cancelled:
      aRequest.mMayHaveRun = true;
      return;
  }
}

/** Exchanges the request's two sends. Precondition: it has two. */
void
SwapSends(ProxyRequest& aRequest)
{
  HedgeSend& second = *aRequest.mSecondSend;
  std::swap(aRequest.mLease, second.mLease);
  std::swap(aRequest.mTarget, second.mTarget);
  std::swap(aRequest.mSentAt, second.mSentAt);
  std::swap(aRequest.mIsHedge, second.mIsHedge);
}

/** Returns whether a request may be sent to the target of an offer, while its
 * first send is in progress. */
bool
IsOfferUsable(const ProxyState& aState,
              const ProxyContext& aContext,
              const ProxyRequest& aRequest,
              const HedgeOffer& aOffer)
{
  bool isFirstInProgress = aRequest.mStage == RequestStage::Sent &&
                           aRequest.mLease == aOffer.mFirstLease &&
                           !aRequest.mIsCallerGone &&
                           aContext.mNow < aRequest.mDeadlineAt;
  bool isAllowed = aRequest.mIsIdempotent && !aRequest.mHedgedAt &&
                   aRequest.mSends < aRequest.mAttempts &&
                   aRequest.mTarget != aOffer.mTarget;
  return isFirstInProgress && isAllowed &&
         !IsTargetDeclined(aState,
                           aContext,
                           aRequest.mService,
                           aOffer.mTarget,
                           aOffer.mTargetListEnd);
}

} // namespace

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const HedgeOffer& aOffer)
{
  ProxyRequest* request = FindRequestOfPeer(aState, aOffer.mRequest);
  if (request) {
    RecordSchedulerMessage(aState, aContext, request->mService, aFrom);
  }
  if (!request || !IsOfferUsable(aState, aContext, *request, aOffer)) {
    ++aState.mCounters.mHedgesDeclined;
    ReturnUnusedLease(aContext,
                      aFrom,
                      request ? request->mService : ServiceName(),
                      aOffer.mLease);
    return;
  }
  request->mSecondSend =
    HedgeSend{ aOffer.mLease, aOffer.mTarget, aContext.mNow, true };
  request->mHedgedAt = aContext.mNow;
  ++request->mSends;
  ++aState.mCounters.mSends;
  ++aState.mCounters.mHedges;
  RecordSent(aState.mSchedulerLinks.at(request->mService).mLocalChoice,
             aOffer.mTarget);
  aContext.mEffects.push_back(SendToTarget{ request->mId,
                                            aOffer.mTarget,
                                            request->mDeadlineAt,
                                            request->mIsIdempotent,
                                            request->mAccountName,
                                            true });
}

bool
EndSecondSend(ProxyState& aState,
              const ProxyContext& aContext,
              const TargetRequestEnded& aEnded)
{
  auto cancelled =
    aState.mCancelledSends.find({ aEnded.mRequest, aEnded.mIsHedge });
  if (cancelled != aState.mCancelledSends.end()) {
    CancelledSend send = std::move(cancelled->second);
    aState.mCancelledSends.erase(cancelled);
    // Also if the target answered before the cancellation reached it: an answer
    // that nobody waited for is no evidence.
    ReturnSend(aState,
               aContext,
               send.mService,
               send.mSend,
               TargetOutcome::Cancelled,
               std::nullopt);
    return true;
  }
  ProxyRequest* request = FindRequest(aState, aEnded.mRequest);
  bool isSecond = request && request->mSecondSend &&
                  request->mSecondSend->mIsHedge == aEnded.mIsHedge;
  if (!isSecond) {
    return false;
  }
  if (aEnded.mOutcome == TargetOutcome::Answered) {
    SwapSends(*request);
    return false;
  }
  HedgeSend failed = std::move(*request->mSecondSend);
  request->mSecondSend.reset();
  RecordFailedSend(*request, aEnded);
  ReturnSend(aState,
             aContext,
             request->mService,
             failed,
             aEnded.mOutcome,
             aEnded.mStatements);
  return true;
}

bool
ContinueWithSecondSend(const ProxyContext& aContext,
                       ProxyRequest& aRequest,
                       const TargetRequestEnded& aEnded)
{
  bool hasFailed = aEnded.mOutcome != TargetOutcome::Answered &&
                   aEnded.mOutcome != TargetOutcome::TimedOut &&
                   aEnded.mOutcome != TargetOutcome::Cancelled;
  if (!aRequest.mSecondSend || !hasFailed ||
      aContext.mNow >= aRequest.mDeadlineAt) {
    return false;
  }
  RecordFailedSend(aRequest, aEnded);
  SwapSends(aRequest);
  aRequest.mSecondSend.reset();
  return true;
}

void
CancelSecondSend(const ProxyContext& aContext, const ProxyRequest& aRequest)
{
  if (aRequest.mSecondSend) {
    aContext.mEffects.push_back(
      CancelAtTarget{ aRequest.mId, aRequest.mSecondSend->mIsHedge });
  }
}

void
FinishHedge(ProxyState& aState,
            const ProxyContext& aContext,
            ProxyRequest& aRequest,
            RunOutcome aOutcome)
{
  if (!aRequest.mHedgedAt) {
    return;
  }
  bool isAnswered = aOutcome == RunOutcome::Ran;
  bool hasWon = isAnswered && aRequest.mIsHedge;
  ++(hasWon ? aState.mCounters.mHedgesWon : aState.mCounters.mHedgesWasted);
  const char* answeredBy = hasWon ? "hedge" : "first";
  LogHedgeEnd(aContext,
              aRequest,
              isAnswered ? answeredBy : "none",
              aContext.mNow - *aRequest.mHedgedAt);
  if (aRequest.mSecondSend) {
    CancelSecondSend(aContext, aRequest);
    HedgeSend send = std::move(*aRequest.mSecondSend);
    aRequest.mSecondSend.reset();
    std::pair<RequestId, bool> key(aRequest.mId, send.mIsHedge);
    aState.mCancelledSends[key] =
      CancelledSend{ aRequest.mService, std::move(send), aRequest.mDeadlineAt };
  }
}

std::vector<HeldLease>
LeasesOfSecondSends(const ProxyState& aState,
                    const ProxyContext& aContext,
                    const ServiceName* aService)
{
  std::vector<HeldLease> leases;
  auto add = [&](const ServiceName& aOwner,
                 const HedgeSend& aSend,
                 TimePoint aDeadlineAt) {
    if (!aService || aOwner == *aService) {
      leases.push_back(
        { aSend.mLease, aSend.mTarget, false, aDeadlineAt - aContext.mNow });
    }
  };
  for (const auto& [id, request] : aState.mRequests) {
    if (request.mSecondSend) {
      add(request.mService, *request.mSecondSend, request.mDeadlineAt);
    }
  }
  for (const auto& [key, send] : aState.mCancelledSends) {
    add(send.mService, send.mSend, send.mDeadlineAt);
  }
  return leases;
}

} // namespace vanillascale
