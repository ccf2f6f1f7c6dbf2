#include "../support/FleetHelpers.h"

#include "Dialects.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 24;
constexpr std::size_t kTargets = 8;
/** The time within which a node has to follow a pause, and the requests that
 * may still reach the target from it. */
constexpr Duration kPauseReactionTime = milliseconds(500);
constexpr std::size_t kToleratedInPause = 2;

std::unique_ptr<FakeFleet>
MakeFleet(std::uint64_t aSeed,
          std::size_t aNodes = kNodes,
          std::size_t aTargets = kTargets)
{
  auto fleet = std::make_unique<FakeFleet>(aNodes, 3, aSeed);
  fleet->AddTargets("ledger", aTargets);
  PublishDocument(*fleet, kSmallDocument);
  fleet->RunFor(seconds(3));
  return fleet;
}

/** Sends idempotent requests to random nodes, one per 12 ms on average. */
void
OfferLoad(FakeFleet& aFleet, Duration aTime)
{
  TimePoint end = aFleet.Now() + aTime;
  while (aFleet.Now() < end) {
    CallerRequest request;
    request.mRequest = static_cast<RequestId>((aFleet.Now() - kStart).count());
    request.mMethod = "GET";
    request.mPath = "/balance";
    std::size_t node = RandomBelow(aFleet.mRandom, aFleet.mNodes.size());
    Duration work = DrawExponential(aFleet.mRandom, milliseconds(60));
    aFleet.Submit(node, request, { work });
    Duration gap = DrawExponential(aFleet.mRandom, milliseconds(12));
    aFleet.RunFor(gap + Duration(1));
  }
}

FakeTarget&
FirstTarget(FakeFleet& aFleet)
{
  return *aFleet.mTargets.begin()->second;
}

TargetResult
Interpret(const std::vector<Header>& aHeaders, unsigned aStatus = 503)
{
  TargetDialect dialect;
  dialect.mNotRun = "Not-Executed";
  dialect.mNotRunValue = "";
  dialect.mRequestLimit = "Limit";
  dialect.mLeaving = "Leaving";
  dialect.mPause = "Retry-After";
  HttpResponse response;
  response.mStatus = aStatus;
  response.mHeaders = aHeaders;
  response.mHeaders.push_back({ "Not-Executed", "1" });
  return InterpretAnswer(dialect, std::move(response));
}

Duration
PauseOf(const std::string& aText)
{
  return Interpret({ { "Retry-After", aText } }).mStatements->mPause;
}

std::optional<double>
LimitOf(const std::string& aText)
{
  return Interpret({ { "Limit", aText } }).mStatements->mRequestLimit;
}

} // namespace

/** Guards against requests to a target that has stated in its answers that it
 * leaves, while the VM list still has it as ready. */
TEST_GROUP(LeavingTargets){};

TEST(LeavingTargets, ReceiveNoRequestsAlsoFromANewScheduler)
{
  for (std::uint64_t seed : TestSeeds(5)) {
    auto fleet = MakeFleet(seed);
    FakeTarget& leaving = FirstTarget(*fleet);
    std::map<std::size_t, TimePoint> heardAt;
    std::size_t arrivals = 0;
    fleet->mOnRunEnd = [&](std::size_t aNode,
                           RequestId,
                           const TargetId& aTarget,
                           TargetOutcome) {
      if (aTarget == leaving.mId) {
        heardAt.emplace(aNode, fleet->Now() + fleet->mLinkDelay);
      }
    };
    OfferLoad(*fleet, seconds(2));
    heardAt.clear();
    leaving.mStatements.mIsLeaving = true;
    fleet->mOnArrival = [&](std::size_t aNode, const TargetId& aTarget) {
      auto heard = heardAt.find(aNode);
      bool isSentLater = heard != heardAt.end() &&
                         fleet->Now() - fleet->mLinkDelay > heard->second;
      arrivals += aTarget == leaving.mId && isSentLater ? 1 : 0;
    };
    OfferLoad(*fleet, seconds(2));
    for (int i = 0; i < 3; ++i) {
      std::size_t node = SchedulerNodes(*fleet).front();
      fleet->KillNode(node);
      heardAt.erase(node);
      OfferLoad(*fleet, seconds(2));
      fleet->StartNode(node);
    }
    fleet->mIsLost = [](std::size_t, std::size_t, const Message& aMessage) {
      return std::holds_alternative<LeaseRequest>(aMessage);
    };
    OfferLoad(*fleet, seconds(3));
    CHECK(!heardAt.empty());
    LONGS_EQUAL(0, arrivals);
  }
}

TEST(LeavingTargets, ReceiveRequestsAgainAsANewIncarnation)
{
  auto fleet = MakeFleet(1);
  FakeTarget& target = FirstTarget(*fleet);
  target.mStatements.mIsLeaving = true;
  OfferLoad(*fleet, seconds(3));
  std::uint64_t runs = target.mRuns;
  target.mStatements.mIsLeaving = false;
  OfferLoad(*fleet, seconds(3));
  LONGS_EQUAL(runs, target.mRuns);
  for (Vm& it : fleet->mVms) {
    it.mIncarnation = it.mAddress == target.mId.mValue ? 7 : 0;
  }
  OfferLoad(*fleet, seconds(4));
  CHECK(target.mRuns > runs);
}

/** Guards against requests from a node that a target has turned away for some
 * time. */
TEST_GROUP(PausingTargets){};

