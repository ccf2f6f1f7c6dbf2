#include "ProxyQuota.h"

#include "EventNumbers.h"
#include "NodeQuota.h"
#include "ProxyCompletion.h"
#include "ProxyLeases.h"
#include "ProxyVerdicts.h"

namespace vanillascale {

QuotaDecision
TakeLocalQuota(const ProxyContext& aContext, ProxyRequest& aRequest)
{
  if (!aContext.mQuota || aRequest.mIsRetry || aRequest.mIsQueued) {
    return QuotaDecision::Taken;
  }
  PrepareQuota(
    *aContext.mQuota, aContext.mNow, aContext.mConfig, aRequest.mAccount);
  // In fallback, every node may be a spender, so that each has a part of what
  // may be taken before the owner answers.
  QuotaDecision decision = TakeQuotaToken(*aContext.mQuota,
                                          aContext.mNow,
                                          aRequest.mAccount,
                                          aContext.mQuota->mEqualShare);
  if (decision == QuotaDecision::Unknown && !aRequest.mHasClaimedQuota) {
    aRequest.mHasClaimedQuota = true;
    ClaimQuotaToken(*aContext.mQuota, aContext.mNow, aRequest.mAccount);
  }
  return decision;
}

void
RefuseForQuota(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest)
{
  aContext.mEffects.push_back(WriteEvent{
    kEventSlotRefused,
    "request=" + aRequest.mName + " service=" + aRequest.mService.mValue +
      " reason=account-limit scheduler=none" +
      DescribeQuota(*aContext.mQuota, aRequest.mAccount) });
  Duration retryAfter =
    TimeUntilQuotaToken(*aContext.mQuota, aContext.mNow, aRequest.mAccount);
  WithdrawLeaseRequest(aContext, aRequest);
  FinishUnserved(aState,
                 aContext,
                 aRequest,
                 MakeRefusalVerdict(RefusalReason::AccountLimit, retryAfter));
}

} // namespace vanillascale
