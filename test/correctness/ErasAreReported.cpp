#include "EventNumbers.h"
#include "KeyedFeed.h"
#include "NodeReport.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

/** One node with its copy of a topic. Collects the effects. */
struct FeedNode
{
  MembershipState mMembers =
    MembershipState::Make(NodeId("10.0.0.1:1"), ZoneName("z"), 1);
  Random mRandom;
  KeyedFeedState mFeed;
  Effects mEffects;
  TimePoint mNow = kStart;

  explicit FeedNode(bool aHasWholeRecords = false)
  {
    FeedSettings settings;
    settings.mTopic = "topic";
    settings.mReadInterval = milliseconds(450);
    settings.mStaleAfter = milliseconds(1000);
    settings.mOutageGracePeriod = milliseconds(2200);
    settings.mHasWholeRecords = aHasWholeRecords;
    mFeed = KeyedFeedState::Make(settings, kStart);
  }

  /** Makes the next read that is due, which ends with aRead. */
  void Read(FeedReadResult aRead)
  {
    for (int i = 0; i < 1000 && !mFeed.mIsReading; ++i) {
      mNow += milliseconds(10);
      FeedTick(mFeed, { mNow, mMembers, mRandom, mEffects });
    }
    CHECK(mFeed.mIsReading);
    aRead.mTopic = "topic";
    aRead.mIsSuccessful = true;
    aRead.mIsSnapshot = mFeed.mIsFullRead;
    FeedReceive(mFeed, { mNow, mMembers, mRandom, mEffects }, aRead);
  }
  void Read(const StorePosition& aEnd,
            std::vector<FeedEntry> aEntries,
            std::uint64_t aRevision = 0)
  {
    FeedReadResult read;
    read.mEnd = aEnd;
    read.mEntries = std::move(aEntries);
    read.mRevision = aRevision;
    Read(std::move(read));
  }
  void Push(const FeedPush& aPush)
  {
    FeedReceive(
      mFeed, { mNow, mMembers, mRandom, mEffects }, NodeId("peer"), aPush);
  }

  /** Returns what was written with an event's lines. */
  std::vector<std::string> Lines(int aEvent) const
  {
    std::vector<std::string> lines;
    for (const Effect& it : mEffects) {
      const auto* event = std::get_if<WriteEvent>(&it);
      if (event && event->mNumber == aEvent) {
        lines.push_back(event->mText);
      }
    }
    return lines;
  }
};

void
CheckLines(const std::vector<std::string>& aExpected,
           const std::vector<std::string>& aLines)
{
  LONGS_EQUAL(aExpected.size(), aLines.size());
  for (std::size_t i = 0; i < aExpected.size(); ++i) {
    STRCMP_EQUAL(aExpected[i].c_str(), aLines[i].c_str());
  }
}

/** Returns a node whose copies of two topics end in different eras. */
NodeState
MakeNode()
{
  NodeState node = NodeState::Make({}, kStart);
  node.mFeeds.clear();
  for (const char* it : { kDocumentTopic, kTargetTopic }) {
    FeedSettings settings;
    settings.mTopic = it;
    node.mFeeds[it] = KeyedFeedState::Make(settings, kStart);
  }
  node.mFeeds[kDocumentTopic].mEnd = { 3, 17 };
  node.mFeeds[kDocumentTopic].mRevision = 102;
  node.mFeeds[kTargetTopic].mEnd = { 2, 4711 };
  node.mConfig.mConfig.mPosition = { 1, 16 };
  return node;
}

} // namespace

TEST_GROUP(ReportedEras){};

/** Guards against a restore that can't be told from a configuration that nobody
 * has changed, as in docs/incidents/restored-store-not-followed.md. */
TEST(ReportedEras, AreOnTheStatusPage)
{
  auto status = nlohmann::json::parse(
    ReportStatus(MakeNode(), kStart + milliseconds(1500)));
  std::pair<const char*, long> expected[] = {
    { "/configEra", 1 },
    { "/configOffset", 16 },
    { "/feeds/documents/era", 3 },
    { "/feeds/documents/end", 17 },
    { "/feeds/documents/revision", 102 },
    { "/feeds/documents/ageMs", 1500 },
    { "/feeds/targets/era", 2 },
    { "/feeds/targets/end", 4711 },
  };
  for (const auto& [place, value] : expected) {
    nlohmann::json::json_pointer pointer(place);
    CHECK_TEXT(status.contains(pointer), place);
    LONGS_EQUAL_TEXT(value, status.at(pointer).get<long>(), place);
  }
}

