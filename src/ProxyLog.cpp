#include "ProxyLog.h"

#include "EventNumbers.h"
#include "ProxyVerdicts.h"

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** One ordinary success in this many is logged. */
constexpr RequestId kSuccessLogInterval = 16;
/** Lowest HTTP status that is an error. */
constexpr unsigned kFirstErrorStatus = 400;

std::string
FormatMilliseconds(Duration aTime)
{
  return std::to_string(aTime / milliseconds(1));
}

/** Returns the text of a target's outcome in log lines. */
const char*
TargetOutcomeName(TargetOutcome aOutcome)
{
  switch (aOutcome) {
    case TargetOutcome::Answered:
      return "answered";
    case TargetOutcome::ServerError:
      return "server-error";
    case TargetOutcome::Shed:
      return "not-run";
    case TargetOutcome::Draining:
      return "draining";
    case TargetOutcome::ConnectFailed:
      return "connect-failed";
    case TargetOutcome::Broken:
      return "broken";
    case TargetOutcome::TimedOut:
      return "timed-out";
    case TargetOutcome::Cancelled:
      return "cancelled";
    case TargetOutcome::Unused:
      return "unused";
  }
  return "unknown";
}

/** Formats the fields that every line about a request has. */
std::string
FormatRequestFields(const ProxyContext& aContext, const ProxyRequest& aRequest)
{
  return "request=" + aRequest.mName + " route=" + aRequest.mRouteName.mValue +
         " service=" + aRequest.mService.mValue +
         (aRequest.mAccountName ? " account=" + aRequest.mAccountName->mValue
                                : std::string()) +
         " document=" + std::to_string(aContext.mConfig.mDocument.mRevision) +
         " age_ms=" + FormatMilliseconds(aContext.mNow - aRequest.mReceivedAt);
}

} // namespace

void
LogRequestEnd(const ProxyContext& aContext,
              const ProxyRequest& aRequest,
              const Verdict& aVerdict,
              const Answer* aAnswer)
{
  unsigned status = aAnswer ? aAnswer->mStatus : aVerdict.mStatus;
  Duration age = aContext.mNow - aRequest.mReceivedAt;
  bool isLate = aRequest.mGoal > Duration(0) && age > aRequest.mGoal;
  bool isOrdinarySuccess = status > 0 && status < kFirstErrorStatus &&
                           !isLate && aRequest.mSends <= 1 &&
                           !aRequest.mIsLocal;
  if (isOrdinarySuccess && aRequest.mId % kSuccessLogInterval != 0) {
    return;
  }
  int eventNumber = kEventRequestEnded;
  if (aRequest.mIsCallerGone) {
    eventNumber = kEventCallerGone;
  } else if (aVerdict.mOutcome == RunOutcome::NotRun) {
    eventNumber = kEventRequestRefused;
  } else if (isLate && status < kFirstErrorStatus) {
    eventNumber = kEventRequestDelayed;
  }
  std::string text =
    FormatRequestFields(aContext, aRequest) +
    " status=" + std::to_string(status) +
    " outcome=" + RunOutcomeName(aVerdict.mOutcome) +
    " reason=" + aVerdict.mReason + " target=" + aRequest.mTarget.mValue +
    " sends=" + std::to_string(aRequest.mSends) +
    " failed_connects=" + std::to_string(aRequest.mFailedConnects) +
    " left_ms=" + FormatMilliseconds(aRequest.mDeadlineAt - aContext.mNow) +
    " choice=" + (aRequest.mIsLocal ? "local" : "lease") +
    " scheduler=" + aRequest.mQueriedNode.mValue;
  if (aVerdict.mOutcome == RunOutcome::NotRun) {
    text += " retry_after_ms=" + FormatMilliseconds(aVerdict.mRetryAfter);
  }
  aContext.mEffects.push_back(WriteEvent{ eventNumber, std::move(text) });
}

void
LogFailedSend(const ProxyContext& aContext,
              const ProxyRequest& aRequest,
              TargetOutcome aOutcome)
{
  aContext.mEffects.push_back(WriteEvent{
    kEventRequestRetried,
    FormatRequestFields(aContext, aRequest) + " target=" +
      aRequest.mTarget.mValue + " send=" + std::to_string(aRequest.mSends) +
      " ended=" + TargetOutcomeName(aOutcome) +
      " target_ms=" + FormatMilliseconds(aContext.mNow - aRequest.mSentAt) +
      " idempotent=" + (aRequest.mIsIdempotent ? "yes" : "no") +
      " lease=" + std::to_string(aRequest.mLease) +
      " left_ms=" + FormatMilliseconds(aRequest.mDeadlineAt - aContext.mNow) });
}

void
LogHedgeEnd(const ProxyContext& aContext,
            const ProxyRequest& aRequest,
            const char* aWinner,
            Duration aHedgeAge)
{
  aContext.mEffects.push_back(
    WriteEvent{ kEventHedgeEnded,
                FormatRequestFields(aContext, aRequest) + " winner=" + aWinner +
                  " target=" + aRequest.mTarget.mValue +
                  " hedge_ms=" + FormatMilliseconds(aHedgeAge) });
}

void
LogDeclinedGrant(const ProxyContext& aContext,
                 const ProxyRequest& aRequest,
                 const NodeId& aScheduler,
                 const LeaseGrant& aGrant,
                 bool aIsLeavingOrGone)
{
  aContext.mEffects.push_back(WriteEvent{
    kEventGrantDeclined,
    FormatRequestFields(aContext, aRequest) +
      " target=" + aGrant.mTarget.mValue + " scheduler=" + aScheduler.mValue +
      " reason=" + (aIsLeavingOrGone ? "listed" : "stated") +
      " list_end=" + FormatPosition(aContext.mTargetListEnd) +
      " scheduler_list_end=" + FormatPosition(aGrant.mTargetListEnd) });
}

void
LogRefusal(const ProxyContext& aContext,
           const CallerRequest& aRequest,
           const Verdict& aVerdict)
{
  aContext.mEffects.push_back(WriteEvent{
    kEventRequestRefused,
    "request=" + aRequest.mName +
      " status=" + std::to_string(aVerdict.mStatus) + " outcome=" +
      RunOutcomeName(aVerdict.mOutcome) + " reason=" + aVerdict.mReason +
      " document=" + std::to_string(aContext.mConfig.mDocument.mRevision) });
}

} // namespace vanillascale
