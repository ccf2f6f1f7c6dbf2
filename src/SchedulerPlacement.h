#ifndef VANILLASCALE_SCHEDULERPLACEMENT_H
#define VANILLASCALE_SCHEDULERPLACEMENT_H

#include "Scheduler.h"

namespace vanillascale {

/** Which waiting request gets a free slot, and at which target.
 *
 * Load pattern: a few kinds of long work would fill all slots, and a third of
 * the targets is gray. Short work goes first, with a reserve of slots that long
 * work leaves clear; where urgent work waits for a trusted target, less urgent
 * work that may be repeated takes the slots of the others meanwhile. */

/** The slot time that a short request is expected to take. Pure. */
Duration
ExpectedSlotTime(const SchedulerState& aState);

/** Lends all free slots that waiting requests may have. */
void
GrantSlots(SchedulerState& aState,
           TimePoint aNow,
           const Service& aSettings,
           Effects& aEffects);

/** Slots that are kept clear of long work: what short work was lately seen to
 * need and some more. Pure. */
unsigned
SlotsReservedForShort(const SchedulerState& aState, TimePoint aNow);

} // namespace vanillascale

#endif
