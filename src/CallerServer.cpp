#include "CallerServer.h"

#include "ProxyVerdicts.h"

#include <boost/asio/post.hpp>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

constexpr Duration kCancelTimeout = milliseconds(500);

WallTime
WallNow()
{
  return std::chrono::time_point_cast<milliseconds>(
    std::chrono::system_clock::now());
}

Verdict
VerdictFor(HttpProgress aProgress)
{
  switch (aProgress) {
    case HttpProgress::HeadTooLarge:
      return { kStatusHeadTooLarge, RunOutcome::NotRun, kReasonHeadTooLarge };
    case HttpProgress::BodyTooLarge:
      return { kStatusPayloadTooLarge,
               RunOutcome::NotRun,
               kReasonBodyTooLarge };
    case HttpProgress::Incomplete:
      return { kStatusRequestTimeout,
               RunOutcome::NotRun,
               kReasonRequestTooSlow };
    case HttpProgress::NoRoom:
      return { kStatusUnavailable, RunOutcome::NotRun, kReasonNoMemory };
    case HttpProgress::Malformed:
    case HttpProgress::Complete:
      return { kStatusBadRequest, RunOutcome::NotRun, kReasonMalformedRequest };
  }
  return { kStatusBadRequest, RunOutcome::NotRun, kReasonMalformedRequest };
}

} // namespace

CallerServer::CallerServer(boost::asio::io_context& aLoop,
                           const PlatformAdapter& aAdapter,
                           CallerHooks aHooks,
                           const std::shared_ptr<ByteBudget>& aBudget)
  : mLoop(aLoop)
  , mAdapter(aAdapter)
  , mHooks(std::move(aHooks))
  , mTargets(TargetClient::Make(aLoop, aAdapter.mTargets, aBudget))
{
}

tl::expected<std::unique_ptr<CallerServer>, std::string>
CallerServer::Make(boost::asio::io_context& aLoop,
                   const Settings& aSettings,
                   const PlatformAdapter& aAdapter,
                   CallerHooks aHooks,
                   std::shared_ptr<ByteBudget> aBudget)
{
  std::unique_ptr<CallerServer> server(
    new CallerServer(aLoop, aAdapter, std::move(aHooks), aBudget));
  server->mLimits.mMessage.mBodyBytes = aSettings.mMaxBodyBytes;
  server->mLimits.mConnections =
    CallerConnections(aSettings.mMaxCallers, aSettings.mMaxFds);
  server->mLimits.mReceiving = { aSettings.mMinReceiveRate,
                                 aSettings.mStallTime };
  server->mLimits.mRoomTime = aSettings.mMemoryWait;
  server->mLimits.mSending = { aSettings.mMinSendRate, aSettings.mStallTime };
  auto http = HttpServer::Make(aLoop,
                               aSettings.mListen,
                               server->mLimits,
                               server->ServerHooks(),
                               std::move(aBudget));
  if (!http) {
    return tl::make_unexpected(http.error());
  }
  server->mServer = std::move(*http);
  return server;
}

HttpServerHooks
CallerServer::ServerHooks()
{
  HttpServerHooks hooks;
  hooks.mReceive = [this](RequestId aId,
                          std::shared_ptr<const HttpRequest> aMessage) {
    Receive(aId, std::move(aMessage));
  };
  hooks.mGone = [this](RequestId aId) {
    mHooks.mPost(CallerDisconnected{ aId });
  };
  hooks.mRefuse = [this](HttpProgress aProgress) { return Refuse(aProgress); };
  return hooks;
}

std::string
CallerServer::NameSend(RequestId aId, bool aIsHedge) const
{
  return mHooks.mNameRequest(aId) + (aIsHedge ? "/hedge" : "");
}

void
CallerServer::Receive(RequestId aId,
                      std::shared_ptr<const HttpRequest> aMessage)
{
  CallerRequest event =
    DescribeRequest(mAdapter.mCallers, aId, *aMessage, WallNow());
  mOpen[aId] = { std::move(aMessage), event.mName, {} };
  mHooks.mPost(std::move(event));
}

