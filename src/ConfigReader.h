#ifndef VANILLASCALE_CONFIGREADER_H
#define VANILLASCALE_CONFIGREADER_H

#include "ConfigFold.h"
#include "Effects.h"
#include "Membership.h"

#include <deque>
#include <set>

namespace vanillascale {

/** How a node keeps up with the configuration stream. Two nodes of each zone
 * tail the log and push what they read to their zone; the others pull when they
 * hear of a higher offset, and read the log themselves if nobody answers. */
struct ConfigReaderState
{
  std::string mStream;
  ConfigState mConfig;
  /** The state is known to be as new as anybody told. */
  bool mIsLoaded = false;
  /** The latest records, for peers that are behind. */
  std::deque<LogRecord> mRecentRecords;
  bool mIsReading = false;
  /** Where the search for a checkpoint goes on, if records are missing. */
  LogOffset mCheckpointSearchOffset = 0;
  TimePoint mNextReadAt{};
  TimePoint mNextPullAt{};
  TimePoint mStartedAt{};
  /** Since when a higher offset has been heard of; unset while not behind. */
  TimePoint mBehindSince{};
  /** Peers that have told their state, while this node starts. */
  std::set<NodeId> mRespondedPeers;
  LogOffset mLastCheckpointOffset = 0;
  TimePoint mLastCheckpointAt{};
  std::uint64_t mToken = 0;
  bool mIsAppending = false;

  /** Makes the state of a node that knows no configuration. */
  static ConfigReaderState Make(const std::string& aEnvironment,
                                TimePoint aNow);
};

/** What the reader's decisions rest on beside its own state. */
struct ConfigContext
{
  TimePoint mNow{};
  MembershipState& mMembers;
  Random& mRandom;
  Effects& mEffects;
};

/** Reads, pulls and writes checkpoints when they are due. */
void
ConfigTick(ConfigReaderState& aState, const ConfigContext& aContext);

/** Takes in what was read of the stream. */
void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const LogReadResult& aRead);

/** Takes in how the append of a checkpoint ended. */
void
ConfigReceive(ConfigReaderState& aState, const LogAppendResult& aAppended);

/** Answers a peer that is behind. */
void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const NodeId& aFrom,
              const ConfigPull& aPull);

/** Takes in records or a checkpoint from a peer. */
void
ConfigReceive(ConfigReaderState& aState,
              const ConfigContext& aContext,
              const NodeId& aFrom,
              const ConfigPush& aPush);

/** Whether the configuration is fit to serve callers by: it is as new as any
 * that was heard of, or has been behind only for a moment. Pure. */
bool
IsConfigCurrent(const ConfigReaderState& aState, TimePoint aNow);

} // namespace vanillascale

#endif
