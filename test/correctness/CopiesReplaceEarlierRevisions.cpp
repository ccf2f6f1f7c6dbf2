#include "../support/Properties.h"
#include "FeedDigest.h"
#include "KeyedFeed.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::milliseconds;

/** Guards against a node that states a revision of the configuration and holds
 * entries of an earlier one: nodes exchange changes and copies of topics whose
 * records replace each other, and whatever they are lost, reordered or
 * repeated, a revision has the content of its record. */

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr const char* kTopic = "documents";

using Content = std::map<std::string, std::string>;

/** One record of the topic. */
struct Record
{
  std::uint64_t mRevision = 0;
  Content mContent;
};

FeedSettings
MakeSettings()
{
  FeedSettings settings;
  settings.mTopic = kTopic;
  settings.mStaleAfter = milliseconds(1250);
  settings.mMaxRecentEntries = 8;
  settings.mHasWholeRecords = true;
  return settings;
}

/** Returns what a store with the given records, of which the first has the
 * offset 0, answers to a read of the newest one. */
FeedReadResult
MakeRead(const std::vector<Record>& aRecords)
{
  FeedReadResult read;
  read.mTopic = kTopic;
  read.mIsSuccessful = true;
  read.mIsSnapshot = true;
  read.mEnd = { 0, aRecords.size() };
  read.mRevision = aRecords.back().mRevision;
  for (const auto& [key, value] : aRecords.back().mContent) {
    read.mEntries.push_back({ key, { 0, aRecords.size() - 1 }, value });
  }
  return read;
}

/** One node with its membership view and its copy of the topic. */
struct FeedNode
{
  NodeId mId;
  MembershipState mMembers = MembershipState::Make(mId, ZoneName("z"), 1);
  Random mRandom;
  KeyedFeedState mFeed = KeyedFeedState::Make(MakeSettings(), kStart);

  explicit FeedNode(const std::string& aId)
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

  Content Entries() const
  {
    Content entries;
    for (const auto& [key, entry] : mFeed.mEntries) {
      entries[key] = entry.mValue;
    }
    return entries;
  }
};

FeedPush
PushOf(const Effects& aEffects)
{
  return std::get<FeedPush>(std::get<SendToPeer>(aEffects.back()).mMessage);
}

/** A message between two nodes, or the answer of the store to one of them. */
struct Delivery
{
  std::size_t mFrom = 0;
  std::size_t mTo = 0;
  std::variant<FeedPush, FeedPull, FeedReadResult> mContent;
};

/** Nodes of one zone, the records of the store and what is under way. */
class Zone
{
public:
  Zone(std::size_t aNodes, std::uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t i = 0; i < aNodes; ++i) {
      mNodes.push_back(MakeNode(i));
    }
    Publish();
  }

  /** Lets one thing happen, with anything under way in any order. */
  void Step()
  {
    mNow += milliseconds(60);
    std::size_t node = RandomBelow(mRandom, mNodes.size());
    switch (RandomBelow(mRandom, 6)) {
      case 0:
        Publish();
        break;
      case 1:
        mNodes[node] = MakeNode(node);
        break;
      case 2:
      case 3:
        mUnderWay.push_back({ node, node, MakeRead(mRecords) });
        break;
      case 4:
        Pull(node);
        break;
      default:
        break;
    }
    for (int i = 0; i < 3; ++i) {
      DeliverAny();
    }
  }

  /** Replaces an entry of a node by one that no record has. */
  void Corrupt(std::size_t aNode)
  {
    KeyedFeedState& feed = mNodes[aNode].mFeed;
    FeedEntry& head = feed.mEntries.at("head");
    feed.mDigest -= EntryDigest(head);
    head.mValue = "corrupted";
    feed.mDigest += EntryDigest(head);
  }

  /** Lets all nodes run for 20 s without losses. */
  void Settle()
  {
    for (int i = 0; i < 2000; ++i) {
      mNow += milliseconds(10);
      for (std::size_t node = 0; node < mNodes.size(); ++node) {
        Effects effects;
        FeedTick(
          mNodes[node].mFeed,
          { mNow, mNodes[node].mMembers, mNodes[node].mRandom, effects });
        Send(node, effects);
      }
      for (const Delivery& it : std::exchange(mUnderWay, {})) {
        std::visit([&](const auto& aContent) { Deliver(it, aContent); },
                   it.mContent);
      }
    }
  }

  /** Returns the first node whose content isn't that of its revision, or the
   * number of nodes. */
  std::size_t FirstWithOtherContent() const
  {
    std::size_t i = 0;
    while (i < mNodes.size() && HasContentOfItsRevision(mNodes[i])) {
      ++i;
    }
    return i;
  }

  std::size_t Size() const { return mNodes.size(); }

