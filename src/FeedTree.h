#ifndef VANILLASCALE_FEEDTREE_H
#define VANILLASCALE_FEEDTREE_H

#include "Membership.h"

namespace vanillascale {

/** Returns the nodes to which this node sends a push along its tree: the live
 * members of the zone in an order that the seed determines, a fixed number of
 * them below each, the first ones below the root. Each node computes the order
 * from its own view. Where views differ, nodes miss a push or receive it twice;
 * the next push has another order. Pure. */
std::vector<NodeId>
TreeChildren(const MembershipState& aMembers, const FeedPush& aPush);

} // namespace vanillascale

#endif
