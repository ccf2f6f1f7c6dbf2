#ifndef VANILLASCALE_INTENTWRITER_H
#define VANILLASCALE_INTENTWRITER_H

#include "Effects.h"
#include "IntentFold.h"
#include "NodeEvents.h"

#include <map>

namespace vanillascale {

/** The number of intent streams of an environment, one for each shard. */
constexpr std::size_t kIntentShardCount = 4;

/** The maximum rate of appends of the writers of all shards together, per
 * second. */
constexpr int kMaxIntentAppendsPerSecond = 300;

/** An intent that the log has not decided yet. */
struct PendingIntent
{
  IntentRequest mRequest;
  /** The node that sent the latest request for this intent. */
  NodeId mRequester;
  TimePoint mRequestedAt{};
  /** An append with this intent succeeded or ended with an unknown outcome, so
   * the intent may be in the log. */
  bool mMayBeWritten = false;
};

/** The writer of one shard. It appends intents in batches, reads the stream
 * back and sends the decisions to the nodes that requested them. Several
 * writers may work on one shard at the same time: the order of the log decides,
 * not the writer. */
struct IntentWriterState
{
  std::string mStream;
  IntentFoldState mFold;
  /** The fold has reached the end of the stream at least once. Appends start
   * only then. */
  bool mIsCaughtUp = false;
  std::map<IntentOwner, PendingIntent, IntentOwnerLess> mPending;
  /** The owners of the intents in the latest append. */
  std::vector<IntentOwner> mBatchOwners;
  /** Identifies the latest append. */
  std::uint64_t mToken = 0;
  bool mIsAppending = false;
  bool mIsReading = false;
  TimePoint mNextAppendAt{};
  TimePoint mNextReadAt{};
  TimePoint mNextKeyCleanupAt{};
  /** The latest append was refused or its outcome is unknown. */
  bool mIsLogUnavailable = false;
  std::uint64_t mAppends = 0;

  /** Returns the writer of a stream, with nothing read yet. */
  static IntentWriterState Make(std::string aStream);
};

/** Returns the name of the stream that holds a key's intents. Pure. */
std::string
IntentStream(const std::string& aEnvironment, const RequestKey& aKey);

/** Returns the names of the streams of all shards. Pure. */
std::vector<std::string>
IntentStreams(const std::string& aEnvironment);

/** Handles a request to write an intent. Answers at once if the log has decided
 * it already. */
void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const NodeId& aFrom,
                    const IntentRequest& aRequest,
                    Effects& aEffects);

/** Handles the end of an append of this writer. */
void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const LogAppendResult& aAppended,
                    Effects& aEffects);

/** Folds the records that were read, and sends the decisions once the end of
 * the stream is reached. */
void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const LogReadResult& aRead,
                    Effects& aEffects);

/** Expires pending intents and old keys, and starts the append or read that is
 * due. */
void
IntentWriterTick(IntentWriterState& aState, TimePoint aNow, Effects& aEffects);

} // namespace vanillascale

#endif
