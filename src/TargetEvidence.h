#ifndef VANILLASCALE_TARGETEVIDENCE_H
#define VANILLASCALE_TARGETEVIDENCE_H

#include "Clock.h"
#include "Ids.h"

#include <map>
#include <vector>

namespace vanillascale {

/** The result of one request, as evidence about the target that served it. */
struct Observation
{
  /** The request failed in a way that the target may have caused. */
  bool mIsFailure = false;
  /** No connection was established, which healthy targets rarely cause. */
  bool mIsConnectFailure = false;
  /** mIsSlow is valid: the route has enough samples to compare with. */
  bool mHasLatency = false;
  /** The latency is above the 90th percentile of the route. */
  bool mIsSlow = false;
};

/** Log-likelihood ratios of a faulty target against a healthy one, in nats, for
 * each symptom. Sums of them for a zone are kept at zero or above, so that a
 * fault is detected as fast after an hour of healthy operation as on a new
 * target (Page's CUSUM test). */
struct LikelihoodScores
{
  double mFailure = 0;
  double mSlowness = 0;
};

/** The evidence about one target. It is kept for each zone that requests come
 * from, since a faulty network path affects the requests of one zone only. When
 * the sum over all zones reaches kSuspectThreshold, the requests of the zones
 * other than mSuspectingZone decide: either they confirm a fault of the target,
 * or they show that only the path from mSuspectingZone is faulty. */
struct TargetEvidence
{
  std::map<ZoneName, LikelihoodScores> mScoresByZone;
  bool mIsSuspect = false;
  /** The zone with the highest score when the target became suspect. */
  ZoneName mSuspectingZone;
  /** The scores of the other zones since then. Positive values indicate a fault
   * of the target. */
  LikelihoodScores mOtherZoneScores;
  /** The exponentially smoothed share of failed requests, 0 to 1. */
  double mFailureRate = 0;
};

/** The result of evaluating the evidence about a target. */
enum class Diagnosis
{
  Healthy,
  /** Only the path from the suspecting zone is faulty. */
  PathFaulty,
  TargetFaulty
};

/** The score from which a target is faulty. At the rates that the test assumes,
 * a healthy target exceeds it less than once in about e^14 requests. */
constexpr double kFaultyThreshold = 14;

/** The score from which a target is suspect. */
constexpr double kSuspectThreshold = kFaultyThreshold / 2;

/** Returns the log-likelihood ratios of one observation.
 *
 * aBaseFailureRate is the failure rate that the service's targets have in
 * common, 0 to 1; only failures in excess of it count against a target. Pure.
 */
LikelihoodScores
ScoreObservation(const Observation& aObservation, double aBaseFailureRate);

/** Adds an observation from aZone. aBaseFailureRate is as for ScoreObservation.
 * Not thread safe. */
void
AddObservation(TargetEvidence& aEvidence,
               const ZoneName& aZone,
               const Observation& aObservation,
               double aBaseFailureRate);

/** Adds the score of a request that has had no answer for a multiple of its
 * expected time. */
void
AddStalledRequest(TargetEvidence& aEvidence, const ZoneName& aZone);

/** Returns whether a target or a path to it is faulty. aActiveZoneCount is the
 * number of zones whose proxies use the service at present. With a single zone,
 * a faulty path can't be distinguished from a faulty target and is treated as
 * the latter. Pure. */
Diagnosis
Diagnose(const TargetEvidence& aEvidence, std::size_t aActiveZoneCount);

/** The latency statistics of a route. */
struct LatencyBaseline
{
  /** The estimated 90th percentile. */
  Duration mP90{ 0 };
  /** The smoothed mean; 0 before the first sample. */
  Duration mMean{ 0 };
  /** The number of samples, up to a limit. */
  unsigned mSampleCount = 0;
};

/** Returns whether there are enough samples to classify a request as slow.
 * Pure. */
bool
HasEnoughSamples(const LatencyBaseline& aBaseline);

/** Updates the estimates with one sample. The percentile moves by a fixed ratio
 * for each sample, so that an outlier has no more effect than any other. */
void
AddSample(LatencyBaseline& aBaseline, Duration aLatency);

} // namespace vanillascale

#endif
