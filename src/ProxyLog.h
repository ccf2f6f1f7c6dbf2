#ifndef VANILLASCALE_PROXYLOG_H
#define VANILLASCALE_PROXYLOG_H

#include "Proxy.h"

namespace vanillascale {

/** Writes what became of a request: every failure, refusal, repeat and late
 * answer, and a sample of the ordinary successes. aState still has it. */
void
LogRequestEnd(const ProxyContext& aContext,
              const ProxyRequest& aRequest,
              const Verdict& aVerdict,
              const Answer* aAnswer);

/** Writes how one send to a target ended, if it did not end well. */
void
LogFailedSend(const ProxyContext& aContext,
              const ProxyRequest& aRequest,
              TargetOutcome aOutcome);

/** Writes that a request was refused before it had any state. */
void
LogRefusal(const ProxyContext& aContext,
           const CallerRequest& aRequest,
           const Verdict& aVerdict);

} // namespace vanillascale

#endif
