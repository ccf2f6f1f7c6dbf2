#ifndef VANILLASCALE_ACCOUNTLIMITS_H
#define VANILLASCALE_ACCOUNTLIMITS_H

#include "Clock.h"

#include <cstdint>
#include <unordered_map>

namespace vanillascale {

/** The token bucket that limits the request rate of one client account. */
struct AccountBucket
{
  double mTokens = 0;
  TimePoint mRefilledAt{};
};

/** The buckets of the client accounts that used a service recently, by the hash
 * of the account's name. */
using AccountLimits = std::unordered_map<std::uint64_t, AccountBucket>;

/** Takes one token from the bucket of an account with a limit of aLimit
 * requests per second. Returns false if no token is left. A limit of 0 means
 * unlimited, and an account of 0 is not limited. */
bool
TakeAccountToken(AccountLimits& aLimits,
                 TimePoint aNow,
                 std::uint64_t aAccount,
                 unsigned aLimit);

/** Removes the buckets that are full again; they are equivalent to new ones. */
void
RemoveFullBuckets(AccountLimits& aLimits, TimePoint aNow);

} // namespace vanillascale

#endif
