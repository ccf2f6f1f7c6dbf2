#ifndef VANILLASCALE_PROXY_H
#define VANILLASCALE_PROXY_H

#include "AccountQuota.h"
#include "AnswerCache.h"
#include "ConfigFold.h"
#include "LatencyHistogram.h"
#include "LocalBalancer.h"
#include "Membership.h"
#include "WeightedRoundRobin.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace vanillascale {

/** Stage of a caller's request. */
enum class RequestStage
{
  /** The write of its intent to the log is pending. */
  AwaitingIntent,
  /** Another proxy owns its key and is queried for the answer. */
  AwaitingCachedAnswer,
  /** It waits for a lease. */
  AwaitingLease,
  /** It was sent to a target; the result is pending. */
  Sent,
  /** The revocation of its intent is pending. The caller can be told "not run"
   * only once the revocation is in the log. */
  RevokingIntent
};

/** The second send of a request that is in progress at two targets. */
struct HedgeSend
{
  LeaseId mLease = 0;
  TargetId mTarget;
  TimePoint mSentAt{};
  bool mIsHedge = true;
};

/** State of a caller's request, from its arrival to its answer. */
struct ProxyRequest
{
  RequestId mId = 0;
  /** The id by which other nodes know it; see PeerRequestId.h. */
  RequestId mPeerId = 0;
  /** The caller's id of the request, for the log. */
  std::string mName;
  ServiceName mService;
  RouteName mRouteName;
  /** Hash of the route's name, as schedulers identify routes. */
  std::uint32_t mRoute = 0;
  std::uint8_t mPriority = 1;
  bool mIsLong = false;
  bool mIsIdempotent = true;
  /** Its intent must win its key in the log before it is sent. */
  bool mNeedsIntent = false;
  /** Maximum number of sends to targets. */
  unsigned mAttempts = 3;
  /** Time since arrival within which an answer has its full value; 0 where the
   * route states no goal. */
  Duration mGoal{ 0 };
  TimePoint mReceivedAt{};
  bool mIsFirstAttempt = false;
  RequestKey mKey;
  /** Hash of method, host, path and body. */
  std::uint64_t mFingerprint = 0;
  /** Id of the client account; 0 where the request has none. */
  std::uint64_t mAccount = 0;
  /** A token of the account's quota was claimed for it. */
  bool mHasClaimedQuota = false;
  /** See SendToTarget. */
  std::optional<AccountName> mAccountName;
  TimePoint mDeadlineAt{};
  RequestStage mStage = RequestStage::AwaitingLease;
  /** The node that was sent the current stage's last message, and the time of
   * that message. */
  NodeId mQueriedNode;
  TimePoint mQueriedAt{};
  TimePoint mStageStartedAt{};
  /** The queried scheduler has confirmed that the request is in its queue. */
  bool mIsQueued = false;
  /** Whether the target was chosen locally because the scheduler did not
   * answer. */
  bool mIsLocal = false;
  LeaseId mLease = 0;
  TargetId mTarget;
  TimePoint mSentAt{};
  /** Number of sends that reached a target, as far as is known. */
  unsigned mSends = 0;
  unsigned mFailedConnects = 0;
  /** A target may have run it, so the caller must not be told "not run". */
  bool mMayHaveRun = false;
  bool mIsRetry = false;
  /** The target of the latest failed send, which the next send must not use. */
  TargetId mAvoidedTarget;
  /** The lease of the latest finished send. It has been reported to the
   * scheduler, so a repeated grant of it must not be used. */
  LeaseId mReportedLease = 0;
  /** A target's 5xx answer. It is passed to the caller if the request can't be
   * sent to another target. */
  std::shared_ptr<const Answer> mServerErrorAnswer;
  /** The log may hold an intent of this request. */
  bool mIsIntentRequested = false;
  /** Intent requests were sent to more than one writer. */
  bool mHasMultipleIntentWriters = false;
  /** The winner of the key, where another intent won it. */
  IntentOwner mKeyOwner;
  /** The second of two sends in progress. mLease, mTarget and mSentAt are of
   * the other one, and mIsHedge tells whether that is the hedge: it is once the
   * first send has failed. */
  std::optional<HedgeSend> mSecondSend;
  bool mIsHedge = false;
  /** When its hedge was sent. There is no other one. */
  std::optional<TimePoint> mHedgedAt;
  /** The verdict for the caller once the intent is revoked. */
  Verdict mPendingVerdict;
  bool mIsCallerGone = false;
};

/** State of the connection to one service's scheduler. */
struct SchedulerLink
{
  NodeId mScheduler;
  /** Version of the member list from which mScheduler was picked. */
  std::uint64_t mMembersVersion = 0;
  /** Schedulers that did not answer in time, and when their exclusion ends. */
  std::map<NodeId, TimePoint> mExcludedUntil;
  /** When the scheduler must be picked again because an exclusion ends. */
  TimePoint mNextExclusionEndsAt = TimePoint::max();
  /** Arrival of the scheduler's last message, or the time of its pick. */
  TimePoint mLastMessageAt{};
  /** No scheduler answers, so targets are chosen locally. */
  bool mIsInFallback = false;
  TimePoint mNextProbeAt{};
  LocalBalancer mLocalChoice;
  /** Retry budget in fallback: a retry that is sent locally costs 1. */
  double mRetryTokens = 0;
};

