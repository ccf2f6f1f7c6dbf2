#ifndef VANILLASCALE_LOCALCHOICE_H
#define VANILLASCALE_LOCALCHOICE_H

#include "FailurePenalty.h"
#include "NodeEvents.h"
#include "Random.h"

#include <map>
#include <optional>

namespace vanillascale {

/** What a proxy knows by itself of one target. */
struct LocalTarget
{
  ZoneName mZone;
  unsigned mSlots = 0;
  bool mIsLeaving = false;
  /** A scheduler has said that the target is out of use; believed until then.
   */
  TimePoint mOutUntil{};
  unsigned mInFlight = 0;
  /** From this proxy's own requests. */
  FailurePenalty mPenalty;
};

/** How a proxy chooses targets while no scheduler answers: two random choices
 * by its own requests in flight, within its fair share of the slots. A target
 * that failed one of its own requests lately is chosen only where there is no
 * other. */
struct LocalChoice
{
  std::map<TargetId, LocalTarget> mTargets;
  unsigned mInFlight = 0;
};

/** Takes over the VM list's view of one service's VM group. */
void
UpdateLocalTargets(LocalChoice& aChoice,
                   const std::string& aVmGroup,
                   const std::vector<Vm>& aVms);

/** Takes over which targets a scheduler holds out of use now. */
void
NoteOutOfUse(LocalChoice& aChoice,
             TimePoint aNow,
             const std::vector<TargetId>& aTargets);

/** Requests that this proxy may have out at once, of a fleet of aProxies. */
unsigned
FairShare(const LocalChoice& aChoice, TimePoint aNow, std::size_t aProxies);

/** Picks a target, or nothing where the share is used up or none is usable. */
std::optional<TargetId>
PickLocally(const LocalChoice& aChoice,
            TimePoint aNow,
            std::size_t aProxies,
            const TargetId& aAvoid,
            Random& aRandom);

/** Counts a request that goes to a target. */
void
NoteSent(LocalChoice& aChoice, const TargetId& aTarget);

/** Counts a request, sent at aSentAt, that came back. */
void
NoteEnded(LocalChoice& aChoice,
          TimePoint aNow,
          const TargetId& aTarget,
          TimePoint aSentAt,
          TargetOutcome aOutcome);

} // namespace vanillascale

#endif
