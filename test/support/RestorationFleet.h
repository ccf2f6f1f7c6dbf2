#ifndef VANILLASCALE_TEST_RESTORATIONFLEET_H
#define VANILLASCALE_TEST_RESTORATIONFLEET_H

#include "RestorableStore.h"

#include <tuple>

namespace vanillascale {

inline FeedSettings
RecordFeedSettings()
{
  FeedSettings settings;
  settings.mTopic = kRecordTopic;
  settings.mReadInterval = std::chrono::milliseconds(20);
  settings.mWait = std::chrono::milliseconds(800);
  settings.mStaleAfter = std::chrono::milliseconds(1250);
  settings.mHasWholeRecords = true;
  settings.mMaxRecentEntries = 16;
  return settings;
}

inline FeedSettings
EntryFeedSettings()
{
  FeedSettings settings;
  settings.mTopic = kEntryTopic;
  settings.mReadInterval = std::chrono::milliseconds(450);
  settings.mStaleAfter = std::chrono::milliseconds(1000);
  settings.mOutageGracePeriod = std::chrono::milliseconds(2200);
  settings.mMaxRecentEntries = 16;
  return settings;
}

/** The value of a target entry. */
inline std::string
TargetValue(bool aIsLeaving)
{
  // Large enough for copies of several pages.
  return (aIsLeaving ? "leaving" : "serving") + std::string(9000, '.');
}

inline bool
IsLeavingValue(const std::string& aValue)
{
  return aValue.compare(0, 7, "leaving") == 0;
}

/** Nodes of two zones that follow a store which is restored, on virtual time,
 * with workers and an operator that write again what was lost. */
class RestorationFleet
{
public:
  /** With aRepeatsContent the operator writes lost records again as they were;
   * otherwise some of them get another content. */
  RestorationFleet(std::uint64_t aSeed, bool aRepeatsContent)
    : mRandom(aSeed)
    , mRepeatsContent(aRepeatsContent)
  {
    WriteNextRecord();
    for (std::size_t i = 0; i < kWorkers; ++i) {
      mWorkers.push_back(
        { "worker" + std::to_string(i), i % 3 != 0, 1, 0, false, mNow, {} });
      WriteWorker(mWorkers.back());
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      mNodes.push_back(MakeNode(i));
    }
  }

  /** Lets 10 ms pass, with losses, delays, restarts and restores. */
  void Step()
  {
    mIsSettling = false;
    DisturbAtRandom();
    Advance();
  }

  /** Lets 20 s pass without losses. The store is written in the first 10 s. */
  void Settle()
  {
    mIsSettling = true;
    mFullReads.clear();
    TimePoint end = mNow + std::chrono::seconds(20);
    mLastWriteAt = end - std::chrono::seconds(10);
    for (Node& it : mNodes) {
      it.mNoStoreUntil = it.mNoPeersUntil = mNow;
    }
    while (mNow < end && mFailure.empty()) {
      Advance();
    }
    CheckSettled();
  }

  /** What did not hold; empty if all did. */
  const std::string& Failure() const { return mFailure; }

private:
  static constexpr std::size_t kNodes = 6;
  static constexpr std::size_t kWorkers = 9;
  /** Copies that the store is restored from are at most this old. */
  static constexpr Duration kMaxCopyAge = std::chrono::seconds(8);
  /** The store removes an entry that is not written for this time. */
  static constexpr Duration kEntryLifetime = std::chrono::seconds(4);

  struct Worker
  {
    std::string mKey;
    bool mHasOrder = false;
    std::uint64_t mEpoch = 0;
    std::uint64_t mSequence = 0;
    bool mIsLeaving = false;
    TimePoint mNextWriteAt{};
    /** When a leaving worker removes its entry. */
    TimePoint mGoneAt{};
  };

  /** A topic's copy of a node, and what it must not fall below. */
  struct Feed
  {
    KeyedFeedState mState;
    StorePosition mHighestEnd{};
    std::uint64_t mHighestRevision = 0;
    /** By key: the latest leaving that the copy has had. */
    std::map<std::string, EntryOrder> mLeaving;
  };

  struct Node
  {
    NodeId mId;
    /** Answers to a process that was replaced are dropped. */
    unsigned mStarts = 0;
    MembershipState mMembers;
    Random mRandom;
    std::vector<Feed> mFeeds;
    TimePoint mNoStoreUntil{};
    TimePoint mNoPeersUntil{};
  };

  struct Message
  {
    TimePoint mAt{};
    std::size_t mFrom = 0;
    std::size_t mTo = 0;
    std::variant<FeedPush, FeedPull> mContent;
  };

