#ifndef VANILLASCALE_TARGETCHOICE_H
#define VANILLASCALE_TARGETCHOICE_H

#include "TargetPool.h"

namespace vanillascale {

/** The properties of a request that restrict the choice of its target. */
struct SlotDemand
{
  NodeId mNode;
  ZoneName mZone;
  TargetId mAvoidedTarget;
  bool mIsLong = false;
  /** Only an unpenalized target may be chosen. The scheduler sets it, while the
   * request can still wait, for requests that can't be sent again after a
   * failure. */
  bool mNeedsUnpenalized = false;
  /** The request may probe a target that is possibly faulty: it is idempotent,
   * short and no retry. */
  bool mMayProbe = false;
  /** The request may be queued at a target with no free slot. */
  bool mMayQueueAtTarget = false;
};

/** Returns the target for a request, or nothing if no suitable target has a
 * free slot.
 *
 * Load pattern: at any time some targets are gray, and only requests show
 * which. Requests that may be probes go first to targets whose health is
 * unknown, the least recently used first; requests that can't be sent again
 * wait for unpenalized targets. Otherwise targets that are not suspect go
 * first, then those in the request's own zone. Long work goes to the target
 * with the least long work, so that it is spread. Pure. */
std::optional<TargetId>
PickTarget(const TargetPool& aPool, TimePoint aNow, const SlotDemand& aDemand);

} // namespace vanillascale

#endif
