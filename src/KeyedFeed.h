#ifndef VANILLASCALE_KEYEDFEED_H
#define VANILLASCALE_KEYEDFEED_H

#include "Effects.h"
#include "EntryOrders.h"
#include "FeedCopy.h"
#include "FeedDeltas.h"
#include "Membership.h"

#include <array>
#include <map>
#include <vector>

namespace vanillascale {

/** The timing with which a node replicates a keyed topic. */
struct FeedSettings
{
  std::string mTopic;
  /** The delay between the end of a read and the next one. */
  Duration mReadInterval{ 0 };
  /** How long a read waits at the store for a new record (long polling). */
  Duration mWait{ 0 };
  /** How long a starting node requests a copy from its peers before it reads
   * the store itself. */
  Duration mPeerLoadTimeout{ 0 };
  /** The nodes that read the store first when a fleet starts. */
  std::vector<NodeId> mSeeds;
  /** How long after the start a node does not read the store as the reader of
   * its zone: until it knows most members, it may wrongly rank itself first. */
  Duration mViewSettleTime{ 0 };
  /** The age of its copy from which on a node reads the store although it is
   * not the reader of its zone. */
  Duration mStaleAfter{ 0 };
  /** How long entries that were removed during an outage of the store stay in
   * use after the outage: their owners could not renew them and may write them
   * again. */
  Duration mOutageGracePeriod{ 0 };
  /** The number of changed entries that are kept for peers that are behind. */
  std::size_t mMaxRecentEntries = 0;
  /** Each record of the topic replaces all entries of the one before, and has a
   * revision. The differences between two records then apply only to a copy at
   * the first of them. */
  bool mHasWholeRecords = false;
};

/** A node's copy of a keyed topic of the platform's store.
 *
 * One node of each zone reads the store, with a delay between reads that bounds
 * the rate of calls, and pushes the changed entries to the nodes of its zone,
 * in a large zone along a tree; an empty push confirms that nothing has
 * changed. A node that misses a push requests the changes from the sender of
 * the next one. A starting node requests a copy from its peers first: a full
 * read takes several calls, and all nodes may start at once. */
struct KeyedFeedState
{
  FeedSettings mSettings;
  std::map<std::string, FeedEntry> mEntries;
  /** The sum of the EntryDigest of all entries. */
  std::uint64_t mDigest = 0;
  /** All records before this position have been applied. */
  StorePosition mEnd{};
  /** The revision of the entries, if the topic has revisions. */
  std::uint64_t mRevision = 0;
  /** The keys of entries that were added, replaced or removed, in this order.
   * The owner of the feed clears the list when it has processed it. */
  std::vector<std::string> mChangedKeys;
  /** The latest changes, oldest first and without gaps, sent to peers that are
   * behind. */
  FeedDeltas mRecentDeltas;
  /** The seeds of the latest pushes that were forwarded, so that none is
   * forwarded twice. */
  std::array<std::uint64_t, 16> mForwardedSeeds{};
  std::size_t mForwardedCount = 0;
  /** The copy that is being received, if there is one. */
  std::optional<FeedCopy> mCopy;
  /** The node has a full copy. */
  bool mIsLoaded = false;
  TimePoint mStartedAt{};
  /** The latest time at which the copy is known to match the store. */
  TimePoint mFreshAt{};
  /** The peer that the copy was last confirmed by; empty for the store. */
  NodeId mConfirmedBy;
  bool mIsReading = false;
  /** Whether the current or last read returns all entries, and otherwise where
   * it starts. */
  bool mIsFullRead = false;
  StorePosition mReadFrom{};
  /** When the current or last read was started, and how long it may wait for a
   * new record. */
  TimePoint mReadStartedAt{};
  Duration mReadWait{ 0 };
  /** The next read has to return all entries, not only the changed ones. */
  bool mNeedsFullRead = true;
  /** A peer has other entries at the same revision, and the store was not read
   * since. */
  bool mHasConflict = false;
  /** When the store may be read because of a conflict again. */
  TimePoint mNextConflictReadAt{};
  TimePoint mNextReadAt{};
  TimePoint mNextPullAt{};
  /** A peer whose copy is of a later era than this node's, and the start of
   * that era. */
  NodeId mLaterEraPeer;
  StorePosition mLaterEra{};
  /** The number of requests to other zones that are left to find out whether
   * they serve a later revision than the first copy of this node. */
  unsigned mRevisionChecks = 0;
  /** The number of copies that were requested. */
  unsigned mCopyPulls = 0;
  /** This node's rank among the readers of its zone; 0 is the reader, and the
   * others replace it in the order of their ranks. */
  std::size_t mReaderRank = 0;
  /** The membership version that mReaderRank was computed from. */
  std::uint64_t mRankedMembersVersion = 0;
  unsigned mConsecutiveFailures = 0;
  /** The number of reads in a row that were answered by an earlier era. */
  unsigned mEarlierAnswers = 0;
  /** Keys whose removal is deferred because of an outage, with the time at
   * which they are removed. */
  std::map<std::string, TimePoint> mPendingRemovals;
  /** What is known of the order of entries beside the entries themselves. */
  EntryOrders mOrders;
  /** The number of entries that were skipped because their writer had written a
   * later one, and the key of the last of them. */
  std::uint64_t mOutdatedEntries = 0;
  /** What was left out of the last record that this node read, or held at a
   * bound. */
  std::size_t mAdjustedEntries = 0;
  std::string mOutdatedKey;
  /** When the end of the store's last outage, or its last restore, was
   * detected.
   */
  TimePoint mOutageEndedAt{};
  /** Incremented whenever an entry is added, removed or gets a new value. */
  std::uint64_t mVersion = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mFailedReads = 0;

  /** Returns an empty copy, for a node that starts at aNow. */
  static KeyedFeedState Make(FeedSettings aSettings, TimePoint aNow);
};

/** The inputs and outputs of the functions below, beside the feed's state. */
struct FeedContext
{
  TimePoint mNow{};
  const MembershipState& mMembers;
  Random& mRandom;
  Effects& mEffects;
};

/** Starts the read of the store or the request to a peer that is due, and
 * removes entries whose grace period has passed. Requests go to a node of
 * another zone while the store answers none of this node's zone. */
void
FeedTick(KeyedFeedState& aState, const FeedContext& aContext);

/** Applies the result of a read and pushes the changes to the zone. */
void
FeedReceive(KeyedFeedState& aState,
            const FeedContext& aContext,
            const FeedReadResult& aRead);

/** Applies a peer's push, and forwards it where it is to be forwarded. Requests
 * the missing changes from the peer if the push does not connect to this node's
 * copy, and a whole copy if they do not lead to the content that the peer
 * states. */
void
FeedReceive(KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPush& aPush);

/** Sends the changes since the peer's end, none if it has all, or a page of a
 * copy if they are not known, to a peer that requests them. Ignores the request
 * if this node has no copy or the peer has read further. */
void
FeedReceive(const KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPull& aPull);

} // namespace vanillascale

#endif
