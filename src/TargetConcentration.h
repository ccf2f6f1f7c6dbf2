#ifndef VANILLASCALE_TARGETCONCENTRATION_H
#define VANILLASCALE_TARGETCONCENTRATION_H

#include "TargetPool.h"

#include <map>

namespace vanillascale {

/** Concentration: the requests of a service are sent to a warm set of the
 * targets that answered last, and the others are probed within a budget.
 *
 * Load pattern: at any time up to a third of the targets is gray, and a gray
 * period is found only by a request that fails. Spread over all targets, the
 * load finds each gray period of each target, at the cost of at least one
 * failure. Targets that are not needed are therefore left idle. The warm set
 * has the slots in use and a reserve for bursts; when the demand comes near to
 * the capacity, it contains all targets without recent failures. */

/** How far outside of the warm set a target is; the lowest is preferred. */
constexpr unsigned kRankWarm = 0;
constexpr unsigned kRankCold = 1;
/** The target's latest answer was a failure, a short time ago. */
constexpr unsigned kRankFailed = 2;

/** Updates the demand of the zones and chooses the warm set. aSlotsInUse is the
 * number of slots that the requests of the proxies of each zone use, requests
 * in the queue included. */
void
UpdateWarmSet(TargetPool& aPool,
              TimePoint aNow,
              bool aIsEnabled,
              const std::map<ZoneName, unsigned>& aSlotsInUse);

/** Records that a slot of a target is granted: an idempotent request adds to
 * the probe budget, and takes from it at a target outside of the warm set. The
 * target joins the warm set. */
void
RecordConcentratedGrant(TargetPool& aPool,
                        PooledTarget& aTarget,
                        bool aMayProbe);

/** Returns whether the budget allows a request to probe a target outside of the
 * warm set. Always true without concentration. Pure. */
bool
HasProbeBudget(const TargetPool& aPool);

/** Returns the rank of a target, kRankWarm, kRankCold or kRankFailed.
 * Precondition: requests are concentrated. Pure. */
unsigned
WarmRankOf(const PooledTarget& aTarget, TimePoint aNow);

/** Returns whether a target that is warming up, or is new, has been without a
 * request for so long that the next suitable request goes to it. Its first
 * requests are few, and the first comes within 4 s. Pure. */
bool
IsWarmUpProbeDue(const PooledTarget& aTarget, TimePoint aNow, bool aMayProbe);

/** Returns the order of a target of the warm set for a request of aNode, as a
 * time: the lowest goes first. Requests that may be probes go to the least
 * recently used target, others to the one with the latest success. Among those
 * used or successful very recently, each node prefers the same targets, so that
 * its connections to them are used again. Pure. */
Duration
WarmOrderOf(const PooledTarget& aTarget,
            TimePoint aNow,
            std::uint64_t aNodeHash,
            bool aMayProbe);

/** Returns the order of a probe among the probes that are due, as a time: the
 * lowest goes first. Slots that have been idle for longer, and targets with
 * more of them, go first, and all probes before the warm set. Pure. */
Duration
ProbeOrderOf(const PooledTarget& aTarget, TimePoint aNow);

} // namespace vanillascale

#endif
