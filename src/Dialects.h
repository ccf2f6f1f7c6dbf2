#ifndef VANILLASCALE_DIALECTS_H
#define VANILLASCALE_DIALECTS_H

#include "Effects.h"
#include "HttpMessage.h"
#include "NodeEvents.h"

#include <memory>
#include <optional>
#include <string>

namespace vanillascale {

/** The header names under which callers and the proxy speak. An empty name
 * stands for a header that the dialect does not have. */
struct CallerDialect
{
  std::string mDeadlineMs = "Vanillascale-Deadline-Ms";
  /** The caller's own id of the request; sent back in answers. */
  std::string mRequestId;
  /** States the account if the document has none. */
  std::string mAccount = "Vanillascale-Account";
  std::string mKey = "Idempotency-Key";
  std::string mFirstAttempt = "Vanillascale-First-Attempt";
  std::string mOutcome = "Vanillascale-Outcome";
  std::string mReason = "Vanillascale-Reason";
  /** The Host header is part of what a request asks for. */
  bool mHasHosts = false;
  /** Retry-After may carry fractions of a second. */
  bool mHasFractions = false;
};

/** The same for what is said between the proxy and targets. */
struct TargetDialect
{
  std::string mDeadlineMs = "Vanillascale-Deadline-Ms";
  /** The proxy's name for the request, which a cancellation repeats. */
  std::string mRequestName = "Vanillascale-Request";
  /** The caller's id of the request, which a target's answer repeats. */
  std::string mRequestId;
  /** Names the instance that alone may run the request. */
  std::string mInstance;
  /** Names the account of the request's API key. */
  std::string mAccount = "Vanillascale-Account";
  /** States that the target did not run the request. */
  std::string mNotRun = "Vanillascale-Outcome";
  /** The value that states it; empty accepts any. */
  std::string mNotRunValue = "not-run";
  std::string mDraining = "Vanillascale-Draining";
  /** Proves that an answer is the target's own. A success without it is not
   * passed on. */
  std::string mSignature;
  /** States the requests per second that the target accepts from all proxies
   * together, as a decimal number. */
  std::string mRequestLimit = "Vanillascale-Request-Limit";
  /** States, with any value but 0, that the target is leaving. */
  std::string mLeaving = "Vanillascale-Leaving";
  /** In a refusal with status 503, states for how many seconds the target
   * accepts no request from this proxy. */
  std::string mPause = "Retry-After";
  /** 421 is answered by another instance, which did not run the request. */
  bool mHasMisdirected = false;
  /** Closing the connection ends the work; else /cancel has to be called. */
  bool mCancelsByClose = false;
  /** Passes the caller's Host header on. */
  bool mKeepsHost = false;
};

/** How an answer of a target is understood. mAnswer is set for Answered and
 * ServerError. */
struct TargetResult
{
  TargetOutcome mOutcome = TargetOutcome::Broken;
  std::shared_ptr<const Answer> mAnswer;
  /** Empty if the answer is not the target's own. */
  std::optional<TargetStatements> mStatements;
  /** The target states that it did not run the request, but the answer may
   * belong to an earlier one. */
  bool mMayHaveRun = false;
};

/** Describes a caller's request to the core. Pure. */
CallerRequest
DescribeRequest(const CallerDialect& aDialect,
                RequestId aId,
                const HttpRequest& aRequest,
                WallTime aNow);

/** Where and how a request is sent on. */
struct Forwarding
{
  TargetId mTarget;
  /** The proxy's name for the request. */
  std::string mName;
  Duration mTimeout{ 0 };
  /** See SendToTarget: if set, no API key is passed on, and no account that the
   * caller states. */
  std::optional<AccountName> mAccount{};
};

/** The head of a request as it goes to a target. The body is left out: it is
 * sent as it is, without a copy. Pure. */
HttpRequest
ForwardRequest(const CallerDialect& aCaller,
               const TargetDialect& aTarget,
               const HttpRequest& aRequest,
               const Forwarding& aForwarding);

/** Says what a target's whole answer means. Pure. */
TargetResult
InterpretAnswer(const TargetDialect& aDialect, HttpResponse aResponse);

/** Whether an answer belongs to the request with an id: one that carries
 * another id does not. Pure. */
bool
IsAnswerTo(const TargetDialect& aDialect,
           const std::string& aRequestId,
           const HttpResponse& aResponse);

/** Whether an answer names the request that it belongs to. Pure. */
bool
NamesRequest(const TargetDialect& aDialect, const HttpResponse& aResponse);

/** The answer for a caller: the target's own, else the verdict. Pure. */
HttpResponse
ComposeAnswer(const CallerDialect& aDialect,
              const AnswerCaller& aAnswer,
              const std::string& aRequestId);

} // namespace vanillascale

#endif
