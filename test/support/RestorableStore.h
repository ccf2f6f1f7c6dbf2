#ifndef VANILLASCALE_TEST_RESTORABLESTORE_H
#define VANILLASCALE_TEST_RESTORABLESTORE_H

#include "KeyedFeed.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace vanillascale {

/** The topics of the store below. */
constexpr const char* kRecordTopic = "documents";
constexpr const char* kEntryTopic = "targets";

/** The values of entries by their keys. */
using Content = std::map<std::string, std::string>;

/** A store with eras: a topic of whole records and a topic of keyed entries. It
 * can be restored to an earlier length of each topic. */
class RestorableStore
{
public:
  struct Record
  {
    TimePoint mWrittenAt{};
    std::uint64_t mRevision = 0;
    Content mContent;
  };
  struct Entry
  {
    TimePoint mWrittenAt{};
    FeedEntry mEntry;
  };

  void WriteRecord(TimePoint aNow, std::uint64_t aRevision, Content aContent)
  {
    mRecords.push_back({ aNow, aRevision, std::move(aContent) });
  }

  /** Appends an entry; one without a value is removed. */
  void WriteEntry(TimePoint aNow, FeedEntry aEntry)
  {
    aEntry.mPosition = { mEra, mEntries.size() };
    mEntries.push_back({ aNow, std::move(aEntry) });
  }

  /** Removes the entries that were not written for aAge. */
  void ExpireEntries(TimePoint aNow, Duration aAge)
  {
    for (const auto& [key, entry] : LatestEntries()) {
      if (aNow - entry.mWrittenAt > aAge) {
        WriteEntry(aNow, { key, {}, "" });
      }
    }
  }

  /** Starts a new era, with a random older length of each topic. Records from
   * before aOldest are kept. */
  void Restore(TimePoint aOldest, Random& aRandom)
  {
    ++mEra;
    Shorten(mRecords, aOldest, aRandom);
    Shorten(mEntries, aOldest, aRandom);
    mTrimmedRecords = std::min(mTrimmedRecords, mRecords.size());
    mTrimmedEntries = std::min(mTrimmedEntries, mEntries.size());
  }

  /** Drops the history of both topics. */
  void Trim()
  {
    mTrimmedRecords = mRecords.size();
    mTrimmedEntries = mEntries.size();
  }

  /** Returns whether a read of changes has something to return. */
  bool HasAnswer(const ReadFeed& aRead) const
  {
    std::size_t size =
      aRead.mTopic == kRecordTopic ? mRecords.size() : mEntries.size();
    return aRead.mIsSnapshot || aRead.mFrom.mOffset != size;
  }

  /** Answers a read. A full read of entries that took several calls ends at
   * aStartedAt, the end of the topic when it was started, and contains later
   * records. */
  FeedReadResult Answer(const ReadFeed& aRead,
                        const StorePosition& aStartedAt) const
  {
    FeedReadResult result = aRead.mTopic == kRecordTopic ? AnswerRecords(aRead)
                                                         : AnswerEntries(aRead);
    bool hasSeveralPages = aRead.mIsSnapshot && aRead.mTopic == kEntryTopic &&
                           aStartedAt.mEra == mEra;
    if (hasSeveralPages) {
      result.mEnd = aStartedAt;
    }
    return result;
  }

  StorePosition EndOfEntries() const { return { mEra, mEntries.size() }; }
  std::uint64_t Era() const { return mEra; }

  const Record& NewestRecord() const { return mRecords.back(); }

  Content EntryValues() const
  {
    Content values;
    for (const auto& [key, entry] : LatestEntries()) {
      values[key] = entry.mEntry.mValue;
    }
    return values;
  }

private:
  /** The number of records that a read of changes returns at most. */
  static constexpr std::size_t kMaxRecords = 6;

  template<typename Written>
  static void Shorten(std::vector<Written>& aTopic,
                      TimePoint aOldest,
                      Random& aRandom)
  {
    std::size_t kept = 1;
    while (kept < aTopic.size() && aTopic[kept].mWrittenAt < aOldest) {
      ++kept;
    }
    if (kept < aTopic.size()) {
      aTopic.resize(kept + RandomBelow(aRandom, aTopic.size() - kept + 1));
    }
  }

  std::map<std::string, Entry> LatestEntries() const
  {
    std::map<std::string, Entry> latest;
    for (const Entry& it : mEntries) {
      latest[it.mEntry.mKey] = it;
    }
    for (auto it = latest.begin(); it != latest.end();) {
      it = it->second.mEntry.mValue.empty() ? latest.erase(it) : std::next(it);
    }
    return latest;
  }

  FeedReadResult MakeResult(const ReadFeed& aRead, std::size_t aEnd) const
  {
    FeedReadResult result;
    result.mTopic = aRead.mTopic;
    result.mIsSuccessful = true;
    result.mEnd = { mEra, aEnd };
    return result;
  }

  FeedReadResult MakeGone(const ReadFeed& aRead) const
  {
    FeedReadResult result = MakeResult(aRead, 0);
    result.mIsTrimmed = true;
    return result;
  }

  FeedReadResult AnswerRecords(const ReadFeed& aRead) const
  {
    std::size_t from = aRead.mFrom.mOffset;
    std::size_t end = mRecords.size();
    if (!aRead.mIsSnapshot) {
      if (from > end || from < mTrimmedRecords) {
        return MakeGone(aRead);
      }
      end = std::min(end, from + kMaxRecords);
    }
    FeedReadResult result = MakeResult(aRead, end);
    result.mHasMore = end < mRecords.size();
    if (aRead.mIsSnapshot || from < end) {
      const Record& record = mRecords[end - 1];
      result.mIsSnapshot = true;
      result.mRevision = record.mRevision;
      for (const auto& [key, value] : record.mContent) {
        result.mEntries.push_back({ key, { mEra, end - 1 }, value });
      }
    }
    return result;
  }

  FeedReadResult AnswerEntries(const ReadFeed& aRead) const
  {
    std::size_t from = aRead.mFrom.mOffset;
    FeedReadResult result = MakeResult(aRead, mEntries.size());
    result.mIsSnapshot = aRead.mIsSnapshot;
    if (aRead.mIsSnapshot) {
      for (const auto& [key, entry] : LatestEntries()) {
        result.mEntries.push_back(entry.mEntry);
      }
    } else if (from > mEntries.size() || from < mTrimmedEntries) {
      return MakeGone(aRead);
    } else {
      for (std::size_t i = from; i < mEntries.size(); ++i) {
        result.mEntries.push_back(mEntries[i].mEntry);
      }
    }
    for (FeedEntry& it : result.mEntries) {
      // The store states one era, that of the response.
      it.mPosition.mEra = mEra;
    }
    return result;
  }

  std::uint64_t mEra = 1;
  std::vector<Record> mRecords;
  std::vector<Entry> mEntries;
  std::size_t mTrimmedRecords = 0;
  std::size_t mTrimmedEntries = 0;
};

} // namespace vanillascale

#endif
