#include "TargetStatements.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** At the lowest rate a target receives several requests in this time, with
 * each of which it can state its limit again. */
constexpr Duration kLimitExpiry = seconds(30);
/** The lowest rate at which a limited target still receives requests: without
 * any, it could not state that the limit has ended. */
constexpr double kMinPerSecond = 0.25;
/** The burst of a limit: at least one request, otherwise the requests of this
 * time. It is short because each successor of a scheduler may grant one. */
constexpr Duration kBurstTime = milliseconds(100);

double
RateOf(const RequestLimit& aLimit, double aShare)
{
  return std::max(*aLimit.mPerSecond, kMinPerSecond) * aShare;
}

double
TokensAt(const RequestLimit& aLimit, TimePoint aNow, double aShare)
{
  double rate = RateOf(aLimit, aShare);
  double burst = std::chrono::duration<double>(kBurstTime).count() * rate;
  double elapsed =
    std::chrono::duration<double>(aNow - aLimit.mUpdatedAt).count();
  return std::min(aLimit.mTokens + rate * elapsed, std::max(burst, 1.0));
}

} // namespace

bool
ApplyStatements(RequestLimit& aLimit,
                TimePoint aNow,
                TimePoint aSentAt,
                const TargetStatements& aStatements,
                double aTokens)
{
  bool wasLimited = aLimit.mPerSecond.has_value();
  if (aStatements.mRequestLimit) {
    aLimit.mPerSecond = aStatements.mRequestLimit;
    aLimit.mStatedAt = aNow;
    if (!wasLimited) {
      aLimit.mTokens = aTokens;
      aLimit.mUpdatedAt = aNow;
    }
    return !wasLimited;
  }
  if (wasLimited && aSentAt >= aLimit.mStatedAt) {
    aLimit.mPerSecond.reset();
    return true;
  }
  return false;
}

bool
ExpireLimit(RequestLimit& aLimit, TimePoint aNow)
{
  bool isExpired = aLimit.mPerSecond && aNow - aLimit.mStatedAt >= kLimitExpiry;
  if (isExpired) {
    aLimit.mPerSecond.reset();
  }
  return isExpired;
}

bool
AllowsRequest(const RequestLimit& aLimit, TimePoint aNow, double aShare)
{
  return !aLimit.mPerSecond || TokensAt(aLimit, aNow, aShare) >= 1;
}

void
TakeToken(RequestLimit& aLimit, TimePoint aNow, double aShare)
{
  if (aLimit.mPerSecond) {
    aLimit.mTokens = std::max(TokensAt(aLimit, aNow, aShare) - 1, 0.0);
    aLimit.mUpdatedAt = aNow;
  }
}

} // namespace vanillascale