private:
  FeedNode MakeNode(std::size_t aIndex)
  {
    FeedNode node(std::to_string(aIndex));
    node.mFeed.mStartedAt = mNow;
    Ping ping;
    for (std::size_t i = 0; i < kNodes; ++i) {
      ping.mUpdates.push_back(
        { NodeId(std::to_string(i)), ZoneName("z"), 1, MemberStatus::Alive });
    }
    Effects ignored;
    MembershipReceive(node.mMembers,
                      mNow,
                      NodeId(std::to_string((aIndex + 1) % kNodes)),
                      ping,
                      ignored);
    return node;
  }

  /** Appends a record that moves, adds or removes some entries. Some values are
   * so large that a copy takes several pages. */
  void Publish()
  {
    if (!mRecords.empty() && RandomBelow(mRandom, 8) == 0) {
      // The store executes an earlier write late.
      Record earlier = mRecords[RandomBelow(mRandom, mRecords.size())];
      mRecords.push_back(std::move(earlier));
      return;
    }
    Record record = Newest();
    record.mRevision += 1 + RandomBelow(mRandom, 3);
    record.mContent["head"] = std::to_string(record.mRevision);
    for (std::size_t n = 1 + RandomBelow(mRandom, 2); n > 0; --n) {
      std::string key = "route/" + std::to_string(RandomBelow(mRandom, 5));
      if (RandomBelow(mRandom, 4) == 0) {
        record.mContent.erase(key);
      } else {
        record.mContent[key] =
          std::string(12000, static_cast<char>('a' + RandomBelow(mRandom, 2)));
      }
    }
    mRecords.push_back(std::move(record));
  }

  Record Newest() const
  {
    Record newest;
    for (const Record& it : mRecords) {
      newest = it.mRevision > newest.mRevision ? it : newest;
    }
    return newest;
  }

  void Pull(std::size_t aNode)
  {
    FeedPull pull{ kTopic, mNodes[aNode].mFeed.mEnd, true, "" };
    if (RandomBelow(mRandom, 3) == 0) {
      pull.mEnd = { 0, 0 };
    }
    mUnderWay.push_back(
      { aNode, RandomBelow(mRandom, mNodes.size()), std::move(pull) });
  }

  /** Delivers one message that is under way, loses it, or delivers it and keeps
   * it for a second delivery. */
  void DeliverAny()
  {
    if (mUnderWay.empty()) {
      return;
    }
    std::size_t i = RandomBelow(mRandom, mUnderWay.size());
    Delivery delivery = mUnderWay[i];
    std::uint32_t fate = RandomBelow(mRandom, 10);
    if (fate != 0) {
      mUnderWay.erase(mUnderWay.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (fate != 1) {
      std::visit([&](const auto& aContent) { Deliver(delivery, aContent); },
                 delivery.mContent);
    }
  }

  void Deliver(const Delivery& aDelivery, const FeedReadResult& aRead)
  {
    Send(aDelivery.mTo, mNodes[aDelivery.mTo].Receive(mNow, aRead));
  }
  template<typename PeerMessage>
  void Deliver(const Delivery& aDelivery, const PeerMessage& aMessage)
  {
    Send(aDelivery.mTo,
         mNodes[aDelivery.mTo].Receive(
           mNow, mNodes[aDelivery.mFrom].mId, aMessage));
  }

  void Send(std::size_t aFrom, const Effects& aEffects)
  {
    for (const Effect& it : aEffects) {
      if (const auto* read = std::get_if<ReadFeed>(&it)) {
        mUnderWay.push_back({ aFrom, aFrom, Answer(*read) });
      }
      const auto* send = std::get_if<SendToPeer>(&it);
      if (!send) {
        continue;
      }
      std::size_t to = std::stoul(send->mTo.mValue);
      if (const auto* push = std::get_if<FeedPush>(&send->mMessage)) {
        mUnderWay.push_back({ aFrom, to, *push });
      } else if (const auto* pull = std::get_if<FeedPull>(&send->mMessage)) {
        mUnderWay.push_back({ aFrom, to, *pull });
      }
    }
  }

  /** Answers a read as the store does: a read of changes returns the newest
   * record after its start. */
  FeedReadResult Answer(const ReadFeed& aRead) const
  {
    if (aRead.mIsSnapshot || aRead.mFrom.mOffset < mRecords.size()) {
      return MakeRead(mRecords);
    }
    FeedReadResult read;
    read.mTopic = kTopic;
    read.mIsSuccessful = true;
    read.mEnd = { 0, mRecords.size() };
    return read;
  }

  bool HasContentOfItsRevision(const FeedNode& aNode) const
  {
    if (!aNode.mFeed.mIsLoaded) {
      return true;
    }
    for (const Record& it : mRecords) {
      if (it.mRevision == aNode.mFeed.mRevision) {
        return it.mContent == aNode.Entries();
      }
    }
    return false;
  }

  static constexpr std::size_t kNodes = 4;

  Random mRandom;
  TimePoint mNow = kStart;
  std::vector<FeedNode> mNodes;
  std::vector<Record> mRecords;
  std::vector<Delivery> mUnderWay;
};

} // namespace

