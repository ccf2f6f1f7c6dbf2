#include "SchedulerEvidence.h"

#include "EventNumbers.h"
#include "SchedulerHedges.h"
#include "TargetArrivals.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The time that a holder has to answer a query before its lease counts against
 * the target. */
constexpr Duration kQueryReplyTime = milliseconds(30);
/** A query is repeated, because it or the report that answers it may be lost.
 */
constexpr Duration kQueryRetryInterval = milliseconds(150);
/** A failure to connect to a target is reported within this time of the grant:
 * the connection timeout and two messages. */
constexpr Duration kMaxConnectReportTime = milliseconds(250);
/** A younger lease is never overdue. */
constexpr Duration kMinOverdueAge = milliseconds(10);
/** A younger lease never counts as stalled. */
constexpr Duration kMinStalledAge = milliseconds(250);
/** A lease counts as stalled at this multiple of the overdue age,
 * and again each time that its age has doubled. */
constexpr int kStalledFactor = 5;
/** The target is penalized for a request that takes longer than this multiple
 * of its route's mean latency. At a healthy target 3 of 100 requests take
 * longer. */
constexpr int kSlowMeanFactor = 3;
/** Half-life of the counts of served and unserved requests. */
constexpr Duration kRecentHalfLife = seconds(1);
/** The load must be spread over the targets when a tenth of the requests is not
 * served; the threshold lies below that. */
constexpr double kHighFailureRate = 0.07;
constexpr double kVeryHighFailureRate = 0.1;
/** Factor of the exponential moving average of the latency. */
constexpr double kMeanSmoothing = 0.02;
/** A target that reports that it is draining shuts down within this time. */
constexpr Duration kMaxDrainTime = seconds(15);
/** How long a target is not granted after a proxy whose target list is at least
 * as new as this scheduler's has declined it. */
constexpr Duration kDeclinedExclusionTime = seconds(2);
/** The same while this scheduler has not read the newer list: nodes of its zone
 * may not have it either, and accept the grant. A leaving target has shut down
 * after this time. */
constexpr Duration kMaxDeclinedExclusionTime = kMaxDrainTime;
/** The same for the proxy alone, if its list is older: it receives the newer
 * one with the next push. */
constexpr Duration kStaleListPause = std::chrono::milliseconds(500);

/** Returns the observation of the target that an ended request yields, or
 * nothing if its outcome is no evidence about the target. */
std::optional<Observation>
MakeObservation(const SchedulerState& aState,
                const ActiveLease& aLease,
                const LeaseReport& aReport)
{
  auto it = aState.mBaselines.find(aLease.mRoute);
  bool isComparable = it != aState.mBaselines.end() &&
                      HasEnoughSamples(it->second) &&
                      !aLease.mHasSlowObservation;
  bool isSlow = isComparable && aReport.mLatency > it->second.mP90;
  Observation observation;
  switch (aReport.mOutcome) {
    case TargetOutcome::Answered:
      observation.mHasLatency = isComparable;
      observation.mIsSlow = isSlow;
      return observation;
    case TargetOutcome::ServerError:
    case TargetOutcome::Shed:
    case TargetOutcome::Broken:
      observation.mIsFailure = true;
      return observation;
    case TargetOutcome::ConnectFailed:
      observation.mIsFailure = true;
      observation.mIsConnectFailure = true;
      return observation;
    case TargetOutcome::TimedOut:
      // A timeout under a short deadline of the caller is not a failure of the
      // target.
      observation.mIsFailure = isSlow || aLease.mHasSlowObservation;
      return observation.mIsFailure ? std::make_optional(observation)
                                    : std::nullopt;
    case TargetOutcome::Draining:
    case TargetOutcome::Cancelled:
    case TargetOutcome::Unused:
      return std::nullopt;
  }
  return std::nullopt;
}

/** Updates the failure penalty of a target after a request has ended. An answer
 * to a request that the target was penalized for does not reduce it. */
