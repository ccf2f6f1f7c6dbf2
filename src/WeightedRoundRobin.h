#ifndef VANILLASCALE_WEIGHTEDROUNDROBIN_H
#define VANILLASCALE_WEIGHTEDROUNDROBIN_H

#include "Document.h"
#include "Random.h"

#include <unordered_map>

namespace vanillascale {

/** Distributes a route's requests over services by weight.
 *
 * Load pattern: a proxy receives only a few requests of a route in the period
 * over which the shares are evaluated. With a random choice for each request,
 * services of small weight miss their share by chance; with a plain round
 * robin, all proxies start with the same service. Each proxy therefore uses a
 * smooth weighted round robin from a random position. A service without free
 * capacity keeps its share: requests above its capacity are refused. Not thread
 * safe. */
struct WeightedRoundRobin
{
  /** The credit of each service, in requests. */
  std::unordered_map<ServiceName, double> mCredits;
};

/** Returns the service of the next request. aShares must not be empty. If no
 * weight is above zero, the first service is returned. */
const ServiceName&
PickService(WeightedRoundRobin& aRoundRobin,
            const std::vector<RouteShare>& aShares,
            Random& aRandom);

} // namespace vanillascale

#endif
