#include "MemberContacts.h"
#include "MemberUpdates.h"

#include "Hash.h"

#include <algorithm>
#include <array>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kProbeInterval = milliseconds(100);
constexpr Duration kDirectProbeTimeout = milliseconds(150);
constexpr Duration kIndirectProbeTimeout = milliseconds(200);
constexpr Duration kSuspectTimeout = milliseconds(600);
/** A longer interval between ticks means that this node itself was paused. */
constexpr Duration kLocalPauseThreshold = milliseconds(300);
/** Dead members are kept for these times before they are removed. Failed ones
 * are contacted during the longer one, since a partition may last for long. */
constexpr Duration kFailedRetention = std::chrono::hours(1);
constexpr Duration kLeftRetention = seconds(60);
constexpr Duration kDeadExpiryInterval = seconds(1);
/** A node that hears from no other for this time was probably cut off itself.
 * In usual operation several probes and acknowledgements arrive meanwhile. */
constexpr Duration kIsolationThreshold = milliseconds(500);
constexpr std::size_t kIndirectProbeCount = 3;
/** A starting node requests the list of members after these times. Nodes that
 * start together have contacted the seeds within the first of them. The last
 * one is for nodes that had to wait for the first peer: each of them meets the
 * others at another time, so that their early lists lack more members. */
constexpr std::array<Duration, 5> kStartPullDelays = { milliseconds(250),
                                                       milliseconds(250),
                                                       milliseconds(500),
                                                       milliseconds(1500),
                                                       seconds(3) };
/** The interval of later requests, to within a half. */
constexpr Duration kPullInterval = seconds(30);
constexpr std::size_t kMembersPerPage = 200;

/** Records the configuration offset that a peer has reported. */
void
RecordConfigOffset(MembershipState& aState,
                   const NodeId& aFrom,
                   LogOffset aOffset)
{
  aState.mHeardConfigOffset = std::max(aState.mHeardConfigOffset, aOffset);
  auto it = aState.mMembers.find(aFrom);
  if (it != aState.mMembers.end()) {
    it->second.mConfigOffset = std::max(it->second.mConfigOffset, aOffset);
  }
}

/** Sends a ping with piggybacked updates. */
void
SendPing(MembershipState& aState,
         const NodeId& aTo,
         std::uint64_t aSequence,
         Effects& aEffects)
{
  Ping ping{ aSequence, aState.mOwnConfigOffset, CollectUpdates(aState) };
  aEffects.push_back(SendToPeer{ aTo, std::move(ping) });
}

/** Marks a member that failed a probe: an alive one as suspect, a leaving one
 * as dead. */
void
Suspect(MembershipState& aState, TimePoint aNow, const NodeId& aNode)
{
  auto it = aState.mMembers.find(aNode);
  if (it == aState.mMembers.end() || it->second.mStatus >= MemberStatus::Dead) {
    return;
  }
  const Member& member = it->second;
  if (member.mStatus == MemberStatus::Alive) {
    ApplyUpdate(aState, aNow, MakeUpdate(aNode, member, MemberStatus::Suspect));
  } else if (member.mStatus == MemberStatus::Leaving) {
    ApplyUpdate(aState, aNow, MakeUpdate(aNode, member, MemberStatus::Dead));
  }
}

/** Asks up to kIndirectProbeCount random alive members to probe aSubject. */
void
SendIndirectProbes(MembershipState& aState,
                   std::uint64_t aSequence,
                   const NodeId& aSubject,
                   Random& aRandom,
                   Effects& aEffects)
{
  std::vector<NodeId> relays;
  for (const auto& [node, member] : aState.mMembers) {
    if (node != aSubject && member.mStatus == MemberStatus::Alive) {
      relays.push_back(node);
    }
  }
  for (std::size_t i = 0; i < kIndirectProbeCount && !relays.empty(); ++i) {
    std::size_t n = RandomBelow(aRandom, relays.size());
    aEffects.push_back(
      SendToPeer{ relays[n], PingRequest{ aSequence, aSubject } });
    relays.erase(relays.begin() + static_cast<std::ptrdiff_t>(n));
  }
}

