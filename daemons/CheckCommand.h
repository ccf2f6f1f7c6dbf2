#ifndef VANILLASCALE_CHECKCOMMAND_H
#define VANILLASCALE_CHECKCOMMAND_H

#include <string>

namespace vanillascale {

/** The text of `vanillascale check --help`. */
extern const char* const kCheckUsage;

struct CheckArguments
{
  std::string mFile;
  /** A document to compare with if the platform is not reached; may be empty.
   */
  std::string mAgainst;
  /** The platform's address; may be empty. */
  std::string mPlatform;
  bool mIsStrict = false;
  bool mIsJson = false;
};

/** Checks a document, prints the report and returns the exit code. Changes
 * nothing. Blocks while it reads from the platform. */
int
RunCheck(const CheckArguments& aArguments);

} // namespace vanillascale

#endif
