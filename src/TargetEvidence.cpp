#include "TargetEvidence.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

constexpr double kMinBaseFailureRate = 0.02;
constexpr double kMaxBaseFailureRate = 0.45;
/** The lowest failure rate that the test assumes of a faulty target. */
constexpr double kFaultyFailureRate = 0.2;
/** A faulty target is assumed to fail this many times as often as the others.
 */
constexpr double kFaultyToBaseRatio = 2.0;
constexpr double kConnectFailureScore = 4.0;
constexpr double kStalledRequestScore = 3.0;
/** The shares of slow requests that the test assumes of healthy and of faulty
 * targets. */
constexpr double kHealthySlowRate = 0.15;
constexpr double kFaultySlowRate = 0.5;
constexpr double kFailureRateSmoothing = 0.02;
/** The scores of the other zones that confirm a suspected fault of the target,
 * or rule it out. */
constexpr double kConfirmThreshold = 4;
constexpr double kClearThreshold = -5.5;
/** Upper limit of the sums, so that a path counts as healthy soon after it has
 * recovered. */
constexpr double kMaxScoreSum = 2 * kFaultyThreshold;

constexpr unsigned kMinSampleCount = 100;
constexpr unsigned kInitialSampleCount = 200;
/** The relative step of the percentile estimate: larger for the first
 * kInitialSampleCount samples, so that the estimate converges fast. */
constexpr double kInitialStep = 0.2;
constexpr double kSteadyStep = 0.03;
constexpr double kTrackedQuantile = 0.9;
constexpr int kMeanSmoothingSamples = 50;

double
LogLikelihoodRatio(bool aIsSymptom, double aFaultyRate, double aHealthyRate)
{
  return aIsSymptom ? std::log(aFaultyRate / aHealthyRate)
                    : std::log((1 - aFaultyRate) / (1 - aHealthyRate));
}

double
AddClamped(double aSum, double aScore)
{
  return std::clamp(aSum + aScore, 0.0, kMaxScoreSum);
}

double
MaxScore(const LikelihoodScores& aScores)
{
  return std::max(aScores.mFailure, aScores.mSlowness);
}

LikelihoodScores
SumOverZones(const TargetEvidence& aEvidence)
{
  LikelihoodScores sum;
  for (const auto& [zone, scores] : aEvidence.mScoresByZone) {
    sum.mFailure += scores.mFailure;
    sum.mSlowness += scores.mSlowness;
  }
  return sum;
}

/** Updates mIsSuspect and, when a target becomes suspect, mSuspectingZone. */
void
UpdateSuspicion(TargetEvidence& aEvidence)
{
  bool isSuspect = MaxScore(SumOverZones(aEvidence)) >= kSuspectThreshold;
  if (isSuspect && !aEvidence.mIsSuspect) {
    auto highest = std::max_element(aEvidence.mScoresByZone.begin(),
                                    aEvidence.mScoresByZone.end(),
                                    [](const auto& aLeft, const auto& aRight) {
                                      return MaxScore(aLeft.second) <
                                             MaxScore(aRight.second);
                                    });
    aEvidence.mSuspectingZone = highest->first;
    aEvidence.mOtherZoneScores = {};
  }
  aEvidence.mIsSuspect = isSuspect;
}

void
AddScores(TargetEvidence& aEvidence,
          const ZoneName& aZone,
          const LikelihoodScores& aScores)
{
  LikelihoodScores& zoneScores = aEvidence.mScoresByZone[aZone];
  zoneScores.mFailure = AddClamped(zoneScores.mFailure, aScores.mFailure);
  zoneScores.mSlowness = AddClamped(zoneScores.mSlowness, aScores.mSlowness);
  if (aEvidence.mIsSuspect && aZone != aEvidence.mSuspectingZone) {
    aEvidence.mOtherZoneScores.mFailure += aScores.mFailure;
    aEvidence.mOtherZoneScores.mSlowness += aScores.mSlowness;
  }
  UpdateSuspicion(aEvidence);
}

} // namespace

