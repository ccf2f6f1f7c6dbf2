#ifndef VANILLASCALE_SCHEDULEREVIDENCE_H
#define VANILLASCALE_SCHEDULEREVIDENCE_H

#include "Scheduler.h"

namespace vanillascale {

/** Evidence about the targets, collected from the requests of all proxies.
 *
 * Load pattern: each proxy sends a target less than one request a second. Only
 * the requests of the whole service together show within a second that a target
 * has become gray. */

/** Records the outcome of an ended lease: updates the evidence and the failure
 * penalty of its target, the latency baseline of its route, and the records of
 * harmful requests. */
void
ProcessReport(SchedulerState& aState,
              TimePoint aNow,
              const ActiveLease& aLease,
              const LeaseReport& aReport,
              Effects& aEffects);

/** Checks the leases that are older than their route's latency baseline:
 * queries their holders, then records slow and stalled requests against their
 * targets. Ends expired leases. */
void
ScanLeases(SchedulerState& aState, TimePoint aNow, Effects& aEffects);

/** Moves the end of the scheduler's target list. Targets that proxies with a
 * newer list have declined may be granted again once the list reaches the end
 * of theirs. */
void
MoveTargetListEnd(SchedulerState& aState, const StorePosition& aEnd);

/** Adds a request to the decaying counts of served and unserved requests. */
void
CountRecentRequest(SchedulerState& aState, TimePoint aNow, bool aIsServed);

/** Returns whether the share of recent requests of the service that were not
 * served is so high that its load must be spread over all targets. Pure. */
bool
HasHighFailureRate(const SchedulerState& aState);

/** Returns whether that share is so high that even requests that must not be
 * repeated go to targets that may be faulty. Pure. */
bool
HasVeryHighFailureRate(const SchedulerState& aState);

/** Writes state changes of targets to the event log. */
void
LogTargetChanges(const SchedulerState& aState,
                 const std::vector<PoolChange>& aChanges,
                 Effects& aEffects);

} // namespace vanillascale

#endif
