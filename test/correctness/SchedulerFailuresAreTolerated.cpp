#include "Duties.h"
#include "Rendezvous.h"

#include "../support/FleetHelpers.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 8;
constexpr Duration kRequestInterval = microseconds(1600);

/** A fleet at half load, with counts of the answers that its callers got. */
class LoadScenario
{
public:
  explicit LoadScenario(std::uint64_t aSeed)
    : mFleet(kNodes, 2, aSeed)
  {
    mFleet.AddTargets("ledger", 8);
    PublishDocument(mFleet, kSmallDocument);
    mFleet.mOnAnswer =
      [this](std::size_t, RequestId, const AnswerCaller& aAnswer) {
        mAnswered += aAnswer.mVerdict.mOutcome == RunOutcome::Ran ? 1 : 0;
        mUnanswered += aAnswer.mVerdict.mOutcome == RunOutcome::Ran ? 0 : 1;
      };
    mFleet.RunFor(seconds(3));
  }

  /** Sends one request per kRequestInterval to a random running node, for
   * aTime. */
  void SendLoad(Duration aTime)
  {
    TimePoint end = mFleet.Now() + aTime;
    while (mFleet.Now() < end) {
      std::size_t node = RandomBelow(mFleet.mRandom, kNodes);
      const FakeNode& state = *mFleet.mNodes[node];
      if (!state.mIsDead && !state.mIsPaused) {
        CallerRequest event;
        event.mRequest = ++mSent;
        event.mMethod = "GET";
        event.mPath = "/balance";
        event.mFingerprint = mSent;
        Duration work = DrawExponential(mFleet.mRandom, milliseconds(20));
        mFleet.Submit(node, event, { work, false, false });
      }
      mFleet.RunFor(kRequestInterval);
    }
  }

  /** Waits for the requests in flight and checks that at least aShare of all
   * requests were answered. */
  void CheckServed(double aShare)
  {
    mFleet.RunFor(seconds(4));
    CHECK(mSent > 0);
    double share = static_cast<double>(mAnswered) / static_cast<double>(mSent);
    if (share < aShare) {
      std::printf("answered %zu, unanswered %zu of %zu\n",
                  mAnswered,
                  mUnanswered,
                  static_cast<std::size_t>(mSent));
    }
    CHECK(share >= aShare);
  }

  /** Returns the first node that schedules a service, 0 if there is none. */
  std::size_t SchedulerNode() const
  {
    auto nodes = SchedulerNodes(mFleet);
    return nodes.empty() ? 0 : nodes.front();
  }

  FakeFleet mFleet;
  RequestId mSent = 0;
  std::size_t mAnswered = 0;
  std::size_t mUnanswered = 0;
};

} // namespace

TEST_GROUP(SchedulerFailures){};

TEST(SchedulerFailures, AKilledSchedulerIsReplaced)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LoadScenario scenario(seed);
    scenario.SendLoad(seconds(2));
    scenario.mFleet.KillNode(scenario.SchedulerNode());
    scenario.SendLoad(seconds(5));
    // Requests in flight at the killed node itself are lost.
    scenario.CheckServed(0.99);
  }
}

// A paused scheduler is replaced. When it resumes, it does not know that and
// grants slots again.
TEST(SchedulerFailures, APausedSchedulerMayResume)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LoadScenario scenario(seed);
    scenario.SendLoad(seconds(2));
    std::size_t node = scenario.SchedulerNode();
    scenario.mFleet.PauseNode(node);
    scenario.SendLoad(seconds(3));
    scenario.mFleet.ResumeNode(node);
    scenario.SendLoad(seconds(4));
    scenario.CheckServed(0.99);
  }
}

