/** Guards against hedges that make a bad moment worse: second sends while the
 * service is slow, refuses or has no room, beyond the budgets, of requests that
 * must run once, to suspect targets, or of work that is long at any target. All
 * arise because an overdue request looks the same whatever its cause. The tests
 * give a scheduler the learned times of a route and one overdue request. */
#include "../support/FleetHelpers.h"

#include "SchedulerHedges.h"
#include "Settings.h"
#include "StoreConfig.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

const NodeId kProxy("10.0.0.1:7000");
const ZoneName kZone("zone-0");
const ZoneName kOtherZone("zone-1");
constexpr std::uint32_t kRoute = 7;
constexpr Duration kWorkTime = milliseconds(20);
constexpr Duration kOverdueAge = milliseconds(200);

/** A scheduler of a service with ten targets of 3 slots, which knows that the
 * route's requests take 20 ms, with full budgets. */
class HedgeFixture
{
public:
  explicit HedgeFixture(bool aHasTwoZones = false)
    : mState(SchedulerState::Make(ServiceName("ledger"), kProxy, 1, kStart))
  {
    mSettings.mName = ServiceName("ledger");
    mSettings.mVmGroup = "ledger";
    mSettings.mHedgePercent = 5;
    for (std::size_t i = 0; i < 10; ++i) {
      bool isOther = aHasTwoZones && i % 2 == 1;
      mVms.push_back({ "ledger",
                       "t" + std::to_string(i) + ":80",
                       "",
                       isOther ? kOtherZone : kZone,
                       3,
                       false });
    }
    UpdatePool(mState.mPool, mNow, "ledger", mVms);
    mNow += seconds(1);
    Tick();
    for (auto& [id, target] : mState.mPool.mTargets) {
      // No target has been idle for so long that it is probed.
      target.mLastRequestAt = mNow;
      target.mLastArrivalAt = mNow;
    }
    for (int i = 0; i < 400; ++i) {
      RecordWork(Work(), kWorkTime);
    }
    mState.mHedges.mTokens.mTokens = 10;
    mState.mRetryTokens = mSettings.mRetryBurst;
  }

  RouteWork& Work() { return mState.mHedges.mWork[kRoute]; }

  LeaseRequest MakeLeaseRequest()
  {
    LeaseRequest request;
    request.mService = mSettings.mName;
    request.mRequest = ++mRequests;
    request.mRoute = kRoute;
    request.mDeadline = seconds(2);
    return request;
  }
  void Receive(const LeaseRequest& aRequest, const ZoneName& aZone = kZone)
  {
    SchedulerReceive(
      mState, mNow, mSettings, kProxy, aZone, aRequest, mEffects);
  }
  void Request(std::size_t aCount = 1)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      Receive(MakeLeaseRequest());
    }
  }
  void Report(LeaseId aLease, TargetOutcome aOutcome)
  {
    LeaseReport report;
    report.mLease = aLease;
    report.mOutcome = aOutcome;
    report.mLatency = kOverdueAge;
    SchedulerReceive(mState, mNow, mSettings, kProxy, report, mEffects);
  }
  void Tick() { SchedulerTick(mState, mNow, mSettings, mEffects); }

  /** Lets the running requests become overdue and returns the offers. */
  std::vector<HedgeOffer> OffersAfter(Duration aAge = kOverdueAge)
  {
    mNow += aAge;
    Tick();
    return Take<HedgeOffer>();
  }
  std::uint64_t Denied(HedgeDenial aCause) const
  {
    return mState.mHedges.mDenied[static_cast<std::size_t>(aCause)];
  }
  unsigned Busy() const { return BusyShortSlots(mState.mPool); }
  /** Returns the lease that was granted last. */
  LeaseId LastLease() const { return (1ULL << 32) | mState.mLeaseCount; }

  template<typename Kind>
  std::vector<Kind> Take()
  {
    std::vector<Kind> taken;
    for (Effect& it : mEffects) {
      auto* send = std::get_if<SendToPeer>(&it);
      if (send && std::holds_alternative<Kind>(send->mMessage)) {
        taken.push_back(std::get<Kind>(send->mMessage));
      }
    }
    mEffects.clear();
    return taken;
  }

  SchedulerState mState;
  Service mSettings;
  std::vector<Vm> mVms;
  TimePoint mNow = kStart;
  Effects mEffects;
  RequestId mRequests = 0;
};

} // namespace

