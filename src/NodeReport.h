#ifndef VANILLASCALE_NODEREPORT_H
#define VANILLASCALE_NODEREPORT_H

#include "HttpServer.h"
#include "Node.h"
#include "PeerLinks.h"

#include <array>
#include <string>

namespace vanillascale {

/** Counters and gauges that the node runtime keeps outside of NodeState. */
struct RuntimeCounters
{
  std::size_t mOpenRequests = 0;
  std::size_t mCallerConnections = 0;
  std::size_t mIdleTargetConnections = 0;
  std::uint64_t mTargetConnects = 0;
  std::uint64_t mWrittenLogLines = 0;
  std::uint64_t mDroppedLogLines = 0;
  /** Calls to the platform, indexed by the alternative of PlatformCall. */
  std::array<std::uint64_t, 6> mPlatformCalls{};
  /** The budget of the process, in bytes. */
  std::size_t mBudgetBytes = 0;
  std::size_t mHeldBytes = 0;
  std::size_t mMostHeldBytes = 0;
  /** Actions of limits on callers. */
  HttpServerCounters mCallers;
  /** Longest delay of a tick behind its due time. */
  Duration mMaxTimerLag{ 0 };
};

/** Returns the node's metrics in the Prometheus text format, as serialized by
 * prometheus-cpp. */
std::string
ReportMetrics(const NodeState& aState,
              const PeerLinkCounters& aLinks,
              const RuntimeCounters& aRuntime,
              TimePoint aNow);

/** Returns the JSON document that `vanillascale status` prints. */
std::string
ReportStatus(const NodeState& aState, TimePoint aNow);

} // namespace vanillascale

#endif
