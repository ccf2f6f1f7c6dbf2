#ifndef VANILLASCALE_HTTPCONNECTION_H
#define VANILLASCALE_HTTPCONNECTION_H

#include "HttpServer.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>

namespace vanillascale {

class HttpConnection;

constexpr std::size_t kServerReadBytes = 16UL * 1024;

/** The time of the clock that the core uses. */
inline TimePoint
SteadyNow()
{
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

/** What connections share with their server. */
struct HttpServerState
{
  HttpServerLimits mLimits;
  HttpServerHooks mHooks;
  std::shared_ptr<ByteBudget> mBudget;
  HttpServerCounters mCounters;
  std::unordered_map<RequestId, HttpConnection*> mRequests;
  std::set<std::shared_ptr<HttpConnection>> mConnections;
  /** Connections that are not read for lack of memory, oldest first. */
  std::deque<std::weak_ptr<HttpConnection>> mWaiting;
  /** What a connection reads into before it keeps anything. */
  std::array<char, kServerReadBytes> mScratch{};
  RequestId mLastRequest = 0;
  bool mIsClosing = false;
};

/** One connection of a caller. The loop's thread only. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(std::shared_ptr<HttpServerState> aState,
                 boost::asio::ip::tcp::socket aSocket);

  void Begin();
  void Answer(RequestId aRequest, HttpResponse aResponse);
  void Close();

  bool IsIdleFor(Duration aTime) const;
  std::size_t CountRequests() const;

  /** What it holds and waits for. With aCountsUnused, a connection that never
   * had a request counts as one that holds a byte. */
  Holder Describe(TimePoint aNow, bool aCountsUnused) const;

  /** Whether it waits for memory, and for how much. */
  bool IsWaiting() const { return mWait.has_value(); }
  std::size_t WantedMessageBytes() const;

  /** Goes on reading if there is memory now and it may take it. Gives the
   * request up if it has waited for too long. Returns whether it no longer
   * waits. Precondition: it is waiting. */
  bool TryResume(bool aMayTake);

  /** Gives up what it holds, since others wait for it: its request is refused,
   * or its answer cut off. */
  void GiveUp();

private:
  /** One request of a connection. */
  struct Exchange
  {
    RequestId mId = 0;
    bool mIsToHead = false;
    bool mKeepsAlive = true;
    bool mIsAnswered = false;
    HttpResponse mResponse;
  };

  void Read();
  void OnReadable();
  void OnRead(const boost::system::error_code& aError, std::size_t aCount);
  bool HasRoom() const;
  bool TakeRoom();
  bool TakeUnreadRoom();
  void AwaitRoom();
  void EndWait();
  void CountHeld();
  bool MayStartNext() const;
  void Parse();
  bool TakeRequest();
  void StartRequest(HttpRequest aRequest);
  void SendContinueIfAwaited();
  void Refuse(HttpProgress aProgress);
  void FlushAnswers();
  void DropWaiting();
  void Write(std::string aHead,
             std::shared_ptr<const std::string> aBody,
             std::shared_ptr<BudgetCharge> aCharge);
  void WriteSome();
  void OnWritten(const boost::system::error_code& aError);
  void CloseInOrder();
  TimePoint NextDeadline() const;
  void ArmTimer();
  void OnTimer();
  void ResetParser();

  std::shared_ptr<HttpServerState> mState;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::unique_ptr<RequestParser> mParser;
  std::string mPending;
  /** Counts the connection itself, mPending and a head that is not complete. */
  BudgetCharge mCharge;
  /** Counts what the kernel may hold while the connection is not read. */
  BudgetCharge mUnreadCharge;
  std::optional<BudgetWait> mWait;
  std::string mOutgoingHead;
  std::shared_ptr<const std::string> mOutgoingBody;
  std::shared_ptr<BudgetCharge> mOutgoingCharge;
  std::size_t mSentBytes = 0;
  std::deque<Exchange> mExchanges;
  HttpRequest mHeld;
  TransferProgress mReceived;
  TransferProgress mSent;
  TimePoint mLastUsedAt{};
  TimePoint mBeganAt{};
  TimePoint mLingersSince{};
  TimePoint mTimerAt{};
  std::size_t mHeadBytes = 0;
  bool mIsTimerArmed = false;
  bool mHasHeld = false;
  bool mIsReading = false;
  bool mIsWriting = false;
  bool mIsContinueSent = false;
  bool mIsUsed = false;
  /** No further request is taken from this connection. */
  bool mIsRefused = false;
  /** The answer being written is the last. */
  bool mIsLast = false;
  bool mIsLingering = false;
  bool mHasEnd = false;
  bool mIsClosed = false;
};

} // namespace vanillascale

#endif
