#ifndef VANILLASCALE_MEMBERUPDATES_H
#define VANILLASCALE_MEMBERUPDATES_H

#include "Membership.h"

/** The updates about members that nodes exchange: which one supersedes another,
 * and which are sent next. Used by Membership.cpp. Not thread safe. */
namespace vanillascale {

/** Returns whether a member may own duties: it is alive or suspect. Pure. */
bool
IsEligibleForDuties(const Member& aMember);

/** Returns the update about this node itself. */
MemberUpdate
SelfUpdate(const MembershipState& aState);

/** Returns an update that gives the member the status aStatus. */
MemberUpdate
MakeUpdate(const NodeId& aNode, const Member& aMember, MemberStatus aStatus);

/** Returns the updates to piggyback on the next message, and decrements their
 * counts of remaining transmissions. The first is about this node itself, then
 * come status changes, then first updates of members, and within each of these
 * groups the updates that have been sent least often. */
std::vector<MemberUpdate>
CollectUpdates(MembershipState& aState);

/** Stores an update as the latest one about a member, and schedules it to be
 * sent to peers. */
void
RecordUpdate(MembershipState& aState,
             TimePoint aNow,
             const NodeId& aNode,
             const MemberUpdate& aUpdate);

/** Applies an update if it supersedes what is known of the member: the higher
 * incarnation wins, then the later enumerator of MemberStatus. Ignores unknown
 * members that are reported as dead. If the update claims that this node is
 * suspect or dead, raises this node's incarnation to refute the claim. */
void
ApplyUpdate(MembershipState& aState,
            TimePoint aNow,
            const MemberUpdate& aUpdate);

/** Applies the updates of a received message. */
void
ApplyUpdates(MembershipState& aState,
             TimePoint aNow,
             const std::vector<MemberUpdate>& aUpdates);

} // namespace vanillascale

#endif
