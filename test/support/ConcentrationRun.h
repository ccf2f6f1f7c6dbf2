#ifndef VANILLASCALE_TEST_CONCENTRATIONRUN_H
#define VANILLASCALE_TEST_CONCENTRATIONRUN_H

#include "Fakes.h"

#include "Scheduler.h"

#include <array>
#include <set>

namespace vanillascale::fake {

/** The load and the faults of one run. The defaults replay a quiet day of the
 * users. */
struct ConcentrationScenario
{
  bool mConcentrate = true;
  std::size_t mTargets = 210;
  std::size_t mNodes = 110;
  /** The targets of the first zone; 0 for a third of all. */
  std::size_t mFirstZoneTargets = 0;
  /** Requests per second. */
  double mRate = 320;
  /** The factor of the rate between mBurstFrom and mBurstUntil. */
  double mBurstFactor = 1;
  Duration mBurstFrom{ 0 };
  Duration mBurstUntil{ 0 };
  /** In percent of all requests. */
  std::size_t mIdempotentPercent = 67;
  /** Gray targets at any time, at most, in percent. */
  std::size_t mMaxGrayPercent = 33;
  /** The mean time between two gray periods of a target. */
  Duration mHealthyTime = seconds(11);
  /** The share of the requests that fail anywhere from mErrorsFrom on. */
  double mErrorShare = 0;
  Duration mErrorsFrom{ 0 };
  /** When the half of the targets with the latest arrivals fails for good; 0
   * for never. */
  Duration mHalfLostAt{ 0 };
  /** When mNewTargets are added; 0 for never. */
  Duration mAddedAt{ 0 };
  std::size_t mNewTargets = 0;
  Duration mTime = seconds(60);
};

/** What a run counted after its first 5 s. */
struct ConcentrationFigures
{
  std::uint64_t mRequests = 0;
  std::uint64_t mRuns = 0;
  std::uint64_t mFailedRuns = 0;
  /** Requests without an answer: refused, failed at their last attempt or not
   * to be repeated. */
  std::uint64_t mLost = 0;
  std::uint64_t mLostOnce = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mOtherZoneRuns = 0;
  std::uint64_t mNewPairs = 0;
  /** Runs at targets whose slots were all in use. */
  std::uint64_t mQueuedAtTarget = 0;
  Duration mWaited{ 0 };
  Duration mMaxWait{ 0 };
  Duration mAnswerTime{ 0 };
  std::uint64_t mAnswers = 0;
  std::map<std::size_t, std::uint64_t> mRunsByTarget;
  std::array<std::uint64_t, 3> mRunsByZone{};
  /** The longest time that a healthy target was without an arrival while more
   * than a tenth of the requests were not served. */
  Duration mMaxIdleAtErrors{ 0 };
  /** The longest time from the appearance of a new target to its first arrival.
   */
  Duration mMaxFirstArrival{ 0 };

  double FailedShare() const { return Ratio(mFailedRuns, mRuns); }
  double LostShare() const { return Ratio(mLost, mRequests); }
  double OtherZoneShare() const { return Ratio(mOtherZoneRuns, mRuns); }
  static double Ratio(std::uint64_t aPart, std::uint64_t aWhole)
  {
    return static_cast<double>(aPart) /
           static_cast<double>(std::max<std::uint64_t>(aWhole, 1));
  }
};

/** Runs one scheduler against simulated proxies and targets. */
class ConcentrationRun
{
public:
  static constexpr Duration kCountFrom = seconds(5);
  static constexpr Duration kZoneLatency = milliseconds(3);
  static constexpr Duration kWorkTime = milliseconds(150);
  static constexpr Duration kConnectionIdleTime = seconds(10);
  static constexpr unsigned kGrayFailPercent = 85;
  static constexpr unsigned kSlots = 2;

