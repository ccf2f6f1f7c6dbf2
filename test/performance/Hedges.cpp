/** Compares ways to send a second time to another target, on virtual time:
 * `hedges [seed]`. The decisions are those of HedgePolicy; targets, queue and
 * choice of targets are a model without evidence about targets, so that the
 * figures show what the second sends contribute. The design note
 * docs/design/hedged-requests.md keeps the results. */
#include "../support/Fakes.h"
#include "HedgePolicy.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kTargets = 40;
constexpr std::size_t kSlots = 3;
constexpr double kRate = 1200;
constexpr Duration kRunTime = seconds(120);
constexpr Duration kWarmUp = seconds(10);
constexpr Duration kScanInterval = milliseconds(20);
constexpr Duration kDeadline = seconds(3);
constexpr Duration kLongTime = milliseconds(500);
/** The percentile of all requests of the undisturbed load. */
constexpr Duration kFixedDelay = milliseconds(75);
constexpr double kRetryBurst = 30;

enum class Way
{
  Off,
  FixedPercentile,
  LearnedTimes,
  Learned,
  TiedShare,
  TiedAll
};

struct Scenario
{
  const char* mName;
  bool mHasSlowTargets = false;
  bool mHasPeaks = false;
  bool mHasSlowService = false;
};

struct Job
{
  std::size_t mRoute = 0;
  Duration mWork{ 0 };
  bool mIsLong = false;
  TimePoint mArrivedAt{};
  TimePoint mSentAt{};
  bool mIsDone = false;
  bool mIsOverdue = false;
  bool mIsHedged = false;
  std::size_t mFirst = 0;
};

using JobPointer = std::shared_ptr<Job>;

class Model
{
public:
  Model(const Scenario& aScenario, Way aWay, std::uint64_t aSeed)
    : mScenario(aScenario)
    , mWay(aWay)
  {
    mRandom.seed(aSeed);
  }

  void Run()
  {
    mEnd = kStart + kRunTime;
    mQueue.At(kStart, [this] { Arrive(); });
    mQueue.At(kStart, [this] { Scan(); });
    for (std::size_t i = 0; i < kTargets && mScenario.mHasSlowTargets; ++i) {
      ScheduleSlowPeriod(i);
    }
    mQueue.RunUntil(mEnd + seconds(5));
  }

  void Print(const char* aWay)
  {
    std::sort(mTimes.begin(), mTimes.end());
    auto ms = [&](double aShare) {
      auto i = static_cast<std::size_t>(aShare *
                                        static_cast<double>(mTimes.size() - 1));
      return static_cast<double>(mTimes[i].count()) / 1000;
    };
    auto percent = [](std::size_t aPart, std::size_t aAll) {
      return aAll == 0
               ? 0.0
               : 100 * static_cast<double>(aPart) / static_cast<double>(aAll);
    };
    std::printf(
      "| %s | %s | %.0f | %.0f | %.0f | %.2f | %.1f | %.1f | %.2f |\n",
      mScenario.mName,
      aWay,
      ms(0.5),
      ms(0.99),
      ms(0.999),
      percent(mExtra, mSent),
      percent(mWon, mExtra),
      percent(mLongRepeated, mLong),
      percent(mDelayedByHedges, mSent));
  }

private:
  bool IsDisturbed(Duration aPeriod) const
  {
    return (mQueue.Now() - kStart) % aPeriod >= aPeriod - seconds(3);
  }
  double Uniform() { return (mRandom() + 0.5) / 4294967296.0; }

  void ScheduleSlowPeriod(std::size_t aTarget)
  {
    mQueue.After(DrawExponential(mRandom, seconds(30)), [this, aTarget] {
      mSlowUntil[aTarget] = mQueue.Now() + seconds(1) +
                            DrawExponential(mRandom, milliseconds(1000));
      if (mQueue.Now() < mEnd) {
        ScheduleSlowPeriod(aTarget);
      }
    });
  }

