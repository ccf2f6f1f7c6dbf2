#ifndef VANILLASCALE_DOCUMENTFILE_H
#define VANILLASCALE_DOCUMENTFILE_H

#include "Document.h"

#include <optional>
#include <string>
#include <vector>

namespace vanillascale {

/** Exit codes of the command-line tool; its --help explains them. */
inline constexpr int kExitDone = 0;
inline constexpr int kExitUsage = 1;
inline constexpr int kExitDocument = 2;

/** Returns the content of a file; prints an error and returns nothing if it
 * can't be read. */
std::optional<std::string>
ReadFile(const std::string& aPath);

/** Prints faults to the error stream, one line each. */
void
PrintFaults(const std::string& aFile,
            const std::vector<DocumentFault>& aFaults);

} // namespace vanillascale

#endif
