#ifndef VANILLASCALE_SCHEDULERPLACEMENT_H
#define VANILLASCALE_SCHEDULERPLACEMENT_H

#include "Scheduler.h"

namespace vanillascale {

/** Placement: which queued request gets a free slot, and at which target.
 *
 * Load pattern: a few kinds of long requests would occupy all slots, and a
 * third of the targets is gray. Short requests are placed first, and a number
 * of slots is reserved for them. While requests of a high priority wait for a
 * target without a failure penalty, idempotent requests of lower priorities use
 * the slots of the other targets. */

/** Returns the slot time that a short request is expected to take. Pure. */
Duration
ExpectedSlotTime(const SchedulerState& aState);

/** Grants free slots to queued requests until no further grant is possible.
 * Grants none during the startup listen time. */
void
GrantSlots(SchedulerState& aState,
           TimePoint aNow,
           const Service& aSettings,
           Effects& aEffects);

/** Returns the number of slots that long requests must leave free: the smoothed
 * number that short requests need, plus a margin. Pure. */
unsigned
SlotsReservedForShort(const SchedulerState& aState, TimePoint aNow);

} // namespace vanillascale

#endif
