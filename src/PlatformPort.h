#ifndef VANILLASCALE_PLATFORMPORT_H
#define VANILLASCALE_PLATFORMPORT_H

#include "Dialects.h"
#include "HttpExchange.h"
#include "Node.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <variant>

namespace vanillascale {

/** What the core asks of the platform. */
using PlatformCall = std::
  variant<AppendLog, ReadLog, ReadVmList, ReadFeed, ReadContact, WriteContact>;

/** Makes calls to a platform; each ends in one event. */
struct PlatformPort
{
  std::function<void(PlatformCall)> mCall;
};

/** What differs between the platforms that the product runs on. */
struct PlatformAdapter
{
  CallerDialect mCallers;
  TargetDialect mTargets;
  ConfigSource mConfigSource = ConfigSource::ChangeStream;
  /** How long after SIGTERM the platform ends a process; goes before the
   * setting. */
  std::optional<Duration> mStopWithin;
  /** Opens the port. aPost takes the events in which calls end; the loop must
   * outlive the port. */
  std::function<PlatformPort(boost::asio::io_context& aLoop,
                             const Endpoint& aPlatform,
                             std::function<void(Event)> aPost)>
    mOpen;
};

/** One HTTP call to the platform. */
struct StoreCall
{
  std::string mMethod = "GET";
  std::string mTarget;
  std::string mBody;
  Duration mTimeout{ 0 };
  std::vector<Header> mHeaders;
};

/** How a call ended. */
struct StoreReply
{
  ExchangeEnd mEnd = ExchangeEnd::Broken;
  HttpResponse mResponse;
};

/** When a kept connection is used for the next call. */
enum class ReusePolicy
{
  /** Only while it is open and no bytes have come that nobody asked for, such
   * as a second copy of an answer. */
  IfFit,
  /** In any case, so that a call shows what the server did to it. */
  Always
};

/** Makes calls one after the other on a kept connection, each at most once. A
 * connection on which a call went wrong is not used again. The loop's thread
 * only. */
class StoreConnection : public std::enable_shared_from_this<StoreConnection>
{
public:
  using Callback = std::function<void(StoreReply)>;

  static std::shared_ptr<StoreConnection> Make(
    boost::asio::io_context& aLoop,
    const Endpoint& aPlatform,
    ReusePolicy aPolicy = ReusePolicy::IfFit);

  /** Queues a call. aCallback is called once, never from within. */
  void Call(StoreCall aCall, Callback aCallback);

private:
  StoreConnection(boost::asio::io_context& aLoop,
                  const Endpoint& aPlatform,
                  ReusePolicy aPolicy);
  void StartNext();

  boost::asio::io_context& mLoop;
  Endpoint mPlatform;
  ReusePolicy mPolicy;
  ReusableSocket mSocket;
  std::vector<std::pair<StoreCall, Callback>> mWaiting;
  bool mIsBusy = false;
};

/** Makes one call on a new connection and waits for its end. For commands; any
 * thread. */
StoreReply
CallAndWait(const Endpoint& aServer, StoreCall aCall);

/** The same for programs that wait for each call. One thread at a time per
 * object. */
class BlockingConnection
{
public:
  static std::unique_ptr<BlockingConnection> Make(
    const Endpoint& aServer,
    ReusePolicy aPolicy = ReusePolicy::IfFit);

  /** Makes a call and waits for its end. */
  StoreReply Call(StoreCall aCall);

private:
  BlockingConnection(const Endpoint& aServer, ReusePolicy aPolicy);

  boost::asio::io_context mLoop{ 1 };
  std::shared_ptr<StoreConnection> mConnection;
};

} // namespace vanillascale

#endif
