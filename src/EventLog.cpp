#include "EventLog.h"

#include "EventNumbers.h"

#include <algorithm>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace vanillascale {

namespace {

/** Holds the lines of some seconds at the highest rate. */
constexpr std::size_t kMostBytes = 256UL * 1024;
/** What a pipe that is ready takes at once without blocking (PIPE_BUF). */
constexpr std::size_t kWriteBytes = 4096;
constexpr int kWritesPerFlush = 4;
/** Lines a second of one event, and as a burst: 0.1% of a core together. */
constexpr double kLinesPerSecond = 40;
constexpr double kBurstLines = 200;
constexpr Duration kReportInterval = std::chrono::seconds(1);

double
SecondsOf(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

EventLog::EventLog(const EventLogIdentity& aIdentity, int aDescriptor)
  : mSuffix(" node=" + aIdentity.mNode + " zone=" + aIdentity.mZone +
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
EventLog::TakeToken(TimePoint aNow, int aNumber)
{
  auto [it, isNew] = mBuckets.try_emplace(aNumber);
  Bucket& bucket = it->second;
  double filled =
    isNew ? kBurstLines : kLinesPerSecond * SecondsOf(aNow - bucket.mFilledAt);
  bucket.mTokens = std::min(bucket.mTokens + filled, kBurstLines);
  bucket.mFilledAt = aNow;
  if (bucket.mTokens < 1) {
    return false;
  }
  bucket.mTokens -= 1;
  return true;
}

void
EventLog::Append(TimePoint aNow, int aNumber, const std::string& aText)
{
  auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  char head[128];
  std::snprintf(head,
                sizeof(head),
                "event=%d name=%s t=%.6f wall_ms=%lld",
                aNumber,
                EventName(aNumber),
                SecondsOf(aNow.time_since_epoch()),
                static_cast<long long>(wall.count()));
  std::string line = head + mSuffix;
  if (!aText.empty()) {
    line += " " + aText;
  }
  line += "\n";
  mBytes += line.size();
  mLines.push_back(std::move(line));
}

void
EventLog::Write(TimePoint aNow, const WriteEvent& aEvent)
{
  if (mBytes >= kMostBytes || !TakeToken(aNow, aEvent.mNumber)) {
    ++mDropped;
    return;
  }
  Append(aNow, aEvent.mNumber, aEvent.mText);
}

void
EventLog::Flush(TimePoint aNow)
{
  bool isReportDue =
    mDropped > mReported && aNow - mReportedAt >= kReportInterval;
  if (isReportDue && mBytes < kMostBytes) {
    Append(aNow,
           kEventLinesDropped,
           "lines=" + std::to_string(mDropped - mReported));
    mReported = mDropped;
    mReportedAt = aNow;
  }
  for (int i = 0; i < kWritesPerFlush && !mLines.empty(); ++i) {
    pollfd ready{ mDescriptor, POLLOUT, 0 };
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    std::string chunk = mLines.front().substr(mFirstWritten);
    std::size_t n = 1;
    while (n < mLines.size() &&
           chunk.size() + mLines[n].size() <= kWriteBytes) {
      chunk += mLines[n++];
    }
    chunk.resize(std::min(chunk.size(), kWriteBytes));
    ssize_t written = ::write(mDescriptor, chunk.data(), chunk.size());
    if (written <= 0) {
      return;
    }
    mFirstWritten += static_cast<std::size_t>(written);
    while (!mLines.empty() && mFirstWritten >= mLines.front().size()) {
      mFirstWritten -= mLines.front().size();
      mBytes -= mLines.front().size();
      mLines.pop_front();
      ++mWritten;
    }
  }
}

} // namespace vanillascale
