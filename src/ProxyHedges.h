#ifndef VANILLASCALE_PROXYHEDGES_H
#define VANILLASCALE_PROXYHEDGES_H

#include "Proxy.h"

namespace vanillascale {

/** The proxy's part in hedged requests: a request may be in progress at two
 * targets. The scheduler offers the second lease. The first complete answer is
 * passed on and the other send is cancelled. While both run, the failure of one
 * leaves the request to the other. */

/** Handles the event of a send that is not the request's only one: one that was
 * cancelled, or the second of two. Returns false if the caller has to handle
 * the event: for any other send, and if the second send was answered, which
 * then has taken the place of the first. */
bool
EndSecondSend(ProxyState& aState,
              const ProxyContext& aContext,
              const TargetRequestEnded& aEnded);

/** Continues a request whose send has failed with its second send. Does nothing
 * and returns false if there is none, or if the request must end. Precondition:
 * the failed send's lease has been returned. */
bool
ContinueWithSecondSend(const ProxyContext& aContext,
                       ProxyRequest& aRequest,
                       const TargetRequestEnded& aEnded);

/** Cancels the second send of a request whose caller has disconnected, if there
 * is one. */
void
CancelSecondSend(const ProxyContext& aContext, const ProxyRequest& aRequest);

/** Ends the hedge of a request that is about to finish: cancels its second send
 * if it still runs, and counts and logs which send was answered. Does nothing
 * for a request that was not hedged. */
void
FinishHedge(ProxyState& aState,
            const ProxyContext& aContext,
            ProxyRequest& aRequest,
            RunOutcome aOutcome);

/** Returns the leases of second and cancelled sends, those of one service if
 * aService is not null. */
std::vector<HeldLease>
LeasesOfSecondSends(const ProxyState& aState,
                    const ProxyContext& aContext,
                    const ServiceName* aService);

} // namespace vanillascale

#endif
