#ifndef VANILLASCALE_FAILUREPENALTY_H
#define VANILLASCALE_FAILUREPENALTY_H

#include "Messages.h"

namespace vanillascale {

/** A decaying score of a target's recent failures, which ranks it behind other
 * targets.
 *
 * Load pattern: targets turn gray for one to a few seconds, and each receives
 * only a few requests in that time. A gray target fails most requests
 * immediately, so that by its number of requests in flight it looks like the
 * best one. A statistical test detects this too late, and ejecting a target on
 * one failure costs capacity. A failure therefore only makes the target the
 * last choice until the score decays, or until a request that was sent after
 * the failure succeeds. Idempotent requests are sent to it first, as probes.
 * Not thread safe. */
struct FailurePenalty
{
  /** The score at mScoreUpdatedAt, in failures. See CurrentScore. */
  double mScore = 0;
  TimePoint mScoreUpdatedAt{};
  /** Time of the latest failure. A success of a request sent earlier does not
   * reduce the score. */
  TimePoint mLastFailureAt{};
  /** The decaying number of failures, as of mLastFailureAt. Its half-life is
   * longer than that of mScore. It scales the interval between probes. */
  double mRecentFailures = 0;
  /** Time of the latest successful answer. */
  TimePoint mLastSuccessAt{};
};

/** Upper limit of the time from a single failure to the next probe: half of the
 * shortest gray periods. */
constexpr Duration kMaxProbeInterval = std::chrono::milliseconds(450);

/** The score of a failed request. */
constexpr double kFailureScore = 1.0;
/** The score of a shed request. It is below that of a failure, since targets
 * also shed requests when they are full. */
constexpr double kShedScore = 0.4;
/** The score of a slow or unanswered request. It is low, since most such
 * requests are long work. */
constexpr double kSlowScore = 0.25;

/** Records a failure at aNow with a score of aScore. */
void
RecordFailure(FailurePenalty& aPenalty, TimePoint aNow, double aScore);

/** Adds the score of a slow request. It does not count as a failure: the
 * request may be long work, or the message about its lease may be lost. */
void
RecordSlowRequest(FailurePenalty& aPenalty, TimePoint aNow);

/** Records a successful answer to a request that was sent at aSentAt. Reduces
 * the score if the request was sent after the latest failure. */
void
RecordSuccess(FailurePenalty& aPenalty, TimePoint aNow, TimePoint aSentAt);

/** Records the outcome of a request that was sent at aSentAt. Ignores outcomes
 * that do not depend on the target's health (Draining, Cancelled, Unused). */
void
RecordOutcome(FailurePenalty& aPenalty,
              TimePoint aNow,
              TimePoint aSentAt,
              TargetOutcome aOutcome);

/** Returns the score at aNow, which decays exponentially. Pure. */
double
CurrentScore(const FailurePenalty& aPenalty, TimePoint aNow);

/** Returns whether non-idempotent requests should go to other targets. Pure. */
bool
IsPenalized(const FailurePenalty& aPenalty, TimePoint aNow);

/** Returns whether a target that failed repeatedly should receive no probes
 * yet, since they would probably fail as well. Pure. */
bool
IsInBackoff(const FailurePenalty& aPenalty,
            TimePoint aNow,
            Duration aProbeInterval);

/** Returns whether a penalized target should receive an idempotent request as a
 * probe. aProbeInterval is the time from a single failure to the probe; it is
 * multiplied by the number of recent failures. Pure. */
bool
IsProbeDue(const FailurePenalty& aPenalty,
           TimePoint aNow,
           Duration aProbeInterval);

} // namespace vanillascale

#endif
