#ifndef VANILLASCALE_SCHEDULER_H
#define VANILLASCALE_SCHEDULER_H

#include "AccountLimits.h"
#include "AccountQuota.h"
#include "Document.h"
#include "Effects.h"
#include "HarmfulRequests.h"
#include "HedgePolicy.h"
#include "LeaseQueue.h"
#include "TargetPool.h"

#include <map>
#include <memory>
#include <unordered_map>

namespace vanillascale {

/** A lease that is not returned expires this time after the deadline of its
 * request. The proxy enforces the deadline, and its report needs time to
 * arrive. */
constexpr Duration kLeaseExpiryMargin = std::chrono::seconds(1);

/** A slot that has been granted to a proxy and not returned. */
struct ActiveLease
{
  /** The proxy that holds the lease. */
  NodeId mHolder;
  ZoneName mZone;
  TargetId mTarget;
  RequestId mRequest = 0;
  std::uint32_t mRoute = 0;
  /** The end of the target list at the grant. */
  StorePosition mTargetListEnd{};
  bool mIsLong = false;
  bool mIsIdempotent = true;
  bool mIsRetry = false;
  std::uint8_t mPriority = 1;
  /** The slot time that was charged to its priority at the grant. */
  Duration mChargedTime{ 0 };
  std::uint64_t mFingerprint = 0;
  /** The account whose quota the request took a token of; 0 if none. */
  std::uint64_t mAccount = 0;
  TimePoint mGrantedAt{};
  /** When the slot becomes free if the lease is not returned. */
  TimePoint mExpiresAt{};
  /** Whether the holder was asked if it still has the lease. */
  bool mIsQueried = false;
  TimePoint mQueriedAt{};
  /** Whether the target has been credited with the arrival of the request. */
  bool mHasArrived = false;
  /** Whether a slow observation of the target was recorded for the lease. */
  bool mHasSlowObservation = false;
  /** Whether the target was penalized for a slow request of this lease. */
  bool mHasSlowPenalty = false;
  /** How many times the request was recorded as stalled. */
  unsigned mStallCount = 0;
  /** Whether the request may be sent to a second target. */
  bool mMayBeHedged = false;
  /** Whether the request was counted as overdue, and as denied a hedge. */
  bool mIsOverdue = false;
  bool mIsHedgeDenied = false;
  /** The lease of the request's other send; 0 if there is none. */
  LeaseId mOtherLease = 0;
  /** Whether it is the lease of a hedge. */
  bool mIsHedge = false;
  /** Of a hedge: the first send was answered. */
  bool mIsFirstAnswered = false;
};

/** What a scheduler knows for hedged requests; empty if the service has no
 * hedge budget. */
struct HedgeState
{
  /** By route; at most kMaxHedgeRoutes. */
  std::unordered_map<std::uint32_t, RouteWork> mWork;
  /** The routes with a budget lower than the service's, by their hashes, with
   * the tokens of each. */
  std::unordered_map<std::uint32_t, unsigned> mRoutePercents;
  std::unordered_map<std::uint32_t, HedgeTokens> mRouteTokens;
  /** The version of the document that mRoutePercents is of. */
  std::optional<StorePosition> mRoutesVersion;
  HedgeTokens mTokens;
  /** Overdue requests, and late ones among the reported, by the zone of their
   * target. */
  std::map<ZoneName, DecayingShare> mOverdue;
  std::map<ZoneName, DecayingShare> mLate;
  /** Requests that targets refused. */
  DecayingShare mRefused;
  /** Monotonic counters for the metrics. */
  std::uint64_t mOffered = 0;
  std::array<std::uint64_t, kHedgeDenials> mDenied{};
};

/** A proxy that uses the scheduler. */
struct SchedulerClient
{
  ZoneName mZone;
  /** When it last sent a LeaseRequest or a LeaseSync. */
  TimePoint mLastMessageAt{};
  /** When the last TargetView was sent to it. */
  TimePoint mViewSentAt{};
};

/** Monotonic counters for the metrics. */
struct SchedulerCounters
{
  std::uint64_t mGrants = 0;
  /** Grants at targets that had no free slot; the request queues there. */
  std::uint64_t mOvercommittedGrants = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mExpired = 0;
  /** Indexed by RefusalReason. */
  std::array<std::uint64_t, 6> mRefusals{};
};

/** The state of one service's scheduler: the queue, the slots and the evidence
 * about the targets. It is soft state and may be lost at any time. Safety does
 * not depend on a scheduler existing, nor on there being only one. */
struct SchedulerState
{
  ServiceName mService;
  NodeId mSelf;
  /** The upper half of each lease ID; differs between schedulers. */
  std::uint64_t mEpoch = 0;
  /** The number of leases granted; the lower half of the next lease ID. */
  std::uint64_t mLeaseCount = 0;
  /** No slot is granted before this time, so that proxies can first report the
   * leases that they hold. */
  TimePoint mGrantsStartAt{};
  /** When any proxy last sent a LeaseRequest or a LeaseSync. */
  TimePoint mLastClientMessageAt{};
  TargetPool mPool;
  /** The end of the target list that mPool was last updated from. */
  StorePosition mTargetListEnd{};
  /** Targets that proxies with newer lists have declined, with the end of the
   * newest of these lists. */
  std::map<TargetId, StorePosition> mDeclinedAt;
  LeaseQueue mQueue;
  std::unordered_map<LeaseId, ActiveLease> mLeases;
  /** Leases by holder and request; a repeated request gets the same lease. */
  std::map<std::pair<NodeId, RequestId>, LeaseId> mLeaseByRequest;
  /** Latency baselines by route. */
  std::unordered_map<std::uint32_t, LatencyBaseline> mBaselines;
  AccountLimits mAccounts;
  /** The node's spending from the quotas of accounts; null if there are none.
   */
  std::shared_ptr<QuotaSpender> mQuota;
  HarmfulRequests mHarmful;
  std::map<NodeId, SchedulerClient> mClients;
  /** Exponentially decaying counts of the requests that were served and that
   * were not, as of mRecentUpdatedAt. */
  double mRecentServed = 0;
  double mRecentUnserved = 0;
  TimePoint mRecentUpdatedAt{};
  /** The smoothed interarrival time of requests. */
  Duration mMeanInterarrivalTime{ 0 };
  /** When the last request arrived. */
  TimePoint mArrivedAt{};
  /** Tokens of the retry budget. A retry takes one; each grant to a request
   * that is not a retry adds the service's retry percentage of one. */
  double mRetryTokens = 0;
  /** The smoothed number of slots that short requests need. */
  double mShortDemand = 0;
  /** The smoothed latency of short requests; 0 before the first sample. */
  Duration mMeanShortLatency{ 0 };
  TimePoint mNextScanAt{};
  HedgeState mHedges;
  SchedulerCounters mCounters;

