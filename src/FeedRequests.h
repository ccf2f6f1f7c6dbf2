#ifndef VANILLASCALE_FEEDREQUESTS_H
#define VANILLASCALE_FEEDREQUESTS_H

#include "KeyedFeed.h"

/** The requests of a node to its peers for what its copy of a feed lacks. Used
 * by KeyedFeed.cpp. Not thread safe. */
namespace vanillascale {

/** The number of readers of a zone with a rank of their own: the reader and the
 * nodes that replace it one after the other. All other nodes share the rank
 * after these. */
constexpr std::size_t kRankedReaders = 4;
/** The delay between the takeovers of consecutive ranks. A read takes less
 * time, so that one successor's read can succeed before the next one starts its
 * own. */
constexpr Duration kTakeoverDelayPerRank = std::chrono::milliseconds(120);

/** The interval of requests of a node with a copy. */
constexpr Duration kPullInterval = std::chrono::milliseconds(200);

/** Returns aMembers without this node. */
std::vector<NodeId>
WithoutSelf(std::vector<NodeId> aMembers, const NodeId& aSelf);

/** Returns a request for the changes since this node's end. */
FeedPull
MakePull(const KeyedFeedState& aState);

/** Returns a push of this node's copy without entries. */
FeedPush
MakePush(const KeyedFeedState& aState, TimePoint aNow);

/** Requests a copy if this node has none: from a seed and from a random peer by
 * turns, from one of its own zone if there is any. A copy that is being
 * received is given up if its next page is late. */
void
RequestCopyIfNotLoaded(KeyedFeedState& aState, const FeedContext& aContext);

/** Requests the changes since aEnd from a peer, or a copy if aEnd is the start
 * of an era, unless a request was sent a moment ago: its answer may be large
 * and under way. Returns whether the request was sent. */
bool
RequestChanges(KeyedFeedState& aState,
               const FeedContext& aContext,
               const NodeId& aFrom,
               const StorePosition& aEnd);

/** Requests a copy of a later era, if a peer has one, until this node has it. A
 * peer that forwarded a push may not have applied it itself yet. */
void
RequestCopyOfLaterEra(KeyedFeedState& aState, const FeedContext& aContext);

/** Requests the changes from a random node of another zone if the store does
 * not answer this node and its zone has not read it either: the store may
 * answer the nodes of other zones; or if this node has loaded its first copy
 * from the store, which may have lost a revision that others serve. Only for
 * topics with whole records, which change so rarely that the answer is mostly
 * empty. */
void
RequestChangesFromOtherZone(KeyedFeedState& aState,
                            const FeedContext& aContext);

} // namespace vanillascale

#endif
