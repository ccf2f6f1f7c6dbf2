/** Guards against requests that are lost, run too often or kept at two targets
 * because they have a second send: the failure of one send taken for that of
 * the request, a loser that is not cancelled or whose slot is forgotten, and
 * second sends of requests that must run once or whose targets are used up. */
#include "../support/FaultyTarget.h"
#include "../support/FleetHelpers.h"

#include "PeerRequestId.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr LeaseId kOfferedLease = 77;

std::string
MakeDocument(unsigned aHedgePercent)
{
  return R"({ "environment": "test", "services": [
    { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60,
      "hedgePercent": )" +
         std::to_string(aHedgePercent) + R"( } ], "routes": [
    { "name": "once", "service": "ledger", "method": "POST", "path": "/once",
      "priority": 1, "idempotent": false, "keyed": false, "deadlineMs": 2000 },
    { "name": "balance", "service": "ledger", "method": "GET",
      "path": "/balance", "priority": 1, "attempts": 2, "deadlineMs": 2000 },
    { "name": "quote", "service": "ledger", "method": "GET", "path": "/quote",
      "priority": 1, "attempts": 5, "deadlineMs": 2000 } ] })";
}

/** One node whose only request runs slowly at its first target. Offers come
 * from the test in place of the scheduler. */
class OneRequest
{
public:
  explicit OneRequest(const std::string& aMethod = "GET",
                      const std::string& aPath = "/balance")
    : mFleet(1, 1, 1)
  {
    mFleet.AddTargets("ledger", 3);
    PublishDocument(mFleet, MakeDocument(0));
    mFleet.mOnAnswer =
      [&](std::size_t, RequestId, const AnswerCaller& aAnswer) {
        mStatuses.push_back(aAnswer.mAnswer ? aAnswer.mAnswer->mStatus
                                            : aAnswer.mVerdict.mStatus);
      };
    mFleet.mOnStart = [&](std::size_t, RequestId) { ++mStarts; };
    mFleet.mOnCancel = [&](std::size_t, const CancelAtTarget& aCancel) {
      mCancels.push_back(aCancel.mIsHedge);
    };
    mFleet.RunFor(seconds(2));
    // A new scheduler grants nothing for 100 ms.
    Submit(2, "GET", "/balance");
    mFleet.RunFor(milliseconds(500));
    mStatuses.clear();
    mStarts = 0;
    SetSlowFactor(10);
    Submit(1, aMethod, aPath);
    mFleet.RunFor(milliseconds(40));
    SetSlowFactor(1);
  }

  void Submit(RequestId aId,
              const std::string& aMethod,
              const std::string& aPath)
  {
    CallerRequest request;
    request.mRequest = aId;
    request.mMethod = aMethod;
    request.mPath = aPath;
    mFleet.Submit(0, request, { milliseconds(50) });
  }

  void SetSlowFactor(double aFactor)
  {
    for (auto& [id, target] : mFleet.mTargets) {
      target->mSlowFactor = aFactor;
    }
  }
  ProxyState& Proxy() { return mFleet.mNodes[0]->mState.mProxy; }
  FakeTarget& First()
  {
    return *mFleet.mTargets.at(Proxy().mRequests.at(1).mTarget);
  }
  FakeTarget& Second()
  {
    for (auto& [id, target] : mFleet.mTargets) {
      if (id != Proxy().mRequests.at(1).mTarget) {
        return *target;
      }
    }
    return First();
  }
  void Offer()
  {
    HedgeOffer offer;
    offer.mRequest = Proxy().mRequests.at(1).mPeerId;
    offer.mFirstLease = Proxy().mRequests.at(1).mLease;
    offer.mLease = kOfferedLease;
    offer.mTarget = Second().mId;
    mFleet.Post(
      0,
      PeerMessageReceived{ Envelope{ NodeId(FakeFleet::NodeName(0)), offer } });
  }
  bool HasSecondSend()
  {
    return Proxy().mRequests.at(1).mSecondSend.has_value();
  }

  FakeFleet mFleet;
  std::vector<unsigned> mStatuses;
  std::vector<bool> mCancels;
  unsigned mStarts = 0;
};

/** A fleet under load at whose targets a share of the sends takes 500 ms longer
 * at random. */
