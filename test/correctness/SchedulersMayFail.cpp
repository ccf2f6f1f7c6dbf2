#include "Duties.h"
#include "Rendezvous.h"

#include "../support/FleetHelpers.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 8;
constexpr Duration kPace = microseconds(1600);

/** A fleet at half load, with what its callers were told. */
class Site
{
public:
  explicit Site(std::uint64_t aSeed)
    : mFleet(kNodes, 2, aSeed)
  {
    mFleet.AddTargets("ledger", 8);
    PublishDocument(mFleet, kSmallDocument);
    mFleet.mOnAnswer =
      [this](std::size_t, RequestId, const AnswerCaller& aAnswer) {
        mAnswered += aAnswer.mVerdict.mOutcome == RunOutcome::Ran ? 1 : 0;
        mOthers += aAnswer.mVerdict.mOutcome == RunOutcome::Ran ? 0 : 1;
      };
    mFleet.RunFor(seconds(3));
  }

  /** Sends requests at the pace to nodes that run, for a time. */
  void Load(Duration aTime)
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
      mFleet.RunFor(kPace);
    }
  }

  /** Lets what is under way end and checks the share that was answered. */
  void CheckServed(double aShare)
  {
    mFleet.RunFor(seconds(4));
    CHECK(mSent > 0);
    double share = static_cast<double>(mAnswered) / static_cast<double>(mSent);
    if (share < aShare) {
      std::printf("answered %zu, others %zu of %zu\n",
                  mAnswered,
                  mOthers,
                  static_cast<std::size_t>(mSent));
    }
    CHECK(share >= aShare);
  }

  std::size_t Scheduler() const
  {
    auto nodes = SchedulerNodes(mFleet);
    return nodes.empty() ? 0 : nodes.front();
  }

  FakeFleet mFleet;
  RequestId mSent = 0;
  std::size_t mAnswered = 0;
  std::size_t mOthers = 0;
};

} // namespace

TEST_GROUP(FailingSchedulers){};

TEST(FailingSchedulers, AKilledOneIsReplaced)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Site site(seed);
    site.Load(seconds(2));
    site.mFleet.KillNode(site.Scheduler());
    site.Load(seconds(5));
    // What was in flight at the killed node itself is lost.
    site.CheckServed(0.99);
  }
}

TEST(FailingSchedulers, OneThatSleepsAndWakesUnawareDoesNoHarm)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Site site(seed);
    site.Load(seconds(2));
    std::size_t node = site.Scheduler();
    site.mFleet.PauseNode(node);
    site.Load(seconds(3));
    site.mFleet.ResumeNode(node);
    site.Load(seconds(4));
    site.CheckServed(0.99);
  }
}

TEST(FailingSchedulers, TwoAtOnceLendNoMoreThanTheTargetsBear)
{
  Site site(1);
  site.Load(seconds(2));
  // Half of the fleet no longer hears the other half: each has its own.
  site.mFleet.mIsLost = [](std::size_t aFrom, std::size_t aTo, const Message&) {
    return (aFrom < kNodes / 2) != (aTo < kNodes / 2);
  };
  site.Load(seconds(5));
  CHECK(SchedulerNodes(site.mFleet).size() >= 2);
  std::size_t longest = 0;
  for (int i = 0; i < 50; ++i) {
    site.Load(milliseconds(20));
    for (const auto& [id, target] : site.mFleet.mTargets) {
      longest = std::max(longest, target->mWaiting.size());
    }
  }
  CHECK(longest <= 6);
  site.mFleet.mIsLost = [](std::size_t, std::size_t, const Message&) {
    return false;
  };
  site.Load(seconds(4));
  site.CheckServed(0.99);
}

TEST(FailingSchedulers, FivePercentOfMessagesMayBeLost)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Site site(seed);
    Random random(seed);
    site.mFleet.mIsLost = [&](std::size_t, std::size_t, const Message&) {
      return RandomBelow(random, 100) < 5;
    };
    site.Load(seconds(6));
    site.CheckServed(0.99);
  }
}

TEST(FailingSchedulers, AOneWayCutToTheSchedulerLeadsToTheNextInLine)
{
  Site site(1);
  site.Load(seconds(2));
  std::size_t scheduler = site.Scheduler();
  std::size_t cut = (scheduler + 1) % kNodes;
  site.mFleet.mIsLost =
    [=](std::size_t aFrom, std::size_t aTo, const Message&) {
      return aFrom == scheduler && aTo == cut;
    };
  site.Load(seconds(5));
  CHECK(SchedulerNodes(site.mFleet).size() >= 2);
  const auto& proxy = site.mFleet.mNodes[cut]->mState.mProxy;
  LONGS_EQUAL(0, proxy.mCounters.mFallbackSends);
  site.CheckServed(0.99);
}

TEST(FailingSchedulers, AProxyThatNoSchedulerAnswersChoosesLocally)
{
  Site site(1);
  site.Load(seconds(2));
  // The last in line, so that it does not come to schedule itself.
  std::vector<NodeId> nodes;
  for (const auto& it : site.mFleet.mNodes) {
    nodes.push_back(it->mState.mOptions.mSelf);
  }
  ServiceName ledger("ledger");
  auto line = PickOwners(nodes, SchedulerDuty(ledger), nodes.size());
  std::size_t cut = static_cast<std::size_t>(
    std::find(nodes.begin(), nodes.end(), line.back()) - nodes.begin());
  site.mFleet.mIsLost =
    [=](std::size_t, std::size_t aTo, const Message& aMessage) {
      bool isProbe = std::holds_alternative<Ping>(aMessage) ||
                     std::holds_alternative<PingAck>(aMessage);
      return aTo == cut && !isProbe;
    };
  site.Load(seconds(5));
  CHECK(site.mFleet.mNodes[cut]->mState.mProxy.mCounters.mFallbackSends > 0);
  site.CheckServed(0.99);
}

TEST(FailingSchedulers, ALeaseThatRanOutWhileItsHolderSleptIsNotUsed)
{
  Site site(1);
  std::size_t starts = 0;
  site.mFleet.mOnStart = [&](std::size_t, RequestId) { ++starts; };
  std::size_t holder = 3;
  CallerRequest event;
  event.mRequest = 1;
  event.mMethod = "GET";
  event.mPath = "/balance";
  event.mFingerprint = 1;
  site.mFleet.Submit(holder, event, { milliseconds(20), false, false });
  site.mFleet.PauseNode(holder);
  site.mFleet.RunFor(seconds(4));
  std::size_t before = starts;
  site.mFleet.ResumeNode(holder);
  site.mFleet.RunFor(seconds(2));
  LONGS_EQUAL(before, starts);
}
