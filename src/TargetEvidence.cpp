#include "TargetEvidence.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

constexpr double kLowestBaseFailureRate = 0.02;
constexpr double kHighestBaseFailureRate = 0.45;
constexpr double kSickFailureRate = 0.2;
constexpr double kSickOverBase = 2.0;
constexpr double kConnectFailureWeight = 4.0;
constexpr double kSilenceWeight = 3.0;
constexpr double kWellSlowRate = 0.15;
constexpr double kSickSlowRate = 0.5;
constexpr double kFailureRateStep = 0.02;
/** What the other zones' evidence has to come to, to confirm a suspicion or to
 * clear it. */
constexpr double kConfirmed = 4;
constexpr double kCleared = -5.5;
/** Sums are capped, so that a path that is well again is soon believed. */
constexpr double kCap = 2 * kSickThreshold;

constexpr unsigned kMatureSamples = 100;
constexpr unsigned kFastSamples = 200;
constexpr double kFastStep = 0.2;
constexpr double kSlowStep = 0.03;
constexpr double kPercentile = 0.9;
constexpr int kMeanSamples = 50;

double
Ratio(bool aIsSymptom, double aSickRate, double aWellRate)
{
  return aIsSymptom ? std::log(aSickRate / aWellRate)
                    : std::log((1 - aSickRate) / (1 - aWellRate));
}

double
Accumulate(double aSum, double aWeight)
{
  return std::clamp(aSum + aWeight, 0.0, kCap);
}

double
Worst(const SequentialTest& aTest)
{
  return std::max(aTest.mFailure, aTest.mSlowness);
}

SequentialTest
Sum(const TargetEvidence& aEvidence)
{
  SequentialTest sum;
  for (const auto& [zone, test] : aEvidence.mByZone) {
    sum.mFailure += test.mFailure;
    sum.mSlowness += test.mSlowness;
  }
  return sum;
}

/** Raises or drops the suspicion, as the evidence now stands. */
void
UpdateSuspicion(TargetEvidence& aEvidence)
{
  bool isSuspect = Worst(Sum(aEvidence)) >= kSuspectThreshold;
  if (isSuspect && !aEvidence.mIsSuspect) {
    auto heaviest =
      std::max_element(aEvidence.mByZone.begin(),
                       aEvidence.mByZone.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return Worst(aLeft.second) < Worst(aRight.second);
                       });
    aEvidence.mAccuser = heaviest->first;
    aEvidence.mOthers = {};
  }
  aEvidence.mIsSuspect = isSuspect;
}

void
AddWeight(TargetEvidence& aEvidence,
          const ZoneName& aZone,
          const SequentialTest& aWeight)
{
  SequentialTest& test = aEvidence.mByZone[aZone];
  test.mFailure = Accumulate(test.mFailure, aWeight.mFailure);
  test.mSlowness = Accumulate(test.mSlowness, aWeight.mSlowness);
  if (aEvidence.mIsSuspect && aZone != aEvidence.mAccuser) {
    aEvidence.mOthers.mFailure += aWeight.mFailure;
    aEvidence.mOthers.mSlowness += aWeight.mSlowness;
  }
  UpdateSuspicion(aEvidence);
}

} // namespace

SequentialTest
Weigh(const Observation& aObservation, double aBaseFailureRate)
{
  double well = std::clamp(
    aBaseFailureRate, kLowestBaseFailureRate, kHighestBaseFailureRate);
  double sick = std::max(kSickFailureRate, kSickOverBase * well);
  SequentialTest weight;
  weight.mFailure = Ratio(aObservation.mIsFailure, sick, well);
  bool connectionsUsuallyWork = aBaseFailureRate < kSickFailureRate;
  if (aObservation.mIsConnectFailure && connectionsUsuallyWork) {
    weight.mFailure = kConnectFailureWeight;
  }
  if (aObservation.mHasLatency) {
    weight.mSlowness =
      Ratio(aObservation.mIsSlow, kSickSlowRate, kWellSlowRate);
  }
  return weight;
}

void
AddObservation(TargetEvidence& aEvidence,
               const ZoneName& aZone,
               const Observation& aObservation,
               double aBaseFailureRate)
{
  AddWeight(aEvidence, aZone, Weigh(aObservation, aBaseFailureRate));
  double failure = aObservation.mIsFailure ? 1 : 0;
  aEvidence.mFailureRate +=
    kFailureRateStep * (failure - aEvidence.mFailureRate);
}

void
AddSilence(TargetEvidence& aEvidence, const ZoneName& aZone)
{
  AddWeight(aEvidence, aZone, { 0, kSilenceWeight });
}

Judgement
Judge(const TargetEvidence& aEvidence, std::size_t aActiveZones)
{
  if (!aEvidence.mIsSuspect) {
    return Judgement::Well;
  }
  SequentialTest sum = Sum(aEvidence);
  bool isFailing = sum.mFailure >= sum.mSlowness;
  double others =
    isFailing ? aEvidence.mOthers.mFailure : aEvidence.mOthers.mSlowness;
  bool isConfirmed = aActiveZones < 2 || others >= kConfirmed;
  if (Worst(sum) >= kSickThreshold && isConfirmed) {
    return Judgement::Sick;
  }
  auto accuser = aEvidence.mByZone.find(aEvidence.mAccuser);
  bool isOverwhelming =
    accuser != aEvidence.mByZone.end() && Worst(accuser->second) >= kCap;
  bool isPath = aActiveZones >= 2 && (others <= kCleared || isOverwhelming);
  return isPath ? Judgement::PathSick : Judgement::Well;
}

bool
IsMature(const LatencyBaseline& aBaseline)
{
  return aBaseline.mSamples >= kMatureSamples;
}

void
AddSample(LatencyBaseline& aBaseline, Duration aLatency)
{
  if (aBaseline.mSamples == 0) {
    aBaseline.mMean = aLatency;
    aBaseline.mNinetieth = 2 * std::max(aLatency, Duration(1));
  }
  aBaseline.mMean += (aLatency - aBaseline.mMean) / kMeanSamples;
  double step = aBaseline.mSamples < kFastSamples ? kFastStep : kSlowStep;
  bool isAbove = aLatency > aBaseline.mNinetieth;
  double move = isAbove ? step * kPercentile : -step * (1 - kPercentile);
  double next =
    static_cast<double>(aBaseline.mNinetieth.count()) * std::exp(move);
  aBaseline.mNinetieth = Duration(std::max<Duration::rep>(
    10, static_cast<Duration::rep>(std::llround(next))));
  aBaseline.mSamples = std::min(aBaseline.mSamples + 1, kFastSamples);
}

} // namespace vanillascale
