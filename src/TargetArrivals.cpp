#include "TargetArrivals.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** A grant whose slot has not been returned for this time no longer delays the
 * next attempt to reach an idle target. */
constexpr Duration kPendingGrantTime = milliseconds(450);
/** The number of attempts that miss a target before the attempts are spaced
 * out: the paths from a part of the nodes may be cut. */
constexpr unsigned kUnspacedAttempts = 4;
constexpr Duration kInitialAttemptInterval = milliseconds(200);
constexpr unsigned kMaxAttemptDoublings = 3;

} // namespace

void
RecordGrant(PooledTarget& aTarget, TimePoint aNow)
{
  aTarget.mLastRequestAt = aNow;
  aTarget.mIsReportPending = true;
}

void
RecordArrival(PooledTarget& aTarget, TimePoint aGrantedAt)
{
  aTarget.mLastArrivalAt = std::max(aTarget.mLastArrivalAt, aGrantedAt);
  aTarget.mIsReportPending = false;
  aTarget.mMissedGrants = 0;
}

void
RecordMissedGrant(PooledTarget& aTarget)
{
  aTarget.mIsReportPending = false;
  ++aTarget.mMissedGrants;
}

bool
IsArrivalOverdue(const PooledTarget& aTarget,
                 TimePoint aNow,
                 Duration aIdleTime)
{
  if (aNow - aTarget.mLastArrivalAt < aIdleTime) {
    return false;
  }
  Duration interval(0);
  if (aTarget.mIsReportPending) {
    interval = kPendingGrantTime;
  } else if (aTarget.mMissedGrants >= kUnspacedAttempts) {
    interval = kInitialAttemptInterval *
               (1 << std::min(aTarget.mMissedGrants - kUnspacedAttempts,
                              kMaxAttemptDoublings));
  }
  return aNow - aTarget.mLastRequestAt >= interval;
}

} // namespace vanillascale
