#ifndef VANILLASCALE_PROXYCOMPLETION_H
#define VANILLASCALE_PROXYCOMPLETION_H

#include "Proxy.h"

namespace vanillascale {

/** How callers' requests finish. A caller is told "not run" only where that is
 * certain and can't change later. */

/** Returns the request with an id, or null where it has finished. */
ProxyRequest*
FindRequest(ProxyState& aState, RequestId aId);

/** Returns the request that peers know by aPeerId, or null where it has
 * finished or is not of this process. */
ProxyRequest*
FindRequestOfPeer(ProxyState& aState, RequestId aPeerId);

/** Counts a request by the outcome that its caller is told. */
void
CountOutcome(ProxyState& aState, RunOutcome aOutcome);

/** Sends the caller aAnswer or, where it is null, aVerdict, and removes the
 * request. Precondition: the request has not finished. */
void
FinishRequest(ProxyState& aState,
              const ProxyContext& aContext,
              RequestId aId,
              const Verdict& aVerdict,
              std::shared_ptr<const Answer> aAnswer = nullptr);

/** Finishes a request that got no successful answer. The caller is told
 * aVerdict where it is certain that the request has not run and will not run,
 * which may need a revocation of its intent first; otherwise the outcome is
 * Unknown. */
void
FinishUnserved(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest,
               Verdict aVerdict);

/** Finishes a request with a target's complete answer. Caches the answer of a
 * keyed request for resends of its key. */
void
FinishAnswered(ProxyState& aState,
               const ProxyContext& aContext,
               const ProxyRequest& aRequest,
               const std::shared_ptr<const Answer>& aAnswer);

} // namespace vanillascale

#endif
