#include "../support/RestoreCostRun.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;
using namespace vanillascale::fake;

/** Guards against a restore that costs the nodes of a large fleet more than its
 * start: copies that are requested again and again, or read by each node from
 * the store. */
TEST_GROUP(RestoreCost){};

TEST(RestoreCost, IsNotAboveThatOfAStart)
{
  fake::RestoreCost cost = MeasureRestoreCost(TestSeeds(1).front());
  LONGS_EQUAL(kRestoreNodes, cost.mFollowing);
  CHECK(cost.mRestore.mMean <= cost.mStart.mMean);
  CHECK(cost.mRestore.mMax <= cost.mStart.mMax);
  CHECK(cost.mTargets.mMostReads <= 1);
  CHECK(cost.mDocuments.mMostReads <= 1);
}