TEST_GROUP(Copies){};

/** A route moves in a revision that one of the nodes doesn't read, and back in
 * the next one. It isn't among the changes that this node knows of, so that its
 * entry has an earlier offset than that of the other node. */
TEST(Copies, ReplaceARouteThatMovedAndBack)
{
  FeedNode first("first");
  FeedNode second("second");
  std::vector<Record> records{ { 1, { { "head", "1" }, { "r", "A" } } } };
  first.Receive(kStart, MakeRead(records));
  second.Receive(kStart, MakeRead(records));
  records.push_back({ 2, { { "head", "2" }, { "r", "B" } } });
  first.Receive(kStart, MakeRead(records));
  FeedPush changes{ kTopic, { 0, 1 },    { 0, 3 },
                    false,  Duration(0), { { "head", { 0, 2 }, "3" } } };
  changes.mRevision = 3;
  second.Receive(kStart, NodeId("third"), changes);
  STRCMP_EQUAL("A", second.Entries()["r"].c_str());
  FeedPush copy = PushOf(
    second.Receive(kStart, first.mId, FeedPull{ kTopic, { 0, 2 }, true, "" }));
  CHECK(copy.mIsSnapshot);
  first.Receive(kStart, second.mId, copy);
  LONGS_EQUAL(3, first.mFeed.mRevision);
  STRCMP_EQUAL("A", first.Entries()["r"].c_str());
}

/** A node applied the changes since a revision to other entries than those of
 * that revision, and had neither the old content nor the new one. */
