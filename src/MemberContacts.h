#ifndef VANILLASCALE_MEMBERCONTACTS_H
#define VANILLASCALE_MEMBERCONTACTS_H

#include "Membership.h"

/** Contacts with nodes that this node has lost: members that failed without
 * announcing that they leave, and seeds that are not members. Probes and
 * requests for the list of members skip them, so without these contacts two
 * parts of a fleet that hold each other dead would never meet again. The
 * approach is that of the reconnects of Serf. Used by Membership.cpp and
 * MemberUpdates.cpp. Not thread safe. */
namespace vanillascale {

/** Sends a ping to a random lost node about once a second with the probability
 * of the lost nodes' share of all nodes, so that the fleet as a whole sends
 * about one ping a second for each lost node. A node without live members sends
 * one each time, four times a second; so does every node for some seconds after
 * a member has returned without a restart, since a partition has probably
 * ended.
 */
void
ContactLostNodes(MembershipState& aState,
                 TimePoint aNow,
                 Random& aRandom,
                 Effects& aEffects);

/** Sends a ping to a node that need not be a member. The ping carries what is
 * recorded of the node, so that it can refute a wrong status, and no other
 * member's update. */
void
ContactNode(MembershipState& aState,
            TimePoint aNow,
            const NodeId& aNode,
            Effects& aEffects);

/** Returns the node that an acknowledgement's contact ping was sent to, or an
 * empty id if there is none, and forgets the ping. */
NodeId
TakeContactPing(MembershipState& aState, std::uint64_t aSequence);

/** Sends the members that are known to a node of another part of the fleet, and
 * requests those that it knows. */
void
ExchangeMembers(const MembershipState& aState,
                const NodeId& aNode,
                Effects& aEffects);

/** Stops to send updates that report members as suspect or dead. Called when
 * there is evidence that this node is or was cut off: the claims then say more
 * about its own connection than about the members. */
void
DropFailureClaims(MembershipState& aState);

} // namespace vanillascale

#endif
