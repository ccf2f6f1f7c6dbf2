#include "AccountLimits.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** A bucket holds what an account may ask in this time. */
constexpr double kBurstSeconds = 0.25;
constexpr Duration kRefillTime = std::chrono::seconds(1);

} // namespace

bool
TakeAccountToken(AccountLimits& aLimits,
                 TimePoint aNow,
                 std::uint64_t aAccount,
                 unsigned aLimit)
{
  if (aLimit == 0 || aAccount == 0) {
    return true;
  }
  double most = std::max(1.0, aLimit * kBurstSeconds);
  AccountBucket& bucket =
    aLimits.try_emplace(aAccount, AccountBucket{ most, aNow }).first->second;
  std::chrono::duration<double> passed = aNow - bucket.mRefilledAt;
  bucket.mTokens = std::min(most, bucket.mTokens + passed.count() * aLimit);
  bucket.mRefilledAt = aNow;
  if (bucket.mTokens < 1) {
    return false;
  }
  bucket.mTokens -= 1;
  return true;
}

void
RemoveFullBuckets(AccountLimits& aLimits, TimePoint aNow)
{
  for (auto it = aLimits.begin(); it != aLimits.end();) {
    bool isFull = aNow - it->second.mRefilledAt > kRefillTime;
    it = isFull ? aLimits.erase(it) : std::next(it);
  }
}

} // namespace vanillascale
