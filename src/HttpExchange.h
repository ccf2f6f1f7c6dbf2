#ifndef VANILLASCALE_HTTPEXCHANGE_H
#define VANILLASCALE_HTTPEXCHANGE_H

#include "Clock.h"
#include "HttpParser.h"
#include "Settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace vanillascale {

/** How an exchange ended. */
enum class ExchangeEnd
{
  /** A whole answer came. */
  Complete,
  /** No connection came about: no byte was sent. */
  ConnectFailed,
  /** The connection or the answer broke after bytes may have been sent. */
  Broken,
  /** The time was up after bytes may have been sent. */
  TimedOut,
  Cancelled
};

/** One request to a server and what bounds it. */
struct ExchangeRequest
{
  Endpoint mTo;
  /** The serialized request, or its head if mBody is set. */
  std::string mBytes;
  /** Follows mBytes; null for nothing. */
  std::shared_ptr<const std::string> mBody;
  bool mIsToHead = false;
  Duration mConnectTimeout{ 0 };
  /** From now to the end of the answer. */
  Duration mTimeout{ 0 };
  /** They hold for all bytes of the exchange together, those of answers that
   * are skipped included. */
  HttpLimits mLimits;
  /** The bytes that all exchanges with this pointer may still receive while
   * they last; null does not bound them together. */
  std::shared_ptr<std::size_t> mByteBudget;
  /** The budget of the process, which counts the answer. While it has no room,
   * the exchange reads no further. Null counts nothing. */
  std::shared_ptr<ByteBudget> mMemory;
  /** Whether an answer belongs to this request; a false one is skipped and the
   * next awaited. Empty accepts all. */
  std::function<bool(const HttpResponse&)> mAccepts;
};

/** An open connection that can carry another exchange. */
using ReusableSocket = std::unique_ptr<boost::asio::ip::tcp::socket>;

struct ExchangeResult
{
  ExchangeEnd mEnd = ExchangeEnd::Broken;
  /** Set where mEnd is Complete. */
  HttpResponse mResponse;
  /** Set where the connection can be used again. */
  ReusableSocket mSocket;
};

/** One request and its answer on one connection. Nothing is ever sent twice.
 * The loop's thread only. */
class HttpExchange
{
public:
  using Callback = std::function<void(ExchangeResult)>;

  /** Starts an exchange, on aSocket if there is one, else on a new connection.
   * aCallback is called once, never from within Start. */
  static std::shared_ptr<HttpExchange> Start(boost::asio::io_context& aLoop,
                                             ExchangeRequest aRequest,
                                             ReusableSocket aSocket,
                                             Callback aCallback);

  virtual ~HttpExchange() = default;

  /** Closes the connection; the callback gets Cancelled. */
  virtual void Cancel() = 0;
};

/** Whether a kept connection can carry another exchange: it is open, and no
 * bytes have come that nobody asked for. Changes the socket to non-blocking.
 * The loop's thread only. */
bool
IsFitForReuse(boost::asio::ip::tcp::socket& aSocket);

/** Some round trips between distant zones; a kernel's default is minutes. */
constexpr Duration kUnansweredTime = std::chrono::seconds(4);

/** Bounds how long the kernel goes on sending to a peer that no longer answers,
 * or that has no room for more, and turns off the delay of small writes. */
void
TuneSocket(boost::asio::ip::tcp::socket& aSocket,
           Duration aUnanswered = kUnansweredTime);

/** The loop's own address type for an endpoint. */
boost::asio::ip::tcp::endpoint
ToTcp(const Endpoint& aEndpoint);

} // namespace vanillascale

#endif