class LoadedFleet
{
public:
  explicit LoadedFleet(unsigned aHedgePercent, bool aDeliversCancels = true)
    : mFleet(3, 1, 5)
  {
    mFleet.mDeliversCancels = aDeliversCancels;
    mFleet.AddTargets("ledger", 12);
    for (auto& [id, target] : mFleet.mTargets) {
      target->mHiccupShare = 0.03;
      target->mHiccup = milliseconds(500);
    }
    PublishDocument(mFleet, MakeDocument(aHedgePercent));
    mFleet.mOnAnswer =
      [&](std::size_t aNode, RequestId aId, const AnswerCaller& aAnswer) {
        mTimes.push_back(mFleet.Now() - mSubmittedAt[{ aNode, aId }]);
        mFailures += aAnswer.mAnswer && aAnswer.mAnswer->mStatus == 200 ? 0 : 1;
      };
    mFleet.mIsLost = [&](std::size_t, std::size_t, const Message& aMessage) {
      bool isOffer = std::holds_alternative<HedgeOffer>(aMessage);
      mOffers += isOffer ? 1 : 0;
      return isOffer && mLosesOffers;
    };
    mFleet.RunFor(seconds(2));
  }

  void SetSlowFactor(double aFactor)
  {
    for (auto& [id, target] : mFleet.mTargets) {
      target->mSlowFactor = aFactor;
    }
  }

  void Run(std::size_t aRequests,
           Duration aInterval = milliseconds(8),
           Duration aRest = seconds(3))
  {
    for (std::size_t i = 0; i < aRequests; ++i) {
      CallerRequest request;
      request.mRequest = ++mRequests;
      request.mMethod = "GET";
      request.mPath = "/balance";
      std::size_t node = i % 3;
      mSubmittedAt[{ node, mRequests }] = mFleet.Now();
      mFleet.Submit(node,
                    request,
                    { milliseconds(2) +
                      DrawExponential(mFleet.mRandom, milliseconds(15)) });
      mFleet.RunFor(aInterval);
    }
    mFleet.RunFor(aRest);
  }
  Duration Quantile(double aShare)
  {
    std::sort(mTimes.begin(), mTimes.end());
    return mTimes[static_cast<std::size_t>(
      aShare * static_cast<double>(mTimes.size() - 1))];
  }
  std::uint64_t Hedges() const
  {
    std::uint64_t n = 0;
    for (const auto& it : mFleet.mNodes) {
      n += it->mState.mProxy.mCounters.mHedges;
    }
    return n;
  }
  std::size_t HeldSlots() const
  {
    std::size_t n = 0;
    for (const auto& it : mFleet.mNodes) {
      n += it->mState.mProxy.mCancelledSends.size();
      for (const auto& [name, scheduler] : it->mState.mSchedulers) {
        n += scheduler.mLeases.size() + BusyShortSlots(scheduler.mPool) +
             scheduler.mCounters.mExpired;
      }
    }
    return n;
  }

  FakeFleet mFleet;
  bool mLosesOffers = false;
  std::vector<Duration> mTimes;
  std::size_t mFailures = 0;
  std::size_t mOffers = 0;

private:
  std::map<std::pair<std::size_t, RequestId>, TimePoint> mSubmittedAt;
  RequestId mRequests = 0;
};

} // namespace

TEST_GROUP(HedgedRequests){};

TEST(HedgedRequests, AreAnsweredByTheFasterTarget)
{
  OneRequest request;
  request.Offer();
  CHECK(request.HasSecondSend());
  request.mFleet.RunFor(milliseconds(60));
  LONGS_EQUAL(1, request.mStatuses.size());
  LONGS_EQUAL(200, request.mStatuses[0]);
  LONGS_EQUAL(1, request.mCancels.size());
  CHECK(!request.mCancels[0]);
  LONGS_EQUAL(1, request.Proxy().mCounters.mHedgesWon);
  // The late answer of the first target changes nothing.
  request.mFleet.RunFor(seconds(1));
  LONGS_EQUAL(1, request.mStatuses.size());
  CHECK(request.Proxy().mCancelledSends.empty());
}

TEST(HedgedRequests, AreAnsweredByTheFirstTargetIfItIsFaster)
{
  OneRequest request;
  request.mFleet.RunFor(milliseconds(430));
  request.Offer();
  request.mFleet.RunFor(milliseconds(45));
  LONGS_EQUAL(1, request.mStatuses.size());
  LONGS_EQUAL(1, request.mCancels.size());
  CHECK(request.mCancels[0]);
  LONGS_EQUAL(1, request.Proxy().mCounters.mHedgesWasted);
}

TEST(HedgedRequests, WaitForTheHedgeIfTheFirstSendFails)
{
  OneRequest request;
  request.Offer();
  request.First().Crash();
  request.mFleet.RunFor(milliseconds(10));
  LONGS_EQUAL(0, request.mStatuses.size());
  request.mFleet.RunFor(milliseconds(50));
  LONGS_EQUAL(1, request.mStatuses.size());
  LONGS_EQUAL(200, request.mStatuses[0]);
  LONGS_EQUAL(2, request.mStarts);
  LONGS_EQUAL(1, request.Proxy().mCounters.mHedgesWon);
}

