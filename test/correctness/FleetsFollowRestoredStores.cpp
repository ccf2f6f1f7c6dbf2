#include "../support/FakeStore.h"
#include "../support/FleetHelpers.h"

#include "EventNumbers.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 12;
constexpr std::size_t kZones = 3;
constexpr std::size_t kTargets = 12;
/** The time in which a version has to be in force at all nodes, and in which a
 * leaving target has to be known to them. */
constexpr Duration kBound = seconds(2);
/** The time after a restore in which a missing target that is not written again
 * has to be out of use. */
constexpr Duration kGoneTime = seconds(3);
constexpr Duration kStep = milliseconds(5);
/** The time in which a node that is started has to be ready. */
constexpr Duration kReadyTime = seconds(2);
constexpr std::uint64_t kEpoch = 7;

Document
MakeDocument(std::uint64_t aRevision)
{
  Document document = MakeServiceDocument("billing");
  document.mRevision = aRevision;
  Route route;
  route.mName = RouteName("invoices");
  route.mService = ServiceName("billing");
  route.mPath = "/invoices/";
  route.mIdempotent = false;
  route.mAtMostOnceScope = AtMostOnceScope::PerRequest;
  route.mDeadline = milliseconds(1200);
  document.mRoutes[route.mName] = route;
  // A route that only this revision has, and one that changes with each.
  route.mName = RouteName("of-" + std::to_string(aRevision));
  route.mPath = "/of/" + std::to_string(aRevision) + "/";
  document.mRoutes[route.mName] = route;
  route.mName = RouteName("moving");
  route.mPath = "/moving/" + std::to_string(aRevision) + "/";
  document.mRoutes[route.mName] = route;
  return document;
}

TargetId
IdOf(std::size_t aTarget)
{
  return TargetId("i-" + std::to_string(aTarget) + "@10.0.64.9:8000");
}

/** A fleet whose documents and targets are listed in a store that is restored
 * from older copies. */