TEST_GROUP(Hedges){};

TEST(Hedges, AreOfferedForOneOverdueRequest)
{
  HedgeFixture fixture;
  fixture.Request(4);
  LONGS_EQUAL(0, fixture.OffersAfter(milliseconds(20)).size());
  auto leases = fixture.mState.mLeases;
  for (const auto& [id, lease] : leases) {
    if (id != fixture.LastLease()) {
      fixture.Report(id, TargetOutcome::Answered);
    }
  }
  auto last = leases.at(fixture.LastLease());
  auto offers = fixture.OffersAfter();
  LONGS_EQUAL(1, offers.size());
  LONGS_EQUAL(4, offers[0].mRequest);
  CHECK(offers[0].mTarget != last.mTarget);
  LONGS_EQUAL(2, fixture.Busy());
  DOUBLES_EQUAL(9, fixture.mState.mHedges.mTokens.mTokens, 0.3);
  CHECK(fixture.mState.mRetryTokens < fixture.mSettings.mRetryBurst);
  // A request gets one hedge, however long it takes.
  LONGS_EQUAL(0, fixture.OffersAfter().size());
}

TEST(Hedges, AreNotOfferedWithoutABudget)
{
  HedgeFixture fixture;
  fixture.mSettings.mHedgePercent = 0;
  fixture.mState.mHedges.mWork.clear();
  fixture.Request();
  LONGS_EQUAL(0, fixture.OffersAfter().size());
  fixture.Report(fixture.LastLease(), TargetOutcome::Answered);
  CHECK(fixture.mState.mHedges.mWork.empty());
  CHECK(fixture.mState.mHedges.mOverdue.empty());
}

TEST(Hedges, AreNotOfferedBeforeTheTimesAreKnown)
{
  HedgeFixture fixture;
  fixture.Work() = RouteWork();
  for (int i = 0; i < 50; ++i) {
    RecordWork(fixture.Work(), kWorkTime);
  }
  fixture.Request();
  LONGS_EQUAL(0, fixture.OffersAfter().size());
}

TEST(Hedges, AreNotOfferedForRequestsThatMustRunOnce)
{
  HedgeFixture fixture;
  LeaseRequest request = fixture.MakeLeaseRequest();
  request.mIsIdempotent = false;
  fixture.Receive(request);
  LONGS_EQUAL(0, fixture.OffersAfter().size());
}

TEST(Hedges, AreNotOfferedForRetriesAndLongRoutes)
{
  HedgeFixture fixture;
  LeaseRequest retry = fixture.MakeLeaseRequest();
  retry.mIsRetry = true;
  fixture.Receive(retry);
  LeaseRequest longWork = fixture.MakeLeaseRequest();
  longWork.mIsLong = true;
  fixture.Receive(longWork);
  LONGS_EQUAL(2, fixture.mState.mLeases.size());
  LONGS_EQUAL(0, fixture.OffersAfter().size());
}

TEST(Hedges, AreNotOfferedWhileTheServiceIsSlow)
{
  HedgeFixture fixture;
  fixture.Request(12);
  LONGS_EQUAL(0, fixture.OffersAfter().size());
  LONGS_EQUAL(12, fixture.Denied(HedgeDenial::SlowService));
}

TEST(Hedges, AreSentToOtherZonesWhileOneIsSlow)
{
  HedgeFixture fixture(true);
  fixture.Request();
  const ActiveLease& lease = fixture.mState.mLeases.begin()->second;
  CHECK(fixture.mState.mPool.mTargets[lease.mTarget].mZone == kZone);
  auto& overdue = fixture.mState.mHedges.mOverdue;
  RecordShare(overdue[kZone], fixture.mNow, 40, 30);
  RecordShare(overdue[kOtherZone], fixture.mNow, 40, 2);
  auto offers = fixture.OffersAfter();
  LONGS_EQUAL(1, offers.size());
  CHECK(fixture.mState.mPool.mTargets[offers[0].mTarget].mZone == kOtherZone);
}