TEST(SchedulerFailures, TwoSchedulersDoNotOverloadTargets)
{
  LoadScenario scenario(1);
  scenario.SendLoad(seconds(2));
  // A partition separates the fleet into two halves; each half has its own
  // scheduler, and together they may overload the targets.
  scenario.mFleet.mIsLost =
    [](std::size_t aFrom, std::size_t aTo, const Message&) {
      return (aFrom < kNodes / 2) != (aTo < kNodes / 2);
    };
  scenario.SendLoad(seconds(5));
  CHECK(SchedulerNodes(scenario.mFleet).size() >= 2);
  std::size_t longest = 0;
  for (int i = 0; i < 50; ++i) {
    scenario.SendLoad(milliseconds(20));
    for (const auto& [id, target] : scenario.mFleet.mTargets) {
      longest = std::max(longest, target->mWaiting.size());
    }
  }
  CHECK(longest <= 6);
  scenario.mFleet.mIsLost = [](std::size_t, std::size_t, const Message&) {
    return false;
  };
  scenario.SendLoad(seconds(4));
  scenario.CheckServed(0.99);
}

TEST(SchedulerFailures, FivePercentOfMessagesMayBeLost)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    LoadScenario scenario(seed);
    Random random(seed);
    scenario.mFleet.mIsLost = [&](std::size_t, std::size_t, const Message&) {
      return RandomBelow(random, 100) < 5;
    };
    scenario.SendLoad(seconds(6));
    scenario.CheckServed(0.99);
  }
}

TEST(SchedulerFailures, AOneWayPartitionSelectsTheNextScheduler)
{
  LoadScenario scenario(1);
  scenario.SendLoad(seconds(2));
  std::size_t scheduler = scenario.SchedulerNode();
  std::size_t isolated = (scheduler + 1) % kNodes;
  scenario.mFleet.mIsLost =
    [=](std::size_t aFrom, std::size_t aTo, const Message&) {
      return aFrom == scheduler && aTo == isolated;
    };
  scenario.SendLoad(seconds(5));
  CHECK(SchedulerNodes(scenario.mFleet).size() >= 2);
  const auto& proxy = scenario.mFleet.mNodes[isolated]->mState.mProxy;
  LONGS_EQUAL(0, proxy.mCounters.mFallbackSends);
  scenario.CheckServed(0.99);
}

TEST(SchedulerFailures, AProxyThatNoSchedulerAnswersChoosesLocally)
{
  LoadScenario scenario(1);
  scenario.SendLoad(seconds(2));
  // The last node in the order of succession, so that it does not become a
  // scheduler itself.
  std::vector<NodeId> nodes;
  for (const auto& it : scenario.mFleet.mNodes) {
    nodes.push_back(it->mState.mOptions.mSelf);
  }
  ServiceName ledger("ledger");
  auto order = PickOwners(nodes, SchedulerDuty(ledger), nodes.size());
  std::size_t isolated = static_cast<std::size_t>(
    std::find(nodes.begin(), nodes.end(), order.back()) - nodes.begin());
  scenario.mFleet.mIsLost =
    [=](std::size_t, std::size_t aTo, const Message& aMessage) {
      bool isProbe = std::holds_alternative<Ping>(aMessage) ||
                     std::holds_alternative<PingAck>(aMessage);
      return aTo == isolated && !isProbe;
    };
  scenario.SendLoad(seconds(5));
  CHECK(
    scenario.mFleet.mNodes[isolated]->mState.mProxy.mCounters.mFallbackSends >
    0);
  scenario.CheckServed(0.99);
}

TEST(SchedulerFailures, AnExpiredLeaseIsNotUsedAfterAPause)
{
  LoadScenario scenario(1);
  std::size_t starts = 0;
  scenario.mFleet.mOnStart = [&](std::size_t, RequestId) { ++starts; };
  std::size_t holder = 3;
  CallerRequest event;
  event.mRequest = 1;
  event.mMethod = "GET";
  event.mPath = "/balance";
  event.mFingerprint = 1;
  scenario.mFleet.Submit(holder, event, { milliseconds(20), false, false });
  scenario.mFleet.PauseNode(holder);
  scenario.mFleet.RunFor(seconds(4));
  std::size_t before = starts;
  scenario.mFleet.ResumeNode(holder);
  scenario.mFleet.RunFor(seconds(2));
  LONGS_EQUAL(before, starts);
}
