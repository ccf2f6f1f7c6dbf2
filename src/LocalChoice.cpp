#include "LocalChoice.h"

#include <algorithm>

namespace vanillascale {

namespace {

/** Shares overlap a little, since proxies are not loaded alike. */
constexpr double kShareSlack = 1.5;
/** A little longer than the pause between a scheduler's views. */
constexpr Duration kOutTime = std::chrono::seconds(6);

bool
IsUsable(const LocalTarget& aTarget, TimePoint aNow)
{
  return !aTarget.mIsLeaving && aNow >= aTarget.mOutUntil;
}

} // namespace

void
UpdateLocalTargets(LocalChoice& aChoice,
                   const std::string& aVmGroup,
                   const std::vector<Vm>& aVms)
{
  std::map<TargetId, LocalTarget> next;
  for (const Vm& it : aVms) {
    if (it.mGroup != aVmGroup) {
      continue;
    }
    TargetId id(it.mAddress);
    auto known = aChoice.mTargets.find(id);
    LocalTarget target =
      known == aChoice.mTargets.end() ? LocalTarget{} : known->second;
    target.mZone = it.mZone;
    target.mSlots = it.mSlots;
    target.mIsLeaving = it.mIsLeaving;
    next.emplace(std::move(id), std::move(target));
  }
  aChoice.mTargets = std::move(next);
}

void
NoteOutOfUse(LocalChoice& aChoice,
             TimePoint aNow,
             const std::vector<TargetId>& aTargets)
{
  for (auto& [id, target] : aChoice.mTargets) {
    target.mOutUntil = TimePoint{};
  }
  for (const TargetId& it : aTargets) {
    auto target = aChoice.mTargets.find(it);
    if (target != aChoice.mTargets.end()) {
      target->second.mOutUntil = aNow + kOutTime;
    }
  }
}

unsigned
FairShare(const LocalChoice& aChoice, TimePoint aNow, std::size_t aProxies)
{
  unsigned slots = 0;
  for (const auto& [id, target] : aChoice.mTargets) {
    slots += IsUsable(target, aNow) ? target.mSlots : 0;
  }
  double share = kShareSlack * slots /
                 static_cast<double>(std::max<std::size_t>(aProxies, 1));
  return std::max(1U, static_cast<unsigned>(share + 0.999));
}

std::optional<TargetId>
PickLocally(const LocalChoice& aChoice,
            TimePoint aNow,
            std::size_t aProxies,
            const TargetId& aAvoid,
            Random& aRandom)
{
  if (aChoice.mInFlight >= FairShare(aChoice, aNow, aProxies)) {
    return std::nullopt;
  }
  using Entry = std::map<TargetId, LocalTarget>::const_iterator;
  std::vector<Entry> trusted;
  std::vector<Entry> doubted;
  for (auto it = aChoice.mTargets.begin(); it != aChoice.mTargets.end(); ++it) {
    const LocalTarget& target = it->second;
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
NoteSent(LocalChoice& aChoice, const TargetId& aTarget)
{
  ++aChoice.mInFlight;
  auto it = aChoice.mTargets.find(aTarget);
  if (it != aChoice.mTargets.end()) {
    ++it->second.mInFlight;
  }
}

void
NoteEnded(LocalChoice& aChoice,
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
  LocalTarget& target = it->second;
  target.mInFlight -= target.mInFlight > 0 ? 1 : 0;
  RecordOutcome(target.mPenalty, aNow, aSentAt, aOutcome);
}

} // namespace vanillascale
