#ifndef VANILLASCALE_FEEDPROGRESS_H
#define VANILLASCALE_FEEDPROGRESS_H

#include "KeyedFeed.h"

/** What a node's copy of a feed reaches to and when it was confirmed. Used by
 * KeyedFeed.cpp and FeedExchange.cpp. Not thread safe. */
namespace vanillascale {

/** Adds to the recent changes. */
void
AddDelta(KeyedFeedState& aState, FeedDelta aDelta);

/** Records that aSource has confirmed that the copy matched the store at
 * aFreshAt, and detects the end of an outage. The first copy of a node that has
 * just started may be older than the node. An empty aSource is the store. */
void
RecordFreshness(KeyedFeedState& aState,
                TimePoint aNow,
                TimePoint aFreshAt,
                const NodeId& aSource);

/** Moves the end of the copy, and writes an event if it is of a new era.
 * aStoreRevision is the revision of the store's record, if it was read. */
void
MoveEnd(KeyedFeedState& aState,
        const FeedContext& aContext,
        const StorePosition& aEnd,
        std::uint64_t aStoreRevision);

/** Starts the grace period for entries that the store has lost, if aEnd is of a
 * later era than the copy. Their owners need time to write them again. */
void
DeferRemovalsInNewEra(KeyedFeedState& aState,
                      TimePoint aNow,
                      const StorePosition& aEnd);

} // namespace vanillascale

#endif
