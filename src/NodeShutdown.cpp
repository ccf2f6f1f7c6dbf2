#include "NodeShutdown.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Minimum time between the shutdown request and the exit. Long enough for the
 * fleet to learn that the node is leaving, and for a load balancer that checks
 * once per second to see two failed checks. */
constexpr Duration kMinShutdownTime = milliseconds(2300);
/** Maximum duration of a shutdown if NodeOptions::mStopWithin is 0. */
constexpr Duration kDefaultMaxShutdownTime = std::chrono::minutes(10);

/** Requests that still run are answered this long before the process is
 * terminated: the runtime closes the connections half a second before that. */
constexpr Duration kFinalAnswerMargin = milliseconds(800);
/** A request that arrives later in a shutdown is accepted only if its deadline
 * ends in time. */
constexpr Duration kMaxOpenAdmission = milliseconds(2500);

} // namespace

TimePoint
MustEndBy(const NodeState& aState)
{
  Duration stopWithin = aState.mOptions.mStopWithin;
  bool isLimited = aState.mIsStopping && stopWithin > Duration(0);
  return isLimited ? aState.mStoppingSince + stopWithin - kFinalAnswerMargin
                   : TimePoint::max();
}

ShutdownAdmission
AdmissionDuringShutdown(const NodeState& aState, TimePoint aNow)
{
  Duration stopWithin = aState.mOptions.mStopWithin;
  if (!aState.mIsStopping || stopWithin == Duration(0)) {
    return ShutdownAdmission::All;
  }
  Duration elapsed = aNow - aState.mStoppingSince;
  if (elapsed >= stopWithin / 2) {
    return ShutdownAdmission::None;
  }
  return elapsed >= std::min<Duration>(stopWithin / 3, kMaxOpenAdmission)
           ? ShutdownAdmission::IfDeadlineFits
           : ShutdownAdmission::All;
}

void
FinishShutdown(NodeState& aState, TimePoint aNow, Effects& aEffects)
{
  if (!aState.mIsStopping || aState.mIsStopped) {
    return;
  }
  Duration elapsed = aNow - aState.mStoppingSince;
  bool isDone = aState.mProxy.mRequests.empty() &&
                aState.mProxy.mAbandonedIntents.empty() &&
                elapsed >= kMinShutdownTime;
  Duration maxTime = aState.mOptions.mStopWithin > Duration(0)
                       ? aState.mOptions.mStopWithin
                       : kDefaultMaxShutdownTime;
  if (isDone || elapsed >= maxTime) {
    aState.mIsStopped = true;
    aEffects.push_back(Stop{});
  }
}

} // namespace vanillascale
