// Guards against refusals that no caller can act on. All targets of a service
// refuse half of their requests at random for seconds. A caller that is told to
// return after a second has no time left for that; callers that are told the
// same short time return all at once.

#include "ReturnTime.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** A caller returns if the delay is at most this part of the time left. */
constexpr int kMaxDelayDivisor = 3;
constexpr Duration kOneSecond = seconds(1);

} // namespace

TEST_GROUP(ReturnTime)
{
  Random mRandom{ 1 };
};

TEST(ReturnTime, CallersRefusedByTargetsCanReturn)
{
  for (int ms : { 200, 400, 1000, 3000 }) {
    for (int i = 0; i < 1000; ++i) {
      Duration delay =
        ReturnDelay(ReturnCause::RefusedByTargets, milliseconds(ms), mRandom);
      CHECK(delay <= Duration(milliseconds(ms)) / kMaxDelayDivisor);
      CHECK(delay > Duration(0));
    }
  }
}

TEST(ReturnTime, ReturnsAreSpread)
{
  std::set<Duration> delays;
  for (int i = 0; i < 100; ++i) {
    delays.insert(
      ReturnDelay(ReturnCause::RefusedByTargets, seconds(2), mRandom));
  }
  CHECK(delays.size() > 90);
  CHECK(*delays.rbegin() - *delays.begin() >= milliseconds(60));
}

TEST(ReturnTime, CallersAreNotAskedBackIfNoTimeIsLeft)
{
  CHECK(kOneSecond ==
        ReturnDelay(ReturnCause::RefusedByTargets, milliseconds(150), mRandom));
}

TEST(ReturnTime, CallersAreNotAskedBackWhileSlotsAreShort)
{
  CHECK(ReturnCauseOf(RefusalReason::Overload) == ReturnCause::ShortOfSlots);
  CHECK(ReturnCauseOf(RefusalReason::RetryBudget) ==
        ReturnCause::RefusedByTargets);
  CHECK(kOneSecond ==
        ReturnDelay(ReturnCause::ShortOfSlots, seconds(3), mRandom));
}
