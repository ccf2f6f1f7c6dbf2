#ifndef VANILLASCALE_PROXYADMISSION_H
#define VANILLASCALE_PROXYADMISSION_H

#include "Proxy.h"

#include <optional>

namespace vanillascale {

/** Checks a caller's request against the document in force and the rules for
 * idempotency keys. Returns the verdict of a rejected request, or nothing where
 * the request is accepted. Pure. */
std::optional<Verdict>
CheckRequest(const ProxyContext& aContext,
             const CallerRequest& aRequest,
             const Route* aRoute);

/** Returns the initial state of an accepted request. Pure. */
ProxyRequest
MakeRequest(const ProxyContext& aContext,
            const CallerRequest& aRequest,
            const Route& aRoute);

} // namespace vanillascale

#endif
