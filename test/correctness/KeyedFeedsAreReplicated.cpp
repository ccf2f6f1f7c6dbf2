#include "EventNumbers.h"
#include "FeedContent.h"
#include "KeyedFeed.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

FeedSettings
Settings()
{
  FeedSettings settings;
  settings.mTopic = "targets";
  settings.mReadInterval = milliseconds(450);
  settings.mStaleAfter = milliseconds(1000);
  settings.mOutageGracePeriod = milliseconds(2200);
  return settings;
}

/** One node with its membership view and its copy of a feed. */
struct FeedNode
{
  MembershipState mMembers =
    MembershipState::Make(NodeId("10.0.0.1:1"), ZoneName("z"), 1);
  Random mRandom;
  KeyedFeedState mFeed = KeyedFeedState::Make(Settings(), kStart);

  Effects Tick(TimePoint aNow)
  {
    Effects effects;
    FeedTick(mFeed, { aNow, mMembers, mRandom, effects });
    return effects;
  }
  /** Ends the current read, or one that takes no time if there is none. */
  Effects Read(TimePoint aNow, const FeedReadResult& aRead)
  {
    if (!mFeed.mIsReading) {
      mFeed.mReadStartedAt = aNow;
    }
    Effects effects;
    FeedReceive(mFeed, { aNow, mMembers, mRandom, effects }, aRead);
    return effects;
  }
  Effects Push(TimePoint aNow, const FeedPush& aPush)
  {
    Effects effects;
    FeedReceive(
      mFeed, { aNow, mMembers, mRandom, effects }, NodeId("peer"), aPush);
    return effects;
  }
};

FeedReadResult
FullRead(LogOffset aEnd, std::vector<FeedEntry> aEntries)
{
  FeedReadResult read;
  read.mTopic = "targets";
  read.mIsSuccessful = true;
  read.mIsSnapshot = true;
  read.mEnd = { 0, aEnd };
  read.mEntries = std::move(aEntries);
  return read;
}

FeedReadResult
DeltaRead(LogOffset aEnd, std::vector<FeedEntry> aEntries)
{
  FeedReadResult read = FullRead(aEnd, std::move(aEntries));
  read.mIsSnapshot = false;
  return read;
}

std::size_t
CountReads(const Effects& aEffects)
{
  std::size_t n = 0;
  for (const Effect& it : aEffects) {
    n += std::holds_alternative<ReadFeed>(it) ? 1 : 0;
  }
  return n;
}

} // namespace

TEST_GROUP(KeyedFeeds){};

TEST(KeyedFeeds, AreReadInFullFirstThenFromTheirEndOffset)
{
  FeedNode node;
  Effects effects = node.Tick(kStart);
  LONGS_EQUAL(1, CountReads(effects));
  CHECK(std::get<ReadFeed>(effects.front()).mIsSnapshot);
  LONGS_EQUAL(0, CountReads(node.Tick(kStart + milliseconds(10))));
  node.Read(kStart, FullRead(7, { { "a", { 0, 3 }, "A" } }));
  CHECK(node.mFeed.mIsLoaded);
  LONGS_EQUAL(0, CountReads(node.Tick(kStart + milliseconds(440))));
  effects = node.Tick(kStart + milliseconds(450));
  CHECK(std::get<ReadFeed>(effects.front()).mFrom == StorePosition(0, 7));
}

TEST(KeyedFeeds, NeverReplaceAnEntryWithAnOlderOne)
{
  FeedNode node;
  node.Read(kStart, FullRead(7, { { "a", { 0, 6 }, "new" } }));
  node.Read(kStart, FullRead(7, { { "a", { 0, 3 }, "old" } }));
  STRCMP_EQUAL("new", node.mFeed.mEntries["a"].mValue.c_str());
  FeedPush push{ "targets", { 0, 0 },    { 0, 5 },
                 true,      Duration(0), { { "a", { 0, 2 }, "older" } } };
  node.Push(kStart, push);
  STRCMP_EQUAL("new", node.mFeed.mEntries["a"].mValue.c_str());
}

TEST(KeyedFeeds, DropRemovedEntriesAtOnceWithoutAnOutage)
{
  FeedNode node;
  node.Read(kStart,
            FullRead(2, { { "a", { 0, 0 }, "A" }, { "b", { 0, 1 }, "B" } }));
  node.Read(kStart + milliseconds(450),
            DeltaRead(3, { { "a", { 0, 2 }, "" } }));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
  node.Read(kStart + milliseconds(900), FullRead(4, {}));
  LONGS_EQUAL(0, node.mFeed.mEntries.size());
}

