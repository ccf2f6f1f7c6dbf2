#ifndef VANILLASCALE_HEDGEPOLICY_H
#define VANILLASCALE_HEDGEPOLICY_H

#include "Clock.h"

#include <array>
#include <cstddef>
#include <optional>

namespace vanillascale {

/** The decision whether a request that a target has not answered is sent to a
 * second target as well (a hedge).
 *
 * Load pattern: a few targets of a service turn slow or hang for seconds while
 * they pass their checks, and a few of 100 requests of a route are long work at
 * any target. Both look alike while they run. A hedge helps with the first and
 * only repeats the second. The distribution of the route's times tells when an
 * answer is overdue, and the results of earlier hedges tell the two apart: at a
 * slow target the hedge is answered first, of long work the first send is. A
 * service that is slow as a whole, or is short of slots, gets slower with each
 * additional send, so that it gets no hedges.
 *
 * Everything here is pure, apart from the functions named Record, which change
 * their first argument only. Not thread safe. */

/** Four buckets per octave from 1 ms: times up to 2.8 s are told apart. */
constexpr std::size_t kWorkBuckets = 46;

/** The learned distribution of a route's times from grant to report, and the
 * results of its hedges. About 260 bytes, whatever the number of requests. */
struct RouteWork
{
  /** The number of samples by bucket, halved together from time to time. */
  std::array<float, kWorkBuckets> mCounts{};
  float mTotal = 0;
  /** Samples since the quantiles below were computed. */
  unsigned mPending = 0;
  Duration mMedian{ 0 };
  Duration mQ75{ 0 };
  Duration mQ90{ 0 };
  Duration mQ95{ 0 };
  /** Decaying numbers of the hedges that were answered first and of those whose
   * first send was. */
  double mWon = 0;
  double mLost = 0;
  /** Overdue requests since the last hedge of the route. */
  unsigned mOverdueSinceHedge = 0;
};

/** Adds the time of a request. For a first send that was cancelled because its
 * hedge was answered, aTime is its age at that time: a lower bound that is
 * above the quantile that made it overdue, which leaves that quantile as it is.
 */
void
RecordWork(RouteWork& aWork, Duration aTime);

/** Adds the result of a hedge whose request was answered. */
void
RecordHedgeResult(RouteWork& aWork, bool aHasWon);

/** Returns whether the distribution is known well enough for hedges. */
bool
IsWorkKnown(const RouteWork& aWork);

/** Returns the mean time that requests which take longer than aAge still need,
 * or nothing if no sample is that long. */
std::optional<Duration>
MeanTimeLeft(const RouteWork& aWork, Duration aAge);

/** Why a request is overdue. */
enum class HedgeCause
{
  /** It takes longer than 95 of 100 requests of its route, and longer than
   * another send is expected to take. */
  Slow,
  /** Its target became suspect or was penalized. */
  Suspect,
  /** Later a second send could no longer be answered in time. */
  Deadline
};

/** Returns why a request is overdue, or nothing if it is not. aAge is the time
 * since its grant, aTimeLeft that until its deadline. */
std::optional<HedgeCause>
FindHedgeCause(const RouteWork& aWork,
               Duration aAge,
               Duration aTimeLeft,
               bool aIsTargetSuspect);

/** Why an overdue request gets no hedge. */
enum class HedgeDenial
{
  /** Earlier hedges of the route repeated long work. */
  LongWork,
  /** A second send would not be answered before the deadline. */
  TimeLeft,
  /** Too many requests of the service are overdue. */
  SlowService,
  /** Targets refuse or fail too many requests of the service. */
  FailingService,
  /** Requests are queued, or too few slots are free. */
  NoSlot,
  HedgeBudget,
  RetryBudget,
  /** No other healthy target has a free slot. */
  NoTarget
};

constexpr std::size_t kHedgeDenials = 8;

/** Returns the name of a cause for logs and metrics. */
const char*
HedgeCauseName(HedgeCause aCause);
const char*
HedgeDenialName(HedgeDenial aDenial);

/** Decaying numbers of requests, for the share of those with some property. */
struct DecayingShare
{
  double mAll = 0;
  double mMarked = 0;
  TimePoint mUpdatedAt{};
};

/** Counts requests, or marked ones among those counted before. */
void
RecordShare(DecayingShare& aShare, TimePoint aNow, double aAll, double aMarked);

/** Returns whether so many requests are overdue that the cause is the service,
 * or the zone, that they were sent to. */
bool
IsSlowAsAWhole(const DecayingShare& aOverdue);

/** Returns whether so many requests took longer than the 75th percentile of
 * their route that the cause is the service, or the zone. It still holds when
 * the highest percentiles have followed the slow times already. */
bool
IsLateAsAWhole(const DecayingShare& aLate);

/** Returns whether so many requests are refused by targets that more sends
 * would only add to their load. */
bool
IsRefusing(const DecayingShare& aRefused);

/** Tokens of a hedge budget. */
struct HedgeTokens
{
  double mTokens = 0;
};

/** Adds the share of one request. */
void
RecordRequest(HedgeTokens& aTokens, unsigned aPercent);

/** The state of a service that a hedge depends on. */
struct HedgeSituation
{
  Duration mTimeLeft{ 0 };
  HedgeCause mCause = HedgeCause::Slow;
  bool mIsServiceSlow = false;
  bool mIsServiceFailing = false;
  std::size_t mQueuedRequests = 0;
  unsigned mOpenSlots = 0;
  unsigned mBusySlots = 0;
  double mHedgeTokens = 0;
  /** The tokens of the route's own budget, where it has one. */
  std::optional<double> mRouteTokens;
  double mRetryTokens = 0;
  unsigned mRetryBurst = 0;
};

/** Returns why an overdue request gets no hedge, or nothing if it may get one.
 */
std::optional<HedgeDenial>
CheckHedge(const RouteWork& aWork, const HedgeSituation& aSituation);

} // namespace vanillascale

#endif
