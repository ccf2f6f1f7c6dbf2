#include "MemberReport.h"

#include "EventNumbers.h"
#include "MemberUpdates.h"

#include <tuple>

namespace vanillascale {

namespace {

/** Limits the lines of a node while many members change one after the other. */
constexpr Duration kReportInterval = std::chrono::seconds(1);

bool
AreEqual(const MemberCounts& aLeft, const MemberCounts& aRight)
{
  auto tie = [](const MemberCounts& aCounts) {
    return std::tie(aCounts.mLive,
                    aCounts.mUnreachable,
                    aCounts.mSeeds,
                    aCounts.mUnreachableSeeds);
  };
  return tie(aLeft) == tie(aRight);
}

} // namespace

MemberCounts
CountMembers(const MembershipState& aState)
{
  MemberCounts counts;
  counts.mLive = LiveMembers(aState).size();
  for (const auto& [node, member] : aState.mMembers) {
    bool isUnreachable =
      member.mStatus == MemberStatus::Dead && !member.mHasLeft;
    counts.mUnreachable += isUnreachable ? 1 : 0;
  }
  for (const NodeId& it : aState.mSeeds) {
    if (it == aState.mSelf) {
      continue;
    }
    auto member = aState.mMembers.find(it);
    bool isLive =
      member != aState.mMembers.end() && IsEligibleForDuties(member->second);
    ++counts.mSeeds;
    counts.mUnreachableSeeds += isLive ? 0 : 1;
  }
  return counts;
}

void
ReportMembers(MembershipState& aState, TimePoint aNow, Effects& aEffects)
{
  if (aState.mNextReportAt == TimePoint{}) {
    // A starting node contacts the other members first.
    aState.mNextReportAt = aNow + kReportInterval;
  }
  if (aNow < aState.mNextReportAt) {
    return;
  }
  aState.mNextReportAt = aNow + kReportInterval;
  MemberCounts counts = CountMembers(aState);
  if (AreEqual(counts, aState.mReportedCounts)) {
    return;
  }
  aState.mReportedCounts = counts;
  aEffects.push_back(WriteEvent{
    kEventMembersChanged,
    "live=" + std::to_string(counts.mLive) +
      " unreachable=" + std::to_string(counts.mUnreachable) +
      " seeds=" + std::to_string(counts.mSeeds) +
      " seeds_unreachable=" + std::to_string(counts.mUnreachableSeeds) });
}

} // namespace vanillascale
