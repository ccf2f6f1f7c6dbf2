#include "../support/FleetHelpers.h"

#include "SchedulerPlacement.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

const NodeId kProxy("10.0.0.1:7000");
const ZoneName kZone("zone-0");

/** A scheduler of one service with aTargets targets of 3 slots each, past its
 * startup listen time. */
class SchedulerFixture
{
public:
  explicit SchedulerFixture(std::size_t aTargets)
    : mState(SchedulerState::Make(ServiceName("ledger"), kProxy, 1, kStart))
  {
    mSettings.mName = ServiceName("ledger");
    mSettings.mVmGroup = "ledger";
    mSettings.mFloorPercent = 60;
    for (std::size_t i = 0; i < aTargets; ++i) {
      mVms.push_back(
        { "ledger", "t" + std::to_string(i) + ":80", "", kZone, 3, false });
    }
    UpdateVms();
    mNow += seconds(1);
    Tick();
  }

  void UpdateVms() { UpdatePool(mState.mPool, mNow, "ledger", mVms); }
  void Tick() { SchedulerTick(mState, mNow, mSettings, mEffects); }

  void RequestSlot(RequestId aRequest,
                   unsigned aPriority,
                   bool aIsLong = false,
                   Duration aDeadline = seconds(2))
  {
    LeaseRequest request;
    request.mService = mSettings.mName;
    request.mRequest = aRequest;
    request.mPriority = static_cast<std::uint8_t>(aPriority);
    request.mIsLong = aIsLong;
    request.mDeadline = aDeadline;
    request.mFingerprint = aRequest;
    SchedulerReceive(mState, mNow, mSettings, kProxy, kZone, request, mEffects);
  }

  void Report(LeaseId aLease, TargetOutcome aOutcome)
  {
    LeaseReport report;
    report.mLease = aLease;
    report.mOutcome = aOutcome;
    report.mLatency = milliseconds(20);
    SchedulerReceive(mState, mNow, mSettings, kProxy, report, mEffects);
  }

  /** Returns the grants since the last call, in order. */
  std::vector<LeaseGrant> TakeGrants() { return Take<LeaseGrant>(); }
  std::vector<LeaseRefusal> TakeRefusals() { return Take<LeaseRefusal>(); }

  SchedulerState mState;
  Service mSettings;
  std::vector<Vm> mVms;
  TimePoint mNow = kStart;
  Effects mEffects;

private:
  template<typename Kind>
  std::vector<Kind> Take()
  {
    std::vector<Kind> taken;
    Effects rest;
    for (Effect& it : mEffects) {
      auto* send = std::get_if<SendToPeer>(&it);
      if (send && std::holds_alternative<Kind>(send->mMessage)) {
        taken.push_back(std::get<Kind>(send->mMessage));
      } else {
        rest.push_back(std::move(it));
      }
    }
    mEffects = std::move(rest);
    return taken;
  }
};

} // namespace

TEST_GROUP(Leases){};

TEST(Leases, NeverExceedTheSlots)
{
  SchedulerFixture fixture(2);
  for (RequestId i = 1; i <= 8; ++i) {
    fixture.RequestSlot(i, 1);
  }
  LONGS_EQUAL(6, fixture.TakeGrants().size());
  LONGS_EQUAL(6, BusyShortSlots(fixture.mState.mPool));
}

TEST(Leases, AFreedSlotGoesToTheFirstPriorityThenTheEarliestDeadline)
{
  SchedulerFixture fixture(3);
  for (RequestId i = 1; i <= 9; ++i) {
    fixture.RequestSlot(i, 1);
  }
  auto first = fixture.TakeGrants();
  fixture.RequestSlot(10, 3, false, seconds(1));
  fixture.RequestSlot(11, 2, false, seconds(4));
  fixture.RequestSlot(12, 2, false, seconds(3));
  fixture.Report(first[0].mLease, TargetOutcome::Answered);
  fixture.Report(first[1].mLease, TargetOutcome::Answered);
  fixture.Report(first[2].mLease, TargetOutcome::Answered);
  auto next = fixture.TakeGrants();
  LONGS_EQUAL(3, next.size());
  LONGS_EQUAL(12, next[0].mRequest);
  LONGS_EQUAL(11, next[1].mRequest);
  LONGS_EQUAL(10, next[2].mRequest);
}

TEST(Leases, ARepeatedRequestGetsTheSameLease)
{
  SchedulerFixture fixture(1);
  fixture.RequestSlot(1, 1);
  auto first = fixture.TakeGrants();
  fixture.RequestSlot(1, 1);
  auto again = fixture.TakeGrants();
  LONGS_EQUAL(1, again.size());
  CHECK(first[0].mLease == again[0].mLease);
  LONGS_EQUAL(1, BusyShortSlots(fixture.mState.mPool));
}

TEST(Leases, AnExpiredLeaseFreesItsSlot)
{
  SchedulerFixture fixture(1);
  fixture.RequestSlot(1, 1, false, milliseconds(500));
  fixture.mNow += seconds(1);
  fixture.Tick();
  LONGS_EQUAL(1, BusyShortSlots(fixture.mState.mPool));
  fixture.mNow += seconds(1);
  fixture.Tick();
  LONGS_EQUAL(0, BusyShortSlots(fixture.mState.mPool));
}