TEST(KeyedFeeds, KeepEntriesRemovedInAnOutageForAGracePeriod)
{
  FeedNode node;
  node.Read(kStart,
            FullRead(2, { { "a", { 0, 0 }, "A" }, { "b", { 0, 1 }, "B" } }));
  TimePoint back = kStart + seconds(9);
  node.Read(back,
            DeltaRead(4, { { "a", { 0, 2 }, "" }, { "b", { 0, 3 }, "" } }));
  LONGS_EQUAL(2, node.mFeed.mEntries.size());
  node.Read(back + milliseconds(900), DeltaRead(5, { { "b", { 0, 4 }, "B" } }));
  node.Read(back + milliseconds(2210), DeltaRead(5, {}));
  node.Tick(back + milliseconds(2210));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
  LONGS_EQUAL(1, node.mFeed.mEntries.count("b"));
}

/** Guards against entries that were written in time and removed because the
 * next read came after the grace period. */
TEST(KeyedFeeds, KeepEntriesThatWereWrittenAgainSinceTheLastRead)
{
  FeedNode node;
  node.Read(kStart,
            FullRead(2, { { "a", { 0, 0 }, "A" }, { "b", { 0, 1 }, "B" } }));
  TimePoint back = kStart + seconds(9);
  node.Read(back,
            DeltaRead(4, { { "a", { 0, 2 }, "" }, { "b", { 0, 3 }, "" } }));
  node.Read(back + milliseconds(2100), DeltaRead(4, {}));
  node.Tick(back + milliseconds(2300));
  LONGS_EQUAL(2, node.mFeed.mEntries.size());
  node.Read(back + milliseconds(2560),
            DeltaRead(5, { { "b", { 0, 4 }, "B" } }));
  node.Tick(back + milliseconds(2560));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
  LONGS_EQUAL(1, node.mFeed.mEntries.count("b"));
}

TEST(KeyedFeeds, DropRemovedEntriesIfNoReadConfirmsThem)
{
  FeedNode node;
  node.Read(kStart,
            FullRead(2, { { "a", { 0, 0 }, "A" }, { "b", { 0, 1 }, "B" } }));
  TimePoint back = kStart + seconds(9);
  node.Read(back, DeltaRead(4, { { "a", { 0, 2 }, "" } }));
  node.Tick(back + milliseconds(3010));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
}

TEST(KeyedFeeds, AreReadInFullAfterRecordsWereTrimmed)
{
  FeedNode node;
  node.Read(kStart, FullRead(2, { { "a", { 0, 0 }, "A" } }));
  FeedReadResult trimmed = DeltaRead(0, {});
  trimmed.mIsTrimmed = true;
  node.Read(kStart + milliseconds(500), trimmed);
  Effects effects = node.Tick(kStart + milliseconds(510));
  CHECK(std::get<ReadFeed>(effects.front()).mIsSnapshot);
}

TEST(KeyedFeeds, AreReadByASuccessorWhenTheReaderFails)
{
  FeedNode node;
  MemberUpdate peer{
    NodeId("10.0.0.2:1"), ZoneName("z"), 1, MemberStatus::Alive
  };
  MemberUpdate other = peer;
  other.mNode = NodeId("10.0.0.3:1");
  Effects ignored;
  MembershipReceive(
    node.mMembers, kStart, peer.mNode, Ping{ 1, 0, { peer, other } }, ignored);
  node.Read(kStart, FullRead(2, { { "a", { 0, 0 }, "A" } }));
  // Without pushes from the reader this node reads the store at any rank, early
  // enough that an entry is known two seconds after it was written.
  TimePoint readAt = TimePoint::max();
  for (Duration t{ 0 }; t < seconds(2) && readAt == TimePoint::max();
       t += milliseconds(10)) {
    if (CountReads(node.Tick(kStart + t)) > 0) {
      readAt = kStart + t;
    }
  }
  CHECK(readAt - kStart < milliseconds(1500));
}

TEST(KeyedFeeds, RequestAFullCopyWhenAPushLeavesAGap)
{
  FeedNode node;
  node.Read(kStart, FullRead(2, { { "a", { 0, 0 }, "A" } }));
  FeedPush push{ "targets", { 0, 5 },    { 0, 6 },
                 false,     Duration(0), { { "b", { 0, 5 }, "B" } } };
  Effects effects = node.Push(kStart, push);
  const auto& send = std::get<SendToPeer>(effects.front());
  CHECK(std::holds_alternative<FeedPull>(send.mMessage));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("b"));
}

