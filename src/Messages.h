#ifndef VANILLASCALE_MESSAGES_H
#define VANILLASCALE_MESSAGES_H

#include "Clock.h"
#include "Ids.h"
#include "MsgpackTypes.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace vanillascale {

/** What is believed of a member. Among statements with the same incarnation the
 * later enumerator wins. */
enum class MemberStatus : std::uint8_t
{
  Alive,
  Suspect,
  Leaving,
  Dead
};

/** One statement about one member, spread on probes. */
struct MemberUpdate
{
  NodeId mNode;
  ZoneName mZone;
  std::uint64_t mIncarnation = 0;
  MemberStatus mStatus = MemberStatus::Alive;
  /** The VM's processor share, in percent of a core; 0 where it is not known.
   */
  unsigned mCorePercent = 0;
  MSGPACK_DEFINE(mNode, mZone, mIncarnation, mStatus, mCorePercent)
};

/** Asks a member whether it is there. mConfigOffset is the highest offset of
 * the configuration stream that the sender has heard of. */
struct Ping
{
  std::uint64_t mSequence = 0;
  LogOffset mConfigOffset = 0;
  std::vector<MemberUpdate> mUpdates;
  MSGPACK_DEFINE(mSequence, mConfigOffset, mUpdates)
};

/** Answers a Ping, or passes on the answer of the member in mSubject. */
struct PingAck
{
  std::uint64_t mSequence = 0;
  LogOffset mConfigOffset = 0;
  NodeId mSubject;
  std::vector<MemberUpdate> mUpdates;
  MSGPACK_DEFINE(mSequence, mConfigOffset, mSubject, mUpdates)
};

/** Asks a third member to ping mSubject on the sender's behalf. */
struct PingRequest
{
  std::uint64_t mSequence = 0;
  NodeId mSubject;
  MSGPACK_DEFINE(mSequence, mSubject)
};

/** Asks a service's scheduler for a slot. A repeated request is recognized by
 * the sender and mRequest. */
struct LeaseRequest
{
  ServiceName mService;
  RequestId mRequest = 0;
  std::uint32_t mRoute = 0;
  std::uint8_t mPriority = 1;
  bool mIsLong = false;
  bool mIsIdempotent = true;
  bool mIsRetry = false;
  /** What is left of the deadline when the message leaves. */
  Duration mDeadline{ 0 };
  std::uint64_t mFingerprint = 0;
  std::uint64_t mAccount = 0;
  /** A target that is not to be used, empty for none. */
  TargetId mAvoid;
  /** What is left of the time within which an answer is of full use; 0 where
   * the route does not state one. */
  Duration mGoal{ 0 };
  /** The caller's id of the request, for the log. */
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
                 mAvoid,
                 mGoal,
                 mName)
};

/** Says that a repeated LeaseRequest is known and still waits. */
struct LeaseQueued
{
  RequestId mRequest = 0;
  MSGPACK_DEFINE(mRequest)
};

/** Lends one slot of mTarget for one request, to be sent within mSendWithin of
 * the message's arrival. */
struct LeaseGrant
{
  RequestId mRequest = 0;
  LeaseId mLease = 0;
  TargetId mTarget;
  Duration mSendWithin{ 0 };
  MSGPACK_DEFINE(mRequest, mLease, mTarget, mSendWithin)
};

/** Why a request got no slot. */
enum class RefusalReason : std::uint8_t
{
  Overload,
  DeadlineTooShort,
  AccountLimit,
  HarmfulRequest,
  RetryBudget,
  NoTarget
};

/** Says that a request gets no slot. */
struct LeaseRefusal
{
  RequestId mRequest = 0;
  RefusalReason mReason = RefusalReason::Overload;
  MSGPACK_DEFINE(mRequest, mReason)
};

/** Takes back a LeaseRequest whose caller no longer waits. */
struct LeaseWithdrawal
{
  ServiceName mService;
  RequestId mRequest = 0;
  MSGPACK_DEFINE(mService, mRequest)
};

/** How a request that was sent to a target ended. */
enum class TargetOutcome : std::uint8_t
{
  /** A whole answer that is no server error. */
  Answered,
  /** A whole answer with a status of 500 or above. */
  ServerError,
  /** The target said that it did not run the request. */
  Shed,
  /** As Shed, because the target is draining. */
  Draining,
  /** No connection came about: the request was not sent. */
  ConnectFailed,
  /** The connection broke after the request was sent. */
  Broken,
  /** No whole answer within the deadline. */
  TimedOut,
  /** The caller went away and the request was cancelled. */
  Cancelled,
  /** The lease was not used. */
  Unused
};

/** Returns a lease and reports what the target did. */
struct LeaseReport
{
  ServiceName mService;
  LeaseId mLease = 0;
  TargetOutcome mOutcome = TargetOutcome::Answered;
  /** From sending to the end of the answer. */
  Duration mLatency{ 0 };
  MSGPACK_DEFINE(mService, mLease, mOutcome, mLatency)
};

/** Asks the holder of leases that last long whether it still has them. It
 * reports those that it has not as Unused. */
struct LeaseQuery
{
  ServiceName mService;
  std::vector<LeaseId> mLeases;
  MSGPACK_DEFINE(mService, mLeases)
};

