#include "EventLog.h"
#include "EventNumbers.h"

#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <unistd.h>

using namespace vanillascale;
using std::chrono::microseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

/** A pipe that is read only on a call of ReadAll. */
struct Pipe
{
  Pipe() { CHECK(pipe(mEnds) == 0); }
  ~Pipe()
  {
    close(mEnds[0]);
    close(mEnds[1]);
  }

  std::string ReadAll()
  {
    fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buf[4096];
    for (ssize_t n = read(mEnds[0], buf, sizeof(buf)); n > 0;
         n = read(mEnds[0], buf, sizeof(buf))) {
      text.append(buf, static_cast<std::size_t>(n));
    }
    return text;
  }

  int mEnds[2] = { -1, -1 };
};

} // namespace

TEST_GROUP(Log){};

TEST(Log, LinesContainNumberNameTimesAndNode)
{
  Pipe pipe;
  EventLog log = EventLog::Make({ "n1", "z", 7 }, pipe.mEnds[1]);
  log.Write(kStart, { kEventStopping, "reason=test" });
  log.Flush(kStart);
  std::string text = pipe.ReadAll();
  CHECK(text.rfind("event=103 name=Stopping t=3600.000000 wall_ms=", 0) == 0);
  CHECK(text.find(" node=n1 zone=z incarnation=7 reason=test\n") !=
        std::string::npos);
}

/** Guards against a log that blocks the event loop or grows without limit when
 * its reader stops reading. A blocking write would hang the test. */
TEST(Log, StalledReaderDoesNotBlockAndBufferIsBounded)
{
  Pipe pipe;
  EventLog log = EventLog::Make({ "n1", "z", 7 }, pipe.mEnds[1]);
  std::string text(400, 'x');
  for (int i = 0; i < 20000; ++i) {
    TimePoint now = kStart + seconds(i);
    log.Write(now, { kEventStopping, text });
    log.Flush(now);
  }
  CHECK(log.DroppedLines() > 10000);
  pipe.ReadAll();
  TimePoint later = kStart + seconds(30000);
  log.Flush(later);
  CHECK(pipe.ReadAll().find("name=LinesDropped lines=") != std::string::npos ||
        log.WrittenLines() > 0);
}

/** Guards against a frequent event that displaces a rare one. Writes one event
 * 10,000 times a second for ten seconds, and another event once in between. */
TEST(Log, RateLimitOfOneEventDoesNotDropOthers)
{
  Pipe pipe;
  EventLog log = EventLog::Make({ "n1", "z", 7 }, pipe.mEnds[1]);
  std::string output;
  for (int i = 0; i < 100000; ++i) {
    TimePoint now = kStart + microseconds(100) * i;
    log.Write(now, { kEventRequestRefused, "" });
    if (i == 50000) {
      log.Write(now, { kEventTargetEjected, "target=t" });
    }
    if (i % 100 == 0) {
      log.Flush(now);
      output += pipe.ReadAll();
    }
  }
  CHECK(output.find("name=TargetEjected") != std::string::npos);
  CHECK(output.find("name=LinesDropped") != std::string::npos);
  std::size_t lines = 0;
  for (char character : output) {
    lines += character == '\n' ? 1 : 0;
  }
  CHECK(lines < 1000);
}