void
UpdatePenalty(SchedulerState& aState,
              TimePoint aNow,
              const ActiveLease& aLease,
              const LeaseReport& aReport)
{
  auto it = aState.mPool.mTargets.find(aLease.mTarget);
  if (it == aState.mPool.mTargets.end()) {
    return;
  }
  if (aReport.mOutcome == TargetOutcome::ConnectFailed) {
    RecordUnreachable(aState.mPool, aNow, aLease.mTarget, aLease.mHolder);
    return;
  }
  bool isLateAnswer =
    aReport.mOutcome == TargetOutcome::Answered && aLease.mHasSlowPenalty;
  if (!isLateAnswer) {
    RecordOutcome(
      it->second.mPenalty, aNow, aLease.mGrantedAt, aReport.mOutcome);
  }
}

/** Returns whether more than aShare of the recent requests were not served. */
bool
IsUnservedShareAbove(const SchedulerState& aState, double aShare)
{
  return aState.mRecentUnserved >
         aShare * (aState.mRecentServed + aState.mRecentUnserved);
}

/** Records whether the request of an ended lease has reached its target. */
void
UpdateArrivals(SchedulerState& aState,
               const ActiveLease& aLease,
               TargetOutcome aOutcome)
{
  auto it = aState.mPool.mTargets.find(aLease.mTarget);
  if (it == aState.mPool.mTargets.end()) {
    return;
  }
  switch (aOutcome) {
    case TargetOutcome::Answered:
    case TargetOutcome::ServerError:
    case TargetOutcome::Shed:
    case TargetOutcome::Draining:
    case TargetOutcome::Broken:
    case TargetOutcome::TimedOut:
      RecordArrival(it->second, aLease.mGrantedAt);
      return;
    case TargetOutcome::ConnectFailed:
    case TargetOutcome::Unused:
      RecordMissedGrant(it->second);
      return;
    case TargetOutcome::Cancelled:
      return;
  }
}

/** Records the arrival of a non-idempotent request that is still running: it is
 * sent on a new connection, whose failure would have been reported. */
void
RecordAssumedArrival(SchedulerState& aState, ActiveLease& aLease, Duration aAge)
{
  if (aLease.mIsIdempotent || aLease.mHasArrived ||
      aAge < kMaxConnectReportTime) {
    return;
  }
  aLease.mHasArrived = true;
  auto it = aState.mPool.mTargets.find(aLease.mTarget);
  if (it != aState.mPool.mTargets.end()) {
    RecordArrival(it->second, aLease.mGrantedAt);
  }
}

/** Penalizes a target for a slow request, which may be long work or blocked at
 * a gray target. */
void
PenalizeSlowRequest(SchedulerState& aState,
                    TimePoint aNow,
                    const TargetId& aTarget)
{
  auto it = aState.mPool.mTargets.find(aTarget);
  if (it != aState.mPool.mTargets.end()) {
    RecordSlowRequest(it->second.mPenalty, aNow);
  }
}

/** Keeps a target that the holder of a lease has declined out of use: the newer
 * of two target lists goes before the older one. */
void
ExcludeDeclinedTarget(SchedulerState& aState,
                      TimePoint aNow,
                      const ActiveLease& aLease,
                      const StorePosition& aHolderListEnd)
{
  auto it = aState.mPool.mTargets.find(aLease.mTarget);
  if (it == aState.mPool.mTargets.end()) {
    return;
  }
  PooledTarget& target = it->second;
  if (Reaches(aHolderListEnd, aState.mTargetListEnd)) {
    target.mDrainingUntil =
      std::max(target.mDrainingUntil, aNow + kDeclinedExclusionTime);
    if (aHolderListEnd != aState.mTargetListEnd) {
      target.mDeclinedUntil = aNow + kMaxDeclinedExclusionTime;
      StorePosition& end = aState.mDeclinedAt[aLease.mTarget];
      end = std::max(end, aHolderListEnd);
    }
  } else {
    TimePoint& until = target.mPausedFor[aLease.mHolder];
    until = std::max(until, aNow + kStaleListPause);
  }
}

/** Returns whether a request counts as not served if the run under a lease
 * fails. While requests are concentrated, a first run that may be repeated does
 * not count unless its deadline has passed: its retry does. Otherwise the runs
 * that explore gray targets would keep the failure rate high, which asks for
 * more of them. */
