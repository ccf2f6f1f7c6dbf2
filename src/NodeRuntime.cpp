#include "NodeRuntime.h"

#include "CallerServer.h"
#include "EventLog.h"
#include "EventNumbers.h"
#include "Hash.h"
#include "Node.h"
#include "NodeReport.h"
#include "PeerLinks.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <limits>
#include <sys/resource.h>
#include <unistd.h>

namespace vanillascale {

namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusUnavailable = 503;
/** How often kept connections are looked at. */
constexpr Duration kSweepInterval = milliseconds(500);
/** What the kernel gets to send the last answers. */
constexpr Duration kFlushTime = milliseconds(100);
/** Left of the time to stop for the process's own end. */
constexpr Duration kExitMargin = milliseconds(500);
/** A connection without a request for so long has no request on its way, as far
 * as round trips go, and is closed when the node leaves. */
constexpr Duration kIdleBeforeClose = milliseconds(300);
/** A timer that is later than this is logged: it is a tenth of the time in
 * which a configuration has to be in force. */
constexpr Duration kLoggedTimerLag = milliseconds(200);
/** How often it is logged what limits did to callers. */
constexpr Duration kLimitLogInterval = std::chrono::seconds(1);
/** Admin pages are read by few, and their requests have no body to speak of. */
constexpr std::size_t kAdminConnections = 32;
constexpr std::size_t kAdminBodyBytes = 64UL * 1024;

TimePoint
Now()
{
  auto now = SteadyClock::now().time_since_epoch();
  return TimePoint(std::chrono::duration_cast<Duration>(now));
}

std::string
FormatEndpoint(const Endpoint& aEndpoint)
{
  return aEndpoint.mHost + ":" + std::to_string(aEndpoint.mPort);
}

/** Returns the settings with the descriptors that the process can have. */
Settings
WithDescriptors(Settings aSettings)
{
  rlimit limit{};
  bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                 limit.rlim_cur < std::numeric_limits<unsigned>::max();
  unsigned most = isKnown ? static_cast<unsigned>(limit.rlim_cur)
                          : std::numeric_limits<unsigned>::max();
  aSettings.mMaxFds =
    aSettings.mMaxFds == 0 ? most : std::min(aSettings.mMaxFds, most);
  return aSettings;
}

/** Whether limits did anything to callers between two counts. */
bool
HaveActed(const HttpServerCounters& aFrom, const HttpServerCounters& aTo)
{
  return aTo.mWaited != aFrom.mWaited ||
         aTo.mRefusedForRoom != aFrom.mRefusedForRoom ||
         aTo.mClosedForRoom != aFrom.mClosedForRoom ||
         aTo.mTooSlow != aFrom.mTooSlow ||
         aTo.mSlowReaders != aFrom.mSlowReaders ||
         aTo.mOverConnections != aFrom.mOverConnections;
}

NodeOptions
IdentityOf(const Settings& aSettings, const PlatformAdapter& aAdapter)
{
  NodeOptions identity;
  identity.mSelf = NodeId(FormatEndpoint(aSettings.mPeer));
  identity.mZone = aSettings.mZone;
  identity.mEnvironment = aSettings.mEnvironment;
  identity.mVmGroup = aSettings.mVmGroup;
  // The time of the start in ms: a later process has a higher one.
  auto wall = std::chrono::system_clock::now().time_since_epoch();
  identity.mIncarnation = static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(wall).count());
  identity.mSeed = Hash64(identity.mSelf.mValue, identity.mIncarnation);
  identity.mSource = aAdapter.mConfigSource;
  identity.mIsFirstStart = aSettings.mIsFirstStart;
  identity.mCorePercent = aSettings.mCorePercent;
  identity.mChoosesLocally = aSettings.mChoosesLocally;
  identity.mStopWithin = aAdapter.mStopWithin.value_or(aSettings.mStopWithin);
  for (const Endpoint& it : aSettings.mSeeds) {
    identity.mSeeds.emplace_back(
      FormatEndpoint({ it.mHost, aSettings.mPeer.mPort }));
  }
  return identity;
}

} // namespace

struct NodeRuntime::Impl
{
  boost::asio::io_context mLoop{ 1 };
  Settings mSettings;
  PlatformAdapter mAdapter;
  Reload mReload;
  NodeState mState;
  EventLog mLog;
  boost::asio::signal_set mSignals;
  boost::asio::steady_timer mTickTimer;
  boost::asio::steady_timer mSweepTimer;
  PlatformPort mPlatform;
  /** What is held for callers, targets and peers together. */
  std::shared_ptr<ByteBudget> mBudget;
  std::unique_ptr<PeerLinks> mLinks;
  std::unique_ptr<CallerServer> mCallers;
  std::vector<std::unique_ptr<HttpServer>> mAdminServers;
  /** Events that effects have caused, in order: effects of one event are all
   * carried out before the next event. */
  std::vector<Event> mQueued;
  bool mIsStepping = false;
  bool mIsStopping = false;
  bool mIsStopped = false;
  std::uint64_t mLimitsRevision = 0;
  /** The messages to peers whose loss has been logged. */
  std::uint64_t mLoggedDrops = 0;
  HttpServerCounters mLoggedCallers;
  TimePoint mCallersLoggedAt{};
  TimePoint mStoppedAt{};
  RuntimeCounters mCounters;

