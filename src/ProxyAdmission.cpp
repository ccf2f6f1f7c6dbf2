#include "ProxyAdmission.h"

#include "DocumentLimits.h"
#include "Hash.h"
#include "ProxyVerdicts.h"
#include "RequestKeys.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** Longer deadlines of callers and routes are reduced to this. */
constexpr Duration kMaxDeadline = std::chrono::minutes(10);

/** Returns the verdict of a request whose key is missing, malformed or too old.
 */
std::optional<Verdict>
CheckIdempotencyKey(const CallerRequest& aRequest)
{
  if (aRequest.mKey.empty()) {
    return Verdict{ kStatusBadRequest,
                    RunOutcome::NotRun,
                    kReasonMissingIdempotencyKey };
  }
  auto createdAt = KeyCreationTime(RequestKey(aRequest.mKey));
  bool isInFuture =
    createdAt && *createdAt > aRequest.mWallTime + kMaxKeyClockSkew;
  if (!createdAt || isInFuture) {
    return Verdict{ kStatusBadRequest,
                    RunOutcome::NotRun,
                    kReasonBadIdempotencyKey };
  }
  if (aRequest.mWallTime - *createdAt > kMaxKeyAge) {
    return Verdict{ kStatusConflict, RunOutcome::Unknown, kReasonKeyTooOld };
  }
  return std::nullopt;
}

/** Returns whether requests of a route need an idempotency key: they are not
 * idempotent and must run at most once for each key. */
bool
NeedsKey(const Route& aRoute)
{
  return !aRoute.mIdempotent &&
         aRoute.mAtMostOnceScope == AtMostOnceScope::PerKey;
}

/** Returns the outcome for a request that is refused before its intent is
 * looked up in the log. Unknown for a keyed request, because an earlier send of
 * the key may have run, unless the caller marks the request as its first
 * attempt. */
RunOutcome
OutcomeBeforeIntent(const CallerRequest& aRequest)
{
  bool isCertainlyNotRun = aRequest.mKey.empty() || aRequest.mIsFirstAttempt;
  return isCertainlyNotRun ? RunOutcome::NotRun : RunOutcome::Unknown;
}

/** Returns the time within which a request has to be answered. */
Duration
DeadlineOf(const CallerRequest& aRequest, const Route& aRoute)
{
  Duration deadline = aRequest.mDeadline.value_or(aRoute.mDeadline);
  if (aRoute.mIsDeadlineUpperBound) {
    deadline = std::min(deadline, aRoute.mDeadline);
  }
  return std::min(deadline, kMaxDeadline);
}

/** Returns whether a request must be rejected because the process might be
 * terminated before it ends. */
bool
IsRejectedForShutdown(const ProxyContext& aContext,
                      const CallerRequest& aRequest,
                      const Route* aRoute)
{
  switch (aContext.mAdmission) {
    case ShutdownAdmission::All:
      return false;
    case ShutdownAdmission::IfDeadlineFits:
      return aRoute && aContext.mNow + DeadlineOf(aRequest, *aRoute) >
                         aContext.mMustEndBy;
    case ShutdownAdmission::None:
      return true;
  }
  return true;
}

/** Returns the priority of a request: that of the account goes before that of
 * the route. */
std::uint8_t
PriorityOf(const Route& aRoute, const ClientAccount* aAccount)
{
  unsigned account = aAccount ? aAccount->mPriority - 1 : 0;
  return static_cast<std::uint8_t>(account * kMaxPriority + aRoute.mPriority);
}

bool
HasAccounts(const ProxyContext& aContext)
{
  return !aContext.mConfig.mDocument.mAccounts.empty();
}

/** Returns the id of a request's account, 0 for none. Only a document without
 * accounts lets callers state their accounts themselves. */
std::uint64_t
AccountOf(const ProxyContext& aContext,
          const CallerRequest& aRequest,
          const ClientAccount* aAccount)
{
  if (aAccount) {
    return AccountIdOf(aAccount->mName);
  }
  bool isStated = !HasAccounts(aContext) && !aRequest.mAccount.empty();
  return isStated ? AccountIdOf(AccountName(aRequest.mAccount)) : 0;
}

} // namespace

const ClientAccount*
AuthenticateRequest(const ProxyContext& aContext, const CallerRequest& aRequest)
{
  return aRequest.mApiKey.empty() || !HasAccounts(aContext)
           ? nullptr
           : FindAccount(aContext.mConfig, aRequest.mApiKey);
}

std::optional<Verdict>
CheckRequest(const ProxyContext& aContext,
             const CallerRequest& aRequest,
             const Route* aRoute,
             const ClientAccount* aAccount)
{
  RunOutcome outcome = OutcomeBeforeIntent(aRequest);
  if (aContext.mConfig.mDocument.mEnvironment.empty()) {
    return Verdict{ kStatusUnavailable, outcome, kReasonStarting };
  }
  if (IsRejectedForShutdown(aContext, aRequest, aRoute)) {
    return Verdict{ kStatusUnavailable, outcome, kReasonStopping, Duration(0) };
  }
  if (!aRoute) {
    return Verdict{ kStatusNotFound, outcome, kReasonUnknownRoute };
  }
  if (HasAccounts(aContext) && !aAccount && !aRoute->mIsOpen) {
    return Verdict{ kStatusUnauthorized, outcome, kReasonUnknownApiKey };
  }
  if (aRequest.mDeadline && *aRequest.mDeadline <= Duration(0)) {
    return Verdict{ kStatusBadRequest, outcome, kReasonBadDeadline };
  }
  return NeedsKey(*aRoute) ? CheckIdempotencyKey(aRequest) : std::nullopt;
}

ProxyRequest
MakeRequest(const ProxyContext& aContext,
            const CallerRequest& aRequest,
            const Route& aRoute,
            const ClientAccount* aAccount)
{
  ProxyRequest request;
  request.mId = aRequest.mRequest;
  request.mName = aRequest.mName;
  request.mRouteName = aRoute.mName;
  request.mService = aRoute.mService;
  request.mRoute = static_cast<std::uint32_t>(Hash64(aRoute.mName.mValue));
  request.mPriority = PriorityOf(aRoute, aAccount);
  request.mIsLong = aRoute.mWorkClass == WorkClass::Long;
  request.mIsIdempotent = aRoute.mIdempotent;
  request.mNeedsIntent = NeedsKey(aRoute);
  request.mAttempts = aRoute.mAttempts;
  request.mGoal = aRoute.mGoal;
  request.mReceivedAt = aContext.mNow;
  request.mIsFirstAttempt = aRequest.mIsFirstAttempt;
  request.mKey = RequestKey(NeedsKey(aRoute) ? aRequest.mKey : "");
  request.mFingerprint = aRequest.mFingerprint;
  request.mAccount = AccountOf(aContext, aRequest, aAccount);
  if (HasAccounts(aContext)) {
    request.mAccountName = aAccount ? aAccount->mName : AccountName();
  }
  request.mDeadlineAt =
    std::min(aContext.mNow + DeadlineOf(aRequest, aRoute), aContext.mMustEndBy);
  request.mStageStartedAt = aContext.mNow;
  return request;
}

} // namespace vanillascale