TEST(KeyedFeeds, BackOffWhileTheStoreIsUnavailable)
{
  FeedNode node;
  std::size_t reads = 0;
  FeedReadResult failed;
  failed.mTopic = "targets";
  for (TimePoint now = kStart; now < kStart + seconds(10);
       now += milliseconds(10)) {
    if (CountReads(node.Tick(now)) > 0) {
      ++reads;
      node.Read(now, failed);
    }
  }
  CHECK(reads >= 5);
  CHECK(reads <= 25);
}

/** Guards against the load of a fleet start: 92 nodes that started at once made
 * four calls to the store each for a full copy. */
TEST(KeyedFeeds, AreCopiedFromAPeerAtStart)
{
  FeedNode node;
  node.mFeed.mSettings.mPeerLoadTimeout = milliseconds(1200);
  Ping ping;
  ping.mUpdates.push_back({ NodeId("10.0.0.2:1"), ZoneName("z"), 1, {}, 0 });
  Effects effects;
  MembershipReceive(node.mMembers, kStart, NodeId("10.0.0.2:1"), ping, effects);
  effects = node.Tick(kStart + milliseconds(20));
  LONGS_EQUAL(0, CountReads(effects));
  LONGS_EQUAL(1, effects.size());
  CHECK(std::get<SendToPeer>(effects.front()).mTo == NodeId("10.0.0.2:1"));
  node.Push(
    kStart + milliseconds(30),
    { "targets", {}, { 0, 7 }, true, Duration(0), { { "a", { 0, 3 }, "A" } } });
  CHECK(node.mFeed.mIsLoaded);
  // If the node is its zone's reader, it reads on from the end of the copy.
  for (const Effect& it : node.Tick(kStart + milliseconds(40))) {
    const auto* read = std::get_if<ReadFeed>(&it);
    CHECK(!read || !read->mIsSnapshot);
  }
}

TEST(KeyedFeeds, AreReadFromTheStoreWhenNoPeerAnswers)
{
  FeedNode node;
  node.mFeed.mSettings.mPeerLoadTimeout = milliseconds(1200);
  LONGS_EQUAL(0, CountReads(node.Tick(kStart + milliseconds(1190))));
  LONGS_EQUAL(1, CountReads(node.Tick(kStart + milliseconds(1200))));
}

/** Guards against a reader that was suspended or slow and passes on an old
 * answer as a fresh copy: its zone then did not read the store itself in time.
 */
TEST(KeyedFeeds, AreNotFreshByAnOldAnswerThatIsProcessedLate)
{
  FeedNode node;
  MemberUpdate peer{
    NodeId("10.0.0.2:1"), ZoneName("z"), 1, MemberStatus::Alive
  };
  Effects effects;
  MembershipReceive(
    node.mMembers, kStart, peer.mNode, Ping{ 1, 0, { peer } }, effects);
  node.mFeed.mSettings.mWait = milliseconds(800);
  node.Tick(kStart);
  node.Read(kStart + milliseconds(4), FullRead(2, { { "a", { 0, 0 }, "A" } }));
  // The node may be of any rank: a copy of this age is read at all of them.
  TimePoint readAt = kStart + milliseconds(1900);
  LONGS_EQUAL(1, CountReads(node.Tick(readAt)));
  TimePoint resumedAt = readAt + seconds(2);
  effects = node.Read(resumedAt, DeltaRead(2, {}));
  CHECK(node.mFeed.mFreshAt <= readAt + milliseconds(800));
  bool isPushed = false;
  for (const Effect& it : effects) {
    if (const auto* send = std::get_if<SendToPeer>(&it)) {
      isPushed = true;
      CHECK(std::get<FeedPush>(send->mMessage).mAge >= milliseconds(1200));
    }
  }
  CHECK(isPushed);
}

TEST(KeyedFeeds, AreConfirmedAtTheEndOfAWaitWithoutNewRecords)
{
  FeedNode node;
  node.mFeed.mSettings.mWait = milliseconds(800);
  node.Tick(kStart);
  node.Read(kStart, FullRead(2, { { "a", { 0, 0 }, "A" } }));
  TimePoint readAt = kStart + milliseconds(450);
  Effects effects = node.Tick(readAt);
  Duration wait = std::get<ReadFeed>(effects.front()).mWait;
  CHECK(wait == milliseconds(350));
  node.Read(readAt + wait + milliseconds(5), DeltaRead(2, {}));
  CHECK(node.mFeed.mFreshAt == readAt + wait);
}

