#include "../support/FleetHelpers.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

/** Returns the lowest configuration offset of the running nodes. */
LogOffset
LowestOffset(const FakeFleet& aFleet)
{
  LogOffset lowest = UINT64_MAX;
  for (const auto& it : aFleet.mNodes) {
    if (!it->mIsDead && !it->mIsPaused) {
      lowest = std::min(lowest, it->mState.mConfig.mConfig.mOffset);
    }
  }
  return lowest;
}

/** Runs the fleet until every running node has folded aOffset. Returns the
 * milliseconds that this took, or -1 if it took longer than aLimit. */
long
MillisecondsUntilInForce(FakeFleet& aFleet, LogOffset aOffset, Duration aLimit)
{
  TimePoint start = aFleet.Now();
  while (LowestOffset(aFleet) < aOffset) {
    if (aFleet.Now() - start > aLimit) {
      return -1;
    }
    aFleet.RunFor(milliseconds(10));
  }
  return (aFleet.Now() - start) / milliseconds(1);
}

void
AppendChange(FakeFleet& aFleet, const std::string& aId)
{
  Route route;
  route.mName = RouteName("extra-" + aId);
  route.mService = ServiceName("ledger");
  route.mMethod = "GET";
  route.mPath = "/extra/" + aId;
  route.mDeadline = milliseconds(500);
  Change change{ aId,
                 "test",
                 "test",
                 { { "route", route.mName.mValue, 0, FormatRoute(route) } } };
  aFleet.mLog.Append(aFleet.Now(), "test.config", FormatChange(change));
}

bool
IsNodeReady(FakeFleet& aFleet, std::size_t aNode)
{
  return IsReady(aFleet.mNodes[aNode]->mState, aFleet.Now());
}

} // namespace

TEST_GROUP(ConfigurationPropagation){};

TEST(ConfigurationPropagation, AChangeReachesFortyNodesWithinThreeSeconds)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FakeFleet fleet(40, 3, seed);
    PublishDocument(fleet, kSmallDocument);
    fleet.RunFor(seconds(3));
    AppendChange(fleet, "a");
    long ms = MillisecondsUntilInForce(fleet, 2, seconds(10));
    CHECK(ms >= 0);
    CHECK(ms <= 3000);
  }
}

TEST(ConfigurationPropagation, AZoneCutOffFromTheLogIsUpdatedWithinEightSeconds)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FakeFleet fleet(40, 3, seed);
    PublishDocument(fleet, kSmallDocument);
    fleet.RunFor(seconds(3));
    fleet.mCanReadLog = [](std::size_t aNode) { return aNode % 3 != 0; };
    AppendChange(fleet, "a");
    long ms = MillisecondsUntilInForce(fleet, 2, seconds(10));
    CHECK(ms >= 0);
    CHECK(ms <= 8000);
  }
}

TEST(ConfigurationPropagation, ANodeCutOffFromItsPeersReadsTheLogItself)
{
  FakeFleet fleet(10, 2, 1);
  PublishDocument(fleet, kSmallDocument);
  fleet.RunFor(seconds(3));
  fleet.mIsLost = [](std::size_t aFrom, std::size_t aTo, const Message&) {
    return aFrom == 4 || aTo == 4;
  };
  AppendChange(fleet, "a");
  CHECK(MillisecondsUntilInForce(fleet, 2, seconds(10)) >= 0);
}

TEST(ConfigurationPropagation,
     ANodeStartedDuringALogOutageLoadsTheNewestStateFromPeers)
{
  FakeFleet fleet(8, 2, 1);
  PublishDocument(fleet, kSmallDocument);
  fleet.RunFor(seconds(3));
  AppendChange(fleet, "a");
  fleet.RunFor(seconds(3));
  fleet.mLog.mIsDown = true;
  fleet.RunFor(std::chrono::hours(2));
  fleet.KillNode(5);
  fleet.StartNode(5);
  CHECK(!IsNodeReady(fleet, 5));
  fleet.RunFor(seconds(3));
  CHECK(IsNodeReady(fleet, 5));
  LONGS_EQUAL(2, fleet.mNodes[5]->mState.mConfig.mConfig.mOffset);
}

TEST(ConfigurationPropagation, NoNodeIsReadyBelowTheHighestKnownOffset)
{
  FakeFleet fleet(6, 2, 3);
  PublishDocument(fleet, kSmallDocument);
  fleet.RunFor(seconds(3));
  AppendChange(fleet, "a");
  fleet.RunFor(seconds(2));
  fleet.mLog.mIsDown = true;
  fleet.KillNode(2);
  fleet.StartNode(2);
  for (int i = 0; i < 400; ++i) {
    fleet.RunFor(milliseconds(10));
    if (IsNodeReady(fleet, 2)) {
      LONGS_EQUAL(2, fleet.mNodes[2]->mState.mConfig.mConfig.mOffset);
    }
  }
  CHECK(IsNodeReady(fleet, 2));
}

TEST(ConfigurationPropagation, AStalePeerDoesNotMakeANewNodeReady)
{
  FakeFleet fleet(6, 2, 3);
  PublishDocument(fleet, kSmallDocument);
  fleet.RunFor(seconds(3));
  // Node 0 is cut off from the log and its peers while the change is applied.
  fleet.mCanReadLog = [](std::size_t aNode) { return aNode != 0; };
  fleet.mIsLost = [](std::size_t aFrom, std::size_t aTo, const Message&) {
    return aFrom == 0 || aTo == 0;
  };
  AppendChange(fleet, "a");
  fleet.RunFor(seconds(3));
  LONGS_EQUAL(1, fleet.mNodes[0]->mState.mConfig.mConfig.mOffset);
  fleet.mLog.mIsDown = true;
  fleet.KillNode(2);
  fleet.StartNode(2);
  // At first the new node can reach only the stale one.
  fleet.mIsLost = [](std::size_t aFrom, std::size_t aTo, const Message&) {
    bool isNew = aFrom == 2 || aTo == 2;
    bool isStale = aFrom == 0 || aTo == 0;
    return isNew != isStale;
  };
  for (int i = 0; i < 60; ++i) {
    fleet.RunFor(milliseconds(10));
    CHECK(!IsNodeReady(fleet, 2));
  }
  fleet.mIsLost = [](std::size_t, std::size_t, const Message&) {
    return false;
  };
  fleet.RunFor(seconds(5));
  CHECK(IsNodeReady(fleet, 2));
  LONGS_EQUAL(2, fleet.mNodes[2]->mState.mConfig.mConfig.mOffset);
}

TEST(ConfigurationPropagation, AStartAfterLogTruncationUsesACheckpoint)
{
  FakeFleet fleet(3, 1, 1);
  PublishDocument(fleet, kSmallDocument);
  fleet.RunFor(seconds(2));
  for (int i = 0; i < 600; ++i) {
    AppendChange(fleet, std::to_string(i));
  }
  fleet.RunFor(seconds(5));
  LogOffset end = fleet.mLog.mStreams["test.config"].size();
  CHECK(end > 601);
  // The platform drops the first records, and all nodes restart at once.
  fleet.mLog.mFirst["test.config"] = 400;
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.KillNode(i);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.StartNode(i);
  }
  fleet.RunFor(seconds(3));
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(IsNodeReady(fleet, i));
    const ConfigState& config = fleet.mNodes[i]->mState.mConfig.mConfig;
    LONGS_EQUAL(end, config.mOffset);
    LONGS_EQUAL(602, config.mDocument.mRoutes.size());
  }
}
