#ifndef VANILLASCALE_MEMBERSHIP_H
#define VANILLASCALE_MEMBERSHIP_H

#include "Effects.h"
#include "NodeEvents.h"
#include "Random.h"

#include <map>
#include <set>
#include <vector>

namespace vanillascale {

/** One node's record of another node. */
struct Member
{
  ZoneName mZone;
  std::uint64_t mIncarnation = 0;
  MemberStatus mStatus = MemberStatus::Alive;
  /** CPU share of its VM, in percent of a core; 0 if unknown. */
  unsigned mCorePercent = 0;
  TimePoint mStatusSince{};
  /** Number of messages that still have to carry the member's latest update. */
  unsigned mTransmissionsLeft = 0;
  /** The latest update is the member's first one and reports it as alive. */
  bool mIsJoinUpdate = true;
  /** The process announced that it leaves, whether or not it is dead by now. */
  bool mHasLeft = false;
  /** The highest configuration offset that the member itself has reported. */
  LogOffset mConfigOffset = 0;
};

/** A probe that has not been acknowledged yet. */
struct Probe
{
  NodeId mNode;
  TimePoint mSentAt{};
  /** Other members have been asked to probe the node as well. */
  bool mIsIndirect = false;
};

/** A probe that this node sent at another member's request. */
struct RelayedProbe
{
  NodeId mRequester;
  std::uint64_t mRequesterSequence = 0;
  NodeId mSubject;
  TimePoint mSentAt{};
};

/** A ping to a node that this node has lost or does not know yet. */
struct ContactPing
{
  NodeId mNode;
  TimePoint mSentAt{};
};

/** The numbers of nodes in a view of the fleet. */
struct MemberCounts
{
  /** Nodes that are eligible for duties; see LiveMembers(). */
  std::size_t mLive = 0;
  /** Nodes that stopped answering without announcing that they leave. */
  std::size_t mUnreachable = 0;
  /** Seeds other than this node. */
  std::size_t mSeeds = 0;
  /** Seeds other than this node that are not live members. */
  std::size_t mUnreachableSeeds = 0;
};

/** One node's view of the fleet, kept by a gossip protocol in the manner of
 * SWIM. Each node probes one member per interval, first directly and then
 * through other members, and piggybacks membership updates on the probes, so
 * that the cost of a node does not grow with the size of the fleet. A starting
 * node requests the list of members from its peers a few times, and every node
 * compares its view with that of a random peer now and then: updates alone
 * would need the longer for the members of a starting fleet the larger it is,
 * and some are lost. Members that failed and seeds that do not answer are
 * contacted again at a low rate, so that the parts of a fleet meet once they
 * can reach each other; see MemberContacts.h. */
struct MembershipState
{
  NodeId mSelf;
  ZoneName mZone;
  /** The nodes that this node contacts first. */
  std::vector<NodeId> mSeeds;
  std::uint64_t mIncarnation = 0;
  /** CPU share of this VM, in percent of a core. */
  unsigned mCorePercent = 0;
  bool mIsLeaving = false;
  std::map<NodeId, Member> mMembers;
  /** The members in the order in which the current round probes them. */
  std::vector<NodeId> mProbeOrder;
  std::size_t mNextProbeIndex = 0;
  TimePoint mNextProbeAt{};
  TimePoint mLastTickAt{};
  /** When the next list of members is requested, and how many were. */
  TimePoint mNextPullAt{};
  unsigned mPulls = 0;
  /** A request was due while no peer had answered yet. */
  bool mHasWaited = false;
  /** The sequence number of the last probe that was sent. */
  std::uint64_t mSequence = 0;
  /** Probes that await an acknowledgement, by their sequence number. */
  std::map<std::uint64_t, Probe> mProbes;
  std::map<std::uint64_t, RelayedProbe> mRelayedProbes;
  /** Members whose latest update still has to be sent to peers. */
  std::set<NodeId> mPendingUpdates;
  /** Members whose status expires: suspect members become dead, and dead ones
   * are removed. */
  std::set<NodeId> mSuspects;
  std::set<NodeId> mDead;
  TimePoint mNextDeadExpiryAt{};
  /** When a lost node is contacted next, and the contacts that await an
   * acknowledgement, by their sequence number. */
  TimePoint mNextContactAt{};
  std::map<std::uint64_t, ContactPing> mContactPings;
  /** When a failed member returned that had not been restarted. */
  TimePoint mReturnSeenAt{};
  /** When the last ping or acknowledgement of another node arrived. */
  TimePoint mLastHeardAt{};
  /** The highest configuration offset that any peer has reported. */
  LogOffset mHeardConfigOffset = 0;
  /** The configuration offset that this node reports to its peers. */
  LogOffset mOwnConfigOffset = 0;
  /** Incremented whenever the result of LiveMembers, or the order of the
   * candidates for a duty, may have changed. */
  std::uint64_t mVersion = 1;
  /** The counts of the last MembersChanged event, and when the next event may
   * be written. */
  MemberCounts mReportedCounts;
  TimePoint mNextReportAt{};