bool
EndsRequest(const SchedulerState& aState,
            const ActiveLease& aLease,
            TargetOutcome aOutcome)
{
  return !aState.mPool.mWarmSet.mIsEnabled || !aLease.mIsIdempotent ||
         aLease.mIsRetry || aOutcome == TargetOutcome::TimedOut;
}

} // namespace

void
MoveTargetListEnd(SchedulerState& aState, const StorePosition& aEnd)
{
  aState.mTargetListEnd = aEnd;
  for (auto it = aState.mDeclinedAt.begin(); it != aState.mDeclinedAt.end();) {
    if (aEnd < it->second) {
      ++it;
      continue;
    }
    auto target = aState.mPool.mTargets.find(it->first);
    if (target != aState.mPool.mTargets.end()) {
      target->second.mDeclinedUntil = {};
    }
    it = aState.mDeclinedAt.erase(it);
  }
}

void
CountRecentRequest(SchedulerState& aState, TimePoint aNow, bool aIsServed)
{
  double halfLives =
    static_cast<double>((aNow - aState.mRecentUpdatedAt).count()) /
    static_cast<double>(kRecentHalfLife.count());
  double decay = std::exp2(-halfLives);
  aState.mRecentServed = decay * aState.mRecentServed + (aIsServed ? 1 : 0);
  aState.mRecentUnserved = decay * aState.mRecentUnserved + (aIsServed ? 0 : 1);
  aState.mRecentUpdatedAt = aNow;
}

bool
HasHighFailureRate(const SchedulerState& aState)
{
  return IsUnservedShareAbove(aState, kHighFailureRate);
}

bool
HasVeryHighFailureRate(const SchedulerState& aState)
{
  return IsUnservedShareAbove(aState, kVeryHighFailureRate);
}

void
LogTargetChanges(const SchedulerState& aState,
                 const std::vector<PoolChange>& aChanges,
                 Effects& aEffects)
{
  for (const PoolChange& it : aChanges) {
    std::string text = "service=" + aState.mService.mValue +
                       " target=" + it.mTarget.mValue + " " + it.mDetail;
    aEffects.push_back(WriteEvent{ it.mEventNumber, std::move(text) });
  }
}

void
ProcessReport(SchedulerState& aState,
              TimePoint aNow,
              const ActiveLease& aLease,
              const LeaseReport& aReport,
              Effects& aEffects)
{
  UpdatePenalty(aState, aNow, aLease, aReport);
  UpdateArrivals(aState, aLease, aReport.mOutcome);
  if (aReport.mStatements) {
    LogTargetChanges(aState,
                     RecordStatements(aState.mPool,
                                      aNow,
                                      aLease.mTarget,
                                      aLease.mHolder,
                                      aLease.mGrantedAt,
                                      *aReport.mStatements),
                     aEffects);
  }
  bool isServed = aReport.mOutcome == TargetOutcome::Answered;
  bool isUnserved = aReport.mOutcome == TargetOutcome::ServerError ||
                    aReport.mOutcome == TargetOutcome::Broken ||
                    aReport.mOutcome == TargetOutcome::TimedOut;
  bool isOfRequest = IsOutcomeOfRequest(aLease, aReport.mOutcome);
  if (isOfRequest &&
      (isServed ||
       (isUnserved && EndsRequest(aState, aLease, aReport.mOutcome)))) {
    CountRecentRequest(aState, aNow, isServed);
  }
  if (aReport.mOutcome == TargetOutcome::Answered) {
    RecordServed(aState.mHarmful, aNow, aLease.mFingerprint);
  }
  if (aReport.mOutcome == TargetOutcome::Draining) {
    auto it = aState.mPool.mTargets.find(aLease.mTarget);
    if (it != aState.mPool.mTargets.end()) {
      it->second.mDrainingUntil = aNow + kMaxDrainTime;
    }
  }
  if (aReport.mDeclinedAtListEnd) {
    ExcludeDeclinedTarget(aState, aNow, aLease, *aReport.mDeclinedAtListEnd);
  }
  if (aReport.mOutcome == TargetOutcome::Broken) {
    bool isHarmful = RecordCrash(aState.mHarmful,
                                 aNow,
                                 aLease.mFingerprint,
                                 aLease.mTarget,
                                 aState.mPool.mTargets.size());
    if (isHarmful) {
      aEffects.push_back(
        WriteEvent{ kEventRequestQuarantined,
                    "service=" + aState.mService.mValue +
                      " fingerprint=" + std::to_string(aLease.mFingerprint) });
    }
  }
  auto observation = MakeObservation(aState, aLease, aReport);
  // The time of the first send counts, also if its hedge was answered first:
  // otherwise the baseline would lose its longest times.
  bool isHedgeWon =
    aReport.mOutcome == TargetOutcome::Cancelled && aLease.mOtherLease != 0;
  if (isHedgeWon && !aLease.mIsHedge) {
    AddSample(aState.mBaselines[aLease.mRoute], aReport.mLatency);
  }
  if (aReport.mOutcome == TargetOutcome::Answered && !aLease.mIsHedge) {
    AddSample(aState.mBaselines[aLease.mRoute], aReport.mLatency);
    if (!aLease.mIsLong) {
      double mean = static_cast<double>(aState.mMeanShortLatency.count());
      double latency = static_cast<double>(aReport.mLatency.count());
      mean = mean == 0 ? latency : mean + kMeanSmoothing * (latency - mean);
      aState.mMeanShortLatency = Duration(std::llround(mean));
    }
  }
  if (observation) {
    auto changes = RecordObservation(
      aState.mPool, aNow, aLease.mTarget, aLease.mZone, *observation);
    LogTargetChanges(aState, changes, aEffects);
  }
}

