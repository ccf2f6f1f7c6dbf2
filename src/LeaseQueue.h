#ifndef VANILLASCALE_LEASEQUEUE_H
#define VANILLASCALE_LEASEQUEUE_H

#include "Messages.h"

#include <array>
#include <map>
#include <optional>

namespace vanillascale {

/** A request that waits at the scheduler for a slot. */
struct QueuedRequest
{
  NodeId mProxy;
  ZoneName mZone;
  LeaseRequest mRequest;
  TimePoint mArrivedAt{};
  TimePoint mDeadlineAt{};
  /** When it is refused if it has no slot by then. */
  TimePoint mWaitDeadlineAt{};
};

/** The order of work: short before long, by priority, earliest deadline first.
 */
struct QueueKey
{
  bool mIsLong = false;
  std::uint8_t mPriority = 1;
  TimePoint mDeadlineAt{};
  std::uint64_t mSequence = 0;

  bool operator<(const QueueKey& aOther) const;
};

/** The highest priority number that the document allows, plus one. */
constexpr std::size_t kPriorityLevels = 10;

/** All requests that wait for one service's slots. */
struct LeaseQueue
{
  using Entries = std::map<QueueKey, QueuedRequest>;

  Entries mEntries;
  std::map<std::pair<NodeId, RequestId>, QueueKey> mKeys;
  std::uint64_t mSequence = 0;
  /** Waiting requests by class (short 0, long 1) and priority. */
  std::array<std::array<std::size_t, kPriorityLevels>, 2> mCounts{};
  /** Slot time that lower priorities are owed, by priority. */
  std::array<Duration, kPriorityLevels> mCredits{};
};

/** Adds a request; false where it waits already. */
bool
Enqueue(LeaseQueue& aQueue, QueuedRequest aWaiting);

/** Takes out and returns the entry at aKey, which must exist. */
QueuedRequest
Dequeue(LeaseQueue& aQueue, const QueueKey& aKey);

/** The key under which a proxy's request waits, if it does. */
std::optional<QueueKey>
FindQueued(const LeaseQueue& aQueue, const NodeId& aProxy, RequestId aRequest);

/** The number of waiting requests of a class up to and including a priority. */
std::size_t
CountUpToPriority(const LeaseQueue& aQueue,
                  bool aIsLong,
                  std::uint8_t aPriority);

/** The priority whose turn it is among the waiting requests of a class, or 0
 * for none: the first one, unless a lower one is owed at least aExpected of
 * slot time. Pure. */
std::uint8_t
NextPriority(const LeaseQueue& aQueue, bool aIsLong, Duration aExpected);

/** Settles the owed slot time when short work of aPriority takes aTime: lower
 * priorities that wait gain aGuaranteedPercent of it, and aPriority pays it. It
 * is called with what is expected at a grant, and with the difference, which
 * may be negative, when the work has ended. */
void
UpdateCredits(LeaseQueue& aQueue,
              bool aIsLong,
              std::uint8_t aPriority,
              Duration aTime,
              unsigned aGuaranteedPercent);

/** The first entry of a class and priority, in order of deadlines. */
LeaseQueue::Entries::const_iterator
FirstOfPriority(const LeaseQueue& aQueue, bool aIsLong, std::uint8_t aPriority);

/** Keys of the entries whose patience or deadline has passed. */
std::vector<QueueKey>
TimedOutEntries(const LeaseQueue& aQueue, TimePoint aNow);

} // namespace vanillascale

#endif
