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

} // namespace

std::vector<NodeId>
OrderForDuty(const MembershipState& aState,
             const std::vector<NodeId>& aMembers,
             std::string_view aDuty,
             std::size_t aCount)
{
  unsigned largest = 0;
  for (const NodeId& it : aMembers) {
    largest = std::max(largest, CpuShareOf(aState, it));
  }
  std::vector<NodeId> preferred;
  std::vector<NodeId> fallback;
  for (const NodeId& it : aMembers) {
    bool isPreferred =
      CpuShareOf(aState, it) * kPreferredShareDivisor >= largest;
    (isPreferred ? preferred : fallback).push_back(it);
  }
  std::vector<NodeId> owners = PickOwners(preferred, aDuty, aCount);
  if (owners.size() < aCount) {
    auto others = PickOwners(fallback, aDuty, aCount - owners.size());
    owners.insert(owners.end(), others.begin(), others.end());
  }
  return owners;
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
