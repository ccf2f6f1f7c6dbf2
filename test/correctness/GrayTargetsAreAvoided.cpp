#include "Random.h"
#include "Scheduler.h"
#include "TargetChoice.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kTargets = 20;
constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

/** The load of the users' calm day: 70 requests a second before 20 targets, of
 * which each turns gray for some seconds now and then and then fails 85% at
 * once. */
class GrayTargetSimulation
{
public:
  explicit GrayTargetSimulation(std::uint64_t aSeed)
  {
    mRandom.seed(aSeed);
    for (std::size_t i = 0; i < kTargets; ++i) {
      Vm vm;
      vm.mGroup = "ledger";
      vm.mAddress = "t" + std::to_string(i);
      vm.mZone = ZoneName("z");
      vm.mSlots = 3;
      mVms.push_back(vm);
    }
    UpdatePool(mPool, kStart, "ledger", mVms);
    mGrayUntil.resize(kTargets, kStart);
    mNextGrayAt.resize(kTargets);
    for (auto& it : mNextGrayAt) {
      it = kStart + RandomDuration(seconds(9));
    }
  }

  /** Plays 60 s; returns the share of unsafe requests that failed. */
  double Simulate(bool aIsTrustKept)
  {
    std::size_t unsafe = 0;
    std::size_t failed = 0;
    constexpr Duration kPace = std::chrono::microseconds(14300);
    std::size_t n = 0;
    for (TimePoint now = kStart; now < kStart + seconds(60); now += kPace) {
      UpdateGrayPeriods(now);
      bool isUnsafe = n++ % 3 != 0;
      SlotDemand demand;
      demand.mNode = NodeId("n");
      demand.mZone = ZoneName("z");
      demand.mMayProbe = !isUnsafe;
      demand.mNeedsUnpenalized = isUnsafe && HasUnpenalizedTarget(mPool, now);
      auto target = PickTarget(mPool, now, demand);
      CHECK(target.has_value());
      PooledTarget& picked = mPool.mTargets[*target];
      picked.mLastRequestAt = now;
      auto i = static_cast<std::size_t>(std::stoi(target->mValue.substr(1)));
      bool isFailure = now < mGrayUntil[i] && RandomBelow(mRandom, 100) < 85;
      if (aIsTrustKept && isFailure) {
        RecordFailure(picked.mPenalty, now, kFailureScore);
      } else if (aIsTrustKept) {
        RecordSuccess(picked.mPenalty, now, now);
      }
      unsafe += isUnsafe ? 1 : 0;
      failed += isUnsafe && isFailure ? 1 : 0;
    }
    return static_cast<double>(failed) / static_cast<double>(unsafe);
  }

private:
  Duration RandomDuration(Duration aMean)
  {
    auto most = static_cast<std::size_t>(2 * aMean.count());
    return Duration(static_cast<Duration::rep>(RandomBelow(mRandom, most)));
  }

  void UpdateGrayPeriods(TimePoint aNow)
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      if (aNow >= mNextGrayAt[i]) {
        mGrayUntil[i] = aNow + RandomDuration(seconds(3));
        mNextGrayAt[i] = mGrayUntil[i] + RandomDuration(seconds(9));
      }
    }
  }

  Random mRandom;
  TargetPool mPool;
  std::vector<Vm> mVms;
  std::vector<TimePoint> mGrayUntil;
  std::vector<TimePoint> mNextGrayAt;
};

} // namespace

TEST_GROUP(GrayTargets){};

TEST(GrayTargets, FailAtMostFivePercentOfNonIdempotentRequests)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    double with = GrayTargetSimulation(seed).Simulate(true);
    double without = GrayTargetSimulation(seed).Simulate(false);
    CHECK(with <= 0.05);
    CHECK(without >= 0.12);
  }
}