class Scenario
{
public:
  explicit Scenario(std::uint64_t aSeed)
    : mFleet(kNodes, kZones, aSeed, ConfigSource::KeyedFeeds)
    , mStore(mFleet, MakeDocument(1))
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
      if (left != mLeftAt.end() && mFleet.Now() - left->second > kBound) {
        ++mLateFromZone[aNode % kZones];
      }
    };
    mFleet.mOnEvent = [this](std::size_t, const WriteEvent& aEvent) {
      mRestoreEvents += aEvent.mNumber == kEventStoreRestored ? 1 : 0;
    };
    // The times of the reads differ from seed to seed.
    mFleet.RunFor(seconds(4) + milliseconds(RandomBelow(mFleet.mRandom, 900)));
  }

  /** Writes the entry of a target, as its worker does at each heartbeat. */
  void PutTarget(std::size_t aTarget, bool aIsLeaving)
  {
    Vm vm;
    vm.mGroup = "billing";
    vm.mAddress = IdOf(aTarget).mValue;
    vm.mZone = mFleet.ZoneAt(aTarget);
    vm.mSlots = 3;
    vm.mIsLeaving = aIsLeaving;
    vm.mIncarnation = 1;
    mStore.PutTarget(
      { InstanceOf(IdOf(aTarget)), {}, FormatVm(vm), { kEpoch, ++mSequence } });
  }

  void Publish()
  {
    mStore.Publish(MakeDocument(++mRevision));
    mPublishedAt = mFleet.Now();
  }

  void PublishAndRun(std::size_t aDocuments, Duration aTimeForEach)
  {
    for (std::size_t i = 0; i < aDocuments; ++i) {
      Publish();
      Run(aTimeForEach);
    }
  }

  std::uint64_t RevisionOf(std::size_t aNode) const
  {
    return mFleet.mNodes[aNode]->mState.mConfig.mConfig.mDocument.mRevision;
  }

  /** Runs the fleet, and checks all the time that no node goes back to an
   * earlier revision. */
  void Run(Duration aTime)
  {
    for (TimePoint end = mFleet.Now() + aTime; mFleet.Now() < end;) {
      mFleet.RunFor(std::min(kStep, end - mFleet.Now()));
      for (std::size_t i = 0; i < kNodes; ++i) {
        auto& [generation, highest] = mHighest[i];
        std::uint64_t current = mFleet.mNodes[i]->mProcessGeneration;
        highest = generation == current ? highest : 0;
        generation = current;
        mReturns += RevisionOf(i) < highest ? 1 : 0;
        highest = std::max(highest, RevisionOf(i));
      }
    }
  }

  /** Runs the fleet until the bound of the latest revision, and checks that it
   * is in force at all nodes, with its own routes only. */
  void CheckInForce()
  {
    Run(mPublishedAt + kBound - mFleet.Now());
    for (std::size_t i = 0; i < kNodes; ++i) {
      LONGS_EQUAL(mRevision, RevisionOf(i));
      const ConfigState& config = mFleet.mNodes[i]->mState.mConfig.mConfig;
      auto expected = MakeDocument(mRevision);
      LONGS_EQUAL(expected.mRoutes.size(), config.mDocument.mRoutes.size());
      std::string path = "/moving/" + std::to_string(mRevision) + "/1";
      const Route* route = FindRoute(config, "PUT", path);
      CHECK(route && route->mName == RouteName("moving"));
    }
    LONGS_EQUAL(0, mReturns);
  }

  /** Sends requests to all nodes, so many that each target is used. */
  void SendLoad(Duration aTime)
  {
    TimePoint end = mFleet.Now() + aTime;
    while (mFleet.Now() < end) {
      CallerRequest request;
      request.mRequest = ++mSent;
      request.mMethod = "PUT";
      request.mPath = "/invoices/1";
      request.mFingerprint = mSent;
      Duration work = DrawExponential(mFleet.mRandom, milliseconds(130));
      mFleet.Submit(RandomBelow(mFleet.mRandom, kNodes), request, { work });
      mFleet.RunFor(DrawExponential(mFleet.mRandom, milliseconds(6)) +
                    Duration(1));
    }
  }

  /** Cuts nodes off from the store and from what peers push and copy to them.
   */
  void Isolate(const std::function<bool(std::size_t)>& aIsIsolated)
  {
    mStore.mIsCutOff = aIsIsolated;
    mFleet.mIsLost = [aIsIsolated](std::size_t aFrom,
                                   std::size_t aTo,
                                   const Message& aMessage) {
      return std::holds_alternative<FeedPush>(aMessage) && aIsIsolated(aTo) &&
             !aIsIsolated(aFrom);
    };
  }
  void EndIsolation()
  {
    Isolate([](std::size_t) { return false; });
  }

  /** Returns the lowest and the highest number of targets in use at a node. */
  std::pair<std::size_t, std::size_t> TargetsInUse() const
  {
    std::pair<std::size_t, std::size_t> range{ SIZE_MAX, 0 };
    for (const auto& it : mFleet.mNodes) {
      range.first = std::min(range.first, it->mState.mVms.size());
      range.second = std::max(range.second, it->mState.mVms.size());
    }
    return range;
  }

  FakeFleet mFleet;
  FakeStore mStore;
  std::uint64_t mRevision = 1;
  std::uint64_t mSequence = 0;
  TimePoint mPublishedAt{};
  /** The highest revision of each node's process, with its generation. */
  std::array<std::pair<std::uint64_t, std::uint64_t>, kNodes> mHighest{};
  std::size_t mReturns = 0;
  std::size_t mRestoreEvents = 0;
  std::map<TargetId, TimePoint> mLeftAt;
  /** Requests that arrived at a leaving target too late, by the zone of their
   * node. */
  std::array<std::size_t, kZones> mLateFromZone{};
  std::size_t mAnswered = 0;
  std::size_t mUnanswered = 0;
  RequestId mSent = 0;
};

/** The times between a restore and the next publication. */
const std::vector<Duration> kPauses = { Duration(0),
                                        milliseconds(3),
                                        milliseconds(400),
                                        milliseconds(1300),
                                        milliseconds(4000) };

} // namespace

/** Guards against revisions that are not followed after the store was restored:
 * nodes compared their offsets with those of before, and took empty answers for
 * confirmations. */
TEST_GROUP(RevisionsAfterRestores){};

TEST(RevisionsAfterRestores, AreInForceBelowThePastEnd)
{
  for (std::uint64_t seed : TestSeeds(5)) {
    for (Duration pause : kPauses) {
      Scenario scenario(seed);
      scenario.PublishAndRun(5, milliseconds(700));
      LogOffset pastEnd = scenario.mStore.DocumentEnd();
      scenario.mStore.Restore(0, 3);
      scenario.Run(pause);
      scenario.Publish();
      CHECK(scenario.mStore.DocumentEnd() < pastEnd);
      scenario.CheckInForce();
      scenario.Publish();
      CHECK(scenario.mStore.DocumentEnd() < pastEnd);
      scenario.CheckInForce();
      scenario.Run(seconds(3));
      // One for each node and topic.
      LONGS_EQUAL(2 * kNodes, scenario.mRestoreEvents);
    }
  }
}

