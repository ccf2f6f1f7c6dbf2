#ifndef VANILLASCALE_HTTPSERVER_H
#define VANILLASCALE_HTTPSERVER_H

#include "ByteBudget.h"
#include "CallerProgress.h"
#include "Clock.h"
#include "HttpParser.h"
#include "Ids.h"
#include "Settings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <tl/expected.hpp>

namespace vanillascale {

/** What a server allows its callers. */
struct HttpServerLimits
{
  HttpLimits mMessage;
  /** From a request's first byte to the end of its head. */
  Duration mRequestTime = std::chrono::seconds(10);
  /** Without a request in progress. */
  Duration mIdleTime = std::chrono::seconds(60);
  std::size_t mConnections = 2000;
  /** For bodies, from the end of the head on. */
  TransferLimits mReceiving;
  /** For answers. */
  TransferLimits mSending;
  /** How long a request waits for memory. */
  Duration mRoomTime = std::chrono::seconds(5);
};

/** Counts of what limits did to connections; they only rise. */
struct HttpServerCounters
{
  /** Requests that were not read for a while for lack of memory. */
  std::uint64_t mWaited = 0;
  /** Requests that were refused for lack of memory. */
  std::uint64_t mRefusedForRoom = 0;
  /** Answers that were cut off because others needed their memory. */
  std::uint64_t mClosedForRoom = 0;
  /** Requests that came too slowly. */
  std::uint64_t mTooSlow = 0;
  /** Connections whose answers were read too slowly. */
  std::uint64_t mSlowReaders = 0;
  /** Connections that were closed at once, or for another one, since there were
   * too many. */
  std::uint64_t mOverConnections = 0;
};

/** What happens on a server's connections. */
struct HttpServerHooks
{
  /** A request came in whole. It has to be answered by HttpServer::Answer. */
  std::function<void(RequestId, std::shared_ptr<const HttpRequest>)> mReceive;
  /** The caller of a request that is not answered yet has gone. */
  std::function<void(RequestId)> mGone;
  /** The answer to what is no request or is too large or too slow; Incomplete
   * stands for too slow. */
  std::function<HttpResponse(HttpProgress)> mRefuse;
};

/** An HTTP/1.1 server on the runtime's loop: keeps connections, takes requests
 * that come one behind the other, answers in their order, and reads no further
 * from a caller that does not read its answers. The loop's thread only. */
class HttpServer
{
public:
  /** Listens at an endpoint. aBudget counts what the connections hold; null
   * counts nothing. The error says why it can't listen. */
  static tl::expected<std::unique_ptr<HttpServer>, std::string> Make(
    boost::asio::io_context& aLoop,
    const Endpoint& aEndpoint,
    const HttpServerLimits& aLimits,
    HttpServerHooks aHooks,
    std::shared_ptr<ByteBudget> aBudget = nullptr);

  virtual ~HttpServer() = default;

  /** Answers a request; ignored where its caller has gone. */
  virtual void Answer(RequestId aRequest, HttpResponse aResponse) = 0;

  /** Limits for requests that begin from now on. */
  virtual void SetLimits(const HttpServerLimits& aLimits) = 0;

  /** From now on each answer says that it is the connection's last. */
  virtual void BeginClosing() = 0;

  /** Closes connections without a request that have been idle for a while. */
  virtual void CloseIdle(Duration aIdle) = 0;

  virtual std::size_t CountConnections() const = 0;

  /** Requests that are not answered yet, or whose answer is not written. */
  virtual std::size_t CountRequests() const = 0;

  virtual const HttpServerCounters& Counters() const = 0;
};

} // namespace vanillascale

#endif