TEST(Hedges, AreNotOfferedWhileTargetsRefuse)
{
  HedgeFixture fixture;
  fixture.Request(3);
  for (int i = 0; i < 3; ++i) {
    fixture.Report(fixture.LastLease() - static_cast<LeaseId>(i),
                   TargetOutcome::Shed);
  }
  fixture.Request();
  LONGS_EQUAL(0, fixture.OffersAfter().size());
  LONGS_EQUAL(1, fixture.Denied(HedgeDenial::FailingService));
}

TEST(Hedges, LeaveSlotsFreeAtALoadPeak)
{
  HedgeFixture fixture;
  fixture.Request();
  fixture.mNow += milliseconds(150);
  fixture.Request(23);
  // 24 of 30 slots are busy and 6 must stay free.
  LONGS_EQUAL(0, fixture.OffersAfter(milliseconds(10)).size());
  LONGS_EQUAL(1, fixture.Denied(HedgeDenial::NoSlot));
}

TEST(Hedges, StopAtTheHedgeBudget)
{
  HedgeFixture fixture;
  fixture.mState.mHedges.mTokens.mTokens = 0.5;
  fixture.Request();
  LONGS_EQUAL(0, fixture.OffersAfter().size());
  LONGS_EQUAL(1, fixture.Denied(HedgeDenial::HedgeBudget));
}

TEST(Hedges, LeaveAPartOfTheRetryBudgetToRetries)
{
  HedgeFixture fixture;
  fixture.mState.mRetryTokens = 10;
  fixture.Request();
  LONGS_EQUAL(0, fixture.OffersAfter().size());
  LONGS_EQUAL(1, fixture.Denied(HedgeDenial::RetryBudget));
}

TEST(Hedges, StopAtTheRoutesLowerBudget)
{
  HedgeFixture fixture;
  Document document = MakeServiceDocument("ledger");
  Route route;
  route.mName = RouteName("balance");
  route.mService = fixture.mSettings.mName;
  route.mHedgePercent = 1;
  document.mRoutes[route.mName] = route;
  UpdateHedgeRoutes(fixture.mState, fixture.mSettings, document, { 0, 1 });
  auto hash = fixture.mState.mHedges.mRoutePercents.begin()->first;
  fixture.mState.mHedges.mWork[hash] = fixture.Work();
  LeaseRequest request = fixture.MakeLeaseRequest();
  request.mRoute = hash;
  fixture.Receive(request);
  LONGS_EQUAL(0, fixture.OffersAfter().size());
  LONGS_EQUAL(1, fixture.Denied(HedgeDenial::HedgeBudget));
  // A budget above the service's does not raise it.
  document.mRoutes[route.mName].mHedgePercent = 50;
  UpdateHedgeRoutes(fixture.mState, fixture.mSettings, document, { 0, 2 });
  CHECK(fixture.mState.mHedges.mRoutePercents.empty());
  // One target for each request leaves none for a hedge.
  document.mRoutes[route.mName].mAttempts = 1;
  UpdateHedgeRoutes(fixture.mState, fixture.mSettings, document, { 0, 3 });
  LONGS_EQUAL(0, fixture.mState.mHedges.mRoutePercents[hash]);
}

TEST(Hedges, AreNotOfferedWhereTheTimeLeftIsTooShort)
{
  HedgeFixture fixture;
  LeaseRequest request = fixture.MakeLeaseRequest();
  request.mDeadline = kOverdueAge + milliseconds(10);
  fixture.Receive(request);
  LONGS_EQUAL(0, fixture.OffersAfter().size());
  LONGS_EQUAL(1, fixture.Denied(HedgeDenial::TimeLeft));
}

