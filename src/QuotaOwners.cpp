#include "QuotaOwners.h"

#include "Duties.h"
#include "Hash.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/** A member that has vanished is taken for unreachable for this time. Its VM is
 * replaced long before. */
constexpr Duration kUnreachableTime = minutes(10);
constexpr Duration kCleanupInterval = seconds(10);

/** Returns the weight of a member for an account: the finalizer of SplitMix64
 * over both hashes. */
std::uint64_t
Weight(std::uint64_t aNodeHash, std::uint64_t aAccount)
{
  constexpr std::uint64_t kFirstFactor = 0xbf58476d1ce4e5b9ULL;
  constexpr std::uint64_t kSecondFactor = 0x94d049bb133111ebULL;
  constexpr unsigned kFirstShift = 30;
  constexpr unsigned kSecondShift = 27;
  constexpr unsigned kThirdShift = 31;
  std::uint64_t x = aNodeHash ^ aAccount;
  x = (x ^ (x >> kFirstShift)) * kFirstFactor;
  x = (x ^ (x >> kSecondShift)) * kSecondFactor;
  return x ^ (x >> kThirdShift);
}

/** Records the members that are no longer live, and removes those that are
 * again. */
void
RecordFormer(QuotaOwners& aOwners,
             TimePoint aNow,
             const std::vector<NodeId>& aLive,
             const MembershipState& aMembers)
{
  std::vector<NodeId> gone;
  std::set_difference(aOwners.mLive.begin(),
                      aOwners.mLive.end(),
                      aLive.begin(),
                      aLive.end(),
                      std::back_inserter(gone));
  for (const NodeId& it : gone) {
    auto member = aMembers.mMembers.find(it);
    bool isLeaving = member != aMembers.mMembers.end() &&
                     member->second.mStatus == MemberStatus::Leaving;
    bool isSelf = it == aOwners.mSelf;
    aOwners.mFormer[it] = { aNow, !isLeaving && !isSelf };
  }
  for (auto it = aOwners.mFormer.begin(); it != aOwners.mFormer.end();) {
    bool isBack = std::binary_search(aLive.begin(), aLive.end(), it->first);
    it = isBack ? aOwners.mFormer.erase(it) : std::next(it);
  }
}

} // namespace

void
UpdateQuotaOwners(QuotaOwners& aOwners,
                  TimePoint aNow,
                  const MembershipState& aMembers)
{
  if (aNow >= aOwners.mNextCleanupAt) {
    aOwners.mNextCleanupAt = aNow + kCleanupInterval;
    for (auto it = aOwners.mFormer.begin(); it != aOwners.mFormer.end();) {
      bool isOld = aNow - it->second.mSince > kUnreachableTime;
      it = isOld ? aOwners.mFormer.erase(it) : std::next(it);
    }
  }
  if (aOwners.mMembersVersion == aMembers.mVersion) {
    return;
  }
  aOwners.mMembersVersion = aMembers.mVersion;
  aOwners.mSelf = aMembers.mSelf;
  aOwners.mStartedAt = std::min(aOwners.mStartedAt, aNow);
  std::vector<NodeId> live = LiveMembers(aMembers);
  RecordFormer(aOwners, aNow, live, aMembers);
  aOwners.mLive = std::move(live);
  aOwners.mCandidates.clear();
  for (const NodeId& it : PreferredMembers(aMembers)) {
    aOwners.mCandidates.push_back({ it, Hash64(it.mValue) });
  }
}

const NodeId&
FindQuotaOwner(const QuotaOwners& aOwners, std::uint64_t aAccount)
{
  const QuotaOwners::Candidate* owner = nullptr;
  std::uint64_t largest = 0;
  for (const QuotaOwners::Candidate& it : aOwners.mCandidates) {
    std::uint64_t weight = Weight(it.mHash, aAccount);
    if (!owner || weight > largest) {
      owner = &it;
      largest = weight;
    }
  }
  return owner ? owner->mNode : aOwners.mSelf;
}

TimePoint
OwnsQuotaSince(const QuotaOwners& aOwners, std::uint64_t aAccount)
{
  std::uint64_t own = Weight(Hash64(aOwners.mSelf.mValue), aAccount);
  TimePoint since = aOwners.mStartedAt;
  for (const auto& [node, former] : aOwners.mFormer) {
    if (Weight(Hash64(node.mValue), aAccount) > own) {
      since = std::max(since, former.mSince);
    }
  }
  return since;
}

double
ReachablePart(const QuotaOwners& aOwners)
{
  auto gone = std::count_if(
    aOwners.mFormer.begin(), aOwners.mFormer.end(), [](const auto& aFormer) {
      return aFormer.second.mMayBeRunning;
    });
  auto live = static_cast<double>(aOwners.mLive.size());
  return live > 0 ? live / (live + static_cast<double>(gone)) : 1;
}

} // namespace vanillascale
