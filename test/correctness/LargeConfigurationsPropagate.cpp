#include "DocumentEntries.h"

#include "../support/FleetHelpers.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 26;
constexpr std::size_t kRoutes = 2800;
/** 10 Mbit/s, the bandwidth of the smallest machines. */
constexpr double kLinkBytesPerSecond = 1250000;
/** The time in which an acknowledged configuration has to be in force. */
constexpr Duration kMaxApplyTime = milliseconds(2500);
constexpr Duration kStoreDelay = milliseconds(4);

Document
MakeLargeDocument()
{
  Document document = MakeServiceDocument("ledger");
  for (std::size_t i = 0; i < kRoutes; ++i) {
    Route route;
    route.mName = RouteName("r-" + std::to_string(i));
    route.mService = ServiceName("ledger");
    route.mHost = "ficu.example";
    route.mPath = "/route" + std::to_string(i) + "/";
    route.mDeadline = milliseconds(800);
    document.mRoutes[route.mName] = route;
  }
  return document;
}

/** The document topic of a platform's store. Reads are answered after
 * kStoreDelay and the time that the document takes on a node's link. */
class FakeDocumentStore
{
public:
  explicit FakeDocumentStore(FakeFleet& aFleet)
    : mFleet(aFleet)
  {
    aFleet.mOnReadFeed = [this](std::size_t aNode, const ReadFeed& aRead) {
      Receive(aNode, aRead);
    };
  }

  void Publish(const Document& aDocument)
  {
    ++mEnd;
    mRevision = aDocument.mRevision;
    mEntries = MakeDocumentEntries(aDocument, { 0, mEnd - 1 });
    mBytes = FormatDocument(aDocument).size();
    for (const auto& [node, read] : std::exchange(mWaiting, {})) {
      Answer(node, read);
    }
  }

  /** Returns whether the store turns a node away. Tests replace it. */
  std::function<bool(std::size_t)> mIsRefused = [](std::size_t) {
    return false;
  };

private:
  void Receive(std::size_t aNode, const ReadFeed& aRead)
  {
    if (mIsRefused(aNode)) {
      FeedReadResult failed;
      failed.mTopic = aRead.mTopic;
      mFleet.mQueue.After(
        kStoreDelay, [this, aNode, failed] { mFleet.Post(aNode, failed); });
      return;
    }
    bool isCurrent = !aRead.mIsSnapshot && aRead.mFrom.mOffset >= mEnd;
    if (aRead.mTopic != kDocumentTopic || !isCurrent) {
      Answer(aNode, aRead);
      return;
    }
    mWaiting.emplace(aNode, aRead);
    mFleet.mQueue.After(aRead.mWait, [this, aNode] {
      auto it = mWaiting.find(aNode);
      if (it != mWaiting.end()) {
        Answer(aNode, it->second);
        mWaiting.erase(it);
      }
    });
  }

  void Answer(std::size_t aNode, const ReadFeed& aRead)
  {
    FeedReadResult result;
    result.mTopic = aRead.mTopic;
    result.mIsSuccessful = true;
    Duration delay = kStoreDelay;
    bool isDocument = aRead.mTopic == kDocumentTopic;
    if (isDocument && (aRead.mIsSnapshot || aRead.mFrom.mOffset < mEnd)) {
      result.mIsSnapshot = true;
      result.mRevision = mRevision;
      result.mEntries = mEntries;
      delay += mFleet.ReceiveOnLink(aNode, mBytes);
    }
    result.mEnd = { 0, isDocument ? mEnd : 0 };
    mFleet.mQueue.After(delay,
                        [this, aNode, result] { mFleet.Post(aNode, result); });
  }

  FakeFleet& mFleet;
  std::uint64_t mRevision = 0;
  std::vector<FeedEntry> mEntries;
  std::size_t mBytes = 0;
  LogOffset mEnd = 0;
  std::multimap<std::size_t, ReadFeed> mWaiting;
};

std::uint64_t
LowestRevision(const FakeFleet& aFleet)
{
  std::uint64_t lowest = UINT64_MAX;
  for (const auto& it : aFleet.mNodes) {
    lowest = std::min(lowest, it->mState.mConfig.mConfig.mDocument.mRevision);
  }
  return lowest;
}

} // namespace

