#include "IntentFold.h"

#include "RequestKeys.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillascale {

namespace {

using Json = nlohmann::json;

/** The number of fields of an intent in the payload of a record:
 * [key, proxy, incarnation, request, fingerprint, isKill]. */
constexpr std::size_t kIntentFieldCount = 6;

/** Returns whether an intent was appended outside the time window of its key,
 * so that the log may not hold all intents for the key: the key is older than
 * the window, is dated in the future beyond the clock skew, or has no valid
 * time. */
bool
IsOutsideWindow(const RequestKey& aKey, std::int64_t aAppendedAtMs)
{
  auto made = KeyCreationTime(aKey);
  if (!made) {
    return true;
  }
  // Both times are in the log, so every reader computes the same result.
  std::int64_t age = aAppendedAtMs - made->time_since_epoch().count();
  return age > kMaxKeyAge.count() || age < -kMaxKeyClockSkew.count();
}

/** Applies one intent of a record that was appended at aAppendedAtMs. */
void
FoldIntent(IntentFoldState& aState,
           const IntentRequest& aIntent,
           std::int64_t aAppendedAtMs)
{
  if (aIntent.mIsRevocation) {
    aState.mKilledOwners.insert(aIntent.mOwner);
    // Ends a key without a winner as well: the intent of an earlier request
    // with the same key may still reach the log later.
    KeyEntry& entry =
      aState.mKeys
        .try_emplace(aIntent.mKey,
                     KeyEntry{ aIntent.mOwner, aIntent.mFingerprint, false })
        .first->second;
    entry.mIsEnded = entry.mIsEnded || entry.mWinner == aIntent.mOwner;
    return;
  }
  if (aState.mKilledOwners.count(aIntent.mOwner) > 0) {
    return;
  }
  if (IsOutsideWindow(aIntent.mKey, aAppendedAtMs)) {
    aState.mTooOldOwners.insert(aIntent.mOwner);
    return;
  }
  aState.mKeys.try_emplace(
    aIntent.mKey, KeyEntry{ aIntent.mOwner, aIntent.mFingerprint, false });
}

} // namespace

void
FoldIntents(IntentFoldState& aState, const LogRecord& aRecord)
{
  if (aRecord.mOffset <= aState.mOffset) {
    return;
  }
  aState.mOffset = aRecord.mOffset;
  aState.mNewestAppendMs =
    std::max(aState.mNewestAppendMs, aRecord.mAppendedAtMs);
  for (const IntentRequest& it : ParseIntents(aRecord.mPayload)) {
    FoldIntent(aState, it, aRecord.mAppendedAtMs);
  }
}

std::optional<IntentDecision>
DecideIntent(const IntentFoldState& aState, const IntentRequest& aRequest)
{
  IntentDecision decision;
  decision.mRequest = aRequest.mOwner.mRequest;
  auto it = aState.mKeys.find(aRequest.mKey);
  bool hasEntry = it != aState.mKeys.end();
  if (hasEntry && it->second.mIsEnded) {
    decision.mState = IntentState::Revoked;
    return decision;
  }
  bool isKilled = aState.mKilledOwners.count(aRequest.mOwner) > 0;
  if (aRequest.mIsRevocation && !isKilled) {
    return std::nullopt;
  }
  if (aState.mTooOldOwners.count(aRequest.mOwner) > 0) {
    decision.mState = IntentState::TooOld;
    return decision;
  }
  if (!hasEntry) {
    return std::nullopt;
  }
  if (it->second.mWinner == aRequest.mOwner) {
    decision.mState = IntentState::Won;
  } else if (it->second.mFingerprint != aRequest.mFingerprint) {
    decision.mState = IntentState::KeyReused;
  } else {
    decision.mState = IntentState::Lost;
    decision.mWinner = it->second.mWinner;
  }
  return decision;
}

void
RemoveOldKeys(IntentFoldState& aState)
{
  std::int64_t oldest = aState.mNewestAppendMs - 2 * kMaxKeyAge.count();
  for (auto it = aState.mKeys.begin(); it != aState.mKeys.end();) {
    auto made = KeyCreationTime(it->first);
    bool isOld = !made || made->time_since_epoch().count() < oldest;
    it = isOld ? aState.mKeys.erase(it) : std::next(it);
  }
}

std::string
SerializeIntents(const std::vector<IntentRequest>& aBatch)
{
  Json list = Json::array();
  for (const IntentRequest& it : aBatch) {
    list.push_back({ it.mKey.mValue,
                     it.mOwner.mProxy.mValue,
                     it.mOwner.mIncarnation,
                     it.mOwner.mRequest,
                     it.mFingerprint,
                     it.mIsRevocation });
  }
  return list.dump();
}

std::vector<IntentRequest>
ParseIntents(const std::string& aPayload)
{
  Json json = Json::parse(aPayload, nullptr, false);
  if (!json.is_array()) {
    return {};
  }
  std::vector<IntentRequest> batch;
  try {
    for (const Json& it : json) {
      if (!it.is_array() || it.size() != kIntentFieldCount) {
        continue;
      }
      IntentRequest intent;
      intent.mKey = RequestKey(it[0].get<std::string>());
      intent.mOwner.mProxy = NodeId(it[1].get<std::string>());
      intent.mOwner.mIncarnation = it[2].get<std::uint64_t>();
      intent.mOwner.mRequest = it[3].get<std::uint64_t>();
      intent.mFingerprint = it[4].get<std::uint64_t>();
      intent.mIsRevocation = it[5].get<bool>();
      batch.push_back(std::move(intent));
    }
  } catch (const Json::exception&) {
    return {};
  }
  return batch;
}

} // namespace vanillascale
