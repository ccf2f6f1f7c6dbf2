#ifndef VANILLASCALE_DOCUMENTENTRIES_H
#define VANILLASCALE_DOCUMENTENTRIES_H

#include "ConfigFold.h"

#include <map>
#include <string>
#include <vector>

namespace vanillascale {

/** The entries of a document feed: one for each service and route, and one for
 * the rest of the document. Nodes exchange and apply only the entries that
 * changed, so that the cost of a change does not grow with the document. */

/** Returns a document as feed entries, all with the position aPosition. Pure;
 * any thread. */
std::vector<FeedEntry>
MakeDocumentEntries(const Document& aDocument, const StorePosition& aPosition);

/** The result of UpdateDocument. */
enum class DocumentUpdate
{
  InForce,
  /** The revision or the offset is below the current one, or the document
   * belongs to another environment. Nothing was changed. */
  NotNewer,
  /** An entry cannot be decoded or is missing. Nothing was changed. */
  Undecodable
};

/** Puts the entries with the keys aChangedKeys in force: adds or replaces the
 * objects whose keys are in aEntries and removes the others. The first document
 * is always accepted, and so is the revision in force, if its entries have been
 * corrected.
 *
 * Precondition: aEntries with the keys not in aChangedKeys are in force
 * already. Not thread safe. */
DocumentUpdate
UpdateDocument(ConfigState& aState,
               const std::map<std::string, FeedEntry>& aEntries,
               const std::vector<std::string>& aChangedKeys);

} // namespace vanillascale

#endif
