#ifndef VANILLASCALE_FEEDMESSAGES_H
#define VANILLASCALE_FEEDMESSAGES_H

#include "Clock.h"
#include "Ids.h"
#include "MsgpackTypes.h"
#include "StorePosition.h"

#include <string>
#include <vector>

namespace vanillascale {

/** The messages by which nodes replicate keyed topics. Builds without eras send
 * positions as bare offsets, so that the eras stand at the end of each message;
 * a missing one is era 0. */

/** The place of an entry among those that its writer has written. The store may
 * execute a write seconds after later ones of the same writer, so the offsets
 * of the records do not tell which entry is the newer one. */
struct EntryOrder
{
  /** Identifies one start of the writer, and is higher for a later one unless
   * the writer's clock was set back; 0 if the entry has no order. */
  std::uint64_t mEpoch = 0;
  /** Higher for each later entry of the epoch. */
  std::uint64_t mSequence = 0;
  MSGPACK_DEFINE(mEpoch, mSequence)
};

/** The newest record of one key of a keyed topic. An empty value marks a
 * removed key. */
struct FeedEntry
{
  std::string mKey;
  StorePosition mPosition{};
  std::string mValue;
  EntryOrder mOrder{};
  MSGPACK_DEFINE(mKey, mPosition.mOffset, mValue, mOrder, mPosition.mEra)
};

/** Forwards entries that the sender has read from a keyed topic: those that
 * changed between mAfter and mEnd or, with mIsSnapshot, all entries. A push
 * without mIsSnapshot and without entries reports that nothing has changed. */
struct FeedPush
{
  std::string mTopic;
  StorePosition mAfter{};
  StorePosition mEnd{};
  bool mIsSnapshot = false;
  /** Age of the sender's copy of the topic when the message is sent. */
  Duration mAge{ 0 };
  std::vector<FeedEntry> mEntries;
  /** The revision of the sender's copy, if the topic has revisions. */
  std::uint64_t mRevision = 0;
  /** With mIsSnapshot: the entries are those after this key, and more follow.
   */
  std::string mPageAfter{};
  bool mHasMore = false;
  /** The node that pushed first and, if the push is forwarded, a number that
   * differs from push to push and determines which node forwards it to which.
   */
  NodeId mTreeRoot{};
  std::uint64_t mTreeSeed = 0;
  /** The digest of the sender's copy at mEnd, if the topic has revisions; 0 if
   * the sender states none. */
  std::uint64_t mDigest = 0;
  MSGPACK_DEFINE(mTopic,
                 mAfter.mOffset,
                 mEnd.mOffset,
                 mIsSnapshot,
                 mAge,
                 mEntries,
                 mRevision,
                 mPageAfter,
                 mHasMore,
                 mTreeRoot,
                 mTreeSeed,
                 mDigest,
                 mAfter.mEra,
                 mEnd.mEra)
};

/** Requests the entries of a keyed topic that changed after mEnd, or a copy of
 * all if the peer does not know which these are. A peer that has read less than
 * mEnd ignores it, unless it has a later revision. */
struct FeedPull
{
  std::string mTopic;
  StorePosition mEnd{};
  /** The sender accepts a copy in pages. Older versions send copies whole. */
  bool mAcceptsPages = false;
  /** Requests the page of a copy after this key; empty for the first one. */
  std::string mPageAfter{};
  /** The revision of the sender's copy, if the topic has revisions. */
  std::uint64_t mRevision = 0;
  MSGPACK_DEFINE(mTopic,
                 mEnd.mOffset,
                 mAcceptsPages,
                 mPageAfter,
                 mEnd.mEra,
                 mRevision)
};

} // namespace vanillascale

#endif
