#include "WeightedRoundRobin.h"

#include <algorithm>

namespace vanillascale {

namespace {

double
TotalWeight(const std::vector<RouteShare>& aShares)
{
  double total = 0;
  for (const RouteShare& it : aShares) {
    total += it.mWeight;
  }
  return total;
}

/** Adds to each service's credit its share of one request, then returns the
 * service with the highest credit, less one request. aTotal is the sum of the
 * weights and must be above zero. */
const ServiceName&
NextService(WeightedRoundRobin& aRoundRobin,
            const std::vector<RouteShare>& aShares,
            double aTotal)
{
  const RouteShare* best = nullptr;
  for (const RouteShare& it : aShares) {
    double& credit = aRoundRobin.mCredits[it.mService];
    credit += it.mWeight / aTotal;
    bool isBetter = !best || credit > aRoundRobin.mCredits[best->mService];
    if (it.mWeight > 0 && isBetter) {
      best = &it;
    }
  }
  aRoundRobin.mCredits[best->mService] -= 1;
  return best->mService;
}

/** Returns whether the credits are those of the services of aShares. */
bool
HasSameServices(const WeightedRoundRobin& aRoundRobin,
                const std::vector<RouteShare>& aShares)
{
  return aRoundRobin.mCredits.size() == aShares.size() &&
         std::all_of(
           aShares.begin(), aShares.end(), [&](const RouteShare& aShare) {
             return aRoundRobin.mCredits.count(aShare.mService) > 0;
           });
}

/** The cycle length of the round robin for weights in percent. */
constexpr std::size_t kTurnsPerCycle = 100;

} // namespace

const ServiceName&
PickService(WeightedRoundRobin& aRoundRobin,
            const std::vector<RouteShare>& aShares,
            Random& aRandom)
{
  double total = TotalWeight(aShares);
  if (total <= 0) {
    return aShares.front().mService;
  }
  if (!HasSameServices(aRoundRobin, aShares)) {
    aRoundRobin.mCredits.clear();
    std::size_t start = RandomBelow(aRandom, kTurnsPerCycle);
    for (std::size_t i = 0; i < start; ++i) {
      NextService(aRoundRobin, aShares, total);
    }
  }
  return NextService(aRoundRobin, aShares, total);
}

} // namespace vanillascale
