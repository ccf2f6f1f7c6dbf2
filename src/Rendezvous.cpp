#include "Rendezvous.h"

#include "Hash.h"

#include <algorithm>

namespace vanillascale {

std::vector<NodeId>
PickOwners(const std::vector<NodeId>& aMembers,
           std::string_view aDuty,
           std::size_t aCount)
{
  std::uint64_t seed = Hash64(aDuty);
  std::vector<std::pair<std::uint64_t, const NodeId*>> weights;
  weights.reserve(aMembers.size());
  for (const NodeId& it : aMembers) {
    weights.emplace_back(Hash64(it.mValue, seed), &it);
  }
  std::size_t n = std::min(aCount, weights.size());
  std::partial_sort(weights.begin(),
                    weights.begin() + static_cast<std::ptrdiff_t>(n),
                    weights.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.first != aRight.first
                               ? aLeft.first > aRight.first
                               : *aLeft.second < *aRight.second;
                    });
  std::vector<NodeId> owners;
  for (std::size_t i = 0; i < n; ++i) {
    owners.push_back(*weights[i].second);
  }
  return owners;
}

NodeId
PickOwner(const std::vector<NodeId>& aMembers, std::string_view aDuty)
{
  auto owners = PickOwners(aMembers, aDuty, 1);
  return owners.empty() ? NodeId() : owners.front();
}

} // namespace vanillascale