/** Starts indirect probes for direct probes that timed out, handles members
 * that failed both, and drops expired probes made for other members. */
void
ExpireProbes(MembershipState& aState,
             TimePoint aNow,
             Random& aRandom,
             Effects& aEffects)
{
  for (auto it = aState.mProbes.begin(); it != aState.mProbes.end();) {
    Probe& probe = it->second;
    Duration age = aNow - probe.mSentAt;
    if (age >= kDirectProbeTimeout + kIndirectProbeTimeout) {
      Suspect(aState, aNow, probe.mNode);
      it = aState.mProbes.erase(it);
      continue;
    }
    if (!probe.mIsIndirect && age >= kDirectProbeTimeout) {
      probe.mIsIndirect = true;
      SendIndirectProbes(aState, it->first, probe.mNode, aRandom, aEffects);
    }
    ++it;
  }
  for (auto it = aState.mRelayedProbes.begin();
       it != aState.mRelayedProbes.end();) {
    bool isOld = aNow - it->second.mSentAt > kIndirectProbeTimeout;
    it = isOld ? aState.mRelayedProbes.erase(it) : std::next(it);
  }
}

/** Marks suspect members as dead after kSuspectTimeout. */
void
ExpireSuspects(MembershipState& aState, TimePoint aNow)
{
  std::vector<NodeId> dead;
  for (const NodeId& it : aState.mSuspects) {
    if (aNow - aState.mMembers.at(it).mStatusSince >= kSuspectTimeout) {
      dead.push_back(it);
    }
  }
  for (const NodeId& it : dead) {
    const Member& member = aState.mMembers.at(it);
    RecordUpdate(aState, aNow, it, MakeUpdate(it, member, MemberStatus::Dead));
  }
}

/** Removes dead members after their time of retention. */
void
ExpireDead(MembershipState& aState, TimePoint aNow)
{
  if (aNow < aState.mNextDeadExpiryAt) {
    return;
  }
  aState.mNextDeadExpiryAt = aNow + kDeadExpiryInterval;
  for (auto it = aState.mDead.begin(); it != aState.mDead.end();) {
    const Member& member = aState.mMembers.at(*it);
    Duration retention = member.mHasLeft ? kLeftRetention : kFailedRetention;
    if (aNow - member.mStatusSince < retention) {
      ++it;
      continue;
    }
    aState.mPendingUpdates.erase(*it);
    aState.mMembers.erase(*it);
    it = aState.mDead.erase(it);
  }
}

/** Returns whether no message of another node has arrived for some time. */
bool
IsIsolated(const MembershipState& aState, TimePoint aNow)
{
  return aState.mLastHeardAt != TimePoint{} &&
         aNow - aState.mLastHeardAt >= kIsolationThreshold;
}

/** Records that a message of another node has arrived. After a time without any
 * message, the probes that failed meanwhile say nothing about the members, so
 * suspect ones are probed anew. */
void
RecordContact(MembershipState& aState, TimePoint aNow)
{
  bool wasIsolated = IsIsolated(aState, aNow);
  aState.mLastHeardAt = aNow;
  if (!wasIsolated) {
    return;
  }
  aState.mProbes.clear();
  for (const NodeId& it : aState.mSuspects) {
    Member& member = aState.mMembers.at(it);
    member.mStatus = MemberStatus::Alive;
    member.mStatusSince = aNow;
  }
  aState.mSuspects.clear();
}

/** Returns the next member to probe, or an empty id if there is none. Each
 * round probes every reachable member once, in a new random order. */
