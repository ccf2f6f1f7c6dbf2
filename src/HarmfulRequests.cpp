#include "HarmfulRequests.h"

namespace vanillascale {

namespace {

using std::chrono::seconds;

constexpr Duration kCrashExpiry = seconds(60);
constexpr Duration kQuarantineTime = std::chrono::minutes(10);
constexpr std::size_t kMinCrashedTargets = 2;
constexpr Duration kServedExpiry = seconds(20);
/** Bounds the memory at half a MB; callers repeat few of their requests. */
constexpr std::size_t kMaxServedEntries = 10000;

/** Whether so many targets crashed just now that it is rather the network. */
bool
IsCrashWidespread(const HarmfulRequests& aRequests,
                  TimePoint aNow,
                  std::size_t aTargets)
{
  std::set<TargetId> crashed;
  for (const auto& [fingerprint, trace] : aRequests.mCrashes) {
    if (aNow - trace.mLastCrashAt < seconds(1)) {
      crashed.insert(trace.mTargets.begin(), trace.mTargets.end());
    }
  }
  return crashed.size() > kMinCrashedTargets && crashed.size() * 4 > aTargets;
}

bool
IsRecentlyServed(const HarmfulRequests& aRequests,
                 TimePoint aNow,
                 std::uint64_t aFingerprint)
{
  auto it = aRequests.mServedAt.find(aFingerprint);
  return it != aRequests.mServedAt.end() && aNow - it->second < kServedExpiry;
}

} // namespace

void
RecordServed(HarmfulRequests& aRequests,
             TimePoint aNow,
             std::uint64_t aFingerprint)
{
  aRequests.mCrashes.erase(aFingerprint);
  bool isKnown = aRequests.mServedAt.count(aFingerprint) > 0;
  if (isKnown || aRequests.mServedAt.size() < kMaxServedEntries) {
    aRequests.mServedAt[aFingerprint] = aNow;
  }
}

bool
RecordCrash(HarmfulRequests& aRequests,
            TimePoint aNow,
            std::uint64_t aFingerprint,
            const TargetId& aTarget,
            std::size_t aTargets)
{
  if (IsRecentlyServed(aRequests, aNow, aFingerprint)) {
    return false;
  }
  CrashRecord& trace = aRequests.mCrashes[aFingerprint];
  if (aNow - trace.mLastCrashAt > kCrashExpiry) {
    trace.mTargets.clear();
  }
  trace.mTargets.insert(aTarget);
  trace.mLastCrashAt = aNow;
  bool isHarmful = trace.mTargets.size() >= kMinCrashedTargets &&
                   !IsCrashWidespread(aRequests, aNow, aTargets);
  if (isHarmful) {
    aRequests.mHarmfulUntil[aFingerprint] = aNow + kQuarantineTime;
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
RemoveExpiredRecords(HarmfulRequests& aRequests, TimePoint aNow)
{
  for (auto it = aRequests.mServedAt.begin();
       it != aRequests.mServedAt.end();) {
    bool isOld = aNow - it->second >= kServedExpiry;
    it = isOld ? aRequests.mServedAt.erase(it) : std::next(it);
  }
  for (auto it = aRequests.mCrashes.begin(); it != aRequests.mCrashes.end();) {
    bool isOld = aNow - it->second.mLastCrashAt > kCrashExpiry;
    it = isOld ? aRequests.mCrashes.erase(it) : std::next(it);
  }
  auto& harmful = aRequests.mHarmfulUntil;
  for (auto it = harmful.begin(); it != harmful.end();) {
    it = aNow >= it->second ? harmful.erase(it) : std::next(it);
  }
}

} // namespace vanillascale
