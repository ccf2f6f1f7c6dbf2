#include "Duties.h"

#include "Rendezvous.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** A VM is preferred if its CPU share is at least the largest one divided by
 * this. */
constexpr unsigned kPreferredShareDivisor = 2;

/** Returns the CPU share of a node's VM, in percent of a core; 0 if unknown. */
unsigned
CpuShareOf(const MembershipState& aState, const NodeId& aNode)
{
  if (aNode == aState.mSelf) {
    return aState.mCorePercent;
  }
  auto it = aState.mMembers.find(aNode);
  return it == aState.mMembers.end() ? 0 : it->second.mCorePercent;
}

/** The members of a list in the order of their use. */
struct CandidateGroups
{
  std::vector<NodeId> mPreferred;
  std::vector<NodeId> mFallback;
};

CandidateGroups
GroupCandidates(const MembershipState& aState,
                const std::vector<NodeId>& aMembers)
{
  unsigned largest = 0;
  for (const NodeId& it : aMembers) {
    largest = std::max(largest, CpuShareOf(aState, it));
  }
  CandidateGroups groups;
  for (const NodeId& it : aMembers) {
    bool isPreferred =
      CpuShareOf(aState, it) * kPreferredShareDivisor >= largest;
    (isPreferred ? groups.mPreferred : groups.mFallback).push_back(it);
  }
  return groups;
}

} // namespace

std::vector<NodeId>
OrderForDuty(const MembershipState& aState,
             const std::vector<NodeId>& aMembers,
             std::string_view aDuty,
             std::size_t aCount)
{
  CandidateGroups groups = GroupCandidates(aState, aMembers);
  std::vector<NodeId> owners = PickOwners(groups.mPreferred, aDuty, aCount);
  if (owners.size() < aCount) {
    auto others = PickOwners(groups.mFallback, aDuty, aCount - owners.size());
    owners.insert(owners.end(), others.begin(), others.end());
  }
  return owners;
}

std::vector<NodeId>
PreferredMembers(const MembershipState& aState)
{
  return GroupCandidates(aState, LiveMembers(aState)).mPreferred;
}

NodeId
DutyOwner(const MembershipState& aState, std::string_view aDuty)
{
  auto owners = OrderForDuty(aState, LiveMembers(aState), aDuty, 1);
  return owners.empty() ? NodeId() : owners.front();
}

std::vector<NodeId>
DutyOwnersInZone(const MembershipState& aState,
                 std::string_view aDuty,
                 std::size_t aCount)
{
  return OrderForDuty(
    aState, LiveMembersInZone(aState, aState.mZone), aDuty, aCount);
}

std::string
SchedulerDuty(const ServiceName& aService)
{
  return "scheduler/" + aService.mValue;
}

std::string
IntentDuty(const std::string& aStream)
{
  return "intents/" + aStream;
}

} // namespace vanillascale
