#include "AccountLimits.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** The capacity of a bucket, in seconds of its account's rate limit. */
constexpr double kBurstSeconds = 0.25;
/** A bucket is full after this time without use. Filling takes longest, 1 s, at
 * a limit of one request per second. */
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
  double capacity = std::max(1.0, aLimit * kBurstSeconds);
  AccountBucket& bucket =
    aLimits.try_emplace(aAccount, AccountBucket{ capacity, aNow })
      .first->second;
  std::chrono::duration<double> elapsed = aNow - bucket.mRefilledAt;
  bucket.mTokens =
    std::min(capacity, bucket.mTokens + elapsed.count() * aLimit);
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