NodeId
NextMemberToProbe(MembershipState& aState, Random& aRandom)
{
  std::size_t tries = aState.mProbeOrder.size() + 1;
  for (std::size_t i = 0; i <= tries; ++i) {
    if (aState.mNextProbeIndex >= aState.mProbeOrder.size()) {
      aState.mProbeOrder.clear();
      aState.mNextProbeIndex = 0;
      for (const auto& [node, member] : aState.mMembers) {
        aState.mProbeOrder.push_back(node);
      }
      for (std::size_t j = aState.mProbeOrder.size(); j > 1; --j) {
        std::swap(aState.mProbeOrder[j - 1],
                  aState.mProbeOrder[RandomBelow(aRandom, j)]);
      }
      if (aState.mProbeOrder.empty()) {
        return NodeId();
      }
    }
    const NodeId& node = aState.mProbeOrder[aState.mNextProbeIndex++];
    if (IsReachable(aState, node)) {
      return node;
    }
  }
  return NodeId();
}

/** Returns whether the node still sends the requests of a starting node. */
bool
IsStarting(const MembershipState& aState)
{
  std::size_t pulls = kStartPullDelays.size() - (aState.mHasWaited ? 0 : 1);
  return aState.mPulls < pulls;
}

/** Requests the list of members from a random peer that has answered, when a
 * request is due. Waits for such a peer if there is none. */
void
PullMembers(MembershipState& aState,
            TimePoint aNow,
            Random& aRandom,
            Effects& aEffects)
{
  if (aState.mNextPullAt == TimePoint{}) {
    aState.mNextPullAt = aNow + kStartPullDelays[0];
  }
  if (aNow < aState.mNextPullAt) {
    return;
  }
  std::vector<NodeId> peers;
  for (const auto& [node, member] : aState.mMembers) {
    if (IsEligibleForDuties(member)) {
      peers.push_back(node);
    }
  }
  if (peers.empty()) {
    aState.mHasWaited = true;
    aState.mNextPullAt = aNow + kStartPullDelays[0];
    return;
  }
  ++aState.mPulls;
  aState.mNextPullAt =
    aNow + (IsStarting(aState) ? kStartPullDelays[aState.mPulls]
                               : AddJitter(kPullInterval, aRandom));
  aEffects.push_back(SendToPeer{ peers[RandomBelow(aRandom, peers.size())],
                                 MemberPull{ ViewDigest(aState), {} } });
}

} // namespace

MembershipState
MembershipState::Make(NodeId aSelf, ZoneName aZone, std::uint64_t aIncarnation)
{
  MembershipState state;
  state.mSelf = std::move(aSelf);
  state.mZone = std::move(aZone);
  state.mIncarnation = aIncarnation;
  return state;
}

void
MembershipTick(MembershipState& aState,
               TimePoint aNow,
               Random& aRandom,
               Effects& aEffects)
{
  bool wasPaused = aState.mLastTickAt != TimePoint{} &&
                   aNow - aState.mLastTickAt > kLocalPauseThreshold;
  if (wasPaused) {
    Duration pause = aNow - aState.mLastTickAt;
    aState.mProbes.clear();
    aState.mRelayedProbes.clear();
    for (const std::set<NodeId>* nodes : { &aState.mSuspects, &aState.mDead }) {
      for (const NodeId& it : *nodes) {
        aState.mMembers.at(it).mStatusSince += pause;
      }
    }
  }
  aState.mLastTickAt = aNow;
  ExpireProbes(aState, aNow, aRandom, aEffects);
  ExpireSuspects(aState, aNow);
  ExpireDead(aState, aNow);
  ContactLostNodes(aState, aNow, aRandom, aEffects);
  PullMembers(aState, aNow, aRandom, aEffects);
  if (aNow < aState.mNextProbeAt) {
    return;
  }
  if (IsIsolated(aState, aNow)) {
    DropFailureClaims(aState);
  }
  aState.mNextProbeAt = aNow + kProbeInterval;
  NodeId node = NextMemberToProbe(aState, aRandom);
  if (node.mValue.empty()) {
    return;
  }
  std::uint64_t sequence = ++aState.mSequence;
  aState.mProbes[sequence] = { node, aNow, false };
  SendPing(aState, node, sequence, aEffects);
}

