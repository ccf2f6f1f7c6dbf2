#ifndef VANILLASCALE_FAILUREPENALTY_H
#define VANILLASCALE_FAILUREPENALTY_H

#include "Messages.h"

namespace vanillascale {

/** How far a target is trusted with the next request.
 *
 * Load pattern: targets turn gray for about a second, or for some seconds, and
 * each gets a few requests in that time. They mostly fail them at once, so that
 * by its requests in flight a gray target looks like the best one. A test that
 * waits for certainty comes too late, and taking a target out of use on one
 * failure costs capacity. So trust is graded: a failure makes the target the
 * last choice for a while, and only a request that was sent after the failure
 * and answered well restores it. Requests that may be repeated go first to find
 * out. Not thread safe. */
struct FailurePenalty
{
  /** Failures that weigh against the target now; 0 for none. */
  double mScore = 0;
  TimePoint mScoreUpdatedAt{};
  /** The latest failure; requests sent before it prove nothing. */
  TimePoint mLastFailureAt{};
  /** Failures of the last seconds: how long to wait before trying it again. */
  double mRecentFailures = 0;
  /** The latest good answer. */
  TimePoint mLastSuccessAt{};
};

/** The longest pause before a doubted target that failed once is tried again:
 * half of the shortest spells. */
constexpr Duration kMaxProbeInterval = std::chrono::milliseconds(450);

/** What weighs how much against a target, in failures. */
constexpr double kFailureScore = 1.0;
/** A target that is full says so; that it is gray is only one reason. */
constexpr double kShedScore = 0.4;
/** One slow answer or silent request is most often long work. */
constexpr double kSlowScore = 0.25;

/** Adds a failure. */
void
RecordFailure(FailurePenalty& aTrust, TimePoint aNow, double aDoubt);

/** Adds the doubt of a request that takes long. It does not count as a failure:
 * the request may be long, or its lease lost on the way. */
void
RecordSlowRequest(FailurePenalty& aTrust, TimePoint aNow);

/** Takes in a good answer to a request that was sent at aSentAt. */
void
RecordSuccess(FailurePenalty& aTrust, TimePoint aNow, TimePoint aSentAt);

/** Takes in how a request that was sent at aSentAt ended. Outcomes that say
 * nothing of the target change nothing. */
void
RecordOutcome(FailurePenalty& aTrust,
              TimePoint aNow,
              TimePoint aSentAt,
              TargetOutcome aOutcome);

/** The doubt that is left; it halves over time. Pure. */
double
CurrentScore(const FailurePenalty& aTrust, TimePoint aNow);

/** Whether work that may not be repeated should go elsewhere. Pure. */
bool
IsPenalized(const FailurePenalty& aTrust, TimePoint aNow);

/** Whether failures are so frequent that another request, also one that may be
 * repeated, would only add to them. Pure. */
bool
IsInBackoff(const FailurePenalty& aTrust, TimePoint aNow, Duration aTrialPause);

/** Whether it is time to find out, with a request that may be repeated, if a
 * doubted target is well again. aTrialPause is the pause after one failure; it
 * grows with the failures of the last seconds. Pure. */
bool
IsProbeDue(const FailurePenalty& aTrust, TimePoint aNow, Duration aTrialPause);

} // namespace vanillascale

#endif