TEST(HedgedRequests, WaitForTheFirstSendIfTheHedgeIsRefusedOrFails)
{
  for (bool isRefused : { false, true }) {
    OneRequest request;
    FakeTarget& second = request.Second();
    second.mShedShare = isRefused ? 1 : 0;
    request.Offer();
    request.mFleet.RunFor(milliseconds(5));
    if (!isRefused) {
      second.Crash();
    }
    request.mFleet.RunFor(milliseconds(20));
    LONGS_EQUAL(0, request.mStatuses.size());
    CHECK(!request.HasSecondSend());
    request.mFleet.RunFor(seconds(1));
    LONGS_EQUAL(1, request.mStatuses.size());
    LONGS_EQUAL(200, request.mStatuses[0]);
    LONGS_EQUAL(0, request.mCancels.size());
  }
}

TEST(HedgedRequests, AreSentToNoMoreTargetsThanTheirRouteAllows)
{
  OneRequest request;
  request.Offer();
  request.mFleet.RunFor(milliseconds(5));
  FakeTarget& first = request.First();
  request.Second().Crash();
  first.Crash();
  request.mFleet.RunFor(seconds(1));
  LONGS_EQUAL(1, request.mStatuses.size());
  LONGS_EQUAL(502, request.mStatuses[0]);
  LONGS_EQUAL(2, request.mStarts);
}

TEST(HedgedRequests, AreCancelledAtBothTargetsIfTheCallerLeaves)
{
  OneRequest request;
  request.mFleet.mDeliversCancels = true;
  request.Offer();
  request.mFleet.RunFor(milliseconds(5));
  request.mFleet.Post(0, CallerDisconnected{ 1 });
  LONGS_EQUAL(2, request.mCancels.size());
  CHECK(request.mCancels[0] != request.mCancels[1]);
  request.mFleet.RunFor(milliseconds(20));
  CHECK(request.Proxy().mRequests.empty());
  CHECK(request.Proxy().mCancelledSends.empty());
  for (auto& [id, target] : request.mFleet.mTargets) {
    CHECK(target->mRunning.empty());
  }
}

TEST(HedgedRequests, MustNotBeThoseThatRunOnce)
{
  OneRequest request("POST", "/once");
  request.Offer();
  CHECK(!request.HasSecondSend());
  request.mFleet.RunFor(seconds(1));
  LONGS_EQUAL(1, request.mStarts);
  LONGS_EQUAL(1, request.Proxy().mCounters.mHedgesDeclined);
}

TEST(HedgedRequests, GetOneHedgeAndNoneForAnotherLease)
{
  OneRequest request("GET", "/quote");
  request.Proxy().mRequests.at(1).mLease += 1;
  HedgeOffer offer;
  offer.mRequest = request.Proxy().mRequests.at(1).mPeerId;
  offer.mFirstLease = request.Proxy().mRequests.at(1).mLease - 1;
  offer.mLease = kOfferedLease;
  offer.mTarget = request.Second().mId;
  request.mFleet.Post(
    0,
    PeerMessageReceived{ Envelope{ NodeId(FakeFleet::NodeName(0)), offer } });
  CHECK(!request.HasSecondSend());
  request.Offer();
  request.Offer();
  request.mFleet.RunFor(milliseconds(30));
  LONGS_EQUAL(2, request.mStarts);
}

TEST(HedgedRequests, KeepTheSlotOfALoserUntilItHasEnded)
{
  for (bool isDelivered : { false, true }) {
    OneRequest request;
    request.mFleet.mDeliversCancels = isDelivered;
    const auto& leases =
      request.mFleet.mNodes[0]->mState.mSchedulers.begin()->second.mLeases;
    LONGS_EQUAL(1, leases.size());
    request.Offer();
    request.mFleet.RunFor(milliseconds(60));
    LONGS_EQUAL(1, request.mStatuses.size());
    // The offered lease is not one of the scheduler's.
    LONGS_EQUAL(isDelivered ? 0 : 1, leases.size());
    request.mFleet.RunFor(milliseconds(600));
    LONGS_EQUAL(0, leases.size());
  }
}

TEST(HedgedRequests, HoldBothLeasesWhenTheSchedulerAsks)
{
  OneRequest request;
  request.Offer();
  request.mFleet.mCountsSentBytes = true;
  std::uint64_t& sent = request.mFleet.mNodes[0]->mSentMessages;
  for (LeaseId it : { kOfferedLease, kOfferedLease + 1 }) {
    std::uint64_t before = sent;
    request.mFleet.Post(0,
                        PeerMessageReceived{ Envelope{
                          NodeId("10.9.9.9:7000"),
                          LeaseQuery{ ServiceName("ledger"), { it } } } });
    LONGS_EQUAL(it == kOfferedLease ? 0 : 1, sent - before);
  }
}

