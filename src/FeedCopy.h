#ifndef VANILLASCALE_FEEDCOPY_H
#define VANILLASCALE_FEEDCOPY_H

#include "Effects.h"

#include <map>
#include <optional>
#include <string>

namespace vanillascale {

/** Upper limit of the encoded size of one page of a copy, in bytes. It bounds
 * the memory that a node needs for each peer that it sends a copy to. */
constexpr std::size_t kMaxPageBytes = 32UL * 1024;

/** A full copy of a keyed topic that a node is receiving from a peer. The copy
 * comes in pages, each of which is requested when the one before has arrived,
 * so that neither side holds more than one page in transit, however large the
 * topic is. Entries that change meanwhile are covered by the changes after
 * mEnd, the end of the first page. Not thread safe. */
struct FeedCopy
{
  NodeId mSource;
  StorePosition mEnd{};
  std::uint64_t mRevision = 0;
  /** The digest that the source has stated; 0 if it has stated none. */
  std::uint64_t mDigest = 0;
  /** When the source knew its entries to match the store, as of the first page.
   */
  TimePoint mFreshAt{};
  std::string mLastKey;
  std::vector<FeedEntry> mEntries;
};

/** Returns the page of aEntries after the key aAfter, without those whose keys
 * are in aHidden, with at most aMaxBytes
 * but at least one entry. The caller sets the topic, the end, the revision and
 * the age. Pure. */
FeedPush
MakePage(const std::map<std::string, FeedEntry>& aEntries,
         const std::map<std::string, TimePoint>& aHidden,
         const std::string& aAfter,
         std::size_t aMaxBytes);

/** Adds a page from aFrom to the copy that is being received, or starts a new
 * copy with a first page. Returns whether the copy is complete. A page that
 * does not continue the copy is ignored; one of another revision or era ends
 * it: after a restore the source leaves out what the store has lost. */
bool
AddPage(std::optional<FeedCopy>& aCopy,
        TimePoint aNow,
        const NodeId& aFrom,
        const FeedPush& aPage);

} // namespace vanillascale

#endif
