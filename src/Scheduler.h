#ifndef VANILLASCALE_SCHEDULER_H
#define VANILLASCALE_SCHEDULER_H

#include "AccountLimits.h"
#include "Document.h"
#include "Effects.h"
#include "HarmfulRequests.h"
#include "LeaseQueue.h"
#include "TargetPool.h"

#include <map>
#include <unordered_map>

namespace vanillascale {

/** How long after its request's deadline a slot that nobody returned counts as
 * taken: the deadline is kept by the proxy, whose report takes a moment. */
constexpr Duration kLeaseExpiryMargin = std::chrono::seconds(1);

/** A slot that is lent out. */
struct ActiveLease
{
  NodeId mHolder;
  ZoneName mZone;
  TargetId mTarget;
  RequestId mRequest = 0;
  std::uint32_t mRoute = 0;
  bool mIsLong = false;
  std::uint8_t mPriority = 1;
  /** The slot time that was settled at the grant. */
  Duration mChargedTime{ 0 };
  std::uint64_t mFingerprint = 0;
  TimePoint mGrantedAt{};
  /** When the slot counts as free again though nobody returned it. */
  TimePoint mExpiresAt{};
  /** Its holder was asked whether it still has it. */
  bool mIsQueried = false;
  TimePoint mQueriedAt{};
  /** It was held against the target that it is slow. */
  bool mHasSlowObservation = false;
  /** It took so long that its target is doubted for it. */
  bool mHasReducedTrust = false;
  /** How often its silence was held against the target. */
  unsigned mNoResponseCount = 0;
};

/** A proxy that uses the scheduler. */
struct SchedulerClient
{
  ZoneName mZone;
  TimePoint mLastMessageAt{};
  /** When it was last told which targets are out of use. */
  TimePoint mViewSentAt{};
};

/** Counts for the metrics; they only rise. */
struct SchedulerCounters
{
  std::uint64_t mGrants = 0;
  std::uint64_t mOvercommittedGrants = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mExpired = 0;
  std::array<std::uint64_t, 6> mRefusals{};
};

/** One service's scheduler: the queue, the slots and the evidence in one place.
 * It is soft state that may vanish at any time; nothing of safety rests on
 * there being one, or only one. */
struct SchedulerState
{
  ServiceName mService;
  NodeId mSelf;
  std::uint64_t mEpoch = 0;
  std::uint64_t mLeaseCount = 0;
  /** It only listens until then, so that proxies can report what they hold. */
  TimePoint mGrantsStartAt{};
  TimePoint mLastClientMessageAt{};
  TargetPool mPool;
  LeaseQueue mQueue;
  std::unordered_map<LeaseId, ActiveLease> mLeases;
  /** Leases by holder and request, to answer a repeated request. */
  std::map<std::pair<NodeId, RequestId>, LeaseId> mLeaseByRequest;
  std::unordered_map<std::uint32_t, LatencyBaseline> mBaselines;
  AccountLimits mAccounts;
  HarmfulRequests mHarmful;
  std::map<NodeId, SchedulerClient> mClients;
  /** Requests that were served and that were not, lately; they halve with time.
   */
  double mRecentServed = 0;
  double mRecentUnserved = 0;
  TimePoint mRecentUpdatedAt{};
  /** The smoothed time between requests. */
  Duration mMeanInterarrivalTime{ 0 };
  TimePoint mArrivedAt{};
  /** Sends that may be repeated, as a share of fresh ones. */
  double mRetryTokens = 0;
  /** Slots that short work was seen to need, smoothed. */
  double mShortDemand = 0;
  Duration mMeanShortLatency{ 0 };
  TimePoint mNextScanAt{};
  SchedulerCounters mCounters;

  /** Makes the scheduler of a service. aEpoch must differ from that of every
   * other scheduler of the service that may have leases out. */
  static SchedulerState Make(ServiceName aService,
                             NodeId aSelf,
                             std::uint32_t aEpoch,
                             TimePoint aNow);
};

/** Takes in a request for a slot: grants, queues or refuses it.
 * Precondition: aSettings is the service's entry of the document in force. */
void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseRequest& aRequest,
                 Effects& aEffects);

/** Takes back a lease, learns from how its request ended, and lends the slot
 * again. */
void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 const NodeId& aFrom,
                 const LeaseReport& aReport,
                 Effects& aEffects);

/** Drops a request that its proxy no longer needs a slot for, waiting or
 * granted. The proxy must not use a lease of it afterwards. */
void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const NodeId& aFrom,
                 const LeaseWithdrawal& aWithdrawal);

/** Takes over leases that an earlier scheduler granted. */
void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseSync& aSync);

/** Refuses what has waited too long, expires leases, counts silent requests
 * against their targets and lends what has become free. */
void
SchedulerTick(SchedulerState& aState,
              TimePoint aNow,
              const Service& aSettings,
              Effects& aEffects);

/** Gives up the leases and requests of a proxy that has died. */
void
RemoveProxy(SchedulerState& aState, const NodeId& aNode);

/** Frees the slot of a lease and returns what it was. Precondition: aIt is an
 * entry of aState.mLeases. */
ActiveLease
EndLease(SchedulerState& aState,
         std::unordered_map<LeaseId, ActiveLease>::iterator aIt);

} // namespace vanillascale

#endif
