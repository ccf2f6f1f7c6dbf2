#include "Settings.h"
#include "StandinServer.h"

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

using namespace vanillascale;

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr unsigned kThreads = 256;
constexpr std::size_t kRecordsPerRead = 500;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusNotFound = 404;

struct Record
{
  std::uint64_t mOffset = 0;
  std::int64_t mAppendedAtMs = 0;
  std::string mData;
};

/** The platform's faults, switched by POST /faults?NAME=VALUE. */
struct Faults
{
  /** Every call to the log is refused. */
  std::atomic<int> mDown{ 0 };
  /** Each call to the log takes so long. */
  std::atomic<int> mSlowMs{ 0 };
  /** So many in 100 appends take effect and lose their answer. */
  std::atomic<int> mLosePercent{ 0 };
  /** So old is the VM list that is shown. */
  std::atomic<int> mVmLagMs{ 0 };
  /** So many records are kept of each stream; 0 keeps all. */
  std::atomic<int> mRetention{ 0 };
};

/** The stand-in of the platform: an append-only log and a VM list. */
class Platform
{
public:
  StandinReply Handle(const StandinCall& aCall)
  {
    const std::string& url = aCall.mRequest.url();
    if (url.rfind("/log/", 0) == 0) {
      return HandleLog(aCall, url.substr(5));
    }
    if (url == "/vms") {
      return HandleVms(aCall);
    }
    if (url == "/faults") {
      return HandleFaults(aCall);
    }
    if (url == "/stats") {
      std::lock_guard<std::mutex> lock(mMutex);
      return { 200, Json{ { "appends", mAppends } }.dump(), {} };
    }
    return { kStatusNotFound, "no such page\n", {} };
  }

private:
  static std::int64_t NowMs()
  {
    return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
  }

  void Wait(milliseconds aTime)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    mNever.wait_for(lock, aTime, [] { return false; });
  }

  StandinReply HandleLog(const StandinCall& aCall, const std::string& aStream)
  {
    if (mFaults.mSlowMs > 0) {
      Wait(milliseconds(mFaults.mSlowMs));
    }
    if (mFaults.mDown != 0) {
      return { kStatusUnavailable, "down\n", {} };
    }
    return aCall.mRequest.method() == "POST" ? Append(aCall, aStream)
                                             : Read(aCall, aStream);
  }

  StandinReply Append(const StandinCall& aCall, const std::string& aStream)
  {
    std::uint64_t offset = 0;
    bool isLost = false;
    {
      std::lock_guard<std::mutex> lock(mMutex);
      offset = ++mEnds[aStream];
      auto& records = mStreams[aStream];
      records.push_back({ offset, NowMs(), aCall.mBody });
      std::size_t kept = static_cast<std::size_t>(mFaults.mRetention.load());
      while (kept > 0 && records.size() > kept) {
        records.pop_front();
      }
      ++mAppends;
      // Every so many appends, so that a run can be repeated.
      isLost = (mAppends * 37) % 100 <
               static_cast<std::uint64_t>(mFaults.mLosePercent.load());
    }
    if (isLost) {
      ::shutdown(aCall.mSocket, SHUT_RDWR);
    }
    return { 200, Json{ { "offset", offset } }.dump(), {} };
  }

  StandinReply Read(const StandinCall& aCall, const std::string& aStream)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    cxxtools::QueryParams params(aCall.mRequest.qparams());
    std::uint64_t after =
      std::strtoull(params.param("after", "0").c_str(), nullptr, 10);
    const auto& records = mStreams[aStream];
    Json list = Json::array();
    std::uint64_t first =
      records.empty() ? mEnds[aStream] + 1 : records.front().mOffset;
    std::size_t start = after >= first ? after - first + 1 : 0;
    for (std::size_t i = start;
         i < records.size() && list.size() < kRecordsPerRead;
         ++i) {
      list.push_back({ { "offset", records[i].mOffset },
                       { "appendedAtMs", records[i].mAppendedAtMs },
                       { "data", records[i].mData } });
    }
    return { 200,
             Json{ { "first", first },
                   { "end", mEnds[aStream] },
                   { "records", std::move(list) } }
               .dump(-1, ' ', false, Json::error_handler_t::replace),
             {} };
  }

  StandinReply HandleVms(const StandinCall& aCall)
  {
    std::lock_guard<std::mutex> lock(mMutex);
    auto now = std::chrono::steady_clock::now();
    if (aCall.mRequest.method() == "POST") {
      mVms.emplace_back(now, aCall.mBody);
      return { 200, "ok\n", {} };
    }
    auto seen = now - milliseconds(mFaults.mVmLagMs);
    std::string shown = R"({"vms":[]})";
    for (const auto& [time, list] : mVms) {
      if (time <= seen || &list == &mVms.front().second) {
        shown = list;
      }
    }
    return { 200, shown, {} };
  }

  StandinReply HandleFaults(const StandinCall& aCall)
  {
    cxxtools::QueryParams params(aCall.mRequest.qparams());
    std::map<std::string, std::atomic<int>*> switches{
      { "down", &mFaults.mDown },
      { "slowMs", &mFaults.mSlowMs },
      { "losePercent", &mFaults.mLosePercent },
      { "vmLagMs", &mFaults.mVmLagMs },
      { "retention", &mFaults.mRetention }
    };
    for (auto& [name, value] : switches) {
      if (params.has(name)) {
        *value = std::atoi(params.param(name).c_str());
      }
    }
    return { 200, "ok\n", {} };
  }

  std::mutex mMutex;
  std::condition_variable mNever;
  Faults mFaults;
  std::map<std::string, std::deque<Record>> mStreams;
  std::map<std::string, std::uint64_t> mEnds;
  std::vector<std::pair<std::chrono::steady_clock::time_point, std::string>>
    mVms;
  std::uint64_t mAppends = 0;
};

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  auto endpoint =
    argc == 2 ? ParseEndpoint(argv[1]) : tl::make_unexpected(std::string());
  if (!endpoint) {
    std::cerr << "usage: platform-standin IP:PORT\n";
    return 2;
  }
  Platform platform;
  ServeStandin(
    endpoint->mHost, endpoint->mPort, kThreads, [&](const StandinCall& aCall) {
      return platform.Handle(aCall);
    });
  return 0;
}
