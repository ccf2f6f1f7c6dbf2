#include "HttpServer.h"

#include "HttpExchange.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <set>
#include <unordered_map>

namespace vanillascale {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kReadBytes = 16UL * 1024;
/** Requests of one connection that are in progress at once. */
constexpr std::size_t kMostPipelined = 8;
/** Bytes behind an unfinished request that are read ahead. */
constexpr std::size_t kMostReadAhead = 64UL * 1024;
constexpr int kListenBacklog = 1024;
/** How long a caller may take none of the bytes of its answer. */
constexpr Duration kWriteTime = std::chrono::seconds(20);
/** How long the end of a closed connection is awaited. */
constexpr Duration kLingerTime = std::chrono::milliseconds(500);
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);
constexpr const char* kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

class Connection;

/** What connections share with their server. */
struct ServerState
{
  HttpServerLimits mLimits;
  HttpServerHooks mHooks;
  std::unordered_map<RequestId, Connection*> mRequests;
  std::set<std::shared_ptr<Connection>> mConnections;
  RequestId mLastRequest = 0;
  bool mIsClosing = false;
};

/** One request of a connection. */
struct Exchange
{
  RequestId mId = 0;
  bool mIsToHead = false;
  bool mKeepsAlive = true;
  bool mIsAnswered = false;
  HttpResponse mResponse;
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(std::shared_ptr<ServerState> aState, tcp::socket aSocket)
    : mState(std::move(aState))
    , mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
    , mParser(RequestParser::Make(mState->mLimits.mMessage))
  {
  }

  void Begin()
  {
    TuneSocket(mSocket);
    mLastUsedAt = SteadyClock::now();
    ArmTimer();
    Read();
  }

  void Answer(RequestId aRequest, HttpResponse aResponse)
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

  bool IsIdleFor(Duration aTime) const
  {
    return mExchanges.empty() && !mIsWriting && !mParser->HasBegun() &&
           mPending.empty() && SteadyClock::now() - mLastUsedAt >= aTime;
  }

  std::size_t CountRequests() const
  {
    return mExchanges.size() + (mIsWriting ? 1 : 0);
  }