  /** Returns the initial state of a service's scheduler. Precondition: aEpoch
   * differs from that of every other scheduler of the service whose leases may
   * still be in use. */
  static SchedulerState Make(ServiceName aService,
                             NodeId aSelf,
                             std::uint32_t aEpoch,
                             TimePoint aNow);
};

/** Handles a request for a slot: grants, queues or refuses it. A repeat
 * of a granted or queued request is answered without being counted again.
 * Precondition: aSettings is the service's entry of the document in force. */
void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseRequest& aRequest,
                 Effects& aEffects);

/** Handles the return of a lease: records the outcome of its request and grants
 * the slot to a queued request. Ignores a report of an unknown lease, or from a
 * proxy that does not hold the lease. */
void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const Service& aSettings,
                 const NodeId& aFrom,
                 const LeaseReport& aReport,
                 Effects& aEffects);

/** Removes a request from the queue, or ends its lease if it was granted. The
 * proxy must not use a lease of a withdrawn request. */
void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const NodeId& aFrom,
                 const LeaseWithdrawal& aWithdrawal);

/** Adds leases that another scheduler granted, and what targets stated, as
 * their holder reports them. Skips those of unknown targets. */
void
SchedulerReceive(SchedulerState& aState,
                 TimePoint aNow,
                 const NodeId& aFrom,
                 const ZoneName& aZone,
                 const LeaseSync& aSync,
                 Effects& aEffects);

/** Performs the periodic work: refuses requests that have waited too long, ends
 * expired leases, records slow and stalled requests against their targets and
 * grants free slots. */
void
SchedulerTick(SchedulerState& aState,
              TimePoint aNow,
              const Service& aSettings,
              Effects& aEffects);

/** Ends the leases and removes the queued requests of a proxy that has died. */
void
RemoveProxy(SchedulerState& aState, const NodeId& aNode);

/** Removes a lease, frees its slot and returns the removed lease.
 * Precondition: aIt is an entry of aState.mLeases. */
ActiveLease
EndLease(SchedulerState& aState,
         std::unordered_map<LeaseId, ActiveLease>::iterator aIt);

} // namespace vanillascale

#endif
