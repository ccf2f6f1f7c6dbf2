#include "HttpConnection.h"

#include "HttpExchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace vanillascale {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

/** Requests of one connection that are in progress at once. */
constexpr std::size_t kMostPipelined = 8;
/** Bytes behind requests in progress from which on no more is read: the next
 * head is among them, and the rest waits in the kernel. */
constexpr std::size_t kMostReadAhead = kServerReadBytes;
/** How long the end of a closed connection is awaited. */
constexpr Duration kLingerTime = std::chrono::milliseconds(500);
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServerState> aState,
                               tcp::socket aSocket)
  : mState(std::move(aState))
  , mSocket(std::move(aSocket))
  , mTimer(mSocket.get_executor())
  , mCharge(mState->mBudget)
  , mUnreadCharge(mState->mBudget)
{
  ResetParser();
}

void
HttpConnection::Begin()
{
  // The kernel counts a caller that does not read as one that does not answer.
  TuneSocket(mSocket, mState->mLimits.mSending.mStallTime);
  error_code ec;
  mSocket.non_blocking(true, ec);
  mLastUsedAt = SteadyNow();
  CountHeld();
  ArmTimer();
  Read();
}

void
HttpConnection::Answer(RequestId aRequest, HttpResponse aResponse)
{
  for (Exchange& it : mExchanges) {
    if (it.mId == aRequest) {
      it.mIsAnswered = true;
      it.mResponse = std::move(aResponse);
      break;
    }
  }
  mState->mRequests.erase(aRequest);
  FlushAnswers();
}

bool
HttpConnection::IsIdleFor(Duration aTime) const
{
  return mExchanges.empty() && !mIsWriting && !mParser->HasBegun() &&
         mPending.empty() && SteadyNow() - mLastUsedAt >= aTime;
}

std::size_t
HttpConnection::CountRequests() const
{
  return mExchanges.size() + (mIsWriting ? 1 : 0);
}

void
HttpConnection::Close()
{
  if (mIsClosed) {
    return;
  }
  mIsClosed = true;
  EndWait();
  mTimer.cancel();
  error_code ec;
  mSocket.close(ec);
  for (const Exchange& it : mExchanges) {
    if (!it.mIsAnswered && mState->mRequests.erase(it.mId) > 0) {
      mState->mHooks.mGone(it.mId);
    }
  }
  mExchanges.clear();
  mState->mConnections.erase(shared_from_this());
}

void
HttpConnection::ResetParser()
{
  mParser = RequestParser::Make(mState->mLimits.mMessage, mState->mBudget);
  mHeadBytes = 0;
}

void
HttpConnection::Read()
{
  if (mIsReading || mIsClosed || mHasEnd || mWait) {
    return;
  }
  bool hasReadAhead = !MayStartNext() && mPending.size() >= kMostReadAhead;
  if (hasReadAhead && TakeUnreadRoom()) {
    return;
  }
  mUnreadCharge.Set(0);
  mIsReading = true;
  // No memory is held for a connection from which nothing comes.
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](const error_code&) { self->OnReadable(); });
}

void
HttpConnection::OnReadable()
{
  mIsReading = false;
  if (mIsClosed || mWait) {
    return;
  }
  if (!mIsLast && !mIsRefused && !HasRoom()) {
    AwaitRoom();
    return;
  }
  error_code ec;
  std::size_t n = mSocket.read_some(boost::asio::buffer(mState->mScratch), ec);
  if (ec == boost::asio::error::would_block) {
    Read();
    return;
  }
  OnRead(ec, n);
}

void
HttpConnection::OnRead(const error_code& aError, std::size_t aCount)
{
  if (aError) {
    // A caller that stops sending has left, unless it only awaits the rest
    // of an answer that is being written.
    mHasEnd = true;
    if (!mIsWriting || !mExchanges.empty() ||
        aError != boost::asio::error::eof) {
      Close();
    }
    return;
  }
  if (mIsLast || mIsRefused) {
    // What comes behind a last request is dropped, to be seen as not read.
    Read();
    return;
  }
  mIsUsed = true;
  mPending.append(mState->mScratch.data(), aCount);
  mReceived.Add(SteadyNow(), aCount);
  Parse();
  Read();
}

bool
HttpConnection::MayStartNext() const
{
  return !mIsLast && !mIsRefused && !mHasHeld &&
         mExchanges.size() < kMostPipelined;
}

