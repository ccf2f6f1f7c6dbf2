#ifndef VANILLASCALE_HASH_H
#define VANILLASCALE_HASH_H

#include <cstdint>
#include <string_view>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace vanillascale {

/** Returns the XXH3 hash of aText with the seed aSeed. All nodes compute the
 * same value. */
inline std::uint64_t
Hash64(std::string_view aText, std::uint64_t aSeed = 0)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace vanillascale

#endif
