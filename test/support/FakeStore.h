#ifndef VANILLASCALE_TEST_FAKESTORE_H
#define VANILLASCALE_TEST_FAKESTORE_H

#include "FakeFleet.h"

#include "DocumentEntries.h"

#include <functional>

namespace vanillascale::fake {

/** A platform's store with the two topics of ConfigSource::KeyedFeeds. Reads
 * are answered after kStoreDelay; reads of documents wait for changes. */
class FakeStore
{
public:
  static constexpr Duration kStoreDelay = milliseconds(4);
  /** A read that gets no answer fails after this time and its wait. */
  static constexpr Duration kCallTimeout = milliseconds(1200);

  FakeStore(FakeFleet& aFleet, const Document& aDocument)
    : mFleet(aFleet)
    , mDocuments{ aDocument }
  {
    aFleet.mOnReadFeed = [this](std::size_t aNode, const ReadFeed& aRead) {
      Accept(aNode, aRead);
    };
  }

  /** Appends a record of the target topic; without a value it removes the key.
   */
  void PutTarget(FeedEntry aEntry)
  {
    aEntry.mPosition = { 0, mTargets.size() };
    mTargets.push_back(std::move(aEntry));
  }

  /** Appends a record of the document topic, and answers the reads that wait
   * for it. */
  void Publish(const Document& aDocument)
  {
    mDocuments.push_back(aDocument);
    mFleet.mQueue.After(kStoreDelay, [this] {
      for (std::uint64_t id : IdsOfReads()) {
        AnswerIfChanged(id);
      }
    });
  }

  /** Returns with the contents of an older copy, without the last aTargets
   * records of the target topic and the last aDocuments documents, in a new
   * era. Reads that are under way go on, and are answered in the era of the
   * moment of the answer. Precondition: at least one document remains. */
  void Restore(std::size_t aTargets, std::size_t aDocuments)
  {
    mTargets.resize(mTargets.size() - std::min(aTargets, mTargets.size()));
    mDocuments.resize(mDocuments.size() - aDocuments);
    ++mEra;
  }

  StorePosition End() const { return { mEra, mTargets.size() }; }
  LogOffset DocumentEnd() const { return mDocuments.size(); }

  /** Returns whether a node gets no answers. Tests replace it. */
  std::function<bool(std::size_t)> mIsCutOff = [](std::size_t) {
    return false;
  };
  /** The number of full reads, by node and topic. */
  std::map<std::pair<std::size_t, std::string>, std::size_t> mFullReads;
  /** The encoded size of the entries in the answers, by node. Counted only if
   * the fleet counts bytes. */
  std::map<std::size_t, std::uint64_t> mAnsweredBytes;

private:
  /** A read that was not answered yet. */
  struct OpenRead
  {
    std::size_t mNode = 0;
    std::uint64_t mProcessGeneration = 0;
    ReadFeed mRead;
    TimePoint mFailsAt{};
  };

  void Accept(std::size_t aNode, const ReadFeed& aRead)
  {
    if (aRead.mIsSnapshot) {
      ++mFullReads[{ aNode, aRead.mTopic }];
    }
    std::uint64_t id = ++mReads;
    Duration wait = aRead.mTopic == kDocumentTopic && !aRead.mIsSnapshot
                      ? aRead.mWait
                      : Duration(0);
    OpenRead read{ aNode,
                   mFleet.mNodes[aNode]->mProcessGeneration,
                   aRead,
                   mFleet.Now() + kCallTimeout + wait };
    if (mIsCutOff(aNode)) {
      Fail(read);
      return;
    }
    mOpenReads.emplace(id, std::move(read));
    mFleet.mQueue.After(kStoreDelay, [this, id] { AnswerIfChanged(id); });
    mFleet.mQueue.After(kStoreDelay + wait, [this, id] { Answer(id); });
  }

  std::vector<std::uint64_t> IdsOfReads() const
  {
    std::vector<std::uint64_t> ids;
    for (const auto& [id, read] : mOpenReads) {
      ids.push_back(id);
    }
    return ids;
  }

