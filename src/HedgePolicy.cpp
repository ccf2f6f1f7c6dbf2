#include "HedgePolicy.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

constexpr double kBucketsPerOctave = 4;
/** All counts are halved at this number of samples, so that the estimates
 * follow a change of the route's work within some thousand requests. */
constexpr float kMaxSamples = 2000;
/** The 95th percentile of fewer samples is that of less than five requests. */
constexpr float kMinSamples = 100;
/** Samples between two computations of the quantiles. */
constexpr unsigned kQuantileInterval = 16;
constexpr double kQuarter = 0.75;
constexpr double kDueQuantile = 0.95;
constexpr double kLateQuantile = 0.9;
/** No request is overdue before this age: the scheduler looks at the leases
 * each 20 ms, and a report takes up to 10 ms. */
constexpr Duration kMinOverdueAge = milliseconds(10);
/** Nor before this multiple of the route's median. */
constexpr double kMinMedianFactor = 1.5;
/** Factor by which earlier hedge results count less with each new one. */
constexpr double kResultDecay = 0.95;
/** The results after which they decide, and the share of hedges that must have
 * been answered first. Below it, three sends of four are for nothing. */
constexpr double kMinResults = 6;
constexpr double kMinWonShare = 0.25;
/** A route whose hedges are for nothing still gets one for this many overdue
 * requests: its targets may have turned slow since. */
constexpr unsigned kOverduePerTrial = 40;
/** The half-life of DecayingShare: half of the shortest slow periods. */
constexpr Duration kShareHalfLife = milliseconds(500);
/** Normally 5 of 100 requests are overdue, and up to a third of the targets of
 * a healthy service is slow at a time. */
constexpr double kMaxOverdueShare = 0.35;
/** Normally 25 of 100 requests are later than the 75th percentile. */
constexpr double kMaxLateShare = 0.5;
constexpr double kMaxRefusedShare = 0.05;
/** Fewer requests than this show nothing about a service. */
constexpr double kMinShareWeight = 8;
/** The slots that stay free after a hedge, in percent of the open ones: a burst
 * of first sends must not find slots taken by second ones. */
constexpr unsigned kFreeSlotPercent = 20;
/** A hedge leaves this share of the retry burst to retries: a failed request is
 * lost without its retry, a slow one is not. */
constexpr double kRetryReserve = 1.0 / 3;
/** The largest number of hedges in a burst. */
constexpr double kMaxHedgeTokens = 10;
constexpr double kPercent = 100;

std::size_t
BucketOf(Duration aTime)
{
  double ms = std::chrono::duration<double, std::milli>(aTime).count();
  double bucket = ms <= 1 ? 0 : std::ceil(kBucketsPerOctave * std::log2(ms));
  return static_cast<std::size_t>(std::min<double>(bucket, kWorkBuckets - 1));
}

/** Returns the upper bound of a bucket. */
Duration
BoundOf(std::size_t aBucket)
{
  double ms = std::exp2(static_cast<double>(aBucket) / kBucketsPerOctave);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(ms));
}

Duration
QuantileOf(const RouteWork& aWork, double aShare)
{
  double sum = 0;
  for (std::size_t i = 0; i < kWorkBuckets; ++i) {
    sum += aWork.mCounts[i];
    if (sum >= aShare * aWork.mTotal) {
      return BoundOf(i);
    }
  }
  return BoundOf(kWorkBuckets - 1);
}

void
UpdateQuantiles(RouteWork& aWork)
{
  aWork.mPending = 0;
  aWork.mMedian = QuantileOf(aWork, 1.0 / 2);
  aWork.mQ75 = QuantileOf(aWork, kQuarter);
  aWork.mQ90 = QuantileOf(aWork, kLateQuantile);
  aWork.mQ95 = QuantileOf(aWork, kDueQuantile);
}

/** Returns whether the results of the route's hedges show long work. */
bool
IsMostlyLongWork(const RouteWork& aWork)
{
  double all = aWork.mWon + aWork.mLost;
  return all >= kMinResults && aWork.mWon < kMinWonShare * all;
}

} // namespace

void
RecordWork(RouteWork& aWork, Duration aTime)
{
  aWork.mCounts[BucketOf(aTime)] += 1;
  aWork.mTotal += 1;
  if (aWork.mTotal >= kMaxSamples) {
    for (float& it : aWork.mCounts) {
      it /= 2;
    }
    aWork.mTotal /= 2;
  }
  if (++aWork.mPending >= kQuantileInterval) {
    UpdateQuantiles(aWork);
  }
}

void
RecordHedgeResult(RouteWork& aWork, bool aHasWon)
{
  aWork.mWon = kResultDecay * aWork.mWon + (aHasWon ? 1 : 0);
  aWork.mLost = kResultDecay * aWork.mLost + (aHasWon ? 0 : 1);
}

bool
IsWorkKnown(const RouteWork& aWork)
{
  return aWork.mTotal >= kMinSamples;
}

