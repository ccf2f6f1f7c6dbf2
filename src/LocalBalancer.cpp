#include "LocalBalancer.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** Shares overlap a little, since proxies are not loaded alike. */
constexpr double kShareOvercommit = 1.5;
/** A little longer than the pause between a scheduler's views. */
constexpr Duration kOutOfUseTime = std::chrono::seconds(6);

bool
IsUsable(const LocalBalancerTarget& aTarget, TimePoint aNow)
{
  return !aTarget.mIsLeaving && aNow >= aTarget.mOutOfUseUntil;
}

} // namespace

void
UpdateLocalBalancer(LocalBalancer& aChoice,
                    const std::string& aVmGroup,
                    const std::vector<Vm>& aVms)
{
  std::map<TargetId, LocalBalancerTarget> next;
  for (const Vm& it : aVms) {
    if (it.mGroup != aVmGroup) {
      continue;
    }
    TargetId id(it.mAddress);
    auto known = aChoice.mTargets.find(id);
    LocalBalancerTarget target =
      known == aChoice.mTargets.end() ? LocalBalancerTarget{} : known->second;
    target.mZone = it.mZone;
    target.mSlots = it.mSlots;
    target.mIsLeaving = it.mIsLeaving;
    next.emplace(std::move(id), std::move(target));
  }
  aChoice.mTargets = std::move(next);
}

void
SetTargetsOutOfUse(LocalBalancer& aChoice,
                   TimePoint aNow,
                   const std::vector<TargetId>& aTargets)
{
  for (auto& [id, target] : aChoice.mTargets) {
    target.mOutOfUseUntil = TimePoint{};
  }
  for (const TargetId& it : aTargets) {
    auto target = aChoice.mTargets.find(it);
    if (target != aChoice.mTargets.end()) {
      target->second.mOutOfUseUntil = aNow + kOutOfUseTime;
    }
  }
}

unsigned
MaxRequestsInFlight(const LocalBalancer& aChoice,
                    TimePoint aNow,
                    std::size_t aProxies)
{
  unsigned slots = 0;
  for (const auto& [id, target] : aChoice.mTargets) {
    slots += IsUsable(target, aNow) ? target.mSlots : 0;
  }
  double share = kShareOvercommit * slots /
                 static_cast<double>(std::max<std::size_t>(aProxies, 1));
  return std::max(1U, static_cast<unsigned>(share + 0.999));
}

std::optional<TargetId>
PickLocalTarget(const LocalBalancer& aChoice,
                TimePoint aNow,
                std::size_t aProxies,
                const TargetId& aAvoid,
                Random& aRandom)
{
  if (aChoice.mInFlight >= MaxRequestsInFlight(aChoice, aNow, aProxies)) {
    return std::nullopt;
  }
  using Entry = std::map<TargetId, LocalBalancerTarget>::const_iterator;
  std::vector<Entry> trusted;
  std::vector<Entry> doubted;
  for (auto it = aChoice.mTargets.begin(); it != aChoice.mTargets.end(); ++it) {
    const LocalBalancerTarget& target = it->second;
    bool isOpen = IsUsable(target, aNow) && it->first != aAvoid &&
                  target.mInFlight < target.mSlots;
    if (isOpen) {
      (IsPenalized(target.mPenalty, aNow) ? doubted : trusted).push_back(it);
    }
  }
  const std::vector<Entry>& candidates = trusted.empty() ? doubted : trusted;
  if (candidates.empty()) {
    return std::nullopt;
  }
  Entry first = candidates[RandomBelow(aRandom, candidates.size())];
  Entry second = candidates[RandomBelow(aRandom, candidates.size())];
  bool isFirst = first->second.mInFlight <= second->second.mInFlight;
  return isFirst ? first->first : second->first;
}

void
RecordSent(LocalBalancer& aChoice, const TargetId& aTarget)
{
  ++aChoice.mInFlight;
  auto it = aChoice.mTargets.find(aTarget);
  if (it != aChoice.mTargets.end()) {
    ++it->second.mInFlight;
  }
}

void
RecordEnded(LocalBalancer& aChoice,
            TimePoint aNow,
            const TargetId& aTarget,
            TimePoint aSentAt,
            TargetOutcome aOutcome)
{
  aChoice.mInFlight -= aChoice.mInFlight > 0 ? 1 : 0;
  auto it = aChoice.mTargets.find(aTarget);
  if (it == aChoice.mTargets.end()) {
    return;
  }
  LocalBalancerTarget& target = it->second;
  target.mInFlight -= target.mInFlight > 0 ? 1 : 0;
  RecordOutcome(target.mPenalty, aNow, aSentAt, aOutcome);
}

} // namespace vanillascale
