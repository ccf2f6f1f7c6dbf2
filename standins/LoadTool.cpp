#include "Document.h"
#include "Hash.h"
#include "PlatformPort.h"
#include "Random.h"
#include "RequestKeys.h"
#include "Settings.h"

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

using namespace vanillascale;

namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr int kMostTries = 40;
constexpr unsigned kStatusOk = 200;
constexpr auto kBalancerInterval = milliseconds(100);
/** How long after its deadline a caller still waits for its answer. */
constexpr Duration kCallerPatience = milliseconds(3000);

StoreReply
Get(const Endpoint& aServer, const char* aPath, Duration aTimeout)
{
  return BlockingConnection::Make(aServer)->Call(
    { "GET", aPath, "", aTimeout, {} });
}

struct Options
{
  std::vector<std::string> mDocuments;
  std::vector<std::string> mProxies;
  std::vector<std::string> mAdmins;
  std::vector<std::string> mTargets;
  std::vector<std::string> mRoutes;
  unsigned mRequests = 2000;
  unsigned mCallers = 16;
  std::uint64_t mSeed = 1;
  bool mResendsAtOnce = false;
  bool mIsQuiet = false;
  std::string mReport;
};

/** What became of one route's requests. */
struct RouteResult
{
  std::uint64_t mSent = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mBroken = 0;
  std::uint64_t mWrong = 0;
  std::uint64_t mOther = 0;
  std::uint64_t mUnserved = 0;
  std::vector<double> mLatencies;
};

/** The stand-in of the platform's balancer: knows which proxies are ready. */
class Balancer
{
public:
  Balancer(std::vector<std::string> aProxies, std::vector<std::string> aAdmins)
    : mProxies(std::move(aProxies))
    , mAdmins(std::move(aAdmins))
    , mIsReady(mProxies.size(), true)
  {
    if (!mAdmins.empty()) {
      Check();
      mThread = std::thread([this] { Watch(); });
    }
  }

  ~Balancer()
  {
    {
      std::lock_guard<std::mutex> lock(mMutex);
      mIsClosing = true;
      mWakeUp.notify_all();
    }
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  /** Picks a ready proxy, another than aAvoid if there is one. */
  std::size_t Pick(Random& aRandom, std::size_t aAvoid)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < mProxies.size(); ++i) {
      if (mIsReady[i] && i != aAvoid) {
        ready.push_back(i);
      }
    }
    if (ready.empty()) {
      return RandomBelow(aRandom, mProxies.size());
    }
    return ready[RandomBelow(aRandom, ready.size())];
  }

  const std::string& Address(std::size_t aProxy) const
  {
    return mProxies[aProxy];
  }

  std::size_t Count() const { return mProxies.size(); }

private:
  static bool IsReady(const std::string& aAdmin)
  {
    auto endpoint = ParseEndpoint(aAdmin);
    return endpoint &&
           Get(*endpoint, "/ready", milliseconds(500)).mResponse.mStatus ==
             kStatusOk;
  }

  void Check()
  {
    for (std::size_t i = 0; i < mAdmins.size(); ++i) {
      bool isReady = IsReady(mAdmins[i]);
      std::lock_guard<std::mutex> lock(mMutex);
      mIsReady[i] = isReady;
    }
  }

  void Watch()
  {
    for (;;) {
      {
        std::unique_lock<std::mutex> lock(mMutex);
        if (mWakeUp.wait_for(
              lock, kBalancerInterval, [&] { return mIsClosing; })) {
          return;
        }
      }
      Check();
    }
  }

  std::vector<std::string> mProxies;
  std::vector<std::string> mAdmins;
  std::mutex mMutex;
  std::condition_variable mWakeUp;
  bool mIsClosing = false;
  std::vector<bool> mIsReady;
  std::thread mThread;
};

/** What callers were told of one key. */
struct KeyResult
{
  bool mIsToldRan = false;
  bool mIsToldNotRunOnly = true;
};

class Load
{
public:
  Load(const Options& aOptions, std::vector<Route> aRoutes)
    : mOptions(aOptions)
    , mRoutes(std::move(aRoutes))
    , mBalancer(aOptions.mProxies, aOptions.mAdmins)
    , mBrokenByProxy(aOptions.mProxies.size())
  {
  }

  void Run()
  {
    std::vector<std::thread> threads;
    for (const Route& it : mRoutes) {
      auto left = std::make_shared<std::atomic<int>>(
        static_cast<int>(mOptions.mRequests));
      for (unsigned i = 0; i < mOptions.mCallers; ++i) {
        threads.emplace_back([this, &it, left, i] {
          Caller caller(*this, it, mOptions.mSeed * 1000 + i);
          while (left->fetch_sub(1) > 0) {
            caller.Serve();
          }
        });
      }
    }
    for (std::thread& it : threads) {
      it.join();
    }
  }