TEST(GrayTargets, ArePenalizedAfterOneFailure)
{
  FailurePenalty trust;
  CHECK(!IsPenalized(trust, kStart));
  RecordFailure(trust, kStart, kFailureScore);
  CHECK(IsPenalized(trust, kStart + milliseconds(1500)));
  CHECK(!IsPenalized(trust, kStart + milliseconds(2000)));
}

TEST(GrayTargets, StayPenalizedAfterSuccessOfEarlierRequest)
{
  FailurePenalty trust;
  RecordFailure(trust, kStart, kFailureScore);
  RecordSuccess(trust, kStart + milliseconds(10), kStart - milliseconds(100));
  CHECK(IsPenalized(trust, kStart + milliseconds(10)));
  RecordSuccess(trust, kStart + milliseconds(20), kStart + milliseconds(5));
  CHECK(!IsPenalized(trust, kStart + milliseconds(20)));
}

TEST(GrayTargets, NeedSeveralSuccessesAfterManyFailures)
{
  FailurePenalty trust;
  for (int i = 0; i < 4; ++i) {
    RecordFailure(trust, kStart + milliseconds(i), kFailureScore);
  }
  TimePoint now = kStart + milliseconds(500);
  RecordSuccess(trust, now, now);
  CHECK(IsPenalized(trust, now));
}

TEST(GrayTargets, AreProbedLessOftenAfterMoreFailures)
{
  FailurePenalty once;
  FailurePenalty often;
  RecordFailure(once, kStart, kFailureScore);
  for (int i = 0; i < 4; ++i) {
    RecordFailure(often, kStart, kFailureScore);
  }
  TimePoint now = kStart + kMaxProbeInterval;
  CHECK(IsProbeDue(once, now, kMaxProbeInterval));
  CHECK(!IsProbeDue(often, now, kMaxProbeInterval));
  CHECK(IsInBackoff(often, now, kMaxProbeInterval));
}

TEST(GrayTargets, SlowRequestsAloneCauseNoBackoff)
{
  FailurePenalty trust;
  for (int i = 0; i < 10; ++i) {
    RecordSlowRequest(trust, kStart);
  }
  CHECK(!IsInBackoff(trust, kStart, kMaxProbeInterval));
}

TEST(GrayTargets, UnreachableFromOneNodeServeOtherNodes)
{
  TargetPool pool;
  std::vector<Vm> vms(2);
  for (std::size_t i = 0; i < vms.size(); ++i) {
    vms[i].mGroup = "ledger";
    vms[i].mAddress = "t" + std::to_string(i);
    vms[i].mZone = ZoneName("z");
    vms[i].mSlots = 3;
  }
  UpdatePool(pool, kStart, "ledger", vms);
  RecordUnreachable(pool, kStart, TargetId("t0"), NodeId("cut"));
  SlotDemand demand;
  demand.mZone = ZoneName("z");
  demand.mNode = NodeId("cut");
  STRCMP_EQUAL("t1", PickTarget(pool, kStart, demand)->mValue.c_str());
  CHECK(!IsPenalized(pool.mTargets[TargetId("t0")].mPenalty, kStart));
  TimePoint later = kStart + milliseconds(50);
  RecordUnreachable(pool, later, TargetId("t0"), NodeId("other"));
  CHECK(IsPenalized(pool.mTargets[TargetId("t0")].mPenalty, later));
}

/** A crest on which half of the targets are gray: two of one slot each. */
struct PenalizedPool
{
  PenalizedPool()
  {
    mSettings.mName = ServiceName("ledger");
    mSettings.mVmGroup = "ledger";
    mScheduler = SchedulerState::Make(
      mSettings.mName, NodeId("s"), 1, kStart - seconds(1));
    std::vector<Vm> vms(2);
    for (std::size_t i = 0; i < vms.size(); ++i) {
      vms[i].mGroup = "ledger";
      vms[i].mAddress = "t" + std::to_string(i);
      vms[i].mSlots = 1;
    }
    UpdatePool(mScheduler.mPool, kStart, "ledger", vms);
    RecordFailure(mScheduler.mPool.mTargets[TargetId("t0")].mPenalty,
                  kStart,
                  kFailureScore);
  }

