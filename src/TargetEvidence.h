#ifndef VANILLASCALE_TARGETEVIDENCE_H
#define VANILLASCALE_TARGETEVIDENCE_H

#include "Clock.h"
#include "Ids.h"

#include <map>
#include <vector>

namespace vanillascale {

/** What one request tells of the target that served it. */
struct Observation
{
  /** The request failed in a way that the target may be to blame for. */
  bool mIsFailure = false;
  /** No connection came about, which a well target hardly ever causes. */
  bool mIsConnectFailure = false;
  /** mIsSlow counts: there are enough peers' requests to compare with. */
  bool mHasLatency = false;
  /** It took longer than nine in ten requests of its route take. */
  bool mIsSlow = false;
};

/** The log-likelihood ratios, sick against well, of a sequential test. Each is
 * a sum that is not let under zero, so that a target that was well for an hour
 * is found out as fast as a new one (Page's cumulative sum test). */
struct LikelihoodScores
{
  double mFailure = 0;
  double mSlowness = 0;
};

/** The evidence about one target, kept apart by the zone that it comes from,
 * since a failing path looks like a failing target from one side only. When it
 * adds up to a suspicion, the zones that did not raise it are heard: they
 * confirm it, then the target is sick, or clear it, then it is the path. */
struct TargetEvidence
{
  std::map<ZoneName, LikelihoodScores> mScoresByZone;
  bool mIsSuspect = false;
  /** The zone whose evidence weighed most when the suspicion arose. */
  ZoneName mSuspectingZone;
  /** What the other zones have seen since, above zero for sick. */
  LikelihoodScores mOtherZoneScores;
  /** The recent share of failures, 0 to 1. */
  double mFailureRate = 0;
};

/** What evidence amounts to. */
enum class Diagnosis
{
  Healthy,
  /** Only the accuser sees trouble. */
  PathFaulty,
  TargetFaulty
};

/** The test's threshold: at the rates that it assumes, a well target passes it
 * by chance less than once in about e^14 requests. */
constexpr double kFaultyThreshold = 14;

/** From this sum on a target is suspect. */
constexpr double kSuspectThreshold = kFaultyThreshold / 2;

/** The likelihood ratio that one observation adds for each symptom.
 *
 * aBaseFailureRate is the rate at which the service's targets fail in common;
 * only what goes beyond it speaks against one of them. Pure. */
LikelihoodScores
ScoreObservation(const Observation& aObservation, double aBaseFailureRate);

/** Adds an observation made from aZone. Not thread safe. */
void
AddObservation(TargetEvidence& aEvidence,
               const ZoneName& aZone,
               const Observation& aObservation,
               double aBaseFailureRate);

/** Adds weight for a request that has been out for a multiple of the time that
 * it should take, with no answer at all. */
void
AddStalledRequest(TargetEvidence& aEvidence, const ZoneName& aZone);

/** Judges a target by its evidence. aActiveZones is the number of zones whose
 * proxies use the service now: with one, path and target can't be told apart
 * and the target is judged. Pure. */
Diagnosis
Diagnose(const TargetEvidence& aEvidence, std::size_t aActiveZones);

/** Tracks the latency that nine in ten requests of a route stay under. */
struct LatencyBaseline
{
  Duration mP90{ 0 };
  /** The smoothed mean; 0 before the first sample. */
  Duration mMean{ 0 };
  unsigned mSampleCount = 0;
};

/** Whether the baseline rests on enough requests to call another slow. */
bool
HasEnoughSamples(const LatencyBaseline& aBaseline);

/** Moves the baseline towards the ninetieth percentile by one sample. The step
 * is a ratio, so that one extreme sample moves it no more than any other. */
void
AddSample(LatencyBaseline& aBaseline, Duration aLatency);

} // namespace vanillascale

#endif
