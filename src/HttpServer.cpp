#include "HttpServer.h"

#include "HttpConnection.h"
#include "HttpExchange.h"

namespace vanillascale {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kListenBacklog = 1024;
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);
/** How often connections that wait for memory are tried again. */
constexpr Duration kRoomInterval = std::chrono::milliseconds(25);
/** How often it is looked whether anything waits for memory. */
constexpr Duration kIdleRoomInterval = std::chrono::milliseconds(200);
/** Between two callers that are given up, so that the memory of the first is
 * used before the second goes. */
constexpr Duration kVictimInterval = std::chrono::milliseconds(200);
/** The kernel's buffers of a caller's connection: the bytes that may come
 * unread, and those of an answer that are on their way. 1.7 Mbit/s at round
 * trips of 300 ms. */
constexpr int kReceiveBufferBytes = 64 * 1024;
constexpr int kSendBufferBytes = 128 * 1024;

class TcpHttpServer : public HttpServer
{
public:
  TcpHttpServer(boost::asio::io_context& aLoop,
                const HttpServerLimits& aLimits,
                HttpServerHooks aHooks,
                std::shared_ptr<ByteBudget> aBudget)
    : mState(std::make_shared<HttpServerState>())
    , mAcceptor(aLoop)
    , mPause(aLoop)
    , mRoomTimer(aLoop)
  {
    mState->mLimits = aLimits;
    mState->mHooks = std::move(aHooks);
    mState->mBudget = std::move(aBudget);
  }

  ~TcpHttpServer() override
  {
    error_code ec;
    mAcceptor.close(ec);
    mRoomTimer.cancel();
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
    if (mState->mBudget) {
      // Accepted sockets have the same buffers.
      error_code ec;
      mAcceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
      mAcceptor.set_option(
        boost::asio::socket_base::send_buffer_size(kSendBufferBytes), ec);
      ArmRoomTimer();
    }
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

  const HttpServerCounters& Counters() const override
  {
    return mState->mCounters;
  }

private:
  void ArmRoomTimer()
  {
    bool isAwaited = mState->mBudget->IsAwaited();
    mRoomTimer.expires_after(isAwaited ? kRoomInterval : kIdleRoomInterval);
    mRoomTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        ResumeWaiting();
        if (mState->mBudget->IsAwaited()) {
          FreeRoom();
        }
        ArmRoomTimer();
      }
    });
  }

  /** Reads on where there is memory, in the order in which connections began to
   * wait. A large message does not pass another one; small ones have a share of
   * their own. */
  void ResumeWaiting()
  {
    auto waiting = std::move(mState->mWaiting);
    mState->mWaiting.clear();
    std::deque<std::weak_ptr<HttpConnection>> left;
    std::size_t smallestRefused = SIZE_MAX;
    for (const auto& it : waiting) {
      auto connection = it.lock();
      if (!connection || !connection->IsWaiting()) {
        continue;
      }
      std::size_t wanted = connection->WantedMessageBytes();
      if (!connection->TryResume(wanted < smallestRefused)) {
        smallestRefused = std::min(smallestRefused, wanted);
        left.push_back(it);
      }
    }
    // Those that have begun to wait meanwhile come last.
    left.insert(left.end(), mState->mWaiting.begin(), mState->mWaiting.end());
    mState->mWaiting = std::move(left);
  }

  /** Gives up the caller that holds the most for the longest time without
   * progress. Returns whether there is one. */
  bool GiveUpOne(bool aCountsUnused)
  {
    std::vector<std::shared_ptr<HttpConnection>> connections(
      mState->mConnections.begin(), mState->mConnections.end());
    std::vector<Holder> holders;
    TimePoint now = SteadyNow();
    holders.reserve(connections.size());
    for (const auto& it : connections) {
      holders.push_back(it->Describe(now, aCountsUnused));
    }
    auto victim = ChooseVictim(holders);
    if (victim && aCountsUnused) {
      connections[*victim]->Close();
    } else if (victim) {
      connections[*victim]->GiveUp();
    }
    return victim.has_value();
  }

  void FreeRoom()
  {
    TimePoint now = SteadyNow();
    if (now - mLastVictimAt >= kVictimInterval && GiveUpOne(false)) {
      mLastVictimAt = now;
    }
  }

  /** Whether another connection may be open. At the limit, a caller without
   * progress makes room. */
  bool MayOpen()
  {
    if (mState->mConnections.size() < mState->mLimits.mConnections) {
      return true;
    }
    ++mState->mCounters.mOverConnections;
    return GiveUpOne(true);
  }

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
        if (MayOpen()) {
          auto connection =
            std::make_shared<HttpConnection>(mState, std::move(aSocket));
          mState->mConnections.insert(connection);
          connection->Begin();
        }
        Accept();
      });
  }

  std::shared_ptr<HttpServerState> mState;
  tcp::acceptor mAcceptor;
  boost::asio::steady_timer mPause;
  boost::asio::steady_timer mRoomTimer;
  TimePoint mLastVictimAt{};
};

} // namespace

tl::expected<std::unique_ptr<HttpServer>, std::string>
HttpServer::Make(boost::asio::io_context& aLoop,
                 const Endpoint& aEndpoint,
                 const HttpServerLimits& aLimits,
                 HttpServerHooks aHooks,
                 std::shared_ptr<ByteBudget> aBudget)
{
  auto server = std::make_unique<TcpHttpServer>(
    aLoop, aLimits, std::move(aHooks), std::move(aBudget));
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
