#ifndef VANILLASCALE_TEST_FAULTYTARGET_H
#define VANILLASCALE_TEST_FAULTYTARGET_H

#include "TargetClient.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

/** A target over a real socket that answers with arbitrary bytes, and helpers
 * to send requests to it. */
namespace vanillascale::fake {

/** Longer than any test takes: an answer that ends earlier ends by its size. */
constexpr Duration kTimeout = std::chrono::seconds(60);

/** A target that answers each request with the next of its answers, and the
 * last of them with mEndless, over and over, until the connection closes. */
class FaultyTarget
{
public:
  explicit FaultyTarget(boost::asio::io_context& aLoop)
    : mAcceptor(aLoop, { boost::asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
  }

  TargetId Id() const
  {
    return TargetId("i-1@127.0.0.1:" +
                    std::to_string(mAcceptor.local_endpoint().port()));
  }

  std::vector<std::string> mAnswers;
  std::string mEndless;
  /** What happens to the connection after the last answer. */
  enum class AfterLast
  {
    KeepOpen,
    /** Ends it in order, and reads no further. */
    Close,
    Reset,
    /** Ends it in order, and resets it where unread bytes have come. */
    CloseThenReset
  };
  AfterLast mAfterLast = AfterLast::KeepOpen;
  /** Answers wait for Release. */
  bool mHoldsAnswers = false;
  std::size_t mSentBytes = 0;
  std::size_t mConnections = 0;

  /** Sends bytes on the newest connection. Precondition: it is open. */
  void SendUnasked(const std::string& aBytes)
  {
    boost::asio::write(mNewest.lock()->mSocket, boost::asio::buffer(aBytes));
  }

  bool HasRequests() const { return !mWaiting.empty(); }

  /** Sends the next answer on each connection that waits for one. What follows
   * an answer happens before the loop runs again. */
  void Release()
  {
    for (const auto& it : mWaiting) {
      boost::system::error_code ec;
      boost::asio::write(
        it->mSocket, boost::asio::buffer(mAnswers[mNext++]), ec);
      if (mNext == mAnswers.size()) {
        End(it->mSocket);
      }
    }
    mWaiting.clear();
  }

private:
  struct Connection
  {
    explicit Connection(boost::asio::ip::tcp::socket aSocket)
      : mSocket(std::move(aSocket))
    {
    }
    boost::asio::ip::tcp::socket mSocket;
    std::array<char, 4096> mBytes{};
    std::string mOut;
  };

  void Accept()
  {
    mAcceptor.async_accept([this](const boost::system::error_code& aError,
                                  boost::asio::ip::tcp::socket aIt) {
      if (!aError) {
        ++mConnections;
        auto connection = std::make_shared<Connection>(std::move(aIt));
        mNewest = connection;
        Read(connection);
        Accept();
      }
    });
  }

  void Read(const std::shared_ptr<Connection>& aConnection)
  {
    aConnection->mSocket.async_read_some(
      boost::asio::buffer(aConnection->mBytes),
      [this, aConnection](const boost::system::error_code& aError,
                          std::size_t) {
        if (aError) {
          return;
        }
        if (mHoldsAnswers) {
          mWaiting.push_back(aConnection);
        } else if (mNext < mAnswers.size()) {
          aConnection->mOut = mAnswers[mNext++];
          bool isLast = mNext == mAnswers.size();
          Write(aConnection, isLast && !mEndless.empty(), isLast);
          Read(aConnection);
        }
      });
  }

  void Write(const std::shared_ptr<Connection>& aConnection,
             bool aIsEndless,
             bool aIsLast)
  {
    boost::asio::async_write(
      aConnection->mSocket,
      boost::asio::buffer(aConnection->mOut),
      [this, aConnection, aIsEndless, aIsLast](
        const boost::system::error_code& aError, std::size_t aCount) {
        mSentBytes += aCount;
        if (!aError && aIsEndless) {
          aConnection->mOut = mEndless;
          Write(aConnection, true, true);
        } else if (!aError && aIsLast) {
          End(aConnection->mSocket);
        }
      });
  }

  void End(boost::asio::ip::tcp::socket& aSocket)
  {
    boost::system::error_code ec;
    if (mAfterLast == AfterLast::Close) {
      aSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    } else if (mAfterLast == AfterLast::CloseThenReset) {
      aSocket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
      aSocket.close(ec);
    } else if (mAfterLast == AfterLast::Reset) {
      aSocket.set_option(boost::asio::socket_base::linger(true, 0), ec);
      aSocket.close(ec);
    }
  }

  boost::asio::ip::tcp::acceptor mAcceptor;
  std::size_t mNext = 0;
  std::vector<std::shared_ptr<Connection>> mWaiting;
  std::weak_ptr<Connection> mNewest;
};

inline TargetDialect
MakeDialect()
{
  TargetDialect dialect;
  dialect.mRequestId = "Request-Id";
  dialect.mSignature = "Signature";
  dialect.mNotRun = "Not-Executed";
  dialect.mNotRunValue = "";
  return dialect;
}

inline TargetSend
MakeSend(const TargetId& aTarget, RequestId aId)
{
  TargetSend send;
  send.mRequest = aId;
  send.mTarget = aTarget;
  send.mMessage.mMethod = "GET";
  send.mMessage.mTarget = "/";
  send.mRequestName = "request-" + std::to_string(aId);
  send.mTimeout = kTimeout;
  return send;
}

/** Sends aCount requests at once and returns their results. */
inline std::vector<TargetResult>
SendAndWait(boost::asio::io_context& aLoop,
            TargetClient& aClient,
            const TargetId& aTarget,
            RequestId aFirst,
            std::size_t aCount = 1)
{
  std::vector<TargetResult> results;
  for (std::size_t i = 0; i < aCount; ++i) {
    aClient.Send(MakeSend(aTarget, aFirst + i), [&](TargetResult aResult) {
      results.push_back(std::move(aResult));
    });
  }
  aLoop.restart();
  while (results.size() < aCount) {
    aLoop.run_one();
  }
  return results;
}

} // namespace vanillascale::fake

#endif