  void Close()
  {
    if (mIsClosed) {
      return;
    }
    mIsClosed = true;
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

private:
  void Read()
  {
    if (mIsReading || mIsClosed || mHasEnd) {
      return;
    }
    mIsReading = true;
    mSocket.async_read_some(boost::asio::buffer(mBytes),
                            [self = shared_from_this()](
                              const error_code& aError, std::size_t aCount) {
                              self->OnRead(aError, aCount);
                            });
  }

  void OnRead(const error_code& aError, std::size_t aCount)
  {
    mIsReading = false;
    if (mIsClosed) {
      return;
    }
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
    if (mIsLast) {
      // What comes behind a last answer is dropped, to be seen as not read.
      Read();
      return;
    }
    mPending.append(mBytes.data(), aCount);
    Parse();
    bool hasRoom = mPending.size() < kMostReadAhead;
    if (!mIsClosed && hasRoom) {
      Read();
    }
  }

  bool MayStartNext() const
  {
    return !mIsLast && !mIsRefused && mExchanges.size() < kMostPipelined;
  }

  void Parse()
  {
    while (!mIsClosed && !mPending.empty() && MayStartNext()) {
      if (!mParser->HasBegun()) {
        mBeganAt = SteadyClock::now();
      }
      mPending.erase(0, mParser->Feed(mPending));
      HttpProgress progress = mParser->Progress();
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
    ArmTimer();
  }

  /** Starts the parsed request, unless it has to wait for those before it. */
  bool TakeRequest()
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

  void StartRequest(HttpRequest aRequest)
  {
    Exchange exchange;
    exchange.mId = ++mState->mLastRequest;
    exchange.mIsToHead = aRequest.mMethod == "HEAD";
    exchange.mKeepsAlive = aRequest.mKeepsAlive;
    RequestId id = exchange.mId;
    bool keepsAlive = exchange.mKeepsAlive;
    mExchanges.push_back(std::move(exchange));
    mState->mRequests[id] = this;
    mParser = RequestParser::Make(mState->mLimits.mMessage);
    mIsContinueSent = false;
    mIsRefused = mIsRefused || !keepsAlive;
    auto self = shared_from_this();
    mState->mHooks.mReceive(
      id, std::make_shared<const HttpRequest>(std::move(aRequest)));
  }

  void SendContinueIfAwaited()
  {
    bool isDue = mParser->AwaitsContinue() && !mIsContinueSent &&
                 mExchanges.empty() && !mIsWriting;
    if (isDue) {
      mIsContinueSent = true;
      Write(kContinue);
    }
  }

  void Refuse(HttpProgress aProgress)
  {
    mIsRefused = true;
    Exchange exchange;
    exchange.mKeepsAlive = false;
    exchange.mIsAnswered = true;
    exchange.mResponse = mState->mHooks.mRefuse(aProgress);
    mExchanges.push_back(std::move(exchange));
    FlushAnswers();
  }

  void FlushAnswers()
  {
    if (mIsWriting || mIsClosed || mExchanges.empty() ||
        !mExchanges.front().mIsAnswered) {
      return;
    }
    Exchange exchange = std::move(mExchanges.front());
    mExchanges.pop_front();
    bool isLast = !exchange.mKeepsAlive || mState->mIsClosing ||
                  !exchange.mResponse.mKeepsAlive;
    exchange.mResponse.mKeepsAlive = !isLast;
    if (isLast) {
      DropWaiting();
    }
    Write(Serialize(exchange.mResponse, exchange.mIsToHead));
  }

  /** Gives up what came behind the last answer. */
  void DropWaiting()
  {
    mIsLast = true;
    mHasHeld = false;
    mPending.clear();
    std::deque<Exchange> dropped = std::move(mExchanges);
    mExchanges.clear();
    for (const Exchange& it : dropped) {
      if (!it.mIsAnswered && mState->mRequests.erase(it.mId) > 0) {
        mState->mHooks.mGone(it.mId);
      }
    }
  }

  void Write(std::string aBytes)
  {
    mIsWriting = true;
    mWriteBeganAt = SteadyClock::now();
    mOutgoing = std::move(aBytes);
    ArmTimer();
    boost::asio::async_write(
      mSocket,
      boost::asio::buffer(mOutgoing),
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        self->OnWritten(aError);
      });
  }

  void OnWritten(const error_code& aError)
  {
    mIsWriting = false;
    mOutgoing.clear();
    mLastUsedAt = SteadyClock::now();
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
  void CloseInOrder()
  {
    error_code ec;
    mSocket.shutdown(tcp::socket::shutdown_send, ec);
    mIsLingering = true;
    mWriteBeganAt = SteadyClock::now();
    ArmTimer();
    Read();
  }

  SteadyClock::time_point NextDeadline() const
  {
    if (mIsLingering) {
      return mWriteBeganAt + kLingerTime;
    }
    if (mIsWriting) {
      return mWriteBeganAt + kWriteTime;
    }
    if (!mExchanges.empty() || mHasHeld) {
      return SteadyClock::time_point::max();
    }
    if (mParser->HasBegun()) {
      return mBeganAt + mState->mLimits.mRequestTime;
    }
    return mLastUsedAt + mState->mLimits.mIdleTime;
  }

  void ArmTimer()
  {
    auto deadline = NextDeadline();
    // A timer that fires too early looks again; only an earlier deadline needs
    // a new one.
    bool isCovered = mTimerAt <= deadline && mIsTimerArmed;
    if (isCovered || mIsClosed || deadline == SteadyClock::time_point::max()) {
      return;
    }
    mIsTimerArmed = true;
    mTimerAt = deadline;
    mTimer.expires_at(deadline);
    mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->mIsTimerArmed = false;
        self->OnTimer();
      }
    });
  }

  void OnTimer()
  {
    if (mIsClosed) {
      return;
    }
    if (SteadyClock::now() < NextDeadline()) {
      ArmTimer();
      return;
    }
    bool isSlow = mParser->HasBegun() && !mIsWriting && !mIsLingering;
    if (isSlow && !mIsRefused) {
      Refuse(HttpProgress::Incomplete);
    } else {
      Close();
    }
  }

  std::shared_ptr<ServerState> mState;
  tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::unique_ptr<RequestParser> mParser;
  std::array<char, kReadBytes> mBytes{};
  std::string mPending;
  std::string mOutgoing;
  std::deque<Exchange> mExchanges;
  HttpRequest mHeld;
  SteadyClock::time_point mLastUsedAt;
  SteadyClock::time_point mBeganAt;
  SteadyClock::time_point mWriteBeganAt;
  SteadyClock::time_point mTimerAt;
  bool mIsTimerArmed = false;
  bool mHasHeld = false;
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mIsContinueSent = false;
  /** No further request is taken from this connection. */
  bool mIsRefused = false;
  /** The answer being written is the last. */
  bool mIsLast = false;
  bool mIsLingering = false;
  bool mHasEnd = false;
  bool mIsClosed = false;
};

