#include "../support/FleetHelpers.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 32;
constexpr std::size_t kTargets = 12;
/** The terms of the agreement with the targets: a limit is kept from
 * kGraceTime after it was first stated, over every kWindow and with the
 * tolerances below, by the nodes that have heard of it for kHeardTime. */
constexpr Duration kGraceTime = seconds(3);
constexpr Duration kWindow = seconds(4);
constexpr Duration kHeardTime = milliseconds(500);
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedRequests = 5;

/** Records the requests that limited targets receive. */
class LimitChecker
{
public:
  explicit LimitChecker(FakeFleet& aFleet)
    : mFleet(aFleet)
  {
    aFleet.mOnArrival = [this](std::size_t aNode, const TargetId& aTarget) {
      auto heard = mHeardAt.find({ aNode, aTarget });
      bool counts =
        heard != mHeardAt.end() && mFleet.Now() - heard->second >= kHeardTime;
      ++mArrivals;
      if (counts) {
        mCounted[aTarget].push_back(mFleet.Now());
      }
    };
    aFleet.mOnRunEnd = [this](std::size_t aNode,
                              RequestId,
                              const TargetId& aTarget,
                              TargetOutcome aOutcome) {
      auto target = mFleet.mTargets.find(aTarget);
      if (target != mFleet.mTargets.end() &&
          target->second->mStatements.mRequestLimit &&
          aOutcome == TargetOutcome::Answered) {
        mHeardAt.emplace(std::make_pair(aNode, aTarget), mFleet.Now());
        mStatedAt.emplace(aTarget, mFleet.Now());
      }
    };
  }

  /** A process that ends forgets what it has heard. */
  void Forget(std::size_t aNode)
  {
    for (auto it = mHeardAt.begin(); it != mHeardAt.end();) {
      it = it->first.first == aNode ? mHeardAt.erase(it) : std::next(it);
    }
  }

  /** Returns by how many requests the worst window of any target exceeds what
   * is tolerated; 0 if none does. */
  double WorstExcess() const
  {
    double worst = 0;
    for (const auto& [id, times] : mCounted) {
      double allowed = *mFleet.mTargets.at(id)->mStatements.mRequestLimit *
                         std::chrono::duration<double>(kWindow).count() *
                         kToleratedFactor +
                       kToleratedRequests;
      for (auto first = times.begin(); first != times.end(); ++first) {
        if (*first < mStatedAt.at(id) + kGraceTime) {
          continue;
        }
        auto last = std::upper_bound(first, times.end(), *first + kWindow);
        worst = std::max(worst, static_cast<double>(last - first) - allowed);
      }
    }
    return worst;
  }

  std::uint64_t mArrivals = 0;

private:
  FakeFleet& mFleet;
  std::map<std::pair<std::size_t, TargetId>, TimePoint> mHeardAt;
  std::map<TargetId, TimePoint> mStatedAt;
  std::map<TargetId, std::vector<TimePoint>> mCounted;
};

/** Sends requests to random nodes, one per aGap on average. aOnSend is called
 * before each. */
void
OfferLoad(
  FakeFleet& aFleet,
  Duration aTime,
  Duration aGap,
  const std::function<void(std::size_t, RequestId)>& aOnSend = [](std::size_t,
                                                                  RequestId) {})
{
  TimePoint end = aFleet.Now() + aTime;
  while (aFleet.Now() < end) {
    CallerRequest request;
    request.mRequest = static_cast<RequestId>((aFleet.Now() - kStart).count());
    request.mMethod = "GET";
    request.mPath = "/balance";
    std::size_t node = RandomBelow(aFleet.mRandom, kNodes);
    Duration work = DrawExponential(aFleet.mRandom, milliseconds(100));
    aOnSend(node, request.mRequest);
    aFleet.Submit(node, request, { work });
    aFleet.RunFor(DrawExponential(aFleet.mRandom, aGap) + Duration(1));
  }
}

/** Lets aLimited targets of a fleet state a limit. */
void
LimitTargets(FakeFleet& aFleet, std::size_t aLimited, double aPerSecond)
{
  std::size_t n = 0;
  for (auto& [id, target] : aFleet.mTargets) {
    if (n++ < aLimited) {
      target->mStatements.mRequestLimit = aPerSecond;
    }
  }
}

