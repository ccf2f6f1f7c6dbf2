#include "MemberContacts.h"

#include "MemberUpdates.h"

namespace vanillascale {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** The interval between contacts, to within a half. */
constexpr Duration kContactInterval = seconds(1);
constexpr Duration kUrgentContactInterval = milliseconds(250);
/** After the return of a member, others have probably returned as well. */
constexpr Duration kReturnPeriod = seconds(15);
/** A contact ping without an acknowledgement is forgotten after this time. */
constexpr Duration kContactTimeout = seconds(2);

/** Returns the nodes that are to be contacted again. */
std::vector<NodeId>
LostNodes(const MembershipState& aState)
{
  std::vector<NodeId> lost;
  for (const NodeId& it : aState.mDead) {
    if (!aState.mMembers.at(it).mHasLeft) {
      lost.push_back(it);
    }
  }
  for (const NodeId& it : aState.mSeeds) {
    bool isLost = it != aState.mSelf && aState.mDead.count(it) == 0 &&
                  !IsReachable(aState, it);
    if (isLost) {
      lost.push_back(it);
    }
  }
  return lost;
}

} // namespace

void
ContactLostNodes(MembershipState& aState,
                 TimePoint aNow,
                 Random& aRandom,
                 Effects& aEffects)
{
  if (aNow < aState.mNextContactAt) {
    return;
  }
  for (auto it = aState.mContactPings.begin();
       it != aState.mContactPings.end();) {
    bool isOld = aNow - it->second.mSentAt > kContactTimeout;
    it = isOld ? aState.mContactPings.erase(it) : std::next(it);
  }
  std::vector<NodeId> lost = LostNodes(aState);
  if (lost.empty()) {
    return;
  }
  std::size_t live = aState.mMembers.size() - aState.mDead.size();
  bool hasReturn = aState.mReturnSeenAt != TimePoint{} &&
                   aNow - aState.mReturnSeenAt < kReturnPeriod;
  bool isUrgent = live == 0 || hasReturn;
  aState.mNextContactAt =
    aNow +
    AddJitter(isUrgent ? kUrgentContactInterval : kContactInterval, aRandom);
  if (!isUrgent && RandomBelow(aRandom, live + lost.size()) >= lost.size()) {
    return;
  }
  ContactNode(aState, aNow, lost[RandomBelow(aRandom, lost.size())], aEffects);
}

void
ContactNode(MembershipState& aState,
            TimePoint aNow,
            const NodeId& aNode,
            Effects& aEffects)
{
  std::uint64_t sequence = ++aState.mSequence;
  aState.mContactPings[sequence] = { aNode, aNow };
  Ping ping{ sequence, aState.mOwnConfigOffset, { SelfUpdate(aState) } };
  auto it = aState.mMembers.find(aNode);
  if (it != aState.mMembers.end() && it->second.mIncarnation > 0) {
    ping.mUpdates.push_back(MakeUpdate(aNode, it->second, it->second.mStatus));
  }
  aEffects.push_back(SendToPeer{ aNode, std::move(ping) });
}

NodeId
TakeContactPing(MembershipState& aState, std::uint64_t aSequence)
{
  auto it = aState.mContactPings.find(aSequence);
  if (it == aState.mContactPings.end()) {
    return NodeId();
  }
  NodeId node = it->second.mNode;
  aState.mContactPings.erase(it);
  return node;
}

void
ExchangeMembers(const MembershipState& aState,
                const NodeId& aNode,
                Effects& aEffects)
{
  aEffects.push_back(SendToPeer{ aNode, MakePage(aState, {}) });
  aEffects.push_back(SendToPeer{ aNode, MemberPull{ ViewDigest(aState), {} } });
}

void
DropFailureClaims(MembershipState& aState)
{
  for (auto it = aState.mPendingUpdates.begin();
       it != aState.mPendingUpdates.end();) {
    bool isClaim = aState.mSuspects.count(*it) + aState.mDead.count(*it) > 0;
    it = isClaim ? aState.mPendingUpdates.erase(it) : std::next(it);
  }
}

} // namespace vanillascale