TEST(PausingTargets, ReceiveNoRequestsFromTheNodesThatTheyTurnedAway)
{
  for (std::uint64_t seed : TestSeeds(5)) {
    // So few that each node sends each target many requests.
    auto fleet = MakeFleet(seed, 4, 2);
    FakeTarget& target = FirstTarget(*fleet);
    constexpr Duration kPause = seconds(3);
    std::map<std::size_t, TimePoint> refusedAt;
    std::map<std::pair<std::size_t, TimePoint>, std::size_t> inPause;
    OfferLoad(*fleet, seconds(2));
    target.mShedShare = 0.2;
    target.mStatements.mPause = kPause;
    fleet->mOnRunEnd = [&](std::size_t aNode,
                           RequestId,
                           const TargetId& aTarget,
                           TargetOutcome aOutcome) {
      if (aTarget == target.mId && aOutcome == TargetOutcome::Shed) {
        refusedAt[aNode] = fleet->Now() + fleet->mLinkDelay;
      }
    };
    fleet->mOnArrival = [&](std::size_t aNode, const TargetId& aTarget) {
      auto refused = refusedAt.find(aNode);
      if (aTarget != target.mId || refused == refusedAt.end()) {
        return;
      }
      Duration since = fleet->Now() - refused->second;
      if (since >= kPauseReactionTime && since < kPause) {
        ++inPause[{ aNode, refused->second }];
      }
    };
    for (int i = 0; i < 4; ++i) {
      OfferLoad(*fleet, seconds(2));
      std::size_t node = SchedulerNodes(*fleet).front();
      fleet->KillNode(node);
      refusedAt.erase(node);
      OfferLoad(*fleet, milliseconds(800));
      fleet->StartNode(node);
    }
    fleet->mIsLost = [](std::size_t, std::size_t, const Message& aMessage) {
      return std::holds_alternative<LeaseRequest>(aMessage);
    };
    OfferLoad(*fleet, seconds(6));
    CHECK(!refusedAt.empty());
    for (const auto& [refusal, count] : inPause) {
      CHECK(count <= kToleratedInPause);
    }
  }
}

TEST(PausingTargets, ReceiveRequestsAgainAfterThePause)
{
  auto fleet = MakeFleet(1);
  FakeTarget& target = FirstTarget(*fleet);
  target.mShedShare = 1;
  target.mStatements.mPause = seconds(2);
  OfferLoad(*fleet, seconds(2));
  target.mShedShare = 0;
  std::uint64_t runs = target.mRuns;
  OfferLoad(*fleet, seconds(5));
  CHECK(target.mRuns > runs + 20);
}

/** Guards against requests that wait until their deadline although no target
 * accepts any. */
TEST(PausingTargets, CauseRefusalsAtOnceIfAllPause)
{
  auto fleet = MakeFleet(1);
  for (auto& [id, target] : fleet->mTargets) {
    target->mShedShare = 1;
    target->mStatements.mPause = seconds(20);
  }
  OfferLoad(*fleet, seconds(15));
  std::map<std::pair<std::size_t, RequestId>, TimePoint> sentAt;
  Duration longest{ 0 };
  std::size_t answers = 0;
  std::size_t arrivals = 0;
  fleet->mOnArrival = [&](std::size_t, const TargetId&) { ++arrivals; };
  fleet->mOnAnswer =
    [&](std::size_t aNode, RequestId aRequest, const AnswerCaller& aAnswer) {
      auto it = sentAt.find({ aNode, aRequest });
      if (it != sentAt.end()) {
        ++answers;
        LONGS_EQUAL(503, aAnswer.mVerdict.mStatus);
        longest = std::max(longest, fleet->Now() - it->second);
      }
    };
  for (std::size_t node = 0; node < kNodes; ++node) {
    CallerRequest request;
    request.mRequest = 1;
    request.mMethod = "GET";
    request.mPath = "/balance";
    sentAt[{ node, 1 }] = fleet->Now();
    fleet->Submit(node, request, { milliseconds(60) });
    fleet->RunFor(milliseconds(50));
  }
  LONGS_EQUAL(kNodes, answers);
  LONGS_EQUAL(0, arrivals);
  CHECK(longest < milliseconds(20));
}

TEST_GROUP(StatementValues){};

TEST(StatementValues, AreIgnoredIfUnreadableAndBounded)
{
  CHECK(PauseOf("2") == seconds(2));
  CHECK(PauseOf("0.25") == milliseconds(250));
  CHECK(PauseOf("99999999999999999999") == seconds(30));
  for (const char* it :
       { "-1", "", "nan", "inf", "1e400", "2 s", "soon", "0x10" }) {
    CHECK_TEXT(PauseOf(it) == Duration(0), it);
    CHECK_TEXT(!LimitOf(it), it);
  }
  DOUBLES_EQUAL(1.5, *LimitOf("1.5"), 0);
  DOUBLES_EQUAL(0, *LimitOf("0"), 0);
}

TEST(StatementValues, AreTheStrictestOfSeveral)
{
  auto statements = *Interpret({ { "Retry-After", "1" },
                                 { "retry-after", "3" },
                                 { "Retry-After", "junk" },
                                 { "Limit", "4" },
                                 { "LIMIT", "2.5" } })
                       .mStatements;
  CHECK(statements.mPause == seconds(3));
  DOUBLES_EQUAL(2.5, *statements.mRequestLimit, 0);
}

TEST(StatementValues, OfLeavingAndPauseDependOnTheirContext)
{
  CHECK(Interpret({ { "Leaving", "1" } }).mStatements->mIsLeaving);
  CHECK(!Interpret({ { "Leaving", "0" } }).mStatements->mIsLeaving);
  CHECK(!Interpret({}).mStatements->mIsLeaving);
  auto other = Interpret({ { "Retry-After", "5" } }, 429);
  CHECK(other.mStatements->mPause == Duration(0));
}
