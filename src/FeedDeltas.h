#ifndef VANILLASCALE_FEEDDELTAS_H
#define VANILLASCALE_FEEDDELTAS_H

#include "Messages.h"

#include <deque>
#include <vector>

namespace vanillascale {

/** The entries that changed between two ends of a topic. An entry without a
 * value was removed. */
struct FeedDelta
{
  StorePosition mAfter{};
  StorePosition mEnd{};
  std::vector<FeedEntry> mEntries;
};

/** The latest changes of a topic, oldest first and without gaps. */
using FeedDeltas = std::deque<FeedDelta>;

/** Returns whether changes that start after aAfter connect to those that end at
 * aEnd. Changes between whole records have to start exactly there, all others
 * in the same era. Pure. */
bool
Connects(bool aHasWholeRecords,
         const StorePosition& aAfter,
         const StorePosition& aEnd);

/** Appends changes, and drops the oldest ones beyond a limit of their number
 * and beyond aMaxEntries entries in total. */
void
RecordDelta(FeedDeltas& aDeltas,
            FeedDelta aDelta,
            bool aHasWholeRecords,
            std::size_t aMaxEntries);

/** Returns the oldest of the changes that a copy which ends at aEnd lacks, or
 * the end of the list if some of these are no longer known. Pure. */
FeedDeltas::const_iterator
FirstDeltaAfter(const FeedDeltas& aDeltas,
                bool aHasWholeRecords,
                const StorePosition& aEnd);

} // namespace vanillascale

#endif