  /** Compares what callers were told with what the targets ran. */
  void CheckRecords()
  {
    std::map<std::string, unsigned> runs;
    for (const std::string& it : mOptions.mTargets) {
      auto endpoint = ParseEndpoint(it);
      try {
        Json json = Json::parse(
          Get(*endpoint, "/record", std::chrono::seconds(5)).mResponse.mBody);
        for (const auto& key : json.at("keys").items()) {
          runs[key.key()] += key.value().get<unsigned>();
        }
        ++mRecordsRead;
      } catch (const std::exception&) {
        ++mRecordsMissing;
      }
    }
    for (const auto& [key, n] : runs) {
      mMostRunsPerKey = std::max(mMostRunsPerKey, n);
    }
    for (const auto& [key, result] : mKeys) {
      unsigned n = runs.count(key) > 0 ? runs[key] : 0;
      mFalseNotRun += result.mIsToldNotRunOnly && n > 0 ? 1 : 0;
      mFalseRan += result.mIsToldRan && n == 0 && mRecordsMissing == 0 ? 1 : 0;
    }
  }

  void Print()
  {
    std::cout << std::left << std::setw(12) << "service" << std::setw(16)
              << "route" << std::right << std::setw(8) << "sent" << std::setw(9)
              << "answered" << std::setw(8) << "not-run" << std::setw(8)
              << "unknown" << std::setw(8) << "broken" << std::setw(8)
              << "p50 ms" << std::setw(9) << "p99 ms"
              << "\n";
    for (const Route& it : mRoutes) {
      RouteResult& result = mResults[it.mName.mValue];
      std::cout << std::left << std::setw(12) << it.mService.mValue
                << std::setw(16) << it.mName.mValue << std::right
                << std::setw(8) << result.mSent << std::setw(9)
                << result.mAnswered << std::setw(8) << result.mNotRun
                << std::setw(8) << result.mUnknown << std::setw(8)
                << result.mBroken << std::fixed << std::setprecision(1)
                << std::setw(8) << Percentile(result, 0.5) << std::setw(9)
                << Percentile(result, 0.99) << "\n";
    }
    std::cout << "runs per key at most " << mMostRunsPerKey << ", of "
              << mKeys.size() << " keys; told not-run but ran: " << mFalseNotRun
              << "; told ran but did not: " << mFalseRan
              << "; answers not whole or not the caller's: " << Total().mWrong
              << "; records of " << mRecordsRead << " targets\n";
    std::cout << "connections broken by proxy:";
    for (std::size_t i = 0; i < mBrokenByProxy.size(); ++i) {
      std::cout << " " << mBalancer.Address(i) << "=" << mBrokenByProxy[i];
    }
    std::cout << "\n";
  }

  Json Report()
  {
    Json routes = Json::object();
    for (auto& [name, result] : mResults) {
      routes[name] = {
        { "sent", result.mSent },           { "answered", result.mAnswered },
        { "notRun", result.mNotRun },       { "unknown", result.mUnknown },
        { "broken", result.mBroken },       { "wrong", result.mWrong },
        { "unserved", result.mUnserved },   { "p50", Percentile(result, 0.5) },
        { "p99", Percentile(result, 0.99) }
      };
    }
    Json broken = Json::object();
    for (std::size_t i = 0; i < mBrokenByProxy.size(); ++i) {
      broken[mBalancer.Address(i)] = mBrokenByProxy[i].load();
    }
    return { { "routes", routes },      { "mostRunsPerKey", mMostRunsPerKey },
             { "keys", mKeys.size() },  { "falseNotRun", mFalseNotRun },
             { "falseRan", mFalseRan }, { "brokenByProxy", broken } };
  }

  bool IsRight()
  {
    return Total().mWrong == 0 && mMostRunsPerKey <= 1 && mFalseNotRun == 0 &&
           mFalseRan == 0;
  }

private:
  enum class Told
  {
    Answered,
    NotRun,
    Unknown,
    /** Unknown, and every resend of the key would be told the same. */
    UnknownForGood,
    Broken
  };

  /** One caller: sends requests one after the other and checks each answer. */
  class Caller
  {
  public:
    Caller(Load& aLoad, const Route& aRoute, std::uint64_t aSeed)
      : mLoad(aLoad)
      , mRoute(aRoute)
      , mRandom(Hash64(aRoute.mName.mValue, aSeed))
      , mClients(aLoad.mBalancer.Count())
    {
    }

