#ifndef VANILLASCALE_PROXYLEASES_H
#define VANILLASCALE_PROXYLEASES_H

#include "Proxy.h"

namespace vanillascale {

/** Requests a lease: from the scheduler of the request's service or, in
 * fallback, by choosing a target locally. */
void
RequestLease(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest);

/** Sends a request to a target under a lease. Precondition: the request's
 * deadline has not passed. After a pause of the process, the scheduler may have
 * granted the slot of an expired lease to another request. */
void
SendUnderLease(ProxyState& aState,
               const ProxyContext& aContext,
               ProxyRequest& aRequest,
               LeaseId aLease,
               const TargetId& aTarget);

/** Returns a sent request's lease to the scheduler and reports the result of
 * the send, with what the target stated of itself if it answered. */
void
ReturnLease(ProxyState& aState,
            const ProxyContext& aContext,
            ProxyRequest& aRequest,
            TargetOutcome aOutcome,
            const std::optional<TargetStatements>& aStatements);

/** Returns a grant whose target must not be sent requests, as far as this proxy
 * knows, and requests a lease of another target: the target has stated that it
 * accepts no request now, or this node's target list marks it as leaving, or
 * the list is at least as new as the scheduler's and no longer contains it. The
 * scheduler is told why. Does nothing and returns false for any other grant. */
bool
DeclineGrant(ProxyState& aState,
             const ProxyContext& aContext,
             ProxyRequest& aRequest,
             const NodeId& aScheduler,
             const LeaseGrant& aGrant);

/** Returns whether a target must not be sent requests, as far as this proxy
 * knows; see DeclineGrant. aListEnd is the end of the scheduler's target list.
 * Precondition: the service has a scheduler link. */
bool
IsTargetDeclined(const ProxyState& aState,
                 const ProxyContext& aContext,
                 const ServiceName& aService,
                 const TargetId& aTarget,
                 const StorePosition& aListEnd);

/** Reports to a scheduler that a granted lease is not used. */
void
ReturnUnusedLease(const ProxyContext& aContext,
                  const NodeId& aScheduler,
                  const ServiceName& aService,
                  LeaseId aLease);

/** Withdraws a request's lease request from the queried scheduler, if there is
 * one. aKeepsToken: the request is sent, so that the quota token that the
 * scheduler took stays taken. */
void
WithdrawLeaseRequest(const ProxyContext& aContext,
                     const ProxyRequest& aRequest,
                     bool aKeepsToken = false);

/** Records that a message of a service's scheduler arrived. Ends the
 * scheduler's exclusion or the service's fallback. */
void
RecordSchedulerMessage(ProxyState& aState,
                       const ProxyContext& aContext,
                       const ServiceName& aService,
                       const NodeId& aFrom);

/** Queries new schedulers, repeats unanswered lease requests, enters fallback
 * where the scheduler timed out, and sends waiting requests of services in
 * fallback to locally chosen targets. */
void
LeaseTick(ProxyState& aState, const ProxyContext& aContext);

} // namespace vanillascale

#endif