/** Guards against an old copy that is taken for a current one because the node
 * that loaded it has just started. Other nodes trust the age that it states,
 * and a change that they all miss is not in force in time. */
TEST(KeyedFeeds, AreAsOldAsTheFirstCopyThatWasLoaded)
{
  FeedNode node;
  FeedPush copy{ "targets", { 0, 0 },    { 0, 2 },
                 true,      seconds(10), { { "a", { 0, 0 }, "A" } } };
  TimePoint now = kStart + milliseconds(50);
  node.Push(now, copy);
  CHECK(node.mFeed.mIsLoaded);
  CHECK(node.mFeed.mFreshAt == now - seconds(10));
  Effects effects;
  FeedReceive(node.mFeed,
              { now, node.mMembers, node.mRandom, effects },
              NodeId("10.0.0.2:1"),
              FeedPull{ "targets", { 0, 0 }, true, "" });
  const auto& reply = std::get<SendToPeer>(effects.front());
  CHECK(std::get<FeedPush>(reply.mMessage).mAge == seconds(10));
}

/** Guards against a node that counts its copy as confirmed although the store
 * had more records than it returned: its zone, which trusts the age that it
 * states, does not read in time if the next read fails. */
TEST(KeyedFeeds, AreNotConfirmedByAReadThatLeavesRecordsOut)
{
  FeedNode node;
  node.Read(kStart, FullRead(2, { { "a", { 0, 0 }, "A" } }));
  TimePoint readAt = kStart + seconds(3);
  node.Tick(readAt);
  FeedReadResult part = DeltaRead(3, { { "a", { 0, 2 }, "A2" } });
  part.mHasMore = true;
  node.Read(readAt + milliseconds(4), part);
  STRCMP_EQUAL("A2", node.mFeed.mEntries["a"].mValue.c_str());
  CHECK(node.mFeed.mFreshAt <= kStart);
}

/** Guards against a target that stays out of use at some nodes: its entry
 * expired and was written again as before, which a reader that read everything
 * anew did not count as a change, while a peer had seen the removal. */
TEST(KeyedFeeds, PassOnEntriesThatWereWrittenAgainAsBefore)
{
  FeedNode reader;
  FeedNode node;
  MemberUpdate peer{
    NodeId("10.0.0.2:1"), ZoneName("z"), 1, MemberStatus::Alive
  };
  Effects ignored;
  MembershipReceive(
    reader.mMembers, kStart, peer.mNode, Ping{ 1, 0, { peer } }, ignored);
  for (FeedNode* it : { &reader, &node }) {
    it->Read(kStart,
             FullRead(5, { { "a", { 0, 4 }, "A" }, { "b", { 0, 3 }, "B" } }));
  }
  node.Read(kStart, DeltaRead(6, { { "a", { 0, 5 }, "" } }));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
  Effects effects = reader.Read(
    kStart, FullRead(7, { { "a", { 0, 6 }, "A" }, { "b", { 0, 3 }, "B" } }));
  FeedPush push;
  for (const Effect& it : effects) {
    if (const auto* send = std::get_if<SendToPeer>(&it)) {
      push = std::get<FeedPush>(send->mMessage);
    }
  }
  LONGS_EQUAL(1, push.mEntries.size());
  node.Push(kStart, push);
  CHECK(StorePosition(0, 7) == node.mFeed.mEnd);
  LONGS_EQUAL(1, node.mFeed.mEntries.count("a"));
}

/** A node asked for a copy of an era whose topic was empty at first, and got
 * the changes since: it kept what the restored store has lost. */
TEST(KeyedFeeds, AreSentWholeToNodesWithoutACopyOfTheEra)
{
  FeedNode node;
  node.mFeed.mSettings.mMaxRecentEntries = 8;
  FeedReadResult empty = FullRead(0, {});
  empty.mEnd = { 1, 0 };
  node.Read(kStart, empty);
  FeedReadResult change = DeltaRead(0, { { "a", { 1, 0 }, "A" } });
  change.mEnd = { 1, 1 };
  node.mFeed.mIsFullRead = false;
  node.mFeed.mReadFrom = { 1, 0 };
  node.Read(kStart, change);
  Effects effects;
  FeedReceive(node.mFeed,
              { kStart, node.mMembers, node.mRandom, effects },
              NodeId("peer"),
              FeedPull{ "targets", { 1, 0 }, true, "" });
  const auto& reply = std::get<SendToPeer>(effects.front());
  CHECK(std::get<FeedPush>(reply.mMessage).mIsSnapshot);
}