void
MembershipReceive(MembershipState& aState,
                  TimePoint aNow,
                  const NodeId& aFrom,
                  const Ping& aPing,
                  Effects& aEffects)
{
  RecordContact(aState, aNow);
  ApplyUpdates(aState, aNow, aPing.mUpdates);
  RecordConfigOffset(aState, aFrom, aPing.mConfigOffset);
  auto it = aState.mMembers.find(aFrom);
  if (aState.mDead.count(aFrom) > 0) {
    // The member is alive after all, and other claims may be as wrong.
    DropFailureClaims(aState);
  }
  // Sends a suspect, leaving or dead member its recorded status, so that it can
  // refute a wrong one.
  if (it != aState.mMembers.end() &&
      it->second.mStatus >= MemberStatus::Suspect) {
    it->second.mTransmissionsLeft = std::max(it->second.mTransmissionsLeft, 1U);
    aState.mPendingUpdates.insert(aFrom);
  }
  PingAck ack{ aPing.mSequence, aState.mOwnConfigOffset, aState.mSelf, {} };
  ack.mUpdates = CollectUpdates(aState);
  if (it != aState.mMembers.end()) {
    const Member& member = it->second;
    ack.mUpdates.push_back(MakeUpdate(aFrom, member, member.mStatus));
  }
  aEffects.push_back(SendToPeer{ aFrom, std::move(ack) });
}

void
MembershipReceive(MembershipState& aState,
                  TimePoint aNow,
                  const NodeId& aFrom,
                  const PingAck& aAck,
                  Effects& aEffects)
{
  RecordContact(aState, aNow);
  NodeId contact = TakeContactPing(aState, aAck.mSequence);
  auto known = aState.mMembers.find(contact);
  bool isNew = contact == aFrom && (known == aState.mMembers.end() ||
                                    known->second.mIncarnation == 0);
  std::uint64_t incarnation = aState.mIncarnation;
  ApplyUpdates(aState, aNow, aAck.mUpdates);
  RecordConfigOffset(aState, aAck.mSubject, aAck.mConfigOffset);
  if (aState.mIncarnation != incarnation) {
    // The peer holds this node for failed, and would not contact it soon.
    ContactNode(aState, aNow, aFrom, aEffects);
  }
  if (isNew) {
    ExchangeMembers(aState, aFrom, aEffects);
  }
  auto relayed = aState.mRelayedProbes.find(aAck.mSequence);
  if (relayed != aState.mRelayedProbes.end() &&
      relayed->second.mSubject == aFrom) {
    PingAck forwarded = aAck;
    forwarded.mSequence = relayed->second.mRequesterSequence;
    aEffects.push_back(
      SendToPeer{ relayed->second.mRequester, std::move(forwarded) });
    aState.mRelayedProbes.erase(relayed);
    return;
  }
  auto probe = aState.mProbes.find(aAck.mSequence);
  if (probe != aState.mProbes.end() && probe->second.mNode == aAck.mSubject) {
    aState.mProbes.erase(probe);
  }
}

void
MembershipReceive(MembershipState& aState,
                  TimePoint aNow,
                  const NodeId& aFrom,
                  const PingRequest& aRequest,
                  Effects& aEffects)
{
  std::uint64_t sequence = ++aState.mSequence;
  aState.mRelayedProbes[sequence] = {
    aFrom, aRequest.mSequence, aRequest.mSubject, aNow
  };
  SendPing(aState, aRequest.mSubject, sequence, aEffects);
}

void
MembershipReceive(MembershipState& aState,
                  const NodeId& aFrom,
                  const MemberPull& aPull,
                  Effects& aEffects)
{
  bool isFirst = aPull.mAfter.mValue.empty();
  if (isFirst && aPull.mDigest == ViewDigest(aState)) {
    return;
  }
  aEffects.push_back(SendToPeer{ aFrom, MakePage(aState, aPull.mAfter) });
}

