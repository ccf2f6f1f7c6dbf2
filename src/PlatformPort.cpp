#include "PlatformPort.h"

namespace vanillascale {

namespace {

/** The platform is one zone away at most; its listen queue may be full. */
constexpr Duration kConnectTimeout = std::chrono::milliseconds(800);

} // namespace

StoreConnection::StoreConnection(boost::asio::io_context& aLoop,
                                 const Endpoint& aPlatform,
                                 ReusePolicy aPolicy)
  : mLoop(aLoop)
  , mPlatform(aPlatform)
  , mPolicy(aPolicy)
{
}

std::shared_ptr<StoreConnection>
StoreConnection::Make(boost::asio::io_context& aLoop,
                      const Endpoint& aPlatform,
                      ReusePolicy aPolicy)
{
  return std::shared_ptr<StoreConnection>(
    new StoreConnection(aLoop, aPlatform, aPolicy));
}

void
StoreConnection::Call(StoreCall aCall, Callback aCallback)
{
  mWaiting.emplace_back(std::move(aCall), std::move(aCallback));
  if (!mIsBusy) {
    StartNext();
  }
}

void
StoreConnection::StartNext()
{
  if (mWaiting.empty()) {
    return;
  }
  mIsBusy = true;
  if (mPolicy == ReusePolicy::IfFit && mSocket && !IsFitForReuse(*mSocket)) {
    mSocket.reset();
  }
  auto [call, callback] = std::move(mWaiting.front());
  mWaiting.erase(mWaiting.begin());
  HttpRequest message;
  message.mMethod = call.mMethod;
  message.mTarget = call.mTarget;
  message.mBody = std::move(call.mBody);
  message.mHeaders = std::move(call.mHeaders);
  message.mHeaders.push_back(
    { "Host", mPlatform.mHost + ":" + std::to_string(mPlatform.mPort) });
  if (!message.mBody.empty()) {
    message.mHeaders.push_back({ "Content-Type", "application/octet-stream" });
  }
  ExchangeRequest request;
  request.mTo = mPlatform;
  request.mBytes = Serialize(message);
  request.mConnectTimeout = std::min(kConnectTimeout, call.mTimeout);
  request.mTimeout = call.mTimeout;
  HttpExchange::Start(
    mLoop,
    std::move(request),
    std::move(mSocket),
    [self = shared_from_this(),
     callback = std::move(callback)](ExchangeResult aResult) {
      self->mIsBusy = false;
      self->mSocket = std::move(aResult.mSocket);
      self->StartNext();
      callback({ aResult.mEnd, std::move(aResult.mResponse) });
    });
}

BlockingConnection::BlockingConnection(const Endpoint& aServer,
                                       ReusePolicy aPolicy)
  : mConnection(StoreConnection::Make(mLoop, aServer, aPolicy))
{
}

std::unique_ptr<BlockingConnection>
BlockingConnection::Make(const Endpoint& aServer, ReusePolicy aPolicy)
{
  return std::unique_ptr<BlockingConnection>(
    new BlockingConnection(aServer, aPolicy));
}

StoreReply
BlockingConnection::Call(StoreCall aCall)
{
  StoreReply reply;
  mConnection->Call(std::move(aCall),
                    [&](StoreReply aReply) { reply = std::move(aReply); });
  mLoop.restart();
  mLoop.run();
  return reply;
}

} // namespace vanillascale
