#ifndef VANILLASCALE_NODEEVENTS_H
#define VANILLASCALE_NODEEVENTS_H

#include "Codec.h"
#include "Effects.h"

#include <optional>

namespace vanillascale {

/** Time has passed. The shell sends one every kTickInterval while anything is
 * in progress, else every kIdleTickInterval. */
struct Tick
{};

/** How often the shell sends a Tick while requests are in progress. */
constexpr Duration kTickInterval = std::chrono::milliseconds(10);
/** How often it does otherwise: a third of the shortest timeout of probes. */
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(50);

/** A caller's request has come in whole. */
struct CallerRequest
{
  RequestId mRequest = 0;
  std::string mMethod;
  /** With the query part. */
  std::string mPath;
  std::string mHost;
  /** The caller's own id of the request, for the log. */
  std::string mName;
  std::string mAccount;
  std::string mKey;
  /** A hash of method, host, path and body. */
  std::uint64_t mFingerprint = 0;
  /** The caller's own deadline, if it set one. */
  std::optional<Duration> mDeadline;
  /** The caller states that it has not sent this key before. */
  bool mIsFirstAttempt = false;
  /** The wall clock, to age the key. */
  WallTime mWallTime{};
};

/** A caller has closed its connection before it was answered. */
struct CallerDisconnected
{
  RequestId mRequest = 0;
};

/** A request that was sent to a target has ended. mAnswer is set for Answered
 * and ServerError. */
struct TargetRequestEnded
{
  RequestId mRequest = 0;
  TargetOutcome mOutcome = TargetOutcome::Answered;
  std::shared_ptr<const Answer> mAnswer;
};

/** A message from a peer has come in. */
struct PeerMessageReceived
{
  Envelope mEnvelope;
};

/** How an append to the platform's log ended. */
enum class AppendOutcome
{
  Done,
  /** The platform said that it took nothing in. */
  Refused,
  /** No answer: the record may or may not be there. */
  Unknown
};

/** An AppendLog has ended. */
struct LogAppendResult
{
  std::string mStream;
  std::uint64_t mToken = 0;
  AppendOutcome mOutcome = AppendOutcome::Done;
};

/** A ReadLog has ended. */
struct LogReadResult
{
  std::string mStream;
  bool mIsSuccessful = false;
  /** The lowest offset that the platform still keeps. */
  LogOffset mFirst = 1;
  /** The offset of the stream's last record, 0 for none. Where mRecords ends
   * before it, there is more to read. */
  LogOffset mEnd = 0;
  std::vector<LogRecord> mRecords;
};

/** One VM of the platform's list. */
struct Vm
{
  std::string mGroup;
  std::string mAddress;
  /** Where a proxy's admin pages are; empty for other VMs. */
  std::string mAdmin;
  ZoneName mZone;
  unsigned mSlots = 0;
  bool mIsLeaving = false;
  /** How much longer it is slow after its start. */
  Duration mWarmupLeft{ 0 };
  MSGPACK_DEFINE(mGroup,
                 mAddress,
                 mAdmin,
                 mZone,
                 mSlots,
                 mIsLeaving,
                 mWarmupLeft)
};

/** A ReadVmList has ended. */
struct VmListReadResult
{
  bool mIsSuccessful = false;
  std::vector<Vm> mVms;
};

/** A ReadFeed has ended. Values are in the product's own formats; entries that
 * the platform's adapter could not read are left out or removed. */
struct FeedReadResult
{
  std::string mTopic;
  bool mIsSuccessful = false;
  /** mEntries are all there are, not only those that changed. */
  bool mIsSnapshot = false;
  /** The records asked for are no longer kept: all entries have to be read. */
  bool mIsTrimmed = false;
  /** The offset from which the next read goes on. */
  LogOffset mEnd = 0;
  std::vector<FeedEntry> mEntries;
};

/** The process was asked to stop. */
struct ShutdownRequested
{};

using Event = std::variant<Tick,
                           CallerRequest,
                           CallerDisconnected,
                           TargetRequestEnded,
                           PeerMessageReceived,
                           LogAppendResult,
                           LogReadResult,
                           VmListReadResult,
                           ShutdownRequested,
                           FeedReadResult>;

} // namespace vanillascale

#endif
