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
  /** A read that gets no answer fails after this time. */
  static constexpr Duration kCallTimeout = milliseconds(1200);

  FakeStore(FakeFleet& aFleet, const Document& aDocument)
    : mFleet(aFleet)
    , mDocument(aDocument)
  {
    aFleet.mOnReadFeed = [this](std::size_t aNode, const ReadFeed& aRead) {
      Answer(aNode, aRead);
    };
  }

  /** Appends a record of the target topic; without a value it removes the key.
   */
  void PutTarget(FeedEntry aEntry)
  {
    aEntry.mPosition = { mEra, mEnd++ };
    mRecords.push_back(std::move(aEntry));
  }

  StorePosition End() const { return { mEra, mEnd }; }

  /** Returns whether a node gets no answers. Tests replace it. */
  std::function<bool(std::size_t)> mIsCutOff = [](std::size_t) {
    return false;
  };

private:
  void Answer(std::size_t aNode, const ReadFeed& aRead)
  {
    FeedReadResult result;
    result.mTopic = aRead.mTopic;
    Duration delay = kStoreDelay;
    if (mIsCutOff(aNode)) {
      delay = kCallTimeout;
    } else if (aRead.mTopic == kTargetTopic) {
      result.mIsSuccessful = true;
      result.mIsSnapshot = aRead.mIsSnapshot;
      result.mEnd = { mEra, mEnd };
      result.mEntries = Entries(aRead);
    } else {
      result.mIsSuccessful = true;
      result.mEnd = { mEra, 1 };
      delay += aRead.mWait;
      if (aRead.mIsSnapshot) {
        result.mIsSnapshot = true;
        result.mRevision = mDocument.mRevision;
        result.mEntries = MakeDocumentEntries(mDocument, { mEra, 0 });
      }
    }
    mFleet.mQueue.After(delay,
                        [this, aNode, result] { mFleet.Post(aNode, result); });
  }

  std::vector<FeedEntry> Entries(const ReadFeed& aRead) const
  {
    std::vector<FeedEntry> entries;
    if (!aRead.mIsSnapshot) {
      for (const FeedEntry& it : mRecords) {
        if (it.mPosition >= aRead.mFrom) {
          entries.push_back(it);
        }
      }
      return entries;
    }
    std::map<std::string, FeedEntry> newest;
    for (const FeedEntry& it : mRecords) {
      newest[it.mKey] = it;
    }
    for (const auto& [key, entry] : newest) {
      if (!entry.mValue.empty()) {
        entries.push_back(entry);
      }
    }
    return entries;
  }

  FakeFleet& mFleet;
  Document mDocument;
  std::vector<FeedEntry> mRecords;
  std::uint64_t mEra = 1;
  LogOffset mEnd = 0;
};

} // namespace vanillascale::fake

#endif