  Impl(const Settings& aSettings, PlatformAdapter aAdapter, Reload aReload)
    : mSettings(WithDescriptors(aSettings))
    , mAdapter(std::move(aAdapter))
    , mReload(std::move(aReload))
    , mState(NodeState::Make(IdentityOf(aSettings, mAdapter), Now()))
    , mLog(EventLog::Make({ mState.mOptions.mSelf.mValue,
                            aSettings.mZone.mValue,
                            mState.mOptions.mIncarnation },
                          STDOUT_FILENO))
    , mSignals(mLoop, SIGTERM, SIGINT, SIGHUP)
    , mTickTimer(mLoop)
    , mSweepTimer(mLoop)
    , mBudget(ByteBudget::Make(BudgetOfMachine(aSettings.mMemoryMb)))
  {
  }

  void Write(int aNumber, std::string aText)
  {
    mLog.Write(Now(), { aNumber, std::move(aText) });
  }

  void Post(Event aEvent)
  {
    mQueued.push_back(std::move(aEvent));
    if (mIsStepping) {
      return;
    }
    mIsStepping = true;
    for (std::size_t i = 0; i < mQueued.size(); ++i) {
      Event event = std::move(mQueued[i]);
      for (Effect& it : Step(mState, Now(), event)) {
        std::visit([this](auto& aEffect) { Run(aEffect); }, it);
      }
    }
    mQueued.clear();
    mIsStepping = false;
    TakeLimits();
    // A request that has come in shortens the pause until the next tick.
    if (IsBusy(mState) && mTickTimer.expiry() > NextBusyTick()) {
      ArmTick();
    }
  }

  static SteadyClock::time_point NextBusyTick()
  {
    return SteadyClock::now() + kTickInterval;
  }

  void Run(SendToPeer& aEffect) { mLinks->Send(aEffect.mTo, aEffect.mMessage); }
  void Run(SendToTarget& aEffect) { mCallers->Run(aEffect); }
  void Run(AnswerCaller& aEffect) { mCallers->Run(aEffect); }
  void Run(CancelAtTarget& aEffect) { mCallers->Run(aEffect); }
  void Run(AppendLog& aEffect) { CallPlatform(std::move(aEffect)); }
  void Run(ReadLog& aEffect) { CallPlatform(std::move(aEffect)); }
  void Run(ReadVmList& aEffect) { CallPlatform(aEffect); }
  void Run(ReadFeed& aEffect) { CallPlatform(std::move(aEffect)); }
  void Run(ReadContact& aEffect) { CallPlatform(aEffect); }
  void Run(WriteContact& aEffect) { CallPlatform(std::move(aEffect)); }
  void Run(WriteEvent& aEffect) { mLog.Write(Now(), aEffect); }
  void Run(Stop& /*aEffect*/)
  {
    mIsStopped = true;
    mStoppedAt = Now();
  }

  void CallPlatform(PlatformCall aCall)
  {
    ++mCounters.mPlatformCalls[aCall.index()];
    mPlatform.mCall(std::move(aCall));
  }

  /** Limits for callers may come with a new document. */
  void TakeLimits()
  {
    const ConfigState& config = mState.mConfig.mConfig;
    const Document& document = config.mDocument;
    if (document.mRevision == mLimitsRevision || !document.mLimits) {
      return;
    }
    mLimitsRevision = document.mRevision;
    mCallers->SetLimits(*config.mDocument.mLimits);
  }

  void ArmTick()
  {
    mTickTimer.expires_after(IsBusy(mState) ? kTickInterval
                                            : kIdleTickInterval);
    auto due = mTickTimer.expiry();
    mTickTimer.async_wait([this, due](const error_code& aError) {
      if (aError) {
        return;
      }
      auto lag = SteadyClock::now() - due;
      mCounters.mMaxTimerLag = std::max(
        mCounters.mMaxTimerLag, std::chrono::duration_cast<Duration>(lag));
      LogDelays(std::chrono::duration_cast<Duration>(lag));
      // The next pause counts from here: work that is late is not made up for.
      mTickTimer.expires_after(std::chrono::hours(1));
      Post(Tick{});
      mLog.Flush(Now());
      StopIfDone();
      ArmTick();
    });
  }

