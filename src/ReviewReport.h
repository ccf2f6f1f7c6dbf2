#ifndef VANILLASCALE_REVIEWREPORT_H
#define VANILLASCALE_REVIEWREPORT_H

#include "DocumentDifferences.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillascale {

/** The whole result of the check of a document. */
struct ReviewReport
{
  std::string mFile;
  /** Empty if the document has faults. */
  std::optional<Document> mDocument;
  std::vector<Finding> mFindings;
  /** What the document was compared with, in words; empty for nothing. */
  std::string mComparedWith;
  std::vector<ObjectDifference> mDifferences;
};

/** Returns the number of findings of a severity. Pure. */
std::size_t
CountFindings(const ReviewReport& aReport, FindingSeverity aSeverity);

/** Returns the errors, one line each: "FILE: PLACE TEXT". Pure. */
std::string
FormatErrors(const ReviewReport& aReport);

/** Returns the report for operators, without the errors. Of findings of one
 * kind, and of differences, only the first are listed. Pure. */
std::string
FormatReport(const ReviewReport& aReport);

/** Returns the whole report as JSON text. Pure. */
std::string
FormatReportAsJson(const ReviewReport& aReport);

} // namespace vanillascale

#endif