std::optional<Duration>
MeanTimeLeft(const RouteWork& aWork, Duration aAge)
{
  double samples = 0;
  double sum = 0;
  for (std::size_t i = BucketOf(aAge) + 1; i < kWorkBuckets; ++i) {
    samples += aWork.mCounts[i];
    sum += aWork.mCounts[i] * static_cast<double>((BoundOf(i) - aAge).count());
  }
  // Halved counts of single samples say little.
  if (samples < 1) {
    return std::nullopt;
  }
  return Duration(std::llround(sum / samples));
}

std::optional<HedgeCause>
FindHedgeCause(const RouteWork& aWork,
               Duration aAge,
               Duration aTimeLeft,
               bool aIsTargetSuspect)
{
  if (!IsWorkKnown(aWork) || aAge < kMinOverdueAge) {
    return std::nullopt;
  }
  if (aIsTargetSuspect && aAge >= aWork.mQ75) {
    return HedgeCause::Suspect;
  }
  if (aAge >= aWork.mQ90 && aTimeLeft < 2 * aWork.mQ90) {
    return HedgeCause::Deadline;
  }
  auto minAge =
    std::max(aWork.mQ95,
             Duration(std::llround(
               kMinMedianFactor * static_cast<double>(aWork.mMedian.count()))));
  if (aAge < minAge) {
    return std::nullopt;
  }
  auto left = MeanTimeLeft(aWork, aAge);
  return !left || *left > aWork.mMedian ? std::make_optional(HedgeCause::Slow)
                                        : std::nullopt;
}

const char*
HedgeCauseName(HedgeCause aCause)
{
  switch (aCause) {
    case HedgeCause::Slow:
      return "slow";
    case HedgeCause::Suspect:
      return "suspect";
    case HedgeCause::Deadline:
      return "deadline";
  }
  return "unknown";
}

const char*
HedgeDenialName(HedgeDenial aDenial)
{
  switch (aDenial) {
    case HedgeDenial::LongWork:
      return "long-work";
    case HedgeDenial::TimeLeft:
      return "time-left";
    case HedgeDenial::SlowService:
      return "slow-service";
    case HedgeDenial::FailingService:
      return "failing-service";
    case HedgeDenial::NoSlot:
      return "no-slot";
    case HedgeDenial::HedgeBudget:
      return "hedge-budget";
    case HedgeDenial::RetryBudget:
      return "retry-budget";
    case HedgeDenial::NoTarget:
      return "no-target";
  }
  return "unknown";
}

void
RecordShare(DecayingShare& aShare, TimePoint aNow, double aAll, double aMarked)
{
  double halfLives = std::chrono::duration<double>(aNow - aShare.mUpdatedAt) /
                     std::chrono::duration<double>(kShareHalfLife);
  double decay = std::exp2(-halfLives);
  aShare.mAll = decay * aShare.mAll + aAll;
  aShare.mMarked = decay * aShare.mMarked + aMarked;
  aShare.mUpdatedAt = aNow;
}

bool
IsSlowAsAWhole(const DecayingShare& aOverdue)
{
  return aOverdue.mMarked >
         kMaxOverdueShare * std::max(aOverdue.mAll, kMinShareWeight);
}

bool
IsLateAsAWhole(const DecayingShare& aLate)
{
  return aLate.mMarked > kMaxLateShare * std::max(aLate.mAll, kMinShareWeight);
}

bool
IsRefusing(const DecayingShare& aRefused)
{
  return aRefused.mMarked >
         kMaxRefusedShare * std::max(aRefused.mAll, kMinShareWeight);
}

void
RecordRequest(HedgeTokens& aTokens, unsigned aPercent)
{
  aTokens.mTokens =
    std::min(aTokens.mTokens + aPercent / kPercent, kMaxHedgeTokens);
}

std::optional<HedgeDenial>
CheckHedge(const RouteWork& aWork, const HedgeSituation& aSituation)
{
  if (aSituation.mTimeLeft < aWork.mMedian) {
    return HedgeDenial::TimeLeft;
  }
  if (aSituation.mIsServiceFailing) {
    return HedgeDenial::FailingService;
  }
  if (aSituation.mIsServiceSlow) {
    return HedgeDenial::SlowService;
  }
  // Evidence against the target explains the delay better than the work.
  bool isLongWork = aSituation.mCause != HedgeCause::Suspect &&
                    IsMostlyLongWork(aWork) &&
                    aWork.mOverdueSinceHedge < kOverduePerTrial;
  if (isLongWork) {
    return HedgeDenial::LongWork;
  }
  unsigned busy = std::min(aSituation.mBusySlots, aSituation.mOpenSlots);
  unsigned free = aSituation.mOpenSlots - busy;
  bool hasFreeSlots =
    kPercent * free >= kFreeSlotPercent * aSituation.mOpenSlots + kPercent;
  if (aSituation.mQueuedRequests > 0 || !hasFreeSlots) {
    return HedgeDenial::NoSlot;
  }
  if (aSituation.mHedgeTokens < 1 || aSituation.mRouteTokens.value_or(1) < 1) {
    return HedgeDenial::HedgeBudget;
  }
  if (aSituation.mRetryTokens < 1 + kRetryReserve * aSituation.mRetryBurst) {
    return HedgeDenial::RetryBudget;
  }
  return std::nullopt;
}

} // namespace vanillascale
