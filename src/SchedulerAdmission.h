#ifndef VANILLASCALE_SCHEDULERADMISSION_H
#define VANILLASCALE_SCHEDULERADMISSION_H

#include "Scheduler.h"

#include <optional>

namespace vanillascale {

/** Which requests wait for a slot, and how long.
 *
 * Load pattern: at the crest several times as much work comes as the slots can
 * take, and callers do not come back. A request that waits too long costs its
 * caller the time in which it could have asked elsewhere, and one that is
 * refused at once although a slot would have come costs the answer. So a
 * request waits as long as it can still be answered within its route's goal,
 * and one whose queue is longer than that is refused at once. */

/** How long a request may wait for a slot. Where its route states a goal: as
 * long as an answer can still come within it. Pure. */
Duration
MaxQueueWait(const SchedulerState& aState, const LeaseRequest& aRequest);

/** Why a request is refused at once; nothing where it may wait. Takes a repeat
 * from the retry budget, and a token from its account's limit. */
std::optional<RefusalReason>
FindRefusal(SchedulerState& aState,
            TimePoint aNow,
            const Service& aSettings,
            const LeaseRequest& aRequest);

/** Tells a proxy that its request gets no slot, and the log why. */
void
Refuse(SchedulerState& aState,
       TimePoint aNow,
       const NodeId& aProxy,
       const LeaseRequest& aRequest,
       RefusalReason aReason,
       Effects& aEffects);

/** Refuses the requests whose patience has ended. */
void
RefuseTimedOut(SchedulerState& aState, TimePoint aNow, Effects& aEffects);

} // namespace vanillascale

#endif
