#ifndef VANILLASCALE_SCHEDULEREVIDENCE_H
#define VANILLASCALE_SCHEDULEREVIDENCE_H

#include "Scheduler.h"

namespace vanillascale {

/** What a scheduler learns of targets from the requests of all proxies.
 *
 * Load pattern: each proxy sends a target less than one request a second, so
 * that only the service's requests together show within a second that a target
 * has turned gray. */

/** Takes in how the request of an ended lease ended. */
void
ProcessReport(SchedulerState& aState,
              TimePoint aNow,
              const ActiveLease& aLease,
              const LeaseReport& aReport,
              Effects& aEffects);

/** Looks at the leases that last long: asks their holders, then holds them
 * against their targets. Ends those that have expired. */
void
ScanLeases(SchedulerState& aState, TimePoint aNow, Effects& aEffects);

/** Counts a request of the service that was, or was not, served. */
void
CountRecentRequest(SchedulerState& aState, TimePoint aNow, bool aIsServed);

/** Whether so many requests of the service are not served that its targets must
 * be spread over. Pure. */
bool
HasManyUnserved(const SchedulerState& aState);

/** Writes changes of targets' states to the log. */
void
LogTargetChanges(const SchedulerState& aState,
                 const std::vector<PoolChange>& aChanges,
                 Effects& aEffects);

} // namespace vanillascale

#endif
