#ifndef VANILLASCALE_SCHEDULERHEDGES_H
#define VANILLASCALE_SCHEDULERHEDGES_H

#include "Document.h"
#include "Scheduler.h"

namespace vanillascale {

/** The scheduler's part in hedged requests. It offers the holder of an overdue
 * lease a second lease: it alone knows the grants and times of the whole fleet,
 * the free slots and the budgets. Everything here does nothing for a service
 * without a hedge budget. The state is lost with the scheduler; the next one
 * offers nothing until it has learned the routes' times. */

/** Takes over the routes of a service from a document. Does nothing if aVersion
 * is that of the last call. */
void
UpdateHedgeRoutes(SchedulerState& aState,
                  const Service& aSettings,
                  const Document& aDocument,
                  const StorePosition& aVersion);

/** Counts a granted request and marks its lease if it may be hedged.
 * Precondition: aLease is in use. */
void
RecordHedgeGrant(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 LeaseId aLease,
                 bool aIsRetry);

/** Learns from an ended lease, before its report is processed. */
void
RecordHedgeReport(SchedulerState& aState,
                  TimePoint aNow,
                  const Service& aSettings,
                  const ActiveLease& aLease,
                  const LeaseReport& aReport);

/** Returns whether the outcome of a lease tells whether a request was served:
 * that of a hedge does only if it was answered. Pure. */
bool
IsOutcomeOfRequest(const ActiveLease& aLease, TargetOutcome aOutcome);

/** Offers second leases for overdue requests, within the budgets. */
void
OfferHedges(SchedulerState& aState,
            TimePoint aNow,
            const Service& aSettings,
            Effects& aEffects);

} // namespace vanillascale

#endif
