#ifndef VANILLASCALE_PROXY_H
#define VANILLASCALE_PROXY_H

#include "ConfigFold.h"
#include "KeptAnswers.h"
#include "LatencyHistogram.h"
#include "LocalChoice.h"
#include "Membership.h"
#include "WeightedSpread.h"

#include <array>
#include <map>
#include <set>
#include <unordered_map>

namespace vanillascale {

/** Where a caller's request stands. */
enum class RequestStage
{
  /** Its intent is on the way into the log. */
  AwaitingIntent,
  /** Another proxy owns its key and is asked for the answer. */
  AwaitingKeptAnswer,
  /** It waits for a slot. */
  AwaitingLease,
  /** It is at a target. */
  Sent,
  /** Its intent is being ended, so that "not run" can be said. */
  EndingIntent
};

/** A caller's request, from its arrival to its answer. */
struct ProxyRequest
{
  RequestId mId = 0;
  /** The caller's own id, for the log. */
  std::string mName;
  ServiceName mService;
  RouteName mRouteName;
  std::uint32_t mRoute = 0;
  std::uint8_t mPriority = 1;
  bool mIsLong = false;
  bool mIsIdempotent = true;
  /** Its key has to be won in the log before it is sent. */
  bool mNeedsIntent = false;
  /** Targets to which it may be sent. */
  unsigned mAttempts = 3;
  /** The time within which an answer is of full use. */
  Duration mGoal{ 0 };
  TimePoint mReceivedAt{};
  bool mIsFirstAttempt = false;
  RequestKey mKey;
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAccount = 0;
  TimePoint mDeadlineAt{};
  RequestStage mStage = RequestStage::AwaitingLease;
  /** Whom the current stage's question went to, and when. */
  NodeId mAskedNode;
  TimePoint mAskedAt{};
  TimePoint mStageSince{};
  /** The scheduler that was asked has said that the request waits there. */
  bool mIsQueued = false;
  /** Its scheduler did not answer, so a slot is chosen locally. */
  bool mIsLocal = false;
  LeaseId mLease = 0;
  TargetId mTarget;
  TimePoint mSentAt{};
  /** Sends that reached a target, as far as is known. */
  unsigned mSends = 0;
  unsigned mFailedConnects = 0;
  /** A target may have run it: "not run" can't be said any more. */
  bool mMayHaveRun = false;
  bool mIsRetry = false;
  TargetId mAvoid;
  /** The lease of the latest send, which is reported and must not come again.
   */
  LeaseId mEndedLease = 0;
  /** A server error, passed on if no other target can be tried. */
  std::shared_ptr<const Answer> mErrorAnswer;
  bool mIsIntentAsked = false;
  /** More than one writer was asked to write the intent. */
  bool mIsIntentAskedTwice = false;
  IntentOwner mKeyOwner;
  /** What the caller is told once the intent is ended. */
  Verdict mFinalVerdict;
  bool mIsCallerGone = false;
};

/** How the proxy stands with one service's scheduler. */
struct SchedulerLink
{
  NodeId mScheduler;
  std::uint64_t mMembersVersion = 0;
  /** Schedulers that did not answer are passed over until then. */
  std::map<NodeId, TimePoint> mPassedOver;
  TimePoint mPassOverEndsAt = TimePoint::max();
  TimePoint mHeardAt{};
  /** No scheduler answers: targets are chosen locally. */
  bool mIsFallback = false;
  TimePoint mNextProbeAt{};
  LocalChoice mLocal;
  double mRetryTokens = 0;
};

/** Counts for the metrics; they only rise. */
struct ProxyCounters
{
  std::uint64_t mRequests = 0;
  std::uint64_t mAnswered = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mSends = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mFallbackSends = 0;
  std::uint64_t mExpiredGrants = 0;
  /** From a request's arrival to its answer, by RunOutcome. */
  std::array<LatencyHistogram, 3> mDurations{};
  /** From the question for a slot to the send. */
  LatencyHistogram mSlotWait;
  /** From each send to its end. */
  LatencyHistogram mTargetTime;
};

/** An intent that nobody waits for any more and that is to be ended. */
struct AbandonedIntent
{
  RequestKey mKey;
  TimePoint mNextAskAt{};
  TimePoint mGiveUpAt{};
};

/** One proxy's requests. */
struct ProxyState
{
  NodeId mSelf;
  std::uint64_t mIncarnation = 0;
  std::string mEnvironment;
  std::unordered_map<RequestId, ProxyRequest> mRequests;
  /** Requests that own their key, for resends that come to this proxy. */
  std::unordered_map<RequestKey, RequestId> mRunningKeys;
  std::map<ServiceName, SchedulerLink> mLinks;
  std::unordered_map<RouteName, WeightedSpread> mSpreads;
  std::map<RequestId, AbandonedIntent> mAbandoned;
  KeptAnswers mKept;
  ProxyCounters mCounters;
  /** Targets are always chosen locally and no scheduler is asked. */
  bool mChoosesAlone = false;

  /** Makes the state of a process. aIncarnation differs from that of every
   * earlier process with the same id. */
  static ProxyState Make(NodeId aSelf,
                         std::uint64_t aIncarnation,
                         std::string aEnvironment);
};

/** What the proxy's decisions rest on beside its own state. */
struct ProxyContext
{
  TimePoint mNow{};
  const MembershipState& mMembers;
  const ConfigState& mConfig;
  const std::vector<Vm>& mVms;
  Random& mRandom;
  Effects& mEffects;
  /** The process will end before new requests could. */
  bool mRefusesNew = false;
};

/** Takes in a caller's request and starts it on its way. */
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const CallerRequest& aRequest);

/** Gives up a request whose caller has gone, as far as that is safe. */
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const CallerGone& aGone);

/** Takes in how a sent request ended: answers, retries or says what is known.
 */
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const TargetEnded& aEnded);

/** Takes in the messages of schedulers, intent writers and other proxies. */
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
             const KeptAnswerQuery& aQuery);
void
ProxyReceive(ProxyState& aState,
             const ProxyContext& aContext,
             const NodeId& aFrom,
             const KeptAnswerReply& aReply);

/** Asks again what was not answered, turns to local choice where a scheduler is
 * silent, and ends requests whose deadline has passed. */
void
ProxyTick(ProxyState& aState, const ProxyContext& aContext);

/** Takes over a new VM list for the services that this proxy has used. */
void
SeedLocalTargets(ProxyState& aState,
                 const ConfigState& aConfig,
                 const std::vector<Vm>& aVms);

} // namespace vanillascale

#endif