TEST(Hedges, DoNotRepeatLongWork)
{
  HedgeFixture fixture;
  for (int i = 0; i < 10; ++i) {
    RecordHedgeResult(fixture.Work(), false);
  }
  std::size_t offers = 0;
  constexpr std::size_t kOverdueRequests = 200;
  for (std::size_t i = 0; i < kOverdueRequests; ++i) {
    fixture.Request();
    LeaseId first = fixture.LastLease();
    offers += fixture.OffersAfter().size();
    LeaseId last = fixture.LastLease();
    fixture.Report(first, TargetOutcome::Answered);
    if (last != first) {
      fixture.Report(last, TargetOutcome::Cancelled);
    }
    // The distribution stays that of the other requests.
    RouteWork work = HedgeFixture().Work();
    work.mWon = fixture.Work().mWon;
    work.mLost = fixture.Work().mLost;
    work.mOverdueSinceHedge = fixture.Work().mOverdueSinceHedge;
    fixture.Work() = work;
    fixture.mState.mBaselines.clear();
    fixture.mState.mHedges.mOverdue.clear();
    fixture.mNow += seconds(1);
  }
  LONGS_EQUAL(kOverdueRequests / 40, offers);
}

TEST(Hedges, AreNotSentToSuspectTargets)
{
  HedgeFixture fixture;
  fixture.Request();
  TargetId first = fixture.mState.mLeases.begin()->second.mTarget;
  fixture.mNow += milliseconds(180);
  for (auto& [id, target] : fixture.mState.mPool.mTargets) {
    if (id != first) {
      RecordFailure(target.mPenalty, fixture.mNow, kFailureScore);
    }
  }
  LONGS_EQUAL(0, fixture.OffersAfter(milliseconds(20)).size());
  LONGS_EQUAL(1, fixture.Denied(HedgeDenial::NoTarget));
}

TEST(Hedges, AreSentEarlierIfTheFirstTargetIsSuspect)
{
  for (bool isSuspect : { false, true }) {
    HedgeFixture fixture;
    fixture.Request();
    TargetId first = fixture.mState.mLeases.begin()->second.mTarget;
    if (isSuspect) {
      RecordFailure(fixture.mState.mPool.mTargets[first].mPenalty,
                    fixture.mNow,
                    kFailureScore);
    }
    LONGS_EQUAL(isSuspect ? 1 : 0,
                fixture.OffersAfter(milliseconds(23)).size());
  }
}

TEST(Hedges, CancelledSendsAreNoEvidence)
{
  for (bool hasHedgeWon : { false, true }) {
    HedgeFixture fixture;
    fixture.Request();
    LeaseId first = fixture.LastLease();
    fixture.OffersAfter();
    LeaseId second = fixture.LastLease();
    CHECK(first != second);
    LeaseId loser = hasHedgeWon ? first : second;
    TargetId target = fixture.mState.mLeases.at(loser).mTarget;
    TargetEvidence before = fixture.mState.mPool.mTargets[target].mEvidence;
    fixture.Report(hasHedgeWon ? second : first, TargetOutcome::Answered);
    double served = fixture.mState.mRecentServed;
    fixture.Report(loser, TargetOutcome::Cancelled);
    const PooledTarget& after = fixture.mState.mPool.mTargets[target];
    DOUBLES_EQUAL(before.mFailureRate, after.mEvidence.mFailureRate, 1e-9);
    LONGS_EQUAL(0, after.mEvidence.mScoresByZone.size());
    CHECK(!IsPenalized(after.mPenalty, fixture.mNow));
    LONGS_EQUAL(0, fixture.Busy());
    LONGS_EQUAL(0, fixture.mState.mLeases.size());
    DOUBLES_EQUAL(served, fixture.mState.mRecentServed, 1e-9);
    DOUBLES_EQUAL(0, fixture.mState.mRecentUnserved, 1e-9);
    DOUBLES_EQUAL(hasHedgeWon ? 1 : 0, fixture.Work().mWon, 1e-9);
    DOUBLES_EQUAL(hasHedgeWon ? 0 : 1, fixture.Work().mLost, 1e-9);
    // One sample for each request, that of its first send.
    LONGS_EQUAL(1, fixture.mState.mBaselines[kRoute].mSampleCount);
  }
}

