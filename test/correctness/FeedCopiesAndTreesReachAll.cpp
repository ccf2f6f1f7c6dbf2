#include "FeedTree.h"
#include "KeyedFeed.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace vanillascale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr std::size_t kEntries = 2000;

FeedSettings
MakeSettings()
{
  FeedSettings settings;
  settings.mTopic = "targets";
  settings.mReadInterval = milliseconds(450);
  settings.mStaleAfter = milliseconds(1000);
  settings.mMaxRecentEntries = 1024;
  settings.mPeerLoadTimeout = seconds(3);
  return settings;
}

/** One node with its membership view and its copy of a feed. */
struct FeedNode
{
  NodeId mId;
  MembershipState mMembers = MembershipState::Make(mId, ZoneName("z"), 1);
  Random mRandom;
  KeyedFeedState mFeed = KeyedFeedState::Make(MakeSettings(), kStart);

  explicit FeedNode(const char* aId)
    : mId(aId)
  {
  }

  template<typename... Arguments>
  Effects Receive(TimePoint aNow, const Arguments&... aArguments)
  {
    Effects effects;
    FeedReceive(mFeed, { aNow, mMembers, mRandom, effects }, aArguments...);
    return effects;
  }
};

FeedReadResult
MakeRead(LogOffset aEnd, std::vector<FeedEntry> aEntries, bool aIsSnapshot)
{
  FeedReadResult read;
  read.mTopic = "targets";
  read.mIsSuccessful = true;
  read.mIsSnapshot = aIsSnapshot;
  read.mEnd = { 0, aEnd };
  read.mEntries = std::move(aEntries);
  return read;
}

std::vector<FeedEntry>
MakeEntries()
{
  std::vector<FeedEntry> entries;
  for (std::size_t i = 0; i < kEntries; ++i) {
    entries.push_back(
      { "i-" + std::to_string(10000 + i), { 0, i }, std::string(90, 'v') });
  }
  return entries;
}

/** Returns the push among the effects of a pull. */
FeedPush
PushOf(const Effects& aEffects)
{
  return std::get<FeedPush>(std::get<SendToPeer>(aEffects.front()).mMessage);
}

FeedPull
PullOf(const Effects& aEffects)
{
  return std::get<FeedPull>(std::get<SendToPeer>(aEffects.front()).mMessage);
}

} // namespace

TEST_GROUP(FeedCopies){};

/** Guards against copies in one message: a node held up to 64 of them at a
 * time, and at 170,000 targets one is larger than a message may be. */
TEST(FeedCopies, ComeInPagesOfLimitedSize)
{
  FeedNode source("source:1");
  FeedNode node("node:1");
  source.Receive(kStart, MakeRead(kEntries, MakeEntries(), true));
  FeedPull pull{ "targets", { 0, 0 }, true, "" };
  std::size_t pages = 0;
  while (!node.mFeed.mIsLoaded) {
    FeedPush page = PushOf(source.Receive(kStart, node.mId, pull));
    CHECK(page.mIsSnapshot);
    std::size_t bytes = 0;
    for (const FeedEntry& it : page.mEntries) {
      bytes += it.mKey.size() + it.mValue.size();
    }
    CHECK(bytes <= kMaxPageBytes);
    if (++pages == 2) {
      // Entries may change and disappear while the copy is under way.
      source.Receive(kStart,
                     MakeRead(kEntries + 2,
                              { { "i-10000", { 0, kEntries }, "new" },
                                { "i-10001", { 0, kEntries + 1 }, "" } },
                              false));
    }
    Effects effects = node.Receive(kStart, source.mId, page);
    CHECK(node.mFeed.mIsLoaded || !effects.empty());
    pull = node.mFeed.mIsLoaded ? pull : PullOf(effects);
  }
  CHECK(pages > 2);
  CHECK(StorePosition(0, kEntries) == node.mFeed.mEnd);
  LONGS_EQUAL(kEntries, node.mFeed.mEntries.size());
  // The changes after the first page follow as such.
  pull = { "targets", node.mFeed.mEnd, true, "" };
  FeedPush changes = PushOf(source.Receive(kStart, node.mId, pull));
  CHECK(!changes.mIsSnapshot);
  LONGS_EQUAL(2, changes.mEntries.size());
  node.Receive(kStart, source.mId, changes);
  LONGS_EQUAL(kEntries - 1, node.mFeed.mEntries.size());
  STRCMP_EQUAL("new", node.mFeed.mEntries.at("i-10000").mValue.c_str());
}

/** A copy with pages of two eras lacks what the restored store has lost, which
 * was removed at once. */
TEST(FeedCopies, EndIfTheStoreIsRestoredBetweenTwoPages)
{
  FeedNode source("source:1");
  FeedNode node("node:1");
  source.Receive(kStart, MakeRead(kEntries, MakeEntries(), true));
  FeedPull pull{ "targets", { 0, 0 }, true, "" };
  Effects effects = node.Receive(
    kStart, source.mId, PushOf(source.Receive(kStart, node.mId, pull)));
  source.mFeed.mEnd = { 1, kEntries };
  FeedPush page = PushOf(source.Receive(kStart, node.mId, PullOf(effects)));
  CHECK(page.mIsSnapshot && !page.mPageAfter.empty());
  LONGS_EQUAL(0, node.Receive(kStart, source.mId, page).size());
  CHECK(!node.mFeed.mCopy);
}

