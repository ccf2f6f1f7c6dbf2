#ifndef VANILLASCALE_DUTIES_H
#define VANILLASCALE_DUTIES_H

#include "Membership.h"

#include <string>
#include <string_view>

namespace vanillascale {

/** Assigns the duties of the fleet to members. A duty is a task that one member
 * performs for others: to schedule a service, to read a keyed topic or to write
 * a stream.
 *
 * The CPU shares of the VMs of a fleet differ by a factor of five. The load of
 * a duty grows with the size of the fleet, whatever VM performs it, so that the
 * scheduler of a service on the smallest VM would answer too late for all
 * proxies. Duties are therefore assigned by rendezvous hashing among the VMs
 * that have at least half of the largest CPU share; the other VMs are used only
 * after all of these. */

/** Returns the first aCount of aMembers in the order in which they are to
 * perform a duty, the owner first. All nodes that know the same members and CPU
 * shares compute the same order. Precondition: aMembers are known to aState.
 * Pure; any thread. */
std::vector<NodeId>
OrderForDuty(const MembershipState& aState,
             const std::vector<NodeId>& aMembers,
             std::string_view aDuty,
             std::size_t aCount);

/** Returns the live members that are preferred for duties: those with at least
 * half of the largest CPU share, in order of their ids. Pure; any thread. */
std::vector<NodeId>
PreferredMembers(const MembershipState& aState);

/** Returns the live member that owns a duty; this node if there is no other.
 * Pure; any thread. */
NodeId
DutyOwner(const MembershipState& aState, std::string_view aDuty);

/** Returns the first aCount live members of this node's zone in the order in
 * which they are to perform a duty. Pure; any thread. */
std::vector<NodeId>
DutyOwnersInZone(const MembershipState& aState,
                 std::string_view aDuty,
                 std::size_t aCount);

/** Returns the name of the duty to schedule a service. Pure. */
std::string
SchedulerDuty(const ServiceName& aService);

/** Returns the name of the duty to write the intents of a stream. Pure. */
std::string
IntentDuty(const std::string& aStream);

} // namespace vanillascale

#endif