  /** A read of the store, which is answered or arrives at mAt. */
  struct Read
  {
    TimePoint mAt{};
    std::size_t mNode = 0;
    unsigned mStarts = 0;
    ReadFeed mRead;
    StorePosition mStartedAt{};
    TimePoint mWaitsUntil{};
    std::optional<FeedReadResult> mResult;
  };

  static ZoneName ZoneOf(std::size_t aNode)
  {
    return ZoneName(aNode % 2 == 0 ? "east" : "west");
  }

  bool OneIn(std::size_t aCases) { return RandomBelow(mRandom, aCases) == 0; }

  Duration RandomDuration(std::size_t aMilliseconds)
  {
    return std::chrono::milliseconds(RandomBelow(mRandom, aMilliseconds));
  }

  Node MakeNode(std::size_t aIndex)
  {
    NodeId id(std::to_string(aIndex));
    Node node{ id,
               ++mStarts,
               MembershipState::Make(id, ZoneOf(aIndex), 1),
               Random(mRandom()),
               {},
               {},
               {} };
    Ping ping;
    for (std::size_t i = 0; i < kNodes; ++i) {
      ping.mUpdates.push_back(
        { NodeId(std::to_string(i)), ZoneOf(i), 1, MemberStatus::Alive });
    }
    Effects ignored;
    MembershipReceive(node.mMembers,
                      mNow,
                      NodeId(std::to_string((aIndex + 1) % kNodes)),
                      ping,
                      ignored);
    for (const auto& it : { RecordFeedSettings(), EntryFeedSettings() }) {
      node.mFeeds.push_back({ KeyedFeedState::Make(it, mNow), {}, 0, {} });
    }
    return node;
  }

  void DisturbAtRandom()
  {
    Node& node = mNodes[RandomBelow(mRandom, kNodes)];
    if (OneIn(300)) {
      Restore();
      if (OneIn(3)) {
        mRestoreAgainAt = mNow + RandomDuration(1500);
      }
    }
    if (mNow >= mRestoreAgainAt) {
      Restore();
    }
    if (OneIn(400)) {
      mStore.Trim();
    }
    if (OneIn(200)) {
      node = MakeNode(std::stoul(node.mId.mValue));
    }
    if (OneIn(150)) {
      node.mNoStoreUntil = mNow + RandomDuration(4000);
    }
    if (OneIn(150)) {
      node.mNoPeersUntil = mNow + RandomDuration(4000);
    }
  }

  void Restore()
  {
    mRestoreAgainAt = TimePoint::max();
    mStore.Restore(mNow - kMaxCopyAge, mRandom);
    mNextRecordAt = mNow + RandomDuration(1500);
  }

  /** Lets the writers, the store and all nodes run for 10 ms. */
  void Advance()
  {
    mNow += std::chrono::milliseconds(10);
    if (!mIsSettling || mNow < mLastWriteAt) {
      Write();
    }
    mStore.ExpireEntries(mNow, mIsSettling ? Duration::max() : kEntryLifetime);
    AnswerReads();
    for (std::size_t node = 0; node < kNodes; ++node) {
      for (Feed& it : mNodes[node].mFeeds) {
        Run(node, it, [&](const FeedContext& aContext) {
          FeedTick(it.mState, aContext);
        });
      }
    }
    DeliverMessages();
  }

  void Write()
  {
    if (mNow >= mNextRecordAt) {
      WriteNextRecord();
    }
    for (Worker& it : mWorkers) {
      if (mNow >= it.mNextWriteAt) {
        WriteWorker(it);
      }
    }
    if (mIsSettling) {
      mStore.ExpireEntries(mNow, kEntryLifetime);
    }
  }

  /** Writes the first record again that the store has lost, at times with
   * another content, or a new one. */
  void WriteNextRecord()
  {
    std::uint64_t newest =
      mDocuments.empty() ? 0 : mStore.NewestRecord().mRevision;
    auto lost = mDocuments.upper_bound(newest);
    std::uint64_t revision = lost != mDocuments.end()
                               ? lost->first
                               : newest + 1 + RandomBelow(mRandom, 3);
    if (lost == mDocuments.end() || (!mRepeatsContent && OneIn(3))) {
      Content content = mDocuments.empty() ? Content() : mDocuments[newest];
      content["head"] = std::to_string(revision);
      std::string key = "route/" + std::to_string(RandomBelow(mRandom, 5));
      content[key] =
        std::string(12000, static_cast<char>('a' + RandomBelow(mRandom, 3)));
      if (OneIn(4)) {
        content.erase(key);
      }
      mDocuments[revision] = content;
    }
    mStore.WriteRecord(mNow, revision, mDocuments[revision]);
    mNextRecordAt = mNow + RandomDuration(mIsSettling ? 400 : 1200);
  }

