#ifndef VANILLASCALE_PROXYVERDICTS_H
#define VANILLASCALE_PROXYVERDICTS_H

#include "Effects.h"

namespace vanillascale {

/** Machine-readable reasons that callers are told. docs/CALLERS.md lists them.
 */
constexpr const char* kReasonStarting = "starting";
constexpr const char* kReasonStopping = "stopping";
constexpr const char* kReasonUnknownRoute = "unknown-route";
constexpr const char* kReasonUnknownApiKey = "unknown-api-key";
constexpr const char* kReasonMissingIdempotencyKey = "missing-idempotency-key";
constexpr const char* kReasonBadIdempotencyKey = "bad-idempotency-key";
constexpr const char* kReasonKeyTooOld = "key-too-old";
constexpr const char* kReasonKeyReused = "key-reused";
constexpr const char* kReasonKeyEnded = "key-ended";
constexpr const char* kReasonBadDeadline = "bad-deadline";
constexpr const char* kReasonBodyTooLarge = "body-too-large";
constexpr const char* kReasonHeadTooLarge = "head-too-large";
constexpr const char* kReasonRequestTooSlow = "request-too-slow";
constexpr const char* kReasonNoMemory = "no-memory";
constexpr const char* kReasonMalformedRequest = "malformed-request";
constexpr const char* kReasonOverload = "overload";
constexpr const char* kReasonDeadlinePassed = "deadline-passed";
constexpr const char* kReasonAccountLimit = "account-limit";
constexpr const char* kReasonHarmfulRequest = "harmful-request";
constexpr const char* kReasonNoTarget = "no-target";
constexpr const char* kReasonLogUnavailable = "log-away";
constexpr const char* kReasonIntentUnsettled = "intent-unsettled";
constexpr const char* kReasonStillRunning = "still-running";
constexpr const char* kReasonOutcomeNotKnown = "outcome-not-known";
constexpr const char* kReasonTargetBroke = "target-broke";
constexpr const char* kReasonTargetTimeout = "target-timeout";
constexpr const char* kReasonTargetError = "target-error";
constexpr const char* kReasonAnswered = "answered";

/** HTTP statuses of answers that the proxy itself generates. */
constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusUnauthorized = 401;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusRequestTimeout = 408;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusPayloadTooLarge = 413;
constexpr unsigned kStatusUnprocessable = 422;
constexpr unsigned kStatusTooManyRequests = 429;
constexpr unsigned kStatusHeadTooLarge = 431;
constexpr unsigned kStatusBadGateway = 502;
constexpr unsigned kStatusUnavailable = 503;
constexpr unsigned kStatusGatewayTimeout = 504;

/** Returns the verdict for a request that got no lease for aReason and was not
 * run. aRetryAfter: when a repeat of it may succeed; 0 if that is not known.
 * Pure. */
Verdict
MakeRefusalVerdict(RefusalReason aReason, Duration aRetryAfter = Duration(0));

/** Returns the value of the Vanillascale-Outcome header for an outcome. Pure.
 */
const char*
RunOutcomeName(RunOutcome aOutcome);

} // namespace vanillascale

#endif