  ConcentrationRun(const ConcentrationScenario& aScenario, std::uint64_t aSeed)
    : mScenario(aScenario)
    , mRandom(aSeed)
  {
    mSettings.mName = ServiceName("orders");
    mSettings.mVmGroup = "orders";
    mSettings.mFloorPercent = 70;
    mSettings.mRetryPercent = 18;
    mSettings.mRetryBurst = 28;
    mSettings.mConcentrate = aScenario.mConcentrate;
    mScheduler = SchedulerState::Make(
      mSettings.mName, NodeId("scheduler"), 1, mQueue.Now());
    AddTargets(aScenario.mTargets);
  }

  ConcentrationFigures Run()
  {
    ScheduleRequest();
    ScheduleTick();
    ScheduleSample();
    if (mScenario.mHalfLostAt > Duration(0)) {
      mQueue.After(mScenario.mHalfLostAt, [this] { LoseHalf(); });
    }
    if (mScenario.mAddedAt > Duration(0)) {
      mQueue.After(mScenario.mAddedAt,
                   [this] { AddTargets(mScenario.mNewTargets); });
    }
    mQueue.RunUntil(kStart + mScenario.mTime);
    for (std::size_t i = mScenario.mTargets; i < mTargets.size(); ++i) {
      const Target& it = mTargets[i];
      TimePoint first = it.mHasArrivals ? it.mFirstArrival : mQueue.Now();
      mFigures.mMaxFirstArrival =
        std::max(mFigures.mMaxFirstArrival, first - it.mAddedAt);
    }
    return mFigures;
  }

  const SchedulerState& Scheduler() const { return mScheduler; }

private:
  struct Target
  {
    std::size_t mZone = 0;
    TimePoint mGrayUntil{};
    bool mIsLost = false;
    unsigned mBusy = 0;
    TimePoint mAddedAt{};
    bool mHasArrivals = false;
    TimePoint mFirstArrival{};
    TimePoint mLastArrival{};
  };
  struct Request
  {
    std::size_t mNode = 0;
    bool mIsIdempotent = true;
    unsigned mAttempts = 0;
    TimePoint mArrivedAt{};
    TimePoint mAskedAt{};
    std::string mAvoided;
  };

  static ZoneName ZoneAt(std::size_t aIndex)
  {
    return ZoneName("zone-" + std::to_string(aIndex % 3));
  }
  bool IsCounted() const { return mQueue.Now() >= kStart + kCountFrom; }
  bool Draw(double aShare) { return mRandom() < aShare * 4294967296.0; }

  void AddTargets(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      Target target;
      std::size_t n = mTargets.size();
      target.mZone = n % 3;
      if (mScenario.mFirstZoneTargets > 0) {
        target.mZone = n < mScenario.mFirstZoneTargets ? 0 : 1 + n % 2;
      }
      target.mAddedAt = mQueue.Now();
      target.mLastArrival = mQueue.Now();
      Vm vm;
      vm.mGroup = "orders";
      vm.mAddress = "t" + std::to_string(n);
      vm.mZone = ZoneAt(target.mZone);
      vm.mSlots = kSlots;
      mVms.push_back(vm);
      mTargets.push_back(target);
      ScheduleGray(n);
    }
    UpdatePool(mScheduler.mPool, mQueue.Now(), "orders", mVms);
  }

  void ScheduleGray(std::size_t aTarget)
  {
    mQueue.After(DrawExponential(mRandom, mScenario.mHealthyTime), [=] {
      std::size_t gray = 0;
      for (const Target& it : mTargets) {
        gray += mQueue.Now() < it.mGrayUntil ? 1 : 0;
      }
      if (100 * (gray + 1) <= mScenario.mMaxGrayPercent * mTargets.size()) {
        auto length = milliseconds(2000 + RandomBelow(mRandom, 7000));
        mTargets[aTarget].mGrayUntil = mQueue.Now() + length;
      }
      TimePoint until = std::max(mQueue.Now(), mTargets[aTarget].mGrayUntil);
      mQueue.At(until, [=] { ScheduleGray(aTarget); });
    });
  }

  /** Of the targets with the latest arrivals, as many as are in use, every
   * second one fails from now on. */
  void LoseHalf()
  {
    std::vector<std::size_t> order(mTargets.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
      order[i] = i;
    }
    std::sort(order.begin(),
              order.end(),
              [this](std::size_t aLeft, std::size_t aRight) {
                return mTargets[aLeft].mLastArrival >
                       mTargets[aRight].mLastArrival;
              });
    for (std::size_t i = 0; i < 40 && i < order.size(); i += 2) {
      mTargets[order[i]].mIsLost = true;
    }
  }

