#ifndef VANILLASCALE_MESSAGES_H
#define VANILLASCALE_MESSAGES_H

#include "Clock.h"
#include "FeedMessages.h"
#include "Ids.h"
#include "MsgpackTypes.h"
#include "TargetStatements.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace vanillascale {

/** Membership status of a node. Of two updates with the same incarnation, the
 * one with the higher enumerator takes precedence. */
enum class MemberStatus : std::uint8_t
{
  Alive,
  Suspect,
  Leaving,
  Dead
};

/** A membership update about one node, piggybacked on probes and their
 * answers. */
struct MemberUpdate
{
  NodeId mNode;
  ZoneName mZone;
  std::uint64_t mIncarnation = 0;
  MemberStatus mStatus = MemberStatus::Alive;
  /** CPU share of the node's VM, in percent of one core; 0 if unknown. */
  unsigned mCorePercent = 0;
  MSGPACK_DEFINE(mNode, mZone, mIncarnation, mStatus, mCorePercent)
};

/** Probes a member for liveness. mConfigOffset is the highest offset of the
 * configuration stream that the sender knows to exist. */
struct Ping
{
  std::uint64_t mSequence = 0;
  LogOffset mConfigOffset = 0;
  std::vector<MemberUpdate> mUpdates;
  MSGPACK_DEFINE(mSequence, mConfigOffset, mUpdates)
};

/** Answers a Ping, or relays the answer of the member mSubject. */
struct PingAck
{
  std::uint64_t mSequence = 0;
  LogOffset mConfigOffset = 0;
  NodeId mSubject;
  std::vector<MemberUpdate> mUpdates;
  MSGPACK_DEFINE(mSequence, mConfigOffset, mSubject, mUpdates)
};

/** Asks another member to ping mSubject on behalf of the sender. */
struct PingRequest
{
  std::uint64_t mSequence = 0;
  NodeId mSubject;
  MSGPACK_DEFINE(mSequence, mSubject)
};

/** Requests a slot from the scheduler of a service. The sender and mRequest
 * identify a repeated request. mRequest, here and in all other messages about a
 * request, differs from the ids that earlier processes of the node used. */
struct LeaseRequest
{
  ServiceName mService;
  RequestId mRequest = 0;
  std::uint32_t mRoute = 0;
  std::uint8_t mPriority = 1;
  bool mIsLong = false;
  bool mIsIdempotent = true;
  bool mIsRetry = false;
  /** Time left until the deadline when the message is sent. */
  Duration mDeadline{ 0 };
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAccount = 0;
  /** Target that must not be granted; empty if every target is allowed. */
  TargetId mAvoidedTarget;
  /** Time left until the route's latency goal when the message is sent; 0 if
   * the route has none. */
  Duration mGoal{ 0 };
  /** Request id chosen by the caller, written to the log. */
  std::string mName;
  MSGPACK_DEFINE(mService,
                 mRequest,
                 mRoute,
                 mPriority,
                 mIsLong,
                 mIsIdempotent,
                 mIsRetry,
                 mDeadline,
                 mFingerprint,
                 mAccount,
                 mAvoidedTarget,
                 mGoal,
                 mName)
};

/** Confirms that a repeated LeaseRequest is known and still queued. */
struct LeaseQueued
{
  RequestId mRequest = 0;
  MSGPACK_DEFINE(mRequest)
};

/** Grants one slot of mTarget to one request, which must be sent within
 * mSendWithin of the arrival of this message. */
struct LeaseGrant
{
  RequestId mRequest = 0;
  LeaseId mLease = 0;
  TargetId mTarget;
  Duration mSendWithin{ 0 };
  /** The end of the scheduler's target list at the grant; the first position if
   * the platform's lists have none. */
  StorePosition mTargetListEnd{};
  MSGPACK_DEFINE(mRequest,
                 mLease,
                 mTarget,
                 mSendWithin,
                 mTargetListEnd.mOffset,
                 mTargetListEnd.mEra)
};

/** Why a LeaseRequest was refused. */
enum class RefusalReason : std::uint8_t
{
  Overload,
  DeadlineTooShort,
  AccountLimit,
  HarmfulRequest,
  RetryBudget,
  NoTarget
};

