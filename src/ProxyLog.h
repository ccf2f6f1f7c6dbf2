#ifndef VANILLASCALE_PROXYLOG_H
#define VANILLASCALE_PROXYLOG_H

#include "Proxy.h"

namespace vanillascale {

/** Logs the end of a request. Every failure, refusal, retry and late answer is
 * logged, and a sample of the ordinary successes. Precondition: the request has
 * not been removed from the proxy's state yet. */
void
LogRequestEnd(const ProxyContext& aContext,
              const ProxyRequest& aRequest,
              const Verdict& aVerdict,
              const Answer* aAnswer);

/** Logs a send to a target that did not end with a successful answer. */
void
LogFailedSend(const ProxyContext& aContext,
              const ProxyRequest& aRequest,
              TargetOutcome aOutcome);

/** Logs the end of a request with two sends. aWinner: "first", "hedge" or
 * "none". aHedgeAge: the time since the second send. */
void
LogHedgeEnd(const ProxyContext& aContext,
            const ProxyRequest& aRequest,
            const char* aWinner,
            Duration aHedgeAge);

/** Logs a grant that is returned because of what this node knows of its target,
 * with the ends of both target lists. aIsLeavingOrGone: by its target list, and
 * not by the target's own statement. */
void
LogDeclinedGrant(const ProxyContext& aContext,
                 const ProxyRequest& aRequest,
                 const NodeId& aScheduler,
                 const LeaseGrant& aGrant,
                 bool aIsLeavingOrGone);

/** Logs a request that was rejected on arrival, before any state was made for
 * it. */
void
LogRefusal(const ProxyContext& aContext,
           const CallerRequest& aRequest,
           const Verdict& aVerdict);

} // namespace vanillascale

#endif
