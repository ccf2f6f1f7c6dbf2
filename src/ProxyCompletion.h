#ifndef VANILLASCALE_PROXYCOMPLETION_H
#define VANILLASCALE_PROXYCOMPLETION_H

#include "Proxy.h"

namespace vanillascale {

/** How callers' requests end: whatever happens, a caller is told "not run" only
 * where that is sure and stays so. */

/** The request of an id; nothing where it has ended. */
ProxyRequest*
FindRequest(ProxyState& aState, RequestId aId);

/** Counts what a caller is told. */
void
CountOutcome(ProxyState& aState, RunOutcome aOutcome);

/** Answers a request's caller, with aAnswer or else the verdict, and forgets
 * the request. Precondition: the request has not ended. */
void
FinishRequest(ProxyState& aState,
              const ProxyContext& aContext,
              RequestId aId,
              const Verdict& aVerdict,
              std::shared_ptr<const Answer> aAnswer = nullptr);

/** Ends a request that was not served: says "not run" where that is sure and
 * can be kept so, else "unknown". aVerdict is what is said in the former case.
 */
void
FinishUnserved(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest,
               Verdict aVerdict);

/** Ends a request with a target's whole answer, and keeps the answer for
 * resends of its key. */
void
FinishAnswered(ProxyState& aState,
               const ProxyContext& aContext,
               const ProxyRequest& aRequest,
               const std::shared_ptr<const Answer>& aAnswer);

} // namespace vanillascale

#endif
