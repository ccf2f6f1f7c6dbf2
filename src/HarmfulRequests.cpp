#include "HarmfulRequests.h"

namespace vanillascale {

namespace {

using std::chrono::seconds;

/** Crashes that are further apart than this are not counted together. */
constexpr Duration kCrashExpiry = seconds(60);
constexpr Duration kQuarantineTime = std::chrono::minutes(10);
/** A request is harmful once it has crashed this many targets. */
constexpr std::size_t kMinCrashedTargets = 2;
/** After an answer, crashes are not attributed to a request for this time. */
constexpr Duration kServedExpiry = seconds(20);
/** Limits the memory to half a MB. Callers repeat few of their requests, so
 * that few entries are needed. */
constexpr std::size_t kMaxServedEntries = 10000;

/** Returns whether so many targets crashed within the last second that the
 * network is the likelier cause: more than kMinCrashedTargets and more than a
 * quarter of the service's targets. */
bool
IsCrashWidespread(const HarmfulRequests& aRequests,
                  TimePoint aNow,
                  std::size_t aTargets)
{
  std::set<TargetId> crashed;
  for (const auto& [fingerprint, record] : aRequests.mCrashes) {
    if (aNow - record.mLastCrashAt < seconds(1)) {
      crashed.insert(record.mTargets.begin(), record.mTargets.end());
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
  CrashRecord& record = aRequests.mCrashes[aFingerprint];
  if (aNow - record.mLastCrashAt > kCrashExpiry) {
    record.mTargets.clear();
  }
  record.mTargets.insert(aTarget);
  record.mLastCrashAt = aNow;
  bool isHarmful = record.mTargets.size() >= kMinCrashedTargets &&
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