/** Monotonic counters for the metrics. */
struct ProxyCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mSends = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mFallbackSends = 0;
  /** Grants of requests that have ended or are of an earlier process. */
  std::uint64_t mUnmatchedGrants = 0;
  /** Grants of targets that had stated that they accept no request, or that are
   * leaving or gone by this node's target list. */
  std::uint64_t mDeclinedGrants = 0;
  /** Hedges that were sent, that were answered first, and whose first send was
   * answered first or that failed. */
  std::uint64_t mHedges = 0;
  std::uint64_t mHedgesWon = 0;
  std::uint64_t mHedgesWasted = 0;
  /** Offers of second leases that were returned unused. */
  std::uint64_t mHedgesDeclined = 0;
  /** From a request's arrival to its answer, indexed by RunOutcome. */
  std::array<LatencyHistogram, 3> mDurations{};
  /** From the start of the wait for a lease to the send. */
  LatencyHistogram mSlotWait;
  /** From each send to its result. */
  LatencyHistogram mTargetTime;
};

/** An intent that still has to be revoked after its caller was answered or has
 * disconnected. */
struct AbandonedIntent
{
  RequestKey mKey;
  TimePoint mNextRequestAt{};
  TimePoint mGiveUpAt{};
};

/** A send that lost against the request's other one and was cancelled. Its
 * lease is returned when it has ended: until then it may still use the slot. */
struct CancelledSend
{
  ServiceName mService;
  HedgeSend mSend;
  TimePoint mDeadlineAt{};
};

/** State of one proxy: its requests, scheduler links and cached answers. */
struct ProxyState
{
  NodeId mSelf;
  std::uint64_t mIncarnation = 0;
  std::string mEnvironment;
  std::unordered_map<RequestId, ProxyRequest> mRequests;
  /** The running request of each key, so that a query for the answer of a key
   * can be answered with "running". */
  std::unordered_map<RequestKey, RequestId> mRunningKeys;
  std::map<ServiceName, SchedulerLink> mSchedulerLinks;
  std::unordered_map<RouteName, WeightedRoundRobin> mRouteSpreads;
  /** By the ids by which other nodes know the requests. */
  std::map<RequestId, AbandonedIntent> mAbandonedIntents;
  /** By request and whether it is the hedge. */
  std::map<std::pair<RequestId, bool>, CancelledSend> mCancelledSends;
  AnswerCache mAnswerCache;
  ProxyCounters mCounters;
  /** Targets are always chosen locally and no scheduler is queried. */
  bool mChoosesLocally = false;

  /** Returns the initial state of a process. aIncarnation must differ from that
   * of every earlier process with the same id. */
  static ProxyState Make(NodeId aSelf,
                         std::uint64_t aIncarnation,
                         std::string aEnvironment);
};

/** Which new requests a proxy accepts. */
enum class ShutdownAdmission
{
  All,
  /** Those whose deadlines end before ProxyContext::mMustEndBy. */
  IfDeadlineFits,
  None
};

/** Inputs to the proxy's decisions besides its own state. */
struct ProxyContext
{
  TimePoint mNow{};
  const MembershipState& mMembers;
  const ConfigState& mConfig;
  const VmsByKey& mVms;
  /** The end of the node's target list; 0 if the platform's lists have no
   * offsets. */
  StorePosition mTargetListEnd{};
  Random& mRandom;
  Effects& mEffects;
  /** Which new requests are rejected because of a shutdown. */
  ShutdownAdmission mAdmission = ShutdownAdmission::All;
  /** Every request has to be answered before this time, at which the process is
   * about to be terminated. */
  TimePoint mMustEndBy = TimePoint::max();
  /** The node's spending from the quotas of accounts, for requests that are
   * sent without a scheduler; null if there are none. */
  QuotaSpender* mQuota = nullptr;
};

/** Moves the deadlines of all requests that end after aMustEndBy to that time,
 * so that they are answered before the process is terminated. */
void
LimitDeadlines(ProxyState& aState, TimePoint aMustEndBy);

/** Accepts or rejects a caller's request. An accepted request is started with
 * an intent request or a lease request. */
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const CallerRequest& aRequest);

/** Handles the disconnect of a request's caller. A request that was sent to a
 * target stays until its result arrives, and is cancelled at the target if it
 * is idempotent. Any other request ends at once: its lease request is withdrawn
 * and its intent is revoked. */
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const CallerDisconnected& aGone);

/** Handles the result of a send: passes on the answer, retries the request, or
 * ends it with the outcome that is certain. */
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const TargetRequestEnded& aEnded);

/** Handle the messages of schedulers, intent writers and other proxies. */
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseGrant& aGrant);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseRefusal& aRefusal);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseQueued& aQueued);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const LeaseQuery& aQuery);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const HedgeOffer& aOffer);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const TargetView& aView);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const IntentDecision& aDecision);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const CachedAnswerQuery& aQuery);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const CachedAnswerReply& aReply);

/** Ends requests whose deadline has passed, whose maximum local wait is over or
 * whose key's owner is dead. Then repeats unanswered messages and enters
 * fallback for services whose scheduler timed out. Called periodically. */
void
ProxyTick(ProxyState& aState, const ProxyContext& aContext);

/** Replaces the local targets of all services. */
void
UpdateServiceTargets(ProxyState& aState,
                     const ConfigState& aConfig,
                     const VmsByKey& aVms);

/** Updates the local targets of the services that use a VM: aOld is the VM as
 * it was listed before, aNew as it is listed now. */
void
UpdateServiceTarget(ProxyState& aState,
                    const ConfigState& aConfig,
                    const std::optional<Vm>& aOld,
                    const std::optional<Vm>& aNew);

} // namespace vanillascale

#endif