HttpResponse
CallerServer::Refuse(HttpProgress aProgress) const
{
  AnswerCaller answer;
  answer.mVerdict = VerdictFor(aProgress);
  HttpResponse response = ComposeAnswer(mAdapter.mCallers, answer, "");
  response.mKeepsAlive = false;
  return response;
}

void
CallerServer::Run(const SendToTarget& aEffect)
{
  RequestId id = aEffect.mRequest;
  bool isHedge = aEffect.mIsHedge;
  Duration left = mHooks.mTimeUntil(aEffect.mDeadlineAt);
  auto it = mOpen.find(id);
  // The process may have been paused since the core decided.
  if (it == mOpen.end() || left <= Duration(0)) {
    boost::asio::post(mLoop, [this, id, isHedge] {
      mHooks.mPost(TargetRequestEnded{
        id, TargetOutcome::Unused, nullptr, std::nullopt, false, isHedge });
    });
    return;
  }
  it->second.mTargets[isHedge ? 1 : 0] = aEffect.mTarget;
  TargetSend send;
  send.mRequest = id;
  send.mIsHedge = isHedge;
  send.mTarget = aEffect.mTarget;
  send.mRequestName = it->second.mName;
  send.mTimeout = left;
  send.mIsIdempotent = aEffect.mIsIdempotent;
  // The request's body is sent as it is held here, without a copy.
  send.mMessage = ForwardRequest(
    mAdapter.mCallers,
    mAdapter.mTargets,
    *it->second.mMessage,
    { aEffect.mTarget, NameSend(id, isHedge), left, aEffect.mAccount });
  send.mMessage.mSharedBody = std::shared_ptr<const std::string>(
    it->second.mMessage, &it->second.mMessage->mBody);
  mTargets->Send(send, [this, id, isHedge](const TargetResult& aResult) {
    mHooks.mPost(TargetRequestEnded{ id,
                                     aResult.mOutcome,
                                     aResult.mAnswer,
                                     aResult.mStatements,
                                     aResult.mMayHaveRun,
                                     isHedge });
  });
}

void
CallerServer::Run(const CancelAtTarget& aEffect)
{
  auto it = mOpen.find(aEffect.mRequest);
  if (it == mOpen.end()) {
    return;
  }
  const TargetId& target = it->second.mTargets[aEffect.mIsHedge ? 1 : 0];
  if (target.mValue.empty()) {
    return;
  }
  if (mAdapter.mTargets.mCancelsByClose) {
    mTargets->Cancel(aEffect.mRequest, aEffect.mIsHedge);
    return;
  }
  auto endpoint = ParseEndpoint(AddressOf(target));
  if (!endpoint) {
    return;
  }
  HttpRequest message;
  message.mMethod = "POST";
  message.mTarget =
    "/cancel?request=" + NameSend(aEffect.mRequest, aEffect.mIsHedge);
  message.mHeaders = { { "Host", AddressOf(target) } };
  message.mKeepsAlive = false;
  ExchangeRequest request;
  request.mTo = *endpoint;
  request.mBytes = Serialize(message);
  request.mConnectTimeout = kCancelTimeout;
  request.mTimeout = kCancelTimeout;
  // Whether it arrives shows in how the request itself ends.
  HttpExchange::Start(
    mLoop, std::move(request), nullptr, [](const ExchangeResult&) {});
}

void
CallerServer::Run(AnswerCaller& aEffect)
{
  auto it = mOpen.find(aEffect.mRequest);
  if (it == mOpen.end()) {
    return;
  }
  std::string name = std::move(it->second.mName);
  mOpen.erase(it);
  mServer->Answer(aEffect.mRequest,
                  ComposeAnswer(mAdapter.mCallers, aEffect, name));
}

void
CallerServer::SetLimits(const CallerLimits& aLimits)
{
  mLimits.mMessage = { aLimits.mHeadBytes, aLimits.mBodyBytes };
  mLimits.mRequestTime = aLimits.mRequestTime;
  mLimits.mIdleTime = aLimits.mIdleTime;
  mServer->SetLimits(mLimits);
}

} // namespace vanillascale
