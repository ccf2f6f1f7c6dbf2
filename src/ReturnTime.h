#ifndef VANILLASCALE_RETURNTIME_H
#define VANILLASCALE_RETURNTIME_H

#include "Clock.h"
#include "Messages.h"
#include "Random.h"

namespace vanillascale {

/** Tells callers of refused requests when to return.
 *
 * Load pattern: all targets of a service refuse about half of their requests at
 * random for seconds, although they have free slots. A request is sent to two
 * targets at most, and the retry budget pays for far fewer second sends than
 * that. A caller that returns sends a new request, which takes nothing from the
 * budget and has the same chance at once, so it should return soon. Returns of
 * callers that were refused at the same time are spread.
 *
 * A caller returns only if the time that it is told is at most a third of the
 * time that it has left. A return that is refused again costs the caller more
 * than the refusal alone: where the service is short of slots, nothing shorter
 * than the default is told. */

/** Why a request was not run. */
enum class ReturnCause
{
  /** Its targets refused it, and it can't be sent to another one. */
  RefusedByTargets,
  /** The service is short of slots. */
  ShortOfSlots,
  /** No target can be used at present. */
  NoTarget
};

/** Returns the delay after which a caller should return. aTimeLeft is the time
 * until the deadline of its request. */
Duration
ReturnDelay(ReturnCause aCause, Duration aTimeLeft, Random& aRandom);

/** Returns the cause that corresponds to a scheduler's refusal. Pure. */
ReturnCause
ReturnCauseOf(RefusalReason aReason);

} // namespace vanillascale

#endif
