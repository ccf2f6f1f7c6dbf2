#include "MemberUpdates.h"

#include "MemberContacts.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace vanillascale {

namespace {

constexpr std::size_t kMaxUpdatesPerMessage = 12;
constexpr unsigned kRetransmitMultiplier = 2;

/** Returns how many messages of this node carry an update. A member's first
 * update is sent fewer times than others, since the VM list also announces new
 * members. */
unsigned
TransmissionCount(const MembershipState& aState, bool aIsJoinUpdate)
{
  auto n = static_cast<double>(aState.mMembers.size() + 2);
  auto rounds = static_cast<unsigned>(std::ceil(std::log2(n)));
  return aIsJoinUpdate ? rounds : kRetransmitMultiplier * rounds;
}

} // namespace

bool
IsEligibleForDuties(const Member& aMember)
{
  // A member that was only seen in the VM list has no incarnation. The list
  // lags, so the member may have been gone for a long time.
  bool hasIncarnation = aMember.mIncarnation > 0;
  return hasIncarnation && (aMember.mStatus == MemberStatus::Alive ||
                            aMember.mStatus == MemberStatus::Suspect);
}

MemberUpdate
SelfUpdate(const MembershipState& aState)
{
  return { aState.mSelf,
           aState.mZone,
           aState.mIncarnation,
           aState.mIsLeaving ? MemberStatus::Leaving : MemberStatus::Alive,
           aState.mCorePercent };
}

MemberUpdate
MakeUpdate(const NodeId& aNode, const Member& aMember, MemberStatus aStatus)
{
  return {
    aNode, aMember.mZone, aMember.mIncarnation, aStatus, aMember.mCorePercent
  };
}

std::vector<MemberUpdate>
CollectUpdates(MembershipState& aState)
{
  std::vector<MemberUpdate> updates{ SelfUpdate(aState) };
  struct Candidate
  {
    bool mIsStatusChange;
    unsigned mTransmissionsLeft;
    const NodeId* mNode;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(aState.mPendingUpdates.size());
  for (const NodeId& it : aState.mPendingUpdates) {
    const Member& member = aState.mMembers.at(it);
    candidates.push_back(
      { !member.mIsJoinUpdate, member.mTransmissionsLeft, &it });
  }
  std::size_t n = std::min(candidates.size(), kMaxUpdatesPerMessage);
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(n),
                    candidates.end(),
                    [](const Candidate& aLeft, const Candidate& aRight) {
                      return std::tie(aRight.mIsStatusChange,
                                      aRight.mTransmissionsLeft,
                                      *aLeft.mNode) <
                             std::tie(aLeft.mIsStatusChange,
                                      aLeft.mTransmissionsLeft,
                                      *aRight.mNode);
                    });
  candidates.resize(n);
  for (const Candidate& it : candidates) {
    Member& member = aState.mMembers.at(*it.mNode);
    updates.push_back(MakeUpdate(*it.mNode, member, member.mStatus));
    if (--member.mTransmissionsLeft == 0) {
      aState.mPendingUpdates.erase(*it.mNode);
    }
  }
  return updates;
}

void
RecordUpdate(MembershipState& aState,
             TimePoint aNow,
             const NodeId& aNode,
             const MemberUpdate& aUpdate)
{
  Member& member = aState.mMembers[aNode];
  bool wasEligible = IsEligibleForDuties(member);
  bool isRefutation = member.mStatus == MemberStatus::Dead &&
                      aUpdate.mStatus == MemberStatus::Alive &&
                      aUpdate.mIncarnation == member.mIncarnation + 1;
  bool isShareChanged = member.mCorePercent != aUpdate.mCorePercent;
  bool isSameProcess = member.mIncarnation == aUpdate.mIncarnation;
  member.mHasLeft = aUpdate.mStatus == MemberStatus::Leaving ||
                    (member.mHasLeft && isSameProcess);
  member.mIsJoinUpdate =
    member.mIncarnation == 0 && aUpdate.mStatus == MemberStatus::Alive;
  member.mZone = aUpdate.mZone;
  member.mIncarnation = aUpdate.mIncarnation;
  member.mStatus = aUpdate.mStatus;
  member.mCorePercent = aUpdate.mCorePercent;
  member.mStatusSince = aNow;
  member.mTransmissionsLeft = TransmissionCount(aState, member.mIsJoinUpdate);
  aState.mPendingUpdates.insert(aNode);
  aState.mSuspects.erase(aNode);
  aState.mDead.erase(aNode);
  if (member.mStatus == MemberStatus::Suspect) {
    aState.mSuspects.insert(aNode);
  } else if (member.mStatus == MemberStatus::Dead) {
    aState.mDead.insert(aNode);
  }
  if (isRefutation) {
    aState.mReturnSeenAt = aNow;
    DropFailureClaims(aState);
  }
  if (wasEligible != IsEligibleForDuties(member) || isShareChanged) {
    ++aState.mVersion;
  }
}

void
ApplyUpdate(MembershipState& aState,
            TimePoint aNow,
            const MemberUpdate& aUpdate)
{
  if (aUpdate.mNode == aState.mSelf) {
    bool isFailureClaim = aUpdate.mStatus == MemberStatus::Suspect ||
                          aUpdate.mStatus == MemberStatus::Dead;
    if (isFailureClaim && aUpdate.mIncarnation >= aState.mIncarnation) {
      // Only the node itself raises its incarnation, so that its next update
      // supersedes the claim.
      aState.mIncarnation = aUpdate.mIncarnation + 1;
    }
    return;
  }
  auto it = aState.mMembers.find(aUpdate.mNode);
  if (it == aState.mMembers.end()) {
    if (aUpdate.mStatus != MemberStatus::Dead) {
      RecordUpdate(aState, aNow, aUpdate.mNode, aUpdate);
    }
    return;
  }
  const Member& known = it->second;
  bool isNewer = aUpdate.mIncarnation > known.mIncarnation ||
                 (aUpdate.mIncarnation == known.mIncarnation &&
                  aUpdate.mStatus > known.mStatus);
  if (isNewer) {
    RecordUpdate(aState, aNow, aUpdate.mNode, aUpdate);
  }
}

void
ApplyUpdates(MembershipState& aState,
             TimePoint aNow,
             const std::vector<MemberUpdate>& aUpdates)
{
  for (const MemberUpdate& it : aUpdates) {
    ApplyUpdate(aState, aNow, it);
  }
}

} // namespace vanillascale
