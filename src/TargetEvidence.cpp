#include "TargetEvidence.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

constexpr double kMinBaseFailureRate = 0.02;
constexpr double kMaxBaseFailureRate = 0.45;
constexpr double kFaultyFailureRate = 0.2;
constexpr double kFaultyToBaseRatio = 2.0;
constexpr double kConnectFailureScore = 4.0;
constexpr double kStalledRequestScore = 3.0;
constexpr double kHealthySlowRate = 0.15;
constexpr double kFaultySlowRate = 0.5;
constexpr double kFailureRateSmoothing = 0.02;
/** What the other zones' evidence has to come to, to confirm a suspicion or to
 * clear it. */
constexpr double kConfirmThreshold = 4;
constexpr double kClearThreshold = -5.5;
/** Sums are capped, so that a path that is well again is soon believed. */
constexpr double kMaxScoreSum = 2 * kFaultyThreshold;

constexpr unsigned kMinSampleCount = 100;
constexpr unsigned kInitialSampleCount = 200;
constexpr double kInitialStep = 0.2;
constexpr double kSteadyStep = 0.03;
constexpr double kTrackedQuantile = 0.9;
constexpr int kMeanSmoothingSamples = 50;

double
LogLikelihoodRatio(bool aIsSymptom, double aSickRate, double aWellRate)
{
  return aIsSymptom ? std::log(aSickRate / aWellRate)
                    : std::log((1 - aSickRate) / (1 - aWellRate));
}

double
AddClamped(double aSum, double aWeight)
{
  return std::clamp(aSum + aWeight, 0.0, kMaxScoreSum);
}

double
MaxScore(const LikelihoodScores& aTest)
{
  return std::max(aTest.mFailure, aTest.mSlowness);
}

LikelihoodScores
SumOverZones(const TargetEvidence& aEvidence)
{
  LikelihoodScores sum;
  for (const auto& [zone, test] : aEvidence.mScoresByZone) {
    sum.mFailure += test.mFailure;
    sum.mSlowness += test.mSlowness;
  }
  return sum;
}

/** Raises or drops the suspicion, as the evidence now stands. */
void
UpdateSuspicion(TargetEvidence& aEvidence)
{
  bool isSuspect = MaxScore(SumOverZones(aEvidence)) >= kSuspectThreshold;
  if (isSuspect && !aEvidence.mIsSuspect) {
    auto heaviest = std::max_element(aEvidence.mScoresByZone.begin(),
                                     aEvidence.mScoresByZone.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return MaxScore(aLeft.second) <
                                              MaxScore(aRight.second);
                                     });
    aEvidence.mSuspectingZone = heaviest->first;
    aEvidence.mOtherZoneScores = {};
  }
  aEvidence.mIsSuspect = isSuspect;
}

void
AddScores(TargetEvidence& aEvidence,
          const ZoneName& aZone,
          const LikelihoodScores& aWeight)
{
  LikelihoodScores& test = aEvidence.mScoresByZone[aZone];
  test.mFailure = AddClamped(test.mFailure, aWeight.mFailure);
  test.mSlowness = AddClamped(test.mSlowness, aWeight.mSlowness);
  if (aEvidence.mIsSuspect && aZone != aEvidence.mSuspectingZone) {
    aEvidence.mOtherZoneScores.mFailure += aWeight.mFailure;
    aEvidence.mOtherZoneScores.mSlowness += aWeight.mSlowness;
  }
  UpdateSuspicion(aEvidence);
}

} // namespace

LikelihoodScores
ScoreObservation(const Observation& aObservation, double aBaseFailureRate)
{
  double well =
    std::clamp(aBaseFailureRate, kMinBaseFailureRate, kMaxBaseFailureRate);
  double sick = std::max(kFaultyFailureRate, kFaultyToBaseRatio * well);
  LikelihoodScores weight;
  weight.mFailure = LogLikelihoodRatio(aObservation.mIsFailure, sick, well);
  bool connectionsUsuallyWork = aBaseFailureRate < kFaultyFailureRate;
  if (aObservation.mIsConnectFailure && connectionsUsuallyWork) {
    weight.mFailure = kConnectFailureScore;
  }
  if (aObservation.mHasLatency) {
    weight.mSlowness = LogLikelihoodRatio(
      aObservation.mIsSlow, kFaultySlowRate, kHealthySlowRate);
  }
  return weight;
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
Diagnose(const TargetEvidence& aEvidence, std::size_t aActiveZones)
{
  if (!aEvidence.mIsSuspect) {
    return Diagnosis::Healthy;
  }
  LikelihoodScores sum = SumOverZones(aEvidence);
  bool isFailing = sum.mFailure >= sum.mSlowness;
  double others = isFailing ? aEvidence.mOtherZoneScores.mFailure
                            : aEvidence.mOtherZoneScores.mSlowness;
  bool isConfirmed = aActiveZones < 2 || others >= kConfirmThreshold;
  if (MaxScore(sum) >= kFaultyThreshold && isConfirmed) {
    return Diagnosis::TargetFaulty;
  }
  auto accuser = aEvidence.mScoresByZone.find(aEvidence.mSuspectingZone);
  bool isOverwhelming = accuser != aEvidence.mScoresByZone.end() &&
                        MaxScore(accuser->second) >= kMaxScoreSum;
  bool isPath =
    aActiveZones >= 2 && (others <= kClearThreshold || isOverwhelming);
  return isPath ? Diagnosis::PathFaulty : Diagnosis::Healthy;
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
  double move =
    isAbove ? step * kTrackedQuantile : -step * (1 - kTrackedQuantile);
  double next = static_cast<double>(aBaseline.mP90.count()) * std::exp(move);
  aBaseline.mP90 = Duration(std::max<Duration::rep>(
    10, static_cast<Duration::rep>(std::llround(next))));
  aBaseline.mSampleCount =
    std::min(aBaseline.mSampleCount + 1, kInitialSampleCount);
}

} // namespace vanillascale