  /** Returns the view of a node that knows no other member. */
  static MembershipState Make(NodeId aSelf,
                              ZoneName aZone,
                              std::uint64_t aIncarnation);
};

/** Sends the probe that is due, and updates the status of members that did not
 * acknowledge theirs in time. If this node itself was paused, it discards its
 * outstanding probes and extends the status timeouts by the length of the
 * pause, since it may have missed the acknowledgements. */
void
MembershipTick(MembershipState& aState,
               TimePoint aNow,
               Random& aRandom,
               Effects& aEffects);

/** Handles one of the three membership messages. */
void
MembershipReceive(MembershipState& aState,
                  TimePoint aNow,
                  const NodeId& aFrom,
                  const Ping& aPing,
                  Effects& aEffects);
void
MembershipReceive(MembershipState& aState,
                  TimePoint aNow,
                  const NodeId& aFrom,
                  const PingAck& aAck,
                  Effects& aEffects);
void
MembershipReceive(MembershipState& aState,
                  TimePoint aNow,
                  const NodeId& aFrom,
                  const PingRequest& aRequest,
                  Effects& aEffects);

/** Sends a page of the known members, none if the peer's view is the same. */
void
MembershipReceive(MembershipState& aState,
                  const NodeId& aFrom,
                  const MemberPull& aPull,
                  Effects& aEffects);

/** Adds the members of a page and requests the next one. */
void
MembershipReceive(MembershipState& aState,
                  TimePoint aNow,
                  const NodeId& aFrom,
                  const MemberPage& aPage,
                  Effects& aEffects);

/** Returns the first page of the known members after aAfter; it starts with
 * this node itself if aAfter is empty. Pure. */
MemberPage
MakePage(const MembershipState& aState, const NodeId& aAfter);

/** Returns a value that is the same for views with the same live members, as
 * far as their ids, incarnations and statuses go. Pure. */
std::uint64_t
ViewDigest(const MembershipState& aState);

/** Adds the nodes of the VM list that are missing from the view. The list lags
 * behind, so members are removed by failed probes only, never because the list
 * lacks them. */
void
SeedMembers(MembershipState& aState,
            TimePoint aNow,
            const std::vector<Vm>& aVms);

/** Marks this node as leaving, so that its peers learn of it. It gives up its
 * duties but still answers messages. */
void
AnnounceLeaving(MembershipState& aState);

/** Returns the nodes that are eligible for duties, in order of their ids. They
 * include this node unless it is leaving and another node is eligible. Pure. */
std::vector<NodeId>
LiveMembers(const MembershipState& aState);

/** Returns the nodes of LiveMembers that are in aZone. Pure. */
std::vector<NodeId>
LiveMembersInZone(const MembershipState& aState, const ZoneName& aZone);

/** Returns whether the node is known and not marked as dead. Pure. */
bool
IsReachable(const MembershipState& aState, const NodeId& aNode);

} // namespace vanillascale

#endif
