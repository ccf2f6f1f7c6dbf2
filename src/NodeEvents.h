#ifndef VANILLASCALE_NODEEVENTS_H
#define VANILLASCALE_NODEEVENTS_H

#include "Codec.h"
#include "Effects.h"

#include <optional>

namespace vanillascale {

/** Periodic timer event. The runtime sends one every kTickInterval while the
 * node is busy, otherwise every kIdleTickInterval. */
struct Tick
{};

/** Interval between ticks while the node is busy (see IsBusy). */
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
/** Interval between ticks otherwise: a third of the shortest probe timeout. */
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(50);

/** A caller's request has been received completely. */
struct CallerRequest
{
  RequestId mRequest = 0;
  std::string mMethod;
  /** Includes the query string. */
  std::string mPath;
  std::string mHost;
  /** Request id chosen by the caller, written to the log. */
  std::string mName;
  /** The account that the caller states; not used if the document has accounts.
   */
  std::string mAccount;
  /** The API key that the caller sent; empty if it sent none, or several. Must
   * not be logged. */
  std::string mApiKey;
  /** The idempotency key. */
  std::string mKey;
  /** Hash of method, host, path and body. */
  std::uint64_t mFingerprint = 0;
  /** Deadline set by the caller, if any. */
  std::optional<Duration> mDeadline;
  /** The caller states that it has not sent this idempotency key before. */
  bool mIsFirstAttempt = false;
  /** Wall clock time on arrival, from which the age of the key is computed. */
  WallTime mWallTime{};
};

/** A caller closed its connection before it was answered. */
struct CallerDisconnected
{
  RequestId mRequest = 0;
};

/** A request that was assigned to a target has ended. mAnswer is set if
 * mOutcome is Answered or ServerError. */
struct TargetRequestEnded
{
  RequestId mRequest = 0;
  TargetOutcome mOutcome = TargetOutcome::Answered;
  std::shared_ptr<const Answer> mAnswer;
  /** What the target states of itself; empty without an answer of its own. */
  std::optional<TargetStatements> mStatements;
  /** The target may have run the request although it states that it did not. */
  bool mMayHaveRun = false;
  /** Which of the request's sends has ended. */
  bool mIsHedge = false;
};

/** A message from a peer has been received. */
struct PeerMessageReceived
{
  Envelope mEnvelope;
};

/** Outcome of an append to the platform's log. */
enum class AppendOutcome
{
  Done,
  /** The platform reported that it did not accept the record. */
  Refused,
  /** No answer: the record may or may not have been appended. */
  Unknown
};

/** Result of an AppendLog effect. */
struct LogAppendResult
{
  std::string mStream;
  std::uint64_t mToken = 0;
  AppendOutcome mOutcome = AppendOutcome::Done;
};

/** Result of a ReadLog effect. */
struct LogReadResult
{
  std::string mStream;
  bool mIsSuccessful = false;
  /** The lowest offset that the platform still retains. */
  LogOffset mFirst = 1;
  /** Offset of the last record of the stream, 0 if it is empty. If mRecords
   * ends before it, there are more records to read. */
  LogOffset mEnd = 0;
  std::vector<LogRecord> mRecords;
};

/** An entry of the platform's VM list. */
struct Vm
{
  std::string mGroup;
  std::string mAddress;
  /** Address of a proxy's admin pages; empty for other VMs. */
  std::string mAdmin;
  ZoneName mZone;
  unsigned mSlots = 0;
  bool mIsLeaving = false;
  /** Time left in which the VM is still warming up after its start. */
  Duration mWarmupLeft{ 0 };
  /** Differs between processes that were started one after the other at the
   * same address; 0 if the platform does not tell. */
  std::uint64_t mIncarnation = 0;
  MSGPACK_DEFINE(mGroup,
                 mAddress,
                 mAdmin,
                 mZone,
                 mSlots,
                 mIsLeaving,
                 mWarmupLeft,
                 mIncarnation)
};

/** The VMs of a list, by keys that stay the same as long as a VM is listed. */
using VmsByKey = std::map<std::string, Vm>;

/** Returns the VMs without their keys. */
inline std::vector<Vm>
ValuesOf(const VmsByKey& aVms)
{
  std::vector<Vm> vms;
  vms.reserve(aVms.size());
  for (const auto& [key, vm] : aVms) {
    vms.push_back(vm);
  }
  return vms;
}

/** Result of a ReadVmList effect. */
struct VmListReadResult
{
  bool mIsSuccessful = false;
  std::vector<Vm> mVms;
};

/** Result of a ReadFeed effect. Values are in vanillascale's own formats.
 * Entries that the platform's adapter cannot parse are omitted or marked as
 * removed. */
struct FeedReadResult
{
  std::string mTopic;
  bool mIsSuccessful = false;
  /** mEntries holds all entries of the topic, not only those that changed. */
  bool mIsSnapshot = false;
  /** The requested records are no longer retained: a snapshot must be read. */
  bool mIsTrimmed = false;
  /** The position at which the next read continues. Its era is set even if
   * mIsTrimmed. */
  StorePosition mEnd{};
  /** More records were available than the read returned. */
  bool mHasMore = false;
  /** The revision of the entries, if the topic has revisions; otherwise 0. */
  std::uint64_t mRevision = 0;
  /** Why the newest record was skipped; empty if it was not. */
  std::string mFault;
  /** What the adapter has left out of the newest record or holds at a bound;
   * the text of an event each. */
  std::vector<std::string> mAdjustments;
  std::vector<FeedEntry> mEntries;
};

/** Result of a ReadContact effect. */
struct ContactReadResult
{
  bool mIsSuccessful = false;
  /** Empty if there is no record, or none that can be read. */
  NodeId mContact;
  /** Changes with each write of the record. */
  LogOffset mEnd = 0;
};

enum class ContactWriteOutcome
{
  Done,
  /** The record has been written since it was read. */
  Outdated,
  /** The write was refused, or its outcome is not known. */
  Failed
};

/** Result of a WriteContact effect. */
struct ContactWriteResult
{
  ContactWriteOutcome mOutcome = ContactWriteOutcome::Failed;
};

/** The process was asked to shut down. */
struct ShutdownRequested
{};

/** An input of the reducer. */
using Event = std::variant<Tick,
                           CallerRequest,
                           CallerDisconnected,
                           TargetRequestEnded,
                           PeerMessageReceived,
                           LogAppendResult,
                           LogReadResult,
                           VmListReadResult,
                           ShutdownRequested,
                           FeedReadResult,
                           ContactReadResult,
                           ContactWriteResult>;

} // namespace vanillascale

#endif
