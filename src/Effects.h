#ifndef VANILLASCALE_EFFECTS_H
#define VANILLASCALE_EFFECTS_H

#include "Messages.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace vanillascale {

/** Whether a request ran, as callers are told. */
enum class RunOutcome
{
  NotRun,
  Ran,
  Unknown
};

/** What a caller is told where no target's answer is passed on. mReason is
 * machine-readable and listed in docs/CALLERS.md. */
struct Verdict
{
  unsigned mStatus = 0;
  RunOutcome mOutcome = RunOutcome::NotRun;
  const char* mReason = "";
  /** When a caller that was told "not run" should come back. */
  Duration mRetryAfter = std::chrono::seconds(1);
};

/** Send a message to a peer. It may be lost. */
struct SendToPeer
{
  NodeId mTo;
  Message mMessage;
};

/** Send a caller's request to a target, once. */
struct SendToTarget
{
  RequestId mRequest = 0;
  TargetId mTarget;
  /** When the answer has to be whole. */
  TimePoint mDeadlineAt{};
  /** False for work that may run only once: no connection may be used on which
   * the client library would send again by itself. */
  bool mIsIdempotent = true;
};

/** Tell a target to stop working on a request that was sent to it. */
struct CancelAtTarget
{
  RequestId mRequest = 0;
};

/** Answer a caller: with a target's whole answer, else with the verdict. */
struct AnswerCaller
{
  RequestId mRequest = 0;
  Verdict mVerdict;
  std::shared_ptr<const Answer> mAnswer;
};

/** Append a record to a stream of the platform's log. mToken comes back. */
struct AppendLog
{
  std::string mStream;
  std::uint64_t mToken = 0;
  std::string mPayload;
};

/** Read a stream of the platform's log after an offset. */
struct ReadLog
{
  std::string mStream;
  LogOffset mAfter = 0;
};

/** Read the platform's VM list. */
struct ReadVmList
{};

/** Read a keyed topic of the platform's store: all entries, or the records from
 * an offset on, waiting for one to come if there is none. */
struct ReadFeed
{
  std::string mTopic;
  bool mIsSnapshot = false;
  LogOffset mFrom = 0;
  Duration mWait{ 0 };
};

/** Write an event to the log. Numbers are listed in docs/EVENTS.md. */
struct WriteEvent
{
  int mNumber = 0;
  std::string mText;
};

/** The node has finished its work and may exit. */
struct Stop
{};

using Effect = std::variant<SendToPeer,
                            SendToTarget,
                            CancelAtTarget,
                            AnswerCaller,
                            AppendLog,
                            ReadLog,
                            ReadVmList,
                            WriteEvent,
                            Stop,
                            ReadFeed>;

/** Effects in the order in which they are to be carried out. */
using Effects = std::vector<Effect>;

} // namespace vanillascale

#endif