  void Arrive()
  {
    if (mQueue.Now() >= mEnd) {
      return;
    }
    bool isPeak = mScenario.mHasPeaks && IsDisturbed(seconds(20));
    double rate = kRate * (isPeak ? 2.5 : 1);
    mQueue.After(DrawExponential(mRandom, Duration(std::llround(1e6 / rate))),
                 [this] { Arrive(); });
    auto job = std::make_shared<Job>();
    job->mRoute = mRandom() % 2;
    // Of the second route, 4 of 100 requests are long at any target.
    job->mIsLong = job->mRoute == 1 && Uniform() < 0.04;
    job->mWork = job->mIsLong ? kLongTime
                              : milliseconds(2) +
                                  DrawExponential(mRandom, milliseconds(20));
    job->mArrivedAt = mQueue.Now();
    mLong += job->mIsLong ? 1 : 0;
    mWaiting.push_back(job);
    Grant();
  }

  std::size_t FreeTarget(std::size_t aAvoided)
  {
    std::size_t best = kTargets;
    std::size_t start = mRandom() % kTargets;
    for (std::size_t i = 0; i < kTargets; ++i) {
      std::size_t it = (start + i) % kTargets;
      if (it != aAvoided && mBusy[it] < kSlots &&
          (best == kTargets || mBusy[it] < mBusy[best])) {
        best = it;
      }
    }
    return best;
  }

  void Grant()
  {
    while (!mWaiting.empty()) {
      std::size_t target = FreeTarget(kTargets);
      if (target == kTargets) {
        mDelayedByHedges += mRunningHedges > 0 ? 1 : 0;
        return;
      }
      JobPointer job = mWaiting.front();
      mWaiting.pop_front();
      job->mSentAt = mQueue.Now();
      job->mFirst = target;
      mRetryTokens = std::min(mRetryTokens + 0.1, kRetryBurst);
      ++mSent;
      RecordRequest(mTokens, 5);
      RecordShare(mOverdue, mQueue.Now(), 1, 0);
      Start(job, target, false);
      if (mWay == Way::TiedAll ||
          (mWay == Way::TiedShare && mTokens.mTokens >= 1)) {
        SendSecond(job);
      } else {
        mRunning.push_back(job);
      }
    }
  }

  void SendSecond(const JobPointer& aJob)
  {
    std::size_t target = FreeTarget(aJob->mFirst);
    if (target == kTargets) {
      return;
    }
    mTokens.mTokens -= 1;
    mRetryTokens -= 1;
    mWork[aJob->mRoute].mOverdueSinceHedge = 0;
    aJob->mIsHedged = true;
    ++mExtra;
    ++mRunningHedges;
    mLongRepeated += aJob->mIsLong ? 1 : 0;
    Start(aJob, target, true);
  }

  void Start(const JobPointer& aJob, std::size_t aTarget, bool aIsHedge)
  {
    ++mBusy[aTarget];
    Duration time = aJob->mWork;
    if (mQueue.Now() < mSlowUntil[aTarget]) {
      time *= 15;
    }
    if (mScenario.mHasSlowTargets && Uniform() < 0.01) {
      time += milliseconds(400);
    }
    if (mScenario.mHasSlowService && IsDisturbed(seconds(20))) {
      time *= 3;
    }
    auto freed = std::make_shared<bool>(false);
    auto release = [this, aTarget, freed, aIsHedge] {
      if (!*freed) {
        *freed = true;
        --mBusy[aTarget];
        mRunningHedges -= aIsHedge ? 1 : 0;
        Grant();
      }
    };
    mReleases[aJob.get()].push_back(release);
    mQueue.After(time, [this, job = aJob, aIsHedge] {
      if (!job->mIsDone) {
        Finish(job, aIsHedge);
      }
    });
  }

  /** The first complete answer: the other send is cancelled at once. */
  void Finish(const JobPointer& aJob, bool aIsHedge)
  {
    aJob->mIsDone = true;
    mWon += aIsHedge ? 1 : 0;
    Duration age = mQueue.Now() - aJob->mSentAt;
    RecordWork(mWork[aJob->mRoute], age);
    if (aJob->mIsHedged) {
      RecordHedgeResult(mWork[aJob->mRoute], aIsHedge);
    }
    // Long work takes its time at any target: what it adds to the percentiles
    // would hide all else.
    if (aJob->mArrivedAt - kStart > kWarmUp && !aJob->mIsLong) {
      mTimes.push_back(mQueue.Now() - aJob->mArrivedAt);
    }
    auto releases = std::move(mReleases[aJob.get()]);
    mReleases.erase(aJob.get());
    for (const auto& it : releases) {
      it();
    }
  }

