#ifndef VANILLASCALE_TARGETCHOICE_H
#define VANILLASCALE_TARGETCHOICE_H

#include "TargetPool.h"

namespace vanillascale {

/** What a request needs of a target. */
struct SlotDemand
{
  NodeId mNode;
  ZoneName mZone;
  TargetId mAvoid;
  bool mIsLong = false;
  /** May not be sent again: goes to targets that are trusted, as long as it can
   * wait for one. */
  bool mNeedsUnpenalized = false;
  /** May try out a target that is suspected: idempotent, short and fresh. */
  bool mMayProbe = false;
  /** May wait at a busy target for its next free slot. */
  bool mMayQueueAtTarget = false;
};

/** Picks the target for a request.
 *
 * Load pattern: at any time some targets are gray, and only requests show
 * which. Requests that may be repeated go first to targets in question, the
 * longest unused first; work that may not be sent again waits for trusted ones.
 * Among equals the choice is: the least suspect with a free slot, of the
 * request's own zone if there is one. Long work goes where there is least of
 * it, so that it is spread. Returns nothing where no slot is free. Pure. */
std::optional<TargetId>
PickTarget(const TargetPool& aPool, TimePoint aNow, const SlotDemand& aDemand);

} // namespace vanillascale

#endif
