#ifndef VANILLASCALE_WEIGHTEDROUNDROBIN_H
#define VANILLASCALE_WEIGHTEDROUNDROBIN_H

#include "Document.h"
#include "Random.h"

#include <unordered_map>

namespace vanillascale {

/** Spreads a route's requests over services by weight.
 *
 * Load pattern: one proxy sees a handful of a route's requests in the time over
 * which the shares are looked at. Drawing each at random leaves the shares of
 * small weights to chance; taking turns makes all proxies start with the same
 * service. So each proxy takes turns in proportion (smooth weighted round
 * robin) from a random start. A service that is short of room keeps its share:
 * what does not fit there is refused. Not thread safe. */
struct WeightedRoundRobin
{
  /** What each service is owed, in shares of a request, by its name. */
  std::unordered_map<ServiceName, double> mCredits;
};

/** Picks the service of the next request. Precondition: aShares has an entry
 * with a weight above zero, or the first is picked. */
const ServiceName&
PickService(WeightedRoundRobin& aSpread,
            const std::vector<RouteShare>& aShares,
            Random& aRandom);

} // namespace vanillascale

#endif