    void Serve()
    {
      std::string key = MakeKey();
      std::string mark = mRoute.mName.mValue + "-" + std::to_string(mRandom()) +
                         "-" + std::to_string(mRandom());
      bool isFirst = true;
      std::size_t proxy = SIZE_MAX;
      for (int i = 0; i < kMostTries; ++i) {
        proxy = mLoad.mBalancer.Pick(mRandom, proxy);
        Told told = Send(proxy, key, mark, isFirst);
        NoteKey(key, told);
        isFirst = false;
        if (told == Told::Answered || told == Told::UnknownForGood) {
          return;
        }
        if (told == Told::NotRun) {
          // The key has ended or may be used again; a new one is right always.
          key = MakeKey();
          isFirst = true;
          Pause();
        } else if (!mLoad.mOptions.mResendsAtOnce) {
          Pause();
        }
      }
      std::lock_guard<std::mutex> lock(mLoad.mMutex);
      ++mLoad.mResults[mRoute.mName.mValue].mUnserved;
    }

  private:
    void Pause()
    {
      std::unique_lock<std::mutex> lock(mLoad.mMutex);
      mLoad.mNever.wait_for(lock, milliseconds(50), [] { return false; });
    }

    std::string MakeKey()
    {
      if (mRoute.mIdempotent) {
        return "";
      }
      auto now = std::chrono::time_point_cast<milliseconds>(
        std::chrono::system_clock::now());
      std::uint64_t low = (std::uint64_t(mRandom()) << 32) | mRandom();
      return MakeRequestKey(now, mRandom(), low).mValue;
    }

    /** The connection to a proxy. It never sends a request twice: one that did
     * would say "first attempt" of a second. It is used until a call fails, so
     * that a proxy that closes it or sends bytes unasked shows. */
    BlockingConnection& ClientOf(std::size_t aProxy)
    {
      auto& client = mClients[aProxy];
      if (!client) {
        auto endpoint = ParseEndpoint(mLoad.mBalancer.Address(aProxy));
        client = BlockingConnection::Make(*endpoint, ReusePolicy::Always);
      }
      return *client;
    }

    Told Send(std::size_t aProxy,
              const std::string& aKey,
              const std::string& aMark,
              bool aIsFirst)
    {
      StoreCall call;
      call.mMethod = mRoute.mMethod;
      call.mTarget = mRoute.mPath;
      call.mTimeout = mRoute.mDeadline + kCallerPatience;
      call.mHeaders.push_back({ "X-Mark", aMark });
      if (!aKey.empty()) {
        call.mHeaders.push_back({ "Idempotency-Key", aKey });
        if (aIsFirst) {
          call.mHeaders.push_back({ "Vanillascale-First-Attempt", "true" });
        }
        call.mBody = "work of " + aMark;
      }
      if (mRoute.mWorkClass == WorkClass::Long) {
        call.mHeaders.push_back({ "X-Long", "1" });
      }
      auto start = SteadyClock::now();
      Told told = Told::Broken;
      bool isWrong = false;
      StoreReply reply = ClientOf(aProxy).Call(std::move(call));
      if (reply.mEnd == ExchangeEnd::Complete) {
        told = Judge(reply.mResponse, aMark, isWrong);
      }
      std::chrono::duration<double, std::milli> ms = SteadyClock::now() - start;
      Note(aProxy, told, isWrong, ms.count());
      return told;
    }

    static std::string ValueOf(const HttpResponse& aResponse, const char* aName)
    {
      const std::string* value = FindHeader(aResponse.mHeaders, aName);
      return value ? *value : "";
    }

    static Told Judge(const HttpResponse& aResponse,
                      const std::string& aMark,
                      bool& aIsWrong)
    {
      if (ValueOf(aResponse, "Vanillascale-Outcome") == "not-run") {
        return Told::NotRun;
      }
      if (aResponse.mStatus != kStatusOk) {
        return ValueOf(aResponse, "Vanillascale-Reason") == "outcome-not-known"
                 ? Told::UnknownForGood
                 : Told::Unknown;
      }
      const std::string& body = aResponse.mBody;
      bool isOwn =
        ValueOf(aResponse, "X-Mark") == aMark && body.rfind(aMark, 0) == 0;
      bool isWhole =
        ValueOf(aResponse, "X-Hash") == std::to_string(Hash64(body));
      aIsWrong = !isOwn || !isWhole;
      return Told::Answered;
    }