TEST(Copies, AreRequestedIfChangesDoNotLeadToTheSendersContent)
{
  FeedNode node("node");
  std::vector<Record> records{ { 1, { { "head", "1" }, { "r", "A" } } } };
  node.Receive(kStart, MakeRead(records));
  FeedPush changes{ kTopic, { 0, 1 },    { 0, 2 },
                    false,  Duration(0), { { "head", { 0, 1 }, "2" } } };
  changes.mRevision = 2;
  changes.mDigest = EntryDigest({ "head", { 0, 1 }, "2" }) +
                    EntryDigest({ "r", { 0, 0 }, "B" });
  Effects effects = node.Receive(kStart, NodeId("sender"), changes);
  LONGS_EQUAL(1, node.mFeed.mRevision);
  const auto& pull =
    std::get<FeedPull>(std::get<SendToPeer>(effects.front()).mMessage);
  CHECK(StorePosition(0, 0) == pull.mEnd);
  FeedPush copy{ kTopic, { 0, 0 }, { 0, 2 }, true, Duration(0), {} };
  copy.mEntries = { { "head", { 0, 1 }, "2" }, { "r", { 0, 0 }, "B" } };
  copy.mRevision = 2;
  copy.mDigest = changes.mDigest;
  node.Receive(kStart, NodeId("sender"), copy);
  LONGS_EQUAL(2, node.mFeed.mRevision);
  STRCMP_EQUAL("B", node.Entries()["r"].c_str());
}

/** A node that started after a restore had only the store's older record, and
 * served it although its peers had a later revision, of the earlier era or of
 * the new one. */
TEST(Copies, BringARevisionThatARestoredStoreHasLost)
{
  std::vector<Record> records{ { 1, { { "head", "1" } } },
                               { 2, { { "head", "2" } } } };
  FeedNode peer("peer");
  FeedNode late("late");
  FeedReadResult before = MakeRead(records);
  before.mEnd.mEra = 1;
  peer.Receive(kStart, before);
  records.pop_back();
  FeedReadResult restored = MakeRead(records);
  restored.mEnd.mEra = 2;
  late.Receive(kStart, restored);
  for (bool isPeerInNewEra : { false, true }) {
    LONGS_EQUAL(1, late.mFeed.mRevision);
    FeedNode node = late;
    if (isPeerInNewEra) {
      peer.mFeed.mIsFullRead = true;
      peer.Receive(kStart, restored);
      CHECK(peer.mFeed.mEnd == late.mFeed.mEnd);
    }
    FeedPush older{ kTopic, {}, node.mFeed.mEnd, false, Duration(0), {} };
    older.mRevision = 1;
    Effects answers = peer.Receive(kStart, node.mId, older);
    CHECK(!answers.empty());
    FeedPush answer = PushOf(answers);
    Effects effects = node.Receive(kStart, peer.mId, answer);
    const auto& pull =
      std::get<FeedPull>(std::get<SendToPeer>(effects.front()).mMessage);
    FeedPush copy = PushOf(peer.Receive(kStart, node.mId, pull));
    node.Receive(kStart, peer.mId, copy);
    LONGS_EQUAL(2, node.mFeed.mRevision);
    STRCMP_EQUAL("2", node.Entries()["head"].c_str());
    CHECK(node.mFeed.mEnd == restored.mEnd);
  }
}

/** All nodes of a zone started after a restore and served the store's older
 * record, while other zones served a later revision. */
TEST(Copies, BringALostRevisionFromOtherZones)
{
  std::vector<Record> records{ { 1, { { "head", "1" } } },
                               { 2, { { "head", "2" } } } };
  FeedNode peer("peer");
  FeedReadResult before = MakeRead(records);
  before.mEnd.mEra = 1;
  peer.Receive(kStart, before);
  records.pop_back();
  FeedReadResult restored = MakeRead(records);
  restored.mEnd.mEra = 2;
  FeedNode node("node");
  Ping ping;
  ping.mUpdates.push_back(
    { peer.mId, ZoneName("other"), 1, MemberStatus::Alive });
  Effects ignored;
  MembershipReceive(node.mMembers, kStart, peer.mId, ping, ignored);
  node.Receive(kStart, restored);
  Effects effects;
  FeedTick(node.mFeed, { kStart, node.mMembers, node.mRandom, effects });
  FeedPull pull;
  for (const Effect& it : effects) {
    if (const auto* send = std::get_if<SendToPeer>(&it)) {
      CHECK(send->mTo == peer.mId);
      pull = std::get<FeedPull>(send->mMessage);
    }
  }
  LONGS_EQUAL(1, pull.mRevision);
  FeedPush answer = PushOf(peer.Receive(kStart, node.mId, pull));
  TimePoint later = kStart + milliseconds(300);
  effects = node.Receive(later, peer.mId, answer);
  pull = std::get<FeedPull>(std::get<SendToPeer>(effects.front()).mMessage);
  node.Receive(later, peer.mId, PushOf(peer.Receive(later, node.mId, pull)));
  LONGS_EQUAL(2, node.mFeed.mRevision);
}

