#include "SchedulerEvidence.h"

#include "EventNumbers.h"

#include <algorithm>
#include <cmath>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kQueryGrace = milliseconds(30);
/** A query, or the report that answers it, may be lost. */
constexpr Duration kQueryAgainInterval = milliseconds(150);
constexpr Duration kShortestOverdue = milliseconds(10);
constexpr Duration kShortestSilence = milliseconds(250);
constexpr int kSilenceFactor = 5;
/** Of the route's mean: work of a well target takes longer in 3 of 100. */
constexpr int kSlowFactor = 3;
constexpr Duration kLatelyHalfLife = seconds(1);
/** Targets must be spread over where a tenth is not served. */
constexpr double kManyUnserved = 0.07;
constexpr double kMeanStep = 0.02;
/** A target that drains by its own word ends within this time. */
constexpr Duration kDrainingTime = seconds(15);

/** What an ended request says of its target; nothing where it says nothing. */
std::optional<Observation>
Interpret(const SchedulerState& aState,
          const ActiveLease& aLease,
          const LeaseReport& aReport)
{
  auto it = aState.mBaselines.find(aLease.mRoute);
  bool isComparable = it != aState.mBaselines.end() &&
                      HasEnoughSamples(it->second) && !aLease.mIsCountedSlow;
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
      // A caller's short deadline is not the target's fault.
      observation.mIsFailure = isSlow || aLease.mIsCountedSlow;
      return observation.mIsFailure ? std::make_optional(observation)
                                    : std::nullopt;
    case TargetOutcome::Draining:
    case TargetOutcome::Cancelled:
    case TargetOutcome::Unused:
      return std::nullopt;
  }
  return std::nullopt;
}

/** Adjusts the trust in a target by how a request ended. */
void
AdjustTrust(SchedulerState& aState,
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
  bool isLateProof =
    aReport.mOutcome == TargetOutcome::Answered && aLease.mIsDoubted;
  if (!isLateProof) {
    RecordOutcome(
      it->second.mPenalty, aNow, aLease.mGrantedAt, aReport.mOutcome);
  }
}

/** A request that takes long may be long work, or stuck at a gray target. */
void
DoubtSlow(SchedulerState& aState, TimePoint aNow, const TargetId& aTarget)
{
  auto it = aState.mPool.mTargets.find(aTarget);
  if (it != aState.mPool.mTargets.end()) {
    RecordSlowRequest(it->second.mPenalty, aNow);
  }
}

} // namespace

void
CountLately(SchedulerState& aState, TimePoint aNow, bool aIsServed)
{
  double halves = static_cast<double>((aNow - aState.mLatelyAt).count()) /
                  static_cast<double>(kLatelyHalfLife.count());
  double kept = std::exp2(-halves);
  aState.mServedLately = kept * aState.mServedLately + (aIsServed ? 1 : 0);
  aState.mUnservedLately = kept * aState.mUnservedLately + (aIsServed ? 0 : 1);
  aState.mLatelyAt = aNow;
}

bool
AreManyUnserved(const SchedulerState& aState)
{
  return aState.mUnservedLately >
         kManyUnserved * (aState.mServedLately + aState.mUnservedLately);
}

void
ReportChanges(const SchedulerState& aState,
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
Learn(SchedulerState& aState,
      TimePoint aNow,
      const ActiveLease& aLease,
      const LeaseReport& aReport,
      Effects& aEffects)
{
  AdjustTrust(aState, aNow, aLease, aReport);
  bool isServed = aReport.mOutcome == TargetOutcome::Answered;
  bool isUnserved = aReport.mOutcome == TargetOutcome::ServerError ||
                    aReport.mOutcome == TargetOutcome::Broken ||
                    aReport.mOutcome == TargetOutcome::TimedOut;
  if (isServed || isUnserved) {
    CountLately(aState, aNow, isServed);
  }
  if (aReport.mOutcome == TargetOutcome::Answered) {
    NoteServed(aState.mHarmful, aNow, aLease.mFingerprint);
  }
  if (aReport.mOutcome == TargetOutcome::Draining) {
    auto it = aState.mPool.mTargets.find(aLease.mTarget);
    if (it != aState.mPool.mTargets.end()) {
      it->second.mDrainingUntil = aNow + kDrainingTime;
    }
  }
  if (aReport.mOutcome == TargetOutcome::Broken) {
    bool isHarmful = NoteCrash(aState.mHarmful,
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
  auto observation = Interpret(aState, aLease, aReport);
  if (aReport.mOutcome == TargetOutcome::Answered) {
    AddSample(aState.mBaselines[aLease.mRoute], aReport.mLatency);
    if (!aLease.mIsLong) {
      double mean = static_cast<double>(aState.mMeanShort.count());
      double latency = static_cast<double>(aReport.mLatency.count());
      mean = mean == 0 ? latency : mean + kMeanStep * (latency - mean);
      aState.mMeanShort = Duration(std::llround(mean));
    }
  }
  if (observation) {
    auto changes = RecordObservation(
      aState.mPool, aNow, aLease.mTarget, aLease.mZone, *observation);
    ReportChanges(aState, changes, aEffects);
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
    auto it = aState.mBaselines.find(lease.mRoute);
    if (it == aState.mBaselines.end() || !HasEnoughSamples(it->second)) {
      continue;
    }
    Duration age = aNow - lease.mGrantedAt;
    Duration overdue = std::max(it->second.mP90, kShortestOverdue);
    bool isUnanswered =
      lease.mIsQueried && aNow - lease.mQueriedAt >= kQueryAgainInterval;
    if (age > overdue && (!lease.mIsQueried || isUnanswered)) {
      lease.mIsQueried = true;
      lease.mQueriedAt = aNow;
      queries[lease.mHolder].push_back(id);
    }
    // Only a holder that was asked, and did not say that it no longer has the
    // lease, shows that the target is slow.
    bool isConfirmed = lease.mIsQueried && age > overdue + kQueryGrace;
    if (isConfirmed && !lease.mIsDoubted &&
        age > it->second.mMean * kSlowFactor) {
      lease.mIsDoubted = true;
      DoubtSlow(aState, aNow, lease.mTarget);
    }
    if (!lease.mIsCountedSlow && age > overdue + kQueryGrace) {
      lease.mIsCountedSlow = true;
      Observation slow;
      slow.mHasLatency = true;
      slow.mIsSlow = true;
      auto changes =
        RecordObservation(aState.mPool, aNow, lease.mTarget, lease.mZone, slow);
      ReportChanges(aState, changes, aEffects);
    }
    Duration silence = std::max(overdue * kSilenceFactor, kShortestSilence);
    if (age > silence * (1 << std::min(lease.mSilences, 16U))) {
      ++lease.mSilences;
      auto target = aState.mPool.mTargets.find(lease.mTarget);
      if (target != aState.mPool.mTargets.end() && lease.mSilences == 1) {
        ++target->second.mStalledSlots;
      }
      auto changes =
        RecordStalledRequest(aState.mPool, aNow, lease.mTarget, lease.mZone);
      ReportChanges(aState, changes, aEffects);
    }
  }
  for (LeaseId it : expired) {
    EndLease(aState, aState.mLeases.find(it));
    ++aState.mCounters.mExpired;
  }
  for (auto& [node, leases] : queries) {
    aEffects.push_back(
      SendPeer{ node, LeaseQuery{ aState.mService, std::move(leases) } });
  }
}

} // namespace vanillascale