  /** Writes a worker's entry as each second. A leaving worker removes its entry
   * at last and is started again later. */
  void WriteWorker(Worker& aWorker)
  {
    aWorker.mNextWriteAt =
      mNow + std::chrono::milliseconds(900) + RandomDuration(200);
    if (aWorker.mIsLeaving && mNow >= aWorker.mGoneAt) {
      mStore.WriteEntry(mNow, { aWorker.mKey, {}, "" });
      ++aWorker.mEpoch;
      aWorker.mIsLeaving = false;
      aWorker.mNextWriteAt =
        mNow + std::chrono::seconds(1) + RandomDuration(20000);
      return;
    }
    if (!aWorker.mIsLeaving && OneIn(8)) {
      aWorker.mIsLeaving = true;
      aWorker.mGoneAt = mNow + RandomDuration(5000);
    }
    EntryOrder order{ aWorker.mEpoch, ++aWorker.mSequence };
    mStore.WriteEntry(mNow,
                      { aWorker.mKey,
                        {},
                        TargetValue(aWorker.mIsLeaving),
                        aWorker.mHasOrder ? order : EntryOrder{} });
  }

  void AnswerReads()
  {
    std::vector<Read> pending = std::exchange(mReads, {});
    for (Read& it : pending) {
      const Node& node = mNodes[it.mNode];
      if (mNow < it.mAt) {
        mReads.push_back(std::move(it));
        continue;
      }
      if (it.mResult) {
        if (node.mStarts == it.mStarts) {
          Receive(it.mNode, *it.mResult);
        }
        continue;
      }
      bool isLost = mNow < node.mNoStoreUntil || (!mIsSettling && OneIn(30));
      if (isLost) {
        it.mResult = FeedReadResult();
        it.mResult->mTopic = it.mRead.mTopic;
      } else if (mStore.HasAnswer(it.mRead) || mNow >= it.mWaitsUntil) {
        it.mResult = mStore.Answer(it.mRead, it.mStartedAt);
      }
      if (it.mResult) {
        it.mAt = mNow + Delay();
      }
      mReads.push_back(std::move(it));
    }
  }

  /** The time that something takes on its way: at times so long that it is
   * overtaken by much else. */
  Duration Delay()
  {
    if (mIsSettling) {
      return std::chrono::milliseconds(10);
    }
    return OneIn(12) ? RandomDuration(2500) : RandomDuration(50);
  }

  void DeliverMessages()
  {
    std::vector<Message> pending = std::exchange(mMessages, {});
    for (Message& it : pending) {
      if (mNow < it.mAt) {
        mMessages.push_back(std::move(it));
        continue;
      }
      bool isLost = mNow < mNodes[it.mFrom].mNoPeersUntil ||
                    mNow < mNodes[it.mTo].mNoPeersUntil ||
                    (!mIsSettling && OneIn(15));
      if (isLost) {
        continue;
      }
      std::visit(
        [&](const auto& aContent) {
          Feed& feed = FeedOf(it.mTo, aContent.mTopic);
          Run(it.mTo, feed, [&](const FeedContext& aContext) {
            FeedReceive(feed.mState, aContext, mNodes[it.mFrom].mId, aContent);
          });
        },
        it.mContent);
      if (!mIsSettling && OneIn(15)) {
        it.mAt = mNow + Delay();
        mMessages.push_back(std::move(it));
      }
    }
  }

  Feed& FeedOf(std::size_t aNode, const std::string& aTopic)
  {
    return mNodes[aNode].mFeeds[aTopic == kRecordTopic ? 0 : 1];
  }

  void Receive(std::size_t aNode, const FeedReadResult& aResult)
  {
    Feed& feed = FeedOf(aNode, aResult.mTopic);
    Run(aNode, feed, [&](const FeedContext& aContext) {
      FeedReceive(feed.mState, aContext, aResult);
    });
  }

  /** Lets a node process something, sends what it sends, and checks it. */
  template<typename Function>
  void Run(std::size_t aNode, Feed& aFeed, Function aFunction)
  {
    Node& node = mNodes[aNode];
    Effects effects;
    aFunction(FeedContext{ mNow, node.mMembers, node.mRandom, effects });
    for (const Effect& it : effects) {
      if (const auto* read = std::get_if<ReadFeed>(&it)) {
        mReads.push_back({ mNow + Delay(),
                           aNode,
                           node.mStarts,
                           *read,
                           mStore.EndOfEntries(),
                           mNow + read->mWait,
                           std::nullopt });
        if (read->mIsSnapshot) {
          bool isOfConflict = aFeed.mState.mHasConflict;
          ++mFullReads[{ aNode, read->mTopic, isOfConflict }];
        }
      }
      const auto* send = std::get_if<SendToPeer>(&it);
      if (!send) {
        continue;
      }
      std::size_t to = std::stoul(send->mTo.mValue);
      if (const auto* push = std::get_if<FeedPush>(&send->mMessage)) {
        mMessages.push_back({ mNow + Delay(), aNode, to, *push });
      } else if (const auto* pull = std::get_if<FeedPull>(&send->mMessage)) {
        mMessages.push_back({ mNow + Delay(), aNode, to, *pull });
      }
    }
    Check(node, aFeed);
  }