/** Refuses a LeaseRequest. */
struct LeaseRefusal
{
  RequestId mRequest = 0;
  RefusalReason mReason = RefusalReason::Overload;
  /** With AccountLimit: the time until the account has a token; 0 if unknown.
   */
  Duration mRetryAfter{ 0 };
  MSGPACK_DEFINE(mRequest, mReason, mRetryAfter)
};

/** Withdraws a LeaseRequest whose caller no longer waits for an answer. */
struct LeaseWithdrawal
{
  ServiceName mService;
  RequestId mRequest = 0;
  /** The request is sent without a lease, so that the token of its account
   * stays taken. */
  bool mKeepsToken = false;
  MSGPACK_DEFINE(mService, mRequest, mKeepsToken)
};

/** Outcome of a request that was assigned to a target. */
enum class TargetOutcome : std::uint8_t
{
  /** Complete answer with a status below 500. */
  Answered,
  /** Complete answer with a status of 500 or above. */
  ServerError,
  /** The target reported that it did not run the request. */
  Shed,
  /** Like Shed, because the target is draining. */
  Draining,
  /** The connection could not be opened; the request was not sent. */
  ConnectFailed,
  /** The connection failed after the request was sent. */
  Broken,
  /** No complete answer arrived within the deadline. */
  TimedOut,
  /** The caller disconnected and the request was cancelled. */
  Cancelled,
  /** The lease was not used. */
  Unused
};

/** Returns a lease and reports the outcome at the target. */
struct LeaseReport
{
  ServiceName mService;
  LeaseId mLease = 0;
  TargetOutcome mOutcome = TargetOutcome::Answered;
  /** Time from sending the request to the end of the answer. */
  Duration mLatency{ 0 };
  /** What the target stated of itself in its answer, if there was one. */
  std::optional<TargetStatements> mStatements;
  /** Set if the lease was not used because the target is leaving or gone by the
   * holder's target list: the end of that list. */
  OptionalPosition mDeclinedAtListEnd{};
  MSGPACK_DEFINE(mService,
                 mLease,
                 mOutcome,
                 mLatency,
                 mStatements,
                 mDeclinedAtListEnd.mOffset,
                 mDeclinedAtListEnd.mEra)
};

/** Asks a proxy whether it still holds the given long-running leases. The proxy
 * reports those that it does not hold as Unused. */
struct LeaseQuery
{
  ServiceName mService;
  std::vector<LeaseId> mLeases;
  MSGPACK_DEFINE(mService, mLeases)
};

/** A lease in use, reported to a scheduler that did not grant it. */
struct HeldLease
{
  LeaseId mLease = 0;
  TargetId mTarget;
  bool mIsLong = false;
  /** Time left until the request's deadline. */
  Duration mDeadline{ 0 };
  MSGPACK_DEFINE(mLease, mTarget, mIsLong, mDeadline)
};

/** A target and what it last stated of itself. */
struct StatedTarget
{
  TargetId mTarget;
  TargetStatements mStatements;
  MSGPACK_DEFINE(mTarget, mStatements)
};

/** Reports to the new scheduler of a service the leases that the sender holds,
 * and the targets that state limits. */
struct LeaseSync
{
  ServiceName mService;
  std::vector<HeldLease> mLeases;
  std::vector<StatedTarget> mStatements;
  MSGPACK_DEFINE(mService, mLeases, mStatements)
};

/** Tells proxies which targets of a service its scheduler keeps out of use.
 * Proxies apply the list when no scheduler answers and they choose targets
 * locally. */
struct TargetView
{
  ServiceName mService;
  std::vector<TargetId> mOutOfUse;
  MSGPACK_DEFINE(mService, mOutOfUse)
};

/** One record of a stream of the platform's log. */
struct LogRecord
{
  LogOffset mOffset = 0;
  /** When the platform accepted the record, in ms since the Unix epoch. */
  std::int64_t mAppendedAtMs = 0;
  std::string mPayload;
  MSGPACK_DEFINE(mOffset, mAppendedAtMs, mPayload)
};

/** Requests the records of the configuration stream after mAfter from a peer.
 */
struct ConfigPull
{
  LogOffset mAfter = 0;
  MSGPACK_DEFINE(mAfter)
};

