#ifndef VANILLASCALE_CONFIGHISTORY_H
#define VANILLASCALE_CONFIGHISTORY_H

#include "ConfigFold.h"
#include "PlatformClient.h"

namespace vanillascale {

/** One record of the configuration stream and the verdict on it. */
struct HistoryEntry
{
  LogRecord mRecord;
  RecordVerdict mVerdict;
};

/** The audit trail: the records of the stream that the platform still keeps,
 * and the state that results from them. */
struct ConfigHistory
{
  ConfigState mState;
  std::vector<HistoryEntry> mEntries;
};

/** Returns the name of the configuration stream of an environment. Pure. */
std::string
ConfigStreamName(const std::string& aEnvironment);

/** Reads and folds the stream up to and including aLast (0 for all). If the
 * platform has dropped the beginning, the fold starts from a checkpoint.
 * Returns an error if the log cannot be read or no checkpoint joins the kept
 * records. Blocks; one thread at a time. */
tl::expected<ConfigHistory, std::string>
ReadHistory(PlatformClient& aPlatform,
            const std::string& aEnvironment,
            LogOffset aLast = 0);

/** The offset of a promoted change and the verdict on it. */
struct Promotion
{
  LogOffset mOffset = 0;
  RecordVerdict mVerdict;
};

/** Appends a change and returns the verdict on it, which it reads back from the
 * stream. If the response to an append is lost, the stream shows whether the
 * change was appended; a retry uses the same id, so that the change is accepted
 * at most once. Returns an error if the change is not found in the log after
 * the last attempt. Blocks; one thread at a time. */
tl::expected<Promotion, std::string>
Promote(PlatformClient& aPlatform, const Change& aChange);

} // namespace vanillascale

#endif