TEST(FeedCopies, AreWholeForPeersThatAcceptNoPages)
{
  FeedNode source("source:1");
  source.Receive(kStart, MakeRead(kEntries, MakeEntries(), true));
  FeedPush copy = PushOf(source.Receive(
    kStart, NodeId("old:1"), FeedPull{ "targets", { 0, 0 }, false, "" }));
  LONGS_EQUAL(kEntries, copy.mEntries.size());
  CHECK(!copy.mHasMore);
}

/** Guards against a lost push that costs a copy of all entries. */
TEST(FeedCopies, AreNotNeededAfterALostPush)
{
  FeedNode source("source:1");
  FeedNode node("node:1");
  source.Receive(kStart, MakeRead(kEntries, MakeEntries(), true));
  FeedPull pull{ "targets", { 0, 0 }, true, "" };
  while (!node.mFeed.mIsLoaded) {
    Effects effects = node.Receive(
      kStart, source.mId, PushOf(source.Receive(kStart, node.mId, pull)));
    pull = node.mFeed.mIsLoaded ? pull : PullOf(effects);
  }
  LogOffset end = kEntries;
  FeedPush last;
  for (int i = 0; i < 3; ++i) {
    FeedEntry change{ "i-1000" + std::to_string(i), { 0, end++ }, "new" };
    source.Receive(kStart, MakeRead(end, { change }, false));
    last = {};
    last.mTopic = "targets";
    last.mAfter = { 0, end - 1 };
    last.mEnd = { 0, end };
    last.mEntries = { change };
  }
  // Only the last of the three arrives.
  FeedPull missed = PullOf(node.Receive(kStart + seconds(1), source.mId, last));
  FeedPush changes = PushOf(source.Receive(kStart, node.mId, missed));
  CHECK(!changes.mIsSnapshot);
  LONGS_EQUAL(3, changes.mEntries.size());
  node.Receive(kStart + seconds(1), source.mId, changes);
  CHECK(StorePosition(0, end) == node.mFeed.mEnd);
}

/** Guards against targets that have left and are in use again after a restart:
 * a starting node may copy from a peer that is cut off from the store. It must
 * read the store itself without delay. */
TEST(FeedCopies, OfAPeerThatIsCutOffAreReplacedAtOnce)
{
  FeedNode node("node:1");
  FeedPush copy;
  copy.mTopic = "targets";
  copy.mEnd = { 0, 5 };
  copy.mIsSnapshot = true;
  copy.mAge = seconds(5);
  copy.mEntries = { { "gone", { 0, 1 }, "v" } };
  node.Receive(kStart, NodeId("peer:1"), copy);
  CHECK(node.mFeed.mIsLoaded);
  Effects effects;
  FeedTick(node.mFeed,
           { kStart + milliseconds(10), node.mMembers, node.mRandom, effects });
  CHECK(std::holds_alternative<ReadFeed>(effects.back()));
  node.Receive(kStart + milliseconds(20),
               MakeRead(8, { { "gone", { 0, 7 }, "" } }, false));
  // The outage of the peer is none of the store's: nothing is kept for it.
  FeedTick(node.mFeed,
           { kStart + seconds(3), node.mMembers, node.mRandom, effects });
  LONGS_EQUAL(0, node.mFeed.mEntries.size());
}

TEST_GROUP(FeedTrees){};

/** Guards against nodes that a tree leaves out or reaches twice while all views
 * agree, and against a node that forwards to many. */
TEST(FeedTrees, ReachEachNodeOnce)
{
  constexpr std::size_t kNodes = 300;
  std::vector<MembershipState> views;
  for (std::size_t i = 0; i < kNodes; ++i) {
    NodeId self("n" + std::to_string(i) + ":1");
    views.push_back(MembershipState::Make(self, ZoneName("z"), 1));
    for (std::size_t j = 0; j < kNodes; ++j) {
      Member member;
      member.mZone = ZoneName("z");
      member.mIncarnation = 1;
      if (i != j) {
        views[i].mMembers.emplace("n" + std::to_string(j) + ":1", member);
      }
    }
  }
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FeedPush push;
    push.mTreeRoot = NodeId("n" + std::to_string(seed) + ":1");
    push.mTreeSeed = seed;
    std::multiset<std::string> reached;
    for (const MembershipState& it : views) {
      std::vector<NodeId> children = TreeChildren(it, push);
      CHECK(children.size() <= 6);
      for (const NodeId& child : children) {
        reached.insert(child.mValue);
      }
    }
    std::set<std::string> distinct(reached.begin(), reached.end());
    LONGS_EQUAL(kNodes - 1, reached.size());
    LONGS_EQUAL(kNodes - 1, distinct.size());
    LONGS_EQUAL(0, distinct.count(push.mTreeRoot.mValue));
  }
}