  void Scan()
  {
    if (mQueue.Now() < mEnd) {
      mQueue.After(kScanInterval, [this] { Scan(); });
    }
    mRunning.erase(std::remove_if(mRunning.begin(),
                                  mRunning.end(),
                                  [](const JobPointer& aJob) {
                                    return aJob->mIsDone || aJob->mIsHedged;
                                  }),
                   mRunning.end());
    bool isTimed = mWay == Way::FixedPercentile || mWay == Way::LearnedTimes ||
                   mWay == Way::Learned;
    if (!isTimed) {
      return;
    }
    RecordShare(mOverdue, mQueue.Now(), 0, 0);
    for (const JobPointer& it : mRunning) {
      Duration age = mQueue.Now() - it->mSentAt;
      if (mWay == Way::FixedPercentile) {
        if (age >= kFixedDelay && mTokens.mTokens >= 1) {
          SendSecond(it);
        }
        continue;
      }
      RouteWork& work = mWork[it->mRoute];
      Duration left = it->mArrivedAt + kDeadline - mQueue.Now();
      auto cause = FindHedgeCause(work, age, left, false);
      if (!cause) {
        continue;
      }
      if (!it->mIsOverdue) {
        it->mIsOverdue = true;
        ++work.mOverdueSinceHedge;
        RecordShare(mOverdue, mQueue.Now(), 0, 1);
      }
      RouteWork known = work;
      if (mWay == Way::LearnedTimes) {
        known.mWon = 0;
        known.mLost = 0;
      }
      HedgeSituation situation;
      situation.mTimeLeft = left;
      situation.mCause = *cause;
      situation.mIsServiceSlow = IsSlowAsAWhole(mOverdue);
      situation.mQueuedRequests = mWaiting.size();
      situation.mOpenSlots = kTargets * kSlots;
      for (unsigned busy : mBusy) {
        situation.mBusySlots += busy;
      }
      situation.mHedgeTokens = mTokens.mTokens;
      situation.mRetryTokens = mRetryTokens;
      situation.mRetryBurst = static_cast<unsigned>(kRetryBurst);
      if (!CheckHedge(known, situation)) {
        SendSecond(it);
      }
    }
  }

  Scenario mScenario;
  Way mWay;
  VirtualTimeQueue mQueue;
  Random mRandom;
  TimePoint mEnd{};
  std::array<unsigned, kTargets> mBusy{};
  std::array<TimePoint, kTargets> mSlowUntil{};
  std::deque<JobPointer> mWaiting;
  std::deque<JobPointer> mRunning;
  std::map<Job*, std::vector<std::function<void()>>> mReleases;
  std::array<RouteWork, 2> mWork{};
  HedgeTokens mTokens;
  DecayingShare mOverdue;
  double mRetryTokens = kRetryBurst;
  std::vector<Duration> mTimes;
  std::size_t mSent = 0;
  std::size_t mExtra = 0;
  std::size_t mWon = 0;
  std::size_t mLong = 0;
  std::size_t mLongRepeated = 0;
  std::size_t mRunningHedges = 0;
  std::size_t mDelayedByHedges = 0;
};

} // namespace

int
main(int argc, char** argv)
{
  std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::puts("| load | way | short requests: p50 ms | p99 | p99.9 | extra sends "
            "% | of these "
            "answered first % | long work repeated % | waits while hedges ran "
            "% |\n|---|---|---|---|---|---|---|---|---|");
  for (const Scenario& scenario :
       { Scenario{ "slow targets", true },
         Scenario{ "healthy" },
         Scenario{ "slow targets, peaks", true, true },
         Scenario{ "slow service", false, false, true } }) {
    std::pair<Way, const char*> ways[] = {
      { Way::Off, "off" },
      { Way::FixedPercentile, "fixed percentile" },
      { Way::LearnedTimes, "learned times only" },
      { Way::Learned, "learned times and results" },
      { Way::TiedShare, "tied, 5 of 100" },
      { Way::TiedAll, "tied, all" }
    };
    for (const auto& [way, name] : ways) {
      Model model(scenario, way, seed);
      model.Run();
      model.Print(name);
    }
  }
  return 0;
}
