#include "../support/FleetHelpers.h"

#include "SchedulerPlacement.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

const NodeId kProxy("10.0.0.1:7000");
const ZoneName kZone("zone-0");

/** A scheduler of one service with a few targets, past its listening time. */
class Desk
{
public:
  explicit Desk(std::size_t aTargets)
    : mState(SchedulerState::Make(ServiceName("ledger"), kProxy, 1, kStart))
  {
    mSettings.mName = ServiceName("ledger");
    mSettings.mVmGroup = "ledger";
    mSettings.mFloorPercent = 60;
    for (std::size_t i = 0; i < aTargets; ++i) {
      mVms.push_back(
        { "ledger", "t" + std::to_string(i) + ":80", "", kZone, 3, false });
    }
    ShowVms();
    mNow += seconds(1);
    Tick();
  }

  void ShowVms() { UpdatePool(mState.mPool, mNow, "ledger", mVms); }
  void Tick() { SchedulerTick(mState, mNow, mSettings, mEffects); }

  void Ask(RequestId aRequest,
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

  /** The grants since the last call, in order. */
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

TEST(Leases, AreNeverMoreThanTheSlots)
{
  Desk desk(2);
  for (RequestId i = 1; i <= 8; ++i) {
    desk.Ask(i, 1);
  }
  LONGS_EQUAL(6, desk.TakeGrants().size());
  LONGS_EQUAL(6, BusyShortSlots(desk.mState.mPool));
}

TEST(Leases, AFreedSlotGoesToTheFirstPriorityThenTheEarliestDeadline)
{
  Desk desk(3);
  for (RequestId i = 1; i <= 9; ++i) {
    desk.Ask(i, 1);
  }
  auto first = desk.TakeGrants();
  desk.Ask(10, 3, false, seconds(1));
  desk.Ask(11, 2, false, seconds(4));
  desk.Ask(12, 2, false, seconds(3));
  desk.Report(first[0].mLease, TargetOutcome::Answered);
  desk.Report(first[1].mLease, TargetOutcome::Answered);
  desk.Report(first[2].mLease, TargetOutcome::Answered);
  auto next = desk.TakeGrants();
  LONGS_EQUAL(3, next.size());
  LONGS_EQUAL(12, next[0].mRequest);
  LONGS_EQUAL(11, next[1].mRequest);
  LONGS_EQUAL(10, next[2].mRequest);
}

TEST(Leases, ARepeatedQuestionGetsTheSameLease)
{
  Desk desk(1);
  desk.Ask(1, 1);
  auto first = desk.TakeGrants();
  desk.Ask(1, 1);
  auto again = desk.TakeGrants();
  LONGS_EQUAL(1, again.size());
  CHECK(first[0].mLease == again[0].mLease);
  LONGS_EQUAL(1, BusyShortSlots(desk.mState.mPool));
}

TEST(Leases, AnExpiredLeaseFreesItsSlot)
{
  Desk desk(1);
  desk.Ask(1, 1, false, milliseconds(500));
  desk.mNow += seconds(1);
  desk.Tick();
  LONGS_EQUAL(1, BusyShortSlots(desk.mState.mPool));
  desk.mNow += seconds(1);
  desk.Tick();
  LONGS_EQUAL(0, BusyShortSlots(desk.mState.mPool));
}

TEST(Leases, ARefusalComesWithinATenthOfTheDeadline)
{
  Desk desk(1);
  for (RequestId i = 1; i <= 4; ++i) {
    desk.Ask(i, 1);
  }
  desk.mNow += milliseconds(179);
  desk.Tick();
  LONGS_EQUAL(0, desk.TakeRefusals().size());
  desk.mNow += milliseconds(11);
  desk.Tick();
  auto refusals = desk.TakeRefusals();
  LONGS_EQUAL(1, refusals.size());
  LONGS_EQUAL(4, refusals[0].mRequest);
}

TEST(Leases, LongWorkLeavesRoomForShort)
{
  Desk desk(4);
  // Short work has lately needed six slots.
  desk.mState.mShortDemand = 6;
  for (RequestId i = 1; i <= 12; ++i) {
    desk.Ask(i, 3, true, seconds(60));
  }
  unsigned reserved = ReservedForShort(desk.mState, desk.mNow);
  CHECK(reserved >= 6);
  LONGS_EQUAL(12 - reserved, desk.TakeGrants().size());
}

TEST(Leases, ALeavingTargetGetsNoNewWork)
{
  Desk desk(2);
  desk.mVms[0].mIsLeaving = true;
  desk.ShowVms();
  for (RequestId i = 1; i <= 4; ++i) {
    desk.Ask(i, 1);
  }
  auto grants = desk.TakeGrants();
  LONGS_EQUAL(3, grants.size());
  for (const LeaseGrant& it : grants) {
    STRCMP_EQUAL("t1:80", it.mTarget.mValue.c_str());
  }
}

TEST(Leases, ATargetThatSaysItDrainsGetsNoNewWorkThoughTheListLags)
{
  Desk desk(2);
  desk.Ask(1, 1);
  auto grant = desk.TakeGrants()[0];
  desk.Report(grant.mLease, TargetOutcome::Draining);
  for (RequestId i = 2; i <= 9; ++i) {
    desk.Ask(i, 1);
  }
  for (const LeaseGrant& it : desk.TakeGrants()) {
    CHECK(it.mTarget != grant.mTarget);
  }
}

TEST(Leases, AColdTargetOpensItsSlotsInSteps)
{
  Desk desk(1);
  desk.mVms.push_back({ "ledger", "t9:80", "", kZone, 3, false });
  desk.ShowVms();
  LONGS_EQUAL(4, OpenSlots(desk.mState.mPool, desk.mNow));
  desk.mNow += milliseconds(1100);
  LONGS_EQUAL(5, OpenSlots(desk.mState.mPool, desk.mNow));
  desk.mNow += seconds(3);
  LONGS_EQUAL(6, OpenSlots(desk.mState.mPool, desk.mNow));
}

TEST(Leases, OfADeadProxyAreFreeAtOnce)
{
  Desk desk(1);
  for (RequestId i = 1; i <= 3; ++i) {
    desk.Ask(i, 1);
  }
  ForgetHolder(desk.mState, kProxy);
  LONGS_EQUAL(0, BusyShortSlots(desk.mState.mPool));
}

TEST(Leases, RetriesStayWithinTheirBudget)
{
  Desk desk(8);
  for (RequestId i = 1; i <= 20; ++i) {
    desk.Ask(i, 1);
    auto grants = desk.TakeGrants();
    desk.Report(grants[0].mLease, TargetOutcome::Answered);
  }
  std::size_t granted = 0;
  for (RequestId i = 101; i <= 110; ++i) {
    LeaseRequest retry;
    retry.mService = desk.mSettings.mName;
    retry.mRequest = i;
    retry.mIsRetry = true;
    retry.mDeadline = seconds(2);
    SchedulerReceive(desk.mState,
                     desk.mNow,
                     desk.mSettings,
                     kProxy,
                     kZone,
                     retry,
                     desk.mEffects);
    granted += desk.TakeGrants().size();
  }
  LONGS_EQUAL(2, granted);
}

TEST(Leases, ARequestThatCrashedTwoTargetsIsRefused)
{
  Desk desk(12);
  for (int i = 0; i < 2; ++i) {
    LeaseRequest poison;
    poison.mService = desk.mSettings.mName;
    poison.mRequest = 500 + static_cast<RequestId>(i);
    poison.mDeadline = seconds(2);
    poison.mFingerprint = 99;
    poison.mAvoidedTarget = TargetId(i == 0 ? "" : "t0:80");
    SchedulerReceive(desk.mState,
                     desk.mNow,
                     desk.mSettings,
                     kProxy,
                     kZone,
                     poison,
                     desk.mEffects);
    auto grants = desk.TakeGrants();
    LONGS_EQUAL(1, grants.size());
    desk.Report(grants[0].mLease, TargetOutcome::Broken);
  }
  LeaseRequest again;
  again.mService = desk.mSettings.mName;
  again.mRequest = 700;
  again.mDeadline = seconds(2);
  again.mFingerprint = 99;
  SchedulerReceive(desk.mState,
                   desk.mNow,
                   desk.mSettings,
                   kProxy,
                   kZone,
                   again,
                   desk.mEffects);
  auto refusals = desk.TakeRefusals();
  LONGS_EQUAL(1, refusals.size());
  CHECK(refusals[0].mReason == RefusalReason::HarmfulRequest);
}
