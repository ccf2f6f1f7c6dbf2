#ifndef VANILLASCALE_ENTRYORDERS_H
#define VANILLASCALE_ENTRYORDERS_H

#include "Messages.h"

#include <map>
#include <string>

namespace vanillascale {

/** Decides which of two entries of a key its writer has written later. The
 * store may execute a write that it did not answer seconds after later ones, so
 * that a record with a higher offset may hold the earlier entry. */

/** Where an entry comes from. */
enum class EntrySource
{
  Store,
  Peer
};

/** What a node remembers of the order of entries beside those in its copy. Not
 * thread safe. */
struct EntryOrders
{
  struct Remembered
  {
    EntryOrder mOrder;
    TimePoint mForgetAt{};
  };

  /** By key: the order of the last entry, which was removed. */
  std::map<std::string, Remembered> mRemoved;
  /** By key: the order of the last entry that was skipped because its epoch is
   * lower than the known one. */
  std::map<std::string, Remembered> mLowerEpochs;
  TimePoint mNextForgetAt{};
};

/** Returns whether aOrder is of the same epoch as aKnown and later. Pure. */
bool
IsLater(const EntryOrder& aKnown, const EntryOrder& aOrder);

/** The last known entry of a key. */
struct KnownEntry
{
  /** Without an epoch if there is none. */
  EntryOrder mOrder;
  bool mIsRemoved = false;
};

/** Returns whether the writer of an entry has written a later one, or the entry
 * itself was removed: a store that was restored has it again. A single entry of
 * a lower epoch that was read from the store is a late write; a second, later
 * one shows that the writer has started again with its clock set back. A peer
 * has skipped such entries itself. */
bool
IsOutdated(EntryOrders& aOrders,
           TimePoint aNow,
           const KnownEntry& aKnown,
           const FeedEntry& aEntry,
           EntrySource aSource);

/** Returns the order of a key's last entry, which was removed; without an epoch
 * if it is not known. Pure. */
EntryOrder
FindRemovedOrder(const EntryOrders& aOrders, const std::string& aKey);

/** Records that an entry was removed from the copy. */
void
RecordRemoval(EntryOrders& aOrders, TimePoint aNow, const FeedEntry& aEntry);

/** Records that an entry of a key was added to the copy. */
void
RecordApplied(EntryOrders& aOrders, const std::string& aKey);

/** Forgets what was recorded too long ago for a late write. */
void
ForgetOldOrders(EntryOrders& aOrders, TimePoint aNow);

} // namespace vanillascale

#endif
