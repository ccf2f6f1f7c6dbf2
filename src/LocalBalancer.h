#ifndef VANILLASCALE_LOCALBALANCER_H
#define VANILLASCALE_LOCALBALANCER_H

#include "FailurePenalty.h"
#include "NodeEvents.h"
#include "Random.h"

#include <map>
#include <optional>

namespace vanillascale {

/** The state that a proxy keeps of one target. */
struct LocalBalancerTarget
{
  ZoneName mZone;
  unsigned mSlots = 0;
  bool mIsLeaving = false;
  /** Until when the target is excluded because a scheduler reported it as out
   * of use. */
  TimePoint mOutOfUseUntil{};
  unsigned mInFlight = 0;
  /** The failures of this proxy's own requests. */
  FailurePenalty mPenalty;
  /** What the target stated to this proxy: its limit, that it is leaving, and
   * until when it accepts no requests from this proxy. */
  RequestLimit mLimit;
  bool mStatesLeaving = false;
  TimePoint mPausedUntil{};
  /** The incarnation that the statements are of. */
  std::uint64_t mIncarnation = 0;
};

/** The load balancer of a proxy for the time when no scheduler answers. Of two
 * random targets it picks the one with fewer requests in flight from this
 * proxy, within the proxy's fair share of the slots. Penalized targets are
 * picked only if there are no others. */
struct LocalBalancer
{
  std::map<TargetId, LocalBalancerTarget> mTargets;
  unsigned mInFlight = 0;
};

/** Replaces the targets by the VMs of aVmGroup in the VM list. Keeps the state
 * of targets that were known before. */
void
UpdateLocalBalancer(LocalBalancer& aBalancer,
                    const std::string& aVmGroup,
                    const std::vector<Vm>& aVms);

/** Adds a target, or updates it from its VM. */
void
UpdateLocalTarget(LocalBalancer& aBalancer, const Vm& aVm);

/** Replaces the targets that are excluded on a scheduler's report by aTargets.
 */
void
SetTargetsOutOfUse(LocalBalancer& aBalancer,
                   TimePoint aNow,
                   const std::vector<TargetId>& aTargets);

/** Returns the number of requests that this proxy may have in flight, as one of
 * aProxies proxies. At least 1. */
unsigned
MaxRequestsInFlight(const LocalBalancer& aBalancer,
                    TimePoint aNow,
                    std::size_t aProxies);

/** Returns a target other than aAvoid, or nothing if the proxy's share is used
 * up or no usable target has a free slot. Of a target's limit a proxy uses an
 * equal share. */
std::optional<TargetId>
PickLocalTarget(const LocalBalancer& aBalancer,
                TimePoint aNow,
                std::size_t aProxies,
                const TargetId& aAvoid,
                Random& aRandom);

/** Records that a request is sent to a target that PickLocalTarget returned. */
void
TakeLocalToken(LocalBalancer& aBalancer,
               TimePoint aNow,
               std::size_t aProxies,
               const TargetId& aTarget);

/** Applies what a target stated in its answer to a request that was sent at
 * aSentAt. */
void
RecordStatements(LocalBalancer& aBalancer,
                 TimePoint aNow,
                 const TargetId& aTarget,
                 TimePoint aSentAt,
                 const TargetStatements& aStatements,
                 Random& aRandom);

/** Returns whether a target has stated to this proxy that it accepts no request
 * now: it is leaving or has asked for a pause. */
bool
DeclinesRequests(const LocalBalancer& aBalancer,
                 TimePoint aNow,
                 const TargetId& aTarget);

/** How the VM list describes a target. */
enum class TargetListing
{
  Unlisted,
  Leaving,
  InUse
};

/** Returns how the VM list describes a target. */
TargetListing
ListingOf(const LocalBalancer& aBalancer, const TargetId& aTarget);

/** Returns what targets have stated to this proxy, for a new scheduler. */
std::vector<StatedTarget>
StatementsOf(const LocalBalancer& aBalancer, TimePoint aNow);

/** Records that a request was sent to a target. */
void
RecordSent(LocalBalancer& aBalancer, const TargetId& aTarget);

/** Records the outcome of a request that was sent at aSentAt. */
void
RecordEnded(LocalBalancer& aBalancer,
            TimePoint aNow,
            const TargetId& aTarget,
            TimePoint aSentAt,
            TargetOutcome aOutcome);

} // namespace vanillascale

#endif
