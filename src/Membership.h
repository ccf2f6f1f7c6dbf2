#ifndef VANILLASCALE_MEMBERSHIP_H
#define VANILLASCALE_MEMBERSHIP_H

#include "Effects.h"
#include "NodeEvents.h"
#include "Random.h"

#include <map>
#include <set>
#include <vector>

namespace vanillascale {

/** What one node knows of another. */
struct Member
{
  ZoneName mZone;
  std::uint64_t mIncarnation = 0;
  MemberStatus mStatus = MemberStatus::Alive;
  /** Its processor share, in percent of a core; 0 where it is not known. */
  unsigned mCorePercent = 0;
  TimePoint mStatusSince{};
  /** How often the latest statement still rides on probes. */
  unsigned mTransmissionsLeft = 0;
  /** The latest statement only says that the member is there, and first. */
  bool mIsJoinUpdate = true;
  /** The configuration offset that the member itself last told. */
  LogOffset mConfigOffset = 0;
};

/** A probe whose answer is awaited. */
struct Probe
{
  NodeId mNode;
  TimePoint mSentAt{};
  bool mIsIndirect = false;
};

/** A probe made on behalf of another member. */
struct RelayedProbe
{
  NodeId mRequester;
  std::uint64_t mRequesterSequence = 0;
  NodeId mSubject;
  TimePoint mSentAt{};
};

/** One node's view of the fleet. Each node probes one member in turn, directly
 * and then through others, and spreads what it learns on the probes, so that a
 * node's cost does not grow with the fleet. */
struct MembershipState
{
  NodeId mSelf;
  ZoneName mZone;
  std::uint64_t mIncarnation = 0;
  /** This VM's processor share, in percent of a core. */
  unsigned mCorePercent = 0;
  bool mIsLeaving = false;
  std::map<NodeId, Member> mMembers;
  std::vector<NodeId> mProbeOrder;
  std::size_t mNextProbeIndex = 0;
  TimePoint mNextProbeAt{};
  TimePoint mLastTickAt{};
  std::uint64_t mSequence = 0;
  std::map<std::uint64_t, Probe> mProbes;
  std::map<std::uint64_t, RelayedProbe> mRelayedProbes;
  /** Members whose latest statement still has to spread. */
  std::set<NodeId> mPendingUpdates;
  /** Members whose status runs out some time: suspects and the dead. */
  std::set<NodeId> mSuspectOrDead;
  /** The highest configuration offset that any peer has told. */
  LogOffset mHeardConfigOffset = 0;
  /** This node's own configuration offset, as it tells it. */
  LogOffset mOwnConfigOffset = 0;
  /** Raised whenever the outcome of LiveMembers, or of who is in line for a
   * duty, may have changed. */
  std::uint64_t mVersion = 1;

  /** Makes the view of a node that knows itself alone. */
  static MembershipState Make(NodeId aSelf,
                              ZoneName aZone,
                              std::uint64_t aIncarnation);
};

/** Sends the probes that are due and draws conclusions from those that were not
 * answered. A node that was paused itself concludes nothing from its silence.
 */
void
MembershipTick(MembershipState& aState,
               TimePoint aNow,
               Random& aRandom,
               Effects& aEffects);

/** Takes in one of the three membership messages. */
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

/** Adds nodes that the VM list shows and the view lacks. The list lags, so it
 * never removes one: probes do. */
void
SeedMembers(MembershipState& aState,
            TimePoint aNow,
            const std::vector<Vm>& aVms);

/** Announces that this node is leaving: it gives up its duties but answers. */
void
AnnounceLeaving(MembershipState& aState);

/** The nodes that may carry duties, this one among them unless it is leaving,
 * in order of their ids. Pure. */
std::vector<NodeId>
LiveMembers(const MembershipState& aState);

/** As LiveMembers, those of one zone only. */
std::vector<NodeId>
LiveMembersInZone(const MembershipState& aState, const ZoneName& aZone);

/** Whether the node is known and not believed dead. */
bool
IsReachable(const MembershipState& aState, const NodeId& aNode);

} // namespace vanillascale

#endif
