#ifndef VANILLASCALE_CONFIGREADER_H
#define VANILLASCALE_CONFIGREADER_H

#include "ConfigFold.h"
#include "Effects.h"
#include "Membership.h"

#include <deque>
#include <set>

namespace vanillascale {

/** The state with which a node follows the configuration stream.
 *
 * Two nodes of each zone, its readers, poll the log and push new records to the
 * live nodes of their zone. The other nodes pull from a peer when they learn of
 * an offset above their own, and read the log directly if pulling does not
 * bring them up to date. */
struct ConfigReaderState
{
  std::string mStream;
  ConfigState mConfig;
  /** Whether the state has reached the end of the log, or the highest offset
   * that enough peers reported at startup. */
  bool mIsLoaded = false;
  /** The latest folded records, oldest first, sent to peers that are behind. */
  std::deque<LogRecord> mRecentRecords;
  bool mIsReading = false;
  /** The offset after which the search for a checkpoint continues if the log no
   * longer holds the next records; 0 while no search is running. */
  LogOffset mCheckpointSearchOffset = 0;
  TimePoint mNextReadAt{};
  TimePoint mNextPullAt{};
  TimePoint mStartedAt{};
  /** The time since which a peer has reported a higher offset than this node's;
   * TimePoint{} while this node is not behind. */
  TimePoint mBehindSince{};
  /** Peers that have sent a ConfigPush. Used to decide when a starting node is
   * loaded. */
  std::set<NodeId> mRespondedPeers;
  LogOffset mLastCheckpointOffset = 0;
  TimePoint mLastCheckpointAt{};
  /** Token of the latest append of a checkpoint. */
  std::uint64_t mToken = 0;
  bool mIsAppending = false;

  /** Returns the state of a node that has no configuration yet. */
  static ConfigReaderState Make(const std::string& aEnvironment,
                                TimePoint aNow);
};

/** The inputs and outputs of the reader other than its own state. */
struct ConfigContext
{
  TimePoint mNow{};
  MembershipState& mMembers;
  Random& mRandom;
  Effects& mEffects;
};

/** Starts the log reads, pulls and checkpoint appends that are due. */
void
ConfigTick(ConfigReaderState& aState, const ConfigContext& aContext);

/** Processes the result of a read of the stream. */
void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const LogReadResult& aRead);

/** Processes the result of the append of a checkpoint. */
void
ConfigReceive(ConfigReaderState& aState, const LogAppendResult& aAppended);

/** Answers a pull with the records after the peer's offset or, if they are no
 * longer kept, with a checkpoint. Sends nothing until this node is loaded. */
void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const NodeId& aFrom,
              const ConfigPull& aPull);

/** Processes records or a checkpoint from a peer. */
void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const NodeId& aFrom,
              const ConfigPush& aPush);

/** Returns whether callers may be served with the configuration: it is loaded,
 * holds a document and has not been behind the highest reported offset for
 * longer than kMaxServingLag. Pure. */
bool
IsConfigCurrent(const ConfigReaderState& aState, TimePoint aNow);

} // namespace vanillascale

#endif
