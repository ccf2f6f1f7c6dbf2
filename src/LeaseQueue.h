#ifndef VANILLASCALE_LEASEQUEUE_H
#define VANILLASCALE_LEASEQUEUE_H

#include "DocumentLimits.h"
#include "Messages.h"

#include <array>
#include <map>
#include <optional>

namespace vanillascale {

/** A request that waits at the scheduler for a slot, with the proxy that sent
 * it. */
struct QueuedRequest
{
  NodeId mProxy;
  ZoneName mZone;
  LeaseRequest mRequest;
  TimePoint mArrivedAt{};
  TimePoint mDeadlineAt{};
  /** When the request is refused if no slot has been granted. */
  TimePoint mWaitDeadlineAt{};
};

/** Orders the queue: short requests before long ones, then by priority, then
 * earliest deadline first, then by arrival. */
struct QueueKey
{
  bool mIsLong = false;
  std::uint8_t mPriority = 1;
  TimePoint mDeadlineAt{};
  std::uint64_t mSequence = 0;

  bool operator<(const QueueKey& aOther) const;
};

/** The lowest priority of a request, plus one. Priority 1 is the first to be
 * served, and 0 is unused. The priority of an account goes before that of a
 * route, so that there are as many levels as pairs of both. */
constexpr std::size_t kPriorityLevels = kMaxPriority * kMaxPriority + 1;

/** The requests that wait for the slots of one service. */
struct LeaseQueue
{
  using Entries = std::map<QueueKey, QueuedRequest>;

  Entries mEntries;
  /** Keys of the entries by proxy and request. */
  std::map<std::pair<NodeId, RequestId>, QueueKey> mKeys;
  /** The sequence number of the last entry. */
  std::uint64_t mSequence = 0;
  /** Number of entries by class (0 short, 1 long) and priority. */
  std::array<std::array<std::size_t, kPriorityLevels>, 2> mCounts{};
  /** Slot time credit by priority: the part of a priority's guaranteed share
   * that it has not used. Negative where it has used more. */
  std::array<Duration, kPriorityLevels> mCredits{};
};

/** Adds a request. Returns false if the same request is queued already. */
bool
Enqueue(LeaseQueue& aQueue, QueuedRequest aQueued);

/** Removes and returns the entry at aKey. Precondition: the entry exists. */
QueuedRequest
Dequeue(LeaseQueue& aQueue, const QueueKey& aKey);

/** Returns the key of a proxy's request, or nothing if it is not queued. */
std::optional<QueueKey>
FindQueued(const LeaseQueue& aQueue, const NodeId& aProxy, RequestId aRequest);

/** Returns the number of queued requests of a class with a priority number up
 * to and including aPriority. */
std::size_t
CountUpToPriority(const LeaseQueue& aQueue,
                  bool aIsLong,
                  std::uint8_t aPriority);

/** Returns the priority of a class that is served next, or 0 if none is queued:
 * the lowest priority whose credit covers aExpected of slot time, otherwise the
 * highest one that is queued. Long requests have no credit. Pure. */
std::uint8_t
NextPriority(const LeaseQueue& aQueue, bool aIsLong, Duration aExpected);

/** Updates the credits when a short request of aPriority uses aTime of slot
 * time: adds aGuaranteedPercent of it to each priority from 2 on that has
 * queued requests, and charges aTime to aPriority, if that is not 1. Called
 * with the expected time at the grant, and with the difference to the actual
 * time, which may be negative, at the end of the request. Does nothing for long
 * requests. */
void
UpdateCredits(LeaseQueue& aQueue,
              bool aIsLong,
              std::uint8_t aPriority,
              Duration aTime,
              unsigned aGuaranteedPercent);

/** Returns the entry of a class and priority with the earliest deadline. If
 * there is none, returns the next entry in queue order, or the end. */
LeaseQueue::Entries::const_iterator
FirstOfPriority(const LeaseQueue& aQueue, bool aIsLong, std::uint8_t aPriority);

/** Returns the keys of the entries whose wait deadline or deadline has passed.
 */
std::vector<QueueKey>
TimedOutEntries(const LeaseQueue& aQueue, TimePoint aNow);

} // namespace vanillascale

#endif
