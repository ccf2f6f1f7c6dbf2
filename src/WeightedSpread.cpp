#include "WeightedSpread.h"

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

/** A random start: the credits sum up to zero, as they do after each pick. */
void
Start(WeightedSpread& aSpread,
      const std::vector<RouteShare>& aShares,
      double aTotal,
      Random& aRandom)
{
  constexpr std::size_t kSteps = 1000000;
  double at = static_cast<double>(RandomBelow(aRandom, kSteps)) / kSteps;
  double before = 0;
  for (const RouteShare& it : aShares) {
    double share = it.mWeight / aTotal;
    bool isHit = at >= before && at < before + share;
    aSpread.mOwed[it.mService] = share - (isHit ? 1 : 0);
    before += share;
  }
}

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
  bool isKnown = aSpread.mOwed.size() == aShares.size();
  for (const RouteShare& it : aShares) {
    isKnown = isKnown && aSpread.mOwed.count(it.mService) > 0;
  }
  if (!isKnown) {
    aSpread.mOwed.clear();
    Start(aSpread, aShares, total, aRandom);
  }
  const RouteShare* best = nullptr;
  for (const RouteShare& it : aShares) {
    double& owed = aSpread.mOwed[it.mService];
    owed += it.mWeight / total;
    bool isBetter = !best || owed > aSpread.mOwed[best->mService];
    if (it.mWeight > 0 && isBetter) {
      best = &it;
    }
  }
  aSpread.mOwed[best->mService] -= 1;
  return best->mService;
}

} // namespace vanillascale
