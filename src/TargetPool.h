#ifndef VANILLASCALE_TARGETPOOL_H
#define VANILLASCALE_TARGETPOOL_H

#include "FailurePenalty.h"
#include "NodeEvents.h"
#include "TargetEvidence.h"
#include "WarmSet.h"

#include <map>
#include <optional>
#include <vector>

namespace vanillascale {

/** Whether the scheduler sends requests to a target. */
enum class TargetState
{
  Serving,
  /** Receives no requests until PooledTarget::mTrialDueAt. */
  Ejected,
  /** Receives few requests, which show whether it has recovered: one at a time
   * at first, and one more with each that succeeds. */
  Trial
};

/** While the failure rate is high, a request is sent to every target that none
 * has reached for this time. Healthy targets must not be idle for two seconds
 * while others fail; the rest of that time is for attempts whose path to the
 * target is cut. */
constexpr Duration kMaxIdleTimeAtHighFailureRate =
  std::chrono::milliseconds(1000);

/** The network path from a zone to a target, avoided for a limited time. */
struct AvoidedPath
{
  TimePoint mUntil{};
  /** The length of the current or last avoidance. It doubles each time. */
  Duration mExclusionTime{ 0 };
};

/** The state that a scheduler keeps of one target of its service. */
struct PooledTarget
{
  ZoneName mZone;
  unsigned mSlots = 0;
  /** The VM list marks the target as leaving or no longer contains it. */
  bool mIsLeaving = false;
  /** End of the time without requests after the target reported that it is
   * draining. */
  TimePoint mDrainingUntil{};
  /** End of the time without requests after proxies with a newer target list
   * have declined the target, unless this scheduler reads that list before. */
  TimePoint mDeclinedUntil{};
  /** When the target first appeared in the VM list. */
  TimePoint mFirstSeenAt{};
  /** The target first appeared after the scheduler had read a VM list, so that
   * its slots are opened in steps. */
  bool mNeedsWarmUp = false;
  unsigned mBusyShortSlots = 0;
  unsigned mBusyLongSlots = 0;
  /** The busy slots whose requests have had no answer for a multiple of the
   * expected time. */
  unsigned mStalledSlots = 0;
  TargetState mState = TargetState::Serving;
  TimePoint mTrialDueAt{};
  /** The length of the current or last ejection; 0 if there was none. */
  Duration mExclusionTime{ 0 };
  /** The latest ejection or return to service. */
  TimePoint mLastTransitionAt{};
  TargetEvidence mEvidence;
  FailurePenalty mPenalty;
  /** End of the warm-up after the target's start, according to the VM list. */
  TimePoint mReportedWarmUpUntil{};
  /** When a slot of the target was last granted. */
  TimePoint mLastRequestAt{};
  /** When the slot was granted whose request is the latest one known to have
   * reached the target. A grant proves nothing about the target: the path from
   * its holder may be cut, or its holder may not have received it. */
  TimePoint mLastArrivalAt{};
  /** No slot has been returned since mLastRequestAt. */
  bool mIsReportPending = false;
  /** The number of grants since mLastArrivalAt whose requests did not reach the
   * target. */
  unsigned mMissedGrants = 0;
  /** What the target stated of itself in answers: its limit, that it is
   * leaving, and the nodes from which it accepts no requests, with the time
   * until which. */
  RequestLimit mLimit;
  bool mStatesLeaving = false;
  std::map<NodeId, TimePoint> mPausedFor;
  /** The incarnation that the statements are of. */
  std::uint64_t mIncarnation = 0;
  /** Nodes that failed to connect to the target, each with the time until which
   * its requests prefer other targets. */
  std::map<NodeId, TimePoint> mUnreachableFrom;
  /** The scores of the current trial. Positive values indicate a fault. */
  LikelihoodScores mTrialScores;
  /** The requests that succeeded in the current trial since the last failure.
   */
  unsigned mTrialSuccesses = 0;
  std::map<ZoneName, AvoidedPath> mAvoidedPaths;
  /** The hash of the target's name. */
  std::uint64_t mIdHash = 0;
  /** The target is one of the warm set, on which requests are concentrated. */
  bool mIsWarm = false;
  /** The busy slots of the target's zone, in percent of the slots of its
   * targets without a failure penalty. Set while requests are concentrated. */
  unsigned mZoneLoadPercent = 0;
};

/** The targets of one service. */
struct TargetPool
{
  std::map<TargetId, PooledTarget> mTargets;
  /** The floor: ejections leave at least this share of the slots usable, in
   * percent. */
  unsigned mFloorPercent = 50;
  /** The time from a single failure of a target to the next probe of it. */
  Duration mProbeInterval = kMaxProbeInterval;
  /** The failure rate that the targets have in common, 0 to 1. */
  double mBaseFailureRate = 0;
  /** Many requests of the service fail. The cause may be outdated state of
   * targets that receive no requests. Every target therefore receives a request
   * after kMaxIdleTimeAtHighFailureRate, and ejections end early. */
  bool mHasHighFailureRate = false;
  /** So many requests fail that even those that must not be repeated go to
   * targets that may be faulty, if nothing has reached these for long. */
  bool mHasVeryHighFailureRate = false;
  /** The number of zones whose proxies use the service at present. */
  std::size_t mActiveZoneCount = 1;
  /** A VM list has been read. */
  bool mHasVmList = false;
  WarmSet mWarmSet;
};

/** A change of the state of a target, or of a path to it, for the log. */
struct PoolChange
{
  TargetId mTarget;
  /** The number of the event in docs/EVENTS.md. */
  int mEventNumber = 0;
  std::string mDetail;
};

/** Updates the targets from the VMs of aVmGroup in the VM list. Marks targets
 * that are not in the list as leaving, and removes leaving targets without busy
 * slots. */
void
UpdatePool(TargetPool& aPool,
           TimePoint aNow,
           const std::string& aVmGroup,
           const std::vector<Vm>& aVms);

/** Adds a target, or updates it from its VM. Precondition: the VM is one of the
 * service's group. */
void
UpdateTarget(TargetPool& aPool, TimePoint aNow, const Vm& aVm);

/** Marks a target whose VM is no longer listed as leaving. PoolTick removes it
 * when it has no busy slots. */
void
RemoveTarget(TargetPool& aPool, const TargetId& aTarget);

/** Returns whether a target is leaving or draining and so receives no requests.
 * Pure. */
bool
IsLeavingOrDraining(const PooledTarget& aTarget, TimePoint aNow);

/** Returns the number of slots in use of a target. Pure. */
unsigned
BusySlotsOf(const PooledTarget& aTarget);

/** Returns the number of slots that requests may use, busy ones included. A
 * target that is warming up opens its slots in steps. Pure. */
unsigned
OpenSlotsOf(const PooledTarget& aTarget, TimePoint aNow);

/** Returns whether the path from aZone to a target is avoided. Pure. */
bool
IsAvoidedFrom(const PooledTarget& aTarget,
              TimePoint aNow,
              const ZoneName& aZone);

/** Returns whether aNode failed to connect to a target within kUnreachableTime.
 * Pure. */
bool
IsUnreachableFrom(const PooledTarget& aTarget,
                  TimePoint aNow,
                  const NodeId& aNode);

/** Returns the number of slots of the usable targets: those that are neither
 * leaving, draining, ejected nor on trial. */
unsigned
UsableSlots(const TargetPool& aPool, TimePoint aNow);

/** Returns the number of slots of the usable targets that requests may use. See
 * OpenSlotsOf. */
unsigned
OpenSlots(const TargetPool& aPool, TimePoint aNow);

/** Returns the requests per second that the usable targets can serve if each
 * takes aSlotTime of a slot: a target with a limit serves no more than that.
 * Precondition: aSlotTime is positive. */
double
ServiceRate(const TargetPool& aPool, TimePoint aNow, Duration aSlotTime);

/** Returns the number of targets that state a limit. */
std::size_t
CountLimitedTargets(const TargetPool& aPool);

/** Returns the number of targets that state that they are leaving. */
std::size_t
CountLeavingTargets(const TargetPool& aPool);

/** Returns the number of targets that accept no requests from some node. */
std::size_t
CountPausedTargets(const TargetPool& aPool, TimePoint aNow);

/** Returns whether a target has asked aNode to pause. Pure. */
bool
IsPausedFor(const PooledTarget& aTarget, TimePoint aNow, const NodeId& aNode);

/** Returns whether every usable target has asked aNode to pause until aUntil or
 * longer. */
bool
AreAllPausedFor(const TargetPool& aPool,
                TimePoint aNow,
                const NodeId& aNode,
                TimePoint aUntil);

/** Applies what a target stated in its answer to a request that aNode sent at
 * aSentAt. Returns the changes made. */
std::vector<PoolChange>
RecordStatements(TargetPool& aPool,
                 TimePoint aNow,
                 const TargetId& aTarget,
                 const NodeId& aNode,
                 TimePoint aSentAt,
                 const TargetStatements& aStatements);

/** Returns the targets that are ejected, on trial or draining. Leaving targets
 * are not included. */
std::vector<TargetId>
TargetsOutOfUse(const TargetPool& aPool, TimePoint aNow);

/** Returns the number of slots in use by long work. */
unsigned
BusyLongSlots(const TargetPool& aPool);

/** Returns the number of slots in use by short work. */
unsigned
BusyShortSlots(const TargetPool& aPool);

/** Returns whether any usable target is not penalized. */
bool
HasUnpenalizedTarget(const TargetPool& aPool, TimePoint aNow);

/** Records that aNode failed to connect to a target. If another node has failed
 * to connect as well, without a success since, the target is penalized. */
void
RecordUnreachable(TargetPool& aPool,
                  TimePoint aNow,
                  const TargetId& aTarget,
                  const NodeId& aNode);

/** Records an observation of a target from aZone and acts on the evidence:
 * ejects the target, avoids the path from one zone, or ends the target's trial.
 * Never reduces usable capacity below the floor. Returns the changes made. */
std::vector<PoolChange>
RecordObservation(TargetPool& aPool,
                  TimePoint aNow,
                  const TargetId& aTarget,
                  const ZoneName& aZone,
                  const Observation& aObservation);

/** Like RecordObservation, for a request that has had no answer for a multiple
 * of its expected time. */
std::vector<PoolChange>
RecordStalledRequest(TargetPool& aPool,
                     TimePoint aNow,
                     const TargetId& aTarget,
                     const ZoneName& aZone);

/** Removes leaving targets without busy slots, starts trials that are due,
 * updates mBaseFailureRate, and returns targets to
 * service where usable capacity is below the floor. Returns the changes made.
 */
std::vector<PoolChange>
PoolTick(TargetPool& aPool, TimePoint aNow);

} // namespace vanillascale

#endif