  void ScheduleTick()
  {
    Effects effects;
    SchedulerTick(mScheduler, mQueue.Now(), mSettings, effects);
    Handle(effects);
    mQueue.After(milliseconds(10), [this] { ScheduleTick(); });
  }

  /** Every 100 ms, measures the idle times if more than a tenth of the requests
   * of the last two seconds were not served. */
  void ScheduleSample()
  {
    mSamples.emplace_back(mSubmitted, mFailures);
    if (mSamples.size() > 20) {
      auto submitted = static_cast<double>(mSubmitted - mSamples.front().first);
      auto failed = static_cast<double>(mFailures - mSamples.front().second);
      mSamples.pop_front();
      bool isSettled =
        mQueue.Now() >= kStart + mScenario.mErrorsFrom + seconds(4);
      for (const Target& it : mTargets) {
        bool isHealthy =
          !it.mIsLost && mQueue.Now() >= it.mGrayUntil + seconds(2);
        if (isSettled && isHealthy && failed > 0.1 * submitted) {
          mFigures.mMaxIdleAtErrors =
            std::max(mFigures.mMaxIdleAtErrors, mQueue.Now() - it.mLastArrival);
        }
      }
    }
    mQueue.After(milliseconds(100), [this] { ScheduleSample(); });
  }

  void ScheduleRequest()
  {
    Duration at = mQueue.Now() - kStart;
    bool isBurst = at >= mScenario.mBurstFrom && at < mScenario.mBurstUntil;
    double rate = mScenario.mRate * (isBurst ? mScenario.mBurstFactor : 1);
    mQueue.After(DrawExponential(mRandom, Duration(std::llround(1e6 / rate))),
                 [this] {
                   Request request;
                   request.mNode = RandomBelow(mRandom, mScenario.mNodes);
                   request.mIsIdempotent =
                     RandomBelow(mRandom, 100) < mScenario.mIdempotentPercent;
                   request.mArrivedAt = mQueue.Now();
                   ++mSubmitted;
                   mFigures.mRequests += IsCounted() ? 1 : 0;
                   Ask(request);
                   ScheduleRequest();
                 });
  }

  void Ask(Request aRequest)
  {
    LeaseRequest request;
    request.mService = mSettings.mName;
    request.mRequest = ++mLastId;
    request.mDeadline =
      milliseconds(1500) - (mQueue.Now() - aRequest.mArrivedAt);
    request.mGoal = milliseconds(1200);
    request.mFingerprint = request.mRequest;
    request.mIsIdempotent = aRequest.mIsIdempotent;
    request.mIsRetry = aRequest.mAttempts > 0;
    request.mAvoidedTarget = TargetId(aRequest.mAvoided);
    aRequest.mAskedAt = mQueue.Now();
    std::size_t node = aRequest.mNode;
    mRequests[request.mRequest] = std::move(aRequest);
    Effects effects;
    SchedulerReceive(mScheduler,
                     mQueue.Now(),
                     mSettings,
                     NodeId("n" + std::to_string(node)),
                     ZoneAt(node),
                     request,
                     effects);
    Handle(effects);
  }

  void Handle(const Effects& aEffects)
  {
    for (const Effect& it : aEffects) {
      const auto* send = std::get_if<SendToPeer>(&it);
      if (!send) {
        continue;
      }
      if (const auto* grant = std::get_if<LeaseGrant>(&send->mMessage)) {
        Run(*grant);
      } else if (const auto* no = std::get_if<LeaseRefusal>(&send->mMessage)) {
        mRequests.erase(no->mRequest);
        ++mFailures;
        mFigures.mLost += IsCounted() ? 1 : 0;
        mFigures.mRefused += IsCounted() ? 1 : 0;
      }
    }
  }