void
HttpConnection::Parse()
{
  while (!mIsClosed && !mPending.empty() && MayStartNext() && !mWait) {
    if (!mParser->HasBegun()) {
      mBeganAt = SteadyNow();
      mReceived.Begin(mBeganAt);
    }
    bool wasHeadDone = mParser->IsHeadDone();
    std::size_t n = mParser->Feed(mPending);
    mPending.erase(0, n);
    mHeadBytes += n;
    if (mParser->IsHeadDone() && !wasHeadDone) {
      mReceived.Begin(SteadyNow());
    }
    HttpProgress progress = mParser->Progress();
    if (progress == HttpProgress::Incomplete && mParser->Wanted().mBytes > 0) {
      if (TakeRoom()) {
        continue;
      }
      AwaitRoom();
      break;
    }
    if (progress == HttpProgress::Incomplete) {
      SendContinueIfAwaited();
      break;
    }
    if (progress != HttpProgress::Complete) {
      Refuse(progress);
      break;
    }
    if (!TakeRequest()) {
      break;
    }
  }
  bool awaitsBody = !mIsClosed && mPending.empty() && MayStartNext() &&
                    !mWait && mParser->Wanted().mBytes > 0;
  if (awaitsBody) {
    // The head came alone.
    if (TakeRoom()) {
      SendContinueIfAwaited();
    } else {
      AwaitRoom();
    }
  }
  CountHeld();
  ArmTimer();
}

/** Starts the parsed request, unless it has to wait for those before it. */
bool
HttpConnection::TakeRequest()
{
  HttpRequest request = mParser->Take();
  bool isPure = request.mMethod == "GET" || request.mMethod == "HEAD";
  if (!isPure && !mExchanges.empty()) {
    // An answer before it may end the connection, and then its caller sends
    // it again: it must not have been started by then.
    mHeld = std::move(request);
    mHasHeld = true;
    return false;
  }
  StartRequest(std::move(request));
  return true;
}

void
HttpConnection::StartRequest(HttpRequest aRequest)
{
  Exchange exchange;
  exchange.mId = ++mState->mLastRequest;
  exchange.mIsToHead = aRequest.mMethod == "HEAD";
  exchange.mKeepsAlive = aRequest.mKeepsAlive;
  RequestId id = exchange.mId;
  bool keepsAlive = exchange.mKeepsAlive;
  mExchanges.push_back(std::move(exchange));
  mState->mRequests[id] = this;
  ResetParser();
  mIsContinueSent = false;
  mIsRefused = mIsRefused || !keepsAlive;
  auto self = shared_from_this();
  mState->mHooks.mReceive(
    id, std::make_shared<const HttpRequest>(std::move(aRequest)));
}

void
HttpConnection::SendContinueIfAwaited()
{
  bool isDue = mParser->AwaitsContinue() && !mIsContinueSent &&
               mExchanges.empty() && !mIsWriting;
  if (isDue) {
    mIsContinueSent = true;
    Write(kContinue, nullptr, nullptr);
  }
}

void
HttpConnection::Refuse(HttpProgress aProgress)
{
  EndWait();
  mIsRefused = true;
  mHasHeld = false;
  mHeld = HttpRequest();
  mState->mCounters.mRefusedForRoom +=
    aProgress == HttpProgress::NoRoom ? 1 : 0;
  mState->mCounters.mTooSlow += aProgress == HttpProgress::Incomplete ? 1 : 0;
  ResetParser();
  mPending = std::string();
  CountHeld();
  Exchange exchange;
  exchange.mKeepsAlive = false;
  exchange.mIsAnswered = true;
  exchange.mResponse = mState->mHooks.mRefuse(aProgress);
  mExchanges.push_back(std::move(exchange));
  FlushAnswers();
}

void
HttpConnection::FlushAnswers()
{
  if (mIsWriting || mIsClosed || mExchanges.empty() ||
      !mExchanges.front().mIsAnswered) {
    return;
  }
  Exchange exchange = std::move(mExchanges.front());
  mExchanges.pop_front();
  HttpResponse& response = exchange.mResponse;
  bool isLast =
    !exchange.mKeepsAlive || mState->mIsClosing || !response.mKeepsAlive;
  response.mKeepsAlive = !isLast;
  if (isLast) {
    DropWaiting();
  }
  std::string head = SerializeHead(response, exchange.mIsToHead);
  std::shared_ptr<const std::string> body;
  if (HasBody(response, exchange.mIsToHead)) {
    body = response.mSharedBody
             ? std::move(response.mSharedBody)
             : std::make_shared<const std::string>(std::move(response.mBody));
  }
  Write(std::move(head), std::move(body), std::move(response.mCharge));
}