/** One lease in use, told to a scheduler that did not grant it. */
struct HeldLease
{
  LeaseId mLease = 0;
  TargetId mTarget;
  bool mIsLong = false;
  /** What is left of the request's deadline. */
  Duration mDeadline{ 0 };
  MSGPACK_DEFINE(mLease, mTarget, mIsLong, mDeadline)
};

/** Tells a new scheduler which leases of its service the sender holds. */
struct LeaseSync
{
  ServiceName mService;
  std::vector<HeldLease> mLeases;
  MSGPACK_DEFINE(mService, mLeases)
};

/** Tells proxies which of a service's targets its scheduler holds out of use,
 * for the time when no scheduler answers. */
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
  /** When the platform took the record in, in ms since 1970. */
  std::int64_t mAppendedAtMs = 0;
  std::string mPayload;
  MSGPACK_DEFINE(mOffset, mAppendedAtMs, mPayload)
};

/** Asks a peer for the configuration stream after mAfter. */
struct ConfigPull
{
  LogOffset mAfter = 0;
  MSGPACK_DEFINE(mAfter)
};

/** Passes on configuration: the records after mAfter or, where the sender no
 * longer has them, a checkpoint. mEnd is the sender's own offset. */
struct ConfigPush
{
  LogOffset mAfter = 0;
  LogOffset mEnd = 0;
  std::string mCheckpoint;
  std::vector<LogRecord> mRecords;
  MSGPACK_DEFINE(mAfter, mEnd, mCheckpoint, mRecords)
};

/** Identifies one attempt of one process to run a keyed request. */
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

/** Asks the writer of the key's shard to put an intent into the log, or with
 * mIsKill to end one so that its owner may say "not run". */
struct IntentRequest
{
  RequestKey mKey;
  IntentOwner mOwner;
  std::uint64_t mFingerprint = 0;
  bool mIsKill = false;
  MSGPACK_DEFINE(mKey, mOwner, mFingerprint, mIsKill)
};

/** What the log says about an intent. */
enum class IntentState : std::uint8_t
{
  /** The first in offset order: its owner may send, once. */
  Won,
  /** Another intent for the key came first. */
  Lost,
  /** The key was ended before anything was sent: it never runs. */
  Killed,
  /** The key was used for a different request. */
  KeyReused,
  /** The key is older than the window that the log is sure to cover. */
  TooOld,
  /** The log refused the append: no intent was written. */
  LogUnavailable
};

/** Answers an IntentRequest. */
struct IntentDecision
{
  RequestId mRequest = 0;
  IntentState mState = IntentState::Lost;
  /** Who owns the key, where mState is Lost. */
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

/** A target's whole answer, without the headers of its connection. */
struct Answer
{
  unsigned mStatus = 0;
  std::vector<Header> mHeaders;
  std::string mBody;
  MSGPACK_DEFINE(mStatus, mHeaders, mBody)
};

/** Asks the owner of a key for the answer that it kept. */
struct KeptAnswerQuery
{
  RequestId mRequest = 0;
  RequestKey mKey;
  MSGPACK_DEFINE(mRequest, mKey)
};

/** What the owner of a key knows of its request. */
enum class KeptAnswerState : std::uint8_t
{
  Running,
  Kept,
  NotFound
};

/** Answers a KeptAnswerQuery. mAnswer is filled where mState is Kept. */
struct KeptAnswerReply
{
  RequestId mRequest = 0;
  KeptAnswerState mState = KeptAnswerState::NotFound;
  Answer mAnswer;
  MSGPACK_DEFINE(mRequest, mState, mAnswer)
};

/** The newest record of one key of a keyed topic. An empty value says that the
 * key was removed. */
struct FeedEntry
{
  std::string mKey;
  LogOffset mOffset = 0;
  std::string mValue;
  MSGPACK_DEFINE(mKey, mOffset, mValue)
};

/** Passes on what a reader of a keyed topic has read: the entries that changed
 * from mAfter to mEnd or, with mIsSnapshot, all. Without entries it only says
 * that nothing has changed. */
struct FeedPush
{
  std::string mTopic;
  LogOffset mAfter = 0;
  LogOffset mEnd = 0;
  bool mIsSnapshot = false;
  /** How old the sender's knowledge of the store is as the message leaves. */
  Duration mAge{ 0 };
  std::vector<FeedEntry> mEntries;
  MSGPACK_DEFINE(mTopic, mAfter, mEnd, mIsSnapshot, mAge, mEntries)
};

/** Asks a peer for all entries of a keyed topic, if it has read further. */
struct FeedPull
{
  std::string mTopic;
  LogOffset mEnd = 0;
  MSGPACK_DEFINE(mTopic, mEnd)
};

/** All that proxies say to each other. New kinds go to the end. */
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
                             KeptAnswerQuery,
                             KeptAnswerReply,
                             LeaseQuery,
                             FeedPush,
                             FeedPull>;

} // namespace vanillascale

MSGPACK_ADD_ENUM(vanillascale::MemberStatus)
MSGPACK_ADD_ENUM(vanillascale::RefusalReason)
MSGPACK_ADD_ENUM(vanillascale::TargetOutcome)
MSGPACK_ADD_ENUM(vanillascale::IntentState)
MSGPACK_ADD_ENUM(vanillascale::KeptAnswerState)

#endif
