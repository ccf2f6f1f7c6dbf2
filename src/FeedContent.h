#ifndef VANILLASCALE_FEEDCONTENT_H
#define VANILLASCALE_FEEDCONTENT_H

#include "KeyedFeed.h"

/** The changes to the entries of a node's copy of a feed. Used by
 * KeyedFeed.cpp. Not thread safe. */
namespace vanillascale {

/** Applies entries in their order and returns those that changed the copy. */
std::vector<FeedEntry>
ApplyEntries(KeyedFeedState& aState,
             TimePoint aNow,
             const std::vector<FeedEntry>& aEntries,
             EntrySource aSource);

/** Applies the entries of a full copy that ends at aEnd, and removes older
 * entries that it does not contain, or all of these where records replace each
 * other. Returns the changes to the copy, and the entries that were written
 * again since its end. */
std::vector<FeedEntry>
ApplySnapshot(KeyedFeedState& aState,
              TimePoint aNow,
              const StorePosition& aEnd,
              const std::vector<FeedEntry>& aEntries,
              EntrySource aSource);

/** Removes the entries whose grace period after an outage has passed, once a
 * read of after its end has confirmed that they are missing. */
void
RemoveExpiredEntries(KeyedFeedState& aState, TimePoint aNow);

} // namespace vanillascale

#endif