  /** Logs a late timer, and messages to peers that were lost since the last
   * call. */
  void LogDelays(Duration aTimerLag)
  {
    if (aTimerLag >= kLoggedTimerLag) {
      Write(kEventLoopDelayed,
            "lag_ms=" + std::to_string(aTimerLag / milliseconds(1)));
    }
    std::uint64_t dropped = mLinks->Counters().mDropped;
    if (dropped > mLoggedDrops) {
      Write(kEventPeerMessagesDropped,
            "messages=" + std::to_string(dropped - mLoggedDrops));
      mLoggedDrops = dropped;
    }
    LogLimitedCallers();
  }

  /** Logs what limits did to callers since the last line. */
  void LogLimitedCallers()
  {
    const HttpServerCounters& now = mCallers->Counters();
    const HttpServerCounters& last = mLoggedCallers;
    if (Now() - mCallersLoggedAt < kLimitLogInterval || !HaveActed(last, now)) {
      return;
    }
    auto add = [](const char* aName, std::uint64_t aFrom, std::uint64_t aTo) {
      return " " + std::string(aName) + "=" + std::to_string(aTo - aFrom);
    };
    Write(
      kEventCallersLimited,
      "held_bytes=" + std::to_string(mBudget->Held()) +
        " budget_bytes=" + std::to_string(mBudget->Total()) +
        add("waited", last.mWaited, now.mWaited) +
        add("refused_no_memory", last.mRefusedForRoom, now.mRefusedForRoom) +
        add("closed_no_memory", last.mClosedForRoom, now.mClosedForRoom) +
        add("request_too_slow", last.mTooSlow, now.mTooSlow) +
        add("read_too_slowly", last.mSlowReaders, now.mSlowReaders) +
        add(
          "too_many_connections", last.mOverConnections, now.mOverConnections));
    mCallersLoggedAt = Now();
    mLoggedCallers = now;
  }

  void ArmSweep()
  {
    mSweepTimer.expires_after(kSweepInterval);
    mSweepTimer.async_wait([this](const error_code& aError) {
      if (!aError) {
        mCallers->CloseIdleTargets();
        ArmSweep();
      }
    });
  }

