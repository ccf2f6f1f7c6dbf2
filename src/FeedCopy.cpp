#include "FeedCopy.h"

namespace vanillascale {

namespace {

/** Bytes of an encoded entry beside its key and value. */
constexpr std::size_t kEntryOverheadBytes = 16;

} // namespace

FeedPush
MakePage(const std::map<std::string, FeedEntry>& aEntries,
         const std::map<std::string, TimePoint>& aHidden,
         const std::string& aAfter,
         std::size_t aMaxBytes)
{
  FeedPush page;
  page.mIsSnapshot = true;
  page.mPageAfter = aAfter;
  std::size_t bytes = 0;
  for (auto it = aEntries.upper_bound(aAfter); it != aEntries.end(); ++it) {
    if (aHidden.count(it->first) > 0) {
      continue;
    }
    bytes += it->first.size() + it->second.mValue.size() + kEntryOverheadBytes;
    if (bytes > aMaxBytes && !page.mEntries.empty()) {
      page.mHasMore = true;
      break;
    }
    page.mEntries.push_back(it->second);
  }
  return page;
}

bool
AddPage(std::optional<FeedCopy>& aCopy,
        TimePoint aNow,
        const NodeId& aFrom,
        const FeedPush& aPage)
{
  if (aPage.mPageAfter.empty()) {
    aCopy = FeedCopy{
      aFrom, aPage.mEnd, aPage.mRevision, aPage.mDigest, aNow - aPage.mAge,
      "",    {}
    };
  } else if (!aCopy || aCopy->mSource != aFrom ||
             aCopy->mLastKey != aPage.mPageAfter) {
    return false;
  } else if (aCopy->mRevision != aPage.mRevision ||
             aCopy->mEnd.mEra != aPage.mEnd.mEra) {
    aCopy.reset();
    return false;
  }
  aCopy->mEntries.insert(
    aCopy->mEntries.end(), aPage.mEntries.begin(), aPage.mEntries.end());
  if (!aPage.mEntries.empty()) {
    aCopy->mLastKey = aPage.mEntries.back().mKey;
  }
  return !aPage.mHasMore;
}

} // namespace vanillascale
