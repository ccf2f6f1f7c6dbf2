#include "TargetClient.h"

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

/** A first packet that is lost is sent again only after a second; another
 * target is there sooner. Round trips between zones take a few ms. */
constexpr Duration kConnectTimeout = milliseconds(120);
/** With 48 proxies, 288 of the 330 connections that the smallest target has. */
constexpr std::size_t kKeptPerTarget = 6;
/** Shorter than the idle times that targets grant, and than the time in which
 * a path that has gone silent stays unnoticed. */
constexpr Duration kKeepTime = milliseconds(1500);
/** The largest answer. */
constexpr std::size_t kMaxAnswerBytes = 16UL * 1024 * 1024;
/** All answers that are being received: a third of the memory of the smallest
 * machines. */
constexpr std::size_t kMaxReceivedBytes = 48UL * 1024 * 1024;

TargetOutcome
OutcomeOf(ExchangeEnd aEnd)
{
  switch (aEnd) {
    case ExchangeEnd::ConnectFailed:
      return TargetOutcome::ConnectFailed;
    case ExchangeEnd::TimedOut:
      return TargetOutcome::TimedOut;
    case ExchangeEnd::Cancelled:
      return TargetOutcome::Cancelled;
    case ExchangeEnd::Complete:
    case ExchangeEnd::Broken:
      return TargetOutcome::Broken;
  }
  return TargetOutcome::Broken;
}

/** Returns what is known by an answer that may belong to another request. */
TargetResult
WithoutAttribution(TargetResult aResult)
{
  aResult.mMayHaveRun = true;
  aResult.mStatements.reset();
  if (aResult.mOutcome == TargetOutcome::Answered ||
      aResult.mOutcome == TargetOutcome::ServerError) {
    aResult.mOutcome = TargetOutcome::Broken;
    aResult.mAnswer.reset();
  }
  return aResult;
}

} // namespace

TargetClient::TargetClient(boost::asio::io_context& aLoop,
                           const TargetDialect& aDialect,
                           std::shared_ptr<ByteBudget> aMemory)
  : mLoop(aLoop)
  , mDialect(aDialect)
  , mByteBudget(std::make_shared<std::size_t>(kMaxReceivedBytes))
  , mMemory(std::move(aMemory))
{
}

std::unique_ptr<TargetClient>
TargetClient::Make(boost::asio::io_context& aLoop,
                   const TargetDialect& aDialect,
                   std::shared_ptr<ByteBudget> aMemory)
{
  return std::unique_ptr<TargetClient>(
    new TargetClient(aLoop, aDialect, std::move(aMemory)));
}

ReusableSocket
TargetClient::Take(const TargetId& aTarget)
{
  auto it = mKept.find(aTarget);
  if (it == mKept.end()) {
    return nullptr;
  }
  auto oldest = SteadyClock::now() - kKeepTime;
  while (!it->second.empty()) {
    Kept kept = std::move(it->second.back());
    it->second.pop_back();
    if (kept.mSince > oldest && IsFitForReuse(*kept.mSocket)) {
      return std::move(kept.mSocket);
    }
  }
  return nullptr;
}

void
TargetClient::Send(const TargetSend& aSend, Callback aCallback)
{
  auto endpoint = ParseEndpoint(AddressOf(aSend.mTarget));
  ExchangeRequest request;
  request.mTo = endpoint.value_or(Endpoint{ "0.0.0.0", 1 });
  request.mBytes = SerializeHead(aSend.mMessage);
  request.mBody = aSend.mMessage.mSharedBody;
  if (!request.mBody) {
    request.mBytes += aSend.mMessage.mBody;
  }
  request.mIsToHead = aSend.mMessage.mMethod == "HEAD";
  request.mConnectTimeout = std::min(kConnectTimeout, aSend.mTimeout);
  request.mTimeout = aSend.mTimeout;
  request.mLimits.mBodyBytes = kMaxAnswerBytes;
  request.mByteBudget = mByteBudget;
  request.mMemory = mMemory;
  request.mAccepts =
    [this, name = aSend.mRequestName](const HttpResponse& aResponse) {
      return IsAnswerTo(mDialect, name, aResponse);
    };
  ReusableSocket socket = aSend.mIsIdempotent ? Take(aSend.mTarget) : nullptr;
  bool mustNameRequest = socket && !aSend.mRequestName.empty();
  mConnects += socket ? 0 : 1;
  SendKey key(aSend.mRequest, aSend.mIsHedge);
  mRunning[key] = HttpExchange::Start(
    mLoop,
    std::move(request),
    std::move(socket),
    [this,
     target = aSend.mTarget,
     key,
     mustNameRequest,
     callback = std::move(aCallback)](ExchangeResult aResult) {
      Finish(target, key, mustNameRequest, std::move(aResult), callback);
    });
}

void
TargetClient::Finish(const TargetId& aTarget,
                     const SendKey& aSend,
                     bool aMustNameRequest,
                     ExchangeResult aResult,
                     const Callback& aCallback)
{
  mRunning.erase(aSend);
  if (aResult.mEnd != ExchangeEnd::Complete) {
    TargetResult result;
    result.mOutcome = OutcomeOf(aResult.mEnd);
    aCallback(std::move(result));
    return;
  }
  // An answer without an id may be a late one to an earlier request on the
  // connection. The answer proper may then still come.
  bool isUnattributed = aMustNameRequest && !mDialect.mRequestId.empty() &&
                        !NamesRequest(mDialect, aResult.mResponse);
  auto& kept = mKept[aTarget];
  if (aResult.mSocket && !isUnattributed && kept.size() < kKeptPerTarget) {
    kept.push_back({ std::move(aResult.mSocket), SteadyClock::now() });
  }
  TargetResult result = InterpretAnswer(mDialect, std::move(aResult.mResponse));
  aCallback(isUnattributed ? WithoutAttribution(std::move(result))
                           : std::move(result));
}

void
TargetClient::Cancel(RequestId aRequest, bool aIsHedge)
{
  auto it = mRunning.find({ aRequest, aIsHedge });
  if (it != mRunning.end()) {
    it->second->Cancel();
  }
}

void
TargetClient::CloseIdle()
{
  auto oldest = SteadyClock::now() - kKeepTime;
  for (auto it = mKept.begin(); it != mKept.end();) {
    it->second.remove_if(
      [&](const Kept& aKept) { return aKept.mSince <= oldest; });
    it = it->second.empty() ? mKept.erase(it) : std::next(it);
  }
}

std::size_t
TargetClient::CountKept() const
{
  std::size_t n = 0;
  for (const auto& [target, kept] : mKept) {
    n += kept.size();
  }
  return n;
}

} // namespace vanillascale
