#include "Proxy.h"

#include "ProxyCompletion.h"
#include "ProxyIntents.h"
#include "ProxyLeases.h"
#include "ProxyVerdicts.h"

/** Handlers for the messages about keyed requests: intent decisions, and
 * queries for cached answers and their replies. */
namespace vanillascale {

namespace {

/** Continues or finishes a request that waited for its intent. */
struct IntentDecisionHandler
{
  ProxyState& mState;
  const ProxyContext& mContext;
  ProxyRequest& mRequest;

  void Handle(const IntentDecision& aDecision)
  {
    switch (aDecision.mState) {
      case IntentState::Won:
        mState.mRunningKeys[mRequest.mKey] = mRequest.mId;
        RequestLease(mState, mContext, mRequest);
        return;
      case IntentState::Lost:
        mRequest.mKeyOwner = aDecision.mWinner;
        mRequest.mIsIntentRequested = false;
        QueryCachedAnswer(mContext, mRequest);
        return;
      case IntentState::KeyReused:
        FinishRequest(
          mState,
          mContext,
          mRequest.mId,
          { kStatusUnprocessable, RunOutcome::NotRun, kReasonKeyReused });
        return;
      case IntentState::TooOld:
        FinishRequest(
          mState,
          mContext,
          mRequest.mId,
          { kStatusConflict, RunOutcome::Unknown, kReasonKeyTooOld });
        return;
      case IntentState::LogUnavailable:
        HandleLogUnavailable();
        return;
      case IntentState::Revoked:
        FinishRequest(mState,
                      mContext,
                      mRequest.mId,
                      { kStatusConflict, RunOutcome::NotRun, kReasonKeyEnded });
        return;
    }
  }

  /** Finishes a request whose intent the log refused. Where another writer was
   * sent the intent as well, it may be in the log and is revoked. */
  void HandleLogUnavailable()
  {
    if (mRequest.mHasMultipleIntentWriters) {
      AbandonIntent(mState, mContext, mRequest);
    }
    mRequest.mIsIntentRequested = false;
    FinishUnserved(
      mState,
      mContext,
      mRequest,
      { kStatusUnavailable, RunOutcome::NotRun, kReasonLogUnavailable });
  }
};

} // namespace

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& /*aFrom*/,
             const IntentDecision& aDecision)
{
  if (aDecision.mState == IntentState::Revoked ||
      aDecision.mState == IntentState::Lost) {
    aState.mAbandonedIntents.erase(aDecision.mRequest);
  }
  ProxyRequest* request = FindRequestOfPeer(aState, aDecision.mRequest);
  if (!request) {
    return;
  }
  bool isRevoking = request->mStage == RequestStage::RevokingIntent;
  if (isRevoking && aDecision.mState == IntentState::Revoked) {
    FinishRequest(aState, aContext, request->mId, request->mPendingVerdict);
  } else if (isRevoking && aDecision.mState == IntentState::Lost) {
    // Another send of the key won the key before this intent was revoked.
    FinishRequest(
      aState,
      aContext,
      request->mId,
      { kStatusConflict, RunOutcome::Unknown, kReasonOutcomeNotKnown });
  } else if (request->mStage == RequestStage::AwaitingIntent) {
    IntentDecisionHandler{ aState, aContext, *request }.Handle(aDecision);
  }
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const CachedAnswerQuery& aQuery)
{
  CachedAnswerReply reply;
  reply.mRequest = aQuery.mRequest;
  if (auto cached = FindCachedAnswer(aState.mAnswerCache, aQuery.mKey)) {
    reply.mState = CachedAnswerState::Cached;
    reply.mAnswer = *cached;
  } else if (aState.mRunningKeys.count(aQuery.mKey) > 0) {
    reply.mState = CachedAnswerState::Running;
  }
  aContext.mEffects.push_back(SendToPeer{ aFrom, std::move(reply) });
}

void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const CachedAnswerReply& aReply)
{
  ProxyRequest* request = FindRequestOfPeer(aState, aReply.mRequest);
  bool isExpected = request &&
                    request->mStage == RequestStage::AwaitingCachedAnswer &&
                    request->mQueriedNode == aFrom;
  if (!isExpected || aReply.mState == CachedAnswerState::Running) {
    return;
  }
  if (aReply.mState == CachedAnswerState::Cached) {
    auto answer = std::make_shared<const Answer>(aReply.mAnswer);
    FinishRequest(aState,
                  aContext,
                  request->mId,
                  { answer->mStatus, RunOutcome::Ran, kReasonAnswered },
                  answer);
    return;
  }
  FinishRequest(
    aState,
    aContext,
    request->mId,
    { kStatusConflict, RunOutcome::Unknown, kReasonOutcomeNotKnown });
}

} // namespace vanillascale