TEST(RevisionsAfterRestores, AreInForceAboveThePastEnd)
{
  for (std::uint64_t seed : TestSeeds(5)) {
    for (Duration pause : kPauses) {
      Scenario scenario(seed);
      scenario.PublishAndRun(5, milliseconds(700));
      LogOffset pastEnd = scenario.mStore.DocumentEnd();
      scenario.mStore.Restore(0, 2);
      scenario.Run(pause);
      scenario.PublishAndRun(4, milliseconds(1));
      CHECK(scenario.mStore.DocumentEnd() > pastEnd);
      scenario.CheckInForce();
      // The new order ends exactly where the earlier one did.
      pastEnd = scenario.mStore.DocumentEnd();
      scenario.mStore.Restore(0, 1);
      scenario.Publish();
      LONGS_EQUAL(pastEnd, scenario.mStore.DocumentEnd());
      scenario.CheckInForce();
    }
  }
}

TEST(RevisionsAfterRestores, AreInForceInAZoneThatIsCutOffFromTheStore)
{
  for (std::uint64_t seed : TestSeeds(5)) {
    for (Duration pause : kPauses) {
      Scenario scenario(seed);
      scenario.PublishAndRun(5, milliseconds(700));
      scenario.mStore.mIsCutOff = [](std::size_t aNode) {
        return aNode % kZones == 1;
      };
      scenario.Run(seconds(5));
      scenario.mStore.Restore(0, 3);
      scenario.Run(pause);
      scenario.Publish();
      scenario.CheckInForce();
      scenario.Run(milliseconds(RandomBelow(scenario.mFleet.mRandom, 1500)));
      scenario.Publish();
      scenario.CheckInForce();
    }
  }
}

TEST(RevisionsAfterRestores, AreInForceAtNodesThatStartInTheNewEra)
{
  constexpr std::size_t kStarted = 4;
  for (std::uint64_t seed : TestSeeds(5)) {
    for (Duration pause : kPauses) {
      Scenario scenario(seed);
      scenario.PublishAndRun(5, milliseconds(700));
      scenario.mFleet.KillNode(kStarted);
      scenario.Run(seconds(1));
      scenario.mStore.Restore(0, 3);
      scenario.Run(milliseconds(RandomBelow(scenario.mFleet.mRandom, 40)));
      scenario.mFleet.StartNode(kStarted);
      scenario.Run(pause);
      scenario.Publish();
      scenario.CheckInForce();
      // A node that starts after the bound has to have the revision when it
      // becomes ready.
      scenario.mFleet.KillNode(kStarted);
      scenario.mFleet.StartNode(kStarted);
      const NodeState& state = scenario.mFleet.mNodes[kStarted]->mState;
      TimePoint startedAt = scenario.mFleet.Now();
      while (!IsReady(state, scenario.mFleet.Now()) &&
             scenario.mFleet.Now() - startedAt < kReadyTime) {
        scenario.Run(milliseconds(1));
      }
      CHECK(IsReady(state, scenario.mFleet.Now()));
      LONGS_EQUAL(scenario.mRevision, scenario.RevisionOf(kStarted));
    }
  }
}

TEST(RevisionsAfterRestores, AreInForceAfterTwoRestoresInARow)
{
  for (std::uint64_t seed : TestSeeds(5)) {
    for (Duration pause : kPauses) {
      Scenario scenario(seed);
      scenario.PublishAndRun(6, milliseconds(700));
      scenario.mStore.Restore(0, 2);
      scenario.Run(pause);
      scenario.PublishAndRun(3, milliseconds(1));
      scenario.mStore.Restore(0, 4);
      scenario.Run(pause);
      scenario.Publish();
      scenario.CheckInForce();
      scenario.mStore.Restore(0, 1);
      scenario.mStore.Restore(0, 1);
      scenario.Publish();
      scenario.CheckInForce();
    }
  }
}

/** Guards against requests to a target that has stated to a restored store that
 * it leaves: its entry was taken for an earlier one, and schedulers and proxies
 * whose lists are of different eras overruled each other. */
TEST_GROUP(LeavingAfterRestores){};

