#include "../support/FakeStore.h"
#include "../support/FleetHelpers.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 3;
constexpr std::size_t kTargets = 12;
constexpr std::size_t kLeaving = 3;
/** The time in which a leaving target has to be known to all nodes. */
constexpr Duration kDrainTime = seconds(2);

Document
MakeDocument()
{
  Document document = MakeServiceDocument("billing");
  Route route;
  route.mName = RouteName("invoices");
  route.mService = ServiceName("billing");
  route.mPath = "/invoices/";
  route.mIdempotent = false;
  route.mAtMostOnceScope = AtMostOnceScope::PerRequest;
  route.mDeadline = milliseconds(1200);
  document.mRoutes[route.mName] = route;
  return document;
}

/** A fleet whose targets are listed in a store, one node in each zone. */
class Scenario
{
public:
  explicit Scenario(std::uint64_t aSeed)
    : mFleet(kNodes, kNodes, aSeed, ConfigSource::KeyedFeeds)
    , mStore(mFleet, MakeDocument())
  {
    for (std::size_t i = 0; i < kTargets; ++i) {
      auto target = std::make_unique<FakeTarget>();
      target->mId = IdOf(i);
      target->mZone = mFleet.ZoneAt(i);
      mFleet.mTargets.emplace(target->mId, std::move(target));
      PutTarget(i, false);
    }
    mFleet.mOnAnswer =
      [this](std::size_t, RequestId, const AnswerCaller& aAnswer) {
        bool hasRun = aAnswer.mVerdict.mOutcome == RunOutcome::Ran;
        ++(hasRun ? mAnswered : mUnanswered);
      };
    mFleet.mOnArrival = [this](std::size_t aNode, const TargetId& aTarget) {
      auto left = mLeftAt.find(aTarget);
      bool isLate =
        left != mLeftAt.end() && mFleet.Now() - left->second > kDrainTime;
      mLate += isLate && !mStore.mIsCutOff(aNode) ? 1 : 0;
    };
    mFleet.RunFor(seconds(4));
  }

  static TargetId IdOf(std::size_t aTarget)
  {
    return TargetId("i-" + std::to_string(aTarget) + "@10.0.64.9:8000");
  }

  void PutTarget(std::size_t aTarget, bool aIsLeaving)
  {
    Vm vm;
    vm.mGroup = "billing";
    vm.mAddress = IdOf(aTarget).mValue;
    vm.mZone = mFleet.ZoneAt(aTarget);
    vm.mSlots = 3;
    vm.mIsLeaving = aIsLeaving;
    vm.mIncarnation = 1;
    mStore.PutTarget({ InstanceOf(IdOf(aTarget)), {}, FormatVm(vm) });
  }

  /** The store accepts that a target is draining, or removes its entry. */
  void Leave(std::size_t aTarget, bool aIsRemoved)
  {
    mLeftAt[IdOf(aTarget)] = mFleet.Now();
    if (aIsRemoved) {
      mStore.PutTarget({ InstanceOf(IdOf(aTarget)), {}, "" });
    } else {
      PutTarget(aTarget, true);
    }
  }

  /** Sends requests to the nodes that are not cut off, so many that each target
   * is used. */
  void SendLoad(Duration aTime)
  {
    TimePoint end = mFleet.Now() + aTime;
    while (mFleet.Now() < end) {
      std::size_t node = RandomBelow(mFleet.mRandom, kNodes);
      if (mStore.mIsCutOff(node)) {
        continue;
      }
      CallerRequest request;
      request.mRequest = ++mSent;
      request.mMethod = "PUT";
      request.mPath = "/invoices/1";
      request.mFingerprint = mSent;
      Duration work = DrawExponential(mFleet.mRandom, milliseconds(130));
      mFleet.Submit(node, request, { work });
      mFleet.RunFor(DrawExponential(mFleet.mRandom, milliseconds(6)) +
                    Duration(1));
    }
  }

  FakeFleet mFleet;
  FakeStore mStore;
  std::map<TargetId, TimePoint> mLeftAt;
  std::size_t mLate = 0;
  std::size_t mAnswered = 0;
  std::size_t mUnanswered = 0;
  RequestId mSent = 0;
};

} // namespace

TEST_GROUP(StaleSchedulers){};

// The node that schedules a service is cut off from the store while targets
// leave. It grants them by its old list, and nodes that have read that these
// are leaving or gone send them requests, which are cut when the targets exit.
TEST(StaleSchedulers, GrantNoTargetThatTheHolderKnowsToLeave)
{
  for (std::uint64_t seed : TestSeeds(10)) {
    Scenario scenario(seed);
    scenario.SendLoad(seconds(1));
    std::size_t scheduler = SchedulerNodes(scenario.mFleet).front();
    scenario.mStore.mIsCutOff = [scheduler](std::size_t aNode) {
      return aNode == scheduler;
    };
    scenario.SendLoad(milliseconds(300));
    for (std::size_t i = 0; i < kLeaving; ++i) {
      scenario.Leave(i, i == 0);
    }
    scenario.SendLoad(seconds(5));
    LONGS_EQUAL(0, scenario.mLate);
    scenario.mStore.mIsCutOff = [](std::size_t) { return false; };
    scenario.SendLoad(seconds(1));
    CHECK(scenario.mAnswered > 50 * scenario.mUnanswered);
  }
}

// A proxy whose list is older than the scheduler's does not know new targets.
// It must use them all the same.
TEST(StaleSchedulers, AreNotOverruledByOlderLists)
{
  Scenario scenario(1);
  scenario.SendLoad(seconds(1));
  std::size_t scheduler = SchedulerNodes(scenario.mFleet).front();
  std::size_t stale = (scheduler + 1) % kNodes;
  scenario.mStore.mIsCutOff = [stale](std::size_t aNode) {
    return aNode == stale;
  };
  scenario.mFleet.mIsLost =
    [stale](std::size_t, std::size_t aTo, const Message& aMessage) {
      return aTo == stale && std::holds_alternative<FeedPush>(aMessage);
    };
  auto target = std::make_unique<FakeTarget>();
  target->mId = Scenario::IdOf(kTargets);
  FakeTarget& added = *target;
  scenario.mFleet.mTargets.emplace(target->mId, std::move(target));
  scenario.PutTarget(kTargets, false);
  scenario.SendLoad(seconds(3));
  std::size_t used = 0;
  scenario.mFleet.mOnArrival = [&](std::size_t aNode, const TargetId& aTarget) {
    used += aNode == stale && aTarget == added.mId ? 1 : 0;
  };
  for (RequestId i = 0; i < 200; ++i) {
    CallerRequest request;
    request.mRequest = 100000 + i;
    request.mMethod = "PUT";
    request.mPath = "/invoices/1";
    request.mFingerprint = request.mRequest;
    scenario.mFleet.Submit(stale, request, { milliseconds(130) });
    scenario.mFleet.RunFor(milliseconds(10));
  }
  CHECK(used > 0);
}
