#ifndef VANILLASCALE_LOCALBALANCER_H
#define VANILLASCALE_LOCALBALANCER_H

#include "FailurePenalty.h"
#include "NodeEvents.h"
#include "Random.h"

#include <map>
#include <optional>

namespace vanillascale {

/** What a proxy knows by itself of one target. */
struct LocalBalancerTarget
{
  ZoneName mZone;
  unsigned mSlots = 0;
  bool mIsLeaving = false;
  /** A scheduler has said that the target is out of use; believed until then.
   */
  TimePoint mOutOfUseUntil{};
  unsigned mInFlight = 0;
  /** From this proxy's own requests. */
  FailurePenalty mPenalty;
};

/** How a proxy chooses targets while no scheduler answers: two random choices
 * by its own requests in flight, within its fair share of the slots. A target
 * that failed one of its own requests lately is chosen only where there is no
 * other. */
struct LocalBalancer
{
  std::map<TargetId, LocalBalancerTarget> mTargets;
  unsigned mInFlight = 0;
};

/** Takes over the VM list's view of one service's VM group. */
void
UpdateLocalBalancer(LocalBalancer& aChoice,
                    const std::string& aVmGroup,
                    const std::vector<Vm>& aVms);

/** Takes over which targets a scheduler holds out of use now. */
void
SetTargetsOutOfUse(LocalBalancer& aChoice,
                   TimePoint aNow,
                   const std::vector<TargetId>& aTargets);

/** Requests that this proxy may have out at once, of a fleet of aProxies. */
unsigned
MaxRequestsInFlight(const LocalBalancer& aChoice,
                    TimePoint aNow,
                    std::size_t aProxies);

/** Picks a target, or nothing where the share is used up or none is usable. */
std::optional<TargetId>
PickLocalTarget(const LocalBalancer& aChoice,
                TimePoint aNow,
                std::size_t aProxies,
                const TargetId& aAvoid,
                Random& aRandom);

/** Counts a request that goes to a target. */
void
RecordSent(LocalBalancer& aChoice, const TargetId& aTarget);

/** Counts a request, sent at aSentAt, that came back. */
void
RecordEnded(LocalBalancer& aChoice,
            TimePoint aNow,
            const TargetId& aTarget,
            TimePoint aSentAt,
            TargetOutcome aOutcome);

} // namespace vanillascale

#endif
