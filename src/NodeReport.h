#ifndef VANILLASCALE_NODEREPORT_H
#define VANILLASCALE_NODEREPORT_H

#include "Node.h"
#include "PeerLinks.h"

#include <array>
#include <string>

namespace vanillascale {

/** What the runtime counts. */
struct RuntimeCounters
{
  std::size_t mOpenRequests = 0;
  std::size_t mCallerConnections = 0;
  std::size_t mIdleTargetConnections = 0;
  std::uint64_t mTargetConnects = 0;
  std::uint64_t mWrittenLogLines = 0;
  std::uint64_t mDroppedLogLines = 0;
  /** Calls to the platform, by the kinds of PlatformCall. */
  std::array<std::uint64_t, 4> mPlatformCalls{};
  /** How late a tick has come at most. */
  Duration mMaxTimerLag{ 0 };
};

/** Writes the node's metrics in the text format that prometheus-cpp makes. */
std::string
ReportMetrics(const NodeState& aState,
              const PeerLinkCounters& aLinks,
              const RuntimeCounters& aLoop,
              TimePoint aNow);

/** Writes what `vanillascale status` shows, as JSON. */
std::string
ReportStatus(const NodeState& aState, TimePoint aNow);

} // namespace vanillascale

#endif
