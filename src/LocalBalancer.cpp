#include "LocalBalancer.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** The fair shares add up to more than the slots, since proxies are not loaded
 * equally. */
constexpr double kShareOvercommit = 1.5;
/** Slightly longer than the interval between the reports of a scheduler. */
constexpr Duration kOutOfUseTime = std::chrono::seconds(6);

bool
IsUsable(const LocalBalancerTarget& aTarget, TimePoint aNow)
{
  return !aTarget.mIsLeaving && !aTarget.mStatesLeaving &&
         aNow >= aTarget.mOutOfUseUntil && aNow >= aTarget.mPausedUntil;
}

/** The share of a target's limit that one of aProxies proxies uses. */
double
LimitShare(std::size_t aProxies)
{
  return kWholeLimit / static_cast<double>(std::max<std::size_t>(aProxies, 1));
}

} // namespace

void
UpdateLocalBalancer(LocalBalancer& aBalancer,
                    const std::string& aVmGroup,
                    const std::vector<Vm>& aVms)
{
  LocalBalancer next;
  for (const Vm& it : aVms) {
    if (it.mGroup != aVmGroup) {
      continue;
    }
    auto previous = aBalancer.mTargets.find(TargetId(it.mAddress));
    if (previous != aBalancer.mTargets.end()) {
      next.mTargets.insert(*previous);
    }
    UpdateLocalTarget(next, it);
  }
  aBalancer.mTargets = std::move(next.mTargets);
}

void
UpdateLocalTarget(LocalBalancer& aBalancer, const Vm& aVm)
{
  LocalBalancerTarget& target = aBalancer.mTargets[TargetId(aVm.mAddress)];
  target.mZone = aVm.mZone;
  target.mSlots = aVm.mSlots;
  target.mIsLeaving = aVm.mIsLeaving;
  if (target.mIncarnation != aVm.mIncarnation) {
    target.mIncarnation = aVm.mIncarnation;
    target.mLimit = {};
    target.mStatesLeaving = false;
    target.mPausedUntil = TimePoint{};
  }
}

void
SetTargetsOutOfUse(LocalBalancer& aBalancer,
                   TimePoint aNow,
                   const std::vector<TargetId>& aTargets)
{
  for (auto& [id, target] : aBalancer.mTargets) {
    target.mOutOfUseUntil = TimePoint{};
  }
  for (const TargetId& it : aTargets) {
    auto target = aBalancer.mTargets.find(it);
    if (target != aBalancer.mTargets.end()) {
      target->second.mOutOfUseUntil = aNow + kOutOfUseTime;
    }
  }
}

unsigned
MaxRequestsInFlight(const LocalBalancer& aBalancer,
                    TimePoint aNow,
                    std::size_t aProxies)
{
  unsigned slots = 0;
  for (const auto& [id, target] : aBalancer.mTargets) {
    slots += IsUsable(target, aNow) ? target.mSlots : 0;
  }
  double share = kShareOvercommit * slots /
                 static_cast<double>(std::max<std::size_t>(aProxies, 1));
  return std::max(1U, static_cast<unsigned>(share + 0.999));
}

std::optional<TargetId>
PickLocalTarget(const LocalBalancer& aBalancer,
                TimePoint aNow,
                std::size_t aProxies,
                const TargetId& aAvoid,
                Random& aRandom)
{
  if (aBalancer.mInFlight >= MaxRequestsInFlight(aBalancer, aNow, aProxies)) {
    return std::nullopt;
  }
  using Entry = std::map<TargetId, LocalBalancerTarget>::const_iterator;
  std::vector<Entry> unpenalized;
  std::vector<Entry> penalized;
  for (auto it = aBalancer.mTargets.begin(); it != aBalancer.mTargets.end();
       ++it) {
    const LocalBalancerTarget& target = it->second;
    bool isOpen = IsUsable(target, aNow) && it->first != aAvoid &&
                  target.mInFlight < target.mSlots &&
                  AllowsRequest(target.mLimit, aNow, LimitShare(aProxies));
    if (isOpen) {
      (IsPenalized(target.mPenalty, aNow) ? penalized : unpenalized)
        .push_back(it);
    }
  }
  const std::vector<Entry>& candidates =
    unpenalized.empty() ? penalized : unpenalized;
  if (candidates.empty()) {
    return std::nullopt;
  }
  Entry first = candidates[RandomBelow(aRandom, candidates.size())];
  Entry second = candidates[RandomBelow(aRandom, candidates.size())];
  bool isFirst = first->second.mInFlight <= second->second.mInFlight;
  return isFirst ? first->first : second->first;
}

