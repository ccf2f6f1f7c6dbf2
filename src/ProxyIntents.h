#ifndef VANILLASCALE_PROXYINTENTS_H
#define VANILLASCALE_PROXYINTENTS_H

#include "Proxy.h"

namespace vanillascale {

/** Asks the writer of the key's shard to write the request's intent. */
void
RequestIntent(ProxyState& aState,
              const ProxyContext& aContext,
              ProxyRequest& aRequest);

/** Starts ending a request's intent. The request must not be sent any more; its
 * caller is told aVerdict once the log has the end of the intent. */
void
RevokeIntent(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest,
             const Verdict& aVerdict);

/** Goes on ending an intent whose caller has been answered, so that a resend of
 * the key can run. The request must not be sent any more. */
void
AbandonIntent(ProxyState& aState,
              const ProxyContext& aContext,
              const ProxyRequest& aRequest);

/** Asks the proxy that owns the request's key what became of it. */
void
QueryCachedAnswer(const ProxyContext& aContext, ProxyRequest& aRequest);

/** Repeats the questions that were not answered. */
void
IntentTick(ProxyState& aState, const ProxyContext& aContext);

} // namespace vanillascale

#endif