TEST(Leases, ARefusalComesWithinATenthOfTheDeadline)
{
  SchedulerFixture fixture(1);
  for (RequestId i = 1; i <= 4; ++i) {
    fixture.RequestSlot(i, 1);
  }
  fixture.mNow += milliseconds(179);
  fixture.Tick();
  LONGS_EQUAL(0, fixture.TakeRefusals().size());
  fixture.mNow += milliseconds(11);
  fixture.Tick();
  auto refusals = fixture.TakeRefusals();
  LONGS_EQUAL(1, refusals.size());
  LONGS_EQUAL(4, refusals[0].mRequest);
}

TEST(Leases, LongRequestsLeaveReservedSlotsFree)
{
  SchedulerFixture fixture(4);
  // Short requests need six slots on average.
  fixture.mState.mShortDemand = 6;
  for (RequestId i = 1; i <= 12; ++i) {
    fixture.RequestSlot(i, 3, true, seconds(60));
  }
  unsigned reserved = SlotsReservedForShort(fixture.mState, fixture.mNow);
  CHECK(reserved >= 6);
  LONGS_EQUAL(12 - reserved, fixture.TakeGrants().size());
}

TEST(Leases, ALeavingTargetGetsNoNewRequests)
{
  SchedulerFixture fixture(2);
  fixture.mVms[0].mIsLeaving = true;
  fixture.UpdateVms();
  for (RequestId i = 1; i <= 4; ++i) {
    fixture.RequestSlot(i, 1);
  }
  auto grants = fixture.TakeGrants();
  LONGS_EQUAL(3, grants.size());
  for (const LeaseGrant& it : grants) {
    STRCMP_EQUAL("t1:80", it.mTarget.mValue.c_str());
  }
}

TEST(Leases, ADrainingTargetGetsNoRequestsBeforeTheVmListShowsIt)
{
  SchedulerFixture fixture(2);
  fixture.RequestSlot(1, 1);
  auto grant = fixture.TakeGrants()[0];
  fixture.Report(grant.mLease, TargetOutcome::Draining);
  for (RequestId i = 2; i <= 9; ++i) {
    fixture.RequestSlot(i, 1);
  }
  for (const LeaseGrant& it : fixture.TakeGrants()) {
    CHECK(it.mTarget != grant.mTarget);
  }
}

TEST(Leases, AColdTargetOpensItsSlotsInSteps)
{
  SchedulerFixture fixture(1);
  fixture.mVms.push_back({ "ledger", "t9:80", "", kZone, 3, false });
  fixture.UpdateVms();
  LONGS_EQUAL(4, OpenSlots(fixture.mState.mPool, fixture.mNow));
  fixture.mNow += milliseconds(1100);
  LONGS_EQUAL(5, OpenSlots(fixture.mState.mPool, fixture.mNow));
  fixture.mNow += seconds(3);
  LONGS_EQUAL(6, OpenSlots(fixture.mState.mPool, fixture.mNow));
}

TEST(Leases, OfADeadProxyAreReleasedAtOnce)
{
  SchedulerFixture fixture(1);
  for (RequestId i = 1; i <= 3; ++i) {
    fixture.RequestSlot(i, 1);
  }
  RemoveProxy(fixture.mState, kProxy);
  LONGS_EQUAL(0, BusyShortSlots(fixture.mState.mPool));
}

TEST(Leases, RetriesStayWithinTheirBudget)
{
  SchedulerFixture fixture(8);
  for (RequestId i = 1; i <= 20; ++i) {
    fixture.RequestSlot(i, 1);
    auto grants = fixture.TakeGrants();
    fixture.Report(grants[0].mLease, TargetOutcome::Answered);
  }
  std::size_t granted = 0;
  for (RequestId i = 101; i <= 110; ++i) {
    LeaseRequest retry;
    retry.mService = fixture.mSettings.mName;
    retry.mRequest = i;
    retry.mIsRetry = true;
    retry.mDeadline = seconds(2);
    SchedulerReceive(fixture.mState,
                     fixture.mNow,
                     fixture.mSettings,
                     kProxy,
                     kZone,
                     retry,
                     fixture.mEffects);
    granted += fixture.TakeGrants().size();
  }
  LONGS_EQUAL(2, granted);
}

TEST(Leases, ARequestThatCrashedTwoTargetsIsRefused)
{
  SchedulerFixture fixture(12);
  for (int i = 0; i < 2; ++i) {
    LeaseRequest harmful;
    harmful.mService = fixture.mSettings.mName;
    harmful.mRequest = 500 + static_cast<RequestId>(i);
    harmful.mDeadline = seconds(2);
    harmful.mFingerprint = 99;
    harmful.mAvoidedTarget = TargetId(i == 0 ? "" : "t0:80");
    SchedulerReceive(fixture.mState,
                     fixture.mNow,
                     fixture.mSettings,
                     kProxy,
                     kZone,
                     harmful,
                     fixture.mEffects);
    auto grants = fixture.TakeGrants();
    LONGS_EQUAL(1, grants.size());
    fixture.Report(grants[0].mLease, TargetOutcome::Broken);
  }
  LeaseRequest again;
  again.mService = fixture.mSettings.mName;
  again.mRequest = 700;
  again.mDeadline = seconds(2);
  again.mFingerprint = 99;
  SchedulerReceive(fixture.mState,
                   fixture.mNow,
                   fixture.mSettings,
                   kProxy,
                   kZone,
                   again,
                   fixture.mEffects);
  auto refusals = fixture.TakeRefusals();
  LONGS_EQUAL(1, refusals.size());
  CHECK(refusals[0].mReason == RefusalReason::HarmfulRequest);
}