/** Gives up what came behind the last answer. */
void
HttpConnection::DropWaiting()
{
  mIsLast = true;
  mHasHeld = false;
  mHeld = HttpRequest();
  EndWait();
  ResetParser();
  mPending = std::string();
  CountHeld();
  std::deque<Exchange> dropped = std::move(mExchanges);
  mExchanges.clear();
  for (const Exchange& it : dropped) {
    if (!it.mIsAnswered && mState->mRequests.erase(it.mId) > 0) {
      mState->mHooks.mGone(it.mId);
    }
  }
}

void
HttpConnection::Write(std::string aHead,
                      std::shared_ptr<const std::string> aBody,
                      std::shared_ptr<BudgetCharge> aCharge)
{
  mIsWriting = true;
  mSent.Begin(SteadyNow());
  mSentBytes = 0;
  mOutgoingHead = std::move(aHead);
  mOutgoingBody = std::move(aBody);
  mOutgoingCharge = std::move(aCharge);
  ArmTimer();
  WriteSome();
}

/** Writes what is left, as far as the caller takes it. */
void
HttpConnection::WriteSome()
{
  std::size_t inHead = std::min(mSentBytes, mOutgoingHead.size());
  std::array<boost::asio::const_buffer, 2> buffers{
    boost::asio::buffer(mOutgoingHead) + inHead,
    mOutgoingBody ? boost::asio::buffer(*mOutgoingBody) + (mSentBytes - inHead)
                  : boost::asio::const_buffer()
  };
  if (boost::asio::buffer_size(buffers) == 0) {
    OnWritten({});
    return;
  }
  mSocket.async_write_some(
    buffers,
    [self = shared_from_this()](const error_code& aError, std::size_t aCount) {
      if (aError || self->mIsClosed) {
        self->OnWritten(aError);
        return;
      }
      self->mSentBytes += aCount;
      self->mSent.Add(SteadyNow(), aCount);
      self->WriteSome();
    });
}

void
HttpConnection::OnWritten(const error_code& aError)
{
  mIsWriting = false;
  mOutgoingHead.clear();
  mOutgoingBody.reset();
  mOutgoingCharge.reset();
  mLastUsedAt = SteadyNow();
  if (mIsClosed) {
    return;
  }
  if (aError || (mHasEnd && mExchanges.empty())) {
    Close();
    return;
  }
  if (mIsLast) {
    CloseInOrder();
    return;
  }
  FlushAnswers();
  if (mIsClosed || mIsLast) {
    return;
  }
  if (mHasHeld && mExchanges.empty() && !mIsWriting) {
    mHasHeld = false;
    StartRequest(std::move(mHeld));
  }
  if (!mHasHeld) {
    Parse();
  }
  Read();
}

/** Ends the sending side and waits for the caller's end, so that bytes that
 * are still on their way do not turn the close into a reset. */
void
HttpConnection::CloseInOrder()
{
  error_code ec;
  mSocket.shutdown(tcp::socket::shutdown_send, ec);
  mIsLingering = true;
  mLingersSince = SteadyNow();
  ArmTimer();
  Read();
}

TimePoint
HttpConnection::NextDeadline() const
{
  const HttpServerLimits& limits = mState->mLimits;
  if (mIsLingering) {
    return mLingersSince + kLingerTime;
  }
  if (mIsWriting) {
    return mSent.EndsAt(limits.mSending);
  }
  if (!mExchanges.empty() || mHasHeld || mWait) {
    return TimePoint::max();
  }
  if (mParser->HasBegun()) {
    return mParser->IsHeadDone() ? mReceived.EndsAt(limits.mReceiving)
                                 : mBeganAt + limits.mRequestTime;
  }
  return mLastUsedAt + limits.mIdleTime;
}

void
HttpConnection::ArmTimer()
{
  TimePoint deadline = NextDeadline();
  // A timer that fires too early looks again; only an earlier deadline needs
  // a new one.
  bool isCovered = mTimerAt <= deadline && mIsTimerArmed;
  if (isCovered || mIsClosed || deadline == TimePoint::max()) {
    return;
  }
  mIsTimerArmed = true;
  mTimerAt = deadline;
  mTimer.expires_at(SteadyClock::time_point(deadline.time_since_epoch()));
  mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError) {
      self->mIsTimerArmed = false;
      self->OnTimer();
    }
  });
}

void
HttpConnection::OnTimer()
{
  if (mIsClosed) {
    return;
  }
  if (SteadyNow() < NextDeadline()) {
    ArmTimer();
    return;
  }
  bool isSlow = mParser->HasBegun() && !mIsWriting && !mIsLingering;
  if (isSlow && !mIsRefused) {
    Refuse(HttpProgress::Incomplete);
  } else {
    mState->mCounters.mSlowReaders += mIsWriting ? 1 : 0;
    Close();
  }
}

} // namespace vanillascale