/** Guards against a change that costs the whole document on every link: on
 * machines with slow links the copies delayed each other, and a confirmed
 * configuration was not in force in time. */
TEST_GROUP(LargeConfigurations){};

TEST(LargeConfigurations, AreInForceInTimeWhileChangesFollowEachOther)
{
  FakeFleet fleet(kNodes, 1, 1, ConfigSource::KeyedFeeds);
  FakeDocumentStore store(fleet);
  Document document = MakeLargeDocument();
  store.Publish(document);
  fleet.RunFor(seconds(4));
  LONGS_EQUAL(1, LowestRevision(fleet));
  fleet.mLinkBytesPerSecond = kLinkBytesPerSecond;
  for (int i = 0; i < 12; ++i) {
    ++document.mRevision;
    Route& route = document.mRoutes.at(RouteName("r-" + std::to_string(i)));
    route.mDeadline += milliseconds(1);
    store.Publish(document);
    std::uint64_t revision = document.mRevision;
    fleet.mQueue.After(kMaxApplyTime, [&fleet, revision] {
      CHECK(LowestRevision(fleet) >= revision);
    });
    fleet.RunFor(milliseconds(330));
  }
  fleet.RunFor(kMaxApplyTime);
  for (const auto& it : fleet.mNodes) {
    const Document& inForce = it->mState.mConfig.mConfig.mDocument;
    CHECK(FormatDocument(inForce) == FormatDocument(document));
  }
}

/** Guards against a node that misses one change and then applies the next one
 * to a document that it does not fit. */
TEST(LargeConfigurations, AreTheSameOnNodesThatMissedChanges)
{
  for (std::uint64_t seed : TestSeeds(20)) {
    FakeFleet fleet(8, 2, seed, ConfigSource::KeyedFeeds);
    FakeDocumentStore store(fleet);
    Document document = MakeLargeDocument();
    while (document.mRoutes.size() > 40) {
      document.mRoutes.erase(document.mRoutes.begin());
    }
    store.Publish(document);
    fleet.RunFor(seconds(4));
    Random random(seed);
    fleet.mIsLost = [&](std::size_t, std::size_t, const Message& aMessage) {
      return std::holds_alternative<FeedPush>(aMessage) &&
             RandomBelow(random, 3) == 0;
    };
    Document removed = document;
    for (int i = 0; i < 30; ++i) {
      ++document.mRevision;
      auto it = document.mRoutes.begin();
      std::advance(it, RandomBelow(random, document.mRoutes.size()));
      if (i % 3 == 0) {
        document.mRoutes.erase(it);
      } else if (i % 3 == 1) {
        it->second.mDeadline += milliseconds(1);
      } else {
        document.mRoutes = removed.mRoutes;
      }
      store.Publish(document);
      fleet.RunFor(milliseconds(20 + RandomBelow(random, 900)));
    }
    fleet.RunFor(kMaxApplyTime);
    for (const auto& it : fleet.mNodes) {
      const ConfigState& config = it->mState.mConfig.mConfig;
      CHECK(FormatDocument(config.mDocument) == FormatDocument(document));
      for (const auto& [name, route] : document.mRoutes) {
        const Route* found = FindRoute(config, "GET", route.mPath, route.mHost);
        CHECK(found && found->mName == name);
      }
    }
  }
}

/** Guards against a zone whose nodes the store turns away and that gets no
 * configuration from the nodes of the other zones. */
TEST(LargeConfigurations, ReachAZoneThatTheStoreTurnsAway)
{
  for (std::uint64_t seed : TestSeeds(5)) {
    FakeFleet fleet(24, 3, seed, ConfigSource::KeyedFeeds);
    FakeDocumentStore store(fleet);
    Document document = MakeLargeDocument();
    store.Publish(document);
    fleet.RunFor(seconds(4));
    store.mIsRefused = [](std::size_t aNode) { return aNode % 3 == 0; };
    fleet.RunFor(seconds(1));
    for (int i = 0; i < 3; ++i) {
      ++document.mRevision;
      document.mRoutes.erase(document.mRoutes.begin());
      store.Publish(document);
      // The store's disruption adds 5 s to the time to be in force.
      fleet.RunFor(kMaxApplyTime + seconds(5));
      LONGS_EQUAL(document.mRevision, LowestRevision(fleet));
    }
  }
}
