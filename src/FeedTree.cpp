#include "FeedTree.h"

#include "Hash.h"

#include <algorithm>

namespace vanillascale {

namespace {

constexpr std::size_t kTreeFanOut = 6;

} // namespace

std::vector<NodeId>
TreeChildren(const MembershipState& aMembers, const FeedPush& aPush)
{
  std::vector<std::pair<std::uint64_t, NodeId>> order;
  for (NodeId& it : LiveMembersInZone(aMembers, aMembers.mZone)) {
    if (it != aPush.mTreeRoot) {
      order.emplace_back(Hash64(it.mValue, aPush.mTreeSeed), std::move(it));
    }
  }
  std::sort(order.begin(), order.end());
  std::size_t first = 0;
  if (aMembers.mSelf != aPush.mTreeRoot) {
    auto self =
      std::find_if(order.begin(), order.end(), [&](const auto& aEntry) {
        return aEntry.second == aMembers.mSelf;
      });
    first = kTreeFanOut * (static_cast<std::size_t>(self - order.begin()) + 1);
  }
  std::vector<NodeId> children;
  for (std::size_t i = first; i < order.size() && i < first + kTreeFanOut;
       ++i) {
    children.push_back(order[i].second);
  }
  return children;
}

} // namespace vanillascale
