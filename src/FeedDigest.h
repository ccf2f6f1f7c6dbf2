#ifndef VANILLASCALE_FEEDDIGEST_H
#define VANILLASCALE_FEEDDIGEST_H

#include "Hash.h"
#include "Messages.h"

namespace vanillascale {

/** Returns the digest of the key and the value of an entry. The digest of a
 * copy is the sum of those of its entries, so that a change costs no more than
 * its own entries. The offset takes no part: nodes that received the same entry
 * by different changes store different offsets. All nodes compute the same
 * value. Pure; any thread. */
inline std::uint64_t
EntryDigest(const FeedEntry& aEntry)
{
  return Hash64(aEntry.mValue, Hash64(aEntry.mKey));
}

} // namespace vanillascale

#endif
