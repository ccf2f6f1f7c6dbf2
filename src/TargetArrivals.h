#ifndef VANILLASCALE_TARGETARRIVALS_H
#define VANILLASCALE_TARGETARRIVALS_H

#include "TargetPool.h"

namespace vanillascale {

/** Records that a slot of a target was granted. */
void
RecordGrant(PooledTarget& aTarget, TimePoint aNow);

/** Records that the request of a slot that was granted at aGrantedAt has
 * reached its target. */
void
RecordArrival(PooledTarget& aTarget, TimePoint aGrantedAt);

/** Records that a slot was returned without its request having reached the
 * target. */
void
RecordMissedGrant(PooledTarget& aTarget);

/** Returns whether no request is known to have reached a target for aIdleTime,
 * and another attempt may start: the last one has ended or has been pending for
 * long. Attempts that miss the target are repeated at once a few times, then at
 * growing intervals. Pure. */
bool
IsArrivalOverdue(const PooledTarget& aTarget,
                 TimePoint aNow,
                 Duration aIdleTime);

} // namespace vanillascale

#endif