namespace {

constexpr std::size_t kLeaving = 2;
constexpr Duration kIsolation = seconds(5);

/** Restores the store while some nodes are isolated, or none, and has a target
 * leave in the new era. */
void
LeaveInNewEra(Scenario& aScenario,
              const std::function<bool(std::size_t)>& aIsIsolated)
{
  std::size_t rewritten = 2 * kTargets;
  for (std::size_t i = 0; i < rewritten; ++i) {
    aScenario.PutTarget(i % kTargets, false);
  }
  aScenario.SendLoad(seconds(1));
  aScenario.Isolate(aIsIsolated);
  aScenario.mStore.Restore(rewritten, 0);
  aScenario.SendLoad(milliseconds(RandomBelow(aScenario.mFleet.mRandom, 800)));
  aScenario.PutTarget(kLeaving, true);
  aScenario.mLeftAt[IdOf(kLeaving)] = aScenario.mFleet.Now();
  aScenario.SendLoad(kIsolation);
  aScenario.EndIsolation();
  aScenario.SendLoad(seconds(4));
  CHECK(aScenario.mAnswered > 50 * aScenario.mUnanswered);
}

void
CheckNoneLate(const Scenario& aScenario)
{
  for (std::size_t late : aScenario.mLateFromZone) {
    LONGS_EQUAL(0, late);
  }
}

} // namespace

TEST(LeavingAfterRestores, TargetsGetNoRequests)
{
  for (std::uint64_t seed : TestSeeds(10)) {
    Scenario scenario(seed);
    LeaveInNewEra(scenario, [](std::size_t) { return false; });
    CheckNoneLate(scenario);
  }
}

TEST(LeavingAfterRestores, TargetsGetNoRequestsWhileTheSchedulersZoneIsBehind)
{
  for (std::uint64_t seed : TestSeeds(10)) {
    Scenario scenario(seed);
    scenario.SendLoad(milliseconds(200));
    std::size_t zone = SchedulerNodes(scenario.mFleet).front() % kZones;
    LeaveInNewEra(scenario,
                  [zone](std::size_t aNode) { return aNode % kZones == zone; });
    CheckNoneLate(scenario);
  }
}

TEST(LeavingAfterRestores, TargetsGetNoRequestsWhileTheOtherZonesAreBehind)
{
  for (std::uint64_t seed : TestSeeds(10)) {
    Scenario scenario(seed);
    scenario.SendLoad(milliseconds(200));
    std::size_t zone = SchedulerNodes(scenario.mFleet).front() % kZones;
    LeaveInNewEra(scenario,
                  [zone](std::size_t aNode) { return aNode % kZones != zone; });
    CheckNoneLate(scenario);
  }
}

/** Guards against targets that leave use because a restored store lacks them
 * for a moment, and against those that stay in use although they are gone. */
TEST_GROUP(MissingAfterRestores){};

TEST(MissingAfterRestores, TargetsStayInUseIfTheyAreWrittenAgain)
{
  constexpr std::size_t kMissing = 5;
  for (std::uint64_t seed : TestSeeds(10)) {
    Scenario scenario(seed);
    scenario.mStore.Restore(kMissing, 0);
    TimePoint restoredAt = scenario.mFleet.Now();
    for (Duration t{ 0 }; t < seconds(8); t += milliseconds(10)) {
      // The missing ones are written one by one, the last one after 1.95 s.
      for (std::size_t i = 0; i < kMissing; ++i) {
        if (t == milliseconds(350 + 400 * i)) {
          scenario.PutTarget(kTargets - kMissing + i, false);
        }
      }
      scenario.Run(milliseconds(10));
      LONGS_EQUAL(kTargets, scenario.TargetsInUse().first);
    }
    CHECK(scenario.mFleet.Now() - restoredAt >= seconds(8));
    LONGS_EQUAL(kTargets, scenario.TargetsInUse().second);
  }
}

TEST(MissingAfterRestores, TargetsAreGoneIfTheyAreNotWrittenAgain)
{
  constexpr std::size_t kMissing = 5;
  constexpr std::size_t kWritten = 2;
  for (std::uint64_t seed : TestSeeds(10)) {
    Scenario scenario(seed);
    scenario.mStore.Restore(kMissing, 0);
    TimePoint restoredAt = scenario.mFleet.Now();
    scenario.Run(seconds(1));
    for (std::size_t i = 0; i < kWritten; ++i) {
      scenario.PutTarget(kTargets - 1 - i, false);
    }
    while (scenario.mFleet.Now() - restoredAt < kBound) {
      LONGS_EQUAL(kTargets, scenario.TargetsInUse().first);
      scenario.Run(milliseconds(10));
    }
    scenario.Run(restoredAt + kGoneTime - scenario.mFleet.Now());
    std::size_t left = kTargets - kMissing + kWritten;
    LONGS_EQUAL(left, scenario.TargetsInUse().first);
    LONGS_EQUAL(left, scenario.TargetsInUse().second);
    scenario.Run(seconds(4));
    LONGS_EQUAL(left, scenario.TargetsInUse().first);
    LONGS_EQUAL(left, scenario.TargetsInUse().second);
  }
}
