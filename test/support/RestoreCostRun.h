#ifndef VANILLASCALE_TEST_RESTORECOSTRUN_H
#define VANILLASCALE_TEST_RESTORECOSTRUN_H

#include "FakeStore.h"
#include "FleetHelpers.h"

#include "Duties.h"
#include "FeedRequests.h"

#include <cstdio>
#include <set>

namespace vanillascale::fake {

constexpr std::size_t kRestoreNodes = 1000;
constexpr std::size_t kRestoreZones = 3;
constexpr std::size_t kRestoreTargets = 1000;
/** The time after the start and after the restore whose bytes are counted. */
constexpr Duration kRestoreMeasuredTime = seconds(5);
/** The time between the measured start and the restore. */
constexpr Duration kRestoreSettleTime = seconds(6);
/** In percent. */
constexpr std::size_t kRestoreLostMessages = 1;
/** The store loses the writes of half a second and the latest documents. */
constexpr std::size_t kRestoreLostRecords = kRestoreTargets / 2;
constexpr std::size_t kRestoreLostDocuments = 2;
constexpr std::uint64_t kRestoreEpoch = 7;

inline Document
MakeEmptyDocument(std::uint64_t aRevision)
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
class RestoreCostRun
{
public:
  explicit RestoreCostRun(std::uint64_t aSeed)
    : mFleet(kRestoreNodes,
             kRestoreZones,
             aSeed,
             ConfigSource::KeyedFeeds,
             true)
    , mStore(mFleet, MakeEmptyDocument(1))
  {
    mFleet.mCountsSentBytes = true;
    mFleet.mIsLost = [this](std::size_t, std::size_t, const Message&) {
      return RandomBelow(mFleet.mRandom, 100) < kRestoreLostMessages;
    };
    for (std::uint64_t i = 2; i <= 1 + kRestoreLostDocuments; ++i) {
      mStore.Publish(MakeEmptyDocument(i));
    }
    for (std::size_t i = 0; i < kRestoreTargets; ++i) {
      WriteNext();
    }
    ScheduleWrites();
  }

  BytesByNode Bytes()
  {
    BytesByNode bytes;
    for (std::size_t i = 0; i < kRestoreNodes; ++i) {
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
    mFleet.RunFor(kRestoreMeasuredTime);
    BytesByNode after = Bytes();
    Cost cost;
    for (std::size_t i = 0; i < kRestoreNodes; ++i) {
      double bytes = static_cast<double>(after[i] - before[i]);
      cost.mMean += bytes / kRestoreNodes;
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
    std::size_t target = mSequence++ % kRestoreTargets;
    Vm vm;
    vm.mGroup = "ledger";
    vm.mAddress = "i-" + std::to_string(1000000 + target) + "@10.0.64.9:8000";
    vm.mZone = mFleet.ZoneAt(target);
    vm.mSlots = 3;
    vm.mIncarnation = 1;
    mStore.PutTarget({ InstanceOf(TargetId(vm.mAddress)),
                       {},
                       FormatVm(vm),
                       { kRestoreEpoch, mSequence } });
  }
  void ScheduleWrites()
  {
    mFleet.mQueue.After(Duration(seconds(1)) / kRestoreTargets, [this] {
      WriteNext();
      ScheduleWrites();
    });
  }

  std::uint64_t mSequence = 0;
};

/** What the change of an era costs a fleet without callers. */
struct RestoreCost
{
  Cost mStart;
  Cost mUsual;
  Cost mRestore;
  struct Topic
  {
    /** Nodes that have read the whole topic, and those of them that are neither
     * the reader of their zone nor a successor with a rank of its own. */
    std::size_t mReaders = 0;
    std::size_t mUnranked = 0;
    /** The highest number of full reads by one node. */
    std::size_t mMostReads = 0;
  };
  Topic mTargets;
  Topic mDocuments;
  /** Nodes that follow the new era and know all targets. */
  std::size_t mFollowing = 0;
};

inline RestoreCost::Topic
CountFullReads(const RestoreCostRun& aRun, const std::string& aTopic)
{
  RestoreCost::Topic counts;
  std::set<std::size_t> ranked = aRun.RankedReaders(aTopic);
  for (const auto& [key, reads] : aRun.mStore.mFullReads) {
    if (key.second == aTopic) {
      ++counts.mReaders;
      counts.mUnranked += 1 - ranked.count(key.first);
      counts.mMostReads = std::max(counts.mMostReads, reads);
    }
  }
  std::printf("%s: %zu nodes with full reads, %zu of them without a rank, "
              "at most %zu by one node\n",
              aTopic.c_str(),
              counts.mReaders,
              counts.mUnranked,
              counts.mMostReads);
  return counts;
}

/** Measures the start of a fleet and a restore of its store, and prints the
 * figures. */
inline RestoreCost
MeasureRestoreCost(std::uint64_t aSeed)
{
  RestoreCostRun run(aSeed);
  RestoreCost cost;
  cost.mStart = run.Measure();
  run.mFleet.RunFor(kRestoreSettleTime);
  cost.mUsual = run.Measure();
  run.mStore.mFullReads.clear();
  run.mStore.Restore(kRestoreLostRecords, kRestoreLostDocuments);
  cost.mRestore = run.Measure();
  std::printf("bytes of a node in %d s, mean and worst node: start %.0f %.0f, "
              "usual %.0f %.0f, restore %.0f %.0f\n",
              static_cast<int>(kRestoreMeasuredTime / seconds(1)),
              cost.mStart.mMean,
              cost.mStart.mMax,
              cost.mUsual.mMean,
              cost.mUsual.mMax,
              cost.mRestore.mMean,
              cost.mRestore.mMax);
  cost.mTargets = CountFullReads(run, kTargetTopic);
  cost.mDocuments = CountFullReads(run, kDocumentTopic);
  for (const auto& it : run.mFleet.mNodes) {
    const auto& feeds = it->mState.mFeeds;
    bool isFollowing = feeds.at(kTargetTopic).mEnd.mEra == 2 &&
                       feeds.at(kDocumentTopic).mEnd.mEra == 2 &&
                       it->mState.mVms.size() == kRestoreTargets;
    cost.mFollowing += isFollowing ? 1 : 0;
  }
  return cost;
}

} // namespace vanillascale::fake

#endif