LikelihoodScores
ScoreObservation(const Observation& aObservation, double aBaseFailureRate)
{
  double healthyRate =
    std::clamp(aBaseFailureRate, kMinBaseFailureRate, kMaxBaseFailureRate);
  double faultyRate =
    std::max(kFaultyFailureRate, kFaultyToBaseRatio * healthyRate);
  LikelihoodScores scores;
  scores.mFailure =
    LogLikelihoodRatio(aObservation.mIsFailure, faultyRate, healthyRate);
  bool areConnectsReliable = aBaseFailureRate < kFaultyFailureRate;
  if (aObservation.mIsConnectFailure && areConnectsReliable) {
    scores.mFailure = kConnectFailureScore;
  }
  if (aObservation.mHasLatency) {
    scores.mSlowness = LogLikelihoodRatio(
      aObservation.mIsSlow, kFaultySlowRate, kHealthySlowRate);
  }
  return scores;
}

void
AddObservation(TargetEvidence& aEvidence,
               const ZoneName& aZone,
               const Observation& aObservation,
               double aBaseFailureRate)
{
  AddScores(aEvidence, aZone, ScoreObservation(aObservation, aBaseFailureRate));
  double failure = aObservation.mIsFailure ? 1 : 0;
  aEvidence.mFailureRate +=
    kFailureRateSmoothing * (failure - aEvidence.mFailureRate);
}

void
AddStalledRequest(TargetEvidence& aEvidence, const ZoneName& aZone)
{
  AddScores(aEvidence, aZone, { 0, kStalledRequestScore });
}

Diagnosis
Diagnose(const TargetEvidence& aEvidence, std::size_t aActiveZoneCount)
{
  if (!aEvidence.mIsSuspect) {
    return Diagnosis::Healthy;
  }
  LikelihoodScores sum = SumOverZones(aEvidence);
  bool isFailing = sum.mFailure >= sum.mSlowness;
  double otherZones = isFailing ? aEvidence.mOtherZoneScores.mFailure
                                : aEvidence.mOtherZoneScores.mSlowness;
  bool isConfirmed = aActiveZoneCount < 2 || otherZones >= kConfirmThreshold;
  if (MaxScore(sum) >= kFaultyThreshold && isConfirmed) {
    return Diagnosis::TargetFaulty;
  }
  auto suspecting = aEvidence.mScoresByZone.find(aEvidence.mSuspectingZone);
  bool isAtLimit = suspecting != aEvidence.mScoresByZone.end() &&
                   MaxScore(suspecting->second) >= kMaxScoreSum;
  bool isPathFaulty =
    aActiveZoneCount >= 2 && (otherZones <= kClearThreshold || isAtLimit);
  return isPathFaulty ? Diagnosis::PathFaulty : Diagnosis::Healthy;
}

bool
HasEnoughSamples(const LatencyBaseline& aBaseline)
{
  return aBaseline.mSampleCount >= kMinSampleCount;
}

void
AddSample(LatencyBaseline& aBaseline, Duration aLatency)
{
  if (aBaseline.mSampleCount == 0) {
    aBaseline.mMean = aLatency;
    aBaseline.mP90 = 2 * std::max(aLatency, Duration(1));
  }
  aBaseline.mMean += (aLatency - aBaseline.mMean) / kMeanSmoothingSamples;
  double step =
    aBaseline.mSampleCount < kInitialSampleCount ? kInitialStep : kSteadyStep;
  bool isAbove = aLatency > aBaseline.mP90;
  double exponent =
    isAbove ? step * kTrackedQuantile : -step * (1 - kTrackedQuantile);
  double next =
    static_cast<double>(aBaseline.mP90.count()) * std::exp(exponent);
  aBaseline.mP90 = Duration(std::max<Duration::rep>(
    10, static_cast<Duration::rep>(std::llround(next))));
  aBaseline.mSampleCount =
    std::min(aBaseline.mSampleCount + 1, kInitialSampleCount);
}

} // namespace vanillascale
