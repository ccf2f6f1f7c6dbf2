#include "HttpExchange.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <optional>

namespace vanillascale {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 16UL * 1024;
/** The kernel's buffer for an answer that is not read for lack of memory: 40 MB
 * a second at the 3 ms between zones. */
constexpr int kReceiveBufferBytes = 128 * 1024;
/** How often an exchange that lacks memory tries again. */
constexpr Duration kRoomInterval = std::chrono::milliseconds(20);

class TcpExchange
  : public HttpExchange
  , public std::enable_shared_from_this<TcpExchange>
{
public:
  TcpExchange(boost::asio::io_context& aLoop,
              ExchangeRequest aRequest,
              ReusableSocket aSocket,
              Callback aCallback)
    : mLoop(aLoop)
    , mRequest(std::move(aRequest))
    , mSocket(std::move(aSocket))
    , mCallback(std::move(aCallback))
    , mDeadline(aLoop)
    , mConnectDeadline(aLoop)
    , mRoomTimer(aLoop)
    , mParser(MakeParser())
  {
  }

  void Begin()
  {
    mDeadline.expires_after(mRequest.mTimeout);
    mDeadline.async_wait([self = shared_from_this()](const error_code& aError) {
      if (!aError) {
        self->End(self->mIsConnected ? ExchangeEnd::TimedOut
                                     : ExchangeEnd::ConnectFailed);
      }
    });
    if (mSocket) {
      mIsConnected = true;
      Write();
      return;
    }
    mSocket = std::make_unique<tcp::socket>(mLoop);
    if (mRequest.mMemory) {
      error_code ec;
      mSocket->open(tcp::v4(), ec);
      mSocket->set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
    }
    mConnectDeadline.expires_after(mRequest.mConnectTimeout);
    mConnectDeadline.async_wait(
      [self = shared_from_this()](const error_code& aError) {
        if (!aError && !self->mIsConnected) {
          self->End(ExchangeEnd::ConnectFailed);
        }
      });
    mSocket->async_connect(
      ToTcp(mRequest.mTo),
      [self = shared_from_this()](const error_code& aError) {
        self->OnConnected(aError);
      });
  }

  void Cancel() override { End(ExchangeEnd::Cancelled); }

private:
  void OnConnected(const error_code& aError)
  {
    if (mIsEnded) {
      return;
    }
    mConnectDeadline.cancel();
    if (aError) {
      End(ExchangeEnd::ConnectFailed);
      return;
    }
    mIsConnected = true;
    TuneSocket(*mSocket);
    Write();
  }

  /** Reads while it writes: a server may answer before it has read all. */
  void Write()
  {
    std::array<boost::asio::const_buffer, 2> buffers{
      boost::asio::buffer(mRequest.mBytes),
      mRequest.mBody ? boost::asio::buffer(*mRequest.mBody)
                     : boost::asio::const_buffer()
    };
    boost::asio::async_write(
      *mSocket,
      buffers,
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        // An answer may have come already: how the exchange ends is up to the
        // reading side.
        self->mIsWritten = !aError;
        self->mWriteError = aError;
      });
    Read();
  }

  void Read()
  {
    mSocket->async_read_some(boost::asio::buffer(mBytes),
                             [self = shared_from_this()](
                               const error_code& aError, std::size_t aCount) {
                               self->OnRead(aError, aCount);
                             });
  }

  void OnRead(const error_code& aError, std::size_t aCount)
  {
    if (mIsEnded) {
      return;
    }
    if (!TakeBytes(aCount)) {
      End(ExchangeEnd::Broken);
      return;
    }
    mPending.append(mBytes.data(), aCount);
    Continue(aError);
  }

  /** Parses what has been received, and goes on reading. */
  void Continue(const error_code& aError)
  {
    Parse();
    if (mIsEnded) {
      return;
    }
    if (mParser->Wanted().mBytes > 0) {
      AwaitRoom(aError);
      return;
    }
    // The parser leaves only a part of a head or of a chunk's head.
    if (mPending.size() > mRequest.mLimits.mHeadBytes + kReadBytes) {
      End(ExchangeEnd::Broken);
      return;
    }
    if (aError == boost::asio::error::eof) {
      // A write that failed before this read may not have been reported yet.
      boost::asio::post(mLoop, [self = shared_from_this()] { self->OnEof(); });
    } else if (aError) {
      End(ExchangeEnd::Broken);
    } else {
      Read();
    }
  }

  /** Tries again later to get memory for the body. The exchange's deadline
   * bounds how long. */
  void AwaitRoom(const error_code& aError)
  {
    if (!mWait) {
      mWait.emplace(mRequest.mMemory);
    }
    mRoomTimer.expires_after(kRoomInterval);
    mRoomTimer.async_wait(
      [self = shared_from_this(), aError](const error_code& aStopped) {
        if (!aStopped && !self->mIsEnded) {
          self->Continue(aError);
        }
      });
  }

  /** Takes memory for the body, if there is any. */
  bool TakeRoom()
  {
    BytesWanted wanted = mParser->Wanted();
    bool hasRoom = wanted.mBytes > 0 && mRequest.mMemory->MayTake(
                                          wanted.mBytes, wanted.mMessageBytes);
    if (hasRoom) {
      mParser->Reserve();
      mWait.reset();
    }
    return hasRoom;
  }