    void Note(std::size_t aProxy, Told aTold, bool aIsWrong, double aMs)
    {
      std::lock_guard<std::mutex> lock(mLoad.mMutex);
      RouteResult& result = mLoad.mResults[mRoute.mName.mValue];
      ++result.mSent;
      result.mWrong += aIsWrong ? 1 : 0;
      switch (aTold) {
        case Told::Answered:
          ++result.mAnswered;
          result.mLatencies.push_back(aMs);
          return;
        case Told::NotRun:
          ++result.mNotRun;
          return;
        case Told::Unknown:
        case Told::UnknownForGood:
          ++result.mUnknown;
          return;
        case Told::Broken:
          ++result.mBroken;
          ++mLoad.mBrokenByProxy[aProxy];
          return;
      }
    }

    void NoteKey(const std::string& aKey, Told aTold)
    {
      if (aKey.empty()) {
        return;
      }
      std::lock_guard<std::mutex> lock(mLoad.mMutex);
      KeyResult& result = mLoad.mKeys[aKey];
      result.mIsToldRan = result.mIsToldRan || aTold == Told::Answered;
      result.mIsToldNotRunOnly = aTold == Told::NotRun;
    }

    Load& mLoad;
    const Route& mRoute;
    Random mRandom;
    std::vector<std::unique_ptr<BlockingConnection>> mClients;
  };

  static double Percentile(RouteResult& aResult, double aShare)
  {
    auto& values = aResult.mLatencies;
    if (values.empty()) {
      return 0;
    }
    auto n = static_cast<std::ptrdiff_t>(
      aShare * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + n, values.end());
    return values[static_cast<std::size_t>(n)];
  }

  RouteResult Total()
  {
    RouteResult total;
    for (const auto& [name, result] : mResults) {
      total.mWrong += result.mWrong;
      total.mUnserved += result.mUnserved;
    }
    return total;
  }

  const Options& mOptions;
  std::vector<Route> mRoutes;
  Balancer mBalancer;
  std::mutex mMutex;
  std::condition_variable mNever;
  std::map<std::string, RouteResult> mResults;
  std::map<std::string, KeyResult> mKeys;
  std::vector<std::atomic<std::uint64_t>> mBrokenByProxy;
  unsigned mMostRunsPerKey = 0;
  std::uint64_t mFalseNotRun = 0;
  std::uint64_t mFalseRan = 0;
  unsigned mRecordsRead = 0;
  unsigned mRecordsMissing = 0;
};

std::vector<Route>
LoadRoutes(const Options& aOptions)
{
  std::vector<Route> routes;
  for (const std::string& it : aOptions.mDocuments) {
    std::ifstream in(it);
    std::ostringstream text;
    text << in.rdbuf();
    auto document = ParseDocument(text.str());
    if (!document) {
      continue;
    }
    for (const auto& [name, route] : document->mRoutes) {
      const auto& only = aOptions.mRoutes;
      bool isChosen =
        only.empty() ||
        std::find(only.begin(), only.end(), name.mValue) != only.end();
      if (isChosen) {
        routes.push_back(route);
      }
    }
  }
  return routes;
}

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  Options settings;
  options::options_description description("Options");
  auto add = description.add_options();
  auto list = [](std::vector<std::string>& aInto) {
    return options::value(&aInto)->multitoken();
  };
  add("document", list(settings.mDocuments), "documents whose routes are used");
  add("proxy", list(settings.mProxies), "where to send, ip:port");
  add("admin", list(settings.mAdmins), "the proxies' admin addresses");
  add("target", list(settings.mTargets), "targets whose records are compared");
  add("route", list(settings.mRoutes), "only these routes");
  add("requests", options::value(&settings.mRequests), "for each route");
  add("callers", options::value(&settings.mCallers), "for each route");
  add("seed", options::value(&settings.mSeed), "of the random choices");
  add("resend-at-once", options::bool_switch(&settings.mResendsAtOnce), "");
  add("quiet", options::bool_switch(&settings.mIsQuiet), "print no table");
  add("report", options::value(&settings.mReport), "file for the figures");
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& e) {
    std::cerr << e.what() << "\n" << description;
    return 2;
  }
  auto routes = LoadRoutes(settings);
  if (routes.empty() || settings.mProxies.empty()) {
    std::cerr << "no route or no proxy to send to\n" << description;
    return 2;
  }
  Load load(settings, std::move(routes));
  load.Run();
  load.CheckRecords();
  if (!settings.mIsQuiet) {
    load.Print();
  }
  if (!settings.mReport.empty()) {
    std::ofstream(settings.mReport) << load.Report().dump() << "\n";
  }
  return load.IsRight() ? 0 : 1;
}
