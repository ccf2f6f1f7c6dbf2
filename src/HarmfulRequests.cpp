#include "HarmfulRequests.h"

namespace vanillascale {

namespace {

using std::chrono::seconds;

constexpr Duration kCrashMemory = seconds(60);
constexpr Duration kHarmfulTime = std::chrono::minutes(10);
constexpr std::size_t kHarmfulCrashes = 2;
constexpr Duration kServedMemory = seconds(20);
/** Bounds the memory at half a MB; callers repeat few of their requests. */
constexpr std::size_t kMostServed = 10000;

/** Whether so many targets crashed just now that it is rather the network. */
bool
CrashesAreCommon(const HarmfulRequests& aRequests,
                 TimePoint aNow,
                 std::size_t aTargets)
{
  std::set<TargetId> crashed;
  for (const auto& [fingerprint, trace] : aRequests.mCrashes) {
    if (aNow - trace.mLastAt < seconds(1)) {
      crashed.insert(trace.mTargets.begin(), trace.mTargets.end());
    }
  }
  return crashed.size() > kHarmfulCrashes && crashed.size() * 4 > aTargets;
}

bool
WasServed(const HarmfulRequests& aRequests,
          TimePoint aNow,
          std::uint64_t aFingerprint)
{
  auto it = aRequests.mServed.find(aFingerprint);
  return it != aRequests.mServed.end() && aNow - it->second < kServedMemory;
}

} // namespace

void
NoteServed(HarmfulRequests& aRequests,
           TimePoint aNow,
           std::uint64_t aFingerprint)
{
  aRequests.mCrashes.erase(aFingerprint);
  bool isKnown = aRequests.mServed.count(aFingerprint) > 0;
  if (isKnown || aRequests.mServed.size() < kMostServed) {
    aRequests.mServed[aFingerprint] = aNow;
  }
}

bool
NoteCrash(HarmfulRequests& aRequests,
          TimePoint aNow,
          std::uint64_t aFingerprint,
          const TargetId& aTarget,
          std::size_t aTargets)
{
  if (WasServed(aRequests, aNow, aFingerprint)) {
    return false;
  }
  CrashTrace& trace = aRequests.mCrashes[aFingerprint];
  if (aNow - trace.mLastAt > kCrashMemory) {
    trace.mTargets.clear();
  }
  trace.mTargets.insert(aTarget);
  trace.mLastAt = aNow;
  bool isHarmful = trace.mTargets.size() >= kHarmfulCrashes &&
                   !CrashesAreCommon(aRequests, aNow, aTargets);
  if (isHarmful) {
    aRequests.mHarmfulUntil[aFingerprint] = aNow + kHarmfulTime;
  }
  return isHarmful;
}

bool
IsHarmful(const HarmfulRequests& aRequests,
          TimePoint aNow,
          std::uint64_t aFingerprint)
{
  auto it = aRequests.mHarmfulUntil.find(aFingerprint);
  return it != aRequests.mHarmfulUntil.end() && aNow < it->second;
}

void
ForgetOldCrashes(HarmfulRequests& aRequests, TimePoint aNow)
{
  for (auto it = aRequests.mServed.begin(); it != aRequests.mServed.end();) {
    bool isOld = aNow - it->second >= kServedMemory;
    it = isOld ? aRequests.mServed.erase(it) : std::next(it);
  }
  for (auto it = aRequests.mCrashes.begin(); it != aRequests.mCrashes.end();) {
    bool isOld = aNow - it->second.mLastAt > kCrashMemory;
    it = isOld ? aRequests.mCrashes.erase(it) : std::next(it);
  }
  auto& harmful = aRequests.mHarmfulUntil;
  for (auto it = harmful.begin(); it != harmful.end();) {
    it = aNow >= it->second ? harmful.erase(it) : std::next(it);
  }
}

} // namespace vanillascale
