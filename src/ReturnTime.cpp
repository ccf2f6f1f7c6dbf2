#include "ReturnTime.h"

#include <algorithm>

namespace vanillascale {

namespace {

using std::chrono::milliseconds;

/** Returns within this time are refused by the same targets for the same
 * reason, for example a full queue. */
constexpr Duration kMinDelay = milliseconds(40);
/** The range over which returns are spread. */
constexpr Duration kSpread = milliseconds(80);
/** Told where a return is not worth it: longer than a third of most deadlines.
 */
constexpr Duration kDefaultDelay = std::chrono::seconds(1);
/** The longest delay after which callers return, as a part of the time left,
 * and the margin for the way of the answer. */
constexpr int kMaxDelayDivisor = 3;
constexpr Duration kTransitMargin = milliseconds(20);

} // namespace

Duration
ReturnDelay(ReturnCause aCause, Duration aTimeLeft, Random& aRandom)
{
  if (aCause == ReturnCause::ShortOfSlots) {
    return kDefaultDelay;
  }
  Duration longest = aTimeLeft / kMaxDelayDivisor - kTransitMargin;
  if (longest < kMinDelay) {
    return kDefaultDelay;
  }
  auto spread = static_cast<std::size_t>(
    std::min<Duration>(kSpread, longest - kMinDelay).count());
  return kMinDelay + Duration(RandomBelow(aRandom, spread + 1));
}

ReturnCause
ReturnCauseOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::RetryBudget:
      return ReturnCause::RefusedByTargets;
    case RefusalReason::NoTarget:
      return ReturnCause::NoTarget;
    case RefusalReason::Overload:
    case RefusalReason::DeadlineTooShort:
    case RefusalReason::AccountLimit:
    case RefusalReason::HarmfulRequest:
      return ReturnCause::ShortOfSlots;
  }
  return ReturnCause::ShortOfSlots;
}

} // namespace vanillascale