TEST(ReportedEras, AreMetricsOfEachTopic)
{
  std::string text = ReportMetrics(MakeNode(), {}, {}, kStart);
  for (const std::string& line :
       { "vanillascale_feed_era{topic=\"" + std::string(kDocumentTopic) +
           "\"} 3\n",
         "vanillascale_feed_end{topic=\"" + std::string(kDocumentTopic) +
           "\"} 17\n",
         "vanillascale_feed_era{topic=\"" + std::string(kTargetTopic) +
           "\"} 2\n",
         "vanillascale_feed_end{topic=\"" + std::string(kTargetTopic) +
           "\"} 4711\n" }) {
    CHECK_TEXT(text.find(line) != std::string::npos, line.c_str());
  }
}

/** Guards against a change of era without a line, and against a line for each
 * read. The first answer of the new era only starts a full read. */
TEST(ReportedEras, AreWrittenOnceForEachChange)
{
  FeedNode node;
  node.Read({ 1, 7 }, { { "a", { 1, 3 }, "A" }, { "b", { 1, 6 }, "B" } });
  node.Read({ 1, 7 }, {});
  CheckLines({}, node.Lines(kEventStoreRestored));
  node.Read({ 2, 4 }, {});
  CheckLines({}, node.Lines(kEventStoreRestored));
  CHECK(node.mFeed.mNeedsFullRead);
  node.Read({ 2, 5 }, { { "a", { 2, 3 }, "A" } });
  std::vector<std::string> lines = {
    "topic=topic from=1/7 to=2/5 revision=0 store_revision=0 entries=2 "
    "missing=1"
  };
  CheckLines(lines, node.Lines(kEventStoreRestored));
  node.Read({ 2, 5 }, {});
  node.Read({ 2, 6 }, { { "b", { 2, 5 }, "B" } });
  CheckLines(lines, node.Lines(kEventStoreRestored));
  node.mFeed.mNeedsFullRead = true;
  node.Read({ 4, 2 }, { { "a", { 4, 0 }, "A" }, { "b", { 4, 1 }, "B" } });
  lines.emplace_back("topic=topic from=2/6 to=4/2 revision=0 store_revision=0 "
                     "entries=2 missing=0");
  CheckLines(lines, node.Lines(kEventStoreRestored));
  CheckLines({}, node.Lines(kEventStoreEraIgnored));
}

/** Guards against a line that leaves out that the store has an earlier
 * configuration than the node serves. */
TEST(ReportedEras, AreWrittenWithTheRevisionsOfCopyAndStore)
{
  FeedNode node(true);
  node.Read({ 1, 7 }, { { "r", { 1, 6 }, "new" } }, 102);
  node.Read({ 2, 5 }, {});
  node.Read({ 2, 5 }, { { "r", { 2, 4 }, "old" } }, 101);
  CheckLines({ "topic=topic from=1/7 to=2/5 revision=102 store_revision=101 "
               "entries=1 missing=0" },
             node.Lines(kEventStoreRestored));
}

TEST(ReportedEras, AreWrittenForACopyFromAPeer)
{
  FeedNode node;
  node.Read({ 1, 7 }, { { "a", { 1, 3 }, "A" }, { "b", { 1, 6 }, "B" } });
  FeedPush push;
  push.mTopic = "topic";
  push.mEnd = { 2, 5 };
  push.mIsSnapshot = true;
  push.mEntries = { { "a", { 2, 3 }, "A" } };
  node.Push(push);
  node.Push(push);
  CheckLines({ "topic=topic from=1/7 to=2/5 revision=0 store_revision=0 "
               "entries=2 missing=1" },
             node.Lines(kEventStoreRestored));
}

/** Guards against a store of several machines, one of which was not restored:
 * each of its answers is a line with the era and this node's end. */
TEST(ReportedEras, ThatAreIgnoredAreWrittenOnceForEachAnswer)
{
  FeedNode node;
  node.Read({ 2, 5 }, { { "a", { 2, 3 }, "A" } });
  node.Read({ 1, 9 }, { { "a", { 1, 8 }, "stale" } });
  std::vector<std::string> lines = { "topic=topic era=1 end=2/5" };
  CheckLines(lines, node.Lines(kEventStoreEraIgnored));
  FeedReadResult trimmed;
  trimmed.mIsTrimmed = true;
  node.Read(trimmed);
  lines.emplace_back("topic=topic era=0 end=2/5");
  CheckLines(lines, node.Lines(kEventStoreEraIgnored));
  node.Read({ 2, 5 }, {});
  CheckLines(lines, node.Lines(kEventStoreEraIgnored));
  CheckLines({}, node.Lines(kEventStoreRestored));
  STRCMP_EQUAL("A", node.mFeed.mEntries["a"].mValue.c_str());
}