TEST(HedgedRequests, EndAtTheDeadline)
{
  OneRequest request;
  for (auto& [id, target] : request.mFleet.mTargets) {
    target->mIsFrozen = true;
  }
  request.Offer();
  request.mFleet.RunFor(seconds(3));
  LONGS_EQUAL(1, request.mStatuses.size());
  LONGS_EQUAL(504, request.mStatuses[0]);
  CHECK(request.Proxy().mCancelledSends.empty());
}

TEST(HedgedRequests, ShortenASlowTailWithinTheBudget)
{
  LoadedFleet without(0);
  without.Run(6000);
  LoadedFleet with(5);
  with.Run(6000);
  LONGS_EQUAL(0, without.mOffers);
  LONGS_EQUAL(0, without.Hedges());
  LONGS_EQUAL(0, with.mFailures);
  CHECK(without.Quantile(0.99) > milliseconds(400));
  CHECK(with.Quantile(0.99) < milliseconds(250));
  CHECK(with.Hedges() > 100);
  CHECK(with.Hedges() <= 6000 * 5 / 100);
  LONGS_EQUAL(0, with.HeldSlots());
}

/** Guards against second sends that add to the load of a service whose targets
 * are all slow, or whose slots are all in use. */
TEST(HedgedRequests, AddLittleToASlowServiceAndAPeak)
{
  std::array<std::size_t, 2> failures{};
  for (bool isOn : { false, true }) {
    LoadedFleet fleet(isOn ? 5 : 0);
    fleet.Run(2000);
    std::uint64_t before = fleet.Hedges();
    fleet.SetSlowFactor(8);
    fleet.Run(375, milliseconds(8), Duration(0));
    std::uint64_t slow = fleet.Hedges() - before;
    fleet.SetSlowFactor(1);
    fleet.Run(2000);
    before = fleet.Hedges();
    fleet.Run(8000, microseconds(400), Duration(0));
    std::uint64_t peak = fleet.Hedges() - before;
    fleet.Run(10);
    failures[isOn ? 1 : 0] = fleet.mFailures;
    // The budget alone would allow 28 in the slow time.
    CHECK(slow <= 8);
    CHECK(peak <= 4);
    LONGS_EQUAL(0, fleet.HeldSlots());
  }
  CHECK(failures[1] <= failures[0]);
}

TEST(HedgedRequests, HoldNoSlotAfterLostCancellationsAndOffers)
{
  LoadedFleet cancels(5, false);
  cancels.Run(3000);
  CHECK(cancels.Hedges() > 20);
  LONGS_EQUAL(0, cancels.mFailures);
  LONGS_EQUAL(0, cancels.HeldSlots());
  LoadedFleet offers(5);
  offers.mLosesOffers = true;
  offers.Run(3000);
  CHECK(offers.mOffers > 20);
  LONGS_EQUAL(0, offers.mFailures);
  LONGS_EQUAL(0, offers.HeldSlots());
}

/** Guards against a cancellation that ends the other send of its request: both
 * have the same request id. */
TEST(HedgedRequests, SendsOfTheRuntimeAreCancelledOneByOne)
{
  for (bool isHedgeCancelled : { false, true }) {
    boost::asio::io_context loop;
    TargetDialect dialect = MakeDialect();
    auto client = TargetClient::Make(loop, dialect);
    std::array<std::unique_ptr<FaultyTarget>, 2> targets;
    std::array<std::vector<TargetOutcome>, 2> outcomes;
    for (std::size_t i = 0; i < 2; ++i) {
      targets[i] = std::make_unique<FaultyTarget>(loop);
      targets[i]->mHoldsAnswers = true;
      targets[i]->mAnswers = {
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: request-1\r\n"
        "Signature: s\r\n\r\nok"
      };
      TargetSend send = MakeSend(targets[i]->Id(), 1);
      send.mIsHedge = i == 1;
      client->Send(send, [&outcomes, i](const TargetResult& aResult) {
        outcomes[i].push_back(aResult.mOutcome);
      });
    }
    while (!targets[0]->HasRequests() || !targets[1]->HasRequests()) {
      loop.run_one();
    }
    std::size_t cancelled = isHedgeCancelled ? 1 : 0;
    client->Cancel(1, isHedgeCancelled);
    targets[0]->Release();
    targets[1]->Release();
    while (outcomes[0].empty() || outcomes[1].empty()) {
      loop.run_one();
    }
    LONGS_EQUAL(1, outcomes[cancelled].size());
    CHECK(outcomes[cancelled][0] == TargetOutcome::Cancelled);
    LONGS_EQUAL(1, outcomes[1 - cancelled].size());
    CHECK(outcomes[1 - cancelled][0] == TargetOutcome::Answered);
  }
}
