#ifndef VANILLASCALE_PROXYQUOTA_H
#define VANILLASCALE_PROXYQUOTA_H

#include "Proxy.h"

namespace vanillascale {

/** Takes a token of the quota of a request's account before it is sent without
 * a scheduler. Takes none for a retry, nor for a request that a scheduler is
 * known to have admitted. Not thread safe. */
QuotaDecision
TakeLocalQuota(const ProxyContext& aContext, ProxyRequest& aRequest);

/** Refuses a request because of its account's quota, and ends it.
 * Precondition: aContext.mQuota is set. Not thread safe. */
void
RefuseForQuota(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest);

} // namespace vanillascale

#endif
