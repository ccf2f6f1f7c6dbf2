#ifndef VANILLASCALE_NODESHUTDOWN_H
#define VANILLASCALE_NODESHUTDOWN_H

#include "Node.h"

namespace vanillascale {

/** Returns the time by which every request has to be answered, or
 * TimePoint::max() if nothing terminates the process. */
TimePoint
MustEndBy(const NodeState& aState);

/** Returns which new requests are accepted. Callers use the connections that
 * they have until these are closed, so requests keep arriving during a
 * shutdown. Most need a small part of their deadlines and are accepted early in
 * the shutdown whatever these are; later only if they fit. */
ShutdownAdmission
AdmissionDuringShutdown(const NodeState& aState, TimePoint aNow);

/** Requests the exit of the process once no requests are left and the minimum
 * shutdown time has passed, or when the maximum is reached. */
void
FinishShutdown(NodeState& aState, TimePoint aNow, Effects& aEffects);

} // namespace vanillascale

#endif
