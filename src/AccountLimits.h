#ifndef VANILLASCALE_ACCOUNTLIMITS_H
#define VANILLASCALE_ACCOUNTLIMITS_H

#include "Clock.h"

#include <cstdint>
#include <unordered_map>

namespace vanillascale {

/** Requests a second that an account may make: a bucket of tokens. */
struct AccountBucket
{
  double mTokens = 0;
  TimePoint mRefilledAt{};
};

/** The accounts that lately used a service, by the hash of their names. */
using AccountLimits = std::unordered_map<std::uint64_t, AccountBucket>;

/** Takes one token of an account that may make aLimit requests a second; false
 * where it has none left. A limit of 0 is none, and so is an account of 0. */
bool
TakeAccountToken(AccountLimits& aLimits,
                 TimePoint aNow,
                 std::uint64_t aAccount,
                 unsigned aLimit);

/** Drops the buckets that are full again: they are like ones never made. */
void
RemoveFullBuckets(AccountLimits& aLimits, TimePoint aNow);

} // namespace vanillascale

#endif
