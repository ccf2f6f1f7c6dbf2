#include "../support/RestoreCostRun.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

/** Guards against a store that all nodes of a large fleet read in full when it
 * has just returned. */
TEST_GROUP(RestoreReads){};

TEST(RestoreReads, AreThoseOfTheReadersAndTheirSuccessors)
{
  fake::RestoreCost cost = MeasureRestoreCost(TestSeeds(1).front());
  for (const auto& topic : { cost.mTargets, cost.mDocuments }) {
    CHECK(topic.mReaders <= kRestoreZones * kRankedReaders);
    LONGS_EQUAL(0, topic.mUnranked);
    CHECK(topic.mMostReads <= 1);
  }
}
