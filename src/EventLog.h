#ifndef VANILLASCALE_EVENTLOG_H
#define VANILLASCALE_EVENTLOG_H

#include "Clock.h"
#include "Effects.h"

#include <array>
#include <deque>
#include <map>
#include <string>

namespace vanillascale {

/** Fields that identify the node in every log line. */
struct EventLogIdentity
{
  std::string mNode;
  std::string mZone;
  std::uint64_t mIncarnation = 0;
};

/** Writes numbered events to a file descriptor as lines of `key=value` pairs
 * (logfmt). Never blocks: lines are queued in a buffer of bounded size and
 * written while the descriptor is writable. Each event number has its own rate
 * limit, so that a frequent event does not displace the others. Dropped lines
 * are counted and reported by a LinesDropped event. Not thread safe: use only
 * on the event loop's thread. */
class EventLog
{
public:
  /** Returns a log that writes to aDescriptor, which must stay open for the
   * lifetime of the log. */
  static EventLog Make(const EventLogIdentity& aIdentity, int aDescriptor);

  /** Queues a line. Drops and counts it if the rate limit of the event is
   * exceeded or the buffer is full. */
  void Write(TimePoint aNow, const WriteEvent& aEvent);

  /** Writes queued lines as far as the descriptor accepts them without
   * blocking. If lines were dropped, first queues a LinesDropped event with
   * their number, at most once a second and only if the buffer has room. */
  void Flush(TimePoint aNow);

  std::uint64_t DroppedLines() const { return mDroppedLines; }
  std::uint64_t WrittenLines() const { return mWrittenLines; }

private:
  /** Rate limit of one event number. */
  struct TokenBucket
  {
    double mTokens = 0;
    TimePoint mRefilledAt{};
  };

  EventLog(const EventLogIdentity& aIdentity, int aDescriptor);
  bool TakeToken(TimePoint aNow, int aEventNumber);
  void Append(TimePoint aNow, int aEventNumber, const std::string& aText);

  /** The EventLogIdentity as `key=value` pairs. */
  std::string mNodeFields;
  int mDescriptor;
  std::map<int, TokenBucket> mTokenBuckets;
  std::deque<std::string> mBufferedLines;
  std::size_t mBufferedBytes = 0;
  /** Bytes of the first buffered line that have been written. */
  std::size_t mFrontWrittenBytes = 0;
  std::uint64_t mDroppedLines = 0;
  /** Value of mDroppedLines at the last LinesDropped event. */
  std::uint64_t mReportedDroppedLines = 0;
  std::uint64_t mWrittenLines = 0;
  TimePoint mDropsReportedAt{};
};

} // namespace vanillascale

#endif