  void CountRun(const Request& aRequest, std::size_t aTarget)
  {
    Target& target = mTargets[aTarget];
    target.mLastArrival = mQueue.Now();
    if (!target.mHasArrivals) {
      target.mHasArrivals = true;
      target.mFirstArrival = mQueue.Now();
    }
    TimePoint& met = mPairs[{ aRequest.mNode, aTarget }];
    bool isNewPair =
      met == TimePoint{} || mQueue.Now() - met > kConnectionIdleTime;
    met = mQueue.Now();
    if (!IsCounted()) {
      return;
    }
    ++mFigures.mRuns;
    mFigures.mNewPairs += isNewPair ? 1 : 0;
    ++mFigures.mRunsByTarget[aTarget];
    ++mFigures.mRunsByZone.at(target.mZone);
    mFigures.mOtherZoneRuns += target.mZone != aRequest.mNode % 3 ? 1 : 0;
    mFigures.mQueuedAtTarget += target.mBusy > kSlots ? 1 : 0;
    Duration wait = mQueue.Now() - aRequest.mAskedAt;
    mFigures.mWaited += wait;
    mFigures.mMaxWait = std::max(mFigures.mMaxWait, wait);
  }

  void Run(const LeaseGrant& aGrant)
  {
    std::size_t i = std::stoul(aGrant.mTarget.mValue.substr(1));
    Request request = mRequests.at(aGrant.mRequest);
    mRequests.erase(aGrant.mRequest);
    Target& target = mTargets[i];
    ++target.mBusy;
    CountRun(request, i);
    bool isGray = mQueue.Now() < target.mGrayUntil;
    bool hasErrors = mQueue.Now() >= kStart + mScenario.mErrorsFrom;
    bool isFailure = target.mIsLost ||
                     (isGray && RandomBelow(mRandom, 100) < kGrayFailPercent) ||
                     (hasErrors && Draw(mScenario.mErrorShare));
    Duration time =
      isFailure ? milliseconds(3) : DrawExponential(mRandom, kWorkTime);
    time += target.mZone != request.mNode % 3 ? 2 * kZoneLatency : Duration(0);
    mFigures.mFailedRuns += isFailure && IsCounted() ? 1 : 0;
    LeaseReport report;
    report.mService = mSettings.mName;
    report.mLease = aGrant.mLease;
    report.mOutcome =
      isFailure ? TargetOutcome::Broken : TargetOutcome::Answered;
    report.mLatency = time;
    request.mAvoided = aGrant.mTarget.mValue;
    mQueue.After(time, [=] { End(request, report, i, isFailure); });
  }

  void End(Request aRequest,
           const LeaseReport& aReport,
           std::size_t aTarget,
           bool aIsFailure)
  {
    --mTargets[aTarget].mBusy;
    Effects effects;
    SchedulerReceive(mScheduler,
                     mQueue.Now(),
                     mSettings,
                     NodeId("n" + std::to_string(aRequest.mNode)),
                     aReport,
                     effects);
    Handle(effects);
    if (!aIsFailure) {
      mFigures.mAnswers += IsCounted() ? 1 : 0;
      mFigures.mAnswerTime +=
        IsCounted() ? mQueue.Now() - aRequest.mArrivedAt : Duration(0);
      return;
    }
    ++aRequest.mAttempts;
    if (aRequest.mIsIdempotent && aRequest.mAttempts < 3) {
      Ask(aRequest);
      return;
    }
    ++mFailures;
    mFigures.mLost += IsCounted() ? 1 : 0;
    mFigures.mLostOnce += IsCounted() && !aRequest.mIsIdempotent ? 1 : 0;
  }

  ConcentrationScenario mScenario;
  Random mRandom;
  VirtualTimeQueue mQueue;
  Service mSettings;
  std::vector<Vm> mVms;
  std::vector<Target> mTargets;
  SchedulerState mScheduler;
  std::unordered_map<RequestId, Request> mRequests;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> mPairs;
  std::deque<std::pair<std::uint64_t, std::uint64_t>> mSamples;
  ConcentrationFigures mFigures;
  RequestId mLastId = 0;
  std::uint64_t mSubmitted = 0;
  std::uint64_t mFailures = 0;
};

} // namespace vanillascale::fake

#endif
