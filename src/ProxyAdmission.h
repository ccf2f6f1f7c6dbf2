#ifndef VANILLASCALE_PROXYADMISSION_H
#define VANILLASCALE_PROXYADMISSION_H

#include "Proxy.h"

#include <optional>

namespace vanillascale {

/** Returns the account whose API key a request carries; null if it carries none
 * or an unknown one, or if the document has no accounts. Pure. */
const ClientAccount*
AuthenticateRequest(const ProxyContext& aContext,
                    const CallerRequest& aRequest);

/** Checks a caller's request against the document in force and the rules for
 * API keys and idempotency keys. Returns the verdict of a rejected request, or
 * nothing where the request is accepted. Pure. */
std::optional<Verdict>
CheckRequest(const ProxyContext& aContext,
             const CallerRequest& aRequest,
             const Route* aRoute,
             const ClientAccount* aAccount);

/** Returns the initial state of an accepted request. Pure. */
ProxyRequest
MakeRequest(const ProxyContext& aContext,
            const CallerRequest& aRequest,
            const Route& aRoute,
            const ClientAccount* aAccount);

} // namespace vanillascale

#endif
