#ifndef VANILLASCALE_TARGETCLIENT_H
#define VANILLASCALE_TARGETCLIENT_H

#include "Dialects.h"
#include "HttpExchange.h"

#include <functional>
#include <list>
#include <map>
#include <unordered_map>

namespace vanillascale {

/** One send of a request to a target. */
struct TargetSend
{
  RequestId mRequest = 0;
  TargetId mTarget;
  HttpRequest mMessage;
  /** The caller's id of the request, by which late answers are told apart. */
  std::string mRequestName;
  Duration mTimeout{ 0 };
  /** False for work that may run only once: it goes on a new connection, since
   * a kept one may be reset as the request arrives. */
  bool mIsIdempotent = true;
  /** Whether it is the request's hedge, which may be in progress at the same
   * time as its other send. */
  bool mIsHedge = false;
};

/** Sends requests to targets and keeps connections for reuse. The loop's thread
 * only. */
class TargetClient
{
public:
  using Callback = std::function<void(TargetResult)>;

  /** aLoop and aDialect must outlive the client. aMemory counts the answers;
   * null counts none. */
  static std::unique_ptr<TargetClient> Make(
    boost::asio::io_context& aLoop,
    const TargetDialect& aDialect,
    std::shared_ptr<ByteBudget> aMemory = nullptr);

  /** Sends a request, once. aCallback is called once, never from within. */
  void Send(const TargetSend& aSend, Callback aCallback);

  /** Ends the exchange of a request's send or hedge, if there is one: the
   * callback gets Cancelled. */
  void Cancel(RequestId aRequest, bool aIsHedge = false);

  /** Closes kept connections that have not been used for a while. */
  void CloseIdle();

  std::size_t CountKept() const;
  std::uint64_t CountConnects() const { return mConnects; }

private:
  struct Kept
  {
    ReusableSocket mSocket;
    std::chrono::steady_clock::time_point mSince;
  };

  TargetClient(boost::asio::io_context& aLoop,
               const TargetDialect& aDialect,
               std::shared_ptr<ByteBudget> aMemory);
  ReusableSocket Take(const TargetId& aTarget);
  /** A request, and whether it is its hedge. */
  using SendKey = std::pair<RequestId, bool>;
  void Finish(const TargetId& aTarget,
              const SendKey& aSend,
              bool aMustNameRequest,
              ExchangeResult aResult,
              const Callback& aCallback);

  boost::asio::io_context& mLoop;
  const TargetDialect& mDialect;
  /** The bytes that the running exchanges may still receive together. */
  std::shared_ptr<std::size_t> mByteBudget;
  std::shared_ptr<ByteBudget> mMemory;
  std::map<SendKey, std::shared_ptr<HttpExchange>> mRunning;
  std::unordered_map<TargetId, std::list<Kept>> mKept;
  std::uint64_t mConnects = 0;
};

} // namespace vanillascale

#endif
