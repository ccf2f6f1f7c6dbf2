#include "CallerProgress.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

/** Takes 0.13 s at 1 Mbit/s. A caller that takes the longest allowed time for
 * it moves 5 kB a second. */
constexpr std::size_t kProgressBytes = 16UL * 1024;
/** Callers pause for up to 2 s, and a round trip and a packet that is sent
 * again come on top. */
constexpr Duration kCallerPatience = milliseconds(3500);
/** Half-read bodies that wait for each other hold up all of them. */
constexpr Duration kBudgetPatience = milliseconds(1000);
/** A quarter of the descriptors, and no less than this, is not for callers: the
 * store takes 8, listening takes 5, peers 128, metrics and readiness 64. */
constexpr std::size_t kKeptDescriptors = 256;

Duration
PatienceWith(HolderState aState)
{
  return aState == HolderState::Budget ? kBudgetPatience : kCallerPatience;
}

} // namespace

void
TransferProgress::Begin(TimePoint aNow)
{
  *this = TransferProgress();
  mBeganAt = aNow;
  mProgressAt = aNow;
}

void
TransferProgress::Add(TimePoint aNow, std::size_t aBytes)
{
  mBytes += aBytes;
  if (mBytes - mCountedBytes >= kProgressBytes) {
    mCountedBytes = mBytes;
    mProgressAt = aNow;
  }
}

void
TransferProgress::Pause(TimePoint aNow)
{
  if (!mIsPaused) {
    mIsPaused = true;
    mPausedAt = aNow;
  }
}

void
TransferProgress::Resume(TimePoint aNow)
{
  if (mIsPaused) {
    mIsPaused = false;
    mBeganAt += aNow - mPausedAt;
    mProgressAt = aNow;
  }
}

TimePoint
TransferProgress::EndsAt(const TransferLimits& aLimits) const
{
  if (mIsPaused) {
    return TimePoint::max();
  }
  double rate = static_cast<double>(std::max<std::size_t>(aLimits.mRate, 1));
  auto granted = std::chrono::duration_cast<Duration>(
    duration<double>(static_cast<double>(mBytes) / rate));
  return std::min(mProgressAt, mBeganAt + granted) + aLimits.mStallTime;
}

Duration
TransferProgress::StalledFor(TimePoint aNow) const
{
  return aNow - (mIsPaused ? mPausedAt : mProgressAt);
}

std::optional<std::size_t>
ChooseVictim(const std::vector<Holder>& aHolders)
{
  std::optional<std::size_t> victim;
  double most = 0;
  for (std::size_t i = 0; i < aHolders.size(); ++i) {
    const Holder& it = aHolders[i];
    bool mayGo = it.mState != HolderState::Service && it.mHeldBytes > 0 &&
                 it.mStalledFor >= PatienceWith(it.mState);
    double weight = static_cast<double>(it.mHeldBytes) *
                    duration<double>(it.mStalledFor).count();
    if (mayGo && weight > most) {
      most = weight;
      victim = i;
    }
  }
  return victim;
}

std::size_t
CallerConnections(std::size_t aMaxCallers, std::size_t aDescriptors)
{
  std::size_t kept = std::max(kKeptDescriptors, aDescriptors / 4);
  std::size_t callers = aDescriptors - std::min(kept, aDescriptors / 2);
  return std::max<std::size_t>(1, std::min(aMaxCallers, callers));
}

} // namespace vanillascale
