#ifndef VANILLASCALE_TARGETPOOL_H
#define VANILLASCALE_TARGETPOOL_H

#include "FailurePenalty.h"
#include "NodeEvents.h"
#include "TargetEvidence.h"

#include <map>
#include <optional>
#include <vector>

namespace vanillascale {

/** Whether a target gets work. */
enum class TargetState
{
  Serving,
  /** Out of use until PooledTarget::mTrialDueAt. */
  Ejected,
  /** Gets one idempotent request at a time, to show whether it is well. */
  Trial
};

/** Sound targets must not be left out for two seconds while others fail. */
constexpr Duration kMaxIdleTimeAtHighFailureRate =
  std::chrono::milliseconds(1300);

/** A zone's path to a target that is left out for a while. */
struct AvoidedPath
{
  TimePoint mUntil{};
  Duration mExclusionTime{ 0 };
};

/** One target of a service, as its scheduler keeps it. */
struct PooledTarget
{
  ZoneName mZone;
  unsigned mSlots = 0;
  /** The VM list shows it as leaving, or no longer shows it. */
  bool mIsLeaving = false;
  /** It said itself that it drains: no work until then. */
  TimePoint mDrainingUntil{};
  /** When it came into view; a target that did so later than the scheduler
   * itself is cold and opens its slots in steps. */
  TimePoint mFirstSeenAt{};
  bool mNeedsWarmUp = false;
  unsigned mBusyShortSlots = 0;
  unsigned mBusyLongSlots = 0;
  /** Of these, slots whose requests have been out for far too long. */
  unsigned mStalledSlots = 0;
  TargetState mState = TargetState::Serving;
  TimePoint mTrialDueAt{};
  /** How long the next ejection lasts. */
  Duration mExclusionTime{ 0 };
  TimePoint mLastTransitionAt{};
  TargetEvidence mEvidence;
  FailurePenalty mPenalty;
  /** Until when it is slow after its start, by its own word. */
  TimePoint mReportedWarmUpUntil{};
  /** When a request last went to it. */
  TimePoint mLastRequestAt{};
  /** Nodes that could not connect to it, with the time until which they are
   * sent elsewhere. */
  std::map<NodeId, TimePoint> mUnreachableFrom;
  /** The running verdict of a trial: up for sick, down for well. */
  LikelihoodScores mTrialScores;
  std::map<ZoneName, AvoidedPath> mAvoidedPaths;
};

/** The targets of one service. */
struct TargetPool
{
  std::map<TargetId, PooledTarget> mTargets;
  /** Ejection leaves at least this share of the slots in use, in percent. */
  unsigned mFloorPercent = 50;
  /** The shortest pause between requests that try a doubted target. */
  Duration mProbeInterval = kMaxProbeInterval;
  /** Failures that the targets have in common, 0 to 1. */
  double mBaseFailureRate = 0;
  /** Many requests of the service are not served. What is believed of targets
   * that get no work may be the reason, so none is left without a request for
   * long, and pauses of ejected ones end. */
  bool mHasHighFailureRate = false;
  /** The number of zones whose proxies use the service now. */
  std::size_t mActiveZoneCount = 1;
  bool mHasVmList = false;
};

/** A change of a target's state, for the log. */
struct PoolChange
{
  TargetId mTarget;
  /** The number of the event in docs/EVENTS.md. */
  int mEventNumber = 0;
  std::string mDetail;
};

/** Takes over the VM list's view of one service's VM group. */
void
UpdatePool(TargetPool& aPool,
           TimePoint aNow,
           const std::string& aVmGroup,
           const std::vector<Vm>& aVms);

/** Whether a target leaves or drains: it gets no request. Pure. */
bool
IsLeavingOrDraining(const PooledTarget& aTarget, TimePoint aNow);

/** A target's slots in use. Pure. */
unsigned
BusySlotsOf(const PooledTarget& aTarget);

/** A target's slots that requests may use now; a cold one opens them in steps.
 * Pure. */
unsigned
OpenSlotsOf(const PooledTarget& aTarget, TimePoint aNow);

/** Whether a zone's path to a target is left out now. Pure. */
bool
IsAvoidedFrom(const PooledTarget& aTarget,
              TimePoint aNow,
              const ZoneName& aZone);

/** Whether a node could not connect to a target lately. Pure. */
bool
IsUnreachableFrom(const PooledTarget& aTarget,
                  TimePoint aNow,
                  const NodeId& aNode);

/** Slots of targets that are neither leaving nor draining nor ejected. A trial
 * counts as ejected. */
unsigned
UsableSlots(const TargetPool& aPool, TimePoint aNow);

/** Slots that requests may use now, with cold targets' closed ones left out. */
unsigned
OpenSlots(const TargetPool& aPool, TimePoint aNow);

/** Targets that are ejected or on trial, or drain by their own word. */
std::vector<TargetId>
TargetsOutOfUse(const TargetPool& aPool, TimePoint aNow);

/** Slots in use by long work. */
unsigned
BusyLongSlots(const TargetPool& aPool);

/** Slots in use by short work. */
unsigned
BusyShortSlots(const TargetPool& aPool);

/** Whether any usable target is trusted with work that may not be repeated. */
bool
HasUnpenalizedTarget(const TargetPool& aPool, TimePoint aNow);

/** Notes that a node could not connect to a target. Where others could not
 * either, the target itself is doubted. */
void
RecordUnreachable(TargetPool& aPool,
                  TimePoint aNow,
                  const TargetId& aTarget,
                  const NodeId& aNode);

/** Adds an observation of a target and acts on what the evidence now says:
 * ejects the target, or leaves out one zone's path to it, or ends its trial.
 * Never takes usable capacity under the floor. */
std::vector<PoolChange>
RecordObservation(TargetPool& aPool,
                  TimePoint aNow,
                  const TargetId& aTarget,
                  const ZoneName& aZone,
                  const Observation& aObservation);

/** As RecordObservation, for a request that got no answer for far too long. */
std::vector<PoolChange>
RecordStalledRequest(TargetPool& aPool,
                     TimePoint aNow,
                     const TargetId& aTarget,
                     const ZoneName& aZone);

/** Starts trials that are due, forgets old pauses, works out the common failure
 * rate and brings targets back where the floor demands it. */
std::vector<PoolChange>
PoolTick(TargetPool& aPool, TimePoint aNow);

} // namespace vanillascale

#endif
