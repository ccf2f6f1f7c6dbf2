#include "ProxyIntents.h"

#include "Duties.h"
#include "IntentWriter.h"

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAskIntentInterval = milliseconds(200);
constexpr Duration kAskKeptInterval = milliseconds(100);
constexpr Duration kAbandonTime = seconds(30);

NodeId
WriterOf(const ProxyState& aState,
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
                  bool aIsKill)
{
  IntentRequest message;
  message.mKey = aKey;
  message.mOwner = { aState.mSelf, aState.mIncarnation, aRequest };
  message.mFingerprint = aFingerprint;
  message.mIsRevocation = aIsKill;
  aContext.mEffects.push_back(SendToPeer{ aWriter, std::move(message) });
}

void
AskWriter(const ProxyState& aState,
          const ProxyContext& aContext,
          ProxyRequest& aRequest,
          bool aIsKill)
{
  NodeId writer = WriterOf(aState, aContext, aRequest.mKey);
  bool isOther = aRequest.mIsIntentAsked && aRequest.mAskedNode != writer;
  aRequest.mIsIntentAskedTwice = aRequest.mIsIntentAskedTwice || isOther;
  aRequest.mIsIntentAsked = true;
  aRequest.mAskedNode = writer;
  aRequest.mAskedAt = aContext.mNow;
  SendIntentRequest(aState,
                    aContext,
                    writer,
                    aRequest.mKey,
                    aRequest.mId,
                    aRequest.mFingerprint,
                    aIsKill);
}

} // namespace

void
AskForIntent(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest)
{
  aRequest.mStage = RequestStage::AwaitingIntent;
  aRequest.mStageSince = aContext.mNow;
  aState.mRunningKeys.emplace(aRequest.mKey, aRequest.mId);
  AskWriter(aState, aContext, aRequest, false);
}

void
EndIntent(ProxyState& aState,
          const ProxyContext& aContext,
          ProxyRequest& aRequest,
          const Verdict& aVerdict)
{
  aRequest.mStage = RequestStage::EndingIntent;
  aRequest.mStageSince = aContext.mNow;
  aRequest.mFinalVerdict = aVerdict;
  AskWriter(aState, aContext, aRequest, true);
}

void
AbandonIntent(ProxyState& aState,
              const ProxyContext& aContext,
              const ProxyRequest& aRequest)
{
  AbandonedIntent abandoned;
  abandoned.mKey = aRequest.mKey;
  abandoned.mNextAskAt = aContext.mNow;
  abandoned.mGiveUpAt = aContext.mNow + kAbandonTime;
  aState.mAbandoned.emplace(aRequest.mId, std::move(abandoned));
}

void
AskForKeptAnswer(const ProxyContext& aContext, ProxyRequest& aRequest)
{
  aRequest.mStage = RequestStage::AwaitingKeptAnswer;
  aRequest.mAskedNode = aRequest.mKeyOwner.mProxy;
  aRequest.mAskedAt = aContext.mNow;
  aContext.mEffects.push_back(SendToPeer{
    aRequest.mAskedNode, CachedAnswerQuery{ aRequest.mId, aRequest.mKey } });
}

void
IntentTick(ProxyState& aState, const ProxyContext& aContext)
{
  for (auto& [id, request] : aState.mRequests) {
    Duration age = aContext.mNow - request.mAskedAt;
    bool awaitsWriter = request.mStage == RequestStage::AwaitingIntent ||
                        request.mStage == RequestStage::EndingIntent;
    if (awaitsWriter && age >= kAskIntentInterval) {
      bool isKill = request.mStage == RequestStage::EndingIntent;
      AskWriter(aState, aContext, request, isKill);
    }
    bool awaitsAnswer = request.mStage == RequestStage::AwaitingKeptAnswer;
    if (awaitsAnswer && age >= kAskKeptInterval) {
      AskForKeptAnswer(aContext, request);
    }
  }
  for (auto it = aState.mAbandoned.begin(); it != aState.mAbandoned.end();) {
    AbandonedIntent& abandoned = it->second;
    if (aContext.mNow >= abandoned.mGiveUpAt) {
      it = aState.mAbandoned.erase(it);
      continue;
    }
    if (aContext.mNow >= abandoned.mNextAskAt) {
      abandoned.mNextAskAt = aContext.mNow + kAskIntentInterval;
      NodeId writer = WriterOf(aState, aContext, abandoned.mKey);
      SendIntentRequest(
        aState, aContext, writer, abandoned.mKey, it->first, 0, true);
    }
    ++it;
  }
}

} // namespace vanillascale
