#include "Hash.h"
#include "Random.h"
#include "Settings.h"
#include "StandinServer.h"

#include <atomic>
#include <boost/program_options.hpp>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

using namespace vanillascale;

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;
namespace options = boost::program_options;

constexpr unsigned kThreads = 64;
constexpr unsigned kBacklog = 2;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusError = 500;
constexpr unsigned kStatusCancelled = 499;
constexpr const char* kSeparator = "\n";

struct TargetSettings
{
  std::string mListen;
  unsigned mSlots = 3;
  double mMeanMs = 20;
  double mLongFactor = 50;
  unsigned mColdMs = 0;
};

/** The target's faults, switched by POST /faults?NAME=VALUE. The bytes given as
 * "answer" take the place of its answers. */
struct Faults
{
  /** So many in 100 requests end in a server error. */
  std::atomic<int> mErrorPercent{ 0 };
  /** Work takes so many times as long. */
  std::atomic<int> mSlowFactor{ 1 };
  /** Errors come and go in halves of this period. */
  std::atomic<int> mFlapMs{ 0 };
  /** So many in 100 answers are cut off in the middle. */
  std::atomic<int> mCutPercent{ 0 };
  std::atomic<int> mDraining{ 0 };
  /** It states this limit, in requests per second; 0 states none. */
  std::atomic<int> mLimit{ 0 };
  /** It states that it is leaving. */
  std::atomic<int> mLeaving{ 0 };
  /** It states a pause of so many ms in refusals; 0 states none. */
  std::atomic<int> mPauseMs{ 0 };
};

/** The stand-in of a target: a few slots, a short backlog, and a record of what
 * it ran that tests compare with what callers were told. */
class Target
{
public:
  explicit Target(const TargetSettings& aSettings)
    : mSettings(aSettings)
    , mStartedAt(SteadyClock::now())
    , mRandom(Hash64(aSettings.mListen))
  {
  }

  StandinReply Handle(const StandinCall& aCall)
  {
    const std::string& url = aCall.mRequest.url();
    if (url == "/health") {
      return { 200, "well\n", {} };
    }
    if (url == "/load") {
      std::lock_guard<std::mutex> lock(mMutex);
      return { 200,
               Json{ { "busy", mBusy }, { "waiting", mWaiting } }.dump(),
               {} };
    }
    if (url == "/faults") {
      return SetFaults(aCall);
    }
    if (url == "/record") {
      return ShowRecord();
    }
    if (url == "/cancel") {
      return Cancel(aCall);
    }
    StandinReply reply = Work(aCall);
    AddStatements(reply);
    return reply;
  }

private:
  /** Adds what the target states of itself to an answer. */
  void AddStatements(StandinReply& aReply) const
  {
    if (mFaults.mLimit > 0) {
      aReply.mHeaders.emplace_back("Vanillascale-Request-Limit",
                                   std::to_string(mFaults.mLimit));
    }
    if (mFaults.mLeaving != 0) {
      aReply.mHeaders.emplace_back("Vanillascale-Leaving", "1");
    }
    if (mFaults.mPauseMs > 0 && aReply.mStatus == kStatusUnavailable) {
      aReply.mHeaders.emplace_back("Retry-After",
                                   std::to_string(mFaults.mPauseMs / 1000.0));
    }
  }

  static std::string HeaderOf(const StandinCall& aCall, const char* aName)
  {
    const char* value = aCall.mRequest.getHeader(aName);
    return value ? value : "";
  }

  StandinReply SetFaults(const StandinCall& aCall)
  {
    cxxtools::QueryParams params(aCall.mRequest.qparams());
    std::map<std::string, std::atomic<int>*> switches{
      { "errorPercent", &mFaults.mErrorPercent },
      { "slowFactor", &mFaults.mSlowFactor },
      { "flapMs", &mFaults.mFlapMs },
      { "cutPercent", &mFaults.mCutPercent },
      { "draining", &mFaults.mDraining },
      { "limit", &mFaults.mLimit },
      { "leaving", &mFaults.mLeaving },
      { "pauseMs", &mFaults.mPauseMs }
    };
    for (auto& [name, value] : switches) {
      if (params.has(name)) {
        *value = std::atoi(params.param(name).c_str());
      }
    }
    if (params.has("answer")) {
      std::lock_guard<std::mutex> lock(mMutex);
      mRawAnswer = params.param("answer");
    }
    return { 200, "ok\n", {} };
  }

  StandinReply ShowRecord()
  {
    std::lock_guard<std::mutex> lock(mMutex);
    return {
      200,
      Json{ { "runs", mRuns }, { "keys", mKeys }, { "names", mNames } }.dump(),
      {}
    };
  }

