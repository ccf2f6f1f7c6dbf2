#ifndef VANILLASCALE_FEEDCOMPARISON_H
#define VANILLASCALE_FEEDCOMPARISON_H

#include "KeyedFeed.h"

/** Compares the content of a node's copy with what peers state of theirs, for
 * topics whose records replace each other: there nodes with the same revision
 * have the same entries. A revision and an offset alone don't show that a
 * change was applied to other entries than those that it was made from. Used by
 * KeyedFeed.cpp. Not thread safe. */
namespace vanillascale {

/** Returns whether this node's copy has the content of the sender of aPush once
 * the push is applied. A sender of an earlier build states no digest and is
 * believed. Pure. */
bool
LeadsToSendersContent(const KeyedFeedState& aState, const FeedPush& aPush);

/** Returns whether the entries of a copy from a peer are those that the peer
 * has stated. Pure. */
bool
HasStatedContent(const FeedCopy& aCopy);

/** Logs that the sender of a push has other entries than this node: at the
 * revision of both, or once the changes of the push are applied. */
void
ReportDifference(const KeyedFeedState& aState,
                 const FeedContext& aContext,
                 const NodeId& aSender,
                 const FeedPush& aPush);

/** Processes that the sender of a push of this node's revision has other
 * entries. Only the store can tell which of them are right: this node reads it
 * in full, and pushes its digest to the zone as after any read, so that the
 * sender compares too. */
void
HandleConflict(KeyedFeedState& aState,
               const FeedContext& aContext,
               const NodeId& aFrom,
               const FeedPush& aPush);

} // namespace vanillascale

#endif
