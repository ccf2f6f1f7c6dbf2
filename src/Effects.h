#ifndef VANILLASCALE_EFFECTS_H
#define VANILLASCALE_EFFECTS_H

#include "Messages.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillascale {

/** Whether a request ran, as reported to the caller. */
enum class RunOutcome
{
  NotRun,
  Ran,
  Unknown
};

/** The proxy's own answer to a caller, sent if no target's answer is forwarded.
 * mReason is machine-readable; docs/CALLERS.md lists the values. */
struct Verdict
{
  unsigned mStatus = 0;
  RunOutcome mOutcome = RunOutcome::NotRun;
  const char* mReason = "";
  /** Delay after which a caller should retry a request that was not run. */
  Duration mRetryAfter = std::chrono::seconds(1);
};

/** Sends a message to a peer. Delivery is not guaranteed. */
struct SendToPeer
{
  NodeId mTo;
  Message mMessage;
};

/** Sends a caller's request to a target, at most once. */
struct SendToTarget
{
  RequestId mRequest = 0;
  TargetId mTarget;
  /** When the answer must be complete. */
  TimePoint mDeadlineAt{};
  /** False for requests that must not run twice. They must not use a connection
   * on which the client library resends a request by itself. */
  bool mIsIdempotent = true;
  /** Set if the document has accounts: the name that the target is told, or an
   * empty one for a request without a key. */
  std::optional<AccountName> mAccount;
  /** Whether it is the request's hedge, which may run at the same time as its
   * other send. */
  bool mIsHedge = false;
};

/** Tells a target to cancel a request that was sent to it. */
struct CancelAtTarget
{
  RequestId mRequest = 0;
  /** Which of the request's sends is cancelled. */
  bool mIsHedge = false;
};

/** Answers a caller with mAnswer, a target's complete answer, or with mVerdict
 * if mAnswer is null. */
struct AnswerCaller
{
  RequestId mRequest = 0;
  Verdict mVerdict;
  std::shared_ptr<const Answer> mAnswer;
};

/** Appends a record to a stream of the platform's log. The LogAppendResult
 * carries the same mToken. */
struct AppendLog
{
  std::string mStream;
  std::uint64_t mToken = 0;
  std::string mPayload;
};

/** Reads the records of a stream of the platform's log after the offset mAfter.
 */
struct ReadLog
{
  std::string mStream;
  LogOffset mAfter = 0;
};

/** Reads the platform's VM list. */
struct ReadVmList
{};

/** Reads a keyed topic of the platform's store: all entries if mIsSnapshot is
 * set, otherwise the records from the offset mFrom on. If there are none yet,
 * the read waits for up to mWait. */
struct ReadFeed
{
  std::string mTopic;
  bool mIsSnapshot = false;
  StorePosition mFrom{};
  Duration mWait{ 0 };
};

/** Reads the contact record of the platform's store; see ContactRecord.h. */
struct ReadContact
{};

/** Writes the contact record unless it has been written since it was read. */
struct WriteContact
{
  NodeId mContact;
  /** ContactReadResult::mEnd of the last read. */
  LogOffset mExpectedEnd = 0;
};

/** Writes an event to the event log. docs/EVENTS.md lists the numbers. */
struct WriteEvent
{
  int mNumber = 0;
  std::string mText;
};

/** Reports that the node has completed its shutdown and the process may exit.
 */
struct Stop
{};

/** An action that the reducer requests from the runtime. */
using Effect = std::variant<SendToPeer,
                            SendToTarget,
                            CancelAtTarget,
                            AnswerCaller,
                            AppendLog,
                            ReadLog,
                            ReadVmList,
                            WriteEvent,
                            Stop,
                            ReadFeed,
                            ReadContact,
                            WriteContact>;

/** Effects in the order in which they must be executed. */
using Effects = std::vector<Effect>;

} // namespace vanillascale

#endif
