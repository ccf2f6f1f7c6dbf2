#ifndef VANILLASCALE_HARMFULREQUESTS_H
#define VANILLASCALE_HARMFULREQUESTS_H

#include "Clock.h"
#include "Ids.h"

#include <cstdint>
#include <set>
#include <unordered_map>

namespace vanillascale {

/** Where one request was when targets crashed. */
struct CrashRecord
{
  std::set<TargetId> mTargets;
  TimePoint mLastCrashAt{};
};

/** Requests that crash the targets that run them, by their fingerprints. */
struct HarmfulRequests
{
  std::unordered_map<std::uint64_t, CrashRecord> mCrashes;
  std::unordered_map<std::uint64_t, TimePoint> mHarmfulUntil;
  /** When a request was last answered well: what works for some callers is not
   * what crashes targets. */
  std::unordered_map<std::uint64_t, TimePoint> mServedAt;
};

/** Notes that a request was answered well. */
void
RecordServed(HarmfulRequests& aRequests,
             TimePoint aNow,
             std::uint64_t aFingerprint);

/** Notes that a target crashed while it ran a request, of a service with so
 * many targets. Returns whether the request is harmful from now on: it was at a
 * second target that crashed, and not so many crash that it is rather the
 * network. */
bool
RecordCrash(HarmfulRequests& aRequests,
            TimePoint aNow,
            std::uint64_t aFingerprint,
            const TargetId& aTarget,
            std::size_t aTargets);

/** Whether a request is known to be harmful. Pure. */
bool
IsHarmful(const HarmfulRequests& aRequests,
          TimePoint aNow,
          std::uint64_t aFingerprint);

/** Drops traces and verdicts that have run out. */
void
RemoveExpiredRecords(HarmfulRequests& aRequests, TimePoint aNow);

} // namespace vanillascale

#endif