  StandinReply Cancel(const StandinCall& aCall)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    cxxtools::QueryParams params(aCall.mRequest.qparams());
    mCancelled.insert(params.param("request"));
    mChanged.notify_all();
    return { 200, "ok\n", {} };
  }

  bool IsCold() const
  {
    return SteadyClock::now() - mStartedAt < milliseconds(mSettings.mColdMs);
  }

  bool IsFailing()
  {
    int percent = mFaults.mErrorPercent;
    int flap = mFaults.mFlapMs;
    if (flap > 0) {
      auto age = std::chrono::duration_cast<milliseconds>(SteadyClock::now() -
                                                          mStartedAt);
      percent = age.count() % flap < flap / 2 ? percent : 0;
    }
    return static_cast<int>(RandomBelow(mRandom, 100)) < percent;
  }

  milliseconds DrawTime(bool aIsLong)
  {
    double uniform = (RandomBelow(mRandom, 1000000) + 0.5) / 1000000.0;
    double ms = -std::log(uniform) * mSettings.mMeanMs *
                (aIsLong ? mSettings.mLongFactor : 1) * mFaults.mSlowFactor *
                (IsCold() ? 3 : 1);
    return milliseconds(std::lround(ms));
  }

  StandinReply Shed()
  {
    StandinReply reply{ kStatusUnavailable, "not run\n", {} };
    reply.mHeaders.emplace_back("Vanillascale-Outcome", "not-run");
    if (mFaults.mDraining != 0) {
      reply.mHeaders.emplace_back("Vanillascale-Draining", "1");
    }
    return reply;
  }

  StandinReply Work(const StandinCall& aCall)
  {
    if (!HeaderOf(aCall, "X-Crash").empty()) {
      std::_Exit(1);
    }
    std::string name = HeaderOf(aCall, "Vanillascale-Request");
    std::string key = HeaderOf(aCall, "Idempotency-Key");
    milliseconds limit(
      std::atol(HeaderOf(aCall, "Vanillascale-Deadline-Ms").c_str()));
    auto deadline = SteadyClock::now() + limit;
    bool hasDeadline = limit > milliseconds(0);
    std::unique_lock<std::mutex> lock(mMutex);
    bool isFull = mBusy >= mSettings.mSlots && mWaiting >= kBacklog;
    if (mFaults.mDraining != 0 || isFull) {
      return Shed();
    }
    ++mWaiting;
    while (mBusy >= mSettings.mSlots) {
      mChanged.wait(lock);
    }
    --mWaiting;
    if (hasDeadline && SteadyClock::now() >= deadline) {
      mChanged.notify_all();
      return Shed();
    }
    ++mBusy;
    ++mRuns;
    mNames.push_back(name);
    if (!key.empty()) {
      ++mKeys[key];
    }
    bool isLong = !HeaderOf(aCall, "X-Long").empty();
    bool isFailing = IsFailing();
    bool isCut =
      static_cast<int>(RandomBelow(mRandom, 100)) < mFaults.mCutPercent;
    std::string rawAnswer = mRawAnswer;
    auto end = SteadyClock::now() + DrawTime(isLong);
    mChanged.wait_until(lock, end, [&] { return mCancelled.count(name) > 0; });
    bool isCancelled = mCancelled.erase(name) > 0;
    --mBusy;
    mChanged.notify_all();
    lock.unlock();
    if (isCancelled) {
      return { kStatusCancelled, "cancelled\n", {} };
    }
    if (isFailing) {
      return { kStatusError, "failed\n", {} };
    }
    if (!rawAnswer.empty()) {
      SendAndClose(aCall, rawAnswer);
    }
    return Answer(aCall, isCut);
  }

  /** Sends bytes and ends the connection: the reply that the server writes
   * behind them is not sent. */
  static void SendAndClose(const StandinCall& aCall, const std::string& aBytes)
  {
    ::send(aCall.mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    ::shutdown(aCall.mSocket, SHUT_RDWR);
  }

  /** The caller's mark and a body whose hash the caller can check. */
  static StandinReply Answer(const StandinCall& aCall, bool aIsCut)
  {
    std::string mark = HeaderOf(aCall, "X-Mark");
    std::string body = mark;
    body += kSeparator;
    body.append(Hash64(mark) % 4000, 'x');
    StandinReply reply{ 200, body, {} };
    reply.mHeaders.emplace_back("X-Mark", mark);
    reply.mHeaders.emplace_back("X-Hash", std::to_string(Hash64(body)));
    if (aIsCut) {
      SendAndClose(
        aCall,
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n" + body.substr(0, body.size() / 2));
    }
    return reply;
  }

  TargetSettings mSettings;
  SteadyClock::time_point mStartedAt;
  Random mRandom;
  Faults mFaults;
  /** Bytes that are sent in place of the answers to work; empty for none. */
  std::string mRawAnswer;
  std::mutex mMutex;
  std::condition_variable mChanged;
  unsigned mBusy = 0;
  unsigned mWaiting = 0;
  std::uint64_t mRuns = 0;
  std::map<std::string, unsigned> mKeys;
  std::vector<std::string> mNames;
  std::set<std::string> mCancelled;
};

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  TargetSettings settings;
  options::options_description description("Options");
  auto add = description.add_options();
  add("listen", options::value(&settings.mListen)->required(), "ip:port");
  add("slots", options::value(&settings.mSlots), "requests run at once");
  add("mean-ms", options::value(&settings.mMeanMs), "mean time of work");
  add("long-factor",
      options::value(&settings.mLongFactor),
      "how many times as long marked work takes");
  add("cold-ms", options::value(&settings.mColdMs), "slow for so long");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& e) {
    std::cerr << e.what() << "\n" << description;
    return 2;
  }
  auto endpoint = ParseEndpoint(settings.mListen);
  if (!endpoint) {
    std::cerr << "--listen " << endpoint.error() << "\n";
    return 2;
  }
  Target target(settings);
  ServeStandin(endpoint->mHost,
               endpoint->mPort,
               kThreads,
               [&](const StandinCall& aCall) { return target.Handle(aCall); });
  return 0;
}
