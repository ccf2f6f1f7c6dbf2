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

/** Gives each service its share of one request and takes the request from the
 * one that is owed most. */
const ServiceName&
NextService(WeightedRoundRobin& aSpread,
            const std::vector<RouteShare>& aShares,
            double aTotal)
{
  const RouteShare* best = nullptr;
  for (const RouteShare& it : aShares) {
    double& owed = aSpread.mCredits[it.mService];
    owed += it.mWeight / aTotal;
    bool isBetter = !best || owed > aSpread.mCredits[best->mService];
    if (it.mWeight > 0 && isBetter) {
      best = &it;
    }
  }
  aSpread.mCredits[best->mService] -= 1;
  return best->mService;
}

bool
HasSameServices(const WeightedRoundRobin& aSpread,
                const std::vector<RouteShare>& aShares)
{
  return aSpread.mCredits.size() == aShares.size() &&
         std::all_of(
           aShares.begin(), aShares.end(), [&](const RouteShare& aShare) {
             return aSpread.mCredits.count(aShare.mService) > 0;
           });
}

/** Weights in percent come round after so many turns. */
constexpr std::size_t kTurnsPerCycle = 100;

} // namespace

const ServiceName&
PickService(WeightedRoundRobin& aSpread,
            const std::vector<RouteShare>& aShares,
            Random& aRandom)
{
  double total = TotalWeight(aShares);
  if (total <= 0) {
    return aShares.front().mService;
  }
  if (!HasSameServices(aSpread, aShares)) {
    aSpread.mCredits.clear();
    std::size_t start = RandomBelow(aRandom, kTurnsPerCycle);
    for (std::size_t i = 0; i < start; ++i) {
      NextService(aSpread, aShares, total);
    }
  }
  return NextService(aSpread, aShares, total);
}

} // namespace vanillascale
