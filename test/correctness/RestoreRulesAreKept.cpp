#include "../support/RestorationFleet.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

/** Guards against nodes that apply what a store answers in another era than
 * that of their copy, one rule for each test. */

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

/** A node with a copy of the entries at the position 1/10. */
struct EntryNode
{
  MembershipState mMembers =
    MembershipState::Make(NodeId("node"), ZoneName("z"), 1);
  Random mRandom;
  KeyedFeedState mFeed = KeyedFeedState::Make(EntryFeedSettings(), kStart);

  EntryNode()
  {
    Tick(kStart);
    Receive(kStart, Read(true, { 1, 10 }, { { "a", { 1, 3 }, "A" } }));
  }

  static FeedReadResult Read(bool aIsFull,
                             const StorePosition& aEnd,
                             std::vector<FeedEntry> aEntries)
  {
    FeedReadResult read;
    read.mTopic = kEntryTopic;
    read.mIsSuccessful = true;
    read.mIsSnapshot = aIsFull;
    read.mEnd = aEnd;
    read.mEntries = std::move(aEntries);
    return read;
  }
  Effects Tick(TimePoint aNow)
  {
    Effects effects;
    FeedTick(mFeed, { aNow, mMembers, mRandom, effects });
    return effects;
  }
  template<typename... Arguments>
  void Receive(TimePoint aNow, const Arguments&... aArguments)
  {
    Effects effects;
    FeedReceive(mFeed, { aNow, mMembers, mRandom, effects }, aArguments...);
  }
};

} // namespace

TEST_GROUP(RestoreRules){};

/** The offsets of a new era have other records than those that a read of
 * changes asked for. */
TEST(RestoreRules, AreReadInFullAfterChangesOfALaterEra)
{
  EntryNode node;
  TimePoint now = kStart + std::chrono::seconds(1);
  node.Tick(now);
  node.Receive(now,
               EntryNode::Read(false, { 2, 12 }, { { "b", { 2, 11 }, "B" } }));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("b"));
  CHECK(StorePosition(1, 10) == node.mFeed.mEnd);
  Effects effects = node.Tick(now);
  CHECK(std::get<ReadFeed>(effects.front()).mIsSnapshot);
}

/** A late full read of an earlier era would bring back lost entries. */
TEST(RestoreRules, IgnoreAndConfirmNothingByFullReadsOfAnEarlierEra)
{
  EntryNode node;
  node.Receive(kStart, EntryNode::Read(true, { 2, 5 }, {}));
  TimePoint freshAt = node.mFeed.mFreshAt;
  TimePoint now = kStart + std::chrono::seconds(1);
  node.mFeed.mNeedsFullRead = true;
  node.Tick(now);
  node.Receive(now,
               EntryNode::Read(true, { 1, 20 }, { { "b", { 1, 11 }, "B" } }));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("b"));
  CHECK(freshAt == node.mFeed.mFreshAt);
}

/** Owners of entries that the store has lost need time to write them again. */
TEST(RestoreRules, KeepMissingEntriesForTheGracePeriod)
{
  EntryNode node;
  node.Receive(kStart, EntryNode::Read(true, { 2, 5 }, {}));
  // No read confirms the removal, which waits for one for 0.8 s more.
  node.Tick(kStart + std::chrono::milliseconds(2999));
  LONGS_EQUAL(1, node.mFeed.mEntries.count("a"));
  node.Tick(kStart + std::chrono::milliseconds(3000));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
}

/** A peer's push overtook a read, whose answer added a removed entry again. */
TEST(RestoreRules, DoNotBringBackEntriesByAnOvertakenRead)
{
  EntryNode node;
  TimePoint now = kStart + std::chrono::seconds(1);
  node.Tick(now);
  FeedPush push{ kEntryTopic, { 1, 10 }, { 1, 20 }, false, Duration(0), {} };
  node.Receive(now, NodeId("peer"), push);
  node.Receive(now,
               EntryNode::Read(false, { 1, 12 }, { { "b", { 1, 11 }, "B" } }));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("b"));
  CHECK(StorePosition(1, 20) == node.mFeed.mEnd);
}