  void ArmSignals()
  {
    mSignals.async_wait([this](const error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        ReloadSettings();
      } else if (!mIsStopping) {
        mIsStopping = true;
        mCallers->BeginClosing();
        Post(ShutdownRequested{});
        ArmTick();
      }
      ArmSignals();
    });
  }

  /** Addresses are kept: they can't change while requests are in progress. */
  void ReloadSettings()
  {
    auto settings = mReload();
    if (!settings) {
      Write(kEventReloaded,
            "outcome=refused reason=\"" + settings.error() + "\"");
      return;
    }
    mSettings = *settings;
    Write(kEventReloaded, "outcome=done");
  }

  /** Whether the process would be ended in a moment if it did not end itself.
   */
  bool IsAtEnd() const
  {
    Duration stopWithin = mState.mOptions.mStopWithin;
    return mState.mIsStopping && stopWithin > Duration(0) &&
           Now() - mState.mStoppingSince >= stopWithin - kExitMargin;
  }

  /** Ends the loop when the core has stopped and its answers are on their way.
   */
  void StopIfDone()
  {
    if (!mIsStopped) {
      if (IsAtEnd()) {
        mLoop.stop();
      }
      return;
    }
    // Callers go on using the connections that they have: each is closed when
    // it has been without a request for a while.
    mCallers->CloseIdleCallers(kIdleBeforeClose);
    Duration age = Now() - mStoppedAt;
    bool isQuiet =
      mCallers->CountUnwritten() == 0 &&
      (mCallers->CountConnections() == 0 || age >= kIdleBeforeClose * 2);
    if ((isQuiet && age >= kFlushTime) || IsAtEnd()) {
      Write(kEventStopped, "");
      mLog.Flush(Now());
      mLoop.stop();
    }
  }

  HttpResponse AdminPage(const std::string& aTarget)
  {
    HttpResponse response;
    response.mStatus = kStatusOk;
    std::string path = aTarget.substr(0, aTarget.find('?'));
    if (path == "/live") {
      response.mBody = "live\n";
    } else if (path == "/ready") {
      bool isReady = IsReady(mState, Now());
      response.mStatus = isReady ? kStatusOk : kStatusUnavailable;
      response.mBody = isReady ? "ready\n" : "not ready\n";
    } else if (path == "/status") {
      response.mBody = ReportStatus(mState, Now()) + "\n";
    } else if (path == "/metrics") {
      response.mBody = Metrics();
    } else {
      response.mStatus = kStatusNotFound;
    }
    return response;
  }

  std::string Metrics()
  {
    mCounters.mOpenRequests = mCallers->CountOpen();
    mCounters.mCallerConnections = mCallers->CountConnections();
    mCounters.mBudgetBytes = mBudget->Total();
    mCounters.mHeldBytes = mBudget->Held();
    mCounters.mMostHeldBytes = mBudget->MostHeld();
    mCounters.mCallers = mCallers->Counters();
    mCounters.mTargetConnects = mCallers->Targets().CountConnects();
    mCounters.mIdleTargetConnections = mCallers->Targets().CountKept();
    mCounters.mWrittenLogLines = mLog.WrittenLines();
    mCounters.mDroppedLogLines = mLog.DroppedLines();
    return ReportMetrics(mState, mLinks->Counters(), mCounters, Now());
  }

  tl::expected<void, std::string> ServeAdmin(const Endpoint& aEndpoint)
  {
    HttpServerHooks hooks;
    std::size_t index = mAdminServers.size();
    hooks.mReceive =
      [this, index](RequestId aId,
                    const std::shared_ptr<const HttpRequest>& aRequest) {
        mAdminServers[index]->Answer(aId, AdminPage(aRequest->mTarget));
      };
    hooks.mGone = [](RequestId) {};
    hooks.mRefuse = [](HttpProgress) {
      HttpResponse response;
      response.mStatus = 400;
      response.mKeepsAlive = false;
      return response;
    };
    HttpServerLimits limits;
    limits.mMessage.mBodyBytes = kAdminBodyBytes;
    limits.mConnections = kAdminConnections;
    auto server = HttpServer::Make(mLoop, aEndpoint, limits, std::move(hooks));
    if (!server) {
      return tl::make_unexpected(server.error());
    }
    mAdminServers.push_back(std::move(*server));
    return {};
  }

  tl::expected<void, std::string> Open()
  {
    mPlatform =
      mAdapter.mOpen(mLoop, mSettings.mPlatform, [this](Event aEvent) {
        Post(std::move(aEvent));
      });
    auto links = PeerLinks::Make(
      mLoop,
      mSettings.mPeer,
      mSettings.mEnvironment,
      [this](Envelope aEnvelope) {
        Post(PeerMessageReceived{ std::move(aEnvelope) });
      },
      mBudget);
    if (!links) {
      return tl::make_unexpected(links.error());
    }
    mLinks = std::move(*links);
    CallerHooks hooks;
    hooks.mPost = [this](Event aEvent) { Post(std::move(aEvent)); };
    hooks.mNameRequest = [this](RequestId aRequest) {
      const NodeOptions& identity = mState.mOptions;
      return identity.mSelf.mValue + "/" +
             std::to_string(identity.mIncarnation) + "/" +
             std::to_string(aRequest);
    };
    hooks.mTimeUntil = [](TimePoint aTime) { return aTime - Now(); };
    auto callers =
      CallerServer::Make(mLoop, mSettings, mAdapter, std::move(hooks), mBudget);
    if (!callers) {
      return tl::make_unexpected(callers.error());
    }
    mCallers = std::move(*callers);
    auto admin = ServeAdmin(mSettings.mAdmin);
    if (admin && mSettings.mReady.mPort != 0) {
      admin = ServeAdmin(mSettings.mReady);
    }
    return admin;
  }

  void Start()
  {
    Write(kEventStarted,
          "environment=" + mSettings.mEnvironment +
            " listen=" + FormatEndpoint(mSettings.mListen) +
            " admin=" + FormatEndpoint(mSettings.mAdmin) +
            " platform=" + FormatEndpoint(mSettings.mPlatform) + " seeds=" +
            std::to_string(mSettings.mSeeds.size()) + " stop_within_ms=" +
            std::to_string(mState.mOptions.mStopWithin / milliseconds(1)) +
            " placement=" + (mSettings.mChoosesLocally ? "alone" : "lease") +
            " core_percent=" + std::to_string(mSettings.mCorePercent) +
            " max_callers=" + std::to_string(mSettings.mMaxCallers) +
            " max_fds=" + std::to_string(mSettings.mMaxFds) +
            " budget_bytes=" + std::to_string(mBudget->Total()));
    ArmSignals();
    ArmSweep();
    Post(Tick{});
    ArmTick();
  }
};

NodeRuntime::NodeRuntime(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

NodeRuntime::~NodeRuntime() = default;

tl::expected<std::unique_ptr<NodeRuntime>, std::string>
NodeRuntime::Make(const Settings& aSettings,
                  PlatformAdapter aAdapter,
                  Reload aReload)
{
  auto impl =
    std::make_unique<Impl>(aSettings, std::move(aAdapter), std::move(aReload));
  auto opened = impl->Open();
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  return std::unique_ptr<NodeRuntime>(new NodeRuntime(std::move(impl)));
}

void
NodeRuntime::Run()
{
  mImpl->Start();
  mImpl->mLoop.run();
}

} // namespace vanillascale
