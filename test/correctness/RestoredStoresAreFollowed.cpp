#include "../support/Properties.h"
#include "../support/RestorationFleet.h"

#include <CppUTest/TestHarness.h>

using namespace vanillascale;

/** Guards against nodes that compare positions of different eras, and that take
 * what a restored store has lost for removed, or what it has again for new. */

TEST_GROUP(RestoredStores){};

TEST(RestoredStores, AreFollowedByAllNodes)
{
  CHECK(PropertyHolds("restored stores are followed", 150, [] {
    RestorationFleet fleet(*rc::gen::arbitrary<std::uint64_t>(),
                           *rc::gen::arbitrary<bool>());
    for (int i = 0; i < 1500 && fleet.Failure().empty(); ++i) {
      fleet.Step();
    }
    RC_ASSERT(fleet.Failure() == "");
    fleet.Settle();
    RC_ASSERT(fleet.Failure() == "");
  }));
}
