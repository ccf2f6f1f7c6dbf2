#ifndef VANILLASCALE_EVENTLOG_H
#define VANILLASCALE_EVENTLOG_H

#include "Clock.h"
#include "Effects.h"

#include <array>
#include <deque>
#include <map>
#include <string>

namespace vanillascale {

/** What stands in every line. */
struct EventLogIdentity
{
  std::string mNode;
  std::string mZone;
  std::uint64_t mIncarnation = 0;
};

/** The log of numbered events: lines of `key=value` pairs (logfmt) on a file
 * descriptor. It never blocks: lines wait in a buffer of bounded size and are
 * written as far as the reader takes them. Each event has a rate of its own, so
 * that a flood of one does not hide the others; what is left out is counted and
 * reported. The loop's thread only. */
class EventLog
{
public:
  /** aDescriptor must stay open. */
  static EventLog Make(const EventLogIdentity& aIdentity, int aDescriptor);

  /** Adds a line, unless the event's rate or the buffer is used up. */
  void Write(TimePoint aNow, const WriteEvent& aEvent);

  /** Writes what the reader takes without waiting, and now and then a line that
   * tells how many were left out. */
  void Flush(TimePoint aNow);

  std::uint64_t DroppedLines() const { return mDroppedLines; }
  std::uint64_t WrittenLines() const { return mWrittenLines; }

private:
  struct TokenBucket
  {
    double mTokens = 0;
    TimePoint mRefilledAt{};
  };

  EventLog(const EventLogIdentity& aIdentity, int aDescriptor);
  bool TakeToken(TimePoint aNow, int aNumber);
  void Append(TimePoint aNow, int aNumber, const std::string& aText);

  std::string mNodeFields;
  int mDescriptor;
  std::map<int, TokenBucket> mTokenBuckets;
  std::deque<std::string> mBufferedLines;
  std::size_t mBufferedBytes = 0;
  /** Bytes of the first line that are written already. */
  std::size_t mFrontWrittenBytes = 0;
  std::uint64_t mDroppedLines = 0;
  std::uint64_t mReportedDroppedLines = 0;
  std::uint64_t mWrittenLines = 0;
  TimePoint mDropsReportedAt{};
};

} // namespace vanillascale

#endif
