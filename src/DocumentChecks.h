#ifndef VANILLASCALE_DOCUMENTCHECKS_H
#define VANILLASCALE_DOCUMENTCHECKS_H

#include "Document.h"

namespace vanillascale {

/** Checks a document that was not parsed by ParseDocument against the same
 * limits, including CheckReferences. Returns all faults. Pure and safe to call
 * from any thread. */
std::vector<DocumentFault>
CheckDocument(const Document& aDocument);

} // namespace vanillascale

#endif
