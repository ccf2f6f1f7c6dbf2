#include "../support/Fakes.h"

#include "Duties.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

/** Returns a view of a fleet of VMs with a CPU share of 0.1 cores, except every
 * 20th VM, which has 0.5 cores. */
MembershipState
FleetWithMixedCpuShares(std::size_t aNodes)
{
  MembershipState state =
    MembershipState::Make(NodeId("10.0.0.0:1"), ZoneName("z"), 1);
  state.mCorePercent = 10;
  Ping ping;
  for (std::size_t i = 1; i < aNodes; ++i) {
    MemberUpdate update;
    update.mNode = NodeId("10.0.0." + std::to_string(i) + ":1");
    update.mZone = ZoneName("z");
    update.mIncarnation = 1;
    update.mCorePercent = i % 20 == 0 ? 50 : 10;
    ping.mUpdates.push_back(update);
  }
  Effects effects;
  MembershipReceive(state, kStart, NodeId("10.0.0.1:1"), ping, effects);
  return state;
}

} // namespace

TEST_GROUP(Duties){};

TEST(Duties, ArePlacedOnVmsWithLargeCpuShares)
{
  MembershipState fleet = FleetWithMixedCpuShares(92);
  for (int i = 0; i < 200; ++i) {
    NodeId owner = DutyOwner(fleet, "scheduler/" + std::to_string(i));
    LONGS_EQUAL(50, fleet.mMembers.at(owner).mCorePercent);
  }
}

TEST(Duties, FallBackToVmsWithSmallCpuShares)
{
  MembershipState fleet = FleetWithMixedCpuShares(92);
  auto owners = DutyOwnersInZone(fleet, "feed/targets", 7);
  LONGS_EQUAL(7, owners.size());
  for (std::size_t i = 0; i < 4; ++i) {
    LONGS_EQUAL(50, fleet.mMembers.at(owners[i]).mCorePercent);
  }
  for (std::size_t i = 4; i < 7; ++i) {
    CHECK(owners[i] == fleet.mSelf ||
          fleet.mMembers.at(owners[i]).mCorePercent == 10);
  }
}

TEST(Duties, MoveWhenACpuShareBecomesKnown)
{
  MembershipState fleet = FleetWithMixedCpuShares(10);
  std::uint64_t before = fleet.mVersion;
  Ping ping;
  MemberUpdate update;
  update.mNode = NodeId("10.0.0.3:1");
  update.mZone = ZoneName("z");
  update.mIncarnation = 2;
  update.mCorePercent = 50;
  ping.mUpdates.push_back(update);
  Effects effects;
  MembershipReceive(fleet, kStart, update.mNode, ping, effects);
  CHECK(fleet.mVersion > before);
  STRCMP_EQUAL("10.0.0.3:1",
               DutyOwner(fleet, "scheduler/ledger").mValue.c_str());
}
