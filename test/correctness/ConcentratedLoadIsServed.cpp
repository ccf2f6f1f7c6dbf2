#include "../support/ConcentrationRun.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

namespace {

constexpr std::uint64_t kSeeds = 3;

ConcentrationFigures
RunOf(ConcentrationScenario aScenario, std::uint64_t aSeed, bool aConcentrate)
{
  aScenario.mConcentrate = aConcentrate;
  return ConcentrationRun(aScenario, aSeed).Run();
}

} // namespace

TEST_GROUP(ConcentratedLoad){};

/** Guards against load that is spread over all targets, so that each gray
 * period of each target is found by a request that fails: 17.6% of the runs
 * failed so. Also guards against requests that must not be repeated at targets
 * that no other request has tried, and against a zone that leaves its own
 * targets. */
TEST(ConcentratedLoad, FailsAtFewGrayTargets)
{
  ConcentrationScenario scenario;
  scenario.mTime = seconds(40);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ConcentrationFigures off = RunOf(scenario, seed, false);
    ConcentrationFigures on = RunOf(scenario, seed, true);
    CHECK(on.FailedShare() <= off.FailedShare() / 4);
    CHECK(on.mLostOnce <= off.mLostOnce / 2);
    CHECK(on.LostShare() <= off.LostShare() / 3);
    CHECK(on.OtherZoneShare() <= 0.03);
    CHECK(on.mNewPairs <= 0.6 * static_cast<double>(off.mNewPairs));
    LONGS_EQUAL(0, on.mQueuedAtTarget);
    for (const auto& it : on.mRunsByTarget) {
      CHECK(it.second <= on.mRuns / 25);
    }
  }
}

/** The same for a service with nothing but requests that must not be repeated,
 * which never probe. */
TEST(ConcentratedLoad, FailsLessWithoutIdempotentRequests)
{
  ConcentrationScenario scenario;
  scenario.mIdempotentPercent = 0;
  scenario.mTime = seconds(40);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ConcentrationFigures off = RunOf(scenario, seed, false);
    ConcentrationFigures on = RunOf(scenario, seed, true);
    CHECK(on.FailedShare() <= 0.7 * off.FailedShare());
  }
}

/** Guards against a return to spreading when the demand grows: at 1500
 * requests/s, eight tenths of what the healthy targets can serve, 19% of the
 * runs failed when the concentration ended near the capacity. */
TEST(ConcentratedLoad, FailsAtFewGrayTargetsNearCapacity)
{
  ConcentrationScenario scenario;
  scenario.mRate = 1500;
  scenario.mTime = seconds(20);
  ConcentrationFigures off = RunOf(scenario, 1, false);
  ConcentrationFigures on = RunOf(scenario, 1, true);
  CHECK(on.FailedShare() <= off.FailedShare() / 2);
  CHECK(on.LostShare() <= off.LostShare() / 2);
}

/** Guards against a warm set that is too small for a burst: requests use the
 * other targets at once and none waits. */
TEST(ConcentratedLoad, ServesBurstsOfThreeTimesTheLoad)
{
  ConcentrationScenario scenario;
  scenario.mBurstFactor = 3;
  scenario.mBurstFrom = seconds(15);
  scenario.mBurstUntil = seconds(21);
  scenario.mTime = seconds(25);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ConcentrationFigures on = RunOf(scenario, seed, true);
    LONGS_EQUAL(0, on.mRefused);
    CHECK(on.mMaxWait <= milliseconds(1));
    CHECK(on.LostShare() <= 0.01);
  }
}

/** Guards against a failure rate that keeps itself up after half of the warm
 * set has failed at once: failed probes counted as requests that were not
 * served, so that every target was probed every second, and 9% of the runs
 * failed. */
TEST(ConcentratedLoad, RecoversFromLossOfHalfOfTheWarmSet)
{
  ConcentrationScenario scenario;
  scenario.mHalfLostAt = seconds(15);
  scenario.mTime = seconds(35);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ConcentrationFigures on = RunOf(scenario, seed, true);
    CHECK(on.FailedShare() <= 0.05);
    CHECK(on.LostShare() <= 0.01);
  }
}

/** Guards against healthy targets without requests while many fail: a fifth of
 * the requests fails anywhere. Without idempotent requests, the targets of the
 * warm set went before idle ones, and some were idle for 2.2 s. */
TEST(ConcentratedLoad, ReachesAllTargetsAtHighFailureRate)
{
  ConcentrationScenario scenario;
  scenario.mErrorShare = 0.2;
  scenario.mErrorsFrom = seconds(10);
  scenario.mTime = seconds(25);
  for (std::size_t percent : { 0, 33, 67 }) {
    scenario.mIdempotentPercent = percent;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ConcentrationFigures on = RunOf(scenario, seed, true);
      CHECK(on.mMaxIdleAtErrors > Duration(0));
      CHECK(on.mMaxIdleAtErrors <= seconds(2));
    }
  }
}

/** Guards against a zone with few targets that overloads one other zone, or its
 * own: 20 targets for a third of the load. */
TEST(ConcentratedLoad, SpillsEvenlyToOtherZones)
{
  ConcentrationScenario scenario;
  scenario.mFirstZoneTargets = 16;
  scenario.mTime = seconds(30);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ConcentrationFigures on = RunOf(scenario, seed, true);
    auto left = static_cast<double>(on.mRunsByZone[1]);
    auto right = static_cast<double>(on.mRunsByZone[2]);
    CHECK(on.mRunsByZone[0] < on.mRunsByZone[1]);
    CHECK(std::abs(left - right) <= 0.1 * (left + right));
    CHECK(on.mMaxWait <= milliseconds(1));
  }
}

/** Guards against new targets that stay cold, also at a service without
 * idempotent requests, and against a rush to them. */
TEST(ConcentratedLoad, ReachesNewTargetsWithinFourSeconds)
{
  ConcentrationScenario scenario;
  scenario.mAddedAt = seconds(15);
  scenario.mNewTargets = 30;
  scenario.mTime = seconds(25);
  for (std::size_t percent : { 0, 67 }) {
    scenario.mIdempotentPercent = percent;
    ConcentrationFigures on = RunOf(scenario, 1, true);
    CHECK(on.mMaxFirstArrival > Duration(0));
    CHECK(on.mMaxFirstArrival <= seconds(4));
  }
}

/** Guards against a service that is served worse with the concentration at
 * three times its capacity. */
TEST(ConcentratedLoad, IsServedAsWellAtThreeTimesTheCapacity)
{
  ConcentrationScenario scenario;
  scenario.mTargets = 30;
  scenario.mNodes = 20;
  scenario.mRate = 1200;
  scenario.mTime = seconds(20);
  std::uint64_t off = 0;
  std::uint64_t on = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    off += RunOf(scenario, seed, false).mAnswers;
    on += RunOf(scenario, seed, true).mAnswers;
  }
  CHECK(static_cast<double>(on) >= 0.97 * static_cast<double>(off));
}
