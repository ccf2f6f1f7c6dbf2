#include "WeightedSpread.h"

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
TakeTurn(WeightedSpread& aSpread,
         const std::vector<RouteShare>& aShares,
         double aTotal)
{
  const RouteShare* best = nullptr;
  for (const RouteShare& it : aShares) {
    double& owed = aSpread.mOwed[it.mService];
    owed += it.mWeight / aTotal;
    bool isBetter = !best || owed > aSpread.mOwed[best->mService];
    if (it.mWeight > 0 && isBetter) {
      best = &it;
    }
  }
  aSpread.mOwed[best->mService] -= 1;
  return best->mService;
}

bool
IsOf(const WeightedSpread& aSpread, const std::vector<RouteShare>& aShares)
{
  return aSpread.mOwed.size() == aShares.size() &&
         std::all_of(
           aShares.begin(), aShares.end(), [&](const RouteShare& aShare) {
             return aSpread.mOwed.count(aShare.mService) > 0;
           });
}

/** Weights in percent come round after so many turns. */
constexpr std::size_t kRound = 100;

} // namespace

const ServiceName&
PickShare(WeightedSpread& aSpread,
          const std::vector<RouteShare>& aShares,
          Random& aRandom)
{
  double total = TotalWeight(aShares);
  if (total <= 0) {
    return aShares.front().mService;
  }
  if (!IsOf(aSpread, aShares)) {
    aSpread.mOwed.clear();
    std::size_t start = RandomBelow(aRandom, kRound);
    for (std::size_t i = 0; i < start; ++i) {
      TakeTurn(aSpread, aShares, total);
    }
  }
  return TakeTurn(aSpread, aShares, total);
}

} // namespace vanillascale