void
MembershipReceive(MembershipState& aState,
                  TimePoint aNow,
                  const NodeId& aFrom,
                  const MemberPage& aPage,
                  Effects& aEffects)
{
  for (const MemberUpdate& it : aPage.mUpdates) {
    ApplyUpdate(aState, aNow, it);
    // Nodes that start together learn of each other by their first requests, so
    // these updates are not sent on.
    auto member = aState.mMembers.find(it.mNode);
    if (IsStarting(aState) && member != aState.mMembers.end() &&
        member->second.mIsJoinUpdate) {
      aState.mPendingUpdates.erase(it.mNode);
    }
  }
  if (aPage.mHasMore && !aPage.mUpdates.empty()) {
    aEffects.push_back(
      SendToPeer{ aFrom, MemberPull{ 0, aPage.mUpdates.back().mNode } });
  }
}

MemberPage
MakePage(const MembershipState& aState, const NodeId& aAfter)
{
  MemberPage page;
  if (aAfter.mValue.empty()) {
    page.mUpdates.push_back(SelfUpdate(aState));
  }
  for (auto it = aState.mMembers.upper_bound(aAfter);
       it != aState.mMembers.end();
       ++it) {
    if (!IsEligibleForDuties(it->second)) {
      continue;
    }
    if (page.mUpdates.size() >= kMembersPerPage) {
      page.mHasMore = true;
      break;
    }
    page.mUpdates.push_back(
      MakeUpdate(it->first, it->second, it->second.mStatus));
  }
  return page;
}

std::uint64_t
ViewDigest(const MembershipState& aState)
{
  auto hash =
    [](const NodeId& aNode, std::uint64_t aIncarnation, MemberStatus aStatus) {
      return Hash64(aNode.mValue,
                    aIncarnation * 8 + static_cast<std::uint64_t>(aStatus));
    };
  std::uint64_t digest =
    hash(aState.mSelf, aState.mIncarnation, SelfUpdate(aState).mStatus);
  for (const auto& [node, member] : aState.mMembers) {
    digest ^= IsEligibleForDuties(member)
                ? hash(node, member.mIncarnation, member.mStatus)
                : 0;
  }
  return digest;
}

void
SeedMembers(MembershipState& aState,
            TimePoint aNow,
            const std::vector<Vm>& aVms)
{
  for (const Vm& it : aVms) {
    NodeId node(it.mAddress);
    bool isNew = node != aState.mSelf && aState.mMembers.count(node) == 0 &&
                 !it.mIsLeaving;
    if (isNew) {
      Member member;
      member.mZone = it.mZone;
      member.mStatusSince = aNow;
      aState.mMembers.emplace(node, std::move(member));
    }
  }
}

void
AnnounceLeaving(MembershipState& aState)
{
  aState.mIsLeaving = true;
  // With a higher incarnation the update supersedes all earlier ones at once.
  ++aState.mIncarnation;
  ++aState.mVersion;
}

std::vector<NodeId>
LiveMembers(const MembershipState& aState)
{
  std::vector<NodeId> live;
  for (const auto& [node, member] : aState.mMembers) {
    if (IsEligibleForDuties(member)) {
      live.push_back(node);
    }
  }
  // The last remaining node keeps its duties until it stops.
  if (!aState.mIsLeaving || live.empty()) {
    live.insert(std::lower_bound(live.begin(), live.end(), aState.mSelf),
                aState.mSelf);
  }
  return live;
}

std::vector<NodeId>
LiveMembersInZone(const MembershipState& aState, const ZoneName& aZone)
{
  std::vector<NodeId> live = LiveMembers(aState);
  auto isElsewhere = [&](const NodeId& aNode) {
    return aNode == aState.mSelf ? aState.mZone != aZone
                                 : aState.mMembers.at(aNode).mZone != aZone;
  };
  live.erase(std::remove_if(live.begin(), live.end(), isElsewhere), live.end());
  return live;
}

bool
IsReachable(const MembershipState& aState, const NodeId& aNode)
{
  auto it = aState.mMembers.find(aNode);
  return it != aState.mMembers.end() &&
         it->second.mStatus != MemberStatus::Dead;
}

} // namespace vanillascale
