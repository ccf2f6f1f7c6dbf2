#ifndef VANILLASCALE_RENDEZVOUS_H
#define VANILLASCALE_RENDEZVOUS_H

#include "Ids.h"

#include <string_view>
#include <vector>

namespace vanillascale {

/** Returns the owner of a duty by rendezvous (highest random weight) hashing.
 * All nodes that know the same members compute the same owner, and when a
 * member joins or leaves, only the duties that it gains or loses move. Returns
 * an empty id if there are no members. Pure; any thread. */
NodeId
PickOwner(const std::vector<NodeId>& aMembers, std::string_view aDuty);

/** Returns the aCount nodes with the highest weights, the owner first. Pure;
 * any thread. */
std::vector<NodeId>
PickOwners(const std::vector<NodeId>& aMembers,
           std::string_view aDuty,
           std::size_t aCount);

} // namespace vanillascale

#endif
