#ifndef VANILLASCALE_CONFIGHISTORY_H
#define VANILLASCALE_CONFIGHISTORY_H

#include "ConfigFold.h"
#include "PlatformClient.h"

namespace vanillascale {

/** One record of the configuration stream with what became of it. */
struct HistoryEntry
{
  LogRecord mRecord;
  RecordVerdict mVerdict;
};

/** The stream as far as the platform keeps it: the audit trail. */
struct ConfigHistory
{
  ConfigState mState;
  std::vector<HistoryEntry> mEntries;
};

/** The configuration stream of an environment. Pure. */
std::string
ConfigStreamName(const std::string& aEnvironment);

/** Reads and folds the stream up to and including aLast (0 for all). Where the
 * platform has dropped the beginning, the fold starts from a checkpoint. The
 * error says why it could not be read. Blocks; one thread at a time. */
tl::expected<ConfigHistory, std::string>
ReadHistory(PlatformClient& aPlatform,
            const std::string& aEnvironment,
            LogOffset aLast = 0);

/** How a promotion ended. */
struct Promotion
{
  LogOffset mOffset = 0;
  RecordVerdict mVerdict;
};

/** Appends a change and reads back what became of it. A lost answer is settled
 * by reading; the change is appended again only under the same id, which makes
 * it harmless. The error says that the log could not be reached. */
tl::expected<Promotion, std::string>
Promote(PlatformClient& aPlatform, const Change& aChange);

} // namespace vanillascale

#endif