TEST(Hedges, AFailedHedgeIsNotAnUnservedRequest)
{
  HedgeFixture fixture;
  fixture.Request();
  fixture.OffersAfter();
  fixture.Report(fixture.LastLease(), TargetOutcome::Broken);
  DOUBLES_EQUAL(0, fixture.mState.mRecentUnserved, 1e-9);
  LONGS_EQUAL(1, fixture.Busy());
}

TEST(Hedges, LearnedTimesFollowTheRoute)
{
  RouteWork work;
  for (int i = 0; i < 1000; ++i) {
    RecordWork(work, milliseconds(i % 20 == 0 ? 400 : 20));
  }
  CHECK(work.mMedian >= milliseconds(20) && work.mMedian < milliseconds(25));
  CHECK(work.mQ90 < milliseconds(25));
  auto left = MeanTimeLeft(work, milliseconds(100));
  CHECK(left && *left > milliseconds(250) && *left < milliseconds(400));
  CHECK(!MeanTimeLeft(work, milliseconds(900)));
  for (int i = 0; i < 6000; ++i) {
    RecordWork(work, milliseconds(80));
  }
  CHECK(work.mMedian >= milliseconds(80) && work.mMedian < milliseconds(100));
}

TEST(Hedges, TheSettingAppliesToEveryServiceOfThePlatform)
{
  auto line = ParseSettings({ "--listen=127.0.0.1:1",
                              "--peer=127.0.0.1:2",
                              "--admin=127.0.0.1:3",
                              "--platform=127.0.0.1:4",
                              "--zone=a",
                              "--environment=test",
                              "--vm-group=proxies",
                              "--hedge-percent=4" },
                            {});
  CHECK(line.has_value());
  LONGS_EQUAL(4, line->mSettings.mHedgePercent);
  PlatformSettings platform;
  LONGS_EQUAL(0, platform.mHedgePercent);
  for (unsigned percent : { 0U, 4U }) {
    platform.mHedgePercent = percent;
    auto translated = TranslateConfig(
      R"({ "version": "1", "resources": [ { "type": "services",
           "metadata": { "name": "ledger" }, "spec": {} } ] })",
      "test",
      platform);
    CHECK(translated.has_value());
    const auto& services = translated->mDocument.mServices;
    LONGS_EQUAL(percent, services.begin()->second.mHedgePercent);
  }
}

/** Guards against a node that cannot read, during a rolling restart, what a
 * node without hedges has written. */
TEST(Hedges, EntriesWithoutABudgetAreRead)
{
  auto service = std::make_tuple(
    std::string("ledger"), std::string("group"), 60U, 0U, 5U, 10U, 30U, 4U);
  msgpack::sbuffer buf;
  msgpack::pack(buf, service);
  auto read = msgpack::unpack(buf.data(), buf.size())->as<Service>();
  LONGS_EQUAL(4, read.mVersion);
  LONGS_EQUAL(0, read.mHedgePercent);
}

TEST(Hedges, MembersOfADocumentAreOptionalAndChecked)
{
  auto parse = [](const std::string& aService, const std::string& aRoute) {
    return ParseDocument(R"({ "environment": "test", "services": [
      { "name": "ledger", "vmGroup": "ledger", "floorPercent": 60)" +
                         aService + R"( } ], "routes": [ {
      "name": "balance", "service": "ledger", "method": "GET",
      "path": "/balance", "priority": 2, "deadlineMs": 2000)" +
                         aRoute + " } ] }");
  };
  auto without = parse("", "");
  LONGS_EQUAL(0, without->mServices.begin()->second.mHedgePercent);
  CHECK(!without->mRoutes.begin()->second.mHedgePercent);
  CHECK(FormatDocument(*without).find("hedge") == std::string::npos);
  auto with = parse(R"(, "hedgePercent": 5)", R"(, "hedgePercent": 2)");
  auto again = ParseDocument(FormatDocument(*with));
  LONGS_EQUAL(5, again->mServices.begin()->second.mHedgePercent);
  LONGS_EQUAL(2, *again->mRoutes.begin()->second.mHedgePercent);
  CHECK(!parse(R"(, "hedgePercent": 101)", ""));
  CHECK(!parse("", R"(, "hedgePercent": -1)"));
}
