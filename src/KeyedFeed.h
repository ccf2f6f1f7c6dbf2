#ifndef VANILLASCALE_KEYEDFEED_H
#define VANILLASCALE_KEYEDFEED_H

#include "Effects.h"
#include "Membership.h"

#include <map>

namespace vanillascale {

/** How a keyed topic is followed. */
struct FeedSettings
{
  std::string mTopic;
  /** Between the end of a read and the next. */
  Duration mReadInterval{ 0 };
  /** How long a read waits at the store for a record to come. */
  Duration mWait{ 0 };
  /** How long a node that starts leaves the store alone and asks its peers. */
  Duration mPeerLoadTimeout{ 0 };
  /** Without news of the store for so long, a node reads it itself. */
  Duration mStaleAfter{ 0 };
  /** How long entries that vanished while the store was away stay in use after
   * its return: their owners may write them again. */
  Duration mOutageGracePeriod{ 0 };
};

/** A node's copy of a keyed topic of the platform's store.
 *
 * One node of each zone reads the store, at a pace that bounds the calls, and
 * passes on to its zone what has changed, or that nothing has. A node
 * may be told to ask its peers first: a whole copy takes several calls, and all
 * nodes start at once. */
struct KeyedFeedState
{
  FeedSettings mSettings;
  std::map<std::string, FeedEntry> mEntries;
  /** All records before this offset are folded. */
  LogOffset mEnd = 0;
  bool mIsLoaded = false;
  TimePoint mStartedAt{};
  /** The copy was what the store held at this time. */
  TimePoint mFreshAt{};
  bool mIsReading = false;
  /** The next read has to be of all entries. */
  bool mNeedsFullRead = true;
  TimePoint mNextReadAt{};
  TimePoint mNextPullAt{};
  /** This node's place among the readers of its zone, and the version of the
   * members that it was worked out from. */
  std::size_t mReaderRank = 0;
  std::uint64_t mRankedMembersVersion = 0;
  /** Failed reads, one after the other. */
  unsigned mConsecutiveFailures = 0;
  /** Entries that vanished around an outage, with the time to drop them. */
  std::map<std::string, TimePoint> mPendingRemovals;
  /** When the store was last found to be back after an outage. */
  TimePoint mOutageEndedAt{};
  /** Raised with each change of an entry. */
  std::uint64_t mVersion = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mFailedReads = 0;

  /** Makes the copy of a node that knows nothing yet. */
  static KeyedFeedState Make(FeedSettings aSettings, TimePoint aNow);
};

/** What the feed's decisions rest on beside its own state. */
struct FeedContext
{
  TimePoint mNow{};
  const MembershipState& mMembers;
  Random& mRandom;
  Effects& mEffects;
};

/** Starts the read or the question to a peer that is due, and drops entries
 * whose time to come back has passed. */
void
FeedTick(KeyedFeedState& aState, const FeedContext& aContext);

/** Takes in how a read ended, and passes on what it brought. */
void
FeedReceive(KeyedFeedState& aState,
            const FeedContext& aContext,
            const FeedRead& aRead);

/** Takes in what a peer passes on. */
void
FeedReceive(KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPush& aPush);

/** Answers a peer that lacks entries. */
void
FeedReceive(const KeyedFeedState& aState,
            const FeedContext& aContext,
            const NodeId& aFrom,
            const FeedPull& aPull);

} // namespace vanillascale

#endif
