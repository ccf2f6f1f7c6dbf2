#ifndef VANILLASCALE_CLOCK_H
#define VANILLASCALE_CLOCK_H

#include <chrono>

namespace vanillascale {

/** The unit of time used by the core. */
using Duration = std::chrono::microseconds;

/** The runtime's monotonic clock. It has no now(): the core uses only the time
 * points that are passed to it with events, so that tests can pause and advance
 * time. */
struct RuntimeClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<RuntimeClock, Duration>;
  static constexpr bool is_steady = // NOLINT: name required by the standard
    true;
};

/** A point in time on the monotonic clock of this process. */
using TimePoint = RuntimeClock::time_point;

/** A point in time on the wall clock, in milliseconds since the Unix epoch.
 * Used only to compute the age of idempotency keys and to date the audit trail.
 */
using WallTime =
  std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

} // namespace vanillascale

#endif