  void Check(const Node& aNode, Feed& aFeed)
  {
    KeyedFeedState& state = aFeed.mState;
    if (state.mEnd < aFeed.mHighestEnd) {
      Fail(aNode, state, "moved back to " + FormatPosition(state.mEnd));
    }
    if (state.mRevision < aFeed.mHighestRevision) {
      Fail(aNode, state, "fell to " + std::to_string(state.mRevision));
    }
    aFeed.mHighestEnd = state.mEnd;
    aFeed.mHighestRevision = state.mRevision;
    for (const std::string& key : std::exchange(state.mChangedKeys, {})) {
      auto it = state.mEntries.find(key);
      if (it == state.mEntries.end() || it->second.mOrder.mEpoch == 0) {
        continue;
      }
      const EntryOrder& order = it->second.mOrder;
      EntryOrder& leaving = aFeed.mLeaving[key];
      if (IsLeavingValue(it->second.mValue)) {
        leaving =
          std::max(leaving, order, [](const auto& aLeft, const auto& aRight) {
            return std::tie(aLeft.mEpoch, aLeft.mSequence) <
                   std::tie(aRight.mEpoch, aRight.mSequence);
          });
      } else if (order.mEpoch <= leaving.mEpoch) {
        Fail(aNode,
             state,
             "holds " + key + " of " + std::to_string(order.mEpoch) + "." +
               std::to_string(order.mSequence) + " after its leaving " +
               std::to_string(leaving.mEpoch) + "." +
               std::to_string(leaving.mSequence));
      }
    }
  }

  void CheckSettled()
  {
    for (Node& it : mNodes) {
      const KeyedFeedState& records = it.mFeeds[0].mState;
      const KeyedFeedState& entries = it.mFeeds[1].mState;
      const auto& newest = mStore.NewestRecord();
      if (records.mRevision != newest.mRevision) {
        Fail(it, records, "is at " + std::to_string(records.mRevision));
      } else if (ContentOf(records) != newest.mContent) {
        Fail(it, records, "has another content");
      }
      if (ContentOf(entries) != mStore.EntryValues()) {
        Fail(it, entries, "has other entries");
      }
      for (const Feed& feed : it.mFeeds) {
        if (feed.mState.mEnd.mEra != mStore.Era()) {
          Fail(it, feed.mState, "is at " + FormatPosition(feed.mState.mEnd));
        }
      }
    }
    for (const auto& [reader, count] : mFullReads) {
      const auto& [node, topic, isOfConflict] = reader;
      if (count > (isOfConflict && mRepeatsContent ? 0 : 1)) {
        Fail(mNodes[node],
             FeedOf(node, topic).mState,
             "read in full " + std::to_string(count) + " times" +
               (isOfConflict ? " because of a conflict" : ""));
      }
    }
  }

  static Content ContentOf(const KeyedFeedState& aState)
  {
    Content content;
    for (const auto& [key, entry] : aState.mEntries) {
      content[key] = entry.mValue;
    }
    return content;
  }

  void Fail(const Node& aNode,
            const KeyedFeedState& aState,
            const std::string& aText)
  {
    mFailure += "node " + aNode.mId.mValue + " " + aState.mSettings.mTopic +
                " " + aText + " at " + std::to_string((mNow - kStart).count()) +
                ", store at era " + std::to_string(mStore.Era()) + "\n";
  }

  static constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

  Random mRandom;
  bool mRepeatsContent = false;
  TimePoint mNow = kStart;
  RestorableStore mStore;
  /** By revision: what the operator has written, as of the last time. */
  std::map<std::uint64_t, Content> mDocuments;
  TimePoint mNextRecordAt{};
  TimePoint mRestoreAgainAt = TimePoint::max();
  TimePoint mLastWriteAt{};
  std::vector<Worker> mWorkers;
  unsigned mStarts = 0;
  std::vector<Node> mNodes;
  std::vector<Read> mReads;
  std::vector<Message> mMessages;
  bool mIsSettling = false;
  /** By node, topic and whether a peer had another content of the revision. */
  std::map<std::tuple<std::size_t, std::string, bool>, int> mFullReads;
  std::string mFailure;
};

} // namespace vanillascale

#endif
