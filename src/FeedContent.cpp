#include "FeedContent.h"

#include "FeedDigest.h"

#include <set>

namespace vanillascale {

namespace {

/** How long the removal of an entry waits after its grace period for a read
 * that confirms it. Reads of targets are 0.45 s apart; a node that gets none
 * for longer than this has no list to compare with. */
constexpr Duration kMaxConfirmationDelay = std::chrono::milliseconds(800);

/** Removes an entry at once. */
void
RemoveEntry(KeyedFeedState& aState, TimePoint aNow, const std::string& aKey)
{
  auto it = aState.mEntries.find(aKey);
  if (it != aState.mEntries.end()) {
    RecordRemoval(aState.mOrders, aNow, it->second);
    aState.mDigest -= EntryDigest(it->second);
    aState.mEntries.erase(it);
    ++aState.mVersion;
    aState.mChangedKeys.push_back(aKey);
  }
  aState.mPendingRemovals.erase(aKey);
}

/** Removes an entry, or defers the removal to the end of the grace period after
 * an outage: the entry may have expired only because its owner could not reach
 * the store. */
void
RemoveOrDefer(KeyedFeedState& aState, TimePoint aNow, const std::string& aKey)
{
  TimePoint until = aState.mOutageEndedAt + aState.mSettings.mOutageGracePeriod;
  bool isAfterOutage = aState.mOutageEndedAt != TimePoint{} && aNow < until;
  if (isAfterOutage && aState.mEntries.count(aKey) > 0) {
    aState.mPendingRemovals.emplace(aKey, until);
  } else {
    RemoveEntry(aState, aNow, aKey);
  }
}

/** Applies one entry. Returns whether it changes the copy. Entries of a topic
 * that has no whole records are skipped if the copy has one that is as new.
 * Where records replace each other, offsets tell nothing of that: an entry that
 * is the same in two records keeps the offset of the first at nodes that
 * received only what had changed. */
bool
ApplyEntry(KeyedFeedState& aState,
           TimePoint aNow,
           const FeedEntry& aEntry,
           EntrySource aSource)
{
  auto it = aState.mEntries.find(aEntry.mKey);
  EntryOrder known = it != aState.mEntries.end()
                       ? it->second.mOrder
                       : FindRemovedOrder(aState.mOrders, aEntry.mKey);
  bool isAsNew =
    it != aState.mEntries.end() && !aState.mSettings.mHasWholeRecords &&
    it->second.mPosition >= aEntry.mPosition && !IsLater(known, aEntry.mOrder);
  if (isAsNew) {
    return false;
  }
  if (!aEntry.mValue.empty() &&
      IsOutdated(aState.mOrders,
                 aNow,
                 { known, it == aState.mEntries.end() },
                 aEntry,
                 aSource)) {
    ++aState.mOutdatedEntries;
    aState.mOutdatedKey = aEntry.mKey;
    return false;
  }
  if (aEntry.mValue.empty()) {
    bool isRemoved = it != aState.mEntries.end();
    RemoveOrDefer(aState, aNow, aEntry.mKey);
    return isRemoved;
  }
  bool isRestored = aState.mPendingRemovals.erase(aEntry.mKey) > 0;
  bool isNew =
    it == aState.mEntries.end() || it->second.mValue != aEntry.mValue;
  if (it != aState.mEntries.end()) {
    aState.mDigest -= EntryDigest(it->second);
  }
  aState.mDigest += EntryDigest(aEntry);
  aState.mEntries[aEntry.mKey] = aEntry;
  RecordApplied(aState.mOrders, aEntry.mKey);
  if (isNew) {
    ++aState.mVersion;
    aState.mChangedKeys.push_back(aEntry.mKey);
  }
  return isNew || isRestored;
}

/** Returns whether the copy has an entry as the record since the copy's end
 * wrote it. Peers may have seen other records of its key in between, so that
 * they lack the entry even if this node has had its value before. */
bool
IsWrittenSinceEnd(const KeyedFeedState& aState, const FeedEntry& aEntry)
{
  auto it = aState.mEntries.find(aEntry.mKey);
  return !aState.mSettings.mHasWholeRecords &&
         aEntry.mPosition >= aState.mEnd && it != aState.mEntries.end() &&
         it->second.mPosition == aEntry.mPosition;
}

} // namespace

std::vector<FeedEntry>
ApplyEntries(KeyedFeedState& aState,
             TimePoint aNow,
             const std::vector<FeedEntry>& aEntries,
             EntrySource aSource)
{
  std::vector<FeedEntry> changes;
  for (const FeedEntry& it : aEntries) {
    if (ApplyEntry(aState, aNow, it, aSource)) {
      changes.push_back(it);
    }
  }
  return changes;
}

std::vector<FeedEntry>
ApplySnapshot(KeyedFeedState& aState,
              TimePoint aNow,
              const StorePosition& aEnd,
              const std::vector<FeedEntry>& aEntries,
              EntrySource aSource)
{
  std::set<std::string> present;
  for (const FeedEntry& it : aEntries) {
    present.insert(it.mKey);
  }
  std::vector<FeedEntry> changes;
  for (const FeedEntry& it : aEntries) {
    // What the store has is not missing, even if a later entry is known.
    bool isRestored =
      !it.mValue.empty() && aState.mPendingRemovals.erase(it.mKey) > 0;
    if (ApplyEntry(aState, aNow, it, aSource) || isRestored ||
        IsWrittenSinceEnd(aState, it)) {
      changes.push_back(it);
    }
  }
  std::vector<std::string> absent;
  for (const auto& [key, entry] : aState.mEntries) {
    bool isOlder = aState.mSettings.mHasWholeRecords || entry.mPosition < aEnd;
    if (isOlder && present.count(key) == 0) {
      absent.push_back(key);
    }
  }
  for (const std::string& it : absent) {
    RemoveOrDefer(aState, aNow, it);
    changes.push_back({ it, aEnd, "" });
  }
  return changes;
}

void
RemoveExpiredEntries(KeyedFeedState& aState, TimePoint aNow)
{
  std::vector<std::string> expired;
  for (const auto& [key, until] : aState.mPendingRemovals) {
    // An entry that was written again within the period is known only from a
    // read of after its end.
    bool isConfirmed =
      aState.mFreshAt >= until || aNow >= until + kMaxConfirmationDelay;
    if (aNow >= until && isConfirmed) {
      expired.push_back(key);
    }
  }
  for (const std::string& it : expired) {
    RemoveEntry(aState, aNow, it);
  }
}

} // namespace vanillascale
