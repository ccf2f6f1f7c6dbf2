#ifndef VANILLASCALE_INTENTFOLD_H
#define VANILLASCALE_INTENTFOLD_H

#include "Messages.h"

#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace vanillascale {

/** A strict order of owners, for ordered containers. */
struct IntentOwnerLess
{
  bool operator()(const IntentOwner& aLeft, const IntentOwner& aRight) const
  {
    return std::tie(aLeft.mProxy, aLeft.mIncarnation, aLeft.mRequest) <
           std::tie(aRight.mProxy, aRight.mIncarnation, aRight.mRequest);
  }
};

/** The decision of the log about one key. */
struct KeyEntry
{
  /** The owner of the first intent or kill for the key. Only it may send the
   * request of the key, and only while mIsEnded is false. */
  IntentOwner mWinner;
  std::uint64_t mFingerprint = 0;
  /** The winner has given up its right to send, so no request of the key ever
   * runs. This keeps the outcome "not run" true for all requests of the key,
   * including one whose intent has not reached the log yet. */
  bool mIsEnded = false;
};

/** The intents of one shard up to an offset of its stream. The first intent for
 * a key in offset order wins. At-most-once execution rests on this rule and on
 * each owner sending at most once. */
struct IntentFoldState
{
  LogOffset mOffset = 0;
  std::unordered_map<RequestKey, KeyEntry> mKeys;
  /** Owners that have given up their right to send. An intent of theirs that
   * comes later in the log never wins. */
  std::set<IntentOwner, IntentOwnerLess> mKilledOwners;
  /** Owners whose intents were appended outside their key's time window. */
  std::set<IntentOwner, IntentOwnerLess> mTooOldOwners;
  /** The latest append time of a folded record, in ms since 1970. */
  std::int64_t mNewestAppendMs = 0;
};

/** Applies one record to the fold. Unreadable records are skipped, in the same
 * way on every node. A record at or below the fold's offset changes nothing.
 * Modifies nothing but aState. */
void
FoldIntents(IntentFoldState& aState, const LogRecord& aRecord);

/** Returns the decision of the folded part of the log about one owner's intent,
 * or nullopt if it is not decided yet. Pure. */
std::optional<IntentDecision>
DecideIntent(const IntentFoldState& aState, const IntentRequest& aRequest);

/** Removes keys that are more than two key windows older than the newest
 * record; an intent for such a key can no longer win. */
void
RemoveOldKeys(IntentFoldState& aState);

/** Serializes a batch of intents as the payload of one log record. Pure. */
std::string
SerializeIntents(const std::vector<IntentRequest>& aBatch);

/** Parses the payload of a log record. Skips intents with a wrong number of
 * fields, and returns an empty batch for a payload that is malformed otherwise.
 * Pure. */
std::vector<IntentRequest>
ParseIntents(const std::string& aPayload);

} // namespace vanillascale

#endif