/** Targets went out of use because a second restore found them missing again,
 * or had them again, within the grace period of the first one. */
TEST(KeyedFeeds, KeepMissingEntriesOverASecondRestore)
{
  FeedNode node;
  auto restore =
    [&](TimePoint aNow, std::uint64_t aEra, std::vector<FeedEntry> aEntries) {
      FeedReadResult read = FullRead(1, std::move(aEntries));
      read.mEnd.mEra = aEra;
      node.mFeed.mIsFullRead = true;
      node.Read(aNow, read);
    };
  FeedEntry missing{ "a", { 1, 1 }, "A", { 90, 7 } };
  FeedEntry back{ "b", { 1, 2 }, "B", { 90, 7 } };
  restore(kStart, 1, { missing, back });
  restore(kStart + seconds(1), 2, {});
  back.mPosition = { 3, 0 };
  back.mOrder.mSequence = 6;
  restore(kStart + seconds(3), 3, { back });
  RemoveExpiredEntries(node.mFeed, kStart + milliseconds(3300));
  LONGS_EQUAL(1, node.mFeed.mEntries.count("a"));
  RemoveExpiredEntries(node.mFeed, kStart + milliseconds(6100));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
  LONGS_EQUAL(1, node.mFeed.mEntries.count("b"));
}

/** One late answer of an earlier era was taken for a store that is lost. */
TEST(KeyedFeeds, IgnoreALateAnswerOfAnEarlierEra)
{
  FeedNode node;
  FeedReadResult restored = FullRead(2, { { "a", { 2, 1 }, "A2" } });
  restored.mEnd.mEra = 2;
  node.Read(kStart, restored);
  FeedReadResult late = FullRead(9, { { "a", { 1, 8 }, "A1" } });
  late.mEnd.mEra = 1;
  TimePoint lateAt = kStart + milliseconds(500);
  Effects effects = node.Read(lateAt, late);
  LONGS_EQUAL(1, effects.size());
  LONGS_EQUAL(kEventStoreEraIgnored,
              std::get<WriteEvent>(effects.front()).mNumber);
  CHECK(node.mFeed.mEnd == restored.mEnd);
  CHECK(node.mFeed.mFreshAt == kStart);
  STRCMP_EQUAL("A2", node.mFeed.mEntries["a"].mValue.c_str());
  LONGS_EQUAL(0, node.mFeed.mFailedReads);
  node.Read(lateAt + milliseconds(200), late);
  LONGS_EQUAL(1, node.mFeed.mFailedReads);
}

/** Guards against a copy whose content differs from its peers' although it ends
 * at the same offset: the digests are what tells them apart in the log. */
TEST(KeyedFeeds, HaveTheDigestOfTheirContent)
{
  FeedNode node;
  FeedNode other;
  node.Read(kStart,
            FullRead(2, { { "a", { 0, 0 }, "A" }, { "b", { 0, 1 }, "B" } }));
  node.Read(kStart,
            DeltaRead(4, { { "a", { 0, 2 }, "A2" }, { "b", { 0, 3 }, "" } }));
  other.Read(kStart, FullRead(4, { { "a", { 0, 2 }, "B" } }));
  CHECK(node.mFeed.mDigest != other.mFeed.mDigest);
  other.Read(kStart, DeltaRead(5, { { "a", { 0, 4 }, "A2" } }));
  CHECK(node.mFeed.mDigest == other.mFeed.mDigest);
  other.Read(kStart, DeltaRead(6, { { "a", { 0, 5 }, "" } }));
  CHECK_EQUAL(0U, other.mFeed.mDigest);
}

/** Guards against writes that the store executes seconds late, after later ones
 * of the same writer: a leaving target comes into use again. */
TEST_GROUP(LateWrites){};

