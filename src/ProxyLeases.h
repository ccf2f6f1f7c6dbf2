#ifndef VANILLASCALE_PROXYLEASES_H
#define VANILLASCALE_PROXYLEASES_H

#include "Proxy.h"

namespace vanillascale {

/** Puts a request in line for a slot: asks its service's scheduler or, in
 * fallback, chooses locally. */
void
RequestLease(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest);

/** Sends a request to a target under a lease. The request's deadline must not
 * have passed: a lease that is used after a pause of the process would be one
 * that its scheduler has lent again. */
void
SendUnderLease(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest,
               LeaseId aLease,
               const TargetId& aTarget);

/** Returns a sent request's slot and reports how it ended. */
void
ReturnLease(ProxyState& aState,
            const ProxyContext& aContext,
            ProxyRequest& aRequest,
            TargetOutcome aOutcome);

/** Tells a scheduler that a grant is not used. */
void
ReturnUnusedLease(const ProxyContext& aContext,
                  const NodeId& aScheduler,
                  const ServiceName& aService,
                  LeaseId aLease);

/** Takes a waiting request back from its scheduler. */
void
WithdrawLeaseRequest(const ProxyContext& aContext,
                     const ProxyRequest& aRequest);

/** Notes a sign of life of a service's scheduler, which ends a fallback. */
void
RecordSchedulerMessage(ProxyState& aState,
                       const ProxyContext& aContext,
                       const ServiceName& aService,
                       const NodeId& aFrom);

/** Turns to new schedulers, asks silent ones again, enters fallback and sends
 * what may be sent locally. */
void
LeaseTick(ProxyState& aState, const ProxyContext& aContext);

} // namespace vanillascale

#endif
