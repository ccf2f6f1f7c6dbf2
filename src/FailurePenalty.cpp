#include "FailurePenalty.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Gray spells of about a second are the most frequent ones. */
constexpr Duration kPenaltyHalfLife = milliseconds(900);
/** Longer spells last around five seconds. */
constexpr Duration kFailureHistoryHalfLife = milliseconds(3000);
constexpr double kMaxScore = 8;
constexpr double kMaxRecentFailures = 6;
/** One failure counts for two half-lives, two slow answers for one. */
constexpr double kPenaltyThreshold = 0.24;
/** The share of doubt that a proof leaves where failures were frequent. */
constexpr double kScoreKeptAfterSuccess = 0.3;
constexpr double kMaxFailuresForReset = 1.5;

double
Decay(double aValue, Duration aAge, Duration aHalfLife)
{
  double halves =
    static_cast<double>(aAge.count()) / static_cast<double>(aHalfLife.count());
  return aValue * std::exp2(-halves);
}

double
CurrentFailures(const FailurePenalty& aTrust, TimePoint aNow)
{
  return Decay(aTrust.mRecentFailures,
               aNow - aTrust.mLastFailureAt,
               kFailureHistoryHalfLife);
}

Duration
ProbeInterval(Duration aTrialPause, double aHistory)
{
  return std::chrono::duration_cast<Duration>(aTrialPause *
                                              std::max(1.0, aHistory));
}

} // namespace

void
RecordFailure(FailurePenalty& aTrust, TimePoint aNow, double aDoubt)
{
  aTrust.mScore = std::min(CurrentScore(aTrust, aNow) + aDoubt, kMaxScore);
  aTrust.mScoreUpdatedAt = aNow;
  aTrust.mRecentFailures =
    std::min(CurrentFailures(aTrust, aNow) + aDoubt, kMaxRecentFailures);
  aTrust.mLastFailureAt = aNow;
}

void
RecordSlowRequest(FailurePenalty& aTrust, TimePoint aNow)
{
  aTrust.mScore = std::min(CurrentScore(aTrust, aNow) + kSlowScore, kMaxScore);
  aTrust.mScoreUpdatedAt = aNow;
}

void
RecordSuccess(FailurePenalty& aTrust, TimePoint aNow, TimePoint aSentAt)
{
  aTrust.mLastSuccessAt = aNow;
  if (aSentAt <= aTrust.mLastFailureAt) {
    return;
  }
  // A target that fails part of its requests answers others well: after
  // several failures one proof is not enough.
  bool isSingle = CurrentFailures(aTrust, aNow) <= kMaxFailuresForReset;
  aTrust.mScore =
    isSingle ? 0 : kScoreKeptAfterSuccess * CurrentScore(aTrust, aNow);
  aTrust.mScoreUpdatedAt = aNow;
}

void
RecordOutcome(FailurePenalty& aTrust,
              TimePoint aNow,
              TimePoint aSentAt,
              TargetOutcome aOutcome)
{
  switch (aOutcome) {
    case TargetOutcome::Answered:
      RecordSuccess(aTrust, aNow, aSentAt);
      return;
    case TargetOutcome::ServerError:
    case TargetOutcome::Broken:
    case TargetOutcome::TimedOut:
    case TargetOutcome::ConnectFailed:
      RecordFailure(aTrust, aNow, kFailureScore);
      return;
    case TargetOutcome::Shed:
      RecordFailure(aTrust, aNow, kShedScore);
      return;
    case TargetOutcome::Draining:
    case TargetOutcome::Cancelled:
    case TargetOutcome::Unused:
      return;
  }
}

double
CurrentScore(const FailurePenalty& aTrust, TimePoint aNow)
{
  return Decay(aTrust.mScore, aNow - aTrust.mScoreUpdatedAt, kPenaltyHalfLife);
}

bool
IsPenalized(const FailurePenalty& aTrust, TimePoint aNow)
{
  return CurrentScore(aTrust, aNow) > kPenaltyThreshold;
}

bool
IsInBackoff(const FailurePenalty& aTrust, TimePoint aNow, Duration aTrialPause)
{
  double history = CurrentFailures(aTrust, aNow);
  return history > kMaxFailuresForReset &&
         aNow - aTrust.mLastFailureAt < ProbeInterval(aTrialPause, history);
}

bool
IsProbeDue(const FailurePenalty& aTrust, TimePoint aNow, Duration aTrialPause)
{
  return IsPenalized(aTrust, aNow) &&
         aNow - aTrust.mLastFailureAt >=
           ProbeInterval(aTrialPause, CurrentFailures(aTrust, aNow));
}

} // namespace vanillascale
