#ifndef VANILLASCALE_PROXYINTENTS_H
#define VANILLASCALE_PROXYINTENTS_H

#include "Proxy.h"

namespace vanillascale {

/** Sends the request's intent to the writer of its key's shard. */
void
RequestIntent(ProxyState& aState,
              const ProxyContext& aContext,
              ProxyRequest& aRequest);

/** Starts to revoke a request's intent. The request must not be sent after
 * this; its caller is told aVerdict once the revocation is in the log. */
void
RevokeIntent(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest,
             const Verdict& aVerdict);

/** Revokes an intent in the background, so that a resend of the key is not
 * blocked by a request whose caller was already answered. The request must not
 * be sent after this. */
void
AbandonIntent(ProxyState& aState,
              const ProxyContext& aContext,
              const ProxyRequest& aRequest);

/** Queries the proxy that owns the request's key for the key's answer. */
void
QueryCachedAnswer(const ProxyContext& aContext, ProxyRequest& aRequest);

/** Repeats unanswered intent requests, answer queries and revocations. */
void
IntentTick(ProxyState& aState, const ProxyContext& aContext);

} // namespace vanillascale

#endif