/** A store that was restored has entries again whose removal it has lost. */
TEST(LateWrites, DoNotBringBackRemovedEntries)
{
  FeedNode node;
  node.Read(
    kStart,
    FullRead(2, { { "a", { 0, 1 }, "A", { 90, 7 } }, { "b", {}, "B" } }));
  node.Read(kStart, DeltaRead(3, { { "a", { 0, 2 }, "" } }));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
  FeedReadResult restored =
    FullRead(2, { { "a", { 1, 1 }, "A", { 90, 7 } }, { "b", { 1, 0 }, "B" } });
  restored.mEnd = { 1, 2 };
  node.mFeed.mIsFullRead = true;
  node.Read(kStart, restored);
  CHECK(node.mFeed.mEnd == restored.mEnd);
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
  FeedReadResult written = DeltaRead(3, { { "a", { 1, 2 }, "A", { 90, 8 } } });
  written.mEnd = { 1, 3 };
  node.mFeed.mIsFullRead = false;
  node.mFeed.mReadFrom = { 1, 2 };
  node.Read(kStart, written);
  LONGS_EQUAL(1, node.mFeed.mEntries.count("a"));
}

TEST(LateWrites, DoNotReplaceLaterEntriesOfTheirWriter)
{
  FeedNode node;
  node.Read(kStart, FullRead(1, { { "a", { 0, 0 }, "ready", { 90, 5 } } }));
  node.Read(kStart, DeltaRead(2, { { "a", { 0, 1 }, "draining", { 90, 7 } } }));
  node.Read(kStart, DeltaRead(3, { { "a", { 0, 2 }, "ready", { 90, 6 } } }));
  STRCMP_EQUAL("draining", node.mFeed.mEntries["a"].mValue.c_str());
  LONGS_EQUAL(1, node.mFeed.mOutdatedEntries);
  node.Read(kStart, FullRead(3, { { "a", { 0, 2 }, "ready", { 90, 6 } } }));
  STRCMP_EQUAL("draining", node.mFeed.mEntries["a"].mValue.c_str());
  node.Read(kStart, DeltaRead(4, { { "a", { 0, 3 }, "draining", { 90, 8 } } }));
  CHECK(node.mFeed.mEntries["a"].mPosition == StorePosition(0, 3));
}

TEST(LateWrites, AreReplacedByWhatAPeerKnows)
{
  FeedNode node;
  // It has read the late write only; its peer has read both.
  node.Read(kStart, FullRead(3, { { "a", { 0, 2 }, "ready", { 90, 6 } } }));
  FeedPush push{ "targets", { 0, 2 }, { 0, 3 }, false, Duration(0), {} };
  push.mEntries = { { "a", { 0, 1 }, "draining", { 90, 7 } } };
  node.Push(kStart, push);
  STRCMP_EQUAL("draining", node.mFeed.mEntries["a"].mValue.c_str());
}

TEST(LateWrites, DoNotRestoreRemovedEntries)
{
  FeedNode node;
  node.Read(kStart, FullRead(1, { { "a", { 0, 0 }, "ready", { 90, 5 } } }));
  node.Read(kStart, DeltaRead(2, { { "a", { 0, 1 }, "" } }));
  node.Read(kStart, DeltaRead(3, { { "a", { 0, 2 }, "ready", { 90, 4 } } }));
  LONGS_EQUAL(0, node.mFeed.mEntries.count("a"));
  // The writer lives: its entry had expired while the store was away.
  node.Read(kStart, DeltaRead(4, { { "a", { 0, 3 }, "ready", { 90, 6 } } }));
  LONGS_EQUAL(1, node.mFeed.mEntries.count("a"));
  node.Read(kStart, DeltaRead(5, { { "a", { 0, 4 }, "" } }));
  node.Tick(kStart + seconds(40));
  LONGS_EQUAL(0, node.mFeed.mOrders.mRemoved.size());
}

TEST(LateWrites, OfAnEarlierStartDoNotReplaceThoseOfALaterOne)
{
  FeedNode node;
  node.Read(kStart, FullRead(1, { { "a", { 0, 0 }, "old", { 90, 5 } } }));
  node.Read(kStart, DeltaRead(2, { { "a", { 0, 1 }, "new", { 95, 1 } } }));
  node.Read(kStart, DeltaRead(3, { { "a", { 0, 2 }, "old", { 90, 6 } } }));
  STRCMP_EQUAL("new", node.mFeed.mEntries["a"].mValue.c_str());
}

TEST(LateWrites, AreNotTakenForThoseOfAWriterWhoseClockWasSetBack)
{
  FeedNode node;
  node.Read(kStart, FullRead(1, { { "a", { 0, 0 }, "old", { 90, 5 } } }));
  node.Read(kStart, DeltaRead(2, { { "a", { 0, 1 }, "new", { 80, 1 } } }));
  node.Read(kStart, DeltaRead(3, { { "a", { 0, 2 }, "new", { 80, 2 } } }));
  STRCMP_EQUAL("new", node.mFeed.mEntries["a"].mValue.c_str());
}