class TcpHttpServer : public HttpServer
{
public:
  TcpHttpServer(boost::asio::io_context& aLoop,
                const HttpServerLimits& aLimits,
                HttpServerHooks aHooks)
    : mState(std::make_shared<ServerState>())
    , mAcceptor(aLoop)
    , mPause(aLoop)
  {
    mState->mLimits = aLimits;
    mState->mHooks = std::move(aHooks);
  }

  ~TcpHttpServer() override
  {
    error_code ec;
    mAcceptor.close(ec);
    auto connections = mState->mConnections;
    for (const auto& it : connections) {
      it->Close();
    }
  }

  void Listen(const tcp::endpoint& aEndpoint)
  {
    mAcceptor.open(aEndpoint.protocol());
    mAcceptor.set_option(tcp::acceptor::reuse_address(true));
    mAcceptor.bind(aEndpoint);
    mAcceptor.listen(kListenBacklog);
    Accept();
  }

  void Answer(RequestId aRequest, HttpResponse aResponse) override
  {
    auto it = mState->mRequests.find(aRequest);
    if (it != mState->mRequests.end()) {
      auto connection = it->second->shared_from_this();
      connection->Answer(aRequest, std::move(aResponse));
    }
  }

  void SetLimits(const HttpServerLimits& aLimits) override
  {
    mState->mLimits = aLimits;
  }

  void BeginClosing() override { mState->mIsClosing = true; }

  void CloseIdle(Duration aIdle) override
  {
    auto connections = mState->mConnections;
    for (const auto& it : connections) {
      if (it->IsIdleFor(aIdle)) {
        it->Close();
      }
    }
  }

  std::size_t CountConnections() const override
  {
    return mState->mConnections.size();
  }

  std::size_t CountRequests() const override
  {
    std::size_t n = 0;
    for (const auto& it : mState->mConnections) {
      n += it->CountRequests();
    }
    return n;
  }

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [this](const error_code& aError, tcp::socket aSocket) {
        if (aError == boost::asio::error::operation_aborted) {
          return;
        }
        if (aError) {
          // Out of descriptors, or the caller has gone again: go on a little
          // later, not in a tight loop.
          mPause.expires_after(kAcceptPause);
          mPause.async_wait([this](const error_code& aStopped) {
            if (!aStopped) {
              Accept();
            }
          });
          return;
        }
        if (mState->mConnections.size() < mState->mLimits.mConnections) {
          auto connection =
            std::make_shared<Connection>(mState, std::move(aSocket));
          mState->mConnections.insert(connection);
          connection->Begin();
        }
        Accept();
      });
  }

  std::shared_ptr<ServerState> mState;
  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mPause;
};

} // namespace

tl::expected<std::unique_ptr<HttpServer>, std::string>
HttpServer::Make(boost::asio::io_context& aLoop,
                 const Endpoint& aEndpoint,
                 const HttpServerLimits& aLimits,
                 HttpServerHooks aHooks)
{
  auto server =
    std::make_unique<TcpHttpServer>(aLoop, aLimits, std::move(aHooks));
  try {
    server->Listen(ToTcp(aEndpoint));
  } catch (const std::exception& e) {
    return tl::make_unexpected("can't listen at " + aEndpoint.mHost + ":" +
                               std::to_string(aEndpoint.mPort) + ": " +
                               e.what());
  }
  return server;
}

} // namespace vanillascale
