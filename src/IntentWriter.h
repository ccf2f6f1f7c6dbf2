#ifndef VANILLASCALE_INTENTWRITER_H
#define VANILLASCALE_INTENTWRITER_H

#include "Effects.h"
#include "IntentFold.h"
#include "NodeEvents.h"

#include <map>

namespace vanillascale {

/** How many streams the intents of an environment are spread over. */
constexpr std::size_t kIntentShardCount = 4;

/** Appends a second that all intent writers together may make. */
constexpr int kMaxIntentAppendsPerSecond = 300;

/** An intent whose fate has still to be read back from the log. */
struct PendingIntent
{
  IntentRequest mRequest;
  /** Who asked last. */
  NodeId mRequester;
  TimePoint mRequestedAt{};
  /** An append with it ended without an answer: it may be in the log. */
  bool mMayBeWritten = false;
};

/** The writer of one shard: gathers intents into batches, appends them, reads
 * them back and tells their owners what the log says. Any number of writers may
 * be at work on a shard at once: the log's order decides, not the writer. */
struct IntentWriterState
{
  std::string mStream;
  IntentFoldState mFold;
  /** The fold has reached the end of the stream at least once. */
  bool mIsCaughtUp = false;
  std::map<IntentOwner, PendingIntent, IntentOwnerLess> mPending;
  /** Owners of the batch that is being appended. */
  std::vector<IntentOwner> mBatchOwners;
  std::uint64_t mToken = 0;
  bool mIsAppending = false;
  bool mIsReading = false;
  TimePoint mNextAppendAt{};
  TimePoint mNextReadAt{};
  TimePoint mNextKeyCleanupAt{};
  bool mIsLogUnavailable = false;
  std::uint64_t mAppends = 0;

  /** Makes the writer for a stream. */
  static IntentWriterState Make(std::string aStream);
};

/** The stream of a key's shard. Pure. */
std::string
IntentStream(const std::string& aEnvironment, const RequestKey& aKey);

/** The shards' streams. Pure. */
std::vector<std::string>
IntentStreams(const std::string& aEnvironment);

/** Takes in an intent; answers at once where the log has decided it. */
void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const NodeId& aFrom,
                    const IntentRequest& aRequest,
                    Effects& aEffects);

/** Takes in how an append of this writer ended. */
void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const LogAppended& aAppended,
                    Effects& aEffects);

/** Takes in what was read of the stream and tells owners their fate. */
void
IntentWriterReceive(IntentWriterState& aState,
                    TimePoint aNow,
                    const LogRead& aRead,
                    Effects& aEffects);

/** Starts the append or read that is due. */
void
IntentWriterTick(IntentWriterState& aState, TimePoint aNow, Effects& aEffects);

} // namespace vanillascale

#endif