/** After a conflict, nodes read the store again at most every 30 s, also if a
 * restored store has the revision with other content. */
TEST(Copies, OfOneRevisionInTwoErasAreReadAtOnce)
{
  FeedNode node("node");
  node.Receive(kStart, MakeRead({ { 1, { { "head", "1" } } } }));
  FeedPush other{ kTopic, { 0, 1 }, { 0, 1 }, false, Duration(0), {} };
  other.mRevision = 1;
  other.mDigest = node.mFeed.mDigest + 1;
  node.Receive(kStart, NodeId("peer"), other);
  CHECK(node.mFeed.mHasConflict);
  node.Receive(kStart, MakeRead({ { 1, { { "head", "1" } } } }));
  CHECK(!node.mFeed.mHasConflict);
  node.Receive(kStart, NodeId("peer"), other);
  CHECK(!node.mFeed.mHasConflict);
  other.mEnd.mEra = 1;
  node.Receive(kStart, NodeId("peer"), other);
  CHECK(node.mFeed.mHasConflict);
}

/** While builds with and without eras ran beside each other, a node with eras
 * took a revision from one without, at a position that it then refused. */
TEST(Copies, OfBuildsWithoutErasAreNotTakenForLostRevisions)
{
  FeedNode node("node");
  FeedReadResult read = MakeRead({ { 1, { { "head", "1" } } } });
  read.mEnd.mEra = 1;
  node.Receive(kStart, read);
  FeedPush push{ kTopic, { 0, 1 }, { 0, 2 }, false, Duration(0), {} };
  push.mRevision = 2;
  LONGS_EQUAL(0, node.Receive(kStart, NodeId("old"), push).size());
}

/** Nodes that have other entries at one revision stayed so until the entries
 * changed, whatever the reason. */
TEST(Copies, OfOneRevisionThatDifferAreReadAgain)
{
  for (std::size_t i = 0; i < 4; ++i) {
    Zone zone(4, 1);
    zone.Settle();
    zone.Corrupt(i);
    LONGS_EQUAL(i, zone.FirstWithOtherContent());
    zone.Settle();
    LONGS_EQUAL(zone.Size(), zone.FirstWithOtherContent());
  }
}

/** Builds that translate a record differently stay in conflict; each push would
 * make every node of the zone read the whole record. */
TEST(Copies, ThatKeepDifferingAreNotReadWithEachPush)
{
  FeedNode node("node");
  std::vector<Record> records{ { 1, { { "head", "1" } } } };
  node.Receive(kStart, MakeRead(records));
  FeedPush push{ kTopic, { 0, 1 }, { 0, 1 }, false, Duration(0), {} };
  push.mRevision = 1;
  push.mDigest = 7;
  int fullReads = 0;
  for (Duration t{ 0 }; t < std::chrono::seconds(20); t += milliseconds(100)) {
    node.Receive(kStart + t, NodeId("sender"), push);
    Effects effects;
    FeedTick(node.mFeed, { kStart + t, node.mMembers, node.mRandom, effects });
    for (const Effect& it : effects) {
      if (const auto* read = std::get_if<ReadFeed>(&it)) {
        fullReads += read->mIsSnapshot ? 1 : 0;
        node.Receive(kStart + t, MakeRead(records));
      }
    }
  }
  LONGS_EQUAL(1, fullReads);
}

TEST(Copies, AndChangesGiveEachRevisionItsContent)
{
  CHECK(PropertyHolds("revisions have one content", 300, [] {
    Zone zone(4, *rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 400; ++i) {
      zone.Step();
      RC_ASSERT(zone.FirstWithOtherContent() == zone.Size());
    }
  }));
}