/** Sends configuration to a peer: the records after mAfter or, if the sender no
 * longer has them, a checkpoint. mEnd is the offset of the sender's own
 * configuration. */
struct ConfigPush
{
  LogOffset mAfter = 0;
  LogOffset mEnd = 0;
  std::string mCheckpoint;
  std::vector<LogRecord> mRecords;
  MSGPACK_DEFINE(mAfter, mEnd, mCheckpoint, mRecords)
};

/** Identifies one attempt of one proxy process to run a keyed request. */
struct IntentOwner
{
  NodeId mProxy;
  std::uint64_t mIncarnation = 0;
  RequestId mRequest = 0;
  MSGPACK_DEFINE(mProxy, mIncarnation, mRequest)
  bool operator==(const IntentOwner& aOther) const
  {
    return mProxy == aOther.mProxy && mIncarnation == aOther.mIncarnation &&
           mRequest == aOther.mRequest;
  }
};

/** Asks the writer of the key's shard to append an intent to the log or, with
 * mIsRevocation, a record that revokes the owner's intent, so that the owner
 * may report "not run". */
struct IntentRequest
{
  RequestKey mKey;
  IntentOwner mOwner;
  std::uint64_t mFingerprint = 0;
  bool mIsRevocation = false;
  MSGPACK_DEFINE(mKey, mOwner, mFingerprint, mIsRevocation)
};

/** Decision on an intent, derived from the log. */
enum class IntentState : std::uint8_t
{
  /** It is the first intent for the key in offset order. Its owner may send the
   * request once. */
  Won,
  /** Another intent for the key precedes it in the log. */
  Lost,
  /** The key's intent was revoked before its request was sent; the request
   * never runs. */
  Revoked,
  /** The key was already used for a different request. */
  KeyReused,
  /** The key is older than the time window that the log is guaranteed to cover.
   */
  TooOld,
  /** The log refused the append; no intent was written. */
  LogUnavailable
};

/** Answers an IntentRequest. */
struct IntentDecision
{
  RequestId mRequest = 0;
  IntentState mState = IntentState::Lost;
  /** The owner of the key if mState is Lost. */
  IntentOwner mWinner;
  MSGPACK_DEFINE(mRequest, mState, mWinner)
};

/** One header of an HTTP message. */
struct Header
{
  std::string mName;
  std::string mValue;
  MSGPACK_DEFINE(mName, mValue)
};

/** A complete answer of a target, without the hop-by-hop headers. */
struct Answer
{
  unsigned mStatus = 0;
  std::vector<Header> mHeaders;
  std::string mBody;
  MSGPACK_DEFINE(mStatus, mHeaders, mBody)
};

/** Requests the cached answer for a key from the owner of the key. */
struct CachedAnswerQuery
{
  RequestId mRequest = 0;
  RequestKey mKey;
  MSGPACK_DEFINE(mRequest, mKey)
};

/** State of a key's answer at the owner of the key. */
enum class CachedAnswerState : std::uint8_t
{
  Running,
  Cached,
  NotFound
};

/** Answers a CachedAnswerQuery. mAnswer is set only if mState is Cached. */
struct CachedAnswerReply
{
  RequestId mRequest = 0;
  CachedAnswerState mState = CachedAnswerState::NotFound;
  Answer mAnswer;
  MSGPACK_DEFINE(mRequest, mState, mAnswer)
};

/** Requests the members that the receiver knows, from the one after mAfter on.
 * mDigest is that of the sender's view: the first page is not sent if the
 * receiver's view has the same. */
struct MemberPull
{
  std::uint64_t mDigest = 0;
  NodeId mAfter;
  MSGPACK_DEFINE(mDigest, mAfter)
};

/** Answers a MemberPull: live members in order of their ids. */
struct MemberPage
{
  std::vector<MemberUpdate> mUpdates;
  bool mHasMore = false;
  MSGPACK_DEFINE(mUpdates, mHasMore)
};

/** What one node has spent of an account's quota since it began to count. The
 * counts only grow, so that lost, repeated and reordered reports do no harm. */