void
ScanLeases(SchedulerState& aState, TimePoint aNow, Effects& aEffects)
{
  std::map<NodeId, std::vector<LeaseId>> queries;
  std::vector<LeaseId> expired;
  for (auto& [id, lease] : aState.mLeases) {
    if (aNow >= lease.mExpiresAt) {
      expired.push_back(id);
      continue;
    }
    Duration age = aNow - lease.mGrantedAt;
    RecordAssumedArrival(aState, lease, age);
    auto it = aState.mBaselines.find(lease.mRoute);
    if (it == aState.mBaselines.end() || !HasEnoughSamples(it->second)) {
      continue;
    }
    Duration overdueAge = std::max(it->second.mP90, kMinOverdueAge);
    bool isUnanswered =
      lease.mIsQueried && aNow - lease.mQueriedAt >= kQueryRetryInterval;
    if (age > overdueAge && (!lease.mIsQueried || isUnanswered)) {
      lease.mIsQueried = true;
      lease.mQueriedAt = aNow;
      queries[lease.mHolder].push_back(id);
    }
    // The target counts as slow only after the holder was queried and did not
    // report that it no longer has the lease.
    bool isConfirmed = lease.mIsQueried && age > overdueAge + kQueryReplyTime;
    if (isConfirmed && !lease.mHasSlowPenalty &&
        age > it->second.mMean * kSlowMeanFactor) {
      lease.mHasSlowPenalty = true;
      PenalizeSlowRequest(aState, aNow, lease.mTarget);
    }
    if (!lease.mHasSlowObservation && age > overdueAge + kQueryReplyTime) {
      lease.mHasSlowObservation = true;
      Observation slow;
      slow.mHasLatency = true;
      slow.mIsSlow = true;
      auto changes =
        RecordObservation(aState.mPool, aNow, lease.mTarget, lease.mZone, slow);
      LogTargetChanges(aState, changes, aEffects);
    }
    Duration stalledAge = std::max(overdueAge * kStalledFactor, kMinStalledAge);
    if (age > stalledAge * (1 << std::min(lease.mStallCount, 16U))) {
      ++lease.mStallCount;
      auto target = aState.mPool.mTargets.find(lease.mTarget);
      if (target != aState.mPool.mTargets.end() && lease.mStallCount == 1) {
        ++target->second.mStalledSlots;
      }
      auto changes =
        RecordStalledRequest(aState.mPool, aNow, lease.mTarget, lease.mZone);
      LogTargetChanges(aState, changes, aEffects);
    }
  }
  for (LeaseId it : expired) {
    EndLease(aState, aState.mLeases.find(it));
    ++aState.mCounters.mExpired;
  }
  for (auto& [node, leases] : queries) {
    aEffects.push_back(
      SendToPeer{ node, LeaseQuery{ aState.mService, std::move(leases) } });
  }
}

} // namespace vanillascale
