#ifndef VANILLASCALE_RANDOM_H
#define VANILLASCALE_RANDOM_H

#include "Clock.h"

#include <pcg_random.hpp>

namespace vanillascale {

/** The random number generator of the core. It is part of the node's state and
 * seeded from NodeOptions::mSeed, so that a run can be reproduced. */
using Random = pcg32;

/** Returns a uniformly distributed number below aBound, which must be greater
 * than 0. */
inline std::uint32_t
RandomBelow(Random& aRandom, std::size_t aBound)
{
  return aRandom(static_cast<std::uint32_t>(aBound));
}

/** Returns a random time that differs from aInterval by up to a half of it.
 * Precondition: aInterval is greater than 0. */
inline Duration
AddJitter(Duration aInterval, Random& aRandom)
{
  auto n = static_cast<std::size_t>(aInterval.count());
  return Duration(static_cast<Duration::rep>(n / 2 + RandomBelow(aRandom, n)));
}

} // namespace vanillascale

#endif
