#ifndef VANILLASCALE_DUTIES_H
#define VANILLASCALE_DUTIES_H

#include "Membership.h"

#include <string>
#include <string_view>

namespace vanillascale {

/** Which members carry a duty of the fleet: a service's schedule, the reading
 * of a topic, the writing of a stream.
 *
 * Load pattern: VMs of one fleet differ fivefold in processor time. A duty's
 * load grows with the fleet and not with its VM, so that a service's schedule
 * on the weakest VM answers too late for all proxies. Duties go to the strong
 * VMs, those with at least half the processor share of the strongest, by
 * rendezvous hashing; the others follow in line. */

/** The first aCount of aMembers in line for a duty, the owner first. Every node
 * that knows the same members and shares picks the same ones. Precondition:
 * aMembers are known to aState. Pure; any thread. */
std::vector<NodeId>
OrderForDuty(const MembershipState& aState,
             const std::vector<NodeId>& aMembers,
             std::string_view aDuty,
             std::size_t aCount);

/** The owner of a duty among the live members; this node where there is no
 * other. Pure; any thread. */
NodeId
DutyOwner(const MembershipState& aState, std::string_view aDuty);

/** The first aCount live members of this node's zone in line for a duty. Pure;
 * any thread. */
std::vector<NodeId>
DutyOwnersInZone(const MembershipState& aState,
                 std::string_view aDuty,
                 std::size_t aCount);

/** The duty names under which members carry a service's schedule and a stream's
 * intents. Pure. */
std::string
SchedulerDuty(const ServiceName& aService);
std::string
IntentDuty(const std::string& aStream);

} // namespace vanillascale

#endif
