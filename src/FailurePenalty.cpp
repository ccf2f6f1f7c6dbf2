#include "FailurePenalty.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Most gray periods last about one second. */
constexpr Duration kPenaltyHalfLife = milliseconds(900);
/** The longer gray periods last about five seconds. */
constexpr Duration kFailureHistoryHalfLife = milliseconds(3000);
constexpr double kMaxScore = 8;
constexpr double kMaxRecentFailures = 6;
/** Scores above it penalize the target. With it one failure penalizes the
 * target for about two half-lives, two slow answers for about one. */
constexpr double kPenaltyThreshold = 0.24;
/** The factor that a success applies to the score after several failures. */
constexpr double kScoreKeptAfterSuccess = 0.3;
/** Up to this number of recent failures, a success resets the score and there
 * is no backoff. The value lies between one failure and two. */
constexpr double kMaxFailuresForReset = 1.5;

double
Decay(double aValue, Duration aAge, Duration aHalfLife)
{
  double halfLives =
    static_cast<double>(aAge.count()) / static_cast<double>(aHalfLife.count());
  return aValue * std::exp2(-halfLives);
}

double
CurrentFailures(const FailurePenalty& aPenalty, TimePoint aNow)
{
  return Decay(aPenalty.mRecentFailures,
               aNow - aPenalty.mLastFailureAt,
               kFailureHistoryHalfLife);
}

Duration
ProbeInterval(Duration aProbeInterval, double aFailures)
{
  return std::chrono::duration_cast<Duration>(aProbeInterval *
                                              std::max(1.0, aFailures));
}

} // namespace

void
RecordFailure(FailurePenalty& aPenalty, TimePoint aNow, double aScore)
{
  aPenalty.mScore = std::min(CurrentScore(aPenalty, aNow) + aScore, kMaxScore);
  aPenalty.mScoreUpdatedAt = aNow;
  aPenalty.mRecentFailures =
    std::min(CurrentFailures(aPenalty, aNow) + aScore, kMaxRecentFailures);
  aPenalty.mLastFailureAt = aNow;
}

void
RecordSlowRequest(FailurePenalty& aPenalty, TimePoint aNow)
{
  aPenalty.mScore =
    std::min(CurrentScore(aPenalty, aNow) + kSlowScore, kMaxScore);
  aPenalty.mScoreUpdatedAt = aNow;
}

void
RecordSuccess(FailurePenalty& aPenalty, TimePoint aNow, TimePoint aSentAt)
{
  aPenalty.mLastSuccessAt = aNow;
  if (aSentAt <= aPenalty.mLastFailureAt) {
    return;
  }
  // A target that fails only some of its requests answers the others, so one
  // success does not reset the score after several failures.
  bool isSingle = CurrentFailures(aPenalty, aNow) <= kMaxFailuresForReset;
  aPenalty.mScore =
    isSingle ? 0 : kScoreKeptAfterSuccess * CurrentScore(aPenalty, aNow);
  aPenalty.mScoreUpdatedAt = aNow;
}

void
RecordOutcome(FailurePenalty& aPenalty,
              TimePoint aNow,
              TimePoint aSentAt,
              TargetOutcome aOutcome)
{
  switch (aOutcome) {
    case TargetOutcome::Answered:
      RecordSuccess(aPenalty, aNow, aSentAt);
      return;
    case TargetOutcome::ServerError:
    case TargetOutcome::Broken:
    case TargetOutcome::TimedOut:
    case TargetOutcome::ConnectFailed:
      RecordFailure(aPenalty, aNow, kFailureScore);
      return;
    case TargetOutcome::Shed:
      RecordFailure(aPenalty, aNow, kShedScore);
      return;
    case TargetOutcome::Draining:
    case TargetOutcome::Cancelled:
    case TargetOutcome::Unused:
      return;
  }
}

double
CurrentScore(const FailurePenalty& aPenalty, TimePoint aNow)
{
  return Decay(
    aPenalty.mScore, aNow - aPenalty.mScoreUpdatedAt, kPenaltyHalfLife);
}

bool
IsPenalized(const FailurePenalty& aPenalty, TimePoint aNow)
{
  return CurrentScore(aPenalty, aNow) > kPenaltyThreshold;
}

bool
IsInBackoff(const FailurePenalty& aPenalty,
            TimePoint aNow,
            Duration aProbeInterval)
{
  double failures = CurrentFailures(aPenalty, aNow);
  return failures > kMaxFailuresForReset &&
         aNow - aPenalty.mLastFailureAt <
           ProbeInterval(aProbeInterval, failures);
}

bool
IsProbeDue(const FailurePenalty& aPenalty,
           TimePoint aNow,
           Duration aProbeInterval)
{
  return IsPenalized(aPenalty, aNow) &&
         aNow - aPenalty.mLastFailureAt >=
           ProbeInterval(aProbeInterval, CurrentFailures(aPenalty, aNow));
}

} // namespace vanillascale
