#ifndef VANILLASCALE_PEERREQUESTID_H
#define VANILLASCALE_PEERREQUESTID_H

#include "Ids.h"

namespace vanillascale {

/** A process numbers its requests from 1 and keeps its node id over a restart.
 * Peers may still hold requests of the process before, or send it replies, so
 * they know a request by an id that no other process of the node uses. */

/** Request ids that a process may use on average per millisecond of its life,
 * as a power of two. The incarnation is the start of the process in ms: with
 * this many ids between two incarnations, a process cannot reach those of its
 * successor. */
constexpr unsigned kRequestIdBitsPerMs = 20;

/** Returns the id by which peers know a request of the process with the given
 * incarnation. Pure. */
inline RequestId
ToPeerRequestId(std::uint64_t aIncarnation, RequestId aRequest)
{
  return (aIncarnation << kRequestIdBitsPerMs) + aRequest;
}

/** Returns the process's own id of the request that peers know by aPeerId. The
 * result for an id of another process is not the id of any request. Pure. */
inline RequestId
FromPeerRequestId(std::uint64_t aIncarnation, RequestId aPeerId)
{
  return aPeerId - (aIncarnation << kRequestIdBitsPerMs);
}

} // namespace vanillascale

#endif
