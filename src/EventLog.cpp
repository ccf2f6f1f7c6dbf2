#include "EventLog.h"

#include "EventNumbers.h"

#include <algorithm>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace vanillascale {

namespace {

/** Limit of the buffer: room for several seconds of lines at the maximum rate.
 */
constexpr std::size_t kMaxBufferedBytes = 256UL * 1024;
/** PIPE_BUF on Linux: a pipe that polls as writable accepts this many bytes
 * without blocking. */
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr int kMaxWritesPerFlush = 4;
/** Rate and burst limits of one event number. Together they cost 0.1% of a
 * core. */
constexpr double kMaxLinesPerSecond = 40;
constexpr double kMaxBurstLines = 200;
constexpr Duration kDropReportInterval = std::chrono::seconds(1);

double
ToSeconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

EventLog::EventLog(const EventLogIdentity& aIdentity, int aDescriptor)
  : mNodeFields(" node=" + aIdentity.mNode + " zone=" + aIdentity.mZone +
                " incarnation=" + std::to_string(aIdentity.mIncarnation))
  , mDescriptor(aDescriptor)
{
}

EventLog
EventLog::Make(const EventLogIdentity& aIdentity, int aDescriptor)
{
  return EventLog(aIdentity, aDescriptor);
}

bool
EventLog::TakeToken(TimePoint aNow, int aEventNumber)
{
  auto [it, isNew] = mTokenBuckets.try_emplace(aEventNumber);
  TokenBucket& bucket = it->second;
  double refill = isNew
                    ? kMaxBurstLines
                    : kMaxLinesPerSecond * ToSeconds(aNow - bucket.mRefilledAt);
  bucket.mTokens = std::min(bucket.mTokens + refill, kMaxBurstLines);
  bucket.mRefilledAt = aNow;
  if (bucket.mTokens < 1) {
    return false;
  }
  bucket.mTokens -= 1;
  return true;
}

void
EventLog::Append(TimePoint aNow, int aEventNumber, const std::string& aText)
{
  auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  char head[128];
  std::snprintf(head,
                sizeof(head),
                "event=%d name=%s t=%.6f wall_ms=%lld",
                aEventNumber,
                EventName(aEventNumber),
                ToSeconds(aNow.time_since_epoch()),
                static_cast<long long>(wall.count()));
  std::string line = head + mNodeFields;
  if (!aText.empty()) {
    line += " " + aText;
  }
  line += "\n";
  mBufferedBytes += line.size();
  mBufferedLines.push_back(std::move(line));
}

void
EventLog::Write(TimePoint aNow, const WriteEvent& aEvent)
{
  if (mBufferedBytes >= kMaxBufferedBytes || !TakeToken(aNow, aEvent.mNumber)) {
    ++mDroppedLines;
    return;
  }
  Append(aNow, aEvent.mNumber, aEvent.mText);
}

void
EventLog::Flush(TimePoint aNow)
{
  bool isReportDue = mDroppedLines > mReportedDroppedLines &&
                     aNow - mDropsReportedAt >= kDropReportInterval;
  if (isReportDue && mBufferedBytes < kMaxBufferedBytes) {
    Append(aNow,
           kEventLinesDropped,
           "lines=" + std::to_string(mDroppedLines - mReportedDroppedLines));
    mReportedDroppedLines = mDroppedLines;
    mDropsReportedAt = aNow;
  }
  for (int i = 0; i < kMaxWritesPerFlush && !mBufferedLines.empty(); ++i) {
    pollfd ready{ mDescriptor, POLLOUT, 0 };
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    std::string chunk = mBufferedLines.front().substr(mFrontWrittenBytes);
    std::size_t lineCount = 1;
    while (lineCount < mBufferedLines.size() &&
           chunk.size() + mBufferedLines[lineCount].size() <= kMaxWriteBytes) {
      chunk += mBufferedLines[lineCount++];
    }
    chunk.resize(std::min(chunk.size(), kMaxWriteBytes));
    ssize_t written = ::write(mDescriptor, chunk.data(), chunk.size());
    if (written <= 0) {
      return;
    }
    mFrontWrittenBytes += static_cast<std::size_t>(written);
    while (!mBufferedLines.empty() &&
           mFrontWrittenBytes >= mBufferedLines.front().size()) {
      mFrontWrittenBytes -= mBufferedLines.front().size();
      mBufferedBytes -= mBufferedLines.front().size();
      mBufferedLines.pop_front();
      ++mWrittenLines;
    }
  }
}

} // namespace vanillascale
