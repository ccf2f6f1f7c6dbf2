#include "ProxyIntents.h"

#include "Duties.h"
#include "IntentWriter.h"

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Interval between repeats of an intent request that was not answered. */
constexpr Duration kIntentRetryInterval = milliseconds(200);
/** Interval between queries for a key's answer. */
constexpr Duration kCachedAnswerRetryInterval = milliseconds(100);
/** Time after which the revocation of an abandoned intent is given up. */
constexpr Duration kAbandonedIntentTimeout = seconds(30);

/** Returns the member that writes the intents of a key's shard. */
NodeId
FindIntentWriter(const ProxyState& aState,
                 const ProxyContext& aContext,
                 const RequestKey& aKey)
{
  std::string duty = IntentDuty(IntentStream(aState.mEnvironment, aKey));
  return DutyOwner(aContext.mMembers, duty);
}

void
SendIntentRequest(const ProxyState& aState,
                  const ProxyContext& aContext,
                  const NodeId& aWriter,
                  const RequestKey& aKey,
                  RequestId aRequest,
                  std::uint64_t aFingerprint,
                  bool aIsRevocation)
{
  IntentRequest message;
  message.mKey = aKey;
  message.mOwner = { aState.mSelf, aState.mIncarnation, aRequest };
  message.mFingerprint = aFingerprint;
  message.mIsRevocation = aIsRevocation;
  aContext.mEffects.push_back(SendToPeer{ aWriter, std::move(message) });
}

/** Sends a request's intent, or with aIsRevocation its revocation, to the
 * writer of the key's shard. Records where a previous message went to another
 * writer, which may have written the intent. */
void
SendToIntentWriter(const ProxyState& aState,
                   const ProxyContext& aContext,
                   ProxyRequest& aRequest,
                   bool aIsRevocation)
{
  NodeId writer = FindIntentWriter(aState, aContext, aRequest.mKey);
  bool isOtherWriter =
    aRequest.mIsIntentRequested && aRequest.mQueriedNode != writer;
  aRequest.mHasMultipleIntentWriters =
    aRequest.mHasMultipleIntentWriters || isOtherWriter;
  aRequest.mIsIntentRequested = true;
  aRequest.mQueriedNode = writer;
  aRequest.mQueriedAt = aContext.mNow;
  SendIntentRequest(aState,
                    aContext,
                    writer,
                    aRequest.mKey,
                    aRequest.mPeerId,
                    aRequest.mFingerprint,
                    aIsRevocation);
}

} // namespace

void
RequestIntent(ProxyState& aState,
              const ProxyContext& aContext,
              ProxyRequest& aRequest)
{
  aRequest.mStage = RequestStage::AwaitingIntent;
  aRequest.mStageStartedAt = aContext.mNow;
  aState.mRunningKeys.emplace(aRequest.mKey, aRequest.mId);
  SendToIntentWriter(aState, aContext, aRequest, false);
}

void
RevokeIntent(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest,
             const Verdict& aVerdict)
{
  aRequest.mStage = RequestStage::RevokingIntent;
  aRequest.mStageStartedAt = aContext.mNow;
  aRequest.mPendingVerdict = aVerdict;
  SendToIntentWriter(aState, aContext, aRequest, true);
}

void
AbandonIntent(ProxyState& aState,
              const ProxyContext& aContext,
              const ProxyRequest& aRequest)
{
  AbandonedIntent abandoned;
  abandoned.mKey = aRequest.mKey;
  abandoned.mNextRequestAt = aContext.mNow;
  abandoned.mGiveUpAt = aContext.mNow + kAbandonedIntentTimeout;
  aState.mAbandonedIntents.emplace(aRequest.mPeerId, std::move(abandoned));
}

void
QueryCachedAnswer(const ProxyContext& aContext, ProxyRequest& aRequest)
{
  aRequest.mStage = RequestStage::AwaitingCachedAnswer;
  aRequest.mQueriedNode = aRequest.mKeyOwner.mProxy;
  aRequest.mQueriedAt = aContext.mNow;
  aContext.mEffects.push_back(
    SendToPeer{ aRequest.mQueriedNode,
                CachedAnswerQuery{ aRequest.mPeerId, aRequest.mKey } });
}

void
IntentTick(ProxyState& aState, const ProxyContext& aContext)
{
  for (auto& [id, request] : aState.mRequests) {
    Duration age = aContext.mNow - request.mQueriedAt;
    bool awaitsWriter = request.mStage == RequestStage::AwaitingIntent ||
                        request.mStage == RequestStage::RevokingIntent;
    if (awaitsWriter && age >= kIntentRetryInterval) {
      bool isRevocation = request.mStage == RequestStage::RevokingIntent;
      SendToIntentWriter(aState, aContext, request, isRevocation);
    }
    bool awaitsCachedAnswer =
      request.mStage == RequestStage::AwaitingCachedAnswer;
    if (awaitsCachedAnswer && age >= kCachedAnswerRetryInterval) {
      QueryCachedAnswer(aContext, request);
    }
  }
  for (auto it = aState.mAbandonedIntents.begin();
       it != aState.mAbandonedIntents.end();) {
    AbandonedIntent& abandoned = it->second;
    if (aContext.mNow >= abandoned.mGiveUpAt) {
      it = aState.mAbandonedIntents.erase(it);
      continue;
    }
    if (aContext.mNow >= abandoned.mNextRequestAt) {
      abandoned.mNextRequestAt = aContext.mNow + kIntentRetryInterval;
      NodeId writer = FindIntentWriter(aState, aContext, abandoned.mKey);
      SendIntentRequest(
        aState, aContext, writer, abandoned.mKey, it->first, 0, true);
    }
    ++it;
  }
}

} // namespace vanillascale
