#ifndef VANILLASCALE_CALLERPROGRESS_H
#define VANILLASCALE_CALLERPROGRESS_H

#include "Clock.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace vanillascale {

/** How slowly a caller may send a body or read an answer. */
struct TransferLimits
{
  /** Bytes per second, on average since the beginning. */
  std::size_t mRate = 4096;
  /** How long it may make no progress, and what the average leaves out. */
  Duration mStallTime = std::chrono::seconds(20);
};

/** How far the transfer of one message has come. Times are those of one steady
 * clock. */
class TransferProgress
{
public:
  void Begin(TimePoint aNow);

  /** Counts bytes that were moved. Progress is made by kProgressBytes: a caller
   * that moves single bytes makes none. */
  void Add(TimePoint aNow, std::size_t aBytes);

  /** The proxy itself does not read from now on, or does again. That time is
   * not the caller's. */
  void Pause(TimePoint aNow);
  void Resume(TimePoint aNow);

  /** When the transfer has to be ended if nothing more is moved. It is never
   * while it is paused. */
  TimePoint EndsAt(const TransferLimits& aLimits) const;

  /** How long the caller has made no progress, or, while it is paused, how long
   * it has waited. */
  Duration StalledFor(TimePoint aNow) const;

private:
  TimePoint mBeganAt{};
  TimePoint mProgressAt{};
  TimePoint mPausedAt{};
  std::size_t mBytes = 0;
  std::size_t mCountedBytes = 0;
  bool mIsPaused = false;
};

/** What a connection holds and what it waits for. */
enum class HolderState
{
  /** For the caller, to send or to read more. */
  Caller,
  /** For bytes of the budget. */
  Budget,
  /** For a slot, a target or the core. */
  Service
};

/** A connection that holds bytes of the budget. */
struct Holder
{
  HolderState mState = HolderState::Service;
  std::size_t mHeldBytes = 0;
  Duration mStalledFor{ 0 };
};

/** Chooses whom to close or to refuse while others wait for bytes: of those
 * that have made no progress for too long, the one with the most held for the
 * longest time. Returns its index, or nothing if all may go on. Pure. */
std::optional<std::size_t>
ChooseVictim(const std::vector<Holder>& aHolders);

/** How many connections callers may have of a process with so many descriptors.
 * The others are kept for targets, the store, peers, metrics and readiness.
 * Pure. */
std::size_t
CallerConnections(std::size_t aMaxCallers, std::size_t aDescriptors);

} // namespace vanillascale

#endif
