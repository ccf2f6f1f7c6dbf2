#ifndef VANILLASCALE_REQUESTKEYS_H
#define VANILLASCALE_REQUESTKEYS_H

#include "Clock.h"
#include "Ids.h"

#include <optional>

namespace vanillascale {

/** Maximum age of a key. A request with an older key is answered with
 * "unknown". The platform's log must retain intents for longer than this. */
constexpr std::chrono::milliseconds kMaxKeyAge = std::chrono::minutes(10);

/** Maximum time by which a caller's clock may be ahead of the node's. */
constexpr std::chrono::milliseconds kMaxKeyClockSkew = std::chrono::minutes(1);

/** Returns the creation time of a key, from the first 48 bits of the UUID.
 * Nothing where the text is not a UUID of version 7. Pure; any thread. */
std::optional<WallTime>
KeyCreationTime(const RequestKey& aKey);

/** Makes a key (a UUIDv7) for a time from 74 random bits. Pure; any thread. */
RequestKey
MakeRequestKey(WallTime aTime, std::uint64_t aHigh, std::uint64_t aLow);

} // namespace vanillascale

#endif
