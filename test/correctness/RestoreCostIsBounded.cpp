#include "../support/FakeStore.h"
#include "../support/FleetHelpers.h"

#include "Duties.h"
#include "FeedRequests.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <set>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::size_t kNodes = 1000;
constexpr std::size_t kZones = 3;
constexpr std::size_t kTargets = 1000;
/** The time after the start and after the restore whose bytes are counted. */
constexpr Duration kMeasuredTime = seconds(5);
/** The time between the measured start and the restore. */
constexpr Duration kSettleTime = seconds(6);
/** In percent. */
constexpr std::size_t kLostMessages = 1;
/** The store loses the writes of half a second and the latest documents. */
constexpr std::size_t kLostRecords = kTargets / 2;
constexpr std::size_t kLostDocuments = 2;
constexpr std::uint64_t kEpoch = 7;

Document
MakeDocument(std::uint64_t aRevision)
{
  Document document;
  document.mEnvironment = "test";
  document.mRevision = aRevision;
  return document;
}

/** The bytes that nodes have sent to and received from peers, and received from
 * the store, by node. */
using BytesByNode = std::vector<std::uint64_t>;

struct Cost
{
  double mMean = 0;
  double mMax = 0;
};

/** A fleet in which each worker writes its entry once a second. */
class Scenario
{
public:
  explicit Scenario(std::uint64_t aSeed)
    : mFleet(kNodes, kZones, aSeed, ConfigSource::KeyedFeeds, true)
    , mStore(mFleet, MakeDocument(1))
  {
    mFleet.mCountsSentBytes = true;
    mFleet.mIsLost = [this](std::size_t, std::size_t, const Message&) {
      return RandomBelow(mFleet.mRandom, 100) < kLostMessages;
    };
    for (std::uint64_t i = 2; i <= 1 + kLostDocuments; ++i) {
      mStore.Publish(MakeDocument(i));
    }
    for (std::size_t i = 0; i < kTargets; ++i) {
      WriteNext();
    }
    ScheduleWrites();
  }

  BytesByNode Bytes()
  {
    BytesByNode bytes;
    for (std::size_t i = 0; i < kNodes; ++i) {
      const FakeNode& node = *mFleet.mNodes[i];
      bytes.push_back(node.mSentBytes + node.mReceivedBytes +
                      mStore.mAnsweredBytes[i]);
    }
    return bytes;
  }

  /** Returns the cost of the time that follows. */
  Cost Measure()
  {
    BytesByNode before = Bytes();
    mFleet.RunFor(kMeasuredTime);
    BytesByNode after = Bytes();
    Cost cost;
    for (std::size_t i = 0; i < kNodes; ++i) {
      double bytes = static_cast<double>(after[i] - before[i]);
      cost.mMean += bytes / kNodes;
      cost.mMax = std::max(cost.mMax, bytes);
    }
    return cost;
  }

  /** Returns the nodes that read a topic for their zone, and the successors
   * with a rank of their own. */
  std::set<std::size_t> RankedReaders(const std::string& aTopic) const
  {
    std::set<std::size_t> readers;
    for (const auto& it : mFleet.mNodes) {
      for (const NodeId& reader : DutyOwnersInZone(
             it->mState.mMembers, "feed/" + aTopic, kRankedReaders)) {
        readers.insert(mFleet.IndexOf(reader));
      }
    }
    return readers;
  }

  FakeFleet mFleet;
  FakeStore mStore;

private:
  /** Writes the entry of the target whose turn it is. */
  void WriteNext()
  {
    std::size_t target = mSequence++ % kTargets;
    Vm vm;
    vm.mGroup = "ledger";
    vm.mAddress = "i-" + std::to_string(1000000 + target) + "@10.0.64.9:8000";
    vm.mZone = mFleet.ZoneAt(target);
    vm.mSlots = 3;
    vm.mIncarnation = 1;
    mStore.PutTarget({ InstanceOf(TargetId(vm.mAddress)),
                       {},
                       FormatVm(vm),
                       { kEpoch, mSequence } });
  }
  void ScheduleWrites()
  {
    mFleet.mQueue.After(Duration(seconds(1)) / kTargets, [this] {
      WriteNext();
      ScheduleWrites();
    });
  }

  std::uint64_t mSequence = 0;
};

} // namespace

/** Guards against a restore that costs the nodes of a large fleet more than its
 * start: copies that are requested again and again, or read by each node from
 * the store. */
TEST_GROUP(RestoreCost){};

TEST(RestoreCost, IsNotAboveThatOfAStart)
{
  Scenario scenario(TestSeeds(1).front());
  Cost start = scenario.Measure();
  scenario.mFleet.RunFor(kSettleTime);
  Cost usual = scenario.Measure();
  scenario.mStore.mFullReads.clear();
  scenario.mStore.Restore(kLostRecords, kLostDocuments);
  Cost restore = scenario.Measure();
  std::printf("bytes of a node in %d s, mean and worst node: start %.0f %.0f, "
              "usual %.0f %.0f, restore %.0f %.0f\n",
              static_cast<int>(kMeasuredTime / seconds(1)),
              start.mMean,
              start.mMax,
              usual.mMean,
              usual.mMax,
              restore.mMean,
              restore.mMax);
  for (const char* topic : { kTargetTopic, kDocumentTopic }) {
    std::set<std::size_t> ranked = scenario.RankedReaders(topic);
    std::size_t readers = 0;
    std::size_t unranked = 0;
    std::size_t most = 0;
    for (const auto& [key, reads] : scenario.mStore.mFullReads) {
      if (key.second == topic) {
        ++readers;
        unranked += 1 - ranked.count(key.first);
        most = std::max(most, reads);
      }
    }
    std::printf("%s: %zu nodes with full reads, %zu of them without a rank, "
                "at most %zu by one node\n",
                topic,
                readers,
                unranked,
                most);
    CHECK(readers <= kZones * kRankedReaders);
    LONGS_EQUAL(0, unranked);
    CHECK(most <= 1);
  }
  for (const auto& it : scenario.mFleet.mNodes) {
    for (const char* topic : { kTargetTopic, kDocumentTopic }) {
      LONGS_EQUAL(2, it->mState.mFeeds.at(topic).mEnd.mEra);
    }
    LONGS_EQUAL(kTargets, it->mState.mVms.size());
  }
  CHECK(restore.mMean <= start.mMean);
  CHECK(restore.mMax <= start.mMax);
}
