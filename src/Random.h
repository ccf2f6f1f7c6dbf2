#ifndef VANILLASCALE_RANDOM_H
#define VANILLASCALE_RANDOM_H

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

} // namespace vanillascale

#endif
