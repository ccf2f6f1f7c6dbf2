#ifndef VANILLASCALE_SCHEDULERADMISSION_H
#define VANILLASCALE_SCHEDULERADMISSION_H

#include "Scheduler.h"

#include <optional>

namespace vanillascale {

/** Admission control: which requests wait for a slot, and how long.
 *
 * Load pattern: at peak load the requests need several times the available
 * slots, and callers do not retry later. A request that waits too long costs
 * its caller the time to try elsewhere. A request that is refused although a
 * slot would have become free in time loses its answer. Therefore a request
 * waits as long as it can still be answered within its route's goal, and is
 * refused at once if the expected wait is longer than that. */

/** Returns how long a request may wait for a slot: a fixed percentage of its
 * deadline. If its route states a goal, it may wait longer, as long as an
 * answer can be expected within the goal. Pure. */
Duration
MaxQueueWait(const SchedulerState& aState, const LeaseRequest& aRequest);

/** Returns why a request is refused at once, or nothing if it may wait. Takes a
 * token from the retry budget for a retry, and from the limit of the account
 * for any other request. */
std::optional<RefusalReason>
CheckAdmission(SchedulerState& aState,
               TimePoint aNow,
               const Service& aSettings,
               const NodeId& aProxy,
               const LeaseRequest& aRequest);

/** Returns the quota token of a request that was admitted but is not sent. Does
 * nothing for a retry, which has taken none. */
void
ReturnQuota(SchedulerState& aState,
            TimePoint aNow,
            const LeaseRequest& aRequest);

/** Sends a refusal to the proxy, counts it and logs it with its reason. */
void
Refuse(SchedulerState& aState,
       TimePoint aNow,
       const NodeId& aProxy,
       const LeaseRequest& aRequest,
       RefusalReason aReason,
       Effects& aEffects);

/** Refuses the queued requests whose wait deadline or request deadline has
 * passed. */
void
RefuseTimedOut(SchedulerState& aState, TimePoint aNow, Effects& aEffects);

} // namespace vanillascale

#endif
