#ifndef VANILLASCALE_HARMFULREQUESTS_H
#define VANILLASCALE_HARMFULREQUESTS_H

#include "Clock.h"
#include "Ids.h"

#include <cstdint>
#include <set>
#include <unordered_map>

namespace vanillascale {

/** The targets that crashed while they ran one request. */
struct CrashRecord
{
  std::set<TargetId> mTargets;
  TimePoint mLastCrashAt{};
};

/** Detects requests that crash the targets that run them. Requests are
 * identified by their fingerprints. */
struct HarmfulRequests
{
  std::unordered_map<std::uint64_t, CrashRecord> mCrashes;
  /** When the quarantine of a harmful request ends. */
  std::unordered_map<std::uint64_t, TimePoint> mHarmfulUntil;
  /** When a request was last answered without a server error. A request that
   * was answered recently is not the cause of a crash. */
  std::unordered_map<std::uint64_t, TimePoint> mServedAt;
};

/** Records that a request was answered without a server error, and clears its
 * crash record. */
void
RecordServed(HarmfulRequests& aRequests,
             TimePoint aNow,
             std::uint64_t aFingerprint);

/** Records that a target crashed while it ran a request; aTargets is the number
 * of the service's targets. Returns whether the request is now quarantined as
 * harmful: it ran at a second target that crashed, and the crashes are not so
 * widespread that the network is the likelier cause. */
bool
RecordCrash(HarmfulRequests& aRequests,
            TimePoint aNow,
            std::uint64_t aFingerprint,
            const TargetId& aTarget,
            std::size_t aTargets);

/** Returns whether a request is quarantined as harmful. Pure. */
bool
IsHarmful(const HarmfulRequests& aRequests,
          TimePoint aNow,
          std::uint64_t aFingerprint);

/** Removes the crash records, quarantines and served records that have expired.
 */
void
RemoveExpiredRecords(HarmfulRequests& aRequests, TimePoint aNow);

} // namespace vanillascale

#endif