  std::unique_ptr<ResponseParser> MakeParser() const
  {
    return ResponseParser::Make(
      mRequest.mLimits, mRequest.mIsToHead, mRequest.mMemory);
  }

  void OnEof()
  {
    if (mIsEnded) {
      return;
    }
    mHasEnded = true;
    if (!IsCut()) {
      mParser->FeedEnd();
      Parse();
    }
    End(ExchangeEnd::Broken);
  }

  /** Whether the connection broke while the request was being written. The
   * write takes the socket's error then, and reading sees an ordinary end. The
   * peer had closed in order before if the write fails with EPIPE: had the read
   * taken the error, it would have failed. */
  bool IsCut() const
  {
    return mWriteError && mWriteError != boost::asio::error::broken_pipe;
  }

  /** Counts received bytes. Returns false if they exceed the limits. */
  bool TakeBytes(std::size_t aCount)
  {
    const HttpLimits& limits = mRequest.mLimits;
    if (mReceivedBytes + aCount > limits.mHeadBytes + limits.mBodyBytes) {
      return false;
    }
    auto& budget = mRequest.mByteBudget;
    if (budget) {
      if (*budget < aCount) {
        return false;
      }
      *budget -= aCount;
    }
    mReceivedBytes += aCount;
    return true;
  }

  void Parse()
  {
    while (!mIsEnded) {
      if (mParser->Progress() == HttpProgress::Incomplete) {
        mPending.erase(0, mParser->Feed(mPending));
      }
      if (mParser->Progress() == HttpProgress::Incomplete) {
        if (TakeRoom()) {
          continue;
        }
        return;
      }
      if (mParser->Progress() != HttpProgress::Complete) {
        End(ExchangeEnd::Broken);
        return;
      }
      mResponse = mParser->Take();
      bool isOwn = !mRequest.mAccepts || mRequest.mAccepts(mResponse);
      if (isOwn) {
        End(ExchangeEnd::Complete);
        return;
      }
      if (mHasEnded) {
        End(ExchangeEnd::Broken);
        return;
      }
      mParser = MakeParser();
    }
  }

  void End(ExchangeEnd aEnd)
  {
    if (mIsEnded) {
      return;
    }
    mIsEnded = true;
    mDeadline.cancel();
    mConnectDeadline.cancel();
    mRoomTimer.cancel();
    mWait.reset();
    if (mRequest.mByteBudget) {
      *mRequest.mByteBudget += mReceivedBytes;
    }
    ExchangeResult result;
    result.mEnd = aEnd;
    if (aEnd == ExchangeEnd::Complete) {
      bool isReusable =
        mResponse.mKeepsAlive && mIsWritten && mPending.empty() && !mHasEnded;
      result.mResponse = std::move(mResponse);
      if (isReusable) {
        result.mSocket = std::move(mSocket);
      }
    }
    if (mSocket) {
      error_code ec;
      mSocket->close(ec);
    }
    boost::asio::post(mLoop,
                      [callback = std::move(mCallback),
                       shared = std::make_shared<ExchangeResult>(std::move(
                         result))]() { callback(std::move(*shared)); });
  }

  boost::asio::io_context& mLoop;
  ExchangeRequest mRequest;
  ReusableSocket mSocket;
  Callback mCallback;
  boost::asio::steady_timer mDeadline;
  boost::asio::steady_timer mConnectDeadline;
  boost::asio::steady_timer mRoomTimer;
  /** Set while the exchange waits for memory. */
  std::optional<BudgetWait> mWait;
  std::unique_ptr<ResponseParser> mParser;
  std::array<char, kReadBytes> mBytes{};
  std::string mPending;
  std::size_t mReceivedBytes = 0;
  HttpResponse mResponse;
  bool mIsConnected = false;
  bool mIsWritten = false;
  error_code mWriteError;
  bool mHasEnded = false;
  bool mIsEnded = false;
};

} // namespace

std::shared_ptr<HttpExchange>
HttpExchange::Start(boost::asio::io_context& aLoop,
                    ExchangeRequest aRequest,
                    ReusableSocket aSocket,
                    Callback aCallback)
{
  auto exchange = std::make_shared<TcpExchange>(
    aLoop, std::move(aRequest), std::move(aSocket), std::move(aCallback));
  exchange->Begin();
  return exchange;
}

bool
IsFitForReuse(boost::asio::ip::tcp::socket& aSocket)
{
  error_code ec;
  aSocket.non_blocking(true, ec);
  if (ec) {
    return false;
  }
  char byte = 0;
  aSocket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
  return ec == boost::asio::error::would_block;
}

void
TuneSocket(boost::asio::ip::tcp::socket& aSocket, Duration aUnanswered)
{
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(aUnanswered);
  error_code ec;
  aSocket.set_option(tcp::no_delay(true), ec);
  aSocket.set_option(
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
      static_cast<int>(ms.count())),
    ec);
}

boost::asio::ip::tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  return { boost::asio::ip::make_address_v4(aEndpoint.mHost), aEndpoint.mPort };
}

} // namespace vanillascale