  /** Asks for a slot; returns the target of the grant, "" for none. */
  std::string RequestSlot(RequestId aId,
                          bool aIsIdempotent,
                          std::uint8_t aPriority,
                          bool aIsRetry = false)
  {
    LeaseRequest request;
    request.mService = mSettings.mName;
    request.mRequest = aId;
    request.mIsIdempotent = aIsIdempotent;
    request.mIsRetry = aIsRetry;
    request.mPriority = aPriority;
    request.mDeadline = seconds(2);
    request.mGoal = seconds(1);
    Effects effects;
    SchedulerReceive(mScheduler,
                     kStart,
                     mSettings,
                     NodeId("n"),
                     ZoneName("z"),
                     request,
                     effects);
    if (effects.empty()) {
      return "";
    }
    const auto& message = std::get<SendPeer>(effects.at(0)).mMessage;
    LONGS_EQUAL(aId, std::get<LeaseGrant>(message).mRequest);
    return std::get<LeaseGrant>(message).mTarget.mValue;
  }

  Service mSettings;
  SchedulerState mScheduler;
};

/** Work that may not be repeated waits for the sound targets, and reads must
 * not wait behind it while the others have room. */
TEST(GrayTargets, ServeIdempotentRequestsWhileOthersWait)
{
  PenalizedPool crest;
  STRCMP_EQUAL("t1", crest.RequestSlot(1, false, 1).c_str());
  STRCMP_EQUAL("", crest.RequestSlot(2, false, 1).c_str());
  STRCMP_EQUAL("t0", crest.RequestSlot(3, true, 3).c_str());
}

/** A read that failed once at a gray target is lost if the only other send that
 * its route allows goes to the next gray one. */
TEST(GrayTargets, GetNoRetryWhileOthersAreUnpenalized)
{
  PenalizedPool crest;
  crest.mScheduler.mRetryTokens = 5;
  STRCMP_EQUAL("t1", crest.RequestSlot(1, true, 3, true).c_str());
  STRCMP_EQUAL("", crest.RequestSlot(2, true, 3, true).c_str());
  STRCMP_EQUAL("t0", crest.RequestSlot(3, true, 3).c_str());
}

/** 30 of 40 targets are doubted or on trial at once, and there are fewer
 * requests that may be repeated than it takes to settle all: each gets its
 * turn, whatever its name. */
TEST(GrayTargets, AreProbedLeastRecentlyUsedFirst)
{
  constexpr std::size_t kMany = 40;
  constexpr std::size_t kInQuestion = 30;
  TargetPool pool;
  std::vector<Vm> vms(kMany);
  for (std::size_t i = 0; i < kMany; ++i) {
    vms[i].mGroup = "ledger";
    vms[i].mAddress = "t" + std::to_string(i);
    vms[i].mZone = ZoneName("z");
    vms[i].mSlots = 3;
  }
  UpdatePool(pool, kStart, "ledger", vms);
  std::map<TargetId, int> tried;
  for (std::size_t i = 0; i < kInQuestion; ++i) {
    TargetId id("t" + std::to_string(i));
    pool.mTargets[id].mState = TargetState::Trial;
    tried[id] = 0;
  }
  for (int i = 0; i < 60; ++i) {
    TimePoint now = kStart + milliseconds(10 * i);
    SlotDemand demand;
    demand.mNode = NodeId("n");
    demand.mZone = ZoneName("z");
    demand.mMayProbe = true;
    auto target = PickTarget(pool, now, demand);
    CHECK(target.has_value());
    pool.mTargets[*target].mLastRequestAt = now;
    if (tried.count(*target) > 0) {
      ++tried[*target];
    }
  }
  for (const auto& [id, n] : tried) {
    CHECK(n >= 1);
    CHECK(n <= 3);
  }
}