void
TakeLocalToken(LocalBalancer& aBalancer,
               TimePoint aNow,
               std::size_t aProxies,
               const TargetId& aTarget)
{
  auto it = aBalancer.mTargets.find(aTarget);
  if (it != aBalancer.mTargets.end()) {
    TakeToken(it->second.mLimit, aNow, LimitShare(aProxies));
  }
}

void
RecordStatements(LocalBalancer& aBalancer,
                 TimePoint aNow,
                 const TargetId& aTarget,
                 TimePoint aSentAt,
                 const TargetStatements& aStatements,
                 Random& aRandom)
{
  auto it = aBalancer.mTargets.find(aTarget);
  if (it == aBalancer.mTargets.end()) {
    return;
  }
  LocalBalancerTarget& target = it->second;
  target.mStatesLeaving = target.mStatesLeaving || aStatements.mIsLeaving;
  target.mPausedUntil =
    std::max(target.mPausedUntil, aNow + aStatements.mPause);
  // The proxies start with different numbers of tokens, so that together they
  // send at the rate of the limit from the start instead of all at once.
  double tokens = aRandom() / 4294967296.0;
  ExpireLimit(target.mLimit, aNow);
  ApplyStatements(target.mLimit, aNow, aSentAt, aStatements, tokens);
}

bool
DeclinesRequests(const LocalBalancer& aBalancer,
                 TimePoint aNow,
                 const TargetId& aTarget)
{
  auto it = aBalancer.mTargets.find(aTarget);
  return it != aBalancer.mTargets.end() &&
         (it->second.mStatesLeaving || aNow < it->second.mPausedUntil);
}

TargetListing
ListingOf(const LocalBalancer& aBalancer, const TargetId& aTarget)
{
  auto it = aBalancer.mTargets.find(aTarget);
  if (it == aBalancer.mTargets.end()) {
    return TargetListing::Unlisted;
  }
  return it->second.mIsLeaving ? TargetListing::Leaving : TargetListing::InUse;
}

std::vector<StatedTarget>
StatementsOf(const LocalBalancer& aBalancer, TimePoint aNow)
{
  std::vector<StatedTarget> targets;
  for (const auto& [id, target] : aBalancer.mTargets) {
    Duration pause = std::max(target.mPausedUntil - aNow, Duration(0));
    bool hasStated =
      target.mLimit.mPerSecond || target.mStatesLeaving || pause > Duration(0);
    if (hasStated) {
      targets.push_back(
        { id, { target.mLimit.mPerSecond, target.mStatesLeaving, pause } });
    }
  }
  return targets;
}

void
RecordSent(LocalBalancer& aBalancer, const TargetId& aTarget)
{
  ++aBalancer.mInFlight;
  auto it = aBalancer.mTargets.find(aTarget);
  if (it != aBalancer.mTargets.end()) {
    ++it->second.mInFlight;
  }
}

void
RecordEnded(LocalBalancer& aBalancer,
            TimePoint aNow,
            const TargetId& aTarget,
            TimePoint aSentAt,
            TargetOutcome aOutcome)
{
  aBalancer.mInFlight -= aBalancer.mInFlight > 0 ? 1 : 0;
  auto it = aBalancer.mTargets.find(aTarget);
  if (it == aBalancer.mTargets.end()) {
    return;
  }
  LocalBalancerTarget& target = it->second;
  target.mInFlight -= target.mInFlight > 0 ? 1 : 0;
  RecordOutcome(target.mPenalty, aNow, aSentAt, aOutcome);
}

} // namespace vanillascale