  /** Answers a read before the end of its wait if there are records at its
   * start or after it, or if its start does not exist. */
  void AnswerIfChanged(std::uint64_t aId)
  {
    auto it = mOpenReads.find(aId);
    if (it != mOpenReads.end() &&
        it->second.mRead.mFrom.mOffset != EndOf(it->second.mRead.mTopic)) {
      Answer(aId);
    }
  }

  void Answer(std::uint64_t aId)
  {
    auto it = mOpenReads.find(aId);
    if (it == mOpenReads.end()) {
      return;
    }
    OpenRead read = std::move(it->second);
    mOpenReads.erase(it);
    if (mIsCutOff(read.mNode)) {
      Fail(read);
      return;
    }
    FeedReadResult result = ResultOf(read.mRead);
    if (mFleet.mCountsSentBytes) {
      msgpack::sbuffer buffer;
      msgpack::pack(buffer, result.mEntries);
      mAnsweredBytes[read.mNode] += buffer.size();
    }
    Post(read, result);
  }

  void Fail(const OpenRead& aRead)
  {
    FeedReadResult result;
    result.mTopic = aRead.mRead.mTopic;
    mFleet.mQueue.At(aRead.mFailsAt,
                     [this, aRead, result] { Post(aRead, result); });
  }

  /** Posts the result of a read unless its process has ended. */
  void Post(const OpenRead& aRead, const FeedReadResult& aResult)
  {
    if (mFleet.mNodes[aRead.mNode]->mProcessGeneration ==
        aRead.mProcessGeneration) {
      mFleet.Post(aRead.mNode, aResult);
    }
  }

  LogOffset EndOf(const std::string& aTopic) const
  {
    return aTopic == kTargetTopic ? mTargets.size() : mDocuments.size();
  }

  FeedReadResult ResultOf(const ReadFeed& aRead) const
  {
    FeedReadResult result;
    result.mTopic = aRead.mTopic;
    result.mIsSuccessful = true;
    result.mEnd.mEra = mEra;
    LogOffset end = EndOf(aRead.mTopic);
    if (!aRead.mIsSnapshot && aRead.mFrom.mOffset > end) {
      result.mIsTrimmed = true;
      return result;
    }
    result.mEnd.mOffset = end;
    if (aRead.mTopic == kTargetTopic) {
      result.mIsSnapshot = aRead.mIsSnapshot;
      result.mEntries = Targets(aRead);
    } else if (aRead.mIsSnapshot || aRead.mFrom.mOffset < end) {
      // Each document replaces the one before.
      result.mIsSnapshot = true;
      result.mRevision = mDocuments.back().mRevision;
      result.mEntries =
        MakeDocumentEntries(mDocuments.back(), { mEra, end - 1 });
    }
    return result;
  }

  std::vector<FeedEntry> Targets(const ReadFeed& aRead) const
  {
    std::vector<FeedEntry> entries;
    if (!aRead.mIsSnapshot) {
      entries.assign(mTargets.begin() +
                       static_cast<std::ptrdiff_t>(aRead.mFrom.mOffset),
                     mTargets.end());
    } else {
      std::map<std::string, FeedEntry> newest;
      for (const FeedEntry& it : mTargets) {
        newest[it.mKey] = it;
      }
      for (const auto& [key, entry] : newest) {
        if (!entry.mValue.empty()) {
          entries.push_back(entry);
        }
      }
    }
    for (FeedEntry& it : entries) {
      it.mPosition.mEra = mEra;
    }
    return entries;
  }

  FakeFleet& mFleet;
  /** The records of the topics. Their offsets are their indexes; their era is
   * that of the answer. */
  std::vector<FeedEntry> mTargets;
  std::vector<Document> mDocuments;
  std::uint64_t mEra = 1;
  std::uint64_t mReads = 0;
  std::map<std::uint64_t, OpenRead> mOpenReads;
};

} // namespace vanillascale::fake

#endif
