#ifndef VANILLASCALE_REQUESTKEYS_H
#define VANILLASCALE_REQUESTKEYS_H

#include "Clock.h"
#include "Ids.h"

#include <optional>

namespace vanillascale {

/** How long a key may be resent: older ones are answered with "unknown". The
 * platform's log has to keep intents for longer than this. */
constexpr std::chrono::milliseconds kMaxKeyAge = std::chrono::minutes(10);

/** How far a caller's clock may run ahead of the node's. */
constexpr std::chrono::milliseconds kMaxKeyClockSkew = std::chrono::minutes(1);

/** The time at which a key was made, read from its first 48 bits. Nothing where
 * the text is no UUID of version 7. Pure; any thread. */
std::optional<WallTime>
KeyCreationTime(const RequestKey& aKey);

/** Makes a key (a UUIDv7) for a time from 74 random bits. Pure; any thread. */
RequestKey
MakeRequestKey(WallTime aTime, std::uint64_t aHigh, std::uint64_t aLow);

} // namespace vanillascale

#endif
