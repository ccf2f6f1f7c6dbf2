#include "../support/FleetHelpers.h"

#include <cstdlib>

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

/** Returns the number of running nodes whose live members include aNode. */
std::size_t
CountNodesSeeingAsLive(const FakeFleet& aFleet, std::size_t aNode)
{
  NodeId id(FakeFleet::NodeName(aNode));
  std::size_t n = 0;
  for (std::size_t i = 0; i < aFleet.mNodes.size(); ++i) {
    const FakeNode& node = *aFleet.mNodes[i];
    if (i == aNode || node.mIsDead || node.mIsPaused) {
      continue;
    }
    auto live = LiveMembers(node.mState.mMembers);
    n += std::binary_search(live.begin(), live.end(), id) ? 1 : 0;
  }
  return n;
}

/** Runs the fleet until no node lists aNode as live. Returns the time that this
 * took in ms, or -1 if it exceeds aLimit. */
long
TimeUntilRemovedMs(FakeFleet& aFleet, std::size_t aNode, Duration aLimit)
{
  TimePoint start = aFleet.Now();
  while (CountNodesSeeingAsLive(aFleet, aNode) > 0) {
    if (aFleet.Now() - start > aLimit) {
      return -1;
    }
    aFleet.RunFor(milliseconds(20));
  }
  return (aFleet.Now() - start) / milliseconds(1);
}

void
CheckKilledNodeIsRemoved(std::size_t aNodes, std::uint64_t aSeed, long aLimitMs)
{
  FakeFleet fleet(aNodes, 3, aSeed);
  fleet.RunFor(seconds(4));
  fleet.KillNode(aNodes / 2);
  long ms = TimeUntilRemovedMs(fleet, aNodes / 2, seconds(10));
  CHECK(ms >= 0);
  CHECK(ms <= aLimitMs);
}

/** Returns whether the test runs under the sanitizers, with few cases and
 * without the large fleets. */
bool
IsShortRun()
{
  return std::getenv("VANILLASCALE_TEST_CASES") != nullptr;
}

std::vector<std::size_t>
FleetSizes()
{
  return IsShortRun() ? std::vector<std::size_t>{ 10, 40 }
                      : std::vector<std::size_t>{ 10, 40, 160, 640 };
}

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, AllNodesKnowAllOthersAfterTheStart)
{
  FakeFleet fleet(40, 3, 1);
  fleet.RunFor(seconds(4));
  for (std::size_t i = 0; i < 40; ++i) {
    LONGS_EQUAL(39, CountNodesSeeingAsLive(fleet, i));
  }
}

TEST(Membership, AKilledNodeOfFortyIsRemovedWithinTwoSeconds)
{
  for (std::uint64_t seed = 1; seed <= (IsShortRun() ? 2 : 20); ++seed) {
    CheckKilledNodeIsRemoved(40, seed, 2000);
  }
}

TEST(Membership, AKilledNodeOfSixHundredFortyIsRemovedWithinFourSeconds)
{
  CheckKilledNodeIsRemoved(IsShortRun() ? 80 : 640, 1, 4000);
}

TEST(Membership, APausedNodeIsRemovedAndRejoins)
{
  FakeFleet fleet(40, 3, 5);
  fleet.RunFor(seconds(4));
  // Pauses the node while one of its probes is outstanding.
  while (fleet.mNodes[7]->mState.mMembers.mProbes.empty()) {
    fleet.RunFor(microseconds(100));
  }
  fleet.PauseNode(7);
  // Messages to the paused node are lost, as with a full receive buffer.
  fleet.mIsLost = [](std::size_t, std::size_t aTo, const Message&) {
    return aTo == 7;
  };
  long ms = TimeUntilRemovedMs(fleet, 7, seconds(10));
  CHECK(ms >= 0);
  CHECK(ms <= 2000);
  fleet.RunFor(seconds(3));
  fleet.mIsLost = [](std::size_t, std::size_t, const Message&) {
    return false;
  };
  fleet.ResumeNode(7);
  fleet.RunFor(milliseconds(30));
  // The resumed node must not conclude from the missing acknowledgements that
  // other members have failed.
  const MembershipState& members = fleet.mNodes[7]->mState.mMembers;
  LONGS_EQUAL(0, members.mSuspects.size() + members.mDead.size());
  fleet.RunFor(seconds(3));
  LONGS_EQUAL(39, CountNodesSeeingAsLive(fleet, 7));
  for (std::size_t i = 0; i < 40; ++i) {
    LONGS_EQUAL(39, CountNodesSeeingAsLive(fleet, i));
  }
}

TEST(Membership, AOneWayPartitionDoesNotMakeANodeFlap)
{
  for (std::uint64_t seed = 1; seed <= (IsShortRun() ? 1 : 5); ++seed) {
    FakeFleet fleet(40, 3, seed);
    fleet.RunFor(seconds(4));
    fleet.mIsLost = [](std::size_t aFrom, std::size_t aTo, const Message&) {
      return aFrom == 3 && aTo == 9;
    };
    std::uint64_t before = fleet.mNodes[20]->mState.mMembers.mVersion;
    fleet.RunFor(seconds(60));
    CHECK(fleet.mNodes[20]->mState.mMembers.mVersion - before <= 1);
    LONGS_EQUAL(39, CountNodesSeeingAsLive(fleet, 3));
    LONGS_EQUAL(39, CountNodesSeeingAsLive(fleet, 9));
  }
}

TEST(Membership, CostPerNodeDoesNotGrowWithTheFleet)
{
  double lowest = 1e9;
  double highest = 0;
  for (std::size_t n : FleetSizes()) {
    FakeFleet fleet(n, 3, 1);
    // After this time the updates about the start have been disseminated.
    fleet.RunFor(seconds(30));
    fleet.mCountsSentBytes = true;
    fleet.RunFor(seconds(10));
    std::uint64_t bytes = 0;
    for (const auto& it : fleet.mNodes) {
      bytes += it->mSentBytes;
    }
    double each = static_cast<double>(bytes) / static_cast<double>(n) / 10;
    std::printf("membership: %zu nodes, %.0f bytes/s sent by each\n", n, each);
    lowest = std::min(lowest, each);
    highest = std::max(highest, each);
  }
  // A cost proportional to the size of the fleet would grow by a factor of 64.
  CHECK(highest < 2 * lowest);
}
