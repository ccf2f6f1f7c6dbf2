#include "Duties.h"

#include "Rendezvous.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** A VM is strong with at least 1 / kPreferredShareDivisor of the strongest's
 * share. */
constexpr unsigned kPreferredShareDivisor = 2;

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
  unsigned most = 0;
  for (const NodeId& it : aMembers) {
    most = std::max(most, CpuShareOf(aState, it));
  }
  std::vector<NodeId> strong;
  std::vector<NodeId> weak;
  for (const NodeId& it : aMembers) {
    bool isStrong = CpuShareOf(aState, it) * kPreferredShareDivisor >= most;
    (isStrong ? strong : weak).push_back(it);
  }
  std::vector<NodeId> owners = PickOwners(strong, aDuty, aCount);
  if (owners.size() < aCount) {
    auto others = PickOwners(weak, aDuty, aCount - owners.size());
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