std::unique_ptr<FakeFleet>
MakeFleet(std::uint64_t aSeed)
{
  auto fleet = std::make_unique<FakeFleet>(kNodes, 3, aSeed);
  fleet->AddTargets("ledger", kTargets);
  PublishDocument(*fleet, kSmallDocument);
  fleet->RunFor(seconds(3));
  return fleet;
}

} // namespace

/** Guards against targets that receive more requests than the limit that they
 * stated, summed over all nodes. */
TEST_GROUP(TargetLimits){};

TEST(TargetLimits, AreKeptByTheFleetTogether)
{
  for (std::uint64_t seed : TestSeeds(4)) {
    auto fleet = MakeFleet(seed);
    LimitChecker checker(*fleet);
    LimitTargets(*fleet, 8, 1.1 + static_cast<double>(seed % 5));
    OfferLoad(*fleet, seconds(20), milliseconds(15));
    DOUBLES_EQUAL(0, checker.WorstExcess(), 0);
  }
}

TEST(TargetLimits, AreKeptWhileSchedulersAreKilledAndRestarted)
{
  for (std::uint64_t seed : TestSeeds(4)) {
    auto fleet = MakeFleet(seed);
    LimitChecker checker(*fleet);
    LimitTargets(*fleet, 8, 1.1 + static_cast<double>(seed % 5));
    for (int i = 0; i < 7; ++i) {
      OfferLoad(*fleet, milliseconds(1500), milliseconds(15));
      std::size_t node = SchedulerNodes(*fleet).front();
      fleet->KillNode(node);
      OfferLoad(*fleet, milliseconds(1500), milliseconds(15));
      checker.Forget(node);
      fleet->StartNode(node);
    }
    DOUBLES_EQUAL(0, checker.WorstExcess(), 0);
  }
}

TEST(TargetLimits, AreKeptWithoutAScheduler)
{
  for (std::uint64_t seed : TestSeeds(4)) {
    auto fleet = MakeFleet(seed);
    LimitChecker checker(*fleet);
    LimitTargets(*fleet, 8, 1.1 + static_cast<double>(seed % 5));
    OfferLoad(*fleet, seconds(4), milliseconds(15));
    fleet->mIsLost = [](std::size_t, std::size_t, const Message& aMessage) {
      return std::holds_alternative<LeaseRequest>(aMessage);
    };
    OfferLoad(*fleet, seconds(16), milliseconds(15));
    DOUBLES_EQUAL(0, checker.WorstExcess(), 0);
  }
}

TEST(TargetLimits, EndWhenTheTargetNoLongerStatesThem)
{
  auto fleet = MakeFleet(1);
  LimitChecker checker(*fleet);
  LimitTargets(*fleet, kTargets, 1);
  OfferLoad(*fleet, seconds(8), milliseconds(15));
  for (auto& [id, target] : fleet->mTargets) {
    target->mStatements = {};
  }
  OfferLoad(*fleet, seconds(5), milliseconds(15));
  std::uint64_t before = checker.mArrivals;
  OfferLoad(*fleet, seconds(5), milliseconds(15));
  // 333 requests are offered in this time.
  CHECK(checker.mArrivals - before > 250);
}

/** Guards against requests that wait for their whole time although the targets'
 * limits show at once that they can't be served. */
TEST(TargetLimits, RefuseAtOnceWhatTheyDoNotAllow)
{
  auto fleet = MakeFleet(1);
  LimitTargets(*fleet, kTargets, 1);
  OfferLoad(*fleet, seconds(8), milliseconds(15));
  std::map<std::pair<std::size_t, RequestId>, TimePoint> sentAt;
  std::size_t refusals = 0;
  std::size_t lateRefusals = 0;
  fleet->mOnAnswer =
    [&](std::size_t aNode, RequestId aRequest, const AnswerCaller& aAnswer) {
      auto it = sentAt.find({ aNode, aRequest });
      if (it != sentAt.end() && !aAnswer.mAnswer) {
        ++refusals;
        Duration waited = fleet->Now() - it->second;
        lateRefusals += waited > milliseconds(20) ? 1 : 0;
      }
    };
  OfferLoad(*fleet,
            seconds(5),
            milliseconds(15),
            [&](std::size_t aNode, RequestId aRequest) {
              sentAt[{ aNode, aRequest }] = fleet->Now();
            });
  // 333 requests are offered, and the targets accept 60.
  CHECK(refusals > 200);
  CHECK(lateRefusals < refusals / 5);
}
