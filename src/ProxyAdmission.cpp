#include "ProxyAdmission.h"

#include "Hash.h"
#include "ProxyVerdicts.h"
#include "RequestKeys.h"

#include <algorithm>

namespace vanillascale {

namespace {

constexpr Duration kMaxDeadline = std::chrono::minutes(10);

std::optional<Verdict>
CheckIdempotencyKey(const CallerRequest& aRequest)
{
  if (aRequest.mKey.empty()) {
    return Verdict{ kStatusBadRequest,
                    RunOutcome::NotRun,
                    kReasonMissingIdempotencyKey };
  }
  auto made = KeyCreationTime(RequestKey(aRequest.mKey));
  bool isAhead = made && *made > aRequest.mWallTime + kMaxKeyClockSkew;
  if (!made || isAhead) {
    return Verdict{ kStatusBadRequest,
                    RunOutcome::NotRun,
                    kReasonBadIdempotencyKey };
  }
  if (aRequest.mWallTime - *made > kMaxKeyAge) {
    return Verdict{ kStatusConflict, RunOutcome::Unknown, kReasonKeyTooOld };
  }
  return std::nullopt;
}

bool
NeedsKey(const Route& aRoute)
{
  return !aRoute.mIdempotent && aRoute.mOncePolicy == OncePolicy::PerKey;
}

/** What is said of a request that is refused before the log was asked: an
 * earlier send of its key may have run, unless the caller says there is none.
 */
RunOutcome
OutcomeBeforeIntent(const CallerRequest& aRequest)
{
  bool isSure = aRequest.mKey.empty() || aRequest.mIsFirstAttempt;
  return isSure ? RunOutcome::NotRun : RunOutcome::Unknown;
}

} // namespace

std::optional<Verdict>
CheckRequest(const ProxyContext& aContext,
             const CallerRequest& aRequest,
             const Route* aRoute)
{
  RunOutcome outcome = OutcomeBeforeIntent(aRequest);
  if (aContext.mConfig.mDocument.mEnvironment.empty()) {
    return Verdict{ kStatusUnavailable, outcome, kReasonStarting };
  }
  if (aContext.mRejectsNewRequests) {
    return Verdict{ kStatusUnavailable, outcome, kReasonStopping, Duration(0) };
  }
  if (!aRoute) {
    return Verdict{ kStatusNotFound, outcome, kReasonUnknownRoute };
  }
  if (aRequest.mDeadline && *aRequest.mDeadline <= Duration(0)) {
    return Verdict{ kStatusBadRequest, outcome, kReasonBadDeadline };
  }
  return NeedsKey(*aRoute) ? CheckIdempotencyKey(aRequest) : std::nullopt;
}

ProxyRequest
MakeRequest(const ProxyContext& aContext,
            const CallerRequest& aRequest,
            const Route& aRoute)
{
  ProxyRequest request;
  request.mId = aRequest.mRequest;
  request.mName = aRequest.mName;
  request.mRouteName = aRoute.mName;
  request.mService = aRoute.mService;
  request.mRoute = static_cast<std::uint32_t>(Hash64(aRoute.mName.mValue));
  request.mPriority = static_cast<std::uint8_t>(aRoute.mPriority);
  request.mIsLong = aRoute.mWork == WorkClass::Long;
  request.mIsIdempotent = aRoute.mIdempotent;
  request.mNeedsIntent = NeedsKey(aRoute);
  request.mAttempts = aRoute.mAttempts;
  request.mGoal = aRoute.mGoal;
  request.mReceivedAt = aContext.mNow;
  request.mIsFirstAttempt = aRequest.mIsFirstAttempt;
  request.mKey = RequestKey(NeedsKey(aRoute) ? aRequest.mKey : "");
  request.mFingerprint = aRequest.mFingerprint;
  request.mAccount = aRequest.mAccount.empty() ? 0 : Hash64(aRequest.mAccount);
  Duration deadline = aRequest.mDeadline.value_or(aRoute.mDeadline);
  if (aRoute.mIsDeadlineBound) {
    deadline = std::min(deadline, aRoute.mDeadline);
  }
  request.mDeadlineAt = aContext.mNow + std::min(deadline, kMaxDeadline);
  request.mStageStartedAt = aContext.mNow;
  return request;
}

} // namespace vanillascale