struct QuotaCount
{
  /** An id of AccountIdOf(). */
  std::uint64_t mAccount = 0;
  /** Identifies the start of the counts among those of the same process. */
  std::uint64_t mEpoch = 0;
  /** Tokens taken, and tokens returned because their requests were not sent. */
  std::uint64_t mSpent = 0;
  std::uint64_t mReturned = 0;
  /** mSpent - mReturned at the report that the last level answered. */
  std::uint64_t mSettled = 0;
  /** The sender's estimate of the quota's level, if it has a recent one. */
  std::optional<float> mLevel;
  /** mLevel is only the sender's share, since its owner did not answer. */
  bool mIsShare = false;
  MSGPACK_DEFINE(mAccount,
                 mEpoch,
                 mSpent,
                 mReturned,
                 mSettled,
                 mLevel,
                 mIsShare)
};

/** Reports to the owner of accounts what the sender has spent of their quotas.
 */
struct QuotaReport
{
  /** The incarnation of the sender's process. */
  std::uint64_t mIncarnation = 0;
  /** The sender's time of the report. Only the sender can interpret it; the
   * answer repeats it, so that late answers are recognized. */
  std::int64_t mSentAt = 0;
  std::vector<QuotaCount> mCounts;
  MSGPACK_DEFINE(mIncarnation, mSentAt, mCounts)
};

/** The level of an account's quota as its owner knows it. */
struct QuotaLevel
{
  std::uint64_t mAccount = 0;
  /** The counts of the report that this answers. */
  std::uint64_t mEpoch = 0;
  std::uint64_t mSpent = 0;
  std::uint64_t mReturned = 0;
  /** Tokens left; negative after an overshoot. */
  float mLevel = 0;
  /** Tokens per second that the level gains, less what other nodes spend. */
  float mNetRate = 0;
  /** The receiver's part of the recent spending, from 0 to 1. */
  float mShare = 0;
  /** How many tokens the receiver may take before it reports again. */
  float mAllowance = 0;
  MSGPACK_DEFINE(mAccount,
                 mEpoch,
                 mSpent,
                 mReturned,
                 mLevel,
                 mNetRate,
                 mShare,
                 mAllowance)
};

/** Answers a QuotaReport. */
struct QuotaLevels
{
  std::int64_t mSentAt = 0;
  std::vector<QuotaLevel> mLevels;
  MSGPACK_DEFINE(mSentAt, mLevels)
};

/** Offers the holder of the lease mFirstLease a second lease of another target,
 * so that it may send the request there as well. The holder returns the lease
 * unused if it does not. Sent only for services with a hedge budget. */
struct HedgeOffer
{
  RequestId mRequest = 0;
  LeaseId mFirstLease = 0;
  LeaseId mLease = 0;
  TargetId mTarget;
  /** The end of the scheduler's target list at the offer; the first position if
   * the platform's lists have none. */
  StorePosition mTargetListEnd{};
  MSGPACK_DEFINE(mRequest,
                 mFirstLease,
                 mLease,
                 mTarget,
                 mTargetListEnd.mOffset,
                 mTargetListEnd.mEra)
};

/** All messages between proxies. The index of an alternative identifies the
 * message type on the wire, so new types must be appended at the end. */
using Message = std::variant<Ping,
                             PingAck,
                             PingRequest,
                             LeaseRequest,
                             LeaseQueued,
                             LeaseGrant,
                             LeaseRefusal,
                             LeaseWithdrawal,
                             LeaseReport,
                             LeaseSync,
                             TargetView,
                             ConfigPull,
                             ConfigPush,
                             IntentRequest,
                             IntentDecision,
                             CachedAnswerQuery,
                             CachedAnswerReply,
                             LeaseQuery,
                             FeedPush,
                             FeedPull,
                             MemberPull,
                             MemberPage,
                             QuotaReport,
                             QuotaLevels,
                             HedgeOffer>;

} // namespace vanillascale

MSGPACK_ADD_ENUM(vanillascale::MemberStatus)
MSGPACK_ADD_ENUM(vanillascale::RefusalReason)
MSGPACK_ADD_ENUM(vanillascale::TargetOutcome)
MSGPACK_ADD_ENUM(vanillascale::IntentState)
MSGPACK_ADD_ENUM(vanillascale::CachedAnswerState)

#endif
