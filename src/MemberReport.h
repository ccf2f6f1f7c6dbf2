#ifndef VANILLASCALE_MEMBERREPORT_H
#define VANILLASCALE_MEMBERREPORT_H

#include "Membership.h"

namespace vanillascale {

/** Returns the numbers of nodes in a view. Pure; any thread. */
MemberCounts
CountMembers(const MembershipState& aState);

/** Writes a MembersChanged event if the numbers of nodes differ from those of
 * the last one, at most once a second. Called periodically. Not thread safe. */
void
ReportMembers(MembershipState& aState, TimePoint aNow, Effects& aEffects);

} // namespace vanillascale

#endif
