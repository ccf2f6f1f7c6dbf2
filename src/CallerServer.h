#ifndef VANILLASCALE_CALLERSERVER_H
#define VANILLASCALE_CALLERSERVER_H

#include "HttpServer.h"
#include "NodeEvents.h"
#include "PlatformPort.h"
#include "TargetClient.h"

#include <array>
#include <functional>
#include <memory>
#include <unordered_map>

namespace vanillascale {

/** What the callers' side needs of the runtime. */
struct CallerHooks
{
  /** Hands an event to the core. */
  std::function<void(Event)> mPost;
  /** A text that is different for each request of the fleet, for targets. */
  std::function<std::string(RequestId)> mNameRequest;
  /** The time left until an instant of the core's clock. */
  std::function<Duration(TimePoint)> mTimeUntil;
};

/** Takes callers' requests, sends them to targets and answers them, as the core
 * decides. The loop's thread only. */
class CallerServer
{
public:
  /** Listens at the settings' address. aAdapter must outlive the server; the
   * error says why it can't listen. aBudget counts what is held of requests and
   * answers. */
  static tl::expected<std::unique_ptr<CallerServer>, std::string> Make(
    boost::asio::io_context& aLoop,
    const Settings& aSettings,
    const PlatformAdapter& aAdapter,
    CallerHooks aHooks,
    std::shared_ptr<ByteBudget> aBudget);

  /** Carry out the core's decisions on a request. */
  void Run(const SendToTarget& aEffect);
  void Run(const CancelAtTarget& aEffect);
  void Run(AnswerCaller& aEffect);

  /** Takes over the limits of the document in force. */
  void SetLimits(const CallerLimits& aLimits);

  /** From now on each answer is its connection's last. */
  void BeginClosing() { mServer->BeginClosing(); }
  /** Closes connections without a request that were idle for a while. */
  void CloseIdleCallers(Duration aIdle) { mServer->CloseIdle(aIdle); }
  /** Closes connections to targets that are kept for too long. */
  void CloseIdleTargets() { mTargets->CloseIdle(); }

  /** Requests that callers have open. */
  std::size_t CountOpen() const { return mOpen.size(); }
  /** Requests whose answers are not written yet. */
  std::size_t CountUnwritten() const { return mServer->CountRequests(); }
  std::size_t CountConnections() const { return mServer->CountConnections(); }
  const TargetClient& Targets() const { return *mTargets; }
  const HttpServerCounters& Counters() const { return mServer->Counters(); }

private:
  struct OpenRequest
  {
    std::shared_ptr<const HttpRequest> mMessage;
    /** The caller's own id of the request. */
    std::string mName;
    /** The targets of the first send, or of its retries, and of the hedge. */
    std::array<TargetId, 2> mTargets;
  };

  CallerServer(boost::asio::io_context& aLoop,
               const PlatformAdapter& aAdapter,
               CallerHooks aHooks,
               const std::shared_ptr<ByteBudget>& aBudget);
  HttpServerHooks ServerHooks();
  /** The name of a send of a request for its target. */
  std::string NameSend(RequestId aId, bool aIsHedge) const;
  void Receive(RequestId aId, std::shared_ptr<const HttpRequest> aMessage);
  HttpResponse Refuse(HttpProgress aProgress) const;

  boost::asio::io_context& mLoop;
  const PlatformAdapter& mAdapter;
  CallerHooks mHooks;
  std::unique_ptr<TargetClient> mTargets;
  HttpServerLimits mLimits;
  std::unique_ptr<HttpServer> mServer;
  std::unordered_map<RequestId, OpenRequest> mOpen;
};

} // namespace vanillascale

#endif
