#ifndef VANILLASCALE_WARMSET_H
#define VANILLASCALE_WARMSET_H

#include "Clock.h"
#include "Ids.h"

#include <map>

namespace vanillascale {

/** The state of the concentration of a service's requests; see
 * TargetConcentration.h. Soft state of the scheduler. Not thread safe. */
struct WarmSet
{
  /** The service's settings ask for concentration. */
  bool mIsEnabled = false;
  /** Requests are concentrated: the demand is not far above the capacity. */
  bool mIsActive = false;
  /** The slots that the requests of the proxies of each zone use. It rises at
   * once and falls slowly. */
  std::map<ZoneName, double> mDemand;
  /** Probes that requests may still be used for; negative after requests have
   * used targets outside of the warm set because it was full. */
  double mProbeTokens = 0;
  /** The probes that each idempotent request adds. */
  double mProbeShare = 0;
  TimePoint mUpdatedAt{};
};

} // namespace vanillascale

#endif
