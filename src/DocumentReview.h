#ifndef VANILLASCALE_DOCUMENTREVIEW_H
#define VANILLASCALE_DOCUMENTREVIEW_H

#include "Document.h"
#include "NodeEvents.h"

#include <string>
#include <vector>

namespace vanillascale {

/** How serious a finding is. */
enum class FindingSeverity
{
  /** Nodes reject the document. */
  Error,
  /** Nodes accept the document, but a part of it has no effect or contradicts
   * another part. */
  Warning,
  /** Worth knowing; does not change the exit code of the check. */
  Note
};

/** What a finding is about. FindingKindName() returns the names that operators
 * see; docs/CHECKING.md lists them. */
enum class FindingKind
{
  Invalid,
  ShadowedRoute,
  UnmatchablePath,
  HostNotCompared,
  UnusedService,
  EmptyVmGroup,
  AccountWithoutKeys,
  UnneededKeys,
  GoalOverDeadline,
  DeadlineOverRequestTime,
  AttemptsOverBudget,
  BurstBelowOne,
  BurstOverRefill,
  BurstWithoutRate,
  ZeroWeight,
  FloorForbidsEjection,
  GuaranteesOverCapacity,
  OtherEnvironment,
  RevisionNotNewer,
  KeysNoLongerNeeded,
  KeysNowNeeded,
  LimitsNotSent,
  NotCompared
};

/** One finding of a review. Its text contains no API key. */
struct Finding
{
  FindingSeverity mSeverity = FindingSeverity::Warning;
  /** The location as a JSON pointer. Objects are named by their names, except
   * in faults of DocumentFault that have indexes. */
  std::string mPlace;
  FindingKind mKind = FindingKind::Invalid;
  std::string mText;
};

/** What a review knows besides the document. */
struct ReviewContext
{
  /** The platform's VM list; null if it is not known. */
  const std::vector<Vm>* mVms = nullptr;
  /** Whether the proxies of the platform compare the Host header of requests.
   */
  bool mComparesHosts = true;
};

/** Returns the name of a kind, for example "shadowed-route". Pure. */
const char*
FindingKindName(FindingKind aKind);

/** Returns "error", "warning" or "note". Pure. */
const char*
SeverityName(FindingSeverity aSeverity);

/** Returns the faults of a document as findings. Pure; any thread. */
std::vector<Finding>
FindingsOf(const std::vector<DocumentFault>& aFaults);

/** Returns what a document contains that can never take effect or contradicts
 * itself. The cost grows with the document's size, not with its square.
 *
 * Precondition: the document has no faults. Pure; any thread.
 *
 * \code
 *   for (const Finding& it : ReviewDocument(document, {})) { Print(it); }
 * \endcode */
std::vector<Finding>
ReviewDocument(const Document& aDocument, const ReviewContext& aContext);

} // namespace vanillascale

#endif
