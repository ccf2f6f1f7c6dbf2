#ifndef VANILLASCALE_NODEFEEDS_H
#define VANILLASCALE_NODEFEEDS_H

#include "Node.h"

namespace vanillascale {

/** Returns the feeds of a starting node with ConfigSource::KeyedFeeds, by
 * topic.
 */
std::map<std::string, KeyedFeedState>
MakeFeeds(const NodeOptions& aOptions, TimePoint aNow, Random& aRandom);

/** Returns the document's entry of a service, or null if there is none. */
const Service*
FindService(const NodeState& aState, const ServiceName& aName);

/** Returns the end of the node's target list; 0 if the platform's lists have no
 * offsets, or none has been read. */
StorePosition
TargetListEnd(const NodeState& aState);

/** Replaces the VM list and updates the members, the schedulers' target pools
 * and the proxy's local targets. */
void
ApplyVmList(NodeState& aState, TimePoint aNow, const std::vector<Vm>& aVms);

/** Applies changes of the document and target feeds to the node. The cost of a
 * changed target does not depend on the number of targets. Precondition: the
 * source is KeyedFeeds. */
void
ApplyFeedChanges(NodeState& aState, TimePoint aNow, Effects& aEffects);

} // namespace vanillascale

#endif
