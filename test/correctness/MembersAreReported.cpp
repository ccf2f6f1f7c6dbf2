// Guards against a fleet whose parts do not see each other while no log line or
// metric shows it: operators then learn of it from callers.

#include "../support/FleetHelpers.h"

#include "EventNumbers.h"
#include "MemberReport.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

/** A fleet and the MembersChanged lines of each node. */
struct LoggedFleet
{
  FakeFleet mFleet;
  std::vector<std::vector<std::string>> mLines;

  LoggedFleet(std::size_t aNodes, ConfigSource aSource)
    : mFleet(aNodes, 3, 1, aSource)
    , mLines(aNodes)
  {
    mFleet.mOnEvent = [this](std::size_t aNode, const WriteEvent& aEvent) {
      if (aEvent.mNumber == kEventMembersChanged) {
        mLines[aNode].push_back(aEvent.mText);
      }
    };
  }
};

} // namespace

TEST_GROUP(MemberReport){};

TEST(MemberReport, AKilledNodeIsReportedAsUnreachable)
{
  LoggedFleet fleet(6, ConfigSource::ChangeStream);
  fleet.mFleet.RunFor(seconds(4));
  STRCMP_EQUAL("live=6 unreachable=0 seeds=0 seeds_unreachable=0",
               fleet.mLines[2].back().c_str());
  fleet.mFleet.KillNode(5);
  fleet.mFleet.RunFor(seconds(4));
  for (std::size_t i = 0; i < 5; ++i) {
    STRCMP_EQUAL("live=5 unreachable=1 seeds=0 seeds_unreachable=0",
                 fleet.mLines[i].back().c_str());
  }
}

TEST(MemberReport, ANodeThatLeftIsNotReportedAsUnreachable)
{
  LoggedFleet fleet(6, ConfigSource::ChangeStream);
  fleet.mFleet.RunFor(seconds(4));
  fleet.mFleet.Post(5, ShutdownRequested{});
  fleet.mFleet.RunFor(seconds(1));
  fleet.mFleet.KillNode(5);
  fleet.mFleet.RunFor(seconds(4));
  for (std::size_t i = 0; i < 5; ++i) {
    const NodeState& state = fleet.mFleet.mNodes[i]->mState;
    const Member& left =
      state.mMembers.mMembers.at(NodeId(FakeFleet::NodeName(5)));
    CHECK(left.mStatus == MemberStatus::Dead);
    LONGS_EQUAL(5, CountMembers(state.mMembers).mLive);
    LONGS_EQUAL(0, CountMembers(state.mMembers).mUnreachable);
  }
}

TEST(MemberReport, ANodeWithoutSeedsReportsThatItIsAlone)
{
  LoggedFleet fleet(4, ConfigSource::KeyedFeeds);
  fleet.mFleet.mContacts.mIsAvailable = false;
  fleet.mFleet.KillNode(0);
  fleet.mFleet.KillNode(1);
  fleet.mFleet.RunFor(seconds(5));
  STRCMP_EQUAL("live=1 unreachable=2 seeds=2 seeds_unreachable=2",
               fleet.mLines[3].back().c_str());
}

TEST(MemberReport, ManyChangesAreReportedOnceASecond)
{
  LoggedFleet fleet(60, ConfigSource::ChangeStream);
  fleet.mFleet.RunFor(seconds(4));
  std::size_t before = fleet.mLines[0].size();
  for (std::size_t i = 20; i < 60; ++i) {
    fleet.mFleet.KillNode(i);
  }
  fleet.mFleet.RunFor(seconds(10));
  CHECK(fleet.mLines[0].size() - before <= 10);
  STRCMP_EQUAL("live=20 unreachable=40 seeds=0 seeds_unreachable=0",
               fleet.mLines[0].back().c_str());
}
