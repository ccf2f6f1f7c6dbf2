#ifndef VANILLASCALE_INTENTFOLD_H
#define VANILLASCALE_INTENTFOLD_H

#include "Messages.h"

#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace vanillascale {

/** Orders owners, so that they can be kept in sets. */
struct IntentOwnerLess
{
  bool operator()(const IntentOwner& aLeft, const IntentOwner& aRight) const
  {
    return std::tie(aLeft.mProxy, aLeft.mIncarnation, aLeft.mRequest) <
           std::tie(aRight.mProxy, aRight.mIncarnation, aRight.mRequest);
  }
};

/** Who may run the request of a key. */
struct KeyEntry
{
  IntentOwner mWinner;
  std::uint64_t mFingerprint = 0;
  /** Its winner vowed not to send: no request of the key ever runs, so that
   * "not run" stays true of every send of it, also of one that is still on its
   * way.
   */
  bool mIsEnded = false;
};

/** One shard's intents as of an offset of its stream. The first intent for a
 * key in offset order wins; that is all that at-most-once rests on, together
 * with each owner sending once at most. */
struct IntentFoldState
{
  LogOffset mOffset = 0;
  std::unordered_map<RequestKey, KeyEntry> mKeys;
  /** Owners that vowed not to send; an intent of theirs never wins. */
  std::set<IntentOwner, IntentOwnerLess> mKilledOwners;
  /** Intents that came into the log too long after their key was made. */
  std::set<IntentOwner, IntentOwnerLess> mTooOldOwners;
  /** The newest time that the log has put on a record. */
  std::int64_t mNewestAppendMs = 0;
};

/** Folds one record. Unreadable records are skipped, on every node alike. A
 * record at or below the offset changes nothing. Pure but for aState. */
void
FoldIntents(IntentFoldState& aState, const LogRecord& aRecord);

/** What the log, as far as it is folded, says of one owner's intent; nothing
 * where it does not decide it yet. Pure. */
std::optional<IntentDecision>
DecideIntent(const IntentFoldState& aState, const IntentRequest& aRequest);

/** Drops keys that are older than the log would still count. */
void
RemoveOldKeys(IntentFoldState& aState);

/** Writes a batch of intents as the payload of one log record. Pure. */
std::string
SerializeIntents(const std::vector<IntentRequest>& aBatch);

/** Reads a batch back; empty for a payload that is none. Pure. */
std::vector<IntentRequest>
ParseIntents(const std::string& aPayload);

} // namespace vanillascale

#endif
